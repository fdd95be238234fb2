//! Discrete-event run of a fleet: gates and a router from the library, engines from the model.

use crate::engine;
use basilfield::gate;
use basilfield::router;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Period of the gates' ticks.
const TICK: Duration = Duration::from_millis(20);
/// Time from a pull to the submission of the granted items.
const GRANT: Duration = Duration::from_millis(5);
/// Deadline of online requests.
const DEADLINE: Duration = Duration::from_secs(5);
/// Deadline of batch items.
const BATCH_DEADLINE: Duration = Duration::from_secs(3600);
/// Mean tokens of an online answer.
const ONLINE_TOKENS: f64 = 60.0;
/// Mean tokens of a batch item.
const BATCH_TOKENS: f64 = 200.0;
/// Mean length of a calm period and of a burst, in seconds.
const PERIODS: [f64; 2] = [8.0, 2.0];
/// Workspaces of online requests.
const WORKSPACES: usize = 6;
/// Largest measured time in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Measurements begin after this time.
pub const WARMUP: Duration = Duration::from_secs(5);

/// What a run simulates.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Endpoints.
    pub endpoints: usize,
    /// Simulated time.
    pub length: Duration,
    /// Online requests per second and endpoint, calm and in a burst.
    pub rates: [f64; 2],
    /// Whether there is a batch backlog.
    pub batch: bool,
    /// Settings of the gates.
    pub gate: gate::Config,
    /// Whether a cancellation is confirmed only at the end of the engine's step.
    pub slow: bool,
    /// Seed of arrivals and lengths.
    pub seed: u64,
}

/// Figures of a run.
pub struct Figures {
    /// Arrival to first online token, in microseconds.
    pub first: Histogram<u64>,
    /// Time between online tokens, in microseconds.
    pub gap: Histogram<u64>,
    /// Submission to start of online requests, in microseconds.
    pub wait: Histogram<u64>,
    /// Online tokens.
    pub online: u64,
    /// Batch tokens.
    pub batch: u64,
    /// Batch items that ended.
    pub items: u64,
    /// Preemptions.
    pub preemptions: u64,
    /// Kept tokens that were processed again after a preemption.
    pub recomputed: u64,
    /// Tokens of items that went back to their job.
    pub lost: u64,
    /// Refused online requests.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { workspace: usize, tokens: u32 },
    Grant { at: usize },
    Resume { at: usize, id: u64 },
    Confirm { at: usize, id: u64 },
    Step { at: usize },
    Tick { at: usize },
}

struct Request {
    class: gate::Class,
    workspace: Arc<str>,
    arrived: Duration,
    token: Option<Duration>,
    left: u32,
    done: u32,
}

struct Endpoint {
    name: Arc<str>,
    gate: gate::Gate,
    engine: engine::Engine,
    /// Items under way from the state hosts.
    granted: u32,
    confirm: Vec<u64>,
}

/// Simulated fleet.
pub struct Fleet {
    plan: Plan,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    endpoints: Vec<Endpoint>,
    requests: HashMap<u64, Request>,
    router: router::Router,
    workspaces: Vec<Arc<str>>,
    next: u64,
    figures: Figures,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid")
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn length(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    1 + exponential(rng, mean - 1.0) as u32
}

/// Runs a plan.
pub fn run(plan: Plan) -> Figures {
    let mut fleet = Fleet::new(plan);
    fleet.schedule_arrivals();
    for at in 0..fleet.endpoints.len() {
        fleet.push(Duration::from_micros(100 * at as u64), Event::Tick { at });
    }
    while let Some(Reverse((now, _, event))) = fleet.events.pop() {
        if now > fleet.plan.length {
            break;
        }
        fleet.handle(now, event);
    }
    fleet.figures
}

impl Fleet {
    fn new(plan: Plan) -> Fleet {
        let names = (0..plan.endpoints).map(|at| Arc::<str>::from(format!("engine-{at:02}")));
        let endpoints: Vec<Endpoint> = names
            .map(|name| Endpoint {
                name,
                gate: gate::Gate::new(plan.gate.clone()),
                engine: engine::Engine::new(plan.gate.slots as usize),
                granted: 0,
                confirm: Vec::new(),
            })
            .collect();
        let config = router::Config::default();
        let mut router = router::Router::new(config, "entry".into(), "hall".into(), plan.seed);
        let candidate = |e: &Endpoint| router::Candidate {
            agent: e.name.clone(),
            domain: "hall".into(),
            region: "region".into(),
            models: vec!["model".into()],
            slots: plan.gate.slots,
        };
        router.set_candidates(endpoints.iter().map(candidate).collect());
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            endpoints,
            requests: HashMap::new(),
            router,
            workspaces: (0..WORKSPACES).map(|n| format!("workspace-{n}").into()).collect(),
            next: 1,
            figures: Figures {
                first: histogram(),
                gap: histogram(),
                wait: histogram(),
                online: 0,
                batch: 0,
                items: 0,
                preemptions: 0,
                recomputed: 0,
                lost: 0,
                refused: 0,
            },
            plan,
        }
    }

    /// Draws all arrivals first, so that every arm sees the same ones.
    fn schedule_arrivals(&mut self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed ^ 0xA221);
        let length_s = self.plan.length.as_secs_f64();
        let (mut now, mut phase) = (0.0, 0);
        let mut end = exponential(&mut rng, PERIODS[phase]);
        while now < length_s {
            let rate = self.plan.rates[phase] * self.plan.endpoints as f64;
            let next = now + exponential(&mut rng, 1.0 / rate);
            if next > end {
                now = end;
                phase = 1 - phase;
                end += exponential(&mut rng, PERIODS[phase]);
                continue;
            }
            now = next;
            let workspace = rng.random_range(0..WORKSPACES);
            let tokens = length(&mut rng, ONLINE_TOKENS);
            self.push(Duration::from_secs_f64(now), Event::Arrival { workspace, tokens });
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrival { workspace, tokens } => self.arrive(now, workspace, tokens),
            Event::Grant { at } => {
                self.endpoints[at].granted -= 1;
                let left = length(&mut self.rng, BATCH_TOKENS);
                let id = self.admit(now, gate::Class::Batch, "jobs".into(), left);
                self.submit(now, at, id);
            }
            Event::Resume { at, id } => self.submit(now, at, id),
            Event::Confirm { at, id } => self.confirm(now, at, id),
            Event::Step { at } => self.end_step(now, at),
            Event::Tick { at } => {
                self.step(now, at, gate::Input::Tick);
                self.push(now + TICK, Event::Tick { at });
            }
        }
    }

    fn admit(&mut self, now: Duration, class: gate::Class, workspace: Arc<str>, left: u32) -> u64 {
        let id = self.next;
        self.next += 1;
        let request = Request { class, workspace, arrived: now, token: None, left, done: 0 };
        self.requests.insert(id, request);
        id
    }

    fn arrive(&mut self, now: Duration, workspace: usize, tokens: u32) {
        let query = router::Query {
            model: "model".into(),
            prefix: 0,
            deadline: DEADLINE,
            tried: Vec::new(),
        };
        let Ok(pick) = self.router.pick(now, &query) else {
            self.figures.refused += 1;
            return;
        };
        let at = self.endpoints.iter().position(|e| e.name == pick.agent);
        let at = at.expect("the router knows these endpoints only");
        self.router.observe(now, &pick.agent, router::Observation::Started);
        let workspace = self.workspaces[workspace].clone();
        let id = self.admit(now, gate::Class::Online, workspace, tokens);
        self.submit(now, at, id);
        let load = self.endpoints[at].gate.load();
        let report = router::Observation::Load { queued: load.queued, running: load.online };
        self.router.observe(now, &pick.agent, report);
    }

    fn submit(&mut self, now: Duration, at: usize, id: u64) {
        let request = &self.requests[&id];
        let deadline = match request.class {
            gate::Class::Online => DEADLINE,
            gate::Class::Batch => BATCH_DEADLINE,
        };
        let (class, workspace) = (request.class, request.workspace.clone());
        self.step(now, at, gate::Input::Submit { id, class, workspace, deadline });
    }

    fn step(&mut self, now: Duration, at: usize, input: gate::Input) {
        for output in self.endpoints[at].gate.step(now, input) {
            self.execute(now, at, output);
        }
        if let Some(time) = self.endpoints[at].engine.begin() {
            self.push(now + time, Event::Step { at });
        }
    }

    fn execute(&mut self, now: Duration, at: usize, output: gate::Output) {
        match output {
            gate::Output::Start { id } => {
                let request = &self.requests[&id];
                let stream = engine::Stream { id, left: request.left, resumed: request.done };
                if request.class == gate::Class::Online && now >= WARMUP {
                    self.figures.wait.saturating_record((now - request.arrived).as_micros() as u64);
                }
                self.figures.recomputed += u64::from(request.done);
                self.endpoints[at].engine.submit(stream);
            }
            gate::Output::Preempt { id } => {
                self.figures.preemptions += 1;
                self.endpoints[at].engine.cancel(id);
                if self.plan.slow {
                    self.endpoints[at].confirm.push(id);
                } else {
                    self.push(now, Event::Confirm { at, id });
                }
            }
            gate::Output::Refuse { id, reason, retry } => self.refused(now, at, id, reason, retry),
            gate::Output::Pull { count } if self.plan.batch => {
                for _ in self.endpoints[at].granted..count {
                    self.endpoints[at].granted += 1;
                    self.push(now + GRANT, Event::Grant { at });
                }
            }
            _ => {}
        }
    }

    fn refused(
        &mut self,
        now: Duration,
        at: usize,
        id: u64,
        reason: basilfield::wire::Reason,
        retry: Duration,
    ) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.class == gate::Class::Batch {
            self.figures.lost += u64::from(request.done);
            return;
        }
        self.figures.refused += 1;
        let event = router::Observation::Refused { reason, retry };
        self.router.observe(now, &self.endpoints[at].name, event);
    }

    fn confirm(&mut self, now: Duration, at: usize, id: u64) {
        // The stream may have produced its last token before it was cancelled.
        if !self.requests.contains_key(&id) {
            return;
        }
        self.step(now, at, gate::Input::Cancelled { id });
        self.push(now, Event::Resume { at, id });
    }

    fn end_step(&mut self, now: Duration, at: usize) {
        let produced = self.endpoints[at].engine.end();
        for id in std::mem::take(&mut self.endpoints[at].confirm) {
            self.confirm(now, at, id);
        }
        for stream in &produced {
            self.count_token(now, stream);
            self.quiet(now, at, gate::Input::Token { id: stream.id, count: 1 });
        }
        for stream in produced.iter().filter(|s| s.left == 0) {
            self.finish(now, at, stream.id);
        }
        if let Some(time) = self.endpoints[at].engine.begin() {
            self.push(now + time, Event::Step { at });
        }
    }

    /// Feeds the gate without beginning the next step of the engine.
    fn quiet(&mut self, now: Duration, at: usize, input: gate::Input) {
        for output in self.endpoints[at].gate.step(now, input) {
            self.execute(now, at, output);
        }
    }

    fn count_token(&mut self, now: Duration, stream: &engine::Stream) {
        let Some(request) = self.requests.get_mut(&stream.id) else { return };
        request.done += 1;
        request.left = stream.left;
        let last = request.token.replace(now);
        if now < WARMUP {
            return;
        }
        if request.class == gate::Class::Batch {
            self.figures.batch += 1;
            return;
        }
        self.figures.online += 1;
        let (histogram, since) = match last {
            Some(last) => (&mut self.figures.gap, last),
            None => (&mut self.figures.first, request.arrived),
        };
        histogram.saturating_record((now - since).as_micros() as u64);
    }

    fn finish(&mut self, now: Duration, at: usize, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.class == gate::Class::Batch {
            self.figures.items += u64::from(now >= WARMUP);
        } else {
            let name = self.endpoints[at].name.clone();
            self.router.observe(now, &name, router::Observation::Finished);
        }
        self.quiet(now, at, gate::Input::Done { id, ok: true });
    }
}

//! Discrete-event simulation of a fleet, with the real gates and router and simulated engines.

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

/// Interval between the ticks of a gate.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Delay from a pull to the submission of the granted items.
const GRANT_DELAY: Duration = Duration::from_millis(5);
/// Deadline of online requests.
const ONLINE_DEADLINE: Duration = Duration::from_secs(5);
/// Deadline of batch items.
const BATCH_DEADLINE: Duration = Duration::from_secs(3600);
/// Mean tokens of an online answer.
const ONLINE_TOKENS: f64 = 60.0;
/// Mean tokens of a batch item.
const BATCH_TOKENS: f64 = 200.0;
/// Mean durations of a calm period and of a burst, in seconds.
const MEAN_PERIODS_S: [f64; 2] = [8.0, 2.0];
/// Number of workspaces that send online requests.
const WORKSPACE_COUNT: usize = 6;
/// Largest time that the histograms record, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Simulated time before the measurements begin.
pub const WARMUP: Duration = Duration::from_secs(5);

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of endpoints.
    pub endpoints: usize,
    /// Simulated duration.
    pub duration: Duration,
    /// Online requests per second and endpoint in a calm period and in a burst.
    pub rates: [f64; 2],
    /// Whether there is a batch backlog.
    pub batch: bool,
    /// Settings of the gates.
    pub gate: gate::Config,
    /// Whether cancellations are confirmed at the end of the engine's step instead of at once.
    pub late_confirm: bool,
    /// Seed of the arrivals and answer lengths.
    pub seed: u64,
}

/// Measurements of a simulation.
pub struct Results {
    /// Times from the arrival of an online request to its first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between the tokens of online requests, in microseconds.
    pub token_gap: Histogram<u64>,
    /// Times from the submission of an online request to its start, in microseconds.
    pub queue_wait: Histogram<u64>,
    /// Number of online tokens.
    pub online_tokens: u64,
    /// Number of batch tokens.
    pub batch_tokens: u64,
    /// Number of finished batch items.
    pub finished_items: u64,
    /// Number of preemptions.
    pub preemptions: u64,
    /// Tokens that the engine processed again when it resumed preempted streams.
    pub recomputed_tokens: u64,
    /// Tokens of refused batch items, which return to their job without them.
    pub lost_tokens: u64,
    /// Number of refused online requests.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { workspace: usize, tokens: u32 },
    Grant { index: usize },
    Resume { index: usize, id: u64 },
    Confirm { index: usize, id: u64 },
    Step { index: usize },
    Tick { index: usize },
}

struct Request {
    class: gate::Class,
    workspace: Arc<str>,
    arrived: Duration,
    last_token: Option<Duration>,
    remaining: u32,
    produced: u32,
}

struct Endpoint {
    name: Arc<str>,
    gate: gate::Gate,
    engine: engine::Engine,
    /// Granted items on the way from the state hosts.
    pending_grants: u32,
    /// Cancelled streams to confirm at the end of the step.
    unconfirmed: Vec<u64>,
}

/// Simulated fleet.
pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    endpoints: Vec<Endpoint>,
    requests: HashMap<u64, Request>,
    router: router::Router,
    workspaces: Vec<Arc<str>>,
    next_id: u64,
    results: Results,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the histogram bounds are valid")
}

fn sample_exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn sample_tokens(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    1 + sample_exponential(rng, mean - 1.0) as u32
}

/// Runs a simulation.
pub fn run(scenario: Scenario) -> Results {
    let mut fleet = Fleet::new(scenario);
    fleet.schedule_arrivals();
    for index in 0..fleet.endpoints.len() {
        fleet.push(Duration::from_micros(100 * index as u64), Event::Tick { index });
    }
    while let Some(Reverse((now, _, event))) = fleet.events.pop() {
        if now > fleet.scenario.duration {
            break;
        }
        fleet.handle(now, event);
    }
    fleet.results
}

impl Fleet {
    fn new(scenario: Scenario) -> Fleet {
        let names =
            (0..scenario.endpoints).map(|index| Arc::<str>::from(format!("engine-{index:02}")));
        let endpoints: Vec<Endpoint> = names
            .map(|name| Endpoint {
                name,
                gate: gate::Gate::new(scenario.gate.clone()),
                engine: engine::Engine::new(scenario.gate.slots as usize),
                pending_grants: 0,
                unconfirmed: Vec::new(),
            })
            .collect();
        let config = router::Config::default();
        let mut router = router::Router::new(config, "entry".into(), "hall".into(), scenario.seed);
        let candidate = |e: &Endpoint| router::Candidate {
            agent: e.name.clone(),
            domain: "hall".into(),
            region: "region".into(),
            models: vec!["model".into()],
            slots: scenario.gate.slots,
        };
        router.set_candidates(endpoints.iter().map(candidate).collect());
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            endpoints,
            requests: HashMap::new(),
            router,
            workspaces: (0..WORKSPACE_COUNT).map(|n| format!("workspace-{n}").into()).collect(),
            next_id: 1,
            results: Results {
                first_token: new_histogram(),
                token_gap: new_histogram(),
                queue_wait: new_histogram(),
                online_tokens: 0,
                batch_tokens: 0,
                finished_items: 0,
                preemptions: 0,
                recomputed_tokens: 0,
                lost_tokens: 0,
                refused: 0,
            },
            scenario,
        }
    }

    /// Draws all arrivals in advance from their own generator, so that every arm gets the same
    /// ones.
    fn schedule_arrivals(&mut self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ 0xA221);
        let duration_s = self.scenario.duration.as_secs_f64();
        let (mut now, mut phase) = (0.0, 0);
        let mut end = sample_exponential(&mut rng, MEAN_PERIODS_S[phase]);
        while now < duration_s {
            let rate = self.scenario.rates[phase] * self.scenario.endpoints as f64;
            let next = now + sample_exponential(&mut rng, 1.0 / rate);
            if next > end {
                now = end;
                phase = 1 - phase;
                end += sample_exponential(&mut rng, MEAN_PERIODS_S[phase]);
                continue;
            }
            now = next;
            let workspace = rng.random_range(0..WORKSPACE_COUNT);
            let tokens = sample_tokens(&mut rng, ONLINE_TOKENS);
            self.push(Duration::from_secs_f64(now), Event::Arrival { workspace, tokens });
        }
    }

    fn push(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrival { workspace, tokens } => self.handle_arrival(now, workspace, tokens),
            Event::Grant { index } => {
                self.endpoints[index].pending_grants -= 1;
                let remaining = sample_tokens(&mut self.rng, BATCH_TOKENS);
                let id = self.add_request(now, gate::Class::Batch, "jobs".into(), remaining);
                self.submit(now, index, id);
            }
            Event::Resume { index, id } => self.submit(now, index, id),
            Event::Confirm { index, id } => self.confirm(now, index, id),
            Event::Step { index } => self.end_step(now, index),
            Event::Tick { index } => {
                self.step(now, index, gate::Input::Tick);
                self.push(now + TICK_PERIOD, Event::Tick { index });
            }
        }
    }

    fn add_request(
        &mut self,
        now: Duration,
        class: gate::Class,
        workspace: Arc<str>,
        remaining: u32,
    ) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let request =
            Request { class, workspace, arrived: now, last_token: None, remaining, produced: 0 };
        self.requests.insert(id, request);
        id
    }

    fn handle_arrival(&mut self, now: Duration, workspace: usize, tokens: u32) {
        let query = router::Query {
            model: "model".into(),
            prefix: 0,
            deadline: ONLINE_DEADLINE,
            tried: Vec::new(),
        };
        let Ok(pick) = self.router.pick(now, &query) else {
            self.results.refused += 1;
            return;
        };
        let index = self.endpoints.iter().position(|e| e.name == pick.agent);
        let index = index.expect("the router picks one of these endpoints");
        self.router.observe(now, &pick.agent, router::Observation::Started);
        let workspace = self.workspaces[workspace].clone();
        let id = self.add_request(now, gate::Class::Online, workspace, tokens);
        self.submit(now, index, id);
        let load = self.endpoints[index].gate.load();
        let report = router::Observation::Load { queued: load.queued, running: load.online };
        self.router.observe(now, &pick.agent, report);
    }

    fn submit(&mut self, now: Duration, index: usize, id: u64) {
        let request = &self.requests[&id];
        let deadline = match request.class {
            gate::Class::Online => ONLINE_DEADLINE,
            gate::Class::Batch => BATCH_DEADLINE,
        };
        let (class, workspace) = (request.class, request.workspace.clone());
        self.step(now, index, gate::Input::Submit { id, class, workspace, deadline });
    }

    /// Passes an input to the gate, then begins the next step of the engine if it is idle.
    fn step(&mut self, now: Duration, index: usize, input: gate::Input) {
        for output in self.endpoints[index].gate.step(now, input) {
            self.execute(now, index, output);
        }
        if let Some(time) = self.endpoints[index].engine.begin_step() {
            self.push(now + time, Event::Step { index });
        }
    }

    fn execute(&mut self, now: Duration, index: usize, output: gate::Output) {
        match output {
            gate::Output::Start { id } => {
                let request = &self.requests[&id];
                let stream = engine::Stream {
                    id,
                    remaining: request.remaining,
                    resumed_tokens: request.produced,
                };
                if request.class == gate::Class::Online && now >= WARMUP {
                    self.results
                        .queue_wait
                        .saturating_record((now - request.arrived).as_micros() as u64);
                }
                self.results.recomputed_tokens += u64::from(request.produced);
                self.endpoints[index].engine.submit(stream);
            }
            gate::Output::Preempt { id } => {
                self.results.preemptions += 1;
                self.endpoints[index].engine.cancel(id);
                if self.scenario.late_confirm {
                    self.endpoints[index].unconfirmed.push(id);
                } else {
                    self.push(now, Event::Confirm { index, id });
                }
            }
            gate::Output::Refuse { id, reason, retry } => {
                self.handle_refusal(now, index, id, reason, retry)
            }
            gate::Output::Pull { count } if self.scenario.batch => {
                for _ in self.endpoints[index].pending_grants..count {
                    self.endpoints[index].pending_grants += 1;
                    self.push(now + GRANT_DELAY, Event::Grant { index });
                }
            }
            _ => {}
        }
    }

    fn handle_refusal(
        &mut self,
        now: Duration,
        index: usize,
        id: u64,
        reason: basilfield::wire::Reason,
        retry: Duration,
    ) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.class == gate::Class::Batch {
            self.results.lost_tokens += u64::from(request.produced);
            return;
        }
        self.results.refused += 1;
        let event = router::Observation::Refused { reason, retry };
        self.router.observe(now, &self.endpoints[index].name, event);
    }

    fn confirm(&mut self, now: Duration, index: usize, id: u64) {
        // The stream may have produced its last token before the cancellation.
        if !self.requests.contains_key(&id) {
            return;
        }
        self.step(now, index, gate::Input::Cancelled { id });
        self.push(now, Event::Resume { index, id });
    }

    fn end_step(&mut self, now: Duration, index: usize) {
        let produced = self.endpoints[index].engine.end_step();
        for id in std::mem::take(&mut self.endpoints[index].unconfirmed) {
            self.confirm(now, index, id);
        }
        for stream in &produced {
            self.count_token(now, stream);
            self.step_gate(now, index, gate::Input::Token { id: stream.id, count: 1 });
        }
        for stream in produced.iter().filter(|s| s.remaining == 0) {
            self.finish(now, index, stream.id);
        }
        if let Some(time) = self.endpoints[index].engine.begin_step() {
            self.push(now + time, Event::Step { index });
        }
    }

    /// Passes an input to the gate without beginning the next step of the engine.
    fn step_gate(&mut self, now: Duration, index: usize, input: gate::Input) {
        for output in self.endpoints[index].gate.step(now, input) {
            self.execute(now, index, output);
        }
    }

    fn count_token(&mut self, now: Duration, stream: &engine::Stream) {
        let Some(request) = self.requests.get_mut(&stream.id) else { return };
        request.produced += 1;
        request.remaining = stream.remaining;
        let last = request.last_token.replace(now);
        if now < WARMUP {
            return;
        }
        if request.class == gate::Class::Batch {
            self.results.batch_tokens += 1;
            return;
        }
        self.results.online_tokens += 1;
        let (histogram, since) = match last {
            Some(last) => (&mut self.results.token_gap, last),
            None => (&mut self.results.first_token, request.arrived),
        };
        histogram.saturating_record((now - since).as_micros() as u64);
    }

    fn finish(&mut self, now: Duration, index: usize, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.class == gate::Class::Batch {
            self.results.finished_items += u64::from(now >= WARMUP);
        } else {
            let name = self.endpoints[index].name.clone();
            self.router.observe(now, &name, router::Observation::Finished);
        }
        self.step_gate(now, index, gate::Input::Done { id, ok: true });
    }
}

//! Online requests of 83 workspaces with skew 1.2, in steps of 0.391 and 1.91 times their mean, 3.6 s
//! and 2.4 s long, from 24 entries to 52 endpoints. The connections of a workspace are hashed onto
//! entries unevenly. One workspace sends 7.5 times its usual load for 5 s. The entries learn what the
//! others run 25 ms late.

use basilfield::fleet::load;
use basilfield::fleet::place;
use basilfield::fleet::waiting;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const ENTRIES: usize = 24;
const ENDPOINTS: usize = 52;
const WORKSPACES: usize = 83;
const SKEW: f64 = 1.2;
const SLOTS: u32 = 8;
const BUILD: &str = "v1";
/// Requests in a second, on average, without the workspace above its usual load. The steps ask for 4%
/// more than all slots give.
const RATE: f64 = 298.0;
/// Workspace whose load rises, counted from the largest, and by how much.
const BUSY: usize = 4;
const BUSY_FACTOR: f64 = 7.5;
/// Time in milliseconds in which its load is higher.
const BUSY_TIME: std::ops::Range<u64> = 15_000..20_000;
/// Connections of all workspaces together.
const CONNECTIONS: f64 = 480.0;
/// Mean run time of a request in milliseconds, and how far it goes up or down.
const RUN_TIME: u64 = 760;
const RUN_TIME_SPREAD: u64 = 300;
/// Age in milliseconds of what an entry knows of the others.
const REPORT_AGE: usize = 25;
/// Longest wait for a slot at the entry in milliseconds.
const MAX_QUEUE_TIME: u64 = 180;
/// Longest wait for a slot in milliseconds with which the first event is in time.
const MAX_WAIT: u64 = 200;
/// Length of the replay and of its windows in milliseconds.
const LENGTH: u64 = 48_000;
const WINDOW: u64 = 1_200;

/// How slots pass to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// In order of arrival, regardless of workspaces.
    Former,
    /// In turn, but free slots go to the request that finds them, and those that get no slot in time go
    /// to any endpoint.
    QueueOnly,
    /// In turn.
    Present,
}

/// Requests of a workspace or of a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Requests made.
    pub asked: u32,
    /// Requests that got a slot.
    pub served: u32,
    /// Requests that got a slot in time.
    pub in_time: u32,
}

impl Count {
    /// Share of requests that got a slot in time.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Share of requests that got a slot.
    pub fn share_served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }

    fn add(&mut self, other: Count) {
        self.asked += other.asked;
        self.served += other.served;
        self.in_time += other.in_time;
    }
}

/// What callers got.
#[derive(Debug)]
pub struct Outcome {
    /// By workspace, the largest first.
    pub workspaces: Vec<Count>,
    /// By window, without the workspace above its usual load.
    pub others: Vec<Count>,
    /// The workspace above its usual load, during that time.
    pub busy: Count,
    /// By priority of the workspace.
    pub priorities: [Count; 2],
}

impl Outcome {
    /// All workspaces together.
    pub fn total(&self) -> Count {
        let mut total = Count::default();
        self.workspaces.iter().for_each(|count| total.add(*count));
        total
    }

    /// Lowest share of served requests of a workspace.
    pub fn least_served(&self) -> f64 {
        self.workspaces.iter().map(Count::share_served).fold(1.0, f64::min)
    }

    /// Mean share in time of the tenth of the workspaces with the lowest.
    pub fn worst_tenth(&self) -> f64 {
        let mut shares: Vec<f64> = self.workspaces.iter().map(Count::share_in_time).collect();
        shares.sort_by(f64::total_cmp);
        let tenth = &shares[..WORKSPACES / 10];
        tenth.iter().sum::<f64>() / tenth.len() as f64
    }
}

#[derive(Clone, Copy)]
struct Request {
    arrived: u64,
    workspace: usize,
    entry: usize,
    run_time: u64,
}

#[derive(Default)]
struct Endpoint {
    /// Ends of the running requests and their entries.
    running: Vec<(u64, Request)>,
    waiting: VecDeque<Request>,
}

/// Requests that wait at one entry, with the endpoint that may take each one late.
#[derive(Default)]
struct Entry {
    queue: waiting::Queue,
    waiting: Vec<(u64, Request, Option<usize>)>,
}

struct Replay {
    policy: Policy,
    claims: Vec<waiting::Claim>,
    rng: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    ids: Vec<Arc<str>>,
    /// Requests by endpoint and entry.
    own: Vec<[u32; ENTRIES]>,
    entries: Vec<Entry>,
    outcome: Outcome,
}

/// Windows in which the workspace is above its usual load the whole time.
pub fn busy_windows() -> std::ops::Range<usize> {
    BUSY_TIME.start.div_ceil(WINDOW) as usize..(BUSY_TIME.end / WINDOW) as usize
}

/// Arrivals of all requests in order, the same for each policy.
fn arrivals() -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let weights: Vec<f64> = (1..=WORKSPACES).map(|n| (n as f64).powf(-SKEW)).collect();
    let total: f64 = weights.iter().sum();
    let connections: Vec<Vec<usize>> = weights
        .iter()
        .map(|weight| {
            let count = (weight / total * CONNECTIONS).ceil() as usize;
            (0..count).map(|_| rng.random_range(0..ENTRIES)).collect()
        })
        .collect();
    let mut requests = Vec::new();
    for arrived in 0..LENGTH {
        let step = if arrived % 6_000 < 3_600 { 0.391 } else { 1.91 };
        for (workspace, weight) in weights.iter().enumerate() {
            let is_busy = workspace == BUSY && BUSY_TIME.contains(&arrived);
            let factor = if is_busy { BUSY_FACTOR } else { 1.0 };
            if rng.random_bool((RATE / 1_000.0 * step * factor * weight / total).min(1.0)) {
                let connections = &connections[workspace];
                let entry = connections[rng.random_range(0..connections.len())];
                let spread = rng.random_range(0..=2 * RUN_TIME_SPREAD);
                let run_time = RUN_TIME - RUN_TIME_SPREAD + spread;
                requests.push(Request { arrived, workspace, entry, run_time });
            }
        }
    }
    requests
}

/// Plays the load. With `priorities`, every second workspace is less urgent.
pub fn replay(policy: Policy, priorities: bool) -> Outcome {
    let priority = |at: usize| if priorities { at as u64 % 2 } else { 0 };
    let claim = |at: usize| waiting::Claim {
        rank: waiting::Rank { workspace: priority(at), route: 0 },
        workspace: Some(at.to_string().into()),
    };
    let mut replay = Replay {
        policy,
        claims: match policy {
            Policy::Former => vec![waiting::Claim::default(); WORKSPACES],
            Policy::QueueOnly | Policy::Present => (0..WORKSPACES).map(claim).collect(),
        },
        rng: ChaCha8Rng::seed_from_u64(7),
        endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
        ids: (0..ENDPOINTS).map(|at| at.to_string().into()).collect(),
        own: vec![[0; ENTRIES]; ENDPOINTS],
        entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
        outcome: Outcome {
            workspaces: vec![Count::default(); WORKSPACES],
            others: vec![Count::default(); (LENGTH / WINDOW) as usize],
            busy: Count::default(),
            priorities: [Count::default(); 2],
        },
    };
    let mut requests = VecDeque::from(arrivals());
    let mut reports: VecDeque<Vec<[u32; ENTRIES]>> = VecDeque::new();
    for now in 0..LENGTH {
        reports.push_back(replay.own.clone());
        if reports.len() > REPORT_AGE {
            reports.pop_front();
        }
        let known = reports.front().expect("pushed above").clone();
        (0..ENDPOINTS).for_each(|at| replay.end_requests(now, at, &known));
        replay.expire(now);
        while let Some(request) = requests.pop_front_if(|r| r.arrived == now) {
            replay.arrive(request, &known);
        }
    }
    replay.outcome
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Replay {
    /// Counts an event of a request.
    fn count(&mut self, request: Request, event: Count) {
        self.outcome.workspaces[request.workspace].add(event);
        self.outcome.priorities[request.workspace % 2].add(event);
        if request.workspace != BUSY {
            self.outcome.others[(request.arrived / WINDOW) as usize].add(event);
        } else if BUSY_TIME.contains(&request.arrived) {
            self.outcome.busy.add(event);
        }
    }

    /// Ends requests at an endpoint and starts those that wait there or at their entries.
    fn end_requests(&mut self, now: u64, at: usize, known: &[[u32; ENTRIES]]) {
        let ended: Vec<Request> =
            self.endpoints[at].running.extract_if(.., |r| r.0 <= now).map(|r| r.1).collect();
        for request in ended {
            let entry = request.entry;
            let others: u32 = known[at].iter().sum::<u32>() - known[at][entry];
            let is_reusable = others + self.own[at][entry] <= SLOTS;
            self.own[at][entry] -= 1;
            if is_reusable {
                let run_time = ms(request.run_time);
                let ticket = self.entries[entry].queue.release(ms(now), run_time, BUILD);
                self.hand_over(entry, at, ticket);
            }
        }
        while self.endpoints[at].running.len() < SLOTS as usize {
            let Some(request) = self.endpoints[at].waiting.pop_front() else { break };
            let in_time = u32::from(now - request.arrived <= MAX_WAIT);
            self.count(request, Count { asked: 0, served: 1, in_time });
            self.endpoints[at].running.push((now + request.run_time, request));
        }
    }

    fn hand_over(&mut self, entry: usize, at: usize, ticket: Option<u64>) {
        if let Some((request, _)) = ticket.and_then(|ticket| self.take_waiting(entry, ticket)) {
            self.send(at, request);
        }
    }

    fn take_waiting(&mut self, entry: usize, ticket: u64) -> Option<(Request, Option<usize>)> {
        let waiting = &mut self.entries[entry].waiting;
        let at = waiting.iter().position(|w| w.0 == ticket)?;
        let (_, request, other) = waiting.remove(at);
        Some((request, other))
    }

    /// Ends the wait of requests that have waited for too long.
    fn expire(&mut self, now: u64) {
        for entry in 0..ENTRIES {
            let expired: Vec<u64> = self.entries[entry]
                .waiting
                .iter()
                .filter(|w| now - w.1.arrived > MAX_QUEUE_TIME)
                .map(|w| w.0)
                .collect();
            for ticket in expired {
                self.entries[entry].queue.leave(ticket);
                let waiting = self.take_waiting(entry, ticket);
                waiting.into_iter().for_each(|(r, other)| self.send_late(now, r, other));
            }
        }
    }

    /// Sends a request that gets no slot in time to a full endpoint, or refuses it.
    fn send_late(&mut self, now: u64, request: Request, other: Option<usize>) {
        let queue = &mut self.entries[request.entry].queue;
        if self.policy == Policy::Present && queue.is_contended(ms(now)) {
            return;
        }
        if let Some(at) = other {
            queue.record_turn(ms(now), &self.claims[request.workspace]);
            self.send(at, request);
        }
    }

    fn choose(&mut self, entry: usize, known: &[[u32; ENTRIES]]) -> place::Choice {
        let candidate = |at: usize| {
            let others: u32 = known[at].iter().sum::<u32>() - known[at][entry];
            place::Candidate {
                id: self.ids[at].clone(),
                start_time: 1,
                address: ([127, 0, 0, 1], 1).into(),
                build: BUILD.into(),
                same_domain: true,
                slots: SLOTS,
                running: load::Running { own: self.own[at][entry], online: others, batch: 0 },
                avoided: false,
                allowance: None,
            }
        };
        let candidates = (0..ENDPOINTS).map(candidate).collect();
        place::choose(candidates, &[], self.rng.random())
    }

    fn arrive(&mut self, request: Request, known: &[[u32; ENTRIES]]) {
        let (now, entry) = (request.arrived, request.entry);
        let claim = self.claims[request.workspace].clone();
        self.count(request, Count { asked: 1, served: 0, in_time: 0 });
        let position = |c: &place::Candidate| c.id.parse::<usize>().expect("a number");
        let other = loop {
            match self.choose(entry, known) {
                place::Choice::Send(chosen) => {
                    let at = position(&chosen);
                    let queue = &mut self.entries[entry].queue;
                    let first = match self.policy {
                        Policy::Present => queue.offer_before(ms(now), BUILD, &claim),
                        Policy::Former | Policy::QueueOnly => None,
                    };
                    if first.is_some() {
                        self.hand_over(entry, at, first);
                        continue;
                    }
                    queue.record_turn(ms(now), &claim);
                    return self.send(at, request);
                }
                place::Choice::Wait(other) => break other.as_ref().map(position),
                place::Choice::None => break None,
            }
        };
        let running = self.own.iter().map(|own| own[entry]).sum();
        let queue = &mut self.entries[entry].queue;
        match queue.join(ms(now), ms(MAX_QUEUE_TIME), running, None, &claim) {
            Some(joined) => {
                self.entries[entry].waiting.push((joined.ticket, request, other));
                for ticket in joined.displaced {
                    let waiting = self.take_waiting(entry, ticket);
                    waiting.into_iter().for_each(|(r, other)| self.send_late(now, r, other));
                }
            }
            None => self.send_late(now, request, other),
        }
    }

    fn send(&mut self, at: usize, request: Request) {
        self.own[at][request.entry] += 1;
        self.endpoints[at].waiting.push_back(request);
    }
}

//! Online requests of 83 workspaces with skew 1.2, in steps of 0.391 and 1.91 times their mean, 3.6 s
//! and 2.4 s long, from 24 entries to 52 endpoints. The connections of a workspace are hashed onto
//! entries unevenly. One workspace sends 7.5 times its usual load for 5 s. The entries learn what the
//! others run 25 ms late.
//!
//! A second pattern has a base load of half of all slots, and one workspace far above its usual load
//! for 2 s. Callers that are refused retry once, at another connection.

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

/// Time in milliseconds after which a caller gives up.
const DEADLINE: u64 = 5_000;
/// Part of the time it has left for which a refused caller waits at most until it retries.
const MAX_PAUSE_SHARE: u64 = 3;
/// Value of a late response compared with one in time.
const LATE_VALUE: f64 = 0.15;
/// Time in milliseconds in which the load exceeds all slots in the second pattern, and its length.
const OVERLOAD_TIME: std::ops::Range<u64> = 6_000..8_000;
const OVERLOAD_LENGTH: u64 = 16_800;

/// Load of a replay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Steps of all workspaces, and one workspace above its usual load. Callers do not retry.
    Steps,
    /// Half of all slots, and for 2 s as many more requests of one workspace that all together are
    /// this many times all slots. Callers retry once.
    Overload(f64),
}

impl Pattern {
    fn length(self) -> u64 {
        match self {
            Pattern::Steps => LENGTH,
            Pattern::Overload(_) => OVERLOAD_LENGTH,
        }
    }

    /// Factor of the load of a workspace of weight `weight`, a part of 1.
    fn factor(self, at: u64, workspace: usize, weight: f64) -> f64 {
        match self {
            Pattern::Steps => {
                let step = if at % 6_000 < 3_600 { 0.391 } else { 1.91 };
                let is_busy = workspace == BUSY && BUSY_TIME.contains(&at);
                step * if is_busy { BUSY_FACTOR } else { 1.0 }
            }
            Pattern::Overload(total) => {
                let full = ENDPOINTS as f64 * f64::from(SLOTS) * 1_000.0 / RUN_TIME as f64 / RATE;
                let is_busy = workspace == BUSY && OVERLOAD_TIME.contains(&at);
                let more = if is_busy { (total - 0.5) * full / weight } else { 0.0 };
                0.5 * full + more
            }
        }
    }
}

/// How slots pass to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// In order of arrival, regardless of workspaces.
    Former,
    /// In turn, but free slots go to the request that finds them, and those that get no slot in time go
    /// to any endpoint.
    QueueOnly,
    /// In turn. Requests that get no slot in time are refused while others wait at their entry.
    Refusing,
    /// In turn. Requests that get no slot in time wait behind all others.
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

    /// Value for the callers.
    pub fn value(&self) -> f64 {
        f64::from(self.in_time) + LATE_VALUE * f64::from(self.served - self.in_time)
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
    /// All workspaces by window.
    pub windows: Vec<Count>,
    /// By priority of the workspace.
    pub priorities: [Count; 2],
    /// Refusals of attempts.
    pub refusals: u32,
    /// Requests whose retry was refused as well.
    pub refused_twice: u32,
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
    /// Arrival of the first attempt.
    first: u64,
    /// Arrival of this attempt.
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
    /// Requests that can no longer be in time.
    late: Vec<(u64, Request)>,
}

struct Replay {
    policy: Policy,
    pattern: Pattern,
    connections: Vec<Vec<usize>>,
    /// Callers that return, with the time of their return.
    returns: Vec<(u64, Request)>,
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

/// Entries of the connections of each workspace, and arrivals of all requests in order, the same for
/// each policy.
fn arrivals(pattern: Pattern) -> (Vec<Vec<usize>>, Vec<Request>) {
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
    for arrived in 0..pattern.length() {
        for (workspace, weight) in weights.iter().enumerate() {
            let factor = pattern.factor(arrived, workspace, weight / total);
            if rng.random_bool((RATE / 1_000.0 * factor * weight / total).min(1.0)) {
                let connections = &connections[workspace];
                let entry = connections[rng.random_range(0..connections.len())];
                let spread = rng.random_range(0..=2 * RUN_TIME_SPREAD);
                let run_time = RUN_TIME - RUN_TIME_SPREAD + spread;
                requests.push(Request { first: arrived, arrived, workspace, entry, run_time });
            }
        }
    }
    (connections, requests)
}

/// Plays the load. With `priorities`, every second workspace is less urgent.
pub fn replay(policy: Policy, pattern: Pattern, priorities: bool) -> Outcome {
    let priority = |at: usize| if priorities { at as u64 % 2 } else { 0 };
    let claim = |at: usize| waiting::Claim {
        rank: waiting::Rank { workspace: priority(at), route: 0 },
        workspace: Some(at.to_string().into()),
    };
    let (connections, requests) = arrivals(pattern);
    let windows = vec![Count::default(); (pattern.length() / WINDOW) as usize];
    let mut replay = Replay {
        policy,
        pattern,
        connections,
        returns: Vec::new(),
        claims: match policy {
            Policy::Former => vec![waiting::Claim::default(); WORKSPACES],
            Policy::QueueOnly | Policy::Refusing | Policy::Present => {
                (0..WORKSPACES).map(claim).collect()
            }
        },
        rng: ChaCha8Rng::seed_from_u64(7),
        endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
        ids: (0..ENDPOINTS).map(|at| at.to_string().into()).collect(),
        own: vec![[0; ENTRIES]; ENDPOINTS],
        entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
        outcome: Outcome {
            workspaces: vec![Count::default(); WORKSPACES],
            others: windows.clone(),
            windows,
            busy: Count::default(),
            priorities: [Count::default(); 2],
            refusals: 0,
            refused_twice: 0,
        },
    };
    let mut requests = VecDeque::from(requests);
    let mut reports: VecDeque<Vec<[u32; ENTRIES]>> = VecDeque::new();
    // The requests of the last windows of the overload are served after it has ended.
    let more = if pattern == Pattern::Steps { 0 } else { DEADLINE };
    for now in 0..pattern.length() + more {
        reports.push_back(replay.own.clone());
        if reports.len() > REPORT_AGE {
            reports.pop_front();
        }
        let known = reports.front().expect("pushed above").clone();
        (0..ENDPOINTS).for_each(|at| replay.end_requests(now, at, &known));
        replay.expire(now);
        replay.offer_free_slots(now, &known);
        let due: Vec<Request> =
            replay.returns.extract_if(.., |r| r.0 <= now).map(|r| r.1).collect();
        due.into_iter().for_each(|request| replay.arrive(request, &known));
        while let Some(request) = requests.pop_front_if(|r| r.arrived == now) {
            replay.count(request, Count { asked: 1, served: 0, in_time: 0 });
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
        let window = (request.first / WINDOW) as usize;
        self.outcome.windows[window].add(event);
        if request.workspace != BUSY {
            self.outcome.others[window].add(event);
        } else if BUSY_TIME.contains(&request.first) {
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
            let in_time = u32::from(now - request.first <= MAX_WAIT);
            if self.pattern == Pattern::Steps || now + request.run_time <= request.first + DEADLINE
            {
                self.count(request, Count { asked: 0, served: 1, in_time });
            }
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
        let waits = self.policy == Policy::Present;
        if self.policy == Policy::Refusing && queue.is_contended(ms(now)) {
            return self.refuse(now, request);
        }
        if waits && (other.is_none() || queue.is_contended(ms(now))) {
            let running = self.own.iter().map(|own| own[request.entry]).sum();
            let queue = &mut self.entries[request.entry].queue;
            let claim = &self.claims[request.workspace];
            let left = ms(request.first + DEADLINE - now);
            match queue.join_late(ms(now), left, running, claim) {
                Some(ticket) => self.entries[request.entry].late.push((ticket, request)),
                None => self.refuse(now, request),
            }
            return;
        }
        match other {
            Some(at) => {
                queue.record_turn(ms(now), &self.claims[request.workspace]);
                self.send(at, request);
            }
            None => self.refuse(now, request),
        }
    }

    /// Refuses a request. Its caller retries once, if it is told to return soon enough.
    fn refuse(&mut self, now: u64, request: Request) {
        let is_retry = request.arrived > request.first;
        self.outcome.refusals += 1;
        self.outcome.refused_twice += u32::from(is_retry);
        let pause = self.rng.random_range(250..750);
        let left = (request.first + DEADLINE).saturating_sub(now);
        if self.pattern == Pattern::Steps || is_retry || pause > left / MAX_PAUSE_SHARE {
            return;
        }
        let connections = &self.connections[request.workspace];
        let entry = connections[self.rng.random_range(0..connections.len())];
        let arrived = now + pause;
        self.returns.push((arrived, Request { arrived, entry, ..request }));
    }

    /// Late requests look for free slots, which go to those that come first.
    fn offer_free_slots(&mut self, now: u64, known: &[[u32; ENTRIES]]) {
        for entry in 0..ENTRIES {
            if !self.entries[entry].queue.begin_search(ms(now)) || !self.has_spare(entry, known) {
                continue;
            }
            if let place::Choice::Send(chosen) = self.choose(entry, known) {
                let at = chosen.id.parse().expect("a number");
                self.offer_late(now, entry, at);
            }
        }
    }

    fn has_spare(&self, entry: usize, known: &[[u32; ENTRIES]]) -> bool {
        let others = |at: usize| known[at].iter().sum::<u32>() - known[at][entry];
        let free = |at: usize| SLOTS.saturating_sub(others(at) + self.own[at][entry]);
        waiting::has_spare((0..ENDPOINTS).map(free).sum(), ENDPOINTS as u32 * SLOTS)
    }

    fn offer_late(&mut self, now: u64, entry: usize, at: usize) {
        let ticket = self.entries[entry].queue.offer_late(ms(now));
        let late = &mut self.entries[entry].late;
        if let Some(found) = late.iter().position(|w| Some(w.0) == ticket) {
            let request = late.remove(found).1;
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
        let position = |c: &place::Candidate| c.id.parse::<usize>().expect("a number");
        let other = loop {
            match self.choose(entry, known) {
                place::Choice::Send(chosen) => {
                    let at = position(&chosen);
                    let queue = &mut self.entries[entry].queue;
                    let first = match self.policy {
                        Policy::Refusing | Policy::Present => {
                            queue.offer_before(ms(now), BUILD, &claim)
                        }
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

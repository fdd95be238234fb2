//! Loads under which endpoints crash, in simulated time: requests with a bad part, events that crash
//! several endpoints at once, and both together.

use basilfield::fleet::quarantine;
use quarantine::Cause;
use quarantine::Check;
use quarantine::Crash;
use quarantine::RequestCauses;
use quarantine::State;
use quarantine::Watch;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const BAD: u64 = 0xb;
/// Part of all items, and of all sound requests if it is everywhere.
const SHARED: u64 = 0x5;
const ENDPOINTS: usize = 9;
const HOSTS: usize = 4;
const SLOTS: usize = 8;
const ITEMS: usize = 12;
const SEEDS: u64 = 20;

/// Times in milliseconds.
const STEP: u64 = 10;
const BEGIN: u64 = 1_000_000;
const LENGTH: u64 = 45_000;
/// Time after the begin of a run at which a bad request crashes its endpoint.
const CRASH_AFTER: u64 = 30;
/// Time after which a run has brought enough events to count as answered.
const ANSWERED_AFTER: u64 = 80;
const REQUEST_TIME: u64 = 300;
const ITEM_TIME: u64 = 1_000;
/// Time from a crash until its report is committed, and until the hosts have learnt the state.
const REPORT_TIME: u64 = 120;
const EXCHANGE_INTERVAL: u64 = 50;
/// Time in which hosts have to know what crashes endpoints.
const CONTACT_TIME: u64 = 3_000;
/// Time in which an item is owed once all endpoints are back: 18 s, of which the last 5 s are calm.
const OWED_TIME: u64 = 13_000;
/// Requests with a bad part that may reach endpoints later than `CONTACT_TIME` after the fifth crash.
const MAX_LATE_REQUESTS: usize = 3;

/// Events that crash endpoints for a reason of their own.
#[derive(Clone, Copy, Debug)]
struct Event {
    /// Endpoints by index that crash at one moment.
    endpoints: (usize, usize),
    /// Times of the crashes after the begin of the items.
    times: &'static [u64],
    /// Time for which the endpoints are down.
    down: u64,
}

const ONE_DOMAIN: Event = Event { endpoints: (0, 3), times: &[50], down: 5_000 };
const ALL: Event = Event { endpoints: (0, 9), times: &[50], down: 5_000 };
const ALL_TWICE: Event = Event { endpoints: (0, 9), times: &[50, 3_050], down: 1_000 };
const DOMAIN_LOOP: Event =
    Event { endpoints: (0, 3), times: &[50, 1_350, 2_650, 3_950, 5_250], down: 1_000 };
const ALL_LOOP: Event =
    Event { endpoints: (0, 9), times: &[50, 1_350, 2_650, 3_950, 5_250], down: 1_000 };

#[derive(Clone, Debug)]
struct Load {
    /// Requests with the bad part per second.
    bad_rate: u32,
    events: Option<Event>,
    /// Whether all sound requests have the shared part.
    is_everywhere: bool,
}

#[derive(Clone, Debug)]
struct Run {
    host: usize,
    request: RequestCauses,
    begun: u64,
    length: u64,
    item: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    start: u64,
    back_at: u64,
    runs: Vec<Run>,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: u64,
    state: State,
    hosts: Vec<Watch>,
    endpoints: Vec<Endpoint>,
    /// Reports of crashes with the time at which they are committed.
    reports: Vec<(u64, Crash)>,
    keys: u64,
    /// Items that have not been done, and whether each one runs.
    items: Vec<(usize, bool)>,
    bad_sent: Vec<u64>,
    bad_crashes: Vec<u64>,
    /// Time and result of each sound request with the shared part.
    served: Vec<(u64, bool)>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let endpoint = |n| Endpoint { start: n, ..Endpoint::default() };
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: BEGIN,
            state: State::default(),
            hosts: vec![Watch::default(); HOSTS],
            endpoints: (1..=ENDPOINTS as u64).map(endpoint).collect(),
            reports: Vec::new(),
            keys: 0,
            items: (0..ITEMS).map(|item| (item, false)).collect(),
            bad_sent: Vec::new(),
            bad_crashes: Vec::new(),
            served: Vec::new(),
        }
    }

    fn time(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn request(&mut self, parts: &[u64]) -> RequestCauses {
        self.keys += 1;
        RequestCauses { key: self.keys, causes: parts.iter().copied().map(Cause::Part).collect() }
    }

    /// Sends a request unless it is held or no endpoint has a free slot. Returns whether it was sent.
    fn send(&mut self, request: RequestCauses, length: u64, item: Option<usize>) -> bool {
        let (host, now) = (self.rng.random_range(0..HOSTS), self.time());
        let mut trial = quarantine::Trial::default();
        let free: Vec<usize> = (0..ENDPOINTS)
            .filter(|n| self.endpoints[*n].back_at <= self.now)
            .filter(|n| self.endpoints[*n].runs.len() < SLOTS)
            .collect();
        loop {
            match self.hosts[host].check(now, &trial.checked(&request.causes)) {
                Check::Free => break,
                Check::Held(_) => return false,
                Check::TrialDue { hold, number } => {
                    if !self.state.grant_trial(hold.cause, number) {
                        return false;
                    }
                    trial.grant(now, hold.cause);
                }
            }
        }
        if free.is_empty() {
            return false;
        }
        let endpoint = free[self.rng.random_range(0..free.len())];
        if request.causes.contains(&Cause::Part(BAD)) {
            self.bad_sent.push(self.now);
        }
        let run = Run { host, request, begun: self.now, length, item };
        self.endpoints[endpoint].runs.push(run);
        true
    }

    fn crash(&mut self, at: usize, down: u64) {
        let down = down + self.rng.random_range(0..200);
        let start = self.endpoints[at].start;
        self.endpoints[at].back_at = self.now + down;
        self.endpoints[at].start = self.now;
        let runs = std::mem::take(&mut self.endpoints[at].runs);
        for run in runs {
            if let Some(item) = run.item {
                self.items[item].1 = false;
            }
            if self.now - run.begun >= ANSWERED_AFTER {
                continue;
            }
            let (now, watch) = (self.time(), &mut self.hosts[run.host]);
            watch.evidence().record_crash(now, &run.request.causes);
            let mut request = run.request;
            request.causes.retain(|c| watch.evidence().answered(now, *c).is_none());
            let requests: Vec<RequestCauses> =
                Some(request).into_iter().filter(|r| !r.causes.is_empty()).collect();
            let broken_at = self.now + self.rng.random_range(0..40);
            let endpoint = format!("i-{at}").into();
            let crash = Crash { endpoint, start_time: start, broken_at, requests };
            self.reports.push((self.now + REPORT_TIME, crash));
        }
    }

    /// Ends runs that are complete, and crashes endpoints under bad requests.
    fn advance_runs(&mut self) {
        for at in 0..ENDPOINTS {
            let now = self.now;
            let is_bad = |r: &Run| r.request.causes.contains(&Cause::Part(BAD));
            let is_due = |r: &Run| is_bad(r) && now - r.begun >= CRASH_AFTER;
            if self.endpoints[at].runs.iter().any(is_due) {
                self.bad_crashes.push(now);
                self.crash(at, 3_000);
                continue;
            }
            for run in &self.endpoints[at].runs {
                if now - run.begun >= ANSWERED_AFTER {
                    let time = Duration::from_millis(now);
                    self.hosts[run.host].evidence().record_answer(time, &run.request.causes);
                }
            }
            let done = self.endpoints[at].runs.extract_if(.., |r| now - r.begun >= r.length);
            let done: Vec<usize> = done.filter_map(|r| r.item).collect();
            self.items.iter_mut().filter(|(item, _)| done.contains(item)).for_each(|i| i.0 = ITEMS);
        }
    }

    fn exchange(&mut self) {
        let due = self.reports.extract_if(.., |(due, _)| *due <= self.now);
        for (_, crash) in due.collect::<Vec<_>>() {
            self.state.record_crash(crash);
        }
        let now = self.time();
        for host in 0..HOSTS {
            self.hosts[host].apply(now, &self.state.summary());
            let causes = self.hosts[host].clearable(now);
            self.state.clear(&causes);
        }
        for host in &mut self.hosts {
            host.apply(now, &self.state.summary());
        }
    }

    /// Whether one of `rate` events per second occurs in this step.
    fn occurs(&mut self, rate: u32) -> bool {
        self.rng.random_bool(f64::from(rate) * STEP as f64 / 1_000.0)
    }

    /// Plays a load. Returns what broke.
    fn play(&mut self, load: &Load) -> Vec<String> {
        let items_begin = BEGIN + 1_000;
        let times = load.events.map_or(&[][..], |e| e.times);
        let crashes = times.iter().map(|at| items_begin + at);
        let crashes: Vec<u64> = crashes.collect();
        let down = load.events.map_or(0, |e| e.down);
        let calm = crashes.last().map_or(items_begin, |last| last + down + 200);
        while self.now < BEGIN + LENGTH {
            self.now += STEP;
            if self.now.is_multiple_of(EXCHANGE_INTERVAL) {
                self.exchange();
            }
            self.advance_runs();
            if self.occurs(30) {
                // Sound requests that share all but the bad part with the others.
                let middle = 0x100 + self.rng.random_range(0..50);
                let parts = if load.is_everywhere { vec![SHARED, middle] } else { vec![1, middle] };
                let request = self.request(&parts);
                let sent = self.send(request, REQUEST_TIME, None);
                self.served.push((self.now, sent));
            }
            if load.bad_rate > 0 && self.occurs(load.bad_rate) {
                let request = self.request(&[if load.is_everywhere { SHARED } else { 1 }, BAD]);
                self.send(request, REQUEST_TIME, None);
            }
            if self.now >= items_begin && self.now.is_multiple_of(EXCHANGE_INTERVAL) {
                for item in 0..ITEMS {
                    if self.items[item].0 == item && !self.items[item].1 {
                        let request = self.request(&[SHARED]);
                        self.items[item].1 = self.send(request, ITEM_TIME, Some(item));
                    }
                }
            }
            if crashes.contains(&self.now) {
                let (from, to) = load.events.map_or((0, 0), |e| e.endpoints);
                for at in from..to {
                    if self.endpoints[at].back_at <= self.now {
                        self.crash(at, down);
                    }
                }
            }
            if self.now == calm + OWED_TIME {
                let open = self.items.iter().filter(|(item, _)| *item < ITEMS).count();
                if open > 0 {
                    return vec![format!("{open} items are open {OWED_TIME} ms after the crashes")];
                }
            }
        }
        self.broken_bounds(calm)
    }

    fn broken_bounds(&self, calm: u64) -> Vec<String> {
        let mut broken = Vec::new();
        if let Some(fifth) = self.bad_crashes.get(4) {
            let late = self.bad_sent.iter().filter(|at| **at > fifth + CONTACT_TIME).count();
            if late > MAX_LATE_REQUESTS {
                broken.push(format!("{late} late requests with the bad part"));
            }
        }
        let from =
            calm.max(self.bad_crashes.get(4).or(self.bad_crashes.last()).copied().unwrap_or(0));
        let after = self.served.iter().filter(|(at, _)| *at > from + 2 * CONTACT_TIME);
        let after: Vec<bool> = after.map(|(_, sent)| *sent).collect();
        let sent = after.iter().filter(|sent| **sent).count();
        if 2 * sent < after.len() {
            broken.push(format!("{sent} of {} sound requests are served", after.len()));
        }
        broken
    }
}

fn assert_bounds_hold(load: &Load) {
    for seed in 0..SEEDS {
        let broken = Simulation::new(seed).play(load);
        assert!(broken.is_empty(), "{load:?}, seed {seed}: {}", broken.join(", "));
    }
}

fn loads(bad_rates: &[u32], events: &[Option<Event>]) -> Vec<Load> {
    let mut loads = Vec::new();
    for bad_rate in bad_rates.iter().copied() {
        for events in events.iter().copied() {
            for is_everywhere in [false, true] {
                loads.push(Load { bad_rate, events, is_everywhere });
            }
        }
    }
    loads
}

const EVENTS: [Option<Event>; 5] =
    [Some(ONE_DOMAIN), Some(ALL), Some(ALL_TWICE), Some(DOMAIN_LOOP), Some(ALL_LOOP)];

/// Guards against a bad part that crashes endpoint after endpoint, at any rate of its requests.
#[test]
fn bad_part_reaches_endpoints_again() {
    loads(&[1, 4, 20], &[None]).iter().for_each(assert_bounds_hold);
}

/// Guards against sound items and requests that are kept from idle endpoints after several endpoints
/// have crashed for a common reason, once or in a loop.
#[test]
fn sound_items_wait_after_common_crashes() {
    loads(&[0], &EVENTS).iter().for_each(assert_bounds_hold);
}

/// Guards against a bad part that hides behind other crashes, and items that wait because of both.
#[test]
fn bad_part_hides_behind_common_crashes() {
    loads(&[1, 4, 20], &EVENTS).iter().for_each(assert_bounds_hold);
}

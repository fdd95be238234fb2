//! Online requests in steps of 0.39 and 1.91 times their mean, 3.6 s and 2.4 s long, from 88 entries
//! to 160 endpoints in 5 failure domains. The entries learn what the others run 25 ms late.

use basilfield::fleet::load;
use basilfield::fleet::place;
use basilfield::fleet::waiting;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

const ENTRIES: usize = 88;
const ENDPOINTS: usize = 160;
const DOMAINS: usize = 5;
const SLOTS: u32 = 7;
const BUILD: &str = "v1";
/// Requests in a second, on average, of which the steps nearly fill all slots.
pub const LIGHT: f64 = 720.0;
/// Requests in a second, on average, of which the steps exceed all slots.
pub const HEAVY: f64 = 824.0;
/// Run time of a request in milliseconds.
const RUN_TIME: u64 = 760;
/// Age in milliseconds of what an entry knows of the others.
const REPORT_AGE: usize = 25;
/// Longest wait for a slot at the entry in milliseconds.
const MAX_QUEUE_TIME: u64 = 180;
/// Longest wait for a slot in milliseconds with which the first event is in time.
const MAX_WAIT: u64 = 200;
/// Length of the replay in milliseconds.
const LENGTH: u64 = 12_000;

/// What callers got.
#[derive(Debug)]
pub struct Outcome {
    /// Share of requests that started in time.
    pub in_time: f64,
    /// The same in the second in which it was lowest.
    pub worst_second: f64,
    /// Share of requests that left their failure domain.
    pub far: f64,
    /// Share of requests that were refused.
    pub refused: f64,
}

struct Endpoint {
    /// Ends of the running requests and their entries.
    running: Vec<(u64, usize)>,
    /// Arrivals of the waiting requests and their entries.
    waiting: VecDeque<(u64, usize)>,
}

/// Requests that wait at one entry, with their arrivals by ticket.
#[derive(Default)]
struct EntryQueue {
    queue: waiting::Queue,
    arrivals: BTreeMap<u64, u64>,
}

struct Replay<P> {
    policy: P,
    rng: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    /// Requests by endpoint and entry.
    own: Vec<[u32; ENTRIES]>,
    queues: Vec<EntryQueue>,
    asked: Vec<u32>,
    in_time: Vec<u32>,
    far: u32,
    refused: u32,
}

/// Plays the load with a mean rate and a policy that gets the candidates and a random number.
pub fn replay<P>(rate: f64, policy: P) -> Outcome
where
    P: Fn(Vec<place::Candidate>, u64) -> place::Choice,
{
    let endpoint = || Endpoint { running: Vec::new(), waiting: VecDeque::new() };
    let seconds = (LENGTH / 1_000) as usize;
    let mut replay = Replay {
        policy,
        rng: ChaCha8Rng::seed_from_u64(7),
        endpoints: (0..ENDPOINTS).map(|_| endpoint()).collect(),
        own: vec![[0; ENTRIES]; ENDPOINTS],
        queues: (0..ENTRIES).map(|_| EntryQueue::default()).collect(),
        asked: vec![0; seconds],
        in_time: vec![0; seconds],
        far: 0,
        refused: 0,
    };
    let mut reports: VecDeque<Vec<[u32; ENTRIES]>> = VecDeque::new();
    for now in 0..LENGTH {
        reports.push_back(replay.own.clone());
        if reports.len() > REPORT_AGE {
            reports.pop_front();
        }
        let known = reports.front().expect("pushed above").clone();
        for at in 0..ENDPOINTS {
            replay.end_requests(now, at, &known);
        }
        let step = if now % 6_000 < 3_600 { 0.391 } else { 1.91 };
        let expected = rate * step / 1_000.0;
        let arrivals = expected as u32 + u32::from(replay.rng.random_bool(expected.fract()));
        for _ in 0..arrivals {
            replay.arrive(now, &known);
        }
    }
    replay.outcome()
}

impl<P: Fn(Vec<place::Candidate>, u64) -> place::Choice> Replay<P> {
    /// Ends requests at an endpoint and starts those that wait there or at the entry.
    fn end_requests(&mut self, now: u64, at: usize, known: &[[u32; ENTRIES]]) {
        let ended: Vec<usize> = self.endpoints[at]
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .map(|r| r.1)
            .collect();
        for entry in ended {
            self.own[at][entry] -= 1;
            let others: u32 = known[at].iter().sum::<u32>() - known[at][entry];
            if others + self.own[at][entry] >= SLOTS {
                continue;
            }
            let waiting = &mut self.queues[entry];
            let (time, run_time) = (Duration::from_millis(now), Duration::from_millis(RUN_TIME));
            if let Some(ticket) = waiting.queue.release(time, run_time, BUILD) {
                let arrived = waiting.arrivals.remove(&ticket).expect("waits");
                self.send(at, entry, arrived);
            }
        }
        while self.endpoints[at].running.len() < SLOTS as usize {
            let Some((arrived, entry)) = self.endpoints[at].waiting.pop_front() else { break };
            let second = (arrived / 1_000) as usize;
            self.in_time[second] += u32::from(now - arrived <= MAX_WAIT);
            self.endpoints[at].running.push((now + RUN_TIME, entry));
        }
        // Those that waited too long are sent to an endpoint or refused; here they are late.
        for waiting in &mut self.queues {
            let late = |arrived: &u64| now - arrived > MAX_QUEUE_TIME;
            let expired: Vec<u64> =
                waiting.arrivals.iter().filter(|(_, a)| late(a)).map(|(t, _)| *t).collect();
            for ticket in expired {
                waiting.queue.leave(ticket);
                waiting.arrivals.remove(&ticket);
            }
        }
    }

    fn arrive(&mut self, now: u64, known: &[[u32; ENTRIES]]) {
        let entry = self.rng.random_range(0..ENTRIES);
        self.asked[(now / 1_000) as usize] += 1;
        let candidates = (0..ENDPOINTS).map(|e| {
            let others: u32 = known[e].iter().sum::<u32>() - known[e][entry];
            let running = load::Running { own: self.own[e][entry], online: others, batch: 0 };
            place::Candidate {
                id: e.to_string().into(),
                start_time: 1,
                address: ([127, 0, 0, 1], 1).into(),
                build: "v1".into(),
                same_domain: e % DOMAINS == entry % DOMAINS,
                slots: SLOTS,
                running,
                avoided: false,
                allowance: None,
            }
        });
        let choice = (self.policy)(candidates.collect(), self.rng.random());
        let chosen = match choice {
            place::Choice::Send(chosen) => Some(chosen),
            place::Choice::Wait(other) => {
                let running = self.own.iter().map(|own| own[entry]).sum();
                let limit = Duration::from_millis(MAX_QUEUE_TIME);
                let waiting = &mut self.queues[entry];
                // The former policy refuses at once.
                let joins = other.is_some();
                let now_time = Duration::from_millis(now);
                let claim = waiting::Claim::default();
                let joined = waiting.queue.join(now_time, limit, running, None, &claim);
                match joined.filter(|_| joins) {
                    Some(joined) => {
                        waiting.arrivals.insert(joined.ticket, now);
                        return;
                    }
                    None => other,
                }
            }
            place::Choice::None => None,
        };
        let Some(chosen) = chosen else {
            self.refused += 1;
            return;
        };
        self.far += u32::from(!chosen.same_domain);
        self.send(chosen.id.parse().expect("a number"), entry, now);
    }

    fn send(&mut self, at: usize, entry: usize, arrived: u64) {
        self.own[at][entry] += 1;
        self.endpoints[at].waiting.push_back((arrived, entry));
    }

    fn outcome(&self) -> Outcome {
        let total = f64::from(self.asked.iter().sum::<u32>());
        let share = |second: usize| f64::from(self.in_time[second]) / f64::from(self.asked[second]);
        // Requests of the last second may still wait at the end.
        let seconds = self.asked.len() - 1;
        Outcome {
            in_time: f64::from(self.in_time.iter().sum::<u32>()) / total,
            worst_second: (0..seconds).map(share).fold(1.0, f64::min),
            far: f64::from(self.far) / total,
            refused: f64::from(self.refused) / total,
        }
    }
}

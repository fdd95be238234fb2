//! Online requests in steps of 0.39 and 1.91 times their mean, 3.6 s and 2.4 s long, from 88 entries
//! to 160 endpoints in 5 failure domains. The entries learn what the others run 25 ms late.

use basilfield::fleet::load;
use basilfield::fleet::place;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const ENTRIES: usize = 88;
const ENDPOINTS: usize = 160;
const DOMAINS: usize = 5;
const SLOTS: u32 = 7;
/// Requests in a second, on average.
const MEAN_RATE: f64 = 720.0;
/// Run time of a request in milliseconds.
const RUN_TIME: u64 = 760;
/// Age in milliseconds of what an entry knows of the others.
const REPORT_AGE: usize = 25;
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
}

struct Endpoint {
    /// Ends of the running requests and their entries.
    running: Vec<(u64, usize)>,
    /// Arrivals of the waiting requests and their entries.
    waiting: VecDeque<(u64, usize)>,
}

fn rate(now: u64) -> f64 {
    let step = if now % 6_000 < 3_600 { 0.391 } else { 1.91 };
    MEAN_RATE * step
}

/// Plays the load with a policy that gets the candidates and a random number.
pub fn replay(policy: impl Fn(Vec<place::Candidate>, u64) -> place::Choice) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut endpoints: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|_| Endpoint { running: Vec::new(), waiting: VecDeque::new() })
        .collect();
    let mut own = vec![[0u32; ENTRIES]; ENDPOINTS];
    let mut reports: VecDeque<Vec<[u32; ENTRIES]>> = VecDeque::new();
    let (mut asked, mut in_time) = (vec![0u32; 12], vec![0u32; 12]);
    let mut far = 0;
    for now in 0..LENGTH {
        for (e, endpoint) in endpoints.iter_mut().enumerate() {
            endpoint.running.retain(|(end, entry)| {
                let runs = *end > now;
                own[e][*entry] -= u32::from(!runs);
                runs
            });
            while endpoint.running.len() < SLOTS as usize {
                let Some((arrived, entry)) = endpoint.waiting.pop_front() else { break };
                let second = (arrived / 1_000) as usize;
                in_time[second] += u32::from(now - arrived <= MAX_WAIT);
                endpoint.running.push((now + RUN_TIME, entry));
            }
        }
        reports.push_back(own.clone());
        if reports.len() > REPORT_AGE {
            reports.pop_front();
        }
        let known = reports.front().expect("pushed above");
        let expected = rate(now) / 1_000.0;
        let arrivals = expected as u32 + u32::from(rng.random_bool(expected.fract()));
        for _ in 0..arrivals {
            let entry = rng.random_range(0..ENTRIES);
            asked[(now / 1_000) as usize] += 1;
            let candidates = (0..ENDPOINTS).map(|e| {
                let others: u32 = known[e].iter().sum::<u32>() - known[e][entry];
                let running = load::Running { own: own[e][entry], online: others, batch: 0 };
                place::Candidate {
                    id: e.to_string().into(),
                    address: ([127, 0, 0, 1], 1).into(),
                    same_domain: e % DOMAINS == entry % DOMAINS,
                    slots: SLOTS,
                    running,
                    avoided: false,
                }
            });
            if let place::Choice::Send(chosen) = policy(candidates.collect(), rng.random()) {
                let e: usize = chosen.id.parse().expect("a number");
                own[e][entry] += 1;
                endpoints[e].waiting.push_back((now, entry));
                far += u32::from(!chosen.same_domain);
            }
        }
    }
    let total: u32 = asked.iter().sum();
    let share = |second: usize| f64::from(in_time[second]) / f64::from(asked[second].max(1));
    // Requests of the last second may still wait at the end.
    let seconds = asked.len() - 1;
    Outcome {
        in_time: f64::from(in_time.iter().sum::<u32>()) / f64::from(total),
        worst_second: (0..seconds).map(share).fold(1.0, f64::min),
        far: f64::from(far) / f64::from(total),
    }
}

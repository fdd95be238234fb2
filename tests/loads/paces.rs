//! Online streams in steps of 0.39 and 1.91 times their mean, 3.6 s and 2.4 s long, to endpoints of
//! one service with speeds of 0.6 to 1.6 of the nominal one. Every sixth slows down by half when it is
//! nearly full, another is slower by 2.5 times for a while, and one slows down forever. The entries
//! learn what the others run 25 ms late. In another replay, three endpoints fail a part of their
//! requests.

use basilfield::fleet::load;
use basilfield::fleet::place;
use basilfield::fleet::placement::pace;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const SLOTS: u32 = 8;
/// Nominal time to the first event in milliseconds.
const FIRST_EVENT: f64 = 60.0;
/// Nominal time for each further event in milliseconds.
const NEXT_EVENT: f64 = 30.0;
/// Further events of a response.
const EVENTS: u32 = 20;
/// Time in milliseconds after which a first event is late.
const TARGET: u64 = 300;
/// Time in milliseconds after which an endpoint answers with a failure.
const FAILURE_TIME: u64 = 30;
/// Age in milliseconds of what an entry knows of the others.
const REPORT_AGE: usize = 25;
/// Time in milliseconds in which the entries learn, which is not compared.
pub const LEARNING: u64 = 30_000;

/// Size and load of a replay.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of entries.
    pub entries: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Requests in a second, on average.
    pub rate: f64,
    /// Length in milliseconds.
    pub length: u64,
    /// Whether endpoints differ in speed.
    pub speeds: bool,
    /// Whether three endpoints fail a part of their requests.
    pub failures: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// By free slots.
    Former,
    /// By free slots, speed and failures.
    Present,
}

/// What callers and endpoints got.
#[derive(Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests by second, and those whose first event was in time.
    pub seconds: Vec<(u32, u32)>,
    /// Sum of the times to complete responses in milliseconds, and their number.
    pub complete: (u64, u64),
    /// Largest ratio of the requests of an endpoint to what its share of the total speed warrants.
    pub busiest: f64,
    /// Requests that may run only once and failed, from the end of the learning.
    pub failed: u32,
    /// Requests that were refused.
    pub refused: u32,
}

impl Outcome {
    /// Requests of each second after the learning, and those in time.
    pub fn windows(&self) -> &[(u32, u32)] {
        &self.seconds[(LEARNING / 1_000) as usize..self.seconds.len() - 1]
    }
}

/// Request that waits or runs at an endpoint.
#[derive(Clone, Copy)]
struct Request {
    arrived: u64,
    entry: usize,
    /// Requests that the entry counted at the endpoint when it chose it.
    counted: u32,
    once: bool,
}

struct Running {
    request: Request,
    end: u64,
    /// Time for each further event in milliseconds; `None` for a failure.
    pace: Option<f64>,
}

#[derive(Default)]
struct Endpoint {
    running: Vec<Running>,
    waiting: VecDeque<Request>,
    served: u32,
}

struct Entry {
    paces: pace::Paces,
    health: place::Health,
}

/// Time factor of an endpoint that runs `running` requests.
fn slowness(load: &Load, at: usize, now: u64, running: usize) -> f64 {
    if !load.speeds {
        return 1.0;
    }
    let speed = 0.6 + (at % 11) as f64 / 10.0;
    let full = if at.is_multiple_of(6) && running >= 6 { 1.5 } else { 1.0 };
    let phase = if at == 3 && (40_000..60_000).contains(&now) { 2.5 } else { 1.0 };
    let lasting = if at == 5 && now >= 50_000 { 2.5 } else { 1.0 };
    full * phase * lasting / speed
}

fn failure_share(load: &Load, at: usize) -> f64 {
    match at {
        7 if load.failures => 0.2,
        8 if load.failures => 0.3,
        9 if load.failures => 0.5,
        _ => 0.0,
    }
}

/// Plays a load with a policy.
pub fn replay(load: Load, policy: Policy) -> Outcome {
    // The same arrivals for each policy.
    let mut arrivals = ChaCha8Rng::seed_from_u64(load.seed);
    let mut rng = ChaCha8Rng::seed_from_u64(!load.seed);
    let ids: Vec<Arc<str>> = (0..load.endpoints).map(|e| format!("e{e:04}").into()).collect();
    let (build, service): (Arc<str>, Arc<str>) = ("v1".into(), "s".into());
    let mut endpoints: Vec<Endpoint> = (0..load.endpoints).map(|_| Endpoint::default()).collect();
    let entry = || Entry { paces: pace::Paces::default(), health: place::Health::default() };
    let mut entries: Vec<Entry> = (0..load.entries).map(|_| entry()).collect();
    let mut own = vec![vec![0u32; load.endpoints]; load.entries];
    let mut totals = vec![0u32; load.endpoints];
    let mut reports: VecDeque<(Vec<Vec<u32>>, Vec<u32>)> = VecDeque::new();
    let mut outcome =
        Outcome { seconds: vec![(0, 0); (load.length / 1_000) as usize], ..Outcome::default() };
    let mut speed_sums = vec![0.0; load.endpoints];
    for now in 0..load.length {
        let time = Duration::from_millis(now);
        if reports.len() == REPORT_AGE {
            reports.pop_front();
        }
        reports.push_back((own.clone(), totals.clone()));
        for at in 0..load.endpoints {
            speed_sums[at] += 1.0 / slowness(&load, at, now, endpoints[at].running.len());
            let count = totals[at];
            let endpoint = &mut endpoints[at];
            for ended in endpoint.running.extract_if(.., |r| r.end <= now) {
                let Request { entry, counted, arrived, once } = ended.request;
                own[entry][at] -= 1;
                totals[at] -= 1;
                let Entry { paces, health } = &mut entries[entry];
                match ended.pace {
                    Some(pace) => {
                        let running = (counted + count.saturating_sub(1)) / 2;
                        let pace = Duration::from_secs_f64(pace / 1_000.0);
                        paces.record_pace(time, (&ids[at], 1), (running, SLOTS), pace);
                        paces.record_end(time, &ids[at], false);
                        health.record_answer(&ids[at]);
                        outcome.complete.0 += now - arrived;
                        outcome.complete.1 += 1;
                    }
                    None => {
                        health.record_failure(time, &ids[at]);
                        paces.record_end(time, &ids[at], true);
                        outcome.failed += u32::from(once && arrived >= LEARNING);
                    }
                }
            }
            while endpoint.running.len() < SLOTS as usize {
                let Some(request) = endpoint.waiting.pop_front() else { break };
                let slowness = slowness(&load, at, now, endpoint.running.len() + 1);
                let first = now + (FIRST_EVENT * slowness) as u64;
                let fails = rng.random_bool(failure_share(&load, at));
                let pace = NEXT_EVENT * slowness * rng.random_range(0.9..1.1);
                let met = u32::from(first - request.arrived <= TARGET && !fails);
                outcome.seconds[(request.arrived / 1_000) as usize].1 += met;
                let end = match fails {
                    true => now + FAILURE_TIME,
                    false => first + (pace * f64::from(EVENTS)) as u64,
                };
                endpoint.running.push(Running { request, end, pace: (!fails).then_some(pace) });
            }
        }
        if now.is_multiple_of(500) {
            for entry in &mut entries {
                entry.paces.compare(time);
            }
        }
        let step = if now % 6_000 < 3_600 { 0.391 } else { 1.91 };
        let expected = load.rate * step / 1_000.0;
        let count = expected as u32 + u32::from(arrivals.random_bool(expected.fract()));
        for _ in 0..count {
            let entry = arrivals.random_range(0..load.entries);
            let (once, random) = (arrivals.random_bool(0.2), arrivals.random());
            outcome.seconds[(now / 1_000) as usize].0 += 1;
            let (known, known_totals) = reports.front().expect("pushed above");
            let candidate = |at: usize| place::Candidate {
                id: ids[at].clone(),
                start_time: 1,
                address: ([127, 0, 0, 1], 1).into(),
                build: build.clone(),
                same_domain: true,
                slots: SLOTS,
                running: load::Running {
                    own: own[entry][at],
                    online: known_totals[at] - known[entry][at],
                    batch: 0,
                },
                avoided: entries[entry].health.is_avoided(time, &ids[at]),
                allowance: None,
            };
            let candidates = (0..load.endpoints).map(candidate).collect();
            let choice = match policy {
                Policy::Former => place::choose(candidates, &[], random),
                Policy::Present => {
                    let deviations = entries[entry].paces.deviations();
                    let experience = place::Experience { now: time, deviations, repeatable: !once };
                    place::choose_by(candidates, &[], random, &experience).0
                }
            };
            let (place::Choice::Send(chosen) | place::Choice::Wait(Some(chosen))) = choice else {
                outcome.refused += 1;
                continue;
            };
            let at = ids.binary_search(&chosen.id).expect("an endpoint");
            entries[entry].paces.record_sent(time, &ids[at], 1, &service);
            own[entry][at] += 1;
            totals[at] += 1;
            let counted = chosen.running.own + chosen.running.online;
            endpoints[at].waiting.push_back(Request { arrived: now, entry, counted, once });
            endpoints[at].served += u32::from(now >= LEARNING);
        }
    }
    let (served, speed): (u32, f64) =
        (endpoints.iter().map(|e| e.served).sum(), speed_sums.iter().sum());
    let ratio = |(endpoint, own): (&Endpoint, &f64)| {
        f64::from(endpoint.served) / f64::from(served) / (own / speed)
    };
    outcome.busiest = endpoints.iter().zip(&speed_sums).map(ratio).fold(0.0, f64::max);
    outcome
}

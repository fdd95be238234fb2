//! Learns from responses how fast endpoints are and which of them fail. Free of I/O.
//!
//! Designed for endpoints of one service that differ in speed by factors of 0.6 to 1.6, some of
//! which slow down when they are nearly full, are slower by 2.5 times for a while, or fail a fifth
//! to a half of their requests while their health checks are good. Only endpoints that differ
//! measurably from the others of their service are reported as deviations.

use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Levels of occupied slots for which the pace is learned separately.
pub const LEVELS: usize = 4;
/// Relative speed of an endpoint that does not deviate.
pub const NOMINAL_SPEED: u32 = 16;
/// Lowest relative speed. A slower endpoint still gets requests, from which a recovery is learned.
const MIN_SPEED: f64 = 6.0;
/// Highest relative speed.
const MAX_SPEED: f64 = 32.0;
/// Relative speed up to which an endpoint is reported as slow.
const SLOW_SPEED: u32 = 10;
/// Time after which an observation counts half. Phases of slowness last some tens of seconds.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// The same for failures. An entry among 23 sends an endpoint one request in some seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(60);
/// Fewest responses from which a pace is known.
const MIN_RESPONSES: f64 = 4.0;
/// Fewest responses with which an endpoint counts in a median.
const MIN_MEDIAN_RESPONSES: f64 = 1.0;
/// Fewest further events of a response whose pace counts.
const MIN_EVENTS: u32 = 3;
/// Smallest relative difference that counts as one.
const MIN_DIFFERENCE: f64 = 0.1;
/// Standard errors above which a difference is measurable. Three keep chance findings below one
/// in three hundred.
const STANDARD_ERRORS: f64 = 3.0;
/// Least standard deviation of the pace of a response that is assumed, since few responses may be
/// alike by chance.
const MIN_DEVIATION: f64 = 0.1;
/// Fewest failed requests of a failing endpoint. One outage may fail a single request.
const MIN_FAILURES: f64 = 1.9;
/// Share of failed requests from which an endpoint is failing.
const FAILING_SHARE: f64 = 0.08;
/// Share of failed requests below which an endpoint has recovered.
const RECOVERED_SHARE: f64 = 0.04;
/// Interval between trials of a failing endpoint by one host.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between comparisons of the endpoints.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);

/// Decaying mean of observations.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    weight: f64,
    sum: f64,
    squares: f64,
    updated: Duration,
}

impl Mean {
    fn decayed(mut self, now: Duration, half_life: Duration) -> Mean {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let factor = (-age / half_life.as_secs_f64()).exp2();
        self.weight *= factor;
        self.sum *= factor;
        self.squares *= factor;
        self.updated = now.max(self.updated);
        self
    }

    fn record(&mut self, now: Duration, half_life: Duration, value: f64) {
        *self = self.decayed(now, half_life);
        self.weight += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    fn value(&self) -> f64 {
        self.sum / self.weight
    }

    /// Standard error of the mean.
    fn error(&self) -> f64 {
        let variance = self.squares / self.weight - self.value() * self.value();
        (variance.max(0.0) / self.weight).sqrt()
    }
}

/// Arrival times of the events of one response.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    first: Option<Duration>,
    last: Duration,
    further: u32,
}

impl Timing {
    /// Records that `count` events have arrived together.
    pub fn record(&mut self, now: Duration, count: u32) {
        if count == 0 {
            return;
        }
        match self.first {
            None => self.first = Some(now),
            Some(_) => self.further = self.further.saturating_add(count),
        }
        self.last = now;
    }

    /// Mean time for each further event; `None` after too few of them.
    pub fn pace(&self) -> Option<Duration> {
        let first = self.first.filter(|_| self.further >= MIN_EVENTS)?;
        Some(self.last.saturating_sub(first) / self.further)
    }
}

/// What is known of one endpoint.
#[derive(Debug)]
struct Endpoint {
    start_time: u64,
    service: Arc<str>,
    /// Seconds for each further event, by level.
    levels: [Mean; LEVELS],
    /// Failed requests as 1, others as 0.
    failures: Mean,
    /// Whether it has answered since the last failure that counted.
    answered: bool,
    is_failing: bool,
    is_slow: bool,
    /// Time at which a request was last sent.
    last_sent: Duration,
}

/// How an endpoint differs from the others of its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deviation {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Relative speed by level, in units of 1 / [`NOMINAL_SPEED`].
    pub speeds: [u32; LEVELS],
    /// Whether it fails a part of its requests.
    pub failing: bool,
    /// Time at which a request was last sent to it.
    pub last_sent: Duration,
}

/// Finding about an endpoint that has begun or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It has become slow.
    Slow,
    /// It has begun to fail a part of its requests.
    Failing,
    /// It is no longer slow.
    NoLongerSlow,
    /// It no longer fails a part of its requests.
    NoLongerFailing,
}

/// Level of an endpoint that runs `running` requests with one more.
pub fn level(running: u32, slots: u32) -> usize {
    let level = running as usize * LEVELS / slots.max(1) as usize;
    level.min(LEVELS - 1)
}

/// Paces and failures of the endpoints, as observed by this host.
#[derive(Debug, Default)]
pub struct Paces {
    endpoints: sorted::SortedMap<Arc<str>, Endpoint>,
    /// Deviating endpoints, sorted by id.
    deviations: Vec<Deviation>,
    compared: Duration,
}

impl Paces {
    /// Records that a request is sent to the endpoint `id` of `service`, which has started at
    /// `start_time`. A new start clears what was learned.
    pub fn record_sent(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        start_time: u64,
        service: &Arc<str>,
    ) {
        let new = || Endpoint {
            start_time,
            service: service.clone(),
            levels: [Mean::default(); LEVELS],
            failures: Mean::default(),
            answered: true,
            is_failing: false,
            is_slow: false,
            last_sent: now,
        };
        let endpoint = self.endpoints.entry_or(id.clone(), new);
        if endpoint.start_time != start_time {
            *endpoint = new();
            self.deviations.retain(|d| d.id != *id);
        }
        endpoint.last_sent = now;
        if let Ok(at) = self.deviations.binary_search_by(|d| d.id.cmp(id)) {
            self.deviations[at].last_sent = now;
        }
    }

    /// Records the pace of a complete response that ran while `running` of `slots` were used,
    /// without its own.
    pub fn record_pace(
        &mut self,
        now: Duration,
        (id, start_time): (&str, u64),
        (running, slots): (u32, u32),
        pace: Duration,
    ) {
        let endpoint = self.endpoints.get_mut(id).filter(|e| e.start_time == start_time);
        if let Some(endpoint) = endpoint {
            endpoint.levels[level(running, slots)].record(now, HALF_LIFE, pace.as_secs_f64());
        }
    }

    /// Records whether a request at an endpoint failed.
    pub fn record_end(&mut self, now: Duration, id: &str, failed: bool) {
        // Failures without an answer in between are those of one outage and count as a single one.
        let endpoint = self.endpoints.get_mut(id).filter(|e| !failed || e.answered);
        if let Some(endpoint) = endpoint {
            endpoint.answered = !failed;
            endpoint.failures.record(now, FAILURE_HALF_LIFE, f64::from(u8::from(failed)));
        }
    }

    /// Forgets endpoints for which `is_known` is false.
    pub fn retain(&mut self, mut is_known: impl FnMut(&str) -> bool) {
        self.endpoints.retain(|id, _| is_known(id));
        self.deviations.retain(|d| is_known(&d.id));
    }

    /// Expected time for each further event at an endpoint that runs `running` requests.
    pub fn expected_pace(&self, id: &str, running: u32, slots: u32) -> Option<Duration> {
        let mean = self.endpoints.get(id)?.levels[level(running, slots)];
        (mean.weight >= MIN_RESPONSES).then(|| Duration::from_secs_f64(mean.value()))
    }

    /// Deviating endpoints, sorted by id.
    pub fn deviations(&self) -> &[Deviation] {
        &self.deviations
    }

    /// Compares the endpoints of each service if that is due. Returns what has begun or ended.
    pub fn compare(&mut self, now: Duration) -> Vec<(Arc<str>, Finding)> {
        if now.saturating_sub(self.compared) < COMPARE_INTERVAL {
            return Vec::new();
        }
        self.compared = now;
        let medians = self.medians(now);
        let (mut deviations, mut findings) = (Vec::new(), Vec::new());
        for (id, endpoint) in self.endpoints.iter_mut() {
            let medians = medians.get(&endpoint.service);
            let speeds = medians.map_or([NOMINAL_SPEED; LEVELS], |m| endpoint.speeds(now, m));
            let slow = speeds.iter().any(|s| *s <= SLOW_SPEED);
            let failures = endpoint.failures.decayed(now, FAILURE_HALF_LIFE);
            let failing = match endpoint.is_failing {
                true => failures.value() >= RECOVERED_SHARE,
                false => failures.sum >= MIN_FAILURES && failures.value() >= FAILING_SHARE,
            };
            if slow != endpoint.is_slow {
                let finding = if slow { Finding::Slow } else { Finding::NoLongerSlow };
                findings.push((id.clone(), finding));
            }
            if failing != endpoint.is_failing {
                let finding = if failing { Finding::Failing } else { Finding::NoLongerFailing };
                findings.push((id.clone(), finding));
            }
            (endpoint.is_slow, endpoint.is_failing) = (slow, failing);
            if failing || speeds.iter().any(|s| *s != NOMINAL_SPEED) {
                let last_sent = endpoint.last_sent;
                deviations.push(Deviation { id: id.clone(), speeds, failing, last_sent });
            }
        }
        self.deviations = deviations;
        findings
    }

    /// Median pace of the endpoints of each service, by level.
    fn medians(&self, now: Duration) -> sorted::SortedMap<Arc<str>, [Option<f64>; LEVELS]> {
        let mut paces = sorted::SortedMap::<Arc<str>, [Vec<f64>; LEVELS]>::new();
        for endpoint in self.endpoints.values() {
            let of_service = paces.entry_or(endpoint.service.clone(), Default::default);
            for (values, mean) in of_service.iter_mut().zip(&endpoint.levels) {
                let mean = mean.decayed(now, HALF_LIFE);
                if mean.weight >= MIN_MEDIAN_RESPONSES {
                    values.push(mean.value());
                }
            }
        }
        let median = |values: &Vec<f64>| {
            let mut values = values.clone();
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied()
        };
        paces.iter().map(|(s, levels)| (s.clone(), levels.each_ref().map(median))).collect()
    }
}

impl Endpoint {
    /// Relative speeds by level. Levels of which too little is known have the speed of all together.
    fn speeds(&self, now: Duration, medians: &[Option<f64>; LEVELS]) -> [u32; LEVELS] {
        let paces = std::array::from_fn(|level| match medians[level] {
            Some(median) => RelativePace::new(&self.levels[level].decayed(now, HALF_LIFE), median),
            None => RelativePace::default(),
        });
        let all = paces.iter().fold(RelativePace::default(), |a, b| a.and(b)).speed();
        paces.map(|pace| pace.speed().or(all).unwrap_or(NOMINAL_SPEED))
    }
}

/// Time for each further event in relation to that of the other endpoints, with its variance.
#[derive(Clone, Copy, Debug, Default)]
struct RelativePace {
    weight: f64,
    value: f64,
    variance: f64,
}

impl RelativePace {
    fn new(mean: &Mean, median: f64) -> RelativePace {
        if mean.weight <= 0.0 || median <= 0.0 {
            return RelativePace::default();
        }
        let (value, error) = (mean.value() / median, mean.error() / median);
        let variance = (error * error).max(MIN_DEVIATION * MIN_DEVIATION / mean.weight);
        RelativePace { weight: mean.weight, value, variance }
    }

    /// Weighted mean of two paces.
    fn and(self, other: &RelativePace) -> RelativePace {
        let weight = self.weight + other.weight;
        if weight <= 0.0 {
            return self;
        }
        let (a, b) = (self.weight / weight, other.weight / weight);
        RelativePace {
            weight,
            value: a * self.value + b * other.value,
            variance: a * a * self.variance + b * b * other.variance,
        }
    }

    /// Relative speed; `None` if too little is known.
    fn speed(&self) -> Option<u32> {
        if self.weight < MIN_RESPONSES {
            return None;
        }
        let difference = (self.value - 1.0).abs();
        if difference <= MIN_DIFFERENCE.max(STANDARD_ERRORS * self.variance.sqrt()) {
            return Some(NOMINAL_SPEED);
        }
        let speed = f64::from(NOMINAL_SPEED) / self.value;
        Some(speed.clamp(MIN_SPEED, MAX_SPEED).round() as u32)
    }
}

//! Load of the endpoints in a subset, and the choice between them.

use crate::router::ejection;
use crate::router::subset;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

/// Age at which a load report is no longer used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Load by which an endpoint in the entry's own failure domain may exceed one in another failure
/// domain of the region and still be preferred.
const OTHER_DOMAIN_COST: f64 = 0.05;
/// The same for an endpoint in another region.
const OTHER_REGION_COST: f64 = 1.0;
/// Factor by which [`Endpoint::usual_gap`] decays with each message from the endpoint.
const GAP_DECAY: f64 = 0.99;
/// Largest [`Endpoint::usual_gap`], so that one long pause does not hide later ones.
const MAX_USUAL_GAP: Duration = Duration::from_secs(10);
/// Multiple of the mean load up to which an endpoint is chosen for its cached prefix.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Report {
    received: Duration,
    /// Online requests that wait or run at the endpoint.
    requests: u32,
    /// Change in this entry's requests in flight since the report.
    change: i64,
}

/// Endpoint in the subset of an entry.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of its agent.
    pub agent: Arc<str>,
    /// Models for which it is in the subset.
    pub models: Vec<Arc<str>>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Distance from the entry.
    pub distance: subset::Distance,
    /// This entry's requests in flight.
    pub in_flight: u32,
    /// Health and recent failures.
    pub health_record: ejection::HealthRecord,
    /// Until when it refuses requests, by its latest refusal.
    pub busy_until: Duration,
    /// When something was last received from it or, if later, when the first of the requests in
    /// flight or a probe was sent.
    pub last_activity: Duration,
    /// Longest recent time without a message while requests were in flight. Decays with each
    /// message.
    usual_gap: Duration,
    report: Option<Report>,
}

impl Endpoint {
    /// Returns an endpoint without requests or a load report.
    pub fn new(agent: Arc<str>, distance: subset::Distance) -> Endpoint {
        Endpoint {
            agent,
            models: Vec::new(),
            slots: 1,
            distance,
            in_flight: 0,
            health_record: ejection::HealthRecord::default(),
            busy_until: Duration::ZERO,
            last_activity: Duration::ZERO,
            usual_gap: Duration::ZERO,
            report: None,
        }
    }

    /// Counts a request that was sent.
    pub fn record_start(&mut self, now: Duration) {
        // The silence of a probe counts from its own start, since older requests may still hang.
        if self.in_flight == 0 || self.health_record.is_unhealthy() {
            self.last_activity = now;
        }
        self.in_flight += 1;
        if let Some(report) = &mut self.report {
            report.change += 1;
        }
        self.health_record.record_start(now);
    }

    /// Counts a request that has ended.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(report) = &mut self.report {
            report.change -= 1;
        }
    }

    /// Stores a load report.
    pub fn record_report(&mut self, now: Duration, requests: u32) {
        self.report = Some(Report { received: now, requests, change: 0 });
    }

    /// Records that something was received from the endpoint.
    pub fn record_activity(&mut self, now: Duration) {
        if self.in_flight > 0 {
            let gap = now.saturating_sub(self.last_activity).min(MAX_USUAL_GAP);
            self.usual_gap = gap.max(self.usual_gap.mul_f64(GAP_DECAY));
        }
        self.last_activity = now;
        self.health_record.record_activity();
    }

    /// Whether requests are in flight and nothing was received for longer than `stall`.
    ///
    /// An endpoint with slower answers is allowed twice the time that they usually take. Otherwise
    /// services with slow answers would be ejected again and again.
    pub fn is_silent(&self, now: Duration, stall: Duration) -> bool {
        self.in_flight > 0 && now.saturating_sub(self.last_activity) > stall.max(self.usual_gap * 2)
    }

    /// Returns the requests per slot, by this entry's requests in flight or by the load report and
    /// the change since, whichever is larger.
    pub fn load(&self, now: Duration) -> f64 {
        let report = self.report.filter(|r| now.saturating_sub(r.received) < MAX_REPORT_AGE);
        let reported = report.map_or(0, |r| (i64::from(r.requests) + r.change).max(0));
        reported.max(i64::from(self.in_flight)) as f64 / f64::from(self.slots.max(1))
    }

    /// Returns the load plus the cost of the distance.
    fn cost(&self, now: Duration) -> f64 {
        let distance_cost = match self.distance {
            subset::Distance::SameDomain => 0.0,
            subset::Distance::SameRegion => OTHER_DOMAIN_COST,
            subset::Distance::OtherRegion => OTHER_REGION_COST,
        };
        self.load(now) + distance_cost
    }
}

/// Chooses the cheaper of two random endpoints by load and distance.
///
/// Endpoints in other regions are considered only if there is none in the entry's region or the
/// chosen one has no free slot.
pub fn two_choices(
    now: Duration,
    rng: &mut ChaCha8Rng,
    endpoints: &[Endpoint],
    eligible: &[usize],
) -> Option<usize> {
    let is_near = |at: &&usize| endpoints[**at].distance != subset::Distance::OtherRegion;
    let near: Vec<usize> = eligible.iter().filter(is_near).copied().collect();
    let chosen = draw_two(now, rng, endpoints, &near);
    let full = chosen.is_none_or(|at| endpoints[at].load(now) >= 1.0);
    let far = if full { draw_two(now, rng, endpoints, eligible) } else { None };
    cheaper(now, endpoints, chosen, far)
}

/// Chooses an endpoint that is likely to have the prefix cached, unless its load is well above the
/// mean.
pub fn prefix_affinity(
    now: Duration,
    prefix: u64,
    endpoints: &[Endpoint],
    eligible: &[usize],
) -> Option<usize> {
    let near =
        eligible.iter().map(|at| endpoints[*at].distance).min()?.max(subset::Distance::SameRegion);
    let local = eligible.iter().filter(|at| endpoints[**at].distance <= near);
    let mut ranked: Vec<(u64, usize)> =
        local.map(|at| (weight(prefix, &endpoints[*at]), *at)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let total: f64 = ranked.iter().map(|(_, at)| endpoints[*at].load(now)).sum();
    // One request above the limit is allowed, so that affinity works at low load.
    let mean = total / ranked.len() as f64;
    let within = |at: usize| {
        let slot = 1.0 / f64::from(endpoints[at].slots.max(1));
        endpoints[at].load(now) <= mean * AFFINITY_LOAD_FACTOR + slot
            && endpoints[at].load(now) < 1.0
    };
    // If the first two endpoints are overloaded, the prefix is hot and the load decides.
    ranked.iter().take(2).map(|(_, at)| *at).find(|at| within(*at))
}

fn weight(prefix: u64, endpoint: &Endpoint) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.agent.as_bytes(), prefix)
}

/// Chooses the cheaper of two random endpoints `among` those given by index.
fn draw_two(
    now: Duration,
    rng: &mut ChaCha8Rng,
    endpoints: &[Endpoint],
    among: &[usize],
) -> Option<usize> {
    if among.is_empty() {
        return None;
    }
    let first = rng.random_range(0..among.len());
    // The second endpoint differs from the first, so that a loaded one among few is avoided.
    let step = if among.len() > 1 { rng.random_range(1..among.len()) } else { 0 };
    let (first, second) = (among[first], among[(first + step) % among.len()]);
    cheaper(now, endpoints, Some(first), Some(second))
}

fn cheaper(
    now: Duration,
    endpoints: &[Endpoint],
    a: Option<usize>,
    b: Option<usize>,
) -> Option<usize> {
    match (a, b) {
        (Some(a), Some(b)) => {
            let keep = endpoints[a].cost(now) <= endpoints[b].cost(now);
            Some(if keep { a } else { b })
        }
        (a, b) => a.or(b),
    }
}

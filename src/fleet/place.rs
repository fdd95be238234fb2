//! Chooses the endpoint of a request and decides when to refuse; free of I/O.
//!
//! Answers the load pattern of online bursts: requests go where a slot is free, and once every
//! endpoint has as many online requests as it can start soon, further ones are refused at once, so
//! that those already waiting stay on time.

use crate::fleet::directory;
use crate::fleet::load;
use crate::sorted;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Online requests that may wait at an endpoint, as a share of its slots. A slot becomes free
/// every tenth of a second or so, so that these still start within usual time targets.
const SLOTS_PER_WAITING: u32 = 4;
/// Requests by which an endpoint of another failure domain must be less loaded to be preferred,
/// in halves: bytes between failure domains have a price.
const CROSS_DOMAIN_COST: u32 = 1;
/// Time for which an endpoint is avoided after its first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// Longest time for which an endpoint is avoided; afterwards a request tries it again.
const MAX_BACKOFF: Duration = Duration::from_millis(3_200);

/// Time after the last pause of an endpoint for which its failures are remembered.
const FAILURE_RETENTION: Duration = Duration::from_secs(30);

/// Endpoint that may take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is in the failure domain of this host.
    pub same_domain: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run there.
    pub running: load::Running,
    /// Whether it has failed lately.
    pub avoided: bool,
}

impl Candidate {
    /// Describes a ready endpoint.
    pub fn new(
        endpoint: &directory::Endpoint,
        domain: &str,
        running: load::Running,
        avoided: bool,
    ) -> Candidate {
        Candidate {
            id: endpoint.id.clone(),
            address: endpoint.address,
            same_domain: *endpoint.domain == *domain,
            slots: endpoint.slots.max(1),
            running,
            avoided: avoided || endpoint.phase == directory::Phase::Silent,
        }
    }

    fn online_requests(&self) -> u32 {
        self.running.own + self.running.online
    }

    fn is_full(&self) -> bool {
        self.online_requests() >= self.slots + self.slots / SLOTS_PER_WAITING
    }

    /// Order of preference; lower is better.
    fn cost(&self) -> (bool, u32) {
        let load = self.online_requests() + self.running.batch;
        (self.avoided, 2 * load + if self.same_domain { 0 } else { CROSS_DOMAIN_COST })
    }
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request there.
    Send(Candidate),
    /// Every endpoint has as many requests as it can start soon.
    Full,
    /// No endpoint of the service is left.
    None,
}

/// Chooses among the endpoints that were not tried yet. `draw` is a random number that spreads
/// equal choices.
pub fn choose(candidates: Vec<Candidate>, tried: &[Arc<str>], random: usize) -> Choice {
    let mut open: Vec<Candidate> =
        candidates.into_iter().filter(|c| !tried.contains(&c.id)).collect();
    if open.is_empty() {
        return Choice::None;
    }
    let start = random % open.len();
    open.rotate_left(start);
    let healthy = open.iter().any(|c| !c.avoided);
    let best = open.into_iter().filter(|c| !c.is_full()).min_by_key(Candidate::cost);
    match best {
        // Failed endpoints are tried before a request is refused, but not while others are full.
        Some(best) if !best.avoided || !healthy => Choice::Send(best),
        Some(_) | None => Choice::Full,
    }
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: Duration,
}

/// Endpoints that have failed lately, as seen by one host.
#[derive(Debug, Default)]
pub struct Health {
    backoffs: sorted::SortedMap<Arc<str>, Backoff>,
}

impl Health {
    /// Notes that an endpoint did not answer. Returns for how long it is avoided.
    pub fn record_failure(&mut self, now: Duration, id: &Arc<str>) -> Duration {
        let backoff = self.backoffs.entry_or(id.clone(), || Backoff { failures: 0, until: now });
        if backoff.failures > 0 && now < backoff.until {
            // One outage shows in many requests at once.
            return backoff.until - now;
        }
        let factor = 1u32.checked_shl(backoff.failures).unwrap_or(u32::MAX);
        let pause = MIN_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        *backoff = Backoff { failures: backoff.failures.saturating_add(1), until: now + pause };
        pause
    }

    /// Forgets endpoints that have not failed for long; most of them are gone.
    pub fn remove_expired(&mut self, now: Duration) {
        self.backoffs.retain(|_, f| now.saturating_sub(f.until) < FAILURE_RETENTION);
    }

    /// Notes that an endpoint has answered.
    pub fn record_answer(&mut self, id: &str) {
        self.backoffs.remove(id);
    }

    /// Whether an endpoint is avoided.
    pub fn is_avoided(&self, now: Duration, id: &str) -> bool {
        self.backoffs.get(id).is_some_and(|f| now < f.until)
    }
}

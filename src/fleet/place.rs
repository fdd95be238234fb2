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
const WAITING_SHARE: u32 = 4;
/// Requests by which an endpoint of another failure domain must be less loaded to be preferred,
/// in halves: bytes between failure domains have a price.
const DISTANCE: u32 = 1;
/// Time for which an endpoint is avoided after its first failure.
const AVOID: Duration = Duration::from_millis(400);
/// Longest time for which an endpoint is avoided; afterwards a request tries it again.
const AVOID_MAX: Duration = Duration::from_millis(3_200);

/// Time after the last pause of an endpoint for which its failures are remembered.
const FORGET: Duration = Duration::from_secs(30);

/// Endpoint that may take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is in the failure domain of this host.
    pub near: bool,
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
            near: *endpoint.domain == *domain,
            slots: endpoint.slots.max(1),
            running,
            avoided: avoided || endpoint.phase == directory::Phase::Silent,
        }
    }

    fn online(&self) -> u32 {
        self.running.own + self.running.online
    }

    fn full(&self) -> bool {
        self.online() >= self.slots + self.slots / WAITING_SHARE
    }

    /// Order of preference; lower is better.
    fn cost(&self) -> (bool, u32) {
        let load = self.online() + self.running.batch;
        (self.avoided, 2 * load + if self.near { 0 } else { DISTANCE })
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
pub fn choose(candidates: Vec<Candidate>, tried: &[Arc<str>], draw: usize) -> Choice {
    let mut open: Vec<Candidate> =
        candidates.into_iter().filter(|c| !tried.contains(&c.id)).collect();
    if open.is_empty() {
        return Choice::None;
    }
    let start = draw % open.len();
    open.rotate_left(start);
    let healthy = open.iter().any(|c| !c.avoided);
    let best = open.into_iter().filter(|c| !c.full()).min_by_key(Candidate::cost);
    match best {
        // Failed endpoints are tried before a request is refused, but not while others are full.
        Some(best) if !best.avoided || !healthy => Choice::Send(best),
        Some(_) | None => Choice::Full,
    }
}

#[derive(Clone, Copy, Debug)]
struct Failing {
    failures: u32,
    until: Duration,
}

/// Endpoints that have failed lately, as seen by one host.
#[derive(Debug, Default)]
pub struct Health {
    failing: sorted::SortedMap<Arc<str>, Failing>,
}

impl Health {
    /// Notes that an endpoint did not answer. Returns for how long it is avoided.
    pub fn failed(&mut self, now: Duration, id: &Arc<str>) -> Duration {
        let failing = self.failing.entry_or(id.clone(), || Failing { failures: 0, until: now });
        if failing.failures > 0 && now < failing.until {
            // One outage shows in many requests at once.
            return failing.until - now;
        }
        let factor = 1u32.checked_shl(failing.failures).unwrap_or(u32::MAX);
        let pause = AVOID.saturating_mul(factor).min(AVOID_MAX);
        *failing = Failing { failures: failing.failures.saturating_add(1), until: now + pause };
        pause
    }

    /// Forgets endpoints that have not failed for long; most of them are gone.
    pub fn expire(&mut self, now: Duration) {
        self.failing.retain(|_, f| now.saturating_sub(f.until) < FORGET);
    }

    /// Notes that an endpoint has answered.
    pub fn answered(&mut self, id: &str) {
        self.failing.remove(id);
    }

    /// Whether an endpoint is avoided.
    pub fn avoided(&self, now: Duration, id: &str) -> bool {
        self.failing.get(id).is_some_and(|f| now < f.until)
    }
}

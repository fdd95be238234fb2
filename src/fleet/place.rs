//! Chooses the endpoint for a request or decides to refuse it. Free of I/O.
//!
//! Designed for steps of online requests to several times their mean, sent by many entries at the
//! same moment. What an entry knows about the others is some hundredths of a second old. If each of
//! them chose the endpoint with the fewest requests, all would choose the same few. Instead, a
//! request goes to a random endpoint, each as likely as its number of free slots, so that requests
//! of one moment spread over all free slots. If only few are free, a share of the requests waits
//! instead, so that not all of them are sent to these. Once every endpoint has as many online
//! requests as it can start soon, further requests are refused at once, so that those already
//! waiting still start in time.
//!
//! Traffic between failure domains is charged: the endpoints of the own domain are used first, as
//! long as enough of their slots are free that a request is unlikely to wait for one.

use crate::fleet::directory;
use crate::fleet::limits;
use crate::fleet::load;
use crate::fleet::placement::pace;
use crate::sorted;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Slots of an endpoint for each online request that may wait there. A slot becomes free about
/// every tenth of a second, so the waiting requests still start within usual response targets.
const SLOTS_PER_WAITING: u32 = 4;
/// Slots of the own failure domain for each one that must be free for the domain to be used alone.
const SLOTS_PER_FREE: u32 = 16;
/// Slots for each one that must be free for every request to be sent to a free slot. About as many
/// requests arrive at a full fleet while an entry does not know of them yet.
const SLOTS_PER_UNREPORTED: u32 = 16;
/// Backoff after the first failure of an endpoint; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// Longest backoff, after which a request tries the endpoint again.
const MAX_BACKOFF: Duration = Duration::from_millis(3_200);

/// Time after the end of an endpoint's last backoff after which its failures are forgotten.
const FAILURE_RETENTION: Duration = Duration::from_secs(30);

/// Endpoint that may be chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time; 0 if not stated.
    pub start_time: u64,
    /// Address for requests.
    pub address: SocketAddr,
    /// Build of its software.
    pub build: Arc<str>,
    /// Whether it is in the failure domain of this host.
    pub same_domain: bool,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that are running there.
    pub running: load::Running,
    /// Whether it is backed off after a failure, or silent.
    pub avoided: bool,
    /// Requests that this host may send there; `None` if the endpoint has no limit.
    pub allowance: Option<u32>,
}

impl Candidate {
    /// Creates the candidate for an endpoint, as seen from a host in the failure domain `domain`.
    pub fn new(
        endpoint: &directory::Endpoint,
        domain: &str,
        running: load::Running,
        avoided: bool,
        allowance: Option<u32>,
    ) -> Candidate {
        Candidate {
            id: endpoint.id.clone(),
            start_time: endpoint.start_time,
            address: endpoint.address,
            build: endpoint.build.clone(),
            same_domain: *endpoint.domain == *domain,
            slots: endpoint.slots.max(1),
            running,
            avoided: avoided || endpoint.phase == directory::Phase::Silent,
            allowance,
        }
    }

    /// Start of the endpoint.
    pub fn start(&self) -> limits::EndpointStart {
        limits::EndpointStart::new(&self.id, self.start_time)
    }

    fn online_requests(&self) -> u32 {
        self.running.own + self.running.online
    }

    /// As many of `slots` as this host may use.
    fn allowed(&self, slots: u32) -> u32 {
        self.allowance.map_or(slots, |allowance| slots.min(allowance))
    }

    /// Slots that neither online requests nor items use.
    fn free_slots(&self) -> u32 {
        let used = self.online_requests() + self.running.batch;
        self.allowed(self.slots.saturating_sub(used))
    }

    /// Slots that online requests do not use. Items release theirs when online requests need them.
    fn yielding_slots(&self) -> u32 {
        self.allowed(self.slots.saturating_sub(self.online_requests()))
    }

    /// Online requests that may still be sent there.
    fn room(&self) -> u32 {
        let room = self.slots + self.slots / SLOTS_PER_WAITING;
        self.allowed(room.saturating_sub(self.online_requests()))
    }

    /// Free slots of an endpoint with a limit. What this host may send there is lost if it does not
    /// use it.
    fn granted_slots(&self) -> u32 {
        if self.allowance.is_some() { self.free_slots() } else { 0 }
    }
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request there.
    Send(Candidate),
    /// Online requests use every slot. A request may wait for one, or else be sent to this endpoint,
    /// if any, at which few others wait.
    Wait(Option<Candidate>),
    /// Every endpoint of the service was tried, or there is none.
    None,
}

/// What the choice takes into account besides free slots.
#[derive(Clone, Copy, Debug)]
pub struct Experience<'a> {
    /// Time of the choice.
    pub now: Duration,
    /// Endpoints that differ from the others, sorted by id.
    pub deviations: &'a [pace::Deviation],
    /// Whether the request may be repeated.
    pub repeatable: bool,
}

impl Experience<'_> {
    fn is_failing(&self, id: &str) -> bool {
        let found = self.deviations.binary_search_by(|d| (*d.id).cmp(id));
        found.is_ok_and(|at| self.deviations[at].failing)
    }

    /// Relative speeds of the candidates, 0 for those that fail and are not to be tried now; `None`
    /// if none of them deviates.
    fn speeds(&self, candidates: &[Candidate]) -> Option<Vec<u32>> {
        if self.deviations.is_empty() {
            return None;
        }
        // Both are sorted by id in most cases, so that the next deviation is mostly the next one found.
        let (mut next, mut deviates) = (0, false);
        let speeds = candidates.iter().map(|c| {
            let is_next = self.deviations.get(next).is_some_and(|d| Arc::ptr_eq(&d.id, &c.id));
            let at = match is_next {
                true => next,
                false => match self.deviations.binary_search_by(|d| d.id.cmp(&c.id)) {
                    Ok(at) => at,
                    Err(_) => return pace::NOMINAL_SPEED,
                },
            };
            next = at + 1;
            let deviation = &self.deviations[at];
            let is_trial_due = self.now.saturating_sub(deviation.last_sent) >= pace::TRIAL_INTERVAL;
            let speed = match deviation.failing && !(self.repeatable && is_trial_due) {
                true => 0,
                false => {
                    let running = c.online_requests() + c.running.batch;
                    deviation.speeds[pace::level(running, c.slots)]
                }
            };
            deviates |= speed != pace::NOMINAL_SPEED;
            speed
        });
        let speeds: Vec<u32> = speeds.collect();
        deviates.then_some(speeds)
    }
}

/// Why a choice follows more than free slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Endpoints differ in speed.
    Speed,
    /// Endpoints that fail a part of their requests are left out.
    Failing,
    /// The request is the trial of an endpoint that fails a part of its requests.
    Trial,
}

/// Chooses an endpoint that is not in `tried` by free slots and experience. `random` is a random
/// number. Without deviations, the choice is that of [`choose`].
pub fn choose_by(
    mut candidates: Vec<Candidate>,
    tried: &[Arc<str>],
    random: u64,
    experience: &Experience<'_>,
) -> (Choice, Option<Reason>) {
    let Some(speeds) = experience.speeds(&candidates) else {
        return (choose(candidates, tried, random), None);
    };
    let (mut free, mut slots, mut near_free, mut near_slots) = (0, 0, 0, 0);
    let mut is_limited = false;
    let of = |c: &Candidate| {
        is_limited |= c.allowance.is_some();
        if c.avoided || tried.contains(&c.id) {
            return 0;
        }
        let own = c.free_slots();
        (free, slots) = (free + own, slots + c.slots);
        if c.same_domain {
            (near_free, near_slots) = (near_free + own, near_slots + c.slots);
        }
        own
    };
    let counts: Vec<u32> = candidates.iter().map(of).collect();
    // What a limited endpoint permits is lost if it is not used.
    if is_limited || !is_enough(free, slots, random >> 32) {
        return choose_others(candidates, &speeds, tried, random);
    }
    let near_only = near_free > near_slots / SLOTS_PER_FREE;
    // The preference grows from none, with an eighth of the slots free, to all of it with three
    // eighths, so that a fast endpoint that is nearly full gets no more than by its free slots.
    let strength = u64::from((free * 4).saturating_sub(slots / 2).min(slots));
    let nominal = u64::from(pace::NOMINAL_SPEED) * (u64::from(slots) - strength);
    let weight = |((c, count), speed): ((&Candidate, &u32), &u32)| match *speed {
        0 => 0,
        _ if near_only && !c.same_domain => 0,
        speed => u64::from(*count) * (u64::from(speed) * strength + nominal),
    };
    let weights: Vec<u64> = candidates.iter().zip(&counts).zip(&speeds).map(weight).collect();
    // The number has 32 bits and is scaled to the total, which may be larger.
    let total = u128::from(weights.iter().sum::<u64>());
    let mut left = ((u128::from(random & u64::from(u32::MAX)) * total) >> 32) as u64;
    let picked = weights.iter().position(|weight| {
        let picked = left < *weight;
        left = left.saturating_sub(*weight);
        picked
    });
    let Some(at) = picked else { return choose_others(candidates, &speeds, tried, random) };
    let chosen = candidates.swap_remove(at);
    let reason = match experience.is_failing(&chosen.id) {
        true => Reason::Trial,
        false if speeds.contains(&0) => Reason::Failing,
        false => Reason::Speed,
    };
    (Choice::Send(chosen), Some(reason))
}

/// Chooses by free slots, without endpoints of speed 0 if online requests leave slots of others.
fn choose_others(
    mut candidates: Vec<Candidate>,
    speeds: &[u32],
    tried: &[Arc<str>],
    random: u64,
) -> (Choice, Option<Reason>) {
    let is_usable = |c: &Candidate| !c.avoided && !tried.contains(&c.id);
    let has_slot = |c: &Candidate| is_usable(c) && c.yielding_slots() > 0;
    let mut others = candidates.iter().zip(speeds).filter(|(_, speed)| **speed > 0);
    if !speeds.contains(&0) || !others.any(|(c, _)| has_slot(c)) {
        return (choose(candidates, tried, random), None);
    }
    let mut speeds = speeds.iter();
    candidates.retain(|_| speeds.next().is_some_and(|speed| *speed > 0));
    (choose(candidates, tried, random), Some(Reason::Failing))
}

/// Chooses an endpoint that is not in `tried`. `random` is a random number.
pub fn choose(candidates: Vec<Candidate>, tried: &[Arc<str>], random: u64) -> Choice {
    let mut untried: Vec<Candidate> =
        candidates.into_iter().filter(|c| !tried.contains(&c.id)).collect();
    if untried.is_empty() {
        return Choice::None;
    }
    // An avoided endpoint is used only if all others are avoided too. While a healthy endpoint is
    // merely full, the request is refused instead.
    if untried.iter().any(|c| !c.avoided) {
        untried.retain(|c| !c.avoided);
    }
    if let Some(at) = pick(&untried, Candidate::granted_slots, random) {
        return Choice::Send(untried.swap_remove(at));
    }
    // The halves of the number decide independently whether the request is sent, and where.
    let (sending, picking) = (random >> 32, random & u64::from(u32::MAX));
    for weight in [Candidate::free_slots, Candidate::yielding_slots] {
        if is_sent(&untried, weight, sending)
            && let Some(at) = pick(&untried, weight, picking)
        {
            return Choice::Send(untried.swap_remove(at));
        }
    }
    let room = pick(&untried, Candidate::room, random);
    Choice::Wait(room.map(|at| untried.swap_remove(at)))
}

/// Whether a request is sent to one of the slots that `weight` counts. If they are few, only a share
/// of the requests is.
fn is_sent(candidates: &[Candidate], weight: impl Fn(&Candidate) -> u32, random: u64) -> bool {
    let unlimited = candidates.iter().filter(|c| c.allowance.is_none());
    let slots: u32 = unlimited.map(|c| c.slots).sum();
    is_enough(candidates.iter().map(weight).sum(), slots, random)
}

/// Whether a request is sent if `free` of `slots` are free.
fn is_enough(free: u32, slots: u32, random: u64) -> bool {
    random % u64::from((slots / SLOTS_PER_UNREPORTED).max(1)) < u64::from(free)
}

/// Picks an endpoint at random, each as likely as its weight; `None` if all weights are 0.
fn pick(
    candidates: &[Candidate],
    weight: impl Fn(&Candidate) -> u32,
    random: u64,
) -> Option<usize> {
    let near = || candidates.iter().filter(|c| c.same_domain);
    let near_weight: u32 = near().map(&weight).sum();
    let near_slots: u32 = near().map(|c| c.slots).sum();
    let near_only = near_weight > near_slots / SLOTS_PER_FREE;
    let weight = |c: &Candidate| if c.same_domain || !near_only { weight(c) } else { 0 };
    let total: u32 = candidates.iter().map(weight).sum();
    let mut left = u32::try_from(random % u64::from(total.max(1))).unwrap_or(0);
    candidates.iter().position(|c| {
        let weight = weight(c);
        let picked = left < weight;
        left = left.saturating_sub(weight);
        picked
    })
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: Duration,
}

/// Backoffs of endpoints that failed recently, as observed by this host.
#[derive(Debug, Default)]
pub struct Health {
    backoffs: sorted::SortedMap<Arc<str>, Backoff>,
}

impl Health {
    /// Records a failure of an endpoint. Returns how long the endpoint is avoided from now on.
    pub fn record_failure(&mut self, now: Duration, id: &Arc<str>) -> Duration {
        let backoff = self.backoffs.entry_or(id.clone(), || Backoff { failures: 0, until: now });
        if backoff.failures > 0 && now < backoff.until {
            // One outage fails many requests at once and counts as a single failure.
            return backoff.until - now;
        }
        let factor = 1u32.checked_shl(backoff.failures).unwrap_or(u32::MAX);
        let pause = MIN_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        *backoff = Backoff { failures: backoff.failures.saturating_add(1), until: now + pause };
        pause
    }

    /// Forgets endpoints that have not failed for a long time; most of them no longer exist.
    pub fn remove_expired(&mut self, now: Duration) {
        self.backoffs.retain(|_, f| now.saturating_sub(f.until) < FAILURE_RETENTION);
    }

    /// Records an answer of an endpoint, which ends its backoff.
    pub fn record_answer(&mut self, id: &str) {
        self.backoffs.remove(id);
    }

    /// Whether an endpoint is backed off.
    pub fn is_avoided(&self, now: Duration, id: &str) -> bool {
        self.backoffs.get(id).is_some_and(|f| now < f.until)
    }
}

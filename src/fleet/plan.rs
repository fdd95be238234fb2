//! Decides which items of batch jobs run where; free of I/O.
//!
//! Answers two load patterns. In online bursts of a few seconds over steady batch work, items use
//! the slots that online requests leave, and give them back as soon as online requests need them.
//! When there is more work than slots for longer, items that can still be done in time go before
//! those that cannot: in order of arrival alone, every item would soon be late.

use crate::fleet::load;
use std::sync::Arc;
use std::time::Duration;

/// Slots of an endpoint that items leave free, so that the first requests of a burst start before
/// any item has stopped.
const RESERVE: u32 = 1;

/// Online requests at an endpoint for each one that may wait there without an item being stopped:
/// with as many running, one of them ends within a usual time to the first event.
const ONLINE_PER_WAITING: u32 = 5;

/// Endpoint with what runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run there; `own` are the items of this host.
    pub running: load::Running,
    /// Whether it takes new items.
    pub open: bool,
}

impl Place {
    fn allowed(&self) -> u32 {
        self.slots.saturating_sub(self.running.online + self.running.batch)
    }

    fn free(&self) -> u32 {
        self.allowed().saturating_sub(self.running.own + RESERVE)
    }

    fn excess(&self) -> u32 {
        let online = self.running.online + self.running.batch;
        // Online requests alone that fill every slot need no items beside them.
        let waiting = if online < self.slots { online / ONLINE_PER_WAITING } else { 0 };
        self.running.own.saturating_sub(self.allowed() + waiting)
    }
}

/// Order of an item; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the item cannot be done in time any more.
    pub late: bool,
    /// Number of its job in order of acceptance.
    pub job: u64,
}

impl Urgency {
    /// Urgency of an item that still has to run for `rest`, `left` before it is due.
    pub fn new(job: u64, left: Duration, rest: Duration) -> Urgency {
        Urgency { late: rest > left, job }
    }
}

/// Estimate of how long items run, from those that have ended.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Running time of an item.
    run: Duration,
}

/// Running time that is assumed before the first item has ended.
const FIRST_PACE: Duration = Duration::from_secs(4);
/// Share of the last item in the estimate.
const PACE_SHARE: f64 = 0.1;

impl Default for Pace {
    fn default() -> Pace {
        Pace { run: FIRST_PACE }
    }
}

impl Pace {
    /// Notes how long an item has run in all.
    pub fn note(&mut self, ran: Duration) {
        self.run = self.run.mul_f64(1.0 - PACE_SHARE) + ran.mul_f64(PACE_SHARE);
    }

    /// Time that an item still has to run after it has run for `ran`.
    pub fn rest(&self, ran: Duration) -> Duration {
        self.run.saturating_sub(ran)
    }
}

/// Item that waits, in order of urgency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Position in the caller's list.
    pub index: usize,
    /// Service that runs it.
    pub service: Arc<str>,
    /// Order of urgency.
    pub urgency: Urgency,
}

/// Item that runs at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Position in the caller's list.
    pub index: usize,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Order of urgency.
    pub urgency: Urgency,
    /// Number of its start; of equally urgent items the one started last stops first.
    pub started: u64,
}

/// What to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Waiting items to start, with the id of the endpoint.
    pub start: Vec<(usize, Arc<str>)>,
    /// Running items to stop; they go on later from where they were.
    pub stop: Vec<usize>,
}

/// Plans the next step.
pub fn plan(mut places: Vec<Place>, waiting: &[Waiting], running: &[Running]) -> Plan {
    let mut plan = Plan::default();
    for place in &mut places {
        let excess = place.excess() as usize;
        let mut here: Vec<&Running> = running.iter().filter(|r| r.endpoint == place.id).collect();
        here.sort_by_key(|r| std::cmp::Reverse((r.urgency, r.started)));
        plan.stop.extend(here.iter().take(excess).map(|r| r.index));
    }
    let mut queue: Vec<&Waiting> = waiting.iter().collect();
    queue.sort_by_key(|w| w.urgency);
    let mut unplaced = Vec::new();
    for item in queue {
        let fits = |p: &&mut Place| p.open && p.service == item.service && p.free() > 0;
        let Some(place) = places.iter_mut().filter(fits).max_by_key(|p| p.free()) else {
            unplaced.push(item);
            continue;
        };
        place.running.own += 1;
        plan.start.push((item.index, place.id.clone()));
    }
    displace(&mut plan, &unplaced, running);
    plan
}

/// Stops items that cannot be done in time for waiting ones that can. Those start with the next
/// plan, once the slots are free.
fn displace(plan: &mut Plan, unplaced: &[&Waiting], running: &[Running]) {
    let in_time = unplaced.iter().filter(|w| !w.urgency.late).count();
    let kept = |r: &&Running| r.urgency.late && !plan.stop.contains(&r.index);
    let mut late: Vec<&Running> = running.iter().filter(kept).collect();
    late.sort_by_key(|r| std::cmp::Reverse((r.urgency, r.started)));
    let stop: Vec<usize> = late.iter().take(in_time).map(|r| r.index).collect();
    plan.stop.extend(stop);
}

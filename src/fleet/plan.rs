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
const RESERVED_SLOTS: u32 = 1;

/// Online requests at an endpoint for each one that may wait there without an item being stopped:
/// with as many running, one of them ends within a usual time to the first event.
const ONLINE_PER_WAITING: u32 = 5;

/// Endpoint with what runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run there; `own` are the items of this host.
    pub running: load::Running,
    /// Whether it takes new items.
    pub accepting: bool,
}

impl EndpointLoad {
    fn item_slots(&self) -> u32 {
        self.slots.saturating_sub(self.running.online + self.running.batch)
    }

    fn free_slots(&self) -> u32 {
        self.item_slots().saturating_sub(self.running.own + RESERVED_SLOTS)
    }

    fn excess_items(&self) -> u32 {
        let online = self.running.online + self.running.batch;
        // Online requests alone that fill every slot need no items beside them.
        let waiting = if online < self.slots { online / ONLINE_PER_WAITING } else { 0 };
        self.running.own.saturating_sub(self.item_slots() + waiting)
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
    pub fn new(job: u64, time_left: Duration, remaining: Duration) -> Urgency {
        Urgency { late: remaining > time_left, job }
    }
}

/// Estimate of how long items run, from those that have ended.
#[derive(Clone, Copy, Debug)]
pub struct RunTimeEstimate {
    /// Running time of an item.
    mean: Duration,
}

/// Running time that is assumed before the first item has ended.
const INITIAL_RUN_TIME: Duration = Duration::from_secs(4);
/// Share of the last item in the estimate.
const RUN_TIME_WEIGHT: f64 = 0.1;

impl Default for RunTimeEstimate {
    fn default() -> RunTimeEstimate {
        RunTimeEstimate { mean: INITIAL_RUN_TIME }
    }
}

impl RunTimeEstimate {
    /// Notes how long an item has run in all.
    pub fn record(&mut self, run_time: Duration) {
        self.mean = self.mean.mul_f64(1.0 - RUN_TIME_WEIGHT) + run_time.mul_f64(RUN_TIME_WEIGHT);
    }

    /// Time that an item still has to run after it has run for `ran`.
    pub fn remaining(&self, run_time: Duration) -> Duration {
        self.mean.saturating_sub(run_time)
    }
}

/// Item that waits, in order of urgency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// Position in the caller's list.
    pub index: usize,
    /// Service that runs it.
    pub service: Arc<str>,
    /// Order of urgency.
    pub urgency: Urgency,
}

/// Item that runs at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningItem {
    /// Position in the caller's list.
    pub index: usize,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Order of urgency.
    pub urgency: Urgency,
    /// Number of its start; of equally urgent items the one started last stops first.
    pub run_number: u64,
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
pub fn plan(
    mut endpoints: Vec<EndpointLoad>,
    waiting: &[WaitingItem],
    running: &[RunningItem],
) -> Plan {
    let mut plan = Plan::default();
    for endpoint in &mut endpoints {
        let excess = endpoint.excess_items() as usize;
        let mut here: Vec<&RunningItem> =
            running.iter().filter(|r| r.endpoint == endpoint.id).collect();
        here.sort_by_key(|r| std::cmp::Reverse((r.urgency, r.run_number)));
        plan.stop.extend(here.iter().take(excess).map(|r| r.index));
    }
    let mut queue: Vec<&WaitingItem> = waiting.iter().collect();
    queue.sort_by_key(|w| w.urgency);
    let mut unplaced = Vec::new();
    for item in queue {
        let fits =
            |p: &&mut EndpointLoad| p.accepting && p.service == item.service && p.free_slots() > 0;
        let Some(endpoint) = endpoints.iter_mut().filter(fits).max_by_key(|p| p.free_slots())
        else {
            unplaced.push(item);
            continue;
        };
        endpoint.running.own += 1;
        plan.start.push((item.index, endpoint.id.clone()));
    }
    stop_late_items(&mut plan, &unplaced, running);
    plan
}

/// Stops items that cannot be done in time for waiting ones that can. Those start with the next
/// plan, once the slots are free.
fn stop_late_items(plan: &mut Plan, unplaced: &[&WaitingItem], running: &[RunningItem]) {
    let in_time = unplaced.iter().filter(|w| !w.urgency.late).count();
    let kept = |r: &&RunningItem| r.urgency.late && !plan.stop.contains(&r.index);
    let mut late: Vec<&RunningItem> = running.iter().filter(kept).collect();
    late.sort_by_key(|r| std::cmp::Reverse((r.urgency, r.run_number)));
    let stop: Vec<usize> = late.iter().take(in_time).map(|r| r.index).collect();
    plan.stop.extend(stop);
}

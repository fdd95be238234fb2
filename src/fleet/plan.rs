//! Decides which items of batch jobs run on which endpoints. Free of I/O.
//!
//! Designed for three load patterns:
//! - Online bursts of a few seconds over steady batch work: items use the slots that online
//!   requests leave free and release them as soon as online requests need them.
//! - Lasting overload: items that can still finish in time run before those that cannot. In order
//!   of arrival alone, every item would soon be late. A plan costs little more than a sort of the
//!   waiting items, so that a long queue does not slow down the host that has to shorten it.
//! - A large job of one workspace beside small jobs of others: among items of equal lateness, the
//!   workspaces of one priority get equal shares of the slots.
//!
//! An item is stopped only for a request that can use its slot: for online requests at its endpoint,
//! or for a waiting item that starts there in its place. How often that may happen without progress
//! is bounded, so that each item is done at last.

mod handover;
mod reserve;
mod shares;
mod stops;

pub use handover::Handover;
pub use stops::Stops;

use crate::fleet::load;
use crate::fleet::plan::shares::Shares;
use crate::sorted;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Running online requests of an endpoint for each online request that may wait there without
/// stopping an item: with this many running, one of them ends within a usual time to first event.
const ONLINE_PER_WAITING: u32 = 5;

/// Endpoint and the requests that are running there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Build of its software.
    pub build: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that are running there; `own` counts the items of this host.
    pub running: load::Running,
    /// Whether it accepts new items.
    pub accepting: bool,
    /// Items that may be sent to it; `None` if it has no limit.
    pub allowance: Option<u32>,
}

impl EndpointLoad {
    /// Slots that are not taken by requests of other hosts.
    fn item_slots(&self) -> u32 {
        self.slots.saturating_sub(self.running.online + self.running.batch)
    }

    /// Whether an item may be sent to it if a slot is free.
    fn is_usable(&self) -> bool {
        self.accepting && self.allowance != Some(0)
    }

    /// Items that may be started if `reserved` slots stay free.
    fn free_slots(&self, reserved: u32) -> u32 {
        let free = self.item_slots().saturating_sub(self.running.own + reserved);
        self.allowance.map_or(free, |allowance| free.min(allowance))
    }

    /// Counts an item that starts.
    fn add_item(&mut self) {
        self.running.own += 1;
        self.allowance = self.allowance.map(|allowance| allowance.saturating_sub(1));
    }

    /// Items that must be stopped. Items of another host are no reason: they end or yield themselves.
    fn excess_items(&self) -> u32 {
        let online = self.running.online;
        // Once online requests alone fill every slot, all items must stop.
        let waiting = if online < self.slots { online / ONLINE_PER_WAITING } else { 0 };
        self.running.own.saturating_sub(self.slots.saturating_sub(online) + waiting)
    }
}

/// Sort key of an item; the lowest runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the item can no longer finish in time.
    pub late: bool,
    /// Log index at which its job was accepted.
    pub job: u64,
}

impl Urgency {
    /// Urgency of an item that still has to run for `remaining` and is due in `time_left`.
    pub fn new(job: u64, time_left: Duration, remaining: Duration) -> Urgency {
        Urgency { late: remaining > time_left, job }
    }
}

/// Owner of an item, as far as the order of items depends on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner {
    /// Priority of the workspace; 0 is the most urgent.
    pub priority: u64,
    /// Name of the workspace; `None` for jobs without one.
    pub workspace: Option<Arc<str>>,
}

/// Estimated run time of an item: an exponential moving average over completed items.
#[derive(Clone, Copy, Debug)]
pub struct RunTimeEstimate {
    mean: Duration,
}

/// Estimate until the first item completes.
const INITIAL_RUN_TIME: Duration = Duration::from_secs(4);
/// Weight of the latest item in the moving average.
const RUN_TIME_WEIGHT: f64 = 0.1;

impl Default for RunTimeEstimate {
    fn default() -> RunTimeEstimate {
        RunTimeEstimate { mean: INITIAL_RUN_TIME }
    }
}

impl RunTimeEstimate {
    /// Adds the total run time of a completed item.
    pub fn record(&mut self, run_time: Duration) {
        self.mean = self.mean.mul_f64(1.0 - RUN_TIME_WEIGHT) + run_time.mul_f64(RUN_TIME_WEIGHT);
    }

    /// Estimated time that an item still has to run after running for `run_time`.
    pub fn remaining(&self, run_time: Duration) -> Duration {
        self.mean.saturating_sub(run_time)
    }
}

/// Item that waits to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// Position in the caller's list.
    pub index: usize,
    /// Service that runs it.
    pub service: Arc<str>,
    /// Build at which it has to go on; `None` if any will do.
    pub build: Option<Arc<str>>,
    /// Id of the silent endpoint that runs it, which another one is to replace.
    pub leaves: Option<Arc<str>>,
    /// Urgency.
    pub urgency: Urgency,
    /// Owner of its job.
    pub owner: Owner,
}

/// Item that runs at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningItem {
    /// Position in the caller's list.
    pub index: usize,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Urgency.
    pub urgency: Urgency,
    /// Owner of its job.
    pub owner: Owner,
    /// Number of its run, counted over all items; of equally urgent items the one that started last
    /// is stopped first.
    pub run_number: u64,
    /// Whether it also waits for another endpoint, since its own is silent.
    pub moves: bool,
    /// How often it was stopped.
    pub stops: Stops,
}

/// Items to start and to stop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Index of each waiting item to start and id of its endpoint.
    pub start: Vec<(usize, Arc<str>)>,
    /// Index of each running item to stop in favour of online requests; it resumes later after the
    /// last event that arrived.
    pub stop: Vec<usize>,
    /// Running items to stop in favour of waiting ones, which start in their places.
    pub handovers: Vec<Handover>,
}

/// Service and one of its builds; `None` stands for all builds.
type ServiceBuild = (Arc<str>, Option<Arc<str>>);

/// Endpoints with free slots, those with most of them first.
struct FreeSlots {
    /// Slots that stay free, by position of the endpoint.
    reserved: Vec<u32>,
    /// Free slots and position of each endpoint. An entry is outdated once the number of free slots
    /// has changed.
    heaps: sorted::SortedMap<ServiceBuild, BinaryHeap<(u32, usize)>>,
}

impl FreeSlots {
    fn new(endpoints: &[EndpointLoad], reserved: Vec<u32>) -> FreeSlots {
        let mut free = FreeSlots { reserved, heaps: sorted::SortedMap::new() };
        for (at, endpoint) in endpoints.iter().enumerate().filter(|(_, e)| e.accepting) {
            free.push(at, endpoint);
        }
        free
    }

    fn push(&mut self, at: usize, endpoint: &EndpointLoad) {
        let free = endpoint.free_slots(self.reserved[at]);
        if free == 0 {
            return;
        }
        for build in [None, Some(endpoint.build.clone())] {
            let heap = self.heaps.entry_or((endpoint.service.clone(), build), BinaryHeap::new);
            heap.push((free, at));
        }
    }

    /// Removes the endpoint with most free slots at which an item may run.
    fn pop(&mut self, item: &WaitingItem, endpoints: &[EndpointLoad]) -> Option<usize> {
        let heap = self.heaps.get_mut(&(item.service.clone(), item.build.clone()))?;
        let mut left = None;
        let mut found = None;
        while let Some((free, at)) = heap.pop() {
            let endpoint = &endpoints[at];
            if endpoint.free_slots(self.reserved[at]) != free {
                continue;
            }
            if item.leaves.as_ref() != Some(&endpoint.id) {
                found = Some(at);
                break;
            }
            left = Some((free, at));
        }
        heap.extend(left);
        found
    }
}

/// The pause after a plan is this many times as long as the plan took. A long queue, whose plans take
/// long, then leaves the processor to the commits that shorten it.
const PAUSE_FACTOR: u32 = 8;
/// Longest pause after a plan. Online requests wait that long for the slots of items.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a plan that took this long.
pub fn pause_after(plan_time: Duration) -> Duration {
    (plan_time * PAUSE_FACTOR).min(MAX_PAUSE)
}

/// Interval to the next store of output after one that took this long to be committed, where
/// `shortest` is the usual one. The stores of a group that is slow do not make it slower.
pub fn store_interval(shortest: Duration, commit_time: Duration) -> Duration {
    const COMMIT_TIMES: u32 = 4;
    const LONGEST: Duration = Duration::from_secs(10);
    shortest.max((commit_time * COMMIT_TIMES).min(LONGEST))
}

/// Plans which items to start and to stop.
pub fn plan(
    mut endpoints: Vec<EndpointLoad>,
    waiting: &[WaitingItem],
    running: &[RunningItem],
) -> Plan {
    let mut shares = Shares::new(&endpoints, waiting, running);
    let stop = excess_items(&endpoints, running, &mut shares);
    let queue = shares.order(waiting);
    let mut plan = Plan { start: Vec::new(), stop, handovers: Vec::new() };
    let mut free = FreeSlots::new(&endpoints, reserve::reserved_slots(&endpoints));
    let mut without_slot = Vec::new();
    for item in queue {
        let Some(at) = free.pop(item, &endpoints) else {
            without_slot.push(item);
            continue;
        };
        let endpoint = &mut endpoints[at];
        endpoint.add_item();
        free.push(at, endpoint);
        plan.start.push((item.index, endpoint.id.clone()));
    }
    start_in_reserve(&mut plan, &mut endpoints, &mut without_slot);
    without_slot.retain(|item| !item.urgency.late);
    plan.handovers =
        handover::hand_over(endpoints, &without_slot, running, &plan.stop, &mut shares);
    plan
}

/// Starts one item of each service that runs none in a slot that is reserved otherwise, so that items
/// do not wait for as long as online requests use the others. Removes it from `waiting`.
fn start_in_reserve(
    plan: &mut Plan,
    endpoints: &mut [EndpointLoad],
    waiting: &mut Vec<&WaitingItem>,
) {
    if waiting.is_empty() {
        return;
    }
    let busy = endpoints.iter().filter(|e| e.running.own > 0);
    let mut served: Vec<Arc<str>> = busy.map(|e| e.service.clone()).collect();
    served.sort_unstable();
    served.dedup();
    let mut free = FreeSlots::new(endpoints, vec![0; endpoints.len()]);
    waiting.retain(|item| {
        let Err(position) = served.binary_search(&item.service) else { return true };
        let Some(at) = free.pop(item, endpoints) else { return true };
        endpoints[at].add_item();
        plan.start.push((item.index, endpoints[at].id.clone()));
        served.insert(position, item.service.clone());
        false
    });
}

/// Items that must release their slots to online requests, the least urgent of each endpoint.
fn excess_items(
    endpoints: &[EndpointLoad],
    running: &[RunningItem],
    shares: &mut Shares,
) -> Vec<usize> {
    let kept = stops::kept_items(endpoints, running);
    let mut by_endpoint: Vec<&RunningItem> =
        running.iter().filter(|r| kept.binary_search(&r.index).is_err()).collect();
    by_endpoint.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    let mut stop = Vec::new();
    for endpoint in endpoints {
        let excess = endpoint.excess_items() as usize;
        if excess == 0 {
            continue;
        }
        let start = by_endpoint.partition_point(|r| r.endpoint < endpoint.id);
        let here = by_endpoint[start..].iter().take_while(|r| r.endpoint == endpoint.id);
        stop.extend(shares.take_least_urgent(here.copied().collect(), excess));
    }
    stop
}

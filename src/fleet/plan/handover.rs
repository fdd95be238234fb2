//! Late items that yield their slots to items that can finish in time.
//!
//! The number of items at an endpoint stays the same, so that online requests keep the slots that are
//! free for them.

use crate::fleet::plan::EndpointLoad;
use crate::fleet::plan::RunningItem;
use crate::fleet::plan::ServiceBuild;
use crate::fleet::plan::WaitingItem;
use crate::fleet::plan::shares::Shares;
use crate::sorted;
use std::collections::VecDeque;
use std::sync::Arc;

/// Running item that is stopped, and the waiting item that starts in its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Index of the running item to stop; it resumes later after the last event that arrived.
    pub stop: usize,
    /// Index of the waiting item to start.
    pub start: usize,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
}

/// Late items that may yield, the least urgent first, by what may run in their places. Items are
/// listed once for their service and once for its build.
type Yielding<'a> = sorted::SortedMap<ServiceBuild, VecDeque<(&'a RunningItem, usize)>>;

/// Gives slots of late items to `waiting` items, which can finish in time and are in order. `stopped`
/// holds the indices of items that are stopped anyway.
pub(super) fn hand_over(
    mut endpoints: Vec<EndpointLoad>,
    waiting: &[&WaitingItem],
    running: &[RunningItem],
    stopped: &[usize],
    shares: &mut Shares,
) -> Vec<Handover> {
    if waiting.is_empty() {
        return Vec::new();
    }
    let mut positions: Vec<usize> = (0..endpoints.len()).collect();
    positions.sort_by(|a, b| endpoints[*a].id.cmp(&endpoints[*b].id));
    let position = |item: &RunningItem| {
        let found = positions.binary_search_by(|at| endpoints[*at].id.cmp(&item.endpoint));
        found.ok().map(|found| positions[found])
    };
    let mut stopped = stopped.to_vec();
    stopped.sort_unstable();
    let is_stopped = |r: &RunningItem| stopped.binary_search(&r.index).is_ok();
    let mut remaining: Vec<u32> = endpoints.iter().map(|e| e.running.own).collect();
    for at in running.iter().filter(|r| is_stopped(r)).filter_map(position) {
        remaining[at] = remaining[at].saturating_sub(1);
    }
    // Where online requests wait for slots of items, they would get the slot of one that stops.
    let passes_on =
        |at: usize| endpoints[at].is_usable() && remaining[at] <= endpoints[at].item_slots();
    let may_yield =
        |r: &&RunningItem| r.urgency.late && !r.moves && r.stops.may_hand_over() && !is_stopped(r);
    let late = running.iter().filter(may_yield);
    let late = late.filter(|r| position(r).is_some_and(passes_on)).collect();
    let mut yielding = Yielding::new();
    for item in shares.least_urgent_first(late) {
        let Some(at) = position(item) else { continue };
        for build in [None, Some(endpoints[at].build.clone())] {
            let key = (endpoints[at].service.clone(), build);
            yielding.entry_or(key, VecDeque::new).push_back((item, at));
        }
    }
    let mut taken = vec![false; running.iter().map(|r| r.index + 1).max().unwrap_or(0)];
    let mut handovers = Vec::new();
    for next in waiting {
        let Some(list) = yielding.get_mut(&(next.service.clone(), next.build.clone())) else {
            continue;
        };
        let mut left = Vec::new();
        while let Some((item, at)) = list.pop_front() {
            if taken[item.index] || !endpoints[at].is_usable() {
                continue;
            }
            if next.leaves.as_ref() == Some(&item.endpoint) {
                left.push((item, at));
                continue;
            }
            taken[item.index] = true;
            let endpoint = &mut endpoints[at];
            endpoint.allowance = endpoint.allowance.map(|allowance| allowance.saturating_sub(1));
            shares.remove(item);
            handovers.push(Handover {
                stop: item.index,
                start: next.index,
                endpoint: endpoint.id.clone(),
            });
            break;
        }
        for item in left.into_iter().rev() {
            list.push_front(item);
        }
    }
    handovers
}

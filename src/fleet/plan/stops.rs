//! How often items were stopped in favour of other requests, and which are not stopped again.

use crate::fleet::plan::EndpointLoad;
use crate::fleet::plan::RunningItem;
use crate::sorted;
use std::sync::Arc;

/// Times that an item yields to other items. After that it keeps its slot, unless online requests
/// need it.
const MAX_HANDOVERS: u32 = 3;
/// Stops in a row without progress after which an item keeps its slot also beside online requests.
const MAX_FUTILE: u32 = 3;
/// Slots of a service for each item that keeps its slot beside online requests. One may always.
const SLOTS_PER_KEPT: u32 = 8;

/// How often an item was stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stops {
    /// Stops in favour of other items.
    handovers: u32,
    /// Stops since the last run that made progress.
    futile: u32,
}

impl Stops {
    /// Records a stop. `progressed` tells whether the run has brought events after which the next run
    /// can go on.
    pub fn record(&mut self, for_item: bool, progressed: bool) {
        self.handovers = self.handovers.saturating_add(u32::from(for_item));
        self.futile = if progressed { 0 } else { self.futile.saturating_add(1) };
    }

    /// Whether the item may be stopped in favour of another one.
    pub(super) fn may_hand_over(self) -> bool {
        self.handovers < MAX_HANDOVERS && self.futile < MAX_FUTILE
    }
}

/// Indices of the items that keep their slots beside online requests, sorted: of each service those
/// that were stopped in vain, the ones that have run for longest first.
pub(super) fn kept_items(endpoints: &[EndpointLoad], running: &[RunningItem]) -> Vec<usize> {
    let mut often_stopped: Vec<&RunningItem> =
        running.iter().filter(|r| r.stops.futile >= MAX_FUTILE).collect();
    if often_stopped.is_empty() {
        return Vec::new();
    }
    often_stopped.sort_by_key(|r| r.run_number);
    let mut slots: sorted::SortedMap<Arc<str>, u32> = sorted::SortedMap::new();
    for endpoint in endpoints {
        *slots.entry_or(endpoint.service.clone(), || 0) += endpoint.slots;
    }
    let mut left: sorted::SortedMap<Arc<str>, u32> =
        slots.iter().map(|(s, slots)| (s.clone(), (slots / SLOTS_PER_KEPT).max(1))).collect();
    let mut by_id: Vec<&EndpointLoad> = endpoints.iter().collect();
    by_id.sort_by(|a, b| a.id.cmp(&b.id));
    let keeps = |item: &&RunningItem| {
        let found = by_id.binary_search_by(|e| e.id.cmp(&item.endpoint));
        let left = found.ok().and_then(|at| left.get_mut(&by_id[at].service));
        left.is_some_and(|left| {
            let keeps = *left > 0;
            *left = left.saturating_sub(1);
            keeps
        })
    };
    let mut kept: Vec<usize> = often_stopped.into_iter().filter(keeps).map(|r| r.index).collect();
    kept.sort_unstable();
    kept
}

//! Slots that items leave free for online requests.

use crate::fleet::plan::EndpointLoad;
use crate::sorted;
use std::sync::Arc;

/// Slots of a service for each one that items leave free. An endpoint with as many slots keeps one
/// free; of smaller ones only a share does, so that items can run there as well.
const SLOTS_PER_RESERVED: u32 = 4;
/// Most slots of one endpoint that items leave free.
const MAX_RESERVED: u32 = 1;

/// Slots of each endpoint that items leave free, so that the first online requests of a burst start
/// without waiting for an item to stop.
pub(super) fn reserved_slots(endpoints: &[EndpointLoad]) -> Vec<u32> {
    let mut slots: sorted::SortedMap<Arc<str>, u32> = sorted::SortedMap::new();
    let reserved = |endpoint: &EndpointLoad| {
        if !endpoint.is_usable() {
            return 0;
        }
        let before = slots.entry_or(endpoint.service.clone(), || 0);
        let after = before.saturating_add(endpoint.slots);
        let reserved = after / SLOTS_PER_RESERVED - *before / SLOTS_PER_RESERVED;
        *before = after;
        reserved.min(MAX_RESERVED)
    };
    endpoints.iter().map(reserved).collect()
}

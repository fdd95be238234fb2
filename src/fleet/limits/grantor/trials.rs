//! Requests to limited endpoints for which no online request waits.

use crate::fleet::limits::EndpointStart;
use crate::fleet::limits::Rate;
use crate::fleet::limits::grantor::EndpointRoom;
use crate::fleet::limits::grantor::Grantor;
use crate::fleet::limits::grantor::MAX_ITEM_WAIT;
use crate::fleet::limits::grantor::Member;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Time without a request after which an endpoint is offered to an entry that has not asked, while
/// other endpoints of its service serve the requests that come.
const OFFER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a request is offered that was kept for the next online request or item to come.
/// Some cannot ask for it, such as those whose response target is shorter than a grant takes.
const MAX_KEPT: Duration = Duration::from_secs(5);
/// Further time for each endpoint before it in its service, so that not all are offered at once.
const KEPT_INTERVAL: Duration = Duration::from_secs(1);

impl Grantor {
    /// Offers requests to endpoints that have got none for long to the entries in turn. One that the
    /// entry does not use is lost, so it is kept where items or the requests that come can ask for it.
    pub(super) fn offer_unused(
        &mut self,
        now: Duration,
        rooms: &[EndpointRoom],
        members: &[Member],
        grants: &mut sorted::SortedMap<Arc<str>, Vec<EndpointStart>>,
    ) {
        let in_contact = |m: &&Member| {
            m.is_entry && self.hosts.get(&m.link).is_some_and(|h| h.is_in_contact(now))
        };
        let entries: Vec<Arc<str>> =
            members.iter().filter(in_contact).map(|m| m.link.clone()).collect();
        if entries.is_empty() {
            return;
        }
        // Services whose online requests find an endpoint without a limit, sorted.
        let mut served: Vec<&Arc<str>> = rooms
            .iter()
            .filter(|r| r.yielding > 0 && !self.is_limited(&r.endpoint))
            .map(|r| &r.service)
            .collect();
        served.sort_unstable();
        served.dedup();
        let mut counts: sorted::SortedMap<&Arc<str>, u32> = sorted::SortedMap::new();
        for room in rooms.iter().filter(|room| room.free > 0) {
            let count = counts.entry_or(&room.service, || 0);
            *count += 1;
            let kept = match served.binary_search(&&room.service) {
                Ok(_) if self.items.get(&room.service).is_some_and(|i| i.waiting) => MAX_ITEM_WAIT,
                Ok(_) => Duration::ZERO,
                Err(_) => MAX_KEPT + KEPT_INTERVAL * (*count - 1),
            };
            let Some(limited) = self.limited.get(&room.endpoint) else { continue };
            let is_unused = limited.ready.is_some_and(|since| now.saturating_sub(since) >= kept)
                && now.saturating_sub(limited.used) >= OFFER_INTERVAL;
            if is_unused && self.is_limited(&room.endpoint) {
                let entry = entries[self.next_offer % entries.len()].clone();
                self.next_offer = self.next_offer.wrapping_add(1);
                self.take(now, &room.endpoint);
                grants.entry_or(entry, Vec::new).push(room.endpoint.clone());
            }
        }
    }

    fn is_limited(&self, endpoint: &EndpointStart) -> bool {
        let rate = self.limited.get(endpoint).and_then(|l| l.rate);
        rate.and_then(Rate::effective).is_some()
    }
}

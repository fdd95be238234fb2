//! Order of items by the shares that workspaces hold of the slots of a service.
//!
//! The unit is an item that runs, not one that was started, so workspaces with long items get no
//! more slot time than those with short ones. No state outlasts a plan: a new leader orders items as
//! its predecessor did.

use crate::fleet::plan::EndpointLoad;
use crate::fleet::plan::RunningItem;
use crate::fleet::plan::WaitingItem;
use std::cmp::Reverse;
use std::sync::Arc;

/// Service and workspace whose items run there.
type Group = (Arc<str>, Option<Arc<str>>);

/// Items that each workspace runs.
pub(super) struct Shares {
    /// Whether all items have the same owner, so that only their urgency orders them.
    single: bool,
    /// Id and service of each endpoint, sorted.
    services: Vec<(Arc<str>, Arc<str>)>,
    /// Running items by service and workspace, sorted.
    counts: Vec<(Group, usize)>,
}

impl Shares {
    /// Counts the running items, unless all items have the same owner.
    pub(super) fn new(
        endpoints: &[EndpointLoad],
        waiting: &[WaitingItem],
        running: &[RunningItem],
    ) -> Shares {
        let mut owners = waiting.iter().map(|w| &w.owner).chain(running.iter().map(|r| &r.owner));
        let first = owners.next();
        let single = owners.all(|owner| Some(owner) == first);
        let mut shares = Shares { single, services: Vec::new(), counts: Vec::new() };
        if single {
            return shares;
        }
        shares.services = endpoints.iter().map(|e| (e.id.clone(), e.service.clone())).collect();
        shares.services.sort();
        let mut groups: Vec<Group> = running.iter().map(|r| shares.group(r)).collect();
        groups.sort();
        shares.counts =
            groups.chunk_by(|a, b| a == b).map(|same| (same[0].clone(), same.len())).collect();
        shares
    }

    fn group(&self, item: &RunningItem) -> Group {
        let found = self.services.binary_search_by(|(id, _)| id.cmp(&item.endpoint));
        // An endpoint that has left the directory belongs to no service.
        let service = found.map_or_else(|_| Arc::default(), |at| self.services[at].1.clone());
        (service, item.owner.workspace.clone())
    }

    /// Position of a group in `counts`.
    fn find(&self, group: &Group) -> Result<usize, usize> {
        self.counts.binary_search_by(|(known, _)| known.cmp(group))
    }

    /// Waiting items in the order in which they get slots: by lateness, by the priority of their
    /// workspaces, and by the number of items that their workspace runs once they have started.
    pub(super) fn order<'a>(&self, waiting: &'a [WaitingItem]) -> Vec<&'a WaitingItem> {
        let mut queue: Vec<&WaitingItem> = waiting.iter().collect();
        if self.single {
            queue.sort_by_key(|w| w.urgency);
            return queue;
        }
        fn group(w: &WaitingItem) -> (&Arc<str>, &Option<Arc<str>>) {
            (&w.service, &w.owner.workspace)
        }
        queue.sort_by(|a, b| (group(a), a.urgency).cmp(&(group(b), b.urgency)));
        let mut ranked: Vec<(usize, &WaitingItem)> = Vec::with_capacity(queue.len());
        for items in queue.chunk_by(|a, b| group(a) == group(b)) {
            let (service, workspace) = group(items[0]);
            let running = self.find(&(service.clone(), workspace.clone()));
            let running = running.map_or(0, |at| self.counts[at].1);
            ranked.extend(items.iter().enumerate().map(|(n, item)| (running + n, *item)));
        }
        ranked.sort_by_key(|(rank, w)| (w.urgency.late, w.owner.priority, *rank, w.urgency.job));
        ranked.into_iter().map(|(_, item)| item).collect()
    }

    /// Takes the `count` least urgent of the items to be stopped, and returns their indices.
    pub(super) fn take_least_urgent(
        &mut self,
        items: Vec<&RunningItem>,
        count: usize,
    ) -> Vec<usize> {
        let mut taken = self.least_urgent_first(items);
        taken.truncate(count);
        taken.iter().for_each(|item| self.remove(item));
        taken.into_iter().map(|r| r.index).collect()
    }

    /// Counts an item no more.
    pub(super) fn remove(&mut self, item: &RunningItem) {
        if self.single {
            return;
        }
        if let Ok(at) = self.find(&self.group(item)) {
            self.counts[at].1 = self.counts[at].1.saturating_sub(1);
        }
    }

    /// Items in the order in which they are stopped: late ones first, then by the priority of their
    /// workspaces, then those of the workspace that runs the most.
    pub(super) fn least_urgent_first<'a>(
        &self,
        mut items: Vec<&'a RunningItem>,
    ) -> Vec<&'a RunningItem> {
        items.sort_by_key(|r| Reverse((r.urgency, r.run_number)));
        if self.single {
            return items;
        }
        let mut grouped: Vec<(usize, &RunningItem)> = items
            .into_iter()
            .filter_map(|r| self.find(&self.group(r)).ok().map(|at| (at, r)))
            .collect();
        grouped.sort_by_key(|(at, _)| *at);
        // Items that the workspace runs when the others before it have stopped.
        let mut ranked: Vec<(usize, &RunningItem)> = Vec::with_capacity(grouped.len());
        for same in grouped.chunk_by(|a, b| a.0 == b.0) {
            let running = self.counts[same[0].0].1;
            let rank =
                |(n, (_, r)): (usize, &(usize, &'a RunningItem))| (running.saturating_sub(n), *r);
            ranked.extend(same.iter().enumerate().map(rank));
        }
        ranked.sort_by_key(|(rank, r)| {
            Reverse((r.urgency.late, r.owner.priority, *rank, r.urgency.job, r.run_number))
        });
        ranked.into_iter().map(|(_, r)| r).collect()
    }
}

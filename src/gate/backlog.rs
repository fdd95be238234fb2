//! Batch items that were granted and wait for a slot.

use crate::gate;
use crate::gate::queue;
use std::collections::VecDeque;
use std::time::Duration;

/// An item that could not start within this time goes back to its job, because another endpoint
/// may be idle.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// The same for an item that was preempted: its tokens would be lost.
const MAX_RESUMED_WAIT: Duration = Duration::from_secs(60);

/// Request that waits in order of arrival.
#[derive(Clone, Debug)]
pub struct Item {
    /// The request.
    pub request: queue::Request,
    /// Its class; online requests wait here only without the policy.
    pub class: gate::Class,
    /// When it was submitted.
    pub submitted: Duration,
    /// Preemptions so far.
    pub preemptions: u32,
    /// When it was started for the first time, if it was preempted.
    pub first_start: Option<Duration>,
}

impl Item {
    fn is_late(&self, now: Duration) -> bool {
        let wait = if self.preemptions > 0 { MAX_RESUMED_WAIT } else { MAX_WAIT };
        now >= self.request.deadline || now >= self.submitted + wait
    }
}

/// Waiting items: resumed ones by age, then new ones in order of arrival.
#[derive(Debug, Default)]
pub struct Backlog {
    items: VecDeque<Item>,
}

impl Backlog {
    /// Number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether the item waits.
    pub fn contains(&self, id: u64) -> bool {
        self.items.iter().any(|item| item.request.id == id)
    }

    /// Adds an item. Resumed items go first because their tokens are held in memory.
    pub fn push(&mut self, item: Item) {
        let first_start = |item: &Item| item.first_start.unwrap_or(Duration::MAX);
        let at = self.items.partition_point(|other| first_start(other) <= first_start(&item));
        self.items.insert(at, item);
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<Item> {
        self.items.pop_front()
    }

    /// Removes an item.
    pub fn remove(&mut self, id: u64) -> Option<Item> {
        let at = self.items.iter().position(|item| item.request.id == id)?;
        self.items.remove(at)
    }

    /// Removes and returns the items that have waited too long.
    pub fn expire(&mut self, now: Duration) -> VecDeque<Item> {
        let (late, kept) =
            std::mem::take(&mut self.items).into_iter().partition(|item| item.is_late(now));
        self.items = kept;
        late
    }

    /// Removes and returns every item.
    pub fn drain(&mut self) -> VecDeque<Item> {
        std::mem::take(&mut self.items)
    }
}

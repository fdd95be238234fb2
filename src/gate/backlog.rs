//! Batch items that were granted and wait for a slot.

use crate::gate;
use crate::gate::queue;
use std::collections::VecDeque;
use std::time::Duration;

/// An item that could not start within this time goes back to its job, because another endpoint
/// may be idle.
const WAIT: Duration = Duration::from_secs(10);
/// The same for an item that was preempted: its tokens would be lost.
const RESUMED_WAIT: Duration = Duration::from_secs(60);

/// Request that waits in order of arrival.
#[derive(Clone, Debug)]
pub struct Item {
    /// The request.
    pub waiting: queue::Waiting,
    /// Its class; online requests wait here only without the policy.
    pub class: gate::Class,
    /// When it was submitted.
    pub since: Duration,
    /// Preemptions so far.
    pub preempted: u32,
    /// When it was started for the first time, if it was preempted.
    pub first: Option<Duration>,
}

impl Item {
    fn is_late(&self, now: Duration) -> bool {
        let wait = if self.preempted > 0 { RESUMED_WAIT } else { WAIT };
        now >= self.waiting.deadline || now >= self.since + wait
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
        self.items.iter().any(|item| item.waiting.id == id)
    }

    /// Adds an item. Resumed items go first because their tokens are held in memory.
    pub fn push(&mut self, item: Item) {
        let age = |item: &Item| item.first.unwrap_or(Duration::MAX);
        let at = self.items.partition_point(|other| age(other) <= age(&item));
        self.items.insert(at, item);
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<Item> {
        self.items.pop_front()
    }

    /// Removes an item.
    pub fn remove(&mut self, id: u64) -> Option<Item> {
        let at = self.items.iter().position(|item| item.waiting.id == id)?;
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

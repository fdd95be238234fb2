//! Queue of batch items that the agent has pulled and that wait for a slot.

use crate::gate;
use crate::gate::queue;
use std::collections::VecDeque;
use std::time::Duration;

/// Longest wait of a new item. After that it is returned to its job, because another endpoint may
/// be idle.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Longest wait of a preempted item. Longer than that of a new one, because the tokens that it has
/// produced are lost when it is returned.
const MAX_RESUMED_WAIT: Duration = Duration::from_secs(60);

/// Batch item that waits for a slot. Without online priority, also an online request.
#[derive(Clone, Debug)]
pub struct Item {
    /// The request.
    pub request: queue::Request,
    /// Class of the request; `Online` occurs only without online priority.
    pub class: gate::Class,
    /// When the item was submitted, for a resumed item most recently.
    pub submitted: Duration,
    /// Preemptions so far.
    pub preemptions: u32,
    /// When the item was started for the first time; `None` if it was never preempted.
    pub first_start: Option<Duration>,
}

impl Item {
    fn is_late(&self, now: Duration) -> bool {
        let wait = if self.preemptions > 0 { MAX_RESUMED_WAIT } else { MAX_WAIT };
        now >= self.request.deadline || now >= self.submitted + wait
    }
}

/// Waiting items: resumed ones first, by their first start, then new ones in order of arrival.
#[derive(Debug, Default)]
pub struct Backlog {
    items: VecDeque<Item>,
}

impl Backlog {
    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether the item with this id waits.
    pub fn contains(&self, id: u64) -> bool {
        self.items.iter().any(|item| item.request.id == id)
    }

    /// Adds an item. Resumed items go first because the agent holds their tokens in memory.
    pub fn push(&mut self, item: Item) {
        let first_start = |item: &Item| item.first_start.unwrap_or(Duration::MAX);
        let at = self.items.partition_point(|other| first_start(other) <= first_start(&item));
        self.items.insert(at, item);
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<Item> {
        self.items.pop_front()
    }

    /// Removes and returns the item with this id, if it waits.
    pub fn remove(&mut self, id: u64) -> Option<Item> {
        let at = self.items.iter().position(|item| item.request.id == id)?;
        self.items.remove(at)
    }

    /// Removes and returns the items that have waited too long or whose deadline has passed.
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

//! Bounded memory of the ids that have left the gate.

use crate::sorted;
use std::collections::VecDeque;
use std::time::Duration;

/// How an id left the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Ran and ended, by itself or by cancellation.
    Finished,
    /// Refused; it has not run.
    Refused,
    /// Withdrawn before it ran, possibly before it arrived.
    Withdrawn,
    /// Preempted; the same id may be submitted again.
    Preempted {
        /// Preemptions so far.
        count: u32,
        /// When it was started for the first time.
        first: Duration,
    },
}

/// Ids that have left the gate, bounded in count and time.
#[derive(Debug)]
pub struct Ended {
    ends: sorted::SortedMap<u64, (Duration, End)>,
    order: VecDeque<(Duration, u64)>,
    bound: usize,
    keep: Duration,
}

impl Ended {
    /// Returns an empty memory for at most `bound` ids, each kept for `keep`.
    pub fn new(bound: usize, keep: Duration) -> Ended {
        Ended { ends: sorted::SortedMap::new(), order: VecDeque::new(), bound, keep }
    }

    /// Returns how `id` left the gate, if that is still known.
    pub fn get(&self, id: u64) -> Option<End> {
        self.ends.get(&id).map(|(_, end)| *end)
    }

    /// Records how `id` left the gate.
    pub fn insert(&mut self, now: Duration, id: u64, end: End) {
        self.ends.insert(id, (now, end));
        self.order.push_back((now, id));
        self.expire(now);
    }

    /// Forgets `id`.
    pub fn remove(&mut self, id: u64) {
        self.ends.remove(&id);
    }

    /// Forgets the ids whose time has passed, and the oldest ones beyond the bound.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(at, id)) = self.order.front() {
            if self.order.len() <= self.bound && at + self.keep > now {
                return;
            }
            self.order.pop_front();
            // An id that was recorded again has a later record in the order.
            if self.ends.get(&id).is_some_and(|(last, _)| *last == at) {
                self.ends.remove(&id);
            }
        }
    }
}

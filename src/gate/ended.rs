//! Bounded memory of the ids that have left the gate.

use crate::sorted;
use std::collections::VecDeque;
use std::time::Duration;

/// How an id left the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Ran and ended, by itself or by cancellation.
    Finished,
    /// Refused; it has not run.
    Refused,
    /// Withdrawn before it ran, possibly before it arrived.
    Withdrawn,
    /// Preempted; the same id may be submitted again.
    Preempted {
        /// Preemptions so far.
        preemptions: u32,
        /// When it was started for the first time.
        first_start: Duration,
    },
}

/// Ids that have left the gate, bounded in count and time.
#[derive(Debug)]
pub struct Outcomes {
    outcomes: sorted::SortedMap<u64, (Duration, Outcome)>,
    order: VecDeque<(Duration, u64)>,
    capacity: usize,
    retention: Duration,
}

impl Outcomes {
    /// Returns an empty memory for at most `bound` ids, each kept for `keep`.
    pub fn new(capacity: usize, retention: Duration) -> Outcomes {
        Outcomes { outcomes: sorted::SortedMap::new(), order: VecDeque::new(), capacity, retention }
    }

    /// Returns how `id` left the gate, if that is still known.
    pub fn get(&self, id: u64) -> Option<Outcome> {
        self.outcomes.get(&id).map(|(_, outcome)| *outcome)
    }

    /// Records how `id` left the gate.
    pub fn insert(&mut self, now: Duration, id: u64, outcome: Outcome) {
        self.outcomes.insert(id, (now, outcome));
        self.order.push_back((now, id));
        self.expire(now);
    }

    /// Forgets `id`.
    pub fn remove(&mut self, id: u64) {
        self.outcomes.remove(&id);
    }

    /// Forgets the ids whose time has passed, and the oldest ones beyond the bound.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(at, id)) = self.order.front() {
            if self.order.len() <= self.capacity && at + self.retention > now {
                return;
            }
            self.order.pop_front();
            // An id that was recorded again has a later record in the order.
            if self.outcomes.get(&id).is_some_and(|(last, _)| *last == at) {
                self.outcomes.remove(&id);
            }
        }
    }
}

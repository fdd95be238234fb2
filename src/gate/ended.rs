//! Bounded table of the outcomes of attempts that have left the gate.

use crate::sorted;
use std::collections::VecDeque;
use std::time::Duration;

/// How an attempt left the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Ran and ended by itself or was cancelled.
    Finished,
    /// Refused before it ran.
    Refused,
    /// Withdrawn before it ran, possibly before it arrived.
    Withdrawn,
    /// Preempted. The same id may be submitted again.
    Preempted {
        /// Preemptions so far.
        preemptions: u32,
        /// When the attempt was started for the first time.
        first_start: Duration,
    },
}

/// Recent outcomes by attempt id, bounded in number and age.
#[derive(Debug)]
pub struct Outcomes {
    outcomes: sorted::SortedMap<u64, (Duration, Outcome)>,
    /// Time and id of each recorded outcome, oldest first.
    order: VecDeque<(Duration, u64)>,
    capacity: usize,
    retention: Duration,
}

impl Outcomes {
    /// Returns an empty table of at most `capacity` outcomes, each kept for `retention`.
    pub fn new(capacity: usize, retention: Duration) -> Outcomes {
        Outcomes { outcomes: sorted::SortedMap::new(), order: VecDeque::new(), capacity, retention }
    }

    /// Returns the outcome of `id`, unless it has expired.
    pub fn get(&self, id: u64) -> Option<Outcome> {
        self.outcomes.get(&id).map(|(_, outcome)| *outcome)
    }

    /// Records the outcome of `id`, replacing an earlier one.
    pub fn insert(&mut self, now: Duration, id: u64, outcome: Outcome) {
        self.outcomes.insert(id, (now, outcome));
        self.order.push_back((now, id));
        self.expire(now);
    }

    /// Removes the outcome of `id`.
    pub fn remove(&mut self, id: u64) {
        self.outcomes.remove(&id);
    }

    /// Removes outcomes older than the retention, and the oldest ones above the capacity.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(at, id)) = self.order.front() {
            if self.order.len() <= self.capacity && at + self.retention > now {
                return;
            }
            self.order.pop_front();
            // An id with a newer outcome stays until that one expires.
            if self.outcomes.get(&id).is_some_and(|(last, _)| *last == at) {
                self.outcomes.remove(&id);
            }
        }
    }
}

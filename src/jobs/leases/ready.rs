//! Items of one open job as the leader sees them while it grants them.

use crate::jobs::fairness;
use crate::jobs::table;
use crate::sorted;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Set of items, one bit each, from which the first one is taken in constant amortized time.
#[derive(Clone, Debug, Default)]
pub struct ItemSet {
    words: Vec<u64>,
    /// No word before this one has a bit.
    first_word: usize,
    count: u32,
}

impl ItemSet {
    /// Set with the given words; item `i` is bit `i % 64` of word `i / 64`.
    pub fn new(words: Vec<u64>) -> ItemSet {
        let count = words.iter().map(|w| w.count_ones()).sum();
        ItemSet { words, first_word: 0, count }
    }

    /// Number of items in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set has no item.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether the item is in the set.
    pub fn contains(&self, item: u32) -> bool {
        self.words.get(item as usize / 64).is_some_and(|w| w >> (item % 64) & 1 == 1)
    }

    /// Adds an item that the words have room for.
    pub fn insert(&mut self, item: u32) {
        let at = item as usize / 64;
        if at >= self.words.len() || self.contains(item) {
            return;
        }
        self.words[at] |= 1 << (item % 64);
        self.first_word = self.first_word.min(at);
        self.count += 1;
    }

    /// Removes an item and returns whether it was in the set.
    pub fn remove(&mut self, item: u32) -> bool {
        let present = self.contains(item);
        if present {
            self.words[item as usize / 64] &= !(1 << (item % 64));
            self.count -= 1;
        }
        present
    }

    /// Takes the first item.
    pub fn pop_first(&mut self) -> Option<u32> {
        while self.words.get(self.first_word).is_some_and(|w| *w == 0) {
            self.first_word += 1;
        }
        let word = self.words.get(self.first_word)?;
        let item = self.first_word as u32 * 64 + word.trailing_zeros();
        self.remove(item);
        Some(item)
    }
}

/// When and how an item in backoff becomes ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Time at which it becomes ready.
    pub until: Duration,
    /// Whether it is granted alone.
    pub alone: bool,
}

/// Open job. Each open item is in exactly one of `ready`, `alone`, `backoffs` and `holders`, or in
/// none of them while the loss of its lease is being committed.
#[derive(Debug)]
pub struct ScheduledJob {
    /// Name of the job.
    pub name: Arc<str>,
    /// Model that the items ask for.
    pub model: Arc<str>,
    /// Due time in milliseconds on the clock of the leases.
    pub due: i64,
    /// Items without a result.
    pub open: ItemSet,
    /// Items that can be granted together with others.
    pub ready: ItemSet,
    /// Items that can be granted alone.
    pub alone: BTreeSet<u32>,
    /// Items in backoff.
    pub backoffs: sorted::SortedMap<u32, Backoff>,
    /// Agents that hold a lease of an item.
    pub holders: sorted::SortedMap<u32, Arc<str>>,
    /// Place among the jobs of the model.
    pub scheduling: fairness::SchedulingState,
    /// Whether the job is entered there.
    pub queued: bool,
}

impl ScheduledJob {
    /// Job with all of its open items ready, except for those with failed attempts.
    pub fn new(
        job: table::OpenJob,
        due: i64,
        scheduling: fairness::SchedulingState,
    ) -> ScheduledJob {
        let open = ItemSet::new(job.open);
        let mut ready = open.clone();
        for delay in &job.delayed {
            ready.remove(delay.item);
        }
        ScheduledJob {
            name: job.job,
            model: job.model,
            due,
            open,
            ready,
            alone: BTreeSet::new(),
            backoffs: sorted::SortedMap::new(),
            holders: sorted::SortedMap::new(),
            scheduling,
            queued: false,
        }
    }

    /// Whether an item can be granted.
    pub fn is_ready(&self) -> bool {
        !self.ready.is_empty() || !self.alone.is_empty()
    }

    /// Makes an item ready.
    pub fn make_ready(&mut self, item: u32, alone: bool) {
        if alone {
            self.alone.insert(item);
        } else {
            self.ready.insert(item);
        }
    }

    /// Takes an item out of the ready and waiting ones. Returns whether it is granted alone, or
    /// `None` if it was not among them.
    pub fn remove_pending(&mut self, item: u32) -> Option<bool> {
        if self.ready.remove(item) {
            return Some(false);
        }
        if self.alone.remove(&item) {
            return Some(true);
        }
        self.backoffs.remove(&item).map(|wait| wait.alone)
    }
}

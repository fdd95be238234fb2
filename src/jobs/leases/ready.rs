//! Items of one open job: which are ready, in backoff or leased.

use crate::jobs::fairness;
use crate::jobs::table;
use crate::sorted;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Set of items, one bit each. Taking the first item takes amortized constant time.
#[derive(Clone, Debug, Default)]
pub struct ItemSet {
    words: Vec<u64>,
    /// Index of a word before which all words are 0.
    first_word: usize,
    count: u32,
}

impl ItemSet {
    /// Creates a set from its words; item `i` is bit `i % 64` of word `i / 64`.
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

    /// Adds an item. An item beyond the last word is ignored.
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

    /// Removes and returns the first item.
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

/// Backoff of an item after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Time at which the item becomes ready.
    pub until: Duration,
    /// Whether the item is granted alone.
    pub alone: bool,
}

/// Open job. Each open item is in exactly one of `ready`, `alone`, `backoffs` and `holders`, or in
/// none of them after its lease expired and until the failed attempt is committed.
#[derive(Debug)]
pub struct ScheduledJob {
    /// Name of the job.
    pub name: Arc<str>,
    /// Model that the items ask for.
    pub model: Arc<str>,
    /// Due time in milliseconds, on the clock of [`super::Leases::step`].
    pub due: i64,
    /// Items without a result.
    pub open: ItemSet,
    /// Items that can be granted together with others.
    pub ready: ItemSet,
    /// Items that can be granted, but only alone.
    pub alone: BTreeSet<u32>,
    /// Items in backoff after a failed attempt.
    pub backoffs: sorted::SortedMap<u32, Backoff>,
    /// Agent that holds the lease of each leased item.
    pub holders: sorted::SortedMap<u32, Arc<str>>,
    /// Scheduling state among the jobs of the model.
    pub scheduling: fairness::SchedulingState,
    /// Whether the job is in the queue of its model.
    pub queued: bool,
}

impl ScheduledJob {
    /// Creates a job whose open items are ready, except for those with failed attempts, which the
    /// caller makes ready or puts into backoff.
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

    /// Makes an item ready; `alone` says whether it is granted alone.
    pub fn make_ready(&mut self, item: u32, alone: bool) {
        if alone {
            self.alone.insert(item);
        } else {
            self.ready.insert(item);
        }
    }

    /// Removes an item from the ready items and from the backoffs. Returns whether it is granted
    /// alone, or `None` if it was in neither.
    pub fn remove_pending(&mut self, item: u32) -> Option<bool> {
        if self.ready.remove(item) {
            return Some(false);
        }
        if self.alone.remove(&item) {
            return Some(true);
        }
        self.backoffs.remove(&item).map(|backoff| backoff.alone)
    }
}

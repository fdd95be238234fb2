//! Items of one open job as the leader sees them while it grants them.

use crate::jobs::fairness;
use crate::jobs::table;
use crate::sorted;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Set of items, one bit each, from which the first one is taken in constant amortized time.
#[derive(Clone, Debug, Default)]
pub struct Bits {
    words: Vec<u64>,
    /// No word before this one has a bit.
    first: usize,
    count: u32,
}

impl Bits {
    /// Set with the given words; item `i` is bit `i % 64` of word `i / 64`.
    pub fn new(words: Vec<u64>) -> Bits {
        let count = words.iter().map(|w| w.count_ones()).sum();
        Bits { words, first: 0, count }
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
        self.first = self.first.min(at);
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
    pub fn take(&mut self) -> Option<u32> {
        while self.words.get(self.first).is_some_and(|w| *w == 0) {
            self.first += 1;
        }
        let word = self.words.get(self.first)?;
        let item = self.first as u32 * 64 + word.trailing_zeros();
        self.remove(item);
        Some(item)
    }
}

/// When and how an item in backoff becomes ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Time at which it becomes ready.
    pub until: Duration,
    /// Whether it is granted alone.
    pub alone: bool,
}

/// Open job. Each open item is in exactly one of `ready`, `alone`, `waiting` and `live`, or in
/// none of them while the loss of its lease is being committed.
#[derive(Debug)]
pub struct ReadyJob {
    /// Name of the job.
    pub name: Arc<str>,
    /// Model that the items ask for.
    pub model: Arc<str>,
    /// Due time in milliseconds on the clock of the leases.
    pub due: i64,
    /// Items without a result.
    pub open: Bits,
    /// Items that can be granted together with others.
    pub ready: Bits,
    /// Items that can be granted alone.
    pub alone: BTreeSet<u32>,
    /// Items in backoff.
    pub waiting: sorted::SortedMap<u32, Wait>,
    /// Agents that hold a lease of an item.
    pub live: sorted::SortedMap<u32, Arc<str>>,
    /// Place among the jobs of the model.
    pub place: fairness::Place,
    /// Whether the job is entered there.
    pub entered: bool,
}

impl ReadyJob {
    /// Job with all of its open items ready, except for those with failed attempts.
    pub fn new(job: table::OpenJob, due: i64, place: fairness::Place) -> ReadyJob {
        let open = Bits::new(job.open);
        let mut ready = open.clone();
        for delay in &job.delayed {
            ready.remove(delay.item);
        }
        ReadyJob {
            name: job.job,
            model: job.model,
            due,
            open,
            ready,
            alone: BTreeSet::new(),
            waiting: sorted::SortedMap::new(),
            live: sorted::SortedMap::new(),
            place,
            entered: false,
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
    pub fn withhold(&mut self, item: u32) -> Option<bool> {
        if self.ready.remove(item) {
            return Some(false);
        }
        if self.alone.remove(&item) {
            return Some(true);
        }
        self.waiting.remove(&item).map(|wait| wait.alone)
    }
}

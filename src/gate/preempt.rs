//! Choice of the batch streams that make room for online requests.

use crate::gate;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Why a running stream is being cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// To make room; the item will be submitted again.
    Preempted,
    /// Its caller withdrew it.
    Withdrawn,
}

/// Stream that occupies a slot.
#[derive(Clone, Debug)]
pub struct Running {
    /// Class of the request.
    pub class: gate::Class,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// When it was started.
    pub started: Duration,
    /// Deadline of the request.
    pub deadline: Duration,
    /// Time of the latest token.
    pub token: Option<Duration>,
    /// Preemptions so far.
    pub preempted: u32,
    /// Whether and since when it is being cancelled.
    pub stop: Option<(Duration, Stop)>,
}

impl Running {
    /// Whether this is a batch stream that is not being cancelled.
    pub fn is_batch(&self) -> bool {
        self.class == gate::Class::Batch && self.stop.is_none()
    }
}

/// Bounds that ensure that batch makes progress.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Batch streams that online requests never displace.
    pub floor: u32,
    /// Preemptions of an item after which it is protected.
    pub preemptions: u32,
}

impl Bounds {
    /// Whether an item with so many preemptions may no longer be preempted.
    ///
    /// Protected items run within the floor only; otherwise they would block online requests.
    /// Without a floor no item is protected.
    pub fn protects(&self, preempted: u32) -> bool {
        self.floor > 0 && preempted >= self.preemptions
    }

    /// Number of running protected items.
    pub fn protected(&self, running: &sorted::SortedMap<u64, Running>) -> u32 {
        running.values().filter(|r| r.is_batch() && self.protects(r.preempted)).count() as u32
    }

    /// Ids of up to `wanted` batch streams to cancel, youngest first, such that at least `keep`
    /// batch streams, and never fewer than the floor, go on.
    pub fn victims(
        &self,
        running: &sorted::SortedMap<u64, Running>,
        wanted: usize,
        keep: u32,
    ) -> Vec<u64> {
        let batch = running.values().filter(|r| r.is_batch()).count();
        let spare = batch.saturating_sub(keep.max(self.floor) as usize);
        let mut open: Vec<(Duration, u64)> = running
            .iter()
            .filter(|(_, r)| r.is_batch() && !self.protects(r.preempted))
            .map(|(id, r)| (r.started, *id))
            .collect();
        open.sort_unstable_by(|a, b| b.cmp(a));
        open.into_iter().take(wanted.min(spare)).map(|(_, id)| id).collect()
    }
}

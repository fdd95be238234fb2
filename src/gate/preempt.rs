//! Choice of the batch streams that make room for online requests.

use crate::gate;
use crate::sorted;
use std::cmp::Reverse;
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
    /// When it was started, most recently.
    pub started: Duration,
    /// When it was started for the first time.
    pub first: Duration,
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
    /// Ids of up to `wanted` batch streams to cancel, such that at least the floor goes on.
    ///
    /// The youngest go first. Age counts from the first start: counted from the latest start, a
    /// resumed stream would be the youngest again and be preempted over and over. Streams that
    /// reached the bound on preemptions are chosen last, so that they are displaced only while
    /// more of them run than the floor holds. Exempting them altogether would let them block
    /// online requests.
    pub fn victims(&self, running: &sorted::SortedMap<u64, Running>, wanted: usize) -> Vec<u64> {
        let batch = running.iter().filter(|(_, r)| r.is_batch());
        let mut batch: Vec<(bool, Reverse<(Duration, u64)>)> = batch
            .map(|(id, r)| (r.preempted >= self.preemptions, Reverse((r.first, *id))))
            .collect();
        batch.sort_unstable();
        let spare = batch.len().saturating_sub(self.floor as usize);
        batch.into_iter().take(wanted.min(spare)).map(|(_, Reverse((_, id)))| id).collect()
    }
}

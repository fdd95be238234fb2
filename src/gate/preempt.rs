//! Choice of the batch streams that make room for online requests.

use crate::gate;
use crate::sorted;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Why a running stream is being cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// To make room; the item will be submitted again.
    Preempted,
    /// Its caller withdrew it.
    Withdrawn,
}

/// Stream that occupies a slot.
#[derive(Clone, Debug)]
pub struct RunningStream {
    /// Class of the request.
    pub class: gate::Class,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// When it was started, most recently.
    pub started: Duration,
    /// When it was started for the first time.
    pub first_start: Duration,
    /// Deadline of the request.
    pub deadline: Duration,
    /// Time of the latest token.
    pub last_token: Option<Duration>,
    /// Preemptions so far.
    pub preemptions: u32,
    /// Whether and since when it is being cancelled.
    pub cancelling: Option<(Duration, CancelReason)>,
}

impl RunningStream {
    /// Whether this is a batch stream that is not being cancelled.
    pub fn is_active_batch(&self) -> bool {
        self.class == gate::Class::Batch && self.cancelling.is_none()
    }
}

/// Protection that ensure that batch makes progress.
#[derive(Clone, Copy, Debug)]
pub struct Protection {
    /// Batch streams that online requests never displace.
    pub floor: u32,
    /// Preemptions of an item after which it is protected.
    pub max_preemptions: u32,
}

impl Protection {
    /// Ids of up to `wanted` batch streams to cancel, such that at least the floor goes on.
    ///
    /// The youngest go first. Age counts from the first start: counted from the latest start, a
    /// resumed stream would be the youngest again and be preempted over and over. Streams that
    /// reached the bound on preemptions are chosen last, so that they are displaced only while
    /// more of them run than the floor holds. Exempting them altogether would let them block
    /// online requests.
    pub fn victims(
        &self,
        running: &sorted::SortedMap<u64, RunningStream>,
        wanted: usize,
    ) -> Vec<u64> {
        let batch = running.iter().filter(|(_, r)| r.is_active_batch());
        let mut batch: Vec<(bool, Reverse<(Duration, u64)>)> = batch
            .map(|(id, r)| (r.preemptions >= self.max_preemptions, Reverse((r.first_start, *id))))
            .collect();
        batch.sort_unstable();
        let spare = batch.len().saturating_sub(self.floor as usize);
        batch.into_iter().take(wanted.min(spare)).map(|(_, Reverse((_, id)))| id).collect()
    }
}

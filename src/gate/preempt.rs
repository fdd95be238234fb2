//! Selects the batch streams that are preempted to make room for online requests.

use crate::gate;
use crate::sorted;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Why a running stream is being cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Preempted to make room. The item will be submitted again.
    Preempted,
    /// Withdrawn.
    Withdrawn,
}

/// Stream that occupies a slot of the engine.
#[derive(Clone, Debug)]
pub struct RunningStream {
    /// Class of the request.
    pub class: gate::Class,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// When the stream was last started.
    pub started: Duration,
    /// When the stream was started for the first time.
    pub first_start: Duration,
    /// Time by which the first token must be produced.
    pub deadline: Duration,
    /// When tokens were last reported.
    pub last_token: Option<Duration>,
    /// Preemptions so far.
    pub preemptions: u32,
    /// Since when and why the stream is being cancelled, if it is.
    pub cancelling: Option<(Duration, CancelReason)>,
}

impl RunningStream {
    /// Whether this is a batch stream that is not being cancelled.
    pub fn is_active_batch(&self) -> bool {
        self.class == gate::Class::Batch && self.cancelling.is_none()
    }
}

/// Limits on preemption, so that batch makes progress.
#[derive(Clone, Copy, Debug)]
pub struct Protection {
    /// Number of batch streams that are never preempted.
    pub floor: u32,
    /// Number of preemptions after which an item is preempted last.
    pub max_preemptions: u32,
}

impl Protection {
    /// Returns the ids of up to `wanted` batch streams to cancel, leaving at least the floor
    /// running.
    ///
    /// The youngest streams come first. Age counts from the first start: counted from the latest
    /// start, a resumed stream would be the youngest again and be preempted over and over. Streams
    /// that reached the maximum of preemptions come last, so that they are preempted only while
    /// more of them run than the floor holds. Exempting them altogether would let them block online
    /// requests.
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

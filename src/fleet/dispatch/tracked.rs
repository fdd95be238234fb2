//! Items that the dispatcher has started, and their runs.

use crate::fleet::peer;
use crate::fleet::plan;
use crate::fleet::progress::Progress;
use crate::fleet::slots;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::task;
use tokio::time;

/// Time for which an item waits for an endpoint of the build that began its output. After that it
/// starts over at another build. Running it again takes about as long.
const BUILD_WAIT: Duration = Duration::from_secs(2);

/// State of an item on the leader.
pub(super) enum ItemState {
    /// Runs at an endpoint; `number` is that of the run.
    Running {
        endpoint: Arc<str>,
        number: u64,
        since: time::Instant,
        run: RunHandle,
        /// Whether the endpoint has been silent for long, so that another one may take over.
        silent: bool,
        /// Events that had arrived before the run.
        events_before: u64,
    },
    /// Waits until it may run again.
    BackingOff {
        until: time::Instant,
        /// Number of the run that was stopped. Its last events may still arrive.
        stopped: Option<u64>,
    },
    /// Its output is complete. Earlier output is being stored before the rest can be committed.
    Finished,
    /// Its outcome is being committed.
    Committing,
    /// Its output was too long. It starts over once the output that is being stored is dropped as
    /// well.
    Discarded,
}

/// Numbers of runs on other hosts that are to stop.
pub(super) type Stops = Arc<Mutex<Vec<u64>>>;

/// Run of an item.
pub(super) enum RunHandle {
    /// On this host. The task holds the guard of the request.
    Local(task::AbortHandle),
    /// On another host.
    Delegated { number: u64, stops: Stops, _guard: slots::RequestGuard },
}

impl RunHandle {
    /// Stops the run unless it has ended.
    pub(super) fn stop(&self) {
        match self {
            RunHandle::Local(task) => task.abort(),
            RunHandle::Delegated { number, stops, .. } => peer::lock(stops).push(*number),
        }
    }
}

/// Item that this leader has started or is abandoning.
pub(super) struct TrackedItem {
    pub(super) state: ItemState,
    pub(super) progress: Progress,
    /// How often it was stopped.
    pub(super) stops: plan::Stops,
}

impl TrackedItem {
    /// Time for which the item has run, including its current run.
    pub(super) fn run_time(&self, now: time::Instant) -> Duration {
        match &self.state {
            ItemState::Running { since, .. } => self.progress.run_time + (now - *since),
            _ => self.progress.run_time,
        }
    }

    /// Whether its current run has brought events after which another run can go on.
    pub(super) fn has_progressed(&self) -> bool {
        match &self.state {
            ItemState::Running { events_before, .. } => {
                self.progress.events > *events_before && self.progress.is_resumable()
            }
            _ => false,
        }
    }

    /// Id of the endpoint that runs the item.
    pub(super) fn endpoint(&self) -> Option<&Arc<str>> {
        match &self.state {
            ItemState::Running { endpoint, .. } => Some(endpoint),
            _ => None,
        }
    }

    /// Build at which the item has to go on; `None` if it may start over, since it has waited for
    /// long.
    pub(super) fn pinned_build(&self, now: time::Instant) -> Option<Arc<str>> {
        let waits = match self.state {
            ItemState::BackingOff { until, .. } => {
                now.saturating_duration_since(until) < BUILD_WAIT
            }
            // A silent endpoint may still go on.
            ItemState::Running { .. } => true,
            ItemState::Discarded | ItemState::Finished | ItemState::Committing => false,
        };
        self.progress.build().filter(|_| waits).cloned()
    }
}

impl Drop for TrackedItem {
    fn drop(&mut self) {
        if let ItemState::Running { run, .. } = &self.state {
            run.stop();
        }
    }
}

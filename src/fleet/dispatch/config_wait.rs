//! Decides whether the configuration of this host may decide on the items of a job. Free of I/O.
//!
//! A leader that is cut off from most control hosts, or that has just started, may hold an older
//! configuration than the entry that accepted a job. It may lack the route of the job, or name
//! another service for it, so the job waits until the leader holds the version of its acceptance.
//! That version no longer exists if the control hosts have lost their disks. This is certain once a
//! quorum of them confirms an older version as the newest, in answer to a question that was asked
//! after the job had been accepted.

use std::sync::Arc;
use std::time::Duration;
use tokio::time;

/// Interval between questions for the newest version while jobs wait.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Newest version of the configuration that a quorum of the control group has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedVersion {
    /// The version.
    pub version: u64,
    /// Time at which the control group was asked.
    pub asked: time::Instant,
}

/// Jobs that wait for a configuration.
#[derive(Debug, Default)]
pub struct ConfigWait {
    /// Ids of the jobs that waited at the last plan, sorted.
    jobs: Vec<Arc<str>>,
    confirmed: Option<ConfirmedVersion>,
    /// Time of the last question.
    asked: Option<time::Instant>,
}

impl ConfigWait {
    /// Whether a host that holds the version `held` may decide on a job that was accepted under
    /// `accepted` and that this host first saw at `seen`.
    pub fn may_decide(&self, held: u64, accepted: u64, seen: time::Instant) -> bool {
        let is_lost =
            |c: ConfirmedVersion| c.asked >= seen && c.version < accepted && c.version <= held;
        accepted <= held || self.confirmed.is_some_and(is_lost)
    }

    /// Records the jobs that wait now. Returns those that did not wait before.
    pub fn record_waiting(&mut self, mut jobs: Vec<Arc<str>>) -> Vec<Arc<str>> {
        jobs.sort();
        let mut new = jobs.clone();
        new.retain(|job| self.jobs.binary_search(job).is_err());
        self.jobs = jobs;
        new
    }

    /// Number of jobs that wait.
    pub fn count(&self) -> usize {
        self.jobs.len()
    }

    /// Whether to ask the control group for its newest version now.
    pub fn is_question_due(&mut self, now: time::Instant) -> bool {
        let due = !self.jobs.is_empty() && self.asked.is_none_or(|at| now - at >= ASK_INTERVAL);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Records an answer of the control group.
    pub fn record_confirmed(&mut self, confirmed: ConfirmedVersion) {
        if self.confirmed.is_none_or(|known| known.asked <= confirmed.asked) {
            self.confirmed = Some(confirmed);
        }
    }
}

//! Verdict on one quarantined cause: which of its trials have failed.

use crate::fleet::quarantine::Cause;
use crate::fleet::quarantine::Quarantined;
use serde::Deserialize;
use serde::Serialize;

/// Longest time between the crash under a trial and another crash that explains it.
const COINCIDENCE_MS: u64 = 250;
/// Trials of one cause that may end with a crash beside others before each of them counts as failed.
const MAX_COINCIDENT_TRIALS: u32 = 2;

/// Quarantined cause and the outcome of its trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Verdict {
    /// What other hosts are told.
    pub(super) quarantined: Quarantined,
    /// Number of the last trial under which an endpoint crashed.
    crashed_trial: u32,
    /// Time of the crash of the last failed trial in milliseconds of Unix time; 0 if there is none.
    failed_at: u64,
    /// Trials under which an endpoint crashed at the same time as others.
    coincident: u32,
}

impl Verdict {
    /// Creates the verdict on a cause of which no trial has ended.
    pub(super) fn new(quarantined: Quarantined) -> Verdict {
        Verdict { quarantined, crashed_trial: 0, failed_at: 0, coincident: 0 }
    }

    pub(super) fn cause(&self) -> Cause {
        self.quarantined.cause
    }

    /// Records that an endpoint crashed with the cause at `at`; `is_coincident` tells whether others
    /// crashed without it at the same time.
    pub(super) fn record_crash(&mut self, at: u64, is_coincident: bool) {
        self.quarantined.crashes += 1;
        if self.quarantined.trials == self.crashed_trial {
            return;
        }
        self.crashed_trial = self.quarantined.trials;
        if is_coincident && self.coincident < MAX_COINCIDENT_TRIALS {
            self.coincident += 1;
        } else {
            self.quarantined.failed += 1;
            self.failed_at = at;
        }
    }

    /// Records that an endpoint crashed without the cause at `at`: the last trial may have failed for
    /// the same reason. Returns whether that changes the verdict.
    pub(super) fn record_other_crash(&mut self, at: u64) -> bool {
        let excuses = self.coincident < MAX_COINCIDENT_TRIALS && coincide(self.failed_at, at);
        if excuses {
            self.coincident += 1;
            self.quarantined.failed = self.quarantined.failed.saturating_sub(1);
            self.failed_at = 0;
        }
        excuses
    }
}

/// Whether two crashes occurred at the same time; 0 is an unknown time.
pub(super) fn coincide(a: u64, b: u64) -> bool {
    a != 0 && b != 0 && a.abs_diff(b) <= COINCIDENCE_MS
}

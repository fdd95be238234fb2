//! Trials of quarantined causes.

use crate::fleet::quarantine::Cause;
use crate::fleet::quarantine::watch;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Trials of quarantined causes that were granted to a request or an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    causes: Vec<Cause>,
    /// Time of the first grant, at the host that got it.
    granted: Duration,
    /// Whether an endpoint may have run it.
    sent: bool,
}

impl Trial {
    /// Records that the trial of a cause was granted at `now`. Earlier trials are over if they were
    /// sent.
    pub fn grant(&mut self, now: Duration, cause: Cause) {
        if self.sent {
            *self = Trial::default();
        }
        if self.causes.is_empty() {
            self.granted = now;
        }
        self.causes.push(cause);
    }

    /// Ends the trials if they were granted too long ago to be sent now.
    pub fn expire(&mut self, now: Duration) {
        if !self.sent && self.is_expired(now) {
            *self = Trial::default();
        }
    }

    /// Whether the trials were granted so long ago that others may have been granted since.
    pub fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.granted) >= watch::TRIAL_VALIDITY
    }

    /// Records whether an endpoint may have run the request or item since the grant.
    pub fn set_sent(&mut self, sent: bool) {
        self.sent = sent && !self.causes.is_empty();
    }

    /// Whether an endpoint may have run the request or item since the grant.
    pub fn is_sent(&self) -> bool {
        self.sent
    }

    /// Causes that may not be sent while they are quarantined: all but those whose trial this is.
    pub fn checked(&self, causes: &[Cause]) -> Vec<Cause> {
        let is_checked = |cause: &Cause| self.sent || !self.causes.contains(cause);
        causes.iter().copied().filter(is_checked).collect()
    }
}

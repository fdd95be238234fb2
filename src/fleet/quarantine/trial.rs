//! Trials of quarantined causes.

use crate::fleet::quarantine::Cause;
use serde::Deserialize;
use serde::Serialize;

/// Trials of quarantined causes that were granted to a request or an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    causes: Vec<Cause>,
    /// Whether an endpoint may have run it.
    sent: bool,
}

impl Trial {
    /// Records that the trial of a cause was granted. Earlier trials are over if they were sent.
    pub fn grant(&mut self, cause: Cause) {
        if self.sent {
            *self = Trial::default();
        }
        self.causes.push(cause);
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

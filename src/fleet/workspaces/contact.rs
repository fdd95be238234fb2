//! Tells whether the configuration of an entry is known to be current. Free of I/O.
//!
//! An entry learns of a new configuration from the control hosts that it reaches. It may have missed
//! one after a start, when a control host that lags behind may have sent it an older document, after
//! its process did not run for a while, and while it was out of contact. In these cases a quorum of
//! the control group confirms the version before the configuration counts as current again.

use crate::fleet::quarantine;
use std::time::Duration;

/// Time between two observations after which the process counts as frozen meanwhile. Revoked keys are
/// to stop working within 2.5 s, of which a change takes up to 1.4 s to reach an entry that runs.
pub const FREEZE_LIMIT: Duration = Duration::from_secs(1);

/// Time after which an entry serves a configuration that nobody has confirmed since its start, if
/// nothing shows that there are workspaces. As long as the wait for the quarantined causes.
pub const UNCONFIRMED_TIMEOUT: Duration = quarantine::CONFIRM_TIMEOUT;

/// What is known about the configuration of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is current, apart from changes that are on their way.
    Current,
    /// The process has started, and no quorum has confirmed the configuration.
    Starting,
    /// The process did not run for a while. It has been running again for this long, and no quorum has
    /// confirmed the configuration since.
    Resumed(Duration),
    /// Contact with the control hosts was lost this long ago, and no quorum has confirmed the
    /// configuration since.
    Lost(Duration),
}

/// Why the configuration may be outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    Start,
    Freeze { resumed: Duration },
    Loss { since: Duration },
}

/// Contact of an entry with the control hosts, as observed at short intervals.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    /// Time of the last observation.
    observed: Duration,
    /// Why the configuration may be outdated; `None` if it is current.
    doubt: Option<Doubt>,
    /// Time of the last observation that raised the doubt. A confirmation that was asked for earlier
    /// does not remove it.
    raised: Duration,
    is_connected: bool,
    /// Time since which the entry has a configuration and could serve.
    configured: Option<Duration>,
    /// Whether anything has shown since the start that there are workspaces.
    has_workspaces: bool,
}

impl Default for Contact {
    fn default() -> Contact {
        let (observed, raised) = (Duration::ZERO, Duration::ZERO);
        Contact {
            observed,
            doubt: Some(Doubt::Start),
            raised,
            is_connected: false,
            configured: None,
            has_workspaces: false,
        }
    }
}

impl Contact {
    /// Records whether enough control hosts can be reached. Called more often than once in
    /// [`FREEZE_LIMIT`].
    pub fn observe(&mut self, now: Duration, is_connected: bool) {
        self.is_connected = is_connected;
        let is_resumed = now.saturating_sub(self.observed) > FREEZE_LIMIT;
        let doubt = match self.doubt {
            Some(Doubt::Start) => Some(Doubt::Start),
            _ if is_resumed => Some(Doubt::Freeze { resumed: now }),
            None if !is_connected => Some(Doubt::Loss { since: now }),
            known => known,
        };
        if is_resumed || !is_connected {
            self.raised = now;
        }
        (self.observed, self.doubt) = (now, doubt);
    }

    /// Whether a quorum should be asked to confirm the configuration. After a start, the control hosts
    /// are known only from the settings until the first directory arrives, so that no contact is seen.
    pub fn needs_confirmation(&self) -> bool {
        self.doubt == Some(Doubt::Start) || (self.doubt.is_some() && self.is_connected)
    }

    /// Records that a quorum has stated the version `confirmed` in the answer to a question of the time
    /// `asked`, while `held` is active here.
    pub fn confirm(&mut self, now: Duration, asked: Duration, confirmed: u64, held: u64) {
        // The process may have been frozen since the last observation.
        let is_observed = now.saturating_sub(self.observed) <= FREEZE_LIMIT;
        // Every answer is one to a question that was asked after the start.
        let is_later = asked >= self.raised || self.doubt == Some(Doubt::Start);
        if is_observed && is_later && held >= confirmed {
            self.doubt = None;
        }
    }

    /// Records that the disks of a majority of the control hosts hold no version above `stored`, while
    /// `held` is active here. It says nothing about changes since their start, so it ends only the doubt
    /// of a start.
    pub fn confirm_start(&mut self, now: Duration, stored: u64, held: u64) {
        if self.doubt == Some(Doubt::Start) {
            self.confirm(now, now, stored, held);
        }
    }

    /// Whether the entry may serve its configuration: it has been confirmed since the start, or nothing
    /// shows for a while that there are workspaces. `has_workspaces` tells whether the configuration or
    /// the disk of a control host shows them. Called only once there is a configuration.
    ///
    /// Without a confirmation, the configuration may be older than one that was acknowledged before the
    /// start, and accept a key that was revoked, or any request.
    pub fn may_serve(&mut self, now: Duration, has_workspaces: bool) -> bool {
        self.has_workspaces |= has_workspaces;
        let since = *self.configured.get_or_insert(now);
        let is_over = now.saturating_sub(since) >= UNCONFIRMED_TIMEOUT;
        self.doubt != Some(Doubt::Start) || (is_over && !self.has_workspaces)
    }

    /// What is known about the configuration.
    pub fn standing(&self, now: Duration) -> Standing {
        match self.doubt {
            Some(Doubt::Start) => Standing::Starting,
            // The process has resumed and has not observed that yet.
            _ if now.saturating_sub(self.observed) > FREEZE_LIMIT => {
                Standing::Resumed(Duration::ZERO)
            }
            Some(Doubt::Freeze { resumed }) => Standing::Resumed(now.saturating_sub(resumed)),
            Some(Doubt::Loss { since }) => Standing::Lost(now.saturating_sub(since)),
            None => Standing::Current,
        }
    }
}

//! Chooses which hosts a replica probes. Free of I/O.
//!
//! Designed for a fleet with many spare hosts: each of them is blank for good and probes to be found
//! when a replica is lost. If each probed every other, the probes would grow with the square of the
//! hosts.

use crate::replica::formation::ProbeAnswer;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the rounds of a blank replica while some host has a replica with data. Such a replica
/// must be known when a member is lost.
const SPARE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of the rounds to every host, which find members that have moved.
const FULL_INTERVAL: Duration = Duration::from_secs(8);

/// Hosts to probe.
#[derive(Debug, Default)]
pub struct Targets {
    /// Hosts of the last round but those whose replica is blank. One that did not answer may be the
    /// leader, which a learner has to know before it can answer it.
    members: Vec<Arc<str>>,
    /// Whether a host has answered the last round with a replica that has data.
    found: bool,
    /// Time of the last round.
    last: Duration,
    /// Time of the last round to every host.
    last_full: Duration,
}

impl Targets {
    /// Hosts to probe now out of `hosts`; `None` if no round is due. `blank` tells whether this
    /// replica has no data.
    pub fn next_round(
        &mut self,
        now: Duration,
        hosts: Vec<Arc<str>>,
        blank: bool,
    ) -> Option<Vec<Arc<str>>> {
        let spare = blank && self.found;
        if spare && now.saturating_sub(self.last) < SPARE_INTERVAL {
            return None;
        }
        self.last = now;
        if !spare || now.saturating_sub(self.last_full) >= FULL_INTERVAL {
            self.last_full = now;
            self.members = hosts;
        } else {
            self.members.retain(|m| hosts.contains(m));
        }
        Some(self.members.clone())
    }

    /// Records the answers to a round.
    pub fn record_answers<'a>(&mut self, answers: impl Iterator<Item = &'a ProbeAnswer>) {
        self.found = false;
        for answer in answers {
            self.found |= !answer.blank;
            if answer.blank {
                self.members.retain(|m| *m != answer.host);
            }
        }
    }
}

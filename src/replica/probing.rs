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
    /// Hosts that answered the last round with a replica that has data, sorted.
    members: Vec<Arc<str>>,
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
        let spare = blank && !self.members.is_empty();
        if spare && now.saturating_sub(self.last) < SPARE_INTERVAL {
            return None;
        }
        self.last = now;
        if !spare || now.saturating_sub(self.last_full) >= FULL_INTERVAL {
            self.last_full = now;
            return Some(hosts);
        }
        Some(self.members.iter().filter(|m| hosts.contains(m)).cloned().collect())
    }

    /// Records the answers to a round.
    pub fn record_answers<'a>(&mut self, answers: impl Iterator<Item = &'a ProbeAnswer>) {
        self.members = answers.filter(|a| !a.blank).map(|a| a.host.clone()).collect();
        self.members.sort();
    }
}

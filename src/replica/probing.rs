//! Chooses which hosts a replica probes. Free of I/O.
//!
//! Designed for a fleet with many spare hosts: each of them is blank for good and probes to be found
//! when a replica is lost. If each probed every other, the probes would grow with the square of the
//! hosts.
//!
//! A host knows few others at first, and a leader that came in for a lost host is not among the
//! founders. So each member that answers names all members of its group, and these are probed in
//! every round from then on, also if no other source names them.

use crate::replica::formation::ProbeAnswer;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the rounds of a blank replica while some host has a replica with data. Such a replica
/// must be known when a member is lost.
const SPARE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Hosts besides the members that a blank replica probes in a round, in turn. They find members that
/// have moved to hosts which no known member names.
const SPARE_ROUND_HOSTS: usize = 4;
/// Hosts besides the members that any other replica probes in a round, in turn.
const MAX_ROUND_HOSTS: usize = 64;

/// Hosts to probe.
#[derive(Debug, Default)]
pub struct Targets {
    /// Hosts of the members, as named by the last answers of replicas with data; sorted.
    members: Vec<Arc<str>>,
    /// Whether a host has answered the last round with a replica that has data.
    found: bool,
    /// Time of the last round.
    last: Duration,
    /// Number of the last round.
    round: u64,
    /// Round in which each host was last probed.
    probed: sorted::SortedMap<Arc<str>, u64>,
}

impl Targets {
    /// Hosts to probe now; `None` if no round is due. `founders` are the hosts on which the group was
    /// formed, `hosts` all that may hold a replica, and `blank` tells whether this replica has no
    /// data.
    pub fn next_round(
        &mut self,
        now: Duration,
        founders: &[Arc<str>],
        hosts: &[Arc<str>],
        blank: bool,
    ) -> Option<Vec<Arc<str>>> {
        let spare = blank && self.found;
        if spare && now.saturating_sub(self.last) < SPARE_INTERVAL {
            return None;
        }
        (self.last, self.round) = (now, self.round + 1);
        let mut targets = self.members.clone();
        if !spare {
            targets.extend_from_slice(founders);
        }
        let mut others: Vec<&Arc<str>> = hosts.iter().filter(|h| !targets.contains(h)).collect();
        others.sort_by_key(|h| (self.probed.get(*h), *h));
        others.truncate(if spare { SPARE_ROUND_HOSTS } else { MAX_ROUND_HOSTS });
        targets.extend(others.into_iter().cloned());
        targets.sort();
        targets.dedup();
        self.probed.retain(|host, _| hosts.contains(host));
        for target in &targets {
            self.probed.insert(target.clone(), self.round);
        }
        Some(targets)
    }

    /// Records the answers to a round, each with the hosts that it names as members.
    pub fn record_answers<'a>(
        &mut self,
        answers: impl Iterator<Item = (&'a ProbeAnswer, &'a [Arc<str>])>,
    ) {
        let mut members = Vec::new();
        for (answer, named) in answers.filter(|(answer, _)| !answer.blank) {
            members.push(answer.host.clone());
            members.extend_from_slice(named);
        }
        self.found = !members.is_empty();
        if self.found {
            members.sort();
            members.dedup();
            self.members = members;
        }
    }
}

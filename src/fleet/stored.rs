//! Quarantined causes and the version of the configuration that a host knows after a restart of all
//! hosts, before the control group has a leader. Free of I/O.
//!
//! Designed for the loss of power at all hosts: an entry has its configuration long before a leader
//! is elected on hosts with a fraction of a core each, and callers continue at their usual rate. A
//! request must not reach endpoints if one of its causes was quarantined before.
//!
//! Each control host reports what its disk holds. A committed change is on the disks of a majority,
//! so that the most up-to-date log of a majority holds every committed change. The rule is the one
//! by which a leader is elected; `docs/design/restart.md` has the proof.

use crate::fleet::control_state;
use crate::fleet::quarantine;
use crate::replica;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;

/// Most replicas whose reports are kept. Groups have far fewer members.
const MAX_REPORTS: usize = 64;

/// What the disk of a control host holds about quarantined causes and the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the replica.
    pub replica: u64,
    /// Term and index of the last entry.
    pub last: (u64, u64),
    /// Highest version of a configuration document in the log, whether committed or not; 0 for none.
    pub version: u64,
    /// Whether that document has workspaces.
    pub workspaces: bool,
    /// Ids of the voters in the latest membership of the log, sorted.
    pub voters: Vec<u64>,
    /// Every cause that was quarantined after some entry that may not be committed, or after the last
    /// one that is. Entries that are not committed may be lost, and then release no cause.
    pub quarantined: Vec<quarantine::Quarantined>,
}

impl Report {
    /// Creates the report of the replica `id` from the state that was read from its disk. `None` if
    /// the disk is empty or its snapshot is not readable. `has_workspaces` tells whether a document has
    /// workspaces.
    pub fn new(
        id: u64,
        stored: &replica::PersistentState,
        has_workspaces: impl FnOnce(&control_state::Document) -> bool,
    ) -> Option<Report> {
        let mut state = control_state::ControlState::default();
        let (mut last, mut membership, mut commit) = ((0, 0), None, stored.hard_state.commit);
        if let Some(snapshot) = &stored.snapshot {
            replica::StateMachine::restore(&mut state, &snapshot.data).ok()?;
            last = (snapshot.term, snapshot.index);
            membership = Some(&snapshot.membership);
            commit = commit.max(snapshot.index);
        }
        let mut found = sorted::SortedMap::new();
        let mut collect = |state: &control_state::ControlState| {
            for quarantined in state.quarantine.summary().quarantined {
                // The latest record of a cause has the most trials.
                found.insert(quarantined.cause, quarantined);
            }
        };
        let mut collected = false;
        for entry in &stored.entries {
            if entry.index > commit && !collected {
                collect(&state);
                collected = true;
            }
            match &entry.payload {
                replica::Payload::Command(command) => {
                    let before = state.quarantine.revision();
                    replica::StateMachine::apply(&mut state, entry.index, command);
                    if entry.index > commit && state.quarantine.revision() != before {
                        collect(&state);
                    }
                }
                replica::Payload::Membership(next) => membership = Some(next),
                replica::Payload::Noop => {}
            }
            last = (entry.term, entry.index);
        }
        if !collected {
            collect(&state);
        }
        let mut voters: Vec<u64> = membership?.voters().collect();
        voters.sort_unstable();
        let quarantined = found.values().copied().collect();
        // Versions only rise, so the state after all entries has the highest one.
        let version = state.document.version;
        let workspaces = version > 0 && has_workspaces(&state.document);
        Some(Report { replica: id, last, version, workspaces, voters, quarantined })
    }

    fn is_voter(&self, id: u64) -> bool {
        self.voters.binary_search(&id).is_ok()
    }
}

/// Reports that a host has received since its start.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    reports: sorted::SortedMap<u64, Report>,
}

impl Reports {
    /// Records the report of a replica, which replaces an earlier one.
    pub fn record(&mut self, report: Report) {
        if self.reports.len() < MAX_REPORTS || self.reports.contains(&report.replica) {
            self.reports.insert(report.replica, report);
        }
    }

    /// Causes that may be quarantined, which include all those whose quarantine was committed before
    /// the first of the reports; `None` if the reports do not suffice.
    ///
    /// They suffice if the replica with the most up-to-date log is a voter and the senders include a
    /// majority of the voters that this log names: they could elect it.
    pub fn quarantined(&self) -> Option<&[quarantine::Quarantined]> {
        self.sufficient().map(|latest| &latest.quarantined[..])
    }

    /// Version of a configuration that is at least as high as every one that was committed before the
    /// first of the reports; `None` if the reports do not suffice.
    pub fn version(&self) -> Option<u64> {
        self.sufficient().map(|latest| latest.version)
    }

    /// Report with the most up-to-date log, if the reports suffice.
    fn sufficient(&self) -> Option<&Report> {
        let latest = self.reports.values().max_by_key(|r| (r.last, r.is_voter(r.replica)))?;
        let heard = self.reports.keys().filter(|id| latest.is_voter(**id)).count();
        let is_majority = 2 * heard > latest.voters.len();
        (latest.is_voter(latest.replica) && is_majority).then_some(latest)
    }

    /// Drops the reports once they are no longer needed.
    pub fn clear(&mut self) {
        self.reports.clear();
    }
}

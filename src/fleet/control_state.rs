//! Replicated state machine of the configuration document, the placement of the job group and the
//! quarantined causes of crashes; free of I/O.
//!
//! The document is stored as the operator sent it, so that reads return it byte for byte.
//!
//! The placement names the replicas that form the job group. Since it is committed once, every
//! listed replica may form the group without the others, and all of them form the same one.

use crate::fleet::builds;
use crate::fleet::ledger;
use crate::fleet::origin;
use crate::fleet::quarantine;
use crate::fleet::quarantine::former;
use crate::replica;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Configuration document with the version that the operator gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version; 0 before the first document.
    pub version: u64,
    /// The document as the operator sent it.
    pub text: Bytes,
}

/// Where the first replicas of the job group are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Link addresses of the hosts; empty before the group is placed.
    pub hosts: Vec<Arc<str>>,
    /// Id of the replica on each host, in the order of `hosts`. Empty if an earlier version placed
    /// the group, which then has data already.
    pub replicas: Vec<u64>,
}

impl Placement {
    /// Creates a placement on hosts that are given with the ids of their replicas.
    pub fn new(members: impl IntoIterator<Item = (Arc<str>, u64)>) -> Placement {
        let mut members: Vec<(Arc<str>, u64)> = members.into_iter().collect();
        members.sort();
        let (hosts, replicas) = members.into_iter().unzip();
        Placement { hosts, replicas }
    }

    /// Membership with which the listed replicas form the group; `None` if their ids are not known.
    pub fn membership(&self) -> Option<replica::Membership> {
        let known = !self.hosts.is_empty() && self.hosts.len() == self.replicas.len();
        let voters = self.replicas.iter().copied().zip(self.hosts.iter().cloned());
        known.then(|| replica::Membership::from_voters(voters))
    }
}

/// Command of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a validated document in force if its version is higher than the one in force.
    Put(Document),
    /// Places the job group on the hosts with these link addresses, unless it is placed already.
    /// Only in logs that were written by earlier versions.
    PlaceOnHosts(Vec<Arc<str>>),
    /// Places the job group on these replicas, unless it is placed already.
    Place(Placement),
    /// Records crashes of endpoints. Only in logs that were written by earlier versions, like the next
    /// two commands.
    RecordPartCrashes(Vec<former::Crash>),
    /// Releases parts of prompts that were answered.
    ClearParts(Vec<u64>),
    /// Grants the trial of a quarantined part with this number, unless it was granted before.
    GrantPartTrial {
        /// Id of the part.
        part: u64,
        /// Number of the trial, counted from 1.
        number: u32,
    },
    /// Records crashes of endpoints. Only in logs that were written by earlier versions.
    RecordUntimedCrashes(Vec<former::UntimedCrash>),
    /// Releases causes of crashes that were answered.
    ClearCauses(Vec<quarantine::Cause>),
    /// Grants the trial of a quarantined cause with this number, unless it was granted before.
    GrantTrial {
        /// The cause.
        cause: quarantine::Cause,
        /// Number of the trial, counted from 1.
        number: u32,
    },
    /// Adds a build whose endpoints may be taken into the directory.
    AddBuild(origin::Origin),
    /// Removes builds of which there has been no endpoint for long.
    RemoveBuilds(Vec<origin::Origin>),
    /// Records crashes of endpoints.
    RecordCrashes(Vec<quarantine::Crash>),
}

/// State of the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Configuration document in force.
    pub document: Document,
    /// Placement of the job group.
    pub placement: Placement,
    /// Empty; earlier versions stored the quarantined parts of prompts here.
    pub former: former::State,
    /// Empty; earlier versions stored crashes without their times here.
    pub untimed: former::UntimedState,
    /// Builds whose endpoints may be in the directory.
    pub builds: builds::Builds,
    /// Crashes of endpoints and their quarantined causes.
    pub quarantine: quarantine::State,
}

/// Snapshot of an earlier version, which did not store the times of crashes.
#[derive(Deserialize)]
struct UntimedState {
    document: Document,
    placement: Placement,
    former: former::State,
    quarantine: former::UntimedState,
    builds: builds::Builds,
}

/// Snapshot of an earlier version, which did not store builds.
#[derive(Deserialize)]
struct CausesState {
    document: Document,
    placement: Placement,
    former: former::State,
    quarantine: former::UntimedState,
}

/// Snapshot of an earlier version, which knew no causes but parts of prompts.
#[derive(Deserialize)]
struct PartsState {
    document: Document,
    placement: Placement,
    quarantine: former::State,
}

/// Snapshot of an earlier version, without quarantined parts.
#[derive(Deserialize)]
struct PlacedState {
    document: Document,
    placement: Placement,
}

/// Snapshot of the first version, whose placement has no replica ids.
#[derive(Deserialize)]
struct FormerState {
    document: Document,
    hosts: Vec<Arc<str>>,
}

/// Reads a snapshot of an earlier version.
fn decode_former(data: &[u8]) -> Result<ControlState, postcard::Error> {
    if let Ok(state) = postcard::from_bytes(data) {
        let UntimedState { document, placement, former, quarantine, builds } = state;
        let (untimed, quarantine) = (former::UntimedState::default(), quarantine.into());
        return Ok(ControlState { document, placement, former, untimed, builds, quarantine });
    }
    if let Ok(CausesState { document, placement, former, quarantine }) = postcard::from_bytes(data)
    {
        let quarantine = quarantine.into();
        return Ok(ControlState { document, placement, former, quarantine, ..Default::default() });
    }
    if let Ok(PartsState { document, placement, quarantine }) = postcard::from_bytes(data) {
        let quarantine = quarantine.into();
        return Ok(ControlState { document, placement, quarantine, ..ControlState::default() });
    }
    if let Ok(PlacedState { document, placement }) = postcard::from_bytes(data) {
        return Ok(ControlState { document, placement, ..ControlState::default() });
    }
    let FormerState { document, hosts } = postcard::from_bytes(data)?;
    let placement = Placement { hosts, replicas: Vec::new() };
    Ok(ControlState { document, placement, ..ControlState::default() })
}

/// Query of a part of the state. The empty query asks for the whole state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Version of the document in force, a `u64`.
    Version,
    /// Builds whose endpoints may be in the directory, [`builds::Builds`].
    Builds,
}

impl ControlState {
    /// Answers a query.
    pub fn answer(&self, query: &[u8]) -> Vec<u8> {
        match postcard::from_bytes(query) {
            Ok(Query::Version) => ledger::encode(&self.document.version),
            Ok(Query::Builds) => ledger::encode(&self.builds),
            Err(_) => replica::StateMachine::snapshot(self),
        }
    }

    /// Executes a command. Returns whether it was granted, if it asks for a trial or adds a build.
    pub fn execute(&mut self, command: Command) -> bool {
        match command {
            Command::Put(document) => {
                if document.version > self.document.version {
                    self.document = document;
                }
            }
            Command::PlaceOnHosts(hosts) => self.place(Placement { hosts, replicas: Vec::new() }),
            Command::Place(placement) => self.place(placement),
            Command::RecordPartCrashes(crashes) => {
                for crash in crashes {
                    self.quarantine.record_crash(crash.into());
                }
            }
            Command::RecordUntimedCrashes(crashes) => {
                for crash in crashes {
                    self.quarantine.record_crash(crash.into());
                }
            }
            Command::RecordCrashes(crashes) => {
                for crash in crashes {
                    self.quarantine.record_crash(crash);
                }
            }
            Command::ClearParts(parts) => {
                let causes: Vec<quarantine::Cause> =
                    parts.into_iter().map(quarantine::Cause::Part).collect();
                self.quarantine.clear(&causes);
            }
            Command::ClearCauses(causes) => self.quarantine.clear(&causes),
            Command::GrantPartTrial { part, number } => {
                return self.quarantine.grant_trial(quarantine::Cause::Part(part), number);
            }
            Command::GrantTrial { cause, number } => {
                return self.quarantine.grant_trial(cause, number);
            }
            Command::AddBuild(build) => return self.builds.add(build),
            Command::RemoveBuilds(builds) => self.builds.remove(&builds),
        }
        true
    }

    fn place(&mut self, placement: Placement) {
        if self.placement.hosts.is_empty() {
            self.placement = placement;
        }
    }
}

impl replica::StateMachine for ControlState {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes(command) {
            Ok(command) => match self.execute(command) {
                true => ledger::Reply::Done,
                false => ledger::Reply::Stale,
            },
            Err(_) => ledger::Reply::Invalid,
        };
        ledger::encode(&reply)
    }

    fn snapshot(&self) -> Vec<u8> {
        ledger::encode(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        let failed = |e: postcard::Error| replica::RestoreError { cause: e.to_string().into() };
        *self = postcard::from_bytes(data).or_else(|_| decode_former(data)).map_err(failed)?;
        Ok(())
    }
}

//! Frames that hosts exchange over their links.

use crate::fleet::control_state;
use crate::fleet::delegation;
use crate::fleet::directory;
use crate::fleet::limits;
use crate::fleet::load;
use crate::fleet::origin;
use crate::fleet::quarantine;
use crate::fleet::stored;
use crate::fleet::workspaces::credit;
use crate::replica;
use crate::wire;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Message on a connection between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a connection, with the link address of the dialling host.
    Hello(Arc<str>),
    /// Checks that the other host is alive.
    Ping,
    /// Answer to `Ping`.
    Pong,
    /// Message that is not answered.
    Cast(Cast),
    /// Request, with a number that its answer repeats.
    Call(u64, wire::Request),
    /// Answer to the request with the given number.
    Answer(u64, wire::Reply),
}

impl Frame {
    /// Name under which the bytes of the frame are counted.
    pub fn kind(&self) -> &'static str {
        match self {
            Frame::Hello(_) => "hello",
            Frame::Ping => "ping",
            Frame::Pong => "pong",
            Frame::Cast(message) => message.kind(),
            Frame::Call(_, request) => match request {
                wire::Request::Propose { .. } => "propose",
                wire::Request::Query { .. } => "query",
                wire::Request::Confirm { .. } => "confirm",
                wire::Request::Probe { .. } => "probe",
                _ => "other_call",
            },
            Frame::Answer(..) => "answer",
        }
    }

    /// Replica group that the frame is for; `None` if it concerns none.
    pub fn group(&self) -> Option<u16> {
        match self {
            Frame::Cast(Cast::Replica(envelope)) => Some(envelope.group),
            Frame::Call(
                _,
                wire::Request::Propose { group, .. }
                | wire::Request::Query { group, .. }
                | wire::Request::Confirm { group }
                | wire::Request::Probe { group, .. },
            ) => Some(*group),
            _ => None,
        }
    }
}

/// Message that is not answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Cast {
    /// Message of a replica.
    Replica(replica::Envelope),
    /// A host announces itself to a control host and states which version of its data it has.
    Announce(Announcement),
    /// A control host sends what has changed.
    Update(Update),
    /// An entry reports its running requests to the host that places items.
    EntryLoad(EntryLoad),
    /// The host that places items reports to an entry what other hosts run.
    OtherLoad(OtherLoad),
    /// A control host has this version of the configuration.
    ConfigAvailable(u64),
    /// A host asks a control host for a configuration that is newer than the one it holds.
    FetchConfig(HeldConfig),
    /// A control host sends the configuration that a host has asked for.
    Config(EncodedConfig),
    /// An entry sends a control host the origins of streams.
    Origins(Vec<origin::Record>),
    /// The leader of the job group orders runs of items.
    RunOrders(delegation::Orders),
    /// A store host reports to the leader of the job group how the runs go that it carries out.
    RunReports(delegation::Reports),
    /// A host reports limits of endpoints and requests that wait for a grant to the host that grants
    /// them.
    LimitReport(limits::Report),
    /// The host that places items grants requests to limited endpoints and tells the limits.
    LimitGrants(limits::Grants),
    /// An entry asks the owner of the quotas for credit.
    CreditReport(credit::Report),
    /// The owner of the quotas answers a report.
    CreditGrants(credit::Grants),
    /// A control host sends what its disk holds about quarantined causes.
    Stored(stored::Report),
}

impl Cast {
    fn kind(&self) -> &'static str {
        match self {
            Cast::Replica(envelope) => match envelope.body {
                replica::Message::Append { .. } => "append",
                replica::Message::Appended { .. } => "appended",
                replica::Message::AppendRejected { .. } => "append_rejected",
                replica::Message::Heartbeat { .. } => "heartbeat",
                replica::Message::HeartbeatReply { .. } => "heartbeat_reply",
                replica::Message::SnapshotChunk { .. } => "snapshot_chunk",
                _ => "other_replica",
            },
            Cast::Announce(_) => "announce",
            Cast::Update(update) if update.placement.is_some() => "placement",
            Cast::Update(_) => "directory",
            Cast::EntryLoad(_) => "entry_load",
            Cast::OtherLoad(_) => "other_load",
            Cast::ConfigAvailable(_) => "config_available",
            Cast::FetchConfig(_) => "fetch_config",
            Cast::Config(_) => "configuration",
            Cast::Origins(_) => "origins",
            Cast::RunOrders(_) => "run_orders",
            Cast::RunReports(_) => "run_reports",
            Cast::LimitReport(_) => "limit_report",
            Cast::LimitGrants(_) => "limit_grants",
            Cast::CreditReport(_) => "credit_report",
            Cast::CreditGrants(_) => "credit_grants",
            Cast::Stored(_) => "stored",
        }
    }
}

/// Announcement that a host sends to the control hosts at regular intervals.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// Record of the host.
    pub host: directory::Host,
    /// Version of its configuration; 0 if it has none.
    pub version: u64,
    /// Whether it knows on which hosts the job group is placed.
    pub placement_known: bool,
    /// Revision of the quarantined parts of prompts that it knows; 0 if it knows none.
    pub quarantine: u64,
    /// Whether its quarantined parts were known to be complete at some moment.
    pub quarantine_confirmed: bool,
    /// Digest of its directory.
    pub digest: u64,
    /// Whether it has had the whole directory of a control host since its start.
    pub directory_known: bool,
}

/// Changes sent by a control host; absent or empty parts have not changed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Update {
    /// Placement of the job group.
    pub placement: Option<control_state::Placement>,
    /// Quarantined parts of prompts.
    pub quarantine: Option<quarantine::Summary>,
    /// Records of hosts and endpoints.
    pub records: directory::Records,
    /// Whether `records` is the whole directory of the sender.
    pub whole: bool,
    /// Ids of deregistered endpoints and the start times that their deregistrations refer to, if
    /// known.
    pub departed: Vec<(Arc<str>, Option<u64>)>,
}

/// Configuration document that a host holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldConfig {
    /// Version; 0 if the host needs a document that is encoded without another one.
    pub version: u64,
    /// Digest of the text.
    pub digest: u64,
}

/// Configuration document, compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedConfig {
    /// Version of the document.
    pub version: u64,
    /// Version of the document that is the dictionary; `None` if there is none.
    pub base: Option<u64>,
    /// Size of the text in bytes.
    pub size: u64,
    /// Digest of the text.
    pub digest: u64,
    /// Compressed text.
    pub data: Bytes,
}

/// Report of the requests that one entry runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// Start of the sending process in milliseconds of Unix time.
    pub start_time: u64,
    /// Sequence number of the report since that start.
    pub seq: u64,
    /// Whether the entry has complete reports of the receiving host.
    pub synced: bool,
    /// Key of each busy endpoint and number of requests that run there, sorted by key.
    pub running: Vec<(load::EndpointKey, u32)>,
}

/// Report of the requests that run at endpoints, except those of the receiving entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherLoad {
    /// Start of the sending process in milliseconds of Unix time.
    pub start_time: u64,
    /// Sequence number of the report to the receiving entry since that start.
    pub seq: u64,
    /// Whether `running` holds every busy endpoint; otherwise only those that changed since the
    /// report before.
    pub complete: bool,
    /// Key of an endpoint and the numbers of online requests of other entries and of batch items
    /// that run there, sorted by key.
    pub running: Vec<(load::EndpointKey, u32, u32)>,
}

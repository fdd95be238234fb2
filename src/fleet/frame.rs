//! Frames between hosts.

use crate::fleet::control_state;
use crate::fleet::directory;
use crate::fleet::load;
use crate::replica;
use crate::wire;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Unit of a connection between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// First frame: link address of the dialling host.
    Hello(Arc<str>),
    /// Asks for a sign of life.
    Ping,
    /// Answer to `Ping`.
    Pong,
    /// Message without an answer.
    Cast(Cast),
    /// Request under a number.
    Call(u64, wire::Request),
    /// Answer to the request with that number.
    Answer(u64, wire::Reply),
}

/// Message without an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Cast {
    /// Message of a replica.
    Replica(replica::Envelope),
    /// A host announces itself to a control host and says what it knows.
    Announce(Announcement),
    /// Update of a control host.
    Update(Update),
    /// An entry reports its running requests to the host that places items.
    EntryLoad(EntryLoad),
    /// The host that places items reports what else runs at endpoints.
    OtherLoad(OtherLoad),
}

/// Announcement of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// The host.
    pub host: directory::Host,
    /// Version of its configuration; 0 without one.
    pub version: u64,
    /// Whether it knows where the job group is placed.
    pub placement_known: bool,
    /// Digest of its directory.
    pub digest: u64,
}

/// Update of a control host; absent parts have not changed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Update {
    /// Configuration document.
    pub document: Option<control_state::Document>,
    /// First members of the job group.
    pub stores: Option<Vec<Arc<str>>>,
    /// Records of hosts and endpoints.
    pub records: directory::Records,
    /// Endpoints that have left, with the start that the registration is about, if known.
    pub departed: Vec<(Arc<str>, Option<u64>)>,
}

/// Requests of one entry that run at endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// Start of the sending process in milliseconds of Unix time.
    pub start_time: u64,
    /// Number of the report since that start.
    pub seq: u64,
    /// Key of each busy endpoint and the requests that run there, sorted by key.
    pub running: Vec<(load::EndpointKey, u32)>,
}

/// What runs at endpoints besides the requests of the receiving entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherLoad {
    /// Start of the sending process in milliseconds of Unix time.
    pub start_time: u64,
    /// Number of the report since that start.
    pub seq: u64,
    /// Key of each busy endpoint, the online requests of other entries and the items that run
    /// there, sorted by key.
    pub running: Vec<(load::EndpointKey, u32, u32)>,
}

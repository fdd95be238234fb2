//! Requests to the thread of a group, and its handle.

use crate::replica;
use crate::state::service;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::sync::mpsc;
use tokio::sync::mpsc as channel;

/// Calls that may wait for the thread. More are refused as not run.
const MAX_QUEUED_CALLS: usize = 8_192;

/// Request to the thread of a group.
pub enum Call {
    /// Message of another replica.
    Envelope(replica::Envelope),
    /// Commit a command.
    Propose {
        /// Encoded command.
        command: Bytes,
        /// Receiver of the answer.
        done: service::ReplySender,
    },
    /// Answer a query after confirming leadership with a quorum.
    Query {
        /// Encoded query.
        query: Bytes,
        /// Receiver of the answer.
        done: service::ReplySender,
    },
    /// Return a read index that a quorum has confirmed.
    Confirm {
        /// Receiver of the answer.
        done: service::ReplySender,
    },
    /// Follow the log.
    Watch {
        /// Last index that the watcher has applied.
        after: u64,
        /// Receiver of the updates.
        sender: channel::Sender<wire::Reply>,
    },
    /// Request that only the leader's service answers.
    Serve {
        /// The request.
        request: wire::Request,
        /// Receiver of the answer.
        done: service::ReplySender,
    },
    /// A replica of another host introduces itself.
    Probe {
        /// Host name of the sender.
        host: Arc<str>,
        /// Replica id of the sender.
        id: u64,
        /// Whether the sender has no data.
        blank: bool,
        /// Receiver of the answer.
        done: service::ReplySender,
    },
    /// Answers of the listed hosts to probes, for the formation of a blank replica.
    ProbeAnswers(Vec<replica::formation::ProbeAnswer>),
    /// A member has said that this replica was removed from the group.
    Retire,
    /// Describe the replica.
    Status {
        /// Receiver of the state.
        done: tokio::sync::oneshot::Sender<wire::Group>,
    },
}

impl Call {
    /// Call that answers a request of another process.
    pub fn from_request(request: wire::Request, done: service::ReplySender) -> Call {
        match request {
            wire::Request::Propose { command, .. } => Call::Propose { command, done },
            wire::Request::Query { query, .. } => Call::Query { query, done },
            wire::Request::Confirm { .. } => Call::Confirm { done },
            wire::Request::Probe { host, id, blank, .. } => Call::Probe { host, id, blank, done },
            request => Call::Serve { request, done },
        }
    }
}

/// Handle of a group's thread. Clones share it.
#[derive(Clone)]
pub struct Handle {
    calls: mpsc::SyncSender<Call>,
    /// Replica id of this host.
    pub id: u64,
}

impl Handle {
    /// Queues a call. A call that does not fit is dropped, which its sender sees as refused.
    pub fn call(&self, call: Call) -> bool {
        self.calls.try_send(call).is_ok()
    }
}

/// Creates the handle and the receiver of its calls.
pub fn channel(id: u64) -> (Handle, mpsc::Receiver<Call>) {
    let (calls, receiver) = mpsc::sync_channel(MAX_QUEUED_CALLS);
    (Handle { calls, id }, receiver)
}

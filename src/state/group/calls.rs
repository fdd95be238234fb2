//! Calls to the thread of a group, and the handle that queues them.

use crate::replica;
use crate::state::service;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::sync::mpsc;
use tokio::sync::mpsc as channel;

/// Limit of the calls queued for the thread. Further ones are refused as not run.
const MAX_QUEUED_CALLS: usize = 8_192;

/// Call to the thread of a group.
pub enum Call {
    /// Message from another replica.
    Envelope(replica::Envelope),
    /// Commits a command.
    Propose {
        /// Encoded command.
        command: Bytes,
        /// Sender of the answer.
        done: service::ReplySender,
    },
    /// Answers a query after a quorum has confirmed leadership.
    Query {
        /// Encoded query.
        query: Bytes,
        /// Sender of the answer.
        done: service::ReplySender,
    },
    /// Returns a read index that a quorum has confirmed.
    Confirm {
        /// Sender of the answer.
        done: service::ReplySender,
    },
    /// Sends applied commands to a watcher.
    Watch {
        /// Last index that the watcher has applied.
        after: u64,
        /// Sender of the updates.
        sender: channel::Sender<wire::Reply>,
    },
    /// Passes a request to the service, which answers it only on the leader.
    Serve {
        /// The request.
        request: wire::Request,
        /// Sender of the answer.
        done: service::ReplySender,
    },
    /// Answers a probe of a replica on another host.
    Probe {
        /// Host name of the sender.
        host: Arc<str>,
        /// Replica id of the sender.
        id: u64,
        /// Whether the sender has no data.
        blank: bool,
        /// Sender of the answer.
        done: service::ReplySender,
    },
    /// Answers of other hosts to probes of this replica, which may form the group if it is blank.
    ProbeAnswers(Vec<replica::formation::ProbeAnswer>),
    /// Forms the group with this membership if this replica is blank and one of the voters. Every
    /// voter may be called, but all with the same membership.
    Form(replica::Membership),
    /// Ends the thread, since a member has answered that this replica was removed from the group.
    Retire,
    /// Returns the hosts of the members that this replica, if it leads, does not hear from.
    SilentMembers {
        /// Sender of the hosts.
        done: tokio::sync::oneshot::Sender<Vec<Arc<str>>>,
    },
    /// Returns the status of the replica.
    Status {
        /// Sender of the status.
        done: tokio::sync::oneshot::Sender<wire::Group>,
    },
}

impl Call {
    /// Converts a request of another process to the call that answers it.
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
    /// Queues a call. Returns false, and drops the call, if the queue is full or the thread has
    /// ended.
    pub fn call(&self, call: Call) -> bool {
        self.calls.try_send(call).is_ok()
    }
}

/// Creates the handle of the thread of a group, and the receiver of its calls. `id` is the replica
/// id.
pub fn channel(id: u64) -> (Handle, mpsc::Receiver<Call>) {
    let (calls, receiver) = mpsc::sync_channel(MAX_QUEUED_CALLS);
    (Handle { calls, id }, receiver)
}

//! Interface between the thread of a replica group and the state that it replicates.

use crate::replica;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Sender of the answer to a request.
pub type ReplySender = oneshot::Sender<wire::Reply>;

/// State machine of a group, and the state that only the leader holds, which is not replicated.
pub trait Service: Send {
    /// Returns the replicated state machine.
    fn state_machine(&mut self) -> &mut dyn replica::StateMachine;

    /// Answers a query from the applied state.
    fn query(&self, query: &[u8]) -> Vec<u8>;

    /// Returns whether a command starts new work, which is refused when space is short. Commands
    /// that finish accepted work use the space that is reserved for them.
    fn is_new_work(&self, command: &[u8]) -> bool;

    /// Prepares a command for the log, for example by stamping it with the group's clock.
    ///
    /// # Errors
    /// Reason for which the command is refused.
    fn prepare(&mut self, _now: Duration, command: Bytes) -> Result<Bytes, wire::Reason> {
        Ok(command)
    }

    /// Called when this replica has gained or lost leadership.
    fn leadership_changed(&mut self, now: Duration, is_leader: bool);

    /// Returns the hosts whose replicas must move to other hosts.
    fn leaving_hosts(&self) -> Vec<Arc<str>> {
        Vec::new()
    }

    /// Called on every replica after entries were applied or a snapshot was restored.
    fn entries_applied(&mut self, now: Duration);

    /// Called at an interval on the leader. Returns commands to propose.
    fn tick(&mut self, _now: Duration) -> Vec<Bytes> {
        Vec::new()
    }

    /// Serves a request that only the leader answers.
    fn serve(&mut self, _now: Duration, _request: wire::Request, done: ReplySender) {
        refuse(done, wire::Reason::Invalid);
    }
}

/// Answers `NotDone` for a request that was not run.
pub fn refuse(done: ReplySender, reason: wire::Reason) {
    answer(done, wire::Reply::NotDone { reason, leader: None, run: wire::Run::No });
}

/// Answers a request. Drops the answer if the requester is gone.
pub fn answer(done: ReplySender, reply: wire::Reply) {
    // Sending fails if the requester has given up and closed its connection.
    let _ = done.send(reply);
}

//! What a replica group does besides keeping its log.

use crate::replica;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Receiver of the answer to a request.
pub type ReplySender = oneshot::Sender<wire::Reply>;

/// State machine of a group together with the leader's soft state around it.
pub trait Service: Send {
    /// The replicated state machine.
    fn state_machine(&mut self) -> &mut dyn replica::StateMachine;

    /// Answers a query from the applied state.
    fn query(&self, query: &[u8]) -> Vec<u8>;

    /// Whether a command starts something new, which is refused when space is short. Commands that
    /// finish accepted work use the space that is reserved for them.
    fn is_new_work(&self, command: &[u8]) -> bool;

    /// Prepares a command for the log, for example by stamping it with the group's clock.
    fn prepare(&mut self, _now: Duration, command: Bytes) -> Result<Bytes, wire::Reason> {
        Ok(command)
    }

    /// Leadership was gained or lost.
    fn leadership_changed(&mut self, now: Duration, is_leader: bool);

    /// Hosts whose replicas are to be moved elsewhere.
    fn leaving_hosts(&self) -> Vec<Arc<str>> {
        Vec::new()
    }

    /// Entries were applied. Called on every replica.
    fn entries_applied(&mut self, now: Duration);

    /// Time has passed on the leader. Returns commands to propose.
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

/// Answers a request whose sender may be gone.
pub fn answer(done: ReplySender, reply: wire::Reply) {
    // The requester has given up; its connection is closed.
    let _ = done.send(reply);
}

//! What a group does while its entries cannot be written because the disk is full.
//!
//! The thread goes on: it applies what is committed, saves the snapshot that frees the log, answers
//! reads, exchanges heartbeats and, as a leader, replicates its entries. If it waited for space
//! instead, it would wait for a snapshot that it never takes. It sends nothing that acknowledges
//! entries or votes, and takes neither proposals nor entries of a leader.

use crate::errors;
use crate::event;
use crate::events;
use crate::replica;
use crate::sorted;
use crate::state::group::Group;
use crate::state::group::SERVICE_TICK;
use crate::state::group::storing::Stored;
use std::time::Duration;

/// Time for which a leader waits for space on its disk before it leaves the group to members that have
/// space. Longer than a snapshot of some tens of megabytes takes to be written.
const LEADER_STALL_LIMIT: Duration = Duration::from_secs(3);

/// Entries that cannot be written yet.
pub(super) struct Stall {
    since: Duration,
    /// Time of the last attempt to write.
    tried: Duration,
    /// Members that have answered a heartbeat since, and whether each stores entries.
    members: sorted::SortedMap<u64, bool>,
}

impl Group {
    /// Records that entries cannot be written now.
    pub(super) fn begin_stall(&mut self) {
        if self.stall.is_some() {
            return;
        }
        let (now, usage) = (self.now(), self.parts.folder.usage());
        event!(self.parts.log, events::DISK_FULL; "group" => self.parts.group,
            "step" => "write entries", "log_bytes" => usage.used, "capacity" => usage.capacity);
        let members = sorted::SortedMap::new();
        self.stall = Some(Stall { since: now, tried: now, members });
    }

    /// Tries again to write the entries, at an interval.
    pub(super) fn retry_entries(&mut self) -> Result<(), errors::Error> {
        let now = self.now();
        let Some(stall) = &mut self.stall else { return Ok(()) };
        if now.saturating_sub(stall.tried) < SERVICE_TICK {
            return Ok(());
        }
        stall.tried = now;
        if self.sync_entries()? == Stored::Entries {
            self.end_stall();
            self.flush()?;
        }
        Ok(())
    }

    /// Ends the stall after the entries have become durable.
    pub(super) fn end_stall(&mut self) {
        let Some(stall) = self.stall.take() else { return };
        let lasted = self.now().saturating_sub(stall.since);
        event!(self.parts.log, events::DISK_FREED; "group" => self.parts.group,
            "stalled_ms" => lasted.as_millis() as u64);
        let index = self.replica.last_index();
        self.step(replica::Input::Synced { index });
    }

    /// Handles a message of another replica during a stall. Returns it if it is to be processed.
    pub(super) fn receive_during_stall(
        &mut self,
        envelope: replica::Envelope,
    ) -> Option<replica::Envelope> {
        let Some(stall) = &mut self.stall else { return Some(envelope) };
        if let replica::Message::HeartbeatReply { matched, .. } = envelope.body {
            stall.members.insert(envelope.from, matched > 0);
        }
        // The leader sends entries again.
        (!envelope.body.is_bulk()).then_some(envelope)
    }

    /// Sends a message during a stall if it acknowledges nothing that is not durable. Others are lost,
    /// and are sent again when they are needed.
    pub(super) fn send_during_stall(&mut self, envelope: replica::Envelope) {
        let replica::Envelope { group, from, to, term, body } = envelope;
        let body = match body {
            replica::Message::HeartbeatReply { round, .. } => {
                replica::Message::HeartbeatReply { round, matched: 0 }
            }
            replica::Message::Heartbeat { .. } if self.should_abdicate() => return,
            replica::Message::Vote { .. }
            | replica::Message::VoteReply { .. }
            | replica::Message::Appended { .. }
            | replica::Message::AppendRejected { .. }
            | replica::Message::SnapshotChunkReply { .. } => return,
            body => body,
        };
        self.send_envelope(replica::Envelope { group, from, to, term, body });
    }

    /// Whether this leader should let another member lead: it has had no space for long, and a quorum
    /// of the others stores entries.
    fn should_abdicate(&self) -> bool {
        let Some(stall) = &self.stall else { return false };
        let membership = self.replica.membership();
        let storing = membership.voters().filter(|id| stall.members.get(id) == Some(&true)).count();
        self.now().saturating_sub(stall.since) > LEADER_STALL_LIMIT
            && (storing >= membership.quorum() || !self.replica.is_settled())
    }
}

//! Chunked transfer of a snapshot to a member that is behind the leader's log.

use crate::replica;
use crate::replica::Message;
use crate::replica::Replica;
use crate::replica::Snapshot;

/// Maximum size of the snapshot data in one message, in bytes. Limits the delay of heartbeats that
/// are queued behind it.
const MAX_CHUNK_BYTES: usize = 256 << 10;

/// Snapshot that the leader sends to a member. If the leader takes a newer one meanwhile, the
/// transfer continues with this one.
pub(super) struct OutgoingSnapshot {
    snapshot: Snapshot,
    /// Bytes that the member has received.
    offset: usize,
}

impl OutgoingSnapshot {
    pub(super) fn index(&self) -> u64 {
        self.snapshot.index
    }

    fn chunk(&self) -> Message {
        let data = &self.snapshot.data;
        let end = data.len().min(self.offset + MAX_CHUNK_BYTES);
        Message::SnapshotChunk {
            index: self.snapshot.index,
            last_term: self.snapshot.term,
            membership: self.snapshot.membership.clone(),
            offset: self.offset as u64,
            total: data.len() as u64,
            data: data.slice(self.offset..end),
        }
    }
}

/// Snapshot that a member is receiving, and what has arrived of it.
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    from: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Sends the next chunk to a member, starting a transfer if there is none.
    pub(super) fn send_chunk(&mut self, id: u64) {
        let (now, latest) = (self.now, self.log.snapshot().cloned());
        let Some(progress) = self.progress(id) else { return };
        if progress.transfer.is_none() {
            progress.transfer = latest.map(|snapshot| OutgoingSnapshot { snapshot, offset: 0 });
        }
        let Some(transfer) = &progress.transfer else { return };
        let chunk = transfer.chunk();
        let end = transfer.index();
        progress.record_sent(end, now);
        self.send(id, chunk);
    }

    pub(super) fn handle_chunk_reply(&mut self, from: u64, index: u64, received: u64) {
        self.record_contact(from);
        let now = self.now;
        let Some(progress) = self.progress(from) else { return };
        let Some(transfer) = &mut progress.transfer else { return };
        let size = transfer.snapshot.data.len() as u64;
        // A duplicate answer must not start a second sequence of chunks.
        if transfer.index() != index || received > size || received == transfer.offset as u64 {
            return;
        }
        transfer.offset = received as usize;
        progress.record_answer(now);
        self.replicate_to(from);
    }

    /// Handles a chunk of a snapshot: `part.data` holds the bytes from `offset` on, out of `total`.
    pub(super) fn handle_chunk(&mut self, from: u64, part: Snapshot, offset: u64, total: u64) {
        let Snapshot { index, term, membership, data } = part;
        if index <= self.commit_index || self.log.term_at(index) == Some(term) {
            // The log already holds the entries that the snapshot covers, and they are committed.
            self.incoming = None;
            self.raise_commit_index(index);
            self.record_accepted(index);
            return self.send(from, Message::Appended { matched: index });
        }
        let incoming = self.incoming.take();
        let same = |i: &IncomingSnapshot| (i.index, i.term, i.from) == (index, term, from);
        let mut incoming = match incoming.filter(same) {
            Some(incoming) => incoming,
            None => IncomingSnapshot { index, term, from, data: Vec::new() },
        };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(&data);
        }
        let received = incoming.data.len() as u64;
        if received < total {
            self.incoming = Some(incoming);
            return self.send(from, Message::SnapshotChunkReply { index, received });
        }
        self.install_snapshot(Snapshot { index, term, membership, data: incoming.data.into() });
        self.record_accepted(index);
        self.send(from, Message::Appended { matched: index });
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        self.log.reset(snapshot.clone());
        self.commit_index = index;
        self.applied_index = index;
        // The caller makes the snapshot durable before any further step.
        self.synced_index = index;
        self.outbox.snapshots.push(replica::Output::InstallSnapshot(snapshot));
    }
}

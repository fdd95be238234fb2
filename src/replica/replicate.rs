//! Replication of the log by the leader, and handling of append messages by followers.
//!
//! At most one append message per follower is in flight; entries that accumulate meanwhile are sent
//! in the next one. This batches entries under load and keeps the handling of loss, duplication and
//! reordering simple.

use crate::replica;
use crate::replica::Entry;
use crate::replica::Message;
use crate::replica::Replica;
use crate::replica::State;
use crate::replica::read;
use crate::replica::transfer;
use crate::sorted;
use std::time::Duration;

/// Maximum size of the entries in one message, in bytes; a single larger entry is sent alone.
/// Limits the delay of heartbeats that are queued behind a batch.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Number of heartbeat intervals after which an unanswered message is sent again.
const RESEND_HEARTBEATS: u32 = 2;

/// State of a leader.
pub(super) struct Leader {
    /// Index of the first entry of this leader. Until it is committed, the leader does not know
    /// which entries of earlier terms are committed.
    pub(super) first_index: u64,
    pub(super) progress: sorted::SortedMap<u64, Progress>,
    /// Time of the last periodic heartbeat.
    last_heartbeat: Duration,
    /// Size of the entries that are not committed.
    pub(super) uncommitted_bytes: usize,
    pub(super) reads: read::ReadQueue,
}

/// Replication progress of another member, as known to the leader.
pub(super) struct Progress {
    /// Last index up to which the member's synced log equals the leader's.
    pub(super) matched: u64,
    /// Next index to send.
    next: u64,
    /// Last index and send time of the message in flight.
    pub(super) in_flight: Option<(u64, Duration)>,
    /// Time of the last message from the member; `None` until a new member answers for the first
    /// time.
    pub(super) last_contact: Option<Duration>,
    /// Snapshot transfer to the member, if its log is too far behind.
    pub(super) transfer: Option<transfer::OutgoingSnapshot>,
}

impl Progress {
    pub(super) fn new(next: u64, last_contact: Option<Duration>) -> Progress {
        Progress { matched: 0, next, in_flight: None, last_contact, transfer: None }
    }
}

impl Leader {
    pub(super) fn new(
        first_index: u64,
        now: Duration,
        membership: &replica::Membership,
        own: u64,
        uncommitted_bytes: usize,
    ) -> Leader {
        let others = membership.members.iter().filter(|m| m.id != own);
        // Members count as heard from now, so that check-quorum starts with a full timeout.
        let progress = others.map(|m| (m.id, Progress::new(first_index, Some(now)))).collect();
        Leader {
            first_index,
            progress,
            last_heartbeat: now,
            uncommitted_bytes,
            reads: read::ReadQueue::default(),
        }
    }
}

impl Replica {
    pub(super) fn progress(&mut self, id: u64) -> Option<&mut Progress> {
        match &mut self.state {
            State::Leader(leader) => leader.progress.get_mut(&id),
            _ => None,
        }
    }

    /// Whether a message from `id` arrived within the last election timeout; false unless this
    /// replica leads.
    pub(super) fn is_live(&self, id: u64) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let last_contact = leader.progress.get(&id).and_then(|p| p.last_contact);
        id == self.config.id
            || last_contact.is_some_and(|at| self.now < at + self.config.election_timeout)
    }

    /// Appends an entry for a proposal or a membership change and accepts the request.
    pub(super) fn append_for_request(&mut self, token: u64, payload: replica::Payload) {
        let (index, term) = (self.append_entry(payload), self.term);
        self.outbox.answers.push(replica::Output::Accepted { token, index, term });
    }

    /// Appends an entry as the leader, sends it to the members that have no message in flight, and
    /// returns its index.
    pub(super) fn append_entry(&mut self, payload: replica::Payload) -> u64 {
        let entry = Entry { index: self.log.last_index() + 1, term: self.term, payload };
        let (index, size) = (entry.index, entry.size());
        self.log.push(entry);
        self.first_unsaved.get_or_insert(index);
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += size;
        }
        self.replicate();
        index
    }

    fn replicate(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let ids: Vec<u64> = leader.progress.keys().copied().collect();
        for id in ids {
            self.replicate_to(id);
        }
    }

    /// Sends the next entries to a member unless a message is in flight.
    pub(super) fn replicate_to(&mut self, id: u64) {
        let (now, last, base) = (self.now, self.log.last_index(), self.log.base());
        let Some(progress) = self.progress(id) else { return };
        if progress.in_flight.is_some() {
            return;
        }
        if progress.transfer.is_some() || progress.next <= base {
            return self.send_chunk(id);
        }
        if progress.next > last {
            return;
        }
        let prev = progress.next - 1;
        let entries = self.log.batch(prev + 1, MAX_BATCH_BYTES).to_vec();
        let in_flight = (prev + entries.len() as u64, now);
        if let Some(progress) = self.progress(id) {
            progress.in_flight = Some(in_flight);
        }
        let Some(prev_term) = self.log.term_at(prev) else { return };
        self.send(id, Message::Append { prev, prev_term, commit: self.commit_index, entries });
    }

    /// If a heartbeat is due, sends it and repeats messages that were not answered.
    pub(super) fn send_due_messages(&mut self) {
        let (now, interval) = (self.now, self.config.heartbeat_interval);
        let State::Leader(leader) = &mut self.state else { return };
        if now < leader.last_heartbeat + interval {
            return;
        }
        leader.last_heartbeat = now;
        for progress in leader.progress.iter_mut().map(|(_, p)| p) {
            let late = |(_, at): (u64, Duration)| now >= at + interval * RESEND_HEARTBEATS;
            if progress.in_flight.is_some_and(late) {
                progress.in_flight = None;
            }
        }
        self.send_heartbeats();
        self.replicate();
    }

    /// Sends a heartbeat with the current confirmation round to every member.
    pub(super) fn send_heartbeats(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let round = leader.reads.round();
        let matched: Vec<(u64, u64)> =
            leader.progress.iter().map(|(id, p)| (*id, p.matched)).collect();
        for (id, matched) in matched {
            self.send(id, Message::Heartbeat { commit: self.commit_index.min(matched), round });
        }
    }

    /// Records that a message from a member arrived.
    pub(super) fn record_contact(&mut self, from: u64) {
        let now = self.now;
        if let Some(progress) = self.progress(from) {
            progress.last_contact = Some(now);
        }
    }

    pub(super) fn handle_appended(&mut self, from: u64, matched: u64) {
        self.record_contact(from);
        let last = self.log.last_index();
        let Some(progress) = self.progress(from) else { return };
        progress.matched = progress.matched.max(matched.min(last));
        if progress.in_flight.is_some_and(|(end, _)| progress.matched >= end) {
            progress.in_flight = None;
            progress.next = progress.matched + 1;
        }
        if progress.transfer.as_ref().is_some_and(|t| progress.matched >= t.index()) {
            progress.transfer = None;
            progress.next = progress.matched + 1;
        }
        self.try_commit();
        self.replicate_to(from);
    }

    pub(super) fn handle_rejected(&mut self, from: u64, prev: u64, hint: u64) {
        self.record_contact(from);
        let Some(progress) = self.progress(from) else { return };
        // Otherwise, this is the answer to an earlier message.
        if progress.next != prev + 1 || progress.in_flight.is_none() {
            return;
        }
        progress.in_flight = None;
        progress.next = prev.min(hint + 1).max(progress.matched + 1);
        self.replicate_to(from);
    }

    /// Commits the entries that a quorum has synced.
    pub(super) fn try_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let membership = self.log.membership();
        let matched = |id: u64| match id == self.config.id {
            true => self.synced_index,
            false => leader.progress.get(&id).map_or(0, |p| p.matched),
        };
        let mut indexes: Vec<u64> = membership.voters().map(matched).collect();
        indexes.sort_unstable();
        let Some(at) = indexes.len().checked_sub(membership.quorum()) else { return };
        let index = indexes[at];
        // Entries of earlier terms are committed only together with one of this term: a quorum
        // that holds them does not prevent a later leader from replacing them.
        if index <= self.commit_index || self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit_up_to(index);
    }

    fn commit_up_to(&mut self, index: u64) {
        let sizes = self.log.range(self.commit_index + 1, index).iter().map(Entry::size);
        let bytes: usize = sizes.sum();
        self.commit_index = index;
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(bytes);
        }
        self.start_round();
        // A leader that was removed leads until its removal is committed.
        let removed = !self.log.membership().is_voter(self.config.id);
        if removed && self.log.membership_index() <= self.commit_index {
            self.send_heartbeats();
            self.step_down(self.term);
        }
    }

    /// Handles entries from the leader: accepts them if the logs are equal at `prev`.
    pub(super) fn handle_append(
        &mut self,
        from: u64,
        prev: u64,
        prev_term: u64,
        commit: u64,
        entries: Vec<Entry>,
    ) {
        // The log equals the leader's up to the commit index, so nothing is compared there.
        if prev > self.commit_index && self.log.term_at(prev) != Some(prev_term) {
            let hint = match prev > self.log.last_index() {
                true => self.log.last_index(),
                false => self.log.end_of_previous_term(prev).max(self.commit_index),
            };
            return self.send(from, Message::AppendRejected { prev, hint });
        }
        let matched = prev + entries.len() as u64;
        for entry in entries {
            self.accept_entry(entry);
        }
        self.raise_commit_index(commit.min(matched));
        self.send(from, Message::Appended { matched });
    }

    fn accept_entry(&mut self, entry: Entry) {
        let known = self.log.term_at(entry.index) == Some(entry.term);
        if known || entry.index <= self.log.base() {
            return;
        }
        if entry.index <= self.log.last_index() {
            assert!(
                entry.index > self.commit_index,
                "committed entry {} would change",
                entry.index
            );
            self.log.truncate(entry.index);
            self.synced_index = self.synced_index.min(entry.index - 1);
        }
        let from = self.first_unsaved.map_or(entry.index, |first| first.min(entry.index));
        self.first_unsaved = Some(from);
        self.log.push(entry);
    }
}

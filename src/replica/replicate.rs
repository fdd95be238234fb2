//! Replication of the log from the leader, and its acceptance by followers.
//!
//! One append message per follower is in flight; what accumulates meanwhile travels in the next
//! one. That batches under load and keeps loss, duplication and reordering simple.

use crate::replica;
use crate::replica::Entry;
use crate::replica::Message;
use crate::replica::Replica;
use crate::replica::State;
use crate::replica::read;
use crate::replica::transfer;
use crate::sorted;
use std::time::Duration;

/// Bytes of entries in one message. Bounds the delay that a batch causes for heartbeats behind it.
const MAX_BATCH: usize = 1 << 20;
/// Heartbeats after which an unanswered message is sent again.
const RESEND_BEATS: u32 = 2;

/// State of a leader.
pub(super) struct Leader {
    /// First entry of this leader. Until it is committed, entries of earlier terms are in doubt.
    pub(super) first: u64,
    pub(super) progress: sorted::SortedMap<u64, Progress>,
    /// When the last heartbeat was sent.
    beat: Duration,
    /// Bytes of entries that are not committed.
    pub(super) uncommitted: usize,
    pub(super) reads: read::Reads,
}

/// What the leader knows of another member.
pub(super) struct Progress {
    /// Last index up to which the member's synced log equals the leader's.
    pub(super) matched: u64,
    /// Next index to send.
    next: u64,
    /// Last index and time of the message in flight.
    pub(super) flight: Option<(u64, Duration)>,
    /// When the member was last heard from; none before the first answer of a new member.
    pub(super) heard: Option<Duration>,
    pub(super) transfer: Option<transfer::Outgoing>,
}

impl Progress {
    pub(super) fn new(next: u64, heard: Option<Duration>) -> Progress {
        Progress { matched: 0, next, flight: None, heard, transfer: None }
    }
}

impl Leader {
    pub(super) fn new(
        first: u64,
        now: Duration,
        members: &replica::Membership,
        own: u64,
        uncommitted: usize,
    ) -> Leader {
        let others = members.members.iter().filter(|m| m.id != own);
        // Voters count as heard from, so that check-quorum starts with a full timeout.
        let progress = others.map(|m| (m.id, Progress::new(first, Some(now)))).collect();
        Leader { first, progress, beat: now, uncommitted, reads: read::Reads::default() }
    }
}

impl Replica {
    pub(super) fn progress(&mut self, id: u64) -> Option<&mut Progress> {
        match &mut self.state {
            State::Leader(leader) => leader.progress.get_mut(&id),
            _ => None,
        }
    }

    /// Whether the leader heard from `id` within an election timeout.
    pub(super) fn is_live(&self, id: u64) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let heard = leader.progress.get(&id).and_then(|p| p.heard);
        id == self.config.id || heard.is_some_and(|at| self.now < at + self.config.election)
    }

    /// Appends an entry for a request of the shell.
    pub(super) fn append(&mut self, token: u64, payload: replica::Payload) {
        let (index, term) = (self.push(payload), self.term);
        self.outbox.answers.push(replica::Output::Accepted { token, index, term });
    }

    /// Appends an entry as the leader and sends it to the members that are idle.
    pub(super) fn push(&mut self, payload: replica::Payload) -> u64 {
        let entry = Entry { index: self.log.last() + 1, term: self.term, payload };
        let (index, size) = (entry.index, entry.size());
        self.log.push(entry);
        self.unsaved.get_or_insert(index);
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted += size;
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
        let (now, last, base) = (self.now, self.log.last(), self.log.base());
        let Some(progress) = self.progress(id) else { return };
        if progress.flight.is_some() {
            return;
        }
        if progress.transfer.is_some() || progress.next <= base {
            return self.send_chunk(id);
        }
        if progress.next > last {
            return;
        }
        let prev = progress.next - 1;
        let entries = self.log.batch(prev + 1, MAX_BATCH).to_vec();
        let flight = (prev + entries.len() as u64, now);
        if let Some(progress) = self.progress(id) {
            progress.flight = Some(flight);
        }
        let Some(prev_term) = self.log.term(prev) else { return };
        self.send(id, Message::Append { prev, prev_term, commit: self.commit, entries });
    }

    /// Sends heartbeats that are due and messages that were not answered.
    pub(super) fn resend(&mut self) {
        let (now, interval) = (self.now, self.config.heartbeat);
        let State::Leader(leader) = &mut self.state else { return };
        if now < leader.beat + interval {
            return;
        }
        leader.beat = now;
        for progress in leader.progress.iter_mut().map(|(_, p)| p) {
            let late = |(_, at): (u64, Duration)| now >= at + interval * RESEND_BEATS;
            if progress.flight.is_some_and(late) {
                progress.flight = None;
            }
        }
        self.send_beats();
        self.replicate();
    }

    /// Sends a heartbeat with the current confirmation round to every member.
    pub(super) fn send_beats(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let round = leader.reads.round();
        let matched: Vec<(u64, u64)> =
            leader.progress.iter().map(|(id, p)| (*id, p.matched)).collect();
        for (id, matched) in matched {
            self.send(id, Message::Beat { commit: self.commit.min(matched), round });
        }
    }

    /// Records a sign of life of a member.
    pub(super) fn hear(&mut self, from: u64) {
        let now = self.now;
        if let Some(progress) = self.progress(from) {
            progress.heard = Some(now);
        }
    }

    pub(super) fn appended(&mut self, from: u64, matched: u64) {
        self.hear(from);
        let last = self.log.last();
        let Some(progress) = self.progress(from) else { return };
        progress.matched = progress.matched.max(matched.min(last));
        if progress.flight.is_some_and(|(end, _)| progress.matched >= end) {
            progress.flight = None;
            progress.next = progress.matched + 1;
        }
        if progress.transfer.as_ref().is_some_and(|t| progress.matched >= t.index()) {
            progress.transfer = None;
            progress.next = progress.matched + 1;
        }
        self.advance_leader();
        self.replicate_to(from);
    }

    pub(super) fn rejected(&mut self, from: u64, prev: u64, hint: u64) {
        self.hear(from);
        let Some(progress) = self.progress(from) else { return };
        // Anything else is the answer to an earlier message.
        if progress.next != prev + 1 || progress.flight.is_none() {
            return;
        }
        progress.flight = None;
        progress.next = prev.min(hint + 1).max(progress.matched + 1);
        self.replicate_to(from);
    }

    /// Commits the entries that a quorum has synced.
    pub(super) fn advance_leader(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let members = self.log.members();
        let matched = |id: u64| match id == self.config.id {
            true => self.synced,
            false => leader.progress.get(&id).map_or(0, |p| p.matched),
        };
        let mut indexes: Vec<u64> = members.voters().map(matched).collect();
        indexes.sort_unstable();
        let Some(at) = indexes.len().checked_sub(members.quorum()) else { return };
        let index = indexes[at];
        // Entries of earlier terms are committed only together with one of this term: a quorum
        // that holds them does not prevent a later leader from replacing them.
        if index <= self.commit || self.log.term(index) != Some(self.term) {
            return;
        }
        self.commit_leader(index);
    }

    fn commit_leader(&mut self, index: u64) {
        let sizes = self.log.range(self.commit + 1, index).iter().map(Entry::size);
        let bytes: usize = sizes.sum();
        self.commit = index;
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted = leader.uncommitted.saturating_sub(bytes);
        }
        self.start_round();
        // A leader that was removed leads until its removal is committed.
        let removed = !self.log.members().is_voter(self.config.id);
        if removed && self.log.members_index() <= self.commit {
            self.send_beats();
            self.step_down(self.term);
        }
    }

    /// Accepts entries from the leader.
    pub(super) fn accept(
        &mut self,
        from: u64,
        prev: u64,
        prev_term: u64,
        commit: u64,
        entries: Vec<Entry>,
    ) {
        // Everything up to the commit index equals the leader's log.
        if prev > self.commit && self.log.term(prev) != Some(prev_term) {
            let hint = match prev > self.log.last() {
                true => self.log.last(),
                false => self.log.before_term(prev).max(self.commit),
            };
            return self.send(from, Message::Rejected { prev, hint });
        }
        let matched = prev + entries.len() as u64;
        for entry in entries {
            self.accept_entry(entry);
        }
        self.advance(commit.min(matched));
        self.send(from, Message::Appended { matched });
    }

    fn accept_entry(&mut self, entry: Entry) {
        let known = self.log.term(entry.index) == Some(entry.term);
        if known || entry.index <= self.log.base() {
            return;
        }
        if entry.index <= self.log.last() {
            assert!(entry.index > self.commit, "committed entry {} would change", entry.index);
            self.log.truncate(entry.index);
            self.synced = self.synced.min(entry.index - 1);
        }
        let from = self.unsaved.map_or(entry.index, |first| first.min(entry.index));
        self.unsaved = Some(from);
        self.log.push(entry);
    }
}

//! Replication of the log by the leader, and handling of append messages by followers.
//!
//! At most one append message per follower is in flight; entries that accumulate meanwhile are sent
//! in the next one. This batches entries under load and keeps the handling of loss, duplication and
//! reordering simple.
//!
//! A message in flight is sent again only if the connection on which it was sent is reported lost,
//! or after a time well above the measured one from message to answer, which doubles with every
//! repetition. A follower that is slow does not receive the same entries again and become slower.

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
/// Election timeouts after which an unanswered message is sent again at the earliest. Connections
/// report what they lose, so this makes up only for messages that a follower drops.
const RESEND_ELECTION_TIMEOUTS: u32 = 3;
/// An unanswered message is sent again after this many times the smoothed time from message to
/// answer, at the earliest.
const RESEND_ROUND_TRIPS: u32 = 4;
/// Longest time after which an unanswered message is sent again.
const MAX_RESEND_TIMEOUT: Duration = Duration::from_secs(10);
/// A measured time from message to answer counts for one part in this many in the smoothed one.
const ROUND_TRIP_WEIGHT: u32 = 4;
/// Most doublings of the time after which a message is sent again.
const MAX_BACKOFF: u32 = 5;

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
    /// Message in flight.
    pub(super) in_flight: Option<InFlight>,
    /// Smoothed time from message to answer; zero before the first answer.
    round_trip: Duration,
    /// Repetitions since a message was last answered without being repeated.
    backoff: u32,
    /// Whether the next message repeats one that was not answered.
    repeats: bool,
    /// Messages that were sent again.
    repeated: u64,
    /// Whether the member answers heartbeats without storing entries, since its disk is full.
    stalled: bool,
    /// Time of the last message from the member; `None` until a new member answers for the first
    /// time.
    pub(super) last_contact: Option<Duration>,
    /// Snapshot transfer to the member, if its log is too far behind.
    pub(super) transfer: Option<transfer::OutgoingSnapshot>,
}

/// Message with entries or a part of a snapshot that the member has not answered.
#[derive(Clone, Copy)]
pub(super) struct InFlight {
    /// Index that the member reaches with it.
    end: u64,
    /// Time at which it was sent.
    sent: Duration,
    /// Whether it repeats an earlier message, so that its answer may belong to that one.
    repeated: bool,
}

impl Progress {
    pub(super) fn new(next: u64, last_contact: Option<Duration>) -> Progress {
        Progress {
            matched: 0,
            next,
            in_flight: None,
            round_trip: Duration::ZERO,
            backoff: 0,
            repeats: false,
            repeated: 0,
            stalled: false,
            last_contact,
            transfer: None,
        }
    }

    /// Records that a message was sent with which the member reaches the index `end`.
    pub(super) fn record_sent(&mut self, end: u64, now: Duration) {
        let repeated = std::mem::take(&mut self.repeats);
        self.repeated += u64::from(repeated);
        self.in_flight = Some(InFlight { end, sent: now, repeated });
    }

    /// Records that the message in flight was answered.
    pub(super) fn record_answer(&mut self, now: Duration) {
        let Some(InFlight { sent, repeated: false, .. }) = self.in_flight.take() else { return };
        let sample = now.saturating_sub(sent);
        self.round_trip = match self.round_trip.is_zero() {
            true => sample,
            false => {
                self.round_trip + sample / ROUND_TRIP_WEIGHT - self.round_trip / ROUND_TRIP_WEIGHT
            }
        };
        self.backoff = 0;
    }

    /// Time after which the message in flight is sent again; at least `shortest` before any
    /// repetition.
    fn resend_timeout(&self, shortest: Duration) -> Duration {
        let single = shortest.max(self.round_trip * RESEND_ROUND_TRIPS);
        (single * (1 << self.backoff)).min(MAX_RESEND_TIMEOUT)
    }

    /// Records the entries that the member has according to an answer to a heartbeat. What was sent
    /// while its disk was full is lost, and is sent again without the pause that has grown meanwhile.
    pub(super) fn record_heartbeat_reply(&mut self, matched: u64) {
        if matched == 0 && self.matched > 0 {
            self.stalled = true;
        } else if matched > 0 && std::mem::take(&mut self.stalled) {
            (self.in_flight, self.backoff, self.repeats) = (None, 0, true);
        }
    }

    /// Gives up the message in flight if it is not answered in time.
    fn expire_in_flight(&mut self, now: Duration, shortest: Duration) {
        let limit = self.resend_timeout(shortest);
        if self.in_flight.take_if(|m| now >= m.sent + limit).is_some() {
            self.backoff = (self.backoff + 1).min(MAX_BACKOFF);
            self.repeats = true;
        }
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

    /// How far the other members have got; empty unless this replica leads.
    pub fn replication(&self) -> Vec<replica::MemberProgress> {
        let State::Leader(leader) = &self.state else { return Vec::new() };
        let last = self.log.last_index();
        let progress = |(id, p): (&u64, &Progress)| replica::MemberProgress {
            id: *id,
            behind: last.saturating_sub(p.matched),
            round_trip: p.round_trip,
            repeated: p.repeated,
        };
        leader.progress.iter().map(progress).collect()
    }

    /// Size of the entries that are not committed; 0 unless this replica leads.
    pub fn uncommitted_bytes(&self) -> usize {
        match &self.state {
            State::Leader(leader) => leader.uncommitted_bytes,
            _ => 0,
        }
    }

    /// Whether a message from `id` arrived within the last election timeout; false unless this
    /// replica leads.
    pub fn is_live(&self, id: u64) -> bool {
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

    /// Sends the next entries to a member unless a message is in flight or the member no
    /// longer answers heartbeats. Its next answer to one continues the replication.
    pub(super) fn replicate_to(&mut self, id: u64) {
        let (now, last, base) = (self.now, self.log.last_index(), self.log.base());
        let timeout = self.config.election_timeout;
        let Some(progress) = self.progress(id) else { return };
        let silent = progress.last_contact.is_some_and(|at| now >= at + timeout);
        if progress.in_flight.is_some() || silent {
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
        let end = prev + entries.len() as u64;
        if let Some(progress) = self.progress(id) {
            progress.record_sent(end, now);
        }
        let Some(prev_term) = self.log.term_at(prev) else { return };
        self.send(id, Message::Append { prev, prev_term, commit: self.commit_index, entries });
    }

    /// If a heartbeat is due, sends it and repeats messages that were not answered in time.
    pub(super) fn send_due_messages(&mut self) {
        let (now, interval) = (self.now, self.config.heartbeat_interval);
        let shortest = self.config.election_timeout * RESEND_ELECTION_TIMEOUTS;
        let State::Leader(leader) = &mut self.state else { return };
        if now < leader.last_heartbeat + interval {
            return;
        }
        leader.last_heartbeat = now;
        for progress in leader.progress.iter_mut().map(|(_, p)| p) {
            progress.expire_in_flight(now, shortest);
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
        let (now, was_live) = (self.now, self.is_live(from));
        if let Some(progress) = self.progress(from) {
            progress.last_contact = Some(now);
            // What was sent while it did not answer says nothing about its speed.
            if !was_live {
                progress.backoff = 0;
            }
        }
    }

    /// Handles the loss of the connection to a member: what is in flight is sent again.
    pub(super) fn handle_lost_connection(&mut self, id: u64) {
        let Some(progress) = self.progress(id) else { return };
        if progress.in_flight.take().is_some() {
            progress.repeats = true;
            self.replicate_to(id);
        }
    }

    pub(super) fn handle_appended(&mut self, from: u64, matched: u64) {
        self.record_contact(from);
        self.record_matched(from, matched);
        self.try_commit();
        self.replicate_to(from);
    }

    /// Records up to which index the synced log of a member equals that of this leader.
    pub(super) fn record_matched(&mut self, from: u64, matched: u64) {
        let (now, last) = (self.now, self.log.last_index());
        let Some(progress) = self.progress(from) else { return };
        progress.matched = progress.matched.max(matched.min(last));
        if progress.in_flight.is_some_and(|m| progress.matched >= m.end) {
            progress.record_answer(now);
            progress.next = progress.matched + 1;
        }
        if progress.transfer.as_ref().is_some_and(|t| progress.matched >= t.index()) {
            progress.transfer = None;
            progress.next = progress.matched + 1;
        }
    }

    pub(super) fn handle_rejected(&mut self, from: u64, prev: u64, hint: u64) {
        self.record_contact(from);
        let now = self.now;
        let Some(progress) = self.progress(from) else { return };
        // Otherwise, this is the answer to an earlier message.
        if progress.next != prev + 1 || progress.in_flight.is_none() {
            return;
        }
        progress.record_answer(now);
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
        self.record_accepted(matched);
        self.send(from, Message::Appended { matched });
    }

    /// Records that the log equals that of the current leader up to `index`.
    pub(super) fn record_accepted(&mut self, index: u64) {
        let earlier = self.accepted_index();
        self.accepted = (self.term, index.max(earlier));
    }

    /// Index up to which the log is known to equal that of the current leader. Entries up to it
    /// may be in the batch that is being synced.
    pub(super) fn accepted_index(&self) -> u64 {
        let (term, index) = self.accepted;
        if term == self.term { index } else { 0 }
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

//! One replica of one replicated log, free of I/O.
//!
//! The log is leader-based (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm") with pre-vote, check-quorum and single-server membership changes. The shell feeds
//! [`Input`]s to [`Replica::step`] and carries out the [`Output`]s in order:
//!
//! - Every `Persist`, `Store` and `Restore` of a batch of steps is written and synced before any
//!   `Send` of that batch is transmitted. Acknowledgements are emitted in the step that emits the
//!   entries, so transmitting them earlier would acknowledge entries that can still be lost.
//! - `Restore` and `Apply` change the machine in the order of the outputs. A batch can hold `Apply`
//!   before `Restore`; applying those entries to the restored machine would corrupt it.
//! - `Synced` is fed back before any further step. While a sync cannot be completed because the
//!   disk is full, no `Send` is transmitted.
//! - After a start, the shell restores the machine from [`Restored::snapshot`] before the first
//!   step. The first step emits `Apply` for the entries that are known to be committed.

mod election;
pub mod formation;
mod log;
mod membership;
mod read;
pub mod repair;
mod replicate;
mod transfer;
pub mod turnover;
mod types;

pub use types::*;

use bytes::Bytes;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Largest command in bytes. Leaves room for the envelope within [`crate::wire::MAX_FRAME`].
pub const MAX_COMMAND: usize = 8 << 20;
/// Uncommitted bytes at a leader above which proposals are refused, so that a leader that has
/// just lost its quorum does not accumulate work that it cannot commit.
pub const MAX_UNCOMMITTED: usize = 64 << 20;

enum State {
    Follower,
    Candidate(election::Ballot),
    Leader(Box<replicate::Leader>),
}

/// One replica of one group.
pub struct Replica {
    config: Config,
    rng: ChaCha8Rng,
    now: Duration,
    term: u64,
    vote: Option<u64>,
    state: State,
    leader: Option<u64>,
    log: log::Log,
    commit: u64,
    /// Last index that was handed to the shell in `Apply`.
    applied: u64,
    /// Last durable index.
    synced: u64,
    /// When an election starts unless a leader is heard from.
    deadline: Duration,
    /// When the leader was last heard from.
    heard: Duration,
    /// Membership of a group that this replica forms, until its first entry is appended.
    forming: Option<Membership>,
    incoming: Option<transfer::Incoming>,
    /// Hard state in the last `Persist`.
    saved: HardState,
    /// First entry that is not in a `Persist` yet.
    unsaved: Option<u64>,
    /// Role, term and leader in the last `Role`.
    shown: (Role, u64, Option<u64>),
    outbox: Outbox,
}

/// Outputs of the running step by kind.
#[derive(Default)]
struct Outbox {
    snapshots: Vec<Output>,
    sends: Vec<Output>,
    answers: Vec<Output>,
    reads: Vec<Output>,
}

impl Replica {
    /// Creates a replica from what storage has read back.
    pub fn new(config: Config, restored: Restored, now: Duration) -> Replica {
        let Restored { hard, snapshot, entries } = restored;
        let applied = snapshot.as_ref().map_or(0, |s| s.index);
        let log = log::Log::new(snapshot, entries);
        let seed = config.seed ^ config.id.rotate_left(32) ^ u64::from(config.group);
        let mut replica = Replica {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            term: hard.term,
            vote: hard.vote,
            state: State::Follower,
            leader: None,
            commit: hard.commit.clamp(applied, log.last()),
            applied,
            synced: log.last(),
            deadline: now,
            heard: now,
            forming: None,
            incoming: None,
            saved: hard,
            unsaved: None,
            shown: (Role::Forming, 0, None),
            outbox: Outbox::default(),
            config,
            log,
        };
        replica.defer_election();
        replica
    }

    /// Processes one input. The outputs are carried out in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Message(envelope) => self.receive(envelope),
            Input::Propose { token, command } => self.propose(token, command),
            Input::Read { token } => self.read(token),
            Input::Synced { index } => self.synced(index),
            Input::Snapshot { index, data } => self.compact(index, data),
            Input::Change { token, change } => self.change(token, change),
            Input::Form(members) => self.form(members),
        }
        self.finish()
    }

    /// Current role.
    pub fn role(&self) -> Role {
        match self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate(_) => Role::Candidate,
            State::Follower if self.members().is_voter(self.config.id) => Role::Follower,
            State::Follower if self.members().members.is_empty() => Role::Forming,
            State::Follower => Role::Learner,
        }
    }

    /// Replica id.
    pub fn id(&self) -> u64 {
        self.config.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replica id of the leader, if known.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Last log index.
    pub fn last(&self) -> u64 {
        self.log.last()
    }

    /// Index of the last snapshot; 0 if there is none.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot().map_or(0, |s| s.index)
    }

    /// Latest membership in the log, committed or not.
    pub fn members(&self) -> &Membership {
        self.forming.as_ref().unwrap_or(self.log.members())
    }

    /// Whether the latest membership is committed, and on a leader also an entry of its own term:
    /// the next membership change is possible.
    pub fn settled(&self) -> bool {
        let committed = self.log.members_index() <= self.commit && self.forming.is_none();
        match &self.state {
            State::Leader(leader) => committed && leader.first <= self.commit,
            _ => committed,
        }
    }

    /// Whether the log holds no entry and no snapshot.
    pub fn blank(&self) -> bool {
        self.log.last() == 0
    }

    /// Voters that were heard from within an election timeout, including this one; empty unless
    /// this replica leads.
    pub fn live(&self) -> Vec<u64> {
        match &self.state {
            State::Leader(_) => self.members().voters().filter(|id| self.is_live(*id)).collect(),
            _ => Vec::new(),
        }
    }

    /// Whether the synced log of `id` has reached the commit index; false unless this replica
    /// leads.
    pub fn caught_up(&self, id: u64) -> bool {
        match &self.state {
            State::Leader(l) => l.progress.get(&id).is_some_and(|p| p.matched >= self.commit),
            _ => false,
        }
    }

    fn propose(&mut self, token: u64, command: Bytes) {
        if let Err(reason) = self.check_proposal(command.len()) {
            return self.refuse(token, reason);
        }
        self.append(token, Payload::Command(command));
    }

    fn check_proposal(&self, size: usize) -> Result<(), Refusal> {
        let State::Leader(leader) = &self.state else {
            return Err(Refusal::NotLeader { leader: self.leader });
        };
        if size > MAX_COMMAND {
            return Err(Refusal::TooLarge);
        }
        if leader.uncommitted + size > MAX_UNCOMMITTED {
            return Err(Refusal::Busy);
        }
        Ok(())
    }

    fn refuse(&mut self, token: u64, reason: Refusal) {
        self.outbox.answers.push(Output::Refused { token, reason });
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope { group, from, to, term, body } = envelope;
        // Only the committed membership counts: an uncommitted removal can be rolled back, and
        // its subject may be the leader that rolls it back.
        let retired = self.log.members_at(self.commit).is_retired(from);
        if group != self.config.group || to != self.config.id || retired {
            return;
        }
        if term < self.term {
            return self.answer_old_term(from, body);
        }
        if term > self.term && !self.enter_term(term, &body) {
            return;
        }
        match body {
            Message::PreVote { last, last_term } => self.pre_vote(from, term, last, last_term),
            Message::PreVoteReply { granted } => self.count_vote(from, term, true, granted),
            Message::Vote { last, last_term } => self.vote(from, last, last_term),
            Message::VoteReply { granted } => self.count_vote(from, term, false, granted),
            Message::Append { prev, prev_term, commit, entries } => {
                self.follow(from);
                self.accept(from, prev, prev_term, commit, entries);
            }
            Message::Beat { commit, round } => {
                self.follow(from);
                self.advance(commit);
                self.send(from, Message::BeatReply { round });
            }
            Message::Chunk { index, last_term, members, offset, total, data } => {
                self.follow(from);
                let snapshot = Snapshot { index, term: last_term, members, data };
                self.accept_chunk(from, snapshot, offset, total);
            }
            Message::Appended { matched } => self.appended(from, matched),
            Message::Rejected { prev, hint } => self.rejected(from, prev, hint),
            Message::BeatReply { round } => self.beat_reply(from, round),
            Message::ChunkReply { index, received } => self.chunk_reply(from, index, received),
        }
    }

    /// Answers requests of an old term, so that the sender learns the current one.
    fn answer_old_term(&mut self, from: u64, body: Message) {
        match body {
            Message::PreVote { .. } => self.send(from, Message::PreVoteReply { granted: false }),
            Message::Vote { .. } => self.send(from, Message::VoteReply { granted: false }),
            Message::Append { .. } | Message::Beat { .. } | Message::Chunk { .. } => {
                self.send(from, Message::BeatReply { round: 0 });
            }
            _ => {}
        }
    }

    /// Handles a message of a newer term. Returns whether the message is processed further.
    fn enter_term(&mut self, term: u64, body: &Message) -> bool {
        match body {
            // The term of a pre-vote is only asked about.
            Message::PreVote { .. } | Message::PreVoteReply { granted: true } => true,
            // A replica with a live leader ignores candidates, so a replica that was removed or
            // cut off cannot disturb the group.
            Message::Vote { .. } if self.has_leader() => false,
            _ => {
                self.step_down(term);
                true
            }
        }
    }

    fn send(&mut self, to: u64, body: Message) {
        self.send_with_term(to, self.term, body);
    }

    fn send_with_term(&mut self, to: u64, term: u64, body: Message) {
        let (group, from) = (self.config.group, self.config.id);
        self.outbox.sends.push(Output::Send(Envelope { group, from, to, term, body }));
    }

    /// Raises the commit index, not beyond the log.
    fn advance(&mut self, commit: u64) {
        self.commit = self.commit.max(commit.min(self.log.last()));
    }

    fn synced(&mut self, index: u64) {
        self.synced = self.synced.max(index.min(self.log.last()));
        self.advance_leader();
    }

    fn compact(&mut self, index: u64, data: Bytes) {
        if index <= self.snapshot_index() || index > self.applied {
            return;
        }
        if let Some(term) = self.log.term(index) {
            let snapshot = self.log.compact(index, term, data);
            self.outbox.snapshots.push(Output::Store(snapshot));
        }
    }

    /// Collects the outputs of a step in the order in which the shell carries them out.
    fn finish(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        outputs.extend(self.persist());
        let outbox = std::mem::take(&mut self.outbox);
        outputs.extend(outbox.snapshots);
        outputs.extend(outbox.sends);
        outputs.extend(outbox.answers);
        // Entries precede the role, so that the shell settles what was committed before it gives
        // up the rest after a loss of leadership.
        if self.commit > self.applied {
            outputs.push(Output::Apply(self.log.range(self.applied + 1, self.commit).to_vec()));
            self.applied = self.commit;
        }
        outputs.extend(outbox.reads);
        let shown = (self.role(), self.term, self.leader);
        if shown != self.shown {
            self.shown = shown;
            let (role, term, leader) = shown;
            outputs.push(Output::Role { role, term, leader });
        }
        outputs
    }

    fn persist(&mut self) -> Option<Output> {
        let hard = HardState { term: self.term, vote: self.vote, commit: self.commit };
        let entries = match self.unsaved.take() {
            Some(from) => self.log.range(from, self.log.last()).to_vec(),
            None => Vec::new(),
        };
        // The commit index alone is not worth a write: it is only a lower bound.
        let voted = (hard.term, hard.vote) != (self.saved.term, self.saved.vote);
        let changed = voted || (!entries.is_empty() && hard != self.saved);
        if entries.is_empty() && !changed {
            return None;
        }
        self.saved = hard;
        Some(Output::Persist { hard: changed.then_some(hard), entries })
    }

    /// Sets the next election deadline to a random time.
    fn defer_election(&mut self) {
        let election = self.config.election;
        let random = self.rng.random_range(0..=election.as_micros() as u64);
        self.deadline = self.now + election + Duration::from_micros(random);
    }
}

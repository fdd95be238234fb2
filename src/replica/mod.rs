//! Raft core of one replica of a replicated log, free of I/O.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm") with pre-vote, check-quorum and single-server membership changes. The caller, which
//! is the thread in [`crate::state::group`], feeds [`Input`]s to [`Replica::step`] and carries out
//! the [`Output`]s in order:
//!
//! - Every `Persist`, `SaveSnapshot` and `InstallSnapshot` of a batch of steps is written and
//!   synced before any `Send` of that batch is transmitted. Acknowledgements are emitted in the
//!   step that emits the entries, so transmitting them earlier would acknowledge entries that can
//!   still be lost.
//! - `InstallSnapshot` and `Apply` change the state machine in the order of the outputs. A batch
//!   can hold `Apply` before `InstallSnapshot`; applying those entries to the restored state
//!   machine would corrupt it.
//! - `Synced` is fed back before any further step. While a sync cannot be completed because the
//!   disk is full, no `Send` is transmitted.
//! - After a start, the caller restores the state machine from [`PersistentState::snapshot`]
//!   before the first step. The first step emits `Apply` for the entries that are known to be
//!   committed.

mod election;
pub mod formation;
mod log;
mod membership;
pub mod probing;
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

/// Maximum size of a command in bytes. Leaves room for the envelope within
/// [`crate::wire::MAX_FRAME`].
pub const MAX_COMMAND_BYTES: usize = 8 << 20;
/// Maximum size of the uncommitted entries at a leader, in bytes. Proposals beyond it are refused,
/// so that a leader that has just lost its quorum does not accumulate work that it cannot commit.
pub const MAX_UNCOMMITTED_BYTES: usize = 64 << 20;

enum State {
    Follower,
    Candidate(election::VoteTally),
    Leader(Box<replicate::Leader>),
}

/// One replica of one group.
pub struct Replica {
    config: Config,
    rng: ChaCha8Rng,
    now: Duration,
    term: u64,
    vote: Option<u64>,
    /// Time of the last vote for another replica since the start.
    vote_time: Option<Duration>,
    state: State,
    leader: Option<u64>,
    log: log::Log,
    commit_index: u64,
    /// Last index that was emitted in `Apply`.
    applied_index: u64,
    /// Last durable index.
    synced_index: u64,
    /// Time at which an election starts unless a leader is heard from before.
    election_deadline: Duration,
    /// Time of the last message from the leader.
    leader_contact: Duration,
    /// Membership of a group that this replica forms, until it is appended as the first entry.
    forming: Option<Membership>,
    /// Term, and last index up to which the log is known to equal that of the term's leader.
    accepted: (u64, u64),
    /// Snapshot that is being received from the leader.
    incoming: Option<transfer::IncomingSnapshot>,
    /// Hard state in the last `Persist`.
    saved_state: HardState,
    /// First entry that is not in a `Persist` yet.
    first_unsaved: Option<u64>,
    /// Role, term and leader in the last `Role`.
    reported_role: (Role, u64, Option<u64>),
    outbox: Outbox,
}

/// Outputs of the current step, by kind.
#[derive(Default)]
struct Outbox {
    snapshots: Vec<Output>,
    sends: Vec<Output>,
    answers: Vec<Output>,
    reads: Vec<Output>,
}

impl Replica {
    /// Creates a replica from its durable state.
    pub fn new(config: Config, restored: PersistentState, now: Duration) -> Replica {
        let PersistentState { hard_state, snapshot, entries } = restored;
        let applied = snapshot.as_ref().map_or(0, |s| s.index);
        let log = log::Log::new(snapshot, entries);
        let seed = config.seed ^ config.id.rotate_left(32) ^ u64::from(config.group);
        let mut replica = Replica {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            term: hard_state.term,
            vote: hard_state.vote,
            vote_time: None,
            state: State::Follower,
            leader: None,
            commit_index: hard_state.commit.clamp(applied, log.last_index()),
            applied_index: applied,
            synced_index: log.last_index(),
            election_deadline: now,
            leader_contact: now,
            forming: None,
            accepted: (0, 0),
            incoming: None,
            saved_state: hard_state,
            first_unsaved: None,
            reported_role: (Role::Forming, 0, None),
            outbox: Outbox::default(),
            config,
            log,
        };
        replica.reset_election_deadline();
        replica
    }

    /// Processes one input. The caller carries out the outputs in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Message(envelope) => self.receive(envelope),
            Input::Propose { token, command } => self.propose(token, command),
            Input::Read { token } => self.read(token),
            Input::Synced { index } => self.record_synced(index),
            Input::ConnectionLost { member } => self.handle_lost_connection(member),
            Input::Snapshot { index, data } => self.compact(index, data),
            Input::ChangeMembership { token, change } => self.change_membership(token, change),
            Input::Form(membership) => self.form_group(membership),
        }
        self.take_outputs()
    }

    /// Current role.
    pub fn role(&self) -> Role {
        match self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate(_) => Role::Candidate,
            State::Follower if self.membership().is_voter(self.config.id) => Role::Follower,
            State::Follower if self.membership().members.is_empty() => Role::Forming,
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
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Last log index.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Last snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot()
    }

    /// Index of the last snapshot; 0 if there is none.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot().map_or(0, |s| s.index)
    }

    /// Latest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        self.forming.as_ref().unwrap_or(self.log.membership())
    }

    /// Whether the committed membership says that `id` was removed from the group. An uncommitted removal
    /// can be rolled back.
    pub fn is_removed(&self, id: u64) -> bool {
        self.log.membership_at(self.commit_index).is_retired(id)
    }

    /// Whether the latest membership is committed and, on a leader, also an entry of its own term.
    /// Only then is the next membership change possible.
    pub fn is_settled(&self) -> bool {
        let committed = self.log.membership_index() <= self.commit_index && self.forming.is_none();
        match &self.state {
            State::Leader(leader) => committed && leader.first_index <= self.commit_index,
            _ => committed,
        }
    }

    /// Whether the log holds no entry and no snapshot.
    pub fn is_blank(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Ids of the voters from which a message arrived within the last election timeout, including
    /// this replica. Empty unless this replica leads.
    pub fn live_voters(&self) -> Vec<u64> {
        match &self.state {
            State::Leader(_) => self.membership().voters().filter(|id| self.is_live(*id)).collect(),
            _ => Vec::new(),
        }
    }

    /// Whether the synced log of `id` has reached the commit index; false unless this replica
    /// leads.
    pub fn has_caught_up(&self, id: u64) -> bool {
        match &self.state {
            State::Leader(l) => l.progress.get(&id).is_some_and(|p| p.matched >= self.commit_index),
            _ => false,
        }
    }

    fn propose(&mut self, token: u64, command: Bytes) {
        if let Err(reason) = self.check_proposal(command.len()) {
            return self.refuse(token, reason);
        }
        self.append_for_request(token, Payload::Command(command));
    }

    fn check_proposal(&self, size: usize) -> Result<(), Refusal> {
        let State::Leader(leader) = &self.state else {
            return Err(Refusal::NotLeader { leader: self.leader });
        };
        if size > MAX_COMMAND_BYTES {
            return Err(Refusal::TooLarge);
        }
        if leader.uncommitted_bytes + size > MAX_UNCOMMITTED_BYTES {
            return Err(Refusal::Busy);
        }
        Ok(())
    }

    fn refuse(&mut self, token: u64, reason: Refusal) {
        self.outbox.answers.push(Output::Refused { token, reason });
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope { group, from, to, term, body } = envelope;
        // An uncommitted removal may be rolled back by the removed replica as the leader.
        if group != self.config.group || to != self.config.id || self.is_removed(from) {
            return;
        }
        if term < self.term {
            return self.answer_old_term(from, body);
        }
        if term > self.term && !self.handle_newer_term(term, &body) {
            return;
        }
        match body {
            Message::PreVote { last_index, last_term } => {
                self.handle_pre_vote(from, term, last_index, last_term)
            }
            Message::PreVoteReply { granted } => self.record_vote(from, term, true, granted),
            Message::Vote { last_index, last_term } => {
                self.handle_vote(from, last_index, last_term)
            }
            Message::VoteReply { granted } => self.record_vote(from, term, false, granted),
            Message::Append { prev, prev_term, commit, entries } => {
                self.follow(from);
                self.handle_append(from, prev, prev_term, commit, entries);
            }
            Message::Heartbeat { commit, round } => {
                self.follow(from);
                self.raise_commit_index(commit);
                self.send(from, Message::HeartbeatReply { round, matched: self.accepted_index() });
            }
            Message::SnapshotChunk { index, last_term, membership, offset, total, data } => {
                self.follow(from);
                let snapshot = Snapshot { index, term: last_term, membership, data };
                self.handle_chunk(from, snapshot, offset, total);
            }
            Message::Appended { matched } => self.handle_appended(from, matched),
            Message::AppendRejected { prev, hint } => self.handle_rejected(from, prev, hint),
            Message::HeartbeatReply { round, matched } => {
                self.handle_heartbeat_reply(from, round, matched)
            }
            Message::SnapshotChunkReply { index, received } => {
                self.handle_chunk_reply(from, index, received)
            }
        }
    }

    /// Answers requests of an old term, so that the sender learns the current one.
    fn answer_old_term(&mut self, from: u64, body: Message) {
        match body {
            Message::PreVote { .. } => self.send(from, Message::PreVoteReply { granted: false }),
            Message::Vote { .. } => self.send(from, Message::VoteReply { granted: false }),
            Message::Append { .. } | Message::Heartbeat { .. } | Message::SnapshotChunk { .. } => {
                self.send(from, Message::HeartbeatReply { round: 0, matched: 0 });
            }
            _ => {}
        }
    }

    /// Handles a message of a newer term. Returns whether the message is processed further.
    fn handle_newer_term(&mut self, term: u64, body: &Message) -> bool {
        match body {
            // A pre-vote asks about a later term without starting it.
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

    /// Raises the commit index, but not beyond the last log index.
    fn raise_commit_index(&mut self, commit: u64) {
        self.commit_index = self.commit_index.max(commit.min(self.log.last_index()));
    }

    fn record_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.max(index.min(self.log.last_index()));
        self.try_commit();
    }

    fn compact(&mut self, index: u64, data: Bytes) {
        if index <= self.snapshot_index() || index > self.applied_index {
            return;
        }
        if let Some(term) = self.log.term_at(index) {
            let snapshot = self.log.compact(index, term, data);
            self.outbox.snapshots.push(Output::SaveSnapshot(snapshot));
        }
    }

    /// Collects the outputs of a step in the order in which the caller carries them out.
    fn take_outputs(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        outputs.extend(self.persist());
        let outbox = std::mem::take(&mut self.outbox);
        outputs.extend(outbox.snapshots);
        outputs.extend(outbox.sends);
        outputs.extend(outbox.answers);
        // Entries precede the role: after a loss of leadership, the caller answers the committed
        // proposals before it gives up on the others.
        if self.commit_index > self.applied_index {
            outputs.push(Output::Apply(
                self.log.range(self.applied_index + 1, self.commit_index).to_vec(),
            ));
            self.applied_index = self.commit_index;
        }
        outputs.extend(outbox.reads);
        let reported = (self.role(), self.term, self.leader);
        if reported != self.reported_role {
            self.reported_role = reported;
            let (role, term, leader) = reported;
            outputs.push(Output::Role { role, term, leader });
        }
        outputs
    }

    fn persist(&mut self) -> Option<Output> {
        let hard_state = HardState { term: self.term, vote: self.vote, commit: self.commit_index };
        let entries = match self.first_unsaved.take() {
            Some(from) => self.log.range(from, self.log.last_index()).to_vec(),
            None => Vec::new(),
        };
        // A new commit index alone is not written, since the saved one is only a lower bound.
        let voted =
            (hard_state.term, hard_state.vote) != (self.saved_state.term, self.saved_state.vote);
        let changed = voted || (!entries.is_empty() && hard_state != self.saved_state);
        if entries.is_empty() && !changed {
            return None;
        }
        self.saved_state = hard_state;
        Some(Output::Persist { hard_state: changed.then_some(hard_state), entries })
    }

    /// Sets the election deadline to a random time, one to two election timeouts from now.
    fn reset_election_deadline(&mut self) {
        let election = self.config.election_timeout;
        let random = self.rng.random_range(0..=election.as_micros() as u64);
        self.election_deadline = self.now + election + Duration::from_micros(random);
    }
}

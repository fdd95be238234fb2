//! Types of the replica interface: configuration, membership, log entries, messages between
//! replicas, and the inputs and outputs of a replica.

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Configuration of one replica. It does not change while the replica runs.
#[derive(Clone, Debug)]
pub struct Config {
    /// Replica group; 0 is the catalog.
    pub group: u16,
    /// Replica id from the data folder; random and nonzero.
    pub id: u64,
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout; each timeout is drawn from one to two times this value. At least
    /// three heartbeat intervals.
    pub election_timeout: Duration,
    /// Seed of the random part of election timeouts.
    pub seed: u64,
}

/// Whether a member counts towards a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberRole {
    /// Counts towards a quorum and can lead.
    Voter,
    /// Receives the log; does not count towards a quorum and cannot lead.
    Learner,
}

/// One replica of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Replica id.
    pub id: u64,
    /// Name of the host.
    pub host: Arc<str>,
    /// Voter or learner.
    pub role: MemberRole,
}

/// Members of a group and the ids of its removed replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Current replicas, sorted by id.
    pub members: Vec<Member>,
    /// Ids of removed replicas, sorted. They are never admitted again.
    pub retired: Vec<u64>,
}

impl Membership {
    /// Creates a membership of voters without retired ids.
    pub fn from_voters(voters: impl IntoIterator<Item = (u64, Arc<str>)>) -> Membership {
        let voter = |(id, host)| Member { id, host, role: MemberRole::Voter };
        let mut members: Vec<Member> = voters.into_iter().map(voter).collect();
        members.sort_by_key(|m| m.id);
        Membership { members, retired: Vec::new() }
    }

    /// Member with the given id.
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.members.binary_search_by_key(&id, |m| m.id).ok().map(|at| &self.members[at])
    }

    /// Ids of the voters in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = u64> + '_ {
        self.members.iter().filter(|m| m.role == MemberRole::Voter).map(|m| m.id)
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: u64) -> bool {
        self.get(id).is_some_and(|m| m.role == MemberRole::Voter)
    }

    /// Number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether `id` was removed from the group.
    pub fn is_retired(&self, id: u64) -> bool {
        self.retired.binary_search(&id).is_ok()
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Empty first entry of a leader. Its commit also commits the entries of earlier terms.
    Noop,
    /// Encoded command of the state machine.
    Command(Bytes),
    /// New membership, in effect as soon as the entry is appended.
    Membership(Membership),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log; the first entry is 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in bytes, for the limits on batches and uncommitted entries.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        match &self.payload {
            Payload::Noop => OVERHEAD_BYTES,
            Payload::Command(command) => OVERHEAD_BYTES + command.len(),
            Payload::Membership(m) => OVERHEAD_BYTES + 48 * m.members.len() + 10 * m.retired.len(),
        }
    }
}

/// Term, vote and commit index that survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: u64,
    /// Candidate that got this replica's vote in `term`.
    pub vote: Option<u64>,
    /// Lower bound of the commit index; not saved on every change.
    pub commit: u64,
}

/// State of the state machine at one index. Replaces the log up to that index.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that the data covers.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Membership at `index`.
    pub membership: Membership,
    /// Result of [`StateMachine::snapshot`].
    pub data: Bytes,
}

/// Durable state of a replica, as storage reads it after a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Last saved hard state.
    pub hard_state: HardState,
    /// Last snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Whether there is no entry and no snapshot of a group.
    ///
    /// A saved term or vote alone does not count: a replica without an entry has not acknowledged
    /// any entry of a group.
    pub fn is_blank(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Membership change of a single member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica as a learner; the `role` field is ignored.
    AddLearner(Member),
    /// Removes a replica and retires its id.
    Remove(u64),
    /// Turns a learner into a voter.
    Promote(u64),
}

/// How far a member of the group has got, as known to the leader.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{id}: {behind} behind, answers in {} ms, {repeated} repeated", round_trip.as_millis())]
pub struct MemberProgress {
    /// Replica id.
    pub id: u64,
    /// Entries that the member is not known to have.
    pub behind: u64,
    /// Smoothed time from a message with entries to its answer.
    pub round_trip: Duration,
    /// Messages with entries, or parts of snapshots, that were sent again.
    pub repeated: u64,
}

/// Reason for refusing a membership change. The membership stays as it was.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// The previous change, or the first entry of this leader, is not committed yet.
    #[display("an earlier change is not committed yet")]
    ChangePending,
    /// The id was removed earlier and is never admitted again.
    #[display("the replica id is retired")]
    Retired,
    /// The id is a member already, or a voter already.
    #[display("the replica is a member already")]
    AlreadyMember,
    /// The id is not a member.
    #[display("the replica is not a member")]
    NotMember,
    /// The synced log of the learner has not reached the commit index.
    #[display("the learner has not caught up")]
    NotCaughtUp,
    /// Too few live voters would remain to form a quorum.
    #[display("too few live voters would remain")]
    QuorumLoss,
}

/// Reason for refusing a proposal, a read or a membership change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// This replica does not lead. Nothing was appended.
    #[display("not the leader")]
    NotLeader {
        /// Replica id of the leader, if known.
        leader: Option<u64>,
    },
    /// The uncommitted entries would exceed [`crate::replica::MAX_UNCOMMITTED_BYTES`]. Nothing was
    /// appended.
    #[display("too many uncommitted entries")]
    Busy,
    /// The command is larger than [`crate::replica::MAX_COMMAND_BYTES`]. Nothing was appended.
    #[display("command too large")]
    TooLarge,
    /// The replica stopped leading before the read was confirmed.
    #[display("leadership lost")]
    LostLeadership,
    /// No quorum confirmed the read within an election timeout.
    #[display("not confirmed by a quorum")]
    Unconfirmed,
    /// The membership change is not possible now.
    #[display("{_0}")]
    Change(ChangeRefusal),
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Role {
    /// Knows no membership yet.
    #[display("forming")]
    Forming,
    /// Receives the log without being a voter.
    #[display("learner")]
    Learner,
    /// Voter that follows a leader or waits for one.
    #[display("follower")]
    Follower,
    /// Voter that asks for votes.
    #[display("candidate")]
    Candidate,
    /// Appends entries and replicates them.
    #[display("leader")]
    Leader,
}

/// Message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in the envelope's term. Changes no
    /// state of the receiver.
    PreVote {
        /// Last log index of the sender.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to `PreVote`. The envelope carries the requested term if the vote would be granted,
    /// otherwise the term of the replica that answers.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Request for a vote in the envelope's term.
    Vote {
        /// Last log index of the sender.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries after `prev`, sent by the leader.
    Append {
        /// Index before the first entry.
        prev: u64,
        /// Term of the entry at `prev`.
        prev_term: u64,
        /// Commit index of the leader.
        commit: u64,
        /// Entries without gaps, from `prev + 1`.
        entries: Vec<Entry>,
    },
    /// Acknowledges that the sender's synced log equals the leader's up to `matched`.
    Appended {
        /// Last index up to which the logs are equal.
        matched: u64,
    },
    /// Rejects an `Append`, because the sender's log differs from the leader's at `prev`.
    AppendRejected {
        /// Index at which the terms were compared.
        prev: u64,
        /// Highest index at which the logs may be equal.
        hint: u64,
    },
    /// Heartbeat of the leader. Also starts or repeats a confirmation round of reads.
    Heartbeat {
        /// Commit index, not beyond what the receiver has acknowledged.
        commit: u64,
        /// Number of the confirmation round.
        round: u64,
    },
    /// Answer to `Heartbeat`.
    HeartbeatReply {
        /// Number of the confirmation round; 0 in answers to messages of an old term.
        round: u64,
        /// Last index up to which the sender's synced log is known to equal the leader's; 0 if none
        /// is known in this term.
        matched: u64,
    },
    /// Part of a snapshot.
    SnapshotChunk {
        /// Index of the snapshot.
        index: u64,
        /// Term of the entry at that index.
        last_term: u64,
        /// Membership at that index.
        membership: Membership,
        /// Position of `data` in the snapshot data, in bytes.
        offset: u64,
        /// Size of the snapshot data in bytes.
        total: u64,
        /// Bytes of the snapshot data.
        data: Bytes,
    },
    /// Answer to `SnapshotChunk`; the last chunk is answered by `Appended`.
    SnapshotChunkReply {
        /// Index of the snapshot.
        index: u64,
        /// Bytes received without a gap.
        received: u64,
    },
}

impl Message {
    /// Whether the message carries entries or a part of a snapshot. Others are small, and must not
    /// wait behind these.
    pub fn is_bulk(&self) -> bool {
        matches!(self, Message::Append { .. } | Message::SnapshotChunk { .. })
    }
}

/// Message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Replica group.
    pub group: u16,
    /// Replica id of the sender.
    pub from: u64,
    /// Replica id of the receiver.
    pub to: u64,
    /// Term of the sender; the requested term in `PreVote` and in a granted `PreVoteReply`.
    pub term: u64,
    /// Message.
    pub body: Message,
}

/// Input of [`crate::replica::Replica::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Clock tick, about every 10 ms.
    Tick,
    /// Message from another replica.
    Message(Envelope),
    /// Proposes a command. Answered by `Accepted` or `Refused`.
    Propose {
        /// Chosen by the caller to match the answer to its request.
        token: u64,
        /// Encoded command of the state machine.
        command: Bytes,
    },
    /// Requests a read index that a quorum confirms. Answered by `Readable` or `Refused`.
    Read {
        /// Chosen by the caller to match the answer to its request.
        token: u64,
    },
    /// Reports that every entry up to `index` is durable on this replica. Fed after the sync of a
    /// batch and before any further step.
    Synced {
        /// Last durable index.
        index: u64,
    },
    /// Reports that messages to a member may have been lost, since the connection on which they were
    /// sent has ended.
    ConnectionLost {
        /// Replica id of the member.
        member: u64,
    },
    /// Passes a snapshot of the state machine, taken after `index` was applied. Answered by
    /// `SaveSnapshot`, or by nothing if the snapshot is not newer than the last one.
    Snapshot {
        /// Last applied index.
        index: u64,
        /// Result of [`StateMachine::snapshot`].
        data: Bytes,
    },
    /// Adds, promotes or removes one member. Answered by `Accepted` or `Refused`.
    ChangeMembership {
        /// Chosen by the caller to match the answer to its request.
        token: u64,
        /// Change to make.
        change: MemberChange,
    },
    /// Forms a new group with this membership. Ignored unless the replica is blank and one of the
    /// voters. Several voters may be fed this only with the same membership, be it that
    /// [`crate::replica::formation::decide`] lets one host form the group or that another group has
    /// committed the membership.
    Form(Membership),
}

/// Output of [`crate::replica::Replica::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Save the hard state and the entries, which replace the log from `entries[0].index` on.
    Persist {
        /// Hard state, if it changed.
        hard_state: Option<HardState>,
        /// Entries without gaps.
        entries: Vec<Entry>,
    },
    /// Save a snapshot of this replica's state machine and drop the log that it covers.
    SaveSnapshot(Snapshot),
    /// Replace the state machine, the snapshot file and the log by the leader's snapshot.
    InstallSnapshot(Snapshot),
    /// Transmit a message, once every earlier `Persist` and `InstallSnapshot` is durable.
    Send(Envelope),
    /// The command or membership change was appended. It is committed if the entry that is applied
    /// at `index` has this term.
    Accepted {
        /// Token of the request.
        token: u64,
        /// Log index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// The request was refused.
    Refused {
        /// Token of the request.
        token: u64,
        /// Reason.
        reason: Refusal,
    },
    /// Apply committed entries in order. Some hold no command.
    Apply(Vec<Entry>),
    /// The read may be answered once `index` is applied.
    Readable {
        /// Token of the request.
        token: u64,
        /// Index to wait for.
        index: u64,
    },
    /// Role, term or leader changed.
    Role {
        /// Role of this replica.
        role: Role,
        /// Term of this replica.
        term: u64,
        /// Replica id of the leader, if known.
        leader: Option<u64>,
    },
}

/// Error of a state machine that cannot restore a snapshot.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("snapshot cannot be restored: {cause}")]
pub struct RestoreError {
    /// What is wrong with the data.
    pub cause: Arc<str>,
}

impl std::error::Error for RestoreError {}

/// Replicated state machine. All replicas apply the same commands in the same order.
pub trait StateMachine {
    /// Applies a committed command and returns the encoded reply. A command that does not decode
    /// yields an error reply and changes nothing.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by an encoded one, or fails if the data does not decode.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;
}

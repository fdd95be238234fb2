//! Data types of the replica interface.

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Fixed parameters of one replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Replica group; 0 is the catalog.
    pub group: u16,
    /// Replica id from the data folder; random and nonzero.
    pub id: u64,
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; the longest is twice as long. At least three heartbeats.
    pub election_timeout: Duration,
    /// Seed of the random part of election timeouts.
    pub seed: u64,
}

/// Part of a member in decisions of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberRole {
    /// Counts towards a quorum and can lead.
    Voter,
    /// Receives the log and counts towards nothing.
    Learner,
}

/// One replica of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Replica id.
    pub id: u64,
    /// Name of the host.
    pub host: Arc<str>,
    /// Part in decisions.
    pub role: MemberRole,
}

/// Replicas of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Current replicas, sorted by id.
    pub members: Vec<Member>,
    /// Ids of removed replicas, sorted. They are never admitted again.
    pub retired: Vec<u64>,
}

impl Membership {
    /// Membership of voters without retired ids.
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
    /// First entry of a leader; commits the entries of earlier terms.
    Noop,
    /// Command of the state machine.
    Command(Bytes),
    /// Membership from this entry on.
    Membership(Membership),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log; the first entry is 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in bytes, for limits.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        match &self.payload {
            Payload::Noop => OVERHEAD_BYTES,
            Payload::Command(command) => OVERHEAD_BYTES + command.len(),
            Payload::Membership(m) => OVERHEAD_BYTES + 48 * m.members.len() + 10 * m.retired.len(),
        }
    }
}

/// State that a replica must not forget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: u64,
    /// Candidate that got this replica's vote in `term`.
    pub vote: Option<u64>,
    /// Lower bound of the commit index.
    pub commit: u64,
}

/// State machine at one index, replaces the log up to there.
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

/// What storage has read back after a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Last saved hard state.
    pub hard_state: HardState,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Whether the folder holds no entry and no snapshot of a group.
    ///
    /// A saved term or vote alone does not count: nothing can have been acknowledged by a group
    /// that left no entry here.
    pub fn is_blank(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Change of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica as a learner, whatever its role field says.
    AddLearner(Member),
    /// Removes a replica and retires its id.
    Remove(u64),
    /// Turns a learner into a voter.
    Promote(u64),
}

/// Why a membership change is refused. Nothing was changed.
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

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// Another replica leads, or none. Nothing was appended.
    #[display("not the leader")]
    NotLeader {
        /// Replica id of the leader, if known.
        leader: Option<u64>,
    },
    /// Too much is uncommitted. Nothing was appended.
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
    /// Is no voter; receives the log.
    #[display("learner")]
    Learner,
    /// Voter that follows a leader or waits for one.
    #[display("follower")]
    Follower,
    /// Voter that asks for votes.
    #[display("candidate")]
    Candidate,
    /// Appends entries.
    #[display("leader")]
    Leader,
}

/// Message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in the envelope's term? Changes nothing at the receiver.
    PreVote {
        /// Last log index of the sender.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to `PreVote`; carries the asked term if granted, else the receiver's term.
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
    /// Entries after `prev`.
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
    /// The sender's synced log equals the leader's up to `matched`.
    Appended {
        /// Last equal index.
        matched: u64,
    },
    /// The sender's log differs from the leader's at `prev`.
    AppendRejected {
        /// Index that was compared.
        prev: u64,
        /// Highest index that may be equal.
        hint: u64,
    },
    /// Heartbeat, also the confirmation round of reads.
    Heartbeat {
        /// Commit index, not beyond what the receiver has acknowledged.
        commit: u64,
        /// Number of the confirmation round.
        round: u64,
    },
    /// Answer to `Heartbeat`.
    HeartbeatReply {
        /// Number of the confirmation round; 0 in answers to an old term.
        round: u64,
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

/// Message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Replica group.
    pub group: u16,
    /// Replica id of the sender.
    pub from: u64,
    /// Replica id of the receiver.
    pub to: u64,
    /// Term of the sender; the asked term in `PreVote`.
    pub term: u64,
    /// Message.
    pub body: Message,
}

/// Input of [`crate::replica::Replica::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; about every 10 ms.
    Tick,
    /// Message from another replica.
    Message(Envelope),
    /// Append a command. Answered by `Accepted` or `Refused`.
    Propose {
        /// Chosen by the shell to match the answer.
        token: u64,
        /// Encoded command of the state machine.
        command: Bytes,
    },
    /// Ask for a quorum-confirmed read index. Answered by `Readable` or `Refused`.
    Read {
        /// Chosen by the shell to match the answer.
        token: u64,
    },
    /// Every entry up to `index` is durable here. Fed after the sync of a batch and before any
    /// further step.
    Synced {
        /// Last durable index.
        index: u64,
    },
    /// The shell took a snapshot of the machine after it applied `index`. Answered by `SaveSnapshot`,
    /// or by nothing if the snapshot is not newer than the last one.
    Snapshot {
        /// Last applied index.
        index: u64,
        /// Result of [`StateMachine::snapshot`].
        data: Bytes,
    },
    /// Change one member. Answered by `Accepted` or `Refused`.
    ChangeMembership {
        /// Chosen by the shell to match the answer.
        token: u64,
        /// Change to make.
        change: MemberChange,
    },
    /// Form a new group with this membership. Ignored unless the replica is blank and one of the
    /// voters. Only [`crate::replica::formation`] decides that a group is formed.
    Form(Membership),
}

/// Output of [`crate::replica::Replica::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Save the hard state; the entries replace the log from `entries[0].index` on.
    Persist {
        /// Hard state, if it changed.
        hard_state: Option<HardState>,
        /// Entries without gaps.
        entries: Vec<Entry>,
    },
    /// Save a snapshot of the own machine and drop the log that it covers.
    SaveSnapshot(Snapshot),
    /// Replace machine, snapshot file and log by the leader's snapshot.
    InstallSnapshot(Snapshot),
    /// Transmit a message, once every earlier `Persist` and `InstallSnapshot` is durable.
    Send(Envelope),
    /// The command was appended; the outcome is known when `index` is applied with that term.
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
    /// Committed entries in order, including those without a command.
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

/// Snapshot data that a state machine cannot read.
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

    /// Replaces the whole state by an encoded one.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;
}

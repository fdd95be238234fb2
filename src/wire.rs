//! Frames between the processes of the fleet, encoded with postcard.
//!
//! Each request opens one bidirectional stream: one [`Request`], then one or more [`Reply`]
//! frames. Replica envelopes travel as [`crate::replica::Envelope`] on unidirectional streams.

use crate::fleet::origin;
use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Largest frame in bytes. Bounds the memory that one peer can make another allocate.
pub const MAX_FRAME: usize = 16 << 20;

/// Whether a refused or failed request was run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// It was not run and never will be.
    #[display("no")]
    No,
    /// It may have been run.
    #[display("unknown")]
    Unknown,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline cannot be met.
    #[display("deadline")]
    Deadline,
    /// The endpoint is draining.
    #[display("draining")]
    Draining,
    /// The process is stopping.
    #[display("stopping")]
    Stopping,
    /// No endpoint serves the model or service.
    #[display("no_endpoint")]
    NoEndpoint,
    /// The workspace exceeds its request rate.
    #[display("rate_limit")]
    RateLimit,
    /// The workspace exceeds its concurrent requests.
    #[display("concurrency_limit")]
    ConcurrencyLimit,
    /// The retry budget is spent.
    #[display("retry_budget")]
    RetryBudget,
    /// The configuration could not be confirmed to be current.
    #[display("stale_config")]
    StaleConfig,
    /// The replica group has no leader or no quorum.
    #[display("no_quorum")]
    NoQuorum,
    /// The disk of the state hosts is full.
    #[display("disk_full")]
    DiskFull,
    /// A newer connection of the same entry replaced this one.
    #[display("superseded")]
    Superseded,
    /// The attempt was withdrawn.
    #[display("withdrawn")]
    Withdrawn,
    /// The endpoint failed.
    #[display("endpoint_failed")]
    EndpointFailed,
    /// The agent was lost.
    #[display("agent_lost")]
    AgentLost,
    /// The answer stalled.
    #[display("stalled")]
    Stalled,
    /// The request is not valid.
    #[display("invalid")]
    Invalid,
    /// The same key was used with other content.
    #[display("conflict")]
    Conflict,
    /// Another call with the same key is open.
    #[display("held")]
    Held,
}

impl Reason {
    /// Label for metrics, equal to the displayed form.
    pub fn label(self) -> &'static str {
        match self {
            Reason::QueueFull => "queue_full",
            Reason::Deadline => "deadline",
            Reason::Draining => "draining",
            Reason::Stopping => "stopping",
            Reason::NoEndpoint => "no_endpoint",
            Reason::RateLimit => "rate_limit",
            Reason::ConcurrencyLimit => "concurrency_limit",
            Reason::RetryBudget => "retry_budget",
            Reason::StaleConfig => "stale_config",
            Reason::NoQuorum => "no_quorum",
            Reason::DiskFull => "disk_full",
            Reason::Superseded => "superseded",
            Reason::Withdrawn => "withdrawn",
            Reason::EndpointFailed => "endpoint_failed",
            Reason::AgentLost => "agent_lost",
            Reason::Stalled => "stalled",
            Reason::Invalid => "invalid",
            Reason::Conflict => "conflict",
            Reason::Held => "held",
        }
    }
}

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// Any engine that serves the model.
    Model(Arc<str>),
    /// A plain service by name.
    Service(Arc<str>),
}

/// One attempt to run a caller's request at an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Random id, unique in the fleet.
    pub id: u64,
    /// Name of the entry process that sends the attempt. It changes with each restart.
    pub entry: Arc<str>,
    /// Number of the entry's connection to this agent; a higher one replaces the lower ones.
    pub connection: u64,
    /// Configuration revision at the entry.
    pub revision: u64,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Time left until the deadline, in milliseconds.
    pub deadline: u64,
    /// Destination of the attempt.
    pub target: Target,
    /// HTTP method.
    pub method: Arc<str>,
    /// HTTP path and query at the endpoint.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content: Arc<str>,
    /// Request body.
    pub body: Bytes,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
}

/// First frame of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Entry to agent: run an attempt. Answered by `Admitted` or `Refused`, then `Head`,
    /// `Chunk`s and `End`, or `Broken`.
    Attempt(Attempt),
    /// Entry to agent: withdraw an attempt. Answered by `Withdrawal`.
    Withdraw {
        /// Id of the attempt.
        attempt: u64,
        /// Name of the entry.
        entry: Arc<str>,
        /// Number of the entry's connection.
        connection: u64,
        /// Number of the connection on which the attempt was sent.
        sent: u64,
    },
    /// Entry to agent, first on each connection: states its number. Answered by `HelloAck`.
    Hello {
        /// Name of the entry.
        entry: Arc<str>,
        /// Number of the entry's connection.
        connection: u64,
    },
    /// Entry to agent, after the end of an answer: acknowledges the complete answer.
    Received,
    /// Any process to a state host: commit a command. Answered by `Applied` or `NotDone`.
    Propose {
        /// Replica group.
        group: u16,
        /// Encoded command of the group's state machine.
        command: Bytes,
    },
    /// Any process to a state host: quorum-confirmed query. Answered by `Answer` or `NotDone`.
    Query {
        /// Replica group.
        group: u16,
        /// Encoded query of the group's state machine.
        query: Bytes,
    },
    /// Any process to a state host: ask for the log index that a reader must have applied to be
    /// current. Answered by `Confirmed` or `NotDone`.
    Confirm {
        /// Replica group.
        group: u16,
    },
    /// Any process to a state host: follow group 0. Answered by `Snapshot` if the position is
    /// compacted, then `Update`s for as long as the stream is open.
    Watch {
        /// Last log index that the watcher applied; 0 if it has none.
        after: u64,
    },
    /// Node to the leader of group 0, every second. Answered by `HeartbeatAck` or `NotDone`.
    Heartbeat(Heartbeat),
    /// Agent to the leader of a job group: ask for items. Answered by `Granted` or `NotDone`
    /// once items are available or after the waiting time.
    Pull {
        /// Replica group.
        group: u16,
        /// Name of the agent.
        agent: Arc<str>,
        /// Number of items that the agent can start.
        free: u32,
        /// Models that the agent's engines serve.
        models: Vec<Arc<str>>,
        /// Longest time to wait for items, in milliseconds.
        wait: u64,
    },
    /// Agent to the leader of a job group, every second: renew the leases of its items and report
    /// them to a new leader. Answered by `Renewed` or `NotDone`.
    Renew {
        /// Replica group.
        group: u16,
        /// Name of the agent.
        agent: Arc<str>,
        /// Items that the agent runs.
        held: Vec<Lease>,
    },
    /// Agent to the leader of a job group: give up leases. Answered by `Renewed` or `NotDone`.
    Release {
        /// Replica group.
        group: u16,
        /// Name of the agent.
        agent: Arc<str>,
        /// Leases that end.
        leases: Vec<Lease>,
    },
    /// State host to state host: identify the sender's replica and ask for the receiver's. Answered
    /// by `Replica`.
    Probe {
        /// Replica group.
        group: u16,
        /// Host name of the sender.
        host: Arc<str>,
        /// Replica id of the sender.
        id: u64,
        /// Whether the sender has no data.
        blank: bool,
    },
    /// Operator to a state host: state of its replicas. Answered by `Groups`.
    Status,
    /// Entry to a control host: ask where a stream began. Answered by `Origin`.
    FindOrigin {
        /// Id of the request that began the stream.
        stream: Arc<str>,
    },
    /// Operator to the leader of group 0: heartbeats of the nodes. Answered by `Nodes`.
    Nodes,
    /// Entry to agent: withdraw an attempt that another entry sent or was about to send. Answered
    /// by `Withdrawal`.
    TakeOver {
        /// Id of the attempt.
        attempt: u64,
        /// Name of the entry that claimed the attempt.
        entry: Arc<str>,
        /// Number of that entry's connection on which the attempt is sent.
        sent: u64,
    },
}

/// Heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the node.
    pub node: Arc<str>,
    /// Role of the node: `entry` or `agent`.
    pub role: Arc<str>,
    /// Failure domain of the node.
    pub domain: Arc<str>,
    /// Configuration revision in force at the node.
    pub revision: u64,
    /// Digest of that configuration.
    pub digest: u64,
    /// Seconds until the node's certificate expires.
    pub expiry: u64,
}

/// Node as the leader of group 0 sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Last heartbeat.
    pub beat: Heartbeat,
    /// Time since that heartbeat, in milliseconds.
    pub age: u64,
}

/// Lease of one item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Lease {
    /// Job of the item.
    pub job: Arc<str>,
    /// Position of the item in its job.
    pub item: u32,
    /// Id of this grant.
    pub attempt: u64,
}

/// Granted item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Lease of the item.
    pub lease: Lease,
    /// Workspace that owns the job.
    pub workspace: Arc<str>,
    /// Model that the item asks for.
    pub model: Arc<str>,
    /// Request body of the item.
    pub body: Bytes,
}

/// Answer to a [`Request::Withdraw`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Withdrawal {
    /// The attempt has not run and never will.
    NeverRan,
    /// The attempt is running; it is cancelled where the endpoint allows it.
    Running,
    /// The attempt has finished.
    Finished,
}

/// State of one replica for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Replica group.
    pub group: u16,
    /// Replica id; 0 while the replica has not joined.
    pub id: u64,
    /// `leader`, `follower`, `candidate`, `learner` or `forming`.
    pub role: Arc<str>,
    /// Term of the replica.
    pub term: u64,
    /// Host name of the leader, if known.
    pub leader: Option<Arc<str>>,
    /// Commit index.
    pub commit: u64,
    /// Voting members.
    pub voters: u32,
    /// Voters that the leader has heard from recently; 0 on other replicas.
    pub live: u32,
    /// Learners that are catching up with the log.
    pub learners: u32,
    /// Hosts of all members in the last membership, committed or not.
    pub hosts: Vec<Arc<str>>,
    /// Whether that membership is committed.
    pub settled: bool,
}

/// Frame of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt was admitted: it may run from now on.
    Admitted {
        /// Online requests that wait at the endpoint.
        queued: u32,
        /// Streams that run at the endpoint.
        running: u32,
    },
    /// The attempt was refused and has not run.
    Refused {
        /// Reason of the refusal.
        reason: Reason,
        /// Delay before a retry, in milliseconds.
        retry: u64,
    },
    /// Status line and content type of the endpoint's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content: Arc<str>,
    },
    /// Part of the answer's body.
    Chunk {
        /// Number of the chunk, from 0 without gaps.
        seq: u32,
        /// Bytes of the body.
        data: Bytes,
    },
    /// End of a complete answer.
    End {
        /// Number of chunks.
        count: u32,
        /// xxh3 of the whole body.
        digest: u64,
    },
    /// The answer broke off after admission.
    Broken {
        /// Reason.
        reason: Reason,
    },
    /// Answer to `Hello`.
    HelloAck,
    /// Answer to a withdrawal.
    Withdrawal(Withdrawal),
    /// The command was applied.
    Applied {
        /// Log index.
        index: u64,
        /// Encoded reply of the state machine.
        reply: Bytes,
    },
    /// Encoded answer to a query.
    Answer(Bytes),
    /// The operation was not done.
    NotDone {
        /// Reason.
        reason: Reason,
        /// Host name of the leader, if this replica is not the leader and knows it.
        leader: Option<Arc<str>>,
        /// Whether the command may still be committed.
        run: Run,
    },
    /// Log index that a reader must have applied to be current.
    Confirmed {
        /// Log index.
        index: u64,
    },
    /// Full state of group 0.
    Snapshot {
        /// Log index of the state.
        index: u64,
        /// Encoded snapshot.
        data: Bytes,
    },
    /// Committed command of group 0.
    Update {
        /// Log index.
        index: u64,
        /// Encoded command; empty for entries without a command.
        command: Bytes,
    },
    /// Answer to a heartbeat.
    HeartbeatAck {
        /// Whether group 0 has a record of this node.
        known: bool,
        /// Last committed configuration revision.
        revision: u64,
    },
    /// Granted items.
    Granted(Vec<Grant>),
    /// Answer to `Renew` or `Release`.
    Renewed {
        /// Items that the agent must stop.
        stop: Vec<Lease>,
    },
    /// Answer to a probe.
    Replica {
        /// Replica id.
        id: u64,
        /// Whether the replica has no data.
        blank: bool,
        /// Whether this replica leads its group.
        leads: bool,
        /// Whether the sender's replica was permanently removed from the group.
        retired: bool,
        /// Hosts of all members of the group; empty if the replica has no data.
        members: Vec<Arc<str>>,
    },
    /// State of the replicas of a host.
    Groups(Vec<Group>),
    /// Heartbeats of the nodes.
    Nodes(Vec<Node>),
    /// Origin of a stream; `None` if the host does not know it.
    Origin(Option<origin::Record>),
}

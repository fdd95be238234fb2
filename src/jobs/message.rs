//! Commands, replies, queries and answers of a job group, encoded with postcard.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Command with the group time at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Group time in milliseconds. If a higher time was applied before, that one is used instead.
    pub clock: u64,
    /// Command to apply.
    pub command: Command,
}

impl StampedCommand {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("postcard encodes every command")
    }
}

/// Item of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewItem {
    /// Caller's id of the item, unique in the job.
    pub custom_id: Arc<str>,
    /// Request body.
    pub body: Bytes,
}

/// Final outcome of an item with its result body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// Answer of the endpoint.
    Done(Bytes),
    /// Body of a permanent error.
    Failed(Bytes),
}

/// Why an attempt at an item failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureCause {
    /// The agent or its engine was lost while the item ran. The item is next granted alone.
    WorkerLost,
    /// A temporary error. The item is retried after a backoff.
    Transient,
}

/// Connection on which an entry dispatches a claimed attempt. An agent needs it to withdraw an
/// attempt that has not arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConnection {
    /// Name of the incarnation of the entry.
    pub entry: Arc<str>,
    /// Number of the entry's connection to the agent.
    pub number: u64,
}

/// Outcome of a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The endpoint answered.
    Done(Bytes),
    /// The attempt was withdrawn before it ran and will never run. Another attempt may take the
    /// claim.
    NeverRan,
    /// The agent was lost; the attempt may have run.
    Unknown,
}

/// Command that changes the state of a job group. Resending a command is safe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Creates a job, or finds the one that the same submission created earlier. Answered by
    /// [`Reply::Opened`].
    Open {
        /// Workspace of the caller.
        workspace: Arc<str>,
        /// Idempotency key of the submission.
        key: Arc<str>,
        /// Digest of the whole content.
        digest: u64,
        /// Model that the items ask for.
        model: Arc<str>,
        /// Milliseconds until the job is due.
        due: u64,
        /// Number of items.
        total: u32,
    },
    /// Adds the next items of an upload. Answered by [`Reply::Next`].
    Chunk {
        /// Name of the job.
        job: Arc<str>,
        /// Number of the chunk, from 0 without gaps.
        seq: u32,
        /// Items in order.
        items: Vec<NewItem>,
    },
    /// Accepts a job whose upload is complete. Answered by [`Reply::Sealed`].
    Seal {
        /// Name of the job.
        job: Arc<str>,
    },
    /// Cancels a job. Answered by [`Reply::Cancelled`].
    Cancel {
        /// Name of the job.
        job: Arc<str>,
        /// Caller's id of the cancellation.
        id: Arc<str>,
    },
    /// Stores the result of an item that has none. Answered by [`Reply::Completed`] or
    /// [`Reply::Dropped`].
    Complete {
        /// Name of the job.
        job: Arc<str>,
        /// Position of the item.
        item: u32,
        /// Grant under which the item ran.
        attempt: u64,
        /// Result.
        outcome: ItemOutcome,
    },
    /// Counts a failed attempt at an item. Answered by [`Reply::Counted`] or [`Reply::Dropped`].
    FailAttempt {
        /// Name of the job.
        job: Arc<str>,
        /// Position of the item.
        item: u32,
        /// Grant that failed; it is counted once, however often the command is resent.
        attempt: u64,
        /// Why it failed.
        cause: FailureCause,
    },
    /// Claims the execution of a non-idempotent call, before its dispatch. Answered by
    /// [`Reply::Claimed`], [`Reply::Held`], [`Reply::Settled`] or [`Reply::Withdrawn`].
    Claim {
        /// Workspace of the caller.
        workspace: Arc<str>,
        /// Caller's key of the call.
        key: Arc<str>,
        /// Digest of the request.
        digest: u64,
        /// Attempt that is to be dispatched.
        attempt: u64,
        /// Agent to which it will be dispatched.
        agent: Arc<str>,
        /// Connection on which it will be dispatched.
        connection: AgentConnection,
    },
    /// Records the outcome of a claimed attempt. Answered by [`Reply::Settled`], or by
    /// [`Reply::Held`] if another attempt holds the claim.
    Settle {
        /// Workspace of the caller.
        workspace: Arc<str>,
        /// Caller's key of the call.
        key: Arc<str>,
        /// Attempt that claimed the call.
        attempt: u64,
        /// Outcome of the attempt.
        outcome: ClaimOutcome,
    },
    /// Removes jobs and claims whose retention has passed. Answered by [`Reply::Expired`].
    Expire {
        /// Retention in milliseconds, from the settings of the leader. Values below
        /// [`crate::jobs::retention::MIN_RETENTION`] are raised to it.
        retention: u64,
    },
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The items are being uploaded; none runs.
    Uploading,
    /// Accepted; its items run.
    Accepted,
    /// Cancelled; no further result is stored.
    Cancelled,
    /// Every item has a result.
    Finished,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The submission exists.
    Opened {
        /// Name of the job.
        job: Arc<str>,
        /// State of the job.
        state: JobState,
        /// Chunk from which the upload continues.
        next: u32,
    },
    /// The upload continues from this chunk. Also the answer to a chunk that is out of order,
    /// which is not stored.
    Next {
        /// Next expected chunk.
        next: u32,
    },
    /// The job is accepted.
    Sealed {
        /// Number of items.
        total: u32,
    },
    /// The job is cancelled.
    Cancelled {
        /// Id of the cancellation that took effect, which may be an earlier one.
        id: Arc<str>,
    },
    /// The result was stored.
    Completed,
    /// Nothing was stored.
    Dropped {
        /// Reason.
        reason: DropReason,
    },
    /// The failed attempt was counted.
    Counted {
        /// Failed attempts so far.
        attempts: u32,
        /// Whether the item has now ended with an error result.
        ended: bool,
    },
    /// The attempt holds the claim and may be dispatched, once.
    Claimed,
    /// Another attempt holds the claim. It must first be withdrawn at its agent and settled.
    Held {
        /// Attempt that holds the claim.
        attempt: u64,
        /// Agent to which it was to be dispatched.
        agent: Arc<str>,
    },
    /// The claimed attempt has this outcome.
    Settled {
        /// Outcome.
        outcome: ClaimOutcome,
    },
    /// The attempt was withdrawn before and must not be dispatched.
    Withdrawn,
    /// Jobs and claims were removed.
    Expired {
        /// Number of removed jobs.
        jobs: u32,
        /// Number of removed claims.
        claims: u32,
        /// Whether more are due for removal, which a later `Expire` removes.
        more: bool,
    },
    /// The command changed nothing.
    Refused(Refusal),
}

impl Reply {
    /// Decodes a reply of [`crate::jobs::Table`].
    pub fn decode(data: &[u8]) -> Result<Reply, postcard::Error> {
        postcard::from_bytes(data)
    }
}

/// Why a result or a failed attempt was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DropReason {
    /// The item already has a result.
    Ended,
    /// The job is cancelled.
    Cancelled,
}

/// Why a command or query was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Refusal {
    /// The command does not decode.
    #[display("the command does not decode")]
    Undecodable,
    /// A value is out of range.
    #[display("{_0}")]
    Invalid(Arc<str>),
    /// There is no such job, item or claim.
    #[display("not found")]
    NotFound,
    /// The record was removed after its retention.
    #[display("{reason}")]
    Gone {
        /// Explanation for the caller, with the retention.
        reason: Arc<str>,
    },
    /// The key was used before with other content.
    #[display("the key was used before with other content (digest {digest:016x})")]
    Conflict {
        /// Digest of the earlier content.
        digest: u64,
    },
    /// The upload is not complete.
    #[display("{have} of {total} items uploaded; continue from chunk {next}")]
    Incomplete {
        /// Uploaded items.
        have: u32,
        /// Announced items.
        total: u32,
        /// Next expected chunk.
        next: u32,
    },
    /// Two items have the same custom id.
    #[display("custom id {custom_id:?} is on line {first} and on line {second}")]
    Duplicate {
        /// Custom id.
        custom_id: Arc<str>,
        /// Line of its first use, from 1.
        first: u32,
        /// Line of its second use, from 1.
        second: u32,
    },
    /// The job was cancelled.
    #[display("the job was cancelled by {id:?}")]
    Cancelled {
        /// Id of the cancellation.
        id: Arc<str>,
    },
    /// Every item of the job has a result.
    #[display("the job is finished")]
    Finished,
    /// The job is still being uploaded.
    #[display("the job is not accepted yet")]
    NotAccepted,
}

/// Read-only query of the state of a job group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Status of a job. Answered by [`Answer::Job`].
    Job {
        /// Name of the job.
        job: Arc<str>,
    },
    /// Jobs of a workspace, newest first. Answered by [`Answer::Jobs`].
    Jobs {
        /// Workspace.
        workspace: Arc<str>,
        /// Last job of the previous page.
        after: Option<Arc<str>>,
        /// Largest number of jobs in the answer.
        limit: u32,
    },
    /// Results of a job in item order. Answered by [`Answer::Results`].
    Results {
        /// Name of the job.
        job: Arc<str>,
        /// First item of the page.
        from: u32,
        /// Largest number of results in the answer.
        limit: u32,
    },
    /// State of a claim. Answered by [`Answer::Claim`].
    Claim {
        /// Workspace of the caller.
        workspace: Arc<str>,
        /// Caller's key of the call.
        key: Arc<str>,
    },
}

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the job.
    pub job: Arc<str>,
    /// Workspace that owns the job.
    pub workspace: Arc<str>,
    /// Idempotency key of the submission.
    pub key: Arc<str>,
    /// Model that the items ask for.
    pub model: Arc<str>,
    /// State of the job.
    pub state: JobState,
    /// Number of items.
    pub total: u32,
    /// Uploaded items without a result, running ones included. The leader's
    /// [`crate::jobs::leases::Leases`] knows how many of them run.
    pub queued: u32,
    /// Items with an answer.
    pub done: u32,
    /// Items with an error result.
    pub failed: u32,
    /// Results and failed attempts that came too late to be stored.
    pub dropped: u32,
    /// Group time in milliseconds when the job was opened.
    pub opened: u64,
    /// Group time in milliseconds when the job is due.
    pub due: u64,
    /// Group time in milliseconds of the last change of state.
    pub changed: u64,
    /// Id of the cancellation.
    pub cancel: Option<Arc<str>>,
}

/// Outcome of an item on a page of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint answered.
    Done,
    /// The item ended with an error.
    Failed,
}

/// Result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Position of the item.
    pub item: u32,
    /// Caller's id of the item.
    pub custom_id: Arc<str>,
    /// Outcome.
    pub outcome: Outcome,
    /// Answer or error.
    pub body: Bytes,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatus {
    /// Digest of the request.
    pub digest: u64,
    /// Attempt that holds the claim.
    pub attempt: u64,
    /// Agent to which it was to be dispatched.
    pub agent: Arc<str>,
    /// Connection on which it was to be dispatched.
    pub connection: AgentConnection,
    /// Outcome, once settled.
    pub outcome: Option<ClaimOutcome>,
}

/// Answer to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Status of the job.
    Job(Status),
    /// Jobs of the workspace.
    Jobs {
        /// Page of jobs, newest first.
        jobs: Vec<Status>,
        /// Whether older jobs follow.
        more: bool,
    },
    /// Results of the job.
    Results {
        /// State of the job.
        state: JobState,
        /// Results in item order. Items without a result are left out.
        items: Vec<ItemResult>,
        /// First item of the next page.
        next: Option<u32>,
    },
    /// State of the claim.
    Claim(ClaimStatus),
    /// The query was refused.
    Refused(Refusal),
}

//! Changes of the table that the leader needs to grant items.

use crate::wire;
use std::sync::Arc;

/// Accepted job with the items that have no result, as the leader needs them to grant items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJob {
    /// Name of the job.
    pub job: Arc<str>,
    /// Workspace that owns the job.
    pub workspace: Arc<str>,
    /// Model that the items ask for.
    pub model: Arc<str>,
    /// Milliseconds until the job is due; negative if that time has passed.
    pub slack: i64,
    /// Bit set of the items without a result: item `i` is bit `i % 64` of word `i / 64`.
    pub open: Vec<u64>,
    /// Items among them with failed attempts.
    pub delayed: Vec<ItemDelay>,
}

/// When and how an item with failed attempts is granted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemDelay {
    /// Position of the item.
    pub item: u32,
    /// Milliseconds until the item can be granted.
    pub wait: u64,
    /// Whether the item is granted alone, because a worker was lost while it ran.
    pub alone: bool,
}

/// Change of the table that affects which items can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A job was accepted.
    JobAccepted(OpenJob),
    /// An item has a result.
    ItemEnded {
        /// Name of the job.
        job: Arc<str>,
        /// Position of the item.
        item: u32,
        /// Grant whose result was stored, or whose failure exhausted the attempts.
        attempt: u64,
    },
    /// A failed attempt was counted; the item can run again after a delay.
    ItemDelayed {
        /// Name of the job.
        job: Arc<str>,
        /// Grant that failed.
        attempt: u64,
        /// When and how the item is granted again.
        delay: ItemDelay,
    },
    /// The job was cancelled.
    JobCancelled {
        /// Name of the job.
        job: Arc<str>,
    },
}

/// Grants for the answer to one pull.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grants {
    /// Grants that fit into the answer.
    pub items: Vec<wire::Grant>,
    /// Leases that did not fit. The service of the group returns them with
    /// [`crate::jobs::leases::Input::Release`].
    pub overflow: Vec<wire::Lease>,
}

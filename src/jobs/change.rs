//! What the table tells the leader about the items that can run.

use crate::wire;
use std::sync::Arc;

/// Job with items that can run, for the granting of items.
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
    /// Items among them that had failed attempts.
    pub delayed: Vec<ItemDelay>,
}

/// How an item with failed attempts is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemDelay {
    /// Position of the item.
    pub item: u32,
    /// Milliseconds before it may be granted.
    pub wait: u64,
    /// Whether it is granted alone.
    pub alone: bool,
}

/// Change of the items that can run.
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
        /// Grant whose result was stored, or whose failure was the last one allowed.
        attempt: u64,
    },
    /// A failed attempt was counted; the item can run again.
    ItemDelayed {
        /// Name of the job.
        job: Arc<str>,
        /// Grant that failed.
        attempt: u64,
        /// When and how the item is granted.
        delay: ItemDelay,
    },
    /// The job was cancelled.
    JobCancelled {
        /// Name of the job.
        job: Arc<str>,
    },
}

/// Grants of one answer to a pull.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grants {
    /// Grants that fit.
    pub items: Vec<wire::Grant>,
    /// Leases that did not fit. The shell returns them by
    /// [`crate::jobs::leases::Input::Release`].
    pub overflow: Vec<wire::Lease>,
}

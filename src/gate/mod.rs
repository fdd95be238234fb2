//! Admission control at one endpoint: online before batch.
//!
//! The gate sees everything that is submitted to its engine and keeps the engine's own queue
//! empty, because engines admit in arrival order and have no notion of priority. It starts a
//! stream only for a free slot. A slot is free again once the shell reports [`Input::Done`] or
//! [`Input::Cancelled`].
//!
//! Contract with the shell:
//! - [`Output::Preempt`]: cancel the stream, keep its tokens, report `Cancelled`, and submit the
//!   same id again with the kept tokens. A stream that ends by itself first is reported as `Done`.
//! - [`Output::Withdrawn`] with `ran`: cancel the stream if it still runs and report `Cancelled`.
//! - [`Output::Pull`]: number of batch items that could start now; replaces earlier numbers. Items
//!   that are granted but not yet submitted count against it.
//! - [`Output::Idle`]: a drain is complete; nothing waits or runs.

use crate::wire;
use std::sync::Arc;
use std::time::Duration;

pub mod attempts;
pub mod backlog;
pub mod cap;
pub mod ended;
pub mod preempt;
pub mod queue;
mod schedule;
pub mod service;

pub use schedule::Gate;

/// Settings of a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Streams that the engine runs at once.
    pub slots: u32,
    /// Percent of the slots that batch keeps under load, rounded to whole slots. An engine with
    /// few slots may have none; batch then waits while online needs every slot.
    pub floor_percent: u32,
    /// Percent of the slots that batch leaves free for arriving online requests, rounded to whole
    /// slots.
    pub headroom_percent: u32,
    /// Longest online queue, at least 1; also the longest batch queue.
    pub max_queue: usize,
    /// Preemptions of an item after which it is no longer preempted.
    pub max_preemptions: u32,
    /// Time between online tokens, as 95th percentile, above which batch gives way.
    pub target_latency: Duration,
    /// Whether online has priority. Without it the gate starts everything in arrival order,
    /// which is the baseline of measurements.
    pub online_priority: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            slots: 32,
            floor_percent: 3,
            headroom_percent: 6,
            max_queue: 256,
            max_preemptions: 3,
            target_latency: Duration::from_millis(38),
            online_priority: true,
        }
    }
}

/// What a fleet gives more weight to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trade {
    /// Little degradation of online tail latency.
    Tail,
    /// Batch throughput.
    Throughput,
}

impl Trade {
    /// Name in settings.
    pub fn name(self) -> &'static str {
        match self {
            Trade::Tail => "tail",
            Trade::Throughput => "throughput",
        }
    }
}

impl Config {
    /// Settings for a trade. The targets suit an engine whose step takes 10 ms and 0.35 ms more
    /// for each stream; `docs/experiments.md` shows how they were found.
    pub fn for_trade(trade: Trade) -> Config {
        let target_latency = match trade {
            Trade::Tail => Duration::from_millis(21),
            Trade::Throughput => Duration::from_millis(24),
        };
        Config { target_latency, ..Config::default() }
    }
}

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A caller waits for the answer.
    Online,
    /// Item of a job.
    Batch,
}

/// Event that the shell reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A request arrived, or a preempted item is to be resumed under the same id.
    Submit {
        /// Id of the attempt.
        id: u64,
        /// Class of the request.
        class: Class,
        /// Workspace of the caller.
        workspace: Arc<str>,
        /// Time left until the first token must have been produced.
        deadline: Duration,
    },
    /// The caller gives up. Answered by [`Output::Withdrawn`].
    Withdraw {
        /// Id of the attempt.
        id: u64,
    },
    /// A running stream produced tokens.
    Token {
        /// Id of the attempt.
        id: u64,
        /// Number of tokens since the last report.
        count: u32,
    },
    /// A stream ended by itself.
    Done {
        /// Id of the attempt.
        id: u64,
        /// Whether it succeeded.
        ok: bool,
    },
    /// The shell has cancelled a stream; its slot is free.
    Cancelled {
        /// Id of the attempt.
        id: u64,
    },
    /// The engine has this number of slots from now on.
    Slots(u32),
    /// Take no new work.
    Drain,
    /// Take new work again.
    Resume,
    /// Time has passed; expected about every 20 ms.
    Tick,
}

/// Action for the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the request to the engine.
    Start {
        /// Id of the attempt.
        id: u64,
    },
    /// Cancel a batch stream, keep its tokens and submit the id again.
    Preempt {
        /// Id of the attempt.
        id: u64,
    },
    /// The request will not be started. It has not run, unless it is a batch item that was
    /// preempted before; such an item goes back to its job.
    Refuse {
        /// Id of the attempt.
        id: u64,
        /// Reason.
        reason: wire::Reason,
        /// When to come back.
        retry: Duration,
    },
    /// Answer to a withdrawal, or notice that a silent stream was given up.
    Withdrawn {
        /// Id of the attempt.
        id: u64,
        /// Whether the attempt runs or has run. If not, it never will.
        ran: bool,
    },
    /// Number of batch items that could start now.
    Pull {
        /// Number of items.
        count: u32,
    },
    /// The drain is complete.
    Idle,
}

/// Load of the endpoint for reports to entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Online requests that wait.
    pub queued: u32,
    /// Online streams that run. Batch streams are left out because they yield.
    pub online: u32,
    /// Batch streams that run.
    pub batch: u32,
}

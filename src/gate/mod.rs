//! Admission control at one endpoint: online requests go before batch items.
//!
//! All requests to an engine pass through its gate. The gate keeps the engine's own queue empty,
//! because engines admit requests in arrival order and have no priorities. It starts a stream only
//! when a slot is free. A slot becomes free once the agent reports [`Input::Done`] or
//! [`Input::Cancelled`].
//!
//! The gate does no I/O. The agent feeds it inputs and carries out its outputs:
//! - [`Output::Preempt`]: cancel the stream, keep its tokens, report `Cancelled`, and submit the
//!   same id again with the kept tokens. If the stream ends by itself first, report `Done`.
//! - [`Output::Withdrawn`] with `ran`: cancel the stream if it still runs, and report `Cancelled`.
//! - [`Output::Pull`]: the number of batch items that could start now. It replaces earlier numbers.
//!   Items that the agent has pulled but not yet submitted count against it.
//! - [`Output::Idle`]: a drain is complete, and nothing waits or runs.

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
    /// Number of streams that the engine runs at once.
    pub slots: u32,
    /// Percentage of the slots that batch streams keep under load, rounded to whole slots. With
    /// few slots this may be none; batch then waits while online requests need every slot.
    pub floor_percent: u32,
    /// Percentage of the slots that batch streams leave free for online requests yet to arrive,
    /// rounded to whole slots.
    pub headroom_percent: u32,
    /// Most requests in the online queue, and most items in the batch queue. Zero counts as one.
    pub max_queue: usize,
    /// Number of preemptions after which an item is preempted only while more such items run than
    /// the floor holds.
    pub max_preemptions: u32,
    /// Target for the 95th percentile of online inter-token latency. Batch yields above it.
    pub target_latency: Duration,
    /// Whether online requests have priority over batch items. Otherwise the gate starts everything
    /// in arrival order, which is the baseline of measurements.
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

/// Trade-off between online latency and batch throughput.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trade {
    /// Prefers low online tail latency.
    Tail,
    /// Prefers batch throughput.
    Throughput,
}

impl Trade {
    /// Returns the name in settings.
    pub fn name(self) -> &'static str {
        match self {
            Trade::Tail => "tail",
            Trade::Throughput => "throughput",
        }
    }
}

impl Config {
    /// Returns the settings for a trade-off. The latency targets suit an engine whose step takes
    /// 10 ms plus 0.35 ms for each stream; see `docs/experiments.md`.
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
    /// Request whose caller waits for the answer.
    Online,
    /// Item of a batch job.
    Batch,
}

/// Event that the agent reports to the gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A request arrived, or a preempted item is submitted again under the same id.
    Submit {
        /// Id of the attempt.
        id: u64,
        /// Class of the request.
        class: Class,
        /// Workspace of the caller.
        workspace: Arc<str>,
        /// Time left to produce the first token.
        deadline: Duration,
    },
    /// The request is withdrawn. Answered by [`Output::Withdrawn`].
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
    /// The agent has cancelled a stream, and its slot is free.
    Cancelled {
        /// Id of the attempt.
        id: u64,
    },
    /// The engine now has this number of slots.
    Slots(u32),
    /// The endpoint starts to drain: the gate refuses new requests.
    Drain,
    /// The drain has ended: the gate accepts new requests again.
    Resume,
    /// Time has passed. Expected about every 20 ms.
    Tick,
}

/// Action that the agent must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the request to the engine.
    Start {
        /// Id of the attempt.
        id: u64,
    },
    /// Cancel a batch stream, keep its tokens and submit the same id again.
    Preempt {
        /// Id of the attempt.
        id: u64,
    },
    /// The request will not be started. It has not run, unless it is a batch item that was
    /// preempted before. Such an item is returned to its job.
    Refuse {
        /// Id of the attempt.
        id: u64,
        /// Reason of the refusal.
        reason: wire::Reason,
        /// Time after which the caller may retry.
        retry: Duration,
    },
    /// Answer to a withdrawal, or notice that the gate has given up a stream whose end was not
    /// reported.
    Withdrawn {
        /// Id of the attempt.
        id: u64,
        /// Whether the attempt is running or has run. If not, it never will.
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

/// Load of one endpoint, as reported to entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Waiting online requests.
    pub queued: u32,
    /// Running online streams.
    pub online: u32,
    /// Running batch streams, including those that are being cancelled. Not part of the reported
    /// load, because they yield to online requests.
    pub batch: u32,
}

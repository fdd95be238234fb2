//! Which requests a process takes while it stops, and when they end. Free of I/O.
//!
//! A process that was asked to stop is killed when its grace is over. It has one end before that, at
//! which each request that it took is answered. Routes may give a request more time than that leaves. A
//! request that may not be repeated is then refused as not run, unless an endpoint may have it already;
//! any other ends with the process.

use std::time::Duration;
use tokio::time;

/// Time between failing the readiness check and closing connections. The balancer checks once a
/// second and stops sending requests here after two failures.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Every request is answered this long before the forced end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time from the end for writing the last answers, after which connections are cut.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Stage of a process, from serving to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Accepts requests.
    #[default]
    Serving,
    /// Accepts requests that can end in time, but fails the readiness check, so that the balancer stops
    /// sending here.
    Draining {
        /// Time at which every request is answered.
        end: time::Instant,
    },
    /// Closes each connection after its current request; new connections carry one request.
    Closing {
        /// Time at which every request is answered.
        end: time::Instant,
    },
}

impl Stage {
    /// Whether connections are being closed.
    pub fn is_closing(&self) -> bool {
        matches!(self, Stage::Closing { .. })
    }

    /// Time at which every request is answered, once the stop has begun.
    pub fn end(&self) -> Option<time::Instant> {
        match self {
            Stage::Serving => None,
            Stage::Draining { end } | Stage::Closing { end } => Some(*end),
        }
    }
}

/// Times of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When connections begin to close.
    pub closing: time::Instant,
    /// When every request is answered.
    pub end: time::Instant,
    /// When connections that are still open are cut.
    pub cut: time::Instant,
}

impl Schedule {
    /// Times of a stop that was requested at `now`, with `grace` until the forced end.
    pub fn new(now: time::Instant, grace: Duration) -> Schedule {
        let end = now + grace.saturating_sub(STOP_MARGIN);
        Schedule { closing: end.min(now + BALANCER_DRAIN_TIME), end, cut: end + ANSWER_TIME }
    }

    /// Times of a stop that no balancer has to notice, which takes at most `limit`.
    pub fn without_balancer(now: time::Instant, limit: Duration) -> Schedule {
        Schedule { closing: now, end: now + limit, cut: now + limit + ANSWER_TIME }
    }
}

/// Whether a request may have been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It has certainly not run.
    NotRun,
    /// An endpoint, or a group, may have it.
    MayRun,
}

/// Time of a request, and whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// End of the time that caller and route give.
    pub limit: time::Instant,
    /// Whether it may be repeated if its outcome is unknown.
    pub repeatable: bool,
}

impl Terms {
    /// Time at which the request ends; `None` if it must be refused, since the process ends before
    /// its time is over.
    pub fn deadline(&self, stage: Stage, progress: Progress) -> Option<time::Instant> {
        match stage.end() {
            Some(end) if end < self.limit => {
                (self.repeatable || progress == Progress::MayRun).then_some(end)
            }
            _ => Some(self.limit),
        }
    }
}

//! Decides when an entry that starts serves requests, and how long those that arrive before wait. Free
//! of I/O.
//!
//! Designed for the loss of power at all hosts: callers continue at their usual rate and retry once, so
//! that a refusal by an entry that serves a moment later often is final.

pub mod held;

use crate::fleet::workspaces::auth;
use std::time::Duration;

/// Reason of a refusal before the first configuration has arrived.
pub const NO_CONFIG: &str = "no configuration is known yet";
/// Reason of a refusal before it is known what is quarantined.
pub const NO_CAUSES: &str = "the quarantined parts of prompts are not known yet";

/// Time after the start of the process until which requests wait for the entry to serve. Callers give up
/// after 5 s and want an answer within 0.3 s, so that longer waits help few of them.
pub const MAX_WAIT: Duration = Duration::from_millis(750);
/// Time after the start of the process at which an entry is expected to serve after a loss of power at
/// all hosts: the longest election time-out, 960 ms, and the steps that follow it.
const EXPECTED_START: Duration = Duration::from_millis(1_200);
/// Shortest time after which a refused caller returns.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Range over which the returns of refused callers are spread.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(500);

/// What an entry knows when it decides whether to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// Whether it has a configuration.
    pub configured: bool,
    /// Whether it may send requests with what it knows of quarantined causes.
    pub causes: bool,
    /// Whether its configuration is confirmed, or may be used without that.
    pub confirmed: bool,
}

/// Why an entry does not serve yet; `None` if it serves.
pub fn blocker(knowledge: Knowledge) -> Option<&'static str> {
    match knowledge {
        Knowledge { configured: false, .. } => Some(NO_CONFIG),
        Knowledge { causes: false, .. } => Some(NO_CAUSES),
        Knowledge { confirmed: false, .. } => Some(auth::UNCONFIRMED),
        _ => None,
    }
}

/// Time after which a caller returns that is refused at `now`, the time since the start of the process.
/// `random` is between 0 and 1, and spreads callers that are refused together.
pub fn retry_after(now: Duration, random: f64) -> Duration {
    let left = EXPECTED_START.saturating_sub(now).max(MIN_RETRY_AFTER);
    left + RETRY_AFTER_JITTER.mul_f64(random)
}

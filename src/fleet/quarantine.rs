//! Finds what crashes endpoints, parts of prompts and whole requests, and decides when requests with
//! it may be sent. Free of I/O.
//!
//! Designed for these load patterns, beside sound requests that run at the same endpoints:
//! - Requests that share one part of their prompts and crash each endpoint that begins to answer them,
//!   at several times a second and through every entry. Sound requests share all other parts.
//! - A single request that comes again through any entry, seconds or minutes apart or several times at
//!   once, and crashes each endpoint that begins to run it.
//! - Endpoints that crash together for another reason, once or in a loop, under sound requests: the loss
//!   of a failure domain, of power or of a whole service.
//!
//! A cause is quarantined for the whole fleet once it occurs in the crashes of [`state::MIN_CRASHES`]
//! starts of endpoints. Only crashes that no quarantined part explains count, so that a shared first
//! part is not quarantined beside the bad one. A request is narrower than the parts of its prompt: a
//! part is quarantined only if crashes are left that no quarantined request explains. A cause whose
//! answers arrive elsewhere is cleared.
//!
//! Crashes at one moment may have one reason, which is weighed in two ways. They count as one moment,
//! and only if the cause ran at half of the endpoints that crashed; and a verdict is revised by trials
//! within the time in which items are owed.
//!
//! [`State`] is replicated by the control group. [`Watch`] is what one host knows of it.

pub mod former;

mod evidence;
mod state;
mod trial;
mod verdict;
mod watch;

pub use evidence::Evidence;
pub use state::State;
pub use trial::Trial;
pub use watch::CONFIRM_TIMEOUT;
pub use watch::Changes;
pub use watch::Check;
pub use watch::Hold;
pub use watch::Watch;

use crate::fleet::prompt;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Most shared parts that are remembered of a prompt.
const MAX_PARTS: usize = 64;

/// What may crash endpoints.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Cause {
    /// Part of prompts, by its id.
    #[display("part {_0:x}")]
    Part(u64),
    /// Whole request, by the digest of its path, caller and body.
    #[display("request {_0:x}")]
    Request(u64),
}

/// What about one request or item may crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCauses {
    /// Hash by which requests are told apart.
    pub key: u64,
    /// Shared parts of the prompt in order, then the whole request. Reports leave out those that are
    /// known to be sound.
    pub causes: Vec<Cause>,
}

impl RequestCauses {
    /// Creates the causes of a request with the given digest. An item has none: it is never the cause
    /// by itself.
    pub fn new(prompt: &prompt::Prompt, digest: Option<u64>) -> RequestCauses {
        let parts = prompt.shared_ids().into_iter().take(MAX_PARTS).map(Cause::Part);
        let causes = parts.chain(digest.map(Cause::Request)).collect();
        RequestCauses { key: digest.unwrap_or_else(|| prompt.key()), causes }
    }
}

/// Crash of one start of an endpoint. Several hosts may report it with other prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time; 0 if not stated.
    pub start_time: u64,
    /// When the first answer broke off there, in milliseconds of Unix time; 0 if unknown.
    pub broken_at: u64,
    /// Requests that ran there and had brought next to nothing.
    pub requests: Vec<RequestCauses>,
}

impl Crash {
    fn has_cause(&self, cause: Cause) -> bool {
        self.requests.iter().any(|r| r.causes.contains(&cause))
    }

    fn causes(&self) -> Vec<Cause> {
        let mut causes: Vec<Cause> = self.requests.iter().flat_map(|r| r.causes.clone()).collect();
        causes.sort_unstable();
        causes.dedup();
        causes
    }
}

/// Cause that is kept from endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The cause.
    pub cause: Cause,
    /// Crashes of endpoints that it occurred in.
    pub crashes: u32,
    /// Trials that were granted.
    pub trials: u32,
    /// Trials under which an endpoint crashed while no other one did.
    pub failed: u32,
    /// Whether it had been cleared before. Only answers since then clear it again.
    pub relapsed: bool,
}

/// What every host has to know of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of changes so far; 0 before the first one.
    pub revision: u64,
    /// Causes that are kept from endpoints, sorted.
    pub quarantined: Vec<Quarantined>,
    /// Causes of unexplained crashes, sorted. A host with an answer to a request with one says so.
    pub suspected: Vec<Cause>,
    /// Whether the state holds all that was committed at some moment since the start of the sender.
    /// A control host that has just started may not know of the last changes.
    pub confirmed: bool,
}

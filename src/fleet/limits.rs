//! Limits that endpoints state: the requests a second that an endpoint takes from all hosts together.
//!
//! The host that places items grants the requests to limited endpoints, one by one, to its own items
//! and to the entries that have requests waiting for them. [`grantor`] decides this, [`quota`] is what
//! every host knows of the limits and of its grants; both are free of I/O.

mod exchange;
pub mod grantor;
pub mod notice;
pub mod quota;
pub mod returns;

pub(super) use exchange::grant_requests;
pub(super) use exchange::report_limits;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Rate from which on an endpoint counts as not limited: it cannot be reached.
const UNLIMITED_RATE: Rate = Rate::from_millihertz(1_000_000);
/// Lowest rate at which requests are sent, also to an endpoint that states 0. Only an answer can show
/// that its limit has ended.
const MIN_RATE: Rate = Rate::from_millihertz(400);
/// Time in which a fast endpoint may get the requests of that time at once. Slower ones get one.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Silence after which a host counts as out of contact.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which an entry may use a grant.
const GRANT_LIFETIME: Duration = Duration::from_millis(300);
/// Interval at which a message is repeated of which the receiver may not know, and at which hosts
/// with limits show that they are in contact.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which hosts remember that a limit has ended. Later statements of it would start it again.
const ENDED_RETENTION: Duration = Duration::from_secs(10);

/// Rate of requests.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{} a second", self.per_second())]
#[serde(transparent)]
pub struct Rate {
    /// Requests in 1,000 seconds.
    millihertz: u64,
}

impl Rate {
    /// Rate of so many requests in 1,000 seconds.
    pub const fn from_millihertz(millihertz: u64) -> Rate {
        Rate { millihertz }
    }

    /// Rate of so many requests a second, a number that is not negative.
    pub fn from_per_second(requests: f64) -> Rate {
        // Saturates for a number that is too large.
        Rate { millihertz: (requests * 1_000.0).round() as u64 }
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.millihertz as f64 / 1_000.0
    }

    /// Requests a second at which an endpoint with this limit gets requests; `None` if the limit has
    /// no effect.
    fn effective(self) -> Option<f64> {
        (self < UNLIMITED_RATE).then(|| self.max(MIN_RATE).per_second())
    }
}

/// One start of an endpoint. A limit ends with it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointStart {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Its start in milliseconds of Unix time; 0 if not stated.
    pub start_time: u64,
}

impl EndpointStart {
    /// Start of the endpoint `id` at `start_time`.
    pub fn new(id: &Arc<str>, start_time: u64) -> EndpointStart {
        EndpointStart { id: id.clone(), start_time }
    }
}

/// What an endpoint has stated to one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The endpoint.
    pub endpoint: EndpointStart,
    /// Its limit; `None` if it states none any more.
    pub rate: Option<Rate>,
    /// Version of the record that the host knew when it sent the request; 0 for none. A statement
    /// that is older than the record must not raise or end the limit.
    pub basis: u64,
}

/// Limit of an endpoint as the host that grants requests knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The endpoint.
    pub endpoint: EndpointStart,
    /// Its limit; `None` if it states none any more.
    pub rate: Option<Rate>,
    /// Number of the change that made it so.
    pub version: u64,
}

/// Requests of one entry that wait for a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Service that they need.
    pub service: Arc<str>,
    /// Build at which they have to go on; `None` if any will do.
    pub build: Option<Arc<str>>,
    /// Their number.
    pub count: u32,
}

/// Leadership in which requests are granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Start of the granting process in milliseconds of Unix time.
    pub start_time: u64,
    /// Number of its leadership since then.
    pub epoch: u64,
}

/// Report of a host to the one that grants requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the sending process in milliseconds of Unix time.
    pub start_time: u64,
    /// Sequence number of the report since that start.
    pub seq: u64,
    /// Leadership that the numbers below refer to; `None` if the host has heard of none.
    pub term: Option<Term>,
    /// Version up to which the host knows the records.
    pub known: u64,
    /// Number of the last grant that it has received.
    pub received: u64,
    /// Statements that the records do not reflect.
    pub statements: Vec<Statement>,
    /// Requests that wait.
    pub wanted: Vec<Want>,
}

/// What the granting host knows of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceQuota {
    /// The service.
    pub service: Arc<str>,
    /// Requests that wait at all entries.
    pub wanted: u32,
    /// Requests that its endpoints take at once.
    pub ready: u32,
}

/// Message of the host that grants requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Its leadership.
    pub term: Term,
    /// Version of its records.
    pub version: u64,
    /// Whether `records` holds all of them; otherwise those that the receiver may not know.
    pub complete: bool,
    /// Records of endpoints.
    pub records: Vec<Record>,
    /// Number of the first grant.
    pub first: u64,
    /// Endpoints to which the receiver may send one request each, with repeats.
    pub grants: Vec<EndpointStart>,
    /// Services with limited endpoints.
    pub services: Vec<ServiceQuota>,
}

/// Requests that an endpoint takes by now, filled at a rate.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Requests, with fractions.
    tokens: f64,
    filled: Duration,
}

impl Bucket {
    fn new(now: Duration, tokens: f64) -> Bucket {
        Bucket { tokens, filled: now }
    }

    /// Adds what `rate` requests a second have brought since the last call.
    fn fill(&mut self, now: Duration, rate: f64) {
        let most = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let added = rate * now.saturating_sub(self.filled).as_secs_f64();
        (self.tokens, self.filled) = ((self.tokens + added).min(most), now);
    }

    fn count(&self) -> u32 {
        self.tokens as u32
    }

    fn take(&mut self) -> bool {
        let is_full = self.tokens >= 1.0;
        if is_full {
            self.tokens -= 1.0;
        }
        is_full
    }
}

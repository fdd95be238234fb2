//! Builds of the endpoints that began streams. Free of I/O.
//!
//! What endpoints of two builds write does not fit together, and endpoints do not check it, so a
//! stream may go on only at the build that began it. A caller whose connection broke may come back
//! at any entry, also after the entry that began its stream was lost.
//!
//! Designed for many short streams in a fleet of any size. An entry sends the origin of a stream to a
//! few control hosts, one more than may be lost at the same time. It asks the control hosts only when
//! a caller comes back, which is rare. So the messages of a stream do not grow with the fleet, and no
//! host learns of the streams of all the others.

use crate::fleet::sync;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Most origins that a host keeps. Each takes some 200 bytes. The oldest is dropped for a
/// further one.
const MAX_ORIGINS: usize = 50_000;
/// Longest time that an origin is kept, whatever the deadline of its caller is.
pub const MAX_RETENTION: Duration = Duration::from_secs(600);

/// Service and build of the endpoint that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Build of the endpoint.
    pub build: Arc<str>,
}

/// Origin of a stream, as sent to a control host once the stream has begun. It never changes, so a host
/// that has a record knows the origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request that began the stream.
    pub stream: Arc<str>,
    /// Origin of the stream.
    pub origin: Origin,
    /// Time for which the caller may still come back, in milliseconds.
    pub keep_ms: u64,
}

#[derive(Clone, Debug)]
struct Kept {
    origin: Origin,
    until: Duration,
}

/// Origins of streams that this host keeps.
#[derive(Debug, Default)]
pub struct Origins {
    kept: sorted::SortedMap<Arc<str>, Kept>,
    /// Ids of the streams in the order of their first records.
    order: VecDeque<Arc<str>>,
}

impl Origins {
    /// Keeps a record.
    pub fn insert(&mut self, now: Duration, record: Record) {
        let Record { stream, origin, keep_ms } = record;
        let until = now + Duration::from_millis(keep_ms).min(MAX_RETENTION);
        let next = Kept { origin, until };
        if let Some(known) = self.kept.get_mut(&stream) {
            *known = next;
            return;
        }
        if self.order.len() >= MAX_ORIGINS
            && let Some(oldest) = self.order.pop_front()
        {
            self.kept.remove(&oldest);
        }
        self.order.push_back(stream.clone());
        self.kept.insert(stream, next);
    }

    /// Record of a stream.
    pub fn find(&self, now: Duration, stream: &str) -> Option<Record> {
        let kept = self.kept.get(stream).filter(|k| k.until > now)?;
        Some(kept.record(now, stream.into()))
    }

    /// All records, to be sent to a control host that may have lost its own.
    pub fn records(&self, now: Duration) -> Vec<Record> {
        let kept = self.kept.iter().filter(|(_, k)| k.until > now);
        kept.map(|(stream, k)| k.record(now, stream.clone())).collect()
    }

    /// Drops records whose callers can no longer come back.
    pub fn remove_expired(&mut self, now: Duration) {
        self.kept.retain(|_, kept| kept.until > now);
        let kept = &self.kept;
        self.order.retain(|stream| kept.contains(stream));
    }
}

impl Kept {
    fn record(&self, now: Duration, stream: Arc<str>) -> Record {
        let left = self.until.saturating_sub(now);
        let keep_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        Record { stream, origin: self.origin.clone(), keep_ms }
    }
}

/// Control hosts that keep the origin of a stream, `count` of `controls`. Every host gives the same
/// ones, and the streams are spread over all control hosts.
pub fn keepers(stream: &str, mut controls: Vec<Arc<str>>, count: usize) -> Vec<Arc<str>> {
    let all = controls.clone();
    controls.sort_by_cached_key(|control| sync::rank(stream, control, &all));
    controls.truncate(count);
    controls
}

/// Where a stream that a caller takes up again may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Continuation {
    /// At endpoints of the build that began it.
    At(Origin),
    /// Nowhere: no host that was asked knows the build, and it could be one of several.
    Unknown,
}

/// Decides where a stream may go on. `found` is the record of the hosts that were asked.
/// `builds` are those of the services to which the route leads, as a quorum of the control group has
/// confirmed them since the caller came back; `None` if no quorum has answered.
pub fn continuation(found: Option<Origin>, builds: Option<&[Origin]>) -> Continuation {
    match (found, builds) {
        (Some(origin), _) => Continuation::At(origin),
        // Records may be lost along with hosts, but there is only one build that can have begun it.
        (None, Some([only])) => Continuation::At(only.clone()),
        _ => Continuation::Unknown,
    }
}

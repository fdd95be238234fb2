//! States of the items of one job, and the store of their bodies.

use crate::jobs::id;
use crate::jobs::message;
use crate::jobs::pages;
use crate::sorted;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Failed attempts after which an item ends with an error result.
pub const MAX_ATTEMPTS: u32 = 5;

/// Backoff after the first transient failure, in milliseconds; it doubles with each further one.
pub const INITIAL_BACKOFF: u64 = 1_000;

/// Longest backoff in milliseconds.
pub const MAX_BACKOFF: u64 = 60_000;

/// Failed attempts of an item that has no result yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retry {
    /// Grants that failed, each counted once.
    pub failed_attempts: Vec<u64>,
    /// Group time in milliseconds before which the item is not granted.
    pub until: u64,
    /// Whether a worker was lost while the item ran. The item is then granted alone.
    pub alone: bool,
}

/// Whether an item is retried after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The item is retried. Also returned for an attempt that was counted before.
    Retry(Retry),
    /// The item has no attempt left after this number of failed ones; the caller stores the error
    /// result.
    Exhausted(u32),
}

const QUEUED: u8 = 0;
const DONE: u8 = 1;
const FAILED: u8 = 2;

/// States of the items of one job: one byte per item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Items {
    states: Vec<u8>,
    retries: sorted::SortedMap<u32, Retry>,
    done: u32,
    failed: u32,
}

impl Items {
    /// Adds items without a result.
    pub fn extend(&mut self, count: usize) {
        self.states.resize(self.states.len() + count, QUEUED);
    }

    /// Frees spare memory once all items have been added.
    pub fn shrink_to_fit(&mut self) {
        self.states.shrink_to_fit();
    }

    /// Number of items.
    pub fn len(&self) -> u32 {
        self.states.len() as u32
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Number of items with an answer.
    pub fn done(&self) -> u32 {
        self.done
    }

    /// Number of items with an error result.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Number of items without a result.
    pub fn queued(&self) -> u32 {
        self.len() - self.done - self.failed
    }

    /// Outcome of an item; `None` while it has no result or if there is no such item.
    pub fn outcome(&self, item: u32) -> Option<message::Outcome> {
        match self.states.get(item as usize) {
            Some(&DONE) => Some(message::Outcome::Done),
            Some(&FAILED) => Some(message::Outcome::Failed),
            _ => None,
        }
    }

    /// Records the outcome of an item, which must exist and have no outcome.
    pub fn record_outcome(&mut self, item: u32, outcome: message::Outcome) {
        let state = match outcome {
            message::Outcome::Done => DONE,
            message::Outcome::Failed => FAILED,
        };
        self.states[item as usize] = state;
        match outcome {
            message::Outcome::Done => self.done += 1,
            message::Outcome::Failed => self.failed += 1,
        }
        self.retries.remove(&item);
    }

    /// Counts a failed attempt of an item without a result, each attempt once.
    pub fn record_failure(
        &mut self,
        item: u32,
        attempt: u64,
        cause: message::FailureCause,
        clock: u64,
    ) -> RetryDecision {
        let fresh = || Retry { failed_attempts: Vec::new(), until: 0, alone: false };
        let retry = self.retries.entry_or(item, fresh);
        if retry.failed_attempts.contains(&attempt) {
            return RetryDecision::Retry(retry.clone());
        }
        retry.failed_attempts.push(attempt);
        let attempts = retry.failed_attempts.len() as u32;
        if attempts >= MAX_ATTEMPTS {
            return RetryDecision::Exhausted(attempts);
        }
        match cause {
            message::FailureCause::WorkerLost => {
                retry.alone = true;
                retry.until = clock;
            }
            message::FailureCause::Transient => {
                retry.until = clock.saturating_add(backoff(attempts))
            }
        }
        RetryDecision::Retry(retry.clone())
    }

    /// Failed attempts of the items that have no result yet.
    pub fn retries(&self) -> impl Iterator<Item = (u32, &Retry)> {
        self.retries.iter().map(|(item, retry)| (*item, retry))
    }

    /// Removes the failed attempts of all items when the job has ended.
    pub fn clear_retries(&mut self) {
        self.retries = sorted::SortedMap::new();
    }

    /// Bit set of the items without a result: item `i` is bit `i % 64` of word `i / 64`.
    pub fn open_items(&self) -> Vec<u64> {
        let word = |states: &[u8]| {
            states.iter().rev().fold(0, |word, s| word << 1 | u64::from(*s == QUEUED))
        };
        self.states.chunks(64).map(word).collect()
    }
}

/// Backoff after the given number of failed attempts, in milliseconds.
fn backoff(attempts: u32) -> u64 {
    let doubled = 1u64.checked_shl(attempts.saturating_sub(1)).unwrap_or(u64::MAX);
    INITIAL_BACKOFF.saturating_mul(doubled).min(MAX_BACKOFF)
}

/// Store of custom ids, request bodies and result bodies, which make up nearly all of the state.
///
/// It is part of the replicated state: the same calls must lead to the same content on every
/// replica.
pub trait BodyStore: Send {
    /// Appends items to those that the job already has.
    fn extend(&mut self, job: id::Id, items: &[message::NewItem]);
    /// Custom id of an item.
    fn custom_id(&self, job: id::Id, item: u32) -> Option<Arc<str>>;
    /// Request body of an item; `None` once the job has ended.
    fn request(&self, job: id::Id, item: u32) -> Option<Bytes>;
    /// Stores the result body of an item.
    fn put_result(&mut self, job: id::Id, item: u32, body: &[u8]);
    /// Result body of an item.
    fn result(&self, job: id::Id, item: u32) -> Option<Bytes>;
    /// Drops the request bodies of a job that has ended.
    fn drop_requests(&mut self, job: id::Id);
    /// Drops all data of a job.
    fn remove_job(&mut self, job: id::Id);
    /// Encodes the whole content for a snapshot.
    fn export(&self) -> Vec<u8>;
    /// Replaces the content with one that `export` encoded.
    fn import(&mut self, data: &[u8]) -> Result<(), postcard::Error>;
}

/// Body store that keeps its content in memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryStore {
    jobs: BTreeMap<id::Id, JobBodies>,
}

/// Bodies of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct JobBodies {
    custom_ids: pages::PagedList,
    requests: pages::PagedList,
    results: pages::PagedMap,
}

impl BodyStore for MemoryStore {
    fn extend(&mut self, job: id::Id, items: &[message::NewItem]) {
        let bodies = self.jobs.entry(job).or_default();
        bodies.custom_ids.extend(items.iter().map(|item| item.custom_id.as_bytes()));
        bodies.requests.extend(items.iter().map(|item| &*item.body));
    }

    fn custom_id(&self, job: id::Id, item: u32) -> Option<Arc<str>> {
        let custom_id = self.jobs.get(&job)?.custom_ids.get(item)?;
        std::str::from_utf8(&custom_id).ok().map(Arc::from)
    }

    fn request(&self, job: id::Id, item: u32) -> Option<Bytes> {
        self.jobs.get(&job)?.requests.get(item)
    }

    fn put_result(&mut self, job: id::Id, item: u32, body: &[u8]) {
        self.jobs.entry(job).or_default().results.put(item, body);
    }

    fn result(&self, job: id::Id, item: u32) -> Option<Bytes> {
        self.jobs.get(&job)?.results.get(item)
    }

    fn drop_requests(&mut self, job: id::Id) {
        if let Some(bodies) = self.jobs.get_mut(&job) {
            bodies.requests = pages::PagedList::default();
            bodies.results.seal();
        }
    }

    fn remove_job(&mut self, job: id::Id) {
        self.jobs.remove(&job);
    }

    fn export(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("postcard encodes the bodies")
    }

    fn import(&mut self, data: &[u8]) -> Result<(), postcard::Error> {
        *self = postcard::from_bytes(data)?;
        Ok(())
    }
}

//! Records of the table: jobs and their indexes.

use crate::jobs::claims;
use crate::jobs::id;
use crate::jobs::items;
use crate::jobs::message;
use crate::jobs::retention;
use crate::jobs::table;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Replicated record of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Workspace that owns the job.
    pub workspace: Arc<str>,
    /// Idempotency key of the submission.
    pub key: Arc<str>,
    /// Model that the items ask for.
    pub model: Arc<str>,
    /// Digest of the content that the submission announced.
    pub digest: u64,
    /// Log index of the `Open` command; orders the jobs of a workspace.
    pub number: u64,
    /// Group time of the `Open` command, in milliseconds.
    pub opened: u64,
    /// Group time at which the job is due, in milliseconds.
    pub due: u64,
    /// Group time of the last change of state, in milliseconds.
    pub changed: u64,
    /// Announced number of items.
    pub total: u32,
    /// Next expected chunk.
    pub next: u32,
    /// Number of results and failed attempts that came too late to be stored.
    pub dropped: u32,
    /// State of the job.
    pub state: message::JobState,
    /// Id of the cancellation.
    pub cancel: Option<Arc<str>>,
    /// Uploaded items.
    pub items: items::Items,
}

/// Replicated state without the bodies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Highest applied group time in milliseconds.
    pub clock: u64,
    /// Jobs by identity. A tree, because hashes arrive in random order and inserting one into a
    /// sorted vector would move half of its content.
    pub jobs: BTreeMap<id::Id, Box<Job>>,
    /// Jobs of each workspace by number.
    pub workspaces: BTreeMap<Arc<str>, sorted::SortedMap<u64, id::Id>>,
    /// Queue of the jobs that expire.
    pub expiry: retention::Expiry,
    /// Claims of non-idempotent calls.
    pub claims: claims::Claims,
}

impl Job {
    /// Status of the job for queries.
    pub fn status(&self, id: id::Id) -> message::Status {
        message::Status {
            job: id.name(),
            workspace: self.workspace.clone(),
            key: self.key.clone(),
            model: self.model.clone(),
            state: self.state,
            total: self.total,
            queued: self.items.queued(),
            done: self.items.done(),
            failed: self.items.failed(),
            dropped: self.dropped,
            opened: self.opened,
            due: self.due,
            changed: self.changed,
            cancel: self.cancel.clone(),
        }
    }
}

impl State {
    /// Looks up a job by name. Fails if it does not exist or has been removed.
    pub fn find(&self, name: &str) -> Result<(id::Id, &Job), message::Refusal> {
        let id = id::Id::parse(name).ok_or(message::Refusal::NotFound)?;
        let gone = || self.expiry.gone_refusal(id).unwrap_or(message::Refusal::NotFound);
        self.jobs.get(&id).map(|job| (id, &**job)).ok_or_else(gone)
    }

    /// Looks up a job by name, like [`State::find`], to modify it.
    pub fn find_mut(&mut self, name: &str) -> Result<(id::Id, &mut Job), message::Refusal> {
        let id = id::Id::parse(name).ok_or(message::Refusal::NotFound)?;
        let gone = || self.expiry.gone_refusal(id).unwrap_or(message::Refusal::NotFound);
        self.jobs.get_mut(&id).map(|job| (id, &mut **job)).ok_or_else(gone)
    }

    /// Adds a new job to the records and indexes.
    pub fn insert(&mut self, id: id::Id, mut job: Job) {
        if let Some((name, _)) = self.workspaces.get_key_value(&job.workspace) {
            job.workspace = name.clone();
        }
        let numbers = self.workspaces.entry(job.workspace.clone()).or_default();
        numbers.insert(job.number, id);
        self.expiry.record_change(job.opened, id);
        self.jobs.insert(id, Box::new(job));
    }

    /// Removes a job from the records and indexes.
    pub fn remove(&mut self, id: id::Id) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let Some(numbers) = self.workspaces.get_mut(&job.workspace) else { return };
        numbers.remove(&job.number);
        if numbers.is_empty() {
            self.workspaces.remove(&job.workspace);
        }
    }

    /// Makes all jobs of a workspace share one copy of its name again after decoding.
    pub fn share_names(&mut self) {
        for (name, numbers) in &self.workspaces {
            for id in numbers.values() {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.workspace = name.clone();
                }
            }
        }
    }

    /// Describes an accepted job for the leader, which grants its items.
    pub fn describe_job(&self, id: id::Id, job: &Job) -> table::OpenJob {
        let delay = |(item, retry): (u32, &items::Retry)| table::ItemDelay {
            item,
            wait: retry.until.saturating_sub(self.clock),
            alone: retry.alone,
        };
        table::OpenJob {
            job: id.name(),
            workspace: job.workspace.clone(),
            model: job.model.clone(),
            slack: job.due as i64 - self.clock as i64,
            open: job.items.open_items(),
            delayed: job.items.retries().map(delay).collect(),
        }
    }
}

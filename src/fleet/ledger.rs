//! Batch jobs of HTTP requests as a replicated state machine. Free of I/O.
//!
//! An item gets its position in the results when it ends, in log order, so the results are the same
//! on every replica. Commands are idempotent: a repeated command (from a caller that submits a job
//! again or a leader that runs an item again) changes nothing and gets the same reply.
//!
//! Commands, queries and replicas name a job by its ledger key, which [`job_key`] makes of the
//! caller's id and the workspace that the job belongs to. So the workspace is as durable as the job
//! and known wherever the job is, and the encoding is that of earlier builds.

use crate::replica;
use crate::sorted;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Most bytes of outputs on one page, which limits the size of the answer to a read. The first
/// result of a page is returned whatever its size.
const MAX_PAGE_BYTES: usize = 900 << 10;

/// Separates the id of a job from the name of its workspace in a ledger key. Ids come from header
/// values and paths, which cannot contain it.
const WORKSPACE_SEPARATOR: char = '\n';

/// Ledger key of the job that a caller calls `id`. A job without a workspace has its id as key, as in
/// logs and snapshots of builds that did not know workspaces. `None` if the id contains a line feed:
/// it could name a job of a workspace.
pub fn job_key(id: &str, workspace: Option<&str>) -> Option<Arc<str>> {
    if id.contains(WORKSPACE_SEPARATOR) {
        return None;
    }
    Some(match workspace {
        Some(workspace) => format!("{id}{WORKSPACE_SEPARATOR}{workspace}").into(),
        None => id.into(),
    })
}

/// Id that the caller chose for the job with the given ledger key.
pub fn job_id(key: &str) -> &str {
    key.split_once(WORKSPACE_SEPARATOR).map_or(key, |(id, _)| id)
}

/// Name of the workspace that the job with the given ledger key belongs to, if any.
pub fn job_workspace(key: &str) -> Option<&str> {
    key.split_once(WORKSPACE_SEPARATOR).map(|(_, workspace)| workspace)
}

/// One request of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Id chosen by the caller.
    pub id: Arc<str>,
    /// Path at the endpoint.
    pub path: Arc<str>,
    /// Headers of the request.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body of the request.
    pub body: Bytes,
    /// Prompt tokens plus the most output tokens, for placement.
    pub tokens: u64,
}

/// Settings of a job, copied from its route when the job was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Host name of the route, sent with every item.
    pub host: Arc<str>,
    /// Path prefix of the route.
    pub prefix: Arc<str>,
    /// Failed runs after which an item is abandoned.
    pub max_failures: u32,
    /// Milliseconds from submission until all results are due.
    pub due_ms: u64,
    /// Milliseconds from submission after which items are abandoned; never if `None`.
    pub max_wait_ms: Option<u64>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its complete output is stored.
    Completed,
    /// It was abandoned without output.
    Abandoned,
}

/// Why an item is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// It can never be run: an endpoint rejected it, it is not a valid request, or its output is
    /// too long.
    Impossible,
    /// The longest wait of its job has passed.
    Patience,
    /// The configuration has no route or service for its job any more.
    NoRoute,
}

/// Result of an item that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub id: Arc<str>,
    /// How it ended.
    pub outcome: Outcome,
    /// Data of all events, separated by line feeds; empty unless completed.
    pub output: Bytes,
}

/// Results of a job from one position on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of items of the job.
    pub total: u64,
    /// Position after the last result on this page.
    pub next: u64,
    /// Results on this page.
    pub results: Vec<ItemResult>,
}

/// Output of an item that is stored in the ledger. A new leader resumes the item after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutput {
    /// Number of events.
    pub events: u64,
    /// Id of the last event, if the events are numbered.
    pub last_event: Option<u64>,
    /// Data of the events, separated by line feeds.
    pub output: Bytes,
}

impl StoredOutput {
    /// Appends the data of further events, after which there are `events` in total. Does nothing if
    /// that many are stored already.
    fn extend(&mut self, events: u64, last_event: Option<u64>, data: &[u8]) {
        if events <= self.events {
            return;
        }
        let mut output = Vec::with_capacity(self.output.len() + 1 + data.len());
        output.extend_from_slice(&self.output);
        if self.events > 0 {
            output.push(b'\n');
        }
        output.extend_from_slice(data);
        *self = StoredOutput {
            events,
            last_event: last_event.or(self.last_event),
            output: output.into(),
        };
    }
}

/// Output of an item that follows the stored output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputChunk {
    /// Ledger key of the job.
    pub job: Arc<str>,
    /// Id of the item.
    pub item: Arc<str>,
    /// Number of events that must already be stored.
    pub after: u64,
    /// Number of events that are stored afterwards.
    pub events: u64,
    /// Id of the last event, if the events are numbered.
    pub last_event: Option<u64>,
    /// Data of the events after `after`, separated by line feeds.
    pub data: Bytes,
}

/// Part of an item's runs that form one output. What endpoints of two builds write does not fit
/// together, so an item that goes on at another build starts over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// How often the item has started over.
    pub number: u32,
    /// Build of the endpoints; `None` while nothing is stored.
    pub build: Option<Arc<str>>,
}

/// Output of one generation of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationChunk {
    /// Generation that the output belongs to.
    pub generation: Generation,
    /// Output that follows the stored output of this generation.
    pub chunk: OutputChunk,
}

/// Item that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingItem {
    /// Request of the item.
    pub item: Arc<Item>,
    /// Runs that an endpoint answered with an error.
    pub failures: u32,
    /// Output stored so far.
    pub stored: StoredOutput,
}

/// Accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Settings of the job.
    pub rules: Rules,
    /// Number of items.
    pub total: u64,
    /// Log index at which it was accepted; it gives the order of jobs.
    pub accept_index: u64,
    /// Whether its client has ended it.
    pub ended: bool,
    /// Items that have not ended, in order of submission.
    pub pending: Vec<PendingItem>,
    /// Results in order of completion.
    pub results: Vec<ItemResult>,
}

/// Command of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Command {
    /// Accept a job as [`Command::SubmitUnder`] does, without a version. Only in logs of builds that
    /// did not record versions.
    #[display("submit")]
    Submit {
        /// Id chosen by the caller.
        job: Arc<str>,
        /// Settings of the job.
        rules: Rules,
        /// Its items.
        items: Vec<Arc<Item>>,
    },
    /// Store output of items as [`Command::StoreGenerations`] does, without a generation. Only in logs
    /// of builds that did not know generations.
    #[display("advance")]
    StoreOutput(Vec<OutputChunk>),
    /// Complete an item as [`Command::CompleteGeneration`] does, without a generation. Only in logs of
    /// builds that did not know generations.
    #[display("complete")]
    Complete(OutputChunk),
    /// Count a run that an endpoint answered with an error. At the limit of the job the item is
    /// abandoned.
    #[display("fail")]
    RecordFailure {
        /// Ledger key of the job.
        job: Arc<str>,
        /// Id of the item.
        item: Arc<str>,
        /// Number of failures including this one, so that a repeated command counts only once.
        failures: u32,
    },
    /// Abandon an item.
    #[display("abandon")]
    Abandon {
        /// Ledger key of the job.
        job: Arc<str>,
        /// Id of the item.
        item: Arc<str>,
        /// Reason.
        cause: Cause,
    },
    /// End a job. Items that have not ended are dropped.
    #[display("end")]
    EndJob {
        /// Ledger key of the job.
        job: Arc<str>,
    },
    /// Move the replica of a host to another host, so that the host can be removed.
    #[display("empty")]
    RetireHost {
        /// Link address of the host.
        host: Arc<str>,
    },
    /// Remove jobs whose retention period is over.
    #[display("forget")]
    RemoveJobs {
        /// Ledger keys of the jobs.
        jobs: Vec<Arc<str>>,
    },
    /// Store output of running items. Output that does not directly follow the stored output of its
    /// item is ignored. A later generation replaces the stored output of an earlier one.
    #[display("advance")]
    StoreGenerations(Vec<GenerationChunk>),
    /// Store the rest of an item's output, which completes the item.
    #[display("complete")]
    CompleteGeneration(GenerationChunk),
    /// Drop the stored output of an item that has not ended, because it cannot be its output. The
    /// item starts over.
    #[display("discard")]
    DiscardOutput {
        /// Ledger key of the job.
        job: Arc<str>,
        /// Id of the item.
        item: Arc<str>,
    },
    /// Accept a job. If the key is already known, nothing changes.
    #[display("submit")]
    SubmitUnder {
        /// Version of the configuration under which the job is accepted.
        version: u64,
        /// Ledger key of the job.
        job: Arc<str>,
        /// Settings of the job.
        rules: Rules,
        /// Its items.
        items: Vec<Arc<Item>>,
    },
}

impl Command {
    /// Whether the command accepts a job.
    pub fn is_submission(&self) -> bool {
        matches!(self, Command::Submit { .. } | Command::SubmitUnder { .. })
    }
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command was executed, now or before.
    Done,
    /// The job is unknown.
    Unknown,
    /// The output does not follow the stored output, or the trial of a quarantined part was granted
    /// before; nothing was changed.
    Stale,
    /// The command cannot be decoded.
    Invalid,
}

/// Query of the jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Results of a job from a position on.
    Results {
        /// Ledger key of the job.
        job: Arc<str>,
        /// First position.
        after: u64,
    },
    /// Body of an item that has not ended.
    Body {
        /// Ledger key of the job.
        job: Arc<str>,
        /// Id of the item.
        item: Arc<str>,
    },
}

/// Answer to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Results of a job.
    Page(Page),
    /// Body of an item.
    Body(Bytes),
    /// The job or item is unknown, or the item has ended.
    Unknown,
}

/// State machine that holds all jobs of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    jobs: sorted::SortedMap<Arc<str>, Job>,
    /// Link addresses of the hosts whose replicas are to be moved away, sorted.
    retiring: Vec<Arc<str>>,
    /// Generation of the stored output by job and item. Items without an entry have stored none, or
    /// it was stored by a build that did not know generations.
    generations: sorted::SortedMap<(Arc<str>, Arc<str>), Generation>,
    /// Version of the configuration under which each job was accepted. Jobs without an entry were
    /// accepted by a build that did not record it.
    versions: sorted::SortedMap<Arc<str>, u64>,
    /// Bytes of all stored bodies and outputs.
    #[serde(skip)]
    stored_bytes: usize,
}

/// Snapshot of a ledger by builds that did not record versions.
#[derive(Deserialize)]
struct LedgerWithoutVersions {
    jobs: sorted::SortedMap<Arc<str>, Job>,
    retiring: Vec<Arc<str>>,
    generations: sorted::SortedMap<(Arc<str>, Arc<str>), Generation>,
}

/// Snapshot of a ledger by builds that did not know generations.
#[derive(Deserialize)]
struct LedgerWithoutGenerations {
    jobs: sorted::SortedMap<Arc<str>, Job>,
    retiring: Vec<Arc<str>>,
}

impl Job {
    /// Bytes of the stored bodies and outputs.
    fn stored_bytes(&self) -> usize {
        let pending = self.pending.iter().map(|o| o.item.body.len() + o.stored.output.len());
        pending.sum::<usize>() + self.results.iter().map(|r| r.output.len()).sum::<usize>()
    }
}

impl Ledger {
    /// All jobs with their ledger keys.
    pub fn jobs(&self) -> impl Iterator<Item = (&Arc<str>, &Job)> {
        self.jobs.iter()
    }

    /// Job with the given ledger key.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Version of the configuration under which a job was accepted; 0 if it is not recorded.
    pub fn accept_version(&self, job: &str) -> u64 {
        self.versions.get(job).copied().unwrap_or(0)
    }

    /// Bytes of all stored bodies and outputs. Kept up to date, as it is read before each command.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Link addresses of the hosts whose replicas are to be moved away.
    pub fn retiring_hosts(&self) -> &[Arc<str>] {
        &self.retiring
    }

    /// Executes the command at the given log index.
    pub fn execute(&mut self, index: u64, command: Command) -> Reply {
        match command {
            Command::Submit { job, rules, items } => self.submit(index, job, rules, items, None),
            Command::SubmitUnder { version, job, rules, items } => {
                self.submit(index, job, rules, items, Some(version))
            }
            Command::StoreOutput(chunks) => {
                for chunk in &chunks {
                    self.store(chunk);
                }
                Reply::Done
            }
            Command::Complete(chunk) => self.complete(&chunk),
            Command::StoreGenerations(chunks) => {
                for GenerationChunk { generation, chunk } in chunks {
                    if self.enter_generation(&chunk, generation) {
                        self.store(&chunk);
                    }
                }
                Reply::Done
            }
            Command::CompleteGeneration(GenerationChunk { generation, chunk }) => {
                if self.is_pending(&chunk) && !self.enter_generation(&chunk, generation) {
                    return Reply::Stale;
                }
                self.complete(&chunk)
            }
            Command::RecordFailure { job, item, failures } => {
                self.record_failure(&job, &item, failures)
            }
            Command::Abandon { job, item, cause: _ } => {
                self.record_result(&job, &item, Outcome::Abandoned, Bytes::new())
            }
            Command::EndJob { job: id } => match self.jobs.get_mut(&id) {
                Some(job) => {
                    let before = job.stored_bytes();
                    job.ended = true;
                    job.pending.clear();
                    self.stored_bytes -= before - job.stored_bytes();
                    self.generations.retain(|(of, _), _| *of != id);
                    Reply::Done
                }
                None => Reply::Unknown,
            },
            Command::RetireHost { host } => {
                if let Err(at) = self.retiring.binary_search(&host) {
                    self.retiring.insert(at, host);
                }
                Reply::Done
            }
            Command::RemoveJobs { jobs } => {
                for removed in jobs.iter().filter_map(|job| self.jobs.remove(job)) {
                    self.stored_bytes -= removed.stored_bytes();
                }
                let jobs = &self.jobs;
                self.generations.retain(|(job, _), _| jobs.contains(job));
                self.versions.retain(|job, _| jobs.contains(job));
                Reply::Done
            }
            Command::DiscardOutput { job, item } => self.discard_output(&job, &item),
        }
    }

    fn submit(
        &mut self,
        index: u64,
        job: Arc<str>,
        rules: Rules,
        items: Vec<Arc<Item>>,
        version: Option<u64>,
    ) -> Reply {
        let accept = || {
            let total = items.len() as u64;
            let pending = items
                .into_iter()
                .map(|item| PendingItem { item, failures: 0, stored: StoredOutput::default() })
                .collect();
            Job { rules, total, accept_index: index, ended: false, pending, results: Vec::new() }
        };
        if !self.jobs.contains(&job) {
            if let Some(version) = version {
                self.versions.insert(job.clone(), version);
            }
            let job = self.jobs.entry_or(job, accept);
            self.stored_bytes += job.stored_bytes();
        }
        Reply::Done
    }

    /// Stored output of an item that has not ended, if `chunk` directly follows it.
    fn pending_output(&mut self, chunk: &OutputChunk) -> Option<&mut StoredOutput> {
        let pending = &mut self.jobs.get_mut(&chunk.job)?.pending;
        let found = pending.iter_mut().find(|o| o.item.id == chunk.item)?;
        (found.stored.events == chunk.after).then_some(&mut found.stored)
    }

    /// Appends output that directly follows the stored output of its item. Returns the whole output,
    /// or `None` if it does not follow.
    fn store(&mut self, chunk: &OutputChunk) -> Option<Bytes> {
        let stored = self.pending_output(chunk)?;
        let before = stored.output.len();
        stored.extend(chunk.events, chunk.last_event, &chunk.data);
        let output = stored.output.clone();
        self.stored_bytes += output.len() - before;
        Some(output)
    }

    fn is_pending(&self, chunk: &OutputChunk) -> bool {
        let pending = self.jobs.get(&chunk.job).map(|j| &j.pending[..]).unwrap_or_default();
        pending.iter().any(|o| o.item.id == chunk.item)
    }

    /// Generation of the stored output of an item.
    pub fn generation(&self, job: &Arc<str>, item: &Arc<str>) -> Generation {
        self.generations.get(&(job.clone(), item.clone())).cloned().unwrap_or_default()
    }

    /// Drops the stored output of an item if `chunk` begins a later generation. Returns whether the
    /// chunk directly follows what is stored now.
    fn enter_generation(&mut self, chunk: &OutputChunk, next: Generation) -> bool {
        let known = self.generation(&chunk.job, &chunk.item);
        let pending = self.jobs.get_mut(&chunk.job).map(|j| &mut j.pending[..]);
        let mut pending = pending.unwrap_or_default().iter_mut();
        let Some(found) = pending.find(|o| o.item.id == chunk.item) else { return false };
        let stored = &mut found.stored;
        let begins = next.number > known.number && chunk.after == 0;
        let continues = next.number == known.number
            && chunk.after == stored.events
            && (stored.events == 0 || known.build.is_none() || known.build == next.build);
        if begins {
            let dropped = std::mem::take(stored);
            self.stored_bytes -= dropped.output.len();
        }
        if begins || continues {
            self.generations.insert((chunk.job.clone(), chunk.item.clone()), next);
        }
        begins || continues
    }

    fn complete(&mut self, chunk: &OutputChunk) -> Reply {
        if !self.jobs.contains(&chunk.job) {
            return Reply::Unknown;
        }
        if !self.is_pending(chunk) {
            return Reply::Done;
        }
        let Some(output) = self.store(chunk) else { return Reply::Stale };
        self.record_result(&chunk.job, &chunk.item, Outcome::Completed, output)
    }

    /// Ends an item and appends its result. Does nothing if the item has already ended.
    fn record_result(&mut self, job: &str, item: &str, outcome: Outcome, output: Bytes) -> Reply {
        let id: Arc<str> = job.into();
        let Some(job) = self.jobs.get_mut(job) else { return Reply::Unknown };
        let Some(at) = job.pending.iter().position(|o| &*o.item.id == item) else {
            return Reply::Done;
        };
        let ended = job.pending.remove(at);
        self.stored_bytes -= ended.item.body.len() + ended.stored.output.len();
        self.stored_bytes += output.len();
        job.results.push(ItemResult { id: ended.item.id.clone(), outcome, output });
        self.generations.remove(&(id, ended.item.id.clone()));
        Reply::Done
    }

    fn discard_output(&mut self, job: &Arc<str>, item: &Arc<str>) -> Reply {
        let number = self.generation(job, item).number + 1;
        let Some(entry) = self.jobs.get_mut(job) else { return Reply::Unknown };
        if let Some(found) = entry.pending.iter_mut().find(|o| o.item.id == *item) {
            let dropped = std::mem::take(&mut found.stored);
            self.stored_bytes -= dropped.output.len();
            let next = Generation { number, build: None };
            self.generations.insert((job.clone(), item.clone()), next);
        }
        Reply::Done
    }

    fn record_failure(&mut self, job: &str, item: &str, failures: u32) -> Reply {
        let Some(entry) = self.jobs.get_mut(job) else { return Reply::Unknown };
        let limit = entry.rules.max_failures.max(1);
        let Some(found) = entry.pending.iter_mut().find(|o| &*o.item.id == item) else {
            return Reply::Done;
        };
        if failures != found.failures + 1 {
            return Reply::Done;
        }
        found.failures = failures;
        if found.failures >= limit {
            return self.record_result(job, item, Outcome::Abandoned, Bytes::new());
        }
        Reply::Done
    }

    /// Answers a query.
    pub fn answer(&self, query: &Query) -> Answer {
        match query {
            Query::Results { job, after } => match self.jobs.get(job) {
                Some(job) => Answer::Page(results_page(job, *after)),
                None => Answer::Unknown,
            },
            Query::Body { job, item } => {
                let pending = self.jobs.get(job).map(|j| &j.pending[..]).unwrap_or_default();
                match pending.iter().find(|o| o.item.id == *item) {
                    Some(found) => Answer::Body(found.item.body.clone()),
                    None => Answer::Unknown,
                }
            }
        }
    }
}

/// Reads a snapshot of an earlier build.
fn decode_former(data: &[u8]) -> Result<Ledger, postcard::Error> {
    match postcard::from_bytes(data) {
        Ok(LedgerWithoutVersions { jobs, retiring, generations }) => {
            Ok(Ledger { jobs, retiring, generations, ..Ledger::default() })
        }
        Err(_) => {
            let LedgerWithoutGenerations { jobs, retiring } = postcard::from_bytes(data)?;
            Ok(Ledger { jobs, retiring, ..Ledger::default() })
        }
    }
}

fn results_page(job: &Job, after: u64) -> Page {
    let from = usize::try_from(after).unwrap_or(usize::MAX).min(job.results.len());
    let mut bytes = 0;
    let fits = |result: &&ItemResult| {
        let first = bytes == 0;
        bytes += result.output.len() + result.id.len() + 1;
        first || bytes <= MAX_PAGE_BYTES
    };
    let results: Vec<ItemResult> = job.results[from..].iter().take_while(fits).cloned().collect();
    Page { total: job.total, next: (from + results.len()) as u64, results }
}

impl replica::StateMachine for Ledger {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes(command) {
            Ok(command) => self.execute(index, command),
            Err(_) => Reply::Invalid,
        };
        encode(&reply)
    }

    fn snapshot(&self) -> Vec<u8> {
        // Growing the vector step by step would need twice its memory.
        let encoded = Vec::with_capacity(self.stored_bytes + self.stored_bytes / 8);
        postcard::to_extend(self, encoded).expect("postcard supports the ledger")
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        *self = match postcard::from_bytes(data) {
            Ok(ledger) => ledger,
            // A snapshot of an earlier build ends before the fields that it does not know.
            Err(postcard::Error::DeserializeUnexpectedEnd) => decode_former(data)
                .map_err(|e| replica::RestoreError { cause: e.to_string().into() })?,
            Err(e) => return Err(replica::RestoreError { cause: e.to_string().into() }),
        };
        self.stored_bytes = self.jobs.values().map(Job::stored_bytes).sum();
        Ok(())
    }
}

/// Encodes a command, reply, query, answer or snapshot of a state machine.
///
/// # Panics
/// If postcard does not support the type, which is a programming error.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("postcard supports all types of the state machines")
}

//! Jobs of arbitrary requests as a replicated state machine, free of I/O.
//!
//! Items get their position in the results when they end, in the order of the log, so every
//! replica lists the same. Whatever repeats a command (a caller that resubmits, a leader that runs
//! an item again) changes nothing and gets the same reply.

use crate::replica;
use crate::sorted;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Most bytes of outputs on one page, which bounds the answer to a read. The first result of a
/// page is returned whatever its size.
const MAX_PAGE_BYTES: usize = 900 << 10;

/// Request of one item.
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
    /// Prompt and output tokens, for placement.
    pub tokens: u64,
}

/// Rules of a job, taken from its route when it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Host of the route, sent with every item.
    pub host: Arc<str>,
    /// Prefix of the route.
    pub prefix: Arc<str>,
    /// Failed runs after which an item is given up.
    pub max_failures: u32,
    /// Milliseconds from submission until every result is due.
    pub due_ms: u64,
    /// Milliseconds from submission after which items are given up; never if absent.
    pub max_wait_ms: Option<u64>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its whole output is stored.
    Completed,
    /// It was given up.
    Abandoned,
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// An endpoint said that it can never be run.
    Impossible,
    /// Its time is over.
    Patience,
    /// The route of its job is no longer configured.
    NoRoute,
}

/// Listed item.
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
    /// Items of the job.
    pub total: u64,
    /// Position after the last result.
    pub next: u64,
    /// Results.
    pub results: Vec<ItemResult>,
}

/// Part of an item's output that is stored, so that a new leader goes on from there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutput {
    /// Events that it holds.
    pub events: u64,
    /// Number of the last of them, if they are numbered.
    pub last_event: Option<u64>,
    /// Their data, separated by line feeds.
    pub output: Bytes,
}

impl StoredOutput {
    /// Adds the data of further events.
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

/// Further output of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputChunk {
    /// Id of the job.
    pub job: Arc<str>,
    /// Id of the item.
    pub item: Arc<str>,
    /// Events that must be stored already.
    pub after: u64,
    /// Events that are stored afterwards.
    pub events: u64,
    /// Number of the last of them, if they are numbered.
    pub last_event: Option<u64>,
    /// Data of the events after `after`, separated by line feeds.
    pub data: Bytes,
}

/// Item that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingItem {
    /// The request.
    pub item: Arc<Item>,
    /// Runs that an endpoint has answered with a failure.
    pub failures: u32,
    /// Output that is stored.
    pub stored: StoredOutput,
}

/// Accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Rules of the job.
    pub rules: Rules,
    /// Number of items.
    pub total: u64,
    /// Log index of its acceptance, which orders jobs.
    pub accept_index: u64,
    /// Whether its client ended it.
    pub ended: bool,
    /// Items that have not ended, in order of submission.
    pub pending: Vec<PendingItem>,
    /// Results in order of completion.
    pub results: Vec<ItemResult>,
}

/// Command of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Command {
    /// Accept a job; accepted again if the id is known.
    #[display("submit")]
    Submit {
        /// Id chosen by the caller.
        job: Arc<str>,
        /// Rules of the job.
        rules: Rules,
        /// Its items.
        items: Vec<Arc<Item>>,
    },
    /// Store output of items that still run. Whatever does not go on from what is stored is
    /// ignored.
    #[display("advance")]
    StoreOutput(Vec<OutputChunk>),
    /// Store the last output of an item, which completes it.
    #[display("complete")]
    Complete(OutputChunk),
    /// Count a run that an endpoint answered with a failure.
    #[display("fail")]
    RecordFailure {
        /// Id of the job.
        job: Arc<str>,
        /// Id of the item.
        item: Arc<str>,
        /// Number of failures with this one, so that a repeated command counts once.
        failures: u32,
    },
    /// Give up an item.
    #[display("abandon")]
    Abandon {
        /// Id of the job.
        job: Arc<str>,
        /// Id of the item.
        item: Arc<str>,
        /// Reason.
        cause: Cause,
    },
    /// End a job: its remaining items do not run.
    #[display("end")]
    EndJob {
        /// Id of the job.
        job: Arc<str>,
    },
    /// Move the replica of a host elsewhere, so that the host can be removed.
    #[display("empty")]
    RetireHost {
        /// Link address of the host.
        host: Arc<str>,
    },
    /// Forget jobs whose retention is over.
    #[display("forget")]
    RemoveJobs {
        /// Ids of the jobs.
        jobs: Vec<Arc<str>>,
    },
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Done, or done before.
    Done,
    /// The job is unknown.
    Unknown,
    /// The output does not go on from what is stored; nothing was changed.
    Stale,
    /// The command cannot be decoded.
    Invalid,
}

/// Query of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Results of a job from a position on.
    Results {
        /// Id of the job.
        job: Arc<str>,
        /// First position.
        after: u64,
    },
    /// Body of an item that has not ended.
    Body {
        /// Id of the job.
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

/// All jobs of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    jobs: sorted::SortedMap<Arc<str>, Job>,
    /// Link addresses of the hosts that are to be emptied, sorted.
    retiring: Vec<Arc<str>>,
}

impl Ledger {
    /// Jobs by id.
    pub fn jobs(&self) -> impl Iterator<Item = (&Arc<str>, &Job)> {
        self.jobs.iter()
    }

    /// Job with the given id.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Bytes of the bodies and outputs that are kept.
    pub fn stored_bytes(&self) -> usize {
        let pending = |job: &Job| -> usize {
            job.pending.iter().map(|o| o.item.body.len() + o.stored.output.len()).sum()
        };
        let finished = |job: &Job| -> usize { job.results.iter().map(|r| r.output.len()).sum() };
        self.jobs.values().map(|job| pending(job) + finished(job)).sum()
    }

    /// Link addresses of the hosts that are to be emptied.
    pub fn retiring_hosts(&self) -> &[Arc<str>] {
        &self.retiring
    }

    /// Carries out a command.
    pub fn execute(&mut self, index: u64, command: Command) -> Reply {
        match command {
            Command::Submit { job, rules, items } => self.submit(index, job, rules, items),
            Command::StoreOutput(chunks) => {
                for chunk in &chunks {
                    if let Some(stored) = self.pending_output(chunk) {
                        stored.extend(chunk.events, chunk.last_event, &chunk.data);
                    }
                }
                Reply::Done
            }
            Command::Complete(chunk) => self.complete(&chunk),
            Command::RecordFailure { job, item, failures } => {
                self.record_failure(&job, &item, failures)
            }
            Command::Abandon { job, item, cause: _ } => {
                self.record_result(&job, &item, Outcome::Abandoned, Bytes::new())
            }
            Command::EndJob { job } => match self.jobs.get_mut(&job) {
                Some(job) => {
                    job.ended = true;
                    job.pending.clear();
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
                for job in &jobs {
                    self.jobs.remove(job);
                }
                Reply::Done
            }
        }
    }

    fn submit(&mut self, index: u64, job: Arc<str>, rules: Rules, items: Vec<Arc<Item>>) -> Reply {
        let accept = || {
            let total = items.len() as u64;
            let pending = items
                .into_iter()
                .map(|item| PendingItem { item, failures: 0, stored: StoredOutput::default() })
                .collect();
            Job { rules, total, accept_index: index, ended: false, pending, results: Vec::new() }
        };
        self.jobs.entry_or(job, accept);
        Reply::Done
    }

    /// Stored output of an item, if it holds what the advance goes on from.
    fn pending_output(&mut self, chunk: &OutputChunk) -> Option<&mut StoredOutput> {
        let pending = &mut self.jobs.get_mut(&chunk.job)?.pending;
        let found = pending.iter_mut().find(|o| o.item.id == chunk.item)?;
        (found.stored.events == chunk.after).then_some(&mut found.stored)
    }

    fn complete(&mut self, chunk: &OutputChunk) -> Reply {
        let Some(job) = self.jobs.get(&chunk.job) else { return Reply::Unknown };
        if !job.pending.iter().any(|o| o.item.id == chunk.item) {
            return Reply::Done;
        }
        let Some(stored) = self.pending_output(chunk) else { return Reply::Stale };
        stored.extend(chunk.events, chunk.last_event, &chunk.data);
        let output = stored.output.clone();
        self.record_result(&chunk.job, &chunk.item, Outcome::Completed, output)
    }

    /// Lists an item that has not ended; later outcomes of the same item change nothing.
    fn record_result(&mut self, job: &str, item: &str, outcome: Outcome, output: Bytes) -> Reply {
        let Some(job) = self.jobs.get_mut(job) else { return Reply::Unknown };
        let Some(at) = job.pending.iter().position(|o| &*o.item.id == item) else {
            return Reply::Done;
        };
        let id = job.pending.remove(at).item.id.clone();
        job.results.push(ItemResult { id, outcome, output });
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
        encode(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        *self = postcard::from_bytes(data)
            .map_err(|e| replica::RestoreError { cause: e.to_string().into() })?;
        Ok(())
    }
}

/// Encodes a value of a state machine.
///
/// # Panics
/// For types that postcard does not support at all, which is a mistake in the program.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("postcard supports the types of state machines")
}

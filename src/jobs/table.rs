//! Replicated state of a job group.
//!
//! Every replica applies the same commands in the same order and holds the same state; nothing
//! here may depend on the local clock, on randomness or on the settings of a host.

pub use crate::jobs::change::Change;
pub use crate::jobs::change::Grants;
pub use crate::jobs::change::ItemDelay;
pub use crate::jobs::change::OpenJob;

use crate::jobs::id;
use crate::jobs::items;
use crate::jobs::message;
use crate::jobs::state;
use crate::replica;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;

/// Largest number of items of a job.
pub const MAX_ITEMS: u32 = 1_000_000;

/// Largest number of jobs that one `Expire` removes, so that it does not delay other commands.
const MAX_EXPIRED_JOBS: u32 = 256;

/// Largest number of claims that one `Expire` removes. Claims are small; at one `Expire` a minute
/// this keeps up with 68 new claims a second.
const MAX_EXPIRED_CLAIMS: u32 = 4_096;

/// Total size of the bodies in bytes from which no further grant is added to an answer. The last
/// body may exceed this limit; the answer then still fits into a frame ([`wire::MAX_FRAME`]).
const GRANT_BYTES_LIMIT: usize = 4 << 20;

/// Largest number of records on one page of an answer.
const MAX_PAGE_RECORDS: u32 = 10_000;

/// Size in bytes from which no further result is added to a page. The last body may exceed this
/// limit; the page then still fits into a frame ([`wire::MAX_FRAME`]).
const PAGE_BYTES_LIMIT: usize = 4 << 20;

/// State machine of a job group.
pub struct Table {
    state: state::State,
    bodies: Box<dyn items::BodyStore>,
    /// Changes since the last [`Table::take_changes`]; `None` while they are not recorded.
    changes: Option<Vec<Change>>,
}

impl Default for Table {
    fn default() -> Self {
        Table::new(Box::new(items::MemoryStore::default()))
    }
}

impl Table {
    /// Returns an empty table that stores the bodies of its items in `bodies`.
    pub fn new(bodies: Box<dyn items::BodyStore>) -> Table {
        Table { state: state::State::default(), bodies, changes: None }
    }

    /// Highest applied group time in milliseconds.
    pub fn clock(&self) -> u64 {
        self.state.clock
    }

    /// Starts to record changes and returns the accepted jobs. A new leader calls this to learn
    /// which items it can grant.
    pub fn start_recording(&mut self) -> Vec<OpenJob> {
        self.changes = Some(Vec::new());
        let accepted =
            self.state.jobs.iter().filter(|(_, job)| job.state == message::JobState::Accepted);
        accepted.map(|(id, job)| self.state.describe_job(*id, job)).collect()
    }

    /// Stops recording changes.
    pub fn stop_recording(&mut self) {
        self.changes = None;
    }

    /// Takes the changes recorded since the last call, in log order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Builds the grant for a lease. Returns `None` if the item has a result, or if its job does not
    /// exist or is not in the accepted state.
    pub fn build_grant(&self, lease: &wire::Lease) -> Option<wire::Grant> {
        let (id, job) = self.state.find(&lease.job).ok()?;
        let runs =
            job.state == message::JobState::Accepted && job.items.outcome(lease.item).is_none();
        let body = if runs { self.bodies.request(id, lease.item) } else { None };
        Some(wire::Grant {
            lease: lease.clone(),
            workspace: job.workspace.clone(),
            model: job.model.clone(),
            body: body?,
        })
    }

    /// Builds as many grants as fit into one answer. Leases for which [`Table::build_grant`]
    /// returns `None` are left out.
    pub fn build_grants(&self, leases: &[wire::Lease]) -> Grants {
        let mut grants = Grants::default();
        let mut size = 0;
        for lease in leases {
            if size >= GRANT_BYTES_LIMIT {
                grants.overflow.push(lease.clone());
                continue;
            }
            let Some(grant) = self.build_grant(lease) else { continue };
            size += grant.body.len();
            grants.items.push(grant);
        }
        grants
    }

    fn execute(&mut self, index: u64, stamped: message::StampedCommand) -> message::Reply {
        self.state.clock = self.state.clock.max(stamped.clock);
        let result = match stamped.command {
            message::Command::Open { .. } => self.open(index, stamped.command),
            message::Command::Chunk { job, seq, items } => self.add_chunk(&job, seq, &items),
            message::Command::Seal { job } => self.seal(&job),
            message::Command::Cancel { job, id } => self.cancel(&job, id),
            message::Command::Complete { job, item, attempt, outcome } => {
                self.complete(&job, item, attempt, outcome)
            }
            message::Command::FailAttempt { job, item, attempt, cause } => {
                self.fail_attempt(&job, item, attempt, cause)
            }
            message::Command::Claim { workspace, key, digest, attempt, agent, connection } => {
                let new =
                    message::ClaimStatus { digest, attempt, agent, connection, outcome: None };
                Ok(self.state.claims.claim(id::Id::of(&workspace, &key), new, self.state.clock))
            }
            message::Command::Settle { workspace, key, attempt, outcome } => {
                let id = id::Id::of(&workspace, &key);
                Ok(self.state.claims.settle(id, attempt, outcome, self.state.clock))
            }
            message::Command::Expire { retention } => Ok(self.expire(retention)),
        };
        result.unwrap_or_else(message::Reply::Refused)
    }

    fn open(
        &mut self,
        index: u64,
        command: message::Command,
    ) -> Result<message::Reply, message::Refusal> {
        let message::Command::Open { workspace, key, digest, model, due, total } = command else {
            return Err(message::Refusal::Undecodable);
        };
        if total == 0 || total > MAX_ITEMS {
            let text = format!("a job has 1 to {MAX_ITEMS} items, not {total}");
            return Err(message::Refusal::Invalid(text.into()));
        }
        let id = id::Id::of(&workspace, &key);
        if let Some(job) = self.state.jobs.get(&id) {
            if job.digest != digest || job.total != total || job.model != model {
                return Err(message::Refusal::Conflict { digest: job.digest });
            }
            return Ok(message::Reply::Opened { job: id.name(), state: job.state, next: job.next });
        }
        if let Some(refusal) = self.state.expiry.gone_refusal(id) {
            return Err(refusal);
        }
        let clock = self.state.clock;
        let job = state::Job {
            workspace,
            key,
            model,
            digest,
            number: index,
            opened: clock,
            due: clock.saturating_add(due),
            changed: clock,
            total,
            next: 0,
            dropped: 0,
            state: message::JobState::Uploading,
            cancel: None,
            items: items::Items::default(),
        };
        self.state.insert(id, job);
        Ok(message::Reply::Opened { job: id.name(), state: message::JobState::Uploading, next: 0 })
    }

    fn add_chunk(
        &mut self,
        job: &str,
        seq: u32,
        items: &[message::NewItem],
    ) -> Result<message::Reply, message::Refusal> {
        let (id, job) = self.state.find_mut(job)?;
        if let Some(cancel) = &job.cancel {
            return Err(message::Refusal::Cancelled { id: cancel.clone() });
        }
        if job.state != message::JobState::Uploading || seq != job.next {
            return Ok(message::Reply::Next { next: job.next });
        }
        let have = job.items.len() as usize + items.len();
        if items.is_empty() || have > job.total as usize {
            let text = format!("chunk {seq} has {} items; job total {}", items.len(), job.total);
            return Err(message::Refusal::Invalid(text.into()));
        }
        job.items.extend(items.len());
        job.next += 1;
        let next = job.next;
        self.bodies.extend(id, items);
        Ok(message::Reply::Next { next })
    }

    fn seal(&mut self, name: &str) -> Result<message::Reply, message::Refusal> {
        let (id, job) = self.state.find(name)?;
        if let Some(cancel) = &job.cancel {
            return Err(message::Refusal::Cancelled { id: cancel.clone() });
        }
        let total = job.total;
        if job.state != message::JobState::Uploading {
            return Ok(message::Reply::Sealed { total });
        }
        let have = job.items.len();
        if have < total {
            return Err(message::Refusal::Incomplete { have, total, next: job.next });
        }
        if let Some(duplicate) = self.find_duplicate(id, total) {
            return Err(duplicate);
        }
        let clock = self.state.clock;
        let (_, job) = self.state.find_mut(name)?;
        job.state = message::JobState::Accepted;
        job.changed = clock;
        job.items.shrink_to_fit();
        if self.changes.is_some() {
            let (_, job) = self.state.find(name)?;
            let open = self.state.describe_job(id, job);
            self.record(Change::JobAccepted(open));
        }
        Ok(message::Reply::Sealed { total })
    }

    /// Refusal that names the first item whose custom id an earlier item has; `None` if the custom
    /// ids are unique.
    fn find_duplicate(&self, id: id::Id, total: u32) -> Option<message::Refusal> {
        let custom_id = |item| self.bodies.custom_id(id, item).unwrap_or_default();
        let mut order: Vec<(Arc<str>, u32)> =
            (0..total).map(|item| (custom_id(item), item)).collect();
        order.sort_unstable();
        let pairs = order.windows(2).filter(|pair| pair[0].0 == pair[1].0);
        let pair = pairs.min_by_key(|pair| pair[1].1)?;
        let custom_id = pair[0].0.clone();
        Some(message::Refusal::Duplicate { custom_id, first: pair[0].1 + 1, second: pair[1].1 + 1 })
    }

    fn cancel(&mut self, name: &str, cancel: Arc<str>) -> Result<message::Reply, message::Refusal> {
        let (id, job) = self.state.find(name)?;
        if let Some(first) = &job.cancel {
            return Ok(message::Reply::Cancelled { id: first.clone() });
        }
        if job.state == message::JobState::Finished {
            return Err(message::Refusal::Finished);
        }
        let (_, job) = self.state.find_mut(name)?;
        job.cancel = Some(cancel.clone());
        self.end_job(id, message::JobState::Cancelled);
        self.record(Change::JobCancelled { job: name.into() });
        Ok(message::Reply::Cancelled { id: cancel })
    }

    /// Returns the job if `item` can still take a result or a failed attempt. Otherwise counts the
    /// report as dropped and returns the reply to it.
    fn accept_or_drop(
        &mut self,
        job: &str,
        item: u32,
    ) -> Result<Result<id::Id, message::Reply>, message::Refusal> {
        let (id, job) = self.state.find_mut(job)?;
        let reason = match job.state {
            message::JobState::Uploading => return Err(message::Refusal::NotAccepted),
            _ if item >= job.items.len() => return Err(message::Refusal::NotFound),
            message::JobState::Cancelled => message::DropReason::Cancelled,
            message::JobState::Finished => message::DropReason::Ended,
            message::JobState::Accepted if job.items.outcome(item).is_some() => {
                message::DropReason::Ended
            }
            message::JobState::Accepted => return Ok(Ok(id)),
        };
        job.dropped = job.dropped.saturating_add(1);
        Ok(Err(message::Reply::Dropped { reason }))
    }

    fn complete(
        &mut self,
        job: &str,
        item: u32,
        attempt: u64,
        outcome: message::ItemOutcome,
    ) -> Result<message::Reply, message::Refusal> {
        let id = match self.accept_or_drop(job, item)? {
            Ok(id) => id,
            Err(reply) => return Ok(reply),
        };
        match outcome {
            message::ItemOutcome::Done(body) => {
                self.store_result(id, item, attempt, message::Outcome::Done, &body)
            }
            message::ItemOutcome::Failed(body) => {
                self.store_result(id, item, attempt, message::Outcome::Failed, &body)
            }
        }
        Ok(message::Reply::Completed)
    }

    fn fail_attempt(
        &mut self,
        name: &str,
        item: u32,
        attempt: u64,
        cause: message::FailureCause,
    ) -> Result<message::Reply, message::Refusal> {
        let id = match self.accept_or_drop(name, item)? {
            Ok(id) => id,
            Err(reply) => return Ok(reply),
        };
        let clock = self.state.clock;
        let (_, job) = self.state.find_mut(name)?;
        match job.items.record_failure(item, attempt, cause, clock) {
            items::RetryDecision::Retry(retry) => {
                let wait = retry.until.saturating_sub(clock);
                let delay = ItemDelay { item, wait, alone: retry.alone };
                // Recorded even if this grant was counted before: the leader may have adopted its
                // lease again since, and does not grant the item until it gets this change.
                self.record(Change::ItemDelayed { job: name.into(), attempt, delay });
                Ok(message::Reply::Counted {
                    attempts: retry.failed_attempts.len() as u32,
                    ended: false,
                })
            }
            items::RetryDecision::Exhausted(attempts) => {
                let body = exhausted_error(attempts, cause);
                self.store_result(id, item, attempt, message::Outcome::Failed, body.as_bytes());
                Ok(message::Reply::Counted { attempts, ended: true })
            }
        }
    }

    fn store_result(
        &mut self,
        id: id::Id,
        item: u32,
        attempt: u64,
        outcome: message::Outcome,
        body: &[u8],
    ) {
        self.bodies.put_result(id, item, body);
        let Some(job) = self.state.jobs.get_mut(&id) else { return };
        job.items.record_outcome(item, outcome);
        let finished = job.items.queued() == 0;
        if finished {
            self.end_job(id, message::JobState::Finished);
        }
        self.record(Change::ItemEnded { job: id.name(), item, attempt });
    }

    /// Moves a job to its final state.
    fn end_job(&mut self, id: id::Id, state: message::JobState) {
        let clock = self.state.clock;
        let Some(job) = self.state.jobs.get_mut(&id) else { return };
        job.state = state;
        job.changed = clock;
        job.items.clear_retries();
        self.state.expiry.record_change(clock, id);
        self.bodies.drop_requests(id);
    }

    fn expire(&mut self, retention: u64) -> message::Reply {
        let clock = self.state.clock;
        let due = self.state.expiry.take_due(retention, clock, MAX_EXPIRED_JOBS);
        let mut jobs = 0;
        for (changed, id) in due.entries {
            let job = self.state.jobs.get(&id);
            // An accepted job is kept until it ends, however long that takes.
            if job.is_some_and(|j| j.changed == changed && j.state != message::JobState::Accepted) {
                self.state.remove(id);
                self.state.expiry.mark_removed(clock, id);
                self.bodies.remove_job(id);
                jobs += 1;
            }
        }
        let (claims, more) = self.state.claims.expire(retention, clock, MAX_EXPIRED_CLAIMS);
        message::Reply::Expired { jobs, claims, more: more || due.more }
    }

    fn record(&mut self, change: Change) {
        if let Some(changes) = &mut self.changes {
            changes.push(change);
        }
    }

    /// Answers a query from the applied state.
    pub fn query(&self, query: &message::Query) -> message::Answer {
        let answer = match query {
            message::Query::Job { job } => {
                self.state.find(job).map(|(id, j)| message::Answer::Job(j.status(id)))
            }
            message::Query::Jobs { workspace, after, limit } => {
                self.list_jobs(workspace, after.as_deref(), *limit)
            }
            message::Query::Results { job, from, limit } => self.results(job, *from, *limit),
            message::Query::Claim { workspace, key } => {
                self.state.claims.status(id::Id::of(workspace, key)).map(message::Answer::Claim)
            }
        };
        answer.unwrap_or_else(message::Answer::Refused)
    }

    fn list_jobs(
        &self,
        workspace: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<message::Answer, message::Refusal> {
        let before = match after {
            Some(job) => self.state.find(job)?.1.number,
            None => u64::MAX,
        };
        let limit = limit.clamp(1, MAX_PAGE_RECORDS) as usize;
        let mut jobs = Vec::new();
        let mut more = false;
        let numbers = self.state.workspaces.get(workspace);
        let older = numbers.into_iter().flat_map(|map| map.iter().rev());
        for (_, id) in older.skip_while(|(number, _)| **number >= before) {
            if jobs.len() == limit {
                more = true;
                break;
            }
            jobs.extend(self.state.jobs.get(id).map(|job| job.status(*id)));
        }
        Ok(message::Answer::Jobs { jobs, more })
    }

    fn results(
        &self,
        job: &str,
        from: u32,
        limit: u32,
    ) -> Result<message::Answer, message::Refusal> {
        let (id, job) = self.state.find(job)?;
        let limit = limit.clamp(1, MAX_PAGE_RECORDS) as usize;
        let mut items = Vec::new();
        let mut size = 0;
        let mut next = None;
        for item in from..job.items.len() {
            let Some(outcome) = job.items.outcome(item) else { continue };
            if items.len() == limit || size >= PAGE_BYTES_LIMIT {
                next = Some(item);
                break;
            }
            let custom_id = self.bodies.custom_id(id, item).unwrap_or_default();
            let body = self.bodies.result(id, item).unwrap_or_default();
            size += body.len() + custom_id.len();
            items.push(message::ItemResult { item, custom_id, outcome, body });
        }
        Ok(message::Answer::Results { state: job.state, items, next })
    }
}

impl replica::StateMachine for Table {
    /// Applies the log entry `index`, an encoded [`message::StampedCommand`], and returns an
    /// encoded [`message::Reply`].
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes::<message::StampedCommand>(command) {
            Ok(stamped) => self.execute(index, stamped),
            Err(_) => message::Reply::Refused(message::Refusal::Undecodable),
        };
        postcard::to_stdvec(&reply).expect("postcard encodes every reply")
    }

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8> {
        let parts = (&self.state, Bytes::from(self.bodies.export()));
        postcard::to_stdvec(&parts).expect("postcard encodes the table")
    }

    /// Replaces the state with that of a snapshot. On an error the table stays unchanged.
    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        let error = |e: postcard::Error| replica::RestoreError { cause: e.to_string().into() };
        let (mut state, bodies): (state::State, Bytes) =
            postcard::from_bytes(data).map_err(error)?;
        state.share_names();
        self.bodies.import(&bodies).map_err(error)?;
        self.state = state;
        self.changes = None;
        Ok(())
    }
}

/// Error body of an item that has used up its attempts.
fn exhausted_error(attempts: u32, cause: message::FailureCause) -> String {
    let last = match cause {
        message::FailureCause::WorkerLost => "the worker was lost while the item ran",
        message::FailureCause::Transient => "the endpoint failed",
    };
    let message = format!("gave up after {attempts} failed attempts; the last one: {last}");
    serde_json::json!({"error": {"code": "attempts_exhausted", "message": message}}).to_string()
}

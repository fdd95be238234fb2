//! Runs the items of batch jobs on the leader of the job group.
//!
//! An item that is stopped or loses its endpoint continues after the last event that arrived. About
//! once a second the output received so far is stored in the ledger, so that a new leader continues
//! from there. If leaders were lost every few seconds and items started over each time, they would
//! never finish.

pub mod config_wait;
mod hosts;
mod inputs;
mod output;
mod tracked;

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::control_state;
use crate::fleet::delegation;
use crate::fleet::directory;
use crate::fleet::dispatch::output::SentChunk;
use crate::fleet::dispatch::tracked::ItemState;
use crate::fleet::dispatch::tracked::RunHandle;
use crate::fleet::dispatch::tracked::Stops;
use crate::fleet::dispatch::tracked::TrackedItem;
use crate::fleet::event_stream;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::ledger;
use crate::fleet::limits;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::plan;
use crate::fleet::progress;
use crate::fleet::progress::ItemKey;
use crate::fleet::progress::Progress;
use crate::fleet::quarantine;
use crate::fleet::runner;
use crate::fleet::runner::RunEnd;
use crate::fleet::store;
use crate::fleet::upstream;
use crate::sorted;
use crate::supervisor;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

/// Interval between plans. An online request that waits for a slot gets it within this time plus
/// the delay of its load report.
const PLAN_INTERVAL: Duration = Duration::from_millis(25);
/// Pause before an item runs again after it was interrupted.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Pause before an item runs again after the endpoint answered that it failed.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest wait for the confirmation that the ledger is complete, which is then asked for again.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which an item has to start that was granted the trial of a quarantined part.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of background work for the dispatcher.
enum Message {
    /// The outcome of an item is committed.
    Committed(ItemKey),
    /// A failed run of an item is counted in the ledger.
    FailureCounted(ItemKey),
    /// The ledger holds everything that was committed before this host became leader.
    LedgerComplete,
    /// The commit of chunks of output has succeeded (`true`) or failed.
    Stored(Vec<SentChunk>, bool),
    /// An item may run as the trial of a quarantined cause.
    TrialGranted(ItemKey, quarantine::Cause),
    /// The trial of a quarantined part was not granted.
    TrialRefused,
    /// The control group has confirmed its newest configuration; `None` if it did not answer.
    ConfigConfirmed(Option<config_wait::ConfirmedVersion>),
}

/// Permission of an item to run as the trial of a quarantined part.
struct Grant {
    since: time::Instant,
    trial: quarantine::Trial,
}

/// Message with the epoch in which its work was started.
struct EpochMessage {
    epoch: u64,
    message: Message,
}

/// Item that waits to be started.
struct QueuedItem {
    key: ItemKey,
    item: Arc<ledger::Item>,
    /// Host of its route.
    host: Arc<str>,
    /// Progress stored in the ledger.
    progress: Progress,
}

/// Starts and stops items while this host leads the job group.
struct Dispatcher {
    node: node::Node,
    shared: store::SharedLedger,
    tracked: sorted::SortedMap<ItemKey, TrackedItem>,
    /// Time at which this leader first saw each job.
    first_seen: sorted::SortedMap<Arc<str>, time::Instant>,
    messages: mpsc::Sender<EpochMessage>,
    reports: mpsc::Sender<runner::Report>,
    run_time_estimate: plan::RunTimeEstimate,
    /// Runs on other hosts.
    delegator: delegation::Delegator,
    stops: Stops,
    /// Whether items wait or run.
    has_items: bool,
    /// Number of the last change of leadership. Messages from earlier epochs are ignored, since
    /// they do not match the progress that was read from the ledger afterwards.
    epoch: u64,
    /// Task that waits until the ledger is known to be complete.
    confirmation: Option<task::JoinHandle<()>>,
    /// Whether the ledger is known to be complete, so that items may be started.
    ledger_complete: bool,
    /// Items whose output is being stored, sorted.
    storing: Vec<ItemKey>,
    /// Time at which output was last stored.
    last_store: time::Instant,
    /// Time that the last commit of output took.
    store_time: Duration,
    /// Time before which no plan is made.
    next_plan: time::Instant,
    /// Items that may run as the trial of a quarantined part.
    trials: sorted::SortedMap<ItemKey, Grant>,
    /// Items that wait because a part of their prompts is quarantined.
    held: sorted::SortedMap<ItemKey, quarantine::Hold>,
    /// Jobs that were accepted under a newer configuration than this host holds.
    config_wait: config_wait::ConfigWait,
    /// Tasks that commit outcomes of items.
    commits: task::JoinSet<()>,
}

/// Runs items whenever this host leads the job group.
///
/// # Errors
/// Never fails; supervised tasks have this signature.
pub async fn run(
    node: node::Node,
    shared: store::SharedLedger,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    /// Most queued messages or reports; the tasks that send more wait.
    const MAX_QUEUED_MESSAGES: usize = 1_024;
    let mut is_leader = shared.is_leader.subscribe();
    // If this task was started again, the leadership does not change.
    is_leader.mark_changed();
    let mut ticks = node.timer.subscribe(PLAN_INTERVAL);
    let mut run_reports = node.run_mailboxes.reports.open();
    let (messages, mut inbox) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (reports, mut report_inbox) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let mut dispatcher = Dispatcher {
        node,
        shared,
        tracked: sorted::SortedMap::new(),
        first_seen: sorted::SortedMap::new(),
        messages,
        reports,
        run_time_estimate: plan::RunTimeEstimate::default(),
        delegator: delegation::Delegator::default(),
        stops: Stops::default(),
        has_items: false,
        epoch: 0,
        confirmation: None,
        ledger_complete: false,
        storing: Vec::new(),
        last_store: time::Instant::now(),
        store_time: Duration::ZERO,
        next_plan: time::Instant::now(),
        trials: sorted::SortedMap::new(),
        held: sorted::SortedMap::new(),
        config_wait: config_wait::ConfigWait::default(),
        commits: task::JoinSet::new(),
    };
    loop {
        tokio::select! {
            () = stop.wait() => return Ok(()),
            changed = is_leader.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let is_leader = *is_leader.borrow_and_update();
                dispatcher.reset(is_leader);
            }
            _ = ticks.next() => {
                if dispatcher.ledger_complete {
                    dispatcher.plan_if_due();
                    dispatcher.send_orders();
                    dispatcher.store_output();
                }
            }
            Some(message) = inbox.recv() => dispatcher.handle_message(message),
            Some(report) = report_inbox.recv() => dispatcher.handle_report(report),
            Some((from, reports)) = run_reports.recv() => {
                dispatcher.handle_run_reports(&from, reports);
            }
        }
    }
}

impl Dispatcher {
    /// Discards all state and stops all runs after a change of leadership. A new leader starts
    /// items once it has applied everything that its predecessors committed.
    fn reset(&mut self, is_leader: bool) {
        self.epoch = self.shared.numbers.next_epoch();
        self.ledger_complete = false;
        if let Some(confirmation) = self.confirmation.take() {
            confirmation.abort();
        }
        if is_leader {
            let node = self.node.clone();
            self.confirmation = Some(self.spawn(async move {
                while !node.groups.confirm_local(CONFIRM_TIMEOUT).await {
                    time::sleep(RETRY_DELAY).await;
                }
                Message::LedgerComplete
            }));
        }
        self.commits.abort_all();
        for (host, orders) in self.delegator.end_all(self.node.now()) {
            self.node.peers.cast(&host, frame::Cast::RunOrders(orders));
        }
        let term =
            delegation::Term { start_time: self.node.view.own().start_time, epoch: self.epoch };
        self.delegator = delegation::Delegator::new(term);
        self.stops = Stops::default();
        self.tracked.clear();
        self.first_seen.clear();
        self.storing.clear();
        self.store_time = Duration::ZERO;
        self.trials.clear();
        self.held.clear();
        self.config_wait = config_wait::ConfigWait::default();
    }

    /// Runs `work` on its own task, which sends the result to the dispatcher.
    fn spawn(&self, work: impl Future<Output = Message> + Send + 'static) -> task::JoinHandle<()> {
        let (epoch, messages) = (self.epoch, self.messages.clone());
        tokio::spawn(async move {
            let message = work.await;
            // The receiver is dropped only when the process ends.
            let _ = messages.send(EpochMessage { epoch, message }).await;
        })
    }

    /// Handles the report of a run. Ignores it if the item was stopped or started again since.
    fn handle_report(&mut self, report: runner::Report) {
        if let runner::RunUpdate::Leaving(endpoint, start_time) = &report.update {
            let notice = upstream::LeavingNotice::Leaving;
            return self.node.handle_leaving_notice(endpoint, *start_time, notice, &report.key.1);
        }
        if let runner::RunUpdate::Limit(statement) = &report.update {
            return self.node.record_limit_statement(statement);
        }
        let Some(tracked) = self.tracked.get_mut(&report.key) else { return };
        let is_event = matches!(report.update, runner::RunUpdate::Event(..));
        match &mut tracked.state {
            ItemState::Running { number, silent, .. } if *number == report.number => {
                let was_silent = *silent;
                *silent = report.update == runner::RunUpdate::Silent;
                if is_event && !was_silent {
                    tracked.progress.moved = false;
                }
            }
            ItemState::BackingOff { stopped, .. }
                if is_event && *stopped == Some(report.number) => {}
            _ => return,
        }
        match report.update {
            // An endpoint that resumes may repeat events that have arrived already.
            runner::RunUpdate::Event(data, id)
                if id.is_none() || id > tracked.progress.last_event =>
            {
                tracked.progress.add_event(&data, id);
                if tracked.progress.is_too_long() {
                    self.discard_output(report.key);
                }
            }
            runner::RunUpdate::Event(..)
            | runner::RunUpdate::Silent
            | runner::RunUpdate::Leaving(..)
            | runner::RunUpdate::Limit(_) => {}
            runner::RunUpdate::Ended(ended) => self.handle_run_end(report.key, ended),
        }
    }

    fn handle_message(&mut self, message: EpochMessage) {
        if message.epoch != self.epoch {
            return;
        }
        match message.message {
            // If the item is still pending, it continues from what the ledger holds.
            Message::Committed(key) => {
                self.tracked.remove(&key);
            }
            Message::FailureCounted(key) => self.back_off(&key, FAILURE_RETRY_DELAY),
            Message::LedgerComplete => self.ledger_complete = true,
            Message::TrialGranted(key, cause) => {
                let since = time::Instant::now();
                let empty = || Grant { since, trial: quarantine::Trial::default() };
                self.trials.entry_or(key, empty).trial.grant(cause);
            }
            Message::TrialRefused | Message::ConfigConfirmed(None) => {}
            Message::ConfigConfirmed(Some(confirmed)) => {
                self.config_wait.record_confirmed(confirmed);
            }
            Message::Stored(parts, done) => {
                self.storing.clear();
                self.store_time = self.last_store.elapsed();
                self.node.metrics.record_latency("store_output", self.store_time);
                for chunk in parts {
                    self.handle_chunk_stored(chunk, done);
                }
            }
        }
    }

    /// Ends the current run of an item, which may run again after `pause`.
    fn back_off(&mut self, key: &ItemKey, pause: Duration) {
        if let Some(tracked) = self.tracked.get_mut(key) {
            tracked.progress.run_time = tracked.run_time(time::Instant::now());
            let stopped = match &tracked.state {
                ItemState::Running { number, .. } => Some(*number),
                _ => None,
            };
            let until = time::Instant::now() + pause;
            tracked.state = ItemState::BackingOff { until, stopped };
        }
    }

    fn handle_run_end(&mut self, key: ItemKey, ended: RunEnd) {
        let Some(tracked) = self.tracked.get_mut(&key) else { return };
        let endpoint = match &tracked.state {
            ItemState::Running { endpoint, .. } => endpoint.clone(),
            _ => return,
        };
        if matches!(ended, RunEnd::NotRun { .. })
            && let Some(grant) = self.trials.get_mut(&key)
        {
            grant.trial.set_sent(false);
        }
        let (job, item) = key.clone();
        let log = &self.node.log;
        let events = tracked.progress.events;
        let open_end = match ended {
            RunEnd::Open => Some(tracked.progress.record_open_end(true)),
            RunEnd::Empty => Some(tracked.progress.record_open_end(false)),
            _ => None,
        };
        match ended {
            RunEnd::Open | RunEnd::Empty if open_end != Some(progress::OpenEnd::Confirmed) => {
                let cause = match ended {
                    RunEnd::Open => event_stream::END_NOT_STATED,
                    _ => event_stream::ENDED_WITHOUT_EVENT,
                };
                event!(log, events::ITEM_INTERRUPTED; "job" => ledger::job_id(&job),
                    "request" => &*item,
                    "endpoint" => &*endpoint, "cause" => cause, "events" => events,
                    "starts_over" => open_end == Some(progress::OpenEnd::StartsOver));
                // A sound endpoint may answer without a length.
                if ended == RunEnd::Empty {
                    self.node.record_endpoint_failure(&endpoint, &cause);
                }
                self.back_off(&key, RETRY_DELAY);
            }
            RunEnd::Done | RunEnd::Open | RunEnd::Empty => {
                self.node.metrics.count_item("completed");
                event!(log, events::ITEM_DONE; "job" => ledger::job_id(&job), "request" => &*item,
                    "endpoint" => &*endpoint);
                self.run_time_estimate.record(tracked.run_time(time::Instant::now()));
                tracked.state = ItemState::Finished;
                self.node.record_endpoint_success(&endpoint);
                if self.storing.binary_search(&key).is_err() {
                    self.complete(key);
                }
            }
            RunEnd::Interrupted { cause, at_fault } | RunEnd::NotRun { cause, at_fault } => {
                tracked.progress.moved = false;
                event!(log, events::ITEM_INTERRUPTED; "job" => ledger::job_id(&job),
                    "request" => &*item,
                    "endpoint" => &*endpoint, "cause" => &*cause,
                    "events" => tracked.progress.events);
                if at_fault {
                    self.node.record_endpoint_failure(&endpoint, &cause);
                }
                self.back_off(&key, RETRY_DELAY);
            }
            RunEnd::Failed => {
                event!(log, events::ITEM_INTERRUPTED; "job" => ledger::job_id(&job),
                    "request" => &*item,
                    "endpoint" => &*endpoint, "cause" => "endpoint answered that it failed");
                tracked.progress.run_time = tracked.run_time(time::Instant::now());
                tracked.state = ItemState::Committing;
                let failures = self.failure_count(&job, &item) + 1;
                let command = ledger::Command::RecordFailure { job, item, failures };
                self.commit(command, Message::FailureCounted(key));
            }
            RunEnd::Impossible => self.abandon(key, ledger::Cause::Impossible),
        }
    }

    /// Failed runs of an item so far.
    fn failure_count(&self, job: &str, item: &str) -> u32 {
        let ledger = peer::lock(&self.shared.ledger);
        let pending = ledger.job(job).and_then(|j| j.pending.iter().find(|o| &*o.item.id == item));
        pending.map_or(0, |pending| pending.failures)
    }

    /// Commits that an item is given up.
    fn abandon(&mut self, key: ItemKey, cause: ledger::Cause) {
        let (job, item) = key.clone();
        self.node.metrics.count_item("abandoned");
        event!(self.node.log, events::ITEM_ABANDONED; "job" => ledger::job_id(&job),
            "request" => &*item,
            "cause" => ?cause);
        let tracked = TrackedItem { state: ItemState::Committing, progress: Progress::default() };
        self.tracked.insert(key.clone(), tracked);
        self.commit(ledger::Command::Abandon { job, item, cause }, Message::Committed(key));
    }

    /// Commits the outcome of an item on its own task, which then sends `message`. Repeats the
    /// command until it is known to be committed, or this host has lost the leadership.
    fn commit(&mut self, command: ledger::Command, message: Message) {
        let (node, epoch, messages) = (self.node.clone(), self.epoch, self.messages.clone());
        while self.commits.try_join_next().is_some() {}
        self.commits.spawn(async move {
            while !commit(&node, &command).await {
                time::sleep(RETRY_DELAY).await;
            }
            // The receiver is dropped only when the process ends.
            let _ = messages.send(EpochMessage { epoch, message }).await;
        });
    }

    /// Makes a plan unless the last one took long and was made just now.
    fn plan_if_due(&mut self) {
        let begun = time::Instant::now();
        if begun < self.next_plan {
            return;
        }
        self.plan();
        let plan_time = begun.elapsed();
        self.node.metrics.record_latency("plan", plan_time);
        self.next_plan = begun + plan_time + plan::pause_after(plan_time);
    }

    /// Logs the jobs that wait for a newer configuration than the version `held`, and asks the control
    /// group whether there is one.
    fn await_configs(&mut self, jobs: Vec<(Arc<str>, u64)>, held: u64) {
        let new = self.config_wait.record_waiting(jobs.iter().map(|(id, _)| id.clone()).collect());
        for (job, accepted) in jobs.iter().filter(|(id, _)| new.binary_search(id).is_ok()) {
            event!(self.node.log, events::JOB_AWAITS_CONFIG; "request" => ledger::job_id(job),
                "accepted_under" => accepted, "version" => held);
        }
        let count = self.config_wait.count() as u64;
        self.node.metrics.record_level("jobs_awaiting_config", count);
        let asked = time::Instant::now();
        if self.config_wait.is_question_due(asked) {
            let node = self.node.clone();
            self.spawn(async move {
                let query = control_state::Query::Version;
                let answer = node.groups.query(groups::CONTROL, &query, CONFIRM_TIMEOUT).await;
                let confirmed =
                    answer.map(|version| config_wait::ConfirmedVersion { version, asked });
                Message::ConfigConfirmed(confirmed.ok())
            });
        }
    }

    /// Starts and stops items according to the load of the endpoints, and abandons those that
    /// waited too long or have no route.
    fn plan(&mut self) {
        let Some(active) = self.node.view.active_config() else { return };
        if !self.node.view.quarantine(|q| q.is_usable(self.node.now())) || !self.is_settled() {
            return;
        }
        let now = time::Instant::now();
        let ledger = self.shared.ledger.clone();
        let ledger = peer::lock(&ledger);
        let serving = self.serving_builds();
        let mut jobs: Vec<(&Arc<str>, &ledger::Job)> = ledger.jobs().collect();
        jobs.sort_by_key(|(_, job)| job.accept_index);
        self.first_seen.retain(|id, _| ledger.job(id).is_some());
        // Keep pending items and those whose outcome is being committed. Dropping an item stops its
        // run.
        self.tracked.retain(|(job, item), tracked| {
            let pending =
                ledger.job(job).is_some_and(|j| j.pending.iter().any(|o| o.item.id == *item));
            pending || matches!(tracked.state, ItemState::Committing | ItemState::Finished)
        });
        let mut queue: Vec<(&Arc<str>, &ledger::Job, &ledger::PendingItem)> = Vec::new();
        let (mut to_abandon, mut waiting) = (Vec::new(), Vec::new());
        let mut held = sorted::SortedMap::new();
        let (version, mut awaiting) = (active.document.version, Vec::new());
        self.trials.retain(|_, grant| now - grant.since < TRIAL_TIMEOUT);
        let (mut keys, mut running) = (Vec::new(), Vec::new());
        let owners = inputs::Owners::new(&active.config.workspaces);
        for (id, job) in &jobs {
            let since = *self.first_seen.entry_or((*id).clone(), || now);
            if job.pending.is_empty() {
                continue;
            }
            let accepted = ledger.accept_version(id);
            let decides = self.config_wait.may_decide(version, accepted, since);
            if !decides {
                awaiting.push(((*id).clone(), accepted));
            }
            let service = active
                .config
                .find_route(&job.rules.host, &job.rules.prefix)
                .filter(|_| decides)
                .and_then(|route| route.choose_service(rand::random()));
            let owner = owners.of_job(id);
            let max_wait = job.rules.max_wait_ms.map(Duration::from_millis);
            let late = max_wait.is_some_and(|limit| now - since > limit);
            let left = Duration::from_millis(job.rules.due_ms).saturating_sub(now - since);
            for pending in &job.pending {
                let key = ((*id).clone(), pending.item.id.clone());
                let tracked = self.tracked.get(&key);
                let remaining = self
                    .run_time_estimate
                    .remaining(tracked.map_or(Duration::ZERO, |k| k.run_time(now)));
                let urgency = plan::Urgency::new(job.accept_index, left, remaining);
                match tracked.map(|k| &k.state) {
                    Some(ItemState::Committing | ItemState::Finished | ItemState::Discarded) => {
                        continue;
                    }
                    Some(ItemState::Running { endpoint, number, silent, .. })
                        if !late && service.is_some() =>
                    {
                        let (index, endpoint) = (keys.len(), endpoint.clone());
                        running.push(plan::RunningItem {
                            index,
                            endpoint,
                            urgency,
                            owner: owner.clone(),
                            run_number: *number,
                        });
                        keys.push(key.clone());
                        // Another endpoint may take the item over meanwhile. If that one is as slow, it
                        // keeps the item: otherwise no event would ever arrive.
                        let moved = tracked.is_some_and(|t| t.progress.moved);
                        if !silent || moved {
                            continue;
                        }
                    }
                    Some(ItemState::BackingOff { until, .. }) if *until > now => continue,
                    _ => {}
                }
                match service {
                    _ if late => to_abandon.push((key, ledger::Cause::Patience)),
                    None if !decides => {}
                    None => to_abandon.push((key, ledger::Cause::NoRoute)),
                    Some(service) => {
                        if let Some(hold) = self.check_prompt(&key, &pending.item) {
                            held.insert(key, hold);
                            continue;
                        }
                        let (index, service) = (queue.len(), service.clone());
                        let build = match tracked {
                            Some(tracked) => tracked.pinned_build(now),
                            None => ledger.generation(id, &pending.item.id).build,
                        };
                        let build = build.filter(|b| {
                            serving.binary_search(&(service.clone(), b.clone())).is_ok()
                        });
                        let leaves = tracked.and_then(TrackedItem::endpoint).cloned();
                        let owner = owner.clone();
                        waiting.push(plan::WaitingItem {
                            index,
                            service,
                            build,
                            leaves,
                            urgency,
                            owner,
                        });
                        queue.push((id, job, pending));
                    }
                }
            }
        }
        // Items that a former leader has run wait for their build from now on.
        for item in waiting.iter().filter(|w| w.build.is_some()) {
            let (id, _, pending) = queue[item.index];
            let key = (id.clone(), pending.item.id.clone());
            if !self.tracked.contains(&key) {
                let generation = ledger.generation(&key.0, &key.1);
                let progress = Progress::new(&pending.stored, generation);
                let state = ItemState::BackingOff { until: now, stopped: None };
                self.tracked.insert(key, TrackedItem { state, progress });
            }
        }
        self.log_held_items(&held);
        self.held = held;
        let to_remove: Vec<Arc<str>> = self.expired_jobs(&jobs, now);
        self.node.metrics.record_level("items_waiting", waiting.len() as u64);
        self.node.metrics.record_level("items_running", running.len() as u64);
        let delegated = self.delegator.run_count() as u64;
        self.node.metrics.record_level("runs_delegated", delegated);
        self.has_items = !waiting.is_empty() || !running.is_empty();
        self.set_waiting_services(&waiting);
        let plan = plan::plan(self.endpoint_loads(), &waiting, &running);
        let to_start = plan.start.into_iter().map(|(index, endpoint)| {
            let (id, job, pending) = queue[index];
            let queued = QueuedItem {
                key: (id.clone(), pending.item.id.clone()),
                item: pending.item.clone(),
                host: job.rules.host.clone(),
                progress: Progress::new(&pending.stored, ledger.generation(id, &pending.item.id)),
            };
            (queued, endpoint)
        });
        let to_start: Vec<(QueuedItem, Arc<str>)> = to_start.collect();
        drop(queue);
        drop(jobs);
        drop(ledger);
        self.await_configs(awaiting, version);
        for (key, cause) in to_abandon {
            self.abandon(key, cause);
        }
        if !to_remove.is_empty() {
            let node = self.node.clone();
            let command = ledger::Command::RemoveJobs { jobs: to_remove };
            // If this fails, a later plan tries again.
            tokio::spawn(async move { commit(&node, &command).await });
        }
        for index in plan.stop {
            self.stop_item(&keys[index]);
        }
        for (queued, endpoint) in to_start {
            let found = self.node.view.directory(|d| d.endpoint(&endpoint).cloned());
            if let Some(endpoint) = found.filter(|e| self.take_allowance(e)) {
                self.leave_silent_run(&queued.key, &endpoint.id);
                self.start_item(&queued, &endpoint);
            }
        }
    }

    /// Returns why an item has to wait, judged by its prompt. If the trial of a quarantined part is
    /// due, asks for it; the item may run in a later plan then.
    fn check_prompt(&self, key: &ItemKey, item: &ledger::Item) -> Option<quarantine::Hold> {
        let (node, now) = (&self.node, self.node.now());
        if node.view.quarantine(|q| q.count()) == 0 {
            return None;
        }
        let prompt = node.item_causes(item);
        let parts = match self.trials.get(key) {
            Some(grant) => grant.trial.checked(&prompt.causes),
            None => prompt.causes.clone(),
        };
        match node.view.quarantine(|q| q.check(now, &parts)) {
            quarantine::Check::Free => None,
            quarantine::Check::Held(hold) => Some(hold),
            quarantine::Check::TrialDue { hold, number } => {
                let (node, key) = (node.clone(), key.clone());
                self.spawn(async move {
                    match node.ask_for_trial(hold, number, &key.1).await {
                        true => Message::TrialGranted(key, hold.cause),
                        false => Message::TrialRefused,
                    }
                });
                Some(hold)
            }
        }
    }

    /// Logs the items that wait because of their prompts and did not before.
    fn log_held_items(&self, held: &sorted::SortedMap<ItemKey, quarantine::Hold>) {
        self.node.metrics.record_level("items_held", held.len() as u64);
        for (key, hold) in held.iter().filter(|(key, _)| !self.held.contains(key)) {
            self.node.metrics.count_part("held");
            event!(self.node.log, events::ITEM_HELD; "job" => ledger::job_id(&key.0),
                "request" => &*key.1,
                "cause" => %hold.cause, "crashes" => hold.crashes,
                "wait_ms" => hold.wait.as_millis() as u64);
        }
    }

    /// Ends the run of an item at a silent endpoint, which `next` takes over. Does nothing for an item
    /// that does not run.
    fn leave_silent_run(&mut self, key: &ItemKey, next: &Arc<str>) {
        let state = self.tracked.get(key).map(|t| &t.state);
        let Some(ItemState::Running { endpoint, run, .. }) = state else { return };
        run.stop();
        let endpoint = endpoint.clone();
        self.handle_run_end(
            key.clone(),
            RunEnd::Interrupted { cause: "silence".into(), at_fault: true },
        );
        if let Some(tracked) = self.tracked.get_mut(key) {
            tracked.progress.moved = true;
        }
        event!(self.node.log, events::ENDPOINT_SILENT; "job" => ledger::job_id(&key.0),
            "request" => &*key.1,
            "endpoint" => &*endpoint, "asked" => &**next);
    }

    /// Stops the run of an item, which continues later.
    fn stop_item(&mut self, key: &ItemKey) {
        self.node.metrics.count_preemption();
        event!(self.node.log, events::ITEM_INTERRUPTED; "job" => ledger::job_id(&key.0),
            "request" => &*key.1, "cause" => "more urgent requests need the slot");
        if let Some(TrackedItem { state: ItemState::Running { run, .. }, .. }) =
            self.tracked.get(key)
        {
            run.stop();
        }
        self.back_off(key, RETRY_DELAY);
    }

    /// Starts a run of an item at an endpoint, on a host in the failure domain of the endpoint if one
    /// is in contact.
    fn start_item(&mut self, queued: &QueuedItem, endpoint: &directory::Endpoint) {
        let directory::Endpoint {
            id: endpoint, service, start_time, address, build, domain, ..
        } = endpoint;
        let (endpoint, start_time, address) = (endpoint.clone(), *start_time, *address);
        let QueuedItem { key, item, host, progress } = queued;
        let key = key.clone();
        let tracked = self.tracked.get(&key).map(|k| k.progress.clone());
        let mut progress = tracked.unwrap_or_else(|| progress.clone());
        let began_at = progress.build().cloned();
        if progress.prepare_run(build) {
            event!(self.node.log, events::ITEM_STARTED_OVER; "job" => ledger::job_id(&key.0),
                "request" => &*key.1, "began_at" => began_at.as_deref(), "build" => &**build);
        }
        let run_host = self.delegator.choose(self.node.now(), domain);
        event!(self.node.log, events::ITEM_STARTED; "job" => ledger::job_id(&key.0),
            "request" => &*key.1,
            "endpoint" => &*endpoint, "build" => &**build, "after_event" => progress.last_event,
            "run_host" => run_host.as_deref(), "workspace" => ledger::job_workspace(&key.0));
        let names = self.node.view.protocol().headers();
        let request =
            match runner::request(names, &key.0, item, host, &endpoint, progress.last_event) {
                Ok(request) => request,
                Err(error) => {
                    slog::info!(self.node.log, "item does not form a valid request";
                    "request" => &*key.1, "error" => %error);
                    return self.abandon(key, ledger::Cause::Impossible);
                }
            };
        let trial = self.trials.get(&key).map(|g| g.trial.clone()).unwrap_or_default();
        if let Some(grant) = self.trials.get_mut(&key) {
            grant.trial.set_sent(true);
        }
        let (number, last_event) = (self.shared.numbers.next_run(), progress.last_event);
        let start = limits::EndpointStart::new(&endpoint, start_time);
        let limit_version = self.limit_version(&start);
        let guard = self.node.count_request(service, &endpoint);
        let run = match run_host {
            Some(run_host) => {
                let order = delegation::Order {
                    number,
                    key: key.clone(),
                    item: item.clone(),
                    host: host.clone(),
                    endpoint: endpoint.clone(),
                    start_time,
                    address,
                    last_event,
                    limit_version,
                    trial,
                };
                self.delegator.start(&run_host, order);
                RunHandle::Delegated { number, stops: self.stops.clone(), _guard: guard }
            }
            None => {
                let run = runner::Run {
                    key: key.clone(),
                    number,
                    last_event,
                    endpoint: endpoint.clone(),
                    start_time,
                    address,
                    limit_version,
                    prompt: self.node.item_causes(item),
                    request,
                };
                let (node, reports) = (self.node.clone(), self.reports.clone());
                let task = tokio::spawn(async move {
                    run.run(node, reports).await;
                    drop(guard);
                });
                RunHandle::Local(task.abort_handle())
            }
        };
        let since = time::Instant::now();
        let state = ItemState::Running { endpoint, number, since, run, silent: false };
        self.tracked.insert(key, TrackedItem { state, progress });
    }
}

/// Commits a command to the ledger. Returns whether it is known to be committed. As long as this
/// host leads the job group, a command in its queue is not proposed again.
async fn commit(node: &node::Node, command: &ledger::Command) -> bool {
    let reply = node.groups.propose_local(groups::JOBS, command).await;
    if let Err(failure) = &reply {
        event!(node.log, events::LEDGER_UNCHANGED; "change" => %command,
            "error" => ?failure);
    }
    reply.is_ok()
}

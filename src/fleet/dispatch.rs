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
mod planning;
mod runs;
mod tracked;

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::delegation;
use crate::fleet::dispatch::output::SentChunk;
use crate::fleet::dispatch::tracked::ItemState;
use crate::fleet::dispatch::tracked::Stops;
use crate::fleet::dispatch::tracked::TrackedItem;
use crate::fleet::event_stream;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::ledger;
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
    trials: sorted::SortedMap<ItemKey, quarantine::Trial>,
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
                let trial = self.trials.entry_or(key, quarantine::Trial::default);
                trial.grant(self.node.now(), cause);
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
            && let Some(trial) = self.trials.get_mut(&key)
        {
            trial.set_sent(false);
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
        let tracked = TrackedItem {
            state: ItemState::Committing,
            progress: Progress::default(),
            stops: plan::Stops::default(),
        };
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

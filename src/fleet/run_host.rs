//! Carries out runs of items for the leader of the job group.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::delegation;
use crate::fleet::directory;
use crate::fleet::frame;
use crate::fleet::ledger;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::runner;
use crate::sorted;
use crate::supervisor;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

/// Interval between checks whether a report is due. A report is late by this at most.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait until the leader has heard that this host stops. It answers at its next plan.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Most messages that wait. Further ones are dropped, which the protocol tolerates.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Message with the link address of its sender.
type Received<T> = (Arc<str>, T);

/// Delivers messages to a task of this host that may not run yet.
#[derive(Debug)]
pub struct Mailbox<T> {
    sender: Mutex<Option<mpsc::Sender<Received<T>>>>,
}

impl<T> Default for Mailbox<T> {
    fn default() -> Mailbox<T> {
        Mailbox { sender: Mutex::new(None) }
    }
}

impl<T> Mailbox<T> {
    /// Opens the mailbox. Messages go to the last receiver.
    pub fn open(&self) -> mpsc::Receiver<Received<T>> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        *peer::lock(&self.sender) = Some(sender);
        receiver
    }

    /// Delivers a message. It is dropped if the queue is full or no task receives.
    pub fn deliver(&self, from: &Arc<str>, message: T) {
        if let Some(sender) = &*peer::lock(&self.sender) {
            // Missing messages are noticed by both sides.
            let _ = sender.try_send((from.clone(), message));
        }
    }
}

/// Mailboxes for messages about delegated runs.
#[derive(Debug, Default)]
pub struct Mailboxes {
    /// Orders for this host.
    pub orders: Mailbox<delegation::Orders>,
    /// Reports to this host as the leader.
    pub reports: Mailbox<delegation::Reports>,
}

/// Run that this host carries out.
struct Carried {
    run: delegation::RunKey,
    task: task::AbortHandle,
}

impl Drop for Carried {
    fn drop(&mut self) {
        // Closes the connection, which cancels the run at its endpoint.
        self.task.abort();
    }
}

/// Carries out the runs that leaders hand to this host.
struct RunHost {
    node: node::Node,
    delegate: delegation::Delegate,
    /// Runs by their numbers on this host. Two leaders may use the same number.
    carried: sorted::SortedMap<u64, Carried>,
    last_run: u64,
    updates: mpsc::Sender<runner::Report>,
}

/// Carries out runs for leaders until `stop`.
///
/// # Errors
/// Never fails; supervised tasks have this signature.
pub async fn run(node: node::Node, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut orders = node.run_mailboxes.orders.open();
    let (updates, mut update_inbox) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let mut ticks = node.timer.subscribe(CHECK_INTERVAL);
    let (delegate, carried) = (delegation::Delegate::default(), sorted::SortedMap::new());
    let mut host = RunHost { node, delegate, carried, last_run: 0, updates };
    loop {
        tokio::select! {
            () = stop.wait() => break,
            Some((from, orders)) = orders.recv() => host.handle_orders(&from, orders),
            Some(report) = update_inbox.recv() => host.handle_update(report),
            _ = ticks.next(), if host.delegate.is_active() => host.expire(),
        }
        host.report();
    }
    // The leaders hand the runs to other hosts at once, also those of orders under way.
    host.carried = sorted::SortedMap::new();
    host.delegate.end_all();
    host.report();
    let answers = async {
        while !host.delegate.is_stop_heard() {
            let Some((from, orders)) = orders.recv().await else { return };
            host.handle_orders(&from, orders);
            host.report();
        }
    };
    // A leader that does not answer waits for the end of the lease.
    let _ = time::timeout(STOP_TIMEOUT, answers).await;
    Ok(())
}

impl RunHost {
    fn handle_orders(&mut self, from: &Arc<str>, orders: delegation::Orders) {
        let now = self.node.now();
        let changes = self.delegate.record_orders(now, from, orders, rand::random());
        self.stop(&changes.stop);
        for order in changes.start {
            self.start((from.clone(), order.number), order);
        }
    }

    fn start(&mut self, key: delegation::RunKey, order: delegation::Order) {
        let is_leaving = |d: &mut directory::Directory| {
            let known = d.endpoint(&order.endpoint).filter(|e| e.start_time == order.start_time);
            known.is_some_and(|e| e.phase == directory::Phase::Leaving)
        };
        if self.node.view.directory(is_leaving) {
            // The endpoint said so to this host, and the leader has not heard of it yet.
            let leaving = runner::RunUpdate::Leaving(order.endpoint, order.start_time);
            self.delegate.record_update(self.node.now(), &key, leaving);
            let cause = "the endpoint is leaving".into();
            return self.end_run(&key, runner::RunEnd::NotRun { cause, at_fault: false });
        }
        let prompt = self.node.item_causes(&order.item);
        let parts = order.trial.checked(&prompt.causes);
        if !self.node.view.quarantine(|q| q.is_free(&parts)) {
            // The leader has not heard of the quarantine yet.
            self.node.metrics.count_part("held");
            let cause = "a part of the prompt is quarantined".into();
            return self.end_run(&key, runner::RunEnd::Interrupted { cause, at_fault: false });
        }
        let names = self.node.view.protocol().headers();
        let delegation::Order { key: (job, _), item, host, endpoint, last_event, .. } = &order;
        let request = match runner::request(names, job, item, host, endpoint, *last_event) {
            Ok(request) => request,
            Err(error) => {
                // The leader has built the same request before.
                slog::info!(self.node.log, "item does not form a valid request";
                    "request" => &*order.key.1, "error" => %error);
                return self.end_run(&key, runner::RunEnd::Impossible);
            }
        };
        self.last_run += 1;
        event!(self.node.log, events::RUN_ACCEPTED; "job" => ledger::job_id(&order.key.0),
            "request" => &*order.key.1, "endpoint" => &*order.endpoint, "leader" => &*key.0,
            "number" => order.number, "after_event" => order.last_event);
        let run = runner::Run {
            key: order.key,
            number: self.last_run,
            last_event: order.last_event,
            endpoint: order.endpoint,
            start_time: order.start_time,
            address: order.address,
            limit_version: order.limit_version,
            prompt,
            request,
        };
        let task = tokio::spawn(run.run(self.node.clone(), self.updates.clone()));
        self.carried.insert(self.last_run, Carried { run: key, task: task.abort_handle() });
    }

    /// Ends a run that was not started.
    fn end_run(&mut self, key: &delegation::RunKey, ended: runner::RunEnd) {
        let update = runner::RunUpdate::Ended(ended);
        self.delegate.record_update(self.node.now(), key, update);
    }

    fn handle_update(&mut self, report: runner::Report) {
        let Some(carried) = self.carried.get(&report.number) else { return };
        let ended = matches!(report.update, runner::RunUpdate::Ended(_));
        self.delegate.record_update(self.node.now(), &carried.run, report.update);
        if ended {
            self.carried.remove(&report.number);
        }
    }

    fn expire(&mut self) {
        let stop = self.delegate.expire(self.node.now());
        if !stop.is_empty() {
            event!(self.node.log, events::RUN_LEASE_ENDED; "runs" => stop.len(),
                "leader" => &*stop[0].0);
        }
        self.stop(&stop);
    }

    fn stop(&mut self, runs: &[delegation::RunKey]) {
        if !runs.is_empty() {
            self.carried.retain(|_, carried| !runs.contains(&carried.run));
        }
    }

    fn report(&mut self) {
        for (leader, reports) in self.delegate.due_reports(self.node.now()) {
            self.node.peers.cast(&leader, frame::Cast::RunReports(reports));
        }
    }
}

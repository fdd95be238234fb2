//! Runs the items of batch jobs on the leader of the job group.
//!
//! An item that is stopped or loses its endpoint goes on after the last event that arrived. About
//! once a second the output that has arrived is stored in the ledger, so that a new leader goes on
//! from there: with a leader lost every few seconds, items that start anew would never end.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::directory;
use crate::fleet::groups;
use crate::fleet::ledger;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::plan;
use crate::fleet::progress;
use crate::fleet::progress::Key;
use crate::fleet::progress::Progress;
use crate::fleet::runner;
use crate::fleet::runner::Ended;
use crate::fleet::store;
use crate::sorted;
use crate::supervisor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

/// Interval between plans. An online request that waits for a slot gets it within this time and
/// the time that its report takes.
const PLAN: Duration = Duration::from_millis(25);
/// Pause before an item is sent again after an endpoint did not run it.
const AGAIN: Duration = Duration::from_millis(150);
/// Pause before an item is sent again after an endpoint failed to run it.
const AGAIN_FAILED: Duration = Duration::from_millis(400);
/// Interval at which the output of running items is stored. What arrives within it is run again
/// after a change of leader.
const STORE: Duration = Duration::from_secs(1);
/// Output that is stored with one command at most, half of the longest command of a group. An item
/// that ends with more than that not stored is given up.
const STORE_BYTES: usize = 4 << 20;
/// Longest time for an outcome to be committed; it is proposed again afterwards.
const COMMIT: Duration = Duration::from_secs(3);
/// Factor by which jobs are kept longer than was promised: the leader counts from the moment at
/// which it first saw a job.
const KEEP_FACTOR: u32 = 2;

/// Item that is on its way.
enum State {
    /// Runs at an endpoint.
    Running { endpoint: Arc<str>, number: u64, since: time::Instant, task: task::AbortHandle },
    /// Waits until it may be sent again.
    Resting { until: time::Instant },
    /// Its output is complete and waits for an earlier part to be stored.
    Whole,
    /// Its outcome is being committed.
    Ending,
}

struct Known {
    state: State,
    progress: Progress,
}

enum Message {
    /// An outcome was committed, or not.
    Committed(Key),
    /// The ledger holds all that was committed before this host began to lead.
    Ready,
    /// Parts of items were stored, or not: events and bytes of each.
    Stored(Vec<(Key, u64, usize)>, bool),
}

/// Message with the epoch of the dispatcher in which its cause began.
struct Stamped {
    epoch: u64,
    message: Message,
}

/// Item that may be started.
struct Queued {
    key: Key,
    item: Arc<ledger::Item>,
    /// Host of its route.
    host: Arc<str>,
    /// What the ledger has stored of it.
    progress: Progress,
}

struct Dispatcher {
    node: node::Node,
    shared: store::Shared,
    known: sorted::SortedMap<Key, Known>,
    /// When this leader first saw each job.
    jobs: sorted::SortedMap<Arc<str>, time::Instant>,
    messages: mpsc::Sender<Stamped>,
    reports: mpsc::Sender<runner::Report>,
    started: u64,
    pace: plan::Pace,
    /// Number of the last change of leadership. Messages from before it are ignored: what they
    /// tell of an item does not fit the progress that was read from the ledger since.
    epoch: u64,
    /// Waits until the ledger is known to be complete.
    confirming: Option<task::JoinHandle<()>>,
    /// Whether the ledger is known to be complete, so that items may be started.
    ready: bool,
    /// Items whose parts are being stored, sorted.
    storing: Vec<Key>,
    stored: time::Instant,
}

/// Runs items whenever this host leads the job group.
///
/// # Errors
/// None; the signature is that of a supervised task.
pub async fn run(
    node: node::Node,
    shared: store::Shared,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    /// Messages of running items that may wait; the items wait beyond that.
    const MESSAGES: usize = 1_024;
    let mut leads = shared.leads.subscribe();
    let mut ticks = node.timer.subscribe(PLAN);
    let (messages, mut inbox) = mpsc::channel(MESSAGES);
    let (reports, mut reported) = mpsc::channel(MESSAGES);
    let mut dispatcher = Dispatcher {
        node,
        shared,
        known: sorted::SortedMap::new(),
        jobs: sorted::SortedMap::new(),
        messages,
        reports,
        started: 0,
        pace: plan::Pace::default(),
        epoch: 0,
        confirming: None,
        ready: false,
        storing: Vec::new(),
        stored: time::Instant::now(),
    };
    loop {
        tokio::select! {
            () = stop.wait() => return Ok(()),
            changed = leads.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let leads = *leads.borrow_and_update();
                dispatcher.reset(leads);
            }
            _ = ticks.next() => {
                if dispatcher.ready {
                    dispatcher.plan();
                    dispatcher.store();
                }
            }
            Some(message) = inbox.recv() => dispatcher.take(message),
            Some(report) = reported.recv() => dispatcher.report(report),
        }
    }
}

impl Known {
    /// Time for which the item has run, with its present run.
    fn ran(&self, now: time::Instant) -> Duration {
        match &self.state {
            State::Running { since, .. } => self.progress.ran + (now - *since),
            _ => self.progress.ran,
        }
    }
}

impl Drop for Known {
    fn drop(&mut self) {
        if let State::Running { task, .. } = &self.state {
            task.abort();
        }
    }
}

impl Dispatcher {
    /// Forgets everything; stops what runs. A new leader starts items once it has applied what
    /// its predecessors committed.
    fn reset(&mut self, leads: bool) {
        self.epoch += 1;
        self.ready = false;
        if let Some(confirming) = self.confirming.take() {
            confirming.abort();
        }
        if leads {
            let node = self.node.clone();
            self.confirming = Some(self.spawn(async move {
                while !node.groups.confirm_here(COMMIT).await {
                    time::sleep(AGAIN).await;
                }
                Message::Ready
            }));
        }
        self.known.clear();
        self.jobs.clear();
        self.storing.clear();
    }

    /// Runs `work` beside the dispatcher and sends what comes of it.
    fn spawn(&self, work: impl Future<Output = Message> + Send + 'static) -> task::JoinHandle<()> {
        let (epoch, messages) = (self.epoch, self.messages.clone());
        tokio::spawn(async move {
            let message = work.await;
            // The dispatcher is gone only when the process ends.
            let _ = messages.send(Stamped { epoch, message }).await;
        })
    }

    /// Takes the report of a run, unless the item has been stopped or started again since.
    fn report(&mut self, report: runner::Report) {
        let Some(known) = self.known.get_mut(&report.key) else { return };
        if !matches!(&known.state, State::Running { number, .. } if *number == report.number) {
            return;
        }
        match report.said {
            // An endpoint that resumes may repeat what has arrived.
            runner::Said::Event(data, id) if id.is_none() || id > known.progress.last => {
                known.progress.add(&data, id);
            }
            runner::Said::Event(..) => {}
            runner::Said::Ended(ended) => self.ended(report.key, ended),
        }
    }

    fn take(&mut self, stamped: Stamped) {
        if stamped.epoch != self.epoch {
            return;
        }
        match stamped.message {
            // An item that is still open goes on from what the ledger holds.
            Message::Committed(key) => {
                self.known.remove(&key);
            }
            Message::Ready => self.ready = true,
            Message::Stored(parts, done) => {
                self.storing.clear();
                for (key, events, len) in parts {
                    self.part_stored(key, done.then_some((events, len)));
                }
            }
        }
    }

    fn part_stored(&mut self, key: Key, stored: Option<(u64, usize)>) {
        let part = {
            let ledger = peer::lock(&self.shared.ledger);
            let open = ledger.job(&key.0).map(|j| &j.open[..]).unwrap_or_default();
            open.iter().find(|o| o.item.id == key.1).map(|o| o.part.events)
        };
        let Some(known) = self.known.get_mut(&key) else { return };
        if let Some((events, len)) = stored {
            if part != Some(events) {
                // The ledger holds something else: the item goes on from there.
                self.known.remove(&key);
                return;
            }
            known.progress.settle(events, len);
        }
        if matches!(known.state, State::Whole) {
            self.complete(key);
        }
    }

    /// Stores the output of running items that has arrived since the last time.
    fn store(&mut self) {
        if self.stored.elapsed() < STORE || !self.storing.is_empty() {
            return;
        }
        self.stored = time::Instant::now();
        let open = |(_, known): &(&Key, &Known)| {
            matches!(known.state, State::Running { .. } | State::Resting { .. })
        };
        let items = self.known.iter().filter(open).map(|(key, known)| (key, &known.progress));
        let advances = progress::parts(items, STORE_BYTES);
        if advances.is_empty() {
            return;
        }
        self.storing = advances.iter().map(|(key, _)| key.clone()).collect();
        let part = |(key, a): &(Key, ledger::Advance)| (key.clone(), a.events, a.data.len());
        let parts = advances.iter().map(part).collect();
        let command = ledger::Command::Advance(advances.into_iter().map(|(_, a)| a).collect());
        let node = self.node.clone();
        self.spawn(async move {
            let done = commit(&node, &command).await;
            Message::Stored(parts, done)
        });
    }

    /// Completes an item whose output is whole.
    fn complete(&mut self, key: Key) {
        let Some(known) = self.known.get_mut(&key) else { return };
        if known.progress.unstored() > STORE_BYTES {
            // It would be refused as too long, and the item would run again without end.
            return self.abandon(key, ledger::Cause::Impossible);
        }
        known.state = State::Ending;
        let advance = known.progress.advance(&key);
        self.commit(key, ledger::Command::Complete(advance));
    }

    fn rest(&mut self, key: &Key, pause: Duration) {
        if let Some(known) = self.known.get_mut(key) {
            known.progress.ran = known.ran(time::Instant::now());
            known.state = State::Resting { until: time::Instant::now() + pause };
        }
    }

    fn ended(&mut self, key: Key, ended: Ended) {
        let Some(known) = self.known.get_mut(&key) else { return };
        let endpoint = match &known.state {
            State::Running { endpoint, .. } => endpoint.clone(),
            _ => return,
        };
        let (job, item) = key.clone();
        let log = &self.node.log;
        match ended {
            Ended::Done => {
                self.node.metrics.item("completed");
                event!(log, events::ITEM_DONE; "job" => &*job, "request" => &*item,
                    "endpoint" => &*endpoint);
                self.pace.note(known.ran(time::Instant::now()));
                known.state = State::Whole;
                self.node.endpoint_answered(&endpoint);
                if self.storing.binary_search(&key).is_err() {
                    self.complete(key);
                }
            }
            Ended::Interrupted { cause, at_fault } => {
                event!(log, events::ITEM_INTERRUPTED; "job" => &*job, "request" => &*item,
                    "endpoint" => &*endpoint, "cause" => &*cause,
                    "events" => known.progress.events);
                if at_fault {
                    self.node.endpoint_failed(&endpoint, &cause);
                }
                self.rest(&key, AGAIN);
            }
            Ended::Failed => {
                event!(log, events::ITEM_INTERRUPTED; "job" => &*job, "request" => &*item,
                    "endpoint" => &*endpoint, "cause" => "the endpoint failed to run it");
                self.rest(&key, AGAIN_FAILED);
                let failures = self.failures(&job, &item) + 1;
                let command = ledger::Command::Fail { job, item, failures };
                let node = self.node.clone();
                // A count that is lost gives the item one more attempt.
                tokio::spawn(async move { commit(&node, &command).await });
            }
            Ended::Impossible => self.abandon(key, ledger::Cause::Impossible),
        }
    }

    /// Failed runs of an item that are counted so far.
    fn failures(&self, job: &str, item: &str) -> u32 {
        let ledger = peer::lock(&self.shared.ledger);
        let open = ledger.job(job).and_then(|j| j.open.iter().find(|o| &*o.item.id == item));
        open.map_or(0, |open| open.failures)
    }

    fn abandon(&mut self, key: Key, cause: ledger::Cause) {
        let (job, item) = key.clone();
        self.node.metrics.item("abandoned");
        event!(self.node.log, events::ITEM_ABANDONED; "job" => &*job, "request" => &*item,
            "cause" => ?cause);
        let ending = Known { state: State::Ending, progress: Progress::default() };
        self.known.insert(key.clone(), ending);
        self.commit(key, ledger::Command::Abandon { job, item, cause });
    }

    fn commit(&self, key: Key, command: ledger::Command) {
        let node = self.node.clone();
        self.spawn(async move {
            commit(&node, &command).await;
            Message::Committed(key)
        });
    }

    /// Starts and stops items according to the load of the endpoints.
    fn plan(&mut self) {
        let Some(in_force) = self.node.view.in_force() else { return };
        let now = time::Instant::now();
        let ledger = self.shared.ledger.clone();
        let ledger = peer::lock(&ledger);
        let mut jobs: Vec<(&Arc<str>, &ledger::Job)> = ledger.jobs().collect();
        jobs.sort_by_key(|(_, job)| job.accepted);
        self.jobs.retain(|id, _| ledger.job(id).is_some());
        // Items that have ended, or whose job has, stop.
        self.known.retain(|(job, item), known| {
            let open = ledger.job(job).is_some_and(|j| j.open.iter().any(|o| o.item.id == *item));
            open || matches!(known.state, State::Ending | State::Whole)
        });
        let mut queue: Vec<Queued> = Vec::new();
        let (mut over, mut waiting) = (Vec::new(), Vec::new());
        let (mut keys, mut running) = (Vec::new(), Vec::new());
        for (id, job) in &jobs {
            let since = *self.jobs.entry_or((*id).clone(), || now);
            let service = in_force
                .config
                .find(&job.terms.host, &job.terms.prefix)
                .and_then(|route| route.choose(rand::random()));
            let patience = job.terms.patience.map(Duration::from_millis);
            let late = patience.is_some_and(|p| now - since > p);
            for open in &job.open {
                let key = ((*id).clone(), open.item.id.clone());
                let known = self.known.get(&key);
                let left = Duration::from_millis(job.terms.due).saturating_sub(now - since);
                let rest = self.pace.rest(known.map_or(Duration::ZERO, |k| k.ran(now)));
                let urgency = plan::Urgency::new(job.accepted, left, rest);
                match known.map(|k| &k.state) {
                    Some(State::Ending | State::Whole) => continue,
                    Some(State::Running { endpoint, number, .. }) if !late && service.is_some() => {
                        let (index, endpoint) = (keys.len(), endpoint.clone());
                        running.push(plan::Running { index, endpoint, urgency, started: *number });
                        keys.push(key);
                        continue;
                    }
                    Some(State::Resting { until }) if *until > now => continue,
                    _ => {}
                }
                match service {
                    _ if late => over.push((key, ledger::Cause::Patience)),
                    None => over.push((key, ledger::Cause::NoRoute)),
                    Some(service) => {
                        let index = queue.len();
                        let service = service.clone();
                        waiting.push(plan::Waiting { index, service, urgency });
                        queue.push(Queued {
                            key,
                            item: open.item.clone(),
                            host: job.terms.host.clone(),
                            progress: Progress::new(&open.part),
                        });
                    }
                }
            }
        }
        let forget: Vec<Arc<str>> = self.forgotten(&jobs, now);
        drop(jobs);
        drop(ledger);
        for (key, cause) in over {
            self.abandon(key, cause);
        }
        if !forget.is_empty() {
            let node = self.node.clone();
            let command = ledger::Command::Forget { jobs: forget };
            // Jobs that are still there are forgotten at a later plan.
            tokio::spawn(async move { commit(&node, &command).await });
        }
        let plan = plan::plan(self.places(), &waiting, &running);
        self.node.metrics.level("items_waiting", waiting.len() as u64);
        self.node.metrics.level("items_running", running.len() as u64);
        self.carry_out(plan, &queue, &keys);
    }

    /// Jobs that have ended and whose retention is over.
    fn forgotten(&self, jobs: &[(&Arc<str>, &ledger::Job)], now: time::Instant) -> Vec<Arc<str>> {
        let limits = &self.node.settings.limits;
        let keep = Duration::from_secs(limits.retention) * KEEP_FACTOR;
        let over = |id: &Arc<str>| self.jobs.get(id).is_some_and(|since| now - *since > keep);
        let done = jobs.iter().filter(|(id, job)| job.open.is_empty() && over(id));
        done.map(|(id, _)| (*id).clone()).collect()
    }

    fn carry_out(&mut self, plan: plan::Plan, queue: &[Queued], keys: &[Key]) {
        for index in plan.stop {
            let key = &keys[index];
            self.node.metrics.preemption();
            event!(self.node.log, events::ITEM_INTERRUPTED; "job" => &*key.0,
                "request" => &*key.1, "cause" => "more urgent requests need the slot");
            if let Some(Known { state: State::Running { task, .. }, .. }) = self.known.get(key) {
                task.abort();
            }
            self.rest(key, AGAIN);
        }
        for (index, endpoint) in plan.start {
            let queued = &queue[index];
            let address = self.node.view.directory(|d| d.endpoint(&endpoint).map(|e| e.address));
            if let Some(address) = address {
                self.start(queued, endpoint, address);
            }
        }
    }

    fn places(&self) -> Vec<plan::Place> {
        let now = self.node.now();
        self.node.view.directory(|d| {
            self.node.view.loads(|l| {
                let health = peer::lock(&self.node.health);
                let place = |e: &directory::Endpoint| plan::Place {
                    id: e.id.clone(),
                    service: e.service.clone(),
                    slots: e.slots,
                    running: l.running(now, &e.id),
                    open: e.phase == directory::Phase::Ready && !health.avoided(now, &e.id),
                };
                d.endpoints().map(place).collect()
            })
        })
    }

    fn start(&mut self, queued: &Queued, endpoint: Arc<str>, address: SocketAddr) {
        let Queued { key, item, host, progress } = queued;
        let key = key.clone();
        let known = self.known.get(&key).map(|k| k.progress.clone());
        let progress = known.unwrap_or_else(|| progress.clone());
        event!(self.node.log, events::ITEM_STARTED; "job" => &*key.0, "request" => &*key.1,
            "endpoint" => &*endpoint, "after_event" => progress.last);
        let names = self.node.view.protocol().headers();
        let request = match runner::request(names, item, host, &endpoint, progress.last) {
            Ok(request) => request,
            Err(error) => {
                slog::info!(self.node.log, "item is no request"; "request" => &*key.1,
                    "error" => %error);
                return self.abandon(key, ledger::Cause::Impossible);
            }
        };
        self.started += 1;
        let run = runner::Run { key: key.clone(), number: self.started, address, request };
        let (node, reports) = (self.node.clone(), self.reports.clone());
        let busy = self.node.busy(&endpoint);
        let run = tokio::spawn(async move {
            run.run(node, reports).await;
            drop(busy);
        });
        let state = State::Running {
            endpoint,
            number: self.started,
            since: time::Instant::now(),
            task: run.abort_handle(),
        };
        self.known.insert(key, Known { state, progress });
    }
}

/// Whether a command for the ledger was committed for certain.
async fn commit(node: &node::Node, command: &ledger::Command) -> bool {
    let reply = node.groups.propose(groups::JOBS, command, COMMIT).await;
    if let Err(failure) = &reply {
        event!(node.log, events::LEDGER_UNCHANGED; "change" => %command,
            "error" => ?failure);
    }
    reply.is_ok()
}

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
use crate::fleet::sse;
use crate::fleet::store;
use crate::fleet::upstream;
use crate::sorted;
use crate::supervisor;
use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

/// Interval between plans. An online request that waits for a slot gets it within this time and
/// the time that its report takes.
const PLAN: Duration = Duration::from_millis(25);
/// Silence of an endpoint after which an item goes on elsewhere.
const SILENCE: Duration = Duration::from_millis(3_000);
/// Pause before an item is sent again after an endpoint did not run it.
const AGAIN: Duration = Duration::from_millis(150);
/// Pause before an item is sent again after an endpoint failed to run it.
const AGAIN_FAILED: Duration = Duration::from_millis(400);
/// Interval at which the output of running items is stored. What arrives within it is run again
/// after a change of leader.
const STORE: Duration = Duration::from_secs(1);
/// Output that is stored with one command at most, well below the longest command of a group.
const STORE_BYTES: usize = 4 << 20;
/// Longest time for an outcome to be committed; it is proposed again afterwards.
const COMMIT: Duration = Duration::from_secs(3);
/// Factor by which jobs are kept longer than was promised: the leader counts from the moment at
/// which it first saw a job.
const KEEP_FACTOR: u32 = 2;

type Key = (Arc<str>, Arc<str>);

/// Output of an item that has arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// Events that are stored in the ledger.
    stored: u64,
    /// Data of the events after those, separated by line feeds.
    output: Vec<u8>,
    /// Events in all.
    events: u64,
    /// Number of the last event.
    last: Option<u64>,
    /// Time for which the item has run.
    ran: Duration,
}

impl Progress {
    fn new(part: &ledger::Part) -> Progress {
        let (events, last) = (part.events, part.last);
        Progress { stored: events, events, last, ..Progress::default() }
    }

    fn add(&mut self, data: &[u8], id: Option<u64>) {
        if self.events > self.stored {
            self.output.push(b'\n');
        }
        self.output.extend_from_slice(data);
        self.events += 1;
        self.last = id.or(self.last);
    }

    fn advance(&self, key: &Key) -> ledger::Advance {
        ledger::Advance {
            job: key.0.clone(),
            item: key.1.clone(),
            after: self.stored,
            events: self.events,
            last: self.last,
            data: self.output.clone().into(),
        }
    }

    /// Forgets the output that the ledger has stored: `len` bytes up to the event `events`.
    fn settle(&mut self, events: u64, len: usize) {
        let separator = usize::from(self.events > events);
        self.output.drain(..(len + separator).min(self.output.len()));
        self.stored = events;
    }
}

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

/// How the run of an item ended.
enum Ended {
    /// Its output is complete.
    Done,
    /// It goes on later.
    Interrupted { cause: Arc<str>, at_fault: bool, pause: Duration },
    /// The endpoint answered with a failure.
    Failed,
    /// The endpoint said that the item can never be run.
    Impossible,
}

enum Message {
    Event(Key, Vec<u8>, Option<u64>),
    Ended(Key, Ended),
    Committed(Key, bool),
    /// Parts of items were stored, or not: events and bytes of each.
    Stored(Vec<(Key, u64, usize)>, bool),
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
    messages: mpsc::Sender<Message>,
    started: u64,
    pace: plan::Pace,
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
    let mut dispatcher = Dispatcher {
        node,
        shared,
        known: sorted::SortedMap::new(),
        jobs: sorted::SortedMap::new(),
        messages,
        started: 0,
        pace: plan::Pace::default(),
        storing: Vec::new(),
        stored: time::Instant::now(),
    };
    loop {
        tokio::select! {
            () = stop.wait() => return Ok(()),
            _ = leads.changed() => dispatcher.reset(),
            _ = ticks.next() => {
                if *leads.borrow() {
                    dispatcher.plan();
                    dispatcher.store();
                }
            }
            Some(message) = inbox.recv() => dispatcher.take(message),
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
    /// Forgets everything; stops what runs.
    fn reset(&mut self) {
        self.known.clear();
        self.jobs.clear();
        self.storing.clear();
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Event(key, data, id) => {
                let Some(known) = self.known.get_mut(&key) else { return };
                // An endpoint that resumes may repeat what has arrived.
                if id.is_none() || id > known.progress.last {
                    known.progress.add(&data, id);
                }
            }
            Message::Ended(key, ended) => self.ended(key, ended),
            Message::Committed(key, true) => {
                self.known.remove(&key);
            }
            // What is stored may not be what was assumed: the item goes on from the ledger.
            Message::Committed(key, false) => {
                self.known.remove(&key);
            }
            Message::Stored(parts, done) => {
                self.storing.clear();
                for (key, events, len) in parts {
                    self.part_stored(key, done.then_some((events, len)));
                }
            }
        }
    }

    fn part_stored(&mut self, key: Key, stored: Option<(u64, usize)>) {
        let Some(known) = self.known.get_mut(&key) else { return };
        if let Some((events, len)) = stored {
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
        let news = |(_, known): &(&Key, &Known)| {
            known.progress.events > known.progress.stored
                && matches!(known.state, State::Running { .. } | State::Resting { .. })
        };
        let mut room = STORE_BYTES;
        let mut fits = |(_, advance): &(Key, ledger::Advance)| {
            let fits = advance.data.len() <= room;
            room = room.saturating_sub(advance.data.len());
            fits
        };
        let advances: Vec<(Key, ledger::Advance)> = self
            .known
            .iter()
            .filter(news)
            .map(|(k, known)| (k.clone(), known.progress.advance(k)))
            .take_while(&mut fits)
            .collect();
        if advances.is_empty() {
            return;
        }
        self.storing = advances.iter().map(|(key, _)| key.clone()).collect();
        let part = |(key, a): &(Key, ledger::Advance)| (key.clone(), a.events, a.data.len());
        let parts = advances.iter().map(part).collect();
        let command = ledger::Command::Advance(advances.into_iter().map(|(_, a)| a).collect());
        let (groups, messages) = (self.node.groups.clone(), self.messages.clone());
        tokio::spawn(async move {
            let done = groups.propose(groups::JOBS, &command, COMMIT).await.is_ok();
            // The dispatcher is gone only when the process ends.
            let _ = messages.send(Message::Stored(parts, done)).await;
        });
    }

    /// Completes an item whose output is whole.
    fn complete(&mut self, key: Key) {
        let Some(known) = self.known.get_mut(&key) else { return };
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
            Ended::Interrupted { cause, at_fault, pause } => {
                event!(log, events::ITEM_INTERRUPTED; "job" => &*job, "request" => &*item,
                    "endpoint" => &*endpoint, "cause" => &*cause,
                    "events" => known.progress.events);
                if at_fault {
                    self.node.endpoint_failed(&endpoint, &cause);
                }
                self.rest(&key, pause);
            }
            Ended::Failed => {
                event!(log, events::ITEM_INTERRUPTED; "job" => &*job, "request" => &*item,
                    "endpoint" => &*endpoint, "cause" => "the endpoint failed to run it");
                self.rest(&key, AGAIN_FAILED);
                let failures = self.failures(&job, &item) + 1;
                let command = ledger::Command::Fail { job, item, failures };
                let groups = self.node.groups.clone();
                tokio::spawn(async move {
                    // A count that is lost gives the item one more attempt.
                    let _ = groups.propose(groups::JOBS, &command, COMMIT).await;
                });
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
        let (groups, messages) = (self.node.groups.clone(), self.messages.clone());
        tokio::spawn(async move {
            let reply = groups.propose(groups::JOBS, &command, COMMIT).await;
            let done = reply.is_ok_and(|reply| reply != ledger::Reply::Stale);
            // The dispatcher is gone only when the process ends.
            let _ = messages.send(Message::Committed(key, done)).await;
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
            let groups = self.node.groups.clone();
            let command = ledger::Command::Forget { jobs: forget };
            tokio::spawn(async move {
                // Jobs that are still there are forgotten at a later plan.
                let _ = groups.propose(groups::JOBS, &command, COMMIT).await;
            });
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
        let request = match self.request(item, host, &endpoint, progress.last) {
            Ok(request) => request,
            Err(_) => return self.abandon(key, ledger::Cause::Impossible),
        };
        let (node, messages) = (self.node.clone(), self.messages.clone());
        let (k, e) = (key.clone(), endpoint.clone());
        let run = tokio::spawn(async move {
            let busy = node.busy(&e);
            let ended = run_item(&node, request, address, &k, &messages).await;
            drop(busy);
            // The dispatcher is gone only when the process ends.
            let _ = messages.send(Message::Ended(k, ended)).await;
        });
        self.started += 1;
        let state = State::Running {
            endpoint,
            number: self.started,
            since: time::Instant::now(),
            task: run.abort_handle(),
        };
        self.known.insert(key, Known { state, progress });
    }

    fn request(
        &self,
        item: &ledger::Item,
        host: &str,
        endpoint: &str,
        last: Option<u64>,
    ) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
        let names = self.node.view.protocol().headers();
        let mut request = hyper::Request::builder().method("POST").uri(&*item.path);
        for (name, value) in &item.headers {
            request = request.header(&**name, &**value);
        }
        let mut request = request.body(Full::new(item.body.clone()))?;
        let headers = request.headers_mut();
        headers.insert(header::HOST, HeaderValue::from_str(host)?);
        headers.insert(names.request.clone(), HeaderValue::from_str(&item.id)?);
        headers.insert(names.expect.clone(), HeaderValue::from_str(endpoint)?);
        let own: &HeaderName = &names.resume;
        match last {
            Some(last) => headers.insert(own.clone(), HeaderValue::from(last)),
            None => headers.remove(own),
        };
        Ok(request)
    }
}

fn interrupted(cause: &str, at_fault: bool) -> Ended {
    Ended::Interrupted { cause: cause.into(), at_fault, pause: AGAIN }
}

/// Runs an item at one endpoint and hands on its events.
async fn run_item(
    node: &node::Node,
    request: hyper::Request<Full<Bytes>>,
    address: SocketAddr,
    key: &Key,
    messages: &mpsc::Sender<Message>,
) -> Ended {
    let names = node.view.protocol().headers();
    let sent = time::timeout(SILENCE, node.upstream.send(address, request, false)).await;
    let mut answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(failure)) => return interrupted(&failure.to_string(), true),
        Err(_) => return interrupted("no answer", true),
    };
    let status = answer.head.status;
    match answer.said(names, &key.1) {
        upstream::Said::Own => {}
        upstream::Said::Declined => return interrupted("declined", false),
        upstream::Said::Strange => return interrupted("answer of another request", true),
    }
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => return Ended::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => return Ended::Failed,
        status if !status.is_success() => {
            return interrupted(&format!("status {}", status.as_u16()), false);
        }
        _ => {}
    }
    let mut splitter = sse::Splitter::default();
    loop {
        let bytes = match time::timeout(SILENCE, answer.next()).await {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) if splitter.rest().is_empty() => return Ended::Done,
            Ok(Ok(None)) => return interrupted("the stream ends within an event", true),
            Ok(Err(cause)) => return interrupted(&cause, true),
            Err(_) => return interrupted("silence", true),
        };
        if splitter.push(&bytes).is_err() {
            return interrupted("an event is too long", true);
        }
        while let Some(event) = splitter.next_event() {
            let message = Message::Event(key.clone(), event.data(), event.id);
            if messages.send(message).await.is_err() {
                return interrupted("the process ends", false);
            }
        }
    }
}

//! Endpoint of this host, with its gate and the work that waits for or holds its slots.

use crate::gate;
use crate::metrics;
use crate::sorted;
use crate::timer;
use crate::wire;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// Description that an endpoint sends about itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name, unique on the host.
    pub name: Arc<str>,
    /// Whether it is an engine or a plain service.
    pub kind: Kind,
    /// TCP address of its HTTP interface.
    pub address: SocketAddr,
    /// Models that an engine serves now.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it refuses orders with an outdated fencing number.
    #[serde(default)]
    pub fencing: bool,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// Endpoint with its gate. Clones share it.
#[derive(Clone)]
pub struct Endpoint {
    inner: Arc<Inner>,
}

struct Inner {
    name: Arc<str>,
    timer: timer::Timer,
    metrics: metrics::Metrics,
    state: Mutex<State>,
    /// Notified when the gate asks for batch items.
    pull_signal: Arc<Notify>,
    /// Notified whenever work ends.
    work_ended: Notify,
    /// Whether the endpoint stopped announcing itself without withdrawing.
    lost: watch::Sender<bool>,
}

struct State {
    announcement: Announcement,
    gate: gate::Gate,
    draining: bool,
    next_id: u64,
    /// Number of batch items that the gate can start now.
    batch_capacity: u32,
    /// Work that has no slot yet, by id.
    waiting: sorted::SortedMap<u64, oneshot::Sender<Result<(), Refusal>>>,
    /// Work that waits or runs, by id.
    active: sorted::SortedMap<u64, Arc<Preemption>>,
}

/// Refusal of work that has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason that the caller gets.
    pub reason: wire::Reason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Signal that asks running work to release its slot.
#[derive(Debug, Default)]
pub struct Preemption {
    notify: Notify,
}

/// Work that waits for a slot. Dropping it withdraws the work from the gate.
pub struct QueuedWork {
    endpoint: Endpoint,
    id: u64,
    granted: oneshot::Receiver<Result<(), Refusal>>,
    preemption: Arc<Preemption>,
    resolved: bool,
}

/// Slot held by running work. Dropping it frees the slot.
pub struct Slot {
    endpoint: Endpoint,
    id: u64,
    preemption: Arc<Preemption>,
    outcome: Outcome,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done(bool),
    Preempted,
}

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Online requests that wait for a slot.
    pub queued: u32,
    /// Online requests that run. Batch items are not counted because online requests preempt them:
    /// an endpoint full of batch items must not look full to entries.
    pub running: u32,
}

impl Endpoint {
    /// Creates the endpoint with an idle gate, which notifies `pull_signal` when it asks for batch
    /// items.
    pub fn new(
        announcement: Announcement,
        config: gate::Config,
        timer: &timer::Timer,
        metrics: &metrics::Metrics,
        pull_signal: Arc<Notify>,
    ) -> Endpoint {
        let name = announcement.name.clone();
        let state = State {
            announcement,
            gate: gate::Gate::new(config),
            draining: false,
            next_id: 1,
            batch_capacity: 0,
            waiting: sorted::SortedMap::new(),
            active: sorted::SortedMap::new(),
        };
        let inner = Inner {
            name,
            timer: timer.clone(),
            metrics: metrics.clone(),
            state: Mutex::new(state),
            pull_signal,
            work_ended: Notify::new(),
            lost: watch::Sender::new(false),
        };
        Endpoint { inner: Arc::new(inner) }
    }

    /// Name of the endpoint.
    pub fn name(&self) -> &Arc<str> {
        &self.inner.name
    }

    /// Latest announcement of the endpoint.
    pub fn announcement(&self) -> Announcement {
        self.lock().announcement.clone()
    }

    /// Replaces the announcement, and adapts the gate if the number of slots changed.
    pub fn update(&self, announcement: Announcement) {
        let mut state = self.lock();
        if state.announcement.slots != announcement.slots {
            self.step(&mut state, gate::Input::Slots(announcement.slots));
        }
        state.announcement = announcement;
    }

    /// Submits work to the gate. `deadline` is the time left to produce the first token.
    pub fn submit(
        &self,
        class: gate::Class,
        workspace: Arc<str>,
        deadline: Duration,
    ) -> QueuedWork {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        drop(state);
        self.submit_as(id, class, workspace, deadline)
    }

    /// Submits work under an existing id. Preempted work keeps its id so that the gate can limit
    /// how often it is preempted.
    fn submit_as(
        &self,
        id: u64,
        class: gate::Class,
        workspace: Arc<str>,
        deadline: Duration,
    ) -> QueuedWork {
        let (sender, granted) = oneshot::channel();
        let preemption = Arc::new(Preemption::default());
        let mut state = self.lock();
        state.waiting.insert(id, sender);
        state.active.insert(id, preemption.clone());
        self.step(&mut state, gate::Input::Submit { id, class, workspace, deadline });
        drop(state);
        QueuedWork { endpoint: self.clone(), id, granted, preemption, resolved: false }
    }

    /// Advances the gate to the current time.
    pub fn tick(&self) {
        let mut state = self.lock();
        self.step(&mut state, gate::Input::Tick);
    }

    /// Starts a drain: the gate refuses new work.
    pub fn drain(&self) {
        self.set_draining(true);
    }

    /// Starts or ends a drain. Returns whether the state changed.
    pub fn set_draining(&self, draining: bool) -> bool {
        let mut state = self.lock();
        if state.draining == draining {
            return false;
        }
        state.draining = draining;
        let input = if draining { gate::Input::Drain } else { gate::Input::Resume };
        self.step(&mut state, input);
        true
    }

    /// Sets the share of slots that batch keeps under load, in percent, and the target for the time
    /// between tokens of online requests.
    pub fn set_policy(&self, floor: u32, target: Duration) {
        self.lock().gate.set_policy(floor, target);
    }

    /// Number of batch items that the gate can start now.
    pub fn batch_capacity(&self) -> u32 {
        self.lock().batch_capacity
    }

    /// Current online load.
    pub fn load(&self) -> Load {
        let state = self.lock();
        let load = state.gate.load();
        Load { queued: load.queued, running: load.online }
    }

    /// Marks the endpoint as lost because it stopped announcing itself. A later announcement of the
    /// same name creates a new endpoint.
    pub fn mark_lost(&self) {
        self.inner.lost.send_replace(true);
    }

    /// Waits until the endpoint is marked as lost.
    pub async fn wait_until_lost(&self) {
        let mut lost = self.inner.lost.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = lost.wait_for(|lost| *lost).await;
    }

    /// Waits until no work is queued or running.
    pub async fn wait_until_idle(&self) {
        loop {
            let notified = self.inner.work_ended.notified();
            if self.lock().active.is_empty() {
                return;
            }
            notified.await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn step(&self, state: &mut State, input: gate::Input) {
        let outputs = state.gate.step(self.inner.timer.now(), input);
        for output in outputs {
            self.execute(state, output);
        }
    }

    fn execute(&self, state: &mut State, output: gate::Output) {
        match output {
            gate::Output::Start { id } => {
                if let Some(sender) = state.waiting.remove(&id) {
                    // Fails only if the `QueuedWork` was dropped, which withdraws the work.
                    let _ = sender.send(Ok(()));
                }
            }
            gate::Output::Refuse { id, reason, retry } => {
                state.active.remove(&id);
                if let Some(sender) = state.waiting.remove(&id) {
                    let _ = sender.send(Err(Refusal { reason, retry_after: retry }));
                }
            }
            gate::Output::Preempt { id } => {
                if let Some(preemption) = state.active.get(&id) {
                    self.inner.metrics.count_preemption();
                    preemption.notify.notify_one();
                }
            }
            // The stream has stalled. The signal asks the work to stop, which frees its slot.
            gate::Output::Withdrawn { id, ran: true } => {
                if let Some(preemption) = state.active.get(&id) {
                    preemption.notify.notify_one();
                }
            }
            gate::Output::Withdrawn { id, ran: false } => {
                state.waiting.remove(&id);
                state.active.remove(&id);
            }
            gate::Output::Pull { count } => {
                state.batch_capacity = count;
                self.inner.pull_signal.notify_one();
            }
            gate::Output::Idle => {}
        }
    }

    fn end_work(&self, id: u64, input: gate::Input) {
        let mut state = self.lock();
        state.waiting.remove(&id);
        state.active.remove(&id);
        self.step(&mut state, input);
        drop(state);
        self.inner.work_ended.notify_waiters();
    }
}

impl QueuedWork {
    /// Waits until the gate grants a slot or refuses the work.
    pub async fn wait_for_slot(mut self) -> Result<Slot, Refusal> {
        let result = (&mut self.granted).await;
        self.resolved = true;
        match result {
            Ok(Ok(())) => Ok(Slot {
                endpoint: self.endpoint.clone(),
                id: self.id,
                preemption: self.preemption.clone(),
                outcome: Outcome::Done(false),
            }),
            Ok(Err(refusal)) => Err(refusal),
            // The gate withdrew the work.
            Err(_) => Err(Refusal { reason: wire::Reason::Withdrawn, retry_after: Duration::ZERO }),
        }
    }
}

impl Drop for QueuedWork {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        // The gate may have granted a slot that nobody received. It is then freed unused.
        let slot_granted = matches!(self.granted.try_recv(), Ok(Ok(())));
        let id = self.id;
        let input = match slot_granted {
            true => gate::Input::Done { id, ok: false },
            false => gate::Input::Withdraw { id },
        };
        self.endpoint.end_work(id, input);
    }
}

impl Slot {
    /// Reports the number of tokens generated since the last report.
    pub fn record_tokens(&self, count: u32) {
        let mut state = self.endpoint.lock();
        self.endpoint.step(&mut state, gate::Input::Token { id: self.id, count });
    }

    /// Waits until the gate asks the work to stop, to preempt it or because its stream stalled.
    pub async fn preempted(&self) {
        self.preemption.notify.notified().await;
    }

    /// Frees the slot after the work has ended; `ok` tells whether it succeeded.
    pub fn finish(mut self, ok: bool) {
        self.outcome = Outcome::Done(ok);
    }

    /// Frees the slot after a preemption and queues the rest of the work under the same id.
    pub fn requeue(mut self, workspace: Arc<str>, deadline: Duration) -> QueuedWork {
        self.outcome = Outcome::Preempted;
        let (endpoint, id) = (self.endpoint.clone(), self.id);
        drop(self);
        endpoint.submit_as(id, gate::Class::Batch, workspace, deadline)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let id = self.id;
        let input = match self.outcome {
            Outcome::Done(ok) => gate::Input::Done { id, ok },
            Outcome::Preempted => gate::Input::Cancelled { id },
        };
        self.endpoint.end_work(id, input);
    }
}

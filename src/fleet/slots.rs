//! Slots of endpoints that the requests of this host use, and the requests that wait for them.
//!
//! [`crate::fleet::waiting`] decides which request gets a slot; this module hands it over.

use crate::fleet::directory;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::place;
use crate::fleet::view;
use crate::fleet::waiting;
use crate::sorted;
use crate::timer;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time;

/// Requests that wait for slots. Clones share them.
#[derive(Clone, Default)]
pub struct Slots {
    queues: Arc<Mutex<Queues>>,
}

/// Waiting requests by service.
#[derive(Default)]
struct Queues {
    queues: sorted::SortedMap<Arc<str>, waiting::Queue>,
    /// Receiver of the slot of each waiting request.
    receivers: sorted::SortedMap<(Arc<str>, u64), oneshot::Sender<RequestGuard>>,
}

impl Slots {
    /// Waits until a request for a service releases its slot, and takes the slot over. `running` is
    /// the number of requests of this host. Returns `None` at once if the wait will probably take
    /// longer than `limit`, or after `limit`. A stream that goes on at `build` only waits before all
    /// new requests, and for `limit` in any case.
    pub async fn wait(
        &self,
        service: &Arc<str>,
        now: Duration,
        limit: Duration,
        running: u32,
        build: Option<&Arc<str>>,
    ) -> Option<RequestGuard> {
        let (sender, slot) = oneshot::channel();
        let ticket = {
            let mut queues = peer::lock(&self.queues);
            let queue = queues.queues.entry_or(service.clone(), waiting::Queue::default);
            let ticket = match build {
                Some(build) => queue.join_first(now, limit, build),
                None => queue.join(now, limit, running)?,
            };
            queues.receivers.insert((service.clone(), ticket), sender);
            ticket
        };
        let _leave = LeaveQueue { slots: self, service, ticket };
        // The sender is dropped when the request has waited for too long.
        time::timeout(limit, slot).await.ok()?.ok()
    }

    /// Ends the wait of every request for a service.
    pub fn dismiss(&self, service: &str) {
        peer::lock(&self.queues).receivers.retain(|(waiting, _), _| **waiting != *service);
    }

    fn leave(&self, service: &Arc<str>, ticket: u64) {
        let mut queues = peer::lock(&self.queues);
        if let Some(queue) = queues.queues.get_mut(service) {
            queue.leave(ticket);
        }
        queues.receivers.remove(&(service.clone(), ticket));
    }

    /// Records that a request has ended after `run_time` at an endpoint of `build`. Returns the
    /// receiver of its slot, if a request waits.
    fn release(
        &self,
        service: &Arc<str>,
        now: Duration,
        run_time: Duration,
        build: &str,
    ) -> Option<oneshot::Sender<RequestGuard>> {
        let mut queues = peer::lock(&self.queues);
        let queue = queues.queues.entry_or(service.clone(), waiting::Queue::default);
        let ticket = queue.release(now, run_time, build)?;
        queues.receivers.remove(&(service.clone(), ticket))
    }
}

/// Removes a request from its queue when it is dropped.
struct LeaveQueue<'a> {
    slots: &'a Slots,
    service: &'a Arc<str>,
    ticket: u64,
}

impl Drop for LeaveQueue<'_> {
    fn drop(&mut self) {
        self.slots.leave(self.service, self.ticket);
    }
}

/// Guard of a request that is counted as running at an endpoint. When it is dropped, the slot passes
/// to a request that waits for one.
pub struct RequestGuard {
    view: Arc<view::View>,
    health: Arc<Mutex<place::Health>>,
    slots: Slots,
    timer: timer::Timer,
    service: Arc<str>,
    endpoint: Arc<str>,
    since: Duration,
    /// Whether the request has had no slot.
    declined: bool,
}

impl RequestGuard {
    /// Creates the guard of a request that is already counted.
    pub fn new(node: &node::Node, service: &Arc<str>, endpoint: &Arc<str>) -> RequestGuard {
        RequestGuard {
            view: node.view.clone(),
            health: node.health.clone(),
            slots: node.slots.clone(),
            timer: node.timer.clone(),
            service: service.clone(),
            endpoint: endpoint.clone(),
            since: node.now(),
            declined: false,
        }
    }

    /// Drops the guard of a request that the endpoint declined. No slot is passed on: the endpoint is
    /// fuller than this host knows, and would decline the next request as well.
    pub fn discard(mut self) {
        self.declined = true;
    }

    /// Id of the endpoint.
    pub fn endpoint(&self) -> &Arc<str> {
        &self.endpoint
    }

    /// Build of the endpoint if a further request can start there once this one has ended.
    fn reusable_build(&self, now: Duration) -> Option<Arc<str>> {
        let (slots, build) = self.view.directory(|d| {
            let ready = d.endpoint(&self.endpoint).filter(|e| e.phase == directory::Phase::Ready);
            ready.map(|e| (e.slots, e.build.clone()))
        })?;
        let running = self.view.loads(|l| l.running(now, &self.endpoint));
        let is_reusable = !self.declined
            && running.own + running.online <= slots
            && !peer::lock(&self.health).is_avoided(now, &self.endpoint);
        is_reusable.then_some(build)
    }

    /// Guard of the request that takes over the slot of this one at `now`.
    fn successor(&self, now: Duration) -> RequestGuard {
        RequestGuard {
            view: self.view.clone(),
            health: self.health.clone(),
            slots: self.slots.clone(),
            timer: self.timer.clone(),
            service: self.service.clone(),
            endpoint: self.endpoint.clone(),
            since: now,
            declined: false,
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.timer.now();
        if let Some(build) = self.reusable_build(now) {
            let run_time = now.saturating_sub(self.since);
            if let Some(receiver) = self.slots.release(&self.service, now, run_time, &build) {
                // A request that has given up drops the guard, which passes the slot on.
                drop(receiver.send(self.successor(now)));
                return;
            }
        }
        self.view.loads(|l| l.remove_request(&self.endpoint));
    }
}

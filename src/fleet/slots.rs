//! Slots of endpoints that the requests of this host use, and the requests that wait for them.
//!
//! [`crate::fleet::waiting`] decides which request gets a slot; this module hands it over.

use crate::fleet::directory;
use crate::fleet::limits;
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
    receivers: sorted::SortedMap<(Arc<str>, u64), Receiver>,
}

/// How long a request waits for a slot, and what tells whether it gets one by then.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Longest wait.
    pub limit: Duration,
    /// Requests that this host runs, each of which releases its slot.
    pub running: u32,
    /// Time until the request probably gets a grant for an endpoint with a limit; `None` if there is
    /// no such endpoint.
    pub grant: Option<Duration>,
}

/// Place of a request in the queue.
#[derive(Clone, Copy, Debug)]
pub enum Order<'a> {
    /// Stream that goes on at a build only, before all new requests.
    Continued(&'a Arc<str>),
    /// New request.
    New(&'a waiting::Claim),
}

/// Why a request that would wait gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// It would probably have waited for too long, so it did not wait.
    NotInTime,
    /// It has waited for too long, or its service has no endpoint any more.
    Ended,
    /// Others went first, so that it would probably have waited for too long.
    Displaced,
}

/// Sender that brings a waiting request its slot, or tells it that others went first.
type Receiver = oneshot::Sender<Result<RequestGuard, NoSlot>>;

impl Slots {
    /// Waits until a request for a service releases its slot, and takes the slot over. A stream that
    /// goes on waits as long as it may in any case.
    ///
    /// # Errors
    /// The request gets no slot: at once if that will probably take too long, or once others go first
    /// for so long, or else after the longest wait.
    pub async fn wait(
        &self,
        service: &Arc<str>,
        now: Duration,
        patience: Patience,
        order: Order<'_>,
    ) -> Result<RequestGuard, NoSlot> {
        let Patience { limit, running, grant } = patience;
        let (sender, slot) = oneshot::channel();
        let ticket = {
            let mut queues = peer::lock(&self.queues);
            let queue = queues.queues.entry_or(service.clone(), waiting::Queue::default);
            let (ticket, displaced) = match order {
                Order::Continued(build) => (queue.join_first(now, limit, build), Vec::new()),
                Order::New(claim) => {
                    let joined = queue.join(now, limit, running, grant, claim);
                    let joined = joined.ok_or(NoSlot::NotInTime)?;
                    (joined.ticket, joined.displaced)
                }
            };
            for ticket in displaced {
                if let Some(receiver) = queues.receivers.remove(&(service.clone(), ticket)) {
                    // One that no longer waits needs no notice.
                    let _ = receiver.send(Err(NoSlot::Displaced));
                }
            }
            queues.receivers.insert((service.clone(), ticket), sender);
            ticket
        };
        let _leave = LeaveQueue { slots: self, service, ticket };
        // The sender is dropped when the service has no endpoint any more.
        match time::timeout(limit, slot).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(NoSlot::Ended),
        }
    }

    /// Waits for a slot that requests which can be in time do not need. `find` looks for a free one.
    ///
    /// # Errors
    /// The request gets no slot: at once if it would probably not end before its caller gives up, or
    /// else once it can no longer.
    pub async fn wait_late(
        &self,
        node: &node::Node,
        service: &Arc<str>,
        patience: Patience,
        claim: &waiting::Claim,
        find: impl Fn() -> Option<place::Candidate> + Send,
    ) -> Result<RequestGuard, NoSlot> {
        let Patience { limit, running, .. } = patience;
        let (sender, mut slot) = oneshot::channel();
        let (ticket, run_time) = {
            let mut queues = peer::lock(&self.queues);
            let queue = queues.queues.entry_or(service.clone(), waiting::Queue::default);
            let ticket = queue.join_late(node.now(), limit, running, claim);
            let ticket = ticket.ok_or(NoSlot::NotInTime)?;
            // Known, since the request has joined.
            let run_time = queue.run_time().unwrap_or_default();
            queues.receivers.insert((service.clone(), ticket), sender);
            (ticket, run_time)
        };
        let _leave = LeaveQueue { slots: self, service, ticket };
        // One that is sent later would probably not end before its caller gives up.
        let end = time::Instant::now() + limit.saturating_sub(run_time);
        while time::Instant::now() < end {
            match time::timeout(waiting::LATE_INTERVAL, &mut slot).await {
                Ok(Ok(result)) => return result,
                // The service has no endpoint any more.
                Ok(Err(_)) => return Err(NoSlot::Ended),
                // Nobody has handed a slot over yet.
                Err(_) => {}
            }
            if self.begin_search(service, node.now())
                && let Some(endpoint) = find()
            {
                offer_late(node, service, &endpoint);
            }
        }
        slot.try_recv().unwrap_or(Err(NoSlot::Ended))
    }

    /// Whether a late request of a service may look for a free slot now.
    fn begin_search(&self, service: &str, now: Duration) -> bool {
        let mut queues = peer::lock(&self.queues);
        queues.queues.get_mut(service).is_some_and(|queue| queue.begin_search(now))
    }

    /// Whether requests that can still use a slot of a service wait.
    pub fn is_contended(&self, service: &str, now: Duration) -> bool {
        peer::lock(&self.queues).queues.get(service).is_some_and(|queue| queue.is_contended(now))
    }

    /// Records that a request takes a slot of a service without having waited.
    pub fn record_turn(&self, service: &Arc<str>, now: Duration, claim: &waiting::Claim) {
        let mut queues = peer::lock(&self.queues);
        if claim.workspace.is_some() {
            queues.queues.entry_or(service.clone(), waiting::Queue::default);
        }
        if let Some(queue) = queues.queues.get_mut(service) {
            queue.record_turn(now, claim);
        }
    }

    /// Number of requests that wait for a service.
    pub fn waiting(&self, service: &str) -> u32 {
        let queues = peer::lock(&self.queues);
        queues.queues.get(service).map_or(0, |queue| queue.wanted().values().sum())
    }

    /// Average run time of requests for a service; `None` before the first one has ended.
    pub fn run_time(&self, service: &str) -> Option<Duration> {
        peer::lock(&self.queues).queues.get(service)?.run_time().filter(|t| !t.is_zero())
    }

    /// Requests that wait.
    pub fn wants(&self) -> Vec<limits::Want> {
        let queues = peer::lock(&self.queues);
        let of_queue = |(service, queue): (&Arc<str>, &waiting::Queue)| {
            let want = |(build, count): (&Option<Arc<str>>, &u32)| limits::Want {
                service: service.clone(),
                build: build.clone(),
                count: *count,
            };
            queue.wanted().iter().map(want).collect::<Vec<_>>()
        };
        queues.queues.iter().flat_map(of_queue).collect()
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
    ) -> Option<Receiver> {
        let mut queues = peer::lock(&self.queues);
        let queue = queues.queues.entry_or(service.clone(), waiting::Queue::default);
        let ticket = queue.release(now, run_time, build)?;
        queues.receivers.remove(&(service.clone(), ticket))
    }
}

/// Hands a slot at an endpoint that takes a request now to a request that waits, if there is one.
pub(super) fn offer(node: &node::Node, endpoint: &directory::Endpoint) {
    let receiver = {
        let mut queues = peer::lock(&node.slots.queues);
        let queue = queues.queues.get_mut(&endpoint.service);
        let ticket = queue.and_then(|queue| queue.offer(node.now(), &endpoint.build));
        ticket.and_then(|ticket| queues.receivers.remove(&(endpoint.service.clone(), ticket)))
    };
    if let Some(receiver) = receiver {
        // A request that has given up drops the guard.
        drop(receiver.send(Ok(node.count_request(&endpoint.service, &endpoint.id))));
    }
}

/// Hands a free slot that was found for a new request with `claim` to a request that goes first and
/// waits. Returns whether there was one. Slots at endpoints with a limit are not handed over: grants
/// are given to requests that wait, by [`offer`].
pub(super) fn offer_before(
    node: &node::Node,
    service: &Arc<str>,
    endpoint: &place::Candidate,
    claim: &waiting::Claim,
) -> bool {
    if endpoint.allowance.is_some() {
        return false;
    }
    let receiver = {
        let mut queues = peer::lock(&node.slots.queues);
        let queue = queues.queues.get_mut(service);
        let ticket = queue.and_then(|q| q.offer_before(node.now(), &endpoint.build, claim));
        ticket.and_then(|ticket| queues.receivers.remove(&(service.clone(), ticket)))
    };
    receiver.is_some_and(|receiver| {
        receiver.send(Ok(node.count_request(service, &endpoint.id))).is_ok()
    })
}

/// Hands a free slot that a late request has found to the late request that goes first.
fn offer_late(node: &node::Node, service: &Arc<str>, endpoint: &place::Candidate) {
    let receiver = {
        let mut queues = peer::lock(&node.slots.queues);
        let ticket = queues.queues.get_mut(service).and_then(|q| q.offer_late(node.now()));
        ticket.and_then(|ticket| queues.receivers.remove(&(service.clone(), ticket)))
    };
    if let Some(receiver) = receiver {
        // A request that has given up drops the guard.
        drop(receiver.send(Ok(node.count_request(service, &endpoint.id))));
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
    quota: Arc<Mutex<limits::quota::Quota>>,
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
            quota: node.quota.clone(),
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
        let (slots, build, start_time) = self.view.directory(|d| {
            let ready = d.endpoint(&self.endpoint).filter(|e| e.phase == directory::Phase::Ready);
            ready.map(|e| (e.slots, e.build.clone(), e.start_time))
        })?;
        let start = limits::EndpointStart::new(&self.endpoint, start_time);
        if peer::lock(&self.quota).allowance(now, &start) == Some(0) {
            return None;
        }
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
            quota: self.quota.clone(),
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
                drop(receiver.send(Ok(self.successor(now))));
                return;
            }
        }
        self.view.loads(|l| l.remove_request(&self.endpoint));
    }
}

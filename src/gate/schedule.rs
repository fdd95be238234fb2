//! Assignment of slots to waiting requests.

use crate::gate;
use crate::gate::Class;
use crate::gate::Input;
use crate::gate::Output;
use crate::gate::backlog;
use crate::gate::cap;
use crate::gate::ended;
use crate::gate::preempt;
use crate::gate::queue;
use crate::gate::service;
use crate::sorted;
use crate::wire;
use std::time::Duration;

/// Time after a preemption during which batch streams above the floor are not started. Without it,
/// a slot that becomes free during a burst of online requests goes to a batch stream, which the
/// next request preempts.
const PREEMPTION_HOLD: Duration = Duration::from_millis(50);
/// Batch streams that may run above the limit before the youngest are preempted. Without this
/// tolerance, every arriving online request preempts one.
const TOLERATED_EXCESS: u32 = 2;
/// Number of streams without a token at which no further batch stream is started while online
/// streams run. Each new prompt delays the next token of every stream.
const MAX_PREFILLS: u32 = 1;
/// Time after which a stream without a token no longer counts against [`MAX_PREFILLS`], so that
/// endpoints that report no tokens are still filled.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(50);
/// Largest number of slots of an engine, far above any real one. Limits the effect of a wrong
/// announcement.
const MAX_SLOTS: u32 = 1 << 16;
/// Number of ended attempts whose outcome is kept.
const MAX_ENDED_IDS: usize = 4096;
/// How long the outcome of an ended attempt is kept.
const ENDED_RETENTION: Duration = Duration::from_secs(120);
/// Time after which an unconfirmed cancellation counts as done. The agent closes the connection of
/// the stream, and the engine drops the stream at its next step.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without tokens after which a stream that has produced a token or has passed its deadline is
/// taken to have ended without a report.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a stream without any token is given up even if its deadline is later.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(600);
/// Time after the start of a drain during which requests accepted before it may still start.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Retry delay of a refusal because of a drain. By then the endpoint may have resumed or have been
/// replaced.
const DRAIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Admission control at one endpoint.
#[derive(Debug)]
pub struct Gate {
    config: gate::Config,
    slots: u32,
    online: queue::Queue,
    batch: backlog::Backlog,
    running: sorted::SortedMap<u64, preempt::RunningStream>,
    ended: ended::Outcomes,
    cap: cap::Cap,
    service_times: service::ServiceTimes,
    /// When the current drain started.
    draining: Option<Duration>,
    /// Whether [`Output::Idle`] was sent for the current drain.
    idle_reported: bool,
    /// Count of the latest [`Output::Pull`].
    last_pull: u32,
    /// Until when batch streams above the floor are not started.
    hold_until: Duration,
}

impl Gate {
    /// Returns a gate without requests.
    pub fn new(config: gate::Config) -> Gate {
        Gate {
            slots: config.slots.min(MAX_SLOTS),
            online: queue::Queue::default(),
            batch: backlog::Backlog::default(),
            running: sorted::SortedMap::new(),
            ended: ended::Outcomes::new(MAX_ENDED_IDS, ENDED_RETENTION),
            cap: cap::Cap::new(config.target_latency, config.slots),
            service_times: service::ServiceTimes::default(),
            draining: None,
            idle_reported: false,
            last_pull: 0,
            hold_until: Duration::ZERO,
            config,
        }
    }

    /// Replaces the percentage of the slots that batch keeps under load, and the target of the
    /// online inter-token latency.
    pub fn set_policy(&mut self, floor: u32, target: Duration) {
        self.config.floor_percent = floor;
        self.config.target_latency = target;
        self.cap.set_target(target);
    }

    /// Handles one input and returns the actions for the agent.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Submit { id, class, workspace, deadline } => {
                let request =
                    queue::Request { id, workspace, deadline: now.saturating_add(deadline) };
                self.submit(now, class, request, &mut out);
            }
            Input::Withdraw { id } => self.withdraw(now, id, &mut out),
            Input::Token { id, count } => {
                if !self.record_token(now, id, count) {
                    return out;
                }
            }
            Input::Done { id, ok } => self.finish(now, id, ok),
            Input::Cancelled { id } => self.finish_cancelled(now, id),
            Input::Slots(slots) => self.set_slots(slots),
            Input::Drain => self.drain(now, &mut out),
            Input::Resume => self.draining = None,
            Input::Tick => self.tick(now, &mut out),
        }
        self.schedule(now, &mut out);
        out
    }

    /// Returns the current load.
    pub fn load(&self) -> gate::Load {
        let online = self.online_running();
        let batch = self.running.len() as u32 - online;
        gate::Load { queued: self.online.len() as u32, online, batch }
    }

    /// Returns the number of batch streams that may run now.
    pub fn batch_limit(&self) -> u32 {
        let online = self.online_running();
        let limit = self.cap.value().min(self.slots).saturating_sub(online);
        limit.max(self.floor())
    }

    fn submit(
        &mut self,
        now: Duration,
        class: Class,
        request: queue::Request,
        out: &mut Vec<Output>,
    ) {
        let id = request.id;
        if self.is_live(id) {
            return;
        }
        let (preemptions, first_start) = match self.ended.get(id) {
            None => (0, None),
            Some(ended::Outcome::Preempted { preemptions, first_start }) => {
                (preemptions, Some(first_start))
            }
            Some(ended::Outcome::Withdrawn) => {
                out.push(Output::Refuse {
                    id,
                    reason: wire::Reason::Withdrawn,
                    retry: Duration::ZERO,
                });
                return;
            }
            Some(ended::Outcome::Finished | ended::Outcome::Refused) => return,
        };
        if self.draining.is_some() {
            return self.refuse(now, id, wire::Reason::Draining, DRAIN_RETRY_DELAY, out);
        }
        if class == Class::Batch || !self.config.online_priority {
            self.submit_batch(
                now,
                backlog::Item { request, class, submitted: now, preemptions, first_start },
                out,
            );
        } else {
            self.submit_online(now, request, out);
        }
    }

    fn submit_batch(&mut self, now: Duration, item: backlog::Item, out: &mut Vec<Output>) {
        if self.batch.len() >= self.config.max_queue.max(1) {
            let retry = self
                .service_times
                .retry_delay(self.service_times.expected_wait(self.batch.len(), self.slots));
            return self.refuse(now, item.request.id, wire::Reason::QueueFull, retry, out);
        }
        self.ended.remove(item.request.id);
        self.batch.push(item);
    }

    fn submit_online(&mut self, now: Duration, request: queue::Request, out: &mut Vec<Output>) {
        let ahead = self.online.count_ahead(&request.workspace, request.deadline);
        let wait = self.expected_wait(ahead);
        let ready = now + wait + self.service_times.expected_first_token();
        if ready > request.deadline {
            let retry = self.service_times.retry_delay(ready - request.deadline);
            return self.refuse(now, request.id, wire::Reason::Deadline, retry, out);
        }
        if self.online.len() >= self.config.max_queue.max(1) {
            let half =
                self.service_times.expected_wait(self.config.max_queue.div_ceil(2), self.slots);
            let retry = self.service_times.retry_delay(half);
            let Some(shed) = self.online.shed(&request.workspace) else {
                return self.refuse(now, request.id, wire::Reason::QueueFull, retry, out);
            };
            self.refuse(now, shed.id, wire::Reason::QueueFull, retry, out);
        }
        self.online.push(request);
    }

    /// Returns the expected time until a request with `ahead` others before it gets a slot.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let batch = self.running.values().filter(|r| r.is_active_batch()).count() as u32;
        let yielding = batch.saturating_sub(self.floor());
        let stopping = self.running.values().filter(|r| r.cancelling.is_some()).count() as u32;
        let open = self.free_slots() + yielding + stopping;
        let excess = (ahead + 1).saturating_sub(open as usize);
        self.service_times.expected_wait(excess, self.slots.saturating_sub(self.floor()))
    }

    fn withdraw(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let ran = if let Some(running) = self.running.get_mut(&id) {
            // A preempted stream that is withdrawn must not be submitted again.
            running.cancelling = Some((now, preempt::CancelReason::Withdrawn));
            true
        } else {
            let resumed = self.batch.remove(id).is_some_and(|item| item.preemptions > 0);
            self.online.remove(id);
            let before = self.ended.get(id);
            let ended =
                matches!(before, Some(ended::Outcome::Finished | ended::Outcome::Preempted { .. }));
            let outcome =
                if resumed || ended { ended::Outcome::Finished } else { ended::Outcome::Withdrawn };
            self.ended.insert(now, id, outcome);
            resumed || ended
        };
        out.push(Output::Withdrawn { id, ran });
    }

    /// Records tokens of a stream. Returns whether they are its first.
    fn record_token(&mut self, now: Duration, id: u64, count: u32) -> bool {
        let Some(running) = self.running.get_mut(&id) else { return false };
        let last = running.last_token.replace(now);
        if running.class == Class::Online && count > 0 {
            match last {
                Some(last) => self.cap.observe(now.saturating_sub(last), count),
                None => self.service_times.record_first_token(now.saturating_sub(running.started)),
            }
        }
        last.is_none()
    }

    fn finish(&mut self, now: Duration, id: u64, ok: bool) {
        let Some(running) = self.release(id) else { return };
        if ok && running.class == Class::Online {
            self.service_times.record_total(now.saturating_sub(running.started));
        }
        self.ended.insert(now, id, ended::Outcome::Finished);
    }

    fn finish_cancelled(&mut self, now: Duration, id: u64) {
        let Some(running) = self.release(id) else { return };
        let outcome = match running.cancelling {
            Some((_, preempt::CancelReason::Preempted)) => ended::Outcome::Preempted {
                preemptions: running.preemptions,
                first_start: running.first_start,
            },
            _ => ended::Outcome::Finished,
        };
        self.ended.insert(now, id, outcome);
    }

    fn drain(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.draining.is_none() {
            self.draining = Some(now);
            self.idle_reported = false;
        }
        for item in self.batch.drain() {
            self.refuse(now, item.request.id, wire::Reason::Draining, DRAIN_RETRY_DELAY, out);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.ended.expire(now);
        for late in self.online.expire(now) {
            let retry = self.service_times.retry_delay(self.expected_wait(self.online.len()));
            self.refuse(now, late.id, wire::Reason::Deadline, retry, out);
        }
        if self.draining.is_some_and(|since| now >= since + DRAIN_GRACE) {
            for request in self.online.drain() {
                self.refuse(now, request.id, wire::Reason::Draining, DRAIN_RETRY_DELAY, out);
            }
        }
        self.expire_batch(now, out);
        self.release_lost(now, out);
        let (online, batch) = (self.online_running(), self.batch_running());
        let usage = cap::Usage { online, batch, floor: self.floor(), slots: self.slots };
        self.cap.update(now, usage);
    }

    fn expire_batch(&mut self, now: Duration, out: &mut Vec<Output>) {
        for item in self.batch.expire(now) {
            let retry = self
                .service_times
                .retry_delay(self.service_times.expected_wait(self.online.len(), self.slots));
            self.refuse(now, item.request.id, wire::Reason::Deadline, retry, out);
        }
    }

    /// Frees the slots of streams whose end or cancellation was not reported in time.
    fn release_lost(&mut self, now: Duration, out: &mut Vec<Output>) {
        let lost: Vec<u64> =
            self.running.iter().filter(|(_, r)| is_lost(now, r)).map(|(id, _)| *id).collect();
        for id in lost {
            let stopping = self.running.get(&id).is_some_and(|r| r.cancelling.is_some());
            self.finish_cancelled(now, id);
            if !stopping {
                out.push(Output::Withdrawn { id, ran: true });
            }
        }
    }

    fn refuse(
        &mut self,
        now: Duration,
        id: u64,
        reason: wire::Reason,
        retry: Duration,
        out: &mut Vec<Output>,
    ) {
        self.ended.insert(now, id, ended::Outcome::Refused);
        out.push(Output::Refuse { id, reason, retry });
    }

    fn release(&mut self, id: u64) -> Option<preempt::RunningStream> {
        let running = self.running.remove(&id)?;
        if running.class == Class::Online {
            self.online.release(&running.workspace);
        }
        Some(running)
    }

    fn is_live(&self, id: u64) -> bool {
        self.running.contains(&id) || self.batch.contains(id) || self.online.contains(id)
    }

    fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.running.len() as u32)
    }

    fn set_slots(&mut self, slots: u32) {
        if slots.min(MAX_SLOTS) != self.slots {
            // The engine was restarted or changed, so the measured cap no longer applies.
            self.cap = cap::Cap::new(self.config.target_latency, slots);
        }
        self.slots = slots.min(MAX_SLOTS);
    }

    /// Returns the number of slots that batch keeps. Never all of them, since online requests would
    /// then wait behind batch.
    fn floor(&self) -> u32 {
        self.slot_share(self.config.floor_percent).min(self.slots.saturating_sub(1))
    }

    fn headroom(&self) -> u32 {
        self.slot_share(self.config.headroom_percent)
    }

    fn slot_share(&self, percent: u32) -> u32 {
        ((u64::from(self.slots) * u64::from(percent) + 50) / 100).min(u64::from(self.slots)) as u32
    }

    fn protection(&self) -> preempt::Protection {
        preempt::Protection { floor: self.floor(), max_preemptions: self.config.max_preemptions }
    }

    fn online_running(&self) -> u32 {
        self.running.values().filter(|r| r.class == Class::Online).count() as u32
    }

    /// Returns the number of batch streams that are not being cancelled.
    fn batch_running(&self) -> u32 {
        self.running.values().filter(|r| r.is_active_batch()).count() as u32
    }

    fn schedule(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.config.online_priority {
            self.start_batch(now, self.floor(), 0, out);
            self.start_online(now, out);
            self.preempt_batch(now, out);
            if self.online.is_empty() && now >= self.hold_until {
                self.start_batch(now, self.batch_limit(), self.headroom(), out);
            }
        } else {
            self.start_batch(now, self.slots, 0, out);
        }
        self.report_pull(now, out);
        self.report_idle(out);
    }

    fn start_online(&mut self, now: Duration, out: &mut Vec<Output>) {
        while self.free_slots() > 0 {
            let Some(next) = self.online.pop() else { return };
            if next.deadline <= now {
                self.online.release(&next.workspace);
                let retry = self.service_times.retry_delay(self.expected_wait(self.online.len()));
                self.refuse(now, next.id, wire::Reason::Deadline, retry, out);
                continue;
            }
            let item = backlog::Item {
                request: next,
                class: Class::Online,
                submitted: now,
                preemptions: 0,
                first_start: None,
            };
            self.start(now, item, out);
        }
    }

    /// Starts batch items while fewer than `limit` run and more than `spare` slots are free.
    fn start_batch(&mut self, now: Duration, limit: u32, spare: u32, out: &mut Vec<Output>) {
        while self.free_slots() > spare && self.batch_running() < limit && self.may_prefill(now) {
            let Some(item) = self.batch.pop() else { return };
            if item.class == Class::Online {
                self.online.add_running(&item.request.workspace);
            }
            self.start(now, item, out);
        }
    }

    /// Whether another batch stream may be started now. The prompt of each one delays the next
    /// tokens of the online streams.
    fn may_prefill(&self, now: Duration) -> bool {
        if !self.config.online_priority || self.running.values().all(|r| r.class == Class::Batch) {
            return true;
        }
        let fresh = |r: &&preempt::RunningStream| {
            r.cancelling.is_none() && r.last_token.is_none() && now < r.started + PREFILL_TIMEOUT
        };
        (self.running.values().filter(fresh).count() as u32) < MAX_PREFILLS
    }

    fn start(&mut self, now: Duration, item: backlog::Item, out: &mut Vec<Output>) {
        let queue::Request { id, workspace, deadline } = item.request;
        let running = preempt::RunningStream {
            class: item.class,
            workspace,
            started: now,
            first_start: item.first_start.unwrap_or(now),
            deadline,
            last_token: None,
            preemptions: item.preemptions,
            cancelling: None,
        };
        self.running.insert(id, running);
        out.push(Output::Start { id });
    }

    /// Preempts batch streams for waiting online requests, if the engine has fewer slots than
    /// streams, or if more batch streams run than the limit and its tolerance allow.
    fn preempt_batch(&mut self, now: Duration, out: &mut Vec<Output>) {
        let stopping = self.running.values().filter(|r| r.cancelling.is_some()).count();
        let excess = self.running.len().saturating_sub(self.slots as usize);
        let wanted = (self.online.len() + excess).saturating_sub(stopping);
        let mut victims = self.protection().victims(&self.running, wanted);
        if victims.is_empty() {
            let over = self.batch_running().saturating_sub(self.batch_limit() + TOLERATED_EXCESS);
            victims = self.protection().victims(&self.running, over as usize);
        }
        if !victims.is_empty() {
            self.hold_until = now + PREEMPTION_HOLD;
        }
        for id in victims {
            self.preempt_stream(now, id, out);
        }
    }

    fn preempt_stream(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let Some(running) = self.running.get_mut(&id) else { return };
        running.cancelling = Some((now, preempt::CancelReason::Preempted));
        running.preemptions += 1;
        out.push(Output::Preempt { id });
    }

    /// Reports the number of batch items that could start, if it has changed.
    fn report_pull(&mut self, now: Duration, out: &mut Vec<Output>) {
        let count = if self.draining.is_some() { 0 } else { self.pull_count(now) };
        if count != self.last_pull {
            self.last_pull = count;
            out.push(Output::Pull { count });
        }
    }

    /// Returns how many batch items the agent should pull now.
    fn pull_count(&self, now: Duration) -> u32 {
        let held = self.batch_running() + self.batch.len() as u32;
        if !self.config.online_priority {
            return self.free_slots().saturating_sub(self.batch.len() as u32);
        }
        // Batch up to the floor takes the next free slot even while online requests wait.
        let floor = if self.slots > 0 { self.floor().saturating_sub(held) } else { 0 };
        if !self.online.is_empty() || now < self.hold_until {
            return floor;
        }
        let open = self.free_slots().saturating_sub(self.headroom() + self.batch.len() as u32);
        floor.max(open.min(self.batch_limit().saturating_sub(held)))
    }

    fn report_idle(&mut self, out: &mut Vec<Output>) {
        let empty = self.running.is_empty() && self.online.is_empty() && self.batch.is_empty();
        if self.draining.is_some() && empty && !self.idle_reported {
            self.idle_reported = true;
            out.push(Output::Idle);
        }
    }
}

/// Whether the report of a stream's end or cancellation is overdue.
fn is_lost(now: Duration, running: &preempt::RunningStream) -> bool {
    if let Some((since, _)) = running.cancelling {
        return now >= since + CANCEL_TIMEOUT;
    }
    let silent = now.saturating_sub(running.last_token.unwrap_or(running.started));
    let expected =
        running.last_token.is_some() || now >= running.deadline || silent >= FIRST_TOKEN_TIMEOUT;
    silent >= STREAM_IDLE_TIMEOUT && expected
}

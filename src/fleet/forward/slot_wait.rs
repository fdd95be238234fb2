//! Gets a request a slot at an endpoint: in turn while slots are scarce.

use crate::event;
use crate::events;
use crate::fleet::forward;
use crate::fleet::place;
use crate::fleet::slots;
use crate::fleet::waiting;
use std::time::Duration;
use tokio::time;

/// Share of the response target for which a request waits for a slot. The rest is the usual time to
/// the first event.
const SLOT_WAIT_SHARE: f64 = 0.6;
/// Time after its arrival until which a late request may get a slot. Callers leave a stream that has
/// been silent for two seconds.
const MAX_SILENCE: Duration = Duration::from_millis(1_600);

impl forward::Forwarder {
    /// Waits for a slot. If none becomes free in time, returns the endpoint `other`, if any. A stream
    /// that goes on at its build waits until `end`.
    pub(super) async fn wait_for_slot(
        &mut self,
        other: Option<place::Candidate>,
        end: time::Instant,
    ) -> Option<forward::Slot> {
        if self.build.is_some() {
            return self.wait_for_build(other, end).await;
        }
        let limit = self.request.route.response_target.mul_f64(SLOT_WAIT_SHARE);
        let waited = self.request.arrived.elapsed();
        let limit = limit.saturating_sub(waited).min(self.time_left());
        let claim = self.claim();
        let slot = self.node.wait_for_slot(&self.service, limit, &claim);
        let slot = self.request.deadline.run(self.progress(), limit, slot);
        let slot = tokio::select! {
            biased;
            slot = slot => slot,
            // The caller checks the key again.
            () = self.wait_until_revoked() => return None,
        };
        if slot.as_ref().is_ok_and(|s| s.as_ref().err() == Some(&slots::NoSlot::Displaced)) {
            event!(self.node.log, events::REQUEST_DISPLACED; "request" => &*self.request.id,
                "workspace" => claim.workspace.as_deref(), "priority" => claim.rank.workspace,
                "route_priority" => claim.rank.route);
        }
        if let Ok(Ok(guard)) = slot
            && let Some(slot) = self.untried_slot(guard)
        {
            return Some(slot);
        }
        // It can no longer be in time. In a configuration with workspaces, it takes no slot that a
        // request which can be in time waits for.
        let now = self.node.now();
        let is_contended = self.node.slots.is_contended(&self.service, now);
        if claim.workspace.is_some() && (other.is_none() || is_contended) {
            return self.wait_late(&claim).await;
        }
        let other = other?;
        let guard = self.count_turn(&other, &claim);
        Some((other, guard))
    }

    /// Waits behind all requests that can be in time, as long as the caller can still get an answer.
    /// Callers of a service with limited endpoints return at the rate of the limits instead.
    async fn wait_late(&self, claim: &waiting::Claim) -> Option<forward::Slot> {
        if self.node.limited_return_interval(&self.service).is_some() {
            return None;
        }
        // The response has to begin before the caller leaves, and to end before its deadline.
        let silence = MAX_SILENCE.saturating_sub(self.request.arrived.elapsed());
        // None is known before a request has ended, and a late request does not join then.
        let run_time = self.node.slots.run_time(&self.service).unwrap_or_default();
        let limit = self.time_left().min(silence + run_time);
        let running = self.node.view.loads(|l| l.own_total());
        let patience = slots::Patience { limit, running, grant: None };
        event!(self.node.log, events::REQUEST_LATE; "request" => &*self.request.id,
            "workspace" => claim.workspace.as_deref(), "left_ms" => limit.as_millis() as u64);
        let slots = &self.node.slots;
        let find = || self.find_spare_slot();
        let slot = slots.wait_late(&self.node, &self.service, patience, claim, find);
        let slot = self.request.deadline.run(self.progress(), limit, slot);
        tokio::select! {
            slot = slot => self.untried_slot(slot.ok()?.ok()?),
            () = self.wait_until_revoked() => None,
        }
    }

    /// Endpoint with a free slot, if so many slots are free that a late request may take one.
    fn find_spare_slot(&self) -> Option<place::Candidate> {
        let candidates = self.candidates();
        let usable = || candidates.iter().filter(|c| !c.avoided);
        // Items release their slots when online requests need them.
        let free = usable().map(|c| c.slots.saturating_sub(c.running.own + c.running.online)).sum();
        if !waiting::has_spare(free, usable().map(|c| c.slots).sum()) {
            return None;
        }
        match place::choose(candidates, &self.tried, rand::random()) {
            place::Choice::Send(endpoint) => Some(endpoint),
            place::Choice::Wait(_) | place::Choice::None => None,
        }
    }

    /// Slot that was handed over, unless the request was at its endpoint before.
    fn untried_slot(&self, guard: slots::RequestGuard) -> Option<forward::Slot> {
        let candidates = self.node.candidates(&self.service);
        let endpoint = candidates.into_iter().find(|c| c.id == *guard.endpoint())?;
        (!self.tried.contains(&endpoint.id)).then_some((endpoint, guard))
    }

    /// What decides the turn of the request among those that wait for slots.
    pub(super) fn claim(&self) -> waiting::Claim {
        let caller = self.request.caller.as_ref();
        let workspace = caller.map_or(0, |c| c.priority);
        let rank = waiting::Rank { workspace, route: self.request.route.priority };
        waiting::Claim { rank, workspace: caller.map(|c| c.workspace.clone()) }
    }

    /// Counts the request as running at an endpoint whose slot it takes without having waited for it.
    pub(super) fn count_turn(
        &self,
        endpoint: &place::Candidate,
        claim: &waiting::Claim,
    ) -> slots::RequestGuard {
        self.node.slots.record_turn(&self.service, self.node.now(), claim);
        self.node.count_request(&self.service, &endpoint.id)
    }

    /// Chooses the endpoint for the next attempt. In a configuration with workspaces, free slots go to
    /// requests that wait and go first.
    pub(super) fn choose_in_turn(&mut self, claim: &waiting::Claim) -> place::Choice {
        loop {
            let choice = self.choose_next_endpoint();
            match &choice {
                place::Choice::Send(endpoint)
                    if claim.workspace.is_some()
                        && self.build.is_none()
                        && slots::offer_before(&self.node, &self.service, endpoint, claim) => {}
                _ => return choice,
            }
        }
    }

    /// Waits until `end` for an endpoint of the stream's build, and sends to a full one rather than
    /// give up: no other endpoint can continue the stream.
    async fn wait_for_build(
        &mut self,
        mut other: Option<place::Candidate>,
        end: time::Instant,
    ) -> Option<forward::Slot> {
        if other.is_none() {
            let patience = end.saturating_duration_since(time::Instant::now());
            event!(self.node.log, events::STREAM_WAITING; "request" => &*self.request.id,
                "build" => self.build().map(|b| &**b), "after_event" => self.last_event,
                "patience_ms" => patience.as_millis() as u64);
        }
        loop {
            if let Some(endpoint) = other {
                let guard = self.node.count_request(&self.service, &endpoint.id);
                return Some((endpoint, guard));
            }
            let is_over = time::Instant::now() > end || self.time_left() < forward::MIN_TIME_LEFT;
            if is_over || self.is_too_late() {
                return None;
            }
            if let Some(slot) = self.wait_for_released_slot(forward::TAKEOVER_INTERVAL).await {
                return Some(slot);
            }
            other = match self.choose_next_endpoint() {
                place::Choice::Send(endpoint) => Some(endpoint),
                place::Choice::Wait(other) => other,
                place::Choice::None => return None,
            };
        }
    }

    /// Waits for at most `limit` until another request releases its slot at an endpoint of the
    /// stream's build.
    pub(super) async fn wait_for_released_slot(&self, limit: Duration) -> Option<forward::Slot> {
        let limit = limit.min(self.time_left());
        let build = self.build.as_ref()?;
        let slot = self.node.wait_for_build_slot(&self.service, build, limit);
        let guard = self.request.deadline.run(self.progress(), limit, slot).await.ok()??;
        let endpoint = self.candidates().into_iter().find(|c| c.id == *guard.endpoint())?;
        Some((endpoint, guard))
    }
}

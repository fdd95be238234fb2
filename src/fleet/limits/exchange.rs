//! Carries out what [`crate::fleet::limits::quota`] and [`crate::fleet::limits::grantor`] decide.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::directory;
use crate::fleet::frame;
use crate::fleet::limits;
use crate::fleet::limits::EndpointStart;
use crate::fleet::limits::grantor;
use crate::fleet::limits::notice;
use crate::fleet::limits::quota;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::settings;
use crate::fleet::slots;
use crate::supervisor;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval at which a host checks whether a report is due. A request that waits for a grant is
/// reported within it.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which requests are granted.
const GRANT_INTERVAL: Duration = Duration::from_millis(15);

impl node::Node {
    /// Handles what an answer to the request `request` says about the limit of its endpoint. The
    /// request was sent at `sent`.
    pub fn handle_limit_notice(
        &self,
        endpoint: &EndpointStart,
        notice: notice::Notice,
        sent: Duration,
        request: &str,
    ) {
        let now = self.now();
        let rate = match notice {
            notice::Notice::Absent => None,
            notice::Notice::Limit(rate) => Some(rate),
            notice::Notice::Unusable(cause) => {
                self.metrics.count_limit("unusable");
                if self.view.directory(|d| d.try_take_report(now, &endpoint.id)) {
                    event!(self.log, events::LIMIT_UNUSABLE; "endpoint" => &*endpoint.id,
                        "told_by" => request, "cause" => cause);
                }
                return;
            }
        };
        let change =
            peer::lock(&self.quota).record_statement(now, endpoint, rate, sent, rand::random());
        if change.is_some() {
            self.log_limit_changes(change, request);
        }
    }

    /// Records at the host that grants requests what an endpoint has stated to some host.
    pub(crate) fn record_limit_statement(&self, statement: &limits::Statement) {
        if let Some(grantor) = &mut *peer::lock(&self.grantor) {
            grantor.record_statement(self.now(), statement);
        }
    }

    fn log_limit_changes(&self, changes: impl IntoIterator<Item = quota::Change>, told_by: &str) {
        for change in changes {
            let quota::Change { endpoint, before, after } = change;
            match after {
                Some(rate) => {
                    self.metrics.count_limit(if before.is_none() { "stated" } else { "changed" });
                    event!(self.log, events::LIMIT_STATED; "endpoint" => &*endpoint.id,
                        "born" => endpoint.start_time, "rate" => %rate, "told_by" => told_by);
                }
                None => {
                    self.metrics.count_limit("ended");
                    event!(self.log, events::LIMIT_ENDED; "endpoint" => &*endpoint.id,
                        "born" => endpoint.start_time, "told_by" => told_by);
                }
            }
        }
        let count = peer::lock(&self.quota).limits().count();
        self.metrics.record_level("limited_endpoints", count as u64);
    }

    /// Uses the permission to send a request to an endpoint. Returns `false` if the endpoint has a
    /// limit and this host has no permission. Must be called right before each request is sent.
    pub(crate) fn take_allowance(&self, service: &str, endpoint: &EndpointStart) -> bool {
        let mut quota = peer::lock(&self.quota);
        let is_limited = quota.is_limited(endpoint);
        let taken = quota.take(self.now(), endpoint);
        if is_limited {
            self.metrics.count_limited(service, if taken { "online" } else { "no_grant" });
        }
        taken
    }

    /// Endpoints of a service that accept requests.
    pub(crate) fn available_starts(&self, service: &str) -> Vec<EndpointStart> {
        let start = |e: &directory::Endpoint| EndpointStart::new(&e.id, e.start_time);
        self.view.directory(|d| d.available_endpoints(service).map(start).collect())
    }

    /// Time until a request for a service probably gets a grant, while `waiting` others of this host
    /// wait; `None` if no endpoint of the service has a limit.
    pub(crate) fn expected_grant_wait(&self, service: &str, waiting: u32) -> Option<Duration> {
        if peer::lock(&self.quota).is_empty() {
            return None;
        }
        let endpoints = self.available_starts(service);
        peer::lock(&self.quota).expected_wait(self.now(), service, &endpoints, waiting)
    }

    /// Interval at which callers of this host should return to a service; `None` if no endpoint of it
    /// has a limit.
    pub(crate) fn limited_return_interval(&self, service: &str) -> Option<Duration> {
        let endpoints: Vec<(EndpointStart, u32)> = self.view.directory(|d| {
            let available = d.available_endpoints(service);
            available.map(|e| (EndpointStart::new(&e.id, e.start_time), e.slots)).collect()
        });
        let run_time = self.slots.run_time(service);
        peer::lock(&self.quota).return_interval(&endpoints, run_time)
    }

    /// Applies a message of the host that grants requests.
    pub(crate) fn apply_grants(&self, from: &Arc<str>, grants: limits::Grants) {
        let now = self.now();
        let changes = peer::lock(&self.quota).apply(now, from, grants, rand::random);
        if !changes.is_empty() {
            self.log_limit_changes(changes, from);
        }
        self.offer_grants();
    }

    /// Records the report of a host, if this host grants requests.
    pub(crate) fn record_limit_report(&self, from: &Arc<str>, report: limits::Report) {
        let statements = match &mut *peer::lock(&self.grantor) {
            Some(grantor) => grantor.record_report(self.now(), from, report),
            None => return,
        };
        for statement in statements {
            let rate = statement.rate.map(|r| r.to_string());
            event!(self.log, events::LIMIT_RECORDED; "endpoint" => &*statement.endpoint.id,
                "born" => statement.endpoint.start_time, "rate" => rate.as_deref(),
                "peer" => &**from);
        }
    }

    /// Passes permissions to send requests on to requests that wait for a slot.
    fn offer_grants(&self) {
        for endpoint in peer::lock(&self.quota).take_offers(self.now()) {
            let found = self.view.directory(|d| d.endpoint(&endpoint.id).cloned());
            let usable = found.filter(|e| e.start_time == endpoint.start_time && e.is_available());
            if let Some(found) = usable {
                slots::offer(self, &found);
            }
        }
    }
}

/// Reports the limits that this host has learnt of and the requests that wait for a grant to the host
/// that grants them.
pub(in crate::fleet) async fn report_limits(
    node: node::Node,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let start_time = node.view.own().start_time;
    let mut ticks = node.timer.subscribe(REPORT_CHECK_INTERVAL);
    loop {
        let now = tokio::select! {
            now = ticks.next() => now,
            () = stop.wait() => return Ok(()),
        };
        if peer::lock(&node.quota).is_empty() {
            continue;
        }
        let (starts, entries) = node.view.directory(|d| {
            let available = d.endpoints().filter(|e| e.phase != directory::Phase::Gone);
            let mut starts: Vec<EndpointStart> =
                available.map(|e| EndpointStart::new(&e.id, e.start_time)).collect();
            starts.sort_unstable();
            (starts, d.hosts(settings::Role::Entry).count())
        });
        let mut targets: Vec<Arc<str>> =
            node.view.loads(|l| l.report_targets(now)).into_iter().map(|(host, _)| host).collect();
        let report = {
            let mut quota = peer::lock(&node.quota);
            quota.retain(now, |endpoint| starts.binary_search(endpoint).is_ok());
            quota.set_entries(u32::try_from(entries).unwrap_or(u32::MAX));
            targets.extend(quota.leader(now).cloned());
            // Statements that nobody receives would have to be repeated later.
            let is_heard = !targets.is_empty();
            is_heard.then(|| quota.next_report(now, start_time, node.slots.wants())).flatten()
        };
        node.offer_grants();
        let Some(report) = report else { continue };
        targets.sort_unstable();
        targets.dedup();
        for to in targets {
            node.peers.cast(&to, frame::Cast::LimitReport(report.clone()));
        }
    }
}

/// Grants requests to limited endpoints while this host places items.
pub(in crate::fleet) async fn grant_requests(
    node: node::Node,
    mut is_leader: watch::Receiver<bool>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let start_time = node.view.own().start_time;
    let mut ticks = node.timer.subscribe(GRANT_INTERVAL);
    let mut epoch = 0;
    // If this task was started again, the leadership does not change.
    is_leader.mark_changed();
    loop {
        let now = tokio::select! {
            now = ticks.next() => now,
            changed = is_leader.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                epoch += 1;
                let term = limits::Term { start_time, epoch };
                let grantor = is_leader.borrow_and_update().then(|| {
                    let quota = peer::lock(&node.quota);
                    grantor::Grantor::new(node.now(), term, quota.limits())
                });
                *peer::lock(&node.grantor) = grantor;
                continue;
            }
            () = stop.wait() => return Ok(()),
        };
        if peer::lock(&node.grantor).as_ref().is_none_or(grantor::Grantor::is_idle) {
            continue;
        }
        let (rooms, members) = (endpoint_rooms(&node, now), members(&node));
        let messages = match &mut *peer::lock(&node.grantor) {
            Some(grantor) => {
                // The directory lists endpoints in order of their ids.
                let is_kept =
                    |e: &EndpointStart| rooms.binary_search_by(|r| r.endpoint.cmp(e)).is_ok();
                grantor.retain(now, is_kept);
                grantor.grant(now, &rooms, &members)
            }
            None => continue,
        };
        for (to, grants) in messages {
            node.peers.cast(&to, frame::Cast::LimitGrants(grants));
        }
    }
}

/// Hosts that have to know the limits: the entries, and the store hosts, each of which may lead next.
fn members(node: &node::Node) -> Vec<grantor::Member> {
    let own = node.peers.own();
    node.view.directory(|d| {
        let roles = [settings::Role::Entry, settings::Role::Store];
        let hosts = roles.into_iter().flat_map(|role| d.hosts(role));
        let member = |h: &directory::Host| grantor::Member {
            link: h.link.clone(),
            start_time: h.start_time,
            domain: h.domain.clone(),
            is_entry: h.role == settings::Role::Entry,
        };
        hosts.filter(|h| h.link != *own).map(member).collect()
    })
}

/// Endpoints of the directory with the slots that are free. One that is gone has none.
fn endpoint_rooms(node: &node::Node, now: Duration) -> Vec<grantor::EndpointRoom> {
    node.view.directory(|d| {
        node.view.loads(|l| {
            let health = peer::lock(&node.health);
            let room = |e: &directory::Endpoint| {
                let running = l.running(now, &e.id);
                let is_usable = e.is_available() && !health.is_avoided(now, &e.id);
                let slots = if is_usable { e.slots.max(1) } else { 0 };
                let yielding = slots.saturating_sub(running.online);
                grantor::EndpointRoom {
                    endpoint: EndpointStart::new(&e.id, e.start_time),
                    service: e.service.clone(),
                    build: e.build.clone(),
                    domain: e.domain.clone(),
                    free: yielding.saturating_sub(running.own + running.batch),
                    yielding,
                }
            };
            let present = d.endpoints().filter(|e| e.phase != directory::Phase::Gone);
            present.map(room).collect()
        })
    })
}

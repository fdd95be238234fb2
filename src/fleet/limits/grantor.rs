//! Decides which host sends the next request to a limited endpoint. Free of I/O.
//!
//! Designed for endpoints that take a few requests a second, which up to a hundred entries and the
//! items of batch jobs share. Even shares of a limit would be too small to be used, and one request
//! in advance for each entry would be a multiple of the limit. So each request is granted where one
//! waits: to online requests first, since they wait only when no endpoint without a limit has room,
//! and what is left to items. Messages grow with the limits, not with the traffic.
//!
//! The share of entries that are out of contact is not granted: they use it by themselves.
//!
//! Only an answer shows that a limit has ended, so an endpoint is tried now and then whatever it has
//! stated. Where nothing else serves the requests that come, the try is kept for one of them.

mod trials;

use crate::fleet::limits;
use crate::fleet::limits::EndpointStart;
use crate::fleet::limits::Rate;
use crate::sorted;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Online requests of a service after which a waiting item goes first.
const ONLINE_PER_ITEM: u32 = 16;
/// Longest time for which requests are kept for items. Their slots may be full.
const MAX_ITEM_WAIT: Duration = Duration::from_millis(500);
/// Requests that an endpoint takes when its limit becomes known, also to a new leader. Without a part
/// of one, leaders that change often would never send any.
const INITIAL_TOKENS: f64 = 0.5;
/// Time after which a grant counts as used or lost, even if its receiver has not confirmed it.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(600);
/// Time from the begin of a leadership within which hosts tell it the limits that they know.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Interval between messages to an entry whose requests wait.
const WAIT_INTERVAL: Duration = Duration::from_millis(60);

/// Limited endpoint as the granting host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRoom {
    /// The endpoint.
    pub endpoint: EndpointStart,
    /// Its service.
    pub service: Arc<str>,
    /// Its build.
    pub build: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Slots that nothing uses.
    pub free: u32,
    /// Slots that online requests do not use.
    pub yielding: u32,
}

/// Host that may get grants or has to know the limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Link address.
    pub link: Arc<str>,
    /// Start of its process in milliseconds of Unix time.
    pub start_time: u64,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Whether it is an entry. Other hosts get no grants.
    pub is_entry: bool,
}

#[derive(Clone, Debug)]
struct Limited {
    rate: Option<Rate>,
    version: u64,
    changed: Duration,
    bucket: limits::Bucket,
    /// Time of the last request that was granted.
    used: Duration,
    /// Time since which it takes a request.
    ready: Option<Duration>,
}

impl Limited {
    /// Uses a request. Returns whether there was one.
    fn take(&mut self, now: Duration) -> bool {
        (self.used, self.ready) = (now, None);
        self.bucket.take()
    }
}

/// What is known of a host.
#[derive(Clone, Debug)]
struct HostState {
    /// Start of the process that has reported.
    start_time: u64,
    /// Start of the process in the directory.
    registered: u64,
    /// Last report in this leadership.
    report: Option<(Duration, limits::Report)>,
    /// Time since which requests of the host wait.
    waiting: Option<Duration>,
    /// Number of grants so far.
    granted: u64,
    /// Time of each grant that may not have arrived.
    unconfirmed: VecDeque<Duration>,
    /// Time and version of the last message to the host.
    told: Option<(Duration, u64)>,
}

impl HostState {
    fn new(start_time: u64) -> HostState {
        HostState {
            start_time,
            registered: start_time,
            report: None,
            waiting: None,
            granted: 0,
            unconfirmed: VecDeque::new(),
            told: None,
        }
    }

    fn is_in_contact(&self, now: Duration) -> bool {
        let heard = self.report.as_ref().map(|(at, _)| *at);
        heard.is_some_and(|at| now.saturating_sub(at) <= limits::CONTACT_TIMEOUT)
    }

    /// Requests that wait for a grant and have none under way.
    fn unmet(&self) -> u32 {
        let wanted = self.report.iter().flat_map(|(_, report)| &report.wanted);
        let wanted: u32 = wanted.map(|w| w.count).sum();
        wanted.saturating_sub(u32::try_from(self.unconfirmed.len()).unwrap_or(u32::MAX))
    }
}

/// Items of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ItemShare {
    /// Whether items wait.
    waiting: bool,
    /// Online requests granted since the last item.
    passed: u32,
    /// Time since which the next request is kept for an item.
    kept: Option<Duration>,
    /// Whether online requests wait.
    contended: bool,
}

impl ItemShare {
    /// Whether the next request is an item's.
    fn is_due(&self) -> bool {
        self.waiting && self.passed >= ONLINE_PER_ITEM
    }
}

/// Limits of the fleet and the grants of one leadership.
#[derive(Clone, Debug)]
pub struct Grantor {
    term: limits::Term,
    /// Time at which the leadership began.
    begun: Duration,
    version: u64,
    limited: sorted::SortedMap<EndpointStart, Limited>,
    hosts: sorted::SortedMap<Arc<str>, HostState>,
    items: sorted::SortedMap<Arc<str>, ItemShare>,
    /// Position of the entry that is offered the next unused request.
    next_offer: usize,
}

impl Grantor {
    /// Creates the state of a new leadership on a host that knows the given limits. No request is
    /// granted at once, since the former leader may have granted some just now.
    pub fn new<'a>(
        now: Duration,
        term: limits::Term,
        known: impl Iterator<Item = (&'a EndpointStart, Rate)>,
    ) -> Grantor {
        let mut grantor = Grantor {
            term,
            begun: now,
            version: 0,
            limited: sorted::SortedMap::new(),
            hosts: sorted::SortedMap::new(),
            items: sorted::SortedMap::new(),
            next_offer: 0,
        };
        for (endpoint, rate) in known {
            grantor.set(now, endpoint, Some(rate));
        }
        grantor
    }

    fn set(&mut self, now: Duration, endpoint: &EndpointStart, rate: Option<Rate>) {
        self.version += 1;
        let version = self.version;
        let bucket = limits::Bucket::new(now, INITIAL_TOKENS);
        let new = || Limited { rate, version, changed: now, bucket, used: now, ready: None };
        let limited = self.limited.entry_or(endpoint.clone(), new);
        if limited.rate.is_none() {
            limited.bucket = bucket;
        }
        (limited.rate, limited.version, limited.changed) = (rate, version, now);
    }

    /// Whether no endpoint has stated a limit and no host has reported.
    pub fn is_idle(&self) -> bool {
        self.limited.is_empty() && self.hosts.values().all(|h| h.report.is_none())
    }

    /// Whether hosts have had the time to tell the limits that they know. Items wait until then.
    pub fn is_settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.begun) >= SETTLE_TIME
    }

    /// Records what an endpoint has stated to some host. Returns whether the limit has changed.
    pub fn record_statement(&mut self, now: Duration, statement: &limits::Statement) -> bool {
        let known = self.limited.get(&statement.endpoint);
        let before = known.and_then(|l| l.rate);
        let is_newer = known.is_none_or(|l| statement.basis >= l.version);
        let is_lower = match (statement.rate, before) {
            (Some(rate), Some(before)) => rate < before,
            _ => false,
        };
        if before == statement.rate || !(is_newer || is_lower) {
            return false;
        }
        self.set(now, &statement.endpoint, statement.rate);
        true
    }

    /// Records the report of a host. Returns the statements that have changed a limit.
    pub fn record_report(
        &mut self,
        now: Duration,
        from: &Arc<str>,
        report: limits::Report,
    ) -> Vec<limits::Statement> {
        let start_time = report.start_time;
        let host = self.hosts.entry_or(from.clone(), || HostState::new(start_time));
        if host.start_time != start_time {
            let registered = host.registered;
            *host = HostState { registered, ..HostState::new(start_time) };
        }
        if host.report.as_ref().is_some_and(|(_, last)| last.seq >= report.seq) {
            return Vec::new();
        }
        let is_current = report.term == Some(self.term);
        if is_current {
            let received = usize::try_from(host.granted.saturating_sub(report.received));
            let missing = received.unwrap_or(usize::MAX);
            while host.unconfirmed.len() > missing {
                host.unconfirmed.pop_front();
            }
        }
        let mut report = report;
        if !is_current {
            report.known = 0;
        }
        let statements = std::mem::take(&mut report.statements);
        host.report = Some((now, report));
        host.waiting = if host.unmet() > 0 { host.waiting.or(Some(now)) } else { None };
        let mut changed = Vec::new();
        for statement in statements {
            if self.record_statement(now, &statement) {
                changed.push(statement);
            }
        }
        changed
    }

    /// Services whose items wait.
    pub fn set_waiting_items(&mut self, services: &[Arc<str>]) {
        for (_, share) in self.items.iter_mut() {
            share.waiting = false;
        }
        for service in services {
            self.items.entry_or(service.clone(), ItemShare::default).waiting = true;
        }
    }

    /// Items that may be sent to an endpoint of a service; `None` if it has no limit.
    pub fn item_allowance(&self, service: &str, endpoint: &EndpointStart) -> Option<u32> {
        let limited = self.limited.get(endpoint)?;
        limited.rate?.effective()?;
        let share = self.items.get(service).copied().unwrap_or_default();
        let is_next = !share.contended || share.is_due();
        Some(if is_next { limited.bucket.count() } else { 0 })
    }

    /// Uses the permission to send one item to an endpoint of a service. Returns `false` if there is
    /// none.
    pub fn take_item(&mut self, now: Duration, service: &str, endpoint: &EndpointStart) -> bool {
        match self.item_allowance(service, endpoint) {
            None => return true,
            Some(0) => return false,
            Some(_) => {}
        }
        if let Some(share) = self.items.get_mut(service) {
            (share.passed, share.kept) = (0, None);
        }
        self.limited.get_mut(endpoint).is_none_or(|limited| limited.take(now))
    }

    /// Version of the record of an endpoint; 0 if there is none.
    pub fn version(&self, endpoint: &EndpointStart) -> u64 {
        self.limited.get(endpoint).map_or(0, |l| l.version)
    }

    /// Forgets endpoints for which `keep` is false, and limits that ended a while ago.
    pub fn retain(&mut self, now: Duration, keep: impl Fn(&EndpointStart) -> bool) {
        self.limited.retain(|endpoint, limited| {
            let is_recent = now.saturating_sub(limited.changed) < limits::ENDED_RETENTION;
            keep(endpoint) && (limited.rate.is_some() || is_recent)
        });
    }

    /// Grants what the limited endpoints among `rooms` take now, and returns the messages that are
    /// due, by link address of their receivers. `members` holds every host that has to know the
    /// limits.
    pub fn grant(
        &mut self,
        now: Duration,
        rooms: &[EndpointRoom],
        members: &[Member],
    ) -> Vec<(Arc<str>, limits::Grants)> {
        self.update_hosts(now, members);
        self.fill(now, members);
        let mut grants: sorted::SortedMap<Arc<str>, Vec<EndpointStart>> = sorted::SortedMap::new();
        self.keep_for_items(now);
        let mut open: Vec<EndpointRoom> = rooms.iter().filter(|r| self.takes(r)).cloned().collect();
        for (link, want) in self.wants(members) {
            if open.is_empty() {
                break;
            }
            if self.items.get(&want.service).is_some_and(|s| s.is_due() && s.kept.is_some()) {
                continue;
            }
            let Some(member) = members.iter().find(|m| m.link == link) else { continue };
            let Some(at) = choose(&open, &want, &member.domain) else { continue };
            let room = &mut open[at];
            room.free = room.free.saturating_sub(1);
            room.yielding = room.yielding.saturating_sub(1);
            let endpoint = room.endpoint.clone();
            self.items.entry_or(want.service.clone(), ItemShare::default).passed += 1;
            self.take(now, &endpoint);
            if !self.takes(&open[at]) {
                open.swap_remove(at);
            }
            grants.entry_or(link, Vec::new).push(endpoint);
        }
        self.offer_unused(now, rooms, members, &mut grants);
        self.record_contention(&grants);
        self.messages(now, rooms, members, grants)
    }

    /// Adds new hosts, and forgets those that are gone or have started again.
    fn update_hosts(&mut self, now: Duration, members: &[Member]) {
        self.hosts.retain(|link, _| members.iter().any(|m| m.link == *link));
        for member in members {
            let state = || HostState::new(member.start_time);
            let host = self.hosts.entry_or(member.link.clone(), state);
            if host.registered != member.start_time {
                // The report of a new process may arrive before its registration.
                if host.start_time != member.start_time {
                    *host = state();
                }
                host.registered = member.start_time;
            }
            let is_lost = |at: &Duration| now.saturating_sub(*at) > MAX_UNCONFIRMED;
            while host.unconfirmed.front().is_some_and(is_lost) {
                host.unconfirmed.pop_front();
            }
            if !host.is_in_contact(now) {
                host.waiting = None;
            }
        }
    }

    /// Fills the buckets, without the share of the entries that are out of contact, but enough for
    /// trials.
    fn fill(&mut self, now: Duration, members: &[Member]) {
        let entries = members.iter().filter(|m| m.is_entry);
        let in_contact =
            |m: &&Member| self.hosts.get(&m.link).is_some_and(|h| h.is_in_contact(now));
        let (total, heard) = (entries.clone().count(), entries.filter(in_contact).count());
        let share = if total == 0 { 1.0 } else { heard as f64 / total as f64 };
        for (_, limited) in self.limited.iter_mut() {
            if let Some(rate) = limited.rate.and_then(Rate::effective) {
                let least = limits::MIN_RATE.per_second();
                limited.bucket.fill(now, (rate * share).max(least));
            }
            let is_ready = limited.bucket.count() > 0;
            limited.ready = is_ready.then(|| limited.ready.unwrap_or(now));
        }
    }

    /// Notes since when the next request of a service is kept for an item, and gives up what no item
    /// has used.
    fn keep_for_items(&mut self, now: Duration) {
        for (_, share) in self.items.iter_mut() {
            match (share.is_due(), share.kept) {
                (false, _) => share.kept = None,
                (true, None) => share.kept = Some(now),
                (true, Some(since)) if now.saturating_sub(since) > MAX_ITEM_WAIT => {
                    (share.passed, share.kept) = (0, None);
                }
                (true, Some(_)) => {}
            }
        }
    }

    /// Requests that wait, one by one: streams that go on first, then in the order in which their
    /// hosts began to wait, one of each host in turn.
    fn wants(&self, members: &[Member]) -> Vec<(Arc<str>, limits::Want)> {
        let entries = members.iter().filter(|m| m.is_entry);
        let mut waiting: Vec<(Duration, &Arc<str>, &HostState)> = entries
            .filter_map(|m| self.hosts.get(&m.link).map(|h| (&m.link, h)))
            .filter_map(|(link, h)| Some((h.waiting?, link, h)))
            .collect();
        waiting.sort_by_key(|(since, link, _)| (*since, *link));
        let mut wants = Vec::new();
        for (position, (_, link, host)) in waiting.iter().enumerate() {
            let wanted = host.report.iter().flat_map(|(_, report)| report.wanted.clone());
            let mut wanted: Vec<limits::Want> = wanted.collect();
            wanted.sort_by_key(|w| w.build.is_none());
            let single = wanted.into_iter().flat_map(|w| {
                std::iter::repeat_n(limits::Want { count: 1, ..w.clone() }, w.count as usize)
            });
            for (turn, want) in single.take(host.unmet() as usize).enumerate() {
                wants.push(((want.build.is_none(), turn, position), (*link).clone(), want));
            }
        }
        wants.sort_by_key(|(order, ..)| *order);
        wants.into_iter().map(|(_, link, want)| (link, want)).collect()
    }

    /// Whether an endpoint has a limit and takes a request now.
    fn takes(&self, room: &EndpointRoom) -> bool {
        let limited = self.limited.get(&room.endpoint);
        room.yielding > 0 && limited.is_some_and(|l| l.rate.is_some() && l.bucket.count() > 0)
    }

    fn take(&mut self, now: Duration, endpoint: &EndpointStart) {
        if let Some(limited) = self.limited.get_mut(endpoint) {
            limited.take(now);
        }
    }

    /// Notes for which services online requests wait that got no grant.
    fn record_contention(&mut self, grants: &sorted::SortedMap<Arc<str>, Vec<EndpointStart>>) {
        let mut contended: Vec<Arc<str>> = Vec::new();
        for (link, host) in self.hosts.iter().filter(|(_, h)| h.waiting.is_some()) {
            let granted = grants.get(link).map_or(0, Vec::len);
            if host.unmet() as usize > granted {
                let wanted = host.report.iter().flat_map(|(_, report)| &report.wanted);
                contended.extend(wanted.map(|w| w.service.clone()));
            }
        }
        for (service, share) in self.items.iter_mut() {
            share.contended = contended.contains(service);
        }
        for service in contended {
            self.items.entry_or(service, ItemShare::default).contended = true;
        }
    }

    fn messages(
        &mut self,
        now: Duration,
        rooms: &[EndpointRoom],
        members: &[Member],
        mut grants: sorted::SortedMap<Arc<str>, Vec<EndpointStart>>,
    ) -> Vec<(Arc<str>, limits::Grants)> {
        let services = self.services(rooms);
        let (term, version) = (self.term, self.version);
        let mut messages = Vec::new();
        for member in members {
            let Some(host) = self.hosts.get_mut(&member.link) else { continue };
            let grants = grants.remove(&member.link).unwrap_or_default();
            if self.limited.is_empty() && !host.is_in_contact(now) {
                continue;
            }
            let known = host.report.as_ref().map_or(0, |(_, report)| report.known);
            let age = host.told.map(|(at, _)| now.saturating_sub(at));
            let is_due = match host.told {
                _ if !grants.is_empty() => true,
                None => true,
                Some((_, told)) if told < version => true,
                Some(_) => age.is_some_and(|age| {
                    age >= limits::REPEAT_INTERVAL
                        || (host.waiting.is_some() && age >= WAIT_INTERVAL)
                }),
            };
            if !is_due {
                continue;
            }
            // What was sent just now may be under way.
            let is_under_way = age.is_some_and(|age| age < limits::REPEAT_INTERVAL);
            let since = match host.told {
                Some((_, told)) if is_under_way => known.max(told),
                _ => known,
            };
            let unknown = self.limited.iter().filter(|(_, l)| l.version > since);
            let record = |(endpoint, l): (&EndpointStart, &Limited)| limits::Record {
                endpoint: endpoint.clone(),
                rate: l.rate,
                version: l.version,
            };
            let records: Vec<limits::Record> = unknown.map(record).collect();
            let first = host.granted + 1;
            host.granted += grants.len() as u64;
            host.unconfirmed.extend(grants.iter().map(|_| now));
            if !grants.is_empty() {
                host.waiting = if host.unmet() > 0 { Some(now) } else { None };
            }
            host.told = Some((now, version));
            let complete = since == 0;
            let services = services.clone();
            let message =
                limits::Grants { term, version, complete, records, first, grants, services };
            messages.push((member.link.clone(), message));
        }
        messages
    }

    fn services(&self, rooms: &[EndpointRoom]) -> Vec<limits::ServiceQuota> {
        let mut services: sorted::SortedMap<Arc<str>, (u32, u32)> = sorted::SortedMap::new();
        for room in rooms {
            let ready = self.limited.get(&room.endpoint).map_or(0, |l| l.bucket.count());
            let ready = if room.free > 0 { ready } else { 0 };
            services.entry_or(room.service.clone(), || (0, 0)).1 += ready;
        }
        let reports = self.hosts.values().filter(|h| h.waiting.is_some());
        for want in reports.flat_map(|h| &h.report).flat_map(|(_, report)| &report.wanted) {
            if let Some((wanted, _)) = services.get_mut(&want.service) {
                *wanted += want.count;
            }
        }
        let quota = |(service, (wanted, ready)): (&Arc<str>, &(u32, u32))| limits::ServiceQuota {
            service: service.clone(),
            wanted: *wanted,
            ready: *ready,
        };
        services.iter().map(quota).collect()
    }
}

/// Position of the endpoint for a request of a host in `domain`: one with a free slot if there is one,
/// in the domain of the host if there is one.
fn choose(open: &[EndpointRoom], want: &limits::Want, domain: &str) -> Option<usize> {
    let fits = |room: &EndpointRoom| {
        room.service == want.service && want.build.as_ref().is_none_or(|b| *b == room.build)
    };
    let fitting = open.iter().enumerate().filter(|(_, room)| fits(room));
    let rank = |room: &EndpointRoom| (room.free > 0, *room.domain == *domain, room.free);
    fitting.max_by_key(|(_, room)| rank(room)).map(|(at, _)| at)
}

//! Decides whether a host may send a request to a limited endpoint. Free of I/O.
//!
//! Designed for endpoints that take a few requests a second from up to a hundred entries, beside
//! others without a limit that carry most of the load. An entry sends a request to a limited endpoint
//! only with a grant of the host that places items. While it hears from no such host, it uses an even
//! share of half of each limit: too little for its load, but all entries together stay within the
//! limit.
//!
//! Hosts learn of limits in any order: from answers, which may be late, and from the granting host,
//! whose records are numbered. A statement may lower a limit at once. It raises or ends one only if
//! it answers a request that was sent after the host knew of that limit.

use crate::fleet::limits;
use crate::fleet::limits::EndpointStart;
use crate::fleet::limits::Rate;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Longest random delay before a host tells a new granting host of a limit that it does not know. Most
/// hosts learn from the records meanwhile that it was told.
const INHERITED_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a statement is repeated until the records reflect it.
const STATEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between reports of which only the number of waiting requests is new.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a grant takes to arrive, about.
const GRANT_DELAY: Duration = Duration::from_millis(30);
/// Most limits that a host remembers.
const MAX_LIMITS: usize = 4_096;

/// Entries share this part of a limit while no host grants requests. Their turns come at random
/// moments, of which more than usual may fall together.
const UNGRANTED_SHARE: f64 = 0.5;

/// Requests to one endpoint that all entries together keep for the next requests to come, on average,
/// while no host grants requests.
const KEPT_REQUESTS: f64 = 0.5;

/// Interval at which one of so many entries may send a request without a granting host to endpoints
/// that take `rate` requests a second.
fn share_interval(rate: f64, entries: u32) -> Duration {
    Duration::from_secs_f64(f64::from(entries.max(1)) / (rate * UNGRANTED_SHARE))
}

/// Time for which one of so many entries may use a request that is due at intervals of `interval`.
fn share_lifetime(interval: Duration, entries: u32) -> Duration {
    interval.mul_f64(KEPT_REQUESTS / f64::from(entries.max(1))).max(limits::GRANT_LIFETIME)
}

/// Statement that the records do not reflect yet.
#[derive(Clone, Copy, Debug)]
struct Own {
    rate: Option<Rate>,
    basis: u64,
    /// Time before which it is not reported.
    due: Duration,
    /// Whether it comes from the records of a former granting host, not from an answer.
    inherited: bool,
}

/// Record of the granting host.
#[derive(Clone, Copy, Debug)]
struct Told {
    rate: Option<Rate>,
    version: u64,
}

/// Grant that has not been used.
#[derive(Clone, Copy, Debug)]
struct Held {
    until: Duration,
    /// Whether a waiting request was told of it.
    offered: bool,
}

#[derive(Clone, Debug)]
struct Known {
    own: Option<Own>,
    told: Option<Told>,
    /// Time at which the host learnt of the present limit.
    learnt: Duration,
    held: Vec<Held>,
    /// Share of the limit that is used without a granting host.
    share: Share,
}

/// Requests that a host may send to an endpoint while no host grants them: one at equal intervals. One
/// that is not sent is lost. If each entry saved one, all could send it at the same moment.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Random share of an interval after which the first one is due, so that entries take turns.
    phase: f64,
    /// Time at which the next one is due; `None` while a host grants requests.
    next: Option<Duration>,
}

impl Share {
    fn new(phase: f64) -> Share {
        Share { phase, next: None }
    }

    /// Whether a request may be sent now, one in `interval`, within `lifetime` of its time.
    fn is_due(&mut self, now: Duration, interval: Duration, lifetime: Duration) -> bool {
        let mut next = *self.next.get_or_insert(now + interval.mul_f64(self.phase));
        if next + lifetime < now {
            let missed = (now - next).div_duration_f64(interval).floor();
            next += interval.mul_f64(missed);
            if next + lifetime < now {
                next += interval;
            }
            self.next = Some(next);
        }
        next <= now
    }

    fn take(&mut self, interval: Duration) {
        self.next = self.next.map(|next| next + interval);
    }
}

impl Known {
    fn rate(&self) -> Option<Rate> {
        match (self.own, self.told) {
            (Some(own), _) => own.rate,
            (None, told) => told?.rate,
        }
    }

    fn version(&self) -> u64 {
        self.told.map_or(0, |t| t.version)
    }
}

/// Host that grants requests.
#[derive(Clone, Debug)]
struct Leader {
    link: Arc<str>,
    term: limits::Term,
    heard: Duration,
}

/// Change of a limit as a host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: EndpointStart,
    /// Limit before; `None` for none.
    pub before: Option<Rate>,
    /// Limit now; `None` for none.
    pub after: Option<Rate>,
}

/// Limits that a host knows, and its grants.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    known: sorted::SortedMap<EndpointStart, Known>,
    leader: Option<Leader>,
    /// Granting host before the present one, whose last messages may still arrive.
    former: Option<(Arc<str>, limits::Term)>,
    /// Version of the last message of the granting host.
    version: u64,
    /// Number of the last grant.
    received: u64,
    services: Vec<limits::ServiceQuota>,
    /// Entries of the fleet, which share the limits while no host grants requests.
    entries: u32,
    last_report: Option<(Duration, limits::Report)>,
    seq: u64,
}

impl Quota {
    /// Whether an endpoint has a limit that this host knows.
    pub fn is_limited(&self, endpoint: &EndpointStart) -> bool {
        self.rate(endpoint).is_some_and(|rate| rate.effective().is_some())
    }

    /// Limit of an endpoint, if it states one.
    pub fn rate(&self, endpoint: &EndpointStart) -> Option<Rate> {
        self.known.get(endpoint)?.rate()
    }

    /// Version of the record of an endpoint; 0 if there is none. It names what a host knows of the
    /// endpoint when it sends a request.
    pub fn version(&self, endpoint: &EndpointStart) -> u64 {
        self.known.get(endpoint).map_or(0, Known::version)
    }

    /// Endpoints that state a limit.
    pub fn limits(&self) -> impl Iterator<Item = (&EndpointStart, Rate)> {
        self.known.iter().filter_map(|(endpoint, known)| Some((endpoint, known.rate()?)))
    }

    /// Whether this host knows of no limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Sets the number of entries of the fleet.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
    }

    /// Forgets endpoints for which `keep` is false, and limits that ended a while ago.
    pub fn retain(&mut self, now: Duration, keep: impl Fn(&EndpointStart) -> bool) {
        self.known.retain(|endpoint, known| {
            let is_recent = now.saturating_sub(known.learnt) < limits::ENDED_RETENTION;
            keep(endpoint) && (known.rate().is_some() || is_recent)
        });
    }

    /// Records what an answer says about the limit of its endpoint: `rate`, or that there is none. The
    /// request was sent at `sent`. `random` is a random number from 0 to 1.
    pub fn record_statement(
        &mut self,
        now: Duration,
        endpoint: &EndpointStart,
        rate: Option<Rate>,
        sent: Duration,
        random: f64,
    ) -> Option<Change> {
        let before = self.rate(endpoint);
        if before == rate {
            return None;
        }
        if !self.known.contains(endpoint) {
            if self.known.len() >= MAX_LIMITS {
                return None;
            }
            let share = Share::new(random);
            let known = Known { own: None, told: None, learnt: now, held: Vec::new(), share };
            self.known.insert(endpoint.clone(), known);
        }
        let known = self.known.get_mut(endpoint)?;
        let is_lower = match (rate, before) {
            (Some(rate), Some(before)) => rate < before,
            (Some(_), None) => known.told.is_none() && known.own.is_none(),
            (None, _) => false,
        };
        if !is_lower && sent <= known.learnt {
            return None;
        }
        known.own = Some(Own { rate, basis: known.version(), due: now, inherited: false });
        known.learnt = now;
        Some(Change { endpoint: endpoint.clone(), before, after: rate })
    }

    /// Whether a message of the granting host `from` is to be ignored.
    fn is_outdated(&self, now: Duration, from: &Arc<str>, term: limits::Term) -> bool {
        let Some(leader) = &self.leader else { return false };
        let is_former = self.former.as_ref().is_some_and(|(l, t)| l == from && *t == term);
        let is_silent = now.saturating_sub(leader.heard) > limits::CONTACT_TIMEOUT;
        is_former && !is_silent
    }

    /// Applies a message of the granting host `from`. `random` gives random numbers from 0 to 1.
    /// Returns which limits have changed.
    pub fn apply(
        &mut self,
        now: Duration,
        from: &Arc<str>,
        message: limits::Grants,
        mut random: impl FnMut() -> f64,
    ) -> Vec<Change> {
        if self.is_outdated(now, from, message.term) {
            return Vec::new();
        }
        let is_new = self.leader.as_ref().is_none_or(|l| l.link != *from || l.term != message.term);
        if is_new {
            self.former = self.leader.take().map(|l| (l.link, l.term));
            (self.version, self.received) = (0, 0);
            for (_, known) in self.known.iter_mut() {
                // Grants of the former leader no longer count.
                known.held.clear();
                let rate = known.rate();
                known.told = None;
                known.own = rate.map(|rate| {
                    let due = now + INHERITED_DELAY.mul_f64(random());
                    Own { rate: Some(rate), basis: 0, due, inherited: true }
                });
            }
        }
        let term = message.term;
        self.leader = Some(Leader { link: from.clone(), term, heard: now });
        let mut changes = Vec::new();
        for record in &message.records {
            changes.extend(self.apply_record(now, record, &mut random));
        }
        if message.complete || message.version >= self.version {
            self.version = message.version;
        }
        self.services = message.services;
        let count = message.grants.len() as u64;
        if count > 0 && message.first > self.received {
            self.received = message.first + count - 1;
            for endpoint in message.grants {
                if let Some(known) = self.known.get_mut(&endpoint) {
                    let until = now + limits::GRANT_LIFETIME;
                    known.held.push(Held { until, offered: false });
                }
            }
        }
        changes
    }

    fn apply_record(
        &mut self,
        now: Duration,
        record: &limits::Record,
        random: &mut impl FnMut() -> f64,
    ) -> Option<Change> {
        let endpoint = &record.endpoint;
        let before = self.rate(endpoint);
        let share = Share::new(random());
        let empty = || Known { own: None, told: None, learnt: now, held: Vec::new(), share };
        let known = self.known.entry_or(endpoint.clone(), empty);
        if known.version() >= record.version {
            return None;
        }
        known.told = Some(Told { rate: record.rate, version: record.version });
        // A lower limit than that of the record still has to be told.
        let is_lower = |own: &Own| own.rate.is_some_and(|r| record.rate.is_none_or(|t| r < t));
        known.own = known.own.filter(|own| !own.inherited && is_lower(own));
        let after = known.rate();
        if before != after {
            known.learnt = now;
        }
        (before != after).then(|| Change { endpoint: endpoint.clone(), before, after })
    }

    /// Whether a host grants requests.
    pub fn has_leader(&self, now: Duration) -> bool {
        self.leader.as_ref().is_some_and(|l| now.saturating_sub(l.heard) <= limits::CONTACT_TIMEOUT)
    }

    /// Host that grants requests, if it has been heard lately.
    pub fn leader(&self, now: Duration) -> Option<&Arc<str>> {
        self.leader.as_ref().filter(|_| self.has_leader(now)).map(|l| &l.link)
    }

    /// Requests that may be sent to an endpoint; `None` if it has no limit.
    pub fn allowance(&mut self, now: Duration, endpoint: &EndpointStart) -> Option<u32> {
        let (has_leader, entries) = (self.has_leader(now), self.entries);
        let known = self.known.get_mut(endpoint)?;
        let rate = known.rate()?.effective()?;
        if !has_leader {
            let interval = share_interval(rate, entries);
            let lifetime = share_lifetime(interval, entries);
            return Some(u32::from(known.share.is_due(now, interval, lifetime)));
        }
        known.share.next = None;
        known.held.retain(|h| h.until >= now);
        Some(u32::try_from(known.held.len()).unwrap_or(u32::MAX))
    }

    /// Uses the permission to send one request to an endpoint. Returns `false` if there is none.
    pub fn take(&mut self, now: Duration, endpoint: &EndpointStart) -> bool {
        match self.allowance(now, endpoint) {
            None => return true,
            Some(0) => return false,
            Some(_) => {}
        }
        let (has_leader, entries) = (self.has_leader(now), self.entries);
        let Some(known) = self.known.get_mut(endpoint) else { return true };
        if has_leader {
            known.held.remove(0);
        } else if let Some(rate) = known.rate().and_then(Rate::effective) {
            known.share.take(share_interval(rate, entries));
        }
        true
    }

    /// Endpoints to which a waiting request may be sent now. Each permission is returned once.
    pub fn take_offers(&mut self, now: Duration) -> Vec<EndpointStart> {
        let endpoints: Vec<EndpointStart> = self.known.keys().cloned().collect();
        let has_leader = self.has_leader(now);
        let mut offers = Vec::new();
        for endpoint in endpoints {
            let count = self.allowance(now, &endpoint).unwrap_or(0);
            let Some(known) = self.known.get_mut(&endpoint) else { continue };
            match has_leader {
                true => {
                    let new = known.held.iter_mut().filter(|h| !h.offered);
                    let new = new.map(|h| h.offered = true).count();
                    offers.extend(std::iter::repeat_n(endpoint, new));
                }
                false if count > 0 => offers.push(endpoint),
                false => {}
            }
        }
        offers
    }

    /// Time until a request for a service probably gets a grant, while `waiting` others of this host
    /// wait; `None` if no endpoint of `endpoints`, those of the service that accept requests, has a
    /// limit.
    pub fn expected_wait(
        &self,
        now: Duration,
        service: &str,
        endpoints: &[EndpointStart],
        waiting: u32,
    ) -> Option<Duration> {
        let rate = self.total_rate(endpoints)?;
        if !self.has_leader(now) {
            return Some(share_interval(rate, self.entries) * (waiting + 1));
        }
        let Some(quota) = self.services.iter().find(|s| &*s.service == service) else {
            return Some(GRANT_DELAY);
        };
        let reported = self.last_report.as_ref().map_or(0, |(_, report)| {
            report.wanted.iter().filter(|w| &*w.service == service).map(|w| w.count).sum()
        });
        let ahead = quota.wanted.saturating_sub(reported) + waiting + 1;
        let late = f64::from(ahead.saturating_sub(quota.ready));
        Some(GRANT_DELAY + Duration::from_secs_f64(late / rate))
    }

    /// Requests a second that the limited ones of these endpoints take together; `None` if none is
    /// limited.
    pub fn total_rate(&self, endpoints: &[EndpointStart]) -> Option<f64> {
        let rates = endpoints.iter().filter_map(|e| self.rate(e)?.effective());
        let rate: f64 = rates.sum();
        (rate > 0.0).then_some(rate)
    }

    /// Interval at which callers of this host should return to a service with these endpoints and their
    /// slots, so that the callers of all entries together come as fast as requests can start. One
    /// takes `run_time`. `None` if no endpoint has a limit.
    pub fn return_interval(
        &self,
        endpoints: &[(EndpointStart, u32)],
        run_time: Option<Duration>,
    ) -> Option<Duration> {
        let (mut rate, mut limited) = (0.0, 0.0);
        for (endpoint, slots) in endpoints {
            match self.rate(endpoint).and_then(Rate::effective) {
                Some(limit) => limited += limit,
                None => rate += run_time.map_or(0.0, |t| f64::from(*slots) / t.as_secs_f64()),
            }
        }
        let share = (rate + limited) / f64::from(self.entries.max(1));
        (limited > 0.0).then(|| Duration::from_secs_f64(1.0 / share))
    }

    /// Report to the granting host that is due now, if any. `wanted` lists the requests that wait, and
    /// `start_time` is the start of this process.
    pub fn next_report(
        &mut self,
        now: Duration,
        start_time: u64,
        wanted: Vec<limits::Want>,
    ) -> Option<limits::Report> {
        if self.known.is_empty() && self.leader.is_none() {
            return None;
        }
        let is_due = |own: &Own| own.due <= now;
        let mut statements = Vec::new();
        for (endpoint, known) in self.known.iter_mut() {
            let Some(own) = known.own.as_mut().filter(|own| is_due(own)) else { continue };
            own.due = now + STATEMENT_INTERVAL;
            let endpoint = endpoint.clone();
            statements.push(limits::Statement { endpoint, rate: own.rate, basis: own.basis });
        }
        let term = self.leader.as_ref().map(|l| l.term);
        let (known, received) = (self.version, self.received);
        let seq = self.seq + 1;
        let report = limits::Report { start_time, seq, term, known, received, statements, wanted };
        let is_due = self.last_report.as_ref().is_none_or(|(sent, last)| {
            let age = now.saturating_sub(*sent);
            let repeats = !self.known.is_empty() && age >= limits::REPEAT_INTERVAL;
            let is_news = last.term != report.term || last.known != report.known;
            let begins_to_wait = last.wanted.is_empty() && !report.wanted.is_empty();
            let counts = last.wanted != report.wanted && age >= COUNT_INTERVAL;
            repeats || is_news || begins_to_wait || counts || !report.statements.is_empty()
        });
        if !is_due {
            return None;
        }
        self.seq = seq;
        self.last_report = Some((now, report.clone()));
        Some(report)
    }
}

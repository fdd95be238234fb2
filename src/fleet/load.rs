//! Number of requests running at each endpoint, according to reports of the hosts. Free of I/O.
//!
//! Without reports, several hosts that send to the same endpoints at the same moment would all
//! pick the endpoint that looks free to them and overload it. Each entry reports to the host that
//! places items, which tells it what the other hosts run.
//!
//! Designed for a fleet whose every entry may use every endpoint, under steps of the load to
//! several times its mean. The host that places items keeps a running sum over the entries, so that
//! a report costs it as much as the report is long, and sends each entry only the endpoints whose
//! numbers changed. Changes at endpoints in other failure domains are sent less often, since an
//! entry prefers the endpoints in its own.

use crate::fleet::frame;
use crate::sorted;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Hash that stands for the id of an endpoint in reports. If the keys of two ids collide, the
/// requests of both endpoints are counted for each of them, which does no other harm.
pub type EndpointKey = u32;

/// Age above which a report is ignored. Hosts with running requests repeat their report several
/// times within this period.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Key of an endpoint's id.
pub fn endpoint_key(id: &str) -> EndpointKey {
    // Keeps the low half of the hash.
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as EndpointKey
}

/// Report and when it was received.
#[derive(Debug)]
struct Received<T> {
    report: T,
    received: Duration,
}

impl<T> Received<T> {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.received) <= MAX_REPORT_AGE
    }
}

/// Whether a report is newer than the known one; both are given as start time of the sender and
/// sequence number. Any other start time counts as newer, even an earlier one: the clock of the
/// sender may have been set back before its restart.
fn is_newer(known: (u64, u64), report: (u64, u64)) -> bool {
    known.0 != report.0 || known.1 < report.1
}

/// Requests of other hosts at one endpoint: online requests, then batch items.
pub type OtherRequests = (u32, u32);

/// What a host that places items has reported.
#[derive(Debug)]
struct OtherReport {
    start_time: u64,
    seq: u64,
    /// Whether no report is missing since the last complete one.
    complete: bool,
    running: sorted::SortedMap<EndpointKey, OtherRequests>,
}

/// Most changes that are kept. An entry that has not been told of an older one is told of every
/// endpoint that differs.
const MAX_RECENT_CHANGES: usize = 4_096;

/// Endpoints whose requests changed, in order, with repetitions.
#[derive(Debug, Default)]
struct Changes {
    /// Number of changes so far.
    total: u64,
    /// Latest changes.
    recent: VecDeque<EndpointKey>,
}

impl Changes {
    fn record(&mut self, key: EndpointKey) {
        self.total += 1;
        if self.recent.len() == MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
        self.recent.push_back(key);
    }

    /// Records the endpoints at which two reports of an entry differ; both are sorted.
    fn record_difference(&mut self, a: &frame::EntryLoad, b: &frame::EntryLoad) {
        let count = |report: &frame::EntryLoad, key: EndpointKey| {
            let at = report.running.binary_search_by_key(&key, |(k, _)| *k);
            at.map_or(0, |at| report.running[at].1)
        };
        let differing = a.running.iter().filter(|(key, n)| count(b, *key) != *n);
        let new = b.running.iter().filter(|(key, _)| count(a, *key) == 0);
        differing.chain(new).for_each(|(key, _)| self.record(*key));
    }

    /// Changes after the first `count` ones; `None` if some of them are no longer kept.
    fn since(&self, count: u64) -> Option<impl Iterator<Item = EndpointKey>> {
        let missed = usize::try_from(self.total - count).ok()?;
        let skipped = self.recent.len().checked_sub(missed)?;
        Some(self.recent.range(skipped..).copied())
    }
}

/// Requests of this host and reported requests of other hosts, by endpoint.
#[derive(Debug, Default)]
pub struct Loads {
    /// Running requests of this host.
    own: sorted::SortedMap<EndpointKey, u32>,
    /// Latest report of each entry; filled at the host that places items.
    entries: sorted::SortedMap<Arc<str>, Received<frame::EntryLoad>>,
    /// Sum of the reports in `entries`.
    online: sorted::SortedMap<EndpointKey, u32>,
    /// Latest report of each host that places items; filled at entries. After a change of leader
    /// there are two of them for a short time.
    others: sorted::SortedMap<Arc<str>, Received<OtherReport>>,
    /// Changes of `own` and of the reports in `entries`.
    changes: Changes,
}

/// Requests that are running at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// Requests of this host.
    pub own: u32,
    /// Online requests of other hosts.
    pub online: u32,
    /// Batch items of other hosts.
    pub batch: u32,
}

impl Loads {
    /// Counts the start of a request of this host.
    pub fn add_request(&mut self, endpoint: &str) {
        let key = endpoint_key(endpoint);
        *self.own.entry_or(key, || 0) += 1;
        self.changes.record(key);
    }

    /// Counts the end of a request of this host.
    pub fn remove_request(&mut self, endpoint: &str) {
        let key = endpoint_key(endpoint);
        subtract(&mut self.own, key, 1);
        self.changes.record(key);
    }

    /// Stores the report of an entry unless it is outdated.
    pub fn record_entry_load(&mut self, now: Duration, from: &Arc<str>, report: frame::EntryLoad) {
        let known = self.entries.get(from).map(|r| (r.report.start_time, r.report.seq));
        if known.is_some_and(|known| !is_newer(known, (report.start_time, report.seq))) {
            return;
        }
        for (key, count) in &report.running {
            *self.online.entry_or(*key, || 0) += count;
        }
        let former = self.entries.remove(from).map(|r| r.report);
        if let Some(former) = &former {
            subtract_report(&mut self.online, former);
        }
        match &former {
            Some(former) => self.changes.record_difference(former, &report),
            None => report.running.iter().for_each(|(key, _)| self.changes.record(*key)),
        }
        self.entries.insert(from.clone(), Received { report, received: now });
    }

    /// Drops the reports of entries that have stopped reporting.
    pub fn remove_expired(&mut self, now: Duration) {
        let (online, changes) = (&mut self.online, &mut self.changes);
        self.entries.retain(|_, r| {
            let fresh = r.is_fresh(now);
            if !fresh {
                subtract_report(online, &r.report);
                r.report.running.iter().for_each(|(key, _)| changes.record(*key));
            }
            fresh
        });
    }

    /// Stores the report of a host that places items unless it is outdated.
    pub fn record_other_load(&mut self, now: Duration, from: &Arc<str>, report: frame::OtherLoad) {
        self.others.retain(|_, r| r.is_fresh(now));
        let frame::OtherLoad { start_time, seq, complete, running } = report;
        let known = self.others.get_mut(from);
        if known
            .as_ref()
            .is_some_and(|k| !is_newer((k.report.start_time, k.report.seq), (start_time, seq)))
        {
            return;
        }
        let running = running.into_iter().map(|(key, online, batch)| (key, (online, batch)));
        if complete || known.is_none() {
            let running = running.collect();
            let report = OtherReport { start_time, seq, complete, running };
            self.others.insert(from.clone(), Received { report, received: now });
            return;
        }
        let Some(Received { report, received }) = known else { return };
        report.complete &= report.start_time == start_time && report.seq + 1 == seq;
        (report.start_time, report.seq, *received) = (start_time, seq, now);
        for (key, requests) in running {
            match requests {
                (0, 0) => report.running.remove(&key),
                requests => report.running.insert(key, requests),
            };
        }
    }

    /// Requests that are running at an endpoint.
    pub fn running(&self, now: Duration, endpoint: &str) -> Running {
        let key = endpoint_key(endpoint);
        let count = |counts: &sorted::SortedMap<EndpointKey, u32>| counts.get(&key).copied();
        let own = count(&self.own).unwrap_or(0);
        let mut running =
            Running { own, online: count(&self.online).unwrap_or(0), ..Running::default() };
        let latest = self.others.values().filter(|r| r.is_fresh(now)).max_by_key(|r| r.received);
        if let Some((online, batch)) = latest.and_then(|l| l.report.running.get(&key)) {
            running.online += online;
            running.batch += batch;
        }
        running
    }

    /// Number of running requests of this host.
    pub fn own_total(&self) -> u32 {
        self.own.values().sum()
    }

    /// Running requests of this host by endpoint, sorted by key.
    pub fn own_requests(&self) -> Vec<(EndpointKey, u32)> {
        self.own.iter().map(|(key, count)| (*key, *count)).collect()
    }

    /// Hosts that place items and expect reports of this host, and whether this host has complete
    /// reports of theirs.
    pub fn report_targets(&self, now: Duration) -> Vec<(Arc<str>, bool)> {
        let fresh = self.others.iter().filter(|(_, r)| r.is_fresh(now));
        fresh.map(|(host, r)| (host.clone(), r.report.complete)).collect()
    }

    /// Whether the entry `from` has asked for a complete report.
    fn lacks_report(&self, from: &Arc<str>) -> bool {
        self.entries.get(from).is_some_and(|r| !r.report.synced)
    }

    /// Requests at each endpoint other than those of the entry `to`: online requests of the other
    /// entries, then items of this host. Sorted by key.
    pub fn other_load(&self, to: &Arc<str>) -> Vec<(EndpointKey, OtherRequests)> {
        let others = self.other_loads(to);
        let mut keys: Vec<EndpointKey> = self.busy_endpoints().collect();
        keys.sort_unstable();
        keys.dedup();
        let load = keys.into_iter().map(|key| (key, others.at(key)));
        load.filter(|(_, requests)| *requests != (0, 0)).collect()
    }

    /// Lookup of the requests other than those of the entry `to`.
    fn other_loads(&self, to: &Arc<str>) -> OtherLoads<'_> {
        let report = self.entries.get(to);
        OtherLoads { loads: self, excluded: report.map_or(&[], |r| &r.report.running[..]) }
    }

    /// Endpoints at which requests run.
    fn busy_endpoints(&self) -> impl Iterator<Item = EndpointKey> {
        self.online.keys().chain(self.own.keys()).copied()
    }
}

/// Finds the requests at single endpoints other than those of one entry.
struct OtherLoads<'a> {
    loads: &'a Loads,
    /// Requests of the entry, sorted by endpoint.
    excluded: &'a [(EndpointKey, u32)],
}

impl OtherLoads<'_> {
    fn at(&self, key: EndpointKey) -> OtherRequests {
        let excluded = self.excluded.binary_search_by_key(&key, |(k, _)| *k);
        let excluded = excluded.map_or(0, |at| self.excluded[at].1);
        let online = self.loads.online.get(&key).copied().unwrap_or(0);
        let batch = self.loads.own.get(&key).copied().unwrap_or(0);
        (online.saturating_sub(excluded), batch)
    }
}

fn subtract(counts: &mut sorted::SortedMap<EndpointKey, u32>, key: EndpointKey, less: u32) {
    if let Some(count) = counts.get_mut(&key) {
        *count = count.saturating_sub(less);
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

fn subtract_report(online: &mut sorted::SortedMap<EndpointKey, u32>, report: &frame::EntryLoad) {
    for (key, count) in &report.running {
        subtract(online, *key, *count);
    }
}

/// Interval after which an unchanged report is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of changes at endpoints in other failure domains than the entry.
const FAR_INTERVAL: Duration = Duration::from_millis(90);

/// What was reported to one entry.
#[derive(Debug, Default)]
struct SentReport {
    running: sorted::SortedMap<EndpointKey, OtherRequests>,
    sent: Duration,
    far_sent: Duration,
    seq: u64,
    /// Whether the entry has had a complete report.
    synced: bool,
    /// Number of changes of which the entry knows at endpoints in its failure domain.
    near_changes: u64,
    /// Number of changes of which the entry knows at every endpoint.
    far_changes: u64,
}

/// Reports of the host that places items to the entries.
#[derive(Debug, Default)]
pub struct Reporter {
    sent: sorted::SortedMap<Arc<str>, SentReport>,
}

impl Reporter {
    /// Forgets what was reported, so that every entry gets a complete report again.
    pub fn reset(&mut self) {
        for (_, sent) in self.sent.iter_mut() {
            sent.synced = false;
        }
    }

    /// Forgets the entries for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Arc<str>) -> bool) {
        self.sent.retain(|to, _| keep(to));
    }

    /// Returns the report for the entry `to` that is due now; `None` if it knows enough.
    /// `is_near` tells whether an endpoint is in the failure domain of the entry.
    pub fn next_report(
        &mut self,
        now: Duration,
        to: &Arc<str>,
        start_time: u64,
        loads: &Loads,
        is_near: impl Fn(EndpointKey) -> bool,
    ) -> Option<frame::OtherLoad> {
        let sent = self.sent.entry_or(to.clone(), SentReport::default);
        let complete = !sent.synced || loads.lacks_report(to);
        let far_due = complete || now.saturating_sub(sent.far_sent) >= FAR_INTERVAL;
        if complete {
            sent.running.clear();
        }
        let known = if far_due { sent.far_changes } else { sent.near_changes };
        let changed = if complete { None } else { loads.changes.since(known) };
        let mut keys: Vec<EndpointKey> = match changed {
            Some(changed) => changed.collect(),
            None => loads.busy_endpoints().chain(sent.running.keys().copied()).collect(),
        };
        keys.sort_unstable();
        keys.dedup();
        sent.near_changes = loads.changes.total;
        if far_due {
            sent.far_changes = loads.changes.total;
        }
        let current = loads.other_loads(to);
        let mut running = Vec::new();
        for key in keys.into_iter().filter(|key| far_due || is_near(*key)) {
            let (online, batch) = current.at(key);
            if sent.running.get(&key).copied().unwrap_or_default() != (online, batch) {
                running.push((key, online, batch));
            }
        }
        let repeat = now.saturating_sub(sent.sent) >= REPEAT_INTERVAL;
        if running.is_empty() && !complete && !repeat {
            return None;
        }
        if far_due {
            sent.far_sent = now;
        }
        for (key, online, batch) in &running {
            match (online, batch) {
                (0, 0) => sent.running.remove(key),
                _ => sent.running.insert(*key, (*online, *batch)),
            };
        }
        (sent.sent, sent.synced) = (now, true);
        sent.seq += 1;
        Some(frame::OtherLoad { start_time, seq: sent.seq, complete, running })
    }
}

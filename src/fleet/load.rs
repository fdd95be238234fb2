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
        *self.own.entry_or(endpoint_key(endpoint), || 0) += 1;
    }

    /// Counts the end of a request of this host.
    pub fn remove_request(&mut self, endpoint: &str) {
        subtract(&mut self.own, endpoint_key(endpoint), 1);
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
        let received = Received { report, received: now };
        if let Some(former) = self.entries.insert(from.clone(), received) {
            subtract_report(&mut self.online, &former.report);
        }
    }

    /// Drops the reports of entries that have stopped reporting.
    pub fn remove_expired(&mut self, now: Duration) {
        let online = &mut self.online;
        self.entries.retain(|_, r| {
            let fresh = r.is_fresh(now);
            if !fresh {
                subtract_report(online, &r.report);
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
        let own_online = self.entries.get(to).map(|r| &r.report.running[..]).unwrap_or_default();
        let mut own_online = own_online.iter().peekable();
        let mut load = Vec::with_capacity(self.online.len().max(self.own.len()));
        for (key, online, batch) in merge(&self.online, &self.own) {
            while own_online.next_if(|(other, _)| *other < key).is_some() {}
            let excluded = own_online.next_if(|(other, _)| *other == key).map_or(0, |(_, n)| *n);
            let online = online.saturating_sub(excluded);
            if (online, batch) != (0, 0) {
                load.push((key, (online, batch)));
            }
        }
        load
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

/// Merges online requests and items by endpoint, in the order of the keys.
fn merge<'a>(
    online: &'a sorted::SortedMap<EndpointKey, u32>,
    batch: &'a sorted::SortedMap<EndpointKey, u32>,
) -> impl Iterator<Item = (EndpointKey, u32, u32)> + 'a {
    let (mut online, mut batch) = (online.iter().peekable(), batch.iter().peekable());
    std::iter::from_fn(move || {
        let key = match (online.peek(), batch.peek()) {
            (Some((a, _)), Some((b, _))) => **a.min(b),
            (Some((key, _)), None) | (None, Some((key, _))) => **key,
            (None, None) => return None,
        };
        let of_online = online.next_if(|(k, _)| **k == key).map_or(0, |(_, n)| *n);
        let of_batch = batch.next_if(|(k, _)| **k == key).map_or(0, |(_, n)| *n);
        Some((key, of_online, of_batch))
    })
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
        let current = loads.other_load(to);
        let mut running = Vec::new();
        if complete {
            sent.running.clear();
        }
        for (key, requests) in &current {
            if (far_due || is_near(*key)) && sent.running.get(key) != Some(requests) {
                running.push((*key, requests.0, requests.1));
            }
        }
        let ended = sent.running.keys().filter(|key| {
            (far_due || is_near(**key)) && current.binary_search_by_key(*key, |c| c.0).is_err()
        });
        running.extend(ended.map(|key| (*key, 0, 0)));
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
        running.sort_unstable();
        Some(frame::OtherLoad { start_time, seq: sent.seq, complete, running })
    }
}

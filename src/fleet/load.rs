//! Number of requests running at each endpoint, according to reports of the hosts. Free of I/O.
//!
//! Without reports, several hosts that send to the same endpoints at the same moment would all
//! pick the endpoint that looks free to them and overload it. Each entry reports to the host that
//! places items, which tells it what the other hosts run. The number of reports thus grows with
//! the number of entries and not with its square.

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

/// Requests of this host and reported requests of other hosts, by endpoint.
#[derive(Debug, Default)]
pub struct Loads {
    /// Running requests of this host.
    own: sorted::SortedMap<EndpointKey, u32>,
    /// Latest report of each entry; filled at the host that places items.
    entries: sorted::SortedMap<Arc<str>, Received<frame::EntryLoad>>,
    /// Latest report of each host that places items; filled at entries. After a change of leader
    /// there are two of them for a short time.
    others: sorted::SortedMap<Arc<str>, Received<frame::OtherLoad>>,
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
        let key = endpoint_key(endpoint);
        if let Some(count) = self.own.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(&key);
            }
        }
    }

    /// Stores the report of an entry unless it is outdated.
    pub fn record_entry_load(&mut self, now: Duration, from: &Arc<str>, report: frame::EntryLoad) {
        let known = self.entries.get(from).map(|r| (r.report.start_time, r.report.seq));
        if known.is_none_or(|known| is_newer(known, (report.start_time, report.seq))) {
            self.entries.retain(|_, r| r.is_fresh(now));
            self.entries.insert(from.clone(), Received { report, received: now });
        }
    }

    /// Stores the report of a host that places items unless it is outdated.
    pub fn record_other_load(&mut self, now: Duration, from: &Arc<str>, report: frame::OtherLoad) {
        let known = self.others.get(from).map(|r| (r.report.start_time, r.report.seq));
        if known.is_none_or(|known| is_newer(known, (report.start_time, report.seq))) {
            self.others.retain(|_, r| r.is_fresh(now));
            self.others.insert(from.clone(), Received { report, received: now });
        }
    }

    /// Requests that are running at an endpoint.
    pub fn running(&self, now: Duration, endpoint: &str) -> Running {
        let key = endpoint_key(endpoint);
        let own = self.own.get(&key).copied().unwrap_or(0);
        let mut running = Running { own, ..Running::default() };
        for entry in self.entries.values().filter(|r| r.is_fresh(now)) {
            if let Ok(at) = entry.report.running.binary_search_by_key(&key, |r| r.0) {
                running.online += entry.report.running[at].1;
            }
        }
        let latest = self.others.values().filter(|r| r.is_fresh(now)).max_by_key(|r| r.received);
        if let Some(total) = latest
            && let Ok(at) = total.report.running.binary_search_by_key(&key, |r| r.0)
        {
            let (_, online, batch) = total.report.running[at];
            running.online += online;
            running.batch += batch;
        }
        running
    }

    /// Running requests of this host by endpoint, sorted by key.
    pub fn own_requests(&self) -> Vec<(EndpointKey, u32)> {
        self.own.iter().map(|(key, count)| (*key, *count)).collect()
    }

    /// Hosts that place items and expect reports of this host.
    pub fn report_targets(&self, now: Duration) -> Vec<Arc<str>> {
        let fresh = self.others.iter().filter(|(_, r)| r.is_fresh(now));
        fresh.map(|(host, _)| host.clone()).collect()
    }

    /// Requests at each endpoint other than those of the entry `to`: online requests of the other
    /// entries, then items of this host. Sorted by key.
    pub fn other_load(&self, now: Duration, to: &Arc<str>) -> Vec<(EndpointKey, u32, u32)> {
        let mut total: sorted::SortedMap<EndpointKey, (u32, u32)> = sorted::SortedMap::new();
        for (_, entry) in self.entries.iter().filter(|(from, r)| *from != to && r.is_fresh(now)) {
            for (key, count) in &entry.report.running {
                total.entry_or(*key, || (0, 0)).0 += count;
            }
        }
        for (key, count) in self.own.iter() {
            total.entry_or(*key, || (0, 0)).1 += count;
        }
        total.iter().map(|(key, (online, batch))| (*key, *online, *batch)).collect()
    }
}

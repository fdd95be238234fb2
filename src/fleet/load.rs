//! Requests that run at endpoints, as far as the hosts report them; free of I/O.
//!
//! Answers the load pattern of several hosts that send to the same endpoints at the same moment:
//! without reports each would fill the endpoint that looks free to it. Entries report to the host
//! that places items, which tells each of them what the others run, so that the reports grow with
//! the number of entries and not with its square.

use crate::fleet::frame;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Short form of an endpoint's id in reports. Two ids with the same key would only count each
/// other's requests.
pub type Key = u32;

/// Age above which a report no longer counts. Hosts with running requests repeat their report
/// several times within it.
const STALE: Duration = Duration::from_millis(1_000);

/// Key of an endpoint's id.
pub fn key(id: &str) -> Key {
    // The low half of the hash.
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as Key
}

#[derive(Debug)]
struct Report<T> {
    report: T,
    heard: Duration,
}

impl<T> Report<T> {
    fn fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) <= STALE
    }
}

/// Whether a report is later than the known one. Any other start counts as later: the time of day
/// may have been set back meanwhile.
fn newer(known: (u64, u64), report: (u64, u64)) -> bool {
    known.0 != report.0 || known.1 < report.1
}

/// Requests of this host and of others.
#[derive(Debug, Default)]
pub struct Loads {
    own: sorted::SortedMap<Key, u32>,
    /// Reports of entries, at the host that places items.
    entries: sorted::SortedMap<Arc<str>, Report<frame::Load>>,
    /// Reports of hosts that place items, at an entry. There are two for a moment after a change
    /// of leader.
    totals: sorted::SortedMap<Arc<str>, Report<frame::Total>>,
}

/// Requests that run at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// Requests of this host.
    pub own: u32,
    /// Online requests of other hosts.
    pub online: u32,
    /// Items of batch jobs that other hosts run.
    pub batch: u32,
}

impl Loads {
    /// Counts one more request of this host.
    pub fn start(&mut self, endpoint: &str) {
        *self.own.entry_or(key(endpoint), || 0) += 1;
    }

    /// Counts one request of this host less.
    pub fn end(&mut self, endpoint: &str) {
        let key = key(endpoint);
        if let Some(count) = self.own.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(&key);
            }
        }
    }

    /// Takes the report of an entry; an older one changes nothing.
    pub fn note_load(&mut self, now: Duration, from: &Arc<str>, report: frame::Load) {
        let known = self.entries.get(from).map(|r| (r.report.born, r.report.seq));
        if known.is_none_or(|known| newer(known, (report.born, report.seq))) {
            self.entries.retain(|_, r| r.fresh(now));
            self.entries.insert(from.clone(), Report { report, heard: now });
        }
    }

    /// Takes the report of a host that places items; an older one changes nothing.
    pub fn note_total(&mut self, now: Duration, from: &Arc<str>, report: frame::Total) {
        let known = self.totals.get(from).map(|r| (r.report.born, r.report.seq));
        if known.is_none_or(|known| newer(known, (report.born, report.seq))) {
            self.totals.retain(|_, r| r.fresh(now));
            self.totals.insert(from.clone(), Report { report, heard: now });
        }
    }

    /// Requests at an endpoint.
    pub fn running(&self, now: Duration, endpoint: &str) -> Running {
        let key = key(endpoint);
        let own = self.own.get(&key).copied().unwrap_or(0);
        let mut running = Running { own, ..Running::default() };
        for entry in self.entries.values().filter(|r| r.fresh(now)) {
            if let Ok(at) = entry.report.running.binary_search_by_key(&key, |r| r.0) {
                running.online += entry.report.running[at].1;
            }
        }
        let latest = self.totals.values().filter(|r| r.fresh(now)).max_by_key(|r| r.heard);
        if let Some(total) = latest
            && let Ok(at) = total.report.running.binary_search_by_key(&key, |r| r.0)
        {
            let (_, online, batch) = total.report.running[at];
            running.online += online;
            running.batch += batch;
        }
        running
    }

    /// Requests of this host by endpoint.
    pub fn own(&self) -> Vec<(Key, u32)> {
        self.own.iter().map(|(key, count)| (*key, *count)).collect()
    }

    /// Hosts that place items and want reports.
    pub fn collectors(&self, now: Duration) -> Vec<Arc<str>> {
        let fresh = self.totals.iter().filter(|(_, r)| r.fresh(now));
        fresh.map(|(host, _)| host.clone()).collect()
    }

    /// What runs at endpoints besides the requests of the entry `to`: online requests of the other
    /// entries and the items of this host.
    pub fn total(&self, now: Duration, to: &Arc<str>) -> Vec<(Key, u32, u32)> {
        let mut total: sorted::SortedMap<Key, (u32, u32)> = sorted::SortedMap::new();
        for (_, entry) in self.entries.iter().filter(|(from, r)| *from != to && r.fresh(now)) {
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

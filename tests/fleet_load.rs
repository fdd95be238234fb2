//! Load reports in a large fleet under steps of the load.

use basilfield::fleet::frame;
use basilfield::fleet::load;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const ENTRIES: usize = 88;
const ENDPOINTS: usize = 160;
const DOMAINS: usize = 5;
/// Interval between reports of the host that places items.
const TICK: Duration = Duration::from_millis(15);
/// Bytes that the reports to one entry may cost in a second, at steps to twice the mean load.
const MAX_REPORT_BYTES: usize = 20 << 10;

/// The host that places items, the entries, and what runs.
struct Fleet {
    leader: load::Loads,
    reporter: load::Reporter,
    entries: Vec<(Arc<str>, load::Loads)>,
    endpoints: Vec<String>,
    /// Running requests by entry and endpoint.
    running: BTreeMap<(usize, usize), u32>,
    seqs: Vec<u64>,
    now: Duration,
    rng: ChaCha8Rng,
    bytes: usize,
    /// Endpoints that were looked at for the reports.
    looked_at: Cell<usize>,
}

impl Fleet {
    fn new() -> Fleet {
        let entry = |n| (Arc::from(format!("entry-{n}")), load::Loads::default());
        Fleet {
            leader: load::Loads::default(),
            reporter: load::Reporter::default(),
            entries: (0..ENTRIES).map(entry).collect(),
            endpoints: (0..ENDPOINTS).map(|n| format!("endpoint-{n}")).collect(),
            running: BTreeMap::new(),
            seqs: vec![0; ENTRIES],
            now: Duration::from_secs(10),
            rng: ChaCha8Rng::seed_from_u64(1),
            bytes: 0,
            looked_at: Cell::new(0),
        }
    }

    fn start(&mut self, entry: usize) {
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        self.entries[entry].1.add_request(&self.endpoints[endpoint]);
        *self.running.entry((entry, endpoint)).or_insert(0) += 1;
    }

    fn end(&mut self) {
        let at = self.rng.random_range(0..self.running.len());
        let (entry, endpoint) = *self.running.keys().nth(at).expect("in range");
        self.entries[entry].1.remove_request(&self.endpoints[endpoint]);
        let count = self.running.get_mut(&(entry, endpoint)).expect("running");
        *count -= 1;
        if *count == 0 {
            self.running.remove(&(entry, endpoint));
        }
    }

    /// Lets the entries and the host that places items report. `is_lost` tells which reports to the
    /// entries are lost.
    fn report(&mut self, is_lost: impl Fn(usize) -> bool) {
        self.now += TICK;
        let from: Arc<str> = "store".into();
        for (n, (link, loads)) in self.entries.iter().enumerate() {
            self.seqs[n] += 1;
            let synced = loads.report_targets(self.now).iter().all(|(_, synced)| *synced);
            let (seq, running) = (self.seqs[n], loads.own_requests());
            let report = frame::EntryLoad { start_time: 1, seq, synced, running };
            self.leader.record_entry_load(self.now, link, report);
        }
        self.leader.remove_expired(self.now);
        let near: Vec<(load::EndpointKey, usize)> =
            self.endpoints.iter().enumerate().map(|(n, e)| (load::endpoint_key(e), n)).collect();
        for (n, (link, loads)) in self.entries.iter_mut().enumerate() {
            let is_near = |key| {
                self.looked_at.update(|n| n + 1);
                near.iter().any(|(k, e)| *k == key && e % DOMAINS == n % DOMAINS)
            };
            let report = self.reporter.next_report(self.now, link, 1, &self.leader, is_near);
            if let Some(report) = report {
                self.bytes += postcard::to_stdvec(&report).expect("encodes").len();
                if !is_lost(n) {
                    loads.record_other_load(self.now, &from, report);
                }
            }
        }
    }

    /// Number of endpoints of which an entry has another count than what runs. `near` counts only
    /// those in its failure domain.
    fn wrong_counts(&self, near: bool) -> usize {
        let mut wrong = 0;
        for (n, (_, loads)) in self.entries.iter().enumerate() {
            for (e, id) in self.endpoints.iter().enumerate() {
                if near && e % DOMAINS != n % DOMAINS {
                    continue;
                }
                let total: u32 =
                    (0..ENTRIES).filter_map(|entry| self.running.get(&(entry, e))).sum();
                let known = loads.running(self.now, id);
                wrong += usize::from(known.own + known.online != total);
            }
        }
        wrong
    }

    /// Runs steps of the load between 0.39 and 1.91 times a mean of 824 requests/s.
    fn run_steps(&mut self, ticks: u32, is_lost: impl Fn(usize) -> bool) {
        for tick in 0..ticks {
            let peak = tick % 400 >= 240;
            let (starts, target) = if peak { (24, 1_000) } else { (5, 260) };
            for _ in 0..starts {
                let entry = self.rng.random_range(0..ENTRIES);
                self.start(entry);
            }
            while self.running.values().sum::<u32>() > target {
                self.end();
            }
            self.report(&is_lost);
        }
    }
}

/// Guards against entries that count an endpoint wrong after a report, or after lost reports, and
/// against reports whose cost grows with entries times endpoints under steps of the load.
#[test]
fn reports_are_exact_and_small_in_a_large_fleet() {
    let mut fleet = Fleet::new();
    fleet.run_steps(400, |_| false);
    let seconds = 400 * TICK.as_millis() as usize / 1_000;
    let bytes = fleet.bytes / ENTRIES / seconds;
    let near = fleet.wrong_counts(true);
    // The changes in other domains follow within their interval.
    for _ in 0..7 {
        fleet.report(|_| false);
    }
    let all = fleet.wrong_counts(false);
    fleet.run_steps(20, |entry| entry < 3);
    let lost = fleet.wrong_counts(false);
    for _ in 0..30 {
        fleet.report(|_| false);
    }
    let recovered = fleet.wrong_counts(false);
    assert_eq!((near, all, recovered), (0, 0, 0), "{lost} wrong while reports were lost");
    assert!(lost > 0, "lost reports have an effect");
    assert!(bytes <= MAX_REPORT_BYTES, "{bytes} bytes a second for each entry");
}

/// Guards against a host that places items and looks at every endpoint for every entry each time,
/// though few endpoints have changed.
#[test]
fn reports_look_only_at_changes() {
    let mut fleet = Fleet::new();
    fleet.run_steps(400, |_| false);
    fleet.looked_at.set(0);
    let ticks = 60;
    for _ in 0..ticks {
        fleet.start(0);
        fleet.end();
        fleet.report(|_| false);
    }
    let each = fleet.looked_at.get() / ticks / ENTRIES;
    assert!(each <= 2, "{each} endpoints are looked at for each entry and report");
}

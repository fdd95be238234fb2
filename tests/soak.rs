//! Randomized faults against the hosts as separate processes, injected from outside.
//!
//! `cargo test --test soak` plays a few seeds. `SOAK_SEEDS=100-149 cargo test --release --test
//! soak -- --nocapture` plays others, and `SOAK_KEEP=FOLDER` keeps the logs of a failed one.
//! `SOAK_SIZE=9,30,20` plays with that many stores, entries and endpoints. What is checked is what
//! clients, endpoints and operators see:
//!
//! - a stream is whole, in order and the request's own, or is seen to be broken;
//! - a request that must not be repeated runs at most once, and one that was refused never runs;
//! - an endpoint gets only requests that a client sent, unchanged;
//! - the results of an accepted job keep their positions and texts, and every item is listed once
//!   the faults are over;
//! - an acknowledged configuration is never read in an older state.

mod fleet_world;

use fleet_world::Role;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::Ended;
use fleet_world::proxy;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time;

/// Seeds of the run in CI, and the cases that once failed, each with its cause: in 12 the store
/// hosts restart before the job group is formed.
const SEEDS: [u64; 3] = [1, 2, 12];
/// Time of faults of one seed.
const FAULTS: Duration = Duration::from_secs(12);
/// Time in which everything must work again after the last fault: an election, the return of
/// endpoints and the run of all accepted items.
const RECOVER: Duration = Duration::from_secs(40);
/// Clients that send streams, half of them requests that must not be repeated.
const CLIENTS: usize = 6;
/// Items of each job.
const ITEMS: usize = 6;
/// Most milliseconds by which the clock of a host is wrong.
const CLOCK: i64 = 600_000;
/// Time after an acknowledgement from which no older configuration may be read.
const APPLY: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Seen {
    streams: BTreeMap<String, Ended>,
    jobs: Vec<String>,
    problems: Vec<String>,
    /// Acknowledged versions with the time of the acknowledgement.
    versions: Vec<(time::Instant, u64)>,
}

impl Seen {
    fn note(&mut self, id: String, ended: Ended) {
        if let Ended::Wrong(problem) = &ended {
            self.problems.push(problem.clone());
        }
        self.streams.insert(id, ended);
    }
}

type Shared = Arc<Mutex<Seen>>;

/// Sends streams one after the other until the stop.
async fn stream_client(
    entries: Arc<Vec<SocketAddr>>,
    seed: u64,
    number: usize,
    seen: Shared,
    stop: Arc<AtomicBool>,
) {
    let prefix = if number.is_multiple_of(2) { fleet_world::STREAM } else { fleet_world::ONCE };
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("s{seed}-{number}-{n}");
        let ended = client::stream(entries[(number + n) % entries.len()], prefix, &id).await;
        let pause = if ended == Ended::Whole { 20 } else { 100 };
        seen.lock().unwrap().note(id, ended);
        time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Submits jobs and reads them again and again until the stop.
async fn job_client(entries: Arc<Vec<SocketAddr>>, seed: u64, seen: Shared, stop: Arc<AtomicBool>) {
    let mut results: BTreeMap<String, Vec<serde_json::Value>> = BTreeMap::new();
    for n in 0usize.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let job = format!("j{seed}-{n}");
        if client::submit(&entries, &job, ITEMS).await {
            seen.lock().unwrap().jobs.push(job.clone());
            results.insert(job, Vec::new());
        }
        for (job, known) in &mut results {
            let read = client::results(entries[n % entries.len()], job, 0).await;
            let problem = match read {
                Ok(results) => client::check(job, ITEMS, known, &results).err(),
                Err(404) => Some(format!("{job} is unknown after it was accepted")),
                Err(_) => None,
            };
            seen.lock().unwrap().problems.extend(problem);
        }
        time::sleep(Duration::from_millis(400)).await;
    }
}

/// State of a run.
struct Soak {
    world: World,
    rng: ChaCha8Rng,
    seed: u64,
    seen: Shared,
    /// What ends a fault later, by time.
    later: Vec<(time::Instant, Undo)>,
    /// Roles of which a host has lost its disk; a second one would exceed what is promised.
    wiped: Vec<Role>,
    story: Vec<String>,
}

#[derive(Clone, Copy, Debug)]
enum Undo {
    Start(usize),
    Thaw(usize),
    Heal(usize),
    Endpoint(usize),
    Faultless(usize),
    Empty(usize),
}

impl Soak {
    fn pick(&mut self, choices: &[usize]) -> usize {
        choices[self.rng.random_range(0..choices.len())]
    }

    fn undo_later(&mut self, undo: Undo, least: u64, most: u64) {
        let after = Duration::from_millis(self.rng.random_range(least..=most));
        self.later.push((time::Instant::now() + after, undo));
    }

    async fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Start(at) => self.world.start_host(at, false),
            Undo::Thaw(at) => self.world.thaw(at),
            Undo::Heal(at) => self.world.hosts[at].proxy.heal(),
            Undo::Endpoint(at) => {
                if self.world.endpoints[at].is_none() {
                    self.world.start_endpoint(at).await;
                }
            }
            Undo::Empty(at) => self.world.fill_disk(at, false),
            Undo::Faultless(at) => {
                if let Some(endpoint) = &self.world.endpoints[at] {
                    endpoint.fail(Default::default());
                }
            }
        }
    }

    fn down(&mut self, at: usize) {
        self.world.thaw(at);
        self.world.kill(at);
        self.undo_later(Undo::Start(at), 100, 3_000);
    }

    /// Injects one fault.
    async fn fault(&mut self) {
        let all: Vec<usize> = (0..self.world.hosts.len()).collect();
        let at = self.pick(&all);
        let kind = self.rng.random_range(0..18);
        self.story.push(format!("{kind} at {}", self.world.hosts[at].name));
        match kind {
            0 | 1 => self.down(at),
            2 => {
                let role = self.world.hosts[at].role;
                for at in self.world.of(role) {
                    self.down(at);
                }
            }
            3 => {
                self.world.terminate(at);
                self.world.reap(at, Duration::from_millis(300)).await;
                self.undo_later(Undo::Start(at), 50, 1_000);
            }
            4 | 5 => {
                self.world.freeze(at);
                self.undo_later(Undo::Thaw(at), 200, 3_500);
            }
            6 => self.world.hangup(at),
            7 => {
                let role = self.world.hosts[at].role;
                if role != Role::Entry && !self.wiped.contains(&role) {
                    self.wiped.push(role);
                    self.down(at);
                    self.world.wipe(at);
                }
            }
            8 | 9 => {
                let from = self.pick(&all);
                let from = if kind == 8 { String::new() } else { self.world.link(from) };
                let harm = proxy::Harm {
                    mute_in: self.rng.random_bool(0.6),
                    mute_out: self.rng.random_bool(0.6),
                    delay: Duration::from_millis(self.rng.random_range(0..40)),
                };
                self.world.hosts[at].proxy.harm(&from, harm);
                self.undo_later(Undo::Heal(at), 300, 4_000);
            }
            10 => self.world.hosts[at].proxy.reset(),
            11 | 12 => {
                let endpoint = self.rng.random_range(0..self.world.endpoints.len());
                self.world.crash_endpoint(endpoint);
                self.undo_later(Undo::Endpoint(endpoint), 200, 2_000);
            }
            13 => {
                self.down(at);
                self.world.tear_log(at);
            }
            14 => {
                self.down(at);
                self.world.hosts[at].clock = self.rng.random_range(-CLOCK..=CLOCK);
            }
            15 | 16 => {
                self.world.fill_disk(at, true);
                self.undo_later(Undo::Empty(at), 200, 3_000);
            }
            _ => {
                let endpoint = self.rng.random_range(0..self.world.endpoints.len());
                let mut share = || self.rng.random_range(0.0..0.2);
                let faults = basilfield::emulator::plain::Faults {
                    cut: share(),
                    lost: share(),
                    errors: share(),
                    declined: share(),
                    strange: share(),
                    slower: 1.0,
                };
                if let Some(endpoint) = &self.world.endpoints[endpoint] {
                    endpoint.fail(faults);
                }
                self.undo_later(Undo::Faultless(endpoint), 500, 3_000);
            }
        }
    }

    /// Sends the next configuration, and reads one.
    async fn operate(&mut self) {
        self.world.version += 1;
        let version = self.world.version;
        if self.world.put_config(&self.world.config(version)).await == 200 {
            self.seen.lock().unwrap().versions.push((time::Instant::now(), version));
        }
        let asked = time::Instant::now();
        let control = self.rng.random_range(0..3);
        if let Some(read) = self.world.read_version(control).await {
            let mut seen = self.seen.lock().unwrap();
            let old = seen.versions.iter().filter(|(at, _)| *at + APPLY < asked);
            let least = old.map(|(_, version)| *version).max().unwrap_or(0);
            if read < least {
                seen.problems.push(format!("version {read} is read after {least} was accepted"));
            }
        }
    }

    async fn play(&mut self) {
        let end = time::Instant::now() + FAULTS;
        let mut beat = time::Instant::now();
        while time::Instant::now() < end {
            self.fault().await;
            let pause = Duration::from_millis(self.rng.random_range(50..900));
            let next = time::Instant::now() + pause;
            while time::Instant::now() < next {
                let now = time::Instant::now();
                let (due, rest) =
                    std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
                self.later = rest;
                let due: Vec<(time::Instant, Undo)> = due;
                for (_, undo) in due {
                    self.undo(undo).await;
                }
                time::sleep(Duration::from_millis(20)).await;
            }
            if beat.elapsed() > Duration::from_millis(700) {
                beat = time::Instant::now();
                self.world.beat().await;
            }
            if self.rng.random_bool(0.4) {
                self.operate().await;
            }
        }
        for (_, undo) in std::mem::take(&mut self.later) {
            self.undo(undo).await;
        }
        for at in 0..self.world.hosts.len() {
            self.world.thaw(at);
            self.world.hosts[at].proxy.heal();
            self.world.start_host(at, false);
        }
    }

    /// Checks that everything works again and nothing that was accepted is lost.
    async fn check(&mut self, entries: &[SocketAddr]) {
        self.world.beat_until_known().await;
        let begun = time::Instant::now();
        let jobs = self.seen.lock().unwrap().jobs.clone();
        for job in &jobs {
            let left = RECOVER.saturating_sub(begun.elapsed());
            let finished =
                client::finish(entries, job, ITEMS, &mut Vec::new(), left.max(APPLY)).await;
            self.seen.lock().unwrap().problems.extend(finished.err());
        }
        let least = self.seen.lock().unwrap().versions.iter().map(|v| v.1).max().unwrap_or(1);
        while self.world.read_version(0).await.is_none_or(|read| read < least) {
            if begun.elapsed() > RECOVER {
                let problem = format!("version {least} was accepted and is not read");
                self.seen.lock().unwrap().problems.push(problem);
                break;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
        let last = format!("last-{}", self.seed);
        let ended = client::stream(entries[0], fleet_world::STREAM, &last).await;
        if ended != Ended::Whole {
            let problem = format!("a stream after the faults: {ended:?}");
            self.seen.lock().unwrap().problems.push(problem);
        }
        let job = format!("j{}-last", self.seed);
        let problem = match client::submit(entries, &job, ITEMS).await {
            true => client::finish(entries, &job, ITEMS, &mut Vec::new(), RECOVER).await.err(),
            false => Some(format!("{job} is not accepted after the faults")),
        };
        self.seen.lock().unwrap().problems.extend(problem);
        self.check_runs();
    }

    fn check_runs(&self) {
        let runs = self.world.all_runs();
        let mut seen = self.seen.lock().unwrap();
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for run in &runs {
            *counts.entry(&run.request).or_default() += 1;
            let prefixes = [fleet_world::STREAM, fleet_world::ONCE, fleet_world::BATCH];
            let path = prefixes.iter().any(|p| *run.path == format!("{p}{}", run.request));
            if !path || run.body != xxhash_rust::xxh3::xxh3_64(run.request.as_bytes()) {
                seen.problems.push(format!("an endpoint got a changed request: {run:?}"));
            }
        }
        let mut problems = Vec::new();
        for (id, ended) in &seen.streams {
            let count = counts.get(id.as_str()).copied().unwrap_or(0);
            let odd = id.split('-').nth(1).is_some_and(|n| n.parse().unwrap_or(0) % 2 == 1);
            if odd && count > 1 {
                problems.push(format!("{id} must run once and ran {count} times"));
            }
            // A repeatable request may have run before an attempt that was refused.
            if odd && count > 0 && *ended == Ended::NotRun {
                problems.push(format!("{id} was refused as not run and ran"));
            }
        }
        seen.problems.extend(problems);
    }
}

/// Stores, entries and endpoints.
fn size() -> Size {
    let Ok(text) = std::env::var("SOAK_SIZE") else {
        return Size { stores: 3, entries: 2, endpoints: 3 };
    };
    let numbers: Result<Vec<u8>, _> = text.split(',').map(str::parse).collect();
    match numbers.as_deref() {
        Ok(&[stores, entries, endpoints]) => Size { stores, entries, endpoints },
        _ => panic!("SOAK_SIZE=STORES,ENTRIES,ENDPOINTS"),
    }
}

/// Plays one seed. Returns a summary, or what went wrong.
async fn soak(seed: u64) -> Result<String, String> {
    let world = World::start(size()).await;
    let entries = world.entries();
    let seen = Shared::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..CLIENTS {
        let (entries, seen, stop) = (entries.clone(), seen.clone(), stop.clone());
        tasks.spawn(stream_client(entries, seed, number, seen, stop));
    }
    tasks.spawn(job_client(entries.clone(), seed, seen.clone(), stop.clone()));
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let (later, wiped, story) = (Vec::new(), Vec::new(), Vec::new());
    let mut soak = Soak { world, rng, seed, seen: seen.clone(), later, wiped, story };
    soak.play().await;
    stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    soak.check(&entries).await;
    let seen = seen.lock().unwrap();
    let whole = seen.streams.values().filter(|e| **e == Ended::Whole).count();
    let summary = format!(
        "seed {seed}: {} faults, {whole} of {} streams whole, {} jobs, {} versions",
        soak.story.len(),
        seen.streams.len(),
        seen.jobs.len(),
        seen.versions.len(),
    );
    match seen.problems.is_empty() {
        true => Ok(summary),
        false => {
            keep_logs(&soak.world, seed);
            Err(format!("{summary}\n{}\n{}", soak.story.join(", "), seen.problems.join("\n")))
        }
    }
}

/// Keeps the logs of a failed seed where the caller asked for them.
fn keep_logs(world: &World, seed: u64) {
    let Some(folder) = std::env::var_os("SOAK_KEEP") else { return };
    let folder = std::path::PathBuf::from(folder).join(seed.to_string());
    std::fs::create_dir_all(&folder).expect("folder for logs");
    for file in world.log_files() {
        let name = file.file_name().expect("a file").to_owned();
        std::fs::copy(&file, folder.join(name)).expect("log kept");
    }
}

/// Guards against promises that hold only without faults.
#[test]
fn promises_hold_under_faults() {
    let seeds = match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once('-').expect("SOAK_SEEDS=FIRST-LAST");
            (first.parse().expect("number")..=last.parse().expect("number")).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime");
    let mut failed = Vec::new();
    for seed in seeds {
        match runtime.block_on(soak(seed)) {
            Ok(summary) => println!("{summary}"),
            Err(problem) => {
                println!("FAILED {problem}");
                failed.push(problem);
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}

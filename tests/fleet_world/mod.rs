//! Test fleet: hosts as separate processes on loopback addresses, endpoints, and clients that check
//! every response.

#![allow(dead_code)] // Each test file uses only a part of this module.

pub mod client;
pub mod proxy;
pub mod raw;
pub mod scripted;

#[path = "../../platform/mod.rs"]
pub mod platform;

use basilfield::emulator::plain;
use basilfield::fleet::protocol::Protocol as _;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

pub const LINK_PORT: u16 = 7720;
pub const CALLER_PORT: u16 = 7741;
pub const READY_PORT: u16 = 7742;
pub const OPERATOR_PORT: u16 = 7743;
pub const ENDPOINT_PORT: u16 = 7744;
/// Host name and path prefixes of the routes, and the service that they use.
pub const ROUTE_HOST: &str = "soak.example";
pub const STREAM_PREFIX: &str = "/stream/";
pub const ONCE_PREFIX: &str = "/once/";
pub const PLAIN_PREFIX: &str = "/plain/";
pub const BATCH_PREFIX: &str = "/batch/";
pub const SAFE_PREFIX: &str = "/safe/";
pub const SERVICE: &str = "engines";
/// Build of endpoints unless a test sets another one.
pub const DEFAULT_BUILD: &str = "v1";
/// Longest wait for a condition. Far above the expected time, since the machine may be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest time until a log line is in its file. Processes write their lines in the background.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);

/// Role of a host. The lower-case names of the variants are the values in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Store,
    Entry,
}

pub struct Host {
    pub name: String,
    pub role: Role,
    /// Address that other hosts use. The proxy listens there.
    pub address: Ipv4Addr,
    /// Address on which the process listens.
    pub process_address: Ipv4Addr,
    pub proxy: proxy::Proxy,
    /// Milliseconds by which the clock is wrong after the next start.
    pub clock_offset: i64,
    process: Option<Child>,
    starts: u32,
}

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(test);
}

/// Faults of an endpoint whose answers all pause.
pub fn pause(before: u64, length: Duration) -> plain::FaultRates {
    let pause = plain::Pause { rate: 1.0, before, length };
    plain::FaultRates { pause: Some(pause), ..plain::FaultRates::default() }
}

/// Waits until `condition` holds, at most `limit`. Returns whether it holds.
pub async fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !condition() {
        if begun.elapsed() > limit {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    true
}

/// Names of the headers of the platform's protocol.
pub fn protocol_headers() -> basilfield::fleet::protocol::Headers {
    platform::Platform::default().headers().clone()
}

/// Size of a world. The address ranges allow at most 10 control hosts, 29 stores, 159 entries and
/// 50 endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub controls: u8,
    /// Hosts with durable state that may be lost at the same time.
    pub losses: u8,
    pub stores: u8,
    pub entries: u8,
    pub endpoints: u8,
}

/// A fleet under test with its endpoints. Dropping it kills the processes.
pub struct World {
    pub dir: tempfile::TempDir,
    /// Second and third byte of every address.
    net: (u8, u8),
    pub losses: u8,
    pub hosts: Vec<Host>,
    pub endpoints: Vec<Option<plain::PlainEndpoint>>,
    /// Build under which each endpoint starts.
    pub builds: Vec<Arc<str>>,
    /// Slots of each endpoint.
    pub slots: usize,
    /// Runs at endpoints that were crashed.
    finished_runs: Vec<plain::Run>,
    pub headers: basilfield::fleet::protocol::Headers,
    pub version: u64,
    next_endpoint: u32,
    seq: u64,
}

/// Slots of an endpoint, events of a response and time between two events.
pub const ENDPOINT_OPTIONS: (usize, u64, Duration) = (6, 20, Duration::from_millis(8));

impl World {
    /// Starts all hosts and endpoints, puts a configuration in force and waits until the entries
    /// are ready.
    pub async fn start(size: Size) -> World {
        let mut world = World::prepare(size).await;
        world.start_all().await;
        world
    }

    /// Starts a world with one endpoint for each build and `slots` slots at each of them.
    pub async fn start_with_builds(size: Size, builds: &[&str], slots: usize) -> World {
        let endpoints = u8::try_from(builds.len()).expect("few endpoints");
        let mut world = World::prepare(Size { endpoints, ..size }).await;
        world.builds = builds.iter().map(|b| Arc::from(*b)).collect();
        world.slots = slots;
        world.start_all().await;
        world
    }

    async fn start_all(&mut self) {
        for at in 0..self.hosts.len() {
            self.start_host(at, true);
        }
        self.set_up().await;
    }

    /// Starts the endpoints, puts a configuration in force and waits until the entries are ready.
    pub async fn set_up(&mut self) {
        for at in 0..self.endpoints.len() {
            self.start_endpoint(at).await;
        }
        let begun = Instant::now();
        while self.put_config(&self.config(1)).await != 200 {
            assert!(begun.elapsed() < WAIT_TIMEOUT, "configuration accepted\n{}", self.logs());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.version = 1;
        self.send_heartbeats().await;
        for at in self.hosts_of(Role::Entry) {
            self.wait_until_ready(at).await;
            self.wait_until_known(at).await;
        }
    }

    /// Waits until an entry has logged every endpoint. It is ready as soon as it knows one.
    pub async fn wait_until_known(&self, at: usize) {
        let ids: Vec<String> =
            self.endpoints.iter().flatten().map(|e| format!("\"{}\"", e.id())).collect();
        let is_known = |id: &String| {
            let log = std::fs::read_to_string(self.log_file(at)).unwrap_or_default();
            log.lines().any(|l| l.contains("endpoint changed") && l.contains(&**id))
        };
        let are_known = || ids.iter().all(is_known);
        let name = &self.hosts[at].name;
        assert!(wait_until(WAIT_TIMEOUT, are_known).await, "{name} knows all\n{}", self.logs());
    }

    /// Creates a world without starting any process.
    pub async fn prepare(size: Size) -> World {
        // Tests that run at the same time use different networks.
        let net = loop {
            let net = (rand::random::<u8>() % 200 + 20, rand::random::<u8>() & 0xfe);
            let lock = SocketAddr::from(([127, net.0, net.1, 250], LINK_PORT));
            if let Ok(listener) = std::net::TcpListener::bind(lock) {
                // Keep the listener open until the process ends, as a lock on the network.
                std::mem::forget(listener);
                break net;
            }
        };
        let mut world = World {
            dir: tempfile::tempdir().expect("temporary folder"),
            net,
            losses: size.losses,
            hosts: Vec::new(),
            endpoints: (0..size.endpoints).map(|_| None).collect(),
            builds: vec![DEFAULT_BUILD.into(); size.endpoints.into()],
            slots: ENDPOINT_OPTIONS.0,
            finished_runs: Vec::new(),
            headers: protocol_headers(),
            version: 0,
            next_endpoint: 0,
            seq: 0,
        };
        let roles = [
            (Role::Control, size.controls),
            (Role::Store, size.stores),
            (Role::Entry, size.entries),
        ];
        for (role, count) in roles {
            for n in 1..=count {
                world.add_host(role, n).await;
            }
        }
        world
    }

    /// Adds a host with the number `n` within its role, without starting it. Returns its index.
    pub async fn add_host(&mut self, role: Role, n: u8) -> usize {
        let last = match role {
            Role::Control => n,
            Role::Store => 10 + n,
            Role::Entry => 40 + n,
        };
        let address = Ipv4Addr::new(127, self.net.0, self.net.1, last);
        let process_address = Ipv4Addr::new(127, self.net.0, self.net.1 + 1, last);
        let proxy =
            proxy::Proxy::start((address, LINK_PORT).into(), (process_address, LINK_PORT).into())
                .await;
        let name = format!("{role:?}-{n}").to_lowercase();
        self.hosts.push(Host {
            name,
            role,
            address,
            process_address,
            proxy,
            clock_offset: 0,
            process: None,
            starts: 0,
        });
        self.hosts.len() - 1
    }

    /// Indices of the hosts of a role.
    pub fn hosts_of(&self, role: Role) -> Vec<usize> {
        (0..self.hosts.len()).filter(|at| self.hosts[*at].role == role).collect()
    }

    /// Link address of a host.
    pub fn link(&self, at: usize) -> String {
        format!("{}:{LINK_PORT}", self.hosts[at].address)
    }

    /// Writes the settings file of a host. Returns its path.
    fn settings(&self, at: usize, bootstrap: bool) -> PathBuf {
        let host = &self.hosts[at];
        let mut text = String::new();
        let role = format!("{:?}", host.role).to_lowercase();
        let folder = self.dir.path().join(&host.name);
        let _ = write!(
            text,
            "[host]\nname = \"{}\"\nrole = \"{role}\"\ndomain = \"d{}\"\naddress = \"{}\"\n\
             bind = \"{}\"\nfolder = {folder:?}\nlog = \"json\"\nverbose = true\n\
             clock_offset = {}\n\
             [listen]\ncallers = \"{r}:{CALLER_PORT}\"\nready = \"{r}:{READY_PORT}\"\n\
             operators = \"{r}:{OPERATOR_PORT}\"\n",
            host.name,
            at % 3,
            host.address,
            host.process_address,
            host.clock_offset,
            r = host.process_address,
        );
        let seeds: Vec<String> = self
            .hosts_of(Role::Control)
            .iter()
            .take(3)
            .map(|at| format!("{}:{OPERATOR_PORT}", self.hosts[*at].address))
            .collect();
        let _ = write!(
            text,
            "[fleet]\nport = {LINK_PORT}\nseeds = {seeds:?}\nbootstrap = {bootstrap}\n\
             losses = {}\n[limits]\ngrace = 6000\n",
            self.losses,
        );
        let path = self.dir.path().join(format!("{}.toml", host.name));
        std::fs::write(&path, text).expect("settings written");
        path
    }

    /// Starts the process of a host unless it is running.
    pub fn start_host(&mut self, at: usize, bootstrap: bool) {
        if self.hosts[at].process.is_some() {
            return;
        }
        let settings = self.settings(at, bootstrap);
        let log = self.log_file(at);
        let mut log = File::options().create(true).append(true).open(log).expect("log file");
        let error = log.try_clone().expect("log file");
        // A process that ignores SIGXFSZ gets errors from writes beyond the limit of `fill_disk`.
        let mut process = Command::new("sh")
            .args(["-c", "trap '' XFSZ; exec \"$0\" host --settings \"$1\""])
            .arg(env!("CARGO_BIN_EXE_basilfield"))
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(error)
            .spawn()
            .expect("process starts");
        let mut lines = process.stdout.take().expect("piped");
        // The limit would also apply to a log file that the process writes itself.
        std::thread::spawn(move || std::io::copy(&mut lines, &mut log));
        self.hosts[at].process = Some(process);
        self.hosts[at].starts += 1;
    }

    pub fn log_file(&self, at: usize) -> PathBuf {
        self.dir.path().join(format!("{}.log", self.hosts[at].name))
    }

    /// Log files of every host.
    pub fn log_files(&self) -> Vec<PathBuf> {
        (0..self.hosts.len()).map(|at| self.log_file(at)).collect()
    }

    /// Last lines of every log, for the message of a failed assertion.
    pub fn logs(&self) -> String {
        let tail = |path: PathBuf| {
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let from = lines.len().saturating_sub(12);
            format!("== {}\n{}\n", path.display(), lines[from..].join("\n"))
        };
        self.log_files().into_iter().map(tail).collect()
    }

    /// Output of `basilfield explain ID` on every log. Repeats the command until the output holds the
    /// lines for which `is_complete` looks, at most for a bounded time.
    pub async fn explain(&self, id: &str, is_complete: impl Fn(&str) -> bool) -> String {
        let begun = Instant::now();
        loop {
            let output = Command::new(env!("CARGO_BIN_EXE_basilfield"))
                .args(["explain", id])
                .args(self.log_files())
                .output()
                .expect("command runs");
            let explanation = String::from_utf8_lossy(&output.stdout).into_owned();
            if is_complete(&explanation) || begun.elapsed() > LOG_TIMEOUT {
                return explanation;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Complete logs of the hosts of a role.
    pub fn logs_of(&self, role: Role) -> String {
        let read = |at: &usize| std::fs::read_to_string(self.log_file(*at)).unwrap_or_default();
        self.hosts_of(role).iter().map(read).collect()
    }

    fn signal(&self, at: usize, signal: rustix::process::Signal) {
        if let Some(process) = &self.hosts[at].process
            && let Some(pid) = rustix::process::Pid::from_raw(process.id() as i32)
        {
            // The process may have ended by itself.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Process id of a host that is running.
    pub fn process_id(&self, at: usize) -> u32 {
        self.hosts[at].process.as_ref().expect("the host is running").id()
    }

    /// Whether a host has been started and not stopped since.
    pub fn is_running(&self, at: usize) -> bool {
        self.hosts[at].process.is_some()
    }

    /// Whether a process that was started has exited by itself.
    pub fn has_ended(&mut self, at: usize) -> bool {
        let process = self.hosts[at].process.as_mut();
        process.is_some_and(|p| !matches!(p.try_wait(), Ok(None)))
    }

    /// Kills a process at once.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut process) = self.hosts[at].process.take() {
            // Both fail only if the process has exited already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Asks a process to stop.
    pub fn terminate(&mut self, at: usize) {
        self.signal(at, rustix::process::Signal::TERM);
    }

    /// Waits until a process that was asked to stop exits; kills it after `grace`.
    pub async fn wait_for_exit(&mut self, at: usize, grace: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < grace {
            let Some(process) = &mut self.hosts[at].process else { return };
            if matches!(process.try_wait(), Ok(Some(_))) {
                self.hosts[at].process = None;
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.kill(at);
    }

    /// Suspends a process.
    pub fn suspend(&self, at: usize) {
        self.signal(at, rustix::process::Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self, at: usize) {
        self.signal(at, rustix::process::Signal::CONT);
    }

    /// Tells a process to read its settings again.
    pub fn hangup(&self, at: usize) {
        self.signal(at, rustix::process::Signal::HUP);
    }

    /// Makes every write of a host to its files fail as on a full disk, or ends that.
    pub fn fill_disk(&self, at: usize, full: bool) {
        let most = rustix::process::getrlimit(rustix::process::Resource::Fsize).maximum;
        let current = if full { Some(0) } else { most };
        let limits = rustix::process::Rlimit { current, maximum: most };
        if let Some(process) = &self.hosts[at].process
            && let Some(pid) = rustix::process::Pid::from_raw(process.id() as i32)
        {
            // The process may have ended by itself.
            let _ = rustix::process::prlimit(Some(pid), rustix::process::Resource::Fsize, limits);
        }
    }

    /// Appends part of a record to the last log segment of a stopped host, as left by a write that
    /// was never synced. Returns whether there is a segment.
    pub fn append_torn_record(&self, at: usize) -> bool {
        assert!(!self.is_running(at), "the host is stopped");
        let group = if self.hosts[at].role == Role::Control { "control" } else { "jobs" };
        let folder = self.dir.path().join(&self.hosts[at].name).join(group);
        // Absent if the host never stored anything.
        let Ok(files) = std::fs::read_dir(folder) else { return false };
        let segments = files.flatten().map(|f| f.path());
        let Some(last) = segments.filter(|f| f.extension().is_some_and(|e| e == "log")).max()
        else {
            return false;
        };
        let mut file = File::options().append(true).open(last).expect("segment");
        file.write_all(&[7; 21]).expect("segment written");
        true
    }

    /// Deletes the data folder of a stopped host, as if it had lost its disk.
    pub fn delete_data(&self, at: usize) {
        assert!(!self.is_running(at), "the host is stopped");
        // Absent if the host never stored anything.
        let _ = std::fs::remove_dir_all(self.dir.path().join(&self.hosts[at].name));
    }

    /// Cuts the links between some hosts and all others. Callers and operators reach every host.
    pub fn cut_off(&self, hosts: &[usize]) {
        let cut =
            proxy::LinkFaults { drop_inbound: true, drop_outbound: true, ..Default::default() };
        let others = (0..self.hosts.len()).filter(|at| !hosts.contains(at));
        for (inner, outer) in others.flat_map(|o| hosts.iter().map(move |i| (*i, o))) {
            self.hosts[inner].proxy.set_faults(&self.link(outer), cut);
            self.hosts[outer].proxy.set_faults(&self.link(inner), cut);
        }
    }

    /// Starts an endpoint under a new id.
    pub async fn start_endpoint(&mut self, at: usize) {
        self.next_endpoint += 1;
        let id = format!("i-{}", self.next_endpoint);
        let (_, events, step) = ENDPOINT_OPTIONS;
        let headers = self.headers.clone();
        let options = plain::Options {
            id: id.into(),
            build: self.builds[at].clone(),
            slots: self.slots,
            event_count: events,
            event_interval: step,
            headers,
        };
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1 + 1, 200 + at as u8);
        let begun = Instant::now();
        loop {
            // The address of a crashed endpoint may still be in use.
            match plain::PlainEndpoint::start((ip, ENDPOINT_PORT).into(), options.clone()).await {
                Ok(endpoint) => {
                    self.endpoints[at] = Some(endpoint);
                    return;
                }
                Err(error) => assert!(begun.elapsed() < WAIT_TIMEOUT, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Stops an endpoint without deregistering it.
    pub fn crash_endpoint(&mut self, at: usize) {
        if let Some(endpoint) = self.endpoints[at].take() {
            self.finished_runs.extend(endpoint.runs());
        }
    }

    /// All runs at all endpoints, including those that were crashed.
    pub fn all_runs(&self) -> Vec<plain::Run> {
        let running = self.endpoints.iter().flatten().flat_map(|e| e.runs());
        self.finished_runs.iter().cloned().chain(running).collect()
    }

    /// Runs of a stream or item and of the attempts that took it up again, by their start.
    pub fn runs_of(&self, stream: &str) -> Vec<plain::Run> {
        let mut runs = self.all_runs();
        runs.retain(|r| client::stream_of(&r.request_id) == stream);
        runs.sort_by_key(|r| r.started);
        runs
    }

    /// Runs that went on with the events of another build than their own, and those of later
    /// attempts that started over.
    pub fn mixed_builds(&self) -> Vec<plain::Run> {
        let mut runs = self.all_runs();
        runs.sort_by_key(|r| r.started);
        let mut begun: BTreeMap<&str, &str> = BTreeMap::new();
        let mut mixed = Vec::new();
        for run in &runs {
            let stream = client::stream_of(&run.request_id);
            if run.last_event == 0 && *run.request_id == *stream {
                begun.insert(stream, &run.build);
            } else if run.last_event == 0 || begun.get(stream).is_some_and(|b| *b != &*run.build) {
                mixed.push(run.clone());
            }
        }
        mixed
    }

    /// Registers every endpoint at the first control host that accepts it.
    pub async fn send_heartbeats(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            for control in self.hosts_of(Role::Control) {
                if self.send_heartbeat(control, endpoint, "ready").await == 200 {
                    break;
                }
            }
        }
    }

    /// Registers an endpoint at a control host. Returns the status, 0 without an endpoint.
    pub async fn send_heartbeat(&mut self, control: usize, at: usize, state: &str) -> u16 {
        let Some(endpoint) = &self.endpoints[at] else { return 0 };
        self.seq += 1;
        let body = json!({
            "service": SERVICE, "address": endpoint.address(), "zone": format!("d{}", at % 3),
            "version": &**endpoint.build(), "slots": self.slots, "state": state, "coldMs": 0,
            "callSeq": self.seq,
        });
        let path = format!("/-/instances/{}", endpoint.id());
        let to = (self.hosts[control].process_address, OPERATOR_PORT).into();
        client::call(to, "PUT", &path, &[], body.to_string()).await.0
    }

    /// Deregisters an endpoint at a control host. Returns the status, 0 without an endpoint.
    pub async fn deregister(&self, control: usize, at: usize) -> u16 {
        let Some(endpoint) = &self.endpoints[at] else { return 0 };
        self.deregister_id(control, endpoint.id()).await
    }

    /// Deregisters an endpoint at a control host, also one that the world has not started. Returns
    /// the status.
    pub async fn deregister_id(&self, control: usize, id: &str) -> u16 {
        let path = format!("/-/instances/{id}");
        let to = (self.hosts[control].process_address, OPERATOR_PORT).into();
        client::call(to, "DELETE", &path, &[], String::new()).await.0
    }

    /// Crashes every endpoint of a build and deregisters them at the first control host that
    /// accepts it.
    pub async fn remove_build(&mut self, build: &str) {
        for at in 0..self.endpoints.len() {
            let found = self.endpoints[at].as_ref().filter(|e| &**e.build() == build);
            let Some(id) = found.map(|e| e.id().clone()) else { continue };
            self.crash_endpoint(at);
            for control in self.hosts_of(Role::Control) {
                if self.deregister_id(control, &id).await == 200 {
                    break;
                }
            }
        }
    }

    /// Slows down the endpoints of a build by a factor; of all builds if it is `None`.
    pub fn slow_down(&self, build: Option<&str>, factor: f64) {
        for endpoint in self.endpoints.iter().flatten() {
            if build.is_none_or(|b| b == &**endpoint.build()) {
                endpoint.set_faults(plain::FaultRates {
                    slowdown: factor,
                    ..plain::FaultRates::default()
                });
            }
        }
    }

    /// Repeats the heartbeats until every entry is ready.
    pub async fn send_heartbeats_until_ready(&mut self) {
        let begun = Instant::now();
        loop {
            self.send_heartbeats().await;
            let mut ready = 0;
            for at in self.hosts_of(Role::Entry) {
                let to = (self.hosts[at].process_address, READY_PORT).into();
                let call = client::call(to, "GET", "/-/ready", &[], String::new());
                ready += usize::from(call.await.0 == 200);
            }
            if ready == self.hosts_of(Role::Entry).len() {
                return;
            }
            assert!(begun.elapsed() < WAIT_TIMEOUT, "entries ready\n{}", self.logs());
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Configuration document with the given version.
    pub fn config(&self, version: u64) -> String {
        let route = |name: &str, prefix: &str, kind: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": ROUTE_HOST, "prefix": prefix, "kind": kind, "timeoutMs": 6000,
                "responseTargetMs": 300, "gapTargetMs": 300, "priority": 0, "service": SERVICE,
                "maxAttempts": attempts, "resumable": resumable, "runTargetMs": 18000,
                "maxWaitS": 60.0,
            })
        };
        json!({
            "version": version,
            "routes": [
                route("stream", STREAM_PREFIX, "streaming", 3, true),
                route("once", ONCE_PREFIX, "streaming", 1, false),
                route("plain", PLAIN_PREFIX, "safe", 3, false),
                route("batch", BATCH_PREFIX, "batch", 3, false),
                route("safe", SAFE_PREFIX, "safe", 3, false),
                route("version", &format!("/v{version}/"), "streaming", 1, false),
            ],
            "services": [{ "name": SERVICE, "maxConns": 200 }],
            "limits": { "headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000,
                "idleMs": 15000 },
        })
        .to_string()
    }

    /// Sends a document to the control hosts in turn. Returns the first status 200 or 400, or 0.
    pub async fn put_config(&self, document: &str) -> u16 {
        for control in self.hosts_of(Role::Control) {
            let to = (self.hosts[control].process_address, OPERATOR_PORT).into();
            let body = document.to_string();
            let (status, _) = client::call(to, "PUT", "/-/config", &[], body).await;
            if matches!(status, 200 | 400) {
                return status;
            }
        }
        0
    }

    /// Version of the configuration that a control host reads; `None` if the read is not confirmed.
    pub async fn read_version(&self, control: usize) -> Option<u64> {
        let to = (self.hosts[control].process_address, OPERATOR_PORT).into();
        let (status, body) = client::call(to, "GET", "/-/config", &[], String::new()).await;
        let document: serde_json::Value = serde_json::from_slice(&body).ok()?;
        document["version"].as_u64().filter(|_| status == 200)
    }

    /// Waits until an entry passes the readiness check.
    pub async fn wait_until_ready(&self, at: usize) {
        let begun = Instant::now();
        let to = (self.hosts[at].process_address, READY_PORT).into();
        while client::call(to, "GET", "/-/ready", &[], String::new()).await.0 != 200 {
            assert!(
                begun.elapsed() < WAIT_TIMEOUT,
                "{} ready\n{}",
                self.hosts[at].name,
                self.logs()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Address of the first entry for callers.
    pub fn entry(&self) -> SocketAddr {
        self.caller_address(self.hosts_of(Role::Entry)[0])
    }

    /// Endpoint that has been started and not crashed.
    pub fn endpoint(&self, at: usize) -> &plain::PlainEndpoint {
        self.endpoints[at].as_ref().expect("started")
    }

    /// Sets the faults of every endpoint.
    pub fn set_all_faults(&self, faults: plain::FaultRates) {
        for endpoint in self.endpoints.iter().flatten() {
            endpoint.set_faults(faults);
        }
    }

    /// Number of requests that run at all endpoints.
    pub fn running(&self) -> usize {
        self.endpoints.iter().flatten().map(plain::PlainEndpoint::running).sum()
    }

    /// Number of runs of a request at an endpoint.
    pub fn run_count(&self, at: usize, id: &str) -> usize {
        self.endpoint(at).runs().iter().filter(|r| &*r.request_id == id).count()
    }

    /// Starts a stream through the first entry and waits until an endpoint runs it. Returns the index
    /// of the endpoint.
    pub async fn start_stream(
        &self,
        prefix: &'static str,
        id: &str,
    ) -> (tokio::task::JoinHandle<client::StreamEnd>, usize) {
        let (to, owned) = (self.entry(), id.to_string());
        let stream = tokio::spawn(async move { client::stream(to, prefix, &owned).await });
        let at = || (0..self.endpoints.len()).find(|at| self.run_count(*at, id) > 0);
        assert!(wait_until(WAIT_TIMEOUT, || at().is_some()).await, "{}", self.logs());
        (stream, at().expect("runs"))
    }

    /// Address of an entry for callers.
    pub fn caller_address(&self, at: usize) -> SocketAddr {
        (self.hosts[at].process_address, CALLER_PORT).into()
    }

    /// Addresses of all entries for callers.
    pub fn caller_addresses(&self) -> Arc<Vec<SocketAddr>> {
        Arc::new(self.hosts_of(Role::Entry).into_iter().map(|at| self.caller_address(at)).collect())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for at in 0..self.hosts.len() {
            self.resume(at);
            self.kill(at);
        }
        if std::thread::panicking()
            && let Some(keep) = std::env::var_os("SOAK_KEEP")
        {
            // Keep the logs of a failed run in the folder named by the variable.
            for file in self.log_files() {
                let name = file.file_name().unwrap_or_default().to_owned();
                let _ = std::fs::copy(&file, PathBuf::from(&keep).join(name));
            }
        }
    }
}

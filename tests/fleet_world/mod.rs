//! Hosts as separate processes on loopback addresses, endpoints, and clients that check what they
//! get.

#![allow(dead_code)] // Each test file uses a part of it.

pub mod client;
pub mod proxy;

#[path = "../../platform/mod.rs"]
mod platform;

use basilfield::emulator::plain;
use basilfield::fleet::protocol::Protocol as _;
use serde_json::json;
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
/// Host names and prefixes of the routes.
pub const ROUTE_HOST: &str = "soak.example";
pub const STREAM_PREFIX: &str = "/stream/";
pub const ONCE_PREFIX: &str = "/once/";
pub const BATCH_PREFIX: &str = "/batch/";
pub const SERVICE: &str = "engines";
/// Longest wait for a condition. Far above what is expected, since the machine may be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Role of a host, as the settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Store,
    Entry,
}

pub struct Host {
    pub name: String,
    pub role: Role,
    /// Address that other hosts use; a proxy listens there.
    pub address: Ipv4Addr,
    /// Address of the process.
    pub process_address: Ipv4Addr,
    pub proxy: proxy::Proxy,
    /// Milliseconds by which the clock of the next start is wrong.
    pub clock_offset: i64,
    process: Option<Child>,
    starts: u32,
}

/// Size of a world: at most 29 stores, 159 entries and 50 endpoints, which the addresses permit.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub stores: u8,
    pub entries: u8,
    pub endpoints: u8,
}

pub struct World {
    pub dir: tempfile::TempDir,
    /// Second and third byte of every address.
    net: (u8, u8),
    pub hosts: Vec<Host>,
    pub endpoints: Vec<Option<plain::Plain>>,
    /// Runs of endpoints that have ended.
    finished_runs: Vec<plain::Run>,
    pub headers: basilfield::fleet::protocol::Headers,
    pub version: u64,
    next_endpoint: u32,
    seq: u64,
}

pub const ENDPOINT_OPTIONS: (usize, u64, Duration) = (6, 20, Duration::from_millis(8));

impl World {
    /// Starts every process, puts a configuration in force and waits until the entries are ready.
    pub async fn start(size: Size) -> World {
        let mut world = World::prepare(size).await;
        for at in 0..world.hosts.len() {
            world.start_host(at, true);
        }
        world.set_up().await;
        world
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
        }
    }

    /// Prepares a world of which no process runs.
    pub async fn prepare(size: Size) -> World {
        // Worlds of tests that run at the same time use different networks.
        let net = loop {
            let net = (rand::random::<u8>() % 200 + 20, rand::random::<u8>() & 0xfe);
            let lock = SocketAddr::from(([127, net.0, net.1, 250], LINK_PORT));
            if let Ok(listener) = std::net::TcpListener::bind(lock) {
                // Kept until the process ends.
                std::mem::forget(listener);
                break net;
            }
        };
        let mut world = World {
            dir: tempfile::tempdir().expect("temporary folder"),
            net,
            hosts: Vec::new(),
            endpoints: (0..size.endpoints).map(|_| None).collect(),
            finished_runs: Vec::new(),
            headers: platform::Platform::default().headers().clone(),
            version: 0,
            next_endpoint: 0,
            seq: 0,
        };
        let roles = [(Role::Control, 3), (Role::Store, size.stores), (Role::Entry, size.entries)];
        for (role, count) in roles {
            for n in 1..=count {
                world.add_host(role, n).await;
            }
        }
        world
    }

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

    pub fn hosts_of(&self, role: Role) -> Vec<usize> {
        (0..self.hosts.len()).filter(|at| self.hosts[*at].role == role).collect()
    }

    pub fn link(&self, at: usize) -> String {
        format!("{}:{LINK_PORT}", self.hosts[at].address)
    }

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
             [limits]\ngrace = 6000\n"
        );
        let path = self.dir.path().join(format!("{}.toml", host.name));
        std::fs::write(&path, text).expect("settings written");
        path
    }

    pub fn start_host(&mut self, at: usize, bootstrap: bool) {
        if self.hosts[at].process.is_some() {
            return;
        }
        let settings = self.settings(at, bootstrap);
        let log = self.log_file(at);
        let mut log = File::options().create(true).append(true).open(log).expect("log file");
        let error = log.try_clone().expect("log file");
        // A process that ignores XFSZ gets an error from writes beyond the limit of `fill_disk`.
        let mut process = Command::new("sh")
            .args(["-c", "trap '' XFSZ; exec \"$0\" host --settings \"$1\""])
            .arg(env!("CARGO_BIN_EXE_basilfield"))
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(error)
            .spawn()
            .expect("process starts");
        let mut lines = process.stdout.take().expect("piped");
        // The limit would also hold for a log file that the process writes itself.
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

    /// Last lines of every log, for the message of a failed check.
    pub fn logs(&self) -> String {
        let tail = |path: PathBuf| {
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let from = lines.len().saturating_sub(12);
            format!("== {}\n{}\n", path.display(), lines[from..].join("\n"))
        };
        self.log_files().into_iter().map(tail).collect()
    }

    /// Whole logs of the hosts of a role.
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

    pub fn is_running(&self, at: usize) -> bool {
        self.hosts[at].process.is_some()
    }

    /// Whether a process that was started has ended by itself.
    pub fn has_ended(&mut self, at: usize) -> bool {
        let process = self.hosts[at].process.as_mut();
        process.is_some_and(|p| !matches!(p.try_wait(), Ok(None)))
    }

    /// Kills a process at once.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut process) = self.hosts[at].process.take() {
            // Both fail only if it has ended already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Asks a process to stop.
    pub fn terminate(&mut self, at: usize) {
        self.signal(at, rustix::process::Signal::TERM);
    }

    /// Waits for a process that was asked to stop; kills it after the grace time.
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

    pub fn suspend(&self, at: usize) {
        self.signal(at, rustix::process::Signal::STOP);
    }

    pub fn resume(&self, at: usize) {
        self.signal(at, rustix::process::Signal::CONT);
    }

    pub fn hangup(&self, at: usize) {
        self.signal(at, rustix::process::Signal::HUP);
    }

    /// Lets every write of a host to its files fail as on a full disk, or ends that.
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

    /// Appends part of a record to the last log segment of a stopped host, as a write leaves it
    /// that was never synced. Returns whether there is a segment.
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

    /// Empties the data folder of a stopped host.
    pub fn delete_data(&self, at: usize) {
        assert!(!self.is_running(at), "the host is stopped");
        // Absent if the host never stored anything.
        let _ = std::fs::remove_dir_all(self.dir.path().join(&self.hosts[at].name));
    }

    pub async fn start_endpoint(&mut self, at: usize) {
        self.next_endpoint += 1;
        let id = format!("i-{}", self.next_endpoint);
        let (slots, events, step) = ENDPOINT_OPTIONS;
        let headers = self.headers.clone();
        let options = plain::Options { id: id.into(), slots, events, step, headers };
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1 + 1, 200 + at as u8);
        let begun = Instant::now();
        loop {
            // The address of an endpoint that has just ended may still be in use.
            match plain::Plain::start((ip, ENDPOINT_PORT).into(), options.clone()).await {
                Ok(endpoint) => {
                    self.endpoints[at] = Some(endpoint);
                    return;
                }
                Err(error) => assert!(begun.elapsed() < WAIT_TIMEOUT, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Ends an endpoint without notice.
    pub fn crash_endpoint(&mut self, at: usize) {
        if let Some(endpoint) = self.endpoints[at].take() {
            self.finished_runs.extend(endpoint.runs());
        }
    }

    /// Every run at any endpoint, also those that have ended.
    pub fn all_runs(&self) -> Vec<plain::Run> {
        let running = self.endpoints.iter().flatten().flat_map(|e| e.runs());
        self.finished_runs.iter().cloned().chain(running).collect()
    }

    /// Sends a heartbeat of every endpoint to one of the control hosts.
    pub async fn send_heartbeats(&mut self) {
        self.seq += 1;
        for (at, endpoint) in self.endpoints.iter().enumerate() {
            let Some(endpoint) = endpoint else { continue };
            let body = json!({
                "service": SERVICE, "address": endpoint.address(), "zone": format!("d{}", at % 3),
                "version": "v1", "slots": ENDPOINT_OPTIONS.0, "state": "ready", "coldMs": 0,
                "callSeq": self.seq,
            });
            let path = format!("/-/instances/{}", endpoint.id());
            for control in self.hosts_of(Role::Control) {
                let to = (self.hosts[control].process_address, OPERATOR_PORT).into();
                let body = body.to_string();
                if client::call(to, "PUT", &path, &[], body).await.0 == 200 {
                    break;
                }
            }
        }
    }

    /// Sends heartbeats until every entry is ready.
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

    /// Document of the operator under a version.
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
                route("batch", BATCH_PREFIX, "batch", 3, false),
                route("version", &format!("/v{version}/"), "streaming", 1, false),
            ],
            "services": [{ "name": SERVICE, "maxConns": 200 }],
            "limits": { "headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000,
                "idleMs": 15000 },
        })
        .to_string()
    }

    /// Sends a document to the control hosts in turn. Returns the first clear status, or 0.
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

    /// Version that one control host reads, if it is sure.
    pub async fn read_version(&self, control: usize) -> Option<u64> {
        let to = (self.hosts[control].process_address, OPERATOR_PORT).into();
        let (status, body) = client::call(to, "GET", "/-/config", &[], String::new()).await;
        let document: serde_json::Value = serde_json::from_slice(&body).ok()?;
        document["version"].as_u64().filter(|_| status == 200)
    }

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

    /// Address for callers of an entry.
    pub fn caller_address(&self, at: usize) -> SocketAddr {
        (self.hosts[at].process_address, CALLER_PORT).into()
    }

    /// Addresses for callers of every entry.
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
            // Logs of a failed run, for whoever asked for them.
            for file in self.log_files() {
                let name = file.file_name().unwrap_or_default().to_owned();
                let _ = std::fs::copy(&file, PathBuf::from(&keep).join(name));
            }
        }
    }
}

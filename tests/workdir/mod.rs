//! Work directory of a test: settings, certificates, and the processes of a small fleet.

#![allow(dead_code)] // Each test file uses a part of it.

pub mod online;
pub mod relay;

use basilfield::api;
use basilfield::client;
use basilfield::entry::auth;
use basilfield::settings;
use basilfield::tls;
use serde_json::Value;
use serde_json::json;
use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

pub const OPERATOR_KEY: &str = "test-operator";
pub const READER_KEY: &str = "test-reader";
pub const CALLER_KEY: &str = "test-caller";
pub const MODEL: &str = "needle-llm";
/// Timeout of waiting for a condition. Far longer than expected, since the machine may be busy.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// First port of the listeners of tests.
const FIRST_TEST_PORT: u32 = 10_000;
/// Number of ports for listeners of tests. All are below 32768, where the ephemeral ports of Linux
/// begin.
const TEST_PORT_COUNT: u32 = 22_000;
/// Distance between the first ports of test processes with consecutive ids.
const PROCESS_PORT_STRIDE: u32 = 499;

/// Processes of a fleet on the loopback interface, each with a settings file of its own.
pub struct Fleet {
    dir: tempfile::TempDir,
    authority: tls::Authority,
    states: Vec<(String, SocketAddr)>,
    entries: Vec<SocketAddr>,
    announce_addresses: Vec<SocketAddr>,
    processes: Vec<(String, Child)>,
    engines: Vec<SocketAddr>,
    /// Whether agents put online requests before batch items.
    pub priority: bool,
}

/// Number of processes of each role in a fleet.
#[derive(Clone, Copy)]
pub struct Size {
    pub states: usize,
    pub entries: usize,
    pub agents: usize,
}

impl Fleet {
    /// Starts the processes and waits until every entry is ready and every engine has joined.
    pub fn start(size: Size) -> Fleet {
        Fleet::prepare(size.states).start_processes(size)
    }

    /// Starts the processes of a prepared fleet and waits until it is ready.
    pub fn start_processes(self, size: Size) -> Fleet {
        let mut fleet = self;
        for at in 0..size.states {
            fleet.start_state(at);
        }
        for at in 0..size.agents {
            fleet.start_agent(at);
        }
        for at in 0..size.entries {
            fleet.start_entry(at);
        }
        for at in 0..size.agents {
            fleet.start_engine(at, &[]);
        }
        for at in 0..size.entries {
            fleet.await_endpoints(at, size.agents);
        }
        fleet
    }

    /// Creates the directory and the certificate authority without starting a process.
    pub fn prepare(states: usize) -> Fleet {
        let dir = tempfile::tempdir().expect("temporary directory");
        let authority = tls::Authority::create().expect("certificate authority");
        let states = (0..states).map(|at| (format!("state-{at}"), free_udp())).collect();
        Fleet {
            dir,
            authority,
            states,
            entries: Vec::new(),
            announce_addresses: Vec::new(),
            processes: Vec::new(),
            engines: Vec::new(),
            priority: true,
        }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Returns the common part of a settings file. Issues a certificate if the process has none.
    fn settings(&self, name: &str) -> String {
        let dir = self.path(&format!("{name}-tls"));
        if !dir.exists() {
            std::fs::create_dir(&dir).expect("directory for keys");
            let issued = self.authority.issue(name, 1).expect("certificate");
            issued.save(&dir).expect("certificate files");
        }
        let mut text = format!(
            "[process]\nname = \"{name}\"\ndomain = \"osu-hall\"\nregion = \"accra\"\n\
             log = \"json\"\n\n[tls]\nca = {:?}\ncert = {:?}\nkey = {:?}\n\n[fleet]\ngroups = 1\n",
            dir.join("ca.pem"),
            dir.join(format!("{name}.pem")),
            dir.join(format!("{name}.key")),
        );
        for (host, address) in &self.states {
            writeln!(text, "[[fleet.hosts]]\nname = \"{host}\"\naddress = \"{address}\"")
                .expect("writing to a string");
        }
        text
    }

    fn start_process(&mut self, name: &str, settings: &str) {
        let path = self.path(&format!("{name}.toml"));
        std::fs::write(&path, settings).expect("settings file");
        let mut command = Command::new(binary());
        command.args(["serve", "--settings"]).arg(&path);
        self.spawn(name.to_string(), command);
    }

    /// Starts a process whose errors are appended to its log.
    fn spawn(&mut self, name: String, mut command: Command) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))
            .expect("log file");
        command.stdout(Stdio::null()).stderr(log);
        self.processes.push((name, spawn(&mut command)));
    }

    pub fn start_state(&mut self, at: usize) {
        let (name, address) = self.states[at].clone();
        let mut text = self.settings(&name);
        let folder = self.path(&format!("{name}-data"));
        write!(text, "\n[state]\nlisten = \"{address}\"\nfolder = {folder:?}\n")
            .expect("writing to a string");
        self.start_process(&name, &text);
    }

    pub fn start_entry(&mut self, at: usize) {
        if self.entries.len() <= at {
            self.entries.push(free_tcp());
        }
        let name = format!("entry-{at}");
        let mut text = self.settings(&name);
        let (operator, reader) = (auth::hash_key(OPERATOR_KEY), auth::hash_key(READER_KEY));
        write!(
            text,
            "\n[entry]\nlisten = \"{}\"\nturnaway = 300\n\
             [[entry.operators]]\nname = \"ama\"\nrole = \"operator\"\nkey = \"{operator}\"\n\
             [[entry.operators]]\nname = \"kofi\"\nrole = \"read-only\"\nkey = \"{reader}\"\n",
            self.entries[at]
        )
        .expect("writing to a string");
        self.start_process(&name, &text);
    }

    pub fn start_agent(&mut self, at: usize) {
        self.start_agent_at(at, free_udp(), None);
    }

    /// Starts an agent that listens on one address and may advertise another.
    pub fn start_agent_at(&mut self, at: usize, listen: SocketAddr, advertise: Option<SocketAddr>) {
        if self.announce_addresses.len() <= at {
            self.announce_addresses.push(free_tcp());
        }
        let name = format!("agent-{at}");
        let mut text = self.settings(&name);
        let (announce, priority) = (self.announce_addresses[at], self.priority);
        writeln!(text, "\n[agent]\nlisten = \"{listen}\"\nannounce = \"{announce}\"")
            .expect("writing to a string");
        writeln!(text, "priority = {priority}").expect("writing to a string");
        if let Some(advertise) = advertise {
            writeln!(text, "advertise = \"{advertise}\"").expect("writing to a string");
        }
        self.start_process(&name, &text);
    }

    /// Starts an engine and returns its address.
    pub fn start_engine(&mut self, at: usize, options: &[&str]) -> SocketAddr {
        let address = self.start_endpoint(at, "engine", &[&["--model", MODEL], options].concat());
        self.engines.push(address);
        address
    }

    /// Starts a plain service and returns its address.
    pub fn start_service(&mut self, at: usize, name: &str) -> SocketAddr {
        self.start_endpoint(at, name, &["--kind", "service", "--name", name])
    }

    fn start_endpoint(&mut self, at: usize, name: &str, options: &[&str]) -> SocketAddr {
        let address = free_tcp();
        let mut command = Command::new(example("engine"));
        command
            .args(["--agent", &self.announce_addresses[at].to_string()])
            .args(["--address", &address.to_string()])
            .args(options);
        self.spawn(format!("{name}-{at}"), command);
        address
    }

    fn process_index(&self, name: &str) -> usize {
        self.processes.iter().position(|(n, _)| n == name).expect("process is running")
    }

    /// Sends a signal to the process with this name.
    pub fn signal(&self, name: &str, signal: rustix::process::Signal) {
        let child = &self.processes[self.process_index(name)].1;
        let pid = rustix::process::Pid::from_child(child);
        rustix::process::kill_process(pid, signal).expect("signal is sent");
    }

    /// Kills a process without a graceful stop, as the loss of its host would.
    pub fn kill(&mut self, name: &str) {
        let at = self.process_index(name);
        let (_, mut child) = self.processes.remove(at);
        child.kill().expect("process is killed");
        child.wait().expect("process ends");
    }

    /// Asks a process to stop gracefully and waits until it exits. Returns whether its exit status
    /// is success.
    pub fn stop(&mut self, name: &str) -> bool {
        self.signal(name, rustix::process::Signal::TERM);
        let at = self.process_index(name);
        let (_, mut child) = self.processes.remove(at);
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            match child.try_wait().expect("process is a child") {
                Some(status) => return status.success(),
                None if Instant::now() > deadline => {
                    child.kill().expect("process is killed");
                    return false;
                }
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Resident memory of a process in bytes.
    pub fn memory(&self, name: &str) -> u64 {
        let pid = self.processes[self.process_index(name)].1.id();
        let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).expect("statm");
        let pages: u64 =
            text.split(' ').nth(1).and_then(|p| p.parse().ok()).expect("resident pages");
        pages * 4096
    }

    /// CPU time that a process has used.
    pub fn cpu_time(&self, name: &str) -> Duration {
        let pid = self.processes[self.process_index(name)].1.id();
        let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("stat");
        let fields: Vec<&str> = text
            .rsplit(')')
            .next()
            .expect("fields after the process name")
            .split_whitespace()
            .collect();
        let ticks: u64 = fields[11].parse::<u64>().expect("user time")
            + fields[12].parse::<u64>().expect("system time");
        // The kernel reports hundredths of a second.
        Duration::from_millis(ticks * 10)
    }

    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default()
    }

    /// Address of an engine, for direct calls.
    pub fn engine(&self, at: usize) -> SocketAddr {
        self.engines[at]
    }

    /// Address of an entry's HTTP listener.
    pub fn entry(&self, at: usize) -> SocketAddr {
        self.entries[at]
    }

    /// Client of the state hosts with a certificate for `name`.
    pub fn state_client(&self, name: &str) -> client::Client {
        let identity = self.authority.identity(name).expect("identity");
        let host = |(name, address): &(String, SocketAddr)| settings::Host {
            name: name.as_str().into(),
            address: *address,
        };
        let fleet = settings::Fleet { groups: 1, hosts: self.states.iter().map(host).collect() };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        client::Client::new(&identity, &fleet, &log)
    }

    pub fn url(&self, entry: usize) -> String {
        format!("http://{}", self.entries[entry])
    }

    pub fn client(&self, entry: usize, key: &str) -> api::Client {
        api::Client::new(&self.url(entry), key)
    }

    pub fn status(&self, entry: usize) -> Value {
        let client = self.client(entry, READER_KEY);
        match block_on(client.get("/admin/status")) {
            Ok(answer) => answer.json(),
            Err(_) => Value::Null,
        }
    }

    /// Waits until an entry is ready and routes to `count` endpoints.
    pub fn await_endpoints(&self, entry: usize, count: usize) {
        self.wait_until("endpoints have joined", || {
            let client = self.client(entry, READER_KEY);
            let ready = block_on(client.get("/readyz")).is_ok_and(|a| a.is_ok());
            let status = if ready { self.status(entry) } else { Value::Null };
            let agents = status["agents"].as_array().cloned().unwrap_or_default();
            let joined: usize =
                agents.iter().map(|a| a["endpoints"].as_array().map_or(0, Vec::len)).sum();
            ready && joined == count
        });
    }

    /// Waits for a condition. Prints every log and panics if it does not hold in time.
    pub fn wait_until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !condition() {
            if Instant::now() > deadline {
                for (name, _) in &self.processes {
                    eprintln!("--- {name}\n{}", self.log(name));
                }
                panic!("timed out waiting until {what}");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Creates the workspace of the tests with its assistant and batch plan.
    pub fn create_workspace(&self) {
        let hash = auth::hash_key(CALLER_KEY);
        let fill = json!([
            { "template": "workspace", "parameters":
                ["name=tailors", format!("keys={hash}"), "rate=10000", "concurrency=10000"] },
            { "template": "assistant", "parameters":
                ["name=advisor", "workspace=tailors", format!("model={MODEL}")] },
            { "template": "batch-plan", "parameters":
                ["name=badges", "workspace=tailors", format!("model={MODEL}")] },
        ]);
        let body = json!({ "id": "create", "expected": null, "fill": fill });
        let answer =
            block_on(self.client(0, OPERATOR_KEY).post("/admin/apply", &body)).expect("answer");
        assert!(answer.is_ok(), "{}", answer.json());
        for entry in 0..self.entries.len() {
            self.wait_until("workspace is in force", || {
                block_on(self.client(entry, CALLER_KEY).get("/v1/models")).is_ok_and(|a| a.is_ok())
            });
        }
    }

    /// Writes a job file with `count` items of `tokens` tokens.
    pub fn write_job_file(&self, count: usize, tokens: u32) -> PathBuf {
        let path = self.path("job.jsonl");
        let line = |at: usize| {
            json!({ "custom_id": format!("item-{at}"), "url": "/v1/chat/completions",
                "body": { "max_tokens": tokens, "messages":
                    [{ "role": "user", "content": format!("badge {at}") }] } })
        };
        let lines: Vec<String> = (0..count).map(|at| line(at).to_string()).collect();
        std::fs::write(&path, lines.join("\n")).expect("job file");
        path
    }

    /// Creates a command of the binary with the URL of an entry and a key.
    pub fn command(&self, entry: usize, key: &str, words: &[&str]) -> Command {
        let mut command = Command::new(binary());
        command.args(words).args(["--url", &self.url(entry), "--key", key]);
        command
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            // Killing a process that has ended fails.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    basilfield::cmd::block_on(future).expect("runtime")
}

/// Directory of the built binary. Tests are in its subdirectory `deps`, examples in `examples`.
fn build_dir() -> PathBuf {
    let own = std::env::current_exe().expect("path of this program");
    own.parent().and_then(Path::parent).expect("target directory").to_path_buf()
}

pub fn binary() -> PathBuf {
    build_dir().join("basilfield")
}

/// Path of an example, which `cargo test` builds beside the binary.
pub fn example(name: &str) -> PathBuf {
    build_dir().join("examples").join(name)
}

pub fn free_udp() -> SocketAddr {
    take_port()
}

pub fn free_tcp() -> SocketAddr {
    take_port()
}

/// Held for writing while a port is checked. A process inherits all sockets until it executes its
/// program, so one that is started meanwhile keeps the port taken for some milliseconds.
static PORT_CHECK: RwLock<()> = RwLock::new(());

/// Starts a process while no port is being checked.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = PORT_CHECK.read().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("process starts")
}

/// Returns an address whose port is free for TCP and UDP and was not returned before in this
/// process. Its user binds it only later: a counter keeps tests of other threads from getting the
/// same port, and by default Linux gives no port of this range to an outgoing connection. The range
/// starts at another port in each process, so that test runs side by side rarely meet.
fn take_port() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id() % TEST_PORT_COUNT * PROCESS_PORT_STRIDE;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        assert!(taken < TEST_PORT_COUNT, "no test port is left");
        let port = FIRST_TEST_PORT + (offset + taken) % TEST_PORT_COUNT;
        let port = u16::try_from(port).expect("port of the range");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _guard = PORT_CHECK.write().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

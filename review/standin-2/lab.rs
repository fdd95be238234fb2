//! A small fleet on loopback addresses with stand-ins for the platform's servers, clients and operator.
//! Only the standard library is used. Included by the program of each case.

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const LINK_PORT: u16 = 7720;
pub const CALLER_PORT: u16 = 7741;
pub const READY_PORT: u16 = 7742;
pub const OPERATOR_PORT: u16 = 7743;
pub const SERVER_PORT: u16 = 7744;
pub const ROUTE_HOST: &str = "nony24.example";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const ZONES: [&str; 3] = ["osu-hall", "tema-hall", "madina-hall"];

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Whether the disruption of the case is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record file");
        Record { begun: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.begun.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Ids of the processes that were started and not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time of a case. After it, all processes are ended.
const LONGEST: Duration = Duration::from_secs(110);

/// Ends all processes and the program, as the case cannot run.
fn abort(text: &str) -> ! {
    for id in PROCESSES.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
    println!("2: {text}");
    std::process::exit(2)
}

fn end_late() {
    thread::sleep(LONGEST);
    abort("the case takes too long")
}

/// Ends the program: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn finish(mut fleet: Fleet, record: &Record, code: i32, text: &str) -> ! {
    fleet.stop_all();
    thread::sleep(Duration::from_millis(100));
    record.note(format!("RESULT {code}: {text}"));
    println!("{code}: {text}");
    std::process::exit(code)
}

pub struct Host {
    pub name: String,
    pub role: &'static str,
    pub address: Ipv4Addr,
    pub zone: &'static str,
    process: Option<Child>,
}

pub struct Fleet {
    dir: PathBuf,
    binary: PathBuf,
    pub net: (u8, u8),
    _lock: TcpListener,
    pub hosts: Vec<Host>,
    record: Record,
}

impl Fleet {
    /// Starts three control hosts, three store hosts and `entries` entries, as the deploy file does.
    pub fn start(record: &Record, entries: u8) -> Fleet {
        let mut seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        let (net, lock) = loop {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let net = ((seed >> 33) as u8 % 200 + 20, (seed >> 41) as u8);
            let lock = SocketAddr::from(([127, net.0, net.1, 250], LINK_PORT));
            if let Ok(lock) = TcpListener::bind(lock) {
                break (net, lock);
            }
        };
        thread::spawn(end_late);
        let binary = std::env::current_dir().expect("folder").join("target/release/basilfield");
        if !binary.exists() {
            println!("2: target/release/basilfield is missing");
            std::process::exit(2);
        }
        let dir = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&dir).expect("temporary folder");
        let mut fleet =
            Fleet { dir, binary, net, _lock: lock, hosts: Vec::new(), record: record.clone() };
        for (role, first, count) in [("control", 1, 3), ("store", 11, 3), ("entry", 41, entries)] {
            for n in 0..count {
                fleet.hosts.push(Host {
                    name: format!("{role}-{}-{n}", ZONES[n as usize % 3]),
                    role,
                    address: Ipv4Addr::new(127, net.0, net.1, first + n),
                    zone: ZONES[n as usize % 3],
                    process: None,
                });
            }
        }
        for at in 0..fleet.hosts.len() {
            fleet.start_host(at, true);
        }
        fleet
    }

    pub fn of(&self, role: &str) -> Vec<usize> {
        (0..self.hosts.len()).filter(|at| self.hosts[*at].role == role).collect()
    }

    pub fn address(&self, at: usize, port: u16) -> SocketAddr {
        SocketAddr::from((self.hosts[at].address, port))
    }

    pub fn entries(&self) -> Vec<SocketAddr> {
        self.of("entry").into_iter().map(|at| self.address(at, CALLER_PORT)).collect()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.of("control").into_iter().map(|at| self.address(at, OPERATOR_PORT)).collect()
    }

    /// Starts a host with settings as `deploy/host.toml.in` gives them.
    pub fn start_host(&mut self, at: usize, bootstrap: bool) {
        let host = &self.hosts[at];
        let (ip, name) = (host.address, &host.name);
        let disk = if host.role == "entry" { 0 } else { 420 };
        let mut text = format!(
            "[host]\nname = \"{name}\"\nrole = \"{}\"\ndomain = \"{}\"\naddress = \"{ip}\"\ndisk = {disk}\n",
            host.role, host.zone
        );
        if disk > 0 {
            text += &format!("folder = {:?}\n", self.dir.join(format!("{name}.data")));
        }
        text += &format!("log = \"json\"\nverbose = true\nmetrics = \"{ip}:9464\"\n\n[listen]\n");
        match host.role {
            "entry" => {
                text += &format!("callers = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n")
            }
            "control" => text += &format!("operators = \"{ip}:{OPERATOR_PORT}\"\n"),
            _ => {}
        }
        let seeds: Vec<String> = self.controls().iter().map(|a| a.to_string()).collect();
        text += &format!(
            "\n[fleet]\nport = {LINK_PORT}\nseeds = {seeds:?}\nbootstrap = {bootstrap}\nlosses = 1\n\n\
             [limits]\ngrace = 8000\nretention = 120\n\n[workspaces]\nover = 0.1\n"
        );
        let settings = self.dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("settings");
        let log = File::options().create(true).append(true).open(self.log_file(at)).expect("log");
        let process = Command::new(&self.binary)
            .args(["host", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("process");
        self.record.note(format!("start {name} pid {}", process.id()));
        PROCESSES.lock().unwrap().push(process.id());
        self.hosts[at].process = Some(process);
    }

    pub fn log_file(&self, at: usize) -> PathBuf {
        self.dir.join(format!("{}.log", self.hosts[at].name))
    }

    /// Sends a signal to a host.
    pub fn signal(&self, at: usize, signal: &str) {
        let Some(process) = &self.hosts[at].process else { return };
        self.record.note(format!("signal {signal} to {}", self.hosts[at].name));
        let _ = Command::new("kill").args([format!("-{signal}"), process.id().to_string()]).status();
    }

    pub fn kill(&mut self, at: usize) {
        if let Some(mut process) = self.hosts[at].process.take() {
            self.record.note(format!("kill {}", self.hosts[at].name));
            let _ = process.kill();
            let _ = process.wait();
            PROCESSES.lock().unwrap().retain(|id| *id != process.id());
        }
    }

    /// Lines of the logs of all hosts that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for at in 0..self.hosts.len() {
            let log = std::fs::read(self.log_file(at)).unwrap_or_default();
            let log = String::from_utf8_lossy(&log);
            let lines = log.lines().filter(|l| l.contains(text));
            found.extend(lines.map(|l| format!("{}: {l}", self.hosts[at].name)));
        }
        found
    }

    /// Names of hosts whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = |h: &mut Host| h.process.as_mut().is_some_and(|p| !matches!(p.try_wait(), Ok(None)));
        self.hosts.iter_mut().filter_map(|h| ended(h).then(|| h.name.clone())).collect()
    }

    pub fn stop_all(&mut self) {
        for at in 0..self.hosts.len() {
            self.kill(at);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs kept in {}", self.dir.display());
        }
    }

    /// Sends an order of the operator to one control host after the other until one gives a clear
    /// answer. Returns the status and body.
    pub fn operator(&self, method: &str, path: &str, body: &str, limit: Duration) -> (u16, String) {
        let begun = Instant::now();
        let controls = self.controls();
        let mut n = 0;
        while begun.elapsed() < limit {
            let to = controls[n % controls.len()];
            n += 1;
            if let Some(answer) = call(to, method, path, &[], body.as_bytes(), Duration::from_secs(1))
                && !matches!(answer.status, 408 | 429 | 500..)
            {
                self.record.note(format!("operator {method} {path} at {to}: {}", answer.status));
                return (answer.status, String::from_utf8_lossy(&answer.body).into_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        (0, String::new())
    }

    /// Waits until every entry says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            let ready = self.of("entry").into_iter().all(|at| {
                let to = self.address(at, READY_PORT);
                call(to, "GET", "/-/ready", &[], b"", Duration::from_millis(500))
                    .is_some_and(|a| a.status == 200)
            });
            if ready {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for at in 0..self.hosts.len() {
            self.kill(at);
        }
    }
}

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer reached its stated end.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads until the end of a head. Returns the head and what followed it.
fn read_head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (mut bytes, mut part) = (Vec::new(), [0; 8192]);
    loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = bytes.split_off(at + 4);
            return Some((String::from_utf8_lossy(&bytes).into_owned(), rest));
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&part[..n]),
        }
    }
}

fn parse_headers(head: &str) -> Vec<(String, String)> {
    let lines = head.split("\r\n").skip(1).filter_map(|l| l.split_once(':'));
    lines.map(|(n, v)| (n.trim().to_string(), v.trim().to_string())).collect()
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Reads a body by its headers. Returns it and whether it reached its stated end.
fn read_body(
    stream: &mut TcpStream,
    headers: &[(String, String)],
    mut buffer: Vec<u8>,
    until_end: bool,
) -> (Vec<u8>, bool) {
    let mut part = [0; 16384];
    if header(headers, "transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked")) {
        let mut body = Vec::new();
        loop {
            while let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
                let size = line.split(';').next().unwrap_or_default().trim();
                let Ok(size) = usize::from_str_radix(size, 16) else { return (body, false) };
                if buffer.len() < end + 2 + size + 2 {
                    break;
                }
                body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
                buffer.drain(..end + 2 + size + 2);
                if size == 0 {
                    return (body, true);
                }
            }
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return (body, false),
                Ok(n) => buffer.extend_from_slice(&part[..n]),
            }
        }
    }
    let length = header(headers, "content-length").and_then(|v| v.parse::<usize>().ok());
    let Some(length) = length.or((!until_end).then_some(0)) else {
        loop {
            match stream.read(&mut part) {
                Ok(0) => return (buffer, true),
                Err(_) => return (buffer, false),
                Ok(n) => buffer.extend_from_slice(&part[..n]),
            }
        }
    };
    while buffer.len() < length {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return (buffer, false),
            Ok(n) => buffer.extend_from_slice(&part[..n]),
        }
    }
    (buffer, true)
}

/// Sends one request on a new connection. `None` if no head of an answer arrived within `limit`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "Connection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let (head, rest) = read_head(&mut stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let headers = parse_headers(&head);
    let (body, complete) = read_body(&mut stream, &headers, rest, true);
    Some(Answer { status, headers, body, complete })
}

/// How a server stand-in works.
#[derive(Clone)]
pub struct Work {
    /// Time until the first event.
    pub prefill: Duration,
    pub events: u64,
    /// Time between two events.
    pub step: Duration,
    /// Part of a prompt that crashes the server when it begins to write an answer on it.
    pub deadly: Option<String>,
    /// Limit that every answer names, in requests a second.
    pub limit: Option<&'static str>,
    /// Requests that run at once.
    pub slots: usize,
}

/// One run at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub request: String,
    pub after: u64,
    pub arrived: Instant,
    pub ended: Option<Instant>,
    pub complete: bool,
    /// Whether the server was still up when the run was cut off, so that the sender has ended it.
    pub by_sender: bool,
}

impl Run {
    /// Whether the sender has ended the run within a second. Such a run counts neither as had nor as
    /// failed.
    fn is_brief(&self) -> bool {
        self.by_sender && self.ended.is_some_and(|e| e - self.arrived < Duration::from_secs(1))
    }

    /// Whether the server has the item now, and not only for less than a second so far.
    fn is_had(&self) -> bool {
        self.ended.is_none() && self.arrived.elapsed() >= Duration::from_secs(1)
    }
}

/// Server stand-in. One value is one place; each start is a new incarnation.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub service: String,
    pub zone: &'static str,
    inner: Arc<Inner>,
}

struct Inner {
    record: Record,
    controls: Vec<SocketAddr>,
    work: Mutex<Work>,
    incarnation: Mutex<Incarnation>,
    up: AtomicBool,
    /// Whether the listener of some start is open.
    listening: AtomicBool,
    starts: AtomicUsize,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next_connection: AtomicU64,
    running: AtomicUsize,
    runs: Mutex<Vec<Run>>,
    crashes: Mutex<Vec<Instant>>,
}

#[derive(Clone)]
struct Incarnation {
    id: String,
    /// Version of the server's software.
    version: String,
    born: u64,
    seq: u64,
}

/// Usual slots of a server.
pub const SLOTS: usize = 8;

impl Server {
    pub fn new(fleet: &Fleet, n: u8, service: &str, zone: &'static str, work: Work) -> Server {
        let address = SocketAddr::from(([127, fleet.net.0, fleet.net.1, 200 + n], SERVER_PORT));
        let inner = Inner {
            record: fleet.record.clone(),
            controls: fleet.controls(),
            work: Mutex::new(work),
            incarnation: Mutex::new(Incarnation { id: String::new(), version: String::new(), born: 0, seq: 0 }),
            up: AtomicBool::new(false),
            listening: AtomicBool::new(false),
            starts: AtomicUsize::new(0),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            crashes: Mutex::default(),
        };
        Server { address, service: service.into(), zone, inner: Arc::new(inner) }
    }

    pub fn id(&self) -> String {
        self.inner.incarnation.lock().unwrap().id.clone()
    }

    pub fn born(&self) -> u64 {
        self.inner.incarnation.lock().unwrap().born
    }

    pub fn slots(&self) -> usize {
        self.inner.work.lock().unwrap().slots
    }

    /// Whether the server has crashed and was not started since.
    pub fn is_down(&self) -> bool {
        !self.inner.up.load(Ordering::SeqCst)
    }

    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// Whether a run of an item of a job is under way here.
    pub fn has(&self, job: &str) -> bool {
        let runs = self.inner.runs.lock().unwrap();
        runs.iter().any(|r| r.request.starts_with(job) && r.ended.is_none())
    }

    /// Last moment at which the server had an item of a job.
    fn last_had(&self, job: &str) -> Option<Instant> {
        let runs = self.inner.runs.lock().unwrap();
        let of_job = runs.iter().filter(|r| r.request.starts_with(job));
        let moments = of_job.filter_map(|r| match r.ended {
            None => r.is_had().then(Instant::now),
            Some(ended) => (!r.is_brief()).then_some(ended),
        });
        moments.max()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.runs.lock().unwrap().clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.inner.crashes.lock().unwrap().clone()
    }

    /// Starts a new incarnation with a new id, which registers at once and then sends heartbeats.
    pub fn start(&self) {
        let n = self.inner.starts.load(Ordering::SeqCst) + 1;
        let id = format!("i-{}-{n}", self.address.ip().to_string().replace('.', "-"));
        self.start_as(id, "v1", Duration::ZERO);
    }

    /// Starts a new incarnation under `id`, which sends its first heartbeat after `first_beat`.
    pub fn start_as(&self, id: String, version: &str, first_beat: Duration) {
        let inner = &self.inner;
        let n = inner.starts.fetch_add(1, Ordering::SeqCst) + 1;
        *inner.incarnation.lock().unwrap() =
            Incarnation { id: id.clone(), version: version.into(), born: unix_ms(), seq: 0 };
        let begun = Instant::now();
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if begun.elapsed() > Duration::from_secs(5) => {
                    abort(&format!("a server cannot listen: {error}"))
                }
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("listener");
        inner.listening.store(true, Ordering::SeqCst);
        inner.up.store(true, Ordering::SeqCst);
        inner.record.note(format!("server {id} starts at {} as {version}", self.address));
        let server = self.clone();
        let is_current = move |s: &Server| {
            s.inner.up.load(Ordering::SeqCst) && s.inner.starts.load(Ordering::SeqCst) == n
        };
        thread::spawn(move || {
            while is_current(&server) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let key = server.inner.next_connection.fetch_add(1, Ordering::SeqCst);
                        let copy = stream.try_clone().expect("stream");
                        server.inner.connections.lock().unwrap().insert(key, copy);
                        let s = server.clone();
                        thread::spawn(move || {
                            s.serve(stream);
                            s.inner.connections.lock().unwrap().remove(&key);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            server.inner.listening.store(false, Ordering::SeqCst);
        });
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(first_beat);
            let mut to = n;
            while is_current(&server) {
                let acked = (0..server.inner.controls.len()).any(|_| {
                    to += 1;
                    server.beat(server.inner.controls[to % server.inner.controls.len()]) == 200
                });
                if acked {
                    to -= 1;
                }
                thread::sleep(if acked { HEARTBEAT } else { Duration::from_millis(200) });
            }
        });
    }

    fn beat(&self, to: SocketAddr) -> u16 {
        let Incarnation { id, version, born, seq } = {
            let mut incarnation = self.inner.incarnation.lock().unwrap();
            incarnation.seq += 1;
            incarnation.clone()
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{version}\",\"slots\":{},\
             \"state\":\"ready\",\"coldMs\":0,\"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\
             \"adapters\":[]}}],\"callSeq\":{seq},\"born\":{born}}}",
            self.service, self.address, self.zone, self.slots()
        );
        let path = format!("/-/instances/{id}");
        let answer = call(to, "PUT", &path, &[("Content-Type", "application/json")], body.as_bytes(),
            Duration::from_secs(1));
        answer.map_or(0, |a| a.status)
    }

    /// The process dies: its listener and all its connections are closed.
    pub fn crash(&self) {
        let inner = &self.inner;
        if !inner.up.swap(false, Ordering::SeqCst) {
            return;
        }
        inner.crashes.lock().unwrap().push(Instant::now());
        inner.record.note(format!("server {} crashes", self.id()));
        while inner.listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        for (_, stream) in inner.connections.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let id = self.id();
        while let Some((head, rest)) = read_head(&mut stream) {
            let headers = parse_headers(&head);
            let (_, whole) = read_body(&mut stream, &headers, rest, false);
            if !whole || self.id() != id || !self.inner.up.load(Ordering::SeqCst) {
                return;
            }
            let request = header(&headers, "x-basilfield-request-id").unwrap_or_default().to_string();
            let limit = self.limit_line();
            let refuse = |status: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nX-Basilfield-Request-Id: {request}\r\n{limit}\
                     X-Basilfield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            };
            if head.starts_with("GET /health") {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Basilfield-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = stream.write_all(answer.as_bytes());
                continue;
            }
            if header(&headers, "x-basilfield-expect-instance").is_some_and(|e| e != id) {
                let _ = stream.write_all(refuse("421 Misdirected Request").as_bytes());
                continue;
            }
            if request.is_empty() {
                let _ = stream.write_all(refuse("400 Bad Request").as_bytes());
                continue;
            }
            if self.running() >= self.slots() {
                let _ = stream.write_all(refuse("503 Service Unavailable").as_bytes());
                continue;
            }
            let after = header(&headers, "last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
            let prompt = header(&headers, "x-basilfield-prompt-prefix").unwrap_or_default();
            self.inner.running.fetch_add(1, Ordering::SeqCst);
            let at = {
                let mut runs = self.inner.runs.lock().unwrap();
                runs.push(Run {
                    server: id.clone(),
                    request: request.clone(),
                    after,
                    arrived: Instant::now(),
                    ended: None,
                    complete: false,
                    by_sender: false,
                });
                runs.len() - 1
            };
            self.inner.record.note(format!("run {request} after {after} at {id} [{prompt}]"));
            let complete = self.run(&mut stream, &request, prompt, after, &id);
            self.inner.running.fetch_sub(1, Ordering::SeqCst);
            let mut runs = self.inner.runs.lock().unwrap();
            (runs[at].ended, runs[at].complete) = (Some(Instant::now()), complete);
            runs[at].by_sender = !complete && !self.is_down() && self.id() == id;
            drop(runs);
            let how = if complete { "complete" } else { "cut" };
            self.inner.record.note(format!("end {request} at {id}: {how}"));
            if !complete {
                return;
            }
        }
    }

    /// Header line with the limit that the server names now, if any.
    fn limit_line(&self) -> String {
        let limit = self.inner.work.lock().unwrap().limit;
        limit.map_or_else(String::new, |limit| format!("Server-Limit: {limit}\r\n"))
    }

    /// Sets the limit that the answers name from now on.
    pub fn set_limit(&self, limit: Option<&'static str>) {
        self.inner.record.note(format!("server {} names the limit {limit:?} from now on", self.id()));
        self.inner.work.lock().unwrap().limit = limit;
    }

    /// Sleeps in small steps. Returns whether the caller is still there and the server still runs.
    fn wait(&self, stream: &TcpStream, id: &str, time: Duration) -> bool {
        let begun = Instant::now();
        loop {
            if !self.inner.up.load(Ordering::SeqCst) || self.id() != id {
                return false;
            }
            let _ = stream.set_nonblocking(true);
            let peeked = stream.peek(&mut [0; 1]);
            let _ = stream.set_nonblocking(false);
            match peeked {
                Ok(0) => return false,
                Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return false,
                _ => {}
            }
            let left = time.saturating_sub(begun.elapsed());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(Duration::from_millis(5)));
        }
    }

    fn run(&self, stream: &mut TcpStream, request: &str, prompt: &str, after: u64, id: &str) -> bool {
        let work = self.inner.work.lock().unwrap().clone();
        let version = self.inner.incarnation.lock().unwrap().version.clone();
        if !self.wait(stream, id, work.prefill) {
            return false;
        }
        let mut parts: Vec<&str> =
            prompt.split(',').map(|p| p.split(':').next().unwrap_or_default()).collect();
        parts.pop();
        if work.deadly.as_deref().is_some_and(|deadly| parts.contains(&deadly)) {
            self.crash();
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Basilfield-Request-Id: {request}\r\nX-Basilfield-Response-Seal: seal-{request}\r\n\
             X-Basilfield-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{}\
             Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n",
            self.limit_line()
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for n in after + 1..=work.events {
            let event = format!("id: {n}\ndata: {version}/{n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() || !self.wait(stream, id, work.step) {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// One route of a configuration for online requests.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32, resumable: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{ROUTE_HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":5000,\"responseTargetMs\":300,\"priority\":0,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"sessionAffinity\":true,\"resumable\":{resumable},\"gapTargetMs\":300}}"
    )
}

/// One route of a configuration for batch jobs. Their results are due `target` milliseconds after the
/// submission.
pub fn batch_route(name: &str, prefix: &str, service: &str, target: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{ROUTE_HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"batch\",\
         \"timeoutMs\":15000,\"responseTargetMs\":400,\"priority\":2,\"service\":\"{service}\",\
         \"maxAttempts\":3,\"runTargetMs\":{target},\"maxWaitS\":90.0}}"
    )
}

pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\
                 \"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kvCapacity\":146246,\"models\":[{{\"name\":\"m\"}}]}}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"headerBytes\":16384,\
         \"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Time after which the results of a batch job are due on the sites, in milliseconds.
pub const TARGET: u64 = 18_000;

/// Starts the fleet, sets a configuration and waits until the entries are ready.
pub fn set_up(record: &Record, config: &str, servers: impl FnOnce(&Fleet) -> Vec<Server>) -> (Fleet, Vec<Server>) {
    let fleet = Fleet::start(record, 2);
    let servers = servers(&fleet);
    servers.iter().for_each(Server::start);
    let (status, _) = fleet.operator("PUT", "/-/config", config, Duration::from_secs(15));
    if status != 200 || !fleet.wait_until_ready(Duration::from_secs(15)) {
        finish(fleet, record, 2, "the fleet did not become ready");
    }
    thread::sleep(Duration::from_secs(3));
    (fleet, servers)
}

/// Submits a batch job to one entry after the other until it gets a 202.
pub fn submit(record: &Record, entries: &[SocketAddr], prefix: &str, job: &str, prompts: &[String]) -> bool {
    let item = |(n, prompt): (usize, &String)| {
        format!(
            "{{\"id\":\"{job}{n:02x}\",\"path\":\"{prefix}{n}/91c4\",\"headers\":{{\"X-Basilfield-Model\":\"m\",\
             \"X-Basilfield-Token-Count\":\"350,247\",\"X-Basilfield-Prompt-Prefix\":\"{prompt}\"}},\
             \"body\":\"q83vEjRWeJA=\",\"tokens\":597}}"
        )
    };
    let items: Vec<String> = prompts.iter().enumerate().map(item).collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    let headers = [
        ("Host", ROUTE_HOST),
        ("X-Basilfield-Request-Id", job),
        ("Content-Type", "application/json"),
        ("X-Basilfield-Deadline-Ms", "4000"),
    ];
    for attempt in 0..8 {
        let to = entries[attempt % entries.len()];
        let path = format!("{prefix}{job}");
        let answer = call(to, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(4));
        let status = answer.map_or(0, |a| a.status);
        record.note(format!("submit {job} with {} items at {to}: {status}", prompts.len()));
        if status == 202 {
            return true;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Results of a job that are listed, as pairs of item and state. `None` without a 200.
pub fn results(entry: SocketAddr, job: &str) -> Option<Vec<(String, String)>> {
    let path = format!("/-/lots/{job}?after=0");
    let answer = call(entry, "GET", &path, &[("Host", ROUTE_HOST)], b"", Duration::from_secs(4))?;
    if answer.status != 200 {
        return None;
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let field = |part: &str, name: &str| {
        let from = part.find(&format!("\"{name}\":\""))? + name.len() + 4;
        Some(part[from..].split('"').next()?.to_string())
    };
    let parts = text.split("{\"id\":").skip(1).map(|p| format!("\"id\":{p}"));
    Some(parts.filter_map(|p| Some((field(&p, "id")?, field(&p, "state")?))).collect())
}

/// Sends one resumable stream from a thread of its own and notes its answer.
pub fn send_stream(record: &Record, to: SocketAddr, path: &'static str, id: String, prompt: String) {
    let record = record.clone();
    thread::spawn(move || {
        let headers = [
            ("Host", ROUTE_HOST),
            ("X-Basilfield-Request-Id", &*id),
            ("X-Basilfield-Model", "m"),
            ("X-Basilfield-Token-Count", "450,36"),
            ("X-Basilfield-Prompt-Prefix", &*prompt),
            ("X-Basilfield-Deadline-Ms", "5000"),
        ];
        let body = format!("question {id}");
        let answer = call(to, "POST", path, &headers, body.as_bytes(), Duration::from_secs(6));
        let text = answer.map_or("none".to_string(), |a| {
            let end = if a.complete { "complete" } else { "broken off" };
            format!("{} {end} {} bytes", a.status, a.body.len())
        });
        record.note(format!("answer to {id}: {text}"));
    });
}

/// Prompts of `count` items or requests that share one part.
pub fn prompts(shared: &str, own: u64, count: u64) -> Vec<String> {
    (0..count).map(|n| format!("{shared}:100,{:x}:250", own + n)).collect()
}

/// Reads a job twice a second until all its items are listed or `end` has come. Returns what breaks
/// the rule on unlisted items, if anything: at `end`, items are listed neither as completed nor as
/// abandoned, though in the last 5 s no server had one of them and all were under half full, in the
/// last 3 s no item was finished, and none of them failed at a server in the last 20 s. Runs that
/// their sender ended within a second count neither as had nor as failed.
pub fn unlisted_at(
    record: &Record,
    entries: &[SocketAddr],
    servers: &[Server],
    job: &str,
    items: usize,
    end: Instant,
) -> Option<String> {
    let (mut n, mut last, mut busy) = (0, None, None);
    loop {
        thread::sleep(Duration::from_millis(100));
        n += 1;
        let running: usize = servers.iter().map(Server::running).sum();
        let slots: usize = servers.iter().filter(|s| !s.is_down()).map(Server::slots).sum();
        if 2 * running >= slots {
            busy = Some(Instant::now());
        }
        if n % 5 == 0 {
            last = results(entries[n / 5 % entries.len()], job);
            let listed = last.as_ref().map_or("unread".to_string(), |l| l.len().to_string());
            record.note(format!("job {job}: {listed} of {items} listed, {running} requests run"));
            if last.as_ref().is_some_and(|l| l.len() == items) {
                return None;
            }
        }
        if Instant::now() >= end {
            break;
        }
    }
    last = results(entries[0], job).or_else(|| results(entries[1], job)).or(last);
    let listed = last.map_or(0, |l| l.len());
    let runs: Vec<Run> = servers.iter().flat_map(Server::runs).collect();
    let of_job = || runs.iter().filter(|r| r.request.starts_with(job));
    let is_recent = |r: &&Run| r.ended.is_some_and(|e| e.elapsed() < Duration::from_secs(20));
    let failed = of_job().filter(is_recent).filter(|r| !r.complete && !r.is_brief()).count();
    let brief = of_job().filter(|r| r.is_brief()).count();
    let had = servers.iter().filter_map(|s| s.last_had(job)).max();
    let idle = had.max(busy).map_or(Duration::MAX, |at| at.elapsed());
    record.note(format!(
        "end: {listed} of {items} listed; {} runs, of which the sender ended {brief} within a second; {failed} failed in \
         the last 20 s; no server had an item, and all were under half full, for {:.1} s",
        of_job().count(),
        idle.as_secs_f64().min(99.0)
    ));
    let is_broken = listed < items && failed == 0 && idle >= Duration::from_secs(5);
    is_broken.then(|| format!("{} of {items} items are not listed when finishS is over", items - listed))
}

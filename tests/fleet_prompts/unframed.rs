//! Endpoints whose answers have neither a length nor chunks and end with their connection, with
//! processes over loopback.

use crate::fleet_world;
use crate::fleet_world::ONCE_PREFIX;
use crate::fleet_world::Role;
use crate::fleet_world::SAFE_PREFIX;
use crate::fleet_world::STREAM_PREFIX;
use crate::fleet_world::Size;
use crate::fleet_world::World;
use crate::fleet_world::client;
use basilfield::emulator::plain;
use basilfield::fleet::upstream;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 0, entries: 1, endpoints: 1 };
const THREE_ENDPOINTS: Size = Size { endpoints: 3, ..SIZE };
/// Service of the items, if they have one of their own.
const ITEM_SERVICE: &str = "item-engines";
/// Far more slots than the other endpoint, so that requests go to the one under test first.
const MANY_SLOTS: u32 = 2_000;
/// Events of a complete answer, and of one that breaks off.
const EVENT_COUNT: u64 = fleet_world::ENDPOINT_OPTIONS.1;
const BROKEN_COUNT: u64 = 10;
/// Events of an answer whose endpoint crashes soon after it has begun.
const FEW_COUNT: u64 = 2;
/// Longest time for an answer, also on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after a crash after which the first trial is due.
const TRIAL_TIME: Duration = Duration::from_secs(3);
/// Time within which every host knows of a crash.
const CRASH_TIME: Duration = Duration::from_secs(1);
const JOB_TIMEOUT: Duration = Duration::from_secs(40);

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(test);
}

/// How an endpoint ends its answer.
#[derive(Clone, Copy, Debug)]
enum End {
    /// After the last event.
    Complete,
    /// Within an event.
    WithinEvent,
    /// With a reset between two events.
    Reset,
    /// Before the first event.
    Empty,
    /// After a comment, before the first event.
    Comment,
    /// With a reset after the last event the first time. Later answers go on after the last event that
    /// the caller has, and are complete.
    LateReset,
    /// After events without ids: the first time with a reset between two events, later after the last
    /// one.
    Unnumbered,
    /// With a refusal that says that the request has not run.
    Declined,
    /// Between two events, with a crash that closes the listener as well.
    Crash,
    /// Never, although the listener is closed. Not even the head is sent.
    Silent,
}

/// What an endpoint answers.
#[derive(Clone, Debug)]
struct Answer {
    /// HTTP version of the status line.
    version: &'static str,
    end: End,
    /// Id of the endpoint; requests for another one are declined.
    endpoint: String,
}

/// Reads until the blank line after a head. Returns the head in lower case.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).to_ascii_lowercase())
}

fn field(head: &str, name: &str) -> String {
    let value = head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
    value.unwrap_or_default().trim().to_string()
}

/// Answers a request. Returns how the answer ended; `None` if the request was declined.
async fn answer(
    stream: &mut TcpStream,
    answer: &Mutex<Answer>,
    asked: &AtomicUsize,
) -> std::io::Result<Option<End>> {
    let head = read_head(stream).await?;
    let mut body = vec![0; field(&head, "content-length").parse().unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    let Answer { version, end, endpoint } = answer.lock().expect("lock").clone();
    let id = field(&head, "x-basilfield-request-id");
    let echo = format!("x-basilfield-request-id: {id}\r\n");
    if field(&head, "x-basilfield-expect-instance") != endpoint {
        let declined = format!("HTTP/1.1 421 Other\r\n{echo}content-length: 0\r\n\r\n");
        stream.write_all(declined.as_bytes()).await?;
        return Ok(None);
    }
    if matches!(end, End::Declined) {
        let declined = format!(
            "HTTP/1.1 503 Full\r\n{echo}x-basilfield-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(declined.as_bytes()).await?;
        return Ok(None);
    }
    if matches!(end, End::Silent) {
        asked.fetch_add(1, Ordering::SeqCst);
        return Ok(Some(end));
    }
    let is_first = asked.fetch_add(1, Ordering::SeqCst) == 0;
    let answer = format!("{version} 200 OK\r\n{echo}content-type: text/event-stream\r\n\r\n");
    stream.write_all(answer.as_bytes()).await?;
    let count = match end {
        End::Complete | End::LateReset => EVENT_COUNT,
        End::WithinEvent | End::Reset => BROKEN_COUNT,
        End::Unnumbered => {
            if is_first {
                BROKEN_COUNT
            } else {
                EVENT_COUNT
            }
        }
        End::Crash => FEW_COUNT,
        End::Empty | End::Comment | End::Declined | End::Silent => 0,
    };
    let last = field(&head, "last-event-id").parse().unwrap_or(0);
    let after = if matches!(end, End::LateReset) { last } else { 0 };
    for n in after + 1..=count {
        let number = match end {
            End::Unnumbered => String::new(),
            _ => format!("id: {n}\n"),
        };
        let event = format!("{number}data: {}\n\n", plain::event_data(&id, n));
        stream.write_all(event.as_bytes()).await?;
        time::sleep(Duration::from_millis(5)).await;
    }
    match end {
        End::Complete | End::Empty | End::Crash | End::Declined | End::Silent => {}
        End::Comment => stream.write_all(b": open\n\n").await?,
        End::WithinEvent => stream.write_all(b"id: 11\ndata: ").await?,
        End::LateReset | End::Unnumbered if !is_first => {}
        End::Reset | End::LateReset | End::Unnumbered => stream.set_zero_linger()?,
    }
    Ok(Some(end))
}

/// Starts the endpoint under test on a new address.
async fn listen(
    script: &Arc<Mutex<Answer>>,
    asked: &Arc<AtomicUsize>,
) -> (SocketAddr, task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let (script, asked) = (script.clone(), asked.clone());
    let accept = tokio::spawn(async move {
        let (crash, mut crashed) = mpsc::channel(1);
        loop {
            let mut stream = tokio::select! {
                accepted = listener.accept() => accepted.expect("connection").0,
                _ = crashed.recv() => return,
            };
            let (script, asked, crash) = (script.clone(), asked.clone(), crash.clone());
            tokio::spawn(async move {
                // The caller sees the error on its side of the connection.
                let ended = answer(&mut stream, &script, &asked).await;
                if matches!(ended, Ok(Some(End::Crash | End::Silent))) {
                    // The listener is closed before the connection.
                    let _ = crash.send(()).await;
                    crash.closed().await;
                }
                if matches!(ended, Ok(Some(End::Silent))) {
                    time::sleep(ANSWER_TIMEOUT).await;
                }
            });
        }
    });
    (address, accept)
}

/// Fleet with an endpoint under test beside others, if any.
struct Fleet {
    world: World,
    address: SocketAddr,
    accept: task::JoinHandle<()>,
    answer: Arc<Mutex<Answer>>,
    /// Requests that the endpoint has answered.
    asked: Arc<AtomicUsize>,
    /// Slots of the endpoint.
    slots: u32,
    /// Service that the endpoint registers.
    service: &'static str,
    seq: u64,
}

impl Fleet {
    async fn start(size: Size) -> Fleet {
        let world = World::start(size).await;
        let first = Answer { version: "HTTP/1.1", end: End::Complete, endpoint: String::default() };
        let (answer, asked) = (Arc::new(Mutex::new(first)), Arc::default());
        let (address, accept) = listen(&answer, &asked).await;
        let (slots, service) = (MANY_SLOTS, fleet_world::SERVICE);
        Fleet { world, address, accept, answer, asked, slots, service, seq: 0 }
    }

    /// Starts a fleet in which only the endpoint under test serves.
    async fn start_alone() -> Fleet {
        let mut fleet = Fleet::start(Size { stores: 3, ..SIZE }).await;
        // Entries are ready only once they know an endpoint.
        fleet.world.remove_build(fleet_world::DEFAULT_BUILD).await;
        fleet
    }

    /// Puts a configuration in force at every host that moves the route of items to `service`.
    async fn move_items(&self, service: &str) {
        let mut document: serde_json::Value =
            serde_json::from_str(&self.world.config(2)).expect("configuration");
        let routes = document["routes"].as_array_mut().expect("routes");
        for route in routes.iter_mut().filter(|r| r["kind"] == "batch") {
            route["service"] = json!(service);
        }
        let services = document["services"].as_array_mut().expect("services");
        services.push(json!({ "name": service, "maxConns": 200 }));
        let begun = time::Instant::now();
        while self.world.put_config(&document.to_string()).await != 200 {
            assert!(begun.elapsed() < ANSWER_TIMEOUT, "{}", self.world.logs());
            time::sleep(Duration::from_millis(100)).await;
        }
        let is_in_force = |role| {
            let log = self.world.logs_of(role);
            let changes = log.lines().filter(|l| {
                l.contains("\"msg\":\"configuration in force\"") && l.contains("\"version\":2")
            });
            changes.count() >= self.world.hosts_of(role).len()
        };
        let known = || is_in_force(Role::Entry) && is_in_force(Role::Store);
        assert!(fleet_world::wait_until(ANSWER_TIMEOUT, known).await, "{}", self.world.logs());
    }

    /// Gives the endpoint an answer and registers it under a new id, which is not avoided yet. An
    /// endpoint that has crashed is deregistered and starts again on another address.
    async fn set(&mut self, version: &'static str, end: End) {
        let status = self.register(version, end).await;
        assert_eq!(status, 200, "{}", self.world.logs());
        self.world.send_heartbeats().await;
    }

    /// Does so at a service of its own, whose first endpoint may have to register again.
    async fn set_at_service(&mut self, service: &'static str, end: End) {
        self.service = service;
        let begun = time::Instant::now();
        while self.register("HTTP/1.1", end).await != 200 {
            assert!(begun.elapsed() < ANSWER_TIMEOUT, "{}", self.world.logs());
            time::sleep(Duration::from_millis(100)).await;
        }
        self.world.send_heartbeats().await;
    }

    /// Gives the endpoint an answer and registers it. Returns the status of the registration.
    async fn register(&mut self, version: &'static str, end: End) -> u16 {
        let control = self.world.hosts_of(Role::Control)[0];
        let to = (self.world.hosts[control].process_address, fleet_world::OPERATOR_PORT).into();
        if self.accept.is_finished() {
            let id = self.answer.lock().expect("lock").endpoint.clone();
            let path = format!("/-/instances/{id}");
            let status = client::call(to, "DELETE", &path, &[], String::new()).await.0;
            assert_eq!(status, 200, "{}", self.world.logs());
            (self.address, self.accept) = listen(&self.answer, &self.asked).await;
        }
        self.seq += 1;
        let endpoint = format!("raw-{}", self.seq);
        let path = format!("/-/instances/{endpoint}");
        *self.answer.lock().expect("lock") = Answer { version, end, endpoint };
        let body = json!({
            "service": self.service, "address": self.address, "zone": "d0",
            "version": fleet_world::DEFAULT_BUILD, "slots": self.slots, "state": "ready",
            "coldMs": 0, "callSeq": self.seq,
        });
        client::call(to, "PUT", &path, &[], body.to_string()).await.0
    }

    /// Sends a request whose prompt has the given parts to the endpoint under test, which crashes, and
    /// waits until every host knows it. Returns the number of events that the caller got and of
    /// requests that the endpoint got.
    async fn crash(&mut self, parts: &str) -> (u64, usize) {
        self.set("HTTP/1.1", End::Crash).await;
        self.wait_until_known().await;
        let before = self.asked.load(Ordering::SeqCst);
        let caller = self.send(parts).await.0;
        time::sleep(CRASH_TIME).await;
        (caller.last, self.asked.load(Ordering::SeqCst) - before)
    }

    /// Sends a request with the given shared parts in a prompt of its own, which runs once.
    async fn send(&mut self, parts: &str) -> (client::Attempt, client::StreamEnd) {
        self.seq += 1;
        let mut caller = client::Attempt::new(ONCE_PREFIX, &format!("prompt-{}", self.seq));
        caller.prompt = self.prompt(parts);
        let ended = caller.run(self.entry(), u64::MAX).await;
        (caller, ended)
    }

    /// Prompt with shared parts and one of its own.
    fn prompt(&self, parts: &str) -> String {
        let shared: Vec<String> = parts.split(',').map(|part| format!("{part}:100")).collect();
        format!("f1:100,{},{:x}:250", shared.join(","), 0x1000 + self.seq)
    }

    /// Waits until the entry has logged the last registration of the endpoint.
    async fn wait_until_known(&self) {
        let id = self.answer.lock().expect("lock").endpoint.clone();
        self.wait_until_known_as(&id).await;
    }

    /// Waits until the entry has logged a registration of the endpoint `id`.
    async fn wait_until_known_as(&self, id: &str) {
        let id = format!("\"{id}\"");
        let is_known = |l: &str| l.contains("endpoint changed") && l.contains(&id);
        let known = || self.world.logs_of(Role::Entry).lines().any(is_known);
        let known = fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, known).await;
        assert!(known, "{}", self.world.logs());
    }

    fn entry(&self) -> SocketAddr {
        self.world.caller_address(self.world.hosts_of(Role::Entry)[0])
    }

    /// Sends a request on a new connection that the endpoint under test gets first. Tells how its
    /// answer is framed and how it ends.
    async fn ask(&self, prefix: &str, id: &str) -> String {
        self.ask_after(prefix, id, 0).await
    }

    /// Sends a request as [`Fleet::ask`] does, for a stream of which event number `last` has arrived.
    async fn ask_after(&self, prefix: &str, id: &str, last: u64) -> String {
        for turn in 0..40 {
            let before = self.asked.load(Ordering::SeqCst);
            let mut stream = TcpStream::connect(self.entry()).await.expect("connection");
            let id = format!("{id}-{turn}");
            let read = read_answer(&mut stream, prefix, &id, last);
            let read = time::timeout(ANSWER_TIMEOUT, read).await;
            if self.asked.load(Ordering::SeqCst) > before {
                return read.unwrap_or_else(|_| "without end".into());
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no request reaches the endpoint\n{}", self.world.logs());
    }

    /// Waits until the log of the entry has a line with an event of a request.
    async fn is_logged(&self, id: &str, event: u16) -> bool {
        let begun = time::Instant::now();
        let (id, event) = (format!("\"request\":\"{id}"), format!("\"event\":{event}"));
        while begun.elapsed() < ANSWER_TIMEOUT {
            let log = self.world.logs_of(Role::Entry);
            if log.lines().any(|l| l.contains(&id) && l.contains(&event)) {
                return true;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

async fn read_answer(stream: &mut TcpStream, prefix: &str, id: &str, last: u64) -> String {
    let resumed = match last {
        0 => String::new(),
        last => format!("last-event-id: {last}\r\n"),
    };
    let request = format!(
        "POST {prefix}{id} HTTP/1.1\r\nhost: {}\r\nx-basilfield-request-id: {id}\r\n\
         x-basilfield-deadline-ms: 6000\r\n{resumed}content-length: 3\r\n\r\nask",
        fleet_world::ROUTE_HOST
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let Ok(head) = read_head(stream).await else { return "no answer".into() };
    let line = head.lines().next().unwrap_or_default().to_string();
    let length = field(&head, "content-length").parse::<usize>().ok();
    let is_chunked = field(&head, "transfer-encoding") == "chunked";
    let mut body = Vec::new();
    let mut buf = [0; 4_096];
    let end = loop {
        if is_chunked && body.ends_with(b"0\r\n\r\n") || length == Some(body.len()) {
            break "complete";
        }
        match stream.read(&mut buf).await {
            Ok(0) if !is_chunked && length.is_none() => break "ends with its connection",
            Ok(0) | Err(_) => break "cut off",
            Ok(n) => body.extend_from_slice(&buf[..n]),
        }
    };
    let text = String::from_utf8_lossy(&body);
    let events = text.matches("\ndata: ").count();
    format!("{line}, {events} events, {end}")
}

/// Sends requests to the endpoint under test, which ends its answers in each of the given ways.
async fn ask_each(ends: &[End], prefixes: &[&str]) -> String {
    let mut fleet = Fleet::start(SIZE).await;
    let mut seen = Vec::new();
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        for end in ends {
            for prefix in prefixes {
                fleet.set(version, *end).await;
                let result = fleet.ask(prefix, &format!("r-{}", fleet.seq)).await;
                seen.push(format!("{version} {end:?} {prefix}: {result}"));
            }
        }
    }
    seen.join("\n")
}

/// Guards against an answer that is passed on in the framing of its endpoint: the caller cannot tell
/// the end of an answer without length and chunks from a break.
#[test]
fn broken_answer_without_length_looks_complete() {
    run(async {
        let ends = [End::Complete, End::WithinEvent, End::Reset];
        let seen = ask_each(&ends, &[STREAM_PREFIX, ONCE_PREFIX, SAFE_PREFIX]).await;
        insta::assert_snapshot!(seen, @r"
        HTTP/1.1 Complete /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.1 Complete /once/: http/1.1 200 ok, 20 events, complete
        HTTP/1.1 Complete /safe/: http/1.1 200 ok, 20 events, complete
        HTTP/1.1 WithinEvent /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.1 WithinEvent /once/: http/1.1 200 ok, 10 events, cut off
        HTTP/1.1 WithinEvent /safe/: http/1.1 200 ok, 11 events, complete
        HTTP/1.1 Reset /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.1 Reset /once/: http/1.1 200 ok, 10 events, cut off
        HTTP/1.1 Reset /safe/: http/1.1 200 ok, 20 events, complete
        HTTP/1.0 Complete /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.0 Complete /once/: http/1.1 200 ok, 20 events, complete
        HTTP/1.0 Complete /safe/: http/1.1 200 ok, 20 events, complete
        HTTP/1.0 WithinEvent /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.0 WithinEvent /once/: http/1.1 200 ok, 10 events, cut off
        HTTP/1.0 WithinEvent /safe/: http/1.1 200 ok, 11 events, complete
        HTTP/1.0 Reset /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.0 Reset /once/: http/1.1 200 ok, 10 events, cut off
        HTTP/1.0 Reset /safe/: http/1.1 200 ok, 20 events, complete
        ");
    });
}

/// Guards against a stream without events for the caller because the connection of its endpoint, which
/// sends neither length nor chunks, ended before the first event.
#[test]
fn answer_without_events_looks_complete() {
    run(async {
        let seen = ask_each(&[End::Empty], &[STREAM_PREFIX, ONCE_PREFIX]).await;
        insta::assert_snapshot!(seen, @r"
        HTTP/1.1 Empty /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.1 Empty /once/: http/1.1 502 bad gateway, 0 events, complete
        HTTP/1.0 Empty /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.0 Empty /once/: http/1.1 502 bad gateway, 0 events, complete
        ");
    });
}

/// Guards against a stream without events for the caller because a comment of its endpoint, whose
/// connection then ended, counted as an event.
#[test]
fn answer_of_a_comment_looks_complete() {
    run(async {
        let seen = ask_each(&[End::Comment], &[STREAM_PREFIX, ONCE_PREFIX]).await;
        insta::assert_snapshot!(seen, @r"
        HTTP/1.1 Comment /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.1 Comment /once/: http/1.1 502 bad gateway, 0 events, complete
        HTTP/1.0 Comment /stream/: http/1.1 200 ok, 20 events, complete
        HTTP/1.0 Comment /once/: http/1.1 502 bad gateway, 0 events, complete
        ");
    });
}

/// Guards against a stream that ends early for a caller who has taken it up again, because the
/// connection of its endpoint ended before the first event.
#[test]
fn resumed_answer_without_events_looks_complete() {
    run(async {
        let mut fleet = Fleet::start(SIZE).await;
        fleet.set("HTTP/1.1", End::Empty).await;
        let seen = fleet.ask_after(STREAM_PREFIX, "resumed", BROKEN_COUNT).await;
        insta::assert_snapshot!(seen, @"http/1.1 200 ok, 10 events, complete");
    });
}

/// Finishes a job while the endpoint under test ends its answers in the given way.
async fn finish_job(end: End) {
    let mut fleet = Fleet::start(Size { stores: 3, ..SIZE }).await;
    fleet.set("HTTP/1.1", end).await;
    let (entries, mut seen) = ([fleet.entry()], Vec::new());
    assert!(client::submit(&entries, "job", 5).await, "{}", fleet.world.logs());
    let finished = client::finish(&entries, "job", 5, &mut seen, JOB_TIMEOUT).await;
    assert_eq!(finished, Ok(()), "{}", fleet.world.logs());
    assert!(fleet.asked.load(Ordering::SeqCst) > 0, "{}", fleet.world.logs());
}

/// Guards against an item that is completed without output because the connection of its endpoint
/// ended before the first event.
#[test]
fn item_without_events_is_completed() {
    run(finish_job(End::Empty));
}

/// Guards against an item that is completed without output because a comment of its endpoint, whose
/// connection then ended, counted as an event.
#[test]
fn item_of_a_comment_is_completed() {
    run(finish_job(End::Comment));
}

/// Guards against a part that crashes endpoints and is never found, because the few events of an
/// answer without length and chunks, whose endpoint then crashed, counted as the whole answer.
#[test]
fn crash_after_few_events_counts_as_answer() {
    run(async {
        let mut fleet = Fleet::start_alone().await;
        let mut seen = Vec::new();
        for _ in 0..4 {
            seen.push(fleet.crash("bad").await);
        }
        assert_eq!(seen, [(2, 1), (2, 1), (2, 1), (0, 0)], "{}", fleet.world.logs());
    });
}

/// Guards against items that crash one endpoint after the other, because the few events of an answer
/// without length and chunks, whose endpoint then crashed, counted as the whole answer.
#[test]
fn crash_after_few_events_of_item_counts_as_answer() {
    run(async {
        let mut fleet = Fleet::start_alone().await;
        for n in 0..4 {
            fleet.set("HTTP/1.1", End::Crash).await;
            let prompts = [format!("f1:100,bad:100,{:x}:250", 0x100 + n)];
            let job = format!("crash-{n}");
            let entries = [fleet.entry()];
            assert!(client::submit_with_prompts(&entries, &job, &prompts).await);
            let limit = if n < 3 { ANSWER_TIMEOUT } else { CRASH_TIME };
            let crashed = fleet_world::wait_until(limit, || fleet.accept.is_finished()).await;
            assert_eq!(crashed, n < 3, "{job}\n{}", fleet.world.logs());
            time::sleep(CRASH_TIME).await;
        }
    });
}

/// Guards against a prompt that is not named after a crash of the endpoint that was asked to take its
/// request over, which was silent until it was given up.
#[test]
fn crash_of_silent_replacement_names_no_prompt() {
    run(async {
        let mut fleet = Fleet::start(SIZE).await;
        fleet.world.set_all_faults(fleet_world::pause(0, ANSWER_TIMEOUT));
        let mut caller = client::Attempt::new(STREAM_PREFIX, "silent");
        caller.prompt = fleet.prompt("bad");
        let entry = fleet.entry();
        let stream = tokio::spawn(async move { caller.run(entry, u64::MAX).await });
        let runs = || fleet.world.running() > 0;
        assert!(fleet_world::wait_until(ANSWER_TIMEOUT, runs).await, "{}", fleet.world.logs());
        fleet.set("HTTP/1.1", End::Silent).await;
        let is_named = || {
            let log = fleet.world.logs_of(Role::Entry);
            let mut lines = log.lines().filter(|l| l.contains("endpoint crashed under requests"));
            lines.any(|l| l.contains("\"broken\":\"silent\"") && l.contains("raw-1"))
        };
        let named = fleet_world::wait_until(ANSWER_TIMEOUT, is_named).await;
        let asked = fleet.asked.load(Ordering::SeqCst);
        assert_eq!((asked, named), (1, true), "{}", fleet.world.logs());
        drop(stream);
    });
}

/// Guards against the trial of a part that is used up although the endpoint declined it.
#[test]
fn declined_trial_is_used_up() {
    run(async {
        let mut fleet = Fleet::start_alone().await;
        for _ in 0..3 {
            assert_eq!(fleet.crash("bad").await, (2, 1), "{}", fleet.world.logs());
        }
        time::sleep(TRIAL_TIME).await;
        // The endpoint that declines has far more slots and is asked first.
        fleet.slots = MANY_SLOTS * 1_000;
        fleet.set("HTTP/1.1", End::Declined).await;
        fleet.world.start_endpoint(0).await;
        fleet.world.send_heartbeats_until_ready().await;
        fleet.wait_until_known().await;
        // The entry is ready as soon as it knows the endpoint that declines.
        fleet.wait_until_known_as(fleet.world.endpoint(0).id()).await;
        let ended = fleet.send("bad").await.1;
        let is_declined = || fleet.world.logs_of(Role::Entry).contains("declined with 503");
        let declined = fleet_world::wait_until(ANSWER_TIMEOUT, is_declined).await;
        assert!(declined, "{}", fleet.world.logs());
        assert_eq!(ended, client::StreamEnd::Complete, "{}", fleet.world.logs());
    });
}

/// Guards against the trial of a part that is used up although the endpoint declined the item.
#[test]
fn declined_trial_of_item_is_used_up() {
    run(async {
        let mut fleet = Fleet::start_alone().await;
        for _ in 0..3 {
            assert_eq!(fleet.crash("bad").await, (2, 1), "{}", fleet.world.logs());
        }
        fleet.set("HTTP/1.1", End::Declined).await;
        let entries = [fleet.entry()];
        let prompts = [fleet.prompt("bad")];
        assert!(client::submit_with_prompts(&entries, "job", &prompts).await);
        let is_declined = || fleet.world.logs_of(Role::Store).contains("\"cause\":\"declined\"");
        let declined = fleet_world::wait_until(JOB_TIMEOUT, is_declined).await;
        assert!(declined, "{}", fleet.world.logs());
        fleet.set("HTTP/1.1", End::Complete).await;
        let finished = client::finish(&entries, "job", 1, &mut Vec::new(), ANSWER_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", fleet.world.logs());
    });
}

/// Guards against a part that was quarantined while an item waited with the trial of another one, and
/// that reaches an endpoint along with it.
#[test]
fn trial_of_item_lets_another_part_through() {
    run(async {
        let mut fleet = Fleet::start_alone().await;
        // Items have a service of their own, which has no endpoint yet.
        fleet.move_items(ITEM_SERVICE).await;
        for _ in 0..3 {
            assert_eq!(fleet.crash("bad1").await, (2, 1), "{}", fleet.world.logs());
        }
        let prompts = [fleet.prompt("bad1,bad2")];
        assert!(client::submit_with_prompts(&[fleet.entry()], "job", &prompts).await);
        let is_granted = || {
            let log = fleet.world.logs_of(Role::Store);
            log.lines().any(|l| l.contains("trial of a quarantined cause") && l.contains("job-0"))
        };
        let granted = fleet_world::wait_until(JOB_TIMEOUT, is_granted).await;
        assert!(granted, "{}", fleet.world.logs());
        for _ in 0..3 {
            assert_eq!(fleet.crash("bad2").await, (2, 1), "{}", fleet.world.logs());
        }
        // The next trial of the other part is 8 s away once the first one has failed.
        time::sleep(TRIAL_TIME).await;
        assert_eq!(fleet.crash("bad2").await, (2, 1), "{}", fleet.world.logs());
        fleet.set_at_service(ITEM_SERVICE, End::Crash).await;
        let crashed = fleet_world::wait_until(CRASH_TIME * 4, || fleet.accept.is_finished()).await;
        assert!(!crashed, "{}", fleet.world.logs());
    });
}

/// Guards against events without ids that a caller gets twice, because another run begins with them
/// after a break.
#[test]
fn stream_repeats_events_without_ids() {
    run(async {
        let mut fleet = Fleet::start_alone().await;
        fleet.set("HTTP/1.1", End::Unnumbered).await;
        let broken = fleet.ask(STREAM_PREFIX, "broken").await;
        let whole = fleet.ask(STREAM_PREFIX, "whole").await;
        insta::assert_snapshot!(format!("{broken}\n{whole}"), @r"
        http/1.1 200 ok, 10 events, cut off
        http/1.1 200 ok, 20 events, complete
        ");
    });
}

/// Expects an item to be completed with its whole output by the only endpoint, whose answers end in
/// this way.
async fn complete_item(end: End) {
    let mut fleet = Fleet::start_alone().await;
    fleet.set("HTTP/1.1", end).await;
    let (entries, mut seen) = ([fleet.entry()], Vec::new());
    assert!(client::submit(&entries, "job", 1).await, "{}", fleet.world.logs());
    let finished = client::finish(&entries, "job", 1, &mut seen, JOB_TIMEOUT).await;
    assert_eq!(finished, Ok(()), "{}", fleet.world.logs());
    assert_eq!(seen[0]["state"], "completed", "{}", fleet.world.logs());
}

/// Guards against events without ids that stand twice in the output of an item, because another run
/// begins with them after a break.
#[test]
fn item_repeats_events_without_ids() {
    run(complete_item(End::Unnumbered));
}

/// Guards against an item that runs until it is given up because its connection was lost after the last
/// event: the answers without length and chunks that go on there have no event.
#[test]
fn item_whose_end_was_lost_never_ends() {
    run(complete_item(End::LateReset));
}

/// Guards against requests whose end is in no log line, so that the log cannot tell an answer that was
/// delivered from one that was lost.
#[test]
fn end_of_request_is_not_logged() {
    run(async {
        let mut fleet = Fleet::start(SIZE).await;
        let mut seen = Vec::new();
        fleet.set("HTTP/1.1", End::Complete).await;
        fleet.ask(SAFE_PREFIX, "whole").await;
        seen.push(format!("whole answer: {}", fleet.is_logged("whole", 706).await));
        fleet.set("HTTP/1.1", End::Reset).await;
        fleet.ask(ONCE_PREFIX, "broken").await;
        seen.push(format!("broken off: {}", fleet.is_logged("broken", 713).await));
        for endpoint in fleet.world.endpoints.iter().flatten() {
            endpoint
                .set_faults(plain::FaultRates { lost_rate: 1.0, ..plain::FaultRates::default() });
        }
        for (prefix, id) in [(SAFE_PREFIX, "left-whole"), (STREAM_PREFIX, "left-stream")] {
            let mut stream = TcpStream::connect(fleet.entry()).await.expect("connection");
            let read = read_answer(&mut stream, prefix, id, 0);
            let _ = time::timeout(Duration::from_millis(300), read).await;
            drop(stream);
            seen.push(format!("{id}: {}", fleet.is_logged(id, 708).await));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        whole answer: true
        broken off: true
        left-whole: true
        left-stream: true
        ");
    });
}

/// Time for which the configuration changes, and time between two changes.
const CHANGE_TIME: Duration = Duration::from_secs(6);
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Callers with a kept connection each.
const CALLER_COUNT: usize = 8;

/// Configuration that differs from the one before in time limits, limits of idle connections, shares
/// and a further route.
fn changed_config(world: &World, version: u64) -> String {
    let mut config: Value = serde_json::from_str(&world.config(version)).expect("document");
    config["limits"]["idleMs"] = json!(3_000 + version % 4 * 3_000);
    let routes = config["routes"].as_array_mut().expect("routes");
    if version.is_multiple_of(2) {
        routes.retain(|r| r["name"] != "plain" && r["name"] != "version");
    }
    for route in routes {
        route["timeoutMs"] = json!(5_000 + version % 3 * 500);
        let share = |weight: u64| json!({ "service": fleet_world::SERVICE, "weight": weight });
        route["split"] = json!([share(version % 5 * 20), share(20)]);
    }
    config.to_string()
}

/// Sends requests on a kept connection until `end`. Returns how each of them ended.
async fn send_requests(entry: SocketAddr, caller: usize, end: time::Instant) -> Vec<String> {
    let connections = upstream::Upstream::default();
    let mut seen = Vec::new();
    for turn in 0.. {
        if time::Instant::now() > end {
            break;
        }
        let prefix = [STREAM_PREFIX, ONCE_PREFIX, SAFE_PREFIX][(caller + turn) % 3];
        let id = format!("c{caller}-{turn}");
        let ended = client::stream_on(&connections, entry, prefix, &id).await;
        seen.push(format!("{prefix} {ended:?}"));
    }
    seen
}

/// Guards against a request that ends with neither an answer nor a refusal beside changes of the
/// configuration, while endpoints are silent for a while and answer without length and chunks.
#[test]
fn request_is_lost_beside_changes() {
    run(async {
        let mut fleet = Fleet::start(THREE_ENDPOINTS).await;
        let pause = plain::Pause { rate: 0.2, before: 10, length: Duration::from_millis(1_500) };
        for endpoint in fleet.world.endpoints.iter().flatten() {
            endpoint.set_faults(plain::FaultRates {
                pause: Some(pause),
                ..plain::FaultRates::default()
            });
        }
        fleet.slots = 6;
        fleet.set("HTTP/1.1", End::Complete).await;
        let entry = fleet.entry();
        let end = time::Instant::now() + CHANGE_TIME;
        let callers: Vec<_> =
            (0..CALLER_COUNT).map(|c| tokio::spawn(send_requests(entry, c, end))).collect();
        let mut version = 1;
        while time::Instant::now() < end {
            version += 1;
            let document = changed_config(&fleet.world, version);
            assert_eq!(fleet.world.put_config(&document).await, 200, "{}", fleet.world.logs());
            time::sleep(CHANGE_INTERVAL).await;
        }
        let mut seen = Vec::new();
        for caller in callers {
            seen.extend(caller.await.expect("task"));
        }
        let answered = seen.iter().filter(|s| s.ends_with("Complete")).count();
        let lost: Vec<&String> =
            seen.iter().filter(|s| !s.ends_with("Complete") && !s.ends_with("NotRun")).collect();
        assert!(lost.is_empty(), "{lost:?} of {}\n{}", seen.len(), fleet.world.logs());
        assert!(answered > CALLER_COUNT && version > 5, "{answered} answers, version {version}");
    });
}

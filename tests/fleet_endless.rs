//! Endpoints in trouble that send bytes without end, until their caller closes the connection.

mod fleet_world;

use basilfield::agent;
use basilfield::emulator::plain;
use basilfield::fleet::runner;
use basilfield::fleet::sse;
use basilfield::fleet::upstream;
use bytes::Bytes;
use fleet_world::Role;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::raw;
use http_body_util::Full;
use serde_json::json;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 0, entries: 1, endpoints: 1 };
/// Time limit of the routes under test.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time that callers allow where an answer arrives slowly.
const SHORT_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time after its deadline within which a request must have ended, also on a busy machine.
const END_MARGIN: Duration = Duration::from_millis(2_000);
/// Longest time for a job of a few items, including the runs at the endpoint in trouble.
const JOB_TIMEOUT: Duration = Duration::from_secs(40);
/// Memory of the smallest entries.
const ENTRY_MEMORY: u64 = 160_000_000;
/// Far more slots than the other endpoint, so that requests go to the endpoint in trouble first.
const MANY_SLOTS: u32 = 2_000;
/// Time within which an answer without end must have failed.
const FAILURE_TIME: Duration = Duration::from_millis(4_000);
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "connection: close\r\n\r\n";

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(test);
}

/// What an endpoint answers. `{id}` stands for the id of the request.
#[derive(Clone, Default)]
struct Script {
    start: String,
    /// Follows the start without end; `{n}` stands for a counter.
    piece: String,
    /// Pause after each piece.
    pause: Duration,
    /// Id of the endpoint; requests for another one are declined. Any if empty.
    endpoint: String,
}

impl Script {
    /// Answer without end, after the head of a response with the given status and headers.
    fn endless(status: &str, headers: &str, piece: &str) -> Script {
        let start = format!("HTTP/1.1 {status}\r\nx-basilfield-request-id: {{id}}\r\n{headers}");
        Script { start, piece: piece.into(), ..Script::default() }
    }
}

#[derive(Default)]
struct Counts {
    requests: AtomicUsize,
    open: AtomicUsize,
    sent: AtomicU64,
}

/// Endpoint that writes bytes to its callers.
struct RawEndpoint {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    counts: Arc<Counts>,
}

impl RawEndpoint {
    fn start(script: Script) -> RawEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let address = listener.local_addr().expect("address");
        let script = Arc::new(Mutex::new(script));
        let counts = Arc::<Counts>::default();
        let endpoint = RawEndpoint { address, script: script.clone(), counts: counts.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, counts) = (script.clone(), counts.clone());
                std::thread::spawn(move || {
                    counts.open.fetch_add(1, Ordering::SeqCst);
                    // Ends with an error once the caller has closed the connection.
                    let _ = serve(stream, &script, &counts);
                    counts.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }

    fn set(&self, script: Script) {
        *self.script.lock().expect("lock") = script;
    }

    fn requests(&self) -> usize {
        self.counts.requests.load(Ordering::SeqCst)
    }

    fn sent(&self) -> u64 {
        self.counts.sent.load(Ordering::SeqCst)
    }

    /// Whether every caller has closed its connection within the time.
    async fn is_left_within(&self, limit: Duration) -> bool {
        let begun = Instant::now();
        while self.counts.open.load(Ordering::SeqCst) > 0 {
            if begun.elapsed() > limit {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        true
    }
}

fn serve(mut stream: TcpStream, script: &Mutex<Script>, counts: &Counts) -> std::io::Result<()> {
    loop {
        let request = raw::Request::read(&mut stream)?;
        let id = request.field("x-basilfield-request-id:");
        let meant = request.field("x-basilfield-expect-instance:");
        let Script { start, piece, pause, endpoint } = script.lock().expect("lock").clone();
        if !endpoint.is_empty() && meant != endpoint {
            let head = format!("HTTP/1.1 421 Other\r\nx-basilfield-request-id: {id}\r\n");
            stream.write_all(format!("{head}content-length: 0\r\n\r\n").as_bytes())?;
            continue;
        }
        counts.requests.fetch_add(1, Ordering::SeqCst);
        stream.write_all(start.replace("{id}", id).as_bytes())?;
        let mut n = 0;
        while !piece.is_empty() {
            let mut part = String::new();
            while part.len() < 16_000 {
                n += 1;
                part += &piece.replace("{n}", &n.to_string());
                if !pause.is_zero() {
                    break;
                }
            }
            stream.write_all(part.as_bytes())?;
            counts.sent.fetch_add(part.len() as u64, Ordering::SeqCst);
            std::thread::sleep(pause);
        }
    }
}

fn request(id: &str) -> hyper::Request<Full<Bytes>> {
    hyper::Request::builder()
        .method("POST")
        .uri("/")
        .header("host", "endpoint.example")
        .header("x-basilfield-request-id", id)
        .body(Full::new(Bytes::new()))
        .expect("valid request")
}

/// Heads without end, by name.
fn head_scripts() -> Vec<(&'static str, Script)> {
    let bare = |start: &str, piece: &str| Script {
        start: start.into(),
        piece: piece.into(),
        ..Script::default()
    };
    vec![
        ("line", bare("HTTP/1.1 200 OK\r\nx-a: ", "aaaaaaaaaaaaaaaa")),
        ("lines", bare("HTTP/1.1 200 OK\r\n", "x-a: aaaaaaaaaaaaaaaa\r\n")),
        ("1xx", bare("", "HTTP/1.1 100 Continue\r\n\r\n")),
        ("noise", bare("", "aaaaaaaaaaaaaaaa\r\n")),
        ("blank lines", bare("", "\r\n")),
    ]
}

/// Bodies without end, by name.
fn body_scripts() -> Vec<(&'static str, Script)> {
    vec![
        ("unframed", Script::endless("200 OK", UNFRAMED, "aaaaaaaaaaaaaaaa")),
        ("length", Script::endless("200 OK", "content-length: 99999999999\r\n\r\n", "aaaaaaaa")),
        (
            "chunked",
            Script::endless("200 OK", CHUNKED, &format!("400\r\n{}\r\n", "a".repeat(1_024))),
        ),
        ("chunk line", Script::endless("200 OK", &format!("{CHUNKED}8;"), "aaaaaaaa")),
        ("chunk extensions", Script::endless("200 OK", CHUNKED, "1;aaaaaaaaaaaaaa\r\na\r\n")),
        ("trailers", Script::endless("200 OK", &format!("{CHUNKED}0\r\n"), "x-a: aaaaaa\r\n")),
    ]
}

/// Guards against a head without end that is read until the deadline of the request.
#[test]
fn endless_head_is_not_read_on() {
    run(async {
        let mut seen = Vec::new();
        for (name, script) in head_scripts() {
            let endpoint = RawEndpoint::start(script);
            let upstream = upstream::Upstream::default();
            let sent = upstream.send(endpoint.address, request("r"), true);
            let result = match tokio::time::timeout(FAILURE_TIME, sent).await {
                Ok(Ok(response)) => format!("status {}", response.head.status),
                Ok(Err(failure)) => failure.to_string(),
                Err(_) => format!("read on after {} MB", endpoint.sent() >> 20),
            };
            let left = endpoint.is_left_within(FAILURE_TIME).await;
            seen.push(format!("{name}: {result}; left {left}"));
        }
        insta::assert_snapshot!(seen.join("\n"), @"
        line: connection lost: message head is too large; left true
        lines: connection lost: message head is too large; left true
        1xx: connection lost: connection error: too many bytes that are no answer; left true
        noise: connection lost: invalid HTTP version parsed; left true
        blank lines: connection lost: message head is too large; left true
        ");
    });
}

/// Guards against a body without end that is read until the deadline of the request.
#[test]
fn endless_body_is_not_read_on() {
    const LIMIT: usize = 1 << 20;
    run(async {
        let mut seen = Vec::new();
        for (name, script) in body_scripts() {
            let endpoint = RawEndpoint::start(script);
            let upstream = upstream::Upstream::default();
            let read = async {
                let sent = upstream.send(endpoint.address, request("r"), true).await;
                let mut response = sent.expect("head");
                let read = response.read_body(LIMIT).await;
                read.map_or_else(|cause| cause.to_string(), |body| format!("{} B", body.len()))
            };
            let read = tokio::time::timeout(FAILURE_TIME, read).await;
            let result =
                read.unwrap_or_else(|_| format!("read on after {} MB", endpoint.sent() >> 20));
            let left = endpoint.is_left_within(FAILURE_TIME).await;
            seen.push(format!("{name}: {result}; left {left}"));
        }
        insta::assert_snapshot!(seen.join("\n"), @"
        unframed: the answer is too long; left true
        length: the answer is too long; left true
        chunked: the answer is too long; left true
        chunk line: error reading a body from connection: chunk extensions over limit; left true
        chunk extensions: error reading a body from connection: chunk extensions over limit; left true
        trailers: error reading a body from connection: chunk trailers count overflow; left true
        ");
    });
}

/// Guards against bytes after a complete answer that are read without end, or that are taken for
/// the answer to the next request on the connection.
#[test]
fn endless_bytes_after_an_answer_close_the_connection() {
    run(async {
        let head = "content-length: 2\r\n\r\nok";
        let endpoint = RawEndpoint::start(Script::endless("200 OK", head, "aaaaaaaaaaaaaaaa"));
        let upstream = upstream::Upstream::default();
        for id in ["one", "two"] {
            // The bytes may arrive while the second request is being sent, which is lost then.
            if let Ok(mut response) = upstream.send(endpoint.address, request(id), false).await {
                let body = response.read_body(100).await.expect("body");
                assert_eq!(response.head.headers["x-basilfield-request-id"], id);
                assert_eq!(&body[..], b"ok");
            }
        }
        assert!(endpoint.is_left_within(FAILURE_TIME).await);
        assert!(endpoint.requests() > 0);
    });
}

/// Guards against an event without end that fills the memory of an agent.
#[test]
fn endless_event_is_not_read_on_by_an_agent() {
    run(async {
        let mut seen = Vec::new();
        for (name, piece) in [("event", "data: aaaaaaaa"), ("comments", ": aaaaaaaa\n\n")] {
            let endpoint = RawEndpoint::start(Script::endless("200 OK", UNFRAMED, piece));
            let request = agent::upstream::Request {
                address: endpoint.address,
                method: "POST".into(),
                path: "/".into(),
                content_type: "application/json".into(),
                body: Bytes::new(),
                stall_timeout: FAILURE_TIME,
                header_timeout: FAILURE_TIME,
            };
            let response = agent::upstream::Upstream::new().send(&request).await;
            let mut events = response.expect("head").events();
            let read = tokio::time::timeout(FAILURE_TIME / 2, events.next()).await;
            drop(events);
            let failed = matches!(read, Ok(Err(_)));
            let left = endpoint.is_left_within(FAILURE_TIME).await;
            seen.push(format!("{name}: failed {failed}, left {left}"));
        }
        insta::assert_snapshot!(seen.join("; "), @"event: failed true, left true; comments: failed true, left true");
    });
}

/// Guards against complete events that count towards the limit on an incomplete one.
#[test]
fn complete_events_do_not_count_as_a_long_one() {
    let mut splitter = sse::Splitter::default();
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(1_000));
    let many = event.repeat(2_000);
    let pushed = splitter.push(many.as_bytes());
    let mut count = 0;
    while splitter.next_event().is_some() {
        count += 1;
    }
    // The start of an event that never ends.
    let rest = splitter.push(&vec![b'a'; 1 << 20]);
    let more = splitter.push(b"a");
    insta::assert_snapshot!(format!("{pushed:?} {count} {rest:?} {more:?}"), @"Ok(()) 2000 Ok(()) Err(TooLong)");
}

/// Guards against processor time that grows with the square of the number of events that arrive
/// together.
#[test]
fn many_short_events_are_split_in_time() {
    let mut splitter = sse::Splitter::default();
    splitter.push(&b"data:\n\n".repeat(100_000)).expect("short events");
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < Duration::from_secs(5) && splitter.next_event().is_some() {
        count += 1;
    }
    assert_eq!((count, splitter.remainder().len()), (100_000, 0));
}

/// Fleet with an endpoint in trouble beside a sound one.
struct Fleet {
    world: World,
    endpoint: RawEndpoint,
    seq: u64,
}

impl Fleet {
    async fn start(size: Size) -> Fleet {
        let world = World::start(size).await;
        let route = |prefix: &str, kind: &str, attempts: u32, resumable: bool| {
            json!({
                "name": prefix.trim_matches('/'), "host": fleet_world::ROUTE_HOST,
                "prefix": prefix, "kind": kind, "timeoutMs": ROUTE_TIMEOUT.as_millis() as u64,
                "responseTargetMs": 300, "gapTargetMs": 300, "service": fleet_world::SERVICE,
                "maxAttempts": attempts, "resumable": resumable, "runTargetMs": 18000,
                "maxWaitS": 60.0,
            })
        };
        let config = json!({
            "version": 2,
            "routes": [
                route("/safe/", "safe", 3, false),
                route("/unsafe/", "unsafe", 1, false),
                route("/stream/", "streaming", 3, true),
                route("/once/", "streaming", 1, false),
                route("/batch/", "batch", 3, false),
            ],
            "services": [{ "name": fleet_world::SERVICE, "maxConns": 4000 }],
        });
        assert_eq!(world.put_config(&config.to_string()).await, 200, "{}", world.logs());
        let endpoint = RawEndpoint::start(Script::default());
        Fleet { world, endpoint, seq: 0 }
    }

    fn entry(&self) -> SocketAddr {
        self.world.caller_address(self.world.hosts_of(Role::Entry)[0])
    }

    /// Gives the endpoint a script and registers it under a new id, which is not avoided yet.
    async fn set(&mut self, script: Script) {
        self.seq += 1;
        self.endpoint.set(Script { endpoint: format!("raw-{}", self.seq), ..script });
        let body = json!({
            "service": fleet_world::SERVICE, "address": self.endpoint.address, "zone": "d0",
            "version": "v1", "slots": MANY_SLOTS, "state": "ready", "coldMs": 0,
            "callSeq": self.seq,
        });
        let path = format!("/-/instances/raw-{}", self.seq);
        let control = self.world.hosts_of(Role::Control)[0];
        let to = (self.world.hosts[control].process_address, fleet_world::OPERATOR_PORT).into();
        let status = client::call(to, "PUT", &path, &[], body.to_string()).await.0;
        assert_eq!(status, 200, "{}", self.world.logs());
    }

    /// Sends a request that the endpoint in trouble gets first. Tells how it ended.
    async fn ask(&self, prefix: &str, id: &str, limit: Duration) -> String {
        for turn in 0..40 {
            let before = self.endpoint.requests();
            let begun = Instant::now();
            let (status, body) = ask(self.entry(), &format!("{prefix}{id}-{turn}"), limit).await;
            if self.endpoint.requests() > before {
                let late = if begun.elapsed() > limit + END_MARGIN { "late " } else { "" };
                return format!("{late}{status} {body}");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no request reaches the endpoint\n{}", self.world.logs());
    }
}

/// Sends a request to an entry on a new connection. Returns the status and a summary of the body.
async fn ask(entry: SocketAddr, path: &str, limit: Duration) -> (String, String) {
    let id = path.rsplit('/').next().expect("id");
    let request = hyper::Request::builder()
        .method("POST")
        .uri(path)
        .header("host", fleet_world::ROUTE_HOST)
        .header("x-basilfield-request-id", id)
        .header("x-basilfield-deadline-ms", limit.as_millis().to_string())
        .body(Full::new(Bytes::from("ask")))
        .expect("valid request");
    let Ok(mut response) = upstream::Upstream::default().send(entry, request, true).await else {
        return ("lost".into(), String::new());
    };
    let status = response.head.status.as_u16();
    let mut size = 0;
    let mut tail = Vec::new();
    let limit = tokio::time::Instant::now() + limit + 2 * END_MARGIN;
    let end = loop {
        match tokio::time::timeout_at(limit, response.next_chunk()).await {
            Ok(Ok(Some(bytes))) => {
                size += bytes.len();
                tail.extend_from_slice(&bytes[bytes.len().saturating_sub(4_096)..]);
                tail.drain(..tail.len().saturating_sub(4_096));
            }
            Ok(Ok(None)) => break "",
            Ok(Err(_)) => break " cut off",
            Err(_) => break " without end",
        }
        if tokio::time::Instant::now() > limit {
            break " without end";
        }
    };
    let text = String::from_utf8_lossy(&tail);
    let body = match text.matches("\ndata: ").count() {
        20 => "20 events".to_string(),
        _ if size < 200 => text.trim().replace('\n', " "),
        _ => "many bytes".to_string(),
    };
    (status.to_string(), format!("{body}{end}"))
}

/// Guards against answers without end that hold a request until its deadline although another
/// endpoint could run it, that look complete, or whose cause is not told.
#[test]
fn endless_answers_are_replaced() {
    run(async {
        let mut fleet = Fleet::start(SIZE).await;
        let mut seen = Vec::new();
        let declined = "x-basilfield-not-executed: 1\r\n";
        let more = [
            ("declined", Script::endless("503 Full", &format!("{declined}{UNFRAMED}"), "aaaaaaaa")),
            ("failed", Script::endless("500 Error", UNFRAMED, "aaaaaaaa")),
        ];
        for (name, script) in head_scripts().into_iter().chain(body_scripts()).chain(more) {
            for prefix in ["/safe/", "/unsafe/", "/stream/", "/once/"] {
                fleet.set(script.clone()).await;
                let result = fleet.ask(prefix, &name.replace(' ', "-"), ROUTE_TIMEOUT).await;
                seen.push(format!("{name} {prefix}: {result}"));
            }
        }
        let left = fleet.endpoint.is_left_within(FAILURE_TIME).await;
        seen.push(format!("left {left}"));
        insta::assert_snapshot!(seen.join("\n"), @"
        line /safe/: 200 20 events
        line /unsafe/: 502 outcome unknown: connection lost: message head is too large
        line /stream/: 200 20 events
        line /once/: 502 outcome unknown: connection lost: message head is too large
        lines /safe/: 200 20 events
        lines /unsafe/: 502 outcome unknown: connection lost: message head is too large
        lines /stream/: 200 20 events
        lines /once/: 502 outcome unknown: connection lost: message head is too large
        1xx /safe/: 200 20 events
        1xx /unsafe/: 502 outcome unknown: connection lost: connection error: too many bytes that are no answer
        1xx /stream/: 200 20 events
        1xx /once/: 502 outcome unknown: connection lost: connection error: too many bytes that are no answer
        noise /safe/: 200 20 events
        noise /unsafe/: 502 outcome unknown: connection lost: invalid HTTP version parsed
        noise /stream/: 200 20 events
        noise /once/: 502 outcome unknown: connection lost: invalid HTTP version parsed
        blank lines /safe/: 200 20 events
        blank lines /unsafe/: 502 outcome unknown: connection lost: message head is too large
        blank lines /stream/: 200 20 events
        blank lines /once/: 502 outcome unknown: connection lost: message head is too large
        unframed /safe/: 200 20 events
        unframed /unsafe/: 502 outcome unknown: the answer is too long
        unframed /stream/: 200 20 events
        unframed /once/: 502 outcome unknown: an event is too long
        length /safe/: 200 20 events
        length /unsafe/: 502 outcome unknown: the answer is too long
        length /stream/: 200 20 events
        length /once/: 502 outcome unknown: an event is too long
        chunked /safe/: 200 20 events
        chunked /unsafe/: 502 outcome unknown: the answer is too long
        chunked /stream/: 200 20 events
        chunked /once/: 502 outcome unknown: an event is too long
        chunk line /safe/: 200 20 events
        chunk line /unsafe/: 502 outcome unknown: error reading a body from connection: chunk extensions over limit
        chunk line /stream/: 200 20 events
        chunk line /once/: 502 outcome unknown: error reading a body from connection: chunk extensions over limit
        chunk extensions /safe/: 200 20 events
        chunk extensions /unsafe/: 502 outcome unknown: error reading a body from connection: chunk extensions over limit
        chunk extensions /stream/: 200 20 events
        chunk extensions /once/: 502 outcome unknown: error reading a body from connection: chunk extensions over limit
        trailers /safe/: 200 20 events
        trailers /unsafe/: 502 outcome unknown: error reading a body from connection: chunk trailers count overflow
        trailers /stream/: 200 20 events
        trailers /once/: 502 outcome unknown: error reading a body from connection: chunk trailers count overflow
        declined /safe/: 200 20 events
        declined /unsafe/: 200 20 events
        declined /stream/: 200 20 events
        declined /once/: 200 20 events
        failed /safe/: 200 20 events
        failed /unsafe/: 502 outcome unknown: the answer is too long
        failed /stream/: 200 20 events
        failed /once/: 502 outcome unknown: the answer is too long
        left true
        ");
    });
}

/// Guards against streams of events without end that go on after the deadline of the request, or
/// that hold a request although another endpoint could continue it.
#[test]
fn endless_streams_end_in_time() {
    run(async {
        let mut fleet = Fleet::start(SIZE).await;
        let mut seen = Vec::new();
        let slow = Duration::from_millis(100);
        let events = |piece: &str, pause: Duration| Script {
            pause,
            ..Script::endless("200 OK", UNFRAMED, piece)
        };
        let scripts = [
            ("one event", events("data: aaaaaaaa", Duration::ZERO)),
            ("one line each", events("data: aaaaaaaa\n", Duration::ZERO)),
            ("comment lines", events(": aaaaaaaa\n", Duration::ZERO)),
            ("comments", events(": aaaaaaaa\n\n", Duration::ZERO)),
            ("without ids", events("data: aaaaaaaa\n\n", Duration::ZERO)),
            ("same id", events("id: 1\ndata: aaaaaaaa\n\n", Duration::ZERO)),
            ("slow event", events("data: aaaaaaaa", slow)),
            ("slow comments", events(": aaaaaaaa\n\n", slow)),
            ("slow without ids", events("data: aaaaaaaa\n\n", slow)),
            ("slow same id", events("id: 1\ndata: aaaaaaaa\n\n", slow)),
        ];
        for (name, script) in scripts {
            for prefix in ["/stream/", "/once/"] {
                fleet.set(script.clone()).await;
                let result = fleet.ask(prefix, &name.replace(' ', "-"), SHORT_TIMEOUT).await;
                seen.push(format!("{name} {prefix}: {result}"));
            }
        }
        let left = fleet.endpoint.is_left_within(FAILURE_TIME).await;
        seen.push(format!("left {left}"));
        insta::assert_snapshot!(seen.join("\n"), @"
        one event /stream/: 200 20 events
        one event /once/: 502 outcome unknown: an event is too long
        one line each /stream/: 200 20 events
        one line each /once/: 502 outcome unknown: an event is too long
        comment lines /stream/: 200 20 events
        comment lines /once/: 502 outcome unknown: an event is too long
        comments /stream/: 200 20 events
        comments /once/: 502 outcome unknown: too many comments without an event
        without ids /stream/: 200 many bytes cut off
        without ids /once/: 200 many bytes cut off
        same id /stream/: 200 20 events
        same id /once/: 200 id: 1 data: aaaaaaaa cut off
        slow event /stream/: 200 20 events
        slow event /once/: 504 outcome unknown: the time is over
        slow comments /stream/: 200 20 events
        slow comments /once/: 504 outcome unknown: the time is over
        slow without ids /stream/: 200 many bytes cut off
        slow without ids /once/: 200 many bytes cut off
        slow same id /stream/: 200 20 events
        slow same id /once/: 200 id: 1 data: aaaaaaaa cut off
        left true
        ");
    });
}

/// Largest resident size of a process so far, in bytes.
fn peak_memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("peak");
    line.trim().trim_end_matches(" kB").parse::<u64>().expect("number") * 1_024
}

/// Counts equal ends, sorted.
fn kinds_of(ends: &[(String, String)]) -> Vec<(usize, &(String, String))> {
    let mut kinds: Vec<&(String, String)> = ends.iter().collect();
    kinds.sort();
    kinds.chunk_by(|a, b| a == b).map(|same| (same.len(), same[0])).collect()
}

/// Guards against many answers without end that take more memory than the smallest entries have.
#[test]
fn many_endless_answers_take_bounded_memory() {
    run(async {
        let mut fleet = Fleet::start(SIZE).await;
        let kinds = [
            ("/unsafe/", Script::endless("200 OK", UNFRAMED, "aaaaaaaaaaaaaaaa")),
            ("/once/", Script::endless("200 OK", UNFRAMED, "data: aaaaaaaaaaaaaaaa")),
            ("/once/", Script::endless("200 OK", UNFRAMED, "data: a\n\n")),
        ];
        let mut seen = Vec::new();
        for (prefix, script) in kinds {
            fleet.set(script).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
            let asked = (0..120).map(|n| {
                let (entry, path) = (fleet.entry(), format!("{prefix}{n}"));
                tokio::spawn(async move { ask(entry, &path, SHORT_TIMEOUT).await })
            });
            let mut ends = Vec::new();
            for task in asked.collect::<Vec<_>>() {
                ends.push(task.await.expect("task"));
            }
            let complete = ends.iter().filter(|(s, b)| s == "200" && !b.ends_with("cut off"));
            let sound = complete.clone().filter(|(_, b)| b == "20 events").count();
            let entry = fleet.world.hosts_of(Role::Entry)[0];
            let peak = peak_memory(fleet.world.process_id(entry));
            let fits = if peak < ENTRY_MEMORY { "fits" } else { "too much" };
            println!("{prefix}: peak {} MB, {:?}", peak / 1_000_000, kinds_of(&ends));
            seen.push(format!("{fits}, {} look complete", complete.count() - sound));
        }
        insta::assert_snapshot!(seen.join("; "), @"fits, 0 look complete; fits, 0 look complete; fits, 0 look complete");
    });
}

/// Guards against items that an endpoint in trouble holds without end, whose output fills the memory
/// or the ledger of the store hosts, or whose results hold bytes of that endpoint.
#[test]
fn endless_output_of_items_is_dropped() {
    run(async {
        let mut fleet = Fleet::start(Size { stores: 3, ..SIZE }).await;
        let entries = fleet.world.caller_addresses();
        let scripts = [
            ("event", "data: aaaaaaaa", 0),
            ("comments", ": aaaaaaaa\n\n", 0),
            ("same-id", "id: 1\ndata: aaaaaaaa\n\n", 0),
            ("without-ids", "data: aaaaaaaa\n\n", 0),
            ("numbered", "id: {n}\ndata: aaaaaaaa\n\n", 0),
            ("slow-comments", ": aaaaaaaa\n\n", 100),
        ];
        let mut seen = Vec::new();
        for (name, piece, pause) in scripts {
            let mut script = Script::endless("200 OK", UNFRAMED, piece);
            if name == "same-id" {
                // The first event is right.
                script.start += &format!("id: 1\ndata: {}\n\n", plain::event_data("{id}", 1));
            }
            let before = fleet.endpoint.requests();
            fleet.set(Script { pause: Duration::from_millis(pause), ..script }).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert!(client::submit(&entries, name, 4).await, "{}", fleet.world.logs());
            let results = &mut Vec::new();
            let finished = client::finish(&entries, name, 4, results, JOB_TIMEOUT).await;
            let tried = fleet.endpoint.requests() > before;
            seen.push(format!("{name}: tried {tried}, {finished:?}"));
        }
        let peaks = fleet.world.hosts_of(Role::Store).into_iter().map(|at| {
            let peak = peak_memory(fleet.world.process_id(at));
            println!("{}: peak {} MB", fleet.world.hosts[at].name, peak / 1_000_000);
            peak
        });
        let fits = peaks.max().expect("stores") < ENTRY_MEMORY;
        seen.push(format!("fits {fits}"));
        insta::assert_snapshot!(seen.join("\n"), @"
        event: tried true, Ok(())
        comments: tried true, Ok(())
        same-id: tried true, Ok(())
        without-ids: tried true, Ok(())
        numbered: tried true, Ok(())
        slow-comments: tried true, Ok(())
        fits true
        ");
    });
}

/// Guards against a run that comments or a slow output without end keep at an endpoint for good.
#[test]
fn run_of_an_item_ends() {
    let start = tokio::time::Instant::now();
    let after = |ms: u64| start + Duration::from_millis(ms);
    let mut patience = runner::Patience::new(start);
    let mut seen = vec![format!("{:?}", patience.limit(start))];
    for ms in [1_000, 2_999, 3_000, 3_001, 9_999, 10_000] {
        let report = patience.report_silence(after(ms));
        seen.push(format!("{report} {:?}", patience.limit(after(ms))));
    }
    for ms in (2_000..=120_000).step_by(2_000) {
        patience.record_event(after(ms));
    }
    for ms in [119_500, 120_000, 130_000] {
        seen.push(format!("{:?}", patience.limit(after(ms))));
    }
    insta::assert_snapshot!(seen.join("\n"), @r#"
    Ok(3s)
    false Ok(2s)
    false Ok(1ms)
    true Ok(7s)
    false Ok(6.999s)
    false Ok(1ms)
    false Err(Interrupted { cause: "no new event in time", at_fault: true })
    Ok(500ms)
    Err(Interrupted { cause: "the run takes too long", at_fault: false })
    Err(Interrupted { cause: "no new event in time", at_fault: true })
    "#);
}

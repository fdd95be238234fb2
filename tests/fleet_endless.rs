//! Endpoints in trouble that send bytes without end, until their caller closes the connection.

use basilfield::fleet::sse;
use basilfield::fleet::upstream;
use bytes::Bytes;
use http_body_util::Full;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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
}

impl Script {
    /// Answer without end, after the head of a response with the given status and headers.
    fn endless(status: &str, headers: &str, piece: &str) -> Script {
        let start = format!("HTTP/1.1 {status}\r\nx-basilfield-request-id: {{id}}\r\n{headers}");
        Script { start, piece: piece.into(), pause: Duration::ZERO }
    }
}

#[derive(Default)]
struct Counts {
    open: AtomicUsize,
    sent: AtomicU64,
}

/// Endpoint that writes bytes to its callers.
struct RawEndpoint {
    address: SocketAddr,
    counts: Arc<Counts>,
}

impl RawEndpoint {
    fn start(script: Script) -> RawEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let address = listener.local_addr().expect("address");
        let script = Arc::new(script);
        let counts = Arc::<Counts>::default();
        let endpoint = RawEndpoint { address, counts: counts.clone() };
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

/// Reads the head and body of a request. Returns the id of the request.
fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let field = |name: &str| {
        let line = head.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
        line.trim().to_string()
    };
    let mut body = vec![0; field("content-length:").parse().unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(field("x-basilfield-request-id:"))
}

fn serve(mut stream: TcpStream, script: &Script, counts: &Counts) -> std::io::Result<()> {
    loop {
        let id = read_request(&mut stream)?;
        let Script { start, piece, pause } = script;
        stream.write_all(start.replace("{id}", &id).as_bytes())?;
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
            std::thread::sleep(*pause);
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
        pause: Duration::ZERO,
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
        let mut seen = Vec::new();
        for id in ["one", "two"] {
            let sent = upstream.send(endpoint.address, request(id), false).await;
            let mut response = sent.expect("head");
            let body = response.read_body(100).await.expect("body");
            seen.push(format!("{:?} {body:?}", response.head.headers["x-basilfield-request-id"]));
        }
        let left = endpoint.is_left_within(FAILURE_TIME).await;
        seen.push(format!("left {left}"));
        insta::assert_snapshot!(seen.join("; "), @r#""one" b"ok"; "two" b"ok"; left true"#);
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

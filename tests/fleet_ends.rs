//! Endpoints whose answers have neither a length nor chunks and whose connections are closed in the
//! ordinary way: after the last event, or between two events as when their process is killed.

mod fleet_world;

use fleet_world::client;
use fleet_world::scripted::Answer;
use fleet_world::scripted::Fleet;
use fleet_world::scripted::LAST_EVENT;
use fleet_world::scripted::Request;
use fleet_world::scripted::STREAM_FIELDS;
use fleet_world::scripted::events;
use fleet_world::scripted::framed;
use fleet_world::scripted::item_output;
use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task;

/// Last event before an answer is cut off.
const CUT_EVENT: u64 = 3;
/// Streams that run at an endpoint when its process is killed.
const STREAMS: usize = 40;
const ITEMS: usize = 12;
/// Longest wait of an endpoint for the other streams that are to be cut off with one.
const GATHER_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes an answer that ends with its connection, with the events after `from` up to `to`.
fn write_unframed(
    request: &Request,
    stream: &mut TcpStream,
    from: u64,
    to: u64,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-basilfield-request-id: {}\r\n{STREAM_FIELDS}connection: close\r\n\r\n",
        request.id
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(events(from, to).as_bytes())
}

/// Writes an answer with a stated length, with the events after the one that the caller has.
fn write_framed(request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
    let rest = events(request.last_event, LAST_EVENT);
    stream.write_all(framed("200 OK", &request.id, STREAM_FIELDS, &rest).as_bytes())
}

/// How the part of a stream ends that follows a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    /// With a stated length.
    Framed,
    /// With its connection.
    Unframed,
    /// With its connection after one more event, each time.
    OneByOne,
}

/// Endpoint that cuts off each answer from the first event on.
fn cutting(rest: Rest) -> Arc<Answer> {
    Arc::new(move |request, stream| {
        let last = request.last_event;
        match rest {
            _ if last == 0 => write_unframed(request, stream, 0, CUT_EVENT)?,
            Rest::Framed => {
                write_framed(request, stream)?;
                return Ok(true);
            }
            Rest::Unframed => write_unframed(request, stream, last, LAST_EVENT)?,
            Rest::OneByOne => {
                write_unframed(request, stream, last, LAST_EVENT.min(last + 1))?;
            }
        }
        Ok(false)
    })
}

/// Endpoint that answers as a sound one does, without a length. `asked` counts the requests by id.
fn unframed(asked: &Arc<Mutex<BTreeMap<String, usize>>>) -> Arc<Answer> {
    let asked = asked.clone();
    Arc::new(move |request, stream| {
        *asked.lock().expect("lock").entry(request.id.clone()).or_default() += 1;
        write_unframed(request, stream, request.last_event, LAST_EVENT)?;
        Ok(false)
    })
}

/// Endpoint whose process is killed once it runs `STREAMS` streams: all connections are closed at
/// once, and none is answered from then on.
fn killed() -> Arc<Answer> {
    let (running, is_full) = (Mutex::new(0), Condvar::new());
    let is_dead = AtomicBool::new(false);
    Arc::new(move |request, stream| {
        if is_dead.load(Ordering::SeqCst) {
            return Ok(false);
        }
        write_unframed(request, stream, request.last_event, CUT_EVENT)?;
        let mut count = running.lock().expect("lock");
        *count += 1;
        is_full.notify_all();
        let gathered = is_full
            .wait_timeout_while(count, GATHER_TIMEOUT, |count| *count < STREAMS)
            .expect("lock");
        drop(gathered);
        is_dead.store(true, Ordering::SeqCst);
        Ok(false)
    })
}

/// Endpoint that states the length of its answers.
fn sound() -> Arc<Answer> {
    Arc::new(|request, stream| {
        write_framed(request, stream)?;
        Ok(true)
    })
}

/// What a caller gets: the number of the last event if the events are those from the first on, and
/// how the answer ends.
fn summary(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let status = head.lines().next().unwrap_or("no answer");
    // Each chunk holds whole events, so the lines of the chunks are those between them.
    let text: String = body.split("\r\n").filter(|l| l.contains('\n')).collect();
    let last = (0..=LAST_EVENT).find(|n| events(0, *n) == text);
    let seen = last.map_or(format!("{text:?}"), |n| format!("{n} events"));
    let end = if body.ends_with("0\r\n\r\n") { "complete" } else { "cut off" };
    format!("{status}, {seen}, {end}")
}

/// Sends streams at the same time. Returns how many of them got what.
async fn ask_all(fleet: &Arc<Fleet>, prefix: &'static str, count: usize) -> String {
    let mut tasks = task::JoinSet::new();
    for n in 0..count {
        let fleet = fleet.clone();
        tasks.spawn(async move {
            let id = format!("{}-{n}", prefix.trim_matches('/'));
            summary(&fleet.ask("HTTP/1.1", prefix, &id).await)
        });
    }
    let mut counts = BTreeMap::<String, usize>::new();
    while let Some(seen) = tasks.join_next().await {
        *counts.entry(seen.expect("task")).or_default() += 1;
    }
    counts.iter().map(|(seen, count)| format!("{count} x {seen}")).collect::<Vec<_>>().join("; ")
}

/// Runs a job. Returns how many items have which output.
async fn run_job(fleet: &Fleet, count: usize) -> String {
    let entries = fleet.world.caller_addresses();
    assert!(client::submit(&entries, "job", count).await, "{}", fleet.world.logs());
    let outputs = fleet.outputs("job", count).await;
    let whole = outputs.iter().filter(|o| **o == item_output()).count();
    let other = outputs.iter().find(|o| **o != item_output());
    format!("{whole} of {} items whole, other: {other:?}", outputs.len())
}

/// Guards against a stream that ends as complete although it was cut off between two events by the
/// ordinary close of a connection.
#[test]
fn closed_connection_ends_a_stream_as_complete() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for rest in [Rest::Framed, Rest::Unframed] {
            let fleet = Arc::new(Fleet::start(vec![cutting(rest), cutting(rest)]).await);
            let got = ask_all(&fleet, fleet_world::STREAM_PREFIX, 4).await;
            seen.push(format!("{rest:?}: {got}"));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        Framed: 4 x HTTP/1.1 200 OK, 6 events, complete
        Unframed: 4 x HTTP/1.1 200 OK, 6 events, complete
        ");
    });
}

/// Guards against an item that is completed with a part of its output because its answer was cut off
/// between two events by the ordinary close of a connection.
#[test]
fn closed_connection_completes_an_item() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for rest in [Rest::Framed, Rest::Unframed, Rest::OneByOne] {
            let fleet = Fleet::start(vec![cutting(rest), cutting(rest)]).await;
            seen.push(format!("{rest:?}: {}", run_job(&fleet, ITEMS).await));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        Framed: 12 of 12 items whole, other: None
        Unframed: 12 of 12 items whole, other: None
        OneByOne: 12 of 12 items whole, other: None
        ");
    });
}

/// Guards against streams that all end as complete when the process of their endpoint is killed, whose
/// connections are closed in the ordinary way.
#[test]
fn killed_process_ends_its_streams_as_complete() {
    fleet_world::run(async {
        let fleet = Arc::new(Fleet::start(vec![killed(), sound()]).await);
        let seen = ask_all(&fleet, fleet_world::STREAM_PREFIX, STREAMS * 2).await;
        insta::assert_snapshot!(seen, @"80 x HTTP/1.1 200 OK, 6 events, complete");
    });
}

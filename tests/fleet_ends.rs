//! Endpoints whose answers have neither a length nor chunks and whose connections are closed in the
//! ordinary way: after the last event, or between two events as when their process is killed.

mod fleet_world;

use fleet_world::Role;
use fleet_world::client;
use fleet_world::scripted::Answer;
use fleet_world::scripted::Fleet;
use fleet_world::scripted::LAST_EVENT;
use fleet_world::scripted::Request;
use fleet_world::scripted::STREAM_FIELDS;
use fleet_world::scripted::events;
use fleet_world::scripted::framed;
use fleet_world::scripted::item_output;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

/// Most requests that the endpoints got of one stream or item.
fn most(asked: &Arc<Mutex<BTreeMap<String, usize>>>) -> usize {
    std::mem::take(&mut *asked.lock().expect("lock")).into_values().max().unwrap_or(0)
}

/// Guards against streams and items that never end, are broken off or run from the start again because
/// their endpoints, which are sound, never state where an answer ends.
#[test]
fn stream_of_sound_endpoints_has_no_end() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for endpoints in 1..=2 {
            let asked = Arc::default();
            let answers = (0..endpoints).map(|_| unframed(&asked)).collect();
            let fleet = Arc::new(Fleet::start(answers).await);
            for prefix in [fleet_world::STREAM_PREFIX, fleet_world::ONCE_PREFIX] {
                let got = ask_all(&fleet, prefix, 4).await;
                seen.push(format!("{endpoints} {prefix}: {got}, {} requests", most(&asked)));
            }
            let got = run_job(&fleet, ITEMS).await;
            seen.push(format!("{endpoints} items: {got}, {} requests", most(&asked)));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        1 /stream/: 4 x HTTP/1.1 200 OK, 6 events, complete, 2 requests
        1 /once/: 4 x HTTP/1.1 200 OK, 6 events, complete, 1 requests
        1 items: 12 of 12 items whole, other: None, 2 requests
        2 /stream/: 4 x HTTP/1.1 200 OK, 6 events, complete, 2 requests
        2 /once/: 4 x HTTP/1.1 200 OK, 6 events, complete, 1 requests
        2 items: 12 of 12 items whole, other: None, 2 requests
        ");
    });
}

/// What an endpoint does with a request for what follows an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Denial {
    /// It states that it has not run the request.
    Declined,
    /// It answers with an error.
    Failed,
    /// It closes the connection without an answer.
    Closed,
}

/// Guards against a stream that ends as complete although no endpoint has confirmed its end: the one
/// that is asked for what follows declines or fails.
#[test]
fn stream_is_complete_without_confirmation() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for denial in [Denial::Declined, Denial::Failed, Denial::Closed] {
            let endpoint: Arc<Answer> = Arc::new(move |request, stream| {
                let id = &request.id;
                let answer = match denial {
                    _ if request.last_event == 0 => {
                        write_unframed(request, stream, 0, CUT_EVENT)?;
                        return Ok(false);
                    }
                    Denial::Closed => return Ok(false),
                    Denial::Declined => {
                        framed("503 Full", id, "x-basilfield-not-executed: 1\r\n", "busy")
                    }
                    Denial::Failed => framed("500 Internal Server Error", id, "", "failed"),
                };
                stream.write_all(answer.as_bytes())?;
                Ok(true)
            });
            let fleet = Arc::new(Fleet::start(vec![endpoint.clone(), endpoint]).await);
            let got = ask_all(&fleet, fleet_world::STREAM_PREFIX, 4).await;
            seen.push(format!("{denial:?}: {got}"));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        Declined: 4 x HTTP/1.1 200 OK, 3 events, cut off
        Failed: 4 x HTTP/1.1 200 OK, 3 events, cut off
        Closed: 4 x HTTP/1.1 200 OK, 3 events, cut off
        ");
    });
}

/// Guards against more endpoints than the route permits that run a stream, and against a stream that is
/// broken off, because its end has to be confirmed and no attempt is left.
#[test]
fn confirmation_exceeds_the_attempts_of_a_route() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for rest in [Rest::Framed, Rest::Unframed, Rest::OneByOne] {
            let places = Arc::new(Mutex::new(BTreeSet::<(String, usize)>::new()));
            let endpoint = |place: usize| -> Arc<Answer> {
                let (places, answer) = (places.clone(), cutting(rest));
                Arc::new(move |request, stream| {
                    places.lock().expect("lock").insert((request.id.clone(), place));
                    answer(request, stream)
                })
            };
            let fleet = Arc::new(Fleet::start(vec![endpoint(0), endpoint(1)]).await);
            let mut config: Value = serde_json::from_str(&fleet.world.config(2)).expect("document");
            config["routes"][0]["maxAttempts"] = json!(1);
            assert_eq!(fleet.world.put_config(&config.to_string()).await, 200);
            let version = "\"version\":2";
            let is_known = || fleet.world.logs_of(Role::Entry).contains(version);
            assert!(fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, is_known).await);
            let got = ask_all(&fleet, fleet_world::STREAM_PREFIX, 4).await;
            let count = places.lock().expect("lock").len();
            seen.push(format!("{rest:?}: {got}; {count} pairs of stream and endpoint"));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        Framed: 4 x HTTP/1.1 200 OK, 6 events, complete; 4 pairs of stream and endpoint
        Unframed: 4 x HTTP/1.1 200 OK, 6 events, complete; 4 pairs of stream and endpoint
        OneByOne: 4 x HTTP/1.1 200 OK, 6 events, complete; 4 pairs of stream and endpoint
        ");
    });
}

/// Guards against a stream or an item that ends as complete because an answer ends within events that
/// it repeats.
#[test]
fn repeated_events_confirm_an_end() {
    fleet_world::run(async {
        let endpoint: Arc<Answer> = Arc::new(|request, stream| {
            let to = if request.last_event == 0 { CUT_EVENT } else { CUT_EVENT - 1 };
            write_unframed(request, stream, 0, to)?;
            Ok(false)
        });
        let fleet = Arc::new(Fleet::start(vec![endpoint.clone(), endpoint]).await);
        let got = ask_all(&fleet, fleet_world::STREAM_PREFIX, 4).await;
        insta::assert_snapshot!(got, @"4 x HTTP/1.1 200 OK, 3 events, cut off");
        let asked = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
        // The second answer repeats a part, the others are sound.
        let endpoint: Arc<Answer> = Arc::new(move |request, stream| {
            let count = {
                let mut asked = asked.lock().expect("lock");
                *asked.entry(request.id.clone()).and_modify(|n| *n += 1).or_insert(1)
            };
            match count {
                1 => write_unframed(request, stream, 0, CUT_EVENT)?,
                2 => write_unframed(request, stream, 0, CUT_EVENT - 1)?,
                _ => write_unframed(request, stream, request.last_event, LAST_EVENT)?,
            }
            Ok(false)
        });
        let fleet = Fleet::start(vec![endpoint]).await;
        let entries = fleet.world.caller_addresses();
        assert!(client::submit(&entries, "job", ITEMS).await, "{}", fleet.world.logs());
        assert_eq!(fleet.outputs("job", ITEMS).await, vec![item_output(); ITEMS]);
    });
}

/// Guards against a broken stream that ends as complete because endpoints stop after their heads.
#[test]
fn answers_without_an_event_complete_a_broken_stream() {
    fleet_world::run(async {
        let endpoint: Arc<Answer> = Arc::new(|request, stream| {
            write_unframed(request, stream, request.last_event, CUT_EVENT)?;
            if request.last_event == 0 {
                stream.write_all(b"id: 4\ndata: ev")?;
            }
            Ok(false)
        });
        let endpoints = vec![endpoint.clone(), endpoint.clone(), endpoint];
        let fleet = Arc::new(Fleet::start(endpoints).await);
        let got = ask_all(&fleet, fleet_world::STREAM_PREFIX, 4).await;
        insta::assert_snapshot!(got, @"4 x HTTP/1.1 200 OK, 3 events, cut off");
    });
}

/// Guards against a stream that ends as complete because the endpoint that is asked for what follows
/// crashes after its head.
#[test]
fn crash_confirms_an_end() {
    fleet_world::run(async {
        let endpoint: Arc<Answer> = Arc::new(|request, stream| {
            write_unframed(request, stream, request.last_event, CUT_EVENT)?;
            Ok(false)
        });
        let fleet = Fleet::start_short_lived(vec![endpoint.clone(), endpoint]).await;
        let got = ask_all(&Arc::new(fleet), fleet_world::STREAM_PREFIX, 1).await;
        insta::assert_snapshot!(got, @"1 x HTTP/1.1 200 OK, 3 events, cut off");
    });
}

//! Endpoints that write an earlier refusal once more, and endpoints that answer with an error where a
//! stream should go on.

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
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after which an endpoint writes a refusal late.
const LATE: Duration = Duration::from_millis(60);
/// Text that no caller may find in its answer.
const ERROR_TEXT: &str = "overloaded-text";

fn refusal(id: &str) -> String {
    let fields = "x-basilfield-not-executed: 1\r\nretry-after: 1\r\n";
    framed("503 Service Unavailable", id, fields, "busy")
}

/// When an endpoint repeats its last refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    /// Twice in one segment.
    Twice,
    /// Before the answer to a later request, at once.
    Before,
    /// Some time after a later request has arrived, which runs.
    Late,
    /// After a complete answer, while the connection is idle.
    Idle,
}

/// Endpoint that refuses the first attempt of each request whose id begins with `refused`, runs the
/// others, and repeats refusals. `runs` counts the runs by id.
fn repeating(
    repeat: Repeat,
    echo: bool,
    runs: &Arc<Mutex<BTreeMap<String, usize>>>,
) -> Arc<Answer> {
    let (runs, last) = (runs.clone(), Mutex::new(String::new()));
    let refused = Mutex::new(BTreeMap::<String, ()>::new());
    Arc::new(move |request, stream| {
        let first = refused.lock().expect("lock").insert(request.id.clone(), ()).is_none();
        if request.id.starts_with("refused") && first {
            let text = refusal(if echo { &request.id } else { "" });
            *last.lock().expect("lock") = text.clone();
            let copies = if repeat == Repeat::Twice { 2 } else { 1 };
            stream.write_all(text.repeat(copies).as_bytes())?;
            return Ok(true);
        }
        *runs.lock().expect("lock").entry(request.id.clone()).or_default() += 1;
        let earlier = last.lock().expect("lock").clone();
        // The answer to the first request on a connection cannot follow an earlier one.
        if request.number > 0 && matches!(repeat, Repeat::Before | Repeat::Late) {
            if repeat == Repeat::Late {
                std::thread::sleep(LATE);
            }
            stream.write_all(earlier.as_bytes())?;
        }
        let body = match request.path.starts_with(fleet_world::PLAIN_PREFIX) {
            true => "plain".to_string(),
            false => events(request.last_event, LAST_EVENT),
        };
        stream.write_all(framed("200 OK", &request.id, STREAM_FIELDS, &body).as_bytes())?;
        if repeat == Repeat::Idle {
            std::thread::sleep(LATE);
            stream.write_all(earlier.as_bytes())?;
        }
        Ok(true)
    })
}

/// Guards against callers that are told that a request has not run, which an endpoint runs or has run,
/// and against a request that must not be repeated and runs twice: an endpoint writes an earlier refusal
/// once more on a kept connection.
#[test]
fn repeated_refusal_is_taken_for_the_answer_of_a_request() {
    fleet_world::run(async {
        let mut wrong = Vec::new();
        for repeat in [Repeat::Twice, Repeat::Before, Repeat::Late, Repeat::Idle] {
            for echo in [true, false] {
                let runs = Arc::<Mutex<BTreeMap<String, usize>>>::default();
                let endpoint = repeating(repeat, echo, &runs);
                let fleet = Fleet::start(vec![endpoint.clone()]).await;
                let prefixes = [
                    fleet_world::PLAIN_PREFIX,
                    fleet_world::STREAM_PREFIX,
                    fleet_world::ONCE_PREFIX,
                ];
                for n in 0..12 {
                    let kind = if n % 3 == 0 { "refused" } else { "sound" };
                    let (id, prefix) = (format!("{kind}-{n}"), prefixes[n / 4]);
                    let answer = fleet.ask("HTTP/1.1", prefix, &id).await;
                    let status = answer.get(9..12).unwrap_or("none").to_string();
                    let count = runs.lock().expect("lock").get(&id).copied().unwrap_or(0);
                    let is_once = prefix == fleet_world::ONCE_PREFIX;
                    if status == "503" && count > 0 || is_once && count > 1 {
                        wrong
                            .push(format!("{repeat:?} {echo} {prefix}{id}: {status}, ran {count}"));
                    }
                }
                let entries = fleet.world.caller_addresses();
                assert!(client::submit(&entries, "job", 6).await, "{}", fleet.world.logs());
                let ended = fleet.outputs("job", 6).await;
                if ended != vec![item_output(); 6] {
                    wrong.push(format!("{repeat:?} {echo} items: {ended:?}"));
                }
            }
        }
        assert_eq!(wrong, Vec::<String>::new());
    });
}

/// What the second endpoint answers where a stream should go on.
fn errors() -> Vec<(&'static str, Arc<Answer>)> {
    fn write(text: impl Fn(&Request) -> String + Send + Sync + 'static) -> Arc<Answer> {
        Arc::new(move |request, stream| {
            stream.write_all(text(request).as_bytes())?;
            Ok(true)
        })
    }
    let text = || format!("{ERROR_TEXT}\n\n");
    let pieces: Arc<Answer> = Arc::new(move |request, stream| {
        let answer = framed("500 Internal Server Error", &request.id, "", ERROR_TEXT);
        std::thread::sleep(LATE);
        for piece in answer.as_bytes().chunks(20) {
            stream.write_all(piece)?;
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(true)
    });
    let unframed = |error: String| -> Arc<Answer> {
        Arc::new(move |request, stream| {
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-basilfield-request-id: {}\r\n{STREAM_FIELDS}connection: \
                 close\r\n\r\n",
                request.id
            );
            let next = events(request.last_event, request.last_event + 1);
            stream.write_all(format!("{head}{next}{error}").as_bytes())?;
            Ok(false)
        })
    };
    let error_head = framed("500 Internal Server Error", "", "", &text());
    vec![
        ("error", write(move |r| framed("500 Internal Server Error", &r.id, "", &text()))),
        ("refusal", write(|r| refusal(&r.id))),
        ("late, in pieces", pieces),
        (
            "success of another type",
            write(move |r| framed("200 OK", &r.id, "content-type: text/plain\r\n", &text())),
        ),
        (
            "success without an event",
            write(move |r| framed("200 OK", &r.id, STREAM_FIELDS, &text())),
        ),
        ("head in the stream", unframed(error_head)),
        ("text in the stream", unframed(text())),
        ("unknown field in the stream", unframed(format!("error: {ERROR_TEXT}\n\n"))),
    ]
}

/// Endpoint that begins each stream and breaks it off after the third event; `next` answers attempts
/// that go on after it.
fn breaking(next: Arc<Answer>) -> Arc<Answer> {
    Arc::new(move |request, stream| {
        if request.last_event > 0 {
            return next(request, stream);
        }
        let body = events(0, 3);
        let whole = framed("200 OK", &request.id, STREAM_FIELDS, &body);
        // A longer body is announced than is sent.
        let cut = whole.replace(&format!("content-length: {}", body.len()), "content-length: 9999");
        stream.write_all(cut.as_bytes())?;
        Ok(false)
    })
}

/// Guards against the text or head of an error in a caller's stream, and against a stream that looks
/// complete: it has begun and broken off, and the next endpoint answers with an error.
#[test]
fn error_is_passed_on_in_a_stream() {
    fleet_world::run(async {
        let mut wrong = Vec::new();
        for (name, error) in errors() {
            let endpoint = breaking(error);
            let fleet = Fleet::start(vec![endpoint.clone(), endpoint]).await;
            for version in ["HTTP/1.1", "HTTP/1.0"] {
                for prefix in [fleet_world::STREAM_PREFIX, fleet_world::ONCE_PREFIX] {
                    let id = format!("{}-{}", prefix.trim_matches('/'), &version[7..]);
                    let answer = fleet.ask(version, prefix, &id).await;
                    let has_begun = answer.contains("data: event 3");
                    let is_complete = answer.ends_with("0\r\n\r\n");
                    let has_error = answer.contains(ERROR_TEXT) || answer.contains(" 500 ");
                    let has_error = has_error || answer.matches("HTTP/1.").count() > 1;
                    if !has_begun || is_complete || has_error {
                        wrong.push(format!("{name} {version} {prefix}: {answer:?}"));
                    }
                }
            }
        }
        assert_eq!(wrong, Vec::<String>::new());
    });
}

/// Guards against an item that is completed with the text of an error, or with a part of its output: its
/// stream has broken off, and the next run gets an error.
#[test]
fn error_completes_an_item() {
    fleet_world::run(async {
        let mut wrong = Vec::new();
        for (name, error) in errors() {
            let attempts = Arc::new(AtomicUsize::new(0));
            let count = attempts.clone();
            // Each second attempt that goes on gets the error, the others the rest.
            let next: Arc<Answer> = Arc::new(move |request, stream| {
                if count.fetch_add(1, Ordering::SeqCst) == 0 {
                    return error(request, stream);
                }
                let body = events(request.last_event, LAST_EVENT);
                stream.write_all(framed("200 OK", &request.id, STREAM_FIELDS, &body).as_bytes())?;
                Ok(true)
            });
            let fleet = Fleet::start(vec![breaking(next)]).await;
            let entries = fleet.world.caller_addresses();
            assert!(client::submit(&entries, "job", 1).await, "{}", fleet.world.logs());
            let outputs = fleet.outputs("job", 1).await;
            if outputs != vec![item_output()] {
                wrong.push(format!("{name}: {outputs:?}"));
            }
        }
        assert_eq!(wrong, Vec::<String>::new());
    });
}

/// When an endpoint writes an earlier answer once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copy {
    /// Before the answer to the next request on the connection, at once.
    Before,
    /// Some time after the next request has arrived.
    Late,
    /// While the connection is idle.
    Idle,
}

/// Endpoint that answers with the path of each request, and writes each answer twice.
fn copying(copy: Copy) -> Arc<Answer> {
    let last = Mutex::new(BTreeMap::<String, String>::new());
    Arc::new(move |request, stream| {
        let connection = stream.peer_addr()?.to_string();
        let earlier = last.lock().expect("lock").remove(&connection).unwrap_or_default();
        if copy == Copy::Late {
            std::thread::sleep(LATE);
        }
        stream.write_all(earlier.as_bytes())?;
        let body = format!("id: 1\ndata: {}\n\n", request.path);
        let answer = framed("200 OK", &request.id, STREAM_FIELDS, &body);
        stream.write_all(answer.as_bytes())?;
        if copy == Copy::Idle {
            std::thread::sleep(LATE);
            stream.write_all(answer.as_bytes())?;
        } else {
            last.lock().expect("lock").insert(connection, answer);
        }
        Ok(true)
    })
}

/// Submits a job with one item, whose id is the same in each job.
async fn submit_item(fleet: &Fleet, job: &str) -> bool {
    let item = json!({ "id": "item", "path": format!("{}{job}-item", fleet_world::BATCH_PREFIX),
        "headers": {}, "body": "", "tokens": 1 });
    let body = json!({ "items": [item] }).to_string();
    let headers = [("x-basilfield-request-id", job)];
    let path = format!("{}{job}", fleet_world::BATCH_PREFIX);
    client::call(fleet.entry, "POST", &path, &headers, body).await.0 == 202
}

/// Guards against a caller or item that gets the answer of another one: its endpoint writes that answer
/// once more, late, on a kept connection. The ids of requests of several callers and of items of several
/// jobs may be the same.
#[test]
fn late_copy_is_taken_for_the_answer_of_another_request() {
    fleet_world::run(async {
        let mut wrong = Vec::new();
        for copy in [Copy::Before, Copy::Late, Copy::Idle] {
            let fleet = Fleet::start(vec![copying(copy)]).await;
            let prefixes = [
                fleet_world::SAFE_PREFIX,
                fleet_world::STREAM_PREFIX,
                fleet_world::PLAIN_PREFIX,
                fleet_world::ONCE_PREFIX,
            ];
            for (n, prefix) in prefixes.into_iter().cycle().take(24).enumerate() {
                let path = format!("{prefix}own-{n}");
                let id = if n < 12 { format!("id-{n}") } else { "id".to_string() };
                let headers =
                    [("x-basilfield-request-id", &*id), ("x-basilfield-deadline-ms", "5000")];
                let (_, body) = client::call(fleet.entry, "POST", &path, &headers, "".into()).await;
                let body = String::from_utf8_lossy(&body).into_owned();
                if body.contains("own-") && !body.contains(&format!("data: {path}\n")) {
                    wrong.push(format!("{copy:?} {path} {id}: {body:?}"));
                }
            }
            for n in 0..6 {
                let job = format!("job-{n}");
                assert!(submit_item(&fleet, &job).await, "{}", fleet.world.logs());
                let outputs = fleet.outputs(&job, 1).await;
                let own = format!("{}{job}-item", fleet_world::BATCH_PREFIX);
                if outputs != vec![own] {
                    wrong.push(format!("{copy:?} {job}: {outputs:?}"));
                }
            }
        }
        assert_eq!(wrong, Vec::<String>::new());
    });
}

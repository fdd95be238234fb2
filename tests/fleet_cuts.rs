//! Answers of endpoints whose bytes arrive in two segments, cut at each position, or in one. What a
//! caller gets must not depend on that.

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
use std::collections::BTreeSet;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::task;

/// Pause between the two segments of an answer.
const SEGMENT_PAUSE: Duration = Duration::from_millis(3);
/// Requests that run at once.
const CONCURRENCY: usize = 24;
/// Most items of one job.
const MAX_ITEMS: usize = 200;
/// Text that no caller may find in its answer.
const FOREIGN_TEXT: &str = "overloaded-text";

/// Answer to a request that begins a stream. Requests that go on after an event get the rest.
type Begin = fn(&Request) -> String;

/// Head of a stream whose body ends with its connection.
fn open_head(request: &Request) -> String {
    format!("HTTP/1.1 200 OK\r\nx-basilfield-request-id: {}\r\n{STREAM_FIELDS}\r\n", request.id)
}

/// Answers with bytes that are no part of the stream.
const FOREIGN: [(&str, Begin); 4] = [
    ("error after events", |r| {
        let body = events(0, 3) + FOREIGN_TEXT + "\n\n";
        framed("200 OK", &r.id, STREAM_FIELDS, &body)
    }),
    ("error after open events", |r| open_head(r) + &events(0, 3) + FOREIGN_TEXT + "\n\n"),
    ("error before open events", |r| open_head(r) + FOREIGN_TEXT + "\n\n" + &events(0, LAST_EVENT)),
    ("two open answers", |r| {
        let answer = open_head(r) + &events(0, LAST_EVENT);
        answer.clone() + &answer
    }),
];

/// Answers whose events do not follow each other.
const GAPS: [(&str, Begin); 4] = [
    ("missing event", |r| {
        let body = events(0, 2) + &events(3, LAST_EVENT);
        framed("200 OK", &r.id, STREAM_FIELDS, &body)
    }),
    ("missing begin", |r| framed("200 OK", &r.id, STREAM_FIELDS, &events(2, LAST_EVENT))),
    ("number goes back", |r| {
        let body = events(0, 3) + &events(1, LAST_EVENT);
        framed("200 OK", &r.id, STREAM_FIELDS, &body)
    }),
    ("events of two answers", |r| {
        let body = events(0, 3) + &events(0, LAST_EVENT);
        framed("200 OK", &r.id, STREAM_FIELDS, &body)
    }),
];

/// Number that a request's path states, at which its answer is cut.
fn cut_of(request: &Request) -> usize {
    request.path.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Endpoint that answers each request with the answer of a case, in two segments. Later attempts get
/// a sound answer.
fn cutting(begin: Begin) -> Arc<Answer> {
    let answered = Mutex::new(BTreeSet::new());
    Arc::new(move |request, stream| {
        stream.set_nodelay(true)?;
        let is_first = answered.lock().expect("lock").insert(request.id.clone());
        if !is_first || request.last_event > 0 {
            let rest = events(request.last_event, LAST_EVENT);
            stream.write_all(framed("200 OK", &request.id, STREAM_FIELDS, &rest).as_bytes())?;
            return Ok(true);
        }
        let answer = begin(request);
        let (first, second) = answer.as_bytes().split_at(cut_of(request).min(answer.len()));
        if !first.is_empty() {
            stream.write_all(first)?;
            std::thread::sleep(SEGMENT_PAUSE);
        }
        stream.write_all(second)?;
        Ok(answer.contains("content-length"))
    })
}

/// Number of the positions at which the answer of a case is cut; 0 leaves it whole.
fn positions(begin: Begin) -> usize {
    let (id, path) = (String::from("stream-00-000"), String::new());
    begin(&Request { id, path, ..Request::default() }).len()
}

/// What is wrong with an answer: a success is the stream from its first event on, in order, and ends
/// as complete only with its last event. A stream that may be resumed ends as complete.
fn problem(prefix: &str, answer: &str) -> Option<String> {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return Some(answer.into()) };
    let is_resumable = prefix == fleet_world::STREAM_PREFIX;
    if !head.starts_with("HTTP/1.1 200") {
        return is_resumable.then(|| head.into());
    }
    // Each chunk holds whole events, so the lines of the chunks are those between them.
    let text: String = body.split("\r\n").filter(|l| l.contains('\n')).collect();
    let is_whole = text == events(0, LAST_EVENT);
    let is_prefix = events(0, LAST_EVENT).starts_with(&text);
    let is_complete = body.ends_with("0\r\n\r\n");
    let is_wrong = !is_prefix || body.contains("HTTP/1.") || is_complete && !is_whole;
    (is_wrong || is_resumable && !is_complete).then(|| body.into())
}

/// Sends a stream for each position at which its answer is cut. Returns the positions with a wrong
/// answer, and one such answer.
async fn wrong_streams(prefix: &'static str, begin: Begin) -> Option<String> {
    let endpoint = cutting(begin);
    let fleet = Arc::new(Fleet::start(vec![endpoint.clone(), endpoint]).await);
    let mut tasks = task::JoinSet::new();
    for first in 0..CONCURRENCY {
        let fleet = fleet.clone();
        tasks.spawn(async move {
            let mut wrong = Vec::new();
            for cut in (first..positions(begin)).step_by(CONCURRENCY) {
                let answer = fleet.ask("HTTP/1.1", prefix, &format!("stream-{cut}")).await;
                wrong.extend(problem(prefix, &answer).map(|p| (cut, p)));
            }
            wrong
        });
    }
    let mut wrong: Vec<(usize, String)> = tasks.join_all().await.into_iter().flatten().collect();
    wrong.sort_unstable();
    let cuts: Vec<usize> = wrong.iter().map(|(cut, _)| *cut).collect();
    wrong.first().map(|(_, example)| format!("{prefix} {} cuts {cuts:?}: {example:?}", cuts.len()))
}

/// Submits an item for each of the first positions at which its answer is cut, as many as a job may have.
/// Returns how many have a wrong result, and one of these.
async fn wrong_items(begin: Begin) -> Option<String> {
    let endpoint = cutting(begin);
    let fleet = Fleet::start(vec![endpoint.clone(), endpoint]).await;
    let entries = fleet.world.caller_addresses();
    assert!(client::submit(&entries, "job", MAX_ITEMS).await, "{}", fleet.world.logs());
    let outputs = fleet.outputs("job", MAX_ITEMS).await;
    let mut wrong: Vec<&String> = outputs.iter().filter(|o| **o != item_output()).collect();
    wrong.sort_unstable();
    let unlisted = MAX_ITEMS - outputs.len();
    let is_wrong = unlisted > 0 || !wrong.is_empty();
    is_wrong.then(|| format!("{} items, {unlisted} unlisted: {:?}", wrong.len(), wrong.first()))
}

async fn wrong_answers(cases: &[(&'static str, Begin)]) -> Vec<String> {
    let mut wrong = Vec::new();
    for (name, begin) in cases {
        for prefix in [fleet_world::STREAM_PREFIX, fleet_world::ONCE_PREFIX] {
            wrong.extend(wrong_streams(prefix, *begin).await.map(|w| format!("{name} {w}")));
        }
        wrong.extend(wrong_items(*begin).await.map(|w| format!("{name} {w}")));
    }
    wrong
}

/// Guards against the text of an error, or a second answer, in a caller's stream: it arrives in the
/// segment of the first events, or before them.
#[test]
fn foreign_bytes_in_the_segment_of_the_first_events_are_passed_on() {
    fleet_world::run(async {
        assert_eq!(wrong_answers(&FOREIGN).await, Vec::<String>::new());
    });
}

/// Guards against streams and output that lack an event or join two answers.
#[test]
fn events_that_do_not_follow_each_other_are_passed_on() {
    fleet_world::run(async {
        assert_eq!(wrong_answers(&GAPS).await, Vec::<String>::new());
    });
}

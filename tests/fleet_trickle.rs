//! Endpoints that send a byte now and then without completing an event, and endpoints that send whole
//! events slowly.

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
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Interval at which a stalled endpoint sends a byte, far below every limit of a silence.
const BYTE_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a stalled endpoint sends bytes.
const STALL_TIME: Duration = Duration::from_secs(40);
/// Time within which a stream of a stalled endpoint has to be complete at a free one.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);
/// Time within which a stream has to end, which has 5 s.
const END_TIME: Duration = Duration::from_millis(5_800);

/// What a stalled endpoint sends byte by byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stall {
    /// A head that never ends.
    Head,
    /// A chunk size that never ends.
    ChunkSize,
    /// An event that never ends.
    Event,
    /// A comment that never ends.
    Comment,
    /// Whole comments.
    Comments,
    /// The last events again and again, which do not follow each other. The answer is given up for this at
    /// once, and the endpoint is asked again.
    Repeated,
}

const STALLS: [Stall; 6] =
    [Stall::Head, Stall::ChunkSize, Stall::Event, Stall::Comment, Stall::Comments, Stall::Repeated];

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-basilfield-request-id: {id}\r\n{STREAM_FIELDS}\
         transfer-encoding: chunked\r\n\r\n"
    )
}

/// Writes the first two events after what the caller has, and then a byte now and then.
fn stall(kind: Stall, request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
    let from = request.last_event;
    if kind == Stall::Head {
        stream.write_all(b"HTTP/1.1 200 OK\r\nx-stalled: ")?;
    } else {
        let begin = head(&request.id) + &chunk(&events(from, from + 2));
        stream.write_all(begin.as_bytes())?;
    }
    let part = match kind {
        Stall::Head => "x".to_string(),
        Stall::ChunkSize => "0".to_string(),
        Stall::Event => chunk("d"),
        Stall::Comment => chunk(":"),
        Stall::Comments => chunk(": open\n\n"),
        Stall::Repeated => chunk(&events(from + 1, from + 2)),
    };
    let begun = Instant::now();
    while begun.elapsed() < STALL_TIME {
        std::thread::sleep(BYTE_INTERVAL);
        stream.write_all(part.as_bytes())?;
    }
    Ok(false)
}

fn whole(request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
    let body = events(request.last_event, LAST_EVENT);
    stream.write_all(framed("200 OK", &request.id, STREAM_FIELDS, &body).as_bytes())?;
    Ok(true)
}

/// Endpoints of which the one that is asked for a request or item first stalls. The others answer.
fn stalled_first(kind: Stall, endpoints: usize) -> Vec<Arc<Answer>> {
    let asked = Arc::new(Mutex::new(BTreeMap::<String, ()>::new()));
    let endpoint = || -> Arc<Answer> {
        let asked = asked.clone();
        Arc::new(move |request, stream| {
            let first = asked.lock().expect("lock").insert(request.id.clone(), ()).is_none();
            if first { stall(kind, request, stream) } else { whole(request, stream) }
        })
    };
    (0..endpoints).map(|_| endpoint()).collect()
}

/// How a stream ended for its caller.
fn end_of(answer: &str, last: u64) -> &'static str {
    let all = (1..=last).all(|n| answer.matches(&format!("data: event {n}\n")).count() == 1);
    match answer.get(9..12) {
        Some("200") if answer.ends_with("0\r\n\r\n") && all => "complete",
        Some("200") if answer.ends_with("0\r\n\r\n") => "wrong events",
        Some("200") => "broken off",
        Some("504") => "late",
        _ => "other",
    }
}

/// Guards against a stream that waits for an endpoint which sends a byte now and then although another
/// one is free, and against one that never ends without another one.
#[test]
fn stalled_stream_is_taken_over_or_ends() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for kind in STALLS {
            let mut ends = Vec::new();
            for (endpoints, limit) in [(2, TAKEOVER_TIME), (1, END_TIME)] {
                let fleet = Fleet::start(stalled_first(kind, endpoints)).await;
                let begun = Instant::now();
                let id = format!("stalled-{endpoints}");
                let answer = fleet.ask("HTTP/1.1", fleet_world::STREAM_PREFIX, &id).await;
                let in_time = if begun.elapsed() < limit { "in time" } else { "too late" };
                ends.push(format!("{} {in_time}", end_of(&answer, LAST_EVENT)));
            }
            seen.push(format!("{kind:?}: {}", ends.join(", ")));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        Head: complete in time, late in time
        ChunkSize: complete in time, broken off in time
        Event: complete in time, broken off in time
        Comment: complete in time, broken off in time
        Comments: complete in time, broken off in time
        Repeated: complete in time, complete in time
        ");
    });
}

/// Guards against an item that never ends since the endpoint of its first run sends a byte now and then.
#[test]
fn stalled_run_of_an_item_ends() {
    fleet_world::run(async {
        let ends = STALLS.map(|kind| async move {
            let fleet = Fleet::start(stalled_first(kind, 1)).await;
            let entries = fleet.world.caller_addresses();
            assert!(client::submit(&entries, "job", 1).await, "{}", fleet.world.logs());
            let outputs = fleet.outputs("job", 1).await;
            (outputs != vec![item_output()]).then(|| format!("{kind:?}: {outputs:?}"))
        });
        let wrong: Vec<String> =
            futures_util::future::join_all(ends).await.into_iter().flatten().collect();
        assert_eq!(wrong, Vec::<String>::new());
    });
}

/// Endpoint that sends a whole event after each `gap`, up to `last`. Counts its runs.
fn slow(gap: Duration, last: u64, runs: &Arc<Mutex<usize>>) -> Arc<Answer> {
    let runs = runs.clone();
    Arc::new(move |request, stream| {
        *runs.lock().expect("lock") += 1;
        stream.write_all(head(&request.id).as_bytes())?;
        for n in request.last_event..last {
            std::thread::sleep(gap);
            stream.write_all(chunk(&events(n, n + 1)).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    })
}

/// Guards against a slow stream that is cut, or that is moved among slow endpoints until its time is over.
#[test]
fn slow_stream_is_complete() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for (gap_ms, last, endpoints) in [(700, 6, 1), (700, 6, 2), (1_100, 4, 1), (1_100, 3, 2)] {
            let runs = Arc::<Mutex<usize>>::default();
            let gap = Duration::from_millis(gap_ms);
            let fleet = Fleet::start(vec![slow(gap, last, &runs); endpoints]).await;
            let answer = fleet.ask("HTTP/1.1", fleet_world::STREAM_PREFIX, "slow").await;
            let runs = *runs.lock().expect("lock");
            seen.push(format!(
                "{gap_ms} ms at {endpoints}: {}, {runs} runs",
                end_of(&answer, last)
            ));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        700 ms at 1: complete, 1 runs
        700 ms at 2: complete, 1 runs
        1100 ms at 1: complete, 1 runs
        1100 ms at 2: complete, 2 runs
        ");
    });
}

/// Guards against an item that is moved among endpoints which all send whole events slowly, and so never
/// gets a further event.
#[test]
fn slow_item_is_complete() {
    fleet_world::run(async {
        let runs = Arc::<Mutex<usize>>::default();
        let answer = slow(Duration::from_millis(3_500), LAST_EVENT, &runs);
        let fleet = Fleet::start(vec![answer; 2]).await;
        let entries = fleet.world.caller_addresses();
        assert!(client::submit(&entries, "job", 1).await, "{}", fleet.world.logs());
        let outputs = fleet.outputs("job", 1).await;
        assert_eq!(outputs, vec![item_output()], "{}", fleet.world.logs());
    });
}

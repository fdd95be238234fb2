//! Records of the endpoints that began streams, on entries that are lost along with their last record.
//! Two endpoints of two builds answer as a test states.

mod fleet_world;

use fleet_world::Role;
use fleet_world::Size;
use fleet_world::proxy;
use fleet_world::scripted;
use fleet_world::scripted::Answer;
use fleet_world::scripted::Fleet;
use fleet_world::scripted::STREAM_FIELDS;
use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::task;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 2, endpoints: 0 };
const BUILDS: [&str; 2] = ["v1", "v2"];
/// Streams that run at a time.
const STREAMS: usize = 12;
/// Number of the last event that the caller of a stream has when its entry is lost.
const BEGUN: u64 = 3;
/// Longest time for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// What the endpoint does that is asked for a stream as the first or second one.
#[derive(Clone, Copy)]
enum Step {
    /// Brings the first events after a while.
    Begin(Duration),
    /// Closes the connection after a while.
    Close(Duration),
    /// Stays silent until its caller has left.
    Silence,
}

/// Builds of the endpoints that were asked for each new stream, in order, and of the one that went on.
#[derive(Clone, Default)]
struct Asked {
    asked: Vec<&'static str>,
    went_on: Option<&'static str>,
}

type Streams = Arc<Mutex<BTreeMap<String, Asked>>>;

/// Stream to which a request belongs. Callers name it in its path.
fn stream_of(path: &str) -> String {
    path.rsplit('/').next().unwrap_or_default().to_string()
}

/// Writes the head of a stream and its first events, and leaves it open.
fn begin(id: &str, stream: &mut TcpStream) -> std::io::Result<bool> {
    let events = scripted::events(0, BEGUN);
    let chunk = format!("{:x}\r\n{events}\r\n", events.len());
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-basilfield-request-id: {id}\r\n{STREAM_FIELDS}\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(format!("{head}{chunk}").as_bytes())?;
    std::thread::sleep(RESPONSE_TIMEOUT);
    Ok(false)
}

/// Endpoint of one build. The one that is asked for a new stream first does `steps[0]`, the next one
/// `steps[1]`.
fn endpoint(build: &'static str, steps: [Step; 2], streams: &Streams) -> Arc<Answer> {
    let streams = streams.clone();
    Arc::new(move |request, connection| {
        let number = {
            let mut streams = streams.lock().expect("lock");
            let stream = streams.entry(stream_of(&request.path)).or_default();
            if request.last_event > 0 {
                stream.went_on = Some(build);
            } else {
                stream.asked.push(build);
            }
            stream.asked.len().saturating_sub(1)
        };
        if request.last_event > 0 {
            let events = scripted::events(request.last_event, scripted::LAST_EVENT);
            let answer = scripted::framed("200 OK", &request.id, STREAM_FIELDS, &events);
            connection.write_all(answer.as_bytes())?;
            return Ok(true);
        }
        match steps.get(number) {
            Some(Step::Begin(after)) => {
                std::thread::sleep(*after);
                begin(&request.id, connection)
            }
            Some(Step::Close(after)) => {
                std::thread::sleep(*after);
                Ok(false)
            }
            _ => {
                std::thread::sleep(RESPONSE_TIMEOUT);
                Ok(false)
            }
        }
    })
}

/// Sends a request for a stream and reads its answer until it holds the event `until`, or to its end.
async fn ask(to: SocketAddr, stream: String, last_event: u64, until: u64) -> String {
    let asked = async {
        let mut connection = tokio::net::TcpStream::connect(to).await.expect("connected");
        let (id, fields) = match last_event {
            0 => (stream.clone(), String::new()),
            n => (format!("{stream}.1"), format!("last-event-id: {n}\r\nresumes: {stream}\r\n")),
        };
        let head = format!(
            "POST {}{stream} HTTP/1.1\r\nhost: {}\r\nx-basilfield-request-id: {id}\r\n{fields}\
             x-basilfield-deadline-ms: 6000\r\nconnection: close\r\ncontent-length: 3\r\n\r\nask",
            fleet_world::STREAM_PREFIX,
            fleet_world::ROUTE_HOST
        );
        connection.write_all(head.as_bytes()).await.expect("sent");
        let (mut answer, mut part) = (String::new(), [0; 4_096]);
        // An answer that is broken off may end with a reset.
        while let Ok(n @ 1..) = connection.read(&mut part).await {
            answer.push_str(&String::from_utf8_lossy(&part[..n]));
            if answer.contains(&format!("data: event {until}\n")) {
                break;
            }
        }
        answer
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, asked).await.unwrap_or_default()
}

/// How the streams ended for their callers.
#[derive(Debug, PartialEq, Eq)]
struct Ended {
    /// Streams that began at one build and went on at another.
    joined: Vec<String>,
    went_on: usize,
    /// Streams that were refused as not run and have not run.
    refused: usize,
}

/// What happens to the links of the first entry.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Links {
    Sound,
    /// They are cut after this long.
    Cut(Duration),
    /// What the entry sends to control hosts arrives this much later.
    Slow(Duration),
}

/// Begins streams at the first entry, which loses its connections to the other hosts if `links`
/// says so, and is killed once the callers have the first events. They take their streams up at the second entry.
/// `first` is the number of the endpoint that begins a stream in the order in which they were asked.
async fn play(steps: [Step; 2], links: Links, first: usize) -> (Ended, String) {
    let streams = Streams::default();
    let endpoints = BUILDS.map(|build| (build, endpoint(build, steps, &streams))).into();
    let mut fleet = Fleet::start_with_builds(SIZE, endpoints).await;
    let lost = fleet.world.hosts_of(Role::Entry)[0];
    let entries = fleet.world.caller_addresses();
    if let Links::Slow(delay) = links {
        let slow = proxy::LinkFaults { delay, ..proxy::LinkFaults::default() };
        let link = fleet.world.link(lost);
        for at in fleet.world.hosts_of(Role::Control) {
            fleet.world.hosts[at].proxy.set_faults(&link, slow);
        }
    }
    let mut tasks = task::JoinSet::new();
    for n in 0..STREAMS {
        let (to, stream) = (entries[0], format!("stream-{n}"));
        tasks.spawn(async move { ask(to, stream, 0, BEGUN).await });
    }
    if let Links::Cut(cut) = links {
        tokio::time::sleep(cut).await;
        fleet.world.cut_off(&[lost]);
    }
    let begun = tasks.join_all().await;
    fleet.world.kill(lost);
    let all = begun.iter().all(|a| a.contains(&format!("data: event {BEGUN}\n")));
    assert!(all, "streams begin: {begun:?}\n{}", fleet.world.logs());
    let mut tasks = task::JoinSet::new();
    for n in 0..STREAMS {
        let (to, stream) = (entries[1], format!("stream-{n}"));
        tasks.spawn(async move {
            let answer = ask(to, stream.clone(), BEGUN, scripted::LAST_EVENT).await;
            (stream, answer)
        });
    }
    let mut ended = Ended { joined: Vec::new(), went_on: 0, refused: 0 };
    for (stream, answer) in tasks.join_all().await {
        let asked = streams.lock().expect("lock")[&stream].clone();
        let origin = asked.asked.get(first).copied();
        match asked.went_on {
            Some(build) if Some(build) != origin => ended.joined.push(stream),
            Some(_) => ended.went_on += 1,
            None if answer.starts_with("HTTP/1.1 503") => ended.refused += 1,
            None => {}
        }
    }
    (ended, fleet.world.logs_of(Role::Entry))
}

/// Guards against a stream that is taken up at a build that was only asked for it: its first endpoint was
/// silent, one of another build was asked beside it, and the first one then brought the first event.
#[test]
fn stream_goes_on_at_a_build_that_was_asked_beside_its_own() {
    /// Time after which the silent endpoint goes on, and that at which the links are cut. The other one
    /// is asked from 1.2 to 1.5 s.
    const TIMES: (Duration, Duration) =
        (Duration::from_millis(2_400), Duration::from_millis(1_900));
    fleet_world::run(async {
        let steps = [Step::Begin(TIMES.0), Step::Silence];
        let (ended, logs) = play(steps, Links::Cut(TIMES.1), 0).await;
        let expected = Ended { joined: Vec::new(), went_on: 0, refused: STREAMS };
        assert_eq!(ended, expected, "{logs}");
    });
}

/// Guards against a stream that is taken up at a build that was asked for it first, but did not begin it,
/// since the record of the one that did is lost.
#[test]
fn stream_goes_on_at_the_build_of_an_older_record() {
    /// Time after which the first endpoint closes its connection, and that at which the links are cut.
    const TIMES: (Duration, Duration) = (Duration::from_millis(900), Duration::from_millis(500));
    fleet_world::run(async {
        let steps = [Step::Close(TIMES.0), Step::Begin(Duration::ZERO)];
        let (ended, logs) = play(steps, Links::Cut(TIMES.1), 1).await;
        let expected = Ended { joined: Vec::new(), went_on: 0, refused: STREAMS };
        assert_eq!(ended, expected, "{logs}");
    });
}

/// Guards against streams that are refused since their entry was lost immediately after their first
/// events.
#[test]
fn origin_is_unknown_right_after_the_first_event() {
    fleet_world::run(async {
        let steps = [Step::Begin(Duration::from_millis(100)), Step::Silence];
        let (ended, logs) = play(steps, Links::Sound, 0).await;
        assert_eq!(ended.joined, Vec::<String>::new(), "{logs}");
        assert!(ended.went_on * 2 >= STREAMS, "{ended:?}\n{logs}");
    });
}

/// Guards against streams that are refused since the records of their entry, which was lost immediately
/// after their first events, reach the control hosts later than the question of another entry.
#[test]
fn record_arrives_after_the_question() {
    /// Longer than the control hosts take to answer the first question.
    const DELAY: Duration = Duration::from_millis(60);
    fleet_world::run(async {
        let steps = [Step::Begin(Duration::from_millis(100)), Step::Silence];
        let (ended, logs) = play(steps, Links::Slow(DELAY), 0).await;
        let expected = Ended { joined: Vec::new(), went_on: STREAMS, refused: 0 };
        assert_eq!(ended, expected, "{logs}");
    });
}

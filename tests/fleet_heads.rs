//! Endpoints that stop within the head of an answer, and endpoints that write an answer twice.

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
use std::collections::BTreeSet;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::task;

/// Requests that run at once.
const CONCURRENCY: usize = 24;
/// Most items of one job.
const MAX_ITEMS: usize = 200;
/// Pause between two segments.
const SEGMENT_PAUSE: Duration = Duration::from_millis(3);
/// Route of requests that run at most once and have no stream.
const UNSAFE_PREFIX: &str = "/unsafe/";
const PREFIXES: [&str; 4] = [
    fleet_world::PLAIN_PREFIX,
    UNSAFE_PREFIX,
    fleet_world::STREAM_PREFIX,
    fleet_world::ONCE_PREFIX,
];

/// Numbers by request id.
type Counts = Arc<Mutex<BTreeMap<String, usize>>>;

fn is_retryable(prefix: &str) -> bool {
    matches!(prefix, fleet_world::PLAIN_PREFIX | fleet_world::STREAM_PREFIX)
}

/// Whole body of the answer to a request.
fn body(path: &str, id: &str, last_event: u64) -> String {
    match path.starts_with(fleet_world::PLAIN_PREFIX) || path.starts_with(UNSAFE_PREFIX) {
        true => format!("the whole answer to {id}"),
        false => events(last_event, LAST_EVENT),
    }
}

/// Sound answer to a request.
fn sound(request: &Request) -> String {
    framed("200 OK", &request.id, STREAM_FIELDS, &body_of(request))
}

fn body_of(request: &Request) -> String {
    body(&request.path, &request.id, request.last_event)
}

/// Sound answer that states its length first.
fn with_length_first(request: &Request) -> String {
    let (id, body) = (&request.id, body_of(request));
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n{STREAM_FIELDS}x-basilfield-request-id: {id}\r\n\
         \r\n{body}",
        body.len()
    )
}

/// Sound answer in chunks.
fn chunked(request: &Request) -> String {
    let (id, body) = (&request.id, body_of(request));
    format!(
        "HTTP/1.1 200 OK\r\nx-basilfield-request-id: {id}\r\n{STREAM_FIELDS}transfer-encoding: \
         chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    )
}

/// Answer in which line feeds end the lines of the head.
fn with_line_feeds(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    format!("{}\n\n{body}", head.replace("\r\n", "\n"))
}

/// How an answer ends that an endpoint does not write to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The connection is closed.
    Close,
    /// The head ends with a blank line, and the connection is closed. The value ends lines.
    Head(&'static str),
}

/// Answer that an endpoint does not write to its end.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    answer: fn(&Request) -> String,
    end: End,
}

impl Case {
    /// Positions at which the answer is cut.
    fn positions(&self) -> usize {
        let request = Request {
            id: "stream-000".into(),
            path: fleet_world::STREAM_PREFIX.into(),
            last_event: 0,
            head: String::new(),
            number: 0,
        };
        let answer = (self.answer)(&request);
        match self.end {
            End::Close => answer.len(),
            End::Head(line_end) => {
                let end = line_end.repeat(2);
                answer.find(&end).map_or(answer.len(), |at| at + end.len())
            }
        }
    }

    /// What the endpoint writes if it stops at a position.
    fn cut(&self, request: &Request, at: usize) -> String {
        let answer = (self.answer)(request);
        if at >= self.positions() {
            return sound(request);
        }
        let written = &answer[..at.min(answer.len())];
        match self.end {
            End::Close => written.into(),
            End::Head(line_end) if written.ends_with(line_end) => format!("{written}{line_end}"),
            End::Head(line_end) => format!("{written}{line_end}{line_end}"),
        }
    }
}

const CASES: [Case; 10] = [
    Case { name: "two answers", answer: |r| sound(r).repeat(2), end: End::Close },
    Case { name: "line feeds", answer: |r| with_line_feeds(&sound(r)), end: End::Close },
    Case { name: "chunks", answer: chunked, end: End::Close },
    Case { name: "ended head", answer: sound, end: End::Head("\r\n") },
    Case {
        name: "ended head with line feeds",
        answer: |r| with_line_feeds(&sound(r)),
        end: End::Head("\n"),
    },
    Case { name: "ended head of chunks", answer: chunked, end: End::Head("\r\n") },
    Case { name: "ended head with length", answer: with_length_first, end: End::Head("\r\n") },
    Case {
        name: "interim answer",
        answer: |r| format!("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n{}", sound(r)),
        end: End::Close,
    },
    Case {
        name: "ended interim answer",
        answer: |_| "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".into(),
        end: End::Head("\r\n"),
    },
    Case { name: "no head", answer: body_of, end: End::Close },
];

/// Answer to a request to switch the protocol, which no caller has made.
const SWITCHED: Case = Case {
    name: "switched protocol",
    answer: |r| {
        let id = &r.id;
        format!(
            "HTTP/1.1 101 Switching Protocols\r\nx-basilfield-request-id: {id}\r\nupgrade: \
             h2c\r\nconnection: upgrade\r\n\r\n"
        )
    },
    end: End::Head("\r\n"),
};

/// Number that a request's path states, at which its answer is cut.
fn cut_of(request: &Request) -> usize {
    request.path.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Endpoint that cuts the answer to the first attempt of each request; if `reused`, only on connections
/// that have carried a sound answer. `cut` gets the ids, and `sent` counts the attempts.
fn cutting(
    case: Case,
    reused: bool,
    cut: &Arc<Mutex<BTreeSet<String>>>,
    sent: &Counts,
) -> Arc<Answer> {
    let (cut, sent) = (cut.clone(), sent.clone());
    Arc::new(move |request, stream| {
        stream.set_nodelay(true)?;
        let is_first = {
            let mut sent = sent.lock().expect("lock");
            let count = sent.entry(request.id.clone()).or_default();
            *count += 1;
            *count == 1
        };
        if !is_first || request.last_event > 0 || reused && request.number == 0 {
            stream.write_all(sound(request).as_bytes())?;
            return Ok(true);
        }
        cut.lock().expect("lock").insert(request.id.clone());
        stream.write_all(case.cut(request, cut_of(request)).as_bytes())?;
        Ok(false)
    })
}

/// Body of an answer that a caller got, and whether it is framed as complete.
fn read_body(head: &str, body: &str) -> (String, bool) {
    if head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
        let (mut text, mut rest) = (String::new(), body);
        while let Some((size, tail)) = rest.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16).unwrap_or(usize::MAX);
            if size == 0 {
                return (text, tail == "\r\n");
            }
            let Some(data) = tail.get(..size) else { return (text + tail, false) };
            text += data;
            rest = tail[size..].strip_prefix("\r\n").unwrap_or_default();
        }
        return (text, false);
    }
    let lower = head.to_ascii_lowercase();
    let length = lower.lines().find_map(|l| l.strip_prefix("content-length:"));
    let length = length.and_then(|l| l.trim().parse::<usize>().ok());
    (body.into(), length.is_none_or(|length| length == body.len()))
}

/// What is wrong with the answer to a request that was sent to endpoints `sent` times: a success is the
/// whole answer, or is broken off, and a failure is true.
fn problem(prefix: &str, id: &str, answer: &str, sent: usize) -> Option<String> {
    let Some((head, rest)) = answer.split_once("\r\n\r\n") else {
        return Some(format!("no answer: {answer:?}"));
    };
    let status = head.get(9..12).unwrap_or_default();
    let is_wrong = match status {
        "200" => {
            let (text, is_complete) = read_body(head, rest);
            let whole = body(&format!("{prefix}{id}"), id, 0);
            !whole.starts_with(&text) || is_complete && text != whole
        }
        "429" | "503" => sent > 0,
        "502" | "504" => false,
        _ => true,
    };
    let is_repeated = sent > 1 && !is_retryable(prefix);
    (is_wrong || is_repeated).then(|| format!("sent {sent} times: {answer:?}"))
}

/// Fleet with a route for requests that run at most once and have no stream.
async fn start(answers: Vec<Arc<Answer>>) -> Fleet {
    let fleet = Fleet::start(answers).await;
    let mut config: serde_json::Value =
        serde_json::from_str(&fleet.world.config(2)).expect("valid JSON");
    let routes = config["routes"].as_array_mut().expect("routes");
    let mut route = routes[2].clone();
    route["name"] = json!("unsafe");
    route["prefix"] = json!(UNSAFE_PREFIX);
    route["kind"] = json!("unsafe");
    routes.push(route);
    assert_eq!(fleet.world.put_config(&config.to_string()).await, 200);
    loop {
        let answer = fleet.ask("HTTP/1.1", UNSAFE_PREFIX, "begin-0").await;
        if !answer.contains(" 404 ") && !answer.contains(" 503 ") {
            return fleet;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Answers that were seen in a case.
#[derive(Default)]
struct Seen {
    /// Requests whose answers were cut.
    cut: usize,
    /// Requests that may be repeated and were not answered.
    failed: usize,
    /// What is wrong with each wrong answer.
    wrong: Vec<String>,
}

async fn ask_at_each_cut(case: Case, reused: bool) -> Seen {
    let (cut, sent) = (Arc::<Mutex<BTreeSet<String>>>::default(), Counts::default());
    let endpoint = cutting(case, reused, &cut, &sent);
    // A kept connection that an endpoint is just closing costs another attempt.
    let fleet = Arc::new(start(vec![endpoint; 3]).await);
    let asked: Vec<(&str, usize)> = PREFIXES
        .into_iter()
        .filter(|p| !reused || is_retryable(p))
        .flat_map(|p| (0..case.positions()).map(move |at| (p, at)))
        .collect();
    let asked = Arc::new(asked);
    let mut tasks = task::JoinSet::new();
    for first in 0..CONCURRENCY {
        let (fleet, sent, asked) = (fleet.clone(), sent.clone(), asked.clone());
        tasks.spawn(async move {
            let mut answers = Vec::new();
            for (prefix, at) in asked.iter().skip(first).step_by(CONCURRENCY) {
                let id = format!("{}-{at}", prefix.trim_matches('/'));
                let answer = fleet.ask("HTTP/1.1", prefix, &id).await;
                let count = sent.lock().expect("lock").get(&id).copied().unwrap_or(0);
                let problem = problem(prefix, &id, &answer, count);
                let failed = is_retryable(prefix) && !answer.starts_with("HTTP/1.1 200");
                answers.push((failed, problem.map(|p| format!("{id} {p}"))));
            }
            answers
        });
    }
    let answers = tasks.join_all().await.concat();
    let failed = answers.iter().filter(|(failed, _)| *failed).count();
    let mut wrong: Vec<String> = answers.into_iter().filter_map(|(_, wrong)| wrong).collect();
    wrong.sort_unstable();
    let entries = fleet.world.caller_addresses();
    assert!(client::submit(&entries, "job", MAX_ITEMS).await, "{}", fleet.world.logs());
    let outputs = fleet.outputs("job", MAX_ITEMS).await;
    wrong.extend(outputs.iter().filter(|o| **o != item_output()).map(|o| format!("item {o:?}")));
    wrong.extend((outputs.len()..MAX_ITEMS).map(|_| "item not listed".into()));
    let cut = cut.lock().expect("lock").len();
    Seen { cut, failed, wrong }
}

async fn wrong_answers(cases: &[Case], reused: bool) -> Vec<String> {
    let mut wrong = Vec::new();
    for case in cases {
        let seen = ask_at_each_cut(*case, reused).await;
        println!("{} (reused: {reused}): {} cut, {} failed", case.name, seen.cut, seen.failed);
        assert!(seen.cut > case.positions() / 2, "{}: {} cut", case.name, seen.cut);
        if seen.failed > 0 {
            wrong.push(format!("{}: {} not answered", case.name, seen.failed));
        }
        if let Some(first) = seen.wrong.first() {
            wrong.push(format!("{}: {} wrong, such as {first}", case.name, seen.wrong.len()));
        }
    }
    wrong
}

/// Guards against a success with an empty or short body, and against refusals of requests that ran: an
/// endpoint stops within the head of its answer. Requests that may be repeated get a whole answer.
#[test]
fn cut_head_is_taken_for_an_answer() {
    fleet_world::run(async {
        assert_eq!(wrong_answers(&CASES, false).await, Vec::<String>::new());
    });
}

/// Guards against the same on a connection that has carried a sound answer.
#[test]
fn cut_head_on_a_kept_connection_is_taken_for_an_answer() {
    fleet_world::run(async {
        assert_eq!(wrong_answers(&CASES, true).await, Vec::<String>::new());
    });
}

/// Guards against an interim status as the answer of a caller that has not asked for it.
#[test]
fn switched_protocol_is_passed_on() {
    fleet_world::run(async {
        let mut wrong = wrong_answers(&[SWITCHED], false).await;
        wrong.extend(wrong_answers(&[SWITCHED], true).await);
        assert_eq!(wrong, Vec::<String>::new());
    });
}

/// Guards against a promise that a request has not run, which its endpoint has not made: it stopped
/// before the field that makes it, or has run the request.
#[test]
fn status_of_a_refusal_is_taken_for_one() {
    fleet_world::run(async {
        let mut wrong = Vec::new();
        let statuses = ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"];
        for status in statuses {
            let sent = Counts::default();
            let counts = sent.clone();
            let endpoint: Arc<Answer> = Arc::new(move |request, stream| {
                let mut sent = counts.lock().expect("lock");
                let count = sent.entry(request.id.clone()).or_default();
                *count += 1;
                let answer = match *count {
                    1 if !request.id.starts_with("begin") => framed(status, &request.id, "", ""),
                    _ => sound(request),
                };
                stream.write_all(answer.as_bytes())?;
                Ok(true)
            });
            let fleet = start(vec![endpoint.clone(), endpoint]).await;
            for n in 0..16 {
                let (prefix, id) = (PREFIXES[n % 4], format!("request-{n}"));
                let answer = fleet.ask("HTTP/1.1", prefix, &id).await;
                let count = sent.lock().expect("lock").get(&id).copied().unwrap_or(0);
                let problem = problem(prefix, &id, &answer, count);
                wrong.extend(problem.map(|p| format!("{status} {prefix}{id} {p}")));
                if is_retryable(prefix) && !answer.starts_with("HTTP/1.1 200") {
                    wrong.push(format!("{status} {prefix}{id} not answered: {answer}"));
                }
            }
        }
        let first = wrong.first().cloned().unwrap_or_default();
        assert_eq!((wrong.len(), first), (0, String::new()));
    });
}

/// When an endpoint writes an answer once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    /// In the same segment.
    Segment,
    /// In the same segment, and only a part of the head.
    Part,
    /// Some time later.
    After(Duration),
    /// When the next request arrives on the connection.
    Next,
}

/// Id in an answer that is written once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Echo {
    Same,
    Other,
    None,
}

/// Endpoint that writes each answer twice. `sent` counts the attempts, and `next` those that found an
/// earlier answer on their connection.
fn repeating(repeat: Repeat, echo: Echo, sent: &Counts, next: &Counts) -> Arc<Answer> {
    let (sent, next) = (sent.clone(), next.clone());
    let pending = Mutex::new(BTreeMap::<SocketAddr, String>::new());
    Arc::new(move |request, stream| {
        stream.set_nodelay(true)?;
        *sent.lock().expect("lock").entry(request.id.clone()).or_default() += 1;
        let id = match echo {
            Echo::Same => &request.id,
            Echo::Other => "other",
            Echo::None => "",
        };
        let copy = framed("200 OK", id, STREAM_FIELDS, &body_of(request));
        let peer = stream.peer_addr()?;
        if let Some(earlier) = pending.lock().expect("lock").remove(&peer)
            && request.number > 0
        {
            *next.lock().expect("lock").entry(request.id.clone()).or_default() += 1;
            stream.write_all(earlier.as_bytes())?;
            std::thread::sleep(SEGMENT_PAUSE);
        }
        let answer = sound(request);
        match repeat {
            Repeat::Segment => stream.write_all((answer + &copy).as_bytes())?,
            Repeat::Part => stream.write_all((answer + &copy[..copy.len() / 2]).as_bytes())?,
            Repeat::Next => {
                pending.lock().expect("lock").insert(peer, copy);
                stream.write_all(answer.as_bytes())?;
            }
            Repeat::After(pause) => {
                stream.write_all(answer.as_bytes())?;
                let mut stream = stream.try_clone()?;
                std::thread::spawn(move || {
                    std::thread::sleep(pause);
                    // Fails if the connection was closed meanwhile.
                    let _ = stream.write_all(copy.as_bytes());
                });
            }
        }
        Ok(true)
    })
}

/// What is wrong with the answers of endpoints that write each of them twice.
async fn wrong_repeats(repeat: Repeat, echo: Echo) -> Vec<String> {
    let (sent, next) = (Counts::default(), Counts::default());
    let endpoint = repeating(repeat, echo, &sent, &next);
    let fleet = start(vec![endpoint.clone(), endpoint]).await;
    let (mut wrong, mut failed) = (Vec::new(), 0);
    for n in 0..48 {
        let (prefix, id) = (PREFIXES[n % 4], format!("request-{n}"));
        let answer = fleet.ask("HTTP/1.1", prefix, &id).await;
        let count = sent.lock().expect("lock").get(&id).copied().unwrap_or(0);
        let problem = problem(prefix, &id, &answer, count);
        wrong.extend(problem.map(|p| format!("{repeat:?} {echo:?} {prefix}{id} {p}")));
        failed += usize::from(is_retryable(prefix) && !answer.starts_with("HTTP/1.1 200"));
        tokio::time::sleep(Duration::from_millis((n % 3 * 10) as u64)).await;
    }
    let entries = fleet.world.caller_addresses();
    assert!(client::submit(&entries, "job", 12).await, "{}", fleet.world.logs());
    let outputs = fleet.outputs("job", 12).await;
    if outputs != vec![item_output(); 12] {
        wrong.push(format!("{repeat:?} {echo:?} items: {outputs:?}"));
    }
    if failed > 0 {
        wrong.push(format!("{repeat:?} {echo:?}: {failed} not answered"));
    }
    let next = next.lock().expect("lock").len();
    println!("{repeat:?} {echo:?}: {failed} failed, {next} behind an earlier answer");
    wrong
}

/// Guards against an earlier answer that is taken for the answer to the next request on a connection,
/// and against requests that fail because each attempt finds one.
#[test]
fn second_answer_is_taken_for_that_to_the_next_request() {
    fleet_world::run(async {
        let after = [5, 60, 400].map(|ms| Repeat::After(Duration::from_millis(ms)));
        let mut wrong = Vec::new();
        for repeat in [Repeat::Segment, Repeat::Part, Repeat::Next].into_iter().chain(after) {
            let same = wrong_repeats(repeat, Echo::Same);
            let other = wrong_repeats(repeat, Echo::Other);
            let none = wrong_repeats(repeat, Echo::None);
            let (same, other, none) = tokio::join!(same, other, none);
            wrong.extend([same, other, none].concat());
        }
        assert_eq!(wrong, Vec::<String>::new());
    });
}

/// Endpoint that ends its first answer to each item within the fourth event, and writes another whole
/// answer to that run when the next request arrives on the connection. `next` counts these.
fn repeating_items(next: &Counts) -> Arc<Answer> {
    let (begun, next) = (Mutex::new(BTreeSet::new()), next.clone());
    let pending = Mutex::new(BTreeMap::<SocketAddr, String>::new());
    Arc::new(move |request, stream| {
        let peer = stream.peer_addr()?;
        if let Some(earlier) = pending.lock().expect("lock").remove(&peer)
            && request.number > 0
        {
            *next.lock().expect("lock").entry(request.id.clone()).or_default() += 1;
            stream.write_all(earlier.as_bytes())?;
            std::thread::sleep(SEGMENT_PAUSE);
        }
        if !begun.lock().expect("lock").insert(request.id.clone()) {
            stream.write_all(sound(request).as_bytes())?;
            return Ok(true);
        }
        let copy = events(0, LAST_EVENT).replace("data: event", "data: copied");
        let copy = framed("200 OK", &request.id, STREAM_FIELDS, &copy);
        pending.lock().expect("lock").insert(peer, copy);
        let part = events(0, 3) + "id: 4\ndata: eve";
        stream.write_all(framed("200 OK", &request.id, STREAM_FIELDS, &part).as_bytes())?;
        Ok(true)
    })
}

/// Guards against output that joins two runs: the second answer to an earlier run of an item is taken
/// for the answer to the run that goes on after an event.
#[test]
fn second_answer_goes_on_with_an_item() {
    fleet_world::run(async {
        let (mut wrong, mut found) = (Vec::new(), 0);
        for _ in 0..3 {
            let next = Counts::default();
            let fleet = Fleet::start(vec![repeating_items(&next)]).await;
            let entries = fleet.world.caller_addresses();
            assert!(client::submit(&entries, "job", 4).await, "{}", fleet.world.logs());
            let outputs = fleet.outputs("job", 4).await;
            if outputs != vec![item_output(); 4] {
                wrong.push(outputs);
            }
            found += next.lock().expect("lock").len();
        }
        println!("{found} requests behind an earlier answer");
        assert_eq!(wrong, Vec::<Vec<String>>::new());
    });
}

/// Sends a request under HTTP/1.0. Returns what arrived, and whether the connection ended in an orderly
/// way.
async fn ask_without_framing(entry: SocketAddr, id: &str) -> (String, bool) {
    let mut stream = tokio::net::TcpStream::connect(entry).await.expect("connected");
    let head = format!(
        "POST {}{id} HTTP/1.0\r\nhost: {}\r\nx-basilfield-request-id: {id}\r\n\
         x-basilfield-deadline-ms: 5000\r\ncontent-length: 3\r\n\r\nask",
        fleet_world::ONCE_PREFIX,
        fleet_world::ROUTE_HOST
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).await;
    (String::from_utf8_lossy(&answer).into_owned(), read.is_ok())
}

/// Endpoint that writes three events of each stream, and the others after a pause. Streams whose id
/// begins with `broken` are broken off instead.
fn pausing(pause: Duration) -> Arc<Answer> {
    Arc::new(move |request, stream| {
        let answer = sound(request);
        let (part, rest) = answer.split_at(answer.find("id: 4").expect("a fourth event"));
        stream.write_all(part.as_bytes())?;
        std::thread::sleep(pause);
        if request.id.starts_with("broken") {
            return Ok(false);
        }
        stream.write_all(rest.as_bytes())?;
        Ok(true)
    })
}

/// Guards against a stream that looks complete to a caller whose answer has no framing, although it was
/// broken off.
#[test]
fn stream_without_framing_that_breaks_off_ends_in_an_orderly_way() {
    fleet_world::run(async {
        let fleet = Fleet::start(vec![pausing(SEGMENT_PAUSE)]).await;
        let mut seen = BTreeMap::<String, usize>::new();
        for n in 0..40 {
            let kind = if n % 2 == 0 { "sound" } else { "broken" };
            let id = format!("{kind}-{n}");
            let (answer, is_orderly) = ask_without_framing(fleet.entry, &id).await;
            let count = answer.matches("data: event").count();
            *seen.entry(format!("{kind}: {count} events, orderly: {is_orderly}")).or_default() += 1;
        }
        let expected =
            [("broken: 3 events, orderly: false", 20), ("sound: 6 events, orderly: true", 20)];
        assert_eq!(seen, expected.map(|(kind, n)| (kind.to_string(), n)).into());
    });
}

/// Guards against the same when the process of the entry is killed.
#[test]
fn stream_without_framing_ends_in_an_orderly_way_when_its_entry_is_killed() {
    fleet_world::run(async {
        let mut fleet = Fleet::start(vec![pausing(Duration::from_secs(4))]).await;
        let mut tasks = task::JoinSet::new();
        for n in 0..20 {
            let entry = fleet.entry;
            tasks.spawn(async move { ask_without_framing(entry, &format!("sound-{n}")).await });
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let entry = fleet.world.hosts_of(fleet_world::Role::Entry)[0];
        fleet.world.kill(entry);
        let answers = tasks.join_all().await;
        let seen: Vec<(usize, bool)> = answers
            .iter()
            .map(|(a, orderly)| (a.matches("data: event").count(), *orderly))
            .collect();
        assert_eq!(seen, vec![(3, false); 20]);
    });
}

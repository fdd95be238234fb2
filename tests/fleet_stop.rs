//! Planned stop of an entry: requests on every kind of route, submissions and reads of jobs before the
//! signal and across the whole grace.

mod fleet_world;

use fleet_world::Role;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::scripted::Answer;
use fleet_world::scripted::Fleet;
use fleet_world::scripted::LAST_EVENT;
use fleet_world::scripted::STREAM_FIELDS;
use fleet_world::scripted::events;
use fleet_world::scripted::framed;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Time between the signal and the forced end, as the settings of the world state it.
const GRACE: Duration = Duration::from_secs(6);
/// Time that an endpoint takes for a request whose id begins with `slow`.
const SLOW: Duration = Duration::from_millis(4_500);
/// Longest time for an answer or the end of a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time before the signal at which the first requests are sent.
const LEAD: Duration = Duration::from_millis(800);

/// Requests that endpoints have got, and how often.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Endpoint that answers requests whose id begins with `slow` late, those with `hang` after the end of
/// every process, and others at once.
fn endpoint(runs: &Runs) -> Arc<Answer> {
    let runs = runs.clone();
    Arc::new(move |request, stream| {
        *runs.lock().expect("lock").entry(request.id.clone()).or_default() += 1;
        if request.id.starts_with("slow") {
            std::thread::sleep(SLOW);
        }
        if request.id.starts_with("hang") {
            std::thread::sleep(ANSWER_TIMEOUT);
        }
        let body = match request.path.starts_with(fleet_world::PLAIN_PREFIX) {
            true => "plain".to_string(),
            false => events(request.last_event, LAST_EVENT),
        };
        stream.write_all(framed("200 OK", &request.id, STREAM_FIELDS, &body).as_bytes())?;
        Ok(true)
    })
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Got {
    /// An answer with its whole body.
    Whole(u16),
    /// An answer that says that the request has not run and when to return.
    Refused,
    /// A part of an answer.
    Part(String),
    /// A connection that ended without a byte.
    Nothing,
    /// No connection, or one that broke before the request was written.
    NotTaken,
}

/// Request to send, in milliseconds after the signal.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    call: String,
    deadline: u64,
    body: String,
    /// When the head and the first half of the body are sent, and when the rest.
    begun: i64,
    whole: i64,
}

impl Sent {
    fn new(prefix: &str, id: &str, deadline: u64, begun: i64, whole: i64) -> Sent {
        let id = format!("{id}{}{begun}-{whole}", prefix.replace('/', "-"));
        let (call, body) = (format!("POST {prefix}{id}"), "asked".to_string());
        Sent { id, call, deadline, body, begun, whole }
    }

    fn job(begun: i64, whole: i64) -> Sent {
        let id = format!("job{begun}-{whole}");
        let items = json!({ "items": [{ "id": format!("{id}-0"), "path": "/batch/item",
            "headers": {}, "body": "", "tokens": 10 }] });
        let call = format!("POST {}{id}", fleet_world::BATCH_PREFIX);
        Sent { id, call, deadline: 6000, body: items.to_string(), begun, whole }
    }

    fn read(path: &str, begun: i64) -> Sent {
        let (id, call) = (format!("{path} at {begun}"), format!("GET {path}"));
        Sent { id, call, deadline: 6000, body: String::new(), begun, whole: begun }
    }

    async fn send(&self, entry: SocketAddr, signal: Instant) -> Got {
        sleep_until(signal, self.begun).await;
        let asked = async {
            let Ok(mut stream) = tokio::net::TcpStream::connect(entry).await else {
                return Got::NotTaken;
            };
            let head = format!(
                "{} HTTP/1.1\r\nhost: {}\r\nx-basilfield-request-id: {}\r\n\
                 x-basilfield-deadline-ms: {}\r\nx-basilfield-wait-ms: 1000\r\n\
                 connection: close\r\ncontent-length: {}\r\n\r\n",
                self.call,
                fleet_world::ROUTE_HOST,
                self.id,
                self.deadline,
                self.body.len()
            );
            let (first, rest) = self.body.split_at(self.body.len() / 2);
            let mut sent = stream.write_all((head + first).as_bytes()).await;
            sleep_until(signal, self.whole).await;
            if sent.is_ok() {
                sent = stream.write_all(rest.as_bytes()).await;
            }
            let mut answer = Vec::new();
            // An answer that is broken off may end with a reset.
            let _ = stream.read_to_end(&mut answer).await;
            match sent {
                Err(_) if answer.is_empty() => Got::NotTaken,
                _ => got(&String::from_utf8_lossy(&answer)),
            }
        };
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, asked).await;
        answer.unwrap_or_else(|_| Got::Part("no end".into()))
    }
}

async fn sleep_until(signal: Instant, at: i64) {
    let at = Duration::from_millis(u64::try_from(at + 10_000).expect("after the start"));
    let at = signal + at - Duration::from_secs(10);
    tokio::time::sleep_until(at.into()).await;
}

fn got(answer: &str) -> Got {
    if answer.is_empty() {
        return Got::Nothing;
    }
    let status = answer.get(9..12).and_then(|s| s.parse().ok());
    let (Some(status), Some((head, body))) = (status, answer.split_once("\r\n\r\n")) else {
        return Got::Part(answer.into());
    };
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
    let whole = match length.map(|l| l.trim().parse()) {
        Some(length) => length == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    };
    let has_retry = head.contains("\r\nretry-after:");
    match whole {
        true if status == 503 && has_retry => Got::Refused,
        true => Got::Whole(status),
        false => Got::Part(answer.into()),
    }
}

/// Sends the requests to an entry that is asked to stop. Returns what each caller got, and how long
/// after the signal the process ended.
async fn stop(fleet: &mut Fleet, sent: &[Sent]) -> (Vec<Got>, Duration) {
    let (entry, signal) = (fleet.entry, Instant::now() + LEAD);
    let tasks: Vec<_> = sent
        .iter()
        .map(|s| {
            let s = s.clone();
            tokio::spawn(async move { s.send(entry, signal).await })
        })
        .collect();
    tokio::time::sleep_until(signal.into()).await;
    let at = fleet.world.hosts_of(Role::Entry)[0];
    fleet.world.terminate(at);
    fleet.world.wait_for_exit(at, GRACE + Duration::from_secs(4)).await;
    let ended = signal.elapsed();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.expect("task"));
    }
    (answers, ended)
}

/// What is wrong with the answers, in one line each.
fn faults(sent: &[Sent], answers: &[Got], runs: &Runs, ended: Duration) -> Vec<String> {
    let runs = runs.lock().expect("lock");
    let mut wrong = Vec::new();
    for (s, got) in sent.iter().zip(answers) {
        let count = runs.get(&s.id).copied().unwrap_or(0);
        // A process that has nothing to do ends before the grace is over.
        let came_late = Duration::from_millis(u64::try_from(s.begun).unwrap_or(0)) >= ended;
        let is_answered = match got {
            Got::Whole(status) => *status != 503,
            Got::Refused => true,
            Got::NotTaken => count == 0 && (came_late || s.whole > s.begun),
            Got::Nothing | Got::Part(_) => false,
        };
        let is_once = s.call.contains(fleet_world::ONCE_PREFIX);
        // A request that may not be repeated is sent only if its endpoint has its whole time.
        let is_cut = is_once && s.begun > 0 && *got == Got::Whole(504);
        let has_run = *got == Got::Refused && count > 0 || is_once && count > 1;
        if !is_answered || is_cut || has_run {
            wrong.push(format!("{}: {got:?}, sent to {count} endpoints", s.id));
        }
    }
    if ended > GRACE {
        wrong.push(format!("the process ended {ended:?} after the signal"));
    }
    wrong
}

const PREFIXES: [&str; 3] =
    [fleet_world::PLAIN_PREFIX, fleet_world::ONCE_PREFIX, fleet_world::STREAM_PREFIX];

/// Guards against requests that a stopping entry takes though they cannot end in time: it passes them on
/// and cuts them at its end without an answer.
#[test]
fn request_is_cut_at_the_end_of_a_stop() {
    fleet_world::run(async {
        let runs = Runs::default();
        let mut fleet = Fleet::start(vec![endpoint(&runs), endpoint(&runs)]).await;
        let mut sent = Vec::new();
        for prefix in PREFIXES {
            for at in [-600, -100, 100, 800, 1400, 2000, 2500, 3000, 4500] {
                sent.push(Sent::new(prefix, "slow", 6000, at, at));
                sent.push(Sent::new(prefix, "fast", 2000, at, at));
            }
            for at in [-100, 1000] {
                sent.push(Sent::new(prefix, "hang", 6000, at, at));
            }
            for (begun, whole) in [(-500, 300), (300, 1700), (2000, 3000), (2400, 4400)] {
                sent.push(Sent::new(prefix, "slow", 6000, begun, whole));
                sent.push(Sent::new(prefix, "fast", 3000, begun, whole));
            }
        }
        let (answers, ended) = stop(&mut fleet, &sent).await;
        assert_eq!(
            faults(&sent, &answers, &runs, ended),
            Vec::<String>::new(),
            "{}",
            fleet.world.logs()
        );
        // Those whose time ends before the process does are served.
        let served = |s: &&Sent| s.id.starts_with("fast") && s.begun < 2300;
        let unserved: Vec<&str> = sent
            .iter()
            .zip(&answers)
            .filter(|(s, got)| served(s) && **got != Got::Whole(200))
            .map(|(s, _)| &*s.id)
            .collect();
        assert_eq!(unserved, Vec::<&str>::new(), "{}", fleet.world.logs());
    });
}

/// Guards against a request that waits for a slot when the stop begins and is sent so late that the
/// process ends before its answer.
#[test]
fn request_that_waits_for_a_slot_is_cut_at_the_end_of_a_stop() {
    fleet_world::run(async {
        let runs = Runs::default();
        let mut fleet = Fleet::start_with_slots(vec![endpoint(&runs)], 4).await;
        // Requests wait for six tenths of the response target.
        let config =
            fleet.world.config(2).replace("\"responseTargetMs\":300", "\"responseTargetMs\":9000");
        assert_eq!(fleet.world.put_config(&config).await, 200);
        let entry = fleet.world.hosts_of(Role::Entry)[0];
        let log = fleet.world.log_file(entry);
        let has_config = || {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            text.lines().any(|l| l.contains("\"version\":2"))
        };
        let limit = fleet_world::WAIT_TIMEOUT;
        assert!(fleet_world::wait_until(limit, has_config).await, "{}", fleet.world.logs());
        // Nothing waits until it is known how long requests run.
        for n in 0..4 {
            fleet.ask("HTTP/1.1", fleet_world::PLAIN_PREFIX, &format!("fast-{n}")).await;
        }
        // The first four end 3.8 s after the signal.
        let first = (0..4).map(|n| {
            Sent::new(fleet_world::PLAIN_PREFIX, &format!("slow-first{n}"), 6000, -700, -700)
        });
        let mut sent: Vec<Sent> = first.collect();
        for prefix in PREFIXES {
            for at in [-300, -100, 500, 1500, 2400] {
                sent.push(Sent::new(prefix, "slow", 6000, at, at));
            }
        }
        let (answers, ended) = stop(&mut fleet, &sent).await;
        assert_eq!(
            faults(&sent, &answers, &runs, ended),
            Vec::<String>::new(),
            "{}",
            fleet.world.logs()
        );
        // Those that may not be repeated are known to be too late as soon as the stop begins.
        let is_once = |s: &&Sent| s.call.contains(fleet_world::ONCE_PREFIX);
        let once = sent.iter().zip(&answers).filter(|(s, _)| is_once(s));
        let runs = runs.lock().expect("lock");
        let run: Vec<&str> = once
            .filter(|(s, got)| **got != Got::Refused || runs.contains_key(&s.id))
            .map(|(s, _)| &*s.id)
            .collect();
        assert_eq!(run, Vec::<&str>::new(), "{}", fleet.world.logs());
    });
}

/// Guards against submissions and reads of jobs without an answer: their entry stops.
#[test]
fn job_call_is_cut_at_the_end_of_a_stop() {
    fleet_world::run(async {
        let runs = Runs::default();
        let mut fleet = Fleet::start(vec![endpoint(&runs)]).await;
        let entries = fleet.world.caller_addresses();
        assert!(client::submit(&entries, "slow-job", 2).await, "{}", fleet.world.logs());
        let mut sent = Vec::new();
        for at in [-700, -100, 100, 900, 1700, 2500, 3300, 4100, 4900, 5400] {
            sent.push(Sent::job(at, at));
            sent.push(Sent::read("/-/lots/slow-job?after=0", at));
            sent.push(Sent::read("/-/items/slow-job?id=slow-job-1", at));
        }
        for (begun, whole) in [(-500, 300), (300, 1700), (2000, 3000), (2400, 4400)] {
            sent.push(Sent::job(begun, whole));
        }
        // A request that keeps the process running.
        sent.push(Sent::new(fleet_world::PLAIN_PREFIX, "slow", 6000, 800, 800));
        let stores = fleet.world.hosts_of(Role::Store);
        let mut wrong = Vec::new();
        for has_quorum in [true, false] {
            if !has_quorum {
                // Nothing about jobs can be committed or read.
                fleet.world.suspend(stores[0]);
            }
            let (answers, ended) = stop(&mut fleet, &sent).await;
            wrong.extend(faults(&sent, &answers, &runs, ended));
            let at = fleet.world.hosts_of(Role::Entry)[0];
            if has_quorum {
                fleet.world.start_host(at, false);
                fleet.world.wait_until_ready(at).await;
            }
        }
        assert_eq!(wrong, Vec::<String>::new(), "{}", fleet.world.logs());
    });
}

/// Guards against calls of operators and endpoints without an answer: their control host stops while no
/// quorum answers.
#[test]
fn operator_call_is_cut_at_the_end_of_a_stop() {
    fleet_world::run(async {
        let size = Size { controls: 3, losses: 1, stores: 0, entries: 0, endpoints: 0 };
        let mut world = World::start(size).await;
        let (operators, at) = (world.hosts_of(Role::Control), world.hosts_of(Role::Control)[0]);
        for other in &operators[1..] {
            world.suspend(*other);
        }
        let to = (world.hosts[at].process_address, fleet_world::OPERATOR_PORT).into();
        let signal = Instant::now() + LEAD;
        let registration = json!({ "service": fleet_world::SERVICE, "address": "127.0.0.1:9",
            "zone": "d0", "version": "v2", "slots": 5, "state": "ready", "coldMs": 0, "callSeq": 1 });
        let calls = [
            ("PUT /-/config", world.config(2)),
            ("GET /-/config", String::new()),
            ("PUT /-/instances/i-9", registration.to_string()),
        ];
        let mut sent = Vec::new();
        for (call, body) in calls {
            for (begun, whole) in [(-500, -500), (-100, -100), (200, 200)] {
                let (call, id) = (call.to_string(), format!("{call} at {begun}"));
                sent.push(Sent { id, call, deadline: 6000, body: body.clone(), begun, whole });
            }
        }
        let tasks: Vec<_> = sent
            .iter()
            .cloned()
            .map(|s| tokio::spawn(async move { s.send(to, signal).await }))
            .collect();
        tokio::time::sleep_until(signal.into()).await;
        world.terminate(at);
        world.wait_for_exit(at, GRACE).await;
        let mut unanswered = Vec::new();
        for (task, s) in tasks.into_iter().zip(&sent) {
            let got = task.await.expect("task");
            if got != Got::Whole(503) {
                unanswered.push(format!("{}: {got:?}", s.id));
            }
        }
        assert_eq!(unanswered, Vec::<String>::new(), "{}", world.logs());
    });
}

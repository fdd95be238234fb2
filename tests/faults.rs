//! Guarantees for online requests under faults of engines, agents, entries and connections.

mod workdir;

use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Runtime;
use workdir::Fleet;
use workdir::online;
use workdir::relay::Filter;
use workdir::relay::Relay;

const SECOND: Duration = Duration::from_secs(1);
/// Limit of the latency of a request that no fault affects. 30 tokens take 0.4 s; the rest allows
/// for a busy machine. Waiting for a lost peer would add a second or more.
const UNDISTURBED_LATENCY: Duration = Duration::from_millis(1_300);
/// Header that marks a call that must not be repeated.
const NOT_IDEMPOTENT: (&str, &str) = ("basilfield-idempotent", "no");
/// First port that Linux gives to outgoing connections by default.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

fn runtime() -> Runtime {
    Runtime::new().expect("runtime")
}

/// Applies a fault 1 s after the start of a load. Checks that every answer is complete, that
/// requests which begin 3 s after the fault are not delayed, and that some stream was resumed.
fn check_fault(agents: usize, fault: impl FnOnce(&mut Fleet)) {
    let mut fleet = Fleet::start(workdir::Size { states: 1, entries: 1, agents });
    fleet.create_workspace();
    let runtime = runtime();
    let load = online::run_load(fleet.url(0), 9, Duration::from_millis(70), 6 * SECOND);
    let load = runtime.spawn(load);
    std::thread::sleep(SECOND);
    fault(&mut fleet);
    let calls = runtime.block_on(load).expect("load");
    let bad: Vec<String> = calls
        .iter()
        .filter_map(|c| c.check().err().map(|e| format!("{} at {:?}: {e}", c.content, c.start)))
        .collect();
    assert!(
        bad.is_empty(),
        "{} of {} requests failed: {bad:#?}\n{}",
        bad.len(),
        calls.len(),
        fleet.log("entry-0")
    );
    let late: Vec<String> = calls
        .iter()
        .filter(|c| c.start > 4 * SECOND)
        .map(|c| (c, c.reply.as_ref().expect("checked").took))
        .filter(|(_, took)| *took > UNDISTURBED_LATENCY)
        .map(|(c, took)| format!("{} at {:?} took {took:?}", c.content, c.start))
        .collect();
    assert!(late.is_empty(), "{late:#?}\n{}", fleet.log("entry-0"));
    assert!(fleet.log("entry-0").contains("stream resumed elsewhere"), "some stream was resumed");
}

/// Guards against requests that are lost or wait at an engine that accepts them and never answers.
#[test]
fn frozen_engine() {
    check_fault(3, |fleet| fleet.signal("engine-0", Signal::STOP));
}

/// Guards against requests that are lost or wait for an agent that holds its connections open.
#[test]
fn frozen_agent() {
    check_fault(3, |fleet| fleet.signal("agent-0", Signal::STOP));
}

/// Guards against requests that are lost or wait for an agent that no longer exists.
#[test]
fn killed_agent() {
    check_fault(3, |fleet| fleet.kill("agent-0"));
}

/// Starts an agent that the entries reach through a relay.
fn start_agent_behind_relay(fleet: &mut Fleet, runtime: &Runtime, at: usize) -> Relay {
    let listen = workdir::free_udp();
    let relay = runtime.block_on(Relay::start(listen));
    fleet.start_agent_at(at, listen, Some(relay.addr));
    relay
}

/// Guards against the further use of a connection whose datagrams are dropped: a new one from a
/// new source port must replace it within 2 s, and no answer may be lost or truncated without an
/// error.
#[test]
fn silent_flow() {
    let runtime = runtime();
    let mut fleet = Fleet::prepare(1);
    fleet.start_state(0);
    let relay = start_agent_behind_relay(&mut fleet, &runtime, 0);
    fleet.start_agent(1);
    fleet.start_entry(0);
    (0..2).for_each(|at| {
        fleet.start_engine(at, &[]);
    });
    fleet.await_endpoints(0, 2);
    fleet.create_workspace();
    let load = online::run_load(fleet.url(0), 8, Duration::from_millis(70), 5 * SECOND);
    let load = runtime.spawn(load);
    std::thread::sleep(SECOND);
    let before = relay.source_ports();
    assert!(before > 0, "the flow is established");
    relay.set_filter(Filter::DropBoth);
    let silent = std::time::Instant::now();
    fleet.wait_until("a new flow is established", || relay.source_ports() > before);
    let detected = silent.elapsed();
    // Polling, and waiting for the next request to the agent, add to the 2 s of the detection.
    assert!(detected < Duration::from_millis(2_200), "detected after {detected:?}");
    let calls = runtime.block_on(load).expect("load");
    for call in &calls {
        let reply = call.reply.as_ref().expect("answer");
        let ended = call.stream && reply.body.contains("event: error");
        let silent_now = call.start < 3 * SECOND;
        let explained = ended && silent_now && !reply.body.contains("[DONE]");
        let checked = call.check();
        assert!(explained || checked.is_ok(), "{} {checked:?}", call.content);
        let late = call.start > 4 * SECOND && reply.took > UNDISTURBED_LATENCY;
        assert!(!late, "{} at {:?} took {:?}", call.content, call.start, reply.took);
    }
}

/// Fleet with two entries, two agents behind relays, and the plain service `ledger` at each agent.
struct Services {
    fleet: Fleet,
    runtime: Runtime,
    relays: Vec<Relay>,
    addresses: Vec<SocketAddr>,
}

impl Services {
    fn start() -> Services {
        let runtime = runtime();
        let mut fleet = Fleet::prepare(1);
        fleet.start_state(0);
        let relays = (0..2).map(|at| start_agent_behind_relay(&mut fleet, &runtime, at)).collect();
        (0..2).for_each(|at| fleet.start_entry(at));
        let addresses = (0..2).map(|at| fleet.start_service(at, "ledger")).collect();
        (0..2).for_each(|at| fleet.await_endpoints(at, 2));
        fleet.create_workspace();
        Services { fleet, runtime, relays, addresses }
    }

    fn set_faults(&self, faults: &Value) {
        for address in &self.addresses {
            self.runtime.block_on(online::call_endpoint(*address, "/faults", Some(faults)));
        }
    }

    /// Number of calls with a key that the services have received.
    fn call_count(&self, key: &str) -> u64 {
        let stats = |address: &SocketAddr| {
            self.runtime.block_on(online::call_endpoint(*address, "/stats", None))
        };
        self.addresses.iter().map(|a| stats(a)["keys"][key].as_u64().unwrap_or_default()).sum()
    }

    /// Starts a non-idempotent call that the services count under `key`. If `keyed`, also sends the
    /// key as the idempotency key.
    fn start_call(
        &self,
        entry: usize,
        key: &str,
        keyed: bool,
    ) -> tokio::task::JoinHandle<Result<online::Reply, String>> {
        let (url, key) = (self.fleet.url(entry), key.to_string());
        self.runtime.spawn(async move {
            let path = format!("/services/ledger/add?key={key}");
            let mut headers = vec![NOT_IDEMPOTENT, ("basilfield-deadline-ms", "2500")];
            if keyed {
                headers.push(("idempotency-key", &key));
            }
            online::send(&url, &path, &headers, format!("{{\"add\":\"{key}\"}}")).await
        })
    }

    fn call(&self, entry: usize, key: &str, keyed: bool) -> online::Reply {
        let call = self.start_call(entry, key, keyed);
        self.runtime.block_on(call).expect("task").expect("answer")
    }

    /// Waits until the services have received a call with a key.
    fn wait_for_call(&self, key: &str) {
        self.fleet.wait_until("the call runs", || self.call_count(key) > 0);
    }

    /// Checks that a call ran as often as its answer or refusal says.
    fn check(&self, key: &str, reply: &online::Reply) {
        let seen = self.call_count(key);
        match (reply.status, &*reply.run) {
            (200 | 500, "") => assert_eq!(seen, 1, "{key}: {reply:?}"),
            (_, "no") => assert_eq!(seen, 0, "{key}: {reply:?}"),
            (_, "unknown") => assert!(seen <= 1, "{key}: seen {seen} times, {reply:?}"),
            _ => panic!("{key}: {reply:?}"),
        }
    }
}

/// Guards against a non-idempotent call that runs twice, or that runs although its refusal says
/// that it did not, when the service, its agent or the connection fails.
#[test]
fn calls_that_must_not_be_repeated() {
    let mut services = Services::start();
    let reply = services.call(0, "plain", false);
    assert_eq!((reply.status, services.call_count("plain")), (200, 1), "{reply:?}");

    services.set_faults(&json!({ "fail_every": 1 }));
    let reply = services.call(0, "fails", false);
    assert_eq!((reply.status, services.call_count("fails")), (500, 1), "{reply:?}");

    services.set_faults(&json!({ "break_after": 0 }));
    let reply = services.call(0, "breaks", false);
    assert_eq!((&*reply.run, services.call_count("breaks")), ("unknown", 1), "{reply:?}");

    services.set_faults(&json!({ "frozen": true }));
    let reply = services.call(0, "stalls", false);
    assert_eq!((&*reply.run, services.call_count("stalls")), ("unknown", 1), "{reply:?}");
    services.set_faults(&json!({}));

    // The established flows of entry 0 go silent; new ones work.
    services.call(0, "warm-a", false);
    services.call(0, "warm-b", false);
    services.relays.iter().for_each(|r| r.set_filter(Filter::DropBoth));
    let reply = services.call(0, "silent", false);
    services.check("silent", &reply);
    assert!(reply.status == 200 || reply.run == "no", "it never ran: {reply:?}");
    // The agents get the call but their answers are lost, so that it may have run.
    services.call(0, "warm-c", false);
    services.call(0, "warm-d", false);
    services.relays.iter().for_each(|r| r.set_filter(Filter::DropToClient));
    let reply = services.call(0, "mute", false);
    services.check("mute", &reply);
    assert_eq!(reply.run, "unknown", "{reply:?}");
    services.relays.iter().for_each(|r| r.set_filter(Filter::Pass));

    services.set_faults(&json!({ "frozen": true }));
    let calls: Vec<_> =
        (0..4).map(|at| services.start_call(0, &format!("killed-{at}"), false)).collect();
    (0..4).for_each(|at| services.wait_for_call(&format!("killed-{at}")));
    services.fleet.kill("agent-0");
    for (at, call) in calls.into_iter().enumerate() {
        let reply = services.runtime.block_on(call).expect("task").expect("answer");
        assert_eq!(reply.run, "unknown", "{reply:?}");
        assert_eq!(services.call_count(&format!("killed-{at}")), 1);
    }
}

/// Guards against a second run of a call with an idempotency key when it is sent again through
/// another entry, also if the first entry was lost before the call ran or while it ran.
#[test]
fn keyed_calls_through_another_entry() {
    let mut services = Services::start();
    let first = services.call(0, "stored", true);
    let again = services.call(1, "stored", true);
    assert_eq!((first.status, &first.body), (200, &again.body), "{again:?}");
    assert_eq!((again.status, services.call_count("stored")), (200, 1));

    // The first entry is lost while the service works on the call.
    services.set_faults(&json!({ "frozen": true }));
    let lost = services.start_call(0, "open", true);
    services.wait_for_call("open");
    let open = services.call(1, "open", true);
    assert_eq!((open.status, &*open.run), (409, "unknown"), "{open:?}");
    assert!(open.body.contains("no known outcome"), "{open:?}");
    services.fleet.kill("entry-0");
    assert!(services.runtime.block_on(lost).expect("task").is_err(), "the entry is gone");
    let open = services.call(1, "open", true);
    assert_eq!((open.status, &*open.run), (409, "unknown"), "{open:?}");
    services.set_faults(&json!({}));
    let open = services.call(1, "open", true);
    assert_eq!(
        (open.status, &*open.run, services.call_count("open")),
        (409, "unknown", 1),
        "{open:?}"
    );

    // The first entry is lost before its attempt reaches the agent.
    let known: Vec<usize> = services.relays.iter().map(Relay::source_ports).collect();
    services.fleet.start_entry(0);
    services.fleet.await_endpoints(0, 2);
    let mut warm = 0;
    services.fleet.wait_until("entry 0 has connections", || {
        warm += 1;
        services.call(0, &format!("warm-{warm}"), false);
        services.relays.iter().zip(&known).all(|(relay, known)| relay.source_ports() > *known)
    });
    for (relay, known) in services.relays.iter().zip(&known) {
        relay.set_filter_from(*known, Filter::DropToServer);
    }
    let lost = services.start_call(0, "never", true);
    std::thread::sleep(Duration::from_millis(400));
    services.fleet.kill("entry-0");
    assert!(services.runtime.block_on(lost).expect("task").is_err(), "the entry is gone");
    assert_eq!(services.call_count("never"), 0);
    let taken = services.call(1, "never", true);
    services.check("never", &taken);
    assert_eq!((taken.status, services.call_count("never")), (200, 1), "{taken:?}");
    assert!(services.fleet.log("entry-1").contains("claim taken over"), "the claim was taken over");
}

/// Guards against a drain that interrupts running work or admits new work after 1 s, and against
/// repeated drains and resumes that change the state or return no explanation.
#[test]
fn drain_under_load() {
    let runtime = runtime();
    let mut fleet = Fleet::prepare(1);
    fleet.start_state(0);
    (0..2).for_each(|at| fleet.start_agent(at));
    fleet.start_entry(0);
    let engines: Vec<SocketAddr> = (0..2).map(|at| fleet.start_engine(at, &[])).collect();
    fleet.await_endpoints(0, 2);
    fleet.create_workspace();
    let requests = || {
        let stats = runtime.block_on(online::call_endpoint(engines[0], "/stats", None));
        stats["requests"].as_u64().expect("requests")
    };
    let operate = |operation: &str, id: &str| {
        let client = fleet.client(0, workdir::OPERATOR_KEY);
        let body = json!({ "id": id, "target": "agent-0.engine" });
        let answer = workdir::block_on(client.post(&format!("/admin/{operation}"), &body));
        let answer = answer.expect("answer");
        assert!(answer.is_ok(), "{operation} {id}: {}", answer.json());
        let json = answer.json();
        assert!(json["message"].as_str().is_some_and(|m| !m.is_empty()), "explained: {json}");
        json["outcome"].as_str().unwrap_or_default().to_string()
    };
    let load = online::run_load(fleet.url(0), 8, Duration::from_millis(50), 5 * SECOND);
    let load = runtime.spawn(load);
    std::thread::sleep(SECOND);
    assert!(requests() > 0, "the engine takes part in the load");
    assert_eq!(operate("drain", "first"), "accepted");
    std::thread::sleep(SECOND);
    let after = requests();
    assert_eq!(operate("drain", "second"), "unchanged");
    // The same id is answered like the first time.
    assert_eq!(operate("drain", "first"), "accepted");
    std::thread::sleep(SECOND);
    assert_eq!(requests(), after, "no new work 1 s after the drain");
    assert_eq!(operate("resume", "third"), "accepted");
    assert_eq!(operate("resume", "fourth"), "unchanged");
    let calls = runtime.block_on(load).expect("load");
    let bad: Vec<String> = calls.iter().filter_map(|c| c.check().err()).collect();
    assert!(bad.is_empty(), "{bad:#?}");
    assert!(requests() > after, "the engine takes part again");
    assert!(!fleet.log("entry-0").contains("stream resumed elsewhere"), "nothing was cut off");
}

/// Guards against a truncated answer that looks complete when every engine breaks its streams.
#[test]
fn truncated_answers() {
    let mut fleet = Fleet::prepare(1);
    fleet.start_state(0);
    (0..2).for_each(|at| fleet.start_agent(at));
    fleet.start_entry(0);
    (0..2).for_each(|at| {
        fleet.start_engine(at, &["--faults", "{\"break_after\": 5}"]);
    });
    fleet.await_endpoints(0, 2);
    fleet.create_workspace();
    let runtime = runtime();
    let send = |content: &str, stream: bool| {
        let body = online::chat_body(content, 40, stream).to_string();
        let url = fleet.url(0);
        runtime.block_on(online::send(&url, "/v1/chat/completions", &[], body)).expect("answer")
    };
    for at in 0..5 {
        let content = format!("hem {at}");
        let reply = send(&content, true);
        assert_eq!(reply.status, 200, "{reply:?}");
        let (text, done) = online::streamed_text(&reply.body);
        assert!(!done && online::expected_text(&content, 40).starts_with(&text), "{reply:?}");
        assert!(!text.is_empty(), "some text was passed on: {reply:?}");
        let last = reply.body.trim_end().rsplit("\n\n").next().unwrap_or_default();
        assert!(last.starts_with("event: error\ndata: "), "{reply:?}");
        assert!(last.contains("\"run\":\"unknown\""), "{reply:?}");
        let reply = send(&content, false);
        assert_eq!((reply.status, &*reply.run), (502, "unknown"), "{reply:?}");
    }
}

/// Guards against two tests that get the same port, and against ports that an outgoing connection
/// can take before the process of the test binds them.
#[test]
fn ports_taken_twice_or_by_connections() {
    let take = || (0..50).flat_map(|_| [workdir::free_tcp(), workdir::free_udp()]).collect();
    let threads: Vec<_> =
        (0..8).map(|_| std::thread::spawn(move || -> Vec<SocketAddr> { take() })).collect();
    let ports: Vec<u16> =
        threads.into_iter().flat_map(|t| t.join().expect("ports")).map(|a| a.port()).collect();
    let distinct = ports.iter().collect::<HashSet<_>>().len();
    let ephemeral = ports.iter().filter(|p| **p >= FIRST_EPHEMERAL_PORT).count();
    assert_eq!((ports.len(), distinct, ephemeral), (800, 800, 0), "taken, distinct, ephemeral");
}

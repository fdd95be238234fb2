//! Endpoints that say in their answers that they are leaving.

mod fleet_world;

use basilfield::emulator::plain;
use basilfield::fleet::directory;
use basilfield::fleet::node;
use basilfield::fleet::settings;
use basilfield::fleet::slots;
use basilfield::fleet::upstream;
use basilfield::fleet::waiting;
use directory::Directory;
use directory::Phase;
use fleet_world::Role;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::StreamEnd;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Entries and stores are in the failure domains of the endpoints 0 to 2 in turn, and prefer theirs.
const SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 3, endpoints: 3 };
/// Longest time for a job of a few items to finish.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which every host knows what a control host has accepted.
const IN_FORCE_TIME: Duration = Duration::from_millis(2_500);
/// Time within which a request that cannot be served must be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(400);

/// Starts a world and cuts every control host off, so that no host learns from the directory that an
/// endpoint leaves.
async fn start_without_controls() -> World {
    let world = World::start(SIZE).await;
    world.cut_off(&world.hosts_of(Role::Control));
    world
}

fn runs_at(world: &World, at: usize) -> Vec<plain::Run> {
    world.endpoints[at].as_ref().map(plain::PlainEndpoint::runs).unwrap_or_default()
}

fn set_faults(world: &World, at: usize, faults: plain::FaultRates) {
    world.endpoint(at).set_faults(faults);
}

fn leave(world: &World, at: usize) {
    world.endpoint(at).leave();
}

/// Submits a job of a dozen items and waits until it has finished.
async fn run_job(world: &World, job: &str) {
    let entries = world.caller_addresses();
    assert!(client::submit(&entries, job, 12).await, "{job}\n{}", world.logs());
    let finished = client::finish(&entries, job, 12, &mut Vec::new(), JOB_TIMEOUT).await;
    assert_eq!(finished, Ok(()), "{}", world.logs());
}

/// Sends requests through an entry until an endpoint that is leaving has answered one.
async fn learn(world: &World, entry: SocketAddr, at: usize) {
    let begun = Instant::now();
    for n in 0.. {
        if runs_at(world, at).iter().any(|r| r.leaving) {
            return;
        }
        let id = format!("learn-{at}-{n}");
        let ended = client::stream(entry, fleet_world::STREAM_PREFIX, &id).await;
        assert_eq!(ended, StreamEnd::Complete, "{}", world.logs());
        assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
    }
}

/// Sends `count` streams through an entry, one after the other. Returns their ends without repeats.
async fn stream_ends(entry: SocketAddr, prefix: &str, name: &str, count: usize) -> String {
    let mut ends = Vec::new();
    for n in 0..count {
        let ended = client::stream(entry, prefix, &format!("{name}-{n}")).await;
        ends.push(format!("{ended:?}"));
    }
    ends.dedup();
    ends.join(" ")
}

/// Guards against new requests to an endpoint that says in its answers that it is leaving, while the
/// directory still says that it is ready: plain calls, streams, streams that must not be repeated,
/// and calls on connections that callers and entries keep.
#[test]
fn leaving_endpoint_gets_no_new_request() {
    fleet_world::run(async {
        let world = start_without_controls().await;
        let entry = world.entry();
        leave(&world, 0);
        learn(&world, entry, 0).await;
        let before = runs_at(&world, 0).len();
        let mut seen = Vec::new();
        for (name, prefix) in
            [("stream", fleet_world::STREAM_PREFIX), ("once", fleet_world::ONCE_PREFIX)]
        {
            seen.push(format!("{name} {}", stream_ends(entry, prefix, name, 8).await));
        }
        let connections = upstream::Upstream::default();
        let mut ends = Vec::new();
        for n in 0..8 {
            let (prefix, id) = (fleet_world::PLAIN_PREFIX, format!("kept-{n}"));
            ends.push(client::stream_on(&connections, entry, prefix, &id).await);
        }
        ends.dedup();
        seen.push(format!("plain {ends:?}"));
        let later = runs_at(&world, 0).split_off(before);
        assert!(later.is_empty(), "{later:?}\n{}", world.logs());
        insta::assert_snapshot!(seen.join("\n"), @r"
        stream Complete
        once Complete
        plain [Complete]
        ");
    });
}

/// Guards against a broken stream that is resumed at an endpoint that is leaving.
#[test]
fn broken_stream_is_resumed_elsewhere() {
    fleet_world::run(async {
        let world = start_without_controls().await;
        let entry = world.entry();
        leave(&world, 0);
        learn(&world, entry, 0).await;
        let before = runs_at(&world, 0).len();
        set_faults(&world, 1, plain::FaultRates { cut_rate: 1.0, ..Default::default() });
        let mut ends = Vec::new();
        for n in 0..12 {
            let id = format!("broken-{n}");
            ends.push(client::stream(entry, fleet_world::STREAM_PREFIX, &id).await);
        }
        let resumed = runs_at(&world, 2).iter().filter(|r| r.last_event > 0).count();
        let later = runs_at(&world, 0).split_off(before);
        assert!(later.is_empty(), "{later:?}\n{}", world.logs());
        assert!(resumed > 0 && ends.iter().all(|e| *e == StreamEnd::Complete), "{ends:?}");
    });
}

/// Guards against items that start at an endpoint that is leaving.
#[test]
fn leaving_endpoint_gets_no_new_item() {
    fleet_world::run(async {
        let world = World::start(SIZE).await;
        // The control hosts place the job group.
        run_job(&world, "first").await;
        world.cut_off(&world.hosts_of(Role::Control));
        for at in 0..3 {
            set_faults(&world, at, plain::FaultRates { slowdown: 3.0, ..Default::default() });
        }
        leave(&world, 0);
        let mut before = None;
        for n in 0..3 {
            run_job(&world, &format!("job-{n}")).await;
            // Items of the first job start at all endpoints at the same moment.
            before.get_or_insert_with(|| runs_at(&world, 0).len());
        }
        let before = before.expect("a job has run");
        let later = runs_at(&world, 0).split_off(before);
        assert!(before > 0 && later.is_empty(), "{before} {later:?}\n{}", world.logs());
    });
}

/// Guards against an endpoint that stays in use because it said only in declined answers that it is
/// leaving.
#[test]
fn declined_answer_tells_of_leaving() {
    fleet_world::run(async {
        let world = start_without_controls().await;
        let entry = world.entry();
        set_faults(&world, 0, plain::FaultRates { decline_rate: 1.0, ..Default::default() });
        leave(&world, 0);
        let first = stream_ends(entry, fleet_world::STREAM_PREFIX, "declined", 6).await;
        set_faults(&world, 0, plain::FaultRates::default());
        let second = stream_ends(entry, fleet_world::STREAM_PREFIX, "later", 6).await;
        let later = runs_at(&world, 0);
        assert!(later.is_empty(), "{later:?}\n{}", world.logs());
        insta::assert_snapshot!(format!("{first} {second}"), @"Complete Complete");
    });
}

/// Guards against a request that waits for its deadline, runs, or is refused without a time to return
/// although every endpoint is known to be leaving, and against logs that do not tell why.
#[test]
fn request_is_refused_while_every_endpoint_leaves() {
    fleet_world::run(async {
        let world = start_without_controls().await;
        let entry = world.entry();
        for at in 0..3 {
            leave(&world, at);
        }
        for at in 0..3 {
            learn(&world, entry, at).await;
        }
        let begun = Instant::now();
        let refusal = client::refusal(entry, fleet_world::ONCE_PREFIX, "refused").await;
        let is_late = begun.elapsed() > REFUSAL_TIME;
        let ran = world.all_runs().iter().any(|r| &*r.request_id == "refused");
        let explanation = world.explain("refused", |text| text.contains("request refused")).await;
        let has = |text: &str| explanation.contains(text);
        let told = explanation.lines().filter(|l| l.contains("~entry-1 [614]")).count();
        assert_eq!(
            (refusal, is_late, ran, told, has("reason=every endpoint is leaving")),
            ((503, true), false, false, 3, true),
            "{explanation}"
        );
    });
}

/// Guards against an endpoint that is used again because it still registers as ready with control
/// hosts that have restarted, and against one that is not used after it has started again.
#[test]
fn only_a_new_start_brings_an_endpoint_back() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        let entry = world.entry();
        leave(&world, 0);
        learn(&world, entry, 0).await;
        let before = runs_at(&world, 0).len();
        for at in world.hosts_of(Role::Control) {
            world.kill(at);
            world.start_host(at, false);
        }
        let begun = Instant::now();
        while world.put_config(&world.config(2)).await != 200 {
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        world.send_heartbeats().await;
        tokio::time::sleep(IN_FORCE_TIME).await;
        // The new route shows that the entry hears from the control hosts again.
        let mut seen = vec![stream_ends(entry, "/v2/", "ready", 8).await];
        let later = runs_at(&world, 0).split_off(before);
        assert!(later.is_empty(), "{later:?}\n{}", world.logs());

        world.crash_endpoint(0);
        world.start_endpoint(0).await;
        world.send_heartbeats().await;
        tokio::time::sleep(IN_FORCE_TIME).await;
        seen.push(stream_ends(entry, "/v2/", "again", 8).await);
        assert!(!runs_at(&world, 0).is_empty(), "{}", world.logs());
        insta::assert_snapshot!(seen.join(" "), @"Complete Complete");
    });
}

/// Guards against an endpoint that has deregistered and gets requests or items again after the entries,
/// the control hosts, the store hosts or all of them have restarted.
#[test]
fn deregistered_endpoint_stays_out_across_restarts() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        // It still answers, so that a request to it would be seen. It registers no more.
        let left = world.endpoints[0].take().expect("started");
        let control = world.hosts_of(Role::Control)[0];
        assert_eq!(world.deregister_id(control, left.id()).await, 200);
        tokio::time::sleep(IN_FORCE_TIME).await;
        let before = left.runs().len();
        let role = |role| world.hosts_of(role);
        let (entries, controls, stores) =
            (role(Role::Entry), role(Role::Control), role(Role::Store));
        let all = [&*entries, &*controls, &*stores].concat();
        let restarts =
            [("entries", entries), ("controls", controls), ("stores", stores), ("all", all)];
        let mut seen = Vec::new();
        for (name, hosts) in restarts {
            for at in &hosts {
                world.kill(*at);
            }
            for at in &hosts {
                world.start_host(*at, false);
            }
            world.send_heartbeats_until_ready().await;
            for entry in world.caller_addresses().iter() {
                let id = format!("{name}-{entry}");
                let ends = stream_ends(*entry, fleet_world::STREAM_PREFIX, &id, 8).await;
                assert_eq!(ends, "Complete", "{name}\n{}", world.logs());
            }
            let job = format!("job-{name}");
            let entries = world.caller_addresses();
            assert!(client::submit(&entries, &job, 12).await, "{name}\n{}", world.logs());
            let mut results = Vec::new();
            let finished = client::finish(&entries, &job, 12, &mut results, JOB_TIMEOUT);
            let finished = tokio::select! {
                finished = finished => finished,
                () = keep_registered(&mut world) => unreachable!("the loop has no end"),
            };
            assert_eq!(finished, Ok(()), "{name}\n{}", world.logs());
            seen.push(format!("{name}: {} runs", left.runs().len() - before));
        }
        insta::assert_snapshot!(seen.join(", "),
            @"entries: 0 runs, controls: 0 runs, stores: 0 runs, all: 0 runs");
    });
}

/// Repeats the heartbeats of the endpoints without end.
async fn keep_registered(world: &mut World) {
    loop {
        world.send_heartbeats().await;
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
}

/// Guards against an endpoint that is taken out of use by an answer to another request.
#[test]
fn answer_of_another_request_tells_nothing() {
    fleet_world::run(async {
        let world = start_without_controls().await;
        let entry = world.entry();
        set_faults(&world, 0, plain::FaultRates { mismatch_rate: 1.0, ..Default::default() });
        leave(&world, 0);
        let first = stream_ends(entry, fleet_world::STREAM_PREFIX, "strange", 6).await;
        set_faults(&world, 0, plain::FaultRates::default());
        let before = runs_at(&world, 0).len();
        learn(&world, entry, 0).await;
        let after = runs_at(&world, 0).len();
        assert!(before > 0 && after > before, "{before} {after}\n{}", world.logs());
        insta::assert_snapshot!(first, @"Complete");
    });
}

const NOW: Duration = Duration::from_secs(1);

fn registration(id: &str, start_time: u64, seq: u64, phase: Phase) -> directory::Endpoint {
    directory::Endpoint {
        id: id.into(),
        start_time,
        seq,
        service: "a".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "d".into(),
        build: "v1".into(),
        slots: 8,
        phase,
    }
}

/// Something that a host learns of the endpoint `i`.
#[derive(Clone, Copy, Debug)]
enum Fact {
    Registered(u64, u64, Phase),
    Deregistered(u64),
    Leaving(u64),
    AddressReused,
}

fn learn_fact(d: &mut Directory, fact: Fact) {
    let merge = |d: &mut Directory, endpoint| {
        d.merge(NOW, directory::Records { endpoints: vec![endpoint], hosts: Vec::new() });
    };
    match fact {
        Fact::Registered(start, seq, phase) => merge(d, registration("i", start, seq, phase)),
        Fact::Deregistered(start) => {
            d.deregister_endpoint(NOW, "i", Some(start));
        }
        Fact::Leaving(start) => {
            d.mark_leaving(NOW, "i", start);
        }
        Fact::AddressReused => merge(d, registration("j", 9, 1, Phase::Ready)),
    }
}

/// Every order of the facts.
fn orders(facts: &[Fact]) -> Vec<Vec<Fact>> {
    if facts.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for at in 0..facts.len() {
        let mut rest = facts.to_vec();
        let first = rest.remove(at);
        all.extend(orders(&rest).into_iter().map(|mut order| {
            order.insert(0, first);
            order
        }));
    }
    all
}

/// Guards against an endpoint that is chosen again, or never again, because it is said to be leaving
/// before or after it registers, is silent, drains, has left or starts again.
#[test]
fn state_does_not_depend_on_the_order() {
    use Fact::*;
    let cases: [&[Fact]; 7] = [
        &[Leaving(1), Registered(1, 2, Phase::Ready)],
        &[Leaving(1), Registered(1, 2, Phase::Draining), Registered(1, 3, Phase::Ready)],
        &[Leaving(1), Registered(1, 2, Phase::Silent), Registered(1, 3, Phase::Ready)],
        &[Leaving(1), Deregistered(1), Registered(1, 2, Phase::Ready)],
        &[Leaving(1), Registered(2, 1, Phase::Ready), Registered(1, 3, Phase::Draining)],
        &[Leaving(1), Leaving(2), Registered(1, 2, Phase::Ready)],
        &[Leaving(1), AddressReused, Registered(1, 2, Phase::Ready)],
    ];
    let state = |order: &Vec<Fact>| {
        let mut d = Directory::default();
        learn_fact(&mut d, Registered(1, 1, Phase::Ready));
        for fact in order {
            learn_fact(&mut d, *fact);
        }
        let chosen: Vec<&str> = d.available_endpoints("a").map(|e| &*e.id).collect();
        format!("{:?} chosen {chosen:?}", d.endpoint("i").expect("known").phase)
    };
    let line = |facts: &&[Fact]| {
        let mut states: Vec<String> = orders(facts).iter().map(state).collect();
        states.sort();
        states.dedup();
        format!("{facts:?}: {}", states.join(" | "))
    };
    insta::assert_snapshot!(cases.iter().map(line).collect::<Vec<_>>().join("\n"), @r#"
    [Leaving(1), Registered(1, 2, Ready)]: Leaving chosen []
    [Leaving(1), Registered(1, 2, Draining), Registered(1, 3, Ready)]: Leaving chosen []
    [Leaving(1), Registered(1, 2, Silent), Registered(1, 3, Ready)]: Leaving chosen []
    [Leaving(1), Deregistered(1), Registered(1, 2, Ready)]: Gone chosen []
    [Leaving(1), Registered(2, 1, Ready), Registered(1, 3, Draining)]: Ready chosen ["i"]
    [Leaving(1), Leaving(2), Registered(1, 2, Ready)]: Leaving chosen []
    [Leaving(1), AddressReused, Registered(1, 2, Ready)]: Gone chosen ["j"]
    "#);
}

/// Guards against control hosts that send the directory again and again because only some hosts know
/// that an endpoint is leaving, and against hosts that pass this on.
#[test]
fn mark_is_not_part_of_what_hosts_exchange() {
    let (mut knows, mut other) = (Directory::default(), Directory::default());
    let mut seen = Vec::new();
    learn_fact(&mut knows, Fact::Registered(1, 1, Phase::Ready));
    learn_fact(&mut other, Fact::Registered(1, 1, Phase::Ready));
    learn_fact(&mut knows, Fact::Leaving(1));
    for (seq, phase) in
        [(1, Phase::Ready), (2, Phase::Draining), (3, Phase::Ready), (3, Phase::Silent)]
    {
        for d in [&mut knows, &mut other] {
            learn_fact(d, Fact::Registered(1, seq, phase));
        }
        let same = (knows.digest() == other.digest(), knows.records() == other.records());
        seen.push(format!("{phase:?} {same:?} {:?}", knows.endpoint("i").map(|e| e.phase)));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    Ready (true, true) Some(Leaving)
    Draining (true, true) Some(Leaving)
    Ready (true, true) Some(Leaving)
    Silent (true, true) Some(Leaving)
    ");
}

/// Guards against a mark without an end in the log, and against one that stays after the record of an
/// endpoint that is gone has expired.
#[test]
fn end_of_a_mark_is_told_once() {
    let end = |facts: &[Fact], later: Duration| {
        let mut d = Directory::default();
        learn_fact(&mut d, Fact::Registered(1, 1, Phase::Ready));
        let ages = [d.mark_leaving(NOW * 3, "i", 1), d.mark_leaving(NOW * 4, "i", 1)];
        for fact in facts {
            learn_fact(&mut d, *fact);
        }
        d.remove_expired(later);
        let ended = d.take_ended_marks();
        let again = d.take_ended_marks().len();
        format!("{ages:?} {:?} {again}", ended.iter().map(|e| e.cause).collect::<Vec<_>>())
    };
    let silent = [Fact::Registered(1, 1, Phase::Silent)];
    let seen = [
        end(&[Fact::Registered(1, 2, Phase::Draining)], NOW),
        end(&[Fact::Registered(2, 1, Phase::Ready)], NOW),
        end(&[Fact::Deregistered(1), Fact::Deregistered(1)], NOW),
        end(&[Fact::AddressReused], NOW),
        end(&silent, NOW),
        end(&silent, NOW * 90),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r#"
    [Some(2s), None] [] 0
    [Some(2s), None] ["it started again"] 0
    [Some(2s), None] ["it has left"] 0
    [Some(2s), None] ["it has left"] 0
    [Some(2s), None] [] 0
    [Some(2s), None] ["its record has expired"] 0
    "#);
}

/// Guards against an answer that takes an endpoint out of use although it has another value, repeats
/// the header, or belongs to another request or endpoint.
#[test]
fn unusable_statements_tell_nothing() {
    let names = fleet_world::protocol_headers();
    let notice = |status: u16, fields: &[(&str, &str)]| {
        let mut response = hyper::Response::builder().status(status);
        for (name, value) in fields {
            response = response.header(*name, *value);
        }
        let (head, ()) = response.body(()).expect("valid head").into_parts();
        format!("{status} {fields:?}: {:?}", upstream::leaving_notice(&names, &head, "r1"))
    };
    const ECHO: (&str, &str) = ("x-basilfield-request-id", "r1");
    const OTHER: (&str, &str) = ("x-basilfield-request-id", "r2");
    const LEAVING: (&str, &str) = ("server-leaving", "1");
    let seen = [
        notice(200, &[ECHO]),
        notice(200, &[ECHO, LEAVING]),
        notice(500, &[ECHO, LEAVING]),
        notice(503, &[ECHO, ("x-basilfield-not-executed", "1"), LEAVING]),
        notice(421, &[ECHO, LEAVING]),
        notice(200, &[OTHER, LEAVING]),
        notice(200, &[ECHO, OTHER, LEAVING]),
        notice(503, &[LEAVING]),
        notice(200, &[ECHO, LEAVING, LEAVING]),
        notice(200, &[ECHO, ("server-leaving", "0")]),
        notice(200, &[ECHO, ("server-leaving", "1, 1")]),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r#"
    200 [("x-basilfield-request-id", "r1")]: Absent
    200 [("x-basilfield-request-id", "r1"), ("server-leaving", "1")]: Leaving
    500 [("x-basilfield-request-id", "r1"), ("server-leaving", "1")]: Leaving
    503 [("x-basilfield-request-id", "r1"), ("x-basilfield-not-executed", "1"), ("server-leaving", "1")]: Leaving
    421 [("x-basilfield-request-id", "r1"), ("server-leaving", "1")]: Unusable("the answer is from another endpoint")
    200 [("x-basilfield-request-id", "r2"), ("server-leaving", "1")]: Unusable("the answer does not name the request")
    200 [("x-basilfield-request-id", "r1"), ("x-basilfield-request-id", "r2"), ("server-leaving", "1")]: Unusable("the answer does not name the request")
    503 [("server-leaving", "1")]: Unusable("the answer does not name the request")
    200 [("x-basilfield-request-id", "r1"), ("server-leaving", "1"), ("server-leaving", "1")]: Unusable("the header is repeated")
    200 [("x-basilfield-request-id", "r1"), ("server-leaving", "0")]: Unusable("the header has another value")
    200 [("x-basilfield-request-id", "r1"), ("server-leaving", "1, 1")]: Unusable("the header has another value")
    "#);
}

/// Guards against a log line for every unusable statement of an endpoint, and against one for bytes of
/// an unknown sender.
#[test]
fn unusable_statements_are_reported_once_a_minute() {
    let mut d = Directory::default();
    learn_fact(&mut d, Fact::Registered(1, 1, Phase::Ready));
    let mut taken = Vec::new();
    for second in 0..130 {
        learn_fact(&mut d, Fact::Registered(1, second + 2, Phase::Ready));
        if d.try_take_report(Duration::from_secs(second), "i") {
            taken.push(second);
        }
    }
    insta::assert_snapshot!(format!("{taken:?} {}", d.try_take_report(NOW, "j")), @"[0, 60, 120] false");
}

/// Host in this process that knows one endpoint, `i` on `port`.
fn node(port: u16) -> node::Node {
    let settings = settings::parse(
        "[host]\nname = \"e\"\nrole = \"entry\"\ndomain = \"d\"\naddress = \"127.0.0.1\"\n\
         [listen]\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n\
         [fleet]\nport = 7720\nseeds = [\"127.0.0.1:3\"]\nbootstrap = false\n",
    );
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let protocol = std::sync::Arc::new(fleet_world::platform::Platform::default());
    let node = node::Node::new(settings.expect("valid"), "e.toml".into(), protocol, &log);
    let endpoint = directory::Endpoint {
        address: ([127, 0, 0, 1], port).into(),
        ..registration("i", 1, 1, Phase::Ready)
    };
    node.view.directory(|d| d.register_endpoint(NOW, endpoint));
    node
}

/// Guards against a request that waits for a slot until its time is over although the endpoint whose
/// slot it waits for is leaving, and against a slot of that endpoint that is handed on.
#[test]
fn waiting_request_gets_no_slot_of_a_leaving_endpoint() {
    fleet_world::run(async {
        let (service, id) = ("a".into(), "i".into());
        let node = node(80);
        // The end of a first request tells how long a wait takes.
        drop(node.count_request(&service, &id));
        let running = node.count_request(&service, &id);
        let limit = Duration::from_secs(20);
        let waiting = tokio::spawn({
            let (node, service) = (node.clone(), service.clone());
            async move {
                let begun = Instant::now();
                let slot = node.wait_for_slot(&service, limit, &Default::default()).await;
                (slot.is_ok(), begun.elapsed() < limit / 2)
            }
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!waiting.is_finished(), "it waits");
        node.handle_leaving_notice("i", 1, upstream::LeavingNotice::Leaving, "r1");
        let dismissed = waiting.await.expect("task");
        let claim = Default::default();
        let waiting = node.wait_for_slot(&service, Duration::from_millis(200), &claim);
        let (handed_on, ()) = tokio::join!(waiting, async { drop(running) });
        insta::assert_snapshot!(format!("{dismissed:?} {}", handed_on.is_ok()), @"(false, true) false");
    });
}

/// Guards against a request that waits until its time is over although a more urgent one went first and
/// takes the only slot that is released in time.
#[test]
fn displaced_request_learns_at_once() {
    fleet_world::run(async {
        let (service, id) = ("a".into(), "i".into());
        let node = node(80);
        // The end of a first request tells that a slot is released every second.
        let first = node.count_request(&service, &id);
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(first);
        let running = node.count_request(&service, &id);
        let limit = Duration::from_millis(1_500);
        let claim = |priority| waiting::Claim {
            rank: waiting::Rank { workspace: priority, route: 0 },
            workspace: Some(format!("w{priority}").into()),
        };
        let wait = |priority| {
            let (node, service, claim) = (node.clone(), service.clone(), claim(priority));
            tokio::spawn(async move {
                let begun = Instant::now();
                let slot = node.wait_for_slot(&service, limit, &claim).await;
                (slot.err(), begun.elapsed() < limit / 2)
            })
        };
        let less = wait(1);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!less.is_finished(), "it waits");
        let urgent = wait(0);
        let displaced = less.await.expect("task");
        drop(running);
        let served = urgent.await.expect("task");
        insta::assert_snapshot!(format!("{displaced:?} {served:?}"), @"(Some(Displaced), true) (None, true)");
    });
}

/// Guards against a late request that takes a slot for which a request in time waits, or that waits on
/// when its service has no endpoint any more.
#[test]
fn late_request_waits_behind_those_in_time() {
    fleet_world::run(async {
        let (service, id): (Arc<str>, Arc<str>) = ("a".into(), "i".into());
        let node = node(80);
        // The end of a first request tells that a slot is released every 20 ms.
        let first = node.count_request(&service, &id);
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(first);
        let running = node.count_request(&service, &id);
        let claim = waiting::Claim { workspace: Some("w".into()), ..Default::default() };
        let is_free = Arc::new(AtomicBool::new(true));
        let wait_late = || {
            let (node, service, claim) = (node.clone(), service.clone(), claim.clone());
            let is_free = is_free.clone();
            let limit = Duration::from_secs(20);
            let patience = slots::Patience { limit, running: 1, grant: None };
            tokio::spawn(async move {
                let find = || {
                    let found = node.candidates(&service).into_iter().next();
                    found.filter(|_| is_free.load(Ordering::Relaxed))
                };
                let slots = &node.slots;
                slots.wait_late(&node, &service, patience, &claim, find).await
            })
        };
        let in_time = tokio::spawn({
            let (node, service, claim) = (node.clone(), service.clone(), claim.clone());
            let limit = Duration::from_secs(20);
            async move { node.wait_for_slot(&service, limit, &claim).await.is_ok() }
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
        let late = wait_late();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut seen = vec![format!("while another waits {}", late.is_finished())];
        drop(running);
        seen.push(format!("the other {}", in_time.await.expect("task")));
        seen.push(format!("after it {}", late.await.expect("task").is_ok()));
        is_free.store(false, Ordering::Relaxed);
        let dismissed = wait_late();
        tokio::time::sleep(Duration::from_millis(200)).await;
        seen.push(format!("none free {}", dismissed.is_finished()));
        node.handle_leaving_notice("i", 1, upstream::LeavingNotice::Leaving, "r1");
        seen.push(format!("dismissed {:?}", dismissed.await.expect("task").err()));
        insta::assert_snapshot!(seen.join("\n"), @r"
        while another waits false
        the other true
        after it true
        none free false
        dismissed Some(Ended)
        ");
    });
}

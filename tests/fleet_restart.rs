//! Tests of the loss of power at all hosts, with processes over loopback.

mod fleet_world;

use basilfield::fleet::starting;
use fleet_world::Role;
use fleet_world::STREAM_PREFIX;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::StreamEnd;
use fleet_world::proxy;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinHandle;

const SIZE: Size = Size { controls: 5, losses: 2, stores: 0, entries: 3, endpoints: 5 };
/// Path of a request that crashes each endpoint which begins to run it.
const BAD: &str = "bad";
/// Text of the log line of an entry that knows enough from the disks of the control hosts.
const KNOWN: &str = "quarantined causes known from disks";
const IN_FORCE: &str = "configuration in force";
/// Longest time from the configuration of an entry to the end of its first answer.
const MAX_FIRST_ANSWER: Duration = Duration::from_millis(300);
/// Time after which an entry sends requests although nobody has confirmed the quarantined causes.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(3_500);

async fn send(world: &World, entry: usize, id: &str, path: &str) -> StreamEnd {
    let mut caller = client::Attempt::new(STREAM_PREFIX, id);
    caller.content = Some(path.to_string());
    caller.run(world.caller_address(entry), u64::MAX).await
}

fn bad_runs(world: &World) -> usize {
    world.all_runs().iter().filter(|r| r.request_id.starts_with(BAD)).count()
}

/// Occurrences of a text in the log of a host.
fn count(world: &World, at: usize, text: &str) -> usize {
    let log = std::fs::read_to_string(world.log_file(at)).unwrap_or_default();
    log.matches(text).count()
}

/// Waits until the log of an entry that has started again says that its configuration is in force.
/// Returns the time since `begun`.
async fn await_configuration(log: PathBuf, begun: Instant) -> Duration {
    let is_in_force = || {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        text.matches(IN_FORCE).count() > 1
    };
    assert!(fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, is_in_force).await);
    begun.elapsed()
}

/// Sends sound requests to an entry until one is answered. Returns the time since `begun`.
async fn await_answer(to: SocketAddr, entry: usize, begun: Instant) -> Duration {
    for sent in 0.. {
        let ended = client::stream(to, STREAM_PREFIX, &format!("sound_{entry}_{sent}")).await;
        if ended == StreamEnd::Complete {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    begun.elapsed()
}

/// Cuts the links between the control hosts, or restores them.
fn cut_controls(world: &World, cut: bool) {
    let faults = proxy::LinkFaults { drop_inbound: cut, drop_outbound: cut, ..Default::default() };
    let controls = world.hosts_of(Role::Control);
    for (a, b) in controls.iter().flat_map(|a| controls.iter().map(move |b| (*a, *b))) {
        if a != b {
            world.hosts[a].proxy.set_faults(&world.link(b), faults);
        }
    }
}

/// Crashes endpoints with the bad request until it is quarantined, and replaces them.
async fn quarantine_request(world: &mut World) {
    for at in 0..world.endpoints.len() {
        let path = format!("{STREAM_PREFIX}{BAD}").into();
        world.endpoint(at).set_fatal_paths(vec![path]);
    }
    let entries = world.hosts_of(Role::Entry);
    let begun = Instant::now();
    let are_told = |world: &World| {
        entries.iter().all(|at| count(world, *at, "cause of crashes quarantined") > 0)
    };
    let mut sent = 0;
    while !are_told(world) {
        assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "quarantined\n{}", world.logs());
        let entry = entries[sent % entries.len()];
        sent += 1;
        send(world, entry, &format!("{BAD}_{sent}"), BAD).await;
        for at in 0..world.endpoints.len() {
            if world.endpoint(at).has_crashed() {
                world.crash_endpoint(at);
                world.start_endpoint(at).await;
                let path = format!("{STREAM_PREFIX}{BAD}").into();
                world.endpoint(at).set_fatal_paths(vec![path]);
            }
        }
        world.send_heartbeats().await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Guards against entries that refuse requests after a loss of power until a leader is elected,
/// although the disks of the control hosts show what is quarantined, and against quarantined requests
/// that are sent meanwhile. The control hosts do not reach each other, so that none can lead.
#[test]
fn entries_answer_before_a_leader_is_elected() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        quarantine_request(&mut world).await;
        // An endpoint that leaves before the loss of power.
        let left = world.endpoint(0).id().clone();
        assert_eq!(world.deregister(0, 0).await, 200);
        let gone = world.endpoints[0].take();
        let (before, entries) = (bad_runs(&world), world.hosts_of(Role::Entry));
        (0..world.hosts.len()).for_each(|at| world.kill(at));
        cut_controls(&world, true);
        let begun = Instant::now();
        (0..world.hosts.len()).for_each(|at| world.start_host(at, false));
        let configured: Vec<_> = entries
            .iter()
            .map(|at| tokio::spawn(await_configuration(world.log_file(*at), begun)))
            .collect();
        let answered: Vec<_> = entries
            .iter()
            .map(|at| tokio::spawn(await_answer(world.caller_address(*at), *at, begun)))
            .collect();
        let mut sent = 0;
        while !answered.iter().all(JoinHandle::is_finished) {
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "answers\n{}", world.logs());
            world.send_heartbeats().await;
            for at in &entries {
                sent += 1;
                send(&world, *at, &format!("{BAD}_{sent}"), BAD).await;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for (configured, answered) in configured.into_iter().zip(answered) {
            let configured = configured.await.expect("configuration");
            let answered = answered.await.expect("answer");
            println!("configuration after {configured:?}, first answer after {answered:?}");
            assert!(answered < configured + MAX_FIRST_ANSWER, "{}", world.logs());
        }
        let known: Vec<usize> = entries.iter().map(|at| count(&world, *at, KNOWN)).collect();
        assert_eq!(known, vec![1; entries.len()], "known from disks\n{}", world.logs());
        tokio::time::sleep(UNCONFIRMED_TIME).await;
        for (n, at) in entries.iter().enumerate() {
            send(&world, *at, &format!("{BAD}_late_{n}"), BAD).await;
        }
        cut_controls(&world, false);
        world.send_heartbeats_until_ready().await;
        for (n, at) in entries.iter().enumerate() {
            send(&world, *at, &format!("{BAD}_after_{n}"), BAD).await;
        }
        assert_eq!(bad_runs(&world), before, "{}", world.logs());
        let gone = gone.expect("was started");
        let late = gone.runs().iter().filter(|r| r.started.into_std() > begun).count();
        assert_eq!(late, 0, "{left} was used after it had left\n{}", world.logs());
    });
}

/// Time until which a request waits for a restarted entry to serve.
const MAX_START_WAIT: Duration = Duration::from_millis(750);

/// Guards against a restarted entry that learns late of endpoints which registered before it announced
/// itself: the control hosts tell it of later registrations only.
#[test]
fn endpoints_that_registered_before_are_known_at_once() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        let entries = world.hosts_of(Role::Entry);
        (0..world.hosts.len()).for_each(|at| world.kill(at));
        for at in world.hosts_of(Role::Control) {
            world.start_host(at, false);
        }
        let begun = Instant::now();
        for control in world.hosts_of(Role::Control) {
            for at in 0..world.endpoints.len() {
                while world.send_heartbeat(control, at, "ready").await != 200 {
                    assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        let mut times = Vec::new();
        for at in entries {
            let begun = Instant::now();
            world.start_host(at, false);
            let configured = tokio::spawn(await_configuration(world.log_file(at), begun));
            let answered = await_answer(world.caller_address(at), at, begun).await;
            let configured = configured.await.expect("configuration");
            times.push((configured, answered));
        }
        println!("configuration, and first answer: {times:?}");
        for (configured, answered) in times {
            assert!(answered < configured + MAX_FIRST_ANSWER, "{}", world.logs());
        }
    });
}

/// Guards against a request that arrives while an entry starts and is refused, although the entry serves
/// a moment later.
#[test]
fn request_waits_for_the_start_of_an_entry() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        let at = world.hosts_of(Role::Entry)[0];
        let to = world.caller_address(at);
        world.kill(at);
        world.start_host(at, false);
        // The listener is open before the configuration arrives.
        while tokio::net::TcpStream::connect(to).await.is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let begun = Instant::now();
        let ended = client::stream(to, STREAM_PREFIX, "early").await;
        println!("{ended:?} after {:?}", begun.elapsed());
        assert_eq!(ended, StreamEnd::Complete, "{}", world.logs());
    });
}

/// Guards against a request that waits for an entry without a configuration for longer than is of use
/// to its caller, and against a refusal after which the caller returns before the entry can serve.
#[test]
fn entry_without_control_hosts_refuses_after_a_while() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        let at = world.hosts_of(Role::Entry)[0];
        let to = world.caller_address(at);
        (0..world.hosts.len()).for_each(|at| world.kill(at));
        let begun = Instant::now();
        world.start_host(at, false);
        while tokio::net::TcpStream::connect(to).await.is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let headers = [("x-basilfield-request-id", "early"), ("x-basilfield-deadline-ms", "5000")];
        let path = format!("{STREAM_PREFIX}early");
        let (status, body) = client::call(to, "POST", &path, &headers, "ask".into()).await;
        let text = String::from_utf8_lossy(&body).into_owned();
        assert!(status == 503 && text.contains(starting::NO_CONFIG), "{status} {text}");
        let waited = begun.elapsed();
        println!("refused after {waited:?}");
        // The process needs some time to start.
        assert!(waited < MAX_START_WAIT + MAX_FIRST_ANSWER, "{waited:?}");
        assert!(waited >= MAX_START_WAIT, "{waited:?}");
    });
}

/// Guards against an entry that serves before it knows all that it needs, and against callers that
/// return all at once or before the entry is expected to serve.
#[test]
fn reasons_and_returns_at_the_start() {
    let mut lines = Vec::new();
    for n in 0..8 {
        let (configured, causes, confirmed) = (n & 4 != 0, n & 2 != 0, n & 1 != 0);
        let knowledge = starting::Knowledge { configured, causes, confirmed };
        let blocker = starting::blocker(knowledge).unwrap_or("serves");
        lines.push(format!("{configured} {causes} {confirmed}: {blocker}"));
    }
    for now in [0, 750, 1_100, 5_000] {
        let pause = |random| starting::retry_after(Duration::from_millis(now), random);
        lines.push(format!("refused at {now} ms: {:?} to {:?}", pause(0.0), pause(1.0)));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    false false false: no configuration is known yet
    false false true: no configuration is known yet
    false true false: no configuration is known yet
    false true true: no configuration is known yet
    true false false: the quarantined parts of prompts are not known yet
    true false true: the quarantined parts of prompts are not known yet
    true true false: the keys of callers are not confirmed yet
    true true true: serves
    refused at 0 ms: 1.2s to 1.7s
    refused at 750 ms: 450ms to 950ms
    refused at 1100 ms: 250ms to 750ms
    refused at 5000 ms: 250ms to 750ms
    ");
}

/// Guards against requests that wait for an entry to start and fill its memory.
#[test]
fn requests_at_the_start_are_bounded() {
    let hold_all = |bytes: usize| {
        let held = starting::held::Held::default();
        let guards: Vec<_> = (0..2_000).map_while(|_| held.hold(bytes)).collect();
        let count = guards.len();
        drop(guards);
        (count, held.hold(bytes).is_some())
    };
    let seen = [hold_all(300), hold_all(64 << 10), hold_all(5 << 20)];
    assert_eq!(seen, [(512, true), (64, true), (0, false)]);
}

/// Time after which a control host on a full disk has opened its folder and acknowledged a build that
/// is stored there, from the moment when the disk has space again: it tries every 200 ms.
const MAX_OPEN_TIME: Duration = Duration::from_millis(500);

/// Guards against a registration that waits for its turn behind one of another build, which is not
/// committed without a leader, although its own build is on the disk of the control host. The disk is
/// full at first, so that both arrive before the replica has applied what is stored.
#[test]
fn stored_build_does_not_wait_for_another_one() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        let control = world.hosts_of(Role::Control)[0];
        // The commitment of the build is known from later changes.
        for version in 2..4 {
            assert_eq!(world.put_config(&world.config(version)).await, 200, "{}", world.logs());
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        (0..world.hosts.len()).for_each(|at| world.kill(at));
        world.start_host(control, false);
        world.fill_disk(control, true);
        let to =
            SocketAddr::from((world.hosts[control].process_address, fleet_world::OPERATOR_PORT));
        while tokio::net::TcpStream::connect(to).await.is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let register = |id: &'static str, build: &str| {
            let body = serde_json::json!({
                "service": fleet_world::SERVICE, "address": "127.0.0.1:9", "zone": "d0",
                "version": build, "slots": 1, "state": "ready", "coldMs": 0, "callSeq": 1,
            });
            let path = format!("/-/instances/{id}");
            tokio::spawn(
                async move { client::call(to, "PUT", &path, &[], body.to_string()).await.0 },
            )
        };
        let other = register("other", "not-stored");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let known = register("known", fleet_world::DEFAULT_BUILD);
        tokio::time::sleep(Duration::from_millis(50)).await;
        world.fill_disk(control, false);
        let freed = Instant::now();
        let status = known.await.expect("task");
        println!("status {status} after {:?}", freed.elapsed());
        other.abort();
        assert!(freed.elapsed() < MAX_OPEN_TIME, "{}", world.logs());
        let is_registered = || count(&world, control, "\"known\"") > 0;
        assert!(fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, is_registered).await);
    });
}

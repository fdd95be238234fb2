//! Tests of streams and items at endpoints of several builds, whose events do not fit together.

mod fleet_world;

use fleet_world::Role;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::Attempt;
use fleet_world::client::StreamEnd;
use fleet_world::proxy;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use tokio::task;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 2, endpoints: 0 };
/// Builds of the endpoints. Each build serves in more than one failure domain.
const BUILDS: [&str; 4] = ["v1", "v1", "v2", "v2"];
/// Builds of the endpoints of items. Each failure domain has an endpoint of the second build.
const ITEM_BUILDS: [&str; 5] = ["v1", "v1", "v2", "v2", "v2"];
/// Slots of an endpoint, so that one endpoint can take all streams or items of a test.
const SLOTS: usize = 24;
/// Factor by which streams are slowed down, to an event each 200 ms.
const SLOWDOWN: f64 = 25.0;
/// Streams that run at a time.
const STREAMS: usize = 12;
/// Items of a job.
const ITEMS: usize = 8;
/// Number of the last event of a stream.
const LAST_EVENT: u64 = fleet_world::ENDPOINT_OPTIONS.1;
/// Time within which slowed streams have brought several events.
const BEGIN_TIME: Duration = Duration::from_millis(1_000);
/// Time within which the output of slowed items is stored.
const STORE_TIME: Duration = Duration::from_millis(2_500);
/// Time within which a change of the directory reaches every host.
const DIRECTORY_TIME: Duration = Duration::from_millis(500);
/// Time within which a host that is in contact has the whole directory.
const WHOLE_DIRECTORY_TIME: Duration = Duration::from_millis(2_500);
/// Longest time for a refusal of what cannot be served.
const REFUSAL_TIME: Duration = Duration::from_millis(1_000);
/// Time within which a host notices that it has lost contact with others.
const LOST_CONTACT_TIME: Duration = Duration::from_millis(2_000);
/// Longest time for a job to finish, including a change of leader.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);
/// Attempts of a caller whose attempts are refused as not run, and the pause between them.
const REFUSED_ATTEMPTS: (usize, Duration) = (4, Duration::from_millis(300));

type Ended = Vec<(Attempt, StreamEnd)>;

fn callers() -> Vec<Attempt> {
    (0..STREAMS).map(|n| Attempt::new(fleet_world::STREAM_PREFIX, &format!("stream-{n}"))).collect()
}

/// Caller that has received some events of a stream that no host knows.
fn unknown_caller() -> Attempt {
    let mut caller = Attempt::new(fleet_world::STREAM_PREFIX, "unknown");
    (caller.last, caller.count) = (3, 1);
    caller
}

/// Starts the next attempt of each caller. An attempt is repeated while it is refused as not run.
fn start(callers: Vec<Attempt>, to: SocketAddr, until: u64) -> task::JoinSet<(Attempt, StreamEnd)> {
    let mut tasks = task::JoinSet::new();
    for mut caller in callers {
        tasks.spawn(async move {
            let mut ended = caller.run(to, until).await;
            for _ in 1..REFUSED_ATTEMPTS.0 {
                if ended != StreamEnd::NotRun {
                    break;
                }
                tokio::time::sleep(REFUSED_ATTEMPTS.1).await;
                ended = caller.run(to, until).await;
            }
            (caller, ended)
        });
    }
    tasks
}

/// Starts new streams at an entry whose callers break their connections after event `until`, and
/// waits until each has done so.
async fn begin(world: &World, to: SocketAddr, until: u64) -> Vec<Attempt> {
    let ended = start(callers(), to, until).join_all().await;
    broken(world, ended)
}

/// Callers whose streams broke after some events, which all must have done.
fn broken(world: &World, ended: Ended) -> Vec<Attempt> {
    let all = ended.iter().all(|(c, e)| c.last > 0 && *e == StreamEnd::Disconnected);
    assert!(all, "streams break after some events: {ended:?}\n{}", world.logs());
    ended.into_iter().map(|(caller, _)| caller).collect()
}

/// Checks that at least `least` streams are complete, and that no run went on with the events of
/// another build.
fn assert_go_on(world: &World, ended: &Ended, least: usize) {
    let whole = ended.iter().filter(|(_, e)| *e == StreamEnd::Complete).count();
    let ends: Vec<&StreamEnd> = ended.iter().map(|(_, e)| e).collect();
    assert_eq!(world.mixed_builds(), [], "{ends:?}\n{}", world.logs());
    let wrong = ended.iter().any(|(_, e)| matches!(e, StreamEnd::Wrong(_) | StreamEnd::Status(_)));
    assert!(whole >= least && !wrong, "{whole} of {least}: {ends:?}\n{}", world.logs());
}

/// Build at which a stream began.
fn first_build(world: &World, stream: &str) -> String {
    world.runs_of(stream).first().expect("it ran").build.to_string()
}

/// Guards against an answer that goes on at an endpoint of another build when its endpoint is lost.
#[test]
fn answer_goes_on_at_its_build_after_a_lost_endpoint() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        world.slow_down(None, SLOWDOWN);
        let entries = world.caller_addresses();
        let streams = start(callers(), entries[0], LAST_EVENT);
        tokio::time::sleep(BEGIN_TIME).await;
        world.crash_endpoint(0);
        let ended = streams.join_all().await;
        assert_go_on(&world, &ended, STREAMS);
        assert!(world.all_runs().iter().any(|r| r.last_event > 0), "some streams were resumed");
    });
}

/// Guards against an answer that goes on at another build when no endpoint of its own is left.
#[test]
fn answer_breaks_when_its_build_is_gone() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        world.slow_down(None, SLOWDOWN);
        let entries = world.caller_addresses();
        let streams = start(callers(), entries[0], LAST_EVENT);
        tokio::time::sleep(BEGIN_TIME).await;
        world.remove_build("v1").await;
        for (caller, ended) in streams.join_all().await {
            let expected = match &*first_build(&world, &caller.stream) {
                "v1" => StreamEnd::Disconnected,
                _ => StreamEnd::Complete,
            };
            assert_eq!(ended, expected, "{}\n{}", caller.stream, world.logs());
        }
        assert_eq!(world.mixed_builds(), []);
    });
}

/// Guards against streams that go on at another build, or not at all, after their entry is lost.
#[test]
fn streams_of_a_lost_entry_go_on_at_their_build() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        world.slow_down(None, SLOWDOWN);
        let entries = world.caller_addresses();
        let streams = start(callers(), entries[0], LAST_EVENT);
        tokio::time::sleep(BEGIN_TIME).await;
        world.kill(world.hosts_of(Role::Entry)[0]);
        let callers = broken(&world, streams.join_all().await);
        let ended = start(callers, entries[1], LAST_EVENT).join_all().await;
        assert_go_on(&world, &ended, STREAMS * 3 / 4);
    });
}

/// Guards against streams that go on at another build, or not at all, after their entry and a
/// control host are lost at the same moment.
#[test]
fn streams_of_a_lost_entry_and_control_host_go_on_at_their_build() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        world.slow_down(None, SLOWDOWN);
        let entries = world.caller_addresses();
        let streams = start(callers(), entries[0], LAST_EVENT);
        tokio::time::sleep(BEGIN_TIME).await;
        world.kill(world.hosts_of(Role::Control)[0]);
        world.kill(world.hosts_of(Role::Entry)[0]);
        let callers = broken(&world, streams.join_all().await);
        let ended = start(callers, entries[1], LAST_EVENT).join_all().await;
        assert_go_on(&world, &ended, STREAMS * 3 / 4);
    });
}

/// Guards against an entry that forgets the builds of its streams when the control hosts restart.
#[test]
fn restart_of_control_hosts_keeps_builds_of_streams() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        world.slow_down(None, SLOWDOWN);
        let entries = world.caller_addresses();
        let streams = start(callers(), entries[0], LAST_EVENT / 2);
        tokio::time::sleep(BEGIN_TIME).await;
        for at in world.hosts_of(Role::Control) {
            world.kill(at);
        }
        for at in world.hosts_of(Role::Control) {
            world.start_host(at, false);
        }
        let callers = broken(&world, streams.join_all().await);
        world.send_heartbeats_until_ready().await;
        let ended = start(callers, entries[0], LAST_EVENT).join_all().await;
        assert_go_on(&world, &ended, STREAMS);
    });
}

/// Waits until an entry is in contact with the control hosts: it then answers 404 for a route that
/// does not exist. Before that it may lack endpoints of other builds.
async fn wait_for_contact(world: &World, entry: SocketAddr) {
    let begun = Instant::now();
    while client::call(entry, "POST", "/none/", &[], String::new()).await.0 != 404 {
        assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Asserts that an entry goes on with a stream that no host knows, at the latest when it has the whole
/// directory.
async fn assert_unknown_stream_goes_on(world: &World, entry: SocketAddr) {
    let begun = Instant::now();
    let ended = loop {
        let ended = unknown_caller().run(entry, LAST_EVENT).await;
        if ended != StreamEnd::NotRun || begun.elapsed() > WHOLE_DIRECTORY_TIME {
            break ended;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_eq!(ended, StreamEnd::Complete, "{}", world.logs());
}

/// Guards against a refusal of an unknown stream that any endpoint can go on with.
#[test]
fn unknown_stream_goes_on_while_one_build_serves() {
    fleet_world::run(async {
        let world = World::start_with_builds(SIZE, &["v1", "v1"], SLOTS).await;
        for entry in world.caller_addresses().iter() {
            wait_for_contact(&world, *entry).await;
            assert_unknown_stream_goes_on(&world, *entry).await;
        }
    });
}

/// Asserts that an entry refuses to take up a stream, at once, as not run and with `Retry-After`,
/// and that no endpoint has run it since.
async fn assert_refused(world: &World, entry: SocketAddr, mut caller: Attempt) {
    let before = world.runs_of(&caller.stream).len();
    let begun = Instant::now();
    let ended = caller.run(entry, LAST_EVENT).await;
    let took = begun.elapsed();
    let ran = world.runs_of(&caller.stream).len() - before;
    let seen = (ended, caller.retry.is_some(), ran);
    assert_eq!(seen, (StreamEnd::NotRun, true, 0), "{}\n{}", caller.stream, world.logs());
    assert!(took < REFUSAL_TIME, "refused after {took:?}");
}

/// Guards against an unknown stream that goes on at an endpoint of a build that may be another one.
#[test]
fn unknown_stream_is_refused_while_two_builds_serve() {
    fleet_world::run(async {
        let world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        for entry in world.caller_addresses().iter() {
            assert_refused(&world, *entry, unknown_caller()).await;
        }
    });
}

/// Guards against an entry without control hosts that goes on with a stream at any build.
#[test]
fn entry_out_of_contact_refuses_unknown_streams() {
    fleet_world::run(async {
        let world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        let entries = world.caller_addresses();
        let callers = begin(&world, entries[0], 4).await;
        world.cut_off(&world.hosts_of(Role::Entry)[1..]);
        tokio::time::sleep(LOST_CONTACT_TIME).await;
        for caller in callers {
            assert_refused(&world, entries[1], caller).await;
        }
    });
}

/// Guards against streams that go on at another build at an entry that was cut off while the first
/// endpoints of their build came, before it has found its connections dead and while it knows one build
/// only.
#[test]
fn entry_that_missed_a_new_build_joins_builds() {
    /// Time from one stream that is taken up to the next one.
    const INTERVAL: Duration = Duration::from_millis(200);
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &["v1"; 2], SLOTS).await;
        let entries = world.caller_addresses();
        for entry in entries.iter() {
            wait_for_contact(&world, *entry).await;
            assert_unknown_stream_goes_on(&world, *entry).await;
        }
        for at in 2..4 {
            world.endpoints.push(None);
            world.builds.push("v2".into());
            world.start_endpoint(at).await;
        }
        world.cut_off(&world.hosts_of(Role::Entry)[1..]);
        for at in 2..4 {
            assert_eq!(world.send_heartbeat(0, at, "ready").await, 200, "{}", world.logs());
        }
        world.wait_until_known(world.hosts_of(Role::Entry)[0]).await;
        let mut callers = begin(&world, entries[0], 3).await;
        callers.retain(|c| first_build(&world, &c.stream) == "v2");
        let new = callers.len();
        assert!(new > 0, "streams of the new build\n{}", world.logs());
        let mut tasks = task::JoinSet::new();
        for (n, mut caller) in (0..).zip(callers) {
            let to = entries[1];
            tasks.spawn(async move {
                tokio::time::sleep(INTERVAL * n).await;
                let ended = caller.run(to, LAST_EVENT).await;
                (caller, ended)
            });
        }
        let ended = tasks.join_all().await;
        assert_go_on(&world, &ended, 0);
        for host in &world.hosts {
            host.proxy.clear_faults();
        }
        wait_for_contact(&world, entries[1]).await;
        let callers = ended.into_iter().map(|(caller, _)| caller).collect();
        let ended = start(callers, entries[1], LAST_EVENT).join_all().await;
        assert_go_on(&world, &ended, new);
    });
}

/// Guards against streams that go on at another build after all processes were lost at the same moment:
/// the endpoints of one build have registered again, those of the other have not yet.
#[test]
fn restart_of_all_processes_joins_builds() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        let entries = world.caller_addresses();
        let callers = begin(&world, entries[0], 3).await;
        let old = callers.iter().filter(|c| first_build(&world, &c.stream) == "v1").count();
        assert!(old > 0, "streams of the old build\n{}", world.logs());
        for at in 0..world.hosts.len() {
            world.kill(at);
        }
        for at in 0..world.hosts.len() {
            world.start_host(at, false);
        }
        let begun = Instant::now();
        for endpoint in 2..4 {
            while world.send_heartbeat(0, endpoint, "ready").await != 200 {
                assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        world.wait_until_ready(world.hosts_of(Role::Entry)[0]).await;
        let ended = start(callers, entries[0], LAST_EVENT).join_all().await;
        assert_go_on(&world, &ended, 0);
    });
}

/// Registers endpoints at a control host until it accepts them.
async fn register(world: &mut World, control: usize, endpoints: &[usize]) {
    let begun = Instant::now();
    for at in endpoints {
        while world.send_heartbeat(control, *at, "ready").await != 200 {
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Adds two endpoints of a second build, without registering them.
async fn add_second_build(world: &mut World) {
    for at in 2..4 {
        world.endpoints.push(None);
        world.builds.push("v2".into());
        world.start_endpoint(at).await;
    }
}

/// Time from one attempt that is sent to a stopped host, or to one beside it, to the next one.
const STOPPED_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a process is stopped. Callers wait longer for a connection that is accepted.
const STOPPED_TIME: Duration = Duration::from_millis(2_500);

/// Starts attempts at intervals, from before to after the end of a stop.
fn start_at_intervals(
    callers: Vec<Attempt>,
    to: SocketAddr,
) -> task::JoinSet<(Attempt, StreamEnd)> {
    let mut tasks = task::JoinSet::new();
    for (n, mut caller) in (0..).zip(callers) {
        tasks.spawn(async move {
            tokio::time::sleep(STOPPED_INTERVAL * n).await;
            let ended = caller.run(to, LAST_EVENT).await;
            (caller, ended)
        });
    }
    tasks
}

/// Guards against streams that go on at another build at an entry that stood still while the first
/// endpoints of their build came: it reads its callers' requests, some of which have waited, along with
/// all that it has missed.
#[test]
fn entry_that_stood_still_joins_builds() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &["v1"; 2], SLOTS).await;
        let entries = world.caller_addresses();
        for entry in entries.iter() {
            wait_for_contact(&world, *entry).await;
            assert_unknown_stream_goes_on(&world, *entry).await;
        }
        add_second_build(&mut world).await;
        let stopped = world.hosts_of(Role::Entry)[1];
        world.suspend(stopped);
        let begun = Instant::now();
        register(&mut world, 0, &[2, 3]).await;
        world.wait_until_known(world.hosts_of(Role::Entry)[0]).await;
        let new = (0..3 * STREAMS).map(|n| format!("late-{n}"));
        let new = new.map(|id| Attempt::new(fleet_world::STREAM_PREFIX, &id)).collect();
        let ended = start(new, entries[0], 3).join_all().await;
        let mut callers = broken(&world, ended);
        callers.retain(|c| first_build(&world, &c.stream) == "v2");
        assert!(!callers.is_empty(), "streams of the new build\n{}", world.logs());
        let tasks = start_at_intervals(callers, entries[1]);
        tokio::time::sleep(STOPPED_TIME.saturating_sub(begun.elapsed())).await;
        world.resume(stopped);
        let ended = tasks.join_all().await;
        assert_go_on(&world, &ended, 0);
        let broken = ended.into_iter().filter(|(_, ended)| *ended != StreamEnd::Complete);
        let callers: Vec<Attempt> = broken.map(|(caller, _)| caller).collect();
        let left = callers.len();
        let ended = start(callers, entries[1], LAST_EVENT).join_all().await;
        assert_go_on(&world, &ended, left);
    });
}

/// Guards against a control host that stood still while the first endpoints of a build came, and then
/// tells an entry that reaches no other one that there is one build. Each control host is stopped once,
/// so that the leader is among them.
#[test]
fn control_host_that_stood_still_tells_of_one_build() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for stopped in 0..usize::from(SIZE.controls) {
            let mut world = World::start_with_builds(SIZE, &["v1"; 2], SLOTS).await;
            let entries = world.caller_addresses();
            for entry in entries.iter() {
                wait_for_contact(&world, *entry).await;
                assert_unknown_stream_goes_on(&world, *entry).await;
            }
            add_second_build(&mut world).await;
            let controls = world.hosts_of(Role::Control);
            let entry = world.hosts_of(Role::Entry)[1];
            let cut = proxy::LinkFaults {
                drop_inbound: true,
                drop_outbound: true,
                ..proxy::LinkFaults::default()
            };
            for control in controls.iter().filter(|c| **c != controls[stopped]) {
                world.hosts[*control].proxy.set_faults(&world.link(entry), cut);
                world.hosts[entry].proxy.set_faults(&world.link(*control), cut);
            }
            world.suspend(controls[stopped]);
            let begun = Instant::now();
            let other = controls[(stopped + 1) % controls.len()];
            register(&mut world, other, &[2, 3]).await;
            let callers = (0..3 * STREAMS).map(|n| {
                let mut caller = unknown_caller();
                caller.stream = format!("unknown-{n}");
                caller
            });
            let tasks = start_at_intervals(callers.collect(), entries[1]);
            tokio::time::sleep(STOPPED_TIME.saturating_sub(begun.elapsed())).await;
            world.resume(controls[stopped]);
            for (caller, ended) in tasks.join_all().await {
                if ended != StreamEnd::NotRun || !world.runs_of(&caller.stream).is_empty() {
                    seen.push(format!("{stopped} {}: {ended:?}\n{}", caller.stream, world.logs()));
                }
            }
        }
        assert!(seen.is_empty(), "{seen:?}");
    });
}

/// Guards against streams that hold events of two builds after all processes were killed in the middle of a
/// release, whichever endpoints register first afterwards: many streams are in flight, and in each
/// round another build is the only one that serves at first.
#[test]
fn processes_killed_in_a_release_join_builds() {
    /// Streams in flight at each entry.
    const IN_FLIGHT: usize = 30;
    /// Endpoints that register first in each round, and those that register after the first attempts.
    const ROUNDS: [(&[usize], &[usize]); 3] =
        [(&[2, 3], &[0, 1]), (&[0, 1], &[2, 3]), (&[0], &[1, 2, 3])];
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, 2 * SLOTS).await;
        let entries = world.caller_addresses();
        let mut broke = 0;
        for (round, (first, late)) in ROUNDS.into_iter().enumerate() {
            world.slow_down(None, SLOWDOWN);
            let mut streams = task::JoinSet::new();
            for (at, entry) in entries.iter().enumerate() {
                let ids = (0..IN_FLIGHT).map(|n| format!("stream-{round}-{at}-{n}"));
                let callers = ids.map(|id| Attempt::new(fleet_world::STREAM_PREFIX, &id)).collect();
                let to = *entry;
                streams.spawn(async move { start(callers, to, LAST_EVENT).join_all().await });
            }
            tokio::time::sleep(BEGIN_TIME).await;
            for at in 0..world.hosts.len() {
                world.kill(at);
            }
            if round == ROUNDS.len() - 1 {
                // The release goes on while no host runs: another build starts at an address of the first.
                world.crash_endpoint(0);
                world.builds[0] = "v3".into();
                world.start_endpoint(0).await;
            }
            let mut callers: Vec<Attempt> = Vec::new();
            for (caller, _) in streams.join_all().await.into_iter().flatten() {
                callers.extend((caller.last > 0).then_some(caller));
            }
            broke += callers.len();
            for at in 0..world.hosts.len() {
                world.start_host(at, false);
            }
            register(&mut world, 0, first).await;
            for at in world.hosts_of(Role::Entry) {
                world.wait_until_ready(at).await;
            }
            let half = callers.split_off(callers.len() / 2);
            let (one, two) =
                (start(callers, entries[0], LAST_EVENT), start(half, entries[1], LAST_EVENT));
            tokio::time::sleep(DIRECTORY_TIME).await;
            register(&mut world, 0, late).await;
            let ended: Ended =
                one.join_all().await.into_iter().chain(two.join_all().await).collect();
            assert_go_on(&world, &ended, 0);
            let callers = ended.into_iter().filter(|(_, e)| *e != StreamEnd::Complete);
            let callers = callers.map(|(caller, _)| caller).collect();
            assert_go_on(&world, &start(callers, entries[1], LAST_EVENT).join_all().await, 0);
        }
        let least = ROUNDS.len() * entries.len() * IN_FLIGHT * 2 / 3;
        assert!(broke >= least, "{broke} streams broke, of {least}\n{}", world.logs());
    });
}

/// Guards against a stream that goes on at another build, or waits, when its own build has left.
#[test]
fn stream_of_a_build_that_has_left_is_refused() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        let entries = world.caller_addresses();
        let callers = begin(&world, entries[0], 4).await;
        world.remove_build("v1").await;
        tokio::time::sleep(DIRECTORY_TIME).await;
        for (n, mut caller) in callers.into_iter().enumerate() {
            let entry = entries[n % entries.len()];
            if first_build(&world, &caller.stream) == "v1" {
                assert_refused(&world, entry, caller).await;
            } else {
                let ended = caller.run(entry, LAST_EVENT).await;
                assert_eq!(ended, StreamEnd::Complete, "{}", world.logs());
            }
        }
    });
}

/// Service to which a route is moved, and the build of its endpoint.
const MOVED: (&str, &str) = ("moved", "v2");

/// Starts an endpoint of another service and moves the route of streams there.
async fn move_route(world: &mut World) {
    let at = world.endpoints.len();
    world.endpoints.push(None);
    world.builds.push(MOVED.1.into());
    world.start_endpoint(at).await;
    let endpoint = world.endpoint(at);
    let body = json!({
        "service": MOVED.0, "address": endpoint.address(), "zone": "d0", "version": MOVED.1,
        "slots": SLOTS, "state": "ready", "coldMs": 0, "callSeq": 1,
    });
    let path = format!("/-/instances/{}", endpoint.id());
    let control = world.hosts_of(Role::Control)[0];
    let to = (world.hosts[control].process_address, fleet_world::OPERATOR_PORT).into();
    let status = client::call(to, "PUT", &path, &[], body.to_string()).await.0;
    assert_eq!(status, 200, "{}", world.logs());
    let mut config: Value = serde_json::from_str(&world.config(2)).expect("document");
    config["routes"][0]["service"] = json!(MOVED.0);
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({ "name": MOVED.0, "maxConns": 200 }));
    assert_eq!(world.put_config(&config.to_string()).await, 200, "{}", world.logs());
    for (at, entry) in world.caller_addresses().iter().enumerate() {
        let begun = Instant::now();
        for n in 0.. {
            let id = format!("new-{at}-{n}");
            let ended = client::stream(*entry, fleet_world::STREAM_PREFIX, &id).await;
            if ended == StreamEnd::Complete && first_build(world, &id) == MOVED.1 {
                break;
            }
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Guards against a stream that goes on at another build after its route has moved to another service.
#[test]
fn stream_of_a_moved_route_is_refused() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &["v1", "v1"], SLOTS).await;
        let entries = world.caller_addresses();
        let callers = begin(&world, entries[0], 4).await;
        move_route(&mut world).await;
        for (n, caller) in callers.into_iter().enumerate() {
            assert_refused(&world, entries[n % entries.len()], caller).await;
        }
    });
}

/// Guards against records that are kept under the id of a later attempt only.
#[test]
fn third_attempt_names_the_first_one() {
    fleet_world::run(async {
        let world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        world.slow_down(None, SLOWDOWN);
        let entries = world.caller_addresses();
        let callers = begin(&world, entries[0], 4).await;
        let ended = start(callers, entries[1], 8).join_all().await;
        let callers = broken(&world, ended);
        let ended = start(callers, entries[0], LAST_EVENT).join_all().await;
        assert_go_on(&world, &ended, STREAMS);
    });
}

/// Guards against a new stream that is bound to a build before its first event.
#[test]
fn stream_without_events_goes_to_any_build() {
    fleet_world::run(async {
        let mut world = World::start_with_builds(SIZE, &BUILDS, SLOTS).await;
        world.slow_down(Some("v1"), 400.0);
        let entries = world.caller_addresses();
        let streams = start(callers(), entries[0], LAST_EVENT);
        tokio::time::sleep(Duration::from_millis(150)).await;
        for at in 0..2 {
            world.crash_endpoint(at);
        }
        let ended = streams.join_all().await;
        assert_go_on(&world, &ended, STREAMS);
        let runs = ended.iter().map(|(c, _)| world.runs_of(&c.stream));
        let moved = runs.filter(|r| r.first().map(|r| &r.build) != r.last().map(|r| &r.build));
        assert!(moved.count() > 0, "some streams began at both builds");
    });
}

/// Guards against a malformed name of a stream that is ignored, so that the stream goes on at any
/// build.
#[test]
fn malformed_name_of_a_stream_is_refused() {
    fleet_world::run(async {
        let world = World::start_with_builds(SIZE, &["v1", "v1"], SLOTS).await;
        let entry = world.caller_addresses()[0];
        let path = format!("{}odd", fleet_world::STREAM_PREFIX);
        let mut seen = Vec::new();
        for names in [&[""][..], &["one", "two"], &["two words"], &["tab\tinside"], &["\u{e9}"]] {
            let mut headers = vec![("x-basilfield-request-id", "odd"), ("last-event-id", "3")];
            headers.extend(names.iter().map(|name| ("resumes", *name)));
            let (status, text) = client::call(entry, "POST", &path, &headers, "odd".into()).await;
            let text = String::from_utf8_lossy(&text).to_lowercase();
            seen.push((status, text.contains("resumes")));
        }
        assert_eq!(seen, [(400, true); 5], "{}", world.logs());
        assert_eq!(world.all_runs(), []);
    });
}

/// Starts a world in which the items of a job run at the first build, with output that is stored,
/// and the second build serves as well.
async fn world_with_items(job: &str) -> World {
    let mut world = World::start_with_builds(SIZE, &ITEM_BUILDS, SLOTS).await;
    world.remove_build("v2").await;
    world.slow_down(None, SLOWDOWN);
    tokio::time::sleep(DIRECTORY_TIME).await;
    let entries = world.caller_addresses();
    assert!(client::submit(&entries, job, ITEMS).await, "{}", world.logs());
    tokio::time::sleep(STORE_TIME).await;
    for at in 0..world.endpoints.len() {
        if world.endpoints[at].is_none() {
            world.start_endpoint(at).await;
        }
    }
    world.send_heartbeats().await;
    tokio::time::sleep(DIRECTORY_TIME).await;
    world
}

/// Waits for the end of a job, and checks that no item went on at another build.
async fn assert_items_are_whole(world: &World, job: &str) {
    let entries = world.caller_addresses();
    let finished = client::finish(&entries, job, ITEMS, &mut Vec::new(), JOB_TIMEOUT).await;
    assert_eq!(finished, Ok(()), "{}", world.logs());
    assert_eq!(world.mixed_builds(), [], "{}", world.logs());
}

/// Guards against items that a new leader goes on with at another build from their stored output.
#[test]
fn new_leader_goes_on_with_items_at_their_build() {
    fleet_world::run(async {
        let mut world = world_with_items("led").await;
        for at in world.hosts_of(Role::Store) {
            world.kill(at);
        }
        for at in world.hosts_of(Role::Store) {
            world.start_host(at, false);
        }
        assert_items_are_whole(&world, "led").await;
    });
}

/// Guards against items that go on at another build when their endpoint is lost.
#[test]
fn items_of_a_lost_endpoint_go_on_at_their_build() {
    fleet_world::run(async {
        let mut world = world_with_items("moved").await;
        let runs = |at: &usize| world.endpoints[*at].as_ref().map_or(0, |e| e.runs().len());
        let busiest = (0..world.endpoints.len()).max_by_key(runs).expect("endpoints");
        world.crash_endpoint(busiest);
        assert_items_are_whole(&world, "moved").await;
    });
}

/// Guards against items that go on at another build, or never end, when their own build has left.
#[test]
fn items_of_a_build_that_has_left_start_over() {
    fleet_world::run(async {
        let mut world = world_with_items("anew").await;
        world.remove_build("v1").await;
        assert_items_are_whole(&world, "anew").await;
        let runs = client::items("anew", ITEMS).into_iter().map(|item| world.runs_of(&item));
        let moved = runs.filter(|r| r.first().map(|r| &r.build) != r.last().map(|r| &r.build));
        assert!(moved.count() > 0, "some items began at both builds");
    });
}

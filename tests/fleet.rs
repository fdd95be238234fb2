//! Tests of a fleet of hosts that find each other through seeds and run as separate processes.

mod fleet_world;

use basilfield::emulator::plain;
use fleet_world::Role;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::StreamEnd;
use fleet_world::client::finish;
use fleet_world::client::stream;
use fleet_world::client::submit;
use fleet_world::proxy;
use std::time::Duration;
use std::time::Instant;

const SMALL_SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 2, endpoints: 2 };
/// A fleet that survives the loss of two control hosts and has more of them than seeds.
const TWO_LOSSES: Size = Size { controls: 5, losses: 2, stores: 0, ..SMALL_SIZE };
/// Time within which an accepted change must be in force on every entry.
const IN_FORCE_TIME: Duration = Duration::from_millis(2_500);
/// Time within which a host notices that it has lost contact with others.
const LOST_CONTACT_TIME: Duration = Duration::from_millis(2_000);
/// Time within which a replica group must have replaced a lost host or taken in a new one.
const REPAIR_TIME: Duration = Duration::from_millis(4_500);
/// Longest time for a job of a few items to finish, including a change of leader.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(test);
}

/// Event texts in the output of `basilfield explain`, without times, hosts and numbers, which
/// differ from run to run. Leaves out lines marked `~`, which do not name the request.
fn event_texts(explanation: &str) -> Vec<&str> {
    let own = explanation.lines().filter(|l| !l.contains('~'));
    own.filter_map(|l| l.split_once("] ")).map(|(_, text)| text).collect()
}

/// Submits a job of five items and waits until it has finished.
async fn run_job(world: &World, name: &str) {
    let entries = world.caller_addresses();
    assert!(submit(&entries, name, 5).await, "{name} accepted\n{}", world.logs());
    let finished = finish(&entries, name, 5, &mut Vec::new(), JOB_TIMEOUT).await;
    assert_eq!(finished, Ok(()), "{}", world.logs());
}

/// Guards against requests that do not pass through all hosts: streams through every entry, a job,
/// an invalid configuration, an old version and an unknown job.
#[test]
fn requests_pass_through_every_host() {
    run(async {
        let world = World::start(SMALL_SIZE).await;
        for (n, at) in world.hosts_of(Role::Entry).into_iter().enumerate() {
            let id = format!("first-{n}");
            let ended = stream(world.caller_address(at), fleet_world::STREAM_PREFIX, &id).await;
            assert_eq!(ended, StreamEnd::Complete, "{}", world.logs());
        }
        run_job(&world, "job").await;
        let mut seen = vec![
            world.put_config("{").await.to_string(),
            world.put_config(&world.config(1)).await.to_string(),
        ];
        let entry = world.caller_address(world.hosts_of(Role::Entry)[0]);
        seen.push(format!("{:?}", client::results(entry, "unknown", 0).await));
        seen.push(client::call(entry, "POST", "/none/", &[], String::new()).await.0.to_string());
        seen.push(format!("{:?}", world.read_version(0).await));
        insta::assert_snapshot!(seen.join(" "), @"400 200 Err(404) 404 Some(1)");
    });
}

/// Guards against loss of a job or configuration when every process is killed at once, and when
/// store hosts lose their disks one after the other and the lost replicas are not repaired in time.
#[test]
fn jobs_survive_kills_and_lost_disks() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        let entries = world.caller_addresses();
        assert!(submit(&entries, "before", 5).await, "{}", world.logs());
        assert_eq!(world.put_config(&world.config(7)).await, 200);
        for at in 0..world.hosts.len() {
            world.kill(at);
        }
        for at in 0..world.hosts.len() {
            world.start_host(at, false);
        }
        // The directory starts empty. Endpoints register about once a second.
        world.send_heartbeats_until_ready().await;
        let finished = finish(&entries, "before", 5, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
        assert_eq!(world.read_version(1).await, Some(7), "{}", world.logs());

        for at in world.hosts_of(Role::Store) {
            world.kill(at);
            world.delete_data(at);
            world.start_host(at, false);
            tokio::time::sleep(REPAIR_TIME).await;
        }
        let again = finish(&entries, "before", 5, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(again, Ok(()), "{}", world.logs());
        run_job(&world, "after").await;
    });
}

/// Guards against a store host that is reported as emptied while it still holds replicas, and
/// against one that cannot be emptied.
#[test]
fn store_host_is_emptied() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        run_job(&world, "one").await;
        let control = (world.hosts[0].process_address, fleet_world::OPERATOR_PORT).into();
        let retire = |name: &'static str| async move {
            let body = r#"{"completeByS":10}"#.to_string();
            client::call(control, "POST", &format!("/-/retire/{name}"), &[], body).await.0
        };
        assert_eq!(retire("store-9").await, 404);
        assert_eq!(retire("store-1").await, 409, "too few would remain");
        let spare = world.add_host(Role::Store, 4).await;
        world.start_host(spare, false);
        let begun = Instant::now();
        while retire("store-1").await != 200 {
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        loop {
            let call = client::call(control, "GET", "/-/retire/store-1", &[], String::new());
            if &call.await.1[..] == br#"{"state":"completed"}"# {
                break;
            }
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let stores = world.hosts_of(Role::Store);
        // The emptied host is removed at once, and another one is lost right after it.
        world.kill(stores[0]);
        world.delete_data(stores[0]);
        world.kill(stores[1]);
        let entries = world.caller_addresses();
        let finished = finish(&entries, "one", 5, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
    });
}

/// Guards against logs from which `basilfield explain` cannot tell why a request was refused.
#[test]
fn refused_request_is_explained() {
    run(async {
        let mut world = World::start(Size { endpoints: 1, ..SMALL_SIZE }).await;
        let entry = world.caller_address(world.hosts_of(Role::Entry)[0]);
        let busy = (0..30).map(|n| {
            tokio::spawn(async move {
                stream(entry, fleet_world::ONCE_PREFIX, &format!("busy-{n}")).await
            })
        });
        let mut ends = Vec::new();
        for task in busy.collect::<Vec<_>>() {
            ends.push(task.await.expect("task"));
        }
        let refused = ends.iter().position(|e| *e == StreamEnd::NotRun);
        let refused = refused.unwrap_or_else(|| panic!("some are refused: {ends:?}"));
        let id = format!("busy-{refused}");
        let ran = world.all_runs().iter().any(|r| *r.request_id == *id);
        assert!(!ran, "{id} was refused as not run");
        world.crash_endpoint(0);
        let explanation = world.explain(&id, |text| text.contains("[700]")).await;
        let full = explanation.contains("reason=every endpoint is full");
        let declined = explanation.contains("cause=declined with 503")
            && explanation.contains("reason=no endpoint is left");
        assert!(full || declined, "{explanation}");
    });
}

/// Guards against logs from which `basilfield explain` cannot find the lost endpoint of a broken
/// stream or the runs of a job's items.
#[test]
fn interrupted_work_is_explained() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        let entry = world.caller_address(world.hosts_of(Role::Entry)[0]);
        let id = "cut-off";
        let task = tokio::spawn(stream(entry, fleet_world::ONCE_PREFIX, id));
        tokio::time::sleep(Duration::from_millis(70)).await;
        world.crash_endpoint(0);
        world.crash_endpoint(1);
        assert_eq!(task.await.expect("task"), StreamEnd::Disconnected);
        let explanation = world.explain(id, |text| text.contains("[713]")).await;
        insta::assert_snapshot!(
            event_texts(&explanation).iter().filter_map(|s| s.split_once(" ")).map(|s| s.0)
                .collect::<Vec<_>>().join(" "),
            @"attempt stream answer"
        );
        assert!(explanation.contains("endpoint avoided"), "{explanation}");
        for at in 0..2 {
            world.start_endpoint(at).await;
        }
        world.send_heartbeats().await;
        run_job(&world, "explained").await;
        let done = |text: &str| text.lines().filter(|l| l.contains("item done")).count();
        let has_all = |text: &str| done(text) == 5 && text.contains("job accepted");
        let explanation = world.explain("explained", has_all).await;
        let is_accepted = explanation.contains("job accepted");
        assert_eq!((done(&explanation), is_accepted), (5, true), "{explanation}");
    });
}

/// Guards against requests that are cut off when an entry stops. Running requests must finish;
/// requests that arrive too late to finish must be refused as not run.
#[test]
fn stop_finishes_running_requests() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        let at = world.hosts_of(Role::Entry)[0];
        let entry = world.caller_address(at);
        let early = (0..4).map(|n| {
            tokio::spawn(async move {
                stream(entry, fleet_world::ONCE_PREFIX, &format!("early-{n}")).await
            })
        });
        let early: Vec<_> = early.collect();
        tokio::time::sleep(Duration::from_millis(60)).await;
        world.terminate(at);
        for task in early {
            assert_eq!(task.await.expect("task"), StreamEnd::Complete, "{}", world.logs());
        }
        // A balancer that has not noticed the stop still sends requests, and the endpoints are too
        // slow to finish them in time. One long request keeps the entry running meanwhile.
        for endpoint in world.endpoints.iter().flatten() {
            endpoint
                .set_faults(plain::FaultRates { slowdown: 25.0, ..plain::FaultRates::default() });
        }
        let long_request = tokio::spawn(async move {
            // Its time ends before the process does.
            let mut attempt = client::Attempt::new(fleet_world::ONCE_PREFIX, "hold");
            attempt.deadline = Duration::from_millis(4_800);
            attempt.run(entry, fleet_world::ENDPOINT_OPTIONS.1).await
        });
        let ready = (world.hosts[at].process_address, fleet_world::READY_PORT).into();
        let status = client::call(ready, "GET", "/-/ready", &[], String::new()).await.0;
        assert_eq!(status, 503);
        tokio::time::sleep(Duration::from_millis(2_800)).await;
        let late = stream(entry, fleet_world::ONCE_PREFIX, "late").await;
        assert_eq!(
            (late, long_request.await.expect("task")),
            (StreamEnd::NotRun, StreamEnd::Complete)
        );
        assert!(!world.all_runs().iter().any(|r| &*r.request_id == "late"));
        world.wait_for_exit(at, Duration::from_secs(6)).await;
    });
}

/// Guards against a response saying that another request was declined, if it is mistaken for the
/// response to this request. This request ran, so it must not be refused as not run and must not
/// run again.
#[test]
fn answer_of_another_request_is_ignored() {
    run(async {
        let world = World::start(SMALL_SIZE).await;
        for endpoint in world.endpoints.iter().flatten() {
            endpoint.set_faults(plain::FaultRates {
                mismatch_rate: 1.0,
                ..plain::FaultRates::default()
            });
        }
        let entry = world.caller_address(world.hosts_of(Role::Entry)[0]);
        let ended = stream(entry, fleet_world::ONCE_PREFIX, "strange").await;
        let runs = world.all_runs().iter().filter(|r| &*r.request_id == "strange").count();
        assert_eq!((ended, runs), (StreamEnd::Status(502), 1), "{}", world.logs());
    });
}

/// Guards against items that start over after each loss of the job group's leader.
#[test]
fn new_leader_continues_items() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        for endpoint in world.endpoints.iter().flatten() {
            endpoint
                .set_faults(plain::FaultRates { slowdown: 25.0, ..plain::FaultRates::default() });
        }
        let entries = world.caller_addresses();
        assert!(submit(&entries, "long", 4).await, "{}", world.logs());
        // Longer than the interval at which output is stored, but shorter than a run.
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        for at in world.hosts_of(Role::Store) {
            world.kill(at);
        }
        for at in world.hosts_of(Role::Store) {
            world.start_host(at, false);
        }
        let finished = finish(&entries, "long", 4, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
        // Each item runs once from its start and once from its stored output.
        let runs = world.all_runs();
        let anew = runs.iter().filter(|r| r.last_event == 0).count();
        assert_eq!((anew, runs.len()), (4, 8), "{runs:?}");
    });
}

/// Guards against a request that is run by an endpoint which has taken over the address of another.
#[test]
fn reused_address_runs_no_request() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        world.crash_endpoint(0);
        world.start_endpoint(0).await;
        let entry = world.caller_address(world.hosts_of(Role::Entry)[0]);
        for n in 0..6 {
            let ended = stream(entry, fleet_world::STREAM_PREFIX, &format!("reused-{n}")).await;
            assert_eq!(ended, StreamEnd::Complete, "{}", world.logs());
        }
        let newcomer = world.endpoints[0].as_ref().expect("started");
        assert_eq!(newcomer.runs(), [], "it is not known under its id");
        let declined = world.logs_of(Role::Entry).matches("declined with 421").count();
        assert!(declined > 0, "the old address was tried");
    });
}

/// Guards against a job that is accepted although an item does not form a valid request.
#[test]
fn malformed_item_is_refused() {
    run(async {
        let world = World::start(SMALL_SIZE).await;
        let entry = world.caller_address(world.hosts_of(Role::Entry)[0]);
        let item = |path: &str, header: &str| {
            format!(
                r#"{{"items":[{{"id":"a","path":"{path}","headers":{{"{header}":"x"}},"body":""}}]}}"#
            )
        };
        let headers = [("x-basilfield-request-id", "odd")];
        let path = format!("{}odd", fleet_world::BATCH_PREFIX);
        let mut seen = Vec::new();
        for body in [item("no path", "x"), item("/batch/a", "no header"), "[]".to_string()] {
            let (status, text) = client::call(entry, "POST", &path, &headers, body).await;
            seen.push(format!("{status} {}", String::from_utf8_lossy(&text).trim()));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        400 item a is no request: invalid uri character
        400 item a is no request: invalid HTTP header name
        400 invalid length 0, expected struct Submission with 1 element at line 1 column 2
        ");
    });
}

/// Guards against groups that are never formed because founders were restarted before that.
#[test]
fn founders_that_restart_form_the_groups() {
    run(async {
        let mut world = World::prepare(SMALL_SIZE).await;
        let last = world.hosts_of(Role::Control)[2];
        for at in (0..world.hosts.len()).filter(|at| *at != last) {
            world.start_host(at, true);
        }
        // Long enough for the processes to start; the groups need every founder.
        tokio::time::sleep(Duration::from_millis(700)).await;
        for at in (0..world.hosts.len()).filter(|at| *at != last) {
            world.kill(at);
            world.start_host(at, false);
        }
        world.start_host(last, true);
        world.set_up().await;
        let entries = world.caller_addresses();
        assert!(submit(&entries, "founded", 2).await, "{}", world.logs());
        let finished = finish(&entries, "founded", 2, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
    });
}

/// Guards against a process that exits because its disk is full when it starts.
#[test]
fn host_waits_while_disk_is_full_at_start() {
    run(async {
        let mut world = World::prepare(SMALL_SIZE).await;
        for at in 0..world.hosts.len() {
            world.start_host(at, true);
            if world.hosts[at].role == Role::Store {
                world.fill_disk(at, true);
            }
        }
        world.set_up().await;
        let entries = world.caller_addresses();
        // Long enough for the job group to be placed on the store hosts.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        for at in world.hosts_of(Role::Store) {
            assert!(!world.has_ended(at), "{}", world.logs());
            world.fill_disk(at, false);
        }
        assert!(submit(&entries, "full", 2).await, "{}", world.logs());
        let finished = finish(&entries, "full", 2, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
    });
}

/// Starts a world whose job group is placed but not formed, since the store hosts get no answer from
/// each other.
async fn placed_world() -> World {
    let mut world = World::prepare(SMALL_SIZE).await;
    let stores = world.hosts_of(Role::Store);
    let mute = proxy::LinkFaults { drop_inbound: true, drop_outbound: true, delay: Duration::ZERO };
    for (at, from) in stores.iter().flat_map(|at| stores.iter().map(move |from| (at, from))) {
        world.hosts[*at].proxy.set_faults(&world.link(*from), mute);
    }
    for at in 0..world.hosts.len() {
        world.start_host(at, true);
    }
    world.set_up().await;
    let begun = Instant::now();
    while world.logs_of(Role::Store).matches("job group placed").count() < stores.len() {
        assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    world
}

/// Guards against a job group that is never formed because its hosts were restarted after it was
/// placed on them.
#[test]
fn placed_founders_that_restart_form_the_group() {
    run(async {
        let mut world = placed_world().await;
        for at in world.hosts_of(Role::Store) {
            world.kill(at);
            world.start_host(at, false);
            world.hosts[at].proxy.clear_faults();
        }
        let entries = world.caller_addresses();
        assert!(submit(&entries, "placed", 2).await, "{}", world.logs());
        let finished = finish(&entries, "placed", 2, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
    });
}

/// Guards against a job group that is never formed because the host that has to form it lost its
/// disk before that.
#[test]
fn founder_that_loses_its_disk_is_replaced() {
    run(async {
        let mut world = placed_world().await;
        let stores = world.hosts_of(Role::Store);
        world.kill(stores[0]);
        world.delete_data(stores[0]);
        world.start_host(stores[0], false);
        for at in stores {
            world.hosts[at].proxy.clear_faults();
        }
        let entries = world.caller_addresses();
        assert!(submit(&entries, "lost", 2).await, "{}", world.logs());
        let finished = finish(&entries, "lost", 2, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
    });
}

/// Store host that last became the leader of the job group and runs.
fn job_leader(world: &World) -> Option<usize> {
    let lines = log_lines(world, Role::Store).into_iter();
    let elections = lines.filter(|l| l["event"] == 300 && l["role"] == "leader");
    let last = elections.max_by_key(|l| l["ts"].to_string())?;
    let at = world.hosts.iter().position(|h| last["host"] == *h.name);
    at.filter(|at| world.is_running(*at))
}

/// Number of changes of the members of the job group that its leaders have begun, of a kind.
fn member_changes(world: &World, kind: &str) -> usize {
    let lines = log_lines(world, Role::Store).into_iter();
    let changes = lines.filter(|l| l["event"] == 302);
    changes.filter(|l| l["change"].as_str().is_some_and(|c| c.starts_with(kind))).count()
}

/// Stops a store host, deletes its data and starts it again.
async fn lose_disk(world: &mut World, at: usize) {
    world.kill(at);
    world.delete_data(at);
    // Longer than an election, so that the group has a leader when the host is back.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    world.start_host(at, false);
}

/// Waits until more changes of a kind have begun than `before`, at most for the time after which the
/// next host may be lost.
async fn assert_member_change(world: &World, kind: &str, before: usize) {
    let is_begun = || member_changes(world, kind) > before;
    assert!(fleet_world::wait_until(REPAIR_TIME, is_begun).await, "{kind}\n{}", world.logs());
}

/// Guards against a host without its disk that is not replaced before the next one is lost: the
/// leader came in for a founder, so the host does not know it when it starts.
#[test]
fn lost_disk_is_found_by_a_leader_that_came_later() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        run_job(&world, "one").await;
        let stores = world.hosts_of(Role::Store);
        world.kill(stores[0]);
        let later = world.add_host(Role::Store, 4).await;
        world.start_host(later, false);
        assert_member_change(&world, "Promote", 0).await;
        while job_leader(&world) != Some(later) {
            let Some(leader) = job_leader(&world) else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            world.kill(leader);
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            world.start_host(leader, false);
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        // The directory, which names the leader, arrives later than the placement.
        let slow = proxy::LinkFaults { delay: Duration::from_millis(250), ..Default::default() };
        let link = world.link(stores[1]);
        for control in world.hosts_of(Role::Control) {
            world.hosts[control].proxy.set_faults(&link, slow);
            world.hosts[stores[1]].proxy.set_faults(&world.link(control), slow);
        }
        lose_disk(&mut world, stores[1]).await;
        assert_member_change(&world, "Promote", 1).await;
        world.kill(later);
        let entries = world.caller_addresses();
        let finished = finish(&entries, "one", 5, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
    });
}

/// Guards against a host without its disk that is not replaced because the leader waits for its
/// probe. Here nothing that the host sends on its own connections arrives.
#[test]
fn lost_disk_is_found_without_a_probe_of_the_host() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        run_job(&world, "one").await;
        let leader = job_leader(&world).expect("a leader");
        let stores = world.hosts_of(Role::Store);
        let lost = stores.into_iter().find(|at| *at != leader).expect("a follower");
        let mute = proxy::LinkFaults { drop_inbound: true, ..Default::default() };
        let link = world.link(lost);
        for host in &world.hosts {
            host.proxy.set_faults(&link, mute);
        }
        lose_disk(&mut world, lost).await;
        assert_member_change(&world, "AddLearner", 0).await;
        for host in &world.hosts {
            host.proxy.clear_faults();
        }
        assert_member_change(&world, "Promote", 0).await;
    });
}

/// Puts a configuration in force and checks that each entry serves its new route in time.
async fn assert_change_takes_effect(world: &World, version: u64) {
    assert_eq!(world.put_config(&world.config(version)).await, 200, "{}", world.logs());
    tokio::time::sleep(IN_FORCE_TIME).await;
    for at in world.hosts_of(Role::Entry) {
        let id = format!("after-change-{version}-{at}");
        let ended = stream(world.caller_address(at), &format!("/v{version}/"), &id).await;
        assert_eq!(ended, StreamEnd::Complete, "{}", world.logs());
    }
}

/// Guards against a change that is accepted by control hosts which no other host can reach, so that
/// entries answer 404 for its routes.
#[test]
fn change_accepted_while_control_hosts_are_cut_off_is_in_force() {
    run(async {
        let world = World::start(TWO_LOSSES).await;
        tokio::time::sleep(REPAIR_TIME).await;
        // Two of the seeds, which form the group of the control hosts.
        world.cut_off(&world.hosts_of(Role::Control)[..2]);
        // Longer than an election.
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_change_takes_effect(&world, 2).await;
    });
}

/// Guards against an entry that never gets a configuration after a short cut, because the frame that
/// names it was lost on its new connections and the answers of the control hosts went elsewhere.
#[test]
fn change_after_a_short_cut_of_an_entry_is_in_force() {
    run(async {
        let world = World::start(TWO_LOSSES).await;
        tokio::time::sleep(REPAIR_TIME).await;
        world.cut_off(&world.hosts_of(Role::Entry));
        for host in &world.hosts {
            host.proxy.reset();
        }
        // The links return while the connections that are opened after the reset are still in use.
        tokio::time::sleep(Duration::from_millis(700)).await;
        for host in &world.hosts {
            host.proxy.clear_faults();
        }
        tokio::time::sleep(LOST_CONTACT_TIME).await;
        assert_change_takes_effect(&world, 2).await;
    });
}

/// Guards against loss of the configuration when as many control hosts lose their disks at once as
/// the settings permit.
#[test]
fn configuration_survives_permitted_losses_of_disks() {
    run(async {
        let mut world = World::start(TWO_LOSSES).await;
        tokio::time::sleep(REPAIR_TIME).await;
        assert_eq!(world.put_config(&world.config(7)).await, 200);
        let lost = world.hosts_of(Role::Control)[..2].to_vec();
        for at in &lost {
            world.kill(*at);
            world.delete_data(*at);
        }
        for at in &lost {
            world.start_host(*at, false);
        }
        tokio::time::sleep(REPAIR_TIME).await;
        assert_eq!(world.read_version(2).await, Some(7), "{}", world.logs());
        assert_change_takes_effect(&world, 8).await;
    });
}

/// Lines in the logs of the hosts of a role.
fn log_lines(world: &World, role: Role) -> Vec<serde_json::Value> {
    let logs = world.logs_of(role);
    logs.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
}

/// Size of the control group as last logged by a leader: event number, voters and needed voters.
fn last_logged_size(world: &World) -> String {
    let lines = log_lines(world, Role::Control).into_iter();
    let sizes = lines.filter(|l| l["event"] == 308 || l["event"] == 310);
    let last = sizes.max_by_key(|l| l["ts"].to_string());
    last.map_or_else(String::new, |l| format!("{} {}/{}", l["event"], l["voters"], l["needed"]))
}

/// Guards against a control group that survives fewer losses than the settings permit, without a
/// line in the logs.
#[test]
fn missing_voters_are_logged() {
    run(async {
        for (controls, expected) in [(4, "310 4/5"), (5, "308 5/5")] {
            let world = World::start(Size { controls, ..TWO_LOSSES }).await;
            tokio::time::sleep(REPAIR_TIME).await;
            assert_eq!(last_logged_size(&world), expected, "{}", world.logs());
        }
    });
}

/// Guards against an entry that answers 404 for a route which it may merely not know yet. It still
/// serves the routes that it knows.
#[test]
fn entry_out_of_contact_does_not_deny_routes() {
    run(async {
        let world = World::start(SMALL_SIZE).await;
        let at = world.hosts_of(Role::Entry)[0];
        let entry = world.caller_address(at);
        world.cut_off(&[at]);
        tokio::time::sleep(LOST_CONTACT_TIME).await;
        assert_eq!(world.put_config(&world.config(2)).await, 200, "{}", world.logs());
        let unknown = stream(entry, "/v2/", "unknown").await;
        let known = stream(entry, fleet_world::STREAM_PREFIX, "known").await;
        assert_eq!((unknown, known), (StreamEnd::NotRun, StreamEnd::Complete), "{}", world.logs());
    });
}

/// Guards against an entry that answers 404 for a route of a configuration which it knows to exist
/// and has not received yet.
#[test]
fn entry_that_still_fetches_a_configuration_does_not_deny_routes() {
    run(async {
        let world = World::start(SMALL_SIZE).await;
        tokio::time::sleep(REPAIR_TIME).await;
        let at = world.hosts_of(Role::Entry)[0];
        let lost = proxy::LinkFaults { drop_inbound: true, ..Default::default() };
        for control in world.hosts_of(Role::Control) {
            world.hosts[control].proxy.set_faults(&world.link(at), lost);
        }
        assert_eq!(world.put_config(&world.config(2)).await, 200, "{}", world.logs());
        // The entry has been told by now, and has not noticed that its own messages are lost.
        tokio::time::sleep(Duration::from_millis(400)).await;
        let ended = stream(world.caller_address(at), "/v2/", "fetched").await;
        assert_eq!(ended, StreamEnd::NotRun, "{}", world.logs());
    });
}

/// Guards against a departure that is acknowledged by a control host which can tell no other host,
/// so that entries go on sending requests to the endpoint.
#[test]
fn departure_is_acknowledged_only_in_contact() {
    run(async {
        let mut world = World::start(SMALL_SIZE).await;
        let controls = world.hosts_of(Role::Control);
        world.cut_off(&controls[..1]);
        tokio::time::sleep(LOST_CONTACT_TIME).await;
        let mut seen = Vec::new();
        for at in &controls[..2] {
            seen.push(world.send_heartbeat(*at, 0, "draining").await);
            seen.push(world.deregister(*at, 1).await);
        }
        assert_eq!(seen, [503, 503, 200, 200], "{}", world.logs());
    });
}

/// Guards against control hosts that acknowledge nothing after all seeds were replaced, because they
/// still count the former ones.
#[test]
fn replaced_seeds_do_not_count_for_contact() {
    run(async {
        let mut world = World::start(Size { controls: 6, ..SMALL_SIZE }).await;
        let controls = world.hosts_of(Role::Control);
        for at in &controls[..3] {
            tokio::time::sleep(REPAIR_TIME).await;
            world.kill(*at);
            world.delete_data(*at);
        }
        tokio::time::sleep(REPAIR_TIME).await;
        let mut seen = Vec::new();
        for at in &controls[3..] {
            seen.push(world.send_heartbeat(*at, 0, "ready").await);
        }
        let entry = world.caller_address(world.hosts_of(Role::Entry)[0]);
        seen.push(client::call(entry, "POST", "/none/", &[], String::new()).await.0);
        assert_eq!(seen, [200, 200, 200, 404], "{}", world.logs());
    });
}

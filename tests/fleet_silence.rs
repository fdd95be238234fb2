//! Tests of endpoints that are silent in the middle of an answer and then go on, with processes over
//! loopback.

mod fleet_world;

use basilfield::emulator::plain;
use basilfield::fleet::upstream;
use fleet_world::BATCH_PREFIX;
use fleet_world::ONCE_PREFIX;
use fleet_world::SAFE_PREFIX;
use fleet_world::STREAM_PREFIX;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::StreamEnd;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinHandle;
use tokio::time;

const ONE_ENDPOINT: Size = Size { controls: 3, losses: 1, stores: 0, entries: 1, endpoints: 1 };
const TWO_ENDPOINTS: Size = Size { endpoints: 2, ..ONE_ENDPOINT };
const THREE_ENDPOINTS: Size = Size { endpoints: 3, ..ONE_ENDPOINT };
const WITH_STORES: Size = Size { stores: 3, ..ONE_ENDPOINT };
/// Silence of a sound endpoint. Callers wait longer.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Silence of a sound endpoint that runs items.
const ITEM_PAUSE: Duration = Duration::from_secs(4);
/// Silence that outlasts every deadline.
const HANG: Duration = Duration::from_secs(60);
/// Event in the middle of an answer.
const MIDDLE: u64 = 10;
/// Time within which a free endpoint must have continued the stream of one that hangs.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);
/// A request must not run longer than this at an endpoint after it has started at another one.
const OVERLAP_TIME: Duration = Duration::from_millis(400);
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

/// Ends of requests to the only endpoint, which pauses before each of the given events, with the
/// number of runs. 0 is the head of the answer.
async fn request_paused(world: &mut World, prefix: &'static str, before: &[u64]) -> Vec<String> {
    let mut seen = Vec::new();
    for event in before {
        world.send_heartbeats().await;
        world.set_all_faults(fleet_world::pause(*event, PAUSE));
        let id = format!("paused-{event}");
        let begun = Instant::now();
        let ended = client::stream(world.entry(), prefix, &id).await;
        let late = if begun.elapsed() >= PAUSE { "late" } else { "early" };
        let runs = world.run_count(0, &id);
        seen.push(format!("{event}: {ended:?} {late}, {runs} runs"));
    }
    seen
}

/// Guards against a stream that is cut off because the only endpoint is silent for a while in the
/// middle of it.
#[test]
fn stream_goes_on_after_silence_of_only_endpoint() {
    fleet_world::run(async {
        let mut world = World::start(ONE_ENDPOINT).await;
        let seen = request_paused(&mut world, STREAM_PREFIX, &[2, MIDDLE, 20]).await;
        insta::assert_snapshot!(seen.join("\n"), @r"
        2: Complete late, 1 runs
        10: Complete late, 1 runs
        20: Complete late, 1 runs
        ");
    });
}

/// Guards against a failure being reported because the only endpoint is silent before the head or
/// the first event of a stream.
#[test]
fn stream_starts_after_silence_of_only_endpoint() {
    fleet_world::run(async {
        let mut world = World::start(ONE_ENDPOINT).await;
        let seen = request_paused(&mut world, STREAM_PREFIX, &[0, 1]).await;
        insta::assert_snapshot!(seen.join("\n"), @r"
        0: Complete late, 1 runs
        1: Complete late, 1 runs
        ");
    });
}

/// Guards against a failure being reported because the only endpoint is silent before or in a whole
/// answer of a request that may be repeated.
#[test]
fn whole_answer_arrives_after_silence_of_only_endpoint() {
    fleet_world::run(async {
        let mut world = World::start(ONE_ENDPOINT).await;
        let seen = request_paused(&mut world, SAFE_PREFIX, &[0, MIDDLE]).await;
        insta::assert_snapshot!(seen.join("\n"), @r"
        0: Complete late, 1 runs
        10: Complete late, 1 runs
        ");
    });
}

/// Guards against a stream that must not be repeated but is given up or repeated because its
/// endpoint is silent for a while.
#[test]
fn unrepeatable_stream_waits_for_silent_endpoint() {
    fleet_world::run(async {
        let mut world = World::start(ONE_ENDPOINT).await;
        let seen = request_paused(&mut world, ONCE_PREFIX, &[0, 1, MIDDLE]).await;
        insta::assert_snapshot!(seen.join("\n"), @r"
        0: Complete late, 1 runs
        1: Complete late, 1 runs
        10: Complete late, 1 runs
        ");
    });
}

/// Starts requests at endpoints that pause, and gives the other endpoints `faults` during each
/// pause. Checks that each answer is complete and that no run is left over.
async fn assert_kept_while_others_fail(faults: plain::FaultRates) {
    let mut world = World::start(THREE_ENDPOINTS).await;
    let cases = [(STREAM_PREFIX, MIDDLE), (STREAM_PREFIX, 1), (STREAM_PREFIX, 0), (SAFE_PREFIX, 0)];
    let mut seen = Vec::new();
    for (n, (prefix, before)) in cases.into_iter().enumerate() {
        world.send_heartbeats().await;
        world.set_all_faults(fleet_world::pause(before, PAUSE));
        let id = format!("kept-{n}");
        let (stream, first) = world.start_stream(prefix, &id).await;
        for at in (0..world.endpoints.len()).filter(|at| *at != first) {
            world.endpoint(at).set_faults(faults);
        }
        let ended = stream.await.expect("task");
        let runs = world.run_count(first, &id);
        let stopped = fleet_world::wait_until(OVERLAP_TIME, || world.running() == 0).await;
        seen.push(format!("{prefix} {before}: {ended:?}, {runs} runs, stopped: {stopped}"));
    }
    insta::allow_duplicates! {
        insta::assert_snapshot!(seen.join("\n"), @r"
        /stream/ 10: Complete, 1 runs, stopped: true
        /stream/ 1: Complete, 1 runs, stopped: true
        /stream/ 0: Complete, 1 runs, stopped: true
        /safe/ 0: Complete, 1 runs, stopped: true
        ");
    }
}

/// Guards against an answer that is given up because its endpoint is silent for a while and all
/// others decline the request.
#[test]
fn silent_endpoint_is_kept_while_others_decline() {
    fleet_world::run(assert_kept_while_others_fail(plain::FaultRates {
        decline_rate: 1.0,
        ..plain::FaultRates::default()
    }));
}

/// Guards against an answer that is given up because its endpoint is silent for a while and all
/// others fail.
#[test]
fn silent_endpoint_is_kept_while_others_return_errors() {
    fleet_world::run(assert_kept_while_others_fail(plain::FaultRates {
        error_rate: 1.0,
        ..plain::FaultRates::default()
    }));
}

/// Guards against an answer that is given up because its endpoint is silent for a while and all
/// others hang.
#[test]
fn silent_endpoint_is_kept_while_others_hang() {
    fleet_world::run(assert_kept_while_others_fail(plain::FaultRates {
        lost_rate: 1.0,
        ..plain::FaultRates::default()
    }));
}

/// Guards against a stream that is cut off by a silence of its endpoint if its connections have
/// carried another request before.
#[test]
fn stream_on_kept_connection_goes_on_after_silence() {
    fleet_world::run(async {
        let world = World::start(ONE_ENDPOINT).await;
        let connections = upstream::Upstream::default();
        let mut ends = Vec::new();
        for (id, faults) in [
            ("kept-1", plain::FaultRates::default()),
            ("kept-2", fleet_world::pause(MIDDLE, PAUSE)),
            ("kept-3", plain::FaultRates::default()),
        ] {
            world.set_all_faults(faults);
            ends.push(client::stream_on(&connections, world.entry(), STREAM_PREFIX, id).await);
        }
        let expected = [StreamEnd::Complete, StreamEnd::Complete, StreamEnd::Complete];
        assert_eq!(ends, expected, "{}", world.logs());
    });
}

/// Guards against streams that are cut off because every endpoint is full and silent for a while
/// when a change of the configuration takes effect.
#[test]
fn full_silent_endpoints_are_kept_during_change() {
    fleet_world::run(async {
        let world = World::start(TWO_ENDPOINTS).await;
        world.set_all_faults(fleet_world::pause(MIDDLE, PAUSE));
        let to = world.entry();
        let slots = world.endpoints.len() * fleet_world::ENDPOINT_OPTIONS.0;
        let start = |n| {
            tokio::spawn(
                async move { client::stream(to, STREAM_PREFIX, &format!("during-{n}")).await },
            )
        };
        let streams: Vec<JoinHandle<StreamEnd>> = (0..slots).map(start).collect();
        let started =
            fleet_world::wait_until(Duration::from_secs(1), || world.running() == slots).await;
        assert!(started, "{} run\n{}", world.running(), world.logs());
        assert_eq!(world.put_config(&world.config(2)).await, 200, "{}", world.logs());
        let mut seen = Vec::new();
        for stream in streams {
            seen.push(stream.await.expect("task"));
        }
        let cut = seen.iter().filter(|ended| **ended != StreamEnd::Complete).count();
        assert_eq!(cut, 0, "{seen:?}\n{}", world.logs());
        assert!(
            fleet_world::wait_until(OVERLAP_TIME, || world.running() == 0).await,
            "runs are left over"
        );
    });
}

/// Guards against a stream that waits for an endpoint which hangs although another one is free, and
/// against a run that goes on at the endpoint that was left.
#[test]
fn free_endpoint_replaces_one_that_hangs() {
    fleet_world::run(async {
        let mut world = World::start(TWO_ENDPOINTS).await;
        let mut seen = Vec::new();
        for before in [0, 1, MIDDLE] {
            world.send_heartbeats().await;
            world.set_all_faults(fleet_world::pause(before, HANG));
            let id = format!("replaced-{before}");
            let begun = Instant::now();
            let (stream, first) = world.start_stream(STREAM_PREFIX, &id).await;
            let other = world.endpoint(1 - first);
            other.set_faults(plain::FaultRates::default());
            let taken =
                fleet_world::wait_until(TAKEOVER_TIME, || world.run_count(1 - first, &id) > 0)
                    .await;
            let closed =
                fleet_world::wait_until(OVERLAP_TIME, || world.endpoint(first).running() == 0)
                    .await;
            let ended = stream.await.expect("task");
            let in_time = begun.elapsed() < TAKEOVER_TIME;
            let runs = world.all_runs().into_iter().filter(|r| *r.request_id == *id);
            let after: Vec<u64> = runs.map(|r| r.last_event).collect();
            let left = !fleet_world::wait_until(OVERLAP_TIME, || world.running() == 0).await;
            seen.push(format!(
                "{before}: {ended:?}, in time: {in_time}, taken: {taken}, closed: {closed}, \
                 runs after events {:?}, left over: {left}",
                after.iter().copied().collect::<std::collections::BTreeSet<u64>>(),
            ));
            assert_eq!(after.len(), 2, "{after:?}\n{}", world.logs());
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        0: Complete, in time: true, taken: true, closed: true, runs after events {0}, left over: false
        1: Complete, in time: true, taken: true, closed: true, runs after events {0}, left over: false
        10: Complete, in time: true, taken: true, closed: true, runs after events {0, 9}, left over: false
        ");
    });
}

/// Guards against events that are lost, repeated or mixed, and against two runs that go on, if an
/// endpoint goes on at the moment at which another one takes its stream over.
#[test]
fn takeover_at_end_of_silence_keeps_stream_in_order() {
    fleet_world::run(async {
        let mut world = World::start(TWO_ENDPOINTS).await;
        let mut paused_runs = 0;
        // An entry waits 900 ms for the next event.
        for length in [880, 900, 905, 910, 950] {
            world.send_heartbeats().await;
            let (to, paused) = (world.entry(), world.endpoint(0));
            // An answer ends the backoff of the endpoint.
            paused.set_faults(plain::FaultRates::default());
            let known = paused.runs().len();
            for n in (0..).take_while(|_| paused.runs().len() == known) {
                let id = format!("sound-{length}-{n}");
                let ended = client::stream(to, STREAM_PREFIX, &id).await;
                assert_eq!(ended, StreamEnd::Complete, "{}", world.logs());
            }
            paused.set_faults(fleet_world::pause(MIDDLE, Duration::from_millis(length)));
            let known = paused.runs().len();
            let start = |n| {
                tokio::spawn(async move {
                    client::stream(to, STREAM_PREFIX, &format!("race-{length}-{n}")).await
                })
            };
            // Each endpoint has room for all of them.
            let streams: Vec<JoinHandle<StreamEnd>> =
                (0..fleet_world::ENDPOINT_OPTIONS.0).map(start).collect();
            for stream in streams {
                let ended = stream.await.expect("task");
                assert_eq!(ended, StreamEnd::Complete, "{length} ms\n{}", world.logs());
            }
            paused_runs += paused.runs().len() - known;
            assert!(
                fleet_world::wait_until(OVERLAP_TIME, || world.running() == 0).await,
                "{length} ms"
            );
        }
        assert!(paused_runs > 0, "no stream was paused");
        for at in 0..world.endpoints.len() {
            for run in world.endpoint(at).runs() {
                assert_eq!(world.run_count(at, &run.request_id), 1, "{run:?}");
            }
        }
    });
}

/// Waits until a job of five items has finished, and keeps the endpoints registered.
async fn finish_job(world: &mut World, job: &str) -> Result<(), String> {
    let entries = world.caller_addresses();
    let mut results = Vec::new();
    let finished = client::finish(&entries, job, 5, &mut results, JOB_TIMEOUT);
    let registered = async {
        loop {
            world.send_heartbeats().await;
            time::sleep(Duration::from_millis(700)).await;
        }
    };
    tokio::select! {
        finished = finished => finished,
        () = registered => unreachable!("the loop has no end"),
    }
}

/// Guards against items that lose their output because their endpoint is silent for a while.
#[test]
fn items_finish_after_silence_of_endpoint() {
    fleet_world::run(async {
        let mut world = World::start(WITH_STORES).await;
        world.set_all_faults(fleet_world::pause(MIDDLE, ITEM_PAUSE));
        assert!(client::submit(&world.caller_addresses(), "late", 5).await, "{}", world.logs());
        let started = || world.endpoint(0).runs().len() == 5;
        assert!(fleet_world::wait_until(JOB_TIMEOUT, started).await, "{}", world.logs());
        world.set_all_faults(plain::FaultRates::default());
        assert_eq!(finish_job(&mut world, "late").await, Ok(()), "{}", world.logs());
        let paths: Vec<_> = world.endpoint(0).runs().into_iter().map(|r| r.path).collect();
        assert!(paths.iter().all(|p| p.starts_with(BATCH_PREFIX)), "{paths:?}");
    });
}

/// Guards against items that never end because their endpoint is silent for a while in each run,
/// so that each run is given up at the same event.
#[test]
fn items_finish_although_each_run_is_silent() {
    fleet_world::run(async {
        let mut world = World::start(WITH_STORES).await;
        world.set_all_faults(fleet_world::pause(MIDDLE, ITEM_PAUSE));
        assert!(client::submit(&world.caller_addresses(), "slow", 5).await, "{}", world.logs());
        assert_eq!(finish_job(&mut world, "slow").await, Ok(()), "{}", world.logs());
    });
}

//! Endpoints that state in their answers how many requests a second they take from all hosts.

use crate::fleet_world;
use crate::fleet_world::Role;
use crate::fleet_world::Size;
use crate::fleet_world::World;
use crate::fleet_world::client;
use crate::fleet_world::client::StreamEnd;
use basilfield::emulator::plain;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinSet;
use tokio::time;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 3, endpoints: 4 };
/// Limit of an endpoint in requests a second.
const LIMIT: f64 = 2.5;
/// Time over which the requests to an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond the limit in one window: one that was due at its begin, and one that was late
/// before it.
const MAX_EXCESS: usize = 2;
/// Time after which every host knows a limit that one of them was told.
const IN_FORCE_TIME: Duration = Duration::from_millis(1_000);

/// Time within which a request that cannot be served must be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(400);
/// Longest time for a job of a dozen items to finish.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

fn limit(world: &World, endpoints: std::ops::Range<usize>, value: Option<&str>) {
    for at in endpoints {
        world.endpoint(at).set_limit(value);
    }
}

/// Most requests that an endpoint has got within any window that begins after `from`.
fn most_arrivals(endpoint: &plain::PlainEndpoint, from: time::Instant) -> usize {
    let arrivals: Vec<time::Instant> =
        endpoint.arrivals().iter().map(|a| a.at).filter(|at| *at >= from).collect();
    let count = |first: &time::Instant| {
        arrivals.iter().filter(|at| *at >= first && **at < *first + WINDOW).count()
    };
    arrivals.iter().map(count).max().unwrap_or(0)
}

/// Sends a stream every `pause` through one entry after the other. Returns how they ended, in the order
/// in which they were sent.
async fn send_streams(
    world: &World,
    name: &str,
    pause: Duration,
    length: Duration,
) -> Vec<StreamEnd> {
    let entries = world.caller_addresses();
    let mut streams = JoinSet::new();
    let begun = Instant::now();
    for n in 0.. {
        if begun.elapsed() >= length {
            break;
        }
        let (to, id) = (entries[n % entries.len()], format!("{name}-{n}"));
        streams
            .spawn(async move { (n, client::stream(to, fleet_world::STREAM_PREFIX, &id).await) });
        time::sleep(pause).await;
    }
    let mut ends = streams.join_all().await;
    ends.sort_by_key(|(n, _)| *n);
    ends.into_iter().map(|(_, end)| end).collect()
}

/// Guards against endpoints that get more requests than the limit that they have stated to some hosts,
/// and against requests that are refused while another endpoint has room.
#[test]
fn limited_endpoint_gets_more_than_its_limit() {
    fleet_world::run(async {
        let world = World::start(SIZE).await;
        limit(&world, 0..3, Some("2.5"));
        send_streams(&world, "first", Duration::from_millis(50), IN_FORCE_TIME).await;
        let from = time::Instant::now();
        let ends = send_streams(&world, "later", Duration::from_millis(50), 2 * WINDOW).await;
        let most: Vec<usize> = (0..3).map(|at| most_arrivals(world.endpoint(at), from)).collect();
        let allowed = (LIMIT * WINDOW.as_secs_f64()).ceil() as usize + MAX_EXCESS;
        assert!(most.iter().all(|n| *n <= allowed), "{most:?} of {allowed}\n{}", world.logs());
        let served = ends.iter().filter(|e| **e == StreamEnd::Complete).count();
        assert_eq!(served, ends.len(), "the fourth endpoint has room\n{}", world.logs());
    });
}

/// Guards against refused requests that wait, come without a time to return or are not explained,
/// items that starve, and limits that last longer than their statement.
#[test]
fn all_endpoints_are_limited() {
    fleet_world::run(async {
        let world = World::start(SIZE).await;
        limit(&world, 0..4, Some("2.5"));
        send_streams(&world, "first", Duration::from_millis(50), IN_FORCE_TIME).await;
        let entries = world.caller_addresses();
        assert!(client::submit(&entries, "job", 12).await, "{}", world.logs());
        let from = time::Instant::now();
        let ends = send_streams(&world, "later", Duration::from_millis(40), 2 * WINDOW).await;
        let most: Vec<usize> = (0..4).map(|at| most_arrivals(world.endpoint(at), from)).collect();
        let allowed = (LIMIT * WINDOW.as_secs_f64()).ceil() as usize + MAX_EXCESS;
        assert!(most.iter().all(|n| *n <= allowed), "{most:?} of {allowed}\n{}", world.logs());
        let is_served = |end: &StreamEnd| *end == StreamEnd::Complete;
        let served = ends.iter().filter(|e| is_served(e)).count();
        assert!(ends.iter().all(|e| is_served(e) || *e == StreamEnd::NotRun), "{ends:?}");
        // The endpoints take 80 requests in this time, a part of them items.
        assert!(served > 30, "{served} are served\n{}", world.logs());
        let finished = client::finish(&entries, "job", 12, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());

        let refused = ends.iter().position(|e| *e == StreamEnd::NotRun).expect("one is refused");
        let is_told = |text: &str| text.contains("request refused for the limits of endpoints");
        let explanation = world.explain(&format!("later-{refused}"), is_told).await;
        assert!(is_told(&explanation), "{explanation}");
        let refusals = (0..20).map(|n| {
            let (to, id) = (entries[n % entries.len()], format!("refused-{n}"));
            async move {
                let begun = Instant::now();
                let refusal = client::refusal(to, fleet_world::STREAM_PREFIX, &id).await;
                (refusal, begun.elapsed() < REFUSAL_TIME)
            }
        });
        let mut refusals = futures_util::future::join_all(refusals).await;
        refusals.retain(|((status, _), _)| *status == 503);
        refusals.dedup();
        assert_eq!(refusals, [((503, true), true)], "{}", world.logs());

        limit(&world, 0..4, None);
        send_streams(&world, "ended", Duration::from_millis(50), 2 * IN_FORCE_TIME).await;
        let ends = send_streams(&world, "after", Duration::from_millis(50), IN_FORCE_TIME).await;
        assert!(ends.iter().all(is_served), "{ends:?}\n{}", world.logs());
    });
}

/// Guards against limits that are forgotten when entries start again or another host leads the job
/// group, and against entries that send freely while no host leads it.
#[test]
fn restarted_hosts_exceed_the_limit() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        limit(&world, 0..4, Some("2.5"));
        let pause = Duration::from_millis(50);
        send_streams(&world, "first", pause, IN_FORCE_TIME).await;
        let from = time::Instant::now();
        send_streams(&world, "led", pause, IN_FORCE_TIME).await;
        for at in world.hosts_of(Role::Store) {
            world.kill(at);
        }
        send_streams(&world, "alone", pause, 3 * IN_FORCE_TIME).await;
        for at in world.hosts_of(Role::Store) {
            world.start_host(at, false);
        }
        send_streams(&world, "again", pause, 3 * IN_FORCE_TIME).await;
        let restarted = world.hosts_of(Role::Entry)[0];
        world.kill(restarted);
        world.start_host(restarted, false);
        world.wait_until_ready(restarted).await;
        send_streams(&world, "restarted", pause, WINDOW).await;
        let most: Vec<usize> = (0..4).map(|at| most_arrivals(world.endpoint(at), from)).collect();
        let allowed = (LIMIT * WINDOW.as_secs_f64()).ceil() as usize + MAX_EXCESS;
        assert!(most.iter().all(|n| *n <= allowed), "{most:?} of {allowed}\n{}", world.logs());
        let total = world.endpoints.iter().flatten().map(|e| e.arrivals().len()).sum::<usize>();
        assert!(total > 60, "{total} requests\n{}", world.logs());
    });
}

/// Guards against endpoints that get neither requests nor items any more after they have stated 0 for
/// a while, as in `review/8`.
#[test]
fn limit_of_zero_never_ends() {
    /// Time that the sites leave for items.
    const FINISH: Duration = Duration::from_secs(18);
    /// Requests that may reach an endpoint that states 0 in one window.
    const MOST: usize = 5;
    fleet_world::run(async {
        let world = World::start(SIZE).await;
        limit(&world, 0..4, Some("0"));
        send_streams(&world, "first", Duration::from_millis(50), IN_FORCE_TIME).await;
        let from = time::Instant::now();
        send_streams(&world, "need", Duration::from_millis(50), 2 * WINDOW).await;
        let most: Vec<usize> = (0..4).map(|at| most_arrivals(world.endpoint(at), from)).collect();
        assert!(most.iter().all(|n| *n <= MOST), "{most:?} in a window\n{}", world.logs());
        limit(&world, 0..4, None);
        let entries = world.caller_addresses();
        assert!(client::submit(&entries, "job", 12).await, "{}", world.logs());
        let finished = client::finish(&entries, "job", 12, &mut Vec::new(), FINISH).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
        let ends = send_streams(&world, "later", Duration::from_millis(50), WINDOW).await;
        let served = ends.iter().filter(|e| **e == StreamEnd::Complete).count();
        assert_eq!(served, ends.len(), "{}", world.logs());
    });
}

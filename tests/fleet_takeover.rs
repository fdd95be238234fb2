//! Tests of requests whose endpoint and its replacement are silent or fail, and of early refusals,
//! with processes over loopback.

mod fleet_world;

use basilfield::emulator::plain;
use fleet_world::ENDPOINT_OPTIONS;
use fleet_world::ONCE_PREFIX;
use fleet_world::ROUTE_HOST;
use fleet_world::Role;
use fleet_world::SAFE_PREFIX;
use fleet_world::STREAM_PREFIX;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::StreamEnd;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

const TWO_ENDPOINTS: Size = Size { controls: 3, losses: 1, stores: 0, entries: 1, endpoints: 2 };
const THREE_ENDPOINTS: Size = Size { endpoints: 3, ..TWO_ENDPOINTS };
const FIVE_ENDPOINTS: Size = Size { endpoints: 5, ..TWO_ENDPOINTS };
const FOUR_ENDPOINTS: Size = Size { endpoints: 4, ..TWO_ENDPOINTS };
const HANG: Duration = Duration::from_secs(60);
const MIDDLE: u64 = 10;
/// Time limit of requests whose bodies stop arriving.
const STALL_TIME: Duration = Duration::from_secs(2);
const OVERLAP_TIME: Duration = Duration::from_millis(400);

fn lost() -> plain::FaultRates {
    plain::FaultRates { lost_rate: 1.0, ..plain::FaultRates::default() }
}

fn declining() -> plain::FaultRates {
    plain::FaultRates { decline_rate: 1.0, ..plain::FaultRates::default() }
}

/// Starts a stream that hangs in the middle. Returns the index of its endpoint.
async fn start_hanging(world: &World, id: &str) -> (JoinHandle<StreamEnd>, usize) {
    start_with(world, id, fleet_world::pause(MIDDLE, HANG)).await
}

/// Starts a stream while all endpoints have `faults`. Returns the index of its endpoint.
async fn start_with(
    world: &World,
    id: &str,
    faults: plain::FaultRates,
) -> (JoinHandle<StreamEnd>, usize) {
    world.set_all_faults(faults);
    world.start_stream(STREAM_PREFIX, id).await
}

/// Index of the endpoint other than `first` that runs the request.
async fn second(world: &World, first: usize, id: &str) -> usize {
    let at = || (0..world.endpoints.len()).find(|at| *at != first && world.run_count(*at, id) > 0);
    assert!(
        fleet_world::wait_until(Duration::from_secs(3), || at().is_some()).await,
        "{}",
        world.logs()
    );
    at().expect("runs")
}

/// Guards against a stream that is lost because the endpoint asked to take it over hangs as well,
/// although a third one is free.
#[test]
fn third_endpoint_replaces_two_that_hang() {
    fleet_world::run(async {
        let world = World::start(THREE_ENDPOINTS).await;
        let (stream, first) = start_hanging(&world, "two-hang").await;
        let third = (first + 1) % 3;
        world.endpoint(3 - first - third).set_faults(lost());
        // An attempt that hangs there as well would use up the route.
        world.endpoint(third).set_faults(declining());
        second(&world, first, "two-hang").await;
        world.endpoint(third).set_faults(plain::FaultRates::default());
        assert_eq!(stream.await.expect("task"), StreamEnd::Complete, "{}", world.logs());
    });
}

/// Guards against a stream that is lost because its endpoint ends while the one asked to take it
/// over hangs, although a third one is free.
#[test]
fn third_endpoint_resumes_if_one_ends_and_one_hangs() {
    fleet_world::run(async {
        let mut world = World::start(THREE_ENDPOINTS).await;
        let (stream, first) = start_hanging(&world, "one-ends").await;
        let third = (first + 1) % 3;
        world.endpoint(3 - first - third).set_faults(lost());
        // An attempt that hangs there as well would use up the route.
        world.endpoint(third).set_faults(declining());
        second(&world, first, "one-ends").await;
        world.endpoint(third).set_faults(plain::FaultRates::default());
        world.crash_endpoint(first);
        assert_eq!(stream.await.expect("task"), StreamEnd::Complete, "{}", world.logs());
    });
}

/// Guards against two runs of a stream that go on for long, because the endpoint that takes it over
/// is slow to send the head of its answer.
#[test]
fn runs_do_not_overlap_while_replacement_is_slow() {
    fleet_world::run(async {
        let world = World::start(TWO_ENDPOINTS).await;
        let (stream, first) = start_hanging(&world, "overlap").await;
        world.endpoint(1 - first).set_faults(fleet_world::pause(0, Duration::from_millis(1_500)));
        let second = second(&world, first, "overlap").await;
        let begun = Instant::now();
        let running = |at| world.endpoint(at).running() > 0;
        let one = || !running(first) || !running(second);
        fleet_world::wait_until(Duration::from_secs(4), one).await;
        let overlap = begun.elapsed();
        let ended = stream.await.expect("task");
        assert!(overlap <= OVERLAP_TIME, "both ran for {overlap:?}, {ended:?}\n{}", world.logs());
    });
}

/// Guards against an endpoint that is avoided because it declined a request that another one then took
/// over: it has neither failed nor been silent.
#[test]
fn endpoint_that_declines_during_takeover_is_avoided() {
    fleet_world::run(async {
        let world = World::start(TWO_ENDPOINTS).await;
        // Another endpoint is asked after 1.2 s. The first one declines soon after, and the other one
        // takes longer to answer.
        let pause = Duration::from_millis(1_350);
        let late = plain::FaultRates { decline_pause: pause, ..declining() };
        world.endpoint(0).set_faults(late);
        world.endpoint(1).set_faults(fleet_world::pause(0, Duration::from_millis(800)));
        let mut ends = Vec::new();
        for n in 0..4 {
            ends.push(client::stream(world.entry(), STREAM_PREFIX, &format!("late-{n}")).await);
        }
        let log = world.logs_of(Role::Entry);
        let is_avoided = |l: &&str| l.contains("endpoint avoided") && l.contains("declined");
        let avoided: Vec<&str> = log.lines().filter(is_avoided).collect();
        assert!(log.contains("\"asked\":"), "{log}");
        assert!(avoided.is_empty(), "{ends:?} {avoided:?}\n{log}");
    });
}

/// Guards against an endpoint that answers with errors and is not avoided, because its answer is passed
/// on to a caller whose request must not be repeated, or not any more.
#[test]
fn endpoint_whose_error_is_passed_on_is_not_avoided() {
    fleet_world::run(async {
        let world = World::start(THREE_ENDPOINTS).await;
        world.set_all_faults(plain::FaultRates { error_rate: 1.0, ..Default::default() });
        let is_avoided = |l: &&str| l.contains("endpoint avoided") && l.contains("status 500");
        let count = || world.logs_of(Role::Entry).lines().filter(is_avoided).count();
        for (prefix, expected) in [(SAFE_PREFIX, 3), (ONCE_PREFIX, 4)] {
            let ended = client::stream(world.entry(), prefix, "error").await;
            assert_eq!(ended, StreamEnd::Status(500), "{prefix}\n{}", world.logs());
            // Processes write their lines in the background.
            fleet_world::wait_until(HANG / 10, || count() >= expected).await;
            assert_eq!(count(), expected, "{prefix}\n{}", world.logs());
        }
    });
}

/// Guards against a stream that cannot be resumed after its endpoint ends, because the only other
/// endpoint declined to take it over some time before.
#[test]
fn endpoint_that_declined_takeover_resumes_later() {
    fleet_world::run(async {
        let mut world = World::start(TWO_ENDPOINTS).await;
        let (stream, first) = start_hanging(&world, "declined").await;
        world.endpoint(1 - first).set_faults(declining());
        time::sleep(Duration::from_millis(1_500)).await;
        world.endpoint(1 - first).set_faults(plain::FaultRates::default());
        world.crash_endpoint(first);
        assert_eq!(stream.await.expect("task"), StreamEnd::Complete, "{}", world.logs());
    });
}

/// Guards against a stream that cannot be resumed after its endpoint ends, because the attempt to
/// take it over during an earlier silence is counted more than once.
#[test]
fn stream_is_resumed_after_cancelled_takeover() {
    fleet_world::run(async {
        let mut world = World::start(THREE_ENDPOINTS).await;
        let slow = plain::FaultRates {
            slowdown: 5.0,
            ..fleet_world::pause(2, Duration::from_millis(1_500))
        };
        let (stream, first) = start_with(&world, "cancelled", slow).await;
        for at in (0..3).filter(|at| *at != first) {
            world.endpoint(at).set_faults(lost());
        }
        let second = second(&world, first, "cancelled").await;
        let cancelled = || world.endpoint(second).running() == 0;
        assert!(
            fleet_world::wait_until(Duration::from_secs(3), cancelled).await,
            "{}",
            world.logs()
        );
        for at in (0..3).filter(|at| *at != first) {
            world.endpoint(at).set_faults(plain::FaultRates::default());
        }
        world.crash_endpoint(first);
        assert_eq!(stream.await.expect("task"), StreamEnd::Complete, "{}", world.logs());
    });
}

/// Guards against a stream that is lost because its endpoint hangs and the others declined to take
/// it over for a moment, although they are free soon after.
#[test]
fn hanging_endpoint_is_replaced_after_others_declined() {
    fleet_world::run(async {
        let world = World::start(FIVE_ENDPOINTS).await;
        let (stream, first) = start_hanging(&world, "busy").await;
        let others = || (0..5).filter(|at| *at != first).map(|at| world.endpoint(at));
        others().for_each(|e| e.set_faults(declining()));
        time::sleep(Duration::from_millis(1_600)).await;
        others().for_each(|e| e.set_faults(plain::FaultRates::default()));
        assert_eq!(stream.await.expect("task"), StreamEnd::Complete, "{}", world.logs());
    });
}

/// Guards against a silent endpoint that is not replaced for long, because those that declined are
/// asked again before others, which may be free.
#[test]
fn endpoints_that_declined_are_asked_last() {
    fleet_world::run(async {
        let world = World::start(FIVE_ENDPOINTS).await;
        let (stream, first) = start_hanging(&world, "in-turn").await;
        let others = || (0..5).filter(|at| *at != first).map(|at| world.endpoint(at));
        others().for_each(|e| e.set_faults(declining()));
        let asked = || {
            let log = world.logs_of(Role::Entry);
            let lines = log.lines().filter(|l| l.contains("in-turn"));
            let asked = lines.filter_map(|l| l.split_once("\"asked\":\"")).map(|(_, rest)| rest);
            asked.filter_map(|rest| rest.split('"').next()).map(str::to_string).collect::<Vec<_>>()
        };
        assert!(fleet_world::wait_until(HANG / 10, || asked().len() >= 4).await, "{:?}", asked());
        others().for_each(|e| e.set_faults(plain::FaultRates::default()));
        let mut turn = asked();
        turn.truncate(4);
        turn.sort();
        turn.dedup();
        assert_eq!(turn.len(), 4, "{:?}", asked());
        assert_eq!(stream.await.expect("task"), StreamEnd::Complete, "{}", world.logs());
    });
}

/// Guards against a broken stream that asks only the endpoint of its own failure domain again and
/// again, although others of its build may be free by then.
#[test]
fn broken_stream_asks_endpoints_in_turn() {
    fleet_world::run(async {
        let mut world = World::start(THREE_ENDPOINTS).await;
        let (stream, first) = start_hanging(&world, "broken").await;
        let others: Vec<usize> = (0..3).filter(|at| *at != first).collect();
        others.iter().for_each(|at| world.endpoint(*at).set_faults(declining()));
        // The caller has the events before the pause by then.
        time::sleep(Duration::from_millis(300)).await;
        world.crash_endpoint(first);
        let asked = |at: &usize| {
            let log = world.logs_of(Role::Entry);
            let endpoint = format!("\"endpoint\":\"{}\"", world.endpoint(*at).id());
            log.lines().filter(|l| l.contains("attempt sent") && l.contains(&*endpoint)).count()
        };
        let least = || others.iter().map(asked).min();
        let in_turn = fleet_world::wait_until(HANG / 20, || least() >= Some(2)).await;
        others.iter().for_each(|at| world.endpoint(*at).set_faults(plain::FaultRates::default()));
        assert!(in_turn, "{}", world.logs());
        assert_eq!(stream.await.expect("task"), StreamEnd::Complete, "{}", world.logs());
    });
}

/// Fills two endpoints whose answers pause for `length` and crashes one of them soon after. Returns
/// the number of streams that were cut off.
async fn crash_one_of_two_full(world: &mut World, length: Duration) -> usize {
    world.set_all_faults(fleet_world::pause(MIDDLE, length));
    let to = world.entry();
    let slots = world.endpoints.len() * ENDPOINT_OPTIONS.0;
    let start = |n| {
        tokio::spawn(async move { client::stream(to, STREAM_PREFIX, &format!("full-{n}")).await })
    };
    let streams: Vec<JoinHandle<StreamEnd>> = (0..slots).map(start).collect();
    assert!(fleet_world::wait_until(Duration::from_secs(1), || slots == world.running()).await);
    time::sleep(Duration::from_millis(300)).await;
    world.crash_endpoint(0);
    let mut cut = 0;
    for stream in streams {
        cut += usize::from(stream.await.expect("task") != StreamEnd::Complete);
    }
    cut
}

/// Guards against streams that are not resumed after their endpoint ended because every slot is taken
/// for a moment.
#[test]
fn broken_streams_wait_for_slots() {
    fleet_world::run(async {
        let mut world = World::start(TWO_ENDPOINTS).await;
        let cut = crash_one_of_two_full(&mut world, Duration::from_millis(600)).await;
        assert_eq!(cut, 0, "{}", world.logs());
    });
}

/// Guards against streams that are not resumed after their endpoint ended because the requests in the
/// slots run for longer than the wait for a new stream, although their callers wait on.
#[test]
fn broken_streams_wait_as_long_as_their_callers() {
    fleet_world::run(async {
        let mut world = World::start(TWO_ENDPOINTS).await;
        let cut = crash_one_of_two_full(&mut world, Duration::from_secs(2)).await;
        assert_eq!(cut, 0, "{}", world.logs());
    });
}

/// Lets an item hang at an endpoint that has more free slots than the other one. Returns the number of
/// streams at the other one and of runs of the item there, or `None` if a change of the leader started
/// the item again.
async fn move_item_to_busier_endpoint() -> Option<(usize, usize)> {
    let mut world = World::start(Size { stores: 3, ..TWO_ENDPOINTS }).await;
    world.set_all_faults(fleet_world::pause(MIDDLE, HANG));
    assert!(client::submit(&world.caller_addresses(), "stuck", 1).await, "{}", world.logs());
    let at = || (0..2).find(|at| world.run_count(*at, "stuck-0") > 0);
    assert!(
        fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, || at().is_some()).await,
        "{}",
        world.logs()
    );
    let begun = Instant::now();
    let first = at().expect("runs");
    world.endpoint(first).set_faults(plain::FaultRates::default());
    let to = world.entry();
    let other = 1 - first;
    let mut streams = Vec::new();
    for n in 0..40 {
        if world.endpoint(other).running() >= 3 {
            break;
        }
        let id = format!("hang-{n}");
        streams.push(tokio::spawn(async move { client::stream(to, ONCE_PREFIX, &id).await }));
        time::sleep(Duration::from_millis(30)).await;
    }
    let online = world.endpoint(other).running();
    world.endpoint(other).set_faults(plain::FaultRates::default());
    while begun.elapsed() < Duration::from_millis(4_800) {
        world.send_heartbeats().await;
        time::sleep(Duration::from_millis(200)).await;
    }
    let logs = world.logs_of(Role::Store);
    let elections = logs.lines().filter(|l| l.contains(r#""role":"leader","group":1,"event":300"#));
    if world.run_count(first, "stuck-0") > 1 && elections.count() > 1 {
        return None;
    }
    let moved = world.run_count(other, "stuck-0");
    if (online, moved) != (3, 1) {
        eprintln!("{}", world.logs());
    }
    Some((online, moved))
}

/// Guards against an item that stays at an endpoint that hangs, although another one has free slots,
/// because the one that hangs has more of them.
#[test]
fn item_leaves_hanging_endpoint_with_more_free_slots() {
    fleet_world::run(async {
        for _ in 0..3 {
            if let Some(seen) = move_item_to_busier_endpoint().await {
                return assert_eq!(seen, (3, 1));
            }
        }
        panic!("the leader changed each time");
    });
}

/// Sends a request with a body of `len` bytes on a raw connection: all of it before reading.
/// Returns the first line of the answer, or the error.
async fn send_raw(to: SocketAddr, path: &str, id: &str, len: usize, chunked: bool) -> String {
    let mut stream = TcpStream::connect(to).await.expect("connected");
    let framing = match chunked {
        true => "transfer-encoding: chunked".to_string(),
        false => format!("content-length: {len}"),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nx-basilfield-request-id: {id}\r\n\
         x-basilfield-deadline-ms: 6000\r\n{framing}\r\n\r\n"
    );
    let body = vec![b'x'; len];
    let mut message = head.into_bytes();
    if chunked {
        message.extend(format!("{len:x}\r\n").into_bytes());
    }
    message.extend(&body);
    if chunked {
        message.extend(b"\r\n0\r\n\r\n");
    }
    // An answer may have arrived although the connection was closed during the write.
    let written = stream.write_all(&message).await;
    let mut buffer = vec![0; 512];
    match time::timeout(Duration::from_secs(3), stream.read(&mut buffer)).await {
        Ok(Ok(0)) => "closed".to_string(),
        Ok(Ok(n)) => {
            String::from_utf8_lossy(&buffer[..n]).lines().next().unwrap_or_default().to_string()
        }
        Ok(Err(error)) => format!("read: {:?}, written: {written:?}", error.kind()),
        Err(_) => "no answer".to_string(),
    }
}

/// Guards against a refusal that does not arrive, because the connection is reset while the rest of
/// the body is still on its way.
#[test]
fn refusal_arrives_although_body_is_long() {
    fleet_world::run(async {
        let mut world = World::start(TWO_ENDPOINTS).await;
        let to = world.entry();
        let mut seen = Vec::new();
        for (len, chunked) in [(100, false), (100, true), (100_000, true), (3_000_000, false)] {
            for n in 0..5 {
                let id = format!("early-{len}-{chunked}-{n}");
                let ended = send_raw(to, &format!("/none/{id}"), &id, len, chunked).await;
                seen.push(format!("no route {len} {chunked}: {ended}"));
            }
        }
        // A stream that is still running keeps the process from stopping.
        world.set_all_faults(fleet_world::pause(MIDDLE, Duration::from_secs(5)));
        let running =
            tokio::spawn(async move { client::stream(to, ONCE_PREFIX, "until-the-end").await });
        time::sleep(Duration::from_millis(200)).await;
        world.terminate(world.hosts_of(Role::Entry)[0]);
        time::sleep(Duration::from_millis(2_900)).await;
        for (len, chunked) in [(100, false), (100, true), (100_000, true), (3_000_000, false)] {
            for n in 0..3 {
                let id = format!("stop-{len}-{chunked}-{n}");
                let path = format!("{STREAM_PREFIX}{id}");
                let ended = send_raw(to, &path, &id, len, chunked).await;
                seen.push(format!("stopping {len} {chunked}: {ended}"));
            }
        }
        drop(running);
        let lost: Vec<&String> = seen.iter().filter(|s| !s.contains("HTTP/1.1")).collect();
        assert!(lost.is_empty(), "{} of {}: {lost:#?}", lost.len(), seen.len());
    });
}

/// Guards against refusals of requests with small chunked bodies while most slots are free.
#[test]
fn small_chunked_bodies_are_not_refused() {
    fleet_world::run(async {
        let world = World::start(FOUR_ENDPOINTS).await;
        world.set_all_faults(fleet_world::pause(MIDDLE, Duration::from_secs(1)));
        let to = world.entry();
        let count = 20;
        assert!(count < world.endpoints.len() * ENDPOINT_OPTIONS.0);
        for chunked in [false, true] {
            let start = |n| {
                tokio::spawn(async move {
                    let id = format!("chunked-{chunked}-{n}");
                    send_raw(to, &format!("{STREAM_PREFIX}{id}"), &id, 100, chunked).await
                })
            };
            let calls: Vec<JoinHandle<String>> = (0..count).map(start).collect();
            let mut seen = Vec::new();
            for call in calls {
                seen.push(call.await.expect("task"));
            }
            let refused = seen.iter().filter(|s| !s.contains(" 200 ")).count();
            assert_eq!(refused, 0, "chunked: {chunked}\n{}", world.logs());
            time::sleep(Duration::from_secs(2)).await;
        }
    });
}

/// Opens a connection and sends the head of a request and one chunk of `len` bytes, but not the end
/// of the body.
async fn start_chunked(to: SocketAddr, id: &str, len: usize) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("connected");
    let head = format!(
        "POST {STREAM_PREFIX}{id} HTTP/1.1\r\nhost: {ROUTE_HOST}\r\n\
         x-basilfield-request-id: {id}\r\nx-basilfield-deadline-ms: {}\r\n\
         transfer-encoding: chunked\r\n\r\n{len:x}\r\n",
        STALL_TIME.as_millis()
    );
    // The entry may refuse the request before all of it has arrived.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&vec![b'x'; len]).await;
    stream
}

/// Guards against refusals of small requests because bodies whose length is not stated, of which
/// little has arrived, hold the memory of the largest ones.
#[test]
fn unfinished_chunked_bodies_hold_little_memory() {
    fleet_world::run(async {
        let world = World::start(TWO_ENDPOINTS).await;
        let to = world.entry();
        let mut unfinished = Vec::new();
        for n in 0..40 {
            unfinished.push(start_chunked(to, &format!("unfinished-{n}"), 100).await);
        }
        time::sleep(Duration::from_millis(100)).await;
        let path = format!("{STREAM_PREFIX}small");
        let seen = send_raw(to, &path, "small", 100, true).await;
        drop(unfinished);
        assert!(seen.contains(" 200 "), "{seen}\n{}", world.logs());
    });
}

/// Guards against long bodies that hold all memory for ever because each waits for the rest of
/// itself or for the memory of the others.
#[test]
fn stalled_bodies_release_their_memory() {
    fleet_world::run(async {
        let world = World::start(TWO_ENDPOINTS).await;
        let to = world.entry();
        let begun = Instant::now();
        let start = |n| {
            tokio::spawn(async move {
                let mut stream = start_chunked(to, &format!("stalled-{n}"), 4_000_000).await;
                let mut buffer = vec![0; 512];
                let read = time::timeout(STALL_TIME * 4, stream.read(&mut buffer)).await;
                (matches!(read, Ok(Ok(n)) if n > 0), begun.elapsed())
            })
        };
        let mut ended = Vec::new();
        for call in (0..20).map(start).collect::<Vec<_>>() {
            ended.push(call.await.expect("task"));
        }
        let path = format!("{STREAM_PREFIX}after");
        let after = send_raw(to, &path, "after", 4_000_000, true).await;
        let early = ended.iter().filter(|(_, at)| *at < STALL_TIME).count();
        let late = ended.iter().filter(|(_, at)| *at > STALL_TIME * 2).count();
        assert_eq!((early > 0, late), (true, 0), "{ended:?}\n{}", world.logs());
        assert!(after.contains(" 200 "), "{after} {ended:?}\n{}", world.logs());
    });
}

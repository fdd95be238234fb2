//! Services with few slots.

mod fleet_world;

use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::StreamEnd;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use tokio::time;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 2, endpoints: 1 };
/// Time that the sites leave for the items of a job.
const FINISH: Duration = Duration::from_secs(18);
const ITEMS: usize = 10;
/// Time that the caller of an online request has.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time after which it returns if its request has not run.
const RETURN_TIME: Duration = Duration::from_millis(250);
/// Interval between online requests, longer than one runs.
const STREAM_INTERVAL: Duration = Duration::from_millis(1_500);

/// Sends an online request until it is served, as long as it has not run and its deadline has not
/// passed. The endpoints of the emulator have no queue, so one that is full declines it.
async fn is_served(entries: &[SocketAddr], n: usize) -> bool {
    let begun = Instant::now();
    for attempt in 0.. {
        let (to, id) = (entries[(n + attempt) % entries.len()], format!("s-{n}-{attempt}"));
        match client::stream(to, fleet_world::STREAM_PREFIX, &id).await {
            StreamEnd::Complete => return true,
            StreamEnd::NotRun if begun.elapsed() < DEADLINE => time::sleep(RETURN_TIME).await,
            _ => return false,
        }
    }
    false
}

/// Plays a job beside online requests that come one after the other. Returns the requests without an
/// answer, if the job is done in time.
async fn play(endpoints: usize, slots: usize) -> Result<usize, String> {
    let world = World::start_with_builds(SIZE, &vec!["v1"; endpoints], slots).await;
    let entries = world.caller_addresses();
    assert!(client::submit(&entries, "job", ITEMS).await, "{}", world.logs());
    let streams = async {
        let (begun, mut unanswered) = (Instant::now(), 0);
        for n in 0.. {
            if begun.elapsed() >= FINISH / 2 {
                break;
            }
            unanswered += usize::from(!is_served(&entries, n).await);
            time::sleep(STREAM_INTERVAL).await;
        }
        unanswered
    };
    let mut seen = Vec::new();
    let job = client::finish(&entries, "job", ITEMS, &mut seen, FINISH);
    let (unanswered, finished) = tokio::join!(streams, job);
    finished.map_err(|e| format!("{e}\n{}", world.logs()))?;
    Ok(unanswered)
}

/// Guards against endpoints with one, two or three slots at which no item ever runs, also if there is
/// only one endpoint, and against items that keep online requests from them, as in `review/9`.
#[test]
fn items_never_run_at_services_with_few_slots() {
    fleet_world::run(async {
        let plays = tokio::join!(play(1, 1), play(4, 1), play(1, 2), play(2, 3));
        assert_eq!(plays, (Ok(0), Ok(0), Ok(0), Ok(0)), "online requests without an answer");
    });
}

//! Endpoints of a running fleet that are slow, or fail a part of their requests.

mod fleet_world;

use fleet_world::scripted::Answer;
use fleet_world::scripted::Fleet;
use fleet_world::scripted::LAST_EVENT;
use fleet_world::scripted::STREAM_FIELDS;
use fleet_world::scripted::events;
use fleet_world::scripted::framed;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time in which an entry finds an endpoint that deviates. It compares them every 0.5 s.
const FINDING_TIMEOUT: Duration = Duration::from_secs(15);

/// Endpoint that writes an event in each `pace`, and answers each `failing`th request with an error.
fn endpoint(pace: Duration, failing: usize) -> Arc<Answer> {
    let asked = AtomicUsize::new(1);
    Arc::new(move |request, stream| {
        if asked.fetch_add(1, Ordering::Relaxed).is_multiple_of(failing) {
            let text = framed("500 Internal Server Error", &request.id, "", "failed");
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        let body = events(request.last_event, LAST_EVENT);
        let text = framed("200 OK", &request.id, STREAM_FIELDS, &body);
        for part in text.split_inclusive("\n\n") {
            stream.write_all(part.as_bytes())?;
            std::thread::sleep(pace);
        }
        Ok(true)
    })
}

/// Sends streams that may be repeated until an entry has logged `finding`.
async fn wait_for_finding(fleet: &Fleet, finding: &str) {
    let finding = format!("\"finding\":\"{finding}\"");
    let begun = std::time::Instant::now();
    for n in 0.. {
        if fleet.world.logs().contains(&finding) {
            return;
        }
        assert!(begun.elapsed() < FINDING_TIMEOUT, "{}", fleet.world.logs());
        fleet.ask("HTTP/1.1", fleet_world::STREAM_PREFIX, &format!("learn-{n}")).await;
    }
}

/// Guards against requests that may run only once and are sent to an endpoint that fails a part of its
/// requests, although others have free slots.
#[test]
fn requests_that_run_once_avoid_a_failing_endpoint() {
    fleet_world::run(async {
        let sound = endpoint(Duration::ZERO, usize::MAX);
        let failing = endpoint(Duration::ZERO, 3);
        let fleet = Fleet::start(vec![failing, sound.clone(), sound]).await;
        wait_for_finding(&fleet, "failing").await;
        let mut failed = 0;
        for n in 0..120 {
            let answer =
                fleet.ask("HTTP/1.1", fleet_world::ONCE_PREFIX, &format!("once-{n}")).await;
            failed += u32::from(!answer.starts_with("HTTP/1.1 200"));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(failed, 0);
    });
}

/// Guards against an endpoint that is slower than the others and is not found, since the paces of its
/// responses do not reach what entries learn.
#[test]
fn slow_endpoint_is_found() {
    fleet_world::run(async {
        let sound = endpoint(Duration::from_millis(8), usize::MAX);
        let slow = endpoint(Duration::from_millis(32), usize::MAX);
        let fleet = Fleet::start(vec![slow, sound.clone(), sound]).await;
        wait_for_finding(&fleet, "slow").await;
    });
}

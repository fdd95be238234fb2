//! The operator moves the route of the batch jobs to another service, whose servers have one slot each.
//! A job that is accepted after that has to be done when `finishS` is over.

#[path = "../standin-2/lab.rs"]
#[allow(dead_code)]
mod lab;

use lab::{Record, Server, Work, ZONES};
use std::thread;
use std::time::{Duration, Instant};

const BATCH: &str = "/pule252/";
const STREAM: &str = "/lohu930/2f";
const LARGE: &str = "needle-llm";
/// Service whose servers have one slot, in the configuration and in their heartbeats.
const SMALL: &str = "badge-llm";
/// Time after the acknowledgement of the change: `applyMs` (2 s) and a second more.
const APPLIED: Duration = Duration::from_secs(3);
/// Traffic goes on for this long after the submission.
const AFTER: Duration = Duration::from_secs(8);
const FINISH: Duration = Duration::from_secs(18);

/// Configuration with the batch route at one of the two services.
fn config(version: u64, batch: &str) -> String {
    let routes = [
        lab::route("r-hint", "/lohu930/", "streaming", SMALL, 2, true),
        lab::batch_route("r-plan", BATCH, batch, lab::TARGET),
    ];
    let mut text = lab::config(version, &routes, &[LARGE, SMALL]);
    let slots = format!("\"slots\":{}", lab::SLOTS);
    let at = text.rfind(&slots).expect("slots of the second service");
    text.replace_range(at..at + slots.len(), "\"slots\":1");
    text
}

fn main() {
    let record = Record::create("review/9/record.txt".as_ref());
    let work = |slots| Work {
        prefill: Duration::from_millis(30),
        events: 60,
        step: Duration::from_millis(20),
        deadly: None,
        limit: None,
        slots,
    };
    let (fleet, servers) = lab::set_up(&record, &config(1, LARGE), |fleet| {
        let server = |n: u8| {
            let (service, slots) = if n < 3 { (LARGE, lab::SLOTS) } else { (SMALL, 1) };
            Server::new(fleet, n, service, ZONES[n as usize % 3], work(slots))
        };
        (0..9).map(server).collect()
    });
    let entries = fleet.entries();
    if lab::has_trouble() {
        let (status, _) = fleet.operator("PUT", "/-/config", &config(2, SMALL), Duration::from_secs(4));
        if status != 200 {
            lab::finish(fleet, &record, 2, "the change was not acknowledged");
        }
    }
    thread::sleep(APPLIED);
    if !lab::submit(&record, &entries, BATCH, "7c41e0", &lab::prompts("9c2e41", 0x5d07_0000, 10)) {
        lab::finish(fleet, &record, 2, "the job was not accepted");
    }
    let submitted = Instant::now();
    // The servers with one slot are sound: they answer online requests.
    let mut sent = 0;
    while submitted.elapsed() < AFTER {
        let prompt = format!("5c1e07a2:200,{:x}:250", 0x70_0000 + sent);
        let to = entries[sent % entries.len()];
        lab::send_stream(&record, to, STREAM, format!("hint{sent:04x}"), prompt);
        sent += 1;
        thread::sleep(Duration::from_millis(500));
    }
    let end = submitted + AFTER + FINISH;
    match lab::unlisted_at(&record, &entries, &servers, "7c41e0", 10, end) {
        Some(broken) => lab::finish(fleet, &record, 1, &broken),
        None => lab::finish(fleet, &record, 0, "all items are listed in time"),
    }
}

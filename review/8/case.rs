//! Servers in need name the limit 0 for three seconds. A batch job that is accepted right after that has
//! to be done when `finishS` is over.

#[path = "../standin-2/lab.rs"]
#[allow(dead_code)]
mod lab;

use lab::{Record, Server, Work, ZONES};
use std::thread;
use std::time::{Duration, Instant};

const BATCH: &str = "/pule252/";
const STREAM: &str = "/lohu930/2f";
const SERVICE: &str = "needle-llm";
const NEED: Duration = Duration::from_secs(3);
/// Traffic goes on for this long after the need.
const AFTER: Duration = Duration::from_secs(4);
const FINISH: Duration = Duration::from_secs(18);

fn main() {
    let record = Record::create("review/8/record.txt".as_ref());
    let work = Work {
        prefill: Duration::from_millis(30),
        events: 36,
        step: Duration::from_millis(5),
        deadly: None,
        limit: None,
        slots: lab::SLOTS,
    };
    let routes = [
        lab::route("r-hint", "/lohu930/", "streaming", SERVICE, 2, true),
        lab::batch_route("r-plan", BATCH, SERVICE, lab::TARGET),
    ];
    let (fleet, servers) = lab::set_up(&record, &lab::config(1, &routes, &[SERVICE]), |fleet| {
        (0..9).map(|n| Server::new(fleet, n, SERVICE, ZONES[n as usize % 3], work.clone())).collect()
    });
    let entries = fleet.entries();
    let mut sent = 0;
    let mut send_for = |time: Duration| {
        let begun = Instant::now();
        while begun.elapsed() < time {
            let prompt = format!("5c1e07a2:200,{:x}:250", 0x70_0000 + sent);
            let to = entries[sent % entries.len()];
            lab::send_stream(&record, to, STREAM, format!("hint{sent:04x}"), prompt);
            sent += 1;
            thread::sleep(Duration::from_millis(25));
        }
    };
    send_for(Duration::from_secs(2));
    if lab::has_trouble() {
        servers.iter().for_each(|s| s.set_limit(Some("0")));
    }
    send_for(NEED);
    if lab::has_trouble() {
        servers.iter().for_each(|s| s.set_limit(None));
    }
    if !lab::submit(&record, &entries, BATCH, "7c41e0", &lab::prompts("9c2e41", 0x5d07_0000, 10)) {
        lab::finish(fleet, &record, 2, "the job was not accepted");
    }
    send_for(AFTER);
    let end = Instant::now() + FINISH;
    match lab::unlisted_at(&record, &entries, &servers, "7c41e0", 10, end) {
        Some(broken) => lab::finish(fleet, &record, 1, &broken),
        None => lab::finish(fleet, &record, 0, "all items are listed in time"),
    }
}

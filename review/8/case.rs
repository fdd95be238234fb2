//! A service has one server with eight slots and eight servers with one slot. The large one is lost for
//! good. A batch job that was accepted has to be done when `finishS` is over.

#[path = "../standin-2/lab.rs"]
#[allow(dead_code)]
mod lab;

use lab::{Record, Server, Work, ZONES};
use std::thread;
use std::time::{Duration, Instant};

const BATCH: &str = "/pule252/";
const SERVICE: &str = "needle-llm";
/// Traffic goes on for this long after the loss.
const AFTER: Duration = Duration::from_secs(8);
const FINISH: Duration = Duration::from_secs(18);

fn main() {
    let record = Record::create("review/8/record.txt".as_ref());
    let work = |slots| Work {
        prefill: Duration::from_millis(30),
        events: 60,
        step: Duration::from_millis(20),
        deadly: None,
        limit: None,
        slots,
    };
    let routes = [
        lab::route("r-hint", "/lohu930/", "streaming", SERVICE, 2, true),
        lab::batch_route("r-plan", BATCH, SERVICE, lab::TARGET),
    ];
    let (fleet, servers) = lab::set_up(&record, &lab::config(1, &routes, &[SERVICE]), |fleet| {
        let server = |n: u8| {
            let slots = if n == 0 { lab::SLOTS } else { 1 };
            Server::new(fleet, n, SERVICE, ZONES[n as usize % 3], work(slots))
        };
        (0..9).map(server).collect()
    });
    let entries = fleet.entries();
    if !lab::submit(&record, &entries, BATCH, "7c41e0", &lab::prompts("9c2e41", 0x5d07_0000, 10)) {
        lab::finish(fleet, &record, 2, "the job was not accepted");
    }
    thread::sleep(Duration::from_millis(500));
    let lost = Instant::now();
    if lab::has_trouble() {
        servers[0].crash();
    }
    // The remaining servers are sound: they answer online requests.
    let mut sent = 0;
    while lost.elapsed() < AFTER {
        let prompt = format!("5c1e07a2:200,{:x}:250", 0x70_0000 + sent);
        let to = entries[sent % entries.len()];
        lab::send_stream(&record, to, "/lohu930/2f", format!("hint{sent:04x}"), prompt);
        sent += 1;
        thread::sleep(Duration::from_millis(500));
    }
    match lab::unlisted_at(&record, &entries, &servers, "7c41e0", 10, lost + AFTER + FINISH) {
        Some(broken) => lab::finish(fleet, &record, 1, &broken),
        None => lab::finish(fleet, &record, 0, "all items are listed in time"),
    }
}

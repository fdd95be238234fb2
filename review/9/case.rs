//! The three servers of a service, all of one zone, crash while the first items of a job are about to
//! write. The servers are back after 4.5 s. The job has to be done when `finishS` is over.

#[path = "../standin-2/lab.rs"]
#[allow(dead_code)]
mod lab;

use lab::{Record, Server, Work, ZONES};
use std::thread;
use std::time::{Duration, Instant};

const BATCH: &str = "/pule252/";
const PLANS: &str = "badge-llm";
const HINTS: &str = "needle-llm";
const DOWN: Duration = Duration::from_millis(4_500);
/// Traffic goes on for this long after the crash.
const AFTER: Duration = Duration::from_secs(8);
const FINISH: Duration = Duration::from_secs(18);

fn main() {
    let record = Record::create("review/9/record.txt".as_ref());
    let work = Work {
        prefill: Duration::from_millis(400),
        events: 60,
        step: Duration::from_millis(20),
        deadly: None,
        limit: None,
        slots: lab::SLOTS,
    };
    let routes = [
        lab::route("r-hint", "/lohu930/", "streaming", HINTS, 2, true),
        lab::batch_route("r-plan", BATCH, PLANS, lab::TARGET),
    ];
    let config = lab::config(1, &routes, &[HINTS, PLANS]);
    let (fleet, servers) = lab::set_up(&record, &config, |fleet| {
        let plans = (0..3).map(|n| Server::new(fleet, n, PLANS, ZONES[0], work.clone()));
        let hints = (3..9).map(|n| {
            Server::new(fleet, n, HINTS, ZONES[1 + n as usize % 2], work.clone())
        });
        plans.chain(hints).collect()
    });
    let (entries, plans) = (fleet.entries(), &servers[..3]);
    // An earlier job with another shared part shows that the servers and the path are sound.
    let early = lab::submit(&record, &entries, BATCH, "aa10", &lab::prompts("5c1e07", 0x1000, 10));
    let soon = Instant::now() + Duration::from_secs(8);
    if !early || lab::unlisted_at(&record, &entries, plans, "aa10", 10, soon).is_some() {
        lab::finish(fleet, &record, 2, "the first job was not done");
    }
    if !lab::submit(&record, &entries, BATCH, "bb20", &lab::prompts("91bd3f", 0x2000, 10)) {
        lab::finish(fleet, &record, 2, "the job was not accepted");
    }
    let begun = Instant::now();
    while plans.iter().any(|s| !s.has("bb20")) {
        if begun.elapsed() > Duration::from_secs(3) {
            lab::finish(fleet, &record, 2, "the items did not begin at every server");
        }
        thread::sleep(Duration::from_millis(2));
    }
    let crashed = Instant::now();
    if lab::has_trouble() {
        plans.iter().for_each(Server::crash);
        thread::sleep(DOWN.saturating_sub(crashed.elapsed()));
        plans.iter().for_each(Server::start);
    }
    let mut sent = 0;
    while crashed.elapsed() < AFTER {
        let prompt = format!("5c1e07a2:200,{:x}:250", 0x70_0000 + sent);
        let to = entries[sent % entries.len()];
        lab::send_stream(&record, to, "/lohu930/2f", format!("hint{sent:04x}"), prompt);
        sent += 1;
        thread::sleep(Duration::from_millis(100));
    }
    let broken = lab::unlisted_at(&record, &entries, plans, "bb20", 10, crashed + AFTER + FINISH);
    for line in fleet.log_lines("cause of crashes quarantined") {
        record.note(line);
    }
    match broken {
        Some(broken) => lab::finish(fleet, &record, 1, &broken),
        None => lab::finish(fleet, &record, 0, "all items are listed in time"),
    }
}

//! The servers of one service are lost for good while a job for it waits. A job for another service, whose
//! servers are sound and idle, has to be done when `finishS` is over.

#[path = "../standin-2/lab.rs"]
#[allow(dead_code)]
mod lab;

use lab::{Record, Server, Work, ZONES};
use std::thread;
use std::time::{Duration, Instant};

const NIGHTLY: &str = "/pule252/";
const URGENT: &str = "/vade118/";
const LOST: &str = "badge-llm";
const SOUND: &str = "needle-llm";
const FINISH: Duration = Duration::from_secs(18);

fn main() {
    let record = Record::create("review/7/record.txt".as_ref());
    let work = Work {
        prefill: Duration::from_millis(60),
        events: 160,
        step: Duration::from_millis(20),
        deadly: None,
        limit: None,
        slots: lab::SLOTS,
    };
    let routes = [
        lab::batch_route("r-night", NIGHTLY, LOST, 60_000),
        lab::batch_route("r-urgent", URGENT, SOUND, 3_000),
        lab::route("r-hint", "/lohu930/", "streaming", SOUND, 2, true),
    ];
    let config = lab::config(1, &routes, &[LOST, SOUND]);
    let (fleet, servers) = lab::set_up(&record, &config, |fleet| {
        let lost = (0..3).map(|n| Server::new(fleet, n, LOST, ZONES[0], work.clone()));
        let sound = (3..9).map(|n| Server::new(fleet, n, SOUND, ZONES[1 + n as usize % 2], work.clone()));
        lost.chain(sound).collect()
    });
    let entries = fleet.entries();
    if lab::has_trouble() {
        servers[..3].iter().for_each(Server::crash);
    }
    thread::sleep(Duration::from_secs(1));
    let night = lab::submit(&record, &entries, NIGHTLY, "aa10", &lab::prompts("5c1e07", 0x1000, 10));
    thread::sleep(Duration::from_millis(500));
    let urgent = lab::submit(&record, &entries, URGENT, "bb20", &lab::prompts("91bd3f", 0x2000, 10));
    if !night || !urgent {
        lab::finish(fleet, &record, 2, "a job was not accepted");
    }
    let sound = &servers[3..];
    let broken = lab::unlisted_at(&record, &entries, sound, "bb20", 10, Instant::now() + FINISH);
    let runs: usize = sound.iter().map(|s| s.runs().len()).sum();
    record.note(format!("{runs} runs at the sound servers"));
    match broken {
        Some(broken) => lab::finish(fleet, &record, 1, &broken),
        None => lab::finish(fleet, &record, 0, "all items are listed in time"),
    }
}

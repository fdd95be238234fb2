//! Batch jobs of many items come in bursts. The platform ends a process that uses more than its memory, and
//! starts it again.

use crate::fleet::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PREFIX: &str = "/pule252/";
const ITEMS: usize = 200;
const ITEM_BYTES: usize = 2_500;
/// Usual traffic: a job each two seconds for 20 s.
const USUAL_JOBS: usize = 10;
const USUAL_GAP: Duration = Duration::from_secs(2);
/// Bursts of six times the usual traffic for 3 s, one after the other: seven jobs more each.
const BURST_JOBS: usize = 7;
const BURST_TIME: Duration = Duration::from_secs(3);
const BURSTS: u32 = 11;
/// `memoryMb` of a store machine.
const MEMORY: u64 = 280 << 20;
/// Most jobs that are read at the end.
const MOST_READ: usize = 12;
/// Pause before an ended process is started again.
const RESTART: Duration = Duration::from_millis(500);
const MANNER: Manner =
    Manner { slots: 8, events: 60, step: Duration::from_micros(1500), event_bytes: 130, build: "v1" };

pub fn run(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, 3, 4);
    let _servers: Vec<_> = (0..9).map(|n| Server::start(&fleet, n, MANNER)).collect();
    fleet.start_all();
    let routes = [route("r-lots", PREFIX, "batch", 120)];
    if !fleet.put_config(3, &config(3, &routes), Duration::from_secs(20))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        record.say("the deployment did not start");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let fronts = fleet.fronts();
    let jobs: Arc<Mutex<Vec<Job>>> = Arc::default();
    let mut starts: Vec<Duration> = (0..USUAL_JOBS).map(|n| USUAL_GAP * n as u32).collect();
    if with_trouble() {
        for burst in (0..BURSTS).map(|n| BURST_TIME * n) {
            starts.extend((0..BURST_JOBS).map(|n| burst + BURST_TIME * n as u32 / BURST_JOBS as u32));
        }
    }
    starts.sort();
    let (begun, sent) = (Instant::now(), starts.len());
    for start in starts {
        let (record, fronts, jobs) = (record.clone(), fronts.clone(), jobs.clone());
        thread::spawn(move || {
            thread::sleep(start);
            let mut job = Job::new(PREFIX, ITEMS);
            let text = job.submission(ITEM_BYTES);
            job.submit(&record, &fronts, &text, 2);
            jobs.lock().unwrap().push(job);
        });
    }
    let stores = fleet.of(Class::Store);
    let (mut most, mut ends) = (vec![0; stores.len()], vec![0; stores.len()]);
    let mut back: Vec<Option<Instant>> = vec![None; stores.len()];
    while begun.elapsed() < Duration::from_secs(70) {
        for (n, at) in stores.iter().enumerate() {
            if back[n].is_some_and(|at| Instant::now() >= at) {
                back[n] = None;
                fleet.start(*at);
            }
            let used = fleet.resident(*at);
            most[n] = most[n].max(used >> 20);
            if used > MEMORY {
                record.line(format!(
                    "platform: {} uses {} MB and is killed",
                    fleet.machines[*at].name,
                    used >> 20
                ));
                fleet.kill(*at);
                ends[n] += 1;
                back[n] = Some(Instant::now() + RESTART);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    // The end of the day: some jobs are read from the start, again after each failure.
    let mut jobs = jobs.lock().unwrap().clone();
    jobs.retain(|j| j.accepted.is_some());
    let accepted = jobs.len();
    let step = jobs.len().div_ceil(MOST_READ).max(1);
    let readers: Vec<_> = jobs
        .into_iter()
        .step_by(step)
        .map(|mut job| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || {
                let status = (0..fronts.len()).map(|n| job.read(&record, fronts[n])).find(|s| *s == 200);
                record.line(format!("job {}: read at the end: {}", job.id, status.is_some()));
                status.is_some()
            })
        })
        .collect();
    let read = readers.len();
    let unread = readers.into_iter().filter_map(|r| r.join().ok()).filter(|is_read| !is_read).count();
    record.say(format!(
        "{sent} jobs sent, {accepted} accepted; {unread} of {read} that were read at the end cannot be read; \
         most MB {most:?}; store processes ended {ends:?} times for their memory"
    ));
    // On a tenth of the machines in use, two at least, processes end by themselves three times.
    let often = ends.iter().filter(|n| **n >= 3).count();
    i32::from(unread > 0 || often >= 2)
}

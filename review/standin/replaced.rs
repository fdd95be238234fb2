//! A store machine is replaced by another one. Later, with all rules of the losses kept, two store machines
//! lose their disks one after the other.

use crate::fleet::*;
use std::thread;
use std::time::{Duration, Instant};

const PREFIX: &str = "/pule252/";
const ITEMS: usize = 10;
const JOBS: usize = 4;
/// `syncS`: a machine counts as lost for this long after it is back.
const SYNC: Duration = Duration::from_millis(4_500);
/// How long a machine is down, at most as on the site (`after_ack_wipe`, for_s = 2.0).
const DOWN: Duration = Duration::from_millis(800);
/// From the moment at which a machine is back until the next loss.
const CALM: Duration = Duration::from_millis(4_700);
/// Most kills of leaders until the machine that came later leads.
const MOST_KILLS: usize = 8;
const MANNER: Manner =
    Manner { slots: 8, events: 247, step: Duration::from_millis(20), event_bytes: 55, build: "v1" };

/// Store machine that has said last that it leads; only to choose the machine to strike.
fn leader(fleet: &Fleet) -> Option<usize> {
    let said = |at: &usize| {
        let log = fleet.log(*at);
        let line = log.lines().rfind(|l| l.contains("role changed") && l.contains("\"group\":1"));
        line.filter(|l| l.contains("\"role\":\"leader\"")).map(|l| l.to_string())
    };
    let term = |line: &str| {
        let at = line.find("\"term\":").map_or(0, |at| at + 7);
        line[at..].split([',', '}']).next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
    };
    let leaders = fleet.of(Class::Store).into_iter().filter_map(|at| Some((term(&said(&at)?), at)));
    leaders.max().map(|(_, at)| at)
}

fn strike(fleet: &mut Fleet, record: &Record, at: usize, wipe: bool) {
    let disk = if wipe { " and loses its disk" } else { "" };
    record.line(format!("trouble: {} is killed{disk}", fleet.machines[at].name));
    fleet.kill(at);
    if wipe {
        fleet.wipe(at);
    }
    thread::sleep(DOWN);
    fleet.start(at);
    record.line(format!("trouble: {} is back", fleet.machines[at].name));
    thread::sleep(CALM);
}

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
    let mut jobs: Vec<Job> = (0..JOBS).map(|_| Job::new(PREFIX, ITEMS)).collect();
    for job in &mut jobs {
        let text = job.submission(15_000);
        if !job.submit(record, &fronts, &text, 2) {
            record.say("a job was not accepted");
            return 2;
        }
    }
    let stores = fleet.of(Class::Store);
    if with_trouble() {
        record.line(format!("trouble: {} is replaced", fleet.machines[stores[0]].name));
        fleet.kill(stores[0]);
        fleet.wipe(stores[0]);
        thread::sleep(Duration::from_secs(1));
        let new = fleet.add(Class::Store, 3, 14);
        fleet.start(new);
        thread::sleep(SYNC + CALM);
        let mut kills = 0;
        while leader(&fleet) != Some(new) {
            let Some(at) = leader(&fleet).filter(|_| kills < MOST_KILLS) else {
                record.say("the machine that came later does not lead");
                return 2;
            };
            kills += 1;
            strike(&mut fleet, record, at, false);
        }
        record.line(format!("{} leads after {kills} kills", fleet.machines[new].name));
        strike(&mut fleet, record, stores[1], true);
        strike(&mut fleet, record, new, true);
    } else {
        thread::sleep(Duration::from_secs(30));
    }
    // `recoverS`, and then some, until the jobs are read.
    thread::sleep(Duration::from_secs(12));
    let begun = Instant::now();
    let mut unread = 0;
    for job in &mut jobs {
        let mut is_read = false;
        for n in 0.. {
            is_read = job.read(record, fronts[n % fronts.len()]) == 200;
            if is_read || n >= 3 && begun.elapsed() > Duration::from_secs(10) {
                break;
            }
        }
        unread += usize::from(!is_read);
    }
    let listed: usize = jobs.iter().map(|j| j.results.len()).sum();
    record.say(format!(
        "{JOBS} jobs accepted with {} items, {unread} cannot be read at the end, {listed} items are listed",
        JOBS * ITEMS
    ));
    for ended in fleet.ended() {
        record.say(format!("ended by itself: {ended}"));
    }
    i32::from(unread > 0)
}

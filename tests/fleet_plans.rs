//! Plans of items, in simulated time: which items start, and which are stopped for others.

use basilfield::fleet::load;
use basilfield::fleet::plan;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// Interval between plans.
const STEP: u64 = 25;
/// Time before an item that was stopped may start again.
const RETRY_DELAY: u64 = 150;
/// Time from the start of a run to its first event.
const FIRST_EVENT: u64 = 60;

#[derive(Clone)]
struct Endpoint {
    id: Arc<str>,
    service: Arc<str>,
    build: Arc<str>,
    slots: u32,
    accepting: bool,
    allowance: Option<u32>,
    /// Online requests that run there, by time.
    online: fn(u64) -> u32,
}

fn no_online(_: u64) -> u32 {
    0
}

fn endpoint(id: &str, service: &str, slots: u32) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: service.into(),
        build: "v1".into(),
        slots,
        accepting: true,
        allowance: None,
        online: no_online,
    }
}

fn endpoints(service: &str, count: usize, slots: u32) -> Vec<Endpoint> {
    (0..count).map(|n| endpoint(&format!("{service}-{n}"), service, slots)).collect()
}

#[derive(Clone)]
struct Item {
    job: u64,
    service: Arc<str>,
    build: Option<Arc<str>>,
    leaves: Option<Arc<str>>,
    /// Time from which on it waits.
    arrival: u64,
    /// Time after its arrival at which it is due.
    due: u64,
    /// Time that a run from the start takes.
    run_time: u64,
    /// Run time that is not lost if it is stopped.
    kept: u64,
    /// Endpoint and start of its run, and the number of the run.
    run: Option<(Arc<str>, u64, u64)>,
    retry_at: u64,
    stops: plan::Stops,
    /// Stops for other items, and for online requests.
    stop_counts: (u32, u32),
    done: Option<u64>,
}

fn item(job: u64, service: &str, due: u64, run_time: u64) -> Item {
    Item {
        job,
        service: service.into(),
        build: None,
        leaves: None,
        arrival: 0,
        due,
        run_time,
        kept: 0,
        run: None,
        retry_at: 0,
        stops: plan::Stops::default(),
        stop_counts: (0, 0),
        done: None,
    }
}

impl Item {
    /// Run time that counts at `now`.
    fn ran(&self, now: u64) -> u64 {
        self.kept + self.run.as_ref().map_or(0, |(_, since, _)| now - since)
    }

    fn urgency(&self, now: u64) -> plan::Urgency {
        let left = Duration::from_millis((self.arrival + self.due).saturating_sub(now));
        let remaining = Duration::from_millis(self.run_time.saturating_sub(self.ran(now)));
        plan::Urgency::new(self.job, left, remaining)
    }

    /// Ends its run at `now`. Without an event, all of it is lost.
    fn stop(&mut self, now: u64, for_item: bool) {
        let Some((_, since, _)) = self.run.take() else { return };
        let progressed = now - since >= FIRST_EVENT;
        if progressed {
            self.kept += now - since;
        }
        self.stops.record(for_item, progressed);
        match for_item {
            true => self.stop_counts.0 += 1,
            false => self.stop_counts.1 += 1,
        }
        self.retry_at = now + RETRY_DELAY;
    }
}

/// Fleet whose items are planned for one after the other. Online requests that come to a full
/// endpoint wait there for a slot of an item.
struct Sim {
    now: u64,
    endpoints: Vec<Endpoint>,
    items: Vec<Item>,
    runs: u64,
    /// Stops after which no named item started at the same endpoint.
    vain_stops: usize,
}

impl Sim {
    fn new(endpoints: Vec<Endpoint>, items: Vec<Item>) -> Sim {
        Sim { now: 0, endpoints, items, runs: 0, vain_stops: 0 }
    }

    fn loads(&self) -> Vec<plan::EndpointLoad> {
        let running = |e: &Endpoint| self.items.iter().filter(|i| runs_at(i, &e.id)).count() as u32;
        let load = |e: &Endpoint| plan::EndpointLoad {
            id: e.id.clone(),
            service: e.service.clone(),
            build: e.build.clone(),
            slots: e.slots,
            running: load::Running { own: running(e), online: (e.online)(self.now), batch: 0 },
            accepting: e.accepting,
            allowance: e.allowance,
        };
        self.endpoints.iter().map(load).collect()
    }

    fn waiting(&self) -> Vec<plan::WaitingItem> {
        let waits =
            |i: &Item| i.done.is_none() && i.run.is_none() && i.arrival.max(i.retry_at) <= self.now;
        let wait = |(index, i): (usize, &Item)| plan::WaitingItem {
            index,
            service: i.service.clone(),
            build: i.build.clone(),
            leaves: i.leaves.clone(),
            urgency: i.urgency(self.now),
            owner: plan::Owner::default(),
        };
        self.items.iter().enumerate().filter(|(_, i)| waits(i)).map(wait).collect()
    }

    fn running(&self) -> Vec<plan::RunningItem> {
        let run = |(index, i): (usize, &Item)| {
            let (endpoint, _, run_number) = i.run.clone()?;
            let urgency = i.urgency(self.now);
            let owner = plan::Owner::default();
            let (moves, stops) = (false, i.stops);
            Some(plan::RunningItem { index, endpoint, urgency, owner, run_number, moves, stops })
        };
        self.items.iter().enumerate().filter_map(run).collect()
    }

    fn start(&mut self, index: usize, endpoint: &Arc<str>) {
        self.runs += 1;
        self.items[index].run = Some((endpoint.clone(), self.now, self.runs));
    }

    fn step(&mut self) {
        let now = self.now;
        for item in self.items.iter_mut().filter(|i| i.run.is_some()) {
            if item.ran(now) >= item.run_time {
                (item.run, item.done) = (None, Some(now));
            }
        }
        let plan = plan::plan(self.loads(), &self.waiting(), &self.running());
        for index in plan.stop {
            self.items[index].stop(now, false);
        }
        for (index, endpoint) in plan.start {
            self.start(index, &endpoint);
        }
        for handover in plan.handovers {
            let is_same = runs_at(&self.items[handover.stop], &handover.endpoint);
            self.vain_stops += usize::from(!is_same);
            self.items[handover.stop].stop(now, true);
            self.start(handover.start, &handover.endpoint);
        }
        self.now += STEP;
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step();
        }
    }

    /// Items that are done, and stops for other items and for online requests.
    fn outcome(&self, job: u64) -> String {
        let items = || self.items.iter().filter(|i| i.job == job);
        let done = items().filter(|i| i.done.is_some()).count();
        let stops = items().map(|i| i.stop_counts);
        let (for_items, for_online) = stops.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        format!("{done} of {} done, stopped {for_items} + {for_online}", items().count())
    }
}

fn runs_at(item: &Item, endpoint: &str) -> bool {
    item.run.as_ref().is_some_and(|(at, ..)| **at == *endpoint)
}

/// Guards against items that are stopped for items which cannot use their slots, each for another
/// reason, so that they start over without end.
#[test]
fn items_are_stopped_in_vain_for_items_without_a_slot() {
    const LATE: u64 = 1;
    let waits = |item: Item| Item { arrival: 1_000, ..item };
    let in_time = |service: &str| waits(item(2, service, 60_000, 3_000));
    let full = Endpoint { online: |_| 8, ..endpoint("t-0", "t", 8) };
    // Where online requests wait, they would get the slot of an item that stops.
    let contended = Endpoint { online: |_| 5, ..endpoint("s-0", "s", 8) };
    let leaving = Endpoint { accepting: false, ..endpoint("s-0", "s", 8) };
    let limited = Endpoint { allowance: Some(0), ..endpoint("s-0", "s", 8) };
    let sound = || vec![endpoint("s-0", "s", 8)];
    let with = |e: Endpoint| vec![e, endpoint("s-1", "s", 8)];
    let cases: [(&str, Vec<Endpoint>, Item); 7] = [
        ("no endpoint of its service", sound(), in_time("t")),
        ("endpoints of its service full", [sound(), vec![full]].concat(), in_time("t")),
        ("other build", sound(), Item { build: Some("v2".into()), ..in_time("s") }),
        (
            "the endpoint that it leaves",
            sound(),
            Item { leaves: Some("s-0".into()), ..in_time("s") },
        ),
        ("leaving", vec![leaving], in_time("s")),
        ("limited", vec![limited], in_time("s")),
        (
            "online requests wait",
            with(contended),
            Item { leaves: Some("s-1".into()), ..in_time("s") },
        ),
    ];
    let mut seen = Vec::new();
    for (cause, endpoints, waiting) in cases {
        let mut items: Vec<Item> = (0..5).map(|_| item(LATE, "s", 0, 3_000)).collect();
        for (n, item) in items.iter_mut().enumerate() {
            item.run = Some(("s-0".into(), 0, n as u64));
        }
        items.push(waiting);
        let mut sim = Sim::new(endpoints, items);
        sim.run_until(2_000);
        seen.push(format!(
            "{cause}: stopped {}",
            sim.items[0..5].iter().map(|i| i.stop_counts.0).sum::<u32>()
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    no endpoint of its service: stopped 0
    endpoints of its service full: stopped 0
    other build: stopped 0
    the endpoint that it leaves: stopped 0
    leaving: stopped 0
    limited: stopped 0
    online requests wait: stopped 0
    ");
}

/// Guards against a job that never ends beside one whose service has lost its endpoints, as in
/// `review/7`.
#[test]
fn late_job_never_ends_beside_a_job_without_endpoints() {
    let nightly = (0..10).map(|_| item(1, "lost", 60_000, 3_300));
    let urgent = (0..10).map(|_| Item { arrival: 500, ..item(2, "sound", 3_000, 3_300) });
    let mut sim = Sim::new(endpoints("sound", 6, 8), nightly.chain(urgent).collect());
    sim.run_until(18_000);
    insta::assert_snapshot!(format!("{}; {}", sim.outcome(1), sim.outcome(2)),
        @"0 of 10 done, stopped 0 + 0; 10 of 10 done, stopped 0 + 0");
}

/// Guards against a slot that goes to the item that was stopped, or to another one, and against two
/// jobs whose items stop each other in turn as they become late.
#[test]
fn slot_goes_to_another_item_than_the_one_it_was_freed_for() {
    // All slots are taken when the second job comes. The third comes when the second is late.
    let first = (0..7).map(|_| item(1, "s", 3_000, 4_000));
    let second = (0..7).map(|_| Item { arrival: 1_000, ..item(2, "s", 4_000, 3_900) });
    let third = (0..7).map(|_| Item { arrival: 2_000, ..item(3, "s", 20_000, 3_900) });
    let mut sim =
        Sim::new(vec![endpoint("s-0", "s", 8)], first.chain(second).chain(third).collect());
    sim.run_until(1_050);
    let at_once = sim.items.iter().filter(|i| i.job == 2 && i.run.is_some()).count();
    sim.run_until(30_000);
    let outcomes = [1, 2, 3].map(|job| sim.outcome(job)).join("; ");
    insta::assert_snapshot!(
        format!("{at_once} run at once; {outcomes}; {} in vain", sim.vain_stops),
        @"7 run at once; 7 of 7 done, stopped 7 + 0; 7 of 7 done, stopped 0 + 0; 7 of 7 done, stopped 0 + 0; 0 in vain");
}

/// Guards against items that online requests stop again and again before their first event, so that
/// they are never done.
#[test]
fn item_is_stopped_for_online_requests_without_end() {
    // Online requests fill all slots for 50 ms of every 100 ms.
    let online = |now: u64| if now % 100 < 50 { 8 } else { 0 };
    let mut fleet = endpoints("s", 2, 8);
    fleet.iter_mut().for_each(|e| e.online = online);
    let mut sim = Sim::new(fleet, (0..4).map(|_| item(1, "s", 60_000, 1_000)).collect());
    sim.run_until(18_000);
    insta::assert_snapshot!(sim.outcome(1), @"4 of 4 done, stopped 0 + 22");
}

/// Items that run at once at `count` endpoints with so many slots, and how many of 24 are done after
/// 20 s, while `online` tells what online requests use of each endpoint.
fn small_service(slots: u32, count: usize, online: fn(u64) -> u32) -> String {
    let mut fleet = endpoints("s", count, slots);
    fleet.iter_mut().for_each(|e| e.online = online);
    let mut sim = Sim::new(fleet, (0..24).map(|_| item(1, "s", 60_000, 1_200)).collect());
    sim.run_until(10 * STEP);
    let at_once = sim.items.iter().filter(|i| i.run.is_some()).count();
    sim.run_until(20_000);
    let done = sim.items.iter().filter(|i| i.done.is_some()).count();
    format!("{at_once} at once, {done} done")
}

/// Guards against endpoints with few slots at which items never run, as in `review/9`, and against
/// items that leave no slot for online requests at a service with more.
#[test]
fn items_never_run_at_endpoints_with_few_slots() {
    // Online requests use a slot of each endpoint for 2 s of every 4 s.
    let steady = |now: u64| u32::from(now % 4_000 >= 2_000);
    let mut seen = Vec::new();
    for slots in [1, 2, 3, 4, 7, 8] {
        for count in [1, 2, 6] {
            let alone = small_service(slots, count, no_online);
            let beside = small_service(slots, count, steady);
            seen.push(format!("{count} x {slots}: {alone}; beside online requests {beside}"));
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    1 x 1: 1 at once, 16 done; beside online requests 1 at once, 8 done
    2 x 1: 2 at once, 24 done; beside online requests 2 at once, 16 done
    6 x 1: 5 at once, 24 done; beside online requests 5 at once, 24 done
    1 x 2: 2 at once, 24 done; beside online requests 2 at once, 24 done
    2 x 2: 3 at once, 24 done; beside online requests 3 at once, 24 done
    6 x 2: 9 at once, 24 done; beside online requests 9 at once, 24 done
    1 x 3: 3 at once, 24 done; beside online requests 3 at once, 24 done
    2 x 3: 5 at once, 24 done; beside online requests 5 at once, 24 done
    6 x 3: 14 at once, 24 done; beside online requests 14 at once, 24 done
    1 x 4: 3 at once, 24 done; beside online requests 3 at once, 24 done
    2 x 4: 6 at once, 24 done; beside online requests 6 at once, 24 done
    6 x 4: 18 at once, 24 done; beside online requests 18 at once, 24 done
    1 x 7: 6 at once, 24 done; beside online requests 6 at once, 24 done
    2 x 7: 12 at once, 24 done; beside online requests 12 at once, 24 done
    6 x 7: 24 at once, 24 done; beside online requests 24 at once, 24 done
    1 x 8: 7 at once, 24 done; beside online requests 7 at once, 24 done
    2 x 8: 14 at once, 24 done; beside online requests 14 at once, 24 done
    6 x 8: 24 at once, 24 done; beside online requests 24 at once, 24 done
    ");
}

/// Guards against items that wait for as long as online requests use all slots but those that items
/// leave free, and against those slots being used by more than one item.
#[test]
fn items_wait_without_end_beside_steady_online_requests() {
    let mut fleet = endpoints("s", 3, 8);
    fleet.iter_mut().for_each(|e| e.online = |_| 7);
    let mut sim = Sim::new(fleet, (0..6).map(|_| item(1, "s", 60_000, 1_000)).collect());
    let mut most = 0;
    while sim.now < 10_000 {
        sim.step();
        most = most.max(sim.items.iter().filter(|i| i.run.is_some()).count());
    }
    insta::assert_snapshot!(format!("{}, {most} at once", sim.outcome(1)),
        @"6 of 6 done, stopped 0 + 0, 1 at once");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against stops that bring the waiting item no slot and against items that are stopped for
    /// others too often to be done, for any mix of services, builds and jobs.
    #[test]
    fn items_are_done_beside_any_others(
        slots in prop::collection::vec((0..3usize, 0..2usize, 1..9u32, 0..4u8), 1..6),
        jobs in prop::collection::vec((0..3usize, 0..3usize, 0..8u64, 1..10u64, 1..8usize), 1..6),
    ) {
        let services = ["s", "t", "u"];
        let builds = ["v1", "v2"];
        let mut fleet = Vec::new();
        for (n, (service, build, slots, state)) in slots.iter().enumerate() {
            let endpoint = endpoint(&format!("e-{n}"), services[*service], *slots);
            fleet.push(Endpoint {
                build: builds[*build].into(),
                accepting: *state != 1,
                allowance: (*state == 2).then_some(0),
                ..endpoint
            });
        }
        let mut items = Vec::new();
        for (job, (service, build, arrival, due, count)) in jobs.iter().enumerate() {
            let one = Item {
                arrival: arrival * 1_000,
                build: builds.get(*build).map(|b| (*b).into()),
                ..item(job as u64, services[*service], due * 1_000, 3_000)
            };
            items.extend(std::iter::repeat_n(one, *count));
        }
        let mut sim = Sim::new(fleet.clone(), items);
        // At most 35 items of 3 s each wait for one slot, each stopped a few times at most.
        sim.run_until(120_000);
        let can_run = |i: &Item| fleet.iter().any(|e| {
            e.accepting && e.allowance.is_none() && e.service == i.service
                && i.build.as_ref().is_none_or(|b| *b == e.build)
        });
        for item in &sim.items {
            prop_assert_eq!(item.done.is_some(), can_run(item), "stops {:?}", item.stop_counts);
            prop_assert!(item.stop_counts.0 <= 3 && item.stop_counts.1 == 0);
        }
        prop_assert_eq!(sim.vain_stops, 0);
    }
}

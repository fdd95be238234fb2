//! Decisions about retries, placement of requests, batch items and event streams.

#[path = "../platform/mod.rs"]
mod platform;

use basilfield::fleet::admission;
use basilfield::fleet::attempt;
use basilfield::fleet::frame;
use basilfield::fleet::groups;
use basilfield::fleet::load;
use basilfield::fleet::place;
use basilfield::fleet::plan;
use basilfield::fleet::protocol::Protocol as _;
use basilfield::fleet::sequence;
use basilfield::fleet::sse;
use basilfield::fleet::upstream;
use basilfield::wire;
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);

/// Guards against a request that must not be retried and runs twice, a request that is refused as
/// not run although it may have run, and more runs than the route allows.
#[test]
fn attempts() {
    use attempt::Attempts;
    use attempt::Outcome::*;
    let run = |retryable, limit, outcomes: &[attempt::Outcome]| {
        let mut attempts = Attempts::new(retryable, limit);
        let next = outcomes.iter().map(|o| format!("{o:?}={:?}", attempts.record(*o)));
        next.collect::<Vec<_>>().join(" ")
    };
    let seen = [
        run(false, 3, &[Lost]),
        run(false, 3, &[Failed]),
        run(false, 3, &[NotSent, Declined, Lost]),
        run(false, 3, &[Declined, Declined, NotSent, Declined]),
        run(true, 3, &[Lost, Failed, Lost]),
        run(true, 1, &[Declined, Lost]),
        run(true, 3, &[Lost, Declined, Declined, Declined, Declined]),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r"
    Lost=Fail
    Failed=Fail
    NotSent=Again Declined=Again Lost=Fail
    Declined=Again Declined=Again NotSent=Again Declined=Refuse
    Lost=Again Failed=Again Lost=Fail
    Declined=Again Lost=Fail
    Lost=Again Declined=Again Declined=Again Declined=Again Declined=Fail
    ");
}

/// Guards against a stream that is cut off because the endpoints that can continue it declined a few
/// times while they were full.
#[test]
fn declines_do_not_end_a_stream_that_has_begun() {
    use attempt::Outcome::*;
    let mut attempts = attempt::Attempts::new(true, 3);
    attempts.begin();
    let mut next = vec![attempts.record(Lost)];
    next.extend([Declined, NotSent].repeat(5).iter().map(|o| attempts.record(*o)));
    assert_eq!(next, [attempt::Next::Again; 11]);
    let ends = [attempts.record(Lost), attempts.record(Lost)];
    assert_eq!(ends, [attempt::Next::Again, attempt::Next::Fail]);
}

/// Guards against a job that is reported as not accepted although a host that did not answer may
/// have committed it.
#[test]
fn unknown_outcomes_stay_unknown() {
    use groups::OutcomeTracker;
    let after = |notes: &[Option<wire::Run>]| {
        let mut tracker = OutcomeTracker::default();
        for note in notes {
            match note {
                Some(run) => tracker.record_refusal(*run),
                None => tracker.record_no_answer(),
            }
        }
        format!("{:?}", tracker.failure(wire::Reason::DiskFull))
    };
    let seen = [
        after(&[Some(wire::Run::No)]),
        after(&[None, Some(wire::Run::No)]),
        after(&[Some(wire::Run::Unknown), Some(wire::Run::No)]),
    ];
    insta::assert_snapshot!(seen.join(" "), @"NotDone(DiskFull) Unknown Unknown");
}

/// Guards against an answer to another request that is passed on to the caller, or taken as proof
/// that this request did not run.
#[test]
fn answers_are_judged_by_their_id() {
    let names = platform::Platform::default();
    let names = names.headers();
    let judge = |status: u16, echo: Option<&str>, declined: bool, reused| {
        let mut answer = hyper::Response::builder().status(status);
        if let Some(echo) = echo {
            answer = answer.header(&names.request_id, echo);
        }
        if declined {
            answer = answer.header(&names.declined, "1");
        }
        let (head, ()) = answer.body(()).expect("valid").into_parts();
        format!("{:?}", upstream::classify_response(names, &head, "r", reused))
    };
    let seen = [
        judge(200, Some("r"), false, true),
        judge(200, Some("q"), false, true),
        judge(200, None, false, false),
        judge(503, Some("r"), true, true),
        judge(503, Some("q"), true, true),
        judge(503, None, true, true),
        judge(503, None, true, false),
        judge(421, None, false, false),
        judge(500, Some("r"), false, false),
        judge(400, None, false, false),
    ];
    insta::assert_snapshot!(seen.join(" "),
        @"Matching Mismatched Mismatched Declined Mismatched Mismatched Declined Declined Matching Matching");
}

fn candidate(id: &str, same_domain: bool, own: u32, online: u32, batch: u32) -> place::Candidate {
    place::Candidate {
        id: id.into(),
        start_time: 1,
        address: ([127, 0, 0, 1], 1).into(),
        build: "v1".into(),
        same_domain,
        slots: 8,
        running: load::Running { own, online, batch },
        avoided: false,
        allowance: None,
    }
}

/// Endpoints that are chosen for the numbers 0 to 63, with how often, or why none is.
fn chosen(candidates: &[place::Candidate], tried: &[&str]) -> String {
    let tried: Vec<Arc<str>> = tried.iter().map(|t| (*t).into()).collect();
    let mut counts = std::collections::BTreeMap::new();
    for random in 0..64 {
        let choice = match place::choose(candidates.to_vec(), &tried, random) {
            place::Choice::Send(candidate) => candidate.id.to_string(),
            place::Choice::Wait(other) => {
                format!("wait or {}", other.map_or("refuse".into(), |c| c.id))
            }
            place::Choice::None => "none".to_string(),
        };
        *counts.entry(choice).or_insert(0) += 1;
    }
    counts.iter().map(|(choice, count)| format!("{choice} {count}")).collect::<Vec<_>>().join(", ")
}

/// Guards against requests that pile up at one endpoint, that wait although every endpoint is full,
/// that are refused although a slot is free, or that leave their failure domain without need.
#[test]
fn placement() {
    let avoided = place::Candidate { avoided: true, ..candidate("c", true, 0, 0, 0) };
    let seen = [
        // By free slots, of which items use some.
        chosen(&[candidate("a", true, 3, 1, 0), candidate("b", true, 1, 1, 2)], &[]),
        chosen(&[candidate("a", true, 2, 0, 6), candidate("b", true, 4, 0, 0)], &[]),
        // In the own failure domain while one of its slots is free.
        chosen(&[candidate("a", true, 7, 0, 0), candidate("b", false, 0, 0, 0)], &[]),
        chosen(&[candidate("a", true, 8, 0, 0), candidate("b", false, 1, 0, 0)], &[]),
        // Slots that items release.
        chosen(&[candidate("a", true, 2, 0, 6), candidate("b", true, 8, 0, 0)], &[]),
        chosen(&[candidate("a", true, 1, 0, 0), candidate("b", true, 4, 0, 0)], &["a"]),
        // Endpoints at which some requests may wait.
        chosen(&[candidate("a", true, 4, 5, 0), candidate("b", true, 10, 0, 0)], &[]),
        chosen(&[candidate("a", true, 4, 6, 0), candidate("b", true, 10, 0, 0)], &[]),
        chosen(&[avoided.clone(), candidate("b", true, 7, 0, 0)], &[]),
        chosen(&[avoided.clone(), candidate("b", true, 10, 0, 0)], &[]),
        chosen(&[avoided], &[]),
        chosen(&[candidate("a", true, 0, 0, 0)], &["a"]),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r"
    a 32, b 32
    b 64
    a 64
    b 64
    a 64
    b 64
    wait or a 64
    wait or refuse 64
    b 64
    wait or refuse 64
    c 64
    none 64
    ");
}

/// Guards against an endpoint that is avoided forever, and against a backoff that grows with every
/// request that fails in the same outage.
#[test]
fn failing_endpoints_are_tried_again() {
    let mut health = place::Health::default();
    let id: Arc<str> = "a".into();
    let ms = Duration::from_millis;
    let pauses: Vec<u128> = [0, 10, 20, 500, 1_500, 4_000, 20_000, 40_000, 60_000]
        .map(|at| health.record_failure(ms(at), &id).as_millis())
        .to_vec();
    let avoided = (health.is_avoided(ms(60_100), "a"), health.is_avoided(ms(70_000), "a"));
    health.record_answer("a");
    let after = health.record_failure(ms(70_000), &id).as_millis();
    insta::assert_snapshot!(format!("{pauses:?} {avoided:?} {after}"),
        @"[400, 390, 380, 800, 1600, 3200, 3200, 3200, 3200] (true, false) 400");
}

/// Guards against reports that count after their sender has gone, older reports that replace newer
/// ones, and an entry that counts its own requests twice.
#[test]
fn stale_load_reports_are_ignored() {
    let mut loads = load::Loads::default();
    let report = |start_time, seq, count| frame::EntryLoad {
        start_time,
        seq,
        synced: true,
        running: vec![(load::endpoint_key("e"), count)],
    };
    let (one, two): (Arc<str>, Arc<str>) = ("one".into(), "two".into());
    loads.add_request("e");
    loads.record_entry_load(NOW, &one, report(1, 5, 4));
    loads.record_entry_load(NOW, &one, report(1, 4, 9));
    loads.record_entry_load(NOW, &two, report(1, 1, 3));
    let running = loads.running(NOW, "e");
    let totals = [loads.other_load(&one), loads.other_load(&two)].map(|t| t[0].1);
    // The clock of the sender was set back before its restart.
    loads.record_entry_load(NOW, &one, report(0, 1, 2));
    let restarted = loads.running(NOW, "e").online;
    loads.remove_expired(NOW + Duration::from_secs(2));
    let aged = loads.running(NOW + Duration::from_secs(2), "e").online;
    loads.remove_request("e");
    let own = loads.running(NOW, "e").own;
    insta::assert_snapshot!(format!("{running:?} {totals:?} {restarted} {aged} {own}"),
        @"Running { own: 1, online: 7, batch: 0 } [(3, 1), (4, 1)] 5 0 0");
}

/// Guards against reports of a former leader that hide those of the current one.
#[test]
fn latest_load_report_counts() {
    let mut loads = load::Loads::default();
    let total = |seq, online| frame::OtherLoad {
        start_time: 1,
        seq,
        complete: true,
        running: vec![(load::endpoint_key("e"), online, 1)],
    };
    let (old, new): (Arc<str>, Arc<str>) = ("old".into(), "new".into());
    loads.record_other_load(NOW, &old, total(9, 7));
    loads.record_other_load(NOW + Duration::from_millis(10), &new, total(1, 2));
    let running = loads.running(NOW + Duration::from_millis(20), "e");
    let report_targets = loads.report_targets(NOW + Duration::from_millis(1_005));
    let report_targets =
        report_targets.iter().map(|(host, _)| &**host).collect::<Vec<_>>().join(" ");
    insta::assert_snapshot!(format!("{running:?} {report_targets}"),
        @"Running { own: 0, online: 2, batch: 1 } new");
}

fn endpoint(id: &str, own: u32, online: u32) -> plan::EndpointLoad {
    let running = load::Running { own, online, batch: 0 };
    let (id, service, build) = (id.into(), "s".into(), "v1".into());
    plan::EndpointLoad { id, service, build, slots: 8, running, accepting: true, allowance: None }
}

const IN_TIME: plan::Urgency = plan::Urgency { late: false, job: 1 };
const LATE: plan::Urgency = plan::Urgency { late: true, job: 0 };

fn waiting(urgencies: &[plan::Urgency]) -> Vec<plan::WaitingItem> {
    let item = |(index, urgency): (usize, &plan::Urgency)| plan::WaitingItem {
        index,
        service: "s".into(),
        build: None,
        leaves: None,
        urgency: *urgency,
        owner: plan::Owner::default(),
    };
    urgencies.iter().enumerate().map(item).collect()
}

fn running(urgencies: &[plan::Urgency]) -> Vec<plan::RunningItem> {
    let item = |(index, urgency): (usize, &plan::Urgency)| plan::RunningItem {
        index,
        endpoint: "a".into(),
        urgency: *urgency,
        owner: plan::Owner::default(),
        run_number: index as u64,
        moves: false,
        stops: plan::Stops::default(),
    };
    urgencies.iter().enumerate().map(item).collect()
}

fn show(plan: plan::Plan) -> String {
    let start: Vec<String> = plan.start.iter().map(|(i, e)| format!("{i}@{e}")).collect();
    let handover = |h: &plan::Handover| format!(" {} for {}@{}", h.stop, h.start, h.endpoint);
    let handovers: String = plan.handovers.iter().map(handover).collect();
    format!("start [{}] stop {:?}{handovers}", start.join(" "), plan.stop)
}

/// Guards against items that keep slots needed by online requests, that take the last free slot, or
/// that start at an endpoint that accepts no items or belongs to another service.
#[test]
fn items_yield_to_online_requests() {
    let (nine, six) = (waiting(&[IN_TIME; 9]), running(&[IN_TIME; 6]));
    let not_accepting = plan::EndpointLoad { accepting: false, ..endpoint("c", 0, 0) };
    let other_service = plan::EndpointLoad { service: "t".into(), ..endpoint("d", 0, 0) };
    let seen = [
        show(plan::plan(vec![endpoint("a", 6, 1)], &nine, &six)),
        show(plan::plan(vec![endpoint("a", 6, 5)], &nine, &six)),
        show(plan::plan(vec![endpoint("a", 6, 12)], &[], &six)),
        show(plan::plan(vec![endpoint("a", 0, 4), endpoint("b", 0, 5)], &nine, &[])),
        show(plan::plan(vec![not_accepting, other_service], &nine, &[])),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r"
    start [] stop []
    start [] stop [5, 4]
    start [] stop [5, 4, 3, 2, 1, 0]
    start [0@a 1@b 2@a 3@b 4@a] stop []
    start [] stop []
    ");
}

/// Guards against every item being late during overload: items that can finish in time must start
/// first, and late items must release their slots to them.
#[test]
fn late_items_yield_to_items_in_time() {
    let seen = [
        show(plan::plan(vec![endpoint("a", 0, 5)], &waiting(&[LATE, IN_TIME, IN_TIME]), &[])),
        show(plan::plan(
            vec![endpoint("a", 4, 4)],
            &waiting(&[IN_TIME, LATE]),
            &running(&[LATE, IN_TIME, LATE, IN_TIME]),
        )),
        show(plan::plan(vec![endpoint("a", 2, 6)], &waiting(&[LATE]), &running(&[LATE, IN_TIME]))),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r"
    start [1@a 2@a] stop []
    start [] stop [] 2 for 0@a
    start [] stop []
    ");
}

/// Checks that under overload, with jobs that need twice the slots, more items finish in time than
/// in order of arrival.
#[test]
fn overload_serves_more_in_time() {
    let by_arrival = overload(|job, _, _| plan::Urgency { late: false, job });
    let in_time_first = overload(plan::Urgency::new);
    insta::assert_snapshot!(format!("by arrival {by_arrival}, in time first {in_time_first}"),
        @"by arrival 32, in time first 56");
}

/// Simulates 60 s in which two items arrive per second. Each runs for 4 s on one of 4 slots and is
/// due 18 s after its arrival. Returns how many finish in time.
fn overload(urgency: fn(u64, Duration, Duration) -> plan::Urgency) -> usize {
    const RUN: u64 = 4;
    const DUE: u64 = 18;
    // Time of arrival, run time so far and time of the end of each item.
    let mut items: Vec<(u64, u64, Option<u64>)> = Vec::new();
    let mut on: Vec<usize> = Vec::new();
    for now in 0..60u64 {
        for at in std::mem::take(&mut on) {
            items[at].1 += 1;
            match items[at].1 == RUN {
                true => items[at].2 = Some(now),
                false => on.push(at),
            }
        }
        items.extend([(now, 0, None), (now, 0, None)]);
        let order = |at: usize| {
            let (arrival, ran, _) = items[at];
            let left = Duration::from_secs((arrival + DUE).saturating_sub(now));
            urgency(arrival, left, Duration::from_secs(RUN - ran))
        };
        let open = (0..items.len()).filter(|at| items[*at].2.is_none());
        let (runs, waits): (Vec<usize>, Vec<usize>) = open.partition(|at| on.contains(at));
        let wait = |at: &usize| plan::WaitingItem {
            index: *at,
            service: "s".into(),
            build: None,
            leaves: None,
            urgency: order(*at),
            owner: plan::Owner::default(),
        };
        let run = |at: &usize| plan::RunningItem {
            index: *at,
            endpoint: "a".into(),
            urgency: order(*at),
            owner: plan::Owner::default(),
            run_number: *at as u64,
            moves: false,
            stops: plan::Stops::default(),
        };
        let mut endpoint = endpoint("a", runs.len() as u32, 0);
        // One of the slots is reserved for online requests.
        endpoint.slots = 5;
        let waits: Vec<plan::WaitingItem> = waits.iter().map(wait).collect();
        let runs: Vec<plan::RunningItem> = runs.iter().map(run).collect();
        let plan = plan::plan(vec![endpoint], &waits, &runs);
        let yields = |at: &usize| plan.handovers.iter().any(|h| h.stop == *at);
        on.retain(|at| !plan.stop.contains(at) && !yields(at));
        on.extend(plan.start.iter().map(|(at, _)| *at));
        on.extend(plan.handovers.iter().map(|h| h.start));
    }
    items.iter().filter(|(arrival, _, end)| end.is_some_and(|e| e <= arrival + DUE)).count()
}

fn owner(workspace: &str, priority: u64) -> plan::Owner {
    plan::Owner { priority, workspace: Some(workspace.into()) }
}

/// Guards against a workspace that gets or keeps more slots than others of its priority, against one
/// that does not yield to a more urgent one, and against items at another service that count.
#[test]
fn workspaces_share_slots() {
    let other_service = plan::EndpointLoad { service: "t".into(), ..endpoint("b", 8, 0) };
    let owners = ["large", "large", "large", "large", "small", "small", "urgent"]
        .map(|name| owner(name, u64::from(name != "urgent")));
    let mut waits = waiting(&[IN_TIME; 7]);
    let mut runs = running(&[IN_TIME; 6]);
    for (wait, owner) in waits.iter_mut().zip(&owners) {
        wait.owner = owner.clone();
    }
    for (run, owner) in runs.iter_mut().zip(&owners) {
        run.owner = owner.clone();
    }
    let mut elsewhere = runs.clone();
    for run in &mut elsewhere {
        run.endpoint = "b".into();
    }
    let mut late = runs.clone();
    late[5].urgency = LATE;
    let mut urgent = runs.clone();
    urgent[5].owner = owner("urgent", 0);
    let seen = [
        // Nothing runs: equal shares after the urgent item.
        show(plan::plan(vec![endpoint("a", 0, 2)], &waits, &[])),
        // Four items of the large workspace run, one of the small one.
        show(plan::plan(vec![endpoint("a", 5, 0)], &waits, &runs[..5])),
        // They run at another service.
        show(plan::plan(vec![endpoint("a", 0, 5), other_service], &waits, &elsewhere)),
        // Two to four of six have to stop.
        show(plan::plan(vec![endpoint("a", 6, 5)], &[], &runs)),
        show(plan::plan(vec![endpoint("a", 6, 7)], &[], &runs)),
        // A late item stops first, an urgent one last.
        show(plan::plan(vec![endpoint("a", 6, 5)], &[], &late)),
        show(plan::plan(vec![endpoint("a", 6, 8)], &[], &urgent)),
        show(plan::plan(vec![endpoint("a", 6, 2)], &waits, &late)),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r"
    start [6@a 0@a 4@a 1@a 5@a] stop []
    start [6@a 4@a] stop []
    start [6@a 0@a] stop []
    start [] stop [3, 2]
    start [] stop [3, 2, 5, 1]
    start [] stop [5, 3]
    start [] stop [3, 2, 1, 4, 0, 5]
    start [] stop [] 5 for 6@a
    ");
}

/// Checks that a small job ends in time beside large jobs of another workspace, which it does not in
/// order of arrival. The workspace uses half of its share, so that alone all its items would be in time.
/// Section 3 of docs/design/load.md lets a workspace lose at most 0.1 of its share in time.
#[test]
fn large_job_does_not_delay_small_one() {
    let by_arrival = [0, 1, 2, 5, 10].map(|offset| beside_large_job(offset, |_| None));
    let by_share = [0, 1, 2, 5, 10].map(|offset| beside_large_job(offset, Some));
    let show = |shares: &[(f64, f64)]| {
        let share = |(small, large): &(f64, f64)| format!("{small:.2}/{large:.2}");
        shares.iter().map(share).collect::<Vec<_>>().join(" ")
    };
    insta::assert_snapshot!(
        format!("by arrival {}\nby share {}", show(&by_arrival), show(&by_share)), @r"
        by arrival 0.00/0.16 0.00/0.16 0.80/0.16 0.80/0.16 1.00/0.15
        by share 1.00/0.11 1.00/0.11 1.00/0.11 1.00/0.12 1.00/0.14
        ");
    let worst = |shares: &[(f64, f64)]| shares.iter().fold(1.0, |a: f64, (small, _)| a.min(*small));
    assert!(worst(&by_arrival) < 0.9, "the load is no test of the bound");
    assert!(worst(&by_share) >= 0.9);
}

/// Simulates 200 s in which one workspace submits a job of 200 items every 20 s, and another one a job
/// of 10 items `offset` seconds later. Each item runs for 4 s on one of 8 slots and is due 18 s after its
/// arrival. Returns the shares of the items of the small and of the large jobs that finish in time.
fn beside_large_job(
    offset: u64,
    workspace: fn(&'static str) -> Option<&'static str>,
) -> (f64, f64) {
    const RUN: u64 = 4;
    const DUE: u64 = 18;
    const INTERVAL: u64 = 20;
    const JOBS: u64 = 10;
    struct Item {
        job: u64,
        workspace: &'static str,
        arrival: u64,
        ran: u64,
        end: Option<u64>,
    }
    let mut items: Vec<Item> = Vec::new();
    let mut on: Vec<usize> = Vec::new();
    for now in 0..JOBS * INTERVAL + offset + DUE {
        for at in std::mem::take(&mut on) {
            items[at].ran += 1;
            match items[at].ran == RUN {
                true => items[at].end = Some(now),
                false => on.push(at),
            }
        }
        for (name, count, offset) in [("large", 200, 0), ("small", 10, offset)] {
            let since = now.checked_sub(offset);
            if since.is_some_and(|s| s % INTERVAL == 0 && s / INTERVAL < JOBS) {
                let job = items.last().map_or(0, |i| i.job + 1);
                let item = || Item { job, workspace: name, arrival: now, ran: 0, end: None };
                items.extend(std::iter::repeat_with(item).take(count));
            }
        }
        let owner = |at: usize| plan::Owner {
            priority: 0,
            workspace: workspace(items[at].workspace).map(Into::into),
        };
        let urgency = |at: usize| {
            let left = Duration::from_secs((items[at].arrival + DUE).saturating_sub(now));
            plan::Urgency::new(items[at].job, left, Duration::from_secs(RUN - items[at].ran))
        };
        let open = (0..items.len()).filter(|at| items[*at].end.is_none());
        let (runs, waits): (Vec<usize>, Vec<usize>) = open.partition(|at| on.contains(at));
        let wait = |at: &usize| plan::WaitingItem {
            index: *at,
            service: "s".into(),
            build: None,
            leaves: None,
            urgency: urgency(*at),
            owner: owner(*at),
        };
        let run = |at: &usize| plan::RunningItem {
            index: *at,
            endpoint: "a".into(),
            urgency: urgency(*at),
            owner: owner(*at),
            run_number: *at as u64,
            moves: false,
            stops: plan::Stops::default(),
        };
        let mut endpoint = endpoint("a", runs.len() as u32, 0);
        // One of the slots is reserved for online requests.
        endpoint.slots = 9;
        let waits: Vec<plan::WaitingItem> = waits.iter().map(wait).collect();
        let runs: Vec<plan::RunningItem> = runs.iter().map(run).collect();
        let plan = plan::plan(vec![endpoint], &waits, &runs);
        let yields = |at: &usize| plan.handovers.iter().any(|h| h.stop == *at);
        on.retain(|at| !plan.stop.contains(at) && !yields(at));
        on.extend(plan.start.iter().map(|(at, _)| *at));
        on.extend(plan.handovers.iter().map(|h| h.start));
    }
    let share = |name: &str| {
        let of_workspace = || items.iter().filter(|i| i.workspace == name);
        let in_time = of_workspace().filter(|i| i.end.is_some_and(|e| e <= i.arrival + DUE));
        in_time.count() as f64 / of_workspace().count() as f64
    };
    (share("small"), share("large"))
}

/// Guards against events that are changed, joined or passed on before they are complete.
#[test]
fn events_are_split_unchanged() {
    let stream = b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata:more\r\n\r\n: note\n\nid: x\ndata: 3\n\nid: 4\nda";
    let mut by_size = Vec::new();
    for size in [1, 2, 3, 7, 1_000] {
        let mut splitter = sse::Splitter::default();
        let mut events = Vec::new();
        for part in stream.chunks(size) {
            splitter.push(part).expect("short events");
            while let Some(event) = splitter.next_event() {
                let data = String::from_utf8_lossy(&event.data()).into_owned();
                events.push(format!("{:?} {data:?} {:?}", event.id, event.bytes));
            }
        }
        events.push(format!("rest {:?}", String::from_utf8_lossy(splitter.remainder())));
        by_size.push(events.join("\n"));
    }
    by_size.dedup();
    insta::assert_snapshot!(by_size.join("\n---\n"));
}

/// What the receiver of an answer takes from it, if it has the events up to `last`.
fn taken(last: Option<u64>, answer: &str) -> String {
    let (mut splitter, mut sequence) = (sse::Splitter::default(), sequence::Sequence::default());
    splitter.push(answer.as_bytes()).expect("short events");
    let (mut held, mut taken) = (last, Vec::new());
    while let Some(event) = splitter.next_event() {
        let id = event.id.map_or("-".into(), |id| id.to_string());
        taken.push(match sequence.check(held, &event) {
            Ok(true) => {
                held = event.id.or(held);
                id
            }
            Ok(false) => format!("({id})"),
            Err(failure) => format!("[{failure}]"),
        });
    }
    format!("{last:?}: {}", taken.join(" "))
}

/// Guards against streams that lack an event or join two answers, and against foreign bytes in them.
#[test]
fn events_that_do_not_follow_are_taken() {
    let numbered =
        |ids: &[u64]| -> String { ids.iter().map(|n| format!("id: {n}\ndata: e\n\n")).collect() };
    let ids: [(Option<u64>, &[u64]); 10] = [
        (None, &[1, 2, 3]),
        (None, &[0, 1, 2]),
        (None, &[2, 3]),
        (Some(0), &[1, 2]),
        (Some(3), &[4, 5]),
        (Some(3), &[5, 6]),
        (Some(3), &[1, 2, 3, 4]),
        (None, &[1, 2, 4, 5]),
        (None, &[1, 2, 2, 3]),
        (None, &[1, 2, 1, 2, 3]),
    ];
    let mut seen: Vec<String> =
        ids.iter().map(|(last, ids)| taken(*last, &numbered(ids))).collect();
    seen.extend([
        taken(
            None,
            "id: 1\ndata: e\n\ndata: e\n\n: comment\n\nid: x\ndata: e\n\nid: 2\ndata: e\n\n",
        ),
        taken(None, "id: 1\ndata: e\n\noverloaded\n\nid: 2\ndata: e\n\n"),
        taken(None, "overloaded\n\nid: 1\ndata: e\n\n"),
    ]);
    insta::assert_snapshot!(seen.join("\n"), @r"
    None: 1 2 3
    None: 0 1 2
    None: [the stream begins with event 2] [the stream begins with event 2]
    Some(0): 1 2
    Some(3): 4 5
    Some(3): [event 5 follows event 3] [event 5 follows event 3]
    Some(3): (1) (2) (3) 4
    None: 1 2 [event 4 follows event 2] [event 4 follows event 2]
    None: 1 2 [event 2 follows event 2] [event 2 follows event 2]
    None: 1 2 [event 1 follows event 2] [event 1 follows event 2] [event 1 follows event 2]
    None: 1 - - - 2
    None: 1 [bytes that are no event] [bytes that are no event]
    None: [bytes that are no event] [bytes that are no event]
    ");
}

/// Guards against an item with output that goes on at an endpoint of another build, and against one
/// that waits although an endpoint of its build has a free slot.
#[test]
fn items_go_on_at_their_build() {
    let endpoint = |id: &str, build: &str, own| plan::EndpointLoad {
        build: build.into(),
        ..endpoint(id, own, 0)
    };
    let builds = [Some("v2"), None, Some("v1"), Some("v1"), Some("v3"), None];
    let mut items = waiting(&[IN_TIME; 6]);
    for (item, build) in items.iter_mut().zip(builds) {
        item.build = build.map(Into::into);
    }
    // Of the eight slots of each endpoint one is reserved for online requests.
    let endpoints = vec![endpoint("a", "v1", 6), endpoint("b", "v2", 5), endpoint("c", "v2", 7)];
    let plan = plan::plan(endpoints, &items, &[]);
    let starts =
        plan.start.iter().map(|(index, id)| format!("{}={id}", builds[*index].unwrap_or("any")));
    insta::assert_snapshot!(starts.collect::<Vec<_>>().join(" "), @"v2=b any=b v1=a");
}

/// Guards against plans and stores that take most of the time of a host that is behind, so that it
/// does not catch up.
#[test]
fn slow_plans_and_stores_are_made_less_often() {
    let millis = Duration::from_millis;
    let pauses = [1, 10, 100].map(|n| plan::pause_after(millis(n)));
    let second = millis(1_000);
    let intervals = [10, 600, 3_000].map(|n| plan::store_interval(second, millis(n)));
    insta::assert_snapshot!(format!("{pauses:?} {intervals:?}"),
        @"[8ms, 80ms, 250ms] [1s, 2.4s, 10s]");
}

/// Guards against a request that a stopping process takes though its time ends after the process, and
/// against one that may still be answered and is refused or outlives the process.
#[test]
fn admission_during_a_stop() {
    let origin = tokio::time::Instant::now();
    let ms = |t: tokio::time::Instant| t.duration_since(origin).as_millis();
    let end = origin + Duration::from_millis(7_600);
    let stages = [
        admission::Stage::Serving,
        admission::Stage::Draining { end },
        admission::Stage::Closing { end },
    ];
    let mut seen = Vec::new();
    for (at, stage) in stages.into_iter().enumerate() {
        for limit in [7_600, 7_601] {
            for (repeatable, progress) in [
                (false, admission::Progress::NotRun),
                (false, admission::Progress::MayRun),
                (true, admission::Progress::NotRun),
            ] {
                let limit = origin + Duration::from_millis(limit);
                let terms = admission::Terms { limit, repeatable };
                let deadline = terms.deadline(stage, progress);
                seen.push((at, deadline.map(ms)));
            }
        }
    }
    let (fits, exceeds) = (Some(7_600), Some(7_601));
    let expected = [
        (0, [fits, fits, fits, exceeds, exceeds, exceeds]),
        (1, [fits, fits, fits, None, fits, fits]),
        (2, [fits, fits, fits, None, fits, fits]),
    ];
    let expected: Vec<_> =
        expected.iter().flat_map(|(at, found)| found.iter().map(|f| (*at, *f))).collect();
    assert_eq!(seen, expected);
    let schedule = |grace| {
        let times = admission::Schedule::new(origin, Duration::from_millis(grace));
        [ms(times.closing), ms(times.end), ms(times.cut)]
    };
    // A grace that is shorter than the balancer needs still leaves time for the last answers.
    let seen: Vec<_> = [8_000, 6_000, 2_000, 400, 0].map(schedule).into_iter().collect();
    let expected = [
        [2_600, 7_600, 7_800],
        [2_600, 5_600, 5_800],
        [1_600, 1_600, 1_800],
        [0, 0, 200],
        [0, 0, 200],
    ];
    assert_eq!(seen, expected);
}

//! Decisions about attempts, placement, batch work and streams.

use basilfield::fleet::attempt;
use basilfield::fleet::frame;
use basilfield::fleet::load;
use basilfield::fleet::place;
use basilfield::fleet::plan;
use basilfield::fleet::sse;
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);

/// Guards against a call that must not be repeated and runs twice, a refusal of a request that
/// may have run, and more attempts than the route allows.
#[test]
fn attempts() {
    use attempt::Attempts;
    use attempt::Outcome::*;
    let run = |repeatable, limit, outcomes: &[attempt::Outcome]| {
        let mut attempts = Attempts::new(repeatable, limit);
        let next = outcomes.iter().map(|o| format!("{o:?}={:?}", attempts.after(*o)));
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

fn candidate(id: &str, near: bool, own: u32, online: u32, batch: u32) -> place::Candidate {
    place::Candidate {
        id: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
        near,
        slots: 8,
        running: load::Running { own, online, batch },
        avoided: false,
    }
}

fn chosen(candidates: &[place::Candidate], tried: &[&str]) -> String {
    let tried: Vec<Arc<str>> = tried.iter().map(|t| (*t).into()).collect();
    match place::choose(candidates.to_vec(), &tried, 0) {
        place::Choice::Send(candidate) => candidate.id.to_string(),
        other => format!("{other:?}"),
    }
}

/// Guards against requests that pile up at one endpoint, that wait while every endpoint is full,
/// or that are refused while a slot is free.
#[test]
fn placement() {
    let avoided = place::Candidate { avoided: true, ..candidate("c", true, 0, 0, 0) };
    let seen = [
        chosen(&[candidate("a", true, 3, 0, 0), candidate("b", true, 1, 1, 0)], &[]),
        chosen(&[candidate("a", true, 1, 0, 0), candidate("b", false, 1, 0, 0)], &[]),
        chosen(&[candidate("a", true, 2, 0, 0), candidate("b", false, 1, 0, 0)], &[]),
        chosen(&[candidate("a", true, 2, 0, 6), candidate("b", true, 4, 0, 0)], &[]),
        chosen(&[candidate("a", true, 1, 0, 0), candidate("b", true, 4, 0, 0)], &["a"]),
        chosen(&[candidate("a", true, 4, 6, 0), candidate("b", true, 10, 0, 0)], &[]),
        chosen(&[avoided.clone(), candidate("b", true, 7, 0, 0)], &[]),
        chosen(&[avoided.clone(), candidate("b", true, 10, 0, 0)], &[]),
        chosen(&[avoided], &[]),
        chosen(&[candidate("a", true, 0, 0, 0)], &["a"]),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r"
    b
    a
    b
    b
    b
    Full
    b
    Full
    c
    None
    ");
}

/// Guards against an endpoint that is avoided for good, or that every failing request of one
/// outage puts off further.
#[test]
fn failing_endpoints_are_tried_again() {
    let mut health = place::Health::default();
    let id: Arc<str> = "a".into();
    let ms = Duration::from_millis;
    let pauses: Vec<u128> = [0, 10, 20, 500, 1_500, 4_000, 20_000, 40_000, 60_000]
        .map(|at| health.failed(ms(at), &id).as_millis())
        .to_vec();
    let avoided = (health.avoided(ms(60_100), "a"), health.avoided(ms(70_000), "a"));
    health.answered("a");
    let after = health.failed(ms(70_000), &id).as_millis();
    insta::assert_snapshot!(format!("{pauses:?} {avoided:?} {after}"),
        @"[400, 390, 380, 800, 1600, 3200, 3200, 3200, 3200] (true, false) 400");
}

/// Guards against reports that are counted after their sender is gone, or in the wrong order.
#[test]
fn load_reports_age() {
    let mut loads = load::Loads::default();
    let report = |born, seq, count| frame::Load {
        born,
        seq,
        batch: false,
        running: vec![("e".into(), count)],
    };
    let (host, endpoint): (Arc<str>, Arc<str>) = ("h".into(), "e".into());
    loads.start(&endpoint);
    loads.note(NOW, &host, report(1, 5, 4));
    loads.note(NOW, &host, report(1, 4, 9));
    let first = loads.running(NOW, "e");
    loads.note(NOW, &host, report(2, 1, 2));
    let restarted = loads.running(NOW, "e").online;
    let aged = loads.running(NOW + Duration::from_secs(2), "e").online;
    loads.end(&endpoint);
    let own = loads.running(NOW, "e").own;
    insta::assert_snapshot!(format!("{first:?} {restarted} {aged} {own}"),
        @"Running { own: 1, online: 4, batch: 0 } 2 0 0");
}

fn place(id: &str, own: u32, online: u32) -> plan::Place {
    let running = load::Running { own, online, batch: 0 };
    plan::Place { id: id.into(), service: "s".into(), slots: 8, running, open: true }
}

/// Guards against items that keep slots which online requests need, that take the last free slot,
/// or that start where nothing may start.
#[test]
fn items_yield_to_online_requests() {
    let waiting: Vec<plan::Waiting> =
        (0..9).map(|index| plan::Waiting { index, service: "s".into() }).collect();
    let running: Vec<plan::Running> = (0..6)
        .map(|index| plan::Running { index, endpoint: "a".into(), order: index as u64 })
        .collect();
    let show = |plan: plan::Plan| {
        let start: Vec<String> = plan.start.iter().map(|(i, e)| format!("{i}@{e}")).collect();
        format!("start [{}] stop {:?}", start.join(" "), plan.stop)
    };
    let closed = plan::Place { open: false, ..place("c", 0, 0) };
    let other = plan::Place { service: "t".into(), ..place("d", 0, 0) };
    let seen = [
        show(plan::plan(vec![place("a", 6, 1)], &waiting, &running)),
        show(plan::plan(vec![place("a", 6, 5)], &waiting, &running)),
        show(plan::plan(vec![place("a", 6, 12)], &[], &running)),
        show(plan::plan(vec![place("a", 0, 4), place("b", 0, 5)], &waiting, &[])),
        show(plan::plan(vec![closed, other], &waiting, &[])),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r"
    start [] stop []
    start [] stop [5, 4, 3]
    start [] stop [5, 4, 3, 2, 1, 0]
    start [0@a 1@b 2@a 3@b 4@a] stop []
    start [] stop []
    ");
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
        events.push(format!("rest {:?}", String::from_utf8_lossy(splitter.rest())));
        by_size.push(events.join("\n"));
    }
    by_size.dedup();
    insta::assert_snapshot!(by_size.join("\n---\n"));
}

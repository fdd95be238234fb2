//! Requests that wait at an entry for a slot.

use basilfield::fleet::waiting;
use proptest::prelude::*;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const BUILD: &str = "v1";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ticket of a request without a workspace that joins at `at` milliseconds.
fn join(queue: &mut waiting::Queue, at: u64, limit: Duration, running: u32) -> Option<u64> {
    let joined = queue.join(ms(at), limit, running, None, &waiting::Claim::default())?;
    assert!(joined.displaced.is_empty(), "{joined:?}");
    Some(joined.ticket)
}

/// Guards against requests that wait although no slot can be free in time, that lose their turn, or
/// that get a slot after they have left or waited too long.
#[test]
fn slots_pass_to_requests_in_order_of_arrival() {
    let mut queue = waiting::Queue::default();
    let limit = ms(180);
    let mut seen = vec![format!("unknown run time {:?}", join(&mut queue, 0, limit, 5))];
    queue.release(ms(10), ms(800), BUILD);
    seen.push(format!("nothing runs {:?}", join(&mut queue, 20, limit, 0)));
    // Ten running requests release a slot every 80 ms.
    let joined: Vec<_> = (0..3).map(|_| join(&mut queue, 20, limit, 10)).collect();
    seen.push(format!("{joined:?}"));
    queue.leave(1);
    seen.push(format!("next {:?}", queue.release(ms(100), ms(800), BUILD)));
    let late = join(&mut queue, 110, limit, 10);
    seen.push(format!("{late:?}, too late {:?}", queue.release(ms(291), ms(800), BUILD)));
    insta::assert_snapshot!(seen.join("\n"), @r"
    unknown run time None
    nothing runs None
    [Some(1), Some(2), None]
    next Some(2)
    Some(3), too late None
    ");
}

/// Guards against a stream that loses its endpoint and is cut off because new requests take every
/// slot at which it could go on, or because it gets one of a build that cannot continue it.
#[test]
fn slots_pass_to_broken_streams_first() {
    let mut queue = waiting::Queue::default();
    let (limit, v1, v2) = (ms(5_000), Arc::from("v1"), Arc::from("v2"));
    queue.release(ms(0), ms(100), "v1");
    let joined = [
        join(&mut queue, 0, limit, 5),
        Some(queue.join_first(ms(1), limit, &v2)),
        join(&mut queue, 2, limit, 5),
        Some(queue.join_first(ms(3), limit, &v1)),
        Some(queue.join_first(ms(4), ms(10), &v2)),
        Some(queue.join_first(ms(5), limit, &v2)),
    ];
    let freed = [(10, "v2"), (15, "v2"), (20, "v1"), (25, "v1"), (30, "v1"), (35, "v1")];
    let passed = freed.map(|(at, build)| queue.release(ms(at), ms(100), build));
    insta::assert_snapshot!(format!("{joined:?}\n{passed:?}"), @r"
    [Some(1), Some(2), Some(3), Some(4), Some(5), Some(6)]
    [Some(2), Some(6), Some(4), Some(1), Some(3), None]
    ");
}

fn claim(workspace: &str, priorities: (u64, u64)) -> waiting::Claim {
    let rank = waiting::Rank { workspace: priorities.0, route: priorities.1 };
    waiting::Claim { rank, workspace: (!workspace.is_empty()).then(|| workspace.into()) }
}

/// Queue of an entry whose requests run for 100 ms.
fn started_queue() -> waiting::Queue {
    let mut queue = waiting::Queue::default();
    queue.release(ms(0), ms(100), BUILD);
    queue
}

/// Joins requests in order of arrival, each given as name, workspace, priorities and time in
/// milliseconds that is left. Returns their names in the order in which they get slots.
fn order(queue: &mut waiting::Queue, requests: &[(&'static str, &str, (u64, u64), u64)]) -> String {
    let names: Vec<(u64, &str)> = requests
        .iter()
        .map(|(name, workspace, priorities, left)| {
            let claim = claim(workspace, *priorities);
            let joined = queue.join(ms(0), ms(*left), 100, None, &claim).expect("in time");
            assert!(joined.displaced.is_empty(), "{joined:?}");
            (joined.ticket, *name)
        })
        .collect();
    let offers = std::iter::from_fn(|| queue.offer(ms(1), BUILD));
    let name = |ticket| names.iter().find(|(t, _)| *t == ticket).map_or("unknown", |(_, n)| *n);
    offers.map(name).collect::<Vec<_>>().join(" ")
}

/// Guards against a workspace with many requests that makes the others wait for all of them, and
/// against priorities, times and arrivals that count in another order than stated.
#[test]
fn slots_pass_by_rank_then_turn_then_time() {
    let even = (1, 1);
    let mut seen = vec![order(
        &mut started_queue(),
        &[
            ("a1", "a", even, 900),
            ("a2", "a", even, 900),
            ("a3", "a", even, 900),
            ("b1", "b", even, 900),
            ("b2", "b", even, 900),
            ("c1", "c", even, 900),
        ],
    )];
    seen.push(order(
        &mut started_queue(),
        &[
            ("late", "a", even, 900),
            ("soon", "a", even, 500),
            ("other", "b", even, 700),
            ("tie", "c", even, 500),
        ],
    ));
    seen.push(order(
        &mut started_queue(),
        &[
            ("1,1", "a", (1, 1), 900),
            ("2,0", "b", (2, 0), 900),
            ("1,0", "a", (1, 0), 900),
            ("0,9", "c", (0, 9), 900),
            ("open", "", (0, 0), 900),
        ],
    ));
    // What a workspace has taken before counts, until it is so long ago that it is forgotten.
    for wait in [0, 60_000] {
        let mut queue = started_queue();
        (0..3).for_each(|_| queue.record_turn(ms(0), &claim("a", even)));
        let limit = ms(wait + 900);
        let names = ["a1", "b1", "b2", "b3"];
        for name in names {
            let joined = queue.join(ms(wait), limit, 100, None, &claim(&name[..1], even));
            assert!(joined.is_some(), "{name}");
        }
        let tickets: Vec<u64> = std::iter::from_fn(|| queue.offer(ms(wait), BUILD)).collect();
        let got: Vec<&str> = tickets.iter().map(|t| names[*t as usize - 1]).collect();
        seen.push(format!("{} accounts: {}", got.join(" "), queue.account_count()));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    a1 b1 c1 a2 b2 a3
    soon tie other late
    open 0,9 1,0 1,1 2,0
    b1 b2 b3 a1 accounts: 2
    b1 a1 b2 b3 accounts: 2
    ");
}

/// Guards against a request that waits until its time is over although others have gone first, and
/// against one that is admitted by the length of the queue rather than by its own position.
#[test]
fn requests_learn_at_once_that_others_go_first() {
    let mut queue = started_queue();
    let mut join = |workspace, priorities| {
        // Two running requests release a slot every 50 ms.
        queue.join(ms(0), ms(110), 2, None, &claim(workspace, priorities))
    };
    let joined = [
        join("a", (1, 0)),
        join("a", (1, 0)),
        join("a", (1, 0)),
        join("b", (1, 0)),
        join("b", (1, 0)),
        join("c", (0, 0)),
    ];
    let seen: Vec<String> = joined.iter().map(|joined| format!("{joined:?}")).collect();
    insta::assert_snapshot!(seen.join("\n"), @r"
    Some(Joined { ticket: 1, displaced: [] })
    Some(Joined { ticket: 2, displaced: [] })
    None
    Some(Joined { ticket: 3, displaced: [2] })
    None
    Some(Joined { ticket: 4, displaced: [3] })
    ");
}

/// Guards against a new request of a busy workspace that takes a free slot while requests of others
/// wait, and against one that waits although its own turn comes first.
#[test]
fn free_slots_pass_to_those_that_go_first() {
    let mut queue = started_queue();
    (0..5).for_each(|_| queue.record_turn(ms(0), &claim("busy", (0, 0))));
    let seen = [
        queue.offer_before(ms(1), BUILD, &claim("busy", (0, 0))),
        queue.join(ms(1), ms(900), 9, None, &claim("b", (0, 0))).map(|j| j.ticket),
        queue.join(ms(1), ms(900), 9, None, &claim("busy", (0, 0))).map(|j| j.ticket),
        queue.offer_before(ms(2), BUILD, &claim("c", (1, 0))),
        queue.offer_before(ms(2), BUILD, &claim("c", (0, 0))),
        queue.offer_before(ms(2), BUILD, &claim("busy", (0, 0))),
        Some(queue.join_first(ms(3), ms(900), &"v2".into())),
        queue.offer_before(ms(3), BUILD, &claim("c", (0, 0))),
        queue.offer_before(ms(3), "v2", &claim("c", (0, 0))),
    ];
    insta::assert_snapshot!(format!("{seen:?}"), @"[None, Some(1), Some(2), Some(1), None, None, Some(3), None, Some(3)]");
}

/// Guards against a late request that looks for a slot while one that can be in time waits, that waits
/// although its caller gives up before, or that goes before an earlier or more urgent one.
#[test]
fn late_requests_wait_behind_all_others() {
    let mut queue = waiting::Queue::default();
    let even = claim("a", (1, 0));
    let mut seen =
        vec![format!("unknown run time {:?}", queue.join_late(ms(0), ms(5_000), 2, &even))];
    queue.release(ms(0), ms(100), BUILD);
    // Two running requests release a slot every 50 ms, and a request runs for 100 ms.
    let late = [
        queue.join_late(ms(0), ms(90), 2, &even),
        queue.join_late(ms(0), ms(160), 2, &even),
        queue.join_late(ms(0), ms(160), 2, &even),
        queue.join_late(ms(0), ms(900), 2, &claim("b", (1, 0))),
        queue.join_late(ms(0), ms(900), 2, &claim("c", (0, 0))),
        queue.join_late(ms(0), ms(900), 0, &even),
    ];
    seen.push(format!("{late:?}"));
    seen.push(format!("too soon {}", queue.begin_search(ms(10))));
    let in_time = queue.join(ms(50), ms(100), 2, None, &even).map(|j| j.ticket);
    seen.push(format!("another waits {in_time:?} {}", queue.begin_search(ms(50))));
    seen.push(format!(
        "released {:?} {:?}",
        queue.offer(ms(50), BUILD),
        queue.offer(ms(50), BUILD)
    ));
    seen.push(format!("due {}, again {}", queue.begin_search(ms(55)), queue.begin_search(ms(60))));
    let offers: Vec<_> = std::iter::from_fn(|| queue.offer_late(ms(61))).collect();
    seen.push(format!(
        "after the first could end {offers:?}, none left {}",
        queue.begin_search(ms(200))
    ));
    seen.push(format!("spare {} {}", waiting::has_spare(40, 400), waiting::has_spare(41, 400)));
    insta::assert_snapshot!(seen.join("\n"), @r"
    unknown run time None
    [None, Some(1), None, Some(2), Some(3), None]
    too soon false
    another waits Some(4) false
    released Some(4) None
    due true, again false
    after the first could end [3, 2], none left false
    spare false true
    ");
}

/// Queue in order of arrival, as it was before requests had workspaces and ranks.
#[derive(Default)]
struct Former {
    waiting: VecDeque<(u64, Duration, Option<Arc<str>>)>,
    last_ticket: u64,
    run_time: Option<Duration>,
}

impl Former {
    fn join(
        &mut self,
        now: Duration,
        limit: Duration,
        running: u32,
        grant: Option<Duration>,
    ) -> Option<u64> {
        let position = self.waiting.len() as u32 + 1;
        let release = self.run_time.and_then(|t| t.saturating_mul(position).checked_div(running));
        let wait = release.into_iter().chain(grant).min()?;
        (wait <= limit).then(|| self.insert(self.waiting.len(), now + limit, None))
    }

    fn join_first(&mut self, now: Duration, limit: Duration, build: &Arc<str>) -> u64 {
        let at = self.waiting.partition_point(|w| w.2.is_some());
        self.insert(at, now + limit, Some(build.clone()))
    }

    fn insert(&mut self, at: usize, until: Duration, build: Option<Arc<str>>) -> u64 {
        self.last_ticket += 1;
        self.waiting.insert(at, (self.last_ticket, until, build));
        self.last_ticket
    }

    fn release(&mut self, now: Duration, run_time: Duration, build: &str) -> Option<u64> {
        let average = self.run_time.unwrap_or(run_time);
        self.run_time = Some(average.mul_f64(0.9) + run_time.mul_f64(0.1));
        self.waiting.retain(|w| w.1 >= now);
        let at = self.waiting.iter().position(|w| w.2.as_deref().is_none_or(|b| b == build))?;
        self.waiting.remove(at).map(|w| w.0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against another order or estimate than before in a configuration without workspaces.
    #[test]
    fn order_without_workspaces_is_as_before(
        steps in prop::collection::vec((0u8..6, 0u64..60, 1u64..400, 0u32..20), 1..200),
    ) {
        let (mut former, mut present) = (Former::default(), waiting::Queue::default());
        let builds: [Arc<str>; 2] = ["v1".into(), "v2".into()];
        let mut now = ms(0);
        for (kind, pause, time, number) in steps {
            now += ms(pause);
            let build = &builds[number as usize % 2];
            let (before, after) = match kind {
                0..=2 => {
                    let grant = (number > 17).then(|| ms(pause * 4));
                    let claim = claim("", (0, 7));
                    let joined = present.join(now, ms(time), number, grant, &claim);
                    prop_assert!(joined.as_ref().is_none_or(|j| j.displaced.is_empty()));
                    (former.join(now, ms(time), number, grant), joined.map(|j| j.ticket))
                }
                3 => {
                    let before = former.join_first(now, ms(time), build);
                    (Some(before), Some(present.join_first(now, ms(time), build)))
                }
                4 => {
                    let ticket = former.waiting.get(number as usize).map(|w| w.0);
                    former.waiting.retain(|w| Some(w.0) != ticket);
                    ticket.into_iter().for_each(|ticket| present.leave(ticket));
                    (None, None)
                }
                _ => (former.release(now, ms(time), build), present.release(now, ms(time), build)),
            };
            prop_assert_eq!(before, after);
            prop_assert_eq!(former.run_time, present.run_time());
            let waiting: u32 = present.wanted().values().sum();
            prop_assert_eq!(former.waiting.len() as u32, waiting);
        }
    }
}

//! Replays of loads at their worst against the modules that decide, in simulated time.

#[path = "loads/paces.rs"]
mod paces;
#[path = "loads/shares.rs"]
mod shares;
#[path = "loads/steps.rs"]
mod steps;

use basilfield::fleet::load;
use basilfield::fleet::place;
use basilfield::fleet::placement::pace;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Former policy: the endpoint with the fewest requests, with a preference of half a request for the
/// own failure domain.
fn fewest_requests(candidates: Vec<place::Candidate>, random: u64) -> place::Choice {
    let mut candidates = candidates;
    let start = random as usize % candidates.len();
    candidates.rotate_left(start);
    let online = |c: &place::Candidate| c.running.own + c.running.online;
    let cost = |c: &place::Candidate| 2 * (online(c) + c.running.batch) + u32::from(!c.same_domain);
    let best =
        candidates.into_iter().filter(|c| online(c) < c.slots + c.slots / 4).min_by_key(cost);
    best.map_or(place::Choice::Wait(None), place::Choice::Send)
}

fn present(candidates: Vec<place::Candidate>, random: u64) -> place::Choice {
    place::choose(candidates, &[], random)
}

/// The present choice of an endpoint, without requests that wait at the entry.
fn without_queue(candidates: Vec<place::Candidate>, random: u64) -> place::Choice {
    match present(candidates, random) {
        place::Choice::Wait(Some(other)) => place::Choice::Send(other),
        choice => choice,
    }
}

/// Guards against entries that all choose the same few endpoints when the load steps up, so that
/// requests wait there while slots are free elsewhere.
#[test]
fn steps_of_online_requests_spread_over_free_slots() {
    let former = steps::replay(steps::LIGHT, fewest_requests);
    let present = steps::replay(steps::LIGHT, without_queue);
    println!("former {former:?}\npresent {present:?}");
    assert!(present.in_time > former.in_time, "{former:?} {present:?}");
    // Nine of ten requests are in time also in the worst second.
    assert!(present.worst_second >= 0.9, "{former:?} {present:?}");
    assert!(present.far < former.far / 2.0, "{former:?} {present:?}");
}

/// Guards against requests that wait at one endpoint while a slot becomes free at another, when
/// steps of the load exceed all slots.
#[test]
fn steps_beyond_all_slots_wait_at_the_entry() {
    let former = steps::replay(steps::HEAVY, fewest_requests);
    let without = steps::replay(steps::HEAVY, without_queue);
    let present = steps::replay(steps::HEAVY, present);
    println!("former {former:?}\nwithout queue {without:?}\npresent {present:?}");
    assert!(present.in_time > without.in_time.max(former.in_time));
    assert!(present.worst_second > without.worst_second.max(former.worst_second));
    // The steps ask for 7% more than all slots give, for 2.4 s; the rest has to wait or to come back.
    assert!(present.in_time >= 0.9 && present.refused <= 0.05, "{present:?}");
}

/// Share by which the worst tenth of the workspaces may be below the mean, and how much less often than
/// all together one may be served, from the requirements.
const MAX_LOSS: f64 = 0.1;
const MIN_SERVED: f64 = 0.25;

fn show(name: &str, outcome: &shares::Outcome) {
    let total = outcome.total();
    println!(
        "{name}: in time {:.3}, served {:.3}, least served {:.3}, worst tenth in time {:.3}, busy one \
         {:.3}, largest {:.3}, others by window {:.2?}",
        total.share_in_time(),
        total.share_served(),
        outcome.least_served(),
        outcome.worst_tenth(),
        outcome.busy.share_in_time(),
        outcome.workspaces[0].share_in_time(),
        outcome.others.iter().map(shares::Count::share_in_time).collect::<Vec<_>>(),
    );
}

/// Guards against a workspace with many times its usual load that takes the slots of the others.
#[test]
fn workspaces_keep_their_shares_when_slots_are_scarce() {
    let former = shares::replay(shares::Policy::Former, shares::Pattern::Steps, false);
    let queue_only = shares::replay(shares::Policy::QueueOnly, shares::Pattern::Steps, false);
    let present = shares::replay(shares::Policy::Present, shares::Pattern::Steps, false);
    show("former", &former);
    show("queue only", &queue_only);
    show("present", &present);
    let total = present.total();
    assert!(present.least_served() >= MIN_SERVED * total.share_served());
    assert!(present.worst_tenth() >= total.share_in_time() - MAX_LOSS);
    for at in shares::busy_windows() {
        let share = |outcome: &shares::Outcome| outcome.others[at].share_in_time();
        assert!(share(&present) >= share(&former).max(share(&queue_only)), "window {at}");
    }
}

/// Guards against fair shares at the expense of all: in no window may fewer requests of the others be
/// in time than in order of arrival, also while no workspace is above its usual load.
#[test]
fn fair_shares_cost_the_others_nothing_in_any_window() {
    let former = shares::replay(shares::Policy::Former, shares::Pattern::Steps, false);
    let present = shares::replay(shares::Policy::Present, shares::Pattern::Steps, false);
    let windows = present.others.iter().zip(&former.others).enumerate();
    let worse: Vec<_> =
        windows.filter(|(_, (now, was))| now.share_in_time() < was.share_in_time()).collect();
    assert!(worse.is_empty(), "{worse:?}");
}

/// Guards against requests of an urgent workspace that wait for those of a less urgent one.
#[test]
fn urgent_workspaces_are_served_at_least_as_often() {
    let former = shares::replay(shares::Policy::Former, shares::Pattern::Steps, true);
    let present = shares::replay(shares::Policy::Present, shares::Pattern::Steps, true);
    show("former", &former);
    show("present", &present);
    println!("by priority: former {:?}, present {:?}", former.priorities, present.priorities);
    let [urgent, less] = present.priorities;
    assert!(urgent.share_served() >= less.share_served(), "{urgent:?} {less:?}");
    assert!(urgent.share_in_time() >= less.share_in_time(), "{urgent:?} {less:?}");
}

/// Least number of requests in time under an overload, compared with a load that just fills the slots,
/// from the requirements.
const MIN_IN_TIME: f64 = 0.95;

/// Guards against an overload that lowers the number of requests in time, although the slots are the
/// same, and against refusals that cost callers more than a late response.
#[test]
fn overload_leaves_as_many_requests_in_time() {
    let replay = |policy, load| shares::replay(policy, shares::Pattern::Overload(load), false);
    let refusing = replay(shares::Policy::Refusing, 2.0);
    let present = replay(shares::Policy::Present, 2.0);
    for (name, outcome) in [("refusing", &refusing), ("present", &present)] {
        let total = outcome.total();
        println!(
            "{name}: {total:?}, value {:.0}, refusals {}, refused twice {}, in time by window {:?}",
            total.value(),
            outcome.refusals,
            outcome.refused_twice,
            outcome.windows.iter().map(|w| w.in_time).collect::<Vec<_>>(),
        );
    }
    let full = replay(shares::Policy::Present, 1.0);
    println!(
        "full: in time by window {:?}",
        full.windows.iter().map(|w| w.in_time).collect::<Vec<_>>()
    );
    let windows = present.windows.iter().zip(&full.windows).enumerate();
    let worse: Vec<_> = windows
        .filter(|(_, (now, full))| f64::from(now.in_time) < MIN_IN_TIME * f64::from(full.in_time))
        .collect();
    assert!(worse.is_empty(), "{worse:?}");
    assert!(present.total().in_time >= refusing.total().in_time);
    assert!(present.total().value() > refusing.total().value());
    assert!(present.refused_twice < refusing.refused_twice);
}

/// Load of the reference fleet of today, whose steps nearly fill all slots.
const TODAY: paces::Load = paces::Load {
    entries: 23,
    endpoints: 50,
    rate: 300.0,
    length: 90_000,
    speeds: true,
    failures: false,
    seed: 7,
};

/// Runs of a replay with different arrivals.
const RUNS: u64 = 8;

fn share((asked, met): (u32, u32)) -> f64 {
    f64::from(met) / f64::from(asked)
}

fn sum(windows: impl Iterator<Item = (u32, u32)>) -> (u32, u32) {
    windows.fold((0, 0), |sum, window| (sum.0 + window.0, sum.1 + window.1))
}

fn show_paces(name: &str, outcome: &paces::Outcome) {
    let (time, count) = outcome.complete;
    println!(
        "{name}: busiest {:.2}, mean time {} ms, failed {}, refused {}, in time {:.4}",
        outcome.busiest,
        time / count,
        outcome.failed,
        outcome.refused,
        share(sum(outcome.windows().iter().copied())),
    );
}

/// Guards against slow endpoints that get as many requests as fast ones, and against a preference for
/// fast ones that makes first events late.
#[test]
fn endpoints_get_requests_by_their_speed() {
    let replay = |policy| -> Vec<paces::Outcome> {
        let run = |seed| paces::replay(paces::Load { seed, ..TODAY }, policy);
        let outcomes: Vec<paces::Outcome> = (0..RUNS).map(run).collect();
        outcomes.iter().for_each(|outcome| show_paces(&format!("{policy:?}"), outcome));
        outcomes
    };
    let former = replay(paces::Policy::Former);
    let present = replay(paces::Policy::Present);
    // The second `at` of all runs, since in a single run it differs by chance.
    let second = |runs: &[paces::Outcome], at: usize| sum(runs.iter().map(|o| o.windows()[at]));
    // The seconds at the same position of a step.
    let position = |runs: &[paces::Outcome], at: usize| {
        sum((at..former[0].windows().len()).step_by(6).map(|at| second(runs, at)))
    };
    for at in 0..6 {
        let (now, was) = (share(position(&present, at)), share(position(&former, at)));
        println!("second {at} of the pattern: former {was:.4}, present {now:.4}");
    }
    let mut lower = 0;
    for at in 0..former[0].windows().len() {
        let (now, was) = (second(&present, at), second(&former, at));
        lower += u32::from(now.1 < was.1);
        // Three standard deviations of the difference of two numbers of late requests.
        let chance = 3.0 * f64::from(1 + (now.0 - now.1) + (was.0 - was.1)).sqrt();
        assert!(f64::from(now.1) + chance >= f64::from(was.1), "second {at}: {now:?} {was:?}");
    }
    println!("{lower} of {} seconds are lower", former[0].windows().len());
    for at in 0..6 {
        let (now, was) = (share(position(&present, at)), share(position(&former, at)));
        assert!(now >= was, "second {at} of the pattern: {now} {was}");
    }
    assert!(present.iter().all(|o| o.busiest <= 1.3), "{present:?}");
}

/// Guards against a choice that differs from that by free slots although endpoints do not differ.
#[test]
fn equal_endpoints_are_chosen_by_free_slots() {
    let equal = paces::Load { speeds: false, length: 45_000, ..TODAY };
    let former = paces::replay(equal, paces::Policy::Former);
    assert_eq!(former, paces::replay(equal, paces::Policy::Present));
}

/// Guards against a large fleet in which few responses for each endpoint are taken for deviations.
#[test]
fn large_fleets_are_placed_no_worse() {
    let large =
        paces::Load { entries: 340, endpoints: 1_100, rate: 800.0, length: 33_000, ..TODAY };
    let former = paces::replay(large, paces::Policy::Former);
    let present = paces::replay(large, paces::Policy::Present);
    show_paces("former", &former);
    show_paces("present", &present);
    let mut windows = present.windows().iter().zip(former.windows());
    assert!(windows.all(|(now, was)| share(*now) >= share(*was)));
}

/// Guards against requests that may run only once and are sent to endpoints that fail a part of theirs.
#[test]
fn requests_that_run_once_avoid_failing_endpoints() {
    let failing = paces::Load { speeds: false, failures: true, length: 240_000, ..TODAY };
    let former = paces::replay(failing, paces::Policy::Former);
    let present = paces::replay(failing, paces::Policy::Present);
    show_paces("former", &former);
    show_paces("present", &present);
    assert!(3 * present.failed <= former.failed, "{} {}", present.failed, former.failed);
}

/// Guards against a choice that is slow where many endpoints deviate.
#[test]
fn choice_among_many_deviating_endpoints_is_fast() {
    let ids: Vec<Arc<str>> = (0..1_000).map(|e| format!("e{e:04}").into()).collect();
    let deviation = |id: &Arc<str>| pace::Deviation {
        id: id.clone(),
        speeds: [12, 14, 16, 20],
        failing: false,
        last_sent: Duration::ZERO,
    };
    let deviations: Vec<pace::Deviation> = ids.iter().map(deviation).collect();
    let candidate = |id: &Arc<str>| place::Candidate {
        id: id.clone(),
        start_time: 1,
        address: ([127, 0, 0, 1], 1).into(),
        build: id.clone(),
        same_domain: true,
        slots: 8,
        running: load::Running { own: 0, online: 2, batch: 0 },
        avoided: false,
        allowance: None,
    };
    let candidates: Vec<place::Candidate> = ids.iter().map(candidate).collect();
    let experience =
        place::Experience { now: Duration::ZERO, deviations: &deviations, repeatable: true };
    // The median is hardly affected by other processes on the machine.
    let mut times: Vec<Duration> = (0..501u64)
        .map(|random| {
            let candidates = candidates.clone();
            let random = random.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let begun = Instant::now();
            let choice = place::choose_by(candidates, &[], random, &experience);
            let taken = begun.elapsed();
            assert!(matches!(choice, (place::Choice::Send(_), Some(place::Reason::Speed))));
            taken
        })
        .collect();
    times.sort();
    let mut former: Vec<Duration> = (0..501u64)
        .map(|random| {
            let candidates = candidates.clone();
            let begun = Instant::now();
            place::choose(candidates, &[], random.wrapping_mul(0x9E37_79B9_7F4A_7C15));
            begun.elapsed()
        })
        .collect();
    former.sort();
    let mut dropped: Vec<Duration> = (0..501u64)
        .map(|_| {
            let candidates = candidates.clone();
            let begun = Instant::now();
            drop(candidates);
            begun.elapsed()
        })
        .collect();
    dropped.sort();
    println!(
        "median {:?}, by free slots alone {:?}, release of the list {:?}",
        times[250], former[250], dropped[250]
    );
    // The list is made and released with each policy; only the choice is limited.
    let choice = times[250].saturating_sub(dropped[250]);
    assert!(choice < Duration::from_micros(20), "{choice:?}");
    assert!(times[250] <= former[250], "{:?} {:?}", times[250], former[250]);
}

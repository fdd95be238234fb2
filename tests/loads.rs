//! Replays of loads at their worst against the modules that decide, in simulated time.

#[path = "loads/shares.rs"]
mod shares;
#[path = "loads/steps.rs"]
mod steps;

use basilfield::fleet::place;

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

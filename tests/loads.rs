//! Replays of loads at their worst against the modules that decide, in simulated time.

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

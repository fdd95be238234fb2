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
    best.map_or(place::Choice::Full, place::Choice::Send)
}

fn present(candidates: Vec<place::Candidate>, random: u64) -> place::Choice {
    place::choose(candidates, &[], random)
}

/// Guards against entries that all choose the same few endpoints when the load steps up, so that
/// requests wait there while slots are free elsewhere.
#[test]
fn steps_of_online_requests_spread_over_free_slots() {
    let former = steps::replay(fewest_requests);
    let present = steps::replay(present);
    println!("former {former:?}\npresent {present:?}");
    assert!(present.in_time > former.in_time, "{former:?} {present:?}");
    // Nine of ten requests are in time also in the worst second.
    assert!(present.worst_second >= 0.9, "{former:?} {present:?}");
    assert!(present.far < former.far / 2.0, "{former:?} {present:?}");
}

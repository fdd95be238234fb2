//! Exhaustive exploration of the specification of the replica core within small bounds.

#[path = "models/replica.rs"]
mod model;

use model::Bounds;
use model::Fault;
use model::Invariant;
use model::Model;
use model::State;
use pathfinding::directed::bfs;

const ALL_INVARIANTS: &[Invariant] =
    &[Invariant::OneLeader, Invariant::LeaderComplete, Invariant::CommittedStays];

fn successors(model: &Model, state: &State) -> Vec<State> {
    model.successors(state).into_iter().map(|(_, to)| to).collect()
}

/// Expects that a fault breaks an invariant, and prints the shortest trace to it.
fn expect_violation(fault: Fault, invariant: &'static [Invariant], bounds: Bounds) {
    let model = Model { bounds, fault, checked: invariant };
    let found =
        bfs::bfs(&model.initial_state(), |s| successors(&model, s), |s| s.violation.is_some());
    let trace = found.unwrap_or_else(|| panic!("{fault:?} breaks {invariant:?}"));
    println!("{fault:?} breaks {invariant:?} at {bounds:?} in {} steps", trace.len() - 1);
    for pair in trace.windows(2) {
        let steps = model.successors(&pair[0]);
        let step = steps.iter().find(|(_, to)| *to == pair[1]).map(|(action, _)| action);
        println!("  {step:?}");
    }
}

/// Explores every state of the specification without a fault and prints their number.
fn explore(bounds: Bounds) -> Vec<State> {
    let model = Model { bounds, fault: Fault::None, checked: ALL_INVARIANTS };
    let states: Vec<State> =
        bfs::bfs_reach(model.initial_state(), |s| successors(&model, s)).collect();
    let broken = states.iter().find(|s| s.violation.is_some());
    assert!(broken.is_none(), "{broken:?}");
    println!("{} states at {bounds:?}", states.len());
    states
}

const SMALL_BOUNDS: Bounds =
    Bounds { leader_at_start: false, term: 2, log: 2, losses: 0, restarts: 0 };

/// Guards against elections and commits that violate an invariant while no disk is lost.
#[test]
fn elections_and_commits_hold() {
    explore(Bounds { term: 4, ..SMALL_BOUNDS });
    explore(Bounds { term: 3, log: 3, ..SMALL_BOUNDS });
}

/// Guards against a lost disk that violates an invariant, before and during a repair.
#[test]
fn lost_disk_holds() {
    explore(Bounds { log: 3, losses: 1, ..SMALL_BOUNDS });
}

/// Guards against a violated invariant after a complete repair, or after a second lost disk right
/// after it.
#[test]
fn complete_repair_holds() {
    let states = explore(Bounds { leader_at_start: true, log: 4, losses: 2, ..SMALL_BOUNDS });
    // A second loss is possible only after a complete repair. If the bounds did not allow one, the
    // test would show nothing.
    assert!(states.iter().any(|s| s.losses == 2), "a repair is completed");
}

/// Shows that the check notices a replica that votes twice in a term.
#[test]
fn forgotten_vote_breaks_election() {
    expect_violation(
        Fault::ForgetsVote,
        &[Invariant::OneLeader],
        Bounds { restarts: 1, ..SMALL_BOUNDS },
    );
}

/// Shows that the check notices votes for candidates that lack committed entries.
#[test]
fn ignored_log_breaks_commit() {
    expect_violation(Fault::IgnoresLog, &[Invariant::LeaderComplete], SMALL_BOUNDS);
    expect_violation(Fault::IgnoresLog, &[Invariant::CommittedStays], SMALL_BOUNDS);
}

/// Shows that the check notices the commit of an entry of an earlier term (figure 8 of the Raft
/// paper).
#[test]
fn commit_of_old_term_breaks_commit() {
    let bounds = Bounds { leader_at_start: true, term: 4, ..SMALL_BOUNDS };
    expect_violation(Fault::CommitsOldTerm, &[Invariant::LeaderComplete], bounds);
}

/// Shows that the check notices a host that is lost right after an acknowledgement without sync.
#[test]
fn unsynced_acknowledgement_breaks_commit() {
    let bounds = Bounds { restarts: 1, ..SMALL_BOUNDS };
    expect_violation(Fault::AcksUnsynced, &[Invariant::LeaderComplete], bounds);
}

/// Shows that the check notices a blank replica that returns under the id of the lost one.
#[test]
fn kept_id_breaks_election_and_commit() {
    let bounds = Bounds { losses: 1, ..SMALL_BOUNDS };
    expect_violation(Fault::KeepsId, &[Invariant::OneLeader], bounds);
    expect_violation(Fault::KeepsId, &[Invariant::LeaderComplete], bounds);
    expect_violation(Fault::KeepsId, &[Invariant::CommittedStays], bounds);
}

/// Shows that the check notices memberships whose quorums do not overlap.
#[test]
fn simultaneous_changes_break_commit() {
    let bounds = Bounds { leader_at_start: true, log: 4, losses: 1, ..SMALL_BOUNDS };
    expect_violation(Fault::ChangesAtOnce, &[Invariant::LeaderComplete], bounds);
}

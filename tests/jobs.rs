//! Job groups: scripted scenarios on the real table and leases.

mod jobgroup;

use jobgroup::Group;

fn run(name: &str) {
    goldenscript::run(&mut Group::new(), format!("tests/scenarios/jobs/{name}")).unwrap();
}

/// Guards against a job that runs twice, or is lost, because its client resends it after a
/// change of leader.
#[test]
fn job_resent_during_leader_change() {
    run("resend_during_leader_change");
}

/// Guards against a result that is stored after a committed cancel.
#[test]
fn cancel_races_completion() {
    run("cancel_races_completion");
}

/// Guards against items that are lost with their worker, or run under two leases.
#[test]
fn worker_dies_with_items() {
    run("worker_dies_with_items");
}

/// Guards against an item that blocks its job for ever.
#[test]
fn item_never_completes() {
    run("item_never_completes");
}

/// Guards against an upload that starts anew, or mixes two contents, after an interruption.
#[test]
fn interrupted_upload() {
    run("interrupted_upload");
}

/// Guards against a job whose results cannot be told apart.
#[test]
fn duplicate_custom_ids() {
    run("duplicate_custom_ids");
}

/// Guards against a small job that waits until a large one is finished.
#[test]
fn starvation() {
    run("starvation");
}

/// Guards against a non-idempotent call that runs twice because its entry was lost.
#[test]
fn claim_of_lost_entry() {
    run("claim_of_lost_entry");
}

/// Guards against results that disappear early, or without an explanation.
#[test]
fn retention() {
    run("retention");
}

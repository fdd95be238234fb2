//! Scripted scenarios and random scripts for a job group with the real table and leases.

mod jobgroup;

use jobgroup::Group;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn run(name: &str) {
    goldenscript::run(&mut Group::new(), format!("tests/scenarios/jobs/{name}")).unwrap();
}

/// Guards against a job that runs twice or is lost when its client resends it after a change of
/// leader.
#[test]
fn job_resent_during_leader_change() {
    run("resend_during_leader_change");
}

/// Guards against a result that is stored after a committed cancel.
#[test]
fn cancel_races_completion() {
    run("cancel_races_completion");
}

/// Guards against items that are lost with their worker or run under two leases.
#[test]
fn worker_dies_with_items() {
    run("worker_dies_with_items");
}

/// Guards against an item whose repeated failures keep its job from finishing.
#[test]
fn item_never_completes() {
    run("item_never_completes");
}

/// Guards against an upload that starts over or mixes two contents after an interruption.
#[test]
fn interrupted_upload() {
    run("interrupted_upload");
}

/// Guards against a job whose results cannot be told apart because items share a custom id.
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

/// Guards against results that disappear before their retention or without an explanation.
#[test]
fn retention() {
    run("retention");
}

/// One random line of a script.
fn line() -> impl Strategy<Value = String> {
    let agent = 1..4u8;
    let job = prop::sample::select(vec!["v/j", "v/k", "w/j"]);
    prop_oneof![
        2 => (job.clone(), 1..200u32).prop_map(|(job, due)| format!("upload {job} 3 due={due}00000")),
        1 => job.prop_map(|job| format!("cancel {job}")),
        6 => (agent.clone(), 1..4, 0..2).prop_map(|(agent, free, wait)| {
            format!("pull a{agent} free={free} wait={wait}000")
        }),
        3 => agent.clone().prop_map(|agent| format!("renew a{agent}")),
        3 => agent.clone().prop_map(|agent| format!("complete a{agent}")),
        1 => agent.clone().prop_map(|agent| format!("transient a{agent}")),
        1 => agent.clone().prop_map(|agent| format!("release a{agent}")),
        1 => agent.clone().prop_map(|agent| format!("silence a{agent}")),
        1 => agent.prop_map(|agent| format!("crash a{agent}")),
        4 => (1..40u32).prop_map(|tenths| format!("pass {tenths}00")),
        1 => Just("resend".to_string()),
        1 => Just("drop-reports".to_string()),
        2 => Just("failover a1/a2/a3".to_string()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        // A fixed seed, so that every run has the same outcome.
        rng_seed: RngSeed::Fixed(0x10b5),
        ..Default::default()
    })]

    /// Guards against two valid leases of one item, a grant of an item that must not run, and an
    /// item that is never granted again. [`Group`] checks every grant.
    #[test]
    fn random_scripts_keep_leases(lines in prop::collection::vec(line(), 1..60)) {
        let mut group = Group::new();
        // Every open job must finish once a single healthy worker is left.
        let end = "crash a1\ncrash a2\ncrash a3\npass 70000\nfinish a4\n";
        let script = format!("{}\n{end}---\n", lines.join("\n"));
        goldenscript::generate(&mut group, &script).unwrap();
    }
}

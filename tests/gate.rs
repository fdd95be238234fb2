//! Tests of the gate and the attempt table. Scenarios are under `tests/scenarios/gate/`.

mod gate_script;

use basilfield::gate;
use basilfield::wire::Withdrawal;
use gate::Class;
use gate::Input;
use gate::Output;
use std::sync::Arc;
use std::time::Duration;

fn scenario(name: &str) {
    let path = format!("tests/scenarios/gate/{name}");
    goldenscript::run(&mut gate_script::Script::new(), path)
        .expect("scenario output should match its golden file");
}

/// Guards against online requests that wait for batch items.
#[test]
fn online_never_waits_behind_batch() {
    scenario("online_never_waits_behind_batch");
}

/// Shows that without online priority the same request waits, so the check above can fail.
#[test]
fn baseline_blocks_online() {
    scenario("baseline_blocks_online");
}

/// Guards against preempting more items than needed, or older ones before younger ones.
#[test]
fn burst_preempts_youngest() {
    scenario("burst_preempts_youngest");
}

/// Guards against an item that runs again after it ended while being preempted.
#[test]
fn preempted_item_finishes() {
    scenario("preempted_item_finishes");
}

/// Guards against batch that makes no progress under load, and against items that are preempted
/// over and over.
#[test]
fn floor_and_preemption_bound() {
    scenario("floor_and_preemption_bound");
}

/// Guards against percentages that round to none or all of a small number of slots.
#[test]
fn one_slot() {
    scenario("one_slot");
}

/// Guards against a burst of requests of one workspace that delays other workspaces.
#[test]
fn workspace_burst() {
    scenario("workspace_burst");
}

/// Guards against requests that wait although they cannot meet their deadline.
#[test]
fn deadline_refusal() {
    scenario("deadline_refusal");
}

/// Guards against new work that starts at a draining endpoint, and against running work that is
/// stopped there.
#[test]
fn drain() {
    scenario("drain");
}

/// Guards against withdrawn requests that run, and against wrong answers to withdrawals.
#[test]
fn withdraw() {
    scenario("withdraw");
}

/// Guards against a request that runs twice because its id is submitted twice.
#[test]
fn duplicate() {
    scenario("duplicate");
}

/// Guards against streams started above a reduced number of slots, and against online streams that
/// are cancelled because of the reduction.
#[test]
fn slots_change() {
    scenario("slots_change");
}

/// Guards against slots that stay occupied because the report of a stream's end was lost.
#[test]
fn lost_done() {
    scenario("lost_done");
}

/// Guards against attempts that are admitted after the answer that they never ran.
#[test]
fn newer_connection() {
    scenario("newer_connection");
}

/// Guards against wrong answers to withdrawals, and against attempts that are admitted twice.
#[test]
fn attempt_states() {
    scenario("attempt_states");
}

/// Guards against the answer `NeverRan` for attempts that ran but whose records were removed.
#[test]
fn attempts_forgotten() {
    scenario("attempts_forgotten");
}

/// Whether an online request that arrives while batch fills every slot starts as soon as the
/// streams that the gate preempts have been cancelled.
fn starts_at_once(config: gate::Config) -> bool {
    let mut gate = gate::Gate::new(config.clone());
    let now = Duration::from_secs(1);
    let deadline = Duration::from_secs(60);
    gate.step(now, Input::Tick);
    for id in 0..u64::from(config.slots) {
        let workspace = "jobs".into();
        gate.step(now, Input::Submit { id, class: Class::Batch, workspace, deadline });
    }
    let online = Input::Submit { id: 99, class: Class::Online, workspace: "a".into(), deadline };
    let mut outputs = gate.step(now, online);
    let preempted = outputs.clone().into_iter().filter_map(|output| match output {
        Output::Preempt { id } => Some(id),
        _ => None,
    });
    for id in preempted {
        outputs.extend(gate.step(now, Input::Cancelled { id }));
    }
    outputs.contains(&Output::Start { id: 99 })
}

/// Guards against online requests that are blocked by batch items. The run without online priority
/// shows that the check can fail.
#[test]
fn head_of_line() {
    let policy = gate::Config { headroom_percent: 0, ..gate::Config::default() };
    assert!(starts_at_once(policy.clone()));
    assert!(!starts_at_once(gate::Config { online_priority: false, ..policy }));
}

/// Guards against panics on extreme values from an endpoint or a caller.
#[test]
fn extreme_values() {
    let config = gate::Config {
        floor_percent: u32::MAX,
        headroom_percent: u32::MAX,
        ..gate::Config::default()
    };
    let mut gate = gate::Gate::new(gate::Config { max_queue: 0, ..config });
    let now = Duration::from_secs(1);
    let workspace = "a".into();
    let submit = Input::Submit { id: 1, class: Class::Online, workspace, deadline: Duration::MAX };
    let mut outputs = gate.step(now, Input::Slots(u32::MAX));
    outputs.extend(gate.step(now, submit));
    assert!(outputs.contains(&Output::Start { id: 1 }), "{outputs:?}");
    for _ in 0..2 {
        gate.step(now, Input::Token { id: 1, count: u32::MAX });
    }
    gate.step(now * 60, Input::Tick);
}

/// Guards against a withdrawal on behalf of another entry that is not final, or that is answered
/// with `NeverRan` although this process cannot know it.
#[test]
fn withdrawal_on_behalf_of_another_entry() {
    let mut attempts = gate::attempts::Attempts::<()>::new(gate::attempts::Bounds::default());
    let (lost, now) = (Arc::from("entry.1"), Duration::ZERO);
    // The agent has restarted and has not seen the connection on which the attempt was sent.
    assert_eq!(attempts.withdraw_for(now, 7, &lost, 3), Withdrawal::Running);
    attempts.register_connection(&lost, 4);
    assert_eq!(attempts.withdraw_for(now, 7, &lost, 3), Withdrawal::Running);
    // An attempt that is still to arrive is withdrawn and then refused.
    assert_eq!(attempts.withdraw_for(now, 8, &lost, 4), Withdrawal::NeverRan);
    assert_eq!(attempts.admit(8, &lost, 4), Err(gate::attempts::Denial::Withdrawn));
    // A queued attempt is withdrawn, a running one is not.
    assert_eq!(attempts.admit(9, &lost, 4), Ok(()));
    assert_eq!(attempts.withdraw_for(now, 9, &lost, 4), Withdrawal::NeverRan);
    assert!(!attempts.start(9));
    assert_eq!(attempts.admit(10, &lost, 4), Ok(()));
    assert!(attempts.start(10));
    assert_eq!(attempts.withdraw_for(now, 10, &lost, 4), Withdrawal::Running);
    // The other attempts of the entry's connection are still admitted.
    assert_eq!(attempts.admit(11, &lost, 4), Ok(()));
}

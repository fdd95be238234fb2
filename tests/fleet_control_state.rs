//! State of the control group: what earlier versions stored, and the placement of the job group.

use basilfield::fleet::control_state;
use basilfield::fleet::ledger;
use basilfield::fleet::quarantine;
use basilfield::replica::StateMachine as _;
use control_state::Command;
use control_state::ControlState;
use control_state::Document;
use control_state::Placement;
use std::sync::Arc;

fn hosts() -> Vec<Arc<str>> {
    vec!["s1".into(), "s2".into()]
}

/// Guards against a control host that cannot read its folder after an upgrade: earlier versions
/// stored a placement without the ids of the replicas.
#[test]
fn state_of_earlier_versions_is_read() {
    let document = Document { version: 7, text: "text".into() };
    let mut restored = ControlState::default();
    restored.restore(&ledger::encode(&(document.clone(), hosts()))).expect("restore");
    // The variants of the command were Put and Place, with the hosts alone.
    let mut replayed = ControlState::default();
    replayed.apply(1, &ledger::encode(&Command::Put(document.clone())));
    let mut place = vec![1];
    place.extend(ledger::encode(&hosts()));
    replayed.apply(2, &place);
    let placement = Placement { hosts: hosts(), replicas: Vec::new() };
    let expected = ControlState { document, placement, ..ControlState::default() };
    assert_eq!((&restored, &replayed), (&expected, &expected));
    assert_eq!(restored.placement.membership(), None, "no replica forms the group again");
    let mut copy = ControlState::default();
    copy.restore(&restored.snapshot()).expect("restore");
    assert_eq!(copy, restored);
}

/// Guards against a control host that cannot read its folder after an upgrade from a build that knew
/// no quarantined parts.
#[test]
fn state_without_quarantined_parts_is_read() {
    let document = Document { version: 7, text: "text".into() };
    let placement = Placement::new([("s2".into(), 5), ("s1".into(), 9)]);
    let mut restored = ControlState::default();
    restored.restore(&ledger::encode(&(document.clone(), placement.clone()))).expect("restore");
    assert_eq!(restored, ControlState { document, placement, ..ControlState::default() });
    let prompt = |key| quarantine::PromptParts { key, parts: vec![1, 2] };
    for n in 0..3 {
        let endpoint = format!("i-{n}").into();
        let crash = quarantine::Crash { endpoint, start_time: 0, prompts: vec![prompt(n)] };
        let command = Command::RecordCrashes(vec![crash]);
        restored.apply(n, &ledger::encode(&command));
    }
    assert_eq!(restored.quarantine.summary().quarantined.len(), 1);
    let mut copy = ControlState::default();
    copy.restore(&restored.snapshot()).expect("restore");
    assert_eq!(copy, restored);
}

/// Guards against two requests that are both sent as the same trial.
#[test]
fn trial_is_granted_once() {
    let mut state = ControlState::default();
    for n in 0..3 {
        let prompts = vec![quarantine::PromptParts { key: n, parts: vec![8] }];
        let endpoint = format!("i-{n}").into();
        let crash = quarantine::Crash { endpoint, start_time: 0, prompts };
        state.execute(Command::RecordCrashes(vec![crash]));
    }
    let replies: Vec<String> = [1, 1, 3, 2, 2]
        .iter()
        .map(|number| {
            let command = Command::GrantTrial { part: 8, number: *number };
            let reply = state.apply(9, &ledger::encode(&command));
            format!("{:?}", postcard::from_bytes::<ledger::Reply>(&reply).expect("reply"))
        })
        .collect();
    insta::assert_snapshot!(replies.join(" "), @"Done Stale Stale Done Stale");
}

/// Guards against a second placement that forms a second job group.
#[test]
fn first_placement_is_final() {
    let mut state = ControlState::default();
    let first = Placement::new([("s2".into(), 5), ("s1".into(), 9)]);
    state.execute(Command::Place(first.clone()));
    state.execute(Command::Place(Placement::new([("s3".into(), 1)])));
    assert_eq!(state.placement, first);
    let membership = state.placement.membership().expect("ids are known");
    let voters: Vec<(u64, &str)> = membership.members.iter().map(|m| (m.id, &*m.host)).collect();
    assert_eq!(voters, [(5, "s2"), (9, "s1")]);
}

//! State of the control group: what earlier versions stored, and the placement of the job group.

use basilfield::fleet::control_state;
use basilfield::fleet::ledger;
use basilfield::fleet::origin;
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
    let causes = [1, 2].map(quarantine::Cause::Part).to_vec();
    let request = |key| quarantine::RequestCauses { key, causes: causes.clone() };
    for n in 0..3 {
        let endpoint = format!("i-{n}").into();
        let crash =
            quarantine::Crash { endpoint, start_time: 0, broken_at: 0, requests: vec![request(n)] };
        let command = Command::RecordCrashes(vec![crash]);
        restored.apply(n, &ledger::encode(&command));
    }
    assert_eq!(restored.quarantine.summary().quarantined.len(), 1);
    let mut copy = ControlState::default();
    copy.restore(&restored.snapshot()).expect("restore");
    assert_eq!(copy, restored);
}

/// Guards against a control host that cannot read its folder after an upgrade from a build that knew
/// no causes of crashes but parts of prompts: its commands and its snapshot.
#[test]
fn quarantined_parts_of_earlier_builds_are_read() {
    use quarantine::former;
    let document = Document { version: 7, text: "text".into() };
    let placement = Placement::new([("s2".into(), 5)]);
    let mut replayed = ControlState { document, placement, ..ControlState::default() };
    let crash = |n: u64| former::Crash {
        endpoint: format!("i-{n}").into(),
        start_time: 0,
        prompts: vec![former::PromptParts { key: n, parts: vec![1, 2] }],
    };
    // The variants of the command had these numbers.
    for n in 0..3 {
        let mut command = vec![3];
        command.extend(ledger::encode(&vec![crash(n)]));
        replayed.apply(n, &command);
    }
    let mut clear = vec![4];
    clear.extend(ledger::encode(&vec![1_u64]));
    replayed.apply(4, &clear);
    let mut grant = vec![5];
    grant.extend(ledger::encode(&(2_u64, 1_u32)));
    replayed.apply(5, &grant);
    let summary = replayed.quarantine.summary();
    let quarantined = summary.quarantined.iter();
    let quarantined: Vec<String> = quarantined
        .map(|q| format!("{}: {} crashes, {} trials", q.cause, q.crashes, q.trials))
        .collect();

    // Crashes, quarantined parts with crashes and trials, and cleared parts.
    let parts = (9_u64, vec![crash(0)], vec![(2_u64, 3_u32, 1_u32, false)], vec![(1_u64, 0_u32)]);
    let old = (&replayed.document, &replayed.placement, parts);
    let mut restored = ControlState::default();
    restored.restore(&ledger::encode(&old)).expect("restore");
    assert_eq!(restored.quarantine.summary().quarantined, summary.quarantined);
    let mut copy = ControlState::default();
    copy.restore(&restored.snapshot()).expect("restore");
    assert_eq!(copy, restored);
    insta::assert_snapshot!(quarantined.join("\n"), @"part 2: 3 crashes, 1 trials");
}

/// Guards against a control host that cannot read its folder after an upgrade from a build that stored
/// crashes without their times: its command and its snapshot.
#[test]
fn crashes_without_times_of_earlier_builds_are_read() {
    use quarantine::former;
    let cause = quarantine::Cause::Part(8);
    let crash = |n: u64| former::UntimedCrash {
        endpoint: format!("i-{n}").into(),
        start_time: 0,
        requests: vec![quarantine::RequestCauses { key: n, causes: vec![cause] }],
    };
    let document = Document { version: 7, text: "text".into() };
    let mut replayed = ControlState { document, ..ControlState::default() };
    // The variant of the command had this number.
    let mut command = vec![6];
    command.extend(ledger::encode(&(0..3).map(crash).collect::<Vec<_>>()));
    replayed.apply(1, &command);
    replayed.execute(Command::GrantTrial { cause, number: 1 });
    replayed.execute(Command::AddBuild(origin::Origin { service: "s".into(), build: "v1".into() }));

    let crashes: Vec<former::UntimedCrash> = (0..3).map(crash).collect();
    // Crashes, quarantined causes with crashes and trials, and cleared causes.
    let cleared: Vec<(quarantine::Cause, u32)> = Vec::new();
    let causes =
        (replayed.quarantine.revision(), crashes, vec![(cause, 3_u32, 1_u32, false)], cleared);
    let former = former::State::default();
    let old = (&replayed.document, &replayed.placement, former, causes, &replayed.builds);
    let mut restored = ControlState::default();
    restored.restore(&ledger::encode(&old)).expect("restore");
    assert_eq!(restored, replayed);
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
        let causes = vec![quarantine::Cause::Part(8)];
        let requests = vec![quarantine::RequestCauses { key: n, causes }];
        let endpoint = format!("i-{n}").into();
        let crash = quarantine::Crash { endpoint, start_time: 0, broken_at: 0, requests };
        state.execute(Command::RecordCrashes(vec![crash]));
    }
    let replies: Vec<String> = [1, 1, 3, 2, 2]
        .iter()
        .map(|number| {
            let command =
                Command::GrantTrial { cause: quarantine::Cause::Part(8), number: *number };
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

/// Guards against a build that cannot read the snapshots of builds that did not store the builds of
/// endpoints.
#[test]
fn state_without_builds_is_read() {
    /// State as written before builds.
    #[derive(serde::Serialize)]
    struct Former {
        document: Document,
        placement: Placement,
        former: quarantine::former::State,
        quarantine: quarantine::former::UntimedState,
    }
    let mut state = ControlState::default();
    state.execute(Command::Put(Document { version: 7, text: "text".into() }));
    let former = Former {
        document: state.document.clone(),
        placement: state.placement.clone(),
        former: quarantine::former::State::default(),
        quarantine: quarantine::former::UntimedState::default(),
    };
    let mut restored = ControlState::default();
    restored.restore(&ledger::encode(&former)).expect("former snapshot");
    assert_eq!(restored, state);
    let build = origin::Origin { service: "s".into(), build: "v1".into() };
    assert!(restored.execute(Command::AddBuild(build.clone())));
    let mut again = ControlState::default();
    again.restore(&restored.snapshot()).expect("snapshot");
    assert!(again.builds.contains(&build));
}

//! Tests of the state machine of group 0, with scenarios under `tests/scenarios/catalog/`.

mod catalog_script;

use basilfield::catalog;
use catalog::Catalog;
use catalog::Change;
use catalog::Command;
use catalog::Document;
use catalog::Reply;
use catalog::documents;

fn workspace(name: &str, key: u32) -> Document {
    let body = catalog::Body::Workspace(documents::Workspace {
        name: name.into(),
        keys: vec![format!("{key:064x}").into()],
        rate: 20,
        concurrency: 8,
        share: 1,
    });
    Document { template: "workspace".into(), parameters: Vec::new(), body }
}

fn put(id: &str, expected: Option<u64>, document: Document) -> Vec<u8> {
    let changes = vec![Change::put(document)];
    catalog::encode(&Command::Change { id: id.into(), expected, operator: "abena".into(), changes })
}

fn apply(catalog: &mut Catalog, index: u64, command: &[u8]) -> Reply {
    catalog::decode(&catalog.apply(index, command)).expect("reply decodes")
}

fn scenario(name: &str) {
    let path = format!("tests/scenarios/catalog/{name}");
    let mut script = catalog_script::Script::default();
    goldenscript::run(&mut script, path).expect("golden file matches");
}

/// Guards against two changes based on the same revision that are both accepted.
#[test]
fn equal_revisions() {
    scenario("equal_revisions");
}

/// Guards against a change that is applied twice, or answered differently, when it is resent.
#[test]
fn resend_after_lost_answer() {
    scenario("resend_after_lost_answer");
}

/// Guards against accepting two different commands under the same id.
#[test]
fn reused_change_id() {
    scenario("reused_change_id");
}

/// Guards against a restart that changes the configuration or loses the recorded ids.
#[test]
fn restart_after_500_changes() {
    scenario("restart_after_500_changes");
}

/// Guards against replies to drains that do not name the earlier operation, and against drains that
/// are lost when the agent leaves and joins again.
#[test]
fn contradictory_drains() {
    scenario("contradictory_drains");
}

/// Guards against documents whose references do not resolve, and against refusals without a reason.
#[test]
fn mistaken_changes() {
    scenario("mistaken_changes");
}

/// Guards against removing an agent because an earlier lease expired, after it has joined again.
#[test]
fn agents_join_and_leave() {
    scenario("agents_join_and_leave");
}

/// Guards against a second order while one is unfinished, and against outcomes of old orders.
#[test]
fn orders_one_at_a_time() {
    scenario("orders_one_at_a_time");
}

/// Guards against truncated or extended input that changes the state or panics.
#[test]
fn damaged_input_changes_nothing() {
    let mut catalog = Catalog::new();
    let command = put("c1", None, workspace("counter", 1));
    apply(&mut catalog, 1, &command);
    let before = catalog.digest();
    for end in 0..command.len() {
        let index = 2 + end as u64;
        assert_eq!(apply(&mut catalog, index, &command[..end]), Reply::Malformed);
        assert_eq!(catalog.applied(), index);
    }
    let longer = [&command[..], &[0]].concat();
    assert_eq!(apply(&mut catalog, 1_000, &longer), Reply::Malformed);
    assert_eq!(
        apply(&mut catalog, 1_000, &put("c2", None, workspace("desk", 2))),
        Reply::Malformed
    );
    assert_eq!((catalog.digest(), catalog.revision()), (before, 1));
    let snapshot = catalog.snapshot();
    for end in 0..snapshot.len() {
        catalog.restore(&snapshot[..end]).expect_err("truncated snapshot is accepted");
    }
    let other_version = [&[99], &snapshot[1..]].concat();
    catalog.restore(&other_version).expect_err("unknown version is accepted");
    assert_eq!(catalog.snapshot(), snapshot);
}

/// Guards against commands with an empty id, which would all count as resends of the first one, and
/// against ids of unlimited length, which would exhaust the memory of a node.
#[test]
fn ids_and_operators_are_checked() {
    let mut catalog = Catalog::new();
    for (index, id) in ["", "two words", &"x".repeat(200)].into_iter().enumerate() {
        let reply = apply(&mut catalog, 1 + index as u64, &put(id, None, workspace("counter", 1)));
        assert!(matches!(reply, Reply::Refused { .. }), "{reply}");
    }
    let (id, target, operator) = ("d1".into(), "e1".into(), "".into());
    let drain = catalog::encode(&Command::Drain { id, target, operator });
    let reply = apply(&mut catalog, 9, &drain);
    assert!(reply.to_string().contains("operator"), "{reply}");
    assert!(matches!(
        catalog.query(&catalog::Query::Change { id: "d1".into() }),
        catalog::Answer::Change(None)
    ));
}

/// Guards against a resend that is applied again, or a document whose author is unknown, after the
/// change has been removed from the history.
#[test]
fn ids_outlive_the_history() {
    let mut catalog = Catalog::new();
    let first = put("first", None, workspace("counter", 1));
    let accepted = apply(&mut catalog, 1, &first);
    apply(&mut catalog, 2, &put("old", None, workspace("archive", 4_000)));
    for index in 3..=3_000 {
        let change = put(&format!("c{index}"), None, workspace("counter", index as u32));
        apply(&mut catalog, index, &change);
    }
    assert_eq!(
        catalog.history().changes(None, u32::MAX).len(),
        catalog::history::MAX_CHANGE_RECORDS
    );
    assert!(catalog.history().record(1).is_none(), "the first change is no longer in the history");
    let show = catalog::Query::Show { name: "workspace/archive".parse().unwrap() };
    let catalog::Answer::Document { author, .. } = catalog.query(&show) else {
        panic!("document not found")
    };
    assert_eq!(
        author.map(|by| by.id.to_string()).as_deref(),
        Some("old"),
        "author of the document"
    );
    let before = catalog.digest();
    assert_eq!(apply(&mut catalog, 4_000, &first), accepted);
    assert_eq!((catalog.digest(), catalog.revision()), (before, 3_000));
}

/// Guards against commands and answers that exceed the largest frame between processes.
#[test]
fn answers_fit_in_a_frame() {
    let mut catalog = Catalog::new();
    let document = |number: u32| {
        let mut document = workspace(&format!("w{number}"), number);
        let value = "x".repeat(30_000).into();
        document.parameters = vec![catalog::Parameter { name: "note".into(), value }];
        document
    };
    let change = |id: String, from: u32, count: u32| {
        let changes = (from..from + count).map(|n| Change::put(document(n))).collect();
        let (id, operator) = (id.into(), "abena".into());
        catalog::encode(&Command::Change { id, expected: None, operator, changes })
    };
    let reply = apply(&mut catalog, 1, &change("large".into(), 0, 40));
    insta::assert_snapshot!(reply, @"refused: the command has 1204315 bytes; at most 1048576 are permitted");
    for round in 0..20 {
        let reply =
            apply(&mut catalog, 2 + u64::from(round), &change(format!("c{round}"), 30 * round, 30));
        assert!(matches!(reply, Reply::Accepted { .. }), "{reply}");
    }
    let mut after = None;
    let mut count = 0;
    loop {
        let query = catalog::Query::List { kind: None, after, limit: u32::MAX };
        let answer = catalog.query(&query);
        assert!(catalog::encode(&answer).len() < basilfield::wire::MAX_FRAME / 2);
        let catalog::Answer::Documents(page) = answer else { panic!("not a list of documents") };
        let Some(last) = page.last() else { break };
        after = Some(last.document.name());
        count += page.len();
    }
    assert_eq!(count, 600, "the pages contain every document once");
    let history = catalog.query(&catalog::Query::Changes { before: None, limit: u32::MAX });
    assert!(catalog::encode(&history).len() < basilfield::wire::MAX_FRAME / 2);
}

/// Guards against refused commands that evict the ids of accepted changes.
#[test]
fn refusals_do_not_displace_accepted_ids() {
    let mut catalog = Catalog::new();
    let first = put("first", None, workspace("counter", 1));
    let accepted = apply(&mut catalog, 1, &first);
    for index in 2..=30_000 {
        let refused = put(&format!("r{index}"), None, workspace("not a name", 2));
        assert!(apply(&mut catalog, index, &refused).is_refusal());
    }
    assert_eq!(apply(&mut catalog, 40_000, &first), accepted);
}

//! State machine of group 0.

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

/// Guards against a resent change that is applied again after its answer was lost.
#[test]
fn resent_change_is_applied_once() {
    let mut catalog = Catalog::new();
    let first = put("c1", Some(0), workspace("counter", 1));
    let second = put("c2", Some(1), workspace("counter", 2));
    let accepted = apply(&mut catalog, 1, &first);
    assert_eq!(accepted, Reply::Accepted { revision: 1, undoes: None });
    apply(&mut catalog, 2, &second);
    assert_eq!(apply(&mut catalog, 3, &first), accepted);
    assert_eq!(catalog.revision(), 2);
    assert!(catalog.workspace_by_key(&format!("{:064x}", 2)).is_some());
    assert!(catalog.workspace_by_key(&format!("{:064x}", 1)).is_none());
}

/// Guards against state that a snapshot loses or that is derived differently after a restore.
#[test]
fn snapshot_restores_equal_state() {
    let mut catalog = Catalog::new();
    for round in 1..=50 {
        let same = put(&format!("c{round}"), None, workspace("counter", 1));
        apply(&mut catalog, 2 * round, &same);
        let desk = workspace(&format!("desk-{round}"), 100 + round as u32);
        apply(&mut catalog, 2 * round + 1, &put(&format!("d{round}"), None, desk));
    }
    assert_eq!(catalog.config().len(), 51);
    let mut restored = Catalog::new();
    restored.restore(&catalog.snapshot()).expect("snapshot is readable");
    assert_eq!(restored.digest(), catalog.digest());
    assert_eq!(restored.snapshot(), catalog.snapshot());
    let resend = put("c1", None, workspace("counter", 1));
    assert_eq!(apply(&mut restored, 200, &resend), apply(&mut catalog, 200, &resend));
}

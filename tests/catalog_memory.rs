//! Memory of a catalog at the target scale. The test has its own binary so that no other test
//! allocates memory during the measurement.

use basilfield::catalog;
use basilfield::template;
use std::fs;

/// Number of workspaces at the target scale.
const WORKSPACES: u32 = 8_800;

/// Largest growth of resident memory, in KiB.
const MAX_MEMORY_KIB: u64 = 16 << 10;

/// Resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("status is readable");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("status has VmRSS");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("VmRSS is a number")
}

fn put(number: u32, round: u32) -> Vec<u8> {
    let values = [
        ("name", format!("workspace-{number}")),
        ("keys", format!("{:064x}", u64::from(round) << 32 | u64::from(number))),
        ("rate", "40".into()),
        ("concurrency", "32".into()),
    ];
    let parameters: template::Parameters =
        values.into_iter().map(|(n, v)| (n.into(), template::RawValue::Text(v.into()))).collect();
    let template = template::get("workspace").expect("template is shipped");
    let document = template::fill(template, &parameters).expect("parameters are valid");
    catalog::encode(&catalog::Command::Change {
        id: format!("change-{round}-{number}-0123456789abcdef").into(),
        expected: None,
        operator: "abena.mensah".into(),
        changes: vec![catalog::Change::put(document)],
    })
}

/// Guards against a catalog that leaves no memory for the other state of a small node, which has
/// 32 MB. The tables of ids and the history are full. The state is then restored from a snapshot,
/// as when a node starts.
#[test]
fn target_scale_fits_in_memory() {
    let start = resident_kib();
    let mut state = catalog::Catalog::new();
    let mut index = 0;
    for round in 0..3 {
        for number in 0..WORKSPACES {
            index += 1;
            state.apply(index, &put(number, round));
        }
    }
    assert_eq!(state.config().len(), WORKSPACES as usize);
    let applied = resident_kib() - start;
    let snapshot = state.snapshot();
    let before = resident_kib();
    let mut restored = catalog::Catalog::new();
    restored.restore(&snapshot).expect("snapshot is readable");
    let copy = resident_kib() - before;
    println!("applied {applied} KiB, restored {copy} KiB, snapshot {} KiB", snapshot.len() >> 10);
    assert!(applied < MAX_MEMORY_KIB, "{applied} KiB after {index} changes");
    assert!(copy < MAX_MEMORY_KIB, "{copy} KiB restored");
    assert_eq!(restored.digest(), state.digest());
}

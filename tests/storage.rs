//! Data folder: recovery after crashes, damage, snapshots, full disk and lock.

use basilfield::replica;
use basilfield::storage;
use basilfield::storage::Folder;
use basilfield::storage::Options;
use std::fs;
use std::path::Path;

const SMALL: Options = Options { segment: 4 << 10, capacity: u64::MAX };

fn entry(index: u64, term: u64, size: usize) -> replica::Entry {
    let command = vec![index as u8; size].into();
    replica::Entry { index, term, payload: replica::Payload::Command(command) }
}

fn hard(term: u64) -> replica::HardState {
    replica::HardState { term, vote: Some(term), commit: 0 }
}

/// Appends entries with one sync for each.
fn append(folder: &mut Folder, indexes: std::ops::RangeInclusive<u64>, term: u64) {
    for index in indexes {
        folder.append(Some(&hard(term)), &[entry(index, term, 100)]).expect("append");
        folder.sync().expect("sync");
    }
}

fn open(path: &Path) -> (Folder, u64, replica::Restored) {
    Folder::open_with(path, 1, SMALL).expect("open")
}

fn indexes(restored: &replica::Restored) -> Vec<u64> {
    restored.entries.iter().map(|e| e.index).collect()
}

fn snapshot(index: u64) -> replica::Snapshot {
    let members = replica::Membership::of_voters([(7, "a".into())]);
    replica::Snapshot { index, term: 1, members, data: vec![1; 50].into() }
}

fn segments(path: &Path) -> Vec<std::path::PathBuf> {
    let files = fs::read_dir(path).expect("list").map(|f| f.expect("entry").path());
    let mut logs: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "log")).collect();
    logs.sort();
    logs
}

/// Guards against a restart that forgets something or changes the replica id.
#[test]
fn reopened_folder_holds_everything() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, id, restored) = open(dir.path());
    assert!(restored.blank() && id != 0);
    append(&mut folder, 1..=100, 1);
    append(&mut folder, 91..=95, 2);
    drop(folder);
    let (_folder, again, restored) = open(dir.path());
    assert_eq!(again, id);
    assert_eq!(restored.hard, hard(2));
    assert_eq!(indexes(&restored), (1..=95).collect::<Vec<_>>());
    assert_eq!(restored.entries[89].term, 1);
    assert_eq!(restored.entries[90].term, 2);
    assert!(segments(dir.path()).len() > 2);
}

/// Guards against the return of entries that a leader's snapshot has replaced.
#[test]
fn install_replaces_log() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = open(dir.path());
    append(&mut folder, 1..=100, 1);
    folder.install(&snapshot(50)).expect("install");
    drop(folder);
    let (mut folder, _, restored) = open(dir.path());
    assert_eq!(restored.snapshot, Some(snapshot(50)));
    assert_eq!((indexes(&restored), restored.hard), (vec![], hard(1)));
    append(&mut folder, 51..=60, 2);
    drop(folder);
    assert_eq!(indexes(&open(dir.path()).2), (51..=60).collect::<Vec<_>>());
}

/// Guards against a snapshot that drops entries it does not cover.
#[test]
fn store_drops_covered_segments() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = open(dir.path());
    append(&mut folder, 1..=100, 1);
    let before = segments(dir.path()).len();
    folder.store(&snapshot(70)).expect("store");
    assert!(segments(dir.path()).len() < before);
    drop(folder);
    let (_folder, _, restored) = open(dir.path());
    assert_eq!(indexes(&restored), (71..=100).collect::<Vec<_>>());
    assert_eq!(restored.snapshot, Some(snapshot(70)));
}

/// Guards against two processes on one folder, and a folder of another group.
#[test]
fn folder_is_locked_and_bound_to_its_group() {
    let dir = tempfile::tempdir().expect("folder");
    let held = open(dir.path());
    let second = Folder::open(dir.path(), 1).map(|_| ());
    assert!(matches!(second, Err(storage::Error::Locked { .. })), "{second:?}");
    drop(held);
    let other = Folder::open(dir.path(), 2).map(|_| ());
    assert!(matches!(other, Err(storage::Error::Group { found: 1, .. })), "{other:?}");
}

//! Data folder: recovery after crashes, damage, snapshots, full disk and lock.

use basilfield::replica;
use basilfield::storage;
use basilfield::storage::Folder;
use basilfield::storage::Options;
use std::fs;
use std::path::Path;

const SMALL_SEGMENTS: Options = Options { segment_size: 2 << 10, capacity: u64::MAX };
/// Bytes of one command; small, since some tests repeat for every byte.
const COMMAND_SIZE: usize = 40;

fn entry(index: u64, term: u64, size: usize) -> replica::Entry {
    let command = vec![index as u8; size].into();
    replica::Entry { index, term, payload: replica::Payload::Command(command) }
}

fn hard_state(term: u64) -> replica::HardState {
    replica::HardState { term, vote: Some(term), commit: 0 }
}

/// Appends entries with one sync for each.
fn append(folder: &mut Folder, indexes: std::ops::RangeInclusive<u64>, term: u64) {
    for index in indexes {
        folder
            .append(Some(&hard_state(term)), &[entry(index, term, COMMAND_SIZE)])
            .expect("append");
        folder.sync().expect("sync");
    }
}

fn open(path: &Path) -> (Folder, u64, replica::PersistentState) {
    Folder::open_with(path, 1, SMALL_SEGMENTS).expect("open")
}

fn indexes(restored: &replica::PersistentState) -> Vec<u64> {
    restored.entries.iter().map(|e| e.index).collect()
}

fn snapshot(index: u64) -> replica::Snapshot {
    let membership = replica::Membership::from_voters([(7, "a".into())]);
    replica::Snapshot { index, term: 1, membership, data: vec![1; 50].into() }
}

fn segments(path: &Path) -> Vec<std::path::PathBuf> {
    let files = fs::read_dir(path).expect("list").map(|f| f.expect("entry").path());
    let mut logs: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "log")).collect();
    logs.sort();
    logs
}

/// Guards against a restart that loses stored state or changes the replica id.
#[test]
fn reopened_folder_holds_everything() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, id, restored) = open(dir.path());
    assert!(restored.is_blank() && id != 0);
    append(&mut folder, 1..=100, 1);
    append(&mut folder, 91..=95, 2);
    drop(folder);
    let (_folder, again, restored) = open(dir.path());
    assert_eq!(again, id);
    assert_eq!(restored.hard_state, hard_state(2));
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
    folder.install_snapshot(&snapshot(50)).expect("install");
    drop(folder);
    let (mut folder, _, restored) = open(dir.path());
    assert_eq!(restored.snapshot, Some(snapshot(50)));
    assert_eq!((indexes(&restored), restored.hard_state), (vec![], hard_state(1)));
    append(&mut folder, 51..=60, 2);
    drop(folder);
    assert_eq!(indexes(&open(dir.path()).2), (51..=60).collect::<Vec<_>>());
}

/// Guards against a snapshot that removes entries which it does not cover.
#[test]
fn store_drops_covered_segments() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = open(dir.path());
    append(&mut folder, 1..=100, 1);
    let before = segments(dir.path()).len();
    folder.save_snapshot(&snapshot(70)).expect("store");
    assert!(segments(dir.path()).len() < before);
    drop(folder);
    let (_folder, _, restored) = open(dir.path());
    assert_eq!(indexes(&restored), (71..=100).collect::<Vec<_>>());
    assert_eq!(restored.snapshot, Some(snapshot(70)));
}

/// Guards against two processes that use one folder, and against the folder of another group.
#[test]
fn folder_is_locked_and_bound_to_its_group() {
    let dir = tempfile::tempdir().expect("folder");
    let held = open(dir.path());
    let second = Folder::open(dir.path(), 1).map(|_| ());
    assert!(matches!(second, Err(storage::Error::Locked { .. })), "{second:?}");
    drop(held);
    let other = Folder::open(dir.path(), 2).map(|_| ());
    assert!(matches!(other, Err(storage::Error::WrongGroup { found: 1, .. })), "{other:?}");
}

/// Copies a folder and changes its last segment.
fn copy_with_change(from: &Path, change: impl Fn(&mut Vec<u8>)) -> tempfile::TempDir {
    let copy = tempfile::tempdir().expect("folder");
    for file in fs::read_dir(from).expect("list") {
        let file = file.expect("entry");
        fs::copy(file.path(), copy.path().join(file.file_name())).expect("copy");
    }
    let last = segments(copy.path()).pop().expect("segment");
    let mut bytes = fs::read(&last).expect("read");
    change(&mut bytes);
    fs::write(&last, bytes).expect("write");
    copy
}

/// Folder with entries 1 to 3 in one segment, and the offsets of the last two frames.
fn three_entries() -> (tempfile::TempDir, usize, usize) {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = open(dir.path());
    let mut sizes = Vec::new();
    for index in 1..=3 {
        sizes.push(fs::read(&segments(dir.path())[0]).expect("read").len());
        append(&mut folder, index..=index, 1);
    }
    (dir, sizes[1], sizes[2])
}

/// Guards against a torn write that prevents the folder from opening or loses earlier entries.
#[test]
fn torn_tail_is_dropped_at_every_byte() {
    let (dir, _, start) = three_entries();
    let end = fs::read(&segments(dir.path())[0]).expect("read").len();
    for cut in start..end {
        for zeros in [0, 1, 40] {
            let copy = copy_with_change(dir.path(), |bytes| {
                bytes.truncate(cut);
                // Some file systems extend the file before they write its content.
                bytes.extend(std::iter::repeat_n(0, zeros.min(end - cut - 1)));
            });
            let (mut folder, _, restored) = open(copy.path());
            assert_eq!(indexes(&restored), [1, 2], "cut at {cut}");
            append(&mut folder, 3..=4, 2);
            drop(folder);
            assert_eq!(indexes(&open(copy.path()).2), [1, 2, 3, 4], "cut at {cut}");
        }
    }
}

/// Guards against damage that is mistaken for a torn write, which would drop acknowledged entries.
#[test]
fn damage_in_the_middle_is_refused() {
    let (dir, start, end) = three_entries();
    let name = segments(dir.path())[0].file_name().map(|n| n.to_string_lossy().into_owned());
    for at in start..end {
        for flip in [0x01, 0x80, 0xff] {
            let copy = copy_with_change(dir.path(), |bytes| bytes[at] ^= flip);
            match Folder::open(copy.path(), 1).map(|_| ()) {
                Err(storage::Error::Damaged { file, offset, .. }) => {
                    assert_eq!(offset, start as u64, "flip at {at}");
                    assert!(file.ends_with(name.as_deref().unwrap_or("?")));
                }
                other => panic!("flip {flip:#x} at {at}: {other:?}"),
            }
        }
    }
}

/// Guards against a new identity for existing data, and against missing files that go unnoticed.
#[test]
fn missing_files_are_refused() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = open(dir.path());
    append(&mut folder, 1..=100, 1);
    drop(folder);
    let removed = [segments(dir.path())[0].clone(), segments(dir.path())[1].clone()];
    for path in removed.into_iter().chain([dir.path().join("identity")]) {
        let content = fs::read(&path).expect("read");
        fs::remove_file(&path).expect("remove");
        let opened = Folder::open(dir.path(), 1).map(|_| ());
        assert!(matches!(opened, Err(storage::Error::Damaged { .. })), "{path:?}: {opened:?}");
        fs::write(&path, content).expect("restore");
    }
    assert_eq!(indexes(&open(dir.path()).2).len(), 100);
}

/// Guards against a crash around the rename of a snapshot: before it, the old state must remain;
/// after it, segments that were not removed yet must be ignored.
#[test]
fn snapshot_is_atomic() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = open(dir.path());
    append(&mut folder, 1..=100, 1);
    let before: Vec<_> =
        segments(dir.path()).into_iter().map(|p| (p.clone(), fs::read(p).expect("read"))).collect();
    folder.install_snapshot(&snapshot(50)).expect("install");
    drop(folder);
    let written = fs::read(dir.path().join("snapshot")).expect("read");
    for (path, content) in &before {
        fs::write(path, content).expect("write");
    }
    // Crash after the rename.
    let after = copy_with_change(dir.path(), |_| {});
    assert_eq!(indexes(&open(after.path()).2), Vec::<u64>::new());
    assert_eq!(segments(after.path()).len(), 1);
    // Crash before the rename, with any part of the temporary file written.
    fs::remove_file(dir.path().join("snapshot")).expect("remove");
    for part in [0, 1, written.len() / 2, written.len()] {
        fs::write(dir.path().join("snapshot.tmp"), &written[..part]).expect("write");
        let (_folder, _, restored) = open(dir.path());
        assert_eq!((restored.snapshot, restored.entries.len()), (None, 100));
    }
    // Damage of the file itself.
    fs::write(dir.path().join("snapshot"), &written[..written.len() - 1]).expect("write");
    let opened = Folder::open(dir.path(), 1).map(|_| ());
    assert!(matches!(opened, Err(storage::Error::Damaged { offset: 0, .. })), "{opened:?}");
}

/// Guards against a crash that loses the log while a snapshot is being written beside it.
#[test]
fn log_is_kept_until_a_snapshot_is_finished() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = open(dir.path());
    append(&mut folder, 1..=100, 1);
    let writer = folder.begin_snapshot(snapshot(70)).expect("begin");
    let written = std::thread::spawn(|| writer.write()).join().expect("join").expect("write");
    append(&mut folder, 101..=110, 1);
    let copy = copy_with_change(dir.path(), |_| {});
    let (_copied, _, restored) = open(copy.path());
    assert_eq!((restored.snapshot, restored.entries.len()), (None, 110));
    folder.finish_snapshot(written).expect("finish");
    drop(folder);
    let (_folder, _, restored) = open(dir.path());
    assert_eq!(indexes(&restored), (71..=110).collect::<Vec<_>>());
    assert_eq!(restored.snapshot, Some(snapshot(70)));
}

/// Guards against an own snapshot that replaces a newer one of the leader.
#[test]
fn installed_snapshot_outlives_an_unfinished_one() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = open(dir.path());
    append(&mut folder, 1..=100, 1);
    let written = folder.begin_snapshot(snapshot(70)).expect("begin").write().expect("write");
    folder.install_snapshot(&snapshot(120)).expect("install");
    folder.finish_snapshot(written).expect("finish");
    drop(folder);
    let (_folder, _, restored) = open(dir.path());
    assert_eq!((restored.snapshot, restored.entries.len()), (Some(snapshot(120)), 0));
    assert!(!dir.path().join("own-snapshot.tmp").exists());
}

/// Guards against a full disk that loses accepted entries, against use of the reserved space for
/// new work, and against a folder that stays full after a snapshot has freed space.
#[test]
fn full_folder_keeps_what_was_accepted() {
    let dir = tempfile::tempdir().expect("folder");
    let options = Options { segment_size: 4 << 10, capacity: 20 << 10 };
    let (mut folder, ..) = Folder::open_with(dir.path(), 1, options).expect("open");
    let mut index = 0;
    while folder.has_free_space() {
        index += 1;
        append(&mut folder, index..=index, 1);
    }
    // The reserved space holds at least half a segment of accepted work.
    append(&mut folder, index + 1..=index + 16, 1);
    index += 16;
    let full = loop {
        index += 1;
        folder.append(None, &[entry(index, 1, COMMAND_SIZE)]).expect("append");
        if let Err(error) = folder.sync() {
            break error;
        }
    };
    assert!(full.is_full(), "{full}");
    assert!(folder.sync().is_err_and(|e| e.is_full()));
    let copy = copy_with_change(dir.path(), |_| {});
    assert_eq!(indexes(&open(copy.path()).2), (1..index).collect::<Vec<_>>());
    folder.save_snapshot(&snapshot(index - 20)).expect("store");
    assert!(folder.has_free_space());
    folder.sync().expect("the pending entry is written");
    drop(folder);
    assert_eq!(indexes(&open(dir.path()).2), (index - 19..=index).collect::<Vec<_>>());
}

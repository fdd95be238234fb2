//! Thread of a replica group whose log or disk is full.

use basilfield::fleet::store;
use basilfield::metrics;
use basilfield::replica;
use basilfield::state::group;
use basilfield::state::mesh;
use basilfield::state::service;
use basilfield::storage;
use basilfield::timer;
use basilfield::wire;
use bytes::Bytes;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::oneshot;

const GROUP: u16 = 1;
const OPTIONS: storage::Options = storage::Options { segment_size: 32 << 10, capacity: 256 << 10 };
/// Size of a command; a few of them fill the log.
const COMMAND_BYTES: usize = 16 << 10;
/// Longest time for the answer to one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time until new work is accepted after the disk has space again.
const ACCEPT_TIME: Duration = Duration::from_secs(8);
/// Longest time for the answer to a read while the disk is full.
const READ_TIME: Duration = Duration::from_millis(500);

/// State machine that counts commands.
#[derive(Default)]
struct Counter {
    count: u64,
}

impl replica::StateMachine for Counter {
    fn apply(&mut self, _index: u64, _command: &[u8]) -> Vec<u8> {
        self.count += 1;
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.count.to_le_bytes().to_vec()
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        self.count = u64::from_le_bytes(data.try_into().expect("eight bytes"));
        Ok(())
    }
}

impl service::Service for Counter {
    fn state_machine(&mut self) -> &mut dyn replica::StateMachine {
        self
    }

    fn query(&self, _query: &[u8]) -> Vec<u8> {
        self.count.to_le_bytes().to_vec()
    }

    fn is_new_work(&self, command: &[u8]) -> bool {
        command.first() == Some(&1)
    }

    fn leadership_changed(&mut self, _now: Duration, _is_leader: bool) {}

    fn entries_applied(&mut self, _now: Duration) {}
}

/// There are no other hosts.
struct NoOutbox;

impl mesh::Outbox for NoOutbox {
    fn send(&self, _host: &Arc<str>, _envelope: replica::Envelope) {}
}

/// Group with one voter, in the process of the test.
struct Single {
    runtime: tokio::runtime::Runtime,
    handle: group::Handle,
}

impl Single {
    fn start(path: &Path) -> Single {
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        let guard = runtime.enter();
        let (folder, id, restored) =
            storage::Folder::open_with(path, GROUP, OPTIONS).expect("folder");
        let parts = group::Parts {
            group: GROUP,
            host: "h".into(),
            hosts: vec!["h".into()],
            may_form: true,
            target_voters: None,
            folder,
            id,
            restored,
            service: Box::new(Counter::default()),
            outbox: Box::new(NoOutbox),
            timer: timer::Timer::start(),
            heartbeat_interval: Duration::from_millis(20),
            election_timeout: Duration::from_millis(100),
            snapshot_entries: 4_000,
            metrics: metrics::Metrics::new(),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let (handle, calls) = group::channel(id);
        std::thread::spawn(move || {
            let group = group::Group::new(parts, calls).expect("restored");
            group.run().expect("no storage error")
        });
        handle.call(group::Call::ProbeAnswers(Vec::new()));
        drop(guard);
        let single = Single { runtime, handle };
        let begun = Instant::now();
        while single.count().is_none() {
            assert!(begun.elapsed() < CALL_TIMEOUT, "the group has a leader");
            std::thread::sleep(Duration::from_millis(10));
        }
        single
    }

    fn call(&self, call: impl FnOnce(service::ReplySender) -> group::Call) -> Option<wire::Reply> {
        let (done, answer) = oneshot::channel();
        self.handle.call(call(done));
        let answer = async { tokio::time::timeout(CALL_TIMEOUT, answer).await.ok()?.ok() };
        self.runtime.block_on(answer)
    }

    /// Proposes a command. Returns `applied`, the reason of a refusal, or `no answer`.
    fn propose(&self, kind: u8) -> String {
        let command = Bytes::from(vec![kind; COMMAND_BYTES]);
        match self.call(|done| group::Call::Propose { command, done }) {
            Some(wire::Reply::Applied { .. }) => "applied".into(),
            Some(wire::Reply::NotDone { reason, .. }) => reason.to_string(),
            _ => "no answer".into(),
        }
    }

    /// Number of applied commands; `None` if a read is not answered.
    fn count(&self) -> Option<u64> {
        match self.call(|done| group::Call::Query { query: Bytes::new(), done }) {
            Some(wire::Reply::Answer(answer)) => {
                Some(u64::from_le_bytes(answer[..].try_into().expect("eight bytes")))
            }
            _ => None,
        }
    }
}

/// Guards against a group that stops for good because its log is full of few large entries, which no
/// snapshot has freed.
#[test]
fn large_entries_fill_the_log() {
    let dir = tempfile::tempdir().expect("folder");
    let single = Single::start(dir.path());
    let answers: Vec<String> = (0..100).map(|_| single.propose(0)).collect();
    let failed = answers.iter().find(|a| *a != "applied");
    assert_eq!((failed, single.count()), (None, Some(100)));
}

/// Guards against a replica that cannot start, or stops again, because its log is full.
#[test]
fn full_log_stops_the_group_after_a_restart() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, id, _) =
        storage::Folder::open_with(dir.path(), GROUP, OPTIONS).expect("folder");
    let membership = replica::Membership::from_voters([(id, Arc::<str>::from("h"))]);
    let mut payload = replica::Payload::Membership(membership);
    let mut count = 0;
    for index in 1.. {
        let entry = replica::Entry { index, term: 1, payload };
        let hard_state = replica::HardState { term: 1, vote: Some(id), commit: index - 1 };
        folder.append(Some(&hard_state), &[entry]).expect("appended");
        if folder.sync().is_err_and(|e| e.is_full()) {
            break;
        }
        count = index - 1;
        payload = replica::Payload::Command(vec![0; COMMAND_BYTES].into());
    }
    drop(folder);
    let single = Single::start(dir.path());
    assert_eq!((single.propose(0), single.count()), ("applied".into(), Some(count + 1)));
}

/// Disk without space for snapshots, until it is dropped.
struct FullDisk {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FullDisk {
    /// Makes the file of an unfinished snapshot a link to a device without space, again whenever a
    /// failed snapshot has removed it.
    fn start(folder: &Path) -> FullDisk {
        let link = folder.join("own-snapshot.tmp");
        std::os::unix::fs::symlink("/dev/full", &link).expect("link");
        let stop = Arc::new(AtomicBool::new(false));
        let ends = stop.clone();
        let thread = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                // It exists unless a snapshot has just failed.
                let _ = std::os::unix::fs::symlink("/dev/full", &link);
                std::thread::sleep(Duration::from_millis(5));
            }
            let _ = std::fs::remove_file(&link);
        });
        FullDisk { stop, thread: Some(thread) }
    }
}

impl Drop for FullDisk {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic");
        }
    }
}

/// Guards against a group that answers no reads while the disk is full, refuses new work without saying
/// that it has not run, or does not go on when the disk has space again.
#[test]
fn full_disk_stops_reads() {
    let dir = tempfile::tempdir().expect("folder");
    let single = Single::start(dir.path());
    let full_disk = FullDisk::start(dir.path());
    let mut applied = 0;
    let refused = loop {
        assert!(applied < 100, "the log becomes full");
        match single.propose(0).as_str() {
            "applied" => applied += 1,
            reason => break reason.to_string(),
        }
    };
    let begun = Instant::now();
    let count = single.count();
    let in_time = begun.elapsed() < READ_TIME;
    let new = single.propose(1);
    drop(full_disk);
    let begun = Instant::now();
    while single.propose(1) != "applied" {
        assert!(begun.elapsed() < ACCEPT_TIME, "new work is accepted again");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(applied >= 10, "{applied}");
    insta::assert_snapshot!(
        format!("{refused}; {:?} {in_time}; {new}", count.map(|c| c as i64 - applied)), @"no answer; Some(0) true; disk_full");
}

/// Guards against jobs that need more space for their snapshots than the disk has beside the log.
#[test]
fn jobs_exceed_a_small_disk() {
    let sizes: Vec<usize> = [0, 80, 128, 190, 420].map(|d| store::job_bytes(d) / 1_000_000).into();
    insta::assert_snapshot!(format!("{sizes:?}"), @"[100, 0, 22, 53, 100]");
}

/// Guards against new work that fills the part of the log that is kept for accepted work.
#[test]
fn new_work_fills_the_reserve() {
    let dir = tempfile::tempdir().expect("folder");
    let (mut folder, ..) = storage::Folder::open_with(dir.path(), GROUP, OPTIONS).expect("folder");
    let mut seen = Vec::new();
    for index in 1..=15 {
        let payload = replica::Payload::Command(vec![0; COMMAND_BYTES].into());
        folder.append(None, &[replica::Entry { index, term: 1, payload }]).expect("appended");
        folder.sync().expect("written");
        let due = folder.usage().is_snapshot_due();
        seen.push(match (folder.has_free_space(), due) {
            (true, false) => 'f',
            (true, true) => 's',
            (false, _) => 'r',
        });
    }
    let seen: String = seen.into_iter().collect();
    insta::assert_snapshot!(seen, @"fffssssrrrrrrrr");
}

//! Data folder: opening, appending, syncing and installing snapshots.

use crate::replica;
use crate::storage;
use crate::storage::Error;
use crate::storage::Step as _;
use crate::storage::segment;
use crate::storage::snapshot;
use fs4::fs_std::FileExt as _;
use rustix::fs::FallocateFlags;
use serde::Deserialize;
use serde::Serialize;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

/// Name of the file whose space is reserved for the next segment.
const SPARE: &str = "spare";
/// Extension of segments.
const LOG: &str = "log";

/// Sizes of a data folder.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size in bytes at which a new segment is started. This much is also reserved ahead on the
    /// disk, so that accepted work can still be written when the disk is full.
    pub segment: u64,
    /// Most bytes of all segments together.
    pub capacity: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { segment: 16 << 20, capacity: u64::MAX }
    }
}

#[derive(Serialize, Deserialize)]
struct Identity {
    group: u16,
    id: u64,
}

struct Segment {
    number: u64,
    /// Highest index of an entry in the segment; 0 without entries.
    upper: u64,
    bytes: u64,
}

/// Data folder of one replica group. Locked against other processes while it exists.
pub struct Folder {
    dir: PathBuf,
    options: Options,
    /// Holds the lock.
    _lock: File,
    /// The last segment, open for appending.
    file: File,
    /// All segments in ascending order; never empty.
    segments: Vec<Segment>,
    hard: replica::HardState,
    /// Records that the next sync writes.
    pending: Vec<u8>,
    /// Highest index of an entry in `pending`.
    upper: u64,
    /// Whether space for the next segment is reserved.
    spare: bool,
    /// Error of a failed write or sync, after which the content of the file is unknown.
    failed: Option<Error>,
}

impl Folder {
    /// Opens or creates the folder of a group. Returns its replica id and what it holds.
    pub fn open(path: &Path, group: u16) -> Result<(Folder, u64, replica::PersistentState), Error> {
        Folder::open_with(path, group, Options::default())
    }

    /// Opens or creates a folder with the given sizes.
    pub fn open_with(
        path: &Path,
        group: u16,
        options: Options,
    ) -> Result<(Folder, u64, replica::PersistentState), Error> {
        fs::create_dir_all(path).step("create", path)?;
        let lock = lock(&path.join("lock"))?;
        remove_unfinished(path)?;
        let id = identify(path, group)?;
        let stored = snapshot::read(path)?;
        let first = stored.as_ref().map_or(1, |s| s.first);
        let numbers = list_segments(path, first)?;
        let snapshot = stored.map(|s| s.snapshot.into_owned());
        let mut replay = Replay::new(snapshot);
        let mut segments = Vec::new();
        for number in &numbers {
            segments.push(replay.read(path, *number, Some(number) == numbers.last())?);
        }
        let hard = replay.restored.hard_state;
        if segments.is_empty() {
            segments.push(create_segment(path, first, hard)?);
        }
        let number = segments[segments.len() - 1].number;
        let mut folder = Folder {
            file: open_segment(path, number, options.segment)?,
            dir: path.to_path_buf(),
            options,
            _lock: lock,
            segments,
            hard,
            pending: Vec::new(),
            upper: 0,
            spare: false,
            failed: None,
        };
        folder.reserve();
        Ok((folder, id, replay.restored))
    }

    /// Whether new work may be accepted: space for one more segment is reserved.
    ///
    /// The reserved space is left to work that was accepted before. Without a reserve, this tries
    /// again to get one, so that space that was freed on the disk is noticed.
    pub fn has_room(&mut self) -> bool {
        self.reserve();
        self.spare && self.used() + self.options.segment <= self.options.capacity
    }

    /// Adds a hard state and entries to the next sync. The entries replace the log from
    /// `entries[0].index` on.
    pub fn append(
        &mut self,
        hard: Option<&replica::HardState>,
        entries: &[replica::Entry],
    ) -> Result<(), Error> {
        self.check()?;
        if let Some(hard) = hard {
            self.hard = *hard;
            segment::push(&mut self.pending, &segment::Record::Hard(*hard));
        }
        for entry in entries {
            self.upper = self.upper.max(entry.index);
            segment::push(&mut self.pending, &segment::Record::Entry(entry.clone()));
        }
        Ok(())
    }

    /// Makes everything durable that was appended.
    ///
    /// After [`Error::Full`] nothing is written and everything stays pending: messages must not be
    /// sent, and the call is repeated later. After any other error the process ends.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.check()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        if self.active().bytes >= self.options.segment {
            self.roll()?;
        }
        let frame = segment::frame(&self.pending);
        if self.used() + frame.len() as u64 > self.options.capacity {
            return Err(Error::Full { file: storage::name(&self.path()) });
        }
        self.write(&frame)?;
        let upper = std::mem::take(&mut self.upper);
        let active = self.active();
        active.bytes += frame.len() as u64;
        active.upper = active.upper.max(upper);
        self.pending.clear();
        self.reserve();
        Ok(())
    }

    /// Stores a snapshot of the own state machine and drops the segments that it covers.
    pub fn store(&mut self, snapshot: &replica::Snapshot) -> Result<(), Error> {
        self.check()?;
        let last = self.segments.len() - 1;
        let covered = self.segments[..last].iter().take_while(|s| s.upper <= snapshot.index);
        let first = self.segments[covered.count()].number;
        snapshot::write(&self.dir, first, snapshot).map_err(|e| self.fail(e))?;
        self.drop_before(first)
    }

    /// Replaces snapshot and log by a snapshot from the leader.
    pub fn install(&mut self, snapshot: &replica::Snapshot) -> Result<(), Error> {
        self.check()?;
        // The log before the snapshot may differ from the leader's, so that nothing of it is
        // kept. The hard state moves to the new segment.
        self.pending.clear();
        self.upper = 0;
        self.roll()?;
        let first = self.active().number;
        snapshot::write(&self.dir, first, snapshot).map_err(|e| self.fail(e))?;
        self.drop_before(first)
    }

    fn check(&self) -> Result<(), Error> {
        self.failed.clone().map_or(Ok(()), Err)
    }

    /// Remembers an error after which the folder must not be used.
    fn fail(&mut self, error: Error) -> Error {
        if !error.is_full() {
            self.failed = Some(error.clone());
        }
        error
    }

    fn active(&mut self) -> &mut Segment {
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    fn path(&self) -> PathBuf {
        segment_path(&self.dir, self.segments[self.segments.len() - 1].number)
    }

    fn used(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes).sum()
    }

    fn write(&mut self, frame: &[u8]) -> Result<(), Error> {
        let path = self.path();
        let written = self.file.write_all(frame).step("write", &path);
        if let Err(error) = written {
            return Err(self.undo_write(error));
        }
        self.file.sync_data().step("sync", &path).map_err(|e| {
            // A sync that failed for lack of space may have lost pages like any other one.
            let error =
                Error::Io { step: "sync", file: storage::name(&path), cause: e.to_string().into() };
            self.fail(error)
        })
    }

    /// Removes a partly written frame, so that the write can be repeated if the disk was full.
    fn undo_write(&mut self, error: Error) -> Error {
        let size = self.active().bytes;
        let path = self.path();
        match self.file.set_len(size).step("truncate", &path) {
            Ok(()) => self.fail(error),
            Err(e) => {
                let cause = format!("{error}; {e}").into();
                self.fail(Error::Io { step: "truncate", file: storage::name(&path), cause })
            }
        }
    }

    /// Starts a new segment.
    fn roll(&mut self) -> Result<(), Error> {
        let number = self.active().number + 1;
        let hard = self.hard;
        let created = create_segment(&self.dir, number, hard).map_err(|e| self.fail(e))?;
        let opened = open_segment(&self.dir, number, self.options.segment);
        self.file = opened.map_err(|e| self.fail(e))?;
        self.segments.push(created);
        self.spare = false;
        self.reserve();
        Ok(())
    }

    fn drop_before(&mut self, first: u64) -> Result<(), Error> {
        for segment in self.segments.iter().filter(|s| s.number < first) {
            let path = segment_path(&self.dir, segment.number);
            fs::remove_file(&path).step("remove", &path)?;
        }
        self.segments.retain(|s| s.number >= first);
        self.reserve();
        Ok(())
    }

    /// Reserves space for the next segment if that is not done yet.
    fn reserve(&mut self) {
        if self.spare {
            return;
        }
        let path = self.dir.join(SPARE);
        let file = fs::OpenOptions::new().create(true).append(true).open(&path);
        let reserved = file
            .step("create", &path)
            .and_then(|file| allocate(&file, &path, self.options.segment));
        self.spare = reserved.is_ok();
    }
}

fn segment_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{number:08}.{LOG}"))
}

fn lock(path: &Path) -> Result<File, Error> {
    let mut options = fs::OpenOptions::new();
    let file = options.create(true).append(true).open(path).step("open", path)?;
    match file.try_lock_exclusive().step("lock", path)? {
        true => Ok(file),
        false => Err(Error::Locked { file: storage::name(path) }),
    }
}

/// Removes what an earlier process left unfinished.
fn remove_unfinished(dir: &Path) -> Result<(), Error> {
    for entry in fs::read_dir(dir).step("list", dir)? {
        let path = entry.step("list", dir)?.path();
        if path.extension().is_some_and(|e| e == "tmp") || path.ends_with(SPARE) {
            fs::remove_file(&path).step("remove", &path)?;
        }
    }
    Ok(())
}

/// Reads the identity of the folder, or gives it one if it is new.
fn identify(dir: &Path, group: u16) -> Result<u64, Error> {
    let path = dir.join("identity");
    let bytes = match fs::read(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return create_identity(dir, &path, group),
        result => result.step("read", &path)?,
    };
    let identity: Option<Identity> =
        segment::payload(&bytes).and_then(|payload| postcard::from_bytes(payload).ok());
    match identity {
        None => Err(Error::damaged(&path, 0, "checksum mismatch")),
        Some(Identity { group: found, .. }) if found != group => {
            Err(Error::Group { file: storage::name(&path), expected: group, found })
        }
        Some(Identity { id, .. }) => Ok(id),
    }
}

fn create_identity(dir: &Path, path: &Path, group: u16) -> Result<u64, Error> {
    // A new identity on old data would let the replica vote twice in one term.
    if !list_segments(dir, 1)?.is_empty() || dir.join(snapshot::FILE).exists() {
        return Err(Error::damaged(path, 0, "missing in a folder with data"));
    }
    let id = rand::random::<u64>().max(1);
    let payload = postcard::to_stdvec(&Identity { group, id }).map_err(|e| Error::Io {
        step: "encode",
        file: storage::name(path),
        cause: e.to_string().into(),
    })?;
    storage::write_atomic(path, &segment::frame(&payload))?;
    Ok(id)
}

/// Numbers of the segments from `first` on, ascending and without gaps. Removes earlier ones,
/// which a snapshot has replaced.
fn list_segments(dir: &Path, first: u64) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(dir).step("list", dir)? {
        let path = entry.step("list", dir)?.path();
        if path.extension().is_none_or(|e| e != LOG) {
            continue;
        }
        let number = path.file_stem().and_then(|s| s.to_str()).and_then(|s| s.parse().ok());
        match number {
            Some(number) if number < first => fs::remove_file(&path).step("remove", &path)?,
            Some(number) => numbers.push(number),
            None => return Err(Error::damaged(&path, 0, "not the name of a segment")),
        }
    }
    numbers.sort_unstable();
    // A new folder has neither segment nor snapshot; otherwise the first segment exists.
    let missing = (first..).zip(&numbers).find(|(expected, number)| expected != *number);
    match missing {
        Some((number, _)) => Err(Error::damaged(&segment_path(dir, number), 0, "segment missing")),
        None if numbers.is_empty() && first > 1 => {
            Err(Error::damaged(&segment_path(dir, first), 0, "segment missing"))
        }
        None => Ok(numbers),
    }
}

/// Creates a segment that starts with the hard state, in the reserved space if there is some.
fn create_segment(dir: &Path, number: u64, hard: replica::HardState) -> Result<Segment, Error> {
    let (spare, path) = (dir.join(SPARE), segment_path(dir, number));
    let mut content = segment::MAGIC.to_vec();
    let mut payload = Vec::new();
    segment::push(&mut payload, &segment::Record::Hard(hard));
    content.extend(segment::frame(&payload));
    let mut options = fs::OpenOptions::new();
    let mut file = options.create(true).append(true).open(&spare).step("create", &spare)?;
    // An earlier attempt may have failed halfway.
    file.set_len(0).step("truncate", &spare)?;
    file.write_all(&content).step("write", &spare)?;
    file.sync_all().step("sync", &spare)?;
    fs::rename(&spare, &path).step("rename", &path)?;
    storage::sync_dir(dir)?;
    Ok(Segment { number, upper: 0, bytes: content.len() as u64 })
}

fn open_segment(dir: &Path, number: u64, size: u64) -> Result<File, Error> {
    let path = segment_path(dir, number);
    let file = fs::OpenOptions::new().append(true).open(&path).step("open", &path)?;
    match allocate(&file, &path, size) {
        // Without the space, appends report the full disk.
        Ok(()) | Err(Error::Full { .. }) => Ok(file),
        Err(error) => Err(error),
    }
}

/// Reserves disk space for a file without changing its size.
fn allocate(file: &File, path: &Path, size: u64) -> Result<(), Error> {
    match rustix::fs::fallocate(file, FallocateFlags::KEEP_SIZE, 0, size) {
        // File systems without reservation report a full disk on the write itself.
        Err(rustix::io::Errno::OPNOTSUPP) => Ok(()),
        result => result.map_err(io::Error::from).step("reserve", path),
    }
}

/// Collects what the segments hold.
struct Replay {
    restored: replica::PersistentState,
    /// Index of the snapshot.
    base: u64,
}

impl Replay {
    fn new(snapshot: Option<replica::Snapshot>) -> Replay {
        let base = snapshot.as_ref().map_or(0, |s| s.index);
        Replay { restored: replica::PersistentState { snapshot, ..Default::default() }, base }
    }

    fn read(&mut self, dir: &Path, number: u64, last: bool) -> Result<Segment, Error> {
        let path = segment_path(dir, number);
        let content = segment::read(&path, last)?;
        let mut upper = 0;
        for (offset, record) in content.records {
            match record {
                segment::Record::Hard(hard) => self.restored.hard_state = hard,
                segment::Record::Entry(entry) => {
                    upper = upper.max(entry.index);
                    self.push(entry).map_err(|cause| Error::damaged(&path, offset, cause))?;
                }
            }
        }
        if last {
            // After a failed sync the cache may show bytes that the disk does not hold. Writing
            // them to a new file makes them durable, and cuts off a torn frame.
            storage::write_atomic(&path, &content.bytes)?;
        }
        Ok(Segment { number, upper, bytes: content.bytes.len() as u64 })
    }

    fn push(&mut self, entry: replica::Entry) -> Result<(), &'static str> {
        let entries = &mut self.restored.entries;
        let Some(at) = entry.index.checked_sub(self.base + 1) else {
            // The snapshot covers the entry, and a replaced log has no entries after it.
            entries.clear();
            return Ok(());
        };
        if at > entries.len() as u64 {
            return Err("gap between entries");
        }
        entries.truncate(at as usize);
        entries.push(entry);
        Ok(())
    }
}

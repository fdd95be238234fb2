//! Data folder: opening, appending, syncing and installing snapshots.

use crate::replica;
use crate::storage;
use crate::storage::Error;
use crate::storage::IoContext as _;
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
const SPARE_FILE: &str = "spare";
/// Part of the capacity that is kept for what follows from accepted work.
const RESERVE_DIVISOR: u64 = 2;
/// Part of the capacity after which a snapshot is taken, so that several fit into what new work may
/// fill.
const SNAPSHOT_DIVISOR: u64 = 4;
/// Largest frame that may exceed the capacity. A replica whose log is full must still store its term
/// and vote, or its group has no leader.
const SMALL_FRAME_BYTES: u64 = 4 << 10;
/// Part of the capacity that small frames may use beyond it.
const HEADROOM_DIVISOR: u64 = 64;
/// File extension of segments.
const SEGMENT_EXTENSION: &str = "log";

/// Size limits of a data folder.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size in bytes at which a new segment is started. This much is also reserved ahead on the
    /// disk, so that accepted work can still be written when the disk is full.
    pub segment_size: u64,
    /// Limit of the total size of all segments in bytes.
    pub capacity: u64,
}

/// Use of the log by bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes of all segments.
    pub used: u64,
    /// Limit of these bytes.
    pub capacity: u64,
    /// Bytes that are kept for what follows from accepted work.
    pub reserve: u64,
    /// Bytes written since the last snapshot was begun or the folder was opened; the bytes of a folder
    /// that has just been opened count as written since.
    pub since_snapshot: u64,
}

impl Usage {
    /// Bytes that new work may still use.
    pub fn free_for_new_work(&self) -> u64 {
        self.capacity.saturating_sub(self.reserve).saturating_sub(self.used)
    }

    /// Whether so much was written since the last snapshot that a further one frees much.
    pub fn is_snapshot_due(&self) -> bool {
        self.since_snapshot >= self.capacity / SNAPSHOT_DIVISOR
    }
}

impl Default for Options {
    fn default() -> Self {
        Options { segment_size: 16 << 20, capacity: u64::MAX }
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
    max_index: u64,
    bytes: u64,
}

/// Data folder of one replica group. Locked against other processes while this value exists.
pub struct Folder {
    dir: PathBuf,
    options: Options,
    /// Keeps the folder locked.
    _lock: File,
    /// The last segment, open for appending.
    file: File,
    /// All segments in ascending order; never empty.
    segments: Vec<Segment>,
    hard_state: replica::HardState,
    /// Encoded records that the next sync writes.
    pending: Vec<u8>,
    /// Highest index of an entry in `pending`.
    max_index: u64,
    /// Bytes written since the last snapshot was begun.
    since_snapshot: u64,
    /// Whether space for the next segment is reserved.
    has_spare: bool,
    /// Number of snapshots from the leader that were installed since the folder was opened.
    installed: u64,
    /// Error of a failed write or sync, after which the content of the file is unknown.
    failure: Option<Error>,
}

impl Folder {
    /// Opens or creates the folder of a group. Returns it with its replica id and the stored state.
    pub fn open(path: &Path, group: u16) -> Result<(Folder, u64, replica::PersistentState), Error> {
        Folder::open_with(path, group, Options::default())
    }

    /// Opens or creates a folder with the given size limits.
    pub fn open_with(
        path: &Path,
        group: u16,
        options: Options,
    ) -> Result<(Folder, u64, replica::PersistentState), Error> {
        fs::create_dir_all(path).context("create", path)?;
        let lock = lock(&path.join("lock"))?;
        remove_unfinished(path)?;
        let id = read_or_create_identity(path, group)?;
        let stored = snapshot::read(path)?;
        let first = stored.as_ref().map_or(1, |s| s.first_segment);
        let numbers = list_segments(path, first)?;
        let snapshot = stored.map(|s| s.snapshot.into_owned());
        let mut replay = Replay::new(snapshot);
        let mut segments = Vec::new();
        for number in &numbers {
            segments.push(replay.read_segment(path, *number, Some(number) == numbers.last())?);
        }
        let hard_state = replay.restored.hard_state;
        if segments.is_empty() {
            segments.push(create_segment(path, first, hard_state)?);
        }
        let number = segments[segments.len() - 1].number;
        let since_snapshot = segments.iter().map(|s| s.bytes).sum();
        let mut folder = Folder {
            file: open_segment(path, number, options.segment_size)?,
            dir: path.to_path_buf(),
            options,
            _lock: lock,
            segments,
            hard_state,
            pending: Vec::new(),
            max_index: 0,
            since_snapshot,
            has_spare: false,
            installed: 0,
            failure: None,
        };
        folder.reserve_spare();
        Ok((folder, id, replay.restored))
    }

    /// Returns whether new work may be accepted: space for one more segment is reserved on the disk, and
    /// the part of the capacity is free that is kept for what follows from accepted work, such as its
    /// output and a snapshot that is being written.
    ///
    /// If no space is reserved on the disk, this tries again to reserve it, so that freed space is
    /// noticed.
    pub fn has_free_space(&mut self) -> bool {
        self.reserve_spare();
        let usage = self.usage();
        self.has_spare && usage.used + usage.reserve <= usage.capacity
    }

    /// How far the log is filled.
    pub fn usage(&self) -> Usage {
        let (used, capacity) = (self.used_bytes(), self.options.capacity);
        let reserve = (capacity / RESERVE_DIVISOR).max(self.options.segment_size);
        Usage { used, capacity, reserve, since_snapshot: self.since_snapshot }
    }

    /// Adds a hard state and entries to the next sync. The entries replace the log from
    /// `entries[0].index` on.
    pub fn append(
        &mut self,
        hard_state: Option<&replica::HardState>,
        entries: &[replica::Entry],
    ) -> Result<(), Error> {
        self.check_usable()?;
        if let Some(hard_state) = hard_state {
            self.hard_state = *hard_state;
            segment::push_record(&mut self.pending, &segment::Record::HardState(*hard_state));
        }
        for entry in entries {
            self.max_index = self.max_index.max(entry.index);
            segment::push_record(&mut self.pending, &segment::Record::Entry(entry.clone()));
        }
        Ok(())
    }

    /// Writes the appended records and makes them durable.
    ///
    /// After [`Error::Full`] nothing is written and the records stay pending: the caller must not
    /// send messages, and repeats the call later. After any other error the process ends.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.check_usable()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        if self.active_segment().bytes >= self.options.segment_size {
            self.start_segment()?;
        }
        let frame = segment::encode_frame(&self.pending);
        let size = frame.len() as u64;
        let capacity = self.options.capacity;
        let headroom = if size <= SMALL_FRAME_BYTES { capacity / HEADROOM_DIVISOR } else { 0 };
        if self.used_bytes() + size > capacity.saturating_add(headroom) {
            return Err(Error::Full { file: storage::path_text(&self.active_path()) });
        }
        self.write(&frame)?;
        let max_index = std::mem::take(&mut self.max_index);
        self.since_snapshot += size;
        let active = self.active_segment();
        active.bytes += size;
        active.max_index = active.max_index.max(max_index);
        self.pending.clear();
        self.reserve_spare();
        Ok(())
    }

    /// Saves a snapshot of this replica's state machine and removes the segments that it covers.
    pub fn save_snapshot(&mut self, snapshot: &replica::Snapshot) -> Result<(), Error> {
        let written = self.begin_snapshot(snapshot.clone())?.write();
        let written = written.map_err(|e| self.record_failure(e))?;
        self.finish_snapshot(written)
    }

    /// Begins to save a snapshot of this replica's state machine. The writer may run on another
    /// thread; the log is kept until [`Folder::finish_snapshot`].
    pub fn begin_snapshot(
        &mut self,
        snapshot: replica::Snapshot,
    ) -> Result<snapshot::Writer, Error> {
        self.check_usable()?;
        self.since_snapshot = 0;
        let last = self.segments.len() - 1;
        let covered = self.segments[..last].iter().take_while(|s| s.max_index <= snapshot.index);
        let first_segment = self.segments[covered.count()].number;
        let (dir, installed) = (self.dir.clone(), self.installed);
        Ok(snapshot::Writer { dir, first_segment, snapshot, installed })
    }

    /// Puts a written snapshot in the place of the segments that it covers. Drops it if a snapshot
    /// from the leader was installed meanwhile.
    pub fn finish_snapshot(&mut self, written: snapshot::Written) -> Result<(), Error> {
        self.check_usable()?;
        let temp = self.dir.join(snapshot::OWN_TEMP_NAME);
        if written.installed != self.installed {
            return storage::remove(&temp);
        }
        let path = self.dir.join(snapshot::FILE_NAME);
        let renamed = fs::rename(&temp, &path).context("rename", &path);
        renamed.and_then(|()| storage::sync_dir(&self.dir)).map_err(|e| self.record_failure(e))?;
        self.remove_segments_before(written.first_segment)
    }

    /// Replaces the snapshot and the log by a snapshot from the leader.
    pub fn install_snapshot(&mut self, snapshot: &replica::Snapshot) -> Result<(), Error> {
        self.check_usable()?;
        // The log before the snapshot may differ from the leader's, so none of it is kept. The
        // hard state is written to the new segment.
        self.pending.clear();
        self.max_index = 0;
        self.installed += 1;
        self.start_segment()?;
        let first = self.active_segment().number;
        snapshot::write(&self.dir, first, snapshot).map_err(|e| self.record_failure(e))?;
        self.remove_segments_before(first)
    }

    fn check_usable(&self) -> Result<(), Error> {
        self.failure.clone().map_or(Ok(()), Err)
    }

    /// Records an error other than a full disk, after which the folder must not be used.
    fn record_failure(&mut self, error: Error) -> Error {
        if !error.is_full() {
            self.failure = Some(error.clone());
        }
        error
    }

    fn active_segment(&mut self) -> &mut Segment {
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    fn active_path(&self) -> PathBuf {
        segment_path(&self.dir, self.segments[self.segments.len() - 1].number)
    }

    fn used_bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes).sum()
    }

    fn write(&mut self, frame: &[u8]) -> Result<(), Error> {
        let path = self.active_path();
        let written = self.file.write_all(frame).context("write", &path);
        if let Err(error) = written {
            return Err(self.undo_write(error));
        }
        self.file.sync_data().context("sync", &path).map_err(|e| {
            // A sync that failed for lack of space may have lost pages too, so it is not `Full`.
            let error = Error::Io {
                operation: "sync",
                file: storage::path_text(&path),
                cause: e.to_string().into(),
            };
            self.record_failure(error)
        })
    }

    /// Removes a partly written frame, so that the write can be repeated if the disk was full.
    fn undo_write(&mut self, error: Error) -> Error {
        let size = self.active_segment().bytes;
        let path = self.active_path();
        match self.file.set_len(size).context("truncate", &path) {
            Ok(()) => self.record_failure(error),
            Err(e) => {
                let cause = format!("{error}; {e}").into();
                self.record_failure(Error::Io {
                    operation: "truncate",
                    file: storage::path_text(&path),
                    cause,
                })
            }
        }
    }

    /// Starts a new segment.
    fn start_segment(&mut self) -> Result<(), Error> {
        let number = self.active_segment().number + 1;
        let hard_state = self.hard_state;
        let created =
            create_segment(&self.dir, number, hard_state).map_err(|e| self.record_failure(e))?;
        let opened = open_segment(&self.dir, number, self.options.segment_size);
        self.file = opened.map_err(|e| self.record_failure(e))?;
        self.segments.push(created);
        self.has_spare = false;
        self.reserve_spare();
        Ok(())
    }

    fn remove_segments_before(&mut self, first: u64) -> Result<(), Error> {
        for segment in self.segments.iter().filter(|s| s.number < first) {
            let path = segment_path(&self.dir, segment.number);
            fs::remove_file(&path).context("remove", &path)?;
        }
        self.segments.retain(|s| s.number >= first);
        self.reserve_spare();
        Ok(())
    }

    /// Reserves space for the next segment unless it is reserved already.
    fn reserve_spare(&mut self) {
        if self.has_spare {
            return;
        }
        let path = self.dir.join(SPARE_FILE);
        let file = fs::OpenOptions::new().create(true).append(true).open(&path);
        let reserved = file
            .context("create", &path)
            .and_then(|file| allocate(&file, &path, self.options.segment_size));
        self.has_spare = reserved.is_ok();
    }
}

fn segment_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{number:08}.{SEGMENT_EXTENSION}"))
}

fn lock(path: &Path) -> Result<File, Error> {
    let mut options = fs::OpenOptions::new();
    let file = options.create(true).append(true).open(path).context("open", path)?;
    match file.try_lock_exclusive().context("lock", path)? {
        true => Ok(file),
        false => Err(Error::Locked { file: storage::path_text(path) }),
    }
}

/// Removes the unfinished files and the reserved space of an earlier process.
fn remove_unfinished(dir: &Path) -> Result<(), Error> {
    for entry in fs::read_dir(dir).context("list", dir)? {
        let path = entry.context("list", dir)?.path();
        if path.extension().is_some_and(|e| e == "tmp") || path.ends_with(SPARE_FILE) {
            fs::remove_file(&path).context("remove", &path)?;
        }
    }
    Ok(())
}

/// Returns the replica id of the folder. Creates an identity if the folder is new.
fn read_or_create_identity(dir: &Path, group: u16) -> Result<u64, Error> {
    let path = dir.join("identity");
    let bytes = match fs::read(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return create_identity(dir, &path, group),
        result => result.context("read", &path)?,
    };
    let identity: Option<Identity> =
        segment::decode_frame(&bytes).and_then(|payload| postcard::from_bytes(payload).ok());
    match identity {
        None => Err(Error::damaged(&path, 0, "checksum mismatch")),
        Some(Identity { group: found, .. }) if found != group => {
            Err(Error::WrongGroup { file: storage::path_text(&path), expected: group, found })
        }
        Some(Identity { id, .. }) => Ok(id),
    }
}

fn create_identity(dir: &Path, path: &Path, group: u16) -> Result<u64, Error> {
    // A new identity on old data would let the replica vote twice in one term.
    if !list_segments(dir, 1)?.is_empty() || dir.join(snapshot::FILE_NAME).exists() {
        return Err(Error::damaged(path, 0, "missing in a folder with data"));
    }
    let id = rand::random::<u64>().max(1);
    let payload = postcard::to_stdvec(&Identity { group, id }).map_err(|e| Error::Io {
        operation: "encode",
        file: storage::path_text(path),
        cause: e.to_string().into(),
    })?;
    storage::write_atomic(path, &segment::encode_frame(&payload))?;
    Ok(id)
}

/// Returns the numbers of the segments from `first` on, in ascending order and without gaps.
/// Removes earlier segments, which a snapshot has replaced.
fn list_segments(dir: &Path, first: u64) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(dir).context("list", dir)? {
        let path = entry.context("list", dir)?.path();
        if path.extension().is_none_or(|e| e != SEGMENT_EXTENSION) {
            continue;
        }
        let number = path.file_stem().and_then(|s| s.to_str()).and_then(|s| s.parse().ok());
        match number {
            Some(number) if number < first => fs::remove_file(&path).context("remove", &path)?,
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
fn create_segment(
    dir: &Path,
    number: u64,
    hard_state: replica::HardState,
) -> Result<Segment, Error> {
    let (spare, path) = (dir.join(SPARE_FILE), segment_path(dir, number));
    let mut content = segment::MAGIC.to_vec();
    let mut payload = Vec::new();
    segment::push_record(&mut payload, &segment::Record::HardState(hard_state));
    content.extend(segment::encode_frame(&payload));
    let mut options = fs::OpenOptions::new();
    let mut file = options.create(true).append(true).open(&spare).context("create", &spare)?;
    // An earlier attempt may have written a part.
    file.set_len(0).context("truncate", &spare)?;
    file.write_all(&content).context("write", &spare)?;
    file.sync_all().context("sync", &spare)?;
    fs::rename(&spare, &path).context("rename", &path)?;
    storage::sync_dir(dir)?;
    Ok(Segment { number, max_index: 0, bytes: content.len() as u64 })
}

fn open_segment(dir: &Path, number: u64, size: u64) -> Result<File, Error> {
    let path = segment_path(dir, number);
    let file = fs::OpenOptions::new().append(true).open(&path).context("open", &path)?;
    match allocate(&file, &path, size) {
        // If the space cannot be reserved, later writes report the full disk.
        Ok(()) | Err(Error::Full { .. }) => Ok(file),
        Err(error) => Err(error),
    }
}

/// Reserves disk space for a file without changing its size.
fn allocate(file: &File, path: &Path, size: u64) -> Result<(), Error> {
    match rustix::fs::fallocate(file, FallocateFlags::KEEP_SIZE, 0, size) {
        // File systems without reservation report a full disk on the write itself.
        Err(rustix::io::Errno::OPNOTSUPP) => Ok(()),
        result => result.map_err(io::Error::from).context("reserve", path),
    }
}

/// Collects the stored state from the segments.
struct Replay {
    restored: replica::PersistentState,
    /// Index of the snapshot; 0 without one.
    snapshot_index: u64,
}

impl Replay {
    fn new(snapshot: Option<replica::Snapshot>) -> Replay {
        let snapshot_index = snapshot.as_ref().map_or(0, |s| s.index);
        Replay {
            restored: replica::PersistentState { snapshot, ..Default::default() },
            snapshot_index,
        }
    }

    fn read_segment(&mut self, dir: &Path, number: u64, last: bool) -> Result<Segment, Error> {
        let path = segment_path(dir, number);
        let content = segment::read(&path, last)?;
        let mut max_index = 0;
        for (offset, record) in content.records {
            match record {
                segment::Record::HardState(hard_state) => self.restored.hard_state = hard_state,
                segment::Record::Entry(entry) => {
                    max_index = max_index.max(entry.index);
                    self.push_entry(entry).map_err(|cause| Error::damaged(&path, offset, cause))?;
                }
            }
        }
        if last {
            // After a failed sync, the page cache may hold bytes that are not on the disk. Writing
            // them to a new file makes them durable and cuts off a torn frame.
            storage::write_atomic(&path, &content.bytes)?;
        }
        Ok(Segment { number, max_index, bytes: content.bytes.len() as u64 })
    }

    fn push_entry(&mut self, entry: replica::Entry) -> Result<(), &'static str> {
        let entries = &mut self.restored.entries;
        let Some(at) = entry.index.checked_sub(self.snapshot_index + 1) else {
            // The snapshot covers this entry, which replaces all entries read so far.
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

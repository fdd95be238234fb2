//! Snapshot file: one frame with a postcard-encoded [`StoredSnapshot`].

use crate::replica;
use crate::storage;
use crate::storage::Error;
use crate::storage::IoContext as _;
use crate::storage::segment;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::borrow::Cow;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

/// Name of the snapshot file.
pub(super) const FILE_NAME: &str = "snapshot";
/// Name of the unfinished file of a snapshot from the leader.
const INSTALLED_TEMP_NAME: &str = "snapshot.tmp";
/// Name of the unfinished file of a snapshot of this replica.
pub(super) const OWN_TEMP_NAME: &str = "own-snapshot.tmp";
/// Bytes of a snapshot that are written and synced at once.
const WRITE_BYTES: usize = 1 << 20;

/// Content of the snapshot file.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredSnapshot<'a> {
    /// Number of the first segment that is needed besides the snapshot. Earlier segments are
    /// ignored, so renaming the file into place replaces the log as well.
    pub(super) first_segment: u64,
    pub(super) snapshot: Cow<'a, replica::Snapshot>,
}

/// Reads the snapshot file, if it exists.
pub(super) fn read(dir: &Path) -> Result<Option<StoredSnapshot<'static>>, Error> {
    let path = dir.join(FILE_NAME);
    let bytes = match fs::read(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        result => result.context("read", &path)?,
    };
    let Some(payload) = segment::decode_frame(&bytes) else {
        return Err(Error::damaged(&path, 0, "checksum mismatch"));
    };
    let stored = postcard::from_bytes(payload)
        .map_err(|e| Error::damaged(&path, segment::HEADER_SIZE as u64, e))?;
    Ok(Some(stored))
}

/// Writes the snapshot file atomically.
pub(super) fn write(
    dir: &Path,
    first_segment: u64,
    snapshot: &replica::Snapshot,
) -> Result<(), Error> {
    let (path, temp) = (dir.join(FILE_NAME), dir.join(INSTALLED_TEMP_NAME));
    write_temp(&temp, first_segment, snapshot)?;
    fs::rename(&temp, &path).context("rename", &path)?;
    storage::sync_dir(dir)
}

/// Snapshot of this replica's state machine that is written beside the log. Other operations of the
/// folder go on meanwhile.
pub struct Writer {
    pub(super) dir: PathBuf,
    pub(super) first_segment: u64,
    pub(super) snapshot: replica::Snapshot,
    /// Number of installed snapshots when this one was begun.
    pub(super) installed: u64,
}

/// Snapshot that is written but does not replace the log yet.
#[derive(Debug)]
pub struct Written {
    pub(super) first_segment: u64,
    pub(super) installed: u64,
}

impl Writer {
    /// Writes and syncs the snapshot to a temporary file.
    ///
    /// # Errors
    /// `Full` if there is no space, `Io` if the file system failed.
    pub fn write(self) -> Result<Written, Error> {
        write_temp(&self.dir.join(OWN_TEMP_NAME), self.first_segment, &self.snapshot)?;
        Ok(Written { first_segment: self.first_segment, installed: self.installed })
    }
}

/// Writes and syncs a snapshot to a temporary file; removes the file on an error.
fn write_temp(path: &Path, first_segment: u64, snapshot: &replica::Snapshot) -> Result<(), Error> {
    let written = write_frame(path, first_segment, snapshot);
    if written.is_err() {
        // Frees the space; a leftover would be removed on the next open anyway.
        let _ = fs::remove_file(path);
    }
    written
}

/// Writes the frame in pieces, each with a sync, so that syncs of the log do not wait for all of it.
/// The data is not copied, as it may be a large part of the memory.
fn write_frame(path: &Path, first_segment: u64, snapshot: &replica::Snapshot) -> Result<(), Error> {
    let encode = |e: postcard::Error| Error::Io {
        operation: "encode",
        file: storage::path_text(path),
        cause: e.to_string().into(),
    };
    // The data is the last field, so its bytes follow those of its length.
    let head = replica::Snapshot { data: Bytes::new(), ..snapshot.clone() };
    let stored = StoredSnapshot { first_segment, snapshot: Cow::Owned(head) };
    let mut head = postcard::to_stdvec(&stored).map_err(encode)?;
    head.pop();
    head.extend(postcard::to_stdvec(&snapshot.data.len()).map_err(encode)?);
    let header = segment::frame_header(&[&head, &snapshot.data]);
    let mut file = File::create(path).context("create", path)?;
    file.write_all(&header).context("write", path)?;
    file.write_all(&head).context("write", path)?;
    for piece in snapshot.data.chunks(WRITE_BYTES) {
        file.write_all(piece).context("write", path)?;
        file.sync_data().context("sync", path)?;
    }
    file.sync_all().context("sync", path)
}

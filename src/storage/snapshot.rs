//! Snapshot file: one frame with a postcard-encoded [`StoredSnapshot`].

use crate::replica;
use crate::storage;
use crate::storage::Error;
use crate::storage::IoContext as _;
use crate::storage::segment;
use serde::Deserialize;
use serde::Serialize;
use std::borrow::Cow;
use std::fs;
use std::io;
use std::path::Path;

/// Name of the snapshot file.
pub(super) const FILE_NAME: &str = "snapshot";

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
    let path = dir.join(FILE_NAME);
    let stored = StoredSnapshot { first_segment, snapshot: Cow::Borrowed(snapshot) };
    let payload = postcard::to_stdvec(&stored).map_err(|e| Error::Io {
        operation: "encode",
        file: storage::path_text(&path),
        cause: e.to_string().into(),
    })?;
    storage::write_atomic(&path, &segment::encode_frame(&payload))
}

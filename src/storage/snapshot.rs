//! Snapshot file: one frame with a postcard-encoded [`Stored`].

use crate::replica;
use crate::storage;
use crate::storage::Error;
use crate::storage::Step as _;
use crate::storage::segment;
use serde::Deserialize;
use serde::Serialize;
use std::borrow::Cow;
use std::fs;
use std::io;
use std::path::Path;

/// Name of the file in the folder.
pub(super) const FILE: &str = "snapshot";

/// Content of the file.
#[derive(Serialize, Deserialize)]
pub(super) struct Stored<'a> {
    /// Number of the first segment that is needed in addition. Renaming the file into place
    /// thereby replaces the log as well: earlier segments are ignored from then on.
    pub(super) first: u64,
    pub(super) snapshot: Cow<'a, replica::Snapshot>,
}

/// Reads the file, if there is one.
pub(super) fn read(dir: &Path) -> Result<Option<Stored<'static>>, Error> {
    let path = dir.join(FILE);
    let bytes = match fs::read(&path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        result => result.step("read", &path)?,
    };
    let Some(payload) = segment::payload(&bytes) else {
        return Err(Error::damaged(&path, 0, "checksum mismatch"));
    };
    let stored = postcard::from_bytes(payload)
        .map_err(|e| Error::damaged(&path, segment::HEADER as u64, e))?;
    Ok(Some(stored))
}

/// Writes the file atomically.
pub(super) fn write(dir: &Path, first: u64, snapshot: &replica::Snapshot) -> Result<(), Error> {
    let path = dir.join(FILE);
    let stored = Stored { first, snapshot: Cow::Borrowed(snapshot) };
    let payload = postcard::to_stdvec(&stored).map_err(|e| Error::Io {
        step: "encode",
        file: storage::name(&path),
        cause: e.to_string().into(),
    })?;
    storage::write_atomic(&path, &segment::frame(&payload))
}

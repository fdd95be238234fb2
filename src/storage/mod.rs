//! Data folder of one replica group.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a process has the folder open |
//! | `identity` | group and replica id |
//! | `NNNNNNNN.log` | segment of the log, see [`segment`] |
//! | `spare` | space reserved for the next segment |
//! | `snapshot` | last snapshot and the number of the first segment that is still needed |
//! | `*.tmp` | unfinished file of an earlier process, removed on open |

mod folder;
pub mod segment;
mod snapshot;

pub use folder::Folder;
pub use folder::Options;
pub use folder::Usage;
pub use snapshot::Writer;
pub use snapshot::Written;

use crate::errors;
use derive_more::Display;
use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;

/// Error of a data folder.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// The disk or the configured capacity is full. Nothing was written; appended records stay
    /// pending, and the operation can be repeated once there is space.
    #[display("{file}: no space left")]
    Full {
        /// Path of the file.
        file: Arc<str>,
    },
    /// The content of a file is invalid, or a file is missing.
    #[display("{file}: damaged at offset {offset}: {cause}")]
    Damaged {
        /// Path of the file.
        file: Arc<str>,
        /// Offset of the damage in bytes.
        offset: u64,
        /// Description of the damage.
        cause: Arc<str>,
    },
    /// Another process has the folder open.
    #[display("{file}: used by another process")]
    Locked {
        /// Path of the lock file.
        file: Arc<str>,
    },
    /// The folder belongs to another group.
    #[display("{file}: belongs to group {found}, not {expected}")]
    WrongGroup {
        /// Path of the identity file.
        file: Arc<str>,
        /// Group that the folder was opened for.
        expected: u16,
        /// Group in the file.
        found: u16,
    },
    /// An operation of the file system failed. After a failed write or sync, the content of the
    /// file is unknown; the folder refuses further use and the process ends.
    #[display("{operation} {file}: {cause}")]
    Io {
        /// Operation that failed.
        operation: &'static str,
        /// Path of the file.
        file: Arc<str>,
        /// Reason given by the operating system.
        cause: Arc<str>,
    },
}

impl std::error::Error for Error {}

impl Error {
    fn damaged(path: &Path, offset: u64, cause: impl ToString) -> Error {
        Error::Damaged { file: path_text(path), offset, cause: cause.to_string().into() }
    }

    /// Returns whether the operation can be repeated once space is freed.
    pub fn is_full(&self) -> bool {
        matches!(self, Error::Full { .. })
    }
}

impl From<Error> for errors::Error {
    fn from(error: Error) -> errors::Error {
        let file = match &error {
            Error::Full { file } | Error::Damaged { file, .. } | Error::Locked { file } => file,
            Error::WrongGroup { file, .. } | Error::Io { file, .. } => file,
        };
        errors::Error::io("use data folder", file.clone(), &error)
    }
}

fn path_text(path: &Path) -> Arc<str> {
    path.to_string_lossy().into()
}

/// Adds the operation and the file to an I/O error.
trait IoContext<T> {
    fn context(self, operation: &'static str, path: &Path) -> Result<T, Error>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn context(self, operation: &'static str, path: &Path) -> Result<T, Error> {
        self.map_err(|e| {
            // A quota or a limit on the file size stops writes like a full disk does.
            let full = [Errno::NOSPC, Errno::DQUOT, Errno::FBIG];
            let file = path_text(path);
            match Errno::from_io_error(&e) {
                Some(errno) if full.contains(&errno) => Error::Full { file },
                _ => Error::Io { operation, file, cause: e.to_string().into() },
            }
        })
    }
}

/// Creates an empty file and its folder durably.
pub fn create_empty(path: &Path) -> Result<(), Error> {
    let folder = path.parent().unwrap_or(path);
    std::fs::create_dir_all(folder).context("create", folder)?;
    write_synced(path, &[])?;
    sync_dir(folder)
}

/// Removes a file durably, if it exists.
pub fn remove(path: &Path) -> Result<(), Error> {
    match std::fs::remove_file(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
        result => result.context("remove", path)?,
    }
    sync_dir(path.parent().unwrap_or(path))
}

/// Makes creations, renames and removals in a folder durable.
fn sync_dir(path: &Path) -> Result<(), Error> {
    File::open(path).and_then(|dir| dir.sync_all()).context("sync folder", path)
}

/// Writes a file durably and atomically: after a crash it has either the old or the new content.
fn write_atomic(path: &Path, content: &[u8]) -> Result<(), Error> {
    let temp = path.with_extension("tmp");
    let written = write_synced(&temp, content);
    if written.is_err() {
        // Frees the space; a leftover would be removed on the next open anyway.
        let _ = std::fs::remove_file(&temp);
    }
    written?;
    std::fs::rename(&temp, path).context("rename", path)?;
    sync_dir(path.parent().unwrap_or(path))
}

fn write_synced(path: &Path, content: &[u8]) -> Result<(), Error> {
    use std::io::Write as _;
    let mut file = File::create(path).context("create", path)?;
    file.write_all(content).context("write", path)?;
    file.sync_all().context("sync", path)
}

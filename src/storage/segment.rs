//! Segment of the log: a magic number, then frames.
//!
//! A frame is the length of its payload (u32, little-endian), the crc32 of length and payload
//! (u32, little-endian) and the payload, a sequence of postcard-encoded [`Record`]s. One sync
//! writes one frame, and the next frame is written only after that sync. A crash can therefore
//! tear only the last frame of the last segment.

use crate::replica;
use crate::storage::Error;
use crate::storage::IoContext as _;
use serde::Deserialize;
use serde::Serialize;
use std::fs;
use std::path::Path;

/// First bytes of a segment; the last one is the version of the format.
pub const MAGIC: [u8; 8] = *b"bfseg\0\0\x01";
/// Size of a frame's header in bytes.
pub const HEADER_SIZE: usize = 8;

/// Record in a frame.
#[derive(Debug, Serialize, Deserialize)]
pub enum Record {
    /// Replaces the hard state.
    HardState(replica::HardState),
    /// Replaces the log from the entry's index on.
    Entry(replica::Entry),
}

/// Adds a record to a payload.
pub(super) fn push_record(payload: &mut Vec<u8>, record: &Record) {
    match postcard::to_extend(record, std::mem::take(payload)) {
        Ok(extended) => *payload = extended,
        // Encoding into a growable vector cannot fail.
        Err(error) => unreachable!("record cannot be encoded: {error}"),
    }
}

/// Encodes a frame.
pub(super) fn encode_frame(payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_SIZE + payload.len());
    frame.extend(frame_header(&[payload]));
    frame.extend(payload);
    frame
}

/// Encodes the header of a frame whose payload consists of `parts`.
pub(super) fn frame_header(parts: &[&[u8]]) -> [u8; HEADER_SIZE] {
    let length = parts.iter().map(|p| p.len()).sum::<usize>() as u32;
    let length = length.to_le_bytes();
    let mut header = [0; HEADER_SIZE];
    header[..4].copy_from_slice(&length);
    header[4..].copy_from_slice(&checksum(&length, parts).to_le_bytes());
    header
}

fn checksum(length: &[u8], parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

/// Returns the payload of the frame at the start of `bytes`; `None` if the frame is damaged. An
/// intact frame never has an empty payload.
pub(super) fn decode_frame(bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_at_checked(4)?;
    let (sum, rest) = rest.split_at_checked(4)?;
    let size = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let payload = rest.get(..size)?;
    let sum = u32::from_le_bytes(sum.try_into().ok()?);
    (size > 0 && checksum(length, &[payload]) == sum).then_some(payload)
}

/// Content of a segment file.
pub(super) struct Content {
    /// Bytes up to the end of the last intact frame.
    pub(super) bytes: Vec<u8>,
    /// Records with the offset of their frame.
    pub(super) records: Vec<(u64, Record)>,
}

/// Reads a segment. In the `last` one, drops a torn frame at the end.
pub(super) fn read(path: &Path, last: bool) -> Result<Content, Error> {
    let mut bytes = fs::read(path).context("read", path)?;
    if !bytes.starts_with(&MAGIC) {
        return Err(Error::damaged(path, 0, "not a segment of this version"));
    }
    let mut records = Vec::new();
    let mut at = MAGIC.len();
    while at < bytes.len() {
        let Some(payload) = decode_frame(&bytes[at..]) else {
            if !last || !is_torn(&bytes[at..]) {
                return Err(Error::damaged(path, at as u64, "checksum mismatch"));
            }
            break;
        };
        decode(path, at as u64, payload, &mut records)?;
        at += HEADER_SIZE + payload.len();
    }
    bytes.truncate(at);
    Ok(Content { bytes, records })
}

fn decode(
    path: &Path,
    offset: u64,
    mut payload: &[u8],
    records: &mut Vec<(u64, Record)>,
) -> Result<(), Error> {
    while !payload.is_empty() {
        let (record, rest) = postcard::take_from_bytes(payload)
            .map_err(|e| Error::damaged(path, offset, format!("undecodable record: {e}")))?;
        records.push((offset, record));
        payload = rest;
    }
    Ok(())
}

/// Returns whether a damaged frame at the start of `bytes` may come from an interrupted write.
///
/// A torn frame reaches to the end of the file or has lost its length, and no intact frame
/// follows. An intact frame behind it shows that the damaged one had been synced; dropping it
/// would lose acknowledged entries.
fn is_torn(bytes: &[u8]) -> bool {
    let length = bytes.get(..4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes);
    let reaches = length == 0 || HEADER_SIZE + length as usize >= bytes.len();
    reaches && (1..bytes.len()).all(|at| decode_frame(&bytes[at..]).is_none())
}

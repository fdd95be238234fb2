//! Recent configuration documents, encoded for hosts that hold an earlier one. Free of I/O.
//!
//! Designed for documents of hundreds of kilobytes that change several times a second, in a fleet of
//! hundreds of hosts that each fetch the newest one. If every host got every version whole, the link
//! of a control host would be full for seconds. Instead, a document is compressed with the one that
//! the asking host holds as the dictionary, so that the bytes sent grow with what has changed. Each
//! pair of documents is encoded once, however many hosts ask for it.

use crate::fleet::control_state;
use crate::fleet::frame;
use crate::sorted;
use derive_more::Display;
use zstd::zstd_safe;

/// Largest document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;
/// Most documents that are kept. Hosts that hold an older one get the newest without a dictionary.
const MAX_DOCUMENTS: usize = 32;
/// Most bytes of the documents that are kept besides the newest one.
const MAX_KEPT_BYTES: usize = 16 << 20;
/// Compression level of zstd.
const LEVEL: zstd_safe::CompressionLevel = 1;
/// Base-2 logarithm of the smallest window. The compressor allows no window below 1 KiB.
const MIN_WINDOW_LOG: u32 = 10;

/// Reason for which a document cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// It was encoded for a host that holds another document.
    #[display("encoded for a host that holds another document")]
    Base,
    /// It is larger than any valid document.
    #[display("too large")]
    Size,
    /// The compression library reports an error.
    #[display("compression: {_0}")]
    Compression(&'static str),
    /// The digest of the result differs.
    #[display("the digest differs")]
    Digest,
}

impl From<zstd_safe::ErrorCode> for Problem {
    fn from(code: zstd_safe::ErrorCode) -> Problem {
        Problem::Compression(zstd_safe::get_error_name(code))
    }
}

/// Digest of the text of a document.
pub fn digest(text: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text)
}

/// States which document a host holds.
pub fn held(document: &control_state::Document) -> frame::HeldConfig {
    frame::HeldConfig { version: document.version, digest: digest(&document.text) }
}

/// Document with its digest.
#[derive(Debug)]
struct Recent {
    document: control_state::Document,
    digest: u64,
}

/// Recent documents of a control host.
#[derive(Debug, Default)]
pub struct Documents {
    /// Documents by version. The last one is the newest.
    recent: sorted::SortedMap<u64, Recent>,
    /// Encodings of the newest document by the version of their dictionary.
    encoded: sorted::SortedMap<Option<u64>, frame::EncodedConfig>,
}

impl Documents {
    /// Records a document. Forgets old ones beyond the limits.
    pub fn record(&mut self, document: control_state::Document) {
        let newest = self.recent.keys().next_back().copied();
        if newest.is_some_and(|newest| newest >= document.version) {
            return;
        }
        self.encoded.clear();
        let mut kept_bytes = self.recent.values().map(|r| r.document.text.len()).sum::<usize>();
        while self.recent.len() >= MAX_DOCUMENTS || kept_bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.recent.keys().next().copied() else { break };
            let removed = self.recent.remove(&oldest);
            kept_bytes -= removed.map_or(0, |r| r.document.text.len());
        }
        let digest = digest(&document.text);
        self.recent.insert(document.version, Recent { document, digest });
    }

    /// Returns the newest document, encoded for a host that holds `held`; `None` if that one is not
    /// older.
    ///
    /// # Errors
    /// `Compression` if the document cannot be compressed.
    pub fn encode(
        &mut self,
        held: frame::HeldConfig,
    ) -> Result<Option<frame::EncodedConfig>, Problem> {
        let Some(newest) = self.recent.values().next_back() else { return Ok(None) };
        if newest.document.version <= held.version {
            return Ok(None);
        }
        let base = self.recent.get(&held.version).filter(|r| r.digest == held.digest);
        let version = base.map(|r| r.document.version);
        if let Some(encoded) = self.encoded.get(&version) {
            return Ok(Some(encoded.clone()));
        }
        let text = &newest.document.text;
        let data = compress(text, base.map_or(&[], |r| &r.document.text))?;
        let encoded = frame::EncodedConfig {
            version: newest.document.version,
            base: version,
            size: text.len() as u64,
            digest: newest.digest,
            data: data.into(),
        };
        self.encoded.insert(version, encoded.clone());
        Ok(Some(encoded))
    }
}

/// Decodes a document at a host that holds `held`.
///
/// # Errors
/// `Base` if it was encoded for another document, `Size`, `Compression` or `Digest` if the data does
/// not yield the document that it describes.
pub fn decode(
    encoded: &frame::EncodedConfig,
    held: Option<&control_state::Document>,
) -> Result<control_state::Document, Problem> {
    let base: &[u8] = match (encoded.base, held) {
        (None, _) => &[],
        (Some(version), Some(held)) if held.version == version => &held.text,
        (Some(_), _) => return Err(Problem::Base),
    };
    let size = usize::try_from(encoded.size).ok().filter(|size| *size <= MAX_DOCUMENT_BYTES);
    let mut text = Vec::with_capacity(size.ok_or(Problem::Size)?);
    let mut context = zstd_safe::DCtx::create();
    context.ref_prefix(base)?;
    context.decompress(&mut text, &encoded.data)?;
    if digest(&text) != encoded.digest {
        return Err(Problem::Digest);
    }
    Ok(control_state::Document { version: encoded.version, text: text.into() })
}

/// Compresses `text` with `base` as the dictionary.
fn compress(text: &[u8], base: &[u8]) -> Result<Vec<u8>, Problem> {
    // The window has to reach from the end of the text back to the start of the dictionary.
    let window = (text.len() + base.len()).next_power_of_two().ilog2().max(MIN_WINDOW_LOG);
    let mut context = zstd_safe::CCtx::create();
    context.set_parameter(zstd_safe::CParameter::CompressionLevel(LEVEL))?;
    context.set_parameter(zstd_safe::CParameter::WindowLog(window))?;
    // Without it, only the end of a large dictionary is searched.
    context.set_parameter(zstd_safe::CParameter::EnableLongDistanceMatching(true))?;
    context.ref_prefix(base)?;
    let mut data = Vec::with_capacity(zstd_safe::compress_bound(text.len()));
    context.compress2(&mut data, text)?;
    data.shrink_to_fit();
    Ok(data)
}

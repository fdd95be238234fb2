//! Prompts as requests state them: lists of parts that requests share.

use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use serde::Deserialize;
use serde::Serialize;

/// Part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Id of the part, the same in every prompt that has it.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Parts of a prompt in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The parts. The last one belongs to the request itself or to its session.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Ids of the parts that other requests may share.
    pub fn shared_ids(&self) -> Vec<u64> {
        self.shared().iter().map(|part| part.id).collect()
    }

    /// Hash of all parts, by which two prompts are told apart.
    pub fn key(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in &self.parts {
            hasher.update(&part.id.to_le_bytes());
        }
        hasher.digest()
    }
}

/// Text of the header `name` that lists a prompt; `None` if it is absent. A repeated header or bytes
/// that are no text give an empty text, which lists no prompt.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    let is_single = values.next().is_none();
    Some(first.to_str().ok().filter(|_| is_single).unwrap_or_default())
}

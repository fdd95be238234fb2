//! Identity of a job or claim, derived from its workspace and idempotency key.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use std::sync::Arc;

/// First 128 bits of the SHA-256 of workspace and key.
///
/// The identity is derived instead of assigned, so a resent submission finds the job that it
/// created.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct Id(u128);

impl Id {
    /// Derives the identity of `key` in `workspace`.
    pub fn of(workspace: &str, key: &str) -> Id {
        let mut hash = Sha256::new();
        // The length keeps ("ab", "c") and ("a", "bc") apart.
        hash.update((workspace.len() as u64).to_be_bytes());
        hash.update(workspace);
        hash.update(key);
        let digest = hash.finalize();
        Id(digest.iter().take(16).fold(0, |id, byte| id << 8 | u128::from(*byte)))
    }

    /// Parses a job name of 32 lower-case hexadecimal digits; `None` for any other text.
    pub fn parse(name: &str) -> Option<Id> {
        let digits = |b: &u8| b.is_ascii_digit() || (b'a'..=b'f').contains(b);
        if name.len() != 32 || !name.as_bytes().iter().all(digits) {
            return None;
        }
        u128::from_str_radix(name, 16).ok().map(Id)
    }

    /// Name of the job with this identity.
    pub fn name(self) -> Arc<str> {
        self.to_string().into()
    }

    /// Number of the job group, in `1..=groups`, that owns this identity.
    pub fn group(self, groups: u16) -> u16 {
        (self.0 % u128::from(groups.max(1))) as u16 + 1
    }
}

//! Workspaces of a configuration: their keys, priorities and quotas. Free of I/O.
//!
//! Keys are kept as hashes. The look-up of a key is a binary search over hashes, so its time tells
//! nothing about how close a wrong key is to a right one.

pub mod auth;
pub mod contact;

use crate::fleet::routes;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use std::sync::Arc;

/// SHA-256 hash of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hash of a key.
    pub fn new(key: &str) -> KeyHash {
        KeyHash(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl std::fmt::Debug for KeyHash {
    /// Shows no part of the hash, so that it cannot get into logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHash")
    }
}

/// Requests that a workspace may send over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Long-term rate in requests a second; greater than 0.
    pub rate: f64,
    /// Requests beyond the rate that may follow each other at once.
    pub burst: f64,
}

// Configurations hold finite numbers only.
impl Eq for Quota {}

/// Owner of caller keys and jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, which endpoints get.
    pub name: Arc<str>,
    /// Hashes of its keys, sorted.
    pub keys: Vec<KeyHash>,
    /// Priority among workspaces; 0 is the most urgent.
    pub priority: u64,
    /// Requests that it may send; `None` if it has no limit.
    pub quota: Option<Quota>,
}

/// Workspaces of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspaces {
    /// Workspaces, sorted by name.
    list: Vec<Workspace>,
    /// Hash of each key and position of its workspace, sorted by hash.
    keys: Vec<(KeyHash, usize)>,
}

impl Workspaces {
    /// Builds the index of workspaces after validating them.
    ///
    /// # Errors
    /// Two workspaces have one name or share a key, or a name cannot be sent in a header.
    pub fn new(mut list: Vec<Workspace>) -> Result<Workspaces, routes::Problem> {
        list.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = list.windows(2).find(|p| p[0].name == p[1].name) {
            return Err(routes::Problem::DuplicateWorkspace(pair[0].name.clone()));
        }
        if let Some(workspace) = list.iter().find(|w| !is_header_text(&w.name)) {
            return Err(routes::Problem::WorkspaceName(workspace.name.clone()));
        }
        for workspace in &mut list {
            // A key that is listed twice is one key.
            workspace.keys.sort_unstable();
            workspace.keys.dedup();
        }
        let of_workspace = |(at, w): (usize, &Workspace)| {
            w.keys.iter().map(move |key| (*key, at)).collect::<Vec<_>>()
        };
        let mut keys: Vec<(KeyHash, usize)> =
            list.iter().enumerate().flat_map(of_workspace).collect();
        keys.sort_unstable();
        if let Some(pair) = keys.windows(2).find(|p| p[0].0 == p[1].0) {
            let (first, second) = (list[pair[0].1].name.clone(), list[pair[1].1].name.clone());
            return Err(routes::Problem::SharedKey { first, second });
        }
        Ok(Workspaces { list, keys })
    }

    /// Workspace that holds a key.
    pub fn find(&self, key: &KeyHash) -> Option<&Workspace> {
        let at = self.keys.binary_search_by_key(key, |(known, _)| *known).ok()?;
        self.list.get(self.keys[at].1)
    }

    /// Workspace with the given name.
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.list.binary_search_by(|w| (*w.name).cmp(name)).ok().map(|at| &self.list[at])
    }

    /// Workspaces, sorted by name.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Workspace> {
        self.list.iter()
    }

    /// Whether callers need no keys.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

/// Whether a text reaches the receiver of a header unchanged.
fn is_header_text(text: &str) -> bool {
    HeaderValue::from_bytes(text.as_bytes()).is_ok() && text.trim() == text
}

/// Caller of a request whose key is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Name of its workspace.
    pub workspace: Arc<str>,
    /// Priority of its workspace; 0 is the most urgent.
    pub priority: u64,
    /// Hash of its key.
    pub key: KeyHash,
}

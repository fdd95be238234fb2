//! What the job groups of a host need to know of group 0.

use crate::sorted;
use arc_swap::ArcSwap;
use std::sync::Arc;

/// Agents and shares as of the last applied entry of group 0 on this host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// Names of the registered agents.
    pub agents: Vec<Arc<str>>,
    /// Weight of each workspace among those that share the fleet.
    pub weights: sorted::SortedMap<Arc<str>, u32>,
}

/// Shared contents. Written by group 0, read by the job groups. Clones share them.
#[derive(Clone, Default)]
pub struct Directory {
    contents: Arc<ArcSwap<Contents>>,
}

impl Directory {
    /// Replaces the contents if they differ.
    pub fn update(&self, contents: Contents) {
        if **self.contents.load() != contents {
            self.contents.store(Arc::new(contents));
        }
    }

    /// Present contents.
    pub fn contents(&self) -> Arc<Contents> {
        self.contents.load_full()
    }
}

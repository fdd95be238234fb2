//! State of group 0 that the job groups on the same host use.

use crate::sorted;
use arc_swap::ArcSwap;
use std::sync::Arc;

/// Agents and workspace weights as of the last applied entry of group 0 on this host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// Names of the registered agents.
    pub agents: Vec<Arc<str>>,
    /// Weight by which each workspace shares the fleet.
    pub weights: sorted::SortedMap<Arc<str>, u32>,
}

/// Holds the contents, which group 0 writes and the job groups read. Clones share them.
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

    /// Returns the current contents.
    pub fn contents(&self) -> Arc<Contents> {
        self.contents.load_full()
    }
}

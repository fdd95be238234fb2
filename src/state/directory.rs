//! What the job groups of a host need to know of group 0.

use crate::sorted;
use arc_swap::ArcSwap;
use std::sync::Arc;

/// Agents and shares as of the last applied entry of group 0 on this host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Names of the registered agents.
    pub agents: Vec<Arc<str>>,
    /// Weight of each workspace among those that share the fleet.
    pub weights: sorted::SortedMap<Arc<str>, u32>,
}

/// Shared facts. Written by group 0, read by the job groups. Clones share them.
#[derive(Clone, Default)]
pub struct Directory {
    facts: Arc<ArcSwap<Facts>>,
}

impl Directory {
    /// Replaces the facts if they differ.
    pub fn update(&self, facts: Facts) {
        if **self.facts.load() != facts {
            self.facts.store(Arc::new(facts));
        }
    }

    /// Present facts.
    pub fn facts(&self) -> Arc<Facts> {
        self.facts.load_full()
    }
}

//! Prefix cache in limited memory.

use crate::sorted::SortedMap;

/// Least recently used cache of prompt blocks, by the hash of the prompt up to their end.
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    // Time of the last use by hash.
    blocks: SortedMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub(super) fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, clock: 0, blocks: SortedMap::new() }
    }

    /// Number of leading blocks that are cached. Marks them as used.
    pub(super) fn touch(&mut self, blocks: &[u64]) -> usize {
        self.clock += 1;
        let mut count = 0;
        for hash in blocks {
            let Some(used) = self.blocks.get_mut(hash) else { break };
            *used = self.clock;
            count += 1;
        }
        count
    }

    /// Adds the blocks of a processed prompt.
    pub(super) fn add(&mut self, blocks: &[u64]) {
        self.clock += 1;
        for hash in blocks.iter().take(self.capacity) {
            self.blocks.insert(*hash, self.clock);
        }
        if self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    /// Number of cached blocks.
    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Evicts the oldest blocks down to seven eighths of the capacity, so that the cost of finding
    /// them is shared by many insertions.
    fn evict(&mut self) {
        let excess = self.blocks.len() - self.capacity * 7 / 8;
        let mut used: Vec<u64> = self.blocks.values().copied().collect();
        used.sort_unstable();
        let limit = used[excess - 1];
        self.blocks.retain(|_, used| *used > limit);
    }
}

//! Prefix cache of limited size.

use crate::sorted::SortedMap;

/// LRU cache of prompt blocks. A block's key is the hash of the prompt up to the block's end.
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    // Clock value at the last use, by block hash.
    blocks: SortedMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache for up to `capacity` blocks.
    pub(super) fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, clock: 0, blocks: SortedMap::new() }
    }

    /// Returns the number of leading blocks that are cached and marks these as used.
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

    /// Adds the blocks of a processed prompt and evicts the least recently used ones if necessary.
    pub(super) fn add(&mut self, blocks: &[u64]) {
        self.clock += 1;
        for hash in blocks.iter().take(self.capacity) {
            self.blocks.insert(*hash, self.clock);
        }
        if self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    /// Returns the number of cached blocks.
    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Evicts the least recently used blocks down to 7/8 of the capacity. Evicting many at once
    /// spreads the cost of sorting over many insertions.
    fn evict(&mut self) {
        let excess = self.blocks.len() - self.capacity * 7 / 8;
        let mut used: Vec<u64> = self.blocks.values().copied().collect();
        used.sort_unstable();
        let limit = used[excess - 1];
        self.blocks.retain(|_, used| *used > limit);
    }
}

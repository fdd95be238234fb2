//! In-memory log of a replica: entries after a base, last snapshot and memberships.

use crate::replica;
use crate::replica::Entry;
use crate::replica::Membership;
use crate::replica::Snapshot;
use bytes::Bytes;

/// Number of entries covered by a snapshot that stay in memory, so that a follower that is slightly
/// behind does not need the snapshot.
const RETAINED_ENTRIES: u64 = 4096;
/// Bytes of entries covered by a snapshot that stay in memory.
const RETAINED_BYTES: usize = 8 << 20;

/// Log of one replica.
pub(super) struct Log {
    /// Index before the first entry in memory.
    base: u64,
    base_term: u64,
    entries: Vec<Entry>,
    snapshot: Option<Snapshot>,
    /// Memberships by the index that introduced them, ascending; never empty.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    pub(super) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Log {
        let (base, base_term, first) = match &snapshot {
            Some(s) => (s.index, s.term, s.membership.clone()),
            None => (0, 0, Membership::default()),
        };
        let memberships = vec![(base, first)];
        let mut log = Log { base, base_term, entries: Vec::new(), snapshot, memberships };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Index before the first entry in memory.
    pub(super) fn base(&self) -> u64 {
        self.base
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |e| e.term)
    }

    /// Term of the entry at `index`, if it is known.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base + 1)?;
        self.entries.get(at as usize)
    }

    /// Entries from `from` up to `to`, both included.
    pub(super) fn range(&self, from: u64, to: u64) -> &[Entry] {
        let start = (from - self.base - 1) as usize;
        let end = (to - self.base) as usize;
        &self.entries[start.min(end)..end]
    }

    /// Entries from `from` on, up to `limit` bytes but at least one if there is one.
    pub(super) fn batch(&self, from: u64, limit: usize) -> &[Entry] {
        let all = self.range(from, self.last_index());
        let mut bytes = 0;
        let fits = all.iter().take_while(|e| {
            bytes += e.size();
            bytes <= limit
        });
        let count = fits.count().max(1).min(all.len());
        &all[..count]
    }

    /// Appends an entry.
    pub(super) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "log entries are contiguous");
        if let replica::Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push(entry);
    }

    /// Removes every entry from `from` on.
    pub(super) fn truncate(&mut self, from: u64) {
        self.entries.truncate((from - self.base - 1) as usize);
        // Entries covered by the snapshot are committed, so at least one membership stays.
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Latest membership, committed or not.
    pub(super) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index of the entry that introduced the latest membership.
    pub(super) fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Membership at `index`.
    pub(super) fn membership_at(&self, index: u64) -> &Membership {
        let after = self.memberships.partition_point(|(i, _)| *i <= index);
        &self.memberships[after.saturating_sub(1)].1
    }

    /// Last index before `index` whose term differs from the term at `index`, or else the base.
    pub(super) fn end_of_previous_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut at = index;
        while at > self.base && self.term_at(at) == term {
            at -= 1;
        }
        at
    }

    /// Stores a snapshot at `index` and drops the entries that it covers, except for the last
    /// [`RETAINED_ENTRIES`] within [`RETAINED_BYTES`].
    pub(super) fn compact(&mut self, index: u64, term: u64, data: Bytes) -> Snapshot {
        let membership = self.membership_at(index).clone();
        let snapshot = Snapshot { index, term, membership, data };
        self.snapshot = Some(snapshot.clone());
        let covered = &self.entries[..(index - self.base) as usize];
        let mut bytes = 0;
        let retained = covered.iter().rev().take_while(|e| {
            bytes += e.size();
            bytes <= RETAINED_BYTES
        });
        let retained = (retained.count() as u64).min(RETAINED_ENTRIES);
        let base = (index - retained).max(self.base);
        self.base_term = self.term_at(base).unwrap_or(self.base_term);
        self.entries.drain(..(base - self.base) as usize);
        self.base = base;
        let keep = self.memberships.partition_point(|(i, _)| *i <= index).saturating_sub(1);
        self.memberships.drain(..keep);
        snapshot
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn reset(&mut self, snapshot: Snapshot) {
        *self = Log::new(Some(snapshot), Vec::new());
    }
}

//! Retention of results and claims by group time.

use crate::jobs::id;
use crate::jobs::message;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Default retention in milliseconds: 7 days.
pub const DEFAULT_RETENTION: u64 = 7 * 24 * 3_600_000;

/// Shortest retention in milliseconds: one day, the longest time for which clients resend.
pub const MIN_RETENTION: u64 = 24 * 3_600_000;

/// Order in which records fall due for removal, and a memory of the removed ones.
///
/// A removed identity is remembered for as long again as the retention, so that a reader is told
/// that the record is gone and a very late resend does not run again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expiry {
    /// Time of a change and the changed record, ascending. A record that changed again has a
    /// later entry, and its earlier ones are skipped.
    changes: VecDeque<(u64, id::Id)>,
    removed: VecDeque<(u64, id::Id)>,
    gone: BTreeSet<id::Id>,
    /// Retention in milliseconds that was used last.
    retention: u64,
}

/// Entries that are due for removal.
pub struct DueEntries {
    /// Time of the change and record.
    pub entries: Vec<(u64, id::Id)>,
    /// Whether more entries are due.
    pub more: bool,
}

impl Expiry {
    /// Notes that a record changed at `clock`.
    pub fn record_change(&mut self, clock: u64, id: id::Id) {
        self.changes.push_back((clock, id));
    }

    /// Takes up to `limit` entries whose retention has passed, and forgets removed records whose
    /// second retention has passed.
    pub fn take_due(&mut self, retention: u64, clock: u64, limit: u32) -> DueEntries {
        let retention = retention.max(MIN_RETENTION);
        self.retention = retention;
        let passed = |entry: Option<&(u64, id::Id)>| {
            entry.is_some_and(|(at, _)| at.saturating_add(retention) <= clock)
        };
        for _ in 0..limit {
            if !passed(self.removed.front()) {
                break;
            }
            if let Some((_, id)) = self.removed.pop_front() {
                self.gone.remove(&id);
            }
        }
        let mut entries = Vec::new();
        while entries.len() < limit as usize && passed(self.changes.front()) {
            entries.extend(self.changes.pop_front());
        }
        let more = passed(self.changes.front()) || passed(self.removed.front());
        DueEntries { entries, more }
    }

    /// Notes that a record was removed at `clock`.
    pub fn mark_removed(&mut self, clock: u64, id: id::Id) {
        self.removed.push_back((clock, id));
        self.gone.insert(id);
    }

    /// Refusal for a reader of a removed record.
    pub fn gone_refusal(&self, id: id::Id) -> Option<message::Refusal> {
        if !self.gone.contains(&id) {
            return None;
        }
        let hours = self.retention / 3_600_000;
        let reason = format!("removed after its retention of {hours} hours");
        Some(message::Refusal::Gone { reason: reason.into() })
    }
}

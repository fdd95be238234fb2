//! Retention of jobs and claims, measured in group time.

use crate::jobs::id;
use crate::jobs::message;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Default retention in milliseconds: 7 days.
pub const DEFAULT_RETENTION: u64 = 7 * 24 * 3_600_000;

/// Shortest retention in milliseconds: one day, because clients resend for up to that long.
pub const MIN_RETENTION: u64 = 24 * 3_600_000;

/// Queue of records by the time of their removal, and the identities of removed records.
///
/// The identity of a removed record is kept for another retention period. Until then queries are
/// told that the record is gone, and a very late resend does not run again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expiry {
    /// Time of each change and the changed record, in ascending order. A record that changed
    /// again has a later entry; the owner of the records skips the earlier ones.
    changes: VecDeque<(u64, id::Id)>,
    /// Time of each removal and the removed record, in ascending order.
    removed: VecDeque<(u64, id::Id)>,
    /// Records in `removed`, for lookups.
    gone: BTreeSet<id::Id>,
    /// Last applied retention in milliseconds.
    retention: u64,
}

/// Entries that are due for removal.
pub struct DueEntries {
    /// Time of the change, and the changed record.
    pub entries: Vec<(u64, id::Id)>,
    /// Whether more entries are due.
    pub more: bool,
}

impl Expiry {
    /// Records that `id` changed at `clock`, which restarts its retention.
    pub fn record_change(&mut self, clock: u64, id: id::Id) {
        self.changes.push_back((clock, id));
    }

    /// Takes up to `limit` entries whose retention has passed. Also drops the identities of up to
    /// `limit` records that were removed a retention ago.
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

    /// Records that `id` was removed at `clock`.
    pub fn mark_removed(&mut self, clock: u64, id: id::Id) {
        self.removed.push_back((clock, id));
        self.gone.insert(id);
    }

    /// Refusal for a removed record; `None` if the record was not removed.
    pub fn gone_refusal(&self, id: id::Id) -> Option<message::Refusal> {
        if !self.gone.contains(&id) {
            return None;
        }
        let hours = self.retention / 3_600_000;
        let reason = format!("removed after its retention of {hours} hours");
        Some(message::Refusal::Gone { reason: reason.into() })
    }
}

//! Measures the turns of a group's thread, and reports them with the state of replication.

use crate::event;
use crate::events;
use crate::state::group::Group;
use std::time::Duration;
use std::time::Instant;

/// Interval between reports of a leader.
const REPORT_INTERVAL: Duration = Duration::from_secs(15);

/// Turns and syncs since the last report.
#[derive(Default)]
pub(super) struct Turns {
    count: u64,
    /// Time spent in turns.
    total: Duration,
    longest: Duration,
    syncs: u64,
    sync_total: Duration,
    longest_sync: Duration,
    /// Calls handled.
    pub(super) calls: u64,
    /// Proposals refused because the log or the disk is full.
    pub(super) refused: u64,
}

impl Turns {
    pub(super) fn record_turn(&mut self, elapsed: Duration) {
        self.count += 1;
        self.total += elapsed;
        self.longest = self.longest.max(elapsed);
    }

    pub(super) fn record_sync(&mut self, elapsed: Duration) {
        self.syncs += 1;
        self.sync_total += elapsed;
        self.longest_sync = self.longest_sync.max(elapsed);
    }
}

impl Group {
    /// Records a turn that began at `begun`, and reports if it is time to.
    pub(super) fn end_turn(&mut self, begun: Instant) {
        let elapsed = begun.elapsed();
        self.turns.record_turn(elapsed);
        self.parts.metrics.record_latency("group_turn", elapsed);
        let now = self.now();
        if now.saturating_sub(self.last_report) < REPORT_INTERVAL {
            return;
        }
        self.last_report = now;
        let turns = std::mem::take(&mut self.turns);
        if !self.is_leader() {
            return;
        }
        let members = self.replica.replication();
        let followers: Vec<String> = members.iter().map(|m| m.to_string()).collect();
        let repeated: u64 = members.iter().map(|m| m.repeated).sum();
        let uncommitted = self.replica.uncommitted_bytes() as u64;
        self.parts.metrics.record_level("messages_repeated", repeated);
        self.parts.metrics.record_level("uncommitted_bytes", uncommitted);
        let usage = self.parts.folder.usage();
        let millis = |time: Duration| time.as_millis() as u64;
        event!(self.parts.log, events::REPLICATION_REPORT; "group" => self.parts.group,
            "turns" => turns.count, "busy_ms" => millis(turns.total),
            "longest_turn_ms" => millis(turns.longest), "calls" => turns.calls,
            "syncs" => turns.syncs, "sync_ms" => millis(turns.sync_total),
            "longest_sync_ms" => millis(turns.longest_sync), "uncommitted" => uncommitted,
            "log_bytes" => usage.used, "log_free_bytes" => usage.free_for_new_work(),
            "refused" => turns.refused,
            "followers" => followers.join("; "));
    }
}

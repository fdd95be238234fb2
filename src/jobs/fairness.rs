//! Order in which the jobs of one model are served: first by urgency, which is the slack to the due
//! time, then by fair shares of the workspaces, then by fair shares of the jobs of a workspace.
//!
//! Shares follow stride scheduling: every served item advances the pass of its workspace by a
//! stride that is inversely proportional to its weight, and the workspace with the lowest pass is
//! served next. A job that becomes ready starts at the lowest pass of the ready jobs, so it neither
//! waits for what the others were served before nor makes up for the time in which it had nothing
//! to run. Picking and charging a job take logarithmic time in the number of workspaces and jobs.

use crate::sorted;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of urgency levels; 0 is the most urgent.
pub const URGENCY_LEVELS: usize = 4;

/// Slack in milliseconds below which a job has level 0, 1 and 2: 15 minutes, 2 hours and 12 hours.
///
/// Levels are coarse: if jobs were ordered by exact due time, all items of a 97,000-item job would
/// run before a 10-item job that is due a second later.
pub const LEVEL_THRESHOLDS: [i64; URGENCY_LEVELS - 1] =
    [15 * 60_000, 2 * 3_600_000, 12 * 3_600_000];

/// Once in this many items, the workspace is picked by its share alone, regardless of urgency. Once
/// in this many items of a workspace, the job is. Urgent jobs that cannot be finished in time then
/// block neither other workspaces nor other jobs of their own workspace.
pub const SHARE_INTERVAL: u32 = 4;

/// Stride of a workspace with weight 1. Weights up to this value keep their proportions.
const UNIT_STRIDE: u64 = 1 << 20;

/// Urgency level of a job with this slack in milliseconds.
pub fn urgency_level(slack: i64) -> usize {
    LEVEL_THRESHOLDS.iter().position(|threshold| slack < *threshold).unwrap_or(URGENCY_LEVELS - 1)
}

/// Milliseconds until a job with this slack reaches the next more urgent level; `None` at level 0.
pub fn time_to_next_level(slack: i64) -> Option<i64> {
    let below = LEVEL_THRESHOLDS.iter().rev().find(|threshold| slack >= **threshold)?;
    Some(slack - below + 1)
}

/// Whether the next item after `served` items is picked by share alone.
fn is_share_turn(served: u32) -> bool {
    served % SHARE_INTERVAL == SHARE_INTERVAL - 1
}

/// Scheduling state of a job among the jobs of its model.
#[derive(Clone, Debug)]
pub struct SchedulingState {
    /// Workspace that owns the job.
    pub workspace: Arc<str>,
    /// Number of the job.
    pub job: u32,
    /// Urgency level.
    pub level: usize,
    /// Pass of the job among the jobs of its workspace.
    pass: u64,
}

impl SchedulingState {
    /// State of a job that has not been served.
    pub fn new(workspace: Arc<str>, job: u32, level: usize) -> SchedulingState {
        SchedulingState { workspace, job, level, pass: 0 }
    }
}

/// Ready jobs of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    pass: u64,
    /// Highest pass at which a job was served.
    max_pass: u64,
    levels: [BTreeSet<(u64, u32)>; URGENCY_LEVELS],
    served: u32,
}

impl WorkspaceQueue {
    fn is_idle(&self) -> bool {
        self.levels.iter().all(BTreeSet::is_empty)
    }

    /// Job of this workspace to serve next.
    fn pick(&self) -> Option<u32> {
        let urgent = self.levels.iter().find_map(|level| level.first().copied());
        let (_, job) = if is_share_turn(self.served) { self.lowest_pass() } else { urgent }?;
        Some(job)
    }

    /// Ready job with the lowest pass, whatever its level.
    fn lowest_pass(&self) -> Option<(u64, u32)> {
        self.levels.iter().filter_map(|level| level.first()).min().copied()
    }
}

/// Ready jobs of one model.
#[derive(Debug, Default)]
pub struct FairQueue {
    workspaces: sorted::SortedMap<Arc<str>, WorkspaceQueue>,
    // Trees, because passes change with every served item, and a sorted vector would move its
    // content each time.
    levels: [BTreeSet<(u64, Arc<str>)>; URGENCY_LEVELS],
    /// Highest pass at which a workspace was served.
    max_pass: u64,
    served: u32,
    /// Number of workspaces from which idle ones are dropped.
    purge_threshold: usize,
}

impl FairQueue {
    /// Most urgent level with a ready job.
    pub fn top_level(&self) -> Option<usize> {
        self.levels.iter().position(|level| !level.is_empty())
    }

    /// Job to serve next.
    pub fn pick(&self) -> Option<u32> {
        let level = self.top_level()?;
        let urgent = self.levels[level].first();
        let (_, workspace) = if is_share_turn(self.served) { self.lowest_pass() } else { urgent }?;
        self.workspaces.get(workspace)?.pick()
    }

    /// Workspace with the lowest pass that has a ready job, whatever its level.
    fn lowest_pass(&self) -> Option<&(u64, Arc<str>)> {
        self.levels.iter().filter_map(|level| level.first()).min()
    }

    /// Pass at which a workspace with no ready jobs starts again.
    fn start_pass(&self) -> u64 {
        self.lowest_pass().map_or(self.max_pass, |(pass, _)| *pass)
    }

    /// Adds a job that has become ready. Raises its pass to that of the ready jobs.
    pub fn insert(&mut self, scheduling: &mut SchedulingState) {
        self.drop_idle();
        let start = self.start_pass();
        let queue = self.workspaces.entry_or(scheduling.workspace.clone(), WorkspaceQueue::default);
        if queue.is_idle() {
            queue.pass = queue.pass.max(start);
        }
        scheduling.pass =
            scheduling.pass.max(queue.lowest_pass().map_or(queue.max_pass, |(pass, _)| pass));
        queue.levels[scheduling.level].insert((scheduling.pass, scheduling.job));
        self.levels[scheduling.level].insert((queue.pass, scheduling.workspace.clone()));
    }

    /// Removes a job that is no longer ready.
    pub fn remove(&mut self, scheduling: &SchedulingState) {
        let Some(queue) = self.workspaces.get_mut(&scheduling.workspace) else { return };
        queue.levels[scheduling.level].remove(&(scheduling.pass, scheduling.job));
        if queue.levels[scheduling.level].is_empty() {
            self.levels[scheduling.level].remove(&(queue.pass, scheduling.workspace.clone()));
        }
    }

    /// Counts one served item of a ready job, whose workspace has the given weight.
    pub fn charge(&mut self, scheduling: &mut SchedulingState, weight: u32) {
        self.served = self.served.wrapping_add(1);
        let Some(queue) = self.workspaces.get_mut(&scheduling.workspace) else { return };
        queue.levels[scheduling.level].remove(&(scheduling.pass, scheduling.job));
        queue.served = queue.served.wrapping_add(1);
        queue.max_pass = queue.max_pass.max(scheduling.pass);
        scheduling.pass += 1;
        queue.levels[scheduling.level].insert((scheduling.pass, scheduling.job));
        self.max_pass = self.max_pass.max(queue.pass);
        let old = queue.pass;
        queue.pass += (UNIT_STRIDE / u64::from(weight.max(1))).max(1);
        for (level, jobs) in queue.levels.iter().enumerate() {
            if !jobs.is_empty() {
                self.levels[level].remove(&(old, scheduling.workspace.clone()));
                self.levels[level].insert((queue.pass, scheduling.workspace.clone()));
            }
        }
    }

    /// Drops idle workspaces whose pass no longer matters, once the number of workspaces has
    /// doubled. A pass ahead of the others is kept: otherwise a workspace that has one ready item
    /// at a time would start over with each of them and always be served first.
    fn drop_idle(&mut self) {
        if self.workspaces.len() < self.purge_threshold.max(64) {
            return;
        }
        let start = self.start_pass();
        self.workspaces.retain(|_, queue| !queue.is_idle() || queue.pass > start);
        self.purge_threshold = self.workspaces.len() * 2;
    }
}

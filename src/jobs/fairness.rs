//! Order in which the jobs of one model are served: slack to the due time first, then a fair
//! share between workspaces, then a fair share between the jobs of a workspace.
//!
//! Shares follow stride scheduling: every served item advances the pass of its workspace by a
//! stride that is inverse to its weight, and the lowest pass is served next. A job that becomes
//! ready starts at the lowest pass of the ready ones, so it neither waits behind the past of the
//! others nor catches up on time in which it had nothing to run. Choosing and charging take
//! logarithmic time in the number of workspaces and jobs.

use crate::sorted;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of urgency levels; 0 is the most urgent.
pub const LEVELS: usize = 4;

/// Slack in milliseconds below which a job has level 0, 1 and 2: 15 minutes, 2 hours, 12 hours.
///
/// Levels are coarse, because ordering by exact due time would let a 97,000-item job that is due
/// a second earlier run ahead of a 10-item one as a whole.
pub const THRESHOLDS: [i64; LEVELS - 1] = [15 * 60_000, 2 * 3_600_000, 12 * 3_600_000];

/// Every this many items, the workspace is chosen by share alone, and every this many items of a
/// workspace, the job is. Urgent jobs that cannot be finished in time then stop neither the other
/// workspaces nor the other jobs of their own workspace.
pub const SHARE_EVERY: u32 = 4;

/// Stride of a workspace with weight 1. Weights up to this value keep their proportions.
const STRIDE: u64 = 1 << 20;

/// Urgency level for a slack in milliseconds.
pub fn level_of(slack: i64) -> usize {
    THRESHOLDS.iter().position(|threshold| slack < *threshold).unwrap_or(LEVELS - 1)
}

/// Milliseconds until a job with this slack gets to the next level, if there is one.
pub fn next_level(slack: i64) -> Option<i64> {
    let below = THRESHOLDS.iter().rev().find(|threshold| slack >= **threshold)?;
    Some(slack - below + 1)
}

/// Whether the next item after `served` ones is chosen by share alone.
fn by_share(served: u32) -> bool {
    served % SHARE_EVERY == SHARE_EVERY - 1
}

/// Place of a job in the order.
#[derive(Clone, Debug)]
pub struct Place {
    /// Workspace that owns the job.
    pub workspace: Arc<str>,
    /// Number of the job.
    pub job: u32,
    /// Urgency level.
    pub level: usize,
    /// Pass of the job within its workspace.
    pass: u64,
}

impl Place {
    /// Place of a job that has not been served.
    pub fn new(workspace: Arc<str>, job: u32, level: usize) -> Place {
        Place { workspace, job, level, pass: 0 }
    }
}

/// Ready jobs of one workspace.
#[derive(Debug, Default)]
struct Space {
    pass: u64,
    /// Highest pass at which a job was served.
    floor: u64,
    levels: [BTreeSet<(u64, u32)>; LEVELS],
    served: u32,
}

impl Space {
    fn is_idle(&self) -> bool {
        self.levels.iter().all(BTreeSet::is_empty)
    }

    /// Job of this workspace that is served next.
    fn pick(&self) -> Option<u32> {
        let urgent = self.levels.iter().find_map(|level| level.first().copied());
        let (_, job) = if by_share(self.served) { self.lowest() } else { urgent }?;
        Some(job)
    }

    /// Ready job with the lowest pass, whatever its level.
    fn lowest(&self) -> Option<(u64, u32)> {
        self.levels.iter().filter_map(|level| level.first()).min().copied()
    }
}

/// Ready jobs of one model.
#[derive(Debug, Default)]
pub struct Shares {
    spaces: sorted::SortedMap<Arc<str>, Space>,
    // Trees, because passes change with every served item and a sorted vector would move.
    levels: [BTreeSet<(u64, Arc<str>)>; LEVELS],
    /// Highest pass at which a workspace was served.
    floor: u64,
    served: u32,
    /// Number of workspaces at which the idle ones are dropped.
    purge: usize,
}

impl Shares {
    /// Most urgent level with a ready job.
    pub fn urgency(&self) -> Option<usize> {
        self.levels.iter().position(|level| !level.is_empty())
    }

    /// Job that is served next.
    pub fn pick(&self) -> Option<u32> {
        let level = self.urgency()?;
        let urgent = self.levels[level].first();
        let (_, workspace) = if by_share(self.served) { self.lowest() } else { urgent }?;
        self.spaces.get(workspace)?.pick()
    }

    /// Workspace with the lowest pass that has a ready job, whatever its level.
    fn lowest(&self) -> Option<&(u64, Arc<str>)> {
        self.levels.iter().filter_map(|level| level.first()).min()
    }

    /// Pass at which a workspace starts.
    fn start(&self) -> u64 {
        self.lowest().map_or(self.floor, |(pass, _)| *pass)
    }

    /// Adds a job that has become ready.
    pub fn enter(&mut self, place: &mut Place) {
        self.drop_idle();
        let start = self.start();
        let space = self.spaces.entry_or(place.workspace.clone(), Space::default);
        if space.is_idle() {
            space.pass = space.pass.max(start);
        }
        place.pass = place.pass.max(space.lowest().map_or(space.floor, |(pass, _)| pass));
        space.levels[place.level].insert((place.pass, place.job));
        self.levels[place.level].insert((space.pass, place.workspace.clone()));
    }

    /// Removes a job that is no longer ready.
    pub fn leave(&mut self, place: &Place) {
        let Some(space) = self.spaces.get_mut(&place.workspace) else { return };
        space.levels[place.level].remove(&(place.pass, place.job));
        if space.levels[place.level].is_empty() {
            self.levels[place.level].remove(&(space.pass, place.workspace.clone()));
        }
    }

    /// Counts one served item of a ready job, for a workspace of the given weight.
    pub fn charge(&mut self, place: &mut Place, weight: u32) {
        self.served = self.served.wrapping_add(1);
        let Some(space) = self.spaces.get_mut(&place.workspace) else { return };
        space.levels[place.level].remove(&(place.pass, place.job));
        space.served = space.served.wrapping_add(1);
        space.floor = space.floor.max(place.pass);
        place.pass += 1;
        space.levels[place.level].insert((place.pass, place.job));
        self.floor = self.floor.max(space.pass);
        let old = space.pass;
        space.pass += (STRIDE / u64::from(weight.max(1))).max(1);
        for (level, jobs) in space.levels.iter().enumerate() {
            if !jobs.is_empty() {
                self.levels[level].remove(&(old, place.workspace.clone()));
                self.levels[level].insert((space.pass, place.workspace.clone()));
            }
        }
    }

    /// Forgets idle workspaces whose pass no longer matters, once their number has doubled. A
    /// pass ahead of the others is kept: otherwise a workspace with one ready item at a time would
    /// start anew with each of them and be served first every time.
    fn drop_idle(&mut self) {
        if self.spaces.len() < self.purge.max(64) {
            return;
        }
        let start = self.start();
        self.spaces.retain(|_, space| !space.is_idle() || space.pass > start);
        self.purge = self.spaces.len() * 2;
    }
}

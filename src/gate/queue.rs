//! Queue of online requests: fair between workspaces, then by deadline.

use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Id of the request.
    pub id: u64,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Time by which it must have produced its first token.
    pub deadline: Duration,
}

/// Requests of one workspace.
#[derive(Debug, Default)]
struct Lane {
    /// By deadline, then id.
    waiting: sorted::SortedMap<(Duration, u64), Waiting>,
    /// Requests of the workspace that run.
    running: u32,
    /// Sequence number of the last start.
    served: u64,
}

/// Online queue. The next request comes from the workspace with the fewest running requests; the
/// one served longest ago goes first among equals. Within a workspace the earliest deadline does.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: sorted::SortedMap<Arc<str>, Lane>,
    len: usize,
    sequence: u64,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let lane = self.lanes.entry_or(waiting.workspace.clone(), Lane::default);
        lane.waiting.insert((waiting.deadline, waiting.id), waiting);
        self.len += 1;
    }

    /// Takes the next request and counts it as running.
    pub fn pop(&mut self) -> Option<Waiting> {
        let lanes = self.lanes.iter_mut().map(|(_, lane)| lane);
        let waiting = lanes.filter(|lane| !lane.waiting.is_empty());
        let lane = waiting.min_by_key(|lane| (lane.running, lane.served))?;
        let key = *lane.waiting.keys().next()?;
        let next = lane.waiting.remove(&key)?;
        self.sequence += 1;
        lane.running += 1;
        lane.served = self.sequence;
        self.len -= 1;
        Some(next)
    }

    /// Records that a running request of `workspace` has left its slot.
    pub fn release(&mut self, workspace: &str) {
        if let Some(lane) = self.lanes.get_mut(workspace) {
            lane.running = lane.running.saturating_sub(1);
        }
        self.tidy(workspace);
    }

    /// Counts a request of `workspace` as running that did not wait here.
    pub fn count(&mut self, workspace: &Arc<str>) {
        self.lanes.entry_or(workspace.clone(), Lane::default).running += 1;
    }

    /// Whether the request waits.
    pub fn contains(&self, id: u64) -> bool {
        self.lanes.values().flat_map(|lane| lane.waiting.values()).any(|w| w.id == id)
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, id: u64) -> Option<Waiting> {
        let found = self.lanes.values().flat_map(|lane| lane.waiting.values()).find(|w| w.id == id);
        let (workspace, key) = found.map(|w| (w.workspace.clone(), (w.deadline, w.id)))?;
        let removed = self.lanes.get_mut(&workspace)?.waiting.remove(&key);
        self.len -= 1;
        self.tidy(&workspace);
        removed
    }

    /// Removes the requests whose deadline has passed, and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let mut late = Vec::new();
        for (_, lane) in self.lanes.iter_mut() {
            lane.waiting.retain(|(deadline, _), waiting| {
                let keep = *deadline > now;
                if !keep {
                    late.push(waiting.clone());
                }
                keep
            });
        }
        self.len -= late.len();
        self.lanes.retain(|_, lane| !lane.waiting.is_empty() || lane.running > 0);
        late
    }

    /// Removes and returns every waiting request.
    pub fn drain(&mut self) -> Vec<Waiting> {
        self.expire(Duration::MAX)
    }

    /// Makes room for a request of `workspace`: removes the latest deadline of the workspace that
    /// has the most waiting requests. `None` if `workspace` itself would have the most.
    pub fn shed(&mut self, workspace: &str) -> Option<Waiting> {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.waiting.len());
        let largest = self.lanes.iter_mut().max_by_key(|(_, lane)| lane.waiting.len())?.1;
        if largest.waiting.len() <= own + 1 {
            return None;
        }
        let key = *largest.waiting.keys().next_back()?;
        let shed = largest.waiting.remove(&key)?;
        self.len -= 1;
        self.tidy(&shed.workspace);
        Some(shed)
    }

    /// Number of requests that would start before a new one of `workspace` with `deadline`.
    pub fn ahead(&self, workspace: &str, deadline: Duration) -> usize {
        let own = self.lanes.get(workspace);
        let before =
            own.map_or(0, |lane| lane.waiting.keys().take_while(|k| k.0 <= deadline).count());
        let running = own.map_or(0, |lane| lane.running as usize);
        // Another workspace goes first until as many of its requests have started.
        let level = running + before + 1;
        let others = self.lanes.iter().filter(|(name, _)| &***name != workspace);
        let others = others
            .map(|(_, lane)| lane.waiting.len().min(level.saturating_sub(lane.running as usize)));
        before + others.sum::<usize>()
    }

    /// Forgets a workspace without requests, so that memory follows the present requests only.
    fn tidy(&mut self, workspace: &str) {
        let empty = |lane: &Lane| lane.waiting.is_empty() && lane.running == 0;
        if self.lanes.get(workspace).is_some_and(empty) {
            self.lanes.remove(workspace);
        }
    }
}

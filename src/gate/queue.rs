//! Queue of online requests, fair between workspaces and ordered by deadline within each.

use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: u64,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Time by which the first token must be produced.
    pub deadline: Duration,
}

/// Online requests of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Waiting requests by deadline, then id.
    waiting: sorted::SortedMap<(Duration, u64), Request>,
    /// Number of running requests.
    running: u32,
    /// Value of [`Queue::sequence`] when a request was last taken from here; 0 if none was.
    last_served: u64,
}

/// Queue of online requests. The next request comes from the workspace with the fewest running
/// requests, and among equals from the one served least recently. Within a workspace, the request
/// with the earliest deadline goes first.
#[derive(Debug, Default)]
pub struct Queue {
    workspaces: sorted::SortedMap<Arc<str>, WorkspaceQueue>,
    len: usize,
    /// Number of requests taken so far.
    sequence: u64,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn push(&mut self, request: Request) {
        let queue = self.workspaces.entry_or(request.workspace.clone(), WorkspaceQueue::default);
        queue.waiting.insert((request.deadline, request.id), request);
        self.len += 1;
    }

    /// Removes and returns the next request and counts it as running.
    pub fn pop(&mut self) -> Option<Request> {
        let queues = self.workspaces.iter_mut().map(|(_, queue)| queue);
        let waiting = queues.filter(|queue| !queue.waiting.is_empty());
        let queue = waiting.min_by_key(|queue| (queue.running, queue.last_served))?;
        let key = *queue.waiting.keys().next()?;
        let next = queue.waiting.remove(&key)?;
        self.sequence += 1;
        queue.running += 1;
        queue.last_served = self.sequence;
        self.len -= 1;
        Some(next)
    }

    /// Records that a running request of `workspace` has ended.
    pub fn release(&mut self, workspace: &str) {
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.remove_if_empty(workspace);
    }

    /// Counts a request of `workspace` as running that did not wait in this queue.
    pub fn add_running(&mut self, workspace: &Arc<str>) {
        self.workspaces.entry_or(workspace.clone(), WorkspaceQueue::default).running += 1;
    }

    /// Whether the request with this id waits.
    pub fn contains(&self, id: u64) -> bool {
        self.workspaces.values().flat_map(|queue| queue.waiting.values()).any(|w| w.id == id)
    }

    /// Removes and returns the request with this id, if it waits.
    pub fn remove(&mut self, id: u64) -> Option<Request> {
        let found =
            self.workspaces.values().flat_map(|queue| queue.waiting.values()).find(|w| w.id == id);
        let (workspace, key) = found.map(|w| (w.workspace.clone(), (w.deadline, w.id)))?;
        let removed = self.workspaces.get_mut(&workspace)?.waiting.remove(&key);
        self.len -= 1;
        self.remove_if_empty(&workspace);
        removed
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Request> {
        let mut late = Vec::new();
        for (_, queue) in self.workspaces.iter_mut() {
            queue.waiting.retain(|(deadline, _), request| {
                let keep = *deadline > now;
                if !keep {
                    late.push(request.clone());
                }
                keep
            });
        }
        self.len -= late.len();
        self.workspaces.retain(|_, queue| !queue.waiting.is_empty() || queue.running > 0);
        late
    }

    /// Removes and returns every waiting request.
    pub fn drain(&mut self) -> Vec<Request> {
        self.expire(Duration::MAX)
    }

    /// Makes room for a request of `workspace`: removes and returns the request with the latest
    /// deadline of the workspace with the most waiting requests. Returns `None` if `workspace`
    /// itself would then have the most.
    pub fn shed(&mut self, workspace: &str) -> Option<Request> {
        let own = self.workspaces.get(workspace).map_or(0, |queue| queue.waiting.len());
        let largest = self.workspaces.iter_mut().max_by_key(|(_, queue)| queue.waiting.len())?.1;
        if largest.waiting.len() <= own + 1 {
            return None;
        }
        let key = *largest.waiting.keys().next_back()?;
        let shed = largest.waiting.remove(&key)?;
        self.len -= 1;
        self.remove_if_empty(&shed.workspace);
        Some(shed)
    }

    /// Returns how many waiting requests would start before a new one of `workspace` with
    /// `deadline`.
    pub fn count_ahead(&self, workspace: &str, deadline: Duration) -> usize {
        let own = self.workspaces.get(workspace);
        let before =
            own.map_or(0, |queue| queue.waiting.keys().take_while(|k| k.0 <= deadline).count());
        let running = own.map_or(0, |queue| queue.running as usize);
        // Another workspace goes first until it runs as many requests as `workspace` will run once
        // the new one has started.
        let level = running + before + 1;
        let others = self.workspaces.iter().filter(|(name, _)| &***name != workspace);
        let others = others.map(|(_, queue)| {
            queue.waiting.len().min(level.saturating_sub(queue.running as usize))
        });
        before + others.sum::<usize>()
    }

    /// Removes a workspace without waiting or running requests, which bounds the memory.
    fn remove_if_empty(&mut self, workspace: &str) {
        let empty = |queue: &WorkspaceQueue| queue.waiting.is_empty() && queue.running == 0;
        if self.workspaces.get(workspace).is_some_and(empty) {
            self.workspaces.remove(workspace);
        }
    }
}

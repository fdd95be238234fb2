//! Queue of online requests: fair between workspaces, then by deadline.

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
    /// Time by which it must have produced its first token.
    pub deadline: Duration,
}

/// Requests of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// By deadline, then id.
    waiting: sorted::SortedMap<(Duration, u64), Request>,
    /// Requests of the workspace that run.
    running: u32,
    /// Sequence number of the last start.
    last_served: u64,
}

/// Online queue. The next request comes from the workspace with the fewest running requests; the
/// one served longest ago goes first among equals. Within a workspace the earliest deadline does.
#[derive(Debug, Default)]
pub struct Queue {
    workspaces: sorted::SortedMap<Arc<str>, WorkspaceQueue>,
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
    pub fn push(&mut self, request: Request) {
        let queue = self.workspaces.entry_or(request.workspace.clone(), WorkspaceQueue::default);
        queue.waiting.insert((request.deadline, request.id), request);
        self.len += 1;
    }

    /// Takes the next request and counts it as running.
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

    /// Records that a running request of `workspace` has left its slot.
    pub fn release(&mut self, workspace: &str) {
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.remove_if_empty(workspace);
    }

    /// Counts a request of `workspace` as running that did not wait here.
    pub fn add_running(&mut self, workspace: &Arc<str>) {
        self.workspaces.entry_or(workspace.clone(), WorkspaceQueue::default).running += 1;
    }

    /// Whether the request waits.
    pub fn contains(&self, id: u64) -> bool {
        self.workspaces.values().flat_map(|queue| queue.waiting.values()).any(|w| w.id == id)
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, id: u64) -> Option<Request> {
        let found =
            self.workspaces.values().flat_map(|queue| queue.waiting.values()).find(|w| w.id == id);
        let (workspace, key) = found.map(|w| (w.workspace.clone(), (w.deadline, w.id)))?;
        let removed = self.workspaces.get_mut(&workspace)?.waiting.remove(&key);
        self.len -= 1;
        self.remove_if_empty(&workspace);
        removed
    }

    /// Removes the requests whose deadline has passed, and returns them.
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

    /// Makes room for a request of `workspace`: removes the latest deadline of the workspace that
    /// has the most waiting requests. `None` if `workspace` itself would have the most.
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

    /// Number of requests that would start before a new one of `workspace` with `deadline`.
    pub fn count_ahead(&self, workspace: &str, deadline: Duration) -> usize {
        let own = self.workspaces.get(workspace);
        let before =
            own.map_or(0, |queue| queue.waiting.keys().take_while(|k| k.0 <= deadline).count());
        let running = own.map_or(0, |queue| queue.running as usize);
        // Another workspace goes first until as many of its requests have started.
        let level = running + before + 1;
        let others = self.workspaces.iter().filter(|(name, _)| &***name != workspace);
        let others = others.map(|(_, queue)| {
            queue.waiting.len().min(level.saturating_sub(queue.running as usize))
        });
        before + others.sum::<usize>()
    }

    /// Forgets a workspace without requests, so that memory follows the present requests only.
    fn remove_if_empty(&mut self, workspace: &str) {
        let empty = |queue: &WorkspaceQueue| queue.waiting.is_empty() && queue.running == 0;
        if self.workspaces.get(workspace).is_some_and(empty) {
            self.workspaces.remove(workspace);
        }
    }
}

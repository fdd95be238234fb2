//! Tracks work in progress, so that a graceful stop can wait for it.

use crate::supervisor;
use std::sync::Arc;
use tokio::sync::watch;

/// Counter of work in progress. Clones share it.
#[derive(Clone)]
pub struct WorkTracker {
    count: Arc<watch::Sender<usize>>,
}

/// Counts one piece of work as in progress until it is dropped.
pub struct WorkGuard {
    count: Arc<watch::Sender<usize>>,
}

impl Default for WorkTracker {
    fn default() -> Self {
        WorkTracker { count: Arc::new(watch::Sender::new(0)) }
    }
}

impl WorkTracker {
    /// Begins a piece of work, which lasts until the guard is dropped.
    pub fn enter(&self) -> WorkGuard {
        self.count.send_modify(|n| *n += 1);
        WorkGuard { count: self.count.clone() }
    }

    /// Number of pieces of work in progress.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no work is in progress.
    pub async fn wait_idle(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`.
        let _ = count.wait_for(|n| *n == 0).await;
    }

    /// Returns a stop signal that is triggered after `stop`, once no work is in progress.
    ///
    /// Tasks that running work depends on use it, so that they end last.
    pub fn stop_when_idle(&self, mut stop: supervisor::Stop) -> supervisor::Stop {
        let (sender, delayed) = supervisor::Stop::channel();
        let running = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.wait() => {
                    running.wait_idle().await;
                    sender.send_replace(true);
                }
                // No receiver of the signal is left.
                () = sender.closed() => {}
            }
        });
        delayed
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.count.send_modify(|n| *n -= 1);
    }
}

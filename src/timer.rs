//! Timer service: one task that wakes its subscribers periodically.
//!
//! Time is monotonic and counted from the start of the service. Wall clocks are not used, since
//! they can jump.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;

struct Subscription {
    due: Duration,
    period: Duration,
    ticks: mpsc::Sender<Duration>,
}

/// Handle of the timer service. Clones share one service.
#[derive(Clone)]
pub struct Timer {
    start: time::Instant,
    subscribe: Arc<mpsc::UnboundedSender<Subscription>>,
}

/// Periodic ticks of one subscriber. Dropping it ends the subscription.
pub struct Ticks {
    receiver: mpsc::Receiver<Duration>,
}

impl Timer {
    /// Starts the service on the current tokio runtime.
    pub fn start() -> Timer {
        let start = time::Instant::now();
        let (subscribe, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(start, receiver));
        Timer { start, subscribe: Arc::new(subscribe) }
    }

    /// Monotonic time since the start of the service.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Subscribes to a tick every `period`.
    ///
    /// A subscriber that is late gets one tick, not one for each missed period.
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let (ticks, receiver) = mpsc::channel(1);
        let due = self.now() + period;
        // Fails only while the runtime shuts down; the subscriber then never wakes.
        let _ = self.subscribe.send(Subscription { due, period, ticks });
        Ticks { receiver }
    }
}

impl Ticks {
    /// Waits for the next tick and returns its time. Never returns once the service has ended.
    pub async fn next(&mut self) -> Duration {
        match self.receiver.recv().await {
            Some(now) => now,
            None => std::future::pending().await,
        }
    }
}

async fn run(start: time::Instant, mut receiver: mpsc::UnboundedReceiver<Subscription>) {
    // Sorted by due time, the earliest last.
    let mut waiting: Vec<Subscription> = Vec::new();
    loop {
        let wake = waiting.last().map(|s| start + s.due);
        tokio::select! {
            new = receiver.recv() => match new {
                Some(new) => insert(&mut waiting, new),
                None => return,
            },
            _ = time::sleep_until(wake.unwrap_or(start)), if wake.is_some() => {
                fire(&mut waiting, start.elapsed());
            }
        }
    }
}

fn insert(waiting: &mut Vec<Subscription>, new: Subscription) {
    let at = waiting.partition_point(|s| s.due > new.due);
    waiting.insert(at, new);
}

fn fire(waiting: &mut Vec<Subscription>, now: Duration) {
    while waiting.last().is_some_and(|s| s.due <= now) {
        let Some(mut due) = waiting.pop() else { return };
        if let Err(mpsc::error::TrySendError::Closed(_)) = due.ticks.try_send(now) {
            continue;
        }
        due.due = now + due.period;
        insert(waiting, due);
    }
}

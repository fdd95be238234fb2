//! Local copy of the configuration that follows group 0 and tracks how current it is.

use crate::catalog;
use crate::client;
use crate::errors;
use crate::event;
use crate::events;
use crate::supervisor;
use crate::timer;
use crate::wire;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time;

/// Interval between confirmations that the copy is current.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of one confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay before an interrupted watch is restarted.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without a frame after which a watch is restarted. State hosts send a frame at least this
/// often, so this also detects a sender that hangs while its connection stays open.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Local copy of the configuration. Clones share the same copy.
#[derive(Clone)]
pub struct Follower {
    inner: Arc<Inner>,
}

struct Inner {
    catalog: RwLock<catalog::Catalog>,
    /// Last log index of group 0 that the copy has applied.
    applied: watch::Sender<u64>,
    /// When the last successful confirmation was requested.
    confirmed_at: Mutex<Option<Duration>>,
    timer: timer::Timer,
    log: slog::Logger,
}

impl Follower {
    /// Creates an empty copy. It must not be used before the first confirmation; see
    /// [`Follower::age`].
    pub fn new(timer: &timer::Timer, log: &slog::Logger) -> Follower {
        let inner = Inner {
            catalog: RwLock::new(catalog::Catalog::default()),
            applied: watch::Sender::new(0),
            confirmed_at: Mutex::new(None),
            timer: timer.clone(),
            log: log.clone(),
        };
        Follower { inner: Arc::new(inner) }
    }

    /// Calls `read` with the copy. `read` must be short, because it blocks updates.
    pub fn read<R>(&self, read: impl FnOnce(&catalog::Catalog) -> R) -> R {
        let catalog = self.inner.catalog.read().unwrap_or_else(|e| e.into_inner());
        read(&catalog)
    }

    /// Subscribes to the last applied log index, which changes with every update.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.applied.subscribe()
    }

    /// Waits until the copy has applied the log up to `index`.
    pub async fn wait_applied(&self, index: u64) {
        let mut applied = self.inner.applied.subscribe();
        // Cannot fail: `self` keeps the sender alive.
        let _ = applied.wait_for(|at| *at >= index).await;
    }

    /// Time since the copy was last known to be current; `None` before the first confirmation.
    pub fn age(&self) -> Option<Duration> {
        let confirmed = *self.inner.confirmed_at.lock().unwrap_or_else(|e| e.into_inner());
        confirmed.map(|at| self.inner.timer.now().saturating_sub(at))
    }

    /// Keeps the copy up to date until a stop is requested.
    pub async fn watch(
        self,
        client: client::Client,
        mut stop: supervisor::Stop,
    ) -> Result<(), errors::Error> {
        loop {
            let error = tokio::select! {
                error = self.watch_once(&client) => error,
                () = stop.wait() => return Ok(()),
            };
            event!(self.inner.log, events::WATCH_LOST; "error" => %error);
            time::sleep(WATCH_RETRY_DELAY).await;
        }
    }

    async fn watch_once(&self, client: &client::Client) -> errors::Error {
        let after = *self.inner.applied.borrow();
        let mut watch = match client.watch(after).await {
            Ok(watch) => watch,
            Err(error) => return error,
        };
        loop {
            match time::timeout(WATCH_TIMEOUT, watch.next()).await {
                Ok(Ok(frame)) => {
                    if let Err(error) = self.apply(frame) {
                        return error;
                    }
                }
                Ok(Err(error)) => return error,
                Err(_) => return errors::Error::lost("watch", "state", "silent"),
            }
        }
    }

    fn apply(&self, frame: wire::Reply) -> Result<(), errors::Error> {
        let index = {
            let mut catalog = self.inner.catalog.write().unwrap_or_else(|e| e.into_inner());
            let applied = *self.inner.applied.borrow();
            match frame {
                wire::Reply::Snapshot { index, data } if index >= applied => {
                    catalog
                        .restore(&data)
                        .map_err(|e| errors::Error::protocol("restore catalog", "state", e))?;
                    index
                }
                wire::Reply::Update { index, command } if index == applied + 1 => {
                    // An entry without a command only advances the index.
                    catalog.apply(index, &command);
                    index
                }
                // Sent periodically to show that the sender is alive.
                wire::Reply::Confirmed { index } if index <= applied => return Ok(()),
                // A lower index would undo updates, and a gap would skip some.
                _ => return Err(errors::Error::protocol("watch", "state", "unexpected frame")),
            }
        };
        self.inner.applied.send_replace(index);
        Ok(())
    }

    /// Confirms periodically that the copy is current, until a stop is requested. Logs when its
    /// age exceeds `max_age` and when it is current again.
    pub async fn confirm(
        self,
        client: client::Client,
        max_age: Duration,
        mut stop: supervisor::Stop,
    ) -> Result<(), errors::Error> {
        let mut ticks = self.inner.timer.subscribe(CONFIRM_INTERVAL);
        let mut stale = true;
        loop {
            self.confirm_once(&client).await;
            let fresh = self.age().is_some_and(|age| age <= max_age);
            if fresh && stale {
                event!(self.inner.log, events::CONFIG_FRESH);
            } else if !fresh && !stale {
                event!(self.inner.log, events::CONFIG_STALE);
            }
            stale = !fresh;
            tokio::select! {
                _ = ticks.next() => {}
                () = stop.wait() => return Ok(()),
            }
        }
    }

    async fn confirm_once(&self, client: &client::Client) {
        // Counted from the request, since later commits may be missing from the confirmed index.
        let asked = self.inner.timer.now();
        let Ok(index) = client.confirm(CONFIRM_TIMEOUT).await else { return };
        if time::timeout(CONFIRM_TIMEOUT, self.wait_applied(index)).await.is_ok() {
            let mut confirmed = self.inner.confirmed_at.lock().unwrap_or_else(|e| e.into_inner());
            *confirmed = Some(asked);
        }
    }
}

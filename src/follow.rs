//! Local copy of the configuration: follows group 0 and knows how fresh it is.

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
/// Longest wait for one confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause before an interrupted watch is resumed.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Silence after which a watch is taken to be lost. State hosts send an update at least this
/// often, so a watch whose sender hangs while its connection is alive is noticed too.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Local copy of the configuration. Clones share it.
#[derive(Clone)]
pub struct Follower {
    inner: Arc<Inner>,
}

struct Inner {
    catalog: RwLock<catalog::Catalog>,
    /// Log index of group 0 that the copy has applied.
    applied: watch::Sender<u64>,
    /// Time at which the last successful confirmation was requested.
    confirmed_at: Mutex<Option<Duration>>,
    timer: timer::Timer,
    log: slog::Logger,
}

impl Follower {
    /// Creates an empty copy. It must not be used before it is confirmed.
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

    /// Reads the copy. `read` must be short: updates wait for it.
    pub fn read<R>(&self, read: impl FnOnce(&catalog::Catalog) -> R) -> R {
        let catalog = self.inner.catalog.read().unwrap_or_else(|e| e.into_inner());
        read(&catalog)
    }

    /// Log index that the copy has applied, as a signal of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.applied.subscribe()
    }

    /// Waits until the copy has applied `index`.
    pub async fn wait_applied(&self, index: u64) {
        let mut applied = self.inner.applied.subscribe();
        // The sender lives as long as `self`.
        let _ = applied.wait_for(|at| *at >= index).await;
    }

    /// Time since which the copy is not known to be current; `None` before the first
    /// confirmation.
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
                wire::Reply::Full { index, data } if index >= applied => {
                    catalog
                        .restore(&data)
                        .map_err(|e| errors::Error::protocol("restore catalog", "state", e))?;
                    index
                }
                wire::Reply::Update { index, command } if index == applied + 1 => {
                    // Entries without a command only advance the position.
                    catalog.apply(index, &command);
                    index
                }
                // Sent periodically to show that the watch is alive.
                wire::Reply::Confirmed { index } if index <= applied => return Ok(()),
                // A lower index is never applied; a gap means that the position is wrong.
                _ => return Err(errors::Error::protocol("watch", "state", "unexpected frame")),
            }
        };
        self.inner.applied.send_replace(index);
        Ok(())
    }

    /// Confirms periodically that the copy is current, until a stop is requested.
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
        // The copy is current as of the time at which the question was asked, not answered.
        let asked = self.inner.timer.now();
        let Ok(index) = client.confirm(CONFIRM_TIMEOUT).await else { return };
        if time::timeout(CONFIRM_TIMEOUT, self.wait_applied(index)).await.is_ok() {
            let mut confirmed = self.inner.confirmed_at.lock().unwrap_or_else(|e| e.into_inner());
            *confirmed = Some(asked);
        }
    }
}

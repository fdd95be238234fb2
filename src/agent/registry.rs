//! Registry of the endpoints of this host, which announce themselves over HTTP.

use crate::agent::endpoint;
use crate::errors;
use crate::event;
use crate::events;
use crate::gate;
use crate::metrics;
use crate::settings;
use crate::sorted;
use crate::supervisor;
use crate::timer;
use axum::Json;
use axum::extract;
use axum::http;
use axum::response::IntoResponse as _;
use axum::response::Response;
use axum::routing;
use serde_json::json;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Interval at which endpoints announce themselves and expired ones are removed.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an announcement after which an endpoint is removed. Three are missed by then.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Interval at which the gates process the passage of time.
const GATE_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Most bytes of an announcement.
const MAX_ANNOUNCEMENT_SIZE: usize = 64 << 10;
/// Most endpoints of one host.
const MAX_ENDPOINTS: usize = 64;

/// Endpoints of this host, by name. Clones share them.
#[derive(Clone)]
pub struct Registry {
    inner: Arc<Inner>,
}

struct Inner {
    endpoints: Mutex<sorted::SortedMap<Arc<str>, Registration>>,
    /// Count of changes; its receivers wake up at each change.
    changes: watch::Sender<u64>,
    pull_signal: Arc<Notify>,
    max_queue: usize,
    online_priority: bool,
    timer: timer::Timer,
    metrics: metrics::Metrics,
    log: slog::Logger,
}

struct Registration {
    endpoint: endpoint::Endpoint,
    last_announced: Duration,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(
        settings: &settings::Agent,
        timer: &timer::Timer,
        metrics: &metrics::Metrics,
        log: &slog::Logger,
    ) -> Registry {
        let inner = Inner {
            endpoints: Mutex::new(sorted::SortedMap::new()),
            changes: watch::Sender::new(0),
            pull_signal: Arc::new(Notify::new()),
            max_queue: settings.queue,
            online_priority: settings.priority,
            timer: timer.clone(),
            metrics: metrics.clone(),
            log: log.clone(),
        };
        Registry { inner: Arc::new(inner) }
    }

    /// Signal that is notified when a gate asks for batch items.
    pub fn pull_signal(&self) -> Arc<Notify> {
        self.inner.pull_signal.clone()
    }

    /// Receiver that wakes up when an endpoint joins, leaves or announces something new.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Every endpoint, sorted by name.
    pub fn endpoints(&self) -> Vec<endpoint::Endpoint> {
        self.lock().values().map(|r| r.endpoint.clone()).collect()
    }

    /// Returns the endpoint with the given name.
    pub fn get(&self, name: &str) -> Option<endpoint::Endpoint> {
        self.lock().get(name).map(|r| r.endpoint.clone())
    }

    /// Adds the endpoint or updates its announcement.
    ///
    /// # Errors
    /// `Invalid` if the announcement is not valid or the host has too many endpoints.
    pub fn apply_announcement(
        &self,
        announcement: endpoint::Announcement,
    ) -> Result<(), errors::Error> {
        validate(&announcement)?;
        let now = self.inner.timer.now();
        let mut endpoints = self.lock();
        if let Some(registration) = endpoints.get_mut(&announcement.name) {
            registration.last_announced = now;
            let changed = registration.endpoint.announcement() != announcement;
            if changed {
                registration.endpoint.update(announcement);
                drop(endpoints);
                self.notify_changed();
            }
            return Ok(());
        }
        if endpoints.len() >= MAX_ENDPOINTS {
            let cause = format!("more than {MAX_ENDPOINTS} endpoints on one host");
            return Err(errors::Error::invalid("announce", announcement.name, cause));
        }
        event!(self.inner.log, events::ENDPOINT_JOINED; "endpoint" => &*announcement.name);
        let config = gate::Config {
            slots: announcement.slots,
            max_queue: self.inner.max_queue,
            online_priority: self.inner.online_priority,
            ..crate::agent::gate_config(None)
        };
        let name = announcement.name.clone();
        let endpoint = endpoint::Endpoint::new(
            announcement,
            config,
            &self.inner.timer,
            &self.inner.metrics,
            self.pull_signal(),
        );
        endpoints.insert(name, Registration { endpoint, last_announced: now });
        drop(endpoints);
        self.notify_changed();
        Ok(())
    }

    /// Removes an endpoint and logs the cause. Returns whether it was registered.
    pub fn remove(&self, name: &str, cause: &'static str) -> bool {
        let Some(registration) = self.lock().remove(name) else { return false };
        event!(self.inner.log, events::ENDPOINT_LEFT; "endpoint" => name, "cause" => cause);
        // Refuses waiting work. Running work ends with its own connection.
        registration.endpoint.drain();
        self.notify_changed();
        true
    }

    fn remove_expired(&self) {
        let now = self.inner.timer.now();
        let is_expired = |r: &Registration| now.saturating_sub(r.last_announced) > ANNOUNCE_TIMEOUT;
        let expired: Vec<Arc<str>> =
            self.lock().iter().filter(|(_, r)| is_expired(r)).map(|(k, _)| k.clone()).collect();
        for name in expired {
            let endpoint = self.get(&name);
            self.remove(&name, "silent");
            endpoint.iter().for_each(endpoint::Endpoint::mark_lost);
        }
    }

    fn notify_changed(&self) {
        self.inner.changes.send_modify(|n| *n += 1);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, sorted::SortedMap<Arc<str>, Registration>> {
        self.inner.endpoints.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Advances the gates and removes expired endpoints until a stop is requested.
    pub async fn run_clock(self, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
        let mut ticks = self.inner.timer.subscribe(GATE_TICK_INTERVAL);
        let mut sweep = self.inner.timer.subscribe(ANNOUNCE_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.next() => {
                    for endpoint in self.endpoints() {
                        endpoint.tick();
                    }
                }
                _ = sweep.next() => self.remove_expired(),
                () = stop.wait() => return Ok(()),
            }
        }
    }

    /// Serves announcements over HTTP until a stop is requested.
    pub async fn run_listener(
        self,
        listener: Arc<net::TcpListener>,
        mut stop: supervisor::Stop,
    ) -> Result<(), errors::Error> {
        let app = axum::Router::new()
            .route("/announce", routing::post(handle_announce))
            .route("/announce/{name}", routing::delete(handle_withdraw))
            .layer(extract::DefaultBodyLimit::max(MAX_ANNOUNCEMENT_SIZE))
            .with_state(self);
        let listener = crate::agent::share_listener(&listener)?;
        axum::serve(listener, app)
            .with_graceful_shutdown(async move { stop.wait().await })
            .await
            .map_err(|e| errors::Error::io("serve announcements", "endpoints", e))
    }
}

fn validate(announcement: &endpoint::Announcement) -> Result<(), errors::Error> {
    let refuse =
        |cause: &str| Err(errors::Error::invalid("announce", announcement.name.clone(), cause));
    if !settings::valid_name(&announcement.name) {
        return refuse("name must have 1 to 63 of a-z, 0-9, '-'");
    }
    if announcement.slots == 0 || announcement.slots > 4_096 {
        return refuse("slots must be from 1 to 4096");
    }
    if announcement.kind == endpoint::Kind::Engine && announcement.models.is_empty() {
        return refuse("an engine must announce at least one model");
    }
    Ok(())
}

async fn handle_announce(
    extract::State(registry): extract::State<Registry>,
    Json(announcement): Json<endpoint::Announcement>,
) -> Response {
    match registry.apply_announcement(announcement) {
        Ok(()) => Json(json!({ "ok": true })).into_response(),
        Err(error) => {
            let body = Json(json!({ "error": error.to_string() }));
            (http::StatusCode::BAD_REQUEST, body).into_response()
        }
    }
}

async fn handle_withdraw(
    extract::State(registry): extract::State<Registry>,
    extract::Path(name): extract::Path<String>,
) -> Response {
    let known = registry.remove(&name, "withdrawn");
    Json(json!({ "ok": true, "known": known })).into_response()
}

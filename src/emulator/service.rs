//! Emulator of a plain service that echoes request bodies and counts calls by key.

use crate::emulator;
use crate::emulator::host;
use crate::errors;
use crate::sorted::SortedMap;
use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::RawQuery;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse as _;
use axum::response::Response;
use axum::routing;
use futures_util::stream;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Settings of an emulated service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on. Port 0 selects a free port.
    pub address: SocketAddr,
    /// Address of the agent to which the service announces itself.
    pub agent: Option<SocketAddr>,
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Number of concurrent calls that the service announces. It does not enforce the limit.
    pub slots: u32,
    /// Time that each call takes.
    pub delay: Duration,
    /// Faults that are active from the start. `break_after` aborts the connection after the
    /// complete body, whatever the number; `stall_after` has no effect on services.
    pub faults: emulator::Faults,
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            agent: None,
            name: "service".into(),
            slots: 32,
            delay: Duration::ZERO,
            faults: emulator::Faults::default(),
        }
    }
}

/// Running emulated service. Dropping it stops it at once.
pub struct Service {
    server: host::EndpointServer,
    shared: Arc<Shared>,
}

struct Shared {
    settings: ServiceSettings,
    injector: host::FaultInjector,
}

impl Service {
    /// Starts the service and its announcements. Must be called on a tokio runtime.
    ///
    /// # Errors
    /// `Io` if the address cannot be used.
    pub async fn start(
        settings: ServiceSettings,
        log: &slog::Logger,
    ) -> Result<Service, errors::Error> {
        let injector = host::FaultInjector::new(settings.faults.clone());
        let shared = Arc::new(Shared { settings, injector });
        let router = Router::new()
            .route("/stats", routing::get(stats))
            .route("/faults", routing::post(set_faults))
            .fallback(echo)
            .with_state(shared.clone());
        let settings = shared.settings.clone();
        let announcement = move |address| host::Announcement {
            name: settings.name.clone(),
            kind: "service",
            address,
            models: Vec::new(),
            slots: settings.slots,
            fencing: false,
        };
        let (address, agent) = (shared.settings.address, shared.settings.agent);
        let server = host::EndpointServer::start(address, agent, router, announcement, log).await?;
        Ok(Service { server, shared })
    }

    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Returns the number of calls by key.
    pub fn calls_by_key(&self) -> SortedMap<Arc<str>, u64> {
        self.shared.injector.counters().2
    }

    /// Replaces the simulated faults.
    pub fn set_faults(&self, faults: emulator::Faults) {
        self.shared.injector.set_faults(faults);
    }

    /// Withdraws from the agent, then refuses new calls and waits up to `limit` for the running
    /// ones. Returns whether every call has finished.
    pub async fn stop(mut self, limit: Duration) -> bool {
        self.server.stop(limit).await
    }
}

async fn echo(
    State(shared): State<Arc<Shared>>,
    RawQuery(query): RawQuery,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let key = host::request_key(&headers, query.as_deref());
    let admitted = shared.injector.admit(key.as_deref(), &String::from_utf8_lossy(&body));
    let stream_faults = match admitted {
        Ok(stream_faults) => stream_faults,
        Err(status) => return host::error_response(status, "simulated failure"),
    };
    if !shared.settings.delay.is_zero() {
        tokio::time::sleep(shared.settings.delay).await;
    }
    while shared.injector.is_frozen() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let connection_aborted =
        || io::Error::new(io::ErrorKind::ConnectionAborted, "simulated connection break");
    let mut response = match stream_faults.break_after {
        // Sends the body before the error, so that the caller sees a break within the answer and
        // not a connection lost before it.
        Some(_) => {
            Response::new(Body::from_stream(stream::iter([Ok(body), Err(connection_aborted())])))
        }
        None => Response::new(body.into()),
    };
    if let Some(content) = headers.get(header::CONTENT_TYPE) {
        response.headers_mut().insert(header::CONTENT_TYPE, content.clone());
    }
    response
}

async fn stats(State(shared): State<Arc<Shared>>) -> Response {
    let (requests, failed, keys) = shared.injector.counters();
    let keys: serde_json::Map<String, serde_json::Value> =
        keys.iter().map(|(key, count)| (key.to_string(), (*count).into())).collect();
    Json(serde_json::json!({"requests": requests, "failed": failed, "keys": keys})).into_response()
}

async fn set_faults(
    State(shared): State<Arc<Shared>>,
    Json(faults): Json<emulator::Faults>,
) -> StatusCode {
    shared.injector.set_faults(faults);
    StatusCode::NO_CONTENT
}

//! Code shared by engine and service: HTTP server, announcements to the agent, simulated faults.

use crate::emulator;
use crate::errors;
use crate::event;
use crate::events;
use crate::sorted::SortedMap;
use axum::Router;
use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Request;
use axum::http::StatusCode;
use axum::http::header;
use axum::serve::ListenerExt as _;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

/// Interval between announcements to the agent.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request to the agent.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay between the withdrawal and the refusal of new requests. Requests that the agent sent
/// before the withdrawal still arrive in this time.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(100);
/// Request header with the key under which a request is counted.
const KEY_HEADER: &str = "x-request-key";

/// Body of an announcement to the agent.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Announcement {
    pub(super) name: Arc<str>,
    pub(super) kind: &'static str,
    pub(super) address: SocketAddr,
    pub(super) models: Vec<Arc<str>>,
    pub(super) slots: u32,
    pub(super) fencing: bool,
}

/// HTTP server of an emulator, which also announces the endpoint to the agent.
pub(super) struct EndpointServer {
    pub(super) addr: SocketAddr,
    withdrawing: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    server: task::JoinHandle<()>,
    announcer: Option<task::JoinHandle<()>>,
}

impl EndpointServer {
    /// Starts to serve `router`, and announces to `agent` what `announcement` returns for the bound
    /// address.
    pub(super) async fn start(
        address: SocketAddr,
        agent: Option<SocketAddr>,
        router: Router,
        announcement: impl Fn(SocketAddr) -> Announcement + Send + 'static,
        log: &slog::Logger,
    ) -> Result<EndpointServer, errors::Error> {
        let failed = |e: std::io::Error| errors::Error::io("listen", address.to_string(), e);
        let listener = tokio::net::TcpListener::bind(address).await.map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        event!(log, events::LISTENING; "address" => %addr, "protocol" => "http");
        let (stopping, mut stopped) = watch::channel(false);
        let (withdrawing, withdraw) = watch::channel(false);
        let listener = listener.tap_io(|stream| {
            // Without this, Nagle's algorithm delays tokens, which are small writes, until earlier
            // ones are acknowledged. Fails only if the connection is already closed.
            let _ = stream.set_nodelay(true);
        });
        let server = tokio::spawn(async move {
            let signal = async move {
                // An error means that the emulator was dropped.
                let _ = stopped.wait_for(|stop| *stop).await;
            };
            // axum retries when accepting a connection fails, and returns only on the signal.
            let _ = axum::serve(listener, router).with_graceful_shutdown(signal).await;
        });
        let announcer = agent.map(|agent| {
            let log = log.clone();
            tokio::spawn(announce(agent, move || announcement(addr), withdraw, log))
        });
        Ok(EndpointServer { addr, withdrawing, stopping, server, announcer })
    }

    /// Returns a receiver that turns true once the server refuses new requests.
    pub(super) fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Stops gracefully: withdraws from the agent, so that it sends no new requests, then refuses
    /// new requests and waits up to `limit` for the running ones. Returns whether every request has
    /// finished.
    pub(super) async fn stop(&mut self, limit: Duration) -> bool {
        self.withdrawing.send_replace(true);
        if let Some(announcer) = self.announcer.take() {
            // Fails only if the task panicked. The agent then sees no further announcements.
            let _ = announcer.await;
            time::sleep(WITHDRAWAL_DELAY).await;
        }
        self.stopping.send_replace(true);
        time::timeout(limit, &mut self.server).await.is_ok()
    }
}

impl Drop for EndpointServer {
    fn drop(&mut self) {
        self.server.abort();
        if let Some(announcer) = &self.announcer {
            announcer.abort();
        }
    }
}

/// Announces the endpoint at intervals and withdraws it once `withdrawing` turns true.
///
/// One task sends both in sequence, so that no announcement follows the withdrawal. Logs the first
/// of consecutive announcement failures.
async fn announce(
    agent: SocketAddr,
    announcement: impl Fn() -> Announcement,
    mut withdrawing: watch::Receiver<bool>,
    log: slog::Logger,
) {
    let client = client();
    let mut ticks = time::interval(ANNOUNCE_INTERVAL);
    let mut reachable = true;
    loop {
        tokio::select! {
            // An error means that the emulator was dropped.
            _ = withdrawing.wait_for(|withdrawing| *withdrawing) => break,
            _ = ticks.tick() => {}
        }
        let body = serde_json::to_string(&announcement()).unwrap_or_default();
        let announced = send_to_agent(&client, Method::POST, agent, "/announce", &body).await;
        if let Err(error) = &announced
            && reachable
        {
            event!(log, events::DIAL_FAILED; "error" => %error);
        }
        reachable = announced.is_ok();
    }
    let path = format!("/announce/{}", announcement().name);
    if let Err(error) = send_to_agent(&client, Method::DELETE, agent, &path, "").await {
        event!(log, events::DIAL_FAILED; "error" => %error);
    }
}

type HttpClient = Client<HttpConnector, String>;

fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http()
}

async fn send_to_agent(
    client: &HttpClient,
    method: Method,
    agent: SocketAddr,
    path: &str,
    body: &str,
) -> Result<(), errors::Error> {
    let peer = agent.to_string();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{agent}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(body.to_string())
        .map_err(|e| errors::Error::invalid("announce", &*peer, e))?;
    let response = time::timeout(ANNOUNCE_TIMEOUT, client.request(request))
        .await
        .map_err(|_| {
            let cause = errors::Cause::Timeout(ANNOUNCE_TIMEOUT.as_millis() as u64);
            errors::Error::new("announce", &*peer, cause)
        })?
        .map_err(|e| errors::Error::lost("announce", &*peer, e))?;
    if response.status().is_success() {
        return Ok(());
    }
    let cause = errors::Cause::Refused(response.status().to_string().into());
    Err(errors::Error::new("announce", &*peer, cause))
}

/// Decides which requests fail by the simulated faults, and counts requests.
pub(super) struct FaultInjector {
    faults: Mutex<emulator::Faults>,
    counters: Mutex<RequestCounters>,
}

#[derive(Default)]
struct RequestCounters {
    requests: u64,
    failed: u64,
    keys: SortedMap<Arc<str>, u64>,
}

/// Numbers of tokens after which an admitted request stalls or breaks off.
#[derive(Clone, Copy, Default)]
pub(super) struct StreamFaults {
    pub(super) stall_after: Option<u32>,
    pub(super) break_after: Option<u32>,
}

impl FaultInjector {
    /// Creates an injector of `faults`.
    pub(super) fn new(faults: emulator::Faults) -> FaultInjector {
        FaultInjector { faults: Mutex::new(faults), counters: Mutex::default() }
    }

    /// Replaces the simulated faults.
    pub(super) fn set_faults(&self, faults: emulator::Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns whether the emulator is frozen.
    pub(super) fn is_frozen(&self) -> bool {
        lock(&self.faults).frozen
    }

    /// Counts a request and returns the faults of its stream, or status 500 if it must fail.
    ///
    /// `key` is the key under which it is counted, and `prompt` its prompt or body.
    pub(super) fn admit(
        &self,
        key: Option<&str>,
        prompt: &str,
    ) -> Result<StreamFaults, StatusCode> {
        let mut counters = lock(&self.counters);
        counters.requests += 1;
        if let Some(key) = key {
            *counters.keys.entry_or(key.into(), || 0) += 1;
        }
        let mut faults = lock(&self.faults);
        let numbered = faults.fail_every > 0 && counters.requests.is_multiple_of(faults.fail_every);
        let marked = faults.fail_marker.as_ref().is_some_and(|marker| prompt.contains(&**marker));
        if numbered || marked {
            counters.failed += 1;
            return Err(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if faults.stall_after.is_none() && faults.break_after.is_none() {
            return Ok(StreamFaults::default());
        }
        match &mut faults.limit {
            Some(0) => return Ok(StreamFaults::default()),
            Some(limit) => *limit -= 1,
            None => {}
        }
        Ok(StreamFaults { stall_after: faults.stall_after, break_after: faults.break_after })
    }

    /// Returns the number of requests so far.
    pub(super) fn requests(&self) -> u64 {
        lock(&self.counters).requests
    }

    /// Returns the number of requests, the number of those that failed, and the requests by key.
    pub(super) fn counters(&self) -> (u64, u64, SortedMap<Arc<str>, u64>) {
        let counters = lock(&self.counters);
        (counters.requests, counters.failed, counters.keys.clone())
    }
}

/// Returns the key of a request from the header, or else from the query parameter `key`, since an
/// agent forwards path and query but no headers.
pub(super) fn request_key(headers: &HeaderMap, query: Option<&str>) -> Option<String> {
    let header = headers.get(KEY_HEADER).and_then(|value| value.to_str().ok());
    let parameter = || query?.split('&').find_map(|part| part.strip_prefix("key="));
    header.or_else(parameter).map(str::to_string)
}

/// Builds a response with a JSON error object.
pub(super) fn error_response(status: StatusCode, message: &str) -> axum::response::Response {
    let body = serde_json::json!({"error": {"message": message, "code": status.as_u16()}});
    let mut response = axum::response::Response::new(Body::from(body.to_string()));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Locks a mutex whose data stays consistent even if a holder panicked.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

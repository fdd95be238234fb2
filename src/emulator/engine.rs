//! Emulated model engine: HTTP API, step loop, load report and orders.

use crate::emulator;
use crate::emulator::api;
use crate::emulator::batch;
use crate::emulator::host;
use crate::emulator::orders;
use crate::emulator::text;
use crate::errors;
use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::RawQuery;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse as _;
use axum::response::Response;
use axum::routing;
use serde::Serialize;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Interval at which a frozen engine checks whether it is still frozen.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Running emulated engine. Dropping it stops it at once.
pub struct Engine {
    server: host::EndpointServer,
    shared: Arc<Shared>,
    tasks: [task::JoinHandle<()>; 2],
}

struct Shared {
    settings: emulator::Settings,
    injector: host::FaultInjector,
    control: Mutex<Control>,
    batch: Mutex<batch::Batch>,
    submitted: Notify,
    load_report: Mutex<LoadReport>,
    stopping: Mutex<Option<watch::Receiver<bool>>>,
}

struct Control {
    models: Vec<Arc<str>>,
    orders: orders::Executor,
}

/// Load report, updated once per `load_interval` of the settings.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct LoadReport {
    running: usize,
    waiting: usize,
    slots: u32,
    cached_blocks: usize,
}

/// Statistics of an engine since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Completion requests for loaded models, including failed ones.
    pub requests: u64,
    /// Requests that failed by a simulated fault.
    pub failed: u64,
    /// Streams that were admitted to a slot.
    pub started: u64,
    /// Streams whose answer was generated completely.
    pub finished: u64,
    /// Streams whose caller disconnected before the end.
    pub cancelled: u64,
    /// Streams that a simulated fault broke off.
    pub broken: u64,
    /// Generated tokens.
    pub tokens: u64,
    /// Steps of the batch.
    pub steps: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
    /// Streams that currently hold a slot.
    pub running: usize,
    /// Streams that currently wait for a slot.
    pub waiting: usize,
    /// Numbers of the executed orders, in order of execution.
    pub orders: Vec<u64>,
    /// Number of requests by key, which is the header `x-request-key`, the query parameter `key` or
    /// the body field `user`.
    pub keys: std::collections::BTreeMap<Arc<str>, u64>,
}

impl Engine {
    /// Starts the engine and its announcements. Must be called on a tokio runtime.
    ///
    /// # Errors
    /// `Io` if the address cannot be used.
    pub async fn start(
        settings: emulator::Settings,
        log: &slog::Logger,
    ) -> Result<Engine, errors::Error> {
        let shared = Arc::new(Shared {
            injector: host::FaultInjector::new(settings.faults.clone()),
            control: Mutex::new(Control {
                models: settings.models.clone(),
                orders: orders::Executor::new(settings.fencing),
            }),
            batch: Mutex::new(batch::Batch::new(&settings)),
            submitted: Notify::new(),
            load_report: Mutex::new(LoadReport { slots: settings.slots, ..LoadReport::default() }),
            stopping: Mutex::new(None),
            settings,
        });
        let announced = shared.clone();
        let announcement = move |address| host::Announcement {
            name: announced.settings.name.clone(),
            kind: "engine",
            address,
            models: host::lock(&announced.control).models.clone(),
            slots: announced.settings.slots,
            fencing: announced.settings.fencing,
        };
        let (address, agent) = (shared.settings.address, shared.settings.agent);
        let router = router(shared.clone());
        let server = host::EndpointServer::start(address, agent, router, announcement, log).await?;
        *host::lock(&shared.stopping) = Some(server.stopping());
        let tasks = [
            tokio::spawn(run_steps(shared.clone())),
            tokio::spawn(refresh_load_report(shared.clone())),
        ];
        Ok(Engine { server, shared, tasks })
    }

    /// Returns the address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Returns the statistics since the start.
    pub fn stats(&self) -> Stats {
        self.shared.stats()
    }

    /// Replaces the simulated faults.
    pub fn set_faults(&self, faults: emulator::Faults) {
        self.shared.injector.set_faults(faults);
    }

    /// Withdraws from the agent, then refuses new requests and waits up to `limit` for the running
    /// ones. Returns whether every request has finished.
    pub async fn stop(mut self, limit: Duration) -> bool {
        self.server.stop(limit).await
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.tasks.iter().for_each(task::JoinHandle::abort);
    }
}

impl Shared {
    fn is_stopping(&self) -> bool {
        host::lock(&self.stopping).as_ref().is_some_and(|stop| *stop.borrow())
    }

    fn stats(&self) -> Stats {
        let (requests, failed, keys) = self.injector.counters();
        let orders = host::lock(&self.control).orders.executed.clone();
        let batch = host::lock(&self.batch);
        Stats {
            requests,
            failed,
            started: batch.counters.started,
            finished: batch.counters.finished,
            cancelled: batch.counters.cancelled,
            broken: batch.counters.broken,
            tokens: batch.counters.tokens,
            steps: batch.counters.steps,
            cached: batch.counters.cached,
            running: batch.running(),
            waiting: batch.waiting(),
            orders,
            keys: keys.iter().map(|(key, count)| (key.clone(), *count)).collect(),
        }
    }
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", routing::post(chat))
        .route("/v1/completions", routing::post(completions))
        .route("/v1/models", routing::get(models))
        .route("/load", routing::get(load_report))
        .route("/orders", routing::post(execute_order))
        .route("/stats", routing::get(stats))
        .route("/faults", routing::post(set_faults))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(shared)
}

/// Runs steps while there are streams, and otherwise waits for one.
async fn run_steps(shared: Arc<Shared>) {
    let mut due = time::Instant::now();
    loop {
        if shared.injector.is_frozen() {
            time::sleep(FROZEN_POLL_INTERVAL).await;
            due = time::Instant::now();
            continue;
        }
        let step = host::lock(&shared.batch).begin_step();
        let Some(step) = step else {
            shared.submitted.notified().await;
            due = time::Instant::now();
            continue;
        };
        // Timers fire up to 1 ms late, so each step is scheduled from the previous due time to keep
        // the rate. The loop does not catch up if it is late by more than a step.
        due = (due + step).max(time::Instant::now());
        time::sleep_until(due).await;
        host::lock(&shared.batch).end_step();
    }
}

/// Updates the load report only at intervals, so that it is stale like that of a real engine.
async fn refresh_load_report(shared: Arc<Shared>) {
    let mut ticks = time::interval(shared.settings.load_interval.max(Duration::from_millis(1)));
    loop {
        ticks.tick().await;
        let load = {
            let batch = host::lock(&shared.batch);
            LoadReport {
                running: batch.running(),
                waiting: batch.waiting(),
                slots: shared.settings.slots,
                cached_blocks: batch.cached_blocks(),
            }
        };
        *host::lock(&shared.load_report) = load;
    }
}

async fn chat(
    State(shared): State<Arc<Shared>>,
    RawQuery(query): RawQuery,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    complete_request(&shared, api::CompletionKind::Chat, query.as_deref(), &headers, &body).await
}

async fn completions(
    State(shared): State<Arc<Shared>>,
    RawQuery(query): RawQuery,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    complete_request(&shared, api::CompletionKind::Text, query.as_deref(), &headers, &body).await
}

async fn complete_request(
    shared: &Shared,
    kind: api::CompletionKind,
    query: Option<&str>,
    headers: &HeaderMap,
    body: &[u8],
) -> Response {
    if shared.is_stopping() {
        return stopping_response();
    }
    let request = match api::Request::parse(kind, body) {
        Ok(request) => request,
        Err(message) => return host::error_response(StatusCode::BAD_REQUEST, &message),
    };
    if !host::lock(&shared.control).models.contains(&request.model) {
        return host::error_response(StatusCode::NOT_FOUND, "the model is not loaded");
    }
    let prompt = request.prompt(kind);
    let key = host::request_key(headers, query).or_else(|| request.user.clone());
    let stream_faults = match shared.injector.admit(key.as_deref(), &prompt) {
        Ok(stream_faults) => stream_faults,
        Err(status) => return host::error_response(status, "simulated failure"),
    };
    let answer = submit(shared, kind, &request, &prompt, stream_faults);
    if request.stream { answer.into_event_stream() } else { answer.into_json().await }
}

fn submit(
    shared: &Shared,
    kind: api::CompletionKind,
    request: &api::Request,
    prompt: &str,
    stream_faults: host::StreamFaults,
) -> api::Answer {
    let (sender, events) = mpsc::unbounded_channel();
    let start = request.resume.as_ref().map_or(0, |resume| resume.tokens);
    let prompt_tokens = text::prompt_tokens(prompt);
    let stream = batch::Stream {
        seed: text::seed(&request.model, prompt),
        blocks: text::blocks(&request.model, prompt),
        prefill_left: prompt_tokens.saturating_add(start),
        position: start,
        end: request.answer_tokens(),
        stall_at: stream_faults.stall_after.map(|count| start.saturating_add(count)),
        break_at: stream_faults.break_after.map(|count| start.saturating_add(count)),
        events: sender,
    };
    host::lock(&shared.batch).submit(stream);
    shared.submitted.notify_one();
    let id = format!("cmpl-{}-{}", shared.settings.name, shared.injector.requests());
    api::Answer::new(id, kind, request, prompt_tokens, events)
}

fn stopping_response() -> Response {
    let mut response =
        host::error_response(StatusCode::SERVICE_UNAVAILABLE, "the engine is stopping");
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

async fn models(State(shared): State<Arc<Shared>>) -> Response {
    let models = host::lock(&shared.control).models.clone();
    let data: Vec<_> = models
        .iter()
        .map(|id| json!({"id": id, "object": "model", "created": 0, "owned_by": "emulator"}))
        .collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn load_report(State(shared): State<Arc<Shared>>) -> Response {
    Json(*host::lock(&shared.load_report)).into_response()
}

async fn execute_order(
    State(shared): State<Arc<Shared>>,
    Json(order): Json<orders::Order>,
) -> Response {
    let number = order.number;
    let outcome = {
        let control = &mut *host::lock(&shared.control);
        control.orders.execute(order, &mut control.models)
    };
    match outcome {
        orders::Outcome::Done => Json(json!({"number": number})).into_response(),
        orders::Outcome::Stale { last } => {
            let message = format!("order {number} is older than order {last}");
            host::error_response(StatusCode::CONFLICT, &message)
        }
        orders::Outcome::Invalid(message) => host::error_response(StatusCode::BAD_REQUEST, message),
    }
}

async fn stats(State(shared): State<Arc<Shared>>) -> Response {
    Json(shared.stats()).into_response()
}

async fn set_faults(
    State(shared): State<Arc<Shared>>,
    Json(faults): Json<emulator::Faults>,
) -> StatusCode {
    shared.injector.set_faults(faults);
    StatusCode::NO_CONTENT
}

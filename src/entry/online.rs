//! HTTP API for online requests: completions, models and plain services.

use crate::catalog;
use crate::entry;
use crate::entry::attempt;
use crate::entry::auth;
use crate::entry::refusal;
use crate::event;
use crate::events;
use crate::wire;
use axum::Json;
use axum::body;
use axum::extract;
use axum::http;
use axum::http::header;
use axum::response::IntoResponse as _;
use axum::response::Response;
use bytes::Bytes;
use futures_util::StreamExt as _;
use serde_json::Value;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;
use xxhash_rust::xxh3;

/// Request header that marks a request as not idempotent if its value is `no`.
const IDEMPOTENT_HEADER: &str = "basilfield-idempotent";
/// Request header with the time in milliseconds within which the answer must start.
const DEADLINE_HEADER: &str = "basilfield-deadline-ms";
/// Deadline if neither the caller nor the assistant sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Number of leading bytes of a prompt that are hashed for prefix affinity.
const PREFIX_BYTES: usize = 512;
/// Number of parts of a streamed answer that are buffered.
const STREAM_BUFFER: usize = 16;

/// `POST /v1/chat/completions`.
pub async fn chat(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response {
    run_completion(entry, headers, body, "/v1/chat/completions").await
}

/// `POST /v1/completions`.
pub async fn completions(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response {
    run_completion(entry, headers, body, "/v1/completions").await
}

/// `GET /v1/models`: lists the workspace's assistants and their models.
pub async fn models(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
) -> Response {
    let workspace = match authenticate(&entry, &headers) {
        Ok(workspace) => workspace,
        Err(response) => return response,
    };
    let names = entry.follower.read(|c| model_names(c, &workspace.name));
    let list: Vec<Value> =
        names.iter().map(|n| json!({ "id": n, "object": "model", "owned_by": "fleet" })).collect();
    Json(json!({ "object": "list", "data": list })).into_response()
}

/// `ANY /services/SERVICE/PATH`: forwards a call to a plain service.
pub async fn service(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path((service, path)): extract::Path<(String, String)>,
    request: extract::Request,
) -> Response {
    let (parts, body) = request.into_parts();
    let workspace = match authenticate(&entry, &parts.headers) {
        Ok(workspace) => workspace,
        Err(response) => return response,
    };
    let Ok(body) = body::to_bytes(body, wire::MAX_FRAME / 2).await else {
        return refusal::invalid("the body is too long or was cut off");
    };
    let deadline = match deadline(&parts.headers, None) {
        Ok(deadline) => deadline,
        Err(response) => return response,
    };
    let path = format!("/{path}");
    let repeatable = entry.follower.read(|c| is_repeatable(c, &service, &path));
    let idempotent = repeatable && !is_non_idempotent(&parts.headers);
    let query = parts.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    let content_type = content_type(&parts.headers);
    let call = attempt::Call {
        workspace: workspace.name.clone(),
        target: wire::Target::Service(service.into()),
        method: parts.method.as_str().into(),
        path: format!("{path}{query}").into(),
        content_type,
        body,
        stream: false,
        idempotent,
        deadline,
        prefix_hash: 0,
    };
    run(entry, workspace, &parts.headers, call).await
}

async fn run_completion(
    entry: entry::Entry,
    headers: http::HeaderMap,
    body: Bytes,
    path: &'static str,
) -> Response {
    let workspace = match authenticate(&entry, &headers) {
        Ok(workspace) => workspace,
        Err(response) => return response,
    };
    let mut value: Value = match serde_json::from_slice(&body) {
        Ok(value) => value,
        Err(e) => return refusal::invalid(format!("the body is not valid JSON: {e}")),
    };
    let Some(name) = value["model"].as_str().map(str::to_string) else {
        return refusal::invalid("the field `model` is missing");
    };
    let assistant = entry.follower.read(|c| find_assistant(c, &workspace.name, &name));
    let mut model: Arc<str> = name.into();
    let mut limit = None;
    if let Some(assistant) = &assistant {
        model = assistant.model.clone();
        limit = Some(Duration::from_millis(assistant.deadline));
        apply_assistant(&mut value, assistant);
    }
    let deadline = match deadline(&headers, limit) {
        Ok(deadline) => deadline,
        Err(response) => return response,
    };
    let text = value.to_string();
    let call = attempt::Call {
        workspace: workspace.name.clone(),
        target: wire::Target::Model(model),
        method: "POST".into(),
        path: path.into(),
        content_type: "application/json".into(),
        stream: value["stream"].as_bool().unwrap_or(false),
        idempotent: !is_non_idempotent(&headers),
        deadline,
        prefix_hash: prefix_hash(&value),
        body: text.into(),
    };
    run(entry, workspace, &headers, call).await
}

/// Names of the workspace's assistants and of their models, sorted and without duplicates.
fn model_names(catalog: &catalog::Catalog, workspace: &str) -> Vec<Arc<str>> {
    let assistants = catalog.config().of_kind(catalog::Kind::Assistant);
    let own = assistants.filter_map(|stored| match &stored.document.body {
        catalog::Body::Assistant(a) if *a.workspace == *workspace => Some(a),
        _ => None,
    });
    let mut names: Vec<Arc<str>> = own.flat_map(|a| [a.name.clone(), a.model.clone()]).collect();
    names.sort();
    names.dedup();
    names
}

fn find_assistant(
    catalog: &catalog::Catalog,
    workspace: &str,
    name: &str,
) -> Option<catalog::documents::Assistant> {
    let stored = catalog.config().get(&catalog::Name::new(catalog::Kind::Assistant, name))?;
    match &stored.document.body {
        catalog::Body::Assistant(a) if *a.workspace == *workspace => Some(a.clone()),
        _ => None,
    }
}

/// Whether a call to a service may be run more than once. Calls to a service without a document are
/// never repeated, because its paths that must not run twice are unknown.
fn is_repeatable(catalog: &catalog::Catalog, service: &str, path: &str) -> bool {
    catalog
        .config()
        .service(service)
        .is_some_and(|s| !s.paths.iter().any(|p| path.starts_with(&**p)))
}

/// Applies the model, token limit and prompt of an assistant to a request.
fn apply_assistant(value: &mut Value, assistant: &catalog::documents::Assistant) {
    value["model"] = Value::from(&*assistant.model);
    let asked = value["max_tokens"].as_u64().unwrap_or(u64::from(assistant.tokens));
    value["max_tokens"] = asked.min(u64::from(assistant.tokens)).into();
    if assistant.prompt.is_empty() {
        return;
    }
    if let Some(messages) = value["messages"].as_array_mut() {
        messages.insert(0, json!({ "role": "system", "content": &*assistant.prompt }));
    }
}

/// Hashes the start of the prompt, so that prompts with the same start use the same prefix cache.
fn prefix_hash(value: &Value) -> u64 {
    let prompt = match value["messages"].as_array() {
        Some(messages) => messages.iter().map(|m| m["content"].to_string()).collect(),
        None => value["prompt"].to_string(),
    };
    let bytes = prompt.as_bytes();
    xxh3::xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

async fn run(
    entry: entry::Entry,
    workspace: Arc<catalog::documents::Workspace>,
    headers: &http::HeaderMap,
    call: attempt::Call,
) -> Response {
    if let Err(refusal) = entry.check_ready() {
        return refuse(&entry, refusal);
    }
    let admission = match entry.admit(&workspace.name) {
        Ok(admission) => admission,
        Err(refusal) => return refuse(&entry, refusal),
    };
    let running = entry.running.enter();
    let started = time::Instant::now();
    let key = headers.get("idempotency-key").and_then(|v| v.to_str().ok());
    let answered = match (call.idempotent, key) {
        (false, Some(key)) => entry::claims::run(&entry, key, call).await,
        _ => attempt::run(&entry, call).await,
    };
    entry.metrics.record_latency("first", started.elapsed());
    match answered {
        Ok(attempt::Answer::Buffered { status, content_type, body }) => {
            entry.metrics.count_request("online", "whole");
            drop((admission, running));
            let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
            (status, [(header::CONTENT_TYPE, content_type.to_string())], body).into_response()
        }
        Ok(attempt::Answer::Stream { content_type, parts }) => {
            entry.metrics.count_request("online", "stream");
            let parts = stream_body(entry, parts, (admission, running));
            ([(header::CONTENT_TYPE, content_type.to_string())], parts).into_response()
        }
        Err(refusal) => refuse(&entry, refusal),
    }
}

/// Creates the body of a streamed answer. After a failure, the body ends with an error event and
/// without the stream's last event, so that a truncated answer is never mistaken for a complete
/// one. `guards` is dropped when the stream ends.
fn stream_body<H: Send + 'static>(
    entry: entry::Entry,
    mut parts: mpsc::Receiver<Result<Bytes, attempt::Refusal>>,
    guards: H,
) -> body::Body {
    let (sender, receiver) =
        mpsc::channel::<Result<Bytes, std::convert::Infallible>>(STREAM_BUFFER);
    tokio::spawn(async move {
        while let Some(part) = parts.recv().await {
            let data = match part {
                Ok(data) => data,
                Err(refusal) => {
                    entry.record_refusal(&refusal);
                    Bytes::from(format!("event: error\ndata: {}\n\n", refusal::body(&refusal)))
                }
            };
            if sender.send(Ok(data)).await.is_err() {
                break;
            }
        }
        drop(guards);
    });
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|part| (part, receiver))
    });
    body::Body::from_stream(stream.boxed())
}

/// Records the refusal of an online request and converts it to a response.
fn refuse(entry: &entry::Entry, refusal: attempt::Refusal) -> Response {
    entry.record_refusal(&refusal);
    entry.metrics.count_request("online", "refused");
    refusal.into_response()
}

/// Authenticates a caller by key. Returns the caller's workspace.
pub fn authenticate(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
) -> Result<Arc<catalog::documents::Workspace>, Response> {
    let workspace = entry.follower.read(|c| auth::workspace(c, headers).cloned().map(Arc::new));
    workspace.ok_or_else(|| {
        event!(entry.log, events::UNAUTHORIZED; "kind" => "caller");
        entry.metrics.count_refusal("unauthorized", "no");
        // While the local copy is outdated, a key that was just added is unknown to it.
        match entry.check_ready() {
            Ok(()) => refusal::rejected(
                http::StatusCode::UNAUTHORIZED,
                "unauthorized",
                "no workspace has this key; send it as `Authorization: Bearer KEY`",
            ),
            Err(refusal) => refusal.into_response(),
        }
    })
}

/// Whether the caller has marked the request as not idempotent.
fn is_non_idempotent(headers: &http::HeaderMap) -> bool {
    headers.get(IDEMPOTENT_HEADER).is_some_and(|v| v == "no")
}

fn content_type(headers: &http::HeaderMap) -> Arc<str> {
    let value = headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    value.unwrap_or("application/octet-stream").into()
}

/// Returns the caller's deadline, else `limit` or the default from now on.
fn deadline(headers: &http::HeaderMap, limit: Option<Duration>) -> Result<time::Instant, Response> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(time::Instant::now() + limit.unwrap_or(DEFAULT_DEADLINE));
    };
    let asked = value.to_str().ok().and_then(|v| v.parse().ok()).map(Duration::from_millis);
    match asked {
        Some(asked) if asked <= MAX_DEADLINE => Ok(time::Instant::now() + asked),
        _ => Err(refusal::invalid(format!(
            "{DEADLINE_HEADER} must be a number of milliseconds up to {}",
            MAX_DEADLINE.as_millis()
        ))),
    }
}

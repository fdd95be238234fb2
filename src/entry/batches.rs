//! Batch jobs of callers: upload, seal, status, results and cancellation.
//!
//! A job is uploaded in chunks of JSON lines in the shape of the OpenAI batch API and accepted by
//! its seal. Every step is idempotent by the caller's key, so an interrupted upload goes on.

use crate::catalog;
use crate::entry;
use crate::entry::online;
use crate::entry::refusal;
use crate::event;
use crate::events;
use crate::jobs;
use axum::Json;
use axum::extract;
use axum::http;
use axum::http::header;
use axum::response::IntoResponse as _;
use axum::response::Response;
use axum::routing;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the state hosts.
const STATE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most items in one chunk.
pub const CHUNK_ITEMS: usize = 1_000;
/// Most items of one job.
const MAX_ITEMS: u32 = 200_000;
/// Results in one page at most. A page also ends early when its bodies are large.
const PAGE: u32 = 1_000;
/// Longest due time of a job: 30 days, in milliseconds.
pub const MAX_DUE: u64 = 30 * 86_400_000;
/// Due time of jobs without one: a day, in milliseconds.
const DEFAULT_DUE: u64 = 86_400_000;
/// Path that items may name.
const ITEM_URL: &str = "/v1/chat/completions";

/// Routes of the job API.
pub fn routes() -> axum::Router<entry::Entry> {
    axum::Router::new()
        .route("/v1/jobs", routing::post(open).get(list))
        .route("/v1/jobs/{job}", routing::get(status))
        .route("/v1/jobs/{job}/items", routing::post(upload))
        .route("/v1/jobs/{job}/seal", routing::post(seal))
        .route("/v1/jobs/{job}/cancel", routing::post(cancel))
        .route("/v1/jobs/{job}/results", routing::get(results))
}

/// Body of `POST /v1/jobs`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Open {
    /// The caller's key: the same key never starts a second job.
    key: Option<Arc<str>>,
    /// xxh3-64 of the whole content, in hexadecimal.
    digest: String,
    /// Batch plan of the workspace, or a model.
    model: Arc<str>,
    /// Time in milliseconds within which the job is due.
    due: Option<u64>,
    /// Number of items.
    total: u32,
}

#[derive(Debug, Deserialize)]
struct Upload {
    seq: u32,
}

#[derive(Debug, Deserialize)]
struct Page {
    #[serde(default)]
    from: u32,
    limit: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct After {
    after: Option<Arc<str>>,
    limit: Option<u32>,
}

#[derive(Debug, Default, Deserialize)]
struct Cancel {
    id: Option<Arc<str>>,
}

async fn open(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    Json(open): Json<Open>,
) -> Response {
    let workspace = match begin(&entry, &headers) {
        Ok(workspace) => workspace,
        Err(response) => return response,
    };
    let Some(key) = open.key.filter(|k| !k.is_empty() && k.len() <= 256) else {
        return refusal::invalid(
            "the field `key` is missing or not 1 to 256 bytes long: without a key, a job that \
             is sent again after a lost answer would run twice",
        );
    };
    let Ok(digest) = u64::from_str_radix(&open.digest, 16) else {
        return refusal::invalid("`digest` must be the xxh3-64 of the content in hexadecimal");
    };
    if open.total == 0 || open.total > MAX_ITEMS {
        return refusal::invalid(format!("`total` must be from 1 to {MAX_ITEMS}"));
    }
    let plan = entry.follower.read(|c| plan(c, &workspace.name, &open.model));
    let due = open.due.or(plan.as_ref().map(|p| p.due)).unwrap_or(DEFAULT_DUE);
    if due > MAX_DUE {
        return refusal::invalid(format!("`due` must be at most {MAX_DUE} ms"));
    }
    let command = jobs::Command::Open {
        workspace: workspace.name.clone(),
        key: key.clone(),
        digest,
        model: plan.map(|p| p.model).unwrap_or(open.model),
        due,
        total: open.total,
    };
    let group = jobs::group_of(&workspace.name, &key, entry.client.groups());
    match propose(&entry, group, &command).await {
        Ok(jobs::Reply::Opened { job, state, next }) => {
            Json(json!({ "job": &*job, "state": state_name(state), "next": next })).into_response()
        }
        Ok(reply) => unexpected(reply),
        Err(response) => response,
    }
}

async fn upload(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    extract::Query(upload): extract::Query<Upload>,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response {
    let (workspace, group, status) = match owned(&entry, &headers, &job).await {
        Ok(owned) => owned,
        Err(response) => return response,
    };
    let plans = entry.follower.read(|c| plans(c, &workspace.name));
    let items = match parse_items(&body, &status.model, &plans) {
        Ok(items) => items,
        Err(message) => return refusal::invalid(message),
    };
    let command = jobs::Command::Chunk { job: job.into(), seq: upload.seq, items };
    match propose(&entry, group, &command).await {
        Ok(jobs::Reply::Next { next }) => Json(json!({ "next": next })).into_response(),
        Ok(reply) => unexpected(reply),
        Err(response) => response,
    }
}

/// Batch plans of a workspace.
fn plans(catalog: &catalog::Catalog, workspace: &str) -> Vec<catalog::documents::BatchPlan> {
    let all = catalog.config().kind(catalog::Kind::BatchPlan);
    let own = all.filter_map(|stored| match &stored.document.body {
        catalog::Body::BatchPlan(p) if *p.workspace == *workspace => Some(p.clone()),
        _ => None,
    });
    own.collect()
}

fn plan(
    catalog: &catalog::Catalog,
    workspace: &str,
    name: &str,
) -> Option<catalog::documents::BatchPlan> {
    let stored = catalog.config().get(&catalog::Name::new(catalog::Kind::BatchPlan, name))?;
    match &stored.document.body {
        catalog::Body::BatchPlan(p) if *p.workspace == *workspace => Some(p.clone()),
        _ => None,
    }
}

/// Parses a chunk of JSON lines. Errors name the line within the chunk.
fn parse_items(
    body: &[u8],
    model: &str,
    plans: &[catalog::documents::BatchPlan],
) -> Result<Vec<jobs::message::NewItem>, String> {
    let text = std::str::from_utf8(body).map_err(|_| "the chunk is not valid UTF-8")?;
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
    let items: Result<Vec<jobs::message::NewItem>, String> = lines
        .map(|(at, line)| {
            parse_item(line, model, plans).map_err(|e| format!("line {}: {e}", at + 1))
        })
        .collect();
    let items = items?;
    if items.is_empty() || items.len() > CHUNK_ITEMS {
        return Err(format!("a chunk must have 1 to {CHUNK_ITEMS} items, not {}", items.len()));
    }
    Ok(items)
}

fn parse_item(
    line: &str,
    model: &str,
    plans: &[catalog::documents::BatchPlan],
) -> Result<jobs::message::NewItem, String> {
    let mut value: Value =
        serde_json::from_str(line).map_err(|e| format!("not valid JSON: {e}"))?;
    let custom = match value["custom_id"].as_str() {
        Some(custom) if !custom.is_empty() => Arc::from(custom),
        _ => return Err("the field `custom_id` is missing".into()),
    };
    if let Some(url) = value["url"].as_str().filter(|u| *u != ITEM_URL) {
        return Err(format!("`url` is {url:?}; only {ITEM_URL:?} can be run in batch"));
    }
    let mut body = value["body"].take();
    if !body.is_object() {
        return Err("the field `body` is missing or not an object".into());
    }
    let named = body["model"].as_str().unwrap_or(model).to_string();
    let plan = plans.iter().find(|p| *p.name == *named);
    let resolved = plan.map(|p| &*p.model).unwrap_or(&named);
    if resolved != model {
        return Err(format!("the model is {named:?}; every item of this job needs {model:?}"));
    }
    if let Some(plan) = plan {
        let most = u64::from(plan.tokens);
        let asked = body["max_tokens"].as_u64().unwrap_or(most);
        body["max_tokens"] = asked.min(most).into();
    }
    body["model"] = model.into();
    Ok(jobs::message::NewItem { custom, body: body.to_string().into() })
}

async fn seal(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    headers: http::HeaderMap,
) -> Response {
    let (workspace, group, _) = match owned(&entry, &headers, &job).await {
        Ok(owned) => owned,
        Err(response) => return response,
    };
    let command = jobs::Command::Seal { job: job.as_str().into() };
    match propose(&entry, group, &command).await {
        Ok(jobs::Reply::Sealed { total }) => {
            event!(entry.log, events::JOB_ACCEPTED; "job" => &job, "items" => total,
                "workspace" => &*workspace.name);
            Json(json!({ "job": job, "state": "accepted", "total": total })).into_response()
        }
        Ok(reply) => unexpected(reply),
        Err(response) => response,
    }
}

async fn cancel(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response {
    let (_, group, _) = match owned(&entry, &headers, &job).await {
        Ok(owned) => owned,
        Err(response) => return response,
    };
    let cancel: Cancel = match body.is_empty() {
        true => Cancel::default(),
        false => match serde_json::from_slice(&body) {
            Ok(cancel) => cancel,
            Err(e) => return refusal::invalid(format!("the body is not valid: {e}")),
        },
    };
    let id = cancel.id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()).into());
    let command = jobs::Command::Cancel { job: job.as_str().into(), id };
    match propose(&entry, group, &command).await {
        Ok(jobs::Reply::Cancelled { id }) => {
            event!(entry.log, events::JOB_CANCELLED; "job" => &job, "id" => &*id);
            Json(json!({ "job": job, "state": "cancelled", "id": &*id })).into_response()
        }
        Ok(reply) => unexpected(reply),
        Err(response) => response,
    }
}

async fn status(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    headers: http::HeaderMap,
) -> Response {
    match owned(&entry, &headers, &job).await {
        Ok((_, _, status)) => Json(status_json(&status)).into_response(),
        Err(response) => response,
    }
}

async fn list(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Query(page): extract::Query<After>,
    headers: http::HeaderMap,
) -> Response {
    let workspace = match begin(&entry, &headers) {
        Ok(workspace) => workspace,
        Err(response) => return response,
    };
    let limit = page.limit.unwrap_or(100).min(PAGE);
    let mut all = Vec::new();
    let mut more = false;
    for group in 1..=entry.client.groups() {
        let query = jobs::Query::Jobs {
            workspace: workspace.name.clone(),
            after: page.after.clone(),
            limit,
        };
        match ask(&entry, group, &query).await {
            Ok(jobs::Answer::Jobs { jobs, more: rest }) => {
                all.extend(jobs);
                more |= rest;
            }
            Ok(_) => return unexpected(jobs::Reply::Refused(jobs::Refusal::Undecodable)),
            Err(response) => return response,
        }
    }
    // Each group answers in order of job names; the page is cut in the same order.
    all.sort_by(|a, b| a.job.cmp(&b.job));
    let cut = usize::try_from(limit).unwrap_or(usize::MAX);
    more |= all.len() > cut;
    all.truncate(cut);
    let jobs: Vec<Value> = all.iter().map(status_json).collect();
    Json(json!({ "jobs": jobs, "more": more })).into_response()
}

async fn results(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    extract::Query(page): extract::Query<Page>,
    headers: http::HeaderMap,
) -> Response {
    let (_, group, _) = match owned(&entry, &headers, &job).await {
        Ok(owned) => owned,
        Err(response) => return response,
    };
    let limit = page.limit.unwrap_or(PAGE).min(PAGE);
    let query = jobs::Query::Results { job: job.as_str().into(), from: page.from, limit };
    match ask(&entry, group, &query).await {
        Ok(jobs::Answer::Results { items, next, .. }) => {
            let lines: Vec<String> = items.iter().map(result_line).collect();
            let next = next.map(|n| n.to_string()).unwrap_or_default();
            let headers = [
                (header::CONTENT_TYPE.as_str(), "application/jsonl".to_string()),
                (NEXT_HEADER, next),
            ];
            (headers, lines.concat()).into_response()
        }
        Ok(jobs::Answer::Refused(refusal)) => refused(&refusal),
        Ok(_) => unexpected(jobs::Reply::Refused(jobs::Refusal::Undecodable)),
        Err(response) => response,
    }
}

/// Header with the item at which the next page of results begins; empty on the last page.
pub const NEXT_HEADER: &str = "basilfield-next";

/// Result of an item as a line in the shape of the OpenAI batch API.
fn result_line(item: &jobs::message::ItemResult) -> String {
    let body: Value = serde_json::from_slice(&item.body)
        .unwrap_or_else(|_| Value::from(String::from_utf8_lossy(&item.body)));
    let (response, error) = match item.outcome {
        jobs::message::Outcome::Done => (json!({ "status_code": 200, "body": body }), Value::Null),
        jobs::message::Outcome::Failed => (Value::Null, body),
    };
    let line = json!({
        "id": item.item, "custom_id": &*item.custom, "response": response, "error": error,
    });
    format!("{line}\n")
}

fn status_json(status: &jobs::message::Status) -> Value {
    json!({
        "job": &*status.job,
        "key": &*status.key,
        "model": &*status.model,
        "state": state_name(status.state),
        "total": status.total,
        "queued": status.queued,
        "done": status.done,
        "failed": status.failed,
        "dropped": status.dropped,
        "cancel": status.cancel.as_deref(),
    })
}

fn state_name(state: jobs::message::JobState) -> &'static str {
    match state {
        jobs::message::JobState::Uploading => "uploading",
        jobs::message::JobState::Accepted => "accepted",
        jobs::message::JobState::Cancelled => "cancelled",
        jobs::message::JobState::Finished => "finished",
    }
}

/// Authenticates a caller and checks that the entry may accept new work.
fn begin(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
) -> Result<Arc<catalog::documents::Workspace>, Response> {
    let workspace = online::authenticate(entry, headers)?;
    entry.check_ready().map_err(|refusal| {
        entry.refused(&refusal);
        refusal.into_response()
    })?;
    Ok(workspace)
}

/// Finds a job and checks that it belongs to the caller's workspace.
async fn owned(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    job: &str,
) -> Result<(Arc<catalog::documents::Workspace>, u16, jobs::message::Status), Response> {
    // Reading one's own jobs does not depend on a fresh configuration.
    let workspace = online::authenticate(entry, headers)?;
    let missing = || refused(&jobs::Refusal::NotFound);
    let group = jobs::group_of_job(job, entry.client.groups()).ok_or_else(missing)?;
    match ask(entry, group, &jobs::Query::Job { job: job.into() }).await? {
        jobs::Answer::Job(status) if status.workspace == workspace.name => {
            Ok((workspace, group, status))
        }
        // A job of another workspace is not shown to exist.
        jobs::Answer::Job(_) => Err(missing()),
        jobs::Answer::Refused(refusal) => Err(refused(&refusal)),
        _ => Err(unexpected(jobs::Reply::Refused(jobs::Refusal::Undecodable))),
    }
}

async fn propose(
    entry: &entry::Entry,
    group: u16,
    command: &jobs::Command,
) -> Result<jobs::Reply, Response> {
    let applied = entry.client.propose(group, jobs::encode(command), STATE_TIMEOUT).await;
    let applied = applied.map_err(|e| {
        let refusal = refusal::from_state(&e);
        entry.refused(&refusal);
        refusal.into_response()
    })?;
    match jobs::Reply::decode(&applied.reply) {
        Ok(jobs::Reply::Refused(refusal)) => Err(refused(&refusal)),
        Ok(reply) => Ok(reply),
        Err(e) => Err(refusal::rejected(
            http::StatusCode::BAD_GATEWAY,
            "undecodable",
            format!("the state host's reply does not decode: {e}"),
        )),
    }
}

async fn ask(
    entry: &entry::Entry,
    group: u16,
    query: &jobs::Query,
) -> Result<jobs::Answer, Response> {
    let answer = entry.client.query(group, jobs::encode(query), STATE_TIMEOUT).await;
    let answer = answer.map_err(|e| refusal::from_state(&e).into_response())?;
    jobs::decode(&answer).map_err(|e| {
        let message = format!("the state host's answer does not decode: {e}");
        refusal::rejected(http::StatusCode::BAD_GATEWAY, "undecodable", message)
    })
}

fn refused(refusal: &jobs::Refusal) -> Response {
    let (status, code) = match refusal {
        jobs::Refusal::NotFound => (http::StatusCode::NOT_FOUND, "not_found"),
        jobs::Refusal::Gone { .. } => (http::StatusCode::GONE, "gone"),
        jobs::Refusal::Conflict { .. } => (http::StatusCode::CONFLICT, "conflict"),
        jobs::Refusal::Cancelled { .. } => (http::StatusCode::CONFLICT, "cancelled"),
        jobs::Refusal::Finished => (http::StatusCode::CONFLICT, "finished"),
        jobs::Refusal::Incomplete { .. } => (http::StatusCode::CONFLICT, "incomplete"),
        jobs::Refusal::NotAccepted => (http::StatusCode::CONFLICT, "not_accepted"),
        jobs::Refusal::Duplicate { .. } => (http::StatusCode::BAD_REQUEST, "duplicate"),
        jobs::Refusal::Invalid(_) | jobs::Refusal::Undecodable => {
            (http::StatusCode::BAD_REQUEST, "invalid")
        }
    };
    match refusal {
        jobs::Refusal::NotFound => {
            refusal::rejected(status, code, "the workspace of this key has no job of this name")
        }
        refusal => refusal::rejected(status, code, refusal),
    }
}

fn unexpected(reply: jobs::Reply) -> Response {
    let message = format!("unexpected reply of the state host: {reply:?}");
    refusal::rejected(http::StatusCode::BAD_GATEWAY, "unexpected", message)
}

//! HTTP API for batch jobs: upload, seal, status, results and cancellation.
//!
//! A job is uploaded in chunks of JSON lines in the format of the OpenAI batch API. Sealing accepts
//! it. Every step is idempotent by the caller's key, so an interrupted upload can be continued.

use crate::catalog;
use crate::entry;
use crate::entry::items;
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

/// Timeout of a request to the state hosts.
const STATE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of items in a job.
const MAX_ITEMS: u32 = 200_000;
/// Largest number of results or jobs in one page. A page of large results is shorter.
pub(super) const MAX_PAGE_SIZE: u32 = 1_000;
/// Longest due time of a job in milliseconds: 30 days.
pub const MAX_DUE_MS: u64 = 30 * 86_400_000;
/// Due time in milliseconds if neither the job nor its plan sets one: one day.
const DEFAULT_DUE_MS: u64 = 86_400_000;

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
    /// Idempotency key of the caller. A repeated key never starts a second job.
    key: Option<Arc<str>>,
    /// xxh3-64 hash of the whole content, in hexadecimal.
    digest: String,
    /// Batch plan of the workspace, or a model.
    model: Arc<str>,
    /// Time in milliseconds until the job is due.
    due: Option<u64>,
    /// Number of items.
    total: u32,
}

#[derive(Debug, Deserialize)]
struct UploadQuery {
    seq: u32,
}

#[derive(Debug, Deserialize)]
struct ResultsQuery {
    #[serde(default)]
    from: u32,
    limit: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct ListQuery {
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
    let workspace = match authenticate_when_ready(&entry, &headers) {
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
    let Open { model, due, total, .. } = open;
    let submission = Submission { key, digest, model, due, total };
    match open_job(&entry, &workspace.name, submission).await {
        Ok(OpenedJob { job, state, next }) => {
            Json(json!({ "job": &*job, "state": state_name(state), "next": next })).into_response()
        }
        Err(response) => response,
    }
}

/// Properties of a job to open; its items are uploaded later.
pub(super) struct Submission {
    /// Idempotency key.
    pub key: Arc<str>,
    /// xxh3-64 hash of the whole content.
    pub digest: u64,
    /// Batch plan of the workspace, or a model.
    pub model: Arc<str>,
    /// Time in milliseconds until the job is due; `None` for the due time of the plan.
    pub due: Option<u64>,
    /// Number of items.
    pub total: u32,
}

/// Job that was created or found for a submission.
pub(super) struct OpenedJob {
    /// Name of the job.
    pub job: Arc<str>,
    /// State of the job.
    pub state: jobs::message::JobState,
    /// Number of the next chunk to upload.
    pub next: u32,
}

/// Creates the job of a submission, or finds it if its key was used before.
pub(super) async fn open_job(
    entry: &entry::Entry,
    workspace: &Arc<str>,
    submission: Submission,
) -> Result<OpenedJob, Response> {
    let Submission { key, digest, model, due, total } = submission;
    if total == 0 || total > MAX_ITEMS {
        return Err(refusal::invalid(format!("`total` must be from 1 to {MAX_ITEMS}")));
    }
    let plan = entry.follower.read(|c| items::plan(c, workspace, &model));
    let due = due.or(plan.as_ref().map(|p| p.due)).unwrap_or(DEFAULT_DUE_MS);
    if due > MAX_DUE_MS {
        return Err(refusal::invalid(format!("`due` must be at most {MAX_DUE_MS} ms")));
    }
    let group = jobs::group_of(workspace, &key, entry.client.groups());
    let model = plan.map(|p| p.model).unwrap_or(model);
    let workspace = workspace.clone();
    let command = jobs::Command::Open { workspace, key, digest, model, due, total };
    match propose(entry, group, &command).await? {
        jobs::Reply::Opened { job, state, next } => Ok(OpenedJob { job, state, next }),
        reply => Err(unexpected_reply(reply)),
    }
}

async fn upload(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    extract::Query(upload): extract::Query<UploadQuery>,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response {
    let (workspace, group, status) = match find_owned_job(&entry, &headers, &job).await {
        Ok(owned) => owned,
        Err(response) => return response,
    };
    let plans = entry.follower.read(|c| items::plans(c, &workspace.name));
    let items = match items::parse_items(&body, &status.model, &plans) {
        Ok(items) => items,
        Err(message) => return refusal::invalid(message),
    };
    match add_chunk(&entry, group, job.into(), upload.seq, items).await {
        Ok(next) => Json(json!({ "next": next })).into_response(),
        Err(response) => response,
    }
}

/// Adds a chunk to a job that is being uploaded. Returns the number of the next chunk.
pub(super) async fn add_chunk(
    entry: &entry::Entry,
    group: u16,
    job: Arc<str>,
    seq: u32,
    items: Vec<jobs::message::NewItem>,
) -> Result<u32, Response> {
    let command = jobs::Command::Chunk { job, seq, items };
    match propose(entry, group, &command).await? {
        jobs::Reply::Next { next } => Ok(next),
        reply => Err(unexpected_reply(reply)),
    }
}

async fn seal(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    headers: http::HeaderMap,
) -> Response {
    let (workspace, group, _) = match find_owned_job(&entry, &headers, &job).await {
        Ok(owned) => owned,
        Err(response) => return response,
    };
    match seal_job(&entry, &workspace.name, group, &job).await {
        Ok(total) => {
            Json(json!({ "job": job, "state": "accepted", "total": total })).into_response()
        }
        Err(response) => response,
    }
}

/// Seals a job whose upload is complete, which accepts it. Returns the number of its items.
pub(super) async fn seal_job(
    entry: &entry::Entry,
    workspace: &str,
    group: u16,
    job: &str,
) -> Result<u32, Response> {
    match propose(entry, group, &jobs::Command::Seal { job: job.into() }).await? {
        jobs::Reply::Sealed { total } => {
            event!(entry.log, events::JOB_ACCEPTED; "job" => job, "items" => total,
                "workspace" => workspace);
            Ok(total)
        }
        reply => Err(unexpected_reply(reply)),
    }
}

async fn cancel(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response {
    let (_, group, _) = match find_owned_job(&entry, &headers, &job).await {
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
    match cancel_job(&entry, group, &job, cancel.id).await {
        Ok(id) => Json(json!({ "job": job, "state": "cancelled", "id": &*id })).into_response(),
        Err(response) => response,
    }
}

/// Cancels a job. Returns the id of its first cancellation.
pub(super) async fn cancel_job(
    entry: &entry::Entry,
    group: u16,
    job: &str,
    id: Option<Arc<str>>,
) -> Result<Arc<str>, Response> {
    let id = id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()).into());
    match propose(entry, group, &jobs::Command::Cancel { job: job.into(), id }).await? {
        jobs::Reply::Cancelled { id } => {
            event!(entry.log, events::JOB_CANCELLED; "job" => job, "id" => &*id);
            Ok(id)
        }
        reply => Err(unexpected_reply(reply)),
    }
}

async fn status(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    headers: http::HeaderMap,
) -> Response {
    match find_owned_job(&entry, &headers, &job).await {
        Ok((_, _, status)) => Json(status_json(&status)).into_response(),
        Err(response) => response,
    }
}

async fn list(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Query(page): extract::Query<ListQuery>,
    headers: http::HeaderMap,
) -> Response {
    let workspace = match authenticate_when_ready(&entry, &headers) {
        Ok(workspace) => workspace,
        Err(response) => return response,
    };
    let limit = page.limit.unwrap_or(100).clamp(1, MAX_PAGE_SIZE);
    match list_jobs(&entry, &workspace.name, page.after, limit).await {
        Ok((all, more)) => {
            let jobs: Vec<Value> = all.iter().map(status_json).collect();
            Json(json!({ "jobs": jobs, "more": more })).into_response()
        }
        Err(response) => response,
    }
}

/// Lists up to `limit` jobs of a workspace that follow the job `after`. Also returns whether there
/// are more.
///
/// Each group lists only its own jobs, the latest first. The groups are therefore listed one after
/// the other, starting with the group of `after`. In any other order, pages would skip jobs.
pub(super) async fn list_jobs(
    entry: &entry::Entry,
    workspace: &Arc<str>,
    mut after: Option<Arc<str>>,
    limit: u32,
) -> Result<(Vec<jobs::message::Status>, bool), Response> {
    let groups = entry.client.groups();
    let first = match &after {
        Some(job) => jobs::group_of_job(job, groups)
            .ok_or_else(|| refusal_response(&jobs::Refusal::NotFound))?,
        None => 1,
    };
    let most = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut all = Vec::new();
    for group in first..=groups {
        // One job more than the page holds is requested, to learn whether there are more.
        let limit = u32::try_from(most + 1 - all.len()).unwrap_or(u32::MAX);
        let query = jobs::Query::Jobs { workspace: workspace.clone(), after: after.take(), limit };
        let (jobs, more) = match query_state(entry, group, &query).await? {
            jobs::Answer::Jobs { jobs, more } => (jobs, more),
            jobs::Answer::Refused(refusal) => return Err(refusal_response(&refusal)),
            _ => return Err(unexpected_reply(jobs::Reply::Refused(jobs::Refusal::Undecodable))),
        };
        all.extend(jobs);
        if more || all.len() > most {
            all.truncate(most);
            return Ok((all, true));
        }
    }
    Ok((all, false))
}

async fn results(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(job): extract::Path<String>,
    extract::Query(page): extract::Query<ResultsQuery>,
    headers: http::HeaderMap,
) -> Response {
    let (_, group, _) = match find_owned_job(&entry, &headers, &job).await {
        Ok(owned) => owned,
        Err(response) => return response,
    };
    let limit = page.limit.unwrap_or(MAX_PAGE_SIZE).min(MAX_PAGE_SIZE);
    match results_page(&entry, group, &job, page.from, limit).await {
        Ok((items, next)) => {
            let lines: Vec<String> = items.iter().map(result_line).collect();
            let next = next.map(|n| n.to_string()).unwrap_or_default();
            let headers = [
                (header::CONTENT_TYPE.as_str(), "application/jsonl".to_string()),
                (NEXT_HEADER, next),
            ];
            (headers, lines.concat()).into_response()
        }
        Err(response) => response,
    }
}

/// Returns a page of results that starts at item `from`, and the first item of the next page.
pub(super) async fn results_page(
    entry: &entry::Entry,
    group: u16,
    job: &str,
    from: u32,
    limit: u32,
) -> Result<(Vec<jobs::message::ItemResult>, Option<u32>), Response> {
    let query = jobs::Query::Results { job: job.into(), from, limit };
    match query_state(entry, group, &query).await? {
        jobs::Answer::Results { items, next, .. } => Ok((items, next)),
        jobs::Answer::Refused(refusal) => Err(refusal_response(&refusal)),
        _ => Err(unexpected_reply(jobs::Reply::Refused(jobs::Refusal::Undecodable))),
    }
}

/// Response header with the first item of the next page of results; empty on the last page.
pub const NEXT_HEADER: &str = "basilfield-next";

/// Formats the result of an item as a line in the format of the OpenAI batch API.
pub(super) fn result_line(item: &jobs::message::ItemResult) -> String {
    let body: Value = serde_json::from_slice(&item.body)
        .unwrap_or_else(|_| Value::from(String::from_utf8_lossy(&item.body)));
    let (response, error) = match item.outcome {
        jobs::message::Outcome::Done => (json!({ "status_code": 200, "body": body }), Value::Null),
        jobs::message::Outcome::Failed => (Value::Null, body),
    };
    let line = json!({
        "id": item.item, "custom_id": &*item.custom_id, "response": response, "error": error,
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

/// Authenticates a caller and checks that the entry accepts new work.
pub(super) fn authenticate_when_ready(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
) -> Result<Arc<catalog::documents::Workspace>, Response> {
    let workspace = online::authenticate(entry, headers)?;
    entry.check_ready().map_err(|refusal| {
        entry.record_refusal(&refusal);
        refusal.into_response()
    })?;
    Ok(workspace)
}

/// Finds a job of the caller's workspace. Returns the workspace, the job's group and its status.
pub(super) async fn find_owned_job(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    job: &str,
) -> Result<(Arc<catalog::documents::Workspace>, u16, jobs::message::Status), Response> {
    // Callers may read their jobs even if the configuration is not confirmed to be current.
    let workspace = online::authenticate(entry, headers)?;
    let missing = || refusal_response(&jobs::Refusal::NotFound);
    let group = jobs::group_of_job(job, entry.client.groups()).ok_or_else(missing)?;
    match query_state(entry, group, &jobs::Query::Job { job: job.into() }).await? {
        jobs::Answer::Job(status) if status.workspace == workspace.name => {
            Ok((workspace, group, status))
        }
        // The response must not reveal that another workspace has this job.
        jobs::Answer::Job(_) => Err(missing()),
        jobs::Answer::Refused(refusal) => Err(refusal_response(&refusal)),
        _ => Err(unexpected_reply(jobs::Reply::Refused(jobs::Refusal::Undecodable))),
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
        entry.record_refusal(&refusal);
        refusal.into_response()
    })?;
    match jobs::Reply::decode(&applied.reply) {
        Ok(jobs::Reply::Refused(refusal)) => Err(refusal_response(&refusal)),
        Ok(reply) => Ok(reply),
        Err(e) => Err(refusal::rejected(
            http::StatusCode::BAD_GATEWAY,
            "undecodable",
            format!("the state host's reply does not decode: {e}"),
        )),
    }
}

async fn query_state(
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

/// Converts a refusal of a job command to a response.
pub(super) fn refusal_response(refusal: &jobs::Refusal) -> Response {
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

fn unexpected_reply(reply: jobs::Reply) -> Response {
    let message = format!("unexpected reply of the state host: {reply:?}");
    refusal::rejected(http::StatusCode::BAD_GATEWAY, "unexpected", message)
}

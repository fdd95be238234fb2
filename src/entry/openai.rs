//! OpenAI-compatible batch API, implemented with job commands.
//!
//! Uploading a file creates a job, and creating a batch from the file seals it. The header
//! `Idempotency-Key` is the key of the job. Job `J` appears as the file `file-J`, the batch
//! `batch_J` and, after it has ended, the files `output-J` with the answers and `errors-J` with the
//! errors.
//!
//! The state hosts have no wall clock, so `created_at` is 0 and the other times are absent.

use crate::entry;
use crate::entry::batches;
use crate::entry::items;
use crate::entry::refusal;
use crate::jobs;
use axum::Json;
use axum::body;
use axum::extract;
use axum::extract::multipart;
use axum::http;
use axum::http::header;
use axum::response::IntoResponse as _;
use axum::response::Response;
use axum::routing;
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use std::sync::Arc;
use xxhash_rust::xxh3;

/// Header with the idempotency key of a submission.
const KEY_HEADER: &str = "idempotency-key";
/// Largest length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Largest number of batches in one page.
const MAX_PAGE_SIZE: u32 = 100;
/// Number of batches in one page if the request sets no limit.
const DEFAULT_PAGE_SIZE: u32 = 20;
/// The only accepted `completion_window`. A batch plan may set an earlier due time.
const COMPLETION_WINDOW: &str = "24h";

/// Prefixes that turn the name of a job into the ids of its objects.
const FILE_PREFIX: &str = "file-";
const BATCH_PREFIX: &str = "batch_";
const OUTPUT_PREFIX: &str = "output-";
const ERRORS_PREFIX: &str = "errors-";

/// Routes of the OpenAI-compatible batch API.
pub fn routes() -> axum::Router<entry::Entry> {
    axum::Router::new()
        .route("/v1/files", routing::post(upload))
        .route("/v1/files/{id}/content", routing::get(content))
        .route("/v1/batches", routing::post(create).get(list))
        .route("/v1/batches/{id}", routing::get(show))
        .route("/v1/batches/{id}/cancel", routing::post(cancel))
}

/// Body of `POST /v1/batches`. Unknown fields are refused, because they would have no effect.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Create {
    input_file_id: String,
    endpoint: Option<String>,
    completion_window: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    after: Option<String>,
    limit: Option<u32>,
}

/// File in a multipart body.
struct UploadedFile {
    name: String,
    text: String,
}

/// Returns the idempotency key of a submission, or a refusal if it is missing or too long.
fn idempotency_key(headers: &http::HeaderMap) -> Result<Arc<str>, Response> {
    let key = headers.get(KEY_HEADER).and_then(|v| v.to_str().ok()).map(str::trim);
    match key {
        Some(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(key.into()),
        _ => Err(refusal::invalid(
            "the header Idempotency-Key is missing or not 1 to 256 bytes long: without a key, a \
             batch that is sent again after a lost answer would run twice",
        )),
    }
}

/// Returns the job name in an id such as `batch_J`.
fn job_from_id<'a>(id: &'a str, prefix: &str) -> Result<&'a str, Response> {
    id.strip_prefix(prefix).ok_or_else(|| {
        let message = format!("no object has the id {id:?}; an id of this kind begins {prefix:?}");
        refusal::rejected(http::StatusCode::NOT_FOUND, "not_found", message)
    })
}

async fn upload(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    form: Result<extract::Multipart, multipart::MultipartRejection>,
) -> Response {
    match accept_file(&entry, &headers, form).await {
        Ok(file) => Json(file).into_response(),
        Err(response) => response,
    }
}

async fn accept_file(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    form: Result<extract::Multipart, multipart::MultipartRejection>,
) -> Result<Value, Response> {
    let workspace = batches::authenticate_when_ready(entry, headers)?;
    let key = idempotency_key(headers)?;
    let form = form.map_err(|e| refusal::rejected(e.status(), "invalid", e.body_text()))?;
    let UploadedFile { name, text } = read_form(form).await?;
    let plans = entry.follower.read(|c| items::plans(c, &workspace.name));
    let named = first_model(&text).map_err(refusal::invalid)?;
    let model = plans.iter().find(|p| *p.name == *named).map_or(&*named, |p| &*p.model);
    let lines = items::parse_lines(&text, model, &plans).map_err(refusal::invalid)?;
    let total = u32::try_from(lines.len()).unwrap_or(u32::MAX);
    let digest = xxh3::xxh3_64(text.as_bytes());
    let submission = batches::Submission { key, digest, model: named, due: None, total };
    let opened = batches::open_job(entry, &workspace.name, submission).await?;
    let job = opened.job.clone();
    if opened.state == jobs::message::JobState::Uploading {
        add_items(entry, opened, lines).await?;
    }
    Ok(json!({
        "id": format!("{FILE_PREFIX}{job}"), "object": "file", "bytes": text.len(), "created_at": 0,
        "filename": name, "purpose": "batch",
    }))
}

/// Adds the chunks that an earlier upload under the same key has not added.
async fn add_items(
    entry: &entry::Entry,
    opened: batches::OpenedJob,
    lines: Vec<(usize, jobs::message::NewItem)>,
) -> Result<(), Response> {
    let missing = || batches::refusal_response(&jobs::Refusal::NotFound);
    let group = jobs::group_of_job(&opened.job, entry.client.groups()).ok_or_else(missing)?;
    for (seq, chunk) in (0..).zip(items::chunks(lines, |(length, _)| *length)) {
        if seq >= opened.next {
            let items = chunk.into_iter().map(|(_, item)| item).collect();
            batches::add_chunk(entry, group, opened.job.clone(), seq, items).await?;
        }
    }
    Ok(())
}

async fn read_form(mut form: extract::Multipart) -> Result<UploadedFile, Response> {
    let refuse =
        |e: multipart::MultipartError| refusal::rejected(e.status(), "invalid", e.body_text());
    let (mut purpose, mut file) = (None, None);
    while let Some(field) = form.next_field().await.map_err(refuse)? {
        match field.name().unwrap_or_default() {
            "purpose" => purpose = Some(field.text().await.map_err(refuse)?),
            "file" => {
                let name = field.file_name().unwrap_or("batch.jsonl").to_string();
                let text = String::from_utf8(field.bytes().await.map_err(refuse)?.to_vec());
                let text = text.map_err(|_| refusal::invalid("the file is not valid UTF-8"))?;
                file = Some(UploadedFile { name, text });
            }
            other => {
                let message = format!("the field {other:?} is not supported; send purpose, file");
                return Err(refusal::invalid(message));
            }
        }
    }
    if purpose.as_deref() != Some("batch") {
        return Err(refusal::invalid("the field `purpose` must be \"batch\""));
    }
    file.ok_or_else(|| refusal::invalid("the field `file` is missing"))
}

/// Returns the model of the first line. Every other line must have the same model.
fn first_model(text: &str) -> Result<Arc<str>, String> {
    let line = text.lines().find(|l| !l.trim().is_empty()).ok_or("the file has no requests")?;
    let value: Value =
        serde_json::from_str(line).map_err(|e| format!("line 1: not valid JSON: {e}"))?;
    let model =
        value["body"]["model"].as_str().ok_or("line 1: the field `body.model` is missing")?;
    Ok(model.into())
}

async fn content(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(id): extract::Path<String>,
    headers: http::HeaderMap,
) -> Response {
    let (prefix, outcome) = match &*id {
        id if id.starts_with(ERRORS_PREFIX) => (ERRORS_PREFIX, jobs::message::Outcome::Failed),
        id if id.starts_with(FILE_PREFIX) => {
            return refusal::invalid(
                "the content of an input file is kept as the items of its job and cannot be read \
                 back; read the output_file_id or error_file_id of the batch",
            );
        }
        _ => (OUTPUT_PREFIX, jobs::message::Outcome::Done),
    };
    let job = match job_from_id(&id, prefix) {
        Ok(job) => job.to_string(),
        Err(response) => return response,
    };
    let group = match batches::find_owned_job(&entry, &headers, &job).await {
        Ok((_, group, _)) => group,
        Err(response) => return response,
    };
    // The first page is read before the response starts, so that a refusal is sent with its status.
    let first = match results_page(&entry, group, &job, 0, outcome).await {
        Ok(first) => first,
        Err(response) => return response,
    };
    let pages = stream::try_unfold(Some(first), move |page_read| {
        let (entry, job) = (entry.clone(), job.clone());
        async move {
            let Some((bytes, next)) = page_read else { return Ok(None) };
            let following = match next {
                None => None,
                Some(from) => match results_page(&entry, group, &job, from, outcome).await {
                    Ok(following) => Some(following),
                    // Aborting the transfer shows the caller that the content is incomplete.
                    Err(_) => return Err(std::io::Error::other("cannot read the next results")),
                },
            };
            Ok(Some((bytes, following)))
        }
    });
    let headers = [(header::CONTENT_TYPE, "application/jsonl")];
    (headers, body::Body::from_stream(pages)).into_response()
}

/// Returns the lines of a page of results that have `outcome`, and the first item of the next page.
async fn results_page(
    entry: &entry::Entry,
    group: u16,
    job: &str,
    from: u32,
    outcome: jobs::message::Outcome,
) -> Result<(Bytes, Option<u32>), Response> {
    let (items, next) =
        batches::results_page(entry, group, job, from, batches::MAX_PAGE_SIZE).await?;
    let lines: String =
        items.iter().filter(|i| i.outcome == outcome).map(batches::result_line).collect();
    Ok((lines.into(), next))
}

async fn create(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response {
    match accept_batch(&entry, &headers, &body).await {
        Ok(status) => Json(batch_json(&status)).into_response(),
        Err(response) => response,
    }
}

async fn accept_batch(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    body: &[u8],
) -> Result<jobs::message::Status, Response> {
    batches::authenticate_when_ready(entry, headers)?;
    let key = idempotency_key(headers)?;
    let create: Create = serde_json::from_slice(body)
        .map_err(|e| refusal::invalid(format!("the body is not valid: {e}")))?;
    if let Some(url) = create.endpoint.filter(|e| e != items::ITEM_URL) {
        let known = items::ITEM_URL;
        let message = format!("`endpoint` is {url:?}; only {known:?} can be run in batch");
        return Err(refusal::invalid(message));
    }
    if let Some(window) = create.completion_window.filter(|w| w != COMPLETION_WINDOW) {
        let message =
            format!("`completion_window` is {window:?}; only {COMPLETION_WINDOW:?} is possible");
        return Err(refusal::invalid(message));
    }
    let job = job_from_id(&create.input_file_id, FILE_PREFIX)?;
    let (workspace, group, status) = batches::find_owned_job(entry, headers, job).await?;
    if status.key != key {
        return Err(refusal::rejected(
            http::StatusCode::CONFLICT,
            "conflict",
            "the file was uploaded under another Idempotency-Key; to run its content again, \
             upload it under a new key",
        ));
    }
    batches::seal_job(entry, &workspace.name, group, job).await?;
    Ok(batches::find_owned_job(entry, headers, job).await?.2)
}

/// Finds the batch of an id. A job that is not sealed is a file without a batch and is not found.
async fn find_batch(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    id: &str,
) -> Result<(u16, jobs::message::Status), Response> {
    let (_, group, status) =
        batches::find_owned_job(entry, headers, job_from_id(id, BATCH_PREFIX)?).await?;
    if status.state == jobs::message::JobState::Uploading {
        return Err(batches::refusal_response(&jobs::Refusal::NotFound));
    }
    Ok((group, status))
}

async fn show(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(id): extract::Path<String>,
    headers: http::HeaderMap,
) -> Response {
    match find_batch(&entry, &headers, &id).await {
        Ok((_, status)) => Json(batch_json(&status)).into_response(),
        Err(response) => response,
    }
}

async fn cancel(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(id): extract::Path<String>,
    headers: http::HeaderMap,
) -> Response {
    let (group, status) = match find_batch(&entry, &headers, &id).await {
        Ok(found) => found,
        Err(response) => return response,
    };
    if let Err(response) = batches::cancel_job(&entry, group, &status.job, None).await {
        return response;
    }
    match find_batch(&entry, &headers, &id).await {
        Ok((_, status)) => Json(batch_json(&status)).into_response(),
        Err(response) => response,
    }
}

async fn list(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Query(page): extract::Query<ListQuery>,
    headers: http::HeaderMap,
) -> Response {
    match list_batches(&entry, &headers, page).await {
        Ok(answer) => Json(answer).into_response(),
        Err(response) => response,
    }
}

async fn list_batches(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    page: ListQuery,
) -> Result<Value, Response> {
    let workspace = batches::authenticate_when_ready(entry, headers)?;
    let limit = page.limit.unwrap_or(DEFAULT_PAGE_SIZE).clamp(1, MAX_PAGE_SIZE) as usize;
    let mut after: Option<Arc<str>> = match &page.after {
        Some(id) => Some(job_from_id(id, BATCH_PREFIX)?.into()),
        None => None,
    };
    let mut found: Vec<jobs::message::Status> = Vec::new();
    let mut more = true;
    // Skips files without a batch, so that a page is never empty while there are more batches.
    while more && found.len() <= limit {
        let (jobs, rest) =
            batches::list_jobs(entry, &workspace.name, after, batches::MAX_PAGE_SIZE).await?;
        after = jobs.last().map(|j| j.job.clone());
        more = rest && after.is_some();
        found.extend(jobs.into_iter().filter(|j| j.state != jobs::message::JobState::Uploading));
    }
    let has_more = found.len() > limit;
    found.truncate(limit);
    let data: Vec<Value> = found.iter().map(batch_json).collect();
    let id = |at: Option<&Value>| at.map_or(Value::Null, |b| b["id"].clone());
    let (first, last) = (id(data.first()), id(data.last()));
    Ok(json!({
        "object": "list", "first_id": first, "last_id": last, "has_more": has_more, "data": data,
    }))
}

/// Formats a job as a batch object.
fn batch_json(status: &jobs::message::Status) -> Value {
    let job = &*status.job;
    let (name, ended) = match status.state {
        jobs::message::JobState::Uploading => ("validating", false),
        jobs::message::JobState::Accepted => ("in_progress", false),
        jobs::message::JobState::Cancelled => ("cancelled", true),
        jobs::message::JobState::Finished => ("completed", true),
    };
    let file = |prefix: &str, count: u32| (ended && count > 0).then(|| format!("{prefix}{job}"));
    json!({
        "id": format!("{BATCH_PREFIX}{job}"),
        "object": "batch",
        "endpoint": items::ITEM_URL,
        "errors": null,
        "input_file_id": format!("{FILE_PREFIX}{job}"),
        "completion_window": COMPLETION_WINDOW,
        "status": name,
        "output_file_id": file(OUTPUT_PREFIX, status.done),
        "error_file_id": file(ERRORS_PREFIX, status.failed),
        "created_at": 0,
        "request_counts": {
            "total": status.total, "completed": status.done, "failed": status.failed,
        },
        "metadata": null,
    })
}

//! JSON API for operators: configuration, drains, orders and status.

use crate::catalog;
use crate::entry;
use crate::entry::auth;
use crate::entry::refusal;
use crate::event;
use crate::events;
use crate::settings;
use crate::template;
use crate::wire;
use axum::Json;
use axum::extract;
use axum::http;
use axum::response::IntoResponse as _;
use axum::response::Response;
use axum::routing;
use futures_util::future;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;

/// Timeout of a request to the state hosts.
const STATE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of each part of the status. It is shorter than the timeout of the `status` command, so
/// that the command shows the other parts if one cannot be read, for example without a quorum.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of records in a page if the request sets no limit.
const DEFAULT_PAGE_SIZE: u32 = 100;

/// Routes of the operator API.
pub fn routes() -> axum::Router<entry::Entry> {
    axum::Router::new()
        .route("/admin/status", routing::get(status))
        .route("/admin/templates", routing::get(templates))
        .route("/admin/templates/{name}", routing::get(show_template))
        .route("/admin/apply", routing::post(apply))
        .route("/admin/withdraw", routing::post(withdraw))
        .route("/admin/documents", routing::get(documents))
        .route("/admin/documents/{kind}/{name}", routing::get(document))
        .route("/admin/history", routing::get(history))
        .route("/admin/drain", routing::post(drain))
        .route("/admin/resume", routing::post(resume))
        .route("/admin/orders", routing::get(orders))
}

/// Body of `POST /admin/apply`: one change that puts the documents of filled templates.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Id of the change. A repeated change with the same id and content is applied once.
    pub id: Arc<str>,
    /// Revision that the change is based on; `None` to apply it to any revision.
    pub expected: Option<u64>,
    /// Templates to fill in.
    #[serde(default)]
    pub fill: Vec<Fill>,
    /// Text of a parameter file in TOML, with one table per document.
    #[serde(default)]
    pub file: String,
}

/// Template and the parameters to fill in.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fill {
    /// Name of the template.
    pub template: Arc<str>,
    /// Parameters as `NAME=VALUE`.
    pub parameters: Vec<String>,
}

/// Body of `POST /admin/withdraw`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Withdraw {
    /// Id of the change.
    pub id: Arc<str>,
    /// Revision that the change is based on; `None` to apply it to any revision.
    pub expected: Option<u64>,
    /// Documents to withdraw, as `kind/name`.
    pub names: Vec<String>,
}

/// Body of `POST /admin/drain` and `POST /admin/resume`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Id of the operation.
    pub id: Arc<str>,
    /// Name of the endpoint to drain or resume.
    pub target: Arc<str>,
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    kind: Option<catalog::Kind>,
    limit: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct HistoryQuery {
    before: Option<u64>,
    limit: Option<u32>,
    #[serde(default)]
    operations: bool,
}

/// Authenticates the operator of a request and checks the role. Returns the operator's name.
fn authorize(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    required: settings::OperatorRole,
) -> Result<Arc<str>, Response> {
    let Some(operator) = auth::operator(&entry.operators, headers) else {
        event!(entry.log, events::UNAUTHORIZED; "kind" => "operator");
        entry.metrics.count_refusal("unauthorized", "no");
        let message = match auth::bearer(headers) {
            Some(key) if !key.is_empty() => "no operator has this key",
            _ => "the request has no key; send an operator's as `Authorization: Bearer KEY`",
        };
        let status = http::StatusCode::UNAUTHORIZED;
        return Err(refusal::rejected(status, "unauthorized", message));
    };
    if required == settings::OperatorRole::Operator && operator.role != required {
        let message = format!("{} may read only; this needs the role operator", operator.name);
        return Err(refusal::rejected(http::StatusCode::FORBIDDEN, "forbidden", message));
    }
    Ok(operator.name.clone())
}

async fn templates(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
) -> Response {
    if let Err(response) = authorize(&entry, &headers, settings::OperatorRole::ReadOnly) {
        return response;
    }
    let templates: Vec<Value> =
        template::all().iter().map(|t| json!({ "name": &*t.name, "help": &*t.help })).collect();
    Json(json!({ "templates": templates })).into_response()
}

async fn show_template(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path(name): extract::Path<String>,
    headers: http::HeaderMap,
) -> Response {
    if let Err(response) = authorize(&entry, &headers, settings::OperatorRole::ReadOnly) {
        return response;
    }
    match template::get(&name) {
        Some(template) => {
            Json(json!({ "name": name, "text": template.describe() })).into_response()
        }
        None => {
            let message = unknown_template(&name);
            refusal::rejected(http::StatusCode::NOT_FOUND, "not_found", message)
        }
    }
}

async fn apply(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    Json(apply): Json<Apply>,
) -> Response {
    let operator = match authorize(&entry, &headers, settings::OperatorRole::Operator) {
        Ok(operator) => operator,
        Err(response) => return response,
    };
    let (documents, problems) = fill_all(&apply);
    let changes = documents.into_iter().map(catalog::Change::put).collect();
    if !problems.is_empty() {
        event!(entry.log, events::CHANGE_REFUSED; "id" => &*apply.id, "operator" => &*operator);
        let body = json!({
            "outcome": "refused", "problems": problems,
            "message": "the parameters are not valid; nothing was changed",
        });
        return (http::StatusCode::BAD_REQUEST, Json(body)).into_response();
    }
    let (id, expected) = (apply.id, apply.expected);
    commit(&entry, catalog::Command::Change { id, expected, operator, changes }).await
}

/// Fills in all templates of a change. Returns the documents and the problems of all templates.
fn fill_all(apply: &Apply) -> (Vec<catalog::Document>, Vec<String>) {
    let mut documents = Vec::new();
    let mut problems = Vec::new();
    let text = |found: Vec<template::Problem>| found.into_iter().map(|p| p.to_string());
    if !apply.file.is_empty() {
        match template::read_documents(&apply.file) {
            Ok(read) => documents.extend(read),
            Err(found) => problems.extend(text(found)),
        }
    }
    for fill in &apply.fill {
        let Some(template) = template::get(&fill.template) else {
            problems.push(unknown_template(&fill.template));
            continue;
        };
        let filled = template::Parameters::from_pairs(template, &fill.parameters)
            .and_then(|parameters| template::fill(template, &parameters));
        match filled {
            Ok(document) => documents.push(document),
            Err(found) => problems.extend(text(found)),
        }
    }
    (documents, problems)
}

/// Error message for a template that does not exist. Lists the templates that do.
pub fn unknown_template(name: &str) -> String {
    let names: Vec<&str> = template::all().iter().map(|t| &*t.name).collect();
    format!("no template is called {name:?}; the templates are {}", names.join(", "))
}

async fn withdraw(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    Json(withdraw): Json<Withdraw>,
) -> Response {
    let operator = match authorize(&entry, &headers, settings::OperatorRole::Operator) {
        Ok(operator) => operator,
        Err(response) => return response,
    };
    let mut changes = Vec::new();
    for text in &withdraw.names {
        match text.parse() {
            Ok(name) => changes.push(catalog::Change::Withdraw { name }),
            Err(error) => return refusal::invalid(error),
        }
    }
    let (id, expected) = (withdraw.id, withdraw.expected);
    commit(&entry, catalog::Command::Change { id, expected, operator, changes }).await
}

async fn drain(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    Json(target): Json<Target>,
) -> Response {
    let Target { id, target } = target;
    authorize_and_commit(&entry, &headers, |operator| catalog::Command::Drain {
        id,
        target,
        operator,
    })
    .await
}

async fn resume(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
    Json(target): Json<Target>,
) -> Response {
    let Target { id, target } = target;
    authorize_and_commit(&entry, &headers, |operator| catalog::Command::Resume {
        id,
        target,
        operator,
    })
    .await
}

/// Authorizes an operator and commits the operator's command.
async fn authorize_and_commit(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    command: impl FnOnce(Arc<str>) -> catalog::Command,
) -> Response {
    match authorize(entry, headers, settings::OperatorRole::Operator) {
        Ok(operator) => commit(entry, command(operator)).await,
        Err(response) => response,
    }
}

/// Commits a command and returns its outcome as a response.
async fn commit(entry: &entry::Entry, command: catalog::Command) -> Response {
    let applied = entry.client.propose(0, catalog::encode(&command), STATE_TIMEOUT).await;
    let applied = match applied {
        Ok(applied) => applied,
        Err(e) => {
            let refusal = refusal::from_state(&e);
            entry.record_refusal(&refusal);
            return refusal.into_response();
        }
    };
    let Ok(reply) = catalog::decode::<catalog::Reply>(&applied.reply) else {
        return undecodable();
    };
    let (status, outcome) = match &reply {
        catalog::Reply::Accepted { .. } => (http::StatusCode::OK, "accepted"),
        catalog::Reply::Unchanged { .. } => (http::StatusCode::OK, "unchanged"),
        catalog::Reply::Conflict { .. } => (http::StatusCode::CONFLICT, "conflict"),
        catalog::Reply::Refused { .. } => (http::StatusCode::BAD_REQUEST, "refused"),
        catalog::Reply::Malformed => (http::StatusCode::BAD_REQUEST, "malformed"),
    };
    let event = match reply.is_refusal() {
        true => events::CHANGE_REFUSED,
        false => events::CHANGE_ACCEPTED,
    };
    event!(entry.log, event; "outcome" => outcome, "reply" => %reply);
    let body = json!({ "outcome": outcome, "message": reply.to_string(), "reply": reply });
    (status, Json(body)).into_response()
}

async fn query_state(
    entry: &entry::Entry,
    query: &catalog::Query,
) -> Result<catalog::Answer, Response> {
    query_within(entry, query, STATE_TIMEOUT).await
}

async fn query_within(
    entry: &entry::Entry,
    query: &catalog::Query,
    limit: Duration,
) -> Result<catalog::Answer, Response> {
    let answer = entry.client.query(0, catalog::encode(query), limit).await;
    let answer = answer.map_err(|e| refusal::from_state(&e).into_response())?;
    catalog::decode(&answer).map_err(|_| undecodable())
}

fn undecodable() -> Response {
    let message = "the state host's reply does not decode; are all processes of one version?";
    refusal::rejected(http::StatusCode::BAD_GATEWAY, "undecodable", message)
}

/// Authorizes an operator to read and responds with the answer to a query.
async fn answer_query(
    entry: &entry::Entry,
    headers: &http::HeaderMap,
    query: catalog::Query,
) -> Response {
    if let Err(response) = authorize(entry, headers, settings::OperatorRole::ReadOnly) {
        return response;
    }
    match query_state(entry, &query).await {
        Ok(catalog::Answer::Missing { problem }) => {
            refusal::rejected(http::StatusCode::NOT_FOUND, "not_found", problem)
        }
        Ok(answer) => Json(answer).into_response(),
        Err(response) => response,
    }
}

async fn documents(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Query(page): extract::Query<ListQuery>,
    headers: http::HeaderMap,
) -> Response {
    let limit = page.limit.unwrap_or(DEFAULT_PAGE_SIZE);
    let query = catalog::Query::List { kind: page.kind, after: None, limit };
    answer_query(&entry, &headers, query).await
}

async fn document(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Path((kind, name)): extract::Path<(String, String)>,
    headers: http::HeaderMap,
) -> Response {
    match format!("{kind}/{name}").parse() {
        Ok(name) => answer_query(&entry, &headers, catalog::Query::Show { name }).await,
        Err(error) => refusal::invalid(error),
    }
}

async fn history(
    extract::State(entry): extract::State<entry::Entry>,
    extract::Query(page): extract::Query<HistoryQuery>,
    headers: http::HeaderMap,
) -> Response {
    let (before, limit) = (page.before, page.limit.unwrap_or(DEFAULT_PAGE_SIZE));
    let query = match page.operations {
        true => catalog::Query::Operations { before, limit },
        false => catalog::Query::Changes { before, limit },
    };
    answer_query(&entry, &headers, query).await
}

async fn orders(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
) -> Response {
    answer_query(&entry, &headers, catalog::Query::Orders).await
}

/// Responds with the configuration's summary, nodes that are behind, agents, drains and replicas.
async fn status(
    extract::State(entry): extract::State<entry::Entry>,
    headers: http::HeaderMap,
) -> Response {
    if let Err(response) = authorize(&entry, &headers, settings::OperatorRole::ReadOnly) {
        return response;
    }
    let ask = |query| {
        let entry = &entry;
        async move { query_within(entry, &query, STATUS_TIMEOUT).await }
    };
    // The requests run concurrently, so that several parts without an answer cost one timeout.
    let (summary, agents, drains, beats, hosts) = tokio::join!(
        ask(catalog::Query::Summary),
        ask(catalog::Query::Agents),
        ask(catalog::Query::Drains),
        entry.client.call(0, &wire::Request::Nodes, STATUS_TIMEOUT),
        host_states(&entry),
    );
    let summary = match summary {
        Ok(catalog::Answer::Summary(summary)) => Some(summary),
        // The other parts are shown even if there is no quorum for this one.
        _ => None,
    };
    let agents = match agents {
        Ok(catalog::Answer::Agents(agents)) => agents,
        _ => Vec::new(),
    };
    let drains = match drains {
        Ok(catalog::Answer::Drains(drains)) => drains,
        _ => Vec::new(),
    };
    let nodes = match beats {
        Ok(wire::Reply::Nodes(nodes)) => nodes,
        _ => Vec::new(),
    };
    let behind: Vec<&str> = match &summary {
        Some(s) => nodes
            .iter()
            .filter(|n| (n.beat.revision, n.beat.digest) != (s.revision, s.digest))
            .map(|n| &*n.beat.node)
            .collect(),
        None => Vec::new(),
    };
    Json(json!({
        "configuration": summary, "behind": behind, "nodes": nodes, "agents": agents,
        "drains": drains, "state": hosts,
    }))
    .into_response()
}

/// Reads the replicas of every state host, or the error if a host does not answer.
async fn host_states(entry: &entry::Entry) -> Vec<Value> {
    let requests = entry.client.hosts().into_iter().map(|host| async move {
        let request = entry.client.call_host(&host, &wire::Request::Status);
        let groups = match time::timeout(STATUS_TIMEOUT, request).await {
            Ok(Ok(wire::Reply::Groups(groups))) => json!(groups),
            Ok(Ok(_)) => Value::Null,
            Ok(Err(error)) => json!(error.to_string()),
            Err(_) => json!(format!("no answer within {} ms", STATUS_TIMEOUT.as_millis())),
        };
        json!({ "host": &*host, "groups": groups })
    });
    future::join_all(requests).await
}

//! Parses batch items from JSON lines, checks them against the workspace's batch plans and splits
//! them into chunks.

use crate::catalog;
use crate::jobs;
use serde_json::Value;
use std::sync::Arc;

/// Largest number of items in one chunk.
pub const MAX_CHUNK_ITEMS: usize = 1_000;
/// Largest chunk in bytes, unless a single item is larger.
const MAX_CHUNK_BYTES: usize = 1 << 20;
/// The only `url` that an item may have.
pub(super) const ITEM_URL: &str = "/v1/chat/completions";

/// Splits the parts of a submission into chunks. The split depends only on the number and sizes of
/// the parts, so that an interrupted upload continues with the same chunks.
pub fn chunks<T>(parts: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut chunks: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for part in parts {
        let added = size(&part);
        let full = chunks.last().is_none_or(|c| c.len() >= MAX_CHUNK_ITEMS);
        if full || bytes + added > MAX_CHUNK_BYTES {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += added;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(part);
        }
    }
    chunks
}

/// Returns the batch plans of a workspace.
pub(super) fn plans(
    catalog: &catalog::Catalog,
    workspace: &str,
) -> Vec<catalog::documents::BatchPlan> {
    let all = catalog.config().of_kind(catalog::Kind::BatchPlan);
    let own = all.filter_map(|stored| match &stored.document.body {
        catalog::Body::BatchPlan(p) if *p.workspace == *workspace => Some(p.clone()),
        _ => None,
    });
    own.collect()
}

/// Returns the batch plan `name` if it belongs to the workspace.
pub(super) fn plan(
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
pub(super) fn parse_items(
    body: &[u8],
    model: &str,
    plans: &[catalog::documents::BatchPlan],
) -> Result<Vec<jobs::message::NewItem>, String> {
    let text = std::str::from_utf8(body).map_err(|_| "the chunk is not valid UTF-8")?;
    let lines = parse_lines(text, model, plans)?;
    let items: Vec<jobs::message::NewItem> = lines.into_iter().map(|(_, item)| item).collect();
    if items.is_empty() || items.len() > MAX_CHUNK_ITEMS {
        return Err(format!("a chunk must have 1 to {MAX_CHUNK_ITEMS} items, not {}", items.len()));
    }
    Ok(items)
}

/// Parses JSON lines into items, each with the length of its line. Errors name the line.
pub(super) fn parse_lines(
    text: &str,
    model: &str,
    plans: &[catalog::documents::BatchPlan],
) -> Result<Vec<(usize, jobs::message::NewItem)>, String> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
    let parse = |(at, line): (usize, &str)| {
        let item = parse_item(line, model, plans);
        item.map(|item| (line.len(), item)).map_err(|e| format!("line {}: {e}", at + 1))
    };
    lines.map(parse).collect()
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
        let max_tokens = u64::from(plan.tokens);
        let asked = body["max_tokens"].as_u64().unwrap_or(max_tokens);
        body["max_tokens"] = asked.min(max_tokens).into();
    }
    body["model"] = model.into();
    Ok(jobs::message::NewItem { custom_id: custom, body: body.to_string().into() })
}

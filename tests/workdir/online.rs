//! Online requests of tests, and checks of their complete answers.

use crate::workdir;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;
use tokio::time;

/// Timeout of an answer. Longer than the default deadline of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// Body of a chat request.
pub fn chat_body(content: &str, tokens: u32, stream: bool) -> Value {
    json!({ "model": "advisor", "max_tokens": tokens, "stream": stream,
        "messages": [{ "role": "user", "content": content }] })
}

/// Text that the emulator answers, which depends only on the model and the prompt. Assistants
/// without a prompt of their own send the caller's messages unchanged.
pub fn expected_text(content: &str, tokens: u32) -> String {
    let prompt = basilfield::emulator::text::chat_prompt([("user", content)]);
    basilfield::emulator::text::answer(workdir::MODEL, &prompt, tokens)
}

/// Returns the text of a streamed answer, and whether `[DONE]` was received.
pub fn streamed_text(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for line in body.lines().filter_map(|l| l.strip_prefix("data: ")) {
        match line {
            "[DONE]" => done = true,
            line => {
                let event: Value = serde_json::from_str(line).expect("event is JSON");
                text += event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            }
        }
    }
    (text, done)
}

/// Checks that a streamed answer is one consistent stream: one id, one role, one finish reason,
/// no usage that was not asked for, and `[DONE]` as its last event.
pub fn check_stream(body: &str) -> Result<(), String> {
    let events: Vec<&str> = body.lines().filter_map(|l| l.strip_prefix("data: ")).collect();
    let Some(("[DONE]", events)) = events.split_last().map(|(last, rest)| (*last, rest)) else {
        return Err(format!("no `[DONE]` at the end: {}", tail(body)));
    };
    let events: Vec<Value> =
        events.iter().map(|e| serde_json::from_str(e).expect("event is JSON")).collect();
    let count = |found: &dyn Fn(&Value) -> bool| events.iter().filter(|e| found(e)).count();
    let roles = count(&|e| e["choices"][0]["delta"]["role"].is_string());
    let ends = count(&|e| e["choices"][0]["finish_reason"].is_string());
    let other = count(&|e| e["id"] != events[0]["id"]);
    let usage = count(&|e| e["usage"].is_object());
    match (roles, ends, other, usage) {
        (1, 1, 0, 0) => Ok(()),
        found => Err(format!("number of roles, finish reasons, other ids, usages: {found:?}")),
    }
}

/// Checks the complete answer against the text that the emulator gives.
pub fn check(reply: &Reply, content: &str, tokens: u32, stream: bool) -> Result<(), String> {
    if reply.status != 200 {
        return Err(format!("status {}: {}", reply.status, reply.body));
    }
    let wanted = expected_text(content, tokens);
    if !stream {
        let json: Value = serde_json::from_str(&reply.body).map_err(|e| e.to_string())?;
        let same = json["choices"][0]["message"]["content"] == wanted;
        return if same { Ok(()) } else { Err(format!("unexpected text: {}", reply.body)) };
    }
    check_stream(&reply.body)?;
    match streamed_text(&reply.body) == (wanted, true) {
        true => Ok(()),
        false => Err("unexpected text".to_string()),
    }
}

/// Returns about the last 300 bytes.
fn tail(body: &str) -> &str {
    let mut at = body.len().saturating_sub(300);
    while !body.is_char_boundary(at) {
        at += 1;
    }
    &body[at..]
}

/// Answer to a request, as far as the tests check it.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    /// Value of the header `basilfield-run`; empty if absent.
    pub run: String,
    pub body: String,
    pub took: Duration,
}

/// Sends a request with additional headers and reads the complete answer.
pub async fn send(
    url: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<Reply, String> {
    let client = legacy::Client::builder(rt::TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let mut request = hyper::Request::post(format!("{url}{path}"))
        .header("authorization", format!("Bearer {}", workdir::CALLER_KEY))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(http_body_util::Full::new(Bytes::from(body)));
    let started = time::Instant::now();
    let exchange = async {
        let answer = client.request(request.expect("request")).await.map_err(|e| e.to_string())?;
        let status = answer.status().as_u16();
        let run = answer.headers().get("basilfield-run").and_then(|v| v.to_str().ok());
        let run = run.unwrap_or_default().to_string();
        let body = answer.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
        let body = String::from_utf8(body.to_vec()).map_err(|e| e.to_string())?;
        Ok(Reply { status, run, body, took: started.elapsed() })
    };
    time::timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_string()))
}

/// Request of a load, and its answer.
pub struct Call {
    pub content: String,
    pub tokens: u32,
    pub stream: bool,
    /// Time from the start of the load to the start of the request.
    pub start: Duration,
    pub reply: Result<Reply, String>,
}

impl Call {
    /// Checks the complete answer.
    pub fn check(&self) -> Result<(), String> {
        check(self.reply.as_ref()?, &self.content, self.tokens, self.stream)
    }
}

/// Sends chat requests, every second one streamed, at a fixed interval, and `long` long streams
/// at the beginning. Runs on the current runtime until `duration` has passed and all have ended.
pub async fn run_load(
    url: String,
    long: usize,
    interval: Duration,
    duration: Duration,
) -> Vec<Call> {
    let started = time::Instant::now();
    let mut tasks = Vec::new();
    let mut spawn = |content: String, tokens: u32, stream: bool| {
        let url = url.clone();
        tasks.push(tokio::spawn(async move {
            let start = started.elapsed();
            let body = chat_body(&content, tokens, stream).to_string();
            let reply = send(&url, "/v1/chat/completions", &[], body).await;
            Call { content, tokens, stream, start, reply }
        }));
    };
    for at in 0..long {
        spawn(format!("long {at}"), 180, true);
    }
    let mut ticks = time::interval(interval);
    let mut at = 0;
    while started.elapsed() < duration {
        ticks.tick().await;
        spawn(format!("stitch {at}"), 30, at % 2 == 0);
        at += 1;
    }
    let mut calls = Vec::new();
    for task in tasks {
        calls.push(task.await.expect("request task"));
    }
    calls
}

/// Calls an endpoint directly, not through the fleet. Posts `faults` if there are any.
pub async fn call_endpoint(
    address: std::net::SocketAddr,
    path: &str,
    faults: Option<&Value>,
) -> Value {
    let client = basilfield::api::Client::new(&format!("http://{address}"), "");
    let answer = match faults {
        Some(faults) => client.post(path, faults).await,
        None => client.get(path).await,
    };
    answer.map_or(Value::Null, |a| a.json())
}

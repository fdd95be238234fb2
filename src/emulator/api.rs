//! OpenAI-compatible requests and answers.
//!
//! Each streamed event carries one token. `created` is always 0 to keep answers reproducible.
//! `usage.completion_tokens` counts all tokens of the answer, including those before a resumption.

use crate::emulator::batch::Event;
use crate::emulator::text;
use axum::body::Body;
use axum::body::Bytes;
use axum::http::HeaderValue;
use axum::http::header;
use axum::response::Response;
use futures_util::stream;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use std::io;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Length of an answer whose request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Kind of completion, which determines the format of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Body of a completion request.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Request {
    pub(super) model: Arc<str>,
    messages: Vec<Message>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    pub(super) stream: bool,
    stream_options: StreamOptions,
    pub(super) resume: Option<Resume>,
    pub(super) user: Option<String>,
    n: Option<u32>,
}

#[derive(Clone, Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Part {
    text: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

/// Part of the answer that was already generated. The engine continues after it.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Resume {
    pub(super) text: String,
    pub(super) tokens: u32,
}

impl Request {
    /// Parses a request and validates everything that does not depend on the engine's state.
    /// Returns a message for the caller if the request is invalid.
    pub(super) fn parse(kind: CompletionKind, body: &[u8]) -> Result<Request, String> {
        let request: Request = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if request.n.is_some_and(|n| n != 1) {
            return Err("n other than 1 is not supported".to_string());
        }
        match kind {
            CompletionKind::Chat if request.messages.is_empty() => {
                Err("messages is missing".to_string())
            }
            CompletionKind::Text if request.prompt.is_none() => {
                Err("prompt is missing".to_string())
            }
            CompletionKind::Chat | CompletionKind::Text => request.check_resume(kind),
        }
    }

    /// Returns the prompt as a single text.
    pub(super) fn prompt(&self, kind: CompletionKind) -> String {
        if kind == CompletionKind::Text {
            return self.prompt.clone().unwrap_or_default();
        }
        let contents: Vec<String> = self.messages.iter().map(|m| m.content.text()).collect();
        let pairs = self.messages.iter().zip(&contents);
        text::chat_prompt(pairs.map(|(message, content)| (&*message.role, &**content)))
    }

    /// Returns the length of the complete answer in tokens, including resumed ones.
    pub(super) fn answer_tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Refuses a resumption whose text this engine would not have generated. This detects callers
    /// that mix up answers.
    fn check_resume(self, kind: CompletionKind) -> Result<Request, String> {
        let Some(resume) = &self.resume else { return Ok(self) };
        if resume.tokens > self.answer_tokens() {
            return Err("resume.tokens exceeds the length of the answer".to_string());
        }
        let expected = text::answer(&self.model, &self.prompt(kind), resume.tokens);
        if resume.text != expected {
            return Err("resume.text is not the start of this answer".to_string());
        }
        Ok(self)
    }
}

impl Content {
    fn text(&self) -> String {
        match self {
            Content::Text(text) => text.clone(),
            Content::Parts(parts) => parts.iter().map(|part| &*part.text).collect(),
        }
    }
}

/// Answer whose tokens arrive as [`Event`]s while the engine generates them.
pub(super) struct Answer {
    pub(super) id: String,
    pub(super) kind: CompletionKind,
    pub(super) model: Arc<str>,
    pub(super) prompt_tokens: u32,
    pub(super) completion_tokens: u32,
    pub(super) events: mpsc::UnboundedReceiver<Event>,
    include_usage: bool,
    cached_tokens: u32,
}

impl Answer {
    /// Creates the answer to `request` from the `events` of its stream.
    pub(super) fn new(
        id: String,
        kind: CompletionKind,
        request: &Request,
        prompt_tokens: u32,
        events: mpsc::UnboundedReceiver<Event>,
    ) -> Answer {
        Answer {
            id,
            kind,
            model: request.model.clone(),
            prompt_tokens,
            completion_tokens: request.answer_tokens(),
            events,
            include_usage: request.stream_options.include_usage,
            cached_tokens: 0,
        }
    }

    /// Waits for the complete answer and returns it as one JSON object.
    pub(super) async fn into_json(mut self) -> Response {
        let mut content = String::new();
        loop {
            match self.events.recv().await {
                Some(Event::Started { cached }) => self.cached_tokens = cached,
                Some(Event::Token(token)) => content += &token,
                Some(Event::End) => break,
                Some(Event::Broken) | None => {
                    return respond("application/json", Body::from_stream(aborted_body()));
                }
            }
        }
        let (object, choice) = match self.kind {
            CompletionKind::Chat => {
                let message = json!({"role": "assistant", "content": content});
                ("chat.completion", choice("message", &message, true))
            }
            CompletionKind::Text => ("text_completion", choice("text", &json!(content), true)),
        };
        let mut body = self.response_object(object, vec![choice]);
        body["usage"] = self.usage();
        respond("application/json", Body::from(body.to_string()))
    }

    /// Returns the answer as a stream of server-sent events.
    pub(super) fn into_event_stream(self) -> Response {
        let events = stream::unfold(Some(self), |answer| async {
            let mut answer = answer?;
            match answer.events.recv().await {
                Some(Event::End) => Some((Ok(answer.encode_end()), None)),
                Some(Event::Broken) | None => Some((Err(connection_aborted()), None)),
                Some(event) => Some((Ok(answer.encode_event(&event)), Some(answer))),
            }
        });
        respond("text/event-stream", Body::from_stream(events))
    }

    fn encode_event(&mut self, event: &Event) -> Bytes {
        let data = match (event, self.kind) {
            (Event::Started { cached }, CompletionKind::Chat) => {
                self.cached_tokens = *cached;
                let delta = json!({"role": "assistant", "content": ""});
                self.chunk_object(vec![choice("delta", &delta, false)])
            }
            (Event::Started { cached }, CompletionKind::Text) => {
                self.cached_tokens = *cached;
                return Bytes::from_static(b": started\n\n");
            }
            (Event::Token(token), CompletionKind::Chat) => {
                self.chunk_object(vec![choice("delta", &json!({"content": token}), false)])
            }
            (Event::Token(token), CompletionKind::Text) => {
                self.chunk_object(vec![choice("text", &json!(token), false)])
            }
            (Event::End | Event::Broken, _) => return Bytes::new(),
        };
        sse(&data.to_string())
    }

    fn encode_end(&self) -> Bytes {
        let choice = match self.kind {
            CompletionKind::Chat => choice("delta", &json!({}), true),
            CompletionKind::Text => choice("text", &json!(""), true),
        };
        let mut out = sse(&self.chunk_object(vec![choice]).to_string()).to_vec();
        if self.include_usage {
            let mut chunk = self.chunk_object(Vec::new());
            chunk["usage"] = self.usage();
            out.extend_from_slice(&sse(&chunk.to_string()));
        }
        out.extend_from_slice(&sse("[DONE]"));
        out.into()
    }

    fn chunk_object(&self, choices: Vec<Value>) -> Value {
        match self.kind {
            CompletionKind::Chat => self.response_object("chat.completion.chunk", choices),
            CompletionKind::Text => self.response_object("text_completion", choices),
        }
    }

    fn response_object(&self, object: &str, choices: Vec<Value>) -> Value {
        json!({
            "id": self.id, "object": object, "created": 0, "model": self.model, "choices": choices,
        })
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens.saturating_add(self.completion_tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }
}

/// Builds a choice with `content` under the key `name`. The finish reason is always `length`,
/// since an answer never ends before the requested length.
fn choice(name: &str, content: &Value, last: bool) -> Value {
    let reason = if last { json!("length") } else { Value::Null };
    json!({"index": 0, name: content, "finish_reason": reason})
}

fn sse(data: &str) -> Bytes {
    format!("data: {data}\n\n").into()
}

fn respond(content: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content));
    response
}

fn aborted_body() -> impl stream::Stream<Item = Result<Bytes, io::Error>> {
    stream::iter([Ok(Bytes::from_static(b"{")), Err(connection_aborted())])
}

fn connection_aborted() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "simulated connection break")
}

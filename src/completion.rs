//! Assembles a completion from its event stream, so that it can be resumed later or at another
//! engine.

use crate::agent::upstream;
use crate::errors;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

/// Data of the event that ends a stream of the OpenAI-compatible API.
pub const LAST_EVENT: &str = "[DONE]";

/// State of a completion that is being read: the text so far and the fields of the final answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// Generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    finish_reason: Option<String>,
    usage: Option<Value>,
    id: Option<String>,
    created: Option<Value>,
    /// Whether an event with a role has been read.
    role_seen: bool,
    /// Whether the stream had content that cannot be resumed from the text, such as tool calls.
    unresumable: bool,
}

/// Error for a request body that cannot be sent to an engine.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
#[display("{_0}")]
pub struct BadBody(pub String);

impl Progress {
    /// Builds a streaming request that continues `body` after the text generated so far.
    pub fn request(&self, body: &[u8]) -> Result<Bytes, BadBody> {
        let mut value: Value = serde_json::from_slice(body)
            .map_err(|e| BadBody(format!("body is not valid JSON: {e}")))?;
        self.insert_resume(&mut value)?;
        value["stream"] = true.into();
        value["stream_options"] = json!({ "include_usage": true });
        Ok(value.to_string().into())
    }

    /// Builds the request that continues a caller's stream. Unlike [`Progress::request`], it adds
    /// no options that the caller did not set, because the events are forwarded to the caller.
    pub fn resume_request(&self, body: &[u8]) -> Result<Bytes, BadBody> {
        let mut value: Value = serde_json::from_slice(body)
            .map_err(|e| BadBody(format!("body is not valid JSON: {e}")))?;
        self.insert_resume(&mut value)?;
        Ok(value.to_string().into())
    }

    fn insert_resume(&self, value: &mut Value) -> Result<(), BadBody> {
        let Some(fields) = value.as_object_mut() else {
            return Err(BadBody("body is not a JSON object".into()));
        };
        if self.tokens > 0 {
            let resume = json!({ "text": self.text, "tokens": self.tokens });
            fields.insert("resume".into(), resume);
        }
        Ok(())
    }

    /// Whether the text and the token count suffice to resume. They do not cover tool calls or
    /// more than one choice.
    pub fn is_resumable(&self) -> bool {
        !self.unresumable
    }

    /// Rewrites an event of a resumed stream so that it continues what the caller has received:
    /// sets the original id and creation time. Returns `None` for an event that would repeat the
    /// role or the finish reason.
    pub fn adapt_event(&self, data: &str) -> Option<String> {
        let Ok(mut value) = serde_json::from_str::<Value>(data) else {
            return Some(data.to_string());
        };
        let choice = &value["choices"][0];
        let empty = choice["delta"]["content"].as_str().is_none_or(str::is_empty);
        let repeated_role = self.role_seen && choice["delta"]["role"].is_string() && empty;
        if repeated_role || (self.finish_reason.is_some() && choice["finish_reason"].is_string()) {
            return None;
        }
        if let Some(id) = &self.id {
            value["id"] = id.as_str().into();
        }
        if let Some(created) = &self.created {
            value["created"] = created.clone();
        }
        Some(value.to_string())
    }

    /// Adds one event of the stream. Returns the number of new tokens. Fails if the event is not
    /// valid JSON or reports an error of the engine.
    pub fn add_event(&mut self, data: &str) -> Result<u32, errors::Error> {
        let value: Value = serde_json::from_str(data)
            .map_err(|e| errors::Error::protocol("read event", "engine", e))?;
        if let Some(error) = value.get("error").filter(|e| !e.is_null()) {
            return Err(errors::Error::protocol("read event", "engine", error));
        }
        if self.id.is_none() {
            self.id = value["id"].as_str().map(str::to_string);
            self.created = value.get("created").cloned();
        }
        if let Some(usage) = value.get("usage").filter(|u| !u.is_null()) {
            self.usage = Some(usage.clone());
        }
        let choice = &value["choices"][0];
        let one_choice = value["choices"].as_array().is_none_or(|c| c.len() <= 1);
        let first_choice = choice["index"].as_u64().is_none_or(|at| at == 0);
        self.unresumable |=
            !one_choice || !first_choice || choice["delta"]["tool_calls"].is_array();
        self.role_seen |= choice["delta"]["role"].is_string();
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_string());
        }
        let delta = choice["delta"]["content"].as_str().or(choice["text"].as_str());
        match delta {
            Some(text) if !text.is_empty() => {
                self.text.push_str(text);
                self.tokens += 1;
                Ok(1)
            }
            _ => Ok(0),
        }
    }

    /// Builds the non-streaming answer: a chat completion if `chat` is set, else a text completion.
    pub fn answer(&self, model: &str, chat: bool) -> Value {
        let choice = match chat {
            true => json!({ "index": 0, "finish_reason": self.finish_reason,
                "message": { "role": "assistant", "content": self.text } }),
            false => json!({ "index": 0, "finish_reason": self.finish_reason, "text": self.text }),
        };
        let object = if chat { "chat.completion" } else { "text_completion" };
        json!({
            "id": self.id, "object": object, "model": model, "choices": [choice],
            "usage": self.usage.clone().unwrap_or_else(|| json!({
                "completion_tokens": self.tokens })),
        })
    }
}

/// Reads events into `progress` until the stream ends. After an error, `progress` keeps what was
/// read before it. Calls `on_token` with the number of tokens of each event.
pub async fn read(
    events: &mut upstream::Events,
    progress: &mut Progress,
    mut on_token: impl FnMut(u32),
) -> Result<(), errors::Error> {
    while let Some(data) = events.next().await? {
        if data == LAST_EVENT {
            return Ok(());
        }
        let count = progress.add_event(&data)?;
        if count > 0 {
            on_token(count);
        }
    }
    Err(errors::Error::lost("read event", "engine", "stream ended without its last event"))
}

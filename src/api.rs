//! HTTP client of the commands for callers and operators.

use crate::errors;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::header;
use hyper_util::client::legacy;
use hyper_util::rt;
use serde_json::Value;
use std::time::Duration;
use tokio::time;

/// Longest wait for the head of an answer, and again for its body.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Address of the entry that the variable BASILFIELD_URL names, or the local entry if it is unset.
pub fn default_url() -> String {
    std::env::var("BASILFIELD_URL").unwrap_or_else(|_| "http://127.0.0.1:8080".into())
}

/// Key in the variable BASILFIELD_KEY; empty if it is unset.
pub fn default_key() -> String {
    std::env::var("BASILFIELD_KEY").unwrap_or_default()
}

/// Client of one entry.
pub struct Client {
    url: String,
    key: String,
    client: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>,
}

/// Answer of an entry.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the header that names the next page; empty without one.
    pub next: String,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; a string if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|_| Value::from(String::from_utf8_lossy(&self.body)))
    }

    /// Whether the request succeeded.
    pub fn is_ok(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Returns the innermost cause of an error. The outer ones only say that connecting failed.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

impl Client {
    /// Creates a client. Nothing is sent yet.
    pub fn new(url: &str, key: &str) -> Client {
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Client { url: url.trim_end_matches('/').to_string(), key: key.to_string(), client }
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, errors::Error> {
        if !self.url.starts_with("http://") {
            let cause = "the address of an entry must begin with http://";
            return Err(errors::Error::invalid("read address", &*self.url, cause));
        }
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(http_body_util::Full::new(body.into()))
            .map_err(|e| errors::Error::invalid("build request", &*self.url, e))?;
        let sent = time::timeout(ANSWER_TIMEOUT, self.client.request(request)).await;
        let timeout = || {
            let limit = u64::try_from(ANSWER_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
            errors::Error::new("await answer", &*self.url, errors::Cause::Timeout(limit))
        };
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) if e.is_connect() => {
                return Err(errors::Error::io("connect", &*self.url, root_cause(&e)));
            }
            Ok(Err(e)) => return Err(errors::Error::lost("send request", &*self.url, e)),
            Err(_) => return Err(timeout()),
        };
        let status = answer.status().as_u16();
        let next = answer.headers().get(crate::entry::batches::NEXT_HEADER);
        let next = next.and_then(|v| v.to_str().ok()).unwrap_or_default().to_string();
        let body = time::timeout(ANSWER_TIMEOUT, answer.into_body().collect())
            .await
            .map_err(|_| timeout())?
            .map_err(|e| errors::Error::lost("read answer", &*self.url, e))?
            .to_bytes();
        Ok(Answer { status, next, body })
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Answer, errors::Error> {
        self.send("POST", path, body.to_string()).await
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<Answer, errors::Error> {
        self.send("GET", path, Bytes::new()).await
    }
}

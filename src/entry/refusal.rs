//! Converts refusals to HTTP responses: status, headers and body.

use crate::entry::attempt;
use crate::wire;
use axum::Json;
use axum::http;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::json;
use std::time::Duration;

/// Response header that says whether a refused request was run.
pub const RUN_HEADER: &str = "basilfield-run";
/// Response header with the reason of a refusal.
pub const REASON_HEADER: &str = "basilfield-reason";

/// Returns the message that explains a reason to the caller.
pub fn explain(reason: wire::Reason) -> &'static str {
    match reason {
        wire::Reason::QueueFull => "the queue for this model is full",
        wire::Reason::Deadline => "the deadline cannot be met",
        wire::Reason::Draining => "the endpoint is draining",
        wire::Reason::Stopping => "the process is stopping",
        wire::Reason::NoEndpoint => "no endpoint serves this model or service",
        wire::Reason::RateLimit => "the workspace exceeds its request rate",
        wire::Reason::ConcurrencyLimit => "the workspace exceeds its concurrent requests",
        wire::Reason::RetryBudget => "the request failed and the retry budget is spent",
        wire::Reason::StaleConfig => "the configuration could not be confirmed to be current",
        wire::Reason::NoQuorum => "the state hosts have no quorum at the moment",
        wire::Reason::DiskFull => "the disk of the state hosts is full",
        wire::Reason::Superseded => "a newer connection replaced this one",
        wire::Reason::Withdrawn => "the attempt was withdrawn",
        wire::Reason::EndpointFailed => "the endpoint failed",
        wire::Reason::AgentLost => "the connection to the endpoint's host was lost",
        wire::Reason::Stalled => "the answer stalled",
        wire::Reason::Invalid => "the request is not valid",
        wire::Reason::Conflict => "the same key was used with other content",
        wire::Reason::Held => {
            "an earlier call with this key has no known outcome; it may run, have run, or still run"
        }
    }
}

fn status(refusal: &attempt::Refusal) -> http::StatusCode {
    match refusal.reason {
        wire::Reason::RateLimit | wire::Reason::ConcurrencyLimit | wire::Reason::QueueFull => {
            http::StatusCode::TOO_MANY_REQUESTS
        }
        wire::Reason::Invalid => http::StatusCode::BAD_REQUEST,
        wire::Reason::Conflict | wire::Reason::Held => http::StatusCode::CONFLICT,
        wire::Reason::NoEndpoint
        | wire::Reason::Draining
        | wire::Reason::Stopping
        | wire::Reason::StaleConfig
        | wire::Reason::NoQuorum
        | wire::Reason::DiskFull
        | wire::Reason::Deadline
        | wire::Reason::Superseded
        | wire::Reason::Withdrawn => http::StatusCode::SERVICE_UNAVAILABLE,
        wire::Reason::EndpointFailed
        | wire::Reason::AgentLost
        | wire::Reason::Stalled
        | wire::Reason::RetryBudget => http::StatusCode::BAD_GATEWAY,
    }
}

/// Error object in the format of the OpenAI API, extended by whether the request was run.
pub fn body(refusal: &attempt::Refusal) -> serde_json::Value {
    json!({ "error": {
        "message": explain(refusal.reason),
        "type": "basilfield_refusal",
        "code": refusal.reason.label(),
        "run": refusal.run,
        "retry_after_ms": u64::try_from(refusal.retry.as_millis()).unwrap_or(u64::MAX),
    } })
}

impl IntoResponse for attempt::Refusal {
    fn into_response(self) -> Response {
        // Retry-After is in whole seconds, rounded up so that callers do not retry too early.
        let seconds = self.retry.as_millis().div_ceil(1_000).max(1);
        let headers = [
            (header::RETRY_AFTER.as_str(), seconds.to_string()),
            (RUN_HEADER, self.run.to_string()),
            (REASON_HEADER, self.reason.to_string()),
        ];
        (status(&self), headers, Json(body(&self))).into_response()
    }
}

/// Response to an invalid request. `message` explains the error.
pub fn invalid(message: impl std::fmt::Display) -> Response {
    rejected(http::StatusCode::BAD_REQUEST, "invalid", message)
}

/// Response to a request that was refused without being run. `code` is the reason for programs,
/// `message` the explanation for people.
pub fn rejected(
    status: http::StatusCode,
    code: &'static str,
    message: impl std::fmt::Display,
) -> Response {
    let body = json!({ "error": {
        "message": message.to_string(), "type": "basilfield_refusal", "code": code, "run": "no",
    } });
    let headers = [(RUN_HEADER, "no"), (REASON_HEADER, code)];
    (status, headers, Json(body)).into_response()
}

/// Converts a failure of the state hosts to a refusal.
pub fn from_state(error: &crate::client::NotDone) -> attempt::Refusal {
    attempt::Refusal { reason: error.reason, run: error.run, retry: Duration::from_secs(1) }
}

//! Runs one item of a batch job at one endpoint.

use crate::fleet::ledger;
use crate::fleet::node;
use crate::fleet::progress;
use crate::fleet::protocol;
use crate::fleet::sse;
use crate::fleet::upstream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;

/// Longest wait for the head of a response and between two chunks of it. After that the item
/// continues elsewhere.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How the run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Its output is complete.
    Done,
    /// The item continues in a later run.
    Interrupted {
        /// What interrupted the run.
        cause: Arc<str>,
        /// Whether the endpoint misbehaved, so that it is avoided for a while.
        at_fault: bool,
    },
    /// The endpoint answered that running the item failed.
    Failed,
    /// The endpoint answered that the item can never run.
    Impossible,
}

/// Progress of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunUpdate {
    /// An event arrived, with this data and number.
    Event(Vec<u8>, Option<u64>),
    /// The run has ended.
    Ended(RunEnd),
}

/// Update of a run for the dispatcher. The run number tells it apart from late reports of earlier
/// runs of the same item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Item that runs.
    pub key: progress::ItemKey,
    /// Number of the run.
    pub number: u64,
    /// New event or end of the run.
    pub update: RunUpdate,
}

/// One run of an item.
pub struct Run {
    /// Item that runs.
    pub key: progress::ItemKey,
    /// Number of the run.
    pub number: u64,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Request of the item.
    pub request: hyper::Request<Full<Bytes>>,
}

/// Builds the request that runs an item at an endpoint, continuing after the event `last`.
///
/// # Errors
/// The item's id, path or headers do not form a valid request.
pub fn request(
    names: &protocol::Headers,
    item: &ledger::Item,
    host: &str,
    endpoint: &str,
    last: Option<u64>,
) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = hyper::Request::builder().method("POST").uri(&*item.path);
    for (name, value) in &item.headers {
        request = request.header(&**name, &**value);
    }
    let mut request = request.body(Full::new(item.body.clone()))?;
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_str(host)?);
    headers.insert(names.request_id.clone(), HeaderValue::from_str(&item.id)?);
    headers.insert(names.expected_endpoint.clone(), HeaderValue::from_str(endpoint)?);
    match last {
        Some(last) => headers.insert(names.last_event.clone(), HeaderValue::from(last)),
        None => headers.remove(&names.last_event),
    };
    Ok(request)
}

fn interrupted(cause: &str, at_fault: bool) -> RunEnd {
    RunEnd::Interrupted { cause: cause.into(), at_fault }
}

impl Run {
    /// Runs the item and sends its events and its end to `reports`.
    pub async fn run(self, node: node::Node, reports: mpsc::Sender<Report>) {
        let (key, number) = (self.key.clone(), self.number);
        let update = RunUpdate::Ended(self.stream_events(&node, &reports).await);
        // The receiver is dropped only when the process ends.
        let _ = reports.send(Report { key, number, update }).await;
    }

    /// Sends the request and reports each event of the response.
    async fn stream_events(self, node: &node::Node, reports: &mpsc::Sender<Report>) -> RunEnd {
        let names = node.view.protocol().headers();
        let sent =
            time::timeout(RESPONSE_TIMEOUT, node.upstream.send(self.address, self.request, false))
                .await;
        let mut response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(failure)) => return interrupted(&failure.to_string(), true),
            Err(_) => return interrupted("no response in time", true),
        };
        let status = response.head.status;
        match response.classify(names, &self.key.1) {
            upstream::ResponseClass::Matching => {}
            upstream::ResponseClass::Declined => return interrupted("declined", false),
            upstream::ResponseClass::Mismatched => {
                return interrupted("answer of another request", true);
            }
        }
        match status {
            StatusCode::UNPROCESSABLE_ENTITY => return RunEnd::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::Failed,
            status if !status.is_success() => {
                return interrupted(&format!("status {}", status.as_u16()), false);
            }
            _ => {}
        }
        let mut splitter = sse::Splitter::default();
        loop {
            let bytes = match time::timeout(RESPONSE_TIMEOUT, response.next_chunk()).await {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) if splitter.remainder().is_empty() => return RunEnd::Done,
                Ok(Ok(None)) => return interrupted("the stream ends within an event", true),
                Ok(Err(cause)) => return interrupted(&cause, true),
                Err(_) => return interrupted("silence", true),
            };
            if splitter.push(&bytes).is_err() {
                return interrupted("an event is too long", true);
            }
            while let Some(event) = splitter.next_event() {
                let update = RunUpdate::Event(event.data(), event.id);
                let report = Report { key: self.key.clone(), number: self.number, update };
                if reports.send(report).await.is_err() {
                    return interrupted("the process ends", false);
                }
            }
        }
    }
}

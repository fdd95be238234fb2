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

/// Silence of an endpoint after which the item continues at another one, if one has a free slot. A
/// sound endpoint may be silent for a second or more.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Silence after which a run ends in any case: the connection may lead nowhere.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

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
    /// The endpoint has been silent for long. The run goes on.
    Silent,
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
        let Run { key, number, address, request } = self;
        let reporter = Reporter { key, number, reports };
        let update = RunUpdate::Ended(reporter.stream_events(&node, address, request).await);
        reporter.send(update).await;
    }
}

/// Sends the updates of one run to the dispatcher.
struct Reporter {
    key: progress::ItemKey,
    number: u64,
    reports: mpsc::Sender<Report>,
}

impl Reporter {
    /// Sends an update. Returns `false` if the process ends.
    async fn send(&self, update: RunUpdate) -> bool {
        let report = Report { key: self.key.clone(), number: self.number, update };
        self.reports.send(report).await.is_ok()
    }

    /// Waits for the endpoint to go on and reports a long silence. Returns `None` after
    /// `RESPONSE_TIMEOUT`.
    async fn wait<T>(&self, answer: impl Future<Output = T>) -> Option<T> {
        let mut answer = std::pin::pin!(answer);
        if let Ok(answer) = time::timeout(SILENCE_LIMIT, &mut answer).await {
            return Some(answer);
        }
        self.send(RunUpdate::Silent).await;
        time::timeout(RESPONSE_TIMEOUT - SILENCE_LIMIT, answer).await.ok()
    }

    /// Sends the request and reports each event of the response.
    async fn stream_events(
        &self,
        node: &node::Node,
        address: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
    ) -> RunEnd {
        let names = node.view.protocol().headers();
        let mut response = match self.wait(node.upstream.send(address, request, false)).await {
            Some(Ok(response)) => response,
            Some(Err(failure)) => return interrupted(&failure.to_string(), true),
            None => return interrupted("no response in time", true),
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
            let bytes = match self.wait(response.next_chunk()).await {
                Some(Ok(Some(bytes))) => bytes,
                Some(Ok(None)) if splitter.remainder().is_empty() => return RunEnd::Done,
                Some(Ok(None)) => return interrupted("the stream ends within an event", true),
                Some(Err(cause)) => return interrupted(&cause, true),
                None => return interrupted("silence", true),
            };
            if splitter.push(&bytes).is_err() {
                return interrupted("an event is too long", true);
            }
            while let Some(event) = splitter.next_event() {
                if !self.send(RunUpdate::Event(event.data(), event.id)).await {
                    return interrupted("the process ends", false);
                }
            }
        }
    }
}

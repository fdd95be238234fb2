//! Runs one item at one endpoint.

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

/// Silence of an endpoint after which an item goes on elsewhere.
const SILENCE: Duration = Duration::from_millis(3_000);

/// How the run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Its output is complete.
    Done,
    /// It goes on later. `at_fault` tells whether the endpoint did not do what it should.
    Interrupted {
        /// What happened.
        cause: Arc<str>,
        /// Whether the endpoint should be avoided for a while.
        at_fault: bool,
    },
    /// The endpoint answered with a failure.
    Failed,
    /// The endpoint said that the item can never be run.
    Impossible,
}

/// What a run has to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// Data and number of an event.
    Event(Vec<u8>, Option<u64>),
    /// The run has ended.
    Ended(Ended),
}

/// Report of a run. Its number tells it from earlier runs of the same item, whose last reports may
/// still be under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Item that runs.
    pub key: progress::Key,
    /// Number of the run.
    pub number: u64,
    /// What it has to say.
    pub said: Said,
}

/// One run of an item.
pub struct Run {
    /// Item that runs.
    pub key: progress::Key,
    /// Number of the run.
    pub number: u64,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Request of the item.
    pub request: hyper::Request<Full<Bytes>>,
}

/// Request of an item for an endpoint, to go on after the event `last`.
///
/// # Errors
/// The caller's id, path or headers do not form a request.
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
    headers.insert(names.request.clone(), HeaderValue::from_str(&item.id)?);
    headers.insert(names.expect.clone(), HeaderValue::from_str(endpoint)?);
    match last {
        Some(last) => headers.insert(names.resume.clone(), HeaderValue::from(last)),
        None => headers.remove(&names.resume),
    };
    Ok(request)
}

fn interrupted(cause: &str, at_fault: bool) -> Ended {
    Ended::Interrupted { cause: cause.into(), at_fault }
}

impl Run {
    /// Runs the item and reports its events and its end.
    pub async fn run(self, node: node::Node, reports: mpsc::Sender<Report>) {
        let (key, number) = (self.key.clone(), self.number);
        let said = Said::Ended(self.events(&node, &reports).await);
        // The dispatcher is gone only when the process ends.
        let _ = reports.send(Report { key, number, said }).await;
    }

    async fn events(self, node: &node::Node, reports: &mpsc::Sender<Report>) -> Ended {
        let names = node.view.protocol().headers();
        let sent =
            time::timeout(SILENCE, node.upstream.send(self.address, self.request, false)).await;
        let mut answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(failure)) => return interrupted(&failure.to_string(), true),
            Err(_) => return interrupted("no answer", true),
        };
        let status = answer.head.status;
        match answer.said(names, &self.key.1) {
            upstream::Said::Own => {}
            upstream::Said::Declined => return interrupted("declined", false),
            upstream::Said::Strange => return interrupted("answer of another request", true),
        }
        match status {
            StatusCode::UNPROCESSABLE_ENTITY => return Ended::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return Ended::Failed,
            status if !status.is_success() => {
                return interrupted(&format!("status {}", status.as_u16()), false);
            }
            _ => {}
        }
        let mut splitter = sse::Splitter::default();
        loop {
            let bytes = match time::timeout(SILENCE, answer.next()).await {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) if splitter.rest().is_empty() => return Ended::Done,
                Ok(Ok(None)) => return interrupted("the stream ends within an event", true),
                Ok(Err(cause)) => return interrupted(&cause, true),
                Err(_) => return interrupted("silence", true),
            };
            if splitter.push(&bytes).is_err() {
                return interrupted("an event is too long", true);
            }
            while let Some(event) = splitter.next_event() {
                let said = Said::Event(event.data(), event.id);
                let report = Report { key: self.key.clone(), number: self.number, said };
                if reports.send(report).await.is_err() {
                    return interrupted("the process ends", false);
                }
            }
        }
    }
}

//! Runs one item of a batch job at one endpoint.

use crate::fleet::crashes;
use crate::fleet::event_stream;
use crate::fleet::ledger;
use crate::fleet::limits;
use crate::fleet::node;
use crate::fleet::progress;
use crate::fleet::protocol;
use crate::fleet::quarantine;
use crate::fleet::sequence;
use crate::fleet::sse;
use crate::fleet::upstream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
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
/// Longest time of one run. An item that is interrupted continues after its last event, so that the
/// limit costs an item with a long output little.
const MAX_RUN_TIME: Duration = Duration::from_secs(120);

/// How the run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// The answer had neither an event nor anything that shows that it is complete.
    Empty,
    /// The endpoint has certainly not run the item, which runs again later.
    NotRun {
        /// Why it was not run.
        cause: Arc<str>,
        /// Whether the endpoint misbehaved, so that it is avoided for a while.
        at_fault: bool,
    },
    /// The answer ended after an event, and nothing shows that it is complete.
    Open,
}

/// Progress of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunUpdate {
    /// An event arrived, with this data and number.
    Event(Vec<u8>, Option<u64>),
    /// The endpoint has been silent for long. The run goes on.
    Silent,
    /// The endpoint with this id and start time is leaving, as it said to the host that carries out
    /// the run.
    Leaving(Arc<str>, u64),
    /// The endpoint has stated its limit in its answer.
    Limit(limits::Statement),
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
    /// Number of the last event that has arrived in earlier runs.
    pub last_event: Option<u64>,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time.
    pub start_time: u64,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Version of the endpoint's limit that the leader knew when it planned the run; 0 for none.
    pub limit_version: u64,
    /// Parts of the item's prompt.
    pub prompt: Arc<quarantine::RequestCauses>,
    /// Request of the item.
    pub request: hyper::Request<Full<Bytes>>,
}

/// Builds the request that runs an item at an endpoint, continuing after the event `last`. The
/// endpoint gets the workspace from the ledger key `job`, whatever the headers of the item say. The
/// key of a caller, which is for entries only, does not reach the endpoint on items of a workspace.
///
/// # Errors
/// The item's id, path or headers, or the name of the workspace, do not form a valid request.
pub fn request(
    names: &protocol::Headers,
    job: &str,
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
    match ledger::job_workspace(job) {
        Some(workspace) => {
            headers.remove(&names.caller);
            let value = HeaderValue::from_bytes(workspace.as_bytes())?;
            headers.insert(names.workspace.clone(), value);
        }
        None => {
            headers.remove(&names.workspace);
        }
    }
    match last {
        Some(last) => headers.insert(names.last_event.clone(), HeaderValue::from(last)),
        None => headers.remove(&names.last_event),
    };
    Ok(request)
}

/// Decides how long a run waits for the next bytes. Comments and repeated events do not prolong it.
/// Free of I/O.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    begun: time::Instant,
    last_new: time::Instant,
    /// Whether the silence since the last new event was reported.
    reported: bool,
}

impl Patience {
    /// Creates the state of a run that begins at `now`.
    pub fn new(now: time::Instant) -> Patience {
        Patience { begun: now, last_new: now, reported: false }
    }

    /// Records that an event arrived that was not known before.
    pub fn record_event(&mut self, now: time::Instant) {
        (self.last_new, self.reported) = (now, false);
    }

    /// Whether a silence is to be reported now. It is reported once.
    pub fn report_silence(&mut self, now: time::Instant) -> bool {
        let due = !self.reported && now - self.last_new >= SILENCE_LIMIT;
        self.reported |= due;
        due
    }

    /// Longest wait for the next bytes, after which the limit has to be asked for again.
    ///
    /// # Errors
    /// How the run ends, if it waits no longer.
    pub fn limit(&self, now: time::Instant) -> Result<Duration, RunEnd> {
        let silent = now - self.last_new;
        let left = MAX_RUN_TIME.saturating_sub(now - self.begun);
        if silent >= RESPONSE_TIMEOUT {
            return Err(interrupted("no new event in time", true));
        }
        if left.is_zero() {
            return Err(interrupted("the run takes too long", false));
        }
        let next = if silent < SILENCE_LIMIT { SILENCE_LIMIT } else { RESPONSE_TIMEOUT };
        Ok((next - silent).min(left))
    }
}

fn interrupted(cause: &str, at_fault: bool) -> RunEnd {
    RunEnd::Interrupted { cause: cause.into(), at_fault }
}

impl Run {
    /// Runs the item and sends its events and its end to `reports`.
    pub async fn run(self, node: node::Node, reports: mpsc::Sender<Report>) {
        let Run {
            key,
            number,
            last_event,
            endpoint,
            start_time,
            address,
            limit_version,
            prompt,
            request,
        } = self;
        let mut reporter = Reporter {
            node,
            key,
            number,
            last_event,
            endpoint,
            start_time,
            address,
            limit_version,
            prompt,
            events: 0,
            reports,
        };
        let ended = reporter.stream_events(request).await;
        match &ended {
            // Nothing was left to write that the endpoint could crash on.
            RunEnd::Empty | RunEnd::Open if reporter.is_confirming() => {}
            // An answer without a length ends in the same way when its endpoint crashes.
            RunEnd::Interrupted { at_fault: true, .. } | RunEnd::Empty | RunEnd::Open => {
                reporter.record_broken_answer();
            }
            RunEnd::Done if reporter.events > 0 => {
                reporter.node.record_answer(&reporter.prompt);
            }
            RunEnd::Done => reporter.record_broken_answer(),
            _ => {}
        }
        reporter.send(RunUpdate::Ended(ended)).await;
    }
}

/// Sends the updates of one run to the dispatcher.
struct Reporter {
    node: node::Node,
    key: progress::ItemKey,
    number: u64,
    /// Number of the last event that has arrived in earlier runs.
    last_event: Option<u64>,
    endpoint: Arc<str>,
    start_time: u64,
    address: SocketAddr,
    limit_version: u64,
    prompt: Arc<quarantine::RequestCauses>,
    /// New events of this run.
    events: u32,
    reports: mpsc::Sender<Report>,
}

impl Reporter {
    /// Whether the run has no new event, after runs with several. Its answer confirms their end then.
    fn is_confirming(&self) -> bool {
        self.events == 0 && self.last_event >= Some(u64::from(crashes::ANSWERED_EVENTS))
    }

    /// Records that the answer broke off.
    fn record_broken_answer(&self) {
        if self.events < crashes::ANSWERED_EVENTS {
            let endpoint = (&self.endpoint, self.start_time, self.address);
            self.node.record_broken_request(endpoint, &self.prompt, &self.key.1);
        }
    }

    /// Sends an update. Returns `false` if the process ends.
    async fn send(&self, update: RunUpdate) -> bool {
        let report = Report { key: self.key.clone(), number: self.number, update };
        self.reports.send(report).await.is_ok()
    }

    /// Waits for the endpoint to go on and reports a long silence.
    ///
    /// # Errors
    /// How the run ends, if the endpoint does not go on in time.
    async fn wait<T>(
        &self,
        patience: &mut Patience,
        answer: impl Future<Output = T>,
    ) -> Result<T, RunEnd> {
        let mut answer = std::pin::pin!(answer);
        loop {
            if patience.report_silence(time::Instant::now()) {
                // Another endpoint may take the item over, which ends this run.
                self.record_broken_answer();
                self.send(RunUpdate::Silent).await;
            }
            let limit = patience.limit(time::Instant::now())?;
            if let Ok(answer) = time::timeout(limit, &mut answer).await {
                return Ok(answer);
            }
        }
    }

    /// Sends the request and reports each event of the response.
    async fn stream_events(&mut self, request: hyper::Request<Full<Bytes>>) -> RunEnd {
        let node = self.node.clone();
        let names = node.view.protocol().headers();
        let mut patience = Patience::new(time::Instant::now());
        let sent_at = node.now();
        // On a kept connection, the endpoint may repeat its answer to an earlier run, which did not go
        // on after this event.
        let new_connection = self.last_event.is_some();
        let id = self.key.1.clone();
        let sent = node.upstream.send_as(self.address, Some(&id), request, new_connection);
        let sent = self.wait(&mut patience, sent).await;
        let mut response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(failure)) => {
                let cause = failure.to_string();
                return match failure {
                    upstream::Failure::NotSent(_) => {
                        RunEnd::NotRun { cause: cause.into(), at_fault: true }
                    }
                    upstream::Failure::Lost(_) => interrupted(&cause, true),
                };
            }
            Err(ended) => return ended,
        };
        let status = response.head.status;
        let notice = response.leaving_notice(names, &self.key.1);
        node.handle_leaving_notice(&self.endpoint, self.start_time, notice, &self.key.1);
        let limit = limits::notice::read(names, &response.head, &self.key.1);
        let start = limits::EndpointStart::new(&self.endpoint, self.start_time);
        node.handle_limit_notice(&start, limit, sent_at, &self.key.1);
        let rate = match limit {
            limits::notice::Notice::Limit(rate) => Some(Some(rate)),
            limits::notice::Notice::Absent if self.limit_version > 0 => Some(None),
            limits::notice::Notice::Absent | limits::notice::Notice::Unusable(_) => None,
        };
        if let Some(rate) = rate {
            let statement = limits::Statement { endpoint: start, rate, basis: self.limit_version };
            self.send(RunUpdate::Limit(statement)).await;
        }
        if notice == upstream::LeavingNotice::Leaving {
            // The leader may be another host, which would send further items there.
            self.send(RunUpdate::Leaving(self.endpoint.clone(), self.start_time)).await;
        }
        match response.classify(names, &self.key.1) {
            upstream::ResponseClass::Matching => {}
            upstream::ResponseClass::Declined => {
                return RunEnd::NotRun { cause: "declined".into(), at_fault: false };
            }
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
        let mut sequence = sequence::Sequence::default();
        let mut last_event = self.last_event;
        loop {
            let bytes = match self.wait(&mut patience, response.next_chunk()).await {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) if !splitter.remainder().is_empty() => {
                    return interrupted("the stream ends within an event", true);
                }
                Ok(Ok(None)) => {
                    return match sequence.check_end(last_event) {
                        Err(cause) => interrupted(&cause, true),
                        Ok(()) if response.is_framed() => RunEnd::Done,
                        Ok(()) if splitter.has_data() => RunEnd::Open,
                        // What crashes one endpoint may crash the next one as well.
                        Ok(()) if !crashes::accepts(self.address).await => {
                            interrupted(event_stream::ENDED_IN_CRASH, true)
                        }
                        Ok(()) => RunEnd::Empty,
                    };
                }
                Ok(Err(cause)) => return interrupted(&cause, true),
                Err(ended) => return ended,
            };
            if splitter.push(&bytes).is_err() {
                return interrupted("an event is too long", true);
            }
            if let Err(cause) = response.hold(splitter.remainder().len().next_power_of_two()) {
                return interrupted(&cause, true);
            }
            while let Some(event) = splitter.next_event() {
                match sequence.check(last_event, &event) {
                    Ok(true) if event.id.is_some() || event.has_data() => {}
                    Ok(_) => continue,
                    Err(cause) => return interrupted(&cause, true),
                }
                last_event = event.id.or(last_event);
                patience.record_event(time::Instant::now());
                self.events = self.events.saturating_add(1);
                if self.events == crashes::ANSWERED_EVENTS {
                    node.record_answer(&self.prompt);
                }
                if !self.send(RunUpdate::Event(event.data(), event.id)).await {
                    return interrupted("the process ends", false);
                }
            }
        }
    }
}

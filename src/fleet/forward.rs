//! Forwards a request to an endpoint and the response to the caller.

use crate::event;
use crate::events;
use crate::fleet::attempt;
use crate::fleet::node;
use crate::fleet::place;
use crate::fleet::protocol;
use crate::fleet::routes;
use crate::fleet::serve;
use crate::fleet::slots;
use crate::fleet::sse;
use crate::fleet::upstream;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;

/// Largest response that is buffered before it is passed on.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Shortest wait for the first event before another endpoint is tried. A busy engine starts a
/// request within a few tenths of a second.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Shortest wait between two events before another endpoint is tried.
const MIN_NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Shortest time after which a refused caller should retry. A slot of an engine becomes free within
/// it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Random part of the retry time, so that refused callers do not all retry at once.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(500);
/// Share of the response target for which a request waits for a slot. The rest is the usual time to
/// the first event.
const SLOT_WAIT_SHARE: f64 = 0.6;
/// A request is not sent if less than this is left until its deadline.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Headers that apply to one connection only, RFC 9110 section 7.6.1.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// Request to forward, with its whole body.
pub struct Request {
    /// Id that the caller gave the request.
    pub id: Arc<str>,
    /// Method, path and headers.
    pub head: hyper::http::request::Parts,
    /// Body.
    pub body: Bytes,
    /// Route that was in force when the request arrived.
    pub route: routes::Route,
    /// Time at which the request arrived.
    pub arrived: time::Instant,
    /// Reservation of memory for the body.
    pub _body_permit: tokio::sync::OwnedSemaphorePermit,
}

/// Removes the headers that apply to one connection only, and those named by `Connection`.
fn remove_hop_by_hop(headers: &mut HeaderMap, keep_length: bool) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        if !(keep_length && *name == header::CONTENT_LENGTH) {
            headers.remove(name);
        }
    }
}

/// Reads a header whose value is a number; `None` if it is absent or not a number.
pub fn numeric_header(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Builds the response that tells a caller that its request has not run and when to retry.
pub fn refuse(node: &node::Node, id: &str, reason: &'static str) -> serve::Response {
    node.metrics.count_refusal(reason, "no");
    let spread = RETRY_AFTER_JITTER.mul_f64(rand::random::<f64>());
    let pause = MIN_RETRY_AFTER + spread;
    event!(node.log, events::REQUEST_REFUSED; "request" => id, "reason" => reason,
        "retry_ms" => pause.as_millis() as u64);
    let text = format!("not run: {reason}\n");
    let mut response = serve::response(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", pause.as_secs_f64());
    let value = HeaderValue::try_from(seconds).expect("digits are a valid header");
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

/// Builds the response that tells a caller that the outcome of its request is unknown.
fn fail(node: &node::Node, id: &str, status: StatusCode, reason: &str) -> serve::Response {
    node.metrics.count_request("online", "unknown");
    event!(node.log, events::REQUEST_FAILED; "request" => id, "status" => status.as_u16(),
        "reason" => reason);
    serve::response(status, format!("outcome unknown: {reason}\n"))
}

/// State of one forwarded request across its attempts.
struct Forwarder {
    node: node::Node,
    request: Request,
    /// Deadline set by the caller or the route, whichever is earlier.
    deadline: time::Instant,
    attempts: attempt::Attempts,
    /// Ids of the endpoints that were tried.
    tried: Vec<Arc<str>>,
    /// Number of the last event that the caller has received.
    last_event: Option<u64>,
    service: Arc<str>,
}

/// Response of an endpoint whose head has arrived.
struct StartedResponse {
    response: upstream::Response,
    endpoint: place::Candidate,
    _guard: slots::RequestGuard,
}

/// Result of one attempt.
enum AttemptResult {
    /// The head of the response has arrived.
    Started(Box<StartedResponse>),
    /// The attempt ended without a usable response, for this cause.
    Unsuccessful(attempt::Outcome, Arc<str>),
    /// The deadline passed while the request may be running.
    DeadlineExceeded,
}

/// Forwards a request. Dropping the future or the body of the response cancels it.
pub async fn forward(node: node::Node, request: Request) -> serve::Response {
    let headers = node.view.protocol().headers().clone();
    let requested =
        numeric_header(&request.head.headers, &headers.deadline).map(Duration::from_millis);
    let limit = requested.unwrap_or(request.route.timeout).min(request.route.timeout);
    let deadline = request.arrived + limit;
    let Some(service) = request.route.choose_service(rand::random()).cloned() else {
        return refuse(&node, &request.id, "the route has no service");
    };
    let attempts = attempt::Attempts::new(request.route.is_retryable(), request.route.max_attempts);
    let last_event = numeric_header(&request.head.headers, &headers.last_event);
    let mut forwarder =
        Forwarder { node, request, deadline, attempts, tried: Vec::new(), last_event, service };
    match forwarder.request.route.kind {
        routes::Kind::Stream => forwarder.forward_stream(&headers).await,
        _ => forwarder.forward_whole(&headers).await,
    }
}

impl Forwarder {
    /// Time left until the deadline.
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(time::Instant::now())
    }

    /// Chooses the endpoint for the next attempt.
    fn choose_endpoint(&self) -> place::Choice {
        let candidates = self.node.candidates(&self.service);
        place::choose(candidates, &self.tried, rand::random())
    }

    /// Waits for a slot. If none becomes free in time, returns the endpoint `other`, if any.
    async fn wait_for_slot(
        &self,
        other: Option<place::Candidate>,
    ) -> Option<(place::Candidate, slots::RequestGuard)> {
        let limit = self.request.route.response_target.mul_f64(SLOT_WAIT_SHARE);
        let waited = self.request.arrived.elapsed();
        let limit = limit.saturating_sub(waited).min(self.time_left());
        if let Some(guard) = self.node.wait_for_slot(&self.service, limit).await {
            let candidates = self.node.candidates(&self.service);
            let found = candidates.into_iter().find(|c| c.id == *guard.endpoint());
            if let Some(endpoint) = found.filter(|c| !self.tried.contains(&c.id)) {
                return Some((endpoint, guard));
            }
        }
        let other = other?;
        let guard = self.node.count_request(&self.service, &other.id);
        Some((other, guard))
    }

    /// Builds the request to send to an endpoint.
    fn outgoing_request(
        &self,
        headers: &protocol::Headers,
        endpoint: &place::Candidate,
    ) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.head.method.clone();
        *request.uri_mut() = self.request.head.uri.clone();
        let mut fields = self.request.head.headers.clone();
        remove_hop_by_hop(&mut fields, false);
        let left = self.time_left().as_millis() as u64;
        fields.insert(headers.deadline.clone(), HeaderValue::from(left));
        let id = HeaderValue::from_str(&endpoint.id).expect("ids are checked on registration");
        fields.insert(headers.expected_endpoint.clone(), id);
        if let Some(last) = self.last_event {
            fields.insert(headers.last_event.clone(), HeaderValue::from(last));
        }
        *request.headers_mut() = fields;
        request
    }

    /// Sends the request to one endpoint and waits for the head of the response, at most
    /// `attempt_timeout`.
    async fn attempt(
        &mut self,
        headers: &protocol::Headers,
        endpoint: place::Candidate,
        guard: slots::RequestGuard,
        attempt_timeout: Duration,
    ) -> AttemptResult {
        let request = self.outgoing_request(headers, &endpoint);
        let id = self.request.id.clone();
        event!(self.node.log, events::ATTEMPT_SENT; "request" => &*id, "endpoint" => &*endpoint.id,
            "running" => ?endpoint.running, "left_ms" => self.time_left().as_millis() as u64);
        let limit = self.time_left().min(attempt_timeout);
        // The endpoint may close an idle connection while the request is being sent.
        let new_connection = !self.request.route.is_retryable();
        let sending = self.node.upstream.send(endpoint.address, request, new_connection);
        let response = match time::timeout(limit, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(failure)) => {
                self.node.record_endpoint_failure(&endpoint.id, &failure);
                let outcome = match failure {
                    upstream::Failure::NotSent(_) => attempt::Outcome::NotSent,
                    upstream::Failure::Lost(_) => attempt::Outcome::Lost,
                };
                return AttemptResult::Unsuccessful(outcome, failure.to_string().into());
            }
            Err(_) if limit < attempt_timeout => return AttemptResult::DeadlineExceeded,
            Err(_) => {
                self.node.record_endpoint_failure(&endpoint.id, &"no answer");
                return AttemptResult::Unsuccessful(attempt::Outcome::Lost, "no answer".into());
            }
        };
        match response.classify(headers, &id) {
            upstream::ResponseClass::Matching => {}
            upstream::ResponseClass::Declined => {
                let cause = format!("declined with {}", response.head.status.as_u16());
                return AttemptResult::Unsuccessful(attempt::Outcome::Declined, cause.into());
            }
            upstream::ResponseClass::Mismatched => {
                let cause = "answer of another request".into();
                return AttemptResult::Unsuccessful(attempt::Outcome::Lost, cause);
            }
        }
        AttemptResult::Started(Box::new(StartedResponse { response, endpoint, _guard: guard }))
    }

    /// Tries endpoints until a response starts or no attempt is left.
    async fn start_response(
        &mut self,
        headers: &protocol::Headers,
    ) -> Result<Box<StartedResponse>, serve::Response> {
        loop {
            let id = self.request.id.clone();
            if self.time_left() < MIN_TIME_LEFT {
                return Err(self.give_up("the time is over"));
            }
            let (endpoint, guard) = match self.choose_endpoint() {
                place::Choice::Send(endpoint) => {
                    let guard = self.node.count_request(&self.service, &endpoint.id);
                    (endpoint, guard)
                }
                place::Choice::Wait(other) => match self.wait_for_slot(other).await {
                    Some(slot) => slot,
                    None => return Err(self.give_up("every endpoint is full")),
                },
                place::Choice::None => return Err(self.give_up("no endpoint is left")),
            };
            self.tried.push(endpoint.id.clone());
            let attempt_timeout = match self.attempts.may_retry() {
                true => self.first_event_timeout(),
                false => Duration::MAX,
            };
            let name = endpoint.id.clone();
            match self.attempt(headers, endpoint, guard, attempt_timeout).await {
                AttemptResult::Started(started)
                    if started.response.head.status.is_server_error()
                        && self.attempts.may_retry() =>
                {
                    let status = started.response.head.status.as_u16();
                    self.node.record_endpoint_failure(&name, &format!("status {status}"));
                    event!(self.node.log, events::REQUEST_RETRIED; "request" => &*id,
                        "endpoint" => &*name, "outcome" => "Failed", "status" => status);
                    self.attempts.record(attempt::Outcome::Failed);
                }
                AttemptResult::Started(started) => return Ok(started),
                AttemptResult::DeadlineExceeded => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return Err(fail(&self.node, &id, status, "no answer in time"));
                }
                AttemptResult::Unsuccessful(outcome, cause) => {
                    self.node.metrics.count_retry(match outcome {
                        attempt::Outcome::NotSent => "not_sent",
                        attempt::Outcome::Declined => "declined",
                        attempt::Outcome::Lost => "lost",
                        attempt::Outcome::Failed => "failed",
                    });
                    event!(self.node.log, events::REQUEST_RETRIED; "request" => &*id,
                        "endpoint" => &*name, "outcome" => ?outcome, "cause" => &*cause);
                    match self.attempts.record(outcome) {
                        attempt::Next::Again => {}
                        attempt::Next::Refuse => {
                            return Err(refuse(&self.node, &id, "no endpoint took the request"));
                        }
                        attempt::Next::Fail => {
                            return Err(fail(&self.node, &id, StatusCode::BAD_GATEWAY, &cause));
                        }
                    }
                }
            }
        }
    }

    /// Builds the response to a request that has no attempt left.
    fn give_up(&self, reason: &'static str) -> serve::Response {
        match self.attempts.may_have_run() {
            true => fail(&self.node, &self.request.id, StatusCode::BAD_GATEWAY, reason),
            false => refuse(&self.node, &self.request.id, reason),
        }
    }

    /// Longest wait for the first event while another endpoint may be tried.
    fn first_event_timeout(&self) -> Duration {
        MIN_FIRST_EVENT_TIMEOUT.max(self.request.route.response_target * 4)
    }

    /// Longest wait for a further event while another endpoint may be tried.
    fn next_event_timeout(&self) -> Duration {
        MIN_NEXT_EVENT_TIMEOUT.max(self.request.route.gap_target * 3)
    }

    /// Forwards a request and passes the response on once it is complete.
    async fn forward_whole(&mut self, headers: &protocol::Headers) -> serve::Response {
        loop {
            let mut started = match self.start_response(headers).await {
                Ok(started) => started,
                Err(response) => return response,
            };
            let read =
                time::timeout(self.time_left(), started.response.read_body(MAX_RESPONSE_BYTES))
                    .await;
            let id = self.request.id.clone();
            match read {
                Ok(Ok(body)) => {
                    self.node.record_endpoint_success(&started.endpoint.id);
                    let mut head = started.response.head;
                    remove_hop_by_hop(&mut head.headers, false);
                    return hyper::Response::from_parts(head, serve::full_body(body));
                }
                Ok(Err(cause)) => {
                    self.node.record_endpoint_failure(&started.endpoint.id, &cause);
                    if self.attempts.record(attempt::Outcome::Lost) != attempt::Next::Again {
                        return fail(&self.node, &id, StatusCode::BAD_GATEWAY, &cause);
                    }
                }
                Err(_) => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return fail(&self.node, &id, status, "the answer is not complete in time");
                }
            }
        }
    }

    /// Forwards a request whose response is a stream of events.
    async fn forward_stream(mut self, headers: &protocol::Headers) -> serve::Response {
        let started = match self.start_response(headers).await {
            Ok(started) => started,
            Err(response) => return response,
        };
        if !started.response.head.status.is_success() {
            return self.forward_failure(started).await;
        }
        let mut head = started.response.head.clone();
        let mut events = EventStream {
            forwarder: self,
            headers: headers.clone(),
            started: Some(started),
            splitter: sse::Splitter::default(),
            ready: VecDeque::new(),
            ended: false,
        };
        // Wait for the first event: until then another endpoint can take over unnoticed.
        match events.next_bytes().await {
            Some(Ok(event)) => {
                let forwarder = &events.forwarder;
                forwarder
                    .node
                    .metrics
                    .record_latency("first_event", forwarder.request.arrived.elapsed());
                events.ready.push_front(event);
            }
            Some(Err(_)) => {
                // `next_bytes` has set `ended`, so that no departed caller is logged.
                let id = events.forwarder.request.id.clone();
                let status = match events.forwarder.time_left().is_zero() {
                    true => StatusCode::GATEWAY_TIMEOUT,
                    false => StatusCode::BAD_GATEWAY,
                };
                return fail(&events.forwarder.node, &id, status, "the stream broke off");
            }
            None => {}
        }
        if let Some(started) = &events.started {
            head = started.response.head.clone();
        }
        remove_hop_by_hop(&mut head.headers, false);
        let frames = stream::unfold(events, |mut events| async move {
            let next = events.next_bytes().await?;
            Some((next.map(hyper::body::Frame::data), events))
        });
        hyper::Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
    }

    /// Passes an error response of an endpoint on unchanged.
    async fn forward_failure(self, mut started: Box<StartedResponse>) -> serve::Response {
        let body =
            time::timeout(self.time_left(), started.response.read_body(MAX_RESPONSE_BYTES)).await;
        let Ok(Ok(body)) = body else {
            let status = StatusCode::BAD_GATEWAY;
            return fail(&self.node, &self.request.id, status, "the answer broke off");
        };
        let mut head = started.response.head;
        event!(self.node.log, events::REQUEST_FAILED; "request" => &*self.request.id,
            "endpoint" => &*started.endpoint.id, "status" => head.status.as_u16());
        remove_hop_by_hop(&mut head.headers, false);
        hyper::Response::from_parts(head, serve::full_body(body))
    }
}

/// Stream of events for the caller. If an endpoint breaks it off, another one continues it.
struct EventStream {
    forwarder: Forwarder,
    headers: protocol::Headers,
    /// Response that is being read.
    started: Option<Box<StartedResponse>>,
    splitter: sse::Splitter,
    /// Bytes of complete events that the caller has not received yet.
    ready: VecDeque<Bytes>,
    /// Whether the stream ended or failed. Otherwise a dropped stream means that the caller left.
    ended: bool,
}

impl Drop for EventStream {
    fn drop(&mut self) {
        if !self.ended {
            let forwarder = &self.forwarder;
            forwarder.node.metrics.count_request("online", "caller_left");
            event!(forwarder.node.log, events::CALLER_LEFT; "request" => &*forwarder.request.id,
                "after_event" => forwarder.last_event,
                "elapsed_ms" => forwarder.request.arrived.elapsed().as_millis() as u64);
        }
    }
}

impl EventStream {
    /// Returns the next bytes for the caller; `None` after the end of the stream.
    async fn next_bytes(&mut self) -> Option<Result<Bytes, serve::ResponseAborted>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            if self.ended {
                return None;
            }
            if let Err(cause) = self.read_events().await
                && !self.resume(&cause).await
            {
                self.ended = true;
                return Some(Err(serve::ResponseAborted));
            }
        }
    }

    /// Reads one chunk from the endpoint and queues the events that are complete.
    async fn read_events(&mut self) -> Result<(), Arc<str>> {
        let Some(started) = &mut self.started else { return Err("no endpoint".into()) };
        let attempt_timeout = match (self.forwarder.attempts.may_retry(), self.forwarder.last_event)
        {
            (false, _) => Duration::MAX,
            (true, None) => self.forwarder.first_event_timeout(),
            (true, Some(_)) => self.forwarder.next_event_timeout(),
        };
        let left = self.forwarder.deadline.saturating_duration_since(time::Instant::now());
        let bytes =
            match time::timeout(left.min(attempt_timeout), started.response.next_chunk()).await {
                Ok(next) => next?,
                Err(_) => return Err("silence".into()),
            };
        match bytes {
            Some(bytes) => self
                .splitter
                .push(&bytes)
                .map_err(|sse::TooLong| Arc::from("an event is too long"))?,
            None if self.splitter.remainder().is_empty() => {
                self.ended = true;
                self.forwarder.node.record_endpoint_success(&started.endpoint.id);
                let elapsed = self.forwarder.request.arrived.elapsed();
                self.forwarder.node.metrics.count_request("online", "answered");
                self.forwarder.node.metrics.record_latency("answer", elapsed);
                event!(self.forwarder.node.log, events::ANSWER_DELIVERED;
                    "request" => &*self.forwarder.request.id, "endpoint" => &*started.endpoint.id,
                    "events" => self.forwarder.last_event,
                    "elapsed_ms" => elapsed.as_millis() as u64);
            }
            None => return Err("the stream ends within an event".into()),
        }
        let mut bytes = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                // An endpoint that resumes may repeat events that the caller has.
                if self.forwarder.last_event.is_some_and(|last| id <= last) {
                    continue;
                }
                self.forwarder.last_event = Some(id);
            }
            bytes.extend_from_slice(&event.bytes);
        }
        if !bytes.is_empty() {
            self.ready.push_back(bytes.into());
        }
        Ok(())
    }

    /// Continues the stream at another endpoint. Returns whether one has started to respond.
    async fn resume(&mut self, cause: &Arc<str>) -> bool {
        let id = self.forwarder.request.id.clone();
        let from = self.started.take();
        if let Some(started) = &from {
            self.forwarder.node.record_endpoint_failure(&started.endpoint.id, cause);
        }
        // Closes the connection, which cancels the request at the endpoint.
        drop(from);
        self.splitter = sse::Splitter::default();
        let next = self.forwarder.attempts.record(attempt::Outcome::Lost);
        self.forwarder.node.metrics.count_retry("broken_stream");
        event!(self.forwarder.node.log, events::STREAM_RESUMED; "request" => &*id, "cause" => &**cause,
            "after_event" => self.forwarder.last_event, "next" => ?next);
        if next != attempt::Next::Again || self.forwarder.time_left() < MIN_TIME_LEFT {
            return false;
        }
        match self.forwarder.start_response(&self.headers).await {
            Ok(started) if started.response.head.status.is_success() => {
                self.started = Some(started);
                true
            }
            _ => false,
        }
    }
}

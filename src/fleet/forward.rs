//! Forwards one request to an endpoint and its answer to the caller.

use crate::event;
use crate::events;
use crate::fleet::attempt;
use crate::fleet::node;
use crate::fleet::place;
use crate::fleet::protocol;
use crate::fleet::routes;
use crate::fleet::serve;
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

/// Largest answer that is gathered before it is passed on.
const WHOLE: usize = 32 << 20;
/// Shortest silence before the first event after which another endpoint is tried. A busy engine
/// starts a request within a few tenths of a second.
const FIRST_EVENT: Duration = Duration::from_millis(1_200);
/// Shortest silence between two events after which another endpoint is tried.
const NEXT_EVENT: Duration = Duration::from_millis(900);
/// Time before which a refused caller should not come back: a slot of an engine becomes free
/// within it.
const RETRY_MIN: Duration = Duration::from_millis(250);
/// Spread of the times at which refused callers come back.
const RETRY_SPREAD: Duration = Duration::from_millis(500);
/// Time that is left below which a request is no longer sent.
const TOO_LATE: Duration = Duration::from_millis(20);

/// Headers that concern one connection only, RFC 9110 section 7.6.1.
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

/// Request that is forwarded, with its whole body.
pub struct Request {
    /// Id that the caller gave it.
    pub id: Arc<str>,
    /// Method, path and headers.
    pub head: hyper::http::request::Parts,
    /// Body.
    pub body: Bytes,
    /// Route in force when it arrived.
    pub route: routes::Route,
    /// When it arrived.
    pub arrived: time::Instant,
    /// Memory that its body takes.
    pub _room: tokio::sync::OwnedSemaphorePermit,
}

/// Removes the headers that concern one connection only.
fn strip(headers: &mut HeaderMap, keep_length: bool) {
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

/// Reads a header whose value is a number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Tells a caller that its request has not run and when to come back.
pub fn refuse(node: &node::Node, id: &str, reason: &'static str) -> serve::Answer {
    node.metrics.refusal(reason, "no");
    let spread = RETRY_SPREAD.mul_f64(rand::random::<f64>());
    let pause = RETRY_MIN + spread;
    event!(node.log, events::REFUSED; "request" => id, "reason" => reason,
        "retry_ms" => pause.as_millis() as u64);
    let text = format!("not run: {reason}\n");
    let mut answer = serve::answer(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", pause.as_secs_f64());
    let value = HeaderValue::try_from(seconds).expect("digits are a valid header");
    answer.headers_mut().insert(header::RETRY_AFTER, value);
    answer
}

/// Tells a caller that the outcome of its request is not known.
fn fail(node: &node::Node, id: &str, status: StatusCode, reason: &str) -> serve::Answer {
    node.metrics.request("online", "unknown");
    event!(node.log, events::FAILED; "request" => id, "status" => status.as_u16(),
        "reason" => reason);
    serve::answer(status, format!("outcome unknown: {reason}\n"))
}

/// Request on its way through the fleet.
struct Run {
    node: node::Node,
    request: Request,
    /// When the caller or the route no longer waits.
    end: time::Instant,
    attempts: attempt::Attempts,
    tried: Vec<Arc<str>>,
    /// Number of the last event that the caller has.
    last: Option<u64>,
    service: Arc<str>,
}

/// Answer of an endpoint whose first part has arrived.
struct Begun {
    answer: upstream::Answer,
    endpoint: place::Candidate,
    _busy: node::Busy,
}

enum Ended {
    /// The endpoint has begun to answer.
    Begun(Box<Begun>),
    /// The attempt came to nothing.
    Outcome(attempt::Outcome, Arc<str>),
    /// The time of the request is over while it may run.
    TimeOver,
}

/// Forwards a request. Dropping the future or the body of the answer cancels it.
pub async fn forward(node: node::Node, request: Request) -> serve::Answer {
    let headers = node.view.protocol().headers().clone();
    let asked = number(&request.head.headers, &headers.deadline).map(Duration::from_millis);
    let limit = asked.unwrap_or(request.route.timeout).min(request.route.timeout);
    let end = request.arrived + limit;
    let Some(service) = request.route.choose(rand::random()).cloned() else {
        return refuse(&node, &request.id, "the route has no service");
    };
    let attempts = attempt::Attempts::new(request.route.repeatable(), request.route.attempts);
    let last = number(&request.head.headers, &headers.resume);
    let mut run = Run { node, request, end, attempts, tried: Vec::new(), last, service };
    match run.request.route.kind {
        routes::Kind::Stream => run.stream(&headers).await,
        _ => run.whole(&headers).await,
    }
}

impl Run {
    fn left(&self) -> Duration {
        self.end.saturating_duration_since(time::Instant::now())
    }

    /// Endpoint for the next attempt.
    fn place(&self) -> place::Choice {
        let candidates = self.node.candidates(&self.service);
        place::choose(candidates, &self.tried, rand::random::<u32>() as usize)
    }

    /// Request as the endpoint gets it.
    fn outgoing(
        &self,
        headers: &protocol::Headers,
        endpoint: &place::Candidate,
    ) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.head.method.clone();
        *request.uri_mut() = self.request.head.uri.clone();
        let mut sent = self.request.head.headers.clone();
        strip(&mut sent, false);
        let left = self.left().as_millis() as u64;
        sent.insert(headers.deadline.clone(), HeaderValue::from(left));
        let id = HeaderValue::from_str(&endpoint.id).expect("ids are checked on registration");
        sent.insert(headers.expect.clone(), id);
        if let Some(last) = self.last {
            sent.insert(headers.resume.clone(), HeaderValue::from(last));
        }
        *request.headers_mut() = sent;
        request
    }

    /// Sends the request to one endpoint and waits for the head of its answer, at most `patience`.
    async fn attempt(
        &mut self,
        headers: &protocol::Headers,
        endpoint: place::Candidate,
        patience: Duration,
    ) -> Ended {
        let busy = self.node.busy(&endpoint.id);
        let request = self.outgoing(headers, &endpoint);
        let id = self.request.id.clone();
        event!(self.node.log, events::SENT; "request" => &*id, "endpoint" => &*endpoint.id,
            "running" => ?endpoint.running, "left_ms" => self.left().as_millis() as u64);
        let limit = self.left().min(patience);
        // A kept connection may be closed by the endpoint while the request is on its way.
        let fresh = !self.request.route.repeatable();
        let sent = self.node.upstream.send(endpoint.address, request, fresh);
        let answer = match time::timeout(limit, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(failure)) => {
                self.node.endpoint_failed(&endpoint.id, &failure);
                let outcome = match failure {
                    upstream::Failure::NotSent(_) => attempt::Outcome::NotSent,
                    upstream::Failure::Lost(_) => attempt::Outcome::Lost,
                };
                return Ended::Outcome(outcome, failure.to_string().into());
            }
            Err(_) if limit < patience => return Ended::TimeOver,
            Err(_) => {
                self.node.endpoint_failed(&endpoint.id, &"no answer");
                return Ended::Outcome(attempt::Outcome::Lost, "no answer".into());
            }
        };
        match answer.said(headers, &id) {
            upstream::Said::Own => {}
            upstream::Said::Declined => {
                let cause = format!("declined with {}", answer.head.status.as_u16());
                return Ended::Outcome(attempt::Outcome::Declined, cause.into());
            }
            upstream::Said::Strange => {
                let cause = "answer of another request".into();
                return Ended::Outcome(attempt::Outcome::Lost, cause);
            }
        }
        Ended::Begun(Box::new(Begun { answer, endpoint, _busy: busy }))
    }

    /// Finds an endpoint and sends the request until an answer begins or no attempt is left.
    async fn begin(&mut self, headers: &protocol::Headers) -> Result<Box<Begun>, serve::Answer> {
        loop {
            let id = self.request.id.clone();
            if self.left() < TOO_LATE {
                return Err(self.give_up("the time is over"));
            }
            let endpoint = match self.place() {
                place::Choice::Send(endpoint) => endpoint,
                place::Choice::Full => return Err(self.give_up("every endpoint is full")),
                place::Choice::None => return Err(self.give_up("no endpoint is left")),
            };
            self.tried.push(endpoint.id.clone());
            let patience = match self.attempts.may_repeat() {
                true => self.first_event(),
                false => Duration::MAX,
            };
            let name = endpoint.id.clone();
            match self.attempt(headers, endpoint, patience).await {
                Ended::Begun(begun)
                    if begun.answer.head.status.is_server_error() && self.attempts.may_repeat() =>
                {
                    let status = begun.answer.head.status.as_u16();
                    self.node.endpoint_failed(&name, &format!("status {status}"));
                    event!(self.node.log, events::RETRIED; "request" => &*id,
                        "endpoint" => &*name, "outcome" => "Failed", "status" => status);
                    self.attempts.after(attempt::Outcome::Failed);
                }
                Ended::Begun(begun) => return Ok(begun),
                Ended::TimeOver => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return Err(fail(&self.node, &id, status, "no answer in time"));
                }
                Ended::Outcome(outcome, cause) => {
                    self.node.metrics.retry(match outcome {
                        attempt::Outcome::NotSent => "not_sent",
                        attempt::Outcome::Declined => "declined",
                        attempt::Outcome::Lost => "lost",
                        attempt::Outcome::Failed => "failed",
                    });
                    event!(self.node.log, events::RETRIED; "request" => &*id,
                        "endpoint" => &*name, "outcome" => ?outcome, "cause" => &*cause);
                    match self.attempts.after(outcome) {
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

    /// Final answer of a request that has no attempt left.
    fn give_up(&self, reason: &'static str) -> serve::Answer {
        match self.attempts.ran() {
            true => fail(&self.node, &self.request.id, StatusCode::BAD_GATEWAY, reason),
            false => refuse(&self.node, &self.request.id, reason),
        }
    }

    fn first_event(&self) -> Duration {
        FIRST_EVENT.max(self.request.route.target * 4)
    }

    fn next_event(&self) -> Duration {
        NEXT_EVENT.max(self.request.route.gap * 3)
    }

    /// Forwards a request with a whole answer.
    async fn whole(&mut self, headers: &protocol::Headers) -> serve::Answer {
        loop {
            let mut begun = match self.begin(headers).await {
                Ok(begun) => begun,
                Err(answer) => return answer,
            };
            let read = time::timeout(self.left(), begun.answer.whole(WHOLE)).await;
            let id = self.request.id.clone();
            match read {
                Ok(Ok(body)) => {
                    self.node.endpoint_answered(&begun.endpoint.id);
                    let mut head = begun.answer.head;
                    strip(&mut head.headers, false);
                    return hyper::Response::from_parts(head, serve::whole(body));
                }
                Ok(Err(cause)) => {
                    self.node.endpoint_failed(&begun.endpoint.id, &cause);
                    if self.attempts.after(attempt::Outcome::Lost) != attempt::Next::Again {
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

    /// Forwards a request whose answer is a stream of events.
    async fn stream(mut self, headers: &protocol::Headers) -> serve::Answer {
        let begun = match self.begin(headers).await {
            Ok(begun) => begun,
            Err(answer) => return answer,
        };
        if !begun.answer.head.status.is_success() {
            return self.failure(begun).await;
        }
        let mut head = begun.answer.head.clone();
        let mut events = Events {
            run: self,
            headers: headers.clone(),
            begun: Some(begun),
            splitter: sse::Splitter::default(),
            ready: VecDeque::new(),
            ended: false,
        };
        // Until the first event arrives, another endpoint can take over without any trace.
        match events.next().await {
            Some(Ok(event)) => {
                let run = &events.run;
                run.node.metrics.latency("first_event", run.request.arrived.elapsed());
                events.ready.push_front(event);
            }
            Some(Err(_)) => {
                // `next` has ended the stream, so that no caller has left.
                let id = events.run.request.id.clone();
                let status = match events.run.left().is_zero() {
                    true => StatusCode::GATEWAY_TIMEOUT,
                    false => StatusCode::BAD_GATEWAY,
                };
                return fail(&events.run.node, &id, status, "the stream broke off");
            }
            None => {}
        }
        if let Some(begun) = &events.begun {
            head = begun.answer.head.clone();
        }
        strip(&mut head.headers, false);
        let frames = stream::unfold(events, |mut events| async move {
            let next = events.next().await?;
            Some((next.map(hyper::body::Frame::data), events))
        });
        hyper::Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
    }

    /// Passes on the failure of an endpoint as it is.
    async fn failure(self, mut begun: Box<Begun>) -> serve::Answer {
        let body = time::timeout(self.left(), begun.answer.whole(WHOLE)).await;
        let Ok(Ok(body)) = body else {
            let status = StatusCode::BAD_GATEWAY;
            return fail(&self.node, &self.request.id, status, "the answer broke off");
        };
        let mut head = begun.answer.head;
        event!(self.node.log, events::FAILED; "request" => &*self.request.id,
            "endpoint" => &*begun.endpoint.id, "status" => head.status.as_u16());
        strip(&mut head.headers, false);
        hyper::Response::from_parts(head, serve::whole(body))
    }
}

/// Events of a stream, continued at another endpoint when one breaks off.
struct Events {
    run: Run,
    headers: protocol::Headers,
    begun: Option<Box<Begun>>,
    splitter: sse::Splitter,
    ready: VecDeque<Bytes>,
    ended: bool,
}

impl Drop for Events {
    fn drop(&mut self) {
        if !self.ended {
            let run = &self.run;
            run.node.metrics.request("online", "caller_left");
            event!(run.node.log, events::CALLER_LEFT; "request" => &*run.request.id,
                "after_event" => run.last,
                "elapsed_ms" => run.request.arrived.elapsed().as_millis() as u64);
        }
    }
}

impl Events {
    /// Next bytes for the caller; `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, serve::Broken>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            if self.ended {
                return None;
            }
            if let Err(cause) = self.read().await
                && !self.resume(&cause).await
            {
                self.ended = true;
                return Some(Err(serve::Broken));
            }
        }
    }

    /// Reads until an event is ready or the stream has ended.
    async fn read(&mut self) -> Result<(), Arc<str>> {
        let Some(begun) = &mut self.begun else { return Err("no endpoint".into()) };
        let patience = match (self.run.attempts.may_repeat(), self.run.last) {
            (false, _) => Duration::MAX,
            (true, None) => self.run.first_event(),
            (true, Some(_)) => self.run.next_event(),
        };
        let left = self.run.end.saturating_duration_since(time::Instant::now());
        let bytes = match time::timeout(left.min(patience), begun.answer.next()).await {
            Ok(next) => next?,
            Err(_) => return Err("silence".into()),
        };
        match bytes {
            Some(bytes) => self
                .splitter
                .push(&bytes)
                .map_err(|sse::TooLong| Arc::from("an event is too long"))?,
            None if self.splitter.rest().is_empty() => {
                self.ended = true;
                self.run.node.endpoint_answered(&begun.endpoint.id);
                let elapsed = self.run.request.arrived.elapsed();
                self.run.node.metrics.request("online", "answered");
                self.run.node.metrics.latency("answer", elapsed);
                event!(self.run.node.log, events::ANSWERED;
                    "request" => &*self.run.request.id, "endpoint" => &*begun.endpoint.id,
                    "events" => self.run.last, "elapsed_ms" => elapsed.as_millis() as u64);
            }
            None => return Err("the stream ends within an event".into()),
        }
        let mut bytes = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                // An endpoint that resumes may repeat what the caller has.
                if self.run.last.is_some_and(|last| id <= last) {
                    continue;
                }
                self.run.last = Some(id);
            }
            bytes.extend_from_slice(&event.bytes);
        }
        if !bytes.is_empty() {
            self.ready.push_back(bytes.into());
        }
        Ok(())
    }

    /// Continues the stream at another endpoint. Returns whether that is under way.
    async fn resume(&mut self, cause: &Arc<str>) -> bool {
        let id = self.run.request.id.clone();
        let from = self.begun.take();
        if let Some(begun) = &from {
            self.run.node.endpoint_failed(&begun.endpoint.id, cause);
        }
        // Closes the connection, which ends the run at the endpoint.
        drop(from);
        self.splitter = sse::Splitter::default();
        let next = self.run.attempts.after(attempt::Outcome::Lost);
        self.run.node.metrics.retry("broken_stream");
        event!(self.run.node.log, events::RESUMED; "request" => &*id, "cause" => &**cause,
            "after_event" => self.run.last, "next" => ?next);
        if next != attempt::Next::Again || self.run.left() < TOO_LATE {
            return false;
        }
        match self.run.begin(&self.headers).await {
            Ok(begun) if begun.answer.head.status.is_success() => {
                self.begun = Some(begun);
                true
            }
            _ => false,
        }
    }
}

//! Forwards a request to an endpoint and the response to the caller.

mod quarantined;
mod slot_wait;

use crate::event;
use crate::events;
use crate::fleet::admission;
use crate::fleet::attempt;
use crate::fleet::body;
use crate::fleet::continuation;
use crate::fleet::crashes;
use crate::fleet::deadline;
use crate::fleet::event_stream;
use crate::fleet::limits;
use crate::fleet::node;
use crate::fleet::origin;
use crate::fleet::peer;
use crate::fleet::place;
use crate::fleet::protocol;
use crate::fleet::quarantine;
use crate::fleet::routes;
use crate::fleet::serve;
use crate::fleet::slots;
use crate::fleet::starting;
use crate::fleet::upstream;
use crate::fleet::workspaces;
use crate::fleet::workspaces::exchange;
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
use std::sync::Arc;
use std::time::Duration;
use tokio::task;
use tokio::time;

/// Content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Largest response that is buffered before it is passed on.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Shortest silence before the first event after which another endpoint is asked. A busy engine
/// starts a request within a few tenths of a second.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Shortest silence between two events after which another endpoint is asked.
const MIN_NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which another endpoint is looked for while one stays silent. It doubles with each
/// endpoint that declines.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(100);
/// Longest interval at which another endpoint is looked for.
const MAX_TAKEOVER_INTERVAL: Duration = Duration::from_millis(800);
/// Longest wait for an endpoint that is asked while a silent one runs the request. Two endpoints
/// must not work on one request for longer than 0.4 s.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest time after which a refused caller should retry. A slot of an engine becomes free within
/// it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Random part of the retry time, so that refused callers do not all retry at once.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(500);
/// Time for which a stream that its caller takes up again waits for a slot at an endpoint of its
/// build. Callers leave a silent stream after about two seconds.
const BUILD_WAIT: Duration = Duration::from_millis(1_500);
/// Added to the deadline of a caller for the time until which it may take up a stream again.
const RETURN_MARGIN: Duration = Duration::from_secs(1);
/// Most endpoints that a log line names.
const MAX_LOGGED_ENDPOINTS: usize = 8;
/// A request is not sent if less than this is left until its deadline.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Reason of a refusal while the process stops.
pub const STOPPING: &str = "the host stops before the time of the request is over";

/// Reason of a refusal when the credit of a request has ended while it waited for an endpoint.
const NO_CREDIT: &str = "the credit of the workspace's quota has ended";

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
    /// Method, path and headers, without a key and without the name of a workspace that the caller
    /// states, see [`workspaces::auth::remove_identity`].
    pub head: hyper::http::request::Parts,
    /// Body.
    pub body: Bytes,
    /// Route that was in force when the request arrived.
    pub route: routes::Route,
    /// Caller whose key was checked; `None` on routes without keys.
    pub caller: Option<workspaces::Caller>,
    /// Credit of the quota of its workspace; `None` without a quota.
    pub credit: Option<exchange::CreditGuard>,
    /// Time at which the request arrived.
    pub arrived: time::Instant,
    /// Deadline set by the caller, the route or the end of the process, whichever is earliest.
    pub deadline: deadline::Deadline,
    /// Reservation of memory for the body.
    pub _memory: body::Reservation,
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

/// Head of a response for the caller, without what applies only to the connection to the endpoint.
/// That includes the HTTP version: under 1.0, a stream would have no framing for the caller either,
/// and one that is broken off would look complete.
fn caller_head(mut head: hyper::http::response::Parts) -> hyper::http::response::Parts {
    remove_hop_by_hop(&mut head.headers, false);
    head.version = hyper::Version::HTTP_11;
    head
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
    not_run(reason, pause)
}

/// Builds the response that tells a caller that its request has not run because the endpoints of its
/// service with limits have got as many requests as they take, and the others are full. `interval` is
/// that at which callers return.
fn refuse_limited(
    node: &node::Node,
    id: &str,
    service: &Arc<str>,
    interval: Duration,
) -> serve::Response {
    let reason = "every endpoint is full or limits its requests";
    node.metrics.count_refusal(reason, "no");
    node.metrics.count_limited(service, "refused");
    let pause =
        peer::lock(&node.returns).pause(node.now(), service, interval, rand::random::<f64>());
    event!(node.log, events::REQUEST_LIMITED; "request" => id, "service" => &**service,
        "interval_ms" => interval.as_millis() as u64, "retry_ms" => pause.as_millis() as u64);
    not_run(reason, pause)
}

/// Builds the response that tells a caller that the quota of its workspace is used up.
pub fn refuse_over(
    node: &node::Node,
    id: &str,
    workspace: &str,
    pause: Duration,
) -> serve::Response {
    let reason = "the quota of the workspace is used up";
    node.metrics.count_refusal(reason, "no");
    event!(node.log, events::REQUEST_REFUSED; "request" => id, "reason" => reason,
        "workspace" => workspace, "retry_ms" => pause.as_millis() as u64);
    not_run_with(StatusCode::TOO_MANY_REQUESTS, reason, pause)
}

/// Builds the response that tells a caller that its request has not run because it is not known
/// whether the quota of its workspace is used up.
pub fn refuse_without_credit(
    node: &node::Node,
    id: &str,
    workspace: &str,
    pause: Duration,
) -> serve::Response {
    let reason = "no credit of the workspace's quota has arrived in time";
    node.metrics.count_refusal(reason, "no");
    event!(node.log, events::REQUEST_REFUSED; "request" => id, "reason" => reason,
        "workspace" => workspace,
        "retry_ms" => pause.as_millis() as u64);
    not_run(reason, pause)
}

/// Builds the response that tells a caller that its request has not run because the entry has started
/// and does not serve yet.
pub fn refuse_start(node: &node::Node, id: &str, reason: &'static str) -> serve::Response {
    node.metrics.count_refusal(reason, "no");
    let pause = starting::retry_after(node.now(), rand::random::<f64>());
    event!(node.log, events::REQUEST_REFUSED; "request" => id, "reason" => reason,
        "retry_ms" => pause.as_millis() as u64);
    not_run(reason, pause)
}

fn not_run(reason: &str, pause: Duration) -> serve::Response {
    not_run_with(StatusCode::SERVICE_UNAVAILABLE, reason, pause)
}

fn not_run_with(status: StatusCode, reason: &str, pause: Duration) -> serve::Response {
    let text = format!("not run: {reason}\n");
    let mut response = serve::response(status, text);
    let seconds = format!("{:.3}", pause.as_secs_f64());
    let value = HeaderValue::try_from(seconds).expect("digits are a valid header");
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

/// Whether the status of an answer that is passed on is a failure of its endpoint. An endpoint answers
/// 504 at the deadline of the request, which may be short.
fn is_fault(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

/// Whether the status of an answer tells a caller that its request has not run. An endpoint states that
/// in another field, without which the status is not passed on.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Builds the response that tells a caller that the outcome of its request is unknown.
fn fail(node: &node::Node, id: &str, status: StatusCode, reason: &str) -> serve::Response {
    node.metrics.count_request("online", "unknown");
    event!(node.log, events::REQUEST_FAILED; "request" => id, "status" => status.as_u16(),
        "reason" => reason);
    serve::response(status, format!("outcome unknown: {reason}\n"))
}

/// State of one forwarded request across its attempts.
pub(super) struct Forwarder {
    pub(super) node: node::Node,
    pub(super) request: Request,
    pub(super) attempts: attempt::Attempts,
    /// Ids of the endpoints that were tried.
    tried: Vec<Arc<str>>,
    /// Ids of the endpoints of all attempts.
    asked: Vec<Arc<str>>,
    /// Number of the last event that the caller has received.
    pub(super) last_event: Option<u64>,
    service: Arc<str>,
    /// Build at which the stream has to go on, once the caller has events of it.
    build: Option<Arc<str>>,
    /// Only endpoint that may still be asked, once no attempt at another one is left.
    only: Option<Arc<str>>,
    /// Whether the caller has events of this response.
    begun: bool,
    /// Content type of the answer of which the caller has a part.
    content_type: Option<HeaderValue>,
    /// Whether the caller may take up the stream again under the id of this request.
    is_origin: bool,
    pub(super) prompt: Arc<quarantine::RequestCauses>,
    /// Trials that were granted to the request. It goes to one endpoint then.
    trial: quarantine::Trial,
    /// Whether the answer is complete or has failed. If the request is dropped before, the caller
    /// has left.
    pub(super) ended: bool,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        if !self.ended {
            self.node.metrics.count_request("online", "caller_left");
            event!(self.node.log, events::CALLER_LEFT; "request" => &*self.request.id,
                "after_event" => self.last_event,
                "elapsed_ms" => self.request.arrived.elapsed().as_millis() as u64);
        }
    }
}

/// Response of an endpoint whose head has arrived.
pub(super) struct StartedResponse {
    pub(super) response: upstream::Response,
    pub(super) endpoint: place::Candidate,
    _guard: slots::RequestGuard,
}

/// Endpoint with a slot for a request, and the guard that counts the request there.
type Slot = (place::Candidate, slots::RequestGuard);

/// Why an endpoint gave no usable answer: the outcome of the attempt and its cause.
pub(super) type AttemptFailure = (attempt::Outcome, Arc<str>);

/// Result of waiting for an endpoint.
pub(super) enum Waited<T> {
    /// The endpoint went on or failed.
    Ended(Result<T, AttemptFailure>),
    /// Another endpoint has started to respond instead. The first one was silent, or else failed in this
    /// way meanwhile.
    TakenOver(Box<StartedResponse>, Option<AttemptFailure>),
    /// The deadline passed while the request may be running.
    DeadlineExceeded,
}

/// Time that a request has: the one that its caller states or that of the route, whichever is
/// shorter.
pub fn time_limit(names: &protocol::Headers, headers: &HeaderMap, timeout: Duration) -> Duration {
    let requested = numeric_header(headers, &names.deadline).map(Duration::from_millis);
    requested.unwrap_or(timeout).min(timeout)
}

/// Forwards a request. Dropping the future or the body of the response cancels it.
pub async fn forward(node: node::Node, request: Request) -> serve::Response {
    let headers = node.view.protocol().headers().clone();
    let Some(mut service) = request.route.choose_service(rand::random()).cloned() else {
        return refuse(&node, &request.id, "the route has no service");
    };
    let mut build = None;
    let last_event = numeric_header(&request.head.headers, &headers.last_event);
    let is_stream = request.route.kind == routes::Kind::Stream;
    if is_stream && last_event.is_some_and(|last| last > 0) {
        let find = continuation::find(&node, &request, &headers, service);
        let found = request.deadline.run(admission::Progress::NotRun, Duration::MAX, find).await;
        match found {
            Ok(Ok(found)) => (service, build) = (found.0, Some(found.1)),
            Ok(Err(response)) => return response,
            Err(deadline::Passed) => return refuse(&node, &request.id, "the time is over"),
        }
    }
    let is_origin = is_stream && request.route.resumable && build.is_none();
    let mut attempts =
        attempt::Attempts::new(request.route.is_retryable(), request.route.max_attempts);
    if build.is_some() {
        attempts.begin();
    }
    let prompt = node.request_causes(&request);
    let mut forwarder = Forwarder {
        node,
        request,
        attempts,
        tried: Vec::new(),
        asked: Vec::new(),
        last_event,
        service,
        build,
        only: None,
        begun: false,
        content_type: None,
        is_origin,
        ended: false,
        prompt,
        trial: quarantine::Trial::default(),
    };
    match forwarder.request.route.kind {
        routes::Kind::Stream => forwarder.forward_stream(&headers).await,
        _ => {
            let response = forwarder.forward_whole(&headers).await;
            forwarder.ended = true;
            response
        }
    }
}

impl Forwarder {
    /// Time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.request.deadline.time_left()
    }

    /// Whether any attempt may have run.
    fn progress(&self) -> admission::Progress {
        match self.attempts.may_have_run() {
            true => admission::Progress::MayRun,
            false => admission::Progress::NotRun,
        }
    }

    /// Whether the request must not be sent any more, since the process ends before its time is over.
    fn is_too_late(&self) -> bool {
        self.request.deadline.is_too_late(self.progress())
    }

    /// Why the deadline has passed.
    fn late_reason(&self, reason: &'static str) -> &'static str {
        if self.request.deadline.is_cut() { STOPPING } else { reason }
    }

    /// Endpoints at which the request may run. What endpoints of two builds write does not fit
    /// together, so a stream that has begun goes on at its build only.
    fn candidates(&self) -> Vec<place::Candidate> {
        let mut candidates = self.node.candidates(&self.service);
        if let Some(build) = &self.build {
            candidates.retain(|c| c.build == *build);
        }
        if let Some(only) = &self.only {
            candidates.retain(|c| c.id == *only);
        }
        candidates
    }

    /// Whether an endpoint can go on after the events that the caller has.
    pub(super) fn is_resumable(&self) -> bool {
        self.request.route.is_retryable() && self.attempts.is_resumable()
    }

    /// Restricts further attempts to an endpoint that has run the request already.
    pub(super) fn restrict(&mut self, endpoint: Arc<str>) {
        self.only = Some(endpoint);
    }

    /// Build at which the stream has to go on.
    pub(super) fn build(&self) -> Option<&Arc<str>> {
        self.build.as_ref()
    }

    /// Records that the caller gets events of the stream, which `build` has brought. The build is not
    /// recorded before: an endpoint of another one can still begin the stream then, and a record that
    /// names it may be lost.
    pub(super) async fn begin_stream(
        &mut self,
        build: &Arc<str>,
        head: &hyper::http::response::Parts,
    ) {
        if !self.begun {
            self.content_type = head.headers.get(header::CONTENT_TYPE).cloned();
        }
        if self.build.is_none() {
            self.record_origin(build).await;
            self.build = Some(build.clone());
        }
        self.begun = true;
        self.attempts.begin();
    }

    /// Whether the caller has a part of the answer.
    pub(super) fn has_begun(&self) -> bool {
        self.begun
    }

    /// Whether a response can go on with what the caller has. Any success can if it has nothing;
    /// otherwise one of another type than a stream of events, or than what the caller has, cannot.
    pub(super) fn is_continuation(&self, head: &hyper::http::response::Parts) -> bool {
        let stated = head.headers.get(header::CONTENT_TYPE);
        let has_fitting_type = stated.is_none_or(|stated| {
            stated.as_bytes().starts_with(EVENT_STREAM)
                || Some(stated) == self.content_type.as_ref()
        });
        head.status.is_success() && (!self.begun || has_fitting_type)
    }

    /// Records that an endpoint of the given build has begun the stream.
    async fn record_origin(&self, build: &Arc<str>) {
        if !self.is_origin {
            return;
        }
        let origin = origin::Origin { service: self.service.clone(), build: build.clone() };
        let keep_ms = self.return_time().as_millis() as u64;
        let stream = self.request.id.clone();
        self.node.keep_origin(origin::Record { stream, origin, keep_ms }).await;
    }

    /// Time for which the caller may still come back to take up its stream.
    fn return_time(&self) -> Duration {
        let headers = self.node.view.protocol().headers();
        let requested = numeric_header(&self.request.head.headers, &headers.deadline);
        let limit = requested.map_or(self.request.route.timeout, Duration::from_millis);
        limit.max(self.request.route.timeout) + RETURN_MARGIN
    }

    fn choose_untried(&self, tried: &[Arc<str>]) -> place::Choice {
        self.node.choose(self.candidates(), tried, self.request.route.is_retryable())
    }

    /// Chooses the endpoint for the next attempt.
    fn choose_endpoint(&self) -> place::Choice {
        self.choose_untried(&self.tried)
    }

    /// Chooses the endpoint to ask while another one is silent. Those in `declined` are asked again
    /// only once no other has a free slot.
    fn choose_replacement(&self, declined: &mut Vec<Arc<str>>) -> place::Choice {
        let excluded: Vec<Arc<str>> = self.tried.iter().chain(&*declined).cloned().collect();
        match self.choose_untried(&excluded) {
            place::Choice::Send(endpoint) => place::Choice::Send(endpoint),
            place::Choice::Wait(_) | place::Choice::None => {
                declined.clear();
                self.choose_endpoint()
            }
        }
    }

    /// Chooses the endpoint for the next attempt while none is running. A stream that no untried
    /// endpoint can continue goes back to one that was tried: that one may have lost only the
    /// connection, or a slot may have become free. All are asked again in turn.
    fn choose_next_endpoint(&mut self) -> place::Choice {
        match self.choose_endpoint() {
            place::Choice::None | place::Choice::Wait(None) if self.build.is_some() => {
                self.tried.clear();
                self.choose_endpoint()
            }
            choice => choice,
        }
    }

    /// Logs which endpoints are left out of the choice because they are leaving.
    fn log_left_out_endpoints(&self) {
        let leaving = self.node.leaving_endpoints(&self.service);
        if !leaving.is_empty() {
            let names = &leaving[..leaving.len().min(MAX_LOGGED_ENDPOINTS)];
            event!(self.node.log, events::ENDPOINTS_LEFT_OUT; "request" => &*self.request.id,
                "count" => leaving.len(), "leaving" => names.join(","));
        }
    }

    /// Records that the answer of an endpoint broke off after `events` events.
    pub(super) fn record_broken_answer(&self, endpoint: &place::Candidate, events: u32) {
        if events < crashes::ANSWERED_EVENTS {
            let endpoint = (&endpoint.id, endpoint.start_time, endpoint.address);
            self.node.record_broken_request(endpoint, &self.prompt, &self.request.id);
        }
    }

    /// Gets new credit of the quota if that of the request has ended while it waited for an endpoint.
    /// Returns `false` if there is none.
    async fn renew_credit(&mut self) -> bool {
        match &mut self.request.credit {
            Some(credit) => credit.renew().await,
            None => true,
        }
    }

    /// Uses the credit of the request, which is sent now. Returns `false` if it has ended.
    fn spend_credit(&mut self) -> bool {
        self.request.credit.as_mut().is_none_or(exchange::CreditGuard::spend)
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
        if let Some(caller) = &self.request.caller {
            // The key is not in the headers any more. A header that `Connection` names is set as well.
            let name = HeaderValue::from_bytes(caller.workspace.as_bytes());
            let name = name.expect("names are checked in the configuration");
            fields.insert(headers.workspace.clone(), name);
        }
        if let Some(last) = self.last_event {
            fields.insert(headers.last_event.clone(), HeaderValue::from(last));
        }
        *request.headers_mut() = fields;
        request
    }

    /// Sends the request to one endpoint and waits for the head of the response. `is_beside` tells that
    /// another endpoint has the request as well.
    fn attempt(
        &self,
        headers: &protocol::Headers,
        endpoint: place::Candidate,
        guard: slots::RequestGuard,
        is_beside: bool,
    ) -> impl Future<Output = Result<Box<StartedResponse>, AttemptFailure>> + Send + use<> {
        let request = self.outgoing_request(headers, &endpoint);
        let (node, headers) = (self.node.clone(), headers.clone());
        let (id, prompt) = (self.request.id.clone(), self.prompt.clone());
        event!(node.log, events::ATTEMPT_SENT; "request" => &*id, "endpoint" => &*endpoint.id,
            "build" => &*endpoint.build, "running" => ?endpoint.running,
            "pace_us" => node.expected_pace(&endpoint).map(|pace| pace.as_micros() as u64),
            "left_ms" => self.time_left().as_millis() as u64);
        let sent_at = node.now();
        peer::lock(&node.paces).record_sent(
            sent_at,
            &endpoint.id,
            endpoint.start_time,
            &self.service,
        );
        // The endpoint may close a kept connection while the request is being sent, or repeat an earlier
        // answer there. One to another request costs the attempt; one to an earlier attempt even names
        // this request.
        let is_repeated = self.asked.iter().filter(|id| **id == endpoint.id).count() > 1;
        let is_first = !is_beside && !self.attempts.may_have_run();
        let new_connection = !self.request.route.is_retryable() || !is_first || is_repeated;
        async move {
            let sent =
                node.upstream.send_as(endpoint.address, Some(&id), request, new_connection).await;
            let response = sent.map_err(|failure| {
                node.record_endpoint_failure(&endpoint.id, &failure);
                let outcome = match failure {
                    upstream::Failure::NotSent(_) => attempt::Outcome::NotSent,
                    upstream::Failure::Lost(_) => {
                        let endpoint = (&endpoint.id, endpoint.start_time, endpoint.address);
                        node.record_broken_request(endpoint, &prompt, &id);
                        attempt::Outcome::Lost
                    }
                };
                (outcome, Arc::from(failure.to_string()))
            })?;
            let notice = response.leaving_notice(&headers, &id);
            node.handle_leaving_notice(&endpoint.id, endpoint.start_time, notice, &id);
            let limit = limits::notice::read(&headers, &response.head, &id);
            node.handle_limit_notice(&endpoint.start(), limit, sent_at, &id);
            match response.classify(&headers, &id) {
                upstream::ResponseClass::Matching if is_refusal(response.head.status) => {
                    let status = response.head.status.as_u16();
                    let cause = format!("status {status} without a statement that it has not run");
                    node.record_endpoint_failure(&endpoint.id, &cause);
                    return Err((attempt::Outcome::Failed, cause.into()));
                }
                upstream::ResponseClass::Matching => {}
                upstream::ResponseClass::Declined => {
                    guard.discard();
                    let cause = format!("declined with {}", response.head.status.as_u16());
                    return Err((attempt::Outcome::Declined, cause.into()));
                }
                upstream::ResponseClass::Mismatched => {
                    return Err((attempt::Outcome::Lost, "answer of another request".into()));
                }
            }
            Ok(Box::new(StartedResponse { response, endpoint, _guard: guard }))
        }
    }

    /// Waits for the endpoint `from` to go on. Once it has been silent for `limit`, another endpoint
    /// with a free slot is asked as well, if the request may run there. The silent one is left only
    /// when the other has started to respond: a sound endpoint may be silent for a second or more,
    /// and without another one its answer is the only one that the caller can get.
    pub(super) async fn wait_or_take_over<T>(
        &mut self,
        headers: &protocol::Headers,
        from: &Arc<str>,
        limit: Duration,
        answer: impl Future<Output = Result<T, AttemptFailure>>,
    ) -> Waited<T> {
        let mut answer = std::pin::pin!(answer);
        let (mut pause, mut interval) = (limit, TAKEOVER_INTERVAL);
        let mut declined = Vec::new();
        loop {
            let pause_now = match self.attempts.may_retry() {
                true => pause.min(self.time_left()),
                false => self.time_left(),
            };
            let deadline = &self.request.deadline;
            match deadline.run(admission::Progress::MayRun, pause_now, &mut answer).await {
                Ok(ended) => return Waited::Ended(ended),
                Err(_) if self.time_left().is_zero() => return Waited::DeadlineExceeded,
                Err(_) => {}
            }
            pause = interval;
            if self.is_held() {
                continue;
            }
            let place::Choice::Send(endpoint) = self.choose_replacement(&mut declined) else {
                continue;
            };
            if !self.node.take_allowance(&self.service, &endpoint.start()) {
                continue;
            }
            let name = endpoint.id.clone();
            event!(self.node.log, events::ENDPOINT_SILENT; "request" => &*self.request.id,
                "endpoint" => &**from, "silent_ms" => limit.as_millis() as u64,
                "asked" => &*name);
            self.tried.push(name.clone());
            self.asked.push(name.clone());
            let guard = self.node.count_request(&self.service, &endpoint.id);
            let mut other = std::pin::pin!(self.attempt(headers, endpoint.clone(), guard, true));
            let mut failure = None;
            let deadline = &self.request.deadline;
            let result = tokio::select! {
                biased;
                ended = &mut answer => match ended {
                    Ok(answer) => {
                        // Dropping the attempt cancels it, but it may have run.
                        self.attempts.record(attempt::Outcome::Lost);
                        return Waited::Ended(Ok(answer));
                    }
                    Err(cause) => {
                        failure = Some(cause);
                        let limit = self.first_event_timeout().min(self.time_left());
                        deadline.run(admission::Progress::MayRun, limit, &mut other).await
                    }
                },
                started = deadline.run(admission::Progress::MayRun, TAKEOVER_TIMEOUT, &mut other) => {
                    started
                }
            };
            match result {
                Ok(Ok(started)) if self.is_continuation(&started.response.head) => {
                    self.attempts.record(failure.as_ref().map_or(attempt::Outcome::Lost, |f| f.0));
                    return Waited::TakenOver(started, failure);
                }
                Ok(Ok(started)) => {
                    let status = started.response.head.status.as_u16();
                    self.record_retry(&name, attempt::Outcome::Failed, &format!("status {status}"));
                }
                Ok(Err((outcome, cause))) if outcome.is_not_run() => {
                    // Asking in vain leaves as many attempts as before, and the endpoint may have
                    // room later.
                    self.log_retry(&name, outcome, &cause);
                    self.tried.retain(|t| *t != name);
                    declined.push(name);
                    interval = (interval * 2).min(MAX_TAKEOVER_INTERVAL);
                    pause = interval;
                }
                Ok(Err((outcome, cause))) => {
                    self.record_retry(&name, outcome, &cause);
                }
                Err(_) if self.time_left().is_zero() => return Waited::DeadlineExceeded,
                Err(_) => {
                    let cause = "no answer while another endpoint runs the request";
                    self.node.record_endpoint_failure(&name, &cause);
                    self.record_broken_answer(&endpoint, 0);
                    self.record_retry(&name, attempt::Outcome::Lost, cause);
                }
            }
            if let Some(failure) = failure {
                return Waited::Ended(Err(failure));
            }
        }
    }

    /// Counts and logs an attempt without a usable answer, and decides how to go on.
    fn record_retry(
        &mut self,
        endpoint: &str,
        outcome: attempt::Outcome,
        cause: &str,
    ) -> attempt::Next {
        self.log_retry(endpoint, outcome, cause);
        self.attempts.record(outcome)
    }

    fn log_retry(&self, endpoint: &str, outcome: attempt::Outcome, cause: &str) {
        self.node.metrics.count_retry(match outcome {
            attempt::Outcome::NotSent => "not_sent",
            attempt::Outcome::Declined => "declined",
            attempt::Outcome::Lost => "lost",
            attempt::Outcome::Failed => "failed",
        });
        event!(self.node.log, events::REQUEST_RETRIED; "request" => &*self.request.id,
            "endpoint" => endpoint, "outcome" => ?outcome, "cause" => cause);
    }

    /// Tries endpoints until a response starts or no attempt is left.
    pub(super) async fn start_response(
        &mut self,
        headers: &protocol::Headers,
    ) -> Result<Box<StartedResponse>, serve::Response> {
        // A caller that has events waits on, or ends the connection. Others can be refused. If only one
        // endpoint may be asked, the caller itself can ask others.
        let patience = if self.only.is_some() {
            Duration::ZERO
        } else if self.begun {
            self.time_left()
        } else {
            BUILD_WAIT
        };
        let end = time::Instant::now() + patience;
        let claim = self.claim();
        let (mut released, mut interval) = (None, TAKEOVER_INTERVAL);
        loop {
            let id = self.request.id.clone();
            if self.time_left() < MIN_TIME_LEFT {
                return Err(self.give_up("the time is over"));
            }
            if self.is_too_late() {
                return Err(self.give_up(STOPPING));
            }
            self.admit().await?;
            self.log_left_out_endpoints();
            let (endpoint, guard) = match released.take() {
                Some(slot) => slot,
                None => match self.choose_in_turn(&claim) {
                    place::Choice::Send(endpoint) => {
                        let guard = self.count_turn(&endpoint, &claim);
                        (endpoint, guard)
                    }
                    place::Choice::Wait(other) => match self.wait_for_slot(other, end).await {
                        Some(slot) => slot,
                        None if self.is_too_late() => continue,
                        None => {
                            self.recheck_caller().await?;
                            return Err(self.give_up_full());
                        }
                    },
                    place::Choice::None if self.build.is_some() => {
                        return Err(self.give_up("no endpoint of the stream's build is left"));
                    }
                    place::Choice::None => return Err(self.give_up("no endpoint is left")),
                },
            };
            self.recheck_caller().await?;
            if !self.renew_credit().await {
                return Err(self.give_up(NO_CREDIT));
            }
            // It may have started to leave, a part of the prompt may have been quarantined, or a stop
            // may have begun, while the request waited for a slot.
            if !self.node.is_available(&endpoint.id) || self.is_held() || self.is_too_late() {
                continue;
            }
            if !self.node.take_allowance(&self.service, &endpoint.start()) {
                continue;
            }
            if !self.spend_credit() {
                return Err(self.give_up(NO_CREDIT));
            }
            self.trial.set_sent(true);
            self.tried.push(endpoint.id.clone());
            self.asked.push(endpoint.id.clone());
            let (name, asked) = (endpoint.id.clone(), endpoint.clone());
            let limit = self.first_event_timeout();
            let sending = self.attempt(headers, endpoint, guard, false);
            match self.wait_or_take_over(headers, &name, limit, sending).await {
                Waited::Ended(Ok(started)) => {
                    let status = started.response.head.status;
                    let is_other =
                        status.is_success() && !self.is_continuation(&started.response.head);
                    let retries =
                        (status.is_server_error() || is_other) && self.attempts.may_retry();
                    let cause = match is_other {
                        true => "no continuation of the stream".to_string(),
                        false => format!("status {}", status.as_u16()),
                    };
                    if retries || is_other || is_fault(status) {
                        self.node.record_endpoint_failure(&name, &cause);
                    }
                    if !retries {
                        return Ok(started);
                    }
                    self.record_retry(&name, attempt::Outcome::Failed, &cause);
                }
                Waited::TakenOver(started, None) => {
                    self.node.record_endpoint_failure(&name, &"silence");
                    self.record_broken_answer(&asked, 0);
                    return Ok(started);
                }
                // The attempt has recorded the failure of its endpoint, if it is one.
                Waited::TakenOver(started, Some((outcome, cause))) => {
                    self.log_retry(&name, outcome, &cause);
                    return Ok(started);
                }
                Waited::DeadlineExceeded => {
                    self.record_broken_answer(&asked, 0);
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    let reason = self.late_reason("no answer in time");
                    return Err(fail(&self.node, &id, status, reason));
                }
                Waited::Ended(Err((outcome, cause))) => {
                    if outcome.is_not_run() {
                        self.trial.set_sent(false);
                    }
                    match self.record_retry(&name, outcome, &cause) {
                        attempt::Next::Again if self.build.is_some() => {
                            if outcome.is_not_run() && time::Instant::now() > end {
                                return Err(self.give_up_full());
                            }
                            // Few endpoints can continue the stream, and a slot may become free.
                            released = self.wait_for_released_slot(interval).await;
                            interval = (interval * 2).min(MAX_TAKEOVER_INTERVAL);
                        }
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

    /// Checks again whether the key is valid, unless the request may have run: one that has begun goes
    /// on, with its retries and takeovers.
    ///
    /// # Errors
    /// The response to a request whose key is not valid any more.
    async fn recheck_caller(&self) -> Result<(), serve::Response> {
        match self.revocable_caller() {
            Some(caller) => self.node.recheck_caller(caller, &self.request.id).await,
            None => Ok(()),
        }
    }

    /// Waits until the key is revoked; forever if that does not end the request.
    pub(super) async fn wait_until_revoked(&self) {
        match self.revocable_caller() {
            Some(caller) => self.node.wait_until_revoked(caller).await,
            None => std::future::pending().await,
        }
    }

    /// Caller whose key is still to be checked; `None` if the request needs none or may have run.
    fn revocable_caller(&self) -> Option<&workspaces::Caller> {
        let caller = self.request.caller.as_ref();
        caller.filter(|_| !self.begun && !self.attempts.may_have_run())
    }

    /// Builds the response to a request for which no endpoint has room.
    fn give_up_full(&self) -> serve::Response {
        match self.node.limited_return_interval(&self.service) {
            Some(interval) if !self.attempts.may_have_run() => {
                refuse_limited(&self.node, &self.request.id, &self.service, interval)
            }
            _ => self.give_up("every endpoint is full"),
        }
    }

    /// Builds the response to a request that has no attempt left.
    fn give_up(&self, reason: &'static str) -> serve::Response {
        let reason = match self.node.is_service_leaving(&self.service) {
            true => "every endpoint is leaving",
            false => reason,
        };
        match self.attempts.may_have_run() {
            true => fail(&self.node, &self.request.id, StatusCode::BAD_GATEWAY, reason),
            false => refuse(&self.node, &self.request.id, reason),
        }
    }

    /// Silence before the first event after which another endpoint is asked.
    pub(super) fn first_event_timeout(&self) -> Duration {
        MIN_FIRST_EVENT_TIMEOUT.max(self.request.route.response_target * 4)
    }

    /// Silence between two events after which another endpoint is asked.
    pub(super) fn next_event_timeout(&self) -> Duration {
        MIN_NEXT_EVENT_TIMEOUT.max(self.request.route.gap_target * 3)
    }

    /// Forwards a request and passes the response on once it is complete.
    async fn forward_whole(&mut self, headers: &protocol::Headers) -> serve::Response {
        loop {
            let mut started = match self.start_response(headers).await {
                Ok(started) => started,
                Err(response) => return response,
            };
            let read = started.response.read_body(MAX_RESPONSE_BYTES);
            let deadline = &self.request.deadline;
            let read = deadline.run(admission::Progress::MayRun, Duration::MAX, read).await;
            let id = self.request.id.clone();
            match read {
                Ok(Ok(body)) => {
                    let is_success = started.response.head.status.is_success();
                    let is_framed = started.response.is_framed();
                    // Without a length, a crash looks like the end of the answer.
                    if is_success && is_framed {
                        self.node.record_answer(&self.prompt);
                    }
                    let head = caller_head(started.response.head);
                    if is_success {
                        self.finish(&started.endpoint.id, is_framed);
                    } else {
                        if !is_fault(head.status) {
                            self.node.record_endpoint_success(&started.endpoint.id);
                        }
                        self.log_failure(&started.endpoint.id, head.status);
                    }
                    return hyper::Response::from_parts(head, serve::full_body(body));
                }
                Ok(Err(cause)) => {
                    self.node.record_endpoint_failure(&started.endpoint.id, &cause);
                    self.record_broken_answer(&started.endpoint, 0);
                    if self.attempts.record(attempt::Outcome::Lost) != attempt::Next::Again {
                        return fail(&self.node, &id, StatusCode::BAD_GATEWAY, &cause);
                    }
                }
                Err(_) => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    let reason = self.late_reason("the answer is not complete in time");
                    return fail(&self.node, &id, status, reason);
                }
            }
        }
    }

    /// Forwards a request whose response is a stream of events.
    async fn forward_stream(mut self, headers: &protocol::Headers) -> serve::Response {
        let started = match self.start_response(headers).await {
            Ok(started) => started,
            Err(response) => {
                self.ended = true;
                return response;
            }
        };
        if !started.response.head.status.is_success() {
            let response = self.forward_failure(started).await;
            self.ended = true;
            return response;
        }
        let mut head = started.response.head.clone();
        let mut events = event_stream::EventStream::new(self, headers.clone(), started);
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
                return fail(&events.forwarder.node, &id, status, &events.cause);
            }
            None => {}
        }
        if let Some(started) = &events.started {
            head = started.response.head.clone();
        }
        let frames = stream::unfold(events, |mut events| async move {
            let next = events.next_bytes().await?;
            if next.is_err() {
                events.record_broken_off();
                // The HTTP library drops what it has not written when the body fails.
                task::yield_now().await;
            }
            Some((next.map(hyper::body::Frame::data), events))
        });
        hyper::Response::from_parts(caller_head(head), StreamBody::new(frames).boxed_unsync())
    }

    /// Passes an error response of an endpoint on unchanged.
    async fn forward_failure(&self, mut started: Box<StartedResponse>) -> serve::Response {
        let body = started.response.read_body(MAX_RESPONSE_BYTES);
        let deadline = &self.request.deadline;
        let body = deadline.run(admission::Progress::MayRun, Duration::MAX, body).await;
        let body = match body {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => {
                self.node.record_endpoint_failure(&started.endpoint.id, &cause);
                return fail(&self.node, &self.request.id, StatusCode::BAD_GATEWAY, &cause);
            }
            Err(_) => {
                let status = StatusCode::GATEWAY_TIMEOUT;
                let cause = self.late_reason("the answer is not complete in time");
                return fail(&self.node, &self.request.id, status, cause);
            }
        };
        let head = caller_head(started.response.head);
        self.log_failure(&started.endpoint.id, head.status);
        hyper::Response::from_parts(head, serve::full_body(body))
    }

    /// Logs that the answer of an endpoint is a failure, which is passed on.
    fn log_failure(&self, endpoint: &str, status: StatusCode) {
        event!(self.node.log, events::REQUEST_FAILED; "request" => &*self.request.id,
            "endpoint" => endpoint, "status" => status.as_u16());
    }

    /// Records that the whole answer has arrived from the endpoint `from`. `framed` tells whether the
    /// answer states where it ends.
    pub(super) fn finish(&mut self, from: &str, framed: bool) {
        self.ended = true;
        self.node.record_endpoint_success(from);
        let elapsed = self.request.arrived.elapsed();
        self.node.metrics.count_request("online", "answered");
        self.node.metrics.record_latency("answer", elapsed);
        event!(self.node.log, events::ANSWER_DELIVERED; "request" => &*self.request.id,
            "endpoint" => from, "events" => self.last_event, "framed" => framed,
            "elapsed_ms" => elapsed.as_millis() as u64);
    }
}

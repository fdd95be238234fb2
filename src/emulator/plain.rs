//! Emulator of endpoints that answer plain requests with streams of numbered events.
//!
//! The data of each event contains the request's id and the event's number, so a reader can verify
//! that a stream is complete and belongs to its request. Faults can be changed while the endpoint
//! runs, and every execution of a request is recorded.

use crate::errors;
use crate::fleet::protocol;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

/// Silence of an endpoint in the middle of an answer, which it then completes.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// Rate of requests whose answers pause.
    pub rate: f64,
    /// Number of the event before which the answer pauses, or 0 for its head. A resumed answer that
    /// starts after this event does not pause.
    pub before: u64,
    /// Length of the pause.
    pub length: Duration,
}

/// Simulated faults of an endpoint. Each rate is a probability from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// Rate of streams that are cut off in the middle of an event.
    pub cut_rate: f64,
    /// Rate of requests that are executed but never answered.
    pub lost_rate: f64,
    /// Rate of requests that are recorded as executed and fail with status 500.
    pub error_rate: f64,
    /// Rate of requests that are declined although a slot is free.
    pub decline_rate: f64,
    /// Time before a request is declined.
    pub decline_pause: Duration,
    /// Rate of requests that are executed, but whose answer says that a request with another id was
    /// declined.
    pub mismatch_rate: f64,
    /// Factor by which the time between events grows; 0 counts as 1.
    pub slowdown: f64,
    /// Pause of answers, if any.
    pub pause: Option<Pause>,
}

/// Options of an endpoint.
#[derive(Clone, Debug)]
pub struct Options {
    /// Id of the endpoint. Requests that expect another one are refused with status 421.
    pub id: Arc<str>,
    /// Build of the endpoint's software, as it registers it.
    pub build: Arc<str>,
    /// Maximum number of requests that run at once. Further ones are declined.
    pub slots: usize,
    /// Number of events in each stream.
    pub event_count: u64,
    /// Time before each event.
    pub event_interval: Duration,
    /// Names of the protocol's headers.
    pub headers: protocol::Headers,
}

/// Record of one execution of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Whether the answer said that the endpoint is leaving.
    pub leaving: bool,
    /// Id of the request.
    pub request_id: Arc<str>,
    /// Number of the last event that the sender had already received; 0 for none.
    pub last_event: u64,
    /// Path of the request.
    pub path: Arc<str>,
    /// XXH3 hash of the request's body.
    pub body_hash: u64,
    /// Build of the endpoint that ran the request.
    pub build: Arc<str>,
    /// Time at which the request began to run.
    pub started: time::Instant,
}

/// Record of a request that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id of the request.
    pub request_id: Arc<str>,
    /// Time of its arrival.
    pub at: time::Instant,
    /// Whether its answer states a limit.
    pub limited: bool,
}

/// Parts of prompts that crash the endpoint when it begins to write an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FatalParts {
    /// Name of the header that lists the parts of a prompt as `ID:TOKENS` entries.
    pub header: Arc<str>,
    /// Ids of the parts. The last part of a prompt has no effect.
    pub ids: Vec<Arc<str>>,
}

impl FatalParts {
    /// Whether a prompt has one of the parts.
    fn are_in(&self, headers: &hyper::HeaderMap) -> bool {
        let list = headers.get(&*self.header).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let mut ids: Vec<&str> =
            list.split(',').map(|e| e.split(':').next().unwrap_or_default().trim()).collect();
        ids.pop();
        self.ids.iter().any(|fatal| ids.contains(&&**fatal))
    }
}

struct Inner {
    options: Options,
    faults: Mutex<FaultRates>,
    fatal_parts: Mutex<FatalParts>,
    /// Paths of requests that crash the endpoint when it begins to write an answer.
    fatal_paths: Mutex<Vec<Arc<str>>>,
    crash: watch::Sender<bool>,
    /// Whether every answer says that the endpoint is leaving.
    leaving: AtomicBool,
    /// Limit that every answer states, if any.
    limit: Mutex<Option<HeaderValue>>,
    /// Every request that has arrived, including those that were declined.
    arrivals: Mutex<Vec<Arrival>>,
    runs: Mutex<Vec<Run>>,
    running: Mutex<usize>,
}

/// Running endpoint. Dropping it closes every connection, like a crash.
pub struct PlainEndpoint {
    address: SocketAddr,
    inner: Arc<Inner>,
    tasks: Arc<Mutex<task::JoinSet<()>>>,
    accept: task::JoinHandle<()>,
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns the data of event number `event` in the stream of the request with id `request`.
pub fn event_data(request: &str, event: u64) -> String {
    format!("{request}/{event}")
}

impl PlainEndpoint {
    /// Starts an endpoint on `address`. Must be called on a tokio runtime.
    ///
    /// # Errors
    /// `Io` if the address cannot be used.
    pub async fn start(
        address: SocketAddr,
        options: Options,
    ) -> Result<PlainEndpoint, errors::Error> {
        let failed = |e| errors::Error::io("listen", address.to_string(), e);
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let inner = Arc::new(Inner {
            options,
            faults: Mutex::default(),
            fatal_parts: Mutex::default(),
            fatal_paths: Mutex::default(),
            crash: watch::Sender::new(false),
            leaving: AtomicBool::default(),
            limit: Mutex::default(),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
            running: Mutex::default(),
        });
        let tasks: Arc<Mutex<task::JoinSet<()>>> = Arc::default();
        let (i, t) = (inner.clone(), tasks.clone());
        let accept_connections = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let inner = i.clone();
                let mut tasks = lock(&t);
                while tasks.try_join_next().is_some() {}
                tasks.spawn(async move {
                    let service = hyper::service::service_fn(move |request| {
                        let inner = inner.clone();
                        async move {
                            let leaving = inner.leaving.load(Ordering::Relaxed);
                            let limit = inner.record_arrival(&request);
                            let mut response = inner.clone().handle(request, leaving).await?;
                            if leaving {
                                let names = &inner.options.headers;
                                let value = names.leaving_value.clone();
                                response.headers_mut().insert(names.leaving.clone(), value);
                            }
                            if let Some(limit) = limit {
                                let name = inner.options.headers.limit.clone();
                                response.headers_mut().insert(name, limit);
                            }
                            Ok::<_, Infallible>(response)
                        }
                    });
                    let io = TokioIo::new(stream);
                    // The caller sees the error on its side of the connection.
                    let _ = http1::Builder::new().serve_connection(io, service).await;
                });
            }
        };
        let (mut crash, t) = (inner.crash.subscribe(), tasks.clone());
        let accept = tokio::spawn(async move {
            tokio::select! {
                () = accept_connections => {}
                // Fails only if the endpoint is dropped, which closes everything as well.
                _ = crash.wait_for(|crashed| *crashed) => lock(&t).abort_all(),
            }
        });
        Ok(PlainEndpoint { address, inner, tasks, accept })
    }

    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the id of the endpoint.
    pub fn id(&self) -> &Arc<str> {
        &self.inner.options.id
    }

    /// Replaces the faults for requests that arrive from now on.
    pub fn set_faults(&self, faults: FaultRates) {
        *lock(&self.inner.faults) = faults;
    }

    /// Returns the faults for requests that arrive now.
    pub fn faults(&self) -> FaultRates {
        *lock(&self.inner.faults)
    }

    /// Replaces the parts of prompts that crash the endpoint.
    pub fn set_fatal_parts(&self, parts: FatalParts) {
        *lock(&self.inner.fatal_parts) = parts;
    }

    /// Replaces the paths of requests that crash the endpoint.
    pub fn set_fatal_paths(&self, paths: Vec<Arc<str>>) {
        *lock(&self.inner.fatal_paths) = paths;
    }

    /// Whether a request has crashed the endpoint: it has closed its connections and its
    /// listener.
    pub fn has_crashed(&self) -> bool {
        *self.inner.crash.borrow()
    }

    /// Returns the number of requests that run now. A request stops when its connection is closed.
    pub fn running(&self) -> usize {
        *lock(&self.inner.running)
    }

    /// Returns the build of the endpoint's software.
    pub fn build(&self) -> &Arc<str> {
        &self.inner.options.build
    }

    /// Makes every answer from now on say that the endpoint is leaving.
    pub fn leave(&self) {
        self.inner.leaving.store(true, Ordering::Relaxed);
    }

    /// Makes every answer to a request that arrives from now on state this limit; none if `None`.
    ///
    /// # Panics
    /// If the text is no value of a header.
    pub fn set_limit(&self, limit: Option<&str>) {
        let value = |text| HeaderValue::from_str(text).expect("the limit is a header value");
        *lock(&self.inner.limit) = limit.map(value);
    }

    /// Returns the record of every request that has arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.inner.arrivals).clone()
    }

    /// Returns the record of every execution so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.inner.runs).clone()
    }
}

impl Drop for PlainEndpoint {
    fn drop(&mut self) {
        self.accept.abort();
        lock(&self.tasks).abort_all();
    }
}

/// Slot held by a request. Dropping it frees the slot.
struct Slot(Arc<Inner>);

impl Drop for Slot {
    fn drop(&mut self) {
        *lock(&self.0.running) -= 1;
    }
}

fn empty_response(status: StatusCode) -> hyper::Response<Body> {
    let empty = http_body_util::Empty::new().map_err(|never| match never {}).boxed_unsync();
    let mut response = hyper::Response::new(empty);
    *response.status_mut() = status;
    response
}

/// Never answers; the request ends when its connection is closed.
async fn hang() -> Result<hyper::Response<Body>, Infallible> {
    std::future::pending().await
}

impl Inner {
    /// Records that a request has arrived. Returns the limit that its answer states.
    fn record_arrival(
        &self,
        request: &hyper::Request<hyper::body::Incoming>,
    ) -> Option<HeaderValue> {
        let limit = lock(&self.limit).clone();
        let id = request.headers().get(&self.options.headers.request_id);
        let request_id = id.and_then(|v| v.to_str().ok()).unwrap_or_default().into();
        let at = time::Instant::now();
        lock(&self.arrivals).push(Arrival { request_id, at, limited: limit.is_some() });
        limit
    }

    async fn handle(
        self: Arc<Self>,
        request: hyper::Request<hyper::body::Incoming>,
        leaving: bool,
    ) -> Result<hyper::Response<Body>, Infallible> {
        let (head, body) = request.into_parts();
        let names = &self.options.headers;
        let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let request: Arc<str> = text(&names.request_id).unwrap_or_default().into();
        if text(&names.expected_endpoint).is_some_and(|id| id != &*self.options.id) {
            return Ok(empty_response(StatusCode::MISDIRECTED_REQUEST));
        }
        let after = text(&names.last_event).and_then(|n| n.parse().ok()).unwrap_or(0);
        let Ok(body) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        let faults = *lock(&self.faults);
        let slot = self.take_slot();
        let Some(slot) = slot.filter(|_| rand::random::<f64>() >= faults.decline_rate) else {
            time::sleep(faults.decline_pause).await;
            return Ok(self.decline_response(head.headers.get(&names.request_id).cloned()));
        };
        let path = head.uri.path().into();
        let hash = xxhash_rust::xxh3::xxh3_64(&body);
        let is_lost = rand::random::<f64>() < faults.lost_rate;
        let is_mismatched = rand::random::<f64>() < faults.mismatch_rate;
        lock(&self.runs).push(Run {
            endpoint: self.options.id.clone(),
            leaving: leaving && !is_lost && !is_mismatched,
            request_id: request.clone(),
            last_event: after,
            path,
            body_hash: hash,
            build: self.options.build.clone(),
            started: time::Instant::now(),
        });
        if is_lost {
            return hang().await;
        }
        if is_mismatched {
            return Ok(self.decline_response(Some(HeaderValue::from_static("another"))));
        }
        let pause = faults.pause.filter(|p| rand::random::<f64>() < p.rate);
        if let Some(pause) = pause.filter(|p| p.before == 0) {
            time::sleep(pause.length).await;
        }
        let faults = FaultRates { pause, ..faults };
        let is_fatal = lock(&self.fatal_parts).are_in(&head.headers)
            || lock(&self.fatal_paths).iter().any(|path| **path == *head.uri.path());
        let echo = head.headers.get(&names.request_id).cloned();
        let mut response = match rand::random::<f64>() < faults.error_rate {
            true => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
            false => self.clone().stream(request, after, faults, is_fatal, slot),
        };
        if let Some(echo) = echo {
            response.headers_mut().insert(names.request_id.clone(), echo);
        }
        Ok(response)
    }

    fn decline_response(&self, echo: Option<HeaderValue>) -> hyper::Response<Body> {
        let names = &self.options.headers;
        let mut declined = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        declined.headers_mut().insert(names.declined.clone(), HeaderValue::from_static("1"));
        if let Some(echo) = echo {
            declined.headers_mut().insert(names.request_id.clone(), echo);
        }
        declined
    }

    fn take_slot(self: &Arc<Self>) -> Option<Slot> {
        let mut running = lock(&self.running);
        if *running >= self.options.slots {
            return None;
        }
        *running += 1;
        Some(Slot(self.clone()))
    }

    fn stream(
        self: Arc<Self>,
        request: Arc<str>,
        after: u64,
        faults: FaultRates,
        is_fatal: bool,
        slot: Slot,
    ) -> hyper::Response<Body> {
        let factor = if faults.slowdown > 0.0 { faults.slowdown } else { 1.0 };
        let step = self.options.event_interval.mul_f64(factor);
        let last = self.options.event_count;
        let cut = rand::random::<f64>() < faults.cut_rate;
        let cut = cut.then(|| after + 1 + rand::random::<u64>() % (last - after).max(1));
        let inner = self.clone();
        let events = futures_util::stream::unfold((after + 1, slot), move |(event, slot)| {
            let (request, inner) = (request.clone(), inner.clone());
            async move {
                if event > last {
                    return None;
                }
                time::sleep(step).await;
                if is_fatal {
                    inner.crash.send_replace(true);
                    std::future::pending::<()>().await;
                }
                if let Some(pause) = faults.pause.filter(|p| p.before == event) {
                    time::sleep(pause.length).await;
                }
                let text = format!("id: {event}\ndata: {}\n\n", event_data(&request, event));
                match cut {
                    Some(at) if at == event => {
                        let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
                        Some((Ok(hyper::body::Frame::data(half)), (u64::MAX, slot)))
                    }
                    _ => Some((Ok(hyper::body::Frame::data(text.into())), (event + 1, slot))),
                }
            }
        });
        // A cut stream ends with an error, which aborts its connection.
        let broken = cut.map(|_| Err(std::io::Error::other("simulated cut of the stream")));
        let tail = futures_util::stream::iter(broken);
        let body = futures_util::StreamExt::chain(events, tail);
        let mut response = hyper::Response::new(StreamBody::new(body).boxed_unsync());
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }
}

//! HTTP client for the endpoints of this host.

use crate::errors;
use bytes::Bytes;
use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use hyper::header;
use hyper_util::client::legacy;
use hyper_util::rt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time;

/// Timeout of TCP connections to endpoints.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a pooled connection is closed. Devices on the path may drop the state of
/// connections that idle for longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes of a stream of events in which no event with data ends. The parts of a body are
/// shorter.
const MAX_EVENT_SIZE: usize = 1 << 20;
/// Most bytes that [`Response::read_body`] accepts.
const MAX_BODY_SIZE: usize = 16 << 20;

/// HTTP client for endpoints. Clones share the connection pool.
#[derive(Clone)]
pub struct Upstream {
    client: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>,
}

/// HTTP request to an endpoint.
#[derive(Clone, Debug)]
pub struct Request {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query of the URL.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Request body.
    pub body: Bytes,
    /// Longest wait for each part of the response body.
    pub stall_timeout: Duration,
    /// Longest wait for the response headers, including the connection setup.
    pub header_timeout: Duration,
}

/// Response of an endpoint. Its body is read afterwards.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    body: hyper::body::Incoming,
    peer: Arc<str>,
    stall_timeout: Duration,
}

impl Default for Upstream {
    fn default() -> Self {
        Upstream::new()
    }
}

impl Upstream {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Upstream {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // Requests that are not idempotent must reach the endpoint at most once.
            .retry_canceled_requests(false)
            .build(connector);
        Upstream { client }
    }

    /// Sends a request and waits for the response headers.
    ///
    /// Dropping the future or the response closes the connection, which cancels the request.
    pub async fn send(&self, request: &Request) -> Result<Response, errors::Error> {
        let peer: Arc<str> = request.address.to_string().into();
        let http_request = hyper::Request::builder()
            .method(&*request.method)
            .uri(format!("http://{}{}", request.address, request.path))
            .header(header::CONTENT_TYPE, &*request.content_type)
            .body(http_body_util::Full::new(request.body.clone()))
            .map_err(|e| errors::Error::invalid("build request", peer.clone(), e))?;
        let response =
            match time::timeout(request.header_timeout, self.client.request(http_request)).await {
                Ok(Ok(response)) => response,
                Ok(Err(e)) if e.is_connect() => {
                    return Err(errors::Error::lost("connect", peer, error_with_source(&e)));
                }
                Ok(Err(e)) => {
                    return Err(errors::Error::lost("send request", peer, error_with_source(&e)));
                }
                Err(_) => {
                    let limit =
                        u64::try_from(request.header_timeout.as_millis()).unwrap_or(u64::MAX);
                    return Err(errors::Error::new(
                        "await answer",
                        peer,
                        errors::Cause::Timeout(limit),
                    ));
                }
            };
        let content_type = response
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("application/octet-stream")
            .into();
        let status = response.status().as_u16();
        Ok(Response {
            status,
            content_type,
            body: response.into_body(),
            peer,
            stall_timeout: request.stall_timeout,
        })
    }
}

impl Response {
    /// Reads the next part of the body; `None` at its end.
    ///
    /// A body that ends before its declared length or last chunk is an error.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, errors::Error> {
        loop {
            let frame = match time::timeout(self.stall_timeout, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => {
                    return Err(errors::Error::lost("read body", self.peer.clone(), e));
                }
                Ok(None) => return Ok(None),
                Err(_) => {
                    let limit = u64::try_from(self.stall_timeout.as_millis()).unwrap_or(u64::MAX);
                    let cause = errors::Cause::Timeout(limit);
                    return Err(errors::Error::new("read body", self.peer.clone(), cause));
                }
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    /// `Protocol` if the body is too long, otherwise those of [`Response::next_part`].
    pub async fn read_body(&mut self) -> Result<Bytes, errors::Error> {
        let mut all = Vec::new();
        while let Some(part) = self.next_part().await? {
            if all.len() + part.len() > MAX_BODY_SIZE {
                let peer = self.peer.clone();
                return Err(errors::Error::protocol(
                    "read body",
                    peer,
                    "response body is too long",
                ));
            }
            all.extend_from_slice(&part);
        }
        Ok(all.into())
    }

    /// Converts the body into a stream of server-sent events.
    pub fn events(self) -> Events {
        let peer = self.peer.clone();
        let unused = Arc::<AtomicUsize>::default();
        let state = Some((self, unused.clone()));
        let parts = futures_util::stream::unfold(state, |state| async move {
            let (mut response, unused) = state?;
            match response.next_part().await {
                Ok(Some(part))
                    if unused.fetch_add(part.len(), Ordering::Relaxed) > MAX_EVENT_SIZE =>
                {
                    let peer = response.peer.clone();
                    let error = errors::Error::protocol("read event", peer, "event is too long");
                    Some((Err(error), None))
                }
                Ok(Some(part)) => Some((Ok(part), Some((response, unused)))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        Events { stream: sse_stream::SseByteStream::new(parts.boxed()), unused, peer }
    }
}

/// Server-sent events of a response.
pub struct Events {
    stream: sse_stream::SseByteStream<
        futures_util::stream::BoxStream<'static, Result<Bytes, errors::Error>>,
    >,
    /// Bytes read since the last event with data.
    unused: Arc<AtomicUsize>,
    peer: Arc<str>,
}

impl Events {
    /// Returns the data of the next event, skipping events without data; `None` at the end of the
    /// body.
    pub async fn next(&mut self) -> Result<Option<String>, errors::Error> {
        loop {
            match self.stream.next().await {
                Some(Ok(event)) => {
                    if let Some(data) = event.data {
                        self.unused.store(0, Ordering::Relaxed);
                        return Ok(Some(data));
                    }
                }
                Some(Err(e)) => {
                    return Err(errors::Error::lost("read event", self.peer.clone(), e));
                }
                None => return Ok(None),
            }
        }
    }
}

fn error_with_source(error: &legacy::Error) -> String {
    use std::error::Error as _;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

//! HTTP/1.1 connections to endpoints.
//!
//! A connection carries one request at a time and is reused only after a complete response.
//! Dropping an unfinished response closes the connection, which cancels the request at the
//! endpoint.

mod stream;

use crate::fleet::peer;
use crate::fleet::protocol;
use crate::fleet::upstream::stream::BoundedStream;
use crate::fleet::upstream::stream::Traffic;
use crate::sorted;
use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::client::conn::http1;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task;
use tokio::time;

/// Longest time to establish a connection. TCP resends a lost first packet only after a second, so
/// a new attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle connections are kept this long if the endpoint states no limit.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Share of the endpoint's stated limit after which an idle connection is no longer used. Near the
/// limit the endpoint may close it just as a request is sent.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Most bytes that are buffered of a connection, which is also the longest head of a response.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Most bytes of responses that are held until they are complete, in all. With the bodies of requests
/// they leave the smallest entries, which have 160 MB, 50 MB for all else.
const MAX_HELD_BYTES: usize = 48 << 20;
/// Held bytes are counted in blocks of this size. The last, partial block of a response is not
/// counted, so that long responses do not keep short ones out.
const HELD_BLOCK_BYTES: usize = 64 << 10;
/// Most requests on one connection. The hashes of their ids take 8 bytes each.
const MAX_CONNECTION_REQUESTS: usize = 128;
/// Highest status, RFC 9110 section 15.
const MAX_STATUS: u16 = 599;
/// Most idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Why no response arrived.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(Arc<str>),
    /// The request may have run.
    #[display("connection lost: {_0}")]
    Lost(Arc<str>),
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// Open connection. Dropping it closes it.
struct Connection {
    sender: Sender,
    task: task::AbortHandle,
    traffic: Arc<Traffic>,
    /// Hashes of the ids of the requests that it has carried.
    carried: Vec<u64>,
}

impl Connection {
    /// Whether the next request may be sent on it.
    fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.traffic.has_ended()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    connection: Connection,
    expires: time::Instant,
}

/// HTTP client for endpoints, with a pool of idle connections by address. Clones share the pool.
#[derive(Clone)]
pub struct Upstream {
    idle: Arc<Mutex<sorted::SortedMap<SocketAddr, Vec<IdleConnection>>>>,
    /// Blocks of memory for held responses.
    held_blocks: Arc<Semaphore>,
}

impl Default for Upstream {
    fn default() -> Upstream {
        let held_blocks = Arc::new(Semaphore::new(MAX_HELD_BYTES / HELD_BLOCK_BYTES));
        Upstream { idle: Arc::default(), held_blocks }
    }
}

/// Complete body with the memory that is reserved for it.
struct HeldBody {
    bytes: Vec<u8>,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Whether a response belongs to a request, judged by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is the response to the request.
    Matching,
    /// The endpoint has not run the request.
    Declined,
    /// It may be the response to another request, so the outcome of this one is unknown.
    Mismatched,
}

/// Classifies a response to the request `id` by its head; `reused` tells whether the connection has
/// carried another request. Endpoints echo the request id. A reused connection may still hold a
/// late response to the previous request, which must not count as "this request has not run".
pub fn classify_response(
    names: &protocol::Headers,
    head: &hyper::http::response::Parts,
    id: &str,
    reused: bool,
) -> ResponseClass {
    let echo = head.headers.get(&names.request_id).map(HeaderValue::as_bytes);
    let declined = head.headers.contains_key(&names.declined)
        || head.status == StatusCode::MISDIRECTED_REQUEST;
    match echo {
        Some(echo) if echo != id.as_bytes() => ResponseClass::Mismatched,
        None if reused || head.status.is_success() => ResponseClass::Mismatched,
        _ if declined => ResponseClass::Declined,
        _ => ResponseClass::Matching,
    }
}

/// What the head of a response says about whether the endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingNotice {
    /// Nothing.
    Absent,
    /// The endpoint is leaving.
    Leaving,
    /// Nothing that can be used, for this reason.
    Unusable(&'static str),
}

/// Value of a header in which an endpoint states something about itself, in the head of a response to
/// the request `id`; `None` if it is absent.
///
/// # Errors
/// Why the statement says nothing about the endpoint.
pub fn own_header<'a>(
    names: &protocol::Headers,
    head: &'a hyper::http::response::Parts,
    id: &str,
    header: &HeaderName,
) -> Result<Option<&'a HeaderValue>, &'static str> {
    let mut values = head.headers.get_all(header).iter();
    let (Some(value), other) = (values.next(), values.next()) else { return Ok(None) };
    let mut echoes = head.headers.get_all(&names.request_id).iter();
    let is_own = echoes.next().is_some_and(|e| e.as_bytes() == id.as_bytes());
    if !is_own || echoes.next().is_some() {
        Err("the answer does not name the request")
    } else if head.status == StatusCode::MISDIRECTED_REQUEST {
        // Another endpoint that has taken over the address speaks of itself.
        Err("the answer is from another endpoint")
    } else if other.is_some() {
        Err("the header is repeated")
    } else {
        Ok(Some(value))
    }
}

/// Reads from the head of a response to the request `id` whether the endpoint is leaving. Only the
/// head counts: an endpoint may break off the body just because it is leaving.
pub fn leaving_notice(
    names: &protocol::Headers,
    head: &hyper::http::response::Parts,
    id: &str,
) -> LeavingNotice {
    match own_header(names, head, id, &names.leaving) {
        Ok(None) => LeavingNotice::Absent,
        Ok(Some(value)) if *value == names.leaving_value => LeavingNotice::Leaving,
        Ok(Some(_)) => LeavingNotice::Unusable("the header has another value"),
        Err(problem) => LeavingNotice::Unusable(problem),
    }
}

/// Response of an endpoint. Its body is still arriving.
pub struct Response {
    /// Status line and headers.
    pub head: hyper::http::response::Parts,
    body: hyper::body::Incoming,
    connection: Option<Connection>,
    upstream: Upstream,
    address: SocketAddr,
    /// Whether the connection has carried another request before.
    reused: bool,
    framed: bool,
    /// Memory that is reserved for bytes of the response.
    held: Option<OwnedSemaphorePermit>,
}

impl Upstream {
    /// Sends a request and waits for the head of the response. `new_connection` forbids reuse, for
    /// requests that must not fail because the endpoint is just closing an idle connection.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request was sent, `Lost` if the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        new_connection: bool,
    ) -> Result<Response, Failure> {
        self.send_as(address, None, request, new_connection).await
    }

    /// Sends the request `id` like [`Upstream::send`]. A connection that has carried another request of
    /// the same id is not reused: a late copy of the answer to that one could not be told apart.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request was sent, `Lost` if the request may have run.
    pub async fn send_as(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        mut request: hyper::Request<Full<Bytes>>,
        new_connection: bool,
    ) -> Result<Response, Failure> {
        let is_head_request = request.method() == Method::HEAD;
        let id = id.map(hash_id);
        loop {
            let idle_connection = if new_connection { None } else { self.take_idle(address, id) };
            let reused = idle_connection.is_some();
            let mut connection = match idle_connection {
                Some(connection) => connection,
                None => connect(address).await?,
            };
            connection.traffic.begin_request(body_length(&request));
            connection.carried.extend(id);
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.traffic.record_use();
                    let (head, body) = response.into_parts();
                    // No request asks for another protocol.
                    if head.status == StatusCode::SWITCHING_PROTOCOLS {
                        return Err(Failure::Lost("the endpoint switches the protocol".into()));
                    }
                    if head.status.as_u16() > MAX_STATUS {
                        let cause = format!("{} is no status of HTTP", head.status.as_u16());
                        return Err(Failure::Lost(cause.into()));
                    }
                    let framed = is_head_request || is_framed(&head);
                    let upstream = self.clone();
                    let connection = Some(connection);
                    let held = None;
                    return Ok(Response {
                        head,
                        body,
                        connection,
                        upstream,
                        address,
                        reused,
                        framed,
                        held,
                    });
                }
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before this request used it.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(Failure::NotSent(with_source(error.error()))),
                    None => return Err(Failure::Lost(with_source(error.error()))),
                },
            }
        }
    }

    /// Takes the connection that became idle last and has not carried a request with the given hash of
    /// its id.
    fn take_idle(&self, address: SocketAddr, id: Option<u64>) -> Option<Connection> {
        let mut idle = peer::lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        let now = time::Instant::now();
        connections.retain(|i| i.expires > now && i.connection.is_reusable());
        let has_not_carried =
            |i: &IdleConnection| id.is_none_or(|id| !i.connection.carried.contains(&id));
        let at = connections.iter().rposition(has_not_carried)?;
        Some(connections.remove(at).connection)
    }

    fn keep_idle(&self, address: SocketAddr, connection: Connection, limit: Duration) {
        let expires = time::Instant::now() + limit;
        let mut idle = peer::lock(&self.idle);
        let connections = idle.entry_or(address, Vec::new);
        connections
            .retain(|i| i.expires > time::Instant::now() && !i.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { connection, expires });
        }
    }

    /// Closes idle connections that have expired or that the endpoint has closed.
    pub fn close_expired(&self) {
        let now = time::Instant::now();
        peer::lock(&self.idle).retain(|_, connections| {
            connections.retain(|i| i.expires > now && !i.connection.sender.is_closed());
            !connections.is_empty()
        });
    }
}

fn body_length(request: &hyper::Request<Full<Bytes>>) -> usize {
    // A body that is held in memory has an exact length.
    usize::try_from(request.body().size_hint().lower()).unwrap_or(usize::MAX)
}

/// Hash of the id of a request.
fn hash_id(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let not_sent = |e: &dyn ToString| Failure::NotSent(e.to_string().into());
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent(&"connection not established in time"))?
        .map_err(|e| not_sent(&e))?;
    stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
    let traffic = Arc::<Traffic>::default();
    let stream = BoundedStream::new(stream, traffic.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_sent(&e))?;
    let task = tokio::spawn(async move {
        // An error reaches the task that waits for the response; an idle connection has none.
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle(), traffic, carried: Vec::new() })
}

/// Text of an error and of its source, which holds the cause.
fn with_source(error: &hyper::Error) -> Arc<str> {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}").into(),
        None => error.to_string().into(),
    }
}

impl Response {
    /// Whether this is the response to the request `id`.
    pub fn classify(&self, names: &protocol::Headers, id: &str) -> ResponseClass {
        classify_response(names, &self.head, id, self.reused)
    }

    /// What the head says about whether the endpoint is leaving, if this is the response to the
    /// request `id`.
    pub fn leaving_notice(&self, names: &protocol::Headers, id: &str) -> LeavingNotice {
        leaving_notice(names, &self.head, id)
    }

    /// Returns the next bytes of the body; `None` once it is complete.
    ///
    /// # Errors
    /// The cause, if the connection ended before the body was complete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Arc<str>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        if let Some(connection) = &self.connection {
                            connection.traffic.record_use();
                        }
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Err(with_source(&error));
                }
                None => {
                    self.release_connection();
                    return Ok(None);
                }
            }
        }
    }

    /// Reserves memory for `bytes` of the response, in place of what was reserved before.
    ///
    /// # Errors
    /// The responses of all requests hold too much memory.
    pub fn hold(&mut self, bytes: usize) -> Result<(), Arc<str>> {
        let blocks = bytes / HELD_BLOCK_BYTES;
        let held = self.held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if blocks > held {
            let more = u32::try_from(blocks - held).unwrap_or(u32::MAX);
            let more = self.upstream.held_blocks.clone().try_acquire_many_owned(more);
            let more = more.map_err(|_| Arc::from("the answers that are held are too long"))?;
            match &mut self.held {
                Some(permit) => permit.merge(more),
                None => self.held = Some(more),
            }
        } else if let Some(permit) = &mut self.held {
            drop(permit.split(held - blocks));
        }
        Ok(())
    }

    /// Reads the whole body, at most `limit` bytes. Its memory stays reserved until the returned
    /// bytes are dropped.
    ///
    /// # Errors
    /// The cause, if the connection ended early, a success ends with it before the body, the body is
    /// too long, or the responses of all requests hold too much memory.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, Arc<str>> {
        let too_long = || Err(Arc::from("the answer is too long"));
        if self.body.size_hint().lower() > limit as u64 {
            return too_long();
        }
        let mut body = Vec::new();
        while let Some(data) = self.next_chunk().await? {
            let len = body.len() + data.len();
            if len > limit {
                return too_long();
            }
            if len > body.capacity() {
                let capacity = len.next_power_of_two().min(limit);
                self.hold(capacity)?;
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&data);
        }
        // The endpoint may have stopped before it wrote the length.
        if body.is_empty() && !self.framed && self.head.status.is_success() {
            return Err("the connection ends before the body".into());
        }
        match self.held.take() {
            Some(permit) => Ok(Bytes::from_owner(HeldBody { bytes: body, _permit: permit })),
            None => Ok(body.into()),
        }
    }

    /// Whether the head tells where the body ends. Otherwise it ends when the endpoint closes the
    /// connection.
    pub fn is_framed(&self) -> bool {
        self.framed
    }

    /// Returns the connection to the pool after a complete body, if it can be reused. One that has
    /// carried an error cannot: the endpoint may write the error once more, in place of the answer to
    /// the next request.
    fn release_connection(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        connection.traffic.end_request();
        if !self.head.status.is_success() {
            return;
        }
        let close = self.head.headers.get(header::CONNECTION);
        if close.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        if self.is_framed() && connection.carried.len() < MAX_CONNECTION_REQUESTS {
            self.upstream.keep_idle(self.address, connection, keep_alive(&self.head.headers));
        }
    }
}

/// Whether the head of a response tells where its body ends, RFC 9112 section 6.3. A transfer coding
/// does so only if the last one is `chunked`.
fn is_framed(head: &hyper::http::response::Parts) -> bool {
    let is_without_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let codings = head.headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|v| v.as_bytes().rsplit(|b| *b == b',').next());
    is_without_body
        || match last {
            Some(coding) => coding.trim_ascii().eq_ignore_ascii_case(b"chunked"),
            None => head.headers.contains_key(header::CONTENT_LENGTH),
        }
}

/// How long an idle connection may be used, from the endpoint's `keep-alive` header.
fn keep_alive(headers: &hyper::HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let stated = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = stated.and_then(|s| s.trim().parse::<u32>().ok());
    seconds.map_or(DEFAULT_KEEP_ALIVE, |s| Duration::from_secs(s.into()).mul_f64(KEEP_ALIVE_SHARE))
}

//! HTTP/1.1 connections to endpoints.
//!
//! A connection carries one request at a time. It is kept for the next one only after a complete
//! answer; dropping an unfinished answer closes it, which cancels the request at the endpoint.

use crate::fleet::peer;
use crate::fleet::protocol;
use crate::sorted;
use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::header;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

/// Longest time to establish a connection. A lost first packet is sent again only after a second,
/// so another attempt is quicker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which an idle connection is kept if the endpoint states no limit.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Part of the endpoint's stated limit for which an idle connection is used, as the endpoint may
/// close it at the same moment.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Why no answer arrived.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// The request did not leave this host.
    #[display("not sent: {_0}")]
    NotSent(Arc<str>),
    /// The request may have run.
    #[display("connection lost: {_0}")]
    Lost(Arc<str>),
}

type Sender = http1::SendRequest<Full<Bytes>>;

struct Connection {
    sender: Sender,
    task: task::AbortHandle,
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

/// Connections to endpoints by address. Clones share them.
#[derive(Clone, Default)]
pub struct Upstream {
    idle: Arc<Mutex<sorted::SortedMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// What the head of an answer says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is the answer to the request.
    Matching,
    /// The endpoint has not run the request.
    Declined,
    /// It may be the answer to another request, so nothing is known of this one.
    Mismatched,
}

/// Judges the head of an answer to the request `id`. Endpoints repeat the id of a request; an
/// answer that came too late for the request before stands on a kept connection without notice,
/// and must not be taken for the word that this request has not run.
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

/// Answer of an endpoint whose body is still arriving.
pub struct Response {
    /// Status line and headers.
    pub head: hyper::http::response::Parts,
    body: hyper::body::Incoming,
    connection: Option<Connection>,
    upstream: Upstream,
    address: SocketAddr,
    /// Whether the connection has carried another request before.
    reused: bool,
}

impl Upstream {
    /// Sends a request and waits for the head of its answer. `fresh` requires a new connection,
    /// for requests that must not meet a connection that the endpoint is just closing.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request was sent, `Lost` otherwise.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: hyper::Request<Full<Bytes>>,
        new_connection: bool,
    ) -> Result<Response, Failure> {
        loop {
            let idle_connection = if new_connection { None } else { self.take_idle(address) };
            let reused = idle_connection.is_some();
            let mut connection = match idle_connection {
                Some(connection) => connection,
                None => connect(address).await?,
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let upstream = self.clone();
                    let connection = Some(connection);
                    return Ok(Response { head, body, connection, upstream, address, reused });
                }
                Err(mut error) => match error.take_message() {
                    // A kept connection was closed before it was used.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(Failure::NotSent(error.error().to_string().into())),
                    None => return Err(Failure::Lost(error.error().to_string().into())),
                },
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = peer::lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        let now = time::Instant::now();
        while let Some(IdleConnection { connection, expires }) = connections.pop() {
            if expires > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
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

    /// Closes idle connections whose time is over.
    pub fn close_expired(&self) {
        let now = time::Instant::now();
        peer::lock(&self.idle).retain(|_, connections| {
            connections.retain(|i| i.expires > now && !i.connection.sender.is_closed());
            !connections.is_empty()
        });
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let not_sent = |e: &dyn ToString| Failure::NotSent(e.to_string().into());
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent(&"connection not established in time"))?
        .map_err(|e| not_sent(&e))?;
    stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
    let (sender, connection) =
        http1::Builder::new().handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(&e))?;
    let task = tokio::spawn(async move {
        // An error reaches whoever waits for the answer; without one nobody is concerned.
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle() })
}

impl Response {
    /// What the head says of the request `id`.
    pub fn classify(&self, names: &protocol::Headers, id: &str) -> ResponseClass {
        classify_response(names, &self.head, id, self.reused)
    }

    /// Next bytes of the body; `None` once it is complete.
    ///
    /// # Errors
    /// The connection ended before the body was complete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Arc<str>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Err(error.to_string().into());
                }
                None => {
                    self.release_connection();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body, at most `limit` bytes.
    ///
    /// # Errors
    /// The connection ended early or the body is too long.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, Arc<str>> {
        let mut body = bytes::BytesMut::new();
        while let Some(data) = self.next_chunk().await? {
            body.extend_from_slice(&data);
            if body.len() > limit {
                return Err("the answer is too long".into());
            }
        }
        Ok(body.freeze())
    }

    fn release_connection(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        let close = self.head.headers.get(header::CONNECTION);
        if close.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        // Without a length or chunks the body ends with its connection.
        let framed = self.head.headers.contains_key(header::CONTENT_LENGTH)
            || self.head.headers.contains_key(header::TRANSFER_ENCODING);
        if framed {
            self.upstream.keep_idle(self.address, connection, keep_alive(&self.head.headers));
        }
    }
}

/// Time for which an idle connection may be used.
fn keep_alive(headers: &hyper::HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let stated = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = stated.and_then(|s| s.trim().parse::<u32>().ok());
    seconds.map_or(DEFAULT_KEEP_ALIVE, |s| Duration::from_secs(s.into()).mul_f64(KEEP_ALIVE_SHARE))
}

//! HTTP/1.1 listeners of a host.

use crate::event;
use crate::events;
use crate::fleet::admission;
use crate::fleet::routes;
use crate::supervisor;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as _;
use hyper::header;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

/// Added to the configured idle time, so that an idle connection stays open longer than callers
/// were promised.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Pause after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts.
const MIN_READ_BUFFER: usize = 8 << 10;

/// Body of a response. An error closes the connection without ending the response properly.
pub type Body = UnsyncBoxBody<Bytes, ResponseAborted>;

/// Response to a request.
pub type Response = hyper::Response<Body>;

/// The response was aborted before its end.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the response was aborted")]
pub struct ResponseAborted;

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Responds to a request. The future is dropped, which cancels the request, when the caller
    /// disconnects.
    fn handle(
        self: Arc<Self>,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> BoxFuture<'static, Response>;
}

/// Builds a response with a complete body.
pub fn response(status: hyper::StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = hyper::Response::new(full_body(body.into()));
    *response.status_mut() = status;
    response
}

/// Builds a response with status 200 and a JSON body.
pub fn json_response(body: Vec<u8>) -> Response {
    let mut response = response(hyper::StatusCode::OK, body);
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Builds a body from bytes that are all present.
pub fn full_body(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed_unsync()
}

/// Tracks open connections: each subscribes a receiver, and `closed` waits until all are dropped.
pub type OpenConnections = watch::Sender<()>;

/// Accepts connections until `stop`, and serves each on its own task.
pub async fn run(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    bounds: watch::Receiver<routes::Bounds>,
    stage: watch::Receiver<admission::Stage>,
    open: OpenConnections,
    mut stop: supervisor::Stop,
    log: slog::Logger,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let bounds = bounds.clone();
                let (handler, stage) = (handler.clone(), stage.clone());
                let guard = open.subscribe();
                tokio::spawn(async move {
                    serve_connection(stream, handler, bounds, stage).await;
                    drop(guard);
                });
            }
            Err(error) => {
                event!(log, events::ACCEPT_FAILED; "error" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Longest time from the end of a response until the next request has a complete head.
fn head_limit(bounds: &routes::Bounds) -> Duration {
    bounds.idle_timeout.max(bounds.head_timeout) + IDLE_TIMEOUT_MARGIN
}

/// Timer of a connection, which hyper uses only to limit the time for reading the next head. The
/// limit is the one in force when the time is over, not when the connection began or became idle:
/// callers rely on the latest limit.
struct HeadTimer {
    bounds: watch::Receiver<routes::Bounds>,
}

impl hyper::rt::Timer for HeadTimer {
    fn sleep(&self, limit: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        let begun = time::Instant::now();
        let sleep = Box::pin(time::sleep_until(begun + limit));
        Box::pin(HeadTimeout { bounds: self.bounds.clone(), begun, sleep })
    }

    fn sleep_until(&self, deadline: std::time::Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep(deadline.saturating_duration_since(std::time::Instant::now()))
    }
}

/// Ends once the limit in force has passed since it began.
struct HeadTimeout {
    bounds: watch::Receiver<routes::Bounds>,
    begun: time::Instant,
    sleep: Pin<Box<time::Sleep>>,
}

impl hyper::rt::Sleep for HeadTimeout {}

impl Future for HeadTimeout {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let deadline = self.begun + head_limit(&self.bounds.borrow());
            if deadline <= time::Instant::now() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(deadline);
        }
    }
}

/// Connection of a caller. While it carries an answer that ends with it, it is reset if it is dropped
/// or the process is killed: an orderly end would make the answer look complete.
struct CallerStream {
    stream: TcpStream,
    /// Whether an answer has begun that ends with the connection.
    unframed: Arc<AtomicBool>,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.reset_on_drop()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        #[expect(deprecated, reason = "without a linger time, closing does not block")]
        self.stream.set_linger(None)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.reset_on_drop()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl CallerStream {
    /// Lets the connection be reset from now on if an answer has begun that ends with it.
    fn reset_on_drop(&self) -> io::Result<()> {
        match self.unframed.swap(false, Ordering::Relaxed) {
            true => self.stream.set_zero_linger(),
            false => Ok(()),
        }
    }
}

/// Whether the answer to a request under the given version of HTTP ends with its connection: version
/// 1.0 has no chunks.
fn ends_with_connection(version: hyper::Version, response: &Response) -> bool {
    version == hyper::Version::HTTP_10 && response.body().size_hint().exact().is_none()
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    bounds: watch::Receiver<routes::Bounds>,
    mut stage: watch::Receiver<admission::Stage>,
) {
    if stream.set_nodelay(true).is_err() {
        // The caller has disconnected.
        return;
    }
    let unframed = Arc::<AtomicBool>::default();
    let stream = CallerStream { stream, unframed: unframed.clone() };
    let service = hyper::service::service_fn(move |request| {
        let (handler, unframed) = (handler.clone(), unframed.clone());
        async move {
            let version = request.version();
            let response = handler.handle(request).await;
            unframed.store(ends_with_connection(version, &response), Ordering::Relaxed);
            Ok::<_, Infallible>(response)
        }
    });
    let limits = *bounds.borrow();
    // hyper counts idle time between two requests as time for reading the next head.
    let mut builder = http1::Builder::new();
    builder
        .timer(HeadTimer { bounds })
        .header_read_timeout(head_limit(&limits))
        .max_buf_size(limits.head_bytes.max(MIN_READ_BUFFER));
    // A connection accepted after the shutdown began gets one response, which says why its request
    // is not served, and is then closed.
    let mut is_closing = stage.borrow().is_closing();
    builder.keep_alive(!is_closing);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let closing = async {
        // An error means that the sender was dropped, because the host shuts down.
        let _ = stage.wait_for(admission::Stage::is_closing).await;
    };
    tokio::pin!(closing);
    loop {
        tokio::select! {
            // The caller sees how its connection ended; this host does not need the result.
            _ = &mut served => return,
            () = &mut closing, if !is_closing => {
                is_closing = true;
                served.as_mut().graceful_shutdown();
            }
        }
    }
}

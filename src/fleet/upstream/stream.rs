//! Byte stream to an endpoint that fails where the HTTP library would take too much or too little for
//! an answer.

use crate::fleet::upstream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time;

/// Most bytes that may arrive without a head or a part of a body for the caller. It leaves room for
/// a full buffer, a part that is just being passed on, and the framing of a body.
const MAX_UNUSED_BYTES: usize = 4 * upstream::MAX_BUFFER_BYTES;
/// Longest request that an endpoint's system takes as a whole, whether the endpoint reads it or not.
const MAX_UNREAD_REQUEST: usize = 16 << 10;
/// Interval at which the end of a connection is checked.
const CLOSE_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for an endpoint to take the rest of a request after the end of its answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// What the two ends of a connection share.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    /// Bytes read since the caller last received a head or a part of a body.
    unused: AtomicUsize,
    /// Length of the body of the request that is sent.
    body_length: AtomicUsize,
    /// Whether the connection waits for the next request.
    idle: AtomicBool,
    /// Whether the endpoint has ended its side.
    ended: AtomicBool,
}

impl Traffic {
    /// Records that the next request has a body of this length. Must be called before it is sent.
    pub(super) fn begin_request(&self, body_length: usize) {
        self.body_length.store(body_length, Ordering::Relaxed);
        self.idle.store(false, Ordering::Relaxed);
        self.record_use();
    }

    /// Records that an answer is complete, so that the end of the connection says nothing more.
    pub(super) fn end_request(&self) {
        self.idle.store(true, Ordering::Relaxed);
    }

    /// Whether the endpoint has ended its side.
    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Records that the caller has received a head or a part of a body.
    pub(super) fn record_use(&self) {
        self.unused.store(0, Ordering::Relaxed);
    }
}

/// Finds the end of each request in the bytes that are written.
#[derive(Debug, Default)]
struct RequestEnd {
    /// Bytes of the end of the head that have been found last.
    matched: usize,
    /// Bytes of the head, and then of the body, that were written.
    written: usize,
    /// Bytes of the body that are still to be written; `None` within a head.
    body_left: Option<usize>,
    /// Length of the last request that was written as a whole.
    last_length: usize,
}

impl RequestEnd {
    /// Records bytes of requests with bodies of `body_length` bytes.
    fn record(&mut self, mut bytes: &[u8], body_length: usize) {
        const HEAD_END: &[u8] = b"\r\n\r\n";
        while !bytes.is_empty() {
            let taken = match self.body_left {
                Some(left) => left.min(bytes.len()),
                None => {
                    let mut taken = 0;
                    for byte in bytes {
                        taken += 1;
                        let restarts = usize::from(*byte == HEAD_END[0]);
                        let follows = *byte == HEAD_END[self.matched];
                        self.matched = if follows { self.matched + 1 } else { restarts };
                        if self.matched == HEAD_END.len() {
                            break;
                        }
                    }
                    taken
                }
            };
            self.written += taken;
            bytes = &bytes[taken..];
            self.body_left = match self.body_left {
                Some(left) => Some(left - taken),
                None if self.matched == HEAD_END.len() => Some(body_length),
                None => None,
            };
            if self.body_left == Some(0) {
                *self = RequestEnd { last_length: self.written, ..RequestEnd::default() };
            }
        }
    }

    /// Whether every request that was begun has been written as a whole.
    fn is_reached(&self) -> bool {
        self.written == 0
    }
}

/// End of the bytes that the endpoint has sent.
#[derive(Debug)]
enum ReadEnd {
    /// The endpoint has not ended its side.
    Open,
    /// It has, while the request was still being written.
    Ended,
    /// The rest of the request is on its way to the endpoint.
    Closing { check: Pin<Box<time::Sleep>>, end: time::Instant },
    /// The connection has ended in order.
    Closed,
    /// The connection has ended with an error.
    Failed,
}

/// Stream to an endpoint. It fails once too many bytes were read in vain, as the HTTP library reads
/// interim responses without end. It ends in order only if the endpoint has taken the whole request and
/// has not reset the connection: the end of an answer without a length says nothing otherwise. A reset
/// is reported once only, to the next read or to the next write.
pub(super) struct BoundedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
    request: RequestEnd,
    read_end: ReadEnd,
    /// Task that waits for the end of the request.
    reader: Option<Waker>,
    /// Whether a write has failed.
    write_failed: bool,
    /// Whether anything has arrived since the request was begun.
    answered: bool,
}

fn reset() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the connection was reset during the request")
}

impl BoundedStream {
    pub(super) fn new(stream: TcpStream, traffic: Arc<Traffic>) -> BoundedStream {
        BoundedStream {
            stream,
            traffic,
            request: RequestEnd::default(),
            read_end: ReadEnd::Open,
            reader: None,
            write_failed: false,
            answered: false,
        }
    }

    /// Records the result of a write of `bufs`.
    fn record_write(
        &mut self,
        bufs: &[io::IoSlice<'_>],
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(written)) => {
                let mut left = *written;
                self.answered &= !self.request.is_reached();
                let body_length = self.traffic.body_length.load(Ordering::Relaxed);
                for buf in bufs {
                    let taken = left.min(buf.len());
                    self.request.record(&buf[..taken], body_length);
                    left -= taken;
                }
            }
            Poll::Ready(Err(_)) => self.write_failed = true,
            Poll::Pending => {}
        }
        if result.is_ready()
            && let Some(reader) = self.reader.take()
        {
            reader.wake();
        }
        result
    }

    /// Waits until it is known how the connection has ended, after the endpoint has ended its side.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if self.write_failed {
                self.read_end = ReadEnd::Failed;
            }
            match &mut self.read_end {
                ReadEnd::Open | ReadEnd::Closed => return Poll::Ready(Ok(())),
                ReadEnd::Failed => return Poll::Ready(Err(reset())),
                ReadEnd::Ended if self.answered && !self.request.is_reached() => {
                    self.reader = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                ReadEnd::Ended => {
                    let is_idle = self.traffic.idle.load(Ordering::Relaxed);
                    if is_idle || !self.answered || self.request.last_length <= MAX_UNREAD_REQUEST {
                        let is_reset = matches!(self.stream.take_error(), Ok(Some(_)));
                        self.read_end = if is_reset { ReadEnd::Failed } else { ReadEnd::Closed };
                        continue;
                    }
                    // Once the endpoint's system has taken everything, the connection is closed.
                    if Pin::new(&mut self.stream).poll_shutdown(cx).is_pending() {
                        return Poll::Pending;
                    }
                    let check = Box::pin(time::sleep(Duration::ZERO));
                    let end = time::Instant::now() + CLOSE_TIMEOUT;
                    self.read_end = ReadEnd::Closing { check, end };
                }
                ReadEnd::Closing { check, end } => {
                    if check.as_mut().poll(cx).is_pending() {
                        return Poll::Pending;
                    }
                    let is_closed = self.stream.peer_addr().is_err();
                    let is_reset = matches!(self.stream.take_error(), Ok(Some(_)));
                    if is_reset || time::Instant::now() >= *end {
                        self.read_end = ReadEnd::Failed;
                    } else if is_closed {
                        self.read_end = ReadEnd::Closed;
                    } else {
                        check.as_mut().reset(time::Instant::now() + CLOSE_INTERVAL);
                    }
                }
            }
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !matches!(self.read_end, ReadEnd::Open) {
            return self.poll_end(cx);
        }
        if self.traffic.unused.load(Ordering::Relaxed) > MAX_UNUSED_BYTES {
            return Poll::Ready(Err(io::Error::other("too many bytes that are no answer")));
        }
        let (before, room) = (buf.filled().len(), buf.remaining());
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        self.traffic.unused.fetch_add(count, Ordering::Relaxed);
        self.answered |= count > 0;
        if matches!(read, Poll::Ready(Ok(()))) && count == 0 && room > 0 {
            self.read_end = ReadEnd::Ended;
            self.traffic.ended.store(true, Ordering::Relaxed);
            return self.poll_end(cx);
        }
        read
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&[io::IoSlice::new(buf)], result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(bufs, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

//! Streams of length-prefixed postcard frames.

use crate::errors;
use crate::link;
use crate::wire;
use bytes::Buf as _;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::sync::Arc;

/// Size in bytes of the length prefix of each frame.
const PREFIX_SIZE: usize = 4;
/// Most bytes that one read returns.
const MAX_READ: usize = 64 << 10;

/// Keeps [`link::Listener::close`] waiting until it is dropped. `None` on the dialer's side.
pub(super) type Guard = Option<Arc<dyn Send + Sync>>;

/// Sending half of a stream.
///
/// Dropping it before [`Sender::finish`] cancels the stream, so that the peer never mistakes a
/// truncated answer for a complete one.
pub struct Sender {
    inner: quinn::SendStream,
    peer: Arc<str>,
    guard: Guard,
    finished: bool,
}

/// Receiving half of a stream. Dropping it asks the peer to stop sending.
pub struct Receiver {
    inner: quinn::RecvStream,
    peer: Arc<str>,
    buffer: BytesMut,
    ended: bool,
    _guard: Guard,
}

/// Bidirectional stream of frames.
pub struct Stream {
    sender: Sender,
    receiver: Receiver,
}

impl Sender {
    pub(super) fn new(inner: quinn::SendStream, peer: Arc<str>, guard: Guard) -> Sender {
        Sender { inner, peer, guard, finished: false }
    }

    /// Sends one frame. Waits while the peer's flow control window is full.
    ///
    /// Not cancel safe: a stream on which a `send` was dropped must not be used again.
    ///
    /// # Errors
    /// `Invalid` if the frame exceeds [`wire::MAX_FRAME`]; nothing is sent then. `Refused` if the
    /// peer refused the stream without processing it. `Lost` otherwise.
    pub async fn send<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), errors::Error> {
        let frame =
            encode_frame(value).map_err(|e| errors::Error::invalid("send", &*self.peer, e))?;
        self.inner.write_chunk(frame.into()).await.map_err(|e| self.write_error(&e))
    }

    /// Ends the stream. The peer reads its end after the frames sent so far.
    pub fn finish(&mut self) {
        // Fails only if the stream was already finished or reset.
        self.finished = self.inner.finish().is_ok() || self.finished;
    }

    /// Cancels the stream. The peer gets an error instead of the frames it has not read.
    pub fn cancel(&mut self) {
        // Fails only if the stream was already finished or reset.
        let _ = self.inner.reset(link::STREAM_CANCELLED.into());
        self.finished = true;
    }

    /// Waits until the peer stops reading the stream, the connection is lost, or the peer has
    /// received all of a finished stream.
    pub fn closed(&self) -> impl Future<Output = ()> + Send + Sync + 'static {
        let stopped = self.inner.stopped();
        async move {
            // Every result means that the peer reads no more frames.
            let _ = stopped.await;
        }
    }

    /// Sets the priority of this stream on its connection. The default is 0; streams of higher
    /// priority are sent first.
    pub fn set_priority(&self, priority: i32) {
        // Fails only if the stream was already finished or reset.
        let _ = self.inner.set_priority(priority);
    }

    fn write_error(&self, error: &quinn::WriteError) -> errors::Error {
        match error {
            quinn::WriteError::Stopped(code) if *code == link::STREAM_REFUSED.into() => {
                refused_error(&self.peer)
            }
            quinn::WriteError::Stopped(_) => {
                errors::Error::lost("send", &*self.peer, "the peer cancelled the stream")
            }
            quinn::WriteError::ConnectionLost(e) => link::connection_error("send", &self.peer, e),
            other => errors::Error::lost("send", &*self.peer, other),
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if !self.finished {
            self.cancel();
        } else if let Some(guard) = self.guard.take() {
            hold_until_acknowledged(self.closed(), guard);
        }
    }
}

/// Holds `guard` until the peer has acknowledged the stream. Closing the connection earlier would
/// truncate the answer.
fn hold_until_acknowledged(
    closed: impl Future<Output = ()> + Send + 'static,
    guard: Arc<dyn Send + Sync>,
) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(async move {
            closed.await;
            drop(guard);
        });
    }
}

impl Receiver {
    pub(super) fn new(inner: quinn::RecvStream, peer: Arc<str>, guard: Guard) -> Receiver {
        Receiver { inner, peer, buffer: BytesMut::new(), ended: false, _guard: guard }
    }

    /// Receives one frame; `None` at the end of a finished stream. Cancel safe.
    ///
    /// # Errors
    /// `Protocol` if a frame is too long, truncated or cannot be decoded. `Refused` if the peer
    /// refused the stream without processing it. `Lost` if the stream was cancelled or its
    /// connection was lost.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<Option<T>, errors::Error> {
        loop {
            if let Some(length) = self.frame_length()? {
                let value = postcard::from_bytes(&self.buffer[PREFIX_SIZE..PREFIX_SIZE + length]);
                self.buffer.advance(PREFIX_SIZE + length);
                return value.map(Some).map_err(|e| self.protocol_error(e));
            }
            if !self.fill_buffer().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(self.protocol_error("the stream ends within a frame"))
                };
            }
        }
    }

    /// Asks the peer to stop sending.
    pub fn cancel(&mut self) {
        // Fails only if the stream has already ended.
        let _ = self.inner.stop(link::STREAM_CANCELLED.into());
        self.ended = true;
    }

    /// Length of the next frame if the buffer holds all of it. Stops the stream if it is too long.
    fn frame_length(&mut self) -> Result<Option<usize>, errors::Error> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_SIZE>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > wire::MAX_FRAME {
            self.cancel();
            return Err(self.protocol_error(format!(
                "frame of {length} bytes exceeds the limit of {} bytes",
                wire::MAX_FRAME
            )));
        }
        Ok((self.buffer.len() >= PREFIX_SIZE + length).then_some(length))
    }

    /// Reads more bytes into the buffer. Returns false at the end of the stream.
    async fn fill_buffer(&mut self) -> Result<bool, errors::Error> {
        if self.ended {
            return Ok(false);
        }
        match self.inner.read_chunk(MAX_READ, true).await {
            Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk.bytes),
            Ok(None) => self.ended = true,
            Err(error) => return Err(self.read_error(&error)),
        }
        Ok(!self.ended)
    }

    fn protocol_error(&self, cause: impl ToString) -> errors::Error {
        errors::Error::protocol("receive", &*self.peer, cause)
    }

    fn read_error(&self, error: &quinn::ReadError) -> errors::Error {
        match error {
            quinn::ReadError::Reset(code) if *code == link::STREAM_REFUSED.into() => {
                refused_error(&self.peer)
            }
            quinn::ReadError::Reset(_) => {
                errors::Error::lost("receive", &*self.peer, "the peer cancelled the stream")
            }
            quinn::ReadError::ConnectionLost(e) => link::connection_error("receive", &self.peer, e),
            other => errors::Error::lost("receive", &*self.peer, other),
        }
    }
}

impl Stream {
    pub(super) fn new(sender: Sender, receiver: Receiver) -> Stream {
        Stream { sender, receiver }
    }

    /// Sends one frame. See [`Sender::send`].
    pub async fn send<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), errors::Error> {
        self.sender.send(value).await
    }

    /// Receives one frame. See [`Receiver::recv`].
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<Option<T>, errors::Error> {
        self.receiver.recv().await
    }

    /// Ends the sending direction. See [`Sender::finish`].
    pub fn finish(&mut self) {
        self.sender.finish();
    }

    /// Cancels both directions.
    pub fn cancel(&mut self) {
        self.sender.cancel();
        self.receiver.cancel();
    }

    /// Waits until the peer stops reading. See [`Sender::closed`].
    pub fn closed(&self) -> impl Future<Output = ()> + Send + Sync + 'static {
        self.sender.closed()
    }

    /// Sets the priority of the sending direction. See [`Sender::set_priority`].
    pub fn set_priority(&self, priority: i32) {
        self.sender.set_priority(priority);
    }

    /// Splits the stream, so that both directions can be used concurrently.
    pub fn split(self) -> (Sender, Receiver) {
        (self.sender, self.receiver)
    }
}

fn refused_error(peer: &Arc<str>) -> errors::Error {
    let cause = errors::Cause::Refused("the peer is closing and did not take the stream".into());
    errors::Error::new("open stream", peer.clone(), cause)
}

fn encode_frame<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, String> {
    let mut frame = postcard::to_extend(value, vec![0; PREFIX_SIZE]).map_err(|e| e.to_string())?;
    let length = frame.len() - PREFIX_SIZE;
    if length > wire::MAX_FRAME {
        return Err(format!(
            "frame of {length} bytes exceeds the limit of {} bytes",
            wire::MAX_FRAME
        ));
    }
    let prefix = u32::try_from(length).map_err(|e| e.to_string())?;
    frame[..PREFIX_SIZE].copy_from_slice(&prefix.to_be_bytes());
    Ok(frame)
}

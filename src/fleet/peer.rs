//! Connections between hosts over TCP without certificates.
//!
//! Each host keeps one connection to every host that it sends to. Frames are encoded with postcard,
//! each preceded by its length as a big-endian `u32`. The dialing host sends pings. A connection
//! that does not answer them is dropped and the next frame opens a new one, so that hosts do not
//! wait on a connection whose packets get lost. While a host cannot be reached, casts to it are
//! dropped; a call fails as soon as its connection is lost.
//!
//! Batches of log entries and parts of snapshots have a connection of their own, so that heartbeats
//! and answers do not wait behind them. Its losses can be asked for: what was sent before them is
//! sent again, and nothing else is.

pub mod dial;

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::frame;
use crate::metrics;
use crate::sorted;
use crate::wire;
use bytes::Buf as _;
use bytes::BytesMut;
use futures_util::StreamExt as _;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;

/// Most frames queued for one host.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Longest time to establish a connection. TCP resends a lost first packet only after a second, so
/// a new attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a connection was refused or could not be accepted. A host that comes up is to be
/// reached within 150 ms, of which the next frame may take 100 ms.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between pings on each connection.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// A connection is dropped if nothing is received, or no byte of a write is taken, for this long:
/// three lost pings. A long frame on a slow link may take longer, as long as it gets on.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A connection is closed, and its task ends, after this long without frames to send. Each open
/// connection costs pings in both directions.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Frames are gathered into one write until it has this many bytes.
const MAX_WRITE_BYTES: usize = 64 << 10;

/// Handles messages and requests from other hosts.
pub trait Handler: Send + Sync + 'static {
    /// Handles a message that has no answer. `from` is the link address of the sender.
    fn cast(&self, from: &Arc<str>, message: frame::Cast);

    /// Answers a request.
    fn call(&self, request: wire::Request) -> BoxFuture<'static, wire::Reply>;
}

enum Outgoing {
    Cast(frame::Cast),
    /// Message whose sender is told once the connection has taken it.
    Tracked(frame::Cast, oneshot::Sender<()>),
    Call(wire::Request, oneshot::Sender<wire::Reply>),
    Config(QueuedConfig),
}

/// Newest configuration that waits to be sent to one host.
type ConfigSlot = Arc<Mutex<Option<frame::EncodedConfig>>>;

/// Place of a configuration in the queue. A newer one takes the place of one that waits, so that a
/// slow host does not let them pile up. Empties the slot when it is dropped.
struct QueuedConfig(ConfigSlot);

impl QueuedConfig {
    fn take(&self) -> Option<frame::EncodedConfig> {
        lock(&self.0).take()
    }
}

impl Drop for QueuedConfig {
    fn drop(&mut self) {
        self.take();
    }
}

/// Kind of a connection to a host.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    /// Carries everything else.
    Main,
    /// Carries batches of log entries and parts of snapshots.
    Bulk,
}

impl Lane {
    fn of(message: &frame::Cast) -> Lane {
        match message {
            frame::Cast::Replica(envelope) if envelope.body.is_bulk() => Lane::Bulk,
            _ => Lane::Main,
        }
    }
}

/// Queue of the frames for one host, and the state of the connection to it.
#[derive(Clone)]
struct Connection {
    sender: mpsc::Sender<Outgoing>,
    config: ConfigSlot,
    /// Whether the host has answered on the connection that is open now.
    answered: Arc<AtomicBool>,
    losses: Losses,
}

/// Number of the last loss of frames of one connection, out of all losses of this process.
#[derive(Clone)]
struct Losses {
    last: Arc<AtomicU64>,
    total: Arc<AtomicU64>,
}

impl Losses {
    fn new(total: &Arc<AtomicU64>) -> Losses {
        let losses = Losses { last: Arc::default(), total: total.clone() };
        losses.record();
        losses
    }

    /// Records that frames which were queued or sent may be lost.
    fn record(&self) {
        let number = self.total.fetch_add(1, Ordering::Relaxed) + 1;
        self.last.store(number, Ordering::Relaxed);
    }
}

type Connections = sorted::SortedMap<(Arc<str>, Lane), Connection>;

/// Connections of this host to the others. Clones share them.
#[derive(Clone)]
pub struct Peers {
    own: Arc<str>,
    connections: Arc<Mutex<Connections>>,
    /// Number of losses of frames on all connections.
    losses: Arc<AtomicU64>,
    dials: dial::Dials,
    encoder: Encoder,
    log: slog::Logger,
}

/// Locks a mutex. Poisoning is ignored, since no holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Peers {
    /// Creates the client of the host with the link address `own`. Opens no connection yet.
    pub fn new(own: Arc<str>, metrics: &metrics::Metrics, log: &slog::Logger) -> Peers {
        let encoder = Encoder { metrics: metrics.clone(), log: log.clone() };
        let (connections, losses) = (Arc::default(), Arc::default());
        let dials = dial::Dials::default();
        Peers { own, connections, losses, dials, encoder, log: log.clone() }
    }

    /// Link address of this host.
    pub fn own(&self) -> &Arc<str> {
        &self.own
    }

    /// Whether a host answers on the connection from here. Pings find out within `PEER_TIMEOUT`.
    pub fn is_connected(&self, to: &Arc<str>) -> bool {
        let connections = lock(&self.connections);
        let connection = connections.get(&(to.clone(), Lane::Main));
        connection.is_some_and(|c| c.answered.load(Ordering::Relaxed))
    }

    /// Number that changes whenever batches or parts of snapshots that were sent to a host may be
    /// lost; `None` if no connection for them is open.
    pub fn bulk_losses(&self, to: &Arc<str>) -> Option<u64> {
        let connections = lock(&self.connections);
        let connection = connections.get(&(to.clone(), Lane::Bulk))?;
        Some(connection.losses.last.load(Ordering::Relaxed))
    }

    fn connection(&self, to: &Arc<str>, lane: Lane) -> Connection {
        let mut connections = lock(&self.connections);
        // Remove connections whose task has ended.
        connections.retain(|_, connection| !connection.sender.is_closed());
        let key = (to.clone(), lane);
        if let Some(connection) = connections.get(&key) {
            return connection.clone();
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let connection = Connection {
            sender,
            config: ConfigSlot::default(),
            answered: Arc::default(),
            losses: Losses::new(&self.losses),
        };
        connections.insert(key, connection.clone());
        drop(connections);
        let (answered, losses) = (connection.answered.clone(), connection.losses.clone());
        let (own, to, log) = (self.own.clone(), to.clone(), self.log.clone());
        let (dials, encoder) = (self.dials.clone(), self.encoder.clone());
        let state = (answered, losses);
        tokio::spawn(maintain_connection(own, to, receiver, state, dials, encoder, log));
        connection
    }

    /// Sends a message. It is dropped if the host cannot be reached or its queue is full.
    pub fn cast(&self, to: &Arc<str>, message: frame::Cast) {
        let connection = self.connection(to, Lane::of(&message));
        // The callers repeat messages that are still needed.
        if connection.sender.try_send(Outgoing::Cast(message)).is_err() {
            connection.losses.record();
        }
    }

    /// Sends a message like [`Peers::cast`]. The returned receiver gets a value once the operating system
    /// has taken all bytes of the message, which then reach the host even if this process is killed. It
    /// gets an error if the message is dropped.
    pub fn cast_tracked(&self, to: &Arc<str>, message: frame::Cast) -> oneshot::Receiver<()> {
        let connection = self.connection(to, Lane::of(&message));
        let (done, written) = oneshot::channel();
        if connection.sender.try_send(Outgoing::Tracked(message, done)).is_err() {
            connection.losses.record();
        }
        written
    }

    /// Sends a configuration, after the messages that wait already. It replaces one that waits, and
    /// is dropped if the host cannot be reached or its queue is full.
    pub fn send_config(&self, to: &Arc<str>, config: frame::EncodedConfig) {
        let connection = self.connection(to, Lane::Main);
        let waits = lock(&connection.config).replace(config).is_some();
        if !waits {
            // A host that gets no answer asks again.
            let place = QueuedConfig(connection.config);
            let _ = connection.sender.try_send(Outgoing::Config(place));
        }
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    /// `Lost` if the queue is full, or the connection ended or could not be established; `Timeout`
    /// after `limit`. The request may have been executed unless the queue was full.
    pub async fn call(
        &self,
        to: &Arc<str>,
        request: wire::Request,
        limit: Duration,
    ) -> Result<wire::Reply, errors::Error> {
        let (done, answer) = oneshot::channel();
        let sender = self.connection(to, Lane::Main).sender;
        if sender.try_send(Outgoing::Call(request, done)).is_err() {
            return Err(errors::Error::lost("call", to.clone(), "the send queue is full"));
        }
        match time::timeout(limit, answer).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(errors::Error::lost("call", to.clone(), "connection lost")),
            Err(_) => {
                let cause = errors::Cause::Timeout(limit.as_millis() as u64);
                Err(errors::Error::new("call", to.clone(), cause))
            }
        }
    }
}

/// Connects to one host whenever a frame is queued. Ends after `IDLE_TIMEOUT` without frames.
async fn maintain_connection(
    own: Arc<str>,
    to: Arc<str>,
    mut queue: mpsc::Receiver<Outgoing>,
    (answered, losses): (Arc<AtomicBool>, Losses),
    dials: dial::Dials,
    encoder: Encoder,
    log: slog::Logger,
) {
    let (mut reachable, mut is_wanted) = (true, false);
    loop {
        let first = match is_wanted {
            true => None,
            false => match time::timeout(IDLE_TIMEOUT, queue.recv()).await {
                Ok(Some(first)) => Some(first),
                _ => return,
            },
        };
        is_wanted = false;
        match connect(&to, &dials).await {
            Ok(stream) => {
                event!(log, events::PEER_UP; "peer" => &*to);
                reachable = true;
                let cause =
                    run_connection(&own, &to, stream, first, &mut queue, &answered, &encoder).await;
                answered.store(false, Ordering::Relaxed);
                losses.record();
                event!(log, events::PEER_LOST; "peer" => &*to, "error" => %cause);
            }
            Err(error) => {
                if reachable {
                    event!(log, events::PEER_LOST; "peer" => &*to, "error" => %error);
                }
                reachable = false;
                drop(first);
                if !matches!(error.cause, errors::Cause::Timeout(_)) || dials.is_slow() {
                    time::sleep(RETRY_DELAY).await;
                }
                // Drop what was queued meanwhile, as it is outdated; calls fail with an error. The
                // host is still wanted, and is dialed again without waiting for the next frame.
                while queue.try_recv().is_ok() {
                    is_wanted = true;
                }
                losses.record();
            }
        }
    }
}

/// Opens a connection. Packets to a host that is not up yet are lost without an answer, and TCP
/// repeats them only after a second, so that further dials follow the first one.
async fn connect(to: &Arc<str>, dials: &dial::Dials) -> Result<TcpStream, errors::Error> {
    let addr: SocketAddr = to.parse().map_err(|e| errors::Error::invalid("dial", to.clone(), e))?;
    let _dialing = dials.begin();
    let limit = time::sleep(CONNECT_TIMEOUT);
    tokio::pin!(limit);
    let mut attempts = FuturesUnordered::from_iter([TcpStream::connect(addr)]);
    let stream = loop {
        tokio::select! {
            Some(answer) = attempts.next() => {
                break answer.map_err(|e| errors::Error::lost("dial", to.clone(), e))?;
            }
            () = time::sleep(dials.interval()) => attempts.push(TcpStream::connect(addr)),
            () = &mut limit => {
                let cause = errors::Cause::Timeout(CONNECT_TIMEOUT.as_millis() as u64);
                return Err(errors::Error::new("dial", to.clone(), cause));
            }
        }
    };
    stream.set_nodelay(true).map_err(|e| errors::Error::io("dial", to.clone(), e))?;
    Ok(stream)
}

/// Writes encoded frames as long as the peer takes bytes of them.
async fn write_frames(
    write: &mut OwnedWriteHalf,
    mut bytes: &[u8],
    to: &Arc<str>,
) -> Result<(), errors::Error> {
    while !bytes.is_empty() {
        match time::timeout(PEER_TIMEOUT, write.write(bytes)).await {
            Ok(Ok(0)) => return Err(errors::Error::lost("send", to.clone(), "closed")),
            Ok(Ok(written)) => bytes = &bytes[written..],
            Ok(Err(e)) => return Err(errors::Error::lost("send", to.clone(), e)),
            Err(_) => return Err(errors::Error::lost("send", to.clone(), "write timed out")),
        }
    }
    Ok(())
}

/// What is to be told to the senders of frames on one connection.
#[derive(Default)]
struct Pending {
    /// Calls without an answer by number.
    calls: sorted::SortedMap<u64, oneshot::Sender<wire::Reply>>,
    /// Number of the last call.
    last_call: u64,
    /// Senders of tracked messages that are encoded but not written.
    tracked: Vec<oneshot::Sender<()>>,
}

/// Sends frames over one connection until it is lost. Returns the cause.
async fn run_connection(
    own: &Arc<str>,
    to: &Arc<str>,
    stream: TcpStream,
    first: Option<Outgoing>,
    queue: &mut mpsc::Receiver<Outgoing>,
    answered: &AtomicBool,
    encoder: &Encoder,
) -> errors::Error {
    let (read, mut write) = stream.into_split();
    let mut read = FrameReader::new(read, to.clone());
    let mut pending = Pending::default();
    let mut out = Vec::new();
    encoder.append_frame(&mut out, &frame::Frame::Hello(own.clone()));
    if let Some(first) = first {
        encoder.append_outgoing(&mut out, first, &mut pending);
    }
    let mut last_received = time::Instant::now();
    let mut last_used = time::Instant::now();
    let mut ping = time::interval(PING_INTERVAL);
    ping.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        while out.len() < MAX_WRITE_BYTES {
            match queue.try_recv() {
                Ok(outgoing) => {
                    last_used = time::Instant::now();
                    encoder.append_outgoing(&mut out, outgoing, &mut pending);
                }
                Err(_) => break,
            }
        }
        if !out.is_empty() {
            let begun = time::Instant::now();
            if let Err(error) = write_frames(&mut write, &out, to).await {
                return error;
            }
            out.clear();
            for done in pending.tracked.drain(..) {
                // Fails if the sender no longer waits.
                let _ = done.send(());
            }
            // The peer took bytes meanwhile, and its answers wait to be read.
            if begun.elapsed() > PING_INTERVAL {
                last_received = time::Instant::now();
            }
        }
        tokio::select! {
            outgoing = queue.recv() => match outgoing {
                Some(outgoing) => {
                    last_used = time::Instant::now();
                    encoder.append_outgoing(&mut out, outgoing, &mut pending);
                }
                None => return errors::Error::lost("send", to.clone(), "closed by this host"),
            },
            frame = read.next() => {
                let frame = match frame {
                    Ok(frame) => frame,
                    Err(error) => return error,
                };
                last_received = time::Instant::now();
                answered.store(true, Ordering::Relaxed);
                if let frame::Frame::Answer(id, reply) = frame
                    && let Some(done) = pending.calls.remove(&id)
                {
                    // Fails if the caller has given up.
                    let _ = done.send(reply);
                }
            }
            _ = ping.tick() => {
                if last_received.elapsed() > PEER_TIMEOUT {
                    return errors::Error::lost("ping", to.clone(), "nothing received in time");
                }
                if last_used.elapsed() > IDLE_TIMEOUT && pending.calls.is_empty() {
                    return errors::Error::lost("ping", to.clone(), "idle, closed by this host");
                }
                encoder.append_frame(&mut out, &frame::Frame::Ping);
            }
        }
    }
}

/// Encodes frames and counts their bytes.
#[derive(Clone)]
struct Encoder {
    metrics: metrics::Metrics,
    log: slog::Logger,
}

impl Encoder {
    fn append_outgoing(&self, out: &mut Vec<u8>, outgoing: Outgoing, pending: &mut Pending) {
        match outgoing {
            Outgoing::Cast(message) => self.append_frame(out, &frame::Frame::Cast(message)),
            Outgoing::Tracked(message, done) => {
                self.append_frame(out, &frame::Frame::Cast(message));
                pending.tracked.push(done);
            }
            Outgoing::Call(request, done) => {
                pending.last_call += 1;
                pending.calls.insert(pending.last_call, done);
                self.append_frame(out, &frame::Frame::Call(pending.last_call, request));
            }
            Outgoing::Config(place) => {
                if let Some(config) = place.take() {
                    self.append_frame(out, &frame::Frame::Cast(frame::Cast::Config(config)));
                }
            }
        }
    }

    /// Appends an encoded frame to `out`. Leaves out a frame that is too long; a call in it times
    /// out.
    fn append_frame(&self, out: &mut Vec<u8>, frame: &frame::Frame) {
        let at = out.len();
        out.extend([0; 4]);
        let start = out.len();
        out.extend(postcard::to_stdvec(frame).expect("postcard supports the types of frames"));
        let len = u32::try_from(out.len() - start).ok();
        match len.filter(|len| *len as usize <= wire::MAX_FRAME) {
            Some(len) => {
                out[at..start].copy_from_slice(&len.to_be_bytes());
                self.metrics.count_sent(frame.kind(), frame.group(), out.len() - at);
            }
            None => {
                // The peer would drop the whole connection.
                event!(self.log, events::BAD_FRAME; "bytes" => out.len() - start,
                    "error" => "frame too long");
                out.truncate(at);
            }
        }
    }
}

/// Decodes frames from a connection.
struct FrameReader {
    read: OwnedReadHalf,
    peer: Arc<str>,
    buffer: BytesMut,
}

impl FrameReader {
    fn new(read: OwnedReadHalf, peer: Arc<str>) -> FrameReader {
        FrameReader { read, peer, buffer: BytesMut::new() }
    }

    /// Reads the next frame. Cancel safe: no data is lost.
    async fn next(&mut self) -> Result<frame::Frame, errors::Error> {
        loop {
            if let Some(frame) = self.next_buffered()? {
                return Ok(frame);
            }
            match self.read.read_buf(&mut self.buffer).await {
                Ok(0) => return Err(errors::Error::lost("read", self.peer.clone(), "closed")),
                Ok(_) => {}
                Err(e) => return Err(errors::Error::lost("read", self.peer.clone(), e)),
            }
        }
    }

    /// Decodes the next frame if the buffer holds all of it.
    fn next_buffered(&mut self) -> Result<Option<frame::Frame>, errors::Error> {
        let Some(len) = self.buffer.first_chunk::<4>() else { return Ok(None) };
        let len = u32::from_be_bytes(*len) as usize;
        if len > wire::MAX_FRAME {
            return Err(errors::Error::protocol("read frame", self.peer.clone(), "frame too long"));
        }
        if self.buffer.len() < 4 + len {
            self.buffer.reserve(4 + len - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(4);
        let body = self.buffer.split_to(len);
        postcard::from_bytes(&body)
            .map(Some)
            .map_err(|e| errors::Error::protocol("read frame", self.peer.clone(), e))
    }
}

/// Accepts connections from other hosts until the future is dropped.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    metrics: metrics::Metrics,
    log: slog::Logger,
) -> Result<(), errors::Error> {
    let encoder = Encoder { metrics, log: log.clone() };
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                let (handler, encoder, log) = (handler.clone(), encoder.clone(), log.clone());
                tokio::spawn(async move {
                    let error = receive_frames(stream, addr, handler, encoder).await;
                    slog::debug!(log, "connection from host closed"; "error" => %error);
                });
            }
            Err(error) => {
                event!(log, events::ACCEPT_FAILED; "error" => %error);
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Passes the frames of one connection to the handler until it is lost. Returns the cause.
async fn receive_frames(
    stream: TcpStream,
    addr: SocketAddr,
    handler: Arc<dyn Handler>,
    encoder: Encoder,
) -> errors::Error {
    let peer: Arc<str> = addr.to_string().into();
    if let Err(e) = stream.set_nodelay(true) {
        return errors::Error::io("accept", peer, e);
    }
    let (read, write) = stream.into_split();
    let mut read = FrameReader::new(read, peer.clone());
    let mut sender: Option<Arc<str>> = None;
    let (answers, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let writer = tokio::spawn(write_answers(write, queue, encoder));
    let error = loop {
        // The dialing host sends pings. Without them it is gone or its packets are lost.
        let received = read.buffer.len();
        let frame = match time::timeout(PEER_TIMEOUT * 2, read.next()).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(error)) => break error,
            // A long frame is arriving.
            Err(_) if read.buffer.len() > received => continue,
            Err(_) => break errors::Error::lost("read", peer, "silent"),
        };
        if let frame::Frame::Hello(name) = frame {
            sender = Some(name);
            continue;
        }
        // The peer opens another connection. On this one, answers would go to no host.
        let Some(from) = &sender else {
            break errors::Error::protocol("read frame", peer, "the first frame names no host");
        };
        match frame {
            frame::Frame::Ping => {
                // If the queue is full, the answers in it show the peer that this host is alive.
                let _ = answers.try_send(frame::Frame::Pong);
            }
            frame::Frame::Cast(message) => handler.cast(from, message),
            frame::Frame::Call(id, request) => {
                let (reply, answers) = (handler.call(request), answers.clone());
                tokio::spawn(async move {
                    // Fails only if the connection is lost, which the peer notices.
                    let _ = answers.send(frame::Frame::Answer(id, reply.await)).await;
                });
            }
            frame::Frame::Hello(_) | frame::Frame::Pong | frame::Frame::Answer(..) => {}
        }
    };
    writer.abort();
    error
}

/// Writes pongs and answers until the connection is lost or the queue is closed.
async fn write_answers(
    mut write: OwnedWriteHalf,
    mut queue: mpsc::Receiver<frame::Frame>,
    encoder: Encoder,
) {
    let mut out = Vec::new();
    while let Some(frame) = queue.recv().await {
        encoder.append_frame(&mut out, &frame);
        while out.len() < MAX_WRITE_BYTES {
            match queue.try_recv() {
                Ok(frame) => encoder.append_frame(&mut out, &frame),
                Err(_) => break,
            }
        }
        if write.write_all(&out).await.is_err() {
            // The task that reads notices the lost connection as well.
            return;
        }
        out.clear();
    }
}

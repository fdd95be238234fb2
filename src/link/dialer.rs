//! Client side of a link.

use crate::errors;
use crate::event;
use crate::events;
use crate::link;
use crate::tls;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use rand::Rng as _;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::sync::Mutex;
use tokio::time;

/// Keeps one connection to one peer. Clones share the connection. Dropping the last clone closes
/// it and its streams.
#[derive(Clone)]
pub struct Dialer {
    inner: Arc<Inner>,
}

struct Inner {
    name: Arc<str>,
    addr: SocketAddr,
    client: quinn::ClientConfig,
    settings: link::Settings,
    log: slog::Logger,
    current: ArcSwapOption<ActiveConnection>,
    generation: AtomicU64,
    // Locked while dialing, so that concurrent calls share one dial.
    failures: Mutex<DialFailures>,
}

struct ActiveConnection {
    connection: quinn::Connection,
    generation: u64,
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        self.connection.close(link::CONNECTION_CLOSED.into(), b"closed");
    }
}

/// Failed dials since the last success.
#[derive(Default)]
struct DialFailures {
    count: u32,
    // End of the backoff, and the error that calls get until then.
    backoff: Option<(time::Instant, errors::Error)>,
}

impl Dialer {
    /// Creates a dialer for the process `name` at `addr`. The first stream opens the connection.
    pub fn new(
        identity: &tls::Identity,
        name: impl Into<Arc<str>>,
        addr: SocketAddr,
        settings: link::Settings,
        log: &slog::Logger,
    ) -> Dialer {
        let name = name.into();
        let mut client = quinn::ClientConfig::new(identity.client());
        client.transport_config(Arc::new(settings.transport()));
        let log = log.new(slog::o!("peer" => name.to_string(), "address" => addr.to_string()));
        Dialer {
            inner: Arc::new(Inner {
                name,
                addr,
                client,
                settings,
                log,
                current: ArcSwapOption::empty(),
                generation: AtomicU64::new(0),
                failures: Mutex::default(),
            }),
        }
    }

    /// Name of the peer.
    pub fn name(&self) -> &Arc<str> {
        &self.inner.name
    }

    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Generation of the current or last connection, counted from 1; 0 before the first one.
    pub fn generation(&self) -> u64 {
        self.inner.generation.load(Ordering::Acquire)
    }

    /// Opens a bidirectional stream on the current connection, dialing if there is none.
    ///
    /// Takes none of the dialer's locks while the connection is healthy. The peer sees the stream
    /// when its first frame arrives.
    ///
    /// # Errors
    /// `Timeout` if the dial takes too long or the peer allows no further stream in time,
    /// `Refused` if the peer rejects this process or is closing, `Lost` otherwise. During the
    /// backoff after a failed dial, the error of that dial is returned at once, so that callers
    /// can try another peer.
    pub async fn open(&self) -> Result<link::Stream, errors::Error> {
        let (stream, _) = self.open_with_generation().await?;
        Ok(stream)
    }

    /// Like [`Dialer::open`], but also returns the [`Dialer::generation`] of the connection.
    pub async fn open_with_generation(&self) -> Result<(link::Stream, u64), errors::Error> {
        let mut current = self.current_or_dial().await?;
        loop {
            let opened = self.with_open_timeout(current.connection.open_bi()).await?;
            match opened {
                Ok((send, receive)) => {
                    let sender = link::Sender::new(send, self.inner.name.clone(), None);
                    let receiver = link::Receiver::new(receive, self.inner.name.clone(), None);
                    return Ok((link::Stream::new(sender, receiver), current.generation));
                }
                Err(_) => current = self.reconnect(current.generation).await?,
            }
        }
    }

    /// Opens a unidirectional stream. Fails like [`Dialer::open`].
    pub async fn open_uni(&self) -> Result<link::Sender, errors::Error> {
        let mut current = self.current_or_dial().await?;
        loop {
            match self.with_open_timeout(current.connection.open_uni()).await? {
                Ok(send) => return Ok(link::Sender::new(send, self.inner.name.clone(), None)),
                Err(_) => current = self.reconnect(current.generation).await?,
            }
        }
    }

    /// Closes the connection of this generation, for example because its requests go unanswered.
    /// Its streams end with an error. Does nothing if a newer connection has replaced it.
    pub fn reset(&self, generation: u64) {
        let current = self.inner.current.load_full();
        if let Some(current) = current.filter(|c| c.generation == generation) {
            current.connection.close(link::CONNECTION_CLOSED.into(), b"reset");
            event!(self.inner.log, events::LINK_LOST;
                "generation" => generation, "error" => "reset by this process");
        }
    }

    /// Bytes of UDP payload that the current connection has sent and received, in this order.
    pub fn traffic(&self) -> (u64, u64) {
        let current = self.inner.current.load();
        current.as_ref().map_or((0, 0), |c| {
            let stats = c.connection.stats();
            (stats.udp_tx.bytes, stats.udp_rx.bytes)
        })
    }

    async fn with_open_timeout<T>(
        &self,
        opening: impl Future<Output = T>,
    ) -> Result<T, errors::Error> {
        let limit = self.inner.settings.open_timeout;
        time::timeout(limit, opening).await.map_err(|_| self.timeout_error("open stream", limit))
    }

    async fn current_or_dial(&self) -> Result<Arc<ActiveConnection>, errors::Error> {
        match self.inner.current.load_full() {
            Some(current) => Ok(current),
            None => self.reconnect(0).await,
        }
    }

    /// Returns a connection newer than `generation`, dialing if there is none yet.
    async fn reconnect(&self, generation: u64) -> Result<Arc<ActiveConnection>, errors::Error> {
        let mut failures = self.inner.failures.lock().await;
        if let Some(current) = self.inner.current.load_full().filter(|c| c.generation > generation)
        {
            return Ok(current);
        }
        if let Some((until, error)) = &failures.backoff
            && time::Instant::now() < *until
        {
            return Err(error.clone());
        }
        match self.dial().await {
            Ok(connection) => {
                *failures = DialFailures::default();
                Ok(self.install(connection))
            }
            Err(error) => {
                let delay = self.inner.backoff_delay(failures.count);
                failures.count = failures.count.saturating_add(1);
                failures.backoff = Some((time::Instant::now() + delay, error.clone()));
                event!(self.inner.log, events::DIAL_FAILED;
                    "error" => %error, "pause_ms" => delay.as_millis() as u64);
                Err(error)
            }
        }
    }

    /// Dials from a new socket. With the old source port, packets would match the same broken
    /// flow entry of a firewall or NAT device on the path.
    async fn dial(&self) -> Result<quinn::Connection, errors::Error> {
        let inner = &self.inner;
        let local: SocketAddr = if inner.addr.is_ipv4() {
            (Ipv4Addr::UNSPECIFIED, 0).into()
        } else {
            (Ipv6Addr::UNSPECIFIED, 0).into()
        };
        let endpoint = quinn::Endpoint::client(local)
            .map_err(|e| errors::Error::io("bind socket", local.to_string(), e))?;
        let connecting = endpoint
            .connect_with(inner.client.clone(), inner.addr, &inner.name)
            .map_err(|e| errors::Error::invalid("dial", &*inner.name, e))?;
        let connected = async {
            let connection = connecting.await?;
            // In TLS 1.3 the client finishes the handshake before the server has verified the
            // client certificate. The server's first stream confirms that it was accepted.
            connection.accept_uni().await?;
            Ok(connection)
        };
        time::timeout(inner.settings.dial_timeout, connected)
            .await
            .map_err(|_| self.timeout_error("dial", inner.settings.dial_timeout))?
            .map_err(|e| link::connection_error("dial", &inner.name, &e))
    }

    fn install(&self, connection: quinn::Connection) -> Arc<ActiveConnection> {
        let inner = &self.inner;
        let generation = inner.generation.load(Ordering::Acquire) + 1;
        let current = Arc::new(ActiveConnection { connection, generation });
        inner.generation.store(generation, Ordering::Release);
        inner.current.store(Some(current.clone()));
        event!(inner.log, events::LINK_UP; "generation" => generation);
        tokio::spawn(run_heartbeats(
            current.connection.clone(),
            generation,
            inner.settings.clone(),
            inner.log.clone(),
        ));
        current
    }

    fn timeout_error(&self, step: &'static str, limit: time::Duration) -> errors::Error {
        let millis = limit.as_millis() as u64;
        errors::Error::new(step, self.inner.name.clone(), errors::Cause::Timeout(millis))
    }
}

impl Inner {
    /// Exponential backoff after a failed dial, reduced at random by up to half so that many
    /// dialers do not retry at the same moment.
    fn backoff_delay(&self, failures: u32) -> time::Duration {
        let factor = 1u32.checked_shl(failures).unwrap_or(u32::MAX);
        let full =
            self.settings.initial_backoff.saturating_mul(factor).min(self.settings.max_backoff);
        full.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}

/// Sends heartbeats and closes the connection when the peer stops answering them.
///
/// Only answers to heartbeats count. Other data may arrive although the peer receives nothing from
/// this process, and so may acknowledgements, which a peer repeats in every packet.
async fn run_heartbeats(
    connection: quinn::Connection,
    generation: u64,
    settings: link::Settings,
    log: slog::Logger,
) {
    // Two checks per heartbeat detect a silent peer at most half an interval after the timeout.
    let check_interval = settings.heartbeat_interval / 2;
    let mut ticks = time::interval(check_interval);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut last_sent = None;
    let mut last_answer = time::Instant::now();
    loop {
        tokio::select! {
            biased;
            reason = connection.closed() => {
                // `reset` and the timeout below log the loss. A dropped dialer is not a loss.
                if reason != quinn::ConnectionError::LocallyClosed {
                    event!(log, events::LINK_LOST; "generation" => generation, "error" => %reason);
                }
                return;
            }
            // An error closes the connection, which the branch above handles.
            Ok(_) = connection.read_datagram() => last_answer = time::Instant::now(),
            now = ticks.tick() => {
                if last_answer.elapsed() >= settings.heartbeat_timeout {
                    connection.close(link::CONNECTION_SILENT.into(), b"silent");
                    event!(log, events::LINK_LOST;
                        "generation" => generation, "error" => "heartbeats are not answered");
                    return;
                }
                // Overdue answers are requested at each check, since datagrams may get lost.
                let overdue = last_answer.elapsed() > settings.heartbeat_interval + check_interval;
                if overdue || last_sent.is_none_or(|at| now - at > check_interval) {
                    last_sent = Some(now);
                    // Fails only if the connection is closed.
                    let _ = connection.send_datagram(Bytes::from_static(&[0]));
                }
            }
        }
    }
}

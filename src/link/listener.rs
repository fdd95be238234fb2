//! Server side of a link.

use crate::errors;
use crate::event;
use crate::events;
use crate::link;
use crate::link::stream;
use crate::tls;
use rustls::pki_types::CertificateDer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

/// Most connections that are in the handshake or wait for a place in the queue of accepted ones.
/// Further ones are refused.
const MAX_HANDSHAKES: usize = 256;
/// Capacity of the queue of connections that wait for [`Listener::accept`].
const ACCEPT_BACKLOG: usize = 64;

/// Accepts connections. Dropping it closes them at once; [`Listener::close`] first waits for their
/// streams.
pub struct Listener {
    endpoint: quinn::Endpoint,
    addr: SocketAddr,
    peers: Mutex<mpsc::Receiver<Peer>>,
    // True once the listener is closing.
    closing: watch::Sender<bool>,
    // Each stream in use holds a receiver, so the sender is closed when none is left.
    open_streams: watch::Sender<()>,
}

/// Connection of an authenticated process. Clones share the connection.
#[derive(Clone)]
pub struct Peer {
    connection: quinn::Connection,
    name: Arc<str>,
    closing: watch::Receiver<bool>,
    open_streams: watch::Sender<()>,
    log: slog::Logger,
}

/// Stream that a peer has opened.
pub enum Incoming {
    /// Bidirectional stream.
    Stream(link::Stream),
    /// Unidirectional stream.
    Receiver(link::Receiver),
}

impl Listener {
    /// Listens on the UDP address `addr`. Port 0 selects a free port.
    pub fn bind(
        addr: SocketAddr,
        identity: &tls::Identity,
        settings: link::Settings,
        log: &slog::Logger,
    ) -> Result<Listener, errors::Error> {
        let failed = |e: std::io::Error| errors::Error::io("listen", addr.to_string(), e);
        let mut config = quinn::ServerConfig::with_crypto(identity.server());
        config.transport_config(Arc::new(settings.transport()));
        let endpoint = quinn::Endpoint::server(config, addr).map_err(failed)?;
        let addr = endpoint.local_addr().map_err(failed)?;
        let (sender, peers) = mpsc::channel(ACCEPT_BACKLOG);
        let (closing, _) = watch::channel(false);
        let (open_streams, _) = watch::channel(());
        event!(log, events::LISTENING; "address" => %addr, "protocol" => "link");
        let acceptor = Acceptor {
            endpoint: endpoint.clone(),
            handshake_timeout: settings.dial_timeout,
            heartbeat_timeout: settings.heartbeat_timeout,
            closing: closing.subscribe(),
            open_streams: open_streams.clone(),
            log: log.clone(),
        };
        tokio::spawn(acceptor.run(sender));
        Ok(Listener { endpoint, addr, peers: Mutex::new(peers), closing, open_streams })
    }

    /// Address that the listener is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits for the next authenticated connection; `None` once the listener is closing.
    pub async fn accept(&self) -> Option<Peer> {
        let mut closing = self.closing.subscribe();
        let mut peers = self.peers.lock().await;
        tokio::select! {
            biased;
            _ = closing.wait_for(|closing| *closing) => None,
            peer = peers.recv() => peer,
        }
    }

    /// Stops accepting connections and streams, waits up to `limit` until the peers have received
    /// the streams in use, then closes every connection.
    ///
    /// Returns whether every stream has finished. Streams that a peer opens meanwhile are refused
    /// as not processed. A stream is in use until the application drops it, so long-lived streams
    /// must be dropped for the close to finish before the limit.
    pub async fn close(&self, limit: Duration) -> bool {
        self.closing.send_replace(true);
        let finished = time::timeout(limit, self.open_streams.closed()).await.is_ok();
        self.endpoint.close(link::CONNECTION_CLOSED.into(), b"closed");
        // Waits for the close frames to be sent. The peers need not confirm them.
        let _ = time::timeout(CLOSE_FLUSH_TIMEOUT, self.endpoint.wait_idle()).await;
        finished
    }
}

/// Longest wait until the close frames are sent.
const CLOSE_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

impl Drop for Listener {
    fn drop(&mut self) {
        self.endpoint.close(link::CONNECTION_CLOSED.into(), b"closed");
    }
}

struct Acceptor {
    endpoint: quinn::Endpoint,
    handshake_timeout: Duration,
    heartbeat_timeout: Duration,
    closing: watch::Receiver<bool>,
    open_streams: watch::Sender<()>,
    log: slog::Logger,
}

impl Acceptor {
    async fn run(self, peers: mpsc::Sender<Peer>) {
        let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        while let Some(incoming) = self.endpoint.accept().await {
            let permit = handshakes.clone().try_acquire_owned();
            let (Ok(permit), false) = (permit, *self.closing.borrow()) else {
                incoming.refuse();
                continue;
            };
            let (peers, handshake) = (peers.clone(), self.handshake(incoming));
            tokio::spawn(async move {
                if let Some(peer) = handshake.await {
                    // Fails only if the listener was dropped, which also closes the connection.
                    let _ = peers.send(peer).await;
                }
                // Held until the peer is queued, so that the limit also covers connections that
                // wait for a slow application.
                drop(permit);
            });
        }
    }

    fn handshake(&self, incoming: quinn::Incoming) -> impl Future<Output = Option<Peer>> + 'static {
        let addr = incoming.remote_address();
        let log = self.log.new(slog::o!("address" => addr.to_string()));
        let (handshake_timeout, heartbeat_timeout) =
            (self.handshake_timeout, self.heartbeat_timeout);
        let (closing, open_streams) = (self.closing.clone(), self.open_streams.clone());
        async move {
            let accepted = match incoming.accept() {
                Ok(connecting) => time::timeout(handshake_timeout, connecting).await,
                Err(error) => Ok(Err(error)),
            };
            let identified = match accepted {
                Ok(Ok(connection)) => {
                    confirm_peer(&connection).await.map(|name| (connection, name))
                }
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("handshake timed out".to_string()),
            };
            match identified {
                Ok((connection, name)) => {
                    let log = log.new(slog::o!("peer" => name.to_string()));
                    event!(log, events::LINK_UP);
                    tokio::spawn(answer_heartbeats(connection.clone(), heartbeat_timeout));
                    tokio::spawn(refuse_when_closing(connection.clone(), closing.clone()));
                    Some(Peer { connection, name, closing, open_streams, log })
                }
                Err(error) => {
                    event!(log, events::PEER_REJECTED; "error" => error);
                    None
                }
            }
        }
    }
}

/// Sends each heartbeat back and closes the connection when none arrives in time.
async fn answer_heartbeats(connection: quinn::Connection, heartbeat_timeout: Duration) {
    loop {
        match time::timeout(heartbeat_timeout, connection.read_datagram()).await {
            Ok(Ok(heartbeat)) => {
                // Fails only if the connection is closed, which the next read reports.
                let _ = connection.send_datagram(heartbeat);
            }
            Ok(Err(_)) => return,
            Err(_) => connection.close(link::CONNECTION_SILENT.into(), b"silent"),
        }
    }
}

/// Refuses the streams that arrive while the listener is closing.
async fn refuse_when_closing(connection: quinn::Connection, mut closing: watch::Receiver<bool>) {
    tokio::select! {
        _ = connection.closed() => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    loop {
        tokio::select! {
            stream = connection.accept_bi() => {
                let Ok((mut send, mut receive)) = stream else { return };
                // Both fail only if the peer has already cancelled the stream.
                let _ = send.reset(link::STREAM_REFUSED.into());
                let _ = receive.stop(link::STREAM_REFUSED.into());
            }
            stream = connection.accept_uni() => {
                let Ok(mut receive) = stream else { return };
                let _ = receive.stop(link::STREAM_REFUSED.into());
            }
        }
    }
}

/// Reads the peer's name from its certificate and confirms the connection with a stream.
async fn confirm_peer(connection: &quinn::Connection) -> Result<Arc<str>, String> {
    let name = peer_name(connection)?;
    let mut confirmation = connection.open_uni().await.map_err(|e| e.to_string())?;
    confirmation.write_all(&[0]).await.map_err(|e| e.to_string())?;
    confirmation.finish().map_err(|e| e.to_string())?;
    Ok(name)
}

fn peer_name(connection: &quinn::Connection) -> Result<Arc<str>, String> {
    let identity = connection.peer_identity().ok_or("the peer sent no certificate")?;
    let chain = identity
        .downcast::<Vec<CertificateDer<'static>>>()
        .map_err(|_| "unknown certificate type")?;
    let leaf = chain.first().ok_or("the peer's certificate chain is empty")?;
    tls::certificate_info(leaf).map(|info| info.name).map_err(|e| e.to_string())
}

impl Peer {
    /// Name of the process from its certificate.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Address of the process.
    pub fn addr(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Waits for the next stream; `None` once the connection has ended or the listener is
    /// closing. While it is closing, streams that were accepted before can still finish.
    pub async fn accept(&self) -> Option<Incoming> {
        let mut closing = self.closing.clone();
        // Created before the stream is accepted, so that a concurrent close waits for the stream.
        let guard: stream::Guard = Some(Arc::new(self.open_streams.subscribe()));
        let accepted = tokio::select! {
            biased;
            _ = closing.wait_for(|closing| *closing) => return None,
            stream = self.connection.accept_bi() => stream.map(|(send, receive)| {
                let sender = link::Sender::new(send, self.name.clone(), guard.clone());
                let receiver = link::Receiver::new(receive, self.name.clone(), guard);
                Incoming::Stream(link::Stream::new(sender, receiver))
            }),
            stream = self.connection.accept_uni() => stream.map(|receive| {
                Incoming::Receiver(link::Receiver::new(receive, self.name.clone(), guard))
            }),
        };
        match accepted {
            Ok(incoming) => Some(incoming),
            Err(reason) => {
                event!(self.log, events::LINK_LOST; "error" => %reason);
                None
            }
        }
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        // `accept` logs the reason.
        let _ = self.connection.closed().await;
    }

    /// Closes the connection at once; its streams end with an error at both ends.
    pub fn close(&self) {
        self.connection.close(link::CONNECTION_CLOSED.into(), b"closed");
    }
}

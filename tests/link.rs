//! Tests of links: authentication, frames, silent connections, reconnection and graceful close.

#[path = "workdir/relay.rs"]
mod relay;

use basilfield::errors;
use basilfield::link;
use basilfield::tls;
use basilfield::wire;
use bytes::Bytes;
use relay::Filter;
use relay::Relay;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use tokio::time;

const ANY_LOCAL_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Listener that echoes every frame of a stream after the first one, which gives the delay of each
/// answer in milliseconds.
struct Echo {
    listener: Arc<link::Listener>,
    peers: Arc<AtomicU64>,
    disconnects: Arc<AtomicU64>,
}

impl Echo {
    fn start(ca: &tls::Authority, settings: link::Settings) -> Echo {
        let identity = ca.identity("server").unwrap();
        let listener =
            Arc::new(link::Listener::bind(ANY_LOCAL_PORT, &identity, settings, &log()).unwrap());
        let (peers, disconnects) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (accepting, count, disconnected) =
            (listener.clone(), peers.clone(), disconnects.clone());
        tokio::spawn(async move {
            while let Some(peer) = accepting.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                assert_eq!(&**peer.name(), "client");
                let disconnected = disconnected.clone();
                tokio::spawn(async move {
                    while let Some(incoming) = peer.accept().await {
                        if let link::Incoming::Stream(stream) = incoming {
                            tokio::spawn(echo(stream));
                        }
                    }
                    disconnected.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        Echo { listener, peers, disconnects }
    }
}

async fn echo(mut stream: link::Stream) -> Result<(), errors::Error> {
    let delay: u64 = stream.recv().await?.unwrap_or(0);
    while let Some(frame) = stream.recv::<Bytes>().await? {
        if delay > 0 {
            time::sleep(Duration::from_millis(delay)).await;
        }
        stream.send(&frame).await?;
    }
    stream.finish();
    Ok(())
}

fn dialer(ca: &tls::Authority, addr: SocketAddr) -> link::Dialer {
    let identity = ca.identity("client").unwrap();
    link::Dialer::new(&identity, "server", addr, link::Settings::default(), &log())
}

async fn call(dialer: &link::Dialer, delay: u64, body: &Bytes) -> Result<Bytes, errors::Error> {
    let mut stream = dialer.open().await?;
    stream.send(&delay).await?;
    stream.send(body).await?;
    stream.finish();
    let answer = stream.recv().await?;
    assert_eq!(stream.recv::<Bytes>().await?, None);
    answer.ok_or_else(|| errors::Error::lost("call", "server", "no answer"))
}

/// Guards against connections between processes of different fleets, and to a process with another
/// name than the dialer expects.
#[tokio::test]
async fn certificates_of_other_processes_are_refused() {
    let (ours, theirs) = (tls::Authority::create().unwrap(), tls::Authority::create().unwrap());
    let echo = Echo::start(&ours, link::Settings::default());
    let addr = echo.listener.addr();
    let foreign = dialer(&theirs, addr).open().await.err().unwrap();
    assert!(matches!(foreign.cause, errors::Cause::Refused(_)), "{foreign}");
    let name = ours.identity("client").unwrap();
    let other = link::Dialer::new(&name, "agent-1", addr, link::Settings::default(), &log());
    let renamed = other.open().await.err().unwrap();
    assert!(matches!(renamed.cause, errors::Cause::Refused(_)), "{renamed}");
    assert_eq!(echo.peers.load(Ordering::Relaxed), 0);
}

/// Guards against a dialer that treats a rejected connection as established: in TLS 1.3 the server
/// verifies the client certificate after the client has finished the handshake.
#[tokio::test]
async fn rejected_client_certificate_fails_the_dial() {
    let dir = tempfile::tempdir().unwrap();
    let (ours, theirs) = (tls::Authority::create().unwrap(), tls::Authority::create().unwrap());
    ours.save(dir.path()).unwrap();
    theirs.issue("client", 1).unwrap().save(dir.path()).unwrap();
    let identity = tls::Identity::load_from(dir.path(), "client").unwrap();
    let echo = Echo::start(&ours, link::Settings::default());
    let addr = echo.listener.addr();
    let dialer = link::Dialer::new(&identity, "server", addr, link::Settings::default(), &log());
    let error = dialer.open().await.err().unwrap();
    assert!(matches!(error.cause, errors::Cause::Refused(_)), "{error}");
    assert_eq!(dialer.generation(), 0);
}

/// Guards against certificate files that cannot be loaded, keys that other users can read, an
/// authority that is overwritten and a wrong expiry.
#[test]
fn saved_certificates_can_be_loaded() {
    use std::os::unix::fs::PermissionsExt as _;
    let dir = tempfile::tempdir().unwrap();
    let ca = tls::Authority::create().unwrap();
    ca.save(dir.path()).unwrap();
    assert!(ca.save(dir.path()).is_err(), "an authority is never overwritten");
    let loaded = tls::Authority::load(dir.path()).unwrap();
    for _ in 0..2 {
        loaded.issue("entry-1", 3).unwrap().save(dir.path()).unwrap();
    }
    let identity = tls::Identity::load_from(dir.path(), "entry-1").unwrap();
    assert_eq!(&**identity.name(), "entry-1");
    let left = identity.expires_in();
    assert!((3 * 86_400 - 60..=3 * 86_400).contains(&left), "{left}");
    for file in std::fs::read_dir(dir.path()).unwrap() {
        let mode = file.unwrap().metadata().unwrap().permissions().mode();
        assert_eq!(mode & 0o777, 0o600);
    }
    assert!(ca.issue("not a name", 1).is_err());
    assert!(ca.issue("ca", 1).is_err());
}

/// Guards against frames that are truncated, swapped or larger than the limit.
#[tokio::test]
async fn frames_arrive_whole_up_to_the_limit() {
    let ca = tls::Authority::create().unwrap();
    let echo = Echo::start(&ca, link::Settings::default());
    let dialer = dialer(&ca, echo.listener.addr());
    for size in [0, 1, 100_000, 3 << 20] {
        let body = Bytes::from(vec![size as u8; size]);
        assert_eq!(call(&dialer, 0, &body).await.unwrap(), body);
    }
    let mut stream = dialer.open().await.unwrap();
    let error = stream.send(&Bytes::from(vec![0; wire::MAX_FRAME])).await.err().unwrap();
    assert!(matches!(error.cause, errors::Cause::Invalid(_)), "{error}");
    // The stream is still usable, since nothing was sent.
    stream.send(&0u64).await.unwrap();
}

/// Guards against a peer that makes a process allocate more than the limit for one frame, and
/// against malformed frames that are not reported as protocol errors.
#[tokio::test]
async fn malformed_frames_are_protocol_errors() {
    let ca = tls::Authority::create().unwrap();
    let identity = ca.identity("server").unwrap();
    let settings = link::Settings::default();
    let listener = link::Listener::bind(ANY_LOCAL_PORT, &identity, settings, &log()).unwrap();
    let connection = raw_connection(&ca, listener.addr()).await;
    let peer = listener.accept().await.unwrap();
    let too_long = u32::try_from(wire::MAX_FRAME + 1).unwrap().to_be_bytes();
    let cut = [0, 0, 0, 9, 1];
    let foreign = [0, 0, 0, 1, 200];
    for bytes in [&too_long[..], &cut[..], &foreign[..]] {
        let mut stream = connection.open_uni().await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.finish().unwrap();
        let Some(link::Incoming::Receiver(mut receiver)) = peer.accept().await else { panic!() };
        let error = receiver.recv::<wire::Request>().await.err().unwrap();
        assert!(matches!(error.cause, errors::Cause::Protocol(_)), "{error}");
    }
}

/// QUIC connection that bypasses the framing of `link`.
async fn raw_connection(ca: &tls::Authority, addr: SocketAddr) -> quinn::Connection {
    let issued = ca.issue("client", 1).unwrap();
    let mut roots = rustls::RootCertStore::empty();
    let root = rustls_pemfile::certs(&mut issued.authority.as_bytes()).next().unwrap().unwrap();
    roots.add(root).unwrap();
    let leaf = rustls_pemfile::certs(&mut issued.certificate.as_bytes()).next().unwrap().unwrap();
    let key = rustls_pemfile::private_key(&mut issued.key.as_bytes()).unwrap().unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_client_auth_cert(vec![leaf], key)
        .unwrap();
    config.alpn_protocols = vec![tls::ALPN.to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(config).unwrap();
    let endpoint = quinn::Endpoint::client(ANY_LOCAL_PORT).unwrap();
    let config = quinn::ClientConfig::new(Arc::new(crypto));
    endpoint.connect_with(config, addr, "server").unwrap().await.unwrap()
}

/// Drops the packets of the established flow in the direction of `filter`. Expects the pending call
/// to fail within 2 s and the next one to succeed on a new connection from a new source port.
async fn expect_reconnect(filter: Filter) {
    let ca = tls::Authority::create().unwrap();
    let echo = Echo::start(&ca, link::Settings::default());
    let relay = Relay::start(echo.listener.addr()).await;
    let dialer = dialer(&ca, relay.addr);
    let body = Bytes::from_static(b"body");
    // Sends frames in both directions until the connection is lost.
    let mut stream = dialer.open().await.unwrap();
    stream.send(&0u64).await.unwrap();
    stream.send(&body).await.unwrap();
    stream.recv::<Bytes>().await.unwrap();
    let (mut sender, mut receiver) = stream.split();
    let sending = tokio::spawn(async move {
        while sender.send(&Bytes::from_static(b"more")).await.is_ok() {
            time::sleep(Duration::from_millis(20)).await;
        }
    });
    time::sleep(Duration::from_millis(700)).await;
    let started = Instant::now();
    relay.set_filter(filter);
    let error = loop {
        if let Err(error) = receiver.recv::<Bytes>().await {
            break error;
        }
    };
    let elapsed = started.elapsed();
    println!("lost after {elapsed:?}: {error}");
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    assert_eq!(call(&dialer, 0, &body).await.unwrap(), body);
    assert_eq!((dialer.generation(), relay.source_ports()), (2, 2));
    sending.await.unwrap();
    time::sleep_until((started + Duration::from_millis(2200)).into()).await;
    assert_eq!(
        echo.disconnects.load(Ordering::Relaxed),
        1,
        "the listener must notice the loss too"
    );
}

/// Guards against requests that hang on a connection after a device on the path has lost its flow
/// entry and drops packets both ways.
#[tokio::test]
async fn connection_is_replaced_when_packets_are_lost_both_ways() {
    expect_reconnect(Filter::DropBoth).await;
}

/// Guards against a dialer that detects loss by missing data only: here the peer's data still
/// arrives, but nothing reaches the peer.
#[tokio::test]
async fn connection_is_replaced_when_packets_to_the_peer_are_lost() {
    expect_reconnect(Filter::DropToServer).await;
}

/// Guards against a dialer that detects loss only by what it sends: here its data still reaches
/// the peer, but no answer arrives.
#[tokio::test]
async fn connection_is_replaced_when_packets_from_the_peer_are_lost() {
    expect_reconnect(Filter::DropToClient).await;
}

/// Guards against calls that hang while the peer does not answer, and against a dial for each of
/// them.
#[tokio::test]
async fn calls_to_a_frozen_peer_fail_fast() {
    let ca = tls::Authority::create().unwrap();
    let echo = Echo::start(&ca, link::Settings::default());
    let relay = Relay::start(echo.listener.addr()).await;
    let dialer = dialer(&ca, relay.addr);
    let body = Bytes::from_static(b"body");
    call(&dialer, 0, &body).await.unwrap();
    relay.set_filter(Filter::DropBoth);
    relay.set_default_filter(Filter::DropBoth);
    let started = Instant::now();
    assert!(call(&dialer, 0, &body).await.is_err());
    assert!(started.elapsed() < Duration::from_secs(2));
    let started = Instant::now();
    let calls = futures_util::future::join_all((0..50).map(|_| call(&dialer, 0, &body))).await;
    assert!(calls.iter().all(Result::is_err));
    assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
    assert_eq!(relay.source_ports(), 2, "fifty calls share one dial");
    relay.set_default_filter(Filter::Pass);
    time::sleep(Duration::from_millis(100)).await;
    call(&dialer, 0, &body).await.unwrap();
}

/// Guards against a connection for each call, and against generations that repeat.
#[tokio::test]
async fn concurrent_calls_share_one_connection() {
    let ca = tls::Authority::create().unwrap();
    let echo = Echo::start(&ca, link::Settings::default());
    let dialer = dialer(&ca, echo.listener.addr());
    assert_eq!(dialer.generation(), 0);
    for generation in 1..=3 {
        let bodies: Vec<Bytes> = (0..100u8).map(|n| Bytes::from(vec![n; 10])).collect();
        let calls = bodies.iter().map(|body| call(&dialer, 5, body));
        let answers = futures_util::future::try_join_all(calls).await.unwrap();
        assert_eq!(answers, bodies);
        assert_eq!(echo.peers.load(Ordering::Relaxed), generation);
        assert_eq!(dialer.generation(), generation);
        dialer.reset(generation - 1);
        call(&dialer, 0, &bodies[0]).await.unwrap();
        assert_eq!(dialer.generation(), generation, "an old generation resets nothing");
        dialer.reset(generation);
    }
}

/// Guards against calls that wait forever when the peer allows no further stream.
#[tokio::test]
async fn open_times_out_at_the_stream_limit() {
    let ca = tls::Authority::create().unwrap();
    let few = link::Settings { streams: 2, ..link::Settings::default() };
    let echo = Echo::start(&ca, few);
    let dialer = dialer(&ca, echo.listener.addr());
    let mut held = Vec::new();
    for _ in 0..2 {
        let mut stream = dialer.open().await.unwrap();
        stream.send(&0u64).await.unwrap();
        held.push(stream);
    }
    let error = dialer.open().await.err().unwrap();
    assert_eq!(error.cause, errors::Cause::Timeout(1000));
    drop(held);
    call(&dialer, 0, &Bytes::new()).await.unwrap();
    assert_eq!(dialer.generation(), 1);
}

/// Guards against a graceful close that truncates running answers or accepts new streams.
#[tokio::test]
async fn graceful_close_finishes_running_streams() {
    let ca = tls::Authority::create().unwrap();
    let echo = Echo::start(&ca, link::Settings::default());
    let dialer = dialer(&ca, echo.listener.addr());
    let body = Bytes::from(vec![7; 1 << 20]);
    let running: Vec<_> = (0..20)
        .map(|n| {
            let (dialer, body) = (dialer.clone(), body.clone());
            tokio::spawn(async move { call(&dialer, 20 * n, &body).await })
        })
        .collect();
    time::sleep(Duration::from_millis(200)).await;
    let listener = echo.listener.clone();
    let closing = tokio::spawn(async move { listener.close(Duration::from_secs(5)).await });
    time::sleep(Duration::from_millis(50)).await;
    let error = call(&dialer, 0, &body).await.err().unwrap();
    assert!(matches!(error.cause, errors::Cause::Refused(_)), "{error}");
    for call in running {
        assert_eq!(call.await.unwrap().unwrap(), body);
    }
    assert!(closing.await.unwrap(), "every stream finished");
    let error = call(&dialer, 0, &body).await.err().unwrap();
    assert!(!matches!(error.cause, errors::Cause::Invalid(_)), "{error}");
}

/// Guards against a handler that continues after its caller has dropped the stream.
#[tokio::test]
async fn dropped_stream_is_noticed_by_the_peer() {
    let ca = tls::Authority::create().unwrap();
    let identity = ca.identity("server").unwrap();
    let settings = link::Settings::default();
    let listener = link::Listener::bind(ANY_LOCAL_PORT, &identity, settings, &log()).unwrap();
    let dialer = dialer(&ca, listener.addr());
    let mut stream = dialer.open().await.unwrap();
    stream.send(&1u64).await.unwrap();
    stream.finish();
    let peer = listener.accept().await.unwrap();
    let Some(link::Incoming::Stream(mut answer)) = peer.accept().await else { panic!() };
    assert_eq!(answer.recv::<u64>().await.unwrap(), Some(1));
    assert!(time::timeout(Duration::from_millis(100), answer.closed()).await.is_err());
    drop(stream);
    time::timeout(Duration::from_millis(500), answer.closed()).await.unwrap();
    assert!(answer.send(&1u64).await.is_err());
    // In the other direction, an answer that was dropped is an error, not the end of the stream.
    let mut stream = dialer.open().await.unwrap();
    stream.send(&1u64).await.unwrap();
    drop(peer.accept().await.unwrap());
    assert!(stream.recv::<u64>().await.is_err());
}

/// Guards against heartbeats that use up the 8 KB/s of control traffic that an idle node may cause.
#[tokio::test]
async fn idle_connection_sends_little() {
    let ca = tls::Authority::create().unwrap();
    let echo = Echo::start(&ca, link::Settings::default());
    let dialer = dialer(&ca, echo.listener.addr());
    call(&dialer, 0, &Bytes::new()).await.unwrap();
    time::sleep(Duration::from_millis(500)).await;
    let before = dialer.traffic();
    time::sleep(Duration::from_secs(4)).await;
    let after = dialer.traffic();
    let rate = (after.0 + after.1 - before.0 - before.1) / 4;
    println!("idle connection: {rate} B/s of UDP payload");
    assert!(rate < 400, "{rate} B/s");
    assert_eq!(dialer.generation(), 1);
}

/// Guards against an `open` that blocks or serializes calls at the target rate of 800 requests/s.
/// The bound is wide because debug builds and busy machines are slow. The printed lines hold the
/// measured latencies.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_at_the_target_rate_stay_fast() {
    let ca = tls::Authority::create().unwrap();
    let echo = Echo::start(&ca, link::Settings::default());
    let dialer = dialer(&ca, echo.listener.addr());
    let body = Bytes::from(vec![1; 2000]);
    call(&dialer, 0, &body).await.unwrap();
    let mut ticks = time::interval(Duration::from_millis(5));
    let mut calls = Vec::new();
    for _ in 0..400 {
        ticks.tick().await;
        for _ in 0..4 {
            let (dialer, body) = (dialer.clone(), body.clone());
            calls.push(tokio::spawn(async move {
                let started = Instant::now();
                let stream = dialer.open().await.unwrap();
                let opened = started.elapsed();
                drop(stream);
                let started = Instant::now();
                call(&dialer, 0, &body).await.unwrap();
                (opened, started.elapsed())
            }));
        }
    }
    let (mut opened, mut called) = (Vec::new(), Vec::new());
    for call in calls {
        let (open, whole) = call.await.unwrap();
        opened.push(open);
        called.push(whole);
    }
    opened.sort();
    called.sort();
    let at = |times: &[Duration], percent: usize| times[times.len() * percent / 100];
    println!("open p50 {:?} p99 {:?}", at(&opened, 50), at(&opened, 99));
    println!("call p50 {:?} p99 {:?}", at(&called, 50), at(&called, 99));
    assert_eq!(dialer.generation(), 1);
    assert!(at(&called, 99) < Duration::from_millis(50), "{:?}", at(&called, 99));
}

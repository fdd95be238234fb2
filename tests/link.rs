//! Links: authentication, frames, silent connections, reconnection and graceful close.

use basilfield::errors;
use basilfield::link;
use basilfield::tls;
use basilfield::wire;
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time;

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Listener that sends each frame back. The first frame of a stream is the delay of each answer
/// in milliseconds.
struct Echo {
    listener: Arc<link::Listener>,
    peers: Arc<AtomicU64>,
}

impl Echo {
    fn start(ca: &tls::Authority, settings: link::Settings) -> Echo {
        let identity = ca.identity("server").unwrap();
        let listener = Arc::new(link::Listener::bind(LOCAL, &identity, settings, &log()).unwrap());
        let peers = Arc::new(AtomicU64::new(0));
        let (accepting, count) = (listener.clone(), peers.clone());
        tokio::spawn(async move {
            while let Some(peer) = accepting.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                assert_eq!(&**peer.name(), "client");
                tokio::spawn(async move {
                    while let Some(incoming) = peer.accept().await {
                        if let link::Incoming::Stream(stream) = incoming {
                            tokio::spawn(echo(stream));
                        }
                    }
                });
            }
        });
        Echo { listener, peers }
    }
}

async fn echo(mut stream: link::Stream) -> Result<(), errors::Error> {
    let delay: u64 = stream.recv().await?.unwrap_or(0);
    while let Some(frame) = stream.recv::<Bytes>().await? {
        time::sleep(Duration::from_millis(delay)).await;
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

/// Guards against a process of another fleet, or under another name, that is served.
#[tokio::test]
async fn foreign_certificates_are_refused() {
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

/// Guards against a dialler that takes a rejected connection for an established one, since TLS
/// 1.3 verifies the certificate of the dialling end last.
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

/// Guards against lost files, readable keys, a replaced authority and a wrong expiry.
#[test]
fn certificates_survive_files() {
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

/// Guards against frames that are cut, mixed up or larger than the limit.
#[tokio::test]
async fn frames_keep_their_limits() {
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

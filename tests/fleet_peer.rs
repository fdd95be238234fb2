//! Connections between the hosts of a fleet.

use basilfield::fleet::frame;
use basilfield::fleet::peer;
use basilfield::metrics;
use basilfield::replica;
use basilfield::wire;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;

/// Longest wait for a connection to be closed or a frame to arrive.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Records the senders of messages, and the versions of configurations.
#[derive(Default)]
struct Senders(Mutex<Vec<Arc<str>>>, Mutex<Vec<u64>>);

impl peer::Handler for Senders {
    fn cast(&self, from: &Arc<str>, message: frame::Cast) {
        self.0.lock().unwrap().push(from.clone());
        if let frame::Cast::Config(config) = message {
            self.1.lock().unwrap().push(config.version);
        }
    }

    fn call(&self, _request: wire::Request) -> BoxFuture<'static, wire::Reply> {
        std::future::pending().boxed()
    }
}

fn config(version: u64, bytes: usize) -> frame::EncodedConfig {
    let data = vec![7; bytes].into();
    frame::EncodedConfig { version, base: None, size: bytes as u64, digest: 0, data }
}

fn encode(frame: &frame::Frame) -> Vec<u8> {
    let body = postcard::to_stdvec(frame).expect("encoded");
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Guards against a host that takes messages on a connection whose first frame was lost, and sends
/// its answers to the address of the connection, where no host is.
#[test]
fn connection_that_names_no_host_is_closed() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let to = listener.local_addr().expect("address");
        let senders = Arc::new(Senders::default());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        tokio::spawn(peer::serve(listener, senders.clone(), metrics::Metrics::new(), log));
        let cast = encode(&frame::Frame::Cast(frame::Cast::FetchConfig(frame::HeldConfig {
            version: 3,
            digest: 0,
        })));
        let ping = encode(&frame::Frame::Ping);
        let named = encode(&frame::Frame::Hello("10.0.0.1:7700".into()));
        let mut seen = Vec::new();
        for frames in [[ping.clone(), cast.clone()].concat(), [named, cast, ping].concat()] {
            let mut stream = TcpStream::connect(to).await.expect("connected");
            stream.write_all(&frames).await.expect("sent");
            let mut answer = [0; 1];
            let read = time::timeout(WAIT_TIMEOUT, stream.read(&mut answer)).await;
            // A connection with unread frames may also be reset.
            seen.push(read.expect("closed or answered").unwrap_or(0));
        }
        let senders = senders.0.lock().unwrap().clone();
        insta::assert_snapshot!(format!("{seen:?} {senders:?}"), @r#"[0, 1] ["10.0.0.1:7700"]"#);
    });
}

fn envelope(body: replica::Message) -> frame::Cast {
    frame::Cast::Replica(replica::Envelope { group: 1, from: 1, to: 2, term: 1, body })
}

/// Batch of log entries of `len` bytes.
fn batch(len: usize) -> frame::Cast {
    let payload = replica::Payload::Command(vec![0; len].into());
    let entries = vec![replica::Entry { index: 1, term: 1, payload }];
    envelope(replica::Message::Append { prev: 0, prev_term: 0, commit: 0, entries })
}

async fn accept(listener: &TcpListener) -> TcpStream {
    let accepted = time::timeout(WAIT_TIMEOUT, listener.accept()).await;
    accepted.expect("connection in time").expect("accepted").0
}

/// Guards against heartbeats that wait behind a batch of entries that the follower cannot take yet,
/// so that it starts an election.
#[test]
fn heartbeat_passes_a_batch() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let to: Arc<str> = listener.local_addr().expect("address").to_string().into();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let peers = peer::Peers::new("10.0.0.1:7700".into(), &metrics::Metrics::new(), &log);
        peers.cast(&to, batch(8 << 20));
        // Nothing is read from the connection of the batch for now.
        let mut stalled = accept(&listener).await;
        let heartbeat = envelope(replica::Message::Heartbeat { commit: 0, round: 3 });
        peers.cast(&to, heartbeat.clone());
        let mut stream = accept(&listener).await;
        let hello = encode(&frame::Frame::Hello("10.0.0.1:7700".into()));
        let expected = [hello, encode(&frame::Frame::Cast(heartbeat))].concat();
        let mut received = vec![0; expected.len()];
        let read = time::timeout(WAIT_TIMEOUT, stream.read_exact(&mut received)).await;
        read.expect("heartbeat in time").expect("received");
        assert_eq!(received, expected);
        let hello = encode(&frame::Frame::Hello("10.0.0.1:7700".into()));
        let expected = [hello, encode(&frame::Frame::Cast(batch(8 << 20)))].concat();
        let mut received = vec![0; expected.len()];
        let read = time::timeout(WAIT_TIMEOUT, stalled.read_exact(&mut received)).await;
        read.expect("batch in time").expect("the first connection is still open");
        assert!(received == expected);
    });
}

/// Guards against a leader that does not learn that a batch was lost with its connection, and waits
/// for an answer to it.
#[test]
fn lost_batch_is_reported() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let to: Arc<str> = listener.local_addr().expect("address").to_string().into();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let peers = peer::Peers::new("10.0.0.1:7700".into(), &metrics::Metrics::new(), &log);
        assert_eq!(peers.bulk_losses(&to), None);
        peers.cast(&to, batch(100));
        let before = peers.bulk_losses(&to).expect("a connection");
        let stream = accept(&listener).await;
        assert_eq!(peers.bulk_losses(&to), Some(before), "nothing is lost yet");
        drop(stream);
        let changed = async {
            while peers.bulk_losses(&to) == Some(before) {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(WAIT_TIMEOUT, changed).await.expect("the loss is reported");
    });
}

/// Guards against a long frame that is cut off, and sent again from the start, since its link is
/// slow.
#[test]
fn slow_link_does_not_cut_a_long_frame() {
    /// Bytes read or written at a time, and pause after that: 4 MB/s.
    const PART: usize = 256 << 10;
    const PAUSE: Duration = Duration::from_millis(64);
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let to: Arc<str> = listener.local_addr().expect("address").to_string().into();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let peers = peer::Peers::new("10.0.0.1:7700".into(), &metrics::Metrics::new(), &log);
        let sent = batch(14 << 20);
        peers.cast(&to, sent.clone());
        let mut stream = accept(&listener).await;
        let hello = encode(&frame::Frame::Hello("10.0.0.1:7700".into()));
        let cast = encode(&frame::Frame::Cast(sent));
        let mut received = vec![0; hello.len() + cast.len()];
        for part in received.chunks_mut(PART) {
            stream.read_exact(part).await.expect("the frame goes on");
            time::sleep(PAUSE).await;
        }
        assert!(received == [hello, cast].concat());
        // The other direction: a frame that arrives for longer than a silent peer is waited for.
        let senders = Arc::new(Senders::default());
        let serving = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let to = serving.local_addr().expect("address");
        tokio::spawn(peer::serve(serving, senders.clone(), metrics::Metrics::new(), log));
        let mut stream = TcpStream::connect(to).await.expect("connected");
        for part in received.chunks(PART) {
            stream.write_all(part).await.expect("the frame goes on");
            time::sleep(PAUSE).await;
        }
        let arrived = async {
            while senders.0.lock().unwrap().is_empty() {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(WAIT_TIMEOUT, arrived).await.expect("the frame arrives");
    });
}

/// Guards against traffic between hosts of which nobody can tell what it consists of.
#[test]
fn sent_bytes_are_counted_by_kind() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let to: Arc<str> = listener.local_addr().expect("address").to_string().into();
        let senders = Arc::new(Senders::default());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let (sent, answered) = (metrics::Metrics::new(), metrics::Metrics::new());
        tokio::spawn(peer::serve(listener, senders.clone(), answered.clone(), log.clone()));
        let peers = peer::Peers::new("10.0.0.1:7700".into(), &sent, &log);
        peers.cast(&to, frame::Cast::ConfigAvailable(4));
        peers.cast(&to, frame::Cast::ConfigAvailable(5));
        let request = wire::Request::Propose { group: 1, command: vec![7; 100].into() };
        // The handler does not answer.
        assert!(peers.call(&to, request, Duration::from_millis(500)).await.is_err());
        let lines = |metrics: &metrics::Metrics| -> Vec<String> {
            let text = metrics.render();
            let counted = text.lines().filter(|l| l.starts_with("sent_bytes"));
            let kinds = ["ping", "pong"].map(|kind| format!("kind=\"{kind}\""));
            let (pings, other): (Vec<&str>, _) =
                counted.partition(|l| kinds.iter().any(|kind| l.contains(kind)));
            let mut lines: Vec<String> = other.into_iter().map(str::to_string).collect();
            lines.push(format!("{} of pings or pongs", pings.len()));
            lines
        };
        let lines = [lines(&sent), lines(&answered)].concat();
        insta::assert_snapshot!(lines.join("\n"), @r#"
        sent_bytes_total{kind="config_available",otel_scope_name="basilfield"} 14
        sent_bytes_total{kind="hello",otel_scope_name="basilfield"} 19
        sent_bytes_total{group="1",kind="propose",otel_scope_name="basilfield"} 109
        1 of pings or pongs
        1 of pings or pongs
        "#);
    });
}

/// Guards against a slow host for which outdated configurations pile up.
#[test]
fn newer_configuration_replaces_one_that_waits() {
    // The task of the connection does not run before this one waits.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let to: Arc<str> = listener.local_addr().expect("address").to_string().into();
        let senders = Arc::new(Senders::default());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let metrics = metrics::Metrics::new();
        tokio::spawn(peer::serve(listener, senders.clone(), metrics.clone(), log.clone()));
        let peers = peer::Peers::new("10.0.0.1:7700".into(), &metrics, &log);
        for versions in [1..100, 100..200] {
            let last = versions.end - 1;
            for version in versions {
                peers.send_config(&to, config(version, 1_000));
            }
            let arrived = time::timeout(WAIT_TIMEOUT, async {
                while senders.1.lock().unwrap().last() != Some(&last) {
                    time::sleep(Duration::from_millis(5)).await;
                }
            });
            assert!(arrived.await.is_ok(), "version {last} arrives");
        }
        insta::assert_snapshot!(format!("{:?}", senders.1.lock().unwrap()), @"[99, 199]");
    });
}

/// Time within which a host that comes up is reached.
const REACH_TIME: Duration = Duration::from_millis(150);

/// Guards against a host that is reached late after its start, because the packets of a dial before
/// that were lost and nobody dialed again until it had timed out. A listener whose queue is full
/// loses packets like a host that is not up.
#[test]
fn host_that_comes_up_is_reached_soon() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut times = Vec::new();
        for down in [520, 560, 600, 640, 680] {
            let socket = TcpSocket::new_v4().expect("socket");
            socket.bind("127.0.0.1:0".parse().expect("address")).expect("free port");
            let listener = socket.listen(0).expect("listener");
            let addr = listener.local_addr().expect("address");
            let _queued = TcpStream::connect(addr).await.expect("connected");
            let to: Arc<str> = addr.to_string().into();
            let peers = peer::Peers::new("10.0.0.1:7700".into(), &metrics::Metrics::new(), &log);
            let repeated = tokio::spawn(async move {
                loop {
                    peers.cast(&to, batch(10));
                    time::sleep(Duration::from_millis(100)).await;
                }
            });
            time::sleep(Duration::from_millis(down)).await;
            let begun = time::Instant::now();
            accept(&listener).await;
            accept(&listener).await;
            times.push(begun.elapsed());
            repeated.abort();
        }
        println!("reached after {times:?}");
        times.sort();
        // One of them may be late because the machine is busy.
        assert!(times[3] < REACH_TIME, "{times:?}");
    });
}

/// Guards against hosts that are dialed so often while many of them are down that the control traffic
/// exceeds its limit.
#[test]
fn dials_are_rarer_while_many_hosts_are_down() {
    let dials = peer::dial::Dials::default();
    let mut dialing = Vec::new();
    let mut seen = Vec::new();
    for hosts in [1, 8, 9, 24, 340] {
        dialing.resize_with(hosts, || dials.begin());
        seen.push((hosts, dials.interval(), dials.is_slow()));
    }
    drop(dialing);
    seen.push((0, dials.interval(), dials.is_slow()));
    insta::assert_snapshot!(format!("{seen:?}"), @"[(1, 100ms, false), (8, 100ms, false), (9, 200ms, false), (24, 300ms, false), (340, 400ms, true), (0, 100ms, false)]");
}

/// Guards against the sender of a tracked message that is told of its transmission while the message still
/// waits in this process, and would be lost with it.
#[test]
fn tracked_message_is_written_before_its_sender_is_told() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let to: Arc<str> = listener.local_addr().expect("address").to_string().into();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let peers = peer::Peers::new("10.0.0.1:7700".into(), &metrics::Metrics::new(), &log);
        // The buffers of the sockets do not hold this message, and nobody reads yet.
        peers.send_config(&to, config(1, 12 << 20));
        let mut told = peers.cast_tracked(&to, frame::Cast::ConfigAvailable(2));
        let mut stream = accept(&listener).await;
        let early = time::timeout(Duration::from_millis(300), &mut told).await;
        assert!(early.is_err(), "told before the message is written");
        tokio::spawn(async move {
            let mut bytes = vec![0; 64 << 10];
            while let Ok(1..) = stream.read(&mut bytes).await {}
        });
        let later = time::timeout(WAIT_TIMEOUT, told).await.expect("told in time");
        assert_eq!(later, Ok(()));
    });
}

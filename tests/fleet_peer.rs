//! Connections between the hosts of a fleet.

use basilfield::fleet::frame;
use basilfield::fleet::peer;
use basilfield::wire;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

/// Longest wait for a connection to be closed or a frame to arrive.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Records the senders of messages.
#[derive(Default)]
struct Senders(Mutex<Vec<Arc<str>>>);

impl peer::Handler for Senders {
    fn cast(&self, from: &Arc<str>, _message: frame::Cast) {
        self.0.lock().unwrap().push(from.clone());
    }

    fn call(&self, _request: wire::Request) -> BoxFuture<'static, wire::Reply> {
        std::future::pending().boxed()
    }
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
        tokio::spawn(peer::serve(listener, senders.clone(), log));
        let cast = encode(&frame::Frame::Cast(frame::Cast::FetchConfig(3)));
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

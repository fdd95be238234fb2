//! Kept connections of callers beside changes of the limits on them, with processes over loopback.

mod fleet_world;

use basilfield::fleet::upstream;
use fleet_world::Role;
use fleet_world::STREAM_PREFIX;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 0, entries: 1, endpoints: 1 };
/// Limits on idle connections. The one in force is kept to with a margin of one second.
const SHORT_IDLE_MS: u64 = 500;
const LONG_IDLE_MS: u64 = 8_000;
/// Time for which callers leave their connections idle: longer than the short limit with its margin.
const PAUSE: Duration = Duration::from_millis(3_000);
/// Time after which a connection that exceeds the short limit must have been closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(6);

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(test);
}

/// Puts a configuration in force at the entry that allows connections to be idle for `idle` ms.
async fn set_idle_limit(world: &mut World, idle: u64) {
    world.version += 1;
    let mut config: Value = serde_json::from_str(&world.config(world.version)).expect("document");
    config["limits"]["idleMs"] = json!(idle);
    config["limits"]["headerMs"] = json!(SHORT_IDLE_MS);
    assert_eq!(world.put_config(&config.to_string()).await, 200, "{}", world.logs());
    let prefix = format!("/v{}/", world.version);
    let begun = time::Instant::now();
    while client::stream(entry(world), &prefix, "check").await != client::StreamEnd::Complete {
        assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
        time::sleep(Duration::from_millis(20)).await;
    }
}

fn entry(world: &World) -> SocketAddr {
    world.caller_address(world.hosts_of(Role::Entry)[0])
}

/// Sends a request on an open connection and reads the head of its answer.
async fn ask(stream: &mut TcpStream, id: &str) -> String {
    let request = format!(
        "POST /v9/{id} HTTP/1.1\r\nhost: {}\r\nx-basilfield-request-id: {id}\r\n\
         content-length: 0\r\n\r\n",
        fleet_world::ROUTE_HOST
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return "closed".into();
    }
    let mut buf = [0; 1_024];
    match stream.read(&mut buf).await {
        Ok(n) if n > 0 => String::from_utf8_lossy(&buf[..n]).lines().next().unwrap_or("").into(),
        _ => "closed".into(),
    }
}

/// Waits until the entry answers for routes that it does not know. It refuses requests for them until
/// it has reached the control hosts.
async fn await_contact(world: &World) {
    let begun = time::Instant::now();
    loop {
        let mut stream = TcpStream::connect(entry(world)).await.expect("connection");
        let answer = ask(&mut stream, "contact").await;
        if answer == "HTTP/1.1 404 Not Found" {
            return;
        }
        assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{answer}\n{}", world.logs());
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a kept connection that is closed after the idle time of an earlier configuration,
/// so that the next request on it gets no answer.
#[test]
fn kept_connection_is_closed_by_earlier_limit() {
    run(async {
        let mut world = World::start(SIZE).await;
        set_idle_limit(&mut world, SHORT_IDLE_MS).await;
        await_contact(&world).await;
        // One connection has not carried a request, one has.
        let mut unused = TcpStream::connect(entry(&world)).await.expect("connection");
        let mut used = TcpStream::connect(entry(&world)).await.expect("connection");
        let before = ask(&mut used, "before").await;
        set_idle_limit(&mut world, LONG_IDLE_MS).await;
        time::sleep(PAUSE).await;
        let seen = [before, ask(&mut used, "used").await, ask(&mut unused, "unused").await];
        insta::assert_snapshot!(seen.join("\n"), @r"
        HTTP/1.1 404 Not Found
        HTTP/1.1 404 Not Found
        HTTP/1.1 404 Not Found
        ");
    });
}

/// Guards against idle connections that are kept for good because their limit can change.
#[test]
fn idle_connection_is_kept_beyond_limit() {
    run(async {
        let mut world = World::start(SIZE).await;
        set_idle_limit(&mut world, LONG_IDLE_MS).await;
        set_idle_limit(&mut world, SHORT_IDLE_MS).await;
        let mut stream = TcpStream::connect(entry(&world)).await.expect("connection");
        ask(&mut stream, "first").await;
        let mut buf = [0; 1_024];
        let closed = async { while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {} };
        assert!(time::timeout(CLOSE_TIMEOUT, closed).await.is_ok(), "the connection stays open");
        let kept = upstream::Upstream::default();
        let ended = client::stream_on(&kept, entry(&world), STREAM_PREFIX, "last").await;
        assert_eq!(ended, client::StreamEnd::Complete, "{}", world.logs());
    });
}

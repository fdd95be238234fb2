//! Fleet with one entry whose endpoints write answers that a test states byte by byte.

use crate::fleet_world;
use crate::fleet_world::Role;
use crate::fleet_world::Size;
use crate::fleet_world::World;
use crate::fleet_world::client;
use crate::fleet_world::raw;
use serde_json::json;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

pub const SIZE: Size = Size { controls: 1, losses: 0, stores: 1, entries: 1, endpoints: 0 };
/// Slots of an endpoint unless a test states others.
const SLOTS: u32 = 50;
/// Longest time for the answer to a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time for a job, including the runs that are interrupted.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

/// Request as an endpoint reads it.
#[derive(Default)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub last_event: u64,
    /// Number of the request on its connection, from 0.
    pub number: usize,
    /// Head of the request.
    pub raw: raw::Request,
}

/// Writes the answer to a request. The connection is closed if this returns `false`.
pub type Answer = dyn Fn(&Request, &mut TcpStream) -> std::io::Result<bool> + Send + Sync;

#[derive(Clone, Copy)]
struct Options {
    /// Slots that the endpoint states.
    slots: u32,
    /// Connections after which its listener is closed.
    connections: usize,
    /// Whether it reads a request as a whole before the test answers it.
    reads_bodies: bool,
}

const OPTIONS: Options = Options { slots: SLOTS, connections: usize::MAX, reads_bodies: true };

/// Starts an endpoint whose answers a test writes. Returns its address.
fn start_endpoint(answer: Arc<Answer>, options: Options) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for stream in listener.incoming().take(options.connections).flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                // Ends with an error once the caller has closed the connection.
                let _ = serve(stream, &*answer, options.reads_bodies);
            });
        }
    });
    address
}

fn serve(mut stream: TcpStream, answer: &Answer, reads_bodies: bool) -> std::io::Result<()> {
    for number in 0.. {
        let read = match reads_bodies {
            true => raw::Request::read(&mut stream)?,
            false => raw::Request::read_head(&mut stream)?,
        };
        let request = Request {
            id: read.field("x-basilfield-request-id:").into(),
            path: read.path().into(),
            last_event: read.field("last-event-id:").parse().unwrap_or(0),
            number,
            raw: read,
        };
        if !answer(&request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Answer with a body whose length is stated. The id is left out if it is empty.
pub fn framed(status: &str, id: &str, fields: &str, body: &str) -> String {
    let echo = match id {
        "" => String::new(),
        id => format!("x-basilfield-request-id: {id}\r\n"),
    };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{echo}{fields}content-length: {length}\r\n\r\n{body}")
}

/// Events of a stream after `from` up to `to`.
pub fn events(from: u64, to: u64) -> String {
    (from + 1..=to).map(|n| format!("id: {n}\ndata: event {n}\n\n")).collect()
}

pub const STREAM_FIELDS: &str = "content-type: text/event-stream\r\n";
pub const LAST_EVENT: u64 = 6;

/// Whole output of an item.
pub fn item_output() -> String {
    (1..=LAST_EVENT).map(|n| format!("event {n}")).collect::<Vec<_>>().join("\n")
}

/// Fleet with one entry and endpoints of a test.
pub struct Fleet {
    pub world: World,
    pub entry: SocketAddr,
}

impl Fleet {
    pub async fn start(answers: Vec<Arc<Answer>>) -> Fleet {
        Fleet::start_with_slots(answers, SLOTS).await
    }

    /// Starts a fleet whose endpoints state that they have `slots` slots.
    pub async fn start_with_slots(answers: Vec<Arc<Answer>>, slots: u32) -> Fleet {
        let builds = answers.into_iter().map(|a| (fleet_world::DEFAULT_BUILD, a)).collect();
        Fleet::launch(SIZE, builds, Options { slots, ..OPTIONS }).await
    }

    /// Starts a fleet whose endpoints accept one connection only.
    pub async fn start_short_lived(answers: Vec<Arc<Answer>>) -> Fleet {
        let builds = answers.into_iter().map(|a| (fleet_world::DEFAULT_BUILD, a)).collect();
        Fleet::launch(SIZE, builds, Options { connections: 1, ..OPTIONS }).await
    }

    /// Starts a fleet whose endpoints answer before they have read the bodies of requests.
    pub async fn start_early(answers: Vec<Arc<Answer>>) -> Fleet {
        let builds = answers.into_iter().map(|a| (fleet_world::DEFAULT_BUILD, a)).collect();
        Fleet::launch(SIZE, builds, Options { reads_bodies: false, ..OPTIONS }).await
    }

    /// Starts a fleet with an endpoint for each build and answer.
    pub async fn start_with_builds(size: Size, endpoints: Vec<(&str, Arc<Answer>)>) -> Fleet {
        Fleet::launch(size, endpoints, OPTIONS).await
    }

    async fn launch(size: Size, endpoints: Vec<(&str, Arc<Answer>)>, options: Options) -> Fleet {
        let mut world = World::prepare(size).await;
        for at in 0..world.hosts.len() {
            world.start_host(at, true);
        }
        let begun = Instant::now();
        while world.put_config(&world.config(1)).await != 200 {
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let entry = world.entry();
        let fleet = Fleet { world, entry };
        for (n, (build, answer)) in endpoints.into_iter().enumerate() {
            let id = format!("raw-{n}");
            let body = json!({
                "service": fleet_world::SERVICE, "address": start_endpoint(answer, options), "zone": "d0",
                "version": build, "slots": options.slots, "state": "ready", "coldMs": 0, "callSeq": 1,
            });
            let control = fleet.world.hosts_of(Role::Control)[0];
            let to = (fleet.world.hosts[control].process_address, fleet_world::OPERATOR_PORT);
            let path = format!("/-/instances/{id}");
            let begun = Instant::now();
            while client::call(to.into(), "PUT", &path, &[], body.to_string()).await.0 != 200 {
                assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", fleet.world.logs());
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let name = format!("\"{id}\"");
            let knows = |at: usize| {
                let log = std::fs::read_to_string(fleet.world.log_file(at));
                log.is_ok_and(|log| log.contains(&name))
            };
            let is_known = || fleet.world.hosts_of(Role::Entry).into_iter().all(knows);
            assert!(fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, is_known).await);
        }
        for at in fleet.world.hosts_of(Role::Entry) {
            fleet.world.wait_until_ready(at).await;
        }
        fleet
    }

    /// Waits until all items of a job are listed. Returns the output of each, or its state without one;
    /// fewer if it takes long.
    pub async fn outputs(&self, job: &str, count: usize) -> Vec<String> {
        let begun = Instant::now();
        loop {
            let results = client::results(self.entry, job, 0).await.unwrap_or_default();
            if results.len() == count || begun.elapsed() > JOB_TIMEOUT {
                let text = |r: &serde_json::Value| {
                    let output = r["output"].as_str().filter(|_| r["state"] == "completed");
                    output.unwrap_or(r["state"].as_str().unwrap_or_default()).to_string()
                };
                return results.iter().map(text).collect();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request on a connection of its own, and returns all bytes until the connection ends.
    pub async fn ask(&self, version: &str, prefix: &str, id: &str) -> String {
        self.ask_with(version, prefix, id, b"ask").await
    }

    /// Sends a request with a body like [`Fleet::ask`].
    pub async fn ask_with(&self, version: &str, prefix: &str, id: &str, body: &[u8]) -> String {
        let asked = async {
            let mut stream = tokio::net::TcpStream::connect(self.entry).await.expect("connected");
            let head = format!(
                "POST {prefix}{id} {version}\r\nhost: {}\r\nx-basilfield-request-id: {id}\r\n\
                 x-basilfield-deadline-ms: 5000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                fleet_world::ROUTE_HOST,
                body.len()
            );
            stream.write_all(&[head.as_bytes(), body].concat()).await.expect("sent");
            let mut answer = Vec::new();
            // An answer that is broken off may end with a reset.
            let _ = stream.read_to_end(&mut answer).await;
            String::from_utf8_lossy(&answer).into_owned()
        };
        tokio::time::timeout(ANSWER_TIMEOUT, asked).await.expect("an answer in time")
    }
}

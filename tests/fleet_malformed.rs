//! Malformed registrations of endpoints, and frames between hosts with arbitrary contents.

mod fleet_world;

use basilfield::fleet::control;
use basilfield::fleet::entry;
use basilfield::fleet::frame;
use basilfield::fleet::node;
use basilfield::fleet::peer;
use basilfield::fleet::settings;
use basilfield::fleet::store;
use basilfield::wire;
use fleet_world::Role;
use fleet_world::client;
use fleet_world::scripted;
use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;

/// Time after which the hosts have handled what was sent to them.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// Requests that are sent after malformed registrations; each endpoint has as many slots as the sound one.
const REQUESTS: usize = 40;

/// Registrations with each field missing, of another type or out of its range, and truncated at each
/// byte.
fn malformed(address: SocketAddr) -> Vec<String> {
    let sound = json!({
        "service": fleet_world::SERVICE, "address": address, "zone": "d0",
        "version": fleet_world::DEFAULT_BUILD, "slots": 50, "state": "ready", "callSeq": 1,
    });
    let fields: Vec<String> = sound.as_object().expect("an object").keys().cloned().collect();
    let mut bodies = Vec::new();
    for field in &fields {
        let mut missing = sound.clone();
        missing.as_object_mut().expect("an object").remove(field);
        bodies.push(missing.to_string());
        let is_number = sound[field].is_number();
        let values = [Value::Null, json!([]), json!({}), json!(true), json!(-1), json!(1.5)];
        let extreme = [json!(1e300), json!(u64::MAX as f64 * 2.0), json!("")];
        for value in values.into_iter().chain(extreme) {
            let is_free_text = value == "" && matches!(&**field, "service" | "zone" | "version");
            if !is_free_text {
                bodies.push(Value::Object(changed(&sound, field, value)).to_string());
            }
        }
        let other = if is_number { json!("1") } else { json!(1) };
        bodies.push(Value::Object(changed(&sound, field, other)).to_string());
    }
    bodies.push(Value::Object(changed(&sound, "slots", json!(1_u64 << 32))).to_string());
    bodies.push(Value::Object(changed(&sound, "address", json!("127.0.0.1:0"))).to_string());
    bodies.push(Value::Object(changed(&sound, "address", json!("127.0.0.1:70000"))).to_string());
    bodies.push(Value::Object(changed(&sound, "state", json!("READY"))).to_string());
    for born in [json!("1"), json!(-1), json!(1.5), json!(1e300), json!([])] {
        bodies.push(Value::Object(changed(&sound, "born", born)).to_string());
    }
    let text = sound.to_string();
    bodies.extend((0..text.len()).map(|at| text[..at].to_string()));
    bodies.push(text.clone() + "}");
    bodies
}

fn changed(sound: &Value, field: &str, value: Value) -> serde_json::Map<String, Value> {
    let mut object = sound.as_object().expect("an object").clone();
    object.insert(field.into(), value);
    object
}

/// Endpoint that only counts its connections.
fn counting(count: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let (address, count) = (listener.local_addr().expect("address"), count.clone());
    std::thread::spawn(move || {
        for _ in listener.incoming() {
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    address
}

fn sound_endpoint() -> Arc<scripted::Answer> {
    Arc::new(|request, stream| {
        stream.write_all(scripted::framed("200 OK", &request.id, "", "sound").as_bytes())?;
        Ok(true)
    })
}

/// Asserts that no process has ended and none has had a panic, and that requests are served.
async fn assert_sound(fleet: &mut scripted::Fleet, prefix: &str) {
    for n in 0..REQUESTS {
        let id = format!("{prefix}-{n}");
        let answer = fleet.ask("HTTP/1.1", fleet_world::SAFE_PREFIX, &id).await;
        assert!(answer.ends_with("sound"), "{answer}\n{}", fleet.world.logs());
    }
    for at in 0..fleet.world.hosts.len() {
        assert!(!fleet.world.has_ended(at), "{}", fleet.world.logs());
        let log = std::fs::read_to_string(fleet.world.log_file(at)).expect("log");
        let panics: Vec<&str> = log.lines().filter(|l| l.contains("panicked")).collect();
        assert_eq!(panics, Vec::<&str>::new());
    }
}

/// Guards against a malformed registration that ends a process, or whose endpoint gets requests.
#[test]
fn malformed_registrations_are_refused() {
    fleet_world::run(async {
        let mut fleet = scripted::Fleet::start(vec![sound_endpoint()]).await;
        let count = Arc::<AtomicUsize>::default();
        let address = counting(&count);
        let control = fleet.world.hosts_of(Role::Control)[0];
        let to = (fleet.world.hosts[control].process_address, fleet_world::OPERATOR_PORT).into();
        let mut accepted = Vec::new();
        for (n, body) in malformed(address).into_iter().enumerate() {
            let path = format!("/-/instances/bad-{n}");
            let status = client::call(to, "PUT", &path, &[], body.clone()).await.0;
            if status != 400 {
                accepted.push(format!("{status} {body}"));
            }
            // A deregistration without a start time is a sound one of an endpoint that is not known.
            client::call(to, "DELETE", &path, &[], body).await;
        }
        assert_eq!(accepted, Vec::<String>::new());
        tokio::time::sleep(SETTLE_TIME).await;
        assert_sound(&mut fleet, "after").await;
        assert_eq!(count.load(Ordering::SeqCst), 0, "requests were sent to malformed endpoints");
    });
}

/// Guards against a frame that is cut off at any byte, or is no frame, and ends a process or its links.
#[test]
fn truncated_frames_end_no_process() {
    fleet_world::run(async {
        let mut fleet = scripted::Fleet::start(vec![sound_endpoint()]).await;
        let hello = framed(&frame::Frame::Hello("127.0.0.1:9".into()));
        let record = frame::Frame::Cast(frame::Cast::FetchConfig(frame::HeldConfig {
            version: u64::MAX,
            digest: u64::MAX,
        }));
        let query = wire::Request::Query { group: u16::MAX, query: vec![0xff; 9].into() };
        let call = framed(&frame::Frame::Call(u64::MAX, query));
        let whole = [hello.clone(), framed(&record), call].concat();
        let mut streams: Vec<Vec<u8>> = (0..whole.len()).map(|at| whole[..at].to_vec()).collect();
        streams.push([hello.clone(), u32::MAX.to_be_bytes().to_vec()].concat());
        streams.push([hello.clone(), 0_u32.to_be_bytes().to_vec()].concat());
        streams.push([hello, 5_u32.to_be_bytes().to_vec(), vec![0xff; 5]].concat());
        for at in 0..fleet.world.hosts.len() {
            let to = (fleet.world.hosts[at].process_address, fleet_world::LINK_PORT);
            for bytes in &streams {
                let mut link = tokio::net::TcpStream::connect(to).await.expect("connected");
                link.write_all(bytes).await.expect("sent");
            }
        }
        tokio::time::sleep(SETTLE_TIME).await;
        assert_sound(&mut fleet, "after").await;
    });
}

fn framed(frame: &frame::Frame) -> Vec<u8> {
    let body = postcard::to_stdvec(frame).expect("encoded");
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Host in this process.
fn node() -> node::Node {
    let settings = settings::parse(
        "[host]\nname = \"e\"\nrole = \"entry\"\ndomain = \"d\"\naddress = \"127.0.0.1\"\n\
         [listen]\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n\
         [fleet]\nport = 7720\nseeds = [\"127.0.0.1:3\"]\nbootstrap = false\n",
    );
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let protocol = Arc::new(fleet_world::platform::Platform::default());
    node::Node::new(settings.expect("valid"), "e.toml".into(), protocol, &log)
}

/// Pieces of encoded frames: small and extreme numbers of each width, words, and floating-point numbers.
/// A sequence of them often is a whole frame with extreme contents.
fn piece() -> impl Strategy<Value = Vec<u8>> {
    let varint = |n: u64| postcard::to_stdvec(&n).expect("encoded");
    prop_oneof![
        6 => Just(vec![0]),
        6 => Just(vec![1]),
        2 => Just(vec![2]),
        3 => Just(varint(u64::MAX)),
        2 => Just(varint(u64::MAX / 2)),
        2 => Just(varint(u64::from(u32::MAX))),
        2 => Just(varint(u64::from(u16::MAX))),
        3 => Just(vec![1, b'a']),
        1 => Just(f64::NAN.to_le_bytes().to_vec()),
        1 => Just(f64::MAX.to_le_bytes().to_vec()),
        1 => Just((-1.0_f64).to_le_bytes().to_vec()),
        1 => (0_u8..=255).prop_map(|byte| vec![byte]),
    ]
}

/// Creates the handler of frames of one role.
type CreateHandler = fn(&node::Node) -> Arc<dyn peer::Handler>;

/// Number of kinds of messages and of requests between hosts; more are harmless.
const KINDS: u8 = 40;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        // A fixed seed makes CI runs reproducible.
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// Guards against a message or request whose contents, such as extreme numbers, make its receiver
    /// panic, in any role.
    #[test]
    fn frames_with_arbitrary_contents_are_handled(
        bodies in prop::collection::vec((0..KINDS, prop::collection::vec(piece(), 0..60)), 100),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime");
        let _guard = runtime.enter();
        let handlers: [CreateHandler; 3] =
            [entry::peer_handler, control::peer_handler, store::peer_handler];
        let nodes: Vec<node::Node> = handlers.iter().map(|_| node()).collect();
        let from: Arc<str> = "127.0.0.1:9".into();
        let last = Mutex::new(String::new());
        for (kind, pieces) in bodies {
            let body = [vec![kind], pieces.concat()].concat();
            for (node, handler) in nodes.iter().zip(handlers) {
                let handler = handler(node);
                let handled = panic::catch_unwind(AssertUnwindSafe(|| {
                    if let Ok(message) = postcard::from_bytes::<frame::Cast>(&body) {
                        *last.lock().expect("lock") = format!("{message:?}");
                        handler.cast(&from, message);
                    }
                    if let Ok(request) = postcard::from_bytes::<wire::Request>(&body) {
                        *last.lock().expect("lock") = format!("{request:?}");
                        let call = handler.call(request);
                        let call = tokio::time::timeout(Duration::from_millis(1), call);
                        // A request that waits for a group has no answer here.
                        let _ = runtime.block_on(call);
                    }
                }));
                prop_assert!(handled.is_ok(), "{}", last.lock().expect("lock"));
            }
        }
    }
}

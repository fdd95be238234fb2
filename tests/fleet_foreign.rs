//! Registrations of another writer, whose service no configuration names, beside those of endpoints.

mod fleet_world;

use basilfield::fleet::control;
use basilfield::fleet::directory;
use basilfield::fleet::routes;
use control::unnamed;
use directory::Directory;
use directory::Endpoint;
use directory::Phase;
use fleet_world::Role;
use fleet_world::Size;
use fleet_world::World;
use fleet_world::client;
use fleet_world::client::StreamEnd;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 1, endpoints: 3 };
/// Longest time for a job of a few items to finish.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a configuration is in force.
const IN_FORCE_TIME: Duration = Duration::from_millis(2_500);
const TEN_YEARS_MS: u64 = 10 * 365 * 24 * 60 * 60 * 1_000;

const CONTROLS: usize = 3;
const ENDPOINTS: usize = 4;
/// Services of the endpoints: one of the first configuration and one that the second one adds.
const SERVICES: [&str; 2] = ["engines", "later"];
const FOREIGN_SERVICE: &str = "host-agent";

#[derive(Clone, Debug)]
enum Op {
    Register { endpoint: usize, control: usize, phase: Phase },
    Restart { endpoint: usize },
    Leave { endpoint: usize, control: usize },
    Foreign { control: usize, id: usize, address: usize, start: u64, phase: Phase },
    Configure { control: usize },
    Exchange { from: usize, to: usize },
}

fn phase() -> impl Strategy<Value = Phase> {
    prop_oneof![4 => Just(Phase::Ready), 1 => Just(Phase::Draining)]
}

fn op() -> impl Strategy<Value = Op> {
    let start = prop_oneof![0_u64..40, Just(TEN_YEARS_MS)];
    prop_oneof![
        8 => (0..ENDPOINTS, 0..CONTROLS, phase())
            .prop_map(|(endpoint, control, phase)| Op::Register { endpoint, control, phase }),
        2 => (0..ENDPOINTS).prop_map(|endpoint| Op::Restart { endpoint }),
        1 => (0..ENDPOINTS, 0..CONTROLS)
            .prop_map(|(endpoint, control)| Op::Leave { endpoint, control }),
        8 => (0..CONTROLS, 0..2 * ENDPOINTS, 0..ENDPOINTS, start, phase()).prop_map(
            |(control, id, address, start, phase)| Op::Foreign { control, id, address, start, phase }
        ),
        1 => (0..CONTROLS).prop_map(|control| Op::Configure { control }),
        4 => (0..CONTROLS, 0..CONTROLS).prop_map(|(from, to)| Op::Exchange { from, to }),
    ]
}

fn config(version: u64, services: &[&str]) -> routes::Config {
    let service = |name: &&str| routes::Service {
        name: (*name).into(),
        slots: None,
        token_capacity: None,
        max_connections: None,
    };
    let services = services.iter().map(service).collect();
    routes::Config::new(version, Vec::new(), services, routes::Bounds::default(), Vec::new())
        .expect("configuration")
}

/// Service and build of each endpoint that was stored.
type Builds = BTreeSet<(Arc<str>, Arc<str>)>;

/// Control host with its directory and its configuration.
#[derive(Default)]
struct Host {
    directory: Directory,
    unnamed: unnamed::Registrations,
    config: Option<routes::Config>,
    builds: Builds,
}

impl Host {
    fn store(&mut self, now: Duration, endpoint: Endpoint) {
        self.builds.insert((endpoint.service.clone(), endpoint.build.clone()));
        self.directory.register_endpoint(now, endpoint);
    }

    fn register(&mut self, now: Duration, endpoint: Endpoint) {
        let known = self.directory.endpoint(&endpoint.id).cloned();
        let admission = self.unnamed.admit(now, self.config.as_ref(), known.as_ref(), endpoint);
        if let unnamed::Admission::Register(endpoint) = admission {
            self.store(now, endpoint);
        }
    }

    fn configure(&mut self, now: Duration, config: routes::Config) {
        for endpoint in self.unnamed.take_named(now, &config) {
            self.store(now, endpoint);
        }
        self.config = Some(config);
    }
}

fn endpoint(at: usize, start_time: u64, seq: u64, phase: Phase) -> Endpoint {
    Endpoint {
        id: format!("i-{at}").into(),
        start_time,
        seq,
        service: SERVICES[at % 2].into(),
        address: ([127, 0, 0, 1], 80 + u16::try_from(at).expect("few endpoints")).into(),
        domain: "d".into(),
        build: "v1".into(),
        slots: 8,
        phase,
    }
}

/// Plays the operations, with or without the registrations of the other writer. Returns the endpoints
/// and the builds that each control host knows.
fn play(ops: &[Op], with_foreign: bool) -> Vec<(Vec<Endpoint>, Builds)> {
    let mut hosts: Vec<Host> = (0..CONTROLS).map(|_| Host::default()).collect();
    let mut starts = [1; ENDPOINTS];
    for (seq, op) in (1..).zip(ops) {
        let now = Duration::from_millis(seq * 10);
        match op {
            Op::Register { endpoint: at, control, phase } => {
                hosts[*control].register(now, endpoint(*at, starts[*at], seq, *phase));
            }
            Op::Restart { endpoint: at } => starts[*at] = 1 + seq,
            Op::Leave { endpoint: at, control } => {
                let id = format!("i-{at}");
                hosts[*control].unnamed.remove(&id);
                hosts[*control].directory.deregister_endpoint(now, &id, Some(starts[*at]));
            }
            Op::Foreign { control, id, address, start, phase } if with_foreign => {
                let foreign = Endpoint {
                    id: format!("i-{id}").into(),
                    service: FOREIGN_SERVICE.into(),
                    build: "foreign".into(),
                    ..endpoint(*address, *start, seq, *phase)
                };
                hosts[*control].register(now, foreign);
            }
            Op::Foreign { .. } => {}
            Op::Configure { control } => {
                let next = match hosts[*control].config {
                    None => config(1, &SERVICES[..1]),
                    Some(_) => config(2, &SERVICES),
                };
                hosts[*control].configure(now, next);
            }
            Op::Exchange { from, to } => {
                let records = hosts[*from].directory.records();
                hosts[*to].directory.merge(now, records);
            }
        }
    }
    let known = |h: Host| (h.directory.endpoints().cloned().collect(), h.builds);
    hosts.into_iter().map(known).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(64),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against registrations of another writer that change the endpoints in use, their
    /// addresses, starts or builds.
    #[test]
    fn foreign_registrations_change_the_directory(ops in prop::collection::vec(op(), 1..120)) {
        prop_assert_eq!(play(&ops, true), play(&ops, false));
    }
}

/// Guards against memory that grows with the registrations of another writer, and against those of an
/// endpoint that are displaced by them before its service is named.
#[test]
fn kept_registrations_are_bounded() {
    let mut unnamed = unnamed::Registrations::default();
    let now = Duration::from_secs(1);
    let later = endpoint(1, 5, 1, Phase::Ready);
    unnamed.admit(now, None, None, later.clone());
    for n in 0..2_000 {
        let id = if n % 2 == 0 { "i-1".to_string() } else { format!("agent-{n}") };
        let service = format!("host-agent-{}", n % 100).into();
        let foreign = Endpoint { id: id.into(), service, ..endpoint(1, n, n, Phase::Ready) };
        unnamed.admit(now + Duration::from_millis(n), None, None, foreign);
        // Endpoints register again about once a second.
        unnamed.admit(now + Duration::from_millis(n), None, None, later.clone());
    }
    let named = unnamed.take_named(now + Duration::from_secs(3), &config(2, &SERVICES));
    assert_eq!((unnamed.count() <= 256, named), (true, vec![later]));
}

async fn register(world: &World, control: usize, id: &str, body: Value) -> u16 {
    let to = (world.hosts[control].process_address, fleet_world::OPERATOR_PORT).into();
    let path = format!("/-/instances/{id}");
    client::call(to, "PUT", &path, &[], body.to_string()).await.0
}

fn foreign(address: SocketAddr, born: u64) -> Value {
    json!({
        "service": FOREIGN_SERVICE, "address": address, "zone": "d0", "version": "3.1", "slots": 1,
        "state": "ready", "coldMs": 0, "callSeq": 1, "born": born,
    })
}

/// Guards against endpoints that get no requests and no items, since another writer has registered
/// their addresses or their ids under a service that no configuration names.
#[test]
fn foreign_registrations_take_endpoints_out() {
    fleet_world::run(async {
        let mut world = World::start(SIZE).await;
        let controls = world.hosts_of(Role::Control);
        for at in 0..usize::from(SIZE.endpoints) {
            let (id, address) = (world.endpoint(at).id().to_string(), world.endpoint(at).address());
            for n in 0..20 {
                let control = controls[n % controls.len()];
                let agent = format!("agent-{at}-{n}");
                register(&world, control, &agent, foreign(address, TEN_YEARS_MS * 6)).await;
            }
            register(&world, controls[at % controls.len()], &id, foreign(address, 1_000)).await;
        }
        world.send_heartbeats().await;
        tokio::time::sleep(IN_FORCE_TIME).await;
        let mut ends = Vec::new();
        for n in 0..6 {
            let id = format!("after-{n}");
            ends.push(client::stream(world.entry(), fleet_world::STREAM_PREFIX, &id).await);
        }
        assert_eq!(ends, vec![StreamEnd::Complete; 6], "{}", world.logs());
        let entries = world.caller_addresses();
        assert!(client::submit(&entries, "job", 6).await, "{}", world.logs());
        let finished = client::finish(&entries, "job", 6, &mut Vec::new(), JOB_TIMEOUT).await;
        assert_eq!(finished, Ok(()), "{}", world.logs());
    });
}

/// Guards against an endpoint that stays unknown, since it registered a moment before the configuration
/// that names its service.
#[test]
fn endpoint_of_a_later_service_stays_unknown() {
    fleet_world::run(async {
        let world = World::start(SIZE).await;
        let controls = world.hosts_of(Role::Control);
        let (id, address) = (world.endpoint(2).id().to_string(), world.endpoint(2).address());
        assert_eq!(world.deregister(controls[0], 2).await, 200, "{}", world.logs());
        let later = json!({
            "service": "later", "address": address, "zone": "d2", "slots": 6, "state": "ready",
            "version": fleet_world::DEFAULT_BUILD, "coldMs": 0, "callSeq": 1, "born": 5,
        });
        assert_eq!(register(&world, controls[0], &id, later).await, 200, "{}", world.logs());
        let mut document: Value = serde_json::from_str(&world.config(2)).expect("configuration");
        document["services"].as_array_mut().expect("services").push(json!({ "name": "later" }));
        for route in document["routes"].as_array_mut().expect("routes") {
            if route["prefix"] == fleet_world::ONCE_PREFIX {
                route["service"] = json!("later");
            }
        }
        assert_eq!(world.put_config(&document.to_string()).await, 200, "{}", world.logs());
        let begun = Instant::now();
        let prefix = fleet_world::ONCE_PREFIX;
        while world.run_count(2, "first") == 0 && begun.elapsed() < IN_FORCE_TIME * 2 {
            client::stream(world.entry(), prefix, "first").await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let ended = client::stream(world.entry(), prefix, "second").await;
        assert_eq!(
            (ended, world.run_count(2, "second")),
            (StreamEnd::Complete, 1),
            "{}",
            world.logs()
        );
    });
}

//! Distribution of configuration documents to the hosts of a large fleet.

use basilfield::fleet::control_state;
use basilfield::fleet::documents;
use basilfield::fleet::frame;
use basilfield::fleet::sync;
use std::cmp;
use std::collections::BinaryHeap;
use std::sync::Arc;

const HOSTS: usize = 300;
const CONTROLS: usize = 5;
const ROUTES: usize = 1_200;
const VERSIONS: u64 = 40;
/// Time from one version to the next, in microseconds.
const VERSION_INTERVAL: u64 = 330_000;
/// Time after which the other control hosts apply a version, in microseconds.
const FOLLOWER_DELAY: u64 = 30_000;
/// Time that a packet takes from one host to another, in microseconds.
const LATENCY: u64 = 500;
/// Bytes that the link of a control host carries in a microsecond.
const CONTROL_RATE: f64 = 125.0;
/// Bytes that the link of another host carries in a microsecond.
const HOST_RATE: f64 = 3.75;
/// Interval at which each host checks for overdue configurations, in microseconds.
const CHECK_INTERVAL: u64 = 100_000;
/// Longest time until a version is in force, in microseconds.
const MAX_DELAY: u64 = 2_000_000;
const END: u64 = VERSIONS * VERSION_INTERVAL + 6_000_000;

/// Document of about 200 KB. Each version changes the time-outs of two routes.
fn document(version: u64) -> control_state::Document {
    let mut routes = Vec::new();
    for n in 0..ROUTES as u64 {
        let changes = (1..=version).filter(|v| v * 7 % ROUTES as u64 == n || v * 13 == n).count();
        let (name, timeout) = (n * 2_654_435_761 % 1_000_003, 5_000 + changes);
        routes.push(format!(
            r#"{{"name":"r-{name:x}","host":"h{n}.example","prefix":"/p{name}/","kind":"streaming",
            "timeoutMs":{timeout},"responseTargetMs":300,"service":"s{}","maxAttempts":2}}"#,
            name % 7
        ));
    }
    // Every version has the same number of digits, so that a change moves no text.
    let text = format!(r#"{{"version":{},"routes":[{}]}}"#, 1_000 + version, routes.join(","));
    control_state::Document { version, text: text.into() }
}

fn frame_size(message: frame::Cast) -> u64 {
    postcard::to_stdvec(&frame::Frame::Cast(message)).expect("encoded").len() as u64 + 4
}

/// How control hosts tell and send versions.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Every control host tells every host, and sends the document as it is.
    Whole,
    /// Two control hosts tell a host, and one sends the document encoded for it.
    Encoded,
}

enum Event {
    /// A control host applies a version.
    Applied(usize, u64),
    /// A message arrives at a host.
    Available(usize, usize, u64),
    Config(usize, u64, Option<frame::EncodedConfig>),
    /// A request of a host arrives at a control host.
    Fetch(usize, usize, frame::HeldConfig),
    Check(usize),
    /// A host is cut off, or reachable again.
    Reachable(usize, bool),
}

/// Link that sends one message after the other.
#[derive(Clone, Default)]
struct Link {
    free_at: f64,
    bytes: u64,
}

impl Link {
    /// Time at which the last byte has been carried.
    fn carry(&mut self, now: f64, size: u64, rate: f64) -> f64 {
        self.free_at = self.free_at.max(now) + size as f64 / rate;
        self.bytes += size;
        self.free_at
    }
}

struct Host {
    fetch: sync::ConfigFetch,
    held: control_state::Document,
    link: Link,
    reachable: bool,
}

/// Simulated fleet.
struct Fleet {
    policy: Policy,
    names: Vec<(Arc<str>, Arc<str>)>,
    controls: Vec<(Arc<str>, Arc<str>)>,
    versions: Vec<control_state::Document>,
    hosts: Vec<Host>,
    links: Vec<Link>,
    documents: Vec<documents::Documents>,
    queue: BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
}

fn domains(prefix: &str, count: usize) -> Vec<(Arc<str>, Arc<str>)> {
    let host = |n| (format!("{prefix}-{n}").into(), format!("domain-{}", n % CONTROLS).into());
    (0..count).map(host).collect()
}

impl Fleet {
    fn new(policy: Policy) -> Fleet {
        let host = || Host {
            fetch: sync::ConfigFetch::default(),
            held: control_state::Document::default(),
            link: Link::default(),
            reachable: true,
        };
        let mut fleet = Fleet {
            policy,
            names: domains("host", HOSTS),
            controls: domains("control", CONTROLS),
            versions: (0..=VERSIONS).map(document).collect(),
            hosts: (0..HOSTS).map(|_| host()).collect(),
            links: vec![Link::default(); CONTROLS],
            documents: (0..CONTROLS).map(|_| documents::Documents::default()).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
        };
        for version in 1..=VERSIONS {
            for control in 0..CONTROLS {
                let delay = if control == 0 { 0 } else { FOLLOWER_DELAY };
                let at = version * VERSION_INTERVAL + delay;
                fleet.add(at, Event::Applied(control, version));
            }
        }
        for host in 0..HOSTS {
            let phase = host as u64 * CHECK_INTERVAL / HOSTS as u64;
            for at in (phase..END).step_by(CHECK_INTERVAL as usize) {
                fleet.add(at, Event::Check(host));
            }
        }
        fleet
    }

    fn add(&mut self, at: u64, event: Event) {
        self.queue.push(cmp::Reverse((at, self.events.len() as u64)));
        self.events.push(Some(event));
    }

    /// Sends a message from a control host to a host.
    fn send(&mut self, now: u64, control: usize, host: usize, size: u64, event: Event) {
        let sent = self.links[control].carry(now as f64, size, CONTROL_RATE);
        let carried = self.hosts[host].link.carry(sent + LATENCY as f64, size, HOST_RATE);
        self.add(carried.ceil() as u64, event);
    }

    fn ask(&mut self, now: u64, host: usize, fetch: Option<sync::Fetch>) {
        let Some(sync::Fetch { source, whole }) = fetch else { return };
        let control = self.controls.iter().position(|(name, _)| *name == source).expect("known");
        let held = match whole || self.hosts[host].held.version == 0 {
            true => frame::HeldConfig::default(),
            false => documents::held(&self.hosts[host].held),
        };
        self.add(now + LATENCY, Event::Fetch(control, host, held));
    }

    fn handle(&mut self, now: u64, event: Event) {
        let time = std::time::Duration::from_micros(now);
        match event {
            Event::Applied(control, version) => {
                self.documents[control].record(self.versions[version as usize].clone());
                let size = frame_size(frame::Cast::ConfigAvailable(version));
                for host in 0..HOSTS {
                    let (name, domain) = &self.names[host];
                    let own = &self.controls[control].0;
                    if self.policy == Policy::Whole
                        || sync::is_informed_by(name, domain, own, &self.controls)
                    {
                        let event = Event::Available(host, control, version);
                        self.send(now, control, host, size, event);
                    }
                }
            }
            Event::Available(host, control, version) if self.hosts[host].reachable => {
                let from = self.controls[control].0.clone();
                let h = &mut self.hosts[host];
                let fetch = h.fetch.record_available(time, h.held.version, version, &from);
                self.ask(now, host, fetch);
            }
            Event::Fetch(control, host, held) => {
                let Some(encoded) = self.documents[control].encode(held).expect("encoded") else {
                    return;
                };
                let version = encoded.version;
                let (size, encoded) = match self.policy {
                    Policy::Whole => (encoded.size, None),
                    Policy::Encoded => {
                        (frame_size(frame::Cast::Config(encoded.clone())), Some(encoded))
                    }
                };
                self.send(now, control, host, size, Event::Config(host, version, encoded));
            }
            Event::Config(host, version, encoded) if self.hosts[host].reachable => {
                let expected = &self.versions[version as usize];
                let h = &mut self.hosts[host];
                if version > h.held.version {
                    // Decoding takes most of the time of the test, so it is left out at most hosts.
                    if let Some(encoded) = encoded.filter(|_| host.is_multiple_of(20)) {
                        let held = Some(&h.held).filter(|h| h.version > 0);
                        let decoded = documents::decode(&encoded, held).expect("decoded");
                        assert_eq!(decoded, *expected, "byte for byte");
                    }
                    h.held = expected.clone();
                }
                let fetch = h.fetch.record_arrival(time, h.held.version);
                self.ask(now, host, fetch);
            }
            Event::Check(host) if self.hosts[host].reachable => {
                let h = &mut self.hosts[host];
                let fetch = h.fetch.next_source(time, h.held.version);
                self.ask(now, host, fetch);
            }
            Event::Reachable(host, reachable) => self.hosts[host].reachable = reachable,
            Event::Available(..) | Event::Config(..) | Event::Check(_) => {}
        }
    }

    /// Runs to the end. Returns the longest time until a version or a newer one is in force at every
    /// host that is reachable all the time.
    fn run(&mut self) -> u64 {
        let mut slowest = 0;
        let mut in_force = vec![0; HOSTS];
        let steady: Vec<bool> = self.hosts.iter().map(|h| h.reachable).collect();
        while let Some(cmp::Reverse((now, id))) = self.queue.pop() {
            let event = self.events[id as usize].take().expect("handled once");
            let host = match event {
                Event::Config(host, ..) => Some(host),
                _ => None,
            };
            self.handle(now, event);
            let Some(host) = host else { continue };
            let held = self.hosts[host].held.version;
            if held > in_force[host] {
                let oldest_missing = in_force[host] + 1;
                if steady[host] {
                    slowest = slowest.max(now - oldest_missing * VERSION_INTERVAL);
                }
                in_force[host] = held;
            }
        }
        slowest
    }

    /// Bytes that the control hosts have sent.
    fn bytes(&self) -> u64 {
        self.links.iter().map(|l| l.bytes).sum()
    }
}

/// Most bytes that the control hosts may send: the document once to each host, and for each version
/// four times the bytes that it changes and 500 bytes for its announcements and frames.
fn byte_bound(versions: &[control_state::Document]) -> u64 {
    let changed = |pair: &[control_state::Document]| {
        let bytes = pair[0].text.iter().zip(pair[1].text.iter());
        bytes.filter(|(a, b)| a != b).count() as u64
    };
    let updates: u64 = versions[1..].windows(2).map(|pair| 4 * changed(pair) + 500).sum();
    HOSTS as u64 * (versions[1].text.len() as u64 + updates)
}

/// Guards against control hosts whose links are full for seconds during a series of changes, because
/// they send every version whole to every host.
#[test]
fn changes_in_quick_succession_cost_what_they_change() {
    let mut former = Fleet::new(Policy::Whole);
    let former_delay = former.run();
    let mut fleet = Fleet::new(Policy::Encoded);
    let delay = fleet.run();
    let bound = byte_bound(&fleet.versions);
    println!(
        "bytes: {} whole, {} encoded, bound {bound}; slowest version: {former_delay} us whole, \
         {delay} us encoded",
        former.bytes(),
        fleet.bytes(),
    );
    assert!(former.bytes() > bound, "the former policy sends every version whole");
    assert!(fleet.bytes() <= bound, "{} bytes, bound {bound}", fleet.bytes());
    assert!(delay <= MAX_DELAY, "in force after {delay} us");
    assert!(fleet.hosts.iter().all(|h| h.held.version == VERSIONS));
}

/// Guards against a host that stays behind after it was cut off while control hosts went on to
/// versions that are encoded for others.
#[test]
fn host_that_was_cut_off_gets_the_newest_version() {
    let mut fleet = Fleet::new(Policy::Encoded);
    let back = 30 * VERSION_INTERVAL;
    for host in 0..HOSTS / 10 {
        fleet.add(3 * VERSION_INTERVAL, Event::Reachable(host, false));
        fleet.add(back + host as u64 * 1_000, Event::Reachable(host, true));
    }
    fleet.run();
    let bound = byte_bound(&fleet.versions);
    assert!(fleet.bytes() <= bound, "{} bytes, bound {bound}", fleet.bytes());
    assert!(fleet.hosts.iter().all(|h| h.held.version == VERSIONS));
}

/// Guards against a host that takes what was encoded for another document, or damaged, as its
/// configuration, and against one that is refused the document that it needs.
#[test]
fn only_the_document_that_was_sent_is_taken() {
    let mut source = documents::Documents::default();
    let (first, second) = (document(1), document(2));
    source.record(first.clone());
    source.record(second.clone());
    let held = documents::held(&first);
    let mut describe = |held: frame::HeldConfig, holds: Option<&control_state::Document>| {
        let encoded = source.encode(held).expect("encoded").expect("newer");
        let decoded = documents::decode(&encoded, holds).map(|d| d == second);
        let kind = match (encoded.base, encoded.data.len()) {
            (Some(base), len) if len < 300 => format!("small from {base}"),
            (None, len) if len > 1_000 => "whole".to_string(),
            other => format!("{other:?}"),
        };
        format!("{kind}: {decoded:?}")
    };
    let unknown = frame::HeldConfig { version: 1, digest: held.digest + 1 };
    let different = control_state::Document { version: 1, text: document(9).text };
    let mut seen = vec![
        describe(held, Some(&first)),
        describe(frame::HeldConfig::default(), None),
        describe(unknown, Some(&different)),
        describe(held, Some(&different)),
        describe(held, Some(&second)),
        describe(held, None),
    ];
    let encoded = source.encode(held).expect("encoded").expect("newer");
    let mut data = encoded.data.to_vec();
    data.truncate(data.len() / 2);
    let damaged = frame::EncodedConfig { data: data.into(), ..encoded.clone() };
    let huge = frame::EncodedConfig { size: u64::MAX, ..encoded.clone() };
    let short = frame::EncodedConfig { size: encoded.size - 1, ..encoded.clone() };
    let other = frame::EncodedConfig { digest: encoded.digest + 1, ..encoded };
    for encoded in [damaged, huge, short, other] {
        seen.push(format!("{:?}", documents::decode(&encoded, Some(&first)).is_err()));
    }
    seen.push(format!("{:?}", source.encode(documents::held(&second))));
    insta::assert_snapshot!(seen.join("\n"), @r"
    small from 1: Ok(true)
    whole: Ok(true)
    whole: Ok(true)
    small from 1: Err(Digest)
    small from 1: Err(Base)
    small from 1: Err(Base)
    true
    true
    true
    true
    Ok(None)
    ");
}

/// Guards against a control host whose memory grows with the number of versions.
#[test]
fn old_documents_are_forgotten() {
    let mut source = documents::Documents::default();
    let text = |version: u64| vec![version as u8; 6 << 20];
    let large = |version| control_state::Document { version, text: text(version).into() };
    let mut bases = |count: u64, document: &dyn Fn(u64) -> control_state::Document| {
        (1..=count).for_each(|version| source.record(document(version)));
        let held = (1..count).map(|version| documents::held(&document(version)));
        let found = held.filter_map(|held| source.encode(held).expect("encoded")?.base).count();
        source = documents::Documents::default();
        found
    };
    let small = |version: u64| control_state::Document {
        version,
        text: format!("{version}").into_bytes().into(),
    };
    insta::assert_snapshot!(format!("{} {}", bases(100, &small), bases(8, &large)), @"31 2");
}

/// Guards against hosts that no control host tells of a new version, against control hosts that
/// all tell every host, and against traffic between failure domains that one domain could serve.
#[test]
fn two_control_hosts_tell_each_host_of_a_version() {
    let (hosts, controls) = (domains("host", HOSTS), domains("control", CONTROLS));
    let told = |control: &Arc<str>| {
        let is_told = |(name, domain): &&(Arc<str>, Arc<str>)| {
            sync::is_informed_by(name, domain, control, &controls)
        };
        hosts.iter().filter(is_told).collect::<Vec<_>>()
    };
    let counts: Vec<(usize, usize)> = controls
        .iter()
        .map(|(control, domain)| {
            let told = told(control);
            (told.len(), told.iter().filter(|(_, d)| d == domain).count())
        })
        .collect();
    let total: usize = counts.iter().map(|c| c.0).sum();
    insta::assert_snapshot!(format!("{total} {counts:?}"),
        @"600 [(127, 60), (126, 60), (111, 60), (119, 60), (117, 60)]");
}

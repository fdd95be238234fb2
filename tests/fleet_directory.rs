//! Registrations, merging and expiry of directory records.

use basilfield::fleet::directory;
use basilfield::fleet::settings;
use directory::Directory;
use directory::Endpoint;
use directory::Phase;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn endpoint(id: &str, start_time: u64, seq: u64, port: u16, phase: Phase) -> Endpoint {
    Endpoint {
        id: id.into(),
        start_time,
        seq,
        service: "a".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "d".into(),
        build: "v1".into(),
        slots: 8,
        phase,
    }
}

fn show(directory: &Directory) -> String {
    let line = |e: &Endpoint| format!("{} {}.{} {:?}", e.id, e.start_time, e.seq, e.phase);
    directory.endpoints().map(line).collect::<Vec<_>>().join(", ")
}

/// Guards against a delayed heartbeat that makes a draining endpoint ready again: the heartbeat was
/// sent before the endpoint registered as draining, but arrives afterwards.
#[test]
fn delayed_heartbeat_changes_nothing() {
    let mut d = Directory::default();
    d.register_endpoint(NOW, endpoint("i", 1, 4, 80, Phase::Ready));
    d.register_endpoint(NOW, endpoint("i", 1, 6, 80, Phase::Draining));
    assert!(!d.register_endpoint(NOW, endpoint("i", 1, 5, 80, Phase::Ready)));
    insta::assert_snapshot!(show(&d), @"i 1.6 Draining");
}

/// Guards against an endpoint that receives requests again after its deregistration, because a late
/// heartbeat arrives.
#[test]
fn deregistration_is_final_until_restart() {
    let mut d = Directory::default();
    d.register_endpoint(NOW, endpoint("i", 1, 4, 80, Phase::Ready));
    d.deregister_endpoint(NOW, "i", None);
    d.register_endpoint(NOW, endpoint("i", 1, 9, 80, Phase::Ready));
    let left = show(&d);
    d.register_endpoint(NOW, endpoint("i", 2, 1, 80, Phase::Ready));
    insta::assert_snapshot!([left, show(&d)].join("\n"), @r"
    i 1.4 Gone
    i 2.1 Ready
    ");
}

/// Guards against an endpoint that receives requests after its deregistration, because the deregistration
/// arrived before any registration of that start, and a heartbeat that was sent before arrives later.
#[test]
fn deregistration_that_arrives_first_is_forgotten() {
    let later = |s| NOW + Duration::from_secs(s);
    let mut seen = Vec::new();
    let mut d = Directory::default();
    d.deregister_endpoint(NOW, "i", Some(5));
    d.register_endpoint(later(2), endpoint("i", 5, 4, 80, Phase::Ready));
    seen.push(show(&d));
    d.register_endpoint(later(3), endpoint("i", 6, 1, 80, Phase::Ready));
    seen.push(show(&d));
    // The start that deregisters is not known here, an earlier one is.
    d.deregister_endpoint(later(4), "i", Some(7));
    d.register_endpoint(later(5), endpoint("i", 7, 1, 80, Phase::Ready));
    seen.push(show(&d));
    let copy = directory::Records {
        endpoints: vec![endpoint("i", 7, 2, 80, Phase::Ready)],
        hosts: Vec::new(),
    };
    d.merge(later(6), copy);
    seen.push(show(&d));
    insta::assert_snapshot!(seen.join("\n"), @r"

    i 6.1 Ready
    i 6.1 Gone
    i 6.1 Gone
    ");
}

/// Guards against a restarted endpoint with the same id that is ignored because its sequence
/// numbers are lower than before the restart.
#[test]
fn restart_under_the_same_id() {
    let mut d = Directory::default();
    d.register_endpoint(NOW, endpoint("i", 1, 50, 80, Phase::Draining));
    d.register_endpoint(NOW, endpoint("i", 2, 1, 80, Phase::Ready));
    d.register_endpoint(NOW, endpoint("i", 1, 51, 80, Phase::Draining));
    assert!(
        d.deregister_endpoint(NOW, "i", Some(1)).is_none(),
        "a deregistration of the earlier start"
    );
    insta::assert_snapshot!(show(&d), @"i 2.1 Ready");
}

/// Guards against two endpoints with the same address: only the one that started last stays, even
/// if a delayed heartbeat of the earlier one arrives afterwards.
#[test]
fn address_belongs_to_the_latest_start() {
    let mut d = Directory::default();
    d.register_endpoint(NOW, endpoint("old", 1, 1, 80, Phase::Ready));
    d.register_endpoint(NOW, endpoint("new", 2, 1, 80, Phase::Ready));
    d.register_endpoint(NOW, endpoint("old", 1, 2, 80, Phase::Ready));
    let known = show(&d);
    let mut d = Directory::default();
    d.register_endpoint(NOW, endpoint("new", 2, 1, 80, Phase::Ready));
    d.register_endpoint(NOW, endpoint("old", 1, 2, 80, Phase::Ready));
    insta::assert_snapshot!([known, show(&d)].join("\n"), @r"
    new 2.1 Ready, old 1.1 Gone
    new 2.1 Ready, old 1.2 Gone
    ");
}

/// Guards against directories that differ permanently after receiving the same updates in different
/// orders.
#[test]
fn merge_order_does_not_matter() {
    let registrations = [
        endpoint("a", 1, 1, 80, Phase::Ready),
        endpoint("a", 1, 3, 80, Phase::Draining),
        endpoint("b", 5, 1, 80, Phase::Ready),
        endpoint("c", 2, 1, 81, Phase::Ready),
        endpoint("c", 2, 2, 81, Phase::Gone),
        endpoint("c", 4, 1, 81, Phase::Ready),
    ];
    let orders = [[0, 1, 2, 3, 4, 5], [5, 4, 3, 2, 1, 0], [2, 0, 5, 1, 3, 4], [3, 5, 4, 1, 0, 2]];
    // Sequence numbers of registrations that changed nothing may differ; the digest ignores them.
    let show = |d: &Directory| {
        let line = |e: &Endpoint| format!("{} {} {:?}", e.id, e.start_time, e.phase);
        d.endpoints().map(line).collect::<Vec<_>>().join(", ")
    };
    let seen = orders.map(|order| {
        let mut d = Directory::default();
        for at in order {
            let endpoints = vec![registrations[at].clone()];
            d.merge(NOW, directory::Records { endpoints, hosts: Vec::new() });
        }
        show(&d)
    });
    insta::assert_snapshot!(seen.join("\n"), @r"
    a 1 Gone, b 5 Ready, c 4 Ready
    a 1 Gone, b 5 Ready, c 4 Ready
    a 1 Gone, b 5 Ready, c 4 Ready
    a 1 Gone, b 5 Ready, c 4 Ready
    ");
}

/// Guards against a digest that changes with every heartbeat, which would make hosts copy the whole
/// directory all the time.
#[test]
fn digest_ignores_sequence_numbers() {
    let mut d = Directory::default();
    d.register_endpoint(NOW, endpoint("i", 1, 4, 80, Phase::Ready));
    let before = d.digest();
    d.register_endpoint(NOW, endpoint("i", 1, 5, 80, Phase::Ready));
    assert_eq!(d.digest(), before);
    d.register_endpoint(NOW, endpoint("i", 1, 6, 80, Phase::Draining));
    assert_ne!(d.digest(), before);
}

fn host(link: &str, start_time: u64, seq: u64) -> directory::Host {
    directory::Host {
        name: format!("name-{link}").into(),
        link: link.into(),
        role: settings::Role::Entry,
        domain: "d".into(),
        start_time,
        seq,
        replica: None,
        silent: false,
    }
}

fn hosts(d: &Directory) -> String {
    let line = |h: &directory::Host| format!("{} {}.{}", h.link, h.start_time, h.seq);
    d.hosts(settings::Role::Entry).map(line).collect::<Vec<_>>().join(", ")
}

const MINUTES: Duration = Duration::from_secs(150);

/// Guards against an entry that drops every endpoint after a minute, since it receives only changes
/// and not each heartbeat.
#[test]
fn unchanged_records_stay() {
    let mut d = Directory::default();
    d.register_host(NOW, host("own", 1, 0));
    let records = directory::Records {
        endpoints: vec![endpoint("i", 1, 4, 80, Phase::Ready)],
        hosts: vec![host("h", 1, 1)],
    };
    d.merge(NOW, records);
    d.remove_expired(MINUTES);
    insta::assert_snapshot!([show(&d), hosts(&d)].join("\n"), @r"
    i 1.4 Ready
    h 1.1, own 1.0
    ");
}

/// Guards against endpoints and hosts that have failed but stay in every directory, and against a
/// control host without network that removes records from hosts that still receive heartbeats.
#[test]
fn silent_records_expire_unless_heard_elsewhere() {
    let (mut cut, mut other, mut entry) =
        (Directory::default(), Directory::default(), Directory::default());
    for d in [&mut cut, &mut other, &mut entry] {
        d.register_endpoint(NOW, endpoint("i", 1, 4, 80, Phase::Ready));
        d.register_endpoint(NOW, endpoint("lost", 1, 4, 81, Phase::Ready));
        d.register_endpoint(NOW, endpoint("drains", 1, 4, 82, Phase::Draining));
        d.register_host(NOW, host("h", 1, 1));
    }
    let heard = Duration::from_secs(60);
    other.register_endpoint(heard, endpoint("i", 1, 60, 80, Phase::Ready));
    other.register_host(heard, host("h", 1, 120));
    let later = Duration::from_secs(70);
    let marked = cut.mark_silent(later, "own");
    let mut seen = vec![show(&cut)];
    other.mark_silent(later, "own");
    other.merge(later, marked.clone());
    seen.push(show(&other));
    entry.merge(later, marked);
    seen.push(show(&entry));
    assert_ne!(entry.digest(), other.digest(), "the entry asks for what it lacks");
    entry.merge(later, other.records());
    seen.push(format!("{}; {}", show(&entry), hosts(&entry)));
    assert_eq!(entry.digest(), other.digest());
    entry.remove_expired(MINUTES);
    seen.push(show(&entry));
    insta::assert_snapshot!(seen.join("\n"), @r"
    drains 1.4 Gone, i 1.4 Silent, lost 1.4 Silent
    drains 1.4 Gone, i 1.60 Ready, lost 1.4 Silent
    drains 1.4 Gone, i 1.4 Silent, lost 1.4 Silent
    drains 1.4 Gone, i 1.60 Ready, lost 1.4 Silent; h 1.120
    i 1.60 Ready
    ");
}

/// Guards against a host that is ignored after a restart because its clock was set back.
#[test]
fn restart_after_the_clock_was_set_back() {
    let mut d = Directory::default();
    d.register_host(NOW, host("h", 5_000, 90));
    d.register_host(Duration::from_secs(9), host("h", 3_000, 1));
    let now = Duration::from_secs(10);
    let present = d.present_hosts(now, settings::Role::Entry).count();
    insta::assert_snapshot!(format!("{} present={present}", hosts(&d)), @"h 3000.1 present=1");
}

//! Order of statements in the directory.

use basilfield::fleet::directory;
use directory::Directory;
use directory::Endpoint;
use directory::Phase;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn endpoint(id: &str, born: u64, seq: u64, port: u16, phase: Phase) -> Endpoint {
    Endpoint {
        id: id.into(),
        born,
        seq,
        service: "a".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "d".into(),
        slots: 8,
        phase,
    }
}

fn show(directory: &Directory) -> String {
    let line = |e: &Endpoint| format!("{} {}.{} {:?}", e.id, e.born, e.seq, e.phase);
    directory.endpoints().map(line).collect::<Vec<_>>().join(", ")
}

/// Guards against a heartbeat that was under way while its sender announced that it drains.
#[test]
fn late_statement_changes_nothing() {
    let mut d = Directory::default();
    d.note_endpoint(NOW, endpoint("i", 1, 4, 80, Phase::Ready));
    d.note_endpoint(NOW, endpoint("i", 1, 6, 80, Phase::Draining));
    assert!(!d.note_endpoint(NOW, endpoint("i", 1, 5, 80, Phase::Ready)));
    insta::assert_snapshot!(show(&d), @"i 1.6 Draining");
}

/// Guards against an endpoint that takes requests again after it has said that it leaves.
#[test]
fn farewell_is_final_for_one_start() {
    let mut d = Directory::default();
    d.note_endpoint(NOW, endpoint("i", 1, 4, 80, Phase::Ready));
    d.leave(NOW, "i", None);
    d.note_endpoint(NOW, endpoint("i", 1, 9, 80, Phase::Ready));
    let left = show(&d);
    d.note_endpoint(NOW, endpoint("i", 2, 1, 80, Phase::Ready));
    insta::assert_snapshot!([left, show(&d)].join("\n"), @r"
    i 1.4 Gone
    i 2.1 Ready
    ");
}

/// Guards against numbers of an earlier start that hide a restarted endpoint under the same id.
#[test]
fn restart_under_the_same_id() {
    let mut d = Directory::default();
    d.note_endpoint(NOW, endpoint("i", 1, 50, 80, Phase::Draining));
    d.note_endpoint(NOW, endpoint("i", 2, 1, 80, Phase::Ready));
    d.note_endpoint(NOW, endpoint("i", 1, 51, 80, Phase::Draining));
    assert!(d.leave(NOW, "i", Some(1)).is_none(), "a farewell of the earlier start");
    insta::assert_snapshot!(show(&d), @"i 2.1 Ready");
}

/// Guards against two endpoints at one address: the one that started last has it, also when a
/// delayed heartbeat of the earlier one arrives afterwards.
#[test]
fn address_passes_to_the_latest() {
    let mut d = Directory::default();
    d.note_endpoint(NOW, endpoint("old", 1, 1, 80, Phase::Ready));
    d.note_endpoint(NOW, endpoint("new", 2, 1, 80, Phase::Ready));
    d.note_endpoint(NOW, endpoint("old", 1, 2, 80, Phase::Ready));
    let known = show(&d);
    let mut d = Directory::default();
    d.note_endpoint(NOW, endpoint("new", 2, 1, 80, Phase::Ready));
    d.note_endpoint(NOW, endpoint("old", 1, 2, 80, Phase::Ready));
    insta::assert_snapshot!([known, show(&d)].join("\n"), @r"
    new 2.1 Ready, old 1.1 Gone
    new 2.1 Ready, old 1.2 Gone
    ");
}

/// Guards against directories that differ for good after their updates took different ways.
#[test]
fn copies_agree_whatever_the_order() {
    let statements = [
        endpoint("a", 1, 1, 80, Phase::Ready),
        endpoint("a", 1, 3, 80, Phase::Draining),
        endpoint("b", 5, 1, 80, Phase::Ready),
        endpoint("c", 2, 1, 81, Phase::Ready),
        endpoint("c", 2, 2, 81, Phase::Gone),
        endpoint("c", 4, 1, 81, Phase::Ready),
    ];
    let orders = [[0, 1, 2, 3, 4, 5], [5, 4, 3, 2, 1, 0], [2, 0, 5, 1, 3, 4], [3, 5, 4, 1, 0, 2]];
    // Numbers of statements that changed nothing may differ, as in the digest.
    let show = |d: &Directory| {
        let line = |e: &Endpoint| format!("{} {} {:?}", e.id, e.born, e.phase);
        d.endpoints().map(line).collect::<Vec<_>>().join(", ")
    };
    let seen = orders.map(|order| {
        let mut d = Directory::default();
        for at in order {
            let endpoints = vec![statements[at].clone()];
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

/// Guards against a digest that changes with every heartbeat, for which hosts would copy their
/// whole directory all the time.
#[test]
fn digest_ignores_numbers() {
    let mut d = Directory::default();
    d.note_endpoint(NOW, endpoint("i", 1, 4, 80, Phase::Ready));
    let before = d.digest();
    d.note_endpoint(NOW, endpoint("i", 1, 5, 80, Phase::Ready));
    assert_eq!(d.digest(), before);
    d.note_endpoint(NOW, endpoint("i", 1, 6, 80, Phase::Draining));
    assert_ne!(d.digest(), before);
}

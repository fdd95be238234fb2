//! Which quarantined causes a host knows from the disks of control hosts, in simulated time.
//!
//! Designed for the loss of power at all hosts at any moment: while changes are being committed,
//! replicas are silent or cut off, and replicas that lost their disks are being replaced.

mod network;

use basilfield::fleet::control_state;
use basilfield::fleet::ledger;
use basilfield::fleet::quarantine;
use basilfield::fleet::stored;
use basilfield::replica;
use basilfield::replica::StateMachine as _;
use control_state::Command;
use control_state::ControlState;
use network::Network;
use quarantine::Cause;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use stored::Report;
use stored::Reports;

const HOSTS: usize = 5;
/// Different parts that become bad in one run. The control group remembers far more.
const PARTS: u64 = 12;

/// Command that quarantines a part.
fn quarantine_part(part: u64) -> Vec<u8> {
    let request = |key| quarantine::RequestCauses { key, causes: vec![Cause::Part(part)] };
    let crash = |n: u64| {
        let endpoint = format!("i-{part}-{n}").into();
        let (start_time, broken_at) = (n, 1 + n * 1_000);
        quarantine::Crash { endpoint, start_time, broken_at, requests: vec![request(n)] }
    };
    ledger::encode(&Command::RecordCrashes((0..3).map(crash).collect()))
}

fn clear_part(part: u64) -> Vec<u8> {
    ledger::encode(&Command::ClearCauses(vec![Cause::Part(part)]))
}

/// Causes that are quarantined after these entries.
fn causes<'a>(entries: impl IntoIterator<Item = &'a replica::Entry>) -> Vec<Cause> {
    let mut state = ControlState::default();
    for entry in entries {
        if let replica::Payload::Command(command) = &entry.payload {
            state.apply(entry.index, command);
        }
    }
    state.quarantine.summary().quarantined.iter().map(|q| q.cause).collect()
}

fn report(net: &Network, at: usize) -> Option<Report> {
    Report::new(net.hosts[at].id, &net.hosts[at].disk, |_| false)
}

/// Causes known from the disks of some hosts; `None` if these do not suffice.
fn known(net: &Network, hosts: impl IntoIterator<Item = usize>) -> Option<Vec<Cause>> {
    let mut reports = Reports::default();
    hosts.into_iter().filter_map(|at| report(net, at)).for_each(|r| reports.record(r));
    Some(reports.quarantined()?.iter().map(|q| q.cause).collect())
}

/// Replaces the disk of a host, if the group is complete.
fn lose_disk(net: &mut Network, at: usize) {
    if net.is_complete() {
        net.kill(at, 0);
        net.wipe(at);
        net.start(at);
    }
}

/// One random fault or change.
fn disturb(net: &mut Network, rng: &mut ChaCha8Rng) {
    let at = rng.random_range(0..HOSTS);
    match rng.random_range(0..12) {
        0..5 => {
            let part = rng.random_range(0..PARTS);
            let command = if rng.random() { quarantine_part(part) } else { clear_part(part) };
            // Replicas that wrongly act as leader get it too.
            for at in 0..HOSTS {
                net.propose(at, command.clone());
            }
        }
        5 => {
            net.tick_without_flush();
            net.kill(at, rng.random_range(0..6));
            (0..HOSTS).for_each(|other| net.flush(other));
        }
        6 => lose_disk(net, at),
        7 => net.hosts[at].frozen = true,
        8 => net.isolate(at, true),
        9 => {
            net.faults = network::Faults {
                loss: rng.random_range(0..30),
                duplicate: rng.random_range(0..20),
                delay: rng.random_range(1..10),
            };
        }
        _ => {
            net.hosts[at].frozen = false;
            net.isolate(at, false);
            net.start(at);
        }
    }
    net.run(rng.random_range(1..40));
}

/// Guards against a quarantined cause that a host does not know of although it takes the reports of
/// some control hosts for complete: with entries that are not committed, removed and replaced
/// replicas, learners and lost disks.
#[test]
fn sufficient_reports_name_every_committed_cause() {
    let (mut sufficient, mut insufficient) = (0, 0);
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut net = Network::new(HOSTS, seed);
        net.managed = true;
        for _ in 0..60 {
            disturb(&mut net, &mut rng);
            let committed = causes(net.history.values());
            for _ in 0..4 {
                let hosts: Vec<usize> = (0..HOSTS).filter(|_| rng.random_bool(0.7)).collect();
                match known(&net, hosts.iter().copied()) {
                    Some(known) => {
                        let missing: Vec<_> =
                            committed.iter().filter(|c| !known.contains(c)).collect();
                        assert!(missing.is_empty(), "seed {seed}, hosts {hosts:?}: {missing:?}");
                        sufficient += 1;
                    }
                    None => insufficient += 1,
                }
            }
        }
    }
    assert!(sufficient > 10_000 && insufficient > 1_000, "{sufficient}, {insufficient}");
}

/// Guards against a majority of the control hosts that does not suffice, and against fewer that do.
#[test]
fn majority_of_voters_suffices() {
    let mut net = Network::new(HOSTS, 1);
    net.managed = true;
    net.commit(quarantine_part(7));
    net.run(50);
    let seen: Vec<bool> = (0..=HOSTS).map(|count| known(&net, 0..count).is_some()).collect();
    assert_eq!(seen, [false, false, false, true, true, true]);
    assert_eq!(known(&net, 2..HOSTS), Some(vec![Cause::Part(7)]));
}

/// Guards against a removed replica that is counted as a voter, as its own log still says.
#[test]
fn removed_replica_does_not_count() {
    let mut net = Network::new(HOSTS, 2);
    net.managed = true;
    net.commit(quarantine_part(7));
    net.run(50);
    let former = report(&net, 4).expect("not blank");
    lose_disk(&mut net, 4);
    net.run(400);
    assert!(net.is_complete());
    net.commit(quarantine_part(8));
    let mut reports = Reports::default();
    reports.record(former);
    (0..2).filter_map(|at| report(&net, at)).for_each(|r| reports.record(r));
    assert_eq!(reports.quarantined(), None);
}

/// Command that puts a document in force.
fn put(version: u64) -> Vec<u8> {
    let document = control_state::Document { version, text: "{}".into() };
    ledger::encode(&Command::Put(document))
}

/// Guards against an entry that takes an older configuration for the current one after a restart, and
/// then serves a key that a committed one has revoked.
#[test]
fn version_covers_every_committed_document() {
    let mut net = Network::new(HOSTS, 5);
    net.managed = true;
    net.commit(put(4));
    net.run(50);
    let leader = net.await_leader();
    // The hosts that are cut off hold version 4 only.
    let mut others = (0..HOSTS).filter(|at| *at != leader);
    let (a, b) = (others.next().expect("host"), others.next().expect("host"));
    net.isolate(a, true);
    net.isolate(b, true);
    net.commit(put(9));
    let version = |hosts: &[usize]| {
        let mut reports = Reports::default();
        hosts.iter().filter_map(|at| report(&net, *at)).for_each(|r| reports.record(r));
        reports.version()
    };
    let c = others.next().expect("host");
    let seen = [version(&[a, b]), version(&[a, b, c]), version(&[a, leader, c])];
    assert_eq!(seen, [None, Some(9), Some(9)]);
}

/// Guards against an entry that may be lost and releases a cause whose quarantine is committed, and
/// against causes that stay after the first confirmed state does not name them.
#[test]
fn uncommitted_entries_release_nothing() {
    let mut net = Network::new(HOSTS, 3);
    net.managed = true;
    net.commit(quarantine_part(7));
    net.run(50);
    let leader = net.await_leader();
    net.isolate(leader, true);
    net.propose(leader, clear_part(7));
    net.propose(leader, quarantine_part(8));
    net.flush(leader);
    let others = (0..HOSTS).filter(|at| *at != leader).take(2);
    let both = vec![Cause::Part(7), Cause::Part(8)];
    assert_eq!(known(&net, others.clone().chain([leader])), Some(both.clone()));
    let (mut watch, now) = (quarantine::Watch::default(), Duration::from_secs(1));
    let mut seen = Vec::new();
    for at in others.chain([leader]) {
        let is_complete = watch.record_stored(now, report(&net, at).expect("not blank"));
        seen.push((is_complete, watch.is_usable(now)));
    }
    assert_eq!(seen, [(false, false), (false, false), (true, true)]);
    assert!(both.iter().all(|cause| !watch.is_free(&[*cause])));
    let mut state = ControlState::default();
    state.apply(1, &quarantine_part(7));
    // The state that a control host has applied so far releases nothing, the confirmed one does.
    let applied = state.quarantine.summary();
    watch.apply(now, &applied);
    assert!(both.iter().all(|cause| !watch.is_free(&[*cause])));
    watch.apply(now, &quarantine::Summary { confirmed: true, ..applied });
    let free: Vec<bool> = both.iter().map(|cause| watch.is_free(&[*cause])).collect();
    assert_eq!(free, [false, true]);
}

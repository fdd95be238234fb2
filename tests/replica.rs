//! Elections, replication, reads and snapshots of replicas on a well-behaved network.

mod network;

use basilfield::replica::Role;
use network::Network;

/// Guards against a single member that waits for others.
#[test]
fn one_member_commits_alone() {
    let mut net = Network::new(1, 1);
    net.form();
    net.commit("a");
    net.kill(0, 0);
    net.start(0);
    net.commit("b");
    net.check_converged();
    assert_eq!(net.hosts[0].ledger.commands.len(), 2);
}

/// Guards against a group that does not survive its leader, or a returning host left behind.
#[test]
fn three_members_survive_leader() {
    let mut net = Network::new(3, 1);
    let first = net.form();
    for n in 0..50 {
        net.commit(format!("{n}"));
    }
    net.kill(first, 0);
    let second = net.await_leader();
    assert_ne!(first, second);
    net.commit("after");
    net.start(first);
    net.run(100);
    net.check_converged();
}

/// Guards against replicas that act before they have a membership.
#[test]
fn blank_replicas_wait() {
    let mut net = Network::new(3, 1);
    net.run(500);
    assert!(
        net.hosts.iter().all(|h| h.replica.as_ref().is_some_and(|r| r.role() == Role::Forming))
    );
    assert!(net.hosts.iter().all(|h| h.disk.blank() && h.disk.hard.term == 0));
}

/// Guards against a follower that cannot catch up once the leader has truncated its log.
#[test]
fn snapshot_reaches_follower() {
    let mut net = Network::new(3, 1);
    net.compaction = 1000;
    let leader = net.form();
    let behind = (leader + 1) % 3;
    net.kill(behind, 0);
    for n in 0..6000 {
        net.propose(leader, vec![n as u8; 100]);
        if n % 100 == 0 {
            net.tick();
        }
    }
    net.run(100);
    net.start(behind);
    net.run(200);
    assert_eq!(net.installed, 1);
    net.check_converged();
}

/// Guards against reads that are answered without a quorum, or never.
#[test]
fn reads_need_a_quorum() {
    let mut net = Network::new(3, 1);
    let leader = net.form();
    net.commit("a");
    let read = net.read(leader);
    net.run(10);
    assert!(net.requests.readable.contains(&read));
    net.isolate(leader, true);
    let read = net.read(leader);
    net.run(100);
    assert!(net.requests.refused.contains_key(&read));
}

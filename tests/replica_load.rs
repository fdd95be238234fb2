//! Load of the links between the replicas of a group, in simulated time.

mod network;

use basilfield::replica::Role;
use network::Network;

/// Bytes of a command.
const COMMAND_BYTES: usize = 64 << 10;

/// Bytes of entries that a host has sent to the one that received most of them.
fn most_sent(net: &Network, from: usize) -> u64 {
    let id = net.hosts[from].id;
    let sent = net.links.sent.iter().filter(|((sender, _), _)| *sender == id);
    sent.map(|(_, bytes)| *bytes).max().unwrap_or(0)
}

/// Guards against entries that are sent again on a slow link before they can arrive, so that the
/// link carries little else and the group does not catch up once the load is over.
#[test]
fn slow_link_carries_entries_once() {
    let mut net = Network::new(5, 1);
    let leader = net.form();
    net.run(20);
    net.links.rate = 2 << 20;
    net.links.sent.clear();
    let mut tokens = Vec::new();
    // The load is twice what a link carries for two seconds.
    for _ in 0..20 {
        for _ in 0..6 {
            tokens.push(net.propose(leader, vec![1; COMMAND_BYTES]));
        }
        net.run(10);
    }
    let bytes = (tokens.len() * COMMAND_BYTES) as u64;
    net.run(300);
    let done = tokens.iter().filter(|t| net.requests.committed.contains(t)).count();
    let leads = net.hosts[leader].replica.as_ref().map(|r| r.role());
    assert_eq!((done, leads), (tokens.len(), Some(Role::Leader)), "all are committed");
    let sent = most_sent(&net, leader);
    assert!(sent < bytes * 11 / 10, "{sent} bytes are sent for {bytes}");
}

/// Guards against entries on a closed connection that are sent again only after a long time.
#[test]
fn closed_connection_repeats_entries_at_once() {
    let mut net = Network::new(3, 1);
    let leader = net.form();
    net.run(20);
    let followers: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    let token = net.propose(leader, vec![1; COMMAND_BYTES]);
    net.flush(leader);
    for to in &followers {
        net.reset_connection(leader, *to);
    }
    net.run(3);
    assert!(net.requests.committed.contains(&token), "committed within three ticks");
}

/// Guards against entries that are sent again although only their acknowledgement was lost.
#[test]
fn lost_acknowledgement_does_not_repeat_entries() {
    let mut net = Network::new(3, 1);
    let leader = net.form();
    net.run(20);
    net.links.sent.clear();
    let token = net.propose(leader, vec![1; COMMAND_BYTES]);
    net.run(2);
    for from in (0..3).filter(|at| *at != leader) {
        net.reset_connection(from, leader);
    }
    net.run(30);
    assert!(net.requests.committed.contains(&token), "committed");
    let sent = most_sent(&net, leader);
    assert!(sent < COMMAND_BYTES as u64 * 11 / 10, "{sent} bytes are sent for {COMMAND_BYTES}");
}

/// Guards against a follower that is sent entries while it answers no heartbeat, and against one
/// that waits long for entries once it answers again.
#[test]
fn silent_follower_is_sent_nothing() {
    let mut net = Network::new(3, 1);
    let leader = net.form();
    net.run(20);
    let silent = (leader + 1) % 3;
    net.isolate(silent, true);
    net.run(40);
    net.links.sent.clear();
    for _ in 0..100 {
        net.propose(leader, vec![1; COMMAND_BYTES]);
        net.run(5);
    }
    let pair = (net.hosts[leader].id, net.hosts[silent].id);
    assert_eq!(net.links.sent.get(&pair), None, "nothing is sent while it is silent");
    net.isolate(silent, false);
    net.run(100);
    net.check_converged();
}

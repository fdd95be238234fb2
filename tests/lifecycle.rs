//! Lifecycles of agents and entries.

use basilfield::lifecycle;
use lifecycle::Agent;
use lifecycle::Entry;
use lifecycle::Lifecycle;
use lifecycle::Node;
use lifecycle::Phase;

/// Guards against a graceful stop that completes before the last request has ended.
#[test]
fn stopping_node_leaves_with_its_last_request() {
    let node: Node<Agent, _> = Node::new("a1".into());
    let mut life: Lifecycle<Agent> = node.registered(7).into();
    for _ in 0..2 {
        life.admit().expect("serving");
    }
    life = life.stop();
    assert_eq!((life.phase(), life.admit()), (Phase::Draining, Err(Phase::Draining)));
    life = life.end_request();
    assert_eq!(life.phase(), Phase::Draining);
    life = life.stop();
    assert_eq!(life.phase(), Phase::Draining, "a repeated stop aborts no request");
    life = life.end_request();
    assert_eq!((life.phase(), life.admit()), (Phase::Left, Err(Phase::Left)));
}

/// Guards against a node that admits requests before it has joined, and against one that never
/// leaves when it is stopped without a running request.
#[test]
fn joining_node_admits_nothing_and_stops_at_once() {
    let mut life: Lifecycle<Entry> = Node::<Entry, _>::new("n1".into()).into();
    assert_eq!(life.admit(), Err(Phase::Joining));
    assert_eq!(life.stop().phase(), Phase::Left);
    let idle: Lifecycle<Entry> = Node::<Entry, _>::new("n1".into()).confirmed(3).into();
    assert_eq!(idle.stop().phase(), Phase::Left);
}

/// Guards against a rejoin that drops the count of running requests, so that a later stop would
/// abort them.
#[test]
fn rejoin_keeps_running_requests() {
    let mut serving = Node::<Agent, _>::new("a1".into()).registered(7);
    serving.admit();
    serving.admit();
    let mut joining = serving.rejoin();
    joining.end_request();
    let life: Lifecycle<Agent> = Lifecycle::from(joining).stop();
    assert_eq!(life.phase(), Phase::Draining);
    let serving = Node::<Agent, _>::new("a1".into()).registered(9);
    assert_eq!((serving.revision(), serving.running()), (9, 0));
    assert_eq!(life.end_request().phase(), Phase::Left);
}

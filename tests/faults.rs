//! Online promises under faults of engines, agents, entries and connections.

mod workdir;

use rustix::process::Signal;
use std::time::Duration;
use tokio::runtime::Runtime;
use workdir::Fleet;
use workdir::online;
use workdir::relay::Fate;
use workdir::relay::Relay;

const SECOND: Duration = Duration::from_secs(1);
/// Time that an undisturbed request may take: 30 tokens take 0.4 s, the rest is the busy machine.
/// Any wait for a lost peer takes a second or more on top.
const UNDISTURBED: Duration = Duration::from_millis(1_300);
fn runtime() -> Runtime {
    Runtime::new().expect("runtime")
}

/// Applies a fault at 1 s of a load and checks that every answer is whole, and that requests
/// which begin 3 s after the fault are not delayed.
fn survives(agents: usize, fault: impl FnOnce(&mut Fleet)) {
    let mut fleet = Fleet::start(workdir::Size { states: 1, entries: 1, agents });
    fleet.create_workspace();
    let runtime = runtime();
    let load = online::load(fleet.url(0), 9, Duration::from_millis(70), 6 * SECOND);
    let load = runtime.spawn(load);
    std::thread::sleep(SECOND);
    fault(&mut fleet);
    let calls = runtime.block_on(load).expect("load");
    let bad: Vec<String> = calls
        .iter()
        .filter_map(|c| c.check().err().map(|e| format!("{} at {:?}: {e}", c.content, c.start)))
        .collect();
    assert!(
        bad.is_empty(),
        "{} of {} lost: {bad:#?}\n{}",
        bad.len(),
        calls.len(),
        fleet.log("entry-0")
    );
    let late: Vec<String> = calls
        .iter()
        .filter(|c| c.start > 4 * SECOND)
        .map(|c| (c, c.reply.as_ref().expect("checked").took))
        .filter(|(_, took)| *took > UNDISTURBED)
        .map(|(c, took)| format!("{} at {:?} took {took:?}", c.content, c.start))
        .collect();
    assert!(late.is_empty(), "{late:#?}\n{}", fleet.log("entry-0"));
    assert!(fleet.log("entry-0").contains("stream resumed elsewhere"), "some stream was resumed");
}

/// Guards against requests that are lost or wait at an engine that accepts them and never answers.
#[test]
fn frozen_engine() {
    survives(3, |fleet| fleet.signal("engine-0", Signal::STOP));
}

/// Guards against requests that are lost or wait for an agent that holds its connections open.
#[test]
fn frozen_agent() {
    survives(3, |fleet| fleet.signal("agent-0", Signal::STOP));
}

/// Guards against requests that are lost or wait for an agent that no longer exists.
#[test]
fn killed_agent() {
    survives(3, |fleet| fleet.kill("agent-0"));
}

/// Agent whose entries reach it through a relay.
fn start_behind_relay(fleet: &mut Fleet, runtime: &Runtime, at: usize) -> Relay {
    let listen = workdir::free_udp();
    let relay = runtime.block_on(Relay::start(listen));
    fleet.start_agent_at(at, listen, Some(relay.addr));
    relay
}

/// Guards against a connection that is used on although it went silent: a new one from a new
/// source port replaces it within 2 s, and no answer is lost or cut off without an error.
#[test]
fn silent_flow() {
    let runtime = runtime();
    let mut fleet = Fleet::prepare(1);
    fleet.start_state(0);
    let relay = start_behind_relay(&mut fleet, &runtime, 0);
    fleet.start_agent(1);
    fleet.start_entry(0);
    (0..2).for_each(|at| {
        fleet.start_engine(at, &[]);
    });
    fleet.await_endpoints(0, 2);
    fleet.create_workspace();
    let load = online::load(fleet.url(0), 8, Duration::from_millis(70), 5 * SECOND);
    let load = runtime.spawn(load);
    std::thread::sleep(SECOND);
    let before = relay.sources();
    assert!(before > 0, "the flow is established");
    relay.set(Fate::DropBoth);
    let silent = std::time::Instant::now();
    fleet.until("a new flow is established", || relay.sources() > before);
    let detected = silent.elapsed();
    // The sampling and the next request that needs the agent come on top of the detection.
    assert!(detected < Duration::from_millis(2_200), "detected after {detected:?}");
    let calls = runtime.block_on(load).expect("load");
    for call in &calls {
        let reply = call.reply.as_ref().expect("answer");
        let ended = call.stream && reply.body.contains("event: error");
        let silent_now = call.start < 3 * SECOND;
        let explained = ended && silent_now && !reply.body.contains("[DONE]");
        let checked = call.check();
        assert!(explained || checked.is_ok(), "{} {checked:?}", call.content);
        let late = call.start > 4 * SECOND && reply.took > UNDISTURBED;
        assert!(!late, "{} at {:?} took {:?}", call.content, call.start, reply.took);
    }
}

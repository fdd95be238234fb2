//! Tests of the router and the limits of workspaces, with scenarios under
//! `tests/scenarios/router/` and subsets of a large fleet.

mod router_script;

use basilfield::router;
use router::limits;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

fn scenario(name: &str) {
    let path = format!("tests/scenarios/router/{name}");
    goldenscript::run(&mut router_script::Script::new(), path)
        .expect("scenario output should match its golden file");
}

/// Guards against the ejection of every endpoint, and against endpoints that are never re-admitted.
#[test]
fn ejection_cap() {
    scenario("ejection_cap");
}

/// Guards against retries that multiply the load during an outage.
#[test]
fn retry_budget() {
    scenario("retry_budget");
}

/// Guards against requests that are sent to an endpoint that no longer answers.
#[test]
fn frozen_endpoint() {
    scenario("frozen_endpoint");
}

/// Guards against repeated ejection of an endpoint whose answers take longer than the stall
/// timeout.
#[test]
fn slow_service() {
    scenario("slow_service");
}

/// Guards against uneven load, also where prefix affinity causes it.
#[test]
fn load_and_affinity() {
    scenario("load_and_affinity");
}

/// Guards against requests that are sent although they cannot meet their deadline.
#[test]
fn early_refusal() {
    scenario("early_refusal");
}

/// Guards against a workspace that exceeds its limits.
#[test]
fn workspace_limits() {
    scenario("workspace_limits");
}

/// Guards against panics on extreme values in a reply.
#[test]
fn extreme_values() {
    let mut router = router_script::router(router::Config::default(), "e1");
    router.set_candidates(fleet());
    let query = router::Query {
        model: "m0".into(),
        prefix: u64::MAX,
        deadline: Duration::MAX,
        tried: Vec::new(),
    };
    let now = Duration::from_secs(1);
    let agent = router.pick(now, &query).expect("an endpoint serves m0").agent;
    let load = router::Observation::Load { queued: u32::MAX, running: u32::MAX };
    router.observe(now, &agent, load);
    let reason = basilfield::wire::Reason::QueueFull;
    router.observe(now, &agent, router::Observation::Refused { reason, retry: Duration::MAX });
    assert_ne!(router.pick(now, &query).expect("others serve m0").agent, agent);
}

/// Fleet of the target scale: 1,100 agents in 3 regions with 7 failure domains.
fn fleet() -> Vec<router::Candidate> {
    (0..1100)
        .map(|n| router::Candidate {
            agent: format!("agent-{n}").into(),
            domain: format!("d{}", n % 7).into(),
            region: format!("r{}", n % 7 % 3).into(),
            models: vec![format!("m{}", n % 3).into()],
            slots: 32,
        })
        .collect()
}

fn subset(entry: &str, fleet: &[router::Candidate]) -> BTreeSet<Arc<str>> {
    let mut router = router_script::router(router::Config::default(), entry);
    router.set_candidates(fleet.to_vec());
    router.subset().cloned().collect()
}

/// Guards against subsets that change by more than one endpoint when one agent joins or leaves.
#[test]
fn subset_stability() {
    let mut fleet = fleet();
    let before = subset("e1", &fleet);
    assert_eq!(before, subset("e1", &fleet), "a subset is deterministic");
    for n in [0, 100, 500] {
        let agent = fleet.remove(n);
        let after = subset("e1", &fleet);
        assert!(before.difference(&after).count() <= 1, "leaving agent {n}");
        fleet.insert(n, agent);
    }
    let used = before.iter().next().expect("the subset is not empty").clone();
    fleet.retain(|c| c.agent != used);
    let after = subset("e1", &fleet);
    assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&used]);
    assert_eq!(after.difference(&before).count(), 1, "one agent takes the place that became free");
}

/// Guards against an entry that loses all endpoints together with its failure domain, and against
/// one that mostly uses endpoints elsewhere.
#[test]
fn subset_prefers_own_domain() {
    let fleet = fleet();
    let chosen = subset("e1", &fleet);
    let domains: Vec<&str> =
        fleet.iter().filter(|c| chosen.contains(&c.agent)).map(|c| &*c.domain).collect();
    let own = domains.iter().filter(|d| **d == "d0").count();
    assert_eq!((chosen.len(), own), (3 * 24, 3 * 18));
}

/// Guards against agents that are in too many subsets or in none.
#[test]
fn subsets_are_even() {
    let fleet = fleet();
    let mut uses: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for n in 0..48 {
        for agent in subset(&format!("e{n}"), &fleet) {
            *uses.entry(agent).or_default() += 1;
        }
    }
    let own = fleet.iter().filter(|c| &*c.domain == "d0");
    let own: Vec<u32> = own.map(|c| uses.get(&c.agent).copied().unwrap_or(0)).collect();
    // 48 entries use 18 of about 53 agents for each model: 16 uses on average.
    assert!(own.iter().all(|n| (5..=28).contains(n)), "{own:?}");
}

/// Guards against memory that grows with every workspace that ever sent a request.
#[test]
fn limits_forget_unused_workspaces() {
    let mut limits = limits::Limits::new(limits::Limit::default());
    for n in 0..20_000 {
        let workspace = format!("w{n}");
        let now = Duration::from_millis(n * 10);
        limits.admit(now, &workspace).expect("within the limits");
        limits.release(&workspace);
    }
    assert!(limits.len() < 2_200, "{} workspaces", limits.len());
}

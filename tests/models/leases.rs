//! Small specification of item leases with cancel across changes of leader, and the exploration of
//! such specifications.
//!
//! A specification lists every step that is possible in a state. [`explore`] visits all reachable
//! states breadth first, so the trace to a violation is as short as possible.

use pathfinding::prelude::bfs;
use std::hash::Hash;

/// Specification: a start state, steps and invariants.
pub trait Spec {
    type State: Clone + Eq + Hash;
    fn start(&self) -> Self::State;
    /// Label and resulting state of each possible step.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;
    /// Invariant that the state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Violated invariant and the steps that lead to it.
#[derive(Debug)]
pub struct Violation {
    pub invariant: &'static str,
    pub trace: Vec<String>,
}

/// Visits every reachable state and returns their number, or the first violation.
pub fn explore<S: Spec>(spec: &S) -> Result<usize, Violation> {
    let mut count = 0;
    let next = |state: &S::State| spec.steps(state).into_iter().map(|(_, next)| next);
    let path = bfs(&spec.start(), next, |state| {
        count += 1;
        spec.violation(state).is_some()
    });
    let Some(path) = path else { return Ok(count) };
    let label = |pair: &[S::State]| {
        let steps = spec.steps(&pair[0]);
        steps.into_iter().find(|(_, next)| *next == pair[1]).map(|(label, _)| label)
    };
    let trace = path.windows(2).filter_map(label).collect();
    let invariant = path.last().and_then(|state| spec.violation(state)).unwrap_or("");
    Err(Violation { invariant, trace })
}

const ITEMS: usize = 2;
const AGENTS: usize = 2;

/// Deliberate faults of the lease specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseFault {
    None,
    /// A completion is applied without a check of the item's state.
    NoCompare,
    /// The leader checks for a cancel when it proposes a completion, not when it is applied.
    CancelAtPropose,
    /// A new leader grants before the agents have announced what they hold.
    NoAnnouncements,
    /// An agent that cannot renew continues after its lease has expired.
    NoSelfStop,
    /// An agent accepts a grant of an old leader after it has announced to the new one.
    OldGrants,
}

/// Item leases with cancel.
pub struct LeaseSpec {
    pub fault: LeaseFault,
    /// Largest number of leader changes that is explored.
    pub max_changes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    /// Committed completions of each item.
    done: [u8; ITEMS],
    /// Whether a cancel was proposed, and whether it was committed.
    cancel: (bool, bool),
    /// Whether a completion was committed after the cancel.
    completed_late: bool,
    changes: u8,
    /// Lease of each item in the memory of the leader.
    leases: [Option<usize>; ITEMS],
    /// Items without a lease in the memory of an old leader that does not know of its successor.
    old_leader: Option<[bool; ITEMS]>,
    /// Agents that have announced to the leader.
    announced: [bool; AGENTS],
    /// Items that each agent runs.
    held: [[bool; ITEMS]; AGENTS],
    /// Proposed completions of each item that may still be committed.
    proposed: [u8; ITEMS],
}

impl LeaseSpec {
    fn may_grant(&self, state: &LeaseState) -> bool {
        let announced = state.announced.iter().all(|a| *a);
        announced || self.fault == LeaseFault::NoAnnouncements
    }

    fn agent_steps(&self, state: &LeaseState, steps: &mut Vec<(String, LeaseState)>) {
        for agent in 0..AGENTS {
            for item in 0..ITEMS {
                self.grant_steps(state, agent, item, steps);
                if state.held[agent][item] && state.proposed[item] < 2 {
                    let mut next = state.clone();
                    next.held[agent][item] = false;
                    let checked = self.fault == LeaseFault::CancelAtPropose && state.cancel.1;
                    next.proposed[item] += u8::from(!checked);
                    steps.push((format!("agent {agent} proposes the result of {item}"), next));
                }
                let expires = !state.held[agent][item] || self.fault == LeaseFault::NoSelfStop;
                if state.leases[item] == Some(agent) && expires {
                    let mut next = state.clone();
                    next.leases[item] = None;
                    steps.push((format!("the lease of {item} at agent {agent} expires"), next));
                }
            }
            if state.held[agent].contains(&true) {
                let mut next = state.clone();
                next.held[agent] = [false; ITEMS];
                steps.push((format!("agent {agent} stops without renewal"), next));
            }
            if !state.announced[agent] {
                steps.push((format!("agent {agent} announces"), announce(state, agent)));
            }
        }
    }

    fn grant_steps(
        &self,
        state: &LeaseState,
        agent: usize,
        item: usize,
        steps: &mut Vec<(String, LeaseState)>,
    ) {
        let open = state.done[item] == 0 && !state.cancel.1;
        if open && state.leases[item].is_none() && self.may_grant(state) {
            let mut next = state.clone();
            next.leases[item] = Some(agent);
            steps.push((format!("a grant of {item} to agent {agent} is lost"), next.clone()));
            next.held[agent][item] = true;
            steps.push((format!("the leader grants {item} to agent {agent}"), next));
        }
        let accepts = !state.announced[agent] || self.fault == LeaseFault::OldGrants;
        if let Some(mut free) = state.old_leader.filter(|free| free[item] && accepts) {
            let mut next = state.clone();
            free[item] = false;
            next.old_leader = Some(free);
            next.held[agent][item] = true;
            steps.push((format!("the old leader grants {item} to agent {agent}"), next));
        }
    }

    fn log_steps(&self, state: &LeaseState, steps: &mut Vec<(String, LeaseState)>) {
        for item in 0..ITEMS {
            if state.proposed[item] == 0 {
                continue;
            }
            let mut next = state.clone();
            next.proposed[item] -= 1;
            steps.push((format!("a proposal for {item} is lost"), next.clone()));
            let unset = state.done[item] == 0 || self.fault == LeaseFault::NoCompare;
            let runs = !state.cancel.1 || self.fault == LeaseFault::CancelAtPropose;
            if unset && runs {
                next.done[item] += 1;
                next.completed_late |= state.cancel.1;
                next.leases[item] = None;
            }
            steps.push((format!("a completion of {item} is committed"), next));
            if state.proposed[item] == 1 {
                let mut next = state.clone();
                next.proposed[item] = 2;
                steps.push((format!("the proposal for {item} is resent"), next));
            }
        }
        if !state.cancel.0 {
            let mut next = state.clone();
            next.cancel.0 = true;
            steps.push(("a cancel is proposed".into(), next));
        }
        if state.cancel == (true, false) {
            let mut next = state.clone();
            next.cancel.1 = true;
            next.leases = [None; ITEMS];
            steps.push(("the cancel is committed".into(), next));
        }
    }

    fn leader_steps(&self, state: &LeaseState, steps: &mut Vec<(String, LeaseState)>) {
        if state.changes < self.max_changes && state.old_leader.is_none() {
            let mut next = state.clone();
            next.changes += 1;
            next.leases = [None; ITEMS];
            next.announced = [false; AGENTS];
            steps.push(("the leader is lost and replaced".into(), next.clone()));
            // A leader that still waits for announcements steps down before it grants any item.
            if self.may_grant(state) {
                let open = |item: usize| state.done[item] == 0 && !state.cancel.1;
                let free = |item: usize| open(item) && state.leases[item].is_none();
                next.old_leader = Some(std::array::from_fn(free));
                steps.push(("the leader is cut off and replaced".into(), next));
            }
        }
        if state.old_leader.is_some() {
            let mut next = state.clone();
            next.old_leader = None;
            steps.push(("the old leader steps down".into(), next));
        }
        // One lease duration after the election, the old leader has stepped down and every agent
        // that could not renew has stopped.
        let silent = |agent: &usize| !state.announced[*agent];
        let stopped = (0..AGENTS).filter(silent).all(|a| !state.held[a].contains(&true));
        if stopped && state.old_leader.is_none() && state.announced.contains(&false) {
            let mut next = state.clone();
            next.announced = [true; AGENTS];
            steps.push(("the grace period ends".into(), next));
        }
    }
}

/// The agent tells the new leader which items it holds and stops those that the leader does not
/// take over.
fn announce(state: &LeaseState, agent: usize) -> LeaseState {
    let mut next = state.clone();
    next.announced[agent] = true;
    for item in 0..ITEMS {
        let open = state.done[item] == 0 && !state.cancel.1 && state.leases[item].is_none();
        if state.held[agent][item] && open {
            next.leases[item] = Some(agent);
        } else if state.leases[item] != Some(agent) {
            next.held[agent][item] = false;
        }
    }
    next
}

impl Spec for LeaseSpec {
    type State = LeaseState;

    fn start(&self) -> LeaseState {
        LeaseState {
            done: [0; ITEMS],
            cancel: (false, false),
            completed_late: false,
            changes: 0,
            leases: [None; ITEMS],
            old_leader: None,
            announced: [true; AGENTS],
            held: [[false; ITEMS]; AGENTS],
            proposed: [0; ITEMS],
        }
    }

    fn steps(&self, state: &LeaseState) -> Vec<(String, LeaseState)> {
        let mut steps = Vec::new();
        self.agent_steps(state, &mut steps);
        self.log_steps(state, &mut steps);
        self.leader_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &LeaseState) -> Option<&'static str> {
        let twice = |item: usize| state.held.iter().filter(|held| held[item]).count() > 1;
        if state.done.iter().any(|done| *done > 1) {
            return Some("at most one completion per item");
        }
        if state.completed_late {
            return Some("no completion after a committed cancel");
        }
        (0..ITEMS).any(twice).then_some("at most one live lease per item")
    }
}

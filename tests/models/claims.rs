//! Small specification of claims: entries that claim one call, agents that run attempts, and a log.
//! As with a change of leader, proposals and replies may be lost, late or repeated.

use crate::leases::Spec;

const ENTRIES: usize = 3;

/// Deliberate faults of the claim specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimFault {
    None,
    /// An entry dispatches before its claim is committed.
    DispatchFirst,
    /// A held claim passes to another attempt without a withdrawal.
    NoWithdrawal,
    /// An agent answers "never ran" but does not remember the withdrawal.
    NoTombstone,
    /// A settlement is applied even if another attempt holds the claim.
    SettleAny,
}

/// Progress of an entry. Entry `n` uses attempt `n`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Claiming,
    Claimed,
    Dispatched,
    Withdrawing(usize),
    Settling(usize),
    /// Crashed, or has its answer.
    Ended,
}

/// State of an attempt at its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Run {
    NotArrived,
    Ran,
    Withdrawn,
}

/// Committed state of the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Claim {
    Free,
    Held(usize),
    NeverRan,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimState {
    claim: Claim,
    withdrawn: [bool; ENTRIES],
    phases: [Phase; ENTRIES],
    runs: [Run; ENTRIES],
    total_runs: u8,
    /// Proposed claims, which may be committed any number of times.
    claims: [bool; ENTRIES],
    /// Proposed "never ran" settlements of attempts, which may be committed any number of times.
    settles: [bool; ENTRIES],
    /// Dispatches that have not arrived.
    dispatches: [bool; ENTRIES],
}

/// Claims of one call.
pub struct ClaimSpec {
    pub fault: ClaimFault,
}

impl ClaimSpec {
    fn entry_steps(&self, state: &ClaimState, entry: usize) -> Vec<(String, ClaimState)> {
        let mut steps = Vec::new();
        let mut step = |text: &str, change: &dyn Fn(&mut ClaimState)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((format!("entry {entry}{text}"), next));
        };
        match state.phases[entry] {
            Phase::Idle => step(" proposes its claim", &|next| {
                next.phases[entry] = Phase::Claiming;
                next.claims[entry] = true;
                next.dispatches[entry] = self.fault == ClaimFault::DispatchFirst;
            }),
            Phase::Claimed => step(" dispatches", &|next| {
                next.phases[entry] = Phase::Dispatched;
                next.dispatches[entry] = true;
            }),
            Phase::Withdrawing(attempt) => step(" withdraws the held attempt", &|next| {
                if next.runs[attempt] == Run::Ran {
                    next.phases[entry] = Phase::Ended;
                    return;
                }
                if self.fault != ClaimFault::NoTombstone {
                    next.runs[attempt] = Run::Withdrawn;
                }
                next.phases[entry] = Phase::Settling(attempt);
                next.settles[attempt] = true;
            }),
            _ => {}
        }
        if !matches!(state.phases[entry], Phase::Idle | Phase::Ended) {
            step(" is lost", &|next| next.phases[entry] = Phase::Ended);
        }
        if state.dispatches[entry] {
            step("'s dispatch arrives", &|next| {
                next.dispatches[entry] = false;
                if next.runs[entry] == Run::NotArrived {
                    next.runs[entry] = Run::Ran;
                    next.total_runs += 1;
                }
            });
        }
        steps
    }

    /// Commits a claim and returns the next phase of its entry.
    fn apply_claim(&self, state: &mut ClaimState, entry: usize) -> Phase {
        if state.withdrawn[entry] {
            return Phase::Ended;
        }
        match state.claim {
            Claim::Held(holder) if holder != entry && self.fault != ClaimFault::NoWithdrawal => {
                Phase::Withdrawing(holder)
            }
            _ => {
                state.claim = Claim::Held(entry);
                Phase::Claimed
            }
        }
    }

    fn apply_settle(&self, state: &mut ClaimState, attempt: usize) {
        let holds = state.claim == Claim::Held(attempt);
        if holds || self.fault == ClaimFault::SettleAny {
            state.claim = Claim::NeverRan;
            state.withdrawn[attempt] = true;
        }
    }

    fn log_steps(&self, state: &ClaimState, entry: usize) -> Vec<(String, ClaimState)> {
        let mut steps = Vec::new();
        if state.claims[entry] {
            let mut next = state.clone();
            let phase = self.apply_claim(&mut next, entry);
            steps.push((format!("claim {entry} is committed, the reply is lost"), next.clone()));
            if state.phases[entry] == Phase::Claiming {
                next.phases[entry] = phase;
                steps.push((format!("claim {entry} is committed"), next));
            }
        }
        if state.settles[entry] {
            let mut next = state.clone();
            self.apply_settle(&mut next, entry);
            steps.push((format!("settlement of {entry} is committed"), next.clone()));
            for waiting in 0..ENTRIES {
                if state.phases[waiting] == Phase::Settling(entry) {
                    let mut next = next.clone();
                    next.phases[waiting] = Phase::Claiming;
                    next.claims[waiting] = true;
                    steps.push((format!("entry {waiting} learns of settlement {entry}"), next));
                }
            }
        }
        steps
    }
}

impl Spec for ClaimSpec {
    type State = ClaimState;

    fn start(&self) -> ClaimState {
        ClaimState {
            claim: Claim::Free,
            withdrawn: [false; ENTRIES],
            phases: [Phase::Idle; ENTRIES],
            runs: [Run::NotArrived; ENTRIES],
            total_runs: 0,
            claims: [false; ENTRIES],
            settles: [false; ENTRIES],
            dispatches: [false; ENTRIES],
        }
    }

    fn steps(&self, state: &ClaimState) -> Vec<(String, ClaimState)> {
        let entries = 0..ENTRIES;
        entries
            .flat_map(|n| [self.entry_steps(state, n), self.log_steps(state, n)].concat())
            .collect()
    }

    fn violation(&self, state: &ClaimState) -> Option<&'static str> {
        (state.total_runs > 1).then_some("at most one dispatch per claim")
    }
}

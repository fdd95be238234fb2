//! Crashes and their quarantined causes as earlier builds stored them: parts of prompts alone, then all
//! causes without the times of crashes and the outcome of trials.

use crate::fleet::quarantine;
use crate::fleet::quarantine::Cause;
use crate::fleet::quarantine::state;
use crate::fleet::quarantine::verdict;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;

/// Shared parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptParts {
    /// Hash by which prompts are told apart.
    pub key: u64,
    /// Ids of the parts.
    pub parts: Vec<u64>,
}

/// Crash of one start of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time.
    pub start_time: u64,
    /// Prompts that broke there.
    pub prompts: Vec<PromptParts>,
}

impl From<Crash> for quarantine::Crash {
    fn from(crash: Crash) -> quarantine::Crash {
        let Crash { endpoint, start_time, prompts } = crash;
        let request = |p: PromptParts| quarantine::RequestCauses {
            key: p.key,
            causes: p.parts.into_iter().map(Cause::Part).collect(),
        };
        let requests = prompts.into_iter().map(request).collect();
        quarantine::Crash { endpoint, start_time, broken_at: 0, requests }
    }
}

/// Crash of one start of an endpoint, without its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UntimedCrash {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time.
    pub start_time: u64,
    /// Requests that broke there.
    pub requests: Vec<quarantine::RequestCauses>,
}

impl From<UntimedCrash> for quarantine::Crash {
    fn from(crash: UntimedCrash) -> quarantine::Crash {
        let UntimedCrash { endpoint, start_time, requests } = crash;
        quarantine::Crash { endpoint, start_time, broken_at: 0, requests }
    }
}

/// Quarantined cause without the outcome of its trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct UntriedCause {
    cause: Cause,
    crashes: u32,
    trials: u32,
    relapsed: bool,
}

/// Crashes without their times, and what follows from them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UntimedState {
    revision: u64,
    crashes: VecDeque<UntimedCrash>,
    quarantined: VecDeque<UntriedCause>,
    cleared: VecDeque<state::Cleared>,
}

impl From<UntimedState> for quarantine::State {
    fn from(former: UntimedState) -> quarantine::State {
        let verdict = |q: UntriedCause| {
            verdict::Verdict::new(quarantine::Quarantined {
                cause: q.cause,
                crashes: q.crashes,
                trials: q.trials,
                failed: 0,
                relapsed: q.relapsed,
            })
        };
        quarantine::State {
            revision: former.revision,
            crashes: former.crashes.into_iter().map(quarantine::Crash::from).collect(),
            quarantined: former.quarantined.into_iter().map(verdict).collect(),
            cleared: former.cleared,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantinedPart {
    part: u64,
    crashes: u32,
    trials: u32,
    relapsed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClearedPart {
    part: u64,
    crashes: u32,
}

/// Crashes and what follows from them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    revision: u64,
    crashes: VecDeque<Crash>,
    quarantined: VecDeque<QuarantinedPart>,
    cleared: VecDeque<ClearedPart>,
}

impl From<State> for quarantine::State {
    fn from(state: State) -> quarantine::State {
        let quarantined = |q: QuarantinedPart| {
            verdict::Verdict::new(quarantine::Quarantined {
                cause: Cause::Part(q.part),
                crashes: q.crashes,
                trials: q.trials,
                failed: 0,
                relapsed: q.relapsed,
            })
        };
        let cleared =
            |c: ClearedPart| state::Cleared { cause: Cause::Part(c.part), crashes: c.crashes };
        quarantine::State {
            revision: state.revision,
            crashes: state.crashes.into_iter().map(quarantine::Crash::from).collect(),
            quarantined: state.quarantined.into_iter().map(quarantined).collect(),
            cleared: state.cleared.into_iter().map(cleared).collect(),
        }
    }
}

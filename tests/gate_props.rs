//! Property test: random runs of the gate against a simulated agent that repeats ids,
//! confirms cancellations late or never, and withdraws requests before it submits them.

use basilfield::gate;
use gate::Class;
use gate::Input;
use gate::Output;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Largest id of a run. Small enough that ids are often submitted again.
const MAX_ID: u64 = 60;

#[derive(Clone, Debug)]
enum Op {
    Submit {
        id: u64,
        deadline: u64,
    },
    Withdraw {
        id: u64,
    },
    /// Tokens of one of the running streams.
    Token {
        nth: usize,
    },
    /// End of one of the streams that run or are being cancelled.
    Done {
        nth: usize,
    },
    /// The agent confirms a cancellation that the gate asked for.
    Confirm {
        nth: usize,
    },
    Slots(u32),
    Drain,
    Resume,
    /// Time passes.
    Advance {
        ticks: u64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (1..=MAX_ID, 1u64..20_000).prop_map(|(id, deadline)| Op::Submit { id, deadline }),
        1 => (1..=MAX_ID).prop_map(|id| Op::Withdraw { id }),
        4 => (0usize..16).prop_map(|nth| Op::Token { nth }),
        4 => (0usize..16).prop_map(|nth| Op::Done { nth }),
        4 => (0usize..16).prop_map(|nth| Op::Confirm { nth }),
        1 => (0u32..8).prop_map(Op::Slots),
        1 => Just(Op::Drain),
        2 => Just(Op::Resume),
        4 => (1u64..30).prop_map(|ticks| Op::Advance { ticks }),
    ]
}

/// Expected state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting {
        online: bool,
        resumed: bool,
    },
    Running {
        online: bool,
    },
    Stopping {
        online: bool,
        preempted: bool,
    },
    /// Preempted and cancelled. Will be submitted again.
    Preempted,
    Final,
}

/// Simulated agent, which checks every output of the gate.
struct Agent {
    gate: gate::Gate,
    config: gate::Config,
    slots: u32,
    now: u64,
    states: BTreeMap<u64, State>,
    /// Ids that were withdrawn or refused and must never start.
    barred: BTreeSet<u64>,
    draining: bool,
}

/// Whether the attempt is online. Odd ids are online, even ids are batch.
fn is_online(id: u64) -> bool {
    id % 2 == 1
}

impl Agent {
    fn new(floor: u32) -> Agent {
        let config = gate::Config {
            slots: 6,
            floor_percent: floor,
            headroom_percent: 0,
            max_queue: 8,
            max_preemptions: 2,
            ..gate::Config::default()
        };
        let gate = gate::Gate::new(config.clone());
        let (states, barred) = (BTreeMap::new(), BTreeSet::new());
        Agent { gate, slots: config.slots, config, now: 0, states, barred, draining: false }
    }

    fn step(&mut self, input: Input) {
        let before = self.running();
        let outputs = self.gate.step(Duration::from_millis(self.now), input);
        for output in outputs {
            self.check(output);
        }
        let after = self.running();
        assert!(
            after <= before.max(self.slots as usize),
            "{after} streams on {} slots",
            self.slots
        );
        self.check_priority();
    }

    fn running(&self) -> usize {
        let runs = |s: &&State| matches!(s, State::Running { .. } | State::Stopping { .. });
        self.states.values().filter(runs).count()
    }

    fn check(&mut self, output: Output) {
        match output {
            Output::Start { id } => {
                assert!(!self.barred.contains(&id), "{id} was refused or withdrawn");
                let State::Waiting { online, .. } = self.states[&id] else {
                    panic!("{id} is started but does not wait: {:?}", self.states[&id]);
                };
                self.states.insert(id, State::Running { online });
            }
            Output::Preempt { id } => {
                assert_eq!(self.states[&id], State::Running { online: false }, "preempt {id}");
                self.states.insert(id, State::Stopping { online: false, preempted: true });
            }
            Output::Refuse { id, .. } => {
                let state = self.states.insert(id, State::Final);
                let waits = matches!(state, Some(State::Waiting { .. }));
                assert!(waits, "{id} is refused in state {state:?}");
                self.barred.insert(id);
            }
            Output::Withdrawn { id, ran } => {
                let state = self.states.get(&id).copied();
                let known = matches!(state, Some(State::Running { .. } | State::Stopping { .. }));
                assert!(ran || !known, "{id} runs and is reported as not run");
                let next = match state {
                    Some(State::Running { online } | State::Stopping { online, .. }) => {
                        State::Stopping { online, preempted: false }
                    }
                    _ => State::Final,
                };
                self.states.insert(id, next);
                self.barred.insert(id);
            }
            Output::Pull { count } => {
                assert!(count <= self.slots, "pull {count} with {} slots", self.slots);
                assert!(!self.draining || count == 0, "pull while draining");
            }
            Output::Idle => assert!(self.draining && self.running() == 0, "idle with work"),
        }
    }

    /// Checks that no batch stream above the floor runs while an online request waits.
    fn check_priority(&self) {
        let waits = |s: &&State| matches!(s, State::Waiting { online: true, .. });
        let waiting = self.states.values().filter(waits).count();
        let batch = |s: &&State| matches!(s, State::Running { online: false });
        let batch = self.states.values().filter(batch).count();
        let stops = |s: &&State| matches!(s, State::Stopping { .. });
        let stopping = self.states.values().filter(stops).count();
        let floor = (self.slots * self.config.floor_percent + 50) / 100;
        let floor = floor.min(self.slots.saturating_sub(1)) as usize;
        // A stream that is being cancelled makes room for one waiting request.
        assert!(
            waiting <= stopping || batch <= floor,
            "{waiting} online requests wait, {stopping} streams stop, {batch} batch streams run"
        );
    }

    fn nth(&self, nth: usize, keep: impl Fn(&State) -> bool) -> Option<u64> {
        let ids: Vec<u64> =
            self.states.iter().filter(|(_, s)| keep(s)).map(|(id, _)| *id).collect();
        if ids.is_empty() { None } else { Some(ids[nth % ids.len()]) }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit { id, deadline } => self.submit(id, deadline),
            Op::Withdraw { id } => self.step(Input::Withdraw { id }),
            Op::Token { nth } => {
                if let Some(id) = self.nth(nth, |s| matches!(s, State::Running { .. })) {
                    self.step(Input::Token { id, count: 1 });
                }
            }
            Op::Done { nth } => {
                let runs = |s: &State| matches!(s, State::Running { .. } | State::Stopping { .. });
                if let Some(id) = self.nth(nth, runs) {
                    self.states.insert(id, State::Final);
                    self.step(Input::Done { id, ok: true });
                }
            }
            Op::Confirm { nth } => self.confirm(nth),
            Op::Slots(slots) => {
                self.slots = slots;
                self.step(Input::Slots(slots));
            }
            Op::Drain => {
                self.draining = true;
                self.step(Input::Drain);
            }
            Op::Resume => {
                self.draining = false;
                self.step(Input::Resume);
            }
            Op::Advance { ticks } => {
                for _ in 0..ticks {
                    self.now += 20;
                    self.step(Input::Tick);
                }
            }
        }
    }

    fn submit(&mut self, id: u64, deadline: u64) {
        let online = is_online(id);
        let withdrawn = self.barred.contains(&id) && !self.states.contains_key(&id);
        let state = self.states.get(&id).copied();
        let resumed = state == Some(State::Preempted);
        if state.is_none() || resumed || withdrawn {
            self.states.insert(id, State::Waiting { online, resumed });
        }
        let class = if online { Class::Online } else { Class::Batch };
        let workspace = if id.is_multiple_of(3) { "kuiseb" } else { "needle" }.into();
        // A request that arrives after its withdrawal is refused.
        if state == Some(State::Final) && self.barred.contains(&id) {
            self.states.insert(id, State::Waiting { online, resumed: false });
            let deadline = Duration::from_millis(deadline);
            let input = Input::Submit { id, class, workspace, deadline };
            let outputs = self.gate.step(Duration::from_millis(self.now), input);
            let starts = outputs.contains(&Output::Start { id });
            assert!(!starts, "{id} was refused or withdrawn");
            self.states.insert(id, State::Final);
            let others =
                |o: &Output| !matches!(o, Output::Refuse { id: refused, .. } if *refused == id);
            for output in outputs.into_iter().filter(others) {
                self.check(output);
            }
            return;
        }
        self.step(Input::Submit {
            id,
            class,
            workspace,
            deadline: Duration::from_millis(deadline),
        });
    }

    fn confirm(&mut self, nth: usize) {
        let Some(id) = self.nth(nth, |s| matches!(s, State::Stopping { .. })) else { return };
        let preempted = matches!(self.states[&id], State::Stopping { preempted: true, .. });
        self.states.insert(id, if preempted { State::Preempted } else { State::Final });
        self.step(Input::Cancelled { id });
        if preempted && !self.draining {
            self.submit(id, 600_000);
        }
    }

    /// Ends all running streams and lets all waiting requests start or expire. Then checks that
    /// every attempt has ended.
    fn finish(&mut self) {
        self.slots = self.config.slots;
        self.step(Input::Slots(self.slots));
        self.draining = false;
        self.step(Input::Resume);
        for _ in 0..200 {
            for id in self.states.clone().into_keys() {
                match self.states[&id] {
                    State::Running { .. } => {
                        self.states.insert(id, State::Final);
                        self.step(Input::Done { id, ok: true });
                    }
                    State::Stopping { .. } => self.confirm(0),
                    State::Preempted => self.submit(id, 600_000),
                    _ => {}
                }
            }
            self.apply(&Op::Advance { ticks: 5 });
        }
        let open: Vec<_> = self.states.iter().filter(|(_, s)| **s != State::Final).collect();
        assert!(open.is_empty(), "no final output for {open:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x6a7e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more streams than slots, starts after a refusal or withdrawal, batch streams
    /// that run while online requests wait, and attempts without exactly one final output.
    #[test]
    fn random_runs(ops in prop::collection::vec(op(), 1..250), floor in 0u32..40) {
        let mut agent = Agent::new(floor);
        for op in &ops {
            agent.apply(op);
        }
        agent.finish();
    }
}

//! Carries out the orders for the endpoints of one agent, one at a time for each endpoint.
//!
//! Some engines refuse an order with an old number, others ignore the number. For the latter,
//! the agent is the only path to the endpoint, so it can refuse old numbers itself. It does not
//! know what its previous process had issued, and waits after a restart until the last order on
//! record can no longer take effect. Engines that check numbers need no such wait.

use crate::catalog::orders::Order;
use crate::catalog::orders::OrderOutcome;
use crate::catalog::orders::OrderRecord;
use crate::sorted::SortedMap;
use std::sync::Arc;
use std::time::Duration;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An endpoint announced itself.
    Announced {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Whether it refuses old numbers itself.
        fencing: bool,
        /// Last order in the agent's catalog. The agent must have confirmed its catalog to be
        /// current after it started, and take `Ordered` inputs from the same copy.
        last: Option<OrderRecord>,
    },
    /// An endpoint no longer announces itself.
    Gone {
        /// Name of the endpoint.
        endpoint: Arc<str>,
    },
    /// The catalog shows an order, for the first time or again.
    Ordered(OrderRecord),
    /// The endpoint answered an order.
    Answered {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Number of the order.
        number: u64,
        /// Outcome. A lost connection is no outcome; the order then times out.
        outcome: OrderOutcome,
    },
    /// Time has passed.
    Tick,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the order to the endpoint.
    Issue {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Number of the order.
        number: u64,
        /// The order.
        order: Order,
    },
    /// Propose the outcome to the catalog.
    Report {
        /// Number of the order.
        number: u64,
        /// Outcome.
        outcome: OrderOutcome,
    },
    /// The order is older than one that the endpoint already had; it is not carried out.
    Refused {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Number of the order.
        number: u64,
        /// Latest number.
        latest: u64,
    },
}

/// Orders of the endpoints of one agent.
#[derive(Clone, Debug)]
pub struct Enforcer {
    started: Duration,
    endpoints: SortedMap<Arc<str>, EndpointState>,
}

/// State of one endpoint. It is kept while the endpoint is absent, because an order that was
/// issued before may still take effect.
#[derive(Clone, Debug, Default)]
struct EndpointState {
    announced: bool,
    /// Highest number that was seen.
    latest: u64,
    /// Nothing is issued before this time.
    issue_after: Duration,
    running: Option<Running>,
    pending: Option<(u64, Order)>,
    /// Last outcome, reported again if the catalog has not received it.
    finished: Option<(u64, OrderOutcome)>,
}

#[derive(Clone, Debug)]
struct Running {
    number: u64,
    deadline: Duration,
}

impl Enforcer {
    /// Enforcer of an agent process that started at `now`.
    pub fn new(now: Duration) -> Enforcer {
        Enforcer { started: now, endpoints: SortedMap::new() }
    }

    /// Handles one input.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Announced { endpoint, fencing, last } => {
                self.handle_announcement(endpoint, fencing, last)
            }
            Input::Gone { endpoint } => {
                if let Some(state) = self.endpoints.get_mut(&endpoint) {
                    state.announced = false;
                }
            }
            Input::Ordered(record) => self.handle_order(record, &mut outputs),
            Input::Answered { endpoint, number, outcome } => {
                if let Some(state) = self.endpoints.get_mut(&endpoint) {
                    state.handle_answer(number, outcome, &mut outputs);
                }
            }
            Input::Tick => {}
        }
        for (endpoint, state) in self.endpoints.iter_mut() {
            state.advance(now, endpoint, &mut outputs);
        }
        outputs
    }

    /// Time at which an order that waits can be issued, or a running one times out.
    pub fn next_due(&self) -> Option<Duration> {
        let due = |state: &EndpointState| match (&state.running, &state.pending) {
            (Some(running), _) => Some(running.deadline),
            (None, Some(_)) if state.announced => Some(state.issue_after),
            (None, _) => None,
        };
        self.endpoints.values().filter_map(due).min()
    }

    fn handle_announcement(
        &mut self,
        endpoint: Arc<str>,
        fencing: bool,
        last: Option<OrderRecord>,
    ) {
        let known = self.endpoints.contains(&endpoint);
        let started = self.started;
        let state = self.endpoints.entry_or(endpoint, EndpointState::default);
        state.announced = true;
        if known {
            return;
        }
        let Some(last) = last else { return };
        state.latest = last.by.revision;
        if !fencing && !last.is_settled() {
            state.issue_after = started + Duration::from_millis(last.wait);
        }
        if last.outcome.is_none() {
            state.pending = Some((last.by.revision, last.order));
        }
    }

    fn handle_order(&mut self, record: OrderRecord, outputs: &mut Vec<Output>) {
        // The order of an endpoint that has not announced itself since the agent started comes
        // with the first announcement.
        let Some(state) = self.endpoints.get_mut(&record.endpoint) else { return };
        let number = record.by.revision;
        if number < state.latest {
            let (endpoint, latest) = (record.endpoint, state.latest);
            outputs.push(Output::Refused { endpoint, number, latest });
            return;
        }
        if record.outcome.is_some() {
            state.drop_pending(number);
            return;
        }
        if number > state.latest {
            state.latest = number;
            state.pending = Some((number, record.order));
            return;
        }
        if let Some((finished, outcome)) = &state.finished
            && *finished == number
        {
            outputs.push(Output::Report { number, outcome: outcome.clone() });
        }
    }
}

impl EndpointState {
    fn handle_answer(&mut self, number: u64, outcome: OrderOutcome, outputs: &mut Vec<Output>) {
        if self.running.as_ref().is_some_and(|r| r.number == number) {
            self.finish(number, outcome, outputs);
        }
    }

    fn finish(&mut self, number: u64, outcome: OrderOutcome, outputs: &mut Vec<Output>) {
        self.running = None;
        self.finished = Some((number, outcome.clone()));
        outputs.push(Output::Report { number, outcome });
    }

    /// Drops a waiting order that got an outcome in the catalog, such as `Lost`.
    fn drop_pending(&mut self, number: u64) {
        self.latest = self.latest.max(number);
        if self.pending.as_ref().is_some_and(|(n, _)| *n <= number) {
            self.pending = None;
        }
    }

    fn advance(&mut self, now: Duration, endpoint: &Arc<str>, outputs: &mut Vec<Output>) {
        if let Some(running) = &self.running {
            if now < running.deadline {
                return;
            }
            let number = running.number;
            self.finish(number, OrderOutcome::TimedOut, outputs);
        }
        if !self.announced || now < self.issue_after {
            return;
        }
        let Some((number, order)) = self.pending.take() else { return };
        self.running = Some(Running { number, deadline: now + Duration::from_millis(order.limit) });
        outputs.push(Output::Issue { endpoint: endpoint.clone(), number, order });
    }
}

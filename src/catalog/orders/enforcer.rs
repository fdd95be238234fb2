//! Issues the orders for the endpoints of one agent, one at a time per endpoint.
//!
//! Some engines refuse orders with an old number, others ignore the number. For the latter the
//! agent refuses old numbers itself, since orders reach the endpoint only through the agent. After
//! a restart the agent does not know which orders its previous process issued. It waits until the
//! last recorded order can no longer take effect. Engines that check numbers need no such wait.

use crate::catalog::orders::Order;
use crate::catalog::orders::OrderOutcome;
use crate::catalog::orders::OrderRecord;
use crate::sorted::SortedMap;
use std::sync::Arc;
use std::time::Duration;

/// Event that the agent reports to the enforcer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An endpoint announced itself to the agent.
    Announced {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Whether the endpoint itself refuses old numbers.
        fencing: bool,
        /// Last order of the endpoint in the agent's copy of the catalog. After its start the agent
        /// must have confirmed that the copy is current, and take `Ordered` inputs from this copy.
        last: Option<OrderRecord>,
    },
    /// An endpoint no longer announces itself.
    Gone {
        /// Name of the endpoint.
        endpoint: Arc<str>,
    },
    /// The catalog contains this order, which may have been reported before.
    Ordered(OrderRecord),
    /// The endpoint reported the outcome of an order.
    Answered {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Number of the order.
        number: u64,
        /// Outcome. A lost connection is not an outcome; the order then times out.
        outcome: OrderOutcome,
    },
    /// Time has advanced.
    Tick,
}

/// Action that the agent has to carry out.
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
    /// The order is not issued because the endpoint already had a later one.
    Refused {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Number of the order.
        number: u64,
        /// Highest number seen for the endpoint.
        latest: u64,
    },
}

/// Orders of the endpoints of one agent.
#[derive(Clone, Debug)]
pub struct Enforcer {
    started: Duration,
    endpoints: SortedMap<Arc<str>, EndpointState>,
}

/// State of one endpoint. It is kept while the endpoint does not announce itself, because an order
/// that was issued earlier may still take effect.
#[derive(Clone, Debug, Default)]
struct EndpointState {
    announced: bool,
    /// Highest order number seen for the endpoint.
    latest: u64,
    /// Earliest time at which an order may be issued.
    issue_after: Duration,
    /// Order that was issued and has no outcome yet.
    running: Option<Running>,
    /// Number and content of the next order to issue.
    pending: Option<(u64, Order)>,
    /// Number and outcome of the last finished order. The outcome is reported again if the catalog
    /// still shows the order as unfinished.
    finished: Option<(u64, OrderOutcome)>,
}

/// Order that was issued.
#[derive(Clone, Debug)]
struct Running {
    number: u64,
    /// Time at which the order times out.
    deadline: Duration,
}

impl Enforcer {
    /// Returns the enforcer of an agent process that started at `now`.
    pub fn new(now: Duration) -> Enforcer {
        Enforcer { started: now, endpoints: SortedMap::new() }
    }

    /// Handles one event and returns the resulting actions.
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

    /// Earliest time at which a pending order can be issued or a running one times out.
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
        // An endpoint that has not announced itself since the agent started gets its order with the
        // first announcement.
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

    /// Drops the pending order after the catalog recorded an outcome for it, such as `Lost`.
    fn drop_pending(&mut self, number: u64) {
        self.latest = self.latest.max(number);
        if self.pending.as_ref().is_some_and(|(n, _)| *n <= number) {
            self.pending = None;
        }
    }

    /// Times out the running order and issues the pending one when they are due.
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

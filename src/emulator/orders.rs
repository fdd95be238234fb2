//! Orders to an engine, fenced by their numbers.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Order in the body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Order {
    /// Fencing number, which must grow from one order to the next if
    /// fencing is on.
    pub(super) number: u64,
    /// Action to take.
    pub(super) kind: Kind,
    /// Model that the order concerns.
    pub(super) model: Arc<str>,
    /// Version of the model, required for `version`.
    pub(super) version: Option<Arc<str>>,
    /// Name of the adapter, required for `adapter`.
    pub(super) adapter: Option<Arc<str>>,
    /// Role of the engine, required for `role`.
    pub(super) role: Option<Arc<str>>,
}

/// Action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    /// Serve only this model, replacing the current ones.
    Load,
    /// Stop serving the model.
    Unload,
    /// Serve a version of the model.
    Version,
    /// Also serve an adapter of the model, under the adapter's name.
    Adapter,
    /// Change the role of the engine.
    Role,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The order was executed, either now or when it first arrived.
    Done,
    /// The order's number is not greater than that of the last order. Nothing changed.
    Stale {
        /// Number of the last executed order.
        last: u64,
    },
    /// A parameter is missing, as the message says. Nothing changed.
    Invalid(&'static str),
}

/// Executes orders, and with `fencing` refuses stale ones.
pub(super) struct Executor {
    fencing: bool,
    last: Option<Order>,
    /// Numbers of the executed orders, in order of execution.
    pub(super) executed: Vec<u64>,
}

impl Executor {
    /// Creates an executor that has executed no order.
    pub(super) fn new(fencing: bool) -> Executor {
        Executor { fencing, last: None, executed: Vec::new() }
    }

    /// Executes `order` on the list of served models. With `fencing`, a repetition of the last
    /// order has no effect and is reported as done.
    pub(super) fn execute(&mut self, order: Order, models: &mut Vec<Arc<str>>) -> Outcome {
        if let Some(last) = self.last.as_ref().filter(|_| self.fencing) {
            if *last == order {
                return Outcome::Done;
            }
            if order.number <= last.number {
                return Outcome::Stale { last: last.number };
            }
        }
        match (order.kind, &order.version, &order.adapter, &order.role) {
            (Kind::Version, None, _, _) => return Outcome::Invalid("version is missing"),
            (Kind::Adapter, _, None, _) => return Outcome::Invalid("adapter is missing"),
            (Kind::Role, _, _, None) => return Outcome::Invalid("role is missing"),
            (Kind::Load, ..) => *models = vec![order.model.clone()],
            (Kind::Unload, ..) => models.retain(|model| *model != order.model),
            (Kind::Adapter, _, Some(adapter), _) if !models.contains(adapter) => {
                models.push(adapter.clone());
            }
            (Kind::Adapter | Kind::Version | Kind::Role, ..) => {}
        }
        self.executed.push(order.number);
        self.last = Some(order);
        Outcome::Done
    }
}

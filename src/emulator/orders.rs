//! Orders to an engine and their fencing numbers.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Order in the body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Order {
    /// Fencing number.
    pub(super) number: u64,
    /// What to do.
    pub(super) kind: Kind,
    /// Model that the order concerns.
    pub(super) model: Arc<str>,
    /// Version for `version`.
    pub(super) version: Option<Arc<str>>,
    /// Adapter for `adapter`.
    pub(super) adapter: Option<Arc<str>>,
    /// Role for `role`.
    pub(super) role: Option<Arc<str>>,
}

/// Kind of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    /// Serve the model in place of the current ones.
    Load,
    /// Serve the model no longer.
    Unload,
    /// Serve a version of the model.
    Version,
    /// Serve an adapter of the model under the adapter's name.
    Adapter,
    /// Change the role of the engine.
    Role,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It was carried out, now or when it arrived before.
    Done,
    /// The number is old; nothing was changed.
    Stale {
        /// Highest number that was carried out.
        last: u64,
    },
    /// A parameter is missing; nothing was changed.
    Invalid(&'static str),
}

/// Orders that were carried out.
pub(super) struct Executor {
    fencing: bool,
    last: Option<Order>,
    /// Numbers in the order of execution.
    pub(super) executed: Vec<u64>,
}

impl Executor {
    /// Creates an empty record.
    pub(super) fn new(fencing: bool) -> Executor {
        Executor { fencing, last: None, executed: Vec::new() }
    }

    /// Carries out `order` on the list of models.
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

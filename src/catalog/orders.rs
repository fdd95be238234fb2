//! Orders to engines, such as loading a model. The number of an order is its log index.

pub mod enforcer;

pub use enforcer::Enforcer;

use crate::catalog::agents::EndpointKind;
use crate::catalog::agents::Fleet;
use crate::catalog::command::Author;
use crate::catalog::command::Note;
use crate::catalog::command::Problem;
use crate::catalog::command::Reply;
use crate::catalog::fields;
use crate::sorted::SortedMap;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Number of last orders that are kept for endpoints that are not registered.
pub const MAX_UNREGISTERED_ORDERS: usize = 1_000;

/// Longest time limit of an order, in milliseconds. A restarted agent may wait this long before it
/// issues an order.
pub const MAX_TIME_LIMIT_MS: u64 = 3_600_000;

/// Order to an endpoint.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{kind} of {model}")]
pub struct Order {
    /// What the endpoint has to do.
    pub kind: OrderKind,
    /// Name of the model.
    pub model: Arc<str>,
    /// Time limit in milliseconds. The order has no effect once this time has passed since the
    /// agent issued it.
    pub limit: u64,
}

/// Kind of order.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the model in place of the current one.
    #[display("load")]
    Load,
    /// Load a version of the model.
    #[display("version {version}")]
    Version {
        /// Name of the version.
        version: Arc<str>,
    },
    /// Load an adapter on top of the model.
    #[display("adapter {adapter}")]
    Adapter {
        /// Name of the adapter.
        adapter: Arc<str>,
    },
}

/// Outcome of an order.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The endpoint carried out the order.
    #[display("done")]
    Done,
    /// The endpoint failed to carry it out.
    #[display("failed: {cause}")]
    Failed {
        /// Cause of the failure.
        cause: Arc<str>,
    },
    /// The endpoint refused the order because it had already received a later number.
    #[display("refused as old")]
    Old,
    /// The endpoint reported no outcome within the time limit.
    #[display("timed out")]
    TimedOut,
    /// The endpoint left before it reported an outcome. A later report replaces this outcome.
    #[display("endpoint lost")]
    Lost,
}

/// Last order of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Author of the order; the revision is the number of the order.
    pub by: Author,
    /// The order.
    pub order: Order,
    /// Outcome, or `None` while the order is unfinished.
    pub outcome: Option<OrderOutcome>,
    /// Time in milliseconds after which neither this order nor an earlier lost one can take
    /// effect.
    pub wait: u64,
}

impl OrderRecord {
    /// Whether the order can certainly no longer take effect. Unfinished and lost orders still can.
    pub fn is_settled(&self) -> bool {
        !matches!(self.outcome, None | Some(OrderOutcome::Lost))
    }
}

/// Last order of every endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Orders {
    last: SortedMap<Arc<str>, OrderRecord>,
}

impl Orders {
    /// Records a new order for an endpoint. Refuses it if the previous one is unfinished.
    pub fn submit(
        &mut self,
        fleet: &Fleet,
        endpoint: &Arc<str>,
        order: &Order,
        by: &Author,
    ) -> Reply {
        let mut problems = Vec::new();
        let mut check = fields::Check::new(endpoint, &mut problems);
        check.require_model("model", &order.model);
        let range = format!("1 to {MAX_TIME_LIMIT_MS} ms");
        check.require((1..=MAX_TIME_LIMIT_MS).contains(&order.limit), "limit", order.limit, &range);
        match fleet.endpoint(endpoint) {
            None => problems.push(fleet.explain_unknown(endpoint)),
            Some((_, e)) if e.kind != EndpointKind::Engine => {
                problems.push(Problem::NotEngine { endpoint: endpoint.clone() });
            }
            Some(_) => {}
        }
        if let Some(OrderRecord { by, outcome: None, .. }) = self.last.get(endpoint) {
            problems.push(Problem::OrderPending { endpoint: endpoint.clone(), by: by.clone() });
        }
        if !problems.is_empty() {
            return Reply::Refused { problems };
        }
        let unsettled = self.last.get(endpoint).filter(|r| !r.is_settled());
        let record = OrderRecord {
            endpoint: endpoint.clone(),
            by: by.clone(),
            order: order.clone(),
            outcome: None,
            wait: unsettled.map_or(0, |r| r.wait).max(order.limit),
        };
        self.last.insert(endpoint.clone(), record);
        Reply::Accepted { revision: by.revision, undoes: None }
    }

    /// Records the outcome of an order. The first outcome other than `Lost` is final.
    pub fn record_outcome(&mut self, index: u64, number: u64, outcome: OrderOutcome) -> Reply {
        let record = self.last.iter_mut().map(|(_, r)| r).find(|r| r.by.revision == number);
        let Some(record) = record else {
            return Reply::refused(Problem::OldOrder { number });
        };
        match &record.outcome {
            None | Some(OrderOutcome::Lost) => {
                record.outcome = Some(outcome);
                Reply::Accepted { revision: index, undoes: None }
            }
            Some(known) if *known == outcome => {
                Reply::Unchanged { revision: number, note: Note::Reported }
            }
            Some(known) => {
                Reply::refused(Problem::OrderFinished { number, outcome: known.clone() })
            }
        }
    }

    /// Marks unfinished orders of endpoints that are no longer registered as lost, so that they do
    /// not block later ones. Keeps only the latest [`MAX_UNREGISTERED_ORDERS`] orders of such
    /// endpoints.
    pub fn mark_lost_orders(&mut self, fleet: &Fleet) {
        let mut unregistered = Vec::new();
        for (endpoint, record) in self.last.iter_mut() {
            if fleet.endpoint(endpoint).is_some() {
                continue;
            }
            record.outcome.get_or_insert(OrderOutcome::Lost);
            unregistered.push((record.by.revision, endpoint.clone()));
        }
        unregistered.sort_unstable();
        let surplus = unregistered.len().saturating_sub(MAX_UNREGISTERED_ORDERS);
        for (_, endpoint) in unregistered.into_iter().take(surplus) {
            self.last.remove(&endpoint);
        }
    }

    /// Last order of an endpoint.
    pub fn get(&self, endpoint: &str) -> Option<&OrderRecord> {
        self.last.get(endpoint)
    }

    /// Last order of every endpoint, sorted by endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &OrderRecord> {
        self.last.values()
    }
}

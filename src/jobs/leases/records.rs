//! Records of the leases: what agents hold, lost and wait for.

use crate::jobs::leases::message;
use crate::sorted;
use crate::wire;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Lease of one item at an agent.
#[derive(Debug)]
pub struct ActiveLease {
    /// Id of the grant.
    pub attempt: u64,
    /// End of its validity.
    pub expires: Duration,
    /// Whether the item is granted alone when it is returned.
    pub alone: bool,
}

/// Leases of one agent.
#[derive(Debug, Default)]
pub struct AgentLeases {
    /// Leases by number of the job and item.
    pub held: sorted::SortedMap<(u32, u32), ActiveLease>,
    /// No lease expires before this time.
    pub earliest_expiry: Duration,
}

/// Lease that expired.
#[derive(Debug)]
pub struct LostLease {
    /// Agent that held it.
    pub agent: Arc<str>,
    /// The lease.
    pub lease: wire::Lease,
    /// When it is reported again.
    pub next_report: Duration,
}

/// Pull that waits for items.
#[derive(Debug)]
pub struct PendingPull {
    /// Number of the request.
    pub token: u64,
    /// Agent that asks.
    pub agent: Arc<str>,
    /// Number of items that it can start.
    pub free: u32,
    /// Models that its engines serve.
    pub models: Vec<Arc<str>>,
    /// End of the waiting time.
    pub until: Duration,
}

/// Time after an election in which agents announce what they hold.
#[derive(Debug)]
pub struct GracePeriod {
    /// End of the time.
    pub until: Duration,
    /// Agents that have not announced.
    pub missing: BTreeSet<Arc<str>>,
}

impl PendingPull {
    /// Answer without items.
    pub fn empty_answer(self) -> message::Output {
        message::Output::Grant { token: self.token, agent: self.agent, items: Vec::new() }
    }
}

//! Records of active and lost leases, of waiting pulls and of the grace period.

use crate::jobs::leases::message;
use crate::sorted;
use crate::wire;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Valid lease of one item at an agent.
#[derive(Debug)]
pub struct ActiveLease {
    /// Id of the grant.
    pub attempt: u64,
    /// Time at which the lease expires.
    pub expires: Duration,
    /// Whether the item is granted alone, also after the lease is returned.
    pub alone: bool,
}

/// Leases of one agent.
#[derive(Debug, Default)]
pub struct AgentLeases {
    /// Leases by job number and item.
    pub held: sorted::SortedMap<(u32, u32), ActiveLease>,
    /// No lease expires before this time.
    pub earliest_expiry: Duration,
}

/// Lease that expired and whose failed attempt is not committed yet.
#[derive(Debug)]
pub struct LostLease {
    /// Agent that held it.
    pub agent: Arc<str>,
    /// Expired lease.
    pub lease: wire::Lease,
    /// Time of the next report of the loss.
    pub next_report: Duration,
}

/// Pull that waits for items.
#[derive(Debug)]
pub struct PendingPull {
    /// Number of the request.
    pub token: u64,
    /// Name of the agent.
    pub agent: Arc<str>,
    /// Number of items that the agent can start.
    pub free: u32,
    /// Models that the agent's engines serve.
    pub models: Vec<Arc<str>>,
    /// Time at which the pull is answered even without items.
    pub until: Duration,
}

/// Period after an election in which agents announce the leases that they hold.
#[derive(Debug)]
pub struct GracePeriod {
    /// Latest end of the period.
    pub until: Duration,
    /// Agents that have not announced their leases.
    pub missing: BTreeSet<Arc<str>>,
}

impl PendingPull {
    /// Answer without items.
    pub fn empty_answer(self) -> message::Output {
        message::Output::Grant { token: self.token, agent: self.agent, items: Vec::new() }
    }
}

//! Settings, inputs and outputs of the leases.

use crate::jobs::table;
use crate::sorted;
use crate::wire;
use std::sync::Arc;
use std::time::Duration;

/// Settings of the leases.
#[derive(Clone, Debug)]
pub struct Config {
    /// Validity of a lease after its grant or last renewal.
    pub lease_duration: Duration,
    /// Estimated time per item at which a job advances; a job's remaining items reduce its slack
    /// by this much each.
    pub item_time: Duration,
    /// Seed of the grant ids.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        // 10 ms per item: the largest jobs (97,000 items) take about a quarter of an hour.
        Config {
            lease_duration: Duration::from_secs(3),
            item_time: Duration::from_millis(10),
            seed: 0,
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// This replica became the leader and has applied every entry of earlier terms.
    Elected {
        /// Registered agents; each may hold leases of the previous leader.
        agents: Vec<Arc<str>>,
        /// Answer of [`crate::jobs::Table::start_recording`].
        jobs: Vec<table::OpenJob>,
    },
    /// This replica is no longer the leader. The shell ends the waiting pulls.
    Deposed,
    /// The table changed.
    Change(table::Change),
    /// Shares of the workspaces; 1 for those that are not listed.
    Weights(sorted::SortedMap<Arc<str>, u32>),
    /// An agent asks for items. Replaces an earlier pull of the same agent.
    Pull {
        /// Number of the request, returned by its [`Output::Grant`].
        token: u64,
        /// Name of the agent.
        agent: Arc<str>,
        /// Number of items that it can start.
        free: u32,
        /// Models that its engines serve.
        models: Vec<Arc<str>>,
        /// Longest time to wait for items.
        wait: Duration,
    },
    /// The stream of a waiting pull was closed.
    PullClosed {
        /// Number of the request.
        token: u64,
    },
    /// An agent renews its leases. After `Elected`, its first renewal announces them.
    Renew {
        /// Name of the agent.
        agent: Arc<str>,
        /// Items that it runs.
        held: Vec<wire::Lease>,
    },
    /// An agent returns items that it has not run.
    Release {
        /// Name of the agent.
        agent: Arc<str>,
        /// Returned items.
        items: Vec<wire::Lease>,
    },
    /// Time passed.
    Tick,
}

/// What the shell does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Answer a pull. The items are empty if its waiting time ended or it was replaced.
    Grant {
        /// Number of the request.
        token: u64,
        /// Name of the agent.
        agent: Arc<str>,
        /// Granted items.
        items: Vec<wire::Lease>,
    },
    /// Tell the agent to stop items. Repeated with every renewal that still names them.
    Stop {
        /// Name of the agent.
        agent: Arc<str>,
        /// Items without a valid lease.
        items: Vec<wire::Lease>,
    },
    /// Leases expired. The shell proposes an `Attempt` with the cause `WorkerLost` for each. The
    /// items are not granted before its change is applied, and this output is repeated every
    /// lease time until then, since a proposal can be refused or lost.
    Lost {
        /// Name of the agent.
        agent: Arc<str>,
        /// Items whose lease expired.
        items: Vec<wire::Lease>,
    },
}

//! Settings, inputs and outputs of the leases.

use crate::jobs::table;
use crate::sorted;
use crate::wire;
use std::sync::Arc;
use std::time::Duration;

/// Settings of the leases.
#[derive(Clone, Debug)]
pub struct Config {
    /// How long a lease is valid after its grant or last renewal.
    pub lease_duration: Duration,
    /// Estimated time to run one item. Each item without a result reduces the slack of its job by
    /// this much.
    pub item_time: Duration,
    /// Seed of the random ids of grants.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        // At 10 ms per item, the largest jobs (97,000 items) take about a quarter of an hour.
        Config {
            lease_duration: Duration::from_secs(3),
            item_time: Duration::from_millis(10),
            seed: 0,
        }
    }
}

/// Event that the service of the group reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// This replica became the leader and has applied every entry of earlier terms.
    Elected {
        /// Registered agents, each of which may hold leases of the previous leader.
        agents: Vec<Arc<str>>,
        /// Jobs that [`crate::jobs::Table::start_recording`] returned.
        jobs: Vec<table::OpenJob>,
    },
    /// This replica is no longer the leader. The service ends the waiting pulls.
    Deposed,
    /// The table changed.
    Change(table::Change),
    /// Weights of the workspaces; unlisted workspaces have weight 1.
    Weights(sorted::SortedMap<Arc<str>, u32>),
    /// An agent asks for items. Replaces an earlier pull of the same agent.
    Pull {
        /// Number of the request, returned by its [`Output::Grant`].
        token: u64,
        /// Name of the agent.
        agent: Arc<str>,
        /// Number of items that the agent can start.
        free: u32,
        /// Models that the agent's engines serve.
        models: Vec<Arc<str>>,
        /// Longest time to wait for ready items.
        wait: Duration,
    },
    /// The stream of a waiting pull was closed.
    PullClosed {
        /// Number of the request.
        token: u64,
    },
    /// An agent renews its leases. Its first renewal after `Elected` announces them to the new
    /// leader.
    Renew {
        /// Name of the agent.
        agent: Arc<str>,
        /// Leases of the items that the agent runs.
        held: Vec<wire::Lease>,
    },
    /// An agent returns leases without a result; the items become ready again.
    Release {
        /// Name of the agent.
        agent: Arc<str>,
        /// Returned leases.
        items: Vec<wire::Lease>,
    },
    /// Time has passed.
    Tick,
}

/// Action for the service of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Answer a pull. `items` is empty if the waiting time of the pull ended or another pull
    /// replaced it.
    Grant {
        /// Number of the request.
        token: u64,
        /// Name of the agent.
        agent: Arc<str>,
        /// Leases of the granted items.
        items: Vec<wire::Lease>,
    },
    /// Tell the agent to stop items. Repeated after every renewal that still contains them.
    Stop {
        /// Name of the agent.
        agent: Arc<str>,
        /// Leases that are not valid.
        items: Vec<wire::Lease>,
    },
    /// Leases expired. The service proposes a `FailAttempt` with the cause `WorkerLost` for each.
    /// The items are not granted until that command is applied. Until then this output is repeated
    /// once per lease duration, because a proposal can be refused or lost.
    Lost {
        /// Name of the agent.
        agent: Arc<str>,
        /// Expired leases.
        items: Vec<wire::Lease>,
    },
}

//! Agent role: runs online and batch work on the endpoints of its host, which are reached only
//! through it.

pub mod batch;
pub mod endpoint;
pub mod registry;
pub mod serve;
pub mod upstream;

use crate::catalog;
use crate::client;
use crate::errors;
use crate::event;
use crate::events;
use crate::follow;
use crate::gate;
use crate::link;
use crate::metrics;
use crate::running;
use crate::settings;
use crate::supervisor;
use crate::timer;
use crate::tls;
use crate::wire;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net;
use tokio::time;

/// Interval between the heartbeats to the leader of state group 0.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of heartbeats, registrations and the leave command, and longest wait until a committed
/// registration is visible in the local configuration.
const STATE_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// State shared by the tasks of the agent.
#[derive(Clone)]
pub struct Agent {
    /// Name of the agent.
    pub name: Arc<str>,
    domain: Arc<str>,
    region: Arc<str>,
    address: SocketAddr,
    /// Client of the state hosts.
    pub client: client::Client,
    /// Local copy of the configuration.
    pub follower: follow::Follower,
    /// Endpoints of this host.
    pub registry: registry::Registry,
    /// HTTP client for endpoints.
    pub upstream: upstream::Upstream,
    /// Batch items that this agent holds leases for.
    pub leased_items: batch::LeasedItems,
    /// Running work, which a graceful stop waits for.
    pub running: running::WorkTracker,
    /// Longest time that a response may make no progress.
    pub stall_timeout: Duration,
    /// Timer for the agent's periodic tasks.
    pub timer: timer::Timer,
    /// Metrics of the process.
    pub metrics: metrics::Metrics,
    /// Logger of the agent.
    pub log: slog::Logger,
    identity: tls::Identity,
    attempts: Arc<Mutex<gate::attempts::Attempts<()>>>,
}

/// Settings and services of the process that every role uses.
#[derive(Clone)]
pub struct Context {
    /// Settings that every process has, such as its name and failure domain.
    pub process: settings::Process,
    /// Addresses of the state hosts.
    pub fleet: settings::Fleet,
    /// Certificate and key of the process.
    pub identity: tls::Identity,
    /// Timer for periodic tasks.
    pub timer: timer::Timer,
    /// Metrics of the process.
    pub metrics: metrics::Metrics,
    /// Logger of the process.
    pub log: slog::Logger,
}

impl Agent {
    /// Records a new attempt. Refuses repeated ids, withdrawn attempts and superseded connections.
    fn admit_attempt(&self, attempt: &wire::Attempt) -> Result<(), endpoint::Refusal> {
        let admitted = self.lock().admit(attempt.id, &attempt.entry, attempt.connection);
        admitted.map_err(|denial| {
            let reason = match denial {
                gate::attempts::Denial::Superseded => wire::Reason::Superseded,
                gate::attempts::Denial::Withdrawn => wire::Reason::Withdrawn,
                gate::attempts::Denial::Duplicate => wire::Reason::Conflict,
            };
            endpoint::Refusal { reason, retry_after: Duration::ZERO }
        })
    }

    /// Marks an attempt as running. Returns false if it has been withdrawn.
    fn start_attempt(&self, attempt: &wire::Attempt) -> bool {
        self.lock().start(attempt.id)
    }

    fn end_attempt(&self, id: u64) {
        let now = self.timer.now();
        let mut attempts = self.lock();
        // `refuse` applies only to an attempt that never started, `finish` only to one that did.
        attempts.refuse(now, id);
        attempts.finish(now, id, ());
    }

    /// Records that the entry has received the whole answer.
    fn acknowledge_attempt(&self, id: u64) {
        self.lock().acknowledge(id);
    }

    /// Registers a new connection of an entry.
    fn register_connection(&self, entry: &Arc<str>, connection: u64) {
        self.lock().register_connection(entry, connection);
    }

    /// Withdraws an attempt at the request of the entry that sent it.
    fn withdraw(&self, withdraw: &gate::attempts::WithdrawRequest) -> wire::Withdrawal {
        let now = self.timer.now();
        self.lock().withdraw(now, withdraw)
    }

    /// Withdraws an attempt that another entry sent, on behalf of `entry`.
    fn take_over(&self, id: u64, entry: &Arc<str>, sent: u64) -> wire::Withdrawal {
        let now = self.timer.now();
        self.lock().withdraw_for(now, id, entry, sent)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, gate::attempts::Attempts<()>> {
        self.attempts.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether an operator has started to drain the endpoint.
    pub fn is_draining(&self, endpoint: &str) -> bool {
        let name = endpoint_name(&self.name, endpoint);
        self.follower.read(|c| c.is_draining(&name))
    }

    /// Returns the least loaded endpoint of this host that serves the target. Endpoints that drain
    /// come last.
    fn choose_endpoint(&self, target: &wire::Target) -> Option<endpoint::Endpoint> {
        let serves = |announcement: &endpoint::Announcement| match target {
            wire::Target::Model(model) => {
                announcement.kind == endpoint::Kind::Engine && announcement.models.contains(model)
            }
            wire::Target::Service(name) => {
                announcement.kind == endpoint::Kind::Service && announcement.name == *name
            }
        };
        let endpoints = self.registry.endpoints();
        let candidates = endpoints.into_iter().filter(|e| serves(&e.announcement()));
        candidates.min_by_key(|e| {
            let load = e.load();
            (self.is_draining(e.name()), load.queued, load.running)
        })
    }

    fn agent_record(&self) -> catalog::AgentRecord {
        let endpoints = self.registry.endpoints();
        let record = |e: &endpoint::Endpoint| {
            let announcement = e.announcement();
            let (kind, models) = match announcement.kind {
                endpoint::Kind::Engine => (catalog::EndpointKind::Engine, announcement.models),
                // A plain service is routed to by its own name.
                endpoint::Kind::Service => {
                    (catalog::EndpointKind::Service, vec![announcement.name.clone()])
                }
            };
            catalog::Endpoint {
                name: endpoint_name(&self.name, &announcement.name),
                kind,
                address: announcement.address.to_string().into(),
                models,
                slots: announcement.slots,
                fencing: announcement.fencing,
            }
        };
        catalog::AgentRecord {
            name: self.name.clone(),
            address: self.address.to_string().into(),
            domain: self.domain.clone(),
            region: self.region.clone(),
            endpoints: endpoints.iter().map(record).collect(),
        }
    }
}

/// Name of an endpoint in the fleet, `{agent}.{endpoint}`. Neither part can contain a dot.
pub fn endpoint_name(agent: &str, endpoint: &str) -> Arc<str> {
    format!("{agent}.{endpoint}").into()
}

/// Binds the listeners and starts the tasks of the agent under a new supervisor.
pub async fn start(
    context: &Context,
    settings: &settings::Agent,
) -> Result<supervisor::Supervisor, errors::Error> {
    let mut tree = supervisor::Supervisor::new("agent", &context.log);
    let log = tree.log().clone();
    let listener = Arc::new(link::Listener::bind(
        settings.listen,
        &context.identity,
        link::Settings::default(),
        &log,
    )?);
    let announce = net::TcpListener::bind(settings.announce)
        .await
        .map_err(|e| errors::Error::io("bind", settings.announce.to_string(), e))?;
    event!(log, events::LISTENING; "links" => %settings.listen, "announce" => %settings.announce);
    let agent = Agent {
        name: context.process.name.clone(),
        domain: context.process.domain.clone(),
        region: context.process.region.clone(),
        address: settings.advertise.unwrap_or(settings.listen),
        client: client::Client::new(&context.identity, &context.fleet, &log),
        follower: follow::Follower::new(&context.timer, &log),
        registry: registry::Registry::new(settings, &context.timer, &context.metrics, &log),
        upstream: upstream::Upstream::new(),
        leased_items: batch::LeasedItems::default(),
        running: running::WorkTracker::default(),
        stall_timeout: Duration::from_millis(settings.stall),
        timer: context.timer.clone(),
        metrics: context.metrics.clone(),
        log: log.clone(),
        identity: context.identity.clone(),
        attempts: Arc::new(Mutex::new(gate::attempts::Attempts::new(
            gate::attempts::Bounds::default(),
        ))),
    };
    spawn_tasks(&mut tree, &agent, listener, Arc::new(announce));
    Ok(tree)
}

fn spawn_tasks(
    tree: &mut supervisor::Supervisor,
    agent: &Agent,
    listener: Arc<link::Listener>,
    announce: Arc<net::TcpListener>,
) {
    // Most tasks end only when no work is running, since running work needs them during a
    // graceful stop.
    let a = agent.clone();
    tree.spawn("watch", move |stop| {
        a.follower.clone().watch(a.client.clone(), a.running.stop_when_idle(stop))
    });
    let a = agent.clone();
    tree.spawn("announcements", move |stop| {
        a.registry.clone().run_listener(announce.clone(), a.running.stop_when_idle(stop))
    });
    let a = agent.clone();
    tree.spawn("gates", move |stop| a.registry.clone().run_clock(a.running.stop_when_idle(stop)));
    let a = agent.clone();
    tree.spawn("attempts", move |stop| {
        serve::run(a.clone(), listener.clone(), a.running.stop_when_idle(stop))
    });
    let a = agent.clone();
    tree.spawn("register", move |stop| run_registration(a.clone(), stop));
    let a = agent.clone();
    tree.spawn("beat", move |stop| run_heartbeats(a.clone(), a.running.stop_when_idle(stop)));
    let a = agent.clone();
    tree.spawn("apply", move |stop| apply_config(a.clone(), stop));
    for group in 1..=agent.client.groups() {
        let a = agent.clone();
        tree.spawn("pull", move |stop| batch::run_pull(a.clone(), group, stop));
        let a = agent.clone();
        tree.spawn("renew", move |stop| batch::run_renew(a.clone(), group, stop));
    }
}

/// Registers the agent in the configuration whenever its endpoints change, and removes it at a
/// stop.
async fn run_registration(agent: Agent, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut changes = agent.registry.changes();
    loop {
        changes.borrow_and_update();
        let record = agent.agent_record();
        let is_registered = agent.follower.read(|c| c.fleet().agent(&agent.name) == Some(&record));
        if !is_registered {
            let command = catalog::Command::Join { agent: record };
            let proposed =
                agent.client.propose(0, catalog::encode(&command), STATE_CALL_TIMEOUT).await;
            match proposed {
                Ok(applied) => {
                    log_registration(&agent, &applied);
                    // Waits until the local configuration holds the record, before it is compared
                    // again.
                    let reached = agent.follower.wait_applied(applied.index);
                    let _ = time::timeout(STATE_CALL_TIMEOUT, reached).await;
                }
                Err(_) => time::sleep(REGISTER_RETRY_DELAY).await,
            }
        }
        let mut applied = agent.follower.subscribe();
        applied.borrow_and_update();
        tokio::select! {
            _ = changes.changed() => {}
            // Another commit may have removed the record, for example after its lease expired.
            _ = applied.changed() => {}
            () = stop.wait() => return leave(&agent).await,
        }
    }
}

fn log_registration(agent: &Agent, applied: &client::Applied) {
    match catalog::decode::<catalog::Reply>(&applied.reply) {
        Ok(reply) if reply.is_refusal() => {
            event!(agent.log, events::AGENT_REFUSED; "reply" => %reply);
        }
        _ => event!(agent.log, events::AGENT_REGISTERED; "index" => applied.index),
    }
}

async fn leave(agent: &Agent) -> Result<(), errors::Error> {
    // Refuses new attempts at once, since entries may not know yet that the agent leaves.
    for endpoint in agent.registry.endpoints() {
        endpoint.drain();
    }
    let command = catalog::Command::Leave {
        agent: agent.name.clone(),
        reason: catalog::LeaveReason::Stopped,
    };
    // If this fails, the lease of the agent expires.
    let _ = agent.client.propose(0, catalog::encode(&command), STATE_CALL_TIMEOUT).await;
    Ok(())
}

async fn run_heartbeats(agent: Agent, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut ticks = agent.timer.subscribe(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.next() => {}
            () = stop.wait() => return Ok(()),
        }
        let (revision, digest) = agent.follower.read(|c| (c.revision(), c.digest()));
        let beat = wire::Heartbeat {
            node: agent.name.clone(),
            role: "agent".into(),
            domain: agent.domain.clone(),
            revision,
            digest,
            expiry: agent.identity.expires_in(),
        };
        let _ = agent.client.call(0, &wire::Request::Heartbeat(beat), STATE_CALL_TIMEOUT).await;
    }
}

/// Applies the drains and policies of the configuration to the gates.
async fn apply_config(agent: Agent, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut applied = agent.follower.subscribe();
    let mut changes = agent.registry.changes();
    loop {
        for endpoint in agent.registry.endpoints() {
            apply_to_endpoint(&agent, &endpoint, &stop);
        }
        tokio::select! {
            _ = applied.changed() => {}
            _ = changes.changed() => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

fn apply_to_endpoint(agent: &Agent, endpoint: &endpoint::Endpoint, stop: &supervisor::Stop) {
    // A stopping agent accepts no new work, even if the configuration drains nothing.
    let draining = stop.is_requested() || agent.is_draining(endpoint.name());
    if endpoint.set_draining(draining) {
        let event = if draining { events::DRAIN_STARTED } else { events::DRAIN_ENDED };
        event!(agent.log, event; "endpoint" => &**endpoint.name());
    }
    let announcement = endpoint.announcement();
    let model = announcement.models.first().map(|m| &**m).unwrap_or_default();
    let policy = agent.follower.read(|c| c.config().policy(model).cloned());
    let config = gate_config(policy.as_ref());
    endpoint.set_policy(config.floor_percent, config.target_latency);
}

/// Returns the gate settings for a policy. Without a policy, they prefer low online tail latency.
pub fn gate_config(policy: Option<&catalog::documents::Policy>) -> gate::Config {
    let Some(policy) = policy else { return gate::Config::for_trade(gate::Trade::Tail) };
    let trade = match policy.trade {
        catalog::documents::Trade::Tail => gate::Trade::Tail,
        catalog::documents::Trade::Throughput => gate::Trade::Throughput,
    };
    let mut config = gate::Config::for_trade(trade);
    config.floor_percent = policy.floor;
    if policy.target > 0 {
        config.target_latency = Duration::from_millis(policy.target);
    }
    config
}

/// Duplicates the handle of a bound listener, so that a restarted task can serve it again.
pub fn share_listener(listener: &net::TcpListener) -> Result<net::TcpListener, errors::Error> {
    use std::os::fd::AsFd as _;
    let io = |e: std::io::Error| errors::Error::io("share listener", "tcp", e);
    let handle = listener.as_fd().try_clone_to_owned().map_err(io)?;
    net::TcpListener::from_std(handle.into()).map_err(io)
}

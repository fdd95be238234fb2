//! Entry role: serves HTTP to callers and operators and sends requests to agents.

pub mod admin;
pub mod attempt;
pub mod auth;
pub mod batches;
pub mod begun;
pub mod claims;
pub mod items;
pub mod online;
pub mod openai;
pub mod refusal;

use crate::agent;
use crate::catalog;
use crate::client;
use crate::errors;
use crate::event;
use crate::events;
use crate::follow;
use crate::link;
use crate::metrics;
use crate::router;
use crate::running;
use crate::settings;
use crate::sorted;
use crate::supervisor;
use crate::timer;
use crate::tls;
use crate::wire;
use axum::extract;
use axum::http;
use axum::routing;
use axum::serve::ListenerExt as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net;
use tokio::time;

/// Interval between heartbeats to the leader of group 0.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for an agent to acknowledge a new connection.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Limit of workspaces without a document. Every document sets a limit, so this applies only
/// between the withdrawal of a document and the end of the workspace's last request.
const DEFAULT_LIMIT: router::limits::Limit =
    router::limits::Limit { rate: 10.0, burst: 10.0, concurrent: 10 };
/// Retry hint for callers while the configuration is not confirmed to be current.
const STALE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Shared state of the entry's handlers and tasks. Clones share it.
#[derive(Clone)]
pub struct Entry {
    inner: Arc<Inner>,
}

/// Fields of [`Entry`].
pub struct Inner {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Unique name of this run of the process. Agents identify the entry by it, because
    /// connection numbers restart with each run.
    pub incarnation: Arc<str>,
    domain: Arc<str>,
    /// Client of the state hosts.
    pub client: client::Client,
    /// Local copy of the configuration.
    pub follower: follow::Follower,
    /// Requests in progress, which a graceful stop waits for.
    pub running: running::WorkTracker,
    /// Longest wait for the next part of an answer.
    pub stall_timeout: Duration,
    /// Age of the configuration above which new work is refused; see [`follow::Follower::age`].
    pub freshness: Duration,
    /// Operators who may use the admin API.
    pub operators: Vec<settings::Operator>,
    /// Metrics of the process.
    pub metrics: metrics::Metrics,
    /// Logger.
    pub log: slog::Logger,
    timer: timer::Timer,
    identity: tls::Identity,
    router: Mutex<router::Router>,
    limits: Mutex<router::limits::Limits>,
    agent_links: Mutex<sorted::SortedMap<Arc<str>, AgentLink>>,
    stopping: AtomicBool,
}

/// Connection to one agent. Clones share it.
#[derive(Clone)]
pub struct AgentLink {
    /// Dialler that opens streams to the agent.
    pub dialer: link::Dialer,
    /// Highest number of a connection that the agent has acknowledged.
    announced: Arc<AtomicU64>,
}

impl AgentLink {
    fn is_announced(&self, connection: u64) -> bool {
        self.announced.load(Ordering::Acquire) >= connection
    }

    /// Opens a stream and returns it with the number of its connection.
    ///
    /// A new connection is announced to the agent first, because the agent can withdraw a lost
    /// attempt with certainty only if it has registered the connection that carried it.
    pub async fn open(&self, entry: &Arc<str>) -> Result<(link::Stream, u64), errors::Error> {
        let (stream, connection) = self.dialer.open_with_generation().await?;
        if self.is_announced(connection) {
            return Ok((stream, connection));
        }
        let hello = wire::Request::Hello { entry: entry.clone(), connection };
        let announced = time::timeout(ANNOUNCE_TIMEOUT, announce(stream, &hello)).await;
        let error = match announced {
            Ok(Ok(())) => {
                self.announced.fetch_max(connection, Ordering::AcqRel);
                let (stream, connection) = self.dialer.open_with_generation().await?;
                if self.is_announced(connection) {
                    return Ok((stream, connection));
                }
                let name = self.dialer.name().clone();
                return Err(errors::Error::lost("greet", name, "connection replaced meanwhile"));
            }
            Ok(Err(error)) => error,
            Err(_) => errors::Error::lost("greet", self.dialer.name().clone(), "no answer"),
        };
        self.dialer.reset(connection);
        Err(error)
    }
}

async fn announce(mut stream: link::Stream, hello: &wire::Request) -> Result<(), errors::Error> {
    stream.send(hello).await?;
    match stream.recv::<wire::Reply>().await? {
        Some(wire::Reply::HelloAck) => Ok(()),
        _ => Err(errors::Error::protocol("greet", "agent", "unexpected reply")),
    }
}

/// Name of a target in the router. The prefix keeps services apart from models of the same name.
pub fn routed_name(target: &wire::Target) -> Arc<str> {
    match target {
        wire::Target::Model(model) => model.clone(),
        wire::Target::Service(service) => format!("service:{service}").into(),
    }
}

/// Agents as candidates for the router, with their addresses. Draining endpoints are left out.
fn candidates(catalog: &catalog::Catalog) -> Vec<(router::Candidate, Arc<str>)> {
    let candidate = |agent: &catalog::AgentRecord| {
        let serving: Vec<&catalog::Endpoint> =
            agent.endpoints.iter().filter(|e| !catalog.is_draining(&e.name)).collect();
        let name = |e: &catalog::Endpoint, m: &Arc<str>| match e.kind {
            catalog::EndpointKind::Engine => m.clone(),
            catalog::EndpointKind::Service => routed_name(&wire::Target::Service(m.clone())),
        };
        let mut models: Vec<Arc<str>> =
            serving.iter().flat_map(|e| e.models.iter().map(|m| name(e, m))).collect();
        models.sort();
        models.dedup();
        let candidate = router::Candidate {
            agent: agent.name.clone(),
            domain: agent.domain.clone(),
            region: agent.region.clone(),
            models,
            slots: serving.iter().map(|e| e.slots).sum(),
        };
        (candidate, agent.address.clone())
    };
    catalog.agents().map(candidate).collect()
}

/// Limits that the documents of the workspaces set.
fn limits(catalog: &catalog::Catalog) -> sorted::SortedMap<Arc<str>, router::limits::Limit> {
    let workspaces = catalog.config().of_kind(catalog::Kind::Workspace);
    let limit = |stored: &catalog::documents::Stored| match &stored.document.body {
        catalog::Body::Workspace(w) => {
            let rate = f64::from(w.rate);
            let concurrent = w.concurrency;
            // The burst is the number of requests that the rate allows in one second.
            Some((w.name.clone(), router::limits::Limit { rate, burst: rate, concurrent }))
        }
        _ => None,
    };
    workspaces.filter_map(limit).collect()
}

impl std::ops::Deref for Entry {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.inner
    }
}

/// Guard of a request that was admitted under its workspace's limits. Dropping it ends the request
/// and frees its slot in the concurrency limit.
pub struct Admission {
    entry: Entry,
    workspace: Arc<str>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        lock(&self.entry.limits).release(&self.workspace);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Entry {
    /// Returns the connection to an agent and creates it on first use. Returns `None` if the agent
    /// is not registered or its address cannot be parsed.
    pub fn agent_link(&self, agent: &str) -> Option<AgentLink> {
        // The lock is held until the link is stored. Otherwise two links to one agent could be
        // created, and dropping one closes its connection and cuts off its streams.
        let mut agent_links = lock(&self.agent_links);
        if let Some(agent_link) = agent_links.get(agent) {
            return Some(agent_link.clone());
        }
        let address = self.follower.read(|c| c.fleet().agent(agent).map(|a| a.address.clone()))?;
        let address = address.parse().ok()?;
        let settings = link::Settings::default();
        let dialer = link::Dialer::new(&self.identity, agent, address, settings, &self.log);
        let agent_link = AgentLink { dialer, announced: Arc::new(AtomicU64::new(0)) };
        agent_links.insert(agent.into(), agent_link.clone());
        Some(agent_link)
    }

    /// Chooses an agent for an attempt.
    pub fn pick(&self, query: &router::Query) -> Result<Arc<str>, attempt::Refusal> {
        let picked = lock(&self.router).pick(self.timer.now(), query);
        match picked {
            Ok(pick) => Ok(pick.agent),
            Err(refused) => Err(attempt::Refusal::not_run(refused.reason, refused.retry)),
        }
    }

    /// Reports an event of an attempt to the router.
    pub fn observe(&self, agent: &str, event: router::Observation) {
        lock(&self.router).observe(self.timer.now(), agent, event);
    }

    /// Takes a retry from the budget. Returns whether one was left.
    pub fn try_take_retry(&self) -> bool {
        lock(&self.router).try_take_retry(self.timer.now())
    }

    /// Refuses new work while the configuration is not known to be current.
    pub fn check_ready(&self) -> Result<(), attempt::Refusal> {
        if self.follower.age().is_none_or(|age| age > self.freshness) {
            return Err(attempt::Refusal::not_run(wire::Reason::StaleConfig, STALE_RETRY_DELAY));
        }
        Ok(())
    }

    /// Admits a request under the limits of its workspace, or refuses it with a retry hint.
    pub fn admit(&self, workspace: &Arc<str>) -> Result<Admission, attempt::Refusal> {
        let admitted = lock(&self.limits).admit(self.timer.now(), workspace);
        match admitted {
            Ok(()) => Ok(Admission { entry: self.clone(), workspace: workspace.clone() }),
            Err(refused) => Err(attempt::Refusal::not_run(refused.reason, refused.retry)),
        }
    }

    /// Counts and logs a refusal.
    pub fn record_refusal(&self, refusal: &attempt::Refusal) {
        let run = if refusal.run == wire::Run::No { "no" } else { "unknown" };
        self.metrics.count_refusal(refusal.reason.label(), run);
        event!(self.log, events::REQUEST_REFUSED; "reason" => %refusal.reason, "run" => run);
    }

    /// Updates the router, the limits and the agent links from the configuration.
    fn apply_config(&self) {
        let (agents, limits) = self.follower.read(|c| (candidates(c), limits(c)));
        let is_current = |name: &Arc<str>, agent_link: &AgentLink| {
            let address = agent_link.dialer.addr().to_string();
            agents.iter().any(|a| a.0.agent == *name && *a.1 == *address)
        };
        lock(&self.agent_links).retain(|name, agent_link| is_current(name, agent_link));
        lock(&self.router).set_candidates(agents.into_iter().map(|a| a.0).collect());
        lock(&self.limits).set_limits(DEFAULT_LIMIT, limits);
    }
}

/// Binds the listener and starts the tasks of the entry under a new supervisor. Fails if the
/// address cannot be bound.
pub async fn start(
    context: &agent::Context,
    settings: &settings::Entry,
) -> Result<supervisor::Supervisor, errors::Error> {
    let mut tree = supervisor::Supervisor::new("entry", &context.log);
    let log = tree.log().clone();
    let listener = net::TcpListener::bind(settings.listen)
        .await
        .map_err(|e| errors::Error::io("bind", settings.listen.to_string(), e))?;
    event!(log, events::LISTENING; "http" => %settings.listen);
    let (name, domain) = (context.process.name.clone(), context.process.domain.clone());
    let config = router::Config { subset_size: settings.subset, ..router::Config::default() };
    let inner = Inner {
        router: Mutex::new(router::Router::new(
            config,
            name.clone(),
            domain.clone(),
            rand::random(),
        )),
        limits: Mutex::new(router::limits::Limits::new(DEFAULT_LIMIT)),
        client: client::Client::new(&context.identity, &context.fleet, &log),
        follower: follow::Follower::new(&context.timer, &log),
        running: running::WorkTracker::default(),
        stall_timeout: Duration::from_millis(settings.stall),
        freshness: Duration::from_millis(settings.freshness),
        operators: settings.operators.clone(),
        metrics: context.metrics.clone(),
        timer: context.timer.clone(),
        identity: context.identity.clone(),
        agent_links: Mutex::new(sorted::SortedMap::new()),
        stopping: AtomicBool::new(false),
        incarnation: format!("{name}.{:08x}", rand::random::<u32>()).into(),
        name,
        domain,
        log,
    };
    let entry = Entry { inner: Arc::new(inner) };
    spawn_tasks(&mut tree, &entry, settings, Arc::new(listener));
    Ok(tree)
}

fn spawn_tasks(
    tree: &mut supervisor::Supervisor,
    entry: &Entry,
    settings: &settings::Entry,
    listener: Arc<net::TcpListener>,
) {
    let e = entry.clone();
    tree.spawn("watch", move |stop| {
        e.follower.clone().watch(e.client.clone(), e.running.stop_when_idle(stop))
    });
    let e = entry.clone();
    tree.spawn("confirm", move |stop| {
        let stop = e.running.stop_when_idle(stop);
        e.follower.clone().confirm(e.client.clone(), e.freshness, stop)
    });
    let e = entry.clone();
    tree.spawn("apply", move |stop| follow_config(e.clone(), e.running.stop_when_idle(stop)));
    let e = entry.clone();
    tree.spawn("beat", move |stop| send_heartbeats(e.clone(), stop));
    let (e, settings) = (entry.clone(), settings.clone());
    tree.spawn("http", move |stop| serve(e.clone(), settings.clone(), listener.clone(), stop));
}

async fn follow_config(entry: Entry, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut applied = entry.follower.subscribe();
    loop {
        applied.borrow_and_update();
        entry.apply_config();
        tokio::select! {
            _ = applied.changed() => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

async fn send_heartbeats(entry: Entry, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut ticks = entry.timer.subscribe(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.next() => {}
            () = stop.wait() => return Ok(()),
        }
        let (revision, digest) = entry.follower.read(|c| (c.revision(), c.digest()));
        let beat = wire::Heartbeat {
            node: entry.name.clone(),
            role: "entry".into(),
            domain: entry.domain.clone(),
            revision,
            digest,
            expiry: entry.identity.expires_in(),
        };
        let _ = entry.client.call(0, &wire::Request::Heartbeat(beat), HEARTBEAT_TIMEOUT).await;
    }
}

async fn serve(
    entry: Entry,
    settings: settings::Entry,
    listener: Arc<net::TcpListener>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let app = axum::Router::new()
        .route("/v1/chat/completions", routing::post(online::chat))
        .route("/v1/completions", routing::post(online::completions))
        .route("/v1/models", routing::get(online::models))
        .route("/services/{service}/{*path}", routing::any(online::service))
        .merge(batches::routes())
        .merge(openai::routes())
        .merge(admin::routes())
        .layer(tower::limit::GlobalConcurrencyLimitLayer::new(settings.concurrency))
        .layer(extract::DefaultBodyLimit::max(settings.body))
        // Health checks answer even when the concurrency limit is reached.
        .route("/healthz", routing::get(|| async { "ok" }))
        .route("/readyz", routing::get(ready))
        .with_state(entry.clone());
    // Without this, the second part of a streamed answer waits for the caller's delayed
    // acknowledgement of the first, up to 40 ms.
    let listener = agent::share_listener(&listener)?.tap_io(|stream| {
        // An error here means that the connection is closed; the next read reports it.
        let _ = stream.set_nodelay(true);
    });
    let turnaway = Duration::from_millis(settings.turnaway);
    let shutdown = {
        let entry = entry.clone();
        async move {
            stop.wait().await;
            entry.stopping.store(true, Ordering::Relaxed);
            // The load balancer sends requests until it sees the readiness check fail.
            time::sleep(turnaway).await;
        }
    };
    axum::serve(listener, app)
        .with_graceful_shutdown(shutdown)
        .await
        .map_err(|e| errors::Error::io("serve http", "callers", e))?;
    entry.running.wait_idle().await;
    Ok(())
}

async fn ready(extract::State(entry): extract::State<Entry>) -> (http::StatusCode, &'static str) {
    if entry.stopping.load(Ordering::Relaxed) {
        return (http::StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    match entry.check_ready() {
        Ok(()) => (http::StatusCode::OK, "ready"),
        Err(_) => (http::StatusCode::SERVICE_UNAVAILABLE, "configuration not confirmed"),
    }
}

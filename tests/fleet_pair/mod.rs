//! Two store hosts in the process of the test: the leader of the job group and one that carries out
//! runs for it, in the failure domain of the only endpoint. A thread stands in for the replica.

#![allow(dead_code)] // Each test file uses only a part of this module.

use crate::fleet_world;
use basilfield::emulator::plain;
use basilfield::errors;
use basilfield::fleet::control_state;
use basilfield::fleet::delegation;
use basilfield::fleet::directory;
use basilfield::fleet::dispatch;
use basilfield::fleet::frame;
use basilfield::fleet::ledger;
use basilfield::fleet::node;
use basilfield::fleet::peer;
use basilfield::fleet::quarantine;
use basilfield::fleet::run_host;
use basilfield::fleet::runner;
use basilfield::fleet::settings;
use basilfield::fleet::store;
use basilfield::replica::StateMachine as _;
use basilfield::state::group;
use basilfield::supervisor;
use basilfield::wire;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

/// Failure domain of the endpoint and of the host that carries out runs.
const DOMAIN: &str = "d1";
/// Failure domain of the leader.
const LEADER_DOMAIN: &str = "d0";
/// Job of every item.
pub const JOB: &str = "job";

/// Changes a command before it is applied.
pub type Interceptor = Box<dyn FnMut(&mut ledger::Ledger, &ledger::Command) + Send>;

/// Records the orders that arrive, and passes everything on.
struct Recorder {
    orders: Arc<Mutex<Vec<delegation::Orders>>>,
    next: Arc<dyn peer::Handler>,
}

impl peer::Handler for Recorder {
    fn cast(&self, from: &Arc<str>, message: frame::Cast) {
        if let frame::Cast::RunOrders(orders) = &message {
            self.orders.lock().expect("lock").push(orders.clone());
        }
        self.next.cast(from, message);
    }

    fn call(&self, request: wire::Request) -> BoxFuture<'static, wire::Reply> {
        self.next.call(request)
    }
}

/// Stands in for a control host: grants everything, and confirms a version of the configuration.
struct Control {
    version: u64,
}

impl peer::Handler for Control {
    fn cast(&self, _: &Arc<str>, _: frame::Cast) {}

    fn call(&self, request: wire::Request) -> BoxFuture<'static, wire::Reply> {
        let reply = match request {
            wire::Request::Query { .. } => {
                wire::Reply::Answer(ledger::encode(&self.version).into())
            }
            _ => {
                let reply = ledger::encode(&ledger::Reply::Done).into();
                wire::Reply::Applied { index: 1, reply }
            }
        };
        Box::pin(async { reply })
    }
}

/// Task that carries out runs, and the signal that stops it.
struct HostTask {
    stop: watch::Sender<bool>,
    ended: Mutex<Option<JoinHandle<Result<(), errors::Error>>>>,
}

/// Leader, run host and endpoint.
pub struct Pair {
    pub leader: node::Node,
    pub host: node::Node,
    pub shared: store::SharedLedger,
    pub endpoint: plain::PlainEndpoint,
    /// Orders that the run host has received.
    pub orders: Arc<Mutex<Vec<delegation::Orders>>>,
    /// Makes the task fail that runs the items.
    pub failure: Arc<Notify>,
    host_task: HostTask,
    interceptor: Arc<Mutex<Option<Interceptor>>>,
}

/// Starts a store host that listens on a port of its own.
async fn start_node(
    name: &str,
    domain: &str,
    orders: &Arc<Mutex<Vec<delegation::Orders>>>,
) -> node::Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let port = listener.local_addr().expect("address").port();
    let text = format!(
        "[host]\nname = \"{name}\"\nrole = \"store\"\ndomain = \"{domain}\"\n\
         address = \"127.0.0.1\"\nfolder = \"unused\"\n\
         [fleet]\nport = {port}\nseeds = [\"127.0.0.1:3\"]\nbootstrap = false\n",
    );
    let settings = settings::parse(&text).expect("valid");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let protocol = Arc::new(fleet_world::platform::Platform::default());
    let node = node::Node::new(settings, "unused.toml".into(), protocol, &log);
    let next = store::peer_handler(&node);
    let handler = Arc::new(Recorder { orders: orders.clone(), next });
    tokio::spawn(peer::serve(listener, handler, node.metrics.clone(), log));
    node
}

/// Stands in for the replica of the leader: commits each command at once.
fn start_replica(
    node: &node::Node,
    shared: &store::SharedLedger,
    interceptor: &Arc<Mutex<Option<Interceptor>>>,
) {
    let (handle, calls) = group::channel(1);
    *node.local_replica.lock().expect("lock") = Some(handle);
    let (own, ledger) = (node.peers.own().clone(), shared.ledger.clone());
    let interceptor = interceptor.clone();
    std::thread::spawn(move || {
        let mut index = 1;
        for call in calls {
            match call {
                group::Call::Propose { command, done } => {
                    index += 1;
                    let mut ledger = ledger.lock().expect("lock");
                    if let Some(intercept) = &mut *interceptor.lock().expect("lock") {
                        let decoded = postcard::from_bytes(&command).expect("a command");
                        intercept(&mut ledger, &decoded);
                    }
                    let reply = ledger.apply(index, &command).into();
                    // The caller may have given up.
                    let _ = done.send(wire::Reply::Applied { index, reply });
                }
                group::Call::Confirm { done } => {
                    let _ = done.send(wire::Reply::Confirmed { index });
                }
                group::Call::Status { done } => {
                    let _ = done.send(wire::Group {
                        group: 1,
                        id: 1,
                        role: "leader".into(),
                        term: 1,
                        leader: Some(own.clone()),
                        commit: index,
                        voters: 1,
                        live: 1,
                        learners: 0,
                        hosts: vec![own.clone()],
                        settled: true,
                    });
                }
                _ => {}
            }
        }
    });
}

/// What hosts know of the quarantine: the given part, or none.
pub fn quarantine(revision: u64, part: Option<u64>) -> quarantine::Summary {
    let quarantined = part.map(|part| quarantine::Quarantined {
        cause: quarantine::Cause::Part(part),
        crashes: 3,
        trials: 0,
        failed: 0,
        relapsed: false,
    });
    quarantine::Summary {
        revision,
        quarantined: quarantined.into_iter().collect(),
        suspected: Vec::new(),
        confirmed: true,
    }
}

/// Configuration with one batch route, which has the given prefix.
pub fn document(version: u64, prefix: &str) -> control_state::Document {
    let document = serde_json::json!({
        "version": version,
        "routes": [{ "name": "batch", "host": fleet_world::ROUTE_HOST, "prefix": prefix,
            "kind": "batch", "timeoutMs": 6000, "responseTargetMs": 300, "gapTargetMs": 300,
            "priority": 0, "service": fleet_world::SERVICE, "maxAttempts": 3, "resumable": false,
            "runTargetMs": 18000, "maxWaitS": 60.0 }],
        "services": [{ "name": fleet_world::SERVICE, "maxConns": 200 }],
        "limits": { "headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000,
            "idleMs": 15000 },
    });
    control_state::Document { version, text: document.to_string().into() }
}

/// Item with the given parts in its prompt; none if `prompt` is empty.
pub fn item(id: &str, prompt: &str) -> Arc<ledger::Item> {
    let prompt =
        (!prompt.is_empty()).then(|| (fleet_world::client::PROMPT_HEADER.into(), prompt.into()));
    Arc::new(ledger::Item {
        id: id.into(),
        path: format!("{}{id}", fleet_world::BATCH_PREFIX).into(),
        headers: prompt.into_iter().collect(),
        body: Bytes::from_static(b"body"),
        tokens: 1,
    })
}

impl Pair {
    /// Starts both hosts and the endpoint. The leader does not lead yet.
    pub async fn start() -> Pair {
        let orders = Arc::default();
        let leader = start_node("leader", LEADER_DOMAIN, &Arc::default()).await;
        let host = start_node("host", DOMAIN, &orders).await;
        let (_, event_count, event_interval) = fleet_world::ENDPOINT_OPTIONS;
        let options = plain::Options {
            id: "i-1".into(),
            build: fleet_world::DEFAULT_BUILD.into(),
            slots: 100,
            event_count,
            event_interval,
            headers: fleet_world::protocol_headers(),
        };
        let endpoint = plain::PlainEndpoint::start(([127, 0, 0, 1], 0).into(), options).await;
        let endpoint = endpoint.expect("endpoint");
        for node in [&leader, &host] {
            node.view.apply_quarantine(node.now(), &quarantine(1, None));
            assert!(node.view.apply_document(document(1, fleet_world::BATCH_PREFIX)));
            let record = directory::Endpoint {
                id: endpoint.id().clone(),
                start_time: 1,
                seq: 1,
                service: fleet_world::SERVICE.into(),
                address: endpoint.address(),
                domain: DOMAIN.into(),
                build: endpoint.build().clone(),
                slots: 100,
                phase: directory::Phase::Ready,
            };
            node.view.directory(|d| {
                d.register_endpoint(node.now(), record);
                for other in [&leader, &host] {
                    d.register_host(node.now(), other.view.own().clone());
                }
            });
        }
        let shared = store::SharedLedger::default();
        let interceptor = Arc::default();
        start_replica(&leader, &shared, &interceptor);
        let (sender, stop) = supervisor::Stop::channel();
        let ended = tokio::spawn(run_host::run(host.clone(), stop));
        let host_task = HostTask { stop: sender, ended: Mutex::new(Some(ended)) };
        let failure = Arc::default();
        Pair { leader, host, shared, endpoint, orders, failure, host_task, interceptor }
    }

    /// Starts the task that runs the items, and makes the leader lead.
    pub async fn lead(&self) {
        let mut tree = supervisor::Supervisor::new("leader", &self.leader.log);
        let (node, shared, failure) =
            (self.leader.clone(), self.shared.clone(), self.failure.clone());
        tree.spawn("items", move |stop| {
            let (node, shared, failure) = (node.clone(), shared.clone(), failure.clone());
            async move {
                tokio::select! {
                    result = dispatch::run(node, shared, stop) => result,
                    () = failure.notified() => Err(errors::Error::invalid("run", "items", "failed")),
                }
            }
        });
        tokio::spawn(tree.run());
        // The host is in contact once the leader has items.
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.shared.is_leader.send_replace(true);
    }

    /// Starts a stand-in for a control host, which the leader knows. It confirms that `version` is the
    /// newest configuration.
    pub async fn start_control(&self, version: u64) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let link = listener.local_addr().expect("address").to_string().into();
        let (metrics, log) = (self.leader.metrics.clone(), self.leader.log.clone());
        tokio::spawn(peer::serve(listener, Arc::new(Control { version }), metrics, log));
        let record = directory::Host {
            name: "control".into(),
            link,
            role: settings::Role::Control,
            ..self.leader.view.own().clone()
        };
        self.leader.view.directory(|d| d.register_host(self.leader.now(), record));
    }

    /// Accepts a job with the given items, under the first configuration.
    pub fn submit(&self, job: &str, items: Vec<Arc<ledger::Item>>) {
        self.submit_under(1, job, items);
    }

    /// Accepts a job with the given items under a version of the configuration.
    pub fn submit_under(&self, version: u64, job: &str, items: Vec<Arc<ledger::Item>>) {
        let rules = ledger::Rules {
            host: fleet_world::ROUTE_HOST.into(),
            prefix: fleet_world::BATCH_PREFIX.into(),
            max_failures: 3,
            due_ms: 60_000,
            max_wait_ms: None,
        };
        let command = ledger::Command::SubmitUnder { version, job: job.into(), rules, items };
        self.shared.ledger.lock().expect("lock").execute(1, command);
    }

    /// Calls `intercept` with the ledger and each command before the command is applied.
    pub fn intercept(
        &self,
        intercept: impl FnMut(&mut ledger::Ledger, &ledger::Command) + Send + 'static,
    ) {
        *self.interceptor.lock().expect("lock") = Some(Box::new(intercept));
    }

    /// Outputs of the completed items of a job, as texts of their events.
    pub fn outputs(&self, job: &str) -> Vec<Vec<String>> {
        let ledger = self.shared.ledger.lock().expect("lock");
        let results = ledger.job(job).map(|j| j.results.clone()).unwrap_or_default();
        let events = |r: &ledger::ItemResult| {
            let text = String::from_utf8(r.output.to_vec()).expect("text");
            text.split('\n').map(String::from).collect()
        };
        results.iter().map(events).collect()
    }

    /// State of the first item of a job: `pending`, `completed` or `abandoned`.
    pub fn state(&self, job: &str) -> &'static str {
        let ledger = self.shared.ledger.lock().expect("lock");
        match ledger.job(job).and_then(|j| j.results.first()).map(|r| r.outcome) {
            None => "pending",
            Some(ledger::Outcome::Completed) => "completed",
            Some(ledger::Outcome::Abandoned) => "abandoned",
        }
    }

    /// Waits until an item of a job is completed, and returns its events; none if that takes long.
    pub async fn output(&self, job: &str, limit: Duration) -> Vec<String> {
        fleet_world::wait_until(limit, || !self.outputs(job).is_empty()).await;
        self.outputs(job).pop().unwrap_or_default()
    }

    /// Waits until the run host has received a few more orders, so that it may get runs.
    pub async fn wait_for_contact(&self) -> bool {
        let count = || self.orders.lock().expect("lock").len();
        let before = count();
        fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, || count() >= before + 3).await
    }

    /// Waits until the run host has received runs of the given items.
    pub async fn wait_for_start(&self, items: &[String]) -> bool {
        let is_started = |item: &String| {
            let orders = self.orders.lock().expect("lock");
            orders.iter().flat_map(|o| &o.start).any(|order| *order.key.1 == **item)
        };
        let are_started = || items.iter().all(is_started);
        fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, are_started).await
    }

    /// Waits until the endpoint runs a request.
    pub async fn wait_for_run(&self, id: &str) -> bool {
        let is_run = || self.endpoint.runs().iter().any(|r| &*r.request_id == id);
        fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, is_run).await
    }

    /// Stops the task that carries out runs, and waits until it has ended.
    pub async fn stop_host(&self) {
        self.host_task.stop.send_replace(true);
        let ended = self.host_task.ended.lock().expect("lock").take().expect("it runs");
        ended.await.expect("no panic").expect("no failure");
    }

    /// Order of a run at the endpoint.
    pub fn order(&self, number: u64, item: Arc<ledger::Item>) -> delegation::Order {
        delegation::Order {
            number,
            key: (JOB.into(), item.id.clone()),
            item,
            host: fleet_world::ROUTE_HOST.into(),
            endpoint: self.endpoint.id().clone(),
            start_time: 1,
            address: self.endpoint.address(),
            last_event: None,
            limit_version: 0,
            trial: quarantine::Trial::default(),
        }
    }
}

/// Leader whose runs a test starts one by one.
pub struct Script {
    node: node::Node,
    host: Arc<str>,
    delegator: delegation::Delegator,
    reports: mpsc::Receiver<(Arc<str>, delegation::Reports)>,
}

impl Script {
    /// Creates the leader and waits until the run host is in contact.
    pub async fn start(pair: &Pair) -> Script {
        let (node, host) = (pair.leader.clone(), pair.host.peers.own().clone());
        let reports = node.run_mailboxes.reports.open();
        let term = delegation::Term { start_time: 1, epoch: 1 };
        let mut delegator = delegation::Delegator::new(term);
        delegator.set_hosts(vec![(host.clone(), DOMAIN.into())]);
        let mut script = Script { node, host, delegator, reports };
        while script.delegator.choose(script.node.now(), DOMAIN).is_none() {
            script.exchange().await;
        }
        script
    }

    /// Hands a run to the run host.
    pub fn start_run(&mut self, order: delegation::Order) {
        self.delegator.start(&self.host, order);
    }

    /// Sends orders that are due, and returns what the run host has reported.
    async fn exchange(&mut self) -> Vec<runner::Report> {
        for (to, orders) in self.delegator.due_orders(self.node.now(), true) {
            self.node.peers.cast(&to, frame::Cast::RunOrders(orders));
        }
        time::sleep(Duration::from_millis(20)).await;
        let mut news = Vec::new();
        while let Ok((from, reports)) = self.reports.try_recv() {
            news.extend(self.delegator.record_reports(self.node.now(), &from, reports));
        }
        news
    }

    /// Waits until the given number of runs have ended. Returns their numbers and ends, sorted; fewer
    /// if that takes long.
    pub async fn wait_for_ends(&mut self, count: usize) -> Vec<(u64, runner::RunEnd)> {
        let begun = time::Instant::now();
        let mut ends = Vec::new();
        while ends.len() < count && begun.elapsed() < fleet_world::WAIT_TIMEOUT {
            for report in self.exchange().await {
                if let runner::RunUpdate::Ended(ended) = report.update {
                    ends.push((report.number, ended));
                }
            }
        }
        ends.sort_by_key(|(number, _)| *number);
        ends
    }
}

//! Role store: replicates batch jobs; the leader also runs their items.

use crate::errors;
use crate::fleet::dispatch;
use crate::fleet::entry;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::ledger;
use crate::fleet::member;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::run_host;
use crate::replica;
use crate::state::service;
use crate::supervisor;
use crate::wire;
use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;

/// Most bytes of item bodies and outputs held in memory; further jobs are refused. A snapshot needs
/// as much again, and the smallest store hosts have 280 MB.
const MAX_JOB_BYTES: usize = 96 << 20;

/// Most bytes of item bodies and outputs on a disk of `disk` MB; its size is not known if that is 0. A
/// snapshot is written beside the one before, and both beside the log.
pub fn job_bytes(disk: u64) -> usize {
    let log = member::MAX_LOG_BYTES + 2 * member::SEGMENT_BYTES;
    let free = (disk * 1_000_000).saturating_sub(log) / 2;
    match disk {
        0 => MAX_JOB_BYTES,
        _ => MAX_JOB_BYTES.min(usize::try_from(free).unwrap_or(usize::MAX)),
    }
}

/// Handler of frames from other hosts.
struct Store {
    node: node::Node,
}

/// State that the replica shares with the dispatcher.
#[derive(Clone, Default)]
pub struct SharedLedger {
    /// State machine of the job group.
    pub ledger: Arc<Mutex<ledger::Ledger>>,
    /// Whether this host leads the group.
    pub is_leader: watch::Sender<bool>,
    /// Changes whenever commands are applied.
    pub applied: watch::Sender<u64>,
    /// Numbers that the dispatcher has given. They outlast it, since other hosts still know them when
    /// it is started again.
    pub numbers: Arc<Numbers>,
}

/// Last numbers given in this process.
#[derive(Debug, Default)]
pub struct Numbers {
    epoch: AtomicU64,
    run: AtomicU64,
}

impl Numbers {
    /// Number of a new leadership.
    pub fn next_epoch(&self) -> u64 {
        self.epoch.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Number of a new run.
    pub fn next_run(&self) -> u64 {
        self.run.fetch_add(1, Ordering::Relaxed) + 1
    }
}

struct Machine(Arc<Mutex<ledger::Ledger>>);

impl replica::StateMachine for Machine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        peer::lock(&self.0).apply(index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        replica::StateMachine::snapshot(&*peer::lock(&self.0))
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        peer::lock(&self.0).restore(data)
    }
}

struct Service {
    machine: Machine,
    shared: SharedLedger,
    /// Most bytes of item bodies and outputs.
    job_bytes: usize,
}

impl service::Service for Service {
    fn state_machine(&mut self) -> &mut dyn replica::StateMachine {
        &mut self.machine
    }

    fn query(&self, query: &[u8]) -> Vec<u8> {
        let answer = match postcard::from_bytes(query) {
            Ok(query) => peer::lock(&self.machine.0).answer(&query),
            Err(_) => ledger::Answer::Unknown,
        };
        ledger::encode(&answer)
    }

    fn is_new_work(&self, command: &[u8]) -> bool {
        postcard::from_bytes(command).is_ok_and(|c: ledger::Command| c.is_submission())
    }

    fn prepare(&mut self, _now: Duration, command: Bytes) -> Result<Bytes, wire::Reason> {
        let full = peer::lock(&self.machine.0).stored_bytes() + command.len() > self.job_bytes
            && self.is_new_work(&command);
        if full { Err(wire::Reason::QueueFull) } else { Ok(command) }
    }

    fn leaving_hosts(&self) -> Vec<Arc<str>> {
        peer::lock(&self.machine.0).retiring_hosts().to_vec()
    }

    fn leadership_changed(&mut self, _now: Duration, is_leader: bool) {
        self.shared.is_leader.send_replace(is_leader);
    }

    fn entries_applied(&mut self, _now: Duration) {
        self.shared.applied.send_modify(|n| *n += 1);
    }
}

/// Adds the tasks of the role to a supervisor. Returns the signal that stops connections to other
/// hosts.
///
/// # Errors
/// `Invalid` if the settings lack a data folder, `Io` if it cannot be used.
pub fn start(
    node: &node::Node,
    tree: &mut supervisor::Supervisor,
) -> Result<supervisor::Stop, errors::Error> {
    let folder = node.settings.host.folder.as_ref();
    let folder = folder.ok_or_else(|| {
        errors::Error::invalid("start store", "settings", "host.folder is missing")
    })?;
    let folder = folder.join("jobs");
    let shared = SharedLedger::default();
    let s = shared.clone();
    let target_voters = node.settings.fleet.group_size();
    let job_bytes = job_bytes(node.settings.host.disk);
    let member = member::Member {
        node: node.clone(),
        group: groups::JOBS,
        folder,
        founder: false,
        target_voters,
    };
    member.spawn(tree, move || {
        // A new replica starts with an empty ledger.
        *peer::lock(&s.ledger) = ledger::Ledger::default();
        let machine = Machine(s.ledger.clone());
        Box::new(Service { machine, shared: s.clone(), job_bytes })
    });
    let is_leader = shared.is_leader.subscribe();
    let (n, s) = (node.clone(), shared);
    tree.spawn("items", move |stop| dispatch::run(n.clone(), s.clone(), stop));
    let n = node.clone();
    tree.spawn("runs", move |stop| run_host::run(n.clone(), stop));
    node.spawn_other_load_reports(tree, is_leader.clone());
    node.spawn_limit_grants(tree, is_leader.clone());
    node.spawn_credit_grants(tree, is_leader);
    node.spawn_limit_reports(tree);
    Ok(tree.stop_signal())
}

/// Returns the handler of frames from other hosts.
pub fn peer_handler(node: &node::Node) -> Arc<dyn peer::Handler> {
    Arc::new(Store { node: node.clone() })
}

impl peer::Handler for Store {
    fn cast(&self, from: &Arc<str>, message: frame::Cast) {
        match message {
            frame::Cast::Replica(envelope) => member::deliver(&self.node, envelope),
            frame::Cast::RunOrders(orders) => {
                self.node.run_mailboxes.orders.deliver(from, orders);
            }
            frame::Cast::RunReports(reports) => {
                self.node.run_mailboxes.reports.deliver(from, reports);
            }
            message => entry::handle_cast(&self.node, from, message),
        }
    }

    fn call(&self, request: wire::Request) -> BoxFuture<'static, wire::Reply> {
        member::handle_request(self.node.clone(), groups::JOBS, request).boxed()
    }
}

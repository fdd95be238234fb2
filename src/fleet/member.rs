//! Replica of this host: opens its data folder, runs its thread and probes the other members of its
//! group.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::control_state;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::stored;
use crate::replica;
use crate::state::group;
use crate::state::mesh;
use crate::state::service;
use crate::storage;
use crate::supervisor;
use crate::wire;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time;

/// Interval between heartbeats of a leader. Followers learn of commits with the next heartbeat at
/// the latest.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Shortest election timeout: six heartbeats, so that a failover ends well within the time that
/// operators and callers wait.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(480);
/// Number of log entries between snapshots.
const SNAPSHOT_ENTRIES: u64 = 4_000;
/// Size of a log segment. Two segments are reserved, and the smallest disks hold 128 MB.
pub(super) const SEGMENT_BYTES: u64 = 8 << 20;
/// Most bytes of all log segments together. Snapshots use the rest of the smallest disk.
pub(super) const MAX_LOG_BYTES: u64 = 64 << 20;
/// Interval between probes by a replica that is not a voter or knows no leader.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between attempts to open the data folder while the disk is full.
const FULL_DISK_RETRY_DELAY: Duration = Duration::from_millis(200);
/// File that marks a founder of the control group, a host that took part in the first start of the
/// fleet. A founder that restarts before the group is formed must still help to form it. The file
/// is removed once the replica holds data; otherwise hosts whose replicas were all replaced would
/// form a second group.
const FOUNDER_FILE: &str = "founder";
/// Longest wait for the answer of one member to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Replica of this host and its group.
#[derive(Clone)]
pub struct Member {
    /// Shared state of this process.
    pub node: node::Node,
    /// Number of the replica group.
    pub group: u16,
    /// Folder with the replica's data.
    pub folder: PathBuf,
    /// Whether this host helps to form the control group: it took part in the first start of the
    /// fleet, and the group is not formed yet. The job group is formed by the replicas on which it
    /// was placed.
    pub founder: bool,
    /// Voters that the group should have.
    pub target_voters: usize,
}

/// Sends the messages of the replica over the connections of this host.
struct Outbox {
    peers: peer::Peers,
    runtime: tokio::runtime::Handle,
}

impl mesh::Outbox for Outbox {
    fn send(&self, host: &Arc<str>, envelope: replica::Envelope) {
        // `cast` may spawn the task of a connection, but the replica's thread has no runtime.
        let _guard = self.runtime.enter();
        self.peers.cast(host, frame::Cast::Replica(envelope));
    }

    fn losses(&self, host: &Arc<str>) -> Option<u64> {
        self.peers.bulk_losses(host)
    }
}

/// Returns whether this host is a founder. With the setting `fleet.bootstrap` it is one, and the
/// file that says so after a restart is created; otherwise that file is looked up.
///
/// # Errors
/// `Io` if the data folder cannot be used. A full disk is logged and is no error.
pub fn record_founder(node: &node::Node, folder: &Path) -> Result<bool, errors::Error> {
    let file = folder.join(FOUNDER_FILE);
    if !node.settings.fleet.bootstrap {
        return Ok(file.exists());
    }
    match storage::create_empty(&file) {
        Err(error) if error.is_full() => {
            event!(node.log, events::DISK_FULL; "step" => "create founder file", "error" => %error);
            Ok(true)
        }
        result => Ok(result.map(|()| true)?),
    }
}

impl Member {
    /// Adds the tasks of the replica to a supervisor. `service` creates the state machine, again
    /// each time the replica was removed from its group and starts over.
    pub fn spawn(
        self,
        tree: &mut supervisor::Supervisor,
        service: impl Fn() -> Box<dyn service::Service> + Send + 'static,
    ) {
        let member = self.clone();
        tree.spawn("probes", move |stop| probe(member.clone(), stop));
        let mut stop = tree.stop_signal();
        tree.spawn_once(async move {
            tokio::select! {
                result = self.run(service) => result,
                () = stop.wait() => Ok(()),
            }
        });
    }

    async fn run(
        mut self,
        service: impl Fn() -> Box<dyn service::Service>,
    ) -> Result<(), errors::Error> {
        loop {
            let ended = self.run_once(service()).await?;
            peer::lock(&self.node.local_replica).take();
            match ended {
                group::ExitReason::Closed => return Ok(()),
                group::ExitReason::Retired => {
                    // Another replica has replaced this one, so its data is useless.
                    self.remove_founder_file()?;
                    let failed = |e| errors::Error::io("empty folder", "data folder", e);
                    std::fs::remove_dir_all(&self.folder).map_err(failed)?;
                }
            }
        }
    }

    /// Link addresses of the first members of the group; empty if this host does not know yet where
    /// the group is placed.
    fn first_members(&self) -> Vec<Arc<str>> {
        match self.group {
            groups::CONTROL => self.node.settings.seeds(),
            _ => self.node.view.placement().hosts,
        }
    }

    /// Removes the founder file, so that this host no longer helps to form the group.
    fn remove_founder_file(&mut self) -> Result<(), errors::Error> {
        if self.founder {
            storage::remove(&self.folder.with_file_name(FOUNDER_FILE))?;
            self.founder = false;
        }
        Ok(())
    }

    /// Opens the data folder. Retries while the disk is full.
    async fn open_folder(
        &self,
    ) -> Result<(storage::Folder, u64, replica::PersistentState), storage::Error> {
        let options = storage::Options { segment_size: SEGMENT_BYTES, capacity: MAX_LOG_BYTES };
        let mut logged = false;
        loop {
            match storage::Folder::open_with(&self.folder, self.group, options) {
                Err(error) if error.is_full() => {
                    if !logged {
                        event!(self.node.log, events::DISK_FULL; "step" => "open folder",
                            "error" => %error);
                    }
                    logged = true;
                    time::sleep(FULL_DISK_RETRY_DELAY).await;
                }
                result => return result,
            }
        }
    }

    /// Runs the replica until it ends, on its own thread since it blocks on the disk.
    async fn run_once(
        &mut self,
        service: Box<dyn service::Service>,
    ) -> Result<group::ExitReason, errors::Error> {
        let log = self.node.log.clone();
        let (folder, id, restored) = self.open_folder().await?;
        let blank = restored.snapshot.is_none() && restored.entries.is_empty();
        if !blank {
            self.remove_founder_file()?;
        }
        let founders = match self.group {
            groups::CONTROL => self.node.settings.seeds(),
            _ => Vec::new(),
        };
        self.node.view.set_replica(id);
        if self.group == groups::CONTROL {
            let has_workspaces = |document: &control_state::Document| {
                // One that a later version accepted may not be readable here, and may have workspaces.
                let config = self.node.view.protocol().parse_config(&document.text);
                config.map_or(true, |c| !c.workspaces.is_empty())
            };
            let report = stored::Report::new(id, &restored, has_workspaces);
            self.node.view.set_stored(report);
        }
        event!(log, events::FOLDER_OPENED; "group" => self.group, "replica" => id,
            "entries" => restored.entries.len(),
            "snapshot" => restored.snapshot.as_ref().map_or(0, |s| s.index));
        let own = self.node.view.own().link.clone();
        let parts = group::Parts {
            group: self.group,
            may_form: self.founder && founders.contains(&own),
            host: own,
            hosts: founders,
            target_voters: Some(self.target_voters),
            folder,
            id,
            restored,
            service,
            outbox: Box::new(Outbox {
                peers: self.node.peers.clone(),
                runtime: tokio::runtime::Handle::current(),
            }),
            timer: self.node.timer.clone(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: MIN_ELECTION_TIMEOUT,
            snapshot_entries: SNAPSHOT_ENTRIES,
            metrics: self.node.metrics.clone(),
            log: log.clone(),
        };
        let (handle, calls) = group::channel(id);
        let (sender, ended) = oneshot::channel();
        let run = move || {
            let result = group::Group::new(parts, calls).and_then(group::Group::run);
            // The receiver is dropped only when the process ends.
            let _ = sender.send(result);
        };
        let failed = |e: &dyn ToString| errors::Error::io("run replica", "thread", e.to_string());
        std::thread::Builder::new()
            .name(format!("group-{}", self.group))
            .spawn(run)
            .map_err(|e| failed(&e))?;
        *peer::lock(&self.node.local_replica) = Some(handle);
        // The sender is dropped without a result only if the thread panicked.
        ended.await.unwrap_or_else(|e| Err(failed(&e)))
    }
}

/// Probes the other members at an interval, as long as [`probe_members`] finds a reason to.
async fn probe(member: Member, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut ticks = member.node.timer.subscribe(PROBE_INTERVAL);
    let mut targets = replica::probing::Targets::default();
    loop {
        let handle = peer::lock(&member.node.local_replica).clone();
        if let Some(handle) = handle {
            probe_members(&member, &handle, &mut targets).await;
        }
        tokio::select! {
            _ = ticks.next() => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Asks other hosts for their replicas, and hands the answers to the replica of this host or retires
/// it if a member says that it was removed.
///
/// A blank replica, a learner and one without a leader ask for the members. A leader asks the members
/// that are silent: one that has lost its disk may not know that this host leads, and must be replaced
/// before the next one is lost.
async fn probe_members(
    member: &Member,
    handle: &group::Handle,
    targets: &mut replica::probing::Targets,
) {
    let (done, status) = oneshot::channel();
    handle.call(group::Call::Status { done });
    let Ok(status) = status.await else { return };
    let blank = status.voters == 0;
    let node = &member.node;
    if !blank && &*status.role != "learner" && status.leader.is_some() {
        if status.leader.as_ref() == Some(node.peers.own()) {
            let (done, silent) = oneshot::channel();
            handle.call(group::Call::SilentMembers { done });
            let Ok(silent) = silent.await else { return };
            ask_hosts(member, handle, silent, blank).await;
        }
        return;
    }
    if blank && member.group == groups::JOBS {
        // Ignored unless the group was placed on this replica.
        if let Some(membership) = node.view.placement().membership() {
            handle.call(group::Call::Form(membership));
        }
    }
    let (founders, hosts) = (member.first_members(), node.view.members(member.group));
    let Some(hosts) = targets.next_round(node.now(), &founders, &hosts, blank) else { return };
    let answers = ask_hosts(member, handle, hosts, blank).await;
    targets.record_answers(answers.iter().map(|(answer, members)| (answer, &members[..])));
}

/// Asks hosts for their replicas and hands the answers to the replica of this host, or retires it if
/// one says that it was replaced. Returns the answers, each with the members that it names.
async fn ask_hosts(
    member: &Member,
    handle: &group::Handle,
    mut hosts: Vec<Arc<str>>,
    blank: bool,
) -> Vec<(replica::formation::ProbeAnswer, Vec<Arc<str>>)> {
    let node = &member.node;
    let own = node.peers.own();
    hosts.retain(|host| host != own);
    let ask = |to: Arc<str>| async move {
        let (group, id) = (member.group, handle.id);
        let request = wire::Request::Probe { group, host: own.clone(), id, blank };
        match node.peers.call(&to, request, PROBE_TIMEOUT).await {
            Ok(wire::Reply::Replica { id, blank, retired, members, .. }) => {
                Some((replica::formation::ProbeAnswer { host: to, id, blank }, members, retired))
            }
            _ => None,
        }
    };
    let replies = futures_util::future::join_all(hosts.into_iter().map(ask)).await;
    let mut is_retired = false;
    let mut answers = Vec::new();
    for (answer, members, retired) in replies.into_iter().flatten() {
        is_retired |= retired;
        answers.push((answer, members));
    }
    handle.call(match is_retired {
        true => group::Call::Retire,
        false => group::Call::ProbeAnswers(answers.iter().map(|(a, _)| a.clone()).collect()),
    });
    answers
}

/// Delivers a message from another replica to the replica of this host.
pub fn deliver(node: &node::Node, envelope: replica::Envelope) {
    if envelope.body.is_bulk() {
        // The log may grow.
        node.view.set_stored(None);
    }
    if let Some(handle) = &*peer::lock(&node.local_replica) {
        // A full queue drops the message, which the replication protocol tolerates.
        handle.call(group::Call::Envelope(envelope));
    }
}

/// Answers a request to the replica of this host, which is a member of `group`. Refuses requests
/// for other groups.
pub async fn handle_request(node: node::Node, group: u16, request: wire::Request) -> wire::Reply {
    let requested_group = match &request {
        wire::Request::Propose { group, .. }
        | wire::Request::Query { group, .. }
        | wire::Request::Confirm { group }
        | wire::Request::Probe { group, .. } => *group,
        wire::Request::Status => group,
        _ => u16::MAX,
    };
    if requested_group != group {
        let run = wire::Run::No;
        return wire::Reply::NotDone { reason: wire::Reason::Invalid, leader: None, run };
    }
    let handle = peer::lock(&node.local_replica).clone();
    groups::call_local_replica(handle, request).await
}

//! The state role: drives the replicas of a state host and their state machines.

pub mod directory;
pub mod group;
pub mod mesh;
pub mod nodes;
pub mod service;
pub mod work;

use crate::agent;
use crate::errors;
use crate::event;
use crate::events;
use crate::link;
use crate::replica;
use crate::settings;
use crate::storage;
use crate::supervisor;
use crate::wire;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;

/// Interval of the probes through which a replica that is not a voter finds the others.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Running requests get this long to finish when the process stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The replicas on this host, one for each group.
#[derive(Clone)]
struct StateHost {
    name: Arc<str>,
    fleet: Arc<settings::Fleet>,
    /// Handle of each group, by group id.
    groups: Arc<Vec<group::Handle>>,
    log: slog::Logger,
}

/// Binds the listener, opens the data folders and adds the tasks of the role to a supervisor.
///
/// # Errors
/// If the listener cannot be bound or a data folder cannot be opened.
pub async fn start(
    context: &agent::Context,
    settings: &settings::State,
) -> Result<supervisor::Supervisor, errors::Error> {
    let mut tree = supervisor::Supervisor::new("state", &context.log);
    let log = tree.log().clone();
    let (name, fleet) = (context.process.name.clone(), Arc::new(context.fleet.clone()));
    let links = link::Settings::default();
    let listener = link::Listener::bind(settings.listen, &context.identity, links, &log)?;
    let mesh = mesh::Mesh::start(&context.identity, &fleet, &name, &log);
    let directory = directory::Directory::default();
    let mut groups = Vec::new();
    for group in 0..=fleet.groups {
        let path = settings.folder.join(format!("group-{group}"));
        let (folder, id, restored) = storage::Folder::open(&path, group)
            .map_err(|e| errors::Error::io("open data folder", path.display().to_string(), e))?;
        event!(log, events::FOLDER_OPENED; "group" => group, "entries" => restored.entries.len(),
            "snapshot" => restored.snapshot.as_ref().map_or(0, |s| s.index));
        let service: Box<dyn service::Service> = match group {
            0 => Box::new(nodes::CatalogService::new(directory.clone())),
            _ => Box::new(work::JobService::new(settings.retention, directory.clone(), &log)),
        };
        let parts = group::Parts {
            group,
            host: name.clone(),
            hosts: fleet.hosts.iter().map(|h| h.name.clone()).collect(),
            may_form: true,
            target_voters: None,
            folder,
            id,
            restored,
            service,
            outbox: Box::new(mesh.clone()),
            timer: context.timer.clone(),
            heartbeat_interval: Duration::from_millis(settings.heartbeat),
            election_timeout: Duration::from_millis(settings.election),
            snapshot_entries: settings.snapshot,
            metrics: context.metrics.clone(),
            log: log.clone(),
        };
        let (handle, calls) = group::channel(id);
        tree.spawn_once(run_thread(parts, calls));
        groups.push(handle);
    }
    let host = StateHost { name, fleet, groups: Arc::new(groups), log };
    let listener = Arc::new(listener);
    let h = host.clone();
    tree.spawn("links", move |stop| serve(h.clone(), listener.clone(), stop));
    let (h, context) = (host, context.clone());
    tree.spawn("probes", move |stop| probe(h.clone(), context.clone(), stop));
    Ok(tree)
}

/// Runs a group on its own thread, since it blocks on the disk.
async fn run_thread(
    parts: group::Parts,
    calls: std::sync::mpsc::Receiver<group::Call>,
) -> Result<(), errors::Error> {
    let name = format!("group-{}", parts.group);
    let failed = {
        let name = name.clone();
        move |e: &dyn ToString| errors::Error::io("run replica", &*name, e.to_string())
    };
    let (sender, ended) = oneshot::channel();
    let run = move || {
        let result = group::Group::new(parts, calls).and_then(group::Group::run).map(|_| ());
        // The receiver is dropped only when the process ends.
        let _ = sender.send(result);
    };
    std::thread::Builder::new().name(name).spawn(run).map_err(|e| failed(&e))?;
    // The sender is dropped without a result only if the thread panicked.
    ended.await.unwrap_or_else(|e| Err(failed(&e)))
}

async fn serve(
    host: StateHost,
    listener: Arc<link::Listener>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    loop {
        let peer = tokio::select! {
            peer = listener.accept() => peer,
            () = stop.wait() => None,
        };
        match peer {
            Some(peer) => {
                tokio::spawn(serve_peer(host.clone(), peer));
            }
            None => break,
        }
    }
    listener.close(CLOSE_TIMEOUT).await;
    Ok(())
}

async fn serve_peer(host: StateHost, peer: link::Peer) {
    let is_state = host.fleet.hosts.iter().any(|h| h.name == *peer.name());
    while let Some(incoming) = peer.accept().await {
        match incoming {
            link::Incoming::Stream(stream) => {
                tokio::spawn(serve_stream(host.clone(), stream));
            }
            // Only state hosts may send replica messages.
            link::Incoming::Receiver(receiver) if is_state => {
                tokio::spawn(receive(host.clone(), receiver));
            }
            link::Incoming::Receiver(_) => {
                event!(host.log, events::PEER_REJECTED; "peer" => &**peer.name());
            }
        }
    }
}

async fn receive(host: StateHost, mut receiver: link::Receiver) {
    while let Ok(Some(envelope)) = receiver.recv::<replica::Envelope>().await {
        if let Some(group) = host.groups.get(usize::from(envelope.group)) {
            // A full queue drops the message, which the replication protocol tolerates.
            group.call(group::Call::Envelope(envelope));
        }
    }
}

async fn serve_stream(host: StateHost, mut stream: link::Stream) -> Result<(), errors::Error> {
    let Some(request) = stream.recv::<wire::Request>().await? else { return Ok(()) };
    if let wire::Request::Watch { after } = request {
        return serve_watch(&host, stream, after).await;
    }
    let reply = match request {
        wire::Request::Status => host.status().await,
        request => host.handle_request(request).await,
    };
    stream.send(&reply).await?;
    stream.finish();
    Ok(())
}

async fn serve_watch(
    host: &StateHost,
    mut stream: link::Stream,
    after: u64,
) -> Result<(), errors::Error> {
    let (sender, mut frames) = mpsc::channel(group::WATCH_BUFFER);
    host.groups[0].call(group::Call::Watch { after, sender });
    let closed = stream.closed();
    tokio::pin!(closed);
    loop {
        tokio::select! {
            frame = frames.recv() => match frame {
                Some(frame) => stream.send(&frame).await?,
                // The watcher was too slow, or this replica has applied less than the watcher,
                // which then resumes at another host.
                None => return Ok(()),
            },
            () = &mut closed => return Ok(()),
        }
    }
}

impl StateHost {
    async fn handle_request(&self, request: wire::Request) -> wire::Reply {
        let refused = |reason| wire::Reply::NotDone { reason, leader: None, run: wire::Run::No };
        let Some(group) = self.groups.get(usize::from(group_of(&request))) else {
            return refused(wire::Reason::Invalid);
        };
        let (done, answer) = oneshot::channel();
        let call = group::Call::from_request(request, done);
        if !group.call(call) {
            return refused(wire::Reason::QueueFull);
        }
        // The thread drops a pending call only when it ends. The command may already be in the log
        // by then.
        answer.await.unwrap_or(wire::Reply::NotDone {
            reason: wire::Reason::NoQuorum,
            leader: None,
            run: wire::Run::Unknown,
        })
    }

    async fn status(&self) -> wire::Reply {
        let mut groups = Vec::new();
        for group in self.groups.iter() {
            let (done, answer) = oneshot::channel();
            group.call(group::Call::Status { done });
            if let Ok(status) = answer.await {
                groups.push(status);
            }
        }
        wire::Reply::Groups(groups)
    }
}

/// Returns the group that a request is for; requests that name no group are for group 0.
fn group_of(request: &wire::Request) -> u16 {
    match request {
        wire::Request::Propose { group, .. }
        | wire::Request::Query { group, .. }
        | wire::Request::Confirm { group }
        | wire::Request::Pull { group, .. }
        | wire::Request::Renew { group, .. }
        | wire::Request::Release { group, .. }
        | wire::Request::Probe { group, .. } => *group,
        _ => 0,
    }
}

/// Probes the other state hosts at an interval, for each replica on this host that needs it.
async fn probe(
    host: StateHost,
    context: agent::Context,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let client = crate::client::Client::new(&context.identity, &host.fleet, &host.log);
    let mut ticks = context.timer.subscribe(PROBE_INTERVAL);
    loop {
        for (group, handle) in (0u16..).zip(host.groups.iter()) {
            probe_group(&host, &client, group, handle).await;
        }
        tokio::select! {
            _ = ticks.next() => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

async fn probe_group(
    host: &StateHost,
    client: &crate::client::Client,
    group: u16,
    handle: &group::Handle,
) {
    let (done, status) = oneshot::channel();
    handle.call(group::Call::Status { done });
    let Ok(status) = status.await else { return };
    // The others know a voter from its messages, so only a blank replica or a learner probes.
    if status.voters > 0 && &*status.role != "learner" {
        return;
    }
    let blank = status.voters == 0;
    let ask = |to: Arc<str>| async move {
        let request = wire::Request::Probe { group, host: host.name.clone(), id: handle.id, blank };
        match time::timeout(PROBE_TIMEOUT, client.call_host(&to, &request)).await {
            Ok(Ok(wire::Reply::Replica { id, blank, .. })) => {
                Some(replica::formation::ProbeAnswer { host: to, id, blank })
            }
            _ => None,
        }
    };
    let others = host.fleet.hosts.iter().filter(|h| h.name != host.name);
    let answers = futures_util::future::join_all(others.map(|h| ask(h.name.clone()))).await;
    handle.call(group::Call::ProbeAnswers(answers.into_iter().flatten().collect()));
}

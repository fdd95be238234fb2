//! Role control: holds the configuration and the directory and serves operators and endpoints.

mod calls;
pub mod unnamed;

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::admission;
use crate::fleet::body;
use crate::fleet::builds;
use crate::fleet::control_state;
use crate::fleet::deadline;
use crate::fleet::directory;
use crate::fleet::documents;
use crate::fleet::entry;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::member;
use crate::fleet::node;
use crate::fleet::origin;
use crate::fleet::peer;
use crate::fleet::quarantine;
use crate::fleet::routes;
use crate::fleet::serve;
use crate::fleet::settings;
use crate::fleet::sync;
use crate::fleet::view;
use crate::replica;
use crate::state::service;
use crate::supervisor;
use crate::wire;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time;

/// Longest wait for a change to be committed or a read to be confirmed. Callers give up after a
/// second and ask another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait for the first endpoint of a build to be acknowledged. It registers again about once a
/// second.
const BUILD_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between checks for builds without endpoints.
const BUILD_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Largest body of a configuration.
const MAX_BODY_BYTES: usize = documents::MAX_DOCUMENT_BYTES;
/// Largest body of any other call, such as a registration.
const MAX_CALL_BYTES: usize = 64 << 10;
/// Most bytes of bodies that are held in all, so that a few long configurations can be read at a time.
const MAX_HELD_BODY_BYTES: usize = 3 * MAX_BODY_BYTES;
/// Interval between checks whether the job group can be placed.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(300);
/// The job group is placed only after the set of present store hosts has not changed for this long.
const MIN_STABLE_TIME: Duration = Duration::from_millis(900);
/// Interval between checks for silent endpoints and hosts.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest time between two messages about quarantined parts to all hosts.
const QUARANTINE_INTERVAL: Duration = Duration::from_millis(100);
/// Time that running calls get to finish when the host stops.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Handler of HTTP calls and of frames from other hosts.
struct Control {
    node: node::Node,
    directory_sync: Mutex<sync::DirectorySync>,
    /// Hosts that know an earlier state of the quarantined parts.
    quarantine_sync: Mutex<sync::DirectorySync>,
    /// Registrations of services that the configuration does not name.
    unnamed: Mutex<unnamed::Registrations>,
    /// Held while a build is committed.
    build_turn: tokio::sync::Mutex<()>,
    /// Memory for the bodies of calls.
    memory: body::Memory,
    stage: deadline::StageReceiver,
}

impl Control {
    fn new(node: &node::Node, stage: deadline::StageReceiver) -> Control {
        Control {
            node: node.clone(),
            directory_sync: Mutex::default(),
            quarantine_sync: Mutex::default(),
            unnamed: Mutex::default(),
            build_turn: tokio::sync::Mutex::default(),
            memory: body::Memory::new(MAX_HELD_BODY_BYTES),
            stage,
        }
    }
}

/// Replicated service of the control group. Publishes applied changes and leadership to the tasks
/// of this host.
struct Service {
    state: control_state::ControlState,
    published: watch::Sender<control_state::ControlState>,
    is_leader: watch::Sender<bool>,
    view: Arc<view::View>,
}

impl service::Service for Service {
    fn state_machine(&mut self) -> &mut dyn replica::StateMachine {
        &mut self.state
    }

    fn query(&self, query: &[u8]) -> Vec<u8> {
        self.state.answer(query)
    }

    fn is_new_work(&self, _command: &[u8]) -> bool {
        true
    }

    fn leadership_changed(&mut self, _now: Duration, is_leader: bool) {
        // Commands are accepted only after this, and make the log grow.
        self.view.set_stored(None);
        self.is_leader.send_replace(is_leader);
    }

    fn entries_applied(&mut self, _now: Duration) {
        let state = &self.state;
        self.published.send_if_modified(|published| {
            let key = |s: &control_state::ControlState| {
                let revisions = (s.document.version, s.quarantine.revision());
                (revisions, s.placement.clone(), s.builds.clone())
            };
            let changed = key(published) != key(state);
            if changed {
                *published = state.clone();
            }
            changed
        });
    }
}

/// Adds the tasks of the role to a supervisor. Returns the signal that stops connections to other
/// hosts.
///
/// # Errors
/// `Io` if a listener cannot be opened or the data folder cannot be used, `Invalid` if the settings
/// lack an address or folder.
pub fn start(
    node: &node::Node,
    tree: &mut supervisor::Supervisor,
) -> Result<supervisor::Stop, errors::Error> {
    let missing = |name| errors::Error::invalid("start control", "settings", name);
    let operators =
        node.settings.listen.operators.ok_or_else(|| missing("listen.operators is missing"))?;
    let folder =
        node.settings.host.folder.as_ref().ok_or_else(|| missing("host.folder is missing"))?;
    let operators = node::listen(operators)?;
    let founder = member::record_founder(node, folder)?;
    let member = member::Member {
        node: node.clone(),
        founder,
        group: groups::CONTROL,
        folder: folder.join("control"),
        target_voters: node.settings.fleet.group_size(),
    };
    let (state_sender, published) = watch::channel(control_state::ControlState::default());
    let (parts, view) = (published.clone(), node.view.clone());
    let (leader_sender, is_leader) = watch::channel(false);
    member.spawn(tree, move || {
        let (published, is_leader) = (state_sender.clone(), leader_sender.clone());
        let state = control_state::ControlState::default();
        Box::new(Service { state, published, is_leader, view: view.clone() })
    });
    let (stage_sender, stage) = watch::channel(admission::Stage::default());
    let control = Arc::new(Control::new(node, stage.clone()));
    let (ended, end) = supervisor::Stop::channel();
    let (open, _) = watch::channel(());
    let (_, bounds) =
        watch::channel(routes::Bounds { body_bytes: MAX_BODY_BYTES, ..routes::Bounds::default() });
    let log = tree.log().clone();
    let c = control.clone();
    tree.spawn("named services", move |stop| register_named(c.clone(), stop));
    tree.spawn_once(serve::run(operators, control, bounds, stage, open.clone(), end, log).map(Ok));
    let mut stop = tree.stop_signal();
    tree.spawn_once(async move {
        stop.wait().await;
        let now = time::Instant::now();
        let schedule = admission::Schedule::without_balancer(now, DRAIN_TIMEOUT);
        stage_sender.send_replace(admission::Stage::Closing { end: schedule.end });
        let _ = time::timeout_at(schedule.cut, open.closed()).await;
        ended.send_replace(true);
        Ok(())
    });
    let n = node.clone();
    tree.spawn("configuration", move |stop| publish_state(n.clone(), published.clone(), stop));
    let (n, p, l) = (node.clone(), parts, is_leader.clone());
    tree.spawn("quarantine", move |stop| publish_quarantine(n.clone(), p.clone(), l.clone(), stop));
    let n = node.clone();
    tree.spawn("silence", move |stop| mark_silent_records(n.clone(), stop));
    let (n, l) = (node.clone(), is_leader.clone());
    tree.spawn("builds", move |stop| remove_unused_builds(n.clone(), l.clone(), stop));
    let n = node.clone();
    tree.spawn("placement", move |stop| place_job_group(n.clone(), is_leader.clone(), stop));
    Ok(tree.stop_signal())
}

/// Returns the handler of frames from other hosts.
pub fn peer_handler(node: &node::Node) -> Arc<dyn peer::Handler> {
    let (_, stage) = watch::channel(admission::Stage::default());
    Arc::new(Control::new(node, stage))
}

impl peer::Handler for Control {
    fn cast(&self, from: &Arc<str>, message: frame::Cast) {
        let node = &self.node;
        match message {
            frame::Cast::Replica(envelope) => member::deliver(node, envelope),
            frame::Cast::Announce(announcement) => self.handle_announcement(&announcement),
            frame::Cast::FetchConfig(held) => match node.view.encode_config(held) {
                Ok(Some(encoded)) => {
                    // A host that accepts requests has to know which ones crash endpoints.
                    let quarantine = Some(node.view.quarantine(|q| q.summary()));
                    // A host without a configuration starts. It gets the directory from the one control
                    // host that it asks, before the configuration with which it begins to serve.
                    let whole = held.version == 0;
                    let records = match whole {
                        true => node.view.directory(|d| d.records()),
                        false => directory::Records::default(),
                    };
                    let update =
                        frame::Update { quarantine, records, whole, ..frame::Update::default() };
                    node.peers.cast(from, frame::Cast::Update(update));
                    node.peers.send_config(from, encoded);
                }
                Ok(None) => {}
                Err(problem) => {
                    event!(node.log, events::CONFIG_UNDECODABLE; "peer" => &**from,
                        "held" => held.version, "error" => %problem);
                }
            },
            frame::Cast::Origins(records) => {
                let mut origins = peer::lock(&node.origins);
                for record in records {
                    origins.insert(node.now(), record);
                }
            }
            message => entry::handle_cast(node, from, message),
        }
    }

    fn call(&self, request: wire::Request) -> BoxFuture<'static, wire::Reply> {
        if let wire::Request::FindOrigin { stream } = &request {
            let found = peer::lock(&self.node.origins).find(self.node.now(), stream);
            return async { wire::Reply::Origin(found) }.boxed();
        }
        member::handle_request(self.node.clone(), groups::CONTROL, request).boxed()
    }
}

/// Sends a message to every present host except this one.
fn broadcast(node: &node::Node, message: &frame::Cast) {
    let now = node.now();
    let roles = [settings::Role::Entry, settings::Role::Store, settings::Role::Control];
    let hosts: Vec<Arc<str>> = node.view.directory(|d| {
        let present = roles.iter().flat_map(|role| d.present_hosts(now, *role));
        present.map(|h| h.link.clone()).collect()
    });
    let own = &node.view.own().link;
    for host in hosts.iter().filter(|h| *h != own) {
        node.peers.cast(host, message.clone());
    }
}

/// Sends records of the directory to every present host.
fn broadcast_records(node: &node::Node, records: directory::Records) {
    let update = frame::Update { records, ..frame::Update::default() };
    broadcast(node, &frame::Cast::Update(update));
}

/// Tells the hosts that this control host serves first of a new version. The others learn of it from
/// other control hosts, or when they announce themselves.
fn tell_version(node: &node::Node, version: u64) {
    let now = node.now();
    let roles = [settings::Role::Entry, settings::Role::Store, settings::Role::Control];
    let own = &node.view.own().link;
    let hosts: Vec<Arc<str>> = node.view.directory(|d| {
        let present = d.present_hosts(now, settings::Role::Control);
        let controls: Vec<_> = present.map(|h| (h.link.clone(), h.domain.clone())).collect();
        let present = roles.iter().flat_map(|role| d.present_hosts(now, *role));
        let told = present.filter(|h| sync::is_informed_by(&h.link, &h.domain, own, &controls));
        told.map(|h| h.link.clone()).collect()
    });
    for host in hosts.iter().filter(|h| *h != own) {
        node.peers.cast(host, frame::Cast::ConfigAvailable(version));
    }
}

/// Passes configuration and placement that the replica has applied to the view of this host and to
/// the other hosts.
async fn publish_state(
    node: node::Node,
    mut published: watch::Receiver<control_state::ControlState>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    loop {
        let state = published.borrow_and_update().clone();
        let version = state.document.version;
        node.view.apply_quarantine(node.now(), &state.quarantine.summary());
        node.view.set_builds(state.builds);
        if node.view.apply_document(state.document) {
            tell_version(&node, version);
        }
        let placement = Some(state.placement).filter(|p| node.view.apply_placement(p.clone()));
        if placement.is_some() {
            let update = frame::Update { placement, ..frame::Update::default() };
            broadcast(&node, &frame::Cast::Update(update));
        }
        tokio::select! {
            changed = published.changed() => if changed.is_err() { return Ok(()) },
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Registers the endpoints whose services a new configuration names.
async fn register_named(
    control: Arc<Control>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let node = &control.node;
    let (mut changes, mut version) = (node.view.changes(), 0);
    loop {
        if let Some(active) = node.view.active_config()
            && active.document.version != version
        {
            version = active.document.version;
            let named = peer::lock(&control.unnamed).take_named(node.now(), &active.config);
            for endpoint in named {
                // An endpoint whose build cannot be recorded registers again.
                control.store_endpoint(endpoint).await;
            }
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return Ok(()) },
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Tells the other hosts of quarantined and suspected parts of prompts while this host leads the
/// control group. A host that misses this announces an earlier revision and gets them again.
async fn publish_quarantine(
    node: node::Node,
    mut published: watch::Receiver<control_state::ControlState>,
    mut is_leader: watch::Receiver<bool>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut sent = None;
    loop {
        // A leader has everything that was committed before only once a quorum has confirmed it.
        let is_leading = *is_leader.borrow_and_update();
        let confirmed = is_leading && node.groups.confirm_local(CALL_TIMEOUT).await;
        let state = published.borrow_and_update().quarantine.clone();
        if confirmed && sent != Some(state.revision()) {
            let summary = quarantine::Summary { confirmed, ..state.summary() };
            node.view.apply_quarantine(node.now(), &summary);
            let quarantine = Some(summary);
            let update = frame::Update { quarantine, ..frame::Update::default() };
            broadcast(&node, &frame::Cast::Update(update));
        }
        sent = confirmed.then_some(state.revision());
        tokio::select! {
            () = time::sleep(QUARANTINE_INTERVAL) => {}
            () = stop.wait() => return Ok(()),
        }
        let is_due = is_leading && !confirmed;
        tokio::select! {
            changed = published.changed() => if changed.is_err() { return Ok(()) },
            changed = is_leader.changed() => if changed.is_err() { return Ok(()) },
            () = std::future::ready(()), if is_due => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Marks endpoints and hosts without recent heartbeats as silent and tells the other hosts.
async fn mark_silent_records(
    node: node::Node,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut ticks = node.timer.subscribe(SILENCE_CHECK_INTERVAL);
    loop {
        let now = tokio::select! {
            now = ticks.next() => now,
            () = stop.wait() => return Ok(()),
        };
        let own = &node.view.own().link;
        let records = node.view.directory(|d| d.mark_silent(now, own));
        for endpoint in &records.endpoints {
            event!(node.log, events::ENDPOINT_CHANGED; "endpoint" => &*endpoint.id,
                "phase" => ?endpoint.phase, "cause" => "no heartbeat for long");
        }
        if !records.endpoints.is_empty() || !records.hosts.is_empty() {
            node.view.notify_directory_changed();
            broadcast_records(&node, records);
        }
    }
}

/// Removes builds of which there has been no endpoint for long. Only the leader of the control group
/// does this.
async fn remove_unused_builds(
    node: node::Node,
    is_leader: watch::Receiver<bool>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut ticks = node.timer.subscribe(BUILD_CHECK_INTERVAL);
    let mut unused = builds::UnusedBuilds::default();
    loop {
        let now = tokio::select! {
            now = ticks.next() => now,
            () = stop.wait() => return Ok(()),
        };
        if !*is_leader.borrow() {
            unused.clear();
            continue;
        }
        let known = node.view.builds();
        let expired = node.view.directory(|d| {
            let is_used = |b: &origin::Origin| {
                d.endpoints().any(|e| e.service == b.service && e.build == b.build)
            };
            unused.expired(now, known.all(), is_used)
        });
        if expired.is_empty() {
            continue;
        }
        event!(node.log, events::BUILDS_REMOVED; "builds" => ?expired);
        let command = control_state::Command::RemoveBuilds(expired);
        if let Err(failure) = node.groups.propose(groups::CONTROL, &command, CALL_TIMEOUT).await {
            // The next check tries again.
            event!(node.log, events::CHANGE_REFUSED; "step" => "remove builds",
                "reason" => ?failure);
        }
    }
}

/// Store host on which a replica of the job group can be placed.
#[derive(Clone, PartialEq, Eq)]
struct Candidate {
    link: Arc<str>,
    domain: Arc<str>,
    replica: u64,
}

/// Places the job group once enough store hosts are present. Only the leader of the control group
/// does this.
async fn place_job_group(
    node: node::Node,
    is_leader: watch::Receiver<bool>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut ticks = node.timer.subscribe(PLACEMENT_INTERVAL);
    let (mut candidates, mut unchanged_since) = (Vec::<Candidate>::new(), Duration::ZERO);
    loop {
        let now = tokio::select! {
            now = ticks.next() => now,
            () = stop.wait() => return Ok(()),
        };
        if !*is_leader.borrow() || !node.view.placement().hosts.is_empty() {
            continue;
        }
        let candidate = |h: &directory::Host| {
            let (link, domain) = (h.link.clone(), h.domain.clone());
            h.replica.map(|replica| Candidate { link, domain, replica })
        };
        let present = node.view.directory(|d| {
            d.present_hosts(now, settings::Role::Store).filter_map(candidate).collect::<Vec<_>>()
        });
        if present != candidates {
            (candidates, unchanged_since) = (present, now);
            continue;
        }
        let size = node.settings.fleet.group_size();
        if candidates.len() < size || now.saturating_sub(unchanged_since) < MIN_STABLE_TIME {
            continue;
        }
        let command = control_state::Command::Place(choose_stores(&candidates, size));
        if let Err(failure) = node.groups.propose(groups::CONTROL, &command, CALL_TIMEOUT).await {
            // The next tick retries unless the command was committed after all.
            event!(node.log, events::CHANGE_REFUSED; "reason" => ?failure, "step" => "place jobs");
        }
    }
}

/// Chooses `size` hosts from as many failure domains as possible.
fn choose_stores(hosts: &[Candidate], size: usize) -> control_state::Placement {
    let mut chosen: Vec<&Candidate> = Vec::new();
    while chosen.len() < size.min(hosts.len()) {
        let used = |host: &&Candidate| chosen.iter().filter(|c| c.domain == host.domain).count();
        let free = hosts.iter().filter(|h| !chosen.iter().any(|c| c.link == h.link));
        let Some(next) = free.min_by_key(used) else { break };
        chosen.push(next);
    }
    control_state::Placement::new(chosen.into_iter().map(|c| (c.link.clone(), c.replica)))
}

impl Control {
    /// Registers the host that announced itself, and sends it what it lacks. The other hosts learn
    /// of a change from the first of the control hosts that serve this one.
    fn handle_announcement(&self, announcement: &frame::Announcement) {
        let (node, now) = (&self.node, self.node.now());
        let (host, role) = (announcement.host.clone(), announcement.host.role);
        let link = &announcement.host.link;
        let changed = node.view.directory(|d| d.register_host(now, host.clone()));
        let controls: Vec<Arc<str>> = node.view.directory(|d| {
            d.present_hosts(now, settings::Role::Control).map(|h| h.link.clone()).collect()
        });
        let rank = sync::rank(link, &node.view.own().link, &controls);
        if changed {
            node.view.notify_directory_changed();
            if rank == 0 {
                let hosts = vec![host];
                broadcast_records(node, directory::Records { hosts, ..Default::default() });
            }
        }
        let version = node.view.config_version();
        if version > announcement.version {
            node.peers.cast(link, frame::Cast::ConfigAvailable(version));
        }
        let same = node.view.has_same_directory(announcement);
        let due = peer::lock(&self.directory_sync).is_due(now, link, rank, same);
        // Until this host hears of a leader, it may be the only one to know of a registration from before
        // the entry announced itself. The entry takes its first directory from another one.
        let is_first = changed && role == settings::Role::Entry && node.view.stored().is_some();
        let due = due || (is_first && !same);
        if let Some(update) = node.view.missing_update(announcement, due) {
            node.peers.cast(link, frame::Cast::Update(update));
        }
        let (known, confirmed) = node.view.quarantine(|q| (q.revision(), q.is_confirmed()));
        let same =
            announcement.quarantine >= known && (announcement.quarantine_confirmed || !confirmed);
        let is_waiting = !announcement.quarantine_confirmed;
        let stored = node.view.stored().filter(|_| is_waiting && !confirmed);
        if let Some(report) = stored.filter(|_| role != settings::Role::Control) {
            node.peers.cast(link, frame::Cast::Stored(report));
        }
        // A host that starts sends no requests before, so it does not wait for its turn.
        let is_urgent = is_waiting && confirmed;
        if peer::lock(&self.quarantine_sync).is_due(now, link, rank, same) || is_urgent {
            let quarantine = Some(node.view.quarantine(|q| q.summary()));
            let update = frame::Update { quarantine, ..frame::Update::default() };
            node.peers.cast(link, frame::Cast::Update(update));
        }
    }
}

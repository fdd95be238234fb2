//! State shared by the parts of one process, and the tasks that every role runs.
use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::crashes;
use crate::fleet::directory;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::identity;
use crate::fleet::limits;
use crate::fleet::load;
use crate::fleet::origin;
use crate::fleet::peer;
use crate::fleet::place;
use crate::fleet::placement::pace;
use crate::fleet::protocol;
use crate::fleet::run_host;
use crate::fleet::settings;
use crate::fleet::slots;
use crate::fleet::sync;
use crate::fleet::upstream;
use crate::fleet::view;
use crate::fleet::waiting;
use crate::fleet::workspaces;
use crate::metrics;
use crate::sorted;
use crate::supervisor;
use crate::timer;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::signal::unix;
use tokio::sync::watch;

/// Interval between announcements of this host to the control hosts.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between announcements before the first configuration and the quarantined causes are known,
/// and at an entry the first directory.
const INITIAL_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an entry checks whether its running requests have changed, to report them.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between reports of other load to the entries. Each costs a message to every entry.
const OTHER_LOAD_INTERVAL: Duration = Duration::from_millis(15);
/// Unchanged load reports are repeated after this long.
const LOAD_REPEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between reads of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between checks whether a configuration that was asked for is overdue.
const FETCH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Most connections of a listener that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Reason for refusals while [`Node::is_in_contact`] is false.
pub const OUT_OF_CONTACT: &str = "too few control hosts can be reached";

/// State shared by the parts of one process. Clones share it.
#[derive(Clone)]
pub struct Node {
    /// Settings as read at the start of the process.
    pub settings: Arc<settings::Settings>,
    /// Path of the settings file.
    pub path: Arc<PathBuf>,
    /// Configuration, directory, placement and load as this host knows them.
    pub view: Arc<view::View>,
    /// Connections to other hosts.
    pub peers: peer::Peers,
    /// Client of the replica groups.
    pub groups: groups::Client,
    /// HTTP client for endpoints.
    pub upstream: upstream::Upstream,
    /// Configuration that this host is fetching.
    pub config_fetch: Arc<Mutex<sync::ConfigFetch>>,
    /// Origins of streams: at an entry of its own, at a control host of those sent to it.
    pub origins: Arc<Mutex<origin::Origins>>,
    /// Endpoints that failed recently.
    pub health: Arc<Mutex<place::Health>>,
    /// Paces of endpoints, and which of them fail a part of their requests.
    pub paces: Arc<Mutex<pace::Paces>>,
    /// Endpoints at which answers broke off recently.
    pub suspects: Arc<Mutex<crashes::Suspects>>,
    /// Limits of endpoints, and the permissions of this host to send them requests.
    pub quota: Arc<Mutex<limits::quota::Quota>>,
    /// Times at which callers return that were refused because of limits.
    pub returns: Arc<Mutex<limits::returns::Returns>>,
    /// Grants of requests to limited endpoints, while this host places items.
    pub grantor: Arc<Mutex<Option<limits::grantor::Grantor>>>,
    /// Whether the configuration of an entry is known to be current.
    pub contact: Arc<Mutex<workspaces::contact::Contact>>,
    /// Requests of an entry that were rejected for their keys.
    pub rejections: Arc<Mutex<identity::Rejections>>,
    /// Credit for the requests of workspaces with quotas.
    pub credit: workspaces::exchange::Credit,
    /// Requests that wait for slots.
    pub slots: slots::Slots,
    /// Messages about runs of items that one host carries out for another.
    pub run_mailboxes: Arc<run_host::Mailboxes>,
    /// Handle of the replica on this host, while it runs.
    pub local_replica: groups::local::SharedHandle,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// Timer service.
    pub timer: timer::Timer,
    /// Logger.
    pub log: slog::Logger,
}

/// Unix time in milliseconds, with `offset` added. Used only to order the starts of processes, and to
/// tell which endpoints crashed at the same moment.
pub fn unix_time(offset: i64) -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let time = since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    time.saturating_add_signed(offset)
}

impl Node {
    /// Creates the shared state of a process. Must be called on a tokio runtime.
    pub fn new(
        settings: settings::Settings,
        path: PathBuf,
        protocol: Arc<dyn protocol::Protocol>,
        log: &slog::Logger,
    ) -> Node {
        let own = directory::Host {
            name: settings.host.name.clone(),
            link: settings.link().to_string().into(),
            role: settings.host.role,
            domain: settings.host.domain.clone(),
            start_time: unix_time(settings.host.clock_offset),
            seq: 0,
            replica: None,
            silent: false,
        };
        let link = own.link.clone();
        let view = Arc::new(view::View::new(own, settings.seeds(), protocol, log));
        let metrics = metrics::Metrics::new();
        let peers = peer::Peers::new(link, &metrics, log);
        let local_replica = groups::local::SharedHandle::default();
        let timer = timer::Timer::start();
        let credit = workspaces::exchange::Credit::new(timer.now(), view.own().start_time);
        let group = match settings.host.role {
            settings::Role::Control => Some(groups::CONTROL),
            settings::Role::Store => Some(groups::JOBS),
            settings::Role::Entry => None,
        };
        let own_group = group.map(|g| (g, local_replica.clone()));
        Node {
            groups: groups::Client::new(peers.clone(), view.clone(), own_group, log),
            settings: Arc::new(settings),
            path: Arc::new(path),
            view,
            peers,
            upstream: upstream::Upstream::default(),
            config_fetch: Arc::default(),
            origins: Arc::default(),
            health: Arc::default(),
            paces: Arc::default(),
            suspects: Arc::default(),
            quota: Arc::default(),
            returns: Arc::default(),
            grantor: Arc::default(),
            contact: Arc::default(),
            rejections: Arc::default(),
            credit,
            slots: slots::Slots::default(),
            run_mailboxes: Arc::default(),
            local_replica,
            metrics,
            timer,
            log: log.clone(),
        }
    }

    /// Monotonic time since the start of the process.
    pub fn now(&self) -> Duration {
        self.timer.now()
    }

    /// Whether this host is in contact with at least half of the control hosts. Otherwise changes may
    /// be accepted that it does not learn of, and the others may not learn what it is told.
    pub fn is_in_contact(&self) -> bool {
        let controls = self.view.registered_controls();
        let reached = controls.iter().filter(|c| self.peers.is_connected(c)).count();
        // A control host reaches itself, but is not in the list.
        let own = usize::from(self.settings.host.role == settings::Role::Control);
        let (reached, total) = (reached + own, controls.len() + own);
        // An entry knows no control host before it gets its first directory.
        reached > 0 && 2 * reached >= total
    }

    /// Whether a control host has a configuration that is newer than the version `known`.
    pub fn is_newer_config_available(&self, known: u64) -> bool {
        peer::lock(&self.config_fetch).is_newer_available(known)
    }

    /// Fetches the configuration if the control host `from` has a newer one.
    pub fn handle_available_config(&self, from: &Arc<str>, version: u64) {
        let known = self.view.config_version();
        let source =
            peer::lock(&self.config_fetch).record_available(self.now(), known, version, from);
        self.fetch_config(source);
    }

    /// Applies an update of a control host. Returns the parts that changed something here.
    pub fn apply_update(&self, update: frame::Update) -> Option<frame::Update> {
        let applied = self.view.apply_update(self.now(), update);
        self.report_ended_marks();
        if applied.as_ref().is_some_and(|a| a.quarantine.is_some()) {
            let count = self.view.quarantine(|q| q.count());
            self.metrics.record_level("quarantined_parts", count as u64);
        }
        applied
    }

    /// Applies a configuration that the control host `from` has sent, and fetches a newer one if it
    /// is available.
    pub fn apply_config(&self, from: &Arc<str>, encoded: &frame::EncodedConfig) {
        let result = self.view.apply_encoded(encoded);
        let known = self.view.config_version();
        let mut fetch = peer::lock(&self.config_fetch);
        let source = match result {
            Ok(_) => fetch.record_arrival(self.now(), known),
            Err(problem) => {
                event!(self.log, events::CONFIG_UNDECODABLE; "version" => encoded.version,
                    "base" => encoded.base, "held" => known, "bytes" => encoded.data.len(),
                    "peer" => &**from, "error" => %problem);
                fetch.record_unusable(self.now(), known)
            }
        };
        drop(fetch);
        self.fetch_config(source);
    }

    fn fetch_config(&self, source: Option<sync::Fetch>) {
        if let Some(sync::Fetch { source, whole }) = source {
            let held = match whole {
                true => frame::HeldConfig::default(),
                false => self.view.held_config(),
            };
            self.peers.cast(&source, frame::Cast::FetchConfig(held));
        }
    }

    /// Endpoints of a service that accept requests, with their running requests.
    pub fn candidates(&self, service: &str) -> Vec<place::Candidate> {
        let (now, domain) = (self.now(), &self.settings.host.domain);
        self.view.directory(|d| {
            self.view.loads(|l| {
                let (health, mut quota) = (peer::lock(&self.health), peer::lock(&self.quota));
                let candidate = |e: &directory::Endpoint| {
                    let running = l.running(now, &e.id);
                    let start = limits::EndpointStart::new(&e.id, e.start_time);
                    let allowance = quota.allowance(now, &start);
                    let avoided = health.is_avoided(now, &e.id);
                    place::Candidate::new(e, domain, running, avoided, allowance)
                };
                d.available_endpoints(service).map(candidate).collect()
            })
        })
    }

    /// Chooses an endpoint that is not in `tried`. `repeatable` tells whether the request may run more
    /// than once.
    pub fn choose(
        &self,
        candidates: Vec<place::Candidate>,
        tried: &[Arc<str>],
        repeatable: bool,
    ) -> place::Choice {
        let (choice, reason) = {
            let paces = peer::lock(&self.paces);
            let (now, deviations) = (self.now(), paces.deviations());
            let experience = place::Experience { now, deviations, repeatable };
            place::choose_by(candidates, tried, rand::random(), &experience)
        };
        if let Some(reason) = reason {
            self.metrics.count_preference(match reason {
                place::Reason::Speed => "speed",
                place::Reason::Failing => "failing",
                place::Reason::Trial => "trial",
            });
        }
        choice
    }

    /// Expected time for each further event of a request that is sent to an endpoint now.
    pub fn expected_pace(&self, endpoint: &place::Candidate) -> Option<Duration> {
        let load::Running { own, online, batch } = endpoint.running;
        peer::lock(&self.paces).expected_pace(&endpoint.id, own + online + batch, endpoint.slots)
    }

    /// Records the pace of a complete response. Its endpoint is as it was when it was chosen.
    pub fn record_pace(&self, endpoint: &place::Candidate, pace: Duration) {
        let now = self.now();
        let load::Running { own, online, batch } = endpoint.running;
        let last = self.view.loads(|l| l.running(now, &endpoint.id));
        // The response itself is counted at its end. Both ends stand for the time in between.
        let last = (last.own + last.online + last.batch).saturating_sub(1);
        let running = (own + online + batch + last) / 2;
        let of = (&*endpoint.id, endpoint.start_time);
        peer::lock(&self.paces).record_pace(now, of, (running, endpoint.slots), pace);
    }

    /// Compares the endpoints and logs those that have become slow or failing, or recovered.
    fn compare_paces(&self) {
        let known = |id: &str| self.view.directory(|d| d.endpoint(id).is_some());
        let findings = {
            let mut paces = peer::lock(&self.paces);
            paces.retain(known);
            paces.compare(self.now())
        };
        for (id, finding) in findings {
            let (kind, finding) = match finding {
                pace::Finding::Slow => (events::ENDPOINT_DEVIATES, "slow"),
                pace::Finding::Failing => (events::ENDPOINT_DEVIATES, "failing"),
                pace::Finding::NoLongerSlow => (events::ENDPOINT_RECOVERED, "slow"),
                pace::Finding::NoLongerFailing => (events::ENDPOINT_RECOVERED, "failing"),
            };
            event!(self.log, kind; "endpoint" => &*id, "finding" => finding);
        }
    }

    /// Whether requests may still be sent to an endpoint that was chosen before.
    pub fn is_available(&self, id: &str) -> bool {
        self.view.directory(|d| d.endpoint(id).is_some_and(directory::Endpoint::is_available))
    }

    /// Ids of the endpoints of a service that are marked as leaving.
    pub fn leaving_endpoints(&self, service: &str) -> Vec<Arc<str>> {
        self.view.directory(|d| d.leaving_endpoints(service).map(|e| e.id.clone()).collect())
    }

    /// Handles what an answer of an endpoint to the request `request` says about whether the endpoint
    /// is leaving. `start_time` is the start of the endpoint to which the request was sent.
    pub fn handle_leaving_notice(
        &self,
        id: &str,
        start_time: u64,
        notice: upstream::LeavingNotice,
        request: &str,
    ) {
        let now = self.now();
        match notice {
            upstream::LeavingNotice::Absent => {}
            upstream::LeavingNotice::Leaving => {
                let marked = self.view.directory(|d| d.mark_leaving(now, id, start_time));
                if let Some(age) = marked {
                    self.metrics.count_leaving("marked");
                    event!(self.log, events::ENDPOINT_LEAVING; "endpoint" => id,
                        "born" => start_time, "told_by" => request,
                        "entry_age_ms" => age.as_millis() as u64);
                    self.view.notify_directory_changed();
                    self.dismiss_unservable(id);
                }
            }
            upstream::LeavingNotice::Unusable(cause) => {
                self.metrics.count_leaving("unusable");
                if self.view.directory(|d| d.try_take_report(now, id)) {
                    event!(self.log, events::LEAVING_UNUSABLE; "endpoint" => id,
                        "told_by" => request, "cause" => cause);
                }
            }
        }
    }

    /// Whether a service has endpoints that are marked as leaving and none that accepts requests.
    pub fn is_service_leaving(&self, service: &str) -> bool {
        self.view.directory(|d| {
            d.leaving_endpoints(service).next().is_some()
                && d.available_endpoints(service).next().is_none()
        })
    }

    /// Ends the wait for slots of the service of an endpoint if no endpoint of it accepts requests:
    /// no slot would become free for them.
    fn dismiss_unservable(&self, endpoint: &str) {
        let service = self.view.directory(|d| d.endpoint(endpoint).map(|e| e.service.clone()));
        if let Some(service) = service.filter(|s| self.is_service_leaving(s)) {
            self.slots.dismiss(&service);
        }
    }

    /// Counts and logs the marks as leaving that have ended.
    fn report_ended_marks(&self) {
        for mark in self.view.directory(directory::Directory::take_ended_marks) {
            self.metrics.count_leaving("ended");
            event!(self.log, events::ENDPOINT_LEAVING_ENDED; "endpoint" => &*mark.id,
                "born" => mark.start_time, "cause" => mark.cause);
        }
    }

    /// Records and logs that an endpoint failed, so that it is avoided for a while.
    pub fn record_endpoint_failure(&self, id: &Arc<str>, cause: &dyn std::fmt::Display) {
        let pause = peer::lock(&self.health).record_failure(self.now(), id);
        peer::lock(&self.paces).record_end(self.now(), id, true);
        self.metrics.count_fault("endpoint");
        event!(self.log, events::ENDPOINT_EJECTED; "endpoint" => &**id,
            "pause_ms" => pause.as_millis() as u64, "error" => %cause);
    }

    /// Records that an endpoint answered, so that it is no longer avoided.
    pub fn record_endpoint_success(&self, id: &str) {
        peer::lock(&self.health).record_answer(id);
        peer::lock(&self.paces).record_end(self.now(), id, false);
    }

    /// Counts a running request at an endpoint until the guard is dropped.
    pub fn count_request(&self, service: &Arc<str>, endpoint: &Arc<str>) -> slots::RequestGuard {
        self.view.loads(|l| l.add_request(endpoint));
        slots::RequestGuard::new(self, service, endpoint)
    }

    /// Waits until another request of this host for a service releases its slot, and takes the slot
    /// over, in the order of `claim`.
    ///
    /// # Errors
    /// The request gets no slot: at once if that will probably take longer than `limit`, or once others
    /// go first for so long, or else after `limit`.
    pub async fn wait_for_slot(
        &self,
        service: &Arc<str>,
        limit: Duration,
        claim: &waiting::Claim,
    ) -> Result<slots::RequestGuard, slots::NoSlot> {
        let running = self.view.loads(|l| l.own_total());
        let grant = self.expected_grant_wait(service, self.slots.waiting(service));
        let patience = slots::Patience { limit, running, grant };
        let order = slots::Order::New(claim);
        let slot = self.slots.wait(service, self.now(), patience, order).await;
        self.metrics.count_wait(claim.rank.workspace, slot.as_ref().err().copied());
        slot
    }

    /// Waits for at most `limit`, before all new requests, until another request of this host
    /// releases its slot at an endpoint of `build`, and takes the slot over.
    pub async fn wait_for_build_slot(
        &self,
        service: &Arc<str>,
        build: &Arc<str>,
        limit: Duration,
    ) -> Option<slots::RequestGuard> {
        let patience = slots::Patience { limit, running: 0, grant: None };
        self.slots.wait(service, self.now(), patience, slots::Order::Continued(build)).await.ok()
    }

    /// Asks another control host for a configuration that is overdue.
    fn repeat_overdue_fetch(&self) {
        let known = self.view.config_version();
        let source = peer::lock(&self.config_fetch).next_source(self.now(), known);
        self.fetch_config(source);
    }

    /// Adds the tasks that every role needs. `end` stops the announcements to the control hosts.
    pub fn spawn_common(&self, tree: &mut supervisor::Supervisor, end: &supervisor::Stop) {
        let (node, end) = (self.clone(), end.clone());
        tree.spawn("announcements", move |_| send_announcements(node.clone(), end.clone()));
        let node = self.clone();
        tree.spawn("configuration fetch", move |stop| repeat_fetches(node.clone(), stop));
        if self.settings.host.role != settings::Role::Control {
            let node = self.clone();
            tree.spawn("crash reports", move |stop| crashes::send_reports(node.clone(), stop));
        }
        let node = self.clone();
        tree.spawn("settings", move |stop| reload_settings(node.clone(), stop));
    }

    /// Adds the task that reports the running requests of an entry. `end` stops it.
    pub fn spawn_load_reports(&self, tree: &mut supervisor::Supervisor, end: &supervisor::Stop) {
        let (node, end) = (self.clone(), end.clone());
        tree.spawn("load reports", move |_| report_load(node.clone(), end.clone()));
    }

    /// Adds the task that reports limits of endpoints and requests that wait for a grant.
    pub fn spawn_limit_reports(&self, tree: &mut supervisor::Supervisor) {
        let node = self.clone();
        tree.spawn("limit reports", move |stop| limits::report_limits(node.clone(), stop));
    }

    /// Adds the task that grants requests to limited endpoints while `is_leader` is true.
    pub fn spawn_limit_grants(
        &self,
        tree: &mut supervisor::Supervisor,
        is_leader: watch::Receiver<bool>,
    ) {
        let node = self.clone();
        tree.spawn("limit grants", move |stop| {
            limits::grant_requests(node.clone(), is_leader.clone(), stop)
        });
    }

    /// Adds the task that asks for credit for the requests of workspaces.
    pub fn spawn_credit_reports(&self, tree: &mut supervisor::Supervisor) {
        let node = self.clone();
        tree.spawn("credit reports", move |stop| {
            workspaces::exchange::report_credit(node.clone(), stop)
        });
    }

    /// Adds the task that grants credit to the entries while `is_leader` is true.
    pub fn spawn_credit_grants(
        &self,
        tree: &mut supervisor::Supervisor,
        is_leader: watch::Receiver<bool>,
    ) {
        let node = self.clone();
        tree.spawn("credit grants", move |stop| {
            workspaces::exchange::grant_credit(node.clone(), is_leader.clone(), stop)
        });
    }

    /// Adds the task that tells each entry the load of the others while `is_leader` is true.
    pub fn spawn_other_load_reports(
        &self,
        tree: &mut supervisor::Supervisor,
        is_leader: watch::Receiver<bool>,
    ) {
        let node = self.clone();
        tree.spawn("load totals", move |stop| {
            report_other_load(node.clone(), is_leader.clone(), stop)
        });
    }
}

/// Opens a listener on a TCP address.
///
/// # Errors
/// `Io` if the address cannot be used.
pub fn listen(address: SocketAddr) -> Result<TcpListener, errors::Error> {
    let failed = |e| errors::Error::io("listen", address.to_string(), e);
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    socket.listen(LISTEN_BACKLOG).map_err(failed)
}

/// Announces this host to the control hosts. Also drops expired records of the directory, of
/// endpoint health and of idle connections.
async fn send_announcements(node: Node, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut seq = 1;
    let mut informed = sorted::SortedMap::new();
    loop {
        let announcement = node.view.announcement(seq);
        seq += 1;
        for control in node.view.controls() {
            node.peers.cast(&control, frame::Cast::Announce(announcement.clone()));
        }
        node.view.directory(|d| d.remove_expired(node.now()));
        node.report_ended_marks();
        peer::lock(&node.health).remove_expired(node.now());
        node.compare_paces();
        peer::lock(&node.origins).remove_expired(node.now());
        node.repeat_origins(&mut informed);
        node.upstream.close_expired();
        // A control host that has just started may have got registrations before it knew of this host.
        let is_informed =
            node.settings.host.role != settings::Role::Entry || node.view.has_whole_directory();
        let ready = is_informed
            && node.view.active_config().is_some()
            && node.view.quarantine(|q| q.is_complete());
        let pause = if ready { ANNOUNCE_INTERVAL } else { INITIAL_ANNOUNCE_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Asks for configurations again that do not arrive.
async fn repeat_fetches(node: Node, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut ticks = node.timer.subscribe(FETCH_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.next() => node.repeat_overdue_fetch(),
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Applies changes of the seeds in the settings file, at an interval and on SIGHUP.
async fn reload_settings(node: Node, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let mut hangup = unix::signal(unix::SignalKind::hangup())
        .map_err(|e| errors::Error::io("handle signal", "SIGHUP", e))?;
    let mut ticks = node.timer.subscribe(SETTINGS_CHECK_INTERVAL);
    let mut last_seeds = node.settings.seeds();
    loop {
        let by_signal = tokio::select! {
            _ = ticks.next() => false,
            _ = hangup.recv() => true,
            () = stop.wait() => return Ok(()),
        };
        match settings::load(&node.path) {
            Ok(settings) => {
                let seeds = settings.seeds();
                if by_signal || seeds != last_seeds {
                    event!(node.log, events::SETTINGS_RELOADED; "seeds" => seeds.join(","));
                }
                node.view.set_seeds(seeds.clone());
                last_seeds = seeds;
            }
            Err(error) => event!(node.log, events::SETTINGS_RELOAD_FAILED; "error" => %error),
        }
    }
}

/// Reports the running requests of an entry to the host that places items.
async fn report_load(node: Node, mut stop: supervisor::Stop) -> Result<(), errors::Error> {
    let start_time = node.view.own().start_time;
    let mut ticks = node.timer.subscribe(LOAD_CHECK_INTERVAL);
    let (mut last_report, mut last_sent, mut seq) = (Vec::new(), Duration::ZERO, 0);
    loop {
        let now = tokio::select! {
            now = ticks.next() => now,
            () = stop.wait() => return Ok(()),
        };
        let running = node.view.loads(|l| l.own_requests());
        let targets = node.view.loads(|l| l.report_targets(now));
        let repeat = now.saturating_sub(last_sent) >= LOAD_REPEAT_INTERVAL
            && (!running.is_empty() || targets.iter().any(|(_, synced)| !synced));
        if running == last_report && !repeat {
            continue;
        }
        (last_report, last_sent, seq) = (running.clone(), now, seq + 1);
        for (to, synced) in targets {
            let load = frame::EntryLoad { start_time, seq, synced, running: running.clone() };
            node.peers.cast(&to, frame::Cast::EntryLoad(load));
        }
    }
}

/// Tells each entry what runs at endpoints besides its own requests, while this host places items.
async fn report_other_load(
    node: Node,
    is_leader: watch::Receiver<bool>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let start_time = node.view.own().start_time;
    let mut ticks = node.timer.subscribe(OTHER_LOAD_INTERVAL);
    let mut reporter = load::Reporter::default();
    loop {
        let now = tokio::select! {
            now = ticks.next() => now,
            () = stop.wait() => return Ok(()),
        };
        if !*is_leader.borrow() {
            reporter.reset();
            continue;
        }
        let (mut entries, endpoints) = node.view.directory(|d| {
            let entries =
                d.hosts(settings::Role::Entry).map(|h| (h.link.clone(), h.domain.clone()));
            let domain = |e: &directory::Endpoint| (load::endpoint_key(&e.id), e.domain.clone());
            let endpoints: sorted::SortedMap<_, _> = d.endpoints().map(domain).collect();
            (entries.collect::<Vec<_>>(), endpoints)
        });
        entries.sort();
        reporter.retain(|to| entries.binary_search_by(|(link, _)| link.cmp(to)).is_ok());
        let reports: Vec<_> = node.view.loads(|l| {
            l.remove_expired(now);
            let report = |(to, domain): &(Arc<str>, Arc<str>)| {
                let is_near = |key| endpoints.get(&key) == Some(domain);
                let report = reporter.next_report(now, to, start_time, l, is_near);
                report.map(|report| (to.clone(), report))
            };
            entries.iter().filter_map(report).collect()
        });
        for (to, report) in reports {
            node.peers.cast(&to, frame::Cast::OtherLoad(report));
        }
    }
}

//! What a host knows about the fleet: configuration, directory, placement of the job group and
//! load.

use crate::event;
use crate::events;
use crate::fleet::builds;
use crate::fleet::control_state;
use crate::fleet::directory;
use crate::fleet::documents;
use crate::fleet::frame;
use crate::fleet::load;
use crate::fleet::origin;
use crate::fleet::peer;
use crate::fleet::protocol;
use crate::fleet::quarantine;
use crate::fleet::routes;
use crate::fleet::settings;
use crate::fleet::stored;
use arc_swap::ArcSwapOption;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;

/// Configuration that a host currently uses.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Document as the operator sent it.
    pub document: control_state::Document,
    /// Validated content of the document.
    pub config: routes::Config,
}

/// What a host knows about the fleet. Shared by all parts of a process.
pub struct View {
    own: directory::Host,
    seeds: Mutex<Vec<Arc<str>>>,
    protocol: Arc<dyn protocol::Protocol>,
    active_config: ArcSwapOption<ActiveConfig>,
    /// Recent documents, at a control host.
    documents: Mutex<documents::Documents>,
    /// Committed builds, at a control host.
    builds: Mutex<builds::Builds>,
    /// Held while a document is compared with the active one and replaces it.
    config_update: Mutex<()>,
    placement: Mutex<control_state::Placement>,
    /// Id of the replica on this host.
    replica: Mutex<Option<u64>>,
    directory: Mutex<directory::Directory>,
    /// Whether this host has had the whole directory of a control host.
    whole_directory: AtomicBool,
    loads: Mutex<load::Loads>,
    quarantine: Mutex<quarantine::Watch>,
    /// What the disk of this control host held at its start, until it may have changed.
    stored: Mutex<Option<stored::Report>>,
    changed: watch::Sender<u64>,
    log: slog::Logger,
}

impl View {
    /// Creates the view of a host that knows only itself and its seeds.
    pub fn new(
        own: directory::Host,
        seeds: Vec<Arc<str>>,
        protocol: Arc<dyn protocol::Protocol>,
        log: &slog::Logger,
    ) -> View {
        let mut directory = directory::Directory::default();
        directory.register_host(Duration::ZERO, own.clone());
        View {
            own,
            seeds: Mutex::new(seeds),
            protocol,
            active_config: ArcSwapOption::empty(),
            documents: Mutex::default(),
            builds: Mutex::default(),
            config_update: Mutex::default(),
            placement: Mutex::default(),
            replica: Mutex::default(),
            directory: Mutex::new(directory),
            whole_directory: AtomicBool::default(),
            loads: Mutex::default(),
            quarantine: Mutex::default(),
            stored: Mutex::default(),
            changed: watch::Sender::new(0),
            log: log.clone(),
        }
    }

    /// Record of this host.
    pub fn own(&self) -> &directory::Host {
        &self.own
    }

    /// Protocol of the deployment.
    pub fn protocol(&self) -> &Arc<dyn protocol::Protocol> {
        &self.protocol
    }

    /// Active configuration; `None` before the first one arrives.
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.active_config.load_full()
    }

    /// Version of the active configuration; 0 before the first one arrives.
    pub fn config_version(&self) -> u64 {
        self.active_config.load().as_ref().map_or(0, |f| f.document.version)
    }

    /// Receiver that is notified after each change of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify_change(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&self, seeds: Vec<Arc<str>>) {
        *peer::lock(&self.seeds) = seeds;
    }

    /// Activates a document if it is valid and its version is higher than the active one. Returns
    /// whether it was activated.
    pub fn apply_document(&self, document: control_state::Document) -> bool {
        // Several connections deliver documents at the same time. Without the lock, an older one
        // could replace a newer one that was activated after the comparison.
        let _update = peer::lock(&self.config_update);
        let known = self.config_version();
        if document.version <= known {
            return false;
        }
        let config = match self.protocol.parse_config(&document.text) {
            Ok(config) => config,
            Err(problem) => {
                event!(self.log, events::CONFIG_UNREADABLE; "version" => document.version,
                    "error" => %problem);
                return false;
            }
        };
        event!(self.log, events::CONFIG_IN_FORCE; "version" => document.version,
            "before" => known, "routes" => config.routes.len());
        if self.own.role == settings::Role::Control {
            peer::lock(&self.documents).record(document.clone());
        }
        self.active_config.store(Some(Arc::new(ActiveConfig { document, config })));
        self.notify_change();
        true
    }

    /// Decodes a document that a control host has sent and activates it if its version is higher
    /// than the active one. Returns whether it was activated.
    ///
    /// # Errors
    /// The reason for which it cannot be decoded here.
    pub fn apply_encoded(
        &self,
        encoded: &frame::EncodedConfig,
    ) -> Result<bool, documents::Problem> {
        let active = self.active_config();
        if active.as_ref().is_some_and(|a| a.document.version >= encoded.version) {
            return Ok(false);
        }
        let document = documents::decode(encoded, active.as_ref().map(|a| &a.document))?;
        Ok(self.apply_document(document))
    }

    /// Document that this host holds.
    pub fn held_config(&self) -> frame::HeldConfig {
        self.active_config().map(|a| documents::held(&a.document)).unwrap_or_default()
    }

    /// Newest document of this control host, encoded for a host that holds `held`; `None` if that
    /// one is not older.
    ///
    /// # Errors
    /// The reason for which it cannot be encoded.
    pub fn encode_config(
        &self,
        held: frame::HeldConfig,
    ) -> Result<Option<frame::EncodedConfig>, documents::Problem> {
        peer::lock(&self.documents).encode(held)
    }

    /// Placement of the job group; empty until it is known.
    pub fn placement(&self) -> control_state::Placement {
        peer::lock(&self.placement).clone()
    }

    /// Stores the placement of the job group unless it is already known. Returns whether it was
    /// stored.
    pub fn apply_placement(&self, placement: control_state::Placement) -> bool {
        let mut known = peer::lock(&self.placement);
        if placement.hosts.is_empty() || !known.hosts.is_empty() {
            return false;
        }
        event!(self.log, events::JOBS_PLACED; "hosts" => placement.hosts.join(","));
        *known = placement;
        drop(known);
        self.notify_change();
        true
    }

    /// Sets the builds that the replica of this control host has applied.
    pub fn set_builds(&self, builds: builds::Builds) {
        let known = std::mem::replace(&mut *peer::lock(&self.builds), builds.clone());
        if known != builds {
            self.notify_change();
        }
    }

    /// Waits until a build is known to be committed.
    pub async fn wait_for_build(&self, build: &origin::Origin) {
        let mut changes = self.changes();
        while !self.has_build(build) {
            // The sender is part of this view.
            let _ = changes.changed().await;
        }
    }

    /// Adds a build that was committed just now.
    pub fn add_build(&self, build: origin::Origin) {
        peer::lock(&self.builds).add(build);
    }

    /// Builds that are known to be committed, at a control host.
    pub fn builds(&self) -> builds::Builds {
        peer::lock(&self.builds).clone()
    }

    /// Whether a build is known to be committed; always `false` but on control hosts.
    pub fn has_build(&self, build: &origin::Origin) -> bool {
        peer::lock(&self.builds).contains(build)
    }

    /// Sets the id of the replica on this host.
    pub fn set_replica(&self, id: u64) {
        *peer::lock(&self.replica) = Some(id);
    }

    /// Calls `run` with the locked directory.
    pub fn directory<T>(&self, run: impl FnOnce(&mut directory::Directory) -> T) -> T {
        run(&mut peer::lock(&self.directory))
    }

    /// Calls `run` with the locked load of the endpoints.
    pub fn loads<T>(&self, run: impl FnOnce(&mut load::Loads) -> T) -> T {
        run(&mut peer::lock(&self.loads))
    }

    /// Calls `run` with the locked quarantined causes of crashes.
    pub fn quarantine<T>(&self, run: impl FnOnce(&mut quarantine::Watch) -> T) -> T {
        run(&mut peer::lock(&self.quarantine))
    }

    /// Sets what the disk of this control host holds; `None` once that may have changed.
    pub fn set_stored(&self, report: Option<stored::Report>) {
        *peer::lock(&self.stored) = report;
    }

    /// What the disk of this control host holds, if it is the same as at its start.
    pub fn stored(&self) -> Option<stored::Report> {
        peer::lock(&self.stored).clone()
    }

    /// Records what the disk of the control host `from` holds.
    pub fn record_stored(&self, now: Duration, from: &Arc<str>, report: stored::Report) {
        if self.quarantine(|q| q.record_stored(now, report)) {
            let count = self.quarantine(|q| q.count());
            slog::info!(self.log, "quarantined causes known from disks of control hosts";
                "peer" => &**from, "causes" => count);
        }
    }

    /// Applies the quarantined causes of crashes. Returns whether they were newer than those known.
    pub fn apply_quarantine(&self, now: Duration, summary: &quarantine::Summary) -> bool {
        let Some(changes) = self.quarantine(|q| q.apply(now, summary)) else { return false };
        for quarantined in &changes.quarantined {
            event!(self.log, events::CAUSE_QUARANTINED; "cause" => %quarantined.cause,
                "crashes" => quarantined.crashes, "trials" => quarantined.trials,
                "failed" => quarantined.failed, "relapsed" => quarantined.relapsed,
                "revision" => summary.revision);
        }
        for cause in &changes.released {
            event!(self.log, events::CAUSE_RELEASED; "cause" => %cause,
                "revision" => summary.revision);
        }
        true
    }

    /// Applies an update of a control host. Returns the parts that changed something here; `None`
    /// if there are none.
    pub fn apply_update(&self, now: Duration, update: frame::Update) -> Option<frame::Update> {
        let quarantine = update.quarantine.filter(|q| self.apply_quarantine(now, q));
        let placement = update.placement.filter(|p| self.apply_placement(p.clone()));
        let (records, departed) = self.directory(|d| {
            let records = d.merge(now, update.records);
            let mut departed = Vec::new();
            for (id, start_time) in update.departed {
                let was_present =
                    d.endpoint(&id).is_some_and(|e| e.phase != directory::Phase::Gone);
                // Also keeps the deregistration of an endpoint that is not known here yet.
                if d.deregister_endpoint(now, &id, start_time).is_some() && was_present {
                    departed.push((id, start_time));
                }
            }
            (records, departed)
        });
        if update.whole {
            self.whole_directory.store(true, Ordering::Relaxed);
        }
        for endpoint in &records.endpoints {
            event!(self.log, events::ENDPOINT_CHANGED; "endpoint" => &*endpoint.id,
                "service" => &*endpoint.service, "build" => &*endpoint.build,
                "address" => %endpoint.address,
                "phase" => ?endpoint.phase, "born" => endpoint.start_time, "seq" => endpoint.seq);
        }
        let unchanged =
            records.endpoints.is_empty() && records.hosts.is_empty() && departed.is_empty();
        if !unchanged {
            self.notify_change();
        }
        let update = frame::Update { placement, quarantine, records, departed, whole: false };
        let changed = !unchanged || update.placement.is_some() || update.quarantine.is_some();
        changed.then_some(update)
    }

    /// Whether this host has had the whole directory of a control host since its start. Before, it may
    /// know only the endpoints that have changed since.
    pub fn has_whole_directory(&self) -> bool {
        self.whole_directory.load(Ordering::Relaxed)
    }

    /// Notifies subscribers of a change that was made through [`View::directory`].
    pub fn notify_directory_changed(&self) {
        self.notify_change();
    }

    /// Link addresses of the seeds and the known control hosts, without this host.
    pub fn controls(&self) -> Vec<Arc<str>> {
        let mut controls = peer::lock(&self.seeds).clone();
        self.directory(|d| {
            controls.extend(d.hosts(settings::Role::Control).map(|h| h.link.clone()));
        });
        self.without_own(controls)
    }

    /// Link addresses of the control hosts in the directory, without this host. Unlike the seeds,
    /// these do not include hosts that have been gone for long.
    pub fn registered_controls(&self) -> Vec<Arc<str>> {
        let controls = self.directory(|d| {
            d.hosts(settings::Role::Control).map(|h| h.link.clone()).collect::<Vec<_>>()
        });
        self.without_own(controls)
    }

    /// Link addresses of the hosts that may hold replicas of a group, without this host.
    pub fn members(&self, group: u16) -> Vec<Arc<str>> {
        if group == 0 {
            return self.controls();
        }
        let mut stores = self.placement().hosts;
        self.directory(|d| {
            stores.extend(d.hosts(settings::Role::Store).map(|h| h.link.clone()));
        });
        self.without_own(stores)
    }

    fn without_own(&self, mut links: Vec<Arc<str>>) -> Vec<Arc<str>> {
        links.sort();
        links.dedup();
        links.retain(|l| *l != self.own.link);
        links
    }

    /// Announcement of this host to a control host. `seq` must increase with each announcement.
    pub fn announcement(&self, seq: u64) -> frame::Announcement {
        frame::Announcement {
            host: directory::Host { seq, replica: *peer::lock(&self.replica), ..self.own.clone() },
            version: self.config_version(),
            placement_known: !peer::lock(&self.placement).hosts.is_empty(),
            quarantine: self.quarantine(|q| q.revision()),
            quarantine_confirmed: self.quarantine(|q| q.is_confirmed()),
            digest: self.directory(|d| d.digest()),
            directory_known: self.has_whole_directory(),
        }
    }

    /// Whether the sender of an announcement has the same directory and knows that it is whole.
    pub fn has_same_directory(&self, announcement: &frame::Announcement) -> bool {
        announcement.directory_known && self.directory(|d| d.digest()) == announcement.digest
    }

    /// Update with what the sender of an announcement does not know yet, except the configuration,
    /// which it fetches; `None` if there is nothing to send. The directory is part of it only if
    /// `with_directory` is set.
    pub fn missing_update(
        &self,
        announcement: &frame::Announcement,
        with_directory: bool,
    ) -> Option<frame::Update> {
        let placement = (!announcement.placement_known)
            .then(|| self.placement())
            .filter(|p| !p.hosts.is_empty());
        let records = match with_directory {
            true => self.directory(|d| d.records()),
            false => directory::Records::default(),
        };
        let needed = placement.is_some() || with_directory;
        needed.then_some(frame::Update {
            placement,
            records,
            whole: with_directory,
            ..frame::Update::default()
        })
    }
}

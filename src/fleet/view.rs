//! What a host knows of the fleet: configuration, directory, placement and load.

use crate::event;
use crate::events;
use crate::fleet::control_state;
use crate::fleet::directory;
use crate::fleet::frame;
use crate::fleet::load;
use crate::fleet::peer;
use crate::fleet::protocol;
use crate::fleet::routes;
use crate::fleet::settings;
use arc_swap::ArcSwapOption;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;

/// Configuration in force at a host.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Document of the operator.
    pub document: control_state::Document,
    /// Its content.
    pub config: routes::Config,
}

/// What a host knows of the fleet. Shared by the parts of a process.
pub struct View {
    own: directory::Host,
    seeds: Mutex<Vec<Arc<str>>>,
    protocol: Arc<dyn protocol::Protocol>,
    active_config: ArcSwapOption<ActiveConfig>,
    stores: Mutex<Vec<Arc<str>>>,
    directory: Mutex<directory::Directory>,
    loads: Mutex<load::Loads>,
    changed: watch::Sender<u64>,
    log: slog::Logger,
}

impl View {
    /// View of a host that knows only itself and its seeds.
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
            stores: Mutex::default(),
            directory: Mutex::new(directory),
            loads: Mutex::default(),
            changed: watch::Sender::new(0),
            log: log.clone(),
        }
    }

    /// This host.
    pub fn own(&self) -> &directory::Host {
        &self.own
    }

    /// Translation of the deployment's protocol.
    pub fn protocol(&self) -> &Arc<dyn protocol::Protocol> {
        &self.protocol
    }

    /// Configuration in force; `None` before the first one arrives.
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.active_config.load_full()
    }

    /// Wakes whenever something in the view has changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify_change(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<Arc<str>>) {
        *peer::lock(&self.seeds) = seeds;
    }

    /// Puts a document in force if its version is higher. Returns whether it was.
    pub fn apply_document(&self, document: control_state::Document) -> bool {
        let known = self.active_config.load().as_ref().map_or(0, |f| f.document.version);
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
        self.active_config.store(Some(Arc::new(ActiveConfig { document, config })));
        self.notify_change();
        true
    }

    /// Link addresses of the first members of the job group; empty before it is placed.
    pub fn stores(&self) -> Vec<Arc<str>> {
        peer::lock(&self.stores).clone()
    }

    /// Learns where the job group is placed. Returns whether that changed anything.
    pub fn apply_stores(&self, stores: Vec<Arc<str>>) -> bool {
        let mut known = peer::lock(&self.stores);
        if stores.is_empty() || !known.is_empty() {
            return false;
        }
        event!(self.log, events::JOBS_PLACED; "hosts" => stores.join(","));
        *known = stores;
        drop(known);
        self.notify_change();
        true
    }

    /// Runs a function on the directory.
    pub fn directory<T>(&self, run: impl FnOnce(&mut directory::Directory) -> T) -> T {
        run(&mut peer::lock(&self.directory))
    }

    /// Runs a function on the load of the endpoints.
    pub fn loads<T>(&self, run: impl FnOnce(&mut load::Loads) -> T) -> T {
        run(&mut peer::lock(&self.loads))
    }

    /// Takes an update of a control host. Returns the part that changed something here.
    pub fn apply_update(&self, now: Duration, update: frame::Update) -> Option<frame::Update> {
        let document = update.document.filter(|d| self.apply_document(d.clone()));
        let stores = update.stores.filter(|s| self.apply_stores(s.clone()));
        let (records, departed) = self.directory(|d| {
            let records = d.merge(now, update.records);
            let mut departed = Vec::new();
            for (id, start_time) in update.departed {
                if d.endpoint(&id).is_some_and(|e| e.phase != directory::Phase::Gone)
                    && d.deregister_endpoint(now, &id, start_time).is_some()
                {
                    departed.push((id, start_time));
                }
            }
            (records, departed)
        });
        for endpoint in &records.endpoints {
            event!(self.log, events::ENDPOINT_CHANGED; "endpoint" => &*endpoint.id,
                "service" => &*endpoint.service, "address" => %endpoint.address,
                "phase" => ?endpoint.phase, "born" => endpoint.start_time, "seq" => endpoint.seq);
        }
        let quiet = records.endpoints.is_empty() && records.hosts.is_empty() && departed.is_empty();
        if !quiet {
            self.notify_change();
        }
        let update = frame::Update { document, stores, records, departed };
        let changed = !quiet || update.document.is_some() || update.stores.is_some();
        changed.then_some(update)
    }

    /// Tells the waiting parts that the directory was changed directly.
    pub fn notify_directory_changed(&self) {
        self.notify_change();
    }

    /// Link addresses of the control hosts, without this host.
    pub fn controls(&self) -> Vec<Arc<str>> {
        let mut controls = peer::lock(&self.seeds).clone();
        self.directory(|d| {
            controls.extend(d.hosts(settings::Role::Control).map(|h| h.link.clone()));
        });
        self.without_own(controls)
    }

    /// Link addresses of the hosts that may hold replicas of a group, without this host.
    pub fn members(&self, group: u16) -> Vec<Arc<str>> {
        if group == 0 {
            return self.controls();
        }
        let mut stores = self.stores();
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

    /// Announcement of this host to a control host under a number that rises.
    pub fn announcement(&self, seq: u64) -> frame::Announcement {
        frame::Announcement {
            host: directory::Host { seq, ..self.own.clone() },
            version: self.active_config.load().as_ref().map_or(0, |f| f.document.version),
            placement_known: !peer::lock(&self.stores).is_empty(),
            digest: self.directory(|d| d.digest()),
        }
    }

    /// What a host that has sent a announcement does not know yet.
    pub fn missing_update(&self, announcement: &frame::Announcement) -> Option<frame::Update> {
        let active_config = self.active_config.load();
        let document = active_config.as_ref().map(|f| f.document.clone());
        let document = document.filter(|d| d.version > announcement.version);
        let stores =
            (!announcement.placement_known).then(|| self.stores()).filter(|s| !s.is_empty());
        let same = self.directory(|d| d.digest()) == announcement.digest;
        let records =
            if same { directory::Records::default() } else { self.directory(|d| d.records()) };
        let silent = document.is_none() && stores.is_none() && same;
        (!silent).then_some(frame::Update { document, stores, records, departed: Vec::new() })
    }
}

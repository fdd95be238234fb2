//! Settings file of a host that finds the other hosts through seeds.

use crate::errors;
use crate::events;
use serde::Deserialize;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Holds the configuration and the directory; serves registrations and operator calls.
    Control,
    /// Holds batch jobs and runs their items.
    Store,
}

/// Contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings that every role needs.
    pub host: Host,
    /// Addresses of the listeners; each role needs some of them.
    #[serde(default)]
    pub listen: Listen,
    /// How hosts find each other.
    pub fleet: Fleet,
    /// Time limits that operators promise to callers.
    #[serde(default)]
    pub limits: Limits,
    /// Promises about the quotas and keys of workspaces.
    #[serde(default)]
    pub workspaces: Workspaces,
}

/// Settings that every role needs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the host, unique in the fleet.
    pub name: Arc<str>,
    /// Role that the process runs.
    pub role: Role,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address at which the other hosts reach this one.
    pub address: IpAddr,
    /// Data folder; required for the roles control and store.
    pub folder: Option<PathBuf>,
    /// Size of the disk with the data folder in MB; 0 if it is not known.
    #[serde(default)]
    pub disk: u64,
    /// Address to listen on for other hosts, if not `address`; for hosts behind a proxy or NAT.
    pub bind: Option<IpAddr>,
    /// Address of the metrics scrape endpoint; none if absent.
    pub metrics: Option<SocketAddr>,
    /// Format of log lines.
    #[serde(default)]
    pub log: events::Format,
    /// Whether debug events are logged.
    #[serde(default)]
    pub verbose: bool,
    /// Milliseconds added to the system clock, for tests with wrong clocks.
    #[serde(default)]
    pub clock_offset: i64,
}

/// Addresses of the listeners.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers; required for the role entry.
    pub callers: Option<SocketAddr>,
    /// Address for readiness checks of the balancer; required for the role entry.
    pub ready: Option<SocketAddr>,
    /// Address for operators and registrations of endpoints; required for the role control.
    pub operators: Option<SocketAddr>,
}

/// How hosts find each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Port for connections between hosts, the same on every host.
    pub port: u16,
    /// Control hosts to contact first. Only the IP addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole fleet, in which empty hosts form new groups.
    pub bootstrap: bool,
    /// Number of hosts with durable state that may be lost at the same time.
    #[serde(default = "default_losses")]
    pub losses: usize,
}

impl Fleet {
    /// Number of voters of a replica group. If `losses` of them are down or cut off, the others are
    /// still a majority, and only they can commit.
    pub fn group_size(&self) -> usize {
        2 * self.losses + 1
    }
}

/// Time limits that operators promise to callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Milliseconds between the request to stop and the forced end of the process.
    #[serde(default = "default_grace")]
    pub grace: u64,
    /// Seconds after its submission for which a finished job can be read.
    #[serde(default = "default_retention")]
    pub retention: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { grace: default_grace(), retention: default_retention() }
    }
}

/// Promises about the quotas and keys of workspaces.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workspaces {
    /// Seconds of the sliding window in which a quota is enforced.
    pub window: f64,
    /// Share of a quota by which a window may exceed it.
    pub over: f64,
    /// Requests by which a window may exceed a quota besides.
    pub slack: f64,
    /// Milliseconds without contact to control hosts after which a strict entry accepts no keys.
    pub revocation: u64,
    /// Whether an entry that may not know of revoked keys rejects requests with keys.
    pub strict: bool,
}

impl Default for Workspaces {
    fn default() -> Workspaces {
        Workspaces { window: 5.0, over: 0.1, slack: 20.0, revocation: 5_000, strict: false }
    }
}

impl Workspaces {
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if !(self.window > 0.0 && self.window.is_finite()) {
            problems.push("workspaces.window: must be a number of seconds above 0".to_string());
        }
        for (name, value) in [("over", self.over), ("slack", self.slack)] {
            if !(value >= 0.0 && value.is_finite()) {
                problems.push(format!("workspaces.{name}: must not be negative"));
            }
        }
        problems
    }
}

fn default_losses() -> usize {
    1
}

fn default_grace() -> u64 {
    8_000
}

fn default_retention() -> u64 {
    120
}

impl Settings {
    /// Address at which other hosts reach this one. It also names the host's replicas.
    pub fn link(&self) -> SocketAddr {
        SocketAddr::new(self.host.address, self.fleet.port)
    }

    /// Address on which this host listens for the others.
    pub fn link_bind(&self) -> SocketAddr {
        SocketAddr::new(self.host.bind.unwrap_or(self.host.address), self.fleet.port)
    }

    /// Addresses for connections to the seeds.
    pub fn seeds(&self) -> Vec<Arc<str>> {
        let link = |s: &SocketAddr| SocketAddr::new(s.ip(), self.fleet.port).to_string().into();
        let mut seeds: Vec<Arc<str>> = self.fleet.seeds.iter().map(link).collect();
        seeds.sort();
        seeds.dedup();
        seeds
    }

    /// Missing or invalid settings, one line each; empty if the settings can be used.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut require = |present: bool, name: &str| {
            if !present {
                problems.push(format!("{name}: required for this role"));
            }
        };
        match self.host.role {
            Role::Entry => {
                require(self.listen.callers.is_some(), "listen.callers");
                require(self.listen.ready.is_some(), "listen.ready");
            }
            Role::Control => {
                require(self.listen.operators.is_some(), "listen.operators");
                require(self.host.folder.is_some(), "host.folder");
            }
            Role::Store => require(self.host.folder.is_some(), "host.folder"),
        }
        if self.fleet.seeds.is_empty() {
            problems.push("fleet.seeds: at least one address is required".to_string());
        }
        if self.fleet.port == 0 {
            problems.push("fleet.port: must not be 0".to_string());
        }
        problems.extend(self.workspaces.problems());
        problems
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// `Io` if the file cannot be read, `Invalid` with every problem if its content is not valid.
pub fn load(path: &Path) -> Result<Settings, errors::Error> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|e| errors::Error::io("read settings", &*file, e))?;
    parse(&text).map_err(|problem| errors::Error::invalid("check settings", &*file, problem))
}

/// Parses and checks the content of a settings file.
///
/// # Errors
/// The parse error, or every missing or invalid setting on a line of its own.
pub fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
    let problems = settings.problems();
    if problems.is_empty() { Ok(settings) } else { Err(problems.join("\n")) }
}

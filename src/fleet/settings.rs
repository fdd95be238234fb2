//! Settings of a host that finds the other hosts by seeds.

use crate::errors;
use crate::events;
use serde::Deserialize;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

/// Role that a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes requests of callers.
    Entry,
    /// Holds the configuration and the directory; takes registrations and operator calls.
    Control,
    /// Holds batch jobs and runs their items.
    Store,
}

/// Contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// What every host must know.
    pub host: Host,
    /// Addresses of the listeners; each role needs some of them.
    #[serde(default)]
    pub listen: Listen,
    /// How hosts find each other.
    pub fleet: Fleet,
    /// Time limits that operators promise to callers.
    #[serde(default)]
    pub limits: Limits,
}

/// What every host must know.
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
    /// Folder for durable state; required for the roles control and store.
    pub folder: Option<PathBuf>,
    /// Address to listen on for other hosts, if not `address`; for hosts behind a proxy or an
    /// address translation.
    pub bind: Option<IpAddr>,
    /// Address of the metrics scrape endpoint; none if absent.
    pub metrics: Option<SocketAddr>,
    /// Format of log lines.
    #[serde(default)]
    pub log: events::Format,
    /// Whether debug events are logged.
    #[serde(default)]
    pub verbose: bool,
    /// Milliseconds added to the system clock, for tests of hosts whose clocks are wrong.
    #[serde(default)]
    pub clock_offset: i64,
}

/// Addresses of the listeners.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers, for the role entry.
    pub callers: Option<SocketAddr>,
    /// Readiness checks of the balancer, for the role entry.
    pub ready: Option<SocketAddr>,
    /// Operators and registrations of endpoints, for the role control.
    pub operators: Option<SocketAddr>,
}

/// How hosts find each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Port for connections between hosts, the same on every host.
    pub port: u16,
    /// Control hosts that are asked first. Only their IP addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole fleet, so that empty hosts form new groups.
    pub bootstrap: bool,
    /// Hosts with durable state that may be lost at the same time.
    #[serde(default = "default_losses")]
    pub losses: usize,
}

/// Time limits that operators promise to callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Milliseconds between a request to stop and the forced end of the process.
    #[serde(default = "default_grace")]
    pub grace: u64,
    /// Seconds for which a finished job can be read after it was submitted.
    #[serde(default = "default_retention")]
    pub retention: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { grace: default_grace(), retention: default_retention() }
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

    /// What is missing for the role, one line each.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut need = |present: bool, name: &str| {
            if !present {
                problems.push(format!("{name}: required for this role"));
            }
        };
        match self.host.role {
            Role::Entry => {
                need(self.listen.callers.is_some(), "listen.callers");
                need(self.listen.ready.is_some(), "listen.ready");
            }
            Role::Control => {
                need(self.listen.operators.is_some(), "listen.operators");
                need(self.host.folder.is_some(), "host.folder");
            }
            Role::Store => need(self.host.folder.is_some(), "host.folder"),
        }
        if self.fleet.seeds.is_empty() {
            problems.push("fleet.seeds: at least one address is required".to_string());
        }
        if self.fleet.port == 0 {
            problems.push("fleet.port: must not be 0".to_string());
        }
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
/// All problems, one line each.
pub fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
    let problems = settings.problems();
    if problems.is_empty() { Ok(settings) } else { Err(problems.join("\n")) }
}

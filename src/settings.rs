//! Settings files: parsing and validation.
//!
//! A settings file holds the roles that a process runs and what it needs to start: its name,
//! addresses, failure domain, keys and the state hosts. Configuration that operators change while
//! the system runs belongs to [`crate::catalog`].

use crate::events;
use derive_more::Display;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

/// Most replica groups that a fleet can have.
pub const MAX_GROUPS: u16 = 256;

/// Contents of a settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings that do not depend on the role.
    pub process: Process,
    /// Certificates of this process.
    pub tls: Tls,
    /// The state hosts of the fleet.
    pub fleet: Fleet,
    /// Settings of the entry role, if this process runs it.
    pub entry: Option<Entry>,
    /// Settings of the state role, if this process runs it.
    pub state: Option<State>,
    /// Settings of the agent role, if this process runs it.
    pub agent: Option<Agent>,
}

/// Settings of a process that do not depend on its role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Name of the process, unique in the fleet and equal to the name in its certificate.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Region of the failure domain.
    #[serde(default = "default_region")]
    pub region: Arc<str>,
    /// Format of log lines.
    #[serde(default)]
    pub log: events::Format,
    /// Whether debug events are logged.
    #[serde(default)]
    pub verbose: bool,
    /// Address of the metrics scrape endpoint; none if absent.
    pub metrics: Option<SocketAddr>,
}

/// Certificates of a process, as PEM files written by `basilfield cert`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the fleet CA.
    pub ca: PathBuf,
    /// Certificate of this process.
    pub cert: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// The state hosts of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of job groups, at least 1. Group 0 is not a job group and exists in addition.
    #[serde(default = "default_groups")]
    pub groups: u16,
    /// State hosts that hold the replicas.
    pub hosts: Vec<Host>,
}

/// Address of a state host.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of its process.
    pub name: Arc<str>,
    /// UDP address of its listener.
    pub address: SocketAddr,
}

/// Settings of the entry role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// TCP address of the HTTP listener.
    pub listen: SocketAddr,
    /// New requests are refused after this many milliseconds without confirmation that the
    /// configuration is current.
    #[serde(default = "default_freshness")]
    pub freshness: u64,
    /// Largest request body in bytes.
    #[serde(default = "default_body")]
    pub body: usize,
    /// Most concurrent requests.
    #[serde(default = "default_concurrency")]
    pub concurrency: usize,
    /// Time in milliseconds between failing the readiness check and closing the listener, in which
    /// the load balancer stops sending requests.
    #[serde(default = "default_turnaway")]
    pub turnaway: u64,
    /// A stream counts as stalled after this many milliseconds without another part of the answer.
    #[serde(default = "default_stall")]
    pub stall: u64,
    /// Number of agents to which this entry keeps connections.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Operators that may use the operator API.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// Account of an operator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator, kept in the history of changes.
    pub name: Arc<str>,
    /// SHA-256 of the operator's key, in hexadecimal.
    pub key: Arc<str>,
    /// What the operator may do.
    #[serde(default)]
    pub role: OperatorRole,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May read and change.
    #[display("operator")]
    Operator,
    /// May read only.
    #[default]
    #[display("read-only")]
    ReadOnly,
}

/// Settings of the state role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// UDP address of the listener.
    pub listen: SocketAddr,
    /// Data folder.
    pub folder: PathBuf,
    /// Interval of the leader's heartbeats in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: u64,
    /// Election timeout in milliseconds; at least five heartbeats.
    #[serde(default = "default_election")]
    pub election: u64,
    /// A snapshot is taken after this many log entries.
    #[serde(default = "default_snapshot")]
    pub snapshot: u64,
    /// Days that results and claims stay readable.
    #[serde(default = "default_retention")]
    pub retention: u32,
}

/// Settings of the agent role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// UDP address of the listener for entries.
    pub listen: SocketAddr,
    /// Address that entries dial; the listener's address if absent.
    pub advertise: Option<SocketAddr>,
    /// TCP address on which endpoints of this host announce themselves.
    pub announce: SocketAddr,
    /// Most online requests that wait for one endpoint.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Whether online requests take priority over batch items. Disabled only to measure a baseline.
    #[serde(default = "default_priority")]
    pub priority: bool,
    /// A stream counts as stalled after this many milliseconds without a token of the endpoint.
    #[serde(default = "default_stall")]
    pub stall: u64,
}

impl Entry {
    /// Settings of an entry for development, with the defaults of a settings file.
    pub fn local(listen: SocketAddr, operators: Vec<Operator>) -> Entry {
        Entry {
            listen,
            freshness: default_freshness(),
            body: default_body(),
            concurrency: default_concurrency(),
            turnaway: 0,
            stall: default_stall(),
            subset: default_subset(),
            operators,
        }
    }
}

impl State {
    /// Settings of a state host for development, with the defaults of a settings file.
    pub fn local(listen: SocketAddr, folder: PathBuf) -> State {
        State {
            listen,
            folder,
            heartbeat: default_heartbeat(),
            election: default_election(),
            snapshot: default_snapshot(),
            retention: default_retention(),
        }
    }
}

impl Agent {
    /// Settings of an agent for development, with the defaults of a settings file.
    pub fn local(listen: SocketAddr, announce: SocketAddr) -> Agent {
        Agent {
            listen,
            advertise: None,
            announce,
            queue: default_queue(),
            priority: default_priority(),
            stall: default_stall(),
        }
    }
}

fn default_region() -> Arc<str> {
    "local".into()
}

fn default_groups() -> u16 {
    1
}

fn default_freshness() -> u64 {
    5_000
}

fn default_body() -> usize {
    8 << 20
}

fn default_concurrency() -> usize {
    4_096
}

fn default_turnaway() -> u64 {
    2_000
}

fn default_stall() -> u64 {
    2_000
}

fn default_subset() -> usize {
    24
}

fn default_heartbeat() -> u64 {
    70
}

fn default_election() -> u64 {
    700
}

fn default_snapshot() -> u64 {
    20_000
}

fn default_retention() -> u32 {
    7
}

fn default_priority() -> bool {
    true
}

fn default_queue() -> usize {
    256
}

/// Why a settings file was refused.
#[derive(Debug, Display)]
pub enum Error {
    /// The file could not be read.
    #[display("cannot read settings {path}: {cause}")]
    Read {
        /// Path of the file.
        path: Arc<str>,
        /// Error of the system.
        cause: std::io::Error,
    },
    /// The file is not valid TOML, or has an unknown, missing or mistyped key.
    #[display("settings {path}: {cause}")]
    Parse {
        /// Path of the file.
        path: Arc<str>,
        /// Error with line and column.
        cause: Box<toml::de::Error>,
    },
    /// A value is out of range or contradicts another.
    #[display("settings {path}: {field} = {value}: {expected}")]
    Value {
        /// Path of the file.
        path: Arc<str>,
        /// Key of the value.
        field: &'static str,
        /// Value that was given.
        value: Arc<str>,
        /// What is permitted.
        expected: &'static str,
    },
}

impl std::error::Error for Error {}

/// Reads and validates a settings file.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let name: Arc<str> = path.display().to_string().into();
    let text =
        std::fs::read_to_string(path).map_err(|cause| Error::Read { path: name.clone(), cause })?;
    parse(&text, name)
}

/// Parses and validates the text of a settings file. `path` is used in errors.
pub fn parse(text: &str, path: Arc<str>) -> Result<Settings, Error> {
    let settings: Settings = toml::from_str(text)
        .map_err(|cause| Error::Parse { path: path.clone(), cause: Box::new(cause) })?;
    validate(&settings, path)?;
    Ok(settings)
}

fn validate(settings: &Settings, path: Arc<str>) -> Result<(), Error> {
    let check = |ok: bool, field: &'static str, value: &dyn ToString, expected: &'static str| {
        if ok {
            return Ok(());
        }
        Err(Error::Value { path: path.clone(), field, value: value.to_string().into(), expected })
    };
    let (process, fleet) = (&settings.process, &settings.fleet);
    check(valid_name(&process.name), "process.name", &process.name, NAME_RULE)?;
    check(valid_name(&process.domain), "process.domain", &process.domain, NAME_RULE)?;
    check(valid_name(&process.region), "process.region", &process.region, NAME_RULE)?;
    let groups = (1..=MAX_GROUPS).contains(&fleet.groups);
    check(groups, "fleet.groups", &fleet.groups, "a number from 1 to 256 is expected")?;
    let hosts = fleet.hosts.len();
    check(hosts > 0, "fleet.hosts", &hosts, "at least one state host is expected")?;
    let mut names: Vec<&str> = fleet.hosts.iter().map(|h| &*h.name).collect();
    names.sort_unstable();
    let unique = names.windows(2).all(|w| w[0] != w[1]);
    check(unique, "fleet.hosts", &names.join(", "), "names must be unique")?;
    let roles = settings.entry.is_some() || settings.state.is_some() || settings.agent.is_some();
    check(roles, "roles", &"none", "at least one of [entry], [state], [agent] is expected")?;
    if let Some(entry) = &settings.entry {
        let fresh = (500..=60_000).contains(&entry.freshness);
        check(fresh, "entry.freshness", &entry.freshness, "500 to 60000 ms are permitted")?;
        let stall = (200..=60_000).contains(&entry.stall);
        check(stall, "entry.stall", &entry.stall, "200 to 60000 ms are permitted")?;
        let body = (1_024..=1 << 30).contains(&entry.body);
        check(body, "entry.body", &entry.body, "1024 to 1073741824 bytes are permitted")?;
        let requests = (1..=1_000_000).contains(&entry.concurrency);
        check(requests, "entry.concurrency", &entry.concurrency, "1 to 1000000 are permitted")?;
        let turnaway = entry.turnaway <= 600_000;
        check(turnaway, "entry.turnaway", &entry.turnaway, "0 to 600000 ms are permitted")?;
        check(entry.subset > 0, "entry.subset", &entry.subset, "at least 1 is expected")?;
        for operator in &entry.operators {
            let hash =
                operator.key.len() == 64 && operator.key.bytes().all(|b| b.is_ascii_hexdigit());
            let rule = "64 hexadecimal digits (SHA-256 of the key) are expected";
            check(hash, "entry.operators.key", &operator.name, rule)?;
        }
    }
    if let Some(state) = &settings.state {
        let listed = fleet.hosts.iter().any(|h| h.name == process.name);
        let rule = "a process with the state role must be listed in fleet.hosts";
        check(listed, "process.name", &process.name, rule)?;
        let heartbeat = (10..=5_000).contains(&state.heartbeat);
        check(heartbeat, "state.heartbeat", &state.heartbeat, "10 to 5000 ms are permitted")?;
        let election = state.election >= 5 * state.heartbeat;
        check(
            election,
            "state.election",
            &state.election,
            "at least five times state.heartbeat is expected",
        )?;
        let snapshot = state.snapshot >= 100;
        check(snapshot, "state.snapshot", &state.snapshot, "at least 100 entries are expected")?;
        let days = (1..=3_650).contains(&state.retention);
        check(days, "state.retention", &state.retention, "1 to 3650 days are permitted")?;
    }
    if let Some(agent) = &settings.agent {
        check(agent.queue > 0, "agent.queue", &agent.queue, "at least 1 is expected")?;
        let stall = (200..=60_000).contains(&agent.stall);
        check(stall, "agent.stall", &agent.stall, "200 to 60000 ms are permitted")?;
    }
    Ok(())
}

const NAME_RULE: &str = "1 to 63 of a-z, 0-9, '-' are expected, with a letter or digit first";

/// Whether `name` follows the rule for names of processes, failure domains and regions.
pub fn valid_name(name: &str) -> bool {
    let body = name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    body && !name.starts_with('-') && (1..=63).contains(&name.len())
}

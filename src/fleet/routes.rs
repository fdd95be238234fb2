//! Routes and services of a configuration: validation, matching and choice of a service. Free of
//! I/O.

use crate::fleet::workspaces;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Form of the answers of a route, and whether requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Single answer; the request may run more than once.
    Safe,
    /// Single answer; the request runs at most once.
    Unsafe,
    /// Stream of numbered events.
    Stream,
    /// Submission of a batch job.
    Batch,
}

/// Share of a route's requests that goes to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other shares of the route.
    pub weight: u64,
}

/// Settings for the requests with a given host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name shown to operators.
    pub name: Arc<str>,
    /// Host name that requests state, in lowercase.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Form of the answers, and whether requests may be retried.
    pub kind: Kind,
    /// Longest time until the answer is complete. Does not apply to the items of batch jobs.
    pub timeout: Duration,
    /// Time within which an answer is useful to its caller.
    pub response_target: Duration,
    /// Longest pause between two events with which a stream is still useful; zero if not stated.
    pub gap_target: Duration,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u64,
    /// Whether callers need no key although the configuration has workspaces.
    pub is_open: bool,
    /// Services that run the requests.
    pub shares: Vec<Share>,
    /// Most endpoints on which one request may run; for batch jobs, failed runs after which an item
    /// is abandoned.
    pub max_attempts: u32,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// For batch jobs, time from submission until all results are due.
    pub due: Duration,
    /// For batch jobs, time from submission after which items may be abandoned; never if `None`.
    pub max_wait: Option<Duration>,
}

impl Route {
    /// Whether a request may run again after a run with an unknown outcome.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Safe | Kind::Batch => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Chooses a service by weight; `random` is a random number. `None` if all weights are zero.
    pub fn choose_service(&self, random: u64) -> Option<&Arc<str>> {
        let total: u64 = self.shares.iter().map(|s| s.weight).sum();
        let mut point = random.checked_rem(total)?;
        for share in &self.shares {
            if point < share.weight {
                return Some(&share.service);
            }
            point -= share.weight;
        }
        None
    }
}

/// Group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests that one endpoint runs concurrently, if stated.
    pub slots: Option<u32>,
    /// Tokens that one endpoint can hold in memory, if stated.
    pub token_capacity: Option<u64>,
    /// Most connections that one endpoint accepts, if stated.
    pub max_connections: Option<u32>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Bounds {
    /// Limits for settings that a configuration leaves out: the values in the platform's examples.
    fn default() -> Bounds {
        Bounds {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Validated configuration with the version that the operator gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version; the configuration with the highest one is active.
    pub version: u64,
    /// Routes, sorted by host and prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub bounds: Bounds,
    /// Workspaces whose keys callers use; if there are none, callers need no keys.
    pub workspaces: workspaces::Workspaces,
}

/// Why a configuration is not valid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// The text cannot be parsed as a configuration.
    #[display("not readable: {_0}")]
    Unreadable(Arc<str>),
    /// A route refers to a service that the configuration does not define.
    #[display("route {route}: unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the service.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    #[display("routes {first} and {second}: same host and prefix")]
    DuplicatePrefix {
        /// Name of the first route.
        first: Arc<str>,
        /// Name of the second route.
        second: Arc<str>,
    },
    /// The weights of a route add up to zero.
    #[display("route {_0}: the weights add up to 0")]
    ZeroWeight(Arc<str>),
    /// The timeout of a route is zero.
    #[display("route {_0}: the time limit is 0")]
    ZeroTimeout(Arc<str>),
    /// Two services have the same name.
    #[display("two services are named {_0}")]
    DuplicateService(Arc<str>),
    /// Two workspaces have the same name.
    #[display("two workspaces are named {_0}")]
    DuplicateWorkspace(Arc<str>),
    /// The name of a workspace cannot be sent in a header unchanged.
    #[display("workspace {_0:?}: the name is not a header value")]
    WorkspaceName(Arc<str>),
    /// A key belongs to two workspaces. The key itself is a secret and is not named.
    #[display("workspaces {first} and {second} share a key")]
    SharedKey {
        /// Name of the first workspace.
        first: Arc<str>,
        /// Name of the second workspace.
        second: Arc<str>,
    },
}

impl Config {
    /// Builds a configuration after sorting and validating its parts.
    ///
    /// # Errors
    /// The first problem found. No part of an invalid configuration may be used.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        bounds: Bounds,
        workspaces: Vec<workspaces::Workspace>,
    ) -> Result<Config, Problem> {
        services.sort_by(|a, b| a.name.cmp(&b.name));
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        if let Some(pair) = services.windows(2).find(|p| p[0].name == p[1].name) {
            return Err(Problem::DuplicateService(pair[0].name.clone()));
        }
        let same = |p: &&[Route]| (&p[0].host, &p[0].prefix) == (&p[1].host, &p[1].prefix);
        if let Some(pair) = routes.windows(2).find(same) {
            let (first, second) = (pair[0].name.clone(), pair[1].name.clone());
            return Err(Problem::DuplicatePrefix { first, second });
        }
        let workspaces = workspaces::Workspaces::new(workspaces)?;
        let config = Config { version, routes, services, bounds, workspaces };
        for route in &config.routes {
            config.check_route(route)?;
        }
        Ok(config)
    }

    fn check_route(&self, route: &Route) -> Result<(), Problem> {
        if let Some(share) = route.shares.iter().find(|s| self.service(&s.service).is_none()) {
            let (route, service) = (route.name.clone(), share.service.clone());
            return Err(Problem::UnknownService { route, service });
        }
        if route.shares.iter().map(|s| s.weight).sum::<u64>() == 0 {
            return Err(Problem::ZeroWeight(route.name.clone()));
        }
        if route.timeout.is_zero() {
            return Err(Problem::ZeroTimeout(route.name.clone()));
        }
        Ok(())
    }

    /// Service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.binary_search_by(|s| (*s.name).cmp(name)).ok().map(|at| &self.services[at])
    }

    /// Finds the route of a request: among the routes of the host, the one with the longest prefix
    /// of `path`. The host is compared without port and regardless of case.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let from = self.routes.partition_point(|r| *r.host < *name);
        let routes = self.routes[from..].iter().take_while(|r| *r.host == *name);
        routes.filter(|r| path.starts_with(&*r.prefix)).max_by_key(|r| r.prefix.len())
    }
}

//! Registered agents, their endpoints, and drains.

use crate::catalog::command::Author;
use crate::catalog::command::Note;
use crate::catalog::command::Problem;
use crate::catalog::command::Reply;
use crate::catalog::fields;
use crate::catalog::similar;
use crate::sorted::SortedMap;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;

/// Departures of agents that are kept for explanation.
pub const MAX_DEPARTURES: usize = 1_000;

/// Drains and resumes that are kept of endpoints that are not registered. A drained endpoint
/// stays drained while its host is away for maintenance; hosts that never return are forgotten.
pub const MAX_UNREGISTERED_DRAINS: usize = 1_000;

/// Agent with its endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// Name of the agent, unique in the fleet.
    pub name: Arc<str>,
    /// Socket address on which entries reach it.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Endpoints on its host.
    pub endpoints: Vec<Endpoint>,
}

/// Endpoint behind an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint, unique in the fleet.
    pub name: Arc<str>,
    /// What the endpoint is.
    pub kind: EndpointKind,
    /// Address on its host.
    pub address: Arc<str>,
    /// Models that it serves; for a plain service, the services that it provides.
    pub models: Vec<Arc<str>>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it refuses orders with an old number.
    pub fencing: bool,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// Inference engine.
    #[display("engine")]
    Engine,
    /// Plain service.
    #[display("service")]
    Service,
}

/// Why an agent left.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveReason {
    /// It was stopped gracefully.
    #[display("stopped")]
    Stopped,
    /// Its lease expired.
    #[display("lease expired")]
    Expired {
        /// Log index of the join whose lease expired; a later join makes the command void.
        joined: u64,
    },
    /// An operator removed it.
    #[display("removed by {operator}")]
    Removed {
        /// Operator.
        operator: Arc<str>,
    },
}

/// Departure of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the agent.
    pub agent: Arc<str>,
    /// Reason.
    pub reason: LeaveReason,
    /// Log index.
    pub revision: u64,
}

/// Last drain or resume of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Whether the endpoint is draining.
    pub draining: bool,
    /// Who drained or resumed it.
    pub by: Author,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Registration {
    record: AgentRecord,
    joined: u64,
}

/// Agents by name, and drains by endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Fleet {
    agents: SortedMap<Arc<str>, Registration>,
    drains: SortedMap<Arc<str>, Drain>,
    departures: VecDeque<Departure>,
    /// Agent of each endpoint.
    #[serde(skip)]
    owners: SortedMap<Arc<str>, Arc<str>>,
}

impl Fleet {
    /// Registers an agent or replaces its record.
    pub fn join(&mut self, index: u64, agent: AgentRecord) -> Reply {
        let problems = self.check_agent(&agent);
        if !problems.is_empty() {
            return Reply::Refused { problems };
        }
        self.unindex_endpoints(&agent.name);
        for endpoint in &agent.endpoints {
            self.owners.insert(endpoint.name.clone(), agent.name.clone());
        }
        self.agents.insert(agent.name.clone(), Registration { record: agent, joined: index });
        Reply::Accepted { revision: index, undoes: None }
    }

    fn check_agent(&self, agent: &AgentRecord) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut check = fields::Check::new(&agent.name, &mut problems);
        check.require_name("name", &agent.name);
        check.require_name("domain", &agent.domain);
        check.require_name("region", &agent.region);
        check.require_model("address", &agent.address);
        check.limit_list("endpoints", agent.endpoints.len());
        for (at, endpoint) in agent.endpoints.iter().enumerate() {
            check.require_name("endpoint", &endpoint.name);
            check.require_model("endpoint address", &endpoint.address);
            check.limit_list("models", endpoint.models.len());
            check.require_positive("slots", endpoint.slots.into());
            let unique = agent.endpoints[..at].iter().all(|e| e.name != endpoint.name);
            check.require(unique, "endpoint", &endpoint.name, "each name once");
        }
        for endpoint in &agent.endpoints {
            if let Some(owner) = self.owners.get(&endpoint.name)
                && *owner != agent.name
            {
                let (endpoint, agent) = (endpoint.name.clone(), owner.clone());
                problems.push(Problem::EndpointTaken { endpoint, agent });
            }
        }
        problems
    }

    /// Removes an agent.
    pub fn leave(&mut self, index: u64, agent: &Arc<str>, reason: LeaveReason) -> Reply {
        let Some(joined) = self.join_index(agent) else {
            return Reply::Unchanged { revision: index, note: Note::Absent };
        };
        if let LeaveReason::Expired { joined: expired } = reason
            && expired != joined
        {
            return Reply::Unchanged { revision: joined, note: Note::Rejoined { joined } };
        }
        self.unindex_endpoints(agent);
        self.agents.remove(agent);
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(Departure { agent: agent.clone(), reason, revision: index });
        Reply::Accepted { revision: index, undoes: None }
    }

    fn unindex_endpoints(&mut self, agent: &str) {
        self.owners.retain(|_, owner| **owner != *agent);
    }

    /// Stops new work for an endpoint.
    pub fn drain(&mut self, endpoint: &Arc<str>, by: &Author) -> Reply {
        let last = self.drains.get(endpoint).cloned();
        if let Some(Drain { draining: true, by, .. }) = last {
            return Reply::Unchanged { revision: by.revision, note: Note::Draining { by } };
        }
        if !self.owners.contains(endpoint) {
            return Reply::refused(self.explain_unknown(endpoint));
        }
        self.record_drain(endpoint, true, by);
        Reply::Accepted { revision: by.revision, undoes: last.map(|d| d.by) }
    }

    /// Ends the drain of an endpoint; the endpoint need not be registered at the moment.
    pub fn resume(&mut self, endpoint: &Arc<str>, by: &Author) -> Reply {
        match self.drains.get(endpoint).cloned() {
            Some(drain) if drain.draining => {
                self.record_drain(endpoint, false, by);
                Reply::Accepted { revision: by.revision, undoes: Some(drain.by) }
            }
            None if !self.owners.contains(endpoint) => {
                Reply::refused(self.explain_unknown(endpoint))
            }
            last => {
                let last = last.map(|d| d.by);
                let revision = last.as_ref().map_or(0, |by| by.revision);
                Reply::Unchanged { revision, note: Note::NotDraining { last } }
            }
        }
    }

    fn record_drain(&mut self, endpoint: &Arc<str>, draining: bool, by: &Author) {
        let drain = Drain { endpoint: endpoint.clone(), draining, by: by.clone() };
        self.drains.insert(endpoint.clone(), drain);
        let unregistered = |d: &&Drain| !self.owners.contains(&d.endpoint);
        if self.drains.values().filter(unregistered).count() <= MAX_UNREGISTERED_DRAINS {
            return;
        }
        let oldest = self.drains.values().filter(unregistered).min_by_key(|d| d.by.revision);
        if let Some(oldest) = oldest.map(|d| d.endpoint.clone()) {
            self.drains.remove(&oldest);
        }
    }

    /// Explains why an endpoint cannot be addressed.
    pub fn explain_unknown(&self, endpoint: &Arc<str>) -> Problem {
        if let Some(agent) = self.agents.get(endpoint) {
            let endpoints = agent.record.endpoints.iter().map(|e| e.name.clone()).collect();
            return Problem::IsAgent { agent: endpoint.clone(), endpoints };
        }
        let known = self.owners.keys().chain(self.drains.keys());
        let similar = similar::names(endpoint, known.map(|k| &**k));
        Problem::NoEndpoint { endpoint: endpoint.clone(), similar }
    }

    /// Recomputes what a snapshot does not contain.
    pub fn rebuild(&mut self) {
        let mut owners: Vec<(Arc<str>, Arc<str>)> =
            self.endpoints().map(|(a, e)| (e.name.clone(), a.name.clone())).collect();
        owners.sort_unstable();
        self.owners = owners.into_iter().collect();
    }

    /// Registered agents in order of name.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents.values().map(|r| &r.record)
    }

    /// Record of a registered agent.
    pub fn agent(&self, agent: &str) -> Option<&AgentRecord> {
        self.agents.get(agent).map(|r| &r.record)
    }

    /// Log index of the last join of a registered agent.
    pub fn join_index(&self, agent: &str) -> Option<u64> {
        self.agents.get(agent).map(|r| r.joined)
    }

    /// Endpoints with their agents, in order of agent.
    pub fn endpoints(&self) -> impl Iterator<Item = (&AgentRecord, &Endpoint)> {
        self.agents().flat_map(|a| a.endpoints.iter().map(move |e| (a, e)))
    }

    /// Returns an endpoint and its agent.
    pub fn endpoint(&self, name: &str) -> Option<(&AgentRecord, &Endpoint)> {
        let agent = &self.agents.get(self.owners.get(name)?)?.record;
        agent.endpoints.iter().find(|e| *e.name == *name).map(|e| (agent, e))
    }

    /// Engines that serve the model and are not draining.
    pub fn candidates(&self, model: &str) -> impl Iterator<Item = (&AgentRecord, &Endpoint)> {
        self.providers(EndpointKind::Engine, model)
    }

    /// Endpoints that provide a plain service and are not draining.
    pub fn services(&self, service: &str) -> impl Iterator<Item = (&AgentRecord, &Endpoint)> {
        self.providers(EndpointKind::Service, service)
    }

    fn providers(
        &self,
        kind: EndpointKind,
        model: &str,
    ) -> impl Iterator<Item = (&AgentRecord, &Endpoint)> {
        self.endpoints().filter(move |(_, e)| {
            let provides = e.kind == kind && e.models.iter().any(|m| **m == *model);
            provides && !self.is_draining(&e.name)
        })
    }

    /// Whether an operator has drained the endpoint.
    pub fn is_draining(&self, endpoint: &str) -> bool {
        self.drains.get(endpoint).is_some_and(|d| d.draining)
    }

    /// Last drain or resume of every endpoint.
    pub fn drains(&self) -> impl Iterator<Item = &Drain> {
        self.drains.values()
    }

    /// Agents that left, latest last.
    pub fn departures(&self) -> impl Iterator<Item = &Departure> {
        self.departures.iter()
    }
}

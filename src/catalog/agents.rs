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

/// Number of departures of agents that are kept for operators to look up.
pub const MAX_DEPARTURES: usize = 1_000;

/// Number of drains and resumes that are kept for endpoints that are not registered. An endpoint
/// stays drained while its host is down for maintenance. The limit removes the entries of hosts
/// that never return.
pub const MAX_UNREGISTERED_DRAINS: usize = 1_000;

/// Record that an agent registers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// Name of the agent, unique in the fleet.
    pub name: Arc<str>,
    /// Socket address at which the entries reach the agent.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Endpoints on its host.
    pub endpoints: Vec<Endpoint>,
}

/// Endpoint that is reached through an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint, unique in the fleet.
    pub name: Arc<str>,
    /// Whether it is an inference engine or a plain service.
    pub kind: EndpointKind,
    /// Address at which the agent reaches it.
    pub address: Arc<str>,
    /// Models that an engine serves, or services that a plain service provides.
    pub models: Vec<Arc<str>>,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether the endpoint itself refuses orders with an old number.
    pub fencing: bool,
}

/// Kind of endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// Inference engine that serves models.
    #[display("engine")]
    Engine,
    /// Plain service, which serves no models and takes no orders.
    #[display("service")]
    Service,
}

/// Reason why an agent left the catalog.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveReason {
    /// The agent shut down gracefully.
    #[display("stopped")]
    Stopped,
    /// The agent's lease expired.
    #[display("lease expired")]
    Expired {
        /// Log index of the join whose lease expired. If the agent has joined again since, the
        /// command has no effect.
        joined: u64,
    },
    /// An operator removed the agent.
    #[display("removed by {operator}")]
    Removed {
        /// Name of the operator.
        operator: Arc<str>,
    },
}

/// Record of an agent that left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the agent.
    pub agent: Arc<str>,
    /// Why it left.
    pub reason: LeaveReason,
    /// Log index of the command that removed it.
    pub revision: u64,
}

/// Last drain or resume of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Whether the endpoint is draining.
    pub draining: bool,
    /// Author of the drain or resume.
    pub by: Author,
}

/// Registered agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Registration {
    record: AgentRecord,
    /// Log index of the last join.
    joined: u64,
}

/// Registered agents by name, last drains by endpoint and recent departures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Fleet {
    agents: SortedMap<Arc<str>, Registration>,
    drains: SortedMap<Arc<str>, Drain>,
    departures: VecDeque<Departure>,
    /// Name of the agent of each registered endpoint.
    #[serde(skip)]
    owners: SortedMap<Arc<str>, Arc<str>>,
}

impl Fleet {
    /// Registers an agent or replaces its record. Refuses the whole record if one of its endpoints
    /// belongs to another agent.
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

    /// Removes an agent and its endpoints. Drains of these endpoints are kept.
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

    /// Removes the endpoints of an agent from the index by endpoint.
    fn unindex_endpoints(&mut self, agent: &str) {
        self.owners.retain(|_, owner| **owner != *agent);
    }

    /// Marks an endpoint as draining, so that it gets no new work.
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

    /// Ends the drain of an endpoint. The endpoint need not be registered: its host may be down.
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

    /// Records a drain or resume and removes the oldest entry of an unregistered endpoint if there
    /// are more than [`MAX_UNREGISTERED_DRAINS`].
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

    /// Explains why there is no endpoint of this name: it is an agent's name, or not registered.
    pub fn explain_unknown(&self, endpoint: &Arc<str>) -> Problem {
        if let Some(agent) = self.agents.get(endpoint) {
            let endpoints = agent.record.endpoints.iter().map(|e| e.name.clone()).collect();
            return Problem::IsAgent { agent: endpoint.clone(), endpoints };
        }
        let known = self.owners.keys().chain(self.drains.keys());
        let similar = similar::names(endpoint, known.map(|k| &**k));
        Problem::NoEndpoint { endpoint: endpoint.clone(), similar }
    }

    /// Rebuilds the index of endpoints, which snapshots do not contain.
    pub fn rebuild(&mut self) {
        let mut owners: Vec<(Arc<str>, Arc<str>)> =
            self.endpoints().map(|(a, e)| (e.name.clone(), a.name.clone())).collect();
        owners.sort_unstable();
        self.owners = owners.into_iter().collect();
    }

    /// Registered agents, sorted by name.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents.values().map(|r| &r.record)
    }

    /// Record of an agent, if it is registered.
    pub fn agent(&self, agent: &str) -> Option<&AgentRecord> {
        self.agents.get(agent).map(|r| &r.record)
    }

    /// Log index of the last join of an agent, if it is registered.
    pub fn join_index(&self, agent: &str) -> Option<u64> {
        self.agents.get(agent).map(|r| r.joined)
    }

    /// Registered endpoints with their agents, sorted by agent.
    pub fn endpoints(&self) -> impl Iterator<Item = (&AgentRecord, &Endpoint)> {
        self.agents().flat_map(|a| a.endpoints.iter().map(move |e| (a, e)))
    }

    /// Endpoint of this name and its agent, if it is registered.
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

    /// Recent departures, oldest first.
    pub fn departures(&self) -> impl Iterator<Item = &Departure> {
        self.departures.iter()
    }
}

//! Service of group 0: the replicated configuration, and the heartbeats of the nodes, which only
//! the leader holds.

use crate::catalog;
use crate::replica;
use crate::sorted;
use crate::state::directory;
use crate::state::service;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// An agent without a heartbeat for this long is removed from the catalog.
pub const AGENT_LEASE: Duration = Duration::from_secs(3);
/// A node without a heartbeat for this long is no longer listed.
const HEARTBEAT_RETENTION: Duration = Duration::from_secs(60);

/// Role that agents state in their heartbeats.
const AGENT_ROLE: &str = "agent";

/// Catalog of group 0 and, on its leader, the heartbeats of the nodes.
pub struct CatalogService {
    catalog: catalog::Catalog,
    /// Last heartbeat by role and name, since one process may run several roles.
    heartbeats: sorted::SortedMap<(Arc<str>, Arc<str>), Heartbeat>,
    /// Time of the election while this replica leads.
    leader_since: Option<Duration>,
    directory: directory::Directory,
    /// Revision of the configuration and log index last published to `directory`.
    published: (u64, u64),
}

struct Heartbeat {
    received: Duration,
    beat: wire::Heartbeat,
}

impl CatalogService {
    /// Creates the service with an empty catalog. It publishes applied changes to `directory`.
    pub fn new(directory: directory::Directory) -> CatalogService {
        CatalogService {
            catalog: catalog::Catalog::new(),
            heartbeats: sorted::SortedMap::new(),
            leader_since: None,
            directory,
            published: (0, 0),
        }
    }

    fn directory_contents(&self) -> directory::Contents {
        let workspaces = self.catalog.config().of_kind(catalog::Kind::Workspace);
        let weight = |stored: &catalog::documents::Stored| match &stored.document.body {
            catalog::Body::Workspace(w) => Some((w.name.clone(), w.share)),
            _ => None,
        };
        directory::Contents {
            agents: self.catalog.agents().map(|a| a.name.clone()).collect(),
            weights: workspaces.filter_map(weight).collect(),
        }
    }

    fn record_heartbeat(&mut self, now: Duration, beat: wire::Heartbeat) -> wire::Reply {
        let known = self.catalog.fleet().join_index(&beat.node).is_some();
        let revision = self.catalog.revision();
        let key = (beat.role.clone(), beat.node.clone());
        self.heartbeats.insert(key, Heartbeat { received: now, beat });
        wire::Reply::HeartbeatAck { known, revision }
    }

    /// Returns the agents whose lease has expired. A leader elected at `since` gives every agent a
    /// full lease from then on.
    fn expired_agents(&self, now: Duration, since: Duration) -> Vec<Arc<str>> {
        let late = |agent: &catalog::AgentRecord| {
            let key: (Arc<str>, Arc<str>) = (AGENT_ROLE.into(), agent.name.clone());
            let received = self.heartbeats.get(&key).map(|h| h.received);
            now.saturating_sub(received.unwrap_or(since).max(since)) > AGENT_LEASE
        };
        self.catalog.agents().filter(|a| late(a)).map(|a| a.name.clone()).collect()
    }

    fn nodes(&self, now: Duration) -> Vec<wire::Node> {
        let node = |heartbeat: &Heartbeat| wire::Node {
            beat: heartbeat.beat.clone(),
            age: u64::try_from(now.saturating_sub(heartbeat.received).as_millis())
                .unwrap_or(u64::MAX),
        };
        self.heartbeats.values().map(node).collect()
    }
}

impl service::Service for CatalogService {
    fn state_machine(&mut self) -> &mut dyn replica::StateMachine {
        &mut self.catalog
    }

    fn query(&self, query: &[u8]) -> Vec<u8> {
        match catalog::decode(query) {
            Ok(query) => catalog::encode(&self.catalog.query(&query)),
            // The requester cannot decode an empty answer and reports an error.
            Err(_) => Vec::new(),
        }
    }

    fn is_new_work(&self, command: &[u8]) -> bool {
        let decoded = catalog::decode::<catalog::Command>(command);
        matches!(decoded, Ok(catalog::Command::Change { .. } | catalog::Command::Order { .. }))
    }

    fn prepare(&mut self, _now: Duration, command: Bytes) -> Result<Bytes, wire::Reason> {
        match catalog::decode::<catalog::Command>(&command) {
            Ok(_) => Ok(command),
            Err(_) => Err(wire::Reason::Invalid),
        }
    }

    fn leadership_changed(&mut self, now: Duration, is_leader: bool) {
        self.leader_since = is_leader.then_some(now);
        self.heartbeats.clear();
    }

    fn entries_applied(&mut self, _now: Duration) {
        let position = (self.catalog.revision(), self.catalog.applied());
        if position != self.published {
            self.published = position;
            self.directory.update(self.directory_contents());
        }
    }

    fn tick(&mut self, now: Duration) -> Vec<Bytes> {
        let Some(since) = self.leader_since else { return Vec::new() };
        self.heartbeats.retain(|_, h| now.saturating_sub(h.received) <= HEARTBEAT_RETENTION);
        let leave = |agent: Arc<str>| {
            let joined = self.catalog.fleet().join_index(&agent).unwrap_or_default();
            let reason = catalog::LeaveReason::Expired { joined };
            catalog::encode(&catalog::Command::Leave { agent, reason }).into()
        };
        self.expired_agents(now, since).into_iter().map(leave).collect()
    }

    fn serve(&mut self, now: Duration, request: wire::Request, done: service::ReplySender) {
        match request {
            wire::Request::Heartbeat(beat) => {
                service::answer(done, self.record_heartbeat(now, beat))
            }
            wire::Request::Nodes => service::answer(done, wire::Reply::Nodes(self.nodes(now))),
            _ => service::refuse(done, wire::Reason::Invalid),
        }
    }
}

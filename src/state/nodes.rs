//! Group 0: the configuration, and the heartbeats of the nodes at its leader.

use crate::catalog;
use crate::replica;
use crate::sorted;
use crate::state::directory;
use crate::state::service;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Time without a heartbeat after which an agent counts as gone.
pub const AGENT_LEASE: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which an entry is no longer shown.
const ENTRY_LIMIT: Duration = Duration::from_secs(60);

/// Role of agents in their heartbeats.
const AGENT: &str = "agent";

/// Service of group 0.
pub struct Nodes {
    catalog: catalog::Catalog,
    /// Heartbeats by role and name: one process may run several roles.
    seen: sorted::SortedMap<(Arc<str>, Arc<str>), Seen>,
    leads: Option<Duration>,
    directory: directory::Directory,
    /// Revision of the configuration and log index that the directory shows.
    shown: (u64, u64),
}

struct Seen {
    at: Duration,
    beat: wire::Beat,
}

impl Nodes {
    /// Creates the service with an empty catalog. It keeps `directory` up to date.
    pub fn new(directory: directory::Directory) -> Nodes {
        Nodes {
            catalog: catalog::Catalog::new(),
            seen: sorted::SortedMap::new(),
            leads: None,
            directory,
            shown: (0, 0),
        }
    }

    fn facts(&self) -> directory::Facts {
        let workspaces = self.catalog.config().of_kind(catalog::Kind::Workspace);
        let weight = |stored: &catalog::documents::Stored| match &stored.document.body {
            catalog::Body::Workspace(w) => Some((w.name.clone(), w.share)),
            _ => None,
        };
        directory::Facts {
            agents: self.catalog.agents().map(|a| a.name.clone()).collect(),
            weights: workspaces.filter_map(weight).collect(),
        }
    }

    fn beat(&mut self, now: Duration, beat: wire::Beat) -> wire::Reply {
        let known = self.catalog.fleet().join_index(&beat.node).is_some();
        let revision = self.catalog.revision();
        let key = (beat.role.clone(), beat.node.clone());
        self.seen.insert(key, Seen { at: now, beat });
        wire::Reply::Known { known, revision }
    }

    /// Agents whose lease has expired. After a change of leader every agent has a full lease.
    fn expired(&self, now: Duration, since: Duration) -> Vec<Arc<str>> {
        let late = |agent: &catalog::AgentRecord| {
            let key: (Arc<str>, Arc<str>) = (AGENT.into(), agent.name.clone());
            let seen = self.seen.get(&key).map(|s| s.at);
            now.saturating_sub(seen.unwrap_or(since).max(since)) > AGENT_LEASE
        };
        self.catalog.agents().filter(|a| late(a)).map(|a| a.name.clone()).collect()
    }

    fn nodes(&self, now: Duration) -> Vec<wire::Node> {
        let node = |seen: &Seen| wire::Node {
            beat: seen.beat.clone(),
            age: u64::try_from(now.saturating_sub(seen.at).as_millis()).unwrap_or(u64::MAX),
        };
        self.seen.values().map(node).collect()
    }
}

impl service::Service for Nodes {
    fn machine(&mut self) -> &mut dyn replica::StateMachine {
        &mut self.catalog
    }

    fn query(&self, query: &[u8]) -> Vec<u8> {
        match catalog::decode(query) {
            Ok(query) => catalog::encode(&self.catalog.query(&query)),
            // An empty answer does not decode, which the asker reports.
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

    fn lead(&mut self, now: Duration, leads: bool) {
        self.leads = leads.then_some(now);
        self.seen.clear();
    }

    fn applied(&mut self, _now: Duration) {
        let position = (self.catalog.revision(), self.catalog.applied());
        if position != self.shown {
            self.shown = position;
            self.directory.update(self.facts());
        }
    }

    fn tick(&mut self, now: Duration) -> Vec<Bytes> {
        let Some(since) = self.leads else { return Vec::new() };
        self.seen.retain(|_, s| now.saturating_sub(s.at) <= ENTRY_LIMIT);
        let leave = |agent: Arc<str>| {
            let joined = self.catalog.fleet().join_index(&agent).unwrap_or_default();
            let reason = catalog::LeaveReason::Expired { joined };
            catalog::encode(&catalog::Command::Leave { agent, reason }).into()
        };
        self.expired(now, since).into_iter().map(leave).collect()
    }

    fn serve(&mut self, now: Duration, request: wire::Request, done: service::Done) {
        match request {
            wire::Request::Beat(beat) => service::answer(done, self.beat(now, beat)),
            wire::Request::Nodes => service::answer(done, wire::Reply::Nodes(self.nodes(now))),
            _ => service::refuse(done, wire::Reason::Invalid),
        }
    }
}

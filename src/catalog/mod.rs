//! Replicated state machine of group 0. It holds the configuration with its history, the
//! registered agents and their orders.
//!
//! [`Catalog::apply`] is deterministic: the same log gives the same states and replies on every
//! replica and on every node that follows the log. Enum variants are encoded by position, so new
//! variants are added only at the end.

pub mod agents;
pub mod command;
pub mod config;
pub mod documents;
pub mod fields;
pub mod history;
pub mod orders;
pub mod placement;
mod pool;
pub mod similar;

pub use agents::AgentRecord;
pub use agents::Endpoint;
pub use agents::EndpointKind;
pub use agents::LeaveReason;
pub use command::Answer;
pub use command::Author;
pub use command::Change;
pub use command::Command;
pub use command::Conflict;
pub use command::Note;
pub use command::Problem;
pub use command::Query;
pub use command::Reply;
pub use documents::Body;
pub use documents::Document;
pub use documents::Kind;
pub use documents::Name;
pub use documents::Parameter;
pub use orders::Order;
pub use orders::OrderKind;
pub use orders::OrderOutcome;

use crate::replica;
use history::Record;
use history::ReplyTable;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3;

/// Version of the snapshot encoding.
const SNAPSHOT_VERSION: u16 = 1;

/// Number of changes whose ids and replies are kept, refused ones not counted: 30 days at 720
/// changes a day. A resend within that time is recognised even if the change is no longer in the
/// history.
pub const MAX_CHANGE_IDS: usize = 21_600;

/// Number of drains, resumes and orders whose ids and replies are kept, refused ones not counted.
pub const MAX_OPERATION_IDS: usize = 10_000;

/// Number of refused commands whose ids and replies are kept. They have a table of their own so
/// that a client that repeats invalid commands cannot evict the ids of accepted ones.
pub const MAX_REFUSED_IDS: usize = 1_000;

/// Largest encoded command of an operator, in bytes. Together with [`MAX_PAGE_BYTES`] it keeps
/// every answer below [`crate::wire::MAX_FRAME`].
pub const MAX_COMMAND_BYTES: usize = 1 << 20;

/// Largest encoded size in bytes of one page of a list. The client requests the following pages by
/// position.
pub const MAX_PAGE_BYTES: usize = 4 << 20;

/// Collects up to `limit` items of at most [`MAX_PAGE_BYTES`] in total. The first item is always
/// taken, whatever its size.
fn page<T: Serialize>(items: impl Iterator<Item = T>, limit: u32) -> Vec<T> {
    let mut size = 0;
    let fits = |item: &T| {
        let first = size == 0;
        size += encode(item).len();
        first || size <= MAX_PAGE_BYTES
    };
    items.take(limit as usize).take_while(fits).collect()
}

/// Encodes a command, reply, query or answer.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("postcard encodes every type of the catalog")
}

/// Decodes a command, reply, query or answer. Trailing bytes are an error.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(data)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

/// State of the state machine of group 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    applied: u64,
    config: config::Config,
    history: history::History,
    change_replies: ReplyTable,
    operation_replies: ReplyTable,
    refusal_replies: ReplyTable,
    fleet: agents::Fleet,
    orders: orders::Orders,
    #[serde(skip)]
    pool: pool::StringPool,
}

impl Default for Catalog {
    fn default() -> Self {
        Catalog {
            applied: 0,
            config: config::Config::default(),
            history: history::History::default(),
            change_replies: ReplyTable::new(MAX_CHANGE_IDS),
            operation_replies: ReplyTable::new(MAX_OPERATION_IDS),
            refusal_replies: ReplyTable::new(MAX_REFUSED_IDS),
            fleet: agents::Fleet::default(),
            orders: orders::Orders::default(),
            pool: pool::StringPool::default(),
        }
    }
}

impl Catalog {
    /// Returns an empty catalog.
    pub fn new() -> Catalog {
        Catalog::default()
    }

    /// Applies the command at log `index` and returns the encoded [`Reply`].
    ///
    /// An empty entry or a command that does not decode changes only the applied index. An index
    /// that was already applied changes nothing. The reply is [`Reply::Malformed`] in these cases.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        encode(&self.apply_entry(index, command))
    }

    fn apply_entry(&mut self, index: u64, data: &[u8]) -> Reply {
        if index <= self.applied {
            return Reply::Malformed;
        }
        self.applied = index;
        match decode::<Command>(data) {
            Ok(command) if data.len() > MAX_COMMAND_BYTES && command.origin().is_some() => {
                let (size, limit) = (data.len() as u64, MAX_COMMAND_BYTES as u64);
                Reply::refused(Problem::TooLarge { size, limit })
            }
            Ok(command) => self.dispatch(index, xxh3::xxh3_64(data), command),
            Err(_) => Reply::Malformed,
        }
    }

    fn dispatch(&mut self, index: u64, digest: u64, command: Command) -> Reply {
        let Some((id, operator)) = command.origin() else {
            return self.execute_internal(index, command);
        };
        let problems = fields::check_origin(id, operator);
        if !problems.is_empty() {
            return Reply::Refused { problems };
        }
        let mut by = Author { id: id.clone(), operator: operator.clone(), revision: index };
        self.pool.intern(&mut by.operator);
        if let Some(reply) = self.recorded_reply(&by.id, digest) {
            return reply;
        }
        let is_change = matches!(command, Command::Change { .. });
        let reply = self.execute(&by, command);
        let table = match (reply.is_refusal(), is_change) {
            (true, _) => &mut self.refusal_replies,
            (false, true) => &mut self.change_replies,
            (false, false) => &mut self.operation_replies,
        };
        table.record(&by, digest, &reply);
        reply
    }

    /// Executes an operator's command whose id is new.
    fn execute(&mut self, by: &Author, command: Command) -> Reply {
        let (reply, action) = match command {
            Command::Change { expected, changes, .. } => {
                return self.apply_change(by, expected, changes);
            }
            Command::Drain { target, .. } => {
                (self.fleet.drain(&target, by), history::Action::Drained { endpoint: target })
            }
            Command::Resume { target, .. } => {
                (self.fleet.resume(&target, by), history::Action::Resumed { endpoint: target })
            }
            Command::Order { endpoint, order, .. } => {
                let reply = self.orders.submit(&self.fleet, &endpoint, &order, by);
                (reply, history::Action::Ordered { endpoint, order })
            }
            Command::Join { .. } | Command::Leave { .. } | Command::OrderDone { .. } => {
                return Reply::Malformed;
            }
        };
        if let Reply::Accepted { .. } = reply {
            self.history.record_operation(by, action);
        }
        reply
    }

    /// Executes a command of a component. It needs no id because it can safely be repeated.
    fn execute_internal(&mut self, index: u64, command: Command) -> Reply {
        match command {
            Command::Join { agent } => {
                let reply = self.fleet.join(index, agent);
                self.orders.mark_lost_orders(&self.fleet);
                reply
            }
            Command::Leave { agent, reason } => {
                let reply = self.fleet.leave(index, &agent, reason);
                self.orders.mark_lost_orders(&self.fleet);
                reply
            }
            Command::OrderDone { number, outcome } => {
                self.orders.record_outcome(index, number, outcome)
            }
            _ => Reply::Malformed,
        }
    }

    /// Validates a change and applies it to the configuration.
    fn apply_change(&mut self, by: &Author, expected: Option<u64>, changes: Vec<Change>) -> Reply {
        let revision = self.config.revision();
        if let Some(expected) = expected {
            if expected > revision {
                return Reply::refused(Problem::FutureRevision { expected, revision });
            }
            if let Some(winner) = self.history.first_change_after(expected, revision) {
                let conflict = Conflict::Raced { expected, winner };
                return Reply::Conflict { conflict, revision };
            }
        }
        if let Err(problems) = self.config.check(&changes, &self.history) {
            return Reply::Refused { problems };
        }
        let changed = self.config.commit(by.revision, changes, &mut self.pool);
        if changed.is_empty() {
            return Reply::Unchanged { revision, note: Note::SameContent };
        }
        self.history.record_change(by, changed);
        Reply::Accepted { revision: by.revision, undoes: None }
    }

    /// Reply to a command whose id is already recorded: the recorded reply if the content is the
    /// same, otherwise a conflict. `None` if the id is new.
    fn recorded_reply(&self, id: &str, digest: u64) -> Option<Reply> {
        let tables = [&self.change_replies, &self.operation_replies, &self.refusal_replies];
        let recorded = tables.iter().find_map(|t| t.get(id))?;
        if recorded.digest == digest {
            return Some(recorded.reply());
        }
        let conflict = Conflict::Reused { first: recorded.by.clone() };
        Some(Reply::Conflict { conflict, revision: self.config.revision() })
    }

    /// Encodes the whole state, preceded by the version of the encoding.
    pub fn snapshot(&self) -> Vec<u8> {
        encode(&(SNAPSHOT_VERSION, self))
    }

    /// Replaces the state by a snapshot. On an error the state is unchanged.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        let fail = |cause: String| replica::RestoreError { cause: cause.into() };
        let (version, _) =
            postcard::take_from_bytes::<u16>(data).map_err(|e| fail(e.to_string()))?;
        if version != SNAPSHOT_VERSION {
            return Err(fail(format!(
                "snapshot version {version} is not supported, expected {SNAPSHOT_VERSION}"
            )));
        }
        let (_, mut state) = decode::<(u16, Catalog)>(data).map_err(|e| fail(e.to_string()))?;
        state.history.rebuild(&mut state.pool);
        state.config.rebuild(&state.history);
        for table in
            [&mut state.change_replies, &mut state.operation_replies, &mut state.refusal_replies]
        {
            table.rebuild(&mut state.pool);
        }
        state.fleet.rebuild();
        *self = state;
        Ok(())
    }

    /// Log index of the last applied entry. Watches continue from this index.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Revision of the configuration: the log index of its last change, or 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.config.revision()
    }

    /// Digest of the current configuration. Equal sets of documents have equal digests.
    pub fn digest(&self) -> u64 {
        self.config.digest()
    }

    /// Current configuration.
    pub fn config(&self) -> &config::Config {
        &self.config
    }

    /// Recent changes and operations with their authors.
    pub fn history(&self) -> &history::History {
        &self.history
    }

    /// Registered agents with their endpoints, and drains.
    pub fn fleet(&self) -> &agents::Fleet {
        &self.fleet
    }

    /// Last order of every endpoint.
    pub fn orders(&self) -> &orders::Orders {
        &self.orders
    }

    /// Workspace that owns the caller key with this lowercase hexadecimal sha256 hash.
    pub fn workspace_by_key(&self, hash: &str) -> Option<&documents::Workspace> {
        self.config.workspace_by_key(hash)
    }

    /// Registered agents, sorted by name.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.fleet.agents()
    }

    /// Engines that serve the model and are not draining, with their agents.
    pub fn candidates(&self, model: &str) -> impl Iterator<Item = (&AgentRecord, &Endpoint)> {
        self.fleet.candidates(model)
    }

    /// Endpoints that provide the service and are not draining, with their agents.
    pub fn services(&self, service: &str) -> impl Iterator<Item = (&AgentRecord, &Endpoint)> {
        self.fleet.services(service)
    }

    /// Whether an operator has drained the endpoint.
    pub fn is_draining(&self, endpoint: &str) -> bool {
        self.fleet.is_draining(endpoint)
    }

    /// Answers a query from the current state.
    pub fn query(&self, query: &Query) -> Answer {
        match query {
            Query::Summary => Answer::Summary(self.summary()),
            Query::Show { name } => match self.config.get(name) {
                Some(stored) => Answer::Document {
                    stored: stored.clone(),
                    author: self
                        .change_replies
                        .get_by_index(stored.revision)
                        .map(|recorded| recorded.by.clone()),
                },
                None => {
                    Answer::Missing { problem: self.config.explain_missing(name, &self.history) }
                }
            },
            Query::List { kind, after, limit } => {
                Answer::Documents(self.config.list(*kind, after.as_ref(), *limit))
            }
            Query::Changes { before, limit } => {
                Answer::Records(self.history.changes(*before, *limit))
            }
            Query::Operations { before, limit } => {
                Answer::Records(self.history.operations(*before, *limit))
            }
            Query::Change { id } => Answer::Change(self.command_status(id)),
            Query::Agents => Answer::Agents(self.agents().cloned().collect()),
            Query::Drains => Answer::Drains(self.fleet.drains().cloned().collect()),
            Query::Orders => Answer::Orders(self.orders.iter().cloned().collect()),
            Query::Departures => Answer::Departures(self.fleet.departures().cloned().collect()),
        }
    }

    fn command_status(&self, id: &str) -> Option<command::CommandStatus> {
        let tables = [&self.change_replies, &self.operation_replies, &self.refusal_replies];
        let recorded = tables.iter().find_map(|t| t.get(id))?;
        let record: Option<Record> = self.history.record(recorded.by.revision).cloned();
        Some(command::CommandStatus { by: recorded.by.clone(), reply: recorded.reply(), record })
    }

    fn summary(&self) -> command::Summary {
        command::Summary {
            applied: self.applied,
            revision: self.revision(),
            digest: self.digest(),
            documents: self.config.len() as u64,
            agents: self.agents().count() as u64,
            endpoints: self.fleet.endpoints().count() as u64,
            draining: self.fleet.drains().filter(|d| d.draining).count() as u64,
        }
    }
}

impl replica::StateMachine for Catalog {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        Catalog::apply(self, index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        Catalog::snapshot(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        Catalog::restore(self, data)
    }
}

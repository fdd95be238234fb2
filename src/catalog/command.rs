//! Commands, replies, queries and answers of group 0.

use crate::catalog::agents;
use crate::catalog::documents;
use crate::catalog::history;
use crate::catalog::orders;
use crate::catalog::similar;
use derive_more::Display;
use documents::Document;
use documents::Kind;
use documents::Name;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Command of group 0. Operator commands carry an id that makes resends idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes documents of the configuration. The changes are applied all together or not at all.
    Change {
        /// Change id, chosen by the sender.
        id: Arc<str>,
        /// Revision on which the change is based. The change conflicts if a later one exists;
        /// `None` skips this check.
        expected: Option<u64>,
        /// Name of the operator.
        operator: Arc<str>,
        /// Changes of the documents.
        changes: Vec<Change>,
    },
    /// Registers an agent or replaces its record.
    Join {
        /// Record of the agent.
        agent: agents::AgentRecord,
    },
    /// Removes an agent.
    Leave {
        /// Name of the agent.
        agent: Arc<str>,
        /// Why it leaves.
        reason: agents::LeaveReason,
    },
    /// Marks an endpoint as draining, so that it gets no new work.
    Drain {
        /// Operation id, chosen by the sender.
        id: Arc<str>,
        /// Name of the endpoint.
        target: Arc<str>,
        /// Name of the operator.
        operator: Arc<str>,
    },
    /// Ends the drain of an endpoint.
    Resume {
        /// Operation id, chosen by the sender.
        id: Arc<str>,
        /// Name of the endpoint.
        target: Arc<str>,
        /// Name of the operator.
        operator: Arc<str>,
    },
    /// Gives an endpoint an order. The log index of the command is the number of the order, which
    /// fences off older ones.
    Order {
        /// Operation id, chosen by the sender.
        id: Arc<str>,
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// The order.
        order: orders::Order,
        /// Name of the operator or component that gives the order.
        operator: Arc<str>,
    },
    /// Reports the outcome of an order.
    OrderDone {
        /// Number of the order.
        number: u64,
        /// How it ended.
        outcome: orders::OrderOutcome,
    },
}

impl Command {
    /// Id and operator of an operator's command; `None` for commands of components.
    pub fn origin(&self) -> Option<(&Arc<str>, &Arc<str>)> {
        match self {
            Command::Change { id, operator, .. }
            | Command::Drain { id, operator, .. }
            | Command::Resume { id, operator, .. }
            | Command::Order { id, operator, .. } => Some((id, operator)),
            Command::Join { .. } | Command::Leave { .. } | Command::OrderDone { .. } => None,
        }
    }
}

/// Change of one document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a document.
    Put {
        /// Name under which the document is stored. Must equal the document's own name.
        name: Name,
        /// New document.
        document: Document,
    },
    /// Removes a document.
    Withdraw {
        /// Name of the document.
        name: Name,
    },
}

impl Change {
    /// Returns a change that stores the document under its own name.
    pub fn put(document: Document) -> Change {
        Change::Put { name: document.name(), document }
    }

    /// Name of the changed document.
    pub fn name(&self) -> &Name {
        match self {
            Change::Put { name, .. } | Change::Withdraw { name } => name,
        }
    }
}

/// Id, operator and log index of a command.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{id} by {operator} at revision {revision}")]
pub struct Author {
    /// Change or operation id.
    pub id: Arc<str>,
    /// Name of the operator.
    pub operator: Arc<str>,
    /// Log index of the command.
    pub revision: u64,
}

/// Reply to a command.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The command took effect.
    #[display("accepted at revision {revision}{}", undo_suffix(undoes))]
    Accepted {
        /// Log index at which the command took effect.
        revision: u64,
        /// Earlier operation that this command undoes, for example the drain that a resume ends.
        undoes: Option<Author>,
    },
    /// The state already is as requested; nothing was changed.
    #[display("unchanged at revision {revision}: {note}")]
    Unchanged {
        /// Revision of the configuration, or the log index at which the endpoint, agent or order
        /// reached its current state.
        revision: u64,
        /// Why nothing was changed.
        note: Note,
    },
    /// The command conflicts with an earlier one; nothing was changed.
    #[display("conflict at revision {revision}: {conflict}")]
    Conflict {
        /// Kind of conflict, with the earlier command.
        conflict: Conflict,
        /// Current revision of the configuration.
        revision: u64,
    },
    /// The command is not valid in the current state; nothing was changed.
    #[display("refused: {}", separated(problems, "; "))]
    Refused {
        /// All problems that were found.
        problems: Vec<Problem>,
    },
    /// The command does not decode, or its log index was already applied; nothing was changed.
    #[display("malformed command")]
    Malformed,
}

impl Reply {
    /// Returns a refusal with a single problem.
    pub fn refused(problem: Problem) -> Reply {
        Reply::Refused { problems: vec![problem] }
    }

    /// Whether the command was rejected: a conflict, a refusal or a malformed command.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Reply::Conflict { .. } | Reply::Refused { .. } | Reply::Malformed)
    }
}

/// Why a valid command changed nothing.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The documents already have this content.
    #[display("the configuration already has this content")]
    SameContent,
    /// The endpoint is already draining.
    #[display("the endpoint is already draining ({by})")]
    Draining {
        /// Author of the drain in effect.
        by: Author,
    },
    /// The endpoint is not draining.
    #[display("the endpoint is not draining{}", resume_suffix(last))]
    NotDraining {
        /// Author of the resume that ended the last drain, if there was one.
        last: Option<Author>,
    },
    /// The agent is not registered.
    #[display("the agent is not registered")]
    Absent,
    /// The agent joined again after the expired lease.
    #[display("the agent joined again at revision {joined}")]
    Rejoined {
        /// Log index of the later join.
        joined: u64,
    },
    /// The same outcome is already recorded.
    #[display("the outcome is already on record")]
    Reported,
}

/// How a command conflicts with an earlier one.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Conflict {
    /// Another change was made after the expected revision.
    #[display("revision {expected} was expected, but another change came first ({winner})")]
    Raced {
        /// Revision that the change expected.
        expected: u64,
        /// Author of the first change after that revision.
        winner: Author,
    },
    /// The id was already used by a command with other content.
    #[display("the id was already used with other content ({first}); use a new id")]
    Reused {
        /// Author of the first command with that id.
        first: Author,
    },
}

/// Why a command is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// The change contains no document.
    #[display("the change contains no document")]
    Empty,
    /// The change contains too many documents.
    #[display("the change contains {count} documents; at most {limit} are permitted")]
    TooMany {
        /// Number of documents in the change.
        count: u64,
        /// Largest permitted number.
        limit: u64,
    },
    /// The encoded command is too large.
    #[display("the command has {size} bytes; at most {limit} are permitted")]
    TooLarge {
        /// Size in bytes.
        size: u64,
        /// Largest permitted size in bytes.
        limit: u64,
    },
    /// The expected revision does not exist yet.
    #[display("revision {expected} was expected, but the current one is {revision}")]
    FutureRevision {
        /// Revision that the change expected.
        expected: u64,
        /// Current revision.
        revision: u64,
    },
    /// The change names a document twice.
    #[display("{name} is changed twice in one command")]
    Twice {
        /// Name of the document.
        name: Name,
    },
    /// The document's own name differs from the name of the change.
    #[display("{name} was given a document that is called {document}")]
    Mismatch {
        /// Name given by the change.
        name: Name,
        /// Name of the document itself.
        document: Name,
    },
    /// A field has a value that is not permitted.
    #[display("{name}: {field} is {value}; permitted: {range}")]
    Field {
        /// Name of the document, agent or endpoint.
        name: Arc<str>,
        /// Name of the field.
        field: Arc<str>,
        /// Rejected value.
        value: Arc<str>,
        /// Permitted values.
        range: Arc<str>,
    },
    /// The document refers to a workspace that does not exist.
    #[display("{name}: workspace {workspace} does not exist{}", similar::hint(similar))]
    NoWorkspace {
        /// Name of the document.
        name: Name,
        /// Name of the missing workspace.
        workspace: Arc<str>,
        /// Existing names that are similar.
        similar: Vec<Arc<str>>,
    },
    /// Other documents still refer to the workspace.
    #[display("{name} is in use by {}", separated(users, ", "))]
    InUse {
        /// Name of the workspace document.
        name: Name,
        /// Documents that refer to the workspace.
        users: Vec<Name>,
    },
    /// A caller key already belongs to another workspace.
    #[display("{name}: the caller key with hash {hash} belongs to workspace {owner}")]
    KeyTaken {
        /// Name of the document.
        name: Name,
        /// First digits of the key's hash.
        hash: Arc<str>,
        /// Workspace that owns the key.
        owner: Arc<str>,
    },
    /// The document does not exist.
    #[display("{name} does not exist{}{}", withdrawal_suffix(last), similar::hint(similar))]
    NoDocument {
        /// Name of the document.
        name: Name,
        /// Author of the change that withdrew it, if that change is in the history.
        last: Option<Author>,
        /// Existing names that are similar.
        similar: Vec<Arc<str>>,
    },
    /// No registered endpoint has this name.
    #[display("endpoint {endpoint} is not registered{}", similar::hint(similar))]
    NoEndpoint {
        /// Requested name of the endpoint.
        endpoint: Arc<str>,
        /// Existing names that are similar.
        similar: Vec<Arc<str>>,
    },
    /// The name belongs to an agent, not to an endpoint.
    #[display("{agent} is an agent; its endpoints are {}", separated(endpoints, ", "))]
    IsAgent {
        /// Name of the agent.
        agent: Arc<str>,
        /// Names of the agent's endpoints.
        endpoints: Vec<Arc<str>>,
    },
    /// Another agent has already registered the endpoint.
    #[display("endpoint {endpoint} is registered by agent {agent}")]
    EndpointTaken {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Name of that agent.
        agent: Arc<str>,
    },
    /// The endpoint has an unfinished order.
    #[display("endpoint {endpoint} still carries out an order ({by})")]
    OrderPending {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Author of the unfinished order; the revision is the number of the order.
        by: Author,
    },
    /// The endpoint is a plain service, which takes no orders.
    #[display("endpoint {endpoint} is a plain service and takes no orders")]
    NotEngine {
        /// Name of the endpoint.
        endpoint: Arc<str>,
    },
    /// No endpoint has this order as its last one.
    #[display("order {number} is not the last order of any endpoint")]
    OldOrder {
        /// Number of the order.
        number: u64,
    },
    /// A different outcome of the order is already recorded.
    #[display("order {number} already has the outcome {outcome}")]
    OrderFinished {
        /// Number of the order.
        number: u64,
        /// Recorded outcome.
        outcome: orders::OrderOutcome,
    },
}

/// Query of group 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Revision, digest and counts of the catalog.
    Summary,
    /// One document.
    Show {
        /// Name of the document.
        name: Name,
    },
    /// Documents, sorted by name.
    List {
        /// Returns only documents of this kind.
        kind: Option<Kind>,
        /// Returns only documents after this one.
        after: Option<Name>,
        /// Largest number of documents to return.
        limit: u32,
    },
    /// Configuration changes, newest first.
    Changes {
        /// Returns only changes before this revision.
        before: Option<u64>,
        /// Largest number of changes to return.
        limit: u32,
    },
    /// Drains, resumes and orders, newest first.
    Operations {
        /// Returns only operations before this log index.
        before: Option<u64>,
        /// Largest number of operations to return.
        limit: u32,
    },
    /// Reply and effect of an operator's command, by its id.
    Change {
        /// Change or operation id.
        id: Arc<str>,
    },
    /// Registered agents.
    Agents,
    /// Last drain or resume of every endpoint.
    Drains,
    /// Last order of every endpoint.
    Orders,
    /// Agents that left, oldest first.
    Departures,
}

/// Answer to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Answer to [`Query::Summary`].
    Summary(Summary),
    /// Answer to [`Query::Show`].
    Document {
        /// Document and the revision of its last change.
        stored: documents::Stored,
        /// Author of that change, if its id is still kept.
        author: Option<Author>,
    },
    /// The document of a [`Query::Show`] does not exist.
    Missing {
        /// Why the document does not exist.
        problem: Problem,
    },
    /// Answer to [`Query::List`].
    Documents(Vec<documents::Stored>),
    /// Answer to [`Query::Changes`] and [`Query::Operations`].
    Records(Vec<history::Record>),
    /// Answer to [`Query::Change`]; `None` if the id is unknown.
    Change(Option<CommandStatus>),
    /// Answer to [`Query::Agents`].
    Agents(Vec<agents::AgentRecord>),
    /// Answer to [`Query::Drains`].
    Drains(Vec<agents::Drain>),
    /// Answer to [`Query::Orders`].
    Orders(Vec<orders::OrderRecord>),
    /// Answer to [`Query::Departures`].
    Departures(Vec<agents::Departure>),
}

/// Revision, digest and counts of the catalog.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Log index of the last applied entry.
    pub applied: u64,
    /// Revision of the configuration.
    pub revision: u64,
    /// Digest of the configuration.
    pub digest: u64,
    /// Number of documents.
    pub documents: u64,
    /// Number of registered agents.
    pub agents: u64,
    /// Number of registered endpoints.
    pub endpoints: u64,
    /// Number of draining endpoints, registered or not.
    pub draining: u64,
}

/// Reply and effect of an operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandStatus {
    /// Author of the command.
    pub by: Author,
    /// Reply to the command.
    pub reply: Reply,
    /// Effect of the command, if it had one and is still in the history.
    pub record: Option<history::Record>,
}

fn separated<T: ToString>(items: &[T], separator: &str) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(separator)
}

fn undo_suffix(undoes: &Option<Author>) -> String {
    undoes
        .as_ref()
        .map(|by| format!("; this undoes an earlier operation ({by})"))
        .unwrap_or_default()
}

fn resume_suffix(last: &Option<Author>) -> String {
    last.as_ref().map(|by| format!("; it was resumed ({by})")).unwrap_or_default()
}

fn withdrawal_suffix(last: &Option<Author>) -> String {
    last.as_ref().map(|by| format!("; it was withdrawn ({by})")).unwrap_or_default()
}

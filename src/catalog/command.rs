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

/// Command of group 0. Operator commands carry an id under which they can be resent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Change of the configuration; all of it is put in force, or nothing.
    Change {
        /// Change id, chosen by the sender.
        id: Arc<str>,
        /// Revision that the change is based on; `None` for no expectation.
        expected: Option<u64>,
        /// Operator who makes the change.
        operator: Arc<str>,
        /// Changes of single documents.
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
        /// Reason.
        reason: agents::LeaveReason,
    },
    /// Stops new work for an endpoint.
    Drain {
        /// Operation id, chosen by the sender.
        id: Arc<str>,
        /// Name of the endpoint.
        target: Arc<str>,
        /// Operator who drains.
        operator: Arc<str>,
    },
    /// Ends the drain of an endpoint.
    Resume {
        /// Operation id, chosen by the sender.
        id: Arc<str>,
        /// Name of the endpoint.
        target: Arc<str>,
        /// Operator who resumes.
        operator: Arc<str>,
    },
    /// Gives an endpoint an order. The log index is the fencing number.
    Order {
        /// Operation id, chosen by the sender.
        id: Arc<str>,
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// What the endpoint shall do.
        order: orders::Order,
        /// Operator or component that gives the order.
        operator: Arc<str>,
    },
    /// Reports the outcome of an order.
    OrderDone {
        /// Number of the order.
        number: u64,
        /// Outcome.
        outcome: orders::OrderOutcome,
    },
}

impl Command {
    /// Id and operator of a command that was sent by an operator.
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
        /// Name under which it is stored; must agree with the document.
        name: Name,
        /// The document.
        document: Document,
    },
    /// Removes a document.
    Withdraw {
        /// Name of the document.
        name: Name,
    },
}

impl Change {
    /// Change that puts a document under its own name.
    pub fn put(document: Document) -> Change {
        Change::Put { name: document.name(), document }
    }

    /// Name of the document that is changed.
    pub fn name(&self) -> &Name {
        match self {
            Change::Put { name, .. } | Change::Withdraw { name } => name,
        }
    }
}

/// Who made a change or operation, and at which log index it took effect.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{id} by {operator} at revision {revision}")]
pub struct Author {
    /// Change or operation id.
    pub id: Arc<str>,
    /// Operator.
    pub operator: Arc<str>,
    /// Log index.
    pub revision: u64,
}

/// Reply to a command.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The command took effect.
    #[display("accepted at revision {revision}{}", undo_suffix(undoes))]
    Accepted {
        /// Log index at which it took effect.
        revision: u64,
        /// Earlier operation that it undoes, for example the drain that a resume ends.
        undoes: Option<Author>,
    },
    /// The state already was as the command asks; nothing was changed.
    #[display("unchanged at revision {revision}: {note}")]
    Unchanged {
        /// Log index of the state: the revision of the configuration, or the index at which
        /// the endpoint, agent or order reached its state.
        revision: u64,
        /// Explanation.
        note: Note,
    },
    /// Another command was first; nothing was changed.
    #[display("conflict at revision {revision}: {conflict}")]
    Conflict {
        /// What was in the way.
        conflict: Conflict,
        /// Current revision of the configuration.
        revision: u64,
    },
    /// The command is not valid in the current state; nothing was changed.
    #[display("refused: {}", separated(problems, "; "))]
    Refused {
        /// Every problem that was found.
        problems: Vec<Problem>,
    },
    /// The command does not decode, or its index is already applied; nothing was changed.
    #[display("malformed command")]
    Malformed,
}

impl Reply {
    /// Refusal for a single problem.
    pub fn refused(problem: Problem) -> Reply {
        Reply::Refused { problems: vec![problem] }
    }

    /// Whether the command was rejected.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Reply::Conflict { .. } | Reply::Refused { .. } | Reply::Malformed)
    }
}

/// Explanation of a command that changed nothing.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The documents already have this content.
    #[display("the configuration already has this content")]
    SameContent,
    /// The endpoint is already draining.
    #[display("the endpoint is already draining ({by})")]
    Draining {
        /// Drain that is in effect.
        by: Author,
    },
    /// The endpoint is not draining.
    #[display("the endpoint is not draining{}", resume_suffix(last))]
    NotDraining {
        /// Resume that ended the last drain, if there was one.
        last: Option<Author>,
    },
    /// The agent is not registered.
    #[display("the agent is not registered")]
    Absent,
    /// The agent joined again after its lease was found to be expired.
    #[display("the agent joined again at revision {joined}")]
    Rejoined {
        /// Log index of the later join.
        joined: u64,
    },
    /// The outcome is already on record.
    #[display("the outcome is already on record")]
    Reported,
}

/// Why a command conflicts with an earlier one.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Conflict {
    /// Another change was made after the expected revision.
    #[display("revision {expected} was expected, but another change came first ({winner})")]
    Raced {
        /// Revision that the change expected.
        expected: u64,
        /// First change after that revision.
        winner: Author,
    },
    /// The id was already used by a command with other content.
    #[display("the id was already used with other content ({first}); use a new id")]
    Reused {
        /// First command under that id.
        first: Author,
    },
}

/// Why a command is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// The command has no effect at all.
    #[display("the change contains no document")]
    Empty,
    /// The change is too large.
    #[display("the change contains {count} documents; at most {limit} are permitted")]
    TooMany {
        /// Documents in the change.
        count: u64,
        /// Largest number.
        limit: u64,
    },
    /// The command is too long.
    #[display("the command has {size} bytes; at most {limit} are permitted")]
    TooLarge {
        /// Size in bytes.
        size: u64,
        /// Largest size.
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
    /// The document is changed twice.
    #[display("{name} is changed twice in one command")]
    Twice {
        /// Name of the document.
        name: Name,
    },
    /// The document does not belong under this name.
    #[display("{name} was given a document that is called {document}")]
    Mismatch {
        /// Name of the change.
        name: Name,
        /// Name of the document itself.
        document: Name,
    },
    /// A field has a value that is not permitted.
    #[display("{name}: {field} is {value}; permitted: {range}")]
    Field {
        /// Name of the document, agent or endpoint.
        name: Arc<str>,
        /// Field.
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
        /// Missing workspace.
        workspace: Arc<str>,
        /// Similar names.
        similar: Vec<Arc<str>>,
    },
    /// The workspace is still used by other documents.
    #[display("{name} is in use by {}", separated(users, ", "))]
    InUse {
        /// Name of the document.
        name: Name,
        /// Documents that refer to it.
        users: Vec<Name>,
    },
    /// A caller key already belongs to another workspace.
    #[display("{name}: the caller key with hash {hash} belongs to workspace {owner}")]
    KeyTaken {
        /// Name of the document.
        name: Name,
        /// First digits of the hash.
        hash: Arc<str>,
        /// Workspace that has the key.
        owner: Arc<str>,
    },
    /// The document to withdraw does not exist.
    #[display("{name} does not exist{}{}", withdrawal_suffix(last), similar::hint(similar))]
    NoDocument {
        /// Name of the document.
        name: Name,
        /// Change that withdrew it, if it is in the history.
        last: Option<Author>,
        /// Similar names.
        similar: Vec<Arc<str>>,
    },
    /// No registered endpoint has this name.
    #[display("endpoint {endpoint} is not registered{}", similar::hint(similar))]
    NoEndpoint {
        /// Requested name.
        endpoint: Arc<str>,
        /// Similar names.
        similar: Vec<Arc<str>>,
    },
    /// The name is that of an agent.
    #[display("{agent} is an agent; its endpoints are {}", separated(endpoints, ", "))]
    IsAgent {
        /// Name of the agent.
        agent: Arc<str>,
        /// Endpoints of the agent.
        endpoints: Vec<Arc<str>>,
    },
    /// Another agent has registered the endpoint.
    #[display("endpoint {endpoint} is registered by agent {agent}")]
    EndpointTaken {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Agent that has it.
        agent: Arc<str>,
    },
    /// The endpoint still carries out an order.
    #[display("endpoint {endpoint} still carries out an order ({by})")]
    OrderPending {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Order that is not finished; its revision is the number.
        by: Author,
    },
    /// Plain services take no orders.
    #[display("endpoint {endpoint} is a plain service and takes no orders")]
    NotEngine {
        /// Name of the endpoint.
        endpoint: Arc<str>,
    },
    /// The order is not the last one of an endpoint.
    #[display("order {number} is not the last order of any endpoint")]
    OldOrder {
        /// Number of the order.
        number: u64,
    },
    /// The order already has another outcome.
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
    /// Revision, digest and counts.
    Summary,
    /// One document.
    Show {
        /// Name of the document.
        name: Name,
    },
    /// Documents in order of name.
    List {
        /// Only documents of this kind.
        kind: Option<Kind>,
        /// Only documents after this one.
        after: Option<Name>,
        /// Largest number of documents.
        limit: u32,
    },
    /// Configuration changes, latest first.
    Changes {
        /// Only changes before this revision.
        before: Option<u64>,
        /// Largest number of changes.
        limit: u32,
    },
    /// Drains, resumes and orders, latest first.
    Operations {
        /// Only operations before this log index.
        before: Option<u64>,
        /// Largest number of operations.
        limit: u32,
    },
    /// What became of an operator command.
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
    /// Agents that left, latest last.
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
        /// Author of that change, if its id is still remembered.
        author: Option<Author>,
    },
    /// The document of a [`Query::Show`] does not exist.
    Missing {
        /// Explanation.
        problem: Problem,
    },
    /// Answer to [`Query::List`].
    Documents(Vec<documents::Stored>),
    /// Answer to [`Query::Changes`] and [`Query::Operations`].
    Records(Vec<history::Record>),
    /// Answer to [`Query::Change`]; `None` if the id is not known.
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

/// Revision, digest and counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Log index of the last applied entry.
    pub applied: u64,
    /// Revision of the configuration.
    pub revision: u64,
    /// Digest of the configuration.
    pub digest: u64,
    /// Documents.
    pub documents: u64,
    /// Registered agents.
    pub agents: u64,
    /// Registered endpoints.
    pub endpoints: u64,
    /// Draining endpoints.
    pub draining: u64,
}

/// What became of an operator command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandStatus {
    /// Who sent it, and the log index.
    pub by: Author,
    /// Reply that it got.
    pub reply: Reply,
    /// What it did, if it took effect and is still in the history.
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

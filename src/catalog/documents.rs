//! Documents of the configuration and their names.

use crate::catalog::pool::StringPool;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Kind of document.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Caller keys, limits and capacity share of a workspace.
    #[display("workspace")]
    Workspace,
    /// Assistant that callers use by name in place of a model.
    #[display("assistant")]
    Assistant,
    /// Defaults of a workspace's batch jobs.
    #[display("batch-plan")]
    BatchPlan,
    /// Trade-off between online latency and batch throughput.
    #[display("policy")]
    Policy,
    /// Plain service and the paths whose calls must not be repeated.
    #[display("service")]
    Service,
}

/// All kinds, in sort order.
pub const KINDS: [Kind; 5] =
    [Kind::Workspace, Kind::Assistant, Kind::BatchPlan, Kind::Policy, Kind::Service];

/// Name of a document, written `kind/name`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{kind}/{name}")]
#[serde(into = "String", try_from = "String")]
pub struct Name {
    /// Kind of the document.
    pub kind: Kind,
    /// Name within the kind.
    pub name: Arc<str>,
}

impl Name {
    /// Returns the name of a document of this kind.
    pub fn new(kind: Kind, name: impl Into<Arc<str>>) -> Name {
        Name { kind, name: name.into() }
    }
}

/// Error for a text that is not a document name.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display(
    "{text} is not a document name; write KIND/NAME, KIND being workspace, assistant, batch-plan, policy or service"
)]
pub struct NameError {
    /// Rejected text.
    pub text: Arc<str>,
}

impl std::error::Error for NameError {}

impl std::str::FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Name, NameError> {
        let fail = || NameError { text: text.into() };
        let (kind, name) = text.split_once('/').ok_or_else(fail)?;
        let kind = KINDS.into_iter().find(|k| k.to_string() == kind).ok_or_else(fail)?;
        Ok(Name::new(kind, name))
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Name, NameError> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.to_string()
    }
}

/// Settings together with the template and the parameters from which they were made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Name of the template.
    pub template: Arc<str>,
    /// Parameters as the operator gave them, without defaults, sorted by name.
    pub parameters: Vec<Parameter>,
    /// Settings that result from the template.
    pub body: Body,
}

impl Document {
    /// Name under which the document is stored.
    pub fn name(&self) -> Name {
        match &self.body {
            Body::Workspace(w) => Name::new(Kind::Workspace, w.name.clone()),
            Body::Assistant(a) => Name::new(Kind::Assistant, a.name.clone()),
            Body::BatchPlan(b) => Name::new(Kind::BatchPlan, b.name.clone()),
            Body::Policy(p) => Name::new(Kind::Policy, p.name.clone()),
            Body::Service(s) => Name::new(Kind::Service, s.name.clone()),
        }
    }

    /// Interns the strings that usually repeat within this document or across documents.
    pub(crate) fn intern_strings(&mut self, pool: &mut StringPool) {
        let own = self.name().name;
        pool.intern(&mut self.template);
        for parameter in &mut self.parameters {
            pool.intern(&mut parameter.name);
            if parameter.value == own {
                parameter.value = own.clone();
            }
        }
    }

    /// Workspace to which the document refers, if its kind has such a reference.
    pub fn workspace(&self) -> Option<&Arc<str>> {
        match &self.body {
            Body::Assistant(a) => Some(&a.workspace),
            Body::BatchPlan(b) => Some(&b.workspace),
            Body::Workspace(_) | Body::Policy(_) | Body::Service(_) => None,
        }
    }
}

/// Parameter of a template as an operator gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parameter {
    /// Name of the parameter.
    pub name: Arc<str>,
    /// Value as text. The items of a list are separated by commas.
    pub value: Arc<str>,
}

/// Settings of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Settings of a workspace.
    Workspace(Workspace),
    /// Settings of an assistant.
    Assistant(Assistant),
    /// Defaults of batch jobs.
    BatchPlan(BatchPlan),
    /// Trade-off between online and batch work.
    Policy(Policy),
    /// Settings of a plain service.
    Service(Service),
}

/// Caller keys, limits and capacity share of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// sha256 hashes of the caller keys, 64 lowercase hexadecimal digits each.
    pub keys: Vec<Arc<str>>,
    /// Request rate limit, in requests per second.
    pub rate: u32,
    /// Largest number of concurrent requests.
    pub concurrency: u32,
    /// Weight of the workspace when workspaces compete for capacity.
    pub share: u32,
}

/// Assistant of a workspace: a model with a system prompt and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assistant {
    /// Name that callers use as the model.
    pub name: Arc<str>,
    /// Workspace that owns the assistant.
    pub workspace: Arc<str>,
    /// Model that serves it.
    pub model: Arc<str>,
    /// System prompt that precedes every conversation.
    pub prompt: Arc<str>,
    /// Largest number of generated tokens in an answer.
    pub tokens: u32,
    /// Deadline of a request in milliseconds.
    pub deadline: u64,
}

/// Defaults of the batch jobs of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchPlan {
    /// Name of the plan.
    pub name: Arc<str>,
    /// Workspace that owns the plan.
    pub workspace: Arc<str>,
    /// Model that serves its jobs.
    pub model: Arc<str>,
    /// Time in milliseconds after its acceptance at which a job is due.
    pub due: u64,
    /// Largest number of generated tokens for an item.
    pub tokens: u32,
}

/// Name of the policy that applies to models without a policy of their own.
pub const FLEET_POLICY: &str = "fleet";

/// Trade-off between online latency and batch throughput, for one model or the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Name of the model, or [`FLEET_POLICY`].
    pub name: Arc<str>,
    /// What the policy favours.
    pub trade: Trade,
    /// Percentage of the slots that batch work keeps under online load.
    pub floor: u32,
    /// Target time between two tokens of an online stream, in milliseconds. 0 selects the default
    /// of `trade`.
    pub target: u64,
}

/// What a policy favours: online latency or batch throughput.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Trade {
    /// Online tail latency.
    #[display("tail")]
    Tail,
    /// Batch throughput.
    #[display("throughput")]
    Throughput,
}

/// Plain service and the paths whose calls must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service. Its endpoints announce themselves under this name.
    pub name: Arc<str>,
    /// Path prefixes whose calls must not be repeated.
    pub paths: Vec<Arc<str>>,
}

/// Current version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The document, whose allocation is shared with the history.
    pub document: Arc<Document>,
    /// Log index of the document's last change.
    pub revision: u64,
}

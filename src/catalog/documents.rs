//! Documents of the configuration.

use crate::catalog::pool::StringPool;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Kind of document.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Workspace: callers, limits and share.
    #[display("workspace")]
    Workspace,
    /// Assistant that callers address by name.
    #[display("assistant")]
    Assistant,
    /// Defaults of the batch jobs of a workspace.
    #[display("batch-plan")]
    BatchPlan,
    /// Trade between online latency and batch throughput.
    #[display("policy")]
    Policy,
    /// Plain service and its calls that must not be repeated.
    #[display("service")]
    Service,
}

/// Every kind in order.
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
    /// Builds a name from its parts.
    pub fn new(kind: Kind, name: impl Into<Arc<str>>) -> Name {
        Name { kind, name: name.into() }
    }
}

/// Text that is not a document name.
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

/// Document with the template and the parameters that it was made from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Name of the template.
    pub template: Arc<str>,
    /// Parameters as the operator gave them, without defaults, sorted by name.
    pub parameters: Vec<Parameter>,
    /// Resulting settings.
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

    /// Shares the texts that repeat in this document and in others.
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

    /// Workspace that the document refers to.
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
    /// Value as text; the items of a list are joined by commas.
    pub value: Arc<str>,
}

/// Settings of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Workspace.
    Workspace(Workspace),
    /// Assistant.
    Assistant(Assistant),
    /// Batch defaults.
    BatchPlan(BatchPlan),
    /// Trade between online and batch work.
    Policy(Policy),
    /// Plain service.
    Service(Service),
}

/// Callers, limits and share of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// sha256 hashes of the caller keys, 64 lowercase hexadecimal digits each.
    pub keys: Vec<Arc<str>>,
    /// Largest request rate per second.
    pub rate: u32,
    /// Largest number of concurrent requests.
    pub concurrency: u32,
    /// Weight of the workspace where capacity is shared.
    pub share: u32,
}

/// Assistant of a workspace.
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
    /// Largest number of generated tokens of an answer.
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
    /// Time from acceptance until a job is due, in milliseconds.
    pub due: u64,
    /// Largest number of generated tokens of an item.
    pub tokens: u32,
}

/// Name of the policy that applies to every model without one of its own.
pub const FLEET_POLICY: &str = "fleet";

/// Trade between online latency and batch throughput, for a model or the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Model, or [`FLEET_POLICY`].
    pub name: Arc<str>,
    /// Which side has more weight.
    pub trade: Trade,
    /// Percent of the slots that batch work keeps under online load.
    pub floor: u32,
    /// Target time between the tokens of an online stream, in milliseconds; 0 takes the default
    /// of the trade.
    pub target: u64,
}

/// Which side of the trade has more weight.
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

/// Plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name under which its endpoints announce themselves.
    pub name: Arc<str>,
    /// Path prefixes whose calls must not be repeated.
    pub paths: Vec<Arc<str>>,
}

/// Document in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The document, shared with the history.
    pub document: Arc<Document>,
    /// Log index of its last change.
    pub revision: u64,
}

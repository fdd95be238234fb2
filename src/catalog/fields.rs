//! Validation of the fields of documents, agent records and orders.
//!
//! Templates have narrower ranges. These bounds protect the configuration from unusable values in
//! commands that were not made from a template. They must never be narrowed, because documents that
//! were accepted under the earlier bounds remain in logs and snapshots.

use crate::catalog::command::Problem;
use crate::catalog::documents::Assistant;
use crate::catalog::documents::BatchPlan;
use crate::catalog::documents::Body;
use crate::catalog::documents::Document;
use crate::catalog::documents::Policy;
use crate::catalog::documents::Service;
use crate::catalog::documents::Workspace;

/// Largest length of a name, in bytes.
pub const NAME_LIMIT: usize = 64;

/// Largest length of a model name, in bytes.
pub const MODEL_LIMIT: usize = 128;

/// Largest length of a text such as a system prompt, in bytes.
pub const TEXT_LIMIT: usize = 32 << 10;

/// Largest number of items in a list.
pub const LIST_LIMIT: usize = 256;

/// Number of hexadecimal digits of a sha256 hash.
pub const HASH_DIGITS: usize = 64;

/// Validates the fields of one document or record and collects the problems.
pub struct Check<'a> {
    name: &'a str,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Check<'a> {
    /// Starts the validation of the document or record called `name`.
    pub fn new(name: &'a str, problems: &'a mut Vec<Problem>) -> Check<'a> {
        Check { name, problems }
    }

    /// Reports a problem unless `valid`. `range` describes the permitted values; the value is shown
    /// up to [`NAME_LIMIT`] characters.
    pub fn require(&mut self, valid: bool, field: &str, value: impl ToString, range: &str) {
        if valid {
            return;
        }
        let value = value.to_string();
        let shown: String = value.chars().take(NAME_LIMIT).collect();
        self.problems.push(Problem::Field {
            name: self.name.into(),
            field: field.into(),
            value: shown.into(),
            range: range.into(),
        });
    }

    /// Reports a text that is not a name, see [`is_name`].
    pub fn require_name(&mut self, field: &str, name: &str) {
        let range = "1 to 64 of a-z A-Z 0-9 . _ -, starting with a letter or digit";
        self.require(is_name(name), field, name, range);
    }

    /// Reports a text that is not a model name, see [`is_model`].
    pub fn require_model(&mut self, field: &str, name: &str) {
        self.require(is_model(name), field, name, "1 to 128 printable ASCII characters, no space");
    }

    /// Reports a count of zero.
    pub fn require_positive(&mut self, field: &str, value: u64) {
        self.require(value > 0, field, value, "at least 1");
    }

    /// Reports a text longer than [`TEXT_LIMIT`].
    pub fn limit_text(&mut self, field: &str, text: &str) {
        let (len, range) = (text.len(), format!("at most {TEXT_LIMIT} bytes"));
        self.require(len <= TEXT_LIMIT, field, format!("{len} bytes"), &range);
    }

    /// Reports a list with more than [`LIST_LIMIT`] items.
    pub fn limit_list(&mut self, field: &str, len: usize) {
        let range = format!("at most {LIST_LIMIT} items");
        self.require(len <= LIST_LIMIT, field, format!("{len} items"), &range);
    }
}

/// Whether the text is a valid name of a document, agent or endpoint: 1 to [`NAME_LIMIT`]
/// characters out of `a-z A-Z 0-9 . _ -`, the first one a letter or digit.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    (1..=NAME_LIMIT).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(allowed)
}

/// Whether the text is a valid model name: 1 to [`MODEL_LIMIT`] printable ASCII characters without
/// spaces.
pub fn is_model(text: &str) -> bool {
    (1..=MODEL_LIMIT).contains(&text.len()) && text.chars().all(|c| c.is_ascii_graphic())
}

/// Whether the text is a lowercase hexadecimal sha256 hash.
pub fn is_hash(text: &str) -> bool {
    let digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    text.len() == HASH_DIGITS && text.chars().all(digit)
}

/// Validates the id and the operator of a command. Their length is limited because both are kept
/// long after the command.
pub fn check_origin(id: &str, operator: &str) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut check = Check::new("command", &mut problems);
    check.require(is_model(id), "id", id, "1 to 128 printable ASCII characters, no space");
    let range = "1 to 64 bytes without control characters";
    let printable = !operator.chars().any(char::is_control);
    check.require(
        printable && (1..=NAME_LIMIT).contains(&operator.len()),
        "operator",
        operator,
        range,
    );
    problems
}

/// Validates the fields of a document.
pub fn check(document: &Document, problems: &mut Vec<Problem>) {
    let name = document.name().to_string();
    let mut check = Check::new(&name, problems);
    check.require(
        document.template.len() <= NAME_LIMIT,
        "template",
        &document.template,
        "64 bytes",
    );
    check.limit_list("parameters", document.parameters.len());
    for parameter in &document.parameters {
        check.limit_text(&parameter.name, &parameter.value);
    }
    match &document.body {
        Body::Workspace(workspace) => check_workspace(workspace, &mut check),
        Body::Assistant(assistant) => check_assistant(assistant, &mut check),
        Body::BatchPlan(plan) => check_plan(plan, &mut check),
        Body::Policy(policy) => check_policy(policy, &mut check),
        Body::Service(service) => check_service(service, &mut check),
    }
}

fn check_workspace(workspace: &Workspace, check: &mut Check<'_>) {
    check.require_name("name", &workspace.name);
    check.limit_list("keys", workspace.keys.len());
    for (at, key) in workspace.keys.iter().enumerate() {
        check.require(is_hash(key), "keys", key, "64 lowercase hexadecimal digits (sha256)");
        let unique = !workspace.keys[..at].contains(key);
        check.require(unique, "keys", key, "each hash once");
    }
    check.require_positive("rate", workspace.rate.into());
    check.require_positive("concurrency", workspace.concurrency.into());
    check.require_positive("share", workspace.share.into());
}

fn check_assistant(assistant: &Assistant, check: &mut Check<'_>) {
    check.require_name("name", &assistant.name);
    check.require_model("model", &assistant.model);
    check.limit_text("prompt", &assistant.prompt);
    check.require_positive("tokens", assistant.tokens.into());
    check.require_positive("deadline", assistant.deadline);
}

fn check_plan(plan: &BatchPlan, check: &mut Check<'_>) {
    check.require_name("name", &plan.name);
    check.require_model("model", &plan.model);
    check.require_positive("due", plan.due);
    check.require_positive("tokens", plan.tokens.into());
}

fn check_policy(policy: &Policy, check: &mut Check<'_>) {
    check.require_model("name", &policy.name);
    check.require(policy.floor <= 100, "floor", policy.floor, "0 to 100 percent");
}

fn check_service(service: &Service, check: &mut Check<'_>) {
    check.require_name("name", &service.name);
    check.limit_list("paths", service.paths.len());
    for path in &service.paths {
        check.require(path.starts_with('/'), "paths", path, "a path that starts with /");
    }
}

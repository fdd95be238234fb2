//! Hard bounds on the fields of documents and records.
//!
//! Templates have narrower ranges; these bounds keep a command that was not made from a template
//! from putting an unusable value in force. They must not become narrower, because the log and
//! snapshots contain documents that were accepted under the earlier ones.

use crate::catalog::command::Problem;
use crate::catalog::documents::Assistant;
use crate::catalog::documents::BatchPlan;
use crate::catalog::documents::Body;
use crate::catalog::documents::Document;
use crate::catalog::documents::Policy;
use crate::catalog::documents::Service;
use crate::catalog::documents::Workspace;

/// Longest name in bytes.
pub const NAME_LIMIT: usize = 64;

/// Longest model name in bytes.
pub const MODEL_LIMIT: usize = 128;

/// Longest text, such as a system prompt, in bytes.
pub const TEXT_LIMIT: usize = 32 << 10;

/// Most items of a list.
pub const LIST_LIMIT: usize = 256;

/// Hexadecimal digits of a sha256 hash.
pub const HASH_DIGITS: usize = 64;

/// Collects the problems of one document or record.
pub struct Check<'a> {
    name: &'a str,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Check<'a> {
    /// Starts the check of the document or record called `name`.
    pub fn new(name: &'a str, problems: &'a mut Vec<Problem>) -> Check<'a> {
        Check { name, problems }
    }

    /// Reports a problem unless `valid`.
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

    /// Reports a name that is empty, too long or contains other than `a-z A-Z 0-9 . _ -`.
    pub fn require_name(&mut self, field: &str, name: &str) {
        let range = "1 to 64 of a-z A-Z 0-9 . _ -, starting with a letter or digit";
        self.require(is_name(name), field, name, range);
    }

    /// Reports a model name that is empty, too long or contains white space.
    pub fn require_model(&mut self, field: &str, name: &str) {
        self.require(is_model(name), field, name, "1 to 128 printable ASCII characters, no space");
    }

    /// Reports a count of zero.
    pub fn require_positive(&mut self, field: &str, value: u64) {
        self.require(value > 0, field, value, "at least 1");
    }

    /// Reports a text that is too long.
    pub fn limit_text(&mut self, field: &str, text: &str) {
        let (len, range) = (text.len(), format!("at most {TEXT_LIMIT} bytes"));
        self.require(len <= TEXT_LIMIT, field, format!("{len} bytes"), &range);
    }

    /// Reports a list that is too long.
    pub fn limit_list(&mut self, field: &str, len: usize) {
        let range = format!("at most {LIST_LIMIT} items");
        self.require(len <= LIST_LIMIT, field, format!("{len} items"), &range);
    }
}

/// Whether the text is a name of a document, agent or endpoint.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    (1..=NAME_LIMIT).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(allowed)
}

/// Whether the text is a model name.
pub fn is_model(text: &str) -> bool {
    (1..=MODEL_LIMIT).contains(&text.len()) && text.chars().all(|c| c.is_ascii_graphic())
}

/// Whether the text is a lowercase hexadecimal sha256 hash.
pub fn is_hash(text: &str) -> bool {
    let digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    text.len() == HASH_DIGITS && text.chars().all(digit)
}

/// Checks the id and the operator of a command. Both are remembered long after the command.
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

/// Checks the fields of a document.
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

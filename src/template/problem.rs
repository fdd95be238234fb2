//! Problems of parameters, described in terms of the operator's input.

use crate::template::Template;
use derive_more::Display;
use std::sync::Arc;

/// What is wrong with a parameter.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display(
    "{template}{}: {field}{}{cause}; permitted: {permitted}",
    document_suffix(document),
    value_excerpt(value)
)]
pub struct Problem {
    /// Name of the template, or `file` if the problem concerns a file as a whole.
    pub template: Arc<str>,
    /// Name of the document, if it was given.
    pub document: Option<Arc<str>>,
    /// Name of the parameter.
    pub field: Arc<str>,
    /// Rejected value; `None` if the parameter was not given.
    pub value: Option<Arc<str>>,
    /// Permitted values; the permitted names if the name is unknown.
    pub permitted: Arc<str>,
    /// What is wrong.
    pub cause: Cause,
}

impl std::error::Error for Problem {}

/// Number of characters after which a message truncates a value.
const MAX_SHOWN_CHARS: usize = 80;

fn document_suffix(document: &Option<Arc<str>>) -> String {
    document.as_ref().map(|d| format!(" {d}")).unwrap_or_default()
}

fn value_excerpt(value: &Option<Arc<str>>) -> String {
    match value {
        Some(value) if value.chars().count() > MAX_SHOWN_CHARS => {
            format!(" = {}.. ", value.chars().take(MAX_SHOWN_CHARS).collect::<String>())
        }
        Some(value) => format!(" = {value} "),
        None => " ".into(),
    }
}

impl Problem {
    /// Creates a problem without a document, a value or permitted values.
    pub(crate) fn new(template: &Template, field: &str, cause: Cause) -> Problem {
        Problem {
            template: template.name.clone(),
            document: None,
            field: field.into(),
            value: None,
            permitted: "".into(),
            cause,
        }
    }
}

/// Cause of a [`Problem`].
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// The template has no such parameter.
    #[display("is not a parameter of the template{}", suggestion(nearest))]
    UnknownParameter {
        /// Nearest known name.
        nearest: Option<Arc<str>>,
    },
    /// There is no such template.
    #[display("is not a template{}", suggestion(nearest))]
    UnknownTemplate {
        /// Nearest known name.
        nearest: Option<Arc<str>>,
    },
    /// The parameter is required.
    #[display("is missing and has no default")]
    Missing,
    /// The value has the wrong type.
    #[display("has the wrong type")]
    WrongType,
    /// The value is outside the permitted range.
    #[display("is out of range")]
    OutOfRange,
    /// The parameter is given twice.
    #[display("is given twice")]
    Duplicate,
    /// The argument is not a `name=value` pair.
    #[display("is not a pair")]
    NotPair,
    /// The file is not valid TOML, for the reason given.
    #[display("is not valid: {_0}")]
    Syntax(Arc<str>),
}

fn suggestion(nearest: &Option<Arc<str>>) -> String {
    nearest.as_ref().map(|n| format!(", perhaps {n} is meant")).unwrap_or_default()
}

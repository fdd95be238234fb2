//! Templates that operators fill in to create documents, with the types and ranges of parameters.
//!
//! A template turns the parameters of an operator into a [`crate::catalog::Document`], or reports
//! every problem at once. Parameters are given as `name=value` pairs or in a TOML file with one
//! table per document, under the name of its template: `[[workspace]]`, `[[assistant]]`.

mod fill;
mod parameters;
mod problem;

pub use fill::fill;
pub use fill::read_documents;
pub use parameters::Parameters;
pub use parameters::RawValue;
pub use problem::Cause;
pub use problem::Problem;

use crate::catalog::documents;
use serde::Deserialize;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::LazyLock;

/// Names and texts of the shipped templates, in the order of [`documents::KINDS`].
const SHIPPED_TEMPLATES: [(&str, &str); 5] = [
    ("workspace", include_str!("templates/workspace.toml")),
    ("assistant", include_str!("templates/assistant.toml")),
    ("batch-plan", include_str!("templates/batch-plan.toml")),
    ("policy", include_str!("templates/policy.toml")),
    ("service", include_str!("templates/service.toml")),
];

static TEMPLATES: LazyLock<Vec<Template>> = LazyLock::new(|| {
    let parse = |(name, text): (&str, &str)| -> Template {
        let template: Template = toml::from_str(text).expect("shipped templates are valid");
        Template { name: name.into(), ..template }
    };
    SHIPPED_TEMPLATES.into_iter().map(parse).collect()
});

/// Returns all shipped templates.
pub fn all() -> &'static [Template] {
    &TEMPLATES
}

/// Returns the shipped template of this name.
pub fn get(name: &str) -> Option<&'static Template> {
    all().iter().find(|t| *t.name == *name)
}

/// Template for documents of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name of the template.
    #[serde(skip, default = "unnamed")]
    pub name: Arc<str>,
    /// Kind of the documents that it creates.
    pub kind: documents::Kind,
    /// Description for operators.
    pub help: Arc<str>,
    /// Parameters in the order in which they are shown.
    #[serde(rename = "parameter")]
    pub fields: Vec<Field>,
}

/// Default of a template's name and a parameter's unit.
fn unnamed() -> Arc<str> {
    "".into()
}

impl Template {
    /// Describes the template and its parameters for a terminal.
    pub fn describe(&self) -> String {
        let mut text = format!("{}: {}\n", self.name, self.help);
        for field in &self.fields {
            let default = match &field.default {
                Some(RawValue::Text(text)) if text.is_empty() => "empty by default".into(),
                Some(RawValue::List(items)) if items.is_empty() => "empty by default".into(),
                Some(default) => format!("default {default}"),
                None => "required".into(),
            };
            let _ = writeln!(text, "  {}: {} ({default})", field.name, field.permitted());
            let _ = writeln!(text, "      {}", field.help);
        }
        text
    }
}

/// Definition of a template's parameter.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Field {
    /// Name of the parameter.
    pub name: Arc<str>,
    /// Type and range.
    #[serde(flatten)]
    pub kind: Type,
    /// Value if the parameter is not given; a parameter without default must be given.
    #[serde(default)]
    pub default: Option<RawValue>,
    /// Unit of the value; empty for plain numbers and texts.
    #[serde(default = "unnamed")]
    pub unit: Arc<str>,
    /// Description for operators.
    pub help: Arc<str>,
}

/// Type and range of a parameter.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub enum Type {
    /// Name of a document.
    Name,
    /// Name of a model.
    Model,
    /// Any text.
    Text {
        /// Largest length in bytes.
        max: usize,
    },
    /// Whole number.
    Integer {
        /// Smallest value.
        min: u32,
        /// Largest value.
        max: u32,
    },
    /// Duration as a whole number in the parameter's unit.
    Duration {
        /// Smallest value.
        min: u32,
        /// Largest value.
        max: u32,
    },
    /// One of a fixed set of words.
    Choice {
        /// Permitted words.
        choices: Vec<Arc<str>>,
    },
    /// At least one sha256 hash.
    Hashes {
        /// Largest number of items.
        max: usize,
    },
    /// Paths of a service.
    Paths {
        /// Largest number of items.
        max: usize,
    },
}

impl Type {
    pub(crate) fn is_list(&self) -> bool {
        matches!(self, Type::Hashes { .. } | Type::Paths { .. })
    }
}

impl Field {
    /// Describes the permitted values for messages and help.
    pub fn permitted(&self) -> String {
        let space = if self.unit.is_empty() { "" } else { " " };
        match &self.kind {
            Type::Name => "1 to 64 of a-z A-Z 0-9 . _ -, starting with a letter or digit".into(),
            Type::Model => "1 to 128 printable ASCII characters without spaces".into(),
            Type::Text { max } => format!("text of at most {max} bytes"),
            Type::Integer { min, max } | Type::Duration { min, max } => {
                format!("whole number from {min} to {max}{space}{}", self.unit)
            }
            Type::Choice { choices } => format!("one of {}", choices.join(", ")),
            Type::Hashes { max } => {
                format!("1 to {max} different sha256 hashes of 64 lowercase hexadecimal digits")
            }
            Type::Paths { max } => format!("at most {max} paths that start with /"),
        }
    }
}

//! Parameters given by an operator, before they are validated.

use crate::template::Cause;
use crate::template::Problem;
use crate::template::Template;
use derive_more::Display;
use serde::Deserialize;
use std::sync::Arc;

/// Value of a parameter as given, not validated.
#[derive(Clone, Debug, Display, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum RawValue {
    /// Integer in a TOML file.
    Integer(i64),
    /// String in a TOML file, or the value of a pair.
    Text(Arc<str>),
    /// Array of strings in a TOML file.
    #[display("{}", _0.join(","))]
    List(Vec<Arc<str>>),
    /// Text of a TOML value whose type no parameter accepts.
    #[serde(skip)]
    #[display("{_0}")]
    Other(Arc<str>),
}

impl From<toml::Value> for RawValue {
    fn from(value: toml::Value) -> RawValue {
        let text = value.to_string();
        value.try_into().unwrap_or(RawValue::Other(text.into()))
    }
}

/// Parameters in the order in which they were given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parameters {
    pub(crate) values: Vec<(Arc<str>, RawValue)>,
}

impl Parameters {
    /// Parses `name=value` pairs and ignores white space around names. Returns a problem for each
    /// argument that is not a pair.
    pub fn from_pairs<S: AsRef<str>>(
        template: &Template,
        pairs: impl IntoIterator<Item = S>,
    ) -> Result<Parameters, Vec<Problem>> {
        let mut parameters = Parameters::default();
        let mut problems = Vec::new();
        for pair in pairs {
            match pair.as_ref().split_once('=') {
                Some((name, value)) => parameters.push(name.trim(), RawValue::Text(value.into())),
                None => problems.push(Problem {
                    permitted: "name=value".into(),
                    ..Problem::new(template, pair.as_ref(), Cause::NotPair)
                }),
            }
        }
        if problems.is_empty() { Ok(parameters) } else { Err(problems) }
    }

    /// Adds a parameter, also if one of this name is present.
    pub fn push(&mut self, name: &str, value: RawValue) {
        self.values.push((name.into(), value));
    }

    /// Returns these parameters with those of `other` added, which replace parameters of the same
    /// name.
    pub fn overridden_by(mut self, other: Parameters) -> Parameters {
        self.values.retain(|(name, _)| other.find(name).is_none());
        self.values.extend(other.values);
        self
    }

    /// Returns the first value that is given for a name.
    pub fn find(&self, name: &str) -> Option<&RawValue> {
        self.values.iter().find(|(n, _)| **n == *name).map(|(_, v)| v)
    }
}

impl FromIterator<(Arc<str>, RawValue)> for Parameters {
    fn from_iter<I: IntoIterator<Item = (Arc<str>, RawValue)>>(iter: I) -> Self {
        Parameters { values: iter.into_iter().collect() }
    }
}

//! Creates documents from templates and parameters.

use crate::catalog;
use crate::catalog::documents;
use crate::catalog::fields;
use crate::catalog::similar;
use crate::template;
use crate::template::Cause;
use crate::template::Field;
use crate::template::Parameters;
use crate::template::Problem;
use crate::template::RawValue;
use crate::template::Template;
use crate::template::Type;
use documents::Body;
use documents::Kind;
use std::sync::Arc;

/// Valid value of a parameter, converted to the type of its field.
enum ParsedValue {
    Text(Arc<str>),
    Number(u32),
    /// Milliseconds.
    Millis(u64),
    List(Vec<Arc<str>>),
}

/// Creates a document from a template, or returns every problem of the parameters.
pub fn fill(
    template: &Template,
    parameters: &Parameters,
) -> Result<catalog::Document, Vec<Problem>> {
    let mut problems = check_names(template, parameters);
    let mut values = Vec::new();
    for field in &template.fields {
        match resolve(template, field, parameters) {
            Ok(value) => values.push((&*field.name, value)),
            Err(problem) => problems.push(problem),
        }
    }
    if problems.is_empty() {
        let body = ParsedValues(values).build_body(template.kind);
        return Ok(catalog::Document {
            template: template.name.clone(),
            parameters: sorted_parameters(parameters),
            body,
        });
    }
    let document = parameters.find("name").map(|name| name.to_string().into());
    for problem in &mut problems {
        problem.document = document.clone();
    }
    Err(problems)
}

/// Returns a problem for each parameter that is unknown or given twice.
fn check_names(template: &Template, parameters: &Parameters) -> Vec<Problem> {
    let names = || template.fields.iter().map(|f| &*f.name);
    let mut problems = Vec::new();
    for (at, (name, value)) in parameters.values.iter().enumerate() {
        let value = Some(value.to_string().into());
        if !names().any(|n| *n == **name) {
            let nearest = similar::names(name, names()).into_iter().next();
            let permitted = names().collect::<Vec<_>>().join(", ").into();
            let problem = Problem::new(template, name, Cause::UnknownParameter { nearest });
            problems.push(Problem { value, permitted, ..problem });
        } else if parameters.values[..at].iter().any(|(n, _)| n == name) {
            let problem = Problem::new(template, name, Cause::Duplicate);
            problems.push(Problem { value, permitted: "one value".into(), ..problem });
        }
    }
    problems
}

/// Returns the given value of a field, or else its default.
fn resolve(
    template: &Template,
    field: &Field,
    parameters: &Parameters,
) -> Result<ParsedValue, Problem> {
    let given = parameters.find(&field.name).or(field.default.as_ref());
    let result = match given {
        Some(given) => parse_value(field, given),
        None => Err(Cause::Missing),
    };
    result.map_err(|cause| Problem {
        value: given.map(|g| g.to_string().into()),
        permitted: field.permitted().into(),
        ..Problem::new(template, &field.name, cause)
    })
}

fn parse_value(field: &Field, given: &RawValue) -> Result<ParsedValue, Cause> {
    if field.kind.is_list() {
        return parse_list(field, given);
    }
    let text: Arc<str> = match given {
        RawValue::Text(text) => text.clone(),
        RawValue::Integer(number) => number.to_string().into(),
        RawValue::List(_) | RawValue::Other(_) => return Err(Cause::WrongType),
    };
    let valid = match &field.kind {
        Type::Integer { min, max } => return parse_u32(&text, *min, *max).map(ParsedValue::Number),
        Type::Duration { min, max } => {
            let number = parse_u32(&text, *min, *max)?;
            return Ok(ParsedValue::Millis(u64::from(number) * millis_per_unit(&field.unit)));
        }
        Type::Name => fields::is_name(&text),
        Type::Model => fields::is_model(&text),
        Type::Text { max } => text.len() <= *max,
        Type::Choice { choices } => choices.contains(&text),
        Type::Hashes { .. } | Type::Paths { .. } => false,
    };
    if valid { Ok(ParsedValue::Text(text)) } else { Err(Cause::OutOfRange) }
}

/// Parses a whole number. A number that does not fit into `u32` is out of range, not of the wrong
/// type.
fn parse_u32(text: &str, min: u32, max: u32) -> Result<u32, Cause> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    if digits.is_empty() || !digits.chars().all(|c| c.is_ascii_digit()) {
        return Err(Cause::WrongType);
    }
    let number: u32 = text.parse().map_err(|_| Cause::OutOfRange)?;
    if (min..=max).contains(&number) { Ok(number) } else { Err(Cause::OutOfRange) }
}

/// Returns the number of milliseconds in a unit of time.
fn millis_per_unit(unit: &str) -> u64 {
    match unit {
        "min" => 60_000,
        "s" => 1_000,
        _ => 1,
    }
}

fn parse_list(field: &Field, given: &RawValue) -> Result<ParsedValue, Cause> {
    let items: Vec<Arc<str>> = match given {
        RawValue::List(items) => items.clone(),
        RawValue::Text(text) if text.is_empty() => Vec::new(),
        RawValue::Text(text) => text.split(',').map(|i| i.trim().into()).collect(),
        RawValue::Integer(_) | RawValue::Other(_) => return Err(Cause::WrongType),
    };
    let distinct = items.iter().enumerate().all(|(at, item)| !items[..at].contains(item));
    let valid = match &field.kind {
        Type::Hashes { max } => {
            (1..=*max).contains(&items.len()) && items.iter().all(|i| fields::is_hash(i))
        }
        Type::Paths { max } => items.len() <= *max && items.iter().all(|i| i.starts_with('/')),
        _ => false,
    };
    if valid && distinct { Ok(ParsedValue::List(items)) } else { Err(Cause::OutOfRange) }
}

/// Returns the given parameters, without defaults, sorted by name.
fn sorted_parameters(parameters: &Parameters) -> Vec<catalog::Parameter> {
    let mut recorded: Vec<catalog::Parameter> = parameters
        .values
        .iter()
        .map(|(name, value)| catalog::Parameter {
            name: name.clone(),
            value: value.to_string().into(),
        })
        .collect();
    recorded.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    recorded
}

/// Valid values with the names of their parameters.
struct ParsedValues<'a>(Vec<(&'a str, ParsedValue)>);

impl ParsedValues<'_> {
    fn build_body(&self, kind: Kind) -> Body {
        match kind {
            Kind::Workspace => Body::Workspace(documents::Workspace {
                name: self.text("name"),
                keys: self.list("keys"),
                rate: self.number("rate"),
                concurrency: self.number("concurrency"),
                share: self.number("share"),
            }),
            Kind::Assistant => Body::Assistant(documents::Assistant {
                name: self.text("name"),
                workspace: self.text("workspace"),
                model: self.text("model"),
                prompt: self.text("prompt"),
                tokens: self.number("tokens"),
                deadline: self.millis("deadline"),
            }),
            Kind::BatchPlan => Body::BatchPlan(documents::BatchPlan {
                name: self.text("name"),
                workspace: self.text("workspace"),
                model: self.text("model"),
                due: self.millis("due"),
                tokens: self.number("tokens"),
            }),
            Kind::Policy => Body::Policy(documents::Policy {
                name: self.text("name"),
                trade: match &*self.text("trade") {
                    "throughput" => documents::Trade::Throughput,
                    _ => documents::Trade::Tail,
                },
                floor: self.number("floor"),
                target: self.millis("target"),
            }),
            Kind::Service => Body::Service(documents::Service {
                name: self.text("name"),
                paths: self.list("paths"),
            }),
        }
    }

    /// Returns the value of a parameter that every template of the kind has.
    fn get(&self, name: &str) -> &ParsedValue {
        let found = self.0.iter().find(|(n, _)| *n == name);
        &found.expect("the template has every parameter of its kind").1
    }

    fn text(&self, name: &str) -> Arc<str> {
        match self.get(name) {
            ParsedValue::Text(text) => text.clone(),
            _ => unreachable!("{name} is a text in every template"),
        }
    }

    fn number(&self, name: &str) -> u32 {
        match self.get(name) {
            ParsedValue::Number(number) => *number,
            _ => unreachable!("{name} is a number in every template"),
        }
    }

    fn millis(&self, name: &str) -> u64 {
        match self.get(name) {
            ParsedValue::Millis(time) => *time,
            _ => unreachable!("{name} is a duration in every template"),
        }
    }

    fn list(&self, name: &str) -> Vec<Arc<str>> {
        match self.get(name) {
            ParsedValue::List(items) => items.clone(),
            _ => unreachable!("{name} is a list in every template"),
        }
    }
}

/// Creates the documents of a TOML file, or returns every problem of all of them.
///
/// Documents are ordered by template name, then by their position in the file. A table has the name
/// of its template, either as a single table (`[policy]`) or in an array (`[[workspace]]`).
pub fn read_documents(text: &str) -> Result<Vec<catalog::Document>, Vec<Problem>> {
    let file: toml::Table = match text.parse() {
        Ok(file) => file,
        Err(error) => {
            return Err(vec![file_problem("syntax", Cause::Syntax(syntax_message(text, &error)))]);
        }
    };
    let mut documents = Vec::new();
    let mut problems = Vec::new();
    for (name, value) in file {
        let Some(template) = template::get(&name) else {
            let nearest = similar::names(&name, template::all().iter().map(|t| &*t.name));
            let nearest = nearest.into_iter().next();
            problems.push(file_problem(&name, Cause::UnknownTemplate { nearest }));
            continue;
        };
        let tables = match value {
            toml::Value::Array(tables) => tables,
            single => vec![single],
        };
        for table in tables {
            match fill_table(template, table) {
                Ok(document) => documents.push(document),
                Err(found) => problems.extend(found),
            }
        }
    }
    if problems.is_empty() { Ok(documents) } else { Err(problems) }
}

fn fill_table(template: &Template, value: toml::Value) -> Result<catalog::Document, Vec<Problem>> {
    match value {
        toml::Value::Table(table) => {
            let given = table.into_iter().map(|(name, value)| (name.into(), value.into()));
            fill(template, &given.collect())
        }
        other => Err(vec![Problem {
            value: Some(other.to_string().into()),
            permitted: "a table of parameters".into(),
            ..Problem::new(template, &template.name, Cause::WrongType)
        }]),
    }
}

/// Returns a problem of the file as a whole.
fn file_problem(field: &str, cause: Cause) -> Problem {
    let names: Vec<&str> = template::all().iter().map(|t| &*t.name).collect();
    Problem {
        template: "file".into(),
        document: None,
        field: field.into(),
        value: None,
        permitted: format!("tables named {}", names.join(", ")).into(),
        cause,
    }
}

/// Formats a TOML error with its line number but without its excerpt of the file.
fn syntax_message(text: &str, error: &toml::de::Error) -> Arc<str> {
    let end = error.span().map_or(0, |s| s.start).min(text.len());
    let line = text.as_bytes()[..end].iter().filter(|b| **b == b'\n').count() + 1;
    format!("line {line}: {}", error.message().replace('\n', ", ")).into()
}

//! Collects the log lines of several processes that concern one request or job. Does no I/O.

use crate::events;
use serde_json::Value;
use std::collections::BTreeSet;

/// Fields that are left out of the list of fields in a timeline.
const COMMON_FIELDS: [&str; 7] = ["msg", "level", "ts", "host", "part", "event", "request"];
/// Numbers of events that are shown as context although they name no request: links, lost hosts,
/// replicas and configuration.
const CONTEXT_EVENTS: std::ops::RangeInclusive<u64> = 200..=499;

/// Parsed log line.
#[derive(Clone, Debug)]
struct Line {
    time: String,
    host: String,
    event: u64,
    text: String,
    fields: serde_json::Map<String, Value>,
}

/// Log lines of one or more processes.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<Line>,
    /// Lines that are not JSON objects with a time.
    skipped: usize,
}

impl Logs {
    /// Adds the text of a log file. Text before the first brace of a line is ignored, since log
    /// collectors add a prefix.
    pub fn add(&mut self, text: &str) {
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            match parse(line) {
                Some(line) => self.lines.push(line),
                None => self.skipped += 1,
            }
        }
    }

    /// Number of lines that could not be parsed.
    pub fn skipped(&self) -> usize {
        self.skipped
    }

    /// Timeline of a request or job: its lines in order of time, and the events of the same period
    /// that concern its endpoints, links, replicas or the configuration. Endpoints that were left
    /// out of a choice for it appear with the line that tells why. `None` if no line names it.
    pub fn explain(&self, id: &str) -> Option<String> {
        let has_id = |line: &&Line| {
            ["request", "job"].iter().any(|key| line.fields.get(*key).is_some_and(|v| v == id))
        };
        let own: Vec<&Line> = self.lines.iter().filter(has_id).collect();
        let first = own.iter().map(|l| &l.time).min()?;
        let last = own.iter().map(|l| &l.time).max()?;
        let endpoints: BTreeSet<&str> = own.iter().filter_map(|l| l.endpoint()).collect();
        let is_context = |line: &&Line| {
            let same_endpoint = line.endpoint().is_some_and(|e| endpoints.contains(e));
            let in_period = line.time >= *first && line.time <= *last;
            let of_other = line.fields.contains_key("request") || line.fields.contains_key("job");
            let is_context = in_period && (same_endpoint || CONTEXT_EVENTS.contains(&line.event));
            let is_reason = line.time <= *last && own.iter().any(|l| l.has_left_out(line));
            !of_other && (is_context || is_reason)
        };
        let mut timeline: Vec<(&Line, bool)> = own.iter().map(|l| (*l, true)).collect();
        timeline.extend(self.lines.iter().filter(is_context).map(|l| (l, false)));
        timeline.sort_by(|a, b| (&a.0.time, !a.1).cmp(&(&b.0.time, !b.1)));
        Some(timeline.into_iter().map(|(line, own)| line.render(own)).collect())
    }
}

impl Line {
    fn endpoint(&self) -> Option<&str> {
        self.fields.get("endpoint").and_then(Value::as_str)
    }

    /// Whether `mark` is the line in which the same host marked an endpoint as leaving that it left out
    /// of the choice of this line.
    fn has_left_out(&self, mark: &Line) -> bool {
        let left_out = self.fields.get("leaving").and_then(Value::as_str).unwrap_or_default();
        mark.event == u64::from(events::ENDPOINT_LEAVING.number)
            && mark.host == self.host
            && left_out.split(',').any(|id| mark.endpoint() == Some(id))
    }

    fn render(&self, own: bool) -> String {
        let render_field = |(key, value): (&String, &Value)| match value {
            Value::Null => None,
            _ if COMMON_FIELDS.contains(&key.as_str()) => None,
            Value::String(text) => Some(format!(" {key}={text}")),
            value => Some(format!(" {key}={value}")),
        };
        let fields: String = self.fields.iter().filter_map(render_field).collect();
        let mark = if own { ' ' } else { '~' };
        format!("{}{mark}{} [{}] {}{fields}\n", self.time, self.host, self.event, self.text)
    }
}

fn parse(line: &str) -> Option<Line> {
    let json = line.get(line.find('{')?..)?;
    let Value::Object(fields) = serde_json::from_str(json).ok()? else { return None };
    let text = |key: &str| fields.get(key).and_then(Value::as_str).unwrap_or_default().to_string();
    let time = text("ts");
    let event = fields.get("event").and_then(Value::as_u64).unwrap_or(0);
    let (host, message) = (text("host"), text("msg"));
    (!time.is_empty()).then_some(Line { time, host, event, text: message, fields })
}

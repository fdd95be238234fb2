//! Histograms and counters of a run, and their output as text or JSON.

use crate::call;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest time that the histograms record, in microseconds: one hour.
const MAX_MICROS: u64 = 3_600_000_000;
const QUANTILES: [(&str, f64); 3] = [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)];

/// Result of one request.
pub struct Record {
    /// Scheduled arrival, from the start of the run.
    pub arrival: Duration,
    /// Delay from the scheduled arrival to the start of the request.
    pub start_delay: Duration,
    /// Whether the request went straight to an engine.
    pub direct: bool,
    /// Answer, or the reason why there is none.
    pub outcome: Result<call::Answer, call::CallError>,
}

/// Counters and timings of the requests on one path, through the system or direct.
struct PathStats {
    requests: u64,
    complete: u64,
    tokens: u64,
    first_token: Histogram<u64>,
    token_gaps: Histogram<u64>,
    total: Histogram<u64>,
    refusals: BTreeMap<String, u64>,
    failures: BTreeMap<String, u64>,
}

impl PathStats {
    fn new() -> PathStats {
        PathStats {
            requests: 0,
            complete: 0,
            tokens: 0,
            first_token: new_histogram(),
            token_gaps: new_histogram(),
            total: new_histogram(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    fn add(&mut self, outcome: &Result<call::Answer, call::CallError>) {
        self.requests += 1;
        match outcome {
            Ok(answer) => {
                self.complete += 1;
                self.tokens += u64::from(answer.tokens);
                record(&mut self.first_token, answer.first_token);
                record(&mut self.total, answer.total);
                answer.token_gaps.iter().for_each(|gap| record(&mut self.token_gaps, *gap));
            }
            Err(call::CallError::Refused(reason)) => {
                *self.refusals.entry(reason.clone()).or_default() += 1;
            }
            Err(call::CallError::Failed(cause)) => {
                *self.failures.entry(cause.clone()).or_default() += 1;
            }
        }
    }

    fn json(&self) -> Value {
        json!({
            "requests": self.requests,
            "complete": self.complete,
            "tokens": self.tokens,
            "first_token_ms": quantiles(&self.first_token),
            "between_tokens_ms": quantiles(&self.token_gaps),
            "whole_ms": quantiles(&self.total),
            "refusals": self.refusals,
            "failures": self.failures,
        })
    }

    fn text(&self, name: &str) -> String {
        let mut text = format!(
            "{name}: {} requests, {} complete, {} tokens\n",
            self.requests, self.complete, self.tokens
        );
        text += &histogram_row("first token", &self.first_token);
        text += &histogram_row("between tokens", &self.token_gaps);
        text += &histogram_row("whole answer", &self.total);
        for (kind, counts) in [("refused", &self.refusals), ("failed", &self.failures)] {
            for (reason, count) in counts {
                text += &format!("  {kind}: {count} x {reason}\n");
            }
        }
        text
    }
}

/// Summary of a run.
pub struct Summary {
    system: PathStats,
    direct: PathStats,
    start_delay: Histogram<u64>,
    seconds: Option<Vec<PathStats>>,
    elapsed: Duration,
    left_out: u64,
}

impl Summary {
    /// Creates an empty summary; with `seconds` it also keeps each second of arrivals separately.
    pub fn new(seconds: bool) -> Summary {
        Summary {
            system: PathStats::new(),
            direct: PathStats::new(),
            start_delay: new_histogram(),
            seconds: seconds.then(Vec::new),
            elapsed: Duration::ZERO,
            left_out: 0,
        }
    }

    /// Adds the result of one request.
    pub fn add(&mut self, result: &Record) {
        record(&mut self.start_delay, result.start_delay);
        if result.direct {
            self.direct.add(&result.outcome);
            return;
        }
        self.system.add(&result.outcome);
        if let Some(seconds) = &mut self.seconds {
            let second = usize::try_from(result.arrival.as_secs()).unwrap_or(usize::MAX);
            while seconds.len() <= second {
                seconds.push(PathStats::new());
            }
            seconds[second].add(&result.outcome);
        }
    }

    /// Sets the duration of the run and the number of arrivals left out because too many requests
    /// were in flight.
    pub fn finish(&mut self, elapsed: Duration, left_out: u64) {
        self.elapsed = elapsed;
        self.left_out = left_out;
    }

    /// Returns whether the system completed a request and none failed.
    pub fn passed(&self) -> bool {
        let failed = !self.system.failures.is_empty() || !self.direct.failures.is_empty();
        !failed && self.system.complete > 0
    }

    /// Returns the summary as JSON. Times are in milliseconds.
    pub fn json(&self) -> Value {
        let mut out = self.system.json();
        out["elapsed_s"] = json!(self.elapsed.as_secs_f64());
        out["left_out"] = json!(self.left_out);
        out["start_delay_ms"] = quantiles(&self.start_delay);
        if self.direct.requests > 0 {
            out["direct"] = self.direct.json();
            out["added_ms"] = json!({
                "first_token": differences(&self.system.first_token, &self.direct.first_token),
                "whole": differences(&self.system.total, &self.direct.total),
            });
        }
        if let Some(seconds) = &self.seconds {
            out["seconds"] = seconds.iter().map(PathStats::json).collect();
        }
        out
    }

    /// Returns the summary as text.
    pub fn text(&self) -> String {
        let mut text = self.system.text("system");
        if self.direct.requests > 0 {
            text += &self.direct.text("direct");
            for (name, with, without) in [
                ("first token", &self.system.first_token, &self.direct.first_token),
                ("whole answer", &self.system.total, &self.direct.total),
            ] {
                text += &format!("added, {name}: {}\n", differences(with, without));
            }
        }
        for (at, second) in self.seconds.iter().flatten().enumerate() {
            text += &second.text(&format!("second {at}"));
        }
        text += &format!(
            "run: {:.1} s, {} arrivals left out\n",
            self.elapsed.as_secs_f64(),
            self.left_out
        );
        text + &histogram_row("start delay", &self.start_delay)
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, 3).expect("the histogram bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let mut out = serde_json::Map::new();
    for (name, quantile) in QUANTILES {
        out.insert(name.to_string(), json!(millis(histogram.value_at_quantile(quantile))));
    }
    out.insert("max".to_string(), json!(millis(histogram.max())));
    out.into()
}

/// Returns the differences between the quantiles of two paths, in milliseconds.
fn differences(with: &Histogram<u64>, without: &Histogram<u64>) -> Value {
    let mut out = serde_json::Map::new();
    for (name, quantile) in QUANTILES {
        let (with, without) =
            (with.value_at_quantile(quantile), without.value_at_quantile(quantile));
        let difference = (millis(with) - millis(without)) * 1000.0;
        out.insert(name.to_string(), json!(difference.round() / 1000.0));
    }
    out.into()
}

fn histogram_row(name: &str, histogram: &Histogram<u64>) -> String {
    if histogram.is_empty() {
        return String::new();
    }
    let mut text = format!("  {name:<14}");
    for (label, quantile) in QUANTILES {
        text += &format!("  {label} {:9.3} ms", millis(histogram.value_at_quantile(quantile)));
    }
    text + &format!("  max {:9.3} ms\n", millis(histogram.max()))
}

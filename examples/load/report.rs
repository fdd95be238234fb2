//! Histograms and counts of a run.

use crate::call;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest recorded time in microseconds: one hour.
const MAX_MICROS: u64 = 3_600_000_000;
const QUANTILES: [(&str, f64); 3] = [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)];

/// Result of one request.
pub struct Record {
    /// Planned time of arrival.
    pub at: Duration,
    /// Time from the planned arrival to the start of the request.
    pub delay: Duration,
    /// Whether the request went straight to an engine.
    pub direct: bool,
    /// Answer or problem.
    pub outcome: Result<call::Answer, call::Problem>,
}

/// Counts and times of the requests on one path.
struct Path {
    requests: u64,
    complete: u64,
    tokens: u64,
    first: Histogram<u64>,
    between: Histogram<u64>,
    whole: Histogram<u64>,
    refusals: BTreeMap<String, u64>,
    failures: BTreeMap<String, u64>,
}

impl Path {
    fn new() -> Path {
        Path {
            requests: 0,
            complete: 0,
            tokens: 0,
            first: histogram(),
            between: histogram(),
            whole: histogram(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    fn add(&mut self, outcome: &Result<call::Answer, call::Problem>) {
        self.requests += 1;
        match outcome {
            Ok(answer) => {
                self.complete += 1;
                self.tokens += u64::from(answer.tokens);
                record(&mut self.first, answer.first);
                record(&mut self.whole, answer.whole);
                answer.gaps.iter().for_each(|gap| record(&mut self.between, *gap));
            }
            Err(call::Problem::Refused(reason)) => {
                *self.refusals.entry(reason.clone()).or_default() += 1;
            }
            Err(call::Problem::Failed(cause)) => {
                *self.failures.entry(cause.clone()).or_default() += 1;
            }
        }
    }

    fn json(&self) -> Value {
        json!({
            "requests": self.requests,
            "complete": self.complete,
            "tokens": self.tokens,
            "first_token_ms": quantiles(&self.first),
            "between_tokens_ms": quantiles(&self.between),
            "whole_ms": quantiles(&self.whole),
            "refusals": self.refusals,
            "failures": self.failures,
        })
    }

    fn text(&self, name: &str) -> String {
        let mut text = format!(
            "{name}: {} requests, {} complete, {} tokens\n",
            self.requests, self.complete, self.tokens
        );
        text += &row("first token", &self.first);
        text += &row("between tokens", &self.between);
        text += &row("whole answer", &self.whole);
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
    system: Path,
    direct: Path,
    delay: Histogram<u64>,
    seconds: Option<Vec<Path>>,
    elapsed: Duration,
    left_out: u64,
}

impl Summary {
    /// Creates an empty summary; with `seconds` each second of arrivals is kept separately.
    pub fn new(seconds: bool) -> Summary {
        Summary {
            system: Path::new(),
            direct: Path::new(),
            delay: histogram(),
            seconds: seconds.then(Vec::new),
            elapsed: Duration::ZERO,
            left_out: 0,
        }
    }

    /// Adds one result.
    pub fn add(&mut self, result: &Record) {
        record(&mut self.delay, result.delay);
        if result.direct {
            self.direct.add(&result.outcome);
            return;
        }
        self.system.add(&result.outcome);
        if let Some(seconds) = &mut self.seconds {
            let at = usize::try_from(result.at.as_secs()).unwrap_or(usize::MAX);
            while seconds.len() <= at {
                seconds.push(Path::new());
            }
            seconds[at].add(&result.outcome);
        }
    }

    /// Sets the duration of the run and the number of arrivals that were left out.
    pub fn finish(&mut self, elapsed: Duration, left_out: u64) {
        self.elapsed = elapsed;
        self.left_out = left_out;
    }

    /// Whether some answer arrived and every one was complete and right.
    pub fn passed(&self) -> bool {
        let failed = !self.system.failures.is_empty() || !self.direct.failures.is_empty();
        !failed && self.system.complete > 0
    }

    /// The summary as JSON; times are in milliseconds.
    pub fn json(&self) -> Value {
        let mut out = self.system.json();
        out["elapsed_s"] = json!(self.elapsed.as_secs_f64());
        out["left_out"] = json!(self.left_out);
        out["start_delay_ms"] = quantiles(&self.delay);
        if self.direct.requests > 0 {
            out["direct"] = self.direct.json();
            out["added_ms"] = json!({
                "first_token": added(&self.system.first, &self.direct.first),
                "whole": added(&self.system.whole, &self.direct.whole),
            });
        }
        if let Some(seconds) = &self.seconds {
            out["seconds"] = seconds.iter().map(Path::json).collect();
        }
        out
    }

    /// The summary as text.
    pub fn text(&self) -> String {
        let mut text = self.system.text("system");
        if self.direct.requests > 0 {
            text += &self.direct.text("direct");
            for (name, with, without) in [
                ("first token", &self.system.first, &self.direct.first),
                ("whole answer", &self.system.whole, &self.direct.whole),
            ] {
                text += &format!("added, {name}: {}\n", added(with, without));
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
        text + &row("start delay", &self.delay)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid")
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

/// Difference of the quantiles of two paths.
fn added(with: &Histogram<u64>, without: &Histogram<u64>) -> Value {
    let mut out = serde_json::Map::new();
    for (name, quantile) in QUANTILES {
        let (with, without) =
            (with.value_at_quantile(quantile), without.value_at_quantile(quantile));
        let difference = (millis(with) - millis(without)) * 1000.0;
        out.insert(name.to_string(), json!(difference.round() / 1000.0));
    }
    out.into()
}

fn row(name: &str, histogram: &Histogram<u64>) -> String {
    if histogram.is_empty() {
        return String::new();
    }
    let mut text = format!("  {name:<14}");
    for (label, quantile) in QUANTILES {
        text += &format!("  {label} {:9.3} ms", millis(histogram.value_at_quantile(quantile)));
    }
    text + &format!("  max {:9.3} ms\n", millis(histogram.max()))
}

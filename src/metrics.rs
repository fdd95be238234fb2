//! OpenTelemetry metrics, exposed in the Prometheus text format.

use crate::fleet::slots;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder as _;
use std::sync::Arc;
use std::time::Duration;

/// Priority that also stands for all less urgent ones in labels.
const MAX_PRIORITY_LABEL: u64 = 4;

/// Instruments of one process. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    inner: Arc<Inner>,
}

struct Inner {
    registry: prometheus::Registry,
    // Keeps the exporter alive.
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    unauthorized: Counter<u64>,
    retries: Counter<u64>,
    requests: Counter<u64>,
    items: Counter<u64>,
    preemptions: Counter<u64>,
    faults: Counter<u64>,
    leaving: Counter<u64>,
    preferences: Counter<u64>,
    limits: Counter<u64>,
    limited: Counter<u64>,
    quotas: Counter<u64>,
    sent_bytes: Counter<u64>,
    parts: Counter<u64>,
    waits: Counter<u64>,
    latency: Histogram<f64>,
    level: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates the instruments and their registry.
    pub fn new() -> Metrics {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("register the Prometheus exporter in a new registry");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("basilfield");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let inner = Inner {
            refusals: counter("refusals", "Refused requests by reason and run state"),
            unauthorized: counter("unauthorized", "Requests rejected for their keys by reason"),
            retries: counter("retries", "Retried requests by reason"),
            requests: counter("requests", "Requests by kind and outcome"),
            items: counter("items", "Batch items by outcome"),
            preemptions: counter("preemptions", "Batch streams preempted for online requests"),
            faults: counter("faults", "Faults by step"),
            leaving: counter("leaving", "Marks of endpoints as leaving by change"),
            preferences: counter("preferences", "Choices by more than free slots, by reason"),
            limits: counter("limits", "Limits that endpoints state by change"),
            limited: counter("limited", "Requests for endpoints with limits by service and step"),
            quotas: counter("quotas", "Requests of workspaces with quotas by step"),
            sent_bytes: counter("sent_bytes", "Bytes of frames to other hosts by kind and group"),
            parts: counter("prompt_parts", "Parts of prompts that may crash endpoints by step"),
            waits: counter("waits", "Requests that would wait for a slot by priority and result"),
            latency: meter
                .f64_histogram("latency_seconds")
                .with_description("Latency by step")
                .build(),
            level: meter.u64_gauge("level").with_description("Current levels by name").build(),
            registry,
            _provider: provider.clone(),
        };
        Metrics { inner: Arc::new(inner) }
    }

    /// Counts a refusal. `run` is `no` or `unknown`.
    pub fn count_refusal(&self, reason: &'static str, run: &'static str) {
        self.inner.refusals.add(1, &[KeyValue::new("reason", reason), KeyValue::new("run", run)]);
    }

    /// Counts a request that is rejected for its key: `missing`, `malformed`, `unknown`, or `revoked` if
    /// the key was revoked while the request waited.
    pub fn count_unauthorized(&self, reason: &'static str) {
        self.inner.unauthorized.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a retried request.
    pub fn count_retry(&self, reason: &'static str) {
        self.inner.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a finished request.
    pub fn count_request(&self, kind: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.inner.requests.add(1, &labels);
    }

    /// Counts a batch item by outcome.
    pub fn count_item(&self, outcome: &'static str) {
        self.inner.items.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a preempted batch stream.
    pub fn count_preemption(&self) {
        self.inner.preemptions.add(1, &[]);
    }

    /// Counts a fault at `step`.
    pub fn count_fault(&self, step: &'static str) {
        self.inner.faults.add(1, &[KeyValue::new("step", step)]);
    }

    /// Counts a change of the mark of an endpoint as leaving: `marked`, `ended`, or `unusable` for a
    /// statement that was ignored.
    pub fn count_leaving(&self, change: &'static str) {
        self.inner.leaving.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a choice of an endpoint by more than free slots: by `speed`, without `failing` endpoints,
    /// or as the `trial` of one.
    pub fn count_preference(&self, reason: &'static str) {
        self.inner.preferences.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a change of the limit of an endpoint: `stated`, `changed`, `ended`, or `unusable` for a
    /// statement that was ignored.
    pub fn count_limit(&self, change: &'static str) {
        self.inner.limits.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a step of a request for an endpoint with a limit: `online` for one that is sent, `item`
    /// for an item that is sent.
    pub fn count_limited(&self, service: &str, step: &'static str) {
        let service = KeyValue::new("service", service.to_string());
        self.inner.limited.add(1, &[service, KeyValue::new("step", step)]);
    }

    /// Counts a step of a request of a workspace with a quota: `asked`, `waited` for an answer of the
    /// owner, `admitted`, `over` the quota, or `unknown` without an answer.
    pub fn count_quota(&self, step: &'static str) {
        self.inner.quotas.add(1, &[KeyValue::new("step", step)]);
    }

    /// Counts the bytes of a frame to another host. `group` is the replica group that it is for.
    pub fn count_sent(&self, kind: &'static str, group: Option<u16>, bytes: usize) {
        let kind = KeyValue::new("kind", kind);
        match group {
            Some(group) => {
                let group = KeyValue::new("group", i64::from(group));
                self.inner.sent_bytes.add(bytes as u64, &[kind, group]);
            }
            None => self.inner.sent_bytes.add(bytes as u64, &[kind]),
        }
    }

    /// Counts a step in the handling of parts of prompts that may crash endpoints: `crash` of an
    /// endpoint under requests, `held` for a request that is not sent, `trial` for one that is sent
    /// nevertheless, `cleared` for a report of answered parts, `unreadable` for a malformed list.
    pub fn count_part(&self, step: &'static str) {
        self.inner.parts.add(1, &[KeyValue::new("step", step)]);
    }

    /// Counts a request that would wait for a slot, by the priority of its workspace. `failure` is why
    /// it got none.
    pub fn count_wait(&self, priority: u64, failure: Option<slots::NoSlot>) {
        let result = match failure {
            None => "served",
            Some(slots::NoSlot::NotInTime) => "not_in_time",
            Some(slots::NoSlot::Ended) => "ended",
            Some(slots::NoSlot::Displaced) => "displaced",
        };
        // Bounds the number of label values; configurations may use any priority.
        let priority = i64::try_from(priority.min(MAX_PRIORITY_LABEL)).unwrap_or(i64::MAX);
        let labels = [KeyValue::new("priority", priority), KeyValue::new("result", result)];
        self.inner.waits.add(1, &labels);
    }

    /// Records the latency of a step.
    pub fn record_latency(&self, step: &'static str, elapsed: Duration) {
        self.inner.latency.record(elapsed.as_secs_f64(), &[KeyValue::new("step", step)]);
    }

    /// Records a current level, for example a queue length.
    pub fn record_level(&self, name: &'static str, value: u64) {
        self.inner.level.record(value, &[KeyValue::new("name", name)]);
    }

    /// Renders every instrument in the Prometheus text format; empty if this fails.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        let families = self.inner.registry.gather();
        if prometheus::TextEncoder::new().encode(&families, &mut out).is_err() {
            return String::new();
        }
        String::from_utf8(out).unwrap_or_default()
    }
}

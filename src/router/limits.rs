//! Rate and concurrency limits of workspaces at one entry.

use crate::router;
use crate::sorted;
use crate::wire;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay of a refusal by the concurrency limit.
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Smallest number of tracked workspaces at which unused ones are removed.
const SWEEP_THRESHOLD: usize = 1024;

/// Limits of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Long-term rate in requests per second.
    pub rate: f64,
    /// Most requests that are admitted at once after a pause.
    pub burst: f64,
    /// Most requests that run at once.
    pub concurrent: u32,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit { rate: 100.0, burst: 200.0, concurrent: 256 }
    }
}

/// Token bucket and running requests of one workspace.
#[derive(Debug)]
struct Usage {
    tokens: f64,
    updated: Duration,
    running: u32,
}

/// Limits and current usage of all workspaces.
#[derive(Debug, Default)]
pub struct Limits {
    default: Limit,
    limits: sorted::SortedMap<Arc<str>, Limit>,
    usage: sorted::SortedMap<Arc<str>, Usage>,
    sweep_threshold: usize,
}

impl Limits {
    /// Returns limits that apply `default` to every workspace without limits of its own.
    pub fn new(default: Limit) -> Limits {
        Limits { default, sweep_threshold: SWEEP_THRESHOLD, ..Limits::default() }
    }

    /// Replaces the limits and keeps the current usage.
    pub fn set_limits(&mut self, default: Limit, limits: sorted::SortedMap<Arc<str>, Limit>) {
        self.default = default;
        self.limits = limits;
    }

    /// Admits a request and counts it as running, or refuses it.
    pub fn admit(&mut self, now: Duration, workspace: &str) -> Result<(), router::Refusal> {
        self.forget_unused(now);
        let limit = self.limit(workspace);
        let new = || Usage { tokens: limit.burst, updated: now, running: 0 };
        let usage = match self.usage.get_mut(workspace) {
            Some(usage) => usage,
            None => self.usage.entry_or(workspace.into(), new),
        };
        usage.refill(now, limit);
        if usage.running >= limit.concurrent {
            let reason = wire::Reason::ConcurrencyLimit;
            return Err(router::Refusal { reason, retry: CONCURRENCY_RETRY_DELAY });
        }
        if usage.tokens < 1.0 {
            let reason = wire::Reason::RateLimit;
            return Err(router::Refusal { reason, retry: usage.retry_delay(limit) });
        }
        usage.tokens -= 1.0;
        usage.running += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, workspace: &str) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Returns the number of workspaces whose usage is tracked.
    pub fn len(&self) -> usize {
        self.usage.len()
    }

    /// Whether no usage is tracked.
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }

    fn limit(&self, workspace: &str) -> Limit {
        self.limits.get(workspace).copied().unwrap_or(self.default)
    }

    /// Removes workspaces whose usage equals that of a new one.
    fn forget_unused(&mut self, now: Duration) {
        if self.usage.len() < self.sweep_threshold {
            return;
        }
        let (limits, default) = (&self.limits, self.default);
        self.usage.retain(|name, usage| {
            let limit = limits.get(name).copied().unwrap_or(default);
            usage.refill(now, limit);
            usage.running > 0 || usage.tokens < limit.burst
        });
        // The next removal waits until the number has doubled, so that its cost per request stays
        // constant on average.
        self.sweep_threshold = SWEEP_THRESHOLD.max(2 * self.usage.len());
    }
}

impl Usage {
    fn refill(&mut self, now: Duration, limit: Limit) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + passed * limit.rate).min(limit.burst);
        self.updated = self.updated.max(now);
    }

    /// Returns the time until the bucket holds a whole token.
    fn retry_delay(&self, limit: Limit) -> Duration {
        let seconds = (1.0 - self.tokens) / limit.rate;
        // At a rate of zero the bucket never refills; callers are told to retry after an hour.
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX).min(Duration::from_secs(3600))
    }
}

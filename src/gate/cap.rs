//! Cap on running streams up to which batch may fill an engine. It follows online inter-token
//! latency.
//!
//! The cap counts online and batch streams together, so that batch gives way as soon as online
//! streams start, before any latency has been measured. Only the size of the cap depends on
//! measured latency.

use std::time::Duration;

/// Length of one measurement window. An engine makes about 25 steps in it, which is the least
/// number that shows whether one step in twenty was slow.
const MEASUREMENT_WINDOW: Duration = Duration::from_millis(500);
/// Streams by which the cap rises after a window within the target.
const CAP_INCREASE: f64 = 0.5;
/// Streams by which the cap rises in a window without online streams.
const IDLE_CAP_INCREASE: f64 = 2.0;
/// Factor by which the cap falls after a window above the target.
const CAP_DECREASE_FACTOR: f64 = 0.95;
/// Share of the online tokens that may take longer than the target.
const MAX_SLOW_SHARE: f64 = 0.05;
/// Fewest tokens in a window for a verdict.
const MIN_WINDOW_TOKENS: u32 = 20;

/// Streams at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Running online streams.
    pub online: u32,
    /// Running batch streams.
    pub batch: u32,
    /// Batch streams that always may run.
    pub floor: u32,
    /// Slots of the engine.
    pub slots: u32,
}

/// Additive increase, multiplicative decrease of the number of streams.
#[derive(Debug)]
pub struct Cap {
    target: Duration,
    value: f64,
    window_start: Duration,
    slow_tokens: u32,
    window_tokens: u32,
}

impl Cap {
    /// Returns a cap of `slots` that keeps the 95th percentile of online inter-token latency
    /// below `target`.
    pub fn new(target: Duration, slots: u32) -> Cap {
        Cap {
            target,
            value: f64::from(slots),
            window_start: Duration::ZERO,
            slow_tokens: 0,
            window_tokens: 0,
        }
    }

    /// Replaces the target; the present cap is kept.
    pub fn set_target(&mut self, target: Duration) {
        self.target = target;
    }

    /// Number of streams up to which batch may fill the engine.
    pub fn value(&self) -> u32 {
        self.value.round() as u32
    }

    /// Records `count` online tokens that took `taken` in total.
    pub fn observe(&mut self, taken: Duration, count: u32) {
        self.window_tokens = self.window_tokens.saturating_add(count);
        if taken > self.target.saturating_mul(count) {
            self.slow_tokens = self.slow_tokens.saturating_add(count);
        }
    }

    /// Closes the window if it is over, and adjusts the cap.
    pub fn update(&mut self, now: Duration, usage: Usage) {
        if now >= self.window_start + MEASUREMENT_WINDOW {
            self.adjust(usage);
            self.window_start = now;
            self.slow_tokens = 0;
            self.window_tokens = 0;
        }
        self.value = self.value.clamp(0.0, f64::from(usage.slots));
    }

    fn adjust(&mut self, usage: Usage) {
        let total = f64::from(usage.online + usage.batch);
        if usage.online == 0 {
            self.value += IDLE_CAP_INCREASE;
        } else if self.window_tokens < MIN_WINDOW_TOKENS {
            // Too few tokens for a verdict.
        } else if f64::from(self.slow_tokens) > MAX_SLOW_SHARE * f64::from(self.window_tokens) {
            // Without batch above its floor the latency is due to online load alone.
            if usage.batch > usage.floor {
                self.value = self.value.min(total) * CAP_DECREASE_FACTOR;
            }
        } else if total + 1.0 >= self.value {
            // A cap that was not reached has not proved that more streams are within the target.
            self.value += CAP_INCREASE;
        }
    }
}

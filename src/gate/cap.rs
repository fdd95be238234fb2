//! Cap on the running streams of an engine, adjusted to the measured online inter-token latency.
//!
//! Batch streams above the floor are started only while the total of online and batch streams is
//! below the cap. Because online streams count too, batch yields as soon as they start, before any
//! latency has been measured.

use std::time::Duration;

/// Interval between adjustments of the cap. An engine makes about 25 steps in it, just enough to
/// show whether one step in twenty is slow.
const MEASUREMENT_WINDOW: Duration = Duration::from_millis(500);
/// Streams by which the cap rises after a window within the latency target.
const CAP_INCREASE: f64 = 0.5;
/// Streams by which the cap rises after a window without online streams.
const IDLE_CAP_INCREASE: f64 = 2.0;
/// Factor applied to the cap after a window above the latency target.
const CAP_DECREASE_FACTOR: f64 = 0.95;
/// Share of the online tokens that may take longer than the target, so that the target applies to
/// the 95th percentile.
const MAX_SLOW_SHARE: f64 = 0.05;
/// Online tokens that a window needs before the cap follows its latency.
const MIN_WINDOW_TOKENS: u32 = 20;

/// Numbers of streams and slots at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Running online streams.
    pub online: u32,
    /// Running batch streams.
    pub batch: u32,
    /// Batch streams that may run regardless of the cap.
    pub floor: u32,
    /// Slots of the engine.
    pub slots: u32,
}

/// Cap on running streams, with additive increase and multiplicative decrease.
#[derive(Debug)]
pub struct Cap {
    target: Duration,
    value: f64,
    window_start: Duration,
    slow_tokens: u32,
    window_tokens: u32,
}

impl Cap {
    /// Returns a cap that starts at `slots` and keeps the 95th percentile of online inter-token
    /// latency below `target`.
    pub fn new(target: Duration, slots: u32) -> Cap {
        Cap {
            target,
            value: f64::from(slots),
            window_start: Duration::ZERO,
            slow_tokens: 0,
            window_tokens: 0,
        }
    }

    /// Replaces the latency target and keeps the current cap.
    pub fn set_target(&mut self, target: Duration) {
        self.target = target;
    }

    /// Returns the cap, rounded to whole streams.
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

    /// Adjusts the cap if the measurement window is over, and limits it to the slots.
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
            // Too few tokens to judge the latency.
        } else if f64::from(self.slow_tokens) > MAX_SLOW_SHARE * f64::from(self.window_tokens) {
            // Without batch streams above the floor, online load alone causes the latency.
            if usage.batch > usage.floor {
                self.value = self.value.min(total) * CAP_DECREASE_FACTOR;
            }
        } else if total + 1.0 >= self.value {
            // A window that did not reach the cap does not show that more streams meet the target.
            self.value += CAP_INCREASE;
        }
    }
}

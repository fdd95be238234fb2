//! Cap on running batch streams, which follows online inter-token latency.

use std::time::Duration;

/// Length of one measurement window.
const WINDOW: Duration = Duration::from_millis(100);
/// Slots by which the cap rises after a window within the target.
const INCREASE: f64 = 1.0;
/// Factor by which the cap falls after a window above the target.
const DECREASE: f64 = 0.75;
/// Fewest gaps in a window for a verdict.
const SAMPLES: u32 = 4;

/// Additive increase, multiplicative decrease of the number of batch streams.
#[derive(Debug)]
pub struct Cap {
    target: Duration,
    value: f64,
    since: Duration,
    sum: Duration,
    count: u32,
}

impl Cap {
    /// Returns a cap of `slots` that keeps the mean gap between online tokens below `target`.
    pub fn new(target: Duration, slots: u32) -> Cap {
        let value = f64::from(slots);
        Cap { target, value, since: Duration::ZERO, sum: Duration::ZERO, count: 0 }
    }

    /// Largest number of batch streams at present.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Records `count` online tokens that took `taken` in total.
    pub fn observe(&mut self, taken: Duration, count: u32) {
        self.sum += taken;
        self.count += count;
    }

    /// Closes the window if it is over. The cap stays between `floor` and `slots`.
    ///
    /// Without online streams there is no latency to protect, and the cap is lifted.
    pub fn update(&mut self, now: Duration, online: bool, batch: u32, floor: u32, slots: u32) {
        if !online {
            self.value = f64::from(slots);
            self.restart(now);
            return;
        }
        if now < self.since + WINDOW {
            return;
        }
        if self.count >= SAMPLES {
            self.adjust(batch);
        }
        self.value = self.value.clamp(f64::from(floor.min(slots)), f64::from(slots));
        self.restart(now);
    }

    fn adjust(&mut self, batch: u32) {
        let mean = self.sum / self.count;
        if mean > self.target {
            // Starts from the present use, so that an unused allowance does not delay the effect.
            self.value = self.value.min(f64::from(batch)) * DECREASE;
        } else {
            self.value += INCREASE;
        }
    }

    fn restart(&mut self, now: Duration) {
        self.since = now;
        self.sum = Duration::ZERO;
        self.count = 0;
    }
}

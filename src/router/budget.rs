//! Retry budget: retries are limited to a share of the traffic.

use std::time::Duration;

/// Retries that may be saved up.
const BURST: f64 = 20.0;
/// Retries per second that are allowed without any traffic, so that a quiet entry can retry.
const IDLE_RATE: f64 = 1.0;

/// Budget from which each retry takes one unit.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    units: f64,
    updated: Duration,
}

impl Budget {
    /// Returns a full budget to which every request adds `share` units.
    pub fn new(share: f64) -> Budget {
        Budget { share, units: BURST, updated: Duration::ZERO }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.units = (self.units + self.share).min(BURST);
    }

    /// Takes one retry, if the budget allows it.
    pub fn take(&mut self, now: Duration) -> bool {
        let idle = now.saturating_sub(self.updated).as_secs_f64() * IDLE_RATE;
        self.updated = self.updated.max(now);
        self.units = (self.units + idle).min(BURST);
        if self.units < 1.0 {
            return false;
        }
        self.units -= 1.0;
        true
    }
}

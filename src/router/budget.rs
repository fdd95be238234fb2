//! Retry budget: retries are limited to a share of the traffic.

use std::time::Duration;

/// Thousandths of a retry.
const UNIT: u64 = 1000;
/// Retries that may be saved up, in thousandths.
const BURST: u64 = 20 * UNIT;

/// Budget from which each retry takes one.
#[derive(Debug)]
pub struct Budget {
    /// Thousandths of a retry that a request adds.
    share: u64,
    units: u64,
    updated: Duration,
}

impl Budget {
    /// Returns a full budget to which every request adds `share` retries.
    pub fn new(share: f64) -> Budget {
        Budget {
            share: (share * UNIT as f64).round() as u64,
            units: BURST,
            updated: Duration::ZERO,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.units = (self.units + self.share).min(BURST);
    }

    /// Takes one retry, if the budget allows it.
    ///
    /// One retry per second is allowed without any traffic, so that a quiet entry can retry.
    pub fn take(&mut self, now: Duration) -> bool {
        let idle = now.saturating_sub(self.updated).as_millis() as u64;
        self.updated = self.updated.max(now);
        self.units = self.units.saturating_add(idle).min(BURST);
        let granted = self.units >= UNIT;
        if granted {
            self.units -= UNIT;
        }
        granted
    }
}

//! Retry budget: retries are limited to a share of the traffic.

use std::time::Duration;

/// Thousandths of a retry.
const UNITS_PER_RETRY: u64 = 1000;
/// Retries that may be saved up, in thousandths.
const MAX_UNITS: u64 = 20 * UNITS_PER_RETRY;

/// Budget from which each retry takes one.
#[derive(Debug)]
pub struct Budget {
    /// Thousandths of a retry that a request adds.
    request_units: u64,
    units: u64,
    updated: Duration,
}

impl Budget {
    /// Returns a full budget to which every request adds `share` retries.
    pub fn new(share: f64) -> Budget {
        Budget {
            request_units: (share * UNITS_PER_RETRY as f64).round() as u64,
            units: MAX_UNITS,
            updated: Duration::ZERO,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.units = (self.units + self.request_units).min(MAX_UNITS);
    }

    /// Takes one retry, if the budget allows it.
    ///
    /// One retry per second is allowed without any traffic, so that a quiet entry can retry.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let idle = now.saturating_sub(self.updated).as_millis() as u64;
        self.updated = self.updated.max(now);
        self.units = self.units.saturating_add(idle).min(MAX_UNITS);
        let granted = self.units >= UNITS_PER_RETRY;
        if granted {
            self.units -= UNITS_PER_RETRY;
        }
        granted
    }
}

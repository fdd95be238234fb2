//! Retry budget that limits retries to a share of the requests.

use std::time::Duration;

/// Units of the budget that one retry costs. The budget grows by one unit per millisecond.
const UNITS_PER_RETRY: u64 = 1000;
/// Most units that may be saved up: 20 retries.
const MAX_UNITS: u64 = 20 * UNITS_PER_RETRY;

/// Budget of retries. Requests and the passage of time add to it; each retry takes from it.
#[derive(Debug)]
pub struct Budget {
    /// Units that a request adds.
    request_units: u64,
    units: u64,
    updated: Duration,
}

impl Budget {
    /// Returns a full budget to which every request adds `share` of a retry.
    pub fn new(share: f64) -> Budget {
        Budget {
            request_units: (share * UNITS_PER_RETRY as f64).round() as u64,
            units: MAX_UNITS,
            updated: Duration::ZERO,
        }
    }

    /// Adds the share of a new request.
    pub fn deposit(&mut self) {
        self.units = (self.units + self.request_units).min(MAX_UNITS);
    }

    /// Takes one retry from the budget. Returns false if the budget is spent.
    ///
    /// The budget also grows by one retry per second, so that an entry with few requests can retry.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated).as_millis() as u64;
        self.updated = self.updated.max(now);
        self.units = self.units.saturating_add(elapsed).min(MAX_UNITS);
        let granted = self.units >= UNITS_PER_RETRY;
        if granted {
            self.units -= UNITS_PER_RETRY;
        }
        granted
    }
}

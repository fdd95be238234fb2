//! Measured service times, from which waiting times are estimated.

use std::time::Duration;

/// Weight of a new measurement in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Retry delay while no request has finished yet.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Shortest retry delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest retry delay. Load changes within seconds, so longer estimates are not reliable.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Moving averages of online service times.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    /// Seconds from start to end.
    total: Option<f64>,
    /// Seconds from start to the first token.
    first_token: Option<f64>,
}

impl ServiceTimes {
    /// Records the time that a successful request took from start to end.
    pub fn record_total(&mut self, taken: Duration) {
        self.total = Some(average(self.total, taken));
    }

    /// Records the time that a request took from start to the first token.
    pub fn record_first_token(&mut self, taken: Duration) {
        self.first_token = Some(average(self.first_token, taken));
    }

    /// Returns the expected time until `ahead` requests have ended on `slots` slots, or zero if no
    /// request has finished yet.
    pub fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let Some(total) = self.total else { return Duration::ZERO };
        Duration::from_secs_f64(total * ahead as f64 / f64::from(slots.max(1)))
    }

    /// Returns the expected time from start to first token, or zero if none has been measured.
    pub fn expected_first_token(&self) -> Duration {
        Duration::from_secs_f64(self.first_token.unwrap_or(0.0))
    }

    /// Returns the time after which a refused caller should retry. `excess` is the time by which
    /// the expected wait is too long.
    pub fn retry_delay(&self, excess: Duration) -> Duration {
        match self.total {
            Some(_) => excess.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
            None => DEFAULT_RETRY_DELAY,
        }
    }
}

fn average(old: Option<f64>, new: Duration) -> f64 {
    let new = new.as_secs_f64();
    old.map_or(new, |old| old + AVERAGE_WEIGHT * (new - old))
}

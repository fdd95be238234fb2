//! Observed service times, from which waiting times are estimated.

use std::time::Duration;

/// Weight of a new observation in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Answer for a caller while nothing has been observed yet.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Shortest time that a caller is told to wait.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest time that a caller is told to wait. Load changes within seconds, so that a longer
/// estimate is not reliable.
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
    /// Records the time from start to end of a successful request.
    pub fn record_total(&mut self, taken: Duration) {
        self.total = Some(average(self.total, taken));
    }

    /// Records the time from start to the first token.
    pub fn record_first_token(&mut self, taken: Duration) {
        self.first_token = Some(average(self.first_token, taken));
    }

    /// Expected time until `ahead` requests have ended on `slots` slots; zero if nothing is known.
    pub fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let Some(total) = self.total else { return Duration::ZERO };
        Duration::from_secs_f64(total * ahead as f64 / f64::from(slots.max(1)))
    }

    /// Expected time from start to first token; zero if nothing is known.
    pub fn expected_first_token(&self) -> Duration {
        Duration::from_secs_f64(self.first_token.unwrap_or(0.0))
    }

    /// Time after which a refused caller should come back, given an expected excess of work.
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

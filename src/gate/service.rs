//! Observed service times, from which waiting times are estimated.

use std::time::Duration;

/// Weight of a new observation in the moving averages.
const WEIGHT: f64 = 0.1;
/// Answer for a caller while nothing has been observed yet.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);
/// Shortest time that a caller is told to wait.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Longest time that a caller is told to wait. Load changes within seconds, so that a longer
/// estimate is not reliable.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Moving averages of online service times.
#[derive(Debug, Default)]
pub struct Service {
    /// Seconds from start to end.
    whole: Option<f64>,
    /// Seconds from start to the first token.
    first: Option<f64>,
}

impl Service {
    /// Records the time from start to end of a successful request.
    pub fn finished(&mut self, taken: Duration) {
        self.whole = Some(average(self.whole, taken));
    }

    /// Records the time from start to the first token.
    pub fn started(&mut self, taken: Duration) {
        self.first = Some(average(self.first, taken));
    }

    /// Expected time until `ahead` requests have ended on `slots` slots; zero if nothing is known.
    pub fn wait(&self, ahead: usize, slots: u32) -> Duration {
        let Some(whole) = self.whole else { return Duration::ZERO };
        Duration::from_secs_f64(whole * ahead as f64 / f64::from(slots.max(1)))
    }

    /// Expected time from start to first token; zero if nothing is known.
    pub fn first(&self) -> Duration {
        Duration::from_secs_f64(self.first.unwrap_or(0.0))
    }

    /// Time after which a refused caller should come back, given an expected excess of work.
    pub fn retry(&self, excess: Duration) -> Duration {
        match self.whole {
            Some(_) => excess.clamp(MIN_RETRY, MAX_RETRY),
            None => DEFAULT_RETRY,
        }
    }
}

fn average(old: Option<f64>, new: Duration) -> f64 {
    let new = new.as_secs_f64();
    old.map_or(new, |old| old + WEIGHT * (new - old))
}

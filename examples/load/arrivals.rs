//! Arrival times of the requests.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::str::FromStr;
use std::time::Duration;

/// Arrival process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Independent arrivals at a constant mean rate.
    Poisson,
    /// Independent arrivals within bursts and none between them.
    Bursty,
}

impl FromStr for Pattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Pattern, String> {
        match text {
            "poisson" => Ok(Pattern::Poisson),
            "bursty" => Ok(Pattern::Bursty),
            _ => Err("expected poisson or bursty".to_string()),
        }
    }
}

/// Iterator over the arrival times, counted from the start of the run.
pub struct Arrivals {
    pattern: Pattern,
    rate: f64,
    on_s: f64,
    off_s: f64,
    rng: ChaCha8Rng,
    // Time of the last arrival in seconds, not counting the pauses between bursts.
    active_s: f64,
}

impl Arrivals {
    /// Creates an iterator with a mean of `rate` arrivals per second. In the bursty pattern a burst
    /// of `on_s` seconds starts every `on_s + off_s` seconds.
    pub fn new(pattern: Pattern, rate: f64, on_s: f64, off_s: f64, seed: u64) -> Arrivals {
        Arrivals { pattern, rate, on_s, off_s, rng: ChaCha8Rng::seed_from_u64(seed), active_s: 0.0 }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // Gaps between independent arrivals are distributed exponentially.
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.active_s -= uniform.ln() / self.rate;
        let pause_s = match self.pattern {
            Pattern::Poisson => 0.0,
            Pattern::Bursty => (self.active_s / self.on_s).floor() * self.off_s,
        };
        Duration::try_from_secs_f64(self.active_s + pause_s).ok()
    }
}

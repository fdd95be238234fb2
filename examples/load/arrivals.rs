//! Times at which requests arrive.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::str::FromStr;
use std::time::Duration;

/// Pattern of arrivals.
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
    on: f64,
    off: f64,
    rng: ChaCha8Rng,
    // Seconds with load so far.
    active: f64,
}

impl Arrivals {
    /// Creates the times for `rate` arrivals per second and bursts of `on` seconds every
    /// `on + off` seconds.
    pub fn new(pattern: Pattern, rate: f64, on: f64, off: f64, seed: u64) -> Arrivals {
        Arrivals { pattern, rate, on, off, rng: ChaCha8Rng::seed_from_u64(seed), active: 0.0 }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // Gaps between independent arrivals are distributed exponentially.
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.active -= uniform.ln() / self.rate;
        let pauses = match self.pattern {
            Pattern::Poisson => 0.0,
            Pattern::Bursty => (self.active / self.on).floor() * self.off,
        };
        Duration::try_from_secs_f64(self.active + pauses).ok()
    }
}

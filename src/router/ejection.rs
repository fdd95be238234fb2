//! Health of one endpoint: ejection after failures or silence, and re-admission by probe traffic.

use std::time::Duration;

/// Ejection time after the first failure; doubled by each further one.
const FIRST: Duration = Duration::from_secs(2);
/// Longest ejection time.
const LONGEST: Duration = Duration::from_secs(30);
/// Probes in a row that must succeed.
const PROBES: u32 = 2;

/// Whether an endpoint receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Receives requests.
    Healthy,
    /// Receives none until this time.
    Ejected(Duration),
    /// Receives one request at a time.
    Probing {
        /// Whether a probe is under way.
        busy: bool,
        /// Probes that have succeeded.
        passed: u32,
    },
}

/// Record of the failures of one endpoint.
#[derive(Clone, Debug)]
pub struct Record {
    /// Present health.
    pub health: Health,
    failures: u32,
    ejections: u32,
    silent: bool,
}

impl Default for Record {
    fn default() -> Record {
        Record { health: Health::Healthy, failures: 0, ejections: 0, silent: false }
    }
}

impl Record {
    /// Whether the endpoint is taken out of normal selection.
    pub fn is_out(&self) -> bool {
        self.health != Health::Healthy
    }

    /// Whether a probe may be sent.
    pub fn wants_probe(&self, now: Duration) -> bool {
        match self.health {
            Health::Healthy => false,
            Health::Ejected(until) => now >= until,
            Health::Probing { busy, .. } => !busy,
        }
    }

    /// Notes that a request was sent.
    pub fn started(&mut self, now: Duration) {
        match &mut self.health {
            Health::Ejected(until) if now >= *until => {
                self.health = Health::Probing { busy: true, passed: 0 };
            }
            Health::Probing { busy, .. } => *busy = true,
            _ => {}
        }
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        if let Health::Probing { passed, .. } = self.health {
            let passed = passed + 1;
            self.health = Health::Probing { busy: false, passed };
            if passed >= PROBES {
                self.health = Health::Healthy;
                self.ejections = 0;
            }
        }
    }

    /// Notes that a probe ended without a verdict, for example with a refusal.
    pub fn inconclusive(&mut self) {
        if let Health::Probing { busy, .. } = &mut self.health {
            *busy = false;
        }
    }

    /// Notes a failure. Returns whether the endpoint should be ejected after `limit` failures.
    pub fn failed(&mut self, limit: u32) -> bool {
        self.failures += 1;
        self.failures >= limit || matches!(self.health, Health::Probing { .. })
    }

    /// Notes a sign of life: an endpoint that was ejected for silence is probed at once.
    pub fn alive(&mut self) {
        if self.silent && matches!(self.health, Health::Ejected(_)) {
            self.health = Health::Probing { busy: false, passed: 0 };
        }
    }

    /// Ejects the endpoint, after failures or because it is silent.
    pub fn eject(&mut self, now: Duration, silent: bool) {
        self.silent = silent;
        let time = FIRST.saturating_mul(1 << self.ejections.min(8)).min(LONGEST);
        self.health = Health::Ejected(now + time);
        self.ejections += 1;
        self.failures = 0;
    }
}

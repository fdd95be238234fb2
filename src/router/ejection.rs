//! Health of one endpoint: ejection after failures or silence, and re-admission by probe traffic.

use std::time::Duration;

/// Ejection time after the first failure; doubled by each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Probes in a row that must succeed.
const REQUIRED_PROBES: u32 = 2;

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
        in_flight: bool,
        /// Probes that have succeeded.
        succeeded: u32,
    },
}

/// Record of the failures of one endpoint.
#[derive(Clone, Debug)]
pub struct HealthRecord {
    /// Present health.
    pub health: Health,
    failures: u32,
    ejections: u32,
    was_silent: bool,
}

impl Default for HealthRecord {
    fn default() -> HealthRecord {
        HealthRecord { health: Health::Healthy, failures: 0, ejections: 0, was_silent: false }
    }
}

impl HealthRecord {
    /// Whether the endpoint is taken out of normal selection.
    pub fn is_unhealthy(&self) -> bool {
        self.health != Health::Healthy
    }

    /// Whether a probe may be sent.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        match self.health {
            Health::Healthy => false,
            Health::Ejected(until) => now >= until,
            Health::Probing { in_flight, .. } => !in_flight,
        }
    }

    /// Notes that a request was sent.
    pub fn record_start(&mut self, now: Duration) {
        match &mut self.health {
            Health::Ejected(until) if now >= *until => {
                self.health = Health::Probing { in_flight: true, succeeded: 0 };
            }
            Health::Probing { in_flight, .. } => *in_flight = true,
            _ => {}
        }
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        if let Health::Probing { succeeded, .. } = self.health {
            let succeeded = succeeded + 1;
            self.health = Health::Probing { in_flight: false, succeeded };
            if succeeded >= REQUIRED_PROBES {
                self.health = Health::Healthy;
                self.ejections = 0;
            }
        }
    }

    /// Notes that a probe ended without a verdict, for example with a refusal.
    pub fn record_inconclusive(&mut self) {
        if let Health::Probing { in_flight, .. } = &mut self.health {
            *in_flight = false;
        }
    }

    /// Notes a failure. Returns whether the endpoint should be ejected after `limit` failures.
    pub fn record_failure(&mut self, limit: u32) -> bool {
        self.failures += 1;
        self.failures >= limit || matches!(self.health, Health::Probing { .. })
    }

    /// Notes a sign of life: an endpoint that was ejected for silence is probed at once.
    pub fn record_activity(&mut self) {
        if self.was_silent && matches!(self.health, Health::Ejected(_)) {
            self.health = Health::Probing { in_flight: false, succeeded: 0 };
        }
    }

    /// Ejects the endpoint, after failures or because it is silent.
    pub fn eject(&mut self, now: Duration, silent: bool) {
        self.was_silent = silent;
        let time =
            BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION_TIME);
        self.health = Health::Ejected(now + time);
        self.ejections += 1;
        self.failures = 0;
    }
}

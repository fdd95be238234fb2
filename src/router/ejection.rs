//! Health of one endpoint: ejection after failures or silence, and re-admission by probes.

use std::time::Duration;

/// Duration of the first ejection. Each further one doubles it until the endpoint recovers.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Probes in a row that must succeed before an endpoint is healthy again.
const REQUIRED_PROBES: u32 = 2;

/// Whether an endpoint receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Receives requests normally.
    Healthy,
    /// Receives no requests until this time.
    Ejected(Duration),
    /// Receives one request at a time, as a probe.
    Probing {
        /// Whether a probe is in flight.
        in_flight: bool,
        /// Number of probes that have succeeded.
        succeeded: u32,
    },
}

/// Health and recent failures of one endpoint.
#[derive(Clone, Debug)]
pub struct HealthRecord {
    /// Current health.
    pub health: Health,
    /// Failures in a row.
    failures: u32,
    /// Ejections since the endpoint was last healthy.
    ejections: u32,
    /// Whether the latest ejection was for silence.
    was_silent: bool,
}

impl Default for HealthRecord {
    fn default() -> HealthRecord {
        HealthRecord { health: Health::Healthy, failures: 0, ejections: 0, was_silent: false }
    }
}

impl HealthRecord {
    /// Whether the endpoint is ejected or being probed.
    pub fn is_unhealthy(&self) -> bool {
        self.health != Health::Healthy
    }

    /// Whether the endpoint may be probed now.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        match self.health {
            Health::Healthy => false,
            Health::Ejected(until) => now >= until,
            Health::Probing { in_flight, .. } => !in_flight,
        }
    }

    /// Records that a request was sent. It counts as a probe if one is due or in flight.
    pub fn record_start(&mut self, now: Duration) {
        match &mut self.health {
            Health::Ejected(until) if now >= *until => {
                self.health = Health::Probing { in_flight: true, succeeded: 0 };
            }
            Health::Probing { in_flight, .. } => *in_flight = true,
            _ => {}
        }
    }

    /// Records that a request was answered.
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

    /// Records that a request ended without showing the health, for example with a refusal.
    pub fn record_inconclusive(&mut self) {
        if let Health::Probing { in_flight, .. } = &mut self.health {
            *in_flight = false;
        }
    }

    /// Records a failure. Returns whether the endpoint should be ejected: after `limit` failures in
    /// a row, or after one while it is being probed.
    pub fn record_failure(&mut self, limit: u32) -> bool {
        self.failures += 1;
        self.failures >= limit || matches!(self.health, Health::Probing { .. })
    }

    /// Records that something was received. An endpoint that was ejected for silence is then probed
    /// at once.
    pub fn record_activity(&mut self) {
        if self.was_silent && matches!(self.health, Health::Ejected(_)) {
            self.health = Health::Probing { in_flight: false, succeeded: 0 };
        }
    }

    /// Ejects the endpoint. `silent` tells that the cause is silence and not failures.
    pub fn eject(&mut self, now: Duration, silent: bool) {
        self.was_silent = silent;
        let time =
            BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION_TIME);
        self.health = Health::Ejected(now + time);
        self.ejections += 1;
        self.failures = 0;
    }
}

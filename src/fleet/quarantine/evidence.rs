//! Answers to requests that one host has seen.

use crate::fleet::quarantine::Cause;
use crate::sorted;
use std::time::Duration;

/// Time for which an answer shows that its request and the parts of its prompt are sound.
const EVIDENCE_TIME: Duration = Duration::from_secs(60);
/// Most causes whose answers a host remembers.
const MAX_EVIDENCE: usize = 4_096;
/// Crashes with a cause, seen by one host, after which its earlier answers no longer count.
const MAX_CONTRARY: u32 = 3;
/// Time for which further crashes do not count as contrary, since many endpoints may fail at once.
const CONTRARY_PAUSE: Duration = Duration::from_secs(1);

/// Last answer to a request with a cause.
#[derive(Clone, Copy, Debug)]
struct Answered {
    at: Duration,
    /// Crashes with the cause since, those at about the same time as one.
    crashes: u32,
    /// Time of the last crash that was counted.
    crashed: Option<Duration>,
}

/// Answers to requests that one host has seen, by cause.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    causes: sorted::SortedMap<Cause, Answered>,
}

impl Evidence {
    /// Records an answer to a request with these causes.
    pub fn record_answer(&mut self, now: Duration, causes: &[Cause]) {
        for cause in causes {
            if self.causes.len() >= MAX_EVIDENCE && !self.causes.contains(cause) {
                let oldest = self.causes.iter().min_by_key(|(_, a)| a.at).map(|(c, _)| *c);
                oldest.and_then(|oldest| self.causes.remove(&oldest));
            }
            self.causes.insert(*cause, Answered { at: now, crashes: 0, crashed: None });
        }
    }

    /// Records that an endpoint crashed that ran requests with these causes.
    pub fn record_crash(&mut self, now: Duration, causes: &[Cause]) {
        for cause in causes {
            let Some(answered) = self.causes.get_mut(cause) else { continue };
            if answered.crashed.is_some_and(|at| now.saturating_sub(at) < CONTRARY_PAUSE) {
                continue;
            }
            (answered.crashed, answered.crashes) = (Some(now), answered.crashes + 1);
            if answered.crashes >= MAX_CONTRARY {
                self.causes.remove(cause);
            }
        }
    }

    /// Time of the last answer to a request with a cause, if it is recent.
    pub fn answered(&self, now: Duration, cause: Cause) -> Option<Duration> {
        let at = self.causes.get(&cause)?.at;
        (now.saturating_sub(at) < EVIDENCE_TIME).then_some(at)
    }
}

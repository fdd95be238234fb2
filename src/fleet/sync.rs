//! Decides who sends the configuration and the directory to whom. Free of I/O.
//!
//! Designed for a fleet of hundreds of hosts with several control hosts, all of which learn of every
//! change: configurations in quick succession, with thousands of routes, and many hosts or endpoints
//! that start or leave at the same moment. If every control host sent every change to every host,
//! the links of the entries would be full for seconds, and the newest configuration would wait
//! behind outdated ones. Instead, a host learns which version is available and fetches the newest
//! one from one control host, and one control host at a time sends it the directory.

use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// A configuration that was asked for and has not arrived after this long is asked for again, from
/// the next control host that has it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// A directory that differs for less than this is not sent: the changes are usually under way.
const MIN_DIFFERENCE_TIME: Duration = Duration::from_millis(350);
/// Time by which each further control host waits longer before it sends the directory.
const RANK_DELAY: Duration = Duration::from_millis(450);
/// Time after which a host that no longer announces itself is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// Fetching of the newest configuration by one host.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// Newest version that is known to be available, and a control host that has it.
    available: Option<(u64, Arc<str>)>,
    /// Time at which a configuration was asked for that has not arrived yet.
    asked: Option<Duration>,
}

impl ConfigFetch {
    /// Records that the control host `from` has a version. Returns the host to ask now, if any.
    pub fn record_available(
        &mut self,
        now: Duration,
        known: u64,
        version: u64,
        from: &Arc<str>,
    ) -> Option<Arc<str>> {
        if version <= known {
            return None;
        }
        // After a timeout any other control host is a better source than the one that was asked.
        if self.is_overdue(now) || self.available.as_ref().is_none_or(|a| a.0 < version) {
            self.available = Some((version, from.clone()));
        }
        let waits = self.asked.is_some() && !self.is_overdue(now);
        (!waits).then(|| {
            self.asked = Some(now);
            from.clone()
        })
    }

    /// Records that a configuration has arrived, after which the version `known` is active. Returns
    /// the host to ask for a newer one, if any.
    pub fn record_arrival(&mut self, now: Duration, known: u64) -> Option<Arc<str>> {
        self.asked = None;
        let (_, source) = self.available.take_if(|a| a.0 > known)?;
        self.asked = Some(now);
        Some(source)
    }

    fn is_overdue(&self, now: Duration) -> bool {
        self.asked.is_some_and(|asked| now.saturating_sub(asked) >= FETCH_TIMEOUT)
    }
}

/// Directories of other hosts that differ from the one of this control host.
#[derive(Debug, Default)]
pub struct DirectorySync {
    /// Time since which the directory of each host differs, or was last sent to it.
    differs_since: sorted::SortedMap<Arc<str>, Duration>,
}

impl DirectorySync {
    /// Whether to send the whole directory to a host that has announced itself. `same` tells whether
    /// its directory is the same as the one here, `rank` how many control hosts come before this one.
    pub fn is_due(&mut self, now: Duration, host: &Arc<str>, rank: usize, same: bool) -> bool {
        if same {
            self.differs_since.remove(host);
            return false;
        }
        self.differs_since.retain(|_, since| now.saturating_sub(*since) < RETENTION);
        let since = self.differs_since.entry_or(host.clone(), || now);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = MIN_DIFFERENCE_TIME + RANK_DELAY.saturating_mul(rank);
        let due = now.saturating_sub(*since) >= wait;
        if due {
            *since = now;
        }
        due
    }
}

/// Number of control hosts that come before `own` in the order in which they serve `host`. The order
/// differs from host to host, so that the control hosts share the work.
pub fn rank(host: &str, own: &str, controls: &[Arc<str>]) -> usize {
    let weight = |control: &str| {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(host.as_bytes());
        hasher.update(control.as_bytes());
        (hasher.digest(), control.to_string())
    };
    let own_weight = weight(own);
    controls.iter().filter(|c| &***c != host && weight(c) < own_weight).count()
}

//! Decides who sends the configuration and the directory to whom. Free of I/O.
//!
//! Designed for a fleet of hundreds of hosts with several control hosts, all of which learn of every
//! change: configurations in quick succession, with thousands of routes, and many hosts or endpoints
//! that start or leave at the same moment. If every control host sent every change to every host,
//! the links of the entries would be full for seconds, and the newest configuration would wait
//! behind outdated ones. Instead, a host learns which version is available and fetches the newest
//! one from one control host, and one control host at a time sends it the directory.

use crate::sorted;
use std::cmp;
use std::sync::Arc;
use std::time::Duration;

/// A configuration that was asked for and has not arrived after this long is asked for again, from
/// another control host that has it. An accepted change is to be in force within 2 s, also if two
/// control hosts in turn do not answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Least time from one request for a configuration to the next, so that versions in quick succession
/// are skipped.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// A directory that differs for less than this is not sent: the changes are usually under way.
const MIN_DIFFERENCE_TIME: Duration = Duration::from_millis(350);
/// Time by which each further control host waits longer before it sends the directory.
const RANK_DELAY: Duration = Duration::from_millis(450);
/// Number of control hosts that tell a host at once of a new version. It learns of it from the others
/// when it announces itself.
const INFORMERS: usize = 2;
/// Time after which a host that no longer announces itself is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// Fetching of the newest configuration by one host.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// Newest version that is known to be available.
    newest: u64,
    /// Control hosts that have the newest version.
    sources: Vec<Source>,
    /// Time at which a configuration was asked for that has not arrived yet.
    asked: Option<Duration>,
    /// Time at which a configuration was last asked for.
    last_asked: Option<Duration>,
    /// Whether the next one must not depend on the active one.
    whole: bool,
    /// Version that was active after the last arrival.
    arrived: u64,
}

/// Request for the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Control host to ask.
    pub source: Arc<str>,
    /// Whether to ask for a document that can be decoded without the active one.
    pub whole: bool,
}

/// Control host that has the newest version.
#[derive(Debug)]
struct Source {
    host: Arc<str>,
    /// Time at which it last said that it has the version.
    heard: Duration,
    /// Time at which it was last asked for the version.
    asked: Option<Duration>,
}

impl ConfigFetch {
    /// Records that the control host `from` has a version, while `known` is active here. Returns the
    /// request to send now, if any.
    pub fn record_available(
        &mut self,
        now: Duration,
        known: u64,
        version: u64,
        from: &Arc<str>,
    ) -> Option<Fetch> {
        if version > self.newest {
            self.newest = version;
            self.sources.clear();
        }
        if version == self.newest && version > known {
            match self.sources.iter_mut().find(|s| s.host == *from) {
                Some(source) => source.heard = now,
                None => self.sources.push(Source { host: from.clone(), heard: now, asked: None }),
            }
        }
        self.next_source(now, known)
    }

    /// Records that a configuration has arrived, after which the version `known` is active. Returns
    /// the request for a newer one, if any.
    pub fn record_arrival(&mut self, now: Duration, known: u64) -> Option<Fetch> {
        // A late answer brings nothing new, and the next one is still under way.
        if known > self.arrived {
            (self.arrived, self.asked, self.whole) = (known, None, false);
        }
        self.next_source(now, known)
    }

    /// Records that a configuration has arrived that cannot be decoded, while `known` is active.
    /// Returns the request for a whole one, if any.
    pub fn record_unusable(&mut self, now: Duration, known: u64) -> Option<Fetch> {
        if !self.whole {
            (self.whole, self.asked) = (true, None);
        }
        self.next_source(now, known)
    }

    /// Returns the request for a configuration that is available and that nobody has been asked for,
    /// or that has not arrived in time.
    pub fn next_source(&mut self, now: Duration, known: u64) -> Option<Fetch> {
        if !self.is_newer_available(known) {
            (self.asked, self.sources) = (None, Vec::new());
            return None;
        }
        if self.asked.is_some_and(|asked| now.saturating_sub(asked) < FETCH_TIMEOUT) {
            return None;
        }
        if self.last_asked.is_some_and(|asked| now.saturating_sub(asked) < MIN_FETCH_INTERVAL) {
            return None;
        }
        // One that was asked in vain may be unreachable, even if it still announces the version.
        let order = |s: &&mut Source| (s.asked, cmp::Reverse(s.heard));
        let source = self.sources.iter_mut().min_by_key(order)?;
        (source.asked, self.asked, self.last_asked) = (Some(now), Some(now), Some(now));
        Some(Fetch { source: source.host.clone(), whole: self.whole })
    }

    /// Whether a version newer than `known` is available.
    pub fn is_newer_available(&self, known: u64) -> bool {
        self.newest > known
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
    let own_weight = weight(host, own);
    controls.iter().filter(|c| &***c != host && weight(host, c) < own_weight).count()
}

/// Whether the control host `own` is one of those that tell `host` at once of a new version.
/// `controls` are the links and failure domains of the control hosts. One of the own failure domain
/// comes first, and the others share the hosts.
pub fn is_informed_by(
    host: &str,
    domain: &str,
    own: &str,
    controls: &[(Arc<str>, Arc<str>)],
) -> bool {
    let Some(own) = controls.iter().find(|(control, _)| **control == *own) else {
        return true;
    };
    let own_order = order(host, domain, own);
    let before = |c: &&(Arc<str>, Arc<str>)| *c.0 != *host && order(host, domain, c) < own_order;
    controls.iter().filter(before).count() < INFORMERS
}

/// Place of a control host in the order in which they tell a host of a new version.
fn order<'a>(
    host: &str,
    domain: &str,
    (control, control_domain): &'a (Arc<str>, Arc<str>),
) -> (bool, (u64, &'a str)) {
    (**control_domain != *domain, weight(host, control))
}

/// Place of a control host in the order that differs from host to host.
fn weight<'a>(host: &str, control: &'a str) -> (u64, &'a str) {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(host.as_bytes());
    hasher.update(control.as_bytes());
    (hasher.digest(), control)
}

//! Decides how often hosts are dialed that do not answer. Free of I/O.
//!
//! Designed for the loss of power at all hosts: a host that starts before the others is to reach each
//! of them within 150 ms after it comes up, without a flood of packets while hundreds are down.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Interval between dials of a host that does not answer, while few hosts are dialed.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest interval between dials of a host.
const MAX_INTERVAL: Duration = Duration::from_millis(400);
/// Hosts that are dialed at `MIN_INTERVAL`. At 10 packets of 60 bytes a second each, that is 5 KB a
/// second; control traffic may take 8 KB. An entry dials the control hosts and a few store hosts.
const MAX_FAST_DIALS: usize = 8;

/// Connections that are being opened by one process. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Dials {
    count: Arc<AtomicUsize>,
}

/// Counts one connection that is being opened until it is dropped.
#[derive(Debug)]
pub struct Dialing(Arc<AtomicUsize>);

impl Dials {
    /// Counts a connection that is being opened.
    #[must_use]
    pub fn begin(&self) -> Dialing {
        self.count.fetch_add(1, Ordering::Relaxed);
        Dialing(self.count.clone())
    }

    /// Time from one dial of a host to the next. It grows with the number of hosts that do not
    /// answer.
    pub fn interval(&self) -> Duration {
        let hosts = self.count.load(Ordering::Relaxed);
        let groups = u32::try_from(hosts.div_ceil(MAX_FAST_DIALS).max(1)).unwrap_or(u32::MAX);
        MIN_INTERVAL.saturating_mul(groups).min(MAX_INTERVAL)
    }

    /// Whether so many hosts do not answer that each is dialed as rarely as possible.
    pub fn is_slow(&self) -> bool {
        self.interval() == MAX_INTERVAL
    }
}

impl Drop for Dialing {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

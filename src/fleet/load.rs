//! Requests that run at endpoints, as far as the hosts report them; free of I/O.
//!
//! Answers the load pattern of several hosts that send to the same endpoints at the same moment:
//! without reports each would fill the endpoint that looks free to it.

use crate::fleet::frame;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Age above which a report no longer counts. Hosts with running requests repeat their report
/// several times within it.
const STALE: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
struct Report {
    load: frame::Load,
    heard: Duration,
}

/// Requests of this host and of others.
#[derive(Debug, Default)]
pub struct Loads {
    own: sorted::SortedMap<Arc<str>, u32>,
    others: sorted::SortedMap<Arc<str>, Report>,
}

/// Requests that run at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// Requests of this host.
    pub own: u32,
    /// Online requests of other hosts.
    pub online: u32,
    /// Items of batch jobs that other hosts run.
    pub batch: u32,
}

impl Loads {
    /// Counts one more request of this host.
    pub fn start(&mut self, endpoint: &Arc<str>) {
        *self.own.entry_or(endpoint.clone(), || 0) += 1;
    }

    /// Counts one request of this host less.
    pub fn end(&mut self, endpoint: &Arc<str>) {
        if let Some(count) = self.own.get_mut(endpoint) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(endpoint);
            }
        }
    }

    /// Takes the report of another host; an older one changes nothing.
    pub fn note(&mut self, now: Duration, from: &Arc<str>, load: frame::Load) {
        let known = self.others.get(from).map(|r| (r.load.born, r.load.seq));
        if known.is_none_or(|known| known < (load.born, load.seq)) {
            self.others.insert(from.clone(), Report { load, heard: now });
        }
    }

    /// Requests at an endpoint.
    pub fn running(&self, now: Duration, endpoint: &str) -> Running {
        let own = self.own.get(endpoint).copied().unwrap_or(0);
        let mut running = Running { own, ..Running::default() };
        for report in self.others.values() {
            if now.saturating_sub(report.heard) > STALE {
                continue;
            }
            let found = report.load.running.binary_search_by(|(id, _)| (**id).cmp(endpoint));
            let Ok(at) = found else { continue };
            let count = report.load.running[at].1;
            match report.load.batch {
                true => running.batch += count,
                false => running.online += count,
            }
        }
        running
    }

    /// Requests of this host by endpoint.
    pub fn own(&self) -> Vec<(Arc<str>, u32)> {
        self.own.iter().map(|(id, count)| (id.clone(), *count)).collect()
    }
}

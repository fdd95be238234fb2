//! Directory of hosts and endpoints, free of I/O.
//!
//! Every record orders itself, so that copies on several hosts agree however their updates travel:
//! a later start (`born`) replaces an earlier one, and within one start a higher sequence number
//! replaces a lower one. The directory is soft state: after a restart the records come back with
//! the next heartbeats.

use crate::fleet::settings;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;
use std::hash::Hash;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Takes requests.
    Ready,
    /// Was ready when it was last heard of, which is long ago. It is tried when no other endpoint
    /// is left: it may have lost only the control hosts.
    Silent,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Has left, or another endpoint has taken its address.
    Gone,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the endpoint; an id may come back after a restart.
    pub id: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time; 0 if it does not say.
    pub start_time: u64,
    /// Number of the last registration since that start.
    pub seq: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub phase: Phase,
}

/// What a host says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: Arc<str>,
    /// Address for connections between hosts.
    pub link: Arc<str>,
    /// Role of its process.
    pub role: settings::Role,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Start of the process in milliseconds of Unix time.
    pub start_time: u64,
    /// Number of the announcement since that start.
    pub seq: u64,
    /// Whether nothing was heard of it for a long time.
    pub silent: bool,
}

/// Time without any registration after which a control host counts an endpoint or host as silent,
/// and time after which a record that is silent or gone is dropped. Far above the heartbeats, so
/// that a short cut between a host and the control hosts changes nothing.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without a registration after which a host counts as absent.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

#[derive(Clone, Debug)]
struct Record<T> {
    value: T,
    updated: Duration,
}

/// Hosts and endpoints that are known here.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: sorted::SortedMap<Arc<str>, Record<Endpoint>>,
    hosts: sorted::SortedMap<Arc<str>, Record<Host>>,
}

/// Copy of a directory's records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Endpoints, also those that are gone.
    pub endpoints: Vec<Endpoint>,
    /// Hosts.
    pub hosts: Vec<Host>,
}

impl Directory {
    /// Takes a registration of an endpoint. Returns whether anything but its number changed.
    pub fn register_endpoint(&mut self, now: Duration, mut next: Endpoint) -> bool {
        if self.is_superseded(&next) {
            next.phase = Phase::Gone;
        }
        let changed = match self.endpoints.get_mut(&next.id) {
            Some(record) => {
                let known = &record.value;
                let (old, new) = ((known.start_time, known.seq), (next.start_time, next.seq));
                // An endpoint does not come back after it has left, unless it was restarted.
                let left = known.phase == Phase::Gone && known.start_time == next.start_time;
                if new < old || left {
                    return false;
                }
                let changed = Endpoint { seq: known.seq, ..next.clone() } != *known;
                *record = Record { value: next.clone(), updated: now };
                changed
            }
            None => {
                let record = Record { value: next.clone(), updated: now };
                self.endpoints.insert(next.id.clone(), record);
                true
            }
        };
        if next.phase != Phase::Gone {
            self.mark_superseded(&next);
        }
        changed
    }

    /// Whether an endpoint that started later has the address.
    fn is_superseded(&self, next: &Endpoint) -> bool {
        self.endpoints.values().any(|r| {
            let other = &r.value;
            other.id != next.id
                && other.address == next.address
                && other.start_time > next.start_time
        })
    }

    fn mark_superseded(&mut self, next: &Endpoint) {
        for (_, record) in self.endpoints.iter_mut() {
            let other = &mut record.value;
            if other.id != next.id
                && other.address == next.address
                && other.start_time <= next.start_time
            {
                other.phase = Phase::Gone;
            }
        }
    }

    /// Marks an endpoint as gone. `born` names the start that the registration is about, if known.
    /// Returns the changed record.
    pub fn deregister_endpoint(
        &mut self,
        now: Duration,
        id: &str,
        start_time: Option<u64>,
    ) -> Option<Endpoint> {
        let record = self.endpoints.get_mut(id)?;
        if start_time.is_some_and(|start_time| start_time < record.value.start_time) {
            return None;
        }
        record.value.phase = Phase::Gone;
        record.updated = now;
        Some(record.value.clone())
    }

    /// Takes a registration of a host. Returns whether anything changed.
    pub fn register_host(&mut self, now: Duration, next: Host) -> bool {
        match self.hosts.get_mut(&next.link) {
            // Any other start counts as later: the time of day may have been set back meanwhile.
            Some(Record { value: known, .. })
                if known.start_time == next.start_time && next.seq < known.seq =>
            {
                false
            }
            Some(record) => {
                let changed = Host { seq: record.value.seq, ..next.clone() } != record.value;
                *record = Record { value: next, updated: now };
                changed
            }
            None => {
                self.hosts.insert(next.link.clone(), Record { value: next, updated: now });
                true
            }
        }
    }

    /// Takes records from another directory. Returns those that changed something here.
    pub fn merge(&mut self, now: Duration, records: Records) -> Records {
        let mut changed = Records::default();
        for endpoint in records.endpoints {
            if self.merge_endpoint(now, &endpoint) {
                changed.endpoints.push(endpoint);
            }
        }
        for host in records.hosts {
            if self.is_newer(&host) && self.register_host(now, host.clone()) {
                changed.hosts.push(host);
            }
        }
        changed
    }

    /// Whether the copy of a host's record says more than what is known here.
    fn is_newer(&self, copy: &Host) -> bool {
        let Some(known) = self.hosts.get(&copy.link).map(|r| &r.value) else {
            // A silent host that is not known here was dropped already.
            return !copy.silent;
        };
        match copy.silent {
            true => copy.start_time == known.start_time && copy.seq >= known.seq,
            false => (copy.start_time, copy.seq) > (known.start_time, known.seq),
        }
    }

    /// Takes a copy of an endpoint's record, which is no sign of life if it is known already.
    fn merge_endpoint(&mut self, now: Duration, copy: &Endpoint) -> bool {
        let known = self.endpoints.get_mut(&copy.id);
        if copy.phase == Phase::Silent {
            // A silent endpoint that is not known here was dropped already.
            let Some(record) = known else { return false };
            let same = record.value.start_time == copy.start_time && copy.seq >= record.value.seq;
            if same && record.value.phase == Phase::Ready {
                *record = Record { value: copy.clone(), updated: now };
                return true;
            }
            return false;
        }
        if let Some(known) = known.map(|r| &r.value) {
            if copy.start_time == known.start_time && copy.phase == Phase::Gone {
                let changed = known.phase != Phase::Gone;
                return changed
                    && self.deregister_endpoint(now, &copy.id, Some(copy.start_time)).is_some();
            }
            if (copy.start_time, copy.seq) <= (known.start_time, known.seq) {
                return false;
            }
        }
        self.register_endpoint(now, copy.clone())
    }

    /// Marks what nothing was heard of for a long time, except the host `own`. Only control hosts
    /// hear heartbeats, so only they may decide this. Returns what has changed.
    pub fn mark_silent(&mut self, now: Duration, own: &str) -> Records {
        let mut changed = Records::default();
        let quiet = |updated: Duration| now.saturating_sub(updated) >= RECORD_TIMEOUT;
        for (_, record) in self.endpoints.iter_mut().filter(|(_, r)| quiet(r.updated)) {
            let phase = match record.value.phase {
                Phase::Ready => Phase::Silent,
                Phase::Draining => Phase::Gone,
                Phase::Silent | Phase::Gone => continue,
            };
            record.value.phase = phase;
            record.updated = now;
            changed.endpoints.push(record.value.clone());
        }
        let hosts = self.hosts.iter_mut().filter(|(link, _)| &***link != own);
        for (_, record) in hosts.filter(|(_, r)| quiet(r.updated) && !r.value.silent) {
            record.value.silent = true;
            record.updated = now;
            changed.hosts.push(record.value.clone());
        }
        changed
    }

    /// Drops what has been silent or gone for a long time.
    pub fn remove_expired(&mut self, now: Duration) {
        let old = |updated: Duration| now.saturating_sub(updated) >= RECORD_TIMEOUT;
        self.endpoints.retain(|_, r| {
            !(old(r.updated) && matches!(r.value.phase, Phase::Silent | Phase::Gone))
        });
        self.hosts.retain(|_, r| !(old(r.updated) && r.value.silent));
    }

    /// Every record.
    pub fn records(&self) -> Records {
        Records {
            endpoints: self.endpoints.values().map(|r| r.value.clone()).collect(),
            hosts: self.hosts.values().map(|r| r.value.clone()).collect(),
        }
    }

    /// Digest of the records in use, without the numbers of registrations that changed nothing. What
    /// is silent or gone is dropped by each host at its own time.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        let used = |e: &&Endpoint| !matches!(e.phase, Phase::Silent | Phase::Gone);
        for endpoint in self.endpoints().filter(used) {
            Endpoint { seq: 0, ..endpoint.clone() }.hash(&mut hasher);
        }
        for host in self.hosts.values().map(|r| &r.value).filter(|h| !h.silent) {
            Host { seq: 0, ..host.clone() }.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Endpoints that may take requests of a service.
    pub fn available_endpoints<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let takes = |e: &Endpoint| matches!(e.phase, Phase::Ready | Phase::Silent);
        let ready = move |e: &&Endpoint| &*e.service == service && takes(e);
        self.endpoints.values().map(|r| &r.value).filter(ready)
    }

    /// Every endpoint, also those that are gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|r| &r.value)
    }

    /// Endpoint with the given id.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|r| &r.value)
    }

    /// Hosts of a role.
    pub fn hosts(&self, role: settings::Role) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(|r| &r.value).filter(move |h| h.role == role && !h.silent)
    }

    /// Hosts of a role that were heard from lately.
    pub fn present_hosts(
        &self,
        now: Duration,
        role: settings::Role,
    ) -> impl Iterator<Item = &Host> {
        let recent = move |r: &&Record<Host>| now.saturating_sub(r.updated) < PRESENCE_TIMEOUT;
        self.hosts.values().filter(recent).map(|r| &r.value).filter(move |h| h.role == role)
    }

    /// Host with the given name; the one that started last if several have had it.
    pub fn host(&self, name: &str) -> Option<&Host> {
        let named = self.hosts.values().map(|r| &r.value).filter(|h| &*h.name == name);
        named.max_by_key(|h| h.start_time)
    }
}

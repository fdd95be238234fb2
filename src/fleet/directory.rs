//! Directory of hosts and endpoints. Free of I/O.
//!
//! Each record carries its version, so that the copies on several hosts converge in whatever order
//! updates arrive: a later `start_time` replaces an earlier one, and within one start a higher
//! sequence number replaces a lower one. The directory is soft state: after a restart, the next
//! heartbeats restore the records.
//!
//! An endpoint also says in its answers that it is leaving. A host that gets such an answer marks the
//! endpoint in its own directory until it starts again. The mark is not part of what hosts tell each
//! other, so that directories with and without it have the same digest.

use crate::fleet::settings;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;
use std::hash::Hash;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Was ready at its last heartbeat, which is long ago. It is tried when no other endpoint is
    /// left, since it may have lost contact only with the control hosts.
    Silent,
    /// Finishes running requests and accepts no new ones.
    Draining,
    /// Has deregistered, or an endpoint that started later uses its address.
    Gone,
    /// Said in an answer to this host that it is leaving, whatever its registrations say since.
    #[serde(skip)]
    Leaving,
}

/// Registration of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the endpoint; it may use the same id after a restart.
    pub id: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time; 0 if not stated.
    pub start_time: u64,
    /// Sequence number of the registration since that start.
    pub seq: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Build of its software. A stream goes on only at the build that began it.
    pub build: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub phase: Phase,
}

impl Endpoint {
    /// Whether requests may be sent to it, if only because no other endpoint is left.
    pub fn is_available(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::Silent)
    }
}

/// Registration of a host.
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
    /// Sequence number of the announcement since that start.
    pub seq: u64,
    /// Id of its replica; `None` for an entry, or while the data folder cannot be opened.
    pub replica: Option<u64>,
    /// Whether its last announcement is long ago.
    pub silent: bool,
}

/// Time without a registration after which a control host marks an endpoint or host as silent, and
/// after which every host drops a record that is silent or gone. Far longer than the heartbeat
/// interval, so that a short network failure between a host and the control hosts has no effect.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);
/// A host counts as present for this long after its last registration.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Shortest time between two reports of unusable statements of one endpoint that it is leaving.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Record<T> {
    value: T,
    /// When this host last received or changed the record.
    updated: Duration,
}

/// Record of an endpoint.
#[derive(Clone, Debug)]
struct EndpointRecord {
    /// The endpoint as this host sees it.
    endpoint: Endpoint,
    /// Phase in the directories of all hosts, which differs if the endpoint is marked as leaving.
    registered: Phase,
    /// When this host last received or changed the registration.
    updated: Duration,
    /// When an unusable statement that it is leaving was last reported.
    reported: Option<Duration>,
}

impl EndpointRecord {
    fn new(now: Duration, endpoint: Endpoint) -> EndpointRecord {
        let registered = endpoint.phase;
        EndpointRecord { endpoint, registered, updated: now, reported: None }
    }

    /// The endpoint as the directories of all hosts hold it.
    fn registration(&self) -> Endpoint {
        Endpoint { phase: self.registered, ..self.endpoint.clone() }
    }

    /// Replaces the registered phase. Returns how the mark as leaving has ended, if it has.
    fn set_phase(&mut self, now: Duration, phase: Phase) -> Option<EndedMark> {
        let next = Endpoint { phase, ..self.endpoint.clone() };
        self.replace(now, next)
    }

    /// Replaces the registration. Returns how the mark as leaving has ended, if it has.
    fn replace(&mut self, now: Duration, next: Endpoint) -> Option<EndedMark> {
        let cause = match self.endpoint.phase {
            Phase::Leaving if next.start_time != self.endpoint.start_time => "it started again",
            Phase::Leaving if next.phase == Phase::Gone => "it has left",
            Phase::Leaving => {
                (self.registered, self.updated) = (next.phase, now);
                self.endpoint = Endpoint { phase: Phase::Leaving, ..next };
                return None;
            }
            _ => "",
        };
        let reported = self.reported;
        let next = EndpointRecord { reported, ..EndpointRecord::new(now, next) };
        std::mem::replace(self, next).ended_mark(cause)
    }

    fn ended_mark(self, cause: &'static str) -> Option<EndedMark> {
        let Endpoint { id, start_time, phase, .. } = self.endpoint;
        (phase == Phase::Leaving).then_some(EndedMark { id, start_time, cause })
    }
}

/// End of the mark of an endpoint as leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedMark {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Start of the endpoint to which the mark belonged.
    pub start_time: u64,
    /// What ended it.
    pub cause: &'static str,
}

/// Hosts and endpoints known to this host.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: sorted::SortedMap<Arc<str>, EndpointRecord>,
    hosts: sorted::SortedMap<Arc<str>, Record<Host>>,
    /// Marks that have ended since they were last taken.
    ended_marks: Vec<EndedMark>,
    /// Last start of each endpoint that has deregistered, and when this host learned of it. The
    /// registration of that start may arrive later, or not at all.
    departed: sorted::SortedMap<Arc<str>, (u64, Duration)>,
}

/// Records of a directory, as sent to other hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Endpoints, including those that are gone.
    pub endpoints: Vec<Endpoint>,
    /// Hosts.
    pub hosts: Vec<Host>,
}

impl Directory {
    /// Stores the registration of an endpoint. Returns whether anything but its sequence number
    /// changed.
    pub fn register_endpoint(&mut self, now: Duration, mut next: Endpoint) -> bool {
        if self.departed.get(&next.id).is_some_and(|(start, _)| next.start_time <= *start) {
            return false;
        }
        if self.is_superseded(&next) {
            next.phase = Phase::Gone;
        }
        let changed = match self.endpoints.get_mut(&next.id) {
            Some(record) => {
                let known = record.registration();
                let (old, new) = ((known.start_time, known.seq), (next.start_time, next.seq));
                // An endpoint that is gone returns only with a later start.
                let left = known.phase == Phase::Gone && known.start_time == next.start_time;
                if new < old || left {
                    return false;
                }
                let changed = Endpoint { seq: known.seq, ..next.clone() } != known;
                self.ended_marks.extend(record.replace(now, next.clone()));
                changed
            }
            None => {
                self.endpoints.insert(next.id.clone(), EndpointRecord::new(now, next.clone()));
                true
            }
        };
        if next.phase != Phase::Gone {
            self.mark_superseded(&next);
        }
        changed
    }

    /// Whether an endpoint that started later uses the same address.
    fn is_superseded(&self, next: &Endpoint) -> bool {
        self.endpoints.values().any(|r| {
            let other = &r.endpoint;
            other.id != next.id
                && other.address == next.address
                && other.start_time > next.start_time
        })
    }

    /// Marks the other endpoints with the same address as gone unless they started later.
    fn mark_superseded(&mut self, next: &Endpoint) {
        for (_, record) in self.endpoints.iter_mut() {
            let other = &record.endpoint;
            if other.id != next.id
                && other.address == next.address
                && other.start_time <= next.start_time
            {
                let updated = record.updated;
                self.ended_marks.extend(record.set_phase(updated, Phase::Gone));
            }
        }
    }

    /// Marks an endpoint as gone. `start_time` is the start that the deregistration refers to, if
    /// known; an endpoint that has started again since is not affected. Returns the changed record.
    pub fn deregister_endpoint(
        &mut self,
        now: Duration,
        id: &str,
        start_time: Option<u64>,
    ) -> Option<Endpoint> {
        if let Some(start_time) = start_time {
            self.record_departure(now, id, start_time);
        }
        let record = self.endpoints.get_mut(id)?;
        if start_time.is_some_and(|start_time| start_time < record.endpoint.start_time) {
            return None;
        }
        self.ended_marks.extend(record.set_phase(now, Phase::Gone));
        Some(record.endpoint.clone())
    }

    /// Keeps the deregistration of an endpoint, whose registration may be under way.
    fn record_departure(&mut self, now: Duration, id: &str, start_time: u64) {
        self.departed.retain(|_, (_, at)| now.saturating_sub(*at) < RECORD_TIMEOUT);
        let known = self.departed.get(id).map_or(0, |(start, _)| *start);
        self.departed.insert(id.into(), (known.max(start_time), now));
    }

    /// Marks an endpoint as leaving because an answer of its start `start_time` said so. Returns the
    /// time since its registration was last received or changed; `None` if it is already known that
    /// this start accepts no requests, or another start is known.
    pub fn mark_leaving(&mut self, now: Duration, id: &str, start_time: u64) -> Option<Duration> {
        let record = self.endpoints.get_mut(id)?;
        let accepts = record.endpoint.start_time == start_time
            && matches!(record.endpoint.phase, Phase::Ready | Phase::Silent | Phase::Draining);
        accepts.then(|| {
            record.endpoint.phase = Phase::Leaving;
            now.saturating_sub(record.updated)
        })
    }

    /// Whether to report that an endpoint sent an unusable statement that it is leaving: at most
    /// once per `REPORT_INTERVAL`, and only for endpoints in the directory.
    pub fn try_take_report(&mut self, now: Duration, id: &str) -> bool {
        let Some(record) = self.endpoints.get_mut(id) else { return false };
        let is_due = record.reported.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        if is_due {
            record.reported = Some(now);
        }
        is_due
    }

    /// Returns the marks as leaving that have ended since the last call.
    pub fn take_ended_marks(&mut self) -> Vec<EndedMark> {
        std::mem::take(&mut self.ended_marks)
    }

    /// Stores the registration of a host. Returns whether anything but its sequence number changed.
    pub fn register_host(&mut self, now: Duration, next: Host) -> bool {
        match self.hosts.get_mut(&next.link) {
            // Any other start time counts as later, even an earlier one: the clock of the host
            // may have been set back before its restart.
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

    /// Merges records of another directory. Returns those that changed something here.
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

    /// Whether the copy of a host's record is newer than the record known here.
    fn is_newer(&self, copy: &Host) -> bool {
        let Some(known) = self.hosts.get(&copy.link).map(|r| &r.value) else {
            // A silent host that is unknown here has already been dropped.
            return !copy.silent;
        };
        match copy.silent {
            true => copy.start_time == known.start_time && copy.seq >= known.seq,
            false => (copy.start_time, copy.seq) > (known.start_time, known.seq),
        }
    }

    /// Merges a copy of an endpoint's record. A copy that is not newer than the known record does
    /// not count as a heartbeat.
    fn merge_endpoint(&mut self, now: Duration, copy: &Endpoint) -> bool {
        let known = self.endpoints.get_mut(&copy.id);
        if copy.phase == Phase::Silent {
            // A silent endpoint that is unknown here has already been dropped.
            let Some(record) = known else { return false };
            let known = &record.endpoint;
            let same = known.start_time == copy.start_time && copy.seq >= known.seq;
            if same && record.registered == Phase::Ready {
                self.ended_marks.extend(record.replace(now, copy.clone()));
                return true;
            }
            return false;
        }
        if let Some(known) = known.map(|r| r.registration()) {
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

    /// Marks endpoints and hosts without a recent registration as silent, and draining endpoints
    /// as gone; skips the host `own`. Only control hosts receive heartbeats, so only they may call
    /// this. Returns the changed records.
    pub fn mark_silent(&mut self, now: Duration, own: &str) -> Records {
        let mut changed = Records::default();
        let is_overdue = |updated: Duration| now.saturating_sub(updated) >= RECORD_TIMEOUT;
        for (_, record) in self.endpoints.iter_mut().filter(|(_, r)| is_overdue(r.updated)) {
            let phase = match record.registered {
                Phase::Ready => Phase::Silent,
                Phase::Draining => Phase::Gone,
                Phase::Silent | Phase::Gone | Phase::Leaving => continue,
            };
            self.ended_marks.extend(record.set_phase(now, phase));
            changed.endpoints.push(record.registration());
        }
        let hosts = self.hosts.iter_mut().filter(|(link, _)| &***link != own);
        for (_, record) in hosts.filter(|(_, r)| is_overdue(r.updated) && !r.value.silent) {
            record.value.silent = true;
            record.updated = now;
            changed.hosts.push(record.value.clone());
        }
        changed
    }

    /// Drops records that have been silent or gone for a long time.
    pub fn remove_expired(&mut self, now: Duration) {
        let is_old = |updated: Duration| now.saturating_sub(updated) >= RECORD_TIMEOUT;
        let is_expired = |r: &EndpointRecord| {
            is_old(r.updated) && matches!(r.registered, Phase::Silent | Phase::Gone)
        };
        let expired = self.endpoints.values().filter(|r| is_expired(r)).cloned();
        let ended = expired.filter_map(|r| r.ended_mark("its record has expired"));
        self.ended_marks.extend(ended);
        self.endpoints.retain(|_, r| !is_expired(r));
        self.hosts.retain(|_, r| !(is_old(r.updated) && r.value.silent));
    }

    /// Copy of all records.
    pub fn records(&self) -> Records {
        Records {
            endpoints: self.endpoints.values().map(EndpointRecord::registration).collect(),
            hosts: self.hosts.values().map(|r| r.value.clone()).collect(),
        }
    }

    /// Digest of the records in use. Leaves out sequence numbers, which change with every
    /// heartbeat, silent or gone records, which each host drops at a different time, and marks as
    /// leaving, which only the host that set them has.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        let used = |r: &&EndpointRecord| !matches!(r.registered, Phase::Silent | Phase::Gone);
        for record in self.endpoints.values().filter(used) {
            Endpoint { seq: 0, ..record.registration() }.hash(&mut hasher);
        }
        for host in self.hosts.values().map(|r| &r.value).filter(|h| !h.silent) {
            Host { seq: 0, ..host.clone() }.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Endpoints that may receive requests of a service, including silent ones.
    pub fn available_endpoints<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints().filter(move |e| &*e.service == service && e.is_available())
    }

    /// Endpoints of a service that are marked as leaving.
    pub fn leaving_endpoints<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints().filter(move |e| &*e.service == service && e.phase == Phase::Leaving)
    }

    /// All endpoints, including those that are gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|r| &r.endpoint)
    }

    /// Endpoint with the given id.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|r| &r.endpoint)
    }

    /// Hosts with the given role that are not silent.
    pub fn hosts(&self, role: settings::Role) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(|r| &r.value).filter(move |h| h.role == role && !h.silent)
    }

    /// Hosts with the given role that have registered recently.
    pub fn present_hosts(
        &self,
        now: Duration,
        role: settings::Role,
    ) -> impl Iterator<Item = &Host> {
        let recent = move |r: &&Record<Host>| now.saturating_sub(r.updated) < PRESENCE_TIMEOUT;
        self.hosts.values().filter(recent).map(|r| &r.value).filter(move |h| h.role == role)
    }

    /// Host with the given name; if several have used it, the one that started last.
    pub fn host(&self, name: &str) -> Option<&Host> {
        let named = self.hosts.values().map(|r| &r.value).filter(|h| &*h.name == name);
        named.max_by_key(|h| h.start_time)
    }
}

//! Runs of items that the leader of the job group hands to other store hosts. Free of I/O.
//!
//! Designed for a fleet whose items write more events than one host can read, in bursts of jobs and
//! steps of online requests that stop and start many items. The leader decides which item runs at
//! which endpoint. A store host in the failure domain of the endpoint carries the run out and
//! reports its output in batches. So what the leader has to do for an item grows neither with the
//! number of its events nor with the endpoints, and events do not cross failure domains one by one.
//!
//! A host carries runs out under a lease, which a report renews once the leader has acknowledged
//! it. The lease counts from the time at which the report was sent, so a host that was paused, or
//! whose messages were late, stops its runs before the leader starts them elsewhere. Without an
//! acknowledged report it starts none.
//!
//! Messages may be lost. Every message of the leader names all runs of the host, every report all
//! runs that are carried out, and updates of a run are numbered. A run that one side does not know,
//! or of which updates are missing, is interrupted and goes on after its last event.

use crate::fleet::ledger;
use crate::fleet::progress;
use crate::fleet::quarantine;
use crate::fleet::runner;
use crate::sorted;
use crate::wire;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between messages to a host with nothing new, and between its reports.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which updates of runs are collected before they are reported. The leader stores output
/// about once a second.
pub const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Time after the sending of a report until which its acknowledgement permits a host to carry out
/// runs.
pub const LEASE: Duration = Duration::from_millis(1_500);
/// Time after the end of a lease after which the leader starts the runs elsewhere: what it takes to
/// end them and to close their connections.
const LEASE_MARGIN: Duration = Duration::from_millis(150);
/// A host gets no further runs if its last report is older. It reports several times within this
/// period.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(700);
/// Most hosts of one failure domain that get runs.
const MAX_DOMAIN_HOSTS: usize = 4;
/// Bytes of updates after which they are reported at once.
const MAX_UPDATE_BYTES: usize = 256 << 10;
/// Most bytes of runs to start in one message, a quarter of the longest frame. A single run may be
/// longer. Other messages to the host wait behind it.
const MAX_START_BYTES: usize = wire::MAX_FRAME / 4;
/// Bytes of an encoded order besides its texts, about.
const ORDER_OVERHEAD: usize = 256;
/// Most reports of which a host keeps the time of sending. Older ones cannot renew a lease.
const MAX_KEPT_REPORTS: usize = 64;

/// Leadership in which orders are given. Orders and reports of another one are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Start of the leader's process in milliseconds of Unix time.
    pub start_time: u64,
    /// Number of the leadership since that start.
    pub epoch: u64,
}

impl Term {
    /// Whether this term replaces `other` of the same host. The clock of the host may have been set
    /// back before its restart, so any other start counts as newer.
    fn replaces(self, other: Term) -> bool {
        self.start_time != other.start_time || self.epoch > other.epoch
    }
}

/// Run of an item that a host is to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the run.
    pub number: u64,
    /// Item that runs.
    pub key: progress::ItemKey,
    /// Request of the item.
    pub item: Arc<ledger::Item>,
    /// Host name of the item's route.
    pub host: Arc<str>,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time.
    pub start_time: u64,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Number of the last event that has arrived in earlier runs.
    pub last_event: Option<u64>,
    /// Version of the endpoint's limit that the leader knows; 0 for none.
    pub limit_version: u64,
    /// Quarantined parts of its prompt whose trial the run is.
    pub trial: quarantine::Trial,
}

impl Order {
    /// About the bytes of the encoded order.
    fn size(&self) -> usize {
        let item = &self.item;
        let headers: usize = item.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        let names = self.key.0.len() + self.key.1.len() + self.host.len() + self.endpoint.len();
        ORDER_OVERHEAD + names + item.id.len() + item.path.len() + headers + item.body.len()
    }
}

/// Number of a report. A host begins a new session, with new numbers, when it has lost contact with
/// the leader or was restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// Random number of the session.
    pub session: u64,
    /// Sequence number of the report in the session, from 1.
    pub seq: u64,
}

/// Message of the leader to a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Leadership in which the orders are given.
    pub term: Term,
    /// Sequence number of the message.
    pub seq: u64,
    /// Last report that has arrived, if any.
    pub heard: Option<ReportId>,
    /// Runs to start. Some of `live` may follow with the next message.
    pub start: Vec<Order>,
    /// Numbers of all runs that the host is to carry out, sorted. It stops any others.
    pub live: Vec<u64>,
}

/// Updates of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Updates {
    /// Number of the run.
    pub number: u64,
    /// Number of updates of the run in earlier reports.
    pub after: u64,
    /// New updates.
    pub updates: Vec<runner::RunUpdate>,
}

/// Message of a host to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reports {
    /// Leadership in which the runs were ordered.
    pub term: Term,
    /// Number of the report.
    pub id: ReportId,
    /// Sequence number of the last orders that have arrived.
    pub acked: u64,
    /// Updates since the last report.
    pub updates: Vec<Updates>,
    /// Numbers of the runs that are carried out, sorted.
    pub running: Vec<u64>,
    /// Whether the host is stopping. It starts no further runs, also of orders under way.
    pub stopping: bool,
}

/// Run that was handed to a host.
#[derive(Debug)]
struct DelegatedRun {
    key: progress::ItemKey,
    /// Sequence number of the orders that start the run.
    ordered: u64,
    /// Number of updates that have arrived.
    updates: u64,
    /// Sequence number of the orders that stop the run, if it is to stop. Its last updates may still
    /// arrive.
    stopped: Option<u64>,
}

/// Host that may get runs.
#[derive(Debug)]
struct RunHost {
    domain: Arc<str>,
    /// Whether it may get further runs.
    eligible: bool,
    /// Whether it has reported that it is stopping.
    stopping: bool,
    /// Sequence number of the last orders.
    seq: u64,
    /// Last report that has arrived, and when it arrived.
    heard: Option<(ReportId, Duration)>,
    runs: sorted::SortedMap<u64, DelegatedRun>,
    start: Vec<Order>,
    /// Time of the last orders.
    sent: Option<Duration>,
    /// Whether runs have to be started or stopped.
    changed: bool,
}

impl RunHost {
    fn new(domain: Arc<str>) -> RunHost {
        RunHost {
            domain,
            eligible: true,
            stopping: false,
            seq: 0,
            heard: None,
            runs: sorted::SortedMap::new(),
            start: Vec::new(),
            sent: None,
            changed: false,
        }
    }

    fn is_in_contact(&self, now: Duration) -> bool {
        self.heard.is_some_and(|(_, at)| now.saturating_sub(at) <= CONTACT_TIMEOUT)
    }

    /// Takes the runs to start with the orders that were just numbered. Those that are too many bytes
    /// are left for the next orders, which are due at once.
    fn take_starts(&mut self) -> Vec<Order> {
        let mut bytes = 0;
        let fits = |order: &&Order| {
            bytes += order.size();
            bytes <= MAX_START_BYTES
        };
        let count = self.start.iter().take_while(fits).count().max(1);
        let rest = self.start.split_off(count.min(self.start.len()));
        for order in &rest {
            if let Some(run) = self.runs.get_mut(&order.number) {
                run.ordered = self.seq + 1;
            }
        }
        self.changed = !rest.is_empty();
        std::mem::replace(&mut self.start, rest)
    }

    fn live_runs(&self) -> usize {
        self.runs.values().filter(|r| r.stopped.is_none()).count()
    }
}

/// Runs that a leader has handed to other hosts.
#[derive(Debug, Default)]
pub struct Delegator {
    term: Term,
    hosts: sorted::SortedMap<Arc<str>, RunHost>,
}

fn interrupted(key: progress::ItemKey, number: u64, cause: &str) -> runner::Report {
    let ended = runner::RunEnd::Interrupted { cause: cause.into(), at_fault: false };
    runner::Report { key, number, update: runner::RunUpdate::Ended(ended) }
}

/// End of a run whose orders were under way when its host said that it is stopping.
fn not_run(key: progress::ItemKey, number: u64) -> runner::Report {
    let cause = "its host is stopping".into();
    let ended = runner::RunEnd::NotRun { cause, at_fault: false };
    runner::Report { key, number, update: runner::RunUpdate::Ended(ended) }
}

impl Delegator {
    /// Creates the state at the start of a leadership.
    pub fn new(term: Term) -> Delegator {
        Delegator { term, hosts: sorted::SortedMap::new() }
    }

    /// Sets the hosts that may get runs, as pairs of link address and failure domain. A host that is
    /// left out gets no further runs.
    pub fn set_hosts(&mut self, mut hosts: Vec<(Arc<str>, Arc<str>)>) {
        hosts.sort_by(|a, b| (&a.1, &a.0).cmp(&(&b.1, &b.0)));
        let chosen: Vec<_> = hosts
            .chunk_by(|a, b| a.1 == b.1)
            .flat_map(|hosts| &hosts[..hosts.len().min(MAX_DOMAIN_HOSTS)])
            .collect();
        self.hosts.retain(|link, host| {
            host.eligible = chosen.iter().any(|(chosen, _)| chosen == link);
            host.eligible || !host.runs.is_empty()
        });
        for (link, domain) in chosen {
            self.hosts.entry_or(link.clone(), || RunHost::new(domain.clone()));
        }
    }

    /// Chooses the host for a run at an endpoint in `domain`: the one there with the fewest runs.
    /// `None` if the leader has to carry the run out itself.
    pub fn choose(&self, now: Duration, domain: &str) -> Option<Arc<str>> {
        let is_usable =
            |h: &RunHost| h.eligible && !h.stopping && *h.domain == *domain && h.is_in_contact(now);
        let near = self.hosts.iter().filter(|(_, h)| is_usable(h));
        near.min_by_key(|(_, h)| h.live_runs()).map(|(link, _)| link.clone())
    }

    /// Hands a run to a host.
    pub fn start(&mut self, host: &Arc<str>, order: Order) {
        let Some(host) = self.hosts.get_mut(host) else { return };
        let (key, ordered) = (order.key.clone(), host.seq + 1);
        let run = DelegatedRun { key, ordered, updates: 0, stopped: None };
        host.runs.insert(order.number, run);
        host.start.push(order);
        host.changed = true;
    }

    /// Stops a run. Does nothing if the run has ended.
    pub fn stop(&mut self, number: u64) {
        for host in self.hosts.iter_mut().map(|(_, host)| host) {
            let seq = host.seq + 1;
            let Some(run) = host.runs.get_mut(&number) else { continue };
            run.stopped.get_or_insert(seq);
            host.start.retain(|order| order.number != number);
            host.changed = true;
        }
    }

    /// Number of runs that other hosts carry out.
    pub fn run_count(&self) -> usize {
        self.hosts.values().map(RunHost::live_runs).sum()
    }

    /// Messages that are due. Hosts without runs stay in contact only if `has_items` tells that items
    /// wait or run.
    pub fn due_orders(&mut self, now: Duration, has_items: bool) -> Vec<(Arc<str>, Orders)> {
        let mut due = Vec::new();
        for (link, host) in self.hosts.iter_mut() {
            let is_beat_due = host.sent.is_none_or(|sent| now >= sent + BEAT_INTERVAL);
            let is_contact_needed = has_items || !host.runs.is_empty();
            let is_due = host.changed || is_beat_due && is_contact_needed;
            if !is_due {
                continue;
            }
            (host.seq, host.sent) = (host.seq + 1, Some(now));
            let start = host.take_starts();
            let live = host.runs.iter().filter(|(_, r)| r.stopped.is_none());
            let orders = Orders {
                term: self.term,
                seq: host.seq,
                heard: host.heard.map(|(id, _)| id),
                start,
                live: live.map(|(number, _)| *number).collect(),
            };
            due.push((link.clone(), orders));
        }
        due
    }

    /// Handles a report. Returns the updates of runs, in order.
    pub fn record_reports(
        &mut self,
        now: Duration,
        from: &Arc<str>,
        reports: Reports,
    ) -> Vec<runner::Report> {
        let Some(host) = self.hosts.get_mut(from) else { return Vec::new() };
        let id = reports.id;
        let is_known =
            |(known, _): (ReportId, Duration)| known.session == id.session && id.seq <= known.seq;
        if reports.term != self.term || host.heard.is_some_and(is_known) {
            return Vec::new();
        }
        host.heard = Some((id, now));
        if reports.stopping && !host.stopping {
            host.start.clear();
            // The host waits for the answer before it ends.
            host.changed = true;
        }
        host.stopping = reports.stopping;
        let mut news = Vec::new();
        for Updates { number, after, updates } in reports.updates {
            let Some(run) = host.runs.get_mut(&number) else { continue };
            let key = run.key.clone();
            if after != run.updates {
                news.push(interrupted(key, number, "a report is missing"));
                host.runs.remove(&number);
                host.changed = true;
                continue;
            }
            run.updates += updates.len() as u64;
            let ended = matches!(updates.last(), Some(runner::RunUpdate::Ended(_)));
            let updates = updates.into_iter();
            news.extend(updates.map(|update| runner::Report { key: key.clone(), number, update }));
            if ended {
                host.runs.remove(&number);
            }
        }
        host.runs.retain(|number, run| {
            let is_under_way = reports.acked < run.ordered && !reports.stopping;
            if is_under_way || reports.running.binary_search(number).is_ok() {
                return true;
            }
            match run.stopped {
                Some(seq) => reports.acked < seq && !reports.stopping,
                None => {
                    let key = run.key.clone();
                    news.push(match reports.stopping {
                        true if reports.acked < run.ordered => not_run(key, *number),
                        true => interrupted(key, *number, "its host is stopping"),
                        false => interrupted(key, *number, "its host lost the run"),
                    });
                    false
                }
            }
        });
        news
    }

    /// Gives up all runs at the end of a leadership. Returns the messages that tell the hosts.
    pub fn end_all(&mut self, now: Duration) -> Vec<(Arc<str>, Orders)> {
        for host in self.hosts.iter_mut().map(|(_, host)| host) {
            (host.runs, host.changed) = (sorted::SortedMap::new(), true);
            host.start.clear();
        }
        self.due_orders(now, false)
    }

    /// Interrupts the runs of hosts whose leases have ended. Returns their updates, and the hosts.
    pub fn expire(&mut self, now: Duration) -> (Vec<runner::Report>, Vec<Arc<str>>) {
        let (mut news, mut lost) = (Vec::new(), Vec::new());
        for (link, host) in self.hosts.iter_mut() {
            let held = |(_, at): (ReportId, Duration)| now < at + LEASE + LEASE_MARGIN;
            if host.runs.is_empty() || host.heard.is_some_and(held) {
                continue;
            }
            lost.push(link.clone());
            host.start.clear();
            for (number, run) in std::mem::take(&mut host.runs).iter() {
                if run.stopped.is_none() {
                    news.push(interrupted(run.key.clone(), *number, "its host is silent"));
                }
            }
        }
        (news, lost)
    }
}

/// Run that this host carries out for a leader.
#[derive(Debug, Default)]
struct CarriedRun {
    /// Number of updates in earlier reports.
    reported: u64,
    updates: Vec<runner::RunUpdate>,
    ended: bool,
}

/// Runs that this host carries out for one leader.
#[derive(Debug)]
struct Assignment {
    term: Term,
    /// Sequence number of the last orders.
    acked: u64,
    /// Last report.
    last_report: ReportId,
    /// Sequence number and time of sending of the latest reports.
    sent: VecDeque<(u64, Duration)>,
    /// Time until which the leader has permitted runs.
    lease_end: Duration,
    /// Time of the last orders.
    contact: Duration,
    runs: sorted::SortedMap<u64, CarriedRun>,
    /// Time since which updates wait to be reported, and their bytes.
    pending: Option<(Duration, usize)>,
    /// Whether to report at once.
    urgent: bool,
    /// Sequence number of the first report that says that this host is stopping.
    stop_report: Option<u64>,
    /// Whether the leader has heard that report.
    stop_heard: bool,
}

impl Assignment {
    fn new(now: Duration, term: Term, session: u64) -> Assignment {
        Assignment {
            term,
            acked: 0,
            last_report: ReportId { session, seq: 0 },
            sent: VecDeque::new(),
            lease_end: now,
            contact: now,
            runs: sorted::SortedMap::new(),
            pending: None,
            urgent: true,
            stop_report: None,
            stop_heard: false,
        }
    }

    /// Ends the runs for which `ends` is true. Returns their numbers.
    fn end_runs(&mut self, ends: impl Fn(u64) -> bool) -> Vec<u64> {
        let mut ended = Vec::new();
        for (number, run) in self.runs.iter_mut().filter(|(number, _)| ends(**number)) {
            if !run.ended {
                (run.ended, self.urgent) = (true, true);
                ended.push(*number);
            }
        }
        ended
    }

    fn report(&mut self, now: Duration, stopping: bool) -> Reports {
        (self.pending, self.urgent) = (None, false);
        self.last_report.seq += 1;
        if stopping {
            self.stop_report.get_or_insert(self.last_report.seq);
        }
        if self.sent.len() >= MAX_KEPT_REPORTS {
            self.sent.pop_front();
        }
        self.sent.push_back((self.last_report.seq, now));
        let mut updates = Vec::new();
        for (number, run) in self.runs.iter_mut().filter(|(_, r)| !r.updates.is_empty()) {
            let news = std::mem::take(&mut run.updates);
            let after = run.reported;
            run.reported += news.len() as u64;
            updates.push(Updates { number: *number, after, updates: news });
        }
        self.runs.retain(|_, run| !run.ended);
        Reports {
            term: self.term,
            id: self.last_report,
            acked: self.acked,
            updates,
            running: self.runs.keys().copied().collect(),
            stopping,
        }
    }
}

/// Run of a leader: the leader's link address and the number of the run.
pub type RunKey = (Arc<str>, u64);

/// What to do after orders have arrived.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Runs to stop, before others are started.
    pub stop: Vec<RunKey>,
    /// Runs to start.
    pub start: Vec<Order>,
}

/// Runs that this host carries out for the leaders of the job group. There is more than one leader
/// only for a short time.
#[derive(Debug, Default)]
pub struct Delegate {
    leaders: sorted::SortedMap<Arc<str>, Assignment>,
    /// Whether this host stops, so that it starts no further runs.
    stopping: bool,
}

impl Delegate {
    /// Whether a leader is in contact with this host.
    pub fn is_active(&self) -> bool {
        !self.leaders.is_empty()
    }

    /// Whether every leader in contact knows that this host is stopping.
    pub fn is_stop_heard(&self) -> bool {
        self.leaders.values().all(|assignment| assignment.stop_heard)
    }

    /// Handles a message of a leader. `session` is a random number for the case that a session
    /// begins.
    pub fn record_orders(
        &mut self,
        now: Duration,
        from: &Arc<str>,
        orders: Orders,
        session: u64,
    ) -> Changes {
        let mut changes = Changes::default();
        if !self.leaders.contains(from) {
            // Another leader has replaced the former one, and may run the same items elsewhere.
            for (leader, assignment) in self.leaders.iter_mut() {
                let ended = assignment.end_runs(|_| true).into_iter();
                changes.stop.extend(ended.map(|number| (leader.clone(), number)));
            }
        }
        let new = || Assignment::new(now, orders.term, session);
        let assignment = self.leaders.entry_or(from.clone(), new);
        let run_key = |number: u64| (from.clone(), number);
        if orders.term != assignment.term {
            if !orders.term.replaces(assignment.term) {
                return changes;
            }
            changes.stop.extend(assignment.end_runs(|_| true).into_iter().map(run_key));
            *assignment = Assignment::new(now, orders.term, session);
        }
        if orders.seq <= assignment.acked {
            return changes;
        }
        (assignment.acked, assignment.contact) = (orders.seq, now);
        let heard = orders.heard.filter(|heard| heard.session == assignment.last_report.session);
        let mut sent = assignment.sent.iter();
        if let Some((_, at)) = sent.find(|(seq, _)| heard.is_some_and(|h| h.seq == *seq)) {
            assignment.lease_end = assignment.lease_end.max(*at + LEASE);
        }
        assignment.stop_heard |=
            heard.is_some_and(|h| assignment.stop_report.is_some_and(|seq| h.seq >= seq));
        let ended = assignment.end_runs(|number| orders.live.binary_search(&number).is_err());
        changes.stop.extend(ended.into_iter().map(run_key));
        if now < assignment.lease_end && !self.stopping {
            for order in &orders.start {
                assignment.runs.insert(order.number, CarriedRun::default());
            }
            changes.start = orders.start;
        }
        changes
    }

    /// Records an update of a run.
    pub fn record_update(&mut self, now: Duration, run: &RunKey, update: runner::RunUpdate) {
        let Some(assignment) = self.leaders.get_mut(&run.0) else { return };
        let Some(run) = assignment.runs.get_mut(&run.1).filter(|r| !r.ended) else { return };
        let bytes = match &update {
            runner::RunUpdate::Event(data, _) => data.len(),
            runner::RunUpdate::Silent
            | runner::RunUpdate::Leaving(..)
            | runner::RunUpdate::Limit(_) => 0,
            runner::RunUpdate::Ended(_) => {
                run.ended = true;
                0
            }
        };
        run.updates.push(update);
        let (since, known) = assignment.pending.unwrap_or((now, 0));
        assignment.pending = Some((since, known + bytes));
    }

    /// Reports that are due.
    pub fn due_reports(&mut self, now: Duration) -> Vec<(Arc<str>, Reports)> {
        let is_due = |assignment: &Assignment| {
            let last = assignment.sent.back().map(|(_, at)| *at);
            let has_updates = assignment.pending.is_some_and(|(since, bytes)| {
                now >= since + REPORT_DELAY || bytes >= MAX_UPDATE_BYTES
            });
            assignment.urgent || has_updates || last.is_none_or(|at| now >= at + BEAT_INTERVAL)
        };
        let due = self.leaders.iter_mut().filter(|(_, assignment)| is_due(assignment));
        let stopping = self.stopping;
        due.map(|(leader, a)| (leader.clone(), a.report(now, stopping))).collect()
    }

    /// Ends all runs, since this host stops. Its reports say so from now on.
    pub fn end_all(&mut self) {
        self.stopping = true;
        for (_, assignment) in self.leaders.iter_mut() {
            assignment.end_runs(|_| true);
            assignment.urgent = true;
        }
    }

    /// Ends leases that have passed, and forgets leaders without contact. Returns the runs to stop.
    pub fn expire(&mut self, now: Duration) -> Vec<RunKey> {
        let mut stop = Vec::new();
        self.leaders.retain(|leader, assignment| {
            if now >= assignment.lease_end {
                let ended = assignment.end_runs(|_| true);
                stop.extend(ended.into_iter().map(|number| (leader.clone(), number)));
            }
            now < assignment.contact + LEASE
        });
        stop
    }
}

//! Finds out which endpoints crashed under requests, and reports what broke there to the control
//! group. Also reports which suspected causes were answered.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::control_state;
use crate::fleet::forward;
use crate::fleet::groups;
use crate::fleet::ledger;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::prompt;
use crate::fleet::protocol;
use crate::fleet::quarantine;
use crate::fleet::settings;
use crate::sorted;
use crate::supervisor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time;

/// Events of one run after which its request counts as answered. What crashes endpoints does so when
/// they begin to write.
pub(super) const ANSWERED_EVENTS: u32 = 4;
/// Time within which an endpoint that has not crashed accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before an endpoint that accepts connections is checked again. Its listener may outlive the
/// connections that broke.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Interval between reports. Those of a crash that breaks many requests travel together.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a report to be committed; it is repeated after that.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the grant of a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which a cause is reported as answered again if it is still suspected.
const CLEAR_RETRY: Duration = Duration::from_secs(2);
/// Longest delay of such a report for each entry, so that not all of them report the same cause.
const CLEAR_DELAY: Duration = Duration::from_millis(8);
/// Time for which further requests of a crash are reported.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Most crashes that a host remembers.
const MAX_CRASHES: usize = 64;
/// Most requests that a host remembers of a crash.
const MAX_REQUESTS: usize = 16;

/// Start of an endpoint: its id and its start time.
type Incarnation = (Arc<str>, u64);

/// Endpoint at which answers broke off.
#[derive(Clone, Debug)]
struct Suspect {
    since: Duration,
    /// The same moment in milliseconds of Unix time.
    broken_at: u64,
    /// Whether it is known to have crashed. Otherwise this is being checked.
    crashed: bool,
    requests: Vec<Arc<quarantine::RequestCauses>>,
    /// Requests that have been reported.
    reported: usize,
}

/// Endpoints at which answers broke off recently.
#[derive(Debug, Default)]
pub struct Suspects {
    endpoints: sorted::SortedMap<Incarnation, Suspect>,
}

/// What follows from a broken answer.
#[derive(Debug, PartialEq, Eq)]
enum Added {
    /// The endpoint has to be checked.
    Check,
    /// It crashed. These causes had not broken there before.
    Crashed(Vec<quarantine::Cause>),
    /// Nothing yet.
    Pending,
}

impl Suspects {
    fn add(
        &mut self,
        (now, broken_at): (Duration, u64),
        key: &Incarnation,
        request: &Arc<quarantine::RequestCauses>,
    ) -> Added {
        self.endpoints.retain(|_, s| !s.crashed || now.saturating_sub(s.since) < CRASH_RETENTION);
        let Some(suspect) = self.endpoints.get_mut(key) else {
            if self.endpoints.len() >= MAX_CRASHES {
                return Added::Pending;
            }
            let requests = vec![request.clone()];
            let suspect = Suspect { since: now, broken_at, crashed: false, requests, reported: 0 };
            self.endpoints.insert(key.clone(), suspect);
            return Added::Check;
        };
        if suspect.requests.len() >= MAX_REQUESTS || suspect.requests.contains(request) {
            return Added::Pending;
        }
        let is_new = |c: &quarantine::Cause| !suspect.requests.iter().any(|r| r.causes.contains(c));
        let causes = request.causes.iter().copied().filter(is_new).collect();
        suspect.requests.push(request.clone());
        if suspect.crashed { Added::Crashed(causes) } else { Added::Pending }
    }

    /// Records whether an endpoint has crashed. Returns the causes that broke there, without repeats.
    fn conclude(&mut self, key: &Incarnation, crashed: bool) -> Vec<quarantine::Cause> {
        if !crashed {
            self.endpoints.remove(key);
            return Vec::new();
        }
        let Some(suspect) = self.endpoints.get_mut(key) else { return Vec::new() };
        suspect.crashed = true;
        let causes = suspect.requests.iter().flat_map(|r| r.causes.clone());
        let mut causes: Vec<quarantine::Cause> = causes.collect();
        causes.sort_unstable();
        causes.dedup();
        causes
    }

    /// Crashes with requests that have not been reported, and how many requests each has.
    fn unreported(&self) -> Vec<(quarantine::Crash, usize)> {
        let crashes =
            self.endpoints.iter().filter(|(_, s)| s.crashed && s.requests.len() > s.reported);
        let crash = |((endpoint, start_time), s): (&Incarnation, &Suspect)| {
            let requests = s.requests.iter().map(|r| (**r).clone()).collect();
            let (endpoint, start_time, broken_at) = (endpoint.clone(), *start_time, s.broken_at);
            let crash = quarantine::Crash { endpoint, start_time, broken_at, requests };
            (crash, s.requests.len())
        };
        crashes.map(crash).collect()
    }

    fn mark_reported(&mut self, crashes: &[(quarantine::Crash, usize)]) {
        for (crash, count) in crashes {
            if let Some(s) = self.endpoints.get_mut(&(crash.endpoint.clone(), crash.start_time)) {
                s.reported = s.reported.max(*count);
            }
        }
    }
}

/// Whether an endpoint accepts a connection.
pub(super) async fn accepts(address: SocketAddr) -> bool {
    matches!(time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}

impl node::Node {
    fn read_prompt(&self, list: Option<&str>) -> Result<prompt::Prompt, protocol::Invalid> {
        list.map_or_else(|| Ok(prompt::Prompt::default()), |l| self.view.protocol().parse_prompt(l))
    }

    /// What about an item may crash endpoints: the shared parts of its prompt. A malformed list has
    /// none, since the endpoint may accept it.
    pub(super) fn item_causes(&self, item: &ledger::Item) -> Arc<quarantine::RequestCauses> {
        let name = &self.view.protocol().headers().prompt;
        let found = item.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_str()));
        // The entry that took the item has logged a malformed list.
        let prompt = self.read_prompt(found.map(|(_, value)| &**value)).unwrap_or_default();
        Arc::new(quarantine::RequestCauses::new(&prompt, None))
    }

    /// Prompt in the headers of a request. A malformed list is logged and has no parts, since the
    /// endpoint may accept it.
    pub(super) fn request_prompt(
        &self,
        headers: &hyper::HeaderMap,
        request: &str,
    ) -> prompt::Prompt {
        let name = &self.view.protocol().headers().prompt;
        self.read_prompt(prompt::header_text(headers, name)).unwrap_or_else(|problem| {
            self.metrics.count_part("unreadable");
            event!(self.log, events::PROMPT_UNREADABLE; "request" => request, "error" => %problem);
            prompt::Prompt::default()
        })
    }

    /// What about a request may crash endpoints: the shared parts of its prompt, and the request itself.
    pub(super) fn request_causes(
        &self,
        request: &forward::Request,
    ) -> Arc<quarantine::RequestCauses> {
        let prompt = self.request_prompt(&request.head.headers, &request.id);
        let digest = self.request_digest(request);
        Arc::new(quarantine::RequestCauses::new(&prompt, Some(digest)))
    }

    /// Hash of the path, the caller and the body of a request. Those that come again have the same.
    /// The caller is its workspace if it has one: keys may change meanwhile and are not kept.
    fn request_digest(&self, request: &forward::Request) -> u64 {
        let headers = &request.head.headers;
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        let mut add = |text: &[u8]| {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text);
        };
        add(request.head.method.as_str().as_bytes());
        add(request.head.uri.path_and_query().map_or("", |p| p.as_str()).as_bytes());
        headers.get_all(hyper::header::HOST).iter().for_each(|value| add(value.as_bytes()));
        add(b"");
        match &request.caller {
            Some(caller) => add(caller.workspace.as_bytes()),
            None => {
                let name = &self.view.protocol().headers().caller;
                headers.get_all(name).iter().for_each(|value| add(value.as_bytes()));
            }
        }
        add(b"");
        add(&request.body);
        hasher.digest()
    }

    /// Records that an endpoint answers a request.
    pub(super) fn record_answer(&self, request: &quarantine::RequestCauses) {
        if !request.causes.is_empty() {
            self.view.quarantine(|q| q.evidence().record_answer(self.now(), &request.causes));
        }
    }

    /// Records that the answer of an endpoint broke off before it brought much. If the endpoint has
    /// crashed, this is reported.
    pub(super) fn record_broken_request(
        &self,
        endpoint: (&Arc<str>, u64, SocketAddr),
        causes: &Arc<quarantine::RequestCauses>,
        request: &Arc<str>,
    ) {
        if causes.causes.is_empty() {
            return;
        }
        let (id, start_time, address) = endpoint;
        let key = (id.clone(), start_time);
        let moment = (self.now(), node::unix_time(0));
        match peer::lock(&self.suspects).add(moment, &key, causes) {
            Added::Check => {
                let (node, request) = (self.clone(), request.clone());
                tokio::spawn(async move { node.check_endpoint(key, address, &request).await });
            }
            Added::Crashed(causes) => {
                self.view.quarantine(|q| q.evidence().record_crash(self.now(), &causes));
            }
            Added::Pending => {}
        }
    }

    /// Finds out whether an endpoint has crashed at which an answer broke off.
    async fn check_endpoint(&self, key: Incarnation, address: SocketAddr, request: &str) {
        let mut crashed = !accepts(address).await;
        if !crashed {
            time::sleep(CHECK_PAUSE).await;
            crashed = !accepts(address).await;
        }
        if !crashed {
            // It may be a later start at the same address.
            crashed = self.view.directory(|d| {
                d.endpoints().any(|e| {
                    e.address == address
                        && (&e.id, e.start_time) != (&key.0, key.1)
                        && e.is_available()
                })
            });
        }
        let causes = peer::lock(&self.suspects).conclude(&key, crashed);
        if crashed {
            self.metrics.count_part("crash");
            event!(self.log, events::ENDPOINT_CRASHED; "endpoint" => &*key.0, "born" => key.1,
                "broken" => request, "causes" => format_causes(&causes));
            self.view.quarantine(|q| q.evidence().record_crash(self.now(), &causes));
        }
    }

    /// Asks the control group for the trial of a quarantined cause. Each one is granted to one request
    /// of the fleet.
    pub(super) async fn ask_for_trial(
        &self,
        hold: quarantine::Hold,
        number: u32,
        request: &str,
    ) -> bool {
        let command = control_state::Command::GrantTrial { cause: hold.cause, number };
        let reply = self.groups.propose(groups::CONTROL, &command, TRIAL_TIMEOUT).await;
        let granted = matches!(reply, Ok(ledger::Reply::Done));
        if granted {
            self.metrics.count_part("trial");
            event!(self.log, events::TRIAL_GRANTED; "request" => request,
                "cause" => %hold.cause, "number" => number,
                "crashes" => hold.crashes);
        }
        granted
    }

    /// Reports crashes, with the causes that were not answered lately. A crash without any speaks
    /// against the causes of others at the same time.
    async fn report_crashes(&self) {
        let mut crashes = peer::lock(&self.suspects).unreported();
        if crashes.is_empty() {
            return;
        }
        let now = self.now();
        let all = crashes.clone();
        self.view.quarantine(|q| {
            for request in crashes.iter_mut().flat_map(|(crash, _)| &mut crash.requests) {
                request.causes.retain(|cause| q.evidence().answered(now, *cause).is_none());
            }
        });
        let named: Vec<quarantine::Crash> = crashes
            .into_iter()
            .map(|(mut crash, _)| {
                crash.requests.retain(|r| !r.causes.is_empty());
                crash
            })
            .collect();
        let command = control_state::Command::RecordCrashes(named);
        let reply = self.groups.propose(groups::CONTROL, &command, REPORT_TIMEOUT).await;
        if let Err(failure) = reply {
            event!(self.log, events::CRASHES_UNREPORTED; "crashes" => all.len(),
                "error" => ?failure);
            return;
        }
        peer::lock(&self.suspects).mark_reported(&all);
    }

    /// Reports suspected causes that were answered. `due` holds the time for each of them.
    async fn report_answers(&self, due: &mut sorted::SortedMap<quarantine::Cause, Duration>) {
        let now = self.now();
        let answered = self.view.quarantine(|q| q.clearable(now));
        due.retain(|cause, _| answered.binary_search(cause).is_ok());
        if answered.is_empty() {
            return;
        }
        let entries = self.view.directory(|d| d.hosts(settings::Role::Entry).count());
        let longest = CLEAR_DELAY.saturating_mul(u32::try_from(entries).unwrap_or(u32::MAX));
        for cause in &answered {
            due.entry_or(*cause, || now + longest.mul_f64(rand::random::<f64>()));
        }
        let causes: Vec<quarantine::Cause> =
            due.iter().filter(|(_, at)| **at <= now).map(|(cause, _)| *cause).collect();
        if causes.is_empty() {
            return;
        }
        self.metrics.count_part("cleared");
        event!(self.log, events::CAUSES_ANSWERED; "causes" => format_causes(&causes));
        for cause in &causes {
            due.insert(*cause, now + CLEAR_RETRY);
        }
        let command = control_state::Command::ClearCauses(causes);
        let reply = self.groups.propose(groups::CONTROL, &command, REPORT_TIMEOUT).await;
        if let Err(failure) = reply {
            event!(self.log, events::CRASHES_UNREPORTED; "error" => ?failure);
        }
    }
}

/// Most causes that a log line names.
const MAX_LOGGED_CAUSES: usize = 16;

fn format_causes(causes: &[quarantine::Cause]) -> String {
    let ids = causes.iter().take(MAX_LOGGED_CAUSES).map(|cause| cause.to_string());
    ids.collect::<Vec<String>>().join(",")
}

/// Reports crashes and answered causes as long as the host runs.
pub(super) async fn send_reports(
    node: node::Node,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut ticks = node.timer.subscribe(REPORT_INTERVAL);
    let mut due = sorted::SortedMap::new();
    loop {
        tokio::select! {
            _ = ticks.next() => {}
            () = stop.wait() => return Ok(()),
        }
        node.report_crashes().await;
        node.report_answers(&mut due).await;
    }
}

//! Finds out which endpoints crashed under requests, and reports the prompts that broke there to the
//! control group. Also reports which suspected parts of prompts were answered.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::control_state;
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

/// Events of one run after which its prompt counts as answered. A part that crashes endpoints does so
/// when they begin to write.
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
/// Time after which a part is reported as answered again if it is still suspected.
const CLEAR_RETRY: Duration = Duration::from_secs(2);
/// Longest delay of such a report for each entry, so that not all of them report the same part.
const CLEAR_DELAY: Duration = Duration::from_millis(8);
/// Time for which further prompts of a crash are reported.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Most crashes that a host remembers.
const MAX_CRASHES: usize = 64;
/// Most prompts that a host remembers of a crash.
const MAX_PROMPTS: usize = 16;

/// Start of an endpoint: its id and its start time.
type Incarnation = (Arc<str>, u64);

/// Endpoint at which answers broke off.
#[derive(Clone, Debug)]
struct Suspect {
    since: Duration,
    /// Whether it is known to have crashed. Otherwise this is being checked.
    crashed: bool,
    prompts: Vec<Arc<quarantine::PromptParts>>,
    /// Prompts that have been reported.
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
    /// It crashed. These parts had not broken there before.
    Crashed(Vec<u64>),
    /// Nothing yet.
    Pending,
}

impl Suspects {
    fn add(
        &mut self,
        now: Duration,
        key: &Incarnation,
        prompt: &Arc<quarantine::PromptParts>,
    ) -> Added {
        self.endpoints.retain(|_, s| !s.crashed || now.saturating_sub(s.since) < CRASH_RETENTION);
        let Some(suspect) = self.endpoints.get_mut(key) else {
            if self.endpoints.len() >= MAX_CRASHES {
                return Added::Pending;
            }
            let prompts = vec![prompt.clone()];
            let suspect = Suspect { since: now, crashed: false, prompts, reported: 0 };
            self.endpoints.insert(key.clone(), suspect);
            return Added::Check;
        };
        if suspect.prompts.len() >= MAX_PROMPTS || suspect.prompts.contains(prompt) {
            return Added::Pending;
        }
        let is_new = |part: &u64| !suspect.prompts.iter().any(|p| p.parts.contains(part));
        let parts = prompt.parts.iter().copied().filter(is_new).collect();
        suspect.prompts.push(prompt.clone());
        if suspect.crashed { Added::Crashed(parts) } else { Added::Pending }
    }

    /// Records whether an endpoint has crashed. Returns the parts that broke there, without repeats.
    fn conclude(&mut self, key: &Incarnation, crashed: bool) -> Vec<u64> {
        if !crashed {
            self.endpoints.remove(key);
            return Vec::new();
        }
        let Some(suspect) = self.endpoints.get_mut(key) else { return Vec::new() };
        suspect.crashed = true;
        let mut parts: Vec<u64> = suspect.prompts.iter().flat_map(|p| p.parts.clone()).collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Crashes with prompts that have not been reported, and how many prompts each has.
    fn unreported(&self) -> Vec<(quarantine::Crash, usize)> {
        let crashes =
            self.endpoints.iter().filter(|(_, s)| s.crashed && s.prompts.len() > s.reported);
        let crash = |((endpoint, start_time), s): (&Incarnation, &Suspect)| {
            let prompts = s.prompts.iter().map(|p| (**p).clone()).collect();
            let crash =
                quarantine::Crash { endpoint: endpoint.clone(), start_time: *start_time, prompts };
            (crash, s.prompts.len())
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
async fn accepts(address: SocketAddr) -> bool {
    matches!(time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}

impl node::Node {
    fn read_prompt(
        &self,
        list: Option<&str>,
    ) -> Result<Arc<quarantine::PromptParts>, protocol::Invalid> {
        let Some(list) = list else { return Ok(Arc::default()) };
        Ok(Arc::new(self.view.protocol().parse_prompt(list)?.into()))
    }

    /// Parts of the prompt of an item. A malformed list has none, since the endpoint may accept it.
    pub(super) fn item_prompt(&self, item: &ledger::Item) -> Arc<quarantine::PromptParts> {
        let name = &self.view.protocol().headers().prompt;
        let found = item.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_str()));
        // The entry that took the item has logged a malformed list.
        self.read_prompt(found.map(|(_, value)| &**value)).unwrap_or_default()
    }

    /// Parts of the prompt of a request. A malformed list is logged and has none, since the endpoint
    /// may accept it.
    pub(super) fn request_prompt(
        &self,
        headers: &hyper::HeaderMap,
        request: &str,
    ) -> Arc<quarantine::PromptParts> {
        let name = &self.view.protocol().headers().prompt;
        self.read_prompt(prompt::header_text(headers, name)).unwrap_or_else(|problem| {
            self.metrics.count_part("unreadable");
            event!(self.log, events::PROMPT_UNREADABLE; "request" => request, "error" => %problem);
            Arc::default()
        })
    }

    /// Records that an endpoint answers a prompt.
    pub(super) fn record_prompt_answer(&self, prompt: &quarantine::PromptParts) {
        if !prompt.parts.is_empty() {
            self.view.quarantine(|q| q.evidence().record_answer(self.now(), &prompt.parts));
        }
    }

    /// Records that the answer of an endpoint broke off before it brought much. If the endpoint has
    /// crashed, this is reported.
    pub(super) fn record_broken_prompt(
        &self,
        endpoint: (&Arc<str>, u64, SocketAddr),
        prompt: &Arc<quarantine::PromptParts>,
        request: &Arc<str>,
    ) {
        if prompt.parts.is_empty() {
            return;
        }
        let (id, start_time, address) = endpoint;
        let key = (id.clone(), start_time);
        match peer::lock(&self.suspects).add(self.now(), &key, prompt) {
            Added::Check => {
                let (node, request) = (self.clone(), request.clone());
                tokio::spawn(async move { node.check_endpoint(key, address, &request).await });
            }
            Added::Crashed(parts) => {
                self.view.quarantine(|q| q.evidence().record_crash(self.now(), &parts));
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
        let parts = peer::lock(&self.suspects).conclude(&key, crashed);
        if crashed {
            self.metrics.count_part("crash");
            event!(self.log, events::ENDPOINT_CRASHED; "endpoint" => &*key.0, "born" => key.1,
                "broken" => request, "parts" => format_parts(&parts));
            self.view.quarantine(|q| q.evidence().record_crash(self.now(), &parts));
        }
    }

    /// Asks the control group for the trial of a quarantined part. Each one is granted to one request
    /// of the fleet.
    pub(super) async fn ask_for_trial(
        &self,
        hold: quarantine::Hold,
        number: u32,
        request: &str,
    ) -> bool {
        let command = control_state::Command::GrantTrial { part: hold.part, number };
        let reply = self.groups.propose(groups::CONTROL, &command, TRIAL_TIMEOUT).await;
        let granted = matches!(reply, Ok(ledger::Reply::Done));
        if granted {
            self.metrics.count_part("trial");
            event!(self.log, events::TRIAL_GRANTED; "request" => request,
                "part_id" => format!("{:x}", hold.part), "number" => number,
                "crashes" => hold.crashes);
        }
        granted
    }

    /// Reports crashes whose prompts have parts that were not answered lately.
    async fn report_crashes(&self) {
        let mut crashes = peer::lock(&self.suspects).unreported();
        if crashes.is_empty() {
            return;
        }
        let now = self.now();
        let all = crashes.clone();
        self.view.quarantine(|q| {
            for prompt in crashes.iter_mut().flat_map(|(crash, _)| &mut crash.prompts) {
                prompt.parts.retain(|part| q.evidence().answered(now, *part).is_none());
            }
        });
        let named: Vec<quarantine::Crash> = crashes
            .into_iter()
            .map(|(mut crash, _)| {
                crash.prompts.retain(|p| !p.parts.is_empty());
                crash
            })
            .filter(|crash| !crash.prompts.is_empty())
            .collect();
        if !named.is_empty() {
            let command = control_state::Command::RecordCrashes(named);
            let reply = self.groups.propose(groups::CONTROL, &command, REPORT_TIMEOUT).await;
            if let Err(failure) = reply {
                event!(self.log, events::CRASHES_UNREPORTED; "crashes" => all.len(),
                    "error" => ?failure);
                return;
            }
        }
        peer::lock(&self.suspects).mark_reported(&all);
    }

    /// Reports suspected parts that were answered. `due` holds the time for each of them.
    async fn report_answered_parts(&self, due: &mut sorted::SortedMap<u64, Duration>) {
        let now = self.now();
        let answered = self.view.quarantine(|q| q.clearable(now));
        due.retain(|part, _| answered.binary_search(part).is_ok());
        if answered.is_empty() {
            return;
        }
        let entries = self.view.directory(|d| d.hosts(settings::Role::Entry).count());
        let longest = CLEAR_DELAY.saturating_mul(u32::try_from(entries).unwrap_or(u32::MAX));
        for part in &answered {
            due.entry_or(*part, || now + longest.mul_f64(rand::random::<f64>()));
        }
        let parts: Vec<u64> =
            due.iter().filter(|(_, at)| **at <= now).map(|(part, _)| *part).collect();
        if parts.is_empty() {
            return;
        }
        self.metrics.count_part("cleared");
        event!(self.log, events::PARTS_ANSWERED; "parts" => format_parts(&parts));
        for part in &parts {
            due.insert(*part, now + CLEAR_RETRY);
        }
        let command = control_state::Command::ClearParts(parts);
        let reply = self.groups.propose(groups::CONTROL, &command, REPORT_TIMEOUT).await;
        if let Err(failure) = reply {
            event!(self.log, events::CRASHES_UNREPORTED; "error" => ?failure);
        }
    }
}

/// Most parts that a log line names.
const MAX_LOGGED_PARTS: usize = 16;

fn format_parts(parts: &[u64]) -> String {
    let ids = parts.iter().take(MAX_LOGGED_PARTS).map(|part| format!("{part:x}"));
    ids.collect::<Vec<String>>().join(",")
}

/// Reports crashes and answered parts as long as the host runs.
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
        node.report_answered_parts(&mut due).await;
    }
}

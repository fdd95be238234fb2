//! Finds what crashes endpoints, parts of prompts and whole requests, and decides when requests with
//! it may be sent. Free of I/O.
//!
//! Designed for two load patterns, beside sound requests that run at the same endpoints:
//! - Requests that share one part of their prompts and crash each endpoint that begins to answer them,
//!   at several times a second and through every entry. Sound requests share all other parts.
//! - A single request that comes again through any entry, seconds or minutes apart or several times at
//!   once, and crashes each endpoint that begins to run it.
//!
//! A cause is quarantined for the whole fleet once it occurs in the crashes of [`MIN_CRASHES`] starts
//! of endpoints. Only crashes that no quarantined part explains count, so that a shared first part is
//! not quarantined beside the bad one. A request is narrower than the parts of its prompt: a part is
//! quarantined only if crashes are left that no quarantined request explains. A cause whose answers
//! arrive elsewhere is cleared.
//!
//! [`State`] is replicated by the control group. [`Watch`] is what one host knows of it.

pub mod former;

use crate::fleet::prompt;
use crate::fleet::stored;
use crate::sorted;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Crashes of different starts of endpoints after which a cause is quarantined.
const MIN_CRASHES: usize = 3;
/// Different prompts with a part that must have broken in these crashes. With a single one, the
/// request is the cause.
const MIN_PROMPTS: usize = 2;
/// Crashes that must name a cleared cause before it is suspected again. A cause may become bad, for
/// example with a new build.
const CLEARED_CRASHES: u32 = 8;
/// Most crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Most requests that are remembered of a crash.
const MAX_REQUESTS: usize = 16;
/// Most shared parts that are remembered of a prompt.
const MAX_PARTS: usize = 64;
/// Time for which a host without a confirmed state sends no requests. The control group elects a
/// leader within it after a restart of all hosts.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Crashes that no quarantined request explains after which a part is quarantined. With a single one,
/// an endpoint may have crashed for another reason.
const MIN_PART_CRASHES: usize = 2;
/// Unexplained crashes after which hosts are asked whether a request was answered. Most requests run
/// beside one crash only.
const MIN_SUSPECTED_CRASHES: usize = 2;
/// Most causes that are quarantined, cleared or suspected.
const MAX_LISTED: usize = 256;
/// Pauses before the trials of a quarantined cause. After the last one they stay the same.
const TRIAL_PAUSES: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(5 * 60),
    Duration::from_secs(30 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Time after which a host that was granted no trial asks for one again.
const TRIAL_RETRY: Duration = Duration::from_secs(2);
/// Time for which an answer shows that its request and the parts of its prompt are sound.
const EVIDENCE_TIME: Duration = Duration::from_secs(60);
/// Most causes whose answers a host remembers.
const MAX_EVIDENCE: usize = 4_096;
/// Crashes with a cause, seen by one host, after which its earlier answers no longer count.
const MAX_CONTRARY: u32 = 3;
/// Time for which further crashes do not count as contrary, since many endpoints may fail at once.
const CONTRARY_PAUSE: Duration = Duration::from_secs(1);

/// What may crash endpoints.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Cause {
    /// Part of prompts, by its id.
    #[display("part {_0:x}")]
    Part(u64),
    /// Whole request, by the digest of its path, caller and body.
    #[display("request {_0:x}")]
    Request(u64),
}

/// What about one request or item may crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCauses {
    /// Hash by which requests are told apart.
    pub key: u64,
    /// Shared parts of the prompt in order, then the whole request. Reports leave out those that are
    /// known to be sound.
    pub causes: Vec<Cause>,
}

impl RequestCauses {
    /// Creates the causes of a request with the given digest. An item has none: it is never the cause
    /// by itself.
    pub fn new(prompt: &prompt::Prompt, digest: Option<u64>) -> RequestCauses {
        let parts = prompt.shared_ids().into_iter().take(MAX_PARTS).map(Cause::Part);
        let causes = parts.chain(digest.map(Cause::Request)).collect();
        RequestCauses { key: digest.unwrap_or_else(|| prompt.key()), causes }
    }
}

/// Crash of one start of an endpoint. Several hosts may report it with other prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time; 0 if not stated.
    pub start_time: u64,
    /// Requests that ran there and had brought next to nothing.
    pub requests: Vec<RequestCauses>,
}

impl Crash {
    fn has_cause(&self, cause: Cause) -> bool {
        self.requests.iter().any(|r| r.causes.contains(&cause))
    }

    fn causes(&self) -> Vec<Cause> {
        let mut causes: Vec<Cause> = self.requests.iter().flat_map(|r| r.causes.clone()).collect();
        causes.sort_unstable();
        causes.dedup();
        causes
    }
}

/// Cause that is kept from endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The cause.
    pub cause: Cause,
    /// Crashes of endpoints that it occurred in.
    pub crashes: u32,
    /// Trials that were granted.
    pub trials: u32,
    /// Whether it had been cleared before. Only answers since then clear it again.
    pub relapsed: bool,
}

/// Cause that is known to be sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Cleared {
    cause: Cause,
    /// Unexplained crashes that have named it since.
    crashes: u32,
}

/// Crashes and what follows from them, as replicated by the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Number of changes so far.
    revision: u64,
    /// Recent crashes, the oldest first.
    crashes: VecDeque<Crash>,
    quarantined: VecDeque<Quarantined>,
    cleared: VecDeque<Cleared>,
}

/// What every host has to know of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of changes so far; 0 before the first one.
    pub revision: u64,
    /// Causes that are kept from endpoints, sorted.
    pub quarantined: Vec<Quarantined>,
    /// Causes of unexplained crashes, sorted. A host with an answer to a request with one says so.
    pub suspected: Vec<Cause>,
    /// Whether the state holds all that was committed at some moment since the start of the sender.
    /// A control host that has just started may not know of the last changes.
    pub confirmed: bool,
}

/// What may be the cause of unexplained crashes.
struct Suspect {
    cause: Cause,
    crashes: usize,
    /// Keys of the requests that broke, sorted.
    requests: Vec<u64>,
    /// Largest index among the causes of a request.
    depth: usize,
    /// Crashes in which no request is quarantined.
    unexplained: usize,
}

impl Suspect {
    fn qualifies(&self) -> bool {
        self.crashes >= MIN_CRASHES
            && match self.cause {
                Cause::Part(_) => {
                    self.requests.len() >= MIN_PROMPTS && self.unexplained >= MIN_PART_CRASHES
                }
                Cause::Request(_) => true,
            }
    }

    /// Whether `other` occurs only in requests with this cause, and is the narrower one.
    fn contains(&self, other: &Suspect) -> bool {
        let is_within = other.requests.iter().all(|key| self.requests.binary_search(key).is_ok());
        let rank = |s: &Suspect| (s.requests.len(), std::cmp::Reverse(s.depth), s.cause);
        is_within && rank(other) < rank(self)
    }
}

fn push_bounded<T>(list: &mut VecDeque<T>, value: T, most: usize) {
    if list.len() >= most {
        list.pop_front();
    }
    list.push_back(value);
}

impl State {
    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What every host has to know.
    pub fn summary(&self) -> Summary {
        let mut quarantined: Vec<Quarantined> = self.quarantined.iter().copied().collect();
        quarantined.sort_by_key(|q| q.cause);
        let mut suspected = Vec::new();
        let is_suspected = |cause: &Cause| match cause {
            Cause::Part(_) => !self.is_cleared(*cause),
            Cause::Request(_) => {
                let crashes = self.unexplained().filter(|c| c.has_cause(*cause)).count();
                crashes >= MIN_SUSPECTED_CRASHES
                    && !self.is_cleared(*cause)
                    && !self.is_quarantined(*cause)
            }
        };
        for crash in self.unexplained().rev() {
            suspected.extend(crash.causes().into_iter().filter(is_suspected));
            suspected.sort_unstable();
            suspected.dedup();
            if suspected.len() >= MAX_LISTED {
                break;
            }
        }
        suspected.truncate(MAX_LISTED);
        Summary { revision: self.revision, quarantined, suspected, confirmed: false }
    }

    /// Records the crash of an endpoint, or further requests of a crash that is known.
    pub fn record_crash(&mut self, mut crash: Crash) {
        for request in &mut crash.requests {
            // The whole request comes last.
            let excess = request.causes.len().saturating_sub(MAX_PARTS + 1);
            request.causes.drain(..excess);
        }
        let known = |c: &Crash| (&c.endpoint, c.start_time) == (&crash.endpoint, crash.start_time);
        let at = self.crashes.iter().position(known).unwrap_or_else(|| {
            let empty = Crash { requests: Vec::new(), ..crash.clone() };
            push_bounded(&mut self.crashes, empty, MAX_CRASHES);
            self.crashes.len() - 1
        });
        let Some(record) = self.crashes.get_mut(at) else { return };
        let before = record.causes();
        for request in crash.requests {
            if record.requests.len() < MAX_REQUESTS && !record.requests.contains(&request) {
                record.requests.push(request);
            }
        }
        let mut added = record.causes();
        added.retain(|cause| before.binary_search(cause).is_err());
        if added.is_empty() {
            return;
        }
        self.revision += 1;
        for quarantined in &mut self.quarantined {
            quarantined.crashes += u32::from(added.binary_search(&quarantined.cause).is_ok());
        }
        if !added.iter().any(|cause| self.is_quarantined(*cause)) {
            for cleared in &mut self.cleared {
                cleared.crashes += u32::from(added.binary_search(&cleared.cause).is_ok());
            }
        }
        self.quarantine_causes();
    }

    /// Releases causes that were answered, and takes them out of the recorded crashes. Causes that are
    /// neither quarantined nor suspected are ignored.
    pub fn clear(&mut self, causes: &[Cause]) {
        for cause in causes {
            if !self.is_quarantined(*cause) && !self.crashes.iter().any(|c| c.has_cause(*cause)) {
                continue;
            }
            self.revision += 1;
            // What crashed endpoints before a trial need not be found in old crashes.
            if self.quarantined.iter().any(|q| q.cause == *cause && q.trials > 0) {
                self.crashes.retain(|c| !c.has_cause(*cause));
            }
            self.quarantined.retain(|q| q.cause != *cause);
            for request in self.crashes.iter_mut().flat_map(|c| &mut c.requests) {
                request.causes.retain(|c| c != cause);
            }
            self.cleared.retain(|c| c.cause != *cause);
            push_bounded(&mut self.cleared, Cleared { cause: *cause, crashes: 0 }, MAX_LISTED);
        }
        // Crashes may be unexplained now.
        self.quarantine_causes();
    }

    /// Grants the trial of a quarantined cause with the given number, counted from 1, if it is the
    /// next one. Each number is granted once in the whole fleet.
    pub fn grant_trial(&mut self, cause: Cause, number: u32) -> bool {
        let found = self.quarantined.iter_mut().find(|q| q.cause == cause);
        let Some(quarantined) = found.filter(|q| q.trials.checked_add(1) == Some(number)) else {
            return false;
        };
        quarantined.trials = number;
        self.revision += 1;
        true
    }

    fn is_quarantined(&self, cause: Cause) -> bool {
        self.quarantined.iter().any(|q| q.cause == cause)
    }

    fn is_cleared(&self, cause: Cause) -> bool {
        self.cleared.iter().any(|c| c.cause == cause && c.crashes < CLEARED_CRASHES)
    }

    /// Whether a request in a crash has a quarantined cause for which `is_meant` is true.
    fn is_explained(&self, crash: &Crash, is_meant: impl Fn(Cause) -> bool) -> bool {
        self.quarantined.iter().any(|q| is_meant(q.cause) && crash.has_cause(q.cause))
    }

    /// Crashes in which no request had a quarantined part.
    fn unexplained(&self) -> impl DoubleEndedIterator<Item = &Crash> {
        let is_part = |cause| matches!(cause, Cause::Part(_));
        self.crashes.iter().filter(move |c| !self.is_explained(c, is_part))
    }

    /// Quarantines what explains crashes, one cause after the other.
    fn quarantine_causes(&mut self) {
        while let Some(cause) = self.find_cause() {
            let crashes = self.crashes.iter().filter(|c| c.has_cause(cause)).count();
            let relapsed = self.cleared.iter().any(|c| c.cause == cause);
            self.cleared.retain(|c| c.cause != cause);
            let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
            let quarantined = Quarantined { cause, crashes, trials: 0, relapsed };
            push_bounded(&mut self.quarantined, quarantined, MAX_LISTED);
            if matches!(cause, Cause::Part(_)) {
                self.release_explained_requests(cause);
            }
        }
    }

    /// Releases requests that broke only in crashes with a quarantined part.
    fn release_explained_requests(&mut self, part: Cause) {
        let crashes = &self.crashes;
        self.quarantined.retain(|q| {
            let mut of_request = crashes.iter().filter(|c| c.has_cause(q.cause)).peekable();
            let is_explained = of_request.peek().is_some() && of_request.all(|c| c.has_cause(part));
            matches!(q.cause, Cause::Part(_)) || !is_explained
        });
    }

    /// What explains enough crashes, if anything. Of causes that occur in the same requests the
    /// narrowest one.
    fn find_cause(&self) -> Option<Cause> {
        let is_request = |cause| matches!(cause, Cause::Request(_));
        let mut suspects = sorted::SortedMap::<Cause, Suspect>::new();
        for crash in self.unexplained() {
            let is_explained = self.is_explained(crash, is_request);
            let open = |c: &Cause| !self.is_cleared(*c) && !self.is_quarantined(*c);
            for cause in crash.causes().into_iter().filter(open) {
                let (requests, crashes, depth, unexplained) = (Vec::new(), 0, 0, 0);
                let empty = || Suspect { cause, crashes, requests, depth, unexplained };
                let suspect = suspects.entry_or(cause, empty);
                suspect.crashes += 1;
                suspect.unexplained += usize::from(!is_explained);
            }
            for request in &crash.requests {
                for (depth, cause) in request.causes.iter().enumerate() {
                    if let Some(suspect) = suspects.get_mut(cause) {
                        suspect.requests.push(request.key);
                        suspect.depth = suspect.depth.max(depth);
                    }
                }
            }
        }
        suspects.retain(|_, suspect| suspect.crashes >= MIN_CRASHES);
        for (_, suspect) in suspects.iter_mut() {
            suspect.requests.sort_unstable();
            suspect.requests.dedup();
        }
        let suspects: Vec<&Suspect> = suspects.values().filter(|s| s.qualifies()).collect();
        let is_narrowest = |s: &&&Suspect| !suspects.iter().any(|other| s.contains(other));
        let narrowest = suspects.iter().filter(is_narrowest);
        narrowest.max_by_key(|s| (s.crashes, s.requests.len(), s.depth)).map(|s| s.cause)
    }
}

/// Whether a request may be sent, judged by what may crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Nothing is quarantined.
    Free,
    /// A cause is quarantined.
    Held(Hold),
    /// The next trial of a quarantined cause is due. This request may ask the control group for it.
    TrialDue {
        /// The cause.
        hold: Hold,
        /// Number of the trial.
        number: u32,
    },
}

/// Trials of quarantined causes that were granted to a request or an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    causes: Vec<Cause>,
    /// Whether an endpoint may have run it.
    sent: bool,
}

impl Trial {
    /// Records that the trial of a cause was granted. Earlier trials are over if they were sent.
    pub fn grant(&mut self, cause: Cause) {
        if self.sent {
            *self = Trial::default();
        }
        self.causes.push(cause);
    }

    /// Records whether an endpoint may have run the request or item since the grant.
    pub fn set_sent(&mut self, sent: bool) {
        self.sent = sent && !self.causes.is_empty();
    }

    /// Whether an endpoint may have run the request or item since the grant.
    pub fn is_sent(&self) -> bool {
        self.sent
    }

    /// Causes that may not be sent while they are quarantined: all but those whose trial this is.
    pub fn checked(&self, causes: &[Cause]) -> Vec<Cause> {
        let is_checked = |cause: &Cause| self.sent || !self.causes.contains(cause);
        causes.iter().copied().filter(is_checked).collect()
    }
}

/// Why a request is kept from endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The quarantined cause.
    pub cause: Cause,
    /// Crashes of endpoints that it occurred in.
    pub crashes: u32,
    /// Time until the next trial.
    pub wait: Duration,
}

/// Changes of the quarantined causes at a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Causes that are new, had further crashes or were tried.
    pub quarantined: Vec<Quarantined>,
    /// Causes that were released.
    pub released: Vec<Cause>,
}

/// Quarantined cause at a host.
#[derive(Clone, Copy, Debug)]
struct Watched {
    state: Quarantined,
    /// Time at which the host learnt that it is quarantined.
    learnt: Duration,
    /// Time at which the host learnt of its last change.
    changed: Duration,
    /// Time at which the host last asked for a trial.
    asked: Option<Duration>,
}

/// What one host knows of the replicated state, and the answers that it has seen.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    revision: u64,
    /// Whether the state was known to be complete at some moment.
    confirmed: bool,
    /// Time since which requests wait for a confirmed state.
    waiting: Option<Duration>,
    quarantined: sorted::SortedMap<Cause, Watched>,
    suspected: Vec<Cause>,
    /// What the disks of the control hosts held, until a state is confirmed.
    stored: stored::Reports,
    /// Whether the disk of any control host showed workspaces.
    workspaces: bool,
    evidence: Evidence,
}

impl Watch {
    /// Revision of the known state; 0 if none is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the state was known to be complete at some moment since the start of this host.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Whether requests may be sent with what is known: the state is confirmed, the disks of enough
    /// control hosts are known, or no host has confirmed the state for a while. Called only once a
    /// request could be sent.
    pub fn is_usable(&mut self, now: Duration) -> bool {
        let since = *self.waiting.get_or_insert(now);
        self.is_complete() || now.saturating_sub(since) >= CONFIRM_TIMEOUT
    }

    /// Whether every cause is known that was quarantined before the start of this host.
    pub fn is_complete(&self) -> bool {
        self.confirmed || self.stored.quarantined().is_some()
    }

    /// Version of the configuration that the disks of enough control hosts show, until a state is
    /// confirmed. A confirmed one comes from a leader, which tells the version itself.
    pub fn stored_version(&self) -> Option<u64> {
        self.stored.version()
    }

    /// Whether the disk of a control host has shown a configuration with workspaces since the start of
    /// this host, whether committed or not.
    pub fn shows_workspaces(&self) -> bool {
        self.workspaces
    }

    /// Records what the disk of a control host holds. Returns whether the state is complete since
    /// then. The causes are kept from endpoints until a state is confirmed.
    pub fn record_stored(&mut self, now: Duration, report: stored::Report) -> bool {
        self.workspaces |= report.workspaces;
        if self.confirmed {
            return false;
        }
        let was_complete = self.is_complete();
        self.stored.record(report);
        let quarantined = std::mem::take(&mut self.quarantined);
        self.quarantined = self.with_stored(now, quarantined);
        self.is_complete() && !was_complete
    }

    /// Adds the causes that the control hosts have stored to those of a state that is not confirmed.
    fn with_stored(
        &self,
        now: Duration,
        mut quarantined: sorted::SortedMap<Cause, Watched>,
    ) -> sorted::SortedMap<Cause, Watched> {
        for state in self.stored.quarantined().unwrap_or_default() {
            let (state, asked) = (*state, None);
            quarantined.entry_or(state.cause, || Watched {
                state,
                learnt: now,
                changed: now,
                asked,
            });
        }
        quarantined
    }

    /// Number of quarantined causes.
    pub fn count(&self) -> usize {
        self.quarantined.len()
    }

    /// Answers that this host has seen.
    pub fn evidence(&mut self) -> &mut Evidence {
        &mut self.evidence
    }

    /// What is known of the state, to be sent to another host.
    pub fn summary(&self) -> Summary {
        let quarantined = self.quarantined.values().map(|w| w.state).collect();
        let (revision, confirmed) = (self.revision, self.confirmed);
        Summary { revision, quarantined, suspected: self.suspected.clone(), confirmed }
    }

    /// Replaces the known state unless it is as new. Returns what has changed.
    pub fn apply(&mut self, now: Duration, summary: &Summary) -> Option<Changes> {
        let is_news = summary.confirmed && !self.confirmed;
        // A cause that was stored but never committed is released by the first confirmed state.
        let replaces_stored = is_news && summary.revision >= self.revision;
        self.confirmed |= summary.confirmed;
        if summary.revision <= self.revision && !replaces_stored {
            return is_news.then(Changes::default);
        }
        let mut changes = Changes::default();
        let mut next = sorted::SortedMap::new();
        for state in &summary.quarantined {
            let watched = match self.quarantined.remove(&state.cause) {
                Some(known) if known.state == *state => known,
                known => {
                    changes.quarantined.push(*state);
                    let learnt = known.map_or(now, |k| k.learnt);
                    Watched { state: *state, learnt, changed: now, asked: None }
                }
            };
            next.insert(state.cause, watched);
        }
        if self.confirmed {
            self.stored.clear();
        }
        next = self.with_stored(now, next);
        self.quarantined.retain(|cause, _| !next.contains(cause));
        changes.released = self.quarantined.keys().copied().collect();
        self.quarantined = next;
        (self.revision, self.suspected) = (summary.revision, summary.suspected.clone());
        Some(changes)
    }

    /// Whether none of the causes is quarantined.
    pub fn is_free(&self, causes: &[Cause]) -> bool {
        self.quarantined.is_empty() || !causes.iter().any(|c| self.quarantined.contains(c))
    }

    /// Decides whether a request with these causes may be sent. A request that is told that a
    /// trial is due must ask for it, as others are not told so for a while.
    pub fn check(&mut self, now: Duration, causes: &[Cause]) -> Check {
        if self.is_free(causes) {
            return Check::Free;
        }
        let wait = |w: &Watched| {
            let step = TRIAL_PAUSES.len().min(w.state.trials as usize + 1) - 1;
            let due = w.changed + TRIAL_PAUSES[step];
            let retry = w.asked.map_or(due, |asked| due.max(asked + TRIAL_RETRY));
            retry.saturating_sub(now)
        };
        let held = causes.iter().filter_map(|c| self.quarantined.get(c));
        let Some(longest) = held.max_by_key(|w| wait(w)) else { return Check::Free };
        let Quarantined { cause, crashes, trials, .. } = longest.state;
        let hold = Hold { cause, crashes, wait: wait(longest) };
        if !hold.wait.is_zero() {
            return Check::Held(hold);
        }
        if let Some(watched) = self.quarantined.get_mut(&cause) {
            watched.asked = Some(now);
        }
        Check::TrialDue { hold, number: trials.saturating_add(1) }
    }

    /// Suspected and quarantined causes that answers at this host show to be sound.
    pub fn clearable(&self, now: Duration) -> Vec<Cause> {
        let has_answer = |w: &&Watched| {
            let answered = self.evidence.answered(now, w.state.cause);
            answered.is_some_and(|at| !w.state.relapsed || at > w.learnt)
        };
        let quarantined = self.quarantined.values().filter(has_answer).map(|w| w.state.cause);
        let suspected = self.suspected.iter().copied();
        let suspected = suspected.filter(|c| self.evidence.answered(now, *c).is_some());
        let mut causes: Vec<Cause> = quarantined.chain(suspected).collect();
        causes.sort_unstable();
        causes.dedup();
        causes
    }
}

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

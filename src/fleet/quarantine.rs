//! Finds parts of prompts that crash endpoints, and decides when requests with them may be sent.
//! Free of I/O.
//!
//! Designed for requests that share one part of their prompts and crash each endpoint that begins to
//! answer them, at several times a second and through every entry, beside sound requests that run at
//! the same endpoints and share all other parts. A part is quarantined for the whole fleet once it
//! occurs in the crashes of [`MIN_CRASHES`] starts of endpoints. Only crashes that no other
//! quarantined part explains count, so that a shared first part is not quarantined beside the bad
//! one. A part whose answers arrive elsewhere is cleared.
//!
//! [`State`] is replicated by the control group. [`Watch`] is what one host knows of it.

use crate::fleet::prompt;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Crashes of different starts of endpoints after which a part is quarantined.
const MIN_CRASHES: usize = 3;
/// Different prompts with the part that must have broken in these crashes. A single request may
/// break at several endpoints that crash for another reason.
const MIN_PROMPTS: usize = 2;
/// Crashes that must name a cleared part before it is suspected again. A part may become bad, for
/// example with a new build.
const CLEARED_CRASHES: u32 = 8;
/// Most crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Most prompts that are remembered of a crash.
const MAX_PROMPTS: usize = 16;
/// Most shared parts that are remembered of a prompt.
const MAX_PARTS: usize = 64;
/// Time for which a host without a confirmed state sends no requests. The control group elects a
/// leader within it after a restart of all hosts.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Most parts that are quarantined, cleared or suspected.
const MAX_LISTED: usize = 256;
/// Pauses before the trials of a quarantined part. After the last one they stay the same.
const TRIAL_PAUSES: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(5 * 60),
    Duration::from_secs(30 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Time after which a host that was granted no trial asks for one again.
const TRIAL_RETRY: Duration = Duration::from_secs(2);
/// Time for which an answer shows that the parts of its prompt are sound.
const EVIDENCE_TIME: Duration = Duration::from_secs(60);
/// Most parts whose answers a host remembers.
const MAX_EVIDENCE: usize = 4_096;
/// Crashes with a part, seen by one host, after which its earlier answers no longer count.
const MAX_CONTRARY: u32 = 3;
/// Time for which further crashes do not count as contrary, since many endpoints may fail at once.
const CONTRARY_PAUSE: Duration = Duration::from_secs(1);

/// Parts of a prompt that may crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptParts {
    /// Hash by which prompts are told apart.
    pub key: u64,
    /// Ids of the shared parts in order. Reports leave out those that are known to be sound.
    pub parts: Vec<u64>,
}

impl From<prompt::Prompt> for PromptParts {
    fn from(prompt: prompt::Prompt) -> PromptParts {
        let mut parts = prompt.shared_ids();
        parts.truncate(MAX_PARTS);
        PromptParts { key: prompt.key(), parts }
    }
}

/// Crash of one start of an endpoint. Several hosts may report it with other prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start of the endpoint in milliseconds of Unix time; 0 if not stated.
    pub start_time: u64,
    /// Prompts of requests that ran there and had brought next to nothing.
    pub prompts: Vec<PromptParts>,
}

impl Crash {
    fn has_part(&self, part: u64) -> bool {
        self.prompts.iter().any(|p| p.parts.contains(&part))
    }

    fn parts(&self) -> Vec<u64> {
        let mut parts: Vec<u64> = self.prompts.iter().flat_map(|p| p.parts.clone()).collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }
}

/// Part that is kept from endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedPart {
    /// Id of the part.
    pub part: u64,
    /// Crashes of endpoints that it occurred in.
    pub crashes: u32,
    /// Trials that were granted.
    pub trials: u32,
    /// Whether it had been cleared before. Only answers since then clear it again.
    pub relapsed: bool,
}

/// Part that is known to be sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClearedPart {
    part: u64,
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
    quarantined: VecDeque<QuarantinedPart>,
    cleared: VecDeque<ClearedPart>,
}

/// What every host has to know of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of changes so far; 0 before the first one.
    pub revision: u64,
    /// Parts that are kept from endpoints, sorted.
    pub quarantined: Vec<QuarantinedPart>,
    /// Parts of unexplained crashes, sorted. A host with an answer to a prompt with one says so.
    pub suspected: Vec<u64>,
    /// Whether the state holds all that was committed at some moment since the start of the sender.
    /// A control host that has just started may not know of the last changes.
    pub confirmed: bool,
}

/// Part that may be the cause of unexplained crashes.
struct Suspect {
    part: u64,
    crashes: usize,
    /// Keys of the prompts that broke, sorted.
    prompts: Vec<u64>,
    /// Largest index in a prompt.
    depth: usize,
}

impl Suspect {
    fn qualifies(&self) -> bool {
        self.crashes >= MIN_CRASHES && self.prompts.len() >= MIN_PROMPTS
    }

    /// Whether `other` occurs only in prompts with this part, and is the narrower cause.
    fn contains(&self, other: &Suspect) -> bool {
        let is_within = other.prompts.iter().all(|key| self.prompts.binary_search(key).is_ok());
        let rank = |s: &Suspect| (s.prompts.len(), std::cmp::Reverse(s.depth), s.part);
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
        let mut quarantined: Vec<QuarantinedPart> = self.quarantined.iter().copied().collect();
        quarantined.sort_by_key(|q| q.part);
        let mut suspected = Vec::new();
        for crash in self.unexplained().rev() {
            suspected.extend(crash.parts().into_iter().filter(|p| !self.is_cleared(*p)));
            suspected.sort_unstable();
            suspected.dedup();
            if suspected.len() >= MAX_LISTED {
                break;
            }
        }
        suspected.truncate(MAX_LISTED);
        Summary { revision: self.revision, quarantined, suspected, confirmed: false }
    }

    /// Records the crash of an endpoint, or further prompts of a crash that is known.
    pub fn record_crash(&mut self, mut crash: Crash) {
        for prompt in &mut crash.prompts {
            prompt.parts.truncate(MAX_PARTS);
        }
        let known = |c: &Crash| (&c.endpoint, c.start_time) == (&crash.endpoint, crash.start_time);
        let at = self.crashes.iter().position(known).unwrap_or_else(|| {
            let empty = Crash { prompts: Vec::new(), ..crash.clone() };
            push_bounded(&mut self.crashes, empty, MAX_CRASHES);
            self.crashes.len() - 1
        });
        let Some(record) = self.crashes.get_mut(at) else { return };
        let before = record.parts();
        for prompt in crash.prompts {
            if record.prompts.len() < MAX_PROMPTS && !record.prompts.contains(&prompt) {
                record.prompts.push(prompt);
            }
        }
        let mut added = record.parts();
        added.retain(|part| before.binary_search(part).is_err());
        if added.is_empty() {
            return;
        }
        self.revision += 1;
        for quarantined in &mut self.quarantined {
            quarantined.crashes += u32::from(added.binary_search(&quarantined.part).is_ok());
        }
        if !added.iter().any(|part| self.is_quarantined(*part)) {
            for cleared in &mut self.cleared {
                cleared.crashes += u32::from(added.binary_search(&cleared.part).is_ok());
            }
        }
        self.quarantine_causes();
    }

    /// Releases parts that were answered, and takes them out of the recorded crashes. Parts that are
    /// neither quarantined nor suspected are ignored.
    pub fn clear(&mut self, parts: &[u64]) {
        for part in parts {
            if !self.is_quarantined(*part) && !self.crashes.iter().any(|c| c.has_part(*part)) {
                continue;
            }
            self.revision += 1;
            // What crashed endpoints before a trial need not be found in old crashes.
            if self.quarantined.iter().any(|q| q.part == *part && q.trials > 0) {
                self.crashes.retain(|c| !c.has_part(*part));
            }
            self.quarantined.retain(|q| q.part != *part);
            for prompt in self.crashes.iter_mut().flat_map(|c| &mut c.prompts) {
                prompt.parts.retain(|p| p != part);
            }
            self.cleared.retain(|c| c.part != *part);
            push_bounded(&mut self.cleared, ClearedPart { part: *part, crashes: 0 }, MAX_LISTED);
        }
        // Crashes may be unexplained now.
        self.quarantine_causes();
    }

    /// Grants the trial of a quarantined part with the given number, counted from 1, if it is the
    /// next one. Each number is granted once in the whole fleet.
    pub fn grant_trial(&mut self, part: u64, number: u32) -> bool {
        let found = self.quarantined.iter_mut().find(|q| q.part == part);
        let Some(quarantined) = found.filter(|q| q.trials.checked_add(1) == Some(number)) else {
            return false;
        };
        quarantined.trials = number;
        self.revision += 1;
        true
    }

    fn is_quarantined(&self, part: u64) -> bool {
        self.quarantined.iter().any(|q| q.part == part)
    }

    fn is_cleared(&self, part: u64) -> bool {
        self.cleared.iter().any(|c| c.part == part && c.crashes < CLEARED_CRASHES)
    }

    /// Crashes in which no prompt had a quarantined part.
    fn unexplained(&self) -> impl DoubleEndedIterator<Item = &Crash> {
        self.crashes.iter().filter(|c| !self.quarantined.iter().any(|q| c.has_part(q.part)))
    }

    /// Quarantines the parts that explain crashes, one after the other.
    fn quarantine_causes(&mut self) {
        while let Some(part) = self.find_cause() {
            let crashes = self.crashes.iter().filter(|c| c.has_part(part)).count();
            let relapsed = self.cleared.iter().any(|c| c.part == part);
            self.cleared.retain(|c| c.part != part);
            let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
            let quarantined = QuarantinedPart { part, crashes, trials: 0, relapsed };
            push_bounded(&mut self.quarantined, quarantined, MAX_LISTED);
        }
    }

    /// Part that explains enough crashes, if any. Of parts that occur in the same prompts the
    /// narrowest one.
    fn find_cause(&self) -> Option<u64> {
        let mut suspects = sorted::SortedMap::<u64, Suspect>::new();
        for crash in self.unexplained() {
            for part in crash.parts().into_iter().filter(|p| !self.is_cleared(*p)) {
                let empty = || Suspect { part, crashes: 0, prompts: Vec::new(), depth: 0 };
                suspects.entry_or(part, empty).crashes += 1;
            }
            for prompt in &crash.prompts {
                for (depth, part) in prompt.parts.iter().enumerate() {
                    if let Some(suspect) = suspects.get_mut(part) {
                        suspect.prompts.push(prompt.key);
                        suspect.depth = suspect.depth.max(depth);
                    }
                }
            }
        }
        suspects.retain(|_, suspect| suspect.crashes >= MIN_CRASHES);
        for (_, suspect) in suspects.iter_mut() {
            suspect.prompts.sort_unstable();
            suspect.prompts.dedup();
        }
        let suspects: Vec<&Suspect> = suspects.values().filter(|s| s.qualifies()).collect();
        let is_narrowest = |s: &&&Suspect| !suspects.iter().any(|other| s.contains(other));
        let narrowest = suspects.iter().filter(is_narrowest);
        narrowest.max_by_key(|s| (s.crashes, s.prompts.len(), s.depth)).map(|s| s.part)
    }
}

/// Whether a request may be sent, judged by its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// No part is quarantined.
    Free,
    /// A part is quarantined.
    Held(Hold),
    /// The next trial of a quarantined part is due. This request may ask the control group for it.
    TrialDue {
        /// The part.
        hold: Hold,
        /// Number of the trial.
        number: u32,
    },
}

/// Trials of quarantined parts that were granted to a request or an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    parts: Vec<u64>,
    /// Whether an endpoint may have run it.
    sent: bool,
}

impl Trial {
    /// Records that the trial of a part was granted. Earlier trials are over if they were sent.
    pub fn grant(&mut self, part: u64) {
        if self.sent {
            *self = Trial::default();
        }
        self.parts.push(part);
    }

    /// Records whether an endpoint may have run the request or item since the grant.
    pub fn set_sent(&mut self, sent: bool) {
        self.sent = sent && !self.parts.is_empty();
    }

    /// Whether an endpoint may have run the request or item since the grant.
    pub fn is_sent(&self) -> bool {
        self.sent
    }

    /// Parts that may not be sent while they are quarantined: all but those whose trial this is.
    pub fn checked(&self, parts: &[u64]) -> Vec<u64> {
        let is_checked = |part: &u64| self.sent || !self.parts.contains(part);
        parts.iter().copied().filter(is_checked).collect()
    }
}

/// Why a request is kept from endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Id of the quarantined part.
    pub part: u64,
    /// Crashes of endpoints that it occurred in.
    pub crashes: u32,
    /// Time until the next trial.
    pub wait: Duration,
}

/// Changes of the quarantined parts at a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Parts that are new, had further crashes or were tried.
    pub quarantined: Vec<QuarantinedPart>,
    /// Ids of parts that were released.
    pub released: Vec<u64>,
}

/// Quarantined part at a host.
#[derive(Clone, Copy, Debug)]
struct Watched {
    state: QuarantinedPart,
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
    quarantined: sorted::SortedMap<u64, Watched>,
    suspected: Vec<u64>,
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

    /// Whether requests may be sent with what is known: the state is confirmed, or no host has
    /// confirmed it for a while. Called only once a request could be sent.
    pub fn is_usable(&mut self, now: Duration) -> bool {
        let since = *self.waiting.get_or_insert(now);
        self.confirmed || now.saturating_sub(since) >= CONFIRM_TIMEOUT
    }

    /// Number of quarantined parts.
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
        self.confirmed |= summary.confirmed;
        if summary.revision <= self.revision {
            return is_news.then(Changes::default);
        }
        let mut changes = Changes::default();
        let mut next = sorted::SortedMap::new();
        for state in &summary.quarantined {
            let watched = match self.quarantined.remove(&state.part) {
                Some(known) if known.state == *state => known,
                known => {
                    changes.quarantined.push(*state);
                    let learnt = known.map_or(now, |k| k.learnt);
                    Watched { state: *state, learnt, changed: now, asked: None }
                }
            };
            next.insert(state.part, watched);
        }
        changes.released = self.quarantined.keys().copied().collect();
        self.quarantined = next;
        (self.revision, self.suspected) = (summary.revision, summary.suspected.clone());
        Some(changes)
    }

    /// Whether none of the parts is quarantined.
    pub fn is_free(&self, parts: &[u64]) -> bool {
        self.quarantined.is_empty() || !parts.iter().any(|p| self.quarantined.contains(p))
    }

    /// Decides whether a request with these shared parts may be sent. A request that is told that a
    /// trial is due must ask for it, as others are not told so for a while.
    pub fn check(&mut self, now: Duration, parts: &[u64]) -> Check {
        if self.is_free(parts) {
            return Check::Free;
        }
        let wait = |w: &Watched| {
            let step = TRIAL_PAUSES.len().min(w.state.trials as usize + 1) - 1;
            let due = w.changed + TRIAL_PAUSES[step];
            let retry = w.asked.map_or(due, |asked| due.max(asked + TRIAL_RETRY));
            retry.saturating_sub(now)
        };
        let held = parts.iter().filter_map(|p| self.quarantined.get(p));
        let Some(longest) = held.max_by_key(|w| wait(w)) else { return Check::Free };
        let QuarantinedPart { part, crashes, trials, .. } = longest.state;
        let hold = Hold { part, crashes, wait: wait(longest) };
        if !hold.wait.is_zero() {
            return Check::Held(hold);
        }
        if let Some(watched) = self.quarantined.get_mut(&part) {
            watched.asked = Some(now);
        }
        Check::TrialDue { hold, number: trials.saturating_add(1) }
    }

    /// Suspected and quarantined parts that answers at this host show to be sound.
    pub fn clearable(&self, now: Duration) -> Vec<u64> {
        let has_answer = |w: &&Watched| {
            let answered = self.evidence.answered(now, w.state.part);
            answered.is_some_and(|at| !w.state.relapsed || at > w.learnt)
        };
        let quarantined = self.quarantined.values().filter(has_answer).map(|w| w.state.part);
        let suspected = self.suspected.iter().copied();
        let suspected = suspected.filter(|p| self.evidence.answered(now, *p).is_some());
        let mut parts: Vec<u64> = quarantined.chain(suspected).collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }
}

/// Last answer to a prompt with a part.
#[derive(Clone, Copy, Debug)]
struct Answered {
    at: Duration,
    /// Crashes with the part since, those at about the same time as one.
    crashes: u32,
    /// Time of the last crash that was counted.
    crashed: Option<Duration>,
}

/// Answers to prompts that one host has seen, by part.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    parts: sorted::SortedMap<u64, Answered>,
}

impl Evidence {
    /// Records an answer to a prompt with these shared parts.
    pub fn record_answer(&mut self, now: Duration, parts: &[u64]) {
        for part in parts {
            if self.parts.len() >= MAX_EVIDENCE && !self.parts.contains(part) {
                let oldest = self.parts.iter().min_by_key(|(_, a)| a.at).map(|(part, _)| *part);
                oldest.and_then(|oldest| self.parts.remove(&oldest));
            }
            self.parts.insert(*part, Answered { at: now, crashes: 0, crashed: None });
        }
    }

    /// Records that an endpoint crashed that ran prompts with these parts.
    pub fn record_crash(&mut self, now: Duration, parts: &[u64]) {
        for part in parts {
            let Some(answered) = self.parts.get_mut(part) else { continue };
            if answered.crashed.is_some_and(|at| now.saturating_sub(at) < CONTRARY_PAUSE) {
                continue;
            }
            (answered.crashed, answered.crashes) = (Some(now), answered.crashes + 1);
            if answered.crashes >= MAX_CONTRARY {
                self.parts.remove(part);
            }
        }
    }

    /// Time of the last answer to a prompt with a part, if it is recent.
    pub fn answered(&self, now: Duration, part: u64) -> Option<Duration> {
        let at = self.parts.get(&part)?.at;
        (now.saturating_sub(at) < EVIDENCE_TIME).then_some(at)
    }
}

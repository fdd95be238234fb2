//! Replicated state: crashes of endpoints, and the causes that are quarantined because of them.

use crate::fleet::quarantine::Cause;
use crate::fleet::quarantine::Crash;
use crate::fleet::quarantine::MAX_PARTS;
use crate::fleet::quarantine::Quarantined;
use crate::fleet::quarantine::Summary;
use crate::fleet::quarantine::verdict;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;

/// Crashes of different starts of endpoints after which a cause is quarantined.
const MIN_CRASHES: usize = 3;
/// Moments of such crashes after which a part is quarantined. Endpoints that crash at one moment may
/// have lost their power or their failure domain.
const MIN_MOMENTS: usize = 3;
/// Crashes after which a part is quarantined even if they occurred at fewer moments. All endpoints may
/// crash within one moment if requests with a bad part come fast enough.
const MAX_UNDECIDED_CRASHES: usize = 5;
/// Longest time between the first and the last crash of one moment.
const MOMENT_MS: u64 = 200;
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
/// Crashes that no quarantined request explains after which a part is quarantined. With a single one,
/// an endpoint may have crashed for another reason.
const MIN_PART_CRASHES: usize = 2;
/// Unexplained crashes after which hosts are asked whether a request was answered. Most requests run
/// beside one crash only.
const MIN_SUSPECTED_CRASHES: usize = 2;
/// Most causes that are quarantined, cleared or suspected.
const MAX_LISTED: usize = 256;

/// Cause that is known to be sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Cleared {
    pub(super) cause: Cause,
    /// Unexplained crashes that have named it since.
    pub(super) crashes: u32,
}

/// Crashes and what follows from them, as replicated by the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Number of changes so far.
    pub(super) revision: u64,
    /// Recent crashes, the oldest first.
    pub(super) crashes: VecDeque<Crash>,
    pub(super) quarantined: VecDeque<verdict::Verdict>,
    pub(super) cleared: VecDeque<Cleared>,
}

/// What may be the cause of unexplained crashes. Only moments count in which at least half of the
/// endpoints that crashed ran requests with it.
struct Suspect {
    cause: Cause,
    crashes: usize,
    /// Moments of these crashes.
    moments: usize,
    /// Keys of the requests that broke, sorted.
    requests: Vec<u64>,
    /// Largest index among the causes of a request.
    depth: usize,
    /// Crashes in which no request is quarantined.
    unexplained: usize,
}

impl Suspect {
    fn new(cause: Cause) -> Suspect {
        Suspect { cause, crashes: 0, moments: 0, requests: Vec::new(), depth: 0, unexplained: 0 }
    }

    fn qualifies(&self) -> bool {
        self.crashes >= MIN_CRASHES
            && match self.cause {
                Cause::Part(_) => {
                    let is_repeated = self.moments >= MIN_MOMENTS;
                    self.requests.len() >= MIN_PROMPTS
                        && self.unexplained >= MIN_PART_CRASHES
                        && (is_repeated || self.crashes >= MAX_UNDECIDED_CRASHES)
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
        let mut quarantined: Vec<Quarantined> =
            self.quarantined.iter().map(|v| v.quarantined).collect();
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
        let position = self.crashes.iter().position(known);
        let at = position.unwrap_or_else(|| {
            self.add_empty_crash(&crash);
            self.crashes.len() - 1
        });
        let Some(record) = self.crashes.get_mut(at) else { return };
        // Several hosts may report the crash; the first answer broke off when it occurred.
        if crash.broken_at != 0 && (record.broken_at == 0 || crash.broken_at < record.broken_at) {
            record.broken_at = crash.broken_at;
        }
        let before = record.causes();
        for request in crash.requests {
            if record.requests.len() < MAX_REQUESTS && !record.requests.contains(&request) {
                record.requests.push(request);
            }
        }
        let mut added = record.causes();
        added.retain(|cause| before.binary_search(cause).is_err());
        self.record_in_verdicts(at, &added);
        let mut changed = !added.is_empty();
        if position.is_none() {
            changed |= self.record_beside_trials(at);
            changed |= self.release_unsupported(at);
        }
        if !changed {
            return;
        }
        self.revision += 1;
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
            if self.verdict(*cause).is_some_and(|v| v.quarantined.trials > 0) {
                self.crashes.retain(|c| !c.has_cause(*cause));
            }
            self.quarantined.retain(|v| v.cause() != *cause);
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
        let found = self.quarantined.iter_mut().find(|v| v.cause() == cause);
        let is_next =
            |v: &&mut verdict::Verdict| v.quarantined.trials.checked_add(1) == Some(number);
        let Some(verdict) = found.filter(is_next) else { return false };
        verdict.quarantined.trials = number;
        self.revision += 1;
        true
    }

    fn is_quarantined(&self, cause: Cause) -> bool {
        self.verdict(cause).is_some()
    }

    fn verdict(&self, cause: Cause) -> Option<&verdict::Verdict> {
        self.quarantined.iter().find(|v| v.cause() == cause)
    }

    fn is_cleared(&self, cause: Cause) -> bool {
        self.cleared.iter().any(|c| c.cause == cause && c.crashes < CLEARED_CRASHES)
    }

    /// Whether a request in a crash has a quarantined cause for which `is_meant` is true.
    fn is_explained(&self, crash: &Crash, is_meant: impl Fn(Cause) -> bool) -> bool {
        self.quarantined.iter().any(|v| is_meant(v.cause()) && crash.has_cause(v.cause()))
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
            let quarantined = Quarantined { cause, crashes, trials: 0, failed: 0, relapsed };
            push_bounded(&mut self.quarantined, verdict::Verdict::new(quarantined), MAX_LISTED);
            if matches!(cause, Cause::Part(_)) {
                self.release_explained_requests(cause);
            }
        }
    }

    /// Releases requests that broke only in crashes with a quarantined part.
    fn release_explained_requests(&mut self, part: Cause) {
        let crashes = &self.crashes;
        self.quarantined.retain(|v| {
            let mut of_request = crashes.iter().filter(|c| c.has_cause(v.cause())).peekable();
            let is_explained = of_request.peek().is_some() && of_request.all(|c| c.has_cause(part));
            matches!(v.cause(), Cause::Part(_)) || !is_explained
        });
    }

    /// What explains enough crashes, if anything. Of causes that occur in the same requests the
    /// narrowest one.
    fn find_cause(&self) -> Option<Cause> {
        let suspects = self.suspects();
        let suspects: Vec<&Suspect> = suspects.values().filter(|s| s.qualifies()).collect();
        let is_narrowest = |s: &&&Suspect| !suspects.iter().any(|other| s.contains(other));
        let narrowest = suspects.iter().filter(is_narrowest);
        narrowest.max_by_key(|s| (s.crashes, s.requests.len(), s.depth)).map(|s| s.cause)
    }

    /// Causes of unexplained crashes that are neither quarantined nor cleared.
    fn suspects(&self) -> sorted::SortedMap<Cause, Suspect> {
        let is_request = |cause| matches!(cause, Cause::Request(_));
        let mut suspects = sorted::SortedMap::<Cause, Suspect>::new();
        for moment in self.moments() {
            let open = |c: &Cause| !self.is_cleared(*c) && !self.is_quarantined(*c);
            let mut causes: Vec<Cause> = moment.iter().flat_map(|c| c.causes()).collect();
            causes.sort_unstable();
            causes.dedup();
            let explained = |c: &Crash| self.is_explained(c, is_request);
            for cause in causes.into_iter().filter(open) {
                let (with, without): (Vec<&Crash>, Vec<&Crash>) =
                    moment.iter().partition(|c| c.has_cause(cause));
                if without.iter().filter(|c| !explained(c)).count() > with.len() {
                    continue;
                }
                let suspect = suspects.entry_or(cause, || Suspect::new(cause));
                suspect.moments += 1;
                suspect.crashes += with.len();
                suspect.unexplained += with.iter().filter(|c| !explained(c)).count();
                for request in with.iter().flat_map(|c| &c.requests) {
                    if let Some(depth) = request.causes.iter().position(|c| *c == cause) {
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
        suspects
    }

    /// Unexplained crashes, those at the same moment together. A crash at an unknown time is a moment
    /// of its own.
    fn moments(&self) -> Vec<Vec<&Crash>> {
        let mut crashes: Vec<&Crash> = self.unexplained().collect();
        crashes.sort_by_key(|c| c.broken_at);
        let mut moments: Vec<Vec<&Crash>> = Vec::new();
        for crash in crashes {
            match moments.last_mut() {
                Some(moment) if is_same_moment(moment[0], crash) => moment.push(crash),
                _ => moments.push(vec![crash]),
            }
        }
        moments
    }

    /// Adds a crash without requests. Crashes without causes are the first to be forgotten.
    fn add_empty_crash(&mut self, crash: &Crash) {
        if self.crashes.len() >= MAX_CRASHES {
            let at = self.crashes.iter().position(|c| c.causes().is_empty());
            self.crashes.remove(at.unwrap_or(0));
        }
        self.crashes.push_back(Crash { requests: Vec::new(), ..crash.clone() });
    }

    /// Records in the verdicts on the causes `added` that they occurred in the crash at index `at`.
    fn record_in_verdicts(&mut self, at: usize, added: &[Cause]) {
        let crash = &self.crashes[at];
        let is_beside = |other: &Crash, cause: Cause| {
            verdict::coincide(other.broken_at, crash.broken_at)
                && !other.has_cause(cause)
                && !self.is_explained(other, |c| c != cause)
        };
        let is_coincident = |cause| self.crashes.iter().any(|other| is_beside(other, cause));
        let coincident: Vec<Cause> = added.iter().copied().filter(|c| is_coincident(*c)).collect();
        let broken_at = crash.broken_at;
        for verdict in &mut self.quarantined {
            if added.binary_search(&verdict.cause()).is_ok() {
                let is_coincident = coincident.binary_search(&verdict.cause()).is_ok();
                verdict.record_crash(broken_at, is_coincident);
            }
        }
    }

    /// Records in the verdicts that do not explain the crash at index `at` that it occurred. Returns
    /// whether one has changed.
    fn record_beside_trials(&mut self, at: usize) -> bool {
        let crash = &self.crashes[at];
        if self.is_explained(crash, |_| true) {
            return false;
        }
        let broken_at = crash.broken_at;
        let mut changed = false;
        for verdict in &mut self.quarantined {
            changed |= verdict.record_other_crash(broken_at);
        }
        changed
    }

    /// Releases causes that were not tried yet and no longer qualify, since the crash at index `at`
    /// occurred without them at the moment of one with them. Returns whether there are any.
    fn release_unsupported(&mut self, at: usize) -> bool {
        let crash = &self.crashes[at];
        let is_contrary = |v: &&verdict::Verdict| {
            let with = |c: &Crash| c.has_cause(v.cause()) && is_same_moment(c, crash);
            v.quarantined.trials == 0
                && !crash.has_cause(v.cause())
                && self.crashes.iter().any(with)
        };
        let doubted: Vec<verdict::Verdict> =
            self.quarantined.iter().filter(is_contrary).copied().collect();
        for verdict in &doubted {
            // Its crashes count as unexplained while it is judged.
            self.quarantined.retain(|v| v.cause() != verdict.cause());
            if self.suspects().get(&verdict.cause()).is_some_and(Suspect::qualifies) {
                self.quarantined.push_back(*verdict);
            }
        }
        doubted.iter().any(|v| !self.is_quarantined(v.cause()))
    }
}

/// Whether two crashes are so close to each other that one event may have caused both.
fn is_same_moment(a: &Crash, b: &Crash) -> bool {
    a.broken_at != 0 && b.broken_at != 0 && a.broken_at.abs_diff(b.broken_at) <= MOMENT_MS
}

//! Replicated state: crashes of endpoints, and the causes that are quarantined because of them.

use crate::fleet::quarantine::Cause;
use crate::fleet::quarantine::Crash;
use crate::fleet::quarantine::MAX_PARTS;
use crate::fleet::quarantine::Quarantined;
use crate::fleet::quarantine::Summary;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;

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
    pub(super) quarantined: VecDeque<Quarantined>,
    pub(super) cleared: VecDeque<Cleared>,
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

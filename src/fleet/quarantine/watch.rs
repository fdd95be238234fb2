//! What one host knows of the replicated state, and whether a request may be sent.

use crate::fleet::quarantine::Cause;
use crate::fleet::quarantine::Quarantined;
use crate::fleet::quarantine::Summary;
use crate::fleet::quarantine::evidence;
use crate::fleet::stored;
use crate::sorted;
use std::time::Duration;

/// Time for which a host without a confirmed state sends no requests. The control group elects a
/// leader within it after a restart of all hosts.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Pauses before the trial of a cause by the number of trials that have failed. After the last one they
/// stay the same. The first two are shorter than the time in which items are owed; at most three trials
/// fail within a day.
const TRIAL_PAUSES: [Duration; 4] = [
    TRIAL_VALIDITY,
    Duration::from_secs(8),
    Duration::from_secs(5 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Time after its grant within which a trial has to be sent. The next one is granted later than that.
pub const TRIAL_VALIDITY: Duration = Duration::from_secs(2);
/// Time after which a host that was granted no trial asks for one again.
const TRIAL_RETRY: Duration = Duration::from_secs(2);

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
    evidence: evidence::Evidence,
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
    pub fn evidence(&mut self) -> &mut evidence::Evidence {
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
            let step = TRIAL_PAUSES.len().min(w.state.failed as usize + 1) - 1;
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

//! Decides whether an entry may send a request of a workspace. Free of I/O.
//!
//! Designed for tens of entries and more among which the connections of a workspace are spread
//! unevenly: an entry sends a request only with credit that the owner has granted to it, for which it
//! asks when the request arrives. While it has not heard from an owner for [`credit::LEASE`], it uses
//! an even share of each quota, too little for an entry with many connections.
//!
//! An entry follows one owner. It lets another one use its share only when the former can no longer
//! do so. Credit that the former has granted may be used for [`credit::LIFETIME`] after that, which
//! [`credit::Bound`] allows for.

use crate::fleet::limits;
use crate::fleet::workspaces::credit;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a request waits for credit.
pub const MAX_WAIT: Duration = Duration::from_millis(100);
/// Time for which a request waits while no owner may use the share of the entry yet, or while the bucket
/// of a new owner fills. Half a second longer than the lease: with the lease alone, the requests that
/// had waited longest were refused when the new owner began. A caller that is refused returns only once.
pub const START_WAIT: Duration = Duration::from_millis(1_500);
/// Time after the end of a lease within which the next owner is usually found: the store hosts elect it
/// while the lease still runs, and entries ask for it every 100 ms.
const FIND_TIME: Duration = Duration::from_millis(500);
/// Time after which requests that wait are reported again. An answer takes some milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Time after which use of credit is reported, if no request for credit does so before. The interval of
/// reports without news, since use that is reported on its own costs the owner two messages: at 800
/// requests a second over 340 entries it received 59 KB/s with 100 ms and 50 KB/s with 300 ms.
const USE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between reports without news, several within a lease.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Silence of the owner after which an entry follows another one. An owner that was frozen and does not
/// know yet that it has lost the leadership must not take entries from its successor. The successor may
/// use the share of an entry only after [`credit::LEASE`], so nothing is lost by this time.
const SWITCH_TIME: Duration = Duration::from_millis(500);
/// Time after which an entry returns credit that it has not used.
const IDLE_TIME: Duration = Duration::from_millis(200);
/// Time for which an unused turn of the fixed share may be used, and the credit that comes of it.
const TURN_TIME: Duration = Duration::from_millis(300);
/// Time over which the demand of a workspace is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// Time for whose demand credit is asked for in advance; some times the time of an answer.
const AHEAD_TIME: Duration = Duration::from_millis(50);
/// Time after which an unused workspace is forgotten.
const RETENTION: Duration = Duration::from_secs(3);
/// Shortest interval between turns and callers that is computed with.
const MIN_INTERVAL: Duration = Duration::from_micros(1);
/// Longest interval between turns and callers that is computed with.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);
/// Interval between log lines about one workspace.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Permission to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    /// Time until which the request may be sent.
    until: Duration,
    /// Whether it comes from the fixed share.
    is_share: bool,
}

impl Credit {
    /// Whether a request may be sent with it now.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.until > now
    }
}

/// Result of a request for credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// The request may be sent.
    Admitted(Credit),
    /// The quota is used up. This entry may expect credit at this interval.
    Over {
        /// Interval at which callers should return.
        interval: Duration,
    },
    /// It is not known whether the quota is used up, or too much credit waits to be used.
    Unknown,
    /// The request waits for an answer.
    Wait,
}

/// Turns in which an entry uses its share while it is out of contact: one at equal intervals. One that
/// is not used is lost. If each entry saved one, all could use it at the same moment.
#[derive(Clone, Copy, Debug)]
struct Turns {
    next: Duration,
}

impl Turns {
    fn is_due(&mut self, now: Duration, interval: Duration) -> bool {
        if self.next + TURN_TIME < now {
            let missed = (now - self.next).div_duration_f64(interval).floor();
            self.next += interval.mul_f64(missed);
            if self.next + TURN_TIME < now {
                self.next += interval;
            }
        }
        self.next <= now
    }
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Time of the report that it answers.
    asked: Duration,
    received: Duration,
    verdict: credit::Verdict,
}

/// Workspace that is in use.
#[derive(Clone, Debug)]
struct Account {
    /// Credit that no request uses, with the time at which it came here; what ends first is first.
    idle: Vec<(Credit, Duration)>,
    /// Credit of the owner that requests use which have not been sent yet.
    lent: u32,
    /// Requests that wait.
    waiting: u32,
    answer: Option<Answer>,
    /// Whether the owner does not know what credit was used.
    is_news: bool,
    /// Turns without an owner.
    turns: Option<Turns>,
    /// Requests, fading over [`DEMAND_TIME`].
    demand: f64,
    used: Duration,
    logged: Option<Duration>,
}

impl Account {
    fn new(now: Duration) -> Account {
        Account {
            idle: Vec::new(),
            lent: 0,
            waiting: 0,
            answer: None,
            is_news: false,
            turns: None,
            demand: 0.0,
            used: now,
            logged: None,
        }
    }

    fn drop_expired(&mut self, now: Duration) {
        self.idle.retain(|(credit, _)| credit.until > now);
    }

    fn wanted(&self) -> u32 {
        let idle = u32::try_from(self.idle.len()).unwrap_or(u32::MAX);
        self.waiting.saturating_sub(idle)
    }

    fn record_demand(&mut self, now: Duration) {
        let age = now.saturating_sub(self.used).div_duration_f64(DEMAND_TIME);
        self.demand = self.demand * (-age).exp() + 1.0;
        self.used = now;
    }

    /// Credit to ask for in advance.
    fn ahead(&self) -> u32 {
        // Saturates for a number that is too large.
        let ahead = (self.demand * AHEAD_TIME.div_duration_f64(DEMAND_TIME)) as u32;
        ahead.saturating_sub(u32::try_from(self.idle.len()).unwrap_or(u32::MAX))
    }
}

/// Owner that the entry follows.
#[derive(Clone, Debug)]
struct Owner {
    link: Arc<str>,
    term: limits::Term,
    /// Stamp of its last message.
    stamp: u64,
    /// Time of its last message.
    heard: Duration,
}

/// Who may use the entry's share of the quotas.
#[derive(Clone, Copy, Debug)]
enum Lease {
    /// The owner of a leadership.
    Lent {
        term: limits::Term,
        /// Time of its last message.
        heard: Duration,
    },
    /// No one since the entry has started, at the given time. The process before may have lent it.
    Unlent(Duration),
}

impl Lease {
    fn heard(&self) -> Duration {
        match self {
            Lease::Lent { heard, .. } => *heard,
            Lease::Unlent(since) => *since,
        }
    }
}

/// Change of contact to log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An owner was found.
    Found(Arc<str>),
    /// The owner with this address was lost.
    Lost(Arc<str>),
}

/// Credit of the workspaces at one entry.
#[derive(Clone, Debug)]
pub struct Credits {
    start_time: u64,
    accounts: sorted::SortedMap<credit::Key, Account>,
    owner: Option<Owner>,
    /// Owner before the present one, whose last messages may still arrive.
    former: Option<(Arc<str>, limits::Term)>,
    lease: Lease,
    /// Entries of the fleet, which share the quotas without an owner.
    entries: u32,
    /// Stamp of the last report.
    stamp: u64,
    reported: Duration,
    /// Time of the last report with requests that has not been answered.
    pending: Option<Duration>,
    /// Owner in contact that was logged.
    found: Option<Arc<str>>,
}

impl Credits {
    /// Creates the state of an entry that starts now. `start_time` is its start in Unix time.
    pub fn new(now: Duration, start_time: u64) -> Credits {
        Credits {
            start_time,
            accounts: sorted::SortedMap::new(),
            owner: None,
            former: None,
            lease: Lease::Unlent(now),
            entries: 1,
            stamp: 0,
            reported: Duration::ZERO,
            pending: None,
            found: None,
        }
    }

    /// Sets the number of entries of the fleet.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Host that grants credit, if it has been heard lately.
    pub fn owner(&self, now: Duration) -> Option<&Arc<str>> {
        let is_near = |o: &&Owner| now.saturating_sub(o.heard) < credit::LEASE;
        self.owner.as_ref().filter(is_near).map(|o| &o.link)
    }

    /// Whether the entry uses its fixed share, since no owner may.
    fn uses_share(&self, now: Duration) -> bool {
        now.saturating_sub(self.lease.heard()) >= credit::LEASE
    }

    /// Time between two turns of the fixed share.
    fn turn_interval(&self, rate: f64) -> Duration {
        share_interval(self.entries, rate)
    }

    /// Begins the request for credit at `now`. `random` is a random number from 0 to 1. A request
    /// that gets `Wait` counts as waiting until [`Credits::end_wait`].
    pub fn begin(
        &mut self,
        now: Duration,
        key: credit::Key,
        bound: &credit::Bound,
        random: f64,
    ) -> Taken {
        let account = self.accounts.entry_or(key, || Account::new(now));
        account.record_demand(now);
        account.drop_expired(now);
        if u32::try_from(account.idle.len()).unwrap_or(u32::MAX) > account.waiting {
            return self.poll(now, key, bound, now, random);
        }
        // More than the quota brings in the longest wait are over it, and would only use memory.
        if f64::from(account.waiting) >= bound.bucket + bound.rate * START_WAIT.as_secs_f64() {
            return Taken::Unknown;
        }
        if let Some(Answer { received, verdict, .. }) = account.answer
            && let credit::Verdict::UsedUp { wait_ms, sharing } = verdict
            && now < received + Duration::from_millis(u64::from(wait_ms))
            && !self.uses_share(now)
        {
            return Taken::Over { interval: interval(bound, sharing) };
        }
        let taken = match account_share(self, now, key, bound, random) {
            Some(credit) => Taken::Admitted(credit),
            None => Taken::Wait,
        };
        if taken == Taken::Wait
            && let Some(account) = self.accounts.get_mut(&key)
        {
            account.waiting += 1;
        }
        taken
    }

    /// Tries to take credit for a request that asked at `asked`.
    pub fn poll(
        &mut self,
        now: Duration,
        key: credit::Key,
        bound: &credit::Bound,
        asked: Duration,
        random: f64,
    ) -> Taken {
        if let Some(account) = self.accounts.get_mut(&key) {
            account.drop_expired(now);
            if !account.idle.is_empty() {
                let (credit, _) = account.idle.remove(0);
                account.lent += 1;
                account.is_news = true;
                return Taken::Admitted(credit);
            }
        }
        if let Some(credit) = account_share(self, now, key, bound, random) {
            return Taken::Admitted(credit);
        }
        let answer = self.accounts.get(&key).and_then(|a| a.answer).filter(|a| a.asked >= asked);
        match answer.map(|a| a.verdict) {
            Some(credit::Verdict::UsedUp { sharing, .. }) if !self.uses_share(now) => {
                Taken::Over { interval: interval(bound, sharing) }
            }
            Some(credit::Verdict::Unused) if !self.uses_share(now) => Taken::Unknown,
            verdict if now >= self.wait_end(asked, verdict) => Taken::Unknown,
            _ => Taken::Wait,
        }
    }

    /// End of the wait of a request that asked at `asked`.
    fn wait_end(&self, asked: Duration, verdict: Option<credit::Verdict>) -> Duration {
        let longest = asked + START_WAIT;
        if matches!(verdict, Some(credit::Verdict::Filling { .. })) {
            return longest;
        }
        let service = self.lease.heard() + credit::LEASE;
        (asked + MAX_WAIT).max((service + FIND_TIME).min(longest))
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self, key: credit::Key) {
        if let Some(account) = self.accounts.get_mut(&key) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Gives back the credit of a request that is not sent.
    pub fn give_back(&mut self, now: Duration, key: credit::Key, credit: Credit) {
        if credit.is_share {
            // The turn is lost, as others are that are not used.
            return;
        }
        let Some(account) = self.accounts.get_mut(&key) else { return };
        account.lent = account.lent.saturating_sub(1);
        account.is_news = true;
        if credit.until > now {
            let at = account.idle.partition_point(|(c, _)| c.until <= credit.until);
            account.idle.insert(at, (credit, now));
        }
    }

    /// Uses credit for a request that is sent now. Returns `false` if it has ended and no other is
    /// held. Must be called right before the request is sent.
    pub fn spend(&mut self, now: Duration, key: credit::Key, credit: Credit) -> bool {
        let account = self.accounts.get_mut(&key);
        if credit.is_share {
            return credit.until > now;
        }
        let Some(account) = account else { return false };
        account.lent = account.lent.saturating_sub(1);
        account.is_news = true;
        account.drop_expired(now);
        let is_usable = credit.until > now;
        if !is_usable && !account.idle.is_empty() {
            account.idle.remove(0);
            return true;
        }
        is_usable
    }

    /// Whether a log line about a workspace over its quota is due.
    pub fn try_take_log(&mut self, now: Duration, key: credit::Key) -> bool {
        let Some(account) = self.accounts.get_mut(&key) else { return false };
        let is_due = account.logged.is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL);
        if is_due {
            account.logged = Some(now);
        }
        is_due
    }

    /// Change of contact since the last call.
    pub fn take_change(&mut self, now: Duration) -> Option<Change> {
        let near = self.owner(now).cloned();
        if near == self.found {
            return None;
        }
        let former = std::mem::replace(&mut self.found, near.clone());
        near.map(Change::Found).or(former.map(Change::Lost))
    }

    /// Applies an answer of the owner `from`. Returns whether it was not outdated.
    pub fn apply(&mut self, now: Duration, from: &Arc<str>, grants: &credit::Grants) -> bool {
        let (term, stamp) = (grants.term, grants.stamp);
        if grants.start_time != self.start_time || grants.seen > self.stamp {
            return false;
        }
        if let Some(owner) = &self.owner {
            let is_former = self.former.as_ref().is_some_and(|(l, t)| l == from && *t == term);
            let is_present = owner.link == *from && owner.term == term;
            let is_silent = now.saturating_sub(owner.heard) >= credit::LEASE;
            let is_earlier = owner.link == *from
                && (owner.term.start_time, owner.term.epoch) != (term.start_time, term.epoch)
                && owner.term.start_time == term.start_time
                && owner.term.epoch > term.epoch;
            let is_later = owner.link == *from
                && owner.term.start_time == term.start_time
                && owner.term.epoch < term.epoch;
            let is_heard = now.saturating_sub(owner.heard) < SWITCH_TIME;
            if (is_former && !is_silent)
                || is_earlier
                || (is_present && stamp <= owner.stamp)
                || (!is_present && !is_later && is_heard)
            {
                return false;
            }
            if !is_present {
                self.former = Some((owner.link.clone(), owner.term));
                for (_, account) in self.accounts.iter_mut() {
                    account.is_news = account.lent > 0 || !account.idle.is_empty();
                    account.answer = None;
                }
            }
        }
        self.owner = Some(Owner { link: from.clone(), term, stamp, heard: now });
        let is_lent_to = matches!(self.lease, Lease::Lent { term: t, .. } if t == term);
        let is_kept = grants.held && matches!(self.lease, Lease::Unlent(_));
        // Another owner may use the share until then, except if the sender has kept the lease of the
        // process before.
        if is_lent_to || is_kept || now >= self.lease.heard() + credit::LEASE {
            self.lease = Lease::Lent { term, heard: now };
            for (_, account) in self.accounts.iter_mut() {
                account.turns = None;
            }
        }
        let asked = Duration::from_micros(grants.seen);
        if self.pending.is_some_and(|at| at <= asked) {
            self.pending = None;
        }
        let until = asked + credit::LIFETIME;
        for line in &grants.lines {
            let account = self.accounts.entry_or(line.key, || Account::new(now));
            account.answer = Some(Answer { asked, received: now, verdict: line.verdict });
            account.is_news |= line.count > 0;
            if until > now {
                let credit = Credit { until, is_share: false };
                account.idle.extend(std::iter::repeat_n((credit, now), line.count as usize));
            }
        }
        true
    }

    /// Whether a report is due because requests wait.
    pub fn is_asking(&self, now: Duration) -> bool {
        let is_free = self.pending.is_none_or(|at| now.saturating_sub(at) >= ANSWER_TIMEOUT);
        is_free
            && self.accounts.values().any(|a| a.wanted() > 0 && !a.is_answered(now, self.reported))
    }

    /// Report that is due now, if any.
    pub fn next_report(&mut self, now: Duration) -> Option<credit::Report> {
        let age = now.saturating_sub(self.reported);
        let is_asking = self.is_asking(now);
        let is_news = |a: &Account| a.is_news || a.has_idle_to_return(now);
        let has_news = age >= USE_INTERVAL && self.accounts.values().any(is_news);
        if !is_asking && !has_news && age < REPEAT_INTERVAL {
            return None;
        }
        Some(self.report(now))
    }

    fn report(&mut self, now: Duration) -> credit::Report {
        self.stamp = credit::micros(now).max(self.stamp + 1);
        self.reported = Duration::from_micros(self.stamp);
        let mut lines = Vec::new();
        let mut is_asking = false;
        self.accounts.retain(|key, account| {
            account.drop_expired(now);
            let returned = account.take_idle(now);
            let wanted = account.wanted();
            if wanted > 0 || returned > 0 || account.is_news {
                is_asking |= wanted > 0;
                account.is_news = false;
                let ahead = if wanted > 0 { account.ahead() } else { 0 };
                let idle = u32::try_from(account.idle.len()).unwrap_or(u32::MAX);
                let held = idle + account.lent;
                lines.push(credit::ReportLine { key: *key, wanted, ahead, held, returned });
            }
            let is_used = now.saturating_sub(account.used) < RETENTION;
            is_used || account.waiting > 0 || account.lent > 0 || !account.idle.is_empty()
        });
        if is_asking {
            self.pending = Some(Duration::from_micros(self.stamp));
        }
        let (term, heard) = match &self.owner {
            Some(owner) => (Some(owner.term), owner.stamp),
            None => (None, 0),
        };
        let bound = matches!(self.lease, Lease::Lent { term: t, .. } if Some(t) == term);
        let (start_time, stamp) = (self.start_time, self.stamp);
        credit::Report { start_time, stamp, term, heard, bound, lines }
    }

    /// Report to a host that may be a new owner, without requests for credit.
    pub fn introduction(&mut self, now: Duration) -> credit::Report {
        self.stamp = credit::micros(now).max(self.stamp + 1);
        let held = |(key, a): (&credit::Key, &Account)| {
            let held = u32::try_from(a.idle.len()).unwrap_or(u32::MAX) + a.lent;
            let (wanted, ahead, returned) = (0, 0, 0);
            (held > 0).then_some(credit::ReportLine { key: *key, wanted, ahead, held, returned })
        };
        let lines = self.accounts.iter().filter_map(held).collect();
        let (start_time, stamp) = (self.start_time, self.stamp);
        credit::Report { start_time, stamp, term: None, heard: 0, bound: false, lines }
    }

    /// Requests that wait for credit.
    pub fn waiting(&self) -> u32 {
        self.accounts.values().map(|a| a.waiting).sum()
    }

    /// Workspaces with state.
    pub fn workspaces(&self) -> usize {
        self.accounts.len()
    }

    /// Bytes of state, about.
    pub fn state_bytes(&self) -> usize {
        let account = |a: &Account| {
            size_of::<(credit::Key, Account)>()
                + a.idle.capacity() * size_of::<(Credit, Duration)>()
        };
        self.accounts.values().map(account).sum()
    }
}

impl Account {
    /// Whether the last report at `reported` was answered with a statement that ends every wait, or
    /// until when it is of no use to ask again.
    fn is_answered(&self, now: Duration, reported: Duration) -> bool {
        let ends = |a: &Answer| {
            let is_final = match a.verdict {
                credit::Verdict::UsedUp { .. } | credit::Verdict::Unused => true,
                credit::Verdict::Filling { wait_ms } => {
                    now < a.received + Duration::from_millis(u64::from(wait_ms))
                }
                credit::Verdict::Met | credit::Verdict::Unknown => false,
            };
            is_final && a.asked >= reported && a.asked >= self.used
        };
        self.answer.as_ref().is_some_and(ends)
    }

    /// Idle credit that is to be returned.
    fn idle_count(&self, now: Duration) -> usize {
        let is_old = |(_, since): &&(Credit, Duration)| now.saturating_sub(*since) >= IDLE_TIME;
        let spare = self.idle.len().saturating_sub(self.waiting as usize);
        self.idle.iter().filter(is_old).count().min(spare)
    }

    fn has_idle_to_return(&self, now: Duration) -> bool {
        self.idle_count(now) > 0
    }

    fn take_idle(&mut self, now: Duration) -> u32 {
        let count = self.idle_count(now);
        self.idle.drain(..count);
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Interval at which an entry may expect credit that `sharing` entries ask for.
fn interval(bound: &credit::Bound, sharing: u32) -> Duration {
    share_interval(sharing.max(1), bound.rate)
}

/// Interval at which each of `count` entries gets its turn at `rate` requests a second in all. A
/// configuration may hold any positive rate, so the interval is limited to what times can be computed
/// with.
fn share_interval(count: u32, rate: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(f64::from(count) / rate).unwrap_or(MAX_INTERVAL);
    interval.clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Takes a turn of the fixed share, if the entry uses it.
fn account_share(
    credits: &mut Credits,
    now: Duration,
    key: credit::Key,
    bound: &credit::Bound,
    random: f64,
) -> Option<Credit> {
    let interval = credits.turn_interval(bound.rate);
    let uses_share = credits.uses_share(now);
    let account = credits.accounts.get_mut(&key)?;
    let is_unknown = account.answer.is_some_and(|a| a.verdict == credit::Verdict::Unknown);
    if !uses_share && !is_unknown {
        return None;
    }
    let first = || Turns { next: now + interval.mul_f64(random) };
    let turns = account.turns.get_or_insert_with(first);
    if !turns.is_due(now, interval) {
        return None;
    }
    turns.next += interval;
    Some(Credit { until: now + TURN_TIME, is_share: true })
}

//! Decides which entry gets credit for the requests of a workspace. Free of I/O.
//!
//! Designed for up to 8,800 workspaces over 340 entries, of which most send a few requests a second
//! from a few connections, and some send 7.5 times their usual traffic for seconds.
//!
//! The bound holds for any loss of messages, frozen or restarted entries and several owners at a
//! time, since each entry lends its share of every quota to one owner at most:
//! - A bucket is filled, and is as large, only for the share of the entries whose lease the owner
//!   holds. The lease begins when the owner sent the message that the entry confirms, and an entry
//!   uses its own share only a lease after it got that message.
//! - Credit that was granted counts as unused until the entry reports otherwise or its lifetime is
//!   over. The lifetime begins at the entry when it asks and here when credit is granted, which is
//!   later. So a frozen entry never uses credit that no longer counts here.
//!
//! Requests sent in a window are thus at most those that the bucket and the unused credit held at its
//! begin, and what the rate brings.

use crate::fleet::limits;
use crate::fleet::workspaces::credit;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Share of the bucket above which credit is granted in advance. Other entries may need the rest.
const AHEAD_LEVEL: f64 = 0.5;
/// Share of the unused credit up to which credit is granted in advance.
const AHEAD_UNUSED: f64 = 0.5;
/// Time for which an entry that has asked for credit of a workspace counts as sharing it.
const SHARING_TIME: Duration = Duration::from_millis(500);
/// Longest time for which an entry is told not to ask again.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Supply in seconds up to which an empty bucket does not tell that a quota is used up. Two seconds fill
/// the bursts of the usual quotas, which are what the rate brings in 1 to 1.5 s.
const FILL_SUPPLY: f64 = 2.0;
/// Time after which an entry whose requests wait for a bucket to fill asks again.
const FILL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which idle workspaces are forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Credit granted in one message.
#[derive(Clone, Copy, Debug)]
struct Batch {
    /// Stamp of the message.
    stamp: u64,
    count: u32,
}

/// Entry that uses a workspace.
#[derive(Clone, Debug)]
struct Holder {
    entry: u32,
    /// Time of its last request for credit.
    asked: Duration,
    /// Unused credit, oldest first.
    batches: Vec<Batch>,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    tokens: f64,
    /// Supply when the bucket was filled last.
    supply: f64,
    /// Level when the bucket was filled last.
    level: u64,
    /// Sorted by entry.
    holders: Vec<Holder>,
}

/// Share of the entries whose leases were held at a time.
#[derive(Clone, Copy, Debug)]
struct Level {
    index: u64,
    share: f64,
    /// Supply at its end; not used for the present level.
    end: f64,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    id: u32,
    start_time: u64,
    /// Stamp of the last report.
    seen: u64,
    /// Stamp of the last answer.
    sent: u64,
    /// End of its lease.
    leased: Duration,
    /// Whether its lease counts at present.
    counted: bool,
    /// Whether the directory lists it.
    listed: bool,
}

/// Buckets of the workspaces in one leadership.
#[derive(Clone, Debug)]
pub struct Allocator {
    term: limits::Term,
    quotas: sorted::SortedMap<credit::Key, credit::Bound>,
    buckets: sorted::SortedMap<credit::Key, Bucket>,
    hosts: sorted::SortedMap<Arc<str>, Host>,
    next_id: u32,
    /// Entries of the directory, sorted.
    entries: Vec<Arc<str>>,
    /// Time up to which `supply` is known.
    now: Duration,
    /// Seconds for which leases were held, in shares of all entries.
    supply: f64,
    /// Levels with lower ones before them only; the present one is last.
    levels: Vec<Level>,
    /// Time before which no lease ends.
    next_end: Duration,
    swept: Duration,
    /// Whether the quotas of a configuration are known.
    configured: bool,
}

impl Allocator {
    /// Creates the state of a new leadership, in which every bucket is empty.
    pub fn new(now: Duration, term: limits::Term) -> Allocator {
        Allocator {
            term,
            quotas: sorted::SortedMap::new(),
            buckets: sorted::SortedMap::new(),
            hosts: sorted::SortedMap::new(),
            next_id: 0,
            entries: Vec::new(),
            now,
            supply: 0.0,
            levels: vec![Level { index: 0, share: 0.0, end: 0.0 }],
            next_end: Duration::MAX,
            swept: now,
            configured: false,
        }
    }

    /// Leadership of the owner.
    pub fn term(&self) -> limits::Term {
        self.term
    }

    /// Workspaces with state.
    pub fn workspaces(&self) -> usize {
        self.buckets.len()
    }

    /// Bytes of state, about.
    pub fn state_bytes(&self) -> usize {
        let holder = |h: &Holder| size_of::<Holder>() + h.batches.capacity() * size_of::<Batch>();
        let buckets = self.buckets.values().map(|b| {
            size_of::<(credit::Key, Bucket)>()
                + b.holders.iter().map(holder).sum::<usize>()
                + (b.holders.capacity() - b.holders.len()) * size_of::<Holder>()
        });
        buckets.sum::<usize>()
            + self.quotas.len() * size_of::<(credit::Key, credit::Bound)>()
            + self.hosts.len() * size_of::<(Arc<str>, Host)>()
    }

    /// Sets the quotas in force. A lower one lowers the bucket at once; a higher one adds no credit.
    pub fn set_quotas(
        &mut self,
        now: Duration,
        quotas: sorted::SortedMap<credit::Key, credit::Bound>,
    ) {
        self.advance(now);
        if self.configured {
            let (supply, levels) = (self.supply, &self.levels);
            for (key, bound) in quotas.iter() {
                let before = self.quotas.get(key);
                if before == Some(bound) {
                    continue;
                }
                let bucket = self.buckets.entry_or(*key, Bucket::default);
                match before {
                    Some(before) => bucket.fill(before, supply, levels),
                    None => bucket.clear(supply, levels),
                }
                bucket.fill(bound, supply, levels);
            }
        }
        self.buckets.retain(|key, _| quotas.contains(key));
        (self.quotas, self.configured) = (quotas, true);
    }

    /// Sets the entries of the directory, sorted. An entry that is not listed has no share.
    pub fn set_entries(&mut self, now: Duration, entries: &[Arc<str>]) {
        self.advance(now);
        if self.entries != entries {
            self.entries = entries.to_vec();
        }
        let mut next_end = Duration::MAX;
        self.hosts.retain(|link, host| {
            host.listed = entries.binary_search(link).is_ok();
            host.counted = host.listed && host.leased > now;
            if host.counted {
                next_end = next_end.min(host.leased);
            }
            host.listed || host.leased > now
        });
        self.next_end = next_end;
        self.set_level();
    }

    /// Share of the entries whose leases are held.
    pub fn share(&self) -> f64 {
        self.levels.last().map_or(0.0, |l| l.share)
    }

    /// Adds what the time until `now` has brought, with the leases that ended meanwhile.
    fn advance(&mut self, now: Duration) {
        while self.next_end <= now {
            self.add_supply(self.next_end);
            let at = self.next_end;
            self.next_end = Duration::MAX;
            for (_, host) in self.hosts.iter_mut().filter(|(_, h)| h.counted) {
                if host.leased <= at {
                    host.counted = false;
                } else {
                    self.next_end = self.next_end.min(host.leased);
                }
            }
            self.set_level();
        }
        self.add_supply(now);
    }

    fn add_supply(&mut self, until: Duration) {
        self.supply += until.saturating_sub(self.now).as_secs_f64() * self.share();
        self.now = self.now.max(until);
    }

    fn set_level(&mut self) {
        let counted = self.hosts.values().filter(|h| h.counted).count();
        let share = counted as f64 / self.entries.len().max(1) as f64;
        let Some(last) = self.levels.last_mut().filter(|l| l.share != share) else { return };
        last.end = self.supply;
        let index = last.index + 1;
        while self.levels.last().is_some_and(|l| l.share >= share) {
            self.levels.pop();
        }
        self.levels.push(Level { index, share, end: 0.0 });
    }

    /// Records a report and returns the answer; `None` if the report is outdated.
    pub fn answer(
        &mut self,
        now: Duration,
        from: &Arc<str>,
        report: &credit::Report,
    ) -> Option<credit::Grants> {
        self.advance(now);
        let start_time = report.start_time;
        let (next_id, listed) = (self.next_id, self.entries.binary_search(from).is_ok());
        let new = || Host {
            id: next_id,
            start_time,
            seen: 0,
            sent: 0,
            leased: Duration::ZERO,
            counted: false,
            listed,
        };
        let host = self.hosts.entry_or(from.clone(), new);
        if host.id == next_id {
            self.next_id += 1;
        }
        if host.start_time == start_time && report.stamp <= host.seen {
            return None;
        }
        (host.start_time, host.seen) = (start_time, report.stamp);
        let stamp = credit::micros(now).max(host.sent + 1);
        host.sent = stamp;
        let is_own = report.term == Some(self.term);
        let held = host.leased > now;
        let mut is_new = false;
        if is_own && report.bound {
            let end = Duration::from_micros(report.heard).min(now) + credit::LEASE;
            host.leased = host.leased.max(end);
            if host.listed && !host.counted && host.leased > now {
                (host.counted, is_new) = (true, true);
                self.next_end = self.next_end.min(host.leased);
            }
        }
        let (id, heard) = (host.id, if is_own { report.heard } else { 0 });
        if is_new {
            self.set_level();
        }
        let mut lines = Vec::new();
        for line in &report.lines {
            lines.extend(self.answer_line(id, heard, stamp, line));
        }
        self.sweep();
        let term = self.term;
        Some(credit::Grants { term, start_time, stamp, seen: report.stamp, held, lines })
    }

    fn answer_line(
        &mut self,
        entry: u32,
        heard: u64,
        stamp: u64,
        line: &credit::ReportLine,
    ) -> Option<credit::GrantLine> {
        let asks = line.wanted > 0 || line.ahead > 0;
        let key = line.key;
        let Some(bound) = self.quotas.get(&key) else {
            let verdict = credit::Verdict::Unknown;
            return asks.then_some(credit::GrantLine { key, count: 0, verdict });
        };
        let is_filling = self.supply < FILL_SUPPLY;
        let (now, share) = (self.now, self.levels.last().map_or(0.0, |l| l.share));
        let bucket = self.buckets.entry_or(key, Bucket::default);
        bucket.fill(bound, self.supply, &self.levels);
        bucket.settle(now, entry, heard, stamp, line);
        bucket.tokens = bucket.tokens.min(bound.bucket * share);
        if !asks {
            return None;
        }
        let unused = f64::from(bucket.unused());
        let room = (bound.unused * share - unused).max(0.0);
        let mut count = line.wanted.min(bucket.tokens as u32).min(room as u32);
        let is_met = count == line.wanted;
        if is_met {
            let spare = bucket.tokens - f64::from(count) - bound.bucket * AHEAD_LEVEL;
            let room = bound.unused * share * AHEAD_UNUSED - unused - f64::from(count);
            // Saturates at 0.
            count += line.ahead.min(spare as u32).min(room as u32);
        }
        bucket.tokens -= f64::from(count);
        let (tokens, sharing) = (bucket.tokens, bucket.sharing(now));
        if count > 0 {
            bucket.holder(entry, now).batches.push(Batch { stamp, count });
        }
        let verdict = match () {
            () if is_met => credit::Verdict::Met,
            () if tokens < 1.0 && is_filling => {
                credit::Verdict::Filling { wait_ms: FILL_INTERVAL.as_millis() as u32 }
            }
            () if tokens < 1.0 => {
                let rate = (bound.rate * share).max(f64::MIN_POSITIVE);
                let turn = f64::from(sharing.max(1)) - tokens;
                let wait = (turn / rate).min(MAX_WAIT.as_secs_f64());
                credit::Verdict::UsedUp { wait_ms: (wait * 1_000.0).ceil() as u32, sharing }
            }
            () => credit::Verdict::Unused,
        };
        Some(credit::GrantLine { key, count, verdict })
    }

    /// Forgets workspaces whose buckets are full, as those are that have never been used.
    fn sweep(&mut self) {
        if self.now.saturating_sub(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = self.now;
        let (now, supply, levels, share) = (self.now, self.supply, &self.levels, self.share());
        let quotas = &self.quotas;
        self.buckets.retain(|key, bucket| {
            let Some(bound) = quotas.get(key) else { return false };
            bucket.drop_expired(now);
            bucket.fill(bound, supply, levels);
            let mut unused = Bucket::default();
            unused.fill(bound, supply, levels);
            let is_full = bucket.tokens >= bound.bucket * share && unused.tokens >= bucket.tokens;
            !bucket.holders.is_empty() || !is_full
        });
    }
}

impl Bucket {
    /// Adds what the supply has brought. The bucket is as large as the share of the leases, and was
    /// so at each level since it was filled last.
    fn fill(&mut self, bound: &credit::Bound, supply: f64, levels: &[Level]) {
        let mut tokens = self.tokens + bound.rate * (supply - self.supply);
        let first = levels.partition_point(|l| l.index < self.level);
        for (at, level) in levels.iter().enumerate().skip(first) {
            let end = if at + 1 == levels.len() { supply } else { level.end };
            tokens = tokens.min(bound.bucket * level.share + bound.rate * (supply - end));
        }
        self.tokens = tokens;
        (self.supply, self.level) = (supply, levels.last().map_or(0, |l| l.index));
    }

    /// Empties the bucket.
    fn clear(&mut self, supply: f64, levels: &[Level]) {
        self.tokens = 0.0;
        (self.supply, self.level) = (supply, levels.last().map_or(0, |l| l.index));
    }

    fn holder(&mut self, entry: u32, now: Duration) -> &mut Holder {
        let at = match self.holders.binary_search_by_key(&entry, |h| h.entry) {
            Ok(at) => at,
            Err(at) => {
                let holder = Holder { entry, asked: now, batches: Vec::new() };
                self.holders.insert(at, holder);
                at
            }
        };
        &mut self.holders[at]
    }

    /// Forgets credit whose lifetime is over, and entries that no longer use the workspace.
    fn drop_expired(&mut self, now: Duration) {
        self.holders.retain_mut(|holder| {
            let is_usable = |b: &Batch| Duration::from_micros(b.stamp) + credit::LIFETIME > now;
            holder.batches.retain(is_usable);
            !holder.batches.is_empty() || now.saturating_sub(holder.asked) < SHARING_TIME
        });
    }

    /// Applies what an entry reports of its credit. `heard` is the stamp of the last message that it
    /// has got; later ones are under way.
    fn settle(
        &mut self,
        now: Duration,
        entry: u32,
        heard: u64,
        stamp: u64,
        line: &credit::ReportLine,
    ) {
        self.drop_expired(now);
        let holder = self.holder(entry, now);
        if line.wanted > 0 {
            holder.asked = now;
        }
        let known: u32 = holder.batches.iter().filter(|b| b.stamp <= heard).map(|b| b.count).sum();
        let mut gone = known.saturating_sub(line.held);
        let returned = f64::from(gone.min(line.returned));
        // The entry may have used any of it; what lives longest counts as unused.
        for batch in holder.batches.iter_mut().filter(|b| b.stamp <= heard) {
            let used = batch.count.min(gone);
            (batch.count, gone) = (batch.count - used, gone - used);
        }
        holder.batches.retain(|b| b.count > 0);
        if heard == 0 && line.held > 0 {
            // Credit of a former owner.
            let known: u32 = holder.batches.iter().map(|b| b.count).sum();
            let count = line.held.saturating_sub(known);
            if count > 0 {
                holder.batches.push(Batch { stamp, count });
            }
        }
        self.tokens += returned;
    }

    fn unused(&self) -> u32 {
        self.holders.iter().flat_map(|h| &h.batches).map(|b| b.count).sum()
    }

    fn sharing(&self, now: Duration) -> u32 {
        let asks = |h: &&Holder| now.saturating_sub(h.asked) < SHARING_TIME;
        u32::try_from(self.holders.iter().filter(asks).count()).unwrap_or(u32::MAX)
    }
}

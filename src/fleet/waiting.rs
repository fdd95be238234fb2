//! Decides which requests of an entry wait for a slot, and which of them gets one. Free of I/O.
//!
//! Designed for steps of online requests to somewhat more than all slots, a few seconds long and
//! followed by less. A request that waits at an endpoint is bound to it, although another endpoint
//! may be free first, and other entries learn of it late. A request that waits here takes over the
//! next slot that a request of the same entry releases. The other entries never see that slot free,
//! so none of them sends a request there at the same moment.
//!
//! If slots are scarce for seconds and one workspace sends many times its usual load, a queue in order
//! of arrival gives it as many times its usual slots. Instead, new requests are ordered by rank, and
//! within a rank each workspace has as many turns as any other. An entry's queue is only a few
//! requests long, so the order among those that wait now does not suffice: the slots that a workspace
//! has taken recently count as turns that it has had.
//!
//! If one workspace alone asks for more than all slots, requests that can no longer be in time must
//! not take slots that others need. A refused caller returns, is late as well, and cannot be told from
//! one that asks for the first time. So a late request waits on at the entry while its caller does,
//! and gets a slot only when enough of all slots are free.

use crate::sorted;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Weight of the latest request in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 0.1;
/// Time after which a turn counts for 1/e. About as long as slots are scarce in one step of the load.
const TURN_DECAY: Duration = Duration::from_millis(2_400);
/// Turns below which the account of a workspace is dropped.
const MIN_TURNS: f64 = 0.1;
/// Interval at which accounts are checked for those to drop.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which late requests of an entry look for a free slot, one of them each time. An entry
/// learns within it what the others have sent meanwhile.
pub const LATE_INTERVAL: Duration = Duration::from_millis(50);
/// Slots for each one that must be free for a late request to take one. With 1 in 20, late requests
/// after an overload left 0.05 to 0.1 fewer of the others in time.
const SLOTS_PER_SPARE: u32 = 10;

/// Urgency of a request; the lowest is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of its workspace; 0 without one.
    pub workspace: u64,
    /// Priority of its route.
    pub route: u64,
}

/// What decides the turn of a new request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Urgency.
    pub rank: Rank,
    /// Name of its workspace. Requests without one share their turns.
    pub workspace: Option<Arc<str>>,
}

/// Result of joining the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct Joined {
    /// Ticket of the request.
    pub ticket: u64,
    /// Tickets of requests that were removed, since this one goes first and they would probably get no
    /// slot in time any more.
    pub displaced: Vec<u64>,
}

/// Stream that goes on and waits.
#[derive(Debug)]
struct Stream {
    ticket: u64,
    /// Time until which it can still use a slot.
    until: Duration,
    /// Build of the endpoints that can continue it.
    build: Arc<str>,
}

/// New request that waits.
#[derive(Debug)]
struct New {
    ticket: u64,
    /// Time until which it can still use a slot.
    until: Duration,
    claim: Claim,
    /// Turns that its workspace has before it, including recent ones.
    turn: f64,
}

/// Turns that workspaces have had recently.
#[derive(Debug, Default)]
struct Accounts {
    /// Turns, and the time for which the number holds.
    turns: sorted::SortedMap<Option<Arc<str>>, (f64, Duration)>,
    last_cleanup: Duration,
}

impl Accounts {
    fn turns(&self, now: Duration, workspace: &Option<Arc<str>>) -> f64 {
        self.turns.get(workspace).map_or(0.0, |account| decayed(now, *account))
    }

    fn record(&mut self, now: Duration, workspace: &Option<Arc<str>>) {
        // Without workspaces there is nothing to compare with.
        if workspace.is_none() && self.turns.is_empty() {
            return;
        }
        let account = self.turns.entry_or(workspace.clone(), || (0.0, now));
        *account = (decayed(now, *account) + 1.0, now);
        if now.saturating_sub(self.last_cleanup) >= CLEANUP_INTERVAL {
            self.last_cleanup = now;
            self.turns.retain(|_, account| decayed(now, *account) >= MIN_TURNS);
        }
    }
}

/// Whether a late request may take a slot while `free` of all `slots` of its service are free.
pub fn has_spare(free: u32, slots: u32) -> bool {
    free > slots / SLOTS_PER_SPARE
}

/// Turns of an account that still count at `now`.
fn decayed(now: Duration, (turns, at): (f64, Duration)) -> f64 {
    turns * (-now.saturating_sub(at).div_duration_f64(TURN_DECAY)).exp()
}

/// Puts requests in order of their turns.
fn sort(requests: &mut [New], accounts: &Accounts, now: Duration) {
    // Without a workspace, the time that is left does not count, as before there were workspaces.
    let until = |w: &New| w.claim.workspace.as_ref().map(|_| w.until);
    let group = |w: &New| (w.claim.rank, w.claim.workspace.clone());
    requests.sort_by_cached_key(|w| (group(w), until(w), w.ticket));
    for of_group in requests.chunk_by_mut(|a, b| a.claim == b.claim) {
        let mut turn = accounts.turns(now, &of_group[0].claim.workspace);
        for waiting in of_group {
            waiting.turn = turn;
            turn += 1.0;
        }
    }
    requests.sort_by(|a, b| {
        let by_rank = a.claim.rank.cmp(&b.claim.rank).then(a.turn.total_cmp(&b.turn));
        by_rank.then((a.until, a.ticket).cmp(&(b.until, b.ticket)))
    });
}

/// Requests for one service that wait at one entry: streams that go on first, in order of arrival,
/// then new requests in order of their turns. Without workspaces and with equal ranks, the new
/// requests are in order of arrival. Late requests wait apart.
#[derive(Debug, Default)]
pub struct Queue {
    streams: VecDeque<Stream>,
    new: Vec<New>,
    /// Requests that can no longer be in time.
    late: Vec<New>,
    /// Time at which a late request has last looked for a free slot.
    last_search: Duration,
    accounts: Accounts,
    last_ticket: u64,
    /// Average run time of requests; `None` before the first one has ended.
    run_time: Option<Duration>,
}

impl Queue {
    /// Adds a request that can wait for `limit`, while the entry runs `running` requests. `grant` is
    /// the time until it may probably be sent to an endpoint with a limit, if there is one. Returns
    /// `None` if it would probably get no slot in time.
    pub fn join(
        &mut self,
        now: Duration,
        limit: Duration,
        running: u32,
        grant: Option<Duration>,
        claim: &Claim,
    ) -> Option<Joined> {
        let ticket = self.last_ticket + 1;
        self.new.push(New { ticket, until: now + limit, claim: claim.clone(), turn: 0.0 });
        self.sort(now);
        let at = self.new.iter().position(|w| w.ticket == ticket)?;
        let run_time = self.run_time;
        // Slots are released at equal intervals on average.
        let wait = |position: usize| {
            let position = u32::try_from(position).unwrap_or(u32::MAX);
            let release = run_time.and_then(|t| t.saturating_mul(position).checked_div(running));
            release.into_iter().chain(grant).min()
        };
        let mut position = self.streams.len() + at + 1;
        if wait(position).is_none_or(|wait| wait > limit) {
            self.new.remove(at);
            return None;
        }
        self.last_ticket = ticket;
        let mut displaced = Vec::new();
        for pushed in self.new.split_off(at + 1) {
            let left = pushed.until.saturating_sub(now);
            if wait(position + 1).is_some_and(|wait| wait <= left) {
                position += 1;
                self.new.push(pushed);
            } else {
                displaced.push(pushed.ticket);
            }
        }
        Some(Joined { ticket, displaced })
    }

    /// Adds a request that can no longer be in time and whose caller waits for `limit`, while the entry
    /// runs `running` requests. Returns `None` if it would probably not end before its caller gives up.
    pub fn join_late(
        &mut self,
        now: Duration,
        limit: Duration,
        running: u32,
        claim: &Claim,
    ) -> Option<u64> {
        let run_time = self.run_time?;
        let limit = limit.checked_sub(run_time)?;
        self.remove_expired(now);
        let ticket = self.last_ticket + 1;
        self.late.push(New { ticket, until: now + limit, claim: claim.clone(), turn: 0.0 });
        sort(&mut self.late, &self.accounts, now);
        let at = self.late.iter().position(|w| w.ticket == ticket)?;
        let position = u32::try_from(at + 1).unwrap_or(u32::MAX);
        let wait = run_time.saturating_mul(position).checked_div(running);
        if wait.is_none_or(|wait| wait > limit) {
            self.late.remove(at);
            return None;
        }
        self.last_ticket = ticket;
        Some(ticket)
    }

    /// Whether a late request may look for a free slot now. Records that one does.
    pub fn begin_search(&mut self, now: Duration) -> bool {
        let is_due = now.saturating_sub(self.last_search) >= LATE_INTERVAL;
        if !is_due || self.late.is_empty() || self.is_contended(now) {
            return false;
        }
        self.last_search = now;
        true
    }

    /// Ticket of the late request that takes a free slot.
    pub fn offer_late(&mut self, now: Duration) -> Option<u64> {
        self.remove_expired(now);
        sort(&mut self.late, &self.accounts, now);
        let first = (!self.late.is_empty()).then(|| self.late.remove(0))?;
        self.accounts.record(now, &first.claim.workspace);
        Some(first.ticket)
    }

    /// Puts the new requests in order of their turns.
    fn sort(&mut self, now: Duration) {
        sort(&mut self.new, &self.accounts, now);
    }

    /// Average run time of requests; `None` before the first one has ended.
    pub fn run_time(&self) -> Option<Duration> {
        self.run_time
    }

    /// Builds that the waiting requests need, with their numbers. `None` stands for any build.
    pub fn wanted(&self) -> sorted::SortedMap<Option<Arc<str>>, u32> {
        let mut wanted = sorted::SortedMap::new();
        let builds = self.streams.iter().map(|w| Some(w.build.clone()));
        for build in builds.chain(self.new.iter().map(|_| None)) {
            *wanted.entry_or(build, || 0) += 1;
        }
        wanted
    }

    /// Whether a request waits that can still use a slot.
    pub fn is_contended(&self, now: Duration) -> bool {
        let mut ends = self.streams.iter().map(|w| w.until).chain(self.new.iter().map(|w| w.until));
        ends.any(|until| until >= now)
    }

    /// Number of workspaces whose recent turns are kept.
    pub fn account_count(&self) -> usize {
        self.accounts.turns.len()
    }

    /// Records that a request takes a slot without having waited.
    pub fn record_turn(&mut self, now: Duration, claim: &Claim) {
        self.accounts.record(now, &claim.workspace);
    }

    /// Ticket of the request that takes a slot at an endpoint of `build` which no request of this
    /// entry has used.
    pub fn offer(&mut self, now: Duration, build: &str) -> Option<u64> {
        self.remove_expired(now);
        if let Some(at) = self.streams.iter().position(|w| *w.build == *build) {
            return self.streams.remove(at).map(|w| w.ticket);
        }
        self.sort(now);
        let first = (!self.new.is_empty()).then(|| self.new.remove(0))?;
        self.accounts.record(now, &first.claim.workspace);
        Some(first.ticket)
    }

    /// Ticket of the request that takes a free slot at an endpoint of `build` before a new request
    /// with `claim`, for which the slot was found; `None` if the new request takes it. A request of the
    /// same workspace does not go before it.
    pub fn offer_before(&mut self, now: Duration, build: &str, claim: &Claim) -> Option<u64> {
        self.remove_expired(now);
        self.sort(now);
        let goes_first = self.streams.iter().any(|w| *w.build == *build)
            || self.new.first().is_some_and(|first| {
                let waiting = self.new.iter().filter(|w| w.claim == *claim).count();
                let turn = self.accounts.turns(now, &claim.workspace) + waiting as f64;
                let order = first.claim.rank.cmp(&claim.rank).then(first.turn.total_cmp(&turn));
                first.claim.workspace != claim.workspace && order.is_le()
            });
        goes_first.then(|| self.offer(now, build)).flatten()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.streams.retain(|w| w.until >= now);
        self.new.retain(|w| w.until >= now);
        self.late.retain(|w| w.until >= now);
    }

    /// Adds a stream that goes on at endpoints of `build` only and can wait for `limit`. It goes
    /// before new requests, since its caller already has a part of the answer. Returns its ticket.
    pub fn join_first(&mut self, now: Duration, limit: Duration, build: &Arc<str>) -> u64 {
        self.last_ticket += 1;
        let (ticket, build) = (self.last_ticket, build.clone());
        self.streams.push_back(Stream { ticket, until: now + limit, build });
        ticket
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, ticket: u64) {
        self.streams.retain(|w| w.ticket != ticket);
        self.new.retain(|w| w.ticket != ticket);
        self.late.retain(|w| w.ticket != ticket);
    }

    /// Records that a request has ended after `run_time`, which frees its slot at an endpoint of
    /// `build`. Returns the ticket of the request that takes the slot over.
    pub fn release(&mut self, now: Duration, run_time: Duration, build: &str) -> Option<u64> {
        let average = self.run_time.unwrap_or(run_time);
        self.run_time =
            Some(average.mul_f64(1.0 - RUN_TIME_WEIGHT) + run_time.mul_f64(RUN_TIME_WEIGHT));
        self.offer(now, build)
    }
}

//! Table of attempts at one agent, which makes withdrawals final.
//!
//! An entry numbers its connections to the agent; a newer connection replaces the older ones, and
//! frames of an older one that were not admitted are refused. A withdrawal over a fresh connection
//! is therefore final without any assumption about time: the attempt is either in the table or can
//! no longer enter it. The numbers of an entry must also ascend over its restarts.
//!
//! The answer `NeverRan` needs more than an absent record, because the table is lost with the
//! agent's process and is bounded. A withdrawal names the connection on which the attempt was
//! sent. If this process has not seen that connection, or has since forgotten an attempt of it
//! whose outcome the entry did not confirm, the answer is `Running`: the attempt may have run.

use crate::sorted;
use crate::wire;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Ended attempts that are kept with their result.
    pub results: usize,
    /// Tombstones of attempts that were withdrawn before they arrived.
    pub tombstones: usize,
    /// Entries whose connections are numbered. Further entries are refused.
    pub entries: usize,
    /// Time for which ended attempts are kept.
    pub keep: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            results: 4096,
            tombstones: 16384,
            // Names of replaced entries stay, which takes about 100 bytes each.
            entries: 65536,
            keep: Duration::from_secs(120),
        }
    }
}

/// State of a known attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State<R> {
    /// Admitted and waiting for a slot.
    Queued,
    /// Sent to the endpoint.
    Running,
    /// Ended with this result.
    Finished(R),
    /// Withdrawn or refused; it has not run and never will.
    Withdrawn,
}

/// Why an attempt was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// A newer connection of the same entry replaced this one; the attempt has not run.
    Superseded,
    /// The attempt was withdrawn; it has not run.
    Withdrawn,
    /// The attempt was admitted before and must not run twice.
    Duplicate,
}

/// Withdrawal of an attempt by its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdraw {
    /// Id of the attempt.
    pub id: u64,
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Number of the connection on which the withdrawal arrived.
    pub connection: u64,
    /// Number of the connection on which the attempt was sent.
    pub sent: u64,
}

#[derive(Debug)]
struct Record<R> {
    state: State<R>,
    entry: Arc<str>,
    connection: u64,
    /// Whether the entry has confirmed the outcome and will not ask again.
    settled: bool,
}

/// Connections of one entry.
#[derive(Debug)]
struct Link {
    /// First connection that this process has seen.
    first: u64,
    /// Newest connection.
    newest: u64,
    /// Newest connection of which an attempt with unconfirmed outcome was forgotten.
    forgotten: Option<u64>,
    /// Attempts that were withdrawn on the newest connection before they arrived. They may still
    /// be under way, so that these tombstones are kept until a newer connection replaces it.
    tombstones: Vec<u64>,
}

impl Link {
    fn remembers(&self, sent: u64) -> bool {
        sent >= self.first && self.forgotten.is_none_or(|forgotten| sent > forgotten)
    }
}

/// Attempts of an agent; `R` is the kept result.
#[derive(Debug)]
pub struct Attempts<R> {
    records: sorted::SortedMap<u64, Record<R>>,
    /// Ends by time, oldest first.
    ended: VecDeque<(Duration, u64)>,
    links: sorted::SortedMap<Arc<str>, Link>,
    tombstones: usize,
    bounds: Bounds,
}

impl<R> Attempts<R> {
    /// Returns an empty table.
    pub fn new(bounds: Bounds) -> Attempts<R> {
        Attempts {
            records: sorted::SortedMap::new(),
            ended: VecDeque::new(),
            links: sorted::SortedMap::new(),
            tombstones: 0,
            bounds,
        }
    }

    /// Notes a connection of an entry. Returns false if a newer one has replaced it or the table
    /// has no room for another entry.
    ///
    /// The shell calls it as soon as a connection is established, so that an attempt that was sent
    /// on it and got lost can be withdrawn.
    pub fn connect(&mut self, entry: &Arc<str>, connection: u64) -> bool {
        if !self.links.contains(entry) && self.links.len() >= self.bounds.entries {
            return false;
        }
        let link = self.links.entry_or(entry.clone(), || Link {
            first: connection,
            newest: connection,
            forgotten: None,
            tombstones: Vec::new(),
        });
        if link.newest < connection {
            link.newest = connection;
            self.tombstones -= std::mem::take(&mut link.tombstones).len();
        }
        link.newest == connection
    }

    /// Admits an attempt as queued.
    pub fn admit(&mut self, id: u64, entry: &Arc<str>, connection: u64) -> Result<(), Denial> {
        // A known attempt is reported as such even on an old connection: it may have run.
        match self.state(id) {
            Some(State::Withdrawn) => return Err(Denial::Withdrawn),
            Some(_) => return Err(Denial::Duplicate),
            None => {}
        }
        if !self.connect(entry, connection) {
            return Err(Denial::Superseded);
        }
        if self.links.get(entry).is_some_and(|link| link.tombstones.binary_search(&id).is_ok()) {
            return Err(Denial::Withdrawn);
        }
        let entry = entry.clone();
        let record = Record { state: State::Queued, entry, connection, settled: false };
        self.records.insert(id, record);
        Ok(())
    }

    /// Marks a queued attempt as running. Returns false if it must not run.
    pub fn start(&mut self, id: u64) -> bool {
        match self.records.get_mut(&id) {
            Some(record) if matches!(record.state, State::Queued) => {
                record.state = State::Running;
                true
            }
            _ => false,
        }
    }

    /// Marks a queued attempt as refused: it has not run and never will.
    pub fn refuse(&mut self, now: Duration, id: u64) {
        if matches!(self.state(id), Some(State::Queued)) {
            self.end(now, id, State::Withdrawn);
        }
    }

    /// Keeps the result of a running attempt.
    pub fn finish(&mut self, now: Duration, id: u64, result: R) {
        if matches!(self.state(id), Some(State::Running)) {
            self.end(now, id, State::Finished(result));
        }
    }

    /// Notes that the entry has received the outcome of an attempt and will not ask again.
    ///
    /// Without this note, forgetting the attempt later costs the certainty of `NeverRan` for its
    /// connection. The shell gives it once the entry acknowledged the whole answer.
    pub fn settle(&mut self, id: u64) {
        if let Some(record) = self.records.get_mut(&id) {
            record.settled = true;
        }
    }

    /// Withdraws an attempt, whether it has arrived or not.
    ///
    /// An unknown attempt is barred by a tombstone. The answer is `Running` if the attempt may
    /// have run, also when there is no room for a tombstone.
    pub fn withdraw(&mut self, now: Duration, withdraw: &Withdraw) -> wire::Withdrawal {
        self.connect(&withdraw.entry, withdraw.connection);
        self.resolve(now, withdraw)
    }

    /// Withdraws an attempt in place of `entry`, which may be lost or may still send it on its
    /// connection `sent`. Otherwise like [`Attempts::withdraw`].
    ///
    /// It says nothing about the connections of that entry: one that this process has never seen
    /// stays unknown, since the process may have lost its table after the attempt ran.
    pub fn take_over(
        &mut self,
        now: Duration,
        id: u64,
        entry: &Arc<str>,
        sent: u64,
    ) -> wire::Withdrawal {
        self.resolve(now, &Withdraw { id, entry: entry.clone(), connection: sent, sent })
    }

    fn resolve(&mut self, now: Duration, withdraw: &Withdraw) -> wire::Withdrawal {
        match self.state(withdraw.id) {
            Some(State::Running) => wire::Withdrawal::Running,
            Some(State::Finished(_)) => wire::Withdrawal::Finished,
            Some(State::Withdrawn) => wire::Withdrawal::NeverRan,
            Some(State::Queued) => {
                self.end(now, withdraw.id, State::Withdrawn);
                wire::Withdrawal::NeverRan
            }
            None => self.bar(withdraw),
        }
    }

    /// State of an attempt.
    pub fn state(&self, id: u64) -> Option<&State<R>> {
        self.records.get(&id).map(|record| &record.state)
    }

    /// Number of attempts and tombstones in the table.
    pub fn len(&self) -> usize {
        self.records.len() + self.tombstones
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets ended attempts whose time has passed, and the oldest ones beyond the bound.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(at, id)) = self.ended.front() {
            if self.ended.len() <= self.bounds.results && at + self.bounds.keep > now {
                return;
            }
            self.ended.pop_front();
            self.forget(id);
        }
    }

    fn forget(&mut self, id: u64) {
        let Some(record) = self.records.remove(&id) else { return };
        if record.settled || matches!(record.state, State::Withdrawn) {
            return;
        }
        if let Some(link) = self.links.get_mut(&record.entry) {
            link.forgotten = link.forgotten.max(Some(record.connection));
        }
    }

    fn end(&mut self, now: Duration, id: u64, state: State<R>) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.state = state;
        self.ended.push_back((now, id));
        self.expire(now);
    }

    /// Bars an unknown attempt, if that is still possible.
    fn bar(&mut self, withdraw: &Withdraw) -> wire::Withdrawal {
        let Some(link) = self.links.get_mut(&withdraw.entry) else {
            return wire::Withdrawal::Running;
        };
        if !link.remembers(withdraw.sent) || withdraw.sent > link.newest {
            return wire::Withdrawal::Running;
        }
        // Attempts of an older connection are refused as superseded; no tombstone is needed.
        if withdraw.sent < link.newest {
            return wire::Withdrawal::NeverRan;
        }
        let Err(at) = link.tombstones.binary_search(&withdraw.id) else {
            return wire::Withdrawal::NeverRan;
        };
        if self.tombstones >= self.bounds.tombstones {
            return wire::Withdrawal::Running;
        }
        link.tombstones.insert(at, withdraw.id);
        self.tombstones += 1;
        wire::Withdrawal::NeverRan
    }
}

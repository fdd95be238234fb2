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
    pub retention: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            results: 4096,
            tombstones: 16384,
            // Names of replaced entries stay, which takes about 100 bytes each.
            entries: 65536,
            retention: Duration::from_secs(120),
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
pub struct WithdrawRequest {
    /// Id of the attempt.
    pub id: u64,
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Number of the connection on which the withdrawal arrived.
    pub connection: u64,
    /// Number of the connection on which the attempt was sent.
    pub sent_on: u64,
}

#[derive(Debug)]
struct Record<R> {
    state: State<R>,
    entry: Arc<str>,
    connection: u64,
    /// Whether the entry has confirmed the outcome and will not ask again.
    acknowledged: bool,
}

/// Connections of one entry.
#[derive(Debug)]
struct Connections {
    /// First connection that this process has seen.
    first_seen: u64,
    /// Newest connection.
    newest: u64,
    /// Newest connection of which an attempt with unconfirmed outcome was forgotten.
    newest_forgotten: Option<u64>,
    /// Attempts that were withdrawn on the newest connection before they arrived. They may still
    /// be under way, so that these tombstones are kept until a newer connection replaces it.
    tombstones: Vec<u64>,
}

impl Connections {
    fn knows_all_attempts(&self, connection: u64) -> bool {
        connection >= self.first_seen
            && self.newest_forgotten.is_none_or(|forgotten| connection > forgotten)
    }
}

/// Attempts of an agent; `R` is the kept result.
#[derive(Debug)]
pub struct Attempts<R> {
    records: sorted::SortedMap<u64, Record<R>>,
    /// Ends by time, oldest first.
    ended: VecDeque<(Duration, u64)>,
    entries: sorted::SortedMap<Arc<str>, Connections>,
    tombstones: usize,
    bounds: Bounds,
}

impl<R> Attempts<R> {
    /// Returns an empty table.
    pub fn new(bounds: Bounds) -> Attempts<R> {
        Attempts {
            records: sorted::SortedMap::new(),
            ended: VecDeque::new(),
            entries: sorted::SortedMap::new(),
            tombstones: 0,
            bounds,
        }
    }

    /// Notes a connection of an entry. Returns false if a newer one has replaced it or the table
    /// has no room for another entry.
    ///
    /// The shell calls it as soon as a connection is established, so that an attempt that was sent
    /// on it and got lost can be withdrawn.
    pub fn register_connection(&mut self, entry: &Arc<str>, connection: u64) -> bool {
        if !self.entries.contains(entry) && self.entries.len() >= self.bounds.entries {
            return false;
        }
        let connections = self.entries.entry_or(entry.clone(), || Connections {
            first_seen: connection,
            newest: connection,
            newest_forgotten: None,
            tombstones: Vec::new(),
        });
        if connections.newest < connection {
            connections.newest = connection;
            self.tombstones -= std::mem::take(&mut connections.tombstones).len();
        }
        connections.newest == connection
    }

    /// Admits an attempt as queued.
    pub fn admit(&mut self, id: u64, entry: &Arc<str>, connection: u64) -> Result<(), Denial> {
        // A known attempt is reported as such even on an old connection: it may have run.
        match self.state(id) {
            Some(State::Withdrawn) => return Err(Denial::Withdrawn),
            Some(_) => return Err(Denial::Duplicate),
            None => {}
        }
        if !self.register_connection(entry, connection) {
            return Err(Denial::Superseded);
        }
        if self
            .entries
            .get(entry)
            .is_some_and(|connections| connections.tombstones.binary_search(&id).is_ok())
        {
            return Err(Denial::Withdrawn);
        }
        let entry = entry.clone();
        let record = Record { state: State::Queued, entry, connection, acknowledged: false };
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
            self.set_ended(now, id, State::Withdrawn);
        }
    }

    /// Keeps the result of a running attempt.
    pub fn finish(&mut self, now: Duration, id: u64, result: R) {
        if matches!(self.state(id), Some(State::Running)) {
            self.set_ended(now, id, State::Finished(result));
        }
    }

    /// Notes that the entry has received the outcome of an attempt and will not ask again.
    ///
    /// Without this note, forgetting the attempt later costs the certainty of `NeverRan` for its
    /// connection. The shell gives it once the entry acknowledged the whole answer.
    pub fn acknowledge(&mut self, id: u64) {
        if let Some(record) = self.records.get_mut(&id) {
            record.acknowledged = true;
        }
    }

    /// Withdraws an attempt, whether it has arrived or not.
    ///
    /// An unknown attempt is barred by a tombstone. The answer is `Running` if the attempt may
    /// have run, also when there is no room for a tombstone.
    pub fn withdraw(&mut self, now: Duration, withdraw: &WithdrawRequest) -> wire::Withdrawal {
        self.register_connection(&withdraw.entry, withdraw.connection);
        self.apply_withdrawal(now, withdraw)
    }

    /// Withdraws an attempt in place of `entry`, which may be lost or may still send it on its
    /// connection `sent`. Otherwise like [`Attempts::withdraw`].
    ///
    /// It says nothing about the connections of that entry: one that this process has never seen
    /// stays unknown, since the process may have lost its table after the attempt ran.
    pub fn withdraw_for(
        &mut self,
        now: Duration,
        id: u64,
        entry: &Arc<str>,
        connection: u64,
    ) -> wire::Withdrawal {
        self.apply_withdrawal(
            now,
            &WithdrawRequest { id, entry: entry.clone(), connection, sent_on: connection },
        )
    }

    fn apply_withdrawal(&mut self, now: Duration, withdraw: &WithdrawRequest) -> wire::Withdrawal {
        match self.state(withdraw.id) {
            Some(State::Running) => wire::Withdrawal::Running,
            Some(State::Finished(_)) => wire::Withdrawal::Finished,
            Some(State::Withdrawn) => wire::Withdrawal::NeverRan,
            Some(State::Queued) => {
                self.set_ended(now, withdraw.id, State::Withdrawn);
                wire::Withdrawal::NeverRan
            }
            None => self.withdraw_unknown(withdraw),
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
            if self.ended.len() <= self.bounds.results && at + self.bounds.retention > now {
                return;
            }
            self.ended.pop_front();
            self.remove(id);
        }
    }

    fn remove(&mut self, id: u64) {
        let Some(record) = self.records.remove(&id) else { return };
        if record.acknowledged || matches!(record.state, State::Withdrawn) {
            return;
        }
        if let Some(connections) = self.entries.get_mut(&record.entry) {
            connections.newest_forgotten =
                connections.newest_forgotten.max(Some(record.connection));
        }
    }

    fn set_ended(&mut self, now: Duration, id: u64, state: State<R>) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.state = state;
        self.ended.push_back((now, id));
        self.expire(now);
    }

    /// Bars an unknown attempt, if that is still possible.
    fn withdraw_unknown(&mut self, withdraw: &WithdrawRequest) -> wire::Withdrawal {
        let Some(connections) = self.entries.get_mut(&withdraw.entry) else {
            return wire::Withdrawal::Running;
        };
        if !connections.knows_all_attempts(withdraw.sent_on)
            || withdraw.sent_on > connections.newest
        {
            return wire::Withdrawal::Running;
        }
        // Attempts of an older connection are refused as superseded; no tombstone is needed.
        if withdraw.sent_on < connections.newest {
            return wire::Withdrawal::NeverRan;
        }
        let Err(at) = connections.tombstones.binary_search(&withdraw.id) else {
            return wire::Withdrawal::NeverRan;
        };
        if self.tombstones >= self.bounds.tombstones {
            return wire::Withdrawal::Running;
        }
        connections.tombstones.insert(at, withdraw.id);
        self.tombstones += 1;
        wire::Withdrawal::NeverRan
    }
}

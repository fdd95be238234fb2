//! Table of attempts at one agent, which makes withdrawals final.
//!
//! An entry numbers its connections to the agent. A newer connection replaces the older ones, and
//! an attempt that arrives late on an older one is refused. A withdrawal over a new connection is
//! therefore final without any assumption about time: the attempt is either in the table or can no
//! longer enter it. The numbers must keep increasing when the entry restarts.
//!
//! The table is bounded and is lost when the agent's process ends, so a missing record does not
//! prove that an attempt never ran. A withdrawal names the connection on which the attempt was
//! sent. If this process has not seen that connection, or has removed the record of one of its
//! attempts before the entry acknowledged the outcome, the answer is `Running`: the attempt may
//! have run. Otherwise the answer for a missing record is `NeverRan`.

use crate::sorted;
use crate::wire;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Size and age limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most ended attempts that are kept with their result.
    pub results: usize,
    /// Most tombstones of attempts that were withdrawn before they arrived.
    pub tombstones: usize,
    /// Most entries whose connections are tracked. Attempts of further entries are refused.
    pub entries: usize,
    /// How long ended attempts are kept.
    pub retention: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            results: 4096,
            tombstones: 16384,
            // Replaced entries are never removed; each takes about 100 bytes.
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
    /// Withdrawn or refused. It has not run and never will.
    Withdrawn,
}

/// Why an attempt was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// A newer connection of the same entry replaced this one, or there is no room for another
    /// entry. The attempt has not run.
    Superseded,
    /// The attempt was withdrawn. It has not run.
    Withdrawn,
    /// The attempt was admitted before and must not run twice.
    Duplicate,
}

/// Request of an entry to withdraw one of its attempts.
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
    /// Whether the entry has received the outcome and will not ask for it again.
    acknowledged: bool,
}

/// Connections of one entry.
#[derive(Debug)]
struct Connections {
    /// First connection that this process has seen.
    first_seen: u64,
    /// Newest connection.
    newest: u64,
    /// Newest connection with an attempt whose record was removed before the entry acknowledged
    /// the outcome.
    newest_forgotten: Option<u64>,
    /// Ids of attempts that were withdrawn on the newest connection before they arrived, in
    /// ascending order. The attempts may still arrive until a newer connection replaces this one,
    /// so the tombstones are kept until then.
    tombstones: Vec<u64>,
}

impl Connections {
    /// Whether every attempt that ran on `connection` has a record or was acknowledged.
    fn knows_all_attempts(&self, connection: u64) -> bool {
        connection >= self.first_seen
            && self.newest_forgotten.is_none_or(|forgotten| connection > forgotten)
    }
}

/// Attempts at one agent. `R` is the result that is kept for a finished attempt.
#[derive(Debug)]
pub struct Attempts<R> {
    records: sorted::SortedMap<u64, Record<R>>,
    /// End time and id of each ended attempt, oldest first.
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

    /// Registers a connection of an entry. Returns false if a newer connection has replaced it or
    /// the table has no room for another entry.
    ///
    /// The agent must call this as soon as a connection is established, so that an attempt that is
    /// lost on it can be withdrawn.
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

    /// Adds an attempt to the table as queued.
    pub fn admit(&mut self, id: u64, entry: &Arc<str>, connection: u64) -> Result<(), Denial> {
        // Checked before the connection: a known attempt may have run, and `Superseded` would say
        // that it has not.
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

    /// Marks a queued attempt as refused, so that it never runs.
    pub fn refuse(&mut self, now: Duration, id: u64) {
        if matches!(self.state(id), Some(State::Queued)) {
            self.set_ended(now, id, State::Withdrawn);
        }
    }

    /// Marks a running attempt as finished and keeps its result.
    pub fn finish(&mut self, now: Duration, id: u64, result: R) {
        if matches!(self.state(id), Some(State::Running)) {
            self.set_ended(now, id, State::Finished(result));
        }
    }

    /// Records that the entry has received the outcome of an attempt and will not ask for it again.
    ///
    /// The agent calls this once the entry has acknowledged the whole answer. If the record of a
    /// finished attempt is removed without it, withdrawals of unknown attempts of the same or an
    /// older connection can no longer be answered with `NeverRan`.
    pub fn acknowledge(&mut self, id: u64) {
        if let Some(record) = self.records.get_mut(&id) {
            record.acknowledged = true;
        }
    }

    /// Withdraws an attempt, whether it has arrived or not.
    ///
    /// A tombstone prevents an unknown attempt from being admitted later. The answer is `Running`
    /// if the attempt may have run or may still run, which includes a full table of tombstones.
    pub fn withdraw(&mut self, now: Duration, withdraw: &WithdrawRequest) -> wire::Withdrawal {
        self.register_connection(&withdraw.entry, withdraw.connection);
        self.apply_withdrawal(now, withdraw)
    }

    /// Withdraws an attempt on behalf of `entry`, which may be lost or may still send the attempt
    /// on `connection`. Otherwise like [`Attempts::withdraw`].
    ///
    /// Unlike a withdrawal by the entry itself, this does not register `connection`: if this
    /// process has not seen it, the process may have lost its table after the attempt ran.
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

    /// Returns the state of an attempt, or `None` if the table has no record of it.
    pub fn state(&self, id: u64) -> Option<&State<R>> {
        self.records.get(&id).map(|record| &record.state)
    }

    /// Returns the number of attempts and tombstones in the table.
    pub fn len(&self) -> usize {
        self.records.len() + self.tombstones
    }

    /// Whether the table holds neither attempts nor tombstones.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes ended attempts that are older than the retention, and the oldest ones above the
    /// limit on results.
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

    /// Withdraws an attempt that has no record, by a tombstone if it may still arrive.
    fn withdraw_unknown(&mut self, withdraw: &WithdrawRequest) -> wire::Withdrawal {
        let Some(connections) = self.entries.get_mut(&withdraw.entry) else {
            return wire::Withdrawal::Running;
        };
        if !connections.knows_all_attempts(withdraw.sent_on)
            || withdraw.sent_on > connections.newest
        {
            return wire::Withdrawal::Running;
        }
        // Attempts on an older connection are refused as superseded, without a tombstone.
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

//! Shell of one replica: a thread that drives the replica, its data folder and its service.
//!
//! The thread takes every waiting call, steps the replica for each, writes and syncs the
//! entries once for all of them, and only then sends messages and answers.

mod calls;
mod feed;
mod members;
mod storing;

pub use calls::Call;
pub use calls::Handle;
pub use calls::channel;
pub use feed::WATCH_BUFFER;

use crate::errors;
use crate::event;
use crate::events;
use crate::replica;
use crate::sorted;
use crate::state::mesh;
use crate::state::service;
use crate::storage;
use crate::timer;
use crate::wire;
use bytes::Bytes;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc as channel;

/// Interval of the replica's clock.
const TICK: Duration = Duration::from_millis(10);
/// Interval of the service's clock.
const SERVICE_TICK: Duration = Duration::from_millis(50);
/// Calls that one batch takes at most, which bounds the delay of its answers.
const BATCH: usize = 512;
/// Interval at which watchers are shown that their watch is alive.
const WATCH_ALIVE: Duration = Duration::from_secs(1);

/// What a group's thread needs.
pub struct Parts {
    /// Replica group.
    pub group: u16,
    /// Name of this host.
    pub host: Arc<str>,
    /// Names of the hosts that form the group.
    pub hosts: Vec<Arc<str>>,
    /// Whether a blank replica may form a new group.
    pub forms: bool,
    /// Number of voters of a group in which any host may replace a lost one; `None` if only the
    /// listed hosts take part.
    pub open: Option<usize>,
    /// Data folder of the group.
    pub folder: storage::Folder,
    /// Replica id of this host.
    pub id: u64,
    /// What storage has read back.
    pub restored: replica::PersistentState,
    /// State machine and soft state.
    pub service: Box<dyn service::Service>,
    /// Messages to other hosts.
    pub outbox: Box<dyn mesh::Outbox>,
    /// Timer service.
    pub timer: timer::Timer,
    /// Interval of the leader's heartbeats.
    pub heartbeat: Duration,
    /// Election timeout.
    pub election: Duration,
    /// Log entries after which a snapshot is taken.
    pub snapshot: u64,
    /// Logger.
    pub log: slog::Logger,
}

/// What is done once a proposal or read has passed the replica.
enum Pending {
    Propose(service::Done),
    /// Proposal of the service itself.
    Internal,
    Query(Bytes, service::Done),
    Confirm(service::Done),
}

struct Waiting {
    index: u64,
    term: u64,
    pending: Pending,
}

struct Probed {
    answer: replica::formation::ProbeAnswer,
    at: Duration,
}

/// Why the thread of a group ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Every handle was dropped.
    Closed,
    /// The replica was removed from its group; its data folder is of no use any more.
    Retired,
}

/// Thread of one group.
pub struct Group {
    parts: Parts,
    replica: replica::Replica,
    calls: mpsc::Receiver<Call>,
    next_token: u64,
    tokens: sorted::SortedMap<u64, Pending>,
    /// Accepted proposals in order of their index.
    waiting: VecDeque<Waiting>,
    /// Confirmed reads that wait for their index to be applied.
    reads: Vec<(u64, Pending)>,
    watchers: Vec<channel::Sender<wire::Reply>>,
    recent: VecDeque<(u64, Bytes)>,
    applied: u64,
    snapshot_at: u64,
    role: replica::Role,
    repair: replica::repair::Repair,
    /// Replaces `repair` in a group that is open to other hosts.
    turnover: Option<replica::turnover::Turnover>,
    /// Last answer of each other host to a probe, and when it came.
    probed: sorted::SortedMap<Arc<str>, Probed>,
    outputs: Vec<replica::Output>,
    disk_full: bool,
    retired: bool,
    ticked: Duration,
    serviced: Duration,
    shown_alive: Duration,
}

impl Group {
    /// Restores the state machine and the replica from what storage has read back.
    pub fn new(mut parts: Parts, calls: mpsc::Receiver<Call>) -> Result<Group, errors::Error> {
        let now = parts.timer.now();
        let restored = std::mem::take(&mut parts.restored);
        let mut applied = 0;
        if let Some(snapshot) = &restored.snapshot {
            let machine = parts.service.machine();
            machine
                .restore(&snapshot.data)
                .map_err(|e| errors::Error::invalid("restore snapshot", &*parts.host, e))?;
            applied = snapshot.index;
            parts.service.applied(now);
        }
        let config = replica::Config {
            group: parts.group,
            id: parts.id,
            heartbeat_interval: parts.heartbeat,
            election_timeout: parts.election,
            seed: rand::random(),
        };
        let replica = replica::Replica::new(config, restored, now);
        Ok(Group {
            role: replica.role(),
            repair: replica::repair::Repair::default(),
            turnover: parts.open.map(replica::turnover::Turnover::new),
            probed: sorted::SortedMap::new(),
            replica,
            calls,
            next_token: 1,
            tokens: sorted::SortedMap::new(),
            waiting: VecDeque::new(),
            reads: Vec::new(),
            watchers: Vec::new(),
            recent: VecDeque::new(),
            applied,
            snapshot_at: applied,
            outputs: Vec::new(),
            disk_full: false,
            retired: false,
            ticked: now,
            serviced: now,
            shown_alive: now,
            parts,
        })
    }

    /// Runs until every handle is dropped, the replica is retired or storage fails.
    pub fn run(mut self) -> Result<Ended, errors::Error> {
        loop {
            match self.calls.recv_timeout(TICK) {
                Ok(call) => self.call(call),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return Ok(Ended::Closed),
            }
            for _ in 1..BATCH {
                match self.calls.try_recv() {
                    Ok(call) => self.call(call),
                    Err(_) => break,
                }
            }
            self.tick();
            self.flush()?;
            if self.retired {
                return Ok(Ended::Retired);
            }
            self.take_snapshot()?;
        }
    }

    fn now(&self) -> Duration {
        self.parts.timer.now()
    }

    fn step(&mut self, input: replica::Input) {
        let outputs = self.replica.step(self.parts.timer.now(), input);
        self.outputs.extend(outputs);
    }

    fn leads(&self) -> bool {
        self.role == replica::Role::Leader
    }

    fn call(&mut self, call: Call) {
        match call {
            Call::Envelope(envelope) => self.step(replica::Input::Message(envelope)),
            Call::Propose { command, done } => self.propose(command, done),
            Call::Query { query, done } => self.read(Pending::Query(query, done)),
            Call::Confirm { done } => self.read(Pending::Confirm(done)),
            Call::Watch { after, sender } => self.watch(after, sender),
            Call::Serve { request, done } if self.leads() => {
                let now = self.now();
                self.parts.service.serve(now, request, done);
            }
            Call::Serve { done, .. } => self.redirect(done),
            Call::Probe { host, id, blank, done } => self.probe(&host, id, blank, done),
            Call::Probed(answers) => self.form(answers),
            Call::Retire => {
                event!(self.parts.log, events::REPLICA_RETIRED; "group" => self.parts.group);
                self.retired = true;
            }
            Call::Status { done } => {
                // The asker may have given up.
                let _ = done.send(self.status());
            }
        }
    }

    fn token(&mut self, pending: Pending) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.tokens.insert(token, pending);
        token
    }

    fn propose(&mut self, command: Bytes, done: service::Done) {
        if !self.leads() {
            return self.redirect(done);
        }
        let full = self.disk_full || !self.parts.folder.has_room();
        if full && self.parts.service.is_new_work(&command) {
            return service::refuse(done, wire::Reason::DiskFull);
        }
        let now = self.now();
        match self.parts.service.prepare(now, command) {
            Ok(command) => {
                let token = self.token(Pending::Propose(done));
                self.step(replica::Input::Propose { token, command });
            }
            Err(reason) => service::refuse(done, reason),
        }
    }

    fn propose_internal(&mut self, command: Bytes) {
        let now = self.now();
        if let Ok(command) = self.parts.service.prepare(now, command) {
            let token = self.token(Pending::Internal);
            self.step(replica::Input::Propose { token, command });
        }
    }

    fn read(&mut self, pending: Pending) {
        let token = self.token(pending);
        self.step(replica::Input::Read { token });
    }

    /// Tells the requester which host leads.
    fn redirect(&self, done: service::Done) {
        let leader = self.replica.leader().and_then(|id| self.host_of(id));
        let reason = wire::Reason::NoQuorum;
        service::answer(done, wire::Reply::NotDone { reason, leader, run: wire::Run::No });
    }

    fn tick(&mut self) {
        let now = self.now();
        if now - self.ticked >= TICK {
            self.ticked = now;
            self.step(replica::Input::Tick);
        }
        if now - self.serviced >= SERVICE_TICK && self.leads() {
            self.serviced = now;
            for command in self.parts.service.tick(now) {
                self.propose_internal(command);
            }
            self.repair();
        }
        if now - self.shown_alive >= WATCH_ALIVE {
            self.shown_alive = now;
            let index = self.applied;
            self.watchers.retain(|w| w.try_send(wire::Reply::Confirmed { index }).is_ok());
        }
    }

    /// Makes the outputs of a batch durable, then carries them out.
    fn flush(&mut self) -> Result<(), errors::Error> {
        while !self.outputs.is_empty() {
            let outputs = std::mem::take(&mut self.outputs);
            if self.store(&outputs)? {
                let index = self.replica.last_index();
                self.step(replica::Input::Synced { index });
            }
            for output in outputs {
                self.carry_out(output)?;
            }
        }
        Ok(())
    }

    fn carry_out(&mut self, output: replica::Output) -> Result<(), errors::Error> {
        match output {
            replica::Output::Persist { .. } | replica::Output::SaveSnapshot(_) => {}
            // In its turn: entries that were committed before it are applied to the old state.
            replica::Output::InstallSnapshot(snapshot) => self.restore(&snapshot)?,
            replica::Output::Send(envelope) => {
                let host = self.host_of(envelope.to);
                if let Some(host) = host {
                    self.parts.outbox.send(&host, envelope);
                }
            }
            replica::Output::Accepted { token, index, term } => {
                if let Some(pending) = self.tokens.remove(&token) {
                    self.waiting.push_back(Waiting { index, term, pending });
                }
            }
            replica::Output::Refused { token, reason } => self.refused(token, reason),
            replica::Output::Apply(entries) => self.apply(entries),
            replica::Output::Readable { token, index } => {
                if let Some(pending) = self.tokens.remove(&token) {
                    self.reads.push((index, pending));
                }
                self.answer_reads();
            }
            replica::Output::Role { role, term, leader } => self.role(role, term, leader),
        }
        Ok(())
    }

    fn refused(&mut self, token: u64, reason: replica::Refusal) {
        let Some(pending) = self.tokens.remove(&token) else { return };
        match pending {
            Pending::Internal => {}
            Pending::Propose(done) | Pending::Query(_, done) | Pending::Confirm(done) => {
                match reason {
                    replica::Refusal::TooLarge => service::refuse(done, wire::Reason::Invalid),
                    replica::Refusal::Busy => service::refuse(done, wire::Reason::QueueFull),
                    _ => self.redirect(done),
                }
            }
        }
    }

    fn role(&mut self, role: replica::Role, term: u64, leader: Option<u64>) {
        let led = self.leads();
        self.role = role;
        let host = leader.and_then(|id| self.host_of(id));
        event!(self.parts.log, events::ROLE_CHANGED; "group" => self.parts.group,
            "role" => %role, "term" => term, "leader" => host.as_deref().unwrap_or("none"));
        if led != self.leads() {
            let (now, leads) = (self.now(), self.leads());
            self.parts.service.lead(now, leads);
        }
    }

    fn apply(&mut self, entries: Vec<replica::Entry>) {
        for entry in entries {
            let command = match &entry.payload {
                replica::Payload::Command(command) => command.clone(),
                replica::Payload::Noop | replica::Payload::Membership(_) => Bytes::new(),
            };
            let reply = match command.is_empty() {
                true => Vec::new(),
                false => self.parts.service.machine().apply(entry.index, &command),
            };
            self.applied = entry.index;
            self.show(entry.index, command);
            self.answer_proposals(&entry, reply);
        }
        let now = self.now();
        self.parts.service.applied(now);
        self.answer_reads();
    }

    fn answer_proposals(&mut self, entry: &replica::Entry, reply: Vec<u8>) {
        while self.waiting.front().is_some_and(|w| w.index < entry.index) {
            // Covered by a snapshot; what became of it is not known here.
            let Some(missed) = self.waiting.pop_front() else { return };
            self.not_done(missed.pending, wire::Run::Unknown);
        }
        if self.waiting.front().is_none_or(|w| w.index != entry.index) {
            return;
        }
        let Some(waiting) = self.waiting.pop_front() else { return };
        if waiting.term != entry.term {
            // Another leader's entry took this index, so the proposal is not in the log.
            return self.not_done(waiting.pending, wire::Run::No);
        }
        if let Pending::Propose(done) = waiting.pending {
            let reply = wire::Reply::Applied { index: entry.index, reply: reply.into() };
            service::answer(done, reply);
        }
    }

    fn not_done(&self, pending: Pending, run: wire::Run) {
        if let Pending::Propose(done) = pending {
            let leader = self.replica.leader().and_then(|id| self.host_of(id));
            let reason = wire::Reason::NoQuorum;
            service::answer(done, wire::Reply::NotDone { reason, leader, run });
        }
    }

    fn answer_reads(&mut self) {
        let applied = self.applied;
        let (ready, rest) =
            std::mem::take(&mut self.reads).into_iter().partition(|(index, _)| *index <= applied);
        self.reads = rest;
        let ready: Vec<(u64, Pending)> = ready;
        for (index, pending) in ready {
            match pending {
                Pending::Query(query, done) => {
                    let answer = self.parts.service.query(&query).into();
                    service::answer(done, wire::Reply::Answer(answer));
                }
                Pending::Confirm(done) => {
                    service::answer(done, wire::Reply::Confirmed { index });
                }
                Pending::Propose(_) | Pending::Internal => {}
            }
        }
    }

    fn status(&self) -> wire::Group {
        let members = self.replica.membership();
        let voters = members.voters().count();
        let live = if self.leads() { self.replica.live_voters().len() } else { 0 };
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        wire::Group {
            group: self.parts.group,
            id: self.parts.id,
            role: self.role.to_string().into(),
            term: self.replica.term(),
            leader: self.replica.leader().and_then(|id| self.host_of(id)),
            commit: self.replica.commit_index(),
            voters: count(voters),
            live: count(live),
            learners: count(members.members.len() - voters),
            hosts: members.members.iter().map(|m| m.host.clone()).collect(),
            settled: self.replica.is_settled(),
        }
    }
}

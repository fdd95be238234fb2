//! Caller of one replica: a thread that drives the replica, its data folder and its service.
//!
//! The thread takes a batch of queued calls, steps the replica for each, writes and syncs the
//! entries once for all of them, and only then sends messages and answers.

mod calls;
mod feed;
mod members;
mod stall;
mod storing;
mod turns;

pub use calls::Call;
pub use calls::Handle;
pub use calls::channel;
pub use feed::WATCH_BUFFER;

use crate::errors;
use crate::event;
use crate::events;
use crate::metrics;
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
use std::thread;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::mpsc as channel;

/// Interval of the replica's ticks.
const REPLICA_TICK: Duration = Duration::from_millis(10);
/// Interval of the service's ticks. Also the delay before a write to a full disk is repeated.
const SERVICE_TICK: Duration = Duration::from_millis(50);
/// Limit of the calls in one batch, which bounds the delay of their answers.
const MAX_BATCH_CALLS: usize = 512;
/// Interval of the messages that show watchers that their watch is alive.
const WATCH_KEEPALIVE: Duration = Duration::from_secs(1);

/// Parts that a group is created from.
pub struct Parts {
    /// Id of the replica group.
    pub group: u16,
    /// Name of this host.
    pub host: Arc<str>,
    /// Names of the hosts that form the group.
    pub hosts: Vec<Arc<str>>,
    /// Whether a blank replica may form a new group.
    pub may_form: bool,
    /// Number of voters to keep in a group in which any host may replace a lost one; `None` if
    /// only the listed hosts take part.
    pub target_voters: Option<usize>,
    /// Data folder of the group.
    pub folder: storage::Folder,
    /// Replica id of this host.
    pub id: u64,
    /// State that was read from the data folder.
    pub restored: replica::PersistentState,
    /// State machine, and the state that only the leader holds.
    pub service: Box<dyn service::Service>,
    /// Transport of messages to other hosts.
    pub outbox: Box<dyn mesh::Outbox>,
    /// Timer service.
    pub timer: timer::Timer,
    /// Interval of the leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Election timeout.
    pub election_timeout: Duration,
    /// Log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// Logger.
    pub log: slog::Logger,
}

/// Request behind a proposal or read, which is answered once the replica has processed it.
enum Pending {
    Propose(service::ReplySender),
    /// Proposal of this thread or its service, which no requester waits for.
    Internal,
    Query(Bytes, service::ReplySender),
    Confirm(service::ReplySender),
}

/// Proposal that has an index in the log.
struct Proposal {
    index: u64,
    term: u64,
    pending: Pending,
}

/// Replica of another host, from a probe that it sent or answered.
struct ProbeRecord {
    answer: replica::formation::ProbeAnswer,
    received: Duration,
}

/// Why the thread of a group ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// Every handle was dropped.
    Closed,
    /// The replica was removed from its group, so that its data folder is useless.
    Retired,
}

/// Thread of one group.
pub struct Group {
    parts: Parts,
    replica: replica::Replica,
    calls: mpsc::Receiver<Call>,
    next_token: u64,
    /// Proposals and reads that the replica has not answered yet, by token.
    pending: sorted::SortedMap<u64, Pending>,
    /// Accepted proposals in order of their index.
    proposals: VecDeque<Proposal>,
    /// Confirmed reads whose index is not applied yet.
    reads: Vec<(u64, Pending)>,
    watchers: Vec<channel::Sender<wire::Reply>>,
    recent_commands: VecDeque<(u64, Bytes)>,
    applied: u64,
    snapshot_index: u64,
    role: replica::Role,
    repair: replica::repair::Repair,
    /// Used instead of `repair` in a group that hosts other than the listed ones may join.
    turnover: Option<replica::turnover::Turnover>,
    /// Voters that the group lacked when this was last logged.
    missing_voters: usize,
    /// Last probe record of each other host.
    probes: sorted::SortedMap<Arc<str>, ProbeRecord>,
    /// Number of the last loss of messages to each member, as last seen.
    losses: sorted::SortedMap<u64, u64>,
    turns: turns::Turns,
    /// Time of the last report of the turns.
    last_report: Duration,
    outputs: Vec<replica::Output>,
    /// Thread that writes a snapshot of the state machine.
    saving: Option<thread::JoinHandle<Result<storage::Written, storage::Error>>>,
    /// Time at which to save a snapshot again for which there was no space.
    next_snapshot: Option<Duration>,
    /// Entries that cannot be written, if the disk is full.
    stall: Option<stall::Stall>,
    retired: bool,
    last_tick: Duration,
    last_service: Duration,
    last_keepalive: Duration,
}

impl Group {
    /// Restores the state machine and the replica from the state read from the data folder.
    ///
    /// # Errors
    /// If the state machine cannot restore the stored snapshot.
    pub fn new(mut parts: Parts, calls: mpsc::Receiver<Call>) -> Result<Group, errors::Error> {
        let now = parts.timer.now();
        let restored = std::mem::take(&mut parts.restored);
        let mut applied = 0;
        if let Some(snapshot) = &restored.snapshot {
            let machine = parts.service.state_machine();
            machine
                .restore(&snapshot.data)
                .map_err(|e| errors::Error::invalid("restore snapshot", &*parts.host, e))?;
            applied = snapshot.index;
            parts.service.entries_applied(now);
        }
        let config = replica::Config {
            group: parts.group,
            id: parts.id,
            heartbeat_interval: parts.heartbeat_interval,
            election_timeout: parts.election_timeout,
            seed: rand::random(),
        };
        let replica = replica::Replica::new(config, restored, now);
        Ok(Group {
            role: replica.role(),
            repair: replica::repair::Repair::default(),
            turnover: parts.target_voters.map(replica::turnover::Turnover::new),
            missing_voters: 0,
            probes: sorted::SortedMap::new(),
            replica,
            calls,
            next_token: 1,
            pending: sorted::SortedMap::new(),
            proposals: VecDeque::new(),
            reads: Vec::new(),
            watchers: Vec::new(),
            recent_commands: VecDeque::new(),
            applied,
            snapshot_index: applied,
            losses: sorted::SortedMap::new(),
            turns: turns::Turns::default(),
            last_report: now,
            outputs: Vec::new(),
            saving: None,
            next_snapshot: None,
            stall: None,
            retired: false,
            last_tick: now,
            last_service: now,
            last_keepalive: now,
            parts,
        })
    }

    /// Runs until every handle is dropped, the replica is retired or storage fails.
    ///
    /// # Errors
    /// If storage fails or the state machine cannot restore a snapshot.
    pub fn run(mut self) -> Result<ExitReason, errors::Error> {
        let reason = self.run_until_exit();
        if let Some(saving) = self.saving.take() {
            // The folder may be removed after this, and an unfinished snapshot is of no use.
            let _ = saving.join();
        }
        reason
    }

    fn run_until_exit(&mut self) -> Result<ExitReason, errors::Error> {
        loop {
            let first = match self.calls.recv_timeout(REPLICA_TICK) {
                Ok(call) => Some(call),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return Ok(ExitReason::Closed),
            };
            let begun = Instant::now();
            if let Some(call) = first {
                self.handle_call(call);
            }
            for _ in 1..MAX_BATCH_CALLS {
                match self.calls.try_recv() {
                    Ok(call) => self.handle_call(call),
                    Err(_) => break,
                }
            }
            self.tick();
            self.flush()?;
            self.retry_entries()?;
            if self.retired {
                return Ok(ExitReason::Retired);
            }
            self.finish_snapshot()?;
            self.snapshot_if_due()?;
            self.end_turn(begun);
        }
    }

    fn now(&self) -> Duration {
        self.parts.timer.now()
    }

    fn step(&mut self, input: replica::Input) {
        let outputs = self.replica.step(self.parts.timer.now(), input);
        self.outputs.extend(outputs);
    }

    fn is_leader(&self) -> bool {
        self.role == replica::Role::Leader
    }

    fn handle_call(&mut self, call: Call) {
        self.turns.calls += 1;
        match call {
            Call::Envelope(envelope) => {
                if let Some(envelope) = self.receive_during_stall(envelope) {
                    self.step(replica::Input::Message(envelope));
                }
            }
            Call::Propose { command, done } => self.propose(command, done),
            Call::Query { query, done } => self.start_read(Pending::Query(query, done)),
            Call::Confirm { done } => self.start_read(Pending::Confirm(done)),
            Call::Watch { after, sender } => self.watch(after, sender),
            Call::Serve { request, done } if self.is_leader() => {
                let now = self.now();
                self.parts.service.serve(now, request, done);
            }
            Call::Serve { done, .. } => self.redirect(done),
            Call::Probe { host, id, blank, done } => self.handle_probe(&host, id, blank, done),
            Call::ProbeAnswers(answers) => self.decide_formation(answers),
            Call::Form(membership) => self.form_group(membership),
            Call::Retire => {
                event!(self.parts.log, events::REPLICA_RETIRED; "group" => self.parts.group);
                self.retired = true;
            }
            Call::SilentMembers { done } => {
                // The requester may have given up.
                let _ = done.send(self.silent_members());
            }
            Call::Status { done } => {
                // The requester may have given up.
                let _ = done.send(self.status());
            }
        }
    }

    fn add_pending(&mut self, pending: Pending) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.pending.insert(token, pending);
        token
    }

    fn propose(&mut self, command: Bytes, done: service::ReplySender) {
        if !self.is_leader() {
            return self.redirect(done);
        }
        let is_refused = self.stall.is_some()
            || !self.parts.folder.has_free_space() && self.parts.service.is_new_work(&command);
        if is_refused {
            self.parts.metrics.count_refusal("disk_full", "no");
            self.turns.refused += 1;
            return service::refuse(done, wire::Reason::DiskFull);
        }
        let now = self.now();
        match self.parts.service.prepare(now, command) {
            Ok(command) => {
                let token = self.add_pending(Pending::Propose(done));
                self.step(replica::Input::Propose { token, command });
            }
            Err(reason) => service::refuse(done, reason),
        }
    }

    fn propose_internal(&mut self, command: Bytes) {
        if self.stall.is_some() {
            return;
        }
        let now = self.now();
        if let Ok(command) = self.parts.service.prepare(now, command) {
            let token = self.add_pending(Pending::Internal);
            self.step(replica::Input::Propose { token, command });
        }
    }

    fn start_read(&mut self, pending: Pending) {
        let token = self.add_pending(pending);
        self.step(replica::Input::Read { token });
    }

    /// Tells the requester which host leads.
    fn redirect(&self, done: service::ReplySender) {
        let leader = self.replica.leader().and_then(|id| self.host_of(id));
        let reason = wire::Reason::NoQuorum;
        service::answer(done, wire::Reply::NotDone { reason, leader, run: wire::Run::No });
    }

    fn tick(&mut self) {
        let now = self.now();
        if now - self.last_tick >= REPLICA_TICK {
            self.last_tick = now;
            self.report_losses();
            self.step(replica::Input::Tick);
        }
        if now - self.last_service >= SERVICE_TICK && self.is_leader() {
            self.last_service = now;
            for command in self.parts.service.tick(now) {
                self.propose_internal(command);
            }
            self.log_missing_voters();
            if self.stall.is_none() {
                self.repair_members();
            }
        }
        if now - self.last_keepalive >= WATCH_KEEPALIVE {
            self.last_keepalive = now;
            let index = self.applied;
            self.watchers.retain(|w| w.try_send(wire::Reply::Confirmed { index }).is_ok());
        }
    }

    /// Makes the outputs of a batch durable, then carries them out.
    fn flush(&mut self) -> Result<(), errors::Error> {
        while !self.outputs.is_empty() {
            let outputs = std::mem::take(&mut self.outputs);
            match self.persist(&outputs)? {
                storing::Stored::Entries if self.stall.is_some() => self.end_stall(),
                storing::Stored::Entries => {
                    let index = self.replica.last_index();
                    self.step(replica::Input::Synced { index });
                }
                storing::Stored::Full => self.begin_stall(),
                storing::Stored::Nothing => {}
            }
            for output in outputs {
                match output {
                    replica::Output::Send(envelope) if self.stall.is_some() => {
                        self.send_during_stall(envelope);
                    }
                    output => self.carry_out(output)?,
                }
            }
        }
        Ok(())
    }

    fn carry_out(&mut self, output: replica::Output) -> Result<(), errors::Error> {
        match output {
            replica::Output::Persist { .. } | replica::Output::SaveSnapshot(_) => {}
            // Restored in order: entries committed before it are applied to the old state.
            replica::Output::InstallSnapshot(snapshot) => self.restore_snapshot(&snapshot)?,
            replica::Output::Send(envelope) => self.send_envelope(envelope),
            replica::Output::Accepted { token, index, term } => {
                if let Some(pending) = self.pending.remove(&token) {
                    self.proposals.push_back(Proposal { index, term, pending });
                }
            }
            replica::Output::Refused { token, reason } => self.handle_refusal(token, reason),
            replica::Output::Apply(entries) => self.apply(entries),
            replica::Output::Readable { token, index } => {
                if let Some(pending) = self.pending.remove(&token) {
                    self.reads.push((index, pending));
                }
                self.answer_reads();
            }
            replica::Output::Role { role, term, leader } => self.change_role(role, term, leader),
        }
        Ok(())
    }

    fn send_envelope(&mut self, envelope: replica::Envelope) {
        if let Some(host) = self.host_of(envelope.to) {
            self.parts.outbox.send(&host, envelope);
        }
    }

    fn handle_refusal(&mut self, token: u64, reason: replica::Refusal) {
        let Some(pending) = self.pending.remove(&token) else { return };
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

    fn change_role(&mut self, role: replica::Role, term: u64, leader: Option<u64>) {
        let was_leader = self.is_leader();
        self.role = role;
        let host = leader.and_then(|id| self.host_of(id));
        event!(self.parts.log, events::ROLE_CHANGED; "group" => self.parts.group,
            "role" => %role, "term" => term, "leader" => host.as_deref().unwrap_or("none"));
        if was_leader != self.is_leader() {
            let (now, is_leader) = (self.now(), self.is_leader());
            self.parts.service.leadership_changed(now, is_leader);
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
                false => self.parts.service.state_machine().apply(entry.index, &command),
            };
            self.applied = entry.index;
            self.publish_applied(entry.index, command);
            self.answer_proposals(&entry, reply);
        }
        let now = self.now();
        self.parts.service.entries_applied(now);
        self.answer_reads();
    }

    fn answer_proposals(&mut self, entry: &replica::Entry, reply: Vec<u8>) {
        while self.proposals.front().is_some_and(|p| p.index < entry.index) {
            // A snapshot covers this index, so it is unknown whether the proposal was applied.
            let Some(missed) = self.proposals.pop_front() else { return };
            self.answer_not_done(missed.pending, wire::Run::Unknown);
        }
        if self.proposals.front().is_none_or(|p| p.index != entry.index) {
            return;
        }
        let Some(proposal) = self.proposals.pop_front() else { return };
        if proposal.term != entry.term {
            // Another leader's entry took this index, so the proposal is not in the log.
            return self.answer_not_done(proposal.pending, wire::Run::No);
        }
        if let Pending::Propose(done) = proposal.pending {
            let reply = wire::Reply::Applied { index: entry.index, reply: reply.into() };
            service::answer(done, reply);
        }
    }

    fn answer_not_done(&self, pending: Pending, run: wire::Run) {
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
        let live = if self.is_leader() { self.replica.live_voters().len() } else { 0 };
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

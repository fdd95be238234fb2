//! Replicas of one group on a simulated network with a seed, manual time and in-memory disks.
//!
//! The network checks on every step that a term has one leader, that no committed entry is lost or
//! changed, and that a confirmed read sees everything acknowledged before it was requested.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use basilfield::replica;
use basilfield::replica::Envelope;
use basilfield::replica::Input;
use basilfield::replica::Output;
use basilfield::replica::Replica;
use basilfield::replica::StateMachine as _;
use basilfield::replica::formation;
use basilfield::replica::repair;
use basilfield::replica::turnover;
use bytes::Bytes;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time between ticks, and unit of message delays.
pub const TICK: Duration = Duration::from_millis(10);
/// Interval of probes between managed hosts.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// State machine that records every command with its log index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandRecorder {
    pub commands: Vec<(u64, Vec<u8>)>,
}

impl replica::StateMachine for CommandRecorder {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.commands.push((index, command.to_vec()));
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.commands).expect("encode commands")
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        self.commands = postcard::from_bytes(data)
            .map_err(|e| replica::RestoreError { cause: e.to_string().into() })?;
        Ok(())
    }
}

/// Host with one replica.
pub struct Host {
    pub name: String,
    pub id: u64,
    pub disk: replica::PersistentState,
    /// `None` while the process is down.
    pub replica: Option<Replica>,
    pub frozen: bool,
    pub recorder: CommandRecorder,
    pub applied: u64,
    repair: repair::Repair,
    turnover: turnover::Turnover,
    /// Outputs of the current batch, which are not carried out yet.
    batch: Vec<Output>,
    /// Messages that arrived while the process was frozen.
    backlog: Vec<Envelope>,
}

/// Probabilities of faults per message, in percent.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: u32,
    pub duplicate: u32,
    /// Longest delay in ticks; messages with different delays are reordered.
    pub delay: u32,
}

/// Outcomes of requests, by token.
#[derive(Default)]
pub struct Requests {
    next: u64,
    /// Appended commands by token: host, index and term.
    accepted: BTreeMap<u64, (usize, u64, u64)>,
    pub committed: BTreeSet<u64>,
    pub refused: BTreeMap<u64, replica::Refusal>,
    /// Last acknowledged index when each open read was requested.
    reads: BTreeMap<u64, u64>,
    pub readable: BTreeSet<u64>,
}

/// Rate and load of the links between hosts. Messages with entries of one pair of hosts wait for
/// each other; others are too small to matter and have a connection of their own.
#[derive(Default)]
pub struct Links {
    /// Bytes per second of each link; 0 if messages take no time.
    pub rate: u64,
    /// Bytes of entries sent so far, by pair of replica ids.
    pub sent: BTreeMap<(u64, u64), u64>,
    /// Time until which a link is busy, by pair of replica ids.
    busy: BTreeMap<(u64, u64), Duration>,
}

impl Links {
    /// Adds a message and returns the time for which it waits and is transmitted.
    fn transmit(&mut self, now: Duration, envelope: &Envelope) -> Duration {
        let replica::Message::Append { entries, .. } = &envelope.body else {
            return Duration::ZERO;
        };
        let (pair, bytes) = ((envelope.from, envelope.to), entries.iter().map(|e| e.size() as u64));
        let bytes: u64 = bytes.sum();
        *self.sent.entry(pair).or_default() += bytes;
        if self.rate == 0 {
            return Duration::ZERO;
        }
        let busy = self.busy.entry(pair).or_default();
        *busy = now.max(*busy) + Duration::from_micros(bytes * 1_000_000 / self.rate);
        *busy - now
    }
}

/// Hosts, the messages between them and the observed history.
pub struct Network {
    pub now: Duration,
    pub hosts: Vec<Host>,
    pub faults: Faults,
    /// Pairs of hosts between which messages are dropped.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub requests: Requests,
    /// Committed entries as first applied by any replica.
    pub history: BTreeMap<u64, replica::Entry>,
    /// Replica id of the leader of each term.
    pub leader_ids: BTreeMap<u64, u64>,
    /// Number of applied entries after which a snapshot is taken; 0 for never.
    pub compaction: u64,
    /// Whether the hosts probe each other, form a group and repair it.
    pub managed: bool,
    /// Number of voters of a group in which any host may replace a lost one. That many first hosts
    /// form the group. `None` if all hosts form it and only repair it.
    pub voter_count: Option<usize>,
    /// Number of voters that the group should have, if other hosts than those that form it are to
    /// become voters.
    pub target_count: Option<usize>,
    /// Membership with which each of its voters may form the group, instead of the first host alone.
    pub placement: Option<replica::Membership>,
    /// Names of the hosts that an operator empties.
    pub leaving: Vec<Arc<str>>,
    /// Repairs that leaders reported complete.
    pub repaired: u32,
    /// Snapshots installed from a leader.
    pub installed: u32,
    pub links: Links,
    /// Messages in flight by due time and sequence number.
    queue: Vec<(Duration, u64, Envelope)>,
    sent: u64,
    rng: ChaCha8Rng,
    next_id: u64,
}

impl Network {
    pub fn new(count: usize, seed: u64) -> Network {
        let mut network = Network {
            now: Duration::ZERO,
            hosts: Vec::new(),
            faults: Faults { loss: 0, duplicate: 0, delay: 1 },
            cut_links: BTreeSet::new(),
            requests: Requests::default(),
            history: BTreeMap::new(),
            leader_ids: BTreeMap::new(),
            compaction: 0,
            managed: false,
            placement: None,
            voter_count: None,
            target_count: None,
            leaving: Vec::new(),
            repaired: 0,
            installed: 0,
            links: Links::default(),
            queue: Vec::new(),
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_id: 1,
        };
        for _ in 0..count {
            network.add_host();
        }
        network
    }

    /// Adds a host with an empty disk and starts it.
    pub fn add_host(&mut self) {
        let at = self.hosts.len();
        self.hosts.push(Host {
            name: format!("h{}", at + 1),
            id: 0,
            disk: replica::PersistentState::default(),
            replica: None,
            frozen: false,
            recorder: CommandRecorder::default(),
            applied: 0,
            repair: repair::Repair::default(),
            turnover: self.new_turnover(),
            batch: Vec::new(),
            backlog: Vec::new(),
        });
        self.wipe(at);
        self.start(at);
    }

    /// Lets any host replace a lost one in a group of this many voters.
    pub fn open_group(&mut self, size: usize) {
        self.voter_count = Some(size);
        self.reset_turnover();
    }

    /// Places the group on the present replicas of the first `size` hosts.
    pub fn place_group(&mut self, size: usize) {
        let voters = self.hosts.iter().take(size).map(|h| (h.id, h.name.as_str().into()));
        self.placement = Some(replica::Membership::from_voters(voters));
        self.open_group(size);
    }

    /// Sets the number of voters that the group should have. The same hosts as before form it.
    pub fn grow_group(&mut self, size: usize) {
        self.target_count = Some(size);
        self.reset_turnover();
    }

    fn new_turnover(&self) -> turnover::Turnover {
        turnover::Turnover::new(self.target_count.or(self.voter_count).unwrap_or(0))
    }

    fn reset_turnover(&mut self) {
        for at in 0..self.hosts.len() {
            self.hosts[at].turnover = self.new_turnover();
        }
    }

    /// Returns a membership with all hosts as voters.
    pub fn membership(&self) -> replica::Membership {
        let voters = self.hosts.iter().map(|h| (h.id, h.name.as_str().into()));
        replica::Membership::from_voters(voters)
    }

    /// Forms a group of all hosts on the first host, and waits for a leader.
    pub fn form(&mut self) -> usize {
        let members = self.membership();
        self.input(0, Input::Form(members));
        self.flush(0);
        self.await_leader()
    }

    /// Replaces the disk of a stopped host by an empty one.
    pub fn wipe(&mut self, at: usize) {
        assert!(self.hosts[at].replica.is_none(), "the host is stopped");
        self.hosts[at].disk = replica::PersistentState::default();
        self.hosts[at].id = self.next_id;
        self.next_id += 1;
    }

    /// Starts the process of a host from its disk.
    pub fn start(&mut self, at: usize) {
        let now = self.now;
        let host = &mut self.hosts[at];
        if host.replica.is_some() {
            return;
        }
        let config = replica::Config {
            group: 1,
            id: host.id,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            seed: host.id,
        };
        host.recorder = CommandRecorder::default();
        host.applied = 0;
        if let Some(snapshot) = &host.disk.snapshot {
            host.recorder.restore(&snapshot.data).expect("restore own snapshot");
            host.applied = snapshot.index;
        }
        host.replica = Some(Replica::new(config, host.disk.clone(), now));
        host.frozen = false;
    }

    /// Kills the process of a host. The first `kept` outputs of its current batch are saved. Its
    /// messages are lost, since they are sent only after the whole batch is synced.
    pub fn kill(&mut self, at: usize, kept: usize) {
        let host = &mut self.hosts[at];
        for output in std::mem::take(&mut host.batch).into_iter().take(kept) {
            save(&mut host.disk, &output);
        }
        host.replica = None;
        host.backlog.clear();
    }

    /// Cuts or restores every link of a host.
    pub fn isolate(&mut self, at: usize, cut: bool) {
        for other in (0..self.hosts.len()).filter(|other| *other != at) {
            for pair in [(at, other), (other, at)] {
                match cut {
                    true => self.cut_links.insert(pair),
                    false => self.cut_links.remove(&pair),
                };
            }
        }
    }

    /// Feeds an input and adds its outputs to the current batch.
    pub fn input(&mut self, at: usize, input: Input) {
        let host = &mut self.hosts[at];
        if let Some(replica) = &mut host.replica {
            host.batch.extend(replica.step(self.now, input));
        }
    }

    /// Ends the current batch: saves and syncs its outputs, then carries out the others in order.
    pub fn flush(&mut self, at: usize) {
        while !self.hosts[at].batch.is_empty() {
            let batch = std::mem::take(&mut self.hosts[at].batch);
            let mut written = false;
            for output in &batch {
                written |= save(&mut self.hosts[at].disk, output);
            }
            for output in batch {
                self.carry_out(at, output);
            }
            if written {
                let index = self.hosts[at].disk.entries.last().map_or(0, |e| e.index);
                self.input(at, Input::Synced { index });
            }
        }
    }

    fn carry_out(&mut self, at: usize, output: Output) {
        match output {
            Output::Persist { .. } | Output::SaveSnapshot(_) => {}
            Output::InstallSnapshot(snapshot) => self.install(at, &snapshot),
            Output::Send(envelope) => self.send(envelope),
            Output::Accepted { token, index, term } => {
                self.requests.accepted.insert(token, (at, index, term));
            }
            Output::Refused { token, reason } => {
                self.requests.refused.insert(token, reason);
                self.requests.reads.remove(&token);
            }
            Output::Apply(entries) => entries.into_iter().for_each(|e| self.apply(at, e)),
            Output::Readable { token, index } => self.check_read(token, index),
            Output::Role { role: replica::Role::Leader, term, .. } => {
                let id = self.hosts[at].id;
                let first = *self.leader_ids.entry(term).or_insert(id);
                assert_eq!(first, id, "one leader in term {term}");
            }
            Output::Role { .. } => {}
        }
    }

    fn install(&mut self, at: usize, snapshot: &replica::Snapshot) {
        let host = &mut self.hosts[at];
        host.recorder.restore(&snapshot.data).expect("restore leader's snapshot");
        host.applied = snapshot.index;
        self.installed += 1;
        self.check_recorder(at);
    }

    fn apply(&mut self, at: usize, entry: replica::Entry) {
        let host = &mut self.hosts[at];
        assert_eq!(entry.index, host.applied + 1, "entries are applied in order on {}", host.name);
        host.applied = entry.index;
        if let replica::Payload::Command(command) = &entry.payload {
            host.recorder.apply(entry.index, command);
        }
        let first = self.history.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*first, entry, "committed entry {} changed on {}", entry.index, host.name);
        let done =
            |(_, (_, i, t)): &(&u64, &(usize, u64, u64))| (*i, *t) == (entry.index, entry.term);
        let tokens = self.requests.accepted.iter().filter(done).map(|(token, _)| *token);
        self.requests.committed.extend(tokens.collect::<Vec<_>>());
        if self.compaction > 0 && entry.index.is_multiple_of(self.compaction) {
            let data = self.hosts[at].recorder.snapshot().into();
            self.input(at, Input::Snapshot { index: entry.index, data });
        }
    }

    fn check_read(&mut self, token: u64, index: u64) {
        if let Some(acknowledged) = self.requests.reads.remove(&token) {
            assert!(index >= acknowledged, "read at {index} misses {acknowledged}");
            self.requests.readable.insert(token);
        }
    }

    /// Checks the state machine of a host against the history.
    pub fn check_recorder(&self, at: usize) {
        let host = &self.hosts[at];
        let expected: Vec<(u64, Vec<u8>)> = self
            .history
            .range(..=host.applied)
            .filter_map(|(index, e)| match &e.payload {
                replica::Payload::Command(command) => Some((*index, command.to_vec())),
                _ => None,
            })
            .collect();
        assert_eq!(host.recorder.commands, expected, "state machine of {}", host.name);
    }

    fn send(&mut self, envelope: Envelope) {
        let copies = match self.rng.random_range(0..100) {
            n if n < self.faults.loss => 0,
            n if n < self.faults.loss + self.faults.duplicate => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = TICK * self.rng.random_range(1..=self.faults.delay.max(1));
            let due = self.now + delay + self.links.transmit(self.now, &envelope);
            self.sent += 1;
            self.queue.push((due, self.sent, envelope.clone()));
        }
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.hosts.iter().position(|h| h.id == id)
    }

    /// Delivers the messages that are due and ticks every running host, each in one batch.
    pub fn tick(&mut self) {
        self.tick_without_flush();
        for at in 0..self.hosts.len() {
            self.flush(at);
        }
    }

    /// Like [`Network::tick`], but does not end the batches, so that a host can be killed in one.
    pub fn tick_without_flush(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (mut due, rest) =
            std::mem::take(&mut self.queue).into_iter().partition::<Vec<_>, _>(|m| m.0 <= now);
        self.queue = rest;
        due.sort_by_key(|(due, number, _)| (*due, *number));
        for (_, _, envelope) in due {
            self.deliver(envelope);
        }
        for at in 0..self.hosts.len() {
            if !self.hosts[at].frozen {
                self.input(at, Input::Tick);
                for envelope in std::mem::take(&mut self.hosts[at].backlog) {
                    self.input(at, Input::Message(envelope));
                }
                if self.managed && self.now.as_millis().is_multiple_of(PROBE_INTERVAL.as_millis()) {
                    self.manage_group(at);
                }
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let (from, to) = (self.position(envelope.from), self.position(envelope.to));
        // Messages of a replica whose disk was lost can still be under way.
        let from = from.unwrap_or(usize::MAX);
        let Some(to) = to.filter(|to| !self.cut_links.contains(&(from, *to))) else { return };
        match self.hosts[to].frozen {
            true => self.hosts[to].backlog.push(envelope),
            false => self.input(to, Input::Message(envelope)),
        }
    }

    /// Loses the messages in flight from one host to another, as when the connection is closed, and
    /// tells the first one.
    pub fn reset_connection(&mut self, from: usize, to: usize) {
        let pair = (self.hosts[from].id, self.hosts[to].id);
        self.queue.retain(|(_, _, envelope)| (envelope.from, envelope.to) != pair);
        self.links.busy.remove(&pair);
        self.input(from, Input::ConnectionLost { member: pair.1 });
        self.flush(from);
    }

    pub fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    /// Returns the probe answers that a host receives now, including its own.
    fn probe(&self, at: usize) -> Vec<formation::ProbeAnswer> {
        let reached = |other: &usize| {
            let there =
                !self.cut_links.contains(&(at, *other)) && !self.cut_links.contains(&(*other, at));
            there && !self.hosts[*other].frozen
        };
        let answers = (0..self.hosts.len()).filter(reached).filter_map(|other| {
            let host = &self.hosts[other];
            let replica = host.replica.as_ref()?;
            let (host, id, blank) = (host.name.as_str().into(), host.id, replica.is_blank());
            Some(formation::ProbeAnswer { host, id, blank })
        });
        answers.collect()
    }

    /// Makes a host form, join or repair its group.
    fn manage_group(&mut self, at: usize) {
        let answers = self.probe(at);
        let founders = self.voter_count.unwrap_or(self.hosts.len());
        let names: Vec<Arc<str>> =
            self.hosts.iter().take(founders).map(|h| h.name.as_str().into()).collect();
        let runs = self.hosts[at].replica.is_some();
        if self.voter_count.is_some() && runs && self.is_retired(at, &answers) {
            self.kill(at, 0);
            self.wipe(at);
            return self.start(at);
        }
        let host = &mut self.hosts[at];
        let Some(replica) = &host.replica else { return };
        let formed = match &self.placement {
            Some(placement) if replica.is_blank() && placement.is_voter(host.id) => {
                Some(placement.clone())
            }
            Some(_) => None,
            None => match formation::decide(&host.name, &names, &answers) {
                formation::Decision::Form(members) => Some(members),
                _ => None,
            },
        };
        if let Some(members) = formed {
            return self.input(at, Input::Form(members));
        }
        let step = match self.voter_count {
            Some(_) => host.turnover.step(self.now, replica, &answers, &self.leaving),
            None => host.repair.step(replica, &names, &answers),
        };
        match step {
            repair::Step::Change(change) => {
                self.change(at, change);
            }
            repair::Step::Complete => self.repaired += 1,
            repair::Step::Idle | repair::Step::Wait(_) => {}
        }
    }

    /// Whether a host that can be reached knows that the replica of another was removed.
    fn is_retired(&self, at: usize, answers: &[formation::ProbeAnswer]) -> bool {
        let id = self.hosts[at].id;
        let reached = answers.iter().filter_map(|a| self.hosts.iter().find(|h| h.id == a.id));
        reached.filter_map(|h| h.replica.as_ref()).any(|r| r.membership().is_retired(id))
    }

    /// Returns the running host that leads the highest term, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let leads = |h: &&Host| {
            h.replica.as_ref().is_some_and(|r| r.role() == replica::Role::Leader) && !h.frozen
        };
        let leader =
            self.hosts.iter().filter(leads).max_by_key(|h| h.replica.as_ref().map(|r| r.term()));
        leader.and_then(|h| self.position(h.id))
    }

    /// Runs until a leader has committed an entry of its term.
    pub fn await_leader(&mut self) -> usize {
        for _ in 0..500 {
            self.tick();
            if let Some(at) = self.leader()
                && self.hosts[at].replica.as_ref().is_some_and(|r| r.is_settled())
            {
                return at;
            }
        }
        panic!("no leader within 5 s");
    }

    /// Proposes a command at a host and returns the token.
    pub fn propose(&mut self, at: usize, command: impl Into<Bytes>) -> u64 {
        self.requests.next += 1;
        let token = self.requests.next;
        self.input(at, Input::Propose { token, command: command.into() });
        token
    }

    /// Proposes a command at the leader and waits until it is committed.
    pub fn commit(&mut self, command: impl Into<Bytes>) {
        let at = self.await_leader();
        let token = self.propose(at, command);
        for _ in 0..300 {
            self.tick();
            if self.requests.committed.contains(&token) {
                return;
            }
        }
        panic!("command not committed within 3 s");
    }

    /// Requests a read index at a host and returns the token.
    pub fn read(&mut self, at: usize) -> u64 {
        self.requests.next += 1;
        let token = self.requests.next;
        let acknowledged = self.history.keys().next_back().copied().unwrap_or(0);
        self.requests.reads.insert(token, acknowledged);
        self.input(at, Input::Read { token });
        token
    }

    /// Requests a membership change at a host and returns the token.
    pub fn change(&mut self, at: usize, change: replica::MemberChange) -> u64 {
        self.requests.next += 1;
        let token = self.requests.next;
        self.input(at, Input::ChangeMembership { token, change });
        token
    }

    /// Whether the last committed membership consists of all hosts as voters.
    pub fn is_complete(&self) -> bool {
        let last = self.history.values().rev().find_map(|e| match &e.payload {
            replica::Payload::Membership(members) => Some(members),
            _ => None,
        });
        last.is_some_and(|m| {
            m.members.len() == self.hosts.len() && self.hosts.iter().all(|h| m.is_voter(h.id))
        })
    }

    /// Checks that every host has applied the whole history.
    pub fn check_converged(&self) {
        let last = self.history.keys().next_back().copied().unwrap_or(0);
        for (at, host) in self.hosts.iter().enumerate() {
            assert_eq!(host.applied, last, "{} has applied everything", host.name);
            self.check_recorder(at);
        }
    }
}

/// Carries out an output on the disk. Returns whether it wrote anything.
fn save(disk: &mut replica::PersistentState, output: &Output) -> bool {
    match output {
        Output::Persist { hard_state, entries } => {
            disk.hard_state = hard_state.unwrap_or(disk.hard_state);
            if let Some(first) = entries.first() {
                disk.entries.retain(|e| e.index < first.index);
                disk.entries.extend(entries.iter().cloned());
            }
        }
        Output::SaveSnapshot(snapshot) => {
            disk.entries.retain(|e| e.index > snapshot.index);
            disk.snapshot = Some(snapshot.clone());
        }
        Output::InstallSnapshot(snapshot) => {
            disk.entries.clear();
            disk.snapshot = Some(snapshot.clone());
        }
        _ => return false,
    }
    true
}

//! Specification of the replica core: elections, commit and replacement of a lost disk.
//!
//! There are three hosts, each with one replica. The model keeps no single messages. It keeps the
//! log of the leader of each term, since everything that the leader ever sent is a slice of it, and
//! the acknowledgements and granted votes, since these only accumulate. This covers loss, delay,
//! duplication and reordering. Pre-vote, reads and snapshots do not affect which entries are
//! committed and are left out.

pub const HOST_COUNT: usize = 3;
/// Number of replica ids that can occur: one for each host and each lost disk.
const MAX_IDS: usize = 6;
const MAX_TERM: usize = 4;
const MAX_LOG_LENGTH: usize = 5;

/// Bounds of the exploration, within the constants above.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether the first host leads term 1 in the initial state, which leaves more room within the
    /// bounds for repairs.
    pub leader_at_start: bool,
    /// Highest term.
    pub term: u8,
    /// Longest log, including the first membership.
    pub log: usize,
    /// Number of lost disks.
    pub losses: u8,
    /// Number of restarts. They matter only with a fault: without one, a restart has the same
    /// effect as a step-down.
    pub restarts: u8,
}

/// Deliberate fault in the specification, which the check must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A restart forgets the vote.
    ForgetsVote,
    /// A vote is granted to a candidate with an older log.
    IgnoresLog,
    /// Entries of earlier terms are committed by counting their copies.
    CommitsOldTerm,
    /// A follower acknowledges before it syncs, and a restart loses the last entry.
    AcksUnsynced,
    /// A host that lost its disk returns under its old id.
    KeepsId,
    /// A membership change does not wait for the previous one.
    ChangesAtOnce,
}

/// Set of replica ids, one bit for each.
type Ids = u8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    Value,
    Members { voters: Ids, learners: Ids },
}

/// Term and content of an entry; its index is its position in the log.
pub type Entry = (u8, Kind);

/// Log without heap memory, because hundreds of thousands of states are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    size: u8,
    entries: [Entry; MAX_LOG_LENGTH],
}

impl Log {
    const EMPTY: Log = Log { size: 0, entries: [(0, Kind::Value); MAX_LOG_LENGTH] };

    fn push(&mut self, entry: Entry) {
        self.entries[usize::from(self.size)] = entry;
        self.size += 1;
    }

    fn truncate(&mut self, size: usize) {
        // Equal logs must be equal in the unused part as well.
        self.entries[size..].fill((0, Kind::Value));
        self.size = self.size.min(size as u8);
    }

    /// Returns the latest membership: length of the log up to it, voters and learners.
    fn members(&self) -> (usize, Ids, Ids) {
        let found = self.iter().enumerate().rev().find_map(|(at, (_, kind))| match kind {
            Kind::Members { voters, learners } => Some((at + 1, *voters, *learners)),
            Kind::Value => None,
        });
        found.unwrap_or((0, 0, 0))
    }

    /// Length of the common prefix.
    fn common_prefix(&self, other: &Log) -> usize {
        self.iter().zip(other.iter()).take_while(|(a, b)| a == b).count()
    }
}

impl std::ops::Deref for Log {
    type Target = [Entry];

    fn deref(&self) -> &[Entry] {
        &self.entries[..usize::from(self.size)]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Follower,
    Candidate {
        granted: Ids,
    },
    /// Length of the log that this leader knows to be committed.
    Leader {
        commit: u8,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub id: u8,
    pub term: u8,
    pub vote: Option<u8>,
    pub log: Log,
    pub role: Role,
}

/// What the leader of a term has sent and received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaderRecord {
    pub leader: u8,
    pub log: Log,
    /// Acknowledged length by replica id.
    pub acks: [u8; MAX_IDS],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub nodes: [Node; HOST_COUNT],
    /// Records of the leaders, by term.
    pub leader_records: [Option<LeaderRecord>; MAX_TERM + 1],
    /// Longest log that any leader committed.
    pub committed: Log,
    /// Term of the leader that first committed each entry.
    pub commit_terms: [u8; MAX_LOG_LENGTH],
    /// Host of each replica id.
    pub id_hosts: [u8; MAX_IDS],
    /// Number of replica ids in use.
    pub id_count: u8,
    pub losses: u8,
    pub restarts: u8,
    pub violation: Option<Invariant>,
}

#[derive(Clone, Copy, Debug)]
#[allow(dead_code, reason = "the fields are read by the printed traces")]
pub enum Action {
    Campaign { id: u8 },
    Grant { candidate: u8, voter: u8 },
    Lead { id: u8 },
    StepDown { id: u8 },
    Propose { leader: u8 },
    Change { leader: u8, members: Kind },
    Deliver { term: u8, to: u8 },
    Commit { leader: u8, length: u8 },
    Restart { id: u8 },
    LoseDisk { host: usize },
}

/// Invariant of every reachable state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// A term has at most one leader.
    OneLeader,
    /// A leader holds every entry that was committed in earlier terms.
    LeaderComplete,
    /// A committed entry stays at its position.
    CommittedStays,
}

type Transitions = Vec<(Action, State)>;

pub struct Model {
    pub bounds: Bounds,
    pub fault: Fault,
    /// Invariants that are checked.
    pub checked: &'static [Invariant],
}

fn is_quorum(ids: Ids, voters: Ids) -> bool {
    (ids & voters).count_ones() * 2 > voters.count_ones()
}

fn acks(state: &State, term: u8) -> [u8; MAX_IDS] {
    state.leader_records[usize::from(term)].map_or([0; MAX_IDS], |record| record.acks)
}

impl Model {
    /// Returns three voters with the first membership committed.
    pub fn initial_state(&self) -> State {
        let term = u8::from(self.bounds.leader_at_start);
        let mut log = Log::EMPTY;
        log.push((term, Kind::Members { voters: 0b111, learners: 0 }));
        let vote = self.bounds.leader_at_start.then_some(0);
        let mut nodes = [0, 1, 2].map(|id| Node { id, term, vote, log, role: Role::Follower });
        let mut leader_records = [None; MAX_TERM + 1];
        if self.bounds.leader_at_start {
            nodes[0].role = Role::Leader { commit: 1 };
            leader_records[1] = Some(LeaderRecord { leader: 0, log, acks: [1, 1, 1, 0, 0, 0] });
        }
        State {
            nodes,
            leader_records,
            committed: log,
            commit_terms: [term, 0, 0, 0, 0],
            id_hosts: [0, 1, 2, 0, 0, 0],
            id_count: HOST_COUNT as u8,
            losses: 0,
            restarts: 0,
            violation: None,
        }
    }

    pub fn successors(&self, state: &State) -> Transitions {
        let mut next = Vec::new();
        if state.violation.is_some() {
            return next;
        }
        // The hosts are interchangeable until the first of them acts.
        let untouched = state.losses == 0 && state.nodes.iter().all(|n| n.term == 0);
        for at in 0..if untouched { 1 } else { HOST_COUNT } {
            self.elections(state, at, &mut next);
            self.leader_actions(state, at, &mut next);
            self.failures(state, at, &mut next);
            next.extend((0..=self.bounds.term).filter_map(|term| deliver(state, term, at)));
        }
        for (_, to) in &mut next {
            to.violation = to.violation.filter(|v| self.checked.contains(v));
            self.normalize(to);
        }
        next
    }

    /// Clears what cannot affect any further step, so that fewer states differ.
    fn normalize(&self, state: &mut State) {
        let may_lose = state.losses < self.bounds.losses;
        for (term, record) in state.leader_records.iter_mut().enumerate() {
            let Some(record) = record else { continue };
            let term = term as u8;
            let leads = |n: &Node| n.term == term && matches!(n.role, Role::Leader { .. });
            if !state.nodes.iter().any(leads) {
                record.acks = [0; MAX_IDS];
            }
            // Every replica refuses messages of an earlier term, but a new one starts in term 0.
            if !may_lose && state.nodes.iter().all(|n| n.term > term) {
                record.log = Log::EMPTY;
            }
        }
    }

    fn elections(&self, state: &State, at: usize, next: &mut Transitions) {
        let node = &state.nodes[at];
        let (_, voters, _) = node.log.members();
        let leads = matches!(node.role, Role::Leader { .. });
        if !leads && node.term < self.bounds.term && voters & (1 << node.id) != 0 {
            let mut to = *state;
            let node = &mut to.nodes[at];
            node.term += 1;
            node.vote = Some(node.id);
            node.role = Role::Candidate { granted: 1 << node.id };
            next.push((Action::Campaign { id: node.id }, to));
        }
        let Role::Candidate { granted } = node.role else { return };
        if is_quorum(granted, voters) {
            next.push((Action::Lead { id: node.id }, lead(state, at)));
        }
        let others = (0..HOST_COUNT).filter(|voter| *voter != at);
        next.extend(others.filter_map(|voter| self.grant(state, at, voter)));
    }

    fn grant(&self, state: &State, candidate: usize, voter: usize) -> Option<(Action, State)> {
        let (from, node) = (&state.nodes[candidate], &state.nodes[voter]);
        let Role::Candidate { granted } = from.role else { return None };
        let free = node.term < from.term || (node.term == from.term && node.vote.is_none());
        let ends = |log: &Log| (log.last().map_or(0, |e| e.0), log.len());
        let current = ends(&from.log) >= ends(&node.log) || self.fault == Fault::IgnoresLog;
        if !free || !current || granted & (1 << node.id) != 0 {
            return None;
        }
        let mut to = *state;
        let voter = &mut to.nodes[voter];
        (voter.term, voter.vote, voter.role) = (from.term, Some(from.id), Role::Follower);
        to.nodes[candidate].role = Role::Candidate { granted: granted | 1 << node.id };
        Some((Action::Grant { candidate: from.id, voter: node.id }, to))
    }

    fn leader_actions(&self, state: &State, at: usize, next: &mut Transitions) {
        let node = &state.nodes[at];
        let Role::Leader { commit } = node.role else { return };
        if node.log.len() < self.bounds.log {
            next.push((Action::Propose { leader: node.id }, append(state, at, Kind::Value)));
            for members in self.changes(state, at, commit) {
                let action = Action::Change { leader: node.id, members };
                next.push((action, append(state, at, members)));
            }
        }
        let (_, voters, _) = node.log.members();
        let acks = acks(state, node.term);
        for length in commit + 1..=node.log.size {
            let acked = (0..state.id_count).filter(|id| acks[usize::from(*id)] >= length);
            let ids = acked.fold(1 << node.id, |ids: Ids, id| ids | 1 << id);
            let term = node.log[usize::from(length) - 1].0;
            let own = term == node.term || self.fault == Fault::CommitsOldTerm;
            if own && is_quorum(ids, voters) {
                let action = Action::Commit { leader: node.id, length };
                next.push((action, commit_log(state, at, length)));
            }
        }
    }

    /// Returns the next steps of a repair: add the new replica, remove the lost one, promote.
    fn changes(&self, state: &State, at: usize, commit: u8) -> Vec<Kind> {
        let node = &state.nodes[at];
        let (index, voters, learners) = node.log.members();
        let own = node.log[..usize::from(commit)].iter().any(|e| e.0 == node.term);
        if self.fault != Fault::ChangesAtOnce && (!own || index > usize::from(commit)) {
            return Vec::new();
        }
        let acks = acks(state, node.term);
        let step = |id: u8| {
            let bit: Ids = 1 << id;
            let host = state.id_hosts[usize::from(id)];
            let same = (0..id).filter(|other| state.id_hosts[usize::from(*other)] == host);
            let lost = same.fold(0, |ids: Ids, id| ids | 1 << id) & voters;
            let ready = acks[usize::from(id)] >= commit;
            match () {
                () if voters & bit != 0 => None,
                () if learners & bit == 0 => Some((voters, learners | bit)),
                () if !ready => None,
                () if lost != 0 => Some((voters & !lost, learners)),
                () => Some((voters | bit, learners & !bit)),
            }
        };
        let steps = state.nodes.iter().filter_map(|n| step(n.id));
        steps.map(|(voters, learners)| Kind::Members { voters, learners }).collect()
    }

    fn failures(&self, state: &State, at: usize, next: &mut Transitions) {
        let node = &state.nodes[at];
        if matches!(node.role, Role::Leader { .. }) {
            let mut to = *state;
            to.nodes[at].role = Role::Follower;
            next.push((Action::StepDown { id: node.id }, to));
        }
        if state.restarts < self.bounds.restarts {
            next.push((Action::Restart { id: node.id }, self.restart(state, at)));
        }
        let (_, voters, _) = state.committed.members();
        let complete = state.nodes.iter().all(|n| voters & (1 << n.id) != 0);
        if state.losses < self.bounds.losses && complete {
            next.push((Action::LoseDisk { host: at }, self.lose_disk(state, at)));
        }
    }

    fn restart(&self, state: &State, at: usize) -> State {
        let mut to = *state;
        to.restarts += 1;
        let node = &mut to.nodes[at];
        node.role = Role::Follower;
        if self.fault == Fault::ForgetsVote {
            node.vote = None;
        }
        if self.fault == Fault::AcksUnsynced && node.log.len() > 1 {
            node.log.truncate(node.log.len() - 1);
        }
        to
    }

    fn lose_disk(&self, state: &State, at: usize) -> State {
        let mut to = *state;
        to.losses += 1;
        let node = &mut to.nodes[at];
        (node.term, node.vote, node.log, node.role) = (0, None, Log::EMPTY, Role::Follower);
        if self.fault != Fault::KeepsId {
            node.id = to.id_count;
            to.id_hosts[usize::from(to.id_count)] = at as u8;
            to.id_count += 1;
        }
        to
    }
}

fn lead(state: &State, at: usize) -> State {
    let mut to = *state;
    let node = &mut to.nodes[at];
    node.role = Role::Leader { commit: 0 };
    // A candidate of an old term may win late; it need not hold the entries of later terms.
    let terms = &state.commit_terms[..state.committed.len()];
    let earlier = terms.iter().filter(|term| **term < node.term).count();
    if node.log.common_prefix(&state.committed) < earlier {
        to.violation = Some(Invariant::LeaderComplete);
    }
    let record = LeaderRecord { leader: node.id, log: node.log, acks: [0; MAX_IDS] };
    if to.leader_records[usize::from(node.term)].replace(record).is_some() {
        to.violation = Some(Invariant::OneLeader);
    }
    to
}

fn append(state: &State, at: usize, kind: Kind) -> State {
    let mut to = *state;
    let node = &mut to.nodes[at];
    node.log.push((node.term, kind));
    if let Some(record) = &mut to.leader_records[usize::from(node.term)] {
        record.log = node.log;
    }
    to
}

fn commit_log(state: &State, at: usize, length: u8) -> State {
    let mut to = *state;
    to.nodes[at].role = Role::Leader { commit: length };
    let mut log = state.nodes[at].log;
    log.truncate(length.into());
    let known = state.committed.len();
    if log.common_prefix(&state.committed) < log.len().min(known) {
        to.violation = Some(Invariant::CommittedStays);
    }
    if log.len() > known {
        to.committed = log;
        to.commit_terms[known..log.len()].fill(state.nodes[at].term);
    }
    to
}

/// Delivers the next entry that a replica lacks from the leader of a term.
fn deliver(state: &State, term: u8, at: usize) -> Option<(Action, State)> {
    let record = state.leader_records[usize::from(term)]?;
    if state.nodes[at].id == record.leader || state.nodes[at].term > term {
        return None;
    }
    let mut to = *state;
    let node = &mut to.nodes[at];
    if node.term < term {
        (node.term, node.vote) = (term, None);
    }
    node.role = Role::Follower;
    let mut matched = node.log.common_prefix(&record.log);
    if matched < record.log.len() {
        node.log.truncate(matched);
        node.log.push(record.log[matched]);
        matched += 1;
    }
    let id = node.id;
    if let Some(record) = &mut to.leader_records[usize::from(term)] {
        let acked = &mut record.acks[usize::from(id)];
        *acked = (matched as u8).max(*acked);
    }
    (to != *state).then_some((Action::Deliver { term, to: id }, to))
}

//! Elections with pre-vote, and check-quorum of the leader.

use crate::replica;
use crate::replica::Message;
use crate::replica::Replica;
use crate::replica::State;
use crate::replica::replicate;

/// Votes that a candidate has collected.
pub(super) struct Ballot {
    /// Whether this is the pre-vote, which leaves the term unchanged.
    pre: bool,
    /// Voters that granted, sorted.
    granted: Vec<u64>,
}

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            return self.tick_leader();
        }
        if self.now >= self.deadline {
            self.campaign();
        }
    }

    fn tick_leader(&mut self) {
        let live = self.live().len();
        if live < self.members().quorum() {
            return self.step_down(self.term);
        }
        self.expire_reads();
        self.resend();
    }

    /// Starts a pre-vote if this replica is a voter.
    fn campaign(&mut self) {
        self.defer_election();
        if !self.members().is_voter(self.config.id) {
            return;
        }
        self.leader = None;
        self.ask_votes(true);
    }

    fn ask_votes(&mut self, pre: bool) {
        self.state = State::Candidate(Ballot { pre, granted: vec![self.config.id] });
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let (term, body) = match pre {
            true => (self.term + 1, Message::PreVote { last, last_term }),
            false => (self.term, Message::Vote { last, last_term }),
        };
        for id in self.others() {
            self.send_with_term(id, term, body.clone());
        }
        self.count_ballot();
    }

    /// Voters other than this replica.
    fn others(&self) -> Vec<u64> {
        self.members().voters().filter(|id| *id != self.config.id).collect()
    }

    pub(super) fn count_vote(&mut self, from: u64, term: u64, pre: bool, granted: bool) {
        let asked = if pre { self.term + 1 } else { self.term };
        let voter = self.members().is_voter(from);
        let State::Candidate(ballot) = &mut self.state else { return };
        if !granted || !voter || ballot.pre != pre || term != asked {
            return;
        }
        if let Err(at) = ballot.granted.binary_search(&from) {
            ballot.granted.insert(at, from);
        }
        self.count_ballot();
    }

    fn count_ballot(&mut self) {
        let quorum = self.members().quorum();
        let State::Candidate(ballot) = &self.state else { return };
        if ballot.granted.len() < quorum {
            return;
        }
        if !ballot.pre {
            return self.lead();
        }
        self.term += 1;
        self.vote = Some(self.config.id);
        self.defer_election();
        self.ask_votes(false);
    }

    fn lead(&mut self) {
        self.leader = Some(self.config.id);
        let first = self.log.last() + 1;
        let entries = self.log.range(self.commit + 1, self.log.last());
        let uncommitted = entries.iter().map(replica::Entry::size).sum();
        let (members, own) = (self.members(), self.config.id);
        let leader = replicate::Leader::new(first, self.now, members, own, uncommitted);
        self.state = State::Leader(Box::new(leader));
        let payload = match self.forming.take() {
            Some(members) => replica::Payload::Members(members),
            None => replica::Payload::Noop,
        };
        self.push(payload);
    }

    /// Whether this replica leads or has heard from a leader within an election timeout.
    pub(super) fn has_leader(&self) -> bool {
        let heard = self.now < self.heard + self.config.election;
        matches!(self.state, State::Leader(_)) || (self.leader.is_some() && heard)
    }

    pub(super) fn pre_vote(&mut self, from: u64, term: u64, last: u64, last_term: u64) {
        let granted = term > self.term && !self.has_leader() && self.is_current(last, last_term);
        let term = if granted { term } else { self.term };
        self.send_with_term(from, term, Message::PreVoteReply { granted });
    }

    pub(super) fn vote(&mut self, from: u64, last: u64, last_term: u64) {
        let free = self.vote.is_none_or(|id| id == from);
        let granted = free && self.is_current(last, last_term);
        if granted {
            self.vote = Some(from);
            self.defer_election();
        }
        self.send(from, Message::VoteReply { granted });
    }

    /// Whether a log that ends like this holds every entry that may be committed.
    fn is_current(&self, last: u64, last_term: u64) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    /// Follows the leader of the current term.
    pub(super) fn follow(&mut self, leader: u64) {
        assert!(
            !matches!(self.state, State::Leader(_)),
            "two leaders in term {}: {} and {leader}",
            self.term,
            self.config.id,
        );
        self.state = State::Follower;
        self.forming = None;
        self.leader = Some(leader);
        self.heard = self.now;
        self.defer_election();
    }

    /// Becomes a follower in `term`, which is the current one or a newer one.
    pub(super) fn step_down(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        if let State::Leader(leader) = std::mem::replace(&mut self.state, State::Follower) {
            self.refuse_reads(*leader);
            self.defer_election();
        }
        self.leader = None;
    }
}

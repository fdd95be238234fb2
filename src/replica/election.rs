//! Leader election with pre-vote. A leader without a live quorum steps down (check-quorum).

use crate::replica;
use crate::replica::Message;
use crate::replica::Replica;
use crate::replica::State;
use crate::replica::replicate;

/// Votes that a candidate has collected.
pub(super) struct VoteTally {
    /// Whether these are pre-votes, which leave the term unchanged.
    pre_vote: bool,
    /// Ids of the voters that granted their vote, sorted.
    granted: Vec<u64>,
}

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            return self.tick_leader();
        }
        if self.now >= self.election_deadline {
            self.campaign();
        }
    }

    fn tick_leader(&mut self) {
        let live = self.live_voters().len();
        if live < self.membership().quorum() {
            return self.step_down(self.term);
        }
        self.expire_reads();
        self.send_due_messages();
    }

    /// Starts a pre-vote if this replica is a voter.
    fn campaign(&mut self) {
        self.reset_election_deadline();
        if !self.membership().is_voter(self.config.id) {
            return;
        }
        self.leader = None;
        self.request_votes(true);
    }

    fn request_votes(&mut self, pre_vote: bool) {
        self.state = State::Candidate(VoteTally { pre_vote, granted: vec![self.config.id] });
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let (term, body) = match pre_vote {
            true => (self.term + 1, Message::PreVote { last_index, last_term }),
            false => (self.term, Message::Vote { last_index, last_term }),
        };
        for id in self.other_voters() {
            self.send_with_term(id, term, body.clone());
        }
        self.tally_votes();
    }

    /// Voters other than this replica.
    fn other_voters(&self) -> Vec<u64> {
        self.membership().voters().filter(|id| *id != self.config.id).collect()
    }

    pub(super) fn record_vote(&mut self, from: u64, term: u64, pre_vote: bool, granted: bool) {
        let asked = if pre_vote { self.term + 1 } else { self.term };
        let voter = self.membership().is_voter(from);
        let State::Candidate(tally) = &mut self.state else { return };
        if !granted || !voter || tally.pre_vote != pre_vote || term != asked {
            return;
        }
        if let Err(at) = tally.granted.binary_search(&from) {
            tally.granted.insert(at, from);
        }
        self.tally_votes();
    }

    fn tally_votes(&mut self) {
        let quorum = self.membership().quorum();
        let State::Candidate(tally) = &self.state else { return };
        if tally.granted.len() < quorum {
            return;
        }
        if !tally.pre_vote {
            return self.become_leader();
        }
        self.term += 1;
        self.vote = Some(self.config.id);
        self.reset_election_deadline();
        self.request_votes(false);
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.config.id);
        let first_index = self.log.last_index() + 1;
        let entries = self.log.range(self.commit_index + 1, self.log.last_index());
        let uncommitted_bytes = entries.iter().map(replica::Entry::size).sum();
        let (membership, own) = (self.membership(), self.config.id);
        let leader =
            replicate::Leader::new(first_index, self.now, membership, own, uncommitted_bytes);
        self.state = State::Leader(Box::new(leader));
        let payload = match self.forming.take() {
            Some(membership) => replica::Payload::Membership(membership),
            None => replica::Payload::Noop,
        };
        self.append_entry(payload);
    }

    /// Whether this replica leads or has heard from a leader within an election timeout.
    pub(super) fn has_leader(&self) -> bool {
        let heard = self.now < self.leader_contact + self.config.election_timeout;
        matches!(self.state, State::Leader(_)) || (self.leader.is_some() && heard)
    }

    /// Whether this replica voted for another one within an election timeout. That one may lead
    /// already, although nothing was heard from it yet.
    pub(super) fn has_voted_recently(&self) -> bool {
        self.vote_time.is_some_and(|at| self.now < at + self.config.election_timeout)
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: u64,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let free = !self.has_leader() && !self.has_voted_recently();
        let granted = term > self.term && free && self.is_up_to_date(last_index, last_term);
        let term = if granted { term } else { self.term };
        self.send_with_term(from, term, Message::PreVoteReply { granted });
    }

    pub(super) fn handle_vote(&mut self, from: u64, last_index: u64, last_term: u64) {
        let free = self.vote.is_none_or(|id| id == from);
        let granted = free && self.is_up_to_date(last_index, last_term);
        if granted {
            self.vote = Some(from);
            self.vote_time = Some(self.now);
            self.reset_election_deadline();
        }
        self.send(from, Message::VoteReply { granted });
    }

    /// Whether a log with this last entry is at least as up to date as the one of this replica. A
    /// candidate for which this holds at a quorum has every committed entry.
    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
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
        self.leader_contact = self.now;
        self.reset_election_deadline();
    }

    /// Becomes a follower in `term`, which is the current one or a newer one.
    pub(super) fn step_down(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        if let State::Leader(leader) = std::mem::replace(&mut self.state, State::Follower) {
            self.refuse_reads(*leader);
            self.reset_election_deadline();
        }
        self.leader = None;
    }
}

//! Changes of the membership, one member at a time.
//!
//! A change takes effect when its entry is appended. The next one waits until it is committed, so
//! the quorums of two successive memberships always overlap.

use crate::replica::ChangeRefusal;
use crate::replica::Member;
use crate::replica::MemberChange;
use crate::replica::MemberRole;
use crate::replica::Membership;
use crate::replica::Payload;
use crate::replica::Refusal;
use crate::replica::Replica;
use crate::replica::State;
use crate::replica::replicate;

impl Membership {
    /// Returns the membership after one change, or the reason why the change is invalid.
    pub fn with_change(&self, change: &MemberChange) -> Result<Membership, ChangeRefusal> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(member) => next.add_learner(member)?,
            MemberChange::Remove(id) => next.remove(*id)?,
            MemberChange::Promote(id) => next.promote(*id)?,
        }
        Ok(next)
    }

    fn add_learner(&mut self, member: &Member) -> Result<(), ChangeRefusal> {
        if self.is_retired(member.id) {
            return Err(ChangeRefusal::Retired);
        }
        match self.members.binary_search_by_key(&member.id, |m| m.id) {
            Ok(_) => Err(ChangeRefusal::AlreadyMember),
            Err(at) => {
                let learner = Member { role: MemberRole::Learner, ..member.clone() };
                self.members.insert(at, learner);
                Ok(())
            }
        }
    }

    fn remove(&mut self, id: u64) -> Result<(), ChangeRefusal> {
        let found = self.members.binary_search_by_key(&id, |m| m.id);
        let at = found.map_err(|_| ChangeRefusal::NotMember)?;
        self.members.remove(at);
        if let Err(at) = self.retired.binary_search(&id) {
            self.retired.insert(at, id);
        }
        Ok(())
    }

    fn promote(&mut self, id: u64) -> Result<(), ChangeRefusal> {
        let found = self.members.binary_search_by_key(&id, |m| m.id);
        let at = found.map_err(|_| ChangeRefusal::NotMember)?;
        if self.members[at].role == MemberRole::Voter {
            return Err(ChangeRefusal::AlreadyMember);
        }
        self.members[at].role = MemberRole::Voter;
        Ok(())
    }
}

impl Replica {
    /// Forms a group. The membership becomes the first entry once this replica is elected, so
    /// that two attempts to form a group never yield different entries of one index and term.
    pub(super) fn form_group(&mut self, membership: Membership) {
        if !self.is_blank() || !membership.is_voter(self.config.id) {
            return;
        }
        // The caller repeats the input while the replica is blank. A repetition must not restart
        // the running election.
        if self.forming.as_ref() == Some(&membership) {
            return;
        }
        self.forming = Some(membership);
        // Another member may be forming the group: with the vote of this replica, or as its leader
        // whose first entry has not arrived.
        if !self.has_leader() && !self.has_voted_recently() {
            self.election_deadline = self.now;
            self.tick();
        }
    }

    pub(super) fn change_membership(&mut self, token: u64, change: MemberChange) {
        match self.check_change(&change) {
            Err(reason) => self.refuse(token, reason),
            Ok(membership) => self.append_membership(token, membership),
        }
    }

    fn check_change(&self, change: &MemberChange) -> Result<Membership, Refusal> {
        if !matches!(self.state, State::Leader(_)) {
            return Err(Refusal::NotLeader { leader: self.leader });
        }
        if !self.is_settled() {
            return Err(Refusal::Change(ChangeRefusal::ChangePending));
        }
        let next = self.membership().with_change(change).map_err(Refusal::Change)?;
        if let MemberChange::Promote(id) = change
            && !self.has_caught_up(*id)
        {
            return Err(Refusal::Change(ChangeRefusal::NotCaughtUp));
        }
        let live = next.voters().filter(|id| self.is_live(*id)).count();
        if live < next.quorum() {
            return Err(Refusal::Change(ChangeRefusal::QuorumLoss));
        }
        Ok(next)
    }

    fn append_membership(&mut self, token: u64, membership: Membership) {
        let next = self.log.last_index() + 1;
        if let State::Leader(leader) = &mut self.state {
            for id in membership.members.iter().map(|m| m.id).filter(|id| *id != self.config.id) {
                leader.progress.entry_or(id, || replicate::Progress::new(next, None));
            }
            leader.progress.retain(|id, _| membership.get(*id).is_some());
        }
        self.append_for_request(token, Payload::Membership(membership));
    }
}

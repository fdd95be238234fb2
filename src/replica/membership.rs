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
    /// Membership after one change.
    pub fn changed(&self, change: &MemberChange) -> Result<Membership, ChangeRefusal> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(member) => next.add(member)?,
            MemberChange::Remove(id) => next.remove(*id)?,
            MemberChange::Promote(id) => next.promote(*id)?,
        }
        Ok(next)
    }

    fn add(&mut self, member: &Member) -> Result<(), ChangeRefusal> {
        if self.is_retired(member.id) {
            return Err(ChangeRefusal::Retired);
        }
        match self.members.binary_search_by_key(&member.id, |m| m.id) {
            Ok(_) => Err(ChangeRefusal::Present),
            Err(at) => {
                let learner = Member { role: MemberRole::Learner, ..member.clone() };
                self.members.insert(at, learner);
                Ok(())
            }
        }
    }

    fn remove(&mut self, id: u64) -> Result<(), ChangeRefusal> {
        let found = self.members.binary_search_by_key(&id, |m| m.id);
        let at = found.map_err(|_| ChangeRefusal::Absent)?;
        self.members.remove(at);
        if let Err(at) = self.retired.binary_search(&id) {
            self.retired.insert(at, id);
        }
        Ok(())
    }

    fn promote(&mut self, id: u64) -> Result<(), ChangeRefusal> {
        let found = self.members.binary_search_by_key(&id, |m| m.id);
        let at = found.map_err(|_| ChangeRefusal::Absent)?;
        if self.members[at].role == MemberRole::Voter {
            return Err(ChangeRefusal::Present);
        }
        self.members[at].role = MemberRole::Voter;
        Ok(())
    }
}

impl Replica {
    /// Forms a group. The membership becomes the first entry once this replica is elected, so
    /// that two attempts to form a group never yield different entries of one index and term.
    pub(super) fn form(&mut self, members: Membership) {
        if !self.blank() || !members.is_voter(self.config.id) {
            return;
        }
        // The order is repeated while the group is blank; the running election continues.
        if self.forming.as_ref() == Some(&members) {
            return;
        }
        self.forming = Some(members);
        self.deadline = self.now;
        self.tick();
    }

    pub(super) fn change(&mut self, token: u64, change: MemberChange) {
        match self.check_change(&change) {
            Err(reason) => self.refuse(token, reason),
            Ok(members) => self.append_members(token, members),
        }
    }

    fn check_change(&self, change: &MemberChange) -> Result<Membership, Refusal> {
        if !matches!(self.state, State::Leader(_)) {
            return Err(Refusal::NotLeader { leader: self.leader });
        }
        if !self.settled() {
            return Err(Refusal::Change(ChangeRefusal::Pending));
        }
        let next = self.members().changed(change).map_err(Refusal::Change)?;
        if let MemberChange::Promote(id) = change
            && !self.caught_up(*id)
        {
            return Err(Refusal::Change(ChangeRefusal::Behind));
        }
        let live = next.voters().filter(|id| self.is_live(*id)).count();
        if live < next.quorum() {
            return Err(Refusal::Change(ChangeRefusal::Quorum));
        }
        Ok(next)
    }

    fn append_members(&mut self, token: u64, members: Membership) {
        let next = self.log.last() + 1;
        if let State::Leader(leader) = &mut self.state {
            for id in members.members.iter().map(|m| m.id).filter(|id| *id != self.config.id) {
                leader.progress.entry_or(id, || replicate::Progress::new(next, None));
            }
            leader.progress.retain(|id, _| members.get(*id).is_some());
        }
        self.append(token, Payload::Members(members));
    }
}

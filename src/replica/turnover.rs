//! Brings a group to its number of voters and keeps it there while hosts come and go, one committed
//! membership change at a time.
//!
//! While [`crate::replica::repair`] only replaces the replica of a listed host, here any host that
//! probes the members may replace a lost one. It becomes a learner only when a voter is missing,
//! lost or leaving, since every learner costs a copy of the log. A voter that can be reached is
//! removed only if an operator empties its host.

use crate::replica::Member;
use crate::replica::MemberChange;
use crate::replica::MemberRole;
use crate::replica::Replica;
use crate::replica::Role;
use crate::replica::formation::ProbeAnswer;
use crate::replica::repair::RepairBlocker;
use crate::replica::repair::Step;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// A voter that is silent for this long is replaced by a learner that has caught up. Longer than a
/// restart of a process, which keeps its disk; shorter than the time after which the group must
/// survive a second loss.
const VOTER_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// A learner that is silent for this long is removed. Its host is added again when it probes the
/// members.
const LEARNER_SILENCE_LIMIT: Duration = Duration::from_secs(6);

/// Turnover of one group. Every host keeps one; only the leader's decides on changes.
#[derive(Debug)]
pub struct Turnover {
    /// Number of voters that the group should have.
    target_size: usize,
    /// Time at which each silent member was first found silent.
    silent_since: sorted::SortedMap<u64, Duration>,
}

impl Turnover {
    /// Creates the turnover of a group that should have `target_size` voters.
    pub fn new(target_size: usize) -> Turnover {
        Turnover { target_size, silent_since: sorted::SortedMap::new() }
    }

    /// Decides on the next step from recent probe answers. `leaving` names the hosts that an
    /// operator empties.
    pub fn step(
        &mut self,
        now: Duration,
        replica: &Replica,
        answers: &[ProbeAnswer],
        leaving: &[Arc<str>],
    ) -> Step {
        if replica.role() != Role::Leader {
            self.silent_since.clear();
            return Step::Idle;
        }
        self.update_silent_members(now, replica);
        if !replica.is_settled() {
            return Step::Wait(RepairBlocker::ChangePending);
        }
        let next = self.next_change(now, replica, answers, leaving);
        next.map_or(Step::Idle, Step::Change)
    }

    fn update_silent_members(&mut self, now: Duration, replica: &Replica) {
        let members = &replica.membership().members;
        let silent = |id: u64| !replica.is_live(id);
        self.silent_since.retain(|id, _| members.iter().any(|m| m.id == *id) && silent(*id));
        for member in members.iter().filter(|m| silent(m.id)) {
            self.silent_since.entry_or(member.id, || now);
        }
    }

    fn is_silent_for(&self, now: Duration, id: u64, limit: Duration) -> bool {
        self.silent_since.get(&id).is_some_and(|since| now.saturating_sub(*since) >= limit)
    }

    fn next_change(
        &self,
        now: Duration,
        replica: &Replica,
        answers: &[ProbeAnswer],
        leaving: &[Arc<str>],
    ) -> Option<MemberChange> {
        let membership = replica.membership();
        let with_role = |role| membership.members.iter().filter(move |m: &&Member| m.role == role);
        let has_new_id = |m: &&Member| answers.iter().any(|a| a.host == m.host && a.id != m.id);
        let is_leaving = |m: &&Member| leaving.contains(&m.host);
        let removed_learner = with_role(MemberRole::Learner).find(|m| {
            has_new_id(m) || is_leaving(m) || self.is_silent_for(now, m.id, LEARNER_SILENCE_LIMIT)
        });
        if let Some(removed_learner) = removed_learner {
            return Some(MemberChange::Remove(removed_learner.id));
        }
        let voters = with_role(MemberRole::Voter).count();
        let lost = with_role(MemberRole::Voter)
            .find(|m| self.is_silent_for(now, m.id, VOTER_SILENCE_LIMIT));
        // A voter whose host has come back with an empty disk will never answer again.
        let disk_lost =
            with_role(MemberRole::Voter).find(|m| !replica.is_live(m.id) && has_new_id(m));
        if voters > self.target_size
            && let Some(surplus) = lost.or_else(|| with_role(MemberRole::Voter).find(is_leaving))
        {
            return Some(MemberChange::Remove(surplus.id));
        }
        let ready = with_role(MemberRole::Learner)
            .filter(|m| replica.is_live(m.id) && replica.has_caught_up(m.id))
            // A host that lost its disk replaces its own replica in preference to other hosts.
            .min_by_key(|m| disk_lost.is_none_or(|e| e.host != m.host));
        let is_incomplete = voters < self.target_size;
        let is_even = voters.is_multiple_of(2);
        let lost = disk_lost.or(lost);
        if let Some(ready) = ready {
            let empties_host = with_role(MemberRole::Voter).any(|m| is_leaving(&m));
            let all_live = with_role(MemberRole::Voter).all(|m| replica.is_live(m.id));
            // One more voter raises the quorum of an odd number of voters, so a silent one must
            // return or be removed first.
            if is_incomplete && (is_even || all_live) || empties_host {
                return Some(MemberChange::Promote(ready.id));
            }
            if let Some(lost) = lost {
                return Some(MemberChange::Remove(lost.id));
            }
        }
        // One voter less lowers the quorum of an even number of voters.
        if let Some(lost) = lost.filter(|_| is_incomplete && is_even) {
            return Some(MemberChange::Remove(lost.id));
        }
        let learners = with_role(MemberRole::Learner).count();
        let needed =
            is_incomplete || lost.is_some() || with_role(MemberRole::Voter).any(|m| is_leaving(&m));
        let is_returning = |a: &&ProbeAnswer| disk_lost.is_some_and(|e| e.host == a.host);
        let new = answers.iter().filter(|a| {
            membership.get(a.id).is_none()
                && !membership.is_retired(a.id)
                && !leaving.contains(&a.host)
        });
        let new = new
            .min_by_key(|a| !is_returning(a))
            .filter(|a| needed && (learners == 0 || is_returning(a)))?;
        let member = Member { id: new.id, host: new.host.clone(), role: MemberRole::Learner };
        Some(MemberChange::AddLearner(member))
    }
}

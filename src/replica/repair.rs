//! Replaces the replica of a host that lost its disk, one committed membership change at a time.
//!
//! The host returns with a new replica id. The new replica is added as a learner. Once its synced
//! log has reached the commit index, the lost replica is removed and the new one is promoted.
//! Promoting first would give four voters, one of them dead, so that a quorum would need all three
//! live ones. Every step follows from the committed membership, so a new leader continues where the
//! previous one stopped.

use crate::replica::Member;
use crate::replica::MemberChange;
use crate::replica::MemberRole;
use crate::replica::Membership;
use crate::replica::Replica;
use crate::replica::Role;
use crate::replica::formation::ProbeAnswer;
use derive_more::Display;
use std::sync::Arc;

/// What the caller of a replica does next about its membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do: this replica does not lead, or redundancy is complete.
    Idle,
    /// Redundancy is incomplete, but no change is possible yet; check again later.
    Wait(RepairBlocker),
    /// Feed [`crate::replica::Input::ChangeMembership`] with this change.
    Change(MemberChange),
    /// A repair is complete. Returned once per repair.
    Complete,
}

/// Reason why a repair has to wait.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RepairBlocker {
    /// The last membership change is not committed.
    #[display("the last membership change is not committed")]
    ChangePending,
    /// The learner on a host has not reached the commit index.
    #[display("the replica on {_0} catches up")]
    CatchingUp(Arc<str>),
    /// A listed host does not answer and its voter is not live.
    #[display("no answer from {_0}")]
    NoAnswer(Arc<str>),
    /// A host is back with the data folder of a removed replica, for example from a backup. It
    /// takes part again only with an empty data folder.
    #[display("the replica on {_0} was removed earlier; its data folder must be emptied")]
    Retired(Arc<str>),
}

/// Repair of one group. Every host keeps one; only the leader's decides on changes.
#[derive(Debug, Default)]
pub struct Repair {
    /// Whether redundancy was found incomplete since it was last reported complete.
    active: bool,
}

impl Repair {
    /// Decides on the next step from recent probe answers of the listed hosts.
    pub fn step(&mut self, replica: &Replica, hosts: &[Arc<str>], answers: &[ProbeAnswer]) -> Step {
        if replica.role() != Role::Leader {
            self.active = false;
            return Step::Idle;
        }
        if !replica.is_settled() {
            return Step::Wait(RepairBlocker::ChangePending);
        }
        let view = View { replica, membership: replica.membership(), hosts, answers };
        let Some(step) = view.next_step() else {
            return match std::mem::take(&mut self.active) {
                true => Step::Complete,
                false => Step::Idle,
            };
        };
        // A host that does not answer is not a repair yet: it may return with its disk.
        if !matches!(step, Step::Wait(RepairBlocker::NoAnswer(_))) {
            self.active = true;
        }
        step
    }
}

/// Membership and probe answers from which one step is decided.
struct View<'a> {
    replica: &'a Replica,
    membership: &'a Membership,
    hosts: &'a [Arc<str>],
    answers: &'a [ProbeAnswer],
}

impl View<'_> {
    fn next_step(&self) -> Option<Step> {
        let learners = || self.membership.members.iter().filter(|m| m.role == MemberRole::Learner);
        let lost = learners().find(|m| self.answer(&m.host).is_some_and(|a| a.id != m.id));
        if let Some(lost) = lost {
            return Some(Step::Change(MemberChange::Remove(lost.id)));
        }
        if let Some(ready) = learners().find(|m| self.replica.has_caught_up(m.id)) {
            return Some(Step::Change(self.replacement_change(ready)));
        }
        let behind = learners().map(|m| Step::Wait(RepairBlocker::CatchingUp(m.host.clone())));
        let steps: Vec<Step> =
            behind.chain(self.hosts.iter().filter_map(|h| self.host_step(h))).collect();
        // A host that can be repaired does not wait for one that cannot.
        let change = steps.iter().find(|s| matches!(s, Step::Change(_)));
        change.or(steps.first()).cloned()
    }

    fn answer(&self, host: &str) -> Option<&ProbeAnswer> {
        self.answers.iter().find(|a| &*a.host == host)
    }

    /// Next change for a learner that has caught up: removes the lost replica of the same host,
    /// then promotes the learner.
    fn replacement_change(&self, learner: &Member) -> MemberChange {
        let lost =
            self.membership.members.iter().find(|m| m.host == learner.host && m.id != learner.id);
        match lost {
            Some(lost) => MemberChange::Remove(lost.id),
            None => MemberChange::Promote(learner.id),
        }
    }

    /// Step for a listed host whose replica is not a member or which does not answer.
    fn host_step(&self, host: &Arc<str>) -> Option<Step> {
        let Some(answer) = self.answer(host) else {
            let live = self.replica.live_voters();
            let is_live =
                self.membership.members.iter().any(|m| m.host == *host && live.contains(&m.id));
            return (!is_live).then(|| Step::Wait(RepairBlocker::NoAnswer(host.clone())));
        };
        if self.membership.get(answer.id).is_some() {
            return None;
        }
        if self.membership.is_retired(answer.id) {
            return Some(Step::Wait(RepairBlocker::Retired(host.clone())));
        }
        let member = Member { id: answer.id, host: host.clone(), role: MemberRole::Learner };
        Some(Step::Change(MemberChange::AddLearner(member)))
    }
}

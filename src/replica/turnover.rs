//! Keeps a group at its size while hosts come and go, one committed step at a time.
//!
//! Unlike [`crate::replica::repair`], which replaces the replica of a listed host, any host that
//! probes the members may take the place of a lost one. It becomes a learner only once a place is
//! free or about to be, since every learner costs a copy of the log. A voter that can be reached
//! is removed only if its host is to be emptied.

use crate::replica::Member;
use crate::replica::MemberChange;
use crate::replica::MemberRole;
use crate::replica::Replica;
use crate::replica::Role;
use crate::replica::formation::Answer;
use crate::replica::repair::Cause;
use crate::replica::repair::Step;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Silence after which a voter is replaced by a learner that has caught up. Longer than a stop
/// and start of a process, which keeps its disk; shorter than the time after which a second loss
/// has to be borne.
const LOST: Duration = Duration::from_millis(1_500);
/// Silence after which a learner is dropped. It is added again when it probes the members.
const DROPPED: Duration = Duration::from_secs(6);

/// Turnover of one group, kept on every host and effective on the leader.
#[derive(Debug)]
pub struct Turnover {
    /// Voters that the group should have.
    size: usize,
    /// When each silent member was first found silent.
    silent: sorted::SortedMap<u64, Duration>,
}

impl Turnover {
    /// Turnover of a group of `size` voters.
    pub fn new(size: usize) -> Turnover {
        Turnover { size, silent: sorted::SortedMap::new() }
    }

    /// Decides from recent probes of hosts. `leaving` names hosts that are to be emptied.
    pub fn step(
        &mut self,
        now: Duration,
        replica: &Replica,
        answers: &[Answer],
        leaving: &[Arc<str>],
    ) -> Step {
        if replica.role() != Role::Leader {
            self.silent.clear();
            return Step::Idle;
        }
        self.listen(now, replica);
        if !replica.settled() {
            return Step::Wait(Cause::Pending);
        }
        let next = self.next(now, replica, answers, leaving);
        next.map_or(Step::Idle, Step::Change)
    }

    fn listen(&mut self, now: Duration, replica: &Replica) {
        let members = &replica.members().members;
        let silent = |id: u64| !replica.is_live(id);
        self.silent.retain(|id, _| members.iter().any(|m| m.id == *id) && silent(*id));
        for member in members.iter().filter(|m| silent(m.id)) {
            self.silent.entry_or(member.id, || now);
        }
    }

    fn silent_for(&self, now: Duration, id: u64, limit: Duration) -> bool {
        self.silent.get(&id).is_some_and(|since| now.saturating_sub(*since) >= limit)
    }

    fn next(
        &self,
        now: Duration,
        replica: &Replica,
        answers: &[Answer],
        leaving: &[Arc<str>],
    ) -> Option<MemberChange> {
        let members = replica.members();
        let of = |role| members.members.iter().filter(move |m: &&Member| m.role == role);
        let moved = |m: &&Member| answers.iter().any(|a| a.host == m.host && a.id != m.id);
        let left = |m: &&Member| leaving.contains(&m.host);
        let gone = of(MemberRole::Learner)
            .find(|m| moved(m) || left(m) || self.silent_for(now, m.id, DROPPED));
        if let Some(gone) = gone {
            return Some(MemberChange::Remove(gone.id));
        }
        let voters = of(MemberRole::Voter).count();
        let lost = of(MemberRole::Voter).find(|m| self.silent_for(now, m.id, LOST));
        // A voter whose host has come back with an empty disk will never answer again.
        let emptied = of(MemberRole::Voter).find(|m| !replica.is_live(m.id) && moved(m));
        if voters > self.size
            && let Some(surplus) = lost.or_else(|| of(MemberRole::Voter).find(left))
        {
            return Some(MemberChange::Remove(surplus.id));
        }
        let ready = of(MemberRole::Learner)
            .filter(|m| replica.is_live(m.id) && replica.caught_up(m.id))
            // The host that lost its disk takes its own place before another one does.
            .min_by_key(|m| emptied.is_none_or(|e| e.host != m.host));
        if let Some(ready) = ready {
            if voters < self.size || of(MemberRole::Voter).any(|m| left(&m)) {
                return Some(MemberChange::Promote(ready.id));
            }
            if let Some(lost) = emptied.or(lost) {
                return Some(MemberChange::Remove(lost.id));
            }
        }
        let learners = of(MemberRole::Learner).count();
        let needed = voters < self.size
            || emptied.is_some()
            || lost.is_some()
            || of(MemberRole::Voter).any(|m| left(&m));
        let own = |a: &&Answer| emptied.is_some_and(|e| e.host == a.host);
        let new = answers.iter().filter(|a| {
            members.get(a.id).is_none() && !members.is_retired(a.id) && !leaving.contains(&a.host)
        });
        let new = new.min_by_key(|a| !own(a)).filter(|a| needed && (learners == 0 || own(a)))?;
        let member = Member { id: new.id, host: new.host.clone(), role: MemberRole::Learner };
        Some(MemberChange::AddLearner(member))
    }
}

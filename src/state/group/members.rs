//! Forms a group and replaces its members, based on probes between the hosts.

use crate::event;
use crate::events;
use crate::replica;
use crate::state::group::Group;
use crate::state::group::Pending;
use crate::state::group::ProbeRecord;
use crate::state::service;
use crate::wire;
use std::sync::Arc;
use std::time::Duration;

/// A host's answer to a probe is used for this long. A host without a complete replica sends and
/// answers probes twice a second.
const PROBE_TTL: Duration = Duration::from_secs(3);

impl Group {
    pub(super) fn host_of(&self, id: u64) -> Option<Arc<str>> {
        let member = self.replica.membership().get(id).map(|m| m.host.clone());
        // A blank replica has no membership yet and knows the others only from probes.
        let probed = || self.probes.values().find(|p| p.answer.id == id);
        member.or_else(|| probed().map(|p| p.answer.host.clone()))
    }

    pub(super) fn handle_probe(
        &mut self,
        host: &Arc<str>,
        id: u64,
        blank: bool,
        done: service::ReplySender,
    ) {
        let answer = replica::formation::ProbeAnswer { host: host.clone(), id, blank };
        self.record_probes(vec![answer]);
        let reply = wire::Reply::Replica {
            id: self.parts.id,
            blank: self.replica.is_blank(),
            leads: self.is_leader(),
            retired: self.replica.is_removed(id),
            members: self.member_hosts(|_| true),
        };
        service::answer(done, reply);
    }

    /// Hosts of the members for which `is_wanted` holds.
    fn member_hosts(&self, is_wanted: impl Fn(&replica::Member) -> bool) -> Vec<Arc<str>> {
        let members = self.replica.membership().members.iter();
        members.filter(|m| is_wanted(m)).map(|m| m.host.clone()).collect()
    }

    /// Hosts of the members that this replica does not hear from; none unless it leads.
    pub(super) fn silent_members(&self) -> Vec<Arc<str>> {
        match self.is_leader() {
            true => self.member_hosts(|m| !self.replica.is_live(m.id)),
            false => Vec::new(),
        }
    }

    pub(super) fn record_probes(&mut self, answers: Vec<replica::formation::ProbeAnswer>) {
        let received = self.now();
        for answer in answers {
            self.probes.insert(answer.host.clone(), ProbeRecord { answer, received });
        }
    }

    /// Returns the latest probe answer of each host that is still valid, and one for this host.
    pub(super) fn probe_answers(&self) -> Vec<replica::formation::ProbeAnswer> {
        let now = self.now();
        let recent = |p: &&ProbeRecord| now.saturating_sub(p.received) <= PROBE_TTL;
        let others = self.probes.values().filter(recent).map(|p| p.answer.clone());
        let own = replica::formation::ProbeAnswer {
            host: self.parts.host.clone(),
            id: self.parts.id,
            blank: self.replica.is_blank(),
        };
        others.chain([own]).collect()
    }

    /// Records probe answers. Forms the group if this replica is blank and the answers allow it.
    pub(super) fn decide_formation(&mut self, answers: Vec<replica::formation::ProbeAnswer>) {
        self.record_probes(answers);
        if !self.replica.is_blank() {
            return;
        }
        if !self.parts.may_form {
            return;
        }
        let answers = self.probe_answers();
        let decision = replica::formation::decide(&self.parts.host, &self.parts.hosts, &answers);
        if let replica::formation::Decision::Form(membership) = decision {
            self.form_group(membership);
        }
    }

    /// Forms the group unless this replica has data or is not among the voters.
    pub(super) fn form_group(&mut self, membership: replica::Membership) {
        if !self.replica.is_blank() || !membership.is_voter(self.parts.id) {
            return;
        }
        if *self.replica.membership() != membership {
            event!(self.parts.log, events::GROUP_FORMED; "group" => self.parts.group,
                "members" => membership.members.len());
        }
        self.step(replica::Input::Form(membership));
    }

    /// Tells the replica, if it leads, of the members to which messages may have been lost.
    pub(super) fn report_losses(&mut self) {
        if !self.is_leader() {
            return;
        }
        let members: Vec<u64> = self.replica.membership().members.iter().map(|m| m.id).collect();
        self.losses.retain(|id, _| members.binary_search(id).is_ok());
        for member in members {
            let host = self.host_of(member);
            let Some(last) = host.and_then(|host| self.parts.outbox.losses(&host)) else {
                continue;
            };
            // The first number is that of a connection on which nothing is lost yet.
            if self.losses.insert(member, last).is_some_and(|before| before != last) {
                self.step(replica::Input::ConnectionLost { member });
            }
        }
    }

    /// Logs when the group lacks voters, and when it has as many as it needs again.
    pub(super) fn log_missing_voters(&mut self) {
        let Some(needed) = self.parts.target_voters else { return };
        let voters = self.replica.membership().voters().count();
        let missing = needed.saturating_sub(voters);
        if missing == std::mem::replace(&mut self.missing_voters, missing) {
            return;
        }
        let event = if missing > 0 { events::TOO_FEW_VOTERS } else { events::REPAIR_COMPLETE };
        event!(self.parts.log, event; "group" => self.parts.group, "voters" => voters,
            "needed" => needed);
    }

    /// Proposes the next step of replacing a replica, for example of a host that lost its disk.
    /// Membership changes are committed one at a time.
    pub(super) fn repair_members(&mut self) {
        let answers = self.probe_answers();
        let step = match &mut self.turnover {
            Some(turnover) => {
                let now = self.parts.timer.now();
                turnover.step(now, &self.replica, &answers, &self.parts.service.leaving_hosts())
            }
            None => self.repair.step(&self.replica, &self.parts.hosts, &answers),
        };
        match step {
            replica::repair::Step::Change(change) => {
                event!(self.parts.log, events::MEMBERS_CHANGED; "group" => self.parts.group,
                    "change" => ?change);
                let token = self.add_pending(Pending::Internal);
                self.step(replica::Input::ChangeMembership { token, change });
            }
            replica::repair::Step::Complete => {
                event!(self.parts.log, events::REPAIR_COMPLETE; "group" => self.parts.group);
            }
            replica::repair::Step::Idle | replica::repair::Step::Wait(_) => {}
        }
    }
}

//! Decides whether a host waits, forms a new group or joins an existing one.
//!
//! A group is formed only when every listed host answers and is blank. The loss of most disks
//! therefore stops a group visibly instead of replacing it by an empty one. Only the host whose
//! name sorts first forms the group; the others receive the membership with the log. A blank
//! replica may vote, because its id is part of the membership that the first host collected.

use crate::replica::Membership;
use derive_more::Display;
use std::sync::Arc;

/// Answer of a host to a probe, which describes its replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeAnswer {
    /// Name of the host.
    pub host: Arc<str>,
    /// Replica id in its data folder.
    pub id: u64,
    /// Whether its log holds no entry and no snapshot.
    pub blank: bool,
}

/// What a host does next to become a member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The replica has data and continues with it.
    Resume,
    /// Another host has data: wait until the leader adds this replica as a learner.
    Join,
    /// Form the group: feed [`crate::replica::Input::Form`] with this membership.
    Form(Membership),
    /// The group cannot be formed yet; probe again later.
    Wait(FormationBlocker),
}

/// Reason why this host does not form the group yet.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FormationBlocker {
    /// The settings do not list this host.
    #[display("this host is not listed")]
    NotListed,
    /// A listed host did not answer.
    #[display("no answer from {_0}")]
    NoAnswer(Arc<str>),
    /// Two hosts have the same replica id: they use copies of one data folder.
    #[display("{_0} and {_1} have the same replica id")]
    DuplicateId(Arc<str>, Arc<str>),
    /// The group is formed by another host.
    #[display("{_0} forms the group")]
    FormedBy(Arc<str>),
}

/// Decides for the host `own` from the answers of the listed hosts, including its own.
///
/// The answers must be newer than the opening of this host's data folder. An older answer may
/// predate a group that this host formed under a replica id that it has lost since.
pub fn decide(own: &str, hosts: &[Arc<str>], answers: &[ProbeAnswer]) -> Decision {
    let find = |host: &str| answers.iter().find(|a| &*a.host == host);
    let Some(first) = hosts.iter().min().filter(|_| hosts.iter().any(|h| &**h == own)) else {
        return Decision::Wait(FormationBlocker::NotListed);
    };
    if find(own).is_some_and(|a| !a.blank) {
        return Decision::Resume;
    }
    if answers.iter().any(|a| !a.blank && hosts.contains(&a.host)) {
        return Decision::Join;
    }
    if let Some(missing) = hosts.iter().find(|h| find(h).is_none()) {
        return Decision::Wait(FormationBlocker::NoAnswer(missing.clone()));
    }
    let listed: Vec<&ProbeAnswer> = hosts.iter().filter_map(|h| find(h)).collect();
    if let Some((a, b)) = find_duplicate_id(&listed) {
        return Decision::Wait(FormationBlocker::DuplicateId(a, b));
    }
    if &**first != own {
        return Decision::Wait(FormationBlocker::FormedBy(first.clone()));
    }
    Decision::Form(Membership::from_voters(listed.iter().map(|a| (a.id, a.host.clone()))))
}

fn find_duplicate_id(answers: &[&ProbeAnswer]) -> Option<(Arc<str>, Arc<str>)> {
    let mut sorted = answers.to_vec();
    sorted.sort_by_key(|a| a.id);
    let pair =
        sorted.windows(2).find(|pair| pair[0].id == pair[1].id && pair[0].host != pair[1].host);
    pair.map(|pair| (pair[0].host.clone(), pair[1].host.clone()))
}

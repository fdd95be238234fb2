//! Tests of single replicas and single decisions that the scripted scenarios and the random faults
//! do not reach.

mod network;

use basilfield::replica;
use basilfield::replica::Input;
use basilfield::replica::MemberChange;
use basilfield::replica::Output;
use basilfield::replica::formation;
use basilfield::replica::formation::Decision;
use basilfield::replica::formation::FormationBlocker;
use network::Network;
use std::time::Duration;

/// Guards against a group of one member that waits for other members.
#[test]
fn one_member_commits_alone() {
    let mut net = Network::new(1, 1);
    net.form();
    net.commit("a");
    net.kill(0, 0);
    net.start(0);
    net.commit("b");
    net.check_converged();
    assert_eq!(net.hosts[0].recorder.commands.len(), 2);
}

/// Guards against a group that is formed without some host, twice, or over existing data.
#[test]
fn formation_needs_every_host_blank() {
    let hosts: Vec<std::sync::Arc<str>> = vec!["b".into(), "a".into(), "c".into()];
    let answer = |host: &str, id, blank| formation::ProbeAnswer { host: host.into(), id, blank };
    let blank = [answer("a", 1, true), answer("b", 2, true), answer("c", 3, true)];
    let members = replica::Membership::from_voters(blank.iter().map(|a| (a.id, a.host.clone())));
    let decide =
        |own: &str, answers: &[formation::ProbeAnswer]| formation::decide(own, &hosts, answers);
    assert_eq!(decide("a", &blank), Decision::Form(members));
    assert_eq!(decide("b", &blank), Decision::Wait(FormationBlocker::FormedBy("a".into())));
    assert_eq!(decide("a", &blank[..2]), Decision::Wait(FormationBlocker::NoAnswer("c".into())));
    assert_eq!(decide("d", &blank), Decision::Wait(FormationBlocker::NotListed));
    let copied = [answer("a", 1, true), answer("b", 2, true), answer("c", 1, true)];
    assert_eq!(
        decide("a", &copied),
        Decision::Wait(FormationBlocker::DuplicateId("a".into(), "c".into()))
    );
    let data = [answer("a", 1, true), answer("c", 3, false)];
    assert_eq!(decide("a", &data), Decision::Join);
    assert_eq!(decide("c", &data), Decision::Resume);
}

/// Guards against a repair that stops halfway, and against a removed replica that takes part again
/// when its host returns with the old disk.
#[test]
fn lost_disk_is_repaired() {
    let mut net = Network::new(3, 1);
    net.managed = true;
    net.await_leader();
    for n in 0..20 {
        net.commit(format!("{n}"));
    }
    let leader = net.await_leader();
    let lost = (leader + 1) % 3;
    let (old, disk) = (net.hosts[lost].id, net.hosts[lost].disk.clone());
    net.kill(lost, 0);
    net.wipe(lost);
    net.start(lost);
    net.run(100);
    assert_eq!(net.repaired, 1);
    let members = net.hosts[leader]
        .replica
        .as_ref()
        .map(|r| r.membership().clone())
        .expect("the replica runs");
    assert_eq!(members.voters().count(), 3);
    assert!(members.is_retired(old) && members.is_voter(net.hosts[lost].id));
    net.check_converged();
    net.kill(lost, 0);
    (net.hosts[lost].id, net.hosts[lost].disk) = (old, disk);
    net.start(lost);
    net.run(300);
    let leader = net.await_leader();
    let body = replica::Message::PreVote { last_index: 1000, last_term: 1000 };
    let to = net.hosts[leader].id;
    let envelope = replica::Envelope { group: 1, from: old, to, term: 1001, body };
    let running = net.hosts[leader].replica.as_mut().expect("the replica runs");
    assert_eq!(running.step(net.now, Input::Message(envelope)), [], "a removed replica is ignored");
    let again = replica::Member { id: old, host: "x".into(), role: replica::MemberRole::Learner };
    let refused = net.change(leader, MemberChange::AddLearner(again));
    net.run(1);
    let reason = replica::Refusal::Change(replica::ChangeRefusal::Retired);
    assert_eq!(net.requests.refused.get(&refused), Some(&reason));
}

/// Guards against a commit before the entry is synced. In a group of one member, no answer of
/// another member delays it.
#[test]
fn one_member_waits_for_its_own_sync() {
    let mut net = Network::new(1, 1);
    net.form();
    let replica = net.hosts[0].replica.as_mut().expect("the replica runs");
    let synced = replica.last_index() + 1;
    for token in 1..=2 {
        let outputs = replica.step(net.now, Input::Propose { token, command: "a".into() });
        assert!(!outputs.iter().any(|o| matches!(o, Output::Apply(_))), "{outputs:?}");
    }
    let outputs = replica.step(net.now, Input::Synced { index: synced });
    assert!(outputs.iter().any(|o| matches!(o, Output::Apply(_))), "{outputs:?}");
    assert_eq!((replica.commit_index(), replica.last_index()), (synced, synced + 1));
}

/// Guards against the commit of an entry of an earlier term by counting its copies: a replica
/// with a later term can still replace it (figure 8 of the Raft paper).
#[test]
fn copies_of_an_earlier_term_are_not_committed() {
    let mut net = Network::new(3, 1);
    let first = net.form();
    net.run(20);
    // The first leader appends an entry that fills a whole message, and sends it to nobody.
    net.isolate(first, true);
    net.propose(first, vec![1; 2 << 20]);
    net.flush(first);
    let large = net.hosts[first].disk.entries.clone();
    net.kill(first, 0);
    // A second leader is elected, and its first entry reaches nobody.
    let second = loop {
        net.tick();
        if let Some(at) = net.leader() {
            break at;
        }
    };
    net.isolate(second, true);
    net.tick();
    net.kill(second, 0);
    // The first leader copies its entry to the third host, and is lost before it sends more.
    let third = 3 - first - second;
    net.isolate(first, false);
    net.isolate(second, false);
    net.start(first);
    while net.hosts[third].disk.entries != large {
        net.tick();
    }
    net.run(1);
    net.kill(first, 0);
    net.isolate(first, true);
    // The second leader holds the later term and replaces the entry.
    net.start(second);
    assert_eq!(net.await_leader(), second);
    net.isolate(first, false);
    net.start(first);
    net.run(100);
    net.check_converged();
    assert!(net.hosts[first].recorder.commands.is_empty());
}

/// Guards against repeated `Form` inputs that restart the election each time.
#[test]
fn repeated_form_does_not_restart_election() {
    let net = &mut Network::new(3, 1);
    let (now, members) = (net.now, net.membership());
    let replica = net.hosts[0].replica.as_mut().expect("the replica runs");
    assert!(!replica.step(now, Input::Form(members.clone())).is_empty());
    assert!(replica.step(now, Input::Form(members)).is_empty());
}

/// Guards against a second election in a group that is being formed, when a host starts to form it
/// after it voted for another one.
#[test]
fn late_form_does_not_depose_new_leader() {
    let mut deposed = Vec::new();
    for (seed, delay, late) in (1..=5).flat_map(|seed| {
        (1..=4).flat_map(move |delay| (0..=12).map(move |late| (seed, delay, late)))
    }) {
        let mut net = Network::new(3, seed);
        net.faults.delay = delay;
        let members = net.membership();
        net.input(0, Input::Form(members.clone()));
        net.flush(0);
        net.run(late);
        net.input(1, Input::Form(members));
        net.flush(1);
        net.run(100);
        let terms = net.leader_ids.len();
        if terms != 1 {
            deposed.push((seed, delay, late, terms));
        }
    }
    assert_eq!(deposed, []);
}

/// Guards against a host that forms a group whose leader it hears from, while the first entry has not
/// arrived: the others may grant it their votes and depose the leader.
#[test]
fn late_entry_does_not_depose_new_leader() {
    let second = Duration::from_secs(1);
    let config = replica::Config {
        group: 1,
        id: 1,
        heartbeat_interval: second / 10,
        election_timeout: second,
        seed: 1,
    };
    let voters = [(1, "a".into()), (2, "b".into()), (3, "c".into())];
    let members = replica::Membership::from_voters(voters);
    let restored = replica::PersistentState::default();
    let mut follower = replica::Replica::new(config, restored, Duration::ZERO);
    let message =
        |body| Input::Message(replica::Envelope { group: 1, from: 2, to: 1, term: 1, body });
    follower.step(Duration::ZERO, message(replica::Message::Vote { last_index: 0, last_term: 0 }));
    let mut outputs = Vec::new();
    for n in 1..=30 {
        let now = second / 10 * n;
        follower.step(now, message(replica::Message::Heartbeat { commit: 0, round: u64::from(n) }));
        outputs.extend(follower.step(now, Input::Form(members.clone())));
        outputs.extend(follower.step(now, Input::Tick));
    }
    outputs.retain(|output| matches!(output, Output::Send(_)));
    assert_eq!(outputs, []);
}

/// Guards against a new leader that does not count the uncommitted entries of earlier leaders
/// towards its limit.
#[test]
fn uncommitted_entries_of_earlier_leaders_count() {
    let members = replica::Membership::from_voters([(1, "a".into())]);
    let command = replica::Payload::Command(vec![0; replica::MAX_COMMAND_BYTES].into());
    let payloads = [replica::Payload::Membership(members)].into_iter();
    let payloads = payloads.chain(std::iter::repeat_n(command, 8));
    let entry = |(at, payload)| replica::Entry { index: at as u64 + 1, term: 1, payload };
    let entries = payloads.enumerate().map(entry).collect();
    let hard_state = replica::HardState { term: 1, vote: None, commit: 0 };
    let restored = replica::PersistentState { hard_state, snapshot: None, entries };
    let second = Duration::from_secs(1);
    let config = replica::Config {
        group: 1,
        id: 1,
        heartbeat_interval: second,
        election_timeout: second,
        seed: 1,
    };
    let mut replica = replica::Replica::new(config, restored, Duration::ZERO);
    replica.step(second * 3, Input::Tick);
    assert_eq!(replica.role(), replica::Role::Leader);
    let propose = || Input::Propose { token: 1, command: "a".into() };
    let busy = Output::Refused { token: 1, reason: replica::Refusal::Busy };
    assert!(replica.step(second * 3, propose()).contains(&busy));
    replica.step(second * 3, Input::Synced { index: replica.last_index() });
    assert!(!replica.step(second * 3, propose()).contains(&busy));
}

/// Guards against a snapshot of several chunks that is assembled wrongly when chunks are lost,
/// duplicated or reordered. The network compares the restored state machine with the history.
#[test]
fn chunks_survive_a_bad_network() {
    let mut net = Network::new(3, 1);
    net.compaction = 1000;
    let leader = net.form();
    let behind = (leader + 1) % 3;
    net.kill(behind, 0);
    for n in 0..6000u32 {
        net.propose(leader, n.to_le_bytes().repeat(100));
        if n % 500 == 0 {
            net.tick();
        }
    }
    net.run(100);
    net.faults = network::Faults { loss: 15, duplicate: 25, delay: 4 };
    net.start(behind);
    net.run(500);
    assert_eq!(net.installed, 1);
    net.faults = network::Faults { loss: 0, duplicate: 0, delay: 1 };
    net.run(100);
    net.check_converged();
}

/// Guards against membership changes that risk the quorum or the log.
#[test]
fn unsafe_changes_are_refused() {
    use replica::ChangeRefusal;
    let mut net = Network::new(3, 1);
    let leader = net.form();
    let own = net.hosts[leader].id;
    let others: Vec<u64> = net.hosts.iter().map(|h| h.id).filter(|id| *id != own).collect();
    let new = |id| replica::Member { id, host: "new".into(), role: replica::MemberRole::Voter };
    let mut refused = |changes: &[MemberChange]| {
        let tokens: Vec<u64> = changes.iter().map(|c| net.change(leader, c.clone())).collect();
        net.run(100);
        let last = tokens.last().and_then(|token| net.requests.refused.get(token));
        last.cloned()
    };
    let expect = |reason| Some(replica::Refusal::Change(reason));
    let add = MemberChange::AddLearner(new(9));
    assert_eq!(refused(&[MemberChange::Remove(8)]), expect(ChangeRefusal::NotMember));
    assert_eq!(refused(&[MemberChange::Promote(own)]), expect(ChangeRefusal::AlreadyMember));
    // The second change has to wait for the first one.
    let both = [add.clone(), MemberChange::Remove(others[0])];
    assert_eq!(refused(&both), expect(ChangeRefusal::ChangePending));
    assert_eq!(refused(&[add]), expect(ChangeRefusal::AlreadyMember));
    // The learner has never answered.
    assert_eq!(refused(&[MemberChange::Promote(9)]), expect(ChangeRefusal::NotCaughtUp));
    net.kill(net.hosts.iter().position(|h| h.id == others[0]).expect("host of the replica id"), 0);
    net.run(100);
    let token = net.change(leader, MemberChange::Remove(others[1]));
    net.run(1);
    assert_eq!(net.requests.refused.get(&token).copied(), expect(ChangeRefusal::QuorumLoss));
}

/// Guards against a replica that empties its folder because a member tells it of a removal which is not
/// committed and may be rolled back.
#[test]
fn uncommitted_removal_counts_as_removal() {
    let all = replica::Membership::from_voters(
        (1..=3).map(|id| (id, std::sync::Arc::from(format!("h{id}")))),
    );
    let without = all.with_change(&MemberChange::Remove(3)).expect("a member");
    let entry = |index, membership| replica::Entry {
        index,
        term: 1,
        payload: replica::Payload::Membership(membership),
    };
    let is_removed = |commit| {
        let hard_state = replica::HardState { term: 1, vote: None, commit };
        let entries = vec![entry(1, all.clone()), entry(2, without.clone())];
        let restored = replica::PersistentState { hard_state, snapshot: None, entries };
        let config = replica::Config {
            group: 1,
            id: 1,
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            seed: 1,
        };
        replica::Replica::new(config, restored, Duration::ZERO).is_removed(3)
    };
    insta::assert_snapshot!(format!("{} {}", is_removed(1), is_removed(2)), @"false true");
}

/// Guards against a member that lags for seconds after its disk has space again: it has answered
/// heartbeats meanwhile, and the leader has repeated entries at growing pauses.
#[test]
fn member_lags_after_its_disk_was_full() {
    let membership = replica::Membership::from_voters(
        (1..=3).map(|id| (id, std::sync::Arc::from(format!("h{id}")))),
    );
    let entry =
        replica::Entry { index: 1, term: 1, payload: replica::Payload::Membership(membership) };
    let hard_state = replica::HardState { term: 1, vote: None, commit: 1 };
    let restored = replica::PersistentState { hard_state, snapshot: None, entries: vec![entry] };
    let config = replica::Config {
        group: 1,
        id: 1,
        heartbeat_interval: Duration::from_millis(50),
        election_timeout: Duration::from_millis(300),
        seed: 1,
    };
    let mut leader = replica::Replica::new(config, restored, Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut resent = None;
    let mut freed = None;
    while now < Duration::from_secs(12) && resent.is_none() {
        now += Duration::from_millis(10);
        let mut inputs = vec![Input::Tick];
        if now == Duration::from_secs(2) {
            inputs.push(Input::Propose { token: 1, command: vec![0; 10].into() });
        }
        while let Some(input) = inputs.pop() {
            for output in leader.step(now, input) {
                let Output::Send(sent) = output else {
                    if matches!(output, Output::Persist { .. }) {
                        inputs.push(Input::Synced { index: leader.last_index() });
                    }
                    continue;
                };
                // The disk of the second member is full from 2 s to 8 s; the third one is lost.
                let is_full = (2..8).contains(&now.as_secs());
                let matched = if is_full { 0 } else { 2 };
                let answer = match sent.body {
                    replica::Message::PreVote { .. } => {
                        replica::Message::PreVoteReply { granted: true }
                    }
                    replica::Message::Vote { .. } => replica::Message::VoteReply { granted: true },
                    replica::Message::Heartbeat { round, .. } => {
                        if now >= Duration::from_secs(8) {
                            freed.get_or_insert(now);
                        }
                        replica::Message::HeartbeatReply { round, matched }
                    }
                    replica::Message::Append { .. } if is_full => continue,
                    replica::Message::Append { .. } if now >= Duration::from_secs(8) => {
                        resent = (sent.to == 2).then_some(now);
                        continue;
                    }
                    replica::Message::Append { prev, ref entries, .. } => {
                        replica::Message::Appended { matched: prev + entries.len() as u64 }
                    }
                    _ => continue,
                };
                if sent.to == 2 {
                    let envelope = replica::Envelope {
                        group: 1,
                        from: 2,
                        to: 1,
                        term: sent.term,
                        body: answer,
                    };
                    inputs.push(Input::Message(envelope));
                }
            }
        }
    }
    let pause = resent.zip(freed).map(|(resent, freed)| resent.saturating_sub(freed));
    assert!(pause.is_some_and(|p| p <= Duration::from_millis(50)), "{pause:?}");
}

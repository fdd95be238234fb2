//! Distribution of the configuration and the directory in a large fleet.

use basilfield::fleet::sync;
use basilfield::replica::formation;
use basilfield::replica::probing;
use std::sync::Arc;
use std::time::Duration;

const HOSTS: usize = 300;
const CONTROLS: usize = 5;

fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("{prefix}-{n}").into()).collect()
}

fn asked_host(fetch: &Option<sync::Fetch>) -> &str {
    fetch.as_ref().map_or("-", |fetch| &fetch.source)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a host whose link is full of outdated configurations while they come in quick
/// succession, so that the newest one takes effect seconds late.
#[test]
fn quick_changes_do_not_queue_configurations() {
    let controls = names("control", CONTROLS);
    let mut fetch = sync::ConfigFetch::default();
    let (mut known, mut arrivals, mut bytes_sent) = (0, Vec::new(), 0);
    /// Time that one configuration takes on the link of the host.
    const TRANSFER: u64 = 250;
    let mut arrives: Option<(u64, u64)> = None;
    let (mut announced, mut in_force_at) = (0, 0);
    for now in 0..4_000 {
        // 25 versions within 1.5 s, each announced by every control host.
        if now % 60 == 0 && announced < 25 {
            announced += 1;
            for control in &controls {
                let asked = fetch.record_available(ms(now), known, announced, control);
                if asked.is_some() && arrives.is_none() {
                    (arrives, bytes_sent) = (Some((now + TRANSFER, announced)), bytes_sent + 1);
                }
            }
        }
        if let Some((at, version)) = arrives
            && at == now
        {
            known = version;
            arrivals.push(version);
            arrives = fetch.record_arrival(ms(now), known).map(|_| (now + TRANSFER, announced));
            bytes_sent += u64::from(arrives.is_some());
            if known == 25 {
                in_force_at = now;
            }
        }
    }
    insta::assert_snapshot!(format!("{arrivals:?} {bytes_sent} in force at {in_force_at} ms"),
        @"[1, 5, 9, 13, 17, 21, 25] 7 in force at 1750 ms");
}

/// Guards against a configuration that never arrives because the control host that was asked is
/// gone.
#[test]
fn lost_configuration_is_fetched_elsewhere() {
    let controls = names("control", CONTROLS);
    let mut fetch = sync::ConfigFetch::default();
    let mut seen = Vec::new();
    for (now, control) in [(0, 0), (10, 1), (500, 2), (800, 1), (900, 2)] {
        seen.push(fetch.record_available(ms(now), 3, 4, &controls[control]));
    }
    seen.push(fetch.record_arrival(ms(1_000), 4));
    seen.push(fetch.record_available(ms(1_100), 4, 4, &controls[0]));
    let seen: Vec<&str> = seen.iter().map(asked_host).collect();
    insta::assert_snapshot!(seen.join(" "), @"control-0 - - control-1 - - -");
}

/// What a control host does for the host that fetches, after it has announced a new version.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    Answers,
    /// Falls silent after its first announcement.
    Silent,
    /// Repeats its announcements, and gets no request or loses its answers.
    NeverAnswers,
    /// Announces nothing.
    Gone,
}

/// Time until a version arrives that the first `informers` control hosts announce at once, in the
/// given order, and all of them `phase` ms later and every 500 ms after that, when the host announces
/// itself.
fn fetch_time(controls: &[(Arc<str>, Source)], informers: usize, phase: u64) -> u64 {
    const INTERVAL: u64 = 500;
    const CHECK_INTERVAL: u64 = 100;
    const TRANSFER: u64 = 50;
    let mut fetch = sync::ConfigFetch::default();
    let mut arrives = None;
    for now in 0..10_000 {
        let mut asked = Vec::new();
        let repeats = now > 0 && now % INTERVAL == phase;
        for (n, (control, source)) in controls.iter().enumerate() {
            let announces = match source {
                Source::Answers | Source::NeverAnswers => repeats,
                Source::Silent | Source::Gone => false,
            };
            if announces || (now == 0 && n < informers && *source != Source::Gone) {
                asked.extend(fetch.record_available(ms(now), 3, 4, control));
            }
        }
        if now % CHECK_INTERVAL == 0 {
            asked.extend(fetch.next_source(ms(now), 3));
        }
        let answers = |fetch: sync::Fetch| {
            controls.iter().any(|c| c.0 == fetch.source && c.1 == Source::Answers)
        };
        if arrives.is_none() && asked.into_iter().any(answers) {
            arrives = Some(now + TRANSFER);
        }
        if arrives == Some(now) {
            return now;
        }
    }
    u64::MAX
}

/// Guards against a configuration that is in force seconds after its acknowledgement because as many
/// control hosts as may be lost do not answer, each asked in turn or one of them again and again.
#[test]
fn control_hosts_that_do_not_answer_delay_a_configuration_little() {
    let names = names("control", CONTROLS);
    let slowest = |sources: [Source; CONTROLS]| {
        let controls: Vec<_> = names.iter().cloned().zip(sources).collect();
        (0..500).map(|phase| fetch_time(&controls, CONTROLS, phase)).max().unwrap_or_default()
    };
    use Source::{Answers, NeverAnswers, Silent};
    let seen = [
        slowest([Answers; CONTROLS]),
        slowest([Silent, Answers, Answers, Answers, Answers]),
        slowest([Silent, Silent, Answers, Answers, Answers]),
        slowest([NeverAnswers, Answers, Answers, Answers, Answers]),
        slowest([NeverAnswers, NeverAnswers, Answers, Answers, Answers]),
        slowest([Silent, NeverAnswers, Answers, Answers, Answers]),
    ];
    insta::assert_snapshot!(format!("{seen:?}"), @"[50, 750, 750, 750, 1450, 1450]");
}

/// Guards against a configuration that is in force too late at a host because the control hosts that
/// tell it of a new version at once are gone or do not answer.
#[test]
fn hosts_whose_informers_are_lost_get_a_configuration_in_time() {
    const INFORMERS: usize = 2;
    const MAX_DELAY: u64 = 2_000;
    let names = names("control", CONTROLS);
    use Source::{Answers, Gone, NeverAnswers, Silent};
    let sources = [Answers, Silent, NeverAnswers, Gone];
    let mut seen = Vec::new();
    for first in sources {
        for second in sources {
            let sources = [first, second, Answers, Answers, Answers];
            let controls: Vec<_> = names.iter().cloned().zip(sources).collect();
            let times = (0..500).map(|phase| fetch_time(&controls, INFORMERS, phase));
            seen.push(times.max().unwrap_or(u64::MAX));
        }
    }
    assert!(seen.iter().all(|time| *time <= MAX_DELAY), "{seen:?}");
    insta::assert_snapshot!(format!("{seen:?}"),
        @"[50, 50, 50, 50, 750, 750, 1450, 750, 750, 750, 1450, 750, 50, 750, 750, 550]");
}

/// Guards against a host that asks for a configuration again because the late answer of another
/// control host has arrived, while the newest version is under way.
#[test]
fn late_answers_are_not_asked_for_again() {
    let controls = names("control", CONTROLS);
    let mut fetch = sync::ConfigFetch::default();
    let seen = [
        fetch.record_available(ms(0), 3, 4, &controls[0]),
        fetch.record_available(ms(10), 3, 4, &controls[1]),
        fetch.next_source(ms(600), 3),
        fetch.next_source(ms(700), 3),
        // The answers of both arrive, and version 5 is announced in between.
        fetch.record_arrival(ms(800), 4),
        fetch.record_available(ms(820), 4, 5, &controls[2]),
        fetch.record_arrival(ms(830), 4),
        fetch.record_arrival(ms(900), 5),
        fetch.next_source(ms(9_000), 5),
    ];
    let seen: Vec<&str> = seen.iter().map(asked_host).collect();
    insta::assert_snapshot!(seen.join(" "), @"control-0 - - control-1 - control-2 - - -");
}

/// Guards against a host that asks for changes again and again to a document that it does not hold,
/// and against one that asks more often than an answer can arrive.
#[test]
fn undecodable_configuration_is_asked_for_whole_once() {
    let controls = names("control", CONTROLS);
    let mut fetch = sync::ConfigFetch::default();
    let seen = [
        fetch.record_available(ms(0), 3, 4, &controls[0]),
        fetch.record_available(ms(10), 3, 4, &controls[1]),
        // Each request waits a little after the one before.
        fetch.record_unusable(ms(20), 3),
        fetch.next_source(ms(100), 3),
        // A whole document that cannot be decoded either is asked for after the usual time.
        fetch.record_unusable(ms(250), 3),
        fetch.next_source(ms(700), 3),
        fetch.next_source(ms(800), 3),
        fetch.record_arrival(ms(900), 4),
        fetch.record_available(ms(1_000), 4, 5, &controls[2]),
    ];
    let whole = |fetch: &Option<sync::Fetch>| fetch.as_ref().is_some_and(|f| f.whole);
    let seen: Vec<_> = seen.iter().map(|s| (asked_host(s), whole(s))).collect();
    insta::assert_snapshot!(format!("{seen:?}"), @r#"[("control-0", false), ("-", false), ("-", false), ("control-1", true), ("-", false), ("-", false), ("control-0", true), ("-", false), ("control-2", false)]"#);
}

/// Guards against a directory that every control host sends to every host whenever something
/// changes, and against one that is never sent because the first control host is gone.
#[test]
fn one_control_host_sends_the_directory() {
    let (hosts, controls) = (names("host", HOSTS), names("control", CONTROLS));
    let mut syncs: Vec<sync::DirectorySync> =
        controls.iter().map(|_| sync::DirectorySync::default()).collect();
    let mut send = |now: u64, up: &dyn Fn(usize) -> bool, same: &dyn Fn(usize) -> bool| {
        let mut sent = vec![0; HOSTS];
        for (n, control) in controls.iter().enumerate().filter(|(n, _)| up(*n)) {
            for (h, host) in hosts.iter().enumerate() {
                let rank = sync::rank(host, control, &controls);
                sent[h] += usize::from(syncs[n].is_due(ms(now), host, rank, same(h)));
            }
        }
        let total: usize = sent.iter().sum();
        (total, sent.iter().filter(|s| **s > 1).count())
    };
    let all_up = |_: usize| true;
    let one_down = |n: usize| n != 0;
    let first_is_up = |h: usize| sync::rank(&hosts[h], &controls[0], &controls) != 0;
    let seen = [
        // A change that reaches every host before its next announcement.
        send(0, &all_up, &|_| false),
        send(500, &all_up, &|_| true),
        // A change that no host learns of: the first control host sends it.
        send(1_000, &all_up, &|_| false),
        send(1_500, &all_up, &|_| false),
        send(2_000, &all_up, &|_| true),
        // One control host is gone: the next one serves its hosts.
        send(3_000, &one_down, &|_| false),
        send(3_500, &one_down, &|_| false),
        send(4_000, &one_down, &first_is_up),
    ];
    let per_control: Vec<usize> = controls
        .iter()
        .map(|c| hosts.iter().filter(|h| sync::rank(h, c, &controls) == 0).count())
        .collect();
    insta::assert_snapshot!(format!("{seen:?} {per_control:?}"), @"[(0, 0), (0, 0), (0, 0), (300, 0), (0, 0), (0, 0), (230, 0), (70, 0)] [70, 70, 47, 57, 56]");
}

/// Probes in rounds, for which `answer` tells whether a host answers that it has no data, and which
/// hosts it names as members. Returns the time of each round in milliseconds, with the hosts probed.
fn probe_rounds(
    rounds: u64,
    hosts: impl Fn(u64) -> Vec<Arc<str>>,
    answer: impl Fn(u64, &Arc<str>) -> Option<(bool, Vec<Arc<str>>)>,
) -> Vec<(u64, Vec<Arc<str>>)> {
    let mut targets = probing::Targets::default();
    let mut probed = Vec::new();
    for round in 0..rounds {
        let (at, known) = (round * 250, hosts(round));
        let Some(asked) = targets.next_round(ms(at), &known[..3], &known, true) else { continue };
        let answers: Vec<_> = asked
            .iter()
            .filter_map(|h| answer(round, h).map(|(blank, named)| (h, blank, named)))
            .map(|(h, blank, named)| {
                (formation::ProbeAnswer { host: h.clone(), id: 1, blank }, named)
            })
            .collect();
        targets.record_answers(answers.iter().map(|(answer, named)| (answer, &named[..])));
        probed.push((at, asked));
    }
    probed
}

/// Guards against spare hosts that all probe each other all the time, and against ones that no
/// longer find the members of the group.
#[test]
fn spare_hosts_probe_only_members() {
    // From 10 s on, the group is on other hosts.
    let members = |round: u64| names("store", 45)[if round < 40 { 0..5 } else { 20..25 }].to_vec();
    let answer = |round: u64, host: &Arc<str>| match members(round) {
        members if members.contains(host) => Some((false, members)),
        _ => Some((true, Vec::new())),
    };
    let rounds = probe_rounds(64, |_| names("store", 45), answer);
    let probes: Vec<usize> = rounds.iter().map(|(_, asked)| asked.len()).collect();
    let misses = |(at, asked): &&(u64, Vec<Arc<str>>)| {
        *at >= 10_000 && members(40).iter().any(|m| !asked.contains(m))
    };
    let late: Vec<u64> = rounds.iter().filter(misses).map(|(at, _)| *at).collect();
    insta::assert_snapshot!(format!("{probes:?}, not all members: {late:?}"), @"[45, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 45, 9, 9, 9, 9, 9], not all members: [10000]");
}

/// Guards against a fleet in which the probes grow with the square of the hosts: of spare hosts, and
/// while no host answers with data.
#[test]
fn probes_do_not_grow_with_the_square_of_the_hosts() {
    let hosts = |_| names("store", 600);
    let count = |rounds: Vec<(u64, Vec<Arc<str>>)>| {
        rounds[1..].iter().map(|(_, asked)| asked.len()).max().unwrap_or(0)
    };
    let spare = probe_rounds(64, hosts, |_, host| {
        let members = names("store", 600)[..3].to_vec();
        Some((!members.contains(host), members))
    });
    let lost = probe_rounds(64, hosts, |_, _| None);
    insta::assert_snapshot!(format!("{} {}", count(spare), count(lost)), @"7 67");
}

/// Guards against a learner that does not know the leader for 8 s, and is removed as silent, because
/// the answer of the leader to its first probe was lost.
#[test]
fn member_that_does_not_answer_is_probed_again() {
    let hosts = names("control", 3);
    // The first host does not answer until 2 s, the second one is blank.
    let answer = |round, host: &Arc<str>| match hosts.iter().position(|h| h == host) {
        Some(0) if round < 8 => None,
        Some(1) => Some((true, Vec::new())),
        _ => Some((false, vec![hosts[0].clone(), hosts[2].clone()])),
    };
    let rounds = probe_rounds(12, |_| hosts.clone(), answer);
    let asked_at: Vec<u64> =
        rounds.iter().filter(|(_, asked)| asked.contains(&hosts[0])).map(|(at, _)| *at).collect();
    insta::assert_snapshot!(format!("{asked_at:?}"), @"[0, 1000, 2000]");
}

/// Guards against a host without its disk that the leader does not hear of for 8 s: the leader came in
/// for a lost founder, and the directory that names it, among hundreds of hosts, came after the first
/// round or not at all.
#[test]
fn leader_that_was_not_known_at_first_is_probed() {
    let hosts = names("store", 600);
    let leader = hosts[599].clone();
    let mut seen = Vec::new();
    for known_from in [2, u64::MAX] {
        let known = |round| hosts[..if round < known_from { 3 } else { 600 }].to_vec();
        // The first founder is gone, the second one is a member.
        let answer = |_, host: &Arc<str>| match hosts.iter().position(|h| h == host) {
            Some(0) => None,
            Some(1 | 599) => Some((false, vec![hosts[1].clone(), leader.clone()])),
            _ => Some((true, Vec::new())),
        };
        let rounds = probe_rounds(24, known, answer);
        let probed: Vec<u64> =
            rounds.iter().filter(|(_, asked)| asked.contains(&leader)).map(|(at, _)| *at).collect();
        seen.push(probed);
    }
    insta::assert_snapshot!(format!("{seen:?}"), @"[[1000, 2000, 3000, 4000, 5000], [1000, 2000, 3000, 4000, 5000]]");
}

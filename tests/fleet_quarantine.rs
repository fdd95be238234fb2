//! What is quarantined after crashes, and when it is released, in simulated time.

use basilfield::fleet::quarantine;
use quarantine::Cause;
use quarantine::Check;
use quarantine::Crash;
use quarantine::RequestCauses;
use quarantine::State;
use quarantine::Summary;
use quarantine::Watch;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write as _;
use std::time::Duration;

/// First part of every prompt, a bad one and another bad one, and sound ones.
const FIRST: u64 = 1;
const BAD: u64 = 0xb;
const OTHER_BAD: u64 = 0xc;
const SOUND: u64 = 5;

fn parts(ids: &[u64]) -> Vec<Cause> {
    ids.iter().copied().map(Cause::Part).collect()
}

/// Crash number `n` under prompts that are given as key and shared parts.
fn crash(n: u64, prompts: &[(u64, &[u64])]) -> Crash {
    let request = |(key, ids): &(u64, &[u64])| RequestCauses { key: *key, causes: parts(ids) };
    let requests = prompts.iter().map(request).collect();
    let (start_time, broken_at) = (n, 1 + n * 1_000);
    Crash { endpoint: format!("i-{n}").into(), start_time, broken_at, requests }
}

/// Crash number `n` under requests that are given as digest and shared parts.
fn request_crash(n: u64, requests: &[(u64, &[u64])]) -> Crash {
    let request = |(digest, ids): &(u64, &[u64])| {
        let mut causes = parts(ids);
        causes.push(Cause::Request(*digest));
        RequestCauses { key: *digest, causes }
    };
    let requests = requests.iter().map(request).collect();
    let (start_time, broken_at) = (n, 1 + n * 1_000);
    Crash { endpoint: format!("i-{n}").into(), start_time, broken_at, requests }
}

fn ids(causes: &[Cause]) -> String {
    let id = |cause: &Cause| match cause {
        Cause::Part(part) => format!("{part:x}"),
        Cause::Request(_) => cause.to_string(),
    };
    format!("[{}]", causes.iter().map(id).collect::<Vec<_>>().join(", "))
}

fn names(summary: &Summary) -> String {
    let quarantined = summary.quarantined.iter();
    let mut text: String = quarantined
        .map(|q| {
            let cause = ids(&[q.cause]);
            let cause = cause.trim_matches(['[', ']']);
            format!("{cause}: {} crashes, {} trials ", q.crashes, q.trials)
        })
        .collect();
    let _ = write!(text, "suspected {}", ids(&summary.suspected));
    text
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Guards against a bad part that is never found, and a shared first part that is blamed beside it.
#[test]
fn narrowest_part_of_the_crashes_is_quarantined() {
    let mut state = State::default();
    let mut seen = Vec::new();
    for n in 0..5 {
        state.record_crash(crash(n, &[(n, &[FIRST, BAD]), (100 + n, &[FIRST, SOUND + n])]));
        seen.push(names(&state.summary()));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    suspected [1, 5, b]
    suspected [1, 5, 6, b]
    b: 3 crashes, 0 trials suspected []
    b: 4 crashes, 0 trials suspected []
    b: 5 crashes, 0 trials suspected []
    ");
}

/// Guards against a part that is blamed because one request with it broke at several endpoints, or
/// because one crash is reported by several hosts.
#[test]
fn repeated_prompts_and_reports_count_once() {
    let mut state = State::default();
    for n in 0..4 {
        state.record_crash(crash(n, &[(7, &[FIRST, SOUND])]));
    }
    let of_one_request = names(&state.summary());
    let mut state = State::default();
    for n in 0..9 {
        state.record_crash(crash(n % 2, &[(n, &[FIRST, SOUND])]));
    }
    insta::assert_snapshot!(format!("{of_one_request}\n{}", names(&state.summary())), @r"
    suspected [1, 5]
    suspected [1, 5]
    ");
}

/// Guards against a second bad part that stays hidden behind the first one.
#[test]
fn crashes_of_a_second_bad_part_count_by_themselves() {
    let mut state = State::default();
    let mut seen = Vec::new();
    for n in 0..6 {
        let part = if n % 2 == 0 { BAD } else { OTHER_BAD };
        state.record_crash(crash(n, &[(n, &[FIRST, part])]));
        seen.push(names(&state.summary()));
    }
    // Both crashes of each are under the first part as well.
    insta::assert_snapshot!(seen.join("\n"), @r"
    suspected [1, b]
    suspected [1, b, c]
    1: 3 crashes, 0 trials suspected []
    1: 4 crashes, 0 trials suspected []
    1: 5 crashes, 0 trials suspected []
    1: 6 crashes, 0 trials suspected []
    ");
    state.clear(&parts(&[FIRST]));
    insta::assert_snapshot!(names(&state.summary()), @"b: 3 crashes, 0 trials c: 3 crashes, 0 trials suspected []");
}

/// Crash number `n` at the given millisecond under prompts that are given as key and shared parts.
fn crash_at(broken_at: u64, n: u64, prompts: &[(u64, &[u64])]) -> Crash {
    Crash { broken_at, ..crash(n, prompts) }
}

/// Guards against a part that is blamed since several endpoints lost their power at one moment, and
/// against a bad part that is not found because its requests come so fast.
#[test]
fn crashes_of_one_moment_count_once() {
    let mut seen = Vec::new();
    for pause in [20, 1_000] {
        let mut state = State::default();
        for n in 0..5 {
            state.record_crash(crash_at(50_000 + n * pause, n, &[(n, &[BAD])]));
            seen.push(format!("{pause} ms: {}", names(&state.summary())));
        }
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    20 ms: suspected [b]
    20 ms: suspected [b]
    20 ms: suspected [b]
    20 ms: suspected [b]
    20 ms: b: 5 crashes, 0 trials suspected []
    1000 ms: suspected [b]
    1000 ms: suspected [b]
    1000 ms: b: 3 crashes, 0 trials suspected []
    1000 ms: b: 4 crashes, 0 trials suspected []
    1000 ms: b: 5 crashes, 0 trials suspected []
    ");
}

/// Guards against a part that is blamed although endpoints without it crash at the same moments, also
/// if these are reported later.
#[test]
fn crashes_without_the_part_speak_against_it() {
    let mut seen = Vec::new();
    for is_late in [false, true] {
        let mut state = State::default();
        let mut others = Vec::new();
        for n in 0..4 {
            let at = 50_000 + n * 1_000;
            for other in 0..2 {
                others.push(crash_at(at + 10, 100 + 10 * n + other, &[]));
            }
            if !is_late {
                others.drain(..).for_each(|c| state.record_crash(c));
            }
            state.record_crash(crash_at(at, n, &[(n, &[SOUND])]));
            seen.push(format!("late {is_late}: {}", names(&state.summary())));
        }
        others.into_iter().for_each(|c| state.record_crash(c));
        seen.push(format!("late {is_late}: {}", names(&state.summary())));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    late false: suspected [5]
    late false: suspected [5]
    late false: suspected [5]
    late false: suspected [5]
    late false: suspected [5]
    late true: suspected [5]
    late true: suspected [5]
    late true: 5: 3 crashes, 0 trials suspected []
    late true: 5: 4 crashes, 0 trials suspected []
    late true: suspected [5]
    ");
}

/// Guards against items that wait for minutes because the trial of their part ended for another reason:
/// it got no answer, or its endpoint crashed at the same time as others.
#[test]
fn trial_that_ends_for_another_reason_counts_as_failed() {
    let mut state = State::default();
    for n in 0..3 {
        state.record_crash(crash(n, &[(n, &[BAD])]));
    }
    let mut watch = Watch::default();
    let (mut seen, mut now) = (Vec::new(), seconds(100));
    let mut others = 100;
    for end in ["no answer", "others crash", "others crash later", "crash", "others crash", "crash"]
    {
        watch.apply(now, &state.summary());
        let Check::Held(hold) = watch.check(now, &parts(&[BAD])) else { panic!("it is held") };
        now += hold.wait;
        let Check::TrialDue { number, .. } = watch.check(now, &parts(&[BAD])) else {
            panic!("a trial is due")
        };
        assert!(state.grant_trial(Cause::Part(BAD), number));
        let at = 100_000 + u64::from(number) * 10_000;
        others += 1;
        let trial = crash_at(at, 10 + u64::from(number), &[(others, &[BAD])]);
        let other = crash_at(at + 30, others, &[]);
        let crashes = match end {
            "no answer" => vec![],
            "others crash" => vec![other, trial],
            "others crash later" => vec![trial, other],
            _ => vec![trial],
        };
        crashes.into_iter().for_each(|c| state.record_crash(c));
        seen.push(format!("after {} s: trial {number}, {end}", hold.wait.as_secs()));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    after 2 s: trial 1, no answer
    after 2 s: trial 2, others crash
    after 2 s: trial 3, others crash later
    after 2 s: trial 4, crash
    after 8 s: trial 5, others crash
    after 300 s: trial 6, crash
    ");
}

/// Guards against sound parts that stay blamed after they were answered, and against a part that is
/// never found because it was sound once.
#[test]
fn answered_part_is_released_until_it_is_named_often() {
    let mut state = State::default();
    for n in 0..3 {
        state.record_crash(crash(n, &[(n, &[SOUND])]));
    }
    let mut seen = vec![names(&state.summary())];
    state.clear(&parts(&[SOUND, 99]));
    seen.push(names(&state.summary()));
    for n in 3..12 {
        state.record_crash(crash(n, &[(n, &[SOUND])]));
    }
    let summary = state.summary();
    seen.push(format!("{} relapsed {}", names(&summary), summary.quarantined[0].relapsed));
    insta::assert_snapshot!(seen.join("\n"), @r"
    5: 3 crashes, 0 trials suspected []
    suspected []
    5: 9 crashes, 0 trials suspected [] relapsed true
    ");
}

/// Guards against memory that grows with the number of crashes, prompts or parts.
#[test]
fn remembered_crashes_are_bounded() {
    let mut state = State::default();
    for n in 0..150 {
        let ids: Vec<u64> = (0..300).map(|p| n * 1_000 + p).collect();
        let prompts: Vec<(u64, &[u64])> = (0..40).map(|key| (key, &ids[..])).collect();
        state.record_crash(crash(n, &prompts));
        state.clear(&parts(&[n * 1_000]));
    }
    let size = postcard::to_stdvec(&state).expect("state").len();
    assert!(size < 400_000, "{size} bytes");
    assert!(state.summary().suspected.len() <= 256);
}

/// Guards against requests that are held for ever, or sent more often than the trials allow: the
/// pauses grow, only one request of a host asks, and an answer releases the part.
#[test]
fn trials_follow_at_growing_pauses() {
    let mut state = State::default();
    for n in 0..3 {
        state.record_crash(crash(n, &[(n, &[FIRST, BAD])]));
    }
    let mut watch = Watch::default();
    let (mut seen, mut now) = (Vec::new(), seconds(100));
    watch.apply(now, &state.summary());
    for n in 0..5 {
        let check = watch.check(now, &parts(&[FIRST, BAD]));
        let Check::Held(hold) = check else { panic!("{check:?}") };
        now += hold.wait;
        let (due, next) = (watch.check(now, &parts(&[BAD])), watch.check(now, &parts(&[BAD])));
        let Check::TrialDue { number, .. } = due else { panic!("{due:?}") };
        seen.push(format!("{} s: trial {number}, then {next:?}", hold.wait.as_secs()));
        assert!(state.grant_trial(Cause::Part(BAD), number));
        state.record_crash(crash(10 + n, &[(10 + n, &[BAD])]));
        watch.apply(now, &state.summary());
    }
    watch.evidence().record_answer(now, &parts(&[FIRST, BAD]));
    state.clear(&watch.clearable(now));
    watch.apply(now, &state.summary());
    seen.push(format!("{:?}", watch.check(now, &parts(&[FIRST, BAD]))));
    insta::assert_snapshot!(seen.join("\n"), @r"
    2 s: trial 1, then Held(Hold { cause: Part(11), crashes: 3, wait: 2s })
    8 s: trial 2, then Held(Hold { cause: Part(11), crashes: 4, wait: 2s })
    300 s: trial 3, then Held(Hold { cause: Part(11), crashes: 5, wait: 2s })
    86400 s: trial 4, then Held(Hold { cause: Part(11), crashes: 6, wait: 2s })
    86400 s: trial 5, then Held(Hold { cause: Part(11), crashes: 7, wait: 2s })
    Free
    ");
}

/// Guards against hosts that send requests after a restart of the fleet before they know which parts
/// crash endpoints, and against hosts that refuse them for ever while no leader is elected.
#[test]
fn requests_wait_for_a_confirmed_state() {
    let mut state = State::default();
    for n in 0..3 {
        state.record_crash(crash(n, &[(n, &[BAD])]));
    }
    let mut alone = Watch::default();
    let waits = [1, 2, 3, 4].map(|second| alone.is_usable(seconds(second)));
    let mut told = Watch::default();
    let before = told.is_usable(seconds(1));
    told.apply(seconds(1), &Summary::default());
    let unconfirmed = told.is_usable(seconds(1));
    told.apply(seconds(1), &Summary { confirmed: true, ..state.summary() });
    let confirmed =
        (told.is_usable(seconds(1)), told.summary().confirmed, told.is_free(&parts(&[BAD])));
    insta::assert_snapshot!(format!("{waits:?} {before} {unconfirmed} {confirmed:?}"), @"[false, false, false, true] false false (true, true, false)");
}

/// Guards against old answers that clear a part which has become bad since.
#[test]
fn answers_before_crashes_clear_no_part() {
    let mut watch = Watch::default();
    watch.evidence().record_answer(seconds(1), &parts(&[FIRST, BAD]));
    let suspected = parts(&[FIRST, BAD]);
    watch.apply(seconds(1), &Summary { revision: 1, suspected, ..Summary::default() });
    let mut seen = Vec::new();
    for second in 2..6 {
        // Several endpoints may crash at the same moment for another reason.
        for _ in 0..5 {
            watch.evidence().record_crash(seconds(second), &parts(&[FIRST, BAD]));
        }
        seen.push(ids(&watch.clearable(seconds(second))));
        watch.evidence().record_answer(seconds(second), &parts(&[FIRST]));
    }
    seen.push(ids(&watch.clearable(seconds(70))));
    insta::assert_snapshot!(seen.join(" "), @"[1, b] [1, b] [1] [1] []");
}

/// Fleet of hosts in simulated time, with sound traffic and crashes.
struct Simulation {
    rng: ChaCha8Rng,
    state: State,
    hosts: Vec<Watch>,
    now: Duration,
    crashes: u64,
    prompts: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let (rng, hosts) = (ChaCha8Rng::seed_from_u64(seed), vec![Watch::default(); 4]);
        let (state, now) = (State::default(), seconds(100));
        Simulation { rng, state, hosts, now, crashes: 0, prompts: 0 }
    }

    /// Prompt of a sound request: one of 8 first parts, one of 200 middle parts.
    fn sound_prompt(&mut self) -> RequestCauses {
        self.prompts += 1;
        let ids = [1_000 + self.rng.random_range(0..8), 2_000 + self.rng.random_range(0..200)];
        RequestCauses { key: self.prompts, causes: parts(&ids) }
    }

    fn answer(&mut self, prompt: &RequestCauses) {
        let host = self.rng.random_range(0..self.hosts.len());
        if self.hosts[host].is_free(&prompt.causes) {
            self.hosts[host].evidence().record_answer(self.now, &prompt.causes);
        }
    }

    /// An endpoint crashes under these prompts, which several hosts report.
    fn crash(&mut self, prompts: Vec<RequestCauses>) {
        self.crashes += 1;
        for prompt in prompts {
            let host = self.rng.random_range(0..self.hosts.len());
            let (now, watch) = (self.now, &mut self.hosts[host]);
            watch.evidence().record_crash(now, &prompt.causes);
            let mut causes = prompt.causes;
            causes.retain(|c| watch.evidence().answered(now, *c).is_none());
            let requests = vec![RequestCauses { key: prompt.key, causes }];
            self.state.record_crash(Crash { requests, ..crash(self.crashes, &[]) });
        }
    }

    /// All hosts learn the state, and say what was answered.
    fn exchange(&mut self) {
        for host in 0..self.hosts.len() {
            self.hosts[host].apply(self.now, &self.state.summary());
            let causes = self.hosts[host].clearable(self.now);
            self.state.clear(&causes);
        }
        for host in &mut self.hosts {
            host.apply(self.now, &self.state.summary());
        }
    }
}

/// Guards against a bad part that is found late, and sound parts that are kept from endpoints, in
/// random traffic with rare parts and crashes for other reasons.
#[test]
fn bad_part_is_found_in_random_traffic() {
    for seed in 0..30 {
        let mut s = Simulation::new(seed);
        let (mut bad_crashes, mut held_sound) = (0, 0);
        for step in 0..600 {
            s.now += Duration::from_millis(100);
            for _ in 0..4 {
                let prompt = s.sound_prompt();
                s.answer(&prompt);
            }
            // An endpoint now and then crashes for another reason.
            if s.rng.random_range(0..40) == 0 {
                let prompts = (0..3).map(|_| s.sound_prompt()).collect();
                s.crash(prompts);
            }
            let is_bad = step > 200 && s.rng.random_range(0..3) == 0;
            if is_bad && s.hosts[0].is_free(&parts(&[BAD])) {
                bad_crashes += 1;
                let mut prompts: Vec<RequestCauses> = (0..2).map(|_| s.sound_prompt()).collect();
                let bad = s.sound_prompt();
                prompts
                    .push(RequestCauses { causes: vec![bad.causes[0], Cause::Part(BAD)], ..bad });
                s.crash(prompts);
            }
            s.exchange();
            let quarantined = s.state.summary().quarantined;
            held_sound += quarantined.iter().filter(|q| q.cause != Cause::Part(BAD)).count();
        }
        assert!((3..=5).contains(&bad_crashes), "seed {seed}: {bad_crashes} crashes");
        // A trial is due after 300 steps.
        assert!(held_sound <= 300, "seed {seed}: sound parts were held for {held_sound} steps");
    }
}

/// Guards against the trial of one part that lets another one through, and one that runs twice.
#[test]
fn trial_of_a_part_covers_only_that_part() {
    let parts = parts(&[FIRST, BAD, OTHER_BAD]);
    let mut trial = quarantine::Trial::default();
    trial.set_sent(true);
    let mut seen = vec![(trial.checked(&parts), trial.is_sent())];
    trial.grant(seconds(1), Cause::Part(BAD));
    seen.push((trial.checked(&parts), trial.is_sent()));
    trial.set_sent(true);
    seen.push((trial.checked(&parts), trial.is_sent()));
    trial.set_sent(false);
    trial.grant(seconds(1), Cause::Part(OTHER_BAD));
    seen.push((trial.checked(&parts), trial.is_sent()));
    let all = parts.clone();
    let but_one = vec![parts[0], parts[2]];
    let expected = [(all.clone(), false), (but_one, false), (all, true), (vec![parts[0]], false)];
    assert_eq!(seen, expected);
}

/// Guards against a repeated request that is never found, since nothing else has its parts, and
/// against its parts that are blamed in its place.
#[test]
fn repeated_request_is_never_found() {
    let mut state = State::default();
    let mut seen = Vec::new();
    for n in 0..4 {
        // A sound request with the same parts runs beside it.
        state.record_crash(request_crash(n, &[(0xa, &[FIRST, SOUND]), (100 + n, &[FIRST, SOUND])]));
        seen.push(names(&state.summary()));
    }
    // Other requests with one of its parts crash endpoints without it.
    for n in 8..10 {
        state.record_crash(request_crash(n, &[(n, &[7, SOUND])]));
        seen.push(names(&state.summary()));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    suspected [1, 5]
    suspected [1, 5, request a]
    request a: 3 crashes, 0 trials suspected [1, 5]
    request a: 4 crashes, 0 trials suspected [1, 5]
    request a: 4 crashes, 0 trials suspected [1, 5, 7]
    5: 6 crashes, 0 trials suspected []
    ");
}

/// Guards against a second bad request that stays hidden behind the first one in the same crashes, and
/// against a sound one that is kept out for good because it ran beside it at three crashes.
#[test]
fn request_beside_a_bad_one_is_kept_out() {
    let mut state = State::default();
    let mut seen = Vec::new();
    for n in 0..3 {
        state.record_crash(request_crash(n, &[(0xa, &[]), (0xb, &[]), (0xc0 + n, &[])]));
        seen.push(names(&state.summary()));
    }
    let mut watch = Watch::default();
    watch.apply(seconds(1), &state.summary());
    let sound = [Cause::Request(0xb)];
    let Check::Held(hold) = watch.check(seconds(1), &sound) else { panic!("it is held") };
    let due = watch.check(seconds(1) + hold.wait, &sound);
    assert!(matches!(due, Check::TrialDue { number: 1, .. }), "{due:?}");
    assert!(state.grant_trial(sound[0], 1));
    watch.evidence().record_answer(seconds(40), &sound);
    watch.apply(seconds(40), &state.summary());
    state.clear(&watch.clearable(seconds(40)));
    seen.push(names(&state.summary()));
    insta::assert_snapshot!(seen.join("\n"), @r"
    suspected []
    suspected [request a, request b]
    request a: 3 crashes, 0 trials request b: 3 crashes, 0 trials suspected []
    request a: 3 crashes, 0 trials suspected []
    ");
}

/// Guards against requests that stay quarantined by themselves once the part is found that is bad.
#[test]
fn requests_with_a_bad_part_stay_quarantined() {
    let mut state = State::default();
    let mut seen = Vec::new();
    for n in 0..5 {
        // A caller that repeats its request three times, and others with the part.
        let again = if n < 3 { 0xa } else { 0x100 + n };
        state.record_crash(request_crash(n, &[(again, &[BAD]), (0x200 + n, &[BAD])]));
        seen.push(names(&state.summary()));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    suspected [b]
    suspected [b, request a]
    request a: 3 crashes, 0 trials suspected [b]
    request a: 3 crashes, 0 trials suspected [b]
    b: 5 crashes, 0 trials suspected []
    ");
}

/// Guards against items that are taken for the cause of crashes.
#[test]
fn item_is_never_the_cause_by_itself() {
    let prompt = basilfield::fleet::prompt::Prompt::default();
    let item = RequestCauses::new(&prompt, None);
    let mut state = State::default();
    for n in 0..5 {
        let requests = vec![item.clone()];
        state.record_crash(Crash { requests, ..crash(n, &[]) });
    }
    assert_eq!(names(&state.summary()), "suspected []");
}

//! Requests with a part in their prompts that crashes each endpoint which begins to answer them.

use crate::fleet_pair;
use crate::fleet_pair::Pair;
use crate::fleet_world;
use crate::fleet_world::Role;
use crate::fleet_world::Size;
use crate::fleet_world::World;
use crate::fleet_world::client;
use crate::fleet_world::client::StreamEnd;
use basilfield::emulator::plain;
use basilfield::fleet::delegation;
use basilfield::fleet::quarantine;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 3, endpoints: 6 };
/// Most requests that may reach endpoints: those that crash five, and three more.
const MAX_RUNS: usize = 5 + 3;
/// Pause between two rounds of requests. Hosts learn of a crash within one.
const ROUND: Duration = Duration::from_millis(400);
/// Time after which a crashed endpoint is back.
const RESTART_TIME: Duration = Duration::from_millis(900);
/// Time within which every host knows what the control hosts have committed.
const IN_FORCE_TIME: Duration = Duration::from_millis(2_500);
/// Time after which the second trial is due, and two seconds more.
const TRIAL_TIME: Duration = Duration::from_secs(10);
/// Time after the fifth crash within which hosts have to know of the part.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time in which items have to be done once all endpoints are back.
const OWED_TIME: Duration = Duration::from_secs(13);
/// Part that all requests share, and parts that crash endpoints.
const FIRST_PART: &str = "f1";
const BAD_PARTS: [&str; 2] = ["bad1", "bad2"];
/// Longest time for a job to finish.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(test);
}

/// World whose endpoints are crashed by parts of prompts and come back after a while.
struct Scene {
    world: World,
    crashed: Vec<Option<Instant>>,
    fatal_parts: plain::FatalParts,
    /// Requests sent so far.
    sent: usize,
}

impl Scene {
    async fn start(bad: &[&str]) -> Scene {
        let world = World::start(SIZE).await;
        let ids = bad.iter().map(|id| (*id).into()).collect();
        let fatal_parts = plain::FatalParts { header: client::PROMPT_HEADER.into(), ids };
        for endpoint in world.endpoints.iter().flatten() {
            endpoint.set_fatal_parts(fatal_parts.clone());
        }
        let crashed = vec![None; world.endpoints.len()];
        let mut scene = Scene { crashed, world, fatal_parts, sent: 0 };
        // The first part is in use before the bad ones come.
        for entry in scene.entries() {
            assert_eq!(scene.send(entry, "early", "50f").await, StreamEnd::Complete);
        }
        scene
    }

    fn entries(&self) -> Vec<SocketAddr> {
        self.world.caller_addresses().to_vec()
    }

    /// Restarts endpoints under new ids that crashed some time ago.
    async fn restart_crashed(&mut self) {
        let mut restarted = false;
        for at in 0..self.crashed.len() {
            let has_crashed = self.world.endpoints[at].as_ref().is_none_or(|e| e.has_crashed());
            match self.crashed[at] {
                None if has_crashed => self.crashed[at] = Some(Instant::now()),
                Some(since) if since.elapsed() > RESTART_TIME => {
                    self.crashed[at] = None;
                    self.world.crash_endpoint(at);
                    self.world.start_endpoint(at).await;
                    let endpoint = self.world.endpoints[at].as_ref().expect("started");
                    endpoint.set_fatal_parts(self.fatal_parts.clone());
                    restarted = true;
                }
                _ => {}
            }
        }
        if restarted {
            self.world.send_heartbeats().await;
        }
    }

    /// Waits while endpoints are restarted.
    async fn wait(&mut self, time: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < time {
            self.restart_crashed().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a stream with a prompt of its own that has the given part in the middle.
    async fn send(&mut self, entry: SocketAddr, name: &str, part: &str) -> StreamEnd {
        self.sent += 1;
        let mut caller =
            client::Attempt::new(fleet_world::STREAM_PREFIX, &format!("{name}-{}", self.sent));
        caller.prompt = format!("{FIRST_PART}:100,{part}:100,{:x}:250", 0x1000 + self.sent);
        caller.run(entry, u64::MAX).await
    }

    /// Sends a request with each bad part and a sound one to one entry after the other. Returns how
    /// many of the sound ones were answered completely.
    async fn play(&mut self, rounds: usize) -> usize {
        let entries = self.entries();
        let bad = self.fatal_parts.ids.clone();
        let mut complete = 0;
        for n in 0..rounds {
            let entry = entries[n % entries.len()];
            for part in &bad {
                self.send(entry, &format!("{part}_{part}"), part).await;
            }
            let ended = self.send(entry, "sound", &format!("50{}", n % 5)).await;
            complete += usize::from(ended == StreamEnd::Complete);
            self.wait(ROUND).await;
        }
        complete
    }

    /// Plays until the trials that follow each other within seconds have failed.
    async fn fail_early_trials(&mut self) {
        self.play(6).await;
        for _ in 0..2 {
            self.wait(TRIAL_TIME).await;
            self.play(6).await;
        }
    }

    /// Runs of requests and items whose names begin with `name`.
    fn runs(&self, name: &str) -> usize {
        self.world.all_runs().iter().filter(|r| r.request_id.starts_with(name)).count()
    }

    fn assert_few_runs(&self, most: usize) {
        for part in &self.fatal_parts.ids {
            let runs = self.runs(&format!("{part}_"));
            assert!((3..=most).contains(&runs), "{part}: {runs} runs\n{}", self.world.logs());
        }
    }
}

/// Guards against requests that crash one endpoint after the other, sent through several entries, and
/// against sound requests that are refused because they share the first part.
#[test]
fn crashing_part_is_kept_from_endpoints() {
    run(async {
        let mut scene = Scene::start(&BAD_PARTS[..1]).await;
        scene.play(6).await;
        let complete = scene.play(12).await;
        scene.assert_few_runs(MAX_RUNS);
        assert!(complete >= 11, "{complete} of 12 sound requests\n{}", scene.world.logs());
    });
}

/// Guards against a second bad part that is never found because the first one explains its crashes,
/// or because both share their first part.
#[test]
fn two_crashing_parts_are_kept_from_endpoints() {
    run(async {
        let mut scene = Scene::start(&BAD_PARTS).await;
        scene.play(8).await;
        let complete = scene.play(10).await;
        scene.assert_few_runs(MAX_RUNS);
        assert!(complete >= 9, "{complete} of 10 sound requests\n{}", scene.world.logs());
    });
}

/// Guards against several requests that are sent when the trial of a part is due, through several
/// entries or again after the endpoint has crashed.
#[test]
fn due_trial_sends_one_request() {
    run(async {
        let mut scene = Scene::start(&BAD_PARTS[..1]).await;
        scene.play(6).await;
        scene.assert_few_runs(MAX_RUNS);
        let before = scene.runs("bad1_");
        scene.wait(TRIAL_TIME).await;
        scene.play(6).await;
        assert_eq!(scene.runs("bad1_"), before + 1, "{}", scene.world.logs());
    });
}

/// Guards against a part that is kept from endpoints for ever after they can answer it again.
#[test]
fn answered_trial_releases_part() {
    run(async {
        let mut scene = Scene::start(&BAD_PARTS[..1]).await;
        // The first trial is due later than this.
        scene.play(4).await;
        scene.assert_few_runs(MAX_RUNS);
        scene.fatal_parts = plain::FatalParts::default();
        for endpoint in scene.world.endpoints.iter().flatten() {
            endpoint.set_fatal_parts(scene.fatal_parts.clone());
        }
        let entries = scene.entries();
        assert_eq!(scene.send(entries[0], "early", BAD_PARTS[0]).await, StreamEnd::NotRun);
        scene.wait(TRIAL_TIME).await;
        let trial = scene.send(entries[0], "trial", BAD_PARTS[0]).await;
        scene.wait(IN_FORCE_TIME).await;
        let mut ends = vec![trial];
        for entry in entries {
            ends.push(scene.send(entry, "after", BAD_PARTS[0]).await);
        }
        assert_eq!(ends, vec![StreamEnd::Complete; 4], "{}", scene.world.logs());
    });
}

/// Guards against entries and control hosts that forget a bad part when they start again, and new
/// entries that never learn of it.
#[test]
fn restarted_and_new_hosts_know_crashing_parts() {
    run(async {
        let mut scene = Scene::start(&BAD_PARTS[..1]).await;
        scene.fail_early_trials().await;
        scene.assert_few_runs(MAX_RUNS);
        let before = scene.runs("bad1_");
        let added = scene.world.add_host(Role::Entry, 4).await;
        for at in scene.world.hosts_of(Role::Entry) {
            scene.world.kill(at);
            scene.world.start_host(at, false);
        }
        scene.world.send_heartbeats_until_ready().await;
        scene.play(8).await;
        assert_eq!(scene.runs("bad1_"), before, "entries started again\n{}", scene.world.logs());
        assert!(scene.world.is_running(added));
        for at in 0..scene.world.hosts.len() {
            scene.world.kill(at);
        }
        for at in 0..scene.world.hosts.len() {
            scene.world.start_host(at, false);
        }
        scene.world.send_heartbeats_until_ready().await;
        scene.play(8).await;
        assert_eq!(scene.runs("bad1_"), before, "every host started again\n{}", scene.world.logs());
    });
}

/// Guards against items that crash one endpoint after the other, and against sound items of the same
/// job that wait with them.
#[test]
fn items_with_crashing_part_wait() {
    run(async {
        let mut scene = Scene::start(&BAD_PARTS[..1]).await;
        let entries = scene.entries();
        let is_bad = |id: &str| {
            let number = id.rsplit('-').next().unwrap_or_default();
            id.starts_with("job") && number.parse().is_ok_and(|n: usize| n.is_multiple_of(3))
        };
        for job in ["job1", "job2"] {
            let prompt = |n: usize| match n % 3 {
                0 => format!("{FIRST_PART}:100,bad1:100,{:x}:250", 0x900 + n),
                _ => format!("{FIRST_PART}:100,50{}:100,{:x}:250", n % 5, 0x900 + n),
            };
            let prompts: Vec<String> = (0..18).map(prompt).collect();
            assert!(client::submit_with_prompts(&entries, job, &prompts).await);
            let begun = Instant::now();
            let listed = loop {
                scene.wait(ROUND).await;
                let listed = client::results(entries[0], job, 0).await.unwrap_or_default();
                if listed.len() >= 12 || begun.elapsed() > JOB_TIMEOUT {
                    break listed;
                }
            };
            let sound = listed.iter().filter(|r| !is_bad(r["id"].as_str().unwrap_or_default()));
            assert_eq!(sound.count(), 12, "{job}: sound items are done\n{}", scene.world.logs());
            scene.wait(CONTACT_TIME + IN_FORCE_TIME).await;
        }
        // All items of a job start at the same moment, so that more than five endpoints may crash.
        let mut runs = scene.world.all_runs();
        runs.retain(|r| is_bad(&r.request_id));
        runs.sort_by_key(|r| r.started);
        let mut crashed = Vec::new();
        for run in &runs {
            if !crashed.iter().any(|(endpoint, _)| *endpoint == &run.endpoint) {
                crashed.push((&run.endpoint, run.started));
            }
        }
        let fifth = crashed.get(4).or(crashed.last()).expect("bad items ran").1;
        let late = runs.iter().filter(|r| r.started > fifth + CONTACT_TIME).count();
        assert!(late <= 3, "{late} late runs of {}\n{}", runs.len(), scene.world.logs());
    });
}

/// Guards against sound parts that are refused because several endpoints that ran them crashed for
/// another reason.
#[test]
fn crash_of_many_endpoints_blames_no_part() {
    run(async {
        let mut scene = Scene::start(&[]).await;
        let entries = scene.entries();
        for entry in &entries {
            assert_eq!(scene.send(*entry, "before", "70").await, StreamEnd::Complete);
        }
        scene.world.slow_down(None, 30.0);
        let running: Vec<_> = (0..12)
            .map(|n| {
                let id = format!("running-{n}");
                let mut caller = client::Attempt::new(fleet_world::STREAM_PREFIX, &id);
                caller.prompt = format!("{FIRST_PART}:100,70:100,{:x}:250", 0x500 + n);
                let entry = entries[n % entries.len()];
                tokio::spawn(async move { caller.run(entry, u64::MAX).await })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(150)).await;
        for at in 0..5 {
            scene.world.crash_endpoint(at);
        }
        scene.wait(RESTART_TIME + IN_FORCE_TIME).await;
        for running in running {
            running.abort();
        }
        scene.world.slow_down(None, 1.0);
        let mut ends = Vec::new();
        for n in 0..9 {
            ends.push(scene.send(entries[n % entries.len()], "after", "70").await);
        }
        assert_eq!(ends, vec![StreamEnd::Complete; 9], "{}", scene.world.logs());
    });
}

/// Guards against items that wait for a trial, although all endpoints are back, because all of them
/// crashed at one moment under the first items with a part.
#[test]
fn items_with_a_new_part_wait_after_a_common_crash() {
    run(async {
        let mut scene = Scene::start(&[]).await;
        let entries = scene.entries();
        scene.world.slow_down(None, 300.0);
        let prompts: Vec<String> =
            (0..12).map(|n| format!("5d07b8:100,{:x}:250", 0x700 + n)).collect();
        assert!(client::submit_with_prompts(&entries, "job", &prompts).await);
        let is_everywhere = || {
            let mut endpoints: Vec<_> =
                scene.world.all_runs().into_iter().map(|r| r.endpoint).collect();
            endpoints.sort();
            endpoints.dedup();
            endpoints.len() == usize::from(SIZE.endpoints)
        };
        assert!(
            fleet_world::wait_until(JOB_TIMEOUT, is_everywhere).await,
            "{}",
            scene.world.logs()
        );
        for at in 0..usize::from(SIZE.endpoints) {
            scene.world.crash_endpoint(at);
        }
        scene.wait(RESTART_TIME * 2).await;
        scene.world.slow_down(None, 1.0);
        let finished = client::finish(&entries, "job", 12, &mut Vec::new(), OWED_TIME).await;
        assert_eq!(finished, Ok(()), "{}", scene.world.logs());
    });
}

/// Guards against parts that are refused because answers with them were cut off by endpoints that go
/// on serving.
#[test]
fn lost_answers_blame_no_part() {
    run(async {
        let mut scene = Scene::start(&[]).await;
        let entries = scene.entries();
        let cut = plain::FaultRates { cut_rate: 1.0, slowdown: 0.2, ..Default::default() };
        for endpoint in scene.world.endpoints.iter().flatten() {
            endpoint.set_faults(cut);
        }
        for n in 0..9 {
            scene.send(entries[n % entries.len()], "cut", "80").await;
        }
        for endpoint in scene.world.endpoints.iter().flatten() {
            endpoint.set_faults(plain::FaultRates::default());
        }
        scene.wait(IN_FORCE_TIME).await;
        let mut ends = Vec::new();
        for n in 0..9 {
            ends.push(scene.send(entries[n % entries.len()], "whole", "80").await);
        }
        assert_eq!(ends, vec![StreamEnd::Complete; 9], "{}", scene.world.logs());
    });
}

/// Guards against the trial of a quarantined part that is granted to an item and held back by the
/// host that is to carry out its run.
#[test]
fn trial_of_item_is_held_back() {
    run(async {
        let pair = Pair::start().await;
        pair.start_control(1).await;
        for node in [&pair.leader, &pair.host] {
            node.view.apply_quarantine(node.now(), &fleet_pair::quarantine(2, Some(0xbad1)));
        }
        // The host stays in contact as long as an item runs.
        let slow = plain::FaultRates { slowdown: 300.0, ..Default::default() };
        pair.endpoint.set_faults(slow);
        pair.lead().await;
        pair.submit("slow", vec![fleet_pair::item("slow", "")]);
        assert!(pair.wait_for_run("slow").await, "it runs");
        pair.endpoint.set_faults(plain::FaultRates::default());
        pair.submit("job", vec![fleet_pair::item("trial", "f1:100,bad1:100,10:250")]);
        let output = pair.output("job", JOB_TIMEOUT).await;
        let runs = pair.endpoint.runs().iter().filter(|r| &*r.request_id == "trial").count();
        let orders = pair.orders.lock().expect("lock").clone();
        let is_trial = |order: &&delegation::Order| order.trial != quarantine::Trial::default();
        let trials = orders.iter().flat_map(|o| &o.start).filter(is_trial).count();
        let count = usize::try_from(fleet_world::ENDPOINT_OPTIONS.1).expect("few events");
        assert_eq!((output.len(), runs, trials), (count, 1, 1));
    });
}

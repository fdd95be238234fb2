//! A request that crashes each endpoint which begins to run it and comes again through any entry.

use crate::fleet_world;
use crate::fleet_world::Role;
use crate::fleet_world::Size;
use crate::fleet_world::World;
use crate::fleet_world::client;
use crate::fleet_world::client::StreamEnd;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

const SIZE: Size = Size { controls: 3, losses: 1, stores: 3, entries: 3, endpoints: 6 };
/// Most runs of a bad request: those that crash three endpoints, and three more.
const MAX_RUNS: usize = 3 + 3;
/// Pause between two rounds of requests. Hosts learn of a crash within one.
const ROUND: Duration = Duration::from_millis(400);
/// Time after which a crashed endpoint is back.
const RESTART_TIME: Duration = Duration::from_millis(900);
/// Time after which the second trial is due, and two seconds more.
const TRIAL_TIME: Duration = Duration::from_secs(10);
/// Time within which every host knows what the control hosts have committed.
const IN_FORCE_TIME: Duration = Duration::from_millis(2_500);

/// World whose endpoints are crashed by requests and come back after a while.
struct Scene {
    world: World,
    crashed: Vec<Option<Instant>>,
    bad: Vec<String>,
    /// Requests sent so far.
    sent: usize,
}

impl Scene {
    async fn start(bad: &[&str]) -> Scene {
        let world = World::start(SIZE).await;
        let crashed = vec![None; world.endpoints.len()];
        let bad = bad.iter().map(|b| (*b).to_string()).collect();
        let scene = Scene { world, crashed, bad, sent: 0 };
        (0..scene.crashed.len()).for_each(|at| scene.make_fatal(at));
        scene
    }

    fn make_fatal(&self, at: usize) {
        let path = |name: &String| format!("{}{name}", fleet_world::STREAM_PREFIX).into();
        let paths: Vec<Arc<str>> = self.bad.iter().map(path).collect();
        self.world.endpoint(at).set_fatal_paths(paths);
    }

    fn entries(&self) -> Vec<SocketAddr> {
        self.world.caller_addresses().to_vec()
    }

    /// Waits while endpoints that have crashed are restarted under new ids.
    async fn wait(&mut self, time: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < time {
            for at in 0..self.crashed.len() {
                let has_crashed = self.world.endpoints[at].as_ref().is_none_or(|e| e.has_crashed());
                match self.crashed[at] {
                    None if has_crashed => self.crashed[at] = Some(Instant::now()),
                    Some(since) if since.elapsed() > RESTART_TIME => {
                        self.crashed[at] = None;
                        self.world.crash_endpoint(at);
                        self.world.start_endpoint(at).await;
                        self.make_fatal(at);
                        self.world.send_heartbeats().await;
                    }
                    _ => {}
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request with this path and body under a new id.
    async fn send(&mut self, entry: SocketAddr, name: &str, prompt: &str) -> StreamEnd {
        self.sent += 1;
        let id = format!("{name}_{}", self.sent);
        let mut caller = client::Attempt::new(fleet_world::STREAM_PREFIX, &id);
        (caller.content, caller.prompt) = (Some(name.to_string()), prompt.to_string());
        caller.run(entry, u64::MAX).await
    }

    /// Sends every bad request and a sound one to one entry after the other. Returns how many of the
    /// sound ones were answered completely.
    async fn play(&mut self, rounds: usize) -> usize {
        let entries = self.entries();
        let mut complete = 0;
        for n in 0..rounds {
            let entry = entries[n % entries.len()];
            for name in self.bad.clone() {
                // The sound ones share this part.
                self.send(entry, &name, "f1:100,50:250").await;
            }
            let ended = self.send(entry, &format!("sound{}", n % 5), "f1:100,51:250").await;
            complete += usize::from(ended == StreamEnd::Complete);
            self.wait(ROUND).await;
        }
        complete
    }

    fn runs(&self, name: &str) -> usize {
        let name = format!("{name}_");
        self.world.all_runs().iter().filter(|r| r.request_id.starts_with(&name)).count()
    }

    fn assert_few_runs(&self) {
        for name in &self.bad {
            let runs = self.runs(name);
            assert!((3..=MAX_RUNS).contains(&runs), "{name}: {runs} runs\n{}", self.world.logs());
        }
    }
}

/// Guards against a request without shared parts that crashes one endpoint after the other, and
/// against sound requests that are refused beside it.
#[test]
fn repeated_request_crashes_endpoints() {
    fleet_world::run(async {
        let mut scene = Scene::start(&["bad"]).await;
        scene.play(4).await;
        let complete = scene.play(9).await;
        scene.assert_few_runs();
        assert!(complete >= 8, "{complete} of 9 sound requests\n{}", scene.world.logs());
    });
}

/// Guards against several bad requests of which one is never found, and against hosts that forget
/// them when they start again, or new ones that never learn of them.
#[test]
fn restarted_and_new_hosts_send_crashing_requests() {
    fleet_world::run(async {
        let mut scene = Scene::start(&["bad", "worse"]).await;
        scene.play(9).await;
        // The trials that follow each other within seconds fail.
        for _ in 0..2 {
            scene.wait(TRIAL_TIME).await;
            scene.play(3).await;
        }
        scene.assert_few_runs();
        let before = (scene.runs("bad"), scene.runs("worse"));
        scene.world.add_host(Role::Entry, 4).await;
        for at in 0..scene.world.hosts.len() {
            scene.world.kill(at);
        }
        for at in 0..scene.world.hosts.len() {
            scene.world.start_host(at, false);
        }
        scene.world.send_heartbeats_until_ready().await;
        scene.play(8).await;
        let after = (scene.runs("bad"), scene.runs("worse"));
        assert_eq!(after, before, "{}", scene.world.logs());
    });
}

/// Guards against a sound request that is kept out because endpoints crashed under it for another
/// reason: it runs at all of them, and others with the same content are answered.
#[test]
fn sound_request_is_blamed_for_other_crashes() {
    fleet_world::run(async {
        let mut scene = Scene::start(&[]).await;
        let entries = scene.entries();
        for entry in &entries {
            assert_eq!(scene.send(*entry, "common", "").await, StreamEnd::Complete);
        }
        scene.world.slow_down(None, 30.0);
        let running: Vec<_> = (0..12)
            .map(|n| {
                let id = format!("running-{n}");
                let mut caller = client::Attempt::new(fleet_world::STREAM_PREFIX, &id);
                caller.content = Some("common".to_string());
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
        for n in 0..6 {
            ends.push(scene.send(entries[n % entries.len()], "common", "").await);
        }
        assert_eq!(ends, vec![StreamEnd::Complete; 6], "{}", scene.world.logs());
    });
}

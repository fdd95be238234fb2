//! Jobs of workspaces on real processes: what endpoints get with their items, and who reads, submits
//! again and ends them.

mod fleet_world;

use basilfield::fleet::upstream;
use bytes::Bytes;
use fleet_world::Role;
use fleet_world::Size;
use fleet_world::scripted;
use fleet_world::scripted::Fleet;
use http_body_util::Full;
use serde_json::json;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The endpoints are in the failure domain of two store hosts, one of which at least does not lead the
/// job group and carries out runs.
const SIZE: Size = Size { controls: 1, losses: 0, stores: 6, entries: 1, endpoints: 0 };
/// Prefix of a batch route whose callers need no key.
const OPEN_PREFIX: &str = "/open/";
const WORKSPACE_HEADER: &str = "x-basilfield-tenant:";

/// What an endpoint got with an item.
type Seen = Arc<Mutex<Vec<String>>>;

/// Fleet whose configuration may have workspaces, and whose endpoint records what it gets.
struct Owners {
    fleet: Fleet,
    seen: Seen,
    /// Whether the endpoint answers items whose ids begin with `held`.
    released: Arc<AtomicBool>,
    version: u64,
}

impl Owners {
    async fn start() -> Owners {
        let (seen, released) = (Seen::default(), Arc::new(AtomicBool::new(false)));
        let (s, r) = (seen.clone(), released.clone());
        let answer: Arc<scripted::Answer> = Arc::new(move |request, stream| {
            let field = |name| request.raw.fields(name).join("+");
            let (workspace, caller) = (field(WORKSPACE_HEADER), field("authorization:"));
            let text = format!("{} workspace [{workspace}] caller [{caller}]", request.id);
            s.lock().expect("lock").push(text);
            while request.id.starts_with("held") && !r.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(10));
            }
            let body = scripted::events(request.last_event, scripted::LAST_EVENT);
            let fields = scripted::STREAM_FIELDS;
            stream.write_all(scripted::framed("200 OK", &request.id, fields, &body).as_bytes())?;
            Ok(true)
        });
        let endpoints = vec![(fleet_world::DEFAULT_BUILD, answer)];
        let fleet = Fleet::start_with_builds(SIZE, endpoints).await;
        Owners { fleet, seen, released, version: 1 }
    }

    /// Activates a configuration in which the workspace `a` has the given keys and `b` the key `key-b1`,
    /// and waits until the entry applies it.
    async fn set_keys(&mut self, keys: &[&str]) {
        self.version += 1;
        let mut document: serde_json::Value =
            serde_json::from_str(&self.fleet.world.config(self.version)).expect("JSON");
        let routes = document["routes"].as_array_mut().expect("list");
        let batch = routes.iter().find(|r| r["prefix"] == fleet_world::BATCH_PREFIX);
        let mut open = batch.expect("batch route").clone();
        (open["name"], open["prefix"]) = (json!("open"), json!(OPEN_PREFIX));
        open["noAuth"] = json!(true);
        routes.push(open);
        document["tenants"] =
            json!([{ "name": "a", "apiKeys": keys }, { "name": "b", "apiKeys": ["key-b1"] }]);
        assert_eq!(self.fleet.world.put_config(&document.to_string()).await, 200);
        let (path, begun) = ("/-/lots/unknown", Instant::now());
        while self.status("GET", path, Some(keys[0])).await != 404
            || self.status("GET", path, Some("key-a0")).await != 401
        {
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", self.fleet.world.logs());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a call to the entry. Returns the status, the headers without the date, and the body.
    /// Repeats it as long as the entry responds that it has not run or that the outcome is unknown.
    async fn send(
        &self,
        (method, path): (&str, &str),
        key: Option<&str>,
        id: &str,
        body: &str,
    ) -> (u16, String) {
        let begun = Instant::now();
        loop {
            let mut request = hyper::Request::builder()
                .method(method)
                .uri(path)
                .header("host", fleet_world::ROUTE_HOST)
                .header("x-basilfield-request-id", id);
            if let Some(key) = key {
                request = request.header("authorization", format!("Bearer {key}"));
            }
            let request = request.body(Full::new(Bytes::from(body.to_string()))).expect("request");
            let sent = upstream::Upstream::default().send(self.fleet.entry, request, true).await;
            let mut answer = sent.expect("the entry answers");
            let status = answer.head.status.as_u16();
            let text = answer.read_body(1 << 20).await.expect("body");
            let known = answer.head.headers.iter().filter(|(name, _)| *name != "date");
            let mut headers: Vec<String> = known.map(|(n, v)| format!("{n}: {v:?}")).collect();
            headers.sort();
            if !matches!(status, 503 | 504) {
                return (status, format!("{headers:?} {}", String::from_utf8_lossy(&text)));
            }
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", self.fleet.world.logs());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn call(&self, method: &str, path: &str, key: Option<&str>) -> (u16, String) {
        self.send((method, path), key, "", "").await
    }

    async fn status(&self, method: &str, path: &str, key: Option<&str>) -> u16 {
        self.call(method, path, key).await.0
    }

    /// Submits a job of one item, whose headers name the workspace `b` and a key.
    async fn submit(&self, prefix: &str, job: &str, item: &str, key: Option<&str>) -> u16 {
        use base64::Engine as _;
        let headers = json!({ "X-Basilfield-Tenant": "b", "Authorization": "Bearer of-item" });
        let body = base64::engine::general_purpose::STANDARD.encode(item);
        let path = format!("{prefix}{item}");
        let item = json!({ "id": item, "path": path, "headers": headers, "body": body,
            "tokens": 100 });
        let body = json!({ "items": [item] }).to_string();
        self.send(("POST", &format!("{prefix}{job}")), key, job, &body).await.0
    }

    /// Reads a job until its item has a result. Returns the ids of the results.
    async fn finish(&self, job: &str, key: Option<&str>) -> String {
        let begun = Instant::now();
        loop {
            let results = self.results(job, key).await;
            if !results.is_empty() {
                return results;
            }
            assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", self.fleet.world.logs());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Id and state of the results of a job, or the status if it is not 200.
    async fn results(&self, job: &str, key: Option<&str>) -> String {
        let (status, text) = self.call("GET", &format!("/-/lots/{job}"), key).await;
        if status != 200 {
            return status.to_string();
        }
        let body = text.split_once("] ").expect("body").1;
        let page: serde_json::Value = serde_json::from_str(body).expect("JSON");
        let results = page["results"].as_array().expect("list").iter();
        let result = |r: &serde_json::Value| {
            let is_complete = r["output"] == scripted::item_output();
            format!("{} {}", r["id"].as_str().expect("id"), is_complete)
        };
        results.map(result).collect::<Vec<_>>().join(" ")
    }

    /// Waits until the endpoint has got an item for the given time.
    async fn wait_until_sent(&self, item: &str, times: usize) {
        let sent = || {
            let seen = self.seen.lock().expect("lock");
            seen.iter().filter(|s| s.starts_with(item)).count() >= times
        };
        let limit = fleet_world::WAIT_TIMEOUT;
        assert!(fleet_world::wait_until(limit, sent).await, "{}", self.fleet.world.logs());
    }

    /// What the endpoint got, without repetitions.
    fn seen(&self) -> String {
        let mut seen = self.seen.lock().expect("lock").clone();
        seen.sort();
        seen.dedup();
        seen.join("\n")
    }
}

const KEYS: [Option<&str>; 5] =
    [None, Some("unknown"), Some("key-a1"), Some("key-a2"), Some("key-b1")];

/// Guards against items that carry the workspace or the key that their headers state, against a job
/// that another workspace reads, ends or gets in place of its own, and against a response that tells
/// another workspace that a job exists.
#[test]
fn jobs_belong_to_workspaces() {
    fleet_world::run(async {
        let mut owners = Owners::start().await;
        let batch = fleet_world::BATCH_PREFIX;
        // A job from before the workspaces.
        let mut seen = vec![format!("old {}", owners.submit(batch, "old", "old", None).await)];
        owners.set_keys(&["key-a1", "key-a2"]).await;
        for (n, key) in KEYS.iter().enumerate() {
            let status = owners.submit(batch, "same", &format!("same-{n}"), *key).await;
            seen.push(format!("submit same with {key:?}: {status}"));
        }
        seen.push(format!("open {}", owners.submit(OPEN_PREFIX, "open", "open", None).await));
        seen.push(format!("own {}", owners.submit(batch, "own", "own", Some("key-a1")).await));
        for (job, key) in
            [("old", None), ("open", None), ("own", Some("key-a1")), ("same", Some("key-b1"))]
        {
            owners.finish(job, key).await;
        }
        owners.finish("same", Some("key-a1")).await;
        for job in ["old", "open", "own", "same"] {
            for key in KEYS {
                seen.push(format!("read {job} with {key:?}: {}", owners.results(job, key).await));
            }
        }
        // Two jobs under one id that run, of which one is ended.
        for (item, key) in [("held-a", "key-a1"), ("held-b", "key-b1")] {
            assert_eq!(owners.submit(batch, "held", item, Some(key)).await, 202);
            owners.wait_until_sent(item, 1).await;
        }
        let body = |item: &str| format!("/-/items/held?id={item}");
        for key in KEYS {
            let a = owners.status("GET", &body("held-a"), key).await;
            let b = owners.status("GET", &body("held-b"), key).await;
            seen.push(format!("bodies with {key:?}: {a} {b}"));
        }
        for key in [None, Some("unknown"), Some("key-b1")] {
            let ended = owners.status("DELETE", "/-/lots/held", key).await;
            seen.push(format!("end with {key:?}: {ended}"));
        }
        owners.released.store(true, Ordering::Relaxed);
        seen.push(format!("a {}", owners.finish("held", Some("key-a2")).await));
        seen.push(format!("b {:?}", owners.results("held", Some("key-b1")).await));
        for (method, of_other, unknown) in [
            ("GET", "/-/lots/own", "/-/lots/none"),
            ("GET", "/-/items/own?id=own", "/-/items/none?id=own"),
            ("DELETE", "/-/lots/own", "/-/lots/none"),
        ] {
            for key in [None, Some("key-b1")] {
                let answers = (
                    owners.call(method, of_other, key).await,
                    owners.call(method, unknown, key).await,
                );
                assert_eq!(answers.0, answers.1, "{method} {of_other} with {key:?}");
                seen.push(format!("{method} {of_other} with {key:?}: {}", answers.0.0));
            }
        }
        seen.push(format!("end open {}", owners.status("DELETE", "/-/lots/open", None).await));
        seen.push(owners.seen());
        insta::assert_snapshot!(seen.join("\n"));
        let logs = owners.fleet.world.logs_of(Role::Store);
        assert!(logs.contains("run accepted"), "no run was handed to another host");
        let all = [logs, owners.fleet.world.logs_of(Role::Entry)].concat();
        assert!(KEYS.into_iter().flatten().filter(|k| *k != "unknown").all(|k| !all.contains(k)));
        let names_both =
            |text: &str| ["a", "b"].iter().all(|w| text.contains(&format!("workspace={w}")));
        let explained = owners.fleet.world.explain("held", names_both).await;
        assert!(names_both(&explained), "{explained}");
    });
}

/// Guards against a withdrawn key that stops a job or still reads it, and against a job that loses its
/// workspace when all store hosts restart.
#[test]
fn jobs_outlive_the_key_that_submitted_them() {
    fleet_world::run(async {
        let mut owners = Owners::start().await;
        let batch = fleet_world::BATCH_PREFIX;
        owners.set_keys(&["key-a1"]).await;
        assert_eq!(owners.submit(batch, "held", "held-1", Some("key-a1")).await, 202);
        owners.wait_until_sent("held-1", 1).await;
        owners.set_keys(&["key-a2"]).await;
        let calls = [("GET", "/-/lots/held"), ("GET", "/-/items/held?id=held-1")];
        let mut seen = Vec::new();
        for (method, path) in calls {
            for key in KEYS {
                let status = owners.status(method, path, key).await;
                seen.push(format!("{method} {path} with {key:?}: {status}"));
            }
        }
        let end = owners.status("DELETE", "/-/lots/held", Some("key-a1")).await;
        let again = owners.submit(batch, "held", "held-2", Some("key-a1")).await;
        seen.push(format!("withdrawn key ends: {end}, submits: {again}"));
        let again = owners.submit(batch, "held", "held-2", Some("key-a2")).await;
        seen.push(format!("new key submits again: {again}"));
        assert_eq!(owners.submit(batch, "held", "held-3", Some("key-b1")).await, 202);
        let stores = owners.fleet.world.hosts_of(Role::Store);
        for at in &stores {
            owners.fleet.world.kill(*at);
        }
        let before = owners.seen.lock().expect("lock").len();
        for at in &stores {
            owners.fleet.world.start_host(*at, false);
        }
        for (method, path) in calls {
            for key in KEYS {
                let status = owners.status(method, path, key).await;
                seen.push(format!("after restart, {method} {path} with {key:?}: {status}"));
            }
        }
        owners.released.store(true, Ordering::Relaxed);
        for key in ["key-a2", "key-b1"] {
            seen.push(format!("results with {key}: {}", owners.finish("held", Some(key)).await));
        }
        assert!(owners.seen.lock().expect("lock").len() > before, "no item ran after the restart");
        seen.push(owners.seen());
        insta::assert_snapshot!(seen.join("\n"));
    });
}

//! Quotas of workspaces on real processes: two entries, and store hosts of which one grants credit.

mod fleet_world;

use basilfield::fleet::upstream;
use fleet_world::ROUTE_HOST;
use fleet_world::Role;
use fleet_world::Size;
use fleet_world::World;
use http_body_util::Full;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Keys of three workspaces: one sends more than its quota, one less, and one uses a service without
/// endpoints.
const OVER: &str = "key-of-the-one-over";
const WITHIN: &str = "key-of-the-one-within";
const UNSERVED: &str = "key-of-the-unserved";
/// Quotas (requests a second, burst) of the workspace that sends more.
const QUOTA: (f64, f64) = (4.0, 4.0);
const LOWERED: (f64, f64) = (1.0, 1.0);
/// Time within which a changed quota is in force, and the window of quotas.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
const WINDOW: Duration = Duration::from_secs(5);
/// Time between two requests of a workspace at one entry. The workspace over its quota sends 20 requests
/// a second at two entries.
const INTERVAL: Duration = Duration::from_millis(100);

fn config(world: &World, version: u64, over: (f64, f64)) -> String {
    let mut config: serde_json::Value =
        serde_json::from_str(&world.config(version)).expect("a document");
    let mut empty = config["routes"][4].clone();
    (empty["name"], empty["prefix"], empty["service"]) =
        ("empty".into(), "/empty/".into(), "empty".into());
    config["routes"].as_array_mut().expect("routes").push(empty);
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({ "name": "empty", "maxConns": 200 }));
    let tenant = |name: &str, key: &str, quota: (f64, f64)| {
        json!({ "name": name, "apiKeys": [key], "priority": 0, "ratePerS": quota.0,
            "burst": quota.1 })
    };
    config["tenants"] = json!([
        tenant("over", OVER, over),
        tenant("within", WITHIN, (60.0, 60.0)),
        tenant("unserved", UNSERVED, (1.0, 2.0)),
    ]);
    config.to_string()
}

async fn put(world: &World, version: u64, over: (f64, f64)) {
    let begun = Instant::now();
    while world.put_config(&config(world, version, over)).await != 200 {
        assert!(begun.elapsed() < fleet_world::WAIT_TIMEOUT, "{}", world.logs());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Response to a request.
#[derive(Clone, Copy, Debug)]
struct Response {
    /// Time at which the request was sent.
    begun: Instant,
    /// Time of the response.
    ended: Instant,
    /// Status; 0 if there was none.
    status: u16,
    /// Seconds after which the caller should return.
    retry: Option<f64>,
}

async fn ask(to: SocketAddr, path: &str, key: &str) -> Response {
    let begun = Instant::now();
    let id = path.rsplit('/').next().unwrap_or_default();
    let request = hyper::Request::builder()
        .method("POST")
        .uri(path)
        .header("host", ROUTE_HOST)
        .header("x-basilfield-request-id", id)
        .header("x-basilfield-deadline-ms", "4000")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new("ask".into()))
        .expect("valid request");
    let sent = async {
        let mut answer = upstream::Upstream::default().send(to, request, true).await.ok()?;
        let retry = answer.head.headers.get("retry-after");
        let retry = retry.and_then(|v| v.to_str().ok()?.parse().ok());
        let status = answer.head.status.as_u16();
        answer.read_body(1 << 20).await.ok()?;
        Some((status, retry))
    };
    let timed = tokio::time::timeout(Duration::from_secs(6), sent).await;
    let (status, retry) = timed.ok().flatten().unwrap_or((0, None));
    Response { begun, ended: Instant::now(), status, retry }
}

/// Sends requests of a workspace to each entry at equal intervals until it is dropped.
struct Caller {
    responses: Arc<Mutex<Vec<Response>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Caller {
    fn start(entries: Arc<Vec<SocketAddr>>, key: &'static str) -> Caller {
        let responses = Arc::<Mutex<Vec<Response>>>::default();
        let list = responses.clone();
        let task = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(INTERVAL);
            for n in 0.. {
                ticks.tick().await;
                for (at, to) in entries.iter().enumerate() {
                    let (list, to, path) = (list.clone(), *to, format!("/safe/{key}-{at}-{n}"));
                    tokio::spawn(async move {
                        let response = ask(to, &path, key).await;
                        list.lock().expect("not poisoned").push(response);
                    });
                }
            }
        });
        Caller { responses, task }
    }

    /// Responses to requests that were sent from `from` on.
    fn since(&self, from: Instant) -> Vec<Response> {
        let list = self.responses.lock().expect("not poisoned");
        list.iter().filter(|r| r.begun >= from).copied().collect()
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn count(responses: &[Response], status: u16) -> usize {
    responses.iter().filter(|r| r.status == status).count()
}

/// Most successful responses in a window.
fn most_in_window(responses: &[Response]) -> usize {
    let mut times: Vec<Instant> =
        responses.iter().filter(|r| r.status == 200).map(|r| r.ended).collect();
    times.sort_unstable();
    let in_window =
        |first: &Instant| times.iter().filter(|t| *t >= first && **t < *first + WINDOW).count();
    times.iter().map(in_window).max().unwrap_or(0)
}

fn limit(quota: (f64, f64)) -> usize {
    ((quota.0 * WINDOW.as_secs_f64() + quota.1) * 1.1 + 20.0) as usize
}

/// Link addresses of the owners that the entries have found, in the order of their logs.
fn owners(world: &World) -> Vec<Vec<String>> {
    let of_entry = |at: usize| {
        let log = std::fs::read_to_string(world.log_file(at)).unwrap_or_default();
        let line = |l: &str| {
            let line: serde_json::Value = serde_json::from_str(l).ok()?;
            Some(line["peer"].as_str()?.to_string())
        };
        log.lines().filter(|l| l.contains("owner of quotas found")).filter_map(line).collect()
    };
    world.hosts_of(Role::Entry).into_iter().map(of_entry).collect()
}

/// Guards, on real processes, against:
/// - a workspace over its quota that is served beyond its bound by two entries, also while the granting
///   host is lost, or gets 429 without a time to return;
/// - a workspace within its quota that gets 429, also after a change of owner;
/// - a request refused for lack of endpoints that takes credit;
/// - a lowered quota that is not in force within 2.5 s and one window.
#[test]
fn quotas_on_processes() {
    fleet_world::run(async {
        let size = Size { controls: 3, losses: 1, stores: 3, entries: 2, endpoints: 4 };
        let mut world = World::start(size).await;
        put(&world, 2, QUOTA).await;
        let entries = world.caller_addresses();
        let is_found = || owners(&world).iter().all(|found| !found.is_empty());
        assert!(fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, is_found).await);
        // Entries lend their shares, and buckets fill.
        tokio::time::sleep(Duration::from_secs(4)).await;

        let begun = Instant::now();
        let mut unserved = Vec::new();
        for n in 0..60 {
            let to = entries[n % entries.len()];
            unserved.push(ask(to, &format!("/empty/{n}"), UNSERVED).await);
        }
        let taken = begun.elapsed();
        let served = ask(entries[0], "/safe/unserved", UNSERVED).await;
        let last = unserved.last().expect("sent");
        println!("60 requests without endpoints in {taken:?}: last {last:?}, then {served:?}");
        assert_eq!(count(&unserved, 503), 60, "{unserved:?}\n{}", world.logs());
        assert_eq!(served.status, 200, "{}", world.logs());
        // The quota brings fewer than 60 in this time: 13.3 in the bucket and 1 a second.
        assert!(taken < Duration::from_secs(40), "{taken:?}");

        let over = Caller::start(entries.clone(), OVER);
        let within = Caller::start(entries.clone(), WITHIN);
        let started = Instant::now();
        tokio::time::sleep(Duration::from_secs(6)).await;
        let before = over.since(started);
        assert!(count(&before, 429) > 0 && count(&before, 200) > 20, "{before:?}");
        let without = before.iter().filter(|r| r.status == 429 && r.retry.is_none()).count();
        assert_eq!(without, 0, "{before:?}");
        let kept = within.since(started);
        assert_eq!(count(&kept, 200), kept.len(), "{kept:?}\n{}", world.logs());

        let owner = owners(&world)[0].last().expect("found").clone();
        let at = (0..world.hosts.len()).find(|at| world.link(*at) == owner).expect("a host");
        world.kill(at);
        let killed = Instant::now();
        let is_replaced = || owners(&world).iter().all(|f| f.last() != Some(&owner));
        assert!(fleet_world::wait_until(fleet_world::WAIT_TIMEOUT, is_replaced).await);
        let found = killed.elapsed();
        tokio::time::sleep(Duration::from_secs(4)).await;
        let kept = within.since(killed);
        let refused = kept.iter().filter(|r| r.status != 200).count();
        println!("owner killed: next found after {found:?}; {refused} of {} refused", kept.len());
        assert_eq!(count(&kept, 429), 0, "{kept:?}");
        // Two seconds after the change, all are admitted.
        let late = within.since(killed + found + Duration::from_secs(2));
        assert_eq!(count(&late, 200), late.len(), "{late:?}\n{}", world.logs());

        put(&world, 3, LOWERED).await;
        let changed = Instant::now();
        tokio::time::sleep(APPLY_TIME + WINDOW + WINDOW).await;
        let all = over.since(started);
        let lowered = over.since(changed + APPLY_TIME + WINDOW);
        let most = (most_in_window(&all), most_in_window(&lowered));
        println!("most in a window: {most:?} of {:?}", (limit(QUOTA), limit(LOWERED)));
        assert!(most.0 <= limit(QUOTA), "{most:?}");
        assert!(most.1 <= limit(LOWERED), "{most:?}");
        // A window beyond the change brings what the lowered rate brings, and little more.
        assert!(count(&lowered, 200) <= 10, "{}", count(&lowered, 200));
        assert!(count(&lowered, 429) > 0, "{lowered:?}");
    });
}

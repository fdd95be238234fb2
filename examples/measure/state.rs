//! Measurements of the state hosts.

use crate::workdir;
use basilfield::client;
use basilfield::jobs;
use futures_util::StreamExt as _;
use serde_json::Value;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;
use workdir::Fleet;
use workdir::block_on;

/// Maximum time for one command to commit.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of each item body and each result in bytes.
const BODY_BYTES: usize = 300;

/// Returns the total size of the files below `path`, in bytes.
fn folder_bytes(path: &Path) -> u64 {
    let entries = std::fs::read_dir(path).map(|e| e.flatten().collect()).unwrap_or_default();
    let entries: Vec<std::fs::DirEntry> = entries;
    let size = |e: &std::fs::DirEntry| match e.metadata() {
        Ok(m) if m.is_dir() => folder_bytes(&e.path()),
        Ok(m) => m.len(),
        Err(_) => 0,
    };
    entries.iter().map(size).sum()
}

/// Submits a job directly to the state hosts and returns its id.
async fn submit_job(client: &client::Client, key: &str, items: u32) -> String {
    let open = jobs::Command::Open {
        workspace: "tailors".into(),
        key: key.into(),
        digest: 1,
        // No endpoint serves this model, so only this program completes items.
        model: "measured".into(),
        due: 3_600_000,
        total: items,
    };
    let job = jobs::group_of("tailors", key, 1);
    assert_eq!(job, 1, "the fleet has one job group");
    let reply = propose(client, &open).await;
    let jobs::Reply::Opened { job, .. } = reply else { panic!("not opened: {reply:?}") };
    let all: Vec<u32> = (0..items).collect();
    for (seq, chunk) in (0..).zip(all.chunks(1_000)) {
        let item = |at: &u32| jobs::message::NewItem {
            custom_id: format!("item-{at}").into(),
            body: vec![b'x'; BODY_BYTES].into(),
        };
        let items = chunk.iter().map(item).collect();
        propose(client, &jobs::Command::Chunk { job: job.clone(), seq, items }).await;
    }
    propose(client, &jobs::Command::Seal { job: job.clone() }).await;
    job.to_string()
}

async fn propose(client: &client::Client, command: &jobs::Command) -> jobs::Reply {
    let applied = client
        .propose(1, jobs::encode(command), COMMAND_TIMEOUT)
        .await
        .expect("the command commits");
    jobs::Reply::decode(&applied.reply).expect("the reply decodes")
}

async fn complete_item(client: &client::Client, job: &str, item: u32) -> Duration {
    let command = jobs::Command::Complete {
        job: job.into(),
        item,
        attempt: 1,
        outcome: jobs::message::ItemOutcome::Done(vec![b'y'; BODY_BYTES].into()),
    };
    let started = Instant::now();
    let reply = propose(client, &command).await;
    assert_eq!(reply, jobs::Reply::Completed);
    started.elapsed()
}

async fn complete_all(client: &client::Client, job: &str, items: u32, flight: usize) {
    let started = Instant::now();
    let mut times: Vec<Duration> = futures_util::stream::iter(0..items)
        .map(|item| complete_item(client, job, item))
        .buffer_unordered(flight)
        .collect()
        .await;
    let elapsed = started.elapsed();
    times.sort();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "{items} completions with {flight} in flight in {elapsed:.2?}: {:.0}/s, p50 {:.1?}, p99 {:.1?}",
        f64::from(items) / elapsed.as_secs_f64(),
        quantile(0.5),
        quantile(0.99)
    );
}

/// Measures committed item completions per second, and the memory, disk and processor time of the
/// state hosts.
pub fn commits(args: &crate::Commits) {
    let fleet = Fleet::start(workdir::Size { states: 3, entries: 1, agents: 0 });
    let client = fleet.state_client("measure");
    let hosts = ["state-0", "state-1", "state-2"];
    let memory = || hosts.map(|h| fleet.memory(h) / 1024);
    let disk = || hosts.map(|h| folder_bytes(&fleet.path(&format!("{h}-data"))) / 1024);
    let cpu = || hosts.map(|h| fleet.cpu_time(h));
    println!("before: memory {:?} KiB, disk {:?} KiB", memory(), disk());
    block_on(async {
        let job = submit_job(&client, "measure", args.items).await;
        println!("queued: memory {:?} KiB, disk {:?} KiB", memory(), disk());
        let before = cpu();
        complete_all(&client, &job, args.items, args.flight).await;
        let used: Vec<f64> = cpu()
            .iter()
            .zip(before)
            .map(|(after, before)| (*after - before).as_secs_f64() * 1e6 / f64::from(args.items))
            .collect();
        println!("processor time per commit: {used:.0?} us");
    });
    println!("finished: memory {:?} KiB, disk {:?} KiB", memory(), disk());
}

/// Applies a workspace through entry 0. Returns whether the change was accepted.
fn put_workspace(fleet: &Fleet, id: &str, name: &str) -> bool {
    // Needs a new client: `block_on` starts a new runtime, and pooled connections end with the old
    // one.
    let client = fleet.client(0, workdir::OPERATOR_KEY);
    let hash = basilfield::entry::auth::hash_key(name);
    let fill = json!([{ "template": "workspace", "parameters":
        [format!("name={name}"), format!("keys={hash}")] }]);
    let body = json!({ "id": id, "expected": null, "fill": fill });
    match block_on(client.post("/admin/apply", &body)) {
        Ok(answer) if answer.is_ok() => true,
        Ok(answer) => {
            eprintln!("change {id}: {}", answer.json());
            false
        }
        Err(error) => {
            eprintln!("change {id}: {error}");
            false
        }
    }
}

/// Returns the leader of the group if it has contact with all three hosts.
fn find_leader(status: &Value, group: u64) -> Option<String> {
    let hosts = status["state"].as_array()?;
    let leads = |host: &&Value| {
        let groups = host["groups"].as_array();
        groups.is_some_and(|g| {
            g.iter().any(|g| g["group"] == group && g["role"] == "leader" && g["live"] == 3)
        })
    };
    hosts.iter().find(leads).and_then(|h| h["host"].as_str()).map(str::to_string)
}

/// Measures the time from kill -9 of the leader of group 0 to the next accepted change.
pub fn failover(args: &crate::Failover) {
    let mut fleet = Fleet::start(workdir::Size { states: 3, entries: 1, agents: 0 });
    let mut times = Vec::new();
    for round in 0..args.rounds {
        let mut found = None;
        fleet.wait_until("group 0 is complete", || {
            found = find_leader(&fleet.status(0), 0);
            found.is_some()
        });
        let host = found.expect("group 0 has a leader");
        fleet.kill(&host);
        let started = Instant::now();
        while !put_workspace(&fleet, &format!("round-{round}"), &format!("w{round}")) {
            assert!(
                started.elapsed() < workdir::CONDITION_TIMEOUT,
                "no change accepted after a kill"
            );
        }
        times.push(started.elapsed());
        let number =
            host.trim_start_matches("state-").parse().expect("the host name ends with a number");
        fleet.start_state(number);
    }
    times.sort();
    println!("until a change is accepted after kill -9 of the leader: {times:.2?}");
}

/// Measures the time from the acceptance of a change until it is in force at every entry.
pub fn force(args: &crate::Force) {
    let fleet = Fleet::start(workdir::Size { states: 3, entries: args.entries, agents: 0 });
    let operator = fleet.client(0, workdir::OPERATOR_KEY);
    let mut times = Vec::new();
    block_on(async {
        for change in 0..args.changes {
            let name = format!("w{change}");
            let hash = basilfield::entry::auth::hash_key(&name);
            let fill = json!([{ "template": "workspace", "parameters":
                [format!("name={name}"), format!("keys={hash}")] }]);
            let body = json!({ "id": name, "expected": null, "fill": fill });
            let answer = operator.post("/admin/apply", &body).await.expect("the entry answers");
            assert!(answer.is_ok(), "{}", answer.json());
            let accepted = Instant::now();
            // An entry accepts the new caller key as soon as the change is in force there.
            let entries = (0..args.entries).map(|at| wait_in_force(fleet.client(at, &name)));
            futures_util::future::join_all(entries).await;
            times.push(accepted.elapsed());
        }
    });
    times.sort();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "{} changes at {} entries: in force everywhere p50 {:.1?}, p99 {:.1?}, most {:.1?}",
        args.changes,
        args.entries,
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

async fn wait_in_force(client: basilfield::api::Client) {
    while !client.get("/v1/models").await.is_ok_and(|a| a.is_ok()) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Measures the time until a killed state host serves again.
pub fn restart(args: &crate::Restart) {
    let mut fleet = Fleet::start(workdir::Size { states: 1, entries: 1, agents: 0 });
    for change in 0..args.changes {
        assert!(put_workspace(&fleet, &format!("c{change}"), &format!("w{}", change % 100)));
    }
    let client = fleet.state_client("measure");
    let job = block_on(async {
        let job = submit_job(&client, "measure", args.items).await;
        complete_all(&client, &job, args.items / 2, 512).await;
        job
    });
    let disk = folder_bytes(&fleet.path("state-0-data")) / 1024;
    fleet.kill("state-0");
    let started = Instant::now();
    fleet.start_state(0);
    let client = fleet.state_client("again");
    let query = jobs::encode(&jobs::Query::Job { job: job.as_str().into() });
    block_on(async {
        while client.query(1, query.clone(), Duration::from_secs(1)).await.is_err() {
            assert!(started.elapsed() < workdir::CONDITION_TIMEOUT, "state host does not serve");
        }
    });
    println!(
        "{} items, {} changes, {disk} KiB on disk: serves again after {:.2?}",
        args.items,
        args.changes,
        started.elapsed()
    );
}

//! Measures online latency and batch throughput on emulated engines: each alone, both without
//! priority, and both under each policy trade.

use crate::workdir;
use serde_json::Value;
use serde_json::json;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;
use workdir::Fleet;
use workdir::block_on;

/// Items in the batch backlog, more than an arm can finish.
const BACKLOG_ITEMS: usize = 60_000;
/// Tokens of a batch item.
const ITEM_TOKENS: u32 = 100;

/// One configuration of the comparison.
struct Arm {
    name: &'static str,
    online: bool,
    batch: bool,
    priority: bool,
    trade: &'static str,
}

const ARMS: [Arm; 5] = [
    Arm { name: "online alone", online: true, batch: false, priority: true, trade: "tail" },
    Arm { name: "batch alone", online: false, batch: true, priority: true, trade: "throughput" },
    Arm { name: "no priority", online: true, batch: true, priority: false, trade: "tail" },
    Arm { name: "tail", online: true, batch: true, priority: true, trade: "tail" },
    Arm { name: "throughput", online: true, batch: true, priority: true, trade: "throughput" },
];

/// Runs each arm on its own fleet and prints a table.
pub fn run_arms(args: &crate::Arms) {
    println!(
        "arm | first p50/p95/p99 ms | gap p50/p95/p99 ms | refused, failed | items/s | preempted"
    );
    for arm in &ARMS {
        println!("{} | {}", arm.name, measure(args, arm));
    }
}

fn measure(args: &crate::Arms, arm: &Arm) -> String {
    let mut fleet = Fleet::prepare(1);
    fleet.priority = arm.priority;
    let fleet =
        fleet.start_processes(workdir::Size { states: 1, entries: 2, agents: args.endpoints });
    fleet.create_workspace();
    set_policy(&fleet, arm.trade);
    let job = arm.batch.then(|| submit_backlog(&fleet));
    // The backlog fills the engines before the measurement begins.
    std::thread::sleep(Duration::from_secs(3));
    let before = job.as_ref().map_or(0, |job| finished_items(&fleet, job));
    let started = Instant::now();
    let report = match arm.online {
        true => run_load(&fleet, args),
        false => {
            std::thread::sleep(Duration::from_secs(args.seconds));
            Value::Null
        }
    };
    let after = job.as_ref().map_or(0, |job| finished_items(&fleet, job));
    let rate = (after - before) as f64 / started.elapsed().as_secs_f64();
    let format_quantiles = |v: &Value| format!("{} / {} / {}", v["p50"], v["p95"], v["p99"]);
    let system = &report;
    format!(
        "{} | {} | {}, {} | {rate:.1} | {}",
        format_quantiles(&system["first_token_ms"]),
        format_quantiles(&system["between_tokens_ms"]),
        system["refusals"],
        system["failures"],
        preemptions(&fleet, args.endpoints),
    )
}

fn set_policy(fleet: &Fleet, trade: &str) {
    let parameters = ["name=fleet".to_string(), format!("trade={trade}"), "floor=3".to_string()];
    let fill = json!([{ "template": "policy", "parameters": parameters }]);
    let body = json!({ "id": "policy", "expected": null, "fill": fill });
    let answer = block_on(fleet.client(0, workdir::OPERATOR_KEY).post("/admin/apply", &body));
    let answer = answer.expect("the entry answers");
    assert!(answer.is_ok(), "{}", answer.json());
}

fn submit_backlog(fleet: &Fleet) -> String {
    let file = fleet.write_job_file(BACKLOG_ITEMS, ITEM_TOKENS);
    let words = ["submit", file.to_str().expect("the path is UTF-8"), "--model", "badges"];
    let output = fleet.command(0, workdir::CALLER_KEY, &words).output().expect("command runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("the output is UTF-8").trim().to_string()
}

fn finished_items(fleet: &Fleet, job: &str) -> u64 {
    let client = fleet.client(0, workdir::CALLER_KEY);
    let answer = block_on(client.get(&format!("/v1/jobs/{job}"))).expect("the entry answers");
    answer.json()["done"].as_u64().expect("the job has a count `done`")
}

fn run_load(fleet: &Fleet, args: &crate::Arms) -> Value {
    let mut load = Command::new(workdir::example("load"));
    load.args(["--key", workdir::CALLER_KEY, "--model", workdir::MODEL, "--json"])
        .args(["--pattern", "bursty", "--on-s", "2", "--off-s", "3", "--answer", "20-100"])
        .args(["--rate", &(args.rate * args.endpoints as u32).to_string()])
        .args(["--duration-s", &args.seconds.to_string()]);
    for entry in 0..2 {
        load.args(["--target", &fleet.entry(entry).to_string()]);
    }
    let output = load.output().expect("load program runs");
    serde_json::from_slice(&output.stdout).expect("report is JSON")
}

/// Returns the number of streams cancelled at the engines. An agent preempts a batch stream by
/// cancelling it.
fn preemptions(fleet: &Fleet, endpoints: usize) -> u64 {
    let count = |at: usize| {
        let client = basilfield::api::Client::new(&format!("http://{}", fleet.engine(at)), "");
        let answer = block_on(client.get("/stats")).expect("the engine answers /stats");
        answer.json()["cancelled"].as_u64().unwrap_or_default()
    };
    (0..endpoints).map(count).sum()
}

//! End-to-end tests of state host, entries and agents as separate processes.

mod workdir;

use serde_json::Value;
use serde_json::json;
use std::process::Stdio;
use std::time::Duration;
use workdir::Fleet;
use workdir::block_on;
use workdir::online::chat_body;
use workdir::online::expected_text;
use workdir::online::streamed_text;

/// Guards against requests that are lost or cut off between the processes. Covers streaming and
/// non-streaming answers through both entries, a batch job with one result per item, and graceful
/// stops, one of them during a stream.
#[test]
fn online_and_batch_through_separate_processes() {
    let mut fleet = Fleet::start(workdir::Size { states: 1, entries: 2, agents: 2 });
    fleet.create_workspace();
    for entry in 0..2 {
        let client = fleet.client(entry, workdir::CALLER_KEY);
        let whole = block_on(client.post("/v1/chat/completions", &chat_body("thread", 12, false)));
        let whole = whole.expect("answer").json();
        assert_eq!(
            whole["choices"][0]["message"]["content"],
            expected_text("thread", 12),
            "{whole}"
        );
        let stream =
            block_on(client.post("/v1/chat/completions", &chat_body("underlay", 12, true)));
        let stream = stream.expect("answer");
        let body = String::from_utf8(stream.body.to_vec()).expect("text");
        assert_eq!(streamed_text(&body), (expected_text("underlay", 12), true), "{body}");
    }

    let file = fleet.write_job_file(60, 24);
    let file = file.to_str().expect("path");
    let submit = ["submit", file, "--model", "badges", "--wait", "--json"];
    let mut submit = fleet.command(1, workdir::CALLER_KEY, &submit);
    let submitted = submit.stdout(Stdio::piped()).spawn().expect("command starts");

    // The entry is stopped while an answer is streaming through it.
    std::thread::sleep(Duration::from_millis(300));
    let client = fleet.client(0, workdir::CALLER_KEY);
    let streaming = std::thread::spawn(move || {
        block_on(client.post("/v1/chat/completions", &chat_body("border", 80, true)))
    });
    std::thread::sleep(Duration::from_millis(300));
    assert!(fleet.stop("entry-0"), "entry stops gracefully: {}", fleet.log("entry-0"));
    let stream = streaming.join().expect("thread").expect("answer");
    let body = String::from_utf8(stream.body.to_vec()).expect("text");
    assert_eq!(streamed_text(&body), (expected_text("border", 80), true));

    let output = submitted.wait_with_output().expect("command ends");
    let job: Value = serde_json::from_slice(&output.stdout).expect("job is JSON");
    assert_eq!((&job["done"], &job["failed"]), (&json!(60), &json!(0)), "{job}");
    let name = job["job"].as_str().expect("name").to_string();
    let results = fleet.command(1, workdir::CALLER_KEY, &["results", &name]).output();
    let lines = String::from_utf8(results.expect("command runs").stdout).expect("text");
    let custom_ids: Vec<Value> = lines
        .lines()
        .map(|l| serde_json::from_str::<Value>(l).expect("result is JSON")["custom_id"].clone())
        .collect();
    let all: Vec<Value> = (0..60).map(|at| json!(format!("item-{at}"))).collect();
    assert_eq!(custom_ids, all);

    for name in ["agent-0", "agent-1", "entry-1", "state-0"] {
        assert!(fleet.stop(name), "{name} stops gracefully: {}", fleet.log(name));
    }
}

/// Guards against state that is kept only in memory: the configuration and the results of a job
/// must survive a restart of the only state host.
#[test]
fn configuration_and_results_survive_a_restart() {
    let mut fleet = Fleet::start(workdir::Size { states: 1, entries: 1, agents: 1 });
    fleet.create_workspace();
    let file = fleet.write_job_file(5, 4);
    let arguments =
        ["submit", file.to_str().expect("path"), "--model", "badges", "--wait", "--json"];
    let output = fleet.command(0, workdir::CALLER_KEY, &arguments).output().expect("command runs");
    let job: Value = serde_json::from_slice(&output.stdout).expect("job is JSON");
    fleet.kill("state-0");
    fleet.start_state(0);
    let path = format!("/v1/jobs/{}", job["job"].as_str().expect("name"));
    let client = fleet.client(0, workdir::CALLER_KEY);
    fleet.wait_until("job is readable again", || {
        block_on(client.get(&path)).is_ok_and(|a| a.is_ok() && a.json()["done"] == 5)
    });
    // Submitting the same file again must find the same job.
    let output = fleet.command(0, workdir::CALLER_KEY, &arguments).output().expect("command runs");
    let again: Value = serde_json::from_slice(&output.stdout).expect("job is JSON");
    assert_eq!(again["job"], job["job"]);
}

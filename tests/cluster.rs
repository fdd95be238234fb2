//! Three state hosts as processes: lost leaders, lost disks, frozen hosts.

mod workdir;

use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use std::process::Stdio;
use std::time::Duration;
use workdir::Fleet;
use workdir::block_on;

const FLEET_SIZE: workdir::Size = workdir::Size { states: 3, entries: 1, agents: 2 };

/// State of a group's replica on a host, from the status of an entry.
fn replica(status: &Value, host: &str, group: u64) -> Value {
    let hosts = status["state"].as_array().cloned().unwrap_or_default();
    let host = hosts.into_iter().find(|h| h["host"] == host).unwrap_or_default();
    let groups = host["groups"].as_array().cloned().unwrap_or_default();
    groups.into_iter().find(|g| g["group"] == group).unwrap_or_default()
}

/// Waits until a group has a leader and three voters, `live` of them live. Returns the leader's
/// host.
fn wait_for_leader(fleet: &Fleet, group: u64, live: u64) -> String {
    let mut leader = String::new();
    fleet.wait_until("group has a leader and its voters are live", || {
        let status = fleet.status(0);
        let found = (0..3).map(|at| format!("state-{at}")).find(|host| {
            let replica = replica(&status, host, group);
            replica["role"] == "leader" && replica["live"] == live && replica["voters"] == 3
        });
        leader = found.unwrap_or_default();
        !leader.is_empty()
    });
    leader
}

/// Changes the token limit of the assistant. Returns the HTTP status; 0 without an answer.
fn apply_tokens(fleet: &Fleet, id: &str, tokens: u32) -> u16 {
    let tokens = format!("tokens={tokens}");
    let model = format!("model={}", workdir::MODEL);
    let fill = json!([{ "template": "assistant", "parameters":
        ["name=advisor", "workspace=tailors", model, tokens] }]);
    let body = json!({ "id": id, "expected": null, "fill": fill });
    block_on(fleet.client(0, workdir::OPERATOR_KEY).post("/admin/apply", &body))
        .map_or(0, |a| a.status)
}

/// Returns the token limit of the assistant.
fn applied_tokens(fleet: &Fleet) -> Value {
    let answer =
        block_on(fleet.client(0, workdir::READER_KEY).get("/admin/documents/assistant/advisor"));
    answer.map_or(Value::Null, |a| {
        a.json()["document"]["stored"]["document"]["body"]["assistant"]["tokens"].clone()
    })
}

/// Guards against items that are lost or answered twice when the leader of their group is lost
/// right after it acknowledged work.
#[test]
fn killed_leader_during_a_job() {
    let mut fleet = Fleet::start(FLEET_SIZE);
    fleet.create_workspace();
    let leader = wait_for_leader(&fleet, 1, 3);
    let file = fleet.write_job_file(300, 16);
    let words = ["submit", file.to_str().expect("path"), "--model", "badges", "--wait", "--json"];
    let mut submit = fleet.command(0, workdir::CALLER_KEY, &words);
    let submitted = submit.stdout(Stdio::piped()).spawn().expect("command starts");
    std::thread::sleep(Duration::from_millis(900));
    fleet.kill(&leader);
    let output = submitted.wait_with_output().expect("command ends");
    let job: Value = serde_json::from_slice(&output.stdout).expect("job is JSON");
    assert_eq!((&job["done"], &job["failed"]), (&json!(300), &json!(0)), "{job}");
    let name = job["job"].as_str().expect("name");
    let results = fleet.command(0, workdir::CALLER_KEY, &["results", name]).output();
    let text = String::from_utf8(results.expect("command runs").stdout).expect("text");
    assert_eq!(text.lines().count(), 300);
}

/// Guards against a repair that is reported complete too early: a second host is lost right after
/// the repair of the first, and accepted changes must not be lost.
#[test]
fn second_host_lost_right_after_a_repair() {
    let mut fleet = Fleet::start(FLEET_SIZE);
    fleet.create_workspace();
    wait_for_leader(&fleet, 0, 3);
    let before = replica(&fleet.status(0), "state-2", 0)["id"].clone();
    fleet.kill("state-2");
    std::fs::remove_dir_all(fleet.path("state-2-data")).expect("data folder is removed");
    assert_eq!(apply_tokens(&fleet, "during", 100), 200, "two of three hosts accept changes");
    fleet.start_state(2);
    fleet.wait_until("the lost replica is replaced", || {
        let status = fleet.status(0);
        let replaced = |group| {
            let replica = replica(&status, "state-2", group);
            replica["role"] == "follower" && replica["voters"] == 3 && replica["learners"] == 0
        };
        let new = replica(&status, "state-2", 0)["id"] != before;
        new && replaced(0) && replaced(1)
    });
    let leader = wait_for_leader(&fleet, 0, 3);
    let lost = if leader == "state-2" { "state-0" } else { &leader };
    fleet.kill(lost);
    fleet.wait_until("the other two accept changes", || apply_tokens(&fleet, "after", 101) == 200);
    fleet.wait_until("the change is in force", || applied_tokens(&fleet) == 101);
}

/// Guards against a leader that was frozen and resumes with outdated state: a change that was
/// accepted meanwhile must stay in force.
#[test]
fn frozen_leader_does_not_revert_a_change() {
    let fleet = Fleet::start(FLEET_SIZE);
    fleet.create_workspace();
    let leader = wait_for_leader(&fleet, 0, 3);
    assert_eq!(apply_tokens(&fleet, "first", 50), 200);
    fleet.signal(&leader, Signal::STOP);
    fleet.wait_until("a new leader accepts changes", || apply_tokens(&fleet, "second", 51) == 200);
    fleet.signal(&leader, Signal::CONT);
    wait_for_leader(&fleet, 0, 3);
    for _ in 0..20 {
        assert_eq!(applied_tokens(&fleet), 51);
        std::thread::sleep(Duration::from_millis(50));
    }
    // A resend of the older change gets its old answer and changes nothing.
    assert_eq!(apply_tokens(&fleet, "first", 50), 200);
    assert_eq!(applied_tokens(&fleet), 51);
}

//! Commands of operators and callers: messages and exit codes, also after mistakes.

mod workdir;

use basilfield::entry::auth;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;
use workdir::Fleet;

const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
/// Longest duration of `status` without a quorum, far below the 30 s timeout of the command.
const STATUS_LIMIT: Duration = Duration::from_secs(15);
const ENDPOINT: &str = "agent-0.engine";

fn text(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    String::from_utf8_lossy(out).into_owned() + &String::from_utf8_lossy(err)
}

/// Runs a command with a key and checks its exit code and that it prints every one of `parts`.
fn check(fleet: &Fleet, key: &str, words: &[&str], code: i32, parts: &[&str]) -> String {
    let output = fleet.command(0, key, words).output().expect("command runs");
    let text = text(&output);
    assert_eq!(output.status.code(), Some(code), "{words:?}: {text}");
    for part in parts {
        assert!(text.contains(part), "{words:?} prints {part:?}: {text}");
    }
    text
}

fn operator(fleet: &Fleet, words: &[&str], code: i32, parts: &[&str]) -> String {
    check(fleet, workdir::OPERATOR_KEY, words, code, parts)
}

fn caller(fleet: &Fleet, words: &[&str], code: i32, parts: &[&str]) -> String {
    check(fleet, workdir::CALLER_KEY, words, code, parts)
}

/// Guards against wrong or unclear messages and wrong exit codes for every mistake that
/// `docs/OPERATIONS.md` describes. All checks share one fleet.
#[test]
fn answers_and_exit_codes() {
    let fleet = Fleet::start(workdir::Size { states: 1, entries: 1, agents: 1 });
    fleet.create_workspace();
    check_changes(&fleet);
    check_withdrawals(&fleet);
    check_drains(&fleet);
    check_keys_and_addresses(&fleet);
    check_submissions(&fleet);
    check_cancellations(&fleet);
    check_job_pages(&fleet);
}

fn check_changes(fleet: &Fleet) {
    let unknown = ["apply", "worksapce", "name=x"];
    let template = "no template is called \"worksapce\"; the templates are workspace, assistant";
    operator(fleet, &unknown, FAILED, &[template, "nothing was changed"]);
    let wrong = ["apply", "workspace", "name=osu counter", "keys=abc", "rate=0", "rte=5"];
    let problems = ["name = osu counter", "keys = abc", "rate = 0", "perhaps rate is meant"];
    operator(fleet, &wrong, FAILED, &problems);
    operator(fleet, &["apply"], USAGE, &["name a template or give --file"]);

    let before = fleet.status(0)["configuration"]["revision"].to_string();
    let hash = format!("keys={}", auth::hash_key("osu"));
    let change = ["apply", "workspace", "name=osu", &hash, "--id", "day-1"];
    let first = operator(fleet, &change, DONE, &["accepted at revision"]);
    assert_eq!(operator(fleet, &change, DONE, &[]), first, "a repeated change gets its answer");
    let other = ["apply", "workspace", "name=osu", &hash, "rate=30", "--id", "day-1"];
    operator(fleet, &other, FAILED, &["already used with other content (day-1 by ama"]);
    let same = ["apply", "workspace", "name=osu", &hash];
    operator(fleet, &same, DONE, &["unchanged at revision", "already has this content"]);
    let raced = ["apply", "workspace", "name=osu", &hash, "rate=30", "--expected", &before];
    operator(fleet, &raced, FAILED, &["another change came first (day-1 by ama at revision"]);
    let history = operator(fleet, &["history"], DONE, &["day-1  by ama  create workspace/osu"]);
    assert!(!history.contains('{'), "history is for people to read: {history}");
}

fn check_withdrawals(fleet: &Fleet) {
    let users = "workspace/tailors is in use by assistant/advisor, batch-plan/badges";
    let refused = operator(fleet, &["withdraw", "workspace/tailors"], FAILED, &[users]);
    assert!(!refused.contains("refused: refused") && !refused.contains(": refused: "), "{refused}");
    operator(fleet, &["withdraw"], USAGE, &["KIND/NAME"]);
    operator(fleet, &["withdraw", "workspace"], FAILED, &["write KIND/NAME"]);
    operator(fleet, &["withdraw", "workspace/osu"], DONE, &["accepted at revision"]);
    operator(fleet, &["withdraw", "workspace/osu"], FAILED, &["does not exist; it was withdrawn"]);
    operator(fleet, &["history"], DONE, &["withdraw workspace/osu"]);
}

fn check_drains(fleet: &Fleet) {
    operator(fleet, &["drain", ENDPOINT, "--id", "d1"], DONE, &["accepted at revision"]);
    operator(fleet, &["status"], DONE, &["agent-0.engine: draining"]);
    operator(fleet, &["drain", ENDPOINT], DONE, &["already draining (d1 by ama at revision"]);
    operator(fleet, &["drain", "agent-0.engin"], FAILED, &["similar: agent-0.engine"]);
    operator(fleet, &["drain", "agent-0"], FAILED, &["is an agent; its endpoints are"]);
    operator(fleet, &["resume", ENDPOINT], DONE, &["this undoes an earlier operation (d1 by ama"]);
    operator(fleet, &["resume", ENDPOINT], DONE, &["is not draining; it was resumed"]);
    operator(fleet, &["history", "--operations"], DONE, &["drain agent-0.engine"]);
    operator(fleet, &["drain"], USAGE, &["endpoint"]);
}

fn check_keys_and_addresses(fleet: &Fleet) {
    let drain = ["drain", ENDPOINT];
    check(fleet, "wrong", &drain, FAILED, &["no operator has this key", "BASILFIELD_KEY"]);
    check(fleet, "", &drain, FAILED, &["the request has no key", "BASILFIELD_KEY"]);
    check(fleet, workdir::READER_KEY, &drain, FAILED, &["kofi may read only"]);
    check(fleet, workdir::READER_KEY, &["status"], DONE, &["configuration: revision"]);
    let closed = format!("http://{}", workdir::free_tcp());
    for (url, message) in [(&*closed, "refused"), ("127.0.0.1:8080", "must begin with http://")] {
        let mut command = std::process::Command::new(workdir::binary());
        let output = command.args(["status", "--url", url, "--key", "x"]).output();
        let output = output.expect("command runs");
        assert_eq!(output.status.code(), Some(FAILED));
        let text = text(&output);
        assert!(text.contains(message) && !text.contains("connection lost"), "{text}");
    }
}

fn check_submissions(fleet: &Fleet) {
    let file = fleet.write_job_file(3, 2);
    let file = file.to_str().expect("path");
    let submit = ["submit", file, "--model", "badges"];
    let job = caller(fleet, &submit, DONE, &[]);
    assert_eq!(caller(fleet, &submit, DONE, &[]), job, "the same file is the same job");
    let other = ["submit", file, "--model", "needle-xl"];
    caller(fleet, &other, FAILED, &["submitted for another model"]);
    let named = ["submit", file, "--model", "badges", "--job-key", "week-1"];
    assert_ne!(caller(fleet, &named, DONE, &[]), job, "a new key is a new job");

    let path = fleet.path("other.jsonl");
    let lines = std::fs::read_to_string(file).expect("job file");
    std::fs::write(&path, lines.replace("badge 0", "badge 9")).expect("job file");
    let path = path.to_str().expect("path");
    let changed = ["submit", path, "--model", "badges", "--job-key", "week-1"];
    caller(fleet, &changed, FAILED, &["used before with other content", "give another"]);
    std::fs::write(path, format!("{lines}\n{lines}")).expect("job file");
    let twice = "custom id \"item-0\" is on line 1 and on line 4";
    caller(fleet, &["submit", path, "--model", "badges"], FAILED, &[twice]);
    std::fs::write(path, "\n").expect("job file");
    caller(fleet, &["submit", path, "--model", "badges"], FAILED, &["has no requests"]);
    let due = ["submit", file, "--model", "badges", "--due", "2592001"];
    caller(fleet, &due, USAGE, &["at most 2592000 seconds"]);
}

fn check_cancellations(fleet: &Fleet) {
    // A job of a model without an endpoint cannot finish before it is cancelled.
    let file = fleet.write_job_file(4, 2);
    let file = file.to_str().expect("path");
    let submit = ["submit", file, "--model", "absent-llm"];
    let job = caller(fleet, &submit, DONE, &[]);
    let job = job.trim();
    caller(fleet, &["cancel", job, "--id", "c1"], DONE, &["is cancelled"]);
    caller(fleet, &["cancel", job, "--id", "c1"], DONE, &["is cancelled"]);
    caller(fleet, &["jobs", job], DONE, &["cancelled", "0 of 4 done"]);
    // No further item of a cancelled job runs, so submitting it again must fail.
    caller(fleet, &submit, FAILED, &["was cancelled", "--job-key"]);
    caller(fleet, &["cancel", "no-such-job"], FAILED, &["has no job of this name"]);
}

/// Guards against jobs that are missing or repeated when a list is read in pages of one job.
fn check_job_pages(fleet: &Fleet) {
    let client = fleet.client(0, workdir::CALLER_KEY);
    let names = |path: &str| -> (Vec<String>, bool) {
        let answer = workdir::block_on(client.get(path)).expect("answer").json();
        let jobs = answer["jobs"].as_array().expect("jobs").iter();
        let names = jobs.map(|j| j["job"].as_str().expect("name").to_string()).collect();
        (names, answer["more"] == true)
    };
    let (all, more) = names("/v1/jobs");
    assert!(all.len() > 2 && !more, "{all:?}");
    let (mut paged, mut more) = names("/v1/jobs?limit=1");
    while more && paged.len() <= all.len() {
        let last = paged.last().expect("a page before the last has a job");
        let (page, rest) = names(&format!("/v1/jobs?limit=1&after={last}"));
        paged.extend(page);
        more = rest;
    }
    assert_eq!(paged, all);
    let unknown = ["jobs", "--after", "0123456789abcdef0123456789abcdef"];
    caller(fleet, &unknown, FAILED, &["(404)", "has no job of this name"]);
}

/// Guards against a `status` that fails completely while the state hosts have no quorum, when
/// operators need it most, and against a change with an unknown outcome that cannot be repeated.
#[test]
fn answers_without_a_quorum() {
    let mut fleet = Fleet::start(workdir::Size { states: 1, entries: 1, agents: 1 });
    fleet.kill("state-0");
    let drain = ["drain", ENDPOINT, "--id", "d1"];
    std::thread::scope(|scope| {
        // Runs in parallel with `status`, because it takes about ten seconds.
        scope.spawn(|| {
            let parts = ["(503)", "no quorum", "run: unknown", "send it again with --id d1"];
            operator(&fleet, &drain, FAILED, &parts);
        });
        let started = Instant::now();
        let parts = ["group 0 has no quorum", "behind: not known", "state-0: ask with state-0"];
        operator(&fleet, &["status"], DONE, &parts);
        assert!(started.elapsed() < STATUS_LIMIT, "{:?}", started.elapsed());
    });
    fleet.start_state(0);
    fleet.wait_until("the same command succeeds", || {
        fleet.command(0, workdir::OPERATOR_KEY, &drain).status().is_ok_and(|s| s.success())
    });
}

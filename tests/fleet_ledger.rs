//! Batch jobs as a state machine: positions of results, repeated commands, failures and ended jobs.

use basilfield::fleet::ledger;
use basilfield::replica::StateMachine as _;
use ledger::Answer;
use ledger::Command;
use ledger::Ledger;
use ledger::Outcome;
use ledger::Query;
use std::sync::Arc;

fn item(id: &str) -> Arc<ledger::Item> {
    Arc::new(ledger::Item {
        id: id.into(),
        path: "/p/x".into(),
        headers: vec![("model".into(), "m".into())],
        body: format!("body of {id}").into(),
        tokens: 10,
    })
}

fn rules() -> ledger::Rules {
    let (host, prefix) = ("h".into(), "/p/".into());
    ledger::Rules { host, prefix, max_failures: 2, due_ms: 18_000, max_wait_ms: Some(60_000) }
}

fn submit(ledger: &mut Ledger, job: &str, items: &[&str]) -> ledger::Reply {
    let items = items.iter().map(|id| item(id)).collect();
    ledger.execute(1, Command::Submit { job: job.into(), rules: rules(), items })
}

fn complete(ledger: &mut Ledger, job: &str, item: &str, output: &str) {
    ledger.execute(2, Command::Complete(chunk(job, item, 0, 1, output)));
}

fn chunk(job: &str, item: &str, after: u64, events: u64, data: &str) -> ledger::OutputChunk {
    let (job, item, data) = (job.into(), item.into(), data.to_string().into());
    ledger::OutputChunk { job, item, after, events, last_event: Some(events), data }
}

fn list(ledger: &Ledger, job: &str, after: u64) -> String {
    match ledger.answer(&Query::Results { job: job.into(), after }) {
        Answer::Page(page) => {
            let result = |l: &ledger::ItemResult| {
                let output = String::from_utf8_lossy(&l.output);
                match l.outcome {
                    Outcome::Completed => format!("{}={output}", l.id),
                    Outcome::Abandoned => format!("{} abandoned", l.id),
                }
            };
            let results: Vec<String> = page.results.iter().map(result).collect();
            format!("{}/{} {}", page.next, page.total, results.join(", "))
        }
        other => format!("{other:?}"),
    }
}

/// Guards against a job that is accepted twice, and a result whose position or text changes.
#[test]
fn repeated_commands_change_nothing() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a", "b", "c"]);
    complete(&mut l, "j", "b", "B");
    submit(&mut l, "j", &["a", "b", "c"]);
    complete(&mut l, "j", "b", "other");
    l.execute(
        3,
        Command::Abandon { job: "j".into(), item: "b".into(), cause: ledger::Cause::Patience },
    );
    complete(&mut l, "j", "a", "A");
    let seen = [list(&l, "j", 0), list(&l, "j", 1), list(&l, "j", 9), list(&l, "x", 0)];
    insta::assert_snapshot!(seen.join("\n"), @r"
    2/3 b=B, a=A
    2/3 a=A
    2/3 
    Unknown
    ");
}

/// Guards against an item that starts over after each change of leader, and against mixing up the
/// output of two leaders.
#[test]
fn output_is_stored_in_parts() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a"]);
    let store = |l: &mut Ledger, after, events, data: &str| {
        l.execute(2, Command::StoreOutput(vec![chunk("j", "a", after, events, data)]));
        let stored = &l.job("j").expect("known").pending[0].stored;
        format!("{} {:?} {:?}", stored.events, stored.last_event, stored.output)
    };
    let mut seen = vec![
        store(&mut l, 0, 2, "1\n2"),
        store(&mut l, 0, 2, "1\n2"),
        store(&mut l, 2, 3, "3"),
        store(&mut l, 1, 5, "of another leader"),
    ];
    let mut complete = |after, data: &str| {
        let reply = l.execute(3, Command::Complete(chunk("j", "a", after, after + 1, data)));
        format!("{reply:?} {}", list(&l, "j", 0).replace('\n', "/"))
    };
    seen.extend([complete(2, "3"), complete(3, "4"), complete(3, "4")]);
    insta::assert_snapshot!(seen.join("\n"), @r#"
    2 Some(2) b"1\n2"
    2 Some(2) b"1\n2"
    3 Some(3) b"1\n2\n3"
    3 Some(3) b"1\n2\n3"
    Stale 0/1 
    Done 1/1 a=1/2/3/4
    Done 1/1 a=1/2/3/4
    "#);
}

/// Guards against an item that fails at every run and blocks its job forever, and against an item
/// that is abandoned too early.
#[test]
fn failures_are_bounded() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a", "b"]);
    let fail = |l: &mut Ledger, failures| {
        l.execute(2, Command::RecordFailure { job: "j".into(), item: "a".into(), failures });
        list(l, "j", 0)
    };
    // A second failure is ignored until the first is applied. The first is proposed twice, as after
    // a lost acknowledgement.
    let seen = [2, 1, 1, 2, 3].map(|failures| fail(&mut l, failures));
    insta::assert_snapshot!(seen.join("\n"), @r"
    0/2 
    0/2 
    0/2 
    1/2 a abandoned
    1/2 a abandoned
    ");
}

/// Guards against items that keep running after their job was ended, and results that are lost when
/// it is ended.
#[test]
fn ended_job_keeps_its_results() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a", "b"]);
    complete(&mut l, "j", "a", "A");
    let body =
        |l: &Ledger| format!("{:?}", l.answer(&Query::Body { job: "j".into(), item: "b".into() }));
    let before = body(&l);
    let end = |l: &mut Ledger, job: &str| {
        format!("{:?}", l.execute(3, Command::EndJob { job: job.into() }))
    };
    let ends = [end(&mut l, "j"), end(&mut l, "j"), end(&mut l, "x")].join(" ");
    complete(&mut l, "j", "b", "late");
    let seen = [before, ends, body(&l), list(&l, "j", 0)];
    insta::assert_snapshot!(seen.join("\n"), @r#"
    Body(b"body of b")
    Done Done Unknown
    Unknown
    1/2 a=A
    "#);
}

/// Guards against a page that is too large for one frame, and an empty page when a single result is
/// larger than the limit.
#[test]
fn pages_are_bounded() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a", "b", "c"]);
    for id in ["a", "b", "c"] {
        complete(&mut l, "j", id, &"x".repeat(600 << 10));
    }
    let next = |after| match l.answer(&Query::Results { job: "j".into(), after }) {
        Answer::Page(page) => page.next,
        _ => 0,
    };
    insta::assert_snapshot!(format!("{} {} {}", next(0), next(1), next(2)), @"1 2 3");
}

/// Guards against a replica that differs from the others after restoring a snapshot.
#[test]
fn snapshot_holds_everything() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a", "b"]);
    complete(&mut l, "j", "a", "A");
    l.execute(3, Command::RetireHost { host: "h:1".into() });
    let mut copy = Ledger::default();
    copy.restore(&l.snapshot()).expect("own snapshot");
    assert_eq!(copy, l);
    assert!(copy.restore(b"\xff\xff").is_err(), "a damaged snapshot is refused");
}

/// Guards against accepting jobs until the memory of the store hosts is exhausted: the limit relies
/// on this count of bytes.
#[test]
fn stored_bytes_are_counted() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a", "b"]);
    let mut seen = vec![l.stored_bytes()];
    l.execute(2, Command::StoreOutput(vec![chunk("j", "a", 0, 1, "1234")]));
    seen.push(l.stored_bytes());
    l.execute(3, Command::Complete(chunk("j", "a", 1, 2, "5")));
    seen.push(l.stored_bytes());
    l.execute(4, Command::EndJob { job: "j".into() });
    seen.push(l.stored_bytes());
    l.execute(5, Command::RemoveJobs { jobs: vec!["j".into()] });
    seen.push(l.stored_bytes());
    insta::assert_snapshot!(format!("{seen:?}"), @"[18, 22, 15, 6, 0]");
}

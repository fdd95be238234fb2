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

fn generation(number: u32, build: &str) -> ledger::Generation {
    ledger::Generation { number, build: Some(build.into()) }
}

fn generation_chunk(
    (number, build): (u32, &str),
    (after, events): (u64, u64),
    data: &str,
) -> ledger::GenerationChunk {
    let chunk = chunk("j", "a", after, events, data);
    ledger::GenerationChunk { generation: generation(number, build), chunk }
}

fn stored(ledger: &Ledger) -> String {
    let generation = ledger.generation(&"j".into(), &"a".into());
    let stored = &ledger.job("j").expect("known").pending[0].stored;
    let text = String::from_utf8_lossy(&stored.output);
    let build = generation.build.as_deref().unwrap_or("-");
    format!("{}/{build} {} {text:?} {}", generation.number, stored.events, ledger.stored_bytes())
}

/// Guards against an output that holds events of two builds: output of an earlier generation, or of
/// another leader that goes on at another build, must not join what is stored.
#[test]
fn output_of_two_builds_is_not_joined() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a"]);
    let mut seen = Vec::new();
    for chunk in [
        generation_chunk((0, "v1"), (0, 2), "1\n2"),
        // Of a leader that believes that nothing is stored, and of one that goes on elsewhere.
        generation_chunk((0, "v2"), (0, 1), "x"),
        generation_chunk((0, "v2"), (2, 3), "x"),
        generation_chunk((0, "v1"), (2, 3), "3"),
        // The item starts over.
        generation_chunk((1, "v2"), (2, 4), "x"),
        generation_chunk((1, "v2"), (0, 1), "A"),
        // A late chunk of the earlier generation.
        generation_chunk((0, "v1"), (3, 4), "4"),
        generation_chunk((1, "v2"), (1, 2), "B"),
    ] {
        l.execute(2, Command::StoreGenerations(vec![chunk]));
        seen.push(stored(&l));
    }
    for chunk in [
        generation_chunk((0, "v1"), (3, 4), "4"),
        generation_chunk((1, "v1"), (2, 3), "x"),
        generation_chunk((1, "v2"), (2, 3), "C"),
        generation_chunk((1, "v2"), (2, 3), "C"),
    ] {
        let reply = l.execute(3, Command::CompleteGeneration(chunk));
        seen.push(format!("{reply:?} {}", list(&l, "j", 0).replace('\n', "/")));
    }
    insta::assert_snapshot!(seen.join("\n"), @r#"
    0/v1 2 "1\n2" 12
    0/v1 2 "1\n2" 12
    0/v1 2 "1\n2" 12
    0/v1 3 "1\n2\n3" 14
    0/v1 3 "1\n2\n3" 14
    1/v2 1 "A" 10
    1/v2 1 "A" 10
    1/v2 2 "A\nB" 12
    Stale 0/1 
    Stale 0/1 
    Done 1/1 a=A/B/C
    Done 1/1 a=A/B/C
    "#);
}

/// Guards against an item that can never be stored because a late chunk of another leader has set
/// the build of an output that is still empty.
#[test]
fn chunk_that_is_not_stored_sets_no_build() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a"]);
    l.execute(2, Command::StoreGenerations(vec![generation_chunk((0, "v1"), (5, 6), "6")]));
    let before = stored(&l);
    l.execute(2, Command::StoreGenerations(vec![generation_chunk((0, "v2"), (0, 1), "1")]));
    insta::assert_snapshot!(format!("{before}, then {}", stored(&l)),
        @r#"0/- 0 "" 9, then 0/v2 1 "1" 10"#);
}

/// Guards against a build that cannot read the snapshots and logs of builds that did not know the
/// generations of outputs.
#[test]
fn state_without_generations_is_read() {
    /// Ledger as written before generations.
    #[derive(serde::Serialize)]
    struct Former {
        jobs: basilfield::sorted::SortedMap<Arc<str>, ledger::Job>,
        retiring: Vec<Arc<str>>,
    }
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a"]);
    let logged = Command::StoreOutput(vec![chunk("j", "a", 0, 2, "1\n2")]);
    l.apply(2, &ledger::encode(&logged));
    let mut former = Former { jobs: basilfield::sorted::SortedMap::new(), retiring: Vec::new() };
    former.jobs.insert("j".into(), l.job("j").expect("known").clone());
    former.retiring.push("10.0.0.1:1".into());
    let mut restored = Ledger::default();
    restored.restore(&ledger::encode(&former)).expect("former snapshot");
    let retiring = restored.retiring_hosts().join(" ");
    let mut seen = vec![stored(&l), format!("{} {retiring}", stored(&restored))];
    let next = generation_chunk((0, "v1"), (2, 3), "3");
    restored.execute(3, Command::StoreGenerations(vec![next]));
    seen.push(stored(&restored));
    let mut again = Ledger::default();
    again.restore(&restored.snapshot()).expect("snapshot");
    seen.push(stored(&again));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    0/- 2 "1\n2" 12
    0/- 2 "1\n2" 12 10.0.0.1:1
    0/v1 3 "1\n2\n3" 14
    0/v1 3 "1\n2\n3" 14
    "#);
}

/// Guards against a build that cannot read the snapshots and logs of builds that did not record the
/// version under which a job was accepted, and against versions of jobs that are gone.
#[test]
fn state_without_versions_is_read() {
    /// Ledger as written before versions.
    #[derive(serde::Serialize)]
    struct Former {
        jobs: basilfield::sorted::SortedMap<Arc<str>, ledger::Job>,
        retiring: Vec<Arc<str>>,
        generations: basilfield::sorted::SortedMap<(Arc<str>, Arc<str>), ledger::Generation>,
    }
    let mut l = Ledger::default();
    submit(&mut l, "old", &["a"]);
    let mut former = Former {
        jobs: basilfield::sorted::SortedMap::new(),
        retiring: Vec::new(),
        generations: basilfield::sorted::SortedMap::new(),
    };
    former.jobs.insert("old".into(), l.job("old").expect("known").clone());
    let generation = ledger::Generation { number: 2, build: Some("v2".into()) };
    former.generations.insert(("old".into(), "a".into()), generation);
    let mut restored = Ledger::default();
    restored.restore(&ledger::encode(&former)).expect("former snapshot");
    let rules = restored.job("old").expect("known").rules.clone();
    let submission = |version| Command::SubmitUnder {
        version,
        job: "new".into(),
        rules: rules.clone(),
        items: Vec::new(),
    };
    restored.execute(3, submission(7));
    restored.execute(4, submission(9));
    let mut again = Ledger::default();
    again.restore(&restored.snapshot()).expect("snapshot");
    let versions = |l: &Ledger| format!("{} {}", l.accept_version("old"), l.accept_version("new"));
    let mut seen = vec![versions(&restored), versions(&again)];
    seen.push(format!("{:?}", again.generation(&"old".into(), &"a".into()).build));
    again.execute(5, Command::RemoveJobs { jobs: vec!["new".into()] });
    seen.push(versions(&again));
    insta::assert_snapshot!(seen.join(", "), @r#"0 7, 0 7, Some("v2"), 0 0"#);
}

/// Guards against two workspaces that share a job because they chose the same id: each must see, end
/// and lose only its own.
#[test]
fn workspaces_may_use_the_same_job_id() {
    let mut l = Ledger::default();
    let key = |workspace| ledger::job_key("j", workspace).expect("valid id");
    let keys = [key(None), key(Some("a")), key(Some("b"))];
    for (key, item) in keys.iter().zip(["x", "y", "z"]) {
        submit(&mut l, key, &[item, "same"]);
        complete(&mut l, key, item, item);
    }
    let all = |l: &Ledger| keys.each_ref().map(|key| list(l, key, 0)).join(" | ");
    let mut seen = vec![all(&l)];
    // Another key of the workspace submits the job again.
    submit(&mut l, &keys[1], &["other"]);
    l.execute(3, Command::EndJob { job: keys[2].clone() });
    complete(&mut l, &keys[1], "same", "A");
    complete(&mut l, &keys[2], "same", "B");
    seen.push(all(&l));
    l.execute(4, Command::RemoveJobs { jobs: vec![keys[0].clone()] });
    let mut again = Ledger::default();
    again.restore(&l.snapshot()).expect("snapshot");
    seen.push(all(&again));
    let names = again
        .jobs()
        .map(|(key, _)| format!("{} of {:?}", ledger::job_id(key), ledger::job_workspace(key)));
    seen.push(names.collect::<Vec<_>>().join(", "));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    1/2 x=x | 1/2 y=y | 1/2 z=z
    1/2 x=x | 2/2 y=y, same=A | 1/2 z=z
    Unknown | 2/2 y=y, same=A | 1/2 z=z
    j of Some("a"), j of Some("b")
    "#);
}

/// Guards against ids and names that give two jobs one key, and against an id that names the job of a
/// workspace.
#[test]
fn job_keys_do_not_collide() {
    let ids = ["", "a", "ab", "b", "a b"];
    let names = [None, Some(""), Some("a"), Some("b"), Some("\n"), Some("a\nb"), Some("\nb")];
    let mut keys = Vec::new();
    for (id, name) in ids.iter().flat_map(|id| names.map(|name| (*id, name))) {
        let key = ledger::job_key(id, name).expect("valid id");
        assert_eq!((ledger::job_id(&key), ledger::job_workspace(&key)), (id, name));
        keys.push(key);
    }
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), ids.len() * names.len());
    for id in ["\n", "a\n", "a\nb"] {
        assert_eq!((ledger::job_key(id, None), ledger::job_key(id, Some("a"))), (None, None));
    }
}

/// Guards against a build that changes the encoding of a job without a workspace, which logs and
/// snapshots of earlier builds hold.
#[test]
fn jobs_without_workspace_are_encoded_as_before() {
    let command = Command::SubmitUnder {
        version: 7,
        job: ledger::job_key("j", None).expect("valid id"),
        rules: rules(),
        items: vec![item("a")],
    };
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let mut l = Ledger::default();
    let encoded = ledger::encode(&command);
    l.apply(1, &encoded);
    insta::assert_snapshot!(format!("{}\n{}", hex(&encoded), hex(&l.snapshot())), @r"
    0b07016a0168032f702f02d08c0101e0d403010161042f702f7801056d6f64656c016d09626f6479206f6620610a
    01016a0168032f702f02d08c0101e0d403010100010161042f702f7801056d6f64656c016d09626f6479206f6620610a0000000000000001016a07
    ");
}

/// Guards against generations of items that stay after the items have ended.
#[test]
fn ended_items_leave_no_generation() {
    let mut l = Ledger::default();
    let store = |l: &mut Ledger| {
        submit(l, "j", &["a", "b"]);
        l.execute(2, Command::StoreGenerations(vec![generation_chunk((1, "v1"), (0, 1), "1")]));
    };
    let left = |l: &Ledger| l.generation(&"j".into(), &"a".into()) != ledger::Generation::default();
    store(&mut l);
    let mut seen = vec![left(&l)];
    l.execute(3, Command::CompleteGeneration(generation_chunk((1, "v1"), (1, 2), "2")));
    seen.push(left(&l));
    for end in [Command::EndJob { job: "j".into() }, Command::RemoveJobs { jobs: vec!["j".into()] }]
    {
        l = Ledger::default();
        store(&mut l);
        l.execute(3, end);
        seen.push(left(&l));
    }
    assert_eq!(seen, [true, false, false, false]);
}

/// Guards against dropped output that comes back, or that is still counted.
#[test]
fn discarded_output_starts_over() {
    let mut l = Ledger::default();
    submit(&mut l, "j", &["a", "b"]);
    let empty = l.stored_bytes();
    l.execute(2, Command::StoreOutput(vec![chunk("j", "a", 0, 2, "wrong")]));
    let discard = |item: &str| Command::DiscardOutput { job: "j".into(), item: item.into() };
    let mut seen = vec![format!("{:?}", l.execute(3, discard("a")))];
    seen.push(format!("{} B", l.stored_bytes() - empty));
    // Follows the output that was dropped.
    l.execute(4, Command::StoreOutput(vec![chunk("j", "a", 2, 3, "wrong")]));
    // Is proposed again by a former leader.
    l.execute(4, Command::StoreGenerations(vec![generation_chunk((0, "v1"), (0, 2), "wrong")]));
    seen.push(format!("{:?}", l.execute(5, Command::Complete(chunk("j", "a", 0, 1, "right")))));
    // The item has ended.
    seen.push(format!("{:?}", l.execute(6, discard("a"))));
    let results = &l.job("j").expect("job").results;
    seen.push(format!("{:?}", results.iter().map(|r| &r.output).collect::<Vec<_>>()));
    insta::assert_snapshot!(seen.join(" "), @r#"Done 0 B Done Done [b"right"]"#);
}

//! Templates and the messages for invalid parameters.

use basilfield::catalog;
use basilfield::template;
use std::sync::Arc;
use template::Parameters;
use template::RawValue;
use template::Template;
use template::Type;

const HASH: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

fn template(name: &str) -> &'static Template {
    template::get(name).expect("template is shipped")
}

fn fill_pairs(name: &str, pairs: &[&str]) -> Result<catalog::Document, Vec<template::Problem>> {
    template::fill(template(name), &Parameters::from_pairs(template(name), pairs)?)
}

fn report(problems: Vec<template::Problem>) -> String {
    problems.iter().map(|p| format!("{p}\n")).collect()
}

/// Commits documents to an empty catalog; returns the reply and the digest.
fn commit(documents: Vec<catalog::Document>) -> (catalog::Reply, u64) {
    let changes = documents.into_iter().map(catalog::Change::put).collect();
    let operator = "abena".into();
    let command = catalog::Command::Change { id: "c1".into(), expected: None, operator, changes };
    let mut state = catalog::Catalog::new();
    let reply = state.apply(1, &catalog::encode(&command));
    (catalog::decode(&reply).expect("reply decodes"), state.digest())
}

/// Guards against reporting only the first of several problems, so that the operator has to correct
/// them one at a time, and against messages without the permitted values.
#[test]
fn all_problems_are_reported_at_once() {
    let result = fill_pairs(
        "workspace",
        &[
            "name=osu counter",
            "keys=abc",
            "rte=5",
            "rate=0",
            "concurrency=many",
            "share=1",
            "share=2",
        ],
    );
    insta::assert_snapshot!(report(result.unwrap_err()));
}

/// Guards against reporting only the problems of the first invalid document of a file.
#[test]
fn problems_of_all_documents_of_a_file_are_reported() {
    let file = r#"
        workspaces = 3
        [policy]
        name = "fleet"
        floor = 2.5
        trade = "thruput"
        [[assistant]]
        name = "stitch"
        workspace = "osu"
        deadline = 99999999999
        prompt = ["a", "b"]
        [[service]]
        name = "printer"
        paths = ["print", "/label"]
        service = [1]
    "#;
    insta::assert_snapshot!("file", report(template::read_documents(file).unwrap_err()));
    insta::assert_snapshot!("syntax", report(template::read_documents("name = ").unwrap_err()));
    insta::assert_snapshot!("argument", report(fill_pairs("policy", &["fleet"]).unwrap_err()));
}

/// Guards against different documents for the same parameters given as pairs and in a file.
#[test]
fn pairs_and_files_are_equivalent() {
    let keys = format!("keys={HASH}");
    let by_pairs = fill_pairs("workspace", &["name=osu", &keys, "rate=7"]).unwrap();
    let file = format!("[workspace]\nname = 'osu'\nrate = 7\nkeys = ['{HASH}']");
    let documents = template::read_documents(&file).unwrap();
    assert!(documents.iter().eq([&by_pairs]), "{documents:?}");
    let names: Vec<&str> = by_pairs.parameters.iter().map(|p| &*p.name).collect();
    assert_eq!(names, ["keys", "name", "rate"], "defaults are not recorded as given");
    let catalog::Body::Workspace(workspace) = by_pairs.body else { panic!("is a workspace") };
    assert_eq!((workspace.rate, workspace.concurrency, workspace.share), (7, 16, 10));
}

/// Guards against a wrong conversion from the unit of a parameter to milliseconds.
#[test]
fn durations_are_converted_to_milliseconds() {
    let plan =
        fill_pairs("batch-plan", &["name=night", "workspace=w", "model=m", "due=10"]).unwrap();
    let catalog::Body::BatchPlan(plan) = plan.body else { panic!("is a batch plan") };
    assert_eq!(plan.due, 600_000);
    let assistant =
        fill_pairs("assistant", &["name=a", "workspace=w", "model=m", "deadline=2"]).unwrap();
    let catalog::Body::Assistant(assistant) = assistant.body else { panic!("is an assistant") };
    assert_eq!(assistant.deadline, 2_000);
    let policy = fill_pairs("policy", &["name=fleet", "target=30", "trade=throughput"]).unwrap();
    let catalog::Body::Policy(policy) = policy.body else { panic!("is a policy") };
    assert_eq!((policy.target, policy.trade), (30, catalog::documents::Trade::Throughput));
}

/// Returns the value at the lower end (`low`) or the upper end of the range of a field.
fn boundary_value(name: &str, kind: &Type, low: bool) -> RawValue {
    let paths = |n: usize| (0..n).map(|i| format!("/{i}").into()).collect();
    let hashes = |n: usize| (0..n).map(|i| format!("{i:064x}").into()).collect();
    match kind {
        Type::Name if name == "workspace" => RawValue::Text("w".into()),
        Type::Name if low => RawValue::Text("w".into()),
        Type::Name => RawValue::Text("w".repeat(64).into()),
        Type::Model => RawValue::Text("m".repeat(if low { 1 } else { 128 }).into()),
        Type::Text { max } => RawValue::Text("t".repeat(if low { 0 } else { *max }).into()),
        Type::Integer { min, max } | Type::Duration { min, max } => {
            RawValue::Integer(i64::from(if low { *min } else { *max }))
        }
        Type::Choice { choices } => {
            RawValue::Text(choices[if low { 0 } else { choices.len() - 1 }].clone())
        }
        Type::Hashes { max } => RawValue::List(hashes(if low { 1 } else { *max })),
        Type::Paths { max } => RawValue::List(paths(if low { 0 } else { *max })),
    }
}

/// Guards against a template with a range that permits values the catalog refuses, with a default
/// outside the range, or without a parameter that its kind needs.
#[test]
fn ranges_of_templates_are_within_the_bounds_of_the_catalog() {
    for low in [true, false] {
        let mut documents =
            vec![fill_pairs("workspace", &["name=w", &format!("keys={HASH}")]).unwrap()];
        for template in template::all() {
            let fields = template.fields.iter();
            let given: Parameters =
                fields.map(|f| (f.name.clone(), boundary_value(&f.name, &f.kind, low))).collect();
            let document = template::fill(template, &given).expect("extremes are permitted");
            assert_eq!(document.name().kind, template.kind);
            documents.retain(|d| d.name() != document.name());
            documents.push(document);
            let required: Parameters = template
                .fields
                .iter()
                .filter(|f| f.default.is_none())
                .map(|f| (f.name.clone(), boundary_value(&f.name, &f.kind, low)))
                .collect();
            template::fill(template, &required).expect("defaults are permitted");
        }
        let (reply, _) = commit(documents);
        assert!(matches!(reply, catalog::Reply::Accepted { .. }), "{reply}");
    }
}

/// Guards against example files that are refused when used unchanged.
#[test]
fn example_files_are_accepted() {
    for (file, count) in [
        (include_str!("../examples/adinkra.toml"), 8),
        (include_str!("../examples/kuiseb.toml"), 6),
    ] {
        let documents = template::read_documents(file).map_err(report).unwrap();
        assert_eq!(documents.len(), count);
        let (reply, _) = commit(documents);
        assert!(matches!(reply, catalog::Reply::Accepted { .. }), "{reply}");
    }
}

/// Guards against parameters of a file that take precedence over those of the command line.
#[test]
fn pairs_override_a_file() {
    let file: Parameters = [("name", "osu"), ("rate", "5")]
        .map(|(n, v)| (n.into(), RawValue::Text(v.into())))
        .into_iter()
        .collect();
    let mut given = Parameters::default();
    given.push("rate", RawValue::Text("9".into()));
    let merged = file.overridden_by(given);
    assert_eq!(merged.find("rate"), Some(&RawValue::Text(Arc::from("9"))));
    assert_eq!(merged.find("name"), Some(&RawValue::Text(Arc::from("osu"))));
}

/// Guards against help that omits a range, a default or that a parameter is required.
#[test]
fn templates_describe_themselves() {
    insta::assert_snapshot!(template("policy").describe());
}

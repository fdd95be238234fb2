//! `basilfield history`: lists the changes of the configuration, or the operations on endpoints,
//! latest first.

use crate::api;
use crate::cmd;
use serde_json::Value;
use std::process::ExitCode;

/// List the changes of the configuration, the latest first.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// list drains, resumes and orders instead
    #[argh(switch)]
    pub operations: bool,
    /// list only what came before this revision
    #[argh(option)]
    pub before: Option<u64>,
    /// number of records
    #[argh(option, default = "20")]
    pub limit: u32,
    /// address of an entry
    #[argh(option, default = "api::default_url()")]
    pub url: String,
    /// key; the variable BASILFIELD_KEY if absent
    #[argh(option, default = "api::default_key()")]
    pub key: String,
    /// print the answer as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
pub fn run(args: &History) -> ExitCode {
    let mut path = format!("/admin/history?limit={}&operations={}", args.limit, args.operations);
    if let Some(before) = args.before {
        path += &format!("&before={before}");
    }
    cmd::send_request((&args.url, &args.key), "GET", &path, &Value::Null, args.json, show)
}

fn show(value: &Value) {
    for record in value["records"].as_array().into_iter().flatten() {
        let by = &record["by"];
        println!(
            "{:>8}  {}  by {}  {}",
            by["revision"],
            by["id"].as_str().unwrap_or_default(),
            by["operator"].as_str().unwrap_or_default(),
            describe_action(&record["action"])
        );
    }
}

/// Describes a change or an operation in one line.
fn describe_action(action: &Value) -> String {
    if let Some(changed) = action["changed"].as_array() {
        return changed.iter().map(describe_document).collect::<Vec<_>>().join(", ");
    }
    for (field, word) in [("drained", "drain"), ("resumed", "resume"), ("ordered", "order to")] {
        if let Some(endpoint) = action[field]["endpoint"].as_str() {
            return format!("{word} {endpoint}");
        }
    }
    action.to_string()
}

fn describe_document(changed: &Value) -> String {
    let name = changed["name"].as_str().unwrap_or_default();
    match (changed["before"].is_null(), changed["document"].is_null()) {
        (_, true) => format!("withdraw {name}"),
        (true, false) => format!("create {name}"),
        (false, false) => format!("change {name}"),
    }
}

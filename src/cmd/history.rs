//! `basilfield history`: lists the changes of the configuration, the latest first.

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
    cmd::request((&args.url, &args.key), "GET", &path, &Value::Null, args.json, show)
}

fn show(value: &Value) {
    for record in value["records"].as_array().into_iter().flatten() {
        let by = &record["by"];
        println!(
            "{:>8}  {}  by {}  {}",
            by["revision"],
            by["id"].as_str().unwrap_or_default(),
            by["operator"].as_str().unwrap_or_default(),
            record["action"]
        );
    }
}

//! `basilfield apply TEMPLATE NAME=VALUE...` or `basilfield apply --file FILE`: fills in templates
//! and commits the documents as one change.
//!
//! A file has one TOML table per document, under the name of its template. The whole change is
//! validated before anything is applied; every problem is listed with the permitted range.

use crate::api;
use crate::cmd;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

/// Fill in templates and put them in force.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// name of a template (see `basilfield template list`), then its parameters as NAME=VALUE
    #[argh(positional)]
    pub words: Vec<String>,
    /// TOML file with one table per document
    #[argh(option)]
    pub file: Option<PathBuf>,
    /// id of the change; the same id with the same content is applied once
    #[argh(option, default = "cmd::random_id()")]
    pub id: String,
    /// revision that the change is based on; it is refused if another change came first
    #[argh(option)]
    pub expected: Option<u64>,
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
pub fn run(args: &Apply) -> ExitCode {
    let text = match &args.file {
        None => String::new(),
        Some(path) => match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) => return cmd::report_error(format!("cannot read {}: {e}", path.display())),
        },
    };
    let fill: Vec<serde_json::Value> = args
        .words
        .split_first()
        .map(|(template, parameters)| json!({ "template": template, "parameters": parameters }))
        .into_iter()
        .collect();
    if fill.is_empty() && args.file.is_none() {
        eprintln!("basilfield: name a template or give --file");
        return ExitCode::from(cmd::EXIT_USAGE);
    }
    let body = json!({
        "id": args.id, "expected": args.expected, "fill": fill, "file": text,
    });
    let target = (&*args.url, &*args.key);
    cmd::send_request(target, "POST", "/admin/apply", &body, args.json, cmd::show_message)
}

//! `basilfield withdraw KIND/NAME...`: removes documents from the configuration.
//!
//! A document that other documents refer to is kept; the refusal lists them.

use crate::api;
use crate::cmd;
use serde_json::json;
use std::process::ExitCode;

/// Take documents out of force.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "withdraw")]
pub struct Withdraw {
    /// documents, as KIND/NAME
    #[argh(positional)]
    pub names: Vec<String>,
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
pub fn run(args: &Withdraw) -> ExitCode {
    if args.names.is_empty() {
        eprintln!("basilfield: name at least one document, as KIND/NAME");
        return ExitCode::from(cmd::EXIT_USAGE);
    }
    let body = json!({ "id": args.id, "expected": args.expected, "names": args.names });
    let target = (&*args.url, &*args.key);
    cmd::send_request(target, "POST", "/admin/withdraw", &body, args.json, cmd::show_message)
}

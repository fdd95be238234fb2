//! `basilfield drain ENDPOINT`: takes an endpoint out of service for planned work.
//!
//! The agent of the endpoint refuses new work immediately; running requests finish. `status` lists
//! the endpoint as draining.

use crate::api;
use crate::cmd;
use serde_json::json;
use std::process::ExitCode;

/// Take an endpoint out of service for planned work.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// endpoint, as AGENT.NAME
    #[argh(positional)]
    pub endpoint: String,
    /// id of the operation; the same id is carried out once
    #[argh(option, default = "cmd::random_id()")]
    pub id: String,
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
pub fn run(args: &Drain) -> ExitCode {
    let body = json!({ "id": args.id, "target": args.endpoint });
    let target = (&*args.url, &*args.key);
    cmd::send_request(target, "POST", "/admin/drain", &body, args.json, cmd::show_message)
}

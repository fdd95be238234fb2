//! `basilfield cancel JOB`: cancels a batch job. Completed items keep their results.

use crate::api;
use crate::cmd;
use serde_json::json;
use std::process::ExitCode;

/// Cancel a batch job.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// name of the job
    #[argh(positional)]
    pub job: String,
    /// id of the cancellation
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
pub fn run(args: &Cancel) -> ExitCode {
    let path = format!("/v1/jobs/{}/cancel", args.job);
    let body = json!({ "id": args.id });
    cmd::send_request((&args.url, &args.key), "POST", &path, &body, args.json, |answer| {
        println!("job {} is cancelled", answer["job"].as_str().unwrap_or_default());
    })
}

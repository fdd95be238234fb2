//! `basilfield jobs [JOB]`: lists the jobs of a workspace, or shows one.

use crate::api;
use crate::cmd;
use serde_json::Value;
use std::process::ExitCode;

/// List the jobs of a workspace, or show one.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "jobs")]
pub struct Jobs {
    /// name of the job
    #[argh(positional)]
    pub job: Option<String>,
    /// list jobs after this one
    #[argh(option)]
    pub after: Option<String>,
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
pub fn run(args: &Jobs) -> ExitCode {
    let path = match (&args.job, &args.after) {
        (Some(job), _) => format!("/v1/jobs/{job}"),
        (None, Some(after)) => format!("/v1/jobs?after={after}"),
        (None, None) => "/v1/jobs".into(),
    };
    cmd::send_request((&args.url, &args.key), "GET", &path, &Value::Null, args.json, show)
}

fn show(answer: &Value) {
    match answer["jobs"].as_array() {
        Some(jobs) => jobs.iter().for_each(show_job),
        None => show_job(answer),
    }
    if answer["more"] == true {
        println!("more: continue with --after and the last job");
    }
}

fn show_job(job: &Value) {
    println!(
        "{}  {}  {} of {} done, {} failed, {} queued  key {}",
        job["job"].as_str().unwrap_or_default(),
        job["state"].as_str().unwrap_or_default(),
        job["done"],
        job["total"],
        job["failed"],
        job["queued"],
        job["key"]
    );
}

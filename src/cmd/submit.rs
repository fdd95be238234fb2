//! `basilfield submit FILE`: submits a batch job of JSON lines and optionally waits for it.
//!
//! The key of the job is the digest of its content unless `--job-key` sets another, so submitting
//! the same file again finds the same job. An interrupted upload continues where it stopped.

use crate::api;
use crate::cmd;
use crate::entry::batches;
use crate::entry::items;
use serde_json::Value;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time;
use xxhash_rust::xxh3;

const MILLIS_PER_SECOND: u64 = 1_000;
/// Interval between status requests with `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Submit a batch job of JSON lines.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// file with one request per line, in the shape of the OpenAI batch API
    #[argh(positional)]
    pub file: PathBuf,
    /// batch plan of the workspace, or a model
    #[argh(option)]
    pub model: String,
    /// key of the job; a new key runs the same content again
    #[argh(option)]
    pub job_key: Option<String>,
    /// time in seconds within which the job is due
    #[argh(option)]
    pub due: Option<u64>,
    /// wait until the job has finished
    #[argh(switch)]
    pub wait: bool,
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
pub fn run(args: &Submit) -> ExitCode {
    let text = match std::fs::read_to_string(&args.file) {
        Ok(text) => text,
        Err(e) => return cmd::report_error(format!("cannot read {}: {e}", args.file.display())),
    };
    if text.trim().is_empty() {
        return cmd::report_error(format!("{} has no requests", args.file.display()));
    }
    let max_due = batches::MAX_DUE_MS / MILLIS_PER_SECOND;
    if args.due.is_some_and(|due| due > max_due) {
        eprintln!("basilfield: --due must be at most {max_due} seconds");
        return ExitCode::from(cmd::EXIT_USAGE);
    }
    match cmd::block_on(submit(args, &text)) {
        Ok(Ok(code)) => code,
        Ok(Err(SubmitError::Refused(answer))) => {
            let code = cmd::report_answer(&answer, args.json, |_| {});
            if answer.json()["error"]["code"] == "conflict" && !args.json {
                print_conflict_hint(args);
            }
            code
        }
        Ok(Err(SubmitError::Cancelled(job))) => {
            if args.json {
                println!("{}", json!({ "job": job, "state": "cancelled" }));
            }
            cmd::report_error(format!(
                "job {job} has this key and was cancelled; give another --job-key to run the \
                 content again"
            ))
        }
        Ok(Err(SubmitError::Failed(error))) => cmd::report_error(error),
        Err(error) => cmd::report_error(error),
    }
}

/// Prints which part of the submission differs from the earlier job with the same key.
fn print_conflict_hint(args: &Submit) {
    match args.job_key {
        None => eprintln!(
            "  this content was submitted for another model; give a --job-key to run it again"
        ),
        Some(_) => eprintln!(
            "  this --job-key belongs to a job of other content or another model; give another"
        ),
    }
}

/// Reason for which a submission did not complete.
enum SubmitError {
    /// The entry refused a request.
    Refused(api::Answer),
    /// The job with this key, whose name is given, was cancelled, so no further item runs.
    Cancelled(String),
    /// A request failed without an answer.
    Failed(crate::errors::Error),
}

impl From<crate::errors::Error> for SubmitError {
    fn from(error: crate::errors::Error) -> SubmitError {
        SubmitError::Failed(error)
    }
}

/// Returns the content of a successful answer; any other answer is an error.
fn require_ok(answer: api::Answer) -> Result<Value, SubmitError> {
    if answer.is_ok() { Ok(answer.json()) } else { Err(SubmitError::Refused(answer)) }
}

async fn submit(args: &Submit, text: &str) -> Result<ExitCode, SubmitError> {
    let client = api::Client::new(&args.url, &args.key);
    let lines: Vec<&str> = text.lines().filter(|l| !l.trim().is_empty()).collect();
    let digest = format!("{:016x}", xxh3::xxh3_64(text.as_bytes()));
    let request = json!({
        "key": args.job_key.as_ref().unwrap_or(&digest), "digest": digest, "model": args.model,
        "due": args.due.map(|d| d * MILLIS_PER_SECOND), "total": lines.len(),
    });
    let opened = require_ok(client.post("/v1/jobs", &request).await?)?;
    let job = opened["job"].as_str().unwrap_or_default().to_string();
    if opened["state"] == "cancelled" {
        return Err(SubmitError::Cancelled(job));
    }
    if opened["state"] == "uploading" {
        upload(&client, &job, &lines, &opened).await?;
        require_ok(client.post(&format!("/v1/jobs/{job}/seal"), &Value::Null).await?)?;
    }
    if !args.wait {
        match args.json {
            true => println!("{}", json!({ "job": job })),
            false => println!("{job}"),
        }
        return Ok(ExitCode::SUCCESS);
    }
    let status = wait_for_job(&client, &job, lines.len()).await?;
    match args.json {
        true => println!("{status}"),
        false => println!(
            "{job}  {}  {} done, {} failed",
            status["state"].as_str().unwrap_or_default(),
            status["done"],
            status["failed"]
        ),
    }
    Ok(if status["state"] == "finished" {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(cmd::EXIT_FAILURE)
    })
}

/// Uploads the chunks that the entry lacks, from the number `next` of the opened job.
async fn upload(
    client: &api::Client,
    job: &str,
    lines: &[&str],
    opened: &Value,
) -> Result<(), SubmitError> {
    let first = usize::try_from(opened["next"].as_u64().unwrap_or_default()).unwrap_or(0);
    let progress = progress_bar(lines.len(), "uploading");
    let mut preceding = 0;
    for (seq, chunk) in items::chunks(lines.to_vec(), |l| l.len()).iter().enumerate() {
        if seq >= first {
            let path = format!("/v1/jobs/{job}/items?seq={seq}");
            let answer = client.send("POST", &path, chunk.join("\n")).await?;
            // The refusal numbers lines from the start of the chunk, so this prints the offset.
            if !answer.is_ok() && preceding > 0 {
                eprintln!("basilfield: line 1 of the refused part is request {}", preceding + 1);
            }
            require_ok(answer)?;
        }
        preceding += chunk.len();
        progress.inc(chunk.len() as u64);
    }
    progress.finish_and_clear();
    Ok(())
}

/// Polls a job until all its items have ended or it is cancelled, and returns its status.
async fn wait_for_job(client: &api::Client, job: &str, total: usize) -> Result<Value, SubmitError> {
    let progress = progress_bar(total, "running");
    loop {
        let status = require_ok(client.get(&format!("/v1/jobs/{job}")).await?)?;
        let completed =
            status["done"].as_u64().unwrap_or(0) + status["failed"].as_u64().unwrap_or(0);
        progress.set_position(completed);
        if status["state"] != "accepted" {
            progress.finish_and_clear();
            return Ok(status);
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn progress_bar(total: usize, message: &'static str) -> indicatif::ProgressBar {
    let style = indicatif::ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}")
        .unwrap_or_else(|_| indicatif::ProgressStyle::default_bar());
    indicatif::ProgressBar::new(total as u64).with_style(style).with_message(message)
}

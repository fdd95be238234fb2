//! `basilfield results JOB`: writes the results of a job as JSON lines.
//!
//! Items appear in submission order. Items that have not finished yet are omitted.

use crate::api;
use crate::cmd;
use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;

/// Write the results of a job as JSON lines.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "results")]
pub struct Results {
    /// name of the job
    #[argh(positional)]
    pub job: String,
    /// file to write; standard output if absent
    #[argh(option)]
    pub output: Option<PathBuf>,
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
pub fn run(args: &Results) -> ExitCode {
    let mut output: Box<dyn std::io::Write> = match &args.output {
        None => Box::new(std::io::stdout()),
        Some(path) => match std::fs::File::create(path) {
            Ok(file) => Box::new(file),
            Err(e) => return cmd::report_error(format!("cannot write {}: {e}", path.display())),
        },
    };
    match cmd::block_on(write_results(args, &mut output)) {
        Ok(code) => code,
        Err(e) => cmd::report_error(e),
    }
}

/// Writes all pages of results to `output`.
async fn write_results(args: &Results, output: &mut Box<dyn std::io::Write>) -> ExitCode {
    let client = api::Client::new(&args.url, &args.key);
    let mut from = "0".to_string();
    while !from.is_empty() {
        let path = format!("/v1/jobs/{}/results?from={from}", args.job);
        let answer = match client.get(&path).await {
            Ok(answer) => answer,
            Err(error) => return cmd::report_error(error),
        };
        if !answer.is_ok() {
            return cmd::report_answer(&answer, args.json, |_| {});
        }
        if let Err(e) = output.write_all(&answer.body) {
            return cmd::report_error(format!("cannot write results: {e}"));
        }
        from = answer.next;
    }
    match output.flush() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => cmd::report_error(format!("cannot write results: {e}")),
    }
}

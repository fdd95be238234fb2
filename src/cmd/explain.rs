//! `basilfield explain ID FILE...`: prints what the logs of several processes record about one
//! request or job, in order of time.

use crate::cmd;
use crate::errors;
use crate::explain;
use std::path::PathBuf;
use std::process::ExitCode;

/// Show what the logs of several processes say of one request or job.
///
/// Lines marked with ~ name neither; they say what happened meanwhile.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the request, item or job
    #[argh(positional)]
    pub id: String,
    /// log files of processes, one JSON object a line
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(args: &Explain) -> ExitCode {
    if args.files.is_empty() {
        eprintln!("basilfield: name at least one log file");
        return ExitCode::from(cmd::EXIT_USAGE);
    }
    let mut logs = explain::Logs::default();
    for file in &args.files {
        match std::fs::read(file) {
            Ok(text) => logs.add(&String::from_utf8_lossy(&text)),
            Err(error) => {
                let file = file.display().to_string();
                return cmd::report_error(errors::Error::io("read log", file, error));
            }
        }
    }
    if logs.skipped() > 0 {
        eprintln!("{} lines are not log lines", logs.skipped());
    }
    match logs.explain(&args.id) {
        Some(timeline) => {
            print!("{timeline}");
            ExitCode::SUCCESS
        }
        None => cmd::report_error(format_args!("no line names {}", args.id)),
    }
}

//! `basilfield check --settings FILE`: validates a settings file without starting anything.

use crate::cmd;
use crate::events;
use crate::process;
use crate::settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// Validate a settings file without starting anything.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// print the catalogue of log events, as in docs/events.md
    #[argh(switch)]
    pub events: bool,
}

/// Runs the command.
pub fn run(args: &Check) -> ExitCode {
    if args.events {
        print!("{}", events::catalogue_page());
        return ExitCode::SUCCESS;
    }
    let Some(path) = &args.settings else {
        eprintln!("basilfield: the option --settings is missing");
        return ExitCode::from(cmd::EXIT_USAGE);
    };
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return cmd::report_error(error),
    };
    if let Err(error) = process::load_identity(&settings.tls) {
        return cmd::report_error(error);
    }
    println!("{} is valid", path.display());
    ExitCode::SUCCESS
}

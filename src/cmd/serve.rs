//! `basilfield serve --settings FILE`: runs the roles that a settings file names.
//!
//! SIGTERM and SIGINT start a graceful stop.

use crate::cmd;
use crate::errors;
use crate::events;
use crate::process;
use crate::settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// Run the roles that a settings file names.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Runs the command.
pub fn run(args: &Serve) -> ExitCode {
    let settings = match settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return cmd::report_error(error),
    };
    let level = if settings.process.verbose { slog::Level::Debug } else { slog::Level::Info };
    let (log, guard) = events::logger(settings.process.log, level);
    let result = cmd::block_on(serve(&settings, &log));
    // Dropping the guard writes pending log lines.
    drop(guard);
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => cmd::report_error(error),
        Err(error) => cmd::report_error(error),
    }
}

async fn serve(settings: &settings::Settings, log: &slog::Logger) -> Result<(), errors::Error> {
    let identity = process::load_identity(&settings.tls)?;
    let tree = process::start(settings, identity, log).await?;
    process::run(tree, log).await
}

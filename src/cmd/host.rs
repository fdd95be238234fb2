//! `basilfield host --settings FILE`: runs one role of a fleet whose hosts discover each
//! other through seed addresses.
//!
//! SIGTERM and SIGINT start a graceful stop; SIGHUP reloads the settings.

use crate::cmd;
use crate::errors;
use crate::events;
use crate::fleet;
use crate::process;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Run one role of a fleet whose hosts find each other by seeds.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "host")]
pub struct Host {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
    /// only check the settings file
    #[argh(switch)]
    pub check: bool,
}

/// Runs the command. `protocol` translates the requests of callers, endpoints and operators.
pub fn run(args: &Host, protocol: Arc<dyn fleet::protocol::Protocol>) -> ExitCode {
    let settings = match fleet::settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return cmd::report_error(error),
    };
    if args.check {
        println!("{} is valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let level = if settings.host.verbose { slog::Level::Debug } else { slog::Level::Info };
    let out = std::io::stdout();
    let (log, guard) = events::logger_to(out, settings.host.log, level);
    let result = run_host(settings, args.settings.clone(), protocol, &log);
    // Dropping the guard writes pending log lines.
    drop(guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cmd::report_error(error),
    }
}

/// Runs the role until it stops. One thread serves all connections, because hosts have at most one
/// core.
fn run_host(
    settings: fleet::settings::Settings,
    path: PathBuf,
    protocol: Arc<dyn fleet::protocol::Protocol>,
    log: &slog::Logger,
) -> Result<(), errors::Error> {
    let start_error = |e| errors::Error::io("start runtime", "tokio", e);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(start_error)?;
    runtime.block_on(async {
        let tree = fleet::start(settings, path, protocol, log).await?;
        process::run(tree, log).await
    })
}

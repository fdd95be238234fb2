//! Commands of the `basilfield` binary, one module per command.

pub mod cert;

use std::process::ExitCode;

/// Parses the command line, runs the command and returns its exit code.
pub fn run() -> ExitCode {
    println!("basilfield {}", env!("CARGO_PKG_VERSION"));
    ExitCode::SUCCESS
}

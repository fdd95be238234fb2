//! Commands of the `basilfield` binary, one module per command.
//!
//! Exit codes: 0 on success, 1 if the command failed or was refused, 2 for wrong usage.

pub mod apply;
pub mod cancel;
pub mod cert;
pub mod check;
pub mod dev;
pub mod drain;
pub mod explain;
pub mod history;
pub mod host;
pub mod jobs;
pub mod keygen;
pub mod results;
pub mod resume;
pub mod serve;
pub mod status;
pub mod submit;
pub mod template;
pub mod withdraw;

use crate::api;
use crate::errors;
use crate::fleet;
use serde_json::Value;
use std::future::Future;
use std::process::ExitCode;
use std::sync::Arc;

/// Exit code of a command that failed or was refused.
pub const EXIT_FAILURE: u8 = 1;
/// HTTP status of a request without a valid key.
const STATUS_UNAUTHORIZED: u16 = 401;
/// Exit code of wrong usage.
pub const EXIT_USAGE: u8 = 2;

/// Serves online and batch inference of many workspaces on one fleet.
#[derive(argh::FromArgs, Debug)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Apply(apply::Apply),
    Cancel(cancel::Cancel),
    Cert(cert::Cert),
    Check(check::Check),
    Dev(dev::Dev),
    Drain(drain::Drain),
    Explain(explain::Explain),
    History(history::History),
    Host(host::Host),
    Jobs(jobs::Jobs),
    Keygen(keygen::Keygen),
    Resume(resume::Resume),
    Results(results::Results),
    Serve(serve::Serve),
    Status(status::Status),
    Submit(submit::Submit),
    Template(template::Template),
    Withdraw(withdraw::Withdraw),
}

/// Parses the command line, runs the command and returns its exit code. `protocol` is the
/// protocol of the command `host`.
pub fn run(protocol: Arc<dyn fleet::protocol::Protocol>) -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let Some((_, rest)) = words.split_first() else { return ExitCode::from(EXIT_USAGE) };
    if rest == ["--version"] {
        println!("basilfield {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let args = match <Args as argh::FromArgs>::from_args(&["basilfield"], rest) {
        Ok(args) => args,
        Err(exit) => return print_usage(&exit),
    };
    match args.command {
        Command::Apply(args) => apply::run(&args),
        Command::Cancel(args) => cancel::run(&args),
        Command::Cert(args) => cert::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Dev(args) => dev::run(&args),
        Command::Drain(args) => drain::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::History(args) => history::run(&args),
        Command::Host(args) => host::run(&args, protocol),
        Command::Jobs(args) => jobs::run(&args),
        Command::Keygen(args) => keygen::run(&args),
        Command::Resume(args) => resume::run(&args),
        Command::Results(args) => results::run(&args),
        Command::Serve(args) => serve::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Submit(args) => submit::run(&args),
        Command::Template(args) => template::run(&args),
        Command::Withdraw(args) => withdraw::run(&args),
    }
}

/// Prints the help text or the usage error and returns the exit code for it.
fn print_usage(exit: &argh::EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            eprintln!("Run basilfield --help for more information.");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Runs a future to completion on a new multi-threaded tokio runtime. Fails if the runtime cannot
/// start.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T, std::io::Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    Ok(runtime.block_on(future))
}

/// Prints an error and returns [`EXIT_FAILURE`].
pub fn report_error(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("basilfield: {error}");
    ExitCode::from(EXIT_FAILURE)
}

/// Sends one request and prints its answer, as JSON or with `show`. `target` holds the URL of an
/// entry and the key. If the outcome is unknown, also prints how to repeat the request.
pub fn send_request(
    target: (&str, &str),
    method: &str,
    path: &str,
    body: &Value,
    json: bool,
    show: impl FnOnce(&Value),
) -> ExitCode {
    let client = api::Client::new(target.0, target.1);
    let text = if body.is_null() { String::new() } else { body.to_string() };
    match block_on(client.send(method, path, text)) {
        Ok(Ok(answer)) => {
            let code = report_answer(&answer, json, show);
            if answer.json()["error"]["run"] == "unknown" {
                print_retry_hint(body);
            }
            code
        }
        Ok(Err(error)) => {
            let code = report_error(&error);
            if matches!(error.cause, errors::Cause::Timeout(_) | errors::Cause::Lost(_)) {
                print_retry_hint(body);
            }
            code
        }
        Err(error) => report_error(error),
    }
}

/// Prints how to repeat a command whose outcome is unknown.
fn print_retry_hint(body: &Value) {
    if let Some(id) = body["id"].as_str() {
        eprintln!("  it may have taken effect; send it again with --id {id}, which is safe");
    }
}

/// Prints an answer and returns the exit code for it.
pub fn report_answer(answer: &api::Answer, json: bool, show: impl FnOnce(&Value)) -> ExitCode {
    let value = answer.json();
    if json {
        println!("{value}");
    } else if answer.is_ok() {
        show(&value);
    } else {
        print_refusal(answer.status, &value);
    }
    if answer.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILURE) }
}

/// Prints why a request was refused.
fn print_refusal(status: u16, value: &Value) {
    let error = &value["error"];
    let message = error["message"].as_str().or(value["message"].as_str());
    match message {
        Some(message) => {
            let message = message.strip_prefix("refused: ").unwrap_or(message);
            eprintln!("basilfield: refused ({status}): {message}");
        }
        None => eprintln!("basilfield: refused ({status}): {value}"),
    }
    for problem in value["problems"].as_array().into_iter().flatten() {
        eprintln!("  {}", problem.as_str().unwrap_or_default());
    }
    if status == STATUS_UNAUTHORIZED {
        eprintln!("  give a valid key with --key or in the variable BASILFIELD_KEY");
    }
    if let Some(run) = error["run"].as_str() {
        eprintln!("  run: {run}");
    }
}

/// Prints the message of an answer, or `done` if it has none.
pub fn show_message(value: &Value) {
    println!("{}", value["message"].as_str().unwrap_or("done"));
}

/// Returns a random id, the default of `--id`.
pub fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

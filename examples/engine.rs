//! Runs the engine or service emulator as a process.
//!
//! Prints the bound address in one line and announces itself to the agent. On SIGTERM or SIGINT, it
//! withdraws from the agent and finishes its running requests.

use argh::FromArgs;
use basilfield::emulator;
use basilfield::errors;
use basilfield::events;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix;

/// Emulates a model engine or a plain service.
#[derive(FromArgs)]
struct Args {
    /// address to listen on; port 0 selects a free port (default 127.0.0.1:0)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    address: SocketAddr,
    /// address of the agent to announce to
    #[argh(option)]
    agent: Option<SocketAddr>,
    /// name of the endpoint (default engine)
    #[argh(option, default = "String::from(\"engine\")")]
    name: String,
    /// kind of endpoint: engine or service (default engine)
    #[argh(option, default = "Kind::Engine")]
    kind: Kind,
    /// model to serve, may be repeated (default needle-llm)
    #[argh(option)]
    model: Vec<String>,
    /// streams or calls at once (default 32)
    #[argh(option, default = "32")]
    slots: u32,
    /// fixed part of a step in milliseconds (default 10)
    #[argh(option, default = "10.0")]
    step_ms: f64,
    /// part of a step for each running stream in milliseconds (default 0.35)
    #[argh(option, default = "0.35")]
    stream_ms: f64,
    /// time for each uncached prompt token in milliseconds (default 0.02)
    #[argh(option, default = "0.02")]
    prefill_ms: f64,
    /// age that the load report reaches in milliseconds (default 1000)
    #[argh(option, default = "1000.0")]
    lag_ms: f64,
    /// time that each call of a service takes in milliseconds (default 0)
    #[argh(option, default = "0.0")]
    delay_ms: f64,
    /// carry out orders with an old number instead of refusing them
    #[argh(switch)]
    no_fencing: bool,
    /// faults as JSON, for example {{"fail_every": 10, "break_after": 5}}
    #[argh(option, from_str_fn(parse_faults))]
    faults: Option<emulator::Faults>,
    /// longest time that a graceful stop may take in seconds (default 60)
    #[argh(option, default = "60")]
    stop_s: u64,
}

#[derive(Clone, Copy)]
enum Kind {
    Engine,
    Service,
}

impl std::str::FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        match text {
            "engine" => Ok(Kind::Engine),
            "service" => Ok(Kind::Service),
            _ => Err("expected engine or service".to_string()),
        }
    }
}

fn parse_faults(text: &str) -> Result<emulator::Faults, String> {
    serde_json::from_str(text).map_err(|e| e.to_string())
}

enum Emulator {
    Engine(emulator::Engine),
    Service(emulator::Service),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run(args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => fail(
            &"requests were still running when the time for the graceful stop (--stop-s) ended",
        ),
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("engine: {error}");
    ExitCode::FAILURE
}

async fn run(args: Args) -> Result<bool, errors::Error> {
    let (log, _guard) = events::logger(events::Format::Human, slog::Level::Warning);
    let signal = |kind| unix::signal(kind).map_err(|e| errors::Error::io("signal", "local", e));
    let mut terminate = signal(unix::SignalKind::terminate())?;
    let mut interrupt = signal(unix::SignalKind::interrupt())?;
    let stop_timeout = Duration::from_secs(args.stop_s);
    let emulator = start_emulator(args, &log).await?;
    let addr = match &emulator {
        Emulator::Engine(engine) => engine.addr(),
        Emulator::Service(service) => service.addr(),
    };
    println!("listening on {addr}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(match emulator {
        Emulator::Engine(engine) => engine.stop(stop_timeout).await,
        Emulator::Service(service) => service.stop(stop_timeout).await,
    })
}

async fn start_emulator(args: Args, log: &slog::Logger) -> Result<Emulator, errors::Error> {
    let faults = args.faults.unwrap_or_default();
    let (address, agent, name) = (args.address, args.agent, args.name.into());
    if let Kind::Service = args.kind {
        let delay = parse_millis(args.delay_ms)?;
        let settings =
            emulator::ServiceSettings { address, agent, name, slots: args.slots, delay, faults };
        return emulator::Service::start(settings, log).await.map(Emulator::Service);
    }
    let defaults = emulator::Settings::default();
    let models = if args.model.is_empty() {
        defaults.models.clone()
    } else {
        args.model.into_iter().map(Into::into).collect()
    };
    let settings = emulator::Settings {
        address,
        agent,
        name,
        models,
        slots: args.slots,
        step_time: parse_millis(args.step_ms)?,
        stream_time: parse_millis(args.stream_ms)?,
        prefill_time: parse_millis(args.prefill_ms)?,
        load_interval: parse_millis(args.lag_ms)?,
        fencing: !args.no_fencing,
        faults,
        ..defaults
    };
    emulator::Engine::start(settings, log).await.map(Emulator::Engine)
}

fn parse_millis(value: f64) -> Result<Duration, errors::Error> {
    Duration::try_from_secs_f64(value / 1000.0)
        .map_err(|e| errors::Error::invalid("parse arguments", value.to_string(), e))
}

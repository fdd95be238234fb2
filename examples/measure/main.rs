//! Measures a small fleet of processes on the loopback interface.
//!
//! Build everything first, then run one measurement:
//! `cargo build --release --bins --examples && cargo run --release --example measure -- commits`

#[path = "../../tests/workdir/mod.rs"]
mod workdir;

mod arms;
mod state;

use std::process::Command;
use std::process::ExitCode;
use std::time::Duration;
use workdir::Fleet;

/// Measures a small fleet of processes.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    measurement: Measurement,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Measurement {
    Arms(Arms),
    Latency(Latency),
    Idle(Idle),
    Commits(Commits),
    Failover(Failover),
    Force(Force),
    Restart(Restart),
}

/// added latency of entry and agent over direct calls to the engines
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "latency")]
struct Latency {
    /// requests per second in all (default 800)
    #[argh(option, default = "800")]
    rate: u32,
    /// length in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u32,
    /// endpoints, each with an agent (default 9)
    #[argh(option, default = "9")]
    endpoints: usize,
    /// entries (default 2)
    #[argh(option, default = "2")]
    entries: usize,
}

/// online latency and batch throughput, in three arms and both trades
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "arms")]
pub struct Arms {
    /// endpoints, each with an agent (default 9)
    #[argh(option, default = "9")]
    endpoints: usize,
    /// online requests per second and endpoint within bursts (default 8)
    #[argh(option, default = "8")]
    rate: u32,
    /// length of an arm in seconds (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
}

/// memory and processor time of idle processes
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "idle")]
struct Idle {
    /// length in seconds (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
}

/// committed item completions per second with three state hosts
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "commits")]
pub struct Commits {
    /// items (default 50000)
    #[argh(option, default = "50000")]
    items: u32,
    /// completions in flight (default 512)
    #[argh(option, default = "512")]
    flight: usize,
}

/// time without a leader after kill -9
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "failover")]
pub struct Failover {
    /// repetitions (default 10)
    #[argh(option, default = "10")]
    rounds: u32,
}

/// time until an accepted change is in force at every entry
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "force")]
pub struct Force {
    /// entries (default 20)
    #[argh(option, default = "20")]
    entries: usize,
    /// changes (default 100)
    #[argh(option, default = "100")]
    changes: u32,
}

/// time until a killed state host serves again
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "restart")]
pub struct Restart {
    /// items (default 100000)
    #[argh(option, default = "100000")]
    items: u32,
    /// configuration changes (default 1000)
    #[argh(option, default = "1000")]
    changes: u32,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.measurement {
        Measurement::Arms(args) => arms::run_arms(&args),
        Measurement::Latency(args) => latency(&args),
        Measurement::Idle(args) => idle(&args),
        Measurement::Commits(args) => state::commits(&args),
        Measurement::Failover(args) => state::failover(&args),
        Measurement::Force(args) => state::force(&args),
        Measurement::Restart(args) => state::restart(&args),
    }
    ExitCode::SUCCESS
}

fn latency(args: &Latency) {
    let size = workdir::Size { states: 1, entries: args.entries, agents: args.endpoints };
    let fleet = Fleet::start(size);
    fleet.create_workspace();
    let mut load = Command::new(workdir::example("load"));
    load.args(["--key", workdir::CALLER_KEY, "--model", workdir::MODEL])
        .args(["--answer", "4", "--prompt", "16"])
        .args(["--rate", &args.rate.to_string(), "--duration-s", &args.seconds.to_string()]);
    for entry in 0..args.entries {
        load.args(["--target", &fleet.entry(entry).to_string()]);
    }
    for engine in 0..args.endpoints {
        load.args(["--direct", &fleet.engine(engine).to_string()]);
    }
    let status = load.status().expect("load program runs");
    println!("load program: {status}");
    for name in ["entry-0", "agent-0", "state-0"] {
        let (cpu, memory) = (fleet.cpu_time(name), fleet.memory(name));
        println!("{name}: {cpu:?} processor time, {} KiB resident", memory / 1024);
    }
}

fn idle(args: &Idle) {
    let fleet = Fleet::start(workdir::Size { states: 3, entries: 2, agents: 4 });
    fleet.create_workspace();
    std::thread::sleep(Duration::from_secs(5));
    let names = ["agent-0", "entry-0", "state-0", "state-1", "state-2"];
    let before: Vec<Duration> = names.iter().map(|n| fleet.cpu_time(n)).collect();
    std::thread::sleep(Duration::from_secs(args.seconds));
    for (name, before) in names.iter().zip(before) {
        let used = fleet.cpu_time(name) - before;
        let share = 100.0 * used.as_secs_f64() / args.seconds as f64;
        println!("{name}: {share:.2}% of a core, {} KiB resident", fleet.memory(name) / 1024);
    }
}

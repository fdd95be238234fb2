//! Open-loop load generator for OpenAI-compatible endpoints backed by emulated engines.
//!
//! Arrivals do not wait for answers, so a slow system does not reduce its own load. The program
//! compares each whole answer with the deterministic output of the emulator. With `--direct`,
//! every second request goes straight to an engine; the difference in latency is what the system
//! adds. The exit code is 1 if a request failed, if an answer was incomplete or wrong, or if the
//! system completed none.

mod arrivals;
mod call;
mod report;

use argh::FromArgs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;

/// Number of worker threads. Few, to leave processor time to the measured processes.
const WORKER_THREADS: usize = 2;

/// Sends load to OpenAI-compatible endpoints and checks every answer.
#[derive(FromArgs)]
struct Args {
    /// address of an entry, may be repeated
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// address of an engine to call directly in every second request, may be repeated
    #[argh(option)]
    direct: Vec<SocketAddr>,
    /// key of the workspace, sent as bearer token
    #[argh(option, default = "String::new()")]
    key: String,
    /// model to ask for (default needle-llm)
    #[argh(option, default = "String::from(\"needle-llm\")")]
    model: String,
    /// model of the engines if it differs from the model to ask for
    #[argh(option)]
    engine_model: Option<String>,
    /// arrivals: poisson or bursty (default poisson)
    #[argh(option, default = "arrivals::Pattern::Poisson")]
    pattern: arrivals::Pattern,
    /// mean arrivals per second, within bursts if bursty (default 50)
    #[argh(option, default = "50.0")]
    rate: f64,
    /// length of a burst in seconds (default 2)
    #[argh(option, default = "2.0")]
    on_s: f64,
    /// time between bursts in seconds (default 2)
    #[argh(option, default = "2.0")]
    off_s: f64,
    /// duration of the arrivals in seconds (default 10)
    #[argh(option, default = "10.0")]
    duration_s: f64,
    /// length of prompts in tokens, range A-B or number (default 32-128)
    #[argh(option, default = "call::TokenRange::new(32, 128)")]
    prompt: call::TokenRange,
    /// length of answers in tokens, range A-B or number (default 8-32)
    #[argh(option, default = "call::TokenRange::new(8, 32)")]
    answer: call::TokenRange,
    /// number of different prompt prefixes; each makes up half of a prompt (default 8)
    #[argh(option, default = "8")]
    prefixes: u32,
    /// ask for whole answers instead of streams
    #[argh(switch)]
    no_stream: bool,
    /// name each request in the body field user, so that engines count it by key
    #[argh(switch)]
    name_requests: bool,
    /// seed of arrivals and prompts (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// longest time that one answer may take in seconds (default 60)
    #[argh(option, default = "60.0")]
    timeout_s: f64,
    /// most requests in flight; arrivals beyond it are counted and left out (default 5000)
    #[argh(option, default = "5000")]
    in_flight: usize,
    /// report each second of arrivals as well
    #[argh(switch)]
    seconds: bool,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let valid = |seconds: f64| Duration::try_from_secs_f64(seconds).is_ok();
    let times = [args.on_s, args.off_s, args.duration_s, args.timeout_s];
    if args.target.is_empty()
        || args.rate <= 0.0
        || args.on_s <= 0.0
        || !times.map(valid)[..].iter().all(|v| *v)
    {
        eprintln!("load: give at least one --target and positive rates and times");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("load: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let summary = runtime.block_on(run(&args));
    let text = if args.json { summary.json().to_string() } else { summary.text() };
    println!("{text}");
    if summary.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run(args: &Args) -> report::Summary {
    let config = Arc::new(call::RequestConfig {
        key: args.key.clone(),
        model: args.model.clone(),
        engine_model: args.engine_model.clone().unwrap_or_else(|| args.model.clone()),
        prompt: args.prompt,
        answer: args.answer,
        prefixes: args.prefixes.max(1),
        stream: !args.no_stream,
        named: args.name_requests,
        seed: args.seed,
        timeout: Duration::from_secs_f64(args.timeout_s),
    });
    let client = call::client();
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let seconds = args.seconds;
    let collector = tokio::spawn(async move {
        let mut summary = report::Summary::new(seconds);
        while let Some(record) = receiver.recv().await {
            summary.add(&record);
        }
        summary
    });
    let in_flight = Arc::new(AtomicUsize::new(0));
    let start = time::Instant::now();
    let mut left_out = 0;
    let arrivals =
        arrivals::Arrivals::new(args.pattern, args.rate, args.on_s, args.off_s, args.seed);
    let end = Duration::from_secs_f64(args.duration_s);
    for (number, arrival) in (0u64..).zip(arrivals.take_while(|at| *at < end)) {
        time::sleep_until(start + arrival).await;
        if in_flight.load(Ordering::Relaxed) >= args.in_flight {
            left_out += 1;
            continue;
        }
        in_flight.fetch_add(1, Ordering::Relaxed);
        let (addr, direct) = choose_target(args, number);
        let (config, client) = (config.clone(), client.clone());
        let (sender, in_flight) = (sender.clone(), in_flight.clone());
        tokio::spawn(async move {
            let start_delay = start.elapsed().saturating_sub(arrival);
            let outcome = call::send_and_check(&client, &config, addr, number).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            // Fails only if the collector panicked; its join result reports that.
            let _ = sender.send(report::Record { arrival, start_delay, direct, outcome });
        });
    }
    drop(sender);
    let mut summary = collector.await.unwrap_or_else(|_| report::Summary::new(seconds));
    summary.finish(start.elapsed(), left_out);
    summary
}

/// Returns the address for request `number`, and whether it is that of an engine.
fn choose_target(args: &Args, number: u64) -> (SocketAddr, bool) {
    let number = usize::try_from(number).unwrap_or(usize::MAX);
    if args.direct.is_empty() {
        return (args.target[number % args.target.len()], false);
    }
    let round = number / 2;
    if number.is_multiple_of(2) {
        (args.target[round % args.target.len()], false)
    } else {
        (args.direct[round % args.direct.len()], true)
    }
}

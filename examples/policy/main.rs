//! Simulates the scheduling policy of the gate in one process: the real gate and router with
//! simulated engines, bursty online arrivals and a large batch backlog.
//!
//! Every arm with online load gets the same arrivals: online alone, online and batch without the
//! policy, and both with each trade of the policy. A last arm runs batch alone.
//! `docs/experiments.md` lists the results of every variant.

use argh::FromArgs;
use basilfield::gate;
use std::time::Duration;

mod engine;
mod fleet;

/// Compare online latency and batch throughput with and without the policy.
#[derive(FromArgs)]
struct Args {
    /// seed of arrivals and lengths
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated seconds
    #[argh(option, default = "120")]
    seconds: u64,
    /// online load: `busy`, `light` or `both`
    #[argh(option, default = "String::from(\"both\")")]
    load: String,
    /// percent of the slots that batch keeps under load
    #[argh(option)]
    floor: Option<u32>,
    /// percent of the slots that batch leaves free
    #[argh(option)]
    headroom: Option<u32>,
    /// target of the time between online tokens, in microseconds
    #[argh(option)]
    target: Option<u64>,
    /// confirm cancellations only at the end of the engine's step
    #[argh(switch)]
    slow: bool,
}

/// Online loads: requests per second and endpoint in a calm period and in a burst.
const LOADS: [(&str, [f64; 2]); 2] = [("busy", [8.0, 22.0]), ("light", [4.0, 10.0])];

fn main() {
    let args: Args = argh::from_env();
    println!(
        "load  endpoints arm         first p50/p95/p99 ms     gap p50/p95/p99 ms   ratios    wait \
         p99 ms  batch items/s  of idle  preempted  recomputed  lost  refused"
    );
    for (name, rates) in LOADS {
        if args.load == name || args.load == "both" {
            for endpoints in [9, 18] {
                compare(&args, name, rates, endpoints);
            }
        }
    }
}

fn compare(args: &Args, load: &str, rates: [f64; 2], endpoints: usize) {
    let scenario = fleet::Scenario {
        endpoints,
        duration: Duration::from_secs(args.seconds),
        rates,
        batch: true,
        gate: gate::Config::default(),
        late_confirm: args.slow,
        seed: args.seed,
    };
    let alone = fleet::run(fleet::Scenario { batch: false, ..scenario.clone() });
    let baseline = gate::Config { online_priority: false, ..scenario.gate.clone() };
    let batch_alone = fleet::run(fleet::Scenario {
        rates: [0.0, 0.0],
        gate: baseline.clone(),
        ..scenario.clone()
    });
    let idle_tokens = batch_alone.batch_tokens.saturating_sub(alone.online_tokens) as f64;
    let print = |arm: &str, results: &fleet::Results| {
        print_row(args, &format!("{load:5} {endpoints:9} {arm:12}"), results, &alone, idle_tokens);
    };
    print("online alone", &alone);
    print("no policy", &fleet::run(fleet::Scenario { gate: baseline, ..scenario.clone() }));
    for trade in [gate::Trade::Tail, gate::Trade::Throughput] {
        let gate = gate_config(args, trade);
        print(trade.name(), &fleet::run(fleet::Scenario { gate, ..scenario.clone() }));
    }
    print("batch alone", &batch_alone);
}

/// Returns the gate settings of the trade with the overrides from the command line.
fn gate_config(args: &Args, trade: gate::Trade) -> gate::Config {
    let mut config = gate::Config::for_trade(trade);
    config.floor_percent = args.floor.unwrap_or(config.floor_percent);
    config.headroom_percent = args.headroom.unwrap_or(config.headroom_percent);
    if let Some(target) = args.target {
        config.target_latency = Duration::from_micros(target);
    }
    config
}

fn print_row(
    args: &Args,
    label: &str,
    run: &fleet::Results,
    alone: &fleet::Results,
    idle_tokens: f64,
) {
    let ms = |histogram: &hdrhistogram::Histogram<u64>, q: f64| {
        histogram.value_at_quantile(q) as f64 / 1000.0
    };
    let format_quantiles = |histogram: &hdrhistogram::Histogram<u64>| {
        let [a, b, c] = [0.5, 0.95, 0.99].map(|q| ms(histogram, q));
        format!("{a:6.1} {b:7.1} {c:7.1}")
    };
    let first = ms(&run.first_token, 0.99) / ms(&alone.first_token, 0.99);
    let gap = ms(&run.token_gap, 0.95) / ms(&alone.token_gap, 0.95);
    let seconds = (Duration::from_secs(args.seconds) - fleet::WARMUP).as_secs_f64();
    println!(
        "{label}  {}  {}  {first:4.2} {gap:4.2}  {:8.1}  {:13.1}  {:6.1}%  {:9}  {:10}  {:4}  {:7}",
        format_quantiles(&run.first_token),
        format_quantiles(&run.token_gap),
        ms(&run.queue_wait, 0.99),
        run.finished_items as f64 / seconds,
        100.0 * run.batch_tokens as f64 / idle_tokens,
        run.preemptions,
        run.recomputed_tokens,
        run.lost_tokens,
        run.refused,
    );
}

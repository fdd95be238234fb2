//! Measures how the memory, processor time and message sizes of the modules grow with the load,
//! for `docs/CAPACITY.md`.
//!
//! `cargo run --release --example slopes` runs the real modules at several sizes and fits a
//! least-squares line to the total cost over the size. For each quantity it prints the slope, the
//! intercept, and the residual: the root mean square of the deviations from the line, in percent
//! of the mean total. Memory is the number of allocated bytes that the allocator counts, not the
//! resident size. Processor time is that of the measuring thread and includes the allocator's
//! counting.

use basilfield::catalog;
use basilfield::jobs;
use basilfield::jobs::items::MemoryStore;
use basilfield::jobs::leases;
use basilfield::replica;
use basilfield::replica::StateMachine as _;
use basilfield::router;
use basilfield::state::directory::Directory;
use basilfield::state::group;
use basilfield::state::nodes::CatalogService;
use basilfield::state::service::Service as _;
use basilfield::template;
use basilfield::wire;
use bytes::Bytes;
use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Nodes at the target scale.
const NODES: u32 = 340;
/// Failure domains at the target scale.
const DOMAINS: u32 = 7;
/// Workspaces at the target scale.
const WORKSPACES: u32 = 8_800;
/// Size of each request and each result in bytes.
const BODY_BYTES: usize = 300;
/// Size of a custom id in bytes.
const CUSTOM_ID_BYTES: usize = 12;
/// Items in an uploaded chunk.
const CHUNK_ITEMS: u32 = 1_000;
/// Size of the length prefix of a frame on a stream, in bytes.
const FRAME_PREFIX_BYTES: usize = 4;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Wraps the system allocator and counts the bytes that are currently allocated.
struct CountingAllocator;

// The resident size is too coarse to resolve single bytes, so the allocator counts every
// allocation.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, data: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(data, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Measures the slope of quantities and prints them.
#[derive(argh::FromArgs)]
struct Args {
    /// runs at each size; the cheapest one counts, since other load only adds (default 3)
    #[argh(option, default = "3")]
    runs: u32,
}

/// Returns the number of bytes that `build` leaves allocated, and its result.
fn allocated<T>(build: impl FnOnce() -> T) -> (usize, T) {
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let built = build();
    (ALLOCATED_BYTES.load(Ordering::Relaxed) - before, built)
}

/// Returns the processor time that this thread has used, in microseconds.
fn thread_cpu_micros() -> f64 {
    // The kernel updates the value when the thread passes through the scheduler.
    std::thread::yield_now();
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("schedstat");
    let nanos = text.split_whitespace().next().and_then(|n| n.parse::<f64>().ok());
    nanos.expect("schedstat starts with nanoseconds") / 1e3
}

/// Returns the processor time that `work` uses, in microseconds.
fn time_cpu(work: impl FnOnce()) -> f64 {
    let before = thread_cpu_micros();
    work();
    thread_cpu_micros() - before
}

/// Fits a least-squares line to the points and prints its slope, intercept and residual.
fn print_fit(name: &str, unit: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let covariance_sum: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let slope = covariance_sum / points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>();
    let intercept = y - slope * x;
    let squared_error: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
    let residual = (squared_error / count).sqrt() / y * 100.0;
    let sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
    println!("{name:<44} {slope:>10.3} {unit:<5} {intercept:>12.1} {residual:>7.2}%  {sizes:.1?}");
}

/// Prints the slope of `cost` over the sizes. Each point is the lowest cost of `runs` runs.
fn print_slope(name: &str, unit: &str, runs: u32, sizes: &[u32], cost: impl Fn(u32) -> f64) {
    let lowest = |size: u32| (0..runs).map(|_| cost(size)).fold(f64::INFINITY, f64::min);
    let points: Vec<_> = sizes.iter().map(|size| (f64::from(*size), lowest(*size))).collect();
    print_fit(name, unit, &points);
}

/// Prints the slope of a number of bytes. One run suffices, because the number never varies.
fn print_byte_slope(name: &str, sizes: &[u32], cost: &dyn Fn(u32) -> f64) {
    print_slope(name, "B", 1, sizes, cost);
}

/// Encodes a change that puts a workspace. Its key differs in every round.
fn encode_change(number: u32, round: u32) -> Vec<u8> {
    let values = [
        ("name", format!("workspace-{number}")),
        ("keys", format!("{:064x}", u64::from(round) << 32 | u64::from(number))),
        ("rate", "40".into()),
        ("concurrency", "32".into()),
    ];
    let parameters: template::Parameters =
        values.into_iter().map(|(n, v)| (n.into(), template::RawValue::Text(v.into()))).collect();
    let template = template::get("workspace").expect("template is shipped");
    let document = template::fill(template, &parameters).expect("parameters are valid");
    catalog::encode(&catalog::Command::Change {
        id: format!("change-{round}-{number}-0123456789abcdef").into(),
        expected: None,
        operator: "abena.mensah".into(),
        changes: vec![catalog::Change::put(document)],
    })
}

fn agent_name(number: u32) -> Arc<str> {
    format!("agent-{number:04}").into()
}

fn domain_name(number: u32) -> Arc<str> {
    format!("domain-{}", number % DOMAINS).into()
}

fn region_name(number: u32) -> Arc<str> {
    format!("region-{}", number % DOMAINS % 3).into()
}

fn encode_join(number: u32) -> Vec<u8> {
    let endpoint = |at: u32| catalog::Endpoint {
        name: format!("engine-{number:04}-{at}").into(),
        kind: catalog::EndpointKind::Engine,
        address: format!("10.0.0.1:{}", 8_000 + at).into(),
        models: vec!["needle-llm".into()],
        slots: 16,
        fencing: true,
    };
    let agent = catalog::AgentRecord {
        name: agent_name(number),
        address: "10.0.0.1:7100".into(),
        domain: domain_name(number),
        region: region_name(number),
        // About 1,100 engines on 340 nodes: three on each node and a fourth on some.
        endpoints: (0..3 + u32::from(number % 17 < 4)).map(endpoint).collect(),
    };
    catalog::encode(&catalog::Command::Join { agent })
}

/// Returns a catalog with this many workspaces and all agents of the target scale.
fn filled_catalog(workspaces: u32) -> catalog::Catalog {
    let mut state = catalog::Catalog::new();
    let commands = (0..NODES).map(encode_join).chain((0..workspaces).map(|n| encode_change(n, 0)));
    for (index, command) in (1..).zip(commands) {
        state.apply(index, &command);
    }
    assert_eq!(state.config().len(), workspaces as usize);
    state
}

fn make_heartbeat(number: u32) -> wire::Heartbeat {
    wire::Heartbeat {
        node: agent_name(number),
        role: "agent".into(),
        domain: domain_name(number),
        revision: 100_000,
        digest: u64::MAX - 1,
        expiry: 2_592_000,
    }
}

/// Returns the size of the frame that carries `value`, in bytes.
fn frame_bytes<T: serde::Serialize>(value: &T) -> f64 {
    (postcard::to_stdvec(value).expect("frame encodes").len() + FRAME_PREFIX_BYTES) as f64
}

/// Applies commands to the table of a job group.
struct TableDriver {
    table: jobs::Table,
    index: u64,
}

impl TableDriver {
    fn new() -> TableDriver {
        TableDriver { table: jobs::Table::new(Box::new(MemoryStore::default())), index: 0 }
    }

    fn apply(&mut self, command: jobs::Command) -> Vec<u8> {
        self.index += 1;
        self.table.apply(self.index, &jobs::StampedCommand { clock: self.index, command }.encode())
    }

    fn job_name(number: u32) -> Arc<str> {
        jobs::Id::of(&format!("workspace-{}", number % 100), &number.to_string()).name()
    }

    fn submit(&mut self, number: u32, total: u32, body: usize) {
        let workspace = format!("workspace-{}", number % 100).into();
        let (key, model) = (number.to_string().into(), "needle-llm".into());
        let (digest, due) = (1, 86_400_000);
        self.apply(jobs::Command::Open { workspace, key, digest, model, due, total });
        let job = TableDriver::job_name(number);
        for seq in 0..total.div_ceil(CHUNK_ITEMS) {
            let range = seq * CHUNK_ITEMS..total.min((seq + 1) * CHUNK_ITEMS);
            let custom_id = |n| format!("request{n:05}").into();
            let body = Bytes::from(vec![b'x'; body]);
            let item = |n| jobs::message::NewItem { custom_id: custom_id(n), body: body.clone() };
            let items = range.map(item).collect();
            self.apply(jobs::Command::Chunk { job: job.clone(), seq, items });
        }
        self.apply(jobs::Command::Seal { job });
    }

    fn finish(&mut self, total: u32, body: usize) {
        for item in 0..total {
            // Results do not arrive in the order of the upload.
            let item = (item ^ 1).min(total - 1);
            self.apply(complete_command(
                TableDriver::job_name(0),
                item,
                u64::from(item) << 40 | 1,
                body,
            ));
        }
    }
}

fn complete_command(job: Arc<str>, item: u32, attempt: u64, body: usize) -> jobs::Command {
    let outcome = jobs::message::ItemOutcome::Done(vec![b'y'; body].into());
    jobs::Command::Complete { job, item, attempt, outcome }
}

/// Returns the leases of a leader that was just elected.
fn elected_leases(driver: &mut TableDriver) -> leases::Leases {
    let mut leases = leases::Leases::new(leases::Config::default());
    let jobs = driver.table.start_recording();
    leases.step(Duration::ZERO, leases::Input::Elected { agents: Vec::new(), jobs });
    leases
}

/// Grants at most 16 items to one of the agents.
fn pull_leases(leases: &mut leases::Leases, token: u64) -> Vec<wire::Lease> {
    let agent = agent_name(token as u32 % NODES);
    let (models, wait) = (vec!["needle-llm".into()], Duration::ZERO);
    let input = leases::Input::Pull { token, agent, free: 16, models, wait };
    let granted = leases.step(Duration::from_secs(1), input).into_iter().map(|output| {
        let leases::Output::Grant { items, .. } = output else { return Vec::new() };
        items
    });
    granted.flatten().collect()
}

fn measure_memory() {
    let scale = [1_100, 2_200, 4_400, 8_800];
    print_byte_slope("workspace, applied with one change id", &scale, &|n| {
        allocated(|| filled_catalog(n)).0 as f64
    });
    print_byte_slope("workspace, restored from a snapshot", &scale, &|n| {
        let data = filled_catalog(n).snapshot();
        let mut state = catalog::Catalog::new();
        allocated(|| state.restore(&data).expect("restores")).0 as f64
    });
    print_byte_slope("job of one item, without content", &[1_000, 4_000, 16_000, 33_000], &|n| {
        let mut driver = TableDriver::new();
        let held = allocated(|| (0..n).for_each(|job| driver.submit(job, 1, 0))).0;
        (held - n as usize * CUSTOM_ID_BYTES) as f64
    });
    let items = [20_000, 50_000, 97_000];
    print_byte_slope("queued item, without content", &items, &|n| {
        let mut driver = TableDriver::new();
        (allocated(|| driver.submit(0, n, BODY_BYTES)).0
            - n as usize * (BODY_BYTES + CUSTOM_ID_BYTES)) as f64
    });
    print_byte_slope("finished item, without content", &items, &|n| {
        let mut driver = TableDriver::new();
        let held = allocated(|| {
            driver.submit(0, n, BODY_BYTES);
            driver.finish(n, BODY_BYTES);
        });
        (held.0 - n as usize * (BODY_BYTES + CUSTOM_ID_BYTES)) as f64
    });
    print_byte_slope("lease", &[4_000, 8_000, 16_000, 32_000], &|n| {
        let mut driver = TableDriver::new();
        driver.submit(0, 97_000, 0);
        let mut leases = elected_leases(&mut driver);
        let tokens = 0..u64::from(n / 16);
        let (held, granted) =
            allocated(|| tokens.map(|token| pull_leases(&mut leases, token).len()).sum::<usize>());
        assert_eq!(granted, n as usize);
        held as f64
    });
    for waiting in [0, group::WATCH_BUFFER as u64] {
        print_byte_slope(
            &format!("watch subscriber, {waiting} updates wait"),
            &[100, 200, 400],
            &|n| {
                let command = Bytes::from(encode_change(0, 0));
                let watch = |_| {
                    let (sender, frames) = mpsc::channel(group::WATCH_BUFFER);
                    for index in 0..waiting {
                        let update = wire::Reply::Update { index, command: command.clone() };
                        sender.try_send(update).expect("buffer has room");
                    }
                    (sender, frames)
                };
                allocated(|| (0..n).map(watch).collect::<Vec<_>>()).0 as f64
            },
        );
    }
}

fn catalog_service(count: u32) -> CatalogService {
    let mut service = CatalogService::new(Directory::default());
    for (index, number) in (1..).zip(0..count) {
        service.state_machine().apply(index, &encode_join(number));
    }
    service.leadership_changed(Duration::ZERO, true);
    service
}

fn send_heartbeat(service: &mut CatalogService, number: u32) {
    let (done, _answer) = oneshot::channel();
    service.serve(Duration::ZERO, wire::Request::Heartbeat(make_heartbeat(number)), done);
}

fn measure_time(runs: u32) {
    let micros = |name: &str, sizes: &[u32], cost: &dyn Fn(u32) -> f64| {
        print_slope(name, "us", runs, sizes, cost);
    };
    micros("heartbeat at the leader, 340 nodes", &[50_000, 100_000, 200_000, 400_000], &|n| {
        let mut service = catalog_service(NODES);
        time_cpu(|| (0..n).for_each(|at| send_heartbeat(&mut service, at % NODES)))
    });
    micros("1,000 checks for lost agents, per node", &[85, 170, 340, 680], &|n| {
        let mut service = catalog_service(n);
        (0..n).for_each(|at| send_heartbeat(&mut service, at));
        time_cpu(|| (0..1_000).for_each(|_| assert!(service.tick(Duration::ZERO).is_empty())))
    });
    micros("change applied, 8,800 workspaces", &[2_200, 4_400, 8_800, 17_600], &|n| {
        let mut state = filled_catalog(WORKSPACES);
        let change = |at: u32| encode_change(at % WORKSPACES, 1 + at / WORKSPACES);
        let commands: Vec<_> = (0..n).map(change).collect();
        time_cpu(|| {
            for (index, command) in (u64::from(NODES + WORKSPACES) + 1..).zip(&commands) {
                state.apply(index, command);
            }
        })
    });
    let items = [20_000, 50_000, 97_000];
    micros("completion applied, 300 B", &items, &|n| {
        let mut driver = TableDriver::new();
        driver.submit(0, n, BODY_BYTES);
        time_cpu(|| driver.finish(n, BODY_BYTES))
    });
    micros("item granted, completed, lease ended", &items, &|n| {
        let mut driver = TableDriver::new();
        driver.submit(0, n, BODY_BYTES);
        let mut leases = elected_leases(&mut driver);
        let mut left = n;
        let time = time_cpu(|| {
            for token in 0..u64::from(n.div_ceil(16)) {
                for lease in pull_leases(&mut leases, token) {
                    driver.apply(complete_command(
                        lease.job,
                        lease.item,
                        lease.attempt,
                        BODY_BYTES,
                    ));
                    for change in driver.table.take_changes() {
                        leases.step(Duration::from_secs(1), leases::Input::Change(change));
                    }
                    left -= 1;
                }
            }
        });
        assert_eq!(left, 0, "every item is granted once");
        time
    });
    micros("router pick, start and end, 340 agents", &[50_000, 100_000, 200_000], &|n| {
        let config = router::Config::default();
        let mut router = router::Router::new(config, "entry-1".into(), domain_name(0), 1);
        let candidate = |number: u32| router::Candidate {
            agent: agent_name(number),
            domain: domain_name(number),
            region: region_name(number),
            models: vec!["needle-llm".into()],
            slots: 52,
        };
        router.set_candidates((0..NODES).map(candidate).collect());
        let (model, deadline) = ("needle-llm".into(), Duration::from_secs(30));
        let mut query = router::Query { model, prefix: 0, deadline, tried: Vec::new() };
        time_cpu(|| {
            for at in 0..u64::from(n) {
                let now = Duration::from_micros(at * 1_250);
                query.prefix = at % 1_000;
                let pick = router.pick(now, &query).expect("an endpoint is free");
                router.observe(now, &pick.agent, router::Observation::Started);
                router.observe(now, &pick.agent, router::Observation::Finished);
            }
        })
    });
}

/// Measures the sizes of frames without the QUIC, UDP and IP headers.
fn measure_frames() {
    let fleet = [85, 170, 340];
    print_byte_slope("heartbeat and its answer", &fleet, &|n| {
        let known = wire::Reply::HeartbeatAck { known: true, revision: 100_000 };
        (0..n)
            .map(|at| {
                frame_bytes(&wire::Request::Heartbeat(make_heartbeat(at))) + frame_bytes(&known)
            })
            .sum()
    });
    print_byte_slope("confirmation and its answer", &fleet, &|n| {
        let confirmed = wire::Reply::Confirmed { index: 100_000 };
        f64::from(n) * (frame_bytes(&wire::Request::Confirm { group: 0 }) + frame_bytes(&confirmed))
    });
    print_byte_slope("change to one watcher", &[180, 360, 720], &|n| {
        let update =
            |at: u32| wire::Reply::Update { index: 100_000, command: encode_change(at, 1).into() };
        (0..n).map(|at| frame_bytes(&update(at))).sum()
    });
    let command =
        |body: u32| complete_command(TableDriver::job_name(0), 50_000, u64::MAX / 3, body as usize);
    let bodies = [100, 300, 1_000, 3_000];
    print_byte_slope("completion to the leader, per body byte", &bodies, &|n| {
        let command = jobs::encode(&command(n)).into();
        frame_bytes(&wire::Request::Propose { group: 1, command })
    });
    print_byte_slope("completion to a follower, per body byte", &bodies, &|n| {
        let stamped = jobs::StampedCommand { clock: 604_800_000, command: command(n) };
        let payload = replica::Payload::Command(stamped.encode().into());
        let entries = vec![replica::Entry { index: 1 << 29, term: 100, payload }];
        let (prev, prev_term, commit) = ((1 << 29) - 1, 100, (1 << 29) - 1);
        let body = replica::Message::Append { prev, prev_term, commit, entries };
        frame_bytes(&replica::Envelope {
            group: 1,
            from: u64::MAX / 3,
            to: u64::MAX / 5,
            term: 100,
            body,
        })
    });
    let held = [0, 4, 16, 52];
    let leases = |n: u32| {
        let lease =
            |item| wire::Lease { job: TableDriver::job_name(0), item, attempt: u64::MAX / 3 };
        (0..n).map(|at| lease(50_000 + at)).collect::<Vec<_>>()
    };
    print_byte_slope("renewal and its answer, per held lease", &held, &|n| {
        let hold = wire::Request::Renew { group: 1, agent: agent_name(0), held: leases(n) };
        frame_bytes(&hold) + frame_bytes(&wire::Reply::Renewed { stop: Vec::new() })
    });
    print_byte_slope("release and its answer, per lease", &[1, 2, 4], &|n| {
        let release = wire::Request::Release { group: 1, agent: agent_name(0), leases: leases(n) };
        frame_bytes(&release) + frame_bytes(&wire::Reply::Renewed { stop: Vec::new() })
    });
    print_byte_slope("pull and its answer, per item without body", &held, &|n| {
        let models = vec!["needle-llm".into()];
        let pull =
            wire::Request::Pull { group: 1, agent: agent_name(0), free: 52, models, wait: 1_000 };
        let grant = |lease| wire::Grant {
            lease,
            workspace: "workspace-0".into(),
            model: "needle-llm".into(),
            body: Bytes::new(),
        };
        frame_bytes(&pull)
            + frame_bytes(&wire::Reply::Granted(leases(n).into_iter().map(grant).collect()))
    });
}

/// Measures the time to encode and to restore a snapshot over its size. `make` returns a state
/// machine of the given size.
fn measure_snapshot<M: replica::StateMachine>(
    name: &str,
    runs: u32,
    sizes: &[u32],
    make: &dyn Fn(u32) -> M,
) {
    let measure = |n: u32| {
        let mut machine = make(n);
        let mut data = Vec::new();
        let (mut encode, mut restore) = (f64::INFINITY, f64::INFINITY);
        for _ in 0..runs {
            encode = encode.min(time_cpu(|| data = machine.snapshot()));
            restore = restore.min(time_cpu(|| machine.restore(&data).expect("restores")));
        }
        (data.len() as f64 / 1e6, encode / 1e3, restore / 1e3)
    };
    let all: Vec<_> = sizes.iter().map(|n| measure(*n)).collect();
    let points = |times: fn(&(f64, f64, f64)) -> f64| all.iter().map(|p| (p.0, times(p))).collect();
    let (encode, restore): (Vec<_>, Vec<_>) = (points(|p| p.1), points(|p| p.2));
    print_fit(&format!("{name} snapshot encoded, per MB"), "ms", &encode);
    print_fit(&format!("{name} snapshot restored, per MB"), "ms", &restore);
}

fn main() {
    let Args { runs } = argh::from_env();
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load before: {}", load.trim());
    println!("{:<44} {:>10} {:<5} {:>12} residual  sizes", "quantity", "slope", "", "intercept");
    measure_memory();
    measure_time(runs);
    measure_frames();
    measure_snapshot("catalog", runs, &[2_200, 4_400, 8_800], &filled_catalog);
    measure_snapshot("job group", runs, &[20_000, 97_000, 291_000], &|n| {
        let mut driver = TableDriver::new();
        driver.submit(0, n, BODY_BYTES);
        driver.finish(n, BODY_BYTES);
        driver.table
    });
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load after: {}", load.trim());
}

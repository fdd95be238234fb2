//! Measures the memory overhead of a job group per item, without the content of the bodies.
//!
//! `cargo run --release --example jobsize` prints one row per size. The first columns are bytes
//! per item: of the table and of the body store, each with queued and with finished items, and of
//! the leases. The figures of the body store exclude the custom ids and bodies themselves. An item
//! has a custom id of 8 to 12 bytes, a request of 100 bytes and a result of 100 bytes; one item in
//! a hundred has a failed attempt. The last two columns are the microseconds to grant one item and
//! to store one result.

use basilfield::jobs::Command;
use basilfield::jobs::Id;
use basilfield::jobs::StampedCommand;
use basilfield::jobs::Table;
use basilfield::jobs::items::BodyStore;
use basilfield::jobs::items::MemoryStore;
use basilfield::jobs::leases::Config;
use basilfield::jobs::leases::Input;
use basilfield::jobs::leases::Leases;
use basilfield::jobs::leases::Output;
use basilfield::jobs::message::FailureCause;
use basilfield::jobs::message::ItemOutcome;
use basilfield::jobs::message::NewItem;
use basilfield::replica::StateMachine as _;
use bytes::Bytes;
use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Jobs and items per job of each run.
const SIZES: [(u32, u32); 4] = [(1, 97_000), (10, 97_000), (40, 97_000), (33_000, 10)];

/// Items in an uploaded chunk.
const CHUNK_ITEMS: u32 = 1_000;

/// Size of each request and each result in bytes.
const BODY_BYTES: usize = 100;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Wraps the system allocator and counts the bytes that are currently allocated.
struct CountingAllocator;

// The resident size of the process is too coarse to resolve one byte per item, so the allocator
// counts every allocation.
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

fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(Ordering::Relaxed)
}

/// Body store that discards everything, so that only the table is measured.
struct NoBodies;

impl BodyStore for NoBodies {
    fn extend(&mut self, _: Id, _: &[NewItem]) {}
    fn custom_id(&self, _: Id, item: u32) -> Option<Arc<str>> {
        Some(custom_id(item))
    }
    fn request(&self, _: Id, _: u32) -> Option<Bytes> {
        None
    }
    fn put_result(&mut self, _: Id, _: u32, _: &[u8]) {}
    fn result(&self, _: Id, _: u32) -> Option<Bytes> {
        None
    }
    fn drop_requests(&mut self, _: Id) {}
    fn remove_job(&mut self, _: Id) {}
    fn export(&self) -> Vec<u8> {
        Vec::new()
    }
    fn import(&mut self, _: &[u8]) -> Result<(), postcard::Error> {
        Ok(())
    }
}

fn custom_id(item: u32) -> Arc<str> {
    format!("request{item}").into()
}

/// Applies commands to a job table.
struct TableDriver {
    table: Table,
    index: u64,
    jobs: u32,
    items: u32,
}

impl TableDriver {
    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.table.apply(self.index, &StampedCommand { clock: self.index, command }.encode());
    }

    fn job_name(number: u32) -> Arc<str> {
        Id::of(&format!("workspace {}", number % 100), &number.to_string()).name()
    }

    /// Uploads every job and records one failed attempt for every hundredth item.
    fn submit(&mut self) {
        for number in 0..self.jobs {
            let workspace = format!("workspace {}", number % 100).into();
            let (key, total) = (number.to_string().into(), self.items);
            let model = "needle-llm".into();
            self.apply(Command::Open { workspace, key, digest: 1, model, due: 0, total });
            let job = TableDriver::job_name(number);
            for seq in 0..total.div_ceil(CHUNK_ITEMS) {
                let range = seq * CHUNK_ITEMS..total.min((seq + 1) * CHUNK_ITEMS);
                let item =
                    |n| NewItem { custom_id: custom_id(n), body: vec![b'x'; BODY_BYTES].into() };
                let items = range.map(item).collect();
                self.apply(Command::Chunk { job: job.clone(), seq, items });
            }
            self.apply(Command::Seal { job: job.clone() });
            for item in (0..total).step_by(100) {
                let cause = FailureCause::Transient;
                self.apply(Command::FailAttempt { job: job.clone(), item, attempt: 1, cause });
            }
        }
    }

    /// Completes every item in an order other than that of the upload.
    fn finish(&mut self) {
        for number in 0..self.jobs {
            let job = TableDriver::job_name(number);
            for slot in 0..self.items {
                let item = (slot ^ 1).min(self.items - 1);
                let outcome = ItemOutcome::Done(vec![b'y'; BODY_BYTES].into());
                self.apply(Command::Complete { job: job.clone(), item, attempt: 2, outcome });
            }
        }
    }

    /// Returns the total size of all custom ids and requests, and of the results if `results`.
    fn content_bytes(&self, results: bool) -> usize {
        let custom_ids: usize = (0..self.items).map(|item| custom_id(item).len()).sum();
        let bodies = self.items as usize * BODY_BYTES * (1 + usize::from(results));
        self.jobs as usize * (custom_ids + bodies)
    }
}

/// Allocated bytes with all items queued, with all items finished, and of the leases; microseconds
/// to grant one item and to store one result.
struct Measurement {
    queued_bytes: usize,
    finished_bytes: usize,
    lease_bytes: usize,
    grant_micros: f64,
    result_micros: f64,
}

/// Returns the mean duration in microseconds of the `count` steps done since `start`.
fn micros_per_step(start: Instant, count: u32) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

/// Grants items to one agent, at most 16 per pull, and returns the microseconds per item.
fn time_grants(leases: &mut Leases) -> f64 {
    let start = Instant::now();
    let mut count = 0;
    for token in 0..1_000 {
        let models = vec!["needle-llm".into()];
        let wait = Duration::ZERO;
        let pull = Input::Pull { token, agent: "agent".into(), free: 16, models, wait };
        for output in leases.step(Duration::from_secs(2), pull) {
            let Output::Grant { items, .. } = output else { continue };
            count += items.len() as u32;
        }
    }
    micros_per_step(start, count)
}

fn measure(jobs: u32, items: u32, bodies: Box<dyn BodyStore>) -> Measurement {
    let baseline = allocated_bytes();
    let mut driver = TableDriver { table: Table::new(bodies), index: 0, jobs, items };
    driver.submit();
    let queued_bytes = allocated_bytes() - baseline;
    let before = allocated_bytes();
    let open_jobs = driver.table.start_recording();
    let mut leases = Leases::new(Config::default());
    leases.step(Duration::ZERO, Input::Elected { agents: Vec::new(), jobs: open_jobs });
    let lease_bytes = allocated_bytes() - before;
    let grant_micros = time_grants(&mut leases);
    drop(leases);
    driver.table.stop_recording();
    let start = Instant::now();
    driver.finish();
    let result_micros = micros_per_step(start, jobs * items);
    Measurement {
        queued_bytes,
        finished_bytes: allocated_bytes() - baseline,
        lease_bytes,
        grant_micros,
        result_micros,
    }
}

fn main() {
    println!("                  table          bodies          leases");
    println!("jobs   items/job  queued  ended  queued   ended          grant us  result us");
    for (jobs, items) in SIZES {
        let total = f64::from(jobs) * f64::from(items);
        let table_only = measure(jobs, items, Box::new(NoBodies));
        let with_bodies = measure(jobs, items, Box::new(MemoryStore::default()));
        let driver = TableDriver { table: Table::default(), index: 0, jobs, items };
        let queued = with_bodies
            .queued_bytes
            .saturating_sub(table_only.queued_bytes + driver.content_bytes(false));
        // The requests of a finished job are dropped.
        let kept = driver.content_bytes(true) - jobs as usize * items as usize * BODY_BYTES;
        let finished = with_bodies.finished_bytes.saturating_sub(table_only.finished_bytes + kept);
        let per_item = |bytes: usize| bytes as f64 / total;
        println!(
            "{jobs:<6} {items:<10} {:<7.2} {:<6.2} {:<8.2} {:<8.2} {:<5.2} {:<9.2} {:.2}",
            per_item(table_only.queued_bytes),
            per_item(table_only.finished_bytes),
            per_item(queued),
            per_item(finished),
            per_item(table_only.lease_bytes),
            table_only.grant_micros,
            with_bodies.result_micros,
        );
    }
}

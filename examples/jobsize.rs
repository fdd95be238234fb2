//! Measures the memory of a job group per item, without the content of the bodies.
//!
//! `cargo run --release --example jobsize` prints, for several sizes, the bytes per queued and per
//! finished item of the table, of the store of bodies (beyond the bytes of the custom ids and
//! bodies themselves) and of the leases. An item has a custom id of 8 to 12 bytes, a request of
//! 100 bytes and a result of 100 bytes; one in a hundred had a failed attempt. The last columns
//! are the microseconds that the leases take to grant one item, and the table to store a result.

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

/// Items of a chunk.
const CHUNK: u32 = 1_000;

/// Bytes of a request and of a result.
const BODY: usize = 100;

static LIVE: AtomicUsize = AtomicUsize::new(0);

/// System allocator that counts the allocated bytes.
struct Counting;

// Only an allocator sees every allocation; the resident size of the process is too coarse for
// one byte per item.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, data: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(data, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn live() -> usize {
    LIVE.load(Ordering::Relaxed)
}

/// Store that keeps nothing, so that only the table is measured.
struct NoBodies;

impl BodyStore for NoBodies {
    fn extend(&mut self, _: Id, _: &[NewItem]) {}
    fn custom_id(&self, _: Id, item: u32) -> Option<Arc<str>> {
        Some(custom(item))
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

fn custom(item: u32) -> Arc<str> {
    format!("request{item}").into()
}

/// Table under load.
struct Run {
    table: Table,
    index: u64,
    jobs: u32,
    items: u32,
}

impl Run {
    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.table.apply(self.index, &StampedCommand { clock: self.index, command }.encode());
    }

    fn job(number: u32) -> Arc<str> {
        Id::of(&format!("workspace {}", number % 100), &number.to_string()).name()
    }

    /// Uploads every job and counts one failed attempt of one item in a hundred.
    fn submit(&mut self) {
        for number in 0..self.jobs {
            let workspace = format!("workspace {}", number % 100).into();
            let (key, total) = (number.to_string().into(), self.items);
            let model = "needle-llm".into();
            self.apply(Command::Open { workspace, key, digest: 1, model, due: 0, total });
            let job = Run::job(number);
            for seq in 0..total.div_ceil(CHUNK) {
                let range = seq * CHUNK..total.min((seq + 1) * CHUNK);
                let item = |n| NewItem { custom_id: custom(n), body: vec![b'x'; BODY].into() };
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

    /// Completes every item, in an order that is not that of the upload.
    fn finish(&mut self) {
        for number in 0..self.jobs {
            let job = Run::job(number);
            for slot in 0..self.items {
                let item = (slot ^ 1).min(self.items - 1);
                let outcome = ItemOutcome::Done(vec![b'y'; BODY].into());
                self.apply(Command::Complete { job: job.clone(), item, attempt: 2, outcome });
            }
        }
    }

    fn content(&self, results: bool) -> usize {
        let customs: usize = (0..self.items).map(|item| custom(item).len()).sum();
        let bodies = self.items as usize * BODY * (1 + usize::from(results));
        self.jobs as usize * (customs + bodies)
    }
}

/// Bytes of the table when queued and when finished, and of the leases; microseconds of one grant
/// and of one result.
struct Measured {
    queued: usize,
    finished: usize,
    leases: usize,
    grant: f64,
    result: f64,
}

/// Microseconds of each of `count` steps since `start`.
fn micros(start: Instant, count: u32) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

/// Grants items to one agent, 16 at a time, and returns the microseconds of one.
fn grant(leases: &mut Leases) -> f64 {
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
    micros(start, count)
}

fn measure(jobs: u32, items: u32, bodies: Box<dyn BodyStore>) -> Measured {
    let empty = live();
    let mut run = Run { table: Table::new(bodies), index: 0, jobs, items };
    run.submit();
    let queued = live() - empty;
    let before = live();
    let open = run.table.start_recording();
    let mut leases = Leases::new(Config::default());
    leases.step(Duration::ZERO, Input::Elected { agents: Vec::new(), jobs: open });
    let granting = live() - before;
    let grant = grant(&mut leases);
    drop(leases);
    run.table.stop_recording();
    let start = Instant::now();
    run.finish();
    let result = micros(start, jobs * items);
    Measured { queued, finished: live() - empty, leases: granting, grant, result }
}

fn main() {
    println!("                  table          bodies          leases");
    println!("jobs   items/job  queued  ended  queued   ended          grant us  result us");
    for (jobs, items) in SIZES {
        let total = f64::from(jobs) * f64::from(items);
        let table = measure(jobs, items, Box::new(NoBodies));
        let all = measure(jobs, items, Box::new(MemoryStore::default()));
        let run = Run { table: Table::default(), index: 0, jobs, items };
        let queued = all.queued.saturating_sub(table.queued + run.content(false));
        // The requests of a finished job are dropped.
        let kept = run.content(true) - jobs as usize * items as usize * BODY;
        let finished = all.finished.saturating_sub(table.finished + kept);
        let each = |bytes: usize| bytes as f64 / total;
        println!(
            "{jobs:<6} {items:<10} {:<7.2} {:<6.2} {:<8.2} {:<8.2} {:<5.2} {:<9.2} {:.2}",
            each(table.queued),
            each(table.finished),
            each(queued),
            each(finished),
            each(table.leases),
            table.grant,
            all.result,
        );
    }
}

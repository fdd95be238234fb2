//! Measures the memory of a job group per item, without the content of the bodies.
//!
//! `cargo run --release --example jobsize` prints, for several sizes, the bytes per queued and per
//! finished item of the table, of the store of bodies (beyond the bytes of the custom ids and
//! bodies themselves) and of the leases. An item has a custom id of 8 to 12 bytes, a request of
//! 100 bytes and a result of 100 bytes; one in a hundred had a failed attempt.

use basilfield::jobs::Command;
use basilfield::jobs::Id;
use basilfield::jobs::Stamped;
use basilfield::jobs::Table;
use basilfield::jobs::items::Bodies;
use basilfield::jobs::items::Memory;
use basilfield::jobs::leases::Config;
use basilfield::jobs::leases::Input;
use basilfield::jobs::leases::Leases;
use basilfield::jobs::message::AttemptCause;
use basilfield::jobs::message::ItemOutcome;
use basilfield::jobs::message::NewItem;
use basilfield::replica::Machine as _;
use bytes::Bytes;
use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

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

impl Bodies for NoBodies {
    fn extend(&mut self, _: Id, _: &[NewItem]) {}
    fn custom(&self, _: Id, item: u32) -> Option<Arc<str>> {
        Some(custom(item))
    }
    fn input(&self, _: Id, _: u32) -> Option<Bytes> {
        None
    }
    fn put(&mut self, _: Id, _: u32, _: &[u8]) {}
    fn result(&self, _: Id, _: u32) -> Option<Bytes> {
        None
    }
    fn end(&mut self, _: Id) {}
    fn remove(&mut self, _: Id) {}
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
        self.table.apply(self.index, &Stamped { clock: self.index, command }.encode());
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
                let item = |n| NewItem { custom: custom(n), body: vec![b'x'; BODY].into() };
                let items = range.map(item).collect();
                self.apply(Command::Chunk { job: job.clone(), seq, items });
            }
            self.apply(Command::Seal { job: job.clone() });
            for item in (0..total).step_by(100) {
                let cause = AttemptCause::Transient;
                self.apply(Command::Attempt { job: job.clone(), item, attempt: 1, cause });
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

/// Bytes of the table when queued and when finished, and of the leases.
fn measure(jobs: u32, items: u32, bodies: Box<dyn Bodies>) -> [usize; 3] {
    let empty = live();
    let mut run = Run { table: Table::new(bodies), index: 0, jobs, items };
    run.submit();
    let queued = live() - empty;
    let before = live();
    let open = run.table.observe();
    let mut leases = Leases::new(Config::default());
    leases.step(Duration::ZERO, Input::Elected { agents: Vec::new(), jobs: open });
    let granting = live() - before;
    drop(leases);
    run.table.ignore();
    run.finish();
    [queued, live() - empty, granting]
}

fn main() {
    println!(
        "jobs   items/job  table queued  table finished  bodies queued  bodies finished  leases"
    );
    for (jobs, items) in SIZES {
        let total = f64::from(jobs) * f64::from(items);
        let [queued, finished, leases] = measure(jobs, items, Box::new(NoBodies));
        let [all_queued, all_finished, _] = measure(jobs, items, Box::new(Memory::default()));
        let run = Run { table: Table::default(), index: 0, jobs, items };
        let bodies_queued = all_queued.saturating_sub(queued + run.content(false));
        let kept = run.content(true) - jobs as usize * items as usize * BODY;
        let bodies_finished = all_finished.saturating_sub(finished + kept);
        let each = |bytes: usize| bytes as f64 / total;
        println!(
            "{jobs:<6} {items:<10} {:<13.2} {:<15.2} {:<14.2} {:<16.2} {:.2}",
            each(queued),
            each(finished),
            each(bodies_queued),
            each(bodies_finished),
            each(leases),
        );
    }
}

//! Measures the throughput and sync latency of appends to a data folder.
//!
//! `cargo run --release --example append -- [FOLDER]` appends entries of 200 bytes in batches
//! of several sizes, syncs once per batch, and prints the appended entries per second and the
//! latency of a sync. FOLDER defaults to a temporary directory, which may be on another disk than
//! the one that the state hosts use.

use basilfield::replica;
use basilfield::storage;
use hdrhistogram::Histogram;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

/// Size of one command in bytes, about that of an item completion without its body.
const COMMAND_BYTES: usize = 200;
/// Duration of the measurement of each batch size.
const MEASURE_DURATION: Duration = Duration::from_secs(3);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let temporary = tempfile::tempdir()?;
    let path = std::env::args().nth(1);
    let path = path.as_ref().map_or(temporary.path(), Path::new);
    println!("entries/sync   entries/s   syncs/s   sync p50 ms   p99 ms   max ms");
    for batch in [1, 10, 100, 1000] {
        let folder = path.join(format!("batch-{batch}"));
        measure(&folder, batch)?;
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(())
}

/// Appends and syncs batches of `batch` entries and prints one row of the table.
fn measure(path: &Path, batch: u64) -> Result<(), Box<dyn std::error::Error>> {
    let (mut folder, ..) = storage::Folder::open(path, 1)?;
    let mut latency = Histogram::<u64>::new(3)?;
    let mut next_index = 1;
    let start = Instant::now();
    while start.elapsed() < MEASURE_DURATION {
        let entries: Vec<replica::Entry> =
            (next_index..next_index + batch).map(make_entry).collect();
        next_index += batch;
        let started = Instant::now();
        folder.append(None, &entries)?;
        folder.sync()?;
        latency.record(started.elapsed().as_micros() as u64)?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let ms = |micros: u64| micros as f64 / 1000.0;
    println!(
        "{batch:12} {:11.0} {:9.0} {:13.2} {:8.2} {:8.2}",
        (next_index - 1) as f64 / seconds,
        latency.len() as f64 / seconds,
        ms(latency.value_at_quantile(0.5)),
        ms(latency.value_at_quantile(0.99)),
        ms(latency.max()),
    );
    Ok(())
}

fn make_entry(index: u64) -> replica::Entry {
    let command = vec![index as u8; COMMAND_BYTES].into();
    replica::Entry { index, term: 1, payload: replica::Payload::Command(command) }
}

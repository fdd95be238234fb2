//! Output of an item that has arrived, and the part of it that the ledger holds; free of I/O.

use crate::fleet::ledger;
use std::sync::Arc;
use std::time::Duration;

/// Ids of a job and one of its items.
pub type ItemKey = (Arc<str>, Arc<str>);

/// Output of an item that has arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Events that are stored in the ledger.
    pub stored_events: u64,
    /// Data of the events after those, separated by line feeds.
    output: Vec<u8>,
    /// Events in all.
    pub events: u64,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// Time for which the item has run.
    pub run_time: Duration,
}

impl Progress {
    /// Progress of an item of which the ledger holds a part.
    pub fn new(stored: &ledger::StoredOutput) -> Progress {
        let (events, last_event) = (stored.events, stored.last_event);
        Progress { stored_events: events, events, last_event, ..Progress::default() }
    }

    /// Adds the data of an event.
    pub fn add_event(&mut self, data: &[u8], id: Option<u64>) {
        if self.events > self.stored_events {
            self.output.push(b'\n');
        }
        self.output.extend_from_slice(data);
        self.events += 1;
        self.last_event = id.or(self.last_event);
    }

    /// What the ledger does not hold yet.
    pub fn unstored_chunk(&self, key: &ItemKey) -> ledger::OutputChunk {
        ledger::OutputChunk {
            job: key.0.clone(),
            item: key.1.clone(),
            after: self.stored_events,
            events: self.events,
            last_event: self.last_event,
            data: self.output.clone().into(),
        }
    }

    /// Bytes of output that the ledger does not hold yet.
    pub fn unstored_bytes(&self) -> usize {
        self.output.len()
    }

    /// Forgets the output that the ledger has stored: `len` bytes up to the event `events`.
    pub fn mark_stored(&mut self, events: u64, len: usize) {
        let separator = usize::from(self.events > events);
        self.output.drain(..(len + separator).min(self.output.len()));
        self.stored_events = events;
    }
}

/// Parts to be stored with one command, in the given order and at most `room` bytes in all. A part
/// that is too long is left out, so that it does not hold up those after it.
pub fn unstored_chunks<'a>(
    items: impl Iterator<Item = (&'a ItemKey, &'a Progress)>,
    mut max_bytes: usize,
) -> Vec<(ItemKey, ledger::OutputChunk)> {
    let mut chunks = Vec::new();
    for (key, progress) in items.filter(|(_, progress)| progress.events > progress.stored_events) {
        if progress.unstored_bytes() <= max_bytes {
            max_bytes -= progress.unstored_bytes();
            chunks.push((key.clone(), progress.unstored_chunk(key)));
        }
    }
    chunks
}

//! Output of an item that has arrived, and the part of it that the ledger holds; free of I/O.

use crate::fleet::ledger;
use std::sync::Arc;
use std::time::Duration;

/// Ids of a job and one of its items.
pub type Key = (Arc<str>, Arc<str>);

/// Output of an item that has arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Events that are stored in the ledger.
    pub stored: u64,
    /// Data of the events after those, separated by line feeds.
    output: Vec<u8>,
    /// Events in all.
    pub events: u64,
    /// Number of the last event.
    pub last: Option<u64>,
    /// Time for which the item has run.
    pub ran: Duration,
}

impl Progress {
    /// Progress of an item of which the ledger holds a part.
    pub fn new(part: &ledger::Part) -> Progress {
        let (events, last) = (part.events, part.last);
        Progress { stored: events, events, last, ..Progress::default() }
    }

    /// Adds the data of an event.
    pub fn add(&mut self, data: &[u8], id: Option<u64>) {
        if self.events > self.stored {
            self.output.push(b'\n');
        }
        self.output.extend_from_slice(data);
        self.events += 1;
        self.last = id.or(self.last);
    }

    /// What the ledger does not hold yet.
    pub fn advance(&self, key: &Key) -> ledger::Advance {
        ledger::Advance {
            job: key.0.clone(),
            item: key.1.clone(),
            after: self.stored,
            events: self.events,
            last: self.last,
            data: self.output.clone().into(),
        }
    }

    /// Bytes of output that the ledger does not hold yet.
    pub fn unstored(&self) -> usize {
        self.output.len()
    }

    /// Forgets the output that the ledger has stored: `len` bytes up to the event `events`.
    pub fn settle(&mut self, events: u64, len: usize) {
        let separator = usize::from(self.events > events);
        self.output.drain(..(len + separator).min(self.output.len()));
        self.stored = events;
    }
}

/// Parts to be stored with one command, in the given order and at most `room` bytes in all. A part
/// that is too long is left out, so that it does not hold up those after it.
pub fn parts<'a>(
    items: impl Iterator<Item = (&'a Key, &'a Progress)>,
    mut room: usize,
) -> Vec<(Key, ledger::Advance)> {
    let mut parts = Vec::new();
    for (key, progress) in items.filter(|(_, progress)| progress.events > progress.stored) {
        if progress.unstored() <= room {
            room -= progress.unstored();
            parts.push((key.clone(), progress.advance(key)));
        }
    }
    parts
}

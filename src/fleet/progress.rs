//! Output of an item that has arrived so far, and how much of it is stored in the ledger. Free of
//! I/O.

use crate::fleet::ledger;
use std::sync::Arc;
use std::time::Duration;

/// Most output of an item that is not stored yet. It arrives within a few seconds, in which an
/// engine writes some kilobytes.
const MAX_UNSTORED_BYTES: usize = 1 << 20;
/// Most output of an item, which is read in one answer: half of the longest frame between hosts.
const MAX_OUTPUT_BYTES: usize = 8 << 20;

/// Runs that ended without an event, since the last event, after which an item starts over. It may have
/// had its last event before its connection was lost, so that no run from there on ends in another way.
const MAX_EMPTY_RUNS: u32 = 2;

/// What the end of an answer that states none says about the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenEnd {
    /// The output is complete: an earlier answer has ended at the same event, or no run can go on after
    /// it.
    Confirmed,
    /// Another run has to tell whether anything follows.
    Unconfirmed,
    /// No run tells it, so the item starts over.
    StartsOver,
}

/// Ledger key of a job and id of one of its items.
pub type ItemKey = (Arc<str>, Arc<str>);

/// Output of an item that has arrived so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of events stored in the ledger.
    pub stored_events: u64,
    /// Bytes of output stored in the ledger.
    pub stored_bytes: usize,
    /// Data of the events that are not stored yet, separated by line feeds.
    output: Vec<u8>,
    /// Number of events that have arrived.
    pub events: u64,
    /// Id of the last numbered event.
    pub last_event: Option<u64>,
    /// Total run time of the item's previous runs.
    pub run_time: Duration,
    /// Generation that the output belongs to.
    pub generation: ledger::Generation,
    /// Whether the answer with the last event ended there without a stated end.
    open: bool,
    /// Runs since the last event that ended without one.
    empty_runs: u32,
    /// Whether an event without an id has arrived since the last numbered one. No run can go on after
    /// it.
    unnumbered: bool,
    /// Whether the item has left a silent endpoint, and since then each event has come after a long
    /// silence. It stays where it is then, until its run ends.
    pub moved: bool,
}

impl Progress {
    /// Creates the progress of an item whose output is stored up to `stored`, which belongs to
    /// `generation`.
    pub fn new(stored: &ledger::StoredOutput, generation: ledger::Generation) -> Progress {
        let (events, last_event) = (stored.events, stored.last_event);
        let stored_bytes = stored.output.len();
        Progress {
            stored_events: events,
            stored_bytes,
            events,
            last_event,
            generation,
            unnumbered: events > 0 && last_event.is_none(),
            ..Progress::default()
        }
    }

    /// Build at which the item goes on after the output that has arrived; `None` if there is no
    /// output, or its build is not known.
    pub fn build(&self) -> Option<&Arc<str>> {
        self.generation.build.as_ref().filter(|_| self.events > 0)
    }

    /// Whether another run can go on after the output that has arrived.
    pub fn is_resumable(&self) -> bool {
        self.events > 0 && !self.unnumbered
    }

    /// Prepares a run at an endpoint of the given build. If the output that has arrived is of
    /// another build, or its last event has no id, the item starts over. Returns whether it does.
    pub fn prepare_run(&mut self, build: &Arc<str>) -> bool {
        let starts_over = self.events > 0 && (self.unnumbered || self.build() != Some(build));
        if starts_over {
            self.start_over();
        }
        self.generation.build = Some(build.clone());
        starts_over
    }

    /// Records that an answer, with or without events, ended without anything that shows that it is
    /// complete. The connections of an endpoint that is killed are closed like those after a complete
    /// answer, so it takes two answers; one without an event may come from an endpoint that stopped
    /// before it wrote any.
    pub fn record_open_end(&mut self, has_events: bool) -> OpenEnd {
        if self.events > 0 && (self.open || has_events && self.unnumbered) {
            return OpenEnd::Confirmed;
        }
        if has_events {
            self.open = true;
            return OpenEnd::Unconfirmed;
        }
        self.empty_runs += 1;
        if self.events == 0 || self.empty_runs < MAX_EMPTY_RUNS {
            return OpenEnd::Unconfirmed;
        }
        self.start_over();
        OpenEnd::StartsOver
    }

    fn start_over(&mut self) {
        let number = self.generation.number + 1;
        let generation = ledger::Generation { number, build: None };
        *self = Progress { generation, ..Progress::default() };
    }

    /// Adds an event that has arrived.
    pub fn add_event(&mut self, data: &[u8], id: Option<u64>) {
        if self.events > self.stored_events {
            self.output.push(b'\n');
        }
        self.output.extend_from_slice(data);
        self.events += 1;
        (self.open, self.empty_runs, self.unnumbered) = (false, 0, id.is_none());
        self.last_event = id.or(self.last_event);
    }

    /// Output that is not stored in the ledger yet.
    pub fn unstored_chunk(&self, key: &ItemKey) -> ledger::GenerationChunk {
        let chunk = ledger::OutputChunk {
            job: key.0.clone(),
            item: key.1.clone(),
            after: self.stored_events,
            events: self.events,
            last_event: self.last_event,
            data: self.output.clone().into(),
        };
        ledger::GenerationChunk { generation: self.generation.clone(), chunk }
    }

    /// Bytes of output that are not stored in the ledger yet.
    pub fn unstored_bytes(&self) -> usize {
        self.output.len()
    }

    /// Whether there is more output than an item can have.
    pub fn is_too_long(&self) -> bool {
        let total = self.stored_bytes + self.output.len();
        self.output.len() > MAX_UNSTORED_BYTES || total > MAX_OUTPUT_BYTES
    }

    /// Bytes of output stored in the ledger once it has stored `len` more.
    pub fn stored_bytes_after(&self, len: usize) -> usize {
        let separator = usize::from(self.stored_events > 0);
        self.stored_bytes + separator + len
    }

    /// Drops the output that the ledger has stored: the first `len` bytes. `events` is the number
    /// of events that the ledger now holds.
    pub fn mark_stored(&mut self, events: u64, len: usize) {
        self.stored_bytes = self.stored_bytes_after(len);
        let separator = usize::from(self.events > events);
        self.output.drain(..(len + separator).min(self.output.len()));
        self.stored_events = events;
    }
}

/// Collects the output of items to store with one command, in the given order and at most
/// `max_bytes` in total. Output that does not fit is skipped, so that it does not block the items
/// after it.
pub fn unstored_chunks<'a>(
    items: impl Iterator<Item = (&'a ItemKey, &'a Progress)>,
    mut max_bytes: usize,
) -> Vec<(ItemKey, ledger::GenerationChunk)> {
    let mut chunks = Vec::new();
    for (key, progress) in items.filter(|(_, progress)| progress.events > progress.stored_events) {
        if progress.unstored_bytes() <= max_bytes {
            max_bytes -= progress.unstored_bytes();
            chunks.push((key.clone(), progress.unstored_chunk(key)));
        }
    }
    chunks
}

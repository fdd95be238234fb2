//! Stores and commits the output of items.

use crate::event;
use crate::events;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::Message;
use crate::fleet::dispatch::commit;
use crate::fleet::dispatch::tracked::ItemState;
use crate::fleet::dispatch::tracked::TrackedItem;
use crate::fleet::ledger;
use crate::fleet::peer;
use crate::fleet::plan;
use crate::fleet::progress;
use crate::fleet::progress::ItemKey;
use crate::fleet::progress::Progress;
use bytes::Bytes;
use std::time::Duration;
use tokio::time;

/// Interval at which the output of running items is stored. Output that arrived since the last
/// store is generated again after a change of leader.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// Most output stored with one command: half of the longest command of a group. An item that ends
/// with more unstored output is abandoned.
const MAX_STORE_BYTES: usize = 4 << 20;

/// Chunk of output whose commit was started.
pub(super) struct SentChunk {
    key: ItemKey,
    generation: ledger::Generation,
    /// Events of the item up to the end of the chunk.
    events: u64,
    /// Output in the chunk.
    data: Bytes,
}

impl Dispatcher {
    /// Handles the end of the commit of a chunk of output, which has succeeded if `done`.
    pub(super) fn handle_chunk_stored(&mut self, chunk: SentChunk, done: bool) {
        let SentChunk { key, generation, events, data } = chunk;
        let Some(tracked) = self.tracked.get_mut(&key) else { return };
        if matches!(tracked.state, ItemState::Discarded) {
            return self.commit_discard(key);
        }
        // If the item has started over since, the chunk says nothing about its present output.
        if done && tracked.progress.generation == generation {
            let bytes = tracked.progress.stored_bytes_after(data.len());
            let ledger = peer::lock(&self.shared.ledger);
            let pending = ledger.job(&key.0).map(|j| &j.pending[..]).unwrap_or_default();
            let found = pending.iter().find(|o| o.item.id == key.1);
            // Output that was sent before the last change of leadership may have been stored after
            // it, with as many events.
            let is_stored = found.is_some_and(|o| {
                let output = &o.stored.output;
                let is_known = ledger.generation(&key.0, &key.1) == generation;
                let is_same = output.len() == bytes && output.ends_with(&data);
                is_known && o.stored.events == events && is_same
            });
            drop(ledger);
            if !is_stored {
                // The ledger holds other output than expected: the item continues from there.
                self.tracked.remove(&key);
                return;
            }
            tracked.progress.mark_stored(events, data.len());
        }
        if matches!(tracked.state, ItemState::Finished) {
            self.complete(key);
        }
    }

    /// Stores the output that arrived since the last store.
    pub(super) fn store_output(&mut self) {
        let interval = plan::store_interval(STORE_INTERVAL, self.store_time);
        if self.last_store.elapsed() < interval || !self.storing.is_empty() {
            return;
        }
        self.last_store = time::Instant::now();
        let unfinished = |(_, tracked): &(&ItemKey, &TrackedItem)| {
            matches!(tracked.state, ItemState::Running { .. } | ItemState::BackingOff { .. })
        };
        let items =
            self.tracked.iter().filter(unfinished).map(|(key, tracked)| (key, &tracked.progress));
        let chunks = progress::unstored_chunks(items, MAX_STORE_BYTES);
        if chunks.is_empty() {
            return;
        }
        self.storing = chunks.iter().map(|(key, _)| key.clone()).collect();
        let sent = |(key, part): &(ItemKey, ledger::GenerationChunk)| SentChunk {
            key: key.clone(),
            generation: part.generation.clone(),
            events: part.chunk.events,
            data: part.chunk.data.clone(),
        };
        let parts = chunks.iter().map(sent).collect();
        let chunks = chunks.into_iter().map(|(_, chunk)| chunk).collect();
        let command = ledger::Command::StoreGenerations(chunks);
        let node = self.node.clone();
        self.spawn(async move {
            let done = commit(&node, &command).await;
            Message::Stored(parts, done)
        });
    }

    /// Commits an item whose output is complete.
    pub(super) fn complete(&mut self, key: ItemKey) {
        let Some(tracked) = self.tracked.get_mut(&key) else { return };
        if tracked.progress.unstored_bytes() > MAX_STORE_BYTES {
            // The command would be refused as too long, and the item would run again forever.
            return self.abandon(key, ledger::Cause::Impossible);
        }
        tracked.state = ItemState::Committing;
        let chunk = tracked.progress.unstored_chunk(&key);
        self.commit(ledger::Command::CompleteGeneration(chunk), Message::Committed(key));
    }

    /// Stops the run of an item whose output is too long, and drops its output.
    pub(super) fn discard_output(&mut self, key: ItemKey) {
        let Some(tracked) = self.tracked.get_mut(&key) else { return };
        let ItemState::Running { endpoint, run, .. } = &tracked.state else { return };
        run.stop();
        let (endpoint, cause) = (endpoint.clone(), "the output is too long");
        event!(self.node.log, events::ITEM_INTERRUPTED; "job" => ledger::job_id(&key.0),
            "request" => &*key.1,
            "endpoint" => &*endpoint, "cause" => cause, "events" => tracked.progress.events);
        tracked.state = ItemState::Discarded;
        tracked.progress = Progress::default();
        self.node.record_endpoint_failure(&endpoint, &cause);
        if self.storing.binary_search(&key).is_err() {
            self.commit_discard(key);
        }
    }

    /// Commits that the stored output of an item is dropped.
    fn commit_discard(&mut self, key: ItemKey) {
        let Some(tracked) = self.tracked.get_mut(&key) else { return };
        tracked.state = ItemState::Committing;
        let (job, item) = key.clone();
        self.commit(ledger::Command::DiscardOutput { job, item }, Message::Committed(key));
    }
}

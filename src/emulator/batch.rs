//! Continuous batching: admission in arrival order and steps that give each stream one token.

use crate::emulator;
use crate::emulator::cache::PrefixCache;
use crate::emulator::text;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc;

/// What a request learns about its stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The stream got a slot.
    Started {
        /// Prompt tokens that were cached.
        cached: u32,
    },
    /// One token.
    Token(String),
    /// Every token was sent.
    End,
    /// The connection shall break off.
    Broken,
}

/// Stream that waits or runs.
pub(super) struct Stream {
    /// Seed of the answer.
    pub(super) seed: u64,
    /// Blocks of the prompt.
    pub(super) blocks: Vec<u64>,
    /// Tokens to process before the first token, without regard to the cache.
    pub(super) prefill_left: u32,
    /// Position of the next token.
    pub(super) position: u32,
    /// Position after the last token.
    pub(super) end: u32,
    /// Position at which the stream stalls.
    pub(super) stall_at: Option<u32>,
    /// Position at which the connection breaks off.
    pub(super) break_at: Option<u32>,
    /// Receiver of the events; the stream is cancelled once it is closed.
    pub(super) events: mpsc::UnboundedSender<Event>,
}

/// Counters of the batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Counters {
    pub(super) started: u64,
    pub(super) finished: u64,
    pub(super) cancelled: u64,
    pub(super) broken: u64,
    pub(super) tokens: u64,
    pub(super) steps: u64,
    pub(super) cached: u64,
}

/// Streams of one engine.
pub(super) struct Batch {
    slots: usize,
    step_time: Duration,
    stream_time: Duration,
    prefill_time: Duration,
    prefill_chunk: u32,
    cache: PrefixCache,
    waiting: VecDeque<Stream>,
    running: Vec<Stream>,
    pub(super) counters: Counters,
}

impl Batch {
    /// Creates a batch without streams.
    pub(super) fn new(settings: &emulator::Settings) -> Batch {
        Batch {
            slots: settings.slots as usize,
            step_time: settings.step_time,
            stream_time: settings.stream_time,
            prefill_time: settings.prefill_time,
            prefill_chunk: settings.prefill_chunk.max(1),
            cache: PrefixCache::new(settings.cache_blocks),
            waiting: VecDeque::new(),
            running: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Adds a stream at the end of the queue.
    pub(super) fn submit(&mut self, stream: Stream) {
        self.waiting.push_back(stream);
    }

    /// Streams that wait for a slot.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Streams that hold a slot.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Blocks in the prefix cache.
    pub(super) fn cached_blocks(&self) -> usize {
        self.cache.len()
    }

    /// Begins a step: removes cancelled streams, fills free slots in arrival order and processes
    /// prompts. Returns the time that the step takes, or `None` if no stream runs.
    pub(super) fn begin_step(&mut self) -> Option<Duration> {
        self.remove_cancelled();
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let processed = self.process_prompts();
        self.counters.steps += 1;
        let count = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        Some(self.step_time + self.stream_time * count + self.prefill_time * processed)
    }

    /// Ends a step: every stream whose prompt is processed gets its next token.
    pub(super) fn end_step(&mut self) {
        let counters = &mut self.counters;
        self.running
            .retain_mut(|stream| stream.prefill_left > 0 || send_next_token(stream, counters));
    }

    fn remove_cancelled(&mut self) {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|stream| !stream.events.is_closed());
        self.running.retain(|stream| !stream.events.is_closed());
        self.counters.cancelled += (before - self.waiting.len() - self.running.len()) as u64;
    }

    fn admit(&mut self) {
        while self.running.len() < self.slots {
            let Some(mut stream) = self.waiting.pop_front() else { return };
            let blocks = self.cache.touch(&stream.blocks);
            let cached = u32::try_from(blocks * text::BLOCK_TOKENS).unwrap_or(u32::MAX);
            // At least one token is processed, since the first answer token needs its result.
            stream.prefill_left = stream.prefill_left.saturating_sub(cached).max(1);
            self.counters.started += 1;
            self.counters.cached += u64::from(cached);
            // A closed receiver is noticed at the next step.
            let _ = stream.events.send(Event::Started { cached });
            self.running.push(stream);
        }
    }

    /// Processes up to one chunk of prompt tokens, in order of admission.
    fn process_prompts(&mut self) -> u32 {
        let mut left = self.prefill_chunk;
        for stream in self.running.iter_mut().filter(|stream| stream.prefill_left > 0) {
            let part = stream.prefill_left.min(left);
            stream.prefill_left -= part;
            left -= part;
            if stream.prefill_left == 0 {
                self.cache.add(&stream.blocks);
            }
            if left == 0 {
                break;
            }
        }
        self.prefill_chunk - left
    }
}

/// Sends the next token of a stream; false once the stream has ended.
fn send_next_token(stream: &mut Stream, counters: &mut Counters) -> bool {
    // Errors mean that the receiver has left, which the next step counts as a cancellation.
    if stream.break_at == Some(stream.position) {
        counters.broken += 1;
        let _ = stream.events.send(Event::Broken);
        return false;
    }
    if stream.stall_at == Some(stream.position) {
        return true;
    }
    if stream.position < stream.end {
        let _ = stream.events.send(Event::Token(text::token(stream.seed, stream.position)));
        stream.position += 1;
        counters.tokens += 1;
    }
    if stream.position < stream.end {
        return true;
    }
    // A break exactly at the end still takes effect at the next step.
    if stream.break_at == Some(stream.position) || stream.stall_at == Some(stream.position) {
        return true;
    }
    counters.finished += 1;
    let _ = stream.events.send(Event::End);
    false
}

//! Continuous batching: streams are admitted in arrival order, and each step generates one token
//! for every running stream.

use crate::emulator;
use crate::emulator::cache::PrefixCache;
use crate::emulator::text;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc;

/// Progress of a stream, as reported to its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The stream was admitted to a slot.
    Started {
        /// Number of prompt tokens found in the prefix cache.
        cached: u32,
    },
    /// The next token of the answer.
    Token(String),
    /// The answer is complete.
    End,
    /// A simulated fault breaks the connection off.
    Broken,
}

/// Stream of answer tokens for one request, waiting or running.
pub(super) struct Stream {
    /// Seed of the answer's tokens.
    pub(super) seed: u64,
    /// Hashes of the prompt's blocks.
    pub(super) blocks: Vec<u64>,
    /// Tokens still to process before the next token is generated. Admission subtracts the cached
    /// ones.
    pub(super) prefill_left: u32,
    /// Position of the next token in the answer.
    pub(super) position: u32,
    /// Position after the last token.
    pub(super) end: u32,
    /// Position at which the stream stalls.
    pub(super) stall_at: Option<u32>,
    /// Position at which the connection breaks off.
    pub(super) break_at: Option<u32>,
    /// Channel to the request. The stream is cancelled once the receiver is closed.
    pub(super) events: mpsc::UnboundedSender<Event>,
}

/// Totals since the engine's start.
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

/// Waiting and running streams of one engine.
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
    /// Creates an empty batch.
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

    /// Appends a stream to the queue.
    pub(super) fn submit(&mut self, stream: Stream) {
        self.waiting.push_back(stream);
    }

    /// Returns the number of streams that wait for a slot.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of streams that hold a slot.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of blocks in the prefix cache.
    pub(super) fn cached_blocks(&self) -> usize {
        self.cache.len()
    }

    /// Begins a step: removes cancelled streams, fills free slots in arrival order and processes
    /// prompts. Returns the step's duration, or `None` if no stream is running.
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

    /// Ends a step: sends the next token of every stream whose prompt is fully processed.
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
            // Even a fully cached prompt needs one processed token to generate the first token of
            // the answer.
            stream.prefill_left = stream.prefill_left.saturating_sub(cached).max(1);
            self.counters.started += 1;
            self.counters.cached += u64::from(cached);
            // Fails only if the receiver is closed, which the next step detects.
            let _ = stream.events.send(Event::Started { cached });
            self.running.push(stream);
        }
    }

    /// Processes up to one chunk of prompt tokens in order of admission and returns their number.
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

/// Sends the next token of a stream, unless it stalls or breaks off. Returns whether the stream
/// keeps its slot.
fn send_next_token(stream: &mut Stream, counters: &mut Counters) -> bool {
    // Sending fails only if the receiver is closed. If the stream is still running, the next step
    // counts it as cancelled.
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
    // A break or stall set exactly at the end takes effect in the next step.
    if stream.break_at == Some(stream.position) || stream.stall_at == Some(stream.position) {
        return true;
    }
    counters.finished += 1;
    let _ = stream.events.send(Event::End);
    false
}

//! Continuous batching: admission in arrival order and steps that give each stream one token.

use crate::emulator;
use crate::emulator::cache::Cache;
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
pub(super) struct Job {
    /// Seed of the answer.
    pub(super) seed: u64,
    /// Blocks of the prompt.
    pub(super) blocks: Vec<u64>,
    /// Tokens to process before the first token, without regard to the cache.
    pub(super) prefill: u32,
    /// Position of the next token.
    pub(super) position: u32,
    /// Position after the last token.
    pub(super) end: u32,
    /// Position at which the stream stalls.
    pub(super) stall: Option<u32>,
    /// Position at which the connection breaks off.
    pub(super) breaks: Option<u32>,
    /// Receiver of the events; the stream is cancelled once it is closed.
    pub(super) events: mpsc::UnboundedSender<Event>,
}

/// Counters of the batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
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
    step: Duration,
    stream: Duration,
    prefill: Duration,
    chunk: u32,
    cache: Cache,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    pub(super) counts: Counts,
}

impl Batch {
    /// Creates a batch without streams.
    pub(super) fn new(settings: &emulator::Settings) -> Batch {
        Batch {
            slots: settings.slots as usize,
            step: settings.step,
            stream: settings.stream,
            prefill: settings.prefill,
            chunk: settings.chunk.max(1),
            cache: Cache::new(settings.cache),
            waiting: VecDeque::new(),
            running: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Adds a stream at the end of the queue.
    pub(super) fn submit(&mut self, job: Job) {
        self.waiting.push_back(job);
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
    pub(super) fn cached(&self) -> usize {
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
        self.counts.steps += 1;
        let streams = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        Some(self.step + self.stream * streams + self.prefill * processed)
    }

    /// Ends a step: every stream whose prompt is processed gets its next token.
    pub(super) fn end_step(&mut self) {
        let counts = &mut self.counts;
        self.running.retain_mut(|job| job.prefill > 0 || advance(job, counts));
    }

    fn remove_cancelled(&mut self) {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|job| !job.events.is_closed());
        self.running.retain(|job| !job.events.is_closed());
        self.counts.cancelled += (before - self.waiting.len() - self.running.len()) as u64;
    }

    fn admit(&mut self) {
        while self.running.len() < self.slots {
            let Some(mut job) = self.waiting.pop_front() else { return };
            let blocks = self.cache.touch(&job.blocks);
            let cached = u32::try_from(blocks * text::BLOCK).unwrap_or(u32::MAX);
            // At least one token is processed, since the first answer token needs its result.
            job.prefill = job.prefill.saturating_sub(cached).max(1);
            self.counts.started += 1;
            self.counts.cached += u64::from(cached);
            // A closed receiver is noticed at the next step.
            let _ = job.events.send(Event::Started { cached });
            self.running.push(job);
        }
    }

    /// Processes up to one chunk of prompt tokens, in order of admission.
    fn process_prompts(&mut self) -> u32 {
        let mut left = self.chunk;
        for job in self.running.iter_mut().filter(|job| job.prefill > 0) {
            let part = job.prefill.min(left);
            job.prefill -= part;
            left -= part;
            if job.prefill == 0 {
                self.cache.add(&job.blocks);
            }
            if left == 0 {
                break;
            }
        }
        self.chunk - left
    }
}

/// Sends the next token of a stream; false once the stream has ended.
fn advance(job: &mut Job, counts: &mut Counts) -> bool {
    // Errors mean that the receiver has left, which the next step counts as a cancellation.
    if job.breaks == Some(job.position) {
        counts.broken += 1;
        let _ = job.events.send(Event::Broken);
        return false;
    }
    if job.stall == Some(job.position) {
        return true;
    }
    if job.position < job.end {
        let _ = job.events.send(Event::Token(text::token(job.seed, job.position)));
        job.position += 1;
        counts.tokens += 1;
    }
    if job.position < job.end {
        return true;
    }
    // A break exactly at the end still takes effect at the next step.
    if job.breaks == Some(job.position) || job.stall == Some(job.position) {
        return true;
    }
    counts.finished += 1;
    let _ = job.events.send(Event::End);
    false
}

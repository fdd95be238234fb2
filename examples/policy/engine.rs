//! Simulated engine with continuous batching.

use std::collections::VecDeque;
use std::time::Duration;

/// Base duration of a step.
const STEP_TIME: Duration = Duration::from_millis(10);
/// Time that each running stream adds to a step.
const STREAM_TIME: Duration = Duration::from_micros(350);
/// Time that the prompt of a new stream adds to its first step.
const PROMPT_TIME: Duration = Duration::from_millis(2);
/// Time that each token of a resumed stream adds to its first step.
const RESUMED_TOKEN_TIME: Duration = Duration::from_micros(5);

/// Stream that is queued or running in the engine.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Request id at the gate.
    pub id: u64,
    /// Tokens still to produce.
    pub remaining: u32,
    /// Tokens produced before the stream was resumed.
    pub resumed_tokens: u32,
}

/// Simulated engine. Starts streams in arrival order and produces one token per stream and step.
#[derive(Debug)]
pub struct Engine {
    slots: usize,
    pending: VecDeque<Stream>,
    running: Vec<Stream>,
    cancelled: Vec<u64>,
    stepping: bool,
}

impl Engine {
    /// Returns an idle engine.
    pub fn new(slots: usize) -> Engine {
        Engine {
            slots,
            pending: VecDeque::new(),
            running: Vec::new(),
            cancelled: Vec::new(),
            stepping: false,
        }
    }

    /// Adds a stream to the end of the engine's queue.
    pub fn submit(&mut self, stream: Stream) {
        self.pending.push_back(stream);
    }

    /// Cancels a stream and returns it. A running stream keeps its slot until the end of
    /// the step.
    pub fn cancel(&mut self, id: u64) -> Option<Stream> {
        if let Some(at) = self.pending.iter().position(|s| s.id == id) {
            return self.pending.remove(at);
        }
        self.cancelled.push(id);
        self.running.iter().find(|s| s.id == id).copied()
    }

    /// Begins a step if none is in progress and there is a stream to run. Returns its duration.
    pub fn begin_step(&mut self) -> Option<Duration> {
        if self.stepping {
            return None;
        }
        let cancelled = std::mem::take(&mut self.cancelled);
        self.running.retain(|s| !cancelled.contains(&s.id));
        let mut duration = STEP_TIME;
        while self.running.len() < self.slots {
            let Some(next) = self.pending.pop_front() else { break };
            duration += PROMPT_TIME + RESUMED_TOKEN_TIME * next.resumed_tokens;
            self.running.push(next);
        }
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        Some(duration + STREAM_TIME * self.running.len() as u32)
    }

    /// Ends the step. Returns the streams that got a token; those without remaining tokens are
    /// done.
    pub fn end_step(&mut self) -> Vec<Stream> {
        self.stepping = false;
        let cancelled = &self.cancelled;
        let mut produced = Vec::with_capacity(self.running.len());
        for stream in &mut self.running {
            if !cancelled.contains(&stream.id) {
                stream.remaining -= 1;
                produced.push(*stream);
            }
        }
        self.running.retain(|s| s.remaining > 0);
        produced
    }
}

//! Model of an engine with continuous batching.

use std::collections::VecDeque;
use std::time::Duration;

/// Time of a step without streams.
const STEP: Duration = Duration::from_millis(10);
/// Time that each running stream adds to a step.
const STREAM: Duration = Duration::from_micros(350);
/// Time that the prompt of a new stream adds to its first step.
const PROMPT: Duration = Duration::from_millis(2);
/// Time that each token of a resumed stream adds to its first step.
const RESUMED: Duration = Duration::from_micros(5);

/// Stream in the engine.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Id at the gate.
    pub id: u64,
    /// Tokens left to produce.
    pub left: u32,
    /// Tokens produced before it was resumed.
    pub resumed: u32,
}

/// Engine that admits in arrival order and produces one token per stream and step.
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

    /// Cancels a stream, which leaves its slot at the end of the step. Returns what is left of it.
    pub fn cancel(&mut self, id: u64) -> Option<Stream> {
        if let Some(at) = self.pending.iter().position(|s| s.id == id) {
            return self.pending.remove(at);
        }
        self.cancelled.push(id);
        self.running.iter().find(|s| s.id == id).copied()
    }

    /// Begins a step if none is under way and there is work. Returns its duration.
    pub fn begin(&mut self) -> Option<Duration> {
        if self.stepping {
            return None;
        }
        let cancelled = std::mem::take(&mut self.cancelled);
        self.running.retain(|s| !cancelled.contains(&s.id));
        let mut time = STEP;
        while self.running.len() < self.slots {
            let Some(next) = self.pending.pop_front() else { break };
            time += PROMPT + RESUMED * next.resumed;
            self.running.push(next);
        }
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        Some(time + STREAM * self.running.len() as u32)
    }

    /// Ends the step. Returns the streams that got a token; those with nothing left have ended.
    pub fn end(&mut self) -> Vec<Stream> {
        self.stepping = false;
        let cancelled = &self.cancelled;
        let mut produced = Vec::with_capacity(self.running.len());
        for stream in &mut self.running {
            if !cancelled.contains(&stream.id) {
                stream.left -= 1;
                produced.push(*stream);
            }
        }
        self.running.retain(|s| s.left > 0);
        produced
    }
}

//! Reads the answer of an agent after its head and verifies the parts and the end.

use crate::completion;
use crate::entry;
use crate::entry::attempt;
use crate::link;
use crate::router;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;
use xxhash_rust::xxh3;

/// Largest non-streaming answer in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Interval between progress reports of a stream to the router. Well below the router's stall
/// timeout, and long enough that the router's lock is not taken for every token.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Reader of an answer whose head has arrived. Dropping it cancels the attempt at the agent.
pub struct AnswerReader {
    stream: link::Stream,
    /// Keeps the connection open if the agent leaves the fleet before the answer ends.
    _link: entry::AgentLink,
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    next_seq: u32,
    digest: xxh3::Xxh3,
    stall_timeout: Duration,
    /// Whether the answer continues one that another attempt started.
    resumed: bool,
}

/// How the forwarding of a streamed answer ended.
pub enum ForwardOutcome {
    /// The whole answer was verified and forwarded.
    Complete,
    /// The caller closed its connection.
    CallerGone,
    /// The answer broke off.
    Broken(wire::Reason),
}

impl AnswerReader {
    /// Creates a reader for the parts after the head. `stall_timeout` limits the wait for each one.
    pub fn new(
        stream: link::Stream,
        link: entry::AgentLink,
        status: u16,
        content_type: Arc<str>,
        stall_timeout: Duration,
        resumed: bool,
    ) -> AnswerReader {
        let digest = xxh3::Xxh3::new();
        AnswerReader {
            stream,
            _link: link,
            status,
            content_type,
            next_seq: 0,
            digest,
            stall_timeout,
            resumed,
        }
    }

    /// Whether the answer is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        self.status == 200 && self.content_type.starts_with("text/event-stream")
    }

    /// Reads and verifies the next part. Returns `None` at a valid end.
    async fn next_part(&mut self) -> Result<Option<Bytes>, wire::Reason> {
        match time::timeout(self.stall_timeout, self.stream.recv::<wire::Reply>()).await {
            Ok(Ok(Some(wire::Reply::Chunk { seq, data }))) if seq == self.next_seq => {
                self.next_seq += 1;
                self.digest.update(&data);
                Ok(Some(data))
            }
            Ok(Ok(Some(wire::Reply::End { count, digest })))
                if count == self.next_seq && digest == self.digest.digest() =>
            {
                Ok(None)
            }
            Ok(Ok(Some(wire::Reply::Broken { reason }))) => Err(reason),
            Ok(_) => Err(wire::Reason::AgentLost),
            Err(_) => Err(wire::Reason::Stalled),
        }
    }

    /// Tells the agent that the whole answer has arrived, so that it can remove the attempt.
    pub fn confirm_received(mut self) {
        tokio::spawn(async move {
            // If this is lost, later withdrawals of attempts on this connection may be answered
            // with an unknown outcome.
            let _ = self.stream.send(&wire::Request::Received).await;
            self.stream.finish();
        });
    }

    /// Reads the whole answer. Fails if it breaks off, stalls or exceeds `MAX_ANSWER_BYTES`.
    pub async fn read_all(&mut self) -> Result<Bytes, wire::Reason> {
        let mut all = Vec::new();
        while let Some(part) = self.next_part().await? {
            if all.len() + part.len() > MAX_ANSWER_BYTES {
                return Err(wire::Reason::Invalid);
            }
            all.extend_from_slice(&part);
        }
        Ok(all.into())
    }

    /// Records an event in `progress`. Returns the part to forward, adapted to the caller's stream
    /// if the answer is resumed, or `None` if there is nothing to forward.
    fn record_part(&self, progress: &mut completion::Progress, part: Bytes) -> Option<Bytes> {
        let Some(data) = event_data(&part) else { return Some(part) };
        let adapted = if self.resumed { progress.adapt_event(data)? } else { data.to_string() };
        // An event that cannot be parsed is forwarded anyway.
        let _ = progress.add_event(&adapted);
        Some(if self.resumed { format!("data: {adapted}\n\n").into() } else { part })
    }

    /// Forwards events to the caller and records them in `progress`.
    pub async fn forward(
        &mut self,
        entry: &entry::Entry,
        agent: &str,
        sender: &mpsc::Sender<Result<Bytes, attempt::Refusal>>,
        progress: &mut completion::Progress,
    ) -> ForwardOutcome {
        // The last event tells the caller that the answer is complete, so it is held back until the
        // end is verified.
        let mut last: Option<Bytes> = None;
        let mut reported_at: Option<time::Instant> = None;
        loop {
            match self.next_part().await {
                Ok(Some(part)) => {
                    if reported_at.is_none_or(|at| at.elapsed() >= PROGRESS_INTERVAL) {
                        reported_at = Some(time::Instant::now());
                        entry.observe(agent, router::Observation::Progress);
                    }
                    if is_last_event(&part) {
                        last = Some(part);
                        continue;
                    }
                    let Some(part) = self.record_part(progress, part) else { continue };
                    if sender.send(Ok(part)).await.is_err() {
                        return ForwardOutcome::CallerGone;
                    }
                }
                Ok(None) => match last {
                    Some(part) => {
                        let _ = sender.send(Ok(part)).await;
                        return ForwardOutcome::Complete;
                    }
                    None => return ForwardOutcome::Broken(wire::Reason::EndpointFailed),
                },
                Err(reason) => return ForwardOutcome::Broken(reason),
            }
        }
    }
}

/// Returns the data of a part's event; agents send one event in each part.
fn event_data(part: &[u8]) -> Option<&str> {
    std::str::from_utf8(part).ok()?.strip_prefix("data: ").map(str::trim_end)
}

fn is_last_event(part: &[u8]) -> bool {
    event_data(part) == Some(completion::LAST_EVENT)
}

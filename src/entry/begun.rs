//! Answer of an agent that has begun: verified parts, up to a verified end.

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

/// Largest answer that is not streamed, in bytes.
const MAX_ANSWER: usize = 32 << 20;
/// Interval at which the router hears of a running stream. Well below the silence after which it
/// ejects an endpoint, and rare enough that its lock is not taken for every token.
const PROGRESS_EVERY: Duration = Duration::from_millis(200);

/// Answer that has begun.
pub struct Begun {
    stream: link::Stream,
    /// Keeps the connection open when the agent leaves while the answer is running.
    _link: entry::AgentLink,
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: Arc<str>,
    next: u32,
    digest: xxh3::Xxh3,
    stall: Duration,
    /// Whether it continues what another attempt has begun.
    resumed: bool,
}

/// How the passing on of a streamed answer ended.
pub enum Passed {
    /// The end was verified and passed on.
    Complete,
    /// The caller closed its connection.
    CallerGone,
    /// The answer broke off.
    Broken(wire::Reason),
}

impl Begun {
    /// Creates an answer of which only the head has arrived. `stall` is the longest silence.
    pub fn new(
        stream: link::Stream,
        link: entry::AgentLink,
        status: u16,
        content: Arc<str>,
        stall: Duration,
        resumed: bool,
    ) -> Begun {
        let digest = xxh3::Xxh3::new();
        Begun { stream, _link: link, status, content, next: 0, digest, stall, resumed }
    }

    /// Whether it is a stream of server-sent events.
    pub fn is_events(&self) -> bool {
        self.status == 200 && self.content.starts_with("text/event-stream")
    }

    /// Next verified part; `None` at a valid end.
    async fn part(&mut self) -> Result<Option<Bytes>, wire::Reason> {
        match time::timeout(self.stall, self.stream.recv::<wire::Reply>()).await {
            Ok(Ok(Some(wire::Reply::Chunk { seq, data }))) if seq == self.next => {
                self.next += 1;
                self.digest.update(&data);
                Ok(Some(data))
            }
            Ok(Ok(Some(wire::Reply::End { count, digest })))
                if count == self.next && digest == self.digest.digest() =>
            {
                Ok(None)
            }
            Ok(Ok(Some(wire::Reply::Broken { reason }))) => Err(reason),
            Ok(_) => Err(wire::Reason::AgentLost),
            Err(_) => Err(wire::Reason::Stalled),
        }
    }

    /// Tells the agent that the whole answer has arrived, so that it may forget the attempt.
    pub fn received(mut self) {
        tokio::spawn(async move {
            // A lost note only makes later withdrawals on this connection less certain.
            let _ = self.stream.send(&wire::Request::Received).await;
            self.stream.finish();
        });
    }

    /// Reads the whole answer.
    pub async fn rest(&mut self) -> Result<Bytes, wire::Reason> {
        let mut all = Vec::new();
        while let Some(part) = self.part().await? {
            if all.len() + part.len() > MAX_ANSWER {
                return Err(wire::Reason::Invalid);
            }
            all.extend_from_slice(&part);
        }
        Ok(all.into())
    }

    /// Notes an event, and fits it into the stream that the caller reads if it is resumed.
    fn fit(&self, progress: &mut completion::Progress, part: Bytes) -> Option<Bytes> {
        let Some(data) = event_data(&part) else { return Some(part) };
        let fitted = if self.resumed { progress.splice(data)? } else { data.to_string() };
        // An event that is not understood is passed on all the same.
        let _ = progress.event(&fitted);
        Some(if self.resumed { format!("data: {fitted}\n\n").into() } else { part })
    }

    /// Passes events on to the caller and notes them in `progress`.
    pub async fn pass(
        &mut self,
        entry: &entry::Entry,
        agent: &str,
        sender: &mpsc::Sender<Result<Bytes, attempt::Refusal>>,
        progress: &mut completion::Progress,
    ) -> Passed {
        // The last event tells the caller that the answer is whole, so it waits for the end.
        let mut last: Option<Bytes> = None;
        let mut noted: Option<time::Instant> = None;
        loop {
            match self.part().await {
                Ok(Some(part)) => {
                    if noted.is_none_or(|at| at.elapsed() >= PROGRESS_EVERY) {
                        noted = Some(time::Instant::now());
                        entry.observe(agent, router::Observation::Progress);
                    }
                    if is_last(&part) {
                        last = Some(part);
                        continue;
                    }
                    let Some(part) = self.fit(progress, part) else { continue };
                    if sender.send(Ok(part)).await.is_err() {
                        return Passed::CallerGone;
                    }
                }
                Ok(None) => match last {
                    Some(part) => {
                        let _ = sender.send(Ok(part)).await;
                        return Passed::Complete;
                    }
                    None => return Passed::Broken(wire::Reason::EndpointFailed),
                },
                Err(reason) => return Passed::Broken(reason),
            }
        }
    }
}

/// Data of the single event in a part.
fn event_data(part: &[u8]) -> Option<&str> {
    std::str::from_utf8(part).ok()?.strip_prefix("data: ").map(str::trim_end)
}

fn is_last(part: &[u8]) -> bool {
    event_data(part) == Some(completion::LAST_EVENT)
}

//! Stream of events that is passed on to a caller, across the endpoints that produce it.

use crate::event;
use crate::events;
use crate::fleet::attempt;
use crate::fleet::crashes;
use crate::fleet::forward;
use crate::fleet::placement::pace;
use crate::fleet::protocol;
use crate::fleet::sequence;
use crate::fleet::serve;
use crate::fleet::sse;
use bytes::Bytes;
use futures_util::TryFutureExt as _;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::task;
use tokio::time;

/// Most bytes of comments that are held back until the next event.
const MAX_COMMENT_BYTES: usize = 64 << 10;

/// Cause of a failed attempt whose answer has neither an event nor length or chunks, so that nothing
/// shows that it is complete.
pub(super) const ENDED_WITHOUT_EVENT: &str = "the connection ends before the first event";
/// Cause of a failed attempt whose answer has neither an event nor length or chunks, and whose endpoint
/// accepts no connection afterwards.
pub(super) const ENDED_IN_CRASH: &str = "the endpoint is down after an answer without an event";
/// Cause of asking for what follows the last event of an answer without length and chunks. The
/// connections of a process that is killed are closed like those after a complete answer.
pub(super) const END_NOT_STATED: &str = "the answer ends without a stated end";

/// Stream of events for the caller. If an endpoint breaks it off, another one continues it.
pub(super) struct EventStream {
    pub(super) forwarder: forward::Forwarder,
    headers: protocol::Headers,
    /// Response that is being read.
    pub(super) started: Option<Box<forward::StartedResponse>>,
    splitter: sse::Splitter,
    sequence: sequence::Sequence,
    /// Events of the response that is being read.
    run_events: u32,
    /// Arrival of these events.
    timing: pace::Timing,
    /// Last event of an answer that ended without a stated end. The stream is complete if another
    /// answer confirms that nothing follows it.
    open_end: Option<u64>,
    /// Whether the response that is being read had new events and ended without a stated end, as sound
    /// endpoints may.
    unconfirmed: bool,
    /// Why the last endpoint was given up.
    pub(super) cause: Arc<str>,
    /// Bytes of complete events that the caller has not received yet.
    pub(super) ready: VecDeque<Bytes>,
}

impl EventStream {
    /// Creates the stream of a request whose first response has started.
    pub(super) fn new(
        forwarder: forward::Forwarder,
        headers: protocol::Headers,
        started: Box<forward::StartedResponse>,
    ) -> EventStream {
        EventStream {
            forwarder,
            headers,
            started: Some(started),
            splitter: sse::Splitter::default(),
            sequence: sequence::Sequence::default(),
            run_events: 0,
            timing: pace::Timing::default(),
            open_end: None,
            unconfirmed: false,
            cause: Arc::default(),
            ready: VecDeque::new(),
        }
    }

    /// Returns the next bytes for the caller; `None` after the end of the stream.
    pub(super) async fn next_bytes(&mut self) -> Option<Result<Bytes, serve::ResponseAborted>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            if self.forwarder.ended {
                return None;
            }
            if let Err(cause) = self.read_events().await
                && !self.resume(&cause).await
            {
                self.forwarder.ended = true;
                return Some(Err(serve::ResponseAborted));
            }
        }
    }

    /// Reads events that are new to the caller from the endpoint and queues them.
    async fn read_events(&mut self) -> Result<(), Arc<str>> {
        let begun = time::Instant::now();
        let Some(started) = &mut self.started else { return Err("no endpoint".into()) };
        // A timeout does not end a read for which bytes are always ready.
        if self.forwarder.time_left().is_zero() {
            return Err("the time is over".into());
        }
        let last_event = self.forwarder.last_event;
        let limit = match last_event {
            None => self.forwarder.first_event_timeout(),
            Some(_) => self.forwarder.next_event_timeout(),
        };
        let from = started.endpoint.id.clone();
        let build = started.endpoint.build.clone();
        let is_framed = started.response.is_framed();
        let read = read_new_events(started, &mut self.splitter, &mut self.sequence, last_event);
        let read = read.map_err(|cause| (attempt::Outcome::Lost, cause));
        let waited = self.forwarder.wait_or_take_over(&self.headers, &from, limit, read).await;
        let read = match waited {
            forward::Waited::Ended(Ok(read)) => read,
            forward::Waited::Ended(Err((_, cause))) => return Err(cause),
            forward::Waited::DeadlineExceeded => {
                // An endpoint that makes progress until the deadline is not at fault.
                if begun.elapsed() >= limit {
                    self.forwarder.node.record_endpoint_failure(&from, &"silence");
                }
                return Err("the time is over".into());
            }
            forward::Waited::TakenOver(other, failure) => {
                let cause = failure.map_or_else(|| "silence".into(), |(_, cause)| cause);
                self.forwarder.node.record_endpoint_failure(&from, &cause);
                self.log_resumption(&from, &cause, attempt::Next::Again);
                self.record_broken_answer();
                // Closes the connection to the silent endpoint, which cancels the request there.
                self.started = Some(other);
                self.splitter = sse::Splitter::default();
                self.sequence = sequence::Sequence::default();
                self.run_events = 0;
                self.timing = pace::Timing::default();
                return Ok(());
            }
        };
        if read.ended {
            self.check_end(is_framed).await?;
        }
        self.forwarder.last_event = read.last_event;
        self.count_events(read.count);
        self.timing.record(self.forwarder.node.now(), read.count);
        if !read.bytes.is_empty() {
            if let Some(started) = &self.started {
                self.forwarder.begin_stream(&build, &started.response.head).await;
            }
            if let Some(numbered) = read.numbered {
                self.forwarder.attempts.set_resumable(numbered);
            }
            self.ready.push_back(read.bytes.into());
        }
        if read.ended {
            // An answer without a length ends in the same way when its endpoint crashes.
            match is_framed && self.run_events > 0 {
                true => self.forwarder.node.record_answer(&self.forwarder.prompt),
                false if self.is_confirming() => {}
                false => self.record_broken_answer(),
            }
            if let (Some(started), Some(pace)) = (&self.started, self.timing.pace()) {
                self.forwarder.node.record_pace(&started.endpoint, pace);
            }
            self.forwarder.finish(&from, is_framed);
        }
        Ok(())
    }

    /// Checks whether the end of the response that is being read is the end of the stream.
    ///
    /// # Errors
    /// Why another endpoint has to be asked for what follows.
    async fn check_end(&mut self, is_framed: bool) -> Result<(), Arc<str>> {
        if is_framed {
            return Ok(());
        }
        let has_events = self.run_events > 0;
        let last = self.forwarder.last_event.filter(|last| *last > 0);
        if last.is_none() || !self.forwarder.is_resumable() {
            // No endpoint can go on after the events.
            return if self.splitter.has_data() { Ok(()) } else { Err(ENDED_WITHOUT_EVENT.into()) };
        }
        if !has_events && self.open_end == last {
            // What crashes one endpoint may crash the next one as well.
            let address = self.started.as_ref().map(|s| s.endpoint.address);
            return match address {
                Some(address) if crashes::accepts(address).await => Ok(()),
                _ => Err(ENDED_IN_CRASH.into()),
            };
        }
        // An answer without an event may come from an endpoint that stopped before it wrote any. It counts
        // if the caller came back to ask for what follows, and not after an answer that broke off here.
        if has_events || !self.forwarder.has_begun() {
            self.open_end = last;
        }
        self.unconfirmed = has_events;
        Err(if has_events { END_NOT_STATED.into() } else { ENDED_WITHOUT_EVENT.into() })
    }

    /// Whether the response that is being read has no event, after an answer with several events that
    /// ended at the same one. An endpoint has nothing left to write then that it could crash on.
    fn is_confirming(&self) -> bool {
        let several = Some(u64::from(crashes::ANSWERED_EVENTS));
        self.run_events == 0
            && self.open_end >= several
            && self.open_end == self.forwarder.last_event
    }

    /// Counts events of the response that is being read.
    fn count_events(&mut self, count: u32) {
        let before = self.run_events;
        self.run_events = before.saturating_add(count);
        if before < crashes::ANSWERED_EVENTS && self.run_events >= crashes::ANSWERED_EVENTS {
            self.forwarder.node.record_answer(&self.forwarder.prompt);
        }
    }

    /// Records that the response that is being read broke off.
    fn record_broken_answer(&self) {
        if let Some(started) = &self.started {
            self.forwarder.record_broken_answer(&started.endpoint, self.run_events);
        }
    }

    /// Records that the caller has only a part of the answer, and that its connection is closed.
    pub(super) fn record_broken_off(&self) {
        let forwarder = &self.forwarder;
        forwarder.node.metrics.count_request("online", "broken_off");
        event!(forwarder.node.log, events::ANSWER_BROKEN_OFF;
            "request" => &*forwarder.request.id, "cause" => &*self.cause,
            "after_event" => forwarder.last_event,
            "elapsed_ms" => forwarder.request.arrived.elapsed().as_millis() as u64,
            "left_ms" => forwarder.time_left().as_millis() as u64);
    }

    /// Continues the stream at another endpoint. Returns whether one has started to respond.
    async fn resume(&mut self, cause: &Arc<str>) -> bool {
        self.record_broken_answer();
        let from = self.started.take();
        let name = from.as_ref().map_or_else(Arc::default, |f| f.endpoint.id.clone());
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        if let Some(started) = &from
            && !unconfirmed
            && !self.forwarder.time_left().is_zero()
        {
            self.forwarder.node.record_endpoint_failure(&started.endpoint.id, cause);
        }
        // Closes the connection, which cancels the request at the endpoint.
        drop(from);
        self.splitter = sse::Splitter::default();
        self.sequence = sequence::Sequence::default();
        self.cause = cause.clone();
        let mut next = self.forwarder.attempts.record(attempt::Outcome::Lost);
        if next != attempt::Next::Again && unconfirmed {
            // Asking the same endpoint again does not add to those that run the request. Its answer
            // had new events, so that this comes to an end.
            self.forwarder.restrict(name.clone());
            next = attempt::Next::Again;
        }
        self.log_resumption(&name, cause, next);
        self.run_events = 0;
        self.timing = pace::Timing::default();
        if next != attempt::Next::Again {
            return false;
        }
        match self.forwarder.start_response(&self.headers).await {
            Ok(started) if self.forwarder.is_continuation(&started.response.head) => {
                self.started = Some(started);
                true
            }
            _ => false,
        }
    }

    /// Logs that the answer of the endpoint `from` is left, and how the stream goes on.
    fn log_resumption(&self, from: &str, cause: &str, next: attempt::Next) {
        let forwarder = &self.forwarder;
        forwarder.node.metrics.count_retry("broken_stream");
        event!(forwarder.node.log, events::STREAM_RESUMED; "request" => &*forwarder.request.id,
            "endpoint" => from, "cause" => cause, "after_event" => forwarder.last_event,
            "answer_events" => self.run_events,
            "build" => forwarder.build().map(|b| &**b), "next" => ?next);
    }
}

/// Events that are new to the caller.
struct NewEvents {
    bytes: Vec<u8>,
    /// Number of the last event that the caller has with them.
    last_event: Option<u64>,
    /// Number of the events with data.
    count: u32,
    /// Whether the last event with data has an id, if there is one. No endpoint can go on after an
    /// event without one.
    numbered: Option<bool>,
    /// Whether the stream has ended.
    ended: bool,
}

/// Reads until there is an event with data that the caller does not have, or the stream ends.
/// Comments and repeated events do not prove that the endpoint makes progress; comments are passed on
/// along with the next event.
async fn read_new_events(
    started: &mut forward::StartedResponse,
    splitter: &mut sse::Splitter,
    sequence: &mut sequence::Sequence,
    mut last_event: Option<u64>,
) -> Result<NewEvents, Arc<str>> {
    let (mut bytes, mut count, mut numbered) = (Vec::new(), 0, None);
    // Events that arrived before one that does not belong there have been passed on.
    sequence.result()?;
    loop {
        let Some(part) = started.response.next_chunk().await? else {
            sequence.check_end(last_event)?;
            return match splitter.remainder() {
                [] => Ok(NewEvents { bytes, last_event, count, numbered, ended: true }),
                _ => Err("the stream ends within an event".into()),
            };
        };
        splitter.push(&part).map_err(|sse::TooLong| Arc::from("an event is too long"))?;
        let mut has_new = false;
        while let Some(event) = splitter.next_event() {
            match sequence.check(last_event, &event) {
                Ok(true) => last_event = event.id.or(last_event),
                Ok(false) => continue,
                Err(_) if has_new => break,
                Err(failure) => return Err(failure),
            }
            if event.has_data() {
                has_new = true;
                count += 1;
                numbered = Some(event.id.is_some());
            }
            bytes.extend_from_slice(&event.bytes);
        }
        // Buffers grow to a power of two.
        let held = splitter.remainder().len() + bytes.len();
        started.response.hold(held.next_power_of_two())?;
        if has_new {
            return Ok(NewEvents { bytes, last_event, count, numbered, ended: false });
        }
        if bytes.len() > MAX_COMMENT_BYTES {
            return Err("too many comments without an event".into());
        }
        // Gives way to timeouts if bytes are always ready.
        task::coop::consume_budget().await;
    }
}

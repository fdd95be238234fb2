//! Stream of events that is passed on to a caller, across the endpoints that produce it.

use crate::event;
use crate::events;
use crate::fleet::attempt;
use crate::fleet::forward;
use crate::fleet::protocol;
use crate::fleet::serve;
use crate::fleet::sse;
use bytes::Bytes;
use futures_util::TryFutureExt as _;
use std::collections::VecDeque;
use std::sync::Arc;

/// Stream of events for the caller. If an endpoint breaks it off, another one continues it.
pub(super) struct EventStream {
    pub(super) forwarder: forward::Forwarder,
    headers: protocol::Headers,
    /// Response that is being read.
    pub(super) started: Option<Box<forward::StartedResponse>>,
    splitter: sse::Splitter,
    /// Why the last endpoint was given up.
    pub(super) cause: Arc<str>,
    /// Bytes of complete events that the caller has not received yet.
    pub(super) ready: VecDeque<Bytes>,
    /// Whether the stream ended or failed. Otherwise a dropped stream means that the caller left.
    ended: bool,
}

impl Drop for EventStream {
    fn drop(&mut self) {
        if !self.ended {
            let forwarder = &self.forwarder;
            forwarder.node.metrics.count_request("online", "caller_left");
            event!(forwarder.node.log, events::CALLER_LEFT; "request" => &*forwarder.request.id,
                "after_event" => forwarder.last_event,
                "elapsed_ms" => forwarder.request.arrived.elapsed().as_millis() as u64);
        }
    }
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
            cause: Arc::default(),
            ready: VecDeque::new(),
            ended: false,
        }
    }

    /// Returns the next bytes for the caller; `None` after the end of the stream.
    pub(super) async fn next_bytes(&mut self) -> Option<Result<Bytes, serve::ResponseAborted>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            if self.ended {
                return None;
            }
            if let Err(cause) = self.read_events().await
                && !self.resume(&cause).await
            {
                self.ended = true;
                return Some(Err(serve::ResponseAborted));
            }
        }
    }

    /// Reads one chunk from the endpoint and queues the events that are complete.
    async fn read_events(&mut self) -> Result<(), Arc<str>> {
        let Some(started) = &mut self.started else { return Err("no endpoint".into()) };
        // A timeout does not end a read for which bytes are always ready.
        if self.forwarder.time_left().is_zero() {
            return Err("the time is over".into());
        }
        let limit = match self.forwarder.last_event {
            None => self.forwarder.first_event_timeout(),
            Some(_) => self.forwarder.next_event_timeout(),
        };
        let from = started.endpoint.id.clone();
        let next = started.response.next_chunk();
        let next = next.map_err(|cause| (attempt::Outcome::Lost, cause));
        let waited = self.forwarder.wait_or_take_over(&self.headers, &from, limit, next).await;
        let bytes = match waited {
            forward::Waited::Ended(Ok(bytes)) => bytes,
            forward::Waited::Ended(Err((_, cause))) => return Err(cause),
            forward::Waited::DeadlineExceeded => return Err("the time is over".into()),
            forward::Waited::TakenOver(other) => {
                self.log_resumption("silence", attempt::Next::Again);
                // Closes the connection to the silent endpoint, which cancels the request there.
                self.started = Some(other);
                self.splitter = sse::Splitter::default();
                return Ok(());
            }
        };
        match bytes {
            Some(bytes) => self
                .splitter
                .push(&bytes)
                .map_err(|sse::TooLong| Arc::from("an event is too long"))?,
            None if self.splitter.remainder().is_empty() => {
                self.ended = true;
                self.forwarder.node.record_endpoint_success(&started.endpoint.id);
                let elapsed = self.forwarder.request.arrived.elapsed();
                self.forwarder.node.metrics.count_request("online", "answered");
                self.forwarder.node.metrics.record_latency("answer", elapsed);
                event!(self.forwarder.node.log, events::ANSWER_DELIVERED;
                    "request" => &*self.forwarder.request.id, "endpoint" => &*started.endpoint.id,
                    "events" => self.forwarder.last_event,
                    "elapsed_ms" => elapsed.as_millis() as u64);
            }
            None => return Err("the stream ends within an event".into()),
        }
        let mut bytes = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                // An endpoint that resumes may repeat events that the caller has.
                if self.forwarder.last_event.is_some_and(|last| id <= last) {
                    continue;
                }
                self.forwarder.last_event = Some(id);
            }
            bytes.extend_from_slice(&event.bytes);
        }
        if let Some(started) = &mut self.started {
            // Buffers grow to a power of two.
            let held = self.splitter.remainder().len() + bytes.len();
            started.response.hold(held.next_power_of_two())?;
        }
        if !bytes.is_empty() {
            if let Some(started) = &self.started {
                self.forwarder.begin_stream(&started.endpoint.build);
            }
            self.ready.push_back(bytes.into());
        }
        Ok(())
    }

    /// Continues the stream at another endpoint. Returns whether one has started to respond.
    async fn resume(&mut self, cause: &Arc<str>) -> bool {
        let from = self.started.take();
        if let Some(started) = &from {
            self.forwarder.node.record_endpoint_failure(&started.endpoint.id, cause);
        }
        // Closes the connection, which cancels the request at the endpoint.
        drop(from);
        self.splitter = sse::Splitter::default();
        self.cause = cause.clone();
        let next = self.forwarder.attempts.record(attempt::Outcome::Lost);
        self.log_resumption(cause, next);
        if next != attempt::Next::Again {
            return false;
        }
        match self.forwarder.start_response(&self.headers).await {
            Ok(started) if started.response.head.status.is_success() => {
                self.started = Some(started);
                true
            }
            _ => false,
        }
    }

    fn log_resumption(&self, cause: &str, next: attempt::Next) {
        let forwarder = &self.forwarder;
        forwarder.node.metrics.count_retry("broken_stream");
        event!(forwarder.node.log, events::STREAM_RESUMED; "request" => &*forwarder.request.id,
            "cause" => cause, "after_event" => forwarder.last_event,
            "build" => forwarder.build().map(|b| &**b), "next" => ?next);
    }
}

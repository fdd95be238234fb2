//! Runs the attempts that entries send to this agent.

use crate::agent;
use crate::agent::endpoint;
use crate::agent::upstream;
use crate::completion;
use crate::errors;
use crate::event;
use crate::events;
use crate::gate;
use crate::link;
use crate::supervisor;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;
use xxhash_rust::xxh3;

/// Longest wait until the local configuration reaches the revision of an attempt.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay in milliseconds that is sent when the local configuration is behind or no endpoint
/// serves the target.
const RETRY_AFTER_MS: u64 = 500;
/// Longest wait at a stop until the entries have received the last answers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait until an entry confirms that it has received the whole answer.
const RECEIPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of an answer in one frame.
const MAX_CHUNK_SIZE: usize = 256 << 10;

/// Serves connections until a stop is requested, then waits for the running attempts.
pub async fn run(
    agent: agent::Agent,
    listener: Arc<link::Listener>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    loop {
        let peer = tokio::select! {
            peer = listener.accept() => peer,
            () = stop.wait() => None,
        };
        match peer {
            Some(peer) => {
                tokio::spawn(serve_peer(agent.clone(), peer));
            }
            None => break,
        }
    }
    listener.close(CLOSE_TIMEOUT).await;
    Ok(())
}

async fn serve_peer(agent: agent::Agent, peer: link::Peer) {
    while let Some(incoming) = peer.accept().await {
        if let link::Incoming::Stream(stream) = incoming {
            let running = agent.running.enter();
            let agent = agent.clone();
            tokio::spawn(async move {
                // Dropping a failed stream resets it, which the peer notices.
                let _ = serve_stream(&agent, stream).await;
                drop(running);
            });
        }
    }
}

async fn serve_stream(agent: &agent::Agent, mut stream: link::Stream) -> Result<(), errors::Error> {
    match stream.recv::<wire::Request>().await? {
        Some(wire::Request::Attempt(attempt)) => serve_attempt(agent, stream, attempt).await,
        Some(wire::Request::Withdraw { attempt, entry, connection, sent }) => {
            let withdraw =
                gate::attempts::WithdrawRequest { id: attempt, entry, connection, sent_on: sent };
            let withdrawal = agent.withdraw(&withdraw);
            stream.send(&wire::Reply::Withdrawal(withdrawal)).await?;
            stream.finish();
            Ok(())
        }
        Some(wire::Request::TakeOver { attempt, entry, sent }) => {
            let withdrawal = agent.take_over(attempt, &entry, sent);
            stream.send(&wire::Reply::Withdrawal(withdrawal)).await?;
            stream.finish();
            Ok(())
        }
        Some(wire::Request::Hello { entry, connection }) => {
            agent.register_connection(&entry, connection);
            stream.send(&wire::Reply::HelloAck).await?;
            stream.finish();
            Ok(())
        }
        Some(_) | None => {
            Err(errors::Error::protocol("read request", "entry", "request is not for agents"))
        }
    }
}

async fn serve_attempt(
    agent: &agent::Agent,
    mut stream: link::Stream,
    attempt: wire::Attempt,
) -> Result<(), errors::Error> {
    let admitted = tokio::select! {
        admitted = admit(agent, &attempt) => admitted,
        // The entry cancelled the attempt while it was waiting.
        () = stream.closed() => {
            agent.end_attempt(attempt.id);
            return Ok(());
        }
    };
    let (endpoint, slot) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            agent.end_attempt(attempt.id);
            agent.metrics.count_refusal(refusal.reason.label(), "no");
            event!(agent.log, events::REQUEST_REFUSED; "reason" => %refusal.reason);
            let retry = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
            stream.send(&wire::Reply::Refused { reason: refusal.reason, retry }).await?;
            stream.finish();
            return Ok(());
        }
    };
    let load = endpoint.load();
    stream.send(&wire::Reply::Admitted { queued: load.queued, running: load.running }).await?;
    let result = tokio::select! {
        result = relay_answer(agent, &mut stream, &endpoint, &slot, &attempt) => result,
        () = slot.preempted() => {
            Err(errors::Error::lost("read body", endpoint.name().clone(), "the stream stalled"))
        }
    };
    agent.end_attempt(attempt.id);
    slot.finish(result.is_ok());
    if let Err(error) = result {
        event!(agent.log, events::ENDPOINT_FAILED; "error" => %error);
        agent.metrics.count_fault(error.step);
        let reason = match error.cause {
            errors::Cause::Timeout(_) => wire::Reason::Stalled,
            _ => wire::Reason::EndpointFailed,
        };
        stream.send(&wire::Reply::Broken { reason }).await?;
    }
    let received = time::timeout(RECEIPT_TIMEOUT, stream.recv::<wire::Request>()).await;
    if let Ok(Ok(Some(wire::Request::Received))) = received {
        agent.acknowledge_attempt(attempt.id);
    }
    stream.finish();
    Ok(())
}

/// Waits for a slot. On success the attempt is started and can no longer be withdrawn.
async fn admit(
    agent: &agent::Agent,
    attempt: &wire::Attempt,
) -> Result<(endpoint::Endpoint, endpoint::Slot), endpoint::Refusal> {
    let refuse =
        |reason, retry| endpoint::Refusal { reason, retry_after: Duration::from_millis(retry) };
    if time::timeout(CATCH_UP_TIMEOUT, agent.follower.wait_applied(attempt.revision)).await.is_err()
    {
        return Err(refuse(wire::Reason::StaleConfig, RETRY_AFTER_MS));
    }
    agent.admit_attempt(attempt)?;
    let Some(endpoint) = agent.choose_endpoint(&attempt.target) else {
        return Err(refuse(wire::Reason::NoEndpoint, RETRY_AFTER_MS));
    };
    let deadline = Duration::from_millis(attempt.deadline);
    let queued = endpoint.submit(gate::Class::Online, attempt.workspace.clone(), deadline);
    let slot = queued.wait_for_slot().await?;
    if !agent.start_attempt(attempt) {
        return Err(refuse(wire::Reason::Withdrawn, 0));
    }
    Ok((endpoint, slot))
}

async fn relay_answer(
    agent: &agent::Agent,
    stream: &mut link::Stream,
    endpoint: &endpoint::Endpoint,
    slot: &endpoint::Slot,
    attempt: &wire::Attempt,
) -> Result<(), errors::Error> {
    let announcement = endpoint.announcement();
    let request = upstream::Request {
        address: announcement.address,
        method: attempt.method.clone(),
        path: attempt.path.clone(),
        content_type: attempt.content.clone(),
        body: attempt.body.clone(),
        stall_timeout: agent.stall_timeout,
        // Engines send the headers of a streamed answer with its first token, so the stall timeout
        // applies to them.
        header_timeout: match attempt.stream {
            true => agent.stall_timeout,
            false => Duration::from_millis(attempt.deadline).max(agent.stall_timeout),
        },
    };
    let mut response = tokio::select! {
        response = agent.upstream.send(&request) => response?,
        // An answer that is not streamed shows no progress, so only missing announcements
        // distinguish a slow answer from one that never comes.
        () = endpoint.wait_until_lost() => {
            let cause = "the endpoint stopped announcing itself";
            return Err(errors::Error::lost("await answer", announcement.name, cause));
        }
    };
    let head =
        wire::Reply::Head { status: response.status, content: response.content_type.clone() };
    stream.send(&head).await?;
    let mut body = BodySender { stream, count: 0, digest: xxh3::Xxh3::new() };
    if response.content_type.starts_with("text/event-stream") {
        relay_events(response.events(), &mut body, slot).await?;
    } else {
        while let Some(part) = response.next_part().await? {
            body.send(part).await?;
        }
    }
    body.end().await
}

async fn relay_events(
    mut events: upstream::Events,
    body: &mut BodySender<'_>,
    slot: &endpoint::Slot,
) -> Result<(), errors::Error> {
    while let Some(data) = events.next().await? {
        let is_last = data == completion::LAST_EVENT;
        if !is_last {
            slot.record_tokens(1);
        }
        // Starts a frame for each event, so that the entry can cut a stream between events.
        body.send(format!("data: {data}\n\n").into()).await?;
        if is_last {
            return Ok(());
        }
    }
    Err(errors::Error::lost("read event", "endpoint", "stream ended without its last event"))
}

/// Sends the body of an answer to the entry as numbered chunks with a digest at the end.
struct BodySender<'a> {
    stream: &'a mut link::Stream,
    count: u32,
    digest: xxh3::Xxh3,
}

impl BodySender<'_> {
    async fn send(&mut self, mut part: Bytes) -> Result<(), errors::Error> {
        while !part.is_empty() {
            let data = part.split_to(part.len().min(MAX_CHUNK_SIZE));
            self.digest.update(&data);
            let seq = self.count;
            self.count += 1;
            self.stream.send(&wire::Reply::Chunk { seq, data }).await?;
        }
        Ok(())
    }

    async fn end(self) -> Result<(), errors::Error> {
        let end = wire::Reply::End { count: self.count, digest: self.digest.digest() };
        self.stream.send(&end).await
    }
}

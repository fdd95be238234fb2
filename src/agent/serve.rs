//! Attempts that entries send to this agent.

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

/// Longest wait until the local configuration reaches the revision of a request.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Retry hint when the agent is behind with the configuration.
const CATCH_UP_RETRY: u64 = 500;
/// Longest wait at a stop until entries have read the last answers.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for an entry's note that it has a whole answer.
const RECEIVED_LIMIT: Duration = Duration::from_secs(1);
/// Largest part of an answer in one frame, in bytes.
const MAX_CHUNK: usize = 256 << 10;

/// Accepts connections until a stop is requested, then finishes the running attempts.
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
    listener.close(CLOSE_LIMIT).await;
    Ok(())
}

async fn serve_peer(agent: agent::Agent, peer: link::Peer) {
    while let Some(incoming) = peer.accept().await {
        if let link::Incoming::Stream(stream) = incoming {
            let running = agent.running.enter();
            let agent = agent.clone();
            tokio::spawn(async move {
                // A failed stream is reported to the peer by its reset.
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
            agent.greet(&entry, connection);
            stream.send(&wire::Reply::Greeted).await?;
            stream.finish();
            Ok(())
        }
        Some(_) | None => Err(errors::Error::protocol("read request", "entry", "not for agents")),
    }
}

async fn serve_attempt(
    agent: &agent::Agent,
    mut stream: link::Stream,
    attempt: wire::Attempt,
) -> Result<(), errors::Error> {
    let admitted = tokio::select! {
        admitted = admit(agent, &attempt) => admitted,
        // The entry gave up while the attempt was waiting.
        () = stream.closed() => {
            agent.attempt_ended(attempt.id);
            return Ok(());
        }
    };
    let (endpoint, slot) = match admitted {
        Ok(admitted) => admitted,
        Err(refused) => {
            agent.attempt_ended(attempt.id);
            agent.metrics.refusal(refused.reason.label(), "no");
            event!(agent.log, events::REFUSED; "reason" => %refused.reason);
            let retry = u64::try_from(refused.retry.as_millis()).unwrap_or(u64::MAX);
            stream.send(&wire::Reply::Refused { reason: refused.reason, retry }).await?;
            stream.finish();
            return Ok(());
        }
    };
    let load = endpoint.load();
    stream.send(&wire::Reply::Admitted { queued: load.queued, running: load.running }).await?;
    let result = tokio::select! {
        result = relay(agent, &mut stream, &endpoint, &slot, &attempt) => result,
        () = slot.preempted() => {
            Err(errors::Error::lost("read body", endpoint.name().clone(), "silent stream"))
        }
    };
    agent.attempt_ended(attempt.id);
    slot.finish(result.is_ok());
    if let Err(error) = result {
        event!(agent.log, events::ENDPOINT_FAILED; "error" => %error);
        agent.metrics.fault(error.step);
        let reason = match error.cause {
            errors::Cause::Timeout(_) => wire::Reason::Stalled,
            _ => wire::Reason::EndpointFailed,
        };
        stream.send(&wire::Reply::Broken { reason }).await?;
    }
    let received = time::timeout(RECEIVED_LIMIT, stream.recv::<wire::Request>()).await;
    if let Ok(Ok(Some(wire::Request::Received))) = received {
        agent.attempt_received(attempt.id);
    }
    stream.finish();
    Ok(())
}

/// Waits for a slot. On success the attempt counts as admitted and can no longer be withdrawn.
async fn admit(
    agent: &agent::Agent,
    attempt: &wire::Attempt,
) -> Result<(endpoint::Endpoint, endpoint::Slot), endpoint::Refused> {
    let refuse = |reason, retry| endpoint::Refused { reason, retry: Duration::from_millis(retry) };
    if time::timeout(CATCH_UP, agent.follower.wait_applied(attempt.revision)).await.is_err() {
        return Err(refuse(wire::Reason::StaleConfig, CATCH_UP_RETRY));
    }
    agent.begin_attempt(attempt)?;
    let Some(endpoint) = agent.choose(&attempt.target) else {
        return Err(refuse(wire::Reason::NoEndpoint, CATCH_UP_RETRY));
    };
    let deadline = Duration::from_millis(attempt.deadline);
    let ticket = endpoint.submit(gate::Class::Online, attempt.workspace.clone(), deadline);
    let slot = ticket.started().await?;
    if !agent.start_attempt(attempt) {
        return Err(refuse(wire::Reason::Withdrawn, 0));
    }
    Ok((endpoint, slot))
}

async fn relay(
    agent: &agent::Agent,
    stream: &mut link::Stream,
    endpoint: &endpoint::Endpoint,
    slot: &endpoint::Slot,
    attempt: &wire::Attempt,
) -> Result<(), errors::Error> {
    let about = endpoint.about();
    let call = upstream::Call {
        address: about.address,
        method: attempt.method.clone(),
        path: attempt.path.clone(),
        content: attempt.content.clone(),
        body: attempt.body.clone(),
        stall: agent.stall,
        // A streamed answer begins with its first token.
        first: match attempt.stream {
            true => agent.stall,
            false => Duration::from_millis(attempt.deadline).max(agent.stall),
        },
    };
    let mut answer = tokio::select! {
        answer = agent.upstream.send(&call) => answer?,
        // An answer that is not streamed shows no progress, so that only the missing announcements
        // tell a long answer from one that never comes.
        () = endpoint.lost() => {
            let cause = "the endpoint stopped announcing itself";
            return Err(errors::Error::lost("await answer", about.name, cause));
        }
    };
    let head = wire::Reply::Head { status: answer.status, content: answer.content.clone() };
    stream.send(&head).await?;
    let mut body = Body { stream, count: 0, digest: xxh3::Xxh3::new() };
    if answer.content.starts_with("text/event-stream") {
        relay_events(answer.events(), &mut body, slot).await?;
    } else {
        while let Some(part) = answer.part().await? {
            body.send(part).await?;
        }
    }
    body.end().await
}

async fn relay_events(
    mut events: upstream::Events,
    body: &mut Body<'_>,
    slot: &endpoint::Slot,
) -> Result<(), errors::Error> {
    while let Some(data) = events.next().await? {
        let last = data == completion::LAST_EVENT;
        if !last {
            slot.token(1);
        }
        // One frame for one event, so that the entry can cut a stream between events.
        body.send(format!("data: {data}\n\n").into()).await?;
        if last {
            return Ok(());
        }
    }
    Err(errors::Error::lost("read event", "endpoint", "stream ended without its last event"))
}

/// Answer body on its way to the entry.
struct Body<'a> {
    stream: &'a mut link::Stream,
    count: u32,
    digest: xxh3::Xxh3,
}

impl Body<'_> {
    async fn send(&mut self, mut part: Bytes) -> Result<(), errors::Error> {
        while !part.is_empty() {
            let data = part.split_to(part.len().min(MAX_CHUNK));
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

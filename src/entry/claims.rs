//! Requests that must not run twice and carry the caller's key: claimed before dispatch.
//!
//! The claim is committed before the attempt is sent. A request that is sent again, through any
//! entry, finds the claim and gets its outcome.

use crate::entry;
use crate::entry::attempt;
use crate::entry::refusal;
use crate::errors;
use crate::event;
use crate::events;
use crate::jobs;
use crate::router;
use crate::wire;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;
use xxhash_rust::xxh3;

/// Longest wait for the state hosts.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);
/// Claims of other attempts that one call takes over at most. Calls with the same key at several
/// entries could otherwise take the claim from each other without end.
const MAX_TAKEOVERS: usize = 3;
/// Retry hint while the first run of a claimed request is still open.
const HELD_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Stored answer of a claimed request.
#[derive(Serialize, Deserialize)]
struct StoredAnswer {
    status: u16,
    content_type: Arc<str>,
    body: Bytes,
}

/// Claim of one caller's key.
struct Claim<'a> {
    entry: &'a entry::Entry,
    group: u16,
    workspace: Arc<str>,
    key: Arc<str>,
    digest: u64,
}

/// How a claim was answered.
enum ClaimReply {
    /// The attempt may be sent.
    Granted,
    /// An earlier call has this answer.
    Stored(attempt::Answer),
}

/// Runs a request at most once for its key.
///
/// Every attempt is claimed under its own id and with its agent, so that the claim always names
/// the only attempt that can run.
pub async fn run(
    entry: &entry::Entry,
    key: &str,
    mut call: attempt::Call,
) -> Result<attempt::Answer, attempt::Refusal> {
    let claim = Claim {
        entry,
        group: jobs::group_of(&call.workspace, key, entry.client.groups()),
        workspace: call.workspace.clone(),
        key: key.into(),
        digest: request_digest(&call),
    };
    // The answer is stored as a whole, so it is not streamed.
    call.stream = false;
    let mut attempts = attempt::Attempts::new(entry, call);
    loop {
        let prepared = match attempts.prepare().await {
            Ok(prepared) => prepared,
            // Without an agent the answer of an earlier call can still be given.
            Err(refusal) => return claim.stored_answer().await.unwrap_or(Err(refusal)),
        };
        let (id, agent) = (prepared.id, prepared.agent.clone());
        match claim.acquire(&prepared).await {
            Ok(ClaimReply::Granted) => {}
            Ok(ClaimReply::Stored(answer)) => {
                entry.observe(&agent, router::Observation::Abandoned);
                return Ok(answer);
            }
            Err(refusal) => {
                entry.observe(&agent, router::Observation::Abandoned);
                return Err(refusal);
            }
        }
        let answered = attempts.send(prepared).await;
        claim.settle(id, claim_outcome(&answered)).await;
        match &answered {
            // Another entry took the claim over and answers the call that was sent again.
            Err(refusal) if refusal.reason == wire::Reason::Withdrawn => return answered,
            Err(refusal) if refusal.run == wire::Run::No => {}
            _ => return answered,
        }
    }
}

fn claim_outcome(
    answered: &Result<attempt::Answer, attempt::Refusal>,
) -> jobs::message::ClaimOutcome {
    match answered {
        Ok(attempt::Answer::Buffered { status, content_type, body }) => {
            let stored = StoredAnswer {
                status: *status,
                content_type: content_type.clone(),
                body: body.clone(),
            };
            jobs::message::ClaimOutcome::Done(jobs::encode(&stored).into())
        }
        Err(refusal) if refusal.run == wire::Run::No => jobs::message::ClaimOutcome::NeverRan,
        Ok(attempt::Answer::Stream { .. }) | Err(_) => jobs::message::ClaimOutcome::Unknown,
    }
}

impl Claim<'_> {
    /// Claims a prepared attempt. A claim of another attempt passes on only if that one never ran.
    async fn acquire(&self, prepared: &attempt::Prepared) -> Result<ClaimReply, attempt::Refusal> {
        let command = jobs::Command::Claim {
            workspace: self.workspace.clone(),
            key: self.key.clone(),
            digest: self.digest,
            attempt: prepared.id,
            agent: prepared.agent.clone(),
            connection: jobs::message::AgentConnection {
                entry: self.entry.incarnation.clone(),
                number: prepared.connection,
            },
        };
        for _ in 0..MAX_TAKEOVERS {
            match propose(self.entry, self.group, &command).await? {
                jobs::Reply::Claimed => return Ok(ClaimReply::Granted),
                jobs::Reply::Settled { outcome: jobs::message::ClaimOutcome::Done(stored) } => {
                    return decode_answer(&stored).map(ClaimReply::Stored);
                }
                jobs::Reply::Settled { .. } => return Err(unknown_outcome(wire::Reason::Held)),
                jobs::Reply::Held { attempt, .. } => self.withdraw(attempt).await?,
                jobs::Reply::Withdrawn => {
                    return Err(attempt::Refusal::not_run(
                        wire::Reason::Withdrawn,
                        HELD_RETRY_DELAY,
                    ));
                }
                jobs::Reply::Refused(jobs::Refusal::Conflict { .. }) => {
                    let reason = wire::Reason::Conflict;
                    return Err(attempt::Refusal::not_run(reason, Duration::ZERO));
                }
                _ => return Err(attempt::Refusal::not_run(wire::Reason::Invalid, Duration::ZERO)),
            }
        }
        Err(unknown_outcome(wire::Reason::Held))
    }

    /// Withdraws the attempt that holds the claim and settles it, unless it may have run.
    async fn withdraw(&self, attempt: u64) -> Result<(), attempt::Refusal> {
        let Some(status) = self.status().await? else { return Ok(()) };
        if status.attempt != attempt || status.outcome.is_some() {
            // The claim has changed meanwhile; it is asked for again.
            return Ok(());
        }
        // This entry is alive and settles its own claim.
        if status.connection.entry == self.entry.incarnation {
            return Err(unknown_outcome(wire::Reason::Held));
        }
        let agent_link = self.entry.agent_link(&status.agent);
        let Some(agent_link) = agent_link else { return Err(unknown_outcome(wire::Reason::Held)) };
        for _ in 0..attempt::WITHDRAW_TRIES {
            let asked = request_takeover(self.entry, &agent_link, &status);
            match time::timeout(attempt::WITHDRAW_TIMEOUT, asked).await {
                Ok(Ok(wire::Withdrawal::NeverRan)) => {
                    event!(self.entry.log, events::CLAIM_PASSED;
                        "agent" => &*status.agent, "entry" => &*status.connection.entry);
                    self.settle(attempt, jobs::message::ClaimOutcome::NeverRan).await;
                    return Ok(());
                }
                Ok(Ok(wire::Withdrawal::Running | wire::Withdrawal::Finished)) => break,
                Ok(Err(_)) | Err(_) => {
                    self.entry.metrics.fault("take over");
                    agent_link.dialer.reset(agent_link.dialer.generation());
                }
            }
        }
        Err(unknown_outcome(wire::Reason::Held))
    }

    async fn status(&self) -> Result<Option<jobs::message::ClaimStatus>, attempt::Refusal> {
        let query = jobs::Query::Claim { workspace: self.workspace.clone(), key: self.key.clone() };
        let answer = self.entry.client.query(self.group, jobs::encode(&query), STATE_TIMEOUT).await;
        let answer = answer.map_err(|e| refusal::from_state(&e))?;
        match jobs::decode(&answer) {
            Ok(jobs::Answer::Claim(status)) => Ok(Some(status)),
            _ => Ok(None),
        }
    }

    /// Stored answer of an earlier call, or its open state; `None` if there was no such call.
    async fn stored_answer(&self) -> Option<Result<attempt::Answer, attempt::Refusal>> {
        let status = self.status().await.ok()??;
        if status.digest != self.digest {
            let reason = wire::Reason::Conflict;
            return Some(Err(attempt::Refusal::not_run(reason, Duration::ZERO)));
        }
        match status.outcome {
            Some(jobs::message::ClaimOutcome::Done(stored)) => Some(decode_answer(&stored)),
            Some(jobs::message::ClaimOutcome::NeverRan) => None,
            Some(jobs::message::ClaimOutcome::Unknown) | None => {
                Some(Err(unknown_outcome(wire::Reason::Held)))
            }
        }
    }

    async fn settle(&self, attempt: u64, outcome: jobs::message::ClaimOutcome) {
        let (workspace, key) = (self.workspace.clone(), self.key.clone());
        let settle = jobs::Command::Settle { workspace, key, attempt, outcome };
        // If this fails the claim stays open, and a request that is sent again is told so.
        let _ = propose(self.entry, self.group, &settle).await;
    }
}

async fn request_takeover(
    entry: &entry::Entry,
    agent_link: &entry::AgentLink,
    claim: &jobs::message::ClaimStatus,
) -> Result<wire::Withdrawal, errors::Error> {
    let (mut stream, _) = agent_link.open(&entry.incarnation).await?;
    let (entry, sent) = (claim.connection.entry.clone(), claim.connection.number);
    stream.send(&wire::Request::TakeOver { attempt: claim.attempt, entry, sent }).await?;
    match stream.recv::<wire::Reply>().await? {
        Some(wire::Reply::Withdrawal(withdrawal)) => Ok(withdrawal),
        _ => Err(errors::Error::protocol("take over", claim.agent.clone(), "unexpected reply")),
    }
}

fn unknown_outcome(reason: wire::Reason) -> attempt::Refusal {
    attempt::Refusal { reason, run: wire::Run::Unknown, retry: HELD_RETRY_DELAY }
}

fn request_digest(call: &attempt::Call) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(call.method.as_bytes());
    hash.update(call.path.as_bytes());
    hash.update(&call.body);
    hash.digest()
}

fn decode_answer(stored: &[u8]) -> Result<attempt::Answer, attempt::Refusal> {
    let stored: StoredAnswer =
        jobs::decode(stored).map_err(|_| unknown_outcome(wire::Reason::Invalid))?;
    let StoredAnswer { status, content_type, body } = stored;
    Ok(attempt::Answer::Buffered { status, content_type, body })
}

async fn propose(
    entry: &entry::Entry,
    group: u16,
    command: &jobs::Command,
) -> Result<jobs::Reply, attempt::Refusal> {
    let applied = entry
        .client
        .propose(group, jobs::encode(command), STATE_TIMEOUT)
        .await
        .map_err(|e| refusal::from_state(&e))?;
    jobs::Reply::decode(&applied.reply).map_err(|_| unknown_outcome(wire::Reason::Invalid))
}

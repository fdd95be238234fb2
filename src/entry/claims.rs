//! Runs requests that are not idempotent at most once for each idempotency key.
//!
//! Every attempt is claimed for its key before it is sent, and the claim is committed by the state
//! hosts. A request that the caller repeats through any entry finds the claim and gets its outcome.

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

/// Timeout of a request to the state hosts.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of takeovers for one attempt. Without this limit, calls with the same key at
/// several entries could take the claim from each other forever.
const MAX_TAKEOVERS: usize = 3;
/// Retry hint while the outcome of the attempt that holds the claim is unknown.
const HELD_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Stored answer of a claimed request.
#[derive(Serialize, Deserialize)]
struct StoredAnswer {
    status: u16,
    content_type: Arc<str>,
    body: Bytes,
}

/// Claim of an idempotency key for one request.
struct Claim<'a> {
    entry: &'a entry::Entry,
    group: u16,
    workspace: Arc<str>,
    key: Arc<str>,
    digest: u64,
}

/// Reply to an attempt to acquire a claim.
enum ClaimReply {
    /// The attempt holds the claim and may be sent.
    Granted,
    /// An earlier call has finished with this answer.
    Stored(attempt::Answer),
}

/// Runs a request at most once for its key.
///
/// Every attempt acquires the claim under its own id and agent, so the claim always names the only
/// attempt that can run.
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
    // The answer is stored in the claim, so it must be complete before it is returned.
    call.stream = false;
    let mut attempts = attempt::Attempts::new(entry, call);
    loop {
        let prepared = match attempts.prepare().await {
            Ok(prepared) => prepared,
            // The answer of an earlier call can be returned even if no agent is available.
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
            // Another entry has taken over the claim and answers the repeated request.
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
    /// Acquires the claim for a prepared attempt. Takes the claim over from another attempt only if
    /// that attempt never ran.
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

    /// Withdraws the attempt that holds the claim and settles the claim. Fails if the attempt may
    /// have run.
    async fn withdraw(&self, attempt: u64) -> Result<(), attempt::Refusal> {
        let Some(status) = self.status().await? else { return Ok(()) };
        if status.attempt != attempt || status.outcome.is_some() {
            // The claim has changed in the meantime; the caller tries to acquire it again.
            return Ok(());
        }
        // The attempt belongs to this run of this entry, which settles the claim itself.
        if status.connection.entry == self.entry.incarnation {
            return Err(unknown_outcome(wire::Reason::Held));
        }
        let agent_link = self.entry.agent_link(&status.agent);
        let Some(agent_link) = agent_link else { return Err(unknown_outcome(wire::Reason::Held)) };
        for _ in 0..attempt::WITHDRAW_TRIES {
            let asked = request_takeover(self.entry, &agent_link, &status);
            match time::timeout(attempt::WITHDRAW_TIMEOUT, asked).await {
                Ok(Ok(wire::Withdrawal::NeverRan)) => {
                    event!(self.entry.log, events::CLAIM_TAKEN_OVER;
                        "agent" => &*status.agent, "entry" => &*status.connection.entry);
                    self.settle(attempt, jobs::message::ClaimOutcome::NeverRan).await;
                    return Ok(());
                }
                Ok(Ok(wire::Withdrawal::Running | wire::Withdrawal::Finished)) => break,
                Ok(Err(_)) | Err(_) => {
                    self.entry.metrics.count_fault("take over");
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

    /// Returns the answer of an earlier call, or a refusal if its outcome is unknown or its content
    /// differs. Returns `None` if no earlier call has run or the claim cannot be read.
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
        // If this fails, the claim stays open, and repeated requests are told that its outcome is
        // unknown.
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

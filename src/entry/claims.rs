//! Requests that must not run twice and carry the caller's key: claimed before dispatch.
//!
//! The claim is committed before the attempt is sent. A request that is sent again, through any
//! entry, finds the claim and gets its outcome.

use crate::entry;
use crate::entry::attempt;
use crate::entry::refusal;
use crate::jobs;
use crate::wire;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3;

/// Longest wait for the state hosts.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry hint while the first run of a claimed request is still open, in milliseconds.
const HELD_RETRY: Duration = Duration::from_secs(2);

/// Stored answer of a claimed request.
#[derive(Serialize, Deserialize)]
struct Stored {
    status: u16,
    content: Arc<str>,
    body: Bytes,
}

/// Runs a request at most once for its key.
pub async fn run(
    entry: &entry::Entry,
    key: &str,
    mut call: attempt::Call,
) -> Result<attempt::Answer, attempt::Refusal> {
    let group = jobs::group_of(&call.workspace, key, entry.client.groups());
    let id = rand::random();
    let claim = jobs::Command::Claim {
        workspace: call.workspace.clone(),
        key: key.into(),
        digest: digest(&call),
        attempt: id,
        agent: entry.name.clone(),
    };
    match propose(entry, group, &claim).await? {
        jobs::Reply::Claimed => {}
        jobs::Reply::Settled { outcome: jobs::message::ClaimOutcome::Done(stored) } => {
            return restore(&stored);
        }
        jobs::Reply::Settled { .. } => {
            return Err(unknown(wire::Reason::AgentLost));
        }
        jobs::Reply::Held { .. } => return Err(unknown(wire::Reason::Conflict)),
        jobs::Reply::Refused(jobs::Refusal::Conflict { .. }) => {
            return Err(attempt::Refusal::not_run(wire::Reason::Conflict, Duration::ZERO));
        }
        _ => return Err(attempt::Refusal::not_run(wire::Reason::Invalid, Duration::ZERO)),
    }
    call.claimed = Some(id);
    // The answer is stored as a whole, so it is not streamed.
    call.stream = false;
    let workspace = call.workspace.clone();
    let answered = attempt::run(entry, call).await;
    let outcome = match &answered {
        Ok(attempt::Answer::Whole { status, content, body }) => {
            let stored = Stored { status: *status, content: content.clone(), body: body.clone() };
            jobs::message::ClaimOutcome::Done(jobs::encode(&stored).into())
        }
        Ok(attempt::Answer::Stream { .. }) => jobs::message::ClaimOutcome::Unknown,
        Err(refusal) if refusal.run == wire::Run::No => jobs::message::ClaimOutcome::NeverRan,
        Err(_) => jobs::message::ClaimOutcome::Unknown,
    };
    let settle = jobs::Command::Settle { workspace, key: key.into(), attempt: id, outcome };
    // If this fails the claim stays open, and a request that is sent again is told so.
    let _ = propose(entry, group, &settle).await;
    answered
}

fn unknown(reason: wire::Reason) -> attempt::Refusal {
    attempt::Refusal { reason, run: wire::Run::Unknown, retry: HELD_RETRY }
}

fn digest(call: &attempt::Call) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(call.method.as_bytes());
    hash.update(call.path.as_bytes());
    hash.update(&call.body);
    hash.digest()
}

fn restore(stored: &[u8]) -> Result<attempt::Answer, attempt::Refusal> {
    let stored: Stored = jobs::decode(stored).map_err(|_| unknown(wire::Reason::Invalid))?;
    let Stored { status, content, body } = stored;
    Ok(attempt::Answer::Whole { status, content, body })
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
    jobs::Reply::decode(&applied.reply).map_err(|_| unknown(wire::Reason::Invalid))
}

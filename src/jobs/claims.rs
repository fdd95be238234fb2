//! Claims: at-most-once execution of non-idempotent calls under a key from the caller.

use crate::jobs::id;
use crate::jobs::message;
use crate::jobs::retention;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Claim on the execution of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    digest: u64,
    attempt: u64,
    agent: Arc<str>,
    connection: message::AgentConnection,
    outcome: Option<message::ClaimOutcome>,
    /// Attempts that were withdrawn. A late duplicate of their `Claim` command must not get the
    /// claim.
    withdrawn: Vec<u64>,
    /// Group time in milliseconds of the last change.
    changed: u64,
}

/// Claims of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    // A tree, because hashes arrive in random order and inserting one into a sorted vector would
    // move half of its content.
    claims: BTreeMap<id::Id, Claim>,
    expiry: retention::Expiry,
}

impl Claims {
    /// Gives the claim to the attempt in `new` if no other attempt holds it.
    pub fn claim(&mut self, id: id::Id, new: message::ClaimStatus, clock: u64) -> message::Reply {
        if let Some(refusal) = self.expiry.gone_refusal(id) {
            return message::Reply::Refused(refusal);
        }
        let Some(claim) = self.claims.get_mut(&id) else {
            self.insert(id, new, clock);
            return message::Reply::Claimed;
        };
        if claim.digest != new.digest {
            return message::Reply::Refused(message::Refusal::Conflict { digest: claim.digest });
        }
        if claim.withdrawn.contains(&new.attempt) {
            return message::Reply::Withdrawn;
        }
        match &claim.outcome {
            Some(message::ClaimOutcome::NeverRan) => {
                claim.attempt = new.attempt;
                claim.agent = new.agent;
                claim.connection = new.connection;
                claim.outcome = None;
                claim.changed = clock;
                self.expiry.record_change(clock, id);
                message::Reply::Claimed
            }
            Some(outcome) => message::Reply::Settled { outcome: outcome.clone() },
            None if claim.attempt == new.attempt => message::Reply::Claimed,
            None => message::Reply::Held { attempt: claim.attempt, agent: claim.agent.clone() },
        }
    }

    fn insert(&mut self, id: id::Id, new: message::ClaimStatus, clock: u64) {
        let claim = Claim {
            digest: new.digest,
            attempt: new.attempt,
            agent: new.agent,
            connection: new.connection,
            outcome: None,
            withdrawn: Vec::new(),
            changed: clock,
        };
        self.claims.insert(id, claim);
        self.expiry.record_change(clock, id);
    }

    /// Records the outcome of the attempt that holds the claim. The first outcome is final.
    pub fn settle(
        &mut self,
        id: id::Id,
        attempt: u64,
        outcome: message::ClaimOutcome,
        clock: u64,
    ) -> message::Reply {
        let Some(claim) = self.claims.get_mut(&id) else {
            return message::Reply::Refused(
                self.expiry.gone_refusal(id).unwrap_or(message::Refusal::NotFound),
            );
        };
        if claim.withdrawn.contains(&attempt) {
            return message::Reply::Settled { outcome: message::ClaimOutcome::NeverRan };
        }
        if claim.attempt != attempt {
            return message::Reply::Held { attempt: claim.attempt, agent: claim.agent.clone() };
        }
        if let Some(first) = &claim.outcome {
            return message::Reply::Settled { outcome: first.clone() };
        }
        if outcome == message::ClaimOutcome::NeverRan {
            claim.withdrawn.push(attempt);
        }
        claim.outcome = Some(outcome.clone());
        claim.changed = clock;
        self.expiry.record_change(clock, id);
        message::Reply::Settled { outcome }
    }

    /// Status of a claim. Fails if it does not exist or has been removed.
    pub fn status(&self, id: id::Id) -> Result<message::ClaimStatus, message::Refusal> {
        let claim = self.claims.get(&id);
        let claim = claim
            .ok_or_else(|| self.expiry.gone_refusal(id).unwrap_or(message::Refusal::NotFound))?;
        Ok(message::ClaimStatus {
            digest: claim.digest,
            attempt: claim.attempt,
            agent: claim.agent.clone(),
            connection: claim.connection.clone(),
            outcome: claim.outcome.clone(),
        })
    }

    /// Removes up to `limit` claims whose last change is at least `retention` milliseconds ago.
    /// Returns the number of removed claims and whether more are due.
    pub fn expire(&mut self, retention: u64, clock: u64, limit: u32) -> (u32, bool) {
        let due = self.expiry.take_due(retention, clock, limit);
        let mut count = 0;
        for (changed, id) in due.entries {
            if self.claims.get(&id).is_some_and(|c| c.changed == changed) {
                self.claims.remove(&id);
                self.expiry.mark_removed(clock, id);
                count += 1;
            }
        }
        (count, due.more)
    }
}

//! Decides whether a request may be served, by the key that its caller presents. Free of I/O.
//!
//! Designed for keys that are revoked while entries are frozen, cut off or restarted: a key is
//! judged by the configuration and by how sure the entry is that the configuration is current.

use crate::fleet::node;
use crate::fleet::protocol;
use crate::fleet::workspaces;
use crate::fleet::workspaces::contact;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use std::time::Duration;

/// Scheme of the header that carries a key. Schemes are compared regardless of case, RFC 9110
/// section 11.1.
const SCHEME: &str = "bearer";

/// Reason of a refusal before a quorum of the control hosts has confirmed the configuration.
pub const UNCONFIRMED: &str = "the keys of callers are not confirmed yet";
/// Reason of a refusal while a newer configuration is known.
pub const OUTDATED: &str = "a newer configuration has not arrived yet";

/// Key in the headers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presented {
    /// No header carries a key.
    Missing,
    /// The headers carry something else than one key.
    Malformed,
    /// Hash of the key.
    Key(workspaces::KeyHash),
}

/// Why a key is rejected; the label in metrics and logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The request carries no key.
    Missing,
    /// The request carries something else than one key.
    Malformed,
    /// No workspace has the key.
    Unknown,
    /// The key was revoked while the request waited.
    Revoked,
}

impl Rejection {
    /// Label for metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Rejection::Missing => "missing",
            Rejection::Malformed => "malformed",
            Rejection::Unknown => "unknown",
            Rejection::Revoked => "revoked",
        }
    }
}

/// What follows from the key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request needs no key.
    Open,
    /// The request is one of this caller.
    Admitted(workspaces::Caller),
    /// The key is not valid (status 401).
    Rejected(Rejection),
    /// Whether the key is valid cannot be told for certain (status 503).
    Undecided(&'static str),
}

/// What an entry knows about its configuration when it decides.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    /// Whether the configuration is known to be current.
    pub standing: contact::Standing,
    /// Whether a newer configuration is known to exist.
    pub newer: bool,
}

/// How long keys are accepted without contact with the control hosts.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Time without contact after which a revocation may have been missed.
    pub revocation: Duration,
    /// Whether keys are rejected after that time.
    pub strict: bool,
}

/// Reads the key from the header `name`, which has the form `Bearer KEY`. More than one such header
/// is malformed: other software might go by another one of them.
pub fn read_key(headers: &HeaderMap, name: &HeaderName) -> Presented {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Presented::Missing };
    if values.next().is_some() {
        return Presented::Malformed;
    }
    parse_key(value).map_or(Presented::Malformed, Presented::Key)
}

/// Hash of the key in one header; `None` if it does not have the form `Bearer KEY`.
fn parse_key(value: &HeaderValue) -> Option<workspaces::KeyHash> {
    let (scheme, key) = std::str::from_utf8(value.as_bytes()).ok()?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| workspaces::KeyHash::new(key.trim()))
}

/// Removes what is not passed on to endpoints: the key on a route that needs one, and the name of a
/// workspace that the caller states. A key of a workspace is removed on open routes as well; other
/// credentials are passed on there. A configuration without workspaces leaves all headers as they are.
pub fn remove_identity(
    workspaces: &workspaces::Workspaces,
    caller: Option<&workspaces::Caller>,
    names: &protocol::Headers,
    headers: &mut HeaderMap,
) {
    if workspaces.is_empty() {
        return;
    }
    let is_known = |value| parse_key(value).is_some_and(|key| workspaces.find(&key).is_some());
    if caller.is_some() || headers.get_all(&names.caller).iter().any(is_known) {
        headers.remove(&names.caller);
    }
    headers.remove(&names.workspace);
}

/// Decides about a request by its key. `is_open` tells whether its route needs none.
pub fn decide(
    workspaces: &workspaces::Workspaces,
    is_open: bool,
    presented: Presented,
    knowledge: Knowledge,
    policy: Policy,
) -> Decision {
    if is_open || workspaces.is_empty() {
        return Decision::Open;
    }
    let found = match presented {
        Presented::Missing => Err(Rejection::Missing),
        Presented::Malformed => Err(Rejection::Malformed),
        Presented::Key(key) => match workspaces.find(&key) {
            Some(found) => Ok(workspaces::Caller {
                workspace: found.name.clone(),
                priority: found.priority,
                key,
            }),
            None => Err(Rejection::Unknown),
        },
    };
    match (knowledge.standing, found) {
        (contact::Standing::Starting, _) => Decision::Undecided(UNCONFIRMED),
        // What was revoked while the process did not run is not known yet.
        (contact::Standing::Resumed(since), _) if policy.strict || since < policy.revocation => {
            Decision::Undecided(UNCONFIRMED)
        }
        (contact::Standing::Lost(since), _) if policy.strict && since > policy.revocation => {
            Decision::Undecided(node::OUT_OF_CONTACT)
        }
        (_, Ok(caller)) => Decision::Admitted(caller),
        (contact::Standing::Current, Err(_)) if knowledge.newer => Decision::Undecided(OUTDATED),
        (contact::Standing::Current, Err(rejection)) => Decision::Rejected(rejection),
        // A key that was added while contact was lost may not be known yet.
        (_, Err(_)) => Decision::Undecided(node::OUT_OF_CONTACT),
    }
}

/// Decides whether a request that was admitted and has not been sent may still be sent.
pub fn recheck(
    workspaces: &workspaces::Workspaces,
    caller: &workspaces::Caller,
    knowledge: Knowledge,
    policy: Policy,
) -> Decision {
    // A key that has moved to another workspace is revoked.
    match decide(workspaces, false, Presented::Key(caller.key), knowledge, policy) {
        Decision::Admitted(now) if now.workspace != caller.workspace => {
            Decision::Rejected(Rejection::Revoked)
        }
        Decision::Rejected(_) => Decision::Rejected(Rejection::Revoked),
        decision => decision,
    }
}

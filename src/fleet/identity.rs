//! Checks the keys of callers at an entry.
//!
//! [`auth`] decides; this module supplies what the decision needs and turns it into responses, log
//! lines and metrics.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::control_state;
use crate::fleet::forward;
use crate::fleet::groups;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::serve;
use crate::fleet::starting;
use crate::fleet::workspaces;
use crate::supervisor;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use std::time::Duration;
use tokio::time;
use workspaces::auth;
use workspaces::contact;

/// Interval at which an entry observes whether it runs and is in contact.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a quorum to confirm the version of the configuration.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between questions after a start, once the control group has had no leader for long: a question
/// sends a message to each control host every 100 ms.
const QUESTION_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait of a request for the confirmation of the configuration. A reachable quorum answers
/// within some milliseconds, so that a short stall of the process does not cost its requests.
const MAX_CONFIRM_WAIT: Duration = Duration::from_millis(250);
/// Interval at which a waiting request looks for the confirmation.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Least time between two log lines about rejected keys.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Requests rejected for their keys since the last log line.
#[derive(Debug, Default)]
pub struct Rejections {
    count: u64,
    reported: Option<Duration>,
}

impl Rejections {
    /// Counts a rejection. Returns the number to log, at most once a second.
    pub fn add(&mut self, now: Duration) -> Option<u64> {
        self.count += 1;
        if self.reported.is_some_and(|last| now.saturating_sub(last) < REPORT_INTERVAL) {
            return None;
        }
        self.reported = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}

impl node::Node {
    /// Why this entry does not serve requests yet after its start; `None` if it serves.
    pub fn start_blocker(&self) -> Option<&'static str> {
        let now = self.now();
        let Some(active) = self.view.active_config() else {
            return starting::blocker(starting::Knowledge::default());
        };
        if peer::lock(&self.contact).standing(now) == contact::Standing::Starting {
            // A report may have arrived since the last observation.
            self.confirm_from_disks();
        }
        let (causes, shown) = self.view.quarantine(|q| (q.is_usable(now), q.shows_workspaces()));
        let has_workspaces = shown || !active.config.workspaces.is_empty();
        let confirmed = peer::lock(&self.contact).may_serve(now, has_workspaces);
        starting::blocker(starting::Knowledge { configured: true, causes, confirmed })
    }

    fn key_policy(&self) -> auth::Policy {
        let settings = &self.settings.workspaces;
        let revocation = Duration::from_millis(settings.revocation);
        auth::Policy { revocation, strict: settings.strict }
    }

    fn key_knowledge(&self, version: u64) -> auth::Knowledge {
        auth::Knowledge {
            standing: peer::lock(&self.contact).standing(self.now()),
            newer: self.is_newer_config_available(version),
        }
    }

    /// Repeats a decision for a short time as long as the configuration is not confirmed.
    async fn decide_key(&self, decide: impl Fn() -> auth::Decision) -> auth::Decision {
        let end = time::Instant::now() + MAX_CONFIRM_WAIT;
        loop {
            let decision = decide();
            let is_waiting = decision == auth::Decision::Undecided(auth::UNCONFIRMED);
            if !is_waiting || time::Instant::now() >= end {
                return decision;
            }
            time::sleep(CONFIRM_POLL_INTERVAL).await;
        }
    }

    /// Decides who sends a request with these headers. `is_open` tells whether its route needs no key;
    /// it is false for a call without a route.
    pub(super) async fn identify(&self, headers: &HeaderMap, is_open: bool) -> auth::Decision {
        let presented = auth::read_key(headers, &self.view.protocol().headers().caller);
        let policy = self.key_policy();
        let decide = || match (self.start_blocker(), self.view.active_config()) {
            (Some(auth::UNCONFIRMED), _) => auth::Decision::Undecided(auth::UNCONFIRMED),
            (_, None) => auth::Decision::Undecided(starting::NO_CONFIG),
            (_, Some(active)) => {
                let knowledge = self.key_knowledge(active.document.version);
                auth::decide(&active.config.workspaces, is_open, presented, knowledge, policy)
            }
        };
        self.decide_key(decide).await
    }

    /// Caller of the request `id` with these headers; `None` if it needs no key. Nothing of the body
    /// needs to have been read.
    ///
    /// # Errors
    /// The response to the request: 401 without a valid key, 503 if the entry cannot tell.
    pub async fn authenticate(
        &self,
        headers: &HeaderMap,
        id: &str,
        is_open: bool,
    ) -> Result<Option<workspaces::Caller>, serve::Response> {
        self.respond_to_key(self.identify(headers, is_open).await, id, None)
    }

    /// Checks again, right before a request is sent or submitted, whether its key is valid: it may
    /// have been revoked while the request waited.
    ///
    /// # Errors
    /// The response to the request: 401 if the key was revoked, 503 if the entry cannot tell.
    pub async fn recheck_caller(
        &self,
        caller: &workspaces::Caller,
        id: &str,
    ) -> Result<(), serve::Response> {
        let policy = self.key_policy();
        let decide = || match self.view.active_config() {
            None => auth::Decision::Undecided(starting::NO_CONFIG),
            Some(active) => {
                let knowledge = self.key_knowledge(active.document.version);
                auth::recheck(&active.config.workspaces, caller, knowledge, policy)
            }
        };
        self.respond_to_key(self.decide_key(decide).await, id, Some(caller)).map(drop)
    }

    /// Carries out a decision. `known` is the caller of a request that was admitted before.
    ///
    /// # Errors
    /// The response to the request: 401 without a valid key, 503 if the entry cannot tell.
    pub(super) fn respond_to_key(
        &self,
        decision: auth::Decision,
        id: &str,
        known: Option<&workspaces::Caller>,
    ) -> Result<Option<workspaces::Caller>, serve::Response> {
        match decision {
            auth::Decision::Open => Ok(None),
            auth::Decision::Admitted(caller) => Ok(Some(caller)),
            auth::Decision::Undecided(reason) => Err(forward::refuse(self, id, reason)),
            auth::Decision::Rejected(rejection) => {
                let workspace = known.map(|c| &*c.workspace);
                self.metrics.count_unauthorized(rejection.label());
                event!(self.log, events::REQUEST_REFUSED; "request" => id,
                    "reason" => format!("key {}", rejection.label()), "workspace" => workspace);
                if let Some(count) = peer::lock(&self.rejections).add(self.now()) {
                    event!(self.log, events::KEY_REJECTED; "request" => id,
                        "reason" => rejection.label(), "workspace" => workspace,
                        "count" => count);
                }
                let text = format!("no valid key: {}\n", rejection.label());
                let mut response = serve::response(StatusCode::UNAUTHORIZED, text);
                let scheme = HeaderValue::from_static("Bearer");
                response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
                Err(response)
            }
        }
    }

    /// Waits until the configuration no longer has the key of a caller.
    pub async fn wait_until_revoked(&self, caller: &workspaces::Caller) {
        let mut changes = self.view.changes();
        loop {
            let active = self.view.active_config();
            let owner = active.as_ref().and_then(|a| a.config.workspaces.find(&caller.key));
            if owner.is_none_or(|o| o.name != caller.workspace) {
                return;
            }
            // The sender is part of the view.
            let _ = changes.changed().await;
        }
    }

    /// Adds the task that finds out whether the configuration of an entry is current. `end` stops it:
    /// a stopping entry still serves requests.
    pub fn spawn_contact(&self, tree: &mut supervisor::Supervisor, end: &supervisor::Stop) {
        let (node, end) = (self.clone(), end.clone());
        tree.spawn("contact", move |_| observe_contact(node.clone(), end.clone()));
    }

    /// Confirms the configuration after a restart of all hosts, before there is a leader, if the disks
    /// of the control hosts show that none newer was committed.
    fn confirm_from_disks(&self) {
        if let Some(version) = self.view.quarantine(|q| q.stored_version()) {
            let (now, held) = (self.now(), self.view.config_version());
            peer::lock(&self.contact).confirm_start(now, version, held);
        }
    }

    /// Asks a quorum of the control group for the version of the configuration.
    async fn confirm_config(&self) -> bool {
        let asked = self.now();
        let query = control_state::Query::Version;
        let answer = self.groups.query_members::<u64>(groups::CONTROL, &query, CONFIRM_TIMEOUT);
        let answer = answer.await;
        if let Ok(version) = answer {
            let held = self.view.config_version();
            peer::lock(&self.contact).confirm(self.now(), asked, version, held);
        }
        answer.is_ok()
    }
}

/// Observes the contact of an entry, and has the configuration confirmed when it may be outdated: at an
/// interval, and after a start as soon as the configuration has arrived.
async fn observe_contact(
    node: node::Node,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut ticks = node.timer.subscribe(OBSERVE_INTERVAL);
    let mut changes = node.view.changes();
    let observe = || {
        let is_connected = node.is_in_contact();
        let mut contact = peer::lock(&node.contact);
        contact.observe(node.now(), is_connected);
        drop(contact);
        node.confirm_from_disks();
        peer::lock(&node.contact).needs_confirmation()
    };
    let is_starting =
        || peer::lock(&node.contact).standing(node.now()) == contact::Standing::Starting;
    let mut next_question = Duration::ZERO;
    loop {
        tokio::select! {
            _ = ticks.next() => {}
            Ok(()) = changes.changed(), if is_starting() => {}
            () = stop.wait() => return Ok(()),
        }
        if !observe() || node.view.active_config().is_none() || node.now() < next_question {
            continue;
        }
        let confirm = node.confirm_config();
        tokio::pin!(confirm);
        loop {
            tokio::select! {
                is_answered = &mut confirm => {
                    if !is_answered && is_starting() && node.now() > contact::UNCONFIRMED_TIMEOUT {
                        next_question = node.now() + QUESTION_INTERVAL;
                    }
                    break;
                }
                _ = ticks.next() => { observe(); }
                () = stop.wait() => return Ok(()),
            }
        }
    }
}

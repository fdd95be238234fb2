//! Client of the replica groups: finds the leader of a group and retries requests until they are
//! done or time out.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::ledger;
use crate::fleet::peer;
use crate::fleet::view;
use crate::sorted;
use crate::state::group;
use crate::wire;
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time;

/// Replica group of the configuration.
pub const CONTROL: u16 = 0;
/// Replica group of the jobs.
pub const JOBS: u16 = 1;

/// Timeout of a short call to one host: about two round trips of a quorum plus a slow disk sync.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without an answer after which a host is asked whether it still leads, and again after each
/// answer. A host that is cut off does not answer within `CALL_TIMEOUT` in all, and then the next
/// one is called. One that still leads has the request in its queue, and is not sent it again.
const CHECK_DELAY: Duration = Duration::from_millis(300);
/// Longest command that is sent to a host of which it is not known whether it leads.
const MAX_BLIND_BYTES: usize = 1 << 10;
/// Delay before a group without a leader is called again; an election takes several times as long.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Delay before a member is asked again by a host that asks all of them: such a host is to learn of a new
/// leader within 100 ms. While there is no leader, 340 entries that start ask each member 3,400 times a
/// second.
const MEMBER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a request to a group failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was not executed and will not be.
    NotDone(wire::Reason),
    /// It is not known whether the request was or will be executed.
    Unknown,
}

/// Tracks whether any of the hosts that a request was sent to may have executed it.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeTracker {
    /// Whether a host may have executed the request.
    maybe_done: bool,
}

impl OutcomeTracker {
    /// Records that a host did not answer.
    pub fn record_no_answer(&mut self) {
        self.maybe_done = true;
    }

    /// Records that a host refused. `run` states whether it may still commit the command.
    pub fn record_refusal(&mut self, run: wire::Run) {
        self.maybe_done |= run == wire::Run::Unknown;
    }

    /// Failure to report after the last host. If one host may have executed the request, the
    /// outcome is unknown, whatever the other hosts answered.
    pub fn failure(&self, reason: wire::Reason) -> Failure {
        if self.maybe_done { Failure::Unknown } else { Failure::NotDone(reason) }
    }
}

/// Client of the replica groups. Clones share it.
#[derive(Clone)]
pub struct Client {
    peers: peer::Peers,
    view: Arc<view::View>,
    /// Host that last answered, by group.
    leaders: Arc<Mutex<sorted::SortedMap<u16, Arc<str>>>>,
    /// Group and handle of the replica on this host, if it has one.
    local: Option<(u16, local::SharedHandle)>,
    log: slog::Logger,
}

/// Replica on this host. It is missing while its folder is being opened.
pub mod local {
    use crate::state::group;
    use std::sync::Arc;
    use std::sync::Mutex;

    /// Handle of the replica; `None` while no replica runs.
    pub type SharedHandle = Arc<Mutex<Option<group::Handle>>>;
}

impl Client {
    /// Creates a client. `local` is the group and handle of the replica on this host.
    pub fn new(
        peers: peer::Peers,
        view: Arc<view::View>,
        local: Option<(u16, local::SharedHandle)>,
        log: &slog::Logger,
    ) -> Client {
        Client { peers, view, leaders: Arc::default(), local, log: log.clone() }
    }

    /// Logs a reply that cannot be decoded, and returns `failure`.
    fn log_unreadable(&self, group: u16, error: postcard::Error, failure: Failure) -> Failure {
        event!(self.log, events::BAD_FRAME; "group" => group, "error" => %error);
        failure
    }

    /// Proposes a command and retries until it is applied, is refused for good or `limit` has
    /// passed.
    ///
    /// # Errors
    /// `NotDone` if the command was not applied, `Unknown` if it may have been.
    pub async fn propose(
        &self,
        group: u16,
        command: &impl Serialize,
        limit: Duration,
    ) -> Result<ledger::Reply, Failure> {
        let command = Bytes::from(ledger::encode(command));
        let request = wire::Request::Propose { group, command };
        match self.call(group, request, limit).await? {
            wire::Reply::Applied { reply, .. } => {
                let reply = postcard::from_bytes(&reply);
                reply.map_err(|e| self.log_unreadable(group, e, Failure::Unknown))
            }
            _ => Err(Failure::Unknown),
        }
    }

    /// Proposes a command at the replica on this host, if that leads, and waits until the command is
    /// applied or the replica no longer leads. No other host is asked.
    ///
    /// # Errors
    /// `NotDone` if the command was not applied, `Unknown` if it may have been.
    pub async fn propose_local(
        &self,
        group: u16,
        command: &impl Serialize,
    ) -> Result<ledger::Reply, Failure> {
        let command = Bytes::from(ledger::encode(command));
        let request = wire::Request::Propose { group, command };
        let own = self.peers.own().clone();
        match self.send_while_led(group, &own, request, Duration::MAX).await {
            Ok(wire::Reply::Applied { reply, .. }) => {
                let reply = postcard::from_bytes(&reply);
                reply.map_err(|e| self.log_unreadable(group, e, Failure::Unknown))
            }
            Ok(wire::Reply::NotDone { reason, run: wire::Run::No, .. }) => {
                Err(Failure::NotDone(reason))
            }
            _ => Err(Failure::Unknown),
        }
    }

    /// Sends a query to the leader, which answers it after a quorum has confirmed its leadership.
    ///
    /// # Errors
    /// `NotDone` or `Unknown` if no leader gave a readable answer within `limit`.
    pub async fn query<T: DeserializeOwned>(
        &self,
        group: u16,
        query: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Failure> {
        let query = Bytes::from(ledger::encode(query));
        let request = wire::Request::Query { group, query };
        match self.call(group, request, limit).await? {
            wire::Reply::Answer(answer) => {
                let failure = Failure::NotDone(wire::Reason::Invalid);
                postcard::from_bytes(&answer).map_err(|e| self.log_unreadable(group, e, failure))
            }
            _ => Err(Failure::NotDone(wire::Reason::NoQuorum)),
        }
    }

    /// Sends a query to all known members at once, and to the leader that one of them names. For
    /// hosts that wait for the answer before they serve: a member that is down costs no time, and a
    /// leader that is not known here is reached through the others.
    ///
    /// # Errors
    /// `NotDone` if no leader gave a readable answer within `limit`.
    pub async fn query_members<T: DeserializeOwned>(
        &self,
        group: u16,
        query: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Failure> {
        let query = Bytes::from(ledger::encode(query));
        let request = wire::Request::Query { group, query };
        let answer = time::timeout(limit, self.ask_members(group, &request)).await;
        let answer = answer.map_err(|_| Failure::NotDone(wire::Reason::NoQuorum))?;
        let failure = Failure::NotDone(wire::Reason::Invalid);
        postcard::from_bytes(&answer).map_err(|e| self.log_unreadable(group, e, failure))
    }

    /// Asks each known member until one answers, and each leader that one of them names. A member
    /// that does not answer keeps no other waiting.
    async fn ask_members(&self, group: u16, request: &wire::Request) -> Bytes {
        let ask = |host: Arc<str>, delay: Duration| async move {
            time::sleep(delay).await;
            let reply = self.send(group, &host, request.clone(), CALL_TIMEOUT).await;
            (host, reply)
        };
        let (mut asked, mut answers) = (Vec::new(), FuturesUnordered::new());
        loop {
            for host in self.view.members(group) {
                if !asked.contains(&host) {
                    asked.push(host.clone());
                    answers.push(ask(host, Duration::ZERO));
                }
            }
            let Some((host, reply)) = answers.next().await else {
                time::sleep(RETRY_DELAY).await;
                continue;
            };
            match reply {
                Ok(wire::Reply::Answer(answer)) => {
                    peer::lock(&self.leaders).insert(group, host);
                    return answer;
                }
                Ok(wire::Reply::NotDone { leader: Some(leader), .. })
                    if !asked.contains(&leader) =>
                {
                    asked.push(leader.clone());
                    answers.push(ask(leader, Duration::ZERO));
                }
                _ => {}
            }
            answers.push(ask(host, MEMBER_RETRY_DELAY));
        }
    }

    /// Status of the leader's replica; `None` if no leader is found within `limit`.
    pub async fn leader_status(&self, group: u16, limit: Duration) -> Option<wire::Group> {
        let end = time::Instant::now() + limit;
        // A successful confirmation stores the leader in `leaders`.
        self.confirm_leader(group, limit).await.ok()?;
        let host = peer::lock(&self.leaders).get(&group).cloned()?;
        let left = end.saturating_duration_since(time::Instant::now());
        match self.send(group, &host, wire::Request::Status, left.min(CALL_TIMEOUT)).await {
            Ok(wire::Reply::Groups(groups)) => {
                groups.into_iter().find(|g| g.group == group && g.leader.as_ref() == Some(&host))
            }
            _ => None,
        }
    }

    /// Whether the replica on this host has applied everything committed before this call. Only a
    /// leader whose leadership a quorum has confirmed can tell.
    pub async fn confirm_local(&self, limit: Duration) -> bool {
        let Some((group, slot)) = &self.local else { return false };
        let handle = peer::lock(slot).clone();
        let asked = call_local_replica(handle, wire::Request::Confirm { group: *group });
        matches!(time::timeout(limit, asked).await, Ok(wire::Reply::Confirmed { .. }))
    }

    async fn confirm_leader(&self, group: u16, limit: Duration) -> Result<(), Failure> {
        self.call(group, wire::Request::Confirm { group }, limit).await.map(|_| ())
    }

    async fn call(
        &self,
        group: u16,
        request: wire::Request,
        limit: Duration,
    ) -> Result<wire::Reply, Failure> {
        let end = time::Instant::now() + limit;
        let mut tracker = OutcomeTracker::default();
        let mut position = rand::random::<u32>() as usize;
        let mut leader = peer::lock(&self.leaders).get(&group).cloned();
        let mut hint = None;
        loop {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return Err(tracker.failure(wire::Reason::NoQuorum));
            }
            if leader.is_none() && is_long(&request) {
                let Some(host) = hint.take().or_else(|| self.next_host(group, &mut position))
                else {
                    time::sleep(RETRY_DELAY.min(left)).await;
                    continue;
                };
                hint = self.ask_leader(group, &host, left.min(CALL_TIMEOUT)).await;
                leader = hint.take_if(|l| *l == host);
                if leader.is_none() && hint.is_none() {
                    time::sleep(RETRY_DELAY.min(left)).await;
                }
                continue;
            }
            let next = leader.take().or_else(|| hint.take());
            let Some(host) = next.or_else(|| self.next_host(group, &mut position)) else {
                time::sleep(RETRY_DELAY.min(left)).await;
                continue;
            };
            let reply = self.send_while_led(group, &host, request.clone(), left).await;
            match reply {
                Ok(wire::Reply::NotDone { reason, leader, run }) => {
                    tracker.record_refusal(run);
                    // Another host would not decide differently.
                    let final_reasons =
                        [wire::Reason::DiskFull, wire::Reason::QueueFull, wire::Reason::Invalid];
                    if final_reasons.contains(&reason) {
                        return Err(tracker.failure(reason));
                    }
                    self.forget_leader(group);
                    hint = leader.filter(|l| *l != host);
                    if hint.is_none() {
                        time::sleep(RETRY_DELAY.min(left)).await;
                    }
                }
                Ok(reply) => {
                    peer::lock(&self.leaders).insert(group, host);
                    return Ok(reply);
                }
                Err(_) => {
                    tracker.record_no_answer();
                    self.forget_leader(group);
                    time::sleep(RETRY_DELAY.min(left)).await;
                }
            }
        }
    }

    /// Sends a request and waits for the answer as long as the host answers that it leads.
    ///
    /// # Errors
    /// `Timeout` after `limit`, or if the host does not answer that it leads; `Lost` if the
    /// connection is lost.
    async fn send_while_led(
        &self,
        group: u16,
        host: &Arc<str>,
        request: wire::Request,
        limit: Duration,
    ) -> Result<wire::Reply, errors::Error> {
        tokio::select! {
            biased;
            reply = self.send(group, host, request, limit) => reply,
            () = self.wait_until_not_led(group, host) => {
                let cause = errors::Cause::Timeout(CALL_TIMEOUT.as_millis() as u64);
                Err(errors::Error::new("call leader", host.clone(), cause))
            }
        }
    }

    /// Waits until a host no longer answers that it leads.
    async fn wait_until_not_led(&self, group: u16, host: &Arc<str>) {
        // A local replica answers unless the process ends, but may be busy with the disk for long.
        let limit = match self.is_local(group, host) {
            true => Duration::MAX,
            false => CALL_TIMEOUT - CHECK_DELAY,
        };
        loop {
            time::sleep(CHECK_DELAY).await;
            let leader = self.ask_leader(group, host, limit).await;
            if leader.as_ref() != Some(host) {
                return;
            }
        }
    }

    /// Asks a host which host leads a group; `None` if it does not answer or knows no leader.
    async fn ask_leader(&self, group: u16, host: &Arc<str>, limit: Duration) -> Option<Arc<str>> {
        match self.send(group, host, wire::Request::Status, limit).await {
            Ok(wire::Reply::Groups(groups)) => {
                groups.into_iter().find(|g| g.group == group)?.leader
            }
            _ => None,
        }
    }

    /// Whether the replica of a group on `host` is that of this host.
    fn is_local(&self, group: u16, host: &Arc<str>) -> bool {
        host == self.peers.own() && self.local.as_ref().is_some_and(|(own, _)| *own == group)
    }

    fn forget_leader(&self, group: u16) {
        peer::lock(&self.leaders).remove(&group);
    }

    fn next_host(&self, group: u16, position: &mut usize) -> Option<Arc<str>> {
        let mut hosts = self.view.members(group);
        if self.local.as_ref().is_some_and(|(own, _)| *own == group) {
            hosts.push(self.peers.own().clone());
        }
        *position = position.wrapping_add(1);
        let len = hosts.len();
        (len > 0).then(|| hosts.swap_remove(*position % len))
    }

    async fn send(
        &self,
        group: u16,
        host: &Arc<str>,
        request: wire::Request,
        limit: Duration,
    ) -> Result<wire::Reply, errors::Error> {
        let local = self.local.as_ref().filter(|_| self.is_local(group, host));
        let Some((_, slot)) = local else {
            return self.peers.call(host, request, limit).await;
        };
        let handle = peer::lock(slot).clone();
        let asked = time::timeout(limit, call_local_replica(handle, request)).await;
        let cause = errors::Cause::Timeout(limit.as_millis() as u64);
        asked.map_err(|_| errors::Error::new("ask replica", host.clone(), cause))
    }
}

/// Whether a request is long, so that it is sent only to the leader.
fn is_long(request: &wire::Request) -> bool {
    matches!(request, wire::Request::Propose { command, .. } if command.len() > MAX_BLIND_BYTES)
}

/// Sends a request to the replica on this host and waits for its reply.
pub async fn call_local_replica(
    handle: Option<group::Handle>,
    request: wire::Request,
) -> wire::Reply {
    let refused = |run| wire::Reply::NotDone { reason: wire::Reason::NoQuorum, leader: None, run };
    let Some(handle) = handle else { return refused(wire::Run::No) };
    if matches!(request, wire::Request::Status) {
        return status(&handle).await;
    }
    let (done, answer) = oneshot::channel();
    let call = group::Call::from_request(request, done);
    if !handle.call(call) {
        return refused(wire::Run::No);
    }
    // The replica's thread drops a pending call only when it ends. The command may already be in
    // the log by then.
    answer.await.unwrap_or(refused(wire::Run::Unknown))
}

async fn status(handle: &group::Handle) -> wire::Reply {
    let (done, answer) = oneshot::channel();
    handle.call(group::Call::Status { done });
    wire::Reply::Groups(answer.await.into_iter().collect())
}

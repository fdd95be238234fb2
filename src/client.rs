//! Client of the state hosts: finds the leader of a group and resends idempotent commands.

use crate::errors;
use crate::link;
use crate::settings;
use crate::tls;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time;

/// Longest wait for one state host before the next one is tried.
const HOST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before the hosts are tried again when none of them is the leader.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Client of the state hosts. Clones share the connections and the presumed leaders.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

struct Inner {
    hosts: Vec<Host>,
    /// Position of the presumed leader of each group in `hosts`.
    leaders: Vec<AtomicUsize>,
    groups: u16,
}

struct Host {
    name: Arc<str>,
    dialer: link::Dialer,
}

/// Refusal or failure of a request to the state hosts.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
#[display("{reason} (run: {run})")]
pub struct NotDone {
    /// Reason of the refusal or failure.
    pub reason: wire::Reason,
    /// Whether the command may still be committed.
    pub run: wire::Run,
}

impl std::error::Error for NotDone {}

/// A committed command and the answer of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Log index of the command.
    pub index: u64,
    /// Encoded reply of the state machine.
    pub reply: Bytes,
}

/// Stream of the committed commands of group 0.
pub struct Watch {
    stream: link::Stream,
}

impl Client {
    /// Creates a client of the state hosts in `fleet`. Nothing is dialled yet.
    pub fn new(identity: &tls::Identity, fleet: &settings::Fleet, log: &slog::Logger) -> Client {
        let dial = |h: &settings::Host| Host {
            name: h.name.clone(),
            dialer: link::Dialer::new(
                identity,
                h.name.clone(),
                h.address,
                link::Settings::default(),
                log,
            ),
        };
        let hosts: Vec<Host> = fleet.hosts.iter().map(dial).collect();
        let leaders = (0..=fleet.groups).map(|_| AtomicUsize::new(0)).collect();
        Client { inner: Arc::new(Inner { hosts, leaders, groups: fleet.groups }) }
    }

    /// Number of job groups.
    pub fn groups(&self) -> u16 {
        self.inner.groups
    }

    /// Commits a command. It may be sent more than once, so it must be idempotent.
    pub async fn propose(
        &self,
        group: u16,
        command: Vec<u8>,
        limit: Duration,
    ) -> Result<Applied, NotDone> {
        let request = wire::Request::Propose { group, command: command.into() };
        match self.call(group, &request, limit).await? {
            wire::Reply::Applied { index, reply } => Ok(Applied { index, reply }),
            _ => Err(NotDone { reason: wire::Reason::Invalid, run: wire::Run::Unknown }),
        }
    }

    /// Runs a quorum-confirmed query.
    pub async fn query(
        &self,
        group: u16,
        query: Vec<u8>,
        limit: Duration,
    ) -> Result<Bytes, NotDone> {
        let request = wire::Request::Query { group, query: query.into() };
        match self.call(group, &request, limit).await? {
            wire::Reply::Answer(answer) => Ok(answer),
            _ => Err(NotDone { reason: wire::Reason::Invalid, run: wire::Run::No }),
        }
    }

    /// Returns an index of group 0 that a reader must have applied to be current as of now.
    pub async fn confirm(&self, limit: Duration) -> Result<u64, NotDone> {
        match self.call(0, &wire::Request::Confirm { group: 0 }, limit).await? {
            wire::Reply::Confirmed { index } => Ok(index),
            _ => Err(NotDone { reason: wire::Reason::Invalid, run: wire::Run::No }),
        }
    }

    /// Sends `request` to the leader of `group` until it answers or `limit` has passed.
    ///
    /// The run state of the error covers every try: `No` only if each host that received the
    /// request said that it was not run.
    pub async fn call(
        &self,
        group: u16,
        request: &wire::Request,
        limit: Duration,
    ) -> Result<wire::Reply, NotDone> {
        let end = time::Instant::now() + limit;
        let mut worst = NotDone { reason: wire::Reason::NoQuorum, run: wire::Run::No };
        loop {
            for _ in 0..self.inner.hosts.len() {
                let left = end.saturating_duration_since(time::Instant::now());
                if left.is_zero() {
                    return Err(worst);
                }
                let at = self.leader(group).load(Ordering::Relaxed);
                let wait = left.min(HOST_TIMEOUT + max_hold_time(request));
                match time::timeout(wait, self.exchange(at, request)).await {
                    Ok(Ok(wire::Reply::NotDone { reason, leader, run })) => {
                        worst = NotDone { reason, run: worst.run.max(run) };
                        if is_final(reason) {
                            return Err(worst);
                        }
                        self.redirect(group, at, leader.as_deref());
                    }
                    Ok(Ok(reply)) => return Ok(reply),
                    Ok(Err(ExchangeError::NotSent)) => self.redirect(group, at, None),
                    Ok(Err(ExchangeError::Sent)) | Err(_) => {
                        worst.run = wire::Run::Unknown;
                        self.redirect(group, at, None);
                    }
                }
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Opens a watch of group 0 after the given log index, at any state host that answers.
    pub async fn watch(&self, after: u64) -> Result<Watch, errors::Error> {
        let count = self.inner.hosts.len();
        // Spreads watchers over the hosts; any replica serves the same positions.
        let first = rand::random_range(0..count);
        let mut last = errors::Error::lost("watch", "state", "no state host");
        for step in 0..count {
            let host = &self.inner.hosts[(first + step) % count];
            match time::timeout(HOST_TIMEOUT, host.dialer.open()).await {
                Ok(Ok(mut stream)) => match stream.send(&wire::Request::Watch { after }).await {
                    Ok(()) => return Ok(Watch { stream }),
                    Err(error) => last = error,
                },
                Ok(Err(error)) => last = error,
                Err(_) => last = errors::Error::lost("watch", &*host.name, "timeout"),
            }
        }
        Err(last)
    }

    /// Sends `request` to one state host, whether or not it is the leader.
    pub async fn call_host(
        &self,
        host: &str,
        request: &wire::Request,
    ) -> Result<wire::Reply, errors::Error> {
        let at = self.inner.hosts.iter().position(|h| &*h.name == host);
        let Some(at) = at else {
            return Err(errors::Error::invalid("ask", host, "not a state host"));
        };
        let lost = |cause: &str| errors::Error::lost("ask", host, cause);
        match time::timeout(HOST_TIMEOUT, self.exchange(at, request)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(lost("not reachable")),
            Err(_) => Err(lost("no answer in time")),
        }
    }

    /// Names of the state hosts.
    pub fn hosts(&self) -> Vec<Arc<str>> {
        self.inner.hosts.iter().map(|h| h.name.clone()).collect()
    }

    fn leader(&self, group: u16) -> &AtomicUsize {
        &self.inner.leaders[usize::from(group).min(self.inner.leaders.len() - 1)]
    }

    fn redirect(&self, group: u16, from: usize, to: Option<&str>) {
        let hosts = &self.inner.hosts;
        let hinted = to.and_then(|name| hosts.iter().position(|h| &*h.name == name));
        let next = hinted.unwrap_or((from + 1) % hosts.len());
        let leader = self.leader(group);
        let _ = leader.compare_exchange(from, next, Ordering::Relaxed, Ordering::Relaxed);
    }

    async fn exchange(
        &self,
        at: usize,
        request: &wire::Request,
    ) -> Result<wire::Reply, ExchangeError> {
        let dialer = &self.inner.hosts[at].dialer;
        let mut stream = dialer.open().await.map_err(|_| ExchangeError::NotSent)?;
        stream.send(request).await.map_err(|_| ExchangeError::Sent)?;
        match stream.recv::<wire::Reply>().await {
            Ok(Some(reply)) => Ok(reply),
            Ok(None) | Err(_) => Err(ExchangeError::Sent),
        }
    }
}

impl Watch {
    /// Waits for the next frame of the watch.
    pub async fn next(&mut self) -> Result<wire::Reply, errors::Error> {
        match self.stream.recv().await? {
            Some(reply) => Ok(reply),
            None => Err(errors::Error::lost("watch", "state", "stream ended")),
        }
    }
}

/// Failed exchange with one host.
enum ExchangeError {
    /// The request did not leave this process.
    NotSent,
    /// The request may have reached the host.
    Sent,
}

/// Longest time that the host may delay the answer on purpose.
fn max_hold_time(request: &wire::Request) -> Duration {
    match request {
        wire::Request::Pull { wait, .. } => Duration::from_millis(*wait),
        _ => Duration::ZERO,
    }
}

/// Whether every host would refuse for this reason, so that no other host is tried.
fn is_final(reason: wire::Reason) -> bool {
    matches!(reason, wire::Reason::DiskFull | wire::Reason::Invalid | wire::Reason::Conflict)
}

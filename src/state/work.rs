//! Service of a job group: the replicated jobs and claims, and the leases of items, which only the
//! leader holds.

use crate::event;
use crate::events;
use crate::jobs;
use crate::jobs::leases;
use crate::replica;
use crate::sorted;
use crate::state::directory;
use crate::state::service;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

const MILLIS_PER_DAY: u64 = 86_400_000;
/// Interval of the commands that remove records older than the retention.
///
/// One command removes a bounded number of records, so that it does not delay the group.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Jobs and claims of a job group and, on its leader, the leases of items.
pub struct JobService {
    table: jobs::Table,
    leases: leases::Leases,
    /// Pulls that wait for items, by token.
    pulls: sorted::SortedMap<u64, service::ReplySender>,
    last_token: u64,
    /// Items that an agent must stop, by agent. Sent in the reply to its next renewal or release.
    stops: sorted::SortedMap<Arc<str>, Vec<wire::Lease>>,
    /// Releases of leases that did not fit into an answer.
    overflow: Vec<leases::Input>,
    /// Commands to propose at the next tick.
    commands: Vec<Bytes>,
    directory: directory::Directory,
    /// Weights last passed to `leases`.
    weights: sorted::SortedMap<Arc<str>, u32>,
    /// Clock of the group while this replica leads.
    clock: Option<Clock>,
    /// In milliseconds.
    retention: u64,
    /// Time of the last command that removes old records.
    last_expiry: Duration,
    log: slog::Logger,
}

/// Clock of a group, which stamps its commands.
#[derive(Clone, Copy)]
struct Clock {
    /// Highest applied time at the election, in milliseconds.
    group_time: u64,
    /// Local time of the election.
    local_time: Duration,
}

impl Clock {
    /// Returns the group time: the highest applied time at the election plus the time since then.
    fn at(self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.local_time).as_millis();
        self.group_time + u64::try_from(elapsed).unwrap_or(u64::MAX / 2)
    }
}

impl JobService {
    /// Creates the service with an empty table. `retention` is in days.
    pub fn new(retention: u32, directory: directory::Directory, log: &slog::Logger) -> JobService {
        let config = leases::Config { seed: rand::random(), ..leases::Config::default() };
        JobService {
            table: jobs::Table::new(Box::new(jobs::items::MemoryStore::default())),
            leases: leases::Leases::new(config),
            pulls: sorted::SortedMap::new(),
            last_token: 0,
            stops: sorted::SortedMap::new(),
            overflow: Vec::new(),
            commands: Vec::new(),
            directory,
            weights: sorted::SortedMap::new(),
            clock: None,
            retention: u64::from(retention) * MILLIS_PER_DAY,
            last_expiry: Duration::ZERO,
            log: log.clone(),
        }
    }

    fn step(&mut self, now: Duration, input: leases::Input) {
        let mut next = Some(input);
        while let Some(input) = next {
            for output in self.leases.step(now, input) {
                self.carry_out(output);
            }
            next = self.overflow.pop();
        }
    }

    fn carry_out(&mut self, output: leases::Output) {
        match output {
            leases::Output::Grant { token, agent, items } => {
                // Items that do not fit into one answer are released and granted again.
                let grants = self.table.build_grants(&items);
                if !grants.overflow.is_empty() {
                    self.overflow.push(leases::Input::Release { agent, items: grants.overflow });
                }
                if let Some(done) = self.pulls.remove(&token) {
                    service::answer(done, wire::Reply::Granted(grants.items));
                }
            }
            leases::Output::Stop { agent, items } => {
                self.stops.entry_or(agent, Vec::new).extend(items);
            }
            leases::Output::Lost { agent, items } => {
                event!(self.log, events::LEASE_LOST; "agent" => &*agent, "items" => items.len());
                self.commands.extend(items.into_iter().map(worker_lost_command));
            }
        }
    }

    fn pull(&mut self, now: Duration, pull: Pull, done: service::ReplySender) {
        self.remove_abandoned_pulls(now);
        self.last_token += 1;
        let token = self.last_token;
        self.pulls.insert(token, done);
        let Pull { agent, free, models, wait } = pull;
        self.step(now, leases::Input::Pull { token, agent, free, models, wait });
    }

    /// Removes pulls whose agent has closed its request, so that no item is granted to them.
    fn remove_abandoned_pulls(&mut self, now: Duration) {
        let gone: Vec<u64> =
            self.pulls.iter().filter(|(_, done)| done.is_closed()).map(|(t, _)| *t).collect();
        for token in gone {
            self.pulls.remove(&token);
            self.step(now, leases::Input::PullClosed { token });
        }
    }

    fn renewal_reply(&mut self, agent: &str) -> wire::Reply {
        let stop = self.stops.remove(agent).unwrap_or_default();
        wire::Reply::Renewed { stop }
    }
}

struct Pull {
    agent: Arc<str>,
    free: u32,
    models: Vec<Arc<str>>,
    wait: Duration,
}

fn worker_lost_command(lease: wire::Lease) -> Bytes {
    let command = jobs::Command::FailAttempt {
        job: lease.job,
        item: lease.item,
        attempt: lease.attempt,
        cause: jobs::message::FailureCause::WorkerLost,
    };
    jobs::encode(&command).into()
}

impl service::Service for JobService {
    fn state_machine(&mut self) -> &mut dyn replica::StateMachine {
        &mut self.table
    }

    fn query(&self, query: &[u8]) -> Vec<u8> {
        match jobs::decode(query) {
            Ok(query) => jobs::encode(&self.table.query(&query)),
            // The requester cannot decode an empty answer and reports an error.
            Err(_) => Vec::new(),
        }
    }

    fn is_new_work(&self, command: &[u8]) -> bool {
        // Results of accepted items are not new work: refusing them would rerun items repeatedly.
        matches!(
            jobs::decode::<jobs::Command>(command),
            Ok(jobs::Command::Open { .. }
                | jobs::Command::Chunk { .. }
                | jobs::Command::Seal { .. }
                | jobs::Command::Claim { .. })
        )
    }

    fn prepare(&mut self, now: Duration, command: Bytes) -> Result<Bytes, wire::Reason> {
        let Some(clock) = self.clock else { return Err(wire::Reason::NoQuorum) };
        let command = jobs::decode(&command).map_err(|_| wire::Reason::Invalid)?;
        Ok(jobs::StampedCommand { clock: clock.at(now), command }.encode().into())
    }

    fn leadership_changed(&mut self, now: Duration, is_leader: bool) {
        if is_leader {
            self.clock = Some(Clock { group_time: self.table.clock(), local_time: now });
            let jobs = self.table.start_recording();
            let directory = self.directory.contents();
            let agents = directory.agents.clone();
            self.step(now, leases::Input::Elected { agents, jobs });
            self.weights = directory.weights.clone();
            self.step(now, leases::Input::Weights(self.weights.clone()));
        } else {
            self.clock = None;
            self.table.stop_recording();
            self.step(now, leases::Input::Deposed);
            self.pulls.clear();
            self.stops.clear();
            self.commands.clear();
        }
    }

    fn entries_applied(&mut self, now: Duration) {
        if self.clock.is_none() {
            return;
        }
        for change in self.table.take_changes() {
            self.step(now, leases::Input::Change(change));
        }
    }

    fn tick(&mut self, now: Duration) -> Vec<Bytes> {
        self.remove_abandoned_pulls(now);
        let directory = self.directory.contents();
        if directory.weights != self.weights {
            self.weights = directory.weights.clone();
            self.step(now, leases::Input::Weights(self.weights.clone()));
        }
        self.step(now, leases::Input::Tick);
        if now.saturating_sub(self.last_expiry) >= EXPIRE_INTERVAL {
            self.last_expiry = now;
            let command = jobs::Command::Expire { retention: self.retention };
            self.commands.push(jobs::encode(&command).into());
        }
        std::mem::take(&mut self.commands)
    }

    fn serve(&mut self, now: Duration, request: wire::Request, done: service::ReplySender) {
        match request {
            wire::Request::Pull { agent, free, models, wait, .. } => {
                let wait = Duration::from_millis(wait);
                self.pull(now, Pull { agent, free, models, wait }, done);
            }
            wire::Request::Renew { agent, held, .. } => {
                self.step(now, leases::Input::Renew { agent: agent.clone(), held });
                service::answer(done, self.renewal_reply(&agent));
            }
            wire::Request::Release { agent, leases: items, .. } => {
                self.step(now, leases::Input::Release { agent: agent.clone(), items });
                service::answer(done, self.renewal_reply(&agent));
            }
            _ => service::refuse(done, wire::Reason::Invalid),
        }
    }
}

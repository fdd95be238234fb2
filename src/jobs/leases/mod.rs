//! Granting of items by the leader of a job group. This state exists only in the leader's memory.
//!
//! The service of the group passes every change of the [`crate::jobs::Table`] as [`Input::Change`],
//! so that picking the next item needs no search through jobs or items. A lease is soft state: a
//! wrong grant wastes work but cannot lead to a second result, because the table stores only the
//! first one.

mod message;
pub mod ready;
mod records;

pub use message::Config;
pub use message::Input;
pub use message::Output;

use crate::jobs::fairness;
use crate::jobs::table;
use crate::sorted;
use crate::wire;
use rand::RngCore as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use ready::Backoff;
use ready::ScheduledJob;
use records::ActiveLease;
use records::AgentLeases;
use records::GracePeriod;
use records::LostLease;
use records::PendingPull;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Item leases of a job group.
pub struct Leases {
    config: Config,
    rng: ChaCha8Rng,
    grace: Option<GracePeriod>,
    /// Open jobs by number. Numbers are never reused, so a timer of a removed job cannot affect
    /// another one.
    jobs: sorted::SortedMap<u32, Box<ScheduledJob>>,
    /// Number of each open job by name.
    numbers: BTreeMap<Arc<str>, u32>,
    last_number: u32,
    /// Jobs with ready items, by model.
    queues: sorted::SortedMap<Arc<str>, fairness::FairQueue>,
    weights: sorted::SortedMap<Arc<str>, u32>,
    agents: sorted::SortedMap<Arc<str>, AgentLeases>,
    /// Expired leases whose failed attempt is not committed yet, by job number and item.
    lost: sorted::SortedMap<(u32, u32), LostLease>,
    pulls: Vec<PendingPull>,
    /// Ends of backoffs: time, job number, item.
    backoffs: BTreeSet<(Duration, u32, u32)>,
    /// Times in milliseconds at which jobs reach a more urgent level, with the job number.
    level_changes: BTreeSet<(i64, u32)>,
    /// Counter that rotates the first model in [`Leases::pick_job`].
    rotation: usize,
}

impl Leases {
    /// Returns leases that grant nothing until [`Input::Elected`].
    pub fn new(config: Config) -> Leases {
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        Leases {
            config,
            rng,
            grace: None,
            jobs: sorted::SortedMap::new(),
            numbers: BTreeMap::new(),
            last_number: 0,
            queues: sorted::SortedMap::new(),
            weights: sorted::SortedMap::new(),
            agents: sorted::SortedMap::new(),
            lost: sorted::SortedMap::new(),
            pulls: Vec::new(),
            backoffs: BTreeSet::new(),
            level_changes: BTreeSet::new(),
            rotation: 0,
        }
    }

    /// Number of items of a job that run under a lease.
    pub fn running_items(&self, job: &str) -> u32 {
        self.find(job).map_or(0, |(_, job)| job.holders.len() as u32)
    }

    /// Handles an input at the time `now`, which never decreases, and returns the resulting
    /// actions.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Elected { agents, jobs } => self.start_term(now, agents, jobs),
            Input::Deposed => self.clear(),
            Input::Change(change) => self.apply_change(now, change, &mut out),
            Input::Weights(weights) => self.weights = weights,
            Input::Pull { token, agent, free, models, wait } => {
                self.replace_pull(&agent, &mut out);
                let until = now.saturating_add(wait);
                self.pulls.push(PendingPull { token, agent, free, models, until });
            }
            Input::PullClosed { token } => self.pulls.retain(|p| p.token != token),
            Input::Renew { agent, held } => self.renew_leases(now, agent, held, &mut out),
            Input::Release { agent, items } => self.release_leases(&agent, &items),
            Input::Tick => self.tick(now, &mut out),
        }
        self.serve_pulls(now, &mut out);
        out
    }

    fn clear(&mut self) {
        self.grace = None;
        self.jobs = sorted::SortedMap::new();
        self.numbers = BTreeMap::new();
        self.queues = sorted::SortedMap::new();
        self.agents = sorted::SortedMap::new();
        self.lost = sorted::SortedMap::new();
        self.pulls = Vec::new();
        self.backoffs = BTreeSet::new();
        self.level_changes = BTreeSet::new();
    }

    fn start_term(&mut self, now: Duration, agents: Vec<Arc<str>>, jobs: Vec<table::OpenJob>) {
        self.clear();
        let until = now + self.config.lease_duration;
        self.grace = Some(GracePeriod { until, missing: agents.into_iter().collect() });
        for job in jobs {
            self.add_job(now, job);
        }
        self.end_grace(now);
    }

    /// Ends the grace period once every agent has announced its leases or the period is over.
    fn end_grace(&mut self, now: Duration) {
        if self.grace.as_ref().is_some_and(|g| g.missing.is_empty() || now >= g.until) {
            self.grace = None;
        }
    }

    fn find(&self, name: &str) -> Option<(u32, &ScheduledJob)> {
        let number = *self.numbers.get(name)?;
        self.jobs.get(&number).map(|job| (number, &**job))
    }

    fn add_job(&mut self, now: Duration, job: table::OpenJob) {
        if self.numbers.contains_key(&job.job) {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let due = millis(now).saturating_add(job.slack);
        let scheduling = fairness::SchedulingState::new(
            job.workspace.clone(),
            number,
            fairness::URGENCY_LEVELS - 1,
        );
        let delayed = job.delayed.clone();
        self.numbers.insert(job.job.clone(), number);
        self.jobs.insert(number, Box::new(ScheduledJob::new(job, due, scheduling)));
        for delay in delayed {
            self.schedule_retry(now, number, delay);
        }
        self.update_level(now, number);
        self.update_queue(number);
    }

    /// Adds a job to the queue of its model if it has ready items, or removes it if it has none.
    fn update_queue(&mut self, number: u32) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let ready = job.is_ready();
        if ready == job.queued {
            return;
        }
        job.queued = ready;
        let queue = self.queues.entry_or(job.model.clone(), fairness::FairQueue::default);
        if ready {
            queue.insert(&mut job.scheduling);
        } else {
            queue.remove(&job.scheduling);
        }
    }

    /// Recomputes the urgency level of a job and schedules its next change.
    fn update_level(&mut self, now: Duration, number: u32) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let work = i64::from(job.open.len()).saturating_mul(millis(self.config.item_time));
        let slack = job.due.saturating_sub(millis(now)).saturating_sub(work);
        let level = fairness::urgency_level(slack);
        if level != job.scheduling.level {
            let queue = self.queues.entry_or(job.model.clone(), fairness::FairQueue::default);
            if job.queued {
                queue.remove(&job.scheduling);
            }
            job.scheduling.level = level;
            if job.queued {
                queue.insert(&mut job.scheduling);
            }
        }
        if let Some(wait) = fairness::time_to_next_level(slack) {
            self.level_changes.insert((millis(now).saturating_add(wait), number));
        }
    }

    fn schedule_retry(&mut self, now: Duration, number: u32, delay: table::ItemDelay) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if delay.wait == 0 {
            job.make_ready(delay.item, delay.alone);
            return;
        }
        let until = now.saturating_add(Duration::from_millis(delay.wait));
        job.backoffs.insert(delay.item, Backoff { until, alone: delay.alone });
        self.backoffs.insert((until, number, delay.item));
    }

    fn apply_change(&mut self, now: Duration, change: table::Change, out: &mut Vec<Output>) {
        match change {
            table::Change::JobAccepted(job) => self.add_job(now, job),
            table::Change::ItemEnded { job, item, attempt } => {
                self.end_item(&job, item, attempt, out)
            }
            table::Change::ItemDelayed { job, attempt, delay } => {
                self.delay_item(now, &job, attempt, delay)
            }
            table::Change::JobCancelled { job } => self.cancel_job(&job, out),
        }
    }

    fn end_item(&mut self, name: &str, item: u32, attempt: u64, out: &mut Vec<Output>) {
        let Some((number, _)) = self.find(name) else { return };
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.remove_pending(item);
        job.open.remove(item);
        let finished = job.open.is_empty();
        self.lost.remove(&(number, item));
        if let Some((agent, lease)) = self.end_lease(number, item) {
            // The result came from an earlier grant, so the current run is useless.
            if attempt != lease.attempt {
                out.push(Output::Stop { agent, items: vec![lease] });
            }
        }
        self.update_queue(number);
        if finished {
            self.remove_job(number);
        }
    }

    fn delay_item(&mut self, now: Duration, name: &str, attempt: u64, delay: table::ItemDelay) {
        let Some((number, job)) = self.find(name) else { return };
        if !job.open.contains(delay.item) {
            return;
        }
        let holder = job.holders.get(&delay.item).and_then(|agent| self.agents.get(agent));
        let active = holder.and_then(|agent| agent.held.get(&(number, delay.item)));
        // A late report about an earlier grant must neither end the current lease nor replace the
        // report about its loss.
        let lost = self.lost.get(&(number, delay.item)).map(|lost| lost.lease.attempt);
        if active.map(|active| active.attempt).or(lost).is_some_and(|present| present != attempt) {
            return;
        }
        self.end_lease(number, delay.item);
        self.lost.remove(&(number, delay.item));
        if let Some(job) = self.jobs.get_mut(&number) {
            job.remove_pending(delay.item);
        }
        self.schedule_retry(now, number, delay);
        self.update_queue(number);
    }

    fn cancel_job(&mut self, name: &str, out: &mut Vec<Output>) {
        let Some((number, job)) = self.find(name) else { return };
        let mut stops: sorted::SortedMap<Arc<str>, Vec<wire::Lease>> = sorted::SortedMap::new();
        let active: Vec<u32> = job.holders.keys().copied().collect();
        for item in active {
            if let Some((agent, lease)) = self.end_lease(number, item) {
                stops.entry_or(agent, Vec::new).push(lease);
            }
        }
        let stops = stops.iter();
        out.extend(stops.map(|(a, i)| Output::Stop { agent: a.clone(), items: i.clone() }));
        self.remove_job(number);
    }

    /// Removes a job that was cancelled or has no open item.
    fn remove_job(&mut self, number: u32) {
        let Some(job) = self.jobs.remove(&number) else { return };
        self.lost.retain(|(job, _), _| *job != number);
        self.numbers.remove(&job.name);
        if let Some(queue) = self.queues.get_mut(&job.model).filter(|_| job.queued) {
            queue.remove(&job.scheduling);
        }
    }

    /// Ends the lease of an item and returns it with its holder; `None` if the item has no lease.
    fn end_lease(&mut self, number: u32, item: u32) -> Option<(Arc<str>, wire::Lease)> {
        let job = self.jobs.get_mut(&number)?;
        let agent = job.holders.remove(&item)?;
        let held = &mut self.agents.get_mut(&agent)?.held;
        let active = held.remove(&(number, item))?;
        let lease = wire::Lease { job: job.name.clone(), item, attempt: active.attempt };
        if held.is_empty() {
            self.agents.remove(&agent);
        }
        Some((agent, lease))
    }

    fn renew_leases(
        &mut self,
        now: Duration,
        agent: Arc<str>,
        held: Vec<wire::Lease>,
        out: &mut Vec<Output>,
    ) {
        let expires = now + self.config.lease_duration;
        let mut stop = Vec::new();
        for lease in held {
            if !self.extend_lease(expires, &agent, &lease)
                && !self.adopt_lease(expires, &agent, &lease)
            {
                stop.push(lease);
            }
        }
        if let Some(record) = self.agents.get_mut(&agent) {
            record.earliest_expiry =
                record.held.values().map(|l| l.expires).min().unwrap_or(expires);
        }
        if let Some(grace) = &mut self.grace {
            grace.missing.remove(&agent);
        }
        self.end_grace(now);
        if !stop.is_empty() {
            out.push(Output::Stop { agent, items: stop });
        }
    }

    /// Extends a lease. Returns whether this leader knows it as valid.
    fn extend_lease(&mut self, expires: Duration, agent: &str, lease: &wire::Lease) -> bool {
        let Some(number) = self.numbers.get(&lease.job) else { return false };
        let Some(agent) = self.agents.get_mut(agent) else { return false };
        let active = agent.held.get_mut(&(*number, lease.item));
        let active = active.filter(|active| active.attempt == lease.attempt);
        active.map(|active| active.expires = expires).is_some()
    }

    /// Takes over the lease of an earlier leader, unless the item has been leased again, was lost
    /// or has a result. Returns whether it did.
    fn adopt_lease(&mut self, expires: Duration, agent: &Arc<str>, lease: &wire::Lease) -> bool {
        let Some((number, job)) = self.find(&lease.job) else { return false };
        if job.holders.contains(&lease.item) {
            return false;
        }
        // After the grace period, an item with failed attempts was lost under this leader, so its
        // old lease stays invalid.
        if self.grace.is_none() && !job.ready.contains(lease.item) {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&number) else { return false };
        let Some(alone) = job.remove_pending(lease.item) else { return false };
        self.start_lease(expires, agent, number, lease, alone);
        self.update_queue(number);
        true
    }

    fn start_lease(
        &mut self,
        expires: Duration,
        agent: &Arc<str>,
        number: u32,
        lease: &wire::Lease,
        alone: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.holders.insert(lease.item, agent.clone());
        let fresh = || AgentLeases { held: sorted::SortedMap::new(), earliest_expiry: expires };
        let record = self.agents.entry_or(agent.clone(), fresh);
        record.earliest_expiry = record.earliest_expiry.min(expires);
        let active = ActiveLease { attempt: lease.attempt, expires, alone };
        record.held.insert((number, lease.item), active);
    }

    fn release_leases(&mut self, agent: &str, items: &[wire::Lease]) {
        for lease in items {
            let Some((number, job)) = self.find(&lease.job) else { continue };
            let holds = job.holders.get(&lease.item).is_some_and(|holder| **holder == *agent);
            let record = self.agents.get(agent).filter(|_| holds);
            let active = record.and_then(|record| record.held.get(&(number, lease.item)));
            let Some(active) = active.filter(|active| active.attempt == lease.attempt) else {
                continue;
            };
            let alone = active.alone;
            self.end_lease(number, lease.item);
            if let Some(job) = self.jobs.get_mut(&number) {
                job.make_ready(lease.item, alone);
            }
            self.update_queue(number);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.end_grace(now);
        self.expire_leases(now, out);
        while let Some(&(until, number, item)) = self.backoffs.first().filter(|b| b.0 <= now) {
            self.backoffs.pop_first();
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let Some(backoff) = job.backoffs.get(&item).filter(|w| w.until == until).copied()
            else {
                continue;
            };
            job.backoffs.remove(&item);
            job.make_ready(item, backoff.alone);
            self.update_queue(number);
        }
        while let Some(&(_, number)) = self.level_changes.first().filter(|u| u.0 <= millis(now)) {
            self.level_changes.pop_first();
            self.update_level(now, number);
        }
    }

    /// Ends the leases that were not renewed in time and reports them as lost.
    fn expire_leases(&mut self, now: Duration, out: &mut Vec<Output>) {
        let due = self.agents.iter().filter(|(_, agent)| agent.earliest_expiry <= now);
        let due: Vec<Arc<str>> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let Some(agent) = self.agents.get_mut(&name) else { continue };
            let held = agent.held.iter();
            let lost: Vec<_> = held.filter(|(_, l)| l.expires <= now).map(|(k, _)| *k).collect();
            let kept = agent.held.values().map(|l| l.expires).filter(|e| *e > now);
            agent.earliest_expiry = kept.min().unwrap_or(now);
            for (number, item) in lost {
                let Some((agent, lease)) = self.end_lease(number, item) else { continue };
                self.lost.insert((number, item), LostLease { agent, lease, next_report: now });
            }
        }
        self.report_lost(now, out);
    }

    /// Reports the expired leases whose failed attempt is not committed yet, each once per lease
    /// duration.
    fn report_lost(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut reports: sorted::SortedMap<Arc<str>, Vec<wire::Lease>> = sorted::SortedMap::new();
        for (_, lost) in self.lost.iter_mut().filter(|(_, lost)| lost.next_report <= now) {
            lost.next_report = now + self.config.lease_duration;
            reports.entry_or(lost.agent.clone(), Vec::new).push(lost.lease.clone());
        }
        let reports = reports.iter();
        out.extend(reports.map(|(a, i)| Output::Lost { agent: a.clone(), items: i.clone() }));
    }

    fn replace_pull(&mut self, agent: &str, out: &mut Vec<Output>) {
        let replaced = self.pulls.extract_if(.., |p| *p.agent == *agent);
        out.extend(replaced.map(PendingPull::empty_answer));
    }

    /// Answers the waiting pulls for which items are ready or whose waiting time has ended.
    fn serve_pulls(&mut self, now: Duration, out: &mut Vec<Output>) {
        let ready = self.grace.is_none() && self.queues.values().any(|s| s.top_level().is_some());
        // Most steps make no item ready, so the pulls need not be visited.
        if !ready && self.pulls.iter().all(|pull| now < pull.until) {
            return;
        }
        for pull in std::mem::take(&mut self.pulls) {
            let items = if ready { self.grant_items(now, &pull) } else { Vec::new() };
            if !items.is_empty() {
                out.push(Output::Grant { token: pull.token, agent: pull.agent, items });
            } else if now >= pull.until {
                out.push(pull.empty_answer());
            } else {
                self.pulls.push(pull);
            }
        }
    }

    fn grant_items(&mut self, now: Duration, pull: &PendingPull) -> Vec<wire::Lease> {
        let expires = now + self.config.lease_duration;
        let mut items = Vec::new();
        while items.len() < pull.free as usize {
            let Some(number) = self.pick_job(&pull.models) else { break };
            let Some(job) = self.jobs.get_mut(&number) else { break };
            let alone = if items.is_empty() { job.alone.pop_first() } else { None };
            // A job whose remaining items are all granted alone is left for the next grant.
            let Some(item) = alone.or_else(|| job.ready.pop_first()) else { break };
            let lease = wire::Lease { job: job.name.clone(), item, attempt: self.rng.next_u64() };
            let weight = self.weights.get(&job.scheduling.workspace).copied().unwrap_or(1);
            if let Some(queue) = self.queues.get_mut(&job.model) {
                queue.charge(&mut job.scheduling, weight);
            }
            self.start_lease(expires, &pull.agent, number, &lease, alone.is_some());
            self.update_queue(number);
            items.push(lease);
            if alone.is_some() {
                break;
            }
        }
        items
    }

    /// Picks the next job among those of the given models: the most urgent one. Models that are
    /// equally urgent take turns.
    fn pick_job(&mut self, models: &[Arc<str>]) -> Option<u32> {
        let count = models.len();
        self.rotation = self.rotation.wrapping_add(1);
        let order = (0..count).map(|i| &models[(self.rotation + i) % count]);
        let queues = order.filter_map(|model| self.queues.get(model));
        let queues = queues.filter_map(|queue| Some((queue.top_level()?, queue)));
        queues.min_by_key(|(level, _)| *level)?.1.pick()
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

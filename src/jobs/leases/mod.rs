//! Granting of items by the leader of a job group. Lives only in the leader's memory.
//!
//! The leader passes the changes of its [`crate::jobs::Table`] on as [`Input::Change`], so that
//! choosing the next item never looks through jobs or items. A lease is soft state: a wrong grant
//! wastes work but cannot lead to a second result, because the table stores only the first one.

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
use ready::ReadyJob;
use ready::Wait;
use records::Agent;
use records::Grace;
use records::Live;
use records::Lost;
use records::Waiting;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Item leases of a job group.
pub struct Leases {
    config: Config,
    random: ChaCha8Rng,
    grace: Option<Grace>,
    /// Open jobs by ascending number. Numbers are not used twice, so late timers cannot hit
    /// another job.
    jobs: sorted::SortedMap<u32, Box<ReadyJob>>,
    names: BTreeMap<Arc<str>, u32>,
    number: u32,
    models: sorted::SortedMap<Arc<str>, fairness::Shares>,
    weights: sorted::SortedMap<Arc<str>, u32>,
    agents: sorted::SortedMap<Arc<str>, Agent>,
    /// Leases that expired and whose failed attempt is not committed yet, by number of the job
    /// and item.
    lost: sorted::SortedMap<(u32, u32), Lost>,
    pulls: Vec<Waiting>,
    /// Ends of backoffs: time, job, item.
    backoffs: BTreeSet<(Duration, u32, u32)>,
    /// Times in milliseconds at which jobs get more urgent.
    urgencies: BTreeSet<(i64, u32)>,
    /// Rotates the model that is served first.
    turn: usize,
}

impl Leases {
    /// Returns leases that grant nothing until [`Input::Elected`].
    pub fn new(config: Config) -> Leases {
        let random = ChaCha8Rng::seed_from_u64(config.seed);
        Leases {
            config,
            random,
            grace: None,
            jobs: sorted::SortedMap::new(),
            names: BTreeMap::new(),
            number: 0,
            models: sorted::SortedMap::new(),
            weights: sorted::SortedMap::new(),
            agents: sorted::SortedMap::new(),
            lost: sorted::SortedMap::new(),
            pulls: Vec::new(),
            backoffs: BTreeSet::new(),
            urgencies: BTreeSet::new(),
            turn: 0,
        }
    }

    /// Number of items of a job that run under a lease.
    pub fn running(&self, job: &str) -> u32 {
        self.find(job).map_or(0, |(_, job)| job.live.len() as u32)
    }

    /// Advances the state; `now` never decreases.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Elected { agents, jobs } => self.elected(now, agents, jobs),
            Input::Deposed => self.clear(),
            Input::Change(change) => self.change(now, change, &mut out),
            Input::Weights(weights) => self.weights = weights,
            Input::Pull { token, agent, free, models, wait } => {
                self.replace_pull(&agent, &mut out);
                let until = now.saturating_add(wait);
                self.pulls.push(Waiting { token, agent, free, models, until });
            }
            Input::Abandoned { token } => self.pulls.retain(|p| p.token != token),
            Input::Renew { agent, held } => self.renew(now, agent, held, &mut out),
            Input::Released { agent, items } => self.release(&agent, &items),
            Input::Tick => self.tick(now, &mut out),
        }
        self.serve(now, &mut out);
        out
    }

    fn clear(&mut self) {
        self.grace = None;
        self.jobs = sorted::SortedMap::new();
        self.names = BTreeMap::new();
        self.models = sorted::SortedMap::new();
        self.agents = sorted::SortedMap::new();
        self.lost = sorted::SortedMap::new();
        self.pulls = Vec::new();
        self.backoffs = BTreeSet::new();
        self.urgencies = BTreeSet::new();
    }

    fn elected(&mut self, now: Duration, agents: Vec<Arc<str>>, jobs: Vec<table::OpenJob>) {
        self.clear();
        let until = now + self.config.lease;
        self.grace = Some(Grace { until, missing: agents.into_iter().collect() });
        for job in jobs {
            self.add_job(now, job);
        }
        self.end_grace(now);
    }

    /// Ends the time of announcements once nobody is missing or a lease time has passed.
    fn end_grace(&mut self, now: Duration) {
        if self.grace.as_ref().is_some_and(|g| g.missing.is_empty() || now >= g.until) {
            self.grace = None;
        }
    }

    fn find(&self, name: &str) -> Option<(u32, &ReadyJob)> {
        let number = *self.names.get(name)?;
        self.jobs.get(&number).map(|job| (number, &**job))
    }

    fn add_job(&mut self, now: Duration, job: table::OpenJob) {
        if self.names.contains_key(&job.job) {
            return;
        }
        self.number += 1;
        let number = self.number;
        let due = millis(now).saturating_add(job.slack);
        let place = fairness::Place::new(job.workspace.clone(), number, fairness::LEVELS - 1);
        let delayed = job.delayed.clone();
        self.names.insert(job.job.clone(), number);
        self.jobs.insert(number, Box::new(ReadyJob::new(job, due, place)));
        for delay in delayed {
            self.schedule(now, number, delay);
        }
        self.set_level(now, number);
        self.settle(number);
    }

    /// Enters or removes a job among the ready ones of its model, as its items require.
    fn settle(&mut self, number: u32) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let ready = job.is_ready();
        if ready == job.entered {
            return;
        }
        job.entered = ready;
        let shares = self.models.entry_or(job.model.clone(), fairness::Shares::default);
        if ready {
            shares.enter(&mut job.place);
        } else {
            shares.leave(&job.place);
        }
    }

    /// Recomputes the urgency of a job and notes when it changes next.
    fn set_level(&mut self, now: Duration, number: u32) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let work = i64::from(job.open.len()).saturating_mul(millis(self.config.pace));
        let slack = job.due.saturating_sub(millis(now)).saturating_sub(work);
        let level = fairness::level_of(slack);
        if level != job.place.level {
            let shares = self.models.entry_or(job.model.clone(), fairness::Shares::default);
            if job.entered {
                shares.leave(&job.place);
            }
            job.place.level = level;
            if job.entered {
                shares.enter(&mut job.place);
            }
        }
        if let Some(wait) = fairness::next_level(slack) {
            self.urgencies.insert((millis(now).saturating_add(wait), number));
        }
    }

    fn schedule(&mut self, now: Duration, number: u32, delay: table::Delay) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if delay.wait == 0 {
            job.make_ready(delay.item, delay.alone);
            return;
        }
        let until = now.saturating_add(Duration::from_millis(delay.wait));
        job.waiting.insert(delay.item, Wait { until, alone: delay.alone });
        self.backoffs.insert((until, number, delay.item));
    }

    fn change(&mut self, now: Duration, change: table::Change, out: &mut Vec<Output>) {
        match change {
            table::Change::Accepted(job) => self.add_job(now, job),
            table::Change::Ended { job, item, attempt } => self.ended(&job, item, attempt, out),
            table::Change::Delayed { job, attempt, delay } => {
                self.delayed(now, &job, attempt, delay)
            }
            table::Change::Cancelled { job } => self.cancelled(&job, out),
        }
    }

    fn ended(&mut self, name: &str, item: u32, attempt: u64, out: &mut Vec<Output>) {
        let Some((number, _)) = self.find(name) else { return };
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.withhold(item);
        job.open.remove(item);
        let finished = job.open.is_empty();
        self.lost.remove(&(number, item));
        if let Some((agent, lease)) = self.end_lease(number, item) {
            // The result came from an earlier grant: the present one runs for nothing.
            if attempt != lease.attempt {
                out.push(Output::Stop { agent, items: vec![lease] });
            }
        }
        self.settle(number);
        if finished {
            self.forget(number);
        }
    }

    fn delayed(&mut self, now: Duration, name: &str, attempt: u64, delay: table::Delay) {
        let Some((number, job)) = self.find(name) else { return };
        if !job.open.contains(delay.item) {
            return;
        }
        let holder = job.live.get(&delay.item).and_then(|agent| self.agents.get(agent));
        let live = holder.and_then(|agent| agent.held.get(&(number, delay.item)));
        // A late report about an earlier grant neither ends the present one nor replaces the
        // report about its loss.
        let lost = self.lost.get(&(number, delay.item)).map(|lost| lost.lease.attempt);
        if live.map(|live| live.attempt).or(lost).is_some_and(|present| present != attempt) {
            return;
        }
        self.end_lease(number, delay.item);
        self.lost.remove(&(number, delay.item));
        if let Some(job) = self.jobs.get_mut(&number) {
            job.withhold(delay.item);
        }
        self.schedule(now, number, delay);
        self.settle(number);
    }

    fn cancelled(&mut self, name: &str, out: &mut Vec<Output>) {
        let Some((number, job)) = self.find(name) else { return };
        let mut stops: sorted::SortedMap<Arc<str>, Vec<wire::Lease>> = sorted::SortedMap::new();
        let live: Vec<u32> = job.live.keys().copied().collect();
        for item in live {
            if let Some((agent, lease)) = self.end_lease(number, item) {
                stops.entry_or(agent, Vec::new).push(lease);
            }
        }
        let stops = stops.iter();
        out.extend(stops.map(|(a, i)| Output::Stop { agent: a.clone(), items: i.clone() }));
        self.forget(number);
    }

    /// Removes a job that has no open item or was cancelled.
    fn forget(&mut self, number: u32) {
        let Some(job) = self.jobs.remove(&number) else { return };
        self.lost.retain(|(job, _), _| *job != number);
        self.names.remove(&job.name);
        if let Some(shares) = self.models.get_mut(&job.model).filter(|_| job.entered) {
            shares.leave(&job.place);
        }
    }

    /// Ends the lease of an item and returns its holder.
    fn end_lease(&mut self, number: u32, item: u32) -> Option<(Arc<str>, wire::Lease)> {
        let job = self.jobs.get_mut(&number)?;
        let agent = job.live.remove(&item)?;
        let held = &mut self.agents.get_mut(&agent)?.held;
        let live = held.remove(&(number, item))?;
        let lease = wire::Lease { job: job.name.clone(), item, attempt: live.attempt };
        if held.is_empty() {
            self.agents.remove(&agent);
        }
        Some((agent, lease))
    }

    fn renew(
        &mut self,
        now: Duration,
        agent: Arc<str>,
        held: Vec<wire::Lease>,
        out: &mut Vec<Output>,
    ) {
        let expires = now + self.config.lease;
        let mut stop = Vec::new();
        for lease in held {
            if !self.extend(expires, &agent, &lease) && !self.adopt(expires, &agent, &lease) {
                stop.push(lease);
            }
        }
        if let Some(record) = self.agents.get_mut(&agent) {
            record.earliest = record.held.values().map(|l| l.expires).min().unwrap_or(expires);
        }
        if let Some(grace) = &mut self.grace {
            grace.missing.remove(&agent);
        }
        self.end_grace(now);
        if !stop.is_empty() {
            out.push(Output::Stop { agent, items: stop });
        }
    }

    /// Extends a valid lease.
    fn extend(&mut self, expires: Duration, agent: &str, lease: &wire::Lease) -> bool {
        let Some(number) = self.names.get(&lease.job) else { return false };
        let Some(agent) = self.agents.get_mut(agent) else { return false };
        let live = agent.held.get_mut(&(*number, lease.item));
        let live = live.filter(|live| live.attempt == lease.attempt);
        live.map(|live| live.expires = expires).is_some()
    }

    /// Takes over the lease of an earlier leader, if nothing else was decided about the item.
    fn adopt(&mut self, expires: Duration, agent: &Arc<str>, lease: &wire::Lease) -> bool {
        let Some((number, job)) = self.find(&lease.job) else { return false };
        if job.live.contains(&lease.item) {
            return false;
        }
        // Later than that, an item with failed attempts was lost under this leader.
        if self.grace.is_none() && !job.ready.contains(lease.item) {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&number) else { return false };
        let Some(alone) = job.withhold(lease.item) else { return false };
        self.start_lease(expires, agent, number, lease, alone);
        self.settle(number);
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
        job.live.insert(lease.item, agent.clone());
        let fresh = || Agent { held: sorted::SortedMap::new(), earliest: expires };
        let record = self.agents.entry_or(agent.clone(), fresh);
        record.earliest = record.earliest.min(expires);
        let live = Live { attempt: lease.attempt, expires, alone };
        record.held.insert((number, lease.item), live);
    }

    fn release(&mut self, agent: &str, items: &[wire::Lease]) {
        for lease in items {
            let Some((number, job)) = self.find(&lease.job) else { continue };
            let holds = job.live.get(&lease.item).is_some_and(|holder| **holder == *agent);
            let record = self.agents.get(agent).filter(|_| holds);
            let live = record.and_then(|record| record.held.get(&(number, lease.item)));
            let Some(live) = live.filter(|live| live.attempt == lease.attempt) else { continue };
            let alone = live.alone;
            self.end_lease(number, lease.item);
            if let Some(job) = self.jobs.get_mut(&number) {
                job.make_ready(lease.item, alone);
            }
            self.settle(number);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.end_grace(now);
        self.expire(now, out);
        while let Some(&(until, number, item)) = self.backoffs.first().filter(|b| b.0 <= now) {
            self.backoffs.pop_first();
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let Some(wait) = job.waiting.get(&item).filter(|w| w.until == until).copied() else {
                continue;
            };
            job.waiting.remove(&item);
            job.make_ready(item, wait.alone);
            self.settle(number);
        }
        while let Some(&(_, number)) = self.urgencies.first().filter(|u| u.0 <= millis(now)) {
            self.urgencies.pop_first();
            self.set_level(now, number);
        }
    }

    /// Ends the leases that were not renewed in time.
    fn expire(&mut self, now: Duration, out: &mut Vec<Output>) {
        let due = self.agents.iter().filter(|(_, agent)| agent.earliest <= now);
        let due: Vec<Arc<str>> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let Some(agent) = self.agents.get_mut(&name) else { continue };
            let held = agent.held.iter();
            let lost: Vec<_> = held.filter(|(_, l)| l.expires <= now).map(|(k, _)| *k).collect();
            let kept = agent.held.values().map(|l| l.expires).filter(|e| *e > now);
            agent.earliest = kept.min().unwrap_or(now);
            for (number, item) in lost {
                let Some((agent, lease)) = self.end_lease(number, item) else { continue };
                self.lost.insert((number, item), Lost { agent, lease, again: now });
            }
        }
        self.report_lost(now, out);
    }

    /// Reports the expired leases whose failed attempt is not committed yet.
    fn report_lost(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut reports: sorted::SortedMap<Arc<str>, Vec<wire::Lease>> = sorted::SortedMap::new();
        for (_, lost) in self.lost.iter_mut().filter(|(_, lost)| lost.again <= now) {
            lost.again = now + self.config.lease;
            reports.entry_or(lost.agent.clone(), Vec::new).push(lost.lease.clone());
        }
        let reports = reports.iter();
        out.extend(reports.map(|(a, i)| Output::Lost { agent: a.clone(), items: i.clone() }));
    }

    fn replace_pull(&mut self, agent: &str, out: &mut Vec<Output>) {
        let replaced = self.pulls.extract_if(.., |p| *p.agent == *agent);
        out.extend(replaced.map(Waiting::empty));
    }

    /// Answers the waiting pulls for which there are items or whose waiting time has ended.
    fn serve(&mut self, now: Duration, out: &mut Vec<Output>) {
        let ready = self.grace.is_none() && self.models.values().any(|s| s.urgency().is_some());
        // Most steps make no item ready; they need not go through the pulls.
        if !ready && self.pulls.iter().all(|pull| now < pull.until) {
            return;
        }
        for pull in std::mem::take(&mut self.pulls) {
            let items = if ready { self.fill(now, &pull) } else { Vec::new() };
            if !items.is_empty() {
                out.push(Output::Grant { token: pull.token, agent: pull.agent, items });
            } else if now >= pull.until {
                out.push(pull.empty());
            } else {
                self.pulls.push(pull);
            }
        }
    }

    fn fill(&mut self, now: Duration, pull: &Waiting) -> Vec<wire::Lease> {
        let expires = now + self.config.lease;
        let mut items = Vec::new();
        while items.len() < pull.free as usize {
            let Some(number) = self.pick(&pull.models) else { break };
            let Some(job) = self.jobs.get_mut(&number) else { break };
            let alone = if items.is_empty() { job.alone.pop_first() } else { None };
            // A job with only items to be granted alone is served by the next grant.
            let Some(item) = alone.or_else(|| job.ready.take()) else { break };
            let lease =
                wire::Lease { job: job.name.clone(), item, attempt: self.random.next_u64() };
            let weight = self.weights.get(&job.place.workspace).copied().unwrap_or(1);
            if let Some(shares) = self.models.get_mut(&job.model) {
                shares.charge(&mut job.place, weight);
            }
            self.start_lease(expires, &pull.agent, number, &lease, alone.is_some());
            self.settle(number);
            items.push(lease);
            if alone.is_some() {
                break;
            }
        }
        items
    }

    /// Next job among those of the models: the most urgent one, and in turn if equally urgent.
    fn pick(&mut self, models: &[Arc<str>]) -> Option<u32> {
        let count = models.len();
        self.turn = self.turn.wrapping_add(1);
        let order = (0..count).map(|i| &models[(self.turn + i) % count]);
        let shares = order.filter_map(|model| self.models.get(model));
        let shares = shares.filter_map(|shares| Some((shares.urgency()?, shares)));
        shares.min_by_key(|(urgency, _)| *urgency)?.1.pick()
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

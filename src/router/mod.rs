//! Choice of the endpoint for a request, the retry budget and the limits of workspaces.
//!
//! An entry uses a deterministic subset of the fleet for each model, so that neither the memory of
//! the router nor the time of a choice grows with the fleet.

use crate::wire;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

pub mod budget;
pub mod ejection;
pub mod limits;
pub mod pick;
pub mod subset;

/// Settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of endpoints in the subset of a model.
    pub subset_size: usize,
    /// Number of failures in a row after which an endpoint is ejected.
    pub failure_limit: u32,
    /// Largest percentage of a model's subset that may be ejected. At least one endpoint may be,
    /// and at least one always remains.
    pub ejected_percent: u32,
    /// Time after which an endpoint with requests in flight is ejected if nothing is received from
    /// it.
    pub stall_timeout: Duration,
    /// Share of a retry that each request adds to the retry budget.
    pub retry_share: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            subset_size: 24,
            failure_limit: 3,
            ejected_percent: 34,
            stall_timeout: Duration::from_secs(1),
            retry_share: 0.1,
        }
    }
}

/// Endpoint of the fleet that may be in a subset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of its agent.
    pub agent: Arc<str>,
    /// Failure domain of its host.
    pub domain: Arc<str>,
    /// Region of its host.
    pub region: Arc<str>,
    /// Models and services that it offers.
    pub models: Vec<Arc<str>>,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Requirements of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Model or service.
    pub model: Arc<str>,
    /// Hash of the start of the prompt, or 0 if there is none.
    pub prefix: u64,
    /// Time left until the deadline of the request.
    pub deadline: Duration,
    /// Agents that were tried before. Empty for a first attempt.
    pub tried: Vec<Arc<str>>,
}

/// Endpoint that was chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Name of its agent.
    pub agent: Arc<str>,
    /// Whether the request is a probe of an ejected endpoint.
    pub probe: bool,
}

/// Refusal of a request that was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: wire::Reason,
    /// Time after which the caller may retry.
    pub retry: Duration,
}

/// Event that an entry observed at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A request was sent. Must be reported right after the choice.
    Started,
    /// A part of an answer arrived.
    Progress,
    /// A request ended with a complete answer.
    Finished,
    /// The agent refused a request, which has not run.
    Refused {
        /// Reason of the refusal.
        reason: wire::Reason,
        /// Time after which the agent may accept requests again.
        retry: Duration,
    },
    /// A request ended because its caller left. Says nothing about the endpoint.
    Abandoned,
    /// A request failed, timed out or was cut off.
    Failed,
    /// The agent reported its load.
    Load {
        /// Waiting online requests.
        queued: u32,
        /// Running online requests.
        running: u32,
    },
}

/// Router of one entry.
#[derive(Debug)]
pub struct Router {
    config: Config,
    location: subset::Location,
    rng: ChaCha8Rng,
    budget: budget::Budget,
    /// Union of the subsets of all models, ordered by agent.
    endpoints: Vec<pick::Endpoint>,
}

/// Retry delay of a refusal because no untried endpoint offers the model.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Router {
    /// Returns a router without endpoints.
    pub fn new(config: Config, entry: Arc<str>, domain: Arc<str>, seed: u64) -> Router {
        Router {
            budget: budget::Budget::new(config.retry_share),
            location: subset::Location { entry, domain, region: None },
            rng: ChaCha8Rng::seed_from_u64(seed),
            endpoints: Vec::new(),
            config,
        }
    }

    /// Replaces the candidates. Load and health of endpoints that stay in a subset are kept.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        let own = candidates.iter().find(|c| c.domain == self.location.domain);
        self.location.region = own.map(|c| c.region.clone()).or(self.location.region.take());
        let mut models: Vec<&Arc<str>> = candidates.iter().flat_map(|c| &c.models).collect();
        models.sort_unstable();
        models.dedup();
        let mut old = std::mem::take(&mut self.endpoints);
        for model in models {
            for chosen in
                subset::choose(&self.location, &candidates, model, self.config.subset_size)
            {
                let at = self.insert_endpoint(chosen, &mut old);
                self.endpoints[at].models.push(model.clone());
            }
        }
    }

    /// Adds an endpoint, unless it is there, and returns its index. It is moved from `old` if it is
    /// there.
    fn insert_endpoint(&mut self, chosen: &Candidate, old: &mut Vec<pick::Endpoint>) -> usize {
        match self.endpoints.binary_search_by(|e| e.agent.cmp(&chosen.agent)) {
            Ok(at) => at,
            Err(at) => {
                let distance = self.location.distance_to(chosen);
                let known = old.binary_search_by(|e| e.agent.cmp(&chosen.agent));
                let mut endpoint = match known {
                    Ok(known) => old.remove(known),
                    Err(_) => pick::Endpoint::new(chosen.agent.clone(), distance),
                };
                endpoint.models.clear();
                endpoint.slots = chosen.slots;
                endpoint.distance = distance;
                self.endpoints.insert(at, endpoint);
                at
            }
        }
    }

    /// Chooses an endpoint for a request. Refuses the request if no untried endpoint offers its
    /// model, or if all of them refuse requests until after its deadline.
    pub fn pick(&mut self, now: Duration, query: &Query) -> Result<Pick, Refusal> {
        if query.tried.is_empty() {
            self.budget.deposit();
        }
        self.eject_silent(now, &query.model);
        let untried = self.untried(query);
        if untried.is_empty() {
            let reason = wire::Reason::NoEndpoint;
            return Err(Refusal { reason, retry: NO_ENDPOINT_RETRY_DELAY });
        }
        if let Some(at) = self.due_probe(now, query, &untried) {
            return Ok(self.pick_at(at, true));
        }
        let healthy = self.filter_endpoints(&untried, |e| !e.health_record.is_unhealthy());
        let usable = if healthy.is_empty() { untried } else { healthy };
        let ready = self.filter_endpoints(&usable, |e| e.busy_until <= now);
        if ready.is_empty() {
            return self.pick_least_busy(now, query, &usable);
        }
        let affine = Some(query.prefix).filter(|prefix| *prefix != 0);
        let affine = affine.and_then(|p| pick::prefix_affinity(now, p, &self.endpoints, &ready));
        let at = affine
            .or_else(|| pick::two_choices(now, &mut self.rng, &self.endpoints, &ready))
            .unwrap_or(ready[0]);
        Ok(self.pick_at(at, false))
    }

    /// Records an event at an endpoint. Events of endpoints outside the subsets are ignored.
    pub fn observe(&mut self, now: Duration, agent: &str, event: Observation) {
        let Ok(at) = self.endpoints.binary_search_by(|e| (*e.agent).cmp(agent)) else { return };
        let endpoint = &mut self.endpoints[at];
        if !matches!(event, Observation::Started | Observation::Failed | Observation::Abandoned) {
            endpoint.record_activity(now);
        }
        match event {
            Observation::Started => endpoint.record_start(now),
            Observation::Progress => {}
            Observation::Finished => {
                endpoint.record_end();
                endpoint.health_record.record_success();
            }
            Observation::Refused { retry, .. } => {
                endpoint.record_end();
                endpoint.health_record.record_inconclusive();
                endpoint.busy_until = now.saturating_add(retry);
            }
            Observation::Abandoned => {
                endpoint.record_end();
                endpoint.health_record.record_inconclusive();
            }
            Observation::Failed => {
                endpoint.record_end();
                if endpoint.health_record.record_failure(self.config.failure_limit) {
                    self.eject(now, at, false);
                }
            }
            Observation::Load { queued, running } => {
                endpoint.record_report(now, queued.saturating_add(running))
            }
        }
    }

    /// Takes a retry from the budget. Returns false if the budget is spent.
    pub fn try_take_retry(&mut self, now: Duration) -> bool {
        self.budget.try_take(now)
    }

    /// Returns the agents of the endpoints in the subsets.
    pub fn subset(&self) -> impl Iterator<Item = &Arc<str>> {
        self.endpoints.iter().map(|e| &e.agent)
    }

    /// Returns the agents of the endpoints that are ejected or being probed.
    pub fn ejected(&self) -> impl Iterator<Item = &Arc<str>> {
        self.endpoints.iter().filter(|e| e.health_record.is_unhealthy()).map(|e| &e.agent)
    }

    fn untried(&self, query: &Query) -> Vec<usize> {
        let serves = |e: &pick::Endpoint| e.models.contains(&query.model);
        let tried = |e: &pick::Endpoint| query.tried.contains(&e.agent);
        let all = self.endpoints.iter().enumerate();
        all.filter(|(_, e)| serves(e) && !tried(e)).map(|(at, _)| at).collect()
    }

    fn filter_endpoints(
        &self,
        among: &[usize],
        keep: impl Fn(&pick::Endpoint) -> bool,
    ) -> Vec<usize> {
        among.iter().copied().filter(|at| keep(&self.endpoints[*at])).collect()
    }

    fn pick_at(&self, at: usize, probe: bool) -> Pick {
        Pick { agent: self.endpoints[at].agent.clone(), probe }
    }

    /// Returns an ejected endpoint that is due for a probe. Retries are not used as probes, so that
    /// a request probes at most one endpoint.
    fn due_probe(&self, now: Duration, query: &Query, untried: &[usize]) -> Option<usize> {
        if !query.tried.is_empty() || untried.len() < 2 {
            return None;
        }
        untried.iter().copied().find(|at| {
            let endpoint = &self.endpoints[*at];
            endpoint.busy_until <= now && endpoint.health_record.is_probe_due(now)
        })
    }

    /// Chooses the endpoint that will accept requests first, if the deadline allows. Used when
    /// every usable endpoint has refused requests.
    fn pick_least_busy(
        &self,
        now: Duration,
        query: &Query,
        usable: &[usize],
    ) -> Result<Pick, Refusal> {
        let first = usable.iter().copied().min_by_key(|at| self.endpoints[*at].busy_until);
        let at = first.unwrap_or(usable[0]);
        let retry = self.endpoints[at].busy_until.saturating_sub(now);
        if retry >= query.deadline {
            return Err(Refusal { reason: wire::Reason::Deadline, retry });
        }
        Ok(self.pick_at(at, false))
    }

    /// Ejects the endpoints of a model that have been silent for too long.
    fn eject_silent(&mut self, now: Duration, model: &Arc<str>) {
        for at in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[at];
            let silent = endpoint.is_silent(now, self.config.stall_timeout);
            let probing = matches!(endpoint.health_record.health, ejection::Health::Probing { .. });
            let ejectable = !endpoint.health_record.is_unhealthy() || probing;
            if silent && ejectable && endpoint.models.contains(model) {
                self.eject(now, at, true);
            }
        }
    }

    /// Ejects an endpoint, unless too many endpoints of one of its models are already unhealthy.
    /// One that is unhealthy itself is always ejected again.
    fn eject(&mut self, now: Duration, at: usize, silent: bool) {
        let was_unhealthy = self.endpoints[at].health_record.is_unhealthy();
        if was_unhealthy || self.endpoints[at].models.iter().all(|model| self.may_eject(model)) {
            self.endpoints[at].health_record.eject(now, silent);
        }
    }

    fn may_eject(&self, model: &Arc<str>) -> bool {
        let serving = self.endpoints.iter().filter(|e| e.models.contains(model));
        let (all, unhealthy) = serving.fold((0, 0), |(all, unhealthy), e| {
            (all + 1, unhealthy + usize::from(e.health_record.is_unhealthy()))
        });
        let max_ejected = (all * self.config.ejected_percent as usize / 100).max(1);
        unhealthy < max_ejected.min(all - 1)
    }
}

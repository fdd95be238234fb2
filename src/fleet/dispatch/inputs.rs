//! What plans are made from.

use crate::fleet::directory;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::ledger;
use crate::fleet::limits;
use crate::fleet::peer;
use crate::fleet::plan;
use crate::fleet::workspaces;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;

/// Jobs are kept for the promised retention times this factor, as the leader counts from the moment
/// at which it first saw a job.
const RETENTION_FACTOR: u32 = 2;

/// Finds the owners of jobs.
pub(super) struct Owners<'a> {
    workspaces: &'a workspaces::Workspaces,
    /// Lowest priority of a workspace.
    lowest: u64,
}

impl Owners<'_> {
    pub(super) fn new(workspaces: &workspaces::Workspaces) -> Owners<'_> {
        let lowest = workspaces.iter().map(|w| w.priority).max().unwrap_or(0);
        Owners { workspaces, lowest }
    }

    /// Owner of the job with the given ledger key. Jobs without a workspace, and those of a workspace
    /// that the configuration has no more, have the lowest priority of a workspace: they neither
    /// overtake others nor wait for all of them.
    pub(super) fn of_job(&self, key: &str) -> plan::Owner {
        let name = ledger::job_workspace(key);
        let known = name.and_then(|name| self.workspaces.get(name));
        plan::Owner {
            priority: known.map_or(self.lowest, |w| w.priority),
            workspace: name.map(|name| known.map_or_else(|| name.into(), |w| w.name.clone())),
        }
    }
}

impl Dispatcher {
    /// Jobs without pending items whose retention has passed.
    pub(super) fn expired_jobs(
        &self,
        jobs: &[(&Arc<str>, &ledger::Job)],
        now: time::Instant,
    ) -> Vec<Arc<str>> {
        let limits = &self.node.settings.limits;
        let retention = Duration::from_secs(limits.retention) * RETENTION_FACTOR;
        let expired =
            |id: &Arc<str>| self.first_seen.get(id).is_some_and(|since| now - *since > retention);
        let done = jobs.iter().filter(|(id, job)| job.pending.is_empty() && expired(id));
        done.map(|(id, _)| (*id).clone()).collect()
    }

    /// Endpoints with their load, as input of a plan.
    pub(super) fn endpoint_loads(&self) -> Vec<plan::EndpointLoad> {
        let now = self.node.now();
        self.node.view.directory(|d| {
            self.node.view.loads(|l| {
                let health = peer::lock(&self.node.health);
                let (grantor, quota) =
                    (peer::lock(&self.node.grantor), peer::lock(&self.node.quota));
                let allowance = |e: &directory::Endpoint| {
                    let start = limits::EndpointStart::new(&e.id, e.start_time);
                    match &*grantor {
                        Some(grantor) => grantor.item_allowance(&e.service, &start),
                        // The grants of this leadership have not begun.
                        None => quota.is_limited(&start).then_some(0),
                    }
                };
                let load = |e: &directory::Endpoint| plan::EndpointLoad {
                    id: e.id.clone(),
                    service: e.service.clone(),
                    build: e.build.clone(),
                    slots: e.slots.max(1),
                    running: l.running(now, &e.id),
                    accepting: e.phase == directory::Phase::Ready && !health.is_avoided(now, &e.id),
                    allowance: allowance(e),
                };
                d.endpoints().map(load).collect()
            })
        })
    }

    /// Tells the grants for limited endpoints which services have items that wait.
    pub(super) fn set_waiting_services(&self, waiting: &[plan::WaitingItem]) {
        if let Some(grantor) = &mut *peer::lock(&self.node.grantor) {
            let mut services: Vec<Arc<str>> = waiting.iter().map(|w| w.service.clone()).collect();
            services.sort_unstable();
            services.dedup();
            grantor.set_waiting_items(&services);
        }
    }

    /// Whether the hosts have had the time to tell this leader the limits that they know.
    pub(super) fn is_settled(&self) -> bool {
        let now = self.node.now();
        peer::lock(&self.node.grantor).as_ref().is_none_or(|g| g.is_settled(now))
    }

    /// Uses the permission to send an item to an endpoint. Returns `false` if there is none.
    pub(super) fn take_allowance(&self, endpoint: &directory::Endpoint) -> bool {
        let directory::Endpoint { id, start_time, service, .. } = endpoint;
        let start = limits::EndpointStart::new(id, *start_time);
        let now = self.node.now();
        match &mut *peer::lock(&self.node.grantor) {
            Some(grantor) => {
                let is_limited = grantor.item_allowance(service, &start).is_some();
                let taken = grantor.take_item(now, service, &start);
                if is_limited && taken {
                    self.node.metrics.count_limited(service, "item");
                }
                taken
            }
            None => !peer::lock(&self.node.quota).is_limited(&start),
        }
    }

    /// Version of the limit of an endpoint; 0 if none is known.
    pub(super) fn limit_version(&self, endpoint: &limits::EndpointStart) -> u64 {
        peer::lock(&self.node.grantor).as_ref().map_or(0, |g| g.version(endpoint))
    }

    /// Services and builds of the endpoints that accept requests, sorted.
    pub(super) fn serving_builds(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let mut serving: Vec<_> = self.node.view.directory(|d| {
            let ready = d.endpoints().filter(|e| e.phase == directory::Phase::Ready);
            ready.map(|e| (e.service.clone(), e.build.clone())).collect()
        });
        serving.sort();
        serving.dedup();
        serving
    }
}

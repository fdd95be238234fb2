//! What plans are made from.

use crate::fleet::directory;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::ledger;
use crate::fleet::peer;
use crate::fleet::plan;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;

/// Jobs are kept for the promised retention times this factor, as the leader counts from the moment
/// at which it first saw a job.
const RETENTION_FACTOR: u32 = 2;

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
                let load = |e: &directory::Endpoint| plan::EndpointLoad {
                    id: e.id.clone(),
                    service: e.service.clone(),
                    build: e.build.clone(),
                    slots: e.slots,
                    running: l.running(now, &e.id),
                    accepting: e.phase == directory::Phase::Ready && !health.is_avoided(now, &e.id),
                };
                d.endpoints().map(load).collect()
            })
        })
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

//! Pulls batch items from the job groups when gates have capacity, runs them and reports results.

use crate::agent;
use crate::agent::endpoint;
use crate::agent::upstream;
use crate::completion;
use crate::errors;
use crate::event;
use crate::events;
use crate::gate;
use crate::jobs;
use crate::sorted;
use crate::supervisor;
use crate::wire;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

/// Longest time that a job group may wait for items before it answers a pull, in milliseconds.
const PULL_WAIT_MS: u64 = 1_000;
/// Delay before a failed pull is retried.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between lease renewals, and timeout of each.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of a lease; must equal that of the job groups. The agent counts from the time it sent
/// the last successful renewal and stops items one [`RENEW_INTERVAL`] early, so that they stop
/// before the lease ends.
const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Longest time that the agent tries to commit the result of an item.
const COMPLETE_TIMEOUT: Duration = Duration::from_secs(30);
/// Deadline of batch items at the gate. A day stands for none, since the job groups track when
/// jobs are due.
const BATCH_GATE_DEADLINE: Duration = Duration::from_secs(86_400);
/// Longest wait for the response headers of an engine.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Batch items that this agent holds leases for. Clones share them.
#[derive(Clone, Default)]
pub struct LeasedItems {
    items: Arc<Mutex<sorted::SortedMap<wire::Lease, LeasedItem>>>,
}

struct LeasedItem {
    group: u16,
    stop: watch::Sender<bool>,
}

impl LeasedItems {
    fn lock(&self) -> std::sync::MutexGuard<'_, sorted::SortedMap<wire::Lease, LeasedItem>> {
        self.items.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Leases granted by `group`.
    pub fn leases(&self, group: u16) -> Vec<wire::Lease> {
        self.lock().iter().filter(|(_, i)| i.group == group).map(|(l, _)| l.clone()).collect()
    }

    fn insert(&self, group: u16, lease: &wire::Lease) -> watch::Receiver<bool> {
        let (stop, receiver) = watch::channel(false);
        self.lock().insert(lease.clone(), LeasedItem { group, stop });
        receiver
    }

    fn remove(&self, lease: &wire::Lease) {
        self.lock().remove(lease);
    }

    fn stop(&self, leases: &[wire::Lease]) {
        let items = self.lock();
        for item in leases.iter().filter_map(|l| items.get(l)) {
            item.stop.send_replace(true);
        }
    }

    /// Number of leased items.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no item is leased.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }
}

/// Pulls and runs items of one job group whenever a gate has capacity, until a stop is requested.
pub async fn run_pull(
    agent: agent::Agent,
    group: u16,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    loop {
        let capacity = tokio::select! {
            capacity = wait_for_capacity(&agent) => capacity,
            () = stop.wait() => return Ok(()),
        };
        let pulled = tokio::select! {
            pulled = pull(&agent, group, &capacity) => pulled,
            () = stop.wait() => return Ok(()),
        };
        match pulled {
            Ok(grants) => start_items(&agent, group, &capacity.endpoint, grants),
            Err(_) => time::sleep(PULL_RETRY_DELAY).await,
        }
    }
}

/// Number of batch items that one endpoint can start now.
struct FreeCapacity {
    endpoint: endpoint::Endpoint,
    count: u32,
    models: Vec<Arc<str>>,
}

async fn wait_for_capacity(agent: &agent::Agent) -> FreeCapacity {
    let pull_signal = agent.registry.pull_signal();
    loop {
        let notified = pull_signal.notified();
        for endpoint in agent.registry.endpoints() {
            let announcement = endpoint.announcement();
            if announcement.kind != endpoint::Kind::Engine || agent.is_draining(&announcement.name)
            {
                continue;
            }
            let count = endpoint.batch_capacity();
            if count > 0 {
                return FreeCapacity { endpoint, count, models: announcement.models };
            }
        }
        notified.await;
    }
}

async fn pull(
    agent: &agent::Agent,
    group: u16,
    capacity: &FreeCapacity,
) -> Result<Vec<wire::Grant>, errors::Error> {
    let request = wire::Request::Pull {
        group,
        agent: agent.name.clone(),
        free: capacity.count,
        models: capacity.models.clone(),
        wait: PULL_WAIT_MS,
    };
    let limit = Duration::from_millis(2 * PULL_WAIT_MS);
    match agent.client.call(group, &request, limit).await {
        Ok(wire::Reply::Granted(grants)) => Ok(grants),
        Ok(_) => Err(errors::Error::protocol("pull", "state", "unexpected reply")),
        Err(error) => Err(errors::Error::lost("pull", "state", error)),
    }
}

fn start_items(
    agent: &agent::Agent,
    group: u16,
    endpoint: &endpoint::Endpoint,
    grants: Vec<wire::Grant>,
) {
    for grant in grants {
        let stopped = agent.leased_items.insert(group, &grant.lease);
        let (agent, endpoint) = (agent.clone(), endpoint.clone());
        let running = agent.running.enter();
        // Submitted before the next pull, so that the gate counts the item in its capacity.
        let queued =
            endpoint.submit(gate::Class::Batch, grant.workspace.clone(), BATCH_GATE_DEADLINE);
        task::spawn(async move {
            run_item(&agent, group, &endpoint, &grant, queued, stopped).await;
            agent.leased_items.remove(&grant.lease);
            drop(running);
        });
    }
}

/// Result of running an item.
enum RunResult {
    /// The item is complete, with an answer or a permanent failure.
    Completed(jobs::message::ItemOutcome),
    /// The attempt failed with an error that a retry may avoid.
    Transient,
    /// The item was abandoned because its lease was lost, its job was cancelled or the gate refused
    /// it.
    Stopped,
}

async fn run_item(
    agent: &agent::Agent,
    group: u16,
    endpoint: &endpoint::Endpoint,
    grant: &wire::Grant,
    queued: endpoint::QueuedWork,
    mut stopped: watch::Receiver<bool>,
) {
    let result = tokio::select! {
        result = run_preemptible(agent, endpoint, grant, queued) => result,
        _ = stopped.wait_for(|stop| *stop) => RunResult::Stopped,
    };
    let lease = &grant.lease;
    let command = match result {
        RunResult::Completed(outcome) => jobs::Command::Complete {
            job: lease.job.clone(),
            item: lease.item,
            attempt: lease.attempt,
            outcome,
        },
        RunResult::Transient => jobs::Command::FailAttempt {
            job: lease.job.clone(),
            item: lease.item,
            attempt: lease.attempt,
            cause: jobs::message::FailureCause::Transient,
        },
        RunResult::Stopped => {
            agent.metrics.count_item("stopped");
            release(agent, group, lease).await;
            return;
        }
    };
    agent.metrics.count_item(match &command {
        jobs::Command::Complete { .. } => "completed",
        _ => "transient",
    });
    let bytes = jobs::encode(&command);
    if let Err(error) = agent.client.propose(group, bytes, COMPLETE_TIMEOUT).await {
        event!(agent.log, events::ENDPOINT_FAILED; "step" => "complete item", "error" => %error);
        agent.metrics.count_fault("complete item");
    }
    // Applying the result already ends the lease; the release covers a lost answer.
    release(agent, group, lease).await;
}

async fn release(agent: &agent::Agent, group: u16, lease: &wire::Lease) {
    let request =
        wire::Request::Release { group, agent: agent.name.clone(), leases: vec![lease.clone()] };
    // A lost release is harmless, since the lease expires.
    let _ = agent.client.call(group, &request, Duration::from_millis(500)).await;
}

async fn run_preemptible(
    agent: &agent::Agent,
    endpoint: &endpoint::Endpoint,
    grant: &wire::Grant,
    mut queued: endpoint::QueuedWork,
) -> RunResult {
    let mut progress = completion::Progress::default();
    loop {
        let Ok(slot) = queued.wait_for_slot().await else { return RunResult::Stopped };
        let step = tokio::select! {
            // A run that has finished takes precedence over a simultaneous preemption.
            biased;
            step = run_once(agent, endpoint, grant, &mut progress, &slot) => Some(step),
            () = slot.preempted() => None,
        };
        match step {
            Some(result) => {
                slot.finish(matches!(result, RunResult::Completed(_)));
                return result;
            }
            None => queued = slot.requeue(grant.workspace.clone(), BATCH_GATE_DEADLINE),
        }
    }
}

async fn run_once(
    agent: &agent::Agent,
    endpoint: &endpoint::Endpoint,
    grant: &wire::Grant,
    progress: &mut completion::Progress,
    slot: &endpoint::Slot,
) -> RunResult {
    let body = match progress.request(&grant.body) {
        Ok(body) => body,
        Err(error) => return permanent_failure(400, &error.to_string()),
    };
    let request = upstream::Request {
        address: endpoint.announcement().address,
        method: "POST".into(),
        path: CHAT_COMPLETIONS_PATH.into(),
        content_type: "application/json".into(),
        body,
        stall_timeout: agent.stall_timeout,
        header_timeout: HEADER_TIMEOUT,
    };
    let mut response = match agent.upstream.send(&request).await {
        Ok(response) => response,
        Err(error) => return transient_failure(agent, &error),
    };
    if response.status != 200 {
        let text = response.read_body().await.unwrap_or_default();
        let status = response.status;
        // Other client errors (4xx) would repeat on a retry.
        let retryable = status >= 500 || status == 408 || status == 429;
        return match retryable {
            true => RunResult::Transient,
            false => permanent_failure(status, &String::from_utf8_lossy(&text)),
        };
    }
    let mut events = response.events();
    match completion::read(&mut events, progress, |n| slot.record_tokens(n)).await {
        Ok(()) => {
            let answer = progress.answer(&grant.model, true);
            RunResult::Completed(jobs::message::ItemOutcome::Done(answer.to_string().into()))
        }
        Err(error) => transient_failure(agent, &error),
    }
}

/// Path of the engine's HTTP API to which batch items are sent.
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";

fn transient_failure(agent: &agent::Agent, error: &errors::Error) -> RunResult {
    event!(agent.log, events::ENDPOINT_FAILED; "error" => %error);
    agent.metrics.count_fault(error.step);
    RunResult::Transient
}

fn permanent_failure(status: u16, message: &str) -> RunResult {
    let body = serde_json::json!({ "status": status, "message": message });
    RunResult::Completed(jobs::message::ItemOutcome::Failed(body.to_string().into()))
}

/// Renews the leases of one job group until a stop is requested and no lease is left.
pub async fn run_renew(
    agent: agent::Agent,
    group: u16,
    stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut ticks = agent.timer.subscribe(RENEW_INTERVAL);
    let mut last_renewal = agent.timer.now();
    loop {
        let now = ticks.next().await;
        let leases = agent.leased_items.leases(group);
        if stop.is_requested() && leases.is_empty() {
            return Ok(());
        }
        let request =
            wire::Request::Renew { group, agent: agent.name.clone(), held: leases.clone() };
        match agent.client.call(group, &request, RENEW_INTERVAL).await {
            Ok(wire::Reply::Renewed { stop }) => {
                last_renewal = now;
                agent.leased_items.stop(&stop);
            }
            _ if agent.timer.now().saturating_sub(last_renewal)
                >= LEASE_DURATION - RENEW_INTERVAL =>
            {
                // The leases are about to expire, after which another agent may run the items.
                agent.leased_items.stop(&leases);
            }
            _ => {}
        }
    }
}

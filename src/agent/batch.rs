//! Batch items: pulled from the job groups when the gates have room, run, and completed.

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

/// Longest time for which a job group may hold back the answer to a pull, in milliseconds.
const PULL_WAIT: u64 = 1_000;
/// Pause after a failed pull.
const PULL_PAUSE: Duration = Duration::from_millis(200);
/// Interval between renewals of the leases.
const RENEW_EVERY: Duration = Duration::from_secs(1);
/// Time without renewal after which held items are stopped. Equal to the lease time of the job
/// groups; the agent counts from the last request, so it stops before the lease ends.
const LEASE: Duration = Duration::from_secs(3);
/// Longest time over which a result is offered to its job group.
const COMPLETE_LIMIT: Duration = Duration::from_secs(30);
/// Deadline of batch work at the gate. Due times are kept by the job groups.
const NO_DEADLINE: Duration = Duration::from_secs(86_400);
/// Time within which an engine must begin an answer.
const FIRST_LIMIT: Duration = Duration::from_secs(30);

/// Items that this agent holds.
#[derive(Clone, Default)]
pub struct Held {
    items: Arc<Mutex<sorted::SortedMap<wire::Lease, Item>>>,
}

struct Item {
    group: u16,
    stop: watch::Sender<bool>,
}

impl Held {
    fn lock(&self) -> std::sync::MutexGuard<'_, sorted::SortedMap<wire::Lease, Item>> {
        self.items.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Leases that are held in `group`.
    pub fn leases(&self, group: u16) -> Vec<wire::Lease> {
        self.lock().iter().filter(|(_, i)| i.group == group).map(|(l, _)| l.clone()).collect()
    }

    fn insert(&self, group: u16, lease: &wire::Lease) -> watch::Receiver<bool> {
        let (stop, receiver) = watch::channel(false);
        self.lock().insert(lease.clone(), Item { group, stop });
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

    /// Number of held items.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no item is held.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }
}

/// Pulls items from one job group whenever a gate has room, until a stop is requested.
pub async fn run_pull(
    agent: agent::Agent,
    group: u16,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    loop {
        let room = tokio::select! {
            room = next_room(&agent) => room,
            () = stop.wait() => return Ok(()),
        };
        let pulled = tokio::select! {
            pulled = pull(&agent, group, &room) => pulled,
            () = stop.wait() => return Ok(()),
        };
        match pulled {
            Ok(grants) => start_all(&agent, group, &room.endpoint, grants),
            Err(_) => time::sleep(PULL_PAUSE).await,
        }
    }
}

/// Room for batch items at one endpoint.
struct Room {
    endpoint: endpoint::Endpoint,
    count: u32,
    models: Vec<Arc<str>>,
}

async fn next_room(agent: &agent::Agent) -> Room {
    let pull = agent.registry.pull();
    loop {
        let notified = pull.notified();
        for endpoint in agent.registry.endpoints() {
            let about = endpoint.about();
            if about.kind != endpoint::Kind::Engine || agent.is_draining(&about.name) {
                continue;
            }
            let count = endpoint.wanted();
            if count > 0 {
                return Room { endpoint, count, models: about.models };
            }
        }
        notified.await;
    }
}

async fn pull(
    agent: &agent::Agent,
    group: u16,
    room: &Room,
) -> Result<Vec<wire::Grant>, errors::Error> {
    let request = wire::Request::Pull {
        group,
        agent: agent.name.clone(),
        free: room.count,
        models: room.models.clone(),
        wait: PULL_WAIT,
    };
    let limit = Duration::from_millis(2 * PULL_WAIT);
    match agent.client.call(group, &request, limit).await {
        Ok(wire::Reply::Granted(grants)) => Ok(grants),
        Ok(_) => Err(errors::Error::protocol("pull", "state", "unexpected reply")),
        Err(not_done) => Err(errors::Error::lost("pull", "state", not_done)),
    }
}

fn start_all(
    agent: &agent::Agent,
    group: u16,
    endpoint: &endpoint::Endpoint,
    grants: Vec<wire::Grant>,
) {
    for grant in grants {
        let stopped = agent.held.insert(group, &grant.lease);
        let (agent, endpoint) = (agent.clone(), endpoint.clone());
        let running = agent.running.enter();
        // Submitted before the next pull, so that the gate counts it.
        let ticket = endpoint.submit(gate::Class::Batch, grant.workspace.clone(), NO_DEADLINE);
        task::spawn(async move {
            run_item(&agent, group, &endpoint, &grant, ticket, stopped).await;
            agent.held.remove(&grant.lease);
            drop(running);
        });
    }
}

/// How a run of an item ended.
enum Ended {
    /// With a result, good or bad, that completes the item.
    Outcome(jobs::message::ItemOutcome),
    /// With an error that may pass.
    Transient,
    /// The item was given up: its lease is lost, its job cancelled, or the gate refused it.
    Stopped,
}

async fn run_item(
    agent: &agent::Agent,
    group: u16,
    endpoint: &endpoint::Endpoint,
    grant: &wire::Grant,
    ticket: endpoint::Ticket,
    mut stopped: watch::Receiver<bool>,
) {
    let ended = tokio::select! {
        ended = run_to_end(agent, endpoint, grant, ticket) => ended,
        _ = stopped.wait_for(|stop| *stop) => Ended::Stopped,
    };
    let lease = &grant.lease;
    let command = match ended {
        Ended::Outcome(outcome) => jobs::Command::Complete {
            job: lease.job.clone(),
            item: lease.item,
            attempt: lease.attempt,
            outcome,
        },
        Ended::Transient => jobs::Command::FailAttempt {
            job: lease.job.clone(),
            item: lease.item,
            attempt: lease.attempt,
            cause: jobs::message::FailureCause::Transient,
        },
        Ended::Stopped => {
            agent.metrics.item("stopped");
            release(agent, group, lease).await;
            return;
        }
    };
    agent.metrics.item(match &command {
        jobs::Command::Complete { .. } => "completed",
        _ => "transient",
    });
    let bytes = jobs::encode(&command);
    if let Err(error) = agent.client.propose(group, bytes, COMPLETE_LIMIT).await {
        event!(agent.log, events::ENDPOINT_FAILED; "step" => "complete item", "error" => %error);
        agent.metrics.fault("complete item");
    }
    // The leases of a finished item end when its result is applied; this covers lost answers.
    release(agent, group, lease).await;
}

async fn release(agent: &agent::Agent, group: u16, lease: &wire::Lease) {
    let request =
        wire::Request::Release { group, agent: agent.name.clone(), leases: vec![lease.clone()] };
    // A lost release is harmless: the lease ends by itself.
    let _ = agent.client.call(group, &request, Duration::from_millis(500)).await;
}

async fn run_to_end(
    agent: &agent::Agent,
    endpoint: &endpoint::Endpoint,
    grant: &wire::Grant,
    mut ticket: endpoint::Ticket,
) -> Ended {
    let mut progress = completion::Progress::default();
    loop {
        let Ok(slot) = ticket.started().await else { return Ended::Stopped };
        let step = tokio::select! {
            // A finished run wins over a preemption that arrives at the same time.
            biased;
            step = run_once(agent, endpoint, grant, &mut progress, &slot) => Some(step),
            () = slot.preempted() => None,
        };
        match step {
            Some(ended) => {
                slot.finish(matches!(ended, Ended::Outcome(_)));
                return ended;
            }
            None => ticket = slot.give_up(grant.workspace.clone(), NO_DEADLINE),
        }
    }
}

async fn run_once(
    agent: &agent::Agent,
    endpoint: &endpoint::Endpoint,
    grant: &wire::Grant,
    progress: &mut completion::Progress,
    slot: &endpoint::Slot,
) -> Ended {
    let body = match progress.request(&grant.body) {
        Ok(body) => body,
        Err(bad) => return permanent(400, &bad.to_string()),
    };
    let call = upstream::Call {
        address: endpoint.about().address,
        method: "POST".into(),
        path: CHAT_PATH.into(),
        content: "application/json".into(),
        body,
        stall: agent.stall,
        first: FIRST_LIMIT,
    };
    let mut answer = match agent.upstream.send(&call).await {
        Ok(answer) => answer,
        Err(error) => return transient(agent, &error),
    };
    if answer.status != 200 {
        let text = answer.whole().await.unwrap_or_default();
        let status = answer.status;
        // Other refusals in the 4xx range will be the same at the next try.
        let passing = status >= 500 || status == 408 || status == 429;
        return match passing {
            true => Ended::Transient,
            false => permanent(status, &String::from_utf8_lossy(&text)),
        };
    }
    let mut events = answer.events();
    match completion::read(&mut events, progress, |n| slot.token(n)).await {
        Ok(()) => {
            let answer = progress.answer(&grant.model, true);
            Ended::Outcome(jobs::message::ItemOutcome::Done(answer.to_string().into()))
        }
        Err(error) => transient(agent, &error),
    }
}

/// Path of the engine's interface that runs batch items.
const CHAT_PATH: &str = "/v1/chat/completions";

fn transient(agent: &agent::Agent, error: &errors::Error) -> Ended {
    event!(agent.log, events::ENDPOINT_FAILED; "error" => %error);
    agent.metrics.fault(error.step);
    Ended::Transient
}

fn permanent(status: u16, message: &str) -> Ended {
    let body = serde_json::json!({ "status": status, "message": message });
    Ended::Outcome(jobs::message::ItemOutcome::Failed(body.to_string().into()))
}

/// Renews the leases of one job group until a stop is requested and nothing is held.
pub async fn run_renew(
    agent: agent::Agent,
    group: u16,
    stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut ticks = agent.timer.subscribe(RENEW_EVERY);
    let mut renewed = agent.timer.now();
    loop {
        let now = ticks.next().await;
        let held = agent.held.leases(group);
        if stop.requested() && held.is_empty() {
            return Ok(());
        }
        let request = wire::Request::Hold { group, agent: agent.name.clone(), held: held.clone() };
        match agent.client.call(group, &request, RENEW_EVERY).await {
            Ok(wire::Reply::Renewed { stop }) => {
                renewed = now;
                agent.held.stop(&stop);
            }
            _ if agent.timer.now().saturating_sub(renewed) >= LEASE - RENEW_EVERY => {
                // The leases are about to end: another agent may run these items next.
                agent.held.stop(&held);
            }
            _ => {}
        }
    }
}

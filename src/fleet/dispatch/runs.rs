//! Starts and stops the runs of items.

use crate::event;
use crate::events;
use crate::fleet::delegation;
use crate::fleet::directory;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::QueuedItem;
use crate::fleet::dispatch::RETRY_DELAY;
use crate::fleet::dispatch::tracked::ItemState;
use crate::fleet::dispatch::tracked::RunHandle;
use crate::fleet::dispatch::tracked::TrackedItem;
use crate::fleet::ledger;
use crate::fleet::limits;
use crate::fleet::plan;
use crate::fleet::progress::ItemKey;
use crate::fleet::runner;
use crate::fleet::runner::RunEnd;
use std::sync::Arc;
use tokio::time;

impl Dispatcher {
    /// Ends the run of an item at a silent endpoint, which `next` takes over. Does nothing for an item
    /// that does not run.
    pub(super) fn leave_silent_run(&mut self, key: &ItemKey, next: &Arc<str>) {
        let state = self.tracked.get(key).map(|t| &t.state);
        let Some(ItemState::Running { endpoint, run, .. }) = state else { return };
        run.stop();
        let endpoint = endpoint.clone();
        self.handle_run_end(
            key.clone(),
            RunEnd::Interrupted { cause: "silence".into(), at_fault: true },
        );
        if let Some(tracked) = self.tracked.get_mut(key) {
            tracked.progress.moved = true;
        }
        event!(self.node.log, events::ENDPOINT_SILENT; "job" => ledger::job_id(&key.0),
            "request" => &*key.1,
            "endpoint" => &*endpoint, "asked" => &**next);
    }

    /// Stops the run of an item, which continues later, in favour of the item `successor` or, without
    /// one, of online requests.
    pub(super) fn stop_item(&mut self, key: &ItemKey, successor: Option<&str>) {
        self.node.metrics.count_preemption();
        let cause = match successor {
            Some(_) => "an item that can be done in time takes its slot",
            None => "online requests need the slot",
        };
        event!(self.node.log, events::ITEM_INTERRUPTED; "job" => ledger::job_id(&key.0),
            "request" => &*key.1, "cause" => cause, "successor" => successor);
        if let Some(tracked) = self.tracked.get_mut(key) {
            let has_progressed = tracked.has_progressed();
            tracked.stops.record(successor.is_some(), has_progressed);
            if let ItemState::Running { run, .. } = &tracked.state {
                run.stop();
            }
        }
        self.back_off(key, RETRY_DELAY);
    }

    /// Starts a run of an item at an endpoint, on a host in the failure domain of the endpoint if one
    /// is in contact.
    pub(super) fn start_item(&mut self, queued: &QueuedItem, endpoint: &directory::Endpoint) {
        let directory::Endpoint {
            id: endpoint, service, start_time, address, build, domain, ..
        } = endpoint;
        let (endpoint, start_time, address) = (endpoint.clone(), *start_time, *address);
        let QueuedItem { key, item, host, progress } = queued;
        let key = key.clone();
        let tracked = self.tracked.get(&key).map(|t| (t.progress.clone(), t.stops));
        let (mut progress, stops) =
            tracked.unwrap_or_else(|| (progress.clone(), plan::Stops::default()));
        let began_at = progress.build().cloned();
        if progress.prepare_run(build) {
            event!(self.node.log, events::ITEM_STARTED_OVER; "job" => ledger::job_id(&key.0),
                "request" => &*key.1, "began_at" => began_at.as_deref(), "build" => &**build);
        }
        let run_host = self.delegator.choose(self.node.now(), domain);
        event!(self.node.log, events::ITEM_STARTED; "job" => ledger::job_id(&key.0),
            "request" => &*key.1,
            "endpoint" => &*endpoint, "build" => &**build, "after_event" => progress.last_event,
            "run_host" => run_host.as_deref(), "workspace" => ledger::job_workspace(&key.0));
        let names = self.node.view.protocol().headers();
        let request =
            match runner::request(names, &key.0, item, host, &endpoint, progress.last_event) {
                Ok(request) => request,
                Err(error) => {
                    slog::info!(self.node.log, "item does not form a valid request";
                    "request" => &*key.1, "error" => %error);
                    return self.abandon(key, ledger::Cause::Impossible);
                }
            };
        let trial = self.trials.get(&key).cloned().unwrap_or_default();
        if let Some(trial) = self.trials.get_mut(&key) {
            trial.set_sent(true);
        }
        let (number, last_event) = (self.shared.numbers.next_run(), progress.last_event);
        let start = limits::EndpointStart::new(&endpoint, start_time);
        let limit_version = self.limit_version(&start);
        let guard = self.node.count_request(service, &endpoint);
        let run = match run_host {
            Some(run_host) => {
                let order = delegation::Order {
                    number,
                    key: key.clone(),
                    item: item.clone(),
                    host: host.clone(),
                    endpoint: endpoint.clone(),
                    start_time,
                    address,
                    last_event,
                    limit_version,
                    trial,
                };
                self.delegator.start(&run_host, order);
                RunHandle::Delegated { number, stops: self.stops.clone(), _guard: guard }
            }
            None => {
                let run = runner::Run {
                    key: key.clone(),
                    number,
                    last_event,
                    endpoint: endpoint.clone(),
                    start_time,
                    address,
                    limit_version,
                    prompt: self.node.item_causes(item),
                    request,
                };
                let (node, reports) = (self.node.clone(), self.reports.clone());
                let task = tokio::spawn(async move {
                    run.run(node, reports).await;
                    drop(guard);
                });
                RunHandle::Local(task.abort_handle())
            }
        };
        let since = time::Instant::now();
        let events_before = progress.events;
        let state =
            ItemState::Running { endpoint, number, since, run, silent: false, events_before };
        self.tracked.insert(key, TrackedItem { state, progress, stops });
    }
}

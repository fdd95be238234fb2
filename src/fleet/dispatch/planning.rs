//! Makes plans from the state of the ledger and the fleet, and carries them out.

use crate::event;
use crate::events;
use crate::fleet::control_state;
use crate::fleet::dispatch::CONFIRM_TIMEOUT;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::Message;
use crate::fleet::dispatch::QueuedItem;
use crate::fleet::dispatch::commit;
use crate::fleet::dispatch::config_wait;
use crate::fleet::dispatch::inputs;
use crate::fleet::dispatch::tracked::ItemState;
use crate::fleet::dispatch::tracked::TrackedItem;
use crate::fleet::groups;
use crate::fleet::ledger;
use crate::fleet::peer;
use crate::fleet::plan;
use crate::fleet::progress::ItemKey;
use crate::fleet::progress::Progress;
use crate::fleet::quarantine;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;

impl Dispatcher {
    /// Makes a plan unless the last one took long and was made just now.
    pub(super) fn plan_if_due(&mut self) {
        let begun = time::Instant::now();
        if begun < self.next_plan {
            return;
        }
        self.plan();
        let plan_time = begun.elapsed();
        self.node.metrics.record_latency("plan", plan_time);
        self.next_plan = begun + plan_time + plan::pause_after(plan_time);
    }

    /// Logs the jobs that wait for a newer configuration than the version `held`, and asks the control
    /// group whether there is one.
    fn await_configs(&mut self, jobs: Vec<(Arc<str>, u64)>, held: u64) {
        let new = self.config_wait.record_waiting(jobs.iter().map(|(id, _)| id.clone()).collect());
        for (job, accepted) in jobs.iter().filter(|(id, _)| new.binary_search(id).is_ok()) {
            event!(self.node.log, events::JOB_AWAITS_CONFIG; "request" => ledger::job_id(job),
                "accepted_under" => accepted, "version" => held);
        }
        let count = self.config_wait.count() as u64;
        self.node.metrics.record_level("jobs_awaiting_config", count);
        let asked = time::Instant::now();
        if self.config_wait.is_question_due(asked) {
            let node = self.node.clone();
            self.spawn(async move {
                let query = control_state::Query::Version;
                let answer = node.groups.query(groups::CONTROL, &query, CONFIRM_TIMEOUT).await;
                let confirmed =
                    answer.map(|version| config_wait::ConfirmedVersion { version, asked });
                Message::ConfigConfirmed(confirmed.ok())
            });
        }
    }

    /// Starts and stops items according to the load of the endpoints, and abandons those that
    /// waited too long or have no route.
    fn plan(&mut self) {
        let Some(active) = self.node.view.active_config() else { return };
        if !self.node.view.quarantine(|q| q.is_usable(self.node.now())) || !self.is_settled() {
            return;
        }
        let now = time::Instant::now();
        let ledger = self.shared.ledger.clone();
        let ledger = peer::lock(&ledger);
        let serving = self.serving_builds();
        let mut jobs: Vec<(&Arc<str>, &ledger::Job)> = ledger.jobs().collect();
        jobs.sort_by_key(|(_, job)| job.accept_index);
        self.first_seen.retain(|id, _| ledger.job(id).is_some());
        // Keep pending items and those whose outcome is being committed. Dropping an item stops its
        // run.
        self.tracked.retain(|(job, item), tracked| {
            let pending =
                ledger.job(job).is_some_and(|j| j.pending.iter().any(|o| o.item.id == *item));
            pending || matches!(tracked.state, ItemState::Committing | ItemState::Finished)
        });
        let mut queue: Vec<(&Arc<str>, &ledger::Job, &ledger::PendingItem)> = Vec::new();
        let (mut to_abandon, mut waiting) = (Vec::new(), Vec::new());
        let mut held = sorted::SortedMap::new();
        let (version, mut awaiting) = (active.document.version, Vec::new());
        let host_now = self.node.now();
        self.trials.retain(|_, trial| !trial.is_expired(host_now));
        let (mut keys, mut running) = (Vec::new(), Vec::new());
        let owners = inputs::Owners::new(&active.config.workspaces);
        for (id, job) in &jobs {
            let since = *self.first_seen.entry_or((*id).clone(), || now);
            if job.pending.is_empty() {
                continue;
            }
            let accepted = ledger.accept_version(id);
            let decides = self.config_wait.may_decide(version, accepted, since);
            if !decides {
                awaiting.push(((*id).clone(), accepted));
            }
            let service = active
                .config
                .find_route(&job.rules.host, &job.rules.prefix)
                .filter(|_| decides)
                .and_then(|route| route.choose_service(rand::random()));
            let owner = owners.of_job(id);
            let max_wait = job.rules.max_wait_ms.map(Duration::from_millis);
            let late = max_wait.is_some_and(|limit| now - since > limit);
            let left = Duration::from_millis(job.rules.due_ms).saturating_sub(now - since);
            for pending in &job.pending {
                let key = ((*id).clone(), pending.item.id.clone());
                let tracked = self.tracked.get(&key);
                let remaining = self
                    .run_time_estimate
                    .remaining(tracked.map_or(Duration::ZERO, |k| k.run_time(now)));
                let urgency = plan::Urgency::new(job.accept_index, left, remaining);
                match tracked.map(|k| &k.state) {
                    Some(ItemState::Committing | ItemState::Finished | ItemState::Discarded) => {
                        continue;
                    }
                    Some(ItemState::Running { endpoint, number, silent, .. })
                        if !late && service.is_some() =>
                    {
                        let (index, endpoint) = (keys.len(), endpoint.clone());
                        // Another endpoint may take the item over meanwhile. If that one is as slow, it
                        // keeps the item: otherwise no event would ever arrive.
                        let moves = *silent && tracked.is_some_and(|t| !t.progress.moved);
                        running.push(plan::RunningItem {
                            index,
                            endpoint,
                            urgency,
                            owner: owner.clone(),
                            run_number: *number,
                            moves,
                            stops: tracked.map(|t| t.stops).unwrap_or_default(),
                        });
                        keys.push(key.clone());
                        if !moves {
                            continue;
                        }
                    }
                    Some(ItemState::BackingOff { until, .. }) if *until > now => continue,
                    _ => {}
                }
                match service {
                    _ if late => to_abandon.push((key, ledger::Cause::Patience)),
                    None if !decides => {}
                    None => to_abandon.push((key, ledger::Cause::NoRoute)),
                    Some(service) => {
                        if let Some(hold) = self.check_prompt(&key, &pending.item) {
                            held.insert(key, hold);
                            continue;
                        }
                        let (index, service) = (queue.len(), service.clone());
                        let build = match tracked {
                            Some(tracked) => tracked.pinned_build(now),
                            None => ledger.generation(id, &pending.item.id).build,
                        };
                        let build = build.filter(|b| {
                            serving.binary_search(&(service.clone(), b.clone())).is_ok()
                        });
                        let leaves = tracked.and_then(TrackedItem::endpoint).cloned();
                        let owner = owner.clone();
                        waiting.push(plan::WaitingItem {
                            index,
                            service,
                            build,
                            leaves,
                            urgency,
                            owner,
                        });
                        queue.push((id, job, pending));
                    }
                }
            }
        }
        // Items that a former leader has run wait for their build from now on.
        for item in waiting.iter().filter(|w| w.build.is_some()) {
            let (id, _, pending) = queue[item.index];
            let key = (id.clone(), pending.item.id.clone());
            if !self.tracked.contains(&key) {
                let generation = ledger.generation(&key.0, &key.1);
                let progress = Progress::new(&pending.stored, generation);
                let state = ItemState::BackingOff { until: now, stopped: None };
                let stops = plan::Stops::default();
                self.tracked.insert(key, TrackedItem { state, progress, stops });
            }
        }
        self.log_held_items(&held);
        self.held = held;
        let to_remove: Vec<Arc<str>> = self.expired_jobs(&jobs, now);
        self.node.metrics.record_level("items_waiting", waiting.len() as u64);
        self.node.metrics.record_level("items_running", running.len() as u64);
        let delegated = self.delegator.run_count() as u64;
        self.node.metrics.record_level("runs_delegated", delegated);
        self.has_items = !waiting.is_empty() || !running.is_empty();
        self.set_waiting_services(&waiting);
        let plan = plan::plan(self.endpoint_loads(), &waiting, &running);
        // Those that take over the slot of another item come last.
        let free_slots = plan.start.into_iter().map(|(index, endpoint)| (index, endpoint, None));
        let taken_slots = plan.handovers.into_iter().map(|h| (h.start, h.endpoint, Some(h.stop)));
        let to_start = free_slots.chain(taken_slots).map(|(index, endpoint, stop)| {
            let (id, job, pending) = queue[index];
            let queued = QueuedItem {
                key: (id.clone(), pending.item.id.clone()),
                item: pending.item.clone(),
                host: job.rules.host.clone(),
                progress: Progress::new(&pending.stored, ledger.generation(id, &pending.item.id)),
            };
            (queued, endpoint, stop)
        });
        let to_start: Vec<(QueuedItem, Arc<str>, Option<usize>)> = to_start.collect();
        drop(queue);
        drop(jobs);
        drop(ledger);
        self.await_configs(awaiting, version);
        for (key, cause) in to_abandon {
            self.abandon(key, cause);
        }
        if !to_remove.is_empty() {
            let node = self.node.clone();
            let command = ledger::Command::RemoveJobs { jobs: to_remove };
            // If this fails, a later plan tries again.
            tokio::spawn(async move { commit(&node, &command).await });
        }
        for index in plan.stop {
            self.stop_item(&keys[index], None);
        }
        for (queued, endpoint, stop) in to_start {
            let found = self.node.view.directory(|d| d.endpoint(&endpoint).cloned());
            if let Some(endpoint) = found.filter(|e| self.take_allowance(e)) {
                if let Some(stop) = stop {
                    self.stop_item(&keys[stop], Some(&queued.key.1));
                }
                self.leave_silent_run(&queued.key, &endpoint.id);
                self.start_item(&queued, &endpoint);
            }
        }
    }

    /// Returns why an item has to wait, judged by its prompt. If the trial of a quarantined part is
    /// due, asks for it; the item may run in a later plan then.
    fn check_prompt(&self, key: &ItemKey, item: &ledger::Item) -> Option<quarantine::Hold> {
        let (node, now) = (&self.node, self.node.now());
        if node.view.quarantine(|q| q.count()) == 0 {
            return None;
        }
        let prompt = node.item_causes(item);
        let parts = match self.trials.get(key) {
            Some(trial) => trial.checked(&prompt.causes),
            None => prompt.causes.clone(),
        };
        match node.view.quarantine(|q| q.check(now, &parts)) {
            quarantine::Check::Free => None,
            quarantine::Check::Held(hold) => Some(hold),
            quarantine::Check::TrialDue { hold, number } => {
                let (node, key) = (node.clone(), key.clone());
                self.spawn(async move {
                    match node.ask_for_trial(hold, number, &key.1).await {
                        true => Message::TrialGranted(key, hold.cause),
                        false => Message::TrialRefused,
                    }
                });
                Some(hold)
            }
        }
    }

    /// Logs the items that wait because of their prompts and did not before.
    fn log_held_items(&self, held: &sorted::SortedMap<ItemKey, quarantine::Hold>) {
        self.node.metrics.record_level("items_held", held.len() as u64);
        for (key, hold) in held.iter().filter(|(key, _)| !self.held.contains(key)) {
            self.node.metrics.count_part("held");
            event!(self.node.log, events::ITEM_HELD; "job" => ledger::job_id(&key.0),
                "request" => &*key.1,
                "cause" => %hold.cause, "crashes" => hold.crashes,
                "wait_ms" => hold.wait.as_millis() as u64);
        }
    }
}

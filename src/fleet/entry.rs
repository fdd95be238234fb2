//! Role entry: accepts requests from callers.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::admission;
use crate::fleet::body;
use crate::fleet::deadline;
use crate::fleet::directory;
use crate::fleet::forward;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::ledger;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::protocol;
use crate::fleet::routes;
use crate::fleet::runner;
use crate::fleet::serve;
use crate::fleet::starting;
use crate::fleet::workspaces::auth;
use crate::fleet::workspaces::exchange;
use crate::supervisor;
use crate::wire;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time;

/// Longest wait for the job group to accept a job or answer another call about jobs.
const JOB_CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Longest time that a read of results may wait for new ones.
const MAX_RESULTS_WAIT: Duration = Duration::from_millis(1_000);
/// Interval at which a waiting read checks for new results.
const RESULTS_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which a request that waits for the start of the entry looks whether it serves.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Most items of one job.
const MAX_JOB_ITEMS: usize = 200;

/// Most bytes of request bodies that an entry holds. A body is held until the response ends, since
/// the request may have to be sent again. The smallest entries have 160 MB.
const MAX_HELD_BODY_BYTES: usize = 64 << 20;

/// Job of a call, as far as its caller may see it.
struct JobScope {
    /// Id of the job.
    id: Arc<str>,
    /// Ledger keys that the job may have: that of the caller's workspace, then that of a job without
    /// one, which every caller may see.
    keys: Vec<Arc<str>>,
    /// Why the call has no caller, if it needs one for jobs of a workspace.
    denial: Option<auth::Decision>,
}

/// Handler of caller requests and of frames from other hosts.
struct Entry {
    node: node::Node,
    /// Memory for request bodies.
    memory: body::Memory,
    /// Requests that wait while this entry starts.
    held: starting::held::Held,
    stage: deadline::StageReceiver,
}

/// Adds the tasks of the role to a supervisor. Returns the signal that stops connections to other
/// hosts; it is sent after the last request has ended.
///
/// # Errors
/// `Io` if a listener cannot be opened, `Invalid` if the settings lack an address.
pub fn start(
    node: &node::Node,
    tree: &mut supervisor::Supervisor,
) -> Result<supervisor::Stop, errors::Error> {
    let missing = |name| errors::Error::invalid("start entry", "settings", name);
    let listen = &node.settings.listen;
    let callers = listen.callers.ok_or_else(|| missing("listen.callers is missing"))?;
    let ready = listen.ready.ok_or_else(|| missing("listen.ready is missing"))?;
    let (callers, ready) = (node::listen(callers)?, node::listen(ready)?);
    let (bounds_sender, bounds) = watch::channel(routes::Bounds::default());
    let (stage_sender, stage) = watch::channel(admission::Stage::default());
    let entry = Arc::new(Entry::new(node, stage.clone()));
    let (open, _) = watch::channel(());
    let (ended, end) = supervisor::Stop::channel();
    let log = tree.log().clone();
    for listener in [callers, ready] {
        let run = serve::run(
            listener,
            entry.clone(),
            bounds.clone(),
            stage.clone(),
            open.clone(),
            end.clone(),
            log.clone(),
        );
        tree.spawn_once(run.map(Ok));
    }
    let n = node.clone();
    tree.spawn("bounds", move |stop| follow_bounds(n.clone(), bounds_sender.clone(), stop));
    let grace = Duration::from_millis(node.settings.limits.grace);
    let mut stop = tree.stop_signal();
    tree.spawn_once(async move {
        stop.wait().await;
        let admission::Schedule { closing, end, cut } =
            admission::Schedule::new(time::Instant::now(), grace);
        stage_sender.send_replace(admission::Stage::Draining { end });
        time::sleep_until(closing).await;
        stage_sender.send_replace(admission::Stage::Closing { end });
        // The listeners stay open, as a balancer that has not noticed the stop still sends
        // requests.
        let _ = time::timeout_at(cut, open.closed()).await;
        ended.send_replace(true);
        Ok(())
    });
    node.spawn_contact(tree, &end);
    node.spawn_load_reports(tree, &end);
    node.spawn_limit_reports(tree);
    node.spawn_credit_reports(tree);
    Ok(end)
}

/// Applies the request limits of the configuration in force to the listeners.
async fn follow_bounds(
    node: node::Node,
    bounds: watch::Sender<routes::Bounds>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut changes = node.view.changes();
    loop {
        if let Some(active) = node.view.active_config() {
            let next = active.config.bounds;
            bounds.send_if_modified(|known| std::mem::replace(known, next) != next);
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return Ok(()) },
            () = stop.wait() => return Ok(()),
        }
    }
}

impl peer::Handler for Entry {
    fn cast(&self, from: &Arc<str>, message: frame::Cast) {
        handle_cast(&self.node, from, message);
    }

    fn call(&self, _request: wire::Request) -> BoxFuture<'static, wire::Reply> {
        async {
            wire::Reply::NotDone { reason: wire::Reason::Invalid, leader: None, run: wire::Run::No }
        }
        .boxed()
    }
}

/// Handles a message that every role understands; ignores the others.
pub fn handle_cast(node: &node::Node, from: &Arc<str>, message: frame::Cast) {
    match message {
        frame::Cast::Update(update) => {
            node.apply_update(update);
        }
        frame::Cast::ConfigAvailable(version) => node.handle_available_config(from, version),
        frame::Cast::Config(encoded) => node.apply_config(from, &encoded),
        frame::Cast::EntryLoad(load) => {
            node.view.loads(|l| l.record_entry_load(node.now(), from, load))
        }
        frame::Cast::OtherLoad(load) => {
            node.view.loads(|l| l.record_other_load(node.now(), from, load))
        }
        frame::Cast::LimitReport(report) => node.record_limit_report(from, report),
        frame::Cast::LimitGrants(grants) => node.apply_grants(from, grants),
        frame::Cast::CreditReport(report) => node.answer_credit_report(from, &report),
        frame::Cast::CreditGrants(grants) => node.apply_credit(from, &grants),
        frame::Cast::Stored(report) => node.view.record_stored(node.now(), from, report),
        frame::Cast::Replica(_)
        | frame::Cast::Announce(_)
        | frame::Cast::FetchConfig(_)
        | frame::Cast::Origins(_)
        | frame::Cast::RunOrders(_)
        | frame::Cast::RunReports(_) => {}
    }
}

/// Bytes of the head of a request, without what separates its fields.
fn head_bytes(head: &hyper::http::request::Parts) -> usize {
    let target = head.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    target + fields.sum::<usize>()
}

/// Returns the handler of frames from other hosts.
pub fn peer_handler(node: &node::Node) -> Arc<dyn peer::Handler> {
    let (_, stage) = watch::channel(admission::Stage::default());
    Arc::new(Entry::new(node, stage))
}

impl serve::Handler for Entry {
    fn handle(
        self: Arc<Self>,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> BoxFuture<'static, serve::Response> {
        async move { self.handle_request(request).await }.boxed()
    }
}

impl Entry {
    fn new(node: &node::Node, stage: deadline::StageReceiver) -> Entry {
        let memory = body::Memory::new(MAX_HELD_BODY_BYTES);
        Entry { node: node.clone(), memory, held: starting::held::Held::default(), stage }
    }

    /// Waits for a short time after the start of the process until this entry serves requests.
    ///
    /// # Errors
    /// The response to a request that arrives later, cannot wait or has waited in vain.
    async fn wait_for_start(
        &self,
        head: &hyper::http::request::Parts,
        id: &str,
    ) -> Result<(), serve::Response> {
        let node = &self.node;
        let mut held = None;
        while let Some(blocker) = node.start_blocker() {
            if self.stage.borrow().is_closing() {
                return Err(forward::refuse(node, id, forward::STOPPING));
            }
            let is_late = node.now() >= starting::MAX_WAIT;
            held = held.filter(|_| !is_late);
            if held.is_none() && !is_late {
                held = self.held.hold(head_bytes(head));
            }
            if held.is_none() {
                return Err(forward::refuse_start(node, id, blocker));
            }
            time::sleep(START_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits for a short time after the start of the process until an endpoint for a route is known.
    async fn wait_for_endpoint(&self, head: &hyper::http::request::Parts, route: &routes::Route) {
        let node = &self.node;
        let is_missing = || {
            let has_endpoint = |d: &directory::Directory, share: &routes::Share| {
                d.available_endpoints(&share.service).next().is_some()
            };
            node.view.directory(|d| !route.shares.iter().any(|s| has_endpoint(d, s)))
        };
        let is_due = || node.now() < starting::MAX_WAIT && !self.stage.borrow().is_closing();
        if !is_due() || !is_missing() {
            return;
        }
        let Some(_held) = self.held.hold(head_bytes(head)) else { return };
        while is_due() && is_missing() {
            time::sleep(START_POLL_INTERVAL).await;
        }
    }

    async fn handle_request(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> serve::Response {
        let arrived = time::Instant::now();
        let node = &self.node;
        let (mut head, body) = request.into_parts();
        let call = node.view.protocol().parse_call(&head.method, &head.uri);
        match call {
            Some(protocol::Call::Ready) => return self.readiness(),
            Some(protocol::Call::Results { job, after }) => {
                return self.job_results(&head, self.job_scope(&head, job).await, after).await;
            }
            Some(protocol::Call::ItemBody { job, item }) => {
                return self.item_body(self.job_scope(&head, job).await, item).await;
            }
            Some(protocol::Call::EndJob(job)) => {
                return self.end_job(self.job_scope(&head, job).await).await;
            }
            Some(protocol::Call::Malformed(problem)) => {
                return serve::response(StatusCode::BAD_REQUEST, format!("{problem}\n"));
            }
            Some(_) => return serve::response(StatusCode::NOT_FOUND, "not served by this role\n"),
            None => {}
        }
        let headers = node.view.protocol().headers();
        let id = head.headers.get(&headers.request_id).and_then(|v| v.to_str().ok());
        let id: Arc<str> = id.unwrap_or_default().into();
        if self.stage.borrow().is_closing() {
            return forward::refuse(node, &id, forward::STOPPING);
        }
        if let Err(response) = self.wait_for_start(&head, &id).await {
            return response;
        }
        let Some(active) = node.view.active_config() else {
            return forward::refuse_start(node, &id, starting::NO_CONFIG);
        };
        let host = head.headers.get(hyper::header::HOST).and_then(|v| v.to_str().ok());
        let Some(route) = active.config.find_route(host.unwrap_or_default(), head.uri.path())
        else {
            if !node.is_in_contact() {
                // A later version may have the route.
                return forward::refuse(node, &id, node::OUT_OF_CONTACT);
            }
            if node.is_newer_config_available(active.document.version) {
                return forward::refuse(node, &id, "a newer configuration has not arrived yet");
            }
            event!(node.log, events::REQUEST_REFUSED; "request" => &*id, "reason" => "no route",
                "version" => active.document.version, "path" => head.uri.path());
            return serve::response(StatusCode::NOT_FOUND, "no route\n");
        };
        let caller = match node.authenticate(&head.headers, &id, route.is_open).await {
            Ok(caller) => caller,
            Err(response) => return response,
        };
        if route.kind != routes::Kind::Batch {
            self.wait_for_endpoint(&head, route).await;
        }
        let workspaces = &active.config.workspaces;
        auth::remove_identity(workspaces, caller.as_ref(), headers, &mut head.headers);
        if id.is_empty() {
            return serve::response(StatusCode::BAD_REQUEST, "the request has no id\n");
        }
        let mut credit = None;
        if let Some(caller) = &caller
            && route.kind != routes::Kind::Batch
            && let Some(workspace) = active.config.workspaces.get(&caller.workspace)
            && let Some(quota) = &workspace.quota
        {
            match node.take_credit(caller, quota).await {
                exchange::Decision::Admitted(guard) => credit = Some(guard),
                exchange::Decision::Over { retry } => {
                    return forward::refuse_over(node, &id, &caller.workspace, retry);
                }
                exchange::Decision::Unknown { retry } => {
                    return forward::refuse_without_credit(node, &id, &caller.workspace, retry);
                }
            }
        }
        let limit = active.config.bounds.body_bytes;
        let terms = admission::Terms {
            limit: arrived + forward::time_limit(headers, &head.headers, route.timeout),
            repeatable: route.is_retryable(),
        };
        let deadline = deadline::Deadline::new(terms, self.stage.clone());
        // A body that stops arriving holds memory until the time of its request is over.
        let read = self.memory.read(body, limit);
        let read = deadline.run(admission::Progress::NotRun, Duration::MAX, read).await;
        let (body, memory) = match read {
            _ if deadline.is_too_late(admission::Progress::NotRun) => {
                return forward::refuse(node, &id, forward::STOPPING);
            }
            Ok(Ok(read)) => read,
            Ok(Err(body::Problem::NoMemory)) => {
                return forward::refuse(node, &id, "too many bodies are held");
            }
            Ok(Err(body::Problem::TooLong)) => {
                return serve::response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n");
            }
            Ok(Err(body::Problem::BrokenOff)) => {
                return serve::response(StatusCode::BAD_REQUEST, "the body breaks off\n");
            }
            Err(deadline::Passed) => {
                return forward::refuse(node, &id, "the body has not arrived in time");
            }
        };
        let route = route.clone();
        if let Some(caller) = caller.as_ref().filter(|_| route.kind == routes::Kind::Batch) {
            // The key may have been revoked while the body arrived. Other requests are checked again
            // before they are sent.
            if let Err(response) = node.recheck_caller(caller, &id).await {
                return response;
            }
        }
        let request = forward::Request {
            id,
            head,
            body,
            route,
            caller,
            credit,
            arrived,
            deadline,
            _memory: memory,
        };
        match request.route.kind {
            routes::Kind::Batch => self.submit_job(request, active.document.version).await,
            _ => forward::forward(node.clone(), request).await,
        }
    }

    fn readiness(&self) -> serve::Response {
        let node = &self.node;
        let usable = node.start_blocker().is_none()
            && node.view.directory(|d| d.endpoints().any(|e| e.phase == directory::Phase::Ready));
        match usable && self.stage.borrow().end().is_none() {
            true => serve::response(StatusCode::OK, "ready\n"),
            false => serve::response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    /// Job `id` as far as the caller may see it.
    async fn job_scope(&self, head: &hyper::http::request::Parts, id: Arc<str>) -> JobScope {
        let (caller, denial) = match self.node.identify(&head.headers, false).await {
            auth::Decision::Open => (None, None),
            auth::Decision::Admitted(caller) => (Some(caller), None),
            denial => (None, Some(denial)),
        };
        let owned = caller.and_then(|c| ledger::job_key(&id, Some(&c.workspace)));
        let keys = owned.into_iter().chain(ledger::job_key(&id, None)).collect();
        JobScope { id, keys, denial }
    }

    /// Response if the caller may see no such job. It is the same whether another workspace has a
    /// job with this id or not.
    fn unknown_job(&self, scope: &JobScope, text: &'static str) -> serve::Response {
        let denied = scope.denial.clone().map(|d| self.node.respond_to_key(d, &scope.id, None));
        match denied {
            Some(Err(response)) => response,
            _ => serve::response(StatusCode::NOT_FOUND, text),
        }
    }

    /// Ledger key of the job of a call, and its results from position `after`; `None` if the caller
    /// may see no such job.
    async fn find_job(
        &self,
        scope: &JobScope,
        after: u64,
    ) -> Result<Option<(Arc<str>, ledger::Page)>, groups::Failure> {
        for key in &scope.keys {
            let query = ledger::Query::Results { job: key.clone(), after };
            if let ledger::Answer::Page(page) = self.query_jobs(&query).await? {
                return Ok(Some((key.clone(), page)));
            }
        }
        Ok(None)
    }

    /// Ledger key of the job of a call; `None` if the caller may see no such job. Asks the job group
    /// only if there are several keys, or no caller: a call without a key must not fill its log.
    async fn find_key(&self, scope: &JobScope) -> Result<Option<Arc<str>>, groups::Failure> {
        match (&scope.keys[..], &scope.denial) {
            ([key], None) => Ok(Some(key.clone())),
            _ => Ok(self.find_job(scope, u64::MAX).await?.map(|(key, _)| key)),
        }
    }

    /// Deadline of a call about jobs that begins now and takes at most `limit`.
    fn job_deadline(&self, limit: Duration, repeatable: bool) -> deadline::Deadline {
        let terms = admission::Terms { limit: time::Instant::now() + limit, repeatable };
        deadline::Deadline::new(terms, self.stage.clone())
    }

    /// Waits for the job group, until the process ends.
    async fn until_end<T>(
        &self,
        call: impl Future<Output = Result<T, groups::Failure>>,
    ) -> Result<T, groups::Failure> {
        tokio::select! {
            biased;
            reply = call => reply,
            () = deadline::wait_for_end(self.stage.clone()) => Err(groups::Failure::Unknown),
        }
    }

    /// Reads from the job group.
    async fn query_jobs(&self, query: &ledger::Query) -> Result<ledger::Answer, groups::Failure> {
        self.until_end(self.node.groups.query(groups::JOBS, query, JOB_CALL_TIMEOUT)).await
    }

    /// Submits a job to the job group. `version` is that of the configuration with its route.
    async fn submit_job(&self, request: forward::Request, version: u64) -> serve::Response {
        let node = &self.node;
        let items = match node.view.protocol().parse_submission(&request.body) {
            Ok(items) if items.len() <= MAX_JOB_ITEMS => items,
            Ok(_) => return serve::response(StatusCode::BAD_REQUEST, "too many items\n"),
            Err(problem) => {
                return serve::response(StatusCode::BAD_REQUEST, format!("{problem}\n"));
            }
        };
        let route = &request.route;
        // The jobs of an open route are read without a key, so they belong to no workspace.
        let owner = request.caller.as_ref().filter(|_| !route.is_open);
        let Some(job) = ledger::job_key(&request.id, owner.map(|c| &*c.workspace)) else {
            return serve::response(StatusCode::BAD_REQUEST, "the id is no id of a job\n");
        };
        let names = node.view.protocol().headers();
        for item in &items {
            // Checks the request with a placeholder, as its endpoint is not known yet.
            match runner::request(names, &job, item, &route.host, "any", None) {
                // Logs a malformed prompt.
                Ok(request) => drop(node.request_prompt(request.headers(), &item.id)),
                Err(error) => {
                    let text = format!("item {} is no request: {error}\n", item.id);
                    return serve::response(StatusCode::BAD_REQUEST, text);
                }
            }
        }
        let rules = ledger::Rules {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            max_failures: route.max_attempts,
            due_ms: route.due.as_millis() as u64,
            max_wait_ms: route.max_wait.map(|p| p.as_millis() as u64),
        };
        let count = items.len();
        let items = items.into_iter().map(Arc::new).collect();
        let command = ledger::Command::SubmitUnder { version, job, rules, items };
        let headers = node.view.protocol().headers();
        let requested = forward::numeric_header(&request.head.headers, &headers.deadline);
        let limit = requested
            .map_or(JOB_CALL_TIMEOUT, |ms| JOB_CALL_TIMEOUT.min(Duration::from_millis(ms)));
        if self.job_deadline(limit, false).is_too_late(admission::Progress::NotRun) {
            return forward::refuse(node, &request.id, forward::STOPPING);
        }
        let proposed = node.groups.propose(groups::JOBS, &command, limit);
        match self.until_end(proposed).await {
            Ok(_) => {
                event!(node.log, events::JOB_ACCEPTED; "request" => &*request.id,
                    "items" => count);
                serve::response(StatusCode::ACCEPTED, "")
            }
            Err(groups::Failure::NotDone(reason)) => {
                slog::info!(node.log, "job not accepted"; "request" => &*request.id,
                    "reason" => %reason);
                forward::refuse(node, &request.id, "the store hosts cannot accept the job")
            }
            Err(groups::Failure::Unknown) => outcome_unknown(node, &request.id),
        }
    }

    /// Reads results of a job from position `after`. If there are none, waits for some as long as
    /// the caller allows.
    async fn job_results(
        &self,
        head: &hyper::http::request::Parts,
        scope: JobScope,
        after: u64,
    ) -> serve::Response {
        let node = &self.node;
        let headers = node.view.protocol().headers();
        let wait = forward::numeric_header(&head.headers, &headers.wait).unwrap_or(0);
        let deadline = self.job_deadline(Duration::from_millis(wait).min(MAX_RESULTS_WAIT), true);
        loop {
            let page = match self.find_job(&scope, after).await {
                Ok(Some((_, page))) => page,
                Ok(None) => return self.unknown_job(&scope, "no such job\n"),
                Err(_) => return forward::refuse(node, &scope.id, "the jobs cannot be read now"),
            };
            let timed_out = deadline.time_left() < RESULTS_POLL_INTERVAL;
            if !page.results.is_empty() || page.next >= page.total || timed_out {
                return serve::json_response(node.view.protocol().encode_page(&page));
            }
            time::sleep(RESULTS_POLL_INTERVAL).await;
        }
    }

    async fn item_body(&self, scope: JobScope, item: Arc<str>) -> serve::Response {
        let unknown = "no such item, or it is listed\n";
        let body = async {
            let Some(job) = self.find_key(&scope).await? else { return Ok(None) };
            self.query_jobs(&ledger::Query::Body { job, item }).await.map(Some)
        };
        match body.await {
            Ok(Some(ledger::Answer::Body(body))) => serve::response(StatusCode::OK, body),
            Ok(Some(_)) => serve::response(StatusCode::NOT_FOUND, unknown),
            Ok(None) => self.unknown_job(&scope, unknown),
            Err(_) => forward::refuse(&self.node, &scope.id, "the jobs cannot be read now"),
        }
    }

    async fn end_job(&self, scope: JobScope) -> serve::Response {
        let (node, id) = (&self.node, &scope.id);
        let job = match self.find_key(&scope).await {
            Ok(Some(job)) => job,
            Ok(None) => return self.unknown_job(&scope, "no such job\n"),
            Err(_) => return forward::refuse(node, id, "the job cannot be ended now"),
        };
        let command = ledger::Command::EndJob { job };
        let proposed = node.groups.propose(groups::JOBS, &command, JOB_CALL_TIMEOUT);
        match self.until_end(proposed).await {
            Ok(ledger::Reply::Done) => {
                event!(node.log, events::JOB_ENDED; "request" => &**id);
                serve::response(StatusCode::OK, "")
            }
            Ok(_) => self.unknown_job(&scope, "no such job\n"),
            Err(groups::Failure::NotDone(_)) => {
                forward::refuse(node, id, "the job cannot be ended now")
            }
            Err(groups::Failure::Unknown) => outcome_unknown(node, id),
        }
    }
}

/// Response when it is unknown whether a change was committed.
fn outcome_unknown(node: &node::Node, id: &str) -> serve::Response {
    event!(node.log, events::REQUEST_FAILED; "request" => id, "status" => 504,
        "reason" => "no quorum answered in time");
    serve::response(StatusCode::GATEWAY_TIMEOUT, "outcome unknown: no quorum answered in time\n")
}

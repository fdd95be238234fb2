//! Calls of operators and endpoints.

use crate::event;
use crate::events;
use crate::fleet::body;
use crate::fleet::control::BUILD_TIMEOUT;
use crate::fleet::control::CALL_TIMEOUT;
use crate::fleet::control::Control;
use crate::fleet::control::MAX_BODY_BYTES;
use crate::fleet::control::MAX_CALL_BYTES;
use crate::fleet::control::broadcast;
use crate::fleet::control::broadcast_records;
use crate::fleet::control::unnamed;
use crate::fleet::control_state;
use crate::fleet::deadline;
use crate::fleet::directory;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::ledger;
use crate::fleet::node;
use crate::fleet::origin;
use crate::fleet::peer;
use crate::fleet::protocol;
use crate::fleet::serve;
use crate::fleet::settings;
use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use hyper::StatusCode;
use std::sync::Arc;
use tokio::time;

impl serve::Handler for Control {
    fn handle(
        self: Arc<Self>,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> BoxFuture<'static, serve::Response> {
        async move {
            tokio::select! {
                biased;
                response = self.handle_request(request) => response,
                () = deadline::wait_for_end(self.stage.clone()) => {
                    let text = "the host stops; send it to another control host\n";
                    serve::response(StatusCode::SERVICE_UNAVAILABLE, text)
                }
            }
        }
        .boxed()
    }
}

impl Control {
    async fn handle_request(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> serve::Response {
        let (head, body) = request.into_parts();
        let call = self.node.view.protocol().parse_call(&head.method, &head.uri);
        let Some(call) = call else {
            return serve::response(StatusCode::NOT_FOUND, "no such call\n");
        };
        let limit = match call {
            protocol::Call::PutConfig => MAX_BODY_BYTES,
            _ => MAX_CALL_BYTES,
        };
        let (body, _reservation) = match self.memory.read(body, limit).await {
            Ok(read) => read,
            Err(body::Problem::NoMemory) => {
                let text = "other calls hold too much memory; send it again\n";
                return serve::response(StatusCode::SERVICE_UNAVAILABLE, text);
            }
            Err(body::Problem::TooLong) => {
                return serve::response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n");
            }
            Err(body::Problem::BrokenOff) => {
                return serve::response(StatusCode::BAD_REQUEST, "the body breaks off\n");
            }
        };
        match call {
            protocol::Call::Ready => serve::response(StatusCode::OK, "ready\n"),
            protocol::Call::Register(id) => self.register_endpoint(&id, &body).await,
            protocol::Call::Deregister(id) => self.deregister_endpoint(&id, &body),
            protocol::Call::PutConfig => self.put_config(&body).await,
            protocol::Call::GetConfig => self.get_config().await,
            protocol::Call::Retire(host) => self.start_retirement(&host).await,
            protocol::Call::RetireStatus(host) => self.retirement_status(&host).await,
            _ => serve::response(StatusCode::NOT_FOUND, "not served by this role\n"),
        }
    }

    async fn register_endpoint(&self, id: &str, body: &[u8]) -> serve::Response {
        let node = &self.node;
        let protocol = node.view.protocol();
        let endpoint = match protocol.parse_registration(id, body) {
            Ok(endpoint) => endpoint,
            Err(problem) => {
                event!(node.log, events::REGISTRATION_INVALID; "endpoint" => id,
                    "error" => %problem);
                return serve::response(StatusCode::BAD_REQUEST, format!("{problem}\n"));
            }
        };
        let active = node.view.active_config();
        let known = node.view.directory(|d| d.endpoint(id).cloned());
        let service = endpoint.service.clone();
        let is_ready = endpoint.phase == directory::Phase::Ready;
        let config = active.as_ref().map(|a| &a.config);
        let admission =
            peer::lock(&self.unnamed).admit(node.now(), config, known.as_ref(), endpoint);
        match admission {
            unnamed::Admission::Register(endpoint) => {
                if !self.store_endpoint(endpoint).await {
                    return self.unacknowledged(id, "its build cannot be recorded");
                }
            }
            unnamed::Admission::Kept { is_first } => {
                if is_first {
                    event!(node.log, events::REGISTRATION_KEPT; "endpoint" => id,
                        "service" => &*service, "version" => node.view.config_version());
                }
                if config.is_none() && !is_ready {
                    return self.unacknowledged(id, "no configuration is known");
                }
            }
        }
        if !node.is_in_contact() {
            return self.unacknowledged(id, node::OUT_OF_CONTACT);
        }
        serve::json_response(protocol.registration_reply())
    }

    /// Stores the registration of an endpoint and tells the other hosts if it changes anything.
    /// Returns `false` if its build cannot be recorded.
    pub(super) async fn store_endpoint(&self, endpoint: directory::Endpoint) -> bool {
        let node = &self.node;
        let build =
            origin::Origin { service: endpoint.service.clone(), build: endpoint.build.clone() };
        if endpoint.phase == directory::Phase::Ready && !self.commit_build(&build).await {
            return false;
        }
        let changed = node.view.directory(|d| d.register_endpoint(node.now(), endpoint.clone()));
        if changed {
            event!(node.log, events::ENDPOINT_CHANGED; "endpoint" => &*endpoint.id,
                "service" => &*endpoint.service, "address" => %endpoint.address,
                "phase" => ?endpoint.phase, "born" => endpoint.start_time, "seq" => endpoint.seq);
            node.view.notify_directory_changed();
            let records = directory::Records { endpoints: vec![endpoint], hosts: Vec::new() };
            broadcast_records(node, records);
        }
        true
    }

    /// Commits a build unless it is known to be committed, so that no endpoint of it gets a stream
    /// before. Returns whether it is committed.
    async fn commit_build(&self, build: &origin::Origin) -> bool {
        let node = &self.node;
        if node.view.has_build(build) {
            return true;
        }
        tokio::select! {
            biased;
            // After a start, the replica applies the builds on its disk without a leader. The turn may
            // be that of another build, which waits for one.
            () = node.view.wait_for_build(build) => true,
            is_committed = self.propose_build(build) => is_committed,
        }
    }

    /// Proposes a build once no other one is being proposed. Returns whether it was committed.
    async fn propose_build(&self, build: &origin::Origin) -> bool {
        let node = &self.node;
        // The endpoints of a release register at the same time.
        let turn = time::timeout(BUILD_TIMEOUT, self.build_turn.lock()).await;
        if turn.is_err() || node.view.has_build(build) {
            return turn.is_ok();
        }
        let command = control_state::Command::AddBuild(build.clone());
        match node.groups.propose(groups::CONTROL, &command, BUILD_TIMEOUT).await {
            Ok(ledger::Reply::Done) => {
                event!(node.log, events::BUILD_ADDED; "service" => &*build.service,
                    "build" => &*build.build);
                node.view.add_build(build.clone());
                true
            }
            reply => {
                event!(node.log, events::CHANGE_REFUSED; "step" => "add build",
                    "service" => &*build.service, "build" => &*build.build, "reason" => ?reply);
                false
            }
        }
    }

    /// Response to a registration or deregistration of which other hosts may not learn.
    fn unacknowledged(&self, endpoint: &str, reason: &str) -> serve::Response {
        event!(self.node.log, events::REGISTRATION_UNCONFIRMED; "endpoint" => endpoint,
            "reason" => reason);
        let text = format!("not acknowledged: {reason}; send it to another control host\n");
        serve::response(StatusCode::SERVICE_UNAVAILABLE, text)
    }

    fn deregister_endpoint(&self, id: &str, body: &[u8]) -> serve::Response {
        let node = &self.node;
        let start_time = node.view.protocol().parse_deregistration(body);
        peer::lock(&self.unnamed).remove(id);
        let left = node.view.directory(|d| d.deregister_endpoint(node.now(), id, start_time));
        event!(node.log, events::ENDPOINT_LEFT; "endpoint" => id, "known" => left.is_some());
        let start_time = start_time.or(left.map(|e| e.start_time));
        let update =
            frame::Update { departed: vec![(id.into(), start_time)], ..frame::Update::default() };
        node.view.notify_directory_changed();
        broadcast(node, &frame::Cast::Update(update));
        if !node.is_in_contact() {
            return self.unacknowledged(id, node::OUT_OF_CONTACT);
        }
        serve::response(StatusCode::OK, "")
    }

    async fn put_config(&self, body: &Bytes) -> serve::Response {
        let node = &self.node;
        let config = match node.view.protocol().parse_config(body) {
            Ok(config) => config,
            Err(problem) => {
                event!(node.log, events::CONFIG_INVALID; "error" => %problem);
                return serve::response(StatusCode::BAD_REQUEST, format!("{problem}\n"));
            }
        };
        let document = control_state::Document { version: config.version, text: body.clone() };
        let command = control_state::Command::Put(document);
        match node.groups.propose(groups::CONTROL, &command, CALL_TIMEOUT).await {
            Ok(_) => {
                event!(node.log, events::CHANGE_ACCEPTED; "version" => config.version);
                serve::response(StatusCode::OK, "")
            }
            Err(failure) => {
                event!(node.log, events::CHANGE_REFUSED; "version" => config.version,
                    "reason" => ?failure);
                serve::response(StatusCode::SERVICE_UNAVAILABLE, "no quorum; send it again\n")
            }
        }
    }

    async fn get_config(&self) -> serve::Response {
        let result = self
            .node
            .groups
            .query::<control_state::ControlState>(groups::CONTROL, &(), CALL_TIMEOUT)
            .await;
        match result {
            Ok(state) if state.document.version > 0 => {
                serve::json_response(state.document.text.to_vec())
            }
            _ => serve::response(StatusCode::SERVICE_UNAVAILABLE, "no confirmed configuration\n"),
        }
    }

    /// Starts to move the replicas off a store host. Refuses if too few store hosts would remain.
    async fn start_retirement(&self, name: &str) -> serve::Response {
        let node = &self.node;
        let (host, others) = node.view.directory(|d| {
            let others = d.present_hosts(node.now(), settings::Role::Store);
            let others = others.filter(|h| &*h.name != name).map(|h| h.link.clone());
            (d.host(name).cloned(), others.collect::<Vec<_>>())
        });
        let Some(host) = host.filter(|h| h.role == settings::Role::Store) else {
            return serve::response(StatusCode::NOT_FOUND, "no such store host\n");
        };
        let size = node.settings.fleet.group_size();
        if others.len() < size {
            return serve::response(
                StatusCode::CONFLICT,
                format!("{} store hosts would remain, {size} are needed\n", others.len()),
            );
        }
        let command = ledger::Command::RetireHost { host: host.link.clone() };
        match node.groups.propose(groups::JOBS, &command, CALL_TIMEOUT).await {
            Ok(_) => {
                event!(node.log, events::HOST_LEAVING; "name" => name, "link" => &*host.link);
                serve::response(StatusCode::OK, "")
            }
            Err(_) => {
                serve::response(StatusCode::SERVICE_UNAVAILABLE, "no quorum; send it again\n")
            }
        }
    }

    /// Reports whether a store host has been emptied: it holds no replica of the job group, and
    /// enough live voters exist on other hosts.
    async fn retirement_status(&self, name: &str) -> serve::Response {
        let node = &self.node;
        let Some(host) = node.view.directory(|d| d.host(name).cloned()) else {
            return serve::response(StatusCode::NOT_FOUND, "no such store host\n");
        };
        let Some(status) = node.groups.leader_status(groups::JOBS, CALL_TIMEOUT).await else {
            return serve::response(StatusCode::SERVICE_UNAVAILABLE, "no quorum; ask again\n");
        };
        let size = u32::try_from(node.settings.fleet.group_size()).unwrap_or(u32::MAX);
        let moved = status.settled && !status.hosts.contains(&host.link);
        let complete = moved && status.voters >= size && status.live >= size;
        serve::json_response(node.view.protocol().encode_retire_status(complete))
    }
}

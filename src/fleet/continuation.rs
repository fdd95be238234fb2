//! Finds out where a stream goes on that a caller takes up again.

use crate::event;
use crate::events;
use crate::fleet::forward;
use crate::fleet::node;
use crate::fleet::origin;
use crate::fleet::protocol;
use crate::fleet::routes;
use crate::fleet::serve;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;

/// Time after which the control group is asked for the builds of a stream whose origin no host has
/// told yet. Most origins are told before.
const CONFIRM_DELAY: Duration = Duration::from_millis(50);

/// Service and build at which a stream goes on.
pub(super) type Place = (Arc<str>, Arc<str>);

/// Finds the service and build at which a stream goes on. `service` is the one that its route
/// chooses.
///
/// # Errors
/// The response to send if the caller names the stream in a malformed way, or if no build is known.
pub(super) async fn find(
    node: &node::Node,
    request: &forward::Request,
    headers: &protocol::Headers,
    service: Arc<str>,
) -> Result<Place, serve::Response> {
    let stream = match named_stream(&request.head.headers, &headers.resumed_request) {
        Ok(stream) => stream,
        Err(problem) => {
            event!(node.log, events::REQUEST_REFUSED; "request" => &*request.id,
                "reason" => &problem);
            return Err(serve::response(StatusCode::BAD_REQUEST, format!("{problem}\n")));
        }
    };
    let find = async {
        match &stream {
            Some(stream) => node.find_origin(stream).await,
            None => None,
        }
    };
    let confirm = async {
        time::sleep(CONFIRM_DELAY).await;
        node.confirm_builds(&services(&request.route)).await
    };
    tokio::pin!(find, confirm);
    let (found, builds) = tokio::select! {
        biased;
        found = &mut find => match found {
            Some(found) => (Some(found), None),
            None => (None, confirm.await),
        },
        builds = &mut confirm => (find.await, builds),
    };
    let is_unknown =
        origin::continuation(found.clone(), builds.as_deref()) == origin::Continuation::Unknown;
    let found = match &stream {
        Some(stream) if is_unknown && builds.is_some() => node.find_late_origin(stream).await,
        _ => found,
    };
    let is_known = found.is_some();
    match origin::continuation(found, builds.as_deref()) {
        origin::Continuation::At(origin) => {
            event!(node.log, events::STREAM_TAKEN_UP; "request" => &*request.id,
                "stream" => stream.as_deref(), "service" => &*origin.service,
                "build" => &*origin.build, "recorded" => is_known);
            Ok(place(request, service, origin))
        }
        origin::Continuation::Unknown => {
            let reason = match builds {
                Some(_) => "the build that began the stream is not known",
                None => "the control hosts do not tell which build began the stream",
            };
            Err(forward::refuse(node, &request.id, reason))
        }
    }
}

/// Services to which a route leads.
fn services(route: &routes::Route) -> Vec<Arc<str>> {
    route.shares.iter().filter(|s| s.weight > 0).map(|s| s.service.clone()).collect()
}

/// Place of a stream of known origin. If the route leads to other services by now, the stream goes on
/// at `chosen`, one of them, if that has endpoints of the same build.
fn place(request: &forward::Request, chosen: Arc<str>, origin: origin::Origin) -> Place {
    let shares = &request.route.shares;
    match shares.iter().any(|s| s.service == origin.service && s.weight > 0) {
        true => (origin.service, origin.build),
        false => (chosen, origin.build),
    }
}

/// Id in the header that names the stream; `None` without the header.
fn named_stream(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Arc<str>>, String> {
    let mut values = headers.get_all(name).iter();
    let (Some(value), further) = (values.next(), values.next()) else { return Ok(None) };
    if further.is_some() {
        return Err(format!("{name}: the header names several streams"));
    }
    let is_word = |id: &&str| !id.is_empty() && id.bytes().all(|b| b.is_ascii_graphic());
    let id = value.to_str().ok().map(str::trim).filter(is_word);
    let problem = || format!("{name}: the id of the stream is not a word of visible characters");
    id.map(|id| Some(id.into())).ok_or_else(problem)
}

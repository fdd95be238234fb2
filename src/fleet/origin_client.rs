//! Sends the origins of streams to control hosts and asks for those of other entries.

use crate::fleet::builds;
use crate::fleet::control_state;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::node;
use crate::fleet::origin;
use crate::fleet::peer;
use crate::fleet::settings;
use crate::sorted;
use crate::wire;
use futures_util::StreamExt as _;
use futures_util::future;
use futures_util::stream;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;

/// Longest wait for the control hosts to tell where a stream began.
const FIND_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time after the first answers for which the origin of a stream is asked for again: the record
/// of an entry that was just lost may reach the control hosts after the question of another one.
const LATE_RECORD_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before the origin of a stream is asked for again.
const FIND_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait until the connections to the control hosts have taken the origin of a stream. They
/// usually take it within a millisecond.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest wait for a quorum of the control group to confirm the builds of a service.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);
/// Most origins in one message.
const MAX_RECORDS: usize = 1_000;

impl node::Node {
    /// Keeps the origin of a stream that a caller may take up again, here and at control hosts: one
    /// more than may be lost at the same time. Waits until the connections have taken it, so that it is
    /// not lost with this process, but not for long.
    pub(super) async fn keep_origin(&self, record: origin::Record) {
        let count = self.settings.fleet.losses + 1;
        let keepers = origin::keepers(&record.stream, self.reached_controls(), count);
        let cast = |keeper: &Arc<str>| {
            self.peers.cast_tracked(keeper, frame::Cast::Origins(vec![record.clone()]))
        };
        let written = future::join_all(keepers.iter().map(cast));
        peer::lock(&self.origins).insert(self.now(), record.clone());
        // A record that is not written in time, or is dropped, leaves the stream as it is.
        let _ = time::timeout(WRITE_TIMEOUT, written).await;
    }

    /// Finds out where a stream began that no host knew when it was first asked for; `None` if none
    /// learns of it in time.
    pub(super) async fn find_late_origin(&self, stream: &Arc<str>) -> Option<origin::Origin> {
        let find = async {
            loop {
                time::sleep(FIND_INTERVAL).await;
                if let Some(found) = self.find_origin(stream).await {
                    return found;
                }
            }
        };
        time::timeout(LATE_RECORD_TIMEOUT, find).await.ok()
    }

    /// Finds out where a stream began; `None` if no host that answers in time knows.
    pub(super) async fn find_origin(&self, stream: &Arc<str>) -> Option<origin::Origin> {
        if let Some(own) = peer::lock(&self.origins).find(self.now(), stream) {
            return Some(own.origin);
        }
        let ask = |control: Arc<str>| async move {
            let request = wire::Request::FindOrigin { stream: stream.clone() };
            match self.peers.call(&control, request, FIND_TIMEOUT).await {
                Ok(wire::Reply::Origin(found)) => found,
                _ => None,
            }
        };
        let mut answers: stream::FuturesUnordered<_> =
            self.reached_controls().into_iter().map(ask).collect();
        let first = async {
            while let Some(answer) = answers.next().await {
                if let Some(found) = answer {
                    return Some(found.origin);
                }
            }
            None
        };
        time::timeout(FIND_TIMEOUT, first).await.unwrap_or_default()
    }

    /// Builds of the services that can have begun a stream before this call, as confirmed by a quorum
    /// of the control group; `None` if none answers in time.
    pub(super) async fn confirm_builds(
        &self,
        services: &[Arc<str>],
    ) -> Option<Vec<origin::Origin>> {
        let query = control_state::Query::Builds;
        let answer = self.groups.query(groups::CONTROL, &query, CONFIRM_TIMEOUT).await;
        let confirmed: builds::Builds = answer.ok()?;
        let of_services = confirmed.all().iter().filter(|b| services.contains(&b.service));
        Some(of_services.cloned().collect())
    }

    /// Control hosts that answer on the connection from here. An entry reaches the seeds before its
    /// first directory arrives.
    fn reached_controls(&self) -> Vec<Arc<str>> {
        let mut controls = self.view.controls();
        controls.retain(|c| self.peers.is_connected(c));
        controls
    }

    /// Sends the origins that this entry keeps to control hosts that have started or can be reached
    /// again. `informed` holds the start time of each one that has them.
    pub(super) fn repeat_origins(&self, informed: &mut sorted::SortedMap<Arc<str>, u64>) {
        if self.settings.host.role != settings::Role::Entry {
            return;
        }
        let controls: Vec<(Arc<str>, u64)> = self.view.directory(|d| {
            d.hosts(settings::Role::Control).map(|h| (h.link.clone(), h.start_time)).collect()
        });
        informed.retain(|control, _| self.peers.is_connected(control));
        for (control, start_time) in controls {
            if informed.get(&control) == Some(&start_time) || !self.peers.is_connected(&control) {
                continue;
            }
            let records = peer::lock(&self.origins).records(self.now());
            for part in records.chunks(MAX_RECORDS) {
                self.peers.cast(&control, frame::Cast::Origins(part.to_vec()));
            }
            informed.insert(control, start_time);
        }
    }
}

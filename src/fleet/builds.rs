//! Builds of the services that endpoints have registered, as durable state of the control group. Free
//! of I/O.
//!
//! A stream whose origin no host knows may go on only if a single build can have begun it. A host
//! cannot tell this from its own directory: one that was cut off, or a fleet that has just been
//! restarted, knows some endpoints and not others. So the first endpoint of a build is taken into the
//! directory only after the build is committed here. Whoever asks the group after a caller has come
//! back, and gets an answer that a quorum confirms, learns of each build that can have begun a stream.
//!
//! Builds are as rare as releases. The group is asked only when a caller comes back whose stream
//! is not recorded.

use crate::fleet::origin;
use crate::sorted;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Most builds that are kept. Endpoints of further ones are refused: their builds are told apart by a
/// name that endpoints choose, which must not fill the log.
const MAX_BUILDS: usize = 1_000;

/// Builds whose endpoints may be in the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Builds {
    /// Service and build, sorted.
    known: Vec<origin::Origin>,
}

impl Builds {
    /// Adds a build. Returns whether it is known afterwards.
    pub fn add(&mut self, build: origin::Origin) -> bool {
        let Err(at) = self.known.binary_search(&build) else { return true };
        let has_room = self.known.len() < MAX_BUILDS;
        if has_room {
            self.known.insert(at, build);
        }
        has_room
    }

    /// Removes builds of which there has been no endpoint for long.
    pub fn remove(&mut self, builds: &[origin::Origin]) {
        self.known.retain(|known| !builds.contains(known));
    }

    /// Whether a build is known.
    pub fn contains(&self, build: &origin::Origin) -> bool {
        self.known.binary_search(build).is_ok()
    }

    /// All builds, sorted by service.
    pub fn all(&self) -> &[origin::Origin] {
        &self.known
    }
}

/// Builds without an endpoint, as seen by the leader of the control group.
#[derive(Debug, Default)]
pub struct UnusedBuilds {
    /// Time since which each has had none.
    since: sorted::SortedMap<origin::Origin, Duration>,
}

impl UnusedBuilds {
    /// Returns the builds out of `known` that have had no endpoint for longer than a caller may come
    /// back for a stream. `is_used` tells whether a build has an endpoint now.
    pub fn expired(
        &mut self,
        now: Duration,
        known: &[origin::Origin],
        is_used: impl Fn(&origin::Origin) -> bool,
    ) -> Vec<origin::Origin> {
        self.since.retain(|build, _| known.contains(build) && !is_used(build));
        let unused = known.iter().filter(|build| !is_used(build));
        let mut expired = unused.cloned().collect::<Vec<_>>();
        expired.retain(|build| {
            let since = *self.since.entry_or(build.clone(), || now);
            now.saturating_sub(since) > origin::MAX_RETENTION
        });
        expired
    }

    /// Starts over, since this host does not lead.
    pub fn clear(&mut self) {
        self.since.clear();
    }
}

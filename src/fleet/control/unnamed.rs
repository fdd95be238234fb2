//! Registrations of services that the configuration does not name. Free of I/O.
//!
//! Any program on the network may register an endpoint. A service that no configuration names gets no
//! requests, so its registrations claim neither an id nor an address, and its builds are not committed.
//! They are kept for a while, since a configuration that names the service may arrive a moment later.

use crate::fleet::directory;
use crate::fleet::routes;
use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Most registrations that are kept.
const MAX_KEPT: usize = 256;
/// Time for which a registration is kept. Endpoints register again about once a second.
const RETENTION: Duration = Duration::from_secs(10);

/// What to do with a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It belongs into the directory.
    Register(directory::Endpoint),
    /// It is kept until its service is named.
    Kept {
        /// Whether no other registration of this id and service is kept.
        is_first: bool,
    },
}

#[derive(Clone, Debug)]
struct Kept {
    endpoint: directory::Endpoint,
    at: Duration,
}

/// Registrations that wait until their service is named.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    /// By id and service, so that another writer does not displace the registration of an endpoint.
    kept: sorted::SortedMap<(Arc<str>, Arc<str>), Kept>,
}

impl Registrations {
    /// Keeps a registration unless the configuration names its service, or the endpoint is in the
    /// directory from the time when one did and has to be able to leave.
    pub fn admit(
        &mut self,
        now: Duration,
        config: Option<&routes::Config>,
        known: Option<&directory::Endpoint>,
        endpoint: directory::Endpoint,
    ) -> Admission {
        let is_known = known.is_some_and(|k| k.service == endpoint.service);
        if is_known || config.is_some_and(|c| c.service(&endpoint.service).is_some()) {
            return Admission::Register(endpoint);
        }
        self.kept.retain(|_, kept| now.saturating_sub(kept.at) < RETENTION);
        let key = (endpoint.id.clone(), endpoint.service.clone());
        let order = |e: &directory::Endpoint| (e.start_time, e.seq);
        let former = self.kept.get(&key).map(|kept| order(&kept.endpoint));
        if former.is_none() && self.kept.len() >= MAX_KEPT {
            let oldest = self.kept.iter().min_by_key(|(_, kept)| kept.at).map(|(k, _)| k.clone());
            oldest.and_then(|oldest| self.kept.remove(&oldest));
        }
        if former.is_none_or(|former| former <= order(&endpoint)) {
            self.kept.insert(key, Kept { endpoint, at: now });
        }
        Admission::Kept { is_first: former.is_none() }
    }

    /// Takes out the registrations whose services the configuration names, in the order in which they
    /// arrived.
    pub fn take_named(
        &mut self,
        now: Duration,
        config: &routes::Config,
    ) -> Vec<directory::Endpoint> {
        let mut named = Vec::new();
        self.kept.retain(|(_, service), kept| {
            let is_named = config.service(service).is_some();
            let is_recent = now.saturating_sub(kept.at) < RETENTION;
            if is_named && is_recent {
                named.push(kept.clone());
            }
            is_recent && !is_named
        });
        named.sort_by_key(|kept| kept.at);
        named.into_iter().map(|kept| kept.endpoint).collect()
    }

    /// Forgets the registrations under an id, which has deregistered.
    pub fn remove(&mut self, id: &str) {
        self.kept.retain(|(kept, _), _| **kept != *id);
    }

    /// Number of registrations that are kept.
    pub fn count(&self) -> usize {
        self.kept.len()
    }
}

//! Deterministic choice of the subset of endpoints that one entry uses.
//!
//! Rendezvous hashing gives every pair of entry and agent a fixed weight. An agent that joins or
//! leaves therefore changes at most one endpoint in each part of a subset (the entry's own failure
//! domain and the others), and the subsets of different entries are spread evenly over the agents.

use crate::router;
use std::cmp::Reverse;
use std::sync::Arc;
use xxhash_rust::xxh3;

/// One in this many endpoints of a subset is reserved for other failure domains, so that the entry
/// still has endpoints when its own failure domain is lost.
const RESERVED_DIVISOR: usize = 4;

/// Distance between an entry and an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same failure domain.
    SameDomain,
    /// Same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// Name and location of an entry.
#[derive(Clone, Debug)]
pub struct Location {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Failure domain of the entry.
    pub domain: Arc<str>,
    /// Region of the entry, taken from a candidate in its failure domain. `None` until there has
    /// been one.
    pub region: Option<Arc<str>>,
}

impl Location {
    /// Returns the distance to a candidate.
    pub fn distance_to(&self, candidate: &router::Candidate) -> Distance {
        if candidate.domain == self.domain {
            Distance::SameDomain
        } else if self.region.as_ref() == Some(&candidate.region) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Returns the rendezvous hashing weight of `agent` for the entry `name`.
pub fn weight(name: &str, agent: &str) -> u64 {
    xxh3::xxh3_64_with_seed(agent.as_bytes(), xxh3::xxh3_64(name.as_bytes()))
}

/// Chooses up to `size` of the candidates that serve `model`: those in the failure domain of the
/// entry first, apart from the reserved part, then the nearest others.
pub fn choose<'a>(
    from: &Location,
    candidates: &'a [router::Candidate],
    model: &str,
    size: usize,
) -> Vec<&'a router::Candidate> {
    let serving = candidates.iter().filter(|c| c.models.iter().any(|m| **m == *model));
    let mut ranked: Vec<_> = serving
        .map(|c| {
            ((from.distance_to(c), Reverse(weight(&from.entry, &c.agent)), c.agent.clone()), c)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| a.0.cmp(&b.0));
    let own = ranked.partition_point(|(key, _)| key.0 == Distance::SameDomain);
    let others = ranked.len() - own;
    let reserved = (size / RESERVED_DIVISOR).min(others);
    let taken = own.min(size - reserved);
    let own = ranked[..taken].iter();
    let others = ranked[ranked.len() - others..].iter();
    own.chain(others).take(size).map(|(_, candidate)| *candidate).collect()
}

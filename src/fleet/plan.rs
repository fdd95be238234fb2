//! Decides which items of batch jobs run where; free of I/O.
//!
//! Answers the load pattern of online bursts of a few seconds over steady batch work: items use
//! the slots that online requests leave, and give them back as soon as online requests need them.

use crate::fleet::load;
use std::sync::Arc;

/// Slots of an endpoint that items leave free, so that the first requests of a burst start before
/// any item has stopped.
const RESERVE: u32 = 1;

/// Endpoint with what runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run there; `own` are the items of this host.
    pub running: load::Running,
    /// Whether it takes new items.
    pub open: bool,
}

impl Place {
    fn allowed(&self) -> u32 {
        self.slots.saturating_sub(self.running.online + self.running.batch)
    }

    fn free(&self) -> u32 {
        self.allowed().saturating_sub(self.running.own + RESERVE)
    }

    fn excess(&self) -> u32 {
        self.running.own.saturating_sub(self.allowed())
    }
}

/// Item that waits, in order of urgency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Position in the caller's list.
    pub index: usize,
    /// Service that runs it.
    pub service: Arc<str>,
}

/// Item that runs at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Position in the caller's list.
    pub index: usize,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Order of urgency; higher is less urgent.
    pub order: u64,
}

/// What to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Waiting items to start, with the id of the endpoint.
    pub start: Vec<(usize, Arc<str>)>,
    /// Running items to stop; they go on later from where they were.
    pub stop: Vec<usize>,
}

/// Plans the next step.
pub fn plan(mut places: Vec<Place>, waiting: &[Waiting], running: &[Running]) -> Plan {
    let mut plan = Plan::default();
    for place in &mut places {
        let excess = place.excess() as usize;
        let here = running.iter().filter(|r| r.endpoint == place.id);
        let mut here: Vec<&Running> = here.collect();
        here.sort_by_key(|r| std::cmp::Reverse(r.order));
        plan.stop.extend(here.iter().take(excess).map(|r| r.index));
    }
    for item in waiting {
        let fits = |p: &&mut Place| p.open && p.service == item.service && p.free() > 0;
        let Some(place) = places.iter_mut().filter(fits).max_by_key(|p| p.free()) else {
            continue;
        };
        place.running.own += 1;
        plan.start.push((item.index, place.id.clone()));
    }
    plan
}

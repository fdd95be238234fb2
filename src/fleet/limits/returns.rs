//! Decides when refused callers return to a service with limited endpoints. Free of I/O.
//!
//! Designed for more requests than the limits allow, over many seconds. Callers that all return after
//! about the same time meet each other and are refused again. So they return one after the other, at
//! the rate that the endpoints take.

use crate::sorted;
use std::sync::Arc;
use std::time::Duration;

/// Shortest time after which a caller returns.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest time after which a caller returns. Callers wait for a part of their time only.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Times at which the callers of one host return, by service.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    next: sorted::SortedMap<Arc<str>, Duration>,
}

impl Returns {
    /// Time after which a caller that is refused now should return. The callers of the service return
    /// at intervals of `interval`, as far as they can; `random` is a random number from 0 to 1.
    pub fn pause(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        interval: Duration,
        random: f64,
    ) -> Duration {
        let earliest = now + MIN_PAUSE;
        let next = self.next.entry_or(service.clone(), || earliest);
        let at = (*next).max(earliest);
        if at > now + MAX_PAUSE {
            // More callers return than the endpoints take in that time.
            return MIN_PAUSE + (MAX_PAUSE - MIN_PAUSE).mul_f64(random);
        }
        *next = at + interval;
        at - now
    }
}

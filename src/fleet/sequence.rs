//! Order of the events of one answer. Free of I/O.

use crate::fleet::sse;
use std::sync::Arc;

/// Checks that the events of one answer follow each other. Endpoints number events without gaps, from
/// 1 or from the one after which they were asked to go on. The result does not depend on how the bytes
/// of the answer are split into segments.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    /// Number of the last numbered event of this answer.
    previous: Option<u64>,
    /// Why the answer is not read any further.
    failure: Option<Arc<str>>,
}

impl Sequence {
    /// Checks the next event of the answer. `last` is the number of the last event that the receiver
    /// has, from this answer or an earlier one. Returns whether the event is new to the receiver.
    ///
    /// # Errors
    /// Why the event does not belong there. Each later call fails as well.
    pub fn check(&mut self, last: Option<u64>, event: &sse::Event) -> Result<bool, Arc<str>> {
        self.result()?;
        match self.position(last, event) {
            Ok(is_new) => Ok(is_new),
            Err(failure) => {
                self.failure = Some(failure.clone());
                Err(failure)
            }
        }
    }

    /// Whether all events so far belong to the answer.
    ///
    /// # Errors
    /// Why one does not.
    pub fn result(&self) -> Result<(), Arc<str>> {
        self.failure.clone().map_or(Ok(()), Err)
    }

    /// Whether an answer that ends here has brought all events up to `last`, the last one that the
    /// receiver has. One without numbered events has nothing to add to them.
    ///
    /// # Errors
    /// Why its end says nothing about what follows `last`.
    pub fn check_end(&self, last: Option<u64>) -> Result<(), Arc<str>> {
        match self.previous {
            Some(previous) if Some(previous) < last => {
                Err("the answer ends within events that it repeats".into())
            }
            _ => Ok(()),
        }
    }

    fn position(&mut self, last: Option<u64>, event: &sse::Event) -> Result<bool, Arc<str>> {
        // An endpoint may write the head or text of an error in place of an event.
        if event.is_malformed() {
            return Err("bytes that are no event".into());
        }
        let Some(id) = event.id else { return Ok(true) };
        let follows = match self.previous {
            Some(previous) => Some(id) == previous.checked_add(1),
            // An endpoint that goes on may repeat events that the receiver has.
            None => id <= last.map_or(1, |last| last.saturating_add(1)),
        };
        if !follows {
            return Err(match self.previous.or(last) {
                Some(previous) => format!("event {id} follows event {previous}").into(),
                None => format!("the stream begins with event {id}").into(),
            });
        }
        self.previous = Some(id);
        Ok(last.is_none_or(|last| id > last))
    }
}

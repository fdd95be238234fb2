//! Shares equal texts. Decoding allocates every name separately, and most of them repeat: the
//! template, the parameters' names and the operator.

use crate::sorted::SortedMap;
use std::sync::Arc;

/// Most texts that are kept; beyond it the pool starts anew, and later texts are shared again.
const LIMIT: usize = 1_000;

/// Texts that have been seen.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    texts: SortedMap<Arc<str>, ()>,
}

impl Pool {
    /// Replaces a text by an equal one that is already allocated.
    pub fn share(&mut self, text: &mut Arc<str>) {
        let at = self.texts.range_from(&**text).next().map(|(known, _)| known);
        if let Some(known) = at.filter(|known| *known == text) {
            *text = known.clone();
            return;
        }
        if self.texts.len() == LIMIT {
            self.texts.clear();
        }
        self.texts.insert(text.clone(), ());
    }
}

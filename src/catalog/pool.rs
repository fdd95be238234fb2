//! Shares equal strings. Decoding allocates every name separately, and most of them repeat: the
//! template, the parameters' names and the operator.

use crate::sorted::SortedMap;
use std::sync::Arc;

/// Most texts that are kept; beyond it the pool starts anew, and later texts are shared again.
const MAX_STRINGS: usize = 1_000;

/// Texts that have been seen.
#[derive(Clone, Debug, Default)]
pub struct StringPool {
    strings: SortedMap<Arc<str>, ()>,
}

impl StringPool {
    /// Replaces a text by an equal one that is already allocated.
    pub fn intern(&mut self, text: &mut Arc<str>) {
        let at = self.strings.range_from(&**text).next().map(|(known, _)| known);
        if let Some(known) = at.filter(|known| *known == text) {
            *text = known.clone();
            return;
        }
        if self.strings.len() == MAX_STRINGS {
            self.strings.clear();
        }
        self.strings.insert(text.clone(), ());
    }
}

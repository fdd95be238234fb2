//! String interning. Decoding allocates every string separately, although most of them repeat:
//! names of templates, parameters and operators.

use crate::sorted::SortedMap;
use std::sync::Arc;

/// Largest number of strings in the pool. A further string clears the pool, and later strings are
/// interned anew.
const MAX_STRINGS: usize = 1_000;

/// Pool of interned strings.
#[derive(Clone, Debug, Default)]
pub struct StringPool {
    strings: SortedMap<Arc<str>, ()>,
}

impl StringPool {
    /// Replaces a string by an equal one of the pool, or adds it to the pool.
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

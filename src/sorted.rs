//! Map on a sorted vector with binary search.
//!
//! Suits the state of this system: keys are mostly inserted in ascending order, reads outnumber
//! writes, and the serialized form is the plain sequence of pairs.

use serde::Deserialize;
use serde::Serialize;
use std::borrow::Borrow;

/// Map whose pairs are kept in one vector, sorted by key.
///
/// Look-up is O(log n). Insertion is O(1) amortized for ascending keys and O(n) otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SortedMap<K, V> {
    pairs: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        SortedMap { pairs: Vec::new() }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Returns an empty map.
    pub fn new() -> Self {
        SortedMap::default()
    }

    /// Number of pairs.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether the map holds no pair.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    fn find<Q>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        // Ascending insertion is the common case: compare with the last key first.
        match self.pairs.last() {
            Some((last, _)) if last.borrow() < key => Err(self.pairs.len()),
            None => Err(0),
            _ => self.pairs.binary_search_by(|(k, _)| k.borrow().cmp(key)),
        }
    }

    /// Returns the value of `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|at| &self.pairs[at].1)
    }

    /// Returns the value of `key` for modification.
    pub fn get_mut<Q>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|at| &mut self.pairs[at].1)
    }

    /// Whether `key` is present.
    pub fn contains<Q>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).is_ok()
    }

    /// Stores `value` under `key` and returns the value it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.pairs[at].1, value)),
            Err(at) => {
                self.pairs.insert(at, (key, value));
                None
            }
        }
    }

    /// Returns the value of `key`, inserting the result of `make` if it is absent.
    pub fn entry_or(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let at = match self.find(&key) {
            Ok(at) => at,
            Err(at) => {
                self.pairs.insert(at, (key, make()));
                at
            }
        };
        &mut self.pairs[at].1
    }

    /// Removes `key` and returns its value.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|at| self.pairs.remove(at).1)
    }

    /// Removes every pair.
    pub fn clear(&mut self) {
        self.pairs.clear();
    }

    /// Keeps only the pairs for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.pairs.retain_mut(|(k, v)| keep(k, v));
    }

    /// Iterates over the pairs in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.pairs.iter().map(|(k, v)| (k, v))
    }

    /// Iterates over the pairs in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.pairs.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.pairs.iter().map(|(k, _)| k)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.pairs.iter().map(|(_, v)| v)
    }

    /// Iterates in key order over the pairs whose key is at least `from`.
    pub fn range_from<Q>(&self, from: &Q) -> impl DoubleEndedIterator<Item = (&K, &V)>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let at = self.find(from).unwrap_or_else(|at| at);
        self.pairs[at..].iter().map(|(k, v)| (k, v))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(iter: I) -> Self {
        let mut map = SortedMap::new();
        for (k, v) in iter {
            map.insert(k, v);
        }
        map
    }
}

//! Suggestions of similar names for error messages.

use std::sync::Arc;

/// Largest number of suggestions.
const MAX_SUGGESTIONS: usize = 3;

/// Returns the known names whose edit distance to `name` is at most a third of its length, or 2 if
/// that is more, and less than the length of the known name. The nearest come first. `name` itself
/// is not among them.
pub fn names<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Vec<Arc<str>> {
    let limit = (name.chars().count() / 3).max(2);
    let mut near: Vec<(usize, &str)> = known
        .map(|k| (distance(name, k), k))
        .filter(|(d, k)| (1..=limit).contains(d) && *d < k.chars().count())
        .collect();
    near.sort_unstable();
    near.dedup();
    near.into_iter().take(MAX_SUGGESTIONS).map(|(_, k)| k.into()).collect()
}

/// Suffix of an error message that lists suggestions; empty if there are none.
pub fn hint(names: &[Arc<str>]) -> String {
    match names {
        [] => String::new(),
        names => format!("; similar: {}", names.join(", ")),
    }
}

/// Levenshtein distance in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substitute = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substitute.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

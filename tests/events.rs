//! The catalogue of log events and its page `docs/events.md`.

use basilfield::events;

/// Guards against an event that is missing from the page for operators, and against a reused
/// number.
#[test]
fn catalogue_matches_page() {
    let page = include_str!("../docs/events.md");
    assert_eq!(page, events::catalogue_page(), "regenerate with: basilfield check --events");
    let numbers: Vec<u16> = events::ALL.iter().map(|(e, _)| e.number).collect();
    assert!(numbers.windows(2).all(|w| w[0] < w[1]), "numbers ascend: {numbers:?}");
}

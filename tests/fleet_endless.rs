//! Endpoints in trouble that send bytes without end, until their caller closes the connection.

use basilfield::fleet::sse;
use std::time::Duration;
use std::time::Instant;

/// Guards against complete events that count towards the limit on an incomplete one.
#[test]
fn complete_events_do_not_count_as_a_long_one() {
    let mut splitter = sse::Splitter::default();
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(1_000));
    let many = event.repeat(2_000);
    let pushed = splitter.push(many.as_bytes());
    let mut count = 0;
    while splitter.next_event().is_some() {
        count += 1;
    }
    // The start of an event that never ends.
    let rest = splitter.push(&vec![b'a'; 1 << 20]);
    let more = splitter.push(b"a");
    insta::assert_snapshot!(format!("{pushed:?} {count} {rest:?} {more:?}"), @"Ok(()) 2000 Ok(()) Err(TooLong)");
}

/// Guards against processor time that grows with the square of the number of events that arrive
/// together.
#[test]
fn many_short_events_are_split_in_time() {
    let mut splitter = sse::Splitter::default();
    splitter.push(&b"data:\n\n".repeat(100_000)).expect("short events");
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < Duration::from_secs(5) && splitter.next_event().is_some() {
        count += 1;
    }
    assert_eq!((count, splitter.remainder().len()), (100_000, 0));
}

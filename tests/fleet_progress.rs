//! Stored and unstored output of items, compared with a list of all their events.

use basilfield::fleet::progress;
use proptest::prelude::*;

/// Step in the run of an item.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An event arrives, with data of this length.
    Event(usize),
    /// The unstored output is sent to the ledger.
    Send,
    /// The ledger has stored the output that was sent.
    Stored,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![(0usize..4).prop_map(Step::Event), Just(Step::Send), Just(Step::Stored)]
}

proptest! {
    /// Guards against output that is lost, repeated or out of order because more events arrive
    /// while a part is being stored.
    #[test]
    fn stored_parts_form_the_whole_output(steps in proptest::collection::vec(step(), 0..60)) {
        let key = ("job".into(), "item".into());
        let mut progress = progress::Progress::default();
        let (mut all, mut stored) = (Vec::new(), Vec::new());
        let mut sent = None;
        for step in steps.into_iter().chain([Step::Stored, Step::Send, Step::Stored]) {
            match step {
                Step::Event(len) => {
                    let id = all.len() as u64;
                    let data = format!("{id}{}", "x".repeat(len));
                    progress.add_event(data.as_bytes(), Some(id));
                    all.push(data);
                }
                Step::Send if sent.is_none() && progress.events > progress.stored_events => {
                    sent = Some(progress.unstored_chunk(&key).chunk);
                }
                Step::Send => {}
                Step::Stored => {
                    let Some(chunk) = sent.take() else { continue };
                    prop_assert_eq!(chunk.after, stored.len() as u64);
                    let text = String::from_utf8(chunk.data.to_vec()).expect("text");
                    stored.extend(text.split('\n').map(String::from));
                    prop_assert_eq!(chunk.events, stored.len() as u64);
                    progress.mark_stored(chunk.events, chunk.data.len());
                }
            }
        }
        prop_assert_eq!(&stored, &all);
        prop_assert_eq!(progress.last_event, all.len().checked_sub(1).map(|last| last as u64));
    }
}

/// Guards against one output over the limit that prevents the output of other items from being
/// stored.
#[test]
fn long_output_does_not_block_others() {
    let item = |id: &str, len: usize| {
        let mut progress = progress::Progress::default();
        progress.add_event(&vec![b'x'; len], Some(1));
        (("job".into(), id.into()), progress)
    };
    let items: Vec<(progress::ItemKey, progress::Progress)> =
        vec![item("a", 40), item("b", 101), item("c", 60), item("d", 1)];
    let chunks =
        progress::unstored_chunks(items.iter().map(|(key, progress)| (key, progress)), 100);
    let ids: Vec<&str> = chunks.iter().map(|(key, _)| &*key.1).collect();
    assert_eq!(ids, ["a", "c"]);
}

/// Guards against output of two builds in one item, and against an item that starts over at the
/// build that began it.
#[test]
fn item_starts_over_at_another_build() {
    let (key, mut item) = (("j".into(), "a".into()), progress::Progress::default());
    let mut seen = Vec::new();
    // An item without output may run anywhere.
    for build in ["v1", "v2"] {
        seen.push(format!("{} {:?}", item.prepare_run(&build.into()), item.build()));
    }
    item.add_event(b"1", Some(1));
    for build in ["v2", "v3", "v3"] {
        let over = item.prepare_run(&build.into());
        item.add_event(build.as_bytes(), item.last_event.map_or(Some(1), |last| Some(last + 1)));
        let part = item.unstored_chunk(&key);
        let text = String::from_utf8_lossy(&part.chunk.data).replace('\n', "/");
        seen.push(format!("{over} {} {} {text}", part.generation.number, part.chunk.events));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    false None
    false None
    false 0 2 1/v2
    true 1 1 v3
    false 1 2 v3/v3
    ");
}

/// Guards against output without end that fills the memory of the leader or the ledger, also if it
/// arrives so slowly that most of it is stored.
#[test]
fn endless_output_is_noticed() {
    let mut seen = Vec::new();
    for store in [false, true] {
        let mut progress = progress::Progress::default();
        while !progress.is_too_long() {
            progress.add_event(&[b'a'; 65_535], None);
            if store {
                progress.mark_stored(progress.events, progress.unstored_bytes());
            }
        }
        let unstored = progress.unstored_bytes();
        seen.push(format!("{} stored, {unstored} not stored", progress.stored_bytes));
    }
    insta::assert_snapshot!(seen.join("; "), @"0 stored, 1114111 not stored; 8454143 stored, 0 not stored");
}

/// Guards against output that counts as complete by answers that do not show it, or that never does: an
/// answer that ends at the same event confirms the end of one with events, no run can go on after an
/// event without an id, and answers without any event confirm nothing after one that broke off.
#[test]
fn unconfirmed_end_completes_output() {
    let mut seen = Vec::new();
    let steps: [(&str, &[u64], &[bool]); 5] = [
        ("nothing", &[], &[false, false, false]),
        ("confirmed", &[1, 2], &[true, false]),
        ("more events", &[3], &[true, true]),
        ("one without events", &[4], &[false, true, false]),
        ("broken off", &[5], &[false, false]),
    ];
    let mut item = progress::Progress::default();
    for (name, events, ends) in steps {
        events.iter().for_each(|id| item.add_event(b"data", Some(*id)));
        let ends = ends.iter().map(|has_events| format!("{:?}", item.record_open_end(*has_events)));
        seen.push(format!("{name}: {}", ends.collect::<Vec<_>>().join(" ")));
    }
    let mut item = progress::Progress::default();
    item.add_event(b"data", None);
    seen.push(format!("no id: {:?}", item.record_open_end(true)));
    insta::assert_snapshot!(seen.join("\n"), @r"
    nothing: Unconfirmed Unconfirmed Unconfirmed
    confirmed: Unconfirmed Confirmed
    more events: Unconfirmed Confirmed
    one without events: Unconfirmed Unconfirmed Confirmed
    broken off: Unconfirmed StartsOver
    no id: Confirmed
    ");
}

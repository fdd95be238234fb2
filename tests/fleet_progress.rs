//! Output of an item that has arrived, against a list of all its events.

use basilfield::fleet::progress;
use proptest::prelude::*;

/// What happens to an item while it runs.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An event arrives, with data of this length.
    Event(usize),
    /// A part is sent to be stored.
    Send,
    /// The part that was sent is stored.
    Stored,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![(0usize..4).prop_map(Step::Event), Just(Step::Send), Just(Step::Stored)]
}

proptest! {
    /// Guards against output that is lost, repeated or out of order when parts of it are stored
    /// while more arrives.
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
                    progress.add(data.as_bytes(), Some(id));
                    all.push(data);
                }
                Step::Send if sent.is_none() && progress.events > progress.stored => {
                    sent = Some(progress.advance(&key));
                }
                Step::Send => {}
                Step::Stored => {
                    let Some(advance) = sent.take() else { continue };
                    prop_assert_eq!(advance.after, stored.len() as u64);
                    let text = String::from_utf8(advance.data.to_vec()).expect("text");
                    stored.extend(text.split('\n').map(String::from));
                    prop_assert_eq!(advance.events, stored.len() as u64);
                    progress.settle(advance.events, advance.data.len());
                }
            }
        }
        prop_assert_eq!(&stored, &all);
        prop_assert_eq!(progress.last, all.len().checked_sub(1).map(|last| last as u64));
    }
}

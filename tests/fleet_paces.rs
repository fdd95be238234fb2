//! What entries learn of the pace and the failures of endpoints.

use basilfield::fleet::placement::pace;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

const SLOTS: u32 = 8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Fleet {
    paces: pace::Paces,
    ids: Vec<Arc<str>>,
    now: Duration,
    seen: String,
}

impl Fleet {
    fn new() -> Fleet {
        let ids = ["a", "b", "c", "d"].map(Arc::from).to_vec();
        let mut fleet =
            Fleet { paces: pace::Paces::default(), ids, now: ms(0), seen: String::new() };
        fleet.start(1);
        fleet
    }

    /// Sends a request to each endpoint, of which `d` has started at `start`.
    fn start(&mut self, start: u64) {
        for id in &self.ids {
            let start = if **id == *"d" { start } else { 1 };
            self.paces.record_sent(self.now, id, start, &"s".into());
        }
    }

    /// Lets each endpoint answer `count` times; `d` has the given pace in milliseconds.
    fn answer(&mut self, count: u32, running: u32, pace: u64) {
        for _ in 0..count {
            self.now += ms(500);
            for id in &self.ids {
                let pace = ms(if **id == *"d" { pace } else { 30 });
                self.paces.record_pace(self.now, (id, 1), (running, SLOTS), pace);
                self.paces.record_end(self.now, id, false);
            }
        }
    }

    fn compare(&mut self, name: &str) {
        self.now += ms(500);
        let findings = self.paces.compare(self.now);
        let deviations = self.paces.deviations().iter();
        let deviations: Vec<String> =
            deviations.map(|d| format!("{} {:?} {}", d.id, d.speeds, d.failing)).collect();
        writeln!(self.seen, "{name}: {deviations:?} {findings:?}").expect("a string");
    }
}

/// Guards against a slow endpoint that is not found or not forgotten, a former start whose responses
/// count for the present one, and endpoints that deviate because all slow down with their load.
#[test]
fn slow_endpoints_are_found() {
    let mut fleet = Fleet::new();
    fleet.answer(3, 0, 75);
    fleet.compare("too few responses");
    fleet.answer(3, 0, 75);
    fleet.compare("slow");
    fleet.start(2);
    fleet.answer(6, 0, 75);
    fleet.compare("other start");
    fleet.start(1);
    fleet.answer(6, 0, 75);
    fleet.compare("slow again");
    fleet.answer(60, 0, 30);
    fleet.compare("recovered after half a minute");
    fleet.answer(8, 7, 60);
    fleet.compare("slow when full");
    fleet.paces.retain(|id| id != "d");
    fleet.compare("left");
    insta::assert_snapshot!(fleet.seen, @r#"
    too few responses: [] []
    slow: ["d [6, 6, 6, 6] false"] [("d", Slow)]
    other start: [] []
    slow again: ["d [6, 6, 6, 6] false"] [("d", Slow)]
    recovered after half a minute: [] [("d", NoLongerSlow)]
    slow when full: ["d [16, 13, 13, 8] false"] [("d", Slow)]
    left: [] []
    "#);
}

/// Guards against an outage or a single failure that makes an endpoint failing, and against one that
/// fails a part of its requests and is not found, or not after its recovery.
#[test]
fn failing_endpoints_are_found() {
    let mut fleet = Fleet::new();
    fleet.answer(10, 0, 30);
    for _ in 0..20 {
        fleet.now += ms(10);
        fleet.paces.record_end(fleet.now, "d", true);
    }
    fleet.compare("outage");
    for _ in 0..3 {
        fleet.answer(3, 0, 30);
        fleet.paces.record_end(fleet.now, "d", true);
    }
    fleet.compare("each fourth fails");
    fleet.answer(30, 0, 30);
    fleet.compare("fifteen seconds without a failure");
    fleet.answer(240, 0, 30);
    fleet.compare("two minutes without a failure");
    insta::assert_snapshot!(fleet.seen, @r#"
    outage: [] []
    each fourth fails: ["d [16, 16, 16, 16] true"] [("d", Failing)]
    fifteen seconds without a failure: ["d [16, 16, 16, 16] true"] []
    two minutes without a failure: [] [("d", NoLongerFailing)]
    "#);
}

/// Guards against bursts of events that are taken for a fast pace, and few events for any.
#[test]
fn pace_is_that_of_further_events() {
    let pace = |events: &[(u64, u32)]| {
        let mut timing = pace::Timing::default();
        events.iter().for_each(|(at, count)| timing.record(ms(*at), *count));
        timing.pace()
    };
    let seen = [
        pace(&[]),
        pace(&[(100, 5)]),
        pace(&[(100, 1), (130, 1), (160, 1)]),
        pace(&[(100, 1), (130, 1), (160, 1), (190, 1), (500, 0)]),
        pace(&[(100, 2), (190, 3)]),
    ];
    insta::assert_snapshot!(format!("{seen:?}"), @"[None, None, None, Some(30ms), Some(30ms)]");
}

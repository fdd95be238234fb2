//! Which hosts send requests to endpoints with limits, in simulated time.

#[path = "../platform/mod.rs"]
mod platform;

use basilfield::fleet::limits;
use basilfield::fleet::protocol;
use basilfield::fleet::protocol::Protocol as _;
use limits::EndpointStart;
use limits::Rate;
use limits::grantor;
use limits::quota;
use limits::returns;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const SERVICE: &str = "a";
/// Step of the simulated time; entries and leaders act at their own intervals.
const STEP: u64 = 5;
const REPORT_INTERVAL: u64 = 10;
const GRANT_INTERVAL: u64 = 15;
const PLAN_INTERVAL: u64 = 25;
/// Time for which a request waits.
const PATIENCE: u64 = 180;
const WINDOW: u64 = 4_000;
/// Requests beyond the limit in one window: one that was due at its begin, and one that was granted
/// before it and sent late.
const MAX_EXCESS: f64 = 2.0;

fn fleet_headers() -> protocol::Headers {
    platform::Platform::default().headers().clone()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(n: usize) -> EndpointStart {
    EndpointStart::new(&format!("i-{n}").into(), 1)
}

/// Message under way.
enum Message {
    Report(usize, limits::Report),
    Grants(usize, limits::Grants),
}

struct Entry {
    link: Arc<str>,
    quota: quota::Quota,
    waiting: VecDeque<u64>,
    /// Whether messages to and from it are lost.
    cut_off: bool,
}

/// Fleet whose endpoints all have limits, under more requests than they take.
struct Sim {
    now: u64,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    /// Limit of each endpoint in requests a second.
    rates: Vec<f64>,
    /// Requests a second in all.
    load: f64,
    /// Share of the messages that are lost.
    loss: f64,
    grantor: Option<grantor::Grantor>,
    leader: Arc<str>,
    epoch: u64,
    messages: Vec<(u64, Message)>,
    /// Whether items wait all the time.
    has_items: bool,
    /// Time and endpoint of each request that was sent, and whether it was an item.
    sent: Vec<(u64, usize, bool)>,
    /// Time at which each online request came.
    arrivals: Vec<u64>,
    refused: usize,
    sent_messages: usize,
}

impl Sim {
    fn new(entries: usize, rates: &[f64], load: f64) -> Sim {
        let entry = |n| Entry {
            link: format!("entry-{n}").into(),
            quota: quota::Quota::default(),
            waiting: VecDeque::new(),
            cut_off: false,
        };
        let mut sim = Sim {
            now: 10_000,
            rng: ChaCha8Rng::seed_from_u64(7),
            entries: (0..entries).map(entry).collect(),
            rates: rates.to_vec(),
            load,
            loss: 0.0,
            grantor: None,
            leader: "none".into(),
            epoch: 0,
            messages: Vec::new(),
            has_items: false,
            sent: Vec::new(),
            arrivals: Vec::new(),
            refused: 0,
            sent_messages: 0,
        };
        sim.lead("store-1");
        sim.state_limits();
        sim
    }

    /// Makes a host the leader that knows of no limit.
    fn lead(&mut self, leader: &str) {
        self.epoch += 1;
        let term = limits::Term { start_time: 1, epoch: self.epoch };
        self.leader = leader.into();
        self.grantor = Some(grantor::Grantor::new(ms(self.now), term, std::iter::empty()));
    }

    /// Makes a host the leader that knows of the limits, as it has been told by the former one.
    fn succeed(&mut self, leader: &str) {
        let known: Vec<_> = self.rates.iter().enumerate().collect();
        let known: Vec<_> =
            known.iter().map(|(n, rate)| (start(*n), Rate::from_per_second(**rate))).collect();
        self.lead(leader);
        let term = limits::Term { start_time: 1, epoch: self.epoch };
        let known = known.iter().map(|(endpoint, rate)| (endpoint, *rate));
        self.grantor = Some(grantor::Grantor::new(ms(self.now), term, known));
    }

    /// An answer tells the first entry the limit of each endpoint.
    fn state_limits(&mut self) {
        let now = ms(self.now);
        for (n, rate) in self.rates.iter().enumerate() {
            let rate = Some(Rate::from_per_second(*rate));
            self.entries[0].quota.record_statement(now, &start(n), rate, now, 0.5);
        }
    }

    fn post(&mut self, entry: usize, message: Message) {
        self.sent_messages += 1;
        if !self.entries[entry].cut_off && self.rng.random::<f64>() >= self.loss {
            let delay = self.rng.random_range(1..10);
            self.messages.push((self.now + delay, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        let due: Vec<(u64, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Report(entry, report) => {
                    let link = self.entries[entry].link.clone();
                    if let Some(grantor) = &mut self.grantor {
                        grantor.record_report(ms(now), &link, report);
                    }
                }
                Message::Grants(entry, grants) => {
                    let (leader, rng) = (self.leader.clone(), &mut self.rng);
                    self.entries[entry]
                        .quota
                        .apply(ms(now), &leader, grants, || rng.random::<f64>());
                }
            }
        }
    }

    /// Sends requests that wait at an entry as far as it has permission.
    fn send_waiting(&mut self, entry: usize) {
        let now = ms(self.now);
        let state = &mut self.entries[entry];
        for n in 0..self.rates.len() {
            while !state.waiting.is_empty()
                && state.quota.allowance(now, &start(n)).is_some_and(|n| n > 0)
            {
                assert!(state.quota.take(now, &start(n)), "it was allowed");
                state.waiting.pop_front();
                self.sent.push((self.now, n, false));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let arrivals = self.load * STEP as f64 / 1_000.0;
        let mut count = arrivals as u64;
        count += u64::from(self.rng.random::<f64>() < arrivals.fract());
        for _ in 0..count {
            let entry = self.rng.random_range(0..self.entries.len());
            self.entries[entry].waiting.push_back(self.now);
            self.arrivals.push(self.now);
        }
        for entry in 0..self.entries.len() {
            let waiting = self.entries[entry].waiting.len();
            let earliest = self.now.saturating_sub(PATIENCE);
            self.entries[entry].waiting.retain(|since| *since >= earliest);
            self.refused += waiting - self.entries[entry].waiting.len();
            self.send_waiting(entry);
            if self.now.is_multiple_of(REPORT_INTERVAL) {
                self.report(entry);
            }
        }
        if self.now.is_multiple_of(GRANT_INTERVAL) {
            self.grant();
        }
        if self.now.is_multiple_of(PLAN_INTERVAL) && self.has_items {
            self.plan_items();
        }
    }

    fn report(&mut self, entry: usize) {
        let (now, entries) = (ms(self.now), self.entries.len());
        let state = &mut self.entries[entry];
        state.quota.set_entries(u32::try_from(entries).expect("few"));
        let count = u32::try_from(state.waiting.len()).expect("few");
        let want = limits::Want { service: SERVICE.into(), build: None, count };
        let wanted = if count > 0 { vec![want] } else { Vec::new() };
        if let Some(report) = state.quota.next_report(now, 1, wanted) {
            self.post(entry, Message::Report(entry, report));
        }
    }

    fn grant(&mut self) {
        let room = |n| grantor::EndpointRoom {
            endpoint: start(n),
            service: SERVICE.into(),
            build: "v1".into(),
            domain: "d".into(),
            free: 8,
            yielding: 8,
        };
        let rooms: Vec<_> = (0..self.rates.len()).map(room).collect();
        let member = |e: &Entry| grantor::Member {
            link: e.link.clone(),
            start_time: 1,
            domain: "d".into(),
            is_entry: true,
        };
        let members: Vec<_> = self.entries.iter().map(member).collect();
        let Some(grantor) = &mut self.grantor else { return };
        for (link, grants) in grantor.grant(ms(self.now), &rooms, &members) {
            let entry = self.entries.iter().position(|e| e.link == link).expect("member");
            self.post(entry, Message::Grants(entry, grants));
        }
    }

    fn plan_items(&mut self) {
        let Some(grantor) = &mut self.grantor else { return };
        grantor.set_waiting_items(&[SERVICE.into()]);
        for n in 0..self.rates.len() {
            while grantor.item_allowance(SERVICE, &start(n)).is_some_and(|n| n > 0) {
                assert!(grantor.take_item(ms(self.now), SERVICE, &start(n)), "it was allowed");
                self.sent.push((self.now, n, true));
            }
        }
    }

    fn run(&mut self, length: u64) {
        let end = self.now + length;
        while self.now < end {
            self.step();
        }
    }

    /// Largest excess over the limit of an endpoint in any window that begins at `from` or later, in
    /// requests.
    fn excess(&self, from: u64) -> f64 {
        let of_endpoint = |n: usize| {
            let times: Vec<u64> =
                self.sent.iter().filter(|(at, e, _)| *e == n && *at >= from).map(|s| s.0).collect();
            let count = |at: &u64| times.iter().filter(|t| *t >= at && **t < at + WINDOW).count();
            let most = times.iter().map(count).max().unwrap_or(0);
            most as f64 - self.rates[n] * WINDOW as f64 / 1_000.0
        };
        (0..self.rates.len()).map(of_endpoint).fold(0.0, f64::max)
    }

    /// Share of what the endpoints take that was sent between two times.
    fn used(&self, from: u64, to: u64) -> f64 {
        let sent = self.sent.iter().filter(|(at, ..)| (from..to).contains(at)).count();
        sent as f64 / (self.rates.iter().sum::<f64>() * (to - from) as f64 / 1_000.0)
    }

    /// Plays `length` and describes what was sent.
    fn play(&mut self, name: &str, length: u64) -> String {
        let (from, messages) = (self.now, self.sent_messages);
        self.run(length);
        let used = self.used(from, self.now);
        let per_second = (self.sent_messages - messages) as f64 * 1_000.0 / length as f64;
        assert!(self.excess(from) <= MAX_EXCESS, "{name}: excess {}", self.excess(from));
        let per_second = per_second / self.entries.len() as f64;
        format!("{name}: used {}, messages {}", level(used), level(per_second / 100.0))
    }
}

/// A share as a word, so that the random draws do not show.
fn level(share: f64) -> &'static str {
    match share {
        s if s < 0.05 => "next to nothing",
        s if s < 0.3 => "little",
        s if s < 0.8 => "a part",
        _ => "nearly all",
    }
}

/// Guards against limits that are exceeded by many entries together, that few or many entries cannot
/// use, and against messages that grow with the traffic.
#[test]
fn limit_is_exceeded_or_not_used() {
    let mut seen = Vec::new();
    for (entries, endpoints, load) in
        [(4, 6, 40.0), (4, 6, 400.0), (88, 6, 40.0), (88, 60, 400.0), (88, 60, 2_000.0)]
    {
        let mut sim = Sim::new(entries, &vec![2.7; endpoints], load);
        sim.run(1_000);
        let name = format!("{entries} entries, {endpoints} endpoints, {load} requests a second");
        seen.push(sim.play(&name, 8_000));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    4 entries, 6 endpoints, 40 requests a second: used nearly all, messages little
    4 entries, 6 endpoints, 400 requests a second: used nearly all, messages a part
    88 entries, 6 endpoints, 40 requests a second: used nearly all, messages little
    88 entries, 60 endpoints, 400 requests a second: used nearly all, messages little
    88 entries, 60 endpoints, 2000 requests a second: used nearly all, messages a part
    ");
}

/// Guards against limits that are exceeded, or hardly used, because messages are lost.
#[test]
fn lost_messages_exceed_the_limit() {
    let mut seen = Vec::new();
    for entries in [4, 88] {
        let mut sim = Sim::new(entries, &[2.7; 6], 60.0);
        sim.loss = 0.2;
        sim.run(1_500);
        seen.push(sim.play(&format!("{entries} entries"), 12_000));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    4 entries: used a part, messages a part
    88 entries: used a part, messages little
    ");
}

/// Guards against limits that are exceeded while no host grants requests and when another one begins,
/// and against entries that stop for good without one.
#[test]
fn change_of_leader_exceeds_the_limit() {
    let mut seen = Vec::new();
    for entries in [4, 88] {
        let mut sim = Sim::new(entries, &[2.7; 6], 60.0);
        sim.run(2_000);
        let from = sim.now;
        sim.run(3_000);
        for n in 0..3 {
            sim.grantor = None;
            sim.run(3_000);
            sim.lead(&format!("store-{}", 2 + n));
            sim.run(3_000);
        }
        assert!(sim.excess(from) <= MAX_EXCESS, "excess {}", sim.excess(from));
        let between = sim.used(from + 4_500, from + 6_000);
        let after = sim.used(sim.now - 2_000, sim.now);
        seen.push(format!("{entries} entries: {} between, {} after", level(between), level(after)));
        sim.grantor = None;
        seen.push(sim.play(&format!("{entries} entries, no leader"), 40_000));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    4 entries: a part between, nearly all after
    4 entries, no leader: used a part, messages little
    88 entries: little between, nearly all after
    88 entries, no leader: used little, messages next to nothing
    ");
}

/// Guards against an entry that sends freely, or stops for good, while it is cut off from the leader.
#[test]
fn entry_that_is_cut_off_exceeds_the_limit() {
    let mut sim = Sim::new(4, &[2.7; 6], 60.0);
    sim.run(2_000);
    for entry in 0..2 {
        sim.entries[entry].cut_off = true;
    }
    let from = sim.now;
    sim.run(3_000);
    let mut seen = vec![sim.play("two of four are cut off", 12_000)];
    for entry in 0..2 {
        sim.entries[entry].cut_off = false;
    }
    sim.run(2_000);
    seen.push(sim.play("they are back", 8_000));
    assert!(sim.excess(from) <= MAX_EXCESS, "excess {}", sim.excess(from));
    insta::assert_snapshot!(seen.join("\n"), @r"
    two of four are cut off: used a part, messages little
    they are back: used nearly all, messages a part
    ");
}

/// Guards against items that starve behind online requests, or that go before them.
#[test]
fn items_starve_behind_online_requests() {
    let mut seen = Vec::new();
    for load in [0.0, 2.0, 60.0] {
        let mut sim = Sim::new(4, &[2.7; 6], load);
        sim.has_items = true;
        sim.run(2_000);
        let from = sim.now;
        seen.push(sim.play(&format!("{load} requests a second"), 12_000));
        let sent: Vec<bool> = sim.sent.iter().filter(|s| s.0 >= from).map(|s| s.2).collect();
        let items = sent.iter().filter(|is_item| **is_item).count();
        seen.push(format!("items: {}", level(items as f64 / sent.len() as f64)));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    0 requests a second: used nearly all, messages little
    items: nearly all
    2 requests a second: used nearly all, messages little
    items: nearly all
    60 requests a second: used nearly all, messages a part
    items: little
    ");
}

/// Guards against a limit that is raised or ended by an answer that is older than what a host knows.
#[test]
fn late_answer_raises_a_limit() {
    let mut quota = quota::Quota::default();
    let rate = |r: f64| Some(Rate::from_per_second(r));
    let mut seen = Vec::new();
    for (at, stated, sent) in [
        (100, rate(3.0), 50),
        (110, rate(4.0), 90),
        (120, None, 95),
        (130, rate(2.0), 60),
        (200, rate(4.0), 150),
        (300, None, 250),
        (310, rate(4.0), 240),
        (400, rate(0.0), 350),
    ] {
        quota.record_statement(ms(at), &start(0), stated, ms(sent), 0.5);
        let known = quota.rate(&start(0)).map(|r| r.to_string());
        seen.push(format!("{at}: {}", known.as_deref().unwrap_or("none")));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    100: 3 a second
    110: 3 a second
    120: 3 a second
    130: 2 a second
    200: 4 a second
    300: none
    310: none
    400: 0 a second
    ");
}

/// Guards against statements of several hosts that arrive in another order than they were made, and
/// against a limit that stays after its end.
#[test]
fn statements_cross_each_other() {
    let term = limits::Term { start_time: 1, epoch: 1 };
    let mut grantor = grantor::Grantor::new(ms(0), term, std::iter::empty());
    let mut seen = Vec::new();
    for (rate, basis) in [
        (None, 0),
        (Some(3.0), 0),
        (Some(4.0), 0),
        (Some(2.0), 0),
        (None, 1),
        (Some(5.0), 2),
        (None, 2),
        (None, 3),
        (Some(5.0), 3),
        (Some(5.0), 4),
    ] {
        let rate = rate.map(Rate::from_per_second);
        let statement = limits::Statement { endpoint: start(0), rate, basis };
        let changed = grantor.record_statement(ms(10), &statement);
        let rate = rate.map(|r| r.to_string());
        let rate = rate.as_deref().unwrap_or("none");
        seen.push(format!("{rate} on {basis}: {changed} {}", grantor.version(&start(0))));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    none on 0: false 0
    3 a second on 0: true 1
    4 a second on 0: false 1
    2 a second on 0: true 2
    none on 1: false 2
    5 a second on 2: true 3
    none on 2: false 3
    none on 3: true 4
    5 a second on 3: false 4
    5 a second on 4: true 5
    ");
}

/// Guards against refused callers that all return at the same moment, or later than they wait.
#[test]
fn refused_callers_return_together() {
    let mut returns = returns::Returns::default();
    let (service, interval) = (Arc::from(SERVICE), ms(200));
    let pauses: Vec<u128> =
        (0..12).map(|n| returns.pause(ms(n), &service, interval, 0.5).as_millis()).collect();
    insta::assert_snapshot!(format!("{pauses:?}"), @"[250, 449, 648, 847, 1046, 1245, 1444, 875, 875, 875, 875, 875]");
}

/// Guards against values that are taken for a limit although they are none, and limits of an answer to
/// another request.
#[test]
fn unusable_limits_are_obeyed() {
    let names = fleet_headers();
    let read = |values: &[&str], status: u16, echo: &str| {
        let mut answer = hyper::Response::builder().status(status);
        answer = answer.header(names.request_id.clone(), echo);
        for value in values {
            answer = answer.header(names.limit.clone(), *value);
        }
        let head = answer.body(()).expect("answer").into_parts().0;
        format!("{values:?} {status} {echo}: {:?}", limits::notice::read(&names, &head, "r1"))
    };
    let numbers = ["2.7", "0", " 3 ", "1000000000000000000000000", ".5", "0.0004"];
    let others = ["", ".", "-1", "+1", "1e3", "inf", "NaN", "two", "2,7"];
    let mut seen: Vec<String> =
        numbers.iter().chain(&others).map(|value| read(&[value], 200, "r1")).collect();
    seen.push(read(&[], 200, "r1"));
    seen.push(read(&["1", "2"], 200, "r1"));
    seen.push(read(&["1"], 200, "r2"));
    seen.push(read(&["1"], 421, "r1"));
    seen.push(read(&["1"], 503, "r1"));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    ["2.7"] 200 r1: Limit(Rate { millihertz: 2700 })
    ["0"] 200 r1: Limit(Rate { millihertz: 0 })
    [" 3 "] 200 r1: Limit(Rate { millihertz: 3000 })
    ["1000000000000000000000000"] 200 r1: Limit(Rate { millihertz: 18446744073709551615 })
    [".5"] 200 r1: Limit(Rate { millihertz: 500 })
    ["0.0004"] 200 r1: Limit(Rate { millihertz: 0 })
    [""] 200 r1: Unusable("the limit is not a decimal number")
    ["."] 200 r1: Unusable("the limit is not a decimal number")
    ["-1"] 200 r1: Unusable("the limit is not a decimal number")
    ["+1"] 200 r1: Unusable("the limit is not a decimal number")
    ["1e3"] 200 r1: Unusable("the limit is not a decimal number")
    ["inf"] 200 r1: Unusable("the limit is not a decimal number")
    ["NaN"] 200 r1: Unusable("the limit is not a decimal number")
    ["two"] 200 r1: Unusable("the limit is not a decimal number")
    ["2,7"] 200 r1: Unusable("the limit is not a decimal number")
    [] 200 r1: Absent
    ["1", "2"] 200 r1: Unusable("the header is repeated")
    ["1"] 200 r2: Unusable("the answer does not name the request")
    ["1"] 421 r1: Unusable("the answer is from another endpoint")
    ["1"] 503 r1: Limit(Rate { millihertz: 1000 })
    "#);
}

/// Time for which a limit is known before requests count that are not sent.
const SETTLED: u64 = 3_000;

/// Plays 30 s with endpoints that state 0, while `load` requests a second come to `entries` and items
/// wait or not. `disturb` acts once each second. Returns what is seen: the time from the first request
/// or item that waits after [`SETTLED`] to the first that is sent after it.
fn first_trial(
    entries: usize,
    load: f64,
    has_items: bool,
    mut disturb: impl FnMut(&mut Sim, u64),
) -> &'static str {
    /// Requests that an endpoint may get in a window beyond its limit.
    const MAX_ALLOWED: f64 = 5.0;
    let mut sim = Sim::new(entries, &[0.0; 6], load);
    sim.has_items = has_items;
    sim.succeed("store-0");
    let from = sim.now;
    for second in 0..30 {
        disturb(&mut sim, second);
        sim.run(1_000);
    }
    let most = sim.excess(from);
    assert!(most <= MAX_ALLOWED, "{most} requests in a window");
    let settled = from + SETTLED;
    let arrived = sim.arrivals.iter().find(|at| **at >= settled).copied();
    let begin = if has_items { settled } else { arrived.unwrap_or(settled) };
    match sim.sent.iter().find(|(at, ..)| *at >= begin) {
        Some((at, ..)) if at - begin <= PATIENCE => "at once",
        Some((at, ..)) if at - begin <= 3_000 => "within 3 s",
        Some(_) => "late",
        None => "never",
    }
}

/// Guards against endpoints that state 0 for a while and then get no request from which anybody could
/// learn that the limit has ended: without items or without online requests, with few online
/// requests, beside changes of the leader, without contact, and while messages are lost.
#[test]
fn limit_of_zero_never_ends() {
    type Disturb = fn(&mut Sim, u64);
    let calm: Disturb = |_, _| {};
    let turnover: Disturb = |sim, second| {
        if second % 2 == 1 {
            sim.succeed(&format!("store-{second}"));
        }
    };
    let lossy: Disturb = |sim, _| sim.loss = 0.3;
    let cut_off: Disturb = |sim, _| sim.entries.iter_mut().for_each(|e| e.cut_off = true);
    let leaderless: Disturb = |sim, _| sim.grantor = None;
    let cases: [(&str, usize, f64, bool, Disturb); 10] = [
        ("items alone", 4, 0.0, true, calm),
        ("online alone", 4, 40.0, false, calm),
        ("both", 88, 40.0, true, calm),
        ("few online requests", 4, 0.5, false, calm),
        ("few at many entries", 88, 0.5, false, calm),
        ("leaders change, items alone", 4, 0.0, true, turnover),
        ("leaders change, few online requests", 4, 2.0, false, turnover),
        ("messages are lost", 4, 2.0, false, lossy),
        ("no entry in contact, items alone", 4, 0.0, true, cut_off),
        ("no leader", 4, 40.0, false, leaderless),
    ];
    let mut seen = Vec::new();
    for (name, entries, load, has_items, disturb) in cases {
        seen.push(format!("{name}: {}", first_trial(entries, load, has_items, disturb)));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    items alone: within 3 s
    online alone: within 3 s
    both: within 3 s
    few online requests: at once
    few at many entries: at once
    leaders change, items alone: within 3 s
    leaders change, few online requests: within 3 s
    messages are lost: within 3 s
    no entry in contact, items alone: within 3 s
    no leader: late
    ");
}

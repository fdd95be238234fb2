//! Runs of items that a leader hands to other hosts, over links that lose and delay messages, with
//! hosts that are paused and restarted, in simulated time; and the tasks of both sides, in this
//! process.

mod fleet_pair;
mod fleet_world;

use basilfield::emulator::plain;
use basilfield::fleet::delegation;
use basilfield::fleet::dispatch::config_wait;
use basilfield::fleet::frame;
use basilfield::fleet::ledger;
use basilfield::fleet::progress;
use basilfield::fleet::quarantine;
use basilfield::fleet::runner;
use basilfield::wire;
use fleet_pair::Pair;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
/// Interval at which the leader sends its orders.
const PLAN_INTERVAL: Duration = Duration::from_millis(25);
const DOMAINS: usize = 3;
/// Items that run at the same time.
const ITEMS: u64 = 60;
const ITEM_EVENTS: u64 = 200;
const LINK_DELAY: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Share of the messages that are lost.
    loss: f64,
    /// Chance in each step that a host is paused for up to four seconds.
    pause: f64,
    /// Chance in each step that a host is restarted.
    restart: f64,
}

enum Message {
    Orders(delegation::Orders),
    Reports(delegation::Reports),
}

struct Carrier {
    delegate: delegation::Delegate,
    /// Runs with their next event.
    runs: BTreeMap<delegation::RunKey, (progress::ItemKey, u64)>,
    paused_until: Duration,
    inbox: Vec<(Duration, Message)>,
}

impl Carrier {
    fn new() -> Carrier {
        Carrier {
            delegate: delegation::Delegate::default(),
            runs: BTreeMap::new(),
            paused_until: Duration::ZERO,
            inbox: Vec::new(),
        }
    }
}

/// Item at the leader: events that have arrived, and its run.
#[derive(Default)]
struct Item {
    events: Vec<u64>,
    run: Option<u64>,
    finished: bool,
}

struct Fleet {
    delegator: delegation::Delegator,
    inbox: Vec<(Duration, Arc<str>, Message)>,
    carriers: Vec<(Arc<str>, Carrier)>,
    items: BTreeMap<progress::ItemKey, Item>,
    now: Duration,
    rng: ChaCha8Rng,
    faults: Faults,
    last_run: u64,
    /// Messages and events that the leader has handled.
    messages: usize,
    events: usize,
    finished: usize,
    interrupted: usize,
}

fn leader() -> Arc<str> {
    "leader".into()
}

fn domain(at: usize) -> Arc<str> {
    format!("domain-{}", at % DOMAINS).into()
}

fn item(id: &str) -> Arc<ledger::Item> {
    let body = Default::default();
    Arc::new(ledger::Item { id: id.into(), path: "/".into(), headers: vec![], body, tokens: 1 })
}

fn order(number: u64, key: progress::ItemKey) -> delegation::Order {
    delegation::Order {
        number,
        item: item(&key.1),
        key,
        host: "jobs.example".into(),
        endpoint: "endpoint".into(),
        start_time: 0,
        address: ([127, 0, 0, 1], 1).into(),
        last_event: None,
        limit_version: 0,
        trial: quarantine::Trial::default(),
    }
}

/// Whether a message does not fit into a frame, so that it is not sent.
fn is_too_long(orders: &delegation::Orders) -> bool {
    let frame = frame::Frame::Cast(frame::Cast::RunOrders(orders.clone()));
    ledger::encode(&frame).len() > wire::MAX_FRAME
}

impl Fleet {
    fn new(hosts: usize, seed: u64, faults: Faults) -> Fleet {
        let carrier = |n| (Arc::from(format!("host-{n}")), Carrier::new());
        let mut fleet = Fleet {
            delegator: delegation::Delegator::new(delegation::Term { start_time: 1, epoch: 1 }),
            inbox: Vec::new(),
            carriers: (0..hosts).map(carrier).collect(),
            items: BTreeMap::new(),
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            last_run: 0,
            messages: 0,
            events: 0,
            finished: 0,
            interrupted: 0,
        };
        let hosts = fleet.carriers.iter().enumerate();
        let hosts = hosts.map(|(n, (link, _))| (link.clone(), domain(n))).collect();
        fleet.delegator.set_hosts(hosts);
        for n in 0..ITEMS {
            fleet.items.insert(("job".into(), format!("item-{n}").into()), Item::default());
        }
        fleet
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_bool(self.faults.loss)
    }

    /// Starts every item that has no run, if a host is in contact.
    fn start_items(&mut self) {
        let idle = self.items.iter().filter(|(_, i)| i.run.is_none() && !i.finished);
        let idle: Vec<(progress::ItemKey, u64)> =
            idle.map(|(key, item)| (key.clone(), item.events.len() as u64)).collect();
        for (at, (key, events)) in idle.into_iter().enumerate() {
            let Some(host) = self.delegator.choose(self.now, &domain(at)) else { continue };
            self.last_run += 1;
            let order = delegation::Order {
                last_event: events.checked_sub(1),
                limit_version: 0,
                ..order(self.last_run, key.clone())
            };
            self.delegator.start(&host, order);
            self.items.get_mut(&key).expect("known").run = Some(self.last_run);
        }
    }

    fn handle_reports(&mut self, reports: Vec<runner::Report>) {
        for report in reports {
            let item = self.items.get_mut(&report.key).expect("known");
            if item.run != Some(report.number) {
                continue;
            }
            match report.update {
                runner::RunUpdate::Event(_, Some(id)) => {
                    self.events += 1;
                    item.events.push(id);
                }
                runner::RunUpdate::Ended(runner::RunEnd::Done) => {
                    item.finished = true;
                    item.run = None;
                    self.finished += 1;
                }
                runner::RunUpdate::Ended(_) => {
                    item.run = None;
                    self.interrupted += 1;
                }
                other => panic!("{other:?}"),
            }
        }
    }

    fn step_leader(&mut self) {
        let now = self.now;
        let arrived: Vec<_> = self.inbox.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, message) in arrived {
            let Message::Reports(reports) = message else { continue };
            self.messages += 1;
            let reports = self.delegator.record_reports(now, &from, reports);
            self.handle_reports(reports);
        }
        if !now.as_millis().is_multiple_of(PLAN_INTERVAL.as_millis()) {
            return;
        }
        let (interrupted, _) = self.delegator.expire(now);
        self.handle_reports(interrupted);
        self.start_items();
        for (host, orders) in self.delegator.due_orders(now, true) {
            if !self.is_lost() && !is_too_long(&orders) {
                let carrier = self.carriers.iter_mut().find(|(link, _)| *link == host);
                let inbox = &mut carrier.expect("known").1.inbox;
                inbox.push((now + LINK_DELAY, Message::Orders(orders)));
            }
        }
    }

    fn step_carrier(&mut self, at: usize) {
        let now = self.now;
        let (pause, restart) = (self.faults.pause, self.faults.restart);
        if self.rng.random_bool(pause) {
            let length = Duration::from_millis(self.rng.random_range(100..4_000));
            self.carriers[at].1.paused_until = now + length;
        }
        let restarts = self.rng.random_bool(restart);
        let (link, carrier) = &mut self.carriers[at];
        if restarts {
            *carrier = Carrier::new();
        }
        if carrier.paused_until > now {
            return;
        }
        let arrived: Vec<_> = carrier.inbox.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in arrived {
            let Message::Orders(orders) = message else { continue };
            let session = self.rng.random();
            let changes = carrier.delegate.record_orders(now, &leader(), orders, session);
            for run in changes.stop {
                carrier.runs.remove(&run);
            }
            for order in changes.start {
                let next = order.last_event.map_or(0, |last| last + 1);
                carrier.runs.insert((leader(), order.number), (order.key, next));
            }
        }
        for run in carrier.delegate.expire(now) {
            carrier.runs.remove(&run);
        }
        // Each run writes one event in each step.
        carrier.runs.retain(|run, (_, next)| {
            let done = *next >= ITEM_EVENTS;
            let update = match done {
                true => runner::RunUpdate::Ended(runner::RunEnd::Done),
                false => runner::RunUpdate::Event(vec![b'x'; 20], Some(*next)),
            };
            carrier.delegate.record_update(now, run, update);
            *next += 1;
            !done
        });
        let (link, due) = (link.clone(), carrier.delegate.due_reports(now));
        for (_, reports) in due {
            if !self.is_lost() {
                let message = Message::Reports(reports);
                self.inbox.push((now + LINK_DELAY, link.clone(), message));
            }
        }
    }

    /// Items that two hosts run at this moment. A host that is paused runs nothing.
    fn doubled(&self) -> Vec<progress::ItemKey> {
        let awake = self.carriers.iter().filter(|(_, c)| c.paused_until <= self.now);
        let mut running: Vec<_> =
            awake.flat_map(|(_, c)| c.runs.values().map(|(key, _)| key.clone())).collect();
        running.sort();
        let doubled = running.chunk_by(|a, b| a == b).filter(|c| c.len() > 1);
        doubled.map(|c| c[0].clone()).collect()
    }

    /// Plays for at most `time`, or until every item is finished. Returns the longest time for which
    /// an item ran at two hosts.
    fn play(&mut self, time: Duration) -> Duration {
        let end = self.now + time;
        let (mut since, mut longest) = (BTreeMap::new(), Duration::ZERO);
        while self.now < end && self.finished < self.items.len() {
            self.now += STEP;
            for at in 0..self.carriers.len() {
                self.step_carrier(at);
            }
            self.step_leader();
            let doubled = self.doubled();
            since.retain(|key, _| doubled.contains(key));
            for key in doubled {
                let since = *since.entry(key).or_insert(self.now);
                longest = longest.max(self.now - since);
            }
        }
        longest
    }

    fn assert_complete(&self) {
        for (key, item) in &self.items {
            let expected: Vec<u64> = (0..ITEM_EVENTS).collect();
            assert_eq!((item.finished, &item.events), (true, &expected), "{key:?}");
        }
    }
}

#[test]
fn the_leader_handles_few_messages_for_many_events() {
    let mut fleet = Fleet::new(6, 1, Faults::default());
    fleet.play(Duration::from_secs(20));
    fleet.assert_complete();
    // One report of a host in a tenth of a second, whatever the number of its runs.
    let seconds = fleet.now.as_secs_f64();
    assert!(fleet.messages as f64 <= seconds * 6.0 * 12.0, "{} messages", fleet.messages);
    assert_eq!((fleet.events, fleet.interrupted), ((ITEMS * ITEM_EVENTS) as usize, 0));
}

#[test]
fn lost_messages_neither_lose_nor_repeat_output() {
    for seed in 0..20 {
        let faults = Faults { loss: 0.05, ..Faults::default() };
        let mut fleet = Fleet::new(6, seed, faults);
        fleet.play(Duration::from_secs(60));
        fleet.assert_complete();
    }
}

#[test]
fn paused_hosts_stop_before_others_run_the_items() {
    for seed in 0..20 {
        let faults = Faults { loss: 0.01, pause: 0.001, restart: 0.000_5 };
        let mut fleet = Fleet::new(9, seed, faults);
        let doubled = fleet.play(Duration::from_secs(120));
        fleet.assert_complete();
        // A host that wakes reads the messages that have waited before it ends its leases.
        assert!(doubled <= STEP, "seed {seed}: two hosts ran an item for {doubled:?}");
    }
}

#[test]
fn a_silent_host_gets_no_further_runs() {
    let mut fleet = Fleet::new(3, 1, Faults::default());
    fleet.play(Duration::from_millis(300));
    let silent = fleet.carriers[0].0.clone();
    fleet.carriers[0].1.paused_until = Duration::from_secs(1_000);
    fleet.play(Duration::from_millis(1_000));
    assert_eq!(fleet.delegator.choose(fleet.now, &domain(0)), None);
    // Its lease still runs, so its items are not started elsewhere yet.
    assert_eq!(fleet.interrupted, 0);
    fleet.play(Duration::from_millis(900));
    assert_eq!(fleet.interrupted, fleet.carriers[0].1.runs.len());
    assert!(fleet.interrupted > 0, "{silent} carried out no run");
}

/// Guards against the last run of an ended job that goes on, since no item is left to send orders for.
#[test]
fn the_last_run_is_stopped_at_once() {
    let mut fleet = Fleet::new(1, 1, Faults::default());
    let (key, item) = fleet.items.pop_first().expect("an item");
    fleet.items = [(key.clone(), item)].into();
    fleet.play(Duration::from_millis(500));
    let run = fleet.items[&key].run.expect("it runs");
    let host = fleet.carriers[0].0.clone();
    fleet.delegator.stop(run);
    let orders = fleet.delegator.due_orders(fleet.now, false);
    let live: Vec<_> = orders.into_iter().map(|(to, orders)| (to, orders.live)).collect();
    assert_eq!(live, [(host, vec![])]);
    assert_eq!(fleet.delegator.due_orders(fleet.now, false), []);
}

#[test]
fn a_stopped_run_hands_over_its_last_events() {
    let term = delegation::Term { start_time: 1, epoch: 1 };
    let mut delegator = delegation::Delegator::new(term);
    let mut delegate = delegation::Delegate::default();
    let (host, mut now): (Arc<str>, _) = ("host".into(), Duration::from_secs(1));
    delegator.set_hosts(vec![(host.clone(), domain(0))]);
    let mut exchange = |delegator: &mut delegation::Delegator,
                        delegate: &mut delegation::Delegate| {
        now += Duration::from_millis(250);
        let mut news = Vec::new();
        for _ in 0..2 {
            for (_, orders) in delegator.due_orders(now, true) {
                delegate.record_orders(now, &leader(), orders, 1);
            }
            for (_, reports) in delegate.due_reports(now) {
                news.extend(delegator.record_reports(now, &host, reports));
            }
        }
        (now, news)
    };
    exchange(&mut delegator, &mut delegate);
    let key: progress::ItemKey = ("job".into(), "item".into());
    delegator.start(&host.clone(), order(7, key));
    let (now, _) = exchange(&mut delegator, &mut delegate);
    let event = runner::RunUpdate::Event(b"last".to_vec(), Some(0));
    delegate.record_update(now, &(leader(), 7), event.clone());
    delegator.stop(7);
    let (_, news) = exchange(&mut delegator, &mut delegate);
    let updates: Vec<_> = news.into_iter().map(|n| (n.number, n.update)).collect();
    assert_eq!(updates, [(7, event)]);
    assert_eq!(delegator.run_count(), 0);
}

/// Guards against orders that are never sent because their message is longer than a frame may be, and
/// are repeated the same.
#[test]
fn orders_are_longer_than_a_frame() {
    const RUNS: u64 = 24;
    let mut fleet = Fleet::new(1, 1, Faults::default());
    fleet.play(Duration::from_millis(300));
    let host = fleet.carriers[0].0.clone();
    let body = bytes::Bytes::from(vec![b'x'; 1 << 20]);
    for number in 1_000..1_000 + RUNS {
        let key: progress::ItemKey = ("job".into(), format!("long-{number}").into());
        let item = Arc::new(ledger::Item { body: body.clone(), ..(*item(&key.1)).clone() });
        fleet.items.insert(key.clone(), Item { run: Some(number), ..Item::default() });
        fleet.delegator.start(&host, delegation::Order { item, ..order(number, key) });
    }
    // A run takes a second; the lease of a lost run ends after a second and a half.
    fleet.play(Duration::from_millis(1_600));
    fleet.assert_complete();
    assert_eq!(fleet.interrupted, 0);
}

/// Guards against runs that are handed to a host which is stopping, and against runs under way to it
/// that wait for the end of its lease.
#[test]
fn stopping_host_gets_further_runs() {
    let mut fleet = Fleet::new(1, 1, Faults::default());
    fleet.play(Duration::from_millis(300));
    let running = fleet.carriers[0].1.runs.len();
    assert!(running > 0, "the host carries out runs");
    // These orders are under way when the host stops.
    let host = fleet.carriers[0].0.clone();
    let key: progress::ItemKey = ("job".into(), "late".into());
    fleet.items.insert(key.clone(), Item { run: Some(1_000), ..Item::default() });
    fleet.delegator.start(&host, order(1_000, key.clone()));
    let late = fleet.delegator.due_orders(fleet.now, true);
    let carrier = &mut fleet.carriers[0].1;
    carrier.delegate.end_all();
    carrier.runs.clear();
    let mut returned = Vec::new();
    for (_, reports) in carrier.delegate.due_reports(fleet.now) {
        returned.extend(fleet.delegator.record_reports(fleet.now, &host, reports));
    }
    let ended = returned.iter().filter(|r| matches!(r.update, runner::RunUpdate::Ended(_)));
    assert_eq!(ended.count(), running + 1, "runs given back");
    let is_not_run = |r: &&runner::Report| {
        matches!(r.update, runner::RunUpdate::Ended(runner::RunEnd::NotRun { .. }))
    };
    let not_run: Vec<u64> = returned.iter().filter(is_not_run).map(|r| r.number).collect();
    assert_eq!(not_run, [1_000]);
    assert_eq!(fleet.delegator.choose(fleet.now, &domain(0)), None);
    for (_, orders) in late {
        let changes = carrier.delegate.record_orders(fleet.now, &leader(), orders, 1);
        assert_eq!(changes.start, []);
    }
    // The host may get runs again as soon as it has started again.
    fleet.handle_reports(returned);
    fleet.carriers[0].1 = Carrier::new();
    fleet.play(Duration::from_millis(300));
    assert_eq!(fleet.delegator.choose(fleet.now, &domain(0)), Some(host));
}

/// Time within which the items of a test are completed, far above the expected time.
const RUN_TIMEOUT: Duration = Duration::from_secs(10);

/// Slows the endpoint down, so that an item runs for about a second and a half.
fn slow_down(pair: &Pair) {
    pair.endpoint.set_faults(plain::FaultRates { slowdown: 10.0, ..Default::default() });
}

fn whole_output(item: &str) -> Vec<String> {
    let count = fleet_world::ENDPOINT_OPTIONS.1;
    (1..=count).map(|event| plain::event_data(item, event)).collect()
}

/// Guards against items that wait until the leadership changes, because the task that runs them has
/// failed and was started again on a host that leads.
#[test]
fn restarted_task_does_not_take_up_the_items() {
    fleet_world::run(async {
        let pair = Pair::start().await;
        pair.submit("before", vec![fleet_pair::item("item-1", "")]);
        pair.lead().await;
        assert_eq!(pair.output("before", RUN_TIMEOUT).await, whole_output("item-1"));
        pair.failure.notify_one();
        pair.submit("after", vec![fleet_pair::item("item-2", "")]);
        assert_eq!(pair.output("after", RUN_TIMEOUT).await, whole_output("item-2"));
    });
}

/// Guards against orders and runs that have the numbers of earlier ones after the task that gives
/// them was started again: the host that carries them out would ignore the orders, and its reports
/// of an earlier run would count as output of another item.
#[test]
fn restarted_task_repeats_the_numbers_of_orders() {
    fleet_world::run(async {
        let pair = Pair::start().await;
        slow_down(&pair);
        pair.lead().await;
        for job in ["before", "after"] {
            pair.submit(job, vec![fleet_pair::item(job, "")]);
            // From now on the host may get runs.
            assert!(pair.wait_for_contact().await, "{job}: the host gets orders");
            let names = ["a", "b", "c"].map(|name| format!("{job}-{name}"));
            let items = names.iter().map(|name| fleet_pair::item(name, "")).collect();
            pair.submit(&format!("{job}-2"), items);
            assert!(pair.wait_for_start(&names).await, "{job}: the host gets runs");
            pair.failure.notify_one();
        }
        let received = pair.orders.lock().expect("lock").clone();
        let mut messages: Vec<_> =
            received.iter().map(|o| (o.term.start_time, o.term.epoch, o.seq)).collect();
        let mut runs: Vec<u64> = received.iter().flat_map(|o| &o.start).map(|o| o.number).collect();
        let counts = (messages.len(), runs.len());
        messages.sort_unstable();
        messages.dedup();
        runs.sort_unstable();
        runs.dedup();
        assert_eq!((messages.len(), runs.len()), counts, "{received:?}");
        let newest = received.last().expect("orders").term;
        let old: Vec<_> = received.iter().filter(|o| o.term.epoch > newest.epoch).collect();
        assert!(old.is_empty(), "{old:?}");
    });
}

/// Guards against an item that reaches an endpoint although the host that carries it out knows that a
/// part of its prompt is quarantined. The leader, which does not know it yet, has ordered the run.
#[test]
fn run_host_runs_an_item_with_a_quarantined_part() {
    fleet_world::run(async {
        let pair = Pair::start().await;
        pair.host.view.apply_quarantine(pair.host.now(), &fleet_pair::quarantine(2, Some(0xbad1)));
        slow_down(&pair);
        pair.lead().await;
        pair.submit("first", vec![fleet_pair::item("first", "")]);
        assert!(pair.wait_for_contact().await, "the host gets orders");
        let sound = fleet_pair::item("sound", "f1:100,2:100,10:250");
        pair.submit("job", vec![fleet_pair::item("held", "f1:100,bad1:100,11:250"), sound]);
        assert!(pair.wait_for_start(&["held".into(), "sound".into()]).await, "orders");
        assert_eq!(pair.output("job", RUN_TIMEOUT).await, whole_output("sound"));
        let runs = |id: &str| pair.endpoint.runs().iter().filter(|r| &*r.request_id == id).count();
        assert_eq!((runs("held"), runs("sound")), (0, 1));
        pair.host.view.apply_quarantine(pair.host.now(), &fleet_pair::quarantine(3, None));
        let is_done = || pair.outputs("job").contains(&whole_output("held"));
        assert!(fleet_world::wait_until(RUN_TIMEOUT, is_done).await, "the item goes on");
    });
}

/// Guards against the trial of a quarantined part that is used up because the host that carries out
/// its run holds it back, and against one that lets another part through.
#[test]
fn run_host_holds_back_a_trial() {
    fleet_world::run(async {
        let pair = Pair::start().await;
        pair.host.view.apply_quarantine(pair.host.now(), &fleet_pair::quarantine(2, Some(0xbad1)));
        let mut script = fleet_pair::Script::start(&pair).await;
        let item = |id| fleet_pair::item(id, "f1:100,bad1:100,11:250");
        let order = |number, id, trial| delegation::Order { trial, ..pair.order(number, item(id)) };
        let trial = |part| {
            let mut trial = quarantine::Trial::default();
            trial.grant(Duration::ZERO, quarantine::Cause::Part(part));
            trial
        };
        script.start_run(order(1, "held", quarantine::Trial::default()));
        script.start_run(order(2, "other", trial(0xbad2)));
        script.start_run(order(3, "trial", trial(0xbad1)));
        let ended = script.wait_for_ends(3).await;
        let ids: Vec<_> = pair.endpoint.runs().into_iter().map(|r| r.request_id).collect();
        let is_held = |at: usize| matches!(ended[at].1, runner::RunEnd::Interrupted { .. });
        assert!(is_held(0) && is_held(1), "{ended:?}");
        assert_eq!(ended[2], (3, runner::RunEnd::Done));
        assert_eq!(ids, ["trial".into()]);
    });
}

/// Guards against a host that ends before the leader has learnt that it is stopping.
#[test]
fn leader_hands_runs_to_a_host_that_has_stopped() {
    fleet_world::run(async {
        let pair = Pair::start().await;
        slow_down(&pair);
        pair.lead().await;
        pair.submit("first", vec![fleet_pair::item("first", "")]);
        assert!(pair.wait_for_contact().await, "the host gets orders");
        pair.submit("second", vec![fleet_pair::item("second", "")]);
        assert!(pair.wait_for_start(&["second".into()]).await, "the host gets a run");
        pair.stop_host().await;
        let before = pair.orders.lock().expect("lock").len();
        pair.submit("third", vec![fleet_pair::item("third", "")]);
        assert!(pair.wait_for_run("third").await, "{:?}", pair.endpoint.runs());
        let orders = pair.orders.lock().expect("lock").split_off(before);
        let started: usize = orders.iter().map(|o| o.start.len()).sum();
        assert_eq!(started, 0, "runs handed to the host");
        assert_eq!(pair.output("second", RUN_TIMEOUT).await, whole_output("second"));
    });
}

/// Stores output of an earlier run with as many events as that of the present one, changed by `change`,
/// right before the first output of the present run.
fn store_late_output(change: impl FnOnce(Vec<String>) -> Vec<String> + Send + 'static) {
    fleet_world::run(async {
        let pair = Pair::start().await;
        slow_down(&pair);
        let late = Arc::new(std::sync::Mutex::new(None));
        let (stored, mut change) = (late.clone(), Some(change));
        pair.intercept(move |ledger, command| {
            let ledger::Command::StoreGenerations(chunks) = command else { return };
            let Some(change) = change.take() else { return };
            let mut earlier = chunks.clone();
            let text = String::from_utf8(chunks[0].chunk.data.to_vec()).expect("text");
            let events = change(text.split('\n').map(str::to_string).collect());
            earlier[0].chunk.data = events.join("\n").into();
            ledger.execute(1, ledger::Command::StoreGenerations(earlier));
            *stored.lock().expect("lock") = Some(events);
        });
        pair.lead().await;
        pair.submit("job", vec![fleet_pair::item("item", "")]);
        let output = pair.output("job", RUN_TIMEOUT).await;
        let mut expected = late.lock().expect("lock").clone().expect("output was stored");
        let count = expected.len();
        expected.extend(whole_output("item").split_off(count));
        let asked: Vec<u64> = pair.endpoint.runs().iter().map(|r| r.last_event).collect();
        assert_eq!((output, asked), (expected, vec![0, count as u64]));
    });
}

/// Guards against output that goes on with a run that was not asked to go on there: output of an
/// earlier run, sent before the leadership changed, was stored late, and had as many events.
#[test]
fn late_output_of_the_same_length_is_taken_for_that_of_the_present_run() {
    store_late_output(|events| events.iter().map(|e| format!("earlier {e}")).collect());
}

/// Guards against the same if the output differs only before the text of the present run.
#[test]
fn late_output_with_the_same_end_is_taken_for_that_of_the_present_run() {
    store_late_output(|mut events| {
        events[0].insert_str(0, "earlier ");
        events
    });
}

/// Time in which a leader starts or abandons an item that it may decide on, several times over.
const DECISION_TIME: Duration = Duration::from_millis(400);

/// Guards against items that are abandoned because the leader holds an older configuration, without
/// their route, than the host that accepted them; and against items that wait although their route has
/// ended since.
#[test]
fn leader_with_an_older_configuration_abandons_items() {
    fleet_world::run(async {
        let pair = Pair::start().await;
        pair.lead().await;
        let put = |version, prefix| {
            for node in [&pair.leader, &pair.host] {
                assert!(node.view.apply_document(fleet_pair::document(version, prefix)));
            }
        };
        put(2, "/other/");
        pair.submit_under(3, "new", vec![fleet_pair::item("new", "")]);
        tokio::time::sleep(DECISION_TIME).await;
        let mut seen = vec![pair.state("new")];
        put(3, fleet_world::BATCH_PREFIX);
        assert_eq!(pair.output("new", RUN_TIMEOUT).await, whole_output("new"));
        put(4, "/other/");
        pair.submit_under(3, "ended", vec![fleet_pair::item("ended", "")]);
        let is_decided = || pair.state("ended") != "pending";
        fleet_world::wait_until(RUN_TIMEOUT, is_decided).await;
        seen.extend([pair.state("new"), pair.state("ended")]);
        insta::assert_snapshot!(seen.join(" "), @"pending completed abandoned");
    });
}

/// Guards against an item that runs by the route of an older configuration, which may name another
/// service, than the one that its job was accepted under.
#[test]
fn item_runs_under_an_older_configuration_than_its_job() {
    fleet_world::run(async {
        let pair = Pair::start().await;
        pair.lead().await;
        pair.submit_under(2, "job", vec![fleet_pair::item("item", "")]);
        tokio::time::sleep(DECISION_TIME).await;
        let before = pair.endpoint.runs().len();
        let document = fleet_pair::document(2, fleet_world::BATCH_PREFIX);
        assert!(pair.leader.view.apply_document(document));
        assert_eq!(pair.output("job", RUN_TIMEOUT).await, whole_output("item"));
        assert_eq!(before, 0, "runs under the older configuration");
    });
}

/// Guards against a job that waits for ever for a configuration which was lost along with the control
/// hosts: they confirm an older one as the newest.
#[test]
fn job_waits_for_a_lost_configuration() {
    fleet_world::run(async {
        let pair = Pair::start().await;
        pair.start_control(1).await;
        pair.lead().await;
        pair.submit_under(5, "job", vec![fleet_pair::item("item", "")]);
        assert_eq!(pair.output("job", RUN_TIMEOUT).await, whole_output("item"));
    });
}

/// Guards against a configuration that is taken for lost because of an answer to a question that was
/// asked before the job was accepted, or while this host holds an even older one.
#[test]
fn configuration_is_taken_for_lost_too_early() {
    let start = tokio::time::Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let decides = |confirmed: Option<(u64, u64)>, held| {
        let mut wait = config_wait::ConfigWait::default();
        if let Some((version, asked)) = confirmed {
            wait.record_confirmed(config_wait::ConfirmedVersion { version, asked: at(asked) });
        }
        wait.may_decide(held, 5, at(10))
    };
    let cases = [
        decides(None, 4),
        decides(Some((3, 9)), 4),
        decides(Some((3, 11)), 2),
        decides(Some((5, 11)), 4),
        decides(Some((3, 11)), 3),
        decides(None, 5),
    ];
    insta::assert_snapshot!(format!("{cases:?}"), @"[false, false, false, false, true, true]");
}

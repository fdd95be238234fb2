//! Carries out what [`crate::fleet::workspaces::credits`] and
//! [`crate::fleet::workspaces::allocator`] decide.

use crate::errors;
use crate::event;
use crate::events;
use crate::fleet::frame;
use crate::fleet::groups;
use crate::fleet::limits;
use crate::fleet::node;
use crate::fleet::peer;
use crate::fleet::settings;
use crate::fleet::workspaces;
use crate::fleet::workspaces::allocator;
use crate::fleet::workspaces::credit;
use crate::fleet::workspaces::credits;
use crate::sorted;
use crate::supervisor;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

/// Interval at which an entry checks whether a report is due for which no request waits.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which hosts are asked whether they are the owner.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the owner reads the configuration and the directory.
const OWNER_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a request that waits checks for a turn of the fixed share.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest and longest pause of a caller if it is not known whether its quota is used up.
const UNKNOWN_PAUSE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(750));

/// Wakes the tasks that wait for credit.
#[derive(Default)]
pub struct Signals {
    /// A request waits for credit.
    asked: Notify,
    /// An answer of the owner has arrived.
    answered: Notify,
}

/// State of credit on one host. Clones share it.
#[derive(Clone)]
pub struct Credit {
    credits: Arc<std::sync::Mutex<credits::Credits>>,
    /// Buckets, while this host is the owner.
    allocator: Arc<std::sync::Mutex<Option<allocator::Allocator>>>,
    /// Times at which callers return that were over their quota.
    returns: Arc<std::sync::Mutex<limits::returns::Returns>>,
    signals: Arc<Signals>,
}

impl Credit {
    /// Creates the state of a process that starts now.
    pub fn new(now: Duration, start_time: u64) -> Credit {
        let credits = credits::Credits::new(now, start_time);
        Credit {
            credits: Arc::new(std::sync::Mutex::new(credits)),
            allocator: Arc::default(),
            returns: Arc::default(),
            signals: Arc::default(),
        }
    }
}

/// Whether a request may be sent.
pub enum Decision {
    /// It may, with this credit.
    Admitted(CreditGuard),
    /// The quota of its workspace is used up.
    Over {
        /// Time after which the caller should return.
        retry: Duration,
    },
    /// It is not known whether the quota is used up: the owner has not answered in time, or requests
    /// of the workspace that wait for endpoints hold all the credit.
    Unknown {
        /// Time after which the caller should return.
        retry: Duration,
    },
}

/// Credit of one request, which returns it when it is dropped before the request was sent.
pub struct CreditGuard {
    // Keeps the guard, which is moved with its request, small.
    node: Box<node::Node>,
    key: credit::Key,
    bound: credit::Bound,
    state: GuardState,
}

/// What has become of the credit of a request.
#[derive(Clone, Copy)]
enum GuardState {
    /// The request was not sent.
    Held(credits::Credit),
    /// The credit has ended, and no other was got.
    Ended,
    /// The request was sent.
    Spent,
}

impl CreditGuard {
    /// Uses the credit for the request that is sent now, once. Returns `false` if the credit has
    /// ended. Must be called right before each attempt.
    pub fn spend(&mut self) -> bool {
        let credit = match self.state {
            GuardState::Held(credit) => credit,
            GuardState::Ended => return false,
            GuardState::Spent => return true,
        };
        let now = self.node.now();
        let is_spent = peer::lock(&self.node.credit.credits).spend(now, self.key, credit);
        self.state = if is_spent { GuardState::Spent } else { GuardState::Ended };
        is_spent
    }

    /// Gets new credit if that of the guard has ended while its request waited. Returns `false` if
    /// there is none.
    pub async fn renew(&mut self) -> bool {
        match self.state {
            GuardState::Held(credit) if credit.is_usable(self.node.now()) => return true,
            GuardState::Spent => return true,
            GuardState::Held(_) => self.release(),
            GuardState::Ended => {}
        }
        if let credits::Taken::Admitted(credit) =
            self.node.wait_for_credit(self.key, &self.bound).await
        {
            self.state = GuardState::Held(credit);
        }
        matches!(self.state, GuardState::Held(_))
    }

    /// Returns the credit of a request that was not sent.
    fn release(&mut self) {
        if let GuardState::Held(credit) = self.state {
            self.state = GuardState::Ended;
            let now = self.node.now();
            peer::lock(&self.node.credit.credits).give_back(now, self.key, credit);
            // Others of the workspace may wait for it.
            self.node.credit.signals.answered.notify_waiters();
        }
    }
}

impl Drop for CreditGuard {
    fn drop(&mut self) {
        self.release();
    }
}

/// Counts a request as waiting until it is dropped.
struct Waiting<'a> {
    node: &'a node::Node,
    key: credit::Key,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        peer::lock(&self.node.credit.credits).end_wait(self.key);
    }
}

impl node::Node {
    /// Takes credit for a request of `caller`, whose workspace has the quota `quota`. Waits for
    /// [`credits::MAX_WAIT`] in general and for [`credits::START_WAIT`] at most.
    pub async fn take_credit(
        &self,
        caller: &workspaces::Caller,
        quota: &workspaces::Quota,
    ) -> Decision {
        let key = credit::Key::new(&caller.workspace);
        let bound = credit::Bound::new(quota, &self.settings.workspaces);
        self.metrics.count_quota("asked");
        match self.wait_for_credit(key, &bound).await {
            credits::Taken::Admitted(credit) => {
                self.metrics.count_quota("admitted");
                let state = GuardState::Held(credit);
                let node = Box::new(self.clone());
                Decision::Admitted(CreditGuard { node, key, bound, state })
            }
            credits::Taken::Over { interval } => {
                self.metrics.count_quota("over");
                let now = self.now();
                let retry = peer::lock(&self.credit.returns).pause(
                    now,
                    &caller.workspace,
                    interval,
                    rand::random(),
                );
                if peer::lock(&self.credit.credits).try_take_log(now, key) {
                    event!(self.log, events::QUOTA_EXCEEDED; "workspace" => &*caller.workspace,
                        "rate" => quota.rate, "burst" => quota.burst,
                        "interval_ms" => interval.as_millis() as u64,
                        "retry_ms" => retry.as_millis() as u64);
                }
                Decision::Over { retry }
            }
            credits::Taken::Unknown | credits::Taken::Wait => {
                self.metrics.count_quota("unknown");
                let (least, most) = UNKNOWN_PAUSE;
                Decision::Unknown { retry: least + (most - least).mul_f64(rand::random()) }
            }
        }
    }

    async fn wait_for_credit(&self, key: credit::Key, bound: &credit::Bound) -> credits::Taken {
        let asked = self.now();
        let signals = &self.credit.signals;
        let taken = peer::lock(&self.credit.credits).begin(asked, key, bound, rand::random());
        if taken != credits::Taken::Wait {
            return taken;
        }
        self.metrics.count_quota("waited");
        let _waiting = Waiting { node: self, key };
        signals.asked.notify_one();
        loop {
            let mut answered = std::pin::pin!(signals.answered.notified());
            answered.as_mut().enable();
            let now = self.now();
            let taken =
                peer::lock(&self.credit.credits).poll(now, key, bound, asked, rand::random());
            if taken != credits::Taken::Wait {
                return taken;
            }
            let _ = time::timeout(TURN_CHECK_INTERVAL, answered).await;
        }
    }

    /// Answers the report of an entry, if this host is the owner.
    pub(crate) fn answer_credit_report(&self, from: &Arc<str>, report: &credit::Report) {
        let answer = match &mut *peer::lock(&self.credit.allocator) {
            Some(allocator) => allocator.answer(self.now(), from, report),
            None => return,
        };
        if let Some(grants) = answer {
            self.peers.cast(from, frame::Cast::CreditGrants(grants));
        }
    }

    /// Applies an answer of the owner.
    pub(crate) fn apply_credit(&self, from: &Arc<str>, grants: &credit::Grants) {
        let applied = peer::lock(&self.credit.credits).apply(self.now(), from, grants);
        if applied {
            self.credit.signals.answered.notify_waiters();
            // Requests may have come while the answer was under way.
            self.credit.signals.asked.notify_one();
        }
    }

    /// Quotas of the configuration in force.
    fn quotas(&self) -> sorted::SortedMap<credit::Key, credit::Bound> {
        let Some(active) = self.view.active_config() else { return sorted::SortedMap::new() };
        let terms = &self.settings.workspaces;
        let bound = |w: &workspaces::Workspace| {
            Some((credit::Key::new(&w.name), credit::Bound::new(&w.quota?, terms)))
        };
        let mut quotas: Vec<_> = active.config.workspaces.iter().filter_map(bound).collect();
        // A map is filled fastest in ascending order.
        quotas.sort_unstable_by_key(|(key, _)| *key);
        quotas.into_iter().collect()
    }
}

/// Asks the owner for credit, and reports which credit was used.
pub(in crate::fleet) async fn report_credit(
    node: node::Node,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let mut ticks = node.timer.subscribe(REPORT_CHECK_INTERVAL);
    let (mut searched, mut version, mut has_quotas) = (Duration::ZERO, None, false);
    loop {
        let is_tick = tokio::select! {
            _ = ticks.next() => true,
            () = node.credit.signals.asked.notified() => false,
            () = stop.wait() => return Ok(()),
        };
        let known = node.view.config_version();
        if version != Some(known) {
            (version, has_quotas) = (Some(known), !node.quotas().is_empty());
        }
        let now = node.now();
        if !has_quotas && peer::lock(&node.credit.credits).workspaces() == 0 {
            continue;
        }
        if is_tick {
            let entries = node.view.directory(|d| d.hosts(settings::Role::Entry).count());
            let waiting = {
                let mut credits = peer::lock(&node.credit.credits);
                credits.set_entries(u32::try_from(entries).unwrap_or(u32::MAX));
                log_change(&node, credits.take_change(now));
                credits.waiting()
            };
            node.metrics.record_level("credit_waiting", u64::from(waiting));
        }
        let owner = peer::lock(&node.credit.credits).owner(now).cloned();
        if let Some(owner) = &owner {
            let report = peer::lock(&node.credit.credits).next_report(now);
            if let Some(report) = report {
                node.peers.cast(owner, frame::Cast::CreditReport(report));
            }
        }
        if now.saturating_sub(searched) >= SEARCH_INTERVAL {
            searched = now;
            introduce(&node, now, owner.as_ref());
        }
    }
}

/// Reports to the hosts that may be the owner.
fn introduce(node: &node::Node, now: Duration, owner: Option<&Arc<str>>) {
    let targets = node.view.loads(|l| l.report_targets(now));
    let mut targets: Vec<Arc<str>> = targets.into_iter().map(|(host, _)| host).collect();
    if owner.is_none() {
        targets.extend(node.view.members(groups::JOBS));
        targets.sort_unstable();
        targets.dedup();
    }
    for to in targets.iter().filter(|to| Some(*to) != owner) {
        let report = peer::lock(&node.credit.credits).introduction(now);
        node.peers.cast(to, frame::Cast::CreditReport(report));
    }
}

fn log_change(node: &node::Node, change: Option<credits::Change>) {
    match change {
        Some(credits::Change::Found(link)) => {
            event!(node.log, events::CREDIT_OWNER_FOUND; "peer" => &*link);
        }
        Some(credits::Change::Lost(link)) => {
            event!(node.log, events::CREDIT_OWNER_LOST; "peer" => &*link);
        }
        None => {}
    }
}

/// Grants credit while this host places items.
pub(in crate::fleet) async fn grant_credit(
    node: node::Node,
    mut is_leader: watch::Receiver<bool>,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let start_time = node.view.own().start_time;
    let mut ticks = node.timer.subscribe(OWNER_INTERVAL);
    let (mut epoch, mut version) = (0, None);
    // If this task was started again, the leadership does not change.
    is_leader.mark_changed();
    loop {
        tokio::select! {
            _ = ticks.next() => {}
            changed = is_leader.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                (epoch, version) = (epoch + 1, None);
                let term = limits::Term { start_time, epoch };
                let leads = *is_leader.borrow_and_update();
                let allocator = leads.then(|| allocator::Allocator::new(node.now(), term));
                *peer::lock(&node.credit.allocator) = allocator;
            }
            () = stop.wait() => return Ok(()),
        }
        if peer::lock(&node.credit.allocator).is_none() {
            continue;
        }
        let mut entries: Vec<Arc<str>> = node
            .view
            .directory(|d| d.hosts(settings::Role::Entry).map(|h| h.link.clone()).collect());
        entries.sort_unstable();
        let known = node.view.config_version();
        let quotas = (version != Some(known)).then(|| node.quotas());
        if let Some(allocator) = &mut *peer::lock(&node.credit.allocator) {
            let now = node.now();
            allocator.set_entries(now, &entries);
            if let Some(quotas) = quotas {
                allocator.set_quotas(now, quotas);
                version = Some(known);
            }
        }
    }
}

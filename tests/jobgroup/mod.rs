//! Runner for scripts that drive a job group: the tables of a leader and a follower, the leader's
//! leases, agents, and a manual clock. Scripts name a job `workspace/key`.

use basilfield::jobs::Command;
use basilfield::jobs::Id;
use basilfield::jobs::Query;
use basilfield::jobs::Reply;
use basilfield::jobs::StampedCommand;
use basilfield::jobs::Table;
use basilfield::jobs::leases;
use basilfield::jobs::leases::Input;
use basilfield::jobs::leases::Leases;
use basilfield::jobs::leases::Output;
use basilfield::jobs::message::AgentConnection;
use basilfield::jobs::message::ClaimOutcome;
use basilfield::jobs::message::FailureCause;
use basilfield::jobs::message::ItemOutcome;
use basilfield::jobs::message::NewItem;
use basilfield::jobs::table::Change;
use basilfield::replica::StateMachine as _;
use basilfield::wire::Lease;
use goldenscript::ArgumentConsumer;
use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

/// Agent with the leases of the items that it runs.
#[derive(Default)]
struct Agent {
    held: Vec<Lease>,
    /// Whether the agent renews its leases while time passes.
    renews: bool,
}

/// Lease that an agent may act on.
struct ValidLease {
    agent: Arc<str>,
    attempt: u64,
    end: Duration,
}

/// Duration of a lease, as in the default [`leases::Config`].
const LEASE: Duration = Duration::from_secs(3);

/// Group of one leader and one follower.
pub struct Group {
    leader: Table,
    follower: Table,
    leases: Leases,
    now: Duration,
    /// Group time at the last election, and the value of `now` at that election.
    epoch: (u64, Duration),
    index: u64,
    token: u64,
    agents: BTreeMap<Arc<str>, Agent>,
    /// Whether the failed attempts of the next lost leases are not proposed.
    drop_reports: bool,
    /// Last proposed failed attempt, which `resend` proposes again.
    last_report: Option<Command>,
    /// Leases that running agents may act on, by job and item.
    valid: BTreeMap<(Arc<str>, u32), ValidLease>,
    /// Names of the jobs and their `workspace/key`, in order of appearance.
    names: Vec<(String, String)>,
    /// Ids of the grants in order of appearance, printed as `#1`, `#2` and so on.
    attempts: Vec<u64>,
}

impl Group {
    pub fn new() -> Group {
        let mut group = Group {
            leader: Table::default(),
            follower: Table::default(),
            leases: Leases::new(leases::Config::default()),
            now: Duration::ZERO,
            epoch: (0, Duration::ZERO),
            index: 0,
            token: 0,
            agents: BTreeMap::new(),
            drop_reports: false,
            last_report: None,
            valid: BTreeMap::new(),
            names: Vec::new(),
            attempts: Vec::new(),
        };
        let jobs = group.leader.start_recording();
        group.step(Input::Elected { agents: Vec::new(), jobs });
        group
    }

    fn job_name(&mut self, path: &str) -> Arc<str> {
        let (workspace, key) = path.split_once('/').expect("a job should be named workspace/key");
        let name = Id::of(workspace, key).name();
        if !self.names.iter().any(|(hex, _)| **hex == *name) {
            self.names.push((name.to_string(), path.to_string()));
        }
        name
    }

    fn format_lease(&mut self, lease: &Lease) -> String {
        let known = self.attempts.iter().position(|a| *a == lease.attempt);
        let number = known.unwrap_or_else(|| {
            self.attempts.push(lease.attempt);
            self.attempts.len() - 1
        });
        let name = self.names.iter().find(|(hex, _)| **hex == *lease.job);
        format!("{}:{}#{}", name.map_or("?", |n| &n.1), lease.item, number + 1)
    }

    fn format_leases(&mut self, items: &[Lease]) -> String {
        if items.is_empty() {
            return "nothing".into();
        }
        items.iter().map(|l| self.format_lease(l)).collect::<Vec<_>>().join(" ")
    }

    /// Applies a command on both replicas. Returns the reply and the text of the leases' outputs.
    pub fn propose(&mut self, command: Command) -> (Reply, String) {
        if matches!(command, Command::FailAttempt { .. }) {
            self.last_report = Some(command.clone());
        }
        let elapsed = self.now - self.epoch.1;
        let clock = self.epoch.0 + elapsed.as_millis() as u64;
        let data = StampedCommand { clock, command }.encode();
        self.index += 1;
        let reply = self.leader.apply(self.index, &data);
        assert_eq!(
            reply,
            self.follower.apply(self.index, &data),
            "replicas return different replies"
        );
        let mut text = String::new();
        for change in self.leader.take_changes() {
            match &change {
                Change::ItemEnded { job, item, .. } => {
                    drop(self.valid.remove(&(job.clone(), *item)))
                }
                Change::ItemDelayed { job, attempt, .. } => {
                    self.valid.retain(|(name, _), v| name != job || v.attempt != *attempt);
                }
                Change::JobCancelled { job } => self.valid.retain(|(name, _), _| name != job),
                Change::JobAccepted(_) => {}
            }
            text += &self.step(Input::Change(change));
        }
        (Reply::decode(&reply).expect("the reply should decode"), text)
    }

    /// Passes an input to the leases, carries out their outputs and returns them as text.
    fn step(&mut self, input: Input) -> String {
        let mut text = String::new();
        for output in self.leases.step(self.now, input) {
            match output {
                Output::Grant { agent, items, .. } => {
                    text += &format!("grant {agent}: {}\n", self.format_leases(&items));
                    for lease in &items {
                        assert!(
                            self.leader.build_grant(lease).is_some(),
                            "granted an item that must not run: {lease:?}"
                        );
                        let end = self.now + LEASE;
                        let key = (lease.job.clone(), lease.item);
                        let new = ValidLease { agent: agent.clone(), attempt: lease.attempt, end };
                        let old = self.valid.insert(key, new);
                        assert!(
                            old.is_none_or(|old| old.end <= self.now),
                            "granted while another lease is valid: {lease:?}"
                        );
                    }
                    self.agents.entry(agent).or_default().held.extend(items);
                }
                Output::Stop { agent, items } => {
                    text += &format!("stop {agent}: {}\n", self.format_leases(&items));
                    let held = &mut self.agents.entry(agent).or_default().held;
                    held.retain(|lease| !items.contains(lease));
                }
                Output::Lost { agent, items } => {
                    text += &format!("lost {agent}: {}\n", self.format_leases(&items));
                    let drop_reports = std::mem::take(&mut self.drop_reports);
                    for Lease { job, item, attempt } in items.into_iter().filter(|_| !drop_reports)
                    {
                        let valid = self.valid.remove(&(job.clone(), item));
                        assert!(
                            valid.is_none_or(|v| v.end <= self.now),
                            "a valid lease was reported as lost"
                        );
                        let cause = FailureCause::WorkerLost;
                        let command = Command::FailAttempt { job, item, attempt, cause };
                        let (reply, more) = self.propose(command);
                        text += &format!("  {reply:?}\n{more}");
                    }
                }
            }
        }
        text
    }

    /// Advances time in steps of 100 ms; renewing agents renew once a second.
    fn advance(&mut self, millis: u64) -> String {
        let mut text = String::new();
        for _ in 0..millis / 100 {
            self.now += Duration::from_millis(100);
            text += &self.step(Input::Tick);
            if self.now.subsec_millis() == 0 {
                let renewing: Vec<_> =
                    self.agents.iter().filter(|(_, a)| a.renews).map(|(n, _)| n.clone()).collect();
                for agent in renewing {
                    text += &self.renew(agent);
                }
            }
        }
        text
    }

    fn renew(&mut self, agent: Arc<str>) -> String {
        let record = self.agents.entry(agent.clone()).or_default();
        record.renews = true;
        let held = record.held.clone();
        let text = self.step(Input::Renew { agent: agent.clone(), held });
        let end = self.now + LEASE;
        for Lease { job, item, attempt } in &self.agents[&agent].held {
            let valid = ValidLease { agent: agent.clone(), attempt: *attempt, end };
            self.valid.insert((job.clone(), *item), valid);
        }
        text
    }

    /// Makes the follower the leader. The old leader loses its memory and becomes the follower
    /// from a snapshot.
    fn failover(&mut self, agents: Vec<Arc<str>>) -> String {
        let snapshot = self.leader.snapshot();
        assert_eq!(snapshot, self.follower.snapshot(), "replicas hold different states");
        std::mem::swap(&mut self.leader, &mut self.follower);
        self.follower = Table::default();
        self.follower.restore(&snapshot).expect("the snapshot should restore");
        assert_eq!(
            snapshot,
            self.follower.snapshot(),
            "a restored table differs from its snapshot"
        );
        self.epoch = (self.leader.clock(), self.now);
        self.leases = Leases::new(leases::Config { seed: self.index, ..Default::default() });
        let jobs = self.leader.start_recording();
        self.step(Input::Elected { agents, jobs })
    }

    fn pull(&mut self, agent: Arc<str>, free: u32, wait: u64, model: Arc<str>) -> String {
        self.token += 1;
        let models = vec![model];
        let wait = Duration::from_millis(wait);
        self.step(Input::Pull { token: self.token, agent, free, models, wait })
    }

    /// Leases that the agent holds of the named items (`job/item`), or all of them if none is
    /// named.
    fn held(
        &mut self,
        agent: &str,
        names: &mut ArgumentConsumer<'_>,
    ) -> Result<Vec<Lease>, Box<dyn Error>> {
        let mut leases = Vec::new();
        while let Some(name) = names.next_pos() {
            let (job, item) = name.rsplit_once('/').ok_or("expected job/item")?;
            let (job, item) = (self.job_name(job), item.parse::<u32>()?);
            let held = self.agents.get(agent).into_iter().flat_map(|a| &a.held);
            let mut held = held.filter(|l| l.job == job && l.item == item);
            leases.push(held.next().ok_or("the agent does not hold this item")?.clone());
        }
        if leases.is_empty() {
            leases = self.agents.get(agent).map(|a| a.held.clone()).unwrap_or_default();
        }
        Ok(leases)
    }

    /// Lets an agent end an item that it holds.
    fn complete(&mut self, agent: &str, lease: Lease, body: &str, ok: bool) -> String {
        let shown = self.format_lease(&lease);
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.held.retain(|l| *l != lease);
        }
        let body = body.to_string().into();
        let outcome = if ok { ItemOutcome::Done(body) } else { ItemOutcome::Failed(body) };
        let Lease { job, item, attempt } = lease;
        let (reply, more) = self.propose(Command::Complete { job, item, attempt, outcome });
        format!("{shown} {reply:?}\n{more}")
    }

    /// Grants items to one agent, for a number of grants or until a job is finished, and returns
    /// the number of items per job.
    fn serve(&mut self, agent: Arc<str>, free: u32, grants: u32, until: &str) -> String {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        let query = Query::Job { job: self.job_name(until) };
        for _ in 0..grants {
            if format!("{:?}", self.leader.query(&query)).contains("state: Finished") {
                break;
            }
            self.pull(agent.clone(), free, 0, "m".into());
            let held = self.agents.get(&agent).map(|a| a.held.clone()).unwrap_or_default();
            assert!(!held.is_empty(), "no item was granted although a job is open");
            for lease in held {
                let name = self.format_lease(&lease);
                *counts.entry(name.split(':').next().unwrap_or("").into()).or_default() += 1;
                self.complete(&agent, lease, "x", true);
            }
        }
        format!("{counts:?}\n")
    }

    /// Runs all remaining items and checks that no job stays open.
    fn finish(&mut self, agent: Arc<str>) -> String {
        for _ in 0..100 {
            self.pull(agent.clone(), 8, 0, "m".into());
            for lease in self.agents.remove(&agent).unwrap_or_default().held {
                self.complete(&agent, lease, "x", true);
            }
        }
        let open = self.leader.start_recording();
        assert!(open.is_empty(), "jobs stay open: {open:?}");
        String::new()
    }

    fn upload(&mut self, path: &str, total: u32, due: u64) {
        let job = self.job_name(path);
        self.open(path, 1, total, due);
        let items: Vec<u32> = (0..total).collect();
        for (seq, chunk) in items.chunks(10_000).enumerate() {
            let item =
                |i: &u32| NewItem { custom_id: i.to_string().into(), body: i.to_string().into() };
            let items = chunk.iter().map(item).collect();
            self.propose(Command::Chunk { job: job.clone(), seq: seq as u32, items });
        }
        self.propose(Command::Seal { job });
    }

    fn open(&mut self, path: &str, digest: u64, total: u32, due: u64) -> (Reply, String) {
        let (workspace, key) = path.split_once('/').expect("a job should be named workspace/key");
        let model = "m".into();
        let (workspace, key) = (workspace.into(), key.into());
        self.propose(Command::Open { workspace, key, digest, model, due, total })
    }

    fn replace_names(&self, text: String) -> String {
        self.names.iter().fold(text, |text, (hex, name)| text.replace(hex, name))
    }
}

impl goldenscript::Runner for Group {
    type Command = goldenscript::Command;

    fn run(
        &mut self,
        command: &goldenscript::Command,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let digest = args.take_key("digest").unwrap_or("1").parse()?;
        let due = args.take_key("due").unwrap_or("86400000").parse()?;
        let lost = args.take_key("reply") == Some("lost");
        let id = args.take_key("id").unwrap_or("c1").into();
        let free = args.take_key("free").unwrap_or("1").parse()?;
        let wait = args.take_key("wait").unwrap_or("0").parse()?;
        let body = args.take_key("body").unwrap_or("answer");
        let attempt = args.take_key("attempt").unwrap_or("0").parse()?;
        let by: Arc<str> = args.take_key("agent").unwrap_or("a1").into();
        let mut next = || args.next_pos().ok_or("an argument is missing");
        let path = if ["serve", "resend", "drop-reports"].contains(&&*command.name) {
            ""
        } else {
            next()?
        };
        let text = match command.name.as_str() {
            "open" => {
                self.job_name(path);
                let total = next()?.parse()?;
                self.format_reply(|group| group.open(path, digest, total, due))
            }
            "chunk" => {
                let job = self.job_name(path);
                let seq = next()?.parse()?;
                let mut items = Vec::new();
                while let Some(custom) = args.next_pos() {
                    items.push(NewItem {
                        custom_id: custom.into(),
                        body: custom.to_string().into(),
                    });
                }
                self.format_reply(|group| group.propose(Command::Chunk { job, seq, items }))
            }
            "upload" => {
                self.upload(path, next()?.parse()?, due);
                String::new()
            }
            "seal" => {
                let job = self.job_name(path);
                self.format_reply(|group| group.propose(Command::Seal { job }))
            }
            "cancel" => {
                let job = self.job_name(path);
                self.format_reply(|group| group.propose(Command::Cancel { job, id }))
            }
            "claim" => {
                let (workspace, key) = path.split_once('/').ok_or("expected workspace/key")?;
                let (workspace, key) = (workspace.into(), key.into());
                let connection = AgentConnection::default();
                let claim =
                    Command::Claim { workspace, key, digest, attempt, agent: by, connection };
                self.format_reply(|group| group.propose(claim))
            }
            "settle" => {
                let (workspace, key) = path.split_once('/').ok_or("expected workspace/key")?;
                let (workspace, key) = (workspace.into(), key.into());
                let outcome = match next()? {
                    "never-ran" => ClaimOutcome::NeverRan,
                    "unknown" => ClaimOutcome::Unknown,
                    answer => ClaimOutcome::Done(answer.to_string().into()),
                };
                let settle = Command::Settle { workspace, key, attempt, outcome };
                self.format_reply(|group| group.propose(settle))
            }
            "expire" => {
                let retention = path.parse()?;
                self.format_reply(|group| group.propose(Command::Expire { retention }))
            }
            "pull" => self.pull(path.into(), free, wait, "m".into()),
            "renew" => self.renew(path.into()),
            "complete" | "fail" => {
                let ok = command.name == "complete";
                let held = self.held(path, &mut args)?;
                held.into_iter().map(|lease| self.complete(path, lease, body, ok)).collect()
            }
            "transient" => {
                let mut text = String::new();
                for Lease { job, item, attempt } in self.held(path, &mut args)? {
                    let cause = FailureCause::Transient;
                    let command = Command::FailAttempt { job, item, attempt, cause };
                    text += &self.format_reply(|group| group.propose(command));
                    let held = &mut self.agents.entry(path.into()).or_default().held;
                    held.retain(|lease| lease.attempt != attempt);
                }
                text
            }
            "release" => {
                let items = self.held(path, &mut args)?;
                self.agents.entry(path.into()).or_default().held.retain(|l| !items.contains(l));
                for Lease { job, item, attempt } in &items {
                    self.valid.retain(|(j, i), v| (j, *i, v.attempt) != (job, *item, *attempt));
                }
                self.step(Input::Release { agent: path.into(), items })
            }
            "silence" => {
                self.agents.entry(path.into()).or_default().renews = false;
                String::new()
            }
            "crash" => {
                self.agents.remove(path);
                self.valid.retain(|_, valid| *valid.agent != *path);
                String::new()
            }
            "pass" => self.advance(path.parse()?),
            "failover" => self.failover(path.split('/').map(Into::into).collect()),
            "serve" => {
                let grants = args.take_key("grants").unwrap_or("10000").parse()?;
                let until = args.take_key("until").unwrap_or("no/job");
                self.serve(by, free, grants, until)
            }
            "drop-reports" => {
                self.drop_reports = true;
                String::new()
            }
            "resend" => match self.last_report.clone() {
                Some(report) => self.format_reply(|group| group.propose(report)),
                None => String::new(),
            },
            "finish" => self.finish(path.into()),
            "weight" => {
                let weights = [(path.into(), next()?.parse()?)];
                self.step(Input::Weights(weights.into_iter().collect()))
            }
            "status" => {
                let query = Query::Job { job: self.job_name(path) };
                format!("{:?}\n", self.leader.query(&query))
            }
            "results" => {
                let query = Query::Results { job: self.job_name(path), from: 0, limit: 100 };
                format!("{:?}\n", self.leader.query(&query)).replace("ItemResult", "\n  ")
            }
            "jobs" => {
                let query = Query::Jobs { workspace: path.into(), after: None, limit: 100 };
                format!("{:?}\n", self.leader.query(&query)).replace("Status", "\n  ")
            }
            name => return Err(format!("unknown command {name}").into()),
        };
        args.reject_next()?;
        Ok(if lost { "reply lost\n".into() } else { self.replace_names(text) })
    }
}

impl Group {
    fn format_reply(&mut self, run: impl FnOnce(&mut Group) -> (Reply, String)) -> String {
        let (reply, more) = run(self);
        format!("{reply:?}\n{more}")
    }
}

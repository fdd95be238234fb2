//! Runs the commands of a scenario against a gate and an attempt table, with a manual clock in
//! milliseconds.

use basilfield::gate;
use basilfield::gate::Class;
use basilfield::gate::Gate;
use basilfield::gate::Input;
use basilfield::gate::Output;
use basilfield::gate::attempts;
use goldenscript::ArgumentConsumer;
use std::error::Error;
use std::fmt::Write as _;
use std::str::FromStr;
use std::time::Duration;

/// Interval between ticks while time passes, in milliseconds.
const TICK_PERIOD_MS: u64 = 20;

pub struct Script {
    config: gate::Config,
    gate: Gate,
    attempts: attempts::Attempts<()>,
    now: u64,
    /// Latest pull count of the current command, printed after its other outputs.
    pull: Option<u32>,
}

impl Script {
    pub fn new() -> Script {
        let config = gate::Config {
            slots: 4,
            floor_percent: 0,
            headroom_percent: 0,
            ..gate::Config::default()
        };
        Script {
            gate: Gate::new(config.clone()),
            attempts: attempts::Attempts::new(attempts::Bounds::default()),
            config,
            now: 0,
            pull: None,
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn step(&mut self, input: Input, out: &mut String) -> Result<(), Box<dyn Error>> {
        for output in self.gate.step(self.now(), input) {
            match output {
                Output::Start { id } => writeln!(out, "start {id}")?,
                Output::Preempt { id } => writeln!(out, "preempt {id}")?,
                Output::Refuse { id, reason, retry } => {
                    writeln!(out, "refuse {id}: {reason}, retry {} ms", retry.as_millis())?;
                }
                Output::Withdrawn { id, ran } => writeln!(out, "withdrawn {id}, ran: {ran}")?,
                Output::Pull { count } => self.pull = Some(count),
                Output::Idle => writeln!(out, "idle")?,
            }
        }
        Ok(())
    }

    fn advance_time(&mut self, time: u64, out: &mut String) -> Result<(), Box<dyn Error>> {
        for _ in 0..time / TICK_PERIOD_MS {
            self.now += TICK_PERIOD_MS;
            let mut lines = String::new();
            self.step(Input::Tick, &mut lines)?;
            for line in lines.lines() {
                writeln!(out, "{}: {line}", self.now)?;
            }
        }
        Ok(())
    }

    fn configure(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Box<dyn Error>> {
        let config = &mut self.config;
        config.slots = key(args, "slots", config.slots)?;
        config.floor_percent = key(args, "floor", config.floor_percent)?;
        config.headroom_percent = key(args, "headroom", config.headroom_percent)?;
        config.max_queue = key(args, "queue", config.max_queue)?;
        config.max_preemptions = key(args, "preemptions", config.max_preemptions)?;
        config.online_priority = key(args, "policy", config.online_priority)?;
        self.gate = Gate::new(config.clone());
        Ok(())
    }

    fn submit(
        &mut self,
        class: Class,
        args: &mut ArgumentConsumer<'_>,
        out: &mut String,
    ) -> Result<(), Box<dyn Error>> {
        let workspace = key(args, "ws", "needle".to_string())?;
        let deadline = Duration::from_millis(key(args, "deadline", 600_000)?);
        for id in ids(args)? {
            let workspace = workspace.as_str().into();
            self.step(Input::Submit { id, class, workspace, deadline }, out)?;
        }
        Ok(())
    }

    fn step_each(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        out: &mut String,
        input: impl Fn(u64) -> Input,
    ) -> Result<(), Box<dyn Error>> {
        for id in ids(args)? {
            self.step(input(id), out)?;
        }
        Ok(())
    }

    /// Runs a command on the attempt table.
    fn attempt(
        &mut self,
        name: &str,
        args: &mut ArgumentConsumer<'_>,
        out: &mut String,
    ) -> Result<(), Box<dyn Error>> {
        let now = self.now();
        let entry = key(args, "entry", "e1".to_string())?;
        let connection: u64 = key(args, "on", 1)?;
        let sent_on: u64 = key(args, "sent", connection)?;
        if name == "connect" {
            let newest = self.attempts.register_connection(&entry.as_str().into(), connection);
            writeln!(out, "newest: {newest}")?;
        }
        for id in ids(args)? {
            let entry = entry.as_str().into();
            match name {
                "admit" => match self.attempts.admit(id, &entry, connection) {
                    Ok(()) => writeln!(out, "{id}: admitted")?,
                    Err(denial) => writeln!(out, "{id}: {denial:?}")?,
                },
                "begin" => writeln!(out, "{id}: {}", self.attempts.start(id))?,
                "finish" => self.attempts.finish(now, id, ()),
                "refuse" => self.attempts.refuse(now, id),
                "settle" => self.attempts.acknowledge(id),
                _ => {
                    let withdraw = attempts::WithdrawRequest { id, entry, connection, sent_on };
                    writeln!(out, "{id}: {:?}", self.attempts.withdraw(now, &withdraw))?;
                }
            }
        }
        Ok(())
    }
}

/// Parses ids, written as `7` or as a range `1-8`.
fn ids(args: &mut ArgumentConsumer<'_>) -> Result<Vec<u64>, Box<dyn Error>> {
    let mut ids = Vec::new();
    while let Some(word) = args.next_pos() {
        let (first, last) = word.split_once('-').unwrap_or((word, word));
        ids.extend(first.parse::<u64>()?..=last.parse::<u64>()?);
    }
    Ok(ids)
}

/// Returns the value of `name=VALUE`, or `default`.
fn key<T>(args: &mut ArgumentConsumer<'_>, name: &str, default: T) -> Result<T, Box<dyn Error>>
where
    T: FromStr,
    T::Err: Error + 'static,
{
    Ok(args.take_key(name).map(str::parse).transpose()?.unwrap_or(default))
}

fn number(args: &mut ArgumentConsumer<'_>) -> Result<u64, Box<dyn Error>> {
    Ok(args.next_pos().ok_or("a number is missing from the command")?.parse()?)
}

impl goldenscript::Runner for Script {
    type Command = goldenscript::Command;

    fn run(
        &mut self,
        command: &goldenscript::Command,
        _context: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut out = String::new();
        let mut args = command.consume_args();
        match command.name.as_str() {
            "config" => self.configure(&mut args)?,
            "online" => self.submit(Class::Online, &mut args, &mut out)?,
            "batch" => self.submit(Class::Batch, &mut args, &mut out)?,
            "withdraw" => self.step_each(&mut args, &mut out, |id| Input::Withdraw { id })?,
            "token" => self.step_each(&mut args, &mut out, |id| Input::Token { id, count: 1 })?,
            "done" => self.step_each(&mut args, &mut out, |id| Input::Done { id, ok: true })?,
            "cancelled" => self.step_each(&mut args, &mut out, |id| Input::Cancelled { id })?,
            "slots" => {
                let slots = number(&mut args)? as u32;
                self.step(Input::Slots(slots), &mut out)?;
            }
            "drain" => self.step(Input::Drain, &mut out)?,
            "resume" => self.step(Input::Resume, &mut out)?,
            "pass" => {
                let time = number(&mut args)?;
                self.advance_time(time, &mut out)?;
            }
            "load" => writeln!(out, "{:?}", self.gate.load())?,
            "expire" => self.attempts.expire(self.now()),
            name @ ("connect" | "admit" | "begin" | "finish" | "refuse" | "settle" | "recall") => {
                self.attempt(name, &mut args, &mut out)?;
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_next()?;
        if let Some(count) = self.pull.take() {
            writeln!(out, "pull {count}")?;
        }
        Ok(out)
    }
}

//! Runs the commands of a scenario against a router and the limits of workspaces, with a manual
//! clock in milliseconds.

use basilfield::router;
use basilfield::router::Observation;
use basilfield::router::limits;
use basilfield::wire;
use goldenscript::ArgumentConsumer;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

pub struct Script {
    router: router::Router,
    limits: limits::Limits,
    candidates: Vec<router::Candidate>,
    now: u64,
}

impl Script {
    pub fn new() -> Script {
        let limit = limits::Limit { rate: 2.0, burst: 4.0, concurrent: 3 };
        Script {
            router: router(router::Config::default(), "e1"),
            limits: limits::Limits::new(limit),
            candidates: Vec::new(),
            now: 0,
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// `fleet 9 domains=3 regions=1`: sets the candidates to agents a0 to a8, spread over the
    /// failure domains.
    fn fleet(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Box<dyn Error>> {
        let domains: u64 = key(args, "domains", 3)?;
        let regions: u64 = key(args, "regions", 1)?;
        let count: u64 = positional(args)?;
        self.candidates = (0..count)
            .map(|n| router::Candidate {
                agent: format!("a{n}").into(),
                domain: format!("d{}", n % domains).into(),
                region: format!("r{}", n % domains % regions).into(),
                models: vec!["m".into()],
                slots: 8,
            })
            .collect();
        self.router.set_candidates(self.candidates.clone());
        Ok(())
    }

    fn query(&self, args: &mut ArgumentConsumer<'_>) -> Result<router::Query, Box<dyn Error>> {
        let tried: String = key(args, "tried", String::new())?;
        Ok(router::Query {
            model: "m".into(),
            prefix: key(args, "prefix", 0)?,
            deadline: Duration::from_millis(key(args, "deadline", 10_000)?),
            tried: tried.split_terminator('/').map(Arc::from).collect(),
        })
    }

    /// `pick 100 [end=finished|failed|none] [tried=a1/a2] [prefix=7] [deadline=500] [every=10]
    /// [frozen=a4]`: sends requests, one after each `every` milliseconds, and counts them by agent.
    /// Those at the agent `frozen` do not end.
    fn pick(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        out: &mut String,
    ) -> Result<(), Box<dyn Error>> {
        let query = self.query(args)?;
        let end: String = key(args, "end", "finished".to_string())?;
        let frozen: String = key(args, "frozen", String::new())?;
        let every: u64 = key(args, "every", 0)?;
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..positional::<u32>(args)? {
            self.now += every;
            let line = match self.router.pick(self.now(), &query) {
                Ok(pick) => {
                    self.router.observe(self.now(), &pick.agent, Observation::Started);
                    if *pick.agent != *frozen {
                        self.end(&pick.agent, &end)?;
                    }
                    format!("{}{}", pick.agent, if pick.probe { " probe" } else { "" })
                }
                Err(refusal) => {
                    format!("refused: {}, retry {} ms", refusal.reason, refusal.retry.as_millis())
                }
            };
            *counts.entry(line).or_default() += 1;
        }
        for (line, count) in counts {
            writeln!(out, "{count} x {line}")?;
        }
        Ok(())
    }

    fn end(&mut self, agent: &str, end: &str) -> Result<(), Box<dyn Error>> {
        let event = match end {
            "finished" => Observation::Finished,
            "failed" => Observation::Failed,
            "none" => return Ok(()),
            end => return Err(format!("unknown end {end}").into()),
        };
        self.router.observe(self.now(), agent, event);
        Ok(())
    }

    /// `see a1 a2 event=EVENT [retry=2000] [queued=20] [running=8]`: reports an event at each agent
    /// to the router.
    fn observe(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Box<dyn Error>> {
        let retry = Duration::from_millis(key(args, "retry", 0)?);
        let (queued, running) = (key(args, "queued", 0)?, key(args, "running", 0)?);
        let event: String = key(args, "event", String::new())?;
        while let Some(agent) = args.next_pos() {
            let event = match event.as_str() {
                "started" => Observation::Started,
                "progress" => Observation::Progress,
                "finished" => Observation::Finished,
                "failed" => Observation::Failed,
                "abandoned" => Observation::Abandoned,
                "refused" => Observation::Refused { reason: wire::Reason::QueueFull, retry },
                "load" => Observation::Load { queued, running },
                event => return Err(format!("unknown event {event}").into()),
            };
            self.router.observe(self.now(), agent, event);
        }
        Ok(())
    }

    fn admit(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
        out: &mut String,
    ) -> Result<(), Box<dyn Error>> {
        let workspace: String = key(args, "ws", "needle".to_string())?;
        for _ in 0..positional::<u32>(args)? {
            match self.limits.admit(self.now(), &workspace) {
                Ok(()) => writeln!(out, "admitted")?,
                Err(r) => writeln!(out, "{}, retry {} ms", r.reason, r.retry.as_millis())?,
            }
        }
        Ok(())
    }
}

/// Returns the router of an entry in failure domain `d0`.
pub fn router(config: router::Config, entry: &str) -> router::Router {
    router::Router::new(config, entry.into(), "d0".into(), 7)
}

fn names<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> String {
    let names: Vec<&str> = names.map(|n| &**n).collect();
    if names.is_empty() { "none".into() } else { names.join(" ") }
}

/// Returns the value of `name=VALUE`, or `default`.
fn key<T>(args: &mut ArgumentConsumer<'_>, name: &str, default: T) -> Result<T, Box<dyn Error>>
where
    T: FromStr,
    T::Err: Error + 'static,
{
    Ok(args.take_key(name).map(str::parse).transpose()?.unwrap_or(default))
}

fn positional<T>(args: &mut ArgumentConsumer<'_>) -> Result<T, Box<dyn Error>>
where
    T: FromStr,
    T::Err: Error + 'static,
{
    Ok(args.next_pos().ok_or("an argument is missing from the command")?.parse()?)
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
            "config" => {
                let default = router::Config::default();
                let config = router::Config {
                    subset_size: key(&mut args, "subset", default.subset_size)?,
                    ejected_percent: key(&mut args, "ejected", default.ejected_percent)?,
                    ..default
                };
                self.router = router(config, "e1");
            }
            "fleet" => self.fleet(&mut args)?,
            "leave" => {
                let agent: String = positional(&mut args)?;
                self.candidates.retain(|c| *c.agent != *agent);
                self.router.set_candidates(self.candidates.clone());
            }
            "subset" => writeln!(out, "{}", names(self.router.subset()))?,
            "ejected" => writeln!(out, "{}", names(self.router.ejected()))?,
            "pick" => self.pick(&mut args, &mut out)?,
            "see" => self.observe(&mut args)?,
            "retry" => {
                let count: u32 = positional(&mut args)?;
                let now = self.now();
                let granted = (0..count).filter(|_| self.router.try_take_retry(now)).count();
                writeln!(out, "{granted} of {count}")?;
            }
            "admit" => self.admit(&mut args, &mut out)?,
            "release" => self.limits.release(&key(&mut args, "ws", "needle".to_string())?),
            "pass" => self.now += positional::<u64>(&mut args)?,
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_next()?;
        Ok(out)
    }
}

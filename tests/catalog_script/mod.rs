//! Interpreter of the scenario scripts: applies commands of operators and agents to a catalog and
//! restarts it.

use basilfield::catalog;
use basilfield::template;
use catalog::AgentRecord;
use catalog::Answer;
use catalog::Catalog;
use catalog::Command;
use catalog::Endpoint;
use catalog::Query;
use goldenscript::ArgumentConsumer;
use std::error::Error;
use std::fmt::Write as _;
use std::sync::Arc;

type Outcome = Result<String, Box<dyn Error>>;

/// Catalog with its log and the last snapshot, if one was taken.
#[derive(Default)]
pub struct Script {
    catalog: Catalog,
    log: Vec<Vec<u8>>,
    snapshot: Option<(usize, Vec<u8>)>,
}

impl Script {
    /// Current state of the catalog.
    #[allow(dead_code, reason = "not used by every test binary")]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Applies a command at the next log index and returns the reply as text.
    pub fn commit(&mut self, command: &Command) -> String {
        let data = catalog::encode(command);
        self.log.push(data.clone());
        let reply = self.catalog.apply(self.log.len() as u64, &data);
        catalog::decode::<catalog::Reply>(&reply).expect("reply decodes").to_string() + "\n"
    }

    /// `put ID OPERATOR TEMPLATE [expected=REVISION] NAME=VALUE..`. `key=` sets `keys` to one hash,
    /// padded with zeros.
    fn put(&mut self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let (id, operator) = origin(args)?;
        let template = required(args)?;
        let expected = args.take_key("expected").map(str::parse).transpose()?;
        let given = std::iter::from_fn(|| args.next_key()).map(|(name, value)| match name {
            "key" => ("keys", format!("{value:0>64}")),
            name => (name, value.to_string()),
        });
        self.change(id, operator, expected, template, given.collect())
    }

    fn change(
        &mut self,
        id: Arc<str>,
        operator: Arc<str>,
        expected: Option<u64>,
        template: &str,
        given: Vec<(&str, String)>,
    ) -> Outcome {
        let template = template::get(template).ok_or("unknown template")?;
        let given = given.into_iter();
        let parameters: template::Parameters = given
            .map(|(name, value)| (name.into(), template::RawValue::Text(value.into())))
            .collect();
        let problems = |p: Vec<template::Problem>| p[0].to_string();
        let document = template::fill(template, &parameters).map_err(problems)?;
        let changes = vec![catalog::Change::put(document)];
        Ok(self.commit(&Command::Change { id, expected, operator, changes }))
    }

    /// `withdraw ID OPERATOR [expected=REVISION] NAME..`
    fn withdraw(&mut self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let (id, operator) = origin(args)?;
        let expected = args.take_key("expected").map(str::parse).transpose()?;
        let mut changes = Vec::new();
        while let Some(name) = args.next_pos() {
            changes.push(catalog::Change::Withdraw { name: name.parse()? });
        }
        Ok(self.commit(&Command::Change { id, expected, operator, changes }))
    }

    /// `fill FROM TO`: for each number, changes one of 40 workspaces. Prints the last reply.
    fn fill(&mut self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let (from, to): (u32, u32) = (required(args)?.parse()?, required(args)?.parse()?);
        let mut last = Ok(String::new());
        for number in from..=to {
            let given =
                vec![("name", format!("w{}", number % 40)), ("keys", format!("{number:064}"))];
            last =
                self.change(format!("f{number}").into(), "kofi".into(), None, "workspace", given);
        }
        last
    }

    /// `join AGENT NAME=KIND/MODEL..`
    fn join(&mut self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let name: Arc<str> = required(args)?.into();
        let mut endpoints = Vec::new();
        while let Some((endpoint, value)) = args.next_key() {
            let (kind, model) = value.split_once('/').ok_or("write KIND/MODEL")?;
            let service = kind == "service";
            let kind = if service {
                catalog::EndpointKind::Service
            } else {
                catalog::EndpointKind::Engine
            };
            endpoints.push(Endpoint {
                name: endpoint.into(),
                kind,
                address: "127.0.0.1:8000".into(),
                models: vec![model.into()],
                slots: 8,
                fencing: false,
            });
        }
        let (domain, region, address) =
            ("osu-hall".into(), "accra".into(), "127.0.0.1:7000".into());
        let agent = AgentRecord { name, address, domain, region, endpoints };
        Ok(self.commit(&Command::Join { agent }))
    }

    /// `leave AGENT [expired=INDEX]`
    fn leave(&mut self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let agent = required(args)?.into();
        let reason = match args.take_key("expired") {
            Some(joined) => catalog::LeaveReason::Expired { joined: joined.parse()? },
            None => catalog::LeaveReason::Stopped,
        };
        Ok(self.commit(&Command::Leave { agent, reason }))
    }

    /// `order ID OPERATOR ENDPOINT MODEL [limit=MS]`
    fn order(&mut self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let (id, operator) = origin(args)?;
        let (endpoint, model) = (required(args)?.into(), required(args)?.into());
        let limit = args.take_key("limit").map_or(Ok(60_000), str::parse)?;
        let order = catalog::Order { kind: catalog::OrderKind::Load, model, limit };
        Ok(self.commit(&Command::Order { id, endpoint, order, operator }))
    }

    /// `done NUMBER [failed=CAUSE]`
    fn done(&mut self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let number = required(args)?.parse()?;
        let outcome = match args.take_key("failed") {
            Some(cause) => catalog::OrderOutcome::Failed { cause: cause.into() },
            None => catalog::OrderOutcome::Done,
        };
        Ok(self.commit(&Command::OrderDone { number, outcome }))
    }

    /// `restart`: restores the last snapshot, if there is one, and replays the log after it.
    fn restart(&mut self) -> Outcome {
        let (digest, before) = (self.catalog.digest(), self.catalog.snapshot());
        let mut catalog = Catalog::new();
        let mut from = 0;
        if let Some((index, data)) = &self.snapshot {
            catalog.restore(data)?;
            from = *index;
        }
        for (at, command) in self.log.iter().enumerate().skip(from) {
            catalog.apply(at as u64 + 1, command);
        }
        self.catalog = catalog;
        let (count, same) = (self.log.len() - from, self.catalog.snapshot() == before);
        let equal = self.catalog.digest() == digest;
        Ok(format!("replayed {count} commands; digest equal: {equal}; state equal: {same}\n"))
    }

    /// `status`
    fn status(&self) -> Outcome {
        let Answer::Summary(summary) = self.catalog.query(&Query::Summary) else {
            return Err("summary expected".into());
        };
        let mut text = format!(
            "revision {}, {} documents, {} agents, {} endpoints, {} draining\n",
            summary.revision,
            summary.documents,
            summary.agents,
            summary.endpoints,
            summary.draining
        );
        for order in self.catalog.orders().iter() {
            let outcome = order.outcome.as_ref().map_or("running".into(), ToString::to_string);
            writeln!(text, "{}: {} ({}): {outcome}", order.endpoint, order.order, order.by)?;
        }
        Ok(text)
    }

    /// `show NAME`
    fn show(&self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let answer = self.catalog.query(&Query::Show { name: required(args)?.parse()? });
        Ok(match answer {
            Answer::Document { stored, author } => {
                let author = author.map_or("unknown".into(), |a| a.to_string());
                format!("{}\n{author}\n", serde_json::to_string(&stored.document.body)?)
            }
            Answer::Missing { problem } => format!("{problem}\n"),
            _ => return Err("document expected".into()),
        })
    }

    /// `asked ID`: prints the recorded reply to a command.
    fn asked(&self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        match self.catalog.query(&Query::Change { id: required(args)?.into() }) {
            Answer::Change(Some(known)) => {
                let kept = if known.record.is_some() { "in history" } else { "not in history" };
                Ok(format!("{}: {} ({kept})\n", known.by, known.reply))
            }
            Answer::Change(None) => Ok("unknown id\n".into()),
            _ => Err("change expected".into()),
        }
    }

    /// `candidates MODEL`
    fn candidates(&self, args: &mut ArgumentConsumer<'_>) -> Outcome {
        let found = self.catalog.candidates(required(args)?);
        let names: Vec<&str> = found.map(|(_, e)| &*e.name).collect();
        Ok(format!("{}\n", names.join(" ")))
    }
}

fn required<'a>(args: &mut ArgumentConsumer<'a>) -> Result<&'a str, Box<dyn Error>> {
    args.next_pos().ok_or_else(|| "argument missing".into())
}

fn origin(args: &mut ArgumentConsumer<'_>) -> Result<(Arc<str>, Arc<str>), Box<dyn Error>> {
    Ok((required(args)?.into(), required(args)?.into()))
}

impl goldenscript::Runner for Script {
    type Command = goldenscript::Command;

    fn run(&mut self, command: &Self::Command, _: &goldenscript::Context) -> Outcome {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "put" => self.put(&mut args),
            "withdraw" => self.withdraw(&mut args),
            "fill" => self.fill(&mut args),
            "join" => self.join(&mut args),
            "leave" => self.leave(&mut args),
            "drain" => {
                let ((id, operator), target) = (origin(&mut args)?, required(&mut args)?.into());
                Ok(self.commit(&Command::Drain { id, target, operator }))
            }
            "resume" => {
                let ((id, operator), target) = (origin(&mut args)?, required(&mut args)?.into());
                Ok(self.commit(&Command::Resume { id, target, operator }))
            }
            "order" => self.order(&mut args),
            "done" => self.done(&mut args),
            "snapshot" => {
                self.snapshot = Some((self.log.len(), self.catalog.snapshot()));
                Ok(String::new())
            }
            "restart" => self.restart(),
            "status" => self.status(),
            "show" => self.show(&mut args),
            "asked" => self.asked(&mut args),
            "candidates" => self.candidates(&mut args),
            name => Err(format!("unknown command {name}").into()),
        }?;
        args.reject_next()?;
        Ok(output)
    }
}

//! Tests of orders from the catalog through an agent to an endpoint.

mod catalog_script;

use basilfield::catalog;
use catalog::orders::Enforcer;
use catalog::orders::enforcer::Input;
use catalog::orders::enforcer::Output;
use goldenscript::ArgumentConsumer;
use std::error::Error;
use std::fmt::Write as _;
use std::time::Duration;

/// Agent with a catalog and a clock that the script sets.
struct Agent {
    script: catalog_script::Script,
    enforcer: Enforcer,
    now: Duration,
}

impl Agent {
    /// Passes an event to the enforcer and commits the reported outcomes to the catalog.
    fn step(&mut self, input: Input) -> String {
        let mut text = String::new();
        for output in self.enforcer.step(self.now, input) {
            let line = match output {
                Output::Issue { endpoint, number, order } => {
                    format!("issue {number} to {endpoint}: {order}\n")
                }
                Output::Refused { endpoint, number, latest } => {
                    format!("order {number} for {endpoint} is refused, latest is {latest}\n")
                }
                Output::Report { number, outcome } => {
                    let text = format!("report {number}: {outcome}");
                    let reply =
                        self.script.commit(&catalog::Command::OrderDone { number, outcome });
                    format!("{text}: {reply}")
                }
            };
            text += &line;
        }
        text
    }

    /// `announce ENDPOINT [fencing=BOOL]`
    fn announce(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String, Box<dyn Error>> {
        let endpoint = args.next_pos().ok_or("endpoint missing")?;
        let fencing = args.take_key("fencing").is_some_and(|f| f == "true");
        let last = self.script.catalog().orders().get(endpoint).cloned();
        Ok(self.step(Input::Announced { endpoint: endpoint.into(), fencing, last }))
    }

    /// `watch`: passes the last order of every endpoint to the enforcer.
    fn watch(&mut self) -> String {
        let orders: Vec<_> = self.script.catalog().orders().iter().cloned().collect();
        orders.into_iter().map(|order| self.step(Input::Ordered(order))).collect()
    }

    /// `late ENDPOINT NUMBER`: passes the endpoint's last order to the enforcer as unfinished and
    /// with this number.
    fn late(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String, Box<dyn Error>> {
        let endpoint = args.next_pos().ok_or("endpoint missing")?;
        let mut order = self.script.catalog().orders().get(endpoint).ok_or("no order")?.clone();
        order.by.revision = args.next_pos().ok_or("number missing")?.parse()?;
        order.outcome = None;
        Ok(self.step(Input::Ordered(order)))
    }
}

impl goldenscript::Runner for Agent {
    type Command = goldenscript::Command;

    fn run(
        &mut self,
        command: &Self::Command,
        context: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        match command.name.as_str() {
            // `at SECONDS`
            "at" => {
                let seconds = args.next_pos().ok_or("seconds missing")?.parse()?;
                self.now = Duration::from_secs(seconds);
                Ok(self.step(Input::Tick))
            }
            // `process`: the agent restarts.
            "process" => {
                self.enforcer = Enforcer::new(self.now);
                Ok(String::new())
            }
            "announce" => self.announce(&mut args),
            "gone" => {
                let endpoint = args.next_pos().ok_or("endpoint missing")?.into();
                Ok(self.step(Input::Gone { endpoint }))
            }
            "watch" => Ok(self.watch()),
            "late" => self.late(&mut args),
            // `answer ENDPOINT NUMBER [old]`
            "answer" => {
                let endpoint = args.next_pos().ok_or("endpoint missing")?.into();
                let number = args.next_pos().ok_or("number missing")?.parse()?;
                let old = args.next_pos().is_some();
                let outcome =
                    if old { catalog::OrderOutcome::Old } else { catalog::OrderOutcome::Done };
                Ok(self.step(Input::Answered { endpoint, number, outcome }))
            }
            "due" => {
                let mut text = String::new();
                match self.enforcer.next_due() {
                    Some(due) => writeln!(text, "due at {} s", due.as_secs())?,
                    None => writeln!(text, "nothing is due")?,
                }
                Ok(text)
            }
            _ => self.script.run(command, context),
        }
    }
}

fn scenario(name: &str) {
    let script = catalog_script::Script::default();
    let mut agent = Agent { script, enforcer: Enforcer::new(Duration::ZERO), now: Duration::ZERO };
    let path = format!("tests/scenarios/catalog/{name}");
    goldenscript::run(&mut agent, path).expect("golden file matches");
}

/// Guards against an old order that is issued to an endpoint that does not check numbers, and
/// against two orders that run at the same time.
#[test]
fn order_with_old_number() {
    scenario("order_with_old_number");
}

/// Guards against a restarted agent that issues an order while one that was issued before the
/// restart may still run.
#[test]
fn agent_restart_during_order() {
    scenario("agent_restart_during_order");
}

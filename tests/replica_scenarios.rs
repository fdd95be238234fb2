//! Scripted failures of a replica group, with golden output under `scenarios/replica` and
//! `scenarios/turnover`.

mod network;

use basilfield::replica::Role;
use network::Network;
use std::error::Error;

type Outcome = Result<String, Box<dyn Error>>;

/// Runs a script on a group that forms and repairs itself.
struct Script {
    net: Network,
}

impl Script {
    /// Host named by an argument: `h1`, or `leader` for the current leader.
    fn host(&self, name: &str) -> Result<usize, Box<dyn Error>> {
        if name == "leader" {
            return self.net.leader().ok_or_else(|| "no leader".into());
        }
        let found = self.net.hosts.iter().position(|h| h.name == name);
        found.ok_or_else(|| format!("no host {name}").into())
    }

    fn status(&self) -> String {
        let line = |h: &network::Host| match &h.replica {
            None => format!("{} down\n", h.name),
            Some(r) => {
                let (id, role, term, commit) = (r.id(), r.role(), r.term(), r.commit_index());
                let voters: Vec<u64> = r.membership().voters().collect();
                let frozen = if h.frozen { " frozen" } else { "" };
                let name = &h.name;
                format!(
                    "{name} id={id} {role} term={term} commit={commit} voters={voters:?}{frozen}\n"
                )
            }
        };
        self.net.hosts.iter().map(line).collect()
    }

    /// Proposes a command at a host, and returns its outcome after the given number of ticks.
    fn propose(&mut self, at: usize, ticks: u32) -> String {
        let token = self.net.propose(at, "x");
        self.net.run(ticks);
        let requests = &self.net.requests;
        match (requests.committed.contains(&token), requests.refused.get(&token)) {
            (true, _) => "committed".into(),
            (_, Some(reason)) => format!("refused: {reason}"),
            _ => "in doubt".into(),
        }
    }

    fn read(&mut self, at: usize, ticks: u32) -> String {
        let token = self.net.read(at);
        self.net.run(ticks);
        match self.net.requests.refused.get(&token) {
            Some(reason) => format!("refused: {reason}"),
            None if self.net.requests.readable.contains(&token) => "readable".into(),
            None => "unanswered".into(),
        }
    }

    fn lose_disk(&mut self, at: usize) {
        self.net.kill(at, 0);
        self.net.wipe(at);
    }

    /// Loses a host and its disk in the tick in which a command is acknowledged.
    fn lose_after_acknowledgement(&mut self, at: usize) -> Outcome {
        let leader = self.host("leader")?;
        let token = self.net.propose(leader, "acknowledged");
        for _ in 0..100 {
            self.net.tick();
            if self.net.requests.committed.contains(&token) {
                self.lose_disk(at);
                return Ok("acknowledged".into());
            }
        }
        Err("not acknowledged".into())
    }

    /// Runs until a host leads. No other host has its first entry then.
    fn elect(&mut self) -> Outcome {
        for _ in 0..500 {
            self.net.tick();
            if let Some(at) = self.net.leader() {
                return Ok(self.net.hosts[at].name.clone());
            }
        }
        Err("no leader".into())
    }

    /// Commits commands in batches of ten.
    fn commit(&mut self, count: usize) -> Outcome {
        let before = self.net.requests.committed.len();
        while self.net.requests.committed.len() < before + count {
            let leader = self.net.await_leader();
            for _ in 0..10.min(before + count - self.net.requests.committed.len()) {
                self.net.propose(leader, vec![7; 20]);
            }
            self.net.run(5);
        }
        Ok(format!("{count} committed"))
    }
}

impl goldenscript::Runner for Script {
    type Command = goldenscript::Command;

    fn run(&mut self, command: &Self::Command, _: &goldenscript::Context) -> Outcome {
        let mut args = command.consume_args();
        let text = args.next_pos().unwrap_or_default();
        let ticks = args.take_key("ticks").unwrap_or("100").parse()?;
        args.reject_next()?;
        match command.name.as_str() {
            "manage" => self.net.managed = true,
            "open" => self.net.open_group(text.parse()?),
            "place" => self.net.place_group(text.parse()?),
            "grow" => self.net.grow_group(text.parse()?),
            "add" => self.net.add_host(),
            "empty" => self.net.leaving.push(text.into()),
            "compact" => self.net.compaction = text.parse()?,
            "elect" => return self.elect(),
            "run" => self.net.run(text.parse()?),
            "commit" => return self.commit(text.parse()?),
            "propose" => return Ok(self.propose(self.host(text)?, ticks)),
            "read" => return Ok(self.read(self.host(text)?, ticks)),
            "kill" => self.net.kill(self.host(text)?, 0),
            "start" => self.net.start(self.host(text)?),
            "lose" => self.lose_disk(self.host(text)?),
            "lose-after-acknowledgement" => {
                return self.lose_after_acknowledgement(self.host(text)?);
            }
            "isolate" => self.net.isolate(self.host(text)?, true),
            "rejoin" => self.net.isolate(self.host(text)?, false),
            "freeze" | "thaw" => {
                let at = self.host(text)?;
                self.net.hosts[at].frozen = command.name == "freeze";
            }
            "status" => return Ok(self.status()),
            "converged" => {
                self.net.check_converged();
                let leaders = self
                    .net
                    .hosts
                    .iter()
                    .filter(|h| h.replica.as_ref().is_some_and(|r| r.role() == Role::Leader));
                let (repaired, installed) = (self.net.repaired, self.net.installed);
                let (entries, leaders) = (self.net.history.len(), leaders.count());
                return Ok(format!(
                    "{entries} entries, leaders={leaders} repairs={repaired} installed={installed}"
                ));
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        Ok(String::new())
    }
}

fn run_scenarios(folder: &str) -> usize {
    let mut count = 0;
    for file in std::fs::read_dir(folder).expect("read scenario folder") {
        let mut script = Script { net: Network::new(3, 1) };
        goldenscript::run(&mut script, file.expect("read scenario folder").path())
            .expect("run scenario");
        count += 1;
    }
    count
}

/// Guards against a change of what the group does under each scripted failure.
#[test]
fn scenarios() {
    assert_eq!(run_scenarios("tests/scenarios/replica"), 12);
}

/// Guards against a group that does not replace lost voters by other hosts, that removes a voter that
/// can be reached, that does not get as many voters as it should have, or that is never formed
/// because one of the hosts on which it was placed lost its disk.
#[test]
fn turnover() {
    assert_eq!(run_scenarios("tests/scenarios/turnover"), 14);
}

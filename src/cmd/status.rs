//! `basilfield status`: shows the configuration in force, nodes, endpoints and replicas.

use crate::api;
use crate::cmd;
use serde_json::Value;
use std::process::ExitCode;

/// Show the configuration in force, nodes, endpoints and replicas.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// address of an entry
    #[argh(option, default = "api::default_url()")]
    pub url: String,
    /// key; the variable BASILFIELD_KEY if absent
    #[argh(option, default = "api::default_key()")]
    pub key: String,
    /// print the answer as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
pub fn run(args: &Status) -> ExitCode {
    let target = (&*args.url, &*args.key);
    cmd::send_request(target, "GET", "/admin/status", &Value::Null, args.json, show)
}

/// Iterates over the elements of a JSON array; any other value has none.
fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Formats a JSON value, a string without its quotes.
fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn show(status: &Value) {
    let config = &status["configuration"];
    match config.is_null() {
        true => println!("configuration: not readable, group 0 has no quorum"),
        false => println!("configuration: revision {}", config["revision"]),
    }
    let behind: Vec<String> = elements(&status["behind"]).map(text).collect();
    match (config.is_null(), behind.is_empty()) {
        (true, _) => println!("behind: not known"),
        (false, true) => println!("behind: none"),
        (false, false) => println!("behind: {}", behind.join(", ")),
    }
    println!("nodes:");
    for node in elements(&status["nodes"]) {
        let beat = &node["beat"];
        let days = beat["expiry"].as_u64().unwrap_or_default() / 86_400;
        println!(
            "  {} {} in {}: revision {}, heard {} ms ago, certificate valid for {days} days",
            text(&beat["role"]),
            text(&beat["node"]),
            text(&beat["domain"]),
            beat["revision"],
            node["age"]
        );
    }
    println!("endpoints:");
    let draining: Vec<String> = elements(&status["drains"])
        .filter(|d| d["draining"] == true)
        .map(|d| text(&d["endpoint"]))
        .collect();
    for endpoint in elements(&status["agents"]).flat_map(|a| elements(&a["endpoints"])) {
        let name = text(&endpoint["name"]);
        let models: Vec<String> = elements(&endpoint["models"]).map(text).collect();
        let state = if draining.contains(&name) { "draining" } else { "serving" };
        println!("  {name}: {state}, {} slots, {}", endpoint["slots"], models.join(", "));
    }
    println!("state hosts:");
    for host in elements(&status["state"]) {
        let name = text(&host["host"]);
        if let Some(error) = host["groups"].as_str() {
            println!("  {name}: {error}");
        }
        for group in elements(&host["groups"]) {
            let redundancy = match text(&group["role"]).as_str() {
                "leader" => format!(
                    ", {} of {} voters live, {} learners",
                    group["live"], group["voters"], group["learners"]
                ),
                _ => String::new(),
            };
            println!(
                "  {name} group {}: {}, term {}, commit {}{redundancy}",
                group["group"],
                text(&group["role"]),
                group["term"],
                group["commit"]
            );
        }
    }
}

//! `basilfield dev`: runs every role and an engine emulator in one process.
//!
//! No settings file is needed. The data folder is temporary unless `--folder` names one. The
//! command creates a workspace with an assistant and a batch plan and prints how to use them.

use crate::api;
use crate::cmd;
use crate::emulator;
use crate::entry::auth;
use crate::errors;
use crate::events;
use crate::process;
use crate::settings;
use crate::tls;
use serde_json::json;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::time;

/// Name of the single process that runs all roles.
const PROCESS_NAME: &str = "dev";
/// Operator key of the development fleet.
const OPERATOR_KEY: &str = "dev-operator";
/// Caller key of the workspace `dev`.
const CALLER_KEY: &str = "dev-caller";
/// Model that the engine emulator serves.
const MODEL: &str = "dev-llm";
/// Longest wait for a confirmed configuration and a registered endpoint.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Run every role and an engine emulator in one process.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "dev")]
pub struct Dev {
    /// address of the HTTP listener
    #[argh(option, default = "SocketAddr::from((Ipv4Addr::LOCALHOST, 8080))")]
    pub listen: SocketAddr,
    /// data folder; a temporary one if absent
    #[argh(option)]
    pub folder: Option<PathBuf>,
    /// log debug events
    #[argh(switch)]
    pub verbose: bool,
}

/// Runs the command.
pub fn run(args: &Dev) -> ExitCode {
    let level = if args.verbose { slog::Level::Debug } else { slog::Level::Warning };
    let (log, guard) = events::logger(events::Format::Human, level);
    let temporary = std::env::temp_dir().join(format!("basilfield-dev-{}", std::process::id()));
    let folder = args.folder.clone().unwrap_or_else(|| temporary.clone());
    let result = cmd::block_on(serve(args, folder, &log));
    drop(guard);
    if args.folder.is_none() {
        // Ignores errors: nothing uses the folder any more, and the system removes leftovers.
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => cmd::report_error(error),
        Err(error) => cmd::report_error(error),
    }
}

async fn serve(args: &Dev, folder: PathBuf, log: &slog::Logger) -> Result<(), errors::Error> {
    let identity = tls::Authority::create()?.identity(PROCESS_NAME)?;
    let settings = build_settings(args, folder)?;
    let announce = settings.agent.as_ref().map(|a| a.announce);
    let tree = process::start(&settings, identity, log).await?;
    let engine = emulator::Settings {
        name: "engine".into(),
        models: vec![MODEL.into()],
        agent: announce,
        ..emulator::Settings::default()
    };
    let _engine = emulator::Engine::start(engine, log).await?;
    let running = process::run(tree, log);
    tokio::pin!(running);
    tokio::select! {
        result = &mut running => return result,
        result = create_workspace(args.listen) => result?,
    }
    running.await
}

fn build_settings(args: &Dev, folder: PathBuf) -> Result<settings::Settings, errors::Error> {
    let (links, agent_links) = (free_udp_address()?, free_udp_address()?);
    let announce = free_tcp_address()?;
    let name: Arc<str> = PROCESS_NAME.into();
    let process = settings::Process {
        name: name.clone(),
        domain: "local".into(),
        region: "local".into(),
        log: events::Format::Human,
        verbose: args.verbose,
        metrics: None,
    };
    let operator = settings::Operator {
        name: "developer".into(),
        key: auth::hash_key(OPERATOR_KEY).into(),
        role: settings::OperatorRole::Operator,
    };
    Ok(settings::Settings {
        process,
        // Not used: the certificate and its key are generated in memory.
        tls: settings::Tls { ca: "".into(), cert: "".into(), key: "".into() },
        fleet: settings::Fleet { groups: 1, hosts: vec![settings::Host { name, address: links }] },
        entry: Some(settings::Entry::local(args.listen, vec![operator])),
        state: Some(settings::State::local(links, folder)),
        agent: Some(settings::Agent::local(agent_links, announce)),
    })
}

/// Returns a loopback address whose UDP port was free during the call.
fn free_udp_address() -> Result<SocketAddr, errors::Error> {
    let bound = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|s| s.local_addr());
    bound.map_err(|e| errors::Error::io("find free port", "127.0.0.1", e))
}

/// Returns a loopback address whose TCP port was free during the call.
fn free_tcp_address() -> Result<SocketAddr, errors::Error> {
    let bound = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|s| s.local_addr());
    bound.map_err(|e| errors::Error::io("find free port", "127.0.0.1", e))
}

/// Waits until the roles are ready, creates the workspace with an assistant and a batch plan, and
/// prints example commands.
async fn create_workspace(listen: SocketAddr) -> Result<(), errors::Error> {
    let url = format!("http://{listen}");
    let client = api::Client::new(&url, OPERATOR_KEY);
    let deadline = time::Instant::now() + READY_TIMEOUT;
    while !is_ready(&client).await {
        if time::Instant::now() > deadline {
            return Err(errors::Error::lost("await readiness", url, "not ready in time"));
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    let hash = auth::hash_key(CALLER_KEY);
    let model = format!("model={MODEL}");
    let fill = json!([
        { "template": "workspace", "parameters": ["name=dev", format!("keys={hash}")] },
        { "template": "assistant", "parameters": ["name=helper", "workspace=dev", model] },
        { "template": "batch-plan", "parameters": ["name=nightly", "workspace=dev", model] },
    ]);
    // With this fixed id, a restart on the same data folder does not apply the change again.
    let body = json!({ "id": "dev-set-up", "expected": null, "fill": fill });
    let answer = client.post("/admin/apply", &body).await?;
    if !answer.is_ok() {
        let text = answer.json().to_string();
        return Err(errors::Error::invalid("create workspace", url, text));
    }
    print_examples(&url);
    Ok(())
}

/// Returns whether the configuration is confirmed and an endpoint is registered.
async fn is_ready(client: &api::Client) -> bool {
    let Ok(answer) = client.get("/readyz").await else { return false };
    if !answer.is_ok() {
        return false;
    }
    let Ok(status) = client.get("/admin/status").await else { return false };
    let status = status.json();
    let agents = status["agents"].as_array().cloned().unwrap_or_default();
    agents.iter().any(|a| a["endpoints"].as_array().is_some_and(|e| !e.is_empty()))
}

fn print_examples(url: &str) {
    println!("basilfield is ready at {url}");
    println!("  operator key  {OPERATOR_KEY}");
    println!("  caller key    {CALLER_KEY}  (workspace dev)");
    println!("Try:");
    println!(
        "  curl -N {url}/v1/chat/completions -H 'Authorization: Bearer {CALLER_KEY}' \\\n    \
         -d '{{\"model\":\"helper\",\"stream\":true,\"messages\":\
         [{{\"role\":\"user\",\"content\":\"Which thread for a badge?\"}}]}}'"
    );
    println!("  basilfield submit --url {url} --key {CALLER_KEY} --model nightly --wait FILE");
    println!("  basilfield status --url {url} --key {OPERATOR_KEY}");
}

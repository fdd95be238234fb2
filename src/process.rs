//! Runs the roles of one process under a supervisor tree, with signal handling and the metrics
//! listener.

use crate::agent;
use crate::entry;
use crate::errors;
use crate::event;
use crate::events;
use crate::metrics;
use crate::settings;
use crate::state;
use crate::supervisor;
use crate::timer;
use crate::tls;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net;
use tokio::signal::unix;
use tokio::sync::watch;

/// Loads the certificates that the settings name.
pub fn load_identity(settings: &settings::Tls) -> Result<tls::Identity, errors::Error> {
    tls::Identity::load(&settings.ca, &settings.cert, &settings.key)
}

/// Starts the roles of a process and returns their supervisor.
pub async fn start(
    settings: &settings::Settings,
    identity: tls::Identity,
    log: &slog::Logger,
) -> Result<supervisor::Supervisor, errors::Error> {
    let mut tree = supervisor::Supervisor::new("process", log);
    let context = agent::Context {
        process: settings.process.clone(),
        fleet: settings.fleet.clone(),
        identity,
        timer: timer::Timer::start(),
        metrics: metrics::Metrics::new(),
        log: log.clone(),
    };
    // Roles start in the order of their dependencies. If one fails to start, the tree is dropped,
    // which ends the others.
    let mut children = Vec::new();
    if let Some(state) = &settings.state {
        children.push(state::start(&context, state).await?);
    }
    if let Some(agent) = &settings.agent {
        children.push(agent::start(&context, agent).await?);
    }
    if let Some(entry) = &settings.entry {
        children.push(entry::start(&context, entry).await?);
    }
    // On a stop, the entry finishes its requests while agent and state still serve it.
    tree.add_chain(children);
    if let Some(address) = settings.process.metrics {
        spawn_metrics(&mut tree, address, context.metrics.clone()).await?;
    }
    event!(log, events::PROCESS_STARTED; "name" => &*settings.process.name,
        "domain" => &*settings.process.domain, "roles" => role_names(settings));
    Ok(tree)
}

fn role_names(settings: &settings::Settings) -> String {
    let roles = [
        ("state", settings.state.is_some()),
        ("agent", settings.agent.is_some()),
        ("entry", settings.entry.is_some()),
    ];
    let names: Vec<&str> = roles.iter().filter(|(_, on)| *on).map(|(name, _)| *name).collect();
    names.join(",")
}

/// Adds the metrics listener to a supervisor.
///
/// # Errors
/// `Io` if the address cannot be used.
pub async fn spawn_metrics(
    tree: &mut supervisor::Supervisor,
    address: SocketAddr,
    metrics: metrics::Metrics,
) -> Result<(), errors::Error> {
    let listener = net::TcpListener::bind(address)
        .await
        .map_err(|e| errors::Error::io("bind", address.to_string(), e))?;
    let listener = Arc::new(listener);
    tree.spawn("metrics", move |stop| serve_metrics(listener.clone(), metrics.clone(), stop));
    Ok(())
}

async fn serve_metrics(
    listener: Arc<net::TcpListener>,
    metrics: metrics::Metrics,
    mut stop: supervisor::Stop,
) -> Result<(), errors::Error> {
    let render = move || {
        let metrics = metrics.clone();
        async move { metrics.render() }
    };
    let app = axum::Router::new().route("/metrics", axum::routing::get(render));
    axum::serve(agent::share_listener(&listener)?, app)
        .with_graceful_shutdown(async move { stop.wait().await })
        .await
        .map_err(|e| errors::Error::io("serve metrics", "scraper", e))
}

/// Runs the tree until it ends; SIGTERM and SIGINT start a graceful stop.
pub async fn run(tree: supervisor::Supervisor, log: &slog::Logger) -> Result<(), errors::Error> {
    let stop_sender = tree.stop_sender();
    let signals = tokio::spawn(stop_on_signal(stop_sender, log.clone()));
    let result = tree.run().await;
    signals.abort();
    match &result {
        Ok(()) => event!(log, events::PROCESS_STOPPED),
        Err(error) => event!(log, events::PROCESS_FAILED; "error" => %error),
    }
    result
}

async fn stop_on_signal(stop_sender: watch::Sender<bool>, log: slog::Logger) {
    let (Ok(mut term), Ok(mut interrupt)) =
        (unix::signal(unix::SignalKind::terminate()), unix::signal(unix::SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    event!(log, events::PROCESS_STOPPING);
    stop_sender.send_replace(true);
}

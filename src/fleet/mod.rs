//! Fleet of hosts that find each other through seeds and serve plain HTTP requests and batch jobs
//! of such requests.
//!
//! `docs/platform.md` describes which role stores which data. [`protocol::Protocol`] translates
//! the names and formats of a deployment. Modules marked as free of I/O make the decisions; the
//! other modules carry them out.

pub mod admission;
pub mod attempt;
pub mod body;
pub mod builds;
mod continuation;
pub mod control;
pub mod control_state;
pub mod crashes;
pub mod deadline;
pub mod delegation;
pub mod directory;
pub mod dispatch;
pub mod documents;
pub mod entry;
mod event_stream;
pub mod forward;
pub mod frame;
pub mod groups;
pub mod identity;
pub mod ledger;
pub mod limits;
pub mod load;
pub mod member;
pub mod node;
pub mod origin;
mod origin_client;
pub mod peer;
pub mod place;
pub mod placement;
pub mod plan;
pub mod progress;
pub mod prompt;
pub mod protocol;
pub mod quarantine;
pub mod routes;
pub mod run_host;
pub mod runner;
pub mod sequence;
pub mod serve;
pub mod settings;
pub mod slots;
pub mod sse;
pub mod starting;
pub mod store;
pub mod stored;
pub mod sync;
pub mod upstream;
pub mod view;
pub mod waiting;
pub mod workspaces;

use crate::errors;
use crate::event;
use crate::events;
use crate::process;
use crate::supervisor;
use std::path::PathBuf;
use std::sync::Arc;

/// Starts the role given in the settings. Must be called on a tokio runtime.
///
/// # Errors
/// `Io` if a listener cannot be opened, `Invalid` if a setting that the role needs is missing.
pub async fn start(
    settings: settings::Settings,
    path: PathBuf,
    protocol: Arc<dyn protocol::Protocol>,
    log: &slog::Logger,
) -> Result<supervisor::Supervisor, errors::Error> {
    let role = settings.host.role;
    let mut tree = supervisor::Supervisor::new("host", log);
    let log = tree.log().new(slog::o!("host" => settings.host.name.to_string()));
    let node = node::Node::new(settings, path, protocol, &log);
    event!(log, events::PROCESS_STARTED; "role" => ?role, "domain" => &*node.settings.host.domain,
        "seeds" => node.settings.seeds().join(","),
        "bootstrap" => node.settings.fleet.bootstrap);
    event!(log, events::LINKS_UNENCRYPTED);
    let links = node::listen(node.settings.link_bind())?;
    let (end, handler) = match role {
        settings::Role::Entry => (entry::start(&node, &mut tree)?, entry::peer_handler(&node)),
        settings::Role::Control => {
            (control::start(&node, &mut tree)?, control::peer_handler(&node))
        }
        settings::Role::Store => (store::start(&node, &mut tree)?, store::peer_handler(&node)),
    };
    // A stopping entry still finishes requests and needs updates until then, so the links close
    // with `end` and not with the stop of the tree.
    let mut stop = end.clone();
    let serve = peer::serve(links, handler, node.metrics.clone(), log.clone());
    tree.spawn_once(async move {
        tokio::select! {
            result = serve => result,
            () = stop.wait() => Ok(()),
        }
    });
    if let Some(address) = node.settings.host.metrics {
        process::spawn_metrics(&mut tree, address, node.metrics.clone()).await?;
    }
    node.spawn_common(&mut tree, &end);
    Ok(tree)
}

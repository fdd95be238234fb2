//! Transport of replica messages between the state hosts.

use crate::link;
use crate::replica;
use crate::settings;
use crate::sorted;
use crate::tls;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;

/// Limit of the messages queued for one host. Further ones are dropped, which the replication
/// protocol tolerates.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Timeout of sending one message. A peer that accepts no data for this long is treated as lost.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Transport of replica messages to other hosts.
pub trait Outbox: Send {
    /// Queues a message for a host. It may be lost, which the replication protocol tolerates.
    fn send(&self, host: &Arc<str>, envelope: replica::Envelope);

    /// Number that changes whenever bulk messages that were sent to a host may be lost; `None` if
    /// nothing is known of it. Without it, replicas repeat messages after a time.
    fn losses(&self, _host: &Arc<str>) -> Option<u64> {
        None
    }
}

/// Sends messages to the other state hosts over QUIC. Clones share the connections.
#[derive(Clone)]
pub struct Mesh {
    senders: Arc<sorted::SortedMap<Arc<str>, mpsc::Sender<replica::Envelope>>>,
}

impl Mesh {
    /// Starts one sending task for each other state host.
    pub fn start(
        identity: &tls::Identity,
        fleet: &settings::Fleet,
        own: &str,
        log: &slog::Logger,
    ) -> Mesh {
        let others = fleet.hosts.iter().filter(|h| &*h.name != own);
        let start = |host: &settings::Host| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let settings = link::Settings::default();
            let dialer =
                link::Dialer::new(identity, host.name.clone(), host.address, settings, log);
            tokio::spawn(run_sender(dialer, receiver));
            (host.name.clone(), sender)
        };
        Mesh { senders: Arc::new(others.map(start).collect()) }
    }
}

impl Outbox for Mesh {
    /// Drops the message if the queue is full or the host unknown.
    fn send(&self, host: &Arc<str>, envelope: replica::Envelope) {
        if let Some(sender) = self.senders.get(host) {
            let _ = sender.try_send(envelope);
        }
    }
}

/// Sends queued messages in order over one long-lived stream. Opens a new one after a failure.
async fn run_sender(dialer: link::Dialer, mut receiver: mpsc::Receiver<replica::Envelope>) {
    let mut stream: Option<link::Sender> = None;
    while let Some(envelope) = receiver.recv().await {
        if stream.is_none() {
            match dialer.open_uni().await {
                Ok(opened) => stream = Some(opened),
                Err(_) => {
                    // Messages queued meanwhile are outdated. Replicas send again what is needed.
                    time::sleep(RECONNECT_DELAY).await;
                    while receiver.try_recv().is_ok() {}
                    continue;
                }
            }
        }
        if let Some(open) = &mut stream {
            let sent = time::timeout(SEND_TIMEOUT, open.send(&envelope)).await;
            if !matches!(sent, Ok(Ok(()))) {
                stream = None;
            }
        }
    }
}

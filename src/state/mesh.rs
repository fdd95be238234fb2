//! Replica messages between the state hosts.

use crate::link;
use crate::replica;
use crate::settings;
use crate::sorted;
use crate::tls;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;

/// Messages that may wait for one host. Replicas tolerate the loss of what exceeds it.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Longest time that a message may take to leave. A peer that takes no data is treated as lost.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Transport of replica messages to other hosts.
pub trait Outbox: Send {
    /// Queues a message for a host. It may be lost, which replicas tolerate.
    fn send(&self, host: &Arc<str>, envelope: replica::Envelope);
}

/// Outgoing messages to the other state hosts over QUIC. Clones share the connections.
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

/// Sends messages in order over one long-lived stream, which is opened anew after a failure.
async fn run_sender(dialer: link::Dialer, mut receiver: mpsc::Receiver<replica::Envelope>) {
    let mut stream: Option<link::Sender> = None;
    while let Some(envelope) = receiver.recv().await {
        if stream.is_none() {
            match dialer.open_uni().await {
                Ok(opened) => stream = Some(opened),
                Err(_) => {
                    // What has waited meanwhile is old; the replicas send what is still needed.
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

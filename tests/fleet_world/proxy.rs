//! TCP proxies in front of hosts, which inject faults into the connections between them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Faults that a proxy injects into a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Drops all bytes sent to the host.
    pub drop_inbound: bool,
    /// Drops all bytes sent by the host.
    pub drop_outbound: bool,
    /// Delays every chunk of bytes by this long.
    pub delay: Duration,
}

#[derive(Default)]
struct State {
    /// Faults by link address of the connecting host; `""` stands for every host.
    link_faults: Vec<(String, LinkFaults)>,
    /// Number of resets. A connection closes when it has changed since it was opened.
    resets: u64,
}

/// Proxy in front of one host.
pub struct Proxy {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    task: tokio::task::JoinHandle<()>,
}

impl Proxy {
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(listen).await.expect("free proxy address");
        let state: Arc<Mutex<State>> = Arc::default();
        let changed = watch::Sender::new(0);
        let (s, c) = (state.clone(), changed.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, target, s.clone(), c.subscribe()));
            }
        });
        Proxy { state, changed, task }
    }

    /// Sets the faults of connections that the host `from` opens to this one; `""` means every
    /// host.
    pub fn set_faults(&self, from: &str, faults: LinkFaults) {
        let mut state = self.state.lock().unwrap();
        state.link_faults.retain(|(name, _)| name != from);
        state.link_faults.push((from.to_string(), faults));
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Clears all faults.
    pub fn clear_faults(&self) {
        self.state.lock().unwrap().link_faults.clear();
        self.changed.send_modify(|n| *n += 1);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.state.lock().unwrap().resets += 1;
        self.changed.send_modify(|n| *n += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl State {
    /// Faults of connections from a host. The latest setting that matches applies.
    fn faults_from(&self, from: &str) -> LinkFaults {
        let entry = self.link_faults.iter().rev().find(|(name, _)| name == from || name.is_empty());
        entry.map_or_else(LinkFaults::default, |(_, faults)| *faults)
    }
}

/// Link address that the connecting host sends in its first frame.
fn sender_name(first: &[u8]) -> String {
    // The frame starts with four bytes of length, the index of the variant and the length of the
    // address.
    let name = first.get(6..6 + usize::from(first.get(5).copied().unwrap_or(0)));
    String::from_utf8_lossy(name.unwrap_or_default()).into_owned()
}

/// Relays a connection to the host, with the faults that are set, until it ends or is reset.
async fn relay(
    client: TcpStream,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
    mut changed: watch::Receiver<u64>,
) {
    let resets = state.lock().unwrap().resets;
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (mut client_in, mut client_out) = client.into_split();
    let (mut server_in, mut server_out) = server.into_split();
    let (mut up, mut down) = (vec![0; 16 << 10], vec![0; 16 << 10]);
    let mut from = String::new();
    loop {
        let faults = state.lock().unwrap().faults_from(&from);
        tokio::select! {
            read = client_in.read(&mut up) => {
                let Ok(n @ 1..) = read else { return };
                if from.is_empty() {
                    from = sender_name(&up[..n]);
                }
                let faults = state.lock().unwrap().faults_from(&from);
                tokio::time::sleep(faults.delay).await;
                if !faults.drop_inbound && server_out.write_all(&up[..n]).await.is_err() {
                    return;
                }
            }
            read = server_in.read(&mut down) => {
                let Ok(n @ 1..) = read else { return };
                tokio::time::sleep(faults.delay).await;
                if !faults.drop_outbound && client_out.write_all(&down[..n]).await.is_err() {
                    return;
                }
            }
            _ = changed.changed() => {
                if state.lock().unwrap().resets != resets {
                    return;
                }
            }
        }
    }
}

//! TCP proxies in front of hosts, which harm the connections between them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What a proxy does with the bytes of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Bytes towards the host vanish.
    pub drop_inbound: bool,
    /// Bytes from the host vanish.
    pub drop_outbound: bool,
    /// Delay of every chunk of bytes.
    pub delay: Duration,
}

#[derive(Default)]
struct State {
    link_faults: Vec<(String, LinkFaults)>,
    /// Raised to reset every open connection.
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

    /// Harms the connections that the host `from` has opened to this one; `""` means every host.
    pub fn set_faults(&self, from: &str, faults: LinkFaults) {
        let mut state = self.state.lock().unwrap();
        state.link_faults.retain(|(name, _)| name != from);
        state.link_faults.push((from.to_string(), faults));
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Ends every harm.
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
    fn faults_from(&self, from: &str) -> LinkFaults {
        let entry = self.link_faults.iter().rev().find(|(name, _)| name == from || name.is_empty());
        entry.map_or_else(LinkFaults::default, |(_, faults)| *faults)
    }
}

/// Name that the dialling host gives in its first frame.
fn sender_name(first: &[u8]) -> String {
    // Four bytes of length, the number of the frame's kind and the length of the name.
    let name = first.get(6..6 + usize::from(first.get(5).copied().unwrap_or(0)));
    String::from_utf8_lossy(name.unwrap_or_default()).into_owned()
}

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

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
pub struct Harm {
    /// Bytes towards the host vanish.
    pub mute_in: bool,
    /// Bytes from the host vanish.
    pub mute_out: bool,
    /// Delay of every chunk of bytes.
    pub delay: Duration,
}

#[derive(Default)]
struct State {
    harms: Vec<(String, Harm)>,
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
                tokio::spawn(carry(stream, target, s.clone(), c.subscribe()));
            }
        });
        Proxy { state, changed, task }
    }

    /// Harms the connections that the host `from` has opened to this one; `""` means every host.
    pub fn harm(&self, from: &str, harm: Harm) {
        let mut state = self.state.lock().unwrap();
        state.harms.retain(|(name, _)| name != from);
        state.harms.push((from.to_string(), harm));
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Ends every harm.
    pub fn heal(&self) {
        self.state.lock().unwrap().harms.clear();
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
    fn harm(&self, from: &str) -> Harm {
        let found = self.harms.iter().rev().find(|(name, _)| name == from || name.is_empty());
        found.map_or_else(Harm::default, |(_, harm)| *harm)
    }
}

/// Name that the dialling host gives in its first frame.
fn sender(first: &[u8]) -> String {
    // Four bytes of length, the number of the frame's kind and the length of the name.
    let name = first.get(6..6 + usize::from(first.get(5).copied().unwrap_or(0)));
    String::from_utf8_lossy(name.unwrap_or_default()).into_owned()
}

async fn carry(
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
        let harm = state.lock().unwrap().harm(&from);
        tokio::select! {
            read = client_in.read(&mut up) => {
                let Ok(n @ 1..) = read else { return };
                if from.is_empty() {
                    from = sender(&up[..n]);
                }
                let harm = state.lock().unwrap().harm(&from);
                tokio::time::sleep(harm.delay).await;
                if !harm.mute_in && server_out.write_all(&up[..n]).await.is_err() {
                    return;
                }
            }
            read = server_in.read(&mut down) => {
                let Ok(n @ 1..) = read else { return };
                tokio::time::sleep(harm.delay).await;
                if !harm.mute_out && client_out.write_all(&down[..n]).await.is_err() {
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

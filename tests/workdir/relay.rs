//! UDP relay between two processes that can go silent.

#![allow(dead_code)] // Each test file uses a part of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::net::UdpSocket;

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// What a relay does with the datagrams of a flow.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Pass,
    DropBoth,
    DropToServer,
    DropToClient,
}

/// UDP relay in place of a device on the path that keeps state for each flow.
pub struct Relay {
    pub addr: SocketAddr,
    flows: Arc<Mutex<Vec<Flow>>>,
    // Fate of flows that are established later.
    later: Arc<Mutex<Fate>>,
}

struct Flow {
    client: SocketAddr,
    upstream: Arc<UdpSocket>,
    fate: Arc<Mutex<Fate>>,
}

impl Relay {
    pub async fn start(server: SocketAddr) -> Relay {
        let socket = Arc::new(UdpSocket::bind(LOCAL).await.unwrap());
        let addr = socket.local_addr().unwrap();
        let relay = Relay { addr, flows: Arc::default(), later: Arc::new(Mutex::new(Fate::Pass)) };
        let (flows, later) = (relay.flows.clone(), relay.later.clone());
        tokio::spawn(async move {
            let mut buffer = vec![0; 65536];
            while let Ok((size, client)) = socket.recv_from(&mut buffer).await {
                let known = flows.lock().unwrap().iter().position(|f| f.client == client);
                let at = match known {
                    Some(at) => at,
                    None => {
                        let fate = Arc::new(Mutex::new(*later.lock().unwrap()));
                        let upstream = Arc::new(UdpSocket::bind(LOCAL).await.unwrap());
                        upstream.connect(server).await.unwrap();
                        tokio::spawn(backward(
                            socket.clone(),
                            client,
                            upstream.clone(),
                            fate.clone(),
                        ));
                        flows.lock().unwrap().push(Flow { client, upstream, fate });
                        flows.lock().unwrap().len() - 1
                    }
                };
                let (upstream, fate) = {
                    let flow = &flows.lock().unwrap()[at];
                    (flow.upstream.clone(), *flow.fate.lock().unwrap())
                };
                if !matches!(fate, Fate::DropBoth | Fate::DropToServer) {
                    let _ = upstream.send(&buffer[..size]).await;
                }
            }
        });
        relay
    }

    /// Sets the fate of the flows established so far.
    pub fn set(&self, fate: Fate) {
        for flow in self.flows.lock().unwrap().iter() {
            *flow.fate.lock().unwrap() = fate;
        }
    }

    /// Sets the fate of the flows established so far, but for the first `known` ones.
    pub fn set_from(&self, known: usize, fate: Fate) {
        for flow in &self.flows.lock().unwrap()[known..] {
            *flow.fate.lock().unwrap() = fate;
        }
    }

    /// Sets the fate of flows that are established later.
    pub fn set_later(&self, fate: Fate) {
        *self.later.lock().unwrap() = fate;
    }

    /// Number of source ports seen.
    pub fn sources(&self) -> usize {
        self.flows.lock().unwrap().len()
    }
}

async fn backward(
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    upstream: Arc<UdpSocket>,
    fate: Arc<Mutex<Fate>>,
) {
    let mut buffer = vec![0; 65536];
    while let Ok(size) = upstream.recv(&mut buffer).await {
        let fate = *fate.lock().unwrap();
        if !matches!(fate, Fate::DropBoth | Fate::DropToClient) {
            let _ = socket.send_to(&buffer[..size], client).await;
        }
    }
}

//! UDP relay between two processes that can drop datagrams.

#![allow(dead_code)] // Each test file uses a part of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::net::UdpSocket;

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Datagrams of a flow that a relay drops.
#[derive(Clone, Copy, PartialEq)]
pub enum Filter {
    Pass,
    DropBoth,
    DropToServer,
    DropToClient,
}

/// UDP relay that stands for a network device on the path that keeps state for each flow.
pub struct Relay {
    pub addr: SocketAddr,
    flows: Arc<Mutex<Vec<Flow>>>,
    /// Filter of flows that are established later.
    default_filter: Arc<Mutex<Filter>>,
}

struct Flow {
    client: SocketAddr,
    upstream: Arc<UdpSocket>,
    filter: Arc<Mutex<Filter>>,
}

impl Relay {
    pub async fn start(server: SocketAddr) -> Relay {
        let socket = Arc::new(UdpSocket::bind(LOCAL).await.unwrap());
        let addr = socket.local_addr().unwrap();
        let relay = Relay {
            addr,
            flows: Arc::default(),
            default_filter: Arc::new(Mutex::new(Filter::Pass)),
        };
        let (flows, default_filter) = (relay.flows.clone(), relay.default_filter.clone());
        tokio::spawn(async move {
            let mut buffer = vec![0; 65536];
            while let Ok((size, client)) = socket.recv_from(&mut buffer).await {
                let known = flows.lock().unwrap().iter().position(|f| f.client == client);
                let at = match known {
                    Some(at) => at,
                    None => {
                        let filter = Arc::new(Mutex::new(*default_filter.lock().unwrap()));
                        let upstream = Arc::new(UdpSocket::bind(LOCAL).await.unwrap());
                        upstream.connect(server).await.unwrap();
                        tokio::spawn(forward_to_client(
                            socket.clone(),
                            client,
                            upstream.clone(),
                            filter.clone(),
                        ));
                        flows.lock().unwrap().push(Flow { client, upstream, filter });
                        flows.lock().unwrap().len() - 1
                    }
                };
                let (upstream, filter) = {
                    let flow = &flows.lock().unwrap()[at];
                    (flow.upstream.clone(), *flow.filter.lock().unwrap())
                };
                if !matches!(filter, Filter::DropBoth | Filter::DropToServer) {
                    let _ = upstream.send(&buffer[..size]).await;
                }
            }
        });
        relay
    }

    /// Sets the filter of the flows established so far.
    pub fn set_filter(&self, filter: Filter) {
        for flow in self.flows.lock().unwrap().iter() {
            *flow.filter.lock().unwrap() = filter;
        }
    }

    /// Sets the filter of the flows established so far, except the first `known` ones.
    pub fn set_filter_from(&self, known: usize, filter: Filter) {
        for flow in &self.flows.lock().unwrap()[known..] {
            *flow.filter.lock().unwrap() = filter;
        }
    }

    /// Sets the filter of flows that are established later.
    pub fn set_default_filter(&self, filter: Filter) {
        *self.default_filter.lock().unwrap() = filter;
    }

    /// Number of source ports that clients have used; each is a flow.
    pub fn source_ports(&self) -> usize {
        self.flows.lock().unwrap().len()
    }
}

async fn forward_to_client(
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    upstream: Arc<UdpSocket>,
    filter: Arc<Mutex<Filter>>,
) {
    let mut buffer = vec![0; 65536];
    while let Ok(size) = upstream.recv(&mut buffer).await {
        let filter = *filter.lock().unwrap();
        if !matches!(filter, Filter::DropBoth | Filter::DropToClient) {
            let _ = socket.send_to(&buffer[..size], client).await;
        }
    }
}

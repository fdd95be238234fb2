//! Emulators of endpoints: a model engine and plain services.
//!
//! [`Engine`] serves the OpenAI-compatible API with the extensions of `docs/design.md` section
//! 3.0: it batches continuously, caches prompt prefixes, and supports resumption and cancellation.
//! [`Service`] echoes calls, and [`plain`] streams numbered events. Each token of an engine's
//! answer depends only on model, prompt and position ([`text`]), so a caller can verify the
//! complete answer.

mod api;
mod batch;
mod cache;
mod engine;
mod host;
mod orders;
pub mod plain;
mod service;
pub mod text;

pub use engine::Engine;
pub use engine::Stats;
pub use service::Service;
pub use service::ServiceSettings;

use serde::Deserialize;
use serde::Serialize;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Settings of an emulated engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on. Port 0 selects a free port.
    pub address: SocketAddr,
    /// Address of the agent to which the engine announces itself.
    pub agent: Option<SocketAddr>,
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Models that the engine serves.
    pub models: Vec<Arc<str>>,
    /// Maximum number of streams that run at once.
    pub slots: u32,
    /// Fixed part of a step's duration.
    pub step_time: Duration,
    /// Part of a step's duration that each running stream adds.
    pub stream_time: Duration,
    /// Time to process one uncached prompt token.
    pub prefill_time: Duration,
    /// Maximum number of prompt tokens processed in one step.
    pub prefill_chunk: u32,
    /// Capacity of the prefix cache in blocks of [`text::BLOCK_TOKENS`] tokens.
    pub cache_blocks: usize,
    /// Interval between updates of the load report, which is stale in between.
    pub load_interval: Duration,
    /// Whether the engine refuses orders with an old fencing number.
    pub fencing: bool,
    /// Faults that are active from the start.
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            agent: None,
            name: "engine".into(),
            models: vec!["needle-llm".into()],
            slots: 32,
            step_time: Duration::from_millis(10),
            stream_time: Duration::from_micros(350),
            prefill_time: Duration::from_micros(20),
            prefill_chunk: 512,
            cache_blocks: 4096,
            load_interval: Duration::from_secs(1),
            fencing: true,
            faults: Faults::default(),
        }
    }
}

/// Faults that an engine or service simulates. `POST /faults` replaces them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request whose number is a multiple of this fails with status 500; 0 disables this.
    pub fail_every: u64,
    /// Requests whose prompt or body contains this text always fail with status 500.
    pub fail_marker: Option<Arc<str>>,
    /// Streams stop sending after this many tokens but keep their slots.
    pub stall_after: Option<u32>,
    /// Connections break off after this many tokens.
    pub break_after: Option<u32>,
    /// Number of further requests that stall or break off; unlimited if absent.
    pub limit: Option<u32>,
    /// The emulator accepts requests but makes no progress on them.
    pub frozen: bool,
}

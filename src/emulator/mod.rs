//! Model engine emulator: continuous batching, prefix cache, resumption and cancellation.
//!
//! [`Engine`] serves the OpenAI-compatible API with the extensions of `docs/design.md` section
//! 3.0; [`Service`] is a plain service. Answers are a function of model, prompt and token position
//! ([`text`]), so that a caller can check each of them completely.

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
    /// Streams that run at once.
    pub slots: u32,
    /// Fixed part of the time of a step.
    pub step_time: Duration,
    /// Part of the time of a step for each running stream.
    pub stream_time: Duration,
    /// Time to process one prompt token that is not cached.
    pub prefill_time: Duration,
    /// Prompt tokens that one step processes at most.
    pub prefill_chunk: u32,
    /// Capacity of the prefix cache in blocks of [`text::BLOCK_TOKENS`] tokens.
    pub cache_blocks: usize,
    /// Age that the load report reaches before it is renewed.
    pub load_interval: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Faults from the start.
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

/// Faults that an emulator simulates. `POST /faults` replaces them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Each request with this number or a multiple of it is answered by status 500; 0 for none.
    pub fail_every: u64,
    /// Requests whose prompt contains this text are always answered by status 500.
    pub fail_marker: Option<Arc<str>>,
    /// Streams stop sending after this number of tokens and keep their slot.
    pub stall_after: Option<u32>,
    /// Connections break off after this number of tokens.
    pub break_after: Option<u32>,
    /// Number of requests that stall or break off; unlimited if absent.
    pub limit: Option<u32>,
    /// The engine makes no step, but accepts requests.
    pub frozen: bool,
}

//! Serving system for online and batch inference of many workspaces on one fleet of model servers.
//!
//! `docs/design.md` describes the roles, the modules and which module owns which state.

pub mod agent;
pub mod api;
pub mod catalog;
pub mod client;
pub mod cmd;
pub mod completion;
pub mod emulator;
pub mod entry;
pub mod errors;
pub mod events;
pub mod explain;
pub mod fleet;
pub mod follow;
pub mod gate;
pub mod jobs;
pub mod lifecycle;
pub mod link;
pub mod metrics;
pub mod process;
pub mod replica;
pub mod router;
pub mod running;
pub mod settings;
pub mod sorted;
pub mod state;
pub mod storage;
pub mod supervisor;
pub mod template;
pub mod timer;
pub mod tls;
pub mod wire;

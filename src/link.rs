//! Connections between processes: quinn with mutual TLS, heartbeats and reconnection.

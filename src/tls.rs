//! Fleet certificate authority and per-process keys.

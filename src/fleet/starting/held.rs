//! Bounds the requests that wait while an entry starts. Free of I/O.

use crate::fleet::peer;
use std::sync::Arc;
use std::sync::Mutex;

/// Most requests that wait. An entry gets some 35 requests a second; after a loss of power, callers that
/// were disconnected return in addition.
const MAX_REQUESTS: usize = 512;
/// Most bytes of their heads. The smallest entries have 160 MB, of which bodies may take 64 MB.
const MAX_BYTES: usize = 4 << 20;

/// Requests and bytes that wait.
#[derive(Debug, Default)]
struct Total {
    requests: usize,
    bytes: usize,
}

/// Requests that wait at one entry. Their bodies are not read meanwhile.
#[derive(Debug, Default)]
pub struct Held(Arc<Mutex<Total>>);

/// Counts a request that waits until it is dropped.
#[derive(Debug)]
pub struct Guard {
    total: Arc<Mutex<Total>>,
    bytes: usize,
}

impl Held {
    /// Counts a request whose head has this many bytes; `None` if too much waits already.
    pub fn hold(&self, bytes: usize) -> Option<Guard> {
        let mut total = peer::lock(&self.0);
        if total.requests >= MAX_REQUESTS || total.bytes.saturating_add(bytes) > MAX_BYTES {
            return None;
        }
        total.requests += 1;
        total.bytes += bytes;
        Some(Guard { total: self.0.clone(), bytes })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut total = peer::lock(&self.total);
        total.requests -= 1;
        total.bytes -= self.bytes;
    }
}

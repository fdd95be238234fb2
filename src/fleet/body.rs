//! Bodies of requests, read within a bound on the memory of all of them.
//!
//! A body of stated length reserves its memory before it is read. Any other reserves little at first
//! and more as it arrives. One that finds no memory fails at once: bodies that waited for each other
//! while each holds a part would never be complete.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Memory is reserved in blocks of this many bytes.
const BLOCK_BYTES: usize = 1 << 10;
/// Bytes that a body without a stated length reserves before it arrives.
const FIRST_BYTES: usize = 16 << 10;

/// Memory for bodies. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    blocks: Arc<Semaphore>,
}

/// Memory that one body holds. Dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation {
    blocks: OwnedSemaphorePermit,
}

/// Why a body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// Other bodies hold too much memory.
    NoMemory,
    /// It is longer than permitted.
    TooLong,
    /// Its connection broke before its end.
    BrokenOff,
}

impl Memory {
    /// Creates memory for `bytes` bytes in all.
    pub fn new(bytes: usize) -> Memory {
        Memory { blocks: Arc::new(Semaphore::new(bytes / BLOCK_BYTES)) }
    }

    /// Bytes that no body holds.
    pub fn free_bytes(&self) -> usize {
        self.blocks.available_permits() * BLOCK_BYTES
    }

    /// Reserves memory for `bytes` bytes; `None` if too little is free.
    fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let blocks = u32::try_from(bytes.div_ceil(BLOCK_BYTES)).ok()?;
        let blocks = self.blocks.clone().try_acquire_many_owned(blocks).ok()?;
        Some(Reservation { blocks })
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// See [`Problem`]. Nothing is held then.
    pub async fn read<B>(&self, mut body: B, limit: usize) -> Result<(Bytes, Reservation), Problem>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        let stated = body.size_hint().exact();
        let first = stated.map_or(FIRST_BYTES, |n| usize::try_from(n).unwrap_or(usize::MAX));
        let mut capacity = first.min(limit);
        let mut reservation = self.reserve(capacity).ok_or(Problem::NoMemory)?;
        let mut bytes = Vec::with_capacity(capacity);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Problem::BrokenOff)?;
            // Trailers are not passed on.
            let Ok(data) = frame.into_data() else { continue };
            let length = bytes.len() + data.len();
            if length > limit {
                return Err(Problem::TooLong);
            }
            if length > capacity {
                capacity = self.grow(&mut reservation, capacity, length, limit)?;
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        bytes.shrink_to_fit();
        reservation.shrink(bytes.len());
        Ok((bytes.into(), reservation))
    }

    /// Grows a reservation from `capacity` to at least `length` bytes, and doubles it if there is
    /// memory for that. Returns the new capacity.
    fn grow(
        &self,
        reservation: &mut Reservation,
        capacity: usize,
        length: usize,
        limit: usize,
    ) -> Result<usize, Problem> {
        let doubled = capacity.saturating_mul(2).clamp(length, limit);
        for next in [doubled, length] {
            let held = reservation.blocks.num_permits() * BLOCK_BYTES;
            if let Some(more) = self.reserve(next.saturating_sub(held)) {
                reservation.blocks.merge(more.blocks);
                return Ok(next);
            }
        }
        Err(Problem::NoMemory)
    }
}

impl Reservation {
    /// Releases the memory beyond `bytes` bytes.
    fn shrink(&mut self, bytes: usize) {
        let unused = self.blocks.num_permits().saturating_sub(bytes.div_ceil(BLOCK_BYTES));
        drop(self.blocks.split(unused));
    }
}

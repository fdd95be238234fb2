//! Compact storage of many small byte strings in memory.
//!
//! A separate allocation for each byte string would cost about 50 bytes for pointers and the
//! allocator, which is too much for the bodies of millions of items.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Size in bytes at which a page of results is closed.
const PAGE_SIZE: usize = 64 << 10;

/// List of byte strings that grows at its end. It takes 4 bytes per byte string besides the
/// content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PagedList {
    pages: Vec<Page>,
}

/// Byte strings of one call of [`PagedList::extend`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Page {
    /// Position of the first byte string in the list.
    first: u32,
    /// End of each byte string in `data`.
    ends: Box<[u32]>,
    data: Bytes,
}

impl PagedList {
    /// Appends byte strings.
    pub fn extend<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        let first = self.pages.last().map_or(0, |page| page.first + page.ends.len() as u32);
        let mut data = Vec::new();
        let mut ends = Vec::new();
        for value in values {
            data.extend_from_slice(value);
            ends.push(data.len() as u32);
        }
        data.shrink_to_fit();
        self.pages.push(Page { first, ends: ends.into(), data: data.into() });
    }

    /// Byte string at a position, if there is one.
    pub fn get(&self, position: u32) -> Option<Bytes> {
        let after = self.pages.partition_point(|page| page.first <= position);
        let page = self.pages.get(after.checked_sub(1)?)?;
        let at = (position - page.first) as usize;
        let end = *page.ends.get(at)? as usize;
        let start = if at == 0 { 0 } else { page.ends[at - 1] as usize };
        Some(page.data.slice(start..end))
    }
}

/// Byte strings by position. They are stored in any order, at most once per position. The map
/// takes 8 bytes per position and 4 per byte string besides the content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PagedMap {
    /// Offset over all pages of the byte string at each position, plus 1; 0 if there is none.
    starts: Vec<u64>,
    /// Closed pages, each with the offset of its first byte over all pages.
    pages: Vec<(u64, Bytes)>,
    /// Page to which byte strings are added: 4 bytes of length, then the content.
    open: Vec<u8>,
}

impl PagedMap {
    /// Stores a byte string at a position that has none.
    pub fn put(&mut self, position: u32, value: &[u8]) {
        let at = position as usize;
        if self.starts.len() <= at {
            self.starts.resize(at + 1, 0);
        }
        let size = (value.len() as u32).to_le_bytes();
        self.starts[at] = self.closed_size() + self.open.len() as u64 + 1;
        self.open.extend_from_slice(&size);
        self.open.extend_from_slice(value);
        if self.open.len() >= PAGE_SIZE {
            self.close_page();
        }
    }

    /// Byte string at a position, if there is one.
    pub fn get(&self, position: u32) -> Option<Bytes> {
        let start = self.starts.get(position as usize)?.checked_sub(1)?;
        let after = self.pages.partition_point(|(first, _)| *first <= start);
        let page = after.checked_sub(1).and_then(|at| self.pages.get(at));
        let page = page.filter(|(first, data)| start - first < data.len() as u64);
        let Some((first, data)) = page else {
            let open = self.open.get((start - self.closed_size()) as usize..)?;
            let (size, rest) = open.split_first_chunk()?;
            return rest.get(..u32::from_le_bytes(*size) as usize).map(Bytes::copy_from_slice);
        };
        let at = (start - first) as usize;
        let (size, _) = data.get(at..)?.split_first_chunk()?;
        Some(data.slice(at + size.len()..at + size.len() + u32::from_le_bytes(*size) as usize))
    }

    /// Closes the open page and frees spare memory.
    pub fn seal(&mut self) {
        self.starts.shrink_to_fit();
        if !self.open.is_empty() {
            self.close_page();
        }
        self.pages.shrink_to_fit();
    }

    /// Total size of the closed pages in bytes.
    fn closed_size(&self) -> u64 {
        self.pages.last().map_or(0, |(first, data)| first + data.len() as u64)
    }

    fn close_page(&mut self) {
        let first = self.closed_size();
        let mut data = std::mem::take(&mut self.open);
        data.shrink_to_fit();
        self.pages.push((first, data.into()));
    }
}

//! Splits a stream of server-sent events without changing its bytes. Free of I/O.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest incomplete event that is buffered; a stream with a longer event is not a stream of
/// events.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the last `id` field, if it is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Whether the event has a `data` field. Comments, which keep a connection open, have none.
    pub fn has_data(&self) -> bool {
        field_values(&self.bytes, b"data").next().is_some()
    }

    /// Whether the bytes are no event of a stream: a line is neither a field nor a comment, or there
    /// are only unknown fields. An endpoint may write the head or text of an error into its answer.
    pub fn is_malformed(&self) -> bool {
        let lines =
            || self.bytes.split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l));
        let mut lines = lines().filter(|l| !l.is_empty()).map(line_kind).peekable();
        let is_blank = lines.peek().is_none();
        let mut has_known = is_blank;
        for kind in lines {
            match kind {
                LineKind::Malformed => return true,
                LineKind::Known => has_known = true,
                LineKind::Unknown => {}
            }
        }
        !has_known
    }

    /// Values of the `data` fields, joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let mut data = Vec::new();
        for (n, value) in field_values(&self.bytes, b"data").enumerate() {
            if n > 0 {
                data.push(b'\n');
            }
            data.extend(value);
        }
        data
    }
}

/// An event is longer than the limit, so the stream does not consist of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the start of the buffer that was scanned without finding the end of an event.
    scanned: usize,
    /// Length of the start of the buffer that holds complete events.
    complete: usize,
    /// Whether a complete event with data was removed.
    has_data: bool,
}

impl Splitter {
    /// Appends bytes of the stream.
    ///
    /// # Errors
    /// `TooLong` if the last event is incomplete and longer than one megabyte.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        let from = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        self.complete = find_last_event_end(&self.buffer, from).unwrap_or(self.complete);
        if self.buffer.len() - self.complete > MAX_EVENT_BYTES { Err(TooLong) } else { Ok(()) }
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = find_event_end(&self.buffer, from) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        self.complete = self.complete.saturating_sub(end);
        let bytes = self.buffer.split_to(end).freeze();
        let id = field_values(&bytes, b"id").last().and_then(parse_number);
        let event = Event { bytes, id };
        self.has_data |= event.has_data();
        Some(event)
    }

    /// Whether the stream has had a complete event with data.
    pub fn has_data(&self) -> bool {
        self.has_data
    }

    /// Bytes of the event that is not complete yet.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }
}

/// What a line of an event is.
enum LineKind {
    /// A comment or a field that the standard names.
    Known,
    /// A field that the standard does not name; receivers ignore it.
    Unknown,
    /// Neither a comment nor a field.
    Malformed,
}

fn line_kind(line: &[u8]) -> LineKind {
    let (name, has_colon) = match line.iter().position(|b| *b == b':') {
        Some(at) => (&line[..at], true),
        None => (line, false),
    };
    let is_name = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    match name {
        b"" | b"data" | b"id" | b"event" | b"retry" => LineKind::Known,
        name if has_colon && name.iter().all(is_name) => LineKind::Unknown,
        _ => LineKind::Malformed,
    }
}

/// Position after the first blank line at or after `from`.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let plain = tail.windows(2).position(|w| w == b"\n\n").map(|at| at + 2);
    // The bytes after the first plain blank line are searched for the next event only.
    let tail = &tail[..plain.unwrap_or(tail.len())];
    let crlf = tail.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
    crlf.or(plain).map(|end| from + end)
}

/// Position after the last blank line at or after `from`.
fn find_last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let plain = tail.windows(2).rposition(|w| w == b"\n\n").map(|at| from + at + 2);
    let crlf = tail.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| from + at + 4);
    plain.max(crlf)
}

/// Values of the fields with the given name.
fn field_values<'a>(event: &'a [u8], name: &'static [u8]) -> impl Iterator<Item = &'a [u8]> {
    event.split(|b| *b == b'\n').filter_map(move |line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

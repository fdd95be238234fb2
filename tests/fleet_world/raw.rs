//! Reads requests for endpoints whose answers a test writes byte by byte.

use std::io::Read as _;
use std::net::TcpStream;

/// Request without its body.
#[derive(Default)]
pub struct Request {
    /// Head in lower case.
    pub head: String,
}

impl Request {
    /// Reads the head and body of a request.
    pub fn read(stream: &mut TcpStream) -> std::io::Result<Request> {
        let request = Request::read_head(stream)?;
        let mut body = vec![0; request.field("content-length:").parse().unwrap_or(0)];
        stream.read_exact(&mut body)?;
        Ok(request)
    }

    /// Reads the head of a request.
    pub fn read_head(stream: &mut TcpStream) -> std::io::Result<Request> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        Ok(Request { head: String::from_utf8_lossy(&head).to_ascii_lowercase() })
    }

    /// Value of the header with the given name, which ends with a colon; empty without it.
    pub fn field(&self, name: &str) -> &str {
        self.head.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default().trim()
    }

    /// Values of all headers with the given name, which ends with a colon.
    pub fn fields(&self, name: &str) -> Vec<&str> {
        self.head.lines().filter_map(|l| l.strip_prefix(name)).map(str::trim).collect()
    }

    /// Path of the request.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

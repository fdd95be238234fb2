//! HTTP/1.1 with blocking sockets.

use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Result;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head of a message and its body.
#[derive(Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case, and values.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, text.to_string())
}

fn read_line(from: &mut BufReader<TcpStream>) -> Result<String> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(invalid("the connection ended"));
    }
    Ok(line.trim_end().to_string())
}

/// Reads a message. `is_answer` tells whether a body without a length ends with the connection.
pub fn read(from: &mut BufReader<TcpStream>, is_answer: bool) -> Result<Message> {
    let mut message = Message { first: read_line(from)?, ..Message::default() };
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no field"))?;
        message.fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line = read_line(from)?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| invalid("no chunk"))?;
            let mut part = vec![0; size + 2];
            from.read_exact(&mut part)?;
            message.body.extend_from_slice(&part[..size]);
            if size == 0 {
                return Ok(message);
            }
        }
    }
    match message.field("content-length").parse() {
        Ok(length) => {
            message.body = vec![0; length];
            from.read_exact(&mut message.body)?;
        }
        Err(_) if is_answer => {
            from.read_to_end(&mut message.body)?;
        }
        Err(_) => {}
    }
    Ok(message)
}

/// Connection of a client, which may carry several requests.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr, limit: Duration) -> Result<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Message> {
        let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in fields {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        self.stream.write_all(&[head.as_bytes(), body].concat())?;
        read(&mut self.reader, true)
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Result<Message> {
    let mut all = vec![("host", "x.example"), ("connection", "close")];
    all.retain(|(name, _)| !fields.iter().any(|(n, _)| n == name));
    all.extend_from_slice(fields);
    Client::connect(to, Duration::from_secs(6))?.ask(method, path, &all, body)
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for n in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * n) & 63) as usize] as char;
            text.push(if n <= part.len() { digit } else { '=' });
        }
    }
    text
}

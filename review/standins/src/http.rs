//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The start line, headers and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let second = self.start.split(' ').nth(1);
        second.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads the start line and the headers; `None` if the connection ends before them.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let at = message.body.len();
            message.body.resize(at + length, 0);
            reader.read_exact(&mut message.body[at..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if length == 0 {
                return Ok(());
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)
}

/// Reads a whole message; `None` if the connection ends before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Connects, sends one request and reads the whole answer within `limit`.
pub fn exchange(addr: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Status of a GET; `None` without an answer in 500 ms.
pub fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    exchange(addr, request.as_bytes(), Duration::from_millis(500))
        .ok()
        .map(|m| m.status())
}

//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Longest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// A request or an answer: the first line, the headers and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first header with a name, which is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Word of the first line by its index: method, path and version, or version and status.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8192];
        let count = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the peer closed the connection before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at;
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(io::Error::other("the head is too long"));
            }
            if self.fill()? == 0 {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        Ok(Some(Message {
            first_line,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line = self.exactly(at)?;
                self.exactly(2)?;
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let data = self.exactly(size)?;
        self.exactly(2)?;
        Ok(data)
    }

    /// Reads the body that belongs to a head, with a length, in chunks or up to the end of the connection.
    pub fn body(&mut self, head: &Message, is_answer: bool) -> io::Result<Vec<u8>> {
        if is_chunked(head) {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        if let Some(length) = head.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            return self.exactly(length);
        }
        if is_answer {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buf));
        }
        Ok(Vec::new())
    }
}

pub fn is_chunked(head: &Message) -> bool {
    head.header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

/// Writes a head and a body with its length.
pub fn write_message(
    stream: &mut TcpStream,
    first_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = head_bytes(first_line, headers);
    out.truncate(out.len() - 2);
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// The bytes of a head.
pub fn head_bytes(first_line: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut out = format!("{first_line}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    out.extend(b"\r\n");
    out
}

/// Sends a request on a new connection and reads the whole answer.
pub fn exchange(
    addr: std::net::SocketAddr,
    first_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.set_write_timeout(Some(left.max(Duration::from_millis(1))))?;
    write_message(&mut stream, first_line, headers, body)?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    let mut head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    head.body = reader.body(&head, true)?;
    Ok(head)
}

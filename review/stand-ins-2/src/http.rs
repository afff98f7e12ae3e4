//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message whose head has been read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from a connection one after the other.
pub struct Reader {
    pub socket: TcpStream,
    pub buf: Vec<u8>,
}

impl Reader {
    pub fn new(socket: TcpStream) -> Reader {
        Reader { socket, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 64 * 1024];
        let n = self.socket.read(&mut piece)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&piece[..n]);
        Ok(())
    }

    /// The head of the next message; its body is not read.
    pub fn head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Message { first, headers, body: Vec::new() });
            }
            self.fill()?;
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            self.fill()?;
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// The next chunk of a body; `None` after the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = usize::from_str_radix(self.text_line()?.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let piece = self.take(size)?;
        self.text_line()?;
        Ok((0 < size).then_some(piece))
    }

    /// The body that belongs to a head; an error if it breaks off.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            while let Some(piece) = self.chunk()? {
                body.extend(piece);
            }
            return Ok(body);
        }
        match head.header("content-length").and_then(|v| v.parse().ok()) {
            Some(length) => self.take(length),
            None => Ok(Vec::new()),
        }
    }

    /// The next message, whole.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message)?;
        Ok(message)
    }
}

/// A request as text.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own and reads the whole answer.
pub fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let began = Instant::now();
    let mut socket = TcpStream::connect_timeout(&address, limit)?;
    socket.set_nodelay(true)?;
    let left = limit.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
    socket.set_read_timeout(Some(left))?;
    socket.set_write_timeout(Some(left))?;
    socket.write_all(&request(method, path, headers, body))?;
    Reader::new(socket).message()
}

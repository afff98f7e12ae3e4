//! A small HTTP/1.1 client and the reading of requests, with nothing but the standard library.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// An answer as its caller has read it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether it ended as its framing says; an answer without framing ends with its connection.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A request as a server has read it.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Sends a request on a new connection and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)?;
    read_answer(&mut BufReader::new(socket))
}

/// Sends a request for a stream and reads its chunks until `wants_more` says no or it ends.
pub fn stream(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    mut wants_more: impl FnMut(&[u8]) -> bool,
) -> io::Result<Answer> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(limit))?;
    let mut head = format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)?;
    let reader = &mut BufReader::new(socket);
    let (status, headers) = read_head(reader)?;
    let mut answer = Answer { status, headers, body: Vec::new(), is_complete: false };
    if status != 200 {
        return Ok(answer);
    }
    while wants_more(&answer.body) {
        match read_chunk(reader, &mut answer.body) {
            Ok(true) => {}
            Ok(false) => {
                answer.is_complete = true;
                break;
            }
            Err(_) => break,
        }
    }
    Ok(answer)
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<(u16, Vec<(String, String)>)> {
    let status_line = read_line(reader)?;
    let status = status_line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other(format!("no status: {status_line:?}")))?;
    Ok((status, read_headers(reader)?))
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let (status, headers) = read_head(reader)?;
    let mut body = Vec::new();
    let is_chunked = find(&headers, "transfer-encoding").is_some();
    let length = find(&headers, "content-length").and_then(|length| length.parse::<usize>().ok());
    let is_complete = if is_chunked {
        read_chunks(reader, &mut body).is_ok()
    } else if let Some(length) = length {
        reader.take(length as u64).read_to_end(&mut body).is_ok() && body.len() == length
    } else {
        reader.read_to_end(&mut body).is_ok()
    };
    Ok(Answer { status, headers, body, is_complete })
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    while read_chunk(reader, body)? {}
    Ok(())
}

/// Reads a chunk; returns whether it wasn't the last one.
fn read_chunk(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<bool> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    body.extend_from_slice(&chunk);
    read_line(reader)?;
    Ok(size != 0)
}

/// Reads a request; `None` if the connection ended before one.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let path = line.split_whitespace().nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { path, headers }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

//! HTTP/1.1 over blocking sockets, as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
    }
}

/// A connection with a buffer of the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0_u8; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(at + 2)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a head. `None` if the connection ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && !self.fill()? {
            return Ok(None);
        }
        let mut message = Message {
            first: self.take_line()?,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.take_line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.take(size)?;
        self.take(2)?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads the body of `message`, which has a length, chunks or nothing.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.is_chunked() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.take(length)?;
        }
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.write(&request(address, method, path, headers, body))?;
    let head = connection.read_head()?;
    let mut answer = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    connection.read_body(&mut answer)?;
    Ok(answer)
}

pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Value of a field of a JSON object, as its text without quotes; nested objects are not parsed.
pub fn json_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = body.split_once(&format!("\"{name}\""))?;
    let rest = rest.trim_start().strip_prefix(':')?.trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    rest.split([',', '}', ']']).next().map(str::trim)
}

//! A small HTTP/1.1 client and the reading of heads, for the stand-ins.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a request or an answer: first line, and the fields with lower-case names.
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Complete answer.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> std::io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let first = first.trim_end().to_owned();
    Ok(Some(Head { first, fields }))
}

/// Reads the body that a head announces, with a length or in chunks.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Head) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.field("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&part[..size]);
        }
    }
    let length = head.field("content-length").and_then(|text| text.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends one request on a new connection and reads the complete answer.
pub fn call(
    address: SocketAddr,
    request: (&str, &str),
    fields: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Result<Answer, String> {
    let (method, path) = request;
    let exchange = || -> std::io::Result<Answer> {
        let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        if !fields.iter().any(|(name, _)| *name == "Host") {
            text.push_str(&format!("Host: {address}\r\n"));
        }
        for (name, value) in fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len()));
        stream.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let body = read_body(&mut reader, &head)?;
        Ok(Answer {
            status: status.unwrap_or(0),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    };
    exchange().map_err(|error| error.to_string())
}

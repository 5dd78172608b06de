//! Blocking HTTP/1.1 for the stand-ins: one message at a time on a connection.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// The head and the whole body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// A value of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let field = query.split('&').find_map(|f| f.strip_prefix(&format!("{name}=")[..]))?;
        let (mut bytes, mut rest) = (Vec::new(), field.as_bytes());
        while let Some((first, tail)) = rest.split_first() {
            rest = tail;
            if *first == b'%' && tail.len() >= 2 {
                let code = std::str::from_utf8(&tail[..2]).ok()?;
                bytes.push(u8::from_str_radix(code, 16).ok()?);
                rest = &tail[2..];
            } else {
                bytes.push(*first);
            }
        }
        String::from_utf8(bytes).ok()
    }
}

fn broken(what: &str) -> Error {
    Error::new(ErrorKind::UnexpectedEof, what.to_string())
}

fn line(reader: &mut BufReader<TcpStream>) -> Result<String> {
    let mut text = String::new();
    reader.read_line(&mut text)?;
    match text.strip_suffix("\r\n") {
        Some(line) => Ok(line.to_string()),
        None => Err(broken("the connection ended within a line")),
    }
}

pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Message> {
    let mut message = Message { start: line(reader)?, ..Message::default() };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Ok(message);
        }
        let (name, value) = text.split_once(':').ok_or_else(|| broken("no header line"))?;
        message.headers.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads a message with a length or in chunks. One with neither has no body.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = line(reader)?;
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk size"))?;
            let from = message.body.len();
            message.body.resize(from + size, 0);
            reader.read_exact(&mut message.body[from..])?;
            line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Result<()> {
    let mut text =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    text.extend_from_slice(body);
    stream.write_all(&text)
}

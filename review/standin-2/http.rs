//! Reading and writing of HTTP/1.1 messages.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the word at `index` of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

pub type Reader = BufReader<TcpStream>;

fn early_end() -> Error {
    Error::new(ErrorKind::UnexpectedEof, "the message ended early")
}

fn read_line(reader: &mut Reader) -> Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(early_end());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut Reader) -> Result<Option<Head>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut head = Head { first, headers: Vec::new() };
    loop {
        let line = read_line(reader)?.ok_or_else(early_end)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
}

/// Reads the body of a message, which must be complete. That of a response without framing
/// ends with the connection.
pub fn read_body(reader: &mut Reader, head: &Head, is_response: bool) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    read_body_into(reader, head, is_response, &mut body).map(|()| body)
}

/// Reads a body like [`read_body`]. What came before an error is in `body`.
pub fn read_body_into(
    reader: &mut Reader,
    head: &Head,
    is_response: bool,
    body: &mut Vec<u8>,
) -> Result<()> {
    if head.is_chunked() {
        loop {
            let line = read_line(reader)?.ok_or_else(early_end)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
            if size > 0 {
                let from = body.len();
                body.resize(from + size, 0);
                reader.read_exact(&mut body[from..])?;
            }
            let end = read_line(reader)?.ok_or_else(early_end)?;
            if size == 0 {
                return if end.is_empty() { Ok(()) } else { Err(early_end()) };
            }
        }
    }
    match head.header("content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            body.resize(length, 0);
            reader.read_exact(body)
        }
        Some(Err(e)) => Err(Error::new(ErrorKind::InvalidData, e)),
        None if is_response => reader.read_to_end(body).map(|_| ()),
        None => Ok(()),
    }
}

/// Writes a response with `headers` and a body of known length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut message = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        message.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    message.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// Writes one chunk of a body.
pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> Result<()> {
    let mut message = format!("{:x}\r\n", data.len()).into_bytes();
    message.extend_from_slice(data);
    message.extend_from_slice(b"\r\n");
    stream.write_all(&message)
}

//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and what a
//! client needs to send requests and read answers.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// The head and the body of a request or of an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line, split at spaces.
    pub line: Vec<String>,
    /// The names in lower case, and the values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.line.get(1).map_or("", String::as_str)
    }

    /// Returns the path and the percent-decoded fields of the query.
    pub fn query(&self) -> (String, Vec<(String, String)>) {
        let (path, query) = self.target().split_once('?').unwrap_or((self.target(), ""));
        let fields = query.split('&').filter(|field| !field.is_empty());
        let fields = fields.map(|field| {
            let (name, value) = field.split_once('=').unwrap_or((field, ""));
            (name.to_string(), percent_decode(value))
        });
        (percent_decode(path), fields.collect())
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 || line.last() != Some(&b'\n') {
        return Err(Error::new(ErrorKind::UnexpectedEof, "the connection ended inside a head"));
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_string())
}

/// Reads one message with its whole body. An error also means that the connection has ended.
pub fn read_message(reader: &mut impl BufRead) -> Result<Message> {
    let mut message = Message::default();
    let line = read_line(reader)?;
    message.line = line.split(' ').map(str::to_string).collect();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_lowercase(), value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let size = read_line(reader)?;
            let size = size.split(';').next().unwrap_or_default().trim().to_string();
            let size = usize::from_str_radix(&size, 16)
                .map_err(|_| Error::new(ErrorKind::InvalidData, "a chunk without a size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Serves requests on `listener`, one thread for each connection. The handler returns the
/// bytes of the answer; `None` closes the connection.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Message) -> Option<Vec<u8>> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_message(&mut reader) {
                    let Some(bytes) = handler(request) else { return };
                    if writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A client's connection.
pub struct Connection {
    pub writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within a second, as clients do.
    pub fn open(addr: SocketAddr) -> Result<Connection> {
        let writer = TcpStream::connect_timeout(&addr, std::time::Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Connection { writer, reader })
    }

    /// Reads an answer, for which the client waits up to `limit`.
    pub fn read(&mut self, limit: std::time::Duration) -> Result<Message> {
        self.writer.set_read_timeout(Some(limit.max(std::time::Duration::from_millis(1))))?;
        read_message(&mut self.reader)
    }

    /// Reads a streamed answer for up to `limit`. Returns its status, what came of its body, and
    /// whether it is complete.
    pub fn read_stream(&mut self, limit: std::time::Duration) -> Result<(u16, Vec<u8>, bool)> {
        self.writer.set_read_timeout(Some(limit))?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let mut is_chunked = false;
        loop {
            let line = read_line(&mut self.reader)?.to_lowercase();
            is_chunked |= line.starts_with("transfer-encoding:") && line.contains("chunked");
            if line.is_empty() {
                break;
            }
        }
        let mut body = Vec::new();
        while is_chunked {
            let size = read_line(&mut self.reader);
            let size = size.ok().and_then(|size| usize::from_str_radix(size.trim(), 16).ok());
            let Some(size) = size else { return Ok((status, body, false)) };
            let mut chunk = vec![0; size + 2];
            if self.reader.read_exact(&mut chunk).is_err() {
                return Ok((status, body, false));
            }
            if size == 0 {
                return Ok((status, body, true));
            }
            body.extend_from_slice(&chunk[..size]);
        }
        Ok((status, body, true))
    }
}

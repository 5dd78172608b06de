//! Sound stand-ins of engines: one reads prompts, the other streams answers.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::world::{Behaviour, Replica};

/// The tokens of an event, the `stride` of the service's engines, and of an answer.
const STRIDE: usize = 13;
const TOKENS: usize = 69;

/// The time that a prompt of some 3,000 tokens takes, and that between two events.
const PREFILL: Duration = Duration::from_millis(96);
const GAP: Duration = Duration::from_millis(60);

pub struct Prefill;

impl Behaviour for Prefill {
    fn serve(
        &self,
        replica: &Replica,
        number: usize,
        req: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        std::thread::sleep(PREFILL);
        let body = format!("{{\"kv_handle\":\"h{number:08x}\",\"tokens\":3200,\"version\":1}}");
        let json = "Content-Type: application/json\r\n";
        replica.answer(req, number, 200, json, body.as_bytes(), stream)
    }
}

pub struct Decode;

impl Behaviour for Decode {
    fn serve(
        &self,
        replica: &Replica,
        number: usize,
        req: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let id = req.header("x-aspenloft-attempt-id").unwrap_or("-");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Server-Seal: {}.{number}\r\nX-Aspenloft-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            replica.instance
        );
        for (n, from) in (0..TOKENS).step_by(STRIDE).enumerate() {
            std::thread::sleep(GAP);
            // A replica begins its answer with the first event.
            if n == 0 {
                stream.write_all(head.as_bytes())?;
            }
            let event = format!("id: {}\ndata: tokens from {from}\n\n", n + 1);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

//! Tests of streams whose event ids are missing or hold bytes that are not text.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_gateway::roster::ServerRole::{Decode, Prefill};
use common::{READ_TIMEOUT, Scripted, TestHost, entry, header, sealed};
use parking_lot::Mutex;

const REQUEST: &str = "POST /resume/ HTTP/1.1\r\nhost: app.test\r\nid: g1\r\ntokens: 100,50\r\n\
                       content-length: 1\r\n\r\nx";

/// Returns what two engines send of a stream and what follows `after` in the requests that
/// come after the first. The first engine that is asked breaks off after `begun`.
fn relay(begun: &'static [u8]) -> (Vec<u8>, Vec<Vec<u8>>) {
    let prefill = Scripted::start(|_, req| sealed(req, "200 OK", "handle"));
    let requests = Arc::<Mutex<Vec<String>>>::default();
    let serve = {
        let requests = requests.clone();
        move |_: usize, req: &str, stream: &mut std::net::TcpStream| {
            let is_first = {
                let mut requests = requests.lock();
                requests.push(req.to_string());
                requests.len() == 1
            };
            let id = header(req, "id").unwrap_or_default();
            let body = if is_first { begun } else { b"id: last\ndata: rest\n\n" };
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n");
            let _ = write!(stream, "transfer-encoding: chunked\r\n\r\n{:x}\r\n", body.len());
            let _ = stream.write_all(body).and_then(|()| stream.write_all(b"\r\n"));
            std::thread::sleep(Duration::from_millis(50));
            !is_first && stream.write_all(b"0\r\n\r\n").is_ok()
        }
    };
    let (one, other) = (Scripted::serve(serve.clone()), Scripted::serve(serve));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", one.addr, Decode),
        entry("d2", other.addr, Decode),
    ]);
    let response = exchange_bytes(&host);
    let later = requests.lock()[1..].to_vec();
    let after = later.iter().map(|req| {
        let line = req.lines().find_map(|line| line.strip_prefix("after: "));
        line.unwrap_or("none").as_bytes().to_vec()
    });
    (response, after.collect())
}

/// Sends the request and reads until the response is complete or the connection ends.
fn exchange_bytes(host: &TestHost) -> Vec<u8> {
    use std::io::Read;
    let mut stream = std::net::TcpStream::connect(host.callers).expect("connect");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
    stream.write_all(REQUEST.as_bytes()).expect("send");
    let (mut response, mut buf) = (Vec::new(), [0; 4096]);
    while !response.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(read) if read > 0 => response.extend_from_slice(&buf[..read]),
            _ => break,
        }
    }
    response
}

fn is_whole(response: &[u8]) -> bool {
    response.ends_with(b"0\r\n\r\n")
}

fn count(response: &[u8], text: &[u8]) -> usize {
    response.windows(text.len()).filter(|window| *window == text).count()
}

#[test]
fn a_stream_goes_on_after_an_id_of_any_printable_bytes() {
    let (response, after) = relay("id: \u{e9}1\ndata: first\n\n".as_bytes());
    assert!(is_whole(&response), "{}", response.escape_ascii());
    assert_eq!(after, ["\u{e9}1".as_bytes()]);
}

// The id was left out, and the next engine sent the stream from its beginning.
#[test]
fn a_stream_begins_anew_after_an_id_that_no_header_can_hold() {
    for begun in [&b"id: a\x01b\ndata: first\n\n"[..], b"data: first\n\n", b"id:\ndata: first\n\n"]
    {
        let (response, after) = relay(begun);
        assert_eq!(count(&response, b"data: first"), 1, "{}", response.escape_ascii());
        assert_eq!(count(&response, b"data: rest"), 0, "{}", response.escape_ascii());
        assert!(!is_whole(&response) && after.is_empty(), "{}", response.escape_ascii());
    }
}

#[test]
fn a_stream_of_which_only_comments_have_come_begins_anew() {
    let (response, after) = relay(b": ready\n\n");
    assert!(is_whole(&response), "{}", response.escape_ascii());
    assert_eq!(after, [b"none"]);
}

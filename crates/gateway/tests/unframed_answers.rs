//! Tests of answers that have neither a length nor chunks and end with their connection: a
//! stream is whole unless it ends inside an event or before the first one.

mod common;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use aspenloft_gateway::roster::ServerRole::{Decode, Plain, Prefill};
use common::{Scripted, TestHost, body, chunks, entry, exchange, header, sealed, status};
use socket2::SockRef;

const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";

/// How a server ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Sends a response without a length and ends the connection.
fn answer(req: &str, stream: &mut TcpStream, body: &str, end: End) {
    let id = header(req, "id").unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\r\n");
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
    std::thread::sleep(Duration::from_millis(20));
    match end {
        End::Close => drop(stream.shutdown(Shutdown::Both)),
        // With a linger time of zero, closing the socket sends a reset.
        End::Reset => drop(SockRef::from(&*stream).set_linger(Some(Duration::ZERO))),
    }
}

fn unframed(body: &'static str, end: End) -> Scripted {
    Scripted::serve(move |_, req, stream| {
        answer(req, stream, body, end);
        false
    })
}

fn prefill() -> Scripted {
    Scripted::start(|_, req| sealed(req, "200 OK", "handle"))
}

fn generation(path: &str, id: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: g{id}\r\ntokens: 100,50\r\n\
         content-length: 1\r\n\r\nx"
    )
}

/// Returns what a caller gets of a stream of which an engine sends `sent`.
fn relayed(path: &str, sent: &'static str, end: End) -> (String, bool) {
    let (prefill, decode) = (prefill(), unframed(sent, end));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", decode.addr, Decode),
    ]);
    chunks(&host.send(&generation(path, 1)))
}

#[test]
fn a_stream_that_ends_with_its_connection_after_an_event_is_whole() {
    assert_eq!(relayed("/stream/", EVENTS, End::Close), (EVENTS.to_string(), true));
}

#[test]
fn a_stream_that_ends_inside_an_event_or_is_reset_is_broken_off() {
    let two = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    let inside = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: th";
    assert_eq!(relayed("/stream/", inside, End::Close), (two.to_string(), false));
    let (events, is_whole) = relayed("/stream/", EVENTS, End::Reset);
    assert!(!is_whole && EVENTS.starts_with(&events), "{events:?}");
}

// An engine that crashed before its first event seemed to have sent a whole stream.
#[test]
fn a_stream_that_ends_with_its_connection_before_any_event_is_broken_off() {
    assert_eq!(relayed("/stream/", "", End::Close), (String::new(), false));
    let (prefill, broken) = (prefill(), unframed("", End::Close));
    let sound = unframed(EVENTS, End::Close);
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", broken.addr, Decode),
        entry("d2", sound.addr, Decode),
    ]);
    for id in 0..6 {
        let response = host.send(&generation("/resume/", id));
        assert_eq!(chunks(&response), (EVENTS.to_string(), true), "{response}");
    }
}

#[test]
fn plain_answers_that_end_with_their_connection_are_whole_unless_it_is_reset() {
    for (sent, end, served) in [("done", End::Close, true), ("", End::Close, true)] {
        let server = unframed(sent, end);
        let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
        let response = host.send("GET /once/ HTTP/1.1\r\nhost: app.test\r\nid: c\r\n\r\n");
        assert_eq!((status(&response) == "200", body(&response)), (served, sent), "{response}");
    }
    let server = unframed("done", End::Reset);
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let response = host.send("GET /once/ HTTP/1.1\r\nhost: app.test\r\nid: c\r\n\r\n");
    assert_eq!(status(&response), "502", "{response}");
}

#[test]
fn a_prompt_may_be_answered_without_a_length() {
    let (prefill, decode) = (unframed("handle", End::Close), unframed(EVENTS, End::Close));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", decode.addr, Decode),
    ]);
    assert_eq!(chunks(&host.send(&generation("/stream/", 1))), (EVENTS.to_string(), true));
    assert!(decode.seen.lock()[0].contains("memory: handle"));
}

/// Wherever a stream is cut off, callers get whole events in order, and the end only after
/// one of them.
#[test]
fn streams_that_are_cut_off_anywhere_never_end_inside_an_event() {
    let prefill = prefill();
    let decode = Scripted::serve(|_, req, stream| {
        let cut = header(req, "cut").and_then(|cut| cut.parse().ok()).unwrap_or(0);
        answer(req, stream, EVENTS.get(..cut).unwrap_or(EVENTS), End::Close);
        false
    });
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", decode.addr, Decode),
    ]);
    let callers = host.callers;
    bolero::check!().with_iterations(60).with_type::<u8>().cloned().for_each(|cut| {
        let cut = usize::from(cut) % (EVENTS.len() + 1);
        let req = generation("/stream/", cut).replace("tokens", &format!("cut: {cut}\r\ntokens"));
        let (events, is_whole) = chunks(&exchange(callers, req.as_bytes()));
        let whole_events = EVENTS[..cut].rfind("\n\n").map_or(0, |end| end + 2);
        assert_eq!(events, EVENTS[..whole_events], "cut at {cut}");
        assert_eq!(is_whole, cut > 0 && whole_events == cut, "cut at {cut}");
    });
}

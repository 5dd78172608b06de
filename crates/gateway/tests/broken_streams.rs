//! Tests of streams that break off and of which the next engine sends something else: callers
//! get events in order, and never an error's text, or an end that is none.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use aspenloft_gateway::events::EventSequence;
use aspenloft_gateway::roster::ServerRole::{Decode, Prefill};
use common::{Scripted, TestHost, chunks, entry, header, sealed, status};

fn events(from: u32, to: u32) -> String {
    (from..=to).map(|number| format!("id: {number}\ndata: token {number}\n\n")).collect()
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Returns the head of a response to `req` with `lines` in it.
fn head(req: &str, status: &str, lines: &str) -> String {
    let id = header(req, "id").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nid: {id}\r\nseal: s\r\n{lines}\r\n")
}

/// Sends two events and half of a third, and closes the connection.
fn break_off(req: &str, stream: &mut TcpStream) -> bool {
    let begun = events(1, 2) + "id: 3\ndata: tok";
    let lines = "transfer-encoding: chunked\r\n";
    let _ = write!(stream, "{}{}", head(req, "200 OK", lines), chunk(&begun));
    std::thread::sleep(Duration::from_millis(30));
    false
}

/// Returns what a caller gets of a stream that breaks off after two events, and of which the
/// next engine sends what `next` returns for its request. Empty bytes close the connection.
fn resumed(next: impl Fn(&str) -> String + Send + Sync + 'static) -> (String, bool) {
    let prefill = Scripted::start(|_, req| sealed(req, "200 OK", "handle"));
    let serve = move |_: usize, req: &str, stream: &mut TcpStream| {
        if header(req, "after").is_none() {
            return break_off(req, stream);
        }
        let _ = stream.write_all(next(req).as_bytes());
        std::thread::sleep(Duration::from_millis(30));
        false
    };
    let next = std::sync::Arc::new(serve);
    let (one, other) = (next.clone(), next);
    let one = Scripted::serve(move |n, req, stream| one(n, req, stream));
    let other = Scripted::serve(move |n, req, stream| other(n, req, stream));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", one.addr, Decode),
        entry("d2", other.addr, Decode),
    ]);
    let response = host.send(
        "POST /resume/ HTTP/1.1\r\nhost: app.test\r\nid: g\r\ntokens: 100,50\r\n\
         content-length: 1\r\n\r\nx",
    );
    assert_eq!(status(&response), "200", "{response}");
    assert_eq!(one.count() + other.count(), 2, "the stream was resumed once");
    chunks(&response)
}

/// Checks that a caller got events up to number `last` at most, and no end. What is written
/// right before the connection is closed may be lost.
fn check_broken((data, is_whole): (String, bool), last: u32) {
    assert!(!is_whole && events(1, last).starts_with(&data), "{data}");
    assert!(data.ends_with("\n\n"), "{data}");
}

fn whole(req: &str, body: &str) -> String {
    head(req, "200 OK", &format!("content-length: {}\r\n", body.len())) + body
}

#[test]
fn a_stream_goes_on_with_the_events_that_follow() {
    let all = (events(1, 5), true);
    assert_eq!(resumed(|req| whole(req, &events(3, 5))), all);
    assert_eq!(resumed(|req| head(req, "200 OK", "") + &events(3, 5)), all);
    let (data, is_whole) = resumed(|req| {
        let version = "x-version: 7\nid: 3\nevent: token\ndata: token 3\n\n";
        whole(req, &format!(": comment\n\n{version}{}", events(4, 5)))
    });
    assert!(is_whole && data.contains("x-version: 7") && data.ends_with(&events(4, 5)), "{data}");
}

// The text of an error with an empty line passed for an event, and the stream for whole.
#[test]
fn the_text_of_an_error_stands_in_a_stream() {
    let begun = (events(1, 2), false);
    for text in [
        "upstream error: out of memory\n\n",
        "error: out of memory\n\n",
        "{\"error\": \"out of memory\"}\n\n",
        "data: {\"error\": \"out of memory\"}\n\n",
        "HTTP/1.1 500 Internal\r\nx: y\r\n\r\noops\n\n",
        "oops",
    ] {
        assert_eq!(resumed(move |req| whole(req, text)), begun, "{text:?}");
        assert_eq!(resumed(move |req| head(req, "200 OK", "") + text), begun, "{text:?}");
        check_broken(resumed(move |req| whole(req, &(events(3, 3) + text))), 3);
    }
}

#[test]
fn the_error_of_the_next_engine_ends_a_stream_as_broken() {
    for code in ["500 Internal", "503 Full", "404 Not Found", "204 No Content", "302 Found"] {
        for text in ["", "upstream error\n\n"] {
            let next = move |req: &str| {
                head(req, code, &format!("content-length: {}\r\n", text.len())) + text
            };
            assert_eq!(resumed(next), (events(1, 2), false), "{code} {text:?}");
        }
    }
}

// A second response on the connection passed for events of a body without a length.
#[test]
fn a_second_response_stands_in_a_stream_without_a_length() {
    let error = "HTTP/1.1 500 Internal\r\ncontent-length: 8\r\n\r\nerror!\n\n";
    let next = move |req: &str| head(req, "200 OK", "") + &events(3, 4) + error;
    check_broken(resumed(next), 4);
}

// Nobody compared the ids.
#[test]
fn a_stream_goes_on_at_another_event() {
    for (from, to) in [(5, 6), (1, 5), (2, 5), (4, 4)] {
        let next = move |req: &str| whole(req, &events(from, to));
        assert_eq!(resumed(next), (events(1, 2), false), "{from} to {to}");
    }
    let twice = |req: &str| whole(req, &(events(3, 4) + &events(4, 5)));
    check_broken(resumed(twice), 4);
}

// An empty answer of the next engine passed for the rest of the stream.
#[test]
fn an_empty_answer_ends_a_stream_as_whole() {
    let begun = (events(1, 2), false);
    assert_eq!(resumed(|req| whole(req, "")), begun);
    assert!(!resumed(|req| whole(req, ": nothing\n\n")).1);
    let last_chunk =
        |req: &str| head(req, "200 OK", "transfer-encoding: chunked\r\n") + "0\r\n\r\n";
    assert_eq!(resumed(last_chunk), begun);
}

/// Returns what a caller gets that takes up a stream after its event 2 from an engine that sends
/// `sent`.
fn taken_up(sent: String) -> (String, bool) {
    let decode = Scripted::start(move |_, req| whole(req, &sent).into_bytes());
    let host = TestHost::with_servers(&[entry("d1", decode.addr, Decode)]);
    let response = host.send(
        "POST /resume/ HTTP/1.1\r\nhost: app.test\r\nid: g\r\nresumes: f\r\nafter: 2\r\n\
         tokens: 100,50\r\ncontent-length: 1\r\n\r\nx",
    );
    chunks(&response)
}

// The engine began at the first event, and the caller had some of them twice.
#[test]
fn a_stream_that_is_taken_up_begins_anew() {
    assert_eq!(taken_up(events(3, 5)), (events(3, 5), true));
    assert_eq!(taken_up(events(1, 5)), (String::new(), false));
    assert_eq!(taken_up(events(2, 5)), (String::new(), false));
}

#[test]
fn ids_go_on_with_the_steps_that_they_had() {
    let event = |id: &str| format!("id: {id}\ndata: x\n\n").into_bytes();
    let accepts = |ids: &[&str], joint: &str| {
        let mut sequence = EventSequence::default();
        for id in ids {
            let event = event(id);
            assert_eq!(sequence.accept(&event), event.len(), "{id}");
        }
        sequence.begin_run();
        sequence.accept(&event(joint)) > 0
    };
    assert!(accepts(&["13", "26", "39"], "52") && accepts(&["13", "26", "39"], "45"));
    assert!(!accepts(&["13", "26", "39"], "53") && !accepts(&["13", "26", "39"], "39"));
    assert!(accepts(&["1"], "2") && !accepts(&["1"], "3"));
    assert!(accepts(&["500"], "600") && !accepts(&["500"], "400"));
    assert!(accepts(&["a", "b"], "c") && !accepts(&["a", "b"], "b"));
    assert!(accepts(&[], "7"));
}

/// Whatever servers send in whatever order, ids that are numbers only rise.
#[test]
fn relayed_ids_rise() {
    type Runs = Vec<Vec<u8>>;
    bolero::check!().with_iterations(2_000).with_type::<Runs>().for_each(|runs| {
        let mut sequence = EventSequence::default();
        let mut relayed: Vec<u8> = Vec::new();
        for run in runs {
            for id in run {
                let event = format!("id: {id}\ndata: x\n\n");
                if sequence.accept(event.as_bytes()) == 0 {
                    break;
                }
                relayed.push(*id);
            }
            sequence.begin_run();
        }
        assert!(relayed.windows(2).all(|pair| pair[0] < pair[1]), "{relayed:?}");
    });
}

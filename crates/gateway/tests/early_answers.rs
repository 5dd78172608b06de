//! Tests of servers that answer while a long request is still being sent to them, and of answers
//! with a status that does not exist.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{Decode, Plain, Prefill};
use aspenloft_standin::network::Cut;
use common::{
    MemoryStore, Scripted, TestHost, chunks, configuration, entry, header, sealed, status, wait_for,
};
use socket2::SockRef;

/// The size of a request that takes several writes, in bytes.
const UPLOAD_BYTES: usize = 3_700_000;

/// How a server ends its connection after an early answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It is reset, as by a crash.
    Reset,
    /// It is closed with the rest of the request unread, which resets it as well.
    CloseUnread,
    /// It is reset as soon as the answer has been written.
    ResetAtOnce,
    /// The answer ends in order, and the connection is reset after a pause.
    FinThenReset,
}

/// Starts a server that reads the head of each request and some of its body, sends `answer`, in
/// which `@` stands for the id, and ends the connection.
fn early(answer: &'static str, end: End) -> (ServerEntry, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    // The upload must not fit into the buffers of the sockets.
    SockRef::from(&listener).set_recv_buffer_size(4096).expect("a small buffer");
    let addr = listener.local_addr().expect("address");
    let answered = Arc::<AtomicUsize>::default();
    let count = answered.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, count) = (stream.expect("a connection"), count.clone());
            std::thread::spawn(move || {
                let mut head = String::new();
                let mut buf = [0; 1024];
                while !head.contains("\r\n\r\n") {
                    match stream.read(&mut buf) {
                        Ok(read) if read > 0 => {
                            head.push_str(&String::from_utf8_lossy(&buf[..read]));
                        }
                        _ => return,
                    }
                }
                let id = header(&head, "id").unwrap_or_default();
                let _ = stream.write_all(answer.replace('@', &id).as_bytes());
                if end != End::ResetAtOnce {
                    std::thread::sleep(Duration::from_millis(30));
                }
                if end == End::FinThenReset {
                    let _ = stream.shutdown(Shutdown::Write);
                    std::thread::sleep(Duration::from_millis(30));
                }
                if end != End::CloseUnread {
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
                count.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (entry("s1", addr, Plain), answered)
}

fn upload(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: a\r\n{headers}content-length: {UPLOAD_BYTES}\
         \r\n\r\n{}",
        "x".repeat(UPLOAD_BYTES)
    )
}

const PART: &str = "HTTP/1.1 200 OK\r\nid: @\r\nseal: s\r\n\r\npart of the body";

const EVENT_PART: &str = "HTTP/1.1 200 OK\r\nid: @\r\nseal: s\r\n\r\nid: 1\ndata: one\n\nid: 2\nda";

// Part of an answer without a length passed for the whole when the server reset the connection.
#[test]
fn an_early_answer_that_is_reset_during_the_upload_passes_for_whole() {
    for end in [End::Reset, End::CloseUnread] {
        let (server, answered) = early(PART, end);
        let host = TestHost::with_servers(&[server]);
        for path in ["/once/", "/many/"] {
            let response = host.send(&upload(path, ""));
            assert!(answered.load(Ordering::SeqCst) > 0);
            assert_eq!(status(&response), "502", "{path}, {end:?}: {response:.200}");
        }
    }
}

// A server that ends its answer in order while it has not read the request has not ended it well.
#[test]
fn an_early_answer_that_ends_before_the_upload_passes_for_whole() {
    let (server, _) = early(PART, End::FinThenReset);
    let host = TestHost::with_servers(&[server]);
    let response = host.send(&upload("/once/", ""));
    assert_eq!(status(&response), "502", "{response:.200}");
}

// A refusal was lost with the rest of the upload, and the call seemed to have run.
#[test]
fn an_early_refusal_of_an_upload_is_lost_to_the_reset() {
    const REFUSAL: &str =
        "HTTP/1.1 503 Full\r\nid: @\r\nnot-run: 1\r\ncontent-length: 4\r\n\r\nfull";
    const TOO_LARGE: &str =
        "HTTP/1.1 413 Large\r\nid: @\r\nseal: s\r\ncontent-length: 5\r\n\r\nlarge";
    for end in [End::Reset, End::CloseUnread, End::ResetAtOnce] {
        for (answer, expected) in [(REFUSAL, "503"), (TOO_LARGE, "413")] {
            let (server, answered) = early(answer, end);
            let host = TestHost::with_servers(&[server]);
            let response = host.send(&upload("/once/", ""));
            wait_for("the server to have ended", || answered.load(Ordering::SeqCst) > 0);
            assert_eq!(status(&response), expected, "{end:?}: {response:.200}");
        }
    }
}

#[test]
fn an_early_stream_that_is_reset_during_the_upload_passes_for_whole() {
    for end in [End::Reset, End::CloseUnread, End::FinThenReset] {
        let (server, answered) = early(EVENT_PART, end);
        let engine = ServerEntry { role: Decode, service: "model".into(), ..server };
        let host = TestHost::with_servers(&[engine]);
        for path in ["/stream/", "/resume/"] {
            let response = host.send(&upload(path, "tokens: 100,50\r\n"));
            assert!(answered.load(Ordering::SeqCst) > 0, "{response:.200}");
            let (events, is_whole) = chunks(&response);
            assert!(!is_whole || status(&response) != "200", "{path}, {end:?}: {response:.300}");
            assert!("id: 1\ndata: one\n\n".starts_with(&events) || status(&response) != "200");
        }
    }
}

// The same over a second host, which serves the request for one without a path to the server.
#[test]
fn an_early_answer_to_a_forwarded_upload_passes_for_whole() {
    let (server, answered) = early(PART, End::Reset);
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    for name in ["s1", "s2", "s3"] {
        let server = ServerEntry { instance: name.into(), ..server.clone() };
        store.write(&format!("servers/{name}"), &server);
    }
    let hosts = ["h1", "h2"].map(|name| TestHost::start(name, store.for_another_host()));
    hosts.iter().for_each(TestHost::wait_ready);
    std::thread::sleep(Duration::from_millis(500));
    hosts[0].network.cut(Cut::Refused, &[]);
    let response = hosts[0].send(&upload("/once/", ""));
    wait_for("the upload to be forwarded", || answered.load(Ordering::SeqCst) > 0);
    assert_ne!(status(&response), "200", "{response:.200}");
}

// The bytes that the server reads on were taken for the next request on the connection.
#[test]
fn a_request_after_an_early_answer_is_read_as_the_rest_of_the_upload() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            std::thread::spawn(move || answer_early_and_read_on(stream));
        }
    });
    let host = TestHost::with_servers(&[entry("s1", addr, Plain)]);
    for _ in 0..3 {
        let response = host.send(&upload("/once/", ""));
        assert!(["200", "502"].contains(&status(&response).as_str()), "{response:.200}");
        let response = host.send("GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: b\r\n\r\n");
        assert_eq!(status(&response), "200", "{response:.200}");
    }
}

/// Answers each request when its head has been read, and reads its body later.
fn answer_early_and_read_on(mut stream: TcpStream) {
    let mut data = Vec::new();
    let mut buf = [0; 16 * 1024];
    loop {
        let text = String::from_utf8_lossy(&data).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let head = format!("{head}\r\n\r\n");
            assert!(head.starts_with("POST /once/") || head.starts_with("GET /many/"), "{head}");
            let length = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            let _ = stream.write_all(&sealed(&head, "200 OK", "early"));
            std::thread::sleep(Duration::from_millis(100));
            data.drain(..head.len());
            while data.len() < length {
                match stream.read(&mut buf) {
                    Ok(read) if read > 0 => data.extend_from_slice(&buf[..read]),
                    _ => return,
                }
            }
            assert!(data[..length].iter().all(|byte| *byte == b'x'), "other bytes in the body");
            data.drain(..length);
            continue;
        }
        match stream.read(&mut buf) {
            Ok(read) if read > 0 => data.extend_from_slice(&buf[..read]),
            _ => return,
        }
    }
}

/// Status lines that no response to a request has.
const STATUS_LINES: [&str; 11] = [
    "000 Trouble",
    "000",
    "099 Low",
    "0 Zero",
    "00 Zero",
    "2000 Long",
    "-20 Minus",
    "abc Text",
    "101 Switching Protocols",
    "600 High",
    "999 Highest",
];

// A status that no answer has was relayed to the caller.
#[test]
fn an_answer_with_a_status_that_does_not_exist_is_relayed() {
    for line in STATUS_LINES {
        let answer = move |_: usize, req: &str| {
            let sound = String::from_utf8(sealed(req, "200 OK", "done")).expect("text");
            sound.replacen("200 OK", line, 1).into_bytes()
        };
        let (plain, prefill, decode) =
            (Scripted::start(answer), Scripted::start(answer), Scripted::start(answer));
        let host = TestHost::with_servers(&[
            entry("s1", plain.addr, Plain),
            entry("p1", prefill.addr, Prefill),
            entry("d1", decode.addr, Decode),
        ]);
        for path in ["/once/", "/many/", "/stream/", "/resume/"] {
            let headers = if path.len() > 7 { "tokens: 100,50\r\n" } else { "" };
            let response = host.send(&format!(
                "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: a\r\n{headers}content-length: 1\r\n\r\nx"
            ));
            assert!(
                ["502", "504"].contains(&status(&response).as_str()),
                "{line}: {response:.200}"
            );
        }
    }
}

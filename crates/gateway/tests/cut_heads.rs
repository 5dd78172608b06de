//! Tests of servers that stop in the middle of the head of a response and close the connection:
//! callers never get a success that is empty or short.

mod common;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use aspenloft_gateway::roster::ServerRole::{Decode, Plain, Prefill};
use aspenloft_standin::network::Cut;
use common::{
    MemoryStore, Scripted, TestHost, body, configuration, entry, header, sealed, status, wait_for,
};
use parking_lot::Mutex;
use socket2::SockRef;

/// How a server ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

const ENDS: [End; 2] = [End::Close, End::Reset];

/// The heads that are cut, without the id. `|` marks the places.
const HEADS: [&str; 5] = [
    "H|TTP/1.1 20|0 |OK|\r|\n|id: @|\r\nse|al: s\r\n|content-length: 2|4|\r\n|\r|",
    "HTTP/1.1 200 OK\r\nid: @\r\nseal: s\r\n|\r|",
    "HTTP/1.1 200 OK\r\nid: @\r\nseal: s\r\ntransfer-enc|oding: chunked|\r\n|\r|",
    "HTTP/1.1 100 Continue\r\n\r\n|HTTP/1.1 200 OK\r\n|id: @\r\nseal: s\r\n|",
    "HTTP/1.0 200 OK\nid: @\nseal: s\n|content-length: 1|2\n|",
];

/// Returns all heads that are cut.
fn cut_heads() -> Vec<String> {
    let cut = |head: &&str| {
        let places = head.match_indices('|').map(|(at, _)| head[..at].replace('|', ""));
        places.collect::<Vec<String>>()
    };
    HEADS.iter().flat_map(cut).collect()
}

/// Sends `head` for `req` and ends the connection.
fn answer(req: &str, stream: &mut TcpStream, head: &str, end: End) -> bool {
    let id = header(req, "id").unwrap_or_default();
    let _ = stream.write_all(head.replace('@', &id).as_bytes());
    std::thread::sleep(Duration::from_millis(10));
    match end {
        End::Close => drop(stream.shutdown(Shutdown::Both)),
        // With a linger time of zero, closing the socket sends a reset.
        End::Reset => drop(SockRef::from(&*stream).set_linger(Some(Duration::ZERO))),
    }
    false
}

/// What a server does with the requests whose ids begin with `cut`; it answers the others.
type CutAnswer = Arc<Mutex<(String, End)>>;

fn server(cut: &CutAnswer, sound: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static) -> Scripted {
    let cut = cut.clone();
    Scripted::serve(move |_, req, stream| {
        if !header(req, "id").is_some_and(|id| id.starts_with("cut")) {
            return stream.write_all(&sound(req)).is_ok();
        }
        let (head, end) = cut.lock().clone();
        answer(req, stream, &head, end)
    })
}

fn call(path: &str, id: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\ncontent-length: 1\r\n\r\nx")
}

fn generation(id: &str) -> String {
    call("/resume/", id).replace("content-length", "tokens: 100,50\r\ncontent-length")
}

fn stream_of(req: &str, from: u32, to: u32) -> Vec<u8> {
    let events: String =
        (from..=to).map(|number| format!("id: {number}\ndata: token\n\n")).collect();
    sealed(req, "200 OK", &events)
}

/// Has `check` send one request for each cut head and each end of the connection.
fn for_each_cut(cut: &CutAnswer, mut check: impl FnMut(&str, usize)) {
    let mut number = 0;
    for head in cut_heads() {
        for end in ENDS {
            *cut.lock() = (head.clone(), end);
            number += 1;
            check(&format!("{end:?} after {}", head.escape_debug()), number);
        }
    }
    assert!(number > 40, "{number} heads");
}

#[test]
fn a_call_whose_answer_ends_inside_its_head_may_have_run() {
    let cut = CutAnswer::new(Mutex::new((String::new(), End::Close)));
    let server = server(&cut, |req| sealed(req, "200 OK", "done"));
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    for_each_cut(&cut, |what, number| {
        // The calls that are answered keep the server in use, and leave a connection.
        for sound in 0..3 {
            let response = host.send(&call("/once/", &format!("a{number}-{sound}")));
            assert_eq!((status(&response).as_str(), body(&response)), ("200", "done"));
        }
        let seen = server.count();
        let response = host.send(&call("/once/", &format!("cut{number}")));
        assert_eq!(status(&response), "502", "{what}: {response}");
        assert_eq!(server.count(), seen + 1, "{what}");
    });
}

#[test]
fn a_call_on_a_new_connection_whose_answer_ends_inside_its_head_may_have_run() {
    for head in cut_heads() {
        let scripted = head.clone();
        let server =
            Scripted::serve(move |_, req, stream| answer(req, stream, &scripted, End::Close));
        let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
        let response = host.send(&call("/once/", "a"));
        assert_eq!(status(&response), "502", "{}: {response}", head.escape_debug());
        assert_eq!(server.count(), 1);
    }
}

#[test]
fn an_idempotent_call_whose_answer_ends_inside_its_head_is_sent_again() {
    let cut = CutAnswer::new(Mutex::new((String::new(), End::Close)));
    let broken = server(&cut, |req| sealed(req, "200 OK", "done"));
    let sound = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let host =
        TestHost::with_servers(&[entry("s1", broken.addr, Plain), entry("s2", sound.addr, Plain)]);
    for_each_cut(&cut, |what, number| {
        let response = host.send(&call("/many/", &format!("cut{number}")));
        let answer = (status(&response), body(&response).to_string());
        assert_eq!(answer, ("200".to_string(), "done".to_string()), "{what}: {response}");
    });
}

#[test]
fn a_stream_whose_answer_ends_inside_its_head_has_not_begun() {
    let cut = CutAnswer::new(Mutex::new((String::new(), End::Close)));
    let prefill = Scripted::start(|_, req| sealed(req, "200 OK", "handle"));
    let decode = server(&cut, |req| stream_of(req, 1, 3));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", decode.addr, Decode),
    ]);
    for_each_cut(&cut, |what, number| {
        for sound in 0..3 {
            host.send(&generation(&format!("a{number}-{sound}")));
        }
        let seen = decode.count();
        let response = host.send(&generation(&format!("cut{number}")));
        assert_eq!(status(&response), "502", "{what}: {response}");
        assert!(response.contains("no usable response"), "{what}: {response}");
        assert!(decode.count() > seen, "{what}");
    });
}

#[test]
fn a_prompt_whose_answer_ends_inside_its_head_is_processed_elsewhere() {
    let cut = CutAnswer::new(Mutex::new((String::new(), End::Close)));
    let prefill = server(&cut, |req| sealed(req, "200 OK", "handle"));
    let decode = Scripted::start(|_, req| stream_of(req, 1, 3));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", decode.addr, Decode),
    ]);
    for_each_cut(&cut, |what, number| {
        // Each extra send takes up the budget that five requests bring.
        for sound in 0..6 {
            host.send(&generation(&format!("a{number}-{sound}")));
        }
        let response = host.send(&generation(&format!("cut{number}")));
        let is_whole = response.ends_with("0\r\n\r\n") && response.contains("id: 3\n");
        assert!(is_whole, "{what}: {response}");
    });
}

#[test]
fn a_resumption_whose_answer_ends_inside_its_head_breaks_the_stream_off() {
    let cut = CutAnswer::new(Mutex::new((String::new(), End::Close)));
    let resumptions = Arc::new(AtomicBool::new(false));
    let serve = {
        let (cut, resumptions) = (cut.clone(), resumptions.clone());
        move |_: usize, req: &str, stream: &mut TcpStream| {
            if header(req, "after").is_some() {
                resumptions.store(true, Ordering::SeqCst);
                let (head, end) = cut.lock().clone();
                return answer(req, stream, &head, end);
            }
            if !header(req, "id").is_some_and(|id| id.starts_with("cut")) {
                return stream.write_all(&stream_of(req, 1, 3)).is_ok();
            }
            let whole = String::from_utf8(stream_of(req, 1, 3)).expect("text");
            let _ = stream.write_all(&whole.as_bytes()[..whole.len() - 10]);
            std::thread::sleep(Duration::from_millis(20));
            false
        }
    };
    let (one, other) = (Scripted::serve(serve.clone()), Scripted::serve(serve));
    let servers = [entry("d1", one.addr, Decode), entry("d2", other.addr, Decode)];
    let host = TestHost::with_servers(&servers);
    let mut resumed = 0;
    for_each_cut(&cut, |what, number| {
        for sound in 0..6 {
            host.send(&generation(&format!("a{number}-{sound}")));
        }
        let response = host.send(&generation(&format!("cut{number}")));
        assert!(!response.ends_with("0\r\n\r\n"), "{what}: {response}");
        assert!(!response.contains("HTTP/1.1 100"), "{what}: {response}");
        resumed += usize::from(resumptions.swap(false, Ordering::SeqCst));
    });
    assert!(resumed > 40, "{resumed} streams were resumed");
}

#[test]
fn a_forwarded_call_whose_answer_ends_inside_its_head_may_have_run() {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    let cut = CutAnswer::new(Mutex::new((String::new(), End::Close)));
    let servers: Vec<Scripted> =
        (0..3).map(|_| server(&cut, |req| sealed(req, "200 OK", "done"))).collect();
    for (n, server) in servers.iter().enumerate() {
        store.write(&format!("servers/s{n}"), &entry(&format!("s{n}"), server.addr, Plain));
    }
    let start = |n: usize| TestHost::start(&format!("h{n}"), store.for_another_host());
    let hosts: Vec<TestHost> = (0..2).map(start).collect();
    for host in &hosts {
        host.network.relay_connections();
        host.wait_ready();
    }
    std::thread::sleep(Duration::from_millis(500));
    hosts[0].network.cut(Cut::Refused, &[]);
    wait_for("calls to be forwarded", || status(&hosts[0].send(&call("/once/", "a"))) == "200");
    for_each_cut(&cut, |what, number| {
        for sound in 0..6 {
            hosts[0].send(&call("/once/", &format!("a{number}-{sound}")));
        }
        let response = hosts[0].send(&call("/once/", &format!("cut{number}")));
        assert_eq!(status(&response), "502", "{what}: {response}");
    });
}

//! Tests model requests: prefill and decode on separate engines, streaming event by
//! event, resumed streams, KV caches that are freed and prompts that are too large.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{Decode, Prefill};
use common::{
    Scripted, TestHost, body, entry, free_addr, header, not_run, sealed, status, wait_for,
};

fn request(path: &str, id: &str) -> String {
    request_of_size(path, id, "1000,200")
}

fn request_of_size(path: &str, id: &str, tokens: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\ntokens: {tokens}\r\ncontent-length: 1\r\n\r\nx"
    )
}

fn stream_head(req: &str) -> String {
    let id = header(req, "id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n")
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// Returns a complete stream of the events `from..=to`.
fn complete_stream(req: &str, from: u32, to: u32) -> Vec<u8> {
    let events: String = (from..=to).map(|n| chunk(&event(n))).collect();
    format!("{}{events}0\r\n\r\n", stream_head(req)).into_bytes()
}

fn prefill_engine() -> Scripted {
    Scripted::start(|number, req| sealed(req, "200 OK", &format!("handle{number}")))
}

/// Returns the ids of the events in a chunked response.
fn event_ids(response: &str) -> Vec<u32> {
    let lines = body(response).lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.trim().parse().ok()).collect()
}

#[test]
fn prefill_and_decode_run_on_separate_engines() {
    let prefill = prefill_engine();
    let decode = Scripted::start(|_, req| complete_stream(req, 1, 3));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", decode.addr, Decode),
    ]);
    let response = host.send(&request("/stream/", "a"));
    assert_eq!((status(&response).as_str(), event_ids(&response)), ("200", vec![1, 2, 3]));
    assert!(response.ends_with("0\r\n\r\n"));
    assert_eq!(header(&prefill.seen.lock()[0], "phase").as_deref(), Some("prefill"));
    assert_eq!(header(&decode.seen.lock()[0], "memory").as_deref(), Some("handle1"));
}

#[test]
fn without_a_prefill_engine_the_decode_engine_processes_the_prompt() {
    let decode = Scripted::start(|_, req| complete_stream(req, 1, 1));
    for prefill in [None, Some(free_addr())] {
        let mut servers = vec![entry("d1", decode.addr, Decode)];
        servers.extend(prefill.map(|addr| entry("p1", addr, Prefill)));
        let host = TestHost::with_servers(&servers);
        assert_eq!(status(&host.send(&request("/stream/", "a"))), "200");
    }
    assert!(decode.seen.lock().iter().all(|req| header(req, "memory").is_none()));
}

#[test]
fn events_are_relayed_as_they_arrive() {
    let decode = Scripted::serve(|_, req, stream| {
        let first = format!("{}{}", stream_head(req), chunk(&event(1)));
        let _ = stream.write_all(first.as_bytes());
        std::thread::sleep(Duration::from_millis(600));
        let _ = stream.write_all(format!("{}0\r\n\r\n", chunk(&event(2))).as_bytes());
        true
    });
    let host = TestHost::with_servers(&[entry("d1", decode.addr, Decode)]);
    let mut caller = TcpStream::connect(host.callers).expect("connect");
    let started_at = Instant::now();
    caller.write_all(request("/stream/", "a").as_bytes()).expect("send");
    let mut seen = String::new();
    let mut buf = [0; 1024];
    while !seen.contains("token 1") {
        let read = std::io::Read::read(&mut caller, &mut buf).expect("read");
        seen.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    assert!(started_at.elapsed() < Duration::from_millis(400), "{:?}", started_at.elapsed());
}

/// Sends two complete events and half of a third, then closes the connection.
fn send_partial_stream(req: &str, stream: &mut TcpStream) -> bool {
    let events = format!("{}{}{}", event(1), event(2), "id: 3\ndata: tok");
    let _ = stream.write_all(format!("{}{}", stream_head(req), chunk(&events)).as_bytes());
    // Gives the host time to read the events before the connection is closed.
    std::thread::sleep(Duration::from_millis(50));
    false
}

#[test]
fn a_resumable_stream_continues_on_another_engine_after_the_last_complete_event() {
    let first = Scripted::serve(|_, req, stream| send_partial_stream(req, stream));
    let second = Scripted::start(|_, req| complete_stream(req, 3, 5));
    let host = TestHost::with_servers(&[
        entry("d1", first.addr, Decode),
        entry("d2", second.addr, Decode),
    ]);
    let response = host.send(&request("/resume/", "a"));
    assert_eq!(event_ids(&response), [1, 2, 3, 4, 5]);
    assert!(response.ends_with("0\r\n\r\n"));
    assert_eq!(header(&second.seen.lock()[0], "after").as_deref(), Some("2"));
}

#[test]
fn a_stream_that_may_not_be_resumed_ends_incomplete() {
    let first = Scripted::serve(|_, req, stream| send_partial_stream(req, stream));
    let second = Scripted::start(|_, req| complete_stream(req, 3, 5));
    let host = TestHost::with_servers(&[
        entry("d1", first.addr, Decode),
        entry("d2", second.addr, Decode),
    ]);
    let response = host.send(&request("/stream/", "a"));
    assert_eq!(event_ids(&response), [1, 2]);
    assert!(!response.contains("tok\n") && !response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(second.count(), 0);
}

#[test]
fn the_kv_cache_is_kept_when_a_full_engine_refuses() {
    let prefill = prefill_engine();
    let refusing = Scripted::start(|_, req| not_run(req));
    let decode = Scripted::start(|_, req| complete_stream(req, 1, 1));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", refusing.addr, Decode),
        entry("d2", decode.addr, Decode),
    ]);
    let response = host.send(&request_of_size("/stream/", "a", "34000,100"));
    assert_eq!(status(&response), "200", "{response}");
    assert_eq!(prefill.count(), 1, "the prompt was processed once");
    assert_eq!(header(&decode.seen.lock()[0], "memory").as_deref(), Some("handle1"));
}

#[test]
fn an_unused_kv_cache_is_freed() {
    let prefill = prefill_engine();
    let broken = Scripted::start(|_, _| Vec::new());
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", broken.addr, Decode),
    ]);
    assert_eq!(status(&host.send(&request("/stream/", "a"))), "502");
    wait_for("the KV cache to be freed", || {
        prefill.seen.lock().iter().any(|req| req.starts_with("DELETE /memory/handle1 "))
    });
}

#[test]
fn a_prompt_that_exceeds_an_engines_memory_is_refused_immediately() {
    let decode = Scripted::start(|_, req| complete_stream(req, 1, 1));
    let host = TestHost::with_servers(&[entry("d1", decode.addr, Decode)]);
    let started_at = Instant::now();
    let response = host.send(&request_of_size("/stream/", "a", "500000,100"));
    assert_eq!(status(&response), "503");
    assert!(started_at.elapsed() < Duration::from_millis(200));
    assert_eq!(decode.count(), 0);
}

#[test]
fn a_huge_output_limit_is_reduced_to_an_engines_memory() {
    let decode = Scripted::start(|_, req| complete_stream(req, 1, 1));
    let host = TestHost::with_servers(&[entry("d1", decode.addr, Decode)]);
    assert_eq!(status(&host.send(&request_of_size("/stream/", "a", "100,1000000000"))), "200");
}

#[test]
fn a_request_waits_for_capacity_and_is_refused_when_none_is_expected() {
    let slow = Scripted::serve(|_, req, stream| {
        let _ = stream.write_all(format!("{}{}", stream_head(req), chunk(&event(1))).as_bytes());
        std::thread::sleep(Duration::from_millis(700));
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    let host = TestHost::with_servers(&[entry("d1", slow.addr, Decode)]);
    // Each takes more than half of the engine's memory.
    let callers: Vec<_> = (0..2)
        .map(|n| {
            let (addr, req) =
                (host.callers, request_of_size("/stream/", &format!("a{n}"), "20000,200"));
            std::thread::spawn(move || common::exchange(addr, req.as_bytes()))
        })
        .collect();
    for caller in callers {
        assert_eq!(status(&caller.join().expect("caller")), "200");
    }
    let long = || request_of_size("/stream/", "long", "20000,40000");
    let addr = host.callers;
    let first = std::thread::spawn(move || common::exchange(addr, long().as_bytes()));
    wait_for("the long request to run", || slow.count() == 3);
    let started_at = Instant::now();
    let response = host.send(&long());
    assert_eq!(status(&response), "503");
    assert!(header(&response, "retry-after").is_some());
    assert!(started_at.elapsed() < Duration::from_millis(200), "{:?}", started_at.elapsed());
    first.join().expect("caller");
}

/// Starts an engine that sends the first event of a stream and then nothing, on a
/// connection that stays open.
fn engine_that_stops_sending() -> Scripted {
    Scripted::serve(|_, req, stream| {
        let _ = stream.write_all(format!("{}{}", stream_head(req), chunk(&event(1))).as_bytes());
        std::thread::sleep(Duration::from_secs(3));
        false
    })
}

/// An engine that stops sending in the middle of a stream, while the connection stays
/// open, must not get new requests.
#[test]
fn an_engine_with_silent_streams_gets_no_new_requests() {
    let silent = engine_that_stops_sending();
    let healthy = Scripted::start(|_, req| complete_stream(req, 1, 1));
    let host = TestHost::with_servers(&[entry("d1", silent.addr, Decode)]);
    let (addr, req) = (host.callers, request("/stream/", "a"));
    let first = std::thread::spawn(move || common::exchange(addr, req.as_bytes()));
    wait_for("the stream to begin", || silent.count() == 1);
    // The other engine is less preferred, because it is in another data centre.
    let remote = ServerEntry { data_centre: "dc-b".into(), ..entry("d2", healthy.addr, Decode) };
    host.store.write("servers/d2", &remote);
    std::thread::sleep(Duration::from_millis(900));
    for n in 0..4 {
        assert_eq!(status(&host.send(&request("/stream/", &format!("b{n}")))), "200");
    }
    assert_eq!((silent.count(), healthy.count()), (1, 4));
    first.join().expect("caller");
}

/// When callers disconnect from a silent engine before its connections break, the engine
/// has no requests and would be preferred to all others.
#[test]
fn an_engine_that_callers_left_while_silent_gets_one_trial_request_at_a_time() {
    let silent = engine_that_stops_sending();
    let healthy = Scripted::start(|_, req| complete_stream(req, 1, 1));
    let host = TestHost::with_servers(&[entry("d1", silent.addr, Decode)]);
    let mut caller = TcpStream::connect(host.callers).expect("connect");
    caller.write_all(request("/stream/", "a").as_bytes()).expect("send");
    wait_for("the stream to begin", || silent.count() == 1);
    let remote = ServerEntry { data_centre: "dc-b".into(), ..entry("d2", healthy.addr, Decode) };
    host.store.write("servers/d2", &remote);
    std::thread::sleep(Duration::from_millis(900));
    drop(caller);
    std::thread::sleep(Duration::from_millis(100));
    for n in 0..4 {
        assert_eq!(status(&host.send(&request("/stream/", &format!("b{n}")))), "200");
    }
    assert_eq!((silent.count(), healthy.count()), (1, 4));
}

/// Engines refuse all requests while they change their role. A host that has just
/// started does not know of the change.
#[test]
fn an_engine_that_refuses_with_free_capacity_is_excluded_and_the_kv_cache_kept() {
    let prefill = prefill_engine();
    let closed = Scripted::start(|_, req| not_run(req));
    let healthy = Scripted::start(|_, req| complete_stream(req, 1, 1));
    let remote = ServerEntry { data_centre: "dc-b".into(), ..entry("d2", healthy.addr, Decode) };
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", closed.addr, Decode),
        remote,
    ]);
    for n in 0..4 {
        assert_eq!(status(&host.send(&request("/stream/", &format!("c{n}")))), "200");
    }
    assert_eq!(closed.count(), 2, "once with the KV cache and once without");
    let phase = |req: &String| header(req, "phase").as_deref() == Some("prefill");
    assert_eq!(prefill.seen.lock().iter().filter(|req| phase(req)).count(), 4);
    let with_kv_cache =
        healthy.seen.lock().iter().filter(|r| header(r, "memory").is_some()).count();
    assert_eq!(with_kv_cache, 4, "every KV cache was used");
}

#[test]
fn a_stream_ends_incomplete_at_the_deadline() {
    let endless = Scripted::serve(|_, req, stream| {
        let _ = stream.write_all(stream_head(req).as_bytes());
        (1..40).all(|n| {
            std::thread::sleep(Duration::from_millis(100));
            stream.write_all(chunk(&event(n)).as_bytes()).is_ok()
        })
    });
    let host = TestHost::with_servers(&[entry("d1", endless.addr, Decode)]);
    let started_at = Instant::now();
    let response = host.send(&request("/stream/", "a"));
    let took = started_at.elapsed();
    assert!((1_900..2_500).contains(&took.as_millis()), "{took:?}");
    assert!(event_ids(&response).len() >= 15, "{response}");
    assert!(!response.ends_with("0\r\n\r\n"));
}

/// When prefill engines fail one after another, each refusal or reset must count as a
/// send, or else the extra sends exceed their budget.
#[test]
fn failed_prefills_count_against_the_budget_of_extra_sends() {
    for script in [not_run as fn(&str) -> Vec<u8>, |_: &str| Vec::new()] {
        check_arrivals(script);
    }
}

/// Sends requests to a host whose prefill engines respond with `script`, and checks the
/// number of requests that reach an engine.
fn check_arrivals(script: fn(&str) -> Vec<u8>) {
    const REQUESTS: usize = 10;
    let decode = Scripted::start(|_, req| complete_stream(req, 1, 1));
    let prefills: Vec<Scripted> =
        (0..2 * REQUESTS).map(|_| Scripted::start(move |_, req| script(req))).collect();
    let named = |(n, engine): (usize, &Scripted)| entry(&format!("p{n}"), engine.addr, Prefill);
    let mut servers: Vec<ServerEntry> = prefills.iter().enumerate().map(named).collect();
    servers.push(entry("d1", decode.addr, Decode));
    let host = TestHost::with_servers_and_slack(&servers, 4);
    for n in 0..REQUESTS {
        let response = host.send(&request("/stream/", &format!("a{n}")));
        assert!(["200", "503"].contains(&status(&response).as_str()), "{response}");
    }
    let arrivals = decode.count() + prefills.iter().map(Scripted::count).sum::<usize>();
    let allowed = REQUESTS + REQUESTS / 5 + 4;
    assert!(arrivals <= allowed, "{arrivals} arrivals, {allowed} allowed");
}

/// A send that does not reach an engine is no extra send: unreachable engines must not
/// use up the budget that is needed when an engine refuses.
#[test]
fn unreachable_engines_use_no_extra_sends() {
    let decode = Scripted::start(|_, req| complete_stream(req, 1, 1));
    let mut servers: Vec<ServerEntry> =
        (0..3).map(|n| entry(&format!("d{n}"), free_addr(), Decode)).collect();
    let remote = ServerEntry { data_centre: "dc-b".into(), ..entry("z", decode.addr, Decode) };
    servers.push(remote);
    let host = TestHost::with_servers_and_slack(&servers, 0);
    assert_eq!(status(&host.send(&request("/stream/", "a"))), "200");
}

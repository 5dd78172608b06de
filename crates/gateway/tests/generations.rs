//! Model requests: prompts read apart, streams event by event, streams that go on
//! elsewhere, memory that is freed, prompts that no engine can hold.

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
    sized(path, id, "1000,200")
}

fn sized(path: &str, id: &str, tokens: &str) -> String {
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

/// Streams events `from..=to` and the end.
fn whole_stream(req: &str, from: u32, to: u32) -> Vec<u8> {
    let events: String = (from..=to).map(|n| chunk(&event(n))).collect();
    format!("{}{events}0\r\n\r\n", stream_head(req)).into_bytes()
}

fn prefill_engine() -> Scripted {
    Scripted::start(|number, req| sealed(req, "200 OK", &format!("handle{number}")))
}

/// Returns the ids of the events in a chunked answer.
fn event_ids(answer: &str) -> Vec<u32> {
    let lines = body(answer).lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.trim().parse().ok()).collect()
}

#[test]
fn the_prompt_is_read_on_one_engine_and_answered_by_another() {
    let prefill = prefill_engine();
    let decode = Scripted::start(|_, req| whole_stream(req, 1, 3));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", decode.addr, Decode),
    ]);
    let answer = host.send(&request("/stream/", "a"));
    assert_eq!((status(&answer).as_str(), event_ids(&answer)), ("200", vec![1, 2, 3]));
    assert!(answer.ends_with("0\r\n\r\n"));
    assert_eq!(header(&prefill.seen.lock()[0], "phase").as_deref(), Some("prefill"));
    assert_eq!(header(&decode.seen.lock()[0], "memory").as_deref(), Some("handle1"));
}

#[test]
fn without_a_prefill_engine_the_decode_engine_does_all() {
    let decode = Scripted::start(|_, req| whole_stream(req, 1, 1));
    for prefill in [None, Some(free_addr())] {
        let mut servers = vec![entry("d1", decode.addr, Decode)];
        servers.extend(prefill.map(|addr| entry("p1", addr, Prefill)));
        let host = TestHost::with_servers(&servers);
        assert_eq!(status(&host.send(&request("/stream/", "a"))), "200");
    }
    assert!(decode.seen.lock().iter().all(|req| header(req, "memory").is_none()));
}

#[test]
fn events_pass_as_they_come() {
    let decode = Scripted::serve(|_, req, stream| {
        let first = format!("{}{}", stream_head(req), chunk(&event(1)));
        let _ = stream.write_all(first.as_bytes());
        std::thread::sleep(Duration::from_millis(600));
        let _ = stream.write_all(format!("{}0\r\n\r\n", chunk(&event(2))).as_bytes());
        true
    });
    let host = TestHost::with_servers(&[entry("d1", decode.addr, Decode)]);
    let mut caller = TcpStream::connect(host.callers).expect("connect");
    let began = Instant::now();
    caller.write_all(request("/stream/", "a").as_bytes()).expect("send");
    let mut seen = String::new();
    let mut buf = [0; 1024];
    while !seen.contains("token 1") {
        let read = std::io::Read::read(&mut caller, &mut buf).expect("read");
        seen.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    assert!(began.elapsed() < Duration::from_millis(400), "{:?}", began.elapsed());
}

/// Sends two whole events and half of a third, then breaks off.
fn break_off(req: &str, stream: &mut TcpStream) -> bool {
    let events = format!("{}{}{}", event(1), event(2), "id: 3\ndata: tok");
    let _ = stream.write_all(format!("{}{}", stream_head(req), chunk(&events)).as_bytes());
    // A moment for the events to be read, since a close may overtake them.
    std::thread::sleep(Duration::from_millis(50));
    false
}

#[test]
fn a_resumable_stream_goes_on_at_another_engine_after_the_last_whole_event() {
    let first = Scripted::serve(|_, req, stream| break_off(req, stream));
    let second = Scripted::start(|_, req| whole_stream(req, 3, 5));
    let host = TestHost::with_servers(&[
        entry("d1", first.addr, Decode),
        entry("d2", second.addr, Decode),
    ]);
    let answer = host.send(&request("/resume/", "a"));
    assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5]);
    assert!(answer.ends_with("0\r\n\r\n"));
    assert_eq!(header(&second.seen.lock()[0], "after").as_deref(), Some("2"));
}

#[test]
fn a_stream_that_may_not_go_on_elsewhere_ends_without_looking_whole() {
    let first = Scripted::serve(|_, req, stream| break_off(req, stream));
    let second = Scripted::start(|_, req| whole_stream(req, 3, 5));
    let host = TestHost::with_servers(&[
        entry("d1", first.addr, Decode),
        entry("d2", second.addr, Decode),
    ]);
    let answer = host.send(&request("/stream/", "a"));
    assert_eq!(event_ids(&answer), [1, 2]);
    assert!(!answer.contains("tok\n") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(second.count(), 0);
}

#[test]
fn a_full_engine_leaves_the_memory_to_another_one() {
    let prefill = prefill_engine();
    let refusing = Scripted::start(|_, req| not_run(req));
    let decode = Scripted::start(|_, req| whole_stream(req, 1, 1));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", refusing.addr, Decode),
        entry("d2", decode.addr, Decode),
    ]);
    let answer = host.send(&sized("/stream/", "a", "34000,100"));
    assert_eq!(status(&answer), "200", "{answer}");
    assert_eq!(prefill.count(), 1, "the prompt was read once");
    assert_eq!(header(&decode.seen.lock()[0], "memory").as_deref(), Some("handle1"));
}

#[test]
fn memory_that_nobody_takes_is_freed() {
    let prefill = prefill_engine();
    let broken = Scripted::start(|_, _| Vec::new());
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", broken.addr, Decode),
    ]);
    assert_eq!(status(&host.send(&request("/stream/", "a"))), "502");
    wait_for("the memory to be freed", || {
        prefill.seen.lock().iter().any(|req| req.starts_with("DELETE /memory/handle1 "))
    });
}

#[test]
fn a_prompt_that_no_engine_can_hold_is_refused_at_once() {
    let decode = Scripted::start(|_, req| whole_stream(req, 1, 1));
    let host = TestHost::with_servers(&[entry("d1", decode.addr, Decode)]);
    let began = Instant::now();
    let answer = host.send(&sized("/stream/", "a", "500000,100"));
    assert_eq!(status(&answer), "503");
    assert!(began.elapsed() < Duration::from_millis(200));
    assert_eq!(decode.count(), 0);
}

#[test]
fn an_enormous_limit_on_the_answer_takes_no_more_than_an_engine() {
    let decode = Scripted::start(|_, req| whole_stream(req, 1, 1));
    let host = TestHost::with_servers(&[entry("d1", decode.addr, Decode)]);
    assert_eq!(status(&host.send(&sized("/stream/", "a", "100,1000000000"))), "200");
}

#[test]
fn a_request_waits_for_room_and_is_refused_when_none_is_expected() {
    let slow = Scripted::serve(|_, req, stream| {
        let _ = stream.write_all(format!("{}{}", stream_head(req), chunk(&event(1))).as_bytes());
        std::thread::sleep(Duration::from_millis(700));
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    let host = TestHost::with_servers(&[entry("d1", slow.addr, Decode)]);
    // Each takes more than half of the engine's memory.
    let callers: Vec<_> = (0..2)
        .map(|n| {
            let (addr, req) = (host.callers, sized("/stream/", &format!("a{n}"), "20000,200"));
            std::thread::spawn(move || common::exchange(addr, req.as_bytes()))
        })
        .collect();
    for caller in callers {
        assert_eq!(status(&caller.join().expect("caller")), "200");
    }
    let long = || sized("/stream/", "long", "20000,40000");
    let addr = host.callers;
    let first = std::thread::spawn(move || common::exchange(addr, long().as_bytes()));
    wait_for("the long request to run", || slow.count() == 3);
    let began = Instant::now();
    let answer = host.send(&long());
    assert_eq!(status(&answer), "503");
    assert!(header(&answer, "retry-after").is_some());
    assert!(began.elapsed() < Duration::from_millis(200), "{:?}", began.elapsed());
    first.join().expect("caller");
}

/// Sends the first event of a stream and nothing more, on a connection that stays open.
fn engine_that_goes_dark() -> Scripted {
    Scripted::serve(|_, req, stream| {
        let _ = stream.write_all(format!("{}{}", stream_head(req), chunk(&event(1))).as_bytes());
        std::thread::sleep(Duration::from_secs(3));
        false
    })
}

/// An engine that goes dark in the middle of a stream, on a connection that stays open.
#[test]
fn an_engine_whose_streams_have_gone_silent_gets_nothing_new() {
    let dark = engine_that_goes_dark();
    let sound = Scripted::start(|_, req| whole_stream(req, 1, 1));
    let host = TestHost::with_servers(&[entry("d1", dark.addr, Decode)]);
    let (addr, req) = (host.callers, request("/stream/", "a"));
    let held = std::thread::spawn(move || common::exchange(addr, req.as_bytes()));
    wait_for("the stream to begin", || dark.count() == 1);
    // The other engine costs more, for it stands elsewhere.
    let far = ServerEntry { data_centre: "dc-b".into(), ..entry("d2", sound.addr, Decode) };
    host.store.write("servers/d2", &far);
    std::thread::sleep(Duration::from_millis(900));
    for n in 0..4 {
        assert_eq!(status(&host.send(&request("/stream/", &format!("b{n}")))), "200");
    }
    assert_eq!((dark.count(), sound.count()), (1, 4));
    held.join().expect("caller");
}

/// Callers leave an engine that has gone dark before its connections break. It has no
/// requests then, and looks better than any other engine.
#[test]
fn an_engine_that_callers_left_in_silence_is_tried_by_one_request_at_a_time() {
    let dark = engine_that_goes_dark();
    let sound = Scripted::start(|_, req| whole_stream(req, 1, 1));
    let host = TestHost::with_servers(&[entry("d1", dark.addr, Decode)]);
    let mut caller = TcpStream::connect(host.callers).expect("connect");
    caller.write_all(request("/stream/", "a").as_bytes()).expect("send");
    wait_for("the stream to begin", || dark.count() == 1);
    let far = ServerEntry { data_centre: "dc-b".into(), ..entry("d2", sound.addr, Decode) };
    host.store.write("servers/d2", &far);
    std::thread::sleep(Duration::from_millis(900));
    drop(caller);
    std::thread::sleep(Duration::from_millis(100));
    for n in 0..4 {
        assert_eq!(status(&host.send(&request("/stream/", &format!("b{n}")))), "200");
    }
    assert_eq!((dark.count(), sound.count()), (1, 4));
}

/// Engines refuse all while they change their role, which a host that has just started
/// does not know.
#[test]
fn an_engine_that_refuses_with_room_to_spare_is_left_out_and_the_memory_kept() {
    let prefill = prefill_engine();
    let closed = Scripted::start(|_, req| not_run(req));
    let sound = Scripted::start(|_, req| whole_stream(req, 1, 1));
    let far = ServerEntry { data_centre: "dc-b".into(), ..entry("d2", sound.addr, Decode) };
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", closed.addr, Decode),
        far,
    ]);
    for n in 0..4 {
        assert_eq!(status(&host.send(&request("/stream/", &format!("c{n}")))), "200");
    }
    assert_eq!(closed.count(), 2, "once with the memory and once without");
    let phase = |req: &String| header(req, "phase").as_deref() == Some("prefill");
    assert_eq!(prefill.seen.lock().iter().filter(|req| phase(req)).count(), 4);
    let with_memory = sound.seen.lock().iter().filter(|r| header(r, "memory").is_some()).count();
    assert_eq!(with_memory, 4, "no prompt was read in vain");
}

#[test]
fn a_stream_ends_with_its_requests_time_and_does_not_look_whole() {
    let endless = Scripted::serve(|_, req, stream| {
        let _ = stream.write_all(stream_head(req).as_bytes());
        (1..40).all(|n| {
            std::thread::sleep(Duration::from_millis(100));
            stream.write_all(chunk(&event(n)).as_bytes()).is_ok()
        })
    });
    let host = TestHost::with_servers(&[entry("d1", endless.addr, Decode)]);
    let began = Instant::now();
    let answer = host.send(&request("/stream/", "a"));
    let took = began.elapsed();
    assert!((1_900..2_500).contains(&took.as_millis()), "{took:?}");
    assert!(event_ids(&answer).len() >= 15, "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"));
}

/// Servers go down and up in turn, and each refusal or reset is an arrival that counts.
#[test]
fn prompts_that_are_not_read_count_against_the_budget_of_extra_sends() {
    for script in [not_run as fn(&str) -> Vec<u8>, |_: &str| Vec::new()] {
        count_arrivals(script);
    }
}

/// Sends requests before prefill engines that answer with `script`.
fn count_arrivals(script: fn(&str) -> Vec<u8>) {
    const REQUESTS: usize = 10;
    let decode = Scripted::start(|_, req| whole_stream(req, 1, 1));
    let prefills: Vec<Scripted> =
        (0..2 * REQUESTS).map(|_| Scripted::start(move |_, req| script(req))).collect();
    let named = |(n, engine): (usize, &Scripted)| entry(&format!("p{n}"), engine.addr, Prefill);
    let mut servers: Vec<ServerEntry> = prefills.iter().enumerate().map(named).collect();
    servers.push(entry("d1", decode.addr, Decode));
    let host = TestHost::with_servers_and_slack(&servers, 4);
    for n in 0..REQUESTS {
        let answer = host.send(&request("/stream/", &format!("a{n}")));
        assert!(["200", "503"].contains(&status(&answer).as_str()), "{answer}");
    }
    let arrivals = decode.count() + prefills.iter().map(Scripted::count).sum::<usize>();
    let allowed = REQUESTS + REQUESTS / 5 + 4;
    assert!(arrivals <= allowed, "{arrivals} arrivals, {allowed} allowed");
}

/// What never arrived is no extra send: engines that are gone must not use up what is
/// needed when one refuses.
#[test]
fn engines_that_cannot_be_reached_take_nothing_from_the_budget() {
    let decode = Scripted::start(|_, req| whole_stream(req, 1, 1));
    let mut servers: Vec<ServerEntry> =
        (0..3).map(|n| entry(&format!("d{n}"), free_addr(), Decode)).collect();
    let far = ServerEntry { data_centre: "dc-b".into(), ..entry("z", decode.addr, Decode) };
    servers.push(far);
    let host = TestHost::with_servers_and_slack(&servers, 0);
    assert_eq!(status(&host.send(&request("/stream/", "a"))), "200");
}

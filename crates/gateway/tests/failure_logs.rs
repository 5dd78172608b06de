//! Tests that the log explains each kind of failure: its lines have the request's id and
//! fields for the server and the cause, and the failure is counted in the metrics.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Mutex, Once};
use std::time::Duration;

use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{Decode, Plain, Prefill};
use aspenloft_telemetry::line::log_line;
use common::{
    Scripted, TestHost, digest, entry, exchange, free_addr, header, not_run, sealed, wait_for,
};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LogCapture;

impl log::Log for LogCapture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.lock().expect("lines").push(log_line(0, record));
    }

    fn flush(&self) {}
}

fn capture_log() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&LogCapture).expect("the only logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Returns whether a log line of the request `id` has all of `fields`.
fn has_line(id: &str, fields: &[&str]) -> bool {
    let id = format!(" request={id}");
    let of_request = |line: &&String| line.contains(&format!("{id} ")) || line.ends_with(&id);
    let lines = LINES.lock().expect("lines");
    lines.iter().filter(of_request).any(|line| fields.iter().all(|f| line.contains(f)))
}

fn assert_line(id: &str, fields: &[&str]) {
    wait_for(&format!("a line of {id} with {fields:?}"), || has_line(id, fields));
}

fn request(path: &str, id: &str, tokens: Option<&str>) -> String {
    let tokens = tokens.map(|tokens| format!("tokens: {tokens}\r\n")).unwrap_or_default();
    format!(
        "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n{tokens}content-length: 1\r\n\r\nx"
    )
}

fn stream(req: &str, events: &str, end: &str) -> Vec<u8> {
    let id = header(req, "id").unwrap_or_default();
    let head =
        format!("HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n");
    format!("{head}{:x}\r\n{events}\r\n{end}", events.len()).into_bytes()
}

const EVENT: &str = "id: 1\ndata: token\n\n";

type Script = fn(usize, &str) -> Vec<u8>;

#[test]
fn failed_calls_log_the_server_and_the_cause() {
    capture_log();
    type Fields = &'static [&'static str];
    let cases: [(&str, &str, Script, Fields, Fields); 5] = [
        (
            "refuses",
            "/once/",
            |_, req| not_run(req),
            &["send_failed", "outcome=refused"],
            &["event=failed", "code=overloaded", "execution=not_run"],
        ),
        (
            "breaks",
            "/once/",
            |_, _| Vec::new(),
            &["send_failed", "outcome="],
            &["event=failed", "code=unavailable", "execution=unknown"],
        ),
        (
            "fails",
            "/once/",
            |_, req| sealed(req, "500 Broken", "why"),
            &["send_failed", "outcome=server_error"],
            &["server=fails"],
        ),
        (
            "late",
            "/once/",
            |_, _| {
                std::thread::sleep(Duration::from_millis(2_500));
                Vec::new()
            },
            &["event=failed", "code=timeout"],
            &["execution=unknown"],
        ),
        (
            "lost",
            "/nowhere/",
            |_, _| Vec::new(),
            &["event=failed", "code=not_found"],
            &["cause=\"no route"],
        ),
    ];
    for (name, path, script, first, second) in cases {
        let server = Scripted::start(script);
        let host = TestHost::with_servers(&[entry(name, server.addr, Plain)]);
        let id = format!("call-{name}");
        host.send(&request(path, &id, None));
        assert_line(&id, first);
        assert_line(&id, second);
    }
}

#[test]
fn an_unreachable_server_is_logged() {
    capture_log();
    let host = TestHost::with_servers(&[entry("away", free_addr(), Plain)]);
    host.send(&request("/once/", "call-away", None));
    assert_line("call-away", &["send_failed", "server=away", "outcome="]);
    assert_line("call-away", &["event=failed", "execution=not_run"]);
}

#[test]
fn the_steps_of_a_model_request_are_logged() {
    capture_log();
    let prefill = Scripted::start(|_, req| sealed(req, "200 OK", "handle"));
    let decode = Scripted::start(|_, req| stream(req, EVENT, "0\r\n\r\n"));
    let host = TestHost::with_servers(&[
        entry("p1", prefill.addr, Prefill),
        entry("d1", decode.addr, Decode),
    ]);
    host.send(&request("/stream/", "way", Some("1000,200")));
    assert_line("way", &["event=placed", "decode=d1", "prefill=p1", "waited_ms=", "prompt=1000"]);
    assert_line("way", &["event=first_event", "server=d1", "prefill_ms=", "decode_ms="]);
    assert_line("way", &["event=stream_ended", "outcome=complete", "events=1", "pause_ms="]);
    let scrape = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";
    let page = exchange(host.settings.listen.metrics, scrape.as_bytes());
    for series in [
        "aspenloft_gateway_prefill_seconds_count",
        "aspenloft_gateway_decode_start_seconds_count",
        "aspenloft_gateway_longest_pause_seconds_count",
        "aspenloft_gateway_prompt_tokens_total{used=\"true\"",
        "aspenloft_process_resident_memory_bytes",
    ] {
        assert!(page.contains(series), "{series} in {page}");
    }
}

#[test]
fn failed_model_requests_log_the_engine_and_the_cause() {
    capture_log();
    let prefill = Scripted::start(|_, req| sealed(req, "200 OK", "handle"));
    let broken = Scripted::start(|_, _| Vec::new());
    let cut = Scripted::serve(|_, req, connection| {
        let _ = connection.write_all(&stream(req, EVENT, ""));
        false
    });
    let closed = Scripted::start(|_, req| not_run(req));
    let engine = |name: &str, server: &Scripted| vec![entry(name, server.addr, Decode)];
    let with = |mut engines: Vec<ServerEntry>, prefill: &Scripted| {
        engines.push(entry("p1", prefill.addr, Prefill));
        engines
    };
    type Case<'a> = (&'a str, Vec<ServerEntry>, &'a str, Vec<Vec<&'a str>>);
    let cases: [Case<'_>; 5] = [
        (
            "gen-prefill",
            with(engine("d1", &cut), &broken),
            "1000,200",
            vec![vec!["event=prefill_failed", "server=p1", "cause="]],
        ),
        (
            "gen-broken",
            with(engine("d2", &broken), &prefill),
            "1000,200",
            vec![
                vec!["event=decode_failed", "server=d2", "outcome=", "with_memory=true"],
                vec!["event=failed", "execution=unknown"],
            ],
        ),
        (
            "gen-cut",
            engine("d3", &cut),
            "1000,200",
            vec![
                vec!["event=stream_broken", "server=d3", "events=1", "resumable=false"],
                vec!["event=stream_ended", "outcome=broken"],
            ],
        ),
        (
            "gen-closed",
            engine("d4", &closed),
            "1000,200",
            vec![
                vec!["event=decode_failed", "server=d4", "outcome=refused"],
                vec!["event=failed", "code=overloaded", "execution=not_run"],
            ],
        ),
        (
            "gen-large",
            engine("d5", &cut),
            "50000,200",
            vec![vec!["event=failed", "code=overloaded", "cause=\"the prompt exceeds"]],
        ),
    ];
    for (id, servers, tokens, lines) in cases {
        let host = TestHost::with_servers(&servers);
        let mut caller = TcpStream::connect(host.callers).expect("connect");
        caller.write_all(request("/stream/", id, Some(tokens)).as_bytes()).expect("send");
        for fields in lines {
            assert_line(id, &fields);
        }
    }
}

#[test]
fn a_caller_that_disconnects_before_its_response_is_logged() {
    capture_log();
    let slow = Scripted::start(|_, req| {
        std::thread::sleep(Duration::from_millis(900));
        sealed(req, "200 OK", "late")
    });
    let host = TestHost::with_servers(&[entry("s1", slow.addr, Plain)]);
    let mut caller = TcpStream::connect(host.callers).expect("connect");
    caller.write_all(request("/once/", "gone", None).as_bytes()).expect("send");
    wait_for("the call to arrive", || slow.count() == 1);
    drop(caller);
    assert_line("gone", &["event=caller_gone", "after_ms="]);
}

#[test]
fn a_host_that_falls_silent_is_logged_once() {
    capture_log();
    let good = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let host = TestHost::with_servers(&[entry("s1", good.addr, Plain)]);
    let logged = |event: &str| {
        let lines = LINES.lock().expect("lines");
        lines.iter().filter(|l| l.contains(event) && l.contains("peer=quiet")).count()
    };
    host.receive_digest(&digest("quiet", free_addr(), 1));
    wait_for("the other host to be live", || logged("event=peer_live") == 1);
    wait_for("its silence to be logged", || logged("event=peer_silent") == 1);
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(logged("event=peer_silent"), 1);
}

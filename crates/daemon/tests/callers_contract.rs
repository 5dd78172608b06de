//! Tests the HTTP API for callers with raw bytes on real sockets. Malformed, slow and
//! oversized requests must get a documented error, and neither they nor disconnected
//! callers may leave memory held on an engine.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_daemon::settings::Limits;
use aspenloft_standin::engine::{EngineOptions, expected_text};
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use common::{Deployment, KEY, eventually};
use futures::future::join_all;
use serde_json::{Value, json};

/// The longest wait for any answer in these tests.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The time within which an engine must free the memory of a disconnected caller.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

const PROMPT: &str = "Describe the blue door.";

fn short_limits() -> Limits {
    Limits {
        max_connections: 300,
        idle: Duration::from_millis(1_500),
        head: Duration::from_millis(500),
        body: Duration::from_millis(500),
        write: Duration::from_millis(1_000),
        ..Limits::default()
    }
}

/// Builds a request with `headers`, each of which ends in CRLF, and a body with its
/// length.
fn request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n{headers}content-length: \
         {length}\r\n\r\n{body}"
    )
}

fn completion(prompt: &str, tokens: u64) -> String {
    json!({"model": "scribe", "prompt": prompt, "max_tokens": tokens}).to_string()
}

async fn open(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    // A server that refuses early may close the connection during the write of a large
    // request.
    let _ = stream.write_all(bytes).await;
    stream
}

/// Sends `bytes` and reads until the server closes the connection.
async fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = open(addr, bytes).await;
    let mut answer = Vec::new();
    let _ =
        timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut answer)).await.expect("the server closes");
    String::from_utf8_lossy(&answer).into_owned()
}

fn status(answer: &str) -> u16 {
    let status = answer.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3));
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// The bytes of a request, and the status and error code that it must get.
struct Case {
    name: &'static str,
    sent: String,
    status: u16,
    code: &'static str,
}

fn case(name: &'static str, sent: String, status: u16, code: &'static str) -> Case {
    Case { name, sent, status, code }
}

fn bad_bodies() -> Vec<Case> {
    let bodies = [
        ("malformed JSON", "{\"model\": ".to_string()),
        ("bytes after the JSON", format!("{} x", completion(PROMPT, 1))),
        ("no JSON object", "[1]".into()),
        ("no model", json!({"prompt": "x"}).to_string()),
        ("no prompt", json!({"model": "scribe"}).to_string()),
        ("empty prompt", completion("", 1)),
        ("blank prompt", completion("  \n", 1)),
        ("token ids", json!({"model": "scribe", "prompt": [1, 2]}).to_string()),
        ("two prompts", json!({"model": "scribe", "prompt": ["a", "b"]}).to_string()),
        ("no tokens", json!({"model": "scribe", "prompt": "x", "max_tokens": 0}).to_string()),
        ("negative", json!({"model": "scribe", "prompt": "x", "max_tokens": -5}).to_string()),
        ("two answers", json!({"model": "scribe", "prompt": "x", "n": 2}).to_string()),
        ("number as prompt", json!({"model": "scribe", "prompt": 7}).to_string()),
    ];
    let cases = bodies.map(|(name, body)| {
        let sent = request("POST /v1/completions", "connection: close\r\n", &body);
        case(name, sent, 400, "invalid_request")
    });
    cases.into_iter().collect()
}

fn bad_chats() -> Vec<Case> {
    let image = json!([{"type": "image_url", "image_url": {"url": "x"}}]);
    let bodies = [
        ("no messages", json!({"model": "scribe"})),
        ("empty messages", json!({"model": "scribe", "messages": []})),
        ("image", json!({"model": "scribe", "messages": [{"role": "user", "content": image}]})),
    ];
    let cases = bodies.map(|(name, body)| {
        let line = "POST /v1/chat/completions";
        let sent = request(line, "connection: close\r\n", &body.to_string());
        case(name, sent, 400, "invalid_request")
    });
    cases.into_iter().collect()
}

fn bad_requests() -> Vec<Case> {
    let ok = completion(PROMPT, 1);
    let closing = "connection: close\r\n";
    let post = "POST /v1/completions HTTP/1.1\r\nhost: h\r\n";
    let auth = format!("authorization: Bearer {KEY}\r\n");
    let huge = "x".repeat(9_000);
    vec![
        case("no key", format!("{post}content-length: 0\r\n{closing}\r\n"), 401, "invalid_api_key"),
        case(
            "wrong key",
            format!("{post}authorization: Bearer no\r\n{closing}\r\n"),
            401,
            "invalid_api_key",
        ),
        case(
            "basic key",
            format!("{post}authorization: Basic {KEY}\r\n{closing}\r\n"),
            401,
            "invalid_api_key",
        ),
        case(
            "unknown model",
            request("POST /v1/completions", closing, &ok.replace("scribe", "nope")),
            404,
            "not_found",
        ),
        case("unknown model by id", request("GET /v1/models/x", closing, ""), 404, "not_found"),
        case("method", request("GET /v1/completions", closing, ""), 405, "method_not_allowed"),
        case("method 2", request("DELETE /v1/models", closing, ""), 405, "method_not_allowed"),
        case(
            "content type",
            request("POST /v1/completions", "connection: close\r\ncontent-type: text/xml\r\n", &ok),
            415,
            "unsupported_type",
        ),
        case(
            "declared too large",
            format!("{post}{auth}content-length: 99999999\r\n\r\n"),
            413,
            "too_large",
        ),
        case(
            "chunked too large",
            format!(
                "{post}{auth}transfer-encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                2_200_000,
                "x".repeat(2_200_000)
            ),
            413,
            "too_large",
        ),
        case("head too large", format!("{post}x-pad: {huge}\r\n\r\n"), 431, "too_large"),
        case("no HTTP", "hello\r\n\r\n".into(), 400, "invalid_request"),
        case(
            "HTTP/1.0",
            "GET /v1/models HTTP/1.0\r\nhost: h\r\n\r\n".into(),
            400,
            "invalid_request",
        ),
        case("no host", "GET /v1/models HTTP/1.1\r\n\r\n".into(), 400, "invalid_request"),
        case(
            "length and chunks",
            format!("{post}{auth}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n"),
            400,
            "invalid_request",
        ),
        case(
            "bad length",
            format!("{post}{auth}content-length: x\r\n\r\n"),
            400,
            "invalid_request",
        ),
        case(
            "other coding",
            format!("{post}{auth}transfer-encoding: gzip\r\n\r\n"),
            501,
            "invalid_request",
        ),
        case(
            "bad chunk",
            format!("{post}{auth}transfer-encoding: chunked\r\n\r\nzz\r\n"),
            400,
            "invalid_request",
        ),
        case("slow head", "GET /v1/mod".into(), 408, "request_timeout"),
        case(
            "slow body",
            format!("{post}{auth}content-length: 10\r\n\r\nabc"),
            408,
            "request_timeout",
        ),
        case(
            "long key",
            request(
                "POST /bookings",
                &format!("{closing}idempotency-key: {}\r\n", "k".repeat(300)),
                "{}",
            ),
            400,
            "invalid_request",
        ),
        case(
            "no key for a booking",
            request("POST /bookings", closing, "{}"),
            400,
            "invalid_request",
        ),
    ]
}

async fn expect_refusal(addr: SocketAddr, case: &Case) {
    let answer = exchange(addr, case.sent.as_bytes()).await;
    assert_eq!(status(&answer), case.status, "{}: {answer}", case.name);
    let name = case.name;
    let body: Value = serde_json::from_str(body(&answer)).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(body["error"]["code"], case.code, "{name}: {answer}");
    assert_eq!(body["error"]["execution"], "not_run", "{name}");
    assert!(body["error"]["type"].is_string() && body["error"]["message"].is_string(), "{name}");
    assert!(answer.contains("x-request-id: "), "{name}: {answer}");
    assert_eq!(answer.contains("allow: "), case.status == 405, "{name}: {answer}");
}

#[async_std::test]
async fn refused_requests_get_an_error_and_run_nothing() {
    let deployment = Deployment::start_with(1, 1, EngineOptions::default(), short_limits()).await;
    let addr = deployment.callers(0);
    let cases: Vec<_> = bad_bodies().into_iter().chain(bad_chats()).chain(bad_requests()).collect();
    join_all(cases.iter().map(|case| expect_refusal(addr, case))).await;
    for engine in deployment.prefill.iter().chain(&deployment.decode) {
        assert!(engine.standin.holds().is_empty(), "{} holds memory", engine.name);
    }
    let counts = exchange(
        deployment.service_addr(),
        b"GET /standin/counts HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    )
    .await;
    assert_eq!(body(&counts), "{}", "a plain service ran a refused call");
    assert_eq!(deployment.status(0).await.in_flight, 0);
}

#[async_std::test]
async fn accepts_all_usual_forms_of_a_request() {
    let deployment = Deployment::start_with(1, 1, EngineOptions::default(), short_limits()).await;
    let addr = deployment.callers(0);
    let text = expected_text(PROMPT, 3);
    let closing = "connection: close\r\n";
    let ok = completion(PROMPT, 3);
    let listed = json!({"model": "scribe", "prompt": [PROMPT], "max_completion_tokens": 3,
                        "temperature": 0.2, "unheard_of": {"a": 1}});
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: bearer {KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{ok}\r\n0\r\n\r\n",
        ok.len()
    );
    let expect_continue = format!("{closing}expect: 100-continue\r\n");
    let forms = [
        ("plain", request("POST /v1/completions", closing, &ok)),
        ("one-element array", request("POST /v1/completions", closing, &listed.to_string())),
        ("chunked upload", chunked),
        ("expects to continue", request("POST /v1/completions", &expect_continue, &ok)),
    ];
    for (name, sent) in forms {
        let answer = exchange(addr, sent.as_bytes()).await;
        let answer = answer.strip_prefix("HTTP/1.1 100 Continue\r\n\r\n").unwrap_or(&answer);
        assert_eq!(status(answer), 200, "{name}: {answer}");
        let body: Value = serde_json::from_str(body(answer)).expect("JSON");
        assert_eq!(body["choices"][0]["text"], text.as_str(), "{name}");
        assert_eq!(body["choices"][0]["finish_reason"], "length", "{name}");
        assert_eq!(body["usage"]["completion_tokens"], 3, "{name}");
    }
    let head = exchange(addr, request("HEAD /v1/models", closing, "").as_bytes()).await;
    assert_eq!((status(&head), body(&head)), (200, ""));
    let one = exchange(addr, request("GET /v1/models/scribe", closing, "").as_bytes()).await;
    assert_eq!((status(&one), one.contains("\"id\":\"scribe\"")), (200, true), "{one}");
}

#[async_std::test]
async fn streams_chunks_usage_and_done() {
    let deployment = Deployment::start(1, 1, EngineOptions::default()).await;
    let parts = json!([{"type": "text", "text": "Good "}, {"type": "text", "text": "day"}]);
    let chat = json!({"model": "scribe", "max_tokens": 3, "stream": true,
                      "stream_options": {"include_usage": true},
                      "messages": [{"role": "user", "content": parts}]});
    let sent = request("POST /v1/chat/completions", "connection: close\r\n", &chat.to_string());
    let answer = exchange(deployment.callers(0), sent.as_bytes()).await;
    assert!(answer.contains("content-type: text/event-stream"), "{answer}");
    let lines: Vec<_> = answer.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(lines.last(), Some(&"[DONE]"));
    let chunks: Vec<Value> = lines[..lines.len() - 1]
        .iter()
        .map(|line| serde_json::from_str(line).expect("a chunk"))
        .collect();
    let text: String =
        chunks.iter().filter_map(|c| c["choices"][0]["delta"]["content"].as_str()).collect();
    assert_eq!(text, expected_text("user: Good day\nassistant:", 3));
    assert_eq!(chunks[0]["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(chunks[chunks.len() - 2]["choices"][0]["finish_reason"], "length");
    let last = chunks.last().expect("chunks");
    assert_eq!(
        (last["choices"].as_array().map(Vec::len), &last["usage"]["completion_tokens"]),
        (Some(0), &json!(3))
    );
}

#[async_std::test]
async fn answers_pipelined_requests_in_order() {
    let deployment = Deployment::start(1, 1, EngineOptions::default()).await;
    let prompts: Vec<_> = (0..5).map(|i| format!("Prompt number {i}")).collect();
    let mut sent = String::new();
    for (i, prompt) in prompts.iter().enumerate() {
        let headers = if i + 1 == prompts.len() { "connection: close\r\n" } else { "" };
        sent += &request("POST /v1/completions", headers, &completion(prompt, 4));
    }
    let answer = exchange(deployment.callers(0), sent.as_bytes()).await;
    let mut rest = answer.as_str();
    for prompt in &prompts {
        let text = expected_text(prompt, 4);
        let at = rest.find(&text).unwrap_or_else(|| panic!("{prompt} in order: {answer}"));
        rest = &rest[at + text.len()..];
    }
    assert_eq!(answer.matches("HTTP/1.1 200").count(), prompts.len());
}

#[async_std::test]
async fn concurrent_callers_get_their_own_answers() {
    let options = EngineOptions { step: Duration::from_millis(2), ..EngineOptions::default() };
    let deployment = Deployment::start(3, 2, options).await;
    let caller = |c: usize| {
        let addr = deployment.callers(c as u16 % 3);
        async move {
            let mut stream = TcpStream::connect(addr).await.expect("a connection");
            for i in 0..8 {
                let prompt = format!("Caller {c} asks {i}");
                let tokens = 3 + (c as u64 * 7 + i) % 20;
                let sent = request("POST /v1/completions", "", &completion(&prompt, tokens));
                stream.write_all(sent.as_bytes()).await.expect("a write");
                let body = read_answer(&mut stream).await;
                let text = expected_text(&prompt, tokens);
                assert_eq!(body["choices"][0]["text"], text.as_str(), "{body}");
            }
        }
    };
    join_all((0..24).map(caller)).await;
}

/// Reads one answer with a content length from a connection that stays open.
async fn read_answer(stream: &mut TcpStream) -> Value {
    let mut answer = Vec::new();
    let mut byte = [0_u8; 1];
    while !answer.ends_with(b"\r\n\r\n") {
        timeout(ANSWER_TIMEOUT, stream.read_exact(&mut byte))
            .await
            .expect("in time")
            .expect("a byte");
        answer.push(byte[0]);
    }
    let head = String::from_utf8(answer).expect("a head");
    assert_eq!(status(&head), 200, "{head}");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|l| l.parse().ok()).expect("a length")];
    stream.read_exact(&mut body).await.expect("a body");
    serde_json::from_slice(&body).expect("JSON")
}

/// How a caller disconnects.
#[derive(Debug, Clone, Copy)]
enum Disconnect {
    Close,
    HalfClose,
    CloseAfterPipelining,
}

#[async_std::test]
async fn engines_are_freed_when_the_caller_disconnects_in_any_state() {
    // The prefill and the decode take long enough for the caller to disconnect during
    // each.
    let options = EngineOptions {
        prefill_per_token: Duration::from_millis(100),
        step: Duration::from_millis(30),
        ..EngineOptions::default()
    };
    let deployment = Deployment::start(2, 1, options).await;
    let (prefill, decode) = (&deployment.prefill[0].standin, &deployment.decode[0].standin);
    for disconnect in [Disconnect::Close, Disconnect::HalfClose, Disconnect::CloseAfterPipelining] {
        for stream in [true, false] {
            for in_decode in [false, true] {
                let body = json!({"model": "scribe", "prompt": PROMPT, "max_tokens": 3_000,
                                  "stream": stream});
                let sent = request("POST /v1/completions", "", &body.to_string());
                let mut connection = open(deployment.callers(0), sent.as_bytes()).await;
                let engine = if in_decode { decode } else { prefill };
                eventually("the engine runs", ANSWER_TIMEOUT, || async {
                    !engine.holds().is_empty()
                })
                .await;
                match disconnect {
                    Disconnect::Close => drop(connection),
                    Disconnect::HalfClose => {
                        connection.shutdown(std::net::Shutdown::Write).expect("a half close");
                        let mut rest = Vec::new();
                        let closed =
                            timeout(ANSWER_TIMEOUT, connection.read_to_end(&mut rest)).await;
                        assert!(closed.is_ok(), "the server closes a half-closed connection");
                    }
                    Disconnect::CloseAfterPipelining => {
                        connection.write_all(sent.as_bytes()).await.expect("a write");
                        drop(connection);
                    }
                }
                let what =
                    format!("{disconnect:?} stream {stream} decode {in_decode}: engines free");
                eventually(&what, FREE_TIMEOUT, || async {
                    prefill.holds().is_empty() && decode.holds().is_empty()
                })
                .await;
            }
        }
    }
}

#[async_std::test]
async fn a_booking_completes_after_its_caller_disconnects() {
    let deployment = Deployment::start(1, 1, EngineOptions::default()).await;
    let addr = deployment.callers(0);
    for (slot, half_close) in [("slot-1", true), ("slot-2", false)] {
        let headers = format!("idempotency-key: {slot}\r\n");
        let sent = request("POST /bookings", &headers, "{}");
        let mut first = open(addr, sent.as_bytes()).await;
        if half_close {
            first.shutdown(std::net::Shutdown::Write).expect("a half close");
            let mut answer = String::new();
            timeout(ANSWER_TIMEOUT, first.read_to_string(&mut answer))
                .await
                .expect("in time")
                .expect("text");
            assert_eq!(status(&answer), 200, "{answer}");
        }
        drop(first);
        // The retry with the same key gets the outcome of the first call, which ran to its
        // end.
        let again = request("POST /bookings", &format!("connection: close\r\n{headers}"), "{}");
        let answer = exchange(addr, again.as_bytes()).await;
        assert_eq!(status(&answer), 200, "{answer}");
        let receipt: Value = serde_json::from_str(body(&answer)).expect("JSON");
        assert_eq!(receipt["executions"], 1, "{answer}");
    }
}

#[async_std::test]
async fn limits_connections_and_closes_idle_ones() {
    let limits = Limits { max_connections: 4, ..short_limits() };
    let deployment = Deployment::start_with(1, 1, EngineOptions::default(), limits).await;
    let addr = deployment.callers(0);
    let idle = join_all((0..4).map(|_| open(addr, b""))).await;
    task::sleep(Duration::from_millis(100)).await;
    let answer = exchange(addr, request("GET /v1/models", "", "").as_bytes()).await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    for mut stream in idle {
        let mut rest = Vec::new();
        let closed =
            timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut rest)).await.expect("closed in time");
        assert_eq!(closed.expect("an orderly close"), 0, "an idle connection gets no answer");
    }
    let answer =
        exchange(addr, request("GET /v1/models", "connection: close\r\n", "").as_bytes()).await;
    assert_eq!(status(&answer), 200, "{answer}");
}

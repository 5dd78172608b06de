//! Tests of [`EngineClient`] against failing engines and connections: the error code
//! that each failure maps to, and whether the error says that the request was run.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{RequestId, Tokens};
use aspenloft_protocol::engine::{
    CancelCommand, DecodeCommand, DecodeEvent, EngineClient, ModelEngine, PrefillCommand,
};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::StreamExt;

const TIMEOUT: Duration = Duration::from_millis(300);

/// The behaviour of the test server once it has read the request.
#[derive(Debug, Clone)]
enum Server {
    /// It does not accept connections.
    NotListening,
    /// It sends these bytes and closes the connection.
    Sends(String),
    /// It sends these bytes and keeps the connection open without sending more.
    Stalls(String),
}

fn http_response(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn truncated_response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: 9999\r\n\r\n{body}")
}

/// Builds a chunked response with one server-sent event for each line; the final chunk
/// is missing unless `complete`.
fn event_stream(lines: &[&str], complete: bool) -> String {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let mut text = format!("{head}transfer-encoding: chunked\r\n\r\n");
    for line in lines {
        let event = format!("data: {line}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    if complete {
        text.push_str("0\r\n\r\n");
    }
    text
}

/// Reads a complete request. Closing a connection with unread data resets it, and the
/// response may be lost.
async fn read_request(stream: &mut TcpStream) {
    let mut data = Vec::new();
    let mut buf = [0; 4_096];
    while !is_complete(&String::from_utf8_lossy(&data)) {
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => data.extend_from_slice(&buf[..read]),
            _ => return,
        }
    }
}

fn is_complete(request: &str) -> bool {
    let Some((head, body)) = request.split_once("\r\n\r\n") else { return false };
    let lines = head.lines().map(str::to_ascii_lowercase);
    let length =
        lines.into_iter().find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
    body.len() >= length.unwrap_or(0)
}

async fn start_server(server: Server) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let addr = listener.local_addr().expect("local address");
    if matches!(server, Server::NotListening) {
        return addr;
    }
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_request(&mut stream).await;
            match &server {
                Server::NotListening => (),
                Server::Sends(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Server::Stalls(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                    task::sleep(Duration::from_secs(5)).await;
                }
            }
        }
    });
    addr
}

fn prefill() -> PrefillCommand {
    PrefillCommand {
        request: "r".into(),
        owner: "h".into(),
        prompt: "p".into(),
        priority: 5,
        hold: TIMEOUT,
    }
}

fn decode() -> DecodeCommand {
    DecodeCommand {
        request: "r".into(),
        owner: "h".into(),
        kv: "kv".into(),
        source: SocketAddr::from(([127, 0, 0, 1], 1)),
        from_token: 0,
        sent: "".into(),
        max_tokens: Tokens(3),
        priority: 5,
        hold: TIMEOUT,
    }
}

fn error_json(code: ErrorCode, execution: Execution) -> String {
    serde_json::to_string(&Error::new(code, "test error").execution(execution)).expect("JSON")
}

/// Lists the failures with the error code and the execution state that each must map
/// to.
fn error_cases() -> Vec<(&'static str, Server, ErrorCode, Execution)> {
    use Execution::{NotRun, Run, Unknown};
    let not_ready = http_response("503 Unavailable", &error_json(ErrorCode::NotReady, NotRun));
    let cancelled = http_response("400 Bad", &error_json(ErrorCode::Cancelled, Run));
    vec![
        ("connection refused", Server::NotListening, ErrorCode::Unavailable, NotRun),
        (
            "closed without a response",
            Server::Sends(String::new()),
            ErrorCode::Unavailable,
            Unknown,
        ),
        ("no response", Server::Stalls(String::new()), ErrorCode::Timeout, Unknown),
        ("incomplete head", Server::Stalls("HTTP/1.1 2".into()), ErrorCode::Timeout, Unknown),
        ("rejected, not run", Server::Sends(not_ready), ErrorCode::NotReady, NotRun),
        ("cancelled after a run", Server::Sends(cancelled), ErrorCode::Cancelled, Run),
        (
            "error that is not JSON",
            Server::Sends(http_response("503 U", "busy")),
            ErrorCode::Internal,
            Unknown,
        ),
        (
            "truncated error",
            Server::Sends(truncated_response("503 U", "{")),
            ErrorCode::Internal,
            Unknown,
        ),
    ]
}

#[async_std::test]
async fn prefill_errors_state_whether_the_request_was_run() {
    let mut cases = error_cases();
    let ok = |body: &str| Server::Sends(http_response("200 OK", body));
    cases.push(("result without fields", ok("{}"), ErrorCode::Internal, Execution::Run));
    let truncated = Server::Sends(truncated_response("200 OK", "{"));
    cases.push(("truncated result", truncated, ErrorCode::Internal, Execution::Run));
    for (what, server, code, execution) in cases {
        let engine = EngineClient::new(start_server(server).await);
        let e = engine.prefill(&prefill(), TIMEOUT).await.expect_err(what);
        assert_eq!((e.code, e.execution), (code, execution), "{what}: {e}");
    }
}

#[async_std::test]
async fn decode_errors_before_the_stream_state_whether_the_request_was_run() {
    for (what, server, code, execution) in error_cases() {
        let engine = EngineClient::new(start_server(server).await);
        let Err(e) = engine.decode(&decode(), TIMEOUT).await else {
            panic!("{what}: the stream opened")
        };
        assert_eq!((e.code, e.execution), (code, execution), "{what}: {e}");
    }
}

#[async_std::test]
async fn decode_stream_returns_received_tokens_and_then_the_error() {
    let token = |i: u64| format!(r#"{{"token":{{"index":{i},"text":"t{i} "}}}}"#);
    let (first, second) = (token(0), token(1));
    let end = r#"{"finished":"length"}"#;
    // The events, the number of tokens to receive, and how the stream must end: with a
    // finish event (`Some(true)`), an error (`Some(false)`) or neither (`None`).
    let cases: [(&str, Vec<&str>, usize, Option<bool>); 5] = [
        ("whole", vec![&first, &second, end], 2, Some(true)),
        ("connection closed", vec![&first], 1, Some(false)),
        ("no finish event", vec![&first, &second], 2, None),
        ("malformed", vec![&first, "{\"token\":7}"], 1, Some(false)),
        ("unknown event", vec![&first, "{\"other\":{}}"], 1, Some(false)),
    ];
    for (what, lines, tokens, end) in cases {
        let engine = EngineClient::new(
            start_server(Server::Sends(event_stream(&lines, what != "connection closed"))).await,
        );
        let mut stream = engine.decode(&decode(), TIMEOUT).await.expect(what);
        let mut received = 0;
        let ended = loop {
            match stream.next().await {
                Some(Ok(DecodeEvent::Token(_))) => received += 1,
                Some(Ok(DecodeEvent::Finished(_))) => break Some(true),
                Some(Err(e)) => {
                    assert_ne!(
                        e.execution,
                        Execution::NotRun,
                        "{what}: a token was received before"
                    );
                    break Some(false);
                }
                None => break None,
            }
        };
        assert_eq!((received, ended), (tokens, end), "{what}");
    }
}

#[async_std::test]
async fn control_calls_time_out() {
    let engine = EngineClient::new(start_server(Server::Stalls(String::new())).await);
    let started = std::time::Instant::now();
    let cancelled = engine.cancel(&CancelCommand { request: RequestId::from("r") }).await;
    assert_eq!(cancelled.expect_err("a timeout").code, ErrorCode::Timeout);
    assert!(engine.holds().await.is_err());
    assert!(started.elapsed() < Duration::from_secs(4));
}

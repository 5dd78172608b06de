//! The contract of the engine's client: what each fault of an engine, or of the way
//! to it, becomes, and above all what it says of the request's fate.

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

const LIMIT: Duration = Duration::from_millis(300);

/// What the far side does once it has read the request.
#[derive(Debug, Clone)]
enum Far {
    /// Nobody listens.
    Absent,
    /// It sends these bytes and closes.
    Sends(String),
    /// It sends these bytes and then nothing more.
    Stalls(String),
}

fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn cut(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: 9999\r\n\r\n{body}")
}

/// Makes a stream of events, chunked, without the last chunk unless `whole`.
fn events(lines: &[&str], whole: bool) -> String {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let mut text = format!("{head}transfer-encoding: chunked\r\n\r\n");
    for line in lines {
        let event = format!("data: {line}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    if whole {
        text.push_str("0\r\n\r\n");
    }
    text
}

/// Reads a request whole: what is left unread when the connection is closed resets it,
/// and the answer may be lost.
async fn read_request(stream: &mut TcpStream) {
    let mut data = Vec::new();
    let mut buf = [0; 4_096];
    while !is_whole(&String::from_utf8_lossy(&data)) {
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => data.extend_from_slice(&buf[..read]),
            _ => return,
        }
    }
}

fn is_whole(request: &str) -> bool {
    let Some((head, body)) = request.split_once("\r\n\r\n") else { return false };
    let lines = head.lines().map(str::to_ascii_lowercase);
    let length =
        lines.into_iter().find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
    body.len() >= length.unwrap_or(0)
}

async fn start(far: Far) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    if matches!(far, Far::Absent) {
        return addr;
    }
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_request(&mut stream).await;
            match &far {
                Far::Absent => (),
                Far::Sends(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Far::Stalls(text) => {
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
        hold: LIMIT,
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
        hold: LIMIT,
    }
}

fn refusal(code: ErrorCode, execution: Execution) -> String {
    serde_json::to_string(&Error::new(code, "as told").execution(execution)).expect("JSON")
}

/// Each fault with the code and the word on the request's fate that it must become.
fn faults() -> Vec<(&'static str, Far, ErrorCode, Execution)> {
    use Execution::{NotRun, Run, Unknown};
    let not_ready = answer("503 Unavailable", &refusal(ErrorCode::NotReady, NotRun));
    let cancelled = answer("400 Bad", &refusal(ErrorCode::Cancelled, Run));
    vec![
        ("nobody listens", Far::Absent, ErrorCode::Unavailable, NotRun),
        ("closes at once", Far::Sends(String::new()), ErrorCode::Unavailable, Unknown),
        ("never answers", Far::Stalls(String::new()), ErrorCode::Timeout, Unknown),
        ("half a head", Far::Stalls("HTTP/1.1 2".into()), ErrorCode::Timeout, Unknown),
        ("refuses, not run", Far::Sends(not_ready), ErrorCode::NotReady, NotRun),
        ("cancelled after a run", Far::Sends(cancelled), ErrorCode::Cancelled, Run),
        ("an error page", Far::Sends(answer("503 U", "busy")), ErrorCode::Internal, Unknown),
        ("a cut error", Far::Sends(cut("503 U", "{")), ErrorCode::Internal, Unknown),
    ]
}

#[async_std::test]
async fn each_fault_of_a_prefill_says_what_is_known() {
    let mut table = faults();
    let ok = |body: &str| Far::Sends(answer("200 OK", body));
    table.push(("an answer that is no result", ok("{}"), ErrorCode::Internal, Execution::Run));
    let half = Far::Sends(cut("200 OK", "{"));
    table.push(("half a result", half, ErrorCode::Internal, Execution::Run));
    for (what, far, code, execution) in table {
        let engine = EngineClient::new(start(far).await);
        let e = engine.prefill(&prefill(), LIMIT).await.expect_err(what);
        assert_eq!((e.code, e.execution), (code, execution), "{what}: {e}");
    }
}

#[async_std::test]
async fn each_fault_before_a_decode_stream_says_what_is_known() {
    for (what, far, code, execution) in faults() {
        let engine = EngineClient::new(start(far).await);
        let Err(e) = engine.decode(&decode(), LIMIT).await else { panic!("{what}: it opened") };
        assert_eq!((e.code, e.execution), (code, execution), "{what}: {e}");
    }
}

#[async_std::test]
async fn a_decode_stream_gives_what_came_and_then_its_fault() {
    let token = |i: u64| format!(r#"{{"token":{{"index":{i},"text":"t{i} "}}}}"#);
    let (first, second) = (token(0), token(1));
    let end = r#"{"finished":"length"}"#;
    // The events, the tokens that must come, and whether a finish or an error ends it.
    let table: [(&str, Vec<&str>, usize, Option<bool>); 5] = [
        ("whole", vec![&first, &second, end], 2, Some(true)),
        ("broken off", vec![&first], 1, Some(false)),
        ("ended early", vec![&first, &second], 2, None),
        ("malformed", vec![&first, "{\"token\":7}"], 1, Some(false)),
        ("unknown event", vec![&first, "{\"other\":{}}"], 1, Some(false)),
    ];
    for (what, lines, tokens, end) in table {
        let engine =
            EngineClient::new(start(Far::Sends(events(&lines, what != "broken off"))).await);
        let mut stream = engine.decode(&decode(), LIMIT).await.expect(what);
        let mut came = 0;
        let ended = loop {
            match stream.next().await {
                Some(Ok(DecodeEvent::Token(_))) => came += 1,
                Some(Ok(DecodeEvent::Finished(_))) => break Some(true),
                Some(Err(e)) => {
                    assert_ne!(e.execution, Execution::NotRun, "{what}: a token came before");
                    break Some(false);
                }
                None => break None,
            }
        };
        assert_eq!((came, ended), (tokens, end), "{what}");
    }
}

#[async_std::test]
async fn control_calls_are_bounded_in_time() {
    let engine = EngineClient::new(start(Far::Stalls(String::new())).await);
    let started = std::time::Instant::now();
    let cancelled = engine.cancel(&CancelCommand { request: RequestId::from("r") }).await;
    assert_eq!(cancelled.expect_err("no answer").code, ErrorCode::Timeout);
    assert!(engine.holds().await.is_err());
    assert!(started.elapsed() < Duration::from_secs(4));
}

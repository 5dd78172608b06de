//! Tests of responses that end early: none of them passes for a whole one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use aspenloft_core::errors::{Result, invalid};
use aspenloft_transport::http;
use async_std::future::timeout;
use async_std::task;
use http_types::Method;
use serde_json::{Value, json};

const LIMIT: Duration = Duration::from_secs(2);

const RESPONSES: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 12\r\n\r\n{\"a\":[1,22]}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n{\"a\"\r\n8\r\n:[1,22]}\r\n0\r\n\r\n",
];

/// Starts a server that answers each request with `response` and closes the connection.
fn serve(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    addr
}

// A body that ended early was returned as far as it had come.
#[test]
fn a_response_that_is_cut_anywhere_is_no_success() {
    for whole in RESPONSES {
        let post = |response: &str| {
            let addr = serve(response.to_string());
            task::block_on(http::post_json::<Value>(addr, "/", &json!({}), LIMIT))
        };
        assert_eq!(post(whole).expect("a response"), json!({ "a": [1, 22] }));
        // With the last chunk, all of the body has come.
        let last = whole.find("\r\n0\r\n").map_or(whole.len(), |at| at + 5);
        for end in 0..last {
            let error = post(&whole[..end]);
            let text = whole[..end].escape_debug();
            assert!(error.is_err(), "{text}: {error:?}");
        }
    }
}

// A body with a length that ended early passed for the whole body.
#[test]
fn the_bytes_of_a_body_that_ends_early_are_not_the_whole_body() {
    let read = |response: &str| -> Result<Vec<u8>> {
        let addr = serve(response.to_string());
        task::block_on(async {
            let req = http::request(Method::Post, addr, "/", Vec::new())?;
            let response = http::send(addr, req, LIMIT).await?;
            let mut response = http::with_whole_body(response, addr)?;
            let read = timeout(LIMIT, response.body_bytes()).await.expect("an end");
            read.map_err(|e| invalid(e.to_string()))
        })
    };
    let whole = RESPONSES[0];
    let body_at = whole.find("\r\n\r\n").expect("a head") + 4;
    assert_eq!(read(whole).expect("a body"), whole.as_bytes()[body_at..]);
    for end in body_at..whole.len() {
        let body = read(&whole[..end]);
        assert!(body.is_err(), "{body:?} of {}", whole[..end].escape_debug());
    }
    let empty = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(read(empty).expect("a body"), b"");
    let none = "HTTP/1.1 204 No Content\r\n\r\n";
    assert_eq!(read(none).expect("no body"), b"");
    let unframed = read("HTTP/1.1 200 OK\r\n\r\nuntil the end");
    assert!(unframed.is_err(), "{unframed:?}");
}

//! Tests the memory that callers' idle connections take.

mod common;

use std::net::TcpStream;
use std::time::Duration;

use aspenloft_gateway::roster::ServerRole::Plain;
use common::{Scripted, TestHost, entry, resident_bytes, sealed, status};

/// The number of idle connections. The test holds both ends of each.
const CONNECTIONS: usize = 400;

/// What one connection may take, in bytes: 3,900 of them, which the descriptors of a host allow,
/// fit into its 110 MB beside its own 30.
const MAX_BYTES: usize = 20 * 1024;

// Each connection held the state of a whole request before its first byte had come.
#[test]
fn idle_connections_use_up_the_memory_of_a_host() {
    let server = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let call = "GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: a\r\n\r\n";
    assert_eq!(status(&host.send(call)), "200");
    let before = resident_bytes();
    let idle: Vec<TcpStream> =
        (0..CONNECTIONS).map(|_| TcpStream::connect(host.callers).expect("connect")).collect();
    std::thread::sleep(Duration::from_millis(500));
    let each = resident_bytes().saturating_sub(before) / idle.len();
    assert!(each <= MAX_BYTES, "{each} bytes for each of {CONNECTIONS} connections");
    assert_eq!(status(&host.send(call)), "200");
}

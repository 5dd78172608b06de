//! Test of a client that reads nothing of its response. The server must drop the response
//! after the write timeout, and must not buffer more of it than the network does.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use aspenloft_transport::server::{self, Connection, HttpHandler, ServerOptions};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use futures::stream::{self, TryStreamExt};
use http_types::{Body, Request, Response};

const WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// More than the kernel buffers for one connection.
const NETWORK_BYTES: u64 = 64 * 1024 * 1024;

const PART: [u8; 4096] = [b'x'; 4096];

/// Responds with an endless body and counts the bytes that the server has read from it.
#[derive(Default)]
struct Endless {
    bytes_read: Arc<AtomicU64>,
    alive: Arc<()>,
}

#[async_trait]
impl HttpHandler for Endless {
    async fn handle(&self, _: Request, _: &Connection) -> Response {
        let state = (self.bytes_read.clone(), self.alive.clone());
        let parts = stream::try_unfold(state, |(bytes_read, alive)| async move {
            bytes_read.fetch_add(PART.len() as u64, Ordering::Relaxed);
            Ok::<_, std::io::Error>(Some((PART, (bytes_read, alive))))
        });
        let mut response = Response::new(200);
        response.set_body(Body::from_reader(Box::pin(parts).into_async_read(), None));
        response
    }
}

#[async_std::test]
async fn drops_the_response_of_a_client_that_reads_nothing() {
    let handler = Arc::new(Endless::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let options = ServerOptions { write_timeout: WRITE_TIMEOUT, ..ServerOptions::default() };
    task::spawn(server::serve_with(listener, handler.clone(), options));
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("a write");
    let deadline = Instant::now() + Duration::from_secs(10);
    while handler.bytes_read.load(Ordering::Relaxed) == 0 || Arc::strong_count(&handler.alive) > 1 {
        assert!(Instant::now() < deadline, "the response is kept for a client that reads nothing");
        task::sleep(Duration::from_millis(10)).await;
    }
    assert!(
        handler.bytes_read.load(Ordering::Relaxed) < NETWORK_BYTES,
        "the server buffers the response"
    );
    drop(stream);
}

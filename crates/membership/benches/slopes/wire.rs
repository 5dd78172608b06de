//! The `wire` module measures the overhead of a connection between hosts for one
//! exchange, by counting bytes in a relay between the two ends of the transport.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use aspenloft_transport::mesh::{self, FrameHandler, PeerConnection};
use async_std::channel::Sender;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use bytes::{BufMut, Bytes, BytesMut};

/// The number of calls measured.
const CALLS: u64 = 200;

/// The size of the body of each call and each reply.
const BODY_BYTES: usize = 300;

/// The size of the frame header, which is a length and a version.
const HEADER_BYTES: usize = 5;

struct Echo;

#[async_trait]
impl FrameHandler for Echo {
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>) {
        let _ = tx.send(frame(&body)).await;
    }
}

fn frame(body: &[u8]) -> Bytes {
    let mut buf = BytesMut::new();
    buf.put_u32(body.len() as u32);
    buf.put_u8(aspenloft_transport::frames::FRAME_VERSION);
    buf.put_slice(body);
    buf.freeze()
}

async fn relay(mut from: TcpStream, mut to: TcpStream, bytes: Arc<AtomicU64>) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
        bytes.fetch_add(n as u64, Ordering::Relaxed);
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

async fn measure() -> u64 {
    let (server_listener, server_addr) = listener().await;
    task::spawn(mesh::serve(server_listener, Arc::new(Echo)));
    let (relay_listener, relay_addr) = listener().await;
    let bytes = Arc::new(AtomicU64::new(0));
    let counted = bytes.clone();
    task::spawn(async move {
        let (client, _) = relay_listener.accept().await.expect("a client");
        let server = TcpStream::connect(server_addr).await.expect("the server");
        task::spawn(relay(client.clone(), server.clone(), counted.clone()));
        relay(server, client, counted).await;
    });
    let connection = PeerConnection::open(relay_addr, &Arc::default()).await.expect("a connection");
    let call = || async {
        let mut call = connection.call(frame(&[7; BODY_BYTES])).await.expect("a call");
        while call.next().await.expect("a reply").is_some() {}
    };
    // The first call sends its headers in full, later ones as HPACK indices.
    call().await;
    let before = bytes.load(Ordering::Relaxed);
    for _ in 0..CALLS {
        call().await;
    }
    let sent = bytes.load(Ordering::Relaxed) - before;
    sent / CALLS - 2 * (BODY_BYTES + HEADER_BYTES) as u64
}

/// Returns the bytes that a call with one reply takes beyond its two frames.
pub fn overhead() -> u64 {
    task::block_on(measure())
}

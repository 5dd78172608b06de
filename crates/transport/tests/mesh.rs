//! Tests of calls between hosts: immediate replies, which may arrive before the client has
//! closed its side of the stream, large frames and many concurrent calls.

use std::sync::Arc;

use aspenloft_transport::frames;
use aspenloft_transport::mesh::{FrameHandler, MeshOptions, PeerConnection, serve};
use async_std::channel::Sender;
use async_std::net::TcpListener;
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures::future::try_join_all;

/// Replies to every call immediately with the body of the request.
struct Echo;

#[async_trait]
impl FrameHandler for Echo {
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>) {
        let mut buf = BytesMut::new();
        frames::encode(&body.to_vec(), &mut buf).expect("a small frame");
        let _ = tx.send(buf.freeze()).await;
    }
}

async fn connect() -> PeerConnection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    task::spawn(serve(listener, Arc::new(Echo)));
    PeerConnection::open(addr, &Arc::new(MeshOptions::default())).await.expect("a connection")
}

async fn echo(connection: &PeerConnection, payload: usize) -> aspenloft_core::errors::Result<()> {
    let mut buf = BytesMut::new();
    frames::encode(&vec![7_u8; payload], &mut buf)?;
    let mut call = connection.call(buf.freeze()).await?;
    let body = call.next().await?.expect("a reply");
    let inner: Vec<u8> = frames::decode(&body)?;
    let echoed: Vec<u8> = frames::decode(&inner)?;
    assert_eq!(echoed.len(), payload);
    assert!(call.next().await?.is_none());
    Ok(())
}

#[async_std::test]
async fn an_immediate_reply_does_not_overtake_the_end_of_its_call() {
    let connection = connect().await;
    for _ in 0..3_000 {
        echo(&connection, 64).await.expect("a reply");
    }
}

#[async_std::test]
async fn large_and_concurrent_calls_get_complete_replies() {
    let connection = connect().await;
    echo(&connection, 2 * 1024 * 1024).await.expect("a reply");
    try_join_all((0..500).map(|i| echo(&connection, i * 37))).await.expect("all replies");
}

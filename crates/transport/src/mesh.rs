//! The `mesh` module carries calls between hosts: each call is one `h2` stream
//! with one request frame and any number of reply frames.
//!
//! Dropping a [`RemoteCall`] resets its stream, and the far side then drops the
//! handler's future; that is how a caller's going reaches every host that works
//! for it. See `docs/ARCHITECTURE.md`.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_core::execution::Execution;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use futures::pin_mut;
use h2::{RecvStream, SendStream};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::frames;
use crate::http;

/// Replies that a handler may have ready before it must wait for the peer.
const REPLY_BUFFER: usize = 64;

/// The most bytes of replies that go out as one piece.
const COALESCE_BYTES: usize = 16 * 1024;

/// Bytes that a peer may send on one stream before it waits for this host.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Bytes that a peer may send on one connection before it waits for this host.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// Streams that one peer may have open at once.
const MAX_STREAMS: u32 = 8_192;

/// How often a connection proves that it is alive.
pub const PING_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a connection may leave a ping unanswered before it is given up.
pub const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// `FrameHandler` serves calls of peers.
#[async_trait]
pub trait FrameHandler: Send + Sync {
    /// Serves one call. The future is dropped when the peer gives the call up.
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>);
}

/// Accepts connections of peers for ever.
pub async fn serve(listener: TcpListener, handler: Arc<dyn FrameHandler>) -> Result<()> {
    loop {
        let (stream, _) = listener.accept().await.map_err(|e| unavailable(e.to_string()))?;
        let handler = handler.clone();
        task::spawn(async move {
            if let Err(e) = serve_connection(stream, handler).await {
                log::debug!(event = "peer_connection_ended", error = e.to_string().as_str(); "");
            }
        });
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn FrameHandler>) -> Result<()> {
    stream.set_nodelay(true).map_err(|e| unavailable(e.to_string()))?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(stream.compat())
        .await
        .map_err(broken)?;
    while let Some(accepted) = connection.accept().await {
        let (req, mut respond) = accepted.map_err(broken)?;
        let handler = handler.clone();
        task::spawn(async move {
            let head = ::http::Response::new(());
            if let Ok(send) = respond.send_response(head, false) {
                serve_call(req.into_body(), send, handler).await;
            }
        });
    }
    Ok(())
}

/// Runs the handler of one call until it ends or the peer resets the stream.
async fn serve_call(mut recv: RecvStream, mut send: SendStream<Bytes>, h: Arc<dyn FrameHandler>) {
    let mut buf = BytesMut::new();
    let Ok(Some(body)) = next_frame(&mut recv, &mut buf).await else {
        send.send_reset(h2::Reason::PROTOCOL_ERROR);
        return;
    };
    let (tx, rx) = bounded(REPLY_BUFFER);
    let handle = h.handle(body, tx);
    let pump = pump_replies(rx, &mut send);
    pin_mut!(handle, pump);
    match select(handle, pump).await {
        // The handler is done: what it left in the channel still goes out.
        Either::Left((_, pump)) => {
            let _ = pump.await;
        }
        // The peer is gone, or the handler has dropped its sender.
        Either::Right((Ok(()), handle)) => handle.await,
        Either::Right((Err(_), _)) => {}
    }
}

async fn pump_replies(rx: Receiver<Bytes>, send: &mut SendStream<Bytes>) -> Result<()> {
    while let Some(first) = next_reply(&rx, send).await? {
        let data = coalesce(first, &rx);
        send_all(send, data, false).await?;
    }
    send.send_data(Bytes::new(), true).map_err(broken)
}

/// Waits for a reply to send, or for the peer's reset.
async fn next_reply(rx: &Receiver<Bytes>, send: &mut SendStream<Bytes>) -> Result<Option<Bytes>> {
    let reply = rx.recv();
    let reset = poll_fn(|cx| send.poll_reset(cx));
    pin_mut!(reply, reset);
    match select(reply, reset).await {
        Either::Left((reply, _)) => Ok(reply.ok()),
        Either::Right(_) => Err(unavailable("the peer reset the call")),
    }
}

/// Joins the replies that are ready now, so that they share a frame of `h2`.
fn coalesce(first: Bytes, rx: &Receiver<Bytes>) -> Bytes {
    if rx.is_empty() {
        return first;
    }
    let mut joined = BytesMut::from(&first[..]);
    while joined.len() < COALESCE_BYTES {
        let Ok(next) = rx.try_recv() else { break };
        joined.extend_from_slice(&next);
    }
    joined.freeze()
}

/// Sends `data` as the peer's window allows. `end` closes the sending side with the
/// last byte: as a message of its own the end could come after a quick peer's whole
/// answer, by when the stream is closed.
async fn send_all(send: &mut SendStream<Bytes>, mut data: Bytes, end: bool) -> Result<()> {
    while !data.is_empty() {
        send.reserve_capacity(data.len());
        let capacity = poll_fn(|cx| send.poll_capacity(cx)).await;
        let capacity = match capacity {
            Some(Ok(capacity)) => capacity,
            Some(Err(e)) => return Err(broken(e)),
            None => return Err(unavailable("the call's stream is closed")),
        };
        let part = data.split_to(capacity.min(data.len()));
        let last = end && data.is_empty();
        send.send_data(part, last).map_err(broken)?;
    }
    Ok(())
}

/// Reads until one whole frame is there; `None` at the end of the stream.
async fn next_frame(recv: &mut RecvStream, buf: &mut BytesMut) -> Result<Option<Bytes>> {
    loop {
        if let Some(frame) = frames::take(buf)? {
            return Ok(Some(frame));
        }
        match recv.data().await {
            Some(Ok(data)) => {
                let _ = recv.flow_control().release_capacity(data.len());
                buf.extend_from_slice(&data);
            }
            Some(Err(e)) => return Err(broken(e)),
            None => return Ok(None),
        }
    }
}

/// `PeerConnection` is one `h2` connection to another host.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    requests: h2::client::SendRequest<Bytes>,
    closed: Receiver<()>,
}

impl PeerConnection {
    /// Connects to the host at `addr` and starts to prove the connection alive.
    pub async fn open(addr: SocketAddr) -> Result<PeerConnection> {
        let stream = http::connect(addr).await?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let handshake = builder.handshake::<_, Bytes>(stream.compat());
        let handshake = async_std::future::timeout(http::CONNECT_TIMEOUT, handshake).await;
        let (requests, mut connection) =
            handshake.map_err(|_| unavailable("handshake timed out"))?.map_err(broken)?;
        let pings = connection.ping_pong();
        let (alive, closed) = bounded(1);
        task::spawn(async move {
            let liveness = prove_alive(pings);
            pin_mut!(connection, liveness);
            let _ = select(connection, liveness).await;
            drop(alive);
        });
        Ok(PeerConnection { requests, closed })
    }

    /// Tells whether the connection has ended or gone silent.
    pub fn is_closed(&self) -> bool {
        self.closed.is_closed()
    }

    /// Starts a call with the frame in `data`.
    pub async fn call(&self, data: Bytes) -> Result<RemoteCall> {
        let mut requests = self.requests.clone().ready().await.map_err(broken)?;
        let mut head = ::http::Request::new(());
        *head.method_mut() = ::http::Method::POST;
        *head.uri_mut() = ::http::Uri::from_static("http://peer/call");
        let (response, mut send) = requests.send_request(head, false).map_err(broken)?;
        send_all(&mut send, data, true).await?;
        Ok(RemoteCall { response: Some(response), recv: None, buf: BytesMut::new() })
    }
}

/// Sends pings until one stays unanswered. A connection without pings lives on
/// its transport alone.
async fn prove_alive(pings: Option<h2::PingPong>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        let pong = pings.ping(h2::Ping::opaque());
        match async_std::future::timeout(PING_TIMEOUT, pong).await {
            Ok(Ok(_)) => task::sleep(PING_INTERVAL).await,
            _ => return,
        }
    }
}

/// `RemoteCall` reads the replies of one call. Dropping it gives the call up.
pub struct RemoteCall {
    response: Option<h2::client::ResponseFuture>,
    recv: Option<RecvStream>,
    buf: BytesMut,
}

impl RemoteCall {
    /// Returns the body of the next reply, or `None` when the peer has finished.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        if let Some(response) = self.response.as_mut() {
            let head = response.await.map_err(broken)?;
            self.response = None;
            self.recv = Some(head.into_body());
        }
        match self.recv.as_mut() {
            Some(recv) => next_frame(recv, &mut self.buf).await,
            None => Ok(None),
        }
    }
}

fn broken(e: h2::Error) -> Error {
    Error::new(ErrorCode::Unavailable, format!("peer connection: {e}"))
        .execution(Execution::Unknown)
}

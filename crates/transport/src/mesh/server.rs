//! The `server` module accepts connections of other hosts and runs the calls on them.

use std::future::poll_fn;
use std::sync::Arc;

use aspenloft_core::errors::{Result, unavailable};
use async_std::channel::{Receiver, bounded};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use futures::pin_mut;
use h2::{RecvStream, SendStream};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::liveness::{CallGuard, Liveness};
use super::options::MeshOptions;
use super::streams::{SendSide, connection_error, next_frame, send_all};
use super::{CONNECTION_WINDOW_BYTES, FrameHandler, STREAM_WINDOW_BYTES};
use crate::accept::Acceptor;

/// How many replies a handler can queue before it waits for the peer.
const REPLY_BUFFER: usize = 64;

/// The size from which no more replies are joined into one write, in bytes.
const COALESCE_BYTES: usize = 16 * 1024;

/// The maximum number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 8_192;

/// The factor by which the idle timeout of the server is longer than that of the client.
/// The client closes idle connections, because the server could close one on which the
/// client is just starting a call.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Accepts connections of peers in an endless loop, with the default timeouts.
pub async fn serve(listener: TcpListener, handler: Arc<dyn FrameHandler>) -> Result<()> {
    serve_with(listener, handler, MeshOptions::default()).await
}

/// Accepts connections of peers in an endless loop.
pub async fn serve_with(
    listener: TcpListener,
    handler: Arc<dyn FrameHandler>,
    options: MeshOptions,
) -> Result<()> {
    let options = Arc::new(MeshOptions {
        idle_timeout: options.idle_timeout * IDLE_TIMEOUT_FACTOR,
        ..options
    });
    let open = Arc::new(());
    let mut acceptor = Acceptor::new(listener, "peers");
    loop {
        let Ok(stream) = acceptor.accept().await else { continue };
        // Each connection has a clone, which is also dropped when its task panics.
        let slot = open.clone();
        if Arc::strong_count(&open) > options.max_connections + 1 {
            log::warn!(event = "peer_connection_refused", open = options.max_connections; "");
            continue;
        }
        let (handler, options) = (handler.clone(), options.clone());
        task::spawn(async move {
            let _slot = slot;
            if let Err(e) = serve_connection(stream, handler, &options).await {
                log::debug!(event = "peer_connection_ended", error = e.to_string().as_str(); "");
            }
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn FrameHandler>,
    options: &MeshOptions,
) -> Result<()> {
    stream.set_nodelay(true).map_err(|e| unavailable(e.to_string()))?;
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    let handshake =
        timeout(options.connect_timeout, builder.handshake::<_, Bytes>(stream.compat())).await;
    let handshake = handshake.map_err(|_| unavailable("the handshake timed out"))?;
    let mut connection = handshake.map_err(connection_error)?;
    let pings = connection
        .ping_pong()
        .ok_or_else(|| unavailable("the connection does not support pings"))?;
    let liveness = Liveness::new();
    let (first_pong, _) = bounded(1);
    let monitor = liveness.monitor(pings, options, first_pong);
    let calls = accept_calls(&mut connection, handler, &liveness);
    pin_mut!(monitor, calls);
    // When the monitor ends first, the connection and the calls on it are dropped, so
    // that a host that no longer answers does not keep resources in use.
    match select(calls, monitor).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => Err(unavailable("the connection is idle or does not answer")),
    }
}

async fn accept_calls(
    connection: &mut h2::server::Connection<tokio_util::compat::Compat<TcpStream>, Bytes>,
    handler: Arc<dyn FrameHandler>,
    liveness: &Arc<Liveness>,
) -> Result<()> {
    while let Some(accepted) = connection.accept().await {
        let (req, mut respond) = accepted.map_err(connection_error)?;
        let handler = handler.clone();
        let Some(guard) = liveness.start_call() else {
            respond.send_reset(h2::Reason::REFUSED_STREAM);
            continue;
        };
        task::spawn(async move {
            let head = ::http::Response::new(());
            if let Ok(send) = respond.send_response(head, false) {
                serve_call(req.into_body(), send, handler, guard).await;
            }
        });
    }
    Ok(())
}

/// Runs the handler of one call until it returns or the peer resets the stream.
async fn serve_call(
    mut recv: RecvStream,
    mut send: SendStream<Bytes>,
    handler: Arc<dyn FrameHandler>,
    _guard: CallGuard,
) {
    let mut buf = BytesMut::new();
    let Ok(Some(body)) = next_frame(&mut recv, &mut buf).await else {
        send.send_reset(h2::Reason::PROTOCOL_ERROR);
        return;
    };
    let (tx, rx) = bounded(REPLY_BUFFER);
    let handle = handler.handle(body, tx);
    let sending = send_replies(rx, &mut send);
    pin_mut!(handle, sending);
    match select(handle, sending).await {
        // The handler has returned. The replies still in the channel are sent.
        Either::Left((_, sending)) => {
            let _ = sending.await;
        }
        // The handler has dropped its sender, or the peer is gone.
        Either::Right((Ok(()), handle)) => handle.await,
        Either::Right((Err(_), _)) => {}
    }
}

async fn send_replies(rx: Receiver<Bytes>, send: &mut SendStream<Bytes>) -> Result<()> {
    while let Some(first) = next_reply(&rx, send).await? {
        let data = coalesce(first, &rx);
        send_all(send, data, SendSide::Open).await?;
    }
    send.send_data(Bytes::new(), true).map_err(connection_error)
}

/// Waits for the next reply to send; fails when the peer resets the stream.
async fn next_reply(rx: &Receiver<Bytes>, send: &mut SendStream<Bytes>) -> Result<Option<Bytes>> {
    let reply = rx.recv();
    let reset = poll_fn(|cx| send.poll_reset(cx));
    pin_mut!(reply, reset);
    match select(reply, reset).await {
        Either::Left((reply, _)) => Ok(reply.ok()),
        Either::Right(_) => Err(unavailable("the peer reset the call")),
    }
}

/// Joins the replies that are ready, so that they are sent in one `DATA` frame.
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

//! The `server` module accepts the connections of other hosts and serves the calls
//! on them.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

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

use super::liveness::{CallCount, Liveness};
use super::options::MeshOptions;
use super::streams::{End, broken, next_frame, send_all};
use super::{CONNECTION_WINDOW_BYTES, FrameHandler, STREAM_WINDOW_BYTES};

/// Replies that a handler may have ready before it must wait for the peer.
const REPLY_BUFFER: usize = 64;

/// The most bytes of replies that go out as one piece.
const COALESCE_BYTES: usize = 16 * 1024;

/// Streams that one peer may have open at once.
const MAX_STREAMS: u32 = 8_192;

/// Connections that other hosts may have open at once: two for each of 340 hosts,
/// and room to grow.
const MAX_CONNECTIONS: usize = 1_024;

/// How much longer than the calling end this one keeps an idle connection, so that
/// the calling end, which may just be about to call, is the one that closes it.
const IDLE_FACTOR: u32 = 2;

/// How long to wait after a failed accept, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of peers for ever, judged with the default times.
pub async fn serve(listener: TcpListener, handler: Arc<dyn FrameHandler>) -> Result<()> {
    serve_with(listener, handler, MeshOptions::default()).await
}

/// Accepts connections of peers for ever.
pub async fn serve_with(
    listener: TcpListener,
    handler: Arc<dyn FrameHandler>,
    options: MeshOptions,
) -> Result<()> {
    let options =
        Arc::new(MeshOptions { idle_timeout: options.idle_timeout * IDLE_FACTOR, ..options });
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(event = "accept_failed", error = e.to_string().as_str(); "");
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            log::warn!(event = "peer_connection_refused", open = MAX_CONNECTIONS; "");
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (handler, options, open) = (handler.clone(), options.clone(), open.clone());
        task::spawn(async move {
            if let Err(e) = serve_connection(stream, handler, &options).await {
                log::debug!(event = "peer_connection_ended", error = e.to_string().as_str(); "");
            }
            open.fetch_sub(1, Ordering::Relaxed);
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
    let handshake = handshake.map_err(|_| unavailable("the handshake did not come in time"))?;
    let mut connection = handshake.map_err(broken)?;
    let pings = connection.ping_pong().ok_or_else(|| unavailable("no pings"))?;
    let liveness = Liveness::new();
    let (proven, _) = bounded(1);
    let watch = liveness.watch(pings, options, proven);
    let calls = accept_calls(&mut connection, handler, &liveness);
    pin_mut!(watch, calls);
    // When the watch ends first, the connection is dropped and with it the calls:
    // a host that has gone silent must hold nothing here.
    match select(calls, watch).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => Err(unavailable("the connection is silent or idle")),
    }
}

async fn accept_calls(
    connection: &mut h2::server::Connection<tokio_util::compat::Compat<TcpStream>, Bytes>,
    handler: Arc<dyn FrameHandler>,
    liveness: &Arc<Liveness>,
) -> Result<()> {
    while let Some(accepted) = connection.accept().await {
        let (req, mut respond) = accepted.map_err(broken)?;
        let handler = handler.clone();
        let Some(count) = liveness.begin() else {
            respond.send_reset(h2::Reason::REFUSED_STREAM);
            continue;
        };
        task::spawn(async move {
            let head = ::http::Response::new(());
            if let Ok(send) = respond.send_response(head, false) {
                serve_call(req.into_body(), send, handler, count).await;
            }
        });
    }
    Ok(())
}

/// Runs the handler of one call until it ends or the peer resets the stream.
async fn serve_call(
    mut recv: RecvStream,
    mut send: SendStream<Bytes>,
    h: Arc<dyn FrameHandler>,
    _count: CallCount,
) {
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
        send_all(send, data, End::Open).await?;
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

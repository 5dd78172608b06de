//! The `connection` module implements the client side of a connection to another host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use aspenloft_core::errors::{Error, Result, unavailable};
use aspenloft_core::execution::Execution;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::task;
use bytes::{Bytes, BytesMut};
use futures::future::select;
use futures::pin_mut;
use h2::RecvStream;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::liveness::{CallGuard, Liveness};
use super::options::MeshOptions;
use super::streams::{SendSide, connection_error, next_frame, send_all};
use super::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES};
use crate::connector::{Connector, TcpConnector};

/// `PeerConnection` is one `h2` connection to another host, shared by its clones.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    requests: h2::client::SendRequest<Bytes>,
    liveness: Arc<Liveness>,
    opened: Instant,
}

impl PeerConnection {
    /// Connects to the host at `addr` and waits for the answer to a first ping, because
    /// the kernel of a host whose process hangs still accepts connections.
    pub async fn open(addr: SocketAddr, options: &Arc<MeshOptions>) -> Result<PeerConnection> {
        PeerConnection::open_over(&TcpConnector::default(), addr, options).await
    }

    /// Connects like [`PeerConnection::open`], over a connection that `connector` opens.
    pub async fn open_over(
        connector: &dyn Connector,
        addr: SocketAddr,
        options: &Arc<MeshOptions>,
    ) -> Result<PeerConnection> {
        let opening = PeerConnection::open_without_timeout(connector, addr, options.clone());
        let opened = timeout(options.connect_timeout, opening).await;
        // Nothing of a call has been sent yet.
        opened
            .unwrap_or_else(|_| Err(unavailable(format!("{addr} did not answer in time"))))
            .map_err(|e| e.execution(Execution::NotRun))
    }

    async fn open_without_timeout(
        connector: &dyn Connector,
        addr: SocketAddr,
        options: Arc<MeshOptions>,
    ) -> Result<PeerConnection> {
        let connected = connector.connect(addr, options.connect_timeout).await;
        let stream =
            connected.map_err(|e| unavailable(format!("cannot connect to {addr}: {e}")))?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let handshake = builder.handshake::<_, Bytes>(stream.compat()).await;
        let (requests, mut connection) = handshake.map_err(connection_error)?;
        let pings = connection
            .ping_pong()
            .ok_or_else(|| unavailable("the connection does not support pings"))?;
        let liveness = Liveness::new();
        let (first_pong_tx, first_pong) = bounded::<()>(1);
        let monitored = liveness.clone();
        task::spawn(async move {
            let monitor = monitored.monitor(pings, &options, first_pong_tx);
            pin_mut!(connection, monitor);
            // Dropping the connection makes the calls that still use it fail.
            let _ = select(connection, monitor).await;
            monitored.end();
        });
        let _ = first_pong.recv().await;
        if liveness.has_ended() {
            return Err(unavailable(format!("{addr} closed the connection")));
        }
        Ok(PeerConnection { requests, liveness, opened: Instant::now() })
    }

    /// Returns whether new calls may use the connection: it has not ended, is not
    /// suspected to be broken and has not reached the maximum age.
    pub fn is_usable(&self, options: &MeshOptions) -> bool {
        !self.liveness.has_ended()
            && !self.liveness.is_suspect()
            && self.opened.elapsed() < options.max_age
    }

    /// Returns whether a ping has been unanswered for longer than `suspect_after`.
    pub fn is_suspect(&self) -> bool {
        self.liveness.is_suspect()
    }

    /// Waits until the connection is suspected to be broken or has ended.
    pub async fn suspected_or_ended(&self) {
        self.liveness.suspected_or_ended().await;
    }

    /// Starts a call with the frame in `data`.
    ///
    /// The peer runs the call only when it has received the whole frame. A failure
    /// before the last byte is sent therefore means that the call was not run.
    pub async fn call(&self, data: Bytes) -> Result<RemoteCall> {
        let not_sent = |e: Error| e.execution(Execution::NotRun);
        let guard =
            self.liveness.start_call().ok_or_else(|| unavailable("the connection has ended"))?;
        let ready = self.requests.clone().ready().await;
        let mut requests = ready.map_err(|e| {
            // The next call must not use the same broken connection.
            self.liveness.end();
            not_sent(connection_error(e))
        })?;
        let mut head = ::http::Request::new(());
        *head.method_mut() = ::http::Method::POST;
        *head.uri_mut() = ::http::Uri::from_static("http://peer/call");
        let sent = requests.send_request(head, false).map_err(connection_error);
        let (response, mut send) = sent.map_err(not_sent)?;
        // The last byte is sent together with the end of the stream.
        let (rest, last) = split_last_byte(data);
        send_all(&mut send, rest, SendSide::Open).await.map_err(not_sent)?;
        send_all(&mut send, last, SendSide::Closed).await?;
        Ok(RemoteCall { response: Some(response), recv: None, buf: BytesMut::new(), _guard: guard })
    }
}

/// Splits off the last byte, without which the peer cannot decode the frame.
fn split_last_byte(mut data: Bytes) -> (Bytes, Bytes) {
    let last = data.split_off(data.len().saturating_sub(1));
    (data, last)
}

/// `RemoteCall` reads the replies of one call. Dropping it cancels the call.
#[derive(Debug)]
pub struct RemoteCall {
    response: Option<h2::client::ResponseFuture>,
    recv: Option<RecvStream>,
    buf: BytesMut,
    _guard: CallGuard,
}

impl RemoteCall {
    /// Returns the body of the next reply, or `None` when the peer has finished.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        if let Some(response) = self.response.as_mut() {
            let head = response.await.map_err(connection_error)?;
            self.response = None;
            self.recv = Some(head.into_body());
        }
        match self.recv.as_mut() {
            Some(recv) => next_frame(recv, &mut self.buf).await,
            None => Ok(None),
        }
    }
}

//! The `pool` module keeps connections to backend servers for the next request,
//! because a new one takes a round trip and servers bound how many they accept.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, SharedClock};
use aspenloft_transport::socket::{self, SilenceLimits};
use async_std::future::timeout;
use async_std::task;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use parking_lot::Mutex;
use smol_hyper::rt::FuturesIo;

use crate::metrics::Metrics;

/// `PoolOptions` bounds the kept connections.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolOptions {
    /// The longest time to open a connection; a server that is down does not answer.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept where the server does not say.
    pub idle_timeout: Duration,
    /// How much sooner than the server an idle connection is closed, so that a
    /// request does not cross the server's close.
    pub close_margin: Duration,
    /// The most idle connections to one server.
    pub max_idle_per_server: usize,
    /// How long a connection may take to become idle after an answer.
    pub ready_timeout: Duration,
    /// How long connections may be silent.
    pub silence: SilenceLimits,
}

impl Default for PoolOptions {
    fn default() -> Self {
        PoolOptions {
            // Some round trips between data centres and one lost packet.
            connect_timeout: Duration::from_millis(350),
            idle_timeout: Duration::from_secs(4),
            close_margin: Duration::from_millis(600),
            max_idle_per_server: 32,
            ready_timeout: Duration::from_secs(1),
            silence: SilenceLimits::default(),
        }
    }
}

/// `Connection` is a connection to a backend server that a request holds alone.
#[derive(Debug)]
pub struct Connection {
    /// Where requests are handed in.
    pub sender: SendRequest<Full<Bytes>>,
    /// The server's address.
    pub addr: SocketAddr,
    /// Whether the connection has served before and may be broken unseen.
    pub reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    expires_at: Instant,
}

/// `Pool` keeps idle connections by address.
pub struct Pool {
    options: PoolOptions,
    clock: SharedClock,
    metrics: Arc<Metrics>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(options: PoolOptions, clock: SharedClock, metrics: Arc<Metrics>) -> Arc<Pool> {
        Arc::new(Pool { options, clock, metrics, idle: Mutex::default() })
    }

    /// Returns a connection to `addr`, a kept one if there is any. Nothing has been
    /// sent on failure.
    pub async fn take(&self, addr: SocketAddr) -> std::io::Result<Connection> {
        match self.take_idle(addr) {
            Some(sender) => Ok(Connection { sender, addr, reused: true }),
            None => self.open(addr).await,
        }
    }

    /// Opens a new connection to `addr`.
    pub async fn open(&self, addr: SocketAddr) -> std::io::Result<Connection> {
        self.metrics.connection_opened();
        let stream =
            socket::connect(addr, self.options.connect_timeout, &self.options.silence).await?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        task::spawn(async move {
            // Its requests and bodies report the failure to those who wait for them.
            let _ = connection.await;
        });
        Ok(Connection { sender, addr, reused: false })
    }

    /// Keeps `connection` for later once its answer has been read, for as long as
    /// the server said that it keeps it.
    pub fn put_back(self: &Arc<Self>, connection: Connection, server_keeps: Option<Duration>) {
        let Connection { mut sender, addr, .. } = connection;
        let keep_for =
            server_keeps.unwrap_or(self.options.idle_timeout).min(self.options.idle_timeout);
        let keep_for = keep_for.saturating_sub(self.options.close_margin);
        if keep_for.is_zero() || sender.is_closed() {
            return;
        }
        if sender.is_ready() {
            self.keep(addr, sender, keep_for);
            return;
        }
        let pool = self.clone();
        task::spawn(async move {
            if matches!(timeout(pool.options.ready_timeout, sender.ready()).await, Ok(Ok(()))) {
                pool.keep(addr, sender, keep_for);
            }
        });
    }

    /// Closes the idle connections to `addr`, which belongs to another server now.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|_, kept| {
            kept.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
            !kept.is_empty()
        });
    }

    fn keep(&self, addr: SocketAddr, sender: SendRequest<Full<Bytes>>, keep_for: Duration) {
        let expires_at = self.clock.now() + keep_for;
        let mut idle = self.idle.lock();
        let kept = idle.entry(addr).or_default();
        if kept.len() < self.options.max_idle_per_server {
            kept.push(IdleConnection { sender, expires_at });
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&addr)?;
        // The connection used last is the least likely to have been closed.
        while let Some(idle) = kept.pop() {
            if idle.expires_at > now && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }
}

/// The most bytes of an answer's head or body that a connection buffers.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

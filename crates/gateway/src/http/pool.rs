//! The `pool` module keeps idle connections to backend servers for later requests,
//! because a new connection takes a round trip and servers limit how many they accept.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name, SharedClock};
use aspenloft_transport::connector::Connector;
use async_std::future::timeout;
use async_std::task;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use parking_lot::Mutex;
use rustix::io::Errno;
use smol_hyper::rt::FuturesIo;

use super::metered::{MeteredStream, ReadAllowance};
use crate::metrics::Metrics;

/// `PoolOptions` holds the timeouts and limits of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolOptions {
    /// The timeout for opening a connection; a server that is down does not respond.
    pub connect_timeout: Duration,
    /// The maximum time for which an idle connection is kept. It also applies when the
    /// server states no time.
    pub idle_timeout: Duration,
    /// How much earlier than the server the pool closes an idle connection, so that a
    /// request is not sent while the server closes it.
    pub close_margin: Duration,
    /// The maximum number of idle connections to one server.
    pub max_idle_per_server: usize,
    /// How long a connection may take to become ready again after a response.
    pub ready_timeout: Duration,
    /// The maximum number of connections to all servers together, in use and idle.
    pub max_open: usize,
}

impl Default for PoolOptions {
    fn default() -> Self {
        PoolOptions {
            // Several round trips between data centres and one retransmission.
            connect_timeout: Duration::from_millis(350),
            idle_timeout: Duration::from_secs(4),
            close_margin: Duration::from_millis(600),
            max_idle_per_server: 32,
            ready_timeout: Duration::from_secs(1),
            max_open: 1_024,
        }
    }
}

/// `Connection` is a connection to a backend server that one request uses exclusively.
#[derive(Debug)]
pub struct Connection {
    /// The sender of requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// The server's address.
    pub addr: SocketAddr,
    /// Whether the connection has been used before. It may have been closed by the
    /// server meanwhile.
    pub reused: bool,
    /// The attempt that was sent on the connection last.
    pub last_id: Option<Name>,
    /// The number of bytes that the server may still send.
    pub reads: Arc<ReadAllowance>,
    slot: Slot,
}

/// `Slot` counts one open connection of a pool until it is dropped.
#[derive(Debug)]
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    last_id: Option<Name>,
    reads: Arc<ReadAllowance>,
    idle_since: Instant,
    expires_at: Instant,
    slot: Slot,
}

/// `Pool` keeps idle connections by address.
pub struct Pool {
    options: PoolOptions,
    connector: Arc<dyn Connector>,
    clock: SharedClock,
    metrics: Arc<Metrics>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: Arc<AtomicUsize>,
}

impl Pool {
    /// Creates an empty pool, whose connections `connector` opens.
    pub fn new(
        options: PoolOptions,
        connector: Arc<dyn Connector>,
        clock: SharedClock,
        metrics: Arc<Metrics>,
    ) -> Arc<Pool> {
        let (idle, open) = Default::default();
        Arc::new(Pool { options, connector, clock, metrics, idle, open })
    }

    /// Returns a connection to `addr` for the attempt `id`, an idle one if there is one on
    /// which that attempt was not the last. On failure, nothing has been sent.
    pub async fn take(&self, addr: SocketAddr, id: &Name) -> std::io::Result<Connection> {
        match self.take_idle(addr, id) {
            Some(connection) => Ok(connection),
            None => self.open(addr).await,
        }
    }

    /// Opens a new connection to `addr`. If there are too many, it takes the place of the one
    /// that has been idle for longest, or fails as it does without descriptors.
    pub async fn open(&self, addr: SocketAddr) -> std::io::Result<Connection> {
        let slot = self.take_slot().ok_or(Errno::MFILE)?;
        self.metrics.connection_opened();
        let stream = self.connector.connect(addr, self.options.connect_timeout).await?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let reads = Arc::<ReadAllowance>::default();
        reads.set(MAX_HEAD_BYTES);
        let stream = MeteredStream::new(stream, reads.clone());
        let handshake = builder.handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        task::spawn(async move {
            // Requests and bodies on the connection report its failure.
            let _ = connection.await;
        });
        Ok(Connection { sender, addr, reused: false, last_id: None, reads, slot })
    }

    /// Returns the number of open connections and that of the idle ones among them.
    pub fn counts(&self) -> (usize, usize) {
        let idle = self.idle.lock().values().map(Vec::len).sum();
        (self.open.load(Ordering::SeqCst), idle)
    }

    fn take_slot(&self) -> Option<Slot> {
        let slot = Slot(self.open.clone());
        let open = self.open.fetch_add(1, Ordering::SeqCst);
        (open < self.options.max_open || self.close_oldest()).then_some(slot)
    }

    /// Closes the connection that has been idle for longest. Returns false if none is idle.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.lock();
        // Those of one server become idle one after the other.
        let oldest = idle.iter().filter_map(|(addr, kept)| Some((kept.first()?.idle_since, *addr)));
        let Some((_, addr)) = oldest.min() else { return false };
        if let Some(kept) = idle.get_mut(&addr) {
            kept.remove(0);
            if kept.is_empty() {
                idle.remove(&addr);
            }
        }
        true
    }

    /// Keeps `connection` for later requests after its response has been read, for as
    /// long as the server keeps it open.
    pub fn put_back(self: &Arc<Self>, connection: Connection, server_keeps: Option<Duration>) {
        let Connection { mut sender, addr, last_id, reads, slot, .. } = connection;
        reads.set(MAX_HEAD_BYTES);
        let keep_for =
            server_keeps.unwrap_or(self.options.idle_timeout).min(self.options.idle_timeout);
        let keep_for = keep_for.saturating_sub(self.options.close_margin);
        if keep_for.is_zero() || sender.is_closed() || reads.has_failed() {
            return;
        }
        let idle_since = self.clock.now();
        let expires_at = idle_since + keep_for;
        if sender.is_ready() {
            self.keep(
                addr,
                IdleConnection { sender, last_id, reads, idle_since, expires_at, slot },
            );
            return;
        }
        let pool = self.clone();
        task::spawn(async move {
            let ready = timeout(pool.options.ready_timeout, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) && !reads.has_failed() {
                pool.keep(
                    addr,
                    IdleConnection { sender, last_id, reads, idle_since, expires_at, slot },
                );
            }
        });
    }

    /// Closes the idle connections to `addr`, which now belongs to another server.
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

    fn keep(&self, addr: SocketAddr, connection: IdleConnection) {
        let mut idle = self.idle.lock();
        let kept = idle.entry(addr).or_default();
        if kept.len() < self.options.max_idle_per_server {
            kept.push(connection);
        }
    }

    fn take_idle(&self, addr: SocketAddr, id: &Name) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&addr)?;
        kept.retain(|idle| idle.expires_at > now && idle.sender.is_ready());
        // The most recently used connection is the least likely to have been closed. What a
        // server repeats of an earlier response to the same attempt looks like the next one.
        let index = kept.iter().rposition(|idle| idle.last_id.as_ref() != Some(id))?;
        let IdleConnection { sender, last_id, reads, slot, .. } = kept.remove(index);
        Some(Connection { sender, addr, reused: true, last_id, reads, slot })
    }
}

/// The maximum size of the read buffer of a connection, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// The number of bytes that a server may send up to the end of a head: the longest head,
/// some interim responses, and the part of the body that is read with it.
const MAX_HEAD_BYTES: usize = 4 * MAX_BUFFER_BYTES;

//! The `link` module keeps the connection to one other host: one at a time, with a
//! second one beside it only while the first is in doubt.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Instant;

use aspenloft_core::errors::{Error, Result};
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use parking_lot::Mutex;

use super::connection::PeerConnection;
use super::options::MeshOptions;

/// `PeerLink` reaches one host.
#[derive(Debug)]
pub struct PeerLink {
    addr: SocketAddr,
    options: Arc<MeshOptions>,
    state: Mutex<LinkState>,
    // Whoever holds this opens a connection; the others wait for what comes of it.
    opening: AsyncMutex<()>,
    me: Weak<PeerLink>,
}

#[derive(Debug, Default)]
struct LinkState {
    current: Option<PeerConnection>,
    failed: Option<(Instant, Error)>,
}

impl PeerLink {
    /// Creates a link to the host at `addr`. Nothing is opened yet.
    pub fn new(addr: SocketAddr, options: Arc<MeshOptions>) -> Arc<PeerLink> {
        Arc::new_cyclic(|me| PeerLink {
            addr,
            options,
            state: Mutex::default(),
            opening: AsyncMutex::new(()),
            me: me.clone(),
        })
    }

    /// Returns where the host is.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a connection that new calls may use, and opens one where there is
    /// none. An error means that new connections fail: the host is down.
    pub async fn connection(&self) -> Result<PeerConnection> {
        if let Some(usable) = self.usable() {
            return Ok(usable);
        }
        let _one_at_a_time = self.opening.lock().await;
        if let Some(usable) = self.usable() {
            return Ok(usable);
        }
        if let Some(failure) = self.recent_failure() {
            return Err(failure);
        }
        let opened = PeerConnection::open(self.addr, &self.options).await;
        let mut state = self.state.lock();
        match opened {
            Ok(connection) => {
                state.failed = None;
                state.current = Some(connection.clone());
                self.replace_when_suspected(connection.clone());
                Ok(connection)
            }
            Err(e) => {
                state.failed = Some((Instant::now(), e.clone()));
                Err(e)
            }
        }
    }

    fn usable(&self) -> Option<PeerConnection> {
        let current = self.state.lock().current.clone();
        current.filter(|connection| connection.is_usable(&self.options))
    }

    fn recent_failure(&self) -> Option<Error> {
        let state = self.state.lock();
        let (at, failure) = state.failed.as_ref()?;
        (at.elapsed() < self.options.reconnect_delay).then(|| failure.clone())
    }

    /// Opens a new connection at once when `connection` falls silent, so that the
    /// next call finds it ready.
    fn replace_when_suspected(&self, connection: PeerConnection) {
        let link = self.me.clone();
        task::spawn(async move {
            connection.suspected_or_ended().await;
            // One that ended, for instance for being idle, is replaced on demand.
            if connection.is_suspect()
                && let Some(link) = link.upgrade()
            {
                let _ = link.connection().await;
            }
        });
    }
}

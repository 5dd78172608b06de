//! The `link` module keeps the connection to one other host. There is one connection,
//! and a second one only while the first is suspected to be broken.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Instant;

use aspenloft_core::errors::{Error, Result, unavailable};
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::{Either, select, select_ok};
use futures::pin_mut;
use parking_lot::Mutex;

use super::connection::PeerConnection;
use super::options::MeshOptions;
use crate::connector::{Connector, TcpConnector};

/// `PeerLink` opens and keeps the connection to one host.
pub struct PeerLink {
    addr: SocketAddr,
    connector: Arc<dyn Connector>,
    options: Arc<MeshOptions>,
    state: Mutex<LinkState>,
    // Held while a connection is opened, so that concurrent calls wait for its outcome.
    opening: AsyncMutex<()>,
    weak_self: Weak<PeerLink>,
}

#[derive(Debug, Default)]
struct LinkState {
    current: Option<PeerConnection>,
    last_failure: Option<(Instant, Error)>,
}

impl PeerLink {
    /// Creates a link to the host at `addr`. The connection is opened on first use.
    pub fn new(addr: SocketAddr, options: Arc<MeshOptions>) -> Arc<PeerLink> {
        PeerLink::over(Arc::<TcpConnector>::default(), addr, options)
    }

    /// Creates a link to the host at `addr`, whose connections `connector` opens.
    pub fn over(
        connector: Arc<dyn Connector>,
        addr: SocketAddr,
        options: Arc<MeshOptions>,
    ) -> Arc<PeerLink> {
        Arc::new_cyclic(|weak_self| PeerLink {
            addr,
            connector,
            options,
            state: Mutex::default(),
            opening: AsyncMutex::new(()),
            weak_self: weak_self.clone(),
        })
    }

    /// Returns the address of the host.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a connection for a new call, and opens one if there is none. An error
    /// means that new connections fail too, so the host is down.
    pub async fn connection(&self) -> Result<PeerConnection> {
        if let Some(usable) = self.usable() {
            return Ok(usable);
        }
        let _guard = self.opening.lock().await;
        if let Some(usable) = self.usable() {
            return Ok(usable);
        }
        if let Some(failure) = self.recent_failure() {
            return Err(failure);
        }
        let opened = PeerConnection::open_over(&*self.connector, self.addr, &self.options).await;
        let mut state = self.state.lock();
        match opened {
            Ok(connection) => {
                state.last_failure = None;
                state.current = Some(connection.clone());
                self.replace_when_suspected(connection.clone());
                Ok(connection)
            }
            Err(e) => {
                state.last_failure = Some((Instant::now(), e.clone()));
                Err(e)
            }
        }
    }

    /// Makes a call with the frame in `data` and returns its only reply. The host may run the
    /// call more than once: it is made again on a new connection when the first one fails or
    /// is suspected to be broken.
    pub async fn ask(&self, data: Bytes) -> Result<Bytes> {
        let connection = self.connection().await?;
        let first = reply_on(connection.clone(), data.clone()).boxed();
        let suspected = connection.suspected_or_ended();
        pin_mut!(suspected);
        let again = async { reply_on(self.connection().await?, data).await };
        match select(first, suspected).await {
            Either::Left((Ok(reply), _)) => Ok(reply),
            Either::Left((Err(_), _)) => again.await,
            // The first connection may only be slow.
            Either::Right((_, first)) => {
                select_ok([first, again.boxed()]).await.map(|(reply, _)| reply)
            }
        }
    }

    fn usable(&self) -> Option<PeerConnection> {
        let current = self.state.lock().current.clone();
        current.filter(|connection| connection.is_usable(&self.options))
    }

    fn recent_failure(&self) -> Option<Error> {
        let state = self.state.lock();
        let (at, failure) = state.last_failure.as_ref()?;
        (at.elapsed() < self.options.reconnect_delay).then(|| failure.clone())
    }

    /// Opens a new connection as soon as `connection` is suspected to be broken, so that
    /// the next call does not wait for it.
    fn replace_when_suspected(&self, connection: PeerConnection) {
        let link = self.weak_self.clone();
        task::spawn(async move {
            connection.suspected_or_ended().await;
            // A connection that has ended, for instance an idle one, is replaced on demand.
            if connection.is_suspect()
                && let Some(link) = link.upgrade()
            {
                let _ = link.connection().await;
            }
        });
    }
}

/// Makes a call on `connection` and returns its only reply.
async fn reply_on(connection: PeerConnection, data: Bytes) -> Result<Bytes> {
    let mut call = connection.call(data).await?;
    call.next().await?.ok_or_else(|| unavailable("the peer closed the call without a reply"))
}

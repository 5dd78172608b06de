//! The `relay` module stands in for whatever lies between two ends of a TCP
//! connection and may lose track of it: open connections go silent for good while
//! new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use aspenloft_core::errors::{Result, unavailable};
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use http_types::{Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::admin;

/// The path at which a `POST` silences the connections that are open.
pub const SWALLOW_PATH: &str = "/standin/swallow";

/// Bytes that the relay moves in one go.
const BUFFER_BYTES: usize = 16 * 1024;

/// `RelayFaults` is what is wrong with the relay; the default is nothing.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// How long bytes wait in each direction.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// New connections are closed at once.
    pub refusing: bool,
    /// New connections are accepted, and all their bytes swallowed.
    pub swallow_new: bool,
}

/// `Relay` passes connections on to one target.
#[derive(Debug)]
pub struct Relay {
    /// What is wrong with the relay.
    pub faults: Mutex<RelayFaults>,
    target: SocketAddr,
    opened: AtomicU64,
    /// Connections with a number up to this one are silent.
    last_silent: AtomicU64,
}

impl Relay {
    /// Creates a relay to `target`.
    pub fn new(target: SocketAddr) -> Arc<Relay> {
        Arc::new(Relay {
            faults: Mutex::default(),
            target,
            opened: AtomicU64::new(0),
            last_silent: AtomicU64::new(0),
        })
    }

    /// Swallows all further bytes of the connections that are open now, for good
    /// and without closing them. New connections work.
    pub fn silence_open(&self) {
        self.last_silent.store(self.opened(), Ordering::SeqCst);
    }

    /// Counts the connections that were ever opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Accepts connections for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) -> Result<()> {
        loop {
            let (near, _) = listener.accept().await.map_err(|e| unavailable(e.to_string()))?;
            let faults = self.faults.lock().clone();
            if faults.refusing {
                continue;
            }
            let number = self.opened.fetch_add(1, Ordering::SeqCst) + 1;
            let relay = self.clone();
            task::spawn(async move {
                // A connection that cannot be made ends with its nearer half.
                let _ = relay.pass(near, number, faults.swallow_new).await;
            });
        }
    }

    async fn pass(&self, near: TcpStream, number: u64, silent: bool) -> std::io::Result<()> {
        let far = TcpStream::connect(self.target).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let there = self.copy(near.clone(), far.clone(), number, silent);
        let back = self.copy(far, near, number, silent);
        futures::join!(there, back);
        Ok(())
    }

    /// Moves bytes until one side closes. A silent connection hides even that.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, number: u64, silent: bool) {
        let mut buf = vec![0_u8; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buf).await.unwrap_or(0);
            let delay = self.faults.lock().delay;
            task::sleep(delay).await;
            if silent || number <= self.last_silent.load(Ordering::SeqCst) {
                if read == 0 {
                    std::future::pending::<()>().await;
                }
                continue;
            }
            if read == 0 || to.write_all(&buf[..read]).await.is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}

/// `RelayAdmin` takes the relay's faults on an address of its own.
#[derive(Debug)]
pub struct RelayAdmin(pub Arc<Relay>);

#[async_trait]
impl HttpHandler for RelayAdmin {
    async fn handle(&self, mut req: Request, _: &Connection) -> Response {
        if req.url().path() == SWALLOW_PATH {
            self.0.silence_open();
            return server::json(&self.0.opened());
        }
        admin::serve_faults(&mut req, &self.0.faults).await
    }
}

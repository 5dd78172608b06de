//! The `relay` module is a test double of a middlebox between the ends of a TCP
//! connection, such as a NAT gateway that loses its state: open connections go silent for
//! good, without being closed, while new ones work.

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

/// Path at which a request silences the open connections.
pub const SWALLOW_PATH: &str = "/standin/swallow";

/// Size of a copy buffer in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// `RelayFaults` holds the injected faults of the relay; the default injects none.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Delay of the bytes in each direction.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// New connections are closed immediately.
    pub refusing: bool,
    /// New connections are accepted, and all their bytes are discarded.
    pub swallow_new: bool,
}

/// `Relay` forwards TCP connections to one target.
#[derive(Debug)]
pub struct Relay {
    /// The injected faults.
    pub faults: Mutex<RelayFaults>,
    target: SocketAddr,
    opened: AtomicU64,
    /// Connections with a number up to and including this one are silent.
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

    /// Discards all further bytes of the connections that are open now, permanently and
    /// without closing them. New connections work.
    pub fn silence_open(&self) {
        self.last_silent.store(self.opened(), Ordering::SeqCst);
    }

    /// Returns the number of connections accepted so far, without refused ones.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Accepts connections until accepting fails.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) -> Result<()> {
        loop {
            let (client, _) = listener.accept().await.map_err(|e| unavailable(e.to_string()))?;
            let faults = self.faults.lock().clone();
            if faults.refusing {
                continue;
            }
            let number = self.opened.fetch_add(1, Ordering::SeqCst) + 1;
            let relay = self.clone();
            task::spawn(async move {
                // If the target cannot be reached, dropping `client` closes the connection.
                let _ = relay.proxy(client, number, faults.swallow_new).await;
            });
        }
    }

    async fn proxy(&self, client: TcpStream, number: u64, silent: bool) -> std::io::Result<()> {
        let upstream = TcpStream::connect(self.target).await?;
        client.set_nodelay(true)?;
        upstream.set_nodelay(true)?;
        let forward = self.copy(client.clone(), upstream.clone(), number, silent);
        let backward = self.copy(upstream, client, number, silent);
        futures::join!(forward, backward);
        Ok(())
    }

    /// Copies bytes until one side closes. On a silent connection, discards them and does
    /// not forward the close either.
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

/// `RelayAdmin` serves the relay's faults over HTTP, on an address separate from the
/// relayed connections.
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

//! The `connector` module opens connections to backend servers and to other hosts.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use async_trait::async_trait;

use crate::socket::{self, KeepaliveOptions};

/// `Connector` opens connections over the host's network.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a connection to `addr` within `limit`. If it fails, nothing was sent.
    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Result<TcpStream>;
}

/// How long a backend server may be silent before the connection counts as broken. A sound one
/// may fall silent for two seconds, and what was sent meanwhile is sent again a second later.
const SERVER_SILENCE: Duration = Duration::from_millis(3_500);

/// `TcpConnector` is the connector of a host that runs on a machine of its own.
#[derive(Debug)]
pub struct TcpConnector {
    /// The limits after which a silent connection counts as broken.
    pub silence: KeepaliveOptions,
}

impl Default for TcpConnector {
    fn default() -> Self {
        let silence =
            KeepaliveOptions { user_timeout: SERVER_SILENCE, ..KeepaliveOptions::default() };
        TcpConnector { silence }
    }
}

#[async_trait]
impl Connector for TcpConnector {
    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Result<TcpStream> {
        socket::connect(addr, limit, &self.silence).await
    }
}

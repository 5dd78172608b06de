//! The `options` module defines the timeouts of connections between hosts; see
//! `docs/design/connections.md` for the reasons behind them.

use std::time::Duration;

/// `MeshOptions` holds the timeouts of connections between hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshOptions {
    /// The timeout for opening a connection, until the first ping is answered.
    pub connect_timeout: Duration,
    /// The interval between pings on a connection with active calls.
    pub ping_interval: Duration,
    /// How long a ping may be unanswered before a second connection is opened next to
    /// the first.
    pub suspect_after: Duration,
    /// How long a ping may be unanswered before the connection is closed and the
    /// calls on it fail.
    pub ping_timeout: Duration,
    /// How long a connection without calls stays open.
    pub idle_timeout: Duration,
    /// The age from which a connection gets no new calls.
    pub max_age: Duration,
    /// How long to wait after a failed connection attempt before the next one.
    pub reconnect_delay: Duration,
    /// The maximum number of connections that a host accepts.
    pub max_connections: usize,
}

impl MeshOptions {
    /// Returns the maximum time that a call waits on a connection that has stopped
    /// delivering data. If this happens just after a ping was answered, only the next
    /// ping detects it.
    pub fn max_detection_time(&self) -> Duration {
        self.ping_interval + self.ping_timeout
    }
}

impl Default for MeshOptions {
    fn default() -> Self {
        MeshOptions {
            connect_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_millis(500),
            suspect_after: Duration::from_millis(300),
            ping_timeout: Duration::from_millis(1_500),
            idle_timeout: Duration::from_secs(60),
            max_age: Duration::from_secs(600),
            reconnect_delay: Duration::from_millis(200),
            // Two for each of 340 hosts, and a margin for more hosts.
            max_connections: 1_024,
        }
    }
}

//! The `options` module defines the limits that a server sets for its clients.

use std::time::Duration;

/// `ServerOptions` holds the limits of a server for its clients, so that a client that
/// stalls, sends too much or disappears does not keep resources in use for long.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerOptions {
    /// The maximum number of open connections. A further one gets an error response and
    /// is closed.
    pub max_connections: usize,
    /// The timeout for the next request on a connection without one in progress.
    pub idle_timeout: Duration,
    /// The timeout for receiving the head of a request, from its first byte.
    pub head_timeout: Duration,
    /// The timeout for receiving the body of a request. Zero means no timeout.
    pub body_timeout: Duration,
    /// The timeout for one write of a part of a response, that is, how long a client may
    /// read nothing of it.
    pub write_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            max_connections: 4_096,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(10),
        }
    }
}

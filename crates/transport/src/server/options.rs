//! The `options` module holds the bounds that a server keeps towards its clients.

use std::time::Duration;

/// `ServerOptions` is what a server grants its clients. Every bound is there so
/// that a client that stalls, floods or vanishes holds nothing for long.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerOptions {
    /// The most connections at once; one more gets a refusal and is closed.
    pub max_connections: usize,
    /// The longest wait between the requests of one connection.
    pub idle: Duration,
    /// The longest time from the first byte of a head to its end.
    pub head: Duration,
    /// The longest time for the whole of a body.
    pub body: Duration,
    /// The longest time in which a client may take nothing of its answer.
    pub write: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            max_connections: 4_096,
            idle: Duration::from_secs(60),
            head: Duration::from_secs(5),
            body: Duration::from_secs(15),
            write: Duration::from_secs(10),
        }
    }
}

//! The `options` module holds the times by which connections between hosts are
//! judged; `docs/design/connections.md` says how they were chosen.

use std::time::Duration;

/// `MeshOptions` is how connections between hosts are judged.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshOptions {
    /// The longest time to connect, and to see a first answer on the connection.
    pub connect: Duration,
    /// How often a connection with calls on it proves that it is alive.
    pub ping_interval: Duration,
    /// How long a ping may be unanswered before a new connection is opened beside
    /// the old one.
    pub suspect_after: Duration,
    /// How long a ping may be unanswered before the connection is given up and the
    /// calls on it fail.
    pub ping_timeout: Duration,
    /// How long a connection without calls is kept.
    pub idle: Duration,
    /// How old a connection may be to get new calls.
    pub max_age: Duration,
    /// How long a host that could not be reached is not tried again.
    pub retry_pause: Duration,
}

impl MeshOptions {
    /// Returns the longest time that a call waits on a connection that has gone
    /// silent: one that falls silent just after a ping is found by the next one.
    pub fn silence_bound(&self) -> Duration {
        self.ping_interval + self.ping_timeout
    }
}

impl Default for MeshOptions {
    fn default() -> Self {
        MeshOptions {
            connect: Duration::from_secs(1),
            ping_interval: Duration::from_millis(500),
            suspect_after: Duration::from_millis(300),
            ping_timeout: Duration::from_millis(1_500),
            idle: Duration::from_secs(60),
            max_age: Duration::from_secs(600),
            retry_pause: Duration::from_millis(200),
        }
    }
}

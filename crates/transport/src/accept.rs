//! The `accept` module accepts the connections of one listener.
//!
//! A process without free file descriptors fails to accept at once, again and again, because
//! the connection stays in the listener's queue. [`Acceptor`] therefore waits after each
//! failure, so that other tasks run and can close what they hold; see
//! `docs/design/connections.md`.

use std::io::{ErrorKind, Result};
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;

/// How long to wait after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The minimum interval between two log lines about failures.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How many connections are accepted in a row before other tasks run. A listener with a long
/// queue accepts without waiting.
const MAX_ROW: u32 = 16;

/// `Acceptor` accepts the connections of one listener.
#[derive(Debug)]
pub struct Acceptor {
    listener: TcpListener,
    /// The name of the listener in log lines.
    name: &'static str,
    row: u32,
    failures: u64,
    logged_at: Option<Instant>,
}

impl Acceptor {
    /// Creates an acceptor for `listener`, which log lines call `name`.
    pub fn new(listener: TcpListener, name: &'static str) -> Acceptor {
        Acceptor { listener, name, row: 0, failures: 0, logged_at: None }
    }

    /// Waits for the next connection. Returns a failure only after a pause, so that it is safe
    /// to call again at once.
    pub async fn accept(&mut self) -> Result<TcpStream> {
        self.row += 1;
        if self.row >= MAX_ROW {
            self.row = 0;
            task::yield_now().await;
        }
        match self.listener.accept().await {
            Ok((stream, _)) => Ok(stream),
            Err(e) => {
                self.log_failure(&e);
                match e.kind() {
                    // The client has gone; the next connection may be accepted.
                    ErrorKind::ConnectionAborted => task::yield_now().await,
                    _ => task::sleep(RETRY_DELAY).await,
                }
                Err(e)
            }
        }
    }

    fn log_failure(&mut self, e: &std::io::Error) {
        self.failures += 1;
        if self.logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged_at = Some(Instant::now());
        let (listener, error, count) = (self.name, e.to_string(), self.failures);
        log::warn!(event = "accept_failed", listener, error = error.as_str(), count; "");
        self.failures = 0;
    }
}

//! The `socket` module opens TCP connections that detect when the peer no longer answers.
//!
//! A connection can stop delivering data for good without a reset. With the options
//! set here, the operating system closes it; see `docs/design/connections.md`.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use rustix::io::Errno;
use socket2::{SockRef, TcpKeepalive};

/// `KeepaliveOptions` sets after which time the operating system closes a connection
/// whose peer does not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeepaliveOptions {
    /// How long sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// How long a connection may be idle before the peer is probed, and the interval
    /// between probes. The socket option takes whole seconds.
    pub probe_interval: Duration,
    /// How many unanswered probes close the connection. `user_timeout` also decides that,
    /// whatever the count.
    pub probe_count: u32,
}

impl Default for KeepaliveOptions {
    fn default() -> Self {
        KeepaliveOptions {
            // Enough for several retransmissions at a round-trip time of some 10 ms.
            user_timeout: Duration::from_millis(1_500),
            probe_interval: Duration::from_secs(1),
            probe_count: 2,
        }
    }
}

/// Opens a connection to `addr` within `limit`. If it fails, nothing was sent.
pub async fn connect(
    addr: SocketAddr,
    limit: Duration,
    options: &KeepaliveOptions,
) -> Result<TcpStream> {
    let attempt = timeout(limit, TcpStream::connect(addr)).await;
    let stream = attempt.map_err(|_| Error::new(ErrorKind::TimedOut, "connect timed out"))??;
    configure(&stream, options)?;
    Ok(stream)
}

/// Returns whether `e` shows that this process or its machine has used up a resource, such as
/// descriptors or local ports. It says nothing of the peer.
pub fn is_shortage(e: &Error) -> bool {
    let shortages = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(e).is_some_and(|errno| shortages.contains(&errno))
}

/// Sets the options of an opened or accepted connection.
pub fn configure(stream: &TcpStream, options: &KeepaliveOptions) -> Result<()> {
    // Events are small and must be sent without delay.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(options.user_timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(options.probe_interval)
        .with_interval(options.probe_interval)
        .with_retries(options.probe_count);
    socket.set_tcp_keepalive(&keepalive)
}

//! The `descriptors` module divides the file descriptors of the process, so that callers that
//! keep many connections leave enough for the readiness probe, the backend servers, the other
//! hosts and the key-value service; see `docs/design/connections.md`.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::prelude::{Arc, SharedClock};
use aspenloft_telemetry::meters::process_memory;
use aspenloft_transport::connections::ConnectionSet;
use aspenloft_transport::connector::Connector;
use aspenloft_transport::socket::is_shortage;
use async_std::net::TcpStream;
use async_std::task;
use async_trait::async_trait;
use rustix::process::{Resource, getrlimit};

use crate::settings::Settings;

/// The descriptors for files, listeners, probes and the key-value service.
const RESERVED: usize = 288;

/// The memory that an idle connection of a caller takes at most, in bytes.
const IDLE_CONNECTION_BYTES: usize = 20 * 1024;

/// The number by which the process's memory is divided to get the limit for idle connections.
const MEMORY_DIVISOR: usize = 2;

/// The share of the process's memory, in percent, above which idle connections are closed.
const HIGH_MEMORY_PERCENT: u64 = 80;

/// How many connections of callers are closed at once when descriptors are short.
const RELIEF: usize = 16;

/// How long to wait before a connection is opened again that failed for lack of descriptors.
const RELIEF_TIME: Duration = Duration::from_millis(10);

/// `DescriptorShares` are the maximum numbers of connections of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Those of callers.
    pub callers: usize,
    /// Those to backend servers.
    pub servers: usize,
    /// Those that other hosts open, together with connections to other hosts.
    pub hosts: usize,
}

impl DescriptorShares {
    /// Divides `descriptors` in a process that may use `memory_mb` MiB.
    pub fn new(descriptors: usize, memory_mb: u64) -> DescriptorShares {
        let free = descriptors - RESERVED.min(descriptors / 2);
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1024 * 1024);
        let by_memory = memory / MEMORY_DIVISOR / IDLE_CONNECTION_BYTES;
        DescriptorShares {
            callers: (free / 4 * 3).min(by_memory).max(1),
            servers: (free / 8).max(1),
            hosts: (free / 8).max(1),
        }
    }

    /// Divides the descriptors that the settings and the operating system allow.
    pub fn of_process(settings: &Settings) -> DescriptorShares {
        let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let allowed = allowed.min(settings.max_descriptors.unwrap_or(u64::MAX));
        let shares = DescriptorShares::new(
            usize::try_from(allowed).unwrap_or(usize::MAX),
            settings.memory_mb,
        );
        let DescriptorShares { callers, servers, hosts } = shares;
        log::info!(event = "descriptors", allowed, callers, servers, hosts; "");
        shares
    }
}

/// `RelievingConnector` closes idle connections of callers when there are no descriptors for a
/// connection, and opens it again.
pub struct RelievingConnector {
    connector: Arc<dyn Connector>,
    callers: Arc<ConnectionSet>,
    clock: SharedClock,
}

impl RelievingConnector {
    /// Creates a connector over `connector` that closes connections of `callers`.
    pub fn new(
        connector: Arc<dyn Connector>,
        callers: Arc<ConnectionSet>,
        clock: SharedClock,
    ) -> Arc<RelievingConnector> {
        Arc::new(RelievingConnector { connector, callers, clock })
    }
}

#[async_trait]
impl Connector for RelievingConnector {
    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Result<TcpStream> {
        let began = self.clock.now();
        let mut is_logged = false;
        loop {
            let spent = self.clock.now().saturating_duration_since(began);
            let connected = self.connector.connect(addr, limit.saturating_sub(spent)).await;
            let is_over = limit.saturating_sub(spent) <= RELIEF_TIME;
            match connected {
                Err(e) if is_shortage(&e) && !is_over => {
                    let closed = relieve(&self.callers);
                    if !std::mem::replace(&mut is_logged, true) {
                        let error = e.to_string();
                        log::warn!(event = "descriptors_short", closed, error = error.as_str(); "");
                    }
                    task::sleep(RELIEF_TIME).await;
                }
                connected => return connected,
            }
        }
    }
}

/// Closes some idle connections of `callers` if the process, which may use `memory_mb` MiB, uses
/// nearly all of it.
pub fn relieve_memory(callers: &ConnectionSet, memory_mb: u64) {
    let used_mb = process_memory().unwrap_or_default() / (1024 * 1024);
    if used_mb.saturating_mul(100) > memory_mb.saturating_mul(HIGH_MEMORY_PERCENT) {
        let closed = relieve(callers);
        log::warn!(event = "memory_short", used_mb, closed; "");
    }
}

/// Closes some idle connections of `callers`, those first that have been idle for longest.
/// Returns the number of connections that were closed.
pub fn relieve(callers: &ConnectionSet) -> usize {
    callers.close_idle(RELIEF)
}

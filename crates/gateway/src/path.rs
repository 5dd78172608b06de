//! The `path` module watches whether this host can reach the backend servers at all.
//!
//! It stands between the host and its connector and sees the outcome of each connection.
//! `aspenloft_policy::own_path` decides what they show.

use std::net::SocketAddr;
use std::sync::Weak;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, SharedClock};
use aspenloft_policy::own_path::{OwnPath, PathState};
use aspenloft_transport::connector::Connector;
use aspenloft_transport::socket::is_shortage;
use async_std::net::TcpStream;
use async_std::task;
use async_trait::async_trait;
use parking_lot::Mutex;

use crate::reach::ReachProbe;

/// The interval between checks while the path is cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// `PathMonitor` is a connector that watches the path to the backend servers.
pub struct PathMonitor {
    connector: Arc<dyn Connector>,
    reach: Arc<ReachProbe>,
    clock: SharedClock,
    path: Mutex<OwnPath>,
    weak_self: Weak<PathMonitor>,
}

impl PathMonitor {
    /// Creates a monitor of the connections that `connector` opens. Doubts are settled by
    /// connections of `reach`.
    pub fn new(
        connector: Arc<dyn Connector>,
        reach: Arc<ReachProbe>,
        clock: SharedClock,
    ) -> Arc<PathMonitor> {
        Arc::new_cyclic(|weak_self| PathMonitor {
            connector,
            reach,
            clock,
            path: Mutex::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// Returns whether no server can be reached.
    pub fn is_cut(&self) -> bool {
        self.path.lock().state() == PathState::Cut
    }

    /// Returns whether several servers have failed lately, with no success since.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.path.lock().is_suspect(now)
    }

    fn record(&self, addr: SocketAddr, connected: bool) {
        if connected {
            if self.path.lock().record_success() {
                self.log_change(false);
            }
            return;
        }
        let is_doubted = self.path.lock().record_failure(addr, self.clock.now());
        if is_doubted && let Some(monitor) = self.weak_self.upgrade() {
            task::spawn(monitor.check());
        }
    }

    /// Checks the path until it is open.
    async fn check(self: Arc<Self>) {
        loop {
            let reached = self.reach.reaches_any().await;
            let changed = self.path.lock().record_check(reached, self.clock.now());
            if changed {
                self.log_change(!reached);
            }
            if reached {
                return;
            }
            task::sleep(CHECK_INTERVAL).await;
            if !self.is_cut() {
                return;
            }
        }
    }

    fn log_change(&self, is_cut: bool) {
        log::warn!(event = "path_changed", is_cut; "");
    }
}

#[async_trait]
impl Connector for PathMonitor {
    async fn connect(&self, addr: SocketAddr, limit: Duration) -> std::io::Result<TcpStream> {
        let connected = self.connector.connect(addr, limit).await;
        // A shortage on this host says nothing of the path.
        if !connected.as_ref().is_err_and(is_shortage) {
            self.record(addr, connected.is_ok());
        }
        connected
    }
}

//! The `reach` module tells a server whose process has ended from one to which only this
//! host has lost its path.
//!
//! A connection that fails shows neither by itself. Another server that can be reached shows
//! that this host's path works, and other hosts that reach the server show that it runs; see
//! `docs/design/crash-causes.md`.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_core::prelude::{Arc, SharedClock};
use aspenloft_transport::connector::Connector;
use aspenloft_transport::socket::is_shortage;
use futures::StreamExt;
use futures::future::join;
use futures::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::roster::Server;
use crate::view::View;

/// The timeout of a connection that shows whether a server can be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// The maximum number of servers by which a host checks its own path.
const MAX_CONTROLS: usize = 4;

/// `Reachability` is what a host knows of a server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// The server accepts connections.
    Reached,
    /// The server accepts none, although others do.
    Unreached,
    /// The host reaches no server, or does not know this one.
    Unknown,
}

impl Reachability {
    /// Returns what hosts know together: one that reaches the server knows best.
    pub fn or(self, other: Reachability) -> Reachability {
        match (self, other) {
            (Reachability::Reached, _) | (_, Reachability::Reached) => Reachability::Reached,
            (Reachability::Unreached, _) | (_, Reachability::Unreached) => Reachability::Unreached,
            _ => Reachability::Unknown,
        }
    }
}

/// `ReachProbe` opens connections to servers without sending anything on them.
pub struct ReachProbe {
    connector: Arc<dyn Connector>,
    view: Arc<View>,
    clock: SharedClock,
    /// The number of checks so far, which decides by which servers the next one is made.
    checks: AtomicUsize,
}

impl ReachProbe {
    /// Creates a probe of the servers in `view`.
    pub fn new(
        connector: Arc<dyn Connector>,
        view: Arc<View>,
        clock: SharedClock,
    ) -> Arc<ReachProbe> {
        Arc::new(ReachProbe { connector, view, clock, checks: AtomicUsize::new(0) })
    }

    /// Returns whether a server at `addr` accepts connections, or `None` if this host cannot
    /// open any.
    pub async fn connects(&self, addr: SocketAddr) -> Option<bool> {
        match self.connector.connect(addr, PROBE_TIMEOUT).await {
            Ok(_) => Some(true),
            Err(e) => (!is_shortage(&e)).then_some(false),
        }
    }

    /// Returns whether the server with the key `key` can be reached from this host.
    pub async fn check(&self, key: u64) -> Reachability {
        let Some(server) = self.view.roster().by_key(key).cloned() else {
            return Reachability::Unknown;
        };
        match join(self.connects(server.entry.addr), self.reaches_another(&server)).await {
            (Some(true), _) => Reachability::Reached,
            (Some(false), true) => Reachability::Unreached,
            (Some(false), false) | (None, _) => Reachability::Unknown,
        }
    }

    /// Returns whether a server other than `server` can be reached, one of another service if
    /// there is one: all of a service may have ended.
    async fn reaches_another(&self, server: &Server) -> bool {
        self.reaches_one_of(|s| {
            (s.key != server.key).then_some(s.entry.service == server.entry.service)
        })
        .await
    }

    /// Returns whether any server can be reached. Others are tried each time.
    pub async fn reaches_any(&self) -> bool {
        self.reaches_one_of(|_| Some(false)).await
    }

    /// Returns whether one of a few servers can be reached, first of those for which `rank` is
    /// false, and none of those for which it is `None`.
    async fn reaches_one_of(&self, rank: impl Fn(&Server) -> Option<bool>) -> bool {
        let (roster, now) = (self.view.roster(), self.clock.now());
        let seed = self.checks.fetch_add(1, Ordering::Relaxed);
        let staying = roster.all().filter(|s| s.is_staying(now));
        let mut controls: Vec<(_, SocketAddr)> = staying
            .filter_map(|s| {
                let order = xxh3_64_with_seed(&seed.to_ne_bytes(), s.key);
                Some(((!s.seems_reachable(now), rank(s)?, order), s.entry.addr))
            })
            .collect();
        controls.sort_unstable();
        controls.truncate(MAX_CONTROLS);
        let mut probes: FuturesUnordered<_> =
            controls.into_iter().map(|(_, addr)| self.connects(addr)).collect();
        while let Some(connected) = probes.next().await {
            if connected == Some(true) {
                return true;
            }
        }
        false
    }
}

//! The `own_path` module decides whether a host has lost its path to all backend servers, as
//! opposed to servers that are down.
//!
//! It handles connection attempts as they succeed and fail. Failures at several servers only
//! raise a doubt; connections to servers that have not failed settle it. See
//! `docs/design/forwarding.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The number of servers that must fail, with no success between, for the path to be doubted.
const MIN_FAILED: usize = 2;

/// How long a failed attempt counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);

/// How long the path is not doubted again after a check that succeeded: the servers that
/// failed are down.
const DOUBT_INTERVAL: Duration = Duration::from_secs(1);

/// `PathState` is the state of the path from one host to the backend servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PathState {
    /// Some server can be reached.
    #[default]
    Open,
    /// Several servers cannot be reached, and others are being checked.
    Doubted,
    /// No server can be reached.
    Cut,
}

/// `OwnPath` tracks the attempts of one host to connect to backend servers.
#[derive(Debug, Default)]
pub struct OwnPath {
    state: PathState,
    failed: HashMap<SocketAddr, Instant>,
    checked_at: Option<Instant>,
}

impl OwnPath {
    /// Returns the state of the path.
    pub fn state(&self) -> PathState {
        self.state
    }

    /// Returns whether several servers have failed lately, with no success since.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let recent = self.failed.values().filter(|at| is_recent(**at, now));
        recent.count() >= MIN_FAILED
    }

    /// Records that a server accepted a connection. Returns whether the path was cut until
    /// then.
    pub fn record_success(&mut self) -> bool {
        let was_cut = self.state == PathState::Cut;
        self.failed.clear();
        self.state = PathState::Open;
        was_cut
    }

    /// Records that the server at `addr` accepted no connection. Returns whether the path is
    /// now to be checked.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Instant) -> bool {
        self.failed.retain(|_, at| is_recent(*at, now));
        self.failed.insert(addr, now);
        let was_checked =
            self.checked_at.is_some_and(|at| now.saturating_duration_since(at) < DOUBT_INTERVAL);
        let doubted = self.state == PathState::Open && self.failed.len() >= MIN_FAILED;
        if doubted && !was_checked {
            self.state = PathState::Doubted;
            return true;
        }
        false
    }

    /// Records whether a check reached any server. Returns whether the path is cut or open
    /// unlike before.
    pub fn record_check(&mut self, reached: bool, now: Instant) -> bool {
        let before = self.state;
        self.state = if reached { PathState::Open } else { PathState::Cut };
        if reached {
            self.checked_at = Some(now);
        }
        (before == PathState::Cut) != (self.state == PathState::Cut)
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < FAILURE_TTL
}

//! The `server_limits` module holds what a host knows of the rates of requests that
//! backend servers in need accept from all hosts together.
//!
//! A host learns of a limit from a response of the server or from another host, and the
//! newest statement counts. Ages are exchanged instead of times, because clocks of hosts
//! differ. [`crate::permits`] keeps the limits; `docs/design/server-limits.md` describes
//! both.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime};

use aspenloft_core::clock::after;
use aspenloft_core::prelude::{Arc, SharedClock};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::dialect::{RateLimit, ResponseMetadata};
use crate::metrics::Metrics;
use crate::roster::Server;

/// The minimum interval between two log lines on the sends to one server.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long other hosts are told that a limit was lifted.
const LIFTED_PERIOD: Duration = Duration::from_secs(10);

/// The maximum number of limits that a host tells others in one message.
const MAX_NOTICES: usize = 24;

/// How much more the wall clock than the monotonic clock must have advanced for the host
/// to count as suspended meanwhile.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);

/// `LimitNotice` is what one host tells another of a server's limit.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The key of the server; see [`Server::key`].
    pub server: u64,
    /// The requests per second that the server accepts; `None` if it has lifted its limit.
    pub per_s: Option<f64>,
    /// How long ago the server said so.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// What is known of the limit of one server.
#[derive(Debug)]
struct KnownLimit {
    /// The requests per second; `None` if the limit was lifted.
    per_s: Option<f64>,
    /// When the server said so.
    heard: Instant,
    /// When this host may send the next request, as far as it knows.
    free_at: Option<Instant>,
    /// The sends since `counted_from`.
    sent: u32,
    counted_from: Instant,
}

#[derive(Debug)]
struct State {
    known: HashMap<u64, KnownLimit>,
    /// The clocks when the state was last used.
    last_used: (Instant, SystemTime),
}

impl State {
    /// Ages what is known by the time in which the host was suspended, which the monotonic
    /// clock does not count. Otherwise the host would pass on as new what is out of date.
    fn add_suspension(&mut self, now: Instant, wall: SystemTime) {
        let (last, last_wall) = self.last_used;
        self.last_used = (now, wall);
        let elapsed = wall.duration_since(last_wall).unwrap_or_default();
        let suspended = elapsed.saturating_sub(now.saturating_duration_since(last));
        if suspended < SUSPENSION_THRESHOLD {
            return;
        }
        for limit in self.known.values_mut() {
            limit.heard = limit.heard.checked_sub(suspended).unwrap_or(limit.heard);
        }
    }

    /// Returns whether a statement of the server that was made at `heard` changes what is
    /// known. An older one than the last does not.
    fn changes(&self, server: u64, per_s: Option<f64>, heard: Instant) -> bool {
        match self.known.get(&server) {
            Some(limit) => heard >= limit.heard && limit.per_s != per_s,
            None => per_s.is_some(),
        }
    }

    /// Records a statement of `server` that was made at `heard`.
    fn record(&mut self, server: &Server, per_s: Option<f64>, heard: Instant, now: Instant) {
        if self.changes(server.key, per_s, heard) {
            log_limit(server, per_s);
            let limit = KnownLimit { per_s, heard, free_at: None, sent: 0, counted_from: now };
            self.known.insert(server.key, limit);
        } else if let Some(limit) = self.known.get_mut(&server.key).filter(|l| l.per_s == per_s) {
            limit.heard = limit.heard.max(heard);
        }
    }
}

/// Returns whether `per_s` can be a number of requests per second.
fn is_rate(per_s: f64) -> bool {
    per_s.is_finite() && per_s >= 0.0
}

fn log_limit(server: &Server, per_s: Option<f64>) {
    let instance = &*server.entry.instance;
    match per_s {
        Some(per_s) => log::info!(event = "server_limited", server = instance, per_s; ""),
        None => log::info!(event = "server_limit_lifted", server = instance; ""),
    }
}

/// `ServerLimits` holds the limits of backend servers as this host knows them.
pub struct ServerLimits {
    clock: SharedClock,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

impl ServerLimits {
    /// Creates the limits of a host that knows of none yet.
    pub fn new(clock: SharedClock, metrics: Arc<Metrics>) -> Arc<ServerLimits> {
        let last_used = (clock.now(), clock.system_time());
        let state = Mutex::new(State { known: HashMap::new(), last_used });
        Arc::new(ServerLimits { clock, metrics, state })
    }

    /// Returns whether no server is known to have a limit, or to have lifted one recently.
    fn is_empty(&self) -> bool {
        self.state.lock().known.is_empty()
    }

    /// Counts a send to `server` and returns its time.
    pub fn record_send(&self, server: &Server) -> Instant {
        if self.is_empty() {
            return self.clock.now();
        }
        self.with_state(|state, now| {
            if let Some(limit) = state.known.get_mut(&server.key).filter(|l| l.per_s.is_some()) {
                limit.sent += 1;
                self.metrics.sent_to_limited();
                log_sends(limit, server, now);
            }
            now
        })
    }

    /// Records whether the response of `server` to a request sent at `sent_at` names a
    /// limit.
    ///
    /// A response without one lifts the limit only if its request was sent after the
    /// limit was last named, because responses may overtake each other.
    pub fn record_response(&self, server: &Server, sent_at: Instant, metadata: &ResponseMetadata) {
        if metadata.misdirected || (metadata.rate_limit.is_none() && self.is_empty()) {
            return;
        }
        self.with_state(|state, now| match metadata.rate_limit {
            Some(RateLimit::PerSecond(per_s)) if is_rate(per_s) => {
                state.record(server, Some(per_s), now, now);
            }
            Some(_) => {
                let instance = &*server.entry.instance;
                log::warn!(event = "server_limit_unreadable", server = instance; "");
            }
            None => {
                let lifted = metadata.sealed
                    && state.known.get(&server.key).is_some_and(|limit| limit.heard <= sent_at);
                if lifted {
                    state.record(server, None, now, now);
                }
            }
        });
    }

    /// Records what another host knows. `find` returns the server with the key in the
    /// notice; limits of servers that are not listed here are left out.
    pub fn record_notice(
        &self,
        notice: &LimitNotice,
        find: impl FnOnce(u64) -> Option<Arc<Server>>,
    ) {
        if notice.per_s.is_some_and(|per_s| !is_rate(per_s)) {
            return;
        }
        self.with_state(|state, now| {
            let heard = now.checked_sub(notice.age).unwrap_or(now);
            let is_known = state.known.contains_key(&notice.server);
            if !is_known && !state.changes(notice.server, notice.per_s, heard) {
                return;
            }
            if let Some(server) = find(notice.server) {
                state.record(&server, notice.per_s, heard, now);
            }
        });
    }

    /// Returns what is known of the limit of `server`, or `None` if it never named one.
    pub fn notice(&self, server: u64) -> Option<LimitNotice> {
        if self.is_empty() {
            return None;
        }
        self.with_state(|state, now| {
            state.known.get(&server).map(|limit| limit.notice(server, now))
        })
    }

    /// Returns the limits to tell other hosts, the newest first, and forgets those of
    /// servers for which `is_listed` does not hold.
    pub fn notices(&self, is_listed: impl Fn(u64) -> bool) -> Vec<LimitNotice> {
        if self.is_empty() {
            return Vec::new();
        }
        self.with_state(|state, now| {
            state.known.retain(|server, limit| {
                let lifted_long_ago = limit.per_s.is_none()
                    && now.saturating_duration_since(limit.heard) > LIFTED_PERIOD;
                is_listed(*server) && !lifted_long_ago
            });
            let notices = state.known.iter().map(|(server, limit)| limit.notice(*server, now));
            let mut notices: Vec<LimitNotice> = notices.collect();
            notices.sort_by_key(|notice| (notice.age, notice.server));
            notices.truncate(MAX_NOTICES);
            notices
        })
    }

    /// Tells whether `server` limits its requests.
    pub fn is_limited(&self, server: &Server) -> bool {
        !self.is_empty()
            && self.with_state(|state, _| {
                state.known.get(&server.key).is_some_and(|limit| limit.per_s.is_some())
            })
    }

    /// Returns how long a request to `server` has to wait at least, as far as this host
    /// knows; zero if the server has no limit.
    pub fn known_wait(&self, server: &Server) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        self.with_state(|state, now| {
            let limit = state.known.get(&server.key).filter(|limit| limit.per_s.is_some());
            let free_at = limit.and_then(|limit| limit.free_at);
            free_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
        })
    }

    /// Records that requests to `server` have to wait for `wait` at least.
    pub fn set_wait(&self, server: u64, wait: Duration) {
        self.with_state(|state, now| {
            if let Some(limit) = state.known.get_mut(&server) {
                limit.free_at = Some(after(now, wait));
            }
        });
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State, Instant) -> T) -> T {
        let mut state = self.state.lock();
        let now = self.clock.now();
        state.add_suspension(now, self.clock.system_time());
        f(&mut state, now)
    }
}

impl KnownLimit {
    fn notice(&self, server: u64, now: Instant) -> LimitNotice {
        let age = now.saturating_duration_since(self.heard);
        LimitNotice { server, per_s: self.per_s, age }
    }
}

fn log_sends(limit: &mut KnownLimit, server: &Server, now: Instant) {
    let span = now.saturating_duration_since(limit.counted_from);
    if span < LOG_INTERVAL {
        return;
    }
    let (span_ms, sent) = (span.as_millis() as u64, limit.sent);
    log::info!(
        event = "limited_sends", server = &*server.entry.instance,
        per_s = limit.per_s.unwrap_or_default(), sent, span_ms; ""
    );
    (limit.sent, limit.counted_from) = (0, now);
}

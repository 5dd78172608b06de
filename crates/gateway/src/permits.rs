//! The `permits` module keeps the limits of backend servers over all hosts together.
//!
//! Each send needs a [`SendPermit`]. For a server with a limit, the permit is booked at
//! the server's home, one live host on which all hosts agree. A host that cannot reach the
//! home sends nothing to the server until hosts agree on another one.
//! `docs/design/server-limits.md` gives the bounds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Host, SharedClock};
use aspenloft_policy::request_pacer::{Booking, MAX_WAIT, RequestPacer, booked_rate};
use async_std::task;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::peers::Peers;
use crate::roster::Server;
use crate::server_limits::{LimitNotice, ServerLimits};
use crate::view::View;

/// How long a server is left out after its home did not answer or was not agreed on.
const HOME_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a permit is valid. Permits that are kept longer would add up with newer ones.
const PERMIT_TTL: Duration = Duration::from_millis(500);

/// The shortest time for which a server is left out after a refusal.
const MIN_REFUSED_WAIT: Duration = Duration::from_millis(5);

/// How long a home keeps the pacer of a server that nobody asks for.
const PACER_TTL: Duration = Duration::from_secs(60);

/// `PermitRequest` asks the home of a server for the time of one request.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the sender knows of the server's limit.
    pub limit: LimitNotice,
    /// How long the request can wait.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_wait: Duration,
}

/// `PermitReply` is the answer of a server's home.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may be sent after this wait.
    Granted(#[serde_as(as = "DurationMilliSeconds<u64>")] Duration),
    /// The wait would be this long, which exceeds the request's.
    Refused(#[serde_as(as = "DurationMilliSeconds<u64>")] Duration),
    /// The server has lifted its limit, as it said so long ago.
    Lifted(#[serde_as(as = "DurationMilliSeconds<u64>")] Duration),
    /// The host is not the server's home.
    NotHome,
}

/// `SendPermit` is the right to send one request to a backend server.
#[derive(Debug)]
#[must_use]
pub struct SendPermit {
    server: u64,
    /// When it expires; `None` if the server has no limit.
    expires: Option<Instant>,
}

impl SendPermit {
    /// Returns whether the permit is for `server`.
    pub fn is_for(&self, server: &Server) -> bool {
        self.server == server.key
    }

    /// Returns whether the permit is for `server` and has not expired.
    pub fn is_valid(&self, server: &Server, now: Instant) -> bool {
        self.is_for(server) && self.expires.is_none_or(|at| now < at)
    }
}

/// `LimitReached` is the reason why a request gets no permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReached {
    /// When a request that can wait as long is expected to get one.
    pub retry_after: Duration,
}

/// `Permits` issues the permits of this host, and those of the servers whose home it is.
pub struct Permits {
    limits: Arc<ServerLimits>,
    peers: Arc<Peers>,
    view: Arc<View>,
    clock: SharedClock,
    pacers: Mutex<HashMap<u64, HomePacer>>,
}

/// The pacer of a server whose home this host is.
struct HomePacer {
    pacer: RequestPacer,
    used: Instant,
}

impl Permits {
    /// Creates the permits of the host of `peers`.
    pub fn new(
        limits: Arc<ServerLimits>,
        peers: Arc<Peers>,
        view: Arc<View>,
        clock: SharedClock,
    ) -> Arc<Permits> {
        Arc::new(Permits { limits, peers, view, clock, pacers: Mutex::default() })
    }

    /// Returns whether `server` limits its requests.
    pub fn is_limited(&self, server: &Server) -> bool {
        self.limits.is_limited(server)
    }

    /// Returns how long a request to `server` has to wait at least, as far as this host
    /// knows.
    pub fn known_wait(&self, server: &Server) -> Duration {
        self.limits.known_wait(server)
    }

    /// Waits until a request may be sent to `server`, up to `max_wait`. Returns an error at
    /// once if the wait would be longer, or if the server has begun to leave since it was
    /// chosen.
    pub async fn acquire(
        &self,
        server: &Server,
        max_wait: Duration,
    ) -> Result<SendPermit, LimitReached> {
        if !self.is_staying(server) {
            return Err(LimitReached { retry_after: Duration::ZERO });
        }
        let limit = self.limits.notice(server.key).filter(|limit| limit.per_s.is_some());
        let Some(limit) = limit else { return Ok(self.unlimited(server)) };
        let known_wait = self.limits.known_wait(server);
        if known_wait > max_wait {
            return Err(LimitReached { retry_after: known_wait.saturating_sub(max_wait) });
        }
        let req = PermitRequest { limit, max_wait };
        let reply = match self.peers.home_of(server) {
            None => self.book(&req),
            Some(home) => self.ask(&home, &req).await,
        };
        match reply {
            PermitReply::Granted(wait) => {
                let wait = wait.min(MAX_WAIT);
                self.limits.set_wait(server.key, wait);
                if !wait.is_zero() {
                    task::sleep(wait).await;
                }
                if !self.is_staying(server) {
                    return Err(LimitReached { retry_after: Duration::ZERO });
                }
                let expires = Some(self.clock.now() + PERMIT_TTL);
                Ok(SendPermit { server: server.key, expires })
            }
            PermitReply::Refused(wait) => {
                let wait = wait.clamp(MIN_REFUSED_WAIT, MAX_WAIT);
                self.limits.set_wait(server.key, wait);
                Err(LimitReached { retry_after: wait.saturating_sub(max_wait) })
            }
            PermitReply::Lifted(age) => {
                let lifted = LimitNotice { per_s: None, age, ..limit };
                self.limits.record_notice(&lifted, |key| self.view.roster().by_key(key).cloned());
                Ok(self.unlimited(server))
            }
            PermitReply::NotHome => {
                self.limits.set_wait(server.key, HOME_RETRY_DELAY);
                Err(LimitReached { retry_after: HOME_RETRY_DELAY })
            }
        }
    }

    /// Returns a permit for a call that can be left out, if `server` has no limit.
    pub fn try_optional(&self, server: &Server) -> Option<SendPermit> {
        (!self.limits.is_limited(server)).then(|| self.unlimited(server))
    }

    /// Returns whether `server` may still get requests: it may have announced meanwhile that
    /// it is leaving.
    fn is_staying(&self, server: &Server) -> bool {
        let (roster, now) = (self.view.roster(), self.clock.now());
        roster.get(&server.entry.instance).is_some_and(|listed| listed.is_staying(now))
    }

    fn unlimited(&self, server: &Server) -> SendPermit {
        SendPermit { server: server.key, expires: None }
    }

    async fn ask(&self, home: &Host, req: &PermitRequest) -> PermitReply {
        match self.peers.request_permit(home, req).await {
            Ok(reply) => reply,
            Err(e) => {
                let error = e.to_string();
                log::info!(event = "permit_unanswered", peer = &*home.name, error = error.as_str(); "");
                PermitReply::NotHome
            }
        }
    }

    /// Answers the request of another host.
    pub fn serve(&self, req: &PermitRequest) -> PermitReply {
        let server = self.view.roster().by_key(req.limit.server).cloned();
        match server.is_some_and(|server| self.peers.home_of(&server).is_none()) {
            true => self.book(req),
            false => PermitReply::NotHome,
        }
    }

    /// Books the time of one request at this host.
    fn book(&self, req: &PermitRequest) -> PermitReply {
        let roster = self.view.roster();
        self.limits.record_notice(&req.limit, |key| roster.by_key(key).cloned());
        let newest = self.limits.notice(req.limit.server).unwrap_or(req.limit);
        let Some(per_s) = newest.per_s else { return PermitReply::Lifted(newest.age) };
        let (live, listed) = self.peers.live_and_listed();
        let rate = booked_rate(per_s, live, listed);
        let now = self.clock.now();
        let mut pacers = self.pacers.lock();
        pacers.retain(|_, kept| now.saturating_duration_since(kept.used) < PACER_TTL);
        let home = pacers
            .entry(newest.server)
            .or_insert_with(|| HomePacer { pacer: RequestPacer::new(rate, now), used: now });
        home.used = now;
        home.pacer.set_rate(rate, now);
        match home.pacer.book(req.max_wait, now) {
            Booking::Granted(wait) => PermitReply::Granted(wait),
            Booking::Refused(wait) => PermitReply::Refused(wait),
        }
    }
}

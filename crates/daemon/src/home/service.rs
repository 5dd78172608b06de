//! The `service` module handles the peer calls to this host as the home of backend
//! servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::prelude::{Backend, BackendRole, Name, ReservationId, SharedClock};
use aspenloft_core::suspects::{Fingerprint, SuspectStatus};
use aspenloft_protocol::engine::{EngineClient, HoldState, ModelEngine};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::home::{HomeReply, HomeRequest, ReserveRequest};
use parking_lot::Mutex;

use super::backend_tracker::BackendTracker;
use super::claims::Claims;
use super::crashes::CrashChecks;
use crate::node::Node;
use crate::peers::ReplySender;
use crate::suspects;
use crate::view::View;

/// How long an engine keeps a request that its host does not extend. It bounds how
/// long a lost cancellation can occupy memory; see `docs/PROMISES.md`.
pub const ENGINE_HOLD_TTL: Duration = Duration::from_millis(1_500);

/// `HomeService` handles calls for the backend servers whose home this host is.
pub struct HomeService {
    pub(super) clock: SharedClock,
    pub(super) view: Arc<View>,
    pub(super) claims: Arc<Claims>,
    pub(super) crashes: CrashChecks,
    trackers: Mutex<HashMap<Name, BackendTracker>>,
    next_reservation: AtomicU64,
}

impl HomeService {
    /// Creates the service without any trackers; each is created on first use.
    pub fn new(clock: SharedClock, view: Arc<View>) -> HomeService {
        HomeService {
            clock,
            view,
            claims: Arc::default(),
            crashes: CrashChecks::default(),
            trackers: Mutex::default(),
            next_reservation: AtomicU64::new(1),
        }
    }

    /// Handles one call and sends its replies through `tx`.
    pub async fn handle(&self, node: &Arc<Node>, req: HomeRequest, tx: ReplySender) {
        let result = match req {
            HomeRequest::Reserve(req) => self.reserve(node, req, &tx).await,
            HomeRequest::Release { backend, reservation } => {
                self.release(&backend, reservation);
                tx.send(PeerReply::Home(HomeReply::Released)).await
            }
            HomeRequest::Prefill(req) => self.prefill(node, req, &tx).await,
            HomeRequest::Decode(req) => self.decode(node, req, &tx).await,
        };
        if let Err(e) = result {
            // The send fails if the peer has ended the call; then the error is not
            // needed.
            let _ = tx.send(PeerReply::Failed(e)).await;
        }
    }

    /// Returns the number of unexpired reservations on all backend servers.
    pub fn reservation_count(&self) -> usize {
        let now = self.clock.now();
        let mut trackers = self.trackers.lock();
        let counts = trackers.values_mut().map(|tracker| {
            tracker.expire(now);
            tracker.reservation_count()
        });
        counts.sum()
    }

    async fn reserve(&self, node: &Arc<Node>, req: ReserveRequest, tx: &ReplySender) -> Result<()> {
        let backend = self.accepting_backend(&req.backend)?;
        suspects::reject_convicted(node, req.fingerprint)?;
        if !self.with_tracker(&backend.name, |tracker| tracker.counts_known) {
            self.refresh_slots(&backend).await?;
        }
        let id = ReservationId(self.next_reservation.fetch_add(1, Ordering::Relaxed));
        let now = self.clock.now();
        let suspect = suspects::status(node, req.fingerprint) == SuspectStatus::Suspect;
        let running = if suspect { self.running_suspects(node, &backend) } else { Vec::new() };
        let reserved = self.with_tracker(&backend.name, |tracker| {
            // Each suspect runs on a server without another suspect, so that a second
            // crash identifies the cause. The check and the insertion happen under one
            // lock, because all suspects of a crash are retried at the same time.
            if suspect && tracker.has_other_suspect(&running, req.fingerprint, now) {
                return Err(tracker.state(backend.role, now));
            }
            tracker.reserve(backend.role, id, &req, now)?;
            if suspect {
                tracker.add_suspect(id, req.fingerprint);
            }
            Ok(())
        });
        let reply = match reserved {
            Ok(()) => HomeReply::Reserved(id),
            Err(state) => HomeReply::Refused(state),
        };
        self.publish(&backend);
        let sent = tx.send(PeerReply::Home(reply)).await;
        if sent.is_err() {
            self.release(&backend.name, id);
        }
        sent
    }

    /// Returns the suspects that this host executes on a server.
    fn running_suspects(&self, node: &Node, backend: &Backend) -> Vec<Fingerprint> {
        let running = self.claims.running(&backend.name).into_iter().map(|(_, f)| f);
        running.filter(|f| suspects::status(node, *f) == SuspectStatus::Suspect).collect()
    }

    /// Returns a listed backend server, or an error if it is leaving.
    pub(super) fn accepting_backend(&self, name: &str) -> Result<Backend> {
        let backend = self.view.backend(name)?;
        if backend.leaving {
            return Err(Error::new(ErrorCode::NoBackend, "the backend server is leaving"));
        }
        Ok(backend)
    }

    /// Reads an engine's slot counts. A new home does so before it reserves anything,
    /// because streams that the previous home started continue.
    pub(super) async fn refresh_slots(&self, backend: &Backend) -> Result<()> {
        let engine = engine_client(backend);
        let read = async { Ok((engine.load().await?, engine.holds().await?)) };
        let (load, holds) = read.await.inspect_err(|e| self.record_failure(backend, e))?;
        let claims = self.claims.requests_on(&backend.name);
        let external = holds
            .iter()
            .filter(|hold| occupies_slot(hold.state) && !claims.contains(&hold.request));
        let external = external.count() as u32;
        self.with_tracker(&backend.name, |tracker| tracker.set_slot_counts(load.slots, external));
        Ok(())
    }

    /// Records a failed call to an engine and publishes its new state.
    pub(super) fn record_failure(&self, backend: &Backend, e: &Error) {
        let now = self.clock.now();
        self.with_tracker(&backend.name, |tracker| tracker.record_failure(e, now));
        self.publish(backend);
    }

    /// Publishes the state of a backend server to the entry hosts.
    pub(super) fn publish(&self, backend: &Backend) {
        let now = self.clock.now();
        let state = self.with_tracker(&backend.name, |tracker| {
            tracker.expire(now);
            tracker.state(backend.role, now)
        });
        self.view.publish(&backend.name, state, now);
    }

    /// Releases a reservation.
    pub(super) fn release(&self, backend: &Name, id: ReservationId) {
        let now = self.clock.now();
        self.with_tracker(backend, |tracker| tracker.release(id, now));
    }

    /// Calls `f` with the locked tracker of a backend server.
    pub(super) fn with_tracker<R>(
        &self,
        backend: &Name,
        f: impl FnOnce(&mut BackendTracker) -> R,
    ) -> R {
        f(self.trackers.lock().entry(backend.clone()).or_default())
    }

    /// Removes the trackers of servers that `keep` rejects and that have no
    /// reservations.
    pub(super) fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.trackers.lock().retain(|name, tracker| keep(name) || tracker.reservation_count() > 0);
    }
}

/// Returns whether a hold in this state occupies a decode slot.
pub(super) fn occupies_slot(state: HoldState) -> bool {
    matches!(state, HoldState::Importing | HoldState::Decoding)
}

/// Returns whether a backend server is a model engine.
pub(super) fn is_engine(backend: &Backend) -> bool {
    backend.role != BackendRole::Service
}

/// Creates a client of the engine of a backend server.
pub(super) fn engine_client(backend: &Backend) -> EngineClient {
    EngineClient::new(backend.addr)
}

/// `ReservationGuard` releases a reservation when dropped.
pub(super) struct ReservationGuard<'a> {
    pub home: &'a HomeService,
    pub backend: &'a Name,
    pub id: ReservationId,
}

impl Drop for ReservationGuard<'_> {
    fn drop(&mut self) {
        self.home.release(self.backend, self.id);
    }
}

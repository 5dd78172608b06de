//! The `service` module holds the accounts of the backend servers whose home this
//! host is.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::prelude::{Backend, Name, RequestId, ReservationId, SharedClock};
use aspenloft_policy::reservations::{Begin, Reservations, SlotRequest};
use aspenloft_protocol::engine::{CancelCommand, EngineClient, ModelEngine};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::home::{HomeReply, HomeRequest, ReserveRequest};
use parking_lot::Mutex;

use crate::cleanup::OnDrop;
use crate::peers::ReplySender;
use crate::view::View;

/// How long a slot is taken to be in use where nothing better is known.
const START_EXPECTED: Duration = Duration::from_secs(5);

/// How long an engine keeps work without sign of life from its home.
pub const ENGINE_HOLD: Duration = Duration::from_secs(2);

/// How often a cancellation is tried before the sweep must find the rest.
const CANCEL_TRIES: u32 = 3;

/// `HomeService` serves the calls to the home of backend servers.
pub struct HomeService {
    pub(super) clock: SharedClock,
    pub(super) view: Arc<View>,
    books: Mutex<HashMap<Name, Reservations>>,
    next: AtomicU64,
}

impl HomeService {
    /// Creates the service with no accounts yet.
    pub fn new(clock: SharedClock, view: Arc<View>) -> HomeService {
        HomeService { clock, view, books: Mutex::default(), next: AtomicU64::new(1) }
    }

    /// Serves one call.
    pub async fn handle(&self, req: HomeRequest, tx: ReplySender) {
        let served = match req {
            HomeRequest::Reserve(req) => self.reserve(req, &tx).await,
            HomeRequest::Release { backend, reservation } => {
                self.release(&backend, reservation);
                tx.send(PeerReply::Home(HomeReply::Released)).await
            }
            HomeRequest::Prefill(req) => self.prefill(req, &tx).await,
            HomeRequest::Decode(req) => self.decode(req, &tx).await,
        };
        if let Err(e) = served {
            // A peer that no longer listens needs no word of the failure.
            let _ = tx.send(PeerReply::Failed(e)).await;
        }
    }

    async fn reserve(&self, req: ReserveRequest, tx: &ReplySender) -> Result<()> {
        let backend = self.view.backend(&req.backend)?;
        if backend.leaving {
            return Err(Error::new(ErrorCode::NoBackend, "the backend server is leaving"));
        }
        self.learn_slots(&backend).await?;
        let reply = self.take(&req);
        tx.send(PeerReply::Home(reply)).await
    }

    /// Asks the engine for its slots at the first reservation.
    async fn learn_slots(&self, backend: &Backend) -> Result<()> {
        let known = self.books.lock().get(&backend.name).is_some_and(|book| book.slots() > 0);
        if known {
            return Ok(());
        }
        let load = engine(backend).load().await?;
        self.books.lock().entry(backend.name.clone()).or_default().set_slots(load.slots);
        Ok(())
    }

    fn take(&self, req: &ReserveRequest) -> HomeReply {
        let id = ReservationId(self.next.fetch_add(1, Ordering::Relaxed));
        let now = self.clock.now();
        let ask = SlotRequest {
            id,
            request: req.request.clone(),
            starts: now + req.starts_in,
            expected: START_EXPECTED,
            priority: req.priority,
        };
        let mut books = self.books.lock();
        let book = books.entry(req.backend.clone()).or_default();
        match book.reserve(ask, now) {
            Ok(()) => HomeReply::Reserved(id),
            Err(state) => HomeReply::Refused(state),
        }
    }

    /// Extends a reservation for as long as its work may run.
    pub(super) fn begin(&self, backend: &Name, id: ReservationId, limit: Duration) -> Result<()> {
        let now = self.clock.now();
        let mut books = self.books.lock();
        let begun = books.get_mut(backend).map(|book| book.begin(id, limit, now));
        if begun == Some(Begin::Started) {
            return Ok(());
        }
        Err(Error::new(ErrorCode::Timeout, "the reservation has lapsed"))
    }

    /// Returns the number of reservations that stand.
    pub fn reserved(&self) -> usize {
        let now = self.clock.now();
        self.books.lock().values().map(|book| book.standing(now)).sum()
    }

    /// Gives a reservation back.
    pub(super) fn release(&self, backend: &Name, id: ReservationId) {
        if let Some(book) = self.books.lock().get_mut(backend) {
            book.release(id);
        }
    }
}

/// Reaches the engine of a backend server.
pub(super) fn engine(backend: &Backend) -> EngineClient {
    EngineClient::new(backend.addr)
}

/// Makes a guard that cancels `request` on `backend` when it is dropped.
pub(super) fn cancel_on_drop(backend: &Backend, request: &RequestId) -> OnDrop {
    let engine = engine(backend);
    let command = CancelCommand { request: request.clone() };
    OnDrop::new(async move {
        for _ in 0..CANCEL_TRIES {
            if engine.cancel(&command).await.is_ok() {
                return;
            }
        }
        log::warn!(event = "cancel_failed", request = command.request.as_str(); "");
    })
}

//! The `shutdown` module tracks the stage of a host's graceful shutdown and the work
//! in flight, so that no request is cut off. `docs/OPERATING.md` gives the steps and
//! their time limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_protocol::peer::home::HomeRequest;
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use async_std::task;
use async_trait::async_trait;

use crate::peers::{PeerHandler, ReplySender};

/// The `Retry-After` of a refusal while draining. By then the balancer sends the
/// caller to another host.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often a shutdown checks whether work is still in flight.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often the host checks whether an operator has requested a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// `Stage` is the stage of a host's graceful shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// The host serves normally.
    Serving,
    /// The host has announced that it is leaving, but still accepts new requests,
    /// because the balancer needs some time to notice.
    Leaving,
    /// New requests are refused; requests in flight finish.
    Draining,
}

/// `Shutdown` holds the stage of the shutdown and counts the work in flight.
#[derive(Debug, Default)]
pub struct Shutdown {
    stage: AtomicU8,
    requests: AtomicUsize,
    peer_calls: AtomicUsize,
    stop_requested: AtomicBool,
}

impl Shutdown {
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::SeqCst) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Draining,
        }
    }

    /// Returns whether a shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.stage() > Stage::Serving
    }

    /// Advances to `stage`, unless that or a later one is already reached. Returns
    /// whether the stage changed.
    pub fn advance(&self, stage: Stage) -> bool {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst) < stage as u8
    }

    /// Counts a caller's request as in flight, or refuses it if the host is draining.
    pub fn admit(self: &Arc<Self>) -> Result<InFlight> {
        // Count before checking the stage: otherwise a drain could see no request in
        // flight while one is being admitted.
        let counted = InFlight::count(self, WorkKind::Request);
        if self.stage() == Stage::Draining {
            let refusal = Error::new(ErrorCode::NotReady, "this host is leaving");
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        Ok(counted)
    }

    /// Returns the number of callers' requests in flight.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of calls from other hosts in flight.
    pub fn peer_calls(&self) -> usize {
        self.peer_calls.load(Ordering::SeqCst)
    }

    /// Requests a stop, as an operator does through the administration API.
    pub fn request_stop(&self) {
        self.stop_requested.store(true, Ordering::SeqCst);
    }

    /// Waits until a stop is requested with [`Shutdown::request_stop`].
    pub async fn stop_requested(&self) {
        while !self.stop_requested.load(Ordering::SeqCst) {
            task::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Waits until no request and no peer call is in flight.
    pub async fn drained(&self) {
        while self.requests() + self.peer_calls() > 0 {
            task::sleep(POLL_INTERVAL).await;
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum WorkKind {
    Request,
    PeerCall,
}

/// `InFlight` counts one request or peer call as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    shutdown: Arc<Shutdown>,
    kind: WorkKind,
}

impl InFlight {
    fn count(shutdown: &Arc<Shutdown>, kind: WorkKind) -> InFlight {
        let counted = InFlight { shutdown: shutdown.clone(), kind };
        counted.counter().fetch_add(1, Ordering::SeqCst);
        counted
    }

    fn counter(&self) -> &AtomicUsize {
        match self.kind {
            WorkKind::Request => &self.shutdown.requests,
            WorkKind::PeerCall => &self.shutdown.peer_calls,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.counter().fetch_sub(1, Ordering::SeqCst);
    }
}

/// `DrainHandler` counts the calls from other hosts and, while the host is draining,
/// refuses those that would bring new work. Before that it accepts them, because the
/// other hosts learn only from the next heartbeats that the homes have moved.
pub struct DrainHandler {
    /// The handler of the accepted calls.
    pub inner: Arc<dyn PeerHandler>,
    /// The stage to check and the counters to update.
    pub shutdown: Arc<Shutdown>,
}

#[async_trait]
impl PeerHandler for DrainHandler {
    async fn handle(&self, req: PeerRequest, tx: ReplySender) {
        let starts_work = matches!(req, PeerRequest::Home(HomeRequest::Reserve(_)));
        if starts_work && self.shutdown.stage() == Stage::Draining {
            let refusal = Error::new(ErrorCode::NotReady, "the home host is leaving");
            let _ = tx.send(PeerReply::Failed(refusal)).await;
            return;
        }
        let _counted = match &req {
            PeerRequest::Home(_) | PeerRequest::Ledger(_) => {
                Some(InFlight::count(&self.shutdown, WorkKind::PeerCall))
            }
            _ => None,
        };
        self.inner.handle(req, tx).await;
    }
}

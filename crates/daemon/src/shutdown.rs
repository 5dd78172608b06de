//! The `shutdown` module is a host's graceful stop: it cuts off no request in
//! flight. `docs/OPERATING.md` gives the steps and their bounds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_protocol::peer::home::HomeRequest;
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use async_std::task;
use async_trait::async_trait;

use crate::peers::{PeerHandler, ReplySender};

/// When a refused caller should come back; the balancer has another host by then.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often the work in flight is looked at during a stop.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often the operators' word to stop is looked for.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// `Stage` is how far a host is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// Serving.
    Serving,
    /// Leaving, but callers' new requests are still served, because the balancer
    /// needs a moment to notice.
    Leaving,
    /// New requests are refused; those in flight finish.
    Draining,
}

/// `Shutdown` counts the work in flight and holds the stage.
#[derive(Debug, Default)]
pub struct Shutdown {
    stage: AtomicU8,
    requests: AtomicUsize,
    peer_calls: AtomicUsize,
    stop_requested: AtomicBool,
}

impl Shutdown {
    /// Returns the stage.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::SeqCst) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Draining,
        }
    }

    /// Tells whether the host is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.stage() > Stage::Serving
    }

    /// Moves to a later stage; the stage never goes back. Tells whether it moved.
    pub fn advance(&self, stage: Stage) -> bool {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst) < stage as u8
    }

    /// Counts a caller's request, or refuses it when the host takes no more.
    pub fn admit(self: &Arc<Self>) -> Result<InFlight> {
        // Counting comes first, so that a drain that sees none misses none.
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

    /// Returns the number of calls that this host carries out for others.
    pub fn peer_calls(&self) -> usize {
        self.peer_calls.load(Ordering::SeqCst)
    }

    /// Asks the host to stop, as an operator does over the administration API.
    pub fn request_stop(&self) {
        self.stop_requested.store(true, Ordering::SeqCst);
    }

    /// Waits until someone has asked the host to stop.
    pub async fn stop_requested(&self) {
        while !self.stop_requested.load(Ordering::SeqCst) {
            task::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Waits until nothing is in flight.
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

/// `InFlight` counts one piece of work until it is dropped.
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

/// `DrainHandler` counts the calls of other hosts, and refuses those that would bring
/// new work to a draining host. Until then it takes them, because the others hear
/// only with the next heartbeats that the homes have moved.
pub struct DrainHandler {
    /// Who serves the calls.
    pub inner: Arc<dyn PeerHandler>,
    /// The counts and the stage.
    pub shutdown: Arc<Shutdown>,
}

#[async_trait]
impl PeerHandler for DrainHandler {
    async fn handle(&self, req: PeerRequest, tx: ReplySender) {
        let brings_work = matches!(req, PeerRequest::Home(HomeRequest::Reserve(_)));
        if brings_work && self.shutdown.stage() == Stage::Draining {
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

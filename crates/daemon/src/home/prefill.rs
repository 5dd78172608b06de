//! The `prefill` module runs prefills for entry hosts.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_protocol::engine::{ModelEngine, PrefillCommand};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::home::{HomePrefill, HomeReply};
use async_std::task;

use super::crashes;
use super::service::{ENGINE_HOLD_TTL, HomeService, ReservationGuard, engine_client};
use crate::node::Node;
use crate::peers::ReplySender;

/// How long a result is kept for an entry host, including its transfer to a decode
/// server.
const MAX_RESULT_HOLD: Duration = Duration::from_secs(10);

impl HomeService {
    /// Runs a prefill, then keeps its result until the entry host ends the call.
    ///
    /// The entry host ends the call when the result has been imported elsewhere or
    /// the caller has disconnected. In both cases nothing may remain on the engine.
    pub(super) async fn prefill(
        &self,
        node: &Arc<Node>,
        req: HomePrefill,
        tx: &ReplySender,
    ) -> Result<()> {
        let backend = self.accepting_backend(&req.backend)?;
        let reservation =
            ReservationGuard { home: self, backend: &req.backend, id: req.reservation };
        let (now, max_time) = (self.clock.now(), req.limit + ENGINE_HOLD_TTL);
        if !self.with_tracker(&req.backend, |t| t.begin_prefill(req.reservation, max_time, now)) {
            return Err(Error::new(ErrorCode::Timeout, "the prefill reservation has expired"));
        }
        let _claim = self.claims.claim(&backend, &req.request, req.fingerprint).await?;
        crashes::ensure_alive(node, &backend, req.fingerprint).await?;
        let command = PrefillCommand {
            request: req.request.clone(),
            owner: self.view.me().name.clone(),
            prompt: req.prompt.clone(),
            priority: req.priority,
            hold: ENGINE_HOLD_TTL,
        };
        let result = engine_client(&backend).prefill(&command, req.limit).await;
        if let Err(e) = &result {
            self.record_failure(&backend, e);
            crashes::check_after_error(node, &backend, e).await;
        }
        let result = result?;
        self.with_tracker(&req.backend, |tracker| tracker.record_prefill(&result));
        drop(reservation);
        self.publish(&backend);
        tx.send(PeerReply::Home(HomeReply::Prefilled(result))).await?;
        task::sleep(MAX_RESULT_HOLD).await;
        Ok(())
    }
}

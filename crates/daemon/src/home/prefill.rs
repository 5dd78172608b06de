//! The `prefill` module runs prefills for entry hosts.

use aspenloft_core::errors::Result;
use aspenloft_protocol::engine::{ModelEngine, PrefillCommand};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::home::{HomePrefill, HomeReply};
use async_std::task;

use super::service::{ENGINE_HOLD, HomeService, cancel_on_drop, engine};
use crate::peers::ReplySender;

impl HomeService {
    /// Runs a prefill, then keeps its result until the entry host ends the call.
    ///
    /// The entry host ends the call when the result has been imported elsewhere or
    /// its caller has gone; either way nothing may remain on the engine.
    pub(super) async fn prefill(&self, req: HomePrefill, tx: &ReplySender) -> Result<()> {
        let backend = self.view.backend(&req.backend)?;
        self.begin(&req.backend, req.reservation, req.limit + ENGINE_HOLD)?;
        let _slot = ReleaseGuard { home: self, req: &req };
        let _guard = cancel_on_drop(&backend, &req.request);
        let command = PrefillCommand {
            request: req.request.clone(),
            owner: self.view.me().name.clone(),
            prompt: req.prompt.clone(),
            priority: req.priority,
            hold: ENGINE_HOLD,
        };
        let result = engine(&backend).prefill(&command, req.limit).await?;
        tx.send(PeerReply::Home(HomeReply::Prefilled(result))).await?;
        task::sleep(ENGINE_HOLD).await;
        Ok(())
    }
}

/// Gives the prefill's slot back when the call ends, however it ends.
struct ReleaseGuard<'a> {
    home: &'a HomeService,
    req: &'a HomePrefill,
}

impl Drop for ReleaseGuard<'_> {
    fn drop(&mut self) {
        self.home.release(&self.req.backend, self.req.reservation);
    }
}

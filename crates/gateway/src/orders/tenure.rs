//! The `tenure` module holds the right to give orders, which one host has at a time.

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Result, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_protocol::platform::{LeaseId, Put, Swap, Version};

use super::Orders;

/// The key whose holder gives orders. It goes with the holder's lease.
const HOLDER_KEY: &str = "aspenloft/orders/holder";

/// The key that names the last host that held the other one. It stays.
const LAST_KEY: &str = "aspenloft/orders/last";

/// The length of the holder's lease.
const LEASE: Duration = Duration::from_secs(6);

/// How long before its lease ends a holder stops giving orders: longer than a call.
const LEASE_MARGIN: Duration = Duration::from_millis(2_000);

/// How long a new holder waits for the orders of the one before, which engines
/// judge within three seconds.
const HANDOVER: Duration = Duration::from_millis(3_300);

/// The right to give orders.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tenure {
    lease: LeaseId,
    /// The fencing token of this host's orders.
    pub(super) token: Version,
    orders_from: Instant,
    valid_until: Instant,
}

impl Orders {
    /// Tells whether an order may be given now.
    pub(super) fn may_order(&self, held: Tenure) -> bool {
        let now = self.clock.now();
        held.orders_from <= now && now < held.valid_until
    }

    /// Keeps or takes the right to give orders.
    pub(super) async fn hold(&self, tenure: Option<Tenure>) -> Option<Tenure> {
        let now = self.clock.now();
        if let Some(held) = tenure {
            match self.kv.renew(held.lease).await {
                Ok(true) => {
                    let valid_until = now + LEASE - LEASE_MARGIN;
                    return Some(Tenure { valid_until, ..held });
                }
                Ok(false) => {
                    log::info!(event = "orders_lost", token = held.token; "");
                    return None;
                }
                Err(e) => {
                    log::info!(event = "orders_unrenewed", token = held.token, error = e.to_string().as_str(); "");
                    return Some(held).filter(|held| now < held.valid_until);
                }
            }
        }
        match self.take().await {
            Ok(taken) => taken,
            Err(e) => {
                log::info!(event = "orders_untaken", error = e.to_string().as_str(); "");
                None
            }
        }
    }

    async fn take(&self) -> Result<Option<Tenure>> {
        if self.kv.get(HOLDER_KEY).await?.is_some() {
            return Ok(None);
        }
        let began = self.clock.now();
        let lease = self.kv.grant(LEASE).await?;
        // The lease makes the value unlike that of any other try.
        let value = format!("{} {lease}", self.host);
        let put = Put {
            key: HOLDER_KEY.into(),
            expect: 0,
            value: Some(value.clone()),
            lease: Some(lease),
        };
        let token = match self.kv.put(put).await {
            Ok(Swap::Done(token)) => token,
            Ok(Swap::Conflict(_)) => return Ok(None),
            Err(e) if e.execution == Execution::NotRun => return Err(e),
            // The write may have been done although its answer was lost.
            Err(e) => {
                let held = self.kv.get(HOLDER_KEY).await?.filter(|held| held.value == value);
                held.ok_or(e)?.version
            }
        };
        let wait = self.handover().await?;
        let valid_until = began + LEASE - LEASE_MARGIN;
        let orders_from = self.clock.now() + wait;
        log::info!(event = "orders_taken", token, wait_ms = wait.as_millis() as u64; "");
        Ok(Some(Tenure { lease, token, orders_from, valid_until }))
    }

    /// Leaves this host's name as the last holder's; returns how long orders of the
    /// holder before may still be under way.
    async fn handover(&self) -> Result<Duration> {
        let last = self.kv.get(LAST_KEY).await?;
        let wait = match &last {
            Some(last) if last.value != *self.host => HANDOVER,
            _ => Duration::ZERO,
        };
        if last.as_ref().is_some_and(|last| last.value == *self.host) {
            return Ok(wait);
        }
        let expect = last.map_or(0, |last| last.version);
        let value = Some(self.host.to_string());
        match self.kv.put(Put { key: LAST_KEY.into(), expect, value, lease: None }).await? {
            Swap::Done(_) => Ok(wait),
            Swap::Conflict(_) => Err(unavailable("another host holds the right to give orders")),
        }
    }
}

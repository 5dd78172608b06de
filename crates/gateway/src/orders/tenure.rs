//! The `tenure` module acquires and renews the lease under which one host at a time may
//! send orders.

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Result, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Era, Position};
use aspenloft_protocol::platform::{LeaseId, Put, Swap};

use super::Orders;

/// The key whose holder may send orders. It is removed when the holder's lease expires.
const HOLDER_KEY: &str = "aspenloft/orders/holder";

/// The key that names the last holder of [`HOLDER_KEY`]. It has no lease and stays.
const LAST_KEY: &str = "aspenloft/orders/last";

/// The duration of the holder's lease.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// How long before the end of its lease a holder stops sending orders: longer than a
/// call.
const LEASE_MARGIN: Duration = Duration::from_millis(2_000);

/// How long a new holder waits for the orders of the previous one, which engines accept
/// or refuse within three seconds.
const HANDOVER_WAIT: Duration = Duration::from_millis(3_300);

/// A lease under which this host may send orders.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrderLease {
    lease_id: LeaseId,
    /// The era in which the lease was granted; it ends with it.
    era: Era,
    /// The fencing token of the orders sent under the lease.
    pub(super) token: u64,
    orders_from: Instant,
    valid_until: Instant,
}

impl Orders {
    /// Tells whether an order may be sent now.
    pub(super) fn may_order(&self, lease: OrderLease) -> bool {
        let now = self.clock.now();
        lease.orders_from <= now && now < lease.valid_until && lease.era == self.latest_era()
    }

    /// Returns the latest era that this host knows of, by the service or by other hosts.
    fn latest_era(&self) -> Era {
        self.kv.era().max(self.view.position().era)
    }

    /// Renews `lease`, or tries to acquire one if this host holds none.
    pub(super) async fn renew_or_acquire(&self, lease: Option<OrderLease>) -> Option<OrderLease> {
        let now = self.clock.now();
        if let Some(current) = lease {
            if current.era != self.latest_era() {
                self.log_lost(current);
                return None;
            }
            match self.kv.renew(current.lease_id).await {
                Ok(true) => {
                    let valid_until = now + LEASE_TTL - LEASE_MARGIN;
                    return Some(OrderLease { valid_until, ..current });
                }
                Ok(false) => {
                    self.log_lost(current);
                    return None;
                }
                Err(e) => {
                    log::info!(event = "orders_unrenewed", token = current.token, error = e.to_string().as_str(); "");
                    return Some(current).filter(|current| now < current.valid_until);
                }
            }
        }
        match self.acquire().await {
            Ok(acquired) => acquired,
            Err(e) => {
                log::info!(event = "orders_untaken", error = e.to_string().as_str(); "");
                None
            }
        }
    }

    fn log_lost(&self, lease: OrderLease) {
        self.metrics.lease_lost("orders");
        log::info!(event = "orders_lost", token = lease.token, era = lease.era.0; "");
    }

    /// Tries to acquire the lease; `None` if another host holds it.
    async fn acquire(&self) -> Result<Option<OrderLease>> {
        let era = self.latest_era();
        if self.kv.get(HOLDER_KEY).await?.is_some() {
            return Ok(None);
        }
        let began = self.clock.now();
        let lease_id = self.kv.grant(LEASE_TTL).await?;
        // The lease ID makes the value of each attempt unique.
        let value = format!("{} {lease_id}", self.host);
        let put = Put {
            key: HOLDER_KEY.into(),
            expect: 0,
            value: Some(value.clone()),
            lease: Some(lease_id),
        };
        let revision = match self.kv.put(put).await {
            Ok(Swap::Done(revision)) => revision,
            Ok(Swap::Conflict(_)) => return Ok(None),
            Err(e) if e.execution == Execution::NotRun => return Err(e),
            // The write may have been executed although its response was lost.
            Err(e) => {
                let written = self.kv.get(HOLDER_KEY).await?.filter(|item| item.value == value);
                written.ok_or(e)?.version
            }
        };
        let wait = self.record_holder(era).await?;
        if self.latest_era() != era {
            return Err(unavailable(format!("the lease of era {era} may be lost")));
        }
        let token = Position::new(era, revision).fencing_token();
        let valid_until = began + LEASE_TTL - LEASE_MARGIN;
        let orders_from = self.clock.now() + wait;
        log::info!(event = "orders_taken", token, wait_ms = wait.as_millis() as u64; "");
        Ok(Some(OrderLease { lease_id, era, token, orders_from, valid_until }))
    }

    /// Records this host as the last holder in `era`; returns how long orders of the previous
    /// holder may still be in flight. A record of an earlier era may not name the last one.
    async fn record_holder(&self, era: Era) -> Result<Duration> {
        let last = self.kv.get(LAST_KEY).await?;
        let record = match era {
            Era(0) => self.host.to_string(),
            _ => format!("{} {era}", self.host),
        };
        if last.as_ref().is_some_and(|last| last.value == record) {
            return Ok(Duration::ZERO);
        }
        let is_first = last.is_none() && era == Era(0);
        let wait = if is_first { Duration::ZERO } else { HANDOVER_WAIT };
        let expect = last.map_or(0, |last| last.version);
        let value = Some(record);
        match self.kv.put(Put { key: LAST_KEY.into(), expect, value, lease: None }).await? {
            Swap::Done(_) => Ok(wait),
            Swap::Conflict(_) => Err(unavailable("another host holds the order lease")),
        }
    }
}

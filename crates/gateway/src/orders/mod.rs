//! The `orders` module changes the roles of engines; one host at a time may do so.
//!
//! A host that needs a change acquires a key of the platform's key-value service under
//! a lease; the position of that write is the fencing token of its orders. It sends no
//! order once its lease may have expired by its own clock, or the service has come back from
//! an older copy, and a new holder waits until the orders of the previous one can no longer
//! take effect. See `docs/design/platform.md` and `docs/design/store-eras.md`.

mod tenure;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Result, unavailable};
use aspenloft_core::prelude::{Arc, Name, SharedClock};
use aspenloft_policy::engine_choice::MEMORY_SHARE;
use aspenloft_policy::role_split::{Demand, EngineSpeed, prefill_engines};
use aspenloft_protocol::platform::KeyValue;
use async_std::task;

use crate::configuration::EngineProfile;
use crate::demand::DemandTracker;
use crate::dialect::{Dialect, EngineCall, EngineReport, RoleOrder};
use crate::generation::engine_request;
use crate::http::BackendClient;
use crate::loads::EngineLoads;
use crate::metrics::Metrics;
use crate::path::PathMonitor;
use crate::peers::Peers;
use crate::permits::Permits;
use crate::roster::{Server, ServerRole};
use crate::shutdown::Shutdown;
use crate::view::View;

use tenure::OrderLease;

/// How often the division of the engines is checked.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// The delay per rank before a host acquires the key. Live hosts are ranked by name, and
/// each leaves a needed change to those before it, so that only one tries to acquire.
const RANK_DELAY: Duration = Duration::from_secs(3);

/// The maximum wait for an engine's response.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long before an order the hosts are notified to place nothing on the engine.
/// Requests placed earlier have been sent by then, because a digest takes up to 250 ms.
const NOTICE_PERIOD: Duration = Duration::from_millis(300);

/// The maximum wait before an order for the prompts that an engine has queued. A longer
/// wait would outlast the holder's lease.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often the engine's queue is checked during that wait.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum size of an engine's response to an order or report call, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// How long a change of role may take before it counts as failed. An engine may carry
/// out an order seconds after its response was lost.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(14);

/// `Orders` divides the engines between prefill and decode.
pub struct Orders {
    /// The name of this host.
    pub host: Name,
    /// The service that stores the key of the order lease.
    pub kv: Arc<dyn KeyValue>,
    /// The host's view of the deployment.
    pub view: Arc<View>,
    /// The load of the engines.
    pub loads: Arc<EngineLoads>,
    /// The demand of each service.
    pub demand: Arc<DemandTracker>,
    /// The other hosts.
    pub peers: Arc<Peers>,
    /// Sends calls to engines.
    pub client: BackendClient,
    /// The limits of engines; those with a limit get no calls for role changes.
    pub permits: Arc<Permits>,
    /// Translates calls to engines.
    pub dialect: Arc<dyn Dialect>,
    /// The state of the path to the engines.
    pub path: Arc<PathMonitor>,
    /// The host's shutdown; no orders are sent once it has begun.
    pub shutdown: Arc<Shutdown>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The clock of all timeouts.
    pub clock: SharedClock,
}

/// A planned change of one engine's role.
struct RoleChange {
    server: Arc<Server>,
    role: ServerRole,
    reason: ChangeReason,
}

/// The values from which a role change was decided, for the log.
struct ChangeReason {
    engines: usize,
    prefill: usize,
    best: usize,
    demand: Demand,
}

impl RoleChange {
    fn log_planned(&self) {
        let ChangeReason { engines, prefill, best, demand } = &self.reason;
        log::info!(
            event = "role_wanted", service = &*self.server.entry.service,
            server = &*self.server.entry.instance, engines, prefill, best,
            prompt = demand.prompt as u64, answer = demand.answer as u64; ""
        );
    }
}

impl Orders {
    /// Checks and changes the division of the engines until the host leaves.
    pub async fn run(self: Arc<Self>) {
        let mut lease: Option<OrderLease> = None;
        let mut pending: HashMap<u64, (ServerRole, Instant)> = HashMap::new();
        let mut planned_since: Option<Instant> = None;
        loop {
            task::sleep(INTERVAL).await;
            if self.shutdown.is_leaving() {
                return;
            }
            let now = self.clock.now();
            // After a restore the service may list engines in roles that they have left.
            if !self.view.is_settled(now) || self.path.is_cut() {
                lease = None;
                planned_since = None;
                continue;
            }
            self.remove_finished(&mut pending, now);
            let changes = self.plan_changes(&pending);
            if changes.is_empty() && pending.is_empty() {
                // The lease is not renewed: it expires, which removes the key.
                lease = None;
                planned_since = None;
                continue;
            }
            let since = *planned_since.get_or_insert(now);
            if lease.is_none() && !self.is_my_turn(since, now) {
                continue;
            }
            lease = self.renew_or_acquire(lease).await;
            let Some(order_lease) = lease else { continue };
            for change in changes {
                if !self.may_order(order_lease) {
                    break;
                }
                if !self.send_order(order_lease, &change, &mut pending).await {
                    lease = None;
                    break;
                }
            }
        }
    }

    /// Tells whether this host may make a change that has been needed since `since`: no
    /// host is making one now, and each host of lower rank has had time to make it.
    fn is_my_turn(&self, since: Instant, now: Instant) -> bool {
        let delay = RANK_DELAY * u32::try_from(self.peers.rank()).unwrap_or(u32::MAX);
        let waited = now.saturating_duration_since(since);
        waited >= delay && self.loads.switching(now).is_empty()
    }

    /// Returns the changes with a clear expected gain: at most one engine per round and
    /// service, so that the others carry the load meanwhile.
    fn plan_changes(&self, pending: &HashMap<u64, (ServerRole, Instant)>) -> Vec<RoleChange> {
        let Some(configuration) = self.view.configuration() else { return Vec::new() };
        let services = configuration.services.iter();
        let engines = services.filter_map(|(name, s)| Some((name, s.engine.as_ref()?)));
        engines.filter_map(|(name, engine)| self.plan_change(name, engine, pending)).collect()
    }

    fn plan_change(
        &self,
        service: &Name,
        engine: &EngineProfile,
        pending: &HashMap<u64, (ServerRole, Instant)>,
    ) -> Option<RoleChange> {
        let (demand, prefill_per_ms) = self.demand.estimate(service)?;
        let memory = engine.memory_tokens as f64 * MEMORY_SHARE;
        let speed = EngineSpeed { prefill_per_ms, step: self.loads.nominal_step(), memory };
        let (roster, now) = (self.view.roster(), self.clock.now());
        let engines: Vec<&Arc<Server>> =
            roster.all().filter(|s| s.entry.service == *service && s.is_staying(now)).collect();
        let role = |s: &Server| pending.get(&s.key).map_or(s.entry.role, |(role, _)| *role);
        let prefill = engines.iter().filter(|s| role(s) == ServerRole::Prefill).count();
        let best = prefill_engines(engines.len(), prefill, demand, speed);
        let (from, to) = match best.cmp(&prefill) {
            std::cmp::Ordering::Less => (ServerRole::Prefill, ServerRole::Decode),
            std::cmp::Ordering::Greater => (ServerRole::Decode, ServerRole::Prefill),
            std::cmp::Ordering::Equal => return None,
        };
        // The engine is taken from the data centre with the most engines in that role, but
        // if possible not the last one of its version: its streams could go on nowhere.
        let in_role = engines.iter().filter(|s| role(s) == from);
        let is_last = |s: &Server| {
            let same = engines.iter().filter(|o| role(o) == from && o.version == s.version);
            same.count() == 1
        };
        let colocated = |s: &Server| {
            let same_role = engines.iter().filter(|o| role(o) == from);
            same_role.filter(|o| o.entry.data_centre == s.entry.data_centre).count()
        };
        let server =
            in_role.max_by_key(|s| (!is_last(s), colocated(s), s.entry.instance.clone()))?;
        if pending.contains_key(&server.key) {
            return None;
        }
        let reason = ChangeReason { engines: engines.len(), prefill, best, demand };
        Some(RoleChange { server: (*server).clone(), role: to, reason })
    }

    /// Removes the changes that are complete or have timed out.
    fn remove_finished(&self, pending: &mut HashMap<u64, (ServerRole, Instant)>, now: Instant) {
        let roster = self.view.roster();
        pending.retain(|key, (role, until)| {
            let server = roster.all().find(|s| s.key == *key);
            now < *until && server.is_some_and(|s| s.entry.role != *role)
        });
        self.loads.end_switches(now, |key| pending.contains_key(&key));
    }

    /// Sends one order; returns false if the engine has orders from a newer holder.
    async fn send_order(
        &self,
        lease: OrderLease,
        change: &RoleChange,
        pending: &mut HashMap<u64, (ServerRole, Instant)>,
    ) -> bool {
        change.log_planned();
        let server = &change.server;
        let until = self.clock.now() + SWITCH_TIMEOUT;
        self.loads.begin_switch(server.key, until);
        self.drain_prompts(server).await;
        let Some(report) = self.fetch_report(server).await.filter(|_| self.may_order(lease)) else {
            self.end_switch(server);
            return true;
        };
        let order = RoleOrder {
            instance: server.entry.instance.clone(),
            role: change.role,
            holder: self.host.clone(),
            fencing_token: lease.token,
            expected_orders: report.orders,
        };
        let sent = self.call_engine(server, self.dialect.role_order_call(&order)).await;
        let status = sent.as_ref().map_or(0, |(status, _)| *status);
        log::info!(
            event = "role_ordered", server = &*server.entry.instance,
            role = format!("{:?}", change.role).as_str(), token = lease.token, status; ""
        );
        match status {
            STATUS_FENCED => {
                self.end_switch(server);
                return false;
            }
            // Without a response, the engine may still carry out the order.
            0 | 200..300 => {
                pending.insert(server.key, (change.role, until));
            }
            _ => self.end_switch(server),
        }
        true
    }

    /// Waits until the engine has processed the prompts placed on it, because it refuses
    /// queued work as soon as it has an order.
    async fn drain_prompts(&self, server: &Server) {
        task::sleep(NOTICE_PERIOD).await;
        let deadline = self.clock.now() + DRAIN_TIMEOUT;
        loop {
            let now = self.clock.now();
            let has_prompts = self.loads.prefill_tokens(now).contains_key(&server.key);
            if !has_prompts || now >= deadline {
                return;
            }
            task::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Fetches the engine's report; `None` if it is carrying out an order or the call
    /// fails.
    async fn fetch_report(&self, server: &Server) -> Option<EngineReport> {
        let response =
            self.call_engine(server, self.dialect.report_call(&server.entry.instance)).await;
        match response.and_then(|(_, body)| self.dialect.read_report(&body)) {
            Ok(report) => Some(report).filter(|report| !report.busy),
            Err(e) => {
                let instance = &*server.entry.instance;
                log::info!(event = "report_failed", server = instance, error = e.to_string().as_str(); "");
                None
            }
        }
    }

    fn end_switch(&self, server: &Server) {
        self.loads.end_switches(self.clock.now(), |key| key != server.key);
    }

    async fn call_engine(&self, server: &Server, call: EngineCall) -> Result<(u16, bytes::Bytes)> {
        let failed = |f: crate::http::SendFailure| unavailable(f.cause.to_string());
        let permit = self
            .permits
            .try_optional(server)
            .ok_or_else(|| unavailable("the engine limits its requests"))?;
        let req = engine_request(call);
        let sent = self.client.send(server, permit, None, req, CALL_TIMEOUT).await;
        let response = sent.map_err(failed)?;
        let status = response.head.status.as_u16();
        let body = self.client.read_body(response, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
        Ok((status, body.map_err(failed)?.bytes))
    }
}

/// The status with which an engine refuses an order because it has seen a higher
/// fencing token.
const STATUS_FENCED: u16 = 412;

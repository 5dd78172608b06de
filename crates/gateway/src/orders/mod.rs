//! The `orders` module changes the roles of engines, by one host at a time.
//!
//! A host that wants a change takes a key of the platform's key-value service under
//! a lease; the revision of that write is the fencing token of its orders. It gives
//! no order after its lease may have ended by its own clock, and a new holder waits
//! until the orders of the one before are over. See `docs/design/platform.md`.

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
use crate::http::Exchange;
use crate::loads::EngineLoads;
use crate::peers::Peers;
use crate::roster::{Server, ServerRole};
use crate::shutdown::Shutdown;
use crate::view::View;

use tenure::Tenure;

/// How often the division of the engines is looked at.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// How long each live host leaves a wanted change to those before it in the order of
/// their names, so that only one reaches for the key.
const RANK_DELAY: Duration = Duration::from_secs(3);

/// The longest wait for an engine's answer.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// How long before an order the hosts are told to place nothing on the engine: what
/// was placed before has been sent by then, for digests take up to 250 ms.
const NOTICE: Duration = Duration::from_millis(300);

/// The longest wait for the prompts that an engine has yet to read before an order: a
/// queue that is longer would outlast the holder's lease.
const CLEAR_LIMIT: Duration = Duration::from_millis(1_500);

/// How often the engine's queue is looked at meanwhile.
const CLEAR_INTERVAL: Duration = Duration::from_millis(50);

/// The largest answer to an order or report, in bytes.
const ANSWER_BYTES: usize = 64 * 1024;

/// How long a change of role may take before it counts as failed. An order whose
/// answer was lost may be carried out seconds later.
const SWITCH_LIMIT: Duration = Duration::from_secs(14);

/// `Orders` divides the engines between reading prompts and answering.
pub struct Orders {
    /// This host.
    pub host: Name,
    /// Holds the key.
    pub kv: Arc<dyn KeyValue>,
    /// What the host believes.
    pub view: Arc<View>,
    /// What is on the engines.
    pub loads: Arc<EngineLoads>,
    /// What requests need.
    pub demand: Arc<DemandTracker>,
    /// The other hosts.
    pub peers: Arc<Peers>,
    /// Reaches engines.
    pub exchange: Exchange,
    /// Translates calls.
    pub dialect: Arc<dyn Dialect>,
    /// A host that is leaving takes no key.
    pub shutdown: Arc<Shutdown>,
    /// Tells the time.
    pub clock: SharedClock,
}

/// A change of one engine's role.
struct Change {
    server: Arc<Server>,
    role: ServerRole,
    reason: ChangeReason,
}

/// What a change of roles was decided on.
struct ChangeReason {
    engines: usize,
    prefill: usize,
    best: usize,
    demand: Demand,
}

impl Change {
    fn log_taken_up(&self) {
        let ChangeReason { engines, prefill, best, demand } = &self.reason;
        log::info!(
            event = "role_wanted", service = &*self.server.entry.service,
            server = &*self.server.entry.instance, engines, prefill, best,
            prompt = demand.prompt as u64, answer = demand.answer as u64; ""
        );
    }
}

impl Orders {
    /// Looks after the division of the engines for ever.
    pub async fn run(self) {
        let mut tenure: Option<Tenure> = None;
        let mut pending: HashMap<u64, (ServerRole, Instant)> = HashMap::new();
        let mut wanted_since: Option<Instant> = None;
        loop {
            task::sleep(INTERVAL).await;
            if self.shutdown.is_leaving() {
                return;
            }
            let now = self.clock.now();
            self.forget_done(&mut pending, now);
            let changes = self.wanted(&pending);
            if changes.is_empty() && pending.is_empty() {
                // The lease ends by itself, and the key goes with it.
                tenure = None;
                wanted_since = None;
                continue;
            }
            let since = *wanted_since.get_or_insert(now);
            if tenure.is_none() && !self.is_my_turn(since, now) {
                continue;
            }
            tenure = self.hold(tenure).await;
            let Some(held) = tenure else { continue };
            for change in changes {
                if !self.may_order(held) {
                    break;
                }
                if !self.order(held, &change, &mut pending).await {
                    tenure = None;
                    break;
                }
            }
        }
    }

    /// Tells whether a change that is wanted since `since` is this host's to make:
    /// nobody makes one now, and those before it had their time.
    fn is_my_turn(&self, since: Instant, now: Instant) -> bool {
        let delay = RANK_DELAY * u32::try_from(self.peers.rank()).unwrap_or(u32::MAX);
        let waited = now.saturating_duration_since(since);
        waited >= delay && self.loads.switching(now).is_empty()
    }

    /// Returns the changes that promise a clear gain, at most one engine in each
    /// round and service, so that the others carry the load meanwhile.
    fn wanted(&self, pending: &HashMap<u64, (ServerRole, Instant)>) -> Vec<Change> {
        let Some(configuration) = self.view.configuration() else { return Vec::new() };
        let services = configuration.services.iter();
        let engines = services.filter_map(|(name, s)| Some((name, s.engine.as_ref()?)));
        engines.filter_map(|(name, engine)| self.wanted_of(name, engine, pending)).collect()
    }

    fn wanted_of(
        &self,
        service: &Name,
        engine: &EngineProfile,
        pending: &HashMap<u64, (ServerRole, Instant)>,
    ) -> Option<Change> {
        let (demand, prefill_per_ms) = self.demand.estimate(service)?;
        let memory = engine.memory_tokens as f64 * MEMORY_SHARE;
        let speed = EngineSpeed { prefill_per_ms, step: self.loads.nominal_step(), memory };
        let roster = self.view.roster();
        let engines: Vec<&Arc<Server>> =
            roster.all().filter(|s| s.entry.service == *service && !s.entry.leaving).collect();
        let role = |s: &Server| pending.get(&s.key).map_or(s.entry.role, |(role, _)| *role);
        let prefill = engines.iter().filter(|s| role(s) == ServerRole::Prefill).count();
        let best = prefill_engines(engines.len(), prefill, demand, speed);
        let (from, to) = match best.cmp(&prefill) {
            std::cmp::Ordering::Less => (ServerRole::Prefill, ServerRole::Decode),
            std::cmp::Ordering::Greater => (ServerRole::Decode, ServerRole::Prefill),
            std::cmp::Ordering::Equal => return None,
        };
        // The data centre with the most engines of the role gives one up.
        let in_role = engines.iter().filter(|s| role(s) == from);
        let beside = |s: &Server| {
            let alike = engines.iter().filter(|o| role(o) == from);
            alike.filter(|o| o.entry.data_centre == s.entry.data_centre).count()
        };
        let server = in_role.max_by_key(|s| (beside(s), s.entry.instance.clone()))?;
        if pending.contains_key(&server.key) {
            return None;
        }
        let reason = ChangeReason { engines: engines.len(), prefill, best, demand };
        Some(Change { server: (*server).clone(), role: to, reason })
    }

    fn forget_done(&self, pending: &mut HashMap<u64, (ServerRole, Instant)>, now: Instant) {
        let roster = self.view.roster();
        pending.retain(|key, (role, until)| {
            let server = roster.all().find(|s| s.key == *key);
            now < *until && server.is_some_and(|s| s.entry.role != *role)
        });
        self.loads.end_switches(now, |key| pending.contains_key(&key));
    }

    /// Gives one order; false when a newer holder has given orders to the engine.
    async fn order(
        &self,
        held: Tenure,
        change: &Change,
        pending: &mut HashMap<u64, (ServerRole, Instant)>,
    ) -> bool {
        change.log_taken_up();
        let server = &change.server;
        let until = self.clock.now() + SWITCH_LIMIT;
        self.loads.begin_switch(server.key, until);
        self.clear(server).await;
        let Some(report) = self.report(server).await.filter(|_| self.may_order(held)) else {
            self.end_switch(server);
            return true;
        };
        let order = RoleOrder {
            instance: server.entry.instance.clone(),
            role: change.role,
            holder: self.host.clone(),
            fencing_token: held.token,
            expected_orders: report.orders,
        };
        let sent = self.ask(server, self.dialect.order_role(&order)).await;
        let status = sent.as_ref().map_or(0, |(status, _)| *status);
        log::info!(
            event = "role_ordered", server = &*server.entry.instance,
            role = format!("{:?}", change.role).as_str(), token = held.token, status; ""
        );
        match status {
            FENCED => {
                self.end_switch(server);
                return false;
            }
            // No answer: the order may be carried out yet.
            0 | 200..300 => {
                pending.insert(server.key, (change.role, until));
            }
            _ => self.end_switch(server),
        }
        true
    }

    /// Waits until the engine has begun what was placed on it, for it refuses the rest
    /// as soon as it has an order.
    async fn clear(&self, server: &Server) {
        task::sleep(NOTICE).await;
        let last = self.clock.now() + CLEAR_LIMIT;
        loop {
            let now = self.clock.now();
            let reads = self.loads.prefill_tokens(now).contains_key(&server.key);
            if !reads || now >= last {
                return;
            }
            task::sleep(CLEAR_INTERVAL).await;
        }
    }

    /// Asks the engine about its orders; `None` when it carries one out or does not say.
    async fn report(&self, server: &Server) -> Option<EngineReport> {
        let asked = self.ask(server, self.dialect.ask_report(&server.entry.instance)).await;
        match asked.and_then(|(_, body)| self.dialect.read_report(&body)) {
            Ok(report) => Some(report).filter(|report| !report.busy),
            Err(e) => {
                let at = &*server.entry.instance;
                log::info!(event = "report_failed", server = at, error = e.to_string().as_str(); "");
                None
            }
        }
    }

    fn end_switch(&self, server: &Server) {
        self.loads.end_switches(self.clock.now(), |key| key != server.key);
    }

    async fn ask(&self, server: &Server, call: EngineCall) -> Result<(u16, bytes::Bytes)> {
        let failed = |f: crate::http::SendFailure| unavailable(f.cause.to_string());
        let sent = self.exchange.send(server, None, engine_request(call), CALL_LIMIT).await;
        let answer = sent.map_err(failed)?;
        let status = answer.head.status.as_u16();
        let body = self.exchange.read_body(answer, ANSWER_BYTES, CALL_LIMIT).await;
        Ok((status, body.map_err(failed)?))
    }
}

/// The status of an engine that has seen a higher fencing token.
const FENCED: u16 = 412;

//! The `dispatch` module gives model requests a place on the engines, or has them
//! wait for one. The decisions are in `aspenloft_policy::{engine_choice, waiting}`.

use std::time::{Duration, Instant};

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::prelude::{Arc, Name, SharedClock};
use aspenloft_policy::engine_choice::{
    DecodeLoad, MEMORY_SHARE, PrefillLoad, choose_decode, choose_prefill, placed_before,
    preference, turn,
};
use aspenloft_policy::waiting::{self, Arrival, WaitOptions, Waiter};
use async_std::task;
use futures::channel::oneshot;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::EngineProfile;
use crate::loads::{Loads, RunGuard, RunSize};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::request::Inbound;
use crate::roster::{Server, ServerRole};
use crate::view::View;

/// How often the line is looked at while somebody waits, a few decode steps.
const LINE_INTERVAL: Duration = Duration::from_millis(10);

/// The soonest that a refused caller is told to come back.
const SOONEST_RETURN: Duration = Duration::from_millis(500);

/// How much later than room is expected callers come back at most, as a share, so
/// that those refused together do not return together.
const RETURN_SPREAD: f64 = 0.5;

/// How long an engine counts as full after it refused a request for which room was
/// forecast on it: about the time in which one of its requests ends.
const FULL_FOR: Duration = Duration::from_millis(300);

/// How long the order holds in which waiting hosts may take an engine's room: about
/// the time in which a host's choice reaches all others.
const TURN_MS: u64 = 120;

/// How long a host's choices are unknown to hosts of other data centres in a small
/// deployment: the time between digests, and the way.
const NEWS_DELAY: Duration = Duration::from_millis(60);

/// Spreads consecutive numbers over all bits, so that each order is unlike the last.
const TURN_MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// The share of an engine's memory that may be in use for it to have ample room.
const AMPLE_SHARE: f64 = 0.8;

/// `Placement` is where a request runs.
#[derive(Debug)]
pub struct Placement {
    /// The decode engine.
    pub decode: Arc<Server>,
    /// The prefill engine; `None` when the decode engine reads the prompt too.
    pub prefill: Option<Arc<Server>>,
    /// Keeps the place on the decode engine.
    pub run: RunGuard,
}

struct Waiting {
    waiter: Waiter,
    service: Name,
    size: RunSize,
    tx: oneshot::Sender<Option<Placement>>,
}

/// `Dispatcher` places model requests.
pub struct Dispatcher {
    view: Arc<View>,
    loads: Arc<Loads>,
    peers: Arc<Peers>,
    clock: SharedClock,
    metrics: Arc<Metrics>,
    options: WaitOptions,
    line: Mutex<Vec<Waiting>>,
}

impl Dispatcher {
    /// Creates a dispatcher for the host that `peers` are the others of.
    pub fn new(
        view: Arc<View>,
        loads: Arc<Loads>,
        peers: Arc<Peers>,
        clock: SharedClock,
        metrics: Arc<Metrics>,
    ) -> Arc<Dispatcher> {
        let options = WaitOptions::default();
        let line = Mutex::default();
        Arc::new(Dispatcher { view, loads, peers, clock, metrics, options, line })
    }

    /// Returns a place for the request, now or when there is room; an error means
    /// that the request has not run and will not.
    pub async fn place(
        self: &Arc<Self>,
        inbound: &Inbound,
        engine: &EngineProfile,
        size: RunSize,
    ) -> Result<Placement, Error> {
        // An engine would refuse it as if it were full, and so does the router.
        if size.prompt >= engine.memory_tokens {
            return Err(Error::new(ErrorCode::Overloaded, "the prompt exceeds an engine's memory"));
        }
        let room =
            ((engine.memory_tokens as f64 * MEMORY_SHARE) as u64).saturating_sub(size.prompt);
        let size = RunSize { expected: size.expected.min(room).max(1), ..size };
        let now = self.clock.now();
        if self.line.lock().is_empty()
            && let Some(placement) = self.try_place(&inbound.service, size, now)
        {
            return Ok(placement);
        }
        self.wait(inbound, size, now).await
    }

    /// Returns another place for a request that the engine of its place refused.
    pub async fn place_again(
        self: &Arc<Self>,
        inbound: &Inbound,
        size: RunSize,
    ) -> Result<Placement, Error> {
        let now = self.clock.now();
        match self.try_place(&inbound.service, size, now) {
            Some(placement) => Ok(placement),
            None => self.wait(inbound, size, now).await,
        }
    }

    async fn wait(
        self: &Arc<Self>,
        inbound: &Inbound,
        size: RunSize,
        now: Instant,
    ) -> Result<Placement, Error> {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            id: 0,
            priority: inbound.route.priority,
            arrived: inbound.arrived,
            due: inbound.arrived + inbound.route.target_latency,
            deadline: inbound.deadline,
        };
        let expected = self.room_expected(&inbound.service, now);
        if let Arrival::Refused(expected) = waiting::arrive(&waiter, expected, now, &self.options) {
            return Err(self.refusal(
                inbound,
                "no engine is expected to have room in time",
                expected,
            ));
        }
        self.enqueue(inbound, Waiting { waiter, service: inbound.service.clone(), size, tx })?;
        let placed = rx.await.ok().flatten();
        let waited = self.clock.now().saturating_duration_since(now);
        self.metrics.waited(waited);
        placed.ok_or_else(|| {
            let expected = self.room_expected(&inbound.service, self.clock.now());
            let message = format!(
                "no engine had room for {} tokens in {} ms",
                size.prompt,
                waited.as_millis()
            );
            self.refusal(inbound, &message, expected)
        })
    }

    /// Returns when room is expected for a request that comes now.
    fn room_expected(&self, service: &Name, now: Instant) -> Duration {
        let servers = self.open(service, ServerRole::Decode, now, &[]);
        let mut runs = self.loads.runs(now);
        let on_open = servers.iter().filter_map(|server| runs.remove(&server.key));
        let remaining: Vec<u64> = on_open.flatten().map(|run| run.remaining).collect();
        waiting::room_expected(remaining, self.loads.waiting(now), self.loads.step())
    }

    fn refusal(&self, inbound: &Inbound, message: &str, expected: Duration) -> Error {
        // The id's hash spreads the returns without a source of randomness.
        let spread = inbound.fingerprint().0 as f64 / u64::MAX as f64 * RETURN_SPREAD;
        let after = expected.max(SOONEST_RETURN).mul_f64(1.0 + spread);
        Error::new(ErrorCode::Overloaded, message).retry_after(after)
    }

    fn enqueue(self: &Arc<Self>, inbound: &Inbound, mut waiting: Waiting) -> Result<(), Error> {
        let mut line = self.line.lock();
        if line.len() >= self.options.most {
            let expected = SOONEST_RETURN;
            return Err(self.refusal(inbound, "too many requests wait for an engine", expected));
        }
        let idle = line.is_empty();
        waiting.waiter.id = line.iter().map(|w| w.waiter.id).max().unwrap_or(0) + 1;
        line.push(waiting);
        self.loads.set_waiting(line.len());
        if idle {
            task::spawn(self.clone().serve_line());
        }
        Ok(())
    }

    /// Serves the line until nobody waits.
    async fn serve_line(self: Arc<Self>) {
        loop {
            task::sleep(LINE_INTERVAL).await;
            let mut line = self.line.lock();
            self.pump(&mut line);
            self.loads.set_waiting(line.len());
            if line.is_empty() {
                return;
            }
        }
    }

    /// Places those for whom there is room and gives up on those who waited too long.
    fn pump(&self, line: &mut Vec<Waiting>) {
        let now = self.clock.now();
        // A caller that has gone has dropped its end.
        line.retain(|w| !w.tx.is_canceled());
        let waiters: Vec<Waiter> = line.iter().map(|w| w.waiter).collect();
        for id in waiting::given_up(&waiters, now, &self.options) {
            let _ = take(line, id).map(|w| w.tx.send(None));
        }
        let waiters: Vec<Waiter> = line.iter().map(|w| w.waiter).collect();
        for id in waiting::order(&waiters, now, &self.options) {
            let Some(next) = line.iter().find(|w| w.waiter.id == id) else { continue };
            let Some(placement) = self.try_place(&next.service, next.size, now) else { return };
            let _ = take(line, id).map(|w| w.tx.send(Some(placement)));
        }
    }

    fn try_place(&self, service: &Name, size: RunSize, now: Instant) -> Option<Placement> {
        let decode = self.decode_engine(service, size, now, &[])?;
        let prefill = self.prefill_engine(service, &decode, now, &[]);
        for server in prefill.iter().chain([&decode]) {
            server.state.health(|h| h.given_work(now));
        }
        let run = self.loads.begin_run(decode.key, size, now);
        Some(Placement { decode, prefill, run })
    }

    /// Returns the decode engine for a request of `size`, other than `tried`.
    pub fn decode_engine(
        &self,
        service: &Name,
        size: RunSize,
        now: Instant,
        tried: &[Name],
    ) -> Option<Arc<Server>> {
        let configuration = self.view.configuration()?;
        let profile = configuration.services.get(service)?.engine.as_ref()?;
        let mut servers = self.open(service, ServerRole::Decode, now, tried);
        servers.retain(|server| !server.state.is_full(now));
        let mut runs = self.loads.runs(now);
        let waiting_hosts = self.loads.waiting_hosts(now);
        let group = self.peers.group();
        let heard = now.checked_sub(NEWS_DELAY).unwrap_or(now);
        let begun = self.loads.begun_since(heard);
        let order = turn_order(unix_millis(self.clock.system_time()));
        let loads: Vec<DecodeLoad> = servers
            .iter()
            .map(|server| DecodeLoad {
                slots: profile.slots,
                capacity: profile.memory_tokens,
                runs: runs.remove(&server.key).unwrap_or_default(),
                local: group.has_engine(server.key, &server.entry.data_centre),
                slowdown: 1.0 + server.state.health(|h| h.failures(now)),
                preference: self.preference(server),
                placed_before: placed_before(
                    self.turn(server, order, &waiting_hosts),
                    waiting_hosts.len(),
                    begun.get(&server.key).copied().unwrap_or_default(),
                ),
            })
            .collect();
        choose_decode(&loads, size.forecast()).map(|index| servers[index].clone())
    }

    /// Notes that a decode engine refused a request; tells whether it seemed to have
    /// ample room, so that something else must be the cause.
    pub fn refused_by(&self, server: &Server, capacity: u64, now: Instant) -> bool {
        let runs = self.loads.runs(now).remove(&server.key).unwrap_or_default();
        let held: u64 = runs.iter().map(|r| r.held).sum();
        let ample = (held as f64) < capacity as f64 * AMPLE_SHARE;
        let name = &*server.entry.instance;
        log::info!(event = "engine_refused", server = name, runs = runs.len(), held, capacity, ample; "");
        if !ample {
            server.state.set_full(now + FULL_FOR);
        }
        ample
    }

    /// Returns the prefill engine whose result `decode` will fetch, other than
    /// `tried`.
    pub fn prefill_engine(
        &self,
        service: &Name,
        decode: &Server,
        now: Instant,
        tried: &[Name],
    ) -> Option<Arc<Server>> {
        let servers = self.open(service, ServerRole::Prefill, now, tried);
        let queued = self.loads.prefill_tokens(now);
        let group = self.peers.group();
        let near = |server: &Server| {
            server.entry.data_centre == decode.entry.data_centre
                && group.joins(server.key, decode.key)
        };
        let loads: Vec<PrefillLoad> = servers
            .iter()
            .map(|server| PrefillLoad {
                queued: queued.get(&server.key).copied().unwrap_or_default(),
                near_decode: near(server),
                preference: self.preference(server),
            })
            .collect();
        choose_prefill(&loads).map(|index| servers[index].clone())
    }

    fn preference(&self, server: &Server) -> f64 {
        preference(xxh3_64_with_seed(self.peers.me().name.as_bytes(), server.key))
    }

    /// Returns how many of `waiting_hosts` go before this one on `server` in `order`.
    fn turn(&self, server: &Server, order: u64, waiting_hosts: &[Name]) -> usize {
        let seed = server.key ^ order;
        let hash = |host: &Name| xxh3_64_with_seed(host.as_bytes(), seed);
        turn(hash(&self.peers.me().name), waiting_hosts.iter().map(hash))
    }

    fn open(
        &self,
        service: &Name,
        role: ServerRole,
        now: Instant,
        tried: &[Name],
    ) -> Vec<Arc<Server>> {
        let mut servers = self.view.roster().open(service, role, now);
        let switching = self.loads.switching(now);
        servers.retain(|s| !tried.contains(&s.entry.instance) && !switching.contains(&s.key));
        let unreachable = self.peers.unreachable_elsewhere();
        let reachable: Vec<Arc<Server>> =
            servers.iter().filter(|s| !unreachable.contains(&s.key)).cloned().collect();
        // When all seem gone, this host's own tries tell which are back.
        if reachable.is_empty() { servers } else { reachable }
    }
}

/// Returns what sets the order of the waiting hosts at a time of day. It changes with
/// time, by which hosts that have none of the first turns get some; clocks that differ
/// only cost the odd refusal.
fn turn_order(now_ms: u64) -> u64 {
    (now_ms / TURN_MS).wrapping_mul(TURN_MIX)
}

fn take(line: &mut Vec<Waiting>, id: u64) -> Option<Waiting> {
    let at = line.iter().position(|w| w.waiter.id == id)?;
    Some(line.remove(at))
}

//! The `dispatch` module places model requests on engines and queues those for which
//! no engine has capacity. The decisions are in
//! `aspenloft_policy::{engine_choice, waiting}`.

use std::time::{Duration, Instant};

use aspenloft_core::clock::{after, unix_millis};
use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::prelude::{Arc, Name, SharedClock};
use aspenloft_policy::engine_choice::{
    DecodeLoad, MEMORY_SHARE, PrefillLoad, choose_decode, choose_prefill, hosts_ahead,
    placed_before, preference_penalty,
};
use aspenloft_policy::mechanisms::Mechanisms;
use aspenloft_policy::stream_versions::VersionTag;
use aspenloft_policy::waiting::{self, ArrivalDecision, WaitOptions, WaitingRequest};
use async_std::task;
use futures::channel::oneshot;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::EngineProfile;
use crate::containment::contain_sync;
use crate::front::leaving_error;
use crate::loads::{EngineLoads, QueueDigest, QueueScope, RunGuard, RunSize, service_key};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::permits::Permits;
use crate::request::InboundRequest;
use crate::roster::{Server, ServerRole};
use crate::shutdown::WorkKind;
use crate::view::View;

/// How often the queue is processed while it is not empty: every few decode steps.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The minimum `Retry-After` of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long an engine counts as full after it refused a request although capacity was
/// forecast: about the time until one of its requests ends.
const FULL_DURATION: Duration = Duration::from_millis(300);

/// How long the order is valid in which hosts with queued requests may take an
/// engine's free capacity, in milliseconds: about the time in which a host's placement
/// reaches all other hosts.
const TURN_ORDER_MS: u64 = 120;

/// How long it takes until hosts in other data centres of a small deployment know of a
/// placement: the interval between digests plus the network latency.
const DIGEST_DELAY: Duration = Duration::from_millis(60);

/// A multiplicative hash constant that spreads consecutive numbers over all bits, so
/// that successive orders differ.
const TURN_ORDER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// How much slower a decode engine counts that has to process prompts itself while there
/// are prefill engines of other versions.
const PREFILL_SLOWDOWN: f64 = 1.0;

/// The share of an engine's memory in use below which it has ample free memory.
const AMPLE_MEMORY_SHARE: f64 = 0.8;

/// `Placement` holds the engines that a request is assigned to.
#[derive(Debug)]
pub struct Placement {
    /// The decode engine, which generates the output.
    pub decode: Arc<Server>,
    /// The prefill engine; `None` when the decode engine processes the prompt too.
    pub prefill: Option<Arc<Server>>,
    /// Accounts for the request on the decode engine until it is dropped.
    pub run: RunGuard,
}

/// `RunNeeds` is what a request needs of its decode engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunNeeds {
    /// The size of the request.
    pub size: RunSize,
    /// The version of the software that the engine must have, for a stream that goes on.
    pub version: Option<VersionTag>,
}

impl RunNeeds {
    /// Returns whether `server` has the version that is needed.
    fn version_matches(&self, server: &Server) -> bool {
        self.version.is_none_or(|version| version.continues_at(server.version))
    }
}

struct QueuedRequest {
    waiter: WaitingRequest,
    service: Name,
    needs: RunNeeds,
    tx: oneshot::Sender<Result<Placement, WaitEnd>>,
}

/// Why a request leaves the queue without a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitEnd {
    /// No engine had capacity in time.
    TimedOut,
    /// The host is leaving and could not finish the request any more.
    Leaving,
}

/// `Dispatcher` places model requests.
pub struct Dispatcher {
    view: Arc<View>,
    loads: Arc<EngineLoads>,
    peers: Arc<Peers>,
    permits: Arc<Permits>,
    clock: SharedClock,
    metrics: Arc<Metrics>,
    mechanisms: Mechanisms,
    options: WaitOptions,
    queue: Mutex<Vec<QueuedRequest>>,
}

impl Dispatcher {
    /// Creates a dispatcher for the host of `peers`.
    pub fn new(
        view: Arc<View>,
        loads: Arc<EngineLoads>,
        peers: Arc<Peers>,
        permits: Arc<Permits>,
        clock: SharedClock,
        metrics: Arc<Metrics>,
        mechanisms: Mechanisms,
    ) -> Arc<Dispatcher> {
        let options = WaitOptions::default();
        let queue = Mutex::default();
        Arc::new(Dispatcher {
            view,
            loads,
            peers,
            permits,
            clock,
            metrics,
            mechanisms,
            options,
            queue,
        })
    }

    /// Places the request, immediately or once an engine has capacity. An error means
    /// that the request has not run and will not.
    pub async fn place(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        engine: &EngineProfile,
        needs: RunNeeds,
    ) -> Result<Placement, Error> {
        let size = needs.size;
        // Engines refuse such a request as they do when they are full, so it gets the
        // same error.
        if size.prompt >= engine.memory_tokens {
            return Err(Error::new(ErrorCode::Overloaded, "the prompt exceeds an engine's memory"));
        }
        let max_expected =
            ((engine.memory_tokens as f64 * MEMORY_SHARE) as u64).saturating_sub(size.prompt);
        let size = RunSize { expected: size.expected.min(max_expected).max(1), ..size };
        let needs = RunNeeds { size, ..needs };
        let now = self.clock.now();
        if !self.has_queued(&inbound.service)
            && let Some(placement) =
                self.try_place(&inbound.service, needs, QueueScope::OnTime, now)
        {
            return Ok(placement);
        }
        self.wait(inbound, needs, now).await
    }

    /// Returns whether a request for `service` is queued, which goes before a new one.
    fn has_queued(&self, service: &Name) -> bool {
        self.queue.lock().iter().any(|queued| queued.service == *service)
    }

    /// Places a request again that the engine of its first placement did not accept.
    pub async fn place_again(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        needs: RunNeeds,
    ) -> Result<Placement, Error> {
        let now = self.clock.now();
        match self.try_place(&inbound.service, needs, QueueScope::OnTime, now) {
            Some(placement) => Ok(placement),
            None => self.wait(inbound, needs, now).await,
        }
    }

    async fn wait(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        needs: RunNeeds,
        now: Instant,
    ) -> Result<Placement, Error> {
        let (tx, rx) = oneshot::channel();
        let waiter = WaitingRequest {
            id: 0,
            continues: needs.version.is_some(),
            priority: inbound.route.priority,
            arrived: inbound.arrived,
            due: after(inbound.arrived, inbound.route.target_latency),
            deadline: inbound.deadline,
        };
        let expected = self.expected_wait(&inbound.service, needs, now);
        if let ArrivalDecision::Refuse(expected) =
            waiting::decide_arrival(&waiter, expected, now, &self.options)
            && self.mechanisms.early_rejection
        {
            return Err(self.overload_error(
                inbound,
                "no engine is expected to have capacity in time",
                expected,
            ));
        }
        self.enqueue(
            inbound,
            QueuedRequest { waiter, service: inbound.service.clone(), needs, tx },
        )?;
        let placed = rx.await.unwrap_or(Err(WaitEnd::TimedOut));
        let waited = self.clock.now().saturating_duration_since(now);
        self.metrics.waited(waited);
        placed.map_err(|end| {
            if end == WaitEnd::Leaving {
                return leaving_error();
            }
            let expected = self.expected_wait(&inbound.service, needs, self.clock.now());
            let message = format!(
                "no engine had capacity for a prompt of {} tokens within {} ms",
                needs.size.prompt,
                waited.as_millis()
            );
            self.overload_error(inbound, &message, expected)
        })
    }

    /// Returns the expected wait for capacity of a request that arrives now.
    fn expected_wait(&self, service: &Name, needs: RunNeeds, now: Instant) -> Duration {
        let mut servers = self.eligible_servers(service, ServerRole::Decode, now, &[]);
        servers.retain(|server| needs.version_matches(server));
        let mut runs = self.loads.runs(now);
        let on_eligible = servers.iter().filter_map(|server| runs.remove(&server.key));
        let remaining: Vec<u64> = on_eligible.flatten().map(|run| run.remaining).collect();
        let limited = servers.iter().map(|server| self.permits.known_wait(server)).min();
        // Streams that go on are placed before all others.
        let ahead = match needs.version {
            Some(_) => 0,
            None => self.loads.queued(service, now),
        };
        waiting::expected_wait(remaining, ahead, self.loads.step()).max(limited.unwrap_or_default())
    }

    fn overload_error(&self, inbound: &InboundRequest, message: &str, expected: Duration) -> Error {
        let after = inbound.with_jitter(expected.max(MIN_RETRY_AFTER));
        Error::new(ErrorCode::Overloaded, message).retry_after(after)
    }

    fn enqueue(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        mut queued: QueuedRequest,
    ) -> Result<(), Error> {
        let mut queue = self.queue.lock();
        if queue.len() >= self.options.max_waiting {
            let expected = MIN_RETRY_AFTER;
            return Err(self.overload_error(
                inbound,
                "too many requests wait for an engine",
                expected,
            ));
        }
        let idle = queue.is_empty();
        queued.waiter.id = queue.iter().map(|w| w.waiter.id).max().unwrap_or(0) + 1;
        queue.push(queued);
        self.report_queues(&queue);
        if idle {
            task::spawn(self.clone().serve_queue());
        }
        Ok(())
    }

    /// Processes the queue periodically until it is empty.
    async fn serve_queue(self: Arc<Self>) {
        loop {
            task::sleep(QUEUE_POLL_INTERVAL).await;
            let mut queue = self.queue.lock();
            if contain_sync("queue", || self.process_queue(&mut queue)).is_none() {
                // Their callers are told to return; what made it panic may be one of them.
                queue.clear();
            }
            self.report_queues(&queue);
            if queue.is_empty() {
                return;
            }
        }
    }

    /// Makes the numbers of queued requests known to the other hosts.
    fn report_queues(&self, queue: &[QueuedRequest]) {
        let now = self.clock.now();
        let mut digests: Vec<QueueDigest> = Vec::new();
        for queued in queue {
            let service = service_key(&queued.service);
            let known = digests.iter().position(|digest| digest.service == service);
            let index = known.unwrap_or_else(|| {
                digests.push(QueueDigest { service, on_time: 0, late: 0 });
                digests.len() - 1
            });
            if queued.waiter.meets_target(now, &self.options) {
                digests[index].on_time += 1;
            } else {
                digests[index].late += 1;
            }
        }
        self.loads.set_queues(digests);
    }

    /// Places the queued requests for which there is capacity, and fails those that have
    /// waited too long.
    fn process_queue(&self, queue: &mut Vec<QueuedRequest>) {
        let now = self.clock.now();
        // The receiver is dropped when the caller disconnects.
        queue.retain(|w| !w.tx.is_canceled());
        let waiters: Vec<WaitingRequest> = queue.iter().map(|w| w.waiter).collect();
        for id in waiting::timed_out(&waiters, now, &self.options) {
            let _ = remove_queued(queue, id).map(|w| w.tx.send(Err(WaitEnd::TimedOut)));
        }
        // Another host can still finish what this one cannot begin in time.
        let may_start = |w: &QueuedRequest| {
            let limit = w.waiter.deadline.saturating_duration_since(now);
            self.peers.shutdown().may_start(WorkKind::Generation, limit, now)
        };
        for waiting in queue.extract_if(.., |w| !may_start(w)) {
            let _ = waiting.tx.send(Err(WaitEnd::Leaving));
        }
        let waiters: Vec<WaitingRequest> = queue.iter().map(|w| w.waiter).collect();
        let mut without_room: Vec<Name> = Vec::new();
        for id in waiting::placement_order(&waiters, now, &self.options) {
            let Some(next) = queue.iter().find(|w| w.waiter.id == id) else { continue };
            if without_room.contains(&next.service) {
                continue;
            }
            let on_time = self.loads.queued_elsewhere(&next.service, QueueScope::OnTime, now);
            if self.mechanisms.late_yields && next.waiter.yields(on_time, now, &self.options) {
                continue;
            }
            let scope = match next.waiter.meets_target(now, &self.options) {
                true => QueueScope::OnTime,
                false => QueueScope::All,
            };
            let Some(placement) = self.try_place(&next.service, next.needs, scope, now) else {
                // Those behind it do not overtake it, but engines of another version may
                // have room for them.
                if next.needs.version.is_none() {
                    without_room.push(next.service.clone());
                }
                continue;
            };
            let _ = remove_queued(queue, id).map(|w| w.tx.send(Ok(placement)));
        }
    }

    /// Places a request if there is capacity beside what the hosts that have queued requests
    /// in `scope` take first.
    fn try_place(
        &self,
        service: &Name,
        needs: RunNeeds,
        scope: QueueScope,
        now: Instant,
    ) -> Option<Placement> {
        let decode = self.choose_decode_engine_beside(service, needs, scope, now, &[])?;
        let prefill = self.choose_prefill_engine(service, &decode, now, &[]);
        for server in prefill.iter().chain([&decode]) {
            server.state.health(|h| h.record_dispatch(now));
        }
        let run = self.loads.begin_run(decode.key, needs.size, now);
        Some(Placement { decode, prefill, run })
    }

    /// Tells whether an engine could take over a stream that began at `version`, though it
    /// may be full or unreachable now.
    pub fn has_version(&self, service: &Name, version: VersionTag) -> bool {
        let (roster, now) = (self.view.roster(), self.clock.now());
        roster.all().any(|s| {
            s.entry.service == *service
                && s.entry.role == ServerRole::Decode
                && s.is_staying(now)
                && version.continues_at(s.version)
        })
    }

    /// Returns the best decode engine for a request with `needs`, except those in `tried`.
    pub fn choose_decode_engine(
        &self,
        service: &Name,
        needs: RunNeeds,
        now: Instant,
        tried: &[Name],
    ) -> Option<Arc<Server>> {
        self.choose_decode_engine_beside(service, needs, QueueScope::OnTime, now, tried)
    }

    fn choose_decode_engine_beside(
        &self,
        service: &Name,
        needs: RunNeeds,
        scope: QueueScope,
        now: Instant,
        tried: &[Name],
    ) -> Option<Arc<Server>> {
        let configuration = self.view.configuration()?;
        let profile = configuration.services.get(service)?.engine.as_ref()?;
        let mut servers = self.eligible_servers(service, ServerRole::Decode, now, tried);
        servers.retain(|s| {
            needs.version_matches(s)
                && !s.state.is_full(now)
                && self.permits.known_wait(s).is_zero()
        });
        let prefill_versions = self.prefill_versions(service, &servers, now);
        let must_prefill = |decode: &Server| {
            !prefill_versions.is_empty() && !prefill_versions.contains(&decode.version)
        };
        let mut runs = self.loads.runs(now);
        let waiting_hosts = self.loads.queueing_hosts(service, scope, now);
        let group = self.peers.group();
        let digest_horizon = now.checked_sub(DIGEST_DELAY).unwrap_or(now);
        let started = self.loads.runs_started_since(digest_horizon);
        let order = turn_order(unix_millis(self.clock.system_time()));
        let loads: Vec<DecodeLoad> = servers
            .iter()
            .map(|server| DecodeLoad {
                slots: profile.slots,
                capacity: profile.memory_tokens,
                runs: runs.remove(&server.key).unwrap_or_default(),
                local: !self.mechanisms.groups
                    || group.has_engine(server.key, &server.entry.data_centre),
                slowdown: 1.0
                    + self.failure_penalty(server, now)
                    + if must_prefill(server) { PREFILL_SLOWDOWN } else { 0.0 },
                preference_penalty: self.preference(server),
                placed_before: if self.mechanisms.turns {
                    placed_before(
                        self.waiting_hosts_ahead(server, order, &waiting_hosts),
                        waiting_hosts.len(),
                        started.get(&server.key).copied().unwrap_or_default(),
                    )
                } else {
                    0
                },
            })
            .collect();
        choose_decode(&loads, needs.size.forecast()).map(|index| servers[index].clone())
    }

    /// Returns the versions of the prefill engines, if `decode` are engines of several
    /// versions; otherwise nothing depends on them.
    fn prefill_versions(
        &self,
        service: &Name,
        decode: &[Arc<Server>],
        now: Instant,
    ) -> Vec<VersionTag> {
        if decode.windows(2).all(|pair| pair[0].version == pair[1].version) {
            return Vec::new();
        }
        let engines = self.view.roster().available(service, ServerRole::Prefill, now);
        engines.iter().map(|engine| engine.version).collect()
    }

    /// Records that a decode engine refused a request. Returns whether the engine seems
    /// to have ample free memory, in which case the refusal has another cause.
    pub fn record_refusal(&self, server: &Server, capacity: u64, now: Instant) -> bool {
        let runs = self.loads.runs(now).remove(&server.key).unwrap_or_default();
        let used_tokens: u64 = runs.iter().map(|r| r.held).sum();
        let ample = (used_tokens as f64) < capacity as f64 * AMPLE_MEMORY_SHARE;
        let name = &*server.entry.instance;
        log::info!(event = "engine_refused", server = name, runs = runs.len(), held = used_tokens, capacity, ample; "");
        if !ample {
            self.record_full(server, now);
        }
        ample
    }

    /// Records that a decode engine has no capacity, so that it gets no work for a while.
    pub fn record_full(&self, server: &Server, now: Instant) {
        if self.mechanisms.full_pause {
            server.state.set_full(now + FULL_DURATION);
        }
    }

    /// Returns the best prefill engine for a request that is decoded on `decode`, except
    /// those in `tried`. It has the same version, because the KV cache that one version
    /// writes may not fit another.
    pub fn choose_prefill_engine(
        &self,
        service: &Name,
        decode: &Server,
        now: Instant,
        tried: &[Name],
    ) -> Option<Arc<Server>> {
        let mut servers = self.eligible_servers(service, ServerRole::Prefill, now, tried);
        servers.retain(|s| s.version == decode.version && self.permits.known_wait(s).is_zero());
        let queued = self.loads.prefill_tokens(now);
        let group = self.peers.group();
        let in_decode_group = |server: &Server| {
            server.entry.data_centre == decode.entry.data_centre
                && group.same_group(server.key, decode.key)
        };
        let loads: Vec<PrefillLoad> = servers
            .iter()
            .map(|server| PrefillLoad {
                queued: queued.get(&server.key).copied().unwrap_or_default(),
                in_decode_group: in_decode_group(server),
                preference_penalty: self.preference(server),
            })
            .collect();
        choose_prefill(&loads).map(|index| servers[index].clone())
    }

    fn failure_penalty(&self, server: &Server, now: Instant) -> f64 {
        match self.mechanisms.failure_penalty {
            true => server.state.health(|h| h.failure_rate(now)),
            false => 0.0,
        }
    }

    fn preference(&self, server: &Server) -> f64 {
        if !self.mechanisms.preferences {
            return 0.0;
        }
        preference_penalty(xxh3_64_with_seed(self.peers.local_host().name.as_bytes(), server.key))
    }

    /// Returns how many of `waiting_hosts` precede this host on `server` in `order`.
    fn waiting_hosts_ahead(&self, server: &Server, order: u64, waiting_hosts: &[Name]) -> usize {
        let seed = server.key ^ order;
        let hash = |host: &Name| xxh3_64_with_seed(host.as_bytes(), seed);
        hosts_ahead(hash(&self.peers.local_host().name), waiting_hosts.iter().map(hash))
    }

    fn eligible_servers(
        &self,
        service: &Name,
        role: ServerRole,
        now: Instant,
        tried: &[Name],
    ) -> Vec<Arc<Server>> {
        let mut servers = self.view.roster().available(service, role, now);
        let switching = self.loads.switching(now);
        servers.retain(|s| !tried.contains(&s.entry.instance) && !switching.contains(&s.key));
        let unreachable = self.peers.unreachable_elsewhere(service);
        let reachable: Vec<Arc<Server>> = servers
            .iter()
            .filter(|s| !unreachable.contains(&s.key) || s.state.is_heard(now))
            .cloned()
            .collect();
        // When all are reported unreachable, this host tries them itself, which shows
        // which ones are back.
        if reachable.is_empty() { servers } else { reachable }
    }
}

/// Returns the seed of the order of waiting hosts at the time `now_ms`. The order
/// changes over time so that no host stays last; clocks that differ between hosts only
/// cause an occasional refusal.
fn turn_order(now_ms: u64) -> u64 {
    (now_ms / TURN_ORDER_MS).wrapping_mul(TURN_ORDER_MULTIPLIER)
}

fn remove_queued(queue: &mut Vec<QueuedRequest>, id: u64) -> Option<QueuedRequest> {
    let at = queue.iter().position(|w| w.waiter.id == id)?;
    Some(queue.remove(at))
}

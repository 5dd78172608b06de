//! The `run` module builds a host from its settings and the platform's adapters, and
//! runs it until a signal stops it.

use aspenloft_core::clock::SystemClock;
use aspenloft_core::errors::{Result, unavailable};
use aspenloft_core::prelude::{Arc, Host, SharedClock};
use aspenloft_policy::retry_window::RetryAllowance;
use aspenloft_protocol::platform::{ChangeFeed, KeyValue};
use aspenloft_transport::connections::{ConnectionLimits, ConnectionSet};
use aspenloft_transport::connector::Connector;
use aspenloft_transport::mesh::{self, MeshOptions};
use async_std::net::{TcpListener, UdpSocket};
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use futures::StreamExt;
use parking_lot::Mutex;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use std::net::SocketAddr;
use std::time::Duration;

use crate::body_budget::BodyBudget;
use crate::call::CallHandler;
use crate::containment::spawn_restarting;
use crate::crashes::Crashes;
use crate::demand::DemandTracker;
use crate::descriptors::{DescriptorShares, RelievingConnector, relieve_memory};
use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::forwarding::Forwarder;
use crate::front::Frontend;
use crate::generation::GenerationHandler;
use crate::http::{BackendClient, Pool, PoolOptions};
use crate::loads::EngineLoads;
use crate::metrics::Metrics;
use crate::orders::Orders;
use crate::path::PathMonitor;
use crate::peers::{LocalState, PeerServer, Peers};
use crate::permits::Permits;
use crate::probes;
use crate::reach::ReachProbe;
use crate::retries::RetryBudgets;
use crate::server_limits::ServerLimits;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::stream_log::StreamLog;
use crate::stream_versions::StreamVersions;
use crate::sync::{StoreSync, SyncOptions, SyncState};
use crate::view::View;

/// How often it is checked which idle connections to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How many callers' connections beyond the limit are accepted to refuse their requests.
const MAX_REFUSED: usize = 64;

/// How long a caller's connection is kept in any case until its first request has been read.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// `Platform` holds the adapters that connect a host to its platform.
pub struct Platform {
    /// Follows changes of keys in the key-value service.
    pub feed: Arc<dyn ChangeFeed>,
    /// Reads and writes keys of the key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// Translates message heads, items of the key-value service and engine calls.
    pub dialect: Arc<dyn Dialect>,
    /// Opens connections to backend servers.
    pub connector: Arc<dyn Connector>,
    /// Opens connections to other hosts.
    pub peer_connector: Arc<dyn Connector>,
}

/// Runs a host until SIGTERM or SIGINT stops it; returns the number of requests that
/// the stop interrupted.
pub async fn run(settings: Settings, platform: Platform, metrics: Arc<Metrics>) -> Result<usize> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| unavailable(e.to_string()))?;
    let clock: SharedClock = Arc::new(SystemClock);
    let shutdown = start(&settings, platform, metrics, clock.clone()).await?;
    while let Some(signal) = signals.next().await {
        if signal != SIGHUP {
            break;
        }
        // SIGHUP changes nothing: settings are only read when the process starts.
        log::info!(event = "reload", changed = false; "");
    }
    Ok(shutdown.drain(&clock, &settings.shutdown).await)
}

/// Starts all tasks of a host; they run until the process ends.
pub async fn start(
    settings: &Settings,
    platform: Platform,
    metrics: Arc<Metrics>,
    clock: SharedClock,
) -> Result<Arc<Shutdown>> {
    let host = Host {
        name: settings.host.clone(),
        addr: settings.listen.peers,
        data_centre: settings.data_centre.clone(),
        leaving: false,
    };
    let view = Arc::<View>::default();
    let (loads, load_changes) = EngineLoads::new();
    let demand = Arc::<DemandTracker>::default();
    let peers_port = settings.listen.peers.port();
    let seeds = settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), peers_port)).collect();
    let shutdown = Arc::<Shutdown>::default();
    let limits = ServerLimits::new(clock.clone(), metrics.clone());
    let streams = StreamVersions::new(clock.clone(), view.clone());
    let shares = DescriptorShares::of_process(settings);
    let connection_limits = ConnectionLimits {
        max: shares.callers,
        max_excess: MAX_REFUSED,
        first_request: FIRST_REQUEST_TIME,
    };
    let connections = ConnectionSet::new(connection_limits, clock.clone());
    let relieving =
        |connector| RelievingConnector::new(connector, connections.clone(), clock.clone());
    let connector = relieving(platform.connector.clone());
    let reach = ReachProbe::new(connector.clone(), view.clone(), clock.clone());
    let path = PathMonitor::new(connector, reach.clone(), clock.clone());
    let crashes = Crashes::new(clock.clone(), loads.clone(), reach.clone());
    let local_state = LocalState {
        loads: loads.clone(),
        demand: demand.clone(),
        view: view.clone(),
        limits: limits.clone(),
        streams: streams.clone(),
        crashes: crashes.clone(),
        path: path.clone(),
        shutdown: shutdown.clone(),
    };
    let peer_connector = relieving(platform.peer_connector);
    let peers = Peers::new(host, clock.clone(), local_state, seeds, peer_connector);
    let permits = Permits::new(limits.clone(), peers.clone(), view.clone(), clock.clone());

    let socket = Arc::new(UdpSocket::bind(settings.listen.peers).await.map_err(bind_failed)?);
    let mesh = bind(settings.listen.peers).await?;
    let callers = bind(settings.listen.callers).await?;
    let readiness = bind(settings.listen.readiness).await?;
    let metrics_listener = bind(settings.listen.metrics).await?;

    let kv = platform.kv.clone();
    let sync = Arc::new(StoreSync {
        feed: platform.feed,
        kv: platform.kv,
        dialect: platform.dialect.clone(),
        view: view.clone(),
        peers: peers.clone(),
        metrics: metrics.clone(),
        clock: clock.clone(),
        options: SyncOptions::default(),
        state: Mutex::new(SyncState::default()),
        confirmed_from: AsyncMutex::default(),
    });
    let spawned = sync.clone();
    spawn_restarting("sync", move || spawned.clone().run());
    let spawned = sync.clone();
    spawn_restarting("catch_up", move || spawned.clone().catch_up_from_peers());
    let spawned = sync.clone();
    spawn_restarting("entry", move || spawned.clone().maintain_entry());
    let (spawned, udp) = (peers.clone(), socket.clone());
    spawn_restarting("digests_received", move || spawned.clone().receive_digests(udp.clone()));
    let spawned = peers.clone();
    spawn_restarting("digests_sent", move || {
        spawned.clone().send_digests(socket.clone(), load_changes.clone())
    });

    let ready = probes::Readiness { view: view.clone(), shutdown: shutdown.clone() };
    let readiness_path = platform.dialect.readiness_path().to_string();
    task::spawn(probes::serve_readiness(
        readiness,
        readiness_path,
        ready,
        metrics.clone(),
        clock.clone(),
    ));
    task::spawn(probes::serve_metrics(metrics_listener, metrics.clone(), clock.clone()));

    let pool_options = PoolOptions { max_open: shares.servers, ..PoolOptions::default() };
    let pool = Pool::new(pool_options, path.clone(), clock.clone(), metrics.clone());
    metrics.observe_connections(&connections, &pool);
    let (spawned, kept, memory_mb) = (pool.clone(), connections.clone(), settings.memory_mb);
    spawn_restarting("sweep", move || sweep(spawned.clone(), kept.clone(), memory_mb));
    let client = BackendClient::new(
        pool,
        platform.dialect.clone(),
        limits,
        view.clone(),
        BodyBudget::new(settings.memory_mb),
    );
    let allowance = RetryAllowance {
        ratio: settings.retries.ratio,
        slack: settings.retries.slack,
        window: settings.retries.window_s,
    };
    let retries = Arc::new(RetryBudgets::new(allowance, metrics.clone()));
    let dispatcher = Dispatcher::new(
        view.clone(),
        loads.clone(),
        peers.clone(),
        permits.clone(),
        clock.clone(),
        metrics.clone(),
        settings.mechanisms,
    );
    let log = StreamLog::new(kv.clone(), sync, peers.clone(), streams.clone(), clock.clone());
    let spawned = log.clone();
    spawn_restarting("stream_log", move || spawned.clone().run());
    shutdown.add_exit_hook(log.clone());
    let orders = Arc::new(Orders {
        host: settings.host.clone(),
        kv,
        view: view.clone(),
        loads: loads.clone(),
        demand: demand.clone(),
        peers: peers.clone(),
        client: client.clone(),
        permits: permits.clone(),
        dialect: platform.dialect.clone(),
        path: path.clone(),
        shutdown: shutdown.clone(),
        metrics: metrics.clone(),
        clock: clock.clone(),
    });
    if settings.mechanisms.role_changes {
        spawn_restarting("orders", move || orders.clone().run());
    }
    let generations = Arc::new(GenerationHandler {
        mechanisms: settings.mechanisms,
        demand,
        view: view.clone(),
        dispatcher,
        client: client.clone(),
        permits: permits.clone(),
        dialect: platform.dialect.clone(),
        retries: retries.clone(),
        peers: peers.clone(),
        loads,
        streams,
        log: log.clone(),
        crashes: crashes.clone(),
        metrics: metrics.clone(),
        path: path.clone(),
        clock: clock.clone(),
    });
    let calls = CallHandler {
        view: view.clone(),
        client,
        permits: permits.clone(),
        dialect: platform.dialect.clone(),
        retries: retries.clone(),
        peers: peers.clone(),
        crashes,
        path: path.clone(),
        clock: clock.clone(),
        data_centre: settings.data_centre.clone(),
    };
    let forwarder = Forwarder {
        peers: peers.clone(),
        view: view.clone(),
        path,
        retries: retries.clone(),
        metrics: metrics.clone(),
        clock: clock.clone(),
        in_flight: Arc::default(),
        enabled: settings.mechanisms.forwarding,
    };
    let front = Arc::new(Frontend {
        view,
        dialect: platform.dialect,
        calls,
        generations,
        forwarder,
        connections,
        bodies: BodyBudget::new(settings.memory_mb),
        retries,
        shutdown: shutdown.clone(),
        metrics,
        clock: clock.clone(),
    });
    let server = PeerServer { peers, permits, reach, log, forwarded: front.clone() };
    let mesh_options = MeshOptions { max_connections: shares.hosts, ..MeshOptions::default() };
    task::spawn(mesh::serve_with(mesh, Arc::new(server), mesh_options));
    task::spawn(front.serve(callers));
    log::info!(event = "started", host = &*settings.host, data_centre = &*settings.data_centre; "");
    Ok(shutdown)
}

async fn sweep(pool: Arc<Pool>, callers: Arc<ConnectionSet>, memory_mb: u64) {
    loop {
        task::sleep(SWEEP_INTERVAL).await;
        pool.close_expired();
        relieve_memory(&callers, memory_mb);
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(bind_failed)
}

fn bind_failed(e: std::io::Error) -> aspenloft_core::errors::Error {
    unavailable(format!("cannot listen: {e}"))
}

//! The `node` module holds the state that a host's listeners and loops share.
//!
//! Lock order: the view's locks, then the trackers of the home service, then the
//! links to the peers. No lock is held across an `await`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{RequestId, SharedClock};
use aspenloft_ledger::options::ShardOptions;
use aspenloft_policy::explain::Explanations;
use aspenloft_protocol::peer::control::{ControlReply, ControlRequest};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use aspenloft_protocol::platform::{HostList, HostListClient, KeyValue, KvClient};
use async_trait::async_trait;
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::home::service::HomeService;
use crate::ledger::entry::OwnerHints;
use crate::ledger::orders::OrderService;
use crate::ledger::{LedgerService, LedgerServiceConfig};
use crate::levels::record::ServiceLevels;
use crate::levels::report;
use crate::limits::service::{self as limits, Limits};
use crate::membership::listing::RefreshFlag;
use crate::membership::{beats, tables};
use crate::metrics::Metrics;
use crate::path::model::queue::AdmissionController;
use crate::path::model::router::Router;
use crate::path::service::ServiceDispatcher;
use crate::peers::{PeerHandler, Peers, ReplySender};
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::suspects::{self, Suspects};
use crate::view::View;

/// The maximum number of requests whose decisions are kept for operators; the oldest
/// is dropped first.
const EXPLAINED_REQUESTS: usize = 256;

/// `Node` is the state of one host of the router.
pub struct Node {
    /// The contents of the settings file.
    pub settings: Settings,
    /// The source of monotonic and wall-clock time.
    pub clock: SharedClock,
    /// The table, the live hosts and the backend servers, as this host knows them.
    pub view: Arc<View>,
    /// Calls to other hosts and to this one.
    pub peers: Peers,
    /// The client of the platform's key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The client of the platform's list of hosts and backend servers.
    pub host_list: Arc<dyn HostList>,
    /// Serves the calls for the backend servers whose home this host is.
    pub home: HomeService,
    /// This host's share of the limits in the table.
    pub limits: Limits,
    /// Requests suspected or convicted of crashing backend servers.
    pub suspects: Suspects,
    /// Counts of served, late and failed requests, for the service levels.
    pub levels: ServiceLevels,
    /// The instruments behind the metrics page.
    pub metrics: Metrics,
    /// The stage of a graceful shutdown and the counts of work in flight.
    pub shutdown: Arc<Shutdown>,
    /// Sends calls to the servers of plain services.
    pub service_dispatcher: Arc<ServiceDispatcher>,
    /// Serves the calls for the ledger shards that this host owns.
    pub ledger: LedgerService,
    /// Issues orders to backend servers.
    pub orders: Arc<OrderService>,
    /// The last known owners of ledger shards.
    pub owner_hints: OwnerHints,
    /// What the choice of backend servers depends on: caches, estimates and faults.
    pub router: Router,
    /// Admission control: requests that wait for capacity.
    pub admission: AdmissionController,
    /// The routing decisions of the latest requests, for operators.
    pub explain: Mutex<Explanations>,
    /// Requests an early read of the platform's list.
    pub listing_refresh: RefreshFlag,
    request_count: AtomicU64,
    started_ms: u64,
    rng: Mutex<StdRng>,
}

impl Node {
    /// Creates a node from `settings`, with clients of the platform named there.
    pub fn new(settings: Settings, clock: SharedClock) -> Result<Arc<Node>> {
        let kv = Arc::new(KvClient::new(settings.platform.key_value));
        let host_list = Arc::new(HostListClient::new(settings.platform.host_list));
        Node::with_platform(settings, clock, kv, host_list)
    }

    /// Creates a node from `settings` that uses the given platform clients.
    pub fn with_platform(
        settings: Settings,
        clock: SharedClock,
        kv: Arc<dyn KeyValue>,
        host_list: Arc<dyn HostList>,
    ) -> Result<Arc<Node>> {
        let started_ms = unix_millis(clock.system_time());
        let view = Arc::new(View::with_incarnation(settings.host(), started_ms, clock.now()));
        let service_dispatcher = Arc::new(ServiceDispatcher::new(view.clone(), clock.clone()));
        let mut rng = StdRng::from_os_rng();
        let orders = OrderService::new(kv.clone(), clock.clone(), view.clone(), rng.random());
        let ledger = LedgerService::start(LedgerServiceConfig {
            host: settings.host.clone(),
            kv: kv.clone(),
            clock: clock.clone(),
            view: view.clone(),
            sender: service_dispatcher.clone(),
            options: ShardOptions::default(),
            seed: rng.random(),
        });
        let peers = Peers::new(settings.host.clone());
        let node = Arc::new(Node {
            kv,
            host_list,
            service_dispatcher,
            ledger,
            orders: Arc::new(orders),
            owner_hints: OwnerHints::default(),
            metrics: Metrics::new(&settings.host, peers.traffic().clone())?,
            peers,
            home: HomeService::new(clock.clone(), view.clone()),
            limits: Limits::default(),
            suspects: Suspects::default(),
            levels: ServiceLevels::default(),
            shutdown: Arc::default(),
            router: Router::default(),
            admission: AdmissionController::default(),
            explain: Mutex::new(Explanations::new(EXPLAINED_REQUESTS)),
            request_count: AtomicU64::new(0),
            started_ms,
            listing_refresh: RefreshFlag::default(),
            rng: Mutex::new(rng),
            view,
            clock,
            settings,
        });
        node.peers.set_local(Arc::new(Dispatch(node.clone())));
        Ok(node)
    }

    /// Returns a new request id. It contains the start time of the process, so that it
    /// differs from every id issued before a restart.
    pub fn next_request_id(&self) -> RequestId {
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        RequestId(format!("{}-{:x}-{count:x}", self.settings.host, self.started_ms).into())
    }

    /// Returns a random number less than `bound`.
    ///
    /// # Panics
    ///
    /// Panics if `bound` is zero.
    pub fn random_below(&self, bound: u64) -> u64 {
        self.rng.lock().random_range(0..bound)
    }

    /// Shuffles `items` in place.
    pub fn shuffle<T>(&self, items: &mut [T]) {
        items.shuffle(&mut *self.rng.lock());
    }
}

/// `Dispatch` routes each peer call to the part of the node that serves it.
pub struct Dispatch(pub Arc<Node>);

#[async_trait]
impl PeerHandler for Dispatch {
    async fn handle(&self, req: PeerRequest, tx: ReplySender) {
        match req {
            PeerRequest::Home(req) => self.0.home.handle(&self.0, req, tx).await,
            PeerRequest::Table(req) => {
                let _ = tx.send(tables::serve(&self.0, &req)).await;
            }
            PeerRequest::Control(req) => {
                let reply = control(&self.0, &req).await;
                let _ = tx.send(reply.map_or_else(PeerReply::Failed, PeerReply::Control)).await;
            }
            PeerRequest::Ledger(call) => {
                let _ = tx.send(self.0.ledger.serve(*call).await).await;
            }
            PeerRequest::Heartbeat(heartbeat) => {
                let _ = tx.send(beats::serve(&self.0, heartbeat)).await;
            }
        }
    }
}

/// Routes a call about limits, suspects or service levels to its module.
async fn control(node: &Arc<Node>, req: &ControlRequest) -> Result<ControlReply> {
    if let Some(served) = limits::serve(node, req).await {
        return served;
    }
    if let Some(served) = suspects::serve(node, req).await {
        return served;
    }
    report::serve(node)
}

//! The `node` module is one host: what all its listeners and loops share.
//!
//! Lock order: the view's locks, then the homes' books, then the connections of
//! the peers. No lock is held over an `await`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{RequestId, SharedClock};
use aspenloft_ledger::options::Options;
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
use crate::membership::listing::Hint;
use crate::membership::{beats, tables};
use crate::metrics::Metrics;
use crate::path::model::gate::Gate;
use crate::path::model::router::Router;
use crate::path::service::Services;
use crate::peers::{PeerHandler, Peers, ReplySender};
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::suspects::{self, Suspects};
use crate::view::View;

/// Requests whose decisions are remembered; the oldest is forgotten first.
const EXPLAINED_REQUESTS: usize = 256;

/// `Node` is one host of the router.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: SharedClock,
    /// What it knows of the deployment.
    pub view: Arc<View>,
    /// The other hosts.
    pub peers: Peers,
    /// The platform's key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The platform's list of hosts.
    pub host_list: Arc<dyn HostList>,
    /// Its work as the home of backend servers.
    pub home: HomeService,
    /// Its part of the table's limits.
    pub limits: Limits,
    /// What it knows of requests that crash backend servers.
    pub suspects: Suspects,
    /// Its count of how requests went.
    pub levels: ServiceLevels,
    /// What it counts for operators.
    pub metrics: Metrics,
    /// Its way out, and the work in flight.
    pub shutdown: Arc<Shutdown>,
    /// The servers of plain services.
    pub services: Arc<Services>,
    /// Its work as an owner of ledger shards.
    pub ledger: LedgerService,
    /// Its orders to backend servers.
    pub orders: Arc<OrderService>,
    /// Where owners of ledger shards were last found.
    pub owners: OwnerHints,
    /// What it has learned for its choices.
    pub router: Router,
    /// The requests that wait for room.
    pub gate: Gate,
    /// The last decisions, for operators.
    pub explain: Mutex<Explanations>,
    /// Asks for a reading of the platform's list.
    pub listing_hint: Hint,
    requests: AtomicU64,
    born_ms: u64,
    random: Mutex<StdRng>,
}

impl Node {
    /// Creates the host that `settings` describe.
    pub fn new(settings: Settings, clock: SharedClock) -> Result<Arc<Node>> {
        let kv = Arc::new(KvClient::new(settings.platform.key_value));
        let host_list = Arc::new(HostListClient::new(settings.platform.host_list));
        Node::with_platform(settings, clock, kv, host_list)
    }

    /// Creates the host that `settings` describe before the given platform.
    pub fn with_platform(
        settings: Settings,
        clock: SharedClock,
        kv: Arc<dyn KeyValue>,
        host_list: Arc<dyn HostList>,
    ) -> Result<Arc<Node>> {
        let born_ms = unix_millis(clock.wall());
        let view = Arc::new(View::with_incarnation(settings.host(), born_ms, clock.now()));
        let services = Arc::new(Services::new(view.clone(), clock.clone()));
        let mut random = StdRng::from_os_rng();
        let orders = OrderService::new(kv.clone(), clock.clone(), view.clone(), random.random());
        let ledger = LedgerService::start(LedgerServiceConfig {
            host: settings.host.clone(),
            kv: kv.clone(),
            clock: clock.clone(),
            view: view.clone(),
            sender: services.clone(),
            options: Options::default(),
            seed: random.random(),
        });
        let peers = Peers::new(settings.host.clone());
        let node = Arc::new(Node {
            kv,
            host_list,
            services,
            ledger,
            orders: Arc::new(orders),
            owners: OwnerHints::default(),
            metrics: Metrics::new(&settings.host, peers.traffic().clone())?,
            peers,
            home: HomeService::new(clock.clone(), view.clone()),
            limits: Limits::default(),
            suspects: Suspects::default(),
            levels: ServiceLevels::default(),
            shutdown: Arc::default(),
            router: Router::default(),
            gate: Gate::default(),
            explain: Mutex::new(Explanations::new(EXPLAINED_REQUESTS)),
            requests: AtomicU64::new(0),
            born_ms,
            listing_hint: Hint::default(),
            random: Mutex::new(random),
            view,
            clock,
            settings,
        });
        node.peers.set_local(Arc::new(Dispatch(node.clone())));
        Ok(node)
    }

    /// Returns a new request id. The time of the host's start keeps ids of its
    /// earlier lives apart.
    pub fn next_request(&self) -> RequestId {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        RequestId(format!("{}-{:x}-{count:x}", self.settings.host, self.born_ms).into())
    }

    /// Returns a random number below `bound`, which must not be zero.
    pub fn random_below(&self, bound: u64) -> u64 {
        self.random.lock().random_range(0..bound)
    }

    /// Puts `items` into a random order.
    pub fn shuffle<T>(&self, items: &mut [T]) {
        items.shuffle(&mut *self.random.lock());
    }
}

/// `Dispatch` hands the calls of hosts to the part of the node that they are for.
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

/// Hands a call about limits, suspects or service levels to its part.
async fn control(node: &Arc<Node>, req: &ControlRequest) -> Result<ControlReply> {
    if let Some(served) = limits::serve(node, req).await {
        return served;
    }
    if let Some(served) = suspects::serve(node, req).await {
        return served;
    }
    report::serve(node)
}

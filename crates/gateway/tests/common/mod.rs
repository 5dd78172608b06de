//! Runs a gateway host in the test process, in front of scripted backend servers. The
//! tests write and read the raw bytes on both sides.

#![allow(dead_code)]

pub mod crashing;
pub mod peer;
pub mod streams;

use std::collections::{BTreeMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use aspenloft_core::clock::SystemClock;
use aspenloft_core::errors::{Error, ErrorCode, Result, invalid};
use aspenloft_core::prelude::{Era, Host, Name, Position, SharedClock};
use aspenloft_core::suspects::PromptPart;
use aspenloft_gateway::configuration::{
    CallerLimits, Configuration, EngineProfile, RepeatPolicy, Route, Service,
};
use aspenloft_gateway::dialect::{
    Dialect, EngineCall, EngineReport, GenerationSize, Phase, RateLimit, RemovedItem,
    RequestMetadata, ResponseMetadata, RoleOrder, SendMetadata, StoreItem,
};
use aspenloft_gateway::http::headers::{end_to_end, header_value};
use aspenloft_gateway::loads::LoadDigest;
use aspenloft_gateway::metrics::Metrics;
use aspenloft_gateway::peers::Digest;
use aspenloft_gateway::roster::{ServerEntry, ServerRole};
use aspenloft_gateway::run::{Platform, start};
use aspenloft_gateway::settings::{Settings, ShutdownSettings};
use aspenloft_gateway::shutdown::Shutdown;
use aspenloft_protocol::platform::{
    Change, ChangeFeed, Changes, KeyValue, LeaseId, Put, Snapshot, Swap, Version, Versioned,
};
use aspenloft_standin::network::FaultyNetwork;
use aspenloft_transport::connector::TcpConnector;
use aspenloft_transport::frames;
use async_std::task;
use async_trait::async_trait;
use bytes::BytesMut;
use http::{HeaderMap, HeaderValue, Method, request, response};
use parking_lot::Mutex;

/// The maximum wait of a test for data or for a condition.
pub const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A dialect whose headers and paths exist only in the tests.
pub struct TestDialect;

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_string)
}

fn call(method: Method, path: &str) -> EngineCall {
    let (headers, body) = Default::default();
    EngineCall { method, path: path.to_string(), headers, body }
}

/// Panics if the request asks for it at `place`.
fn panic_if_asked(headers: &HeaderMap, place: &str) {
    assert!(text(headers, "panic").as_deref() != Some(place), "asked to panic at {place}");
}

impl Dialect for TestDialect {
    fn read_request(&self, head: &request::Parts) -> Result<RequestMetadata> {
        panic_if_asked(&head.headers, "read");
        let timeout_ms = text(&head.headers, "wait-ms").map(|ms| ms.parse::<u64>());
        let timeout_ms = timeout_ms.transpose().map_err(|e| invalid(e.to_string()))?;
        let generation = text(&head.headers, "tokens").and_then(|tokens| {
            let (prompt_tokens, max_output_tokens) = tokens.split_once(',')?;
            let (prompt_tokens, max_output_tokens) =
                (prompt_tokens.parse().ok()?, max_output_tokens.parse().ok()?);
            Some(GenerationSize { prompt_tokens, max_output_tokens, expected_output_tokens: None })
        });
        Ok(RequestMetadata {
            id: text(&head.headers, "id").map(Name::from),
            timeout: timeout_ms.map(Duration::from_millis),
            generation,
            resumes: text(&head.headers, "resumes").map(Name::from),
            last_event: text(&head.headers, "after").map(Into::into),
            prompt_parts: text(&head.headers, "parts")
                .map(|parts| parts.split(',').map(PromptPart::named).collect())
                .unwrap_or_default(),
        })
    }

    fn write_request(&self, headers: &HeaderMap, metadata: &SendMetadata) -> Result<HeaderMap> {
        panic_if_asked(headers, "write");
        let mut out = end_to_end(headers);
        let mut set = |name: &'static str, value: &[u8]| {
            header_value(name, value).map(|value| drop(out.insert(name, value)))
        };
        set("for", metadata.instance.as_bytes())?;
        set("wait-ms", metadata.timeout.as_millis().to_string().as_bytes())?;
        match &metadata.phase {
            Phase::Whole => {}
            Phase::Prefill => set("phase", b"prefill")?,
            Phase::Decode { kv_cache, last_event } => {
                if let Some(kv_cache) = kv_cache {
                    set("memory", kv_cache.handle.as_bytes())?;
                }
                if let Some(last_event) = last_event {
                    set("after", last_event)?;
                }
            }
        }
        Ok(out)
    }

    fn read_response(&self, head: &response::Parts) -> ResponseMetadata {
        // A response names the attempt, but not the headers of its request.
        assert!(text(&head.headers, "id").as_deref() != Some("panic-response"), "asked to panic");
        ResponseMetadata {
            id: text(&head.headers, "id").map(Name::from),
            sealed: head.headers.contains_key("seal"),
            not_run: head.headers.contains_key("not-run"),
            misdirected: head.status.as_u16() == 421,
            keep_alive: None,
            rate_limit: text(&head.headers, "limit")
                .map(|rate| rate.parse().map_or(RateLimit::Unreadable, RateLimit::PerSecond)),
            leaving: head.headers.contains_key("leaving"),
        }
    }

    fn write_router_response(&self, id: &Name, headers: &mut HeaderMap) {
        headers.insert("id", HeaderValue::from_str(id).expect("id"));
    }

    fn read_prefill_response(&self, body: &[u8]) -> Result<String> {
        String::from_utf8(body.to_vec()).map_err(|e| invalid(e.to_string()))
    }

    fn free_kv_cache_call(&self, handle: &str) -> EngineCall {
        call(Method::DELETE, &format!("/memory/{handle}"))
    }

    fn report_call(&self, _instance: &Name) -> EngineCall {
        call(Method::GET, "/report")
    }

    fn read_report(&self, _body: &[u8]) -> Result<EngineReport> {
        Ok(EngineReport { orders: 0, busy: false })
    }

    fn role_order_call(&self, order: &RoleOrder) -> EngineCall {
        let mut call = call(Method::POST, "/order");
        call.headers.insert("token", HeaderValue::from(order.fencing_token));
        call
    }

    fn readiness_path(&self) -> &str {
        "/ready"
    }

    fn read_item(&self, key: &str, value: &str) -> StoreItem {
        let unreadable = |e: serde_json::Error| invalid(e.to_string());
        match key.strip_prefix("servers/") {
            Some(name) => {
                StoreItem::Server(name.into(), serde_json::from_str(value).map_err(unreadable))
            }
            None if key == "configuration" => {
                StoreItem::Configuration(serde_json::from_str(value).map_err(unreadable))
            }
            None => StoreItem::Other,
        }
    }

    fn read_removal(&self, key: &str) -> RemovedItem {
        key.strip_prefix("servers/")
            .map_or(RemovedItem::Other, |name| RemovedItem::Server(name.into()))
    }
}

/// The length of the longest key that the service takes.
const MAX_KEY_BYTES: usize = 200;

/// A key-value service in memory that can be made to fail.
#[derive(Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
    silent: AtomicBool,
    /// Whether this host is turned away.
    refusing: AtomicBool,
    /// How long calls other than watches take, in milliseconds.
    delay_ms: AtomicU64,
    /// Raised when the watches that are waiting are left without a response.
    dead_watches: AtomicU32,
    snapshots: AtomicU32,
}

#[derive(Default)]
struct StoreState {
    revision: Version,
    items: BTreeMap<String, Versioned>,
    changes: Vec<(Version, Change)>,
    down: bool,
    compacted: Version,
    leases: HashSet<LeaseId>,
    next_lease: LeaseId,
    era: Era,
    /// The number of changes from which a response is too large to be read.
    max_changes: Option<usize>,
}

impl StoreState {
    fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }
}

/// A copy of the service's items, from which it can come back.
pub struct StoreCopy {
    revision: Version,
    items: BTreeMap<String, Versioned>,
}

impl MemoryStore {
    pub fn write(&self, key: &str, value: &impl serde::Serialize) {
        let value = serde_json::to_string(value).expect("JSON");
        self.write_text(key, &value);
    }

    pub fn write_text(&self, key: &str, value: &str) {
        let mut state = self.state.lock();
        state.revision += 1;
        let version = state.revision;
        let item = Versioned { key: key.into(), value: value.into(), version };
        state.items.insert(key.into(), item.clone());
        state.changes.push((version, Change::Written(item)));
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> Version {
        self.state.lock().revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock();
        state.revision += 1;
        let version = state.revision;
        state.items.remove(key);
        state.changes.push((version, Change::Removed { key: key.into(), version }));
    }

    /// Returns the same service as another host reaches it.
    pub fn for_another_host(&self) -> Arc<MemoryStore> {
        Arc::new(MemoryStore { state: self.state.clone(), ..MemoryStore::default() })
    }

    /// Returns another service with the same items, but for those whose keys start with
    /// `prefix`.
    pub fn without(&self, prefix: &str) -> Arc<MemoryStore> {
        let other = MemoryStore::default();
        let items = self.state.lock().items.clone();
        for (key, item) in items.iter().filter(|(key, _)| !key.starts_with(prefix)) {
            other.write_text(key, &item.value);
        }
        Arc::new(other)
    }

    /// Has all calls but watches take `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    async fn delay(&self) {
        task::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))).await;
    }

    /// Turns this host away, or ends that.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Leaves the watches of this host without a response until the client gives up, or
    /// ends that.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Leaves the watches that are waiting without a response, as on connections that have
    /// gone silent. Later calls are answered.
    pub fn silence_open_watches(&self) {
        self.dead_watches.fetch_add(1, Ordering::SeqCst);
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Returns a copy of the items as they are now.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock();
        StoreCopy { revision: state.revision, items: state.items.clone() }
    }

    /// Brings the service back from `copy`: what was written since is gone, and so are all
    /// leases. Its revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock();
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.changes.clear();
        state.compacted = copy.revision;
        state.leases.clear();
        state.era.0 += 1;
    }

    /// Returns the value of `key`.
    pub fn value(&self, key: &str) -> Option<String> {
        self.state.lock().items.get(key).map(|item| item.value.clone())
    }

    /// Returns how often this host has read a snapshot.
    pub fn snapshots(&self) -> u32 {
        self.snapshots.load(Ordering::SeqCst)
    }

    /// Has clients fail to read responses with more than `max` changes.
    pub fn limit_changes(&self, max: usize) {
        self.state.lock().max_changes = Some(max);
    }

    /// Refuses all watches because their history is compacted.
    pub fn compact_for_good(&self) {
        self.state.lock().compacted = Version::MAX;
    }

    /// Compacts all changes up to now, so that they can no longer be watched.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.compacted = state.revision;
        state.changes.clear();
    }

    fn check(&self) -> Result<()> {
        match self.state.lock().down || self.refusing.load(Ordering::SeqCst) {
            true => Err(aspenloft_core::errors::unavailable("down")),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl ChangeFeed for MemoryStore {
    async fn snapshot(&self, prefix: &str) -> Result<Snapshot> {
        self.check()?;
        self.snapshots.fetch_add(1, Ordering::SeqCst);
        let state = self.state.lock();
        let items = state.items.values().filter(|item| item.key.starts_with(prefix));
        Ok(Snapshot { items: items.cloned().collect(), position: state.position() })
    }

    async fn changes(&self, _prefix: &str, after: Position, wait: Duration) -> Result<Changes> {
        let end = Instant::now() + wait;
        let timeout = end + Duration::from_secs(2);
        let era = self.state.lock().era;
        let dead = self.dead_watches.load(Ordering::SeqCst);
        loop {
            self.check()?;
            if Instant::now() >= timeout {
                return Err(aspenloft_core::errors::unavailable("no response"));
            }
            let is_dead = self.dead_watches.load(Ordering::SeqCst) != dead;
            if !is_dead && !self.silent.load(Ordering::SeqCst) {
                let state = self.state.lock();
                if state.era != era {
                    return Err(aspenloft_core::errors::unavailable("cut"));
                }
                if era > after.era {
                    return Ok(Changes::Restored(era));
                }
                let after = after.revision;
                if after < state.compacted || after > state.revision {
                    return Ok(Changes::Compacted);
                }
                let newer = state.changes.iter().filter(|(at, _)| *at > after);
                let changes: Vec<Change> = newer.map(|(_, change)| change.clone()).collect();
                if state.max_changes.is_some_and(|max| changes.len() > max) {
                    return Err(Error::new(ErrorCode::TooLarge, "the response is too large"));
                }
                if !changes.is_empty() || Instant::now() >= end {
                    return Ok(Changes::Since { changes, position: state.position() });
                }
            }
            task::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[async_trait]
impl KeyValue for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>> {
        self.delay().await;
        self.check()?;
        Ok(self.state.lock().items.get(key).cloned())
    }

    async fn put(&self, put: Put) -> Result<Swap> {
        self.delay().await;
        self.check()?;
        if put.key.len() > MAX_KEY_BYTES {
            return Err(invalid(format!("a key of {} bytes", put.key.len())));
        }
        let current = self.state.lock().items.get(&put.key).map_or(0, |item| item.version);
        if current != put.expect {
            return Ok(Swap::Conflict(current));
        }
        match &put.value {
            Some(value) => self.write_text(&put.key, value),
            None => self.remove(&put.key),
        }
        Ok(Swap::Done(self.state.lock().revision))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Versioned>> {
        self.delay().await;
        self.snapshot(prefix).await.map(|snapshot| snapshot.items)
    }

    async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Versioned>> {
        self.changes(key, Position::new(self.era(), after), wait).await?;
        self.get(key).await
    }

    async fn grant(&self, _ttl: Duration) -> Result<LeaseId> {
        self.delay().await;
        self.check()?;
        let mut state = self.state.lock();
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease);
        Ok(lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool> {
        self.delay().await;
        self.check()?;
        Ok(self.state.lock().leases.contains(&lease))
    }

    fn era(&self) -> Era {
        self.state.lock().era
    }
}

/// A gateway host, and the store that it follows.
pub struct TestHost {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub store: Arc<MemoryStore>,
    pub shutdown: Arc<Shutdown>,
    pub settings: Settings,
    pub network: Arc<FaultyNetwork>,
}

/// The ports of hosts: below the system's ephemeral range, so that no connection takes
/// a port between its choice and its use.
const FIRST_PORT: u16 = 10_000;
const PORTS: u32 = 22_000;

/// Returns a loopback address on which nobody listens; each call returns another one.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        // Test processes that run in parallel start at different ports.
        let offset = std::process::id().wrapping_mul(257);
        let number = NEXT.fetch_add(1, Ordering::SeqCst).wrapping_add(offset) % PORTS;
        let port = FIRST_PORT + u16::try_from(number).expect("a port");
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl TestHost {
    /// Starts a host named `name` that follows `store`.
    pub fn start(name: &str, store: Arc<MemoryStore>) -> TestHost {
        TestHost::start_with_slack(name, store, 50)
    }

    /// Starts a host whose budget of extra sends has the given `slack`.
    pub fn start_with_slack(name: &str, store: Arc<MemoryStore>, slack: u32) -> TestHost {
        let settings = format!(
            r#"{{"host": "{name}", "data_centre": "dc-a", "memory_mb": 110,
               "listen": {{"callers": "{}", "readiness": "{}", "peers": "{}", "metrics": "{}"}},
               "key_value": "127.0.0.1:1",
               "retries": {{"ratio": 0.2, "slack": {slack}, "window_s": 10}},
               "shutdown": {{"grace_s": 3}}}}"#,
            free_addr(),
            free_addr(),
            free_addr(),
            free_addr(),
        );
        let settings = Settings::from_json(&settings).expect("settings");
        let (dialect, network) = (Arc::new(TestDialect), Arc::<FaultyNetwork>::default());
        let (connector, peer_connector) = (network.clone(), Arc::<TcpConnector>::default());
        let (feed, kv) = (store.clone(), store.clone());
        let platform = Platform { feed, kv, dialect, connector, peer_connector };
        let metrics = Metrics::new(name).expect("metrics");
        let clock = Arc::new(SystemClock);
        let shutdown = task::block_on(start(&settings, platform, metrics, clock)).expect("start");
        TestHost {
            callers: settings.listen.callers,
            readiness: settings.listen.readiness,
            store,
            shutdown,
            settings,
            network,
        }
    }

    /// Starts a host with the routes of [`configuration`] in front of `servers`.
    pub fn with_servers(servers: &[ServerEntry]) -> TestHost {
        TestHost::with_servers_and_slack(servers, 50)
    }

    /// Starts such a host whose budget of extra sends has the given `slack`.
    pub fn with_servers_and_slack(servers: &[ServerEntry], slack: u32) -> TestHost {
        let store = Arc::new(MemoryStore::default());
        store.write("configuration", &configuration(1));
        for server in servers {
            store.write(&format!("servers/{}", server.instance), server);
        }
        let host = TestHost::start_with_slack("h1", store, slack);
        host.wait_ready();
        host
    }

    /// Has the host shut down within `grace`, which begins before this returns.
    pub fn leave(&self, grace: Duration) -> JoinHandle<usize> {
        let (shutdown, settings) = (self.shutdown.clone(), ShutdownSettings { grace_s: grace });
        let clock: SharedClock = Arc::new(SystemClock);
        let leaving = std::thread::spawn(move || task::block_on(shutdown.drain(&clock, &settings)));
        wait_for("the host to leave", || self.shutdown.is_leaving());
        leaving
    }

    /// Sends `digest` to the host once.
    pub fn receive_digest(&self, digest: &Digest) {
        send_digest(self.settings.listen.peers, digest);
    }

    /// Waits until the host accepts callers.
    pub fn wait_ready(&self) {
        wait_for("the host to be ready", || self.ready_status() == "200");
    }

    /// Returns the status of the host's response to a readiness probe.
    pub fn ready_status(&self) -> String {
        let response = exchange(self.readiness, b"GET /ready HTTP/1.1\r\nhost: h\r\n\r\n");
        status(&response)
    }

    /// Starts a second host, `h2`, whose store lists this host once and is then down, and
    /// waits until it serves.
    pub fn start_without_store(&self) -> TestHost {
        let store = Arc::new(MemoryStore::default());
        let entry = serde_json::json!({
            "name": "h1", "addr": self.settings.listen.peers, "data_centre": "dc-a"
        });
        store.write("aspenloft/hosts/h1", &entry);
        let second = TestHost::start("h2", store.clone());
        std::thread::sleep(Duration::from_millis(200));
        store.set_down(true);
        second.wait_ready();
        second
    }

    /// Sends `req` on a new connection and returns the complete response.
    pub fn send(&self, req: &str) -> String {
        exchange(self.callers, req.as_bytes())
    }
}

/// Sends `digest` to the host whose address for peers is `to`.
pub fn send_digest(to: SocketAddr, digest: &Digest) {
    let mut buf = BytesMut::new();
    frames::encode(digest, &mut buf).expect("a digest");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.send_to(&buf, to).expect("send");
}

/// Returns the digest of a host named `name` at `addr` that is at `revision`.
pub fn digest(name: &str, addr: SocketAddr, revision: u64) -> Digest {
    let host = Host { name: name.into(), addr, data_centre: "dc-a".into(), leaving: false };
    Digest {
        host,
        seq: 1,
        born_ms: 1,
        revision,
        follows: false,
        loads: LoadDigest::default(),
        demand: Vec::new(),
        unreachable: Vec::new(),
        breaks: Vec::new(),
    }
}

/// Waits until `holds` returns true; panics after [`READ_TIMEOUT`].
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + READ_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn route(name: &str, path: &str, repeat: RepeatPolicy, service: &str, max_attempts: u32) -> Route {
    Route {
        name: name.into(),
        host: "app.test".into(),
        path_prefix: path.into(),
        repeat,
        timeout: Duration::from_millis(2_000),
        target_latency: Duration::from_millis(500),
        priority: 1,
        services: vec![(service.into(), 1)],
        max_attempts,
    }
}

/// Returns a configuration with the routes that tests use: /once/, /many/, /stream/ and
/// /resume/.
pub fn configuration(version: u64) -> Configuration {
    let engine = EngineProfile {
        slots: 8,
        memory_tokens: 40_000,
        tokens_per_event: 10,
        handle_life: Duration::from_millis(500),
    };
    let plain = Service { engine: None };
    let model = Service { engine: Some(engine) };
    Configuration {
        version,
        routes: vec![
            route("once", "/once/", RepeatPolicy::Once, "app", 1),
            route("many", "/many/", RepeatPolicy::Idempotent, "app", 2),
            route("stream", "/stream/", RepeatPolicy::Stream, "model", 1),
            route("resume", "/resume/", RepeatPolicy::ResumableStream, "model", 2),
        ],
        services: [("app".into(), plain), ("model".into(), model)].into(),
        limits: CallerLimits::default(),
    }
}

/// Returns the entry of a server of `role` at `addr`.
pub fn entry(instance: &str, addr: SocketAddr, role: ServerRole) -> ServerEntry {
    let service = if role == ServerRole::Plain { "app" } else { "model" };
    ServerEntry {
        instance: instance.into(),
        born_ms: 1,
        service: service.into(),
        addr,
        data_centre: "dc-a".into(),
        version: "v1".into(),
        slots: 4,
        role,
        leaving: false,
    }
}

/// A backend server whose responses are scripted.
pub struct Scripted {
    pub addr: SocketAddr,
    pub seen: Arc<Mutex<Vec<String>>>,
}

impl Scripted {
    /// Starts a server that answers each request with the bytes that `script` returns
    /// for it and its number on this server; empty bytes close the connection.
    pub fn start(script: impl Fn(usize, &str) -> Vec<u8> + Send + Sync + 'static) -> Scripted {
        Scripted::serve(move |number, req, stream| {
            let response = script(number, req);
            !response.is_empty() && stream.write_all(&response).is_ok()
        })
    }

    /// Starts a server that passes each request, its number and its connection to
    /// `serve`. The connection stays open while `serve` returns true.
    pub fn serve(
        serve: impl Fn(usize, &str, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Scripted {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        let seen = Arc::<Mutex<Vec<String>>>::default();
        let (serve, log) = (Arc::new(serve), seen.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let (serve, log) = (serve.clone(), log.clone());
                std::thread::spawn(move || {
                    while let Some(req) = read_message(&mut stream) {
                        let number = {
                            let mut log = log.lock();
                            log.push(req.clone());
                            log.len()
                        };
                        if !serve(number, &req, &mut stream) {
                            return;
                        }
                    }
                });
            }
        });
        Scripted { addr, seen }
    }

    /// Returns how many requests have arrived.
    pub fn count(&self) -> usize {
        self.seen.lock().len()
    }
}

/// Returns a complete response to `req` with its ID, a seal and `body`.
pub fn sealed(req: &str, status: &str, body: &str) -> Vec<u8> {
    let id = header(req, "id").unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nid: {id}\r\nseal: s\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Returns the response of a server that did not run `req`.
pub fn not_run(req: &str) -> Vec<u8> {
    let id = header(req, "id").unwrap_or_default();
    format!("HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n").into_bytes()
}

/// Returns the value of the header `name` of a message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_string())
}

/// Returns the status of a response, or an empty string if there is no response.
pub fn status(response: &str) -> String {
    response.split(' ').nth(1).unwrap_or_default().to_string()
}

/// Returns the body of a response.
pub fn body(response: &str) -> &str {
    response.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// Returns the data of the chunks of a response, and whether its last chunk has come.
pub fn chunks(response: &str) -> (String, bool) {
    let mut rest = body(response);
    let mut data = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or_default();
        if size == 0 {
            return (data, true);
        }
        data.push_str(after.get(..size).unwrap_or(after));
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (data, false)
}

/// Sends `req` to `addr` and reads one response, or the part of it that arrived.
pub fn exchange(addr: SocketAddr, req: &[u8]) -> String {
    let Ok(mut stream) = TcpStream::connect(addr) else { return String::new() };
    if stream.write_all(req).is_err() {
        return String::new();
    }
    read_message(&mut stream).unwrap_or_default()
}

/// Reads one message: its head, and the body by its length or chunks. Returns the part
/// that arrived if the connection ended early, and `None` if nothing arrived.
pub fn read_message(stream: &mut TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
    let mut data = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&data).into_owned();
        if is_complete(&text) {
            return Some(text);
        }
        match stream.read(&mut buf) {
            Ok(read) if read > 0 => data.extend_from_slice(&buf[..read]),
            _ if data.is_empty() => return None,
            _ => return Some(text),
        }
    }
}

fn is_complete(message: &str) -> bool {
    let Some((_, body)) = message.split_once("\r\n\r\n") else { return false };
    if header(message, "transfer-encoding").is_some() {
        return body.ends_with("0\r\n\r\n");
    }
    let length = header(message, "content-length").and_then(|l| l.parse::<usize>().ok());
    body.len() >= length.unwrap_or(0)
}

/// Returns the resident memory of the test process, in bytes.
pub fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a line");
    let kib = line.split_whitespace().nth(1).and_then(|kib| kib.parse::<usize>().ok());
    kib.expect("a number") * 1024
}

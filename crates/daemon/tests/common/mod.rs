//! The `common` module starts a deployment for integration tests. The stand-ins run
//! in the test's process, so that a test can inspect them and inject faults; each host
//! is a separate process, so that a test can kill and freeze it.

#![allow(dead_code)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::backend::{Backend, BackendRole};
use aspenloft_core::host::Host;
use aspenloft_core::secret::key_digest;
use aspenloft_daemon::settings::{Limits, Platform, Settings};
use aspenloft_protocol::admin::{HostStatus, paths};
use aspenloft_protocol::platform::{KeyValue, Listing, Put};
use aspenloft_standin::engine::{EngineHandler, EngineOptions, EngineStandin};
use aspenloft_standin::hosts::HostsHandler;
use aspenloft_standin::kv::{KvHandler, KvStandin};
use aspenloft_standin::service::ServiceStandin;
use aspenloft_table::row::{Caller, Row, RowKind};
use aspenloft_table::table::{TABLE_KEY, Table};
use aspenloft_transport::http;
use aspenloft_transport::server::{self, HttpHandler};
use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request};

/// The key of the caller in the default table.
pub const KEY: &str = "test-key";

/// The longest wait for a host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const KV_PORT: u16 = 7001;
const HOSTS_PORT: u16 = 7002;
const BACKEND_PORT: u16 = 7100;
const CALLERS_PORT: u16 = 7200;
const PEERS_PORT: u16 = 7300;
const ADMIN_PORT: u16 = 7400;

static NEXT_DEPLOYMENT: AtomicU32 = AtomicU32::new(0);

/// `Engine` is a stand-in for a model engine in the test's process.
pub struct Engine {
    pub name: String,
    pub addr: SocketAddr,
    pub standin: Arc<EngineStandin>,
}

/// `Deployment` is a running deployment; dropping it kills its hosts.
pub struct Deployment {
    pub ip: IpAddr,
    pub kv: Arc<KvStandin>,
    pub service: Arc<ServiceStandin>,
    pub prefill: Vec<Engine>,
    pub decode: Vec<Engine>,
    pub hosts: Vec<Option<Child>>,
    pub listing: Listing,
    pub limits: Limits,
    dir: PathBuf,
}

impl Deployment {
    /// Starts `hosts` hosts, `engines` engines of each role and one plain service.
    pub async fn start(hosts: u16, engines: u16, options: EngineOptions) -> Deployment {
        Deployment::start_with(hosts, engines, options, Limits::default()).await
    }

    /// Starts a deployment whose hosts have the given limits.
    pub async fn start_with(
        hosts: u16,
        engines: u16,
        options: EngineOptions,
        limits: Limits,
    ) -> Deployment {
        // Each deployment has its own loopback address, so that ports never conflict.
        let n = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, 1 + n as u8);
        let dir = std::env::temp_dir().join(format!("aspenloft-test-{pid}-{n}"));
        std::fs::create_dir_all(&dir).expect("a folder for settings");
        let mut deployment = Deployment {
            ip: ip.into(),
            kv: Arc::default(),
            service: Arc::default(),
            prefill: Vec::new(),
            decode: Vec::new(),
            hosts: Vec::new(),
            listing: Listing::default(),
            limits,
            dir,
        };
        deployment.start_standins(engines, options).await;
        deployment.put_table(&default_table()).await;
        for i in 0..hosts {
            deployment.list_host(i);
        }
        deployment.write_listing();
        for i in 0..hosts {
            deployment.start_host(i);
        }
        for i in 0..hosts {
            deployment.await_ready(i).await;
        }
        deployment
    }

    async fn start_standins(&mut self, engines: u16, options: EngineOptions) {
        self.serve(KV_PORT, Arc::new(KvHandler(self.kv.clone()))).await;
        let file = self.dir.join("hosts.json");
        self.serve(HOSTS_PORT, Arc::new(HostsHandler { file })).await;
        let mut port = BACKEND_PORT;
        for (role, prefix) in [(BackendRole::Prefill, "prefill"), (BackendRole::Decode, "decode")] {
            for i in 0..engines {
                let standin = EngineStandin::new(options.clone());
                let addr = self.serve(port, Arc::new(EngineHandler(standin.clone()))).await;
                let name = format!("{prefix}-{i}");
                self.list_backend(&name, addr, role, "scribe");
                let engine = Engine { name, addr, standin };
                match role {
                    BackendRole::Prefill => self.prefill.push(engine),
                    _ => self.decode.push(engine),
                }
                port += 1;
            }
        }
        let addr = self.serve(port, self.service.clone()).await;
        self.list_backend("trailapp-0", addr, BackendRole::Service, "trailapp");
    }

    /// Serves `handler` on `port` of this deployment's address.
    pub async fn serve(&self, port: u16, handler: Arc<dyn HttpHandler>) -> SocketAddr {
        let addr = SocketAddr::new(self.ip, port);
        let listener = TcpListener::bind(addr).await.expect("a free port");
        task::spawn(server::serve(listener, handler));
        addr
    }

    fn list_backend(&mut self, name: &str, addr: SocketAddr, role: BackendRole, serves: &str) {
        self.listing.backends.push(Backend {
            name: name.into(),
            addr,
            data_centre: "dc-a".into(),
            role,
            serves: serves.into(),
            leaving: false,
        });
    }

    fn list_host(&mut self, i: u16) {
        self.listing.hosts.push(Host {
            name: format!("h{i}").into(),
            addr: SocketAddr::new(self.ip, PEERS_PORT + i),
            data_centre: "dc-a".into(),
            leaving: false,
        });
    }

    /// Replaces the platform's list by `self.listing`.
    pub fn write_listing(&self) {
        let text = serde_json::to_string(&self.listing).expect("a listing");
        let temp = self.dir.join("hosts.json.new");
        std::fs::write(&temp, text).expect("a listing file");
        std::fs::rename(temp, self.dir.join("hosts.json")).expect("a listing file");
    }

    /// Stores `table` in the key-value service, whatever version it holds.
    pub async fn put_table(&self, table: &Table) {
        let found = self.kv.get(TABLE_KEY).await.expect("the service is up");
        let value = Some(table.to_json().expect("a table"));
        let expect = found.map_or(0, |found| found.version);
        let put = Put { key: TABLE_KEY.into(), expect, value, lease: None };
        self.kv.put(put).await.expect("the service is up");
    }

    /// Starts host `i` in a new process, with a new log file.
    pub fn start_host(&mut self, i: u16) {
        let at = |port| SocketAddr::new(self.ip, port);
        let settings = Settings {
            host: format!("h{i}").into(),
            data_centre: "dc-a".into(),
            callers: at(CALLERS_PORT + i),
            peers: at(PEERS_PORT + i),
            admin: at(ADMIN_PORT + i),
            platform: Platform { key_value: at(KV_PORT), host_list: at(HOSTS_PORT) },
            limits: self.limits.clone(),
        };
        let path = self.dir.join(format!("h{i}.json"));
        let text = serde_json::to_string(&settings).expect("settings");
        std::fs::write(&path, text).expect("a settings file");
        let log = std::fs::File::create(self.dir.join(format!("h{i}.log"))).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_aspenloftd"))
            .arg(path)
            .env("RUST_LOG", "debug")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        let i = usize::from(i);
        if self.hosts.len() <= i {
            self.hosts.resize_with(i + 1, || None);
        }
        self.hosts[i] = Some(child);
    }

    /// Kills host `i` with `SIGKILL` and waits for its process to end.
    pub fn kill_host(&mut self, i: u16) {
        if let Some(mut child) = self.hosts[usize::from(i)].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`, to host `i`.
    pub fn signal_host(&self, i: u16, signal: &str) {
        let child = self.hosts[usize::from(i)].as_ref().expect("a running host");
        let pid = child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Returns the log of host `i` since its last start.
    pub fn host_log(&self, i: u16) -> String {
        std::fs::read_to_string(self.dir.join(format!("h{i}.log"))).expect("a log")
    }

    /// Returns the address of the plain service.
    pub fn service_addr(&self) -> SocketAddr {
        let mut backends = self.listing.backends.iter();
        backends.find(|b| b.role == BackendRole::Service).expect("a service").addr
    }

    /// Returns the address of host `i` for callers.
    pub fn callers(&self, i: u16) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT + i)
    }

    /// Returns the address of host `i` for operators.
    pub fn admin(&self, i: u16) -> SocketAddr {
        SocketAddr::new(self.ip, ADMIN_PORT + i)
    }

    /// Waits until host `i` reports that it is ready.
    pub async fn await_ready(&self, i: u16) {
        let ready = || async {
            let req = http::request(Method::Get, self.admin(i), "/readyz", Vec::new());
            let answer = http::send(self.admin(i), req.expect("a request"), READY_TIMEOUT).await;
            answer.is_ok_and(|answer| answer.status().is_success())
        };
        eventually("the host is ready", READY_TIMEOUT, ready).await;
    }

    /// Fetches the status of host `i`.
    pub async fn status(&self, i: u16) -> HostStatus {
        let addr = self.admin(i);
        let req = http::request(Method::Get, addr, paths::STATUS, Vec::new()).expect("a request");
        let mut answer = http::send(addr, req, READY_TIMEOUT).await.expect("an answer");
        http::read_json(&mut answer, addr).await.expect("a status")
    }

    /// Builds a caller's `POST` to host `i` with the key [`KEY`].
    pub fn post(&self, i: u16, path: &str, body: &serde_json::Value) -> Request {
        let mut req = http::post(self.callers(i), path, body).expect("a request");
        req.insert_header("authorization", format!("Bearer {KEY}"));
        req
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for i in 0..self.hosts.len() {
            self.kill_host(i as u16);
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns a table with a model row, a row for unrepeatable bookings and a row for a
/// plain service.
pub fn default_table() -> Table {
    let scribe = Row::new("scribe", RowKind::Model, "scribe");
    let booking = Row {
        path: "/bookings".into(),
        unrepeatable: true,
        ..Row::new("booking", RowKind::Service, "trailapp")
    };
    let plain = Row::new("trailapp", RowKind::Service, "trailapp");
    let caller = Caller {
        name: "tester".into(),
        key_sha256: key_digest(KEY).into(),
        class: "visitors".into(),
        weight: 100,
    };
    Table { version: 1, rows: vec![scribe, booking, plain], callers: vec![caller] }
}

/// Waits until `condition` returns true, and fails the test with `what` if that takes
/// longer than `timeout`.
pub async fn eventually<F: Future<Output = bool>>(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> F,
) {
    let deadline = Instant::now() + timeout;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out after {timeout:?}: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

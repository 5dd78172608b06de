//! The `settings` module reads and validates the daemon's settings file;
//! `docs/SETTINGS.md` describes each field.

mod read;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use aspenloft_core::prelude::{Findings, Host, Name};
use aspenloft_transport::server::ServerOptions;
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// `Settings` is the contents of a host's settings file.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Settings {
    /// The host's name, unique in the deployment.
    pub host: Name,
    /// The name of the data centre that the host is in.
    pub data_centre: Name,
    /// The address of the listener for callers.
    pub callers: SocketAddr,
    /// The address of the listener for other hosts, which they connect to.
    pub peers: SocketAddr,
    /// The address of the listener for operators and the balancer.
    pub admin: SocketAddr,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The limits of this host; each has a default.
    pub limits: Limits,
}

/// `Platform` holds the addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Platform {
    /// The address of the key-value service.
    pub key_value: SocketAddr,
    /// The address of the service that lists hosts and backend servers.
    pub host_list: SocketAddr,
}

/// `Limits` holds the resource and time limits of one host. `docs/SETTINGS.md` says
/// when to change one.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Limits {
    /// The number of threads that run the host's tasks. Threads beyond the spare cores
    /// of the host only add wake-ups between them; see `docs/MEASUREMENTS.md`.
    pub workers: usize,
    /// The maximum number of concurrent connections from callers.
    pub max_connections: usize,
    /// The longest idle time between two requests on one connection.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "idle_ms")]
    pub idle: Duration,
    /// The longest time to receive the head of a request.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "head_ms")]
    pub head: Duration,
    /// The longest time to receive the body of a request.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "body_ms")]
    pub body: Duration,
    /// The longest time for which a caller may read nothing of its answer.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "write_ms")]
    pub write: Duration,
    /// How long a leaving host still accepts new requests, so that the balancer can
    /// notice that it is leaving.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "leave_grace_ms")]
    pub leave_grace: Duration,
    /// How long a leaving host waits for requests in flight before it cuts them.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "drain_ms")]
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let server = ServerOptions::default();
        Limits {
            workers: 2,
            max_connections: server.max_connections,
            idle: server.idle_timeout,
            head: server.head_timeout,
            body: server.body_timeout,
            write: server.write_timeout,
            leave_grace: Duration::from_secs(2),
            drain: Duration::from_secs(600),
        }
    }
}

impl Limits {
    /// Returns the limits that apply to the listener for callers.
    pub fn server_options(&self) -> ServerOptions {
        ServerOptions {
            max_connections: self.max_connections,
            idle_timeout: self.idle,
            head_timeout: self.head,
            body_timeout: self.body,
            write_timeout: self.write,
        }
    }

    fn check(&self, findings: &mut Findings) {
        if self.max_connections == 0 {
            findings.add("limits.max_connections", "must be at least 1");
        }
        if self.workers == 0 {
            findings.add("limits.workers", "must be at least 1");
        }
        let bounds = [
            ("limits.idle_ms", self.idle),
            ("limits.head_ms", self.head),
            ("limits.body_ms", self.body),
            ("limits.write_ms", self.write),
            ("limits.drain_ms", self.drain),
        ];
        for (place, bound) in bounds {
            if bound.is_zero() {
                findings.add(place, "must be at least 1, since a timeout of 0 expires at once");
            }
        }
    }
}

impl Settings {
    /// Reads the settings file at `path`, or returns every problem found in it.
    pub fn load(path: &Path) -> Result<Settings, Findings> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) => {
                let mut findings = Findings::default();
                findings.add(path.display().to_string(), e.to_string());
                return Err(findings);
            }
        };
        Settings::from_json(&text)
    }

    /// Reads settings from JSON text, or returns every problem found in them.
    pub fn from_json(text: &str) -> Result<Settings, Findings> {
        let settings = read::settings(text)?;
        settings.check().into_result().map(|()| settings)
    }

    /// Validates the values beyond what their types ensure.
    fn check(&self) -> Findings {
        let mut findings = Findings::default();
        for (place, text) in [("host", &self.host), ("data_centre", &self.data_centre)] {
            if text.trim().is_empty() {
                findings.add(place, "must not be empty");
            }
        }
        let addrs = [("callers", self.callers), ("peers", self.peers), ("admin", self.admin)];
        for (i, (place, addr)) in addrs.iter().enumerate() {
            if addr.port() == 0 {
                findings.add(*place, "must have a port other than 0");
            }
            if *place == "peers" && addr.ip().is_unspecified() {
                findings.add(*place, "must be an address that other hosts can reach");
            }
            if addrs[..i].iter().any(|(_, earlier)| earlier == addr) {
                findings.add(*place, format!("{addr} is already used by another listener"));
            }
        }
        for (place, addr) in [
            ("platform.key_value", self.platform.key_value),
            ("platform.host_list", self.platform.host_list),
        ] {
            if addr.port() == 0 {
                findings.add(place, "must have a port other than 0");
            }
        }
        self.limits.check(&mut findings);
        findings
    }

    /// Returns this host as other hosts see it, with its address for peers.
    pub fn host(&self) -> Host {
        Host {
            name: self.host.clone(),
            addr: self.peers,
            data_centre: self.data_centre.clone(),
            leaving: false,
        }
    }
}

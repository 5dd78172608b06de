//! The `settings` module reads and checks the daemon's settings file; see
//! `docs/SETTINGS.md` for each field.

mod read;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use aspenloft_core::prelude::{Findings, Host, Name};
use aspenloft_transport::server::ServerOptions;
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// `Settings` is what a host learns from its settings file.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Settings {
    /// The host's name, unique in the deployment.
    pub host: Name,
    /// The host's data centre.
    pub data_centre: Name,
    /// Where callers reach the host.
    pub callers: SocketAddr,
    /// Where other hosts reach it.
    pub peers: SocketAddr,
    /// Where operators and the balancer reach it.
    pub admin: SocketAddr,
    /// Where the platform is.
    pub platform: Platform,
    /// The bounds that the host keeps; each has a default.
    pub limits: Limits,
}

/// `Platform` is where the platform's services listen.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Platform {
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The list of hosts.
    pub host_list: SocketAddr,
}

/// `Limits` is the bounds that a host keeps. `docs/SETTINGS.md` says when to change
/// one.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Limits {
    /// Threads that run the host's tasks. More than the host has cores to spare only
    /// adds wake-ups between them, see `docs/MEASUREMENTS.md`.
    pub workers: usize,
    /// The most connections of callers at once.
    pub max_connections: usize,
    /// The longest wait between a caller's requests on one connection.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "idle_ms")]
    pub idle: Duration,
    /// The longest time for the head of a request.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "head_ms")]
    pub head: Duration,
    /// The longest time for the body of a request.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "body_ms")]
    pub body: Duration,
    /// The longest time in which a caller may take nothing of its answer.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "write_ms")]
    pub write: Duration,
    /// How long a leaving host still takes new requests, so that the balancer can
    /// notice.
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
    /// Returns what the callers' listener keeps of these bounds.
    pub fn server(&self) -> ServerOptions {
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
                findings.add(place, "must be at least 1; nothing would get through otherwise");
            }
        }
    }
}

impl Settings {
    /// Reads the settings file at `path`, or returns all that is wrong with it.
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

    /// Reads settings from JSON text, or returns all that is wrong with them.
    pub fn from_json(text: &str) -> Result<Settings, Findings> {
        let settings = read::settings(text)?;
        settings.check().into_result().map(|()| settings)
    }

    /// Checks what the types alone do not.
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
                findings.add(*place, "needs a port");
            }
            if *place == "peers" && addr.ip().is_unspecified() {
                findings.add(*place, "must be an address that other hosts can reach");
            }
            if addrs[..i].iter().any(|(_, earlier)| earlier == addr) {
                findings.add(*place, format!("{addr} is used twice"));
            }
        }
        for (place, addr) in [
            ("platform.key_value", self.platform.key_value),
            ("platform.host_list", self.platform.host_list),
        ] {
            if addr.port() == 0 {
                findings.add(place, "needs a port");
            }
        }
        self.limits.check(&mut findings);
        findings
    }

    /// Describes this host as others see it.
    pub fn host(&self) -> Host {
        Host {
            name: self.host.clone(),
            addr: self.peers,
            data_centre: self.data_centre.clone(),
            leaving: false,
        }
    }
}
